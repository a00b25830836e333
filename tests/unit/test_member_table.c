/* Guards against members that are declared dead too early or never, false
 * deaths that cannot be refuted, and messages that grow with the number of
 * members. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../common/runner.h"
#include "member/rendezvous.h"
#include "member/table.h"

enum { START = 1000, INCARNATION = 50 };

static mr_clock_t manual;
static mr_member_table_t *table;

static void
setup(void)
{
    manual.kind = MR_CLOCK_MANUAL;
    manual.u.manual.now = START;
    table = mr_member_table_create(&manual, "self", "konya", "127.0.0.1:1",
                                   INCARNATION);
    mr_member_table_set_joined(table);
}

static void
teardown(void)
{
    mr_member_table_destroy(table);
}

/* Advances the clock in ticks, like the event loop. */
static void
advance_clock(mr_ms_t ms)
{
    for (mr_ms_t i = 0; i < ms; i += 100) {
        manual.u.manual.now += 100;
        ck_assert_int_eq(mr_member_table_tick(table), 0);
    }
}

static int64_t
version(int64_t incarnation, int64_t refutations)
{
    return (incarnation << MR_MEMBER_REFUTATION_BITS) + refutations;
}

static mr_member_merge_t
report(const char *name, int64_t at, mr_member_state_t state)
{
    mr_msg_member_t msg = {name, "konya", "127.0.0.1:2", at, state};

    return mr_member_table_merge(table, &msg);
}

static mr_member_merge_t
report_self(const char *address, int64_t at, mr_member_state_t state)
{
    mr_msg_member_t msg = {"self", "konya", address, at, state};

    return mr_member_table_merge(table, &msg);
}

static mr_member_state_t
state_of(const char *name)
{
    const mr_member_t *member = mr_member_table_find(table, name);

    ck_assert_ptr_nonnull(member);
    return member->state;
}

static int64_t
own_version(void)
{
    mr_msg_member_t out[MR_MEMBER_CHANGES_MAX + 2];

    mr_member_table_changes(table, NULL, out);
    ck_assert_str_eq(out[0].name, "self");
    return out[0].incarnation;
}

static void
add_members(int count)
{
    char name[16];

    for (int i = 0; i < count; i++) {
        snprintf(name, sizeof(name), "m%d", i);
        report(name, version(10, 0), MR_MEMBER_LIVE);
    }
}

START_TEST(test_higher_version_wins)
{
    ck_assert_int_eq(report("a", version(5, 1), MR_MEMBER_LIVE),
                     MR_MEMBER_MERGE_NEW);
    ck_assert_int_eq(report("a", version(5, 0), MR_MEMBER_DEAD),
                     MR_MEMBER_MERGE_KNOWN);
    ck_assert_int_eq(report("a", version(5, 1), MR_MEMBER_SUSPECT),
                     MR_MEMBER_MERGE_CHANGED);
    ck_assert_int_eq(report("a", version(5, 1), MR_MEMBER_LIVE),
                     MR_MEMBER_MERGE_KNOWN);
    ck_assert_int_eq(report("a", version(5, 2), MR_MEMBER_LIVE),
                     MR_MEMBER_MERGE_CHANGED);
    ck_assert_int_eq(state_of("a"), MR_MEMBER_LIVE);
    ck_assert_int_eq(mr_member_table_find(table, "a")->incarnation, 5);
    /* A restart. */
    report("a", version(6, 0), MR_MEMBER_LIVE);
    ck_assert_int_eq(mr_member_table_find(table, "a")->incarnation, 6);
}
END_TEST

