/* Guards against sending the whole desired state and all registrations to
 * every instance at each change, which saturates the coordinator's network
 * link, and against receivers that end up with other contents than the
 * sender. */

#include <stdio.h>
#include <string.h>

#include "../common/runner.h"
#include "common/mem.h"
#include "session/directory.h"

enum { ROUTES = 100, ROWS = 12 };

typedef struct side {
    mr_clusters_t *clusters;
    mr_counters_t *counters;
    mr_directory_t *directory;
} side_t;

static side_t sender;
static side_t receiver;

static void
on_catalog(void *ctx, mr_catalog_t *catalog)
{
    (void)ctx;
    (void)catalog;
}

static void
start(side_t *side)
{
    side->clusters = mr_clusters_create("front-1", "konya");
    side->counters = mr_counters_create();
    side->directory = mr_directory_create(
        &(mr_directory_options_t){.clusters = side->clusters,
                                  .counters = side->counters,
                                  .on_catalog = on_catalog});
}

static void
stop(side_t *side)
{
    mr_directory_destroy(side->directory);
    mr_clusters_destroy(side->clusters);
    mr_counters_destroy(side->counters);
}

static void
set_up(void)
{
    start(&sender);
    start(&receiver);
}

static void
tear_down(void)
{
    stop(&sender);
    stop(&receiver);
}

/* Sets desired state @version. Each version changes the timeout of one route.
 */
static void
set_config(side_t *side, int version)
{
    char *text = mr_asprintf("{\"version\": %d, \"routes\": [", version);

    for (int i = 0; i < ROUTES; i++) {
        char *longer = mr_asprintf(
            "%s%s{\"host\": \"base-%d\", \"service\": \"rez\", \"type\": "
            "\"primary\", \"timeout_ms\": %d}",
            text, i > 0 ? ", " : "", i, i == version ? 700 : 500);
        free(text);
        text = longer;
    }
    char *body = mr_asprintf("%s], \"services\": [], \"tenants\": []}", text);
    mr_directory_set_config(side->directory, body, strlen(body), "store");
    free(body);
    free(text);
}

/* Sets the registrations at @version of era @era. @primaries is a bit mask of
 * the databases that are primaries. */
static void
set_rows_of_era(side_t *side, int era, int version, unsigned int primaries)
{
    static char keys[ROWS][16];
    static char values[ROWS][256];
    mr_store_row_t rows[ROWS];

    for (int i = 0; i < ROWS; i++) {
        snprintf(keys[i], sizeof(keys[i]), "i-%d", i);
        snprintf(values[i], sizeof(values[i]),
                 "{\"service\": \"rez\", \"address\": \"127.0.0.1:%d\", "
                 "\"zone\": \"konya\", \"version\": 1, \"slots\": 2, "
                 "\"state\": \"ready\", \"cold_left_ms\": 0, \"seq_no\": %d, "
                 "\"born\": 5, \"db_role\": \"%s\"}",
                 1000 + i, version,
                 (primaries >> i & 1) != 0 ? "primary" : "replica");
        rows[i] = (mr_store_row_t){.key = keys[i],
                                   .value = values[i],
                                   .len = strlen(values[i]),
                                   .revision = {era, version}};
    }
    mr_directory_set_registrations(side->directory,
                                   (mr_revision_t){era, version}, rows, ROWS);
}

static void
set_rows(side_t *side, int version, unsigned int primaries)
{
    set_rows_of_era(side, 0, version, primaries);
}

/* What @from sends to @to, given the versions that @to has. */
static mr_msg_directory_t
export_to(side_t *from, side_t *to)
{
    mr_msg_directory_t known;
    mr_msg_directory_t sent;

    mr_directory_export(to->directory, NULL, &known);
    mr_directory_export(from->directory, &known, &sent);
    return sent;
}

/* Asserts that a third instance gets the same desired state from both. */
static void
assert_same_config(void)
{
    side_t third;
    mr_msg_directory_t a;
    mr_msg_directory_t b;

    start(&third);
    a = export_to(&sender, &third);
    b = export_to(&receiver, &third);
    ck_assert_uint_gt(a.config.len, 0);
    ck_assert_uint_eq(a.config.len, b.config.len);
    ck_assert_mem_eq(a.config.data, b.config.data, a.config.len);
    stop(&third);
}

static size_t
count_values(const mr_msg_directory_t *sent)
{
    size_t count = 0;

    for (size_t i = 0; i < sent->registration_count; i++) {
        count += sent->registrations[i].value.len > 0;
    }
    return count;
}

static bool
is_primary(const side_t *side, const char *id)
{
    mr_db_t *primary =
        mr_cluster_known_primary(mr_clusters_find(side->clusters, "rez"));

    return primary != NULL && strcmp(primary->id, id) == 0;
}

