/* Guards against two limiters of one shard at the same time. */

#include "../common/runner.h"
#include "limit/lease.h"

static const char *const order[] = {"a", "b", "c", "d"};

/* Plans until @lease wants to write, with reads that return @row; false if it
 * doesn't. @first: index of the first member in the rendezvous order. */
static bool
wants_write(mr_lease_t *lease, const mr_lease_row_t *row, size_t first,
            mr_ms_t now, mr_lease_row_t *out)
{
    for (int i = 0; i < 3; i++) {
        switch (
            mr_lease_plan(lease, order + first, 4 - first, false, now, out)) {
        case MR_ROW_READ:
            mr_lease_read(lease, row, now);
            break;
        case MR_ROW_WRITE:
            return true;
        case MR_ROW_NONE:
            return false;
        }
    }
    return false;
}

/* "a" acquires the lease of a shard without a row, at revision 1. */
static mr_lease_t *
create_owner(mr_lease_row_t *row, mr_ms_t now)
{
    mr_lease_t *lease = mr_lease_create("a", 11);

    *row = (mr_lease_row_t){0};
    ck_assert(wants_write(lease, row, 0, now, row));
    ck_assert(!mr_lease_held(lease, now));
    mr_lease_written(lease, MR_ROW_WRITTEN, 1, now + 500);
    row->revision = 1;
    ck_assert(mr_lease_held(lease, now + 500));
    ck_assert_int_eq(mr_lease_epoch(lease), 1);
    ck_assert_int_eq(row->successor_count, 2);
    return lease;
}

/* Returns when @name first wants to take over if it reads @row at @now. */
static mr_ms_t
takeover_time(const char *name, const mr_lease_row_t *row, mr_ms_t now)
{
    mr_lease_t *lease = mr_lease_create(name, 99);
    mr_lease_row_t out;

    while (!wants_write(lease, row, 1, now, &out)) {
        now += 10;
    }
    ck_assert_int_eq(out.epoch, row->epoch + 1);
    mr_lease_destroy(lease);
    return now;
}

START_TEST(test_lease_counts_from_when_the_renewal_was_sent)
{
    mr_lease_row_t row;
    mr_lease_t *lease = create_owner(&row, 1000);

    ck_assert(mr_lease_held(lease, 1000 + MR_LEASE_MS - 1));
    ck_assert(!mr_lease_held(lease, 1000 + MR_LEASE_MS));
    mr_lease_destroy(lease);
}
END_TEST

START_TEST(test_only_listed_successors_take_over_after_the_expiry)
{
    mr_lease_row_t row;
    mr_ms_t expiry = mr_limit_expiry_wait(MR_LEASE_MS);
    mr_lease_t *lease = create_owner(&row, 1000);

    ck_assert_int_ge(takeover_time("b", &row, 5000), 5000 + expiry);
    ck_assert_int_lt(takeover_time("b", &row, 5000), 5000 + expiry + 1000);
    ck_assert_int_ge(takeover_time("c", &row, 5000), 5000 + expiry);
    ck_assert_int_ge(takeover_time("d", &row, 5000),
                     5000 + expiry + MR_LEASE_OUTAGE_MS);
    /* Another process under the owner's name is not the owner. */
    ck_assert_int_ge(takeover_time("a", &row, 5000),
                     5000 + expiry + MR_LEASE_OUTAGE_MS);
    row.owner[0] = '\0';
    ck_assert_int_lt(takeover_time("b", &row, 5000), 6000);
    mr_lease_destroy(lease);
}
END_TEST

START_TEST(test_owner_keeps_lease_while_all_promise)
{
    mr_lease_row_t row;
    mr_lease_row_t out;
    mr_lease_t *lease = create_owner(&row, 1000);
    mr_ms_t now = 1000 + MR_LEASE_RENEW_MS;

    ck_assert(wants_write(lease, &row, 0, now, &out));
    mr_lease_written(lease, MR_ROW_UNKNOWN, 0, now + 1000);
    now = 1000 + MR_LEASE_MS - 10;
    ck_assert_str_eq(mr_lease_promise_due(lease, now), "b");
    ck_assert_str_eq(mr_lease_promise_due(lease, now), "c");
    ck_assert_ptr_null(mr_lease_promise_due(lease, now));
    mr_lease_promise_received(lease, "b", now, MR_LEASE_PROMISE_MS);
    ck_assert(!mr_lease_held(lease, now + 100));
    mr_lease_promise_received(lease, "c", now, 0);
    ck_assert(!mr_lease_held(lease, now + 100));
    mr_lease_promise_received(lease, "c", now, MR_LEASE_PROMISE_MS);
    ck_assert(mr_lease_held(lease, now + 100));
    ck_assert(!mr_lease_held(lease, now + MR_LEASE_PROMISE_MS));
    /* Promises don't extend the lease beyond MR_LEASE_OUTAGE_MS. */
    mr_lease_promise_received(lease, "b", 1000 + MR_LEASE_OUTAGE_MS, 3000);
    mr_lease_promise_received(lease, "c", 1000 + MR_LEASE_OUTAGE_MS, 3000);
    ck_assert(!mr_lease_held(lease, 1000 + MR_LEASE_OUTAGE_MS));
    ck_assert(mr_lease_held(lease, 999 + MR_LEASE_OUTAGE_MS));
    mr_lease_destroy(lease);
}
END_TEST

