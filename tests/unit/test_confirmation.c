/* Guards against instances that use a replaced desired state for too long
 * because they took the silence of those that read the store for the absence
 * of changes (review/9). A model plays changes beside instances that the store
 * does not answer, that are cut off, freeze or end, in random orders.
 * MASTICRELAY_RUNS sets the number of orders that are tried. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../common/runner.h"
#include "session/confirmation.h"

enum {
    APPLY_MAX_MS = 3000,
    INSTANCES = 9,
    DEPUTIES = 4,        /* of them, including the coordinator */
    FIRST_RANK_CALM = 6, /* instances from this rank on have no faults */
    RUN_MS = 25000,
    RUNS = 150,
    FETCH_ONE_IN = 6, /* messages that announce newer contents */
    REPORT_PERIOD_MS = 250,
    REPORT_TIMEOUT_MS = 350,
    FAILURES_MAX = 2,
    RETRY_PREFERRED_MS = 1500,
    ISOLATED_AFTER_MS = 700,
    CALL_TIMEOUT_MS = 1000,
    RETRY_FIRST_MS = 200,
    RETRY_MAX_MS = 1600,
    HELD_UP_MAX_MS = 3000, /* of messages and answers under a fault */
    START_MS = 3000,       /* without changes and faults */
    MESSAGES_MAX = 512,
};

/* Parts of the rules that are left out to show that the model needs them. */
typedef enum mutation {
    MUTATION_NONE,
    MUTATION_LISTENERS_NEVER_ASK,
    MUTATION_ONLY_FEEDS_ARE_READ,
    MUTATION_FETCHES_ARE_TRUSTED,
} mutation_t;

typedef enum fault {
    FAULT_NONE,
    FAULT_STORE_SILENT,
    FAULT_HELD_UP, /* everything that it sends and receives */
    FAULT_FROZEN,
    FAULT_ENDED,
    FAULT_COUNT,
} fault_t;

/** A report, a reply, or an answer of the store. */
typedef struct message {
    enum { REPORT, REPLY, ANSWER } kind;
    mr_ms_t arrives_at; /* 0: free entry */
    int from;
    int to;
    int process; /* of the receiver, for replies and answers */
    mr_ms_t asked_at;
    mr_ms_t support; /* of a report: time of the last reply from @to */
    int64_t held;
    mr_confirmation_t confirmation; /* @at is an age in reports and replies */
    mr_ms_t wait;                   /* of a call to the store */
    mr_revision_t after;            /* version 0: reads the row */
    bool produced; /* the store has answered; until then it waits */
    bool changed;
} message_t;

typedef struct instance {
    fault_t fault;
    mr_ms_t fault_until;
    int process; /* number of its process */
    int64_t held;
    mr_confirmation_t confirmation;
    mr_ms_t next_report_at;
    mr_ms_t reported_at; /* 0: no report is outstanding */
    mr_ms_t answered_at; /* last reply of its coordinator */
    int coordinator;
    int failures[INSTANCES];
    mr_ms_t failed_at[INSTANCES];
    mr_ms_t replied_at[INSTANCES]; /* time of the last reply of each */
    mr_ms_t call_ends_at;          /* of the outstanding call; 0: none */
    mr_ms_t next_call_at;
    mr_ms_t retry;
} instance_t;

static instance_t instances[INSTANCES];
static message_t messages[MESSAGES_MAX];
static int64_t config_version;
static mr_ms_t changed_at; /* of the newest desired state */
static mr_ms_t now;
static unsigned seed;
static mutation_t mutation;

static int
draw(int count)
{
    return rand_r(&seed) % count;
}

static bool
runs(int i)
{
    return instances[i].fault != FAULT_FROZEN
           && instances[i].fault != FAULT_ENDED;
}

static mr_ms_t
delay_of(int a, int b)
{
    bool held = instances[a].fault == FAULT_HELD_UP
                || (b >= 0 && instances[b].fault == FAULT_HELD_UP);

    return 1 + draw(20) + (held ? draw(HELD_UP_MAX_MS) : 0);
}

