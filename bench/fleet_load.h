#ifndef MR_BENCH_FLEET_LOAD_H
#define MR_BENCH_FLEET_LOAD_H

/*
 * Open-loop load: each stream sends one account's requests at Poisson
 * arrivals of its own, whatever the answers do. Latency counts from the time
 * at which the request was due, so that a slow answer cannot hide behind
 * requests that were sent late. Sessions continue at other instances.
 */

#include <glib.h>

#include "fleet_hist.h"
#include "integration/harness.h"

typedef struct fleet_stream_options {
    int account;
    double rate; /* arrivals a second, without the reads after writes */
    double write_share;
    /* Each acknowledged write is followed by a read of its session at once,
     * half of them at another instance. */
    bool follow;
    double skew;  /* Zipf exponent of the instances' shares; 0: even */
    mr_ms_t jump; /* demand moves to one other instance this often; 0: never */
    const char *shard; /* NULL: the session's key */
    bool direct;       /* to the targets instead of the instances */
    bool once;         /* not marked as idempotent: never sent again */
    mr_ms_t deadline;  /* 0: the route's */
} fleet_stream_options_t;

/** struct fleet_span - a request that ran was admitted within these times */
typedef struct fleet_span {
    double sent;
    double replied;
} fleet_span_t;

/** struct fleet_stats - what a stream saw after fleet_load_mark() */
typedef struct fleet_stats {
    int64_t sent;
    int64_t ran;
    int64_t limited; /* rate_limited */
    int64_t refused; /* other errors that say not_run */
    int64_t unknown;
    /* Requests that an ideal token bucket of the account would have let
     * through. */
    int64_t within;
    int64_t within_ran;
    int64_t within_limited;
    int64_t reads; /* that ran */
    int64_t replica_reads;
    int64_t follow_reads;
    int64_t follow_replica_reads;
    double last_ran; /* time of the last answer that ran */
    fleet_hist_t *read_ms;
    fleet_hist_t *write_ms;
    fleet_hist_t *follow_same_ms;
    fleet_hist_t *follow_other_ms;
    GHashTable *kinds; /* error kind -> count */
} fleet_stats_t;

typedef struct fleet_load fleet_load_t;

/** fleet_ack_fn_t - an acknowledged write
 * @target: that served it */
typedef void fleet_ack_fn_t(void *ctx, size_t stream, const char *target,
                            double at);

/** fleet_now() - monotonic time in ms, with fractions. */
double fleet_now(void);

fleet_load_t *fleet_load_start(harness_t *harness,
                               const fleet_stream_options_t *streams,
                               size_t count, unsigned long seed);

/** fleet_load_on_ack() - receive each acknowledged write. */
void fleet_load_on_ack(fleet_load_t *load, fleet_ack_fn_t *fn, void *ctx);

/** fleet_load_mark() - count requests from now on. */
void fleet_load_mark(fleet_load_t *load);

const fleet_stats_t *fleet_load_stats(const fleet_load_t *load, size_t stream);

/** fleet_load_over_admission() - the most requests that surely ran beyond
 * burst + rate x t in any interval of the whole run; 0 or below: none. */
double fleet_load_over_admission(const fleet_load_t *load, size_t stream);

/** fleet_load_stop() - send nothing more and wait for open requests. */
void fleet_load_stop(fleet_load_t *load);

void fleet_load_destroy(fleet_load_t *load);

#endif
