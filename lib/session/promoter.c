#include "session/promoter.h"

#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/log.h"
#include "common/mem.h"
#include "common/timer.h"
#include "session/db_conn.h"
#include "session/fence.h"
#include "session/primary_health.h"
#include "session/resumer.h"

enum {
    /* A primary that fails for most reporting instances, but not for all, is
     * replaced after this time. */
    PARTIAL_FAILURE_MS = 1500,
    /* How long a service may have no registered primary. A new service may
     * still be starting, or the old primary may register again. */
    NO_PRIMARY_MS = 1000,
    STATUS_TIMEOUT_MS = 350,   /* for a new connection and one answer */
    CATCH_UP_TIMEOUT_MS = 600, /* for a replica, after the demotion */
    POLL_MS = 20, /* while a token or an answer of a database is awaited */
    /* Time for a promoted database to register as the primary. No further
     * promotion of its service starts before that. */
    REGISTRATION_WAIT_MS = 2500,
    PROMOTION_RETRY_MS = 300,
    /* After an order that the platform refused. Another instance may have
     * ordered a promotion, which then shows in the registrations. */
    REFUSED_WAIT_MS = 1000,
    STATUS_MAX_BYTES = 256, /* a status row has seven fields */
    /* Until all leases of the old primary are confirmed as given up or have
     * lapsed. Those of this leader's predecessor lapse first. */
    LEASES_TIMEOUT_MS = 2 * MR_PRIMARY_LEASE_MS,
    /* How long a failed primary is not replaced by a database whose log ends
     * in an older term. Longer than a data centre is cut off, or a database is
     * down, before it is back. */
    NEWER_LOG_WAIT_MS = 10000,
    /* Time for the promotion that the previous leader may have ordered to
     * show. Longer than the platform takes, and a promoted database to
     * register. */
    ADOPTED_WAIT_MS = 4000,
};

typedef enum promotion_stage {
    STAGE_STATUS,
    STAGE_DEMOTE,
    STAGE_CATCH_UP,
    STAGE_LEASES,
    STAGE_TOKEN,
    STAGE_PLATFORM_CALL,
} promotion_stage_t;

/** A status query to one database, and its answer. */
typedef struct status_query {
    mr_list_t link;
    struct promotion *promotion;
    char *id;
    mr_db_conn_t *conn;
    bool ready;    /* the connection is open and no answer is outstanding */
    bool answered; /* at least once; @status is of the last answer */
    bool refused;  /* at least once, for lack of a free slot */
    mr_db_status_t status;
} status_query_t;

/** A promotion in progress. */
typedef struct promotion {
    mr_list_t link;
    mr_promoter_t *promoter;
    char *service;
    promotion_stage_t stage;
    bool planned;      /* the old primary still works */
    char *old_primary; /* of a planned promotion; else NULL */
    bool demoted;      /* it has confirmed that it leads no more */
    /* Replicas stop receiving while their logs are compared. */
    bool suspend_replicas;
    int64_t term;  /* newest known term of the service */
    int64_t token; /* fencing token of the order; 0: none yet */
    mr_list_t status_queries;
    char *candidate;
    /* Log position that the candidate of a planned promotion has to hold
     * before the next step: what the old primary had when it was asked, then
     * what it had when it was demoted. */
    mr_position_t required_position;
    mr_ms_t stage_started_at;
    mr_ms_t started_at;
    struct event *timer;
} promotion_t;

/** State of a service that is kept between its promotions. */
typedef struct service_state {
    mr_list_t link;
    char *service;
    mr_ms_t blocked_until;
    /* Database named by an order that was not answered, and may still be
     * carried out; NULL: none. The next order names it again, as another one
     * could be carried out before it. */
    char *ordered_id;
    int64_t ordered_token;  /* of that order */
    mr_ms_t outdated_since; /* since then only databases that lack the newest
                               term have answered; 0: none has, or no
                               promotion is due */
    bool resumed; /* since this instance leads, see mr_resumer_resume() */
    mr_fence_t *fence;
} service_state_t;

struct mr_promoter {
    mr_promoter_options_t options;
    mr_primary_health_t *health;
    mr_list_t promotions;
    mr_resumer_t *resumer;
    mr_list_t services;
    bool stopped; /* this instance does not coordinate */
    mr_counter_t *orders_counter;
    mr_counter_t *promotions_counter;
};

static void on_promotion_timer(evutil_socket_t fd, short what, void *ctx);

mr_promoter_t *
mr_promoter_create(const mr_promoter_options_t *options)
{
    mr_promoter_t *promoter = MR_NEW(mr_promoter_t);

    promoter->options = *options;
    promoter->health = mr_primary_health_create();
    mr_list_init(&promoter->promotions);
    promoter->resumer =
        mr_resumer_create(options->base, options->clusters, options->grantor);
    mr_list_init(&promoter->services);
    promoter->orders_counter = mr_counters_get(
        options->counters, "masticrelay_promotion_orders_total", "",
        "orders to the platform that name a new primary");
    promoter->promotions_counter =
        mr_counters_get(options->counters, "masticrelay_promotions_total", "",
                        "orders that the platform carried out");
    return promoter;
}

