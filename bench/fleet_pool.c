/* Latency, refusals and connections at the targets, under a load close to
 * their capacity for concurrent statements. */

#include <check.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "fleet_bench.h"

enum {
    RUN_MS = 8000,
    STATEMENT_MS = 15, /* keeps replicas of ovakoy about 80 % busy */
};

static const double load_fraction = 0.5;
static const double write_share = 0.1;

static const harness_target_t *
target_of_link(const harness_t *h, const char *link)
{
    const char *name = strrchr(link, '.');

    for (size_t i = 0; name != NULL && i < h->target_count; i++) {
        if (strcmp(h->targets[i].process.name, name + 1) == 0) {
            return &h->targets[i];
        }
    }
    return NULL;
}

/* Counts the open connections at the targets by the fault proxy's links; those
 * of observers and of replication are included. */
static void
print_connections(const fleet_bench_t *bench)
{
    harness_t *h = bench->h;
    double open[FLEET_TARGETS_MAX] = {0};
    double sum = 0;
    double most = 0;
    json_t *reply = NULL;
    json_t *link;
    size_t i;

    ck_assert_uint_le(h->target_count, FLEET_TARGETS_MAX);
    ck_assert_int_eq(harness_http(h->base, "GET", h->proxy.address, "/links",
                                  NULL, NULL, &reply),
                     200);
    json_array_foreach(json_object_get(reply, "links"), i, link)
    {
        const harness_target_t *target = target_of_link(
            h, json_string_value(json_object_get(link, "name")));
        if (target != NULL) {
            double count = (double)json_integer_value(
                json_object_get(link, "connections"));
            open[target - h->targets] += count;
            sum += count;
        }
    }
    json_decref(reply);
    for (i = 0; i < h->target_count; i++) {
        most = fmax(most, open[i]);
    }
    fleet_print(bench, "pool_connections_all_targets", sum, "connections");
    fleet_print(bench, "pool_connections_max_target", most, "connections");
}

static void
print_latency(const fleet_bench_t *bench, const char *what,
              const fleet_hist_t *hist)
{
    char name[HARNESS_NAME_BYTES];

    snprintf(name, sizeof(name), "pool_%s_p50", what);
    fleet_print(bench, name, fleet_hist_percentile(hist, 50), "ms");
    snprintf(name, sizeof(name), "pool_%s_p99", what);
    fleet_print(bench, name, fleet_hist_percentile(hist, 99), "ms");
}

static void
print_answers(const fleet_bench_t *bench, const fleet_load_t *load)
{
    fleet_hist_t *reads = fleet_hist_create();
    fleet_hist_t *writes = fleet_hist_create();
    int64_t sent = 0;
    int64_t refused = 0;
    int64_t unknown = 0;

    for (size_t i = 0; i < FLEET_ACCOUNTS; i++) {
        const fleet_stats_t *stats = fleet_load_stats(load, i);
        fleet_hist_merge(reads, stats->read_ms);
        fleet_hist_merge(writes, stats->write_ms);
        sent += stats->sent - stats->limited;
        refused += stats->refused;
        unknown += stats->unknown;
    }
    print_latency(bench, "read", reads);
    print_latency(bench, "write", writes);
    fleet_print(bench, "pool_refused", fleet_percentage(refused, sent), "%");
    fleet_print(bench, "pool_unknown", fleet_percentage(unknown, sent), "%");
    fleet_hist_destroy(reads);
    fleet_hist_destroy(writes);
}

void
fleet_part_pool(fleet_bench_t *bench)
{
    fleet_stream_options_t streams[FLEET_ACCOUNTS];

    bench->options.statement_ms = STATEMENT_MS;
    fleet_start(bench);
    fleet_fill_streams(bench, load_fraction, write_share, streams);
    fleet_load_t *load =
        fleet_load_start(bench->h, streams, FLEET_ACCOUNTS, FLEET_SEED);
    harness_run_loop(bench->h->base, FLEET_WARM_UP_MS);
    fleet_load_start_counting(load);
    harness_run_loop(bench->h->base, RUN_MS);
    print_connections(bench);
    fleet_load_stop(load);
    print_answers(bench, load);
    fleet_print_errors("pool", load, FLEET_ACCOUNTS);
    fleet_print_counter(bench, "pool", "masticrelay_pool_waits_total");
    fleet_print_counter(bench, "pool", "masticrelay_pool_sheds_total");
    fleet_print_counter(bench, "pool", "masticrelay_pool_queue_ms_total");
    fleet_print_counter(bench, "pool", "masticrelay_pool_opened_total");
    fleet_load_destroy(load);
    fleet_stop(bench);
}
