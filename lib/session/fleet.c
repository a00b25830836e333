#include <stdlib.h>

#include "common/log.h"
#include "common/mem.h"
#include "member/rendezvous.h"
#include "session/fleet_internal.h"

enum {
    REPORT_INTERVAL_MIN_MS = 5,
    /* An instance without a reply for this long reads the store itself. */
    ISOLATED_AFTER_MS = 700,
    /* Number of instances, the coordinator among them, that read the desired
     * state first when its confirmations are late, so that the others need not
     * do so in a large deployment. */
    CONFIG_READERS = 8,
    CHECK_PERIOD_MS = 100, /* of primaries, by the coordinator */
};

size_t
mr_fleet_instances(const mr_fleet_t *fleet)
{
    size_t known = fleet->other_count + 1;

    return fleet->reported_instances > known ? fleet->reported_instances
                                             : known;
}

void
mr_fleet_update_count(mr_fleet_t *fleet)
{
    size_t instances = mr_fleet_instances(fleet);

    mr_quota_set_instances(fleet->options.quota, instances);
    mr_clusters_set_instances(fleet->options.clusters, (int64_t)instances);
    mr_lease_grantor_set_instances(fleet->options.grantor, instances);
    mr_counter_set(fleet->instances_gauge, (int64_t)instances);
}

mr_peer_t *
mr_fleet_peer(mr_fleet_t *fleet)
{
    return fleet->peer;
}

void
mr_fleet_set_owners(mr_fleet_t *fleet, mr_owners_t *owners)
{
    fleet->owners = owners;
    mr_fleet_update_owners(fleet);
}

void
mr_fleet_update_owners(mr_fleet_t *fleet)
{
    if (fleet->owners == NULL) {
        return;
    }
    mr_owners_begin(fleet->owners);
    mr_owners_add(fleet->owners, fleet->options.name, fleet->options.address,
                  fleet->options.data_centre);
    MR_LIST_FOREACH(it, &fleet->instances)
    {
        const mr_fleet_instance_t *instance =
            MR_LIST_ENTRY(it, mr_fleet_instance_t, link);
        if (instance->registered_data_centre != NULL) {
            mr_owners_add(fleet->owners, instance->name, instance->address,
                          instance->registered_data_centre);
        }
    }
    if (mr_owners_end(fleet->owners)) {
        mr_clusters_update_shares(fleet->options.clusters);
    }
}

bool
mr_fleet_joined(const mr_fleet_t *fleet)
{
    return fleet->joined;
}

/* Returns the reachable instance with the highest priority; NULL: this one. */
static mr_fleet_instance_t *
choose_coordinator(mr_fleet_t *fleet)
{
    MR_LIST_FOREACH(it, &fleet->instances)
    {
        mr_fleet_instance_t *instance =
            MR_LIST_ENTRY(it, mr_fleet_instance_t, link);
        if (!fleet->leaving && fleet->own_priority > instance->priority) {
            return NULL;
        }
        if (instance->failures < MR_FLEET_FAILURES_MAX) {
            return instance;
        }
    }
    return NULL;
}

/* Rank of this instance by priority among the reachable ones, from 0. */
static size_t
own_rank(mr_fleet_t *fleet)
{
    size_t rank = 0;

    MR_LIST_FOREACH(it, &fleet->instances)
    {
        mr_fleet_instance_t *instance =
            MR_LIST_ENTRY(it, mr_fleet_instance_t, link);
        if (instance->priority > fleet->own_priority
            && instance->failures < MR_FLEET_FAILURES_MAX) {
            rank++;
        }
    }
    return rank;
}

static void
update_feed_role(mr_fleet_t *fleet, mr_ms_t now)
{
    mr_feed_role_t role = MR_FEED_NONE;

    if (fleet->coordinating) {
        role = MR_FEED_COORDINATOR;
    }
    else if (now - fleet->answered_at > ISOLATED_AFTER_MS
             || fleet->store_failing) {
        role = MR_FEED_ISOLATED;
    }
    else if (own_rank(fleet) < CONFIG_READERS) {
        role = MR_FEED_DEPUTY;
    }
    mr_feed_set_role(fleet->options.feed, role);
}

static void
set_coordinator(mr_fleet_t *fleet, mr_fleet_instance_t *coordinator,
                mr_ms_t now)
{
    bool coordinating = coordinator == NULL;

    if (fleet->coordinator != coordinator
        || fleet->coordinating != coordinating) {
        mr_log(MR_LOG_INFO, MR_EVENT_COORDINATOR_CHOSEN,
               "name=%s instances=%zu",
               coordinating ? fleet->options.name : coordinator->name,
               mr_fleet_instances(fleet));
    }
    if (fleet->coordinator != NULL && fleet->coordinator != coordinator) {
        /* It no longer grants this instance's part of the rates. */
        mr_fleet_introduce(fleet, fleet->coordinator);
    }
    if (fleet->coordinator != coordinator) {
        /* Send it no contents before its first reply, as it may have them. */
        fleet->coordinator_directory =
            (mr_msg_directory_t){.config_version = INT64_MAX,
                                 .registrations_version = INT64_MAX,
                                 .registrations_era = INT64_MAX};
    }
    if (coordinating && !fleet->coordinating) {
        fleet->coordinating_since = now;
    }
    if (!coordinating && fleet->coordinating) {
        mr_sampler_stop(fleet->options.sampler);
        mr_promoter_stop(fleet->options.promoter);
    }
    mr_lease_grantor_set_coordinating(fleet->options.grantor, coordinating,
                                      now);
    fleet->coordinator = coordinator;
    fleet->coordinating = coordinating;
    mr_counter_set(fleet->coordinator_gauge, coordinating);
}

