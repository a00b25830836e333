/* Guards against promotions that end the process, order twice, lose
 * acknowledged commits or leave a replica suspended. Plays many promoters,
 * each with databases and a platform of its own that answer late, not at all,
 * with BUSY or malformed rows, crash, drain, fall behind and lose connections,
 * in a random order. Then all faults end, and the service has to work again.
 */

#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#include "../common/runner.h"
#include "common/log.h"
#include "common/mem.h"
#include "session/db_conn.h"
#include "session/promoter.h"

enum {
    WORLDS = 96,
    DBS = 3,
    FAULTS_MS = 9000,
    RECOVERY_MAX_MS = 20000,
    STEP_MS = 5,
    CHECK_EVERY = 10, /* steps */
    REGISTER_EVERY = 40,
    REGISTERED_AFTER_MS = 1000, /* that a database has ended */
};

/** Stands in for a database. */
typedef struct model_db {
    struct world *world;
    char id[8];
    bool running;
    bool leads;
    bool draining;
    bool suspended;
    bool deaf; /* receives nothing */
    int64_t term;
    int64_t entries;
    int64_t started_at;
    mr_ms_t down_since;
    mr_ms_t changes_at; /* end of its present fault; 0: none */
} model_db_t;

/** Stands in for a connection to a database. */
struct mr_db_conn {
    mr_list_t link;
    model_db_t *db;
    mr_db_t *target;
    mr_list_t pending; /* queries without an answer, oldest first */
    bool open;
    mr_ms_t answers_until; /* the last pending query is answered then */
    void (*lost_fn)(void *ctx);
    void *lost_ctx;
};

typedef struct query {
    mr_list_t link;
    mr_db_conn_t *conn;
    char statement[64];
    mr_db_conn_fn_t fn;
    void *ctx;
    struct event *timer;
    mr_ms_t takes;
    bool arrived;
    bool busy;
    bool lost; /* the connection is lost instead of the answer */
} query_t;

struct mr_store {
    struct world *world;
    mr_store_write_fn_t fn;
    void *ctx;
    mr_ms_t answer_at;
    bool fails;
};

/** Stands in for the platform. */
struct mr_promotion_client {
    struct world *world;
    bool waiting; /* for an answer */
    int64_t last_token;
    int64_t seen_token; /* highest one that was carried out */
};

typedef struct order {
    struct world *world;
    char target[8];
    int64_t token;
    mr_promotion_client_fn_t fn;
    void *ctx;
    struct event *timer;
    bool answered; /* what is left is the late execution */
    bool late;
} order_t;

typedef struct world {
    uint32_t seed;
    int64_t copies;
    bool faults;
    model_db_t dbs[DBS];
    int64_t term;
    int64_t acked_term; /* newest acknowledged commit */
    int64_t acked_entries;
    int64_t version; /* of the store */
    mr_ms_t failing_since;
    mr_list_t conns;
    struct mr_store store;
    mr_promotion_client_t client;
    mr_clusters_t *clusters;
    mr_primary_lease_t *lease;
    mr_lease_grantor_t *grantor;
    mr_promoter_t *promoter;
    int orders;
} world_t;

static world_t worlds[WORLDS];
static struct event_base *base;
static mr_counters_t *counters;

static uint32_t
draw(world_t *world, uint32_t below)
{
    world->seed = world->seed * 1664525 + 1013904223;
    return (world->seed >> 8) % below;
}

static bool
chance(world_t *world, uint32_t one_in)
{
    return world->faults && draw(world, one_in) == 0;
}

static struct event *
start_timer(mr_ms_t after, event_callback_fn fn, void *ctx)
{
    struct timeval tv = mr_clock_timeval(after);
    struct event *timer = evtimer_new(base, fn, ctx);

    evtimer_add(timer, &tv);
    return timer;
}

/* Databases */

static model_db_t *
find_db(world_t *world, const char *id)
{
    for (int i = 0; i < DBS; i++) {
        if (strcmp(world->dbs[i].id, id) == 0) {
            return &world->dbs[i];
        }
    }
    return NULL;
}

