#include "session/sessiond.h"

#include <event2/event.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include "common/counters.h"
#include "common/mem.h"
#include "common/memory.h"
#include "session/feed.h"
#include "session/fleet.h"
#include "session/promoter.h"
#include "session/promotion_client.h"
#include "session/quota.h"
#include "session/ready.h"
#include "session/relay.h"
#include "session/store.h"

enum {
    /* Time until the load balancer sends no new sessions. It removes an
     * instance after two failed readiness probes, one per second. */
    BALANCER_DELAY_MS = 2300,
    DRAIN_TICK_MS = 100,
    EXIT_MARGIN_MS = 500, /* exit this long before the kill */
    SIGNALS = 3,
};

struct mr_sessiond {
    struct event_base *base;
    mr_counters_t *counters;
    mr_memory_t *memory;
    mr_clusters_t *clusters;
    mr_quota_t *quota;
    mr_store_t *store;
    mr_promotion_client_t *duty;
    mr_directory_t *directory;
    mr_feed_t *feed;
    mr_primary_lease_t *lease;
    mr_lease_grantor_t *grantor;
    mr_promoter_t *promoter;
    mr_sampler_t *sampler;
    mr_fleet_t *fleet;
    mr_relay_t *relay;
    mr_ready_t *ready;
    struct event *signals[SIGNALS];
    struct event *drain_timer;
    mr_ms_t grace;
    mr_ms_t stopping_since; /* 0: not stopping */
};

static bool
is_ready(void *ctx)
{
    mr_sessiond_t *daemon = ctx;

    return daemon->stopping_since == 0
           && mr_directory_complete(daemon->directory)
           && mr_fleet_joined(daemon->fleet)
           && mr_primary_lease_was_held(daemon->lease);
}

static void
on_catalog(void *ctx, mr_catalog_t *catalog)
{
    mr_sessiond_t *daemon = ctx;

    mr_clusters_begin_services(daemon->clusters);
    for (size_t i = 0; i < catalog->service_count; i++) {
        const mr_catalog_service_t *service = &catalog->services[i];
        mr_cluster_set_connections(
            mr_clusters_get(daemon->clusters, service->name),
            service->connections_max);
    }
    mr_quota_set_catalog(daemon->quota, catalog);
    mr_relay_set_catalog(daemon->relay, catalog);
}

static void
on_refresh(void *ctx)
{
    mr_sessiond_t *daemon = ctx;

    mr_fleet_refresh(daemon->fleet);
}

static void
on_tokens_needed(void *ctx)
{
    mr_sessiond_t *daemon = ctx;

    mr_fleet_report_soon(daemon->fleet);
}

static void
on_tokens_drawn(void *ctx, int64_t round)
{
    mr_sessiond_t *daemon = ctx;

    mr_relay_on_tokens(daemon->relay, round);
}

static void
on_service_withheld(void *ctx)
{
    mr_sessiond_t *daemon = ctx;

    mr_fleet_announce_withheld(daemon->fleet);
}

static void
on_primary_promoted(void *ctx)
{
    mr_sessiond_t *daemon = ctx;

    mr_feed_refresh(daemon->feed);
}

static int64_t
sync_copies(void *ctx, const char *service)
{
    mr_sessiond_t *daemon = ctx;

    return mr_relay_sync_copies(daemon->relay, service);
}

/* Drains the instance. New sessions arrive until the balancer has removed it.
 * After that, idle sessions end, then open transactions are rolled back, then
 * the process exits. */
