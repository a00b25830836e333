/* Reports to the coordinator and its replies. */

#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/mem.h"
#include "session/fleet_internal.h"
#include "session/primary_health.h"

enum {
    REPORT_PERIOD_MS = 250,
    /* Period while a primary fails here, the lease is not renewed or a
     * statement waits for a token of a cold database, so that none of these
     * waits for the reports. It is
     * one millisecond for each instance, but not less than this and not more
     * than the usual period. */
    URGENT_PERIOD_MIN_MS = 60,
    REPORT_GAP_MAX_MS = 400, /* between reports of a running instance */
    /* How often lost instances of a higher priority than the coordinator are
     * tried again. */
    RETRY_PREFERRED_MS = 1500,
    /* The same for the first ones while the lease is not renewed, as they may
     * only have started later, or a partition may have ended. */
    RETRY_URGENT_MS = 300,
    RETRY_URGENT_MAX = 3,
    /* Instances that get a report at the same time when the coordinator does
     * not answer. Enough to find a reachable one if this instance's data
     * centre is one of four and cut off from the others. */
    CANDIDATES_MAX = 16,
    HEALTH_MAX = 4096,
    COLD_WANTS_MAX = 1024, /* databases */
    /* Most other instances that are told of withheld services ahead of their
     * next reports. The coordinator opens a link to each of them; with more
     * instances that takes longer than to wait for the reports. */
    ANNOUNCE_MAX = 32,
    /* How long a report names a promotion, for a new coordinator that has not
     * read the new primary's registration. */
    NAME_PROMOTION_MS = 30000,
    /* How long replies repeat a promotion, as some may get lost. */
    REPEAT_PROMOTION_MS = 5000,
};

/* Lists the health of the primaries that answered this instance lately or fail
 * for it; returns the number of entries. */
