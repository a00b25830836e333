/* Effect of the rate limits on accounts that stay within their rate: wrongful
 * refusals, the worst-served account while another one exceeds its rate, and
 * requests admitted beyond the limit. */

#include <math.h>
#include <stdio.h>

#include "fleet_bench.h"

enum {
    RUN_MS = 8000,
    MOVE_INTERVAL_MS = 2000,
    SINGLE_INSTANCE_MS = 600000, /* longer than a run: no move */
    FIRST_FAILURE_MS = 500,      /* from the start of counting */
    OUTAGE_MS = 15000,           /* of the store */
    OUTAGE_SCALE_DOWN = 20,      /* 15 s stand for 300 s */
    AGGRESSOR_STREAM = 0,        /* a large account */
    AGGRESSOR_RATE_FACTOR = 5,   /* times its own rate */
};

static const double load_fraction = 0.8;
static const double write_share = 0.1;

typedef struct limit_results {
    double wrongful;       /* percent of the requests within the rate */
    double not_served;     /* likewise, with any error */
    double worst_served;   /* percent served, of the worst-served account */
    double over_admission; /* requests beyond burst + rate x t */
} limit_results_t;

/* Sums up the statistics and destroys the load. @except: stream that counts
 * only for over-admission; -1: none. */
static limit_results_t
collect_results(const char *scenario, fleet_load_t *load, int except)
{
    limit_results_t results = {.worst_served = 100,
                               .over_admission = -INFINITY};
    int64_t within = 0;
    int64_t limited = 0;
    int64_t ran = 0;

    for (int i = 0; i < FLEET_ACCOUNTS; i++) {
        const fleet_stats_t *stats = fleet_load_stats(load, (size_t)i);
        results.over_admission =
            fmax(results.over_admission,
                 fleet_load_over_admission(load, (size_t)i));
        if (i == except) {
            continue;
        }
        within += stats->within_rate;
        limited += stats->within_rate_limited;
        ran += stats->within_rate_ran;
        results.worst_served =
            fmin(results.worst_served,
                 fleet_percentage(stats->within_rate_ran, stats->within_rate));
    }
    results.wrongful = fleet_percentage(limited, within);
    results.not_served = 100 - fleet_percentage(ran, within);
    fleet_print_errors(scenario, load, FLEET_ACCOUNTS);
    fleet_load_destroy(load);
    return results;
}

static void
print_result(const fleet_bench_t *bench, const char *name,
             const char *scenario, double value, const char *unit)
{
    char full[2 * HARNESS_NAME_BYTES];

    snprintf(full, sizeof(full), "%s_%s", name, scenario);
    fleet_print(bench, full, value, unit);
}

static void
print_results(const fleet_bench_t *bench, const char *scenario,
              const limit_results_t *results)
{
    print_result(bench, "wrongful_refusals", scenario, results->wrongful, "%");
    print_result(bench, "not_served", scenario, results->not_served, "%");
    print_result(bench, "over_admission", scenario,
                 fmax(results->over_admission, 0), "requests");
}

static void
print_counters(const fleet_bench_t *bench, const char *scenario)
{
    fleet_print_counter(bench, scenario, "masticrelay_limit_refused_total");
    fleet_print_counter(bench, scenario,
                        "masticrelay_limit_refused_without_word_total");
    fleet_print_counter(bench, scenario, "masticrelay_limit_held_total");
    fleet_print_counter(bench, scenario,
                        "masticrelay_limit_ask_failures_total");
    fleet_print_counter(bench, scenario, "masticrelay_limiter_writes_total");
    fleet_print_counter(bench, scenario,
                        "masticrelay_limit_remote_asks_total");
}