START_TEST(test_suspect_dies_after_a_second)
{
    report("a", version(5, 0), MR_MEMBER_LIVE);
    mr_member_table_ping_failed(table, "a");
    ck_assert_int_eq(state_of("a"), MR_MEMBER_SUSPECT);
    advance_clock(900);
    ck_assert_int_eq(state_of("a"), MR_MEMBER_SUSPECT);
    advance_clock(100);
    ck_assert_int_eq(state_of("a"), MR_MEMBER_DEAD);
    /* Revived by its own refutation, not by an old report. */
    report("a", version(5, 0), MR_MEMBER_LIVE);
    ck_assert_int_eq(state_of("a"), MR_MEMBER_DEAD);
    report("a", version(5, 1), MR_MEMBER_LIVE);
    ck_assert_int_eq(state_of("a"), MR_MEMBER_LIVE);
}
END_TEST

START_TEST(test_refuted_suspect_lives)
{
    report("a", version(5, 0), MR_MEMBER_LIVE);
    mr_member_table_ping_failed(table, "a");
    advance_clock(500);
    report("a", version(5, 1), MR_MEMBER_LIVE);
    advance_clock(2000);
    ck_assert_int_eq(state_of("a"), MR_MEMBER_LIVE);
}
END_TEST

START_TEST(test_pause_causes_no_deaths)
{
    add_members(20);
    for (int i = 0; i < 5; i++) {
        char name[16];
        snprintf(name, sizeof(name), "m%d", i);
        mr_member_table_ping_failed(table, name);
    }
    advance_clock(800);
    manual.u.manual.now += 7000;
    ck_assert(mr_member_table_paused(table));
    ck_assert_int_eq(mr_member_table_tick(table), 7000);
    advance_clock(900);
    ck_assert_uint_eq(mr_member_table_count(table, false), 21);
    /* The suspicions continue after the pause. */
    advance_clock(200);
    ck_assert_uint_eq(mr_member_table_count(table, false), 16);
}
END_TEST

START_TEST(test_own_suspicion_is_refuted)
{
    int64_t start = own_version();

    ck_assert_int_eq(start, version(INCARNATION, 0));
    ck_assert_int_eq(report_self("127.0.0.1:1", start, MR_MEMBER_SUSPECT),
                     MR_MEMBER_MERGE_REFUTED);
    ck_assert_int_eq(own_version(), start + 1);
    ck_assert_int_eq(mr_member_table_self(table)->incarnation, INCARNATION);
    ck_assert_int_eq(mr_member_table_self(table)->state, MR_MEMBER_LIVE);
    /* A repeated report is outdated. */
    ck_assert_int_eq(report_self("127.0.0.1:1", start, MR_MEMBER_DEAD),
                     MR_MEMBER_MERGE_KNOWN);
    /* A previous process whose clock was ahead. */
    report_self("127.0.0.1:9", version(90, 3), MR_MEMBER_DEAD);
    ck_assert_int_eq(own_version(), version(90, 4));
}
END_TEST

START_TEST(test_replaced_process_does_not_refute)
{
    int64_t start = own_version();

    ck_assert_int_eq(
        report_self("127.0.0.1:9", version(90, 0), MR_MEMBER_LIVE),
        MR_MEMBER_MERGE_KNOWN);
    ck_assert_int_eq(
        report_self("127.0.0.1:9", version(90, 0), MR_MEMBER_SUSPECT),
        MR_MEMBER_MERGE_KNOWN);
    ck_assert_int_eq(own_version(), start);
}
END_TEST

