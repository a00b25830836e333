#include "daemon/daemon.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

#include "common/address.h"
#include "common/mem.h"
#include "daemon/service.h"
#include "daemon/supervisor.h"
#include "entry/admin.h"
#include "entry/entry.h"

enum {
    /* For links between instances, targets, the platform and operators. */
    RESERVED_DESCRIPTORS = 1024,
    PLATFORM_TIMEOUT_MS = 1000,
    DRAIN_TICK_MS = 25,
    /* After announcing that it leaves, the instance still accepts callers for
     * this long, so that balancer and peers learn first. */
    DRAIN_NOTICE_MS = 1000,
    /* A module is drained when it had nothing in progress for this long. */
    DRAIN_QUIET_MS = 300,
};

/** Waits until a module has nothing in progress. */
typedef struct drain {
    mr_daemon_t *daemon;
    size_t (*running)(const mr_daemon_t *daemon);
    mr_ms_t busy_at;
    struct event *timer;
    mr_supervisor_done_fn_t done;
    void *done_ctx;
} drain_t;

struct mr_daemon {
    mr_settings_t settings;
    struct event_base *base;
    mr_counters_t *counters;
    mr_tls_t *tls;
    mr_tls_t *peer_tls;
    mr_peer_t *peer;
    mr_platform_t *platform;
    mr_members_t *members;
    mr_config_store_t *config;
    mr_limit_t *limit;
    mr_owner_t *owner;
    mr_route_t *route;
    mr_service_t *service;
    mr_seal_t *reqid_seal;
    mr_reqid_t *reqid;
    mr_entry_t *entry;
    mr_admin_t *admin;
    struct event *signals[2];
    struct event *notice; /* ends the notice before a stop */
    mr_supervisor_t *supervisor;
    drain_t drain_entry;
    drain_t drain_requests;
    drain_t drain_owner;
    bool stopping;
    mr_ms_t stop_started;
    int status;
    int64_t incarnation;
};

/* Draining. */

static size_t
entry_running(const mr_daemon_t *d)
{
    return mr_entry_request_count(d->entry);
}

static size_t
requests_running(const mr_daemon_t *d)
{
    return mr_reqid_request_count(d->reqid);
}

static size_t
owner_running(const mr_daemon_t *d)
{
    return mr_owner_running(d->owner);
}

static void
end_drain(drain_t *drain)
{
    if (drain->timer != NULL) {
        event_free(drain->timer);
        drain->timer = NULL;
    }
}

static void
on_drain_tick(evutil_socket_t fd, short what, void *ctx)
{
    drain_t *drain = ctx;
    mr_ms_t now = mr_clock_now(NULL);
    struct timeval tv = mr_clock_timeval(DRAIN_TICK_MS);

    (void)fd;
    (void)what;
    if (drain->running(drain->daemon) > 0) {
        drain->busy_at = now;
    }
    if (now - drain->busy_at >= DRAIN_QUIET_MS) {
        end_drain(drain);
        drain->done(drain->done_ctx);
        return;
    }
    evtimer_add(drain->timer, &tv);
}

static void
start_drain(mr_daemon_t *d, drain_t *drain,
            size_t (*running)(const mr_daemon_t *daemon),
            mr_supervisor_done_fn_t done, void *done_ctx)
{
    drain->daemon = d;
    drain->running = running;
    drain->done = done;
    drain->done_ctx = done_ctx;
    drain->busy_at = mr_clock_now(NULL);
    drain->timer = evtimer_new(d->base, on_drain_tick, drain);
    on_drain_tick(-1, 0, drain);
}

/* Children of the supervisor, in the order in which they are started. */

/* Stop function of a child that consists of one module. */
#define DEFINE_STOP(child, destroy)                                           \
    static void stop_##child(void *ctx)                                       \
    {                                                                         \
        mr_daemon_t *d = ctx;                                                 \
        destroy(d->child);                                                    \
        d->child = NULL;                                                      \
    }

DEFINE_STOP(peer, mr_peer_destroy)
DEFINE_STOP(platform, mr_platform_destroy)
DEFINE_STOP(members, mr_members_destroy)
DEFINE_STOP(config, mr_config_store_destroy)
DEFINE_STOP(limit, mr_limit_destroy)
DEFINE_STOP(admin, mr_admin_destroy)

static bool
listen_failed(const char *setting, const char *address)
{
    mr_log(MR_LOG_ERROR, MR_EVENT_LISTEN_FAILED, "setting=%s address=%s",
           setting, address);
    return false;
}

