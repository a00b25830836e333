/* CPU time of the work on the path of a request: messages, session tokens, the
 * view of a group, acknowledgement checks and the fair queue. */

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "common_bench.h"
#include "entry/session.h"
#include "group/fair_queue.h"
#include "group/view.h"
#include "member/table.h"
#include "wire/msg.h"

enum {
    ENTRIES_PER_ACCOUNT = 4,
    ENTRIES_MAX = 1000 * ENTRIES_PER_ACCOUNT,
    NAME_BYTES = 32,
};

#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

/* Messages. */

typedef struct msg_bench {
    mr_msg_t msg;
    msgpack_sbuffer encoded;
} msg_bench_t;

static void
encode(void *ctx)
{
    msg_bench_t *run = ctx;

    msgpack_sbuffer_clear(&run->encoded);
    mr_msg_encode(&run->msg, &run->encoded);
}

static void
decode(void *ctx)
{
    msg_bench_t *run = ctx;
    mr_msg_decoded_t decoded;

    if (mr_msg_decode(run->encoded.data, run->encoded.size, &decoded)
        != MR_MSG_VALID) {
        abort();
    }
    mr_msg_release(&decoded);
}

static void
measure_message(const char *name, long size, const mr_msg_t *msg)
{
    msg_bench_t run = {.msg = *msg};
    char text[NAME_BYTES];

    msgpack_sbuffer_init(&run.encoded);
    snprintf(text, sizeof(text), "%s_encode", name);
    bench_run(text, size, encode, &run);
    snprintf(text, sizeof(text), "%s_decode", name);
    bench_run(text, size, decode, &run);
    snprintf(text, sizeof(text), "%s_bytes", name);
    bench_print(text, size, (double)run.encoded.size, "bytes");
    msgpack_sbuffer_destroy(&run.encoded);
}

static void
measure_messages(void)
{
    static const long statements[] = {100, 1000, 10000};
    static const long members[] = {1, 10};
    static char text[10000];
    mr_msg_member_t records[MR_MEMBER_CHANGES_MAX + 2];

    memset(text, 'x', sizeof(text));
    for (size_t i = 0; i < COUNT_OF(statements); i++) {
        mr_msg_t msg = {.type = MR_MSG_EXECUTE, .call = 7};
        msg.u.execute = (mr_msg_execute_t){
            .account = "coop-1",
            .group = "rez-db-0",
            .target = "rez-db-0-a",
            .deadline_ms = 2000,
            .request_id = "",
            .transaction = "",
            .statement = {text, (size_t)statements[i]},
        };
        measure_message("msg_execute", statements[i], &msg);
    }
    for (size_t i = 0; i < COUNT_OF(records); i++) {
        records[i] = (mr_msg_member_t){.name = "konya-1234",
                                       .data_centre = "konya",
                                       .address = "10.1.2.3:7000",
                                       .incarnation = INT64_C(1) << 50};
    }
    for (size_t i = 0; i < COUNT_OF(members); i++) {
        mr_msg_t msg = {.type = MR_MSG_PING, .call = 7};
        msg.u.ping = (mr_msg_ping_t){INT64_C(1) << 50, 1000, records,
                                     (size_t)members[i]};
        measure_message("msg_ping", members[i], &msg);
    }
    mr_msg_t grant = {.type = MR_MSG_GRANT, .call = 7};
    grant.u.grant = (mr_msg_grant_t){.account = "coop-1",
                                     .demand_milli = 1000,
                                     .wanted = 1,
                                     .process = INT64_C(1) << 60,
                                     .held_long = 100,
                                     .held_rate_milli = 1000,
                                     .held_burst_milli = 1000000,
                                     .held_short = 101};
    measure_message("msg_grant", 1, &grant);
}

/* Session tokens. */

typedef struct session_bench {
    mr_seal_t *seal;
    mr_session_t session;
    char *token;
} session_bench_t;

static void
seal_session(void *ctx)
{
    session_bench_t *run = ctx;

    free(mr_session_encode(run->seal, &run->session));
}

static void
open_session(void *ctx)
{
    session_bench_t *run = ctx;
    mr_session_t session;

    if (!mr_session_decode(run->seal, run->token, &session)) {
        abort();
    }
}

static void
measure_sessions(void)
{
    static const long groups[] = {1, 16, MR_SESSION_GROUPS_MAX};
    static const uint8_t secret[MR_SEAL_SECRET_BYTES] = {1, 2, 3};

    for (size_t i = 0; i < COUNT_OF(groups); i++) {
        session_bench_t run = {.seal =
                                   mr_seal_create(secret, MR_SEAL_SESSION)};
        for (long g = 0; g < groups[i]; g++) {
            mr_session_record_write(&run.session,
                                    (uint64_t)g * 0x9e3779b97f4a7c15, 5,
                                    1000000 + g, 1);
        }
        run.token = mr_session_encode(run.seal, &run.session);
        bench_run("session_seal", groups[i], seal_session, &run);
        bench_run("session_open", groups[i], open_session, &run);
        bench_print("session_bytes", groups[i], (double)strlen(run.token),
                    "bytes");
        free(run.token);
        mr_seal_destroy(run.seal);
    }
}