START_TEST(test_list_gives_candidates_only)
{
    mr_member_table_list_begin(table);
    mr_member_table_list_add(table, "a", "konya", "127.0.0.1:2", false);
    mr_member_table_list_add(table, "far", "nigde", "127.0.0.1:3", false);
    mr_member_table_list_add(table, "off", "nigde", "127.0.0.1:4", true);
    mr_member_table_list_end(table);
    const mr_member_t *out[4];
    ck_assert_uint_eq(mr_member_table_usable(table, "k", "konya", out, 4), 2);
    ck_assert_uint_eq(mr_member_table_usable(table, "k", "nigde", out, 4), 1);
    ck_assert_str_eq(out[0]->name, "far");
    /* The list lags behind, so it does not revive a dead member. */
    report("a", version(5, 0), MR_MEMBER_LIVE);
    report("a", version(5, 0), MR_MEMBER_DEAD);
    mr_member_table_list_begin(table);
    mr_member_table_list_add(table, "a", "konya", "127.0.0.1:2", false);
    mr_member_table_list_end(table);
    ck_assert_int_eq(state_of("a"), MR_MEMBER_DEAD);
    ck_assert_ptr_null(mr_member_table_find(table, "far"));
    /* A member that reported itself stays without being on the list. */
    report("b", version(5, 0), MR_MEMBER_LIVE);
    mr_member_table_list_begin(table);
    mr_member_table_list_end(table);
    ck_assert_int_eq(state_of("b"), MR_MEMBER_LIVE);
    /* A tombstone is removed once the list no longer contains the member. */
    advance_clock(MR_MEMBER_TOMBSTONE_MS);
    ck_assert_ptr_null(mr_member_table_find(table, "a"));
}
END_TEST

START_TEST(test_failed_link_is_avoided_for_a_while)
{
    const mr_member_t *out[4];

    mr_member_table_list_begin(table);
    mr_member_table_list_add(table, "far", "nigde", "127.0.0.1:3", false);
    mr_member_table_list_end(table);
    mr_member_table_report_link_failure(table, "far");
    ck_assert_uint_eq(mr_member_table_usable(table, "k", "nigde", out, 4), 0);
    (void)mr_member_table_take_changed(table);
    advance_clock(MR_MEMBER_LINK_BACKOFF_MS);
    ck_assert(mr_member_table_take_changed(table));
    ck_assert_uint_eq(mr_member_table_usable(table, "k", "nigde", out, 4), 1);
}
END_TEST

START_TEST(test_messages_are_bounded)
{
    mr_msg_member_t out[MR_MEMBER_CHANGES_MAX + 2];
    int sends = 0;

    add_members(325);
    report("m7", version(10, 0), MR_MEMBER_DEAD);
    size_t count = mr_member_table_changes(table, "m7", out);
    ck_assert_uint_le(count, MR_MEMBER_CHANGES_MAX + 2);
    ck_assert_str_eq(out[1].name, "m7");
    ck_assert_int_eq(out[1].state, MR_MEMBER_DEAD);
    while (mr_member_table_changes(table, NULL, out) > 1) {
        sends++;
        ck_assert_int_lt(sends, 325 * 30);
    }
    /* Each change was sent about 3 log2(325) = 27 times. */
    ck_assert_int_gt(sends, 325 * 20 / MR_MEMBER_CHANGES_MAX);
    ck_assert_int_lt(sends, 325 * 31 / MR_MEMBER_CHANGES_MAX);
}
END_TEST

START_TEST(test_each_member_is_pinged_once_per_round)
{
    int seen[20] = {0};
    const int rounds = 30;

    add_members(20);
    for (int i = 0; i < 20 * rounds; i++) {
        const mr_member_t *member = mr_member_table_next_ping(table);
        ck_assert_ptr_nonnull(member);
        seen[atoi(member->name + 1)]++;
    }
    for (int i = 0; i < 20; i++) {
        ck_assert_int_eq(seen[i], rounds);
    }
}
END_TEST

START_TEST(test_dead_members_are_still_pinged_rarely)
{
    int dead = 0;

    add_members(20);
    report("m3", version(10, 0), MR_MEMBER_DEAD);
    for (int i = 0; i < 200; i++) {
        const mr_member_t *member = mr_member_table_next_ping(table);
        dead += strcmp(member->name, "m3") == 0 ? 1 : 0;
    }
    ck_assert_int_eq(dead, 200 / MR_MEMBER_DEAD_PING_PERIOD);
}
END_TEST