static void
free_status_queries(promotion_t *promotion)
{
    MR_LIST_FOREACH(it, &promotion->status_queries)
    {
        status_query_t *query = MR_LIST_ENTRY(it, status_query_t, link);
        if (query->conn != NULL) {
            mr_db_conn_close(query->conn);
        }
        mr_list_remove(it);
        free(query->id);
        free(query);
    }
}

static void
free_promotion(promotion_t *promotion)
{
    free_status_queries(promotion);
    mr_list_remove(&promotion->link);
    event_free(promotion->timer);
    free(promotion->service);
    free(promotion->old_primary);
    free(promotion->candidate);
    free(promotion);
}

void
mr_promoter_destroy(mr_promoter_t *promoter)
{
    if (promoter == NULL) {
        return;
    }
    mr_primary_health_destroy(promoter->health);
    MR_LIST_FOREACH(it, &promoter->promotions)
    {
        free_promotion(MR_LIST_ENTRY(it, promotion_t, link));
    }
    mr_resumer_destroy(promoter->resumer);
    MR_LIST_FOREACH(it, &promoter->services)
    {
        service_state_t *state = MR_LIST_ENTRY(it, service_state_t, link);
        mr_list_remove(it);
        mr_fence_destroy(state->fence);
        free(state->service);
        free(state->ordered_id);
        free(state);
    }
    free(promoter);
}

static service_state_t *
get_service_state(mr_promoter_t *promoter, const char *service)
{
    MR_LIST_FOREACH(it, &promoter->services)
    {
        service_state_t *state = MR_LIST_ENTRY(it, service_state_t, link);
        if (strcmp(state->service, service) == 0) {
            return state;
        }
    }
    service_state_t *state = MR_NEW(service_state_t);
    state->service = mr_strdup(service);
    state->fence = mr_fence_create(
        &(mr_fence_options_t){.store = promoter->options.store,
                              .service = service,
                              .instance = promoter->options.instance});
    mr_list_append(&promoter->services, &state->link);
    return state;
}

void
mr_promoter_report(mr_promoter_t *promoter, const char *instance, mr_ms_t now,
                   const mr_msg_db_health_t *health, size_t count)
{
    mr_primary_health_report(promoter->health, instance, now, health, count);
}

static promotion_t *
find_promotion(mr_promoter_t *promoter, const char *service)
{
    MR_LIST_FOREACH(it, &promoter->promotions)
    {
        promotion_t *promotion = MR_LIST_ENTRY(it, promotion_t, link);
        if (strcmp(promotion->service, service) == 0) {
            return promotion;
        }
    }
    return NULL;
}

static void
set_stage(promotion_t *promotion, promotion_stage_t stage)
{
    promotion->stage = stage;
    promotion->stage_started_at = mr_clock_now(NULL);
}

static void
end_promotion(promotion_t *promotion, mr_ms_t pause, const char *outcome)
{
    mr_ms_t now = mr_clock_now(NULL);
    service_state_t *state =
        get_service_state(promotion->promoter, promotion->service);

    mr_log(MR_LOG_INFO, MR_EVENT_PROMOTION_ENDED,
           "service=%s id=%s token=%lld outcome=%s planned=%d took_ms=%lld",
           promotion->service,
           promotion->candidate != NULL ? promotion->candidate : "-",
           (long long)promotion->token, outcome, promotion->planned,
           (long long)(now - promotion->started_at));
    state->blocked_until = now + pause;
    free_promotion(promotion);
}

/* Resumes the replicas that the promotion has suspended. */
static void
resume_replicas(promotion_t *promotion)
{
    mr_promoter_t *promoter = promotion->promoter;

    if (promotion->suspend_replicas) {
        mr_resumer_resume(
            promoter->resumer,
            mr_clusters_get(promoter->options.clusters, promotion->service));
    }
}

/* Ends a promotion that was not ordered. The old primary may be used again,
 * unless an earlier order may still be carried out. */
static void
abandon_promotion(promotion_t *promotion, const char *outcome)
{
    mr_promoter_t *promoter = promotion->promoter;
    service_state_t *state = get_service_state(promoter, promotion->service);

    resume_replicas(promotion);
    if (state->ordered_id == NULL) {
        mr_lease_grantor_release(promoter->options.grantor,
                                 promotion->service);
    }
    end_promotion(promotion, PROMOTION_RETRY_MS, outcome);
}

static void
set_ordered_id(mr_promoter_t *promoter, const char *service, const char *id,
               int64_t token)
{
    service_state_t *state = get_service_state(promoter, service);
    char *copy = id != NULL ? mr_strdup(id) : NULL;

    free(state->ordered_id);
    state->ordered_id = copy;
    state->ordered_token = token;
}

