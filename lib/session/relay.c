#include "session/relay.h"

#include <event2/listener.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/address.h"
#include "common/descriptors.h"
#include "common/log.h"
#include "common/mem.h"
#include "session/client.h"

enum {
    /* Room for all sessions of an instance, which may reconnect together. */
    LISTEN_BACKLOG = 1024,
    /* Part of the memory limit for unread input and unsent output of all
     * sessions together. */
    BUFFERS_PERCENT = 20,
    /* Shortest time between two choices of sessions to disconnect, which visit
     * all sessions. */
    MAKE_ROOM_INTERVAL_MS = 10,
    NO_ROOM_LOG_INTERVAL_MS = 1000,
};

/** A session that may be disconnected. */
typedef struct candidate {
    mr_client_t *session;
    mr_client_use_t use;
} candidate_t;

static gint
compare_candidates(gconstpointer a, gconstpointer b, gpointer now)
{
    const candidate_t *one = a;
    const candidate_t *other = b;

    return mr_client_budget_compare(&one->use, &other->use,
                                    *(const mr_ms_t *)now);
}

/* Returns the sessions that may be disconnected, in their order. */
static GArray *
find_candidates(mr_relay_t *relay, mr_ms_t now)
{
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));
    GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);

    MR_LIST_FOREACH(it, &relay->sessions)
    {
        mr_client_t *session = MR_LIST_ENTRY(it, mr_client_t, link);
        candidate_t candidate = {session, mr_client_use(session)};
        if (session->account != NULL) {
            gpointer count = g_hash_table_lookup(counts, session->account);
            g_hash_table_insert(counts, session->account,
                                GSIZE_TO_POINTER(GPOINTER_TO_SIZE(count) + 1));
        }
        if (mr_client_budget_state(&candidate.use, now) != MR_CLIENT_BUSY) {
            g_array_append_val(candidates, candidate);
        }
    }
    for (guint i = 0; i < candidates->len; i++) {
        candidate_t *candidate = &g_array_index(candidates, candidate_t, i);
        if (candidate->session->account != NULL) {
            candidate->use.account_clients = GPOINTER_TO_SIZE(
                g_hash_table_lookup(counts, candidate->session->account));
        }
    }
    g_hash_table_destroy(counts);
    g_array_sort_with_data(candidates, compare_candidates, &now);
    return candidates;
}

/* Disconnects sessions as the budget of connections says. Returns false if
 * there is none, or the last choice was too recent. */
static bool
make_room(mr_relay_t *relay)
{
    mr_ms_t now = mr_clock_now(NULL);
    mr_client_state_t state = MR_CLIENT_BUSY;
    size_t batch = 0;

    if (now - relay->room_made_at < MAKE_ROOM_INTERVAL_MS) {
        return false;
    }
    relay->room_made_at = now;
    GArray *candidates = find_candidates(relay, now);
    if (candidates->len > 0) {
        const candidate_t *first = &g_array_index(candidates, candidate_t, 0);
        state = mr_client_budget_state(&first->use, now);
        batch = mr_client_budget_batch(state, relay->session_count);
    }
    size_t count = 0;
    for (; count < batch && count < candidates->len; count++) {
        const candidate_t *it = &g_array_index(candidates, candidate_t, count);
        if (mr_client_budget_state(&it->use, now) != state) {
            break;
        }
        mr_client_destroy(it->session);
    }
    g_array_free(candidates, TRUE);
    if (count > 0) {
        mr_counter_add(relay->disconnected[state], (int64_t)count);
        mr_log(MR_LOG_WARNING, MR_EVENT_CLIENTS_DISCONNECTED,
               "reason=%s count=%zu sessions=%zu",
               mr_client_budget_state_name(state), count,
               relay->session_count);
    }
    return count > 0;
}

