/* Guards against two data centres that use the same part of an account's rate:
 * after a lost reply, after the expiry of an entry, or after the limit was
 * lowered. */

#include "../common/runner.h"
#include "limit/share.h"

static const mr_limit_amount_t limit = {100000, 50000};

static mr_share_input_t
input_of(int64_t demand)
{
    return (mr_share_input_t){.version = 1, .limit = limit, .demand = demand};
}

static void
add_entry(mr_share_row_t *row, const char *name, int64_t rate, int64_t burst,
          int64_t demand, int64_t renewal)
{
    mr_share_entry_t *entry = &row->entries[row->count++];

    *entry = (mr_share_entry_t){.amount = {rate, burst},
                                .demand = demand,
                                .renewal = renewal,
                                .lease = MR_SHARE_LEASE_MS};
    snprintf(entry->data_centre, sizeof(entry->data_centre), "%s", name);
}

/* Plans until @share wants to write, with reads that return @row; false if it
 * doesn't. */
static bool
plan_write(mr_share_t *share, const mr_share_input_t *input,
           const mr_share_row_t *row, mr_ms_t now, mr_share_row_t *out)
{
    for (int i = 0; i < 3; i++) {
        switch (mr_share_plan(share, input, now, out)) {
        case MR_ROW_READ:
            mr_share_read(share, row, now);
            break;
        case MR_ROW_WRITE:
            return true;
        case MR_ROW_NONE:
            return false;
        }
    }
    return false;
}

/* Creates the only entry of a row, at revision 1, with the whole limit. */
static mr_share_t *
create_full(mr_share_row_t *row, mr_ms_t now)
{
    mr_share_t *share = mr_share_create("konya");
    mr_share_input_t input = input_of(50000);

    *row = (mr_share_row_t){0};
    ck_assert(plan_write(share, &input, row, now, row));
    mr_share_written(share, MR_ROW_WRITTEN, 1, now);
    row->revision = 1;
    ck_assert_int_eq(mr_share_usable(share, &input, now).rate, limit.rate);
    ck_assert_int_eq(mr_share_usable(share, &input, now).burst, limit.burst);
    return share;
}

START_TEST(test_expires_from_when_the_renewal_was_sent)
{
    mr_share_row_t row = {0};
    mr_share_row_t out;
    mr_share_t *share = mr_share_create("konya");
    mr_share_input_t input = input_of(0);

    ck_assert(plan_write(share, &input, &row, 1000, &out));
    ck_assert_int_eq(mr_share_usable(share, &input, 1000).rate, 0);
    mr_share_written(share, MR_ROW_WRITTEN, 1, 1900);
    mr_ms_t expiry = 1000 + MR_SHARE_LEASE_MS;
    ck_assert_int_eq(mr_share_expiry(share), expiry);
    ck_assert_int_gt(mr_share_usable(share, &input, expiry - 1).rate, 0);
    ck_assert_int_eq(mr_share_usable(share, &input, expiry).rate, 0);
    mr_share_destroy(share);
}
END_TEST

START_TEST(test_lost_decrease_counts_until_resolved)
{
    mr_share_row_t row;
    mr_share_row_t out;
    mr_share_t *share = create_full(&row, 1000);
    mr_share_input_t input = input_of(50000);
    mr_share_row_t without_demand;

    add_entry(&row, "nigde", 0, 0, 50000, 1);
    row.revision = 2;
    ck_assert(plan_write(share, &input, &row, 4000, &out));
    mr_share_written(share, MR_ROW_UNKNOWN, 0, 4100);
    /* The other data centre no longer needs the rate. The own share must not
     * rise again while the write that lowers it may still take effect. */
    without_demand = row;
    without_demand.entries[1].demand = 0;
    mr_share_plan(share, &input, 5000, &out);
    mr_share_read(share, &without_demand, 5000);
    ck_assert_int_eq(mr_share_usable(share, &input, 5000).rate,
                     limit.rate / 2);
    ck_assert_int_eq(mr_share_plan(share, &input, 5000, &out), MR_ROW_WRITE);
    ck_assert_int_eq(out.revision, 2);
    ck_assert_int_eq(mr_share_usable(share, &input, 5000).rate,
                     limit.rate / 2);
    mr_share_destroy(share);
}
END_TEST

