#include "daemon/daemon.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

#include "common/address.h"
#include "common/mem.h"
#include "daemon/service.h"
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
    /* It exits when nothing has been in progress for this long. */
    DRAIN_QUIET_MS = 300,
};

/** Progress of a graceful stop. */
typedef enum drain_state {
    DRAIN_NONE,
    DRAIN_NOTICE,
    DRAIN_FINISHING,
} drain_state_t;

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
    struct event *drain_timer;
    drain_state_t drain;
    mr_ms_t drain_started;
    mr_ms_t busy_at; /* when something was last in progress */
    int64_t incarnation;
};

static size_t
count_running(const mr_daemon_t *d)
{
    return mr_entry_running(d->entry) + mr_owner_running(d->owner)
           + mr_reqid_running(d->reqid);
}

static void
begin_finishing(mr_daemon_t *d)
{
    d->drain = DRAIN_FINISHING;
    mr_entry_drain(d->entry);
    mr_limit_drain(d->limit);
}

static void
on_drain_tick(evutil_socket_t fd, short what, void *ctx)
{
    mr_daemon_t *d = ctx;
    mr_ms_t now = mr_clock_now(NULL);
    struct timeval tv = mr_clock_timeval(DRAIN_TICK_MS);

    (void)fd;
    (void)what;
    if (count_running(d) > 0) {
        d->busy_at = now;
    }
    switch (d->drain) {
    case DRAIN_NONE:
        return;
    case DRAIN_NOTICE:
        if (now - d->drain_started >= DRAIN_NOTICE_MS) {
            begin_finishing(d);
            d->busy_at = now;
        }
        break;
    case DRAIN_FINISHING:
        if (now - d->busy_at >= DRAIN_QUIET_MS
            || now - d->drain_started >= d->settings.drain_limit) {
            mr_log(MR_LOG_INFO, "stopped", "running=%zu drain_ms=%lld",
                   count_running(d), (long long)(now - d->drain_started));
            event_base_loopbreak(d->base);
            return;
        }
        break;
    }
    evtimer_add(d->drain_timer, &tv);
}

static void
on_signal(evutil_socket_t fd, short what, void *ctx)
{
    mr_daemon_t *d = ctx;

    (void)what;
    if (d->drain != DRAIN_NONE) {
        return;
    }
    mr_log(MR_LOG_INFO, "stopping", "signal=%d", (int)fd);
    d->drain = DRAIN_NOTICE;
    d->drain_started = mr_clock_now(NULL);
    mr_members_leave(d->members);
    mr_admin_set_draining(d->admin);
    on_drain_tick(-1, 0, d);
}

static void
create_platform_parts(mr_daemon_t *d)
{
    const mr_settings_t *s = &d->settings;
    mr_peer_options_t peer = {
        .base = d->base,
        .counters = d->counters,
        .name = s->name,
        .data_centre = s->data_centre,
        .incarnation = d->incarnation,
        .secret = s->secret,
        .tls = d->peer_tls,
    };
    mr_platform_options_t platform = {
        .base = d->base,
        .counters = d->counters,
        .address = s->platform,
        .timeout = PLATFORM_TIMEOUT_MS,
    };

    d->peer = mr_peer_create(&peer);
    d->platform = mr_platform_create(&platform);
    mr_members_options_t members = {
        .base = d->base,
        .counters = d->counters,
        .platform = d->platform,
        .peer = d->peer,
        .name = s->name,
        .data_centre = s->data_centre,
        .address = s->advertise,
        .incarnation = d->incarnation,
    };
    d->members = mr_members_create(&members);
    mr_config_store_options_t config = {
        .base = d->base,
        .counters = d->counters,
        .platform = d->platform,
        .peer = d->peer,
        .members = d->members,
        .data_centre = s->data_centre,
        .name = s->name,
        .approver_key = s->approver_key,
    };
    d->config = mr_config_store_create(&config);
    mr_limit_options_t limit = {
        .base = d->base,
        .clock = mr_clock_system(),
        .counters = d->counters,
        .platform = d->platform,
        .peer = d->peer,
        .members = d->members,
        .config = d->config,
        .name = s->name,
        .data_centre = s->data_centre,
    };
    d->limit = mr_limit_create(&limit);
}

static void
create_request_parts(mr_daemon_t *d)
{
    const mr_settings_t *s = &d->settings;
    mr_owner_options_t owner = {
        .base = d->base,
        .counters = d->counters,
        .platform = d->platform,
        .peer = d->peer,
        .members = d->members,
        .config = d->config,
        .name = s->name,
        .address = s->advertise,
    };

    d->owner = mr_owner_create(&owner);
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
}

static void
create_listeners(mr_daemon_t *d)
{
    const mr_settings_t *s = &d->settings;
    mr_entry_options_t entry = {
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
    mr_admin_options_t admin = {
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

    d->entry = mr_entry_create(&entry);
    d->admin = mr_admin_create(&admin);
}

static bool
listen_on(bool ok, const char *flag, const char *address)
{
    if (!ok) {
        fprintf(stderr, "masticrelayd: --%s: cannot listen on %s\n", flag,
                address);
    }
    return ok;
}

static bool
open_listeners(mr_daemon_t *d)
{
    const mr_settings_t *s = &d->settings;

    return listen_on(mr_peer_listen(d->peer, s->peer) > 0, "peer", s->peer)
           && listen_on(mr_admin_listen(d->admin, s->admin), "admin", s->admin)
           && listen_on(mr_entry_listen(d->entry, s->listen), "listen",
                        s->listen);
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
        mr_log(MR_LOG_WARNING, "descriptor_limit_low",
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
    if (!create_tls(d)) {
        mr_tls_destroy(d->tls);
        mr_tls_destroy(d->peer_tls);
        mr_counters_destroy(d->counters);
        event_base_free(d->base);
        free(d);
        return NULL;
    }
    create_platform_parts(d);
    create_request_parts(d);
    create_listeners(d);
    d->drain_timer = evtimer_new(d->base, on_drain_tick, d);
    add_signal(d, 0, SIGTERM);
    add_signal(d, 1, SIGINT);
    if (!open_listeners(d)) {
        mr_daemon_destroy(d);
        return NULL;
    }
    mr_log(MR_LOG_INFO, "started", "listen=%s peer=%s admin=%s",
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
    mr_admin_destroy(d->admin);
    mr_owner_destroy(d->owner);
    mr_reqid_destroy(d->reqid);
    mr_route_destroy(d->route);
    mr_entry_destroy(d->entry);
    mr_service_destroy(d->service);
    mr_limit_destroy(d->limit);
    mr_config_store_destroy(d->config);
    mr_members_destroy(d->members);
    mr_platform_destroy(d->platform);
    mr_peer_destroy(d->peer);
    mr_seal_destroy(d->reqid_seal);
    mr_tls_destroy(d->tls);
    mr_tls_destroy(d->peer_tls);
    event_free(d->drain_timer);
    event_free(d->signals[0]);
    event_free(d->signals[1]);
    mr_counters_destroy(d->counters);
    event_base_free(d->base);
    free(d);
}

int
mr_daemon_run(mr_daemon_t *daemon)
{
    printf("ready\n");
    fflush(stdout);
    return event_base_dispatch(daemon->base) < 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}