static void
refuse_connection(mr_relay_t *relay, evutil_socket_t fd)
{
    mr_ms_t now = mr_clock_now(NULL);

    mr_counter_add(relay->no_room, 1);
    relay->no_room_unlogged++;
    if (now - relay->no_room_logged_at >= NO_ROOM_LOG_INTERVAL_MS) {
        mr_log(MR_LOG_WARNING, MR_EVENT_CLIENTS_REFUSED,
               "count=%lld sessions=%zu descriptors=%zu",
               (long long)relay->no_room_unlogged, relay->session_count,
               mr_descriptors_limit());
        relay->no_room_logged_at = now;
        relay->no_room_unlogged = 0;
    }
    evutil_closesocket(fd);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *addr, int len, void *ctx)
{
    mr_relay_t *relay = ctx;

    (void)listener;
    (void)addr;
    (void)len;
    if (mr_descriptors_reached(mr_descriptors_client_limit())
        && !make_room(relay)) {
        refuse_connection(relay, fd);
        return;
    }
    mr_client_create(relay, fd);
}

/* Frees descriptors for databases, the store and other instances if they have
 * come to use the part that new sessions leave free. */
static void
keep_descriptors_free(mr_relay_t *relay)
{
    if (mr_descriptors_reached(mr_descriptors_kept_limit())) {
        make_room(relay);
    }
}

static void
create_counters(mr_relay_t *relay)
{
    mr_counters_t *counters = relay->options.counters;

    relay->opened =
        mr_counters_get(counters, "masticrelay_sessions_opened_total", "",
                        "sessions that clients opened");
    relay->operations =
        mr_counters_get(counters, "masticrelay_operations_total", "",
                        "statements and transactions of sessions");
    relay->limited = mr_counters_get(
        counters, "masticrelay_operations_limited_total", "",
        "operations refused since the account is beyond its rate");
    relay->outside_regions = mr_counters_get(
        counters, "masticrelay_outside_regions_total", "",
        "statements refused as no database is in an allowed region");
    relay->cold_waits = mr_counters_get(
        counters, "masticrelay_cold_waits_total", "",
        "times that a statement waited for a token of a cold database");
    relay->cold_refused = mr_counters_get(
        counters, "masticrelay_cold_refused_total", "",
        "statements that got no token of a cold database in time");
    relay->not_leased = mr_counters_get(
        counters, "masticrelay_primary_not_leased_total", "",
        "statements that could not use the primary, and commits whose outcome "
        "is unknown, for lack of a lease");
    relay->retries =
        mr_counters_get(counters, "masticrelay_statement_retries_total", "",
                        "further attempts of statements at databases");
    relay->evacuated = mr_counters_get(
        counters, "masticrelay_statements_refused_evacuated_total", "",
        "statements that only a database in an evacuated data centre could "
        "run");
    relay->evacuated_ended = mr_counters_get(
        counters, "masticrelay_transactions_ended_evacuated_total", "",
        "open transactions ended at the deadline of an evacuation");
    relay->shed = mr_counters_get(counters, "masticrelay_sessions_shed_total",
                                  "", "sessions closed to free memory");
    relay->no_room =
        mr_counters_get(counters, "masticrelay_clients_refused_total", "",
                        "connections closed at once for lack of descriptors");
    for (int i = MR_CLIENT_IDLE; i < MR_CLIENT_STATES; i++) {
        char *labels =
            mr_asprintf("reason=\"%s\"", mr_client_budget_state_name(i));
        relay->disconnected[i] =
            mr_counters_get(counters, "masticrelay_clients_disconnected_total",
                            labels, "sessions closed to free descriptors");
        free(labels);
    }
    relay->latency = mr_histogram_create(
        counters, "masticrelay_statement_ms", "outcome=\"ok\"",
        "time of statements, from their arrival to the answer");
    relay->failures = mr_histogram_create(
        counters, "masticrelay_statement_ms", "outcome=\"error\"",
        "time of statements, from their arrival to the answer");
    for (int i = 0; i < MR_ERROR_COUNT; i++) {
        char *labels = mr_asprintf("kind=\"%s\"", mr_error_name(i));
        relay->answers[i] =
            mr_counters_get(counters, "masticrelay_session_answers_total",
                            labels, "answers to statements, by kind");
        free(labels);
    }
}

