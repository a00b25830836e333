#include "entry/reqid.h"

#include <glib.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "common/list.h"
#include "common/mem.h"

enum {
    /* How long an id is valid and its record is kept. */
    ID_LIFETIME_MS = 120000,
    SWEEP_INTERVAL_MS = 1000,
    RECORDS_MAX = 200000,
    /* Bounds of one stored result and of all. A result beyond them is not
     * stored; a repeated request is only told that it ran. */
    RESULT_MAX_BYTES = 64 << 10,
    RESULTS_MAX_BYTES = 64 << 20,
    RANDOM_BYTES = 12,
};

/** State of the request that an id was used for. */
typedef enum record_state {
    RECORD_RUNNING,
    RECORD_ANSWERED,
} record_state_t;

typedef struct record {
    char *id;
    mr_list_t link; /* in mr_reqid::record_list */
    mr_reqid_t *reqid;
    record_state_t state;
    mr_ms_t expires_at;
    uint64_t fingerprint; /* of the first request with the id */
    mr_list_t waiters;
    mr_msg_execute_reply_t *answer; /* NULL while running */
} record_t;

/** A caller waiting for the end of a running request. */
typedef struct waiter {
    mr_list_t link;
    mr_execute_fn_t fn;
    void *ctx;
    struct event *timer;
} waiter_t;

struct mr_reqid {
    mr_reqid_options_t options;
    GHashTable *records;   /* id -> record_t */
    mr_list_t record_list; /* in order of first use */
    struct event *sweep_timer;
    size_t running;
    size_t result_bytes; /* of all stored results */
    mr_counter_t *repeated;
    mr_counter_t *expired;
};

static mr_ms_t
current_time(const mr_reqid_t *reqid)
{
    return mr_clock_now(reqid->options.clock);
}

/* The fields of an id are separated by newlines, which names cannot contain.
 */
char *
mr_reqid_issue(const mr_reqid_t *reqid, const char *account)
{
    uint8_t random[RANDOM_BYTES];
    char hex[RANDOM_BYTES * 2 + 1];

    randombytes_buf(random, sizeof(random));
    sodium_bin2hex(hex, sizeof(hex), random, sizeof(random));
    char *text = mr_asprintf("%s\n%s\n%lld\n%s\n%lld\n%s", reqid->options.name,
                             reqid->options.address,
                             (long long)reqid->options.incarnation, account,
                             (long long)current_time(reqid), hex);
    char *id = mr_seal_encrypt(reqid->options.seal, text, strlen(text));
    free(text);
    return id;
}

bool
mr_reqid_parse(const mr_reqid_t *reqid, const char *text,
               mr_reqid_parts_t *parts)
{
    size_t len = 0;
    long long incarnation;
    long long issued_at;
    char *plain = (char *)mr_seal_decrypt(reqid->options.seal, text, &len);

    if (plain == NULL) {
        return false;
    }
    int got = sscanf(plain, "%64[^\n]\n%64[^\n]\n%lld\n%64[^\n]\n%lld\n",
                     parts->instance, parts->address, &incarnation,
                     parts->account, &issued_at);
    free(plain);
    if (got != 5) {
        return false;
    }
    parts->incarnation = incarnation;
    parts->issued_at = issued_at;
    return true;
}

bool
mr_reqid_is_own(const mr_reqid_t *reqid, const mr_reqid_parts_t *parts)
{
    return strcmp(parts->instance, reqid->options.name) == 0
           && parts->incarnation == reqid->options.incarnation;
}

static void
reply_error(mr_execute_fn_t fn, void *ctx, mr_error_kind_t error,
            const char *message)
{
    mr_msg_execute_reply_t reply;

    mr_execute_reply_init(&reply, error, message);
    fn(ctx, &reply);
}

static void
free_waiter(waiter_t *waiter)
{
    mr_list_remove(&waiter->link);
    event_free(waiter->timer);
    free(waiter);
}

