/* Runs real daemons and a store that serves only some of them. Guards against
 * a withdrawn key being accepted for longer than allowed by instances that the
 * store serves, while those that follow the desired state get no answers, are
 * frozen or are killed (review/9). */

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "harness.h"
#include "member/rendezvous.h"
#include "session_client.h"
#include "world.h"

enum {
    RELAYS = BACKEND_STORES,
    READY_MAX_MS = 8000,
    RATE = 500,
    APPLY_MAX_MS = 3000, /* the daemons' default */
    DRAIN_MS = 7000,     /* how long a draining database accepts statements */
    START_MS = 2500,     /* until the coordinator is chosen */
    /* Before each play. Longer than a call to the store of an instance that
     * followed the desired state before. */
    CALM_MS = 6000,
    PROBE_PERIOD_MS = 20,
    FAULTS_MAX = 6,
};

typedef enum fault_kind {
    FAULT_NONE,
    FAULT_STORE_SILENT,
    FAULT_STORE_FAILING,
    FAULT_STORE_CONNS, /* of all instances fall silent, new ones work */
    FAULT_FREEZE,
    FAULT_KILL,
} fault_kind_t;

typedef struct fault {
    fault_kind_t kind;
    int rank; /* of the instance, 0: the coordinator */
    mr_ms_t at;
} fault_t;

/** A change at @change_at, beside faults. The instance of the
 * last rank has none. */
typedef struct play {
    const char *name;
    mr_ms_t change_at;
    fault_t faults[FAULTS_MAX];
} play_t;

static struct event_base *base;
static backend_t *backend;
static relay_process_t relays[RELAYS];
static int by_rank[RELAYS]; /* index of the instance of each rank */
static int64_t version;

static void
rank_relays(void)
{
    for (int i = 0; i < RELAYS; i++) {
        uint64_t score = mr_rendezvous_score("coordinator", relays[i].name);
        int rank = 0;
        for (int j = 0; j < RELAYS; j++) {
            rank += mr_rendezvous_score("coordinator", relays[j].name) > score;
        }
        by_rank[rank] = i;
    }
}

static void
set_up(void)
{
    static const char *const keys[] = {"coop:key-1", NULL};

    signal(SIGPIPE, SIG_IGN);
    version = 5;
    base = event_base_new();
    backend = backend_create(base);
    backend_put_config(backend, version, keys, RATE);
    for (int i = 0; i < RELAYS; i++) {
        relay_start(&relays[i], backend, i);
    }
    rank_relays();
    for (int i = 0; i < RELAYS; i++) {
        ck_assert(relay_wait_ready(&relays[i], base, READY_MAX_MS));
    }
    harness_run_loop(base, START_MS);
}

static void
tear_down(void)
{
    for (int i = 0; i < RELAYS; i++) {
        relay_kill(&relays[i]);
    }
    backend_destroy(backend);
    event_base_free(base);
}

static void
begin_fault(const fault_t *fault)
{
    int index = by_rank[fault->rank];

    switch (fault->kind) {
    case FAULT_NONE:
        break;
    case FAULT_STORE_SILENT:
        backend_set_store_silent(backend, index, true);
        break;
    case FAULT_STORE_FAILING:
        backend_set_store_failing(backend, index, true);
        break;
    case FAULT_STORE_CONNS:
        backend_silence_store_conns(backend);
        break;
    case FAULT_FREEZE:
        relay_signal(&relays[index], SIGSTOP);
        break;
    case FAULT_KILL:
        relay_kill(&relays[index]);
        break;
    }
}

static void
end_faults(const play_t *play)
{
    for (int i = 0; i < FAULTS_MAX; i++) {
        int index = by_rank[play->faults[i].rank];
        if (play->faults[i].kind == FAULT_FREEZE) {
            relay_signal(&relays[index], SIGCONT);
        }
    }
    for (int i = 0; i < RELAYS; i++) {
        backend_set_store_silent(backend, i, false);
        backend_set_store_failing(backend, i, false);
        if (relays[i].pid == 0) {
            relay_restart(&relays[i], backend);
        }
    }
    for (int i = 0; i < RELAYS; i++) {
        ck_assert(relay_wait_ready(&relays[i], base, READY_MAX_MS));
    }
}