static int64_t
count_sessions(void *ctx)
{
    return (int64_t)((mr_relay_t *)ctx)->session_count;
}

static int64_t
sum_input(void *ctx)
{
    mr_relay_t *relay = ctx;
    size_t sum = 0;

    MR_LIST_FOREACH(it, &relay->sessions)
    {
        sum += mr_client_input_bytes(MR_LIST_ENTRY(it, mr_client_t, link));
    }
    return (int64_t)sum;
}

static int64_t
sum_output(void *ctx)
{
    mr_relay_t *relay = ctx;
    size_t sum = 0;

    MR_LIST_FOREACH(it, &relay->sessions)
    {
        sum += mr_client_output_bytes(MR_LIST_ENTRY(it, mr_client_t, link));
    }
    return (int64_t)sum;
}

/* Whether a session may end to free memory: one without an operation, or one
 * that stalls within a transaction or while it is being closed. */
static bool
may_shed(const mr_client_t *session)
{
    mr_client_use_t use = mr_client_use(session);
    mr_client_state_t state = mr_client_budget_state(&use, mr_clock_now(NULL));

    return mr_client_is_idle(session) || state == MR_CLIENT_SLOW_READER
           || state == MR_CLIENT_SLOW_SENDER;
}

/* Whether no statement of the session runs, though a transaction may be open.
 * A transaction that sends more than the buffers hold is rolled back. */
static bool
runs_no_statement(const mr_client_t *session)
{
    return session->run.stage == MR_RUN_NONE;
}

/* Closes sessions for which @may_close holds, those with most memory first,
 * until @excess bytes are free. @size: counts the memory of a session. Small
 * sessions are kept: to open them again would cost more than it frees. */
static void
shed_sessions(mr_relay_t *relay, int64_t excess,
              bool (*may_close)(const mr_client_t *session),
              size_t (*size)(const mr_client_t *session))
{
    while (excess > 0) {
        mr_client_t *largest = NULL;
        size_t most = MR_CLIENT_SMALL_BYTES;
        MR_LIST_FOREACH(it, &relay->sessions)
        {
            mr_client_t *session = MR_LIST_ENTRY(it, mr_client_t, link);
            if (size(session) > most && may_close(session)) {
                largest = session;
                most = size(session);
            }
        }
        if (largest == NULL) {
            return;
        }
        excess -= (int64_t)most;
        mr_client_shed(largest);
    }
}

static int64_t
buffer_excess(mr_relay_t *relay, int64_t limit)
{
    return sum_input(relay) + sum_output(relay)
           - limit / 100 * BUFFERS_PERCENT;
}

static void
bound_buffers(mr_relay_t *relay)
{
    int64_t limit = mr_memory_limit(relay->options.memory);

    if (limit > 0) {
        shed_sessions(relay, buffer_excess(relay, limit), may_shed,
                      mr_client_buffer_bytes);
        shed_sessions(relay, buffer_excess(relay, limit), runs_no_statement,
                      mr_client_buffer_bytes);
    }
}

static void
on_large_input(evutil_socket_t fd, short what, void *ctx)
{
    (void)fd;
    (void)what;
    bound_buffers(ctx);
}

static void
on_measured(void *ctx)
{
    mr_relay_t *relay = ctx;

    keep_descriptors_free(relay);
    bound_buffers(relay);
    shed_sessions(relay, mr_memory_excess(relay->options.memory), may_shed,
                  mr_client_held_bytes);
}

static int64_t
count_catalogs(void *ctx)
{
    (void)ctx;
    return mr_catalog_count_live();
}

static void
create_gauges(mr_relay_t *relay)
{
    mr_memory_t *memory = relay->options.memory;

    mr_memory_add_gauge(memory, "sessions", "open sessions", count_sessions,
                        relay);
    mr_memory_add_gauge(memory, "session_input_bytes",
                        "messages of clients that wait to be handled",
                        sum_input, relay);
    mr_memory_add_gauge(memory, "session_output_bytes",
                        "answers that clients have not read", sum_output,
                        relay);
    mr_memory_add_gauge(memory, "catalogs",
                        "versions of the desired state in memory",
                        count_catalogs, relay);
}

