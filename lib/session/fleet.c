#include "session/fleet.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "common/address.h"
#include "common/list.h"
#include "common/log.h"
#include "common/mem.h"
#include "member/rendezvous.h"
#include "session/budget.h"
#include "wire/peer.h"

enum {
    REPORT_PERIOD_MS = 250,
    REPORT_GAP_MS = 5, /* least time between two reports */
    REPORT_TIMEOUT_MS = 350,
    /* Drawn tokens lapse after it; a coordinator counts an instance for the
     * same time after its report (see budget.c). */
    TOKEN_LIFETIME_MS = 1200,
    /* An instance that did not answer twice is passed over. */
    FAILURES_MAX = 2,
    /* Instances that come before the coordinator are tried again. */
    RETRY_BETTER_MS = 1500,
    /* Without an answer for this long an instance reads the store itself. */
    ALONE_AFTER_MS = 700,
    /* Instances that follow the desired state in the store, for the case that
     * the coordinator's own feed fails. */
    CONFIG_READERS = 3,
    CHECK_PERIOD_MS = 100, /* of promotions that are due */
    MEMBERS_RETRY_MS = 300,
    MEMBERS_SOON_MS = 1500, /* all instances start at about the same time */
    MEMBERS_PERIOD_MS = 20000,
    /* A registered instance that never reports is removed. */
    PURGE_AFTER_MS = 15000,
    HEALTH_MAX = 4096,
    WANTS_MAX = 1024,
};

static const char instances_table[] = "instances";
static const char secret_table[] = "fleet";
static const char secret_key[] = "secret";

/** Another instance. */
typedef struct peer_instance {
    mr_list_t link;
    char *name;
    char *address;
    int64_t row_version; /* 0: known from a report only */
    uint64_t order;      /* the highest coordinates */
    int failures;
    mr_ms_t tried_at;
    mr_ms_t heard_at; /* its last report */
    bool listed;
} instance_t;

/** A report under way. */
typedef struct report {
    mr_list_t link;
    mr_fleet_t *fleet;
    instance_t *to;
    mr_peer_call_t *call;
    mr_ms_t sent_at;
} report_t;

struct mr_fleet {
    mr_fleet_options_t options;
    mr_peer_t *peer; /* NULL until the secret is known */
    mr_budgets_t *budgets;
    mr_list_t instances; /* others, highest order first */
    size_t count;
    uint64_t own_order;
    int64_t own_version; /* of the own registration; 0: none */
    bool joined;
    bool leaving;
    bool coordinating;
    bool refresh;
    bool store_failing;        /* for the coordinator */
    bool notified;             /* a report is wanted at once */
    bool again;                /* as soon as the present one is answered */
    size_t reported_instances; /* as the coordinator counts them */
    mr_ms_t answered_at;       /* last reply of the coordinator */
    mr_ms_t reported_at;
    mr_ms_t started_at;
    mr_ms_t coordinating_since;
    instance_t *coordinator; /* NULL: this one */
    /* What the coordinator last said that it has; the versions only. */
    mr_msg_view_t coordinator_view;
    mr_list_t reports;
    struct event *report_timer;
    struct event *check_timer;
    struct event *members_timer;
    uint8_t secret[MR_PEER_SECRET_BYTES];
    mr_counter_t *is_coordinator;
    mr_counter_t *reports_failed;
    mr_counter_t *instance_gauge;
};

static void start_reports(mr_fleet_t *fleet);

static void
set_timer(struct event *timer, mr_ms_t after)
{
    struct timeval tv = mr_clock_timeval(after);

    evtimer_add(timer, &tv);
}

size_t
mr_fleet_instances(const mr_fleet_t *fleet)
{
    size_t known = fleet->count + 1;

    return fleet->reported_instances > known ? fleet->reported_instances
                                             : known;
}

bool
mr_fleet_joined(const mr_fleet_t *fleet)
{
    return fleet->joined;
}

static void
update_count(mr_fleet_t *fleet)
{
    size_t instances = mr_fleet_instances(fleet);

    mr_quota_set_instances(fleet->options.quota, instances);
    mr_clusters_set_instances(fleet->options.clusters, (int64_t)instances);
    mr_counter_set(fleet->instance_gauge, (int64_t)instances);
}