static void
on_promoted(void *ctx, mr_error_kind_t error)
{
    promotion_t *promotion = ctx;
    mr_promoter_t *promoter = promotion->promoter;
    mr_cluster_t *cluster =
        mr_clusters_get(promoter->options.clusters, promotion->service);

    if (error == MR_OK) {
        mr_counter_add(promoter->promotions_counter, 1);
        mr_cluster_record_own_promotion(cluster, promotion->candidate,
                                        promotion->token);
        set_ordered_id(promoter, promotion->service, NULL, 0);
        get_service_state(promoter, promotion->service)->outdated_since = 0;
        mr_lease_grantor_release(promoter->options.grantor,
                                 promotion->service);
        end_promotion(promotion, REGISTRATION_WAIT_MS, "promoted");
        promoter->options.promoted(promoter->options.ctx);
        return;
    }
    if (error == MR_ERR_CONFLICT) {
        resume_replicas(promotion);
        set_ordered_id(promoter, promotion->service, NULL, 0);
        end_promotion(promotion, REFUSED_WAIT_MS, mr_error_name(error));
        promoter->options.promoted(promoter->options.ctx);
        return;
    }
    /* The platform may still carry the call out. If this instance has ceased
     * to coordinate, the next leader adopts the withheld service. */
    if (!promoter->stopped) {
        set_ordered_id(promoter, promotion->service, promotion->candidate,
                       promotion->token);
    }
    /* Until the old primary registers, it cannot be told whether the order
     * that names it again was carried out. */
    bool names_old_primary =
        promotion->old_primary != NULL
        && strcmp(promotion->candidate, promotion->old_primary) == 0;
    end_promotion(promotion,
                  names_old_primary ? ADOPTED_WAIT_MS : PROMOTION_RETRY_MS,
                  mr_error_name(error));
}

/* Whether no instance can use the old primary at present. */
static bool
may_order(promotion_t *promotion)
{
    mr_lease_grantor_t *grantor = promotion->promoter->options.grantor;
    mr_ms_t now = mr_clock_now(NULL);

    return promotion->demoted
               ? mr_lease_grantor_leads(grantor, now)
               : mr_lease_grantor_may_order(grantor, promotion->service, now);
}

/* Whether @db must not become the primary, as its data centre is evacuated.
 * One that an unanswered order names may already be the primary. */
static bool
is_excluded(mr_promoter_t *promoter, const mr_db_t *db)
{
    const char *ordered =
        get_service_state(promoter, db->cluster->service)->ordered_id;

    return mr_db_is_evacuated(db)
           && (ordered == NULL || strcmp(db->id, ordered) != 0);
}

/* Whether the candidate's data centre was evacuated after it was chosen. */
static bool
is_candidate_excluded(const promotion_t *promotion)
{
    mr_promoter_t *promoter = promotion->promoter;
    const mr_cluster_t *cluster =
        mr_clusters_get(promoter->options.clusters, promotion->service);

    MR_LIST_FOREACH(it, &cluster->dbs)
    {
        const mr_db_t *db = MR_LIST_ENTRY(it, mr_db_t, link);
        if (!db->removed && strcmp(db->id, promotion->candidate) == 0) {
            return is_excluded(promoter, db);
        }
    }
    return false;
}

static void
call_platform(promotion_t *promotion)
{
    mr_promoter_t *promoter = promotion->promoter;

    if (is_candidate_excluded(promotion)) {
        abandon_promotion(promotion, "data_centre_evacuated");
        return;
    }
    if (!may_order(promotion)) {
        abandon_promotion(promotion, "not_leading");
        return;
    }
    set_stage(promotion, STAGE_PLATFORM_CALL);
    evtimer_del(promotion->timer);
    mr_counter_add(promoter->orders_counter, 1);
    mr_log(MR_LOG_INFO, MR_EVENT_PROMOTION_ORDERED,
           "service=%s id=%s token=%lld planned=%d", promotion->service,
           promotion->candidate, (long long)promotion->token,
           promotion->planned);
    mr_promotion_client_promote(promoter->options.duty, promotion->service,
                                promotion->candidate, promotion->token,
                                on_promoted, promotion);
}

static void
take_token(promotion_t *promotion)
{
    mr_promoter_t *promoter = promotion->promoter;
    const mr_cluster_t *cluster =
        mr_clusters_get(promoter->options.clusters, promotion->service);

    promotion->token =
        mr_fence_take(get_service_state(promoter, promotion->service)->fence,
                      cluster->promoted_token);
}

/* Calls the platform, with a new token if the store has been restored since
 * the promotion got its own. */
static void
order(promotion_t *promotion)
{
    mr_ms_t now = mr_clock_now(NULL);
    mr_fence_t *fence =
        get_service_state(promotion->promoter, promotion->service)->fence;

    if (mr_fence_is_current(fence, promotion->token)) {
        call_platform(promotion);
        return;
    }
    if (promotion->stage != STAGE_TOKEN) {
        set_stage(promotion, STAGE_TOKEN);
        mr_fence_request(fence, now);
    }
    if (mr_fence_waiting(fence, now)) {
        mr_timer_start(promotion->timer, POLL_MS);
        return;
    }
    take_token(promotion);
    if (promotion->token == 0) {
        abandon_promotion(promotion, "no_token");
        return;
    }
    call_platform(promotion);
}

static status_query_t *
find_status_query(promotion_t *promotion, const char *id)
{
    MR_LIST_FOREACH(it, &promotion->status_queries)
    {
        status_query_t *query = MR_LIST_ENTRY(it, status_query_t, link);
        if (strcmp(query->id, id) == 0) {
            return query;
        }
    }
    return NULL;
}

