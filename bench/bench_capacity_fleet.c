/*
 * Costs of one fleet: CPU time, memory, bytes and messages of a daemon when
 * idle and under light load, request rates at the store, and the duration of
 * a configuration change and of a primary change.
 * Usage: bench_capacity_fleet INSTANCES-PER-DATA-CENTRE [GROUPS [ACCOUNTS]]
 */

#include <stdlib.h>
#include <string.h>

#include "common_harness.h"

enum {
    /* The demand of accounts that were used during the start decays within
     * 20 s. */
    IDLE_SETTLE_MS = 20000,
    LOAD_SETTLE_MS = 2500,
    WINDOW_MS = 6000,
    CHANGES = 3,
    /* Not a multiple of the poll interval, so that changes fall at different
     * times between two polls. */
    CHANGE_PAUSE_MS = 170,
    EXTRA_KEYS = 6000, /* add about 600 KB to the configuration */
    CHANGE_TIMEOUT_MS = 10000,
    PRIMARY_TIMEOUT_MS = 10000,
    POLL_MS = 10,
    CALLERS = 12,
    CALLER_PAUSE_MS = 50,
    GROUPS_MAX = 100,
    ACCOUNTS_MAX = 1000,
    INSTANCES_MAX = 20,
    ACCOUNT_RATE = 2000,
    ACCOUNT_BURST = 1000,
};

static const char *const data_centres[] = {"konya", "aksaray", "karaman",
                                           NULL};

/** Sums over all daemons at one time. */
typedef struct sample {
    mr_ms_t time;
    double cpu_ms;
    double rss_kb;
    json_t *counters;       /* metric name -> sum over labels and daemons */
    json_t *store_requests; /* request -> count, from the stand-in */
} sample_t;

static void
add_counter(json_t *sums, const char *name, double value)
{
    json_object_set_new(
        sums, name,
        json_real(json_number_value(json_object_get(sums, name)) + value));
}

static void
fetch_metrics(harness_t *h, const harness_instance_t *instance, json_t *sums)
{
    char *metrics = harness_metrics(h, instance);
    char *rest = metrics;
    char *line;

    if (metrics == NULL) {
        fprintf(stderr, "a daemon did not return its metrics\n");
        exit(EXIT_FAILURE);
    }
    while ((line = strsep(&rest, "\n")) != NULL) {
        char *end = strrchr(line, ' ');
        if (line[0] != '#' && end != NULL) {
            double value = strtod(end, NULL);
            *end = '\0';
            line[strcspn(line, "{")] = '\0';
            add_counter(sums, line, value);
        }
    }
    free(metrics);
}

static sample_t
take_sample(harness_t *h)
{
    sample_t sample = {.counters = json_object()};

    for (size_t i = 0; i < h->instance_count; i++) {
        fetch_metrics(h, &h->instances[i], sample.counters);
        sample.cpu_ms += bench_process_cpu_ms(h->instances[i].process.pid);
        sample.rss_kb += bench_process_rss_kb(h->instances[i].process.pid);
    }
    harness_http(h->base, "GET", h->platform.address, "/requests", NULL, NULL,
                 &sample.store_requests);
    sample.time = mr_clock_now(NULL);
    return sample;
}

static void
free_sample(sample_t *sample)
{
    json_decref(sample->counters);
    json_decref(sample->store_requests);
}

static double
counter_rate(const json_t *before, const json_t *after, const char *name,
             double s)
{
    return (json_number_value(json_object_get(after, name))
            - json_number_value(json_object_get(before, name)))
           / s;
}

static void
print_sample(const harness_t *h, const char *phase, const sample_t *a,
             const sample_t *b)
{
    static const char *const counters[][2] = {
        {"masticrelay_peer_sent_bytes_total", "peer_sent_bytes"},
        {"masticrelay_peer_received_bytes_total", "peer_received_bytes"},
        {"masticrelay_peer_sent_messages_total", "peer_sent_messages"},
        {"masticrelay_peer_received_messages_total", "peer_received_messages"},
        {"masticrelay_probe_sent_bytes_total", "probe_sent_bytes"},
        {"masticrelay_probe_received_bytes_total", "probe_received_bytes"},
        {"masticrelay_target_sent_bytes_total", "target_sent_bytes"},
        {"masticrelay_target_received_bytes_total", "target_received_bytes"},
        {"masticrelay_platform_sent_bytes_total", "platform_sent_bytes"},
        {"masticrelay_platform_received_bytes_total",
         "platform_received_bytes"},
        {"masticrelay_probes_total", "probes"},
        {"masticrelay_member_pings_total", "pings"},
        {"masticrelay_config_polls_total", "config_polls"},
        {"masticrelay_config_pushes_sent_total", "config_pushes"},
        {"masticrelay_config_peer_reads_total", "config_peer_reads"},
        {"masticrelay_limit_asked_total", "limiter_asks"},
        {"masticrelay_answers_total", "answers"},
    };
    long n = (long)h->instance_count;
    double s = (double)(b->time - a->time) / 1e3;
    char name[96];
    const char *call;
    json_t *value;

    snprintf(name, sizeof(name), "fleet_%s_cpu", phase);
    bench_print(name, n, (b->cpu_ms - a->cpu_ms) / s / (double)n,
                "ms/s/daemon");
    snprintf(name, sizeof(name), "fleet_%s_memory", phase);
    bench_print(name, n, b->rss_kb / (double)n, "KB/daemon");
    for (size_t i = 0; i < sizeof(counters) / sizeof(counters[0]); i++) {
        snprintf(name, sizeof(name), "fleet_%s_%s", phase, counters[i][1]);
        bench_print(name, n,
                    counter_rate(a->counters, b->counters, counters[i][0], s)
                        / (double)n,
                    "1/s/daemon");
    }
    json_object_foreach(b->store_requests, call, value)
    {
        snprintf(name, sizeof(name), "fleet_%s_store_%s", phase, call);
        for (char *it = name; *it != '\0'; it++) {
            *it = *it == ' ' || *it == '/' ? '_' : *it;
        }
        bench_print(
            name, n,
            counter_rate(a->store_requests, b->store_requests, call, s),
            "1/s");
    }
}

