/* Share of reads that replicas serve while they lag, and what the wait for a
 * replica that covers the session's writes costs. */

#include <stdio.h>

#include "fleet_bench.h"

enum { RUN_MS = 10000 };

static const double load_fraction = 0.6;
/* With a read after each write, one request in ten is a write. */
static const double write_share = 1.0 / 9;

static void
print_latency(const fleet_bench_t *bench, int lag, const char *what,
              const fleet_hist_t *hist)
{
    char name[HARNESS_NAME_BYTES];

    snprintf(name, sizeof(name), "%s_p50_lag%d", what, lag);
    fleet_print(bench, name, fleet_hist_percentile(hist, 50), "ms");
    snprintf(name, sizeof(name), "%s_p99_lag%d", what, lag);
    fleet_print(bench, name, fleet_hist_percentile(hist, 99), "ms");
}

static void
measure_lag(fleet_bench_t *bench, int lag)
{
    fleet_stream_options_t streams[FLEET_ACCOUNTS];
    fleet_hist_t *other = fleet_hist_create();
    fleet_hist_t *write = fleet_hist_create();
    fleet_hist_t *same = fleet_hist_create();
    fleet_hist_t *moved = fleet_hist_create();
    int64_t reads = 0;
    int64_t replica = 0;
    int64_t follow = 0;
    int64_t follow_replica = 0;
    char json[64];
    char name[HARNESS_NAME_BYTES];

    snprintf(json, sizeof(json), "{\"lag_ms\":%d}", lag);
    fleet_set_target_faults(bench, json);
    fleet_fill_streams(bench, load_fraction, write_share, streams);
    for (size_t i = 0; i < FLEET_ACCOUNTS; i++) {
        streams[i].read_after_write = true;
    }
    fleet_load_t *load =
        fleet_run_load(bench, streams, FLEET_ACCOUNTS, RUN_MS);
    for (size_t i = 0; i < FLEET_ACCOUNTS; i++) {
        const fleet_stats_t *stats = fleet_load_stats(load, i);
        reads += stats->reads;
        replica += stats->replica_reads;
        follow += stats->after_write_reads;
        follow_replica += stats->after_write_replica_reads;
        fleet_hist_merge(other, stats->read_ms);
        fleet_hist_merge(write, stats->write_ms);
        fleet_hist_merge(same, stats->after_write_same_ms);
        fleet_hist_merge(moved, stats->after_write_other_ms);
    }
    snprintf(name, sizeof(name), "replica_read_share_lag%d", lag);
    fleet_print(bench, name, fleet_percentage(replica, reads), "%");
    snprintf(name, sizeof(name), "replica_read_share_after_write_lag%d", lag);
    fleet_print(bench, name, fleet_percentage(follow_replica, follow), "%");
    print_latency(bench, lag, "write", write);
    print_latency(bench, lag, "read_other", other);
    print_latency(bench, lag, "read_after_write_same_instance", same);
    print_latency(bench, lag, "read_after_write_other_instance", moved);
    fleet_print_errors("reads", load, FLEET_ACCOUNTS);
    fleet_load_destroy(load);
    fleet_hist_destroy(other);
    fleet_hist_destroy(write);
    fleet_hist_destroy(same);
    fleet_hist_destroy(moved);
}

void
fleet_part_reads(fleet_bench_t *bench)
{
    fleet_start(bench);
    measure_lag(bench, 20);
    measure_lag(bench, 200);
    fleet_stop(bench);
}