mr_relay_t *
mr_relay_create(const mr_relay_options_t *options)
{
    struct sockaddr_storage addr;
    int len;
    mr_relay_t *relay = MR_NEW(mr_relay_t);

    relay->options = *options;
    mr_list_init(&relay->sessions);
    create_counters(relay);
    if (mr_address_parse(options->listen, &addr, &len)) {
        relay->listener = evconnlistener_new_bind(
            options->base, on_accept, relay,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
            LISTEN_BACKLOG, (struct sockaddr *)&addr, len);
    }
    if (relay->listener == NULL) {
        mr_log(MR_LOG_ERROR, MR_EVENT_LISTEN_FAILED, "address=%s",
               options->listen);
        free(relay);
        return NULL;
    }
    create_gauges(relay);
    relay->large_input =
        event_new(options->base, -1, 0, on_large_input, relay);
    mr_memory_set_handler(options->memory, on_measured, relay);
    return relay;
}

void
mr_relay_destroy(mr_relay_t *relay)
{
    if (relay == NULL) {
        return;
    }
    MR_LIST_FOREACH(it, &relay->sessions)
    {
        mr_client_destroy(MR_LIST_ENTRY(it, mr_client_t, link));
    }
    event_free(relay->large_input);
    evconnlistener_free(relay->listener);
    mr_catalog_unref(relay->catalog);
    free(relay);
}

void
mr_relay_set_catalog(mr_relay_t *relay, mr_catalog_t *catalog)
{
    mr_catalog_unref(relay->catalog);
    relay->catalog = mr_catalog_ref(catalog);
    MR_LIST_FOREACH(it, &relay->sessions)
    {
        mr_client_t *session = MR_LIST_ENTRY(it, mr_client_t, link);
        /* Sessions opened before the first catalog are waiting for it. */
        if (session->run.stage == MR_RUN_NONE) {
            mr_client_process_input(session);
        }
    }
}

size_t
mr_relay_sessions(const mr_relay_t *relay)
{
    return relay->session_count;
}

void
mr_relay_on_tokens(mr_relay_t *relay, int64_t round)
{
    MR_LIST_FOREACH(it, &relay->sessions)
    {
        mr_client_on_tokens(MR_LIST_ENTRY(it, mr_client_t, link), round);
    }
}

int64_t
mr_relay_sync_copies(const mr_relay_t *relay, const char *service)
{
    const mr_catalog_service_t *found =
        relay->catalog != NULL ? mr_catalog_service(relay->catalog, service)
                               : NULL;

    return found != NULL ? found->sync_copies : 0;
}

void
mr_relay_drain(mr_relay_t *relay)
{
    relay->draining = true;
    MR_LIST_FOREACH(it, &relay->sessions)
    {
        mr_client_t *session = MR_LIST_ENTRY(it, mr_client_t, link);
        if (session->run.stage == MR_RUN_NONE) {
            mr_client_process_input(session);
        }
    }
}

void
mr_relay_abort_transactions(mr_relay_t *relay)
{
    relay->ending_transactions = true;
    MR_LIST_FOREACH(it, &relay->sessions)
    {
        mr_client_t *session = MR_LIST_ENTRY(it, mr_client_t, link);
        if (session->run.stage != MR_RUN_NONE) {
            continue;
        }
        /* The next request of a client that was answered just now may be on
         * its way; it is answered before the session ends. */
        if (session->idle_before) {
            mr_client_abort(session);
        }
        else {
            session->idle_before = true;
        }
    }
}

void
mr_relay_end_evacuated(mr_relay_t *relay, mr_ms_t now)
{
    size_t count = 0;

    MR_LIST_FOREACH(it, &relay->sessions)
    {
        count +=
            mr_run_end_evacuated(MR_LIST_ENTRY(it, mr_client_t, link), now);
    }
    if (count > 0) {
        mr_log(MR_LOG_WARNING, MR_EVENT_EVACUATION_TRANSACTIONS_ENDED,
               "count=%zu", count);
    }
}