START_TEST(test_a_change_is_sent_as_a_patch)
{
    set_config(&sender, 1);
    set_config(&receiver, 1);
    set_config(&sender, 2);
    set_config(&sender, 3);
    mr_msg_directory_t sent = export_to(&sender, &receiver);
    size_t bytes = sent.config.len;
    for (size_t i = 0; i < sent.config_patch_count; i++) {
        bytes += sent.config_patch[i].insert.len;
    }
    ck_assert_uint_gt(sent.config_patch_count, 0);
    ck_assert_uint_lt(bytes, 500);
    mr_directory_import(receiver.directory, &sent, "front-1");
    ck_assert_int_eq(mr_directory_config_version(receiver.directory), 3);
    assert_same_config();
}
END_TEST

START_TEST(test_a_receiver_far_behind_gets_the_whole_state)
{
    set_config(&receiver, 1);
    for (int version = 1; version < 20; version++) {
        set_config(&sender, version);
    }
    mr_msg_directory_t sent = export_to(&sender, &receiver);
    ck_assert_uint_eq(sent.config_patch_count, 0);
    mr_directory_import(receiver.directory, &sent, "front-1");
    ck_assert_int_eq(mr_directory_config_version(receiver.directory), 19);
    assert_same_config();
}
END_TEST

/* The receiver may have got a newer version from another instance. */
START_TEST(test_a_patch_of_another_version_is_ignored)
{
    set_config(&sender, 1);
    set_config(&receiver, 1);
    set_config(&sender, 4);
    mr_msg_directory_t sent = export_to(&sender, &receiver);
    set_config(&receiver, 3);
    mr_directory_import(receiver.directory, &sent, "front-1");
    ck_assert_int_eq(mr_directory_config_version(receiver.directory), 3);
    sent = export_to(&sender, &receiver);
    mr_directory_import(receiver.directory, &sent, "front-1");
    ck_assert_int_eq(mr_directory_config_version(receiver.directory), 4);
    assert_same_config();
}
END_TEST

START_TEST(test_only_changed_registrations_are_sent)
{
    set_rows(&sender, 10, 1);
    set_rows(&receiver, 10, 1);
    set_rows(&sender, 20, 2); /* the primary changes from i-0 to i-1 */
    mr_msg_directory_t sent = export_to(&sender, &receiver);
    ck_assert_uint_eq(sent.registration_count, ROWS);
    ck_assert_uint_eq(count_values(&sent), 2);
    mr_directory_import(receiver.directory, &sent, "front-1");
    ck_assert(is_primary(&receiver, "i-1"));
    sent = export_to(&sender, &receiver);
    ck_assert_uint_eq(sent.registration_count, 0);
}
END_TEST

/* The receiver has read a change that the sender missed: i-2 was the primary
 * for a while. */
START_TEST(test_registrations_that_differ_are_sent_whole)
{
    set_rows(&sender, 10, 1);
    set_rows(&receiver, 15, 4);
    set_rows(&sender, 20, 1);
    mr_msg_directory_t sent = export_to(&sender, &receiver);
    mr_directory_import(receiver.directory, &sent, "front-1");
    sent = export_to(&sender, &receiver);
    ck_assert_uint_eq(count_values(&sent), ROWS);
    mr_directory_import(receiver.directory, &sent, "front-1");
    ck_assert(is_primary(&receiver, "i-0"));
}
END_TEST

START_TEST(test_registrations_of_a_restored_store_are_applied)
{
    set_rows(&sender, 100, 1);
    set_rows_of_era(&sender, 1, 20, 2);
    ck_assert(is_primary(&sender, "i-1"));
    /* A late answer from before the restoration. */
    set_rows(&sender, 110, 1);
    ck_assert(is_primary(&sender, "i-1"));
}
END_TEST

START_TEST(test_registrations_of_a_restored_store_are_sent)
{
    set_rows(&sender, 100, 1);
    set_rows(&receiver, 110, 1);
    set_rows_of_era(&sender, 1, 20, 2);
    mr_msg_directory_t sent = export_to(&sender, &receiver);
    ck_assert_uint_eq(count_values(&sent), 2);
    mr_directory_import(receiver.directory, &sent, "front-1");
    ck_assert(is_primary(&receiver, "i-1"));
    /* The former receiver must not send older ones back. */
    set_rows_of_era(&sender, 2, 15, 4);
    sent = export_to(&receiver, &sender);
    ck_assert_uint_eq(sent.registration_count, 0);
    mr_directory_import(sender.directory, &sent, "front-1");
    ck_assert(is_primary(&sender, "i-2"));
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_a_change_is_sent_as_a_patch,
        test_a_receiver_far_behind_gets_the_whole_state,
        test_a_patch_of_another_version_is_ignored,
        test_only_changed_registrations_are_sent,
        test_registrations_that_differ_are_sent_whole,
        test_registrations_of_a_restored_store_are_applied,
        test_registrations_of_a_restored_store_are_sent,
    };

    return RUN_TESTS(tests, .suite = "directory", .setup = set_up,
                     .teardown = tear_down);
}
