/* Tests the memory levels: thresholds, hysteresis, and the gauges, and that
 * freed memory is given back. */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../common/runner.h"
#include "common/clock.h"
#include "common/mem.h"
#include "common/memory.h"

enum { LIMIT = 100 * 1000 * 1000, BLOCK_BYTES = 8 << 20 };

static mr_counters_t *counters;

static void
set_up(void)
{
    counters = mr_counters_create();
}

static void
tear_down(void)
{
    mr_counters_destroy(counters);
}

static int64_t
value(const char *name)
{
    return mr_counter_value(mr_counters_get(counters, name, "", ""));
}

static void
set_percent(mr_memory_t *memory, int percent)
{
    mr_memory_set_in_use(memory, (int64_t)LIMIT / 100 * percent);
}

START_TEST(test_a_level_starts_at_its_threshold_and_ends_below_it)
{
    mr_memory_t *memory = mr_memory_create(
        &(mr_memory_options_t){.counters = counters, .limit = LIMIT});

    set_percent(memory, MR_MEMORY_REFUSING_PERCENT - 1);
    ck_assert_int_eq(mr_memory_level(memory), MR_MEMORY_NORMAL);
    set_percent(memory, MR_MEMORY_REFUSING_PERCENT);
    ck_assert_int_eq(mr_memory_level(memory), MR_MEMORY_REFUSING);
    set_percent(memory, MR_MEMORY_REFUSING_PERCENT - 1);
    ck_assert_int_eq(mr_memory_level(memory), MR_MEMORY_REFUSING);
    set_percent(memory, MR_MEMORY_CRITICAL_PERCENT);
    ck_assert_int_eq(mr_memory_level(memory), MR_MEMORY_CRITICAL);
    set_percent(memory, MR_MEMORY_CRITICAL_PERCENT - 1);
    ck_assert_int_eq(mr_memory_level(memory), MR_MEMORY_CRITICAL);
    set_percent(memory,
                MR_MEMORY_CRITICAL_PERCENT - MR_MEMORY_HYSTERESIS_PERCENT - 1);
    ck_assert_int_eq(mr_memory_level(memory), MR_MEMORY_REFUSING);
    set_percent(memory,
                MR_MEMORY_REFUSING_PERCENT - MR_MEMORY_HYSTERESIS_PERCENT - 1);
    ck_assert_int_eq(mr_memory_level(memory), MR_MEMORY_NORMAL);
    mr_memory_destroy(memory);
}
END_TEST

START_TEST(test_without_a_limit_the_level_is_normal)
{
    mr_memory_t *memory =
        mr_memory_create(&(mr_memory_options_t){.counters = counters});

    mr_memory_set_in_use(memory, INT64_MAX);
    ck_assert_int_eq(mr_memory_level(memory), MR_MEMORY_NORMAL);
    ck_assert_int_eq(mr_memory_level(NULL), MR_MEMORY_NORMAL);
    mr_memory_destroy(memory);
}
END_TEST

static int64_t
read_number(void *ctx)
{
    return *(int64_t *)ctx;
}

START_TEST(test_gauges_follow_each_measurement)
{
    int64_t number = 7;
    mr_memory_t *memory = mr_memory_create(
        &(mr_memory_options_t){.counters = counters, .limit = LIMIT});

    mr_memory_add_gauge(memory, "number", "", read_number, &number);
    set_percent(memory, MR_MEMORY_CRITICAL_PERCENT);
    set_percent(memory, 1);
    ck_assert_int_eq(value("masticrelay_number"), 7);
    ck_assert_int_eq(value("masticrelay_memory_limit_bytes"), LIMIT);
    ck_assert_int_eq(value("masticrelay_memory_in_use_bytes"), LIMIT / 100);
    ck_assert_int_eq(value("masticrelay_memory_peak_bytes"),
                     LIMIT / 100 * MR_MEMORY_CRITICAL_PERCENT);
    ck_assert_int_eq(value("masticrelay_memory_level"), MR_MEMORY_NORMAL);
    mr_memory_destroy(memory);
}
END_TEST

START_TEST(test_allocated_memory_is_measured_by_the_timer)
{
    struct event_base *base = event_base_new();
    mr_memory_t *memory = mr_memory_create(
        &(mr_memory_options_t){.base = base, .counters = counters});
    int64_t before = value("masticrelay_memory_in_use_bytes");
    struct timeval wait = mr_clock_timeval(600);
    char *block = malloc(BLOCK_BYTES);

    ck_assert_ptr_nonnull(block);
    memset(block, 1, BLOCK_BYTES);
    event_base_loopexit(base, &wait);
    event_base_dispatch(base);
    ck_assert_int_eq(block[BLOCK_BYTES - 1], 1);
    ck_assert_int_ge(value("masticrelay_memory_in_use_bytes"),
                     before + BLOCK_BYTES);
    ck_assert_int_ge(value("masticrelay_memory_held_bytes"),
                     value("masticrelay_memory_in_use_bytes"));
    free(block);
    mr_memory_destroy(memory);
    event_base_free(base);
}
END_TEST