START_TEST(test_owner_is_stable_and_changes_on_suspicion)
{
    const mr_member_t *out[32];
    char key[16];
    int moved = 0;

    add_members(20);
    for (int i = 0; i < 200; i++) {
        snprintf(key, sizeof(key), "t%d", i);
        ck_assert_uint_eq(mr_member_table_usable(table, key, "konya", out, 32),
                          21);
        ck_assert_ptr_eq(out[0], mr_member_table_owner(table, key, "konya"));
        for (int j = 1; j < 21; j++) {
            ck_assert_uint_ge(mr_rendezvous_score(key, out[j - 1]->name),
                              mr_rendezvous_score(key, out[j]->name));
        }
    }
    for (int i = 0; i < 200; i++) {
        snprintf(key, sizeof(key), "t%d", i);
        const char *before = mr_member_table_owner(table, key, "konya")->name;
        report("m3", version(10, i), MR_MEMBER_SUSPECT);
        const char *after = mr_member_table_owner(table, key, "konya")->name;
        report("m3", version(10, i + 1), MR_MEMBER_LIVE);
        if (strcmp(before, "m3") == 0) {
            moved++;
            ck_assert_str_ne(after, "m3");
        }
    }
    ck_assert_int_gt(moved, 1);
    ck_assert_int_lt(moved, 40);
}
END_TEST

START_TEST(test_owner_in_other_data_centre_when_home_is_empty)
{
    mr_member_table_list_begin(table);
    mr_member_table_list_add(table, "far", "nigde", "127.0.0.1:3", false);
    mr_member_table_list_end(table);
    ck_assert_str_eq(mr_member_table_owner(table, "t", "nigde")->name, "far");
    mr_member_table_report_link_failure(table, "far");
    ck_assert_str_eq(mr_member_table_owner(table, "t", "nigde")->name, "self");
    mr_member_table_leave(table);
    ck_assert_ptr_null(mr_member_table_owner(table, "t", "nigde"));
    ck_assert_ptr_null(mr_member_table_owner(table, "t", "karaman"));
}
END_TEST

START_TEST(test_instance_is_not_usable_before_it_joined)
{
    mr_member_table_t *fresh = mr_member_table_create(
        &manual, "fresh", "konya", "127.0.0.1:8", INCARNATION);

    ck_assert_ptr_null(mr_member_table_owner(fresh, "t", "konya"));
    (void)mr_member_table_take_changed(fresh);
    mr_member_table_set_joined(fresh);
    ck_assert(mr_member_table_take_changed(fresh));
    ck_assert_str_eq(mr_member_table_owner(fresh, "t", "konya")->name,
                     "fresh");
    mr_member_table_destroy(fresh);
}
END_TEST

START_TEST(test_leaving_member_is_not_usable)
{
    const mr_member_t *out[4];

    report("a", version(5, 0), MR_MEMBER_LIVE);
    report("a", version(5, 0), MR_MEMBER_LEAVING);
    ck_assert_uint_eq(mr_member_table_usable(table, "k", "konya", out, 4), 1);
    mr_member_table_ping_failed(table, "a");
    ck_assert_int_eq(state_of("a"), MR_MEMBER_DEAD);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_higher_version_wins,
        test_suspect_dies_after_a_second,
        test_refuted_suspect_lives,
        test_pause_causes_no_deaths,
        test_own_suspicion_is_refuted,
        test_replaced_process_does_not_refute,
        test_list_gives_candidates_only,
        test_failed_link_is_avoided_for_a_while,
        test_messages_are_bounded,
        test_each_member_is_pinged_once_per_round,
        test_dead_members_are_still_pinged_rarely,
        test_owner_is_stable_and_changes_on_suspicion,
        test_owner_in_other_data_centre_when_home_is_empty,
        test_instance_is_not_usable_before_it_joined,
        test_leaving_member_is_not_usable};

    return RUN_TESTS(tests, .suite = "member_table", .setup = setup,
                     .teardown = teardown);
}