static void
on_drain_timer(evutil_socket_t fd, short what, void *ctx)
{
    mr_sessiond_t *daemon = ctx;
    mr_ms_t elapsed = mr_clock_now(NULL) - daemon->stopping_since;
    struct timeval tick = mr_clock_timeval(DRAIN_TICK_MS);

    (void)fd;
    (void)what;
    if (elapsed >= BALANCER_DELAY_MS) {
        mr_relay_drain(daemon->relay);
    }
    if (elapsed >= daemon->grace / 2) {
        mr_relay_abort_transactions(daemon->relay);
    }
    if ((elapsed >= BALANCER_DELAY_MS && mr_relay_sessions(daemon->relay) == 0)
        || elapsed >= daemon->grace - EXIT_MARGIN_MS) {
        event_base_loopbreak(daemon->base);
        return;
    }
    evtimer_add(daemon->drain_timer, &tick);
}

static void
on_signal(evutil_socket_t signal, short what, void *ctx)
{
    mr_sessiond_t *daemon = ctx;

    (void)what;
    if (signal == SIGHUP) {
        /* Settings are only read at the start of the process. */
        mr_log(MR_LOG_INFO, MR_EVENT_RELOAD, "effect=none");
        return;
    }
    if (daemon->stopping_since == 0) {
        mr_log(MR_LOG_INFO, MR_EVENT_STOPPING, "signal=%d sessions=%zu",
               (int)signal, mr_relay_sessions(daemon->relay));
        daemon->stopping_since = mr_clock_now(NULL);
        mr_fleet_leave(daemon->fleet);
        on_drain_timer(-1, 0, daemon);
    }
}

static void
add_signals(mr_sessiond_t *daemon)
{
    static const int numbers[SIGNALS] = {SIGTERM, SIGINT, SIGHUP};

    signal(SIGPIPE, SIG_IGN);
    for (int i = 0; i < SIGNALS; i++) {
        daemon->signals[i] =
            evsignal_new(daemon->base, numbers[i], on_signal, daemon);
        evsignal_add(daemon->signals[i], NULL);
    }
}

static void
create_fleet(mr_sessiond_t *daemon, const mr_sessiond_settings_t *settings)
{
    daemon->directory = mr_directory_create(&(mr_directory_options_t){
        .clusters = daemon->clusters,
        .counters = daemon->counters,
        .on_catalog = on_catalog,
        .ctx = daemon,
    });
    daemon->feed = mr_feed_create(&(mr_feed_options_t){
        .base = daemon->base,
        .store = daemon->store,
        .directory = daemon->directory,
        .link_mbps = settings->link_mbps,
        .apply_max = settings->apply_max,
    });
    daemon->lease =
        mr_primary_lease_create(daemon->counters, mr_clock_now(NULL));
    mr_clusters_set_lease(daemon->clusters, daemon->lease);
    daemon->grantor = mr_lease_grantor_create(settings->name, daemon->lease);
    daemon->promoter = mr_promoter_create(&(mr_promoter_options_t){
        .base = daemon->base,
        .counters = daemon->counters,
        .clusters = daemon->clusters,
        .store = daemon->store,
        .duty = daemon->duty,
        .grantor = daemon->grantor,
        .instance = settings->name,
        .sync_copies = sync_copies,
        .withheld = on_service_withheld,
        .promoted = on_primary_promoted,
        .ctx = daemon,
    });
    daemon->sampler = mr_sampler_create(daemon->base, daemon->clusters);
    daemon->fleet = mr_fleet_create(&(mr_fleet_options_t){
        .base = daemon->base,
        .counters = daemon->counters,
        .name = settings->name,
        .data_centre = settings->data_centre,
        .address = settings->peer,
        .link_mbps = settings->link_mbps,
        .store = daemon->store,
        .feed = daemon->feed,
        .directory = daemon->directory,
        .memory = daemon->memory,
        .clusters = daemon->clusters,
        .quota = daemon->quota,
        .promoter = daemon->promoter,
        .sampler = daemon->sampler,
        .lease = daemon->lease,
        .grantor = daemon->grantor,
        .tokens_drawn = on_tokens_drawn,
        .ctx = daemon,
    });
}

