#include "session/promoter.h"

#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/log.h"
#include "common/mem.h"
#include "common/timer.h"
#include "session/link.h"
#include "session/sights.h"

enum {
    /* A primary that only a minority reaches is replaced after this time. */
    MINORITY_MS = 1500,
    /* Without a registered primary: a new service is still starting, or the
     * former one registers again. */
    LEADERLESS_MS = 1000,
    TOKEN_TIMEOUT_MS = 500, /* a slow store; above this the spare one serves */
    TOKEN_RETRY_MS = 2000,  /* between attempts to take a spare one */
    STATUS_TIMEOUT_MS = 350, /* a new connection and one answer */
    CATCH_UP_MS = 600,       /* of a replica, once the primary stopped */
    CATCH_UP_TICK_MS = 20,
    /* Until a promoted database registers; no further order before it. */
    SETTLE_MS = 2500,
    RETRY_MS = 300,
    STATUS_MAX_BYTES = 256, /* seven fields */
};

static const char token_table[] = "promotions";

typedef enum order_stage {
    ORDER_STATUS,
    ORDER_DEMOTE,
    ORDER_CATCH_UP,
    ORDER_CALL,
} order_stage_t;

/** What one database answered to a status query. */
typedef struct answer {
    mr_list_t link;
    struct order *order;
    char *id;
    mr_link_t *db_link;
    bool answered;
    mr_db_status_t status;
} answer_t;

/** A change of primary in progress. */
typedef struct order {
    mr_list_t link;
    mr_promoter_t *promoter;
    char *service;
    order_stage_t stage;
    bool planned;  /* the primary still works */
    bool suspends; /* replicas stop receiving while their logs are compared */
    int64_t term;  /* newest known one */
    int64_t token; /* 0: none yet */
    mr_list_t answers;
    char *chosen;
    mr_position_t goal;
    mr_ms_t stage_since;
    mr_ms_t started;
    struct event *timer;
} order_t;

/** What outlives the orders of a service. */
typedef struct memory {
    mr_list_t link;
    mr_promoter_t *promoter;
    char *service;
    mr_ms_t quiet_until;
    int64_t row_version; /* newest known version of the token's row */
    int64_t token;       /* not used yet; 0: none */
    bool token_due;      /* the store was asked for one */
    mr_ms_t asked_at;
} memory_t;

struct mr_promoter {
    mr_promoter_options_t options;
    mr_primary_health_t *health;
    mr_list_t orders;
    mr_list_t memories;
    mr_counter_t *ordered;
    mr_counter_t *succeeded;
};

static void on_order_timer(evutil_socket_t fd, short what, void *ctx);

mr_promoter_t *
mr_promoter_create(const mr_promoter_options_t *options)
{
    mr_promoter_t *promoter = MR_NEW(mr_promoter_t);

    promoter->options = *options;
    promoter->health = mr_primary_health_create();
    mr_list_init(&promoter->orders);
    mr_list_init(&promoter->memories);
    promoter->ordered = mr_counters_get(
        options->counters, "masticrelay_promotion_orders_total", "",
        "orders to the platform that name a new primary");
    promoter->succeeded =
        mr_counters_get(options->counters, "masticrelay_promotions_total", "",
                        "orders that the platform carried out");
    return promoter;
}

static void
free_answers(order_t *order)
{
    MR_LIST_FOREACH(it, &order->answers)
    {
        answer_t *answer = MR_LIST_ENTRY(it, answer_t, link);
        if (answer->db_link != NULL) {
            mr_link_close(answer->db_link);
        }
        mr_list_remove(it);
        free(answer->id);
        free(answer);
    }
}

static void
free_order(order_t *order)
{
    free_answers(order);
    mr_list_remove(&order->link);
    event_free(order->timer);
    free(order->service);
    free(order->chosen);
    free(order);
}

void
mr_promoter_destroy(mr_promoter_t *promoter)
{
    if (promoter == NULL) {
        return;
    }
    mr_primary_health_destroy(promoter->health);
    MR_LIST_FOREACH(it, &promoter->orders)
    {
        free_order(MR_LIST_ENTRY(it, order_t, link));
    }
    MR_LIST_FOREACH(it, &promoter->memories)
    {
        memory_t *memory = MR_LIST_ENTRY(it, memory_t, link);
        mr_list_remove(it);
        free(memory->service);
        free(memory);
    }
    free(promoter);
}

