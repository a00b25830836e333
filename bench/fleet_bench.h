#ifndef MR_BENCH_FLEET_BENCH_H
#define MR_BENCH_FLEET_BENCH_H

/* The parts of `make bench` that need a fleet, and what they share. */

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
    /* Delay between data centres, in whole milliseconds as the fault proxy
     * takes it; 1.5 ms is made of 1 ms there and 2 ms back. */
    int delay_there;
    int delay_back;
    harness_t *h; /* between fleet_up() and fleet_down() */
} fleet_bench_t;

typedef void fleet_part_fn_t(fleet_bench_t *bench);

/** fleet_up() - start the fleet with its delays. */
void fleet_up(fleet_bench_t *bench);
void fleet_down(fleet_bench_t *bench);

/** fleet_print() - one line: DEPLOYMENT.name value unit. */
void fleet_print(const fleet_bench_t *bench, const char *name, double value,
                 const char *unit);

/** fleet_print_errors() - counts of errors by kind, as a comment line. */
void fleet_print_errors(const char *what, const fleet_load_t *load,
                        size_t count);

/** fleet_print_counter() - the same as a comment line. */
void fleet_print_counter(const fleet_bench_t *bench, const char *what,
                         const char *counter);

/** fleet_counter_sum() - sum over the daemons' admin listeners; a daemon that
 * does not answer counts as 0. */
int64_t fleet_counter_sum(const fleet_bench_t *bench, const char *counter);

/** fleet_find_shards() - a shard of each group of the fleet. */
void fleet_find_shards(harness_t *h, char (*shards)[HARNESS_NAME_BYTES]);

/** fleet_share() - percent, 100 when @whole is 0. */
double fleet_share(int64_t part, int64_t whole);

/** fleet_even_streams() - one stream for each account at @fraction of its
 * rate. */
void fleet_even_streams(const fleet_bench_t *bench, double fraction,
                        double write_share,
                        fleet_stream_options_t out[FLEET_ACCOUNTS]);

/** fleet_target_faults() - POST /faults at all targets. */
void fleet_target_faults(fleet_bench_t *bench, const char *json);

/** fleet_measure() - run @streams for a warm-up and then @ms that counts;
 * the caller reads the figures and destroys the load. */
fleet_load_t *fleet_measure(fleet_bench_t *bench,
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