static bool
start_peers(void *ctx)
{
    mr_daemon_t *d = ctx;
    const mr_settings_t *s = &d->settings;
    mr_peer_options_t options = {
        .base = d->base,
        .counters = d->counters,
        .name = s->name,
        .data_centre = s->data_centre,
        .incarnation = d->incarnation,
        .secret = s->secret,
        .tls = d->peer_tls,
    };

    d->peer = mr_peer_create(&options);
    if (mr_peer_listen(d->peer, s->peer) > 0) {
        return true;
    }
    stop_peer(d);
    return listen_failed("--peer", s->peer);
}

static bool
start_platform(void *ctx)
{
    mr_daemon_t *d = ctx;
    mr_platform_options_t options = {
        .base = d->base,
        .counters = d->counters,
        .address = d->settings.platform,
        .timeout = PLATFORM_TIMEOUT_MS,
    };

    d->platform = mr_platform_create(&options);
    return true;
}

static bool
start_members(void *ctx)
{
    mr_daemon_t *d = ctx;
    mr_members_options_t options = {
        .base = d->base,
        .counters = d->counters,
        .platform = d->platform,
        .peer = d->peer,
        .name = d->settings.name,
        .data_centre = d->settings.data_centre,
        .address = d->settings.advertise,
        .incarnation = d->incarnation,
    };

    d->members = mr_members_create(&options);
    return true;
}

static bool
start_config(void *ctx)
{
    mr_daemon_t *d = ctx;
    mr_config_store_options_t options = {
        .base = d->base,
        .counters = d->counters,
        .platform = d->platform,
        .peer = d->peer,
        .members = d->members,
        .data_centre = d->settings.data_centre,
        .name = d->settings.name,
        .approver_key = d->settings.approver_key,
    };

    d->config = mr_config_store_create(&options);
    return true;
}

static bool
start_limit(void *ctx)
{
    mr_daemon_t *d = ctx;
    mr_limit_options_t options = {
        .base = d->base,
        .clock = mr_clock_system(),
        .counters = d->counters,
        .platform = d->platform,
        .peer = d->peer,
        .members = d->members,
        .config = d->config,
        .name = d->settings.name,
        .data_centre = d->settings.data_centre,
    };

    d->limit = mr_limit_create(&options);
    return true;
}

static void
drain_limit(void *ctx, mr_supervisor_done_fn_t done, void *done_ctx)
{
    mr_daemon_t *d = ctx;

    mr_limit_drain(d->limit);
    done(done_ctx);
}

static bool
start_owner(void *ctx)
{
    mr_daemon_t *d = ctx;
    mr_owner_options_t options = {
        .base = d->base,
        .counters = d->counters,
        .platform = d->platform,
        .peer = d->peer,
        .members = d->members,
        .config = d->config,
        .name = d->settings.name,
        .address = d->settings.advertise,
    };

    d->owner = mr_owner_create(&options);
    return true;
}

static void
drain_owner(void *ctx, mr_supervisor_done_fn_t done, void *done_ctx)
{
    mr_daemon_t *d = ctx;

    start_drain(d, &d->drain_owner, owner_running, done, done_ctx);
}

static void
stop_owner(void *ctx)
{
    mr_daemon_t *d = ctx;

    end_drain(&d->drain_owner);
    mr_owner_destroy(d->owner);
    d->owner = NULL;
}

static bool
start_requests(void *ctx)
{
    mr_daemon_t *d = ctx;
    const mr_settings_t *s = &d->settings;
    mr_route_options_t route = {
        .base = d->base,
        .counters = d->counters,
        .peer = d->peer,
        .members = d->members,
        .config = d->config,
        .owner = d->owner,
        .name = s->name,
        .data_centre = s->data_centre,
    };

    d->route = mr_route_create(&route);
    mr_service_options_t service = {
        .peer = d->peer,
        .config = d->config,
        .limit = d->limit,
        .owner = d->owner,
        .route = d->route,
    };
    d->service = mr_service_create(&service);
    d->reqid_seal = mr_seal_create(s->secret, MR_SEAL_REQUEST_ID);
    mr_reqid_options_t reqid = {
        .base = d->base,
        .clock = mr_clock_system(),
        .counters = d->counters,
        .seal = d->reqid_seal,
        .name = s->name,
        .address = s->advertise,
        .incarnation = d->incarnation,
        .run = mr_service_run,
        .run_ctx = d->service,
    };
    d->reqid = mr_reqid_create(&reqid);
    mr_service_set_reqid(d->service, d->reqid);
    return true;
}

static void
drain_requests(void *ctx, mr_supervisor_done_fn_t done, void *done_ctx)
{
    mr_daemon_t *d = ctx;

    start_drain(d, &d->drain_requests, requests_running, done, done_ctx);
}

