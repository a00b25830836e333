/* Gap in service after a primary is lost: from its kill, or the isolation of
 * its data centre, to the first acknowledged write of its group, with the
 * store up and down. The stages come from the daemon's log. */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "fleet_bench.h"

enum {
    GAP_LIMIT_MS = 12000, /* no longer measured */
    SETTLE_MS = 2500,
    STREAM_RATE = 60,
    GAPS_MAX = 32,
    LINE_BYTES = 512,
};

typedef enum loss {
    LOSS_KILL,
    LOSS_ISOLATION,
} loss_t;

/** One failover, in ms from the loss. */
typedef struct gap {
    double total;
    double detect; /* until an observer suspects the primary */
    double decide; /* turn of the observer, questions to the others */
    double grant;
    double promote;
    double publish; /* until the first acknowledged write */
} gap_t;

typedef struct watch {
    char lost[HARNESS_NAME_BYTES]; /* the lost primary */
    char served_by[HARNESS_NAME_BYTES];
    double lost_at;
    double acked_at; /* 0: not yet */
    size_t stream;
} watch_t;

typedef struct run {
    fleet_bench_t *bench;
    fleet_load_t *load;
    watch_t watch;
    gap_t gaps[GAPS_MAX];
    size_t count;
    size_t missed;
} run_t;

static void
on_ack(void *ctx, size_t stream, const char *target, double at)
{
    watch_t *watch = ctx;

    if (watch->acked_at == 0 && watch->lost_at > 0 && stream == watch->stream
        && strcmp(target, watch->lost) != 0) {
        watch->acked_at = at;
        snprintf(watch->served_by, sizeof(watch->served_by), "%s", target);
    }
}

/* Wall time of a log line as monotonic time. */
static double
line_time(const char *line)
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
    const char *at = strstr(line, key);

    return at == NULL ? 0 : strtod(at + strlen(key), NULL);
}

/* Take the stages from the promotion of the target that answered first. */
static void
read_stages(const harness_t *h, const watch_t *watch, gap_t *gap)
{
    char wanted[2 * HARNESS_NAME_BYTES];

    snprintf(wanted, sizeof(wanted), "target=%s ", watch->served_by);
    for (size_t i = 0; i < h->instance_count; i++) {
        FILE *log = fopen(h->instances[i].process.log, "re");
        char line[LINE_BYTES];
        while (log != NULL && fgets(line, sizeof(line), log) != NULL) {
            double at = line_time(line);
            if (strstr(line, "event=promoted ") == NULL
                || strstr(line, wanted) == NULL || at < watch->lost_at
                || at > watch->acked_at + 1) {
                continue;
            }
            gap->decide = number_after(line, "decide_ms=");
            gap->grant = number_after(line, "grant_ms=");
            gap->promote = number_after(line, "promote_ms=");
            gap->detect =
                at - watch->lost_at - gap->decide - gap->grant - gap->promote;
            gap->publish = watch->acked_at - at;
        }
        if (log != NULL) {
            fclose(log);
        }
    }
}

static void
isolate(harness_t *h, const char *place, bool cut)
{
    for (size_t i = 0; h->options.data_centres[i] != NULL; i++) {
        if (strcmp(h->options.data_centres[i], place) != 0) {
            harness_cut_links(h, place, h->options.data_centres[i], cut);
        }
    }
}

/* A failover that missed its goal may still run; NULL after GAP_LIMIT_MS. */
static harness_target_t *
find_primary(harness_t *h, int group)
{
    double until = fleet_now() + GAP_LIMIT_MS;
    harness_target_t *primary = harness_primary(h, group);

    while (primary == NULL && fleet_now() < until) {
        harness_run_loop(h->base, 100);
        primary = harness_primary(h, group);
    }
    return primary;
}