static instance_t *
find_instance(mr_fleet_t *fleet, const char *name)
{
    MR_LIST_FOREACH(it, &fleet->instances)
    {
        instance_t *instance = MR_LIST_ENTRY(it, instance_t, link);
        if (strcmp(instance->name, name) == 0) {
            return instance;
        }
    }
    return NULL;
}

static void
forget_instance(mr_fleet_t *fleet, instance_t *instance)
{
    MR_LIST_FOREACH(it, &fleet->reports)
    {
        report_t *report = MR_LIST_ENTRY(it, report_t, link);
        if (report->to == instance) {
            mr_peer_cancel(report->call);
            mr_list_remove(it);
            free(report);
        }
    }
    if (fleet->coordinator == instance) {
        fleet->coordinator = NULL;
    }
    mr_list_remove(&instance->link);
    fleet->count--;
    free(instance->name);
    free(instance->address);
    free(instance);
}

static instance_t *
add_instance(mr_fleet_t *fleet, const char *name, const char *address)
{
    instance_t *instance = MR_NEW(instance_t);
    mr_list_t *before = &fleet->instances;

    instance->name = mr_strdup(name);
    instance->address = mr_strdup(address);
    instance->order = mr_rendezvous_score("coordinator", name);
    MR_LIST_FOREACH(it, &fleet->instances)
    {
        if (MR_LIST_ENTRY(it, instance_t, link)->order < instance->order) {
            before = it;
            break;
        }
    }
    mr_list_append(before, &instance->link);
    fleet->count++;
    update_count(fleet);
    return instance;
}

/* Adds an instance, or notes its new address. */
static instance_t *
note_instance(mr_fleet_t *fleet, const char *name, const char *address)
{
    instance_t *instance = find_instance(fleet, name);
    struct sockaddr_storage addr;
    int len;

    if (!mr_address_parse(address, &addr, &len)) {
        mr_log(MR_LOG_WARNING, "instance_address_malformed",
               "name=%s address=%s", name, address);
        return instance;
    }
    if (instance == NULL) {
        return add_instance(fleet, name, address);
    }
    if (strcmp(instance->address, address) != 0) {
        free(instance->address);
        instance->address = mr_strdup(address);
        instance->failures = 0;
    }
    return instance;
}

/* The first instance in the order that answers; NULL: this one. */
static instance_t *
choose_coordinator(mr_fleet_t *fleet)
{
    MR_LIST_FOREACH(it, &fleet->instances)
    {
        instance_t *instance = MR_LIST_ENTRY(it, instance_t, link);
        if (!fleet->leaving && fleet->own_order > instance->order) {
            return NULL;
        }
        if (instance->failures < FAILURES_MAX) {
            return instance;
        }
    }
    return NULL;
}

/* Place of this instance among those that answer, 0 for the coordinator. */
static size_t
own_rank(mr_fleet_t *fleet)
{
    size_t rank = 0;

    MR_LIST_FOREACH(it, &fleet->instances)
    {
        instance_t *instance = MR_LIST_ENTRY(it, instance_t, link);
        if (instance->order > fleet->own_order
            && instance->failures < FAILURES_MAX) {
            rank++;
        }
    }
    return rank;
}

static void
update_duty(mr_fleet_t *fleet, mr_ms_t now)
{
    mr_feed_duty_t duty = MR_FEED_NONE;

    if (fleet->coordinating) {
        duty = MR_FEED_CHIEF;
    }
    else if (now - fleet->answered_at > ALONE_AFTER_MS
             || fleet->store_failing) {
        duty = MR_FEED_ALL;
    }
    else if (own_rank(fleet) < CONFIG_READERS) {
        duty = MR_FEED_CONFIG;
    }
    mr_feed_set_duty(fleet->options.feed, duty);
}

static void
set_coordinator(mr_fleet_t *fleet, instance_t *coordinator, mr_ms_t now)
{
    bool coordinating = coordinator == NULL;

    if (fleet->coordinator != coordinator
        || fleet->coordinating != coordinating) {
        mr_log(MR_LOG_INFO, "coordinator_chosen", "name=%s instances=%zu",
               coordinating ? fleet->options.name : coordinator->name,
               mr_fleet_instances(fleet));
    }
    if (fleet->coordinator != coordinator) {
        /* Until its first reply nothing is sent that it may have. */
        fleet->coordinator_view = (mr_msg_view_t){
            .config_version = INT64_MAX, .registrations_version = INT64_MAX};
    }
    if (coordinating && !fleet->coordinating) {
        fleet->coordinating_since = now;
    }
    if (!coordinating && fleet->coordinating) {
        mr_sampler_stop(fleet->options.sampler);
    }
    fleet->coordinator = coordinator;
    fleet->coordinating = coordinating;
    mr_counter_set(fleet->is_coordinator, coordinating);
}