static void
stop_requests(void *ctx)
{
    mr_daemon_t *d = ctx;

    end_drain(&d->drain_requests);
    mr_service_destroy(d->service);
    mr_reqid_destroy(d->reqid);
    mr_route_destroy(d->route);
    mr_seal_destroy(d->reqid_seal);
    d->service = NULL;
    d->reqid = NULL;
    d->route = NULL;
    d->reqid_seal = NULL;
}

static void
stop_entry(void *ctx)
{
    mr_daemon_t *d = ctx;

    end_drain(&d->drain_entry);
    mr_entry_destroy(d->entry);
    d->entry = NULL;
}

static bool
start_entry(void *ctx)
{
    mr_daemon_t *d = ctx;
    const mr_settings_t *s = &d->settings;
    mr_entry_options_t options = {
        .base = d->base,
        .counters = d->counters,
        .config = d->config,
        .limit = d->limit,
        .route = d->route,
        .reqid = d->reqid,
        .secret = s->secret,
        .name = s->name,
        .tls = d->tls,
        .descriptors_max = (size_t)s->connections_max + RESERVED_DESCRIPTORS,
    };

    d->entry = mr_entry_create(&options);
    if (mr_entry_listen(d->entry, s->listen)) {
        return true;
    }
    stop_entry(d);
    return listen_failed("--listen", s->listen);
}

static void
drain_entry(void *ctx, mr_supervisor_done_fn_t done, void *done_ctx)
{
    mr_daemon_t *d = ctx;

    mr_entry_drain(d->entry);
    start_drain(d, &d->drain_entry, entry_running, done, done_ctx);
}

static bool
start_admin(void *ctx)
{
    mr_daemon_t *d = ctx;
    const mr_settings_t *s = &d->settings;
    mr_admin_options_t options = {
        .base = d->base,
        .counters = d->counters,
        .config = d->config,
        .limit = d->limit,
        .members = d->members,
        .owner = d->owner,
        .name = s->name,
        .data_centre = s->data_centre,
        .incarnation = d->incarnation,
        .credential = s->operator_credential,
        .tls = d->tls,
    };

    d->admin = mr_admin_create(&options);
    if (mr_admin_listen(d->admin, s->admin)) {
        mr_log(MR_LOG_INFO, MR_EVENT_READY, "admin=%s", s->admin);
        mr_log_flush();
        return true;
    }
    stop_admin(d);
    return listen_failed("--admin", s->admin);
}

static const mr_supervisor_child_t child_table[] = {
    {"peers", NULL, start_peers, NULL, stop_peer},
    {"platform", NULL, start_platform, NULL, stop_platform},
    {"members", NULL, start_members, NULL, stop_members},
    {"config", NULL, start_config, NULL, stop_config},
    {"limit", NULL, start_limit, drain_limit, stop_limit},
    {"owner", NULL, start_owner, drain_owner, stop_owner},
    {"requests", NULL, start_requests, drain_requests, stop_requests},
    {"entry", NULL, start_entry, drain_entry, stop_entry},
    {"admin", NULL, start_admin, NULL, stop_admin},
};

static void
on_child_failed(void *ctx, const char *name)
{
    mr_daemon_t *d = ctx;

    mr_log(MR_LOG_ERROR, MR_EVENT_CHILD_FAILED, "child=%s", name);
    d->status = EXIT_FAILURE;
    event_base_loopbreak(d->base);
}

static void
create_supervisor(mr_daemon_t *d)
{
    mr_supervisor_options_t options = {
        .base = d->base,
        .counters = d->counters,
        .failed = on_child_failed,
        .ctx = d,
    };

    d->supervisor = mr_supervisor_create(&options);
    for (size_t i = 0; i < sizeof(child_table) / sizeof(child_table[0]); i++) {
        mr_supervisor_child_t child = child_table[i];
        child.ctx = d;
        mr_supervisor_add(d->supervisor, &child);
    }
}

/* Stopping. */

static void
on_stopped(void *ctx)
{
    mr_daemon_t *d = ctx;

    mr_log(MR_LOG_INFO, MR_EVENT_STOPPED, "drain_ms=%lld",
           (long long)(mr_clock_now(NULL) - d->stop_started));
    event_base_loopbreak(d->base);
}

static void
on_notice_over(evutil_socket_t fd, short what, void *ctx)
{
    mr_daemon_t *d = ctx;

    (void)fd;
    (void)what;
    mr_supervisor_stop(d->supervisor, d->settings.drain_limit, on_stopped, d);
}