static int64_t
sync_copies(const promotion_t *promotion)
{
    const mr_promoter_options_t *options = &promotion->promoter->options;

    return options->sync_copies(options->ctx, promotion->service);
}

/* Returns whether the candidate was compared with all commits that may have
 * been acknowledged, if the service requires copies of a commit. For a planned
 * promotion that is the log of the old primary at its demotion; for an
 * unplanned one has_enough_answers() was asked before. */
static bool
is_candidate_proven(const promotion_t *promotion)
{
    return !promotion->planned || promotion->demoted
           || sync_copies(promotion) == 0;
}

static void
withhold(mr_promoter_t *promoter, const char *service, mr_ms_t now)
{
    mr_cluster_t *cluster =
        mr_clusters_get(promoter->options.clusters, service);
    const mr_db_t *primary = mr_cluster_known_primary(cluster);

    mr_lease_grantor_withhold(promoter->options.grantor, service,
                              primary != NULL ? primary->id : "",
                              mr_cluster_primary_claim(cluster), now);
    promoter->options.withheld(promoter->options.ctx);
}

/* Orders the promotion once no instance can use the old primary any more. Its
 * timer calls this again until then. */
static void
await_leases(promotion_t *promotion)
{
    mr_ms_t now = mr_clock_now(NULL);

    if (!is_candidate_proven(promotion)) {
        abandon_promotion(promotion, "not_demoted");
        return;
    }
    if (may_order(promotion)) {
        order(promotion);
        return;
    }
    if (promotion->stage != STAGE_LEASES) {
        set_stage(promotion, STAGE_LEASES);
        if (!promotion->demoted) {
            withhold(promotion->promoter, promotion->service, now);
        }
    }
    if (now - promotion->stage_started_at >= LEASES_TIMEOUT_MS) {
        abandon_promotion(promotion, "leases_held");
        return;
    }
    mr_timer_start(promotion->timer, POLL_MS);
}

/* Returns the query to the primary that a planned promotion replaces. */
static status_query_t *
old_primary_query(promotion_t *promotion)
{
    return promotion->old_primary != NULL
               ? find_status_query(promotion, promotion->old_primary)
               : NULL;
}

static mr_cluster_t *
promotion_cluster(const promotion_t *promotion)
{
    return mr_clusters_get(promotion->promoter->options.clusters,
                           promotion->service);
}

/* Whether @db, which has answered, holds the required position. */
static bool
holds_required(promotion_t *promotion, const mr_db_t *db)
{
    const status_query_t *query = find_status_query(promotion, db->id);

    return mr_position_compare(query->status.received,
                               promotion->required_position)
           >= 0;
}

/* Whether @db, which has answered, goes before @best as it is warm: both logs
 * are equal, or both hold what the planned promotion requires.
 * @order: of their positions */
static bool
differ_in_cold_alone(promotion_t *promotion, const mr_db_t *db,
                     const mr_db_t *best, int order)
{
    mr_ms_t now = mr_clock_now(NULL);
    bool both_hold =
        promotion->planned && promotion->required_position.term > 0
        && holds_required(promotion, db) && holds_required(promotion, best);

    return (order == 0 || both_hold)
           && mr_db_is_cold(db, now) != mr_db_is_cold(best, now);
}

/* Whether @db is a better candidate than @best. If the service requires copies
 * of a commit, the longest log decides, as no other one is known to hold every
 * acknowledged commit. Else a replica that stays goes before one that drains,
 * which soon has to be replaced in turn. */
static bool
is_better_candidate(promotion_t *promotion, const mr_db_t *db,
                    const mr_db_t *best)
{
    int order;

    if (best == NULL) {
        return true;
    }
    order = mr_position_compare(
        find_status_query(promotion, db->id)->status.received,
        find_status_query(promotion, best->id)->status.received);
    if (db->draining != best->draining
        && (order == 0 || sync_copies(promotion) == 0)) {
        return best->draining;
    }
    if (differ_in_cold_alone(promotion, db, best, order)) {
        return mr_db_is_cold(best, mr_clock_now(NULL));
    }
    return order > 0;
}

/* Whether @db may become the primary, apart from its log. One in an evacuated
 * data centre may not, unless an unanswered order names it. A replica that
 * drains only replaces a primary that has failed, and without required copies
 * only if no other replica is registered. */
static bool
is_candidate(promotion_t *promotion, const mr_db_t *db)
{
    const mr_db_t *primary =
        mr_cluster_known_primary(promotion_cluster(promotion));

    if (db->removed || find_status_query(promotion, db->id) == NULL
        || find_status_query(promotion, db->id)
               == old_primary_query(promotion)) {
        return false;
    }
    if (is_excluded(promotion->promoter, db)) {
        return false;
    }
    if (!db->draining) {
        return true;
    }
    if (promotion->planned) {
        return false;
    }
    MR_LIST_FOREACH(it, &promotion_cluster(promotion)->dbs)
    {
        const mr_db_t *other = MR_LIST_ENTRY(it, mr_db_t, link);
        if (!other->removed && !other->draining && other != primary
            && !mr_db_is_evacuated(other)) {
            return sync_copies(promotion) > 0;
        }
    }
    return true;
}

