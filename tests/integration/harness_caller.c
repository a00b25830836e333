#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "harness.h"

enum {
    TIMEOUT_S = 3, /* exceeds every deadline: a timeout is a missing answer */
    STOP_TIMEOUT_MS = 5000,
};

/** A caller with one session and at most one request in progress. */
typedef struct session {
    harness_caller_group_t *group;
    int index;
    const harness_account_t *account;
    char *token;
    struct evhttp_connection **conns; /* indexed by instance */
    size_t instance;                  /* of the request in progress */
    int64_t request;                  /* 0: none in progress */
    struct event *timer;
} session_t;

struct harness_caller_group {
    harness_t *harness;
    harness_load_t load;
    harness_counts_t counts;
    session_t *sessions;
    GRand *random;
    bool stopping;
    int in_progress; /* requests */
};

static void send_next(session_t *session);

static void
count_answer(harness_caller_group_t *group, const char *outcome,
             const char *kind, const char *role)
{
    harness_counts_t *counts = &group->counts;
    mr_ms_t now = mr_clock_now(NULL);

    if (strcmp(outcome, "ran") == 0) {
        mr_ms_t gap = counts->last_ran == 0 ? 0 : now - counts->last_ran;
        counts->ran++;
        counts->from_replicas += strcmp(role, "replica") == 0 ? 1 : 0;
        counts->longest_gap =
            gap > counts->longest_gap ? gap : counts->longest_gap;
        counts->last_ran = now;
    }
    else if (strcmp(outcome, "not_run") == 0) {
        counts->not_run++;
        counts->rate_limited += strcmp(kind, "rate_limited") == 0 ? 1 : 0;
    }
    else {
        counts->unknown++;
    }
}

static void
handle_answer(session_t *session, int status, const json_t *answer)
{
    harness_caller_group_t *group = session->group;
    const json_t *error = json_object_get(answer, "error");
    const char *kind = harness_json_text(error, "kind", "connection");
    const char *outcome = harness_json_text(error, "outcome", "unknown");
    const char *token = harness_json_text(answer, "session", NULL);
    const char *role = harness_json_text(answer, "role", "");
    json_t *result = json_object_get(answer, "result");

    if (status == 200) {
        kind = "ok";
        outcome = harness_json_text(answer, "outcome", "unknown");
    }
    if (token != NULL) {
        free(session->token);
        session->token = mr_strdup(token);
    }
    count_answer(group, outcome, kind, role);
    harness_trace(group->harness, "answer",
                  json_pack("{s:I,s:i,s:s,s:s,s:s,s:s,s:O*}", "id",
                            (json_int_t)session->request, "status", status,
                            "outcome", outcome, "kind", kind, "served_by",
                            harness_json_text(answer, "served_by", ""), "role",
                            role, "result", result));
}

static void
on_pause_timer(evutil_socket_t fd, short what, void *ctx)
{
    (void)fd;
    (void)what;
    send_next(ctx);
}

static void
on_reply(struct evhttp_request *req, void *ctx)
{
    session_t *session = ctx;
    harness_caller_group_t *group = session->group;
    json_t *answer;
    int status = harness_read_reply(req, &answer);
    struct timeval pause = mr_clock_timeval(group->load.pause);

    handle_answer(session, status, answer);
    json_decref(answer);
    session->request = 0;
    group->in_progress--;
    if (!group->stopping) {
        evtimer_add(session->timer, &pause);
    }
}

/* Writes store the value KEY/REQUEST, so that the trace shows which write a
 * read returned. */
static json_t *
build_body(session_t *session, bool write, bool append, const char *key)
{
    const harness_load_t *load = &session->group->load;
    json_t *statement =
        json_pack("{s:s,s:s}", "op",
                  append ? "append" : (write ? "put" : "get"), "key", key);

    if (write) {
        json_object_set_new(
            statement, "value",
            json_sprintf("%s/%lld", key, (long long)session->request));
    }
    json_t *body =
        json_pack("{s:s,s:s,s:o,s:b}", "access", write ? "write" : "read",
                  "shard", key, "statement", statement, "idempotent", !append);
    if (session->token != NULL) {
        json_object_set_new(body, "session", json_string(session->token));
    }
    if (load->deadline > 0) {
        json_object_set_new(body, "deadline_ms", json_integer(load->deadline));
    }
    return body;
}

static void
post_request(session_t *session, const json_t *body)
{
    harness_t *h = session->group->harness;
    const char *address = h->instances[session->instance].process.address;
    struct evhttp_connection **conn = &session->conns[session->instance];
    char *text = json_dumps(body, JSON_COMPACT);

    if (*conn == NULL) {
        *conn = harness_connect(h->base, address, TIMEOUT_S);
    }
    ck_assert(harness_send(*conn, evhttp_request_new(on_reply, session),
                           EVHTTP_REQ_POST, "/v1/routes/data/statements",
                           session->account->key, text));
    free(text);
}

