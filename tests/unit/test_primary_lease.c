/* Guards against a primary that is used after the lease has lapsed or while it
 * is withheld, against support of two coordinators, and against promotions
 * that are ordered while an instance may still use the old primary. */

#include <stdlib.h>

#include "../common/runner.h"
#include "common/counters.h"
#include "session/lease_grantor.h"

enum { NOW = 50000, INSTANCES = 5, RTT = 4 };

static mr_counters_t *counters;
static mr_primary_lease_t *lease;     /* of instance "b" */
static mr_primary_lease_t *own_lease; /* of the coordinator "a" */
static mr_lease_grantor_t *grantor;

static void
set_up(void)
{
    counters = mr_counters_create();
    lease = mr_primary_lease_create(counters, NOW - MR_SUPPORT_MS);
    own_lease = mr_primary_lease_create(counters, NOW - MR_SUPPORT_MS);
    grantor = mr_lease_grantor_create("a", own_lease);
    mr_lease_grantor_set_instances(grantor, INSTANCES);
    mr_lease_grantor_set_coordinating(grantor, true, NOW);
}

static void
tear_down(void)
{
    mr_lease_grantor_destroy(grantor);
    mr_primary_lease_destroy(own_lease);
    mr_primary_lease_destroy(lease);
    mr_counters_destroy(counters);
}

/* Applies a reply of @coordinator to a report sent at @asked_at, which names
 * @service, if not NULL, as withheld. */
static bool
reply(const char *coordinator, mr_ms_t asked_at, bool granted,
      const char *service, int64_t number)
{
    mr_msg_withheld_t item = {
        .service = service, .number = number, .primary = "a"};

    return mr_primary_lease_import(
        lease, &(mr_lease_reply_t){.coordinator = coordinator,
                                   .asked_at = asked_at,
                                   .sent_at = asked_at + RTT / 2,
                                   .now = asked_at + RTT,
                                   .granted = granted,
                                   .withheld = &item,
                                   .withheld_count = service != NULL});
}

/* Instance @name reports support as of @support and, if @number is not 0, that
 * it withholds "rez". */
static void
report(const char *name, mr_ms_t support, int64_t number, mr_ms_t now)
{
    mr_msg_withheld_t item = {
        .service = "rez", .number = number, .primary = "db-1", .claim = 7};

    mr_lease_grantor_report(grantor,
                            &(mr_lease_report_t){.instance = name,
                                                 .support = support,
                                                 .withheld = &item,
                                                 .withheld_count = number != 0,
                                                 .now = now});
}

/* Makes "a" lead with the support of "a", "b" and "c" until @until. */
static void
lead(mr_ms_t from, mr_ms_t until)
{
    for (mr_ms_t now = from; now <= until; now += MR_SUPPORT_MS / 4) {
        mr_lease_grantor_renew_own(grantor, now);
        report("b", now, 0, now);
        report("c", now, 0, now);
    }
}

static int64_t
withheld_number(void)
{
    size_t count;
    mr_msg_withheld_t *list = mr_lease_grantor_list_withheld(grantor, &count);
    int64_t number = count > 0 ? list[0].number : 0;

    free(list);
    return number;
}

START_TEST(test_a_lease_counts_from_the_report)
{
    ck_assert(!mr_primary_lease_covers(lease, "rez", NOW));
    reply("a", NOW, true, NULL, 0);
    ck_assert(mr_primary_lease_covers(lease, "rez", NOW + RTT));
    ck_assert(
        mr_primary_lease_covers(lease, "rez", NOW + MR_PRIMARY_LEASE_MS - 1));
    ck_assert(
        !mr_primary_lease_covers(lease, "rez", NOW + MR_PRIMARY_LEASE_MS));
    reply("a", NOW + MR_PRIMARY_LEASE_MS, false, NULL, 0);
    ck_assert(!mr_primary_lease_covers(lease, "rez",
                                       NOW + MR_PRIMARY_LEASE_MS + RTT));
}
END_TEST

START_TEST(test_a_withheld_service_needs_a_later_grant)
{
    reply("a", NOW, true, NULL, 0);
    ck_assert(reply("a", NOW + 250, true, "rez", 1));
    ck_assert(!mr_primary_lease_covers(lease, "rez", NOW + 300));
    ck_assert(mr_primary_lease_covers(lease, "agro", NOW + 300));
    /* The coordinator knows already that it is withheld here. */
    ck_assert(!reply("a", NOW + 500, true, "rez", 1));
    /* An answer to an earlier report, and one without a grant. */
    reply("a", NOW + 250, true, NULL, 0);
    reply("a", NOW + 600, false, NULL, 0);
    ck_assert(!mr_primary_lease_covers(lease, "rez", NOW + 700));
    reply("a", NOW + 750, true, NULL, 0);
    ck_assert(mr_primary_lease_covers(lease, "rez", NOW + 800));
}
END_TEST