/* Returns the best candidate among the replicas that answered, or the database
 * that an unanswered order named; NULL: none. */
static mr_db_t *
choose_replica(promotion_t *promotion)
{
    const char *ordered =
        get_service_state(promotion->promoter, promotion->service)->ordered_id;
    mr_db_t *best = NULL;

    MR_LIST_FOREACH(it, &promotion_cluster(promotion)->dbs)
    {
        mr_db_t *db = MR_LIST_ENTRY(it, mr_db_t, link);
        if (!is_candidate(promotion, db)) {
            continue;
        }
        if (ordered != NULL && strcmp(db->id, ordered) == 0) {
            return db;
        }
        if (find_status_query(promotion, db->id)->answered
            && is_better_candidate(promotion, db, best)) {
            best = db;
        }
    }
    return best;
}

/* Returns whether at least one of the replicas that answered must hold every
 * acknowledged commit: the ones that did not answer are fewer than the copies
 * that the service requires of a commit. */
static bool
has_enough_answers(promotion_t *promotion)
{
    const mr_cluster_t *cluster = mr_clusters_get(
        promotion->promoter->options.clusters, promotion->service);
    int64_t needed = sync_copies(promotion);
    int64_t replicas = mr_cluster_replicas(cluster, mr_clock_now(NULL));
    int64_t answered = 0;

    if (needed == 0) {
        return true;
    }
    MR_LIST_FOREACH(it, &promotion->status_queries)
    {
        answered += MR_LIST_ENTRY(it, status_query_t, link)->answered;
    }
    return answered > replicas - needed;
}

static bool
read_status(const mr_reply_t *reply, mr_db_status_t *status)
{
    char row[STATUS_MAX_BYTES] = "";
    size_t len = evbuffer_get_length(reply->body);

    evbuffer_copyout(reply->body, row,
                     len < sizeof(row) ? len : sizeof(row) - 1);
    return mr_db_status_parse(row, status);
}

/* Continues the promotion without waiting for its next poll. */
static void
wake(promotion_t *promotion)
{
    mr_timer_start(promotion->timer, 0);
}

/* A demoted primary whose connection is lost may have started again, and is
 * then a primary as before. */
static void
handle_lost_query(status_query_t *query)
{
    promotion_t *promotion = query->promotion;

    query->conn = NULL;
    query->ready = false;
    if (query == old_primary_query(promotion)) {
        promotion->demoted = false;
    }
    wake(promotion);
}

static void
on_status(void *ctx, mr_db_conn_t *conn, const mr_reply_t *reply)
{
    status_query_t *query = ctx;
    promotion_t *promotion = query->promotion;

    (void)conn;
    if (reply->lost) {
        handle_lost_query(query);
        return;
    }
    query->ready = true;
    if (reply->error == MR_OK && read_status(reply, &query->status)) {
        query->answered = true;
        if (query == old_primary_query(promotion)
            && promotion->stage == STAGE_STATUS) {
            promotion->required_position = query->status.received;
        }
    }
    else if (!query->refused) {
        query->refused = true;
        mr_log(MR_LOG_INFO, MR_EVENT_STATUS_REFUSED,
               "service=%s id=%s error=%s", promotion->service, query->id,
               mr_error_name(reply->error));
    }
    if (query->answered) {
        wake(promotion);
    }
}

static void
ask_status(status_query_t *query)
{
    char suspend[64];
    const char *text = mr_relay_statement_text(MR_RELAY_STATUS);

    if (query->promotion->suspend_replicas) {
        /* A suspended replica acknowledges no further commit to the old
         * primary. */
        mr_suspend_statement_text(suspend, sizeof(suspend),
                                  query->promotion->term + 1);
        text = suspend;
    }
    query->ready = false;
    mr_db_conn_query(query->conn, mr_relay_statement_id, NULL, text, on_status,
                     query);
}

/* Asks the databases that have not answered yet, and the replicas that do not
 * hold the required position. */
static void
ask_statuses(promotion_t *promotion)
{
    MR_LIST_FOREACH(it, &promotion->status_queries)
    {
        status_query_t *query = MR_LIST_ENTRY(it, status_query_t, link);
        bool behind = query != old_primary_query(promotion)
                      && mr_position_compare(query->status.received,
                                             promotion->required_position)
                             < 0;
        if (query->ready && (!query->answered || behind)) {
            ask_status(query);
        }
    }
}

/* The connection ended while no answer was outstanding. */
static void
on_status_lost(void *ctx)
{
    handle_lost_query(ctx);
}

static void
on_status_open(void *ctx, mr_db_conn_t *conn, const mr_reply_t *reply)
{
    status_query_t *query = ctx;

    if (reply->lost || reply->error != MR_OK) {
        if (!reply->lost) {
            mr_db_conn_close(conn);
        }
        handle_lost_query(query);
        return;
    }
    mr_db_conn_on_lost(conn, on_status_lost, query);
    ask_status(query);
}

/* Queries the status of each registered database; of the old primary only if
 * it still works. */
