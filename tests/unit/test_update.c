/* Guards against desired states that are sent whole to every instance at the
 * same time, and against receivers that apply anything but the complete newest
 * contents. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../common/runner.h"
#include "common/mem.h"
#include "session/update.h"

enum {
    INSTANCES = 12,
    ROUTES = 1400,
    STEP_MS = 50,
    WAIT_MAX_MS = 4000,
};

typedef struct instance {
    mr_clusters_t *clusters;
    mr_counters_t *counters;
    mr_directory_t *directory;
    mr_peer_t *peer;
    mr_updates_t *updates;
    char name[32];
    char address[32];
    int applied;
} instance_t;

static struct event_base *base;
static instance_t instances[INSTANCES];

static void
on_catalog(void *ctx, mr_catalog_t *catalog)
{
    (void)ctx;
    (void)catalog;
}

static void
on_applied(void *ctx)
{
    instance_t *instance = ctx;

    instance->applied++;
}

static void
start(instance_t *instance, int index)
{
    uint8_t secret[MR_PEER_SECRET_BYTES] = {1};

    snprintf(instance->name, sizeof(instance->name), "front-%d", index);
    instance->applied = 0;
    instance->clusters = mr_clusters_create(instance->name, "konya");
    instance->counters = mr_counters_create();
    instance->directory = mr_directory_create(
        &(mr_directory_options_t){.clusters = instance->clusters,
                                  .counters = instance->counters,
                                  .on_catalog = on_catalog});
    instance->peer =
        mr_peer_create(&(mr_peer_options_t){.base = base,
                                            .counters = instance->counters,
                                            .name = instance->name,
                                            .data_centre = "konya",
                                            .incarnation = 1,
                                            .secret = secret});
    snprintf(instance->address, sizeof(instance->address), "127.0.0.1:%d",
             mr_peer_listen(instance->peer, "127.0.0.1:0"));
    instance->updates = mr_updates_create(
        &(mr_updates_options_t){.counters = instance->counters,
                                .peer = instance->peer,
                                .directory = instance->directory,
                                .applied = on_applied,
                                .ctx = instance});
}

static void
set_up(void)
{
    base = event_base_new();
    for (int i = 0; i < INSTANCES; i++) {
        start(&instances[i], i);
    }
}

static void
tear_down(void)
{
    for (int i = 0; i < INSTANCES; i++) {
        mr_updates_destroy(instances[i].updates);
        mr_peer_destroy(instances[i].peer);
        mr_directory_destroy(instances[i].directory);
        mr_clusters_destroy(instances[i].clusters);
        mr_counters_destroy(instances[i].counters);
    }
    event_base_free(base);
}

static void
run_loop(int ms)
{
    struct timeval tv = {.tv_usec = ms * 1000};

    event_base_loopexit(base, &tv);
    event_base_dispatch(base);
}

/* Sets desired state @version with random names, which hardly compress. */
static void
set_config(instance_t *instance, int version)
{
    struct evbuffer *text = evbuffer_new();

    evbuffer_add_printf(text, "{\"version\": %d, \"routes\": [", version);
    srand((unsigned int)version);
    for (int i = 0; i < ROUTES; i++) {
        evbuffer_add_printf(text,
                            "%s{\"host\": \"r%d-%08x%08x%08x\", \"service\": "
                            "\"rez\", \"type\": \"primary\"}",
                            i > 0 ? ", " : "", i, (unsigned int)rand(),
                            (unsigned int)rand(), (unsigned int)rand());
    }
    evbuffer_add_printf(text, "], \"services\": [], \"tenants\": []}");
    size_t len = evbuffer_get_length(text);
    mr_directory_set_config(instance->directory,
                            evbuffer_pullup(text, (ev_ssize_t)len), len,
                            "store");
    evbuffer_free(text);
}

static int64_t
get_version(const instance_t *instance)
{
    return mr_directory_config_version(instance->directory);
}

static int64_t
get_counter(const instance_t *instance, const char *name)
{
    return mr_counter_value(mr_counters_get(instance->counters, name, "", ""));
}

static void
assert_same_contents(instance_t *a, instance_t *b)
{
    mr_msg_directory_t known = {0};
    mr_msg_directory_t from_a;
    mr_msg_directory_t from_b;

    mr_directory_export(a->directory, &known, SIZE_MAX, &from_a);
    mr_directory_export(b->directory, &known, SIZE_MAX, &from_b);
    ck_assert_uint_gt(from_a.config.len, 0);
    ck_assert_uint_eq(from_a.config.len, from_b.config.len);
    ck_assert_mem_eq(from_a.config.data, from_b.config.data,
                     from_a.config.len);
}