/* Waits until the coordinator has just read the registrations. Its next
 * reading, which would show that the store fails it, is then a second away. */
static void
wait_for_reading(void)
{
    mr_ms_t end = mr_clock_now(NULL) + READY_MAX_MS;
    mr_ms_t before = backend_dbs_read_at(backend, by_rank[0]);

    while (backend_dbs_read_at(backend, by_rank[0]) == before) {
        ck_assert_int_lt(mr_clock_now(NULL), end);
        harness_run_loop(base, 1);
    }
    harness_run_loop(base, 5); /* until it has the answer */
}

static bool
is_accepted(int index, const char *key)
{
    char code[ANSWER_BYTES] = "";
    client_t *client = client_open(base, &relays[index], "own", key, code);

    if (client == NULL) {
        ck_assert_msg(strncmp(code, "NOAUTH", 6) == 0, "refused: %s", code);
        return false;
    }
    client_close(client);
    return true;
}

/* Begins the faults that are due and have not begun. */
static void
begin_faults(const play_t *play, bool *begun, mr_ms_t elapsed)
{
    for (int i = 0; i < FAULTS_MAX; i++) {
        if (!begun[i] && elapsed >= play->faults[i].at) {
            begun[i] = true;
            begin_fault(&play->faults[i]);
        }
    }
}

/* Returns the time from the withdrawal to the last acceptance of the key by
 * the instance without a fault. */
static mr_ms_t
play_withdrawal(const play_t *play)
{
    enum { LAST_MS = 2 * APPLY_MAX_MS };
    char key[BACKEND_TEXT_BYTES];
    char account_key[2 * BACKEND_TEXT_BYTES];
    const char *const with[] = {"coop:key-1", account_key, NULL};
    const char *const without[] = {"coop:key-1", NULL};
    bool begun[FAULTS_MAX] = {false};
    int steady = by_rank[RELAYS - 1];
    mr_ms_t withdrawn_at = 0;
    mr_ms_t accepted_at = 0;

    snprintf(key, sizeof(key), "key-of-%lld", (long long)version);
    snprintf(account_key, sizeof(account_key), "agent:%s", key);
    backend_put_config(backend, ++version, with, RATE);
    mr_ms_t end = mr_clock_now(NULL) + READY_MAX_MS;
    while (!is_accepted(steady, key)) {
        ck_assert_int_lt(mr_clock_now(NULL), end);
        harness_run_loop(base, PROBE_PERIOD_MS);
    }
    harness_run_loop(base, CALM_MS);
    wait_for_reading();
    mr_ms_t start = mr_clock_now(NULL);
    for (;;) {
        mr_ms_t elapsed = mr_clock_now(NULL) - start;
        begin_faults(play, begun, elapsed);
        if (withdrawn_at == 0 && elapsed >= play->change_at) {
            backend_put_config(backend, ++version, without, RATE);
            withdrawn_at = mr_clock_now(NULL);
        }
        mr_ms_t sent_at = mr_clock_now(NULL);
        if (is_accepted(steady, key)) {
            accepted_at = sent_at;
        }
        else {
            ck_assert_int_ne(withdrawn_at, 0);
            break;
        }
        if (withdrawn_at != 0 && sent_at - withdrawn_at > LAST_MS) {
            break;
        }
        harness_run_loop(base, PROBE_PERIOD_MS);
    }
    end_faults(play);
    return accepted_at > withdrawn_at ? accepted_at - withdrawn_at : 0;
}

static void
check_plays(const play_t *plays, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        mr_ms_t accepted = play_withdrawal(&plays[i]);
        printf("%s: accepted for %lld ms\n", plays[i].name,
               (long long)accepted);
        fflush(stdout);
        ck_assert_msg(accepted <= APPLY_MAX_MS,
                      "%s: a withdrawn key was accepted for %lld ms",
                      plays[i].name, (long long)accepted);
    }
}

#define CHECK_PLAYS(plays) check_plays(plays, sizeof(plays) / sizeof(*(plays)))

/* Guards against calls of all instances to the store while the coordinator
 * follows it. */