static void
query_statuses(promotion_t *promotion)
{
    mr_promoter_t *promoter = promotion->promoter;
    mr_cluster_t *cluster =
        mr_clusters_get(promoter->options.clusters, promotion->service);
    mr_db_t *primary = mr_cluster_known_primary(cluster);
    const mr_sample_t *sample = mr_cluster_newest_sample(cluster);

    promotion->term = sample != NULL ? sample->position.term : 0;
    promotion->suspend_replicas =
        !promotion->planned && sync_copies(promotion) > 0;
    if (promotion->suspend_replicas) {
        /* Whoever ends this promotion resumes them again. */
        mr_resumer_cancel(promoter->resumer, promotion->service);
    }
    set_stage(promotion, STAGE_STATUS);
    MR_LIST_FOREACH(it, &cluster->dbs)
    {
        mr_db_t *db = MR_LIST_ENTRY(it, mr_db_t, link);
        if (db->removed || (db == primary && !promotion->planned)) {
            continue;
        }
        /* Without a connection to a database that must not be used; it is
         * listed as it may be the one that an unanswered order names. */
        status_query_t *query = MR_NEW(status_query_t);
        query->promotion = promotion;
        query->id = mr_strdup(db->id);
        mr_list_append(&promotion->status_queries, &query->link);
        query->conn = mr_db_conn_open(promoter->options.base, db,
                                      mr_no_account, on_status_open, query);
    }
    mr_timer_start(promotion->timer, POLL_MS);
}

/* Returns whether each database that can be reached has answered. */
static bool
have_all_answered(const promotion_t *promotion)
{
    MR_LIST_FOREACH(it, &promotion->status_queries)
    {
        const status_query_t *query = MR_LIST_ENTRY(it, status_query_t, link);
        if (query->conn != NULL && !query->answered) {
            return false;
        }
    }
    return true;
}

static void
on_demoted(void *ctx, mr_db_conn_t *conn, const mr_reply_t *reply)
{
    status_query_t *query = ctx;
    promotion_t *promotion = query->promotion;
    mr_db_status_t status;

    (void)conn;
    mr_log(MR_LOG_INFO, MR_EVENT_PRIMARY_DEMOTED, "service=%s id=%s error=%s",
           promotion->service, query->id, mr_error_name(reply->error));
    if (reply->lost) {
        handle_lost_query(query);
        return;
    }
    query->ready = true;
    if (reply->error == MR_OK && read_status(reply, &status)) {
        promotion->required_position = status.received;
        promotion->demoted = true;
        wake(promotion);
    }
}

/* Asks the old primary to become a replica, again if it had no free slot. */
static void
ask_to_demote(status_query_t *primary)
{
    char text[64];
    int64_t term = primary->status.held_term;

    if (!primary->ready) {
        return;
    }
    if (primary->status.received.term > term) {
        term = primary->status.received.term;
    }
    mr_demote_statement_text(text, sizeof(text), term + 1);
    primary->ready = false;
    mr_db_conn_query(primary->conn, mr_relay_statement_id, NULL, text,
                     on_demoted, primary);
}

static void
set_candidate(promotion_t *promotion, const char *id)
{
    free(promotion->candidate);
    promotion->candidate = mr_strdup(id);
}

/* Polls the replicas after the demotion until one of them holds the whole log
 * of the old primary. If none does in time, the longest log is promoted, or,
 * if the service requires copies of a commit, the old primary once more. */
static void
catch_up(promotion_t *promotion)
{
    mr_db_t *best = choose_replica(promotion);
    status_query_t *old = old_primary_query(promotion);
    mr_ms_t waited = mr_clock_now(NULL) - promotion->stage_started_at;
    bool caught_up = best != NULL && holds_required(promotion, best);

    if (!caught_up && waited < CATCH_UP_TIMEOUT_MS) {
        ask_statuses(promotion);
        mr_timer_start(promotion->timer, POLL_MS);
        return;
    }
    if (caught_up || sync_copies(promotion) == 0) {
        if (best != NULL) {
            set_candidate(promotion, best->id);
        }
    }
    else if (old != NULL && old->conn != NULL
             && !mr_db_is_evacuated(mr_db_conn_db(old->conn))) {
        set_candidate(promotion, old->id);
    }
    else {
        abandon_promotion(promotion, "not_caught_up");
        return;
    }
    await_leases(promotion);
}

static void
await_demotion(promotion_t *promotion)
{
    status_query_t *old = old_primary_query(promotion);
    mr_ms_t waited = mr_clock_now(NULL) - promotion->stage_started_at;

    if (!promotion->demoted && old->conn != NULL
        && waited < STATUS_TIMEOUT_MS) {
        ask_to_demote(old);
        mr_timer_start(promotion->timer, POLL_MS);
        return;
    }
    set_stage(promotion, STAGE_CATCH_UP);
    catch_up(promotion);
}

/* Continues with the candidate that the statuses name. */
static void
take_candidate(promotion_t *promotion, const mr_db_t *best)
{
    service_state_t *state =
        get_service_state(promotion->promoter, promotion->service);
    status_query_t *old = old_primary_query(promotion);

    if (mr_fence_waiting(state->fence, mr_clock_now(NULL))) {
        mr_timer_start(promotion->timer, POLL_MS);
        return;
    }
    take_token(promotion);
    if (promotion->token == 0) {
        abandon_promotion(promotion, "no_token");
        return;
    }
    set_candidate(promotion, best->id);
    if (old != NULL && old->answered && old->conn != NULL) {
        set_stage(promotion, STAGE_DEMOTE);
        await_demotion(promotion);
        return;
    }
    await_leases(promotion);
}

