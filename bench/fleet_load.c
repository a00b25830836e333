#include "fleet_load.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "common/mem.h"

enum {
    REQUEST_TIMEOUT_S = 5, /* longer than the routes' deadlines */
    STOP_TIMEOUT_MS = 6000,
    SESSIONS_INITIAL = 24, /* created at the start, for each stream */
    TARGETS_PER_GROUP = 3,
};

/** Destination of requests: an instance or, for direct load, a target. */
typedef struct endpoint {
    const harness_process_t *process;
    int requests_max; /* sent at a time; 0: no limit */
    int open_requests;
    GQueue *idle_connections; /* struct evhttp_connection */
    GQueue *waiting_requests; /* request_t */
} endpoint_t;

typedef struct stream {
    fleet_load_t *load;
    size_t index;
    fleet_stream_options_t options;
    const harness_account_t *account;
    fleet_stats_t stats;
    struct event *timer;
    double next_arrival; /* time of the next request */
    GQueue *idle_sessions;
    int sessions;
    gsl_ran_discrete_t *instance_distribution; /* shares of instances */
    double tokens;                             /* of the ideal token bucket */
    double tokens_at;
    GArray *intervals;
} stream_t;

/** Session of one caller, with at most one request at a time. */
typedef struct session {
    stream_t *stream;
    int index;
    char *token;
    size_t instance; /* of the last request */
} session_t;

typedef struct request {
    session_t *session;
    endpoint_t *endpoint;
    struct evhttp_connection *conn;
    char *body;
    bool write;
    bool after_write;       /* a read that follows an acknowledged write */
    bool on_other_instance; /* sent to another instance than the write was */
    bool within_rate;
    double due;
    double sent;
} request_t;

struct fleet_load {
    harness_t *harness;
    gsl_rng *rng;
    endpoint_t *instances;
    endpoint_t *targets;
    size_t *primaries; /* index of each group's primary at the start */
    int64_t *terms;
    stream_t *streams;
    size_t count;
    double counting_since;
    double started_at;
    bool stopping;
    int open;
    fleet_ack_fn_t *on_ack;
    void *on_ack_ctx;
};

static void post_request(request_t *request);
static void send_request(session_t *session, bool write, bool after_write,
                         double due);

double
fleet_now(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6;
}

/* ------------------------------------------------------------- Answers */

static void
count_error_kind(fleet_stats_t *stats, const char *kind)
{
    gpointer old = g_hash_table_lookup(stats->error_kinds, kind);

    g_hash_table_replace(stats->error_kinds, g_strdup(kind),
                         GINT_TO_POINTER(GPOINTER_TO_INT(old) + 1));
}

static void
count_ran(stream_t *stream, const request_t *request, bool replica, double now)
{
    fleet_stats_t *stats = &stream->stats;
    fleet_interval_t interval = {request->sent, now};
    double ms = now - request->due;

    g_array_append_val(stream->intervals, interval);
    if (request->due < stream->load->counting_since) {
        return;
    }
    stats->ran++;
    stats->within_rate_ran += request->within_rate ? 1 : 0;
    stats->last_ran_at = now;
    if (request->write) {
        fleet_hist_add(stats->write_ms, ms);
        return;
    }
    stats->reads++;
    stats->replica_reads += replica ? 1 : 0;
    if (request->after_write) {
        stats->after_write_reads++;
        stats->after_write_replica_reads += replica ? 1 : 0;
        fleet_hist_add(request->on_other_instance ? stats->after_write_other_ms
                                                  : stats->after_write_same_ms,
                       ms);
    }
    else {
        fleet_hist_add(stats->read_ms, ms);
    }
}

static void
count_error(stream_t *stream, const request_t *request, const json_t *answer)
{
    fleet_stats_t *stats = &stream->stats;
    const json_t *error = json_object_get(answer, "error");
    const char *kind = harness_json_text(error, "kind", "connection");
    const char *outcome = harness_json_text(error, "outcome", "unknown");

    if (request->due < stream->load->counting_since) {
        return;
    }
    count_error_kind(stats, kind);
    if (strcmp(kind, "rate_limited") == 0) {
        stats->limited++;
        stats->within_rate_limited += request->within_rate ? 1 : 0;
    }
    else if (strcmp(outcome, "not_run") == 0) {
        stats->refused++;
    }
    else {
        stats->unknown++;
    }
}