static void
measure_without_faults(fleet_bench_t *bench, const char *scenario, double skew,
                       mr_ms_t move_interval_ms)
{
    fleet_stream_options_t streams[FLEET_ACCOUNTS];

    fleet_fill_streams(bench, load_fraction, write_share, streams);
    for (size_t i = 0; i < FLEET_ACCOUNTS; i++) {
        streams[i].skew = skew;
        streams[i].move_interval_ms = move_interval_ms;
    }
    limit_results_t results = collect_results(
        scenario, fleet_run_load(bench, streams, FLEET_ACCOUNTS, RUN_MS), -1);
    print_results(bench, scenario, &results);
    print_counters(bench, scenario);
}

/* Kills one daemon in each of two data centres, one after the other. */
static void
measure_instance_loss(fleet_bench_t *bench)
{
    harness_t *h = bench->h;
    harness_instance_t *first = &h->instances[0];
    harness_instance_t *second = &h->instances[h->instance_count / 2];
    fleet_stream_options_t streams[FLEET_ACCOUNTS];

    fleet_fill_streams(bench, load_fraction, write_share, streams);
    fleet_load_t *load =
        fleet_load_start(h, streams, FLEET_ACCOUNTS, FLEET_SEED);
    harness_run_loop(h->base, FLEET_WARM_UP_MS);
    fleet_load_start_counting(load);
    harness_run_loop(h->base, FIRST_FAILURE_MS);
    harness_process_kill(&first->process);
    harness_run_loop(h->base, RUN_MS / 2);
    harness_process_kill(&second->process);
    harness_run_loop(h->base, RUN_MS / 2);
    fleet_load_stop(load);
    limit_results_t results = collect_results("deaths", load, -1);
    print_results(bench, "deaths", &results);
    harness_process_start(&first->process);
    harness_process_start(&second->process);
    harness_run_loop(h->base, FLEET_WARM_UP_MS);
}

static void
measure_outage(fleet_bench_t *bench)
{
    harness_t *h = bench->h;
    fleet_stream_options_t streams[FLEET_ACCOUNTS];

    fleet_fill_streams(bench, load_fraction, write_share, streams);
    fleet_load_t *load =
        fleet_load_start(h, streams, FLEET_ACCOUNTS, FLEET_SEED);
    harness_run_loop(h->base, FLEET_WARM_UP_MS);
    fleet_load_start_counting(load);
    harness_set_platform_faults(h, "{\"down\":true}");
    harness_run_loop(h->base, OUTAGE_MS);
    harness_set_platform_faults(h, "{\"down\":false}");
    harness_run_loop(h->base, FLEET_WARM_UP_MS);
    fleet_load_stop(load);
    limit_results_t results = collect_results("outage", load, -1);
    print_results(bench, "outage", &results);
    printf("# outage: %d s, one %dth of five minutes\n", OUTAGE_MS / 1000,
           OUTAGE_SCALE_DOWN);
}

void
fleet_part_refusals(fleet_bench_t *bench)
{
    fleet_start(bench);
    measure_without_faults(bench, "even", 0, 0);
    measure_without_faults(bench, "skewed", 1, 0);
    measure_without_faults(bench, "jumping", 0, MOVE_INTERVAL_MS);
    measure_without_faults(bench, "one_instance", 0, SINGLE_INSTANCE_MS);
    measure_instance_loss(bench);
    measure_outage(bench);
    fleet_stop(bench);
}

void
fleet_part_worst_account(fleet_bench_t *bench)
{
    fleet_stream_options_t streams[FLEET_ACCOUNTS];

    fleet_start(bench);
    fleet_fill_streams(bench, load_fraction, write_share, streams);
    streams[AGGRESSOR_STREAM].rate =
        (double)bench->h->accounts[AGGRESSOR_STREAM].rate
        * AGGRESSOR_RATE_FACTOR;
    limit_results_t results =
        collect_results("worst_account",
                        fleet_run_load(bench, streams, FLEET_ACCOUNTS, RUN_MS),
                        AGGRESSOR_STREAM);
    fleet_print(bench, "worst_account_share", results.worst_served, "%");
    fleet_print(bench, "worst_account_over_admission",
                fmax(results.over_admission, 0), "requests");
    fleet_stop(bench);
}