static void
fail_over(run_t *run, int group, loss_t loss)
{
    harness_t *h = run->bench->h;
    harness_target_t *primary = find_primary(h, group);
    gap_t gap = {.total = GAP_LIMIT_MS};

    if (primary == NULL) {
        printf("# group %d has no primary\n", group);
        run->missed++;
        run->gaps[run->count++] = gap;
        return;
    }
    run->watch = (watch_t){.stream = (size_t)group};
    snprintf(run->watch.lost, sizeof(run->watch.lost), "%s",
             primary->process.name);
    run->watch.lost_at = fleet_now();
    if (loss == LOSS_KILL) {
        harness_process_kill(&primary->process);
    }
    else {
        isolate(h, primary->data_centre, true);
    }
    while (run->watch.acked_at == 0
           && fleet_now() < run->watch.lost_at + GAP_LIMIT_MS) {
        harness_run_loop(h->base, 10);
    }
    gap.total = run->watch.acked_at - run->watch.lost_at;
    if (run->watch.acked_at == 0) {
        run->missed++;
        gap.total = GAP_LIMIT_MS;
    }
    else {
        read_stages(h, &run->watch, &gap);
    }
    printf("# failover of %s by %s: gap %.0f ms, detect %.0f decide %.0f "
           "grant %.0f promote %.0f publish %.0f\n",
           run->watch.lost, loss == LOSS_KILL ? "kill" : "isolation",
           gap.total, gap.detect, gap.decide, gap.grant, gap.promote,
           gap.publish);
    fflush(stdout);
    run->gaps[run->count++] = gap;
    if (loss == LOSS_KILL) {
        harness_process_start(&primary->process);
    }
    else {
        isolate(h, primary->data_centre, false);
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

/* Prints median and maximum of one field of all gaps. */
static void
print_field(const run_t *run, size_t first, const char *store,
            const char *field, size_t offset)
{
    double values[GAPS_MAX];
    char name[2 * HARNESS_NAME_BYTES];

    size_t count = run->count - first;

    for (size_t i = 0; i < count; i++) {
        memcpy(&values[i], (const char *)&run->gaps[first + i] + offset,
               sizeof(double));
    }
    qsort(values, count, sizeof(double), compare_doubles);
    snprintf(name, sizeof(name), "failover_%s_p50%s", field, store);
    fleet_print(run->bench, name, values[count / 2], "ms");
    snprintf(name, sizeof(name), "failover_%s_max%s", field, store);
    fleet_print(run->bench, name, values[count - 1], "ms");
}

static void
print_gaps(const run_t *run, size_t first, const char *store)
{
    print_field(run, first, store, "gap", offsetof(gap_t, total));
    print_field(run, first, store, "detection", offsetof(gap_t, detect));
    print_field(run, first, store, "decision", offsetof(gap_t, decide));
    print_field(run, first, store, "granting", offsetof(gap_t, grant));
    print_field(run, first, store, "promotion", offsetof(gap_t, promote));
    print_field(run, first, store, "publishing", offsetof(gap_t, publish));
    printf("# failovers%s: %zu, %zu of all without an acknowledged write in "
           "%d ms\n",
           store, run->count - first, run->missed, GAP_LIMIT_MS);
}

static void
measure_failovers(run_t *run, const char *store)
{
    static const loss_t losses[] = {LOSS_KILL,      LOSS_KILL,
                                    LOSS_KILL,      LOSS_ISOLATION,
                                    LOSS_ISOLATION, LOSS_ISOLATION};

    size_t first = run->count;

    for (size_t i = 0; i < sizeof(losses) / sizeof(*losses); i++) {
        fail_over(run, (int)i % run->bench->h->options.groups, losses[i]);
    }
    print_gaps(run, first, store);
}

void
fleet_part_failover(fleet_bench_t *bench)
{
    fleet_stream_options_t streams[FLEET_ACCOUNTS];
    char shards[FLEET_ACCOUNTS][HARNESS_NAME_BYTES] = {""};
    run_t run = {.bench = bench};

    fleet_up(bench);
    harness_t *h = bench->h;
    fleet_find_shards(h, shards);
    for (int g = 0; g < h->options.groups; g++) {
        streams[g] = (fleet_stream_options_t){.account = g,
                                              .rate = STREAM_RATE,
                                              .write_share = 1,
                                              .shard = shards[g]};
    }
    run.load =
        fleet_load_start(h, streams, (size_t)h->options.groups, FLEET_SEED);
    fleet_load_on_ack(run.load, on_ack, &run.watch);
    harness_run_loop(h->base, FLEET_WARM_UP_MS);
    fleet_load_mark(run.load);
    measure_failovers(&run, "_store_up");
    harness_set_platform_faults(h, "{\"down\":true}");
    measure_failovers(&run, "_store_down");
    harness_set_platform_faults(h, "{\"down\":false}");
    print_gaps(&run, 0, "");
    fleet_load_stop(run.load);
    fleet_print_errors("failover", run.load, (size_t)h->options.groups);
    fleet_load_destroy(run.load);
    fleet_down(bench);
}
