#ifndef MR_BENCH_FLEET_LOAD_H
#define MR_BENCH_FLEET_LOAD_H

/*
 * Open-loop load generator: each stream sends the requests of one account as
 * a Poisson process, independent of the answers. Latency counts from the
 * scheduled time of a request, so that requests sent late because of a slow
 * answer are not left out (coordinated omission). Sessions move between
 * instances.
 */

#include <glib.h>

#include "fleet_hist.h"
#include "integration/harness.h"

typedef struct fleet_stream_options {
    int account;
    double rate; /* requests per second, without reads after writes */
    double write_share;
    /* Send a read in the same session right after each acknowledged write,
     * half of them to another instance. */
    bool read_after_write;
    double skew; /* Zipf exponent of the instances' shares; 0: equal */
    /* Send all requests to a single instance, and to another one after each
     * interval; 0: spread them over the instances by @skew. */
    mr_ms_t move_interval_ms;
    const char *shard;   /* NULL: the session's key is the shard */
    bool direct;         /* send to the targets instead of the instances */
    bool not_idempotent; /* so the relay does not retry the requests */
    mr_ms_t deadline_ms; /* 0: that of the route */
} fleet_stream_options_t;

/** struct fleet_interval - times between which a request was admitted */
typedef struct fleet_interval {
    double sent;
    double replied;
} fleet_interval_t;

/** struct fleet_stats - results since fleet_load_start_counting() */
typedef struct fleet_stats {
    int64_t sent;
    int64_t ran;
    int64_t limited; /* errors of kind rate_limited */
    int64_t refused; /* other errors with outcome not_run */
    int64_t unknown; /* errors with any other outcome, or no answer */
    /* Requests that an ideal token bucket of the account would have
     * admitted. */
    int64_t within_rate;
    int64_t within_rate_ran;
    int64_t within_rate_limited;
    int64_t reads; /* that ran; includes those after writes */
    int64_t replica_reads;
    int64_t after_write_reads;
    int64_t after_write_replica_reads;
    double last_ran_at; /* time of the last answer that ran */
    fleet_hist_t *read_ms;
    fleet_hist_t *write_ms;
    fleet_hist_t *after_write_same_ms;
    fleet_hist_t *after_write_other_ms;
    GHashTable *error_kinds; /* error kind -> count */
} fleet_stats_t;

typedef struct fleet_load fleet_load_t;

/** fleet_ack_fn_t - called for each acknowledged write
 * @target: name of the target that served it */
typedef void fleet_ack_fn_t(void *ctx, size_t stream, const char *target,
                            double at);

/** fleet_now() - monotonic time in ms, with a fractional part. */
double fleet_now(void);

/** fleet_load_start() - start sending; harness_run_loop() processes the
 * events. */
fleet_load_t *fleet_load_start(harness_t *harness,
                               const fleet_stream_options_t *streams,
                               size_t count, unsigned long seed);

/** fleet_load_on_ack() - call @fn for each acknowledged write. */
void fleet_load_on_ack(fleet_load_t *load, fleet_ack_fn_t *fn, void *ctx);

/** fleet_load_start_counting() - reset the statistics and count only requests
 * that are scheduled from now on. */
void fleet_load_start_counting(fleet_load_t *load);

const fleet_stats_t *fleet_load_stats(const fleet_load_t *load, size_t stream);

/** fleet_load_over_admission() - the largest number of requests that certainly
 * ran beyond burst + rate x t in any interval of length t of the whole run; 0
 * or less: none. */
double fleet_load_over_admission(const fleet_load_t *load, size_t stream);

/** fleet_load_stop() - stop sending and wait for open requests. */
void fleet_load_stop(fleet_load_t *load);

void fleet_load_destroy(fleet_load_t *load);

#endif