/* Whether the old primary has answered, and a replica holds what it had then,
 * so that it receives. */
static bool
can_demote(promotion_t *promotion, const mr_db_t *best)
{
    const status_query_t *old = old_primary_query(promotion);

    return old != NULL && old->answered && best != NULL
           && holds_required(promotion, best);
}

/* Whether the answers show that the promotion loses no acknowledged commit, or
 * that it may. */
static bool
is_sufficient(promotion_t *promotion, const mr_db_t *best)
{
    if (!promotion->planned) {
        return has_enough_answers(promotion);
    }
    return can_demote(promotion, best) || sync_copies(promotion) == 0;
}

/* Whether further answers would change nothing. */
static bool
is_status_complete(promotion_t *promotion, const mr_db_t *best)
{
    const status_query_t *old = old_primary_query(promotion);

    if (old != NULL && old->conn != NULL) {
        return can_demote(promotion, best);
    }
    return have_all_answered(promotion);
}

/* Whether the log of @best, the best candidate, ends before the newest term
 * that is known, so that its promotion would bring back what a former primary
 * had, and a better one may still come back. */
static bool
awaits_newer_log(promotion_t *promotion, const mr_db_t *best)
{
    service_state_t *state =
        get_service_state(promotion->promoter, promotion->service);
    mr_ms_t now = mr_clock_now(NULL);

    if (promotion->planned || state->ordered_id != NULL
        || find_status_query(promotion, best->id)->status.received.term
               >= promotion_cluster(promotion)->newest_term) {
        return false;
    }
    if (state->outdated_since == 0) {
        state->outdated_since = now;
    }
    return now - state->outdated_since < NEWER_LOG_WAIT_MS;
}

/* Chooses the new primary once all statuses have arrived or their time is
 * over. */
static void
await_statuses(promotion_t *promotion)
{
    mr_db_t *best = choose_replica(promotion);
    mr_ms_t waited = mr_clock_now(NULL) - promotion->stage_started_at;

    if (!is_status_complete(promotion, best) && waited < STATUS_TIMEOUT_MS) {
        ask_statuses(promotion);
        mr_timer_start(promotion->timer, POLL_MS);
        return;
    }
    if (best == NULL || !is_sufficient(promotion, best)) {
        abandon_promotion(promotion, "no_replica");
        return;
    }
    if (awaits_newer_log(promotion, best)) {
        abandon_promotion(promotion, "outdated_log");
        return;
    }
    take_candidate(promotion, best);
}

static void
on_promotion_timer(evutil_socket_t fd, short what, void *ctx)
{
    promotion_t *promotion = ctx;

    (void)fd;
    (void)what;
    switch (promotion->stage) {
    case STAGE_STATUS:
        await_statuses(promotion);
        break;
    case STAGE_DEMOTE:
        await_demotion(promotion);
        break;
    case STAGE_CATCH_UP:
        catch_up(promotion);
        break;
    case STAGE_LEASES:
        await_leases(promotion);
        break;
    case STAGE_TOKEN:
        order(promotion);
        break;
    case STAGE_PLATFORM_CALL:
        break;
    }
}

static void
start_promotion(mr_promoter_t *promoter, const char *service, bool planned,
                const char *reason)
{
    promotion_t *promotion = MR_NEW(promotion_t);
    service_state_t *state = get_service_state(promoter, service);

    promotion->promoter = promoter;
    promotion->service = mr_strdup(service);
    promotion->planned = planned;
    if (planned) {
        promotion->old_primary =
            mr_strdup(mr_cluster_known_primary(
                          mr_clusters_get(promoter->options.clusters, service))
                          ->id);
    }
    promotion->started_at = mr_clock_now(NULL);
    mr_list_init(&promotion->status_queries);
    mr_list_append(&promoter->promotions, &promotion->link);
    promotion->timer =
        evtimer_new(promoter->options.base, on_promotion_timer, promotion);
    mr_log(MR_LOG_WARNING, MR_EVENT_PROMOTION_STARTED, "service=%s reason=%s",
           service, reason);
    /* Without a token the order may have to wait for the store, and some
     * instances can perhaps use the primary until then. */
    if (!planned && mr_fence_has_reserve(state->fence)) {
        withhold(promoter, service, promotion->started_at);
    }
    mr_fence_request(state->fence, promotion->started_at);
    query_statuses(promotion);
}

/* A promotion that the previous leader may have ordered. Returns whether it
 * may still show, so that no other one must be started. */