static void
on_signal(evutil_socket_t fd, short what, void *ctx)
{
    mr_daemon_t *d = ctx;
    struct timeval notice = mr_clock_timeval(DRAIN_NOTICE_MS);

    (void)what;
    if (d->stopping) {
        return;
    }
    mr_log(MR_LOG_INFO, MR_EVENT_STOPPING, "signal=%d", (int)fd);
    d->stopping = true;
    d->stop_started = mr_clock_now(NULL);
    if (!mr_supervisor_running(d->supervisor)) {
        event_base_loopbreak(d->base);
        return;
    }
    mr_members_leave(d->members);
    mr_admin_set_draining(d->admin);
    evtimer_add(d->notice, &notice);
}

static void
add_signal(mr_daemon_t *d, size_t index, int number)
{
    d->signals[index] = evsignal_new(d->base, number, on_signal, d);
    evsignal_add(d->signals[index], NULL);
}

static mr_tls_t *
read_tls(mr_daemon_t *d, const char *flag, const char *certificate,
         const char *key, const char *authorities)
{
    mr_tls_options_t options = {.base = d->base,
                                .counters = d->counters,
                                .certificate = certificate,
                                .key = key,
                                .authorities = authorities};
    char problem[256];
    mr_tls_t *tls = mr_tls_create(&options, problem, sizeof(problem));

    if (tls == NULL) {
        fprintf(stderr, "masticrelayd: --%s: %s\n", flag, problem);
    }
    return tls;
}

static bool
create_tls(mr_daemon_t *d)
{
    const mr_settings_t *s = &d->settings;

    if (s->tls_certificate != NULL) {
        d->tls = read_tls(d, "tls-certificate", s->tls_certificate, s->tls_key,
                          NULL);
    }
    if (s->peer_certificate != NULL) {
        d->peer_tls = read_tls(d, "peer-certificate", s->peer_certificate,
                               s->peer_key, s->peer_authorities);
    }
    return (s->tls_certificate == NULL || d->tls != NULL)
           && (s->peer_certificate == NULL || d->peer_tls != NULL);
}

/* The soft limit is often 1,024; the hard one is the machine's own. */
static void
raise_descriptor_limit(const mr_settings_t *settings)
{
    struct rlimit limit;
    rlim_t wanted =
        (rlim_t)settings->connections_max + 2 * RESERVED_DESCRIPTORS;

    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= wanted) {
        return;
    }
    limit.rlim_cur = wanted < limit.rlim_max ? wanted : limit.rlim_max;
    if (setrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur < wanted) {
        mr_log(MR_LOG_WARNING, MR_EVENT_DESCRIPTOR_LIMIT_LOW,
               "limit=%llu wanted=%llu", (unsigned long long)limit.rlim_cur,
               (unsigned long long)wanted);
    }
}

mr_daemon_t *
mr_daemon_create(const mr_settings_t *settings)
{
    mr_daemon_t *d = MR_NEW(mr_daemon_t);

    d->settings = *settings;
    /* Later starts of an instance must have higher incarnations; the wall
     * clock gives that without a disk. */
    d->incarnation = mr_clock_wall();
    signal(SIGPIPE, SIG_IGN);
    raise_descriptor_limit(settings);
    if (settings->source != NULL) {
        mr_address_set_source(settings->source);
    }
    mr_log_setup(settings->name, settings->log_level);
    d->base = event_base_new();
    d->counters = mr_counters_create();
    mr_log_open(&(mr_log_options_t){
        .base = d->base, .counters = d->counters, .fd = STDOUT_FILENO});
    if (!create_tls(d)) {
        mr_daemon_destroy(d);
        return NULL;
    }
    d->notice = evtimer_new(d->base, on_notice_over, d);
    add_signal(d, 0, SIGTERM);
    add_signal(d, 1, SIGINT);
    create_supervisor(d);
    mr_log(MR_LOG_INFO, MR_EVENT_STARTED, "listen=%s peer=%s admin=%s",
           settings->listen, settings->peer, settings->admin);
    return d;
}

void
mr_daemon_destroy(mr_daemon_t *daemon)
{
    mr_daemon_t *d = daemon;

    if (d == NULL) {
        return;
    }
    if (d->supervisor != NULL) {
        mr_supervisor_destroy(d->supervisor);
        event_free(d->notice);
        event_free(d->signals[0]);
        event_free(d->signals[1]);
    }
    mr_tls_destroy(d->tls);
    mr_tls_destroy(d->peer_tls);
    mr_log_close();
    mr_counters_destroy(d->counters);
    event_base_free(d->base);
    free(d);
}

int
mr_daemon_run(mr_daemon_t *daemon)
{
    mr_supervisor_start(daemon->supervisor);
    if (event_base_dispatch(daemon->base) < 0) {
        return EXIT_FAILURE;
    }
    return daemon->status;
}
