/* Duration of failovers: from the kill of a primary, or the isolation of its
 * data centre, to the first acknowledged write of its group, with the store
 * up and down. The times of the stages come from the daemons' logs. */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "fleet_bench.h"

enum {
    FAILOVER_TIMEOUT_MS = 12000, /* then the failover counts as missed */
    SETTLE_MS = 2500,
    WRITE_RATE = 60,
    FAILOVERS_MAX = 32,
    LINE_BYTES = 512,
};

typedef enum failure {
    FAILURE_KILL,
    FAILURE_ISOLATION,
} failure_t;

/** Duration of the stages of one failover, in ms. */
typedef struct failover_times {
    double total;  /* from the failure to the first acknowledged write */
    double detect; /* until an observer suspects the primary */
    double decide; /* until the observer's turn comes and the others have
                    * answered */
    double grant;
    double promote;
    double publish; /* until the first acknowledged write */
} failover_times_t;

typedef struct ack_watch {
    char failed_primary[HARNESS_NAME_BYTES]; /* its name */
    char served_by[HARNESS_NAME_BYTES];
    double failed_at;
    double acked_at; /* 0: no acknowledged write yet */
    size_t stream;
} ack_watch_t;

typedef struct run {
    fleet_bench_t *bench;
    fleet_load_t *load;
    ack_watch_t watch;
    failover_times_t failovers[FAILOVERS_MAX];
    size_t count;
    size_t missed;
} run_t;

static void
on_ack(void *ctx, size_t stream, const char *target, double at)
{
    ack_watch_t *watch = ctx;

    if (watch->acked_at == 0 && watch->failed_at > 0 && stream == watch->stream
        && strcmp(target, watch->failed_primary) != 0) {
        watch->acked_at = at;
        snprintf(watch->served_by, sizeof(watch->served_by), "%s", target);
    }
}

/* Converts the wall time of a log line to the clock of fleet_now(); 0 if the
 * line has no time. */
static double
log_time(const char *line)
{
    struct tm tm = {0};
    struct timespec wall;
    int ms;

    if (sscanf(line, "time=%d-%d-%dT%d:%d:%d.%d", &tm.tm_year, &tm.tm_mon,
               &tm.tm_mday, &tm.tm_hour, &tm.tm_min, &tm.tm_sec, &ms)
        != 7) {
        return 0;
    }
    tm.tm_year -= 1900;
    tm.tm_mon -= 1;
    clock_gettime(CLOCK_REALTIME, &wall);
    double ago = ((double)wall.tv_sec - (double)timegm(&tm)) * 1e3
                 + (double)wall.tv_nsec / 1e6 - ms;
    return fleet_now() - ago;
}

static double
number_after(const char *line, const char *key)
{
    const char *found = strstr(line, key);

    return found == NULL ? 0 : strtod(found + strlen(key), NULL);
}

/* Reads the stages from the log line that reports the promotion of the target
 * that acknowledged the first write. */
static void
read_stage_times(const harness_t *h, const ack_watch_t *watch,
                 failover_times_t *times)
{
    char wanted[2 * HARNESS_NAME_BYTES];

    snprintf(wanted, sizeof(wanted), "target=%s ", watch->served_by);
    for (size_t i = 0; i < h->instance_count; i++) {
        FILE *log = fopen(h->instances[i].process.log, "re");
        char line[LINE_BYTES];
        while (log != NULL && fgets(line, sizeof(line), log) != NULL) {
            double at = log_time(line);
            if (strstr(line, "event=promoted ") == NULL
                || strstr(line, wanted) == NULL || at < watch->failed_at
                || at > watch->acked_at + 1) {
                continue;
            }
            times->decide = number_after(line, "decide_ms=");
            times->grant = number_after(line, "grant_ms=");
            times->promote = number_after(line, "promote_ms=");
            times->detect = at - watch->failed_at - times->decide
                            - times->grant - times->promote;
            times->publish = watch->acked_at - at;
        }
        if (log != NULL) {
            fclose(log);
        }
    }
}

static void
set_isolated(harness_t *h, const char *data_centre, bool isolated)
{
    for (size_t i = 0; h->options.data_centres[i] != NULL; i++) {
        if (strcmp(h->options.data_centres[i], data_centre) != 0) {
            harness_cut_links(h, data_centre, h->options.data_centres[i],
                              isolated);
        }
    }
}

/* Waits for a primary, as a failover that timed out may still be running; NULL
 * after FAILOVER_TIMEOUT_MS. */
static harness_target_t *
find_primary(harness_t *h, int group)
{
    double until = fleet_now() + FAILOVER_TIMEOUT_MS;
    harness_target_t *primary = harness_primary(h, group);

    while (primary == NULL && fleet_now() < until) {
        harness_run_loop(h->base, 100);
        primary = harness_primary(h, group);
    }
    return primary;
}