static model_db_t *
leader(world_t *world)
{
    for (int i = 0; i < DBS; i++) {
        if (world->dbs[i].running && world->dbs[i].leads) {
            return &world->dbs[i];
        }
    }
    return NULL;
}

static void
free_query(query_t *query)
{
    mr_list_remove(&query->link);
    event_free(query->timer);
    free(query);
}

static void
lose_conn(mr_db_conn_t *conn)
{
    mr_list_t *it;

    while ((it = mr_list_pop(&conn->pending)) != NULL) {
        query_t *query = MR_LIST_ENTRY(it, query_t, link);
        mr_reply_t reply = {.lost = true, .error = MR_ERR_UNAVAILABLE};
        if (conn->open && query->fn != NULL) {
            query->fn(query->ctx, conn, &reply);
        }
        free_query(query);
    }
    if (conn->open && conn->lost_fn != NULL) {
        conn->lost_fn(conn->lost_ctx);
    }
    conn->open = false;
}

static void
end_db(model_db_t *db, mr_ms_t now)
{
    db->running = false;
    db->down_since = now;
    MR_LIST_FOREACH(it, &db->world->conns)
    {
        mr_db_conn_t *conn = MR_LIST_ENTRY(it, mr_db_conn_t, link);
        if (conn->db == db && conn->open) {
            lose_conn(conn);
        }
    }
}

/* Starts a database again. It leads if no other one was promoted. */
static void
start_db(model_db_t *db)
{
    bool replaced = db->term < db->world->term;

    db->running = true;
    db->suspended = false;
    db->deaf = false;
    db->draining = false;
    db->started_at++;
    db->leads = db->leads && !replaced;
}

static void
carry_out_promotion(world_t *world, const char *id)
{
    model_db_t *db = find_db(world, id);

    if (db->leads) {
        return;
    }
    ck_assert_msg(
        world->copies == 0 || db->term > world->acked_term
            || (db->term == world->acked_term
                && db->entries >= world->acked_entries),
        "LOST: %s was promoted at %lld.%lld, acknowledged was %lld.%lld", id,
        (long long)db->term, (long long)db->entries,
        (long long)world->acked_term, (long long)world->acked_entries);
    world->term++;
    for (int i = 0; i < DBS; i++) {
        model_db_t *other = &world->dbs[i];
        other->leads = other == db;
        other->suspended = false;
        if (other->running && !other->deaf) {
            other->term = world->term;
            other->entries = db->entries;
        }
    }
    db->term = world->term;
}

/* The primary commits, its replicas receive, and what is certain to be
 * acknowledged is noted. */
static void
commit(world_t *world, mr_ms_t now)
{
    model_db_t *primary = leader(world);
    mr_cluster_t *cluster = mr_clusters_get(world->clusters, "rez");
    const mr_db_t *known = mr_cluster_known_primary(cluster);
    int64_t copied = 0;

    if (primary == NULL) {
        return;
    }
    primary->term = world->term;
    primary->entries++;
    for (int i = 0; i < DBS; i++) {
        model_db_t *db = &world->dbs[i];
        if (db == primary || !db->running || db->suspended || db->deaf) {
            continue;
        }
        if (!chance(world, 4)) {
            db->term = primary->term;
            db->entries = primary->entries;
        }
        if (db->term == primary->term && db->entries > copied) {
            copied = db->entries;
        }
    }
    if (copied > 0 && known != NULL && strcmp(known->id, primary->id) == 0
        && mr_db_is_leased_primary(known, now)) {
        world->acked_term = primary->term;
        world->acked_entries = copied;
    }
}

/* Connections */

static void
apply_statement(query_t *query)
{
    model_db_t *db = query->conn->db;

    if (!db->running || query->busy) {
        return;
    }
    if (strncmp(query->statement, "SUSPEND ", 8) == 0) {
        db->suspended = !db->leads;
    }
    else if (strncmp(query->statement, "DEMOTE ", 7) == 0) {
        db->leads = false;
    }
    else if (strcmp(query->statement, "RESUME") == 0) {
        db->suspended = false;
    }
}

