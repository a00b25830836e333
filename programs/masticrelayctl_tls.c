/* TLS connections to the daemons' admin listeners. */

#include <event2/bufferevent_ssl.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>

#include "masticrelayctl.h"

ctl_status_t
ctl_tls_open(ctl_t *ctl)
{
    const char *path = ctl->settings.admin_authorities;

    if (path == NULL || ctl->tls != NULL) {
        return CTL_DONE;
    }
    ctl->tls = SSL_CTX_new(TLS_client_method());
    if (ctl->tls == NULL
        || SSL_CTX_set_min_proto_version(ctl->tls, TLS1_2_VERSION) != 1) {
        return ctl_fail(ctl, CTL_FAILED, "cannot set up TLS");
    }
    if (SSL_CTX_load_verify_locations(ctl->tls, path, NULL) != 1) {
        ERR_clear_error();
        return ctl_fail(ctl, CTL_FAILED, "%s: no certificate can be read",
                        path);
    }
    SSL_CTX_set_verify(ctl->tls, SSL_VERIFY_PEER, NULL);
    return CTL_DONE;
}

struct bufferevent *
ctl_tls_connection(const ctl_t *ctl, const char *ip)
{
    struct bufferevent *bev = NULL;
    SSL *ssl = SSL_new(ctl->tls);

    /* The certificate must be valid for this IP address. Otherwise a daemon
     * could impersonate another one and receive the credential. */
    if (ssl == NULL
        || X509_VERIFY_PARAM_set1_ip_asc(SSL_get0_param(ssl), ip) != 1) {
        goto out;
    }
    bev = bufferevent_openssl_socket_new(
        ctl->base, -1, ssl, BUFFEREVENT_SSL_CONNECTING, BEV_OPT_CLOSE_ON_FREE);
    if (bev != NULL) {
        /* Accept servers that close without a close_notify alert; HTTP
         * gives the length of the answer. */
        bufferevent_openssl_set_allow_dirty_shutdown(bev, 1);
        return bev;
    }
out:
    SSL_free(ssl);
    return NULL;
}

void
ctl_tls_close(ctl_t *ctl)
{
    SSL_CTX_free(ctl->tls);
    ctl->tls = NULL;
}