static memory_t *
get_memory(mr_promoter_t *promoter, const char *service)
{
    MR_LIST_FOREACH(it, &promoter->memories)
    {
        memory_t *memory = MR_LIST_ENTRY(it, memory_t, link);
        if (strcmp(memory->service, service) == 0) {
            return memory;
        }
    }
    memory_t *memory = MR_NEW(memory_t);
    memory->promoter = promoter;
    memory->service = mr_strdup(service);
    mr_list_append(&promoter->memories, &memory->link);
    return memory;
}

void
mr_promoter_report(mr_promoter_t *promoter, const char *instance, mr_ms_t now,
                   const mr_msg_db_health_t *health, size_t count)
{
    mr_primary_health_report(promoter->health, instance, now, health, count);
}

static void on_token(void *ctx, mr_error_kind_t error, int64_t version);

/* Asks the store for a token that no other order has. */
static void
request_token(memory_t *memory)
{
    const char *instance = memory->promoter->options.instance;

    if (memory->token_due) {
        return;
    }
    memory->token_due = true;
    memory->asked_at = mr_clock_now(NULL);
    mr_store_put(memory->promoter->options.store, token_table, memory->service,
                 memory->row_version, instance, strlen(instance), on_token,
                 memory);
}

static void
on_token(void *ctx, mr_error_kind_t error, int64_t version)
{
    memory_t *memory = ctx;

    memory->token_due = false;
    if (error == MR_OK) {
        memory->row_version = version;
        memory->token = version;
    }
    else if (error == MR_ERR_CONFLICT) {
        memory->row_version = version;
        request_token(memory);
    }
    else {
        mr_log(MR_LOG_WARNING, MR_EVENT_TOKEN_NOT_TAKEN, "service=%s error=%s",
               memory->service, mr_error_name(error));
    }
}

static order_t *
find_order(mr_promoter_t *promoter, const char *service)
{
    MR_LIST_FOREACH(it, &promoter->orders)
    {
        order_t *order = MR_LIST_ENTRY(it, order_t, link);
        if (strcmp(order->service, service) == 0) {
            return order;
        }
    }
    return NULL;
}

static void
set_stage(order_t *order, order_stage_t stage)
{
    order->stage = stage;
    order->stage_since = mr_clock_now(NULL);
}

static void
end_order(order_t *order, mr_ms_t quiet, const char *outcome)
{
    mr_ms_t now = mr_clock_now(NULL);
    memory_t *memory = get_memory(order->promoter, order->service);

    mr_log(MR_LOG_INFO, MR_EVENT_PROMOTION_ENDED,
           "service=%s id=%s token=%lld outcome=%s planned=%d took_ms=%lld",
           order->service, order->chosen != NULL ? order->chosen : "-",
           (long long)order->token, outcome, order->planned,
           (long long)(now - order->started));
    memory->quiet_until = now + quiet;
    free_order(order);
}

static void
on_promoted(void *ctx, mr_error_kind_t error)
{
    order_t *order = ctx;
    mr_promoter_t *promoter = order->promoter;
    mr_cluster_t *cluster =
        mr_clusters_get(promoter->options.clusters, order->service);

    if (error == MR_OK) {
        mr_counter_add(promoter->succeeded, 1);
        mr_cluster_promoted_now(cluster, order->chosen, order->token);
        end_order(order, SETTLE_MS, "promoted");
        promoter->options.promoted(promoter->options.ctx);
        return;
    }
    /* The call may still be carried out: the next order has a higher token.
     */
    end_order(order, RETRY_MS, mr_error_name(error));
}

static void
call_platform(order_t *order)
{
    mr_promoter_t *promoter = order->promoter;

    set_stage(order, ORDER_CALL);
    evtimer_del(order->timer);
    mr_counter_add(promoter->ordered, 1);
    mr_log(MR_LOG_INFO, MR_EVENT_PROMOTION_ORDERED,
           "service=%s id=%s token=%lld planned=%d", order->service,
           order->chosen, (long long)order->token, order->planned);
    mr_duty_promote(promoter->options.duty, order->service, order->chosen,
                    order->token, on_promoted, order);
}