/* How this instance sees the primaries; returns the number of entries. */
static size_t
describe_health(mr_fleet_t *fleet, mr_msg_db_health_t *out, mr_ms_t now)
{
    size_t count = 0;

    MR_LIST_FOREACH(it, &fleet->options.clusters->list)
    {
        mr_cluster_t *cluster = MR_LIST_ENTRY(it, mr_cluster_t, link);
        mr_db_t *leader = mr_cluster_leader(cluster);
        if (leader != NULL && count < HEALTH_MAX) {
            out[count++] = (mr_msg_db_health_t){
                .service = cluster->service,
                .id = leader->id,
                .failing_ms = mr_db_failing(leader, now),
                .answered_ms =
                    leader->answered_at != 0 ? now - leader->answered_at : -1,
            };
        }
    }
    return count;
}

static size_t
count_clusters(const mr_fleet_t *fleet)
{
    size_t count = 0;

    MR_LIST_FOREACH(it, &fleet->options.clusters->list)
    {
        count++;
    }
    return count;
}

/** Memory of a report's lists. */
typedef struct report_lists {
    mr_msg_draw_t *wants;
    size_t want_count;
    mr_msg_db_health_t *health;
    size_t health_count;
} report_lists_t;

static void
make_lists(mr_fleet_t *fleet, mr_ms_t now, report_lists_t *lists)
{
    *lists = (report_lists_t){0};
    lists->health =
        mr_calloc(count_clusters(fleet) + 1, sizeof(*lists->health));
    lists->health_count = describe_health(fleet, lists->health, now);
    lists->wants = mr_calloc(WANTS_MAX, sizeof(*lists->wants));
    lists->want_count =
        mr_quota_wants(fleet->options.quota, lists->wants, WANTS_MAX);
}

static void
free_lists(report_lists_t *lists)
{
    free(lists->wants);
    free(lists->health);
}

/* Takes over what the coordinator knows of the primaries. @asked_at is when
 * the report was sent: ages count from there at the latest. */
static void
import_primaries(mr_fleet_t *fleet, const mr_msg_report_reply_t *reply,
                 mr_ms_t asked_at)
{
    for (size_t i = 0; i < reply->primary_count; i++) {
        const mr_msg_primary_t *primary = &reply->primaries[i];
        mr_cluster_t *cluster =
            mr_clusters_find(fleet->options.clusters, primary->service);
        if (cluster == NULL) {
            continue;
        }
        if (primary->promoted[0] != '\0') {
            mr_cluster_promoted(cluster, primary->promoted,
                                primary->promoted_version);
        }
        if (primary->age_ms >= 0) {
            mr_cluster_sample(cluster,
                              (mr_position_t){primary->term, primary->number},
                              asked_at - primary->age_ms);
        }
    }
}

static void
import_draws(mr_fleet_t *fleet, const mr_msg_report_reply_t *reply,
             mr_ms_t asked_at)
{
    mr_quota_coordinated(fleet->options.quota, asked_at + reply->lifetime_ms);
    for (size_t i = 0; i < reply->draw_count; i++) {
        mr_quota_add(fleet->options.quota, reply->draws[i].account,
                     reply->draws[i].milli);
    }
    fleet->options.drawn(fleet->options.ctx, asked_at);
}