static void
handle_answer(request_t *request, int status, const json_t *answer)
{
    session_t *session = request->session;
    stream_t *stream = session->stream;
    fleet_load_t *load = stream->load;
    double now = fleet_now();
    const char *token = harness_json_text(answer, "session", NULL);

    if (token != NULL) {
        free(session->token);
        session->token = mr_strdup(token);
    }
    if (status != 200) {
        count_error(stream, request, answer);
        return;
    }
    count_ran(stream, request,
              strcmp(harness_json_text(answer, "role", ""), "replica") == 0,
              now);
    if (request->write && load->on_ack != NULL) {
        load->on_ack(load->on_ack_ctx, stream->index,
                     harness_json_text(answer, "served_by", ""), now);
    }
}

static void
free_request(request_t *request)
{
    free(request->body);
    free(request);
}

static void
release_connection(request_t *request)
{
    endpoint_t *endpoint = request->endpoint;

    endpoint->open_requests--;
    g_queue_push_head(endpoint->idle_connections, request->conn);
    if (!g_queue_is_empty(endpoint->waiting_requests)) {
        post_request(g_queue_pop_head(endpoint->waiting_requests));
    }
}

static void
on_reply(struct evhttp_request *req, void *ctx)
{
    request_t *request = ctx;
    session_t *session = request->session;
    stream_t *stream = session->stream;
    json_t *answer;
    int status = harness_read_reply(req, &answer);

    handle_answer(request, status, answer);
    json_decref(answer);
    release_connection(request);
    stream->load->open--;
    if (status == 200 && request->write && stream->options.read_after_write
        && !stream->load->stopping) {
        send_request(session, false, true, fleet_now());
    }
    else {
        g_queue_push_tail(stream->idle_sessions, session);
    }
    free_request(request);
}

/* ------------------------------------------------------------ Requests */

static void
post_request(request_t *request)
{
    endpoint_t *endpoint = request->endpoint;
    stream_t *stream = request->session->stream;
    bool direct = stream->options.direct;

    request->conn = g_queue_pop_head(endpoint->idle_connections);
    if (request->conn == NULL) {
        request->conn =
            harness_connect(stream->load->harness->base,
                            endpoint->process->address, REQUEST_TIMEOUT_S);
    }
    endpoint->open_requests++;
    ck_assert(harness_send(
        request->conn, evhttp_request_new(on_reply, request), EVHTTP_REQ_POST,
        direct ? "/execute" : "/v1/routes/data/statements",
        direct ? NULL : stream->account->key, request->body));
}

static json_t *
make_statement(const session_t *session, bool write)
{
    json_t *statement = json_pack(
        "{s:s,s:o}", "op", write ? "put" : "get", "key",
        json_sprintf("b%zu-%d", session->stream->index, session->index));

    if (write) {
        json_object_set_new(statement, "value",
                            json_sprintf("%.3f", fleet_now()));
    }
    return statement;
}

static char *
make_body(const session_t *session, bool write)
{
    const fleet_stream_options_t *o = &session->stream->options;
    json_t *body = json_pack(
        "{s:s,s:o,s:b}", "access", write ? "write" : "read", "statement",
        make_statement(session, write), "idempotent", !o->not_idempotent);

    json_object_set_new(
        body, "shard",
        o->shard != NULL
            ? json_string(o->shard)
            : json_sprintf("b%zu-%d", session->stream->index, session->index));
    if (session->token != NULL) {
        json_object_set_new(body, "session", json_string(session->token));
    }
    if (o->deadline_ms > 0) {
        json_object_set_new(body, "deadline_ms", json_integer(o->deadline_ms));
    }
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    return text;
}

