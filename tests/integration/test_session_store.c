/* Runs the modules that read the store against a stand-in that is restored
 * from an older copy. Guards against changes that are missed, and against
 * older contents that replace newer ones, after its versions went back. */

#include <stdio.h>
#include <string.h>

#include "harness.h"
#include "session/feed.h"
#include "world.h"
#include "world_internal.h"

enum {
    RATE = 500,
    APPLY_MAX_MS = 3000, /* until a change is applied */
};

static const char *const keys[] = {"coop:key-1", NULL};

static struct event_base *base;
static backend_t *backend;
static mr_counters_t *counters;
static mr_clusters_t *clusters;
static mr_directory_t *directory;
static mr_store_t *store;
static mr_feed_t *feed;

static void
on_catalog(void *ctx, mr_catalog_t *catalog)
{
    (void)ctx;
    (void)catalog;
}

static void
set_up(void)
{
    base = event_base_new();
    backend = backend_create(base);
    counters = mr_counters_create();
    clusters = mr_clusters_create("front-1", "konya");
    directory = mr_directory_create(&(mr_directory_options_t){
        .clusters = clusters, .counters = counters, .on_catalog = on_catalog});
    store = mr_store_create(
        &(mr_store_options_t){.base = base,
                              .counters = counters,
                              .address = backend_store_address(backend, 0)});
    feed = mr_feed_create(&(mr_feed_options_t){.base = base,
                                               .store = store,
                                               .directory = directory,
                                               .apply_max = APPLY_MAX_MS});
}

static void
tear_down(void)
{
    mr_store_destroy(store);
    mr_feed_destroy(feed);
    mr_directory_destroy(directory);
    mr_clusters_destroy(clusters);
    mr_counters_destroy(counters);
    backend_destroy(backend);
    event_base_free(base);
}

static void
wait_for_config(int64_t version)
{
    mr_ms_t end = mr_clock_now(NULL) + APPLY_MAX_MS;

    while (mr_directory_config_version(directory) < version) {
        ck_assert_int_lt(mr_clock_now(NULL), end);
        harness_run_loop(base, 10);
    }
    ck_assert_int_eq(mr_directory_config_version(directory), version);
}

/* Writes rows of no interest until the store has @version. */
static void
raise_store_version(int64_t version)
{
    while (backend_store_version(backend) < version) {
        backend_put_row(backend, "other", "row", "x");
    }
}

static mr_db_t *
find_db(int index)
{
    mr_cluster_t *cluster = mr_clusters_get(clusters, "rez");

    MR_LIST_FOREACH(it, &cluster->dbs)
    {
        mr_db_t *db = MR_LIST_ENTRY(it, mr_db_t, link);
        if (!db->removed && strcmp(db->id, backend->dbs[index].id) == 0) {
            return db;
        }
    }
    return NULL;
}

/* Waits for the registrations of all databases. */
static void
wait_for_dbs(void)
{
    mr_ms_t end = mr_clock_now(NULL) + APPLY_MAX_MS;

    mr_feed_set_role(feed, MR_FEED_COORDINATOR);
    for (int i = 0; i < BACKEND_DBS; i++) {
        while (find_db(i) == NULL) {
            ck_assert_int_lt(mr_clock_now(NULL), end);
            harness_run_loop(base, 10);
        }
    }
}

START_TEST(test_a_change_that_the_cursor_has_passed_is_not_missed)
{
    backend_put_config(backend, 5, keys, RATE);
    wait_for_config(5);
    backend_copy_store(backend);
    raise_store_version(backend_store_version(backend) + 100);
    backend_put_config(backend, 7, keys, RATE);
    wait_for_config(7);
    int64_t before = backend_store_version(backend);
    backend_set_store_failing(backend, 0, true);
    backend_restore_store(backend, 0, 100);
    harness_run_loop(base, 150);
    backend_put_config(backend, 9, keys, RATE);
    ck_assert_int_lt(backend_store_version(backend), before);
    raise_store_version(before + 10);
    backend_set_store_failing(backend, 0, false);
    wait_for_config(9);
}
END_TEST