static void
on_reply(void *ctx, mr_error_kind_t error, const mr_msg_t *msg)
{
    report_t *report = ctx;
    mr_fleet_t *fleet = report->fleet;
    instance_t *from = report->to;
    mr_ms_t asked_at = report->sent_at;
    mr_ms_t now = mr_clock_now(NULL);

    mr_list_remove(&report->link);
    free(report);
    if (error != MR_OK) {
        from->failures++;
        mr_counter_add(fleet->reports_failed, 1);
        if (from->failures == FAILURES_MAX) {
            mr_log(MR_LOG_WARNING, "instance_lost", "name=%s", from->name);
        }
        set_timer(fleet->report_timer, 0);
        return;
    }
    const mr_msg_report_reply_t *reply = &msg->u.report_reply;
    if (from->failures >= FAILURES_MAX) {
        mr_log(MR_LOG_INFO, "instance_regained", "name=%s", from->name);
    }
    from->failures = 0;
    mr_view_import(fleet->options.view, &reply->view, from->name);
    if (from == fleet->coordinator) {
        fleet->answered_at = now;
        fleet->store_failing = reply->store_failing;
        fleet->reported_instances = (size_t)reply->instances;
        update_count(fleet);
        import_draws(fleet, reply, asked_at);
        import_primaries(fleet, reply, asked_at);
        fleet->coordinator_view = (mr_msg_view_t){
            .config_version = reply->view.config_version,
            .registrations_version = reply->view.registrations_version,
            .registrations_digest = reply->view.registrations_digest,
        };
        from->heard_at = now;
        if (fleet->again) {
            fleet->again = false;
            mr_fleet_notify(fleet);
        }
    }
}

static void
send_report(mr_fleet_t *fleet, instance_t *to, const report_lists_t *lists,
            const mr_msg_view_t *known)
{
    report_t *report = MR_NEW(report_t);
    mr_msg_t msg = {.type = MR_MSG_REPORT};

    msg.u.report = (mr_msg_report_t){
        .address = fleet->options.address,
        .refresh = fleet->refresh,
        .draws = lists->health != NULL,
        .wants = lists->wants,
        .want_count = lists->want_count,
        .health = lists->health,
        .health_count = lists->health_count,
    };
    mr_view_export(fleet->options.view, known, &msg.u.report.view);
    *report =
        (report_t){.fleet = fleet, .to = to, .sent_at = mr_clock_now(NULL)};
    to->tried_at = report->sent_at;
    mr_list_append(&fleet->reports, &report->link);
    report->call = mr_peer_call(fleet->peer, to->address, &msg,
                                REPORT_TIMEOUT_MS, on_reply, report);
}

/* Tries instances that come before the coordinator and did not answer. */
static void
retry_better(mr_fleet_t *fleet, mr_ms_t now)
{
    report_lists_t none = {0};

    MR_LIST_FOREACH(it, &fleet->instances)
    {
        instance_t *instance = MR_LIST_ENTRY(it, instance_t, link);
        if (instance == fleet->coordinator
            || (fleet->coordinating && !fleet->leaving
                && instance->order < fleet->own_order)) {
            return;
        }
        if (instance->failures >= FAILURES_MAX
            && now - instance->tried_at >= RETRY_BETTER_MS) {
            send_report(fleet, instance, &none, NULL);
        }
    }
}

static bool
is_reporting_to(const mr_fleet_t *fleet, const instance_t *to)
{
    MR_LIST_FOREACH(it, &fleet->reports)
    {
        if (MR_LIST_ENTRY(it, report_t, link)->to == to) {
            return true;
        }
    }
    return false;
}

/* Tokens of one account for an instance that reported. */
static int64_t
draw_for(mr_fleet_t *fleet, const mr_msg_draw_t *want, mr_ms_t now)
{
    mr_budget_draw_t draw = {.account = want->account,
                             .wanted = want->milli,
                             .instances = mr_fleet_instances(fleet),
                             .now = now};

    if (!mr_quota_total(fleet->options.quota, want->account, &draw.total)) {
        return 0;
    }
    return mr_budgets_draw(fleet->budgets, &draw);
}

/* The coordinator draws from its own buckets. */
static void
draw_for_self(mr_fleet_t *fleet, const report_lists_t *lists, mr_ms_t now)
{
    const mr_fleet_options_t *options = &fleet->options;

    mr_budgets_report(fleet->budgets, options->name, now);
    mr_promoter_report(options->promoter, options->name, now, lists->health,
                       lists->health_count);
    mr_quota_coordinated(options->quota, now + TOKEN_LIFETIME_MS);
    for (size_t i = 0; i < lists->want_count; i++) {
        mr_quota_add(options->quota, lists->wants[i].account,
                     draw_for(fleet, &lists->wants[i], now));
    }
    options->drawn(options->ctx, now);
}