static void
answer_query(query_t *query)
{
    mr_db_conn_t *conn = query->conn;
    model_db_t *db = conn->db;
    mr_reply_t reply = {.error = query->busy ? MR_ERR_OVERLOADED : MR_OK,
                        .body = evbuffer_new()};

    evbuffer_add_printf(reply.body, "ROW %s %lld %lld.%lld %lld 0 0 1",
                        db->leads ? "primary" : "replica", (long long)db->term,
                        (long long)db->term, (long long)db->entries,
                        (long long)db->term);
    if (chance(db->world, 30)) {
        evbuffer_drain(reply.body, 9);
    }
    mr_list_remove(&query->link);
    if (conn->open && query->fn != NULL) {
        query->fn(query->ctx, conn, &reply);
    }
    evbuffer_free(reply.body);
}

static void
on_query_timer(evutil_socket_t fd, short what, void *ctx)
{
    query_t *query = ctx;
    struct timeval tv = mr_clock_timeval(query->takes);

    (void)fd;
    (void)what;
    if (!query->arrived) {
        /* A connection that was closed at once has not sent it. */
        query->arrived = true;
        if (!query->conn->open) {
            free_query(query);
            return;
        }
        evtimer_add(query->timer, &tv);
        apply_statement(query);
        return;
    }
    if (query->lost) {
        lose_conn(query->conn); /* frees the query */
        return;
    }
    answer_query(query);
    free_query(query);
}

static query_t *
add_query(mr_db_conn_t *conn, const char *statement, mr_db_conn_fn_t fn,
          void *ctx)
{
    world_t *world = conn->db->world;
    mr_ms_t now = mr_clock_now(NULL);
    query_t *query = MR_NEW(query_t);
    mr_ms_t takes = 1 + (mr_ms_t)draw(world, 15);

    if (chance(world, 8)) {
        takes = 100 + (mr_ms_t)draw(world, 900);
    }
    if (now + takes < conn->answers_until) {
        takes = conn->answers_until - now;
    }
    conn->answers_until = now + takes;
    query->conn = conn;
    snprintf(query->statement, sizeof(query->statement), "%s", statement);
    query->fn = fn;
    query->ctx = ctx;
    query->takes = takes;
    query->busy = statement[0] != '\0' && chance(world, 5);
    query->lost = chance(world, 30) || !conn->db->running;
    query->timer = start_timer(0, on_query_timer, query);
    mr_list_append(&conn->pending, &query->link);
    return query;
}

mr_db_conn_t *
mr_db_conn_open(struct event_base *event_base, mr_db_t *db,
                const char *account, mr_db_conn_fn_t fn, void *ctx)
{
    world_t *world = worlds;
    mr_db_conn_t *conn = MR_NEW(mr_db_conn_t);

    (void)event_base;
    (void)account;
    while (world->clusters != db->cluster->clusters) {
        world++;
    }
    conn->db = find_db(world, db->id);
    conn->target = db;
    conn->open = true;
    mr_list_init(&conn->pending);
    mr_list_append(&world->conns, &conn->link);
    add_query(conn, "", fn, ctx);
    return conn;
}

void
mr_db_conn_close(mr_db_conn_t *conn)
{
    ck_assert(conn->open);
    conn->open = false;
}

void
mr_db_conn_query(mr_db_conn_t *conn, const char *id,
                 const mr_position_t *after, const char *statement,
                 mr_db_conn_fn_t fn, void *ctx)
{
    (void)id;
    (void)after;
    ck_assert(conn->open);
    add_query(conn, statement, fn, ctx);
}

void
mr_db_conn_on_lost(mr_db_conn_t *conn, void (*fn)(void *ctx), void *ctx)
{
    conn->lost_fn = fn;
    conn->lost_ctx = ctx;
}