static answer_t *
find_answer(order_t *order, const char *id)
{
    MR_LIST_FOREACH(it, &order->answers)
    {
        answer_t *answer = MR_LIST_ENTRY(it, answer_t, link);
        if (strcmp(answer->id, id) == 0) {
            return answer;
        }
    }
    return NULL;
}

/* The running replica with the longest log; NULL: none answered. */
static mr_db_t *
choose_replica(order_t *order)
{
    mr_cluster_t *cluster =
        mr_clusters_get(order->promoter->options.clusters, order->service);
    mr_db_t *leader = mr_cluster_leader(cluster);
    mr_db_t *best = NULL;
    mr_position_t best_position = {0, 0};

    MR_LIST_FOREACH(it, &cluster->dbs)
    {
        mr_db_t *db = MR_LIST_ENTRY(it, mr_db_t, link);
        answer_t *answer = find_answer(order, db->id);
        if (db->gone || db->draining || (order->planned && db == leader)
            || answer == NULL || !answer->answered) {
            continue;
        }
        if (best == NULL
            || mr_position_compare(answer->status.received, best_position)
                   > 0) {
            best = db;
            best_position = answer->status.received;
        }
    }
    return best;
}

/* Whether the replicas that answered include one with every acknowledged
 * commit: each commit is held by as many of them as the service asks for. A
 * replica that is no longer registered may be the one. */
static bool
enough_answered(order_t *order)
{
    const mr_promoter_options_t *options = &order->promoter->options;
    const mr_cluster_t *cluster =
        mr_clusters_get(options->clusters, order->service);
    int64_t needed = options->sync_copies(options->ctx, order->service);
    int64_t replicas = cluster->copies - 1;
    int64_t answered = 0;

    if (needed == 0 || order->planned) {
        return true;
    }
    MR_LIST_FOREACH(it, &order->answers)
    {
        answered += MR_LIST_ENTRY(it, answer_t, link)->answered;
    }
    return answered > replicas - needed;
}