START_TEST(test_lost_increase_counts_after_a_read)
{
    mr_share_row_t row = {.revision = 7, .version = 1, .limit = limit};
    mr_share_row_t out;
    mr_share_t *share = mr_share_create("konya");
    mr_share_input_t input = input_of(90000);

    add_entry(&row, "nigde", 40000, 20000, 40000, 6);
    ck_assert(plan_write(share, &input, &row, 1000, &out));
    ck_assert_int_eq(out.entries[1].amount.rate, 60000);
    mr_share_written(share, MR_ROW_UNKNOWN, 0, 1500);
    ck_assert_int_eq(mr_share_usable(share, &input, 1500).rate, 0);
    out.revision = 8;
    mr_share_plan(share, &input, 2000, &row);
    mr_share_read(share, &out, 2000);
    ck_assert_int_eq(mr_share_usable(share, &input, 2000).rate, 60000);
    ck_assert_int_eq(mr_share_expiry(share), 1000 + MR_SHARE_LEASE_MS);
    mr_share_destroy(share);
}
END_TEST

START_TEST(test_lowers_only_what_grants_allow)
{
    mr_share_row_t row;
    mr_share_row_t out;
    mr_share_t *share = create_full(&row, 1000);
    mr_share_input_t input = input_of(0);

    input.min_amount = (mr_limit_amount_t){70000, 35000};
    add_entry(&row, "nigde", 0, 0, 100000, 1);
    row.revision = 2;
    ck_assert(plan_write(share, &input, &row, 60000, &out));
    ck_assert_int_eq(out.entries[0].amount.rate, 70000);
    ck_assert_int_eq(out.entries[0].amount.burst, 35000);
    /* New grants are already limited by the target. */
    ck_assert_int_lt(mr_share_usable(share, &input, 60000).rate, 70000);
    mr_share_destroy(share);
}
END_TEST

START_TEST(test_entry_is_reused_only_after_expiry)
{
    mr_share_row_t row = {.revision = 7, .version = 1, .limit = limit};
    mr_share_row_t out;
    mr_share_t *share = mr_share_create("konya");
    mr_share_input_t input = input_of(90000);
    mr_ms_t now = 5000;

    add_entry(&row, "nigde", 100000, 50000, 100000, 6);
    ck_assert(plan_write(share, &input, &row, now, &out));
    mr_share_written(share, MR_ROW_WRITTEN, 8, now);
    row = out;
    row.revision = 8;
    while (now < 5000 + mr_limit_expiry_wait(MR_SHARE_LEASE_MS)) {
        ck_assert_int_eq(mr_share_usable(share, &input, now).rate, 0);
        if (plan_write(share, &input, &row, now, &out)) {
            int64_t revision = row.revision + 1;
            ck_assert_int_eq(out.count, 2);
            row = out;
            row.revision = revision;
            mr_share_written(share, MR_ROW_WRITTEN, revision, now);
        }
        now += 1000;
    }
    ck_assert(plan_write(share, &input, &row, now + 2000, &out));
    ck_assert_int_eq(out.count, 1);
    ck_assert_int_eq(out.entries[0].amount.rate, limit.rate);
    mr_share_destroy(share);
}
END_TEST

START_TEST(test_lowered_limit)
{
    mr_share_row_t row;
    mr_share_row_t out;
    mr_share_t *share = create_full(&row, 1000);
    mr_share_input_t input = input_of(50000);
    mr_share_input_t old = input;

    input.version = 2;
    input.limit = (mr_limit_amount_t){30000, 10000};
    ck_assert_int_eq(mr_share_usable(share, &input, 2000).rate, 30000);
    ck_assert_int_eq(mr_share_usable(share, &input, 2000).burst, 10000);
    ck_assert(plan_write(share, &input, &row, 3000, &out));
    ck_assert_int_eq(out.version, 2);
    ck_assert_int_eq(out.entries[0].amount.rate, 30000);
    ck_assert_int_eq(out.prior_limit.rate, 30000);
    mr_share_written(share, MR_ROW_WRITTEN, 2, 3000);
    out.revision = 2;
    /* A data centre without the new configuration doesn't exceed the limit. */
    mr_share_t *other = mr_share_create("nigde");
    row = out;
    ck_assert(plan_write(other, &old, &row, 4000, &out));
    ck_assert_int_eq(out.version, 2);
    ck_assert_int_eq(out.entries[1].amount.rate, 0);
    mr_share_destroy(other);
    mr_share_destroy(share);
}
END_TEST