static void
count_call(void *ctx)
{
    (*(int *)ctx)++;
}

START_TEST(test_the_excess_is_what_ends_the_critical_level)
{
    int calls = 0;
    mr_memory_t *memory = mr_memory_create(
        &(mr_memory_options_t){.counters = counters, .limit = LIMIT});
    int64_t in_use = (int64_t)LIMIT / 100 * 90;

    mr_memory_set_handler(memory, count_call, &calls);
    set_percent(memory, MR_MEMORY_REFUSING_PERCENT);
    ck_assert_int_eq(mr_memory_excess(memory), 0);
    mr_memory_set_in_use(memory, in_use);
    ck_assert_int_eq(mr_memory_level(memory), MR_MEMORY_CRITICAL);
    mr_memory_set_in_use(memory, in_use - mr_memory_excess(memory) + 1);
    ck_assert_int_eq(mr_memory_level(memory), MR_MEMORY_CRITICAL);
    mr_memory_set_in_use(memory, in_use);
    mr_memory_set_in_use(memory, in_use - mr_memory_excess(memory));
    ck_assert_int_eq(mr_memory_level(memory), MR_MEMORY_REFUSING);
    ck_assert_int_eq(calls, 5);
    mr_memory_destroy(memory);
}
END_TEST

START_TEST(test_freed_large_blocks_do_not_stay_in_the_heap)
{
    enum { BLOCKS = 16, LARGE_BYTES = 900 * 1000, SMALL_BYTES = 1000 };
    struct event_base *base = event_base_new();
    mr_memory_t *memory = mr_memory_create(
        &(mr_memory_options_t){.base = base, .counters = counters});
    int64_t before = (int64_t)mallinfo2().arena;
    char *large[BLOCKS];
    char *small[BLOCKS];

    /* Raises the threshold that the allocator has by default. */
    free(mr_calloc(4, LARGE_BYTES));
    for (int i = 0; i < BLOCKS; i++) {
        large[i] = malloc(LARGE_BYTES);
        small[i] = malloc(SMALL_BYTES);
    }
    for (int i = 0; i < BLOCKS; i++) {
        free(large[i]);
    }
    ck_assert_int_lt((int64_t)mallinfo2().arena, before + LARGE_BYTES);
    for (int i = 0; i < BLOCKS; i++) {
        free(small[i]);
    }
    mr_memory_destroy(memory);
    event_base_free(base);
}
END_TEST

static int64_t
resident_bytes(void)
{
    FILE *file = fopen("/proc/self/statm", "r");
    long long pages = 0;

    ck_assert_ptr_nonnull(file);
    ck_assert_int_eq(fscanf(file, "%*d %lld", &pages), 1);
    fclose(file);
    return pages * sysconf(_SC_PAGESIZE);
}

START_TEST(test_free_pages_are_given_back_at_the_critical_level)
{
    enum { BLOCKS = 400, KEPT_EVERY = 8, HEAP_BLOCK_BYTES = 64 * 1024 };
    struct event_base *base = event_base_new();
    char *blocks[BLOCKS];
    struct timeval wait = mr_clock_timeval(400);

    for (int i = 0; i < BLOCKS; i++) {
        blocks[i] = malloc(HEAP_BLOCK_BYTES);
        ck_assert_ptr_nonnull(blocks[i]);
        memset(blocks[i], 1, HEAP_BLOCK_BYTES);
    }
    for (int i = 0; i < BLOCKS; i++) {
        if (i % KEPT_EVERY != KEPT_EVERY - 1) {
            free(blocks[i]);
        }
    }
    int64_t before = resident_bytes();
    mr_memory_t *memory = mr_memory_create(
        &(mr_memory_options_t){.base = base,
                               .counters = counters,
                               .limit = (int64_t)mallinfo2().uordblks});
    event_base_loopexit(base, &wait);
    event_base_dispatch(base);
    ck_assert_int_eq(mr_memory_level(memory), MR_MEMORY_CRITICAL);
    ck_assert_int_lt(resident_bytes(), before - BLOCKS / 2 * HEAP_BLOCK_BYTES);
    for (int i = KEPT_EVERY - 1; i < BLOCKS; i += KEPT_EVERY) {
        free(blocks[i]);
    }
    mr_memory_destroy(memory);
    event_base_free(base);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_a_level_starts_at_its_threshold_and_ends_below_it,
        test_without_a_limit_the_level_is_normal,
        test_gauges_follow_each_measurement,
        test_allocated_memory_is_measured_by_the_timer,
        test_the_excess_is_what_ends_the_critical_level,
        test_freed_large_blocks_do_not_stay_in_the_heap,
        test_free_pages_are_given_back_at_the_critical_level,
    };

    return RUN_TESTS(tests, .suite = "memory", .setup = set_up,
                     .teardown = tear_down);
}