void
mr_fleet_update_coordinator(mr_fleet_t *fleet, mr_ms_t now)
{
    set_coordinator(fleet, choose_coordinator(fleet), now);
    update_feed_role(fleet, now);
}

static void
on_check_timer(evutil_socket_t fd, short what, void *ctx)
{
    mr_fleet_t *fleet = ctx;
    mr_ms_t now = mr_clock_now(NULL);

    (void)fd;
    (void)what;
    mr_timer_start(fleet->check_timer, CHECK_PERIOD_MS);
    if (fleet->coordinating && !fleet->leaving) {
        mr_sampler_run(fleet->options.sampler, now);
        mr_promoter_check(fleet->options.promoter, now,
                          mr_budgets_reporting(fleet->budgets, now),
                          mr_fleet_instances(fleet));
    }
}

void
mr_fleet_start_reports(mr_fleet_t *fleet)
{
    mr_timer_start(fleet->report_timer, 0);
    mr_timer_start(fleet->check_timer, 0);
}

mr_fleet_t *
mr_fleet_create(const mr_fleet_options_t *options)
{
    mr_fleet_t *fleet = MR_NEW(mr_fleet_t);

    fleet->options = *options;
    fleet->own_priority = mr_fleet_priority(options->name, options->link_mbps);
    fleet->own_registration =
        mr_asprintf("%s %lld %s", options->address,
                    (long long)options->link_mbps, options->data_centre);
    fleet->budgets = mr_budgets_create();
    mr_list_init(&fleet->instances);
    mr_list_init(&fleet->reports);
    fleet->report_timer =
        evtimer_new(options->base, mr_fleet_on_report_timer, fleet);
    fleet->check_timer = evtimer_new(options->base, on_check_timer, fleet);
    fleet->members_timer =
        evtimer_new(options->base, mr_fleet_on_members_timer, fleet);
    fleet->coordinator_gauge =
        mr_counters_get(options->counters, "masticrelay_coordinator", "",
                        "1 while this instance coordinates");
    fleet->reports_failed_counter =
        mr_counters_get(options->counters, "masticrelay_reports_failed_total",
                        "", "reports to the coordinator without an answer");
    fleet->instances_gauge =
        mr_counters_get(options->counters, "masticrelay_instances", "",
                        "instances that may admit operations");
    fleet->unconfirmed_gauge = mr_counters_get(
        options->counters, "masticrelay_desired_state_unconfirmed_ms", "",
        "time since the desired state was last known to be the newest");
    mr_fleet_create_peer(fleet);
    mr_store_on_era(options->store, mr_fleet_on_era, fleet);
    mr_timer_start(fleet->members_timer, 0);
    return fleet;
}

void
mr_fleet_destroy(mr_fleet_t *fleet)
{
    if (fleet == NULL) {
        return;
    }
    while (!mr_list_empty(&fleet->instances)) {
        mr_fleet_remove_instance(
            fleet,
            MR_LIST_ENTRY(fleet->instances.next, mr_fleet_instance_t, link));
    }
    mr_updates_destroy(fleet->updates);
    mr_peer_destroy(fleet->peer);
    mr_budgets_destroy(fleet->budgets);
    free(fleet->own_registration);
    event_free(fleet->report_timer);
    event_free(fleet->check_timer);
    event_free(fleet->members_timer);
    free(fleet);
}

void
mr_fleet_refresh(mr_fleet_t *fleet)
{
    if (!fleet->refresh_wanted) {
        fleet->refresh_wanted = true;
        mr_fleet_report_soon(fleet);
    }
}

void
mr_fleet_report_soon(mr_fleet_t *fleet)
{
    mr_ms_t due =
        fleet->reported_at + REPORT_INTERVAL_MIN_MS - mr_clock_now(NULL);

    fleet->report_wanted = true;
    if (fleet->joined) {
        mr_timer_start(fleet->report_timer, due > 0 ? due : 0);
    }
}

void
mr_fleet_leave(mr_fleet_t *fleet)
{
    fleet->leaving = true;
    if (fleet->joined) {
        /* Before the next reply, which tells the others. */
        mr_fleet_update_coordinator(fleet, mr_clock_now(NULL));
        mr_fleet_report_soon(fleet);
    }
}