START_TEST(test_lowered_limit_while_another_is_cut_off)
{
    mr_share_row_t row;
    mr_share_row_t out;
    mr_share_t *share = create_full(&row, 1000);
    mr_share_input_t input = input_of(50000);

    row.entries[0].amount = (mr_limit_amount_t){50000, 25000};
    add_entry(&row, "nigde", 50000, 25000, 50000, 1);
    row.revision = 2;
    mr_share_plan(share, &input, 4000, &out);
    mr_share_read(share, &row, 4000);
    input.version = 2;
    input.limit = (mr_limit_amount_t){40000, 20000};
    ck_assert(plan_write(share, &input, &row, 4000, &out));
    /* Until the sum fits, nigde and this one can use two fifths of their
     * entries. */
    mr_share_written(share, MR_ROW_WRITTEN, 3, 4010);
    ck_assert_int_eq(out.prior_limit.rate, limit.rate);
    ck_assert_int_le(mr_share_usable(share, &input, 4010).rate, 20000);
    mr_share_destroy(share);
}
END_TEST

/* Guards against a successor that counts too few or too many grants as in
 * force: the entry records the upper bound of LONG grants until it is written
 * again. */
START_TEST(test_entry_records_bound_of_long_grants)
{
    mr_share_row_t row;
    mr_share_row_t out;
    mr_share_t *share = create_full(&row, 1000);
    mr_share_input_t input = input_of(50000);

    /* The first write records nothing: the predecessor's grants are unknown.
     */
    ck_assert_int_eq(row.entries[0].granted_epoch, 0);
    input.epoch = 7;
    input.long_total = (mr_limit_amount_t){60000, 1000};
    ck_assert(plan_write(share, &input, &row, 1010, &out));
    ck_assert_int_eq(out.entries[0].granted_epoch, 7);
    ck_assert_int_eq(out.entries[0].granted.rate, 60000);
    ck_assert_int_eq(out.entries[0].granted.burst, limit.burst / 4);
    mr_share_written(share, MR_ROW_WRITTEN, 2, 1020);
    row = out;
    row.revision = 2;
    ck_assert(!plan_write(share, &input, &row, 1030, &out));
    /* A stop writes the grants in force, although the epoch is the same. */
    mr_share_stop(share, 7, (mr_limit_amount_t){500, 200});
    ck_assert(!mr_share_stopped(share));
    ck_assert(plan_write(share, &input, &row, 1040, &out));
    ck_assert_int_eq(out.entries[0].granted.rate, 500);
    mr_share_written(share, MR_ROW_WRITTEN, 3, 1050);
    ck_assert(mr_share_stopped(share));
    mr_share_destroy(share);
}
END_TEST

START_TEST(test_row_json)
{
    mr_share_row_t row = {.revision = 3, .version = 9, .limit = limit};
    mr_share_row_t back;

    add_entry(&row, "konya", 60000, 30000, 5, 2);
    json_t *value = mr_share_row_format(&row);
    ck_assert(mr_share_row_parse(value, 3, &back));
    ck_assert_mem_eq(&back.entries[0].amount, &row.entries[0].amount,
                     sizeof(row.entries[0].amount));
    ck_assert_int_eq(back.version, 9);
    json_object_set_new(json_object_get(value, "shares"), "nigde",
                        json_pack("{s:i}", "rate", -1));
    ck_assert(!mr_share_row_parse(value, 3, &back));
    json_decref(value);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_expires_from_when_the_renewal_was_sent,
                                  test_lost_decrease_counts_until_resolved,
                                  test_lost_increase_counts_after_a_read,
                                  test_lowers_only_what_grants_allow,
                                  test_entry_is_reused_only_after_expiry,
                                  test_lowered_limit,
                                  test_lowered_limit_while_another_is_cut_off,
                                  test_entry_records_bound_of_long_grants,
                                  test_row_json};

    return RUN_TESTS(tests, .suite = "share");
}