START_TEST(test_a_copy_does_not_bring_back_an_older_desired_state)
{
    backend_put_config(backend, 5, keys, RATE);
    wait_for_config(5);
    backend_copy_store(backend);
    backend_put_config(backend, 7, keys, RATE);
    wait_for_config(7);
    backend_restore_store(backend, 300, 1500);
    harness_run_loop(base, 1200);
    ck_assert_int_eq(mr_store_era(store), 1);
    ck_assert_int_eq(mr_directory_config_version(directory), 7);
    harness_run_loop(base, 1000);
    ck_assert_int_eq(mr_directory_config_version(directory), 7);
    backend_put_config(backend, 8, keys, RATE);
    wait_for_config(8);
}
END_TEST

START_TEST(test_a_malformed_desired_state_of_a_copy_changes_nothing)
{
    backend_put_config(backend, 5, keys, RATE);
    wait_for_config(5);
    backend_put_row(backend, "op", "config", "{\"version\":6,\"routes\":7}");
    backend_copy_store(backend);
    backend_put_config(backend, 7, keys, RATE);
    wait_for_config(7);
    backend_restore_store(backend, 300, 500);
    harness_run_loop(base, 1500);
    ck_assert_int_eq(mr_store_era(store), 1);
    ck_assert_int_eq(mr_directory_config_version(directory), 7);
    backend_put_config(backend, 8, keys, RATE);
    wait_for_config(8);
}
END_TEST

START_TEST(test_a_drain_after_a_restoration_is_seen)
{
    backend_put_config(backend, 5, keys, RATE);
    wait_for_dbs();
    backend_copy_store(backend);
    raise_store_version(backend_store_version(backend) + 1000);
    harness_run_loop(base, 1500);
    backend_restore_store(backend, 200, 100);
    harness_run_loop(base, 1000);
    backend_db_drain(backend, 1);
    mr_ms_t end = mr_clock_now(NULL) + APPLY_MAX_MS;
    while (!find_db(1)->draining) {
        ck_assert_int_lt(mr_clock_now(NULL), end);
        harness_run_loop(base, 10);
    }
}
END_TEST

START_TEST(test_a_copy_does_not_bring_back_databases_that_left)
{
    backend_put_config(backend, 5, keys, RATE);
    wait_for_dbs();
    harness_run_loop(base, 500);
    backend_copy_store(backend);
    backend_db_drain(backend, 1);
    backend_db_kill(backend, 2);
    mr_ms_t end = mr_clock_now(NULL) + APPLY_MAX_MS + 2000;
    while (!find_db(1)->draining || find_db(2) != NULL) {
        ck_assert_int_lt(mr_clock_now(NULL), end);
        harness_run_loop(base, 10);
    }
    backend_restore_store(backend, 200, 2500);
    end = mr_clock_now(NULL) + 5000;
    while (mr_clock_now(NULL) < end) {
        ck_assert(find_db(1)->draining);
        ck_assert_ptr_null(find_db(2));
        harness_run_loop(base, 10);
    }
    ck_assert_int_eq(mr_store_era(store), 1);
}
END_TEST

START_TEST(test_one_failed_call_does_not_send_all_instances_to_the_store)
{
    enum { FAILING_MS = 100, FAILING_LONG_MS = 3000 };

    backend_put_config(backend, 5, keys, RATE);
    wait_for_config(5);
    wait_for_dbs();
    backend_set_store_failing(backend, 0, true);
    backend_put_config(backend, 6, keys, RATE); /* ends the feed's call */
    harness_run_loop(base, FAILING_MS);
    ck_assert(!mr_feed_failing(feed));
    backend_set_store_failing(backend, 0, false);
    backend_put_config(backend, 7, keys, RATE);
    wait_for_config(7);
    ck_assert(!mr_feed_failing(feed));
    backend_set_store_failing(backend, 0, true);
    backend_put_config(backend, 8, keys, RATE);
    harness_run_loop(base, FAILING_LONG_MS);
    ck_assert(mr_feed_failing(feed));
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_a_change_that_the_cursor_has_passed_is_not_missed,
        test_a_copy_does_not_bring_back_an_older_desired_state,
        test_a_malformed_desired_state_of_a_copy_changes_nothing,
        test_a_drain_after_a_restoration_is_seen,
        test_a_copy_does_not_bring_back_databases_that_left,
        test_one_failed_call_does_not_send_all_instances_to_the_store,
    };

    return RUN_TESTS(tests, .suite = "session_store", .timeout_s = 20,
                     .setup = set_up, .teardown = tear_down);
}