/* Goes on as soon as no status answer is due. */
static void
check_complete(order_t *order)
{
    MR_LIST_FOREACH(it, &order->answers)
    {
        answer_t *answer = MR_LIST_ENTRY(it, answer_t, link);
        if (answer->db_link != NULL && !answer->answered) {
            return;
        }
    }
    mr_timer_start(order->timer, 0);
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

static void
on_status(void *ctx, mr_link_t *link, const mr_reply_t *reply)
{
    answer_t *answer = ctx;
    order_t *order = answer->order;

    if (reply->lost) {
        answer->db_link = NULL;
        check_complete(order);
        return;
    }
    if (reply->error == MR_OK) {
        answer->answered = read_status(reply, &answer->status);
    }
    if (!answer->answered) {
        mr_log(MR_LOG_INFO, MR_EVENT_STATUS_REFUSED,
               "service=%s id=%s error=%s", order->service, answer->id,
               mr_error_name(reply->error));
    }
    (void)link;
    check_complete(order);
}

/* The connection ended while no answer was due. */
static void
on_status_lost(void *ctx)
{
    answer_t *answer = ctx;

    answer->db_link = NULL;
}

static void
on_status_open(void *ctx, mr_link_t *link, const mr_reply_t *reply)
{
    answer_t *answer = ctx;

    if (reply->lost || reply->error != MR_OK) {
        answer->db_link = NULL;
        if (!reply->lost) {
            mr_link_close(link);
        }
        check_complete(answer->order);
        return;
    }
    char text[64];

    mr_link_on_lost(link, on_status_lost, answer);
    if (answer->order->suspends) {
        /* From here on the primary gathers no further acknowledgement. */
        mr_suspend_text(text, sizeof(text), answer->order->term + 1);
        mr_link_query(link, mr_own_statement_id, NULL, text, on_status,
                      answer);
        return;
    }
    mr_link_query(link, mr_own_statement_id, NULL,
                  mr_own_statement_text(MR_OWN_STATUS), on_status, answer);
}

/* Asks the running databases for their log positions. */
static void
start_status(order_t *order)
{
    mr_promoter_t *promoter = order->promoter;
    mr_cluster_t *cluster =
        mr_clusters_get(promoter->options.clusters, order->service);
    mr_db_t *leader = mr_cluster_leader(cluster);
    const mr_sample_t *sample = mr_cluster_newest(cluster);

    order->term = sample != NULL ? sample->position.term : 0;
    order->suspends =
        !order->planned
        && promoter->options.sync_copies(promoter->options.ctx, order->service)
               > 0;
    set_stage(order, ORDER_STATUS);
    MR_LIST_FOREACH(it, &cluster->dbs)
    {
        mr_db_t *db = MR_LIST_ENTRY(it, mr_db_t, link);
        if (db->gone || (db == leader && !order->planned)) {
            continue;
        }
        answer_t *answer = MR_NEW(answer_t);
        answer->order = order;
        answer->id = mr_strdup(db->id);
        mr_list_append(&order->answers, &answer->link);
        answer->db_link = mr_link_open(promoter->options.base, db,
                                       mr_no_account, on_status_open, answer);
    }
    mr_timer_start(order->timer, STATUS_TIMEOUT_MS);
}

/* The primary stopped, or does not answer: its replicas get what is on its
 * way. */
static void
on_demoted(void *ctx, mr_link_t *link, const mr_reply_t *reply)
{
    answer_t *answer = ctx;
    order_t *order = answer->order;
    mr_db_status_t status;

    (void)link;
    if (reply->lost) {
        answer->db_link = NULL;
    }
    if (reply->error == MR_OK && read_status(reply, &status)) {
        order->goal = status.received;
    }
    mr_log(MR_LOG_INFO, MR_EVENT_PRIMARY_DEMOTED, "service=%s id=%s error=%s",
           order->service, answer->id, mr_error_name(reply->error));
    set_stage(order, ORDER_CATCH_UP);
    mr_timer_start(order->timer, 0);
}

static void
demote_former(order_t *order, answer_t *leader)
{
    char text[64];
    int64_t term = leader->status.held_term;

    if (leader->status.received.term > term) {
        term = leader->status.received.term;
    }
    set_stage(order, ORDER_DEMOTE);
    mr_demote_text(text, sizeof(text), term + 1);
    mr_link_query(leader->db_link, mr_own_statement_id, NULL, text, on_demoted,
                  leader);
    mr_timer_start(order->timer, STATUS_TIMEOUT_MS);
}

/* Replicas that were suspended receive again. */
static void
resume_replicas(order_t *order)
{
    MR_LIST_FOREACH(it, &order->answers)
    {
        answer_t *answer = MR_LIST_ENTRY(it, answer_t, link);
        if (order->suspends && answer->answered && answer->db_link != NULL) {
            mr_link_query(answer->db_link, mr_own_statement_id, NULL,
                          mr_own_statement_text(MR_OWN_RESUME), NULL, NULL);
        }
    }
}

/* Status answers are there, or the time for them is over. */
static void
decide(order_t *order)
{
    mr_cluster_t *cluster =
        mr_clusters_get(order->promoter->options.clusters, order->service);
    mr_db_t *leader = mr_cluster_leader(cluster);
    mr_db_t *best = choose_replica(order);

    if (best == NULL || !enough_answered(order)) {
        resume_replicas(order);
        end_order(order, RETRY_MS, "no_replica");
        return;
    }
    memory_t *memory = get_memory(order->promoter, order->service);
    if (memory->token_due
        && mr_clock_now(NULL) - memory->asked_at < TOKEN_TIMEOUT_MS) {
        mr_timer_start(order->timer, CATCH_UP_TICK_MS);
        return;
    }
    /* While the store is out of reach, one that was taken earlier serves. */
    order->token = memory->token;
    memory->token = 0;
    if (order->token == 0) {
        resume_replicas(order);
        end_order(order, RETRY_MS, "no_token");
        return;
    }
    free(order->chosen);
    order->chosen = mr_strdup(best->id);
    answer_t *former = order->planned && leader != NULL
                           ? find_answer(order, leader->id)
                           : NULL;
    if (former != NULL && former->answered && former->db_link != NULL) {
        demote_former(order, former);
        return;
    }
    call_platform(order);
}

static void
on_caught_up(void *ctx, mr_link_t *link, const mr_reply_t *reply)
{
    answer_t *answer = ctx;

    on_status(ctx, link, reply);
    if (reply->lost) {
        answer->answered = false;
    }
    mr_timer_start(answer->order->timer, CATCH_UP_TICK_MS);
}

/* Waits until the chosen replica has all that the former primary had. */
static void
catch_up(order_t *order)
{
    answer_t *answer = find_answer(order, order->chosen);
    mr_ms_t waited = mr_clock_now(NULL) - order->stage_since;

    if (answer == NULL || answer->db_link == NULL || waited >= CATCH_UP_MS
        || mr_position_compare(answer->status.received, order->goal) >= 0) {
        call_platform(order);
        return;
    }
    mr_link_query(answer->db_link, mr_own_statement_id, NULL,
                  mr_own_statement_text(MR_OWN_STATUS), on_caught_up, answer);
    mr_timer_start(order->timer, STATUS_TIMEOUT_MS);
}

static void
on_order_timer(evutil_socket_t fd, short what, void *ctx)
{
    order_t *order = ctx;

    (void)fd;
    (void)what;
    switch (order->stage) {
    case ORDER_STATUS:
        decide(order);
        break;
    case ORDER_DEMOTE:
        set_stage(order, ORDER_CATCH_UP);
        catch_up(order);
        break;
    case ORDER_CATCH_UP:
        catch_up(order);
        break;
    case ORDER_CALL:
        break;
    }
}

static void
start_order(mr_promoter_t *promoter, const char *service, bool planned,
            const char *reason)
{
    order_t *order = MR_NEW(order_t);
    memory_t *memory = get_memory(promoter, service);

    order->promoter = promoter;
    order->service = mr_strdup(service);
    order->planned = planned;
    order->started = mr_clock_now(NULL);
    mr_list_init(&order->answers);
    mr_list_append(&promoter->orders, &order->link);
    order->timer = evtimer_new(promoter->options.base, on_order_timer, order);
    mr_log(MR_LOG_WARNING, MR_EVENT_PROMOTION_STARTED, "service=%s reason=%s",
           service, reason);
    request_token(memory);
    start_status(order);
}

static void
check_cluster(mr_promoter_t *promoter, mr_cluster_t *cluster, mr_ms_t now,
              size_t reporting)
{
    memory_t *memory = get_memory(promoter, cluster->service);
    mr_db_t *leader = mr_cluster_leader(cluster);
    size_t needed = reporting > 1 ? 2 : 1;

    if (memory->token == 0 && now - memory->asked_at >= TOKEN_RETRY_MS) {
        request_token(memory);
    }
    if (now < memory->quiet_until
        || find_order(promoter, cluster->service) != NULL) {
        return;
    }
    if (leader == NULL) {
        if (cluster->leaderless_since != 0
            && now - cluster->leaderless_since >= LEADERLESS_MS) {
            start_order(promoter, cluster->service, false, "no_primary");
        }
        return;
    }
    mr_health_summary_t summary = mr_primary_health_summarize(
        promoter->health, cluster->service, leader->id, now);
    if (summary.failed >= needed && summary.answered == 0) {
        start_order(promoter, cluster->service, false, "primary_failed");
    }
    else if (summary.failed > summary.answered
             && summary.longest_failing_ms >= MINORITY_MS) {
        start_order(promoter, cluster->service, false, "primary_cut_off");
    }
    else if (leader->draining) {
        start_order(promoter, cluster->service, true, "primary_leaves");
    }
}

void
mr_promoter_check(mr_promoter_t *promoter, mr_ms_t now, size_t reporting,
                  size_t instances)
{
    /* A minority may be the one that is cut off. */
    if (reporting * 2 <= instances) {
        return;
    }
    MR_LIST_FOREACH(it, &promoter->options.clusters->list)
    {
        check_cluster(promoter, MR_LIST_ENTRY(it, mr_cluster_t, link), now,
                      reporting);
    }
}