/* The view of a group. */

typedef struct view_bench {
    mr_view_t view;
    mr_ms_t now;
    uint64_t probe_seq;
    long wait_count;
    int64_t position;
} view_bench_t;

/* Records one reply of each target, as happens every 100 ms. */
static void
update_view(void *ctx)
{
    view_bench_t *run = ctx;

    run->now += 100;
    run->position++;
    for (size_t i = 0; i < run->view.count; i++) {
        mr_log_state_t state = {.primary = i == 0,
                                .term = 3,
                                .last_term = 3,
                                .position = run->position};
        mr_view_record_state(&run->view, i, &state, run->now - 2,
                             ++run->probe_seq, run->now);
    }
    if (mr_view_failover_reason(&run->view, run->now) != MR_VIEW_NO_FAILOVER) {
        abort();
    }
}

/* Examines every wait, as the observer does after each reply. */
static void
examine_waits(void *ctx)
{
    view_bench_t *run = ctx;
    long met = 0;

    for (long i = 0; i < run->wait_count; i++) {
        int64_t position = run->position + 1 + i;
        met += mr_view_acknowledged(&run->view, 0, 3, position)
               || mr_view_superseded(&run->view, 3);
    }
    if (met > 0) {
        abort();
    }
}

static void
measure_view(void)
{
    static const long sizes[] = {3, 5, 9};
    static const long waits[] = {1, 10, 100, 1000};
    view_bench_t run = {.now = 1000000};

    for (size_t i = 0; i < COUNT_OF(sizes); i++) {
        mr_view_init(&run.view, (size_t)sizes[i]);
        bench_run("view_update", sizes[i], update_view, &run);
    }
    bench_print("view_bytes", 1, (double)sizeof(mr_view_t), "bytes");
    mr_view_init(&run.view, 3);
    update_view(&run);
    for (size_t i = 0; i < COUNT_OF(waits); i++) {
        run.wait_count = waits[i];
        bench_run("ack_check", waits[i], examine_waits, &run);
    }
}

/* The fair queue. */

typedef struct fair_queue_bench {
    mr_fair_queue_t *queue;
    mr_fair_queue_entry_t *entries;
    char (*names)[NAME_BYTES];
    long accounts;
    long next;
    mr_ms_t now;
} fair_queue_bench_t;

static void
push_entry(fair_queue_bench_t *run, mr_fair_queue_entry_t *entry)
{
    const char *name = run->names[run->next % run->accounts];
    int64_t weight = 1 + run->next % 3;

    run->next++;
    mr_fair_queue_push(run->queue, entry, name, weight, false, ++run->now);
}

/* Pops one entry and pushes it again, so that the queue stays full. */
static void
pop_and_push(void *ctx)
{
    fair_queue_bench_t *run = ctx;

    push_entry(run, mr_fair_queue_pop(run->queue, false));
}

/* With one entry per account, each pop removes an account from the queue and
 * each push adds it again. */
static void
measure_fair_queue(const char *name, long accounts, long per_account)
{
    fair_queue_bench_t run = {.queue = mr_fair_queue_create(1000),
                              .accounts = accounts};

    run.entries =
        mr_calloc((size_t)(accounts * per_account), sizeof(*run.entries));
    run.names = mr_calloc((size_t)accounts, sizeof(*run.names));
    for (long i = 0; i < accounts; i++) {
        snprintf(run.names[i], NAME_BYTES, "account-%ld", i);
    }
    for (long i = 0; i < accounts * per_account; i++) {
        push_entry(&run, &run.entries[i]);
    }
    bench_run(name, accounts, pop_and_push, &run);
    while (mr_fair_queue_pop(run.queue, false) != NULL) {
    }
    mr_fair_queue_destroy(run.queue);
    free(run.entries);
    free(run.names);
}

int
main(void)
{
    static const long accounts[] = {10, 100, 1000};

    if (sodium_init() < 0) {
        return EXIT_FAILURE;
    }
    measure_messages();
    measure_sessions();
    measure_view();
    for (size_t i = 0; i < COUNT_OF(accounts); i++) {
        measure_fair_queue("fair_push_pop", accounts[i], ENTRIES_PER_ACCOUNT);
        measure_fair_queue("fair_push_pop_single", accounts[i], 1);
    }
    return EXIT_SUCCESS;
}
