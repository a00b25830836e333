#include "common/memory.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/list.h"
#include "common/log.h"
#include "common/mem.h"
#include "common/timer.h"

enum {
    MEASURE_INTERVAL_MS = 250,
    /* Interval in which free pages are given back at the critical level, which
     * visits all free blocks. */
    TRIM_INTERVAL_MS = 1000,
    /* Blocks from this size on are mapped, and given back when freed. By
     * default the allocator raises its threshold to the largest block that was
     * freed, and later blocks of that size split the heap. */
    MAPPED_BLOCK_BYTES = 128 * 1024,
};

static const char *const level_names[MR_MEMORY_LEVELS] = {"normal", "refusing",
                                                          "critical"};

static const int level_percent[MR_MEMORY_LEVELS] = {
    0, MR_MEMORY_REFUSING_PERCENT, MR_MEMORY_CRITICAL_PERCENT};

typedef struct gauge {
    mr_list_t link;
    char *name;
    mr_counter_t *counter;
    int64_t (*read)(void *ctx);
    void *ctx;
} gauge_t;

struct mr_memory {
    mr_memory_options_t options;
    mr_memory_level_t level;
    int64_t in_use;
    int64_t held;
    mr_ms_t trimmed_at;
    mr_list_t gauges;
    void (*handler)(void *ctx);
    void *handler_ctx;
    struct event *timer;
    mr_counter_t *in_use_gauge;
    mr_counter_t *peak_gauge;
    mr_counter_t *held_gauge;
    mr_counter_t *level_gauge;
};

static void
measure(mr_memory_t *memory)
{
    struct mallinfo2 info = mallinfo2();

    memory->held = (int64_t)(info.arena + info.hblkhd);
    mr_counter_set(memory->held_gauge, memory->held);
    mr_memory_set_in_use(memory, (int64_t)(info.uordblks + info.hblkhd));
}

static void
give_pages_back(mr_memory_t *memory)
{
    mr_ms_t now = mr_clock_now(NULL);

    if (now - memory->trimmed_at >= TRIM_INTERVAL_MS) {
        memory->trimmed_at = now;
        malloc_trim(0);
    }
}

static void
on_timer(evutil_socket_t fd, short what, void *ctx)
{
    mr_memory_t *memory = ctx;

    (void)fd;
    (void)what;
    measure(memory);
    if (memory->level == MR_MEMORY_CRITICAL) {
        give_pages_back(memory);
    }
    mr_timer_start(memory->timer, MEASURE_INTERVAL_MS);
}

mr_memory_t *
mr_memory_create(const mr_memory_options_t *options)
{
    mr_memory_t *memory = MR_NEW(mr_memory_t);
    mr_counters_t *counters = options->counters;

    memory->options = *options;
    mr_list_init(&memory->gauges);
    memory->in_use_gauge =
        mr_counters_get(counters, "masticrelay_memory_in_use_bytes", "",
                        "memory allocated by the process");
    memory->peak_gauge =
        mr_counters_get(counters, "masticrelay_memory_peak_bytes", "",
                        "highest measured memory in use");
    memory->held_gauge = mr_counters_get(
        counters, "masticrelay_memory_held_bytes", "",
        "address space of the allocator, including free blocks");
    memory->level_gauge = mr_counters_get(
        counters, "masticrelay_memory_level", "",
        "0: normal, 1: new work is refused, 2: memory is freed as well");
    mr_counter_set(mr_counters_get(counters, "masticrelay_memory_limit_bytes",
                                   "", "memory limit, 0 if not known"),
                   options->limit);
    if (options->base != NULL) {
        mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES);
        memory->timer = evtimer_new(options->base, on_timer, memory);
        on_timer(-1, 0, memory);
    }
    return memory;
}

void
mr_memory_destroy(mr_memory_t *memory)
{
    mr_list_t *link;

    if (memory == NULL) {
        return;
    }
    while ((link = mr_list_pop(&memory->gauges)) != NULL) {
        gauge_t *gauge = MR_LIST_ENTRY(link, gauge_t, link);
        free(gauge->name);
        free(gauge);
    }
    if (memory->timer != NULL) {
        event_free(memory->timer);
    }
    free(memory);
}