static message_t *
add_message(const message_t *message)
{
    for (int i = 0; i < MESSAGES_MAX; i++) {
        if (messages[i].arrives_at == 0) {
            messages[i] = *message;
            return &messages[i];
        }
    }
    ck_abort_msg("too many messages");
    return NULL;
}

static mr_confirmation_t
with_age(const mr_confirmation_t *confirmation)
{
    mr_confirmation_t aged = *confirmation;

    aged.at = confirmation->at != 0 ? now - confirmation->at : -1;
    return aged;
}

static void
import(instance_t *instance, const message_t *message, mr_ms_t sent_at)
{
    mr_confirmation_t heard = message->confirmation;

    /* Large contents are announced only, and may not be fetched at once. */
    if (message->held > instance->held && draw(FETCH_ONE_IN) == 0) {
        instance->held = message->held;
    }
    if (heard.at >= 0 && sent_at > 0) {
        heard.at = sent_at - heard.at;
        mr_confirmation_update(&instance->confirmation, &heard);
    }
    mr_confirmation_set_held(&instance->confirmation, instance->held);
}

static int
choose_coordinator(const instance_t *instance, int own)
{
    for (int i = 0; i < own; i++) {
        if (instance->failures[i] < FAILURES_MAX) {
            return i;
        }
    }
    return own;
}

static void
send_report(int from, int to)
{
    instance_t *instance = &instances[from];

    add_message(&(message_t){
        .kind = REPORT,
        .arrives_at = now + delay_of(from, to),
        .from = from,
        .to = to,
        .process = instance->process,
        .asked_at = now,
        .support = instance->replied_at[to],
        .held = instance->held,
        .confirmation = with_age(&instance->confirmation),
    });
}

static void
on_message(const message_t *message)
{
    instance_t *instance = &instances[message->to];

    switch (message->kind) {
    case REPORT:
        import(instance, message, message->support);
        add_message(&(message_t){
            .kind = REPLY,
            .arrives_at = now + delay_of(message->to, message->from),
            .from = message->to,
            .to = message->from,
            .process = message->process,
            .asked_at = message->asked_at,
            .support = now,
            .held = instance->held,
            .confirmation = with_age(&instance->confirmation),
        });
        return;
    case REPLY:
        if (message->process != instance->process
            || now - message->asked_at > REPORT_TIMEOUT_MS) {
            return;
        }
        instance->failures[message->from] = 0;
        instance->replied_at[message->from] = message->support;
        import(instance, message, message->asked_at);
        if (message->from == instance->coordinator) {
            instance->reported_at = 0;
            instance->answered_at = now;
        }
        return;
    case ANSWER:
        if (message->process != instance->process
            || instance->call_ends_at == 0) {
            return;
        }
        if (message->held > instance->held) {
            instance->held = message->held;
        }
        mr_confirmation_t own = message->confirmation;
        own.config_version = instance->held;
        own.at = mr_confirmation_of_answer(message->asked_at, message->wait,
                                           message->changed, now);
        mr_confirmation_update(&instance->confirmation, &own);
        mr_confirmation_set_held(&instance->confirmation, instance->held);
        instance->call_ends_at = 0;
        instance->retry = 0;
        instance->next_call_at =
            now
            + (message->after.version == 0 || message->wait == 0
                   ? RETRY_FIRST_MS
                   : 0);
        return;
    }
}

/* Lets the store answer a call that has reached it, once it has a change or
 * the wait is over. */
static void
produce_answer(message_t *message)
{
    bool changed = changed_at > message->after.version;

    if (message->produced
        || (!changed && now < message->arrives_at + message->wait)) {
        return;
    }
    if (instances[message->to].fault == FAULT_STORE_SILENT) {
        message->arrives_at = 0;
        return;
    }
    message->produced = true;
    message->changed = changed;
    message->held = changed ? config_version : 0;
    message->confirmation = (mr_confirmation_t){.revision = {0, now}};
    message->arrives_at = now + delay_of(message->to, -1);
}