static uint32_t
random_below(GRand *random, uint32_t below)
{
    return (uint32_t)g_rand_int_range(random, 0, (gint32)below);
}

/* Selects a random instance like the platform's load balancer, which skips
 * instances that are not running or are stopping. */
static size_t
choose_instance(const harness_t *h, const char *data_centre, GRand *random)
{
    size_t chosen = 0;
    uint32_t seen = 0;

    for (size_t i = 0; i < h->instance_count; i++) {
        const harness_instance_t *instance = &h->instances[i];
        if (instance->process.pid != 0 && !instance->process.stopping
            && !instance->process.restarting
            && (data_centre == NULL
                || strcmp(instance->data_centre, data_centre) == 0)
            && random_below(random, ++seen) == 0) {
            chosen = i;
        }
    }
    return chosen;
}

static void
send_next(session_t *session)
{
    harness_caller_group_t *group = session->group;
    harness_t *h = group->harness;
    const harness_load_t *load = &group->load;
    bool write = (int)random_below(group->random, 100) < load->write_percent;
    bool append =
        write && (int)random_below(group->random, 100) < load->append_percent;
    char key[HARNESS_NAME_BYTES];

    /* "append" and "put" use different keys. */
    snprintf(key, sizeof(key), "%c%d-%u", append ? 'a' : 'k', session->index,
             random_below(group->random, (uint32_t)load->keys));
    session->instance = choose_instance(h, load->data_centre, group->random);
    session->request = ++h->next_request;
    group->in_progress++;
    group->counts.sent++;
    json_t *body = build_body(session, write, append, key);
    harness_trace(h, "request",
                  json_pack("{s:I,s:i,s:s,s:s,s:s,s:s,s:O,s:b}", "id",
                            (json_int_t)session->request, "caller",
                            session->index, "account", session->account->name,
                            "key", session->account->key_id, "instance",
                            h->instances[session->instance].process.name,
                            "access", write ? "write" : "read", "statement",
                            json_object_get(body, "statement"), "idempotent",
                            !append));
    post_request(session, body);
    json_decref(body);
}

harness_caller_group_t *
harness_callers_start(harness_t *h, const harness_load_t *load)
{
    static int sessions_started;
    harness_caller_group_t *group = MR_NEW(harness_caller_group_t);

    group->harness = h;
    group->load = *load;
    group->random = g_rand_new_with_seed(load->seed);
    group->sessions = mr_calloc((size_t)load->callers, sizeof(session_t));
    for (int i = 0; i < load->callers; i++) {
        session_t *session = &group->sessions[i];
        int account =
            load->account >= 0 ? load->account : i % h->options.accounts;
        session->group = group;
        session->index = sessions_started++;
        session->account = &h->accounts[account];
        session->conns = mr_calloc(h->instance_count, sizeof(void *));
        session->timer = evtimer_new(h->base, on_pause_timer, session);
        struct timeval initial_delay = mr_clock_timeval(
            random_below(group->random, (uint32_t)load->pause + 1));
        evtimer_add(session->timer, &initial_delay);
    }
    return group;
}

harness_counts_t
harness_callers_counts(const harness_caller_group_t *group)
{
    return group->counts;
}

void
harness_print_counts(const harness_counts_t *c)
{
    printf("sent %ld ran %ld not_run %ld (limited %ld) unknown %ld replicas "
           "%ld gap %ld ms\n",
           (long)c->sent, (long)c->ran, (long)c->not_run,
           (long)c->rate_limited, (long)c->unknown, (long)c->from_replicas,
           (long)c->longest_gap);
}

harness_counts_t
harness_callers_stop(harness_caller_group_t *group)
{
    harness_counts_t counts;
    mr_ms_t end = mr_clock_now(NULL) + STOP_TIMEOUT_MS;

    group->stopping = true;
    for (int i = 0; i < group->load.callers; i++) {
        evtimer_del(group->sessions[i].timer);
    }
    while (group->in_progress > 0 && mr_clock_now(NULL) < end) {
        harness_run_loop(group->harness->base, 10);
    }
    ck_assert_msg(group->in_progress == 0, "%d requests did not complete",
                  group->in_progress);
    for (int i = 0; i < group->load.callers; i++) {
        session_t *session = &group->sessions[i];
        for (size_t j = 0; j < group->harness->instance_count; j++) {
            if (session->conns[j] != NULL) {
                evhttp_connection_free(session->conns[j]);
            }
        }
        event_free(session->timer);
        free(session->conns);
        free(session->token);
    }
    counts = group->counts;
    g_rand_free(group->random);
    free(group->sessions);
    free(group);
    return counts;
}