static void
free_record(record_t *record)
{
    mr_list_t *link;

    while ((link = mr_list_pop(&record->waiters)) != NULL) {
        free_waiter(MR_LIST_ENTRY(link, waiter_t, link));
    }
    mr_list_remove(&record->link);
    if (record->answer != NULL) {
        record->reqid->result_bytes -= record->answer->result.len;
    }
    mr_execute_reply_free(record->answer);
    free(record->id);
    free(record);
}

static void
remove_record(record_t *record)
{
    g_hash_table_remove(record->reqid->records, record->id);
    free_record(record);
}

static void
store_answer(record_t *record, const mr_msg_execute_reply_t *reply)
{
    mr_msg_execute_reply_t stored = *reply;
    size_t *total = &record->reqid->result_bytes;

    if (stored.result.len > RESULT_MAX_BYTES
        || *total + stored.result.len > RESULTS_MAX_BYTES) {
        stored.result = (mr_bytes_t){"null", strlen("null")};
        stored.message = "the request ran; its result was too large to store";
    }
    *total += stored.result.len;
    record->state = RECORD_ANSWERED;
    record->answer = mr_execute_reply_copy(&stored);
}

static void
on_executed(void *ctx, const mr_msg_execute_reply_t *reply)
{
    record_t *record = ctx;
    mr_list_t waiters;
    mr_list_t *link;

    record->reqid->running--;
    mr_list_init(&waiters);
    while ((link = mr_list_pop(&record->waiters)) != NULL) {
        mr_list_append(&waiters, link);
    }
    if (mr_error_outcome((mr_error_kind_t)reply->error)
        == MR_OUTCOME_NOT_RUN) {
        /* The request did not run, so its id may be used again. */
        remove_record(record);
    }
    else {
        store_answer(record, reply);
    }
    while ((link = mr_list_pop(&waiters)) != NULL) {
        waiter_t *waiter = MR_LIST_ENTRY(link, waiter_t, link);
        mr_execute_fn_t fn = waiter->fn;
        void *fn_ctx = waiter->ctx;
        free_waiter(waiter);
        fn(fn_ctx, reply);
    }
}

static void
on_waiter_timeout(evutil_socket_t fd, short what, void *ctx)
{
    waiter_t *waiter = ctx;
    mr_execute_fn_t fn = waiter->fn;
    void *fn_ctx = waiter->ctx;

    (void)fd;
    (void)what;
    free_waiter(waiter);
    reply_error(fn, fn_ctx, MR_ERR_OUTCOME_UNKNOWN,
                "the request is still in progress");
}

static void
add_waiter(record_t *record, mr_ms_t timeout, mr_execute_fn_t fn, void *ctx)
{
    waiter_t *waiter = MR_NEW(waiter_t);
    struct timeval tv = mr_clock_timeval(timeout);

    waiter->fn = fn;
    waiter->ctx = ctx;
    waiter->timer =
        evtimer_new(record->reqid->options.base, on_waiter_timeout, waiter);
    evtimer_add(waiter->timer, &tv);
    mr_list_append(&record->waiters, &waiter->link);
}

/* Identifies the request that an id was used for, so that a different request
 * with the same id does not get its answer. */
static uint64_t
request_fingerprint(const mr_msg_execute_t *msg)
{
    uint64_t group = XXH3_64bits(msg->group, strlen(msg->group));

    return XXH3_64bits_withSeed(msg->statement.data, msg->statement.len,
                                group);
}

static void
start_request(mr_reqid_t *reqid, const mr_msg_execute_t *msg,
              mr_ms_t expires_at, mr_execute_fn_t fn, void *ctx)
{
    record_t *record = MR_NEW(record_t);
    mr_msg_execute_t run = *msg;

    record->reqid = reqid;
    record->id = mr_strdup(msg->request_id);
    record->expires_at = expires_at;
    record->fingerprint = request_fingerprint(msg);
    mr_list_init(&record->waiters);
    mr_list_append(&reqid->record_list, &record->link);
    g_hash_table_insert(reqid->records, record->id, record);
    reqid->running++;
    add_waiter(record, msg->deadline_ms, fn, ctx);
    run.request_id = "";
    reqid->options.run(reqid->options.run_ctx, &run, on_executed, record);
}