static void
on_report_timer(evutil_socket_t fd, short what, void *ctx)
{
    mr_fleet_t *fleet = ctx;
    mr_ms_t now = mr_clock_now(NULL);
    report_lists_t lists;

    (void)fd;
    (void)what;
    set_timer(fleet->report_timer, REPORT_PERIOD_MS);
    set_coordinator(fleet, choose_coordinator(fleet), now);
    update_duty(fleet, now);
    retry_better(fleet, now);
    if (fleet->coordinator != NULL
        && is_reporting_to(fleet, fleet->coordinator)) {
        fleet->again = fleet->notified;
        return;
    }
    fleet->notified = false;
    fleet->reported_at = now;
    make_lists(fleet, now, &lists);
    if (fleet->coordinating) {
        if (fleet->refresh) {
            mr_feed_refresh(fleet->options.feed);
        }
        draw_for_self(fleet, &lists, now);
    }
    else {
        send_report(fleet, fleet->coordinator, &lists,
                    &fleet->coordinator_view);
    }
    fleet->refresh = false;
    free_lists(&lists);
}

static size_t
describe_primaries(mr_fleet_t *fleet, mr_msg_primary_t *out, mr_ms_t now)
{
    size_t count = 0;

    MR_LIST_FOREACH(it, &fleet->options.clusters->list)
    {
        mr_cluster_t *cluster = MR_LIST_ENTRY(it, mr_cluster_t, link);
        const mr_sample_t *sample = mr_cluster_newest(cluster);
        mr_msg_primary_t *primary = &out[count++];
        *primary = (mr_msg_primary_t){
            .service = cluster->service,
            .promoted = cluster->promoted != NULL ? cluster->promoted : "",
            .promoted_version = cluster->promoted_version,
            .age_ms = -1,
        };
        if (sample != NULL) {
            primary->term = sample->position.term;
            primary->number = sample->position.number;
            primary->age_ms = now - sample->at;
        }
    }
    return count;
}

/* Answers a report with the sender's shares and what it lacks. */
static void
answer_report(mr_fleet_t *fleet, mr_peer_request_t *request,
              const mr_msg_report_t *report, mr_ms_t now)
{
    mr_msg_t msg = {.type = MR_MSG_REPORT_REPLY};
    mr_msg_report_reply_t *reply = &msg.u.report_reply;
    mr_msg_draw_t *draws = mr_calloc(report->want_count + 1, sizeof(*draws));
    mr_msg_primary_t *primaries =
        mr_calloc(count_clusters(fleet) + 1, sizeof(*primaries));

    reply->instances = (int64_t)mr_fleet_instances(fleet);
    reply->lifetime_ms = TOKEN_LIFETIME_MS;
    reply->store_failing = mr_feed_failing(fleet->options.feed);
    mr_view_export(fleet->options.view, &report->view, &reply->view);
    for (size_t i = 0; i < report->want_count; i++) {
        draws[i] = (mr_msg_draw_t){report->wants[i].account,
                                   draw_for(fleet, &report->wants[i], now)};
    }
    reply->draws = draws;
    reply->draw_count = report->want_count;
    reply->primaries = primaries;
    reply->primary_count = describe_primaries(fleet, primaries, now);
    mr_peer_reply(request, &msg);
    free(draws);
    free(primaries);
}

static void
on_report(void *ctx, mr_peer_request_t *request, const mr_msg_t *msg,
          const char *from)
{
    mr_fleet_t *fleet = ctx;
    const mr_msg_report_t *report = &msg->u.report;
    mr_ms_t now = mr_clock_now(NULL);

    if (request == NULL) {
        return;
    }
    instance_t *instance = note_instance(fleet, from, report->address);
    if (instance != NULL) {
        instance->heard_at = now;
    }
    mr_view_import(fleet->options.view, &report->view, from);
    if (report->draws) {
        mr_budgets_report(fleet->budgets, from, now);
        mr_promoter_report(fleet->options.promoter, from, now, report->health,
                           report->health_count);
    }
    if (report->refresh) {
        mr_feed_refresh(fleet->options.feed);
    }
    answer_report(fleet, request, report, now);
}

static void
on_check(evutil_socket_t fd, short what, void *ctx)
{
    mr_fleet_t *fleet = ctx;
    mr_ms_t now = mr_clock_now(NULL);

    (void)fd;
    (void)what;
    set_timer(fleet->check_timer, CHECK_PERIOD_MS);
    if (fleet->coordinating && !fleet->leaving) {
        mr_sampler_run(fleet->options.sampler, now);
        mr_promoter_check(fleet->options.promoter, now,
                          mr_budgets_reporting(fleet->budgets, now),
                          mr_fleet_instances(fleet));
    }
}