START_TEST(test_one_coordinator_is_supported_at_a_time)
{
    ck_assert(reply("a", NOW, false, NULL, 0));
    ck_assert_int_eq(mr_primary_lease_support(lease, "a"), NOW + RTT / 2);
    ck_assert(!reply("d", NOW + 100, false, NULL, 0));
    ck_assert_int_eq(mr_primary_lease_support(lease, "d"), 0);
    ck_assert(!reply("d", NOW + MR_SUPPORT_MS - 1, false, NULL, 0));
    ck_assert(reply("d", NOW + MR_SUPPORT_MS, false, NULL, 0));
    ck_assert_int_eq(mr_primary_lease_support(lease, "a"), 0);
    ck_assert_int_ne(mr_primary_lease_support(lease, "d"), 0);
}
END_TEST

/* An earlier process may have supported another coordinator. */
START_TEST(test_support_of_a_new_process_is_provisional)
{
    mr_primary_lease_destroy(lease);
    lease = mr_primary_lease_create(counters, NOW);
    ck_assert(reply("d", NOW, false, NULL, 0));
    ck_assert(mr_primary_lease_is_provisional(lease, NOW + MR_SUPPORT_MS - 1));
    ck_assert(!mr_primary_lease_is_provisional(lease, NOW + MR_SUPPORT_MS));
}
END_TEST

START_TEST(test_provisional_support_counts_only_if_it_is_unanimous)
{
    static const char *const names[] = {"b", "c", "d", "e"};

    mr_lease_grantor_renew_own(grantor, NOW);
    mr_lease_grantor_renew_own(grantor, NOW);
    for (int i = 0; i < 4; i++) {
        ck_assert(!mr_lease_grantor_leads(grantor, NOW));
        mr_lease_grantor_report(grantor,
                                &(mr_lease_report_t){.instance = names[i],
                                                     .support = NOW,
                                                     .provisional = true,
                                                     .now = NOW});
    }
    ck_assert(mr_lease_grantor_leads(grantor, NOW));
}
END_TEST

/* Processes that have ended since may have supported it. */
START_TEST(test_support_from_before_it_coordinated_does_not_count)
{
    lead(NOW, NOW + 200);
    mr_lease_grantor_set_coordinating(grantor, false, NOW + 200);
    mr_lease_grantor_set_coordinating(grantor, true, NOW + 210);
    mr_lease_grantor_renew_own(grantor, NOW + 210);
    mr_lease_grantor_renew_own(grantor, NOW + 210);
    report("b", NOW + 190, 0, NOW + 220);
    ck_assert(!mr_lease_grantor_leads(grantor, NOW + 220));
    report("c", NOW + 220, 0, NOW + 220);
    ck_assert(mr_lease_grantor_leads(grantor, NOW + 220));
}
END_TEST

START_TEST(test_a_coordinator_that_leaves_frees_its_support)
{
    reply("a", NOW, false, NULL, 0);
    mr_primary_lease_import(lease, &(mr_lease_reply_t){.coordinator = "a",
                                                       .asked_at = NOW + 100,
                                                       .sent_at = NOW + 101,
                                                       .now = NOW + 102,
                                                       .leaving = true});
    ck_assert(reply("d", NOW + 150, false, NULL, 0));
}
END_TEST

START_TEST(test_only_a_majority_makes_a_leader)
{
    mr_lease_grantor_renew_own(grantor, NOW);
    mr_lease_grantor_renew_own(grantor, NOW);
    report("b", NOW, 0, NOW);
    ck_assert(!mr_lease_grantor_grant(grantor, "b", NOW));
    report("c", 0, 0, NOW);
    ck_assert(!mr_lease_grantor_grant(grantor, "b", NOW));
    /* From before a restart of the machine. */
    report("c", NOW + 1000, 0, NOW);
    ck_assert(!mr_lease_grantor_grant(grantor, "b", NOW));
    report("c", NOW - MR_SUPPORT_MS, 0, NOW);
    ck_assert(!mr_lease_grantor_grant(grantor, "b", NOW));
    report("c", NOW - 1, 0, NOW);
    ck_assert(mr_lease_grantor_grant(grantor, "b", NOW));
    ck_assert(!mr_lease_grantor_grant(grantor, "b", NOW + MR_SUPPORT_MS));
}
END_TEST