static bool
await_adopted(mr_promoter_t *promoter, mr_cluster_t *cluster, mr_ms_t now)
{
    mr_lease_grantor_t *grantor = promoter->options.grantor;
    const mr_db_t *primary = mr_cluster_known_primary(cluster);
    mr_msg_withheld_t adopted;

    if (!mr_lease_grantor_adopted(grantor, cluster->service, &adopted)) {
        return false;
    }
    if (primary != NULL && strcmp(primary->id, adopted.primary) != 0
        && mr_cluster_primary_claim(cluster) > adopted.claim) {
        mr_lease_grantor_release(grantor, cluster->service);
        return false;
    }
    if (mr_lease_grantor_leading_ms(grantor, now) >= ADOPTED_WAIT_MS) {
        start_promotion(promoter, cluster->service, false, "unfinished");
    }
    return true;
}

/* Whether evacuations leave no database that could replace the primary. */
static bool
lacks_candidate(const mr_cluster_t *cluster, const mr_db_t *primary)
{
    bool evacuated = false;

    MR_LIST_FOREACH(it, &cluster->dbs)
    {
        const mr_db_t *db = MR_LIST_ENTRY(it, mr_db_t, link);
        if (db->removed || db == primary) {
            continue;
        }
        if (!mr_db_is_evacuated(db)) {
            return false;
        }
        evacuated = true;
    }
    return evacuated || (primary != NULL && mr_db_is_evacuated(primary));
}

/* Starts a promotion if the state of the known primary requires one. */
static void
check_primary(mr_promoter_t *promoter, mr_cluster_t *cluster,
              const mr_db_t *primary, mr_ms_t now, size_t reporting)
{
    mr_health_summary_t summary = mr_primary_health_summarize(
        promoter->health, cluster->service, primary->id, now);
    size_t needed = reporting > 1 ? 2 : 1;

    if (summary.failed >= needed && summary.answered == 0) {
        start_promotion(promoter, cluster->service, false, "primary_failed");
    }
    else if (summary.failed > summary.answered
             && summary.longest_failing_ms >= PARTIAL_FAILURE_MS) {
        start_promotion(promoter, cluster->service, false, "primary_cut_off");
    }
    else if (mr_db_is_evacuated(primary)) {
        start_promotion(promoter, cluster->service,
                        !mr_db_is_closed(primary, now),
                        "data_centre_evacuated");
    }
    else if (primary->draining) {
        start_promotion(promoter, cluster->service, true, "primary_leaves");
    }
    else {
        get_service_state(promoter, cluster->service)->outdated_since = 0;
    }
}

static void
check_cluster(mr_promoter_t *promoter, mr_cluster_t *cluster, mr_ms_t now,
              size_t reporting)
{
    service_state_t *state = get_service_state(promoter, cluster->service);
    mr_db_t *primary = mr_cluster_known_primary(cluster);

    mr_fence_refill(state->fence, now);
    if (!state->resumed
        && promoter->options.sync_copies(promoter->options.ctx,
                                         cluster->service)
               > 0) {
        /* The previous leader may have left replicas suspended. */
        state->resumed = true;
        mr_resumer_resume(promoter->resumer, cluster);
    }
    if (now < state->blocked_until
        || find_promotion(promoter, cluster->service) != NULL
        || await_adopted(promoter, cluster, now)) {
        return;
    }
    if (state->ordered_id != NULL
        && ((primary != NULL && strcmp(state->ordered_id, primary->id) == 0)
            || cluster->promoted_token > state->ordered_token)) {
        /* It has registered, or another promotion followed. */
        set_ordered_id(promoter, cluster->service, NULL, 0);
    }
    if (state->ordered_id != NULL) {
        start_promotion(promoter, cluster->service, false, "not_answered");
        return;
    }
    /* After a refused order. */
    mr_lease_grantor_release(promoter->options.grantor, cluster->service);
    if (lacks_candidate(cluster, primary)) {
        return;
    }
    if (primary == NULL) {
        if (cluster->no_primary_since != 0
            && now - cluster->no_primary_since >= NO_PRIMARY_MS) {
            start_promotion(promoter, cluster->service, false, "no_primary");
        }
        return;
    }
    check_primary(promoter, cluster, primary, now, reporting);
}

static void
forget_resumed(mr_promoter_t *promoter)
{
    MR_LIST_FOREACH(it, &promoter->services)
    {
        MR_LIST_ENTRY(it, service_state_t, link)->resumed = false;
    }
}

void
mr_promoter_stop(mr_promoter_t *promoter)
{
    promoter->stopped = true;
    forget_resumed(promoter);
    MR_LIST_FOREACH(it, &promoter->services)
    {
        service_state_t *state = MR_LIST_ENTRY(it, service_state_t, link);
        mr_fence_drop_reserve(state->fence);
        set_ordered_id(promoter, state->service, NULL, 0);
    }
}

void
mr_promoter_check(mr_promoter_t *promoter, mr_ms_t now, size_t reporting,
                  size_t instances)
{
    promoter->stopped = false;
    /* Without a majority, this instance may be on the smaller side of a
     * network partition. */
    if (reporting * 2 <= instances
        || !mr_lease_grantor_leads(promoter->options.grantor, now)) {
        forget_resumed(promoter);
        return;
    }
    MR_LIST_FOREACH(it, &promoter->options.clusters->list)
    {
        mr_cluster_t *cluster = MR_LIST_ENTRY(it, mr_cluster_t, link);
        if (cluster->named) {
            check_cluster(promoter, cluster, now, reporting);
        }
    }
}