static void
on_purged(void *ctx, mr_error_kind_t error, int64_t version)
{
    (void)ctx;
    (void)version;
    if (error != MR_OK) {
        mr_log(MR_LOG_INFO, "instance_not_removed", "error=%s",
               mr_error_name(error));
    }
}

/* Removes instances that are registered but have not been heard for long. */
static void
purge_instances(mr_fleet_t *fleet, mr_ms_t now)
{
    if (!fleet->coordinating
        || now - fleet->coordinating_since < PURGE_AFTER_MS) {
        return;
    }
    MR_LIST_FOREACH(it, &fleet->instances)
    {
        instance_t *instance = MR_LIST_ENTRY(it, instance_t, link);
        if (now - instance->heard_at < PURGE_AFTER_MS) {
            continue;
        }
        mr_log(MR_LOG_INFO, "instance_removed", "name=%s silent_ms=%lld",
               instance->name, (long long)(now - instance->heard_at));
        if (instance->row_version > 0) {
            mr_store_put(fleet->options.store, instances_table, instance->name,
                         instance->row_version, NULL, 0, on_purged, fleet);
        }
        forget_instance(fleet, instance);
    }
    update_count(fleet);
}

static void
on_registered(void *ctx, mr_error_kind_t error, int64_t version)
{
    mr_fleet_t *fleet = ctx;

    if (error == MR_OK || error == MR_ERR_CONFLICT) {
        fleet->own_version = version;
    }
    set_timer(fleet->members_timer,
              error == MR_OK ? MEMBERS_SOON_MS : MEMBERS_RETRY_MS);
}

static void
read_members(mr_fleet_t *fleet, const mr_store_answer_t *answer)
{
    fleet->own_version = 0;
    bool current = false;

    MR_LIST_FOREACH(it, &fleet->instances)
    {
        MR_LIST_ENTRY(it, instance_t, link)->listed = false;
    }
    for (size_t i = 0; i < answer->count; i++) {
        const mr_store_row_t *row = &answer->rows[i];
        if (strcmp(row->key, fleet->options.name) == 0) {
            fleet->own_version = row->version;
            current = strcmp(row->value, fleet->options.address) == 0;
            continue;
        }
        instance_t *instance = note_instance(fleet, row->key, row->value);
        if (instance != NULL) {
            instance->listed = true;
            instance->row_version = row->version;
        }
    }
    MR_LIST_FOREACH(it, &fleet->instances)
    {
        instance_t *instance = MR_LIST_ENTRY(it, instance_t, link);
        if (!instance->listed && instance->row_version > 0) {
            forget_instance(fleet, instance);
        }
    }
    update_count(fleet);
    if (!current && !fleet->leaving) {
        mr_store_put(fleet->options.store, instances_table,
                     fleet->options.name, fleet->own_version,
                     fleet->options.address, strlen(fleet->options.address),
                     on_registered, fleet);
        return;
    }
    if (!fleet->joined) {
        fleet->joined = true;
        mr_log(MR_LOG_INFO, "fleet_joined", "instances=%zu",
               mr_fleet_instances(fleet));
        start_reports(fleet);
    }
    set_timer(fleet->members_timer, MEMBERS_PERIOD_MS);
}

static void
on_members(void *ctx, const mr_store_answer_t *answer)
{
    mr_fleet_t *fleet = ctx;

    if (answer->error != MR_OK) {
        set_timer(fleet->members_timer, MEMBERS_RETRY_MS);
        return;
    }
    read_members(fleet, answer);
    purge_instances(fleet, mr_clock_now(NULL));
}

static void
start_reports(mr_fleet_t *fleet)
{
    fleet->started_at = mr_clock_now(NULL);
    set_timer(fleet->report_timer, 0);
    set_timer(fleet->check_timer, CHECK_PERIOD_MS);
}