START_TEST(test_one_instance_reads_the_store_on_a_calm_day)
{
    enum { CALLS_MAX = CALM_MS * 4 / 1000 }; /* 2 for changes, 1 to 2 others */

    harness_run_loop(base, CALM_MS);
    int before = backend_count_store_reads(backend);
    harness_run_loop(base, CALM_MS);
    int calls = backend_count_store_reads(backend) - before;
    ck_assert_msg(calls <= CALLS_MAX, "%d calls in %d ms", calls, CALM_MS);
    for (int i = 0; i < RELAYS; i++) {
        int64_t age = relay_metric(&relays[i], base,
                                   "masticrelay_desired_state_unconfirmed_ms");
        ck_assert_int_ge(age, 0);
        ck_assert_int_le(age, APPLY_MAX_MS / 3);
    }
}
END_TEST

/* Guards against instances that rely on followers which the store does not
 * answer. */
START_TEST(test_silence_of_all_followers_does_not_delay_a_withdrawal)
{
    static const play_t plays[] = {
        {"the change during the silence",
         20,
         {{FAULT_STORE_SILENT, 0, 0},
          {FAULT_STORE_SILENT, 1, 0},
          {FAULT_STORE_SILENT, 2, 0}}},
        {"the change long after its begin",
         2500,
         {{FAULT_STORE_SILENT, 0, 0},
          {FAULT_STORE_SILENT, 1, 0},
          {FAULT_STORE_SILENT, 2, 0}}},
        {"one follower after the other, the coordinator last",
         900,
         {{FAULT_STORE_SILENT, 1, 0},
          {FAULT_STORE_SILENT, 2, 400},
          {FAULT_STORE_SILENT, 0, 880}}},
        {"one follower after the other, the coordinator first",
         900,
         {{FAULT_STORE_SILENT, 0, 0},
          {FAULT_STORE_SILENT, 2, 400},
          {FAULT_STORE_SILENT, 1, 880}}},
        {"refusals and silence",
         500,
         {{FAULT_STORE_FAILING, 0, 0},
          {FAULT_STORE_SILENT, 1, 0},
          {FAULT_STORE_SILENT, 2, 480}}},
    };

    CHECK_PLAYS(plays);
}
END_TEST

/* The same with followers that end or stop while the others get no answers. */
START_TEST(test_ends_of_followers_do_not_delay_a_withdrawal)
{
    static const play_t plays[] = {
        {"a frozen coordinator, silence for its followers",
         20,
         {{FAULT_FREEZE, 0, 0},
          {FAULT_STORE_SILENT, 1, 0},
          {FAULT_STORE_SILENT, 2, 0}}},
        {"a coordinator frozen during the silence",
         300,
         {{FAULT_STORE_SILENT, 0, 0},
          {FAULT_STORE_SILENT, 1, 0},
          {FAULT_STORE_SILENT, 2, 0},
          {FAULT_FREEZE, 0, 1000}}},
        {"killed as it has read the change",
         0,
         {{FAULT_STORE_SILENT, 1, 0},
          {FAULT_STORE_SILENT, 2, 0},
          {FAULT_KILL, 0, 30}}},
        {"one coordinator killed after the other",
         900,
         {{FAULT_STORE_SILENT, 1, 0},
          {FAULT_STORE_SILENT, 2, 0},
          {FAULT_KILL, 0, 880},
          {FAULT_KILL, 1, 2200}}},
        {"all followers frozen",
         20,
         {{FAULT_FREEZE, 0, 0}, {FAULT_FREEZE, 1, 0}, {FAULT_FREEZE, 2, 0}}},
    };

    CHECK_PLAYS(plays);
}
END_TEST

/* Guards against a dropped route or a withdrawn key in use because open
 * connections to the store do not tell that they are dead. */
START_TEST(test_silent_connections_do_not_delay_a_withdrawal)
{
    static const play_t plays[] = {
        {"the change as they fall silent", 0, {{FAULT_STORE_CONNS, 0, 0}}},
        {"the change while calls wait for their time limit",
         600,
         {{FAULT_STORE_CONNS, 0, 0}}},
        {"silent again",
         20,
         {{FAULT_STORE_CONNS, 0, 0}, {FAULT_STORE_CONNS, 0, 1700}}},
        {"silent connections, and silence for the followers",
         20,
         {{FAULT_STORE_CONNS, 0, 0},
          {FAULT_STORE_SILENT, 0, 0},
          {FAULT_STORE_SILENT, 1, 0},
          {FAULT_STORE_SILENT, 2, 0}}},
    };

    CHECK_PLAYS(plays);
}
END_TEST