mr_memory_level_t
mr_memory_level(const mr_memory_t *memory)
{
    return memory != NULL ? memory->level : MR_MEMORY_NORMAL;
}

int64_t
mr_memory_limit(const mr_memory_t *memory)
{
    return memory != NULL ? memory->options.limit : 0;
}

/* Bytes in use from which @level begins or, once it holds, goes on. */
static int64_t
threshold(const mr_memory_t *memory, mr_memory_level_t level)
{
    int percent = level_percent[level];

    if (memory->level >= level) {
        percent -= MR_MEMORY_HYSTERESIS_PERCENT;
    }
    return memory->options.limit / 100 * percent;
}

int64_t
mr_memory_excess(const mr_memory_t *memory)
{
    if (mr_memory_level(memory) != MR_MEMORY_CRITICAL) {
        return 0;
    }
    return memory->in_use - threshold(memory, MR_MEMORY_CRITICAL) + 1;
}

const char *
mr_memory_level_name(mr_memory_level_t level)
{
    return level_names[level];
}

void
mr_memory_add_gauge(mr_memory_t *memory, const char *name, const char *help,
                    int64_t (*read)(void *ctx), void *ctx)
{
    gauge_t *gauge = MR_NEW(gauge_t);
    char *metric = mr_asprintf("masticrelay_%s", name);

    gauge->name = mr_strdup(name);
    gauge->counter =
        mr_counters_get(memory->options.counters, metric, "", help);
    gauge->read = read;
    gauge->ctx = ctx;
    mr_list_append(&memory->gauges, &gauge->link);
    free(metric);
}

void
mr_memory_set_handler(mr_memory_t *memory, void (*fn)(void *ctx), void *ctx)
{
    memory->handler = fn;
    memory->handler_ctx = ctx;
}

static mr_memory_level_t
find_level(const mr_memory_t *memory, int64_t in_use)
{
    mr_memory_level_t level = MR_MEMORY_NORMAL;

    if (memory->options.limit <= 0) {
        return level;
    }
    for (int i = MR_MEMORY_NORMAL + 1; i < MR_MEMORY_LEVELS; i++) {
        if (in_use >= threshold(memory, (mr_memory_level_t)i)) {
            level = (mr_memory_level_t)i;
        }
    }
    return level;
}

static void
log_level(const mr_memory_t *memory, mr_memory_level_t from)
{
    char *gauges = mr_strdup("");

    MR_LIST_FOREACH(it, &memory->gauges)
    {
        const gauge_t *gauge = MR_LIST_ENTRY(it, gauge_t, link);
        char *longer = mr_asprintf(
            "%s%s%s:%lld", gauges, gauges[0] != '\0' ? "," : "", gauge->name,
            (long long)mr_counter_value(gauge->counter));
        free(gauges);
        gauges = longer;
    }
    mr_log(memory->level > from ? MR_LOG_WARNING : MR_LOG_INFO,
           MR_EVENT_MEMORY_LEVEL,
           "from=%s to=%s in_use=%lld held=%lld limit=%lld gauges=%s",
           level_names[from], level_names[memory->level],
           (long long)memory->in_use, (long long)memory->held,
           (long long)memory->options.limit, gauges);
    free(gauges);
}

void
mr_memory_set_in_use(mr_memory_t *memory, int64_t in_use)
{
    mr_memory_level_t from = memory->level;

    MR_LIST_FOREACH(it, &memory->gauges)
    {
        gauge_t *gauge = MR_LIST_ENTRY(it, gauge_t, link);
        mr_counter_set(gauge->counter, gauge->read(gauge->ctx));
    }
    memory->in_use = in_use;
    mr_counter_set(memory->in_use_gauge, in_use);
    if (in_use > mr_counter_value(memory->peak_gauge)) {
        mr_counter_set(memory->peak_gauge, in_use);
    }
    memory->level = find_level(memory, in_use);
    mr_counter_set(memory->level_gauge, memory->level);
    if (memory->level != from) {
        log_level(memory, from);
    }
    if (memory->handler != NULL) {
        memory->handler(memory->handler_ctx);
    }
}
