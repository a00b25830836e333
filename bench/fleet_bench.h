#ifndef MR_BENCH_FLEET_BENCH_H
#define MR_BENCH_FLEET_BENCH_H

/* The parts of bench_fleet (`make bench`) and their common functions. */

#include "fleet_load.h"

enum {
    FLEET_ACCOUNTS = 8,
    FLEET_LARGE_ACCOUNTS = 2,
    FLEET_TARGETS_MAX = 16,
    FLEET_SEED = 20240901,
    FLEET_WARM_UP_MS = 2000,
};

/** struct fleet_bench - one of the deployments of docs/design.md 1.6 */
typedef struct fleet_bench {
    const char *name;
    harness_options_t options;
    /* One-way delays between data centres. The fault proxy accepts only whole
     * milliseconds; 1 ms and 2 ms make a mean one-way delay of 1.5 ms. */
    int delay_to_target_ms;
    int delay_to_caller_ms;
    harness_t *h; /* NULL unless the fleet runs */
} fleet_bench_t;

typedef void fleet_part_fn_t(fleet_bench_t *bench);

/** fleet_start() - start the fleet and delay links between data centres. */
void fleet_start(fleet_bench_t *bench);

/** fleet_stop() - stop the fleet and free its harness. */
void fleet_stop(fleet_bench_t *bench);

/** fleet_print() - print one result as "DEPLOYMENT.name value unit". */
void fleet_print(const fleet_bench_t *bench, const char *name, double value,
                 const char *unit);

/** fleet_print_errors() - print each stream's error counts by kind as comment
 * lines. */
void fleet_print_errors(const char *what, const fleet_load_t *load,
                        size_t count);

/** fleet_print_counter() - print fleet_counter_sum() as a comment line. */
void fleet_print_counter(const fleet_bench_t *bench, const char *what,
                         const char *counter);

/** fleet_counter_sum() - sum of metric @counter over all labels and daemons; a
 * daemon whose admin listener does not answer counts as 0. */
int64_t fleet_counter_sum(const fleet_bench_t *bench, const char *counter);

/** fleet_find_shards() - find one shard name for each group of the fleet, by
 * asking which target serves a read of it. */
void fleet_find_shards(harness_t *h, char (*shards)[HARNESS_NAME_BYTES]);

/** fleet_percentage() - @part of @whole in percent; 100 if @whole is 0. */
double fleet_percentage(int64_t part, int64_t whole);

/** fleet_fill_streams() - fill @out with one stream for each account, at
 * @fraction of the account's rate. */
void fleet_fill_streams(const fleet_bench_t *bench, double fraction,
                        double write_share,
                        fleet_stream_options_t out[FLEET_ACCOUNTS]);

/** fleet_set_target_faults() - send @json to /faults of each target. */
void fleet_set_target_faults(fleet_bench_t *bench, const char *json);

/** fleet_run_load() - run @streams for a warm-up and then for @ms, of which
 * the statistics are kept; the caller destroys the load. */
fleet_load_t *fleet_run_load(fleet_bench_t *bench,
                             const fleet_stream_options_t *streams,
                             size_t count, mr_ms_t ms);

fleet_part_fn_t fleet_part_reads;
fleet_part_fn_t fleet_part_failover;
fleet_part_fn_t fleet_part_observer_link;
fleet_part_fn_t fleet_part_worst_account;
fleet_part_fn_t fleet_part_refusals;
fleet_part_fn_t fleet_part_cost;
fleet_part_fn_t fleet_part_pool;

#endif