static size_t
list_health(mr_fleet_t *fleet, mr_msg_db_health_t *out, mr_ms_t now)
{
    size_t count = 0;

    MR_LIST_FOREACH(it, &fleet->options.clusters->list)
    {
        mr_cluster_t *cluster = MR_LIST_ENTRY(it, mr_cluster_t, link);
        mr_db_t *primary = mr_cluster_known_primary(cluster);
        if (primary == NULL || count == HEALTH_MAX) {
            continue;
        }
        mr_msg_db_health_t health = {
            .service = cluster->service,
            .id = primary->id,
            .failing_ms = mr_db_failing_ms(primary, now),
            .answered_ms =
                primary->answered_at != 0 ? now - primary->answered_at : -1,
        };
        bool answered = health.answered_ms >= 0
                        && health.answered_ms <= MR_HEALTH_ANSWERED_MS;
        if (health.failing_ms > 0 || answered) {
            out[count++] = health;
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

/** The lists that a report contains. */
typedef struct report_lists {
    mr_msg_draw_t *wants;
    size_t want_count;
    mr_msg_db_health_t *health;
    size_t health_count;
    bool failing; /* one of the primaries */
    mr_msg_withheld_t *withheld;
    size_t withheld_count;
    mr_msg_primary_t *promotions;
    size_t promotion_count;
    mr_msg_cold_count_t *cold_wants;
    size_t cold_want_count;
} report_lists_t;

/* Lists the recent promotions. */
static size_t
list_promotions(mr_fleet_t *fleet, mr_msg_primary_t *out, mr_ms_t now)
{
    size_t count = 0;

    MR_LIST_FOREACH(it, &fleet->options.clusters->list)
    {
        const mr_cluster_t *cluster = MR_LIST_ENTRY(it, mr_cluster_t, link);
        if (cluster->promoted_id != NULL
            && now - cluster->promoted_at <= NAME_PROMOTION_MS) {
            out[count++] = (mr_msg_primary_t){
                .service = cluster->service,
                .promoted = cluster->promoted_id,
                .promoted_version = cluster->promoted_token,
                .term = cluster->newest_term,
                .age_ms = -1,
            };
        }
    }
    return count;
}

static void
create_lists(mr_fleet_t *fleet, mr_ms_t now, report_lists_t *lists)
{
    *lists = (report_lists_t){0};
    lists->health =
        mr_calloc(count_clusters(fleet) + 1, sizeof(*lists->health));
    lists->health_count = list_health(fleet, lists->health, now);
    for (size_t i = 0; i < lists->health_count; i++) {
        lists->failing |= lists->health[i].failing_ms > 0;
    }
    lists->withheld = mr_primary_lease_list_withheld(
        fleet->options.lease, &lists->withheld_count, now);
    lists->promotions =
        mr_calloc(count_clusters(fleet) + 1, sizeof(*lists->promotions));
    lists->promotion_count = list_promotions(fleet, lists->promotions, now);
    if (!mr_fleet_awaits_tokens(fleet)) {
        lists->wants = mr_calloc(MR_FLEET_WANTS_MAX, sizeof(*lists->wants));
        lists->want_count = mr_quota_token_requests(
            fleet->options.quota, lists->wants, MR_FLEET_WANTS_MAX);
    }
    lists->cold_wants = mr_calloc(COLD_WANTS_MAX, sizeof(*lists->cold_wants));
    lists->cold_want_count = mr_cold_tokens_requests(
        fleet->options.cold_tokens, lists->cold_wants, COLD_WANTS_MAX, now);
}

static void
free_lists(report_lists_t *lists)
{
    free(lists->wants);
    free(lists->health);
    free(lists->withheld);
    free(lists->promotions);
    free(lists->cold_wants);
}

/* Imports the coordinator's state of the primaries. The report was sent at
 * @asked_at; ages are subtracted from that time, so that no position seems
 * newer than it is. */
static void
import_primaries(mr_fleet_t *fleet, const mr_msg_report_reply_t *reply,
                 mr_ms_t asked_at)
{
    for (size_t i = 0; i < reply->primary_count; i++) {
        const mr_msg_primary_t *primary = &reply->primaries[i];
        /* Kept also for a service whose databases this instance has not read
         * yet. */
        mr_cluster_t *cluster =
            mr_clusters_get(fleet->options.clusters, primary->service);
        if (primary->promoted[0] != '\0') {
            mr_cluster_record_promotion(cluster, primary->promoted,
                                        primary->promoted_version);
        }
        if (primary->age_ms >= 0) {
            mr_cluster_add_sample(
                cluster, (mr_position_t){primary->term, primary->position},
                asked_at - primary->age_ms);
        }
    }
}

/* Applies what the coordinator's reply says of the lease, after the promotions
 * that it names. */
static void
import_lease(mr_fleet_t *fleet, const mr_msg_t *msg, mr_ms_t asked_at,
             mr_ms_t now)
{
    const mr_msg_report_reply_t *reply = &msg->u.report_reply;
    bool awaited = mr_primary_lease_import(
        fleet->options.lease, &(mr_lease_reply_t){
                                  .coordinator = fleet->coordinator->name,
                                  .asked_at = asked_at,
                                  .sent_at = msg->sent_at,
                                  .now = now,
                                  .granted = reply->lease_granted,
                                  .leaving = reply->leaving,
                                  .withheld = reply->withheld,
                                  .withheld_count = reply->withheld_count,
                              });

    fleet->lease_renewed = reply->lease_granted;
    fleet->report_again |= awaited;
}

static void
import_tokens(mr_fleet_t *fleet, const mr_msg_report_reply_t *reply,
              mr_ms_t asked_at, int64_t round)
{
    mr_quota_set_coordinated_until(fleet->options.quota,
                                   asked_at + reply->lifetime_ms);
    for (size_t i = 0; i < reply->draw_count; i++) {
        mr_quota_add_tokens(fleet->options.quota, reply->draws[i].account,
                            reply->draws[i].milli);
    }
    for (size_t i = 0; i < reply->cold_grant_count; i++) {
        mr_cold_tokens_add(fleet->options.cold_tokens, &reply->cold_grants[i],
                           asked_at);
    }
    fleet->options.tokens_drawn(fleet->options.ctx, round);
}

static void report_to_candidates(mr_fleet_t *fleet);

/* Counts an unanswered report. The coordinator counts as lost after several of
 * them, any other instance after one. */
static void
record_no_answer(mr_fleet_t *fleet, mr_fleet_instance_t *from)
{
    bool was_lost = from->failures >= MR_FLEET_FAILURES_MAX;

    from->failures += from == fleet->coordinator ? 1 : MR_FLEET_FAILURES_MAX;
    mr_counter_add(fleet->reports_failed_counter, 1);
    if (!was_lost && from->failures >= MR_FLEET_FAILURES_MAX) {
        mr_log(MR_LOG_WARNING, MR_EVENT_INSTANCE_LOST, "name=%s", from->name);
    }
    if (from == fleet->coordinator && from->failures == 1) {
        report_to_candidates(fleet);
    }
}

/* Fetches newer contents that a reply announces without carrying them. */
static void
fetch_announced(mr_fleet_t *fleet, const mr_fleet_instance_t *from,
                const mr_msg_report_reply_t *reply)
{
    if (!mr_directory_lacks(fleet->options.directory, &reply->directory)) {
        return;
    }
    if (from != fleet->coordinator) {
        mr_updates_fetch(fleet->updates, from->address, from->name);
    }
    else if (reply->source_address[0] != '\0') {
        mr_updates_fetch_either(
            fleet->updates,
            &(mr_update_source_t){reply->source_address, reply->source},
            &(mr_update_source_t){from->address, from->name});
    }
}

static void
on_reply(void *ctx, mr_error_kind_t error, const mr_msg_t *msg)
{
    mr_fleet_report_t *report = ctx;
    mr_fleet_t *fleet = report->fleet;
    mr_fleet_instance_t *from = report->to;
    mr_ms_t asked_at = report->sent_at;
    int64_t round = report->round;
    mr_ms_t now = mr_clock_now(NULL);

    mr_list_remove(&report->link);
    free(report);
    if (round != 0) {
        mr_fleet_tokens_arrived(fleet);
    }
    if (error != MR_OK) {
        record_no_answer(fleet, from);
        mr_timer_start(fleet->report_timer, 0);
        return;
    }
    const mr_msg_report_reply_t *reply = &msg->u.report_reply;
    if (from->failures >= MR_FLEET_FAILURES_MAX) {
        mr_log(MR_LOG_INFO, MR_EVENT_INSTANCE_REGAINED, "name=%s", from->name);
    }
    /* One that leaves does not coordinate again. */
    from->failures = reply->leaving ? MR_FLEET_FAILURES_MAX : 0;
    mr_fleet_on_era(fleet, reply->directory.registrations_era);
    mr_updates_import(fleet->updates, &reply->directory, from->name);
    mr_directory_import_confirmation(fleet->options.directory,
                                     &reply->directory, asked_at);
    fetch_announced(fleet, from, reply);
    if (from == fleet->coordinator) {
        fleet->answered_at = now;
        fleet->store_failing = reply->store_failing;
        fleet->reported_instances = (size_t)reply->instances;
        mr_fleet_update_count(fleet);
        import_tokens(fleet, reply, asked_at, round);
        fleet->coordinator_answers_draws = reply->answers_draws;
        import_primaries(fleet, reply, asked_at);
        import_lease(fleet, msg, asked_at, now);
        fleet->coordinator_directory = (mr_msg_directory_t){
            .config_version = reply->directory.config_version,
            .registrations_version = reply->directory.registrations_version,
            .registrations_digest = reply->directory.registrations_digest,
            .registrations_era = reply->directory.registrations_era,
        };
        from->last_report_at = now;
        if (fleet->report_again) {
            fleet->report_again = false;
            mr_fleet_report_soon(fleet);
        }
    }
}

static void
send_report(mr_fleet_t *fleet, mr_fleet_instance_t *to,
            const report_lists_t *lists, const mr_msg_directory_t *known)
{
    mr_fleet_report_t *report = MR_NEW(mr_fleet_report_t);
    mr_msg_t msg = {.type = MR_MSG_REPORT};

    msg.u.report = (mr_msg_report_t){
        .address = fleet->options.address,
        .refresh = fleet->refresh_wanted,
        .draws_tokens = lists->health != NULL,
        .wants = lists->wants,
        .want_count = lists->want_count,
        .health = lists->health,
        .health_count = lists->health_count,
        .data_centre = fleet->options.data_centre,
        .defers_config = !mr_updates_accepts_config(fleet->updates),
        .link_mbps = fleet->options.link_mbps,
        .withheld = lists->withheld,
        .withheld_count = lists->withheld_count,
        .promotions = lists->promotions,
        .promotion_count = lists->promotion_count,
        .cold_wants = lists->cold_wants,
        .cold_want_count = lists->cold_want_count,
    };
    if (msg.u.report.draws_tokens) {
        msg.u.report.support =
            mr_primary_lease_support(fleet->options.lease, to->name);
        msg.u.report.provisional = mr_primary_lease_is_provisional(
            fleet->options.lease, mr_clock_now(NULL));
    }
    mr_directory_export(fleet->options.directory, known,
                        MR_FLEET_INLINE_MAX_BYTES, &msg.u.report.directory);
    *report = (mr_fleet_report_t){
        .fleet = fleet,
        .to = to,
        .sent_at = mr_clock_now(NULL),
        .round =
            lists->wants != NULL ? mr_quota_round(fleet->options.quota) : 0};
    to->last_sent_at = report->sent_at;
    mr_list_append(&fleet->reports, &report->link);
    report->call = mr_peer_call(fleet->peer, to->address, &msg,
                                MR_FLEET_REPORT_TIMEOUT_MS, on_reply, report);
}

/* Reports to lost instances of a higher priority than the coordinator, which
 * may have come back. */
static void
retry_preferred(mr_fleet_t *fleet, mr_ms_t now)
{
    report_lists_t none = {0};
    int urgent = fleet->lease_renewed ? 0 : RETRY_URGENT_MAX;

    MR_LIST_FOREACH(it, &fleet->instances)
    {
        mr_fleet_instance_t *instance =
            MR_LIST_ENTRY(it, mr_fleet_instance_t, link);
        mr_ms_t pause = urgent-- > 0 ? RETRY_URGENT_MS : RETRY_PREFERRED_MS;
        if (instance == fleet->coordinator
            || (fleet->coordinating && !fleet->leaving
                && instance->priority < fleet->own_priority)) {
            return;
        }
        if (instance->failures >= MR_FLEET_FAILURES_MAX
            && now - instance->last_sent_at >= pause) {
            send_report(fleet, instance, &none, NULL);
        }
    }
}

static bool
is_reporting_to(const mr_fleet_t *fleet, const mr_fleet_instance_t *to)
{
    MR_LIST_FOREACH(it, &fleet->reports)
    {
        if (MR_LIST_ENTRY(it, mr_fleet_report_t, link)->to == to) {
            return true;
        }
    }
    return false;
}

/* Reports to the instances of the next priorities, all at the same time. With
 * one report after the other, an instance that can only reach a few others
 * would take seconds to find one of them. */
static void
report_to_candidates(mr_fleet_t *fleet)
{
    report_lists_t none = {0};
    int asked = 0;

    MR_LIST_FOREACH(it, &fleet->instances)
    {
        mr_fleet_instance_t *instance =
            MR_LIST_ENTRY(it, mr_fleet_instance_t, link);
        bool below_own =
            !fleet->leaving && instance->priority < fleet->own_priority;
        if (below_own || asked == CANDIDATES_MAX) {
            return;
        }
        if (instance != fleet->coordinator
            && instance->failures < MR_FLEET_FAILURES_MAX
            && !is_reporting_to(fleet, instance)) {
            send_report(fleet, instance, &none, NULL);
            asked++;
        }
    }
}

void
mr_fleet_introduce(mr_fleet_t *fleet, mr_fleet_instance_t *instance)
{
    report_lists_t none = {0};

    if (!is_reporting_to(fleet, instance)) {
        send_report(fleet, instance, &none, NULL);
    }
}

void
mr_fleet_announce_withheld(mr_fleet_t *fleet)
{
    report_lists_t lists = {0};

    if (!fleet->coordinating || fleet->other_count > ANNOUNCE_MAX) {
        return;
    }
    lists.withheld = mr_lease_grantor_list_withheld(fleet->options.grantor,
                                                    &lists.withheld_count);
    MR_LIST_FOREACH(it, &fleet->instances)
    {
        mr_fleet_instance_t *instance =
            MR_LIST_ENTRY(it, mr_fleet_instance_t, link);
        if (instance->failures < MR_FLEET_FAILURES_MAX
            && !is_reporting_to(fleet, instance)) {
            send_report(fleet, instance, &lists, NULL);
        }
    }
    free(lists.withheld);
}

/* Applies the withheld services that the coordinator announces. */
static void
import_withheld(mr_fleet_t *fleet, const mr_msg_report_t *report, mr_ms_t now)
{
    for (size_t i = 0; i < report->withheld_count; i++) {
        mr_primary_lease_withhold(fleet->options.lease, &report->withheld[i],
                                  now);
    }
    if (report->withheld_count > 0) {
        mr_fleet_report_soon(fleet);
    }
}

int64_t
mr_fleet_draw_tokens(mr_fleet_t *fleet, const mr_msg_draw_t *want, mr_ms_t now)
{
    mr_budget_draw_t draw = {.account = want->account,
                             .wanted = want->milli,
                             .instances = mr_fleet_instances(fleet),
                             .now = now};

    if (!mr_quota_account_limit(fleet->options.quota, want->account,
                                &draw.total)) {
        return 0;
    }
    return mr_budgets_draw(fleet->budgets, &draw);
}

/* Grants tokens of cold databases. Returns the number of entries in @out,
 * which has room for @count. */
static size_t
grant_cold_tokens(mr_fleet_t *fleet, const mr_msg_cold_count_t *wants,
                  size_t count, mr_msg_cold_count_t *out, mr_ms_t now)
{
    size_t granted = 0;

    if (count == 0) {
        return 0;
    }
    mr_ms_t leading = mr_lease_grantor_leading_ms(fleet->options.grantor, now);
    mr_cold_grantor_set_leading(fleet->options.cold_grantor,
                                leading >= 0 ? now - leading : 0);
    for (size_t i = 0; i < count; i++) {
        int64_t tokens = mr_cold_grantor_grant(
            fleet->options.cold_grantor, wants[i].id, wants[i].count, now);
        if (tokens > 0) {
            mr_counter_add(fleet->cold_granted_counter, tokens);
            out[granted++] = (mr_msg_cold_count_t){wants[i].id, tokens};
        }
    }
    return granted;
}

/* The coordinator grants the tokens of cold databases that it needs itself. */
static void
grant_own_cold_tokens(mr_fleet_t *fleet, const report_lists_t *lists,
                      mr_ms_t now)
{
    mr_msg_cold_count_t *grants =
        mr_calloc(lists->cold_want_count + 1, sizeof(*grants));
    size_t count = grant_cold_tokens(fleet, lists->cold_wants,
                                     lists->cold_want_count, grants, now);

    for (size_t i = 0; i < count; i++) {
        mr_cold_tokens_add(fleet->options.cold_tokens, &grants[i], now);
    }
    free(grants);
}

/* The coordinator draws tokens for its own operations. */
static void
draw_own_tokens(mr_fleet_t *fleet, const report_lists_t *lists, mr_ms_t now)
{
    const mr_fleet_options_t *options = &fleet->options;

    mr_lease_grantor_renew_own(options->grantor, now);
    fleet->lease_renewed = mr_lease_grantor_leads(options->grantor, now);
    mr_budgets_report(fleet->budgets, options->name, now);
    mr_promoter_report(options->promoter, options->name, now, lists->health,
                       lists->health_count);
    mr_quota_set_coordinated_until(options->quota,
                                   now + MR_FLEET_TOKEN_LIFETIME_MS);
    for (size_t i = 0; i < lists->want_count; i++) {
        mr_quota_add_tokens(
            options->quota, lists->wants[i].account,
            mr_fleet_draw_tokens(fleet, &lists->wants[i], now));
    }
    grant_own_cold_tokens(fleet, lists, now);
    options->tokens_drawn(options->ctx, mr_quota_round(options->quota));
}

static mr_ms_t
report_period(const mr_fleet_t *fleet, const report_lists_t *lists)
{
    mr_ms_t urgent = (mr_ms_t)mr_fleet_instances(fleet);

    if (!lists->failing && fleet->lease_renewed
        && lists->cold_want_count == 0) {
        return REPORT_PERIOD_MS;
    }
    if (urgent < URGENT_PERIOD_MIN_MS) {
        urgent = URGENT_PERIOD_MIN_MS;
    }
    return urgent < REPORT_PERIOD_MS ? urgent : REPORT_PERIOD_MS;
}

static void
update_unconfirmed_gauge(mr_fleet_t *fleet, mr_ms_t now)
{
    const mr_confirmation_t *known =
        mr_directory_confirmation(fleet->options.directory);

    if (known->held_at != 0) {
        mr_counter_set(fleet->unconfirmed_gauge, now - known->held_at);
    }
}

void
mr_fleet_on_report_timer(evutil_socket_t fd, short what, void *ctx)
{
    mr_fleet_t *fleet = ctx;
    mr_ms_t now = mr_clock_now(NULL);
    report_lists_t lists;

    (void)fd;
    (void)what;
    mr_timer_start(fleet->report_timer, REPORT_PERIOD_MS);
    update_unconfirmed_gauge(fleet, now);
    mr_fleet_update_coordinator(fleet, now);
    retry_preferred(fleet, now);
    if (fleet->coordinator != NULL
        && is_reporting_to(fleet, fleet->coordinator)) {
        fleet->report_again = fleet->report_wanted;
        return;
    }
    fleet->report_wanted = false;
    fleet->reported_at = now;
    mr_primary_lease_held(fleet->options.lease, now);
    create_lists(fleet, now, &lists);
    mr_timer_start(fleet->report_timer, report_period(fleet, &lists));
    if (fleet->coordinator == NULL) {
        if (fleet->refresh_wanted) {
            mr_feed_refresh(fleet->options.feed);
        }
        draw_own_tokens(fleet, &lists, now);
    }
    else {
        mr_counter_add(fleet->reports_counter, 1);
        send_report(fleet, fleet->coordinator, &lists,
                    &fleet->coordinator_directory);
    }
    fleet->refresh_wanted = false;
    free_lists(&lists);
}

/* Returns whether an instance that has the changes up to @known_changes needs
 * the state of @cluster. A promotion is repeated for a while, and until the
 * database registers as the primary, as replies can get lost. */
static bool
has_updates(mr_cluster_t *cluster, uint64_t known_changes, mr_ms_t now)
{
    const mr_db_t *primary = mr_cluster_known_primary(cluster);
    bool registered = primary != NULL && primary->primary_since != 0;

    return cluster->changed_at_count > known_changes
           || (cluster->promoted_id != NULL
               && (!registered
                   || now - cluster->promoted_at <= REPEAT_PROMOTION_MS));
}

/* Lists the primaries that changed after @known_changes. */
static size_t
list_primaries(mr_fleet_t *fleet, mr_msg_primary_t *out,
               uint64_t known_changes, mr_ms_t now)
{
    size_t count = 0;

    MR_LIST_FOREACH(it, &fleet->options.clusters->list)
    {
        mr_cluster_t *cluster = MR_LIST_ENTRY(it, mr_cluster_t, link);
        const mr_sample_t *sample = mr_cluster_newest_sample(cluster);
        if (!has_updates(cluster, known_changes, now)) {
            continue;
        }
        mr_msg_primary_t *primary = &out[count++];
        *primary = (mr_msg_primary_t){
            .service = cluster->service,
            .promoted =
                cluster->promoted_id != NULL ? cluster->promoted_id : "",
            .promoted_version = cluster->promoted_token,
            .age_ms = -1,
        };
        if (sample != NULL) {
            primary->term = sample->position.term;
            primary->position = sample->position.number;
            primary->age_ms = now - sample->at;
        }
    }
    return count;
}

/* Adds newer contents to the reply if they are small, and otherwise the
 * instance to fetch them from. */
static void
add_contents(mr_fleet_t *fleet, mr_fleet_instance_t *instance,
             const mr_msg_report_t *report, mr_msg_report_reply_t *reply,
             mr_ms_t now)
{
    mr_msg_directory_t known = report->directory;

    reply->source = "";
    reply->source_address = "";
    if (instance == NULL || !report->draws_tokens) {
        mr_directory_export(fleet->options.directory, NULL, 0,
                            &reply->directory);
        return;
    }
    if (report->defers_config) {
        known.config_version = INT64_MAX;
    }
    mr_directory_export(fleet->options.directory, &known,
                        mr_fleet_inline_allowance(fleet, now),
                        &reply->directory);
    fleet->inline_bytes -=
        (int64_t)mr_directory_content_bytes(&reply->directory);
    if (!mr_directory_leaves_out(&reply->directory, &known)) {
        mr_fleet_release_source(fleet, instance);
        return;
    }
    mr_fleet_choose_source(fleet, instance, now);
    if (instance->fetching && instance->source != NULL) {
        reply->source = instance->source->name;
        reply->source_address = instance->source->address;
    }
    else if (instance->fetching) {
        reply->source = fleet->options.name;
        reply->source_address = fleet->options.address;
    }
}

/* Replies to a report with the requested tokens, newer contents of the
 * directory, and the primaries that changed after @known_changes. */
static void
answer_report(mr_fleet_t *fleet, mr_peer_request_t *request,
              mr_fleet_instance_t *instance, const mr_msg_report_t *report,
              uint64_t known_changes, mr_ms_t now)
{
    mr_msg_t msg = {.type = MR_MSG_REPORT_REPLY};
    mr_msg_report_reply_t *reply = &msg.u.report_reply;
    mr_msg_draw_t *draws = mr_calloc(report->want_count + 1, sizeof(*draws));
    mr_msg_primary_t *primaries =
        mr_calloc(count_clusters(fleet) + 1, sizeof(*primaries));
    mr_msg_cold_count_t *cold_grants =
        mr_calloc(report->cold_want_count + 1, sizeof(*cold_grants));

    reply->instances = (int64_t)mr_fleet_instances(fleet);
    reply->lifetime_ms = MR_FLEET_TOKEN_LIFETIME_MS;
    reply->store_failing = mr_feed_failing(fleet->options.feed);
    add_contents(fleet, instance, report, reply, now);
    for (size_t i = 0; i < report->want_count; i++) {
        draws[i] = (mr_msg_draw_t){
            report->wants[i].account,
            mr_fleet_draw_tokens(fleet, &report->wants[i], now)};
    }
    reply->draws = draws;
    reply->draw_count = report->want_count;
    if (report->draws_tokens) {
        reply->cold_grants = cold_grants;
        reply->cold_grant_count =
            grant_cold_tokens(fleet, report->cold_wants,
                              report->cold_want_count, cold_grants, now);
    }
    reply->primaries = primaries;
    reply->primary_count =
        list_primaries(fleet, primaries, known_changes, now);
    reply->leaving = fleet->leaving && !fleet->coordinating;
    reply->answers_draws = true;
    if (report->draws_tokens && instance != NULL) {
        reply->lease_granted = mr_lease_grantor_grant(fleet->options.grantor,
                                                      instance->name, now);
    }
    reply->withheld = mr_lease_grantor_list_withheld(fleet->options.grantor,
                                                     &reply->withheld_count);
    mr_peer_reply(request, &msg);
    free(draws);
    free(primaries);
    free(cold_grants);
    free(reply->withheld);
}

/* Records what a report says of the leases, after the promotions that it
 * names. */
static void
record_lease_report(mr_fleet_t *fleet, const char *from,
                    const mr_msg_report_t *report, mr_ms_t now)
{
    for (size_t i = 0; i < report->promotion_count; i++) {
        mr_cluster_t *cluster = mr_clusters_find(
            fleet->options.clusters, report->promotions[i].service);
        if (cluster != NULL) {
            mr_cluster_record_promotion(
                cluster, report->promotions[i].promoted,
                report->promotions[i].promoted_version);
            mr_cluster_note_term(cluster, report->promotions[i].term);
        }
    }
    mr_lease_grantor_report(fleet->options.grantor,
                            &(mr_lease_report_t){
                                .instance = from,
                                .support = report->support,
                                .provisional = report->provisional,
                                .withheld = report->withheld,
                                .withheld_count = report->withheld_count,
                                .now = now,
                            });
}

/* Notes which versions the sender of a report has. */
static void
record_holdings(mr_fleet_instance_t *instance, const mr_msg_report_t *report)
{
    const mr_msg_directory_t *directory = &report->directory;

    instance->held = (mr_msg_directory_t){
        .config_version = directory->config_version,
        .registrations_era = directory->registrations_era,
        .registrations_version = directory->registrations_version,
        .registrations_digest = directory->registrations_digest,
    };
    instance->defers_config = report->defers_config;
    if (report->data_centre[0] != '\0'
        && (instance->data_centre == NULL
            || strcmp(instance->data_centre, report->data_centre) != 0)) {
        free(instance->data_centre);
        instance->data_centre = mr_strdup(report->data_centre);
    }
}

void
mr_fleet_on_report(void *ctx, mr_peer_request_t *request, const mr_msg_t *msg,
                   const char *from)
{
    mr_fleet_t *fleet = ctx;
    const mr_msg_report_t *report = &msg->u.report;
    mr_ms_t now = mr_clock_now(NULL);

    if (request == NULL) {
        return;
    }
    mr_fleet_instance_t *instance = mr_fleet_add_or_update_instance(
        fleet, from, report->address, report->link_mbps);
    uint64_t known_changes = 0;
    if (instance != NULL) {
        /* A process that has just started, as provisional support and a longer
         * gap tell, needs all primaries. */
        if (!report->provisional
            && now - instance->last_report_at <= REPORT_GAP_MAX_MS) {
            known_changes = instance->sent_changes;
        }
        instance->last_report_at = now;
        if (report->draws_tokens) {
            /* A sender that does not draw tokens ignores the primaries in the
             * reply. */
            instance->sent_changes = fleet->options.clusters->change_count;
        }
        record_holdings(instance, report);
    }
    mr_fleet_on_era(fleet, report->directory.registrations_era);
    mr_updates_import(fleet->updates, &report->directory, from);
    if (report->support > 0 && report->support <= now) {
        /* The report follows the reply that it names, so its age is bounded
         * although it may have been held up. */
        mr_directory_import_confirmation(fleet->options.directory,
                                         &report->directory, report->support);
    }
    if (instance != NULL
        && mr_directory_lacks(fleet->options.directory, &report->directory)) {
        mr_updates_fetch(fleet->updates, instance->address, instance->name);
    }
    if (report->draws_tokens) {
        mr_budgets_report(fleet->budgets, from, now);
        mr_promoter_report(fleet->options.promoter, from, now, report->health,
                           report->health_count);
        record_lease_report(fleet, from, report, now);
    }
    else {
        mr_budgets_forget(fleet->budgets, from);
        if (instance != NULL && instance == fleet->coordinator) {
            import_withheld(fleet, report, now);
        }
    }
    if (report->refresh) {
        mr_feed_refresh(fleet->options.feed);
    }
    answer_report(fleet, request, instance, report, known_changes, now);
}
