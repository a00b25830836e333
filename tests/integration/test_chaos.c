/*
 * Injects random failures of processes and links under load, then checks the
 * trace for violated guarantees. Guards against violations that only a
 * combination of failures causes. MASTICRELAY_SEED and MASTICRELAY_SECONDS set
 * the seed and the duration. A seed determines the sequence of failures, but
 * not their timing relative to the requests.
 */

#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "harness.h"

enum { DEFAULT_SEED = 1, DEFAULT_SECONDS = 20, FAILURES_MAX = 3 };

static const char *const data_centres[] = {"konya", "aksaray", "nigde", NULL};

/** A fault of all links from one data centre to another. */
typedef struct link_fault {
    const char *name;
    const char *begin_json;
    const char *end_json;
    bool both_directions; /* includes the reverse links */
} link_fault_t;

static const link_fault_t link_faults[] = {
    {"cut", "{\"cut\":\"both\"}", "{\"cut\":\"none\"}", true},
    {"cut_one_way", "{\"cut\":\"to_target\"}", "{\"cut\":\"none\"}", false},
    {"refuse", "{\"refuse\":true,\"reset\":true}", "{\"refuse\":false}", true},
    {"hold", "{\"hold\":true}", "{\"hold\":false}", false},
    {"delay", "{\"delay_ms\":150}", "{\"delay_ms\":0}", true},
};

/** A temporary failure of a process, of links or of the platform. */
typedef struct failure {
    mr_ms_t ends_at; /* 0: none */
    harness_process_t *process;
    const char *from; /* data centres whose links fail */
    const char *to;
    const link_fault_t *fault;
    bool paused;   /* process paused rather than killed */
    bool platform; /* the platform is down */
} failure_t;

typedef struct chaos {
    harness_t *harness;
    GRand *random;
    failure_t failures[FAILURES_MAX];
} chaos_t;

static int
random_below(chaos_t *chaos, size_t limit)
{
    return g_rand_int_range(chaos->random, 0, (gint32)limit);
}

static void
trace_failure(chaos_t *chaos, const char *what, const char *name)
{
    harness_trace(chaos->harness, "failure",
                  json_pack("{s:s,s:s}", "what", what, "name", name));
}

static bool
has_failure(const chaos_t *chaos, const harness_process_t *process)
{
    for (int i = 0; i < FAILURES_MAX; i++) {
        if (chaos->failures[i].ends_at != 0
            && chaos->failures[i].process == process) {
            return true;
        }
    }
    return false;
}

static bool
is_target(const chaos_t *chaos, const harness_process_t *process)
{
    for (size_t i = 0; i < chaos->harness->target_count; i++) {
        if (&chaos->harness->targets[i].process == process) {
            return true;
        }
    }
    return false;
}

/* Kills or pauses a random process. Only one target fails at a time, so that a
 * majority of each group keeps its log. */
static void
fail_process(chaos_t *chaos, failure_t *failure)
{
    harness_t *h = chaos->harness;
    harness_process_t *process;

    if (random_below(chaos, 2) == 0) {
        process = &h->targets[random_below(chaos, h->target_count)].process;
    }
    else {
        process =
            &h->instances[random_below(chaos, h->instance_count)].process;
    }
    for (int i = 0; i < FAILURES_MAX; i++) {
        const failure_t *other = &chaos->failures[i];
        if (other->ends_at != 0 && other->process != NULL
            && is_target(chaos, other->process) && is_target(chaos, process)) {
            return;
        }
    }
    if (has_failure(chaos, process)) {
        return;
    }
    failure->process = process;
    failure->paused = random_below(chaos, 2) == 0;
    failure->ends_at = mr_clock_now(NULL) + 500 + random_below(chaos, 4000);
    trace_failure(chaos, failure->paused ? "pause" : "kill", process->name);
    if (failure->paused) {
        harness_process_signal(process, SIGSTOP);
    }
    else {
        harness_process_kill(process);
    }
}

static void
set_link_faults(chaos_t *chaos, const failure_t *failure, const char *json)
{
    char link[2 * HARNESS_NAME_BYTES];

    snprintf(link, sizeof(link), "%s--%s.*", failure->from, failure->to);
    harness_set_link_faults(chaos->harness, link, json);
    if (failure->fault->both_directions) {
        snprintf(link, sizeof(link), "%s--%s.*", failure->to, failure->from);
        harness_set_link_faults(chaos->harness, link, json);
    }
}