START_TEST(test_promise_binds_the_successor)
{
    mr_lease_row_t row;
    mr_lease_row_t out;
    mr_ms_t expiry = mr_limit_expiry_wait(MR_LEASE_MS);
    mr_lease_t *owner = create_owner(&row, 1000);
    mr_lease_t *lease = mr_lease_create("b", 12);

    ck_assert_int_eq(mr_lease_make_promise(lease, 1, 2000), 0);
    ck_assert(!wants_write(lease, &row, 1, 2000, &out));
    ck_assert_int_eq(mr_lease_make_promise(lease, 2, 2000), 0);
    mr_ms_t asked = 2000 + expiry - 10;
    ck_assert_int_eq(mr_lease_make_promise(lease, 1, asked),
                     MR_LEASE_PROMISE_MS);
    mr_ms_t now = asked;
    while (!wants_write(lease, &row, 1, now, &out)) {
        now += 10;
    }
    ck_assert_int_ge(now, asked + mr_limit_expiry_wait(MR_LEASE_PROMISE_MS));
    /* No promise while the write of its own takeover may take effect. */
    ck_assert_int_eq(mr_lease_make_promise(lease, 1, now), 0);
    mr_lease_written(lease, MR_ROW_UNKNOWN, 0, now + 100);
    ck_assert_int_eq(mr_lease_make_promise(lease, 1, now + 100), 0);
    mr_lease_destroy(lease);
    mr_lease_destroy(owner);
}
END_TEST

START_TEST(test_lost_reply_of_a_takeover)
{
    mr_lease_row_t row;
    mr_lease_row_t out;
    mr_lease_t *owner = create_owner(&row, 1000);
    mr_lease_t *lease = mr_lease_create("b", 12);
    mr_ms_t now = 2000;

    while (!wants_write(lease, &row, 1, now, &out)) {
        now += 10;
    }
    mr_ms_t written = now + MR_LEASE_RENEW_MS / 2;
    mr_ms_t read = now + MR_LEASE_RENEW_MS - 1;
    mr_lease_written(lease, MR_ROW_UNKNOWN, 0, written);
    ck_assert(!mr_lease_held(lease, written));
    out.revision = 2;
    ck_assert(!wants_write(lease, &out, 1, read, &row));
    ck_assert(mr_lease_held(lease, read));
    ck_assert_int_eq(mr_lease_acquired_at(lease), now);
    ck_assert(!mr_lease_held(lease, now + MR_LEASE_MS));
    /* The former owner, paused until now, has lost the lease by its clock. */
    ck_assert(!mr_lease_held(owner, now));
    mr_lease_destroy(lease);
    mr_lease_destroy(owner);
}
END_TEST

START_TEST(test_drain_releases)
{
    mr_lease_row_t row;
    mr_lease_row_t out;
    mr_lease_t *lease = create_owner(&row, 1000);

    ck_assert_int_eq(mr_lease_plan(lease, order, 4, true, 2000, &out),
                     MR_ROW_WRITE);
    ck_assert(!mr_lease_held(lease, 2000));
    ck_assert_str_eq(out.owner, "");
    mr_lease_written(lease, MR_ROW_WRITTEN, 2, 2010);
    ck_assert_int_eq(mr_lease_epoch(lease), 0);
    json_t *value = mr_lease_row_format(&out);
    ck_assert(mr_lease_row_parse(value, 2, &row));
    ck_assert_str_eq(row.successors[1], "c");
    ck_assert_int_eq(row.epoch, 1);
    json_decref(value);
    mr_lease_destroy(lease);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_lease_counts_from_when_the_renewal_was_sent,
        test_only_listed_successors_take_over_after_the_expiry,
        test_owner_keeps_lease_while_all_promise,
        test_promise_binds_the_successor,
        test_lost_reply_of_a_takeover,
        test_drain_releases};

    return RUN_TESTS(tests, .suite = "lease");
}