static bool
create_modules(mr_sessiond_t *daemon, const mr_sessiond_settings_t *settings)
{
    daemon->clusters =
        mr_clusters_create(settings->name, settings->data_centre);
    mr_clusters_set_counters(daemon->clusters, daemon->counters);
    daemon->quota = mr_quota_create(NULL, daemon->counters);
    daemon->store = mr_store_create(&(mr_store_options_t){
        .base = daemon->base,
        .counters = daemon->counters,
        .address = settings->store,
    });
    daemon->duty = mr_promotion_client_create(&(mr_promotion_client_options_t){
        .base = daemon->base,
        .counters = daemon->counters,
        .address = settings->duty,
        .holder = settings->name,
    });
    daemon->relay = mr_relay_create(&(mr_relay_options_t){
        .base = daemon->base,
        .counters = daemon->counters,
        .memory = daemon->memory,
        .clusters = daemon->clusters,
        .quota = daemon->quota,
        .listen = settings->listen,
        .refresh = on_refresh,
        .tokens_needed = on_tokens_needed,
        .ctx = daemon,
    });
    daemon->ready = mr_ready_create(daemon->base, settings->ready,
                                    daemon->counters, is_ready, daemon);
    if (daemon->store == NULL || daemon->duty == NULL || daemon->relay == NULL
        || daemon->ready == NULL) {
        return false;
    }
    create_fleet(daemon, settings);
    return true;
}

mr_sessiond_t *
mr_sessiond_create(const mr_sessiond_settings_t *settings)
{
    mr_sessiond_t *daemon = MR_NEW(mr_sessiond_t);

    mr_log_setup(settings->name, settings->log_level);
    daemon->grace = settings->grace;
    daemon->base = event_base_new();
    daemon->counters = mr_counters_create();
    mr_log_open(&(mr_log_options_t){.base = daemon->base,
                                    .counters = daemon->counters,
                                    .fd = STDOUT_FILENO});
    daemon->memory = mr_memory_create(
        &(mr_memory_options_t){.base = daemon->base,
                               .counters = daemon->counters,
                               .limit = settings->memory_limit});
    daemon->drain_timer = evtimer_new(daemon->base, on_drain_timer, daemon);
    add_signals(daemon);
    if (!create_modules(daemon, settings)) {
        mr_sessiond_destroy(daemon);
        return NULL;
    }
    mr_log(MR_LOG_INFO, MR_EVENT_STARTED, "data_centre=%s listen=%s",
           settings->data_centre, settings->listen);
    return daemon;
}

void
mr_sessiond_destroy(mr_sessiond_t *daemon)
{
    if (daemon == NULL) {
        return;
    }
    mr_ready_destroy(daemon->ready);
    mr_memory_destroy(daemon->memory);
    mr_relay_destroy(daemon->relay);
    /* Before the modules below, which pending calls refer to. */
    mr_promotion_client_destroy(daemon->duty);
    mr_store_destroy(daemon->store);
    mr_fleet_destroy(daemon->fleet);
    mr_promoter_destroy(daemon->promoter);
    mr_sampler_destroy(daemon->sampler);
    mr_feed_destroy(daemon->feed);
    mr_directory_destroy(daemon->directory);
    mr_quota_destroy(daemon->quota);
    mr_clusters_destroy(daemon->clusters);
    mr_lease_grantor_destroy(daemon->grantor);
    mr_primary_lease_destroy(daemon->lease);
    for (int i = 0; i < SIGNALS; i++) {
        event_free(daemon->signals[i]);
    }
    event_free(daemon->drain_timer);
    mr_log_close();
    mr_counters_destroy(daemon->counters);
    event_base_free(daemon->base);
    free(daemon);
}

int
mr_sessiond_run(mr_sessiond_t *daemon)
{
    int result = event_base_dispatch(daemon->base);

    mr_log(MR_LOG_INFO, MR_EVENT_STOPPED, "sessions=%zu",
           mr_relay_sessions(daemon->relay));
    return result < 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}