static size_t
choose_other_instance(const fleet_load_t *load, size_t index)
{
    size_t count = load->harness->instance_count;
    size_t step = 1 + gsl_rng_uniform_int(load->rng, count - 1);

    return (index + step) % count;
}

/* Skips instances that do not run, as the platform's load balancer does. */
static size_t
choose_instance(const stream_t *stream)
{
    const fleet_load_t *load = stream->load;
    size_t count = load->harness->instance_count;
    size_t chosen = gsl_ran_discrete(load->rng, stream->instance_distribution);

    if (stream->options.move_interval_ms > 0) {
        size_t turn = (size_t)((fleet_now() - load->started_at)
                               / (double)stream->options.move_interval_ms);
        chosen = (turn * 7 + stream->index) % count;
    }
    while (load->instances[chosen].process->pid == 0) {
        chosen = (chosen + 1) % count;
    }
    return chosen;
}

static void
prepare_direct(request_t *request)
{
    session_t *session = request->session;
    fleet_load_t *load = session->stream->load;
    size_t group =
        (size_t)session->index % (size_t)load->harness->options.groups;
    size_t target = load->primaries[group];

    if (!request->write) {
        size_t first = group * TARGETS_PER_GROUP;
        target = first
                 + (target - first + 1 + gsl_rng_uniform_int(load->rng, 2))
                       % TARGETS_PER_GROUP;
    }
    json_t *body = json_pack(
        "{s:s,s:I,s:o,s:i}", "access", request->write ? "write" : "read",
        "term", (json_int_t)load->terms[group], "statement",
        make_statement(session, request->write), "max_ms", 2000);
    request->body = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    request->endpoint = &load->targets[target];
}

/* Whether the account's token bucket would admit the request if a single one
 * counted for the whole fleet. */
static bool
take_token(stream_t *stream, double now)
{
    const harness_account_t *a = stream->account;

    stream->tokens = fmin(
        (double)a->burst,
        stream->tokens + (now - stream->tokens_at) * (double)a->rate / 1000);
    stream->tokens_at = now;
    if (stream->tokens < 1) {
        return false;
    }
    stream->tokens -= 1;
    return true;
}

static void
send_request(session_t *session, bool write, bool after_write, double due)
{
    stream_t *stream = session->stream;
    fleet_load_t *load = stream->load;
    request_t *request = MR_NEW(request_t);

    request->session = session;
    request->write = write;
    request->after_write = after_write;
    request->due = due;
    request->sent = fleet_now();
    request->within_rate = take_token(stream, request->sent);
    if (due >= load->counting_since) {
        stream->stats.sent++;
        stream->stats.within_rate += request->within_rate ? 1 : 0;
    }
    load->open++;
    if (stream->options.direct) {
        prepare_direct(request);
    }
    else {
        request->on_other_instance =
            after_write && gsl_rng_uniform_int(load->rng, 2) == 0;
        if (request->on_other_instance) {
            session->instance = choose_other_instance(load, session->instance);
        }
        else if (!after_write) {
            session->instance = choose_instance(stream);
        }
        request->endpoint = &load->instances[session->instance];
        request->body = make_body(session, write);
    }
    if (request->endpoint->requests_max > 0
        && request->endpoint->open_requests
               >= request->endpoint->requests_max) {
        g_queue_push_tail(request->endpoint->waiting_requests, request);
        return;
    }
    post_request(request);
}

/* ------------------------------------------------------------- Streams */

static session_t *
add_session(stream_t *stream)
{
    session_t *session = MR_NEW(session_t);

    session->stream = stream;
    session->index = stream->sessions++;
    return session;
}

static void
schedule_arrival(stream_t *stream)
{
    double wait = fmax(stream->next_arrival - fleet_now(), 0);
    struct timeval tv = {.tv_sec = (time_t)(wait / 1000),
                         .tv_usec = (suseconds_t)(fmod(wait, 1000) * 1000)};

    evtimer_add(stream->timer, &tv);
}

