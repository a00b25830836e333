/* What the rate limits do to accounts that keep within their rate: wrongful
 * refusals, the worst-served account beside one that sends too much, and
 * admission beyond the limit. */

#include <math.h>
#include <stdio.h>

#include "fleet_bench.h"

enum {
    RUN_MS = 8000,
    JUMP_MS = 2000,
    STAY_MS = 600000,    /* longer than a run: one instance gets all */
    SPREAD_MS = 500,     /* between two failures of one run */
    OUTAGE_MS = 15000,   /* of the store */
    OUTAGE_SCALE = 20,   /* of five minutes, 300 s */
    AGGRESSOR = 0,       /* a large account */
    AGGRESSOR_TIMES = 5, /* its own rate */
};

static const double load_fraction = 0.8;
static const double write_share = 0.1;

typedef struct figures {
    double wrongful;     /* percent of what was sent within the rate */
    double not_served;   /* the same for all errors */
    double worst_served; /* percent, of the worst-served account */
    double over;         /* requests beyond burst + rate x t */
} figures_t;

/* Ends the load. @except: stream that is left out of the shares; -1: none. */
static figures_t
take_figures(const char *what, fleet_load_t *load, int except)
{
    figures_t figures = {.worst_served = 100, .over = -INFINITY};
    int64_t within = 0;
    int64_t limited = 0;
    int64_t ran = 0;

    for (int i = 0; i < FLEET_ACCOUNTS; i++) {
        const fleet_stats_t *stats = fleet_load_stats(load, (size_t)i);
        figures.over =
            fmax(figures.over, fleet_load_over_admission(load, (size_t)i));
        if (i == except) {
            continue;
        }
        within += stats->within;
        limited += stats->within_limited;
        ran += stats->within_ran;
        figures.worst_served =
            fmin(figures.worst_served,
                 fleet_share(stats->within_ran, stats->within));
    }
    figures.wrongful = fleet_share(limited, within);
    figures.not_served = 100 - fleet_share(ran, within);
    fleet_print_errors(what, load, FLEET_ACCOUNTS);
    fleet_load_destroy(load);
    return figures;
}

static void
print_figure(const fleet_bench_t *bench, const char *name, const char *what,
             double value, const char *unit)
{
    char full[2 * HARNESS_NAME_BYTES];

    snprintf(full, sizeof(full), "%s_%s", name, what);
    fleet_print(bench, full, value, unit);
}

static void
print_figures(const fleet_bench_t *bench, const char *what,
              const figures_t *figures)
{
    print_figure(bench, "wrongful_refusals", what, figures->wrongful, "%");
    print_figure(bench, "not_served", what, figures->not_served, "%");
    print_figure(bench, "over_admission", what, fmax(figures->over, 0),
                 "requests");
}

static void
print_counters(const fleet_bench_t *bench, const char *what)
{
    fleet_print_counter(bench, what, "masticrelay_limit_refused_total");
    fleet_print_counter(bench, what,
                        "masticrelay_limit_refused_without_word_total");
    fleet_print_counter(bench, what, "masticrelay_limit_held_total");
    fleet_print_counter(bench, what, "masticrelay_limit_ask_failures_total");
    fleet_print_counter(bench, what, "masticrelay_limiter_writes_total");
    fleet_print_counter(bench, what, "masticrelay_limit_remote_asks_total");
}

static void
measure_calm(fleet_bench_t *bench, const char *what, double skew, mr_ms_t jump)
{
    fleet_stream_options_t streams[FLEET_ACCOUNTS];

    fleet_even_streams(bench, load_fraction, write_share, streams);
    for (size_t i = 0; i < FLEET_ACCOUNTS; i++) {
        streams[i].skew = skew;
        streams[i].jump = jump;
    }
    figures_t figures = take_figures(
        what, fleet_measure(bench, streams, FLEET_ACCOUNTS, RUN_MS), -1);
    print_figures(bench, what, &figures);
    print_counters(bench, what);
}

/* Kills a daemon of each of two data centres, one after the other. */
static void
measure_deaths(fleet_bench_t *bench)
{
    harness_t *h = bench->h;
    harness_instance_t *first = &h->instances[0];
    harness_instance_t *second = &h->instances[h->instance_count / 2];
    fleet_stream_options_t streams[FLEET_ACCOUNTS];

    fleet_even_streams(bench, load_fraction, write_share, streams);
    fleet_load_t *load =
        fleet_load_start(h, streams, FLEET_ACCOUNTS, FLEET_SEED);
    harness_run_loop(h->base, FLEET_WARM_UP_MS);
    fleet_load_mark(load);
    harness_run_loop(h->base, SPREAD_MS);
    harness_process_kill(&first->process);
    harness_run_loop(h->base, RUN_MS / 2);
    harness_process_kill(&second->process);
    harness_run_loop(h->base, RUN_MS / 2);
    fleet_load_stop(load);
    figures_t figures = take_figures("deaths", load, -1);
    print_figures(bench, "deaths", &figures);
    harness_process_start(&first->process);
    harness_process_start(&second->process);
    harness_run_loop(h->base, FLEET_WARM_UP_MS);
}

static void
measure_outage(fleet_bench_t *bench)
{
    harness_t *h = bench->h;
    fleet_stream_options_t streams[FLEET_ACCOUNTS];

    fleet_even_streams(bench, load_fraction, write_share, streams);
    fleet_load_t *load =
        fleet_load_start(h, streams, FLEET_ACCOUNTS, FLEET_SEED);
    harness_run_loop(h->base, FLEET_WARM_UP_MS);
    fleet_load_mark(load);
    harness_set_platform_faults(h, "{\"down\":true}");
    harness_run_loop(h->base, OUTAGE_MS);
    harness_set_platform_faults(h, "{\"down\":false}");
    harness_run_loop(h->base, FLEET_WARM_UP_MS);
    fleet_load_stop(load);
    figures_t figures = take_figures("outage", load, -1);
    print_figures(bench, "outage", &figures);
    printf("# outage: %d s, one %dth of five minutes\n", OUTAGE_MS / 1000,
           OUTAGE_SCALE);
}

void
fleet_part_refusals(fleet_bench_t *bench)
{
    fleet_up(bench);
    measure_calm(bench, "even", 0, 0);
    measure_calm(bench, "skewed", 1, 0);
    measure_calm(bench, "jumping", 0, JUMP_MS);
    measure_calm(bench, "one_instance", 0, STAY_MS);
    measure_deaths(bench);
    measure_outage(bench);
    fleet_down(bench);
}

void
fleet_part_worst_account(fleet_bench_t *bench)
{
    fleet_stream_options_t streams[FLEET_ACCOUNTS];

    fleet_up(bench);
    fleet_even_streams(bench, load_fraction, write_share, streams);
    streams[AGGRESSOR].rate =
        (double)bench->h->accounts[AGGRESSOR].rate * AGGRESSOR_TIMES;
    figures_t figures = take_figures(
        "worst_account", fleet_measure(bench, streams, FLEET_ACCOUNTS, RUN_MS),
        AGGRESSOR);
    fleet_print(bench, "worst_account_share", figures.worst_served, "%");
    fleet_print(bench, "worst_account_over_admission", fmax(figures.over, 0),
                "requests");
    fleet_down(bench);
}