static void
begin(chaos_t *chaos, failure_t *failure)
{
    size_t first = (size_t)random_below(chaos, 3);

    memset(failure, 0, sizeof(*failure));
    switch (random_below(chaos, 4)) {
    case 0:
        failure->from = data_centres[first];
        failure->to =
            data_centres[(first + 1 + (size_t)random_below(chaos, 2)) % 3];
        failure->fault =
            &link_faults[random_below(chaos, G_N_ELEMENTS(link_faults))];
        failure->ends_at =
            mr_clock_now(NULL) + 500 + random_below(chaos, 4000);
        trace_failure(chaos, failure->fault->name, failure->from);
        set_link_faults(chaos, failure, failure->fault->begin_json);
        return;
    case 1:
        failure->platform = true;
        failure->ends_at =
            mr_clock_now(NULL) + 500 + random_below(chaos, 4000);
        trace_failure(chaos, "down", "platform");
        harness_set_platform_faults(chaos->harness, "{\"down\":true}");
        return;
    default:
        fail_process(chaos, failure);
        return;
    }
}

static void
end(chaos_t *chaos, failure_t *failure)
{
    if (failure->ends_at == 0) {
        return;
    }
    trace_failure(chaos, "end",
                  failure->process != NULL ? failure->process->name : "");
    failure->ends_at = 0;
    if (failure->process != NULL && failure->paused) {
        harness_process_signal(failure->process, SIGCONT);
    }
    else if (failure->process != NULL) {
        harness_process_start(failure->process);
    }
    else if (failure->platform) {
        harness_set_platform_faults(chaos->harness, "{\"down\":false}");
    }
    else {
        set_link_faults(chaos, failure, failure->fault->end_json);
    }
}

static long
env_number(const char *name, long default_value)
{
    const char *text = getenv(name);

    return text == NULL ? default_value : strtol(text, NULL, 10);
}

static void
run_chaos(chaos_t *chaos, mr_ms_t duration)
{
    mr_ms_t stop = mr_clock_now(NULL) + duration;

    while (mr_clock_now(NULL) < stop) {
        mr_ms_t now = mr_clock_now(NULL);
        for (int i = 0; i < FAILURES_MAX; i++) {
            failure_t *failure = &chaos->failures[i];
            if (failure->ends_at != 0 && now >= failure->ends_at) {
                end(chaos, failure);
            }
            else if (failure->ends_at == 0 && random_below(chaos, 100) < 10) {
                begin(chaos, failure);
            }
        }
        harness_run_loop(chaos->harness->base, 100);
    }
    for (int i = 0; i < FAILURES_MAX; i++) {
        end(chaos, &chaos->failures[i]);
    }
}

START_TEST(test_promises_hold)
{
    static const harness_options_t options = {
        .data_centres = data_centres,
        .instances = 2,
        .groups = 2,
        .accounts = 2,
        /* Above the load of the callers: any rate limiting is a fault. */
        .rate = 1500,
        .burst = 300,
        .connections = 35,
        .connect_ms = 10,
        .proxied = true,
        .trace = "trace.jsonl",
    };
    const harness_load_t load = {.callers = 24,
                                 .account = -1,
                                 .write_percent = 40,
                                 .append_percent = 40,
                                 .keys = 3,
                                 .pause = 20};
    long seed = env_number("MASTICRELAY_SEED", DEFAULT_SEED);
    long seconds = env_number("MASTICRELAY_SECONDS", DEFAULT_SECONDS);
    chaos_t chaos = {.random = g_rand_new_with_seed((guint32)seed)};

    printf("seed %ld\n", seed);
    fflush(stdout);
    chaos.harness = harness_start(&options);
    harness_caller_group_t *callers =
        harness_callers_start(chaos.harness, &load);
    run_chaos(&chaos, seconds * 1000);
    /* Requests must succeed again once all failures have ended. */
    harness_run_loop(chaos.harness->base, 5000);
    int64_t before = harness_callers_counts(callers).ran;
    harness_run_loop(chaos.harness->base, 2000);
    int64_t after = harness_callers_counts(callers).ran;
    harness_counts_t counts = harness_callers_stop(callers);
    harness_print_counts(&counts);
    harness_trace_versions(chaos.harness);
    harness_trace_logs(chaos.harness);
    json_t *violations = harness_check_trace(chaos.harness);
    char *text = json_dumps(violations, JSON_INDENT(1));
    ck_assert_msg(json_array_size(violations) == 0, "seed %ld: %s", seed,
                  text);
    ck_assert_msg(after - before > 200, "only %ld requests ran at the end",
                  (long)(after - before));
    free(text);
    json_decref(violations);
    harness_end(chaos.harness);
    g_rand_free(chaos.random);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_promises_hold};

    return RUN_TESTS(tests, .suite = "chaos", .timeout_s = 580);
}
