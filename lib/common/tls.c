#include "common/tls.h"

#include <event2/bufferevent_ssl.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/mem.h"

enum { RELOAD_CHECK_MS = 2000 };

struct mr_tls {
    struct event_base *base;
    char *certificate;
    char *key;
    char *authorities;
    SSL_CTX *ctx;
    struct timespec changed; /* newest change of the files that @ctx has */
    struct event *timer;
};

static void
take_newer(const char *path, struct timespec *newest)
{
    struct stat info;

    if (path == NULL || stat(path, &info) != 0) {
        return;
    }
    if (info.st_mtim.tv_sec > newest->tv_sec
        || (info.st_mtim.tv_sec == newest->tv_sec
            && info.st_mtim.tv_nsec > newest->tv_nsec)) {
        *newest = info.st_mtim;
    }
}

static struct timespec
last_change(const mr_tls_t *tls)
{
    struct timespec newest = {0};

    take_newer(tls->certificate, &newest);
    take_newer(tls->key, &newest);
    take_newer(tls->authorities, &newest);
    return newest;
}

static void
describe_problem(const char *what, char *problem, size_t size)
{
    char reason[128] = "unknown reason";
    unsigned long code = ERR_get_error();

    if (code != 0) {
        ERR_error_string_n(code, reason, sizeof(reason));
    }
    ERR_clear_error();
    snprintf(problem, size, "%s: %s", what, reason);
}

static SSL_CTX *
load(const mr_tls_t *tls, char *problem, size_t size)
{
    const char *what = "TLS cannot be set up";
    SSL_CTX *ctx = SSL_CTX_new(TLS_method());

    if (ctx == NULL
        || SSL_CTX_set_min_proto_version(ctx, TLS1_2_VERSION) != 1) {
        goto failed;
    }
    what = "the certificate cannot be read";
    if (SSL_CTX_use_certificate_chain_file(ctx, tls->certificate) != 1) {
        goto failed;
    }
    what = "the key cannot be read or does not fit the certificate";
    if (SSL_CTX_use_PrivateKey_file(ctx, tls->key, SSL_FILETYPE_PEM) != 1
        || SSL_CTX_check_private_key(ctx) != 1) {
        goto failed;
    }
    if (tls->authorities != NULL) {
        what = "the authorities cannot be read";
        if (SSL_CTX_load_verify_locations(ctx, tls->authorities, NULL) != 1) {
            goto failed;
        }
        SSL_CTX_set_verify(
            ctx, SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, NULL);
    }
    return ctx;

failed:
    describe_problem(what, problem, size);
    SSL_CTX_free(ctx);
    return NULL;
}

static void
on_check(evutil_socket_t fd, short what, void *ctx)
{
    mr_tls_t *tls = ctx;
    struct timespec changed = last_change(tls);
    char problem[256];

    (void)fd;
    (void)what;
    if (changed.tv_sec == tls->changed.tv_sec
        && changed.tv_nsec == tls->changed.tv_nsec) {
        return;
    }
    tls->changed = changed;
    SSL_CTX *fresh = load(tls, problem, sizeof(problem));
    if (fresh == NULL) {
        /* Files may be half written; the old ones stay in use. */
        mr_log(MR_LOG_ERROR, "certificate_refused", "file=%s reason=\"%s\"",
               tls->certificate, problem);
        return;
    }
    SSL_CTX_free(tls->ctx);
    tls->ctx = fresh;
    mr_log(MR_LOG_INFO, "certificate_reloaded", "file=%s", tls->certificate);
}

mr_tls_t *
mr_tls_create(const mr_tls_options_t *options, char *problem, size_t size)
{
    mr_tls_t *tls = MR_NEW(mr_tls_t);
    struct timeval interval = mr_clock_timeval(RELOAD_CHECK_MS);

    tls->base = options->base;
    tls->certificate = mr_strdup(options->certificate);
    tls->key = mr_strdup(options->key);
    tls->authorities = mr_strdup(options->authorities);
    tls->changed = last_change(tls);
    tls->ctx = load(tls, problem, size);
    if (tls->ctx == NULL) {
        mr_tls_destroy(tls);
        return NULL;
    }
    tls->timer = event_new(tls->base, -1, EV_PERSIST, on_check, tls);
    event_add(tls->timer, &interval);
    return tls;
}

void
mr_tls_destroy(mr_tls_t *tls)
{
    if (tls == NULL) {
        return;
    }
    if (tls->timer != NULL) {
        event_free(tls->timer);
    }
    SSL_CTX_free(tls->ctx);
    free(tls->certificate);
    free(tls->key);
    free(tls->authorities);
    free(tls);
}

static struct bufferevent *
create(mr_tls_t *tls, evutil_socket_t fd, enum bufferevent_ssl_state state)
{
    SSL *ssl = SSL_new(tls->ctx);

    if (ssl == NULL) {
        return NULL;
    }
    struct bufferevent *bev = bufferevent_openssl_socket_new(
        tls->base, fd, ssl, state, BEV_OPT_CLOSE_ON_FREE);
    if (bev == NULL) {
        SSL_free(ssl);
        return NULL;
    }
    /* Callers may close without the TLS goodbye; each answer has a length. */
    bufferevent_openssl_set_allow_dirty_shutdown(bev, 1);
    return bev;
}

struct bufferevent *
mr_tls_accept(mr_tls_t *tls, evutil_socket_t fd)
{
    return create(tls, fd, BUFFEREVENT_SSL_ACCEPTING);
}

struct bufferevent *
mr_tls_open(mr_tls_t *tls, evutil_socket_t fd)
{
    return create(tls, fd, BUFFEREVENT_SSL_CONNECTING);
}