static void
deliver_messages(void)
{
    for (int i = 0; i < MESSAGES_MAX; i++) {
        message_t *message = &messages[i];
        if (message->arrives_at == 0 || message->arrives_at > now) {
            continue;
        }
        if (message->kind == ANSWER && !message->produced) {
            produce_answer(message);
            continue;
        }
        if (instances[message->to].fault == FAULT_FROZEN) {
            continue;
        }
        message_t arrived = *message;
        message->arrives_at = 0;
        if (instances[message->to].fault != FAULT_ENDED) {
            on_message(&arrived);
        }
    }
}

static void
run_reports(int own)
{
    instance_t *instance = &instances[own];
    int coordinator = instance->coordinator;

    if (instance->reported_at != 0
        && now - instance->reported_at > REPORT_TIMEOUT_MS) {
        instance->reported_at = 0;
        instance->failures[coordinator]++;
        instance->failed_at[coordinator] = now;
        instance->next_report_at = now;
    }
    if (now < instance->next_report_at || instance->reported_at != 0) {
        return;
    }
    instance->next_report_at = now + REPORT_PERIOD_MS;
    instance->coordinator = choose_coordinator(instance, own);
    for (int i = 0; i < own; i++) {
        if (instance->failures[i] >= FAILURES_MAX
            && now - instance->failed_at[i] >= RETRY_PREFERRED_MS) {
            instance->failed_at[i] = now;
            send_report(own, i);
        }
    }
    if (instance->coordinator != own) {
        instance->reported_at = now;
        send_report(own, instance->coordinator);
    }
}

static mr_config_reader_t
reader_of(int own)
{
    const instance_t *instance = &instances[own];
    int rank = 0;

    if (instance->coordinator == own
        || now - instance->answered_at > ISOLATED_AFTER_MS) {
        return MR_CONFIG_FOLLOWER;
    }
    for (int i = 0; i < own; i++) {
        rank += instance->failures[i] < FAILURES_MAX;
    }
    return rank < DEPUTIES ? MR_CONFIG_DEPUTY : MR_CONFIG_LISTENER;
}

static void
run_calls(int own)
{
    instance_t *instance = &instances[own];
    mr_config_reader_t reader = reader_of(own);
    mr_confirmation_t known = instance->confirmation;

    if (instance->call_ends_at != 0 && now >= instance->call_ends_at) {
        instance->call_ends_at = 0;
        instance->retry =
            instance->retry == 0 ? RETRY_FIRST_MS : instance->retry * 2;
        if (instance->retry > RETRY_MAX_MS) {
            instance->retry = RETRY_MAX_MS;
        }
        instance->next_call_at = now + instance->retry;
    }
    if (mutation == MUTATION_FETCHES_ARE_TRUSTED) {
        known.held_at = known.at;
    }
    if (instance->call_ends_at != 0 || now < instance->next_call_at
        || mr_confirmation_due(&known, reader, APPLY_MAX_MS, now) > 0
        || (mutation == MUTATION_LISTENERS_NEVER_ASK
            && reader == MR_CONFIG_LISTENER)) {
        return;
    }
    bool lacks = mutation != MUTATION_ONLY_FEEDS_ARE_READ
                 && instance->held < instance->confirmation.config_version;
    message_t call = {
        .kind = ANSWER,
        .arrives_at = now + delay_of(own, -1),
        .to = own,
        .process = instance->process,
        .asked_at = now,
        .after = lacks ? (mr_revision_t){0} : instance->confirmation.revision,
    };
    if (reader == MR_CONFIG_FOLLOWER && call.after.version != 0) {
        call.wait = mr_confirmation_wait(APPLY_MAX_MS);
    }
    instance->call_ends_at = now + call.wait + CALL_TIMEOUT_MS;
    add_message(&call);
}