mr_db_t *
mr_db_conn_db(const mr_db_conn_t *conn)
{
    return conn->target;
}

/* Not used by the promoter. */

void
mr_db_conn_drop_replies(mr_db_conn_t *conn)
{
    (void)conn;
}

mr_db_conn_state_t *
mr_db_conn_state(mr_db_conn_t *conn)
{
    (void)conn;
    return NULL;
}

const char *
mr_db_conn_account(const mr_db_conn_t *conn)
{
    (void)conn;
    return "";
}

void
mr_db_conn_set_idle(mr_db_conn_t *conn)
{
    (void)conn;
}

mr_db_conn_t *
mr_db_conn_take_idle(mr_db_t *db, const char *account, uint64_t session)
{
    (void)db;
    (void)account;
    (void)session;
    return NULL;
}

bool
mr_db_conn_has_idle(const mr_db_t *db, const char *account)
{
    (void)db;
    (void)account;
    return false;
}

mr_db_conn_t *
mr_db_conn_oldest_idle(mr_db_t *db)
{
    (void)db;
    return NULL;
}

/* Store and platform */

int64_t
mr_store_era(const mr_store_t *store)
{
    (void)store;
    return 1;
}

void
mr_store_put(mr_store_t *store, const char *table, const char *key,
             mr_revision_t expect, const void *value, size_t len,
             mr_store_write_fn_t fn, void *ctx)
{
    (void)table;
    (void)key;
    (void)expect;
    (void)value;
    (void)len;
    ck_assert_ptr_null((void *)store->fn);
    store->fn = fn;
    store->ctx = ctx;
    store->fails = chance(store->world, 6);
    store->answer_at = mr_clock_now(NULL) + (mr_ms_t)draw(store->world, 40);
}

static void
answer_store(world_t *world, mr_ms_t now)
{
    mr_store_write_fn_t fn = world->store.fn;

    if (fn != NULL && now >= world->store.answer_at) {
        world->store.fn = NULL;
        fn(world->store.ctx, world->store.fails ? MR_ERR_UNAVAILABLE : MR_OK,
           (mr_revision_t){1, ++world->version});
    }
}

static void
on_order_timer(evutil_socket_t fd, short what, void *ctx)
{
    order_t *order = ctx;
    world_t *world = order->world;
    mr_promotion_client_t *client = &world->client;
    mr_error_kind_t error = MR_ERR_CONFLICT;
    struct timeval late = mr_clock_timeval((mr_ms_t)draw(world, 2000));

    (void)fd;
    (void)what;
    if (order->late && !order->answered) {
        order->answered = true;
        client->waiting = false;
        evtimer_add(order->timer, &late);
        order->fn(order->ctx, MR_ERR_OUTCOME_UNKNOWN);
        return;
    }
    if (order->token >= client->seen_token
        && find_db(world, order->target)->running) {
        client->seen_token = order->token;
        carry_out_promotion(world, order->target);
        error = MR_OK;
    }
    if (!order->answered) {
        client->waiting = false;
        order->fn(order->ctx, error);
    }
    event_free(order->timer);
    free(order);
}

void
mr_promotion_client_promote(mr_promotion_client_t *duty, const char *service,
                            const char *target, int64_t token,
                            mr_promotion_client_fn_t fn, void *ctx)
{
    world_t *world = duty->world;
    order_t *order = MR_NEW(order_t);

    (void)service;
    ck_assert_msg(!duty->waiting, "an order was sent beside another one");
    ck_assert_msg(token > duty->last_token, "a fencing token was used twice");
    duty->waiting = true;
    duty->last_token = token;
    world->orders++;
    order->world = world;
    snprintf(order->target, sizeof(order->target), "%s", target);
    order->token = token;
    order->fn = fn;
    order->ctx = ctx;
    order->late = chance(world, 5);
    mr_ms_t takes = 20 + (mr_ms_t)draw(world, chance(world, 2) ? 800 : 80);
    order->timer = start_timer(takes, on_order_timer, order);
}

/* Worlds */

