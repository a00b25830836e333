/* Share of reads that lagging replicas serve, and the latency of reads that
 * must wait for a replica that has the session's writes. */

#include <stdio.h>

#include "fleet_bench.h"

enum { RUN_MS = 10000 };

static const double load_fraction = 0.6;
/* As a read follows each write, one request in ten is a write. */
static const double write_share = 1.0 / 9;

static void
print_latency(const fleet_bench_t *bench, int lag_ms, const char *what,
              const fleet_hist_t *hist)
{
    char name[HARNESS_NAME_BYTES];

    snprintf(name, sizeof(name), "%s_p50_lag%d", what, lag_ms);
    fleet_print(bench, name, fleet_hist_percentile(hist, 50), "ms");
    snprintf(name, sizeof(name), "%s_p99_lag%d", what, lag_ms);
    fleet_print(bench, name, fleet_hist_percentile(hist, 99), "ms");
}

static void
measure_lag(fleet_bench_t *bench, int lag_ms)
{
    fleet_stream_options_t streams[FLEET_ACCOUNTS];
    fleet_hist_t *read = fleet_hist_create();
    fleet_hist_t *write = fleet_hist_create();
    fleet_hist_t *after_write_same = fleet_hist_create();
    fleet_hist_t *after_write_other = fleet_hist_create();
    int64_t reads = 0;
    int64_t replica = 0;
    int64_t after_write = 0;
    int64_t after_write_replica = 0;
    char json[64];
    char name[HARNESS_NAME_BYTES];

    snprintf(json, sizeof(json), "{\"lag_ms\":%d}", lag_ms);
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
        after_write += stats->after_write_reads;
        after_write_replica += stats->after_write_replica_reads;
        fleet_hist_merge(read, stats->read_ms);
        fleet_hist_merge(write, stats->write_ms);
        fleet_hist_merge(after_write_same, stats->after_write_same_ms);
        fleet_hist_merge(after_write_other, stats->after_write_other_ms);
    }
    snprintf(name, sizeof(name), "replica_read_share_lag%d", lag_ms);
    fleet_print(bench, name, fleet_percentage(replica, reads), "%");
    snprintf(name, sizeof(name), "replica_read_share_after_write_lag%d",
             lag_ms);
    fleet_print(bench, name,
                fleet_percentage(after_write_replica, after_write), "%");
    print_latency(bench, lag_ms, "write", write);
    print_latency(bench, lag_ms, "read_other", read);
    print_latency(bench, lag_ms, "read_after_write_same_instance",
                  after_write_same);
    print_latency(bench, lag_ms, "read_after_write_other_instance",
                  after_write_other);
    fleet_print_errors("reads", load, FLEET_ACCOUNTS);
    fleet_load_destroy(load);
    fleet_hist_destroy(read);
    fleet_hist_destroy(write);
    fleet_hist_destroy(after_write_same);
    fleet_hist_destroy(after_write_other);
}

void
fleet_part_reads(fleet_bench_t *bench)
{
    fleet_start(bench);
    measure_lag(bench, 20);
    measure_lag(bench, 200);
    fleet_stop(bench);
}