/* Returns the time from the registration of a replica as draining to the last
 * statement that the instance without a fault had it run. */
static mr_ms_t
play_drain(const play_t *play)
{
    bool begun[FAULTS_MAX] = {false};
    int steady = by_rank[RELAYS - 1];
    int drained = (backend_primary(backend) + 1) % BACKEND_DBS;
    client_t *reader =
        client_open(base, &relays[steady], "bounded", "key-1", NULL);
    mr_ms_t drained_at = 0;
    mr_ms_t used_at = 0;
    int uses_before = 0;

    ck_assert_ptr_nonnull(reader);
    harness_run_loop(base, CALM_MS);
    wait_for_reading();
    mr_ms_t start = mr_clock_now(NULL);
    while (drained_at == 0
           || mr_clock_now(NULL) < drained_at + DRAIN_MS + 1000) {
        char id[BACKEND_TEXT_BYTES];
        mr_ms_t elapsed = mr_clock_now(NULL) - start;
        begin_faults(play, begun, elapsed);
        if (drained_at == 0 && elapsed >= play->change_at) {
            backend_db_drain(backend, drained);
            drained_at = mr_clock_now(NULL);
        }
        mr_ms_t sent_at = mr_clock_now(NULL);
        client_run(reader, "READ a", id);
        const backend_run_t *run = backend_find_run(backend, id);
        if (run != NULL && run->db == drained) {
            used_at = sent_at;
            uses_before += drained_at == 0;
        }
        harness_run_loop(base, PROBE_PERIOD_MS);
    }
    ck_assert_int_gt(uses_before, 0);
    client_close(reader);
    end_faults(play);
    return used_at > drained_at ? used_at - drained_at : 0;
}

/* Guards against a draining database in use for too long, while the store does
 * not answer the instances that read the registrations. */
START_TEST(test_silence_does_not_keep_a_draining_database_in_use)
{
    static const play_t plays[] = {
        {"silence for all others",
         400,
         {{FAULT_STORE_SILENT, 0, 380},
          {FAULT_STORE_SILENT, 1, 380},
          {FAULT_STORE_SILENT, 2, 380}}},
        {"the coordinator frozen before it can tell",
         400,
         {{FAULT_STORE_SILENT, 0, 380},
          {FAULT_STORE_SILENT, 1, 380},
          {FAULT_STORE_SILENT, 2, 380},
          {FAULT_FREEZE, 0, 3700}}},
        {"the coordinator killed before it can tell",
         400,
         {{FAULT_STORE_SILENT, 0, 380},
          {FAULT_STORE_SILENT, 1, 380},
          {FAULT_STORE_SILENT, 2, 380},
          {FAULT_KILL, 0, 3700}}},
        {"silent connections, and silence for all others",
         400,
         {{FAULT_STORE_CONNS, 0, 380},
          {FAULT_STORE_SILENT, 0, 380},
          {FAULT_STORE_SILENT, 1, 380},
          {FAULT_STORE_SILENT, 2, 380}}},
    };

    for (size_t i = 0; i < sizeof(plays) / sizeof(*plays); i++) {
        if (i > 0) {
            tear_down();
            set_up(); /* with a replica that does not drain */
        }
        mr_ms_t used = play_drain(&plays[i]);
        printf("%s: used for %lld ms\n", plays[i].name, (long long)used);
        fflush(stdout);
        ck_assert_msg(used <= DRAIN_MS,
                      "%s: a draining database was used for %lld ms",
                      plays[i].name, (long long)used);
    }
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_one_instance_reads_the_store_on_a_calm_day,
        test_silence_of_all_followers_does_not_delay_a_withdrawal,
        test_ends_of_followers_do_not_delay_a_withdrawal,
        test_silent_connections_do_not_delay_a_withdrawal,
        test_silence_does_not_keep_a_draining_database_in_use,
    };

    return RUN_TESTS(tests, .suite = "session_config", .timeout_s = 150,
                     .setup = set_up, .teardown = tear_down);
}