static int64_t
sync_copies(void *ctx, const char *service)
{
    (void)service;
    return ((world_t *)ctx)->copies;
}

static void
ignore(void *ctx)
{
    (void)ctx;
}

static void
register_dbs(world_t *world, mr_ms_t now)
{
    mr_clusters_begin_update(world->clusters,
                             (mr_revision_t){1, world->version + 10});
    for (int i = 0; i < DBS; i++) {
        const model_db_t *db = &world->dbs[i];
        char address[32];
        snprintf(address, sizeof(address), "127.0.0.1:%d", i + 1);
        mr_db_entry_t entry = {.service = "rez",
                               .address = address,
                               .data_centre = "konya",
                               .started_at = db->started_at,
                               .slots = 2,
                               .draining = db->draining,
                               .primary = db->leads};
        if (db->running || now - db->down_since < REGISTERED_AFTER_MS) {
            mr_clusters_add_registration(world->clusters, db->id, &entry,
                                         (mr_revision_t){1, ++world->version});
        }
    }
    mr_clusters_end_update(world->clusters, now);
}

static void
create_world(world_t *world, int number)
{
    mr_ms_t now = mr_clock_now(NULL);

    world->seed = (uint32_t)number + 1;
    world->copies = number % 2;
    world->term = 1;
    world->version = 100;
    mr_list_init(&world->conns);
    world->store.world = world;
    world->client.world = world;
    for (int i = 0; i < DBS; i++) {
        world->dbs[i] = (model_db_t){.world = world,
                                     .id = {(char)('a' + i)},
                                     .running = true,
                                     .leads = i == 0,
                                     .term = 1,
                                     .started_at = 1};
    }
    world->clusters = mr_clusters_create("front-1", "konya");
    world->lease = mr_primary_lease_create(counters, now - MR_SUPPORT_MS);
    mr_clusters_set_lease(world->clusters, world->lease);
    world->grantor = mr_lease_grantor_create("front-1", world->lease);
    mr_lease_grantor_set_coordinating(world->grantor, true, now);
    world->promoter = mr_promoter_create(&(mr_promoter_options_t){
        .base = base,
        .counters = counters,
        .clusters = world->clusters,
        .store = &world->store,
        .duty = &world->client,
        .grantor = world->grantor,
        .instance = "front-1",
        .sync_copies = sync_copies,
        .withheld = ignore,
        .promoted = ignore,
        .ctx = world,
    });
    mr_cluster_set_connections(mr_clusters_get(world->clusters, "rez"), 10);
    register_dbs(world, now);
}

static void
destroy_world(world_t *world)
{
    mr_list_t *it;

    mr_promoter_destroy(world->promoter);
    while ((it = mr_list_pop(&world->conns)) != NULL) {
        mr_db_conn_t *conn = MR_LIST_ENTRY(it, mr_db_conn_t, link);
        conn->open = false;
        lose_conn(conn);
        free(conn);
    }
    mr_lease_grantor_destroy(world->grantor);
    mr_clusters_destroy(world->clusters);
    mr_primary_lease_destroy(world->lease);
}

/* Begins or ends a fault of a database. */
static void
change_db(model_db_t *db, mr_ms_t now)
{
    world_t *world = db->world;
    bool over = db->changes_at != 0 && now >= db->changes_at;

    if (over || (!world->faults && db->changes_at != 0)) {
        db->changes_at = 0;
        if (!db->running || db->draining) {
            if (db->running) {
                end_db(db, now);
            }
            start_db(db);
        }
        db->deaf = false;
        return;
    }
    if (db->changes_at != 0 || !chance(world, 250)) {
        return;
    }
    db->changes_at = now + 300 + (mr_ms_t)draw(world, 2500);
    switch (draw(world, 4)) {
    case 0:
        end_db(db, now);
        break;
    case 1:
    case 2:
        db->draining = true;
        break;
    default:
        db->deaf = true;
        break;
    }
}