void
mr_reqid_execute(mr_reqid_t *reqid, const mr_msg_execute_t *msg,
                 mr_execute_fn_t fn, void *ctx)
{
    mr_reqid_parts_t parts;

    if (!mr_reqid_parse(reqid, msg->request_id, &parts)
        || strcmp(parts.account, msg->account) != 0) {
        reply_error(fn, ctx, MR_ERR_INVALID_REQUEST_ID,
                    "the request id was not issued to this account");
        return;
    }
    /* The records of an earlier incarnation, which may have run the request,
     * are lost. */
    mr_ms_t expires_at = parts.issued_at + ID_LIFETIME_MS;
    if (!mr_reqid_is_own(reqid, &parts) || current_time(reqid) >= expires_at) {
        mr_counter_add(reqid->expired, 1);
        reply_error(fn, ctx, MR_ERR_REQUEST_ID_EXPIRED,
                    "the request id has expired; the request may have run");
        return;
    }
    record_t *record = g_hash_table_lookup(reqid->records, msg->request_id);
    if (record == NULL) {
        if (g_hash_table_size(reqid->records) >= RECORDS_MAX) {
            reply_error(fn, ctx, MR_ERR_OVERLOADED,
                        "too many request ids in use");
            return;
        }
        start_request(reqid, msg, expires_at, fn, ctx);
        return;
    }
    if (record->fingerprint != request_fingerprint(msg)) {
        reply_error(fn, ctx, MR_ERR_INVALID_REQUEST_ID,
                    "the request id was used for another request");
        return;
    }
    mr_counter_add(reqid->repeated, 1);
    switch (record->state) {
    case RECORD_RUNNING:
        add_waiter(record, msg->deadline_ms, fn, ctx);
        break;
    case RECORD_ANSWERED:
        fn(ctx, record->answer);
        break;
    }
}

size_t
mr_reqid_request_count(const mr_reqid_t *reqid)
{
    return reqid->running;
}

/* Removes expired records. Expired ids are refused, so their records are no
 * longer needed. The record of a running request is kept until it ends. */
static void
on_sweep_timer(evutil_socket_t fd, short what, void *ctx)
{
    mr_reqid_t *reqid = ctx;
    struct timeval tv = mr_clock_timeval(SWEEP_INTERVAL_MS);

    (void)fd;
    (void)what;
    MR_LIST_FOREACH(it, &reqid->record_list)
    {
        record_t *record = MR_LIST_ENTRY(it, record_t, link);
        if (record->expires_at <= current_time(reqid)
            && record->state == RECORD_ANSWERED) {
            remove_record(record);
        }
    }
    evtimer_add(reqid->sweep_timer, &tv);
}

mr_reqid_t *
mr_reqid_create(const mr_reqid_options_t *options)
{
    mr_reqid_t *reqid = MR_NEW(mr_reqid_t);
    struct timeval tv = mr_clock_timeval(SWEEP_INTERVAL_MS);

    reqid->options = *options;
    reqid->records = g_hash_table_new(g_str_hash, g_str_equal);
    mr_list_init(&reqid->record_list);
    reqid->repeated = mr_counters_get(
        options->counters, "masticrelay_request_ids_repeated_total", "",
        "requests answered from the record of their id");
    reqid->expired = mr_counters_get(
        options->counters, "masticrelay_request_ids_expired_total", "",
        "requests with an id that is not remembered");
    reqid->sweep_timer = evtimer_new(options->base, on_sweep_timer, reqid);
    evtimer_add(reqid->sweep_timer, &tv);
    return reqid;
}

void
mr_reqid_destroy(mr_reqid_t *reqid)
{
    if (reqid == NULL) {
        return;
    }
    MR_LIST_FOREACH(it, &reqid->record_list)
    {
        free_record(MR_LIST_ENTRY(it, record_t, link));
    }
    g_hash_table_destroy(reqid->records);
    event_free(reqid->sweep_timer);
    free(reqid);
}
