/* Latency and CPU time that the relay adds to a statement, compared with the
 * same load sent directly to the targets of the same fleet. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fleet_bench.h"

enum { RUN_MS = 8000, IDLE_MS = 4000, STAT_BYTES = 1024, STAT_UTIME = 14 };

static const char *const probe_counter = "masticrelay_probes_total";
static const double load_fraction = 0.5;
static const double write_share = 0.1;

/** CPU time in ms, summed over all processes of a kind. */
typedef struct cpu_times {
    double daemons;
    double targets;
} cpu_times_t;

typedef struct load_cost {
    fleet_hist_t *reads;
    fleet_hist_t *writes;
    int64_t executed;
    int64_t write_count;
    int64_t probes;
    cpu_times_t cpu_ms;
} load_cost_t;

/* User and system CPU time of a process, from /proc/PID/stat; 0 if it cannot
 * be read. */
static double
process_cpu_ms(pid_t pid)
{
    char path[64];
    char text[STAT_BYTES] = "";
    char *save = NULL;
    double ticks = 0;
    int field = 3; /* first one after the name, which may contain spaces */

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

static cpu_times_t
read_cpu_times(const harness_t *h)
{
    cpu_times_t times = {0};

    for (size_t i = 0; i < h->instance_count; i++) {
        times.daemons += process_cpu_ms(h->instances[i].process.pid);
    }
    for (size_t i = 0; i < h->target_count; i++) {
        times.targets += process_cpu_ms(h->targets[i].process.pid);
    }
    return times;
}

static load_cost_t
run_load(fleet_bench_t *bench, bool direct)
{
    harness_t *h = bench->h;
    fleet_stream_options_t streams[FLEET_ACCOUNTS];
    load_cost_t cost = {.reads = fleet_hist_create(),
                        .writes = fleet_hist_create()};

    fleet_fill_streams(bench, load_fraction, write_share, streams);
    for (size_t i = 0; i < FLEET_ACCOUNTS; i++) {
        streams[i].direct = direct;
    }
    fleet_load_t *load =
        fleet_load_start(h, streams, FLEET_ACCOUNTS, FLEET_SEED);
    harness_run_loop(h->base, FLEET_WARM_UP_MS);
    fleet_load_start_counting(load);
    int64_t probes = fleet_counter_sum(bench, probe_counter);
    cpu_times_t before = read_cpu_times(h);
    harness_run_loop(h->base, RUN_MS);
    cpu_times_t after = read_cpu_times(h);
    cost.probes = fleet_counter_sum(bench, probe_counter) - probes;
    for (size_t i = 0; i < FLEET_ACCOUNTS; i++) {
        const fleet_stats_t *stats = fleet_load_stats(load, i);
        cost.executed += stats->ran;
        cost.write_count += stats->ran - stats->reads;
    }
    fleet_load_stop(load);
    for (size_t i = 0; i < FLEET_ACCOUNTS; i++) {
        fleet_hist_merge(cost.reads, fleet_load_stats(load, i)->read_ms);
        fleet_hist_merge(cost.writes, fleet_load_stats(load, i)->write_ms);
    }
    cost.cpu_ms.daemons = after.daemons - before.daemons;
    cost.cpu_ms.targets = after.targets - before.targets;
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
    fleet_start(bench);
    harness_run_loop(bench->h->base, FLEET_WARM_UP_MS);
    int64_t idle_probes = fleet_counter_sum(bench, probe_counter);
    cpu_times_t before = read_cpu_times(bench->h);
    harness_run_loop(bench->h->base, IDLE_MS);
    cpu_times_t idle = read_cpu_times(bench->h);
    idle_probes = fleet_counter_sum(bench, probe_counter) - idle_probes;
    load_cost_t direct = run_load(bench, true);
    load_cost_t relayed = run_load(bench, false);
    print_latency(bench, "read", 50, direct.reads, relayed.reads);
    print_latency(bench, "read", 99, direct.reads, relayed.reads);
    print_latency(bench, "write", 50, direct.writes, relayed.writes);
    print_latency(bench, "write", 99, direct.writes, relayed.writes);
    fleet_print(bench, "cost_idle_daemon",
                100 * (idle.daemons - before.daemons) / IDLE_MS
                    / (double)bench->h->instance_count,
                "%_of_a_core");
    fleet_print(bench, "cost_daemons_per_statement",
                relayed.cpu_ms.daemons / (double)relayed.executed, "ms");
    fleet_print(bench, "cost_probes_idle",
                (double)idle_probes * 1000 / IDLE_MS, "1/s");
    fleet_print(bench, "cost_probes_relayed",
                (double)relayed.probes * 1000 / RUN_MS, "1/s");
    fleet_print(bench, "cost_probes_per_write",
                (double)relayed.probes / (double)relayed.write_count,
                "probes");
    fleet_print(bench, "cost_targets_per_statement_direct",
                direct.cpu_ms.targets / (double)direct.executed, "ms");
    fleet_print(bench, "cost_targets_per_statement_relayed",
                relayed.cpu_ms.targets / (double)relayed.executed, "ms");
    fleet_hist_destroy(direct.reads);
    fleet_hist_destroy(direct.writes);
    fleet_hist_destroy(relayed.reads);
    fleet_hist_destroy(relayed.writes);
    fleet_stop(bench);
}