static void
measure(harness_t *h, const char *phase, mr_ms_t settle)
{
    sample_t before;
    sample_t after;

    harness_run_loop(h->base, settle);
    before = take_sample(h);
    harness_run_loop(h->base, WINDOW_MS);
    after = take_sample(h);
    print_sample(h, phase, &before, &after);
    free_sample(&before);
    free_sample(&after);
}

static bool
has_current_version(harness_t *h, const harness_instance_t *instance)
{
    json_t *sums = json_object();

    fetch_metrics(h, instance, sums);
    double version =
        json_number_value(json_object_get(sums, "masticrelay_config_version"));
    json_decref(sums);
    return version >= (double)h->version;
}

/* Publishes a version and returns the time from its acceptance until every
 * daemon has reported it. A daemon that has reported it is not asked again. */
static double
measure_change(harness_t *h)
{
    harness_publish_config(h);
    mr_ms_t start = mr_clock_now(NULL);
    size_t next = 0;

    while (next < h->instance_count
           && mr_clock_now(NULL) < start + CHANGE_TIMEOUT_MS) {
        if (has_current_version(h, &h->instances[next])) {
            next++;
        }
        else {
            harness_run_loop(h->base, POLL_MS);
        }
    }
    return (double)(mr_clock_now(NULL) - start);
}

static void
measure_changes(harness_t *h, const char *kind)
{
    char name[96];
    double sum = 0;
    double longest = 0;

    for (int change = 0; change < CHANGES; change++) {
        double took = measure_change(h);
        sum += took;
        longest = took > longest ? took : longest;
        harness_run_loop(h->base, CHANGE_PAUSE_MS);
    }
    snprintf(name, sizeof(name), "fleet_%s_change_mean", kind);
    bench_print(name, (long)h->instance_count, sum / CHANGES, "ms");
    snprintf(name, sizeof(name), "fleet_%s_change_max", kind);
    bench_print(name, (long)h->instance_count, longest, "ms");
}

/* Enlarges the configuration with keys: more accounts would add load at the
 * store for their shares. */
static void
add_keys(harness_t *h)
{
    for (int i = 0; i < EXTRA_KEYS; i++) {
        char id[HARNESS_NAME_BYTES];
        char key[MR_OP_KEY_BYTES];
        snprintf(id, sizeof(id), "large-%d", i);
        ck_assert(mr_op_key_issue(h->config, h->accounts[0].name, id, key));
    }
}

/* Prints the time from the kill of a primary until another target serves a
 * write. */
static void
measure_primary_change(harness_t *h)
{
    harness_target_t *primary = harness_primary(h, 0);
    long n = (long)h->instance_count;

    if (primary == NULL) {
        fprintf(stderr, "group 0 has no primary\n");
        exit(EXIT_FAILURE);
    }
    harness_process_kill(&primary->process);
    mr_ms_t start = mr_clock_now(NULL);
    harness_wait_primary(h, 0, primary, PRIMARY_TIMEOUT_MS);
    bench_print("fleet_primary_change", n,
                (double)(mr_clock_now(NULL) - start), "ms");
}

static int
parse_argument(int argc, char **argv, int index, int fallback, int max)
{
    long value = index < argc ? strtol(argv[index], NULL, 10) : fallback;

    if (value < 1 || value > max) {
        fprintf(stderr,
                "usage: %s INSTANCES-PER-DATA-CENTRE [GROUPS "
                "[ACCOUNTS]]\n",
                argv[0]);
        exit(2);
    }
    return (int)value;
}

static harness_options_t options = {
    .data_centres = data_centres,
    .rate = ACCOUNT_RATE,
    .burst = ACCOUNT_BURST,
    .slots = 2,
    .connections = 35,
    .connect_ms = 10,
};

START_TEST(fleet)
{
    const harness_load_t load = {
        .callers = CALLERS,
        .account = -1,
        .write_percent = 30,
        .append_percent = 20,
        .keys = 4,
        .pause = CALLER_PAUSE_MS,
    };
    harness_t *h = harness_start(&options);

    measure(h, "idle", IDLE_SETTLE_MS);
    harness_caller_group_t *callers = harness_callers_start(h, &load);
    measure(h, "load", LOAD_SETTLE_MS);
    harness_callers_stop(callers);
    measure_changes(h, "small");
    add_keys(h);
    measure_changes(h, "large");
    measure_primary_change(h);
    harness_end(h);
}
END_TEST

int
main(int argc, char **argv)
{
    options.instances = parse_argument(argc, argv, 1, 2, INSTANCES_MAX);
    options.groups = parse_argument(argc, argv, 2, 3, GROUPS_MAX);
    options.accounts = parse_argument(argc, argv, 3, 8, ACCOUNTS_MAX);
    return bench_run_test("fleet", fleet);
}
