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

enum { RELOAD_CHECK_MS = 2000, FILE_COUNT = 3 };

/** Identifies the content of a file. Any difference counts as a change, since
 * a file that is restored or moved into place may be older than the previous
 * one. */
typedef struct file_version {
    dev_t device;
    ino_t inode;
    off_t size;
    struct timespec changed;
} file_version_t;

struct mr_tls {
    struct event_base *base;
    char *certificate;
    char *key;
    char *authorities;
    SSL_CTX *ctx;
    file_version_t versions[FILE_COUNT]; /* of the last check */
    mr_counter_t *reloaded;
    mr_counter_t *refused;
    struct event *timer;
};

static file_version_t
get_file_version(const char *path)
{
    file_version_t version = {0};
    struct stat info;

    if (path != NULL && stat(path, &info) == 0) {
        version.device = info.st_dev;
        version.inode = info.st_ino;
        version.size = info.st_size;
        version.changed = info.st_ctim;
    }
    return version;
}

static bool
same_version(const file_version_t *a, const file_version_t *b)
{
    return a->device == b->device && a->inode == b->inode && a->size == b->size
           && a->changed.tv_sec == b->changed.tv_sec
           && a->changed.tv_nsec == b->changed.tv_nsec;
}

/* Records the current versions of the files; returns whether any changed. */
static bool
update_versions(mr_tls_t *tls)
{
    const char *paths[] = {tls->certificate, tls->key, tls->authorities};
    bool changed = false;

    for (size_t i = 0; i < FILE_COUNT; i++) {
        file_version_t version = get_file_version(paths[i]);
        changed |= !same_version(&version, &tls->versions[i]);
        tls->versions[i] = version;
    }
    return changed;
}

static void
format_problem(const char *what, char *problem, size_t size)
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
load_files(const mr_tls_t *tls, char *problem, size_t size)
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
    format_problem(what, problem, size);
    SSL_CTX_free(ctx);
    return NULL;
}

static void
on_check(evutil_socket_t fd, short what, void *ctx)
{
    mr_tls_t *tls = ctx;
    char problem[256];

    (void)fd;
    (void)what;
    if (!update_versions(tls)) {
        return;
    }
    SSL_CTX *new_ctx = load_files(tls, problem, sizeof(problem));
    if (new_ctx == NULL) {
        /* The files may be partly written; the old context stays in use. */
        mr_counter_add(tls->refused, 1);
        mr_log(MR_LOG_ERROR, MR_EVENT_CERTIFICATE_REFUSED,
               "file=%s reason=\"%s\"", tls->certificate, problem);
        return;
    }
    SSL_CTX_free(tls->ctx);
    tls->ctx = new_ctx;
    mr_counter_add(tls->reloaded, 1);
    mr_log(MR_LOG_INFO, MR_EVENT_CERTIFICATE_RELOADED, "file=%s",
           tls->certificate);
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
    tls->reloaded = mr_counters_get(options->counters,
                                    "masticrelay_certificates_reloaded_total",
                                    "", "TLS files read again after a change");
    tls->refused = mr_counters_get(
        options->counters, "masticrelay_certificates_refused_total", "",
        "changed TLS files that cannot be used");
    update_versions(tls);
    tls->ctx = load_files(tls, problem, size);
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
create_stream(mr_tls_t *tls, evutil_socket_t fd,
              enum bufferevent_ssl_state state)
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
    /* Callers may close without a TLS close_notify alert. Truncation is still
     * detected, as each answer states its length. */
    bufferevent_openssl_set_allow_dirty_shutdown(bev, 1);
    return bev;
}

struct bufferevent *
mr_tls_accept(mr_tls_t *tls, evutil_socket_t fd)
{
    return create_stream(tls, fd, BUFFEREVENT_SSL_ACCEPTING);
}

struct bufferevent *
mr_tls_connect(mr_tls_t *tls, evutil_socket_t fd)
{
    return create_stream(tls, fd, BUFFEREVENT_SSL_CONNECTING);
}