static void
run_faults(int own)
{
    instance_t *instance = &instances[own];

    if (instance->fault != FAULT_NONE && now >= instance->fault_until) {
        if (instance->fault == FAULT_ENDED) {
            *instance = (instance_t){.process = instance->process + 1};
        }
        instance->fault = FAULT_NONE;
    }
    if (own < FIRST_RANK_CALM && now > START_MS
        && instance->fault == FAULT_NONE && draw(2500) == 0) {
        instance->fault = 1 + draw(FAULT_COUNT - 1);
        instance->fault_until = now + 500 + draw(6000);
    }
    /* Sometimes the store stops answering all of them at once. */
    if (own == 0 && now > START_MS && draw(6000) == 0) {
        for (int i = 0; i < FIRST_RANK_CALM; i++) {
            if (instances[i].fault == FAULT_NONE) {
                instances[i].fault = FAULT_STORE_SILENT;
                instances[i].fault_until = now + 3000 + draw(4000);
            }
        }
    }
}

/* Plays one run; returns how long after its replacement an instance without
 * faults had an older desired state. */
static mr_ms_t
play(unsigned number)
{
    mr_ms_t latest = 0;

    seed = number;
    config_version = 1;
    changed_at = 1;
    now = 1;
    memset(instances, 0, sizeof(instances));
    memset(messages, 0, sizeof(messages));
    for (now = 2; now < RUN_MS; now++) {
        /* Changes are far enough apart for the newest one to be judged. */
        if (now > START_MS && now - changed_at > APPLY_MAX_MS + 500
            && draw(500) == 0) {
            config_version++;
            changed_at = now;
        }
        deliver_messages();
        for (int i = 0; i < INSTANCES; i++) {
            run_faults(i);
            if (runs(i)) {
                run_reports(i);
                run_calls(i);
            }
            bool judged = i >= FIRST_RANK_CALM && now > START_MS
                          && instances[i].held < config_version;
            if (judged && now - changed_at > latest) {
                latest = now - changed_at;
            }
        }
    }
    return latest;
}

/* Returns the number of the first run that breaks the bound; 0: none. */
static int
find_violation(mutation_t tried, mr_ms_t *latest)
{
    const char *wanted = getenv("MASTICRELAY_RUNS");
    int runs = wanted != NULL ? atoi(wanted) : RUNS;

    *latest = 0;
    mutation = tried;
    for (int run = 1; run <= runs; run++) {
        mr_ms_t late = play((unsigned)run);
        *latest = late > *latest ? late : *latest;
        if (late > APPLY_MAX_MS) {
            return run;
        }
    }
    return 0;
}

START_TEST(test_every_instance_has_a_change_in_time)
{
    mr_ms_t latest;
    int run = find_violation(MUTATION_NONE, &latest);

    printf("latest: %lld ms\n", (long long)latest);
    ck_assert_msg(run == 0, "run %d: a desired state was used for %lld ms",
                  run, (long long)latest);
}
END_TEST

START_TEST(test_the_model_needs_each_rule)
{
    for (mutation_t tried = MUTATION_LISTENERS_NEVER_ASK;
         tried <= MUTATION_FETCHES_ARE_TRUSTED; tried++) {
        mr_ms_t latest;
        int run = find_violation(tried, &latest);
        printf("rule %d left out: run %d, %lld ms\n", (int)tried, run,
               (long long)latest);
        ck_assert_msg(run != 0, "rule %d is not needed (latest %lld ms)",
                      (int)tried, (long long)latest);
    }
}
END_TEST