static void
start_peer(mr_fleet_t *fleet)
{
    fleet->peer = mr_peer_create(&(mr_peer_options_t){
        .base = fleet->options.base,
        .counters = fleet->options.counters,
        .name = fleet->options.name,
        .data_centre = fleet->options.data_centre,
        .incarnation = mr_clock_wall(),
        .secret = fleet->secret,
    });
    mr_peer_handle(fleet->peer, MR_MSG_REPORT, on_report, fleet);
    if (mr_peer_listen(fleet->peer, fleet->options.address) < 0) {
        mr_log(MR_LOG_ERROR, "listen_failed", "address=%s",
               fleet->options.address);
    }
}

static void
on_secret_written(void *ctx, mr_error_kind_t error, int64_t version)
{
    mr_fleet_t *fleet = ctx;

    (void)version;
    /* Whoever wrote it: it is read next. */
    set_timer(fleet->members_timer, error == MR_OK || error == MR_ERR_CONFLICT
                                        ? 0
                                        : MEMBERS_RETRY_MS);
}

static void
on_secret(void *ctx, const mr_store_answer_t *answer)
{
    mr_fleet_t *fleet = ctx;
    uint8_t fresh[MR_PEER_SECRET_BYTES];

    if (answer->error != MR_OK) {
        set_timer(fleet->members_timer, MEMBERS_RETRY_MS);
        return;
    }
    if (answer->count == 1 && answer->rows[0].len == sizeof(fleet->secret)) {
        memcpy(fleet->secret, answer->rows[0].value, sizeof(fleet->secret));
        start_peer(fleet);
        set_timer(fleet->members_timer, 0);
        return;
    }
    randombytes_buf(fresh, sizeof(fresh));
    mr_store_put(fleet->options.store, secret_table, secret_key, 0, fresh,
                 sizeof(fresh), on_secret_written, fleet);
}

static void
on_members_timer(evutil_socket_t fd, short what, void *ctx)
{
    mr_fleet_t *fleet = ctx;

    (void)fd;
    (void)what;
    if (fleet->peer == NULL) {
        mr_store_get(fleet->options.store, secret_table, secret_key, on_secret,
                     fleet);
        return;
    }
    mr_store_get(fleet->options.store, instances_table, NULL, on_members,
                 fleet);
}

mr_fleet_t *
mr_fleet_create(const mr_fleet_options_t *options)
{
    mr_fleet_t *fleet = MR_NEW(mr_fleet_t);

    fleet->options = *options;
    fleet->own_order = mr_rendezvous_score("coordinator", options->name);
    fleet->budgets = mr_budgets_create();
    mr_list_init(&fleet->instances);
    mr_list_init(&fleet->reports);
    fleet->report_timer = evtimer_new(options->base, on_report_timer, fleet);
    fleet->check_timer = evtimer_new(options->base, on_check, fleet);
    fleet->members_timer = evtimer_new(options->base, on_members_timer, fleet);
    fleet->is_coordinator =
        mr_counters_get(options->counters, "masticrelay_coordinator", "",
                        "1 while this instance coordinates");
    fleet->reports_failed =
        mr_counters_get(options->counters, "masticrelay_reports_failed_total",
                        "", "reports to the coordinator without an answer");
    fleet->instance_gauge =
        mr_counters_get(options->counters, "masticrelay_instances", "",
                        "instances that may admit operations");
    set_timer(fleet->members_timer, 0);
    return fleet;
}

void
mr_fleet_destroy(mr_fleet_t *fleet)
{
    if (fleet == NULL) {
        return;
    }
    while (!mr_list_empty(&fleet->instances)) {
        forget_instance(
            fleet, MR_LIST_ENTRY(fleet->instances.next, instance_t, link));
    }
    if (fleet->peer != NULL) {
        mr_peer_destroy(fleet->peer);
    }
    mr_budgets_destroy(fleet->budgets);
    event_free(fleet->report_timer);
    event_free(fleet->check_timer);
    event_free(fleet->members_timer);
    free(fleet);
}

void
mr_fleet_refresh(mr_fleet_t *fleet)
{
    if (!fleet->refresh) {
        fleet->refresh = true;
        mr_fleet_notify(fleet);
    }
}

void
mr_fleet_notify(mr_fleet_t *fleet)
{
    mr_ms_t due = fleet->reported_at + REPORT_GAP_MS - mr_clock_now(NULL);

    fleet->notified = true;
    if (fleet->joined) {
        set_timer(fleet->report_timer, due > 0 ? due : 0);
    }
}

void
mr_fleet_leave(mr_fleet_t *fleet)
{
    fleet->leaving = true;
}
