/* Unneeded failovers: the link from one observer of a group to the primary is
 * cut or slow, while the primary serves and all other links work. Writes are
 * not idempotent, so that an entry cannot hide a change of primary by retrying
 * them. */

#include <check.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "fleet_bench.h"

enum {
    FAULT_MS = 2000,
    SETTLE_MS = 1500,
    WRITE_RATE = 60,
};

/* Longer than an observer's probe timeout. */
static const char slow_link_fault[] = "{\"delay_to_caller_ms\":400}";
static const char cut_link_fault[] = "{\"cut\":\"both\"}";

typedef struct gap_watch {
    size_t stream;
    /* Time of the last acknowledged write, or of the start of the fault. */
    double last_ack_at;
    double longest_gap_ms; /* without an acknowledged write */
    bool is_counted;       /* true during a fault */
} gap_watch_t;

typedef struct run {
    fleet_bench_t *bench;
    gap_watch_t watch;
    int faults;
} run_t;

static void
on_ack(void *ctx, size_t stream, const char *target, double at)
{
    gap_watch_t *watch = ctx;

    (void)target;
    if (watch->is_counted && stream == watch->stream) {
        watch->longest_gap_ms =
            fmax(watch->longest_gap_ms, at - watch->last_ack_at);
        watch->last_ack_at = at;
    }
}

static void
fault_link(run_t *run, const char *from, const harness_target_t *primary,
           const char *json)
{
    harness_t *h = run->bench->h;
    char link[4 * HARNESS_NAME_BYTES];
    char restored[128];

    snprintf(link, sizeof(link), "%s--%s.%s", from, primary->data_centre,
             primary->process.name);
    run->watch.stream = (size_t)primary->group;
    run->watch.last_ack_at = fleet_now();
    run->watch.is_counted = true;
    harness_set_link_faults(h, link, json);
    harness_run_loop(h->base, FAULT_MS);
    run->watch.is_counted = false;
    run->watch.longest_gap_ms =
        fmax(run->watch.longest_gap_ms, fleet_now() - run->watch.last_ack_at);
    snprintf(restored, sizeof(restored),
             "{\"cut\":\"none\",\"delay_to_target_ms\":%d,"
             "\"delay_to_caller_ms\":%d}",
             run->bench->delay_to_target_ms, run->bench->delay_to_caller_ms);
    harness_set_link_faults(h, link, restored);
    harness_run_loop(h->base, SETTLE_MS);
    run->faults++;
}

/* Faults the links from the other observers of each group, one in the data
 * centre of each replica, to its primary, one link after the other. */
static void
fault_links(run_t *run, const char *fault, const char *json)
{
    harness_t *h = run->bench->h;
    char name[HARNESS_NAME_BYTES];
    int64_t before =
        fleet_counter_sum(run->bench, "masticrelay_promotions_total");

    run->watch.longest_gap_ms = 0;
    run->faults = 0;
    for (size_t i = 0; i < h->target_count; i++) {
        const harness_target_t *target = &h->targets[i];
        const harness_target_t *primary = harness_primary(h, target->group);
        if (primary != NULL && primary != target) {
            fault_link(run, target->data_centre, primary, json);
        }
    }
    snprintf(name, sizeof(name), "unneeded_failovers_%s", fault);
    fleet_print(
        run->bench, name,
        (double)(fleet_counter_sum(run->bench, "masticrelay_promotions_total")
                 - before),
        "failovers");
    snprintf(name, sizeof(name), "observer_link_faults_%s", fault);
    fleet_print(run->bench, name, run->faults, "faults");
    snprintf(name, sizeof(name), "observer_link_gap_max_%s", fault);
    fleet_print(run->bench, name, run->watch.longest_gap_ms, "ms");
    fleet_print_counter(run->bench, fault,
                        "masticrelay_promotions_vetoed_total");
}

void
fleet_part_observer_link(fleet_bench_t *bench)
{
    fleet_stream_options_t streams[FLEET_ACCOUNTS];
    char shards[FLEET_ACCOUNTS][HARNESS_NAME_BYTES] = {""};
    run_t run = {.bench = bench};
    int64_t unknown = 0;
    int64_t refused = 0;

    fleet_start(bench);
    harness_t *h = bench->h;
    size_t groups = (size_t)h->options.groups;
    fleet_find_shards(h, shards);
    for (size_t g = 0; g < groups; g++) {
        streams[g] = (fleet_stream_options_t){.account = (int)g,
                                              .rate = WRITE_RATE,
                                              .write_share = 1,
                                              .not_idempotent = true,
                                              .shard = shards[g]};
    }
    fleet_load_t *load = fleet_load_start(h, streams, groups, FLEET_SEED);
    fleet_load_on_ack(load, on_ack, &run.watch);
    harness_run_loop(h->base, FLEET_WARM_UP_MS);
    fleet_load_start_counting(load);
    fault_links(&run, "cut", cut_link_fault);
    fault_links(&run, "slow", slow_link_fault);
    fleet_load_stop(load);
    for (size_t g = 0; g < groups; g++) {
        unknown += fleet_load_stats(load, g)->unknown;
        refused += fleet_load_stats(load, g)->refused;
    }
    fleet_print(bench, "observer_link_unknown", (double)unknown, "writes");
    fleet_print(bench, "observer_link_refused", (double)refused, "writes");
    fleet_print_errors("observer_link", load, groups);
    fleet_load_destroy(load);
    fleet_stop(bench);
}