START_TEST(test_an_answer_counts_from_its_earliest_time)
{
    ck_assert_int_eq(mr_confirmation_of_answer(1000, 500, false, 1505), 1480);
    /* Rounded clocks: otherwise confirmations would be late on a calm day. */
    ck_assert_int_eq(mr_confirmation_of_answer(1000, 500, false, 1499), 1480);
    /* Before the wait is over: the store has given it up. */
    ck_assert_int_eq(mr_confirmation_of_answer(1000, 500, false, 1200), 1000);
    /* Held up on its way. */
    ck_assert_int_eq(mr_confirmation_of_answer(1000, 500, false, 4000), 1480);
    ck_assert_int_eq(mr_confirmation_of_answer(1000, 500, true, 1499), 1000);
    ck_assert_int_eq(mr_confirmation_of_answer(1000, 0, false, 1020), 1000);
}
END_TEST

START_TEST(test_the_newest_confirmation_counts)
{
    mr_confirmation_t known = {7, {1, 100}, 5000, 0};

    mr_confirmation_update(&known, &(mr_confirmation_t){7, {1, 90}, 4900, 0});
    ck_assert_int_eq(known.at, 5000);
    mr_confirmation_update(&known, &(mr_confirmation_t){8, {1, 120}, 5100, 0});
    ck_assert_int_eq(known.config_version, 8);
    /* A stale reading, which an answer is if it has an older revision. */
    mr_confirmation_update(&known, &(mr_confirmation_t){7, {1, 110}, 5300, 0});
    ck_assert_int_eq(known.config_version, 8);
    /* Of a store that has been restored since: its versions say nothing. */
    mr_confirmation_update(&known, &(mr_confirmation_t){9, {0, 500}, 6000, 0});
    ck_assert_int_eq(known.config_version, 8);
    mr_confirmation_update(&known, &(mr_confirmation_t){8, {2, 20}, 5050, 0});
    ck_assert_int_eq(known.revision.era, 2);
}
END_TEST

START_TEST(test_a_version_that_does_not_arrive_is_read)
{
    mr_confirmation_t known = {7, {0, 100}, 5000, 5000};

    mr_confirmation_update(&known, &(mr_confirmation_t){8, {0, 110}, 5200, 0});
    mr_confirmation_set_held(&known, 7);
    mr_confirmation_update(&known, &(mr_confirmation_t){8, {0, 190}, 6700, 0});
    mr_confirmation_set_held(&known, 7);
    ck_assert_int_eq(
        mr_confirmation_due(&known, MR_CONFIG_DEPUTY, APPLY_MAX_MS, 6700),
        300);
    mr_confirmation_set_held(&known, 8);
    ck_assert_int_eq(
        mr_confirmation_due(&known, MR_CONFIG_DEPUTY, APPLY_MAX_MS, 6700),
        1000);
}
END_TEST

START_TEST(test_unknown_is_due_at_once)
{
    const mr_confirmation_t never = {0};
    const mr_confirmation_t known = {7, {0, 100}, 5000, 5000};

    ck_assert_int_eq(
        mr_confirmation_due(&never, MR_CONFIG_LISTENER, APPLY_MAX_MS, 10), 0);
    ck_assert_int_eq(
        mr_confirmation_due(&known, MR_CONFIG_FOLLOWER, APPLY_MAX_MS, 5000),
        0);
    ck_assert_int_eq(
        mr_confirmation_due(&known, MR_CONFIG_DEPUTY, APPLY_MAX_MS, 5400),
        600);
    ck_assert_int_eq(
        mr_confirmation_due(&known, MR_CONFIG_LISTENER, APPLY_MAX_MS, 5400),
        1100);
    ck_assert_int_eq(
        mr_confirmation_due(&known, MR_CONFIG_LISTENER, APPLY_MAX_MS, 9000),
        0);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_every_instance_has_a_change_in_time,
        test_the_model_needs_each_rule,
        test_an_answer_counts_from_its_earliest_time,
        test_the_newest_confirmation_counts,
        test_a_version_that_does_not_arrive_is_read,
        test_unknown_is_due_at_once,
    };

    return RUN_TESTS(tests, .suite = "confirmation", .timeout_s = 120);
}
