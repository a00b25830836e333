/* What the relay adds to a statement: latency and processor time, against the
 * same load sent straight to the targets of the same fleet. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fleet_bench.h"

enum { RUN_MS = 8000, IDLE_MS = 4000, STAT_BYTES = 1024, STAT_UTIME = 14 };

static const char *const probe_counter = "masticrelay_probes_total";
static const double load_fraction = 0.5;
static const double write_share = 0.1;

/** Processor time in ms so far. */
typedef struct used {
    double daemons;
    double targets;
} used_t;

typedef struct cost {
    fleet_hist_t *reads;
    fleet_hist_t *writes;
    int64_t ran;
    int64_t write_count;
    int64_t probes;
    used_t used;
} cost_t;

/* User and system time of a process, from /proc/PID/stat. */
static double
process_ms(pid_t pid)
{
    char path[64];
    char text[STAT_BYTES] = "";
    char *save = NULL;
    double ticks = 0;
    int field = 3; /* after the name, which may contain spaces */

    snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
    FILE *file = fopen(path, "re");
    if (file == NULL) {
        return 0;
    }
    size_t len = fread(text, 1, sizeof(text) - 1, file);
    fclose(file);
    text[len] = '\0';
    char *rest = strrchr(text, ')');
    if (rest == NULL) {
        return 0;
    }
    for (char *word = strtok_r(rest + 1, " ", &save); word != NULL;
         word = strtok_r(NULL, " ", &save), field++) {
        if (field == STAT_UTIME || field == STAT_UTIME + 1) {
            ticks += strtod(word, NULL);
        }
    }
    return ticks * 1000 / (double)sysconf(_SC_CLK_TCK);
}

static used_t
used_now(const harness_t *h)
{
    used_t used = {0};

    for (size_t i = 0; i < h->instance_count; i++) {
        used.daemons += process_ms(h->instances[i].process.pid);
    }
    for (size_t i = 0; i < h->target_count; i++) {
        used.targets += process_ms(h->targets[i].process.pid);
    }
    return used;
}

static cost_t
measure(fleet_bench_t *bench, bool direct)
{
    harness_t *h = bench->h;
    fleet_stream_options_t streams[FLEET_ACCOUNTS];
    cost_t cost = {.reads = fleet_hist_create(),
                   .writes = fleet_hist_create()};

    fleet_even_streams(bench, load_fraction, write_share, streams);
    for (size_t i = 0; i < FLEET_ACCOUNTS; i++) {
        streams[i].direct = direct;
    }
    fleet_load_t *load =
        fleet_load_start(h, streams, FLEET_ACCOUNTS, FLEET_SEED);
    harness_run_loop(h->base, FLEET_WARM_UP_MS);
    fleet_load_mark(load);
    int64_t probes = fleet_counter_sum(bench, probe_counter);
    used_t before = used_now(h);
    harness_run_loop(h->base, RUN_MS);
    used_t after = used_now(h);
    cost.probes = fleet_counter_sum(bench, probe_counter) - probes;
    for (size_t i = 0; i < FLEET_ACCOUNTS; i++) {
        const fleet_stats_t *stats = fleet_load_stats(load, i);
        cost.ran += stats->ran;
        cost.write_count += stats->ran - stats->reads;
    }
    fleet_load_stop(load);
    for (size_t i = 0; i < FLEET_ACCOUNTS; i++) {
        fleet_hist_merge(cost.reads, fleet_load_stats(load, i)->read_ms);
        fleet_hist_merge(cost.writes, fleet_load_stats(load, i)->write_ms);
    }
    cost.used.daemons = after.daemons - before.daemons;
    cost.used.targets = after.targets - before.targets;
    fleet_print_errors(direct ? "direct" : "relayed", load, FLEET_ACCOUNTS);
    fleet_load_destroy(load);
    return cost;
}

static void
print_latency(const fleet_bench_t *bench, const char *what, int percent,
              const fleet_hist_t *direct, const fleet_hist_t *relayed)
{
    char name[HARNESS_NAME_BYTES];
    double base = fleet_hist_percentile(direct, percent);
    double full = fleet_hist_percentile(relayed, percent);

    snprintf(name, sizeof(name), "cost_%s_direct_p%d", what, percent);
    fleet_print(bench, name, base, "ms");
    snprintf(name, sizeof(name), "cost_%s_added_p%d", what, percent);
    fleet_print(bench, name, full - base, "ms");
}

void
fleet_part_cost(fleet_bench_t *bench)
{
    fleet_up(bench);
    harness_run_loop(bench->h->base, FLEET_WARM_UP_MS);
    int64_t idle_probes = fleet_counter_sum(bench, probe_counter);
    used_t before = used_now(bench->h);
    harness_run_loop(bench->h->base, IDLE_MS);
    used_t idle = used_now(bench->h);
    idle_probes = fleet_counter_sum(bench, probe_counter) - idle_probes;
    cost_t direct = measure(bench, true);
    cost_t relayed = measure(bench, false);
    print_latency(bench, "read", 50, direct.reads, relayed.reads);
    print_latency(bench, "read", 99, direct.reads, relayed.reads);
    print_latency(bench, "write", 50, direct.writes, relayed.writes);
    print_latency(bench, "write", 99, direct.writes, relayed.writes);
    fleet_print(bench, "cost_idle_daemon",
                100 * (idle.daemons - before.daemons) / IDLE_MS
                    / (double)bench->h->instance_count,
                "%_of_a_core");
    fleet_print(bench, "cost_daemons_per_statement",
                relayed.used.daemons / (double)relayed.ran, "ms");
    fleet_print(bench, "cost_probes_idle",
                (double)idle_probes * 1000 / IDLE_MS, "1/s");
    fleet_print(bench, "cost_probes_relayed",
                (double)relayed.probes * 1000 / RUN_MS, "1/s");
    fleet_print(bench, "cost_probes_per_write",
                (double)relayed.probes / (double)relayed.write_count,
                "probes");
    fleet_print(bench, "cost_targets_per_statement_direct",
                direct.used.targets / (double)direct.ran, "ms");
    fleet_print(bench, "cost_targets_per_statement_relayed",
                relayed.used.targets / (double)relayed.ran, "ms");
    fleet_hist_destroy(direct.reads);
    fleet_hist_destroy(direct.writes);
    fleet_hist_destroy(relayed.reads);
    fleet_hist_destroy(relayed.writes);
    fleet_down(bench);
}