START_TEST(test_large_contents_arrive_whole)
{
    set_config(&instances[0], 3);
    mr_updates_fetch(instances[1].updates, instances[0].address,
                     instances[0].name);
    for (int ms = 0; ms < WAIT_MAX_MS && instances[1].applied == 0;
         ms += STEP_MS) {
        run_loop(STEP_MS);
    }
    ck_assert_int_eq(instances[1].applied, 1);
    ck_assert_int_eq(get_version(&instances[1]), 3);
    assert_same_contents(&instances[0], &instances[1]);
}
END_TEST

START_TEST(test_a_sender_serves_few_transfers_at_a_time)
{
    set_config(&instances[0], 3);
    for (int i = 1; i < INSTANCES; i++) {
        mr_updates_fetch(instances[i].updates, instances[0].address,
                         instances[0].name);
    }
    run_loop(STEP_MS);
    ck_assert_int_gt(
        get_counter(&instances[0], "masticrelay_update_busy_total"), 0);
    int complete = 0;
    for (int ms = 0; ms < WAIT_MAX_MS && complete < INSTANCES - 1;
         ms += STEP_MS) {
        complete = 0;
        for (int i = 1; i < INSTANCES; i++) {
            complete += get_version(&instances[i]) == 3;
            if (get_version(&instances[i]) != 3) {
                mr_updates_fetch(instances[i].updates, instances[0].address,
                                 instances[0].name);
            }
        }
        run_loop(STEP_MS);
    }
    ck_assert_int_eq(complete, INSTANCES - 1);
}
END_TEST

START_TEST(test_a_version_that_changes_during_a_transfer_arrives_next)
{
    set_config(&instances[0], 3);
    mr_updates_fetch(instances[1].updates, instances[0].address,
                     instances[0].name);
    event_base_loop(base, EVLOOP_ONCE);
    set_config(&instances[0], 4);
    for (int ms = 0; ms < WAIT_MAX_MS && get_version(&instances[1]) != 4;
         ms += STEP_MS) {
        run_loop(STEP_MS);
        mr_updates_fetch(instances[1].updates, instances[0].address,
                         instances[0].name);
    }
    ck_assert_int_eq(get_version(&instances[1]), 4);
    assert_same_contents(&instances[0], &instances[1]);
}
END_TEST

START_TEST(test_a_sender_that_ends_does_not_block_the_next_transfer)
{
    set_config(&instances[0], 3);
    set_config(&instances[2], 3);
    mr_updates_fetch(instances[1].updates, "127.0.0.1:1", "front-gone");
    run_loop(STEP_MS);
    mr_updates_fetch(instances[1].updates, instances[2].address,
                     instances[2].name);
    for (int ms = 0; ms < WAIT_MAX_MS && instances[1].applied == 0;
         ms += STEP_MS) {
        run_loop(STEP_MS);
    }
    ck_assert_int_eq(get_version(&instances[1]), 3);
}
END_TEST

START_TEST(test_nothing_newer_ends_a_fetch)
{
    set_config(&instances[0], 3);
    set_config(&instances[1], 3);
    mr_updates_fetch(instances[1].updates, instances[0].address,
                     instances[0].name);
    run_loop(STEP_MS);
    ck_assert_int_eq(instances[1].applied, 0);
    ck_assert_int_eq(
        get_counter(&instances[0], "masticrelay_update_sent_bytes_total"), 0);
}
END_TEST

START_TEST(test_decoding_is_followed_by_a_pause)
{
    set_config(&instances[0], 3);
    mr_updates_fetch(instances[1].updates, instances[0].address,
                     instances[0].name);
    for (int ms = 0; ms < WAIT_MAX_MS && instances[1].applied == 0; ms++) {
        run_loop(1);
    }
    ck_assert_int_eq(instances[1].applied, 1);
    ck_assert(!mr_updates_accepts_config(instances[1].updates));
    run_loop(500);
    run_loop(500);
    ck_assert(mr_updates_accepts_config(instances[1].updates));
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_large_contents_arrive_whole,
        test_a_sender_serves_few_transfers_at_a_time,
        test_a_version_that_changes_during_a_transfer_arrives_next,
        test_a_sender_that_ends_does_not_block_the_next_transfer,
        test_nothing_newer_ends_a_fetch,
        test_decoding_is_followed_by_a_pause,
    };

    return RUN_TESTS(tests, .suite = "update", .setup = set_up,
                     .teardown = tear_down, .timeout_s = 20);
}