static void
on_arrival(evutil_socket_t fd, short what, void *ctx)
{
    stream_t *stream = ctx;
    fleet_load_t *load = stream->load;

    (void)fd;
    (void)what;
    while (stream->next_arrival <= fleet_now()) {
        session_t *session = g_queue_pop_head(stream->idle_sessions);
        bool write = gsl_rng_uniform(load->rng) < stream->options.write_share;
        if (session == NULL) {
            session = add_session(stream);
        }
        send_request(session, write, false, stream->next_arrival);
        stream->next_arrival +=
            gsl_ran_exponential(load->rng, 1000 / stream->options.rate);
    }
    schedule_arrival(stream);
}

static void
reset_stats(fleet_stats_t *stats)
{
    fleet_hist_destroy(stats->read_ms);
    fleet_hist_destroy(stats->write_ms);
    fleet_hist_destroy(stats->after_write_same_ms);
    fleet_hist_destroy(stats->after_write_other_ms);
    if (stats->error_kinds != NULL) {
        g_hash_table_destroy(stats->error_kinds);
    }
    *stats = (fleet_stats_t){
        .read_ms = fleet_hist_create(),
        .write_ms = fleet_hist_create(),
        .after_write_same_ms = fleet_hist_create(),
        .after_write_other_ms = fleet_hist_create(),
        .error_kinds =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
    };
}

static void
init_distribution(stream_t *stream)
{
    fleet_load_t *load = stream->load;
    size_t count = load->harness->instance_count;
    double *weights = mr_calloc(count, sizeof(*weights));

    for (size_t i = 0; i < count; i++) {
        weights[i] = 1 / pow((double)(i + 1), stream->options.skew);
    }
    gsl_ran_shuffle(load->rng, weights, count, sizeof(*weights));
    stream->instance_distribution = gsl_ran_discrete_preproc(count, weights);
    free(weights);
}

static void
init_stream(fleet_load_t *load, size_t index,
            const fleet_stream_options_t *options)
{
    stream_t *stream = &load->streams[index];

    stream->load = load;
    stream->index = index;
    stream->options = *options;
    stream->account = &load->harness->accounts[options->account];
    stream->tokens = (double)stream->account->burst;
    stream->tokens_at = load->started_at;
    stream->intervals = g_array_new(FALSE, FALSE, sizeof(fleet_interval_t));
    stream->idle_sessions = g_queue_new();
    for (int i = 0; i < SESSIONS_INITIAL; i++) {
        g_queue_push_tail(stream->idle_sessions, add_session(stream));
    }
    reset_stats(&stream->stats);
    init_distribution(stream);
    stream->next_arrival =
        load->started_at
        + gsl_ran_exponential(load->rng, 1000 / options->rate);
    stream->timer = evtimer_new(load->harness->base, on_arrival, stream);
    schedule_arrival(stream);
}

static endpoint_t
make_endpoint(const harness_process_t *process, int requests_max)
{
    return (endpoint_t){.process = process,
                        .requests_max = requests_max,
                        .idle_connections = g_queue_new(),
                        .waiting_requests = g_queue_new()};
}

static void
find_primaries(fleet_load_t *load)
{
    harness_t *h = load->harness;

    for (int g = 0; g < h->options.groups; g++) {
        harness_target_t *primary = harness_primary(h, g);
        json_t *state = NULL;
        ck_assert_ptr_nonnull(primary);
        load->primaries[g] = (size_t)(primary - h->targets);
        harness_http(h->base, "GET", primary->process.address, "/status", NULL,
                     NULL, &state);
        load->terms[g] = json_integer_value(json_object_get(state, "term"));
        json_decref(state);
    }
}