START_TEST(test_an_order_waits_for_each_lease)
{
    mr_ms_t now = NOW + 2 * MR_PRIMARY_LEASE_MS;

    lead(NOW, now);
    mr_lease_grantor_grant(grantor, "d", now - 1000);
    mr_lease_grantor_grant(grantor, "b", now);
    mr_lease_grantor_grant(grantor, "c", now);
    mr_lease_grantor_withhold(grantor, "rez", "db-1", 7, now);
    ck_assert(!mr_lease_grantor_may_order(grantor, "rez", now));
    report("b", now, withheld_number(), now);
    report("c", now, withheld_number(), now);
    /* "d" does not answer: its lease has to lapse. */
    ck_assert(!mr_lease_grantor_may_order(grantor, "rez", now + 100));
    ck_assert(!mr_lease_grantor_may_order(
        grantor, "rez", now - 1000 + MR_PRIMARY_LEASE_MS - 1));
    ck_assert(mr_lease_grantor_may_order(grantor, "rez",
                                         now - 1000 + MR_PRIMARY_LEASE_MS));
}
END_TEST

START_TEST(test_a_new_leader_waits_for_the_leases_of_the_last_one)
{
    mr_ms_t now = NOW + MR_PRIMARY_LEASE_MS;

    mr_lease_grantor_renew_own(grantor, NOW);
    lead(NOW, now - 100);
    mr_lease_grantor_withhold(grantor, "rez", "db-1", 7, now - 100);
    report("b", now - 100, withheld_number(), now - 100);
    report("c", now - 100, withheld_number(), now - 100);
    ck_assert(!mr_lease_grantor_may_order(grantor, "rez", now - 1));
    ck_assert(mr_lease_grantor_may_order(grantor, "rez", now));
    /* Without the support of a majority it no longer may. */
    ck_assert(
        !mr_lease_grantor_may_order(grantor, "rez", now + MR_SUPPORT_MS));
}
END_TEST

START_TEST(test_confirmations_of_an_earlier_round_do_not_count)
{
    mr_ms_t now = NOW + 2 * MR_PRIMARY_LEASE_MS;

    lead(NOW, now);
    mr_lease_grantor_grant(grantor, "b", now);
    mr_lease_grantor_withhold(grantor, "rez", "db-1", 7, now);
    int64_t earlier = withheld_number();
    mr_lease_grantor_release(grantor, "rez");
    mr_lease_grantor_withhold(grantor, "rez", "db-1", 7, now);
    ck_assert_int_ne(withheld_number(), earlier);
    report("b", now, earlier, now);
    report("c", now, withheld_number(), now);
    ck_assert(!mr_lease_grantor_may_order(grantor, "rez", now));
    report("b", now, withheld_number(), now);
    ck_assert(mr_lease_grantor_may_order(grantor, "rez", now));
}
END_TEST

START_TEST(test_a_new_leader_adopts_what_its_supporters_withhold)
{
    mr_msg_withheld_t adopted;

    report("b", NOW, 99, NOW);
    mr_lease_grantor_renew_own(grantor, NOW);
    mr_lease_grantor_renew_own(grantor, NOW);
    ck_assert(!mr_lease_grantor_adopted(grantor, "rez", &adopted));
    report("c", NOW, 0, NOW);
    ck_assert(mr_lease_grantor_leads(grantor, NOW));
    ck_assert(mr_lease_grantor_adopted(grantor, "rez", &adopted));
    ck_assert_str_eq(adopted.primary, "db-1");
    ck_assert_int_eq(adopted.claim, 7);
    ck_assert(!mr_lease_grantor_may_order(grantor, "rez", NOW));
    ck_assert(!mr_primary_lease_covers(own_lease, "rez", NOW));
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_a_lease_counts_from_the_report,
        test_a_withheld_service_needs_a_later_grant,
        test_one_coordinator_is_supported_at_a_time,
        test_support_of_a_new_process_is_provisional,
        test_provisional_support_counts_only_if_it_is_unanimous,
        test_support_from_before_it_coordinated_does_not_count,
        test_a_coordinator_that_leaves_frees_its_support,
        test_only_a_majority_makes_a_leader,
        test_an_order_waits_for_each_lease,
        test_a_new_leader_waits_for_the_leases_of_the_last_one,
        test_confirmations_of_an_earlier_round_do_not_count,
        test_a_new_leader_adopts_what_its_supporters_withhold,
    };

    return RUN_TESTS(tests, .suite = "primary lease", .setup = set_up,
                     .teardown = tear_down);
}