static void
measure_failover(run_t *run, int group, failure_t failure)
{
    harness_t *h = run->bench->h;
    harness_target_t *primary = find_primary(h, group);
    failover_times_t times = {.total = FAILOVER_TIMEOUT_MS};

    if (primary == NULL) {
        printf("# group %d has no primary\n", group);
        run->missed++;
        run->failovers[run->count++] = times;
        return;
    }
    run->watch = (ack_watch_t){.stream = (size_t)group};
    snprintf(run->watch.failed_primary, sizeof(run->watch.failed_primary),
             "%s", primary->process.name);
    run->watch.failed_at = fleet_now();
    if (failure == FAILURE_KILL) {
        harness_process_kill(&primary->process);
    }
    else {
        set_isolated(h, primary->data_centre, true);
    }
    while (run->watch.acked_at == 0
           && fleet_now() < run->watch.failed_at + FAILOVER_TIMEOUT_MS) {
        harness_run_loop(h->base, 10);
    }
    times.total = run->watch.acked_at - run->watch.failed_at;
    if (run->watch.acked_at == 0) {
        run->missed++;
        times.total = FAILOVER_TIMEOUT_MS;
    }
    else {
        read_stage_times(h, &run->watch, &times);
    }
    printf("# failover of %s by %s: gap %.0f ms, detect %.0f decide %.0f "
           "grant %.0f promote %.0f publish %.0f\n",
           run->watch.failed_primary,
           failure == FAILURE_KILL ? "kill" : "isolation", times.total,
           times.detect, times.decide, times.grant, times.promote,
           times.publish);
    fflush(stdout);
    run->failovers[run->count++] = times;
    if (failure == FAILURE_KILL) {
        harness_process_start(&primary->process);
    }
    else {
        set_isolated(h, primary->data_centre, false);
    }
    harness_run_loop(h->base, SETTLE_MS);
}

static int
compare_doubles(const void *one, const void *other)
{
    const double *a = one;
    const double *b = other;

    return (*a > *b) - (*a < *b);
}

/* Prints the median and maximum of one stage of the failovers from index
 * @first on; @offset is that of the stage in failover_times_t. */
static void
print_stage(const run_t *run, size_t first, const char *store,
            const char *stage, size_t offset)
{
    double values[FAILOVERS_MAX];
    char name[2 * HARNESS_NAME_BYTES];

    size_t count = run->count - first;

    for (size_t i = 0; i < count; i++) {
        memcpy(&values[i], (const char *)&run->failovers[first + i] + offset,
               sizeof(double));
    }
    qsort(values, count, sizeof(double), compare_doubles);
    snprintf(name, sizeof(name), "failover_%s_p50%s", stage, store);
    fleet_print(run->bench, name, values[count / 2], "ms");
    snprintf(name, sizeof(name), "failover_%s_max%s", stage, store);
    fleet_print(run->bench, name, values[count - 1], "ms");
}

static void
print_stages(const run_t *run, size_t first, const char *store)
{
    print_stage(run, first, store, "gap", offsetof(failover_times_t, total));
    print_stage(run, first, store, "detection",
                offsetof(failover_times_t, detect));
    print_stage(run, first, store, "decision",
                offsetof(failover_times_t, decide));
    print_stage(run, first, store, "granting",
                offsetof(failover_times_t, grant));
    print_stage(run, first, store, "promotion",
                offsetof(failover_times_t, promote));
    print_stage(run, first, store, "publishing",
                offsetof(failover_times_t, publish));
    printf("# failovers%s: %zu, %zu of all without an acknowledged write in "
           "%d ms\n",
           store, run->count - first, run->missed, FAILOVER_TIMEOUT_MS);
}

static void
measure_failovers(run_t *run, const char *store)
{
    static const failure_t failures[] = {FAILURE_KILL,      FAILURE_KILL,
                                         FAILURE_KILL,      FAILURE_ISOLATION,
                                         FAILURE_ISOLATION, FAILURE_ISOLATION};

    size_t first = run->count;

    for (size_t i = 0; i < sizeof(failures) / sizeof(*failures); i++) {
        measure_failover(run, (int)i % run->bench->h->options.groups,
                         failures[i]);
    }
    print_stages(run, first, store);
}

void
fleet_part_failover(fleet_bench_t *bench)
{
    fleet_stream_options_t streams[FLEET_ACCOUNTS];
    char shards[FLEET_ACCOUNTS][HARNESS_NAME_BYTES] = {""};
    run_t run = {.bench = bench};

    fleet_start(bench);
    harness_t *h = bench->h;
    fleet_find_shards(h, shards);
    for (int g = 0; g < h->options.groups; g++) {
        streams[g] = (fleet_stream_options_t){.account = g,
                                              .rate = WRITE_RATE,
                                              .write_share = 1,
                                              .shard = shards[g]};
    }
    run.load =
        fleet_load_start(h, streams, (size_t)h->options.groups, FLEET_SEED);
    fleet_load_on_ack(run.load, on_ack, &run.watch);
    harness_run_loop(h->base, FLEET_WARM_UP_MS);
    fleet_load_start_counting(run.load);
    measure_failovers(&run, "_store_up");
    harness_set_platform_faults(h, "{\"down\":true}");
    measure_failovers(&run, "_store_down");
    harness_set_platform_faults(h, "{\"down\":false}");
    print_stages(&run, 0, "");
    fleet_load_stop(run.load);
    fleet_print_errors("failover", run.load, (size_t)h->options.groups);
    fleet_load_destroy(run.load);
    fleet_stop(bench);
}