fleet_load_t *
fleet_load_start(harness_t *h, const fleet_stream_options_t *streams,
                 size_t count, unsigned long seed)
{
    fleet_load_t *load = MR_NEW(fleet_load_t);

    load->harness = h;
    load->rng = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(load->rng, seed);
    load->instances = mr_calloc(h->instance_count, sizeof(endpoint_t));
    for (size_t i = 0; i < h->instance_count; i++) {
        load->instances[i] = make_endpoint(&h->instances[i].process, 0);
    }
    load->targets = mr_calloc(h->target_count, sizeof(endpoint_t));
    for (size_t i = 0; i < h->target_count; i++) {
        load->targets[i] =
            make_endpoint(&h->targets[i].process, h->options.slots);
    }
    load->primaries = mr_calloc((size_t)h->options.groups, sizeof(size_t));
    load->terms = mr_calloc((size_t)h->options.groups, sizeof(int64_t));
    find_primaries(load);
    load->started_at = fleet_now();
    load->count = count;
    load->streams = mr_calloc(count, sizeof(*load->streams));
    for (size_t i = 0; i < count; i++) {
        init_stream(load, i, &streams[i]);
    }
    return load;
}

void
fleet_load_on_ack(fleet_load_t *load, fleet_ack_fn_t *fn, void *ctx)
{
    load->on_ack = fn;
    load->on_ack_ctx = ctx;
}

void
fleet_load_start_counting(fleet_load_t *load)
{
    load->counting_since = fleet_now();
    for (size_t i = 0; i < load->count; i++) {
        reset_stats(&load->streams[i].stats);
    }
}

const fleet_stats_t *
fleet_load_stats(const fleet_load_t *load, size_t stream)
{
    return &load->streams[stream].stats;
}

static int
compare_replied(const void *one, const void *other)
{
    const fleet_interval_t *a = one;
    const fleet_interval_t *b = other;

    return (a->replied > b->replied) - (a->replied < b->replied);
}

double
fleet_load_over_admission(const fleet_load_t *load, size_t stream)
{
    const stream_t *own = &load->streams[stream];
    const fleet_interval_t *intervals =
        (const fleet_interval_t *)own->intervals->data;
    double rate = (double)own->account->rate / 1000;
    double most = -(double)own->account->burst;

    qsort(own->intervals->data, own->intervals->len, sizeof(fleet_interval_t),
          compare_replied);
    for (size_t i = 0; i < own->intervals->len; i++) {
        double inside = 0;
        for (size_t j = 0; j < own->intervals->len; j++) {
            if (intervals[j].sent >= intervals[i].sent) {
                inside += 1;
                most = fmax(
                    most,
                    inside - rate * (intervals[j].replied - intervals[i].sent)
                        - (double)own->account->burst);
            }
        }
    }
    return most;
}

void
fleet_load_stop(fleet_load_t *load)
{
    double end = fleet_now() + STOP_TIMEOUT_MS;

    load->stopping = true;
    for (size_t i = 0; i < load->count; i++) {
        evtimer_del(load->streams[i].timer);
    }
    while (load->open > 0 && fleet_now() < end) {
        harness_run_loop(load->harness->base, 10);
    }
    ck_assert_msg(load->open == 0, "%d requests did not end", load->open);
}

static void
free_session(gpointer data)
{
    session_t *session = data;

    free(session->token);
    free(session);
}

static void
free_conn(gpointer conn)
{
    evhttp_connection_free(conn);
}

static void
free_endpoints(endpoint_t *endpoints, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        g_queue_free_full(endpoints[i].idle_connections, free_conn);
        g_queue_free(endpoints[i].waiting_requests);
    }
    free(endpoints);
}

void
fleet_load_destroy(fleet_load_t *load)
{
    for (size_t i = 0; i < load->count; i++) {
        stream_t *stream = &load->streams[i];
        event_free(stream->timer);
        g_queue_free_full(stream->idle_sessions, free_session);
        gsl_ran_discrete_free(stream->instance_distribution);
        g_array_free(stream->intervals, TRUE);
        fleet_hist_destroy(stream->stats.read_ms);
        fleet_hist_destroy(stream->stats.write_ms);
        fleet_hist_destroy(stream->stats.after_write_same_ms);
        fleet_hist_destroy(stream->stats.after_write_other_ms);
        g_hash_table_destroy(stream->stats.error_kinds);
    }
    free_endpoints(load->instances, load->harness->instance_count);
    free_endpoints(load->targets, load->harness->target_count);
    gsl_rng_free(load->rng);
    free(load->primaries);
    free(load->terms);
    free(load->streams);
    free(load);
}