static void
report_health(world_t *world, mr_ms_t now)
{
    mr_cluster_t *cluster = mr_clusters_get(world->clusters, "rez");
    const mr_db_t *known = mr_cluster_known_primary(cluster);
    const model_db_t *db = known != NULL ? find_db(world, known->id) : NULL;
    bool fails = db != NULL && !(db->running && db->leads);

    if (!fails) {
        world->failing_since = 0;
    }
    else if (world->failing_since == 0) {
        world->failing_since = now;
    }
    if (db != NULL) {
        mr_msg_db_health_t health = {
            .service = "rez",
            .id = db->id,
            .failing_ms = fails ? now - world->failing_since + 1 : 0,
            .answered_ms = fails ? -1 : 0};
        mr_promoter_report(world->promoter, "front-1", now, &health, 1);
    }
}

static void
step_world(world_t *world, int step, mr_ms_t now)
{
    for (int i = 0; i < DBS; i++) {
        change_db(&world->dbs[i], now);
    }
    commit(world, now);
    answer_store(world, now);
    if (step % REGISTER_EVERY == 0) {
        register_dbs(world, now);
    }
    if (step % CHECK_EVERY == 0) {
        mr_lease_grantor_renew_own(world->grantor, now);
        report_health(world, now);
        mr_promoter_check(world->promoter, now, 1, 1);
    }
}

static void
run_for(mr_ms_t ms, bool faults)
{
    mr_ms_t end = mr_clock_now(NULL) + ms;

    for (int step = 0; mr_clock_now(NULL) < end; step++) {
        struct timeval tv = mr_clock_timeval(STEP_MS);
        for (int i = 0; i < WORLDS; i++) {
            worlds[i].faults = faults;
            step_world(&worlds[i], step, mr_clock_now(NULL));
        }
        event_base_loopexit(base, &tv);
        event_base_dispatch(base);
    }
}

/* Returns what does not work in @world; NULL: the service has its primary and
 * no replica is suspended. */
static const char *
find_defect(world_t *world)
{
    mr_cluster_t *cluster = mr_clusters_get(world->clusters, "rez");
    const mr_db_t *known = mr_cluster_known_primary(cluster);
    const model_db_t *primary = leader(world);

    if (primary == NULL) {
        return "no primary";
    }
    if (known == NULL || strcmp(known->id, primary->id) != 0) {
        return "another primary is known";
    }
    if (!mr_db_is_leased_primary(known, mr_clock_now(NULL))) {
        return "the primary is withheld";
    }
    for (int i = 0; i < DBS; i++) {
        if (world->dbs[i].suspended) {
            return "a replica is suspended";
        }
    }
    return NULL;
}

/* Runs all worlds without faults until they work. */
static void
await_recovery(void)
{
    mr_ms_t end = mr_clock_now(NULL) + RECOVERY_MAX_MS;

    for (int i = 0; i < WORLDS; i++) {
        while (find_defect(&worlds[i]) != NULL) {
            ck_assert_msg(mr_clock_now(NULL) < end, "world %d: %s", i,
                          find_defect(&worlds[i]));
            run_for(CHECK_EVERY * STEP_MS, false);
        }
    }
}

START_TEST(test_no_order_of_events_breaks_a_promotion)
{
    int orders = 0;

    mr_log_setup("model", MR_LOG_ERROR);
    base = event_base_new();
    counters = mr_counters_create();
    for (int i = 0; i < WORLDS; i++) {
        create_world(&worlds[i], i);
    }
    run_for(FAULTS_MS, true);
    await_recovery();
    for (int i = 0; i < WORLDS; i++) {
        orders += worlds[i].orders;
    }
    printf("%d orders in %d worlds\n", orders, WORLDS);
    ck_assert_int_gt(orders, WORLDS / 2);
    for (int i = 0; i < WORLDS; i++) {
        destroy_world(&worlds[i]);
    }
    mr_counters_destroy(counters);
    event_base_free(base);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_no_order_of_events_breaks_a_promotion,
    };

    return RUN_TESTS(tests, .suite = "promoter model", .timeout_s = 60);
}
