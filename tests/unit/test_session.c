/* Session tokens and transaction handles: forged tokens and tokens of another
 * kind are refused, positions never decrease, and uncertain writes are not
 * settled too early. */

#include <stdlib.h>
#include <string.h>

#include "../common/runner.h"
#include "entry/session.h"
#include "entry/txn.h"

static mr_seal_t *
create_seal(uint8_t secret_byte, mr_seal_purpose_t purpose)
{
    uint8_t secret[MR_SEAL_SECRET_BYTES];

    memset(secret, secret_byte, sizeof(secret));
    return mr_seal_create(secret, purpose);
}

START_TEST(test_token_carries_the_session)
{
    mr_seal_t *seal = create_seal(1, MR_SEAL_SESSION);
    mr_session_t session = {.count = 0};
    mr_session_t decoded;

    mr_session_record_write(&session, 7, 2, 10, 1);
    mr_session_record_uncertain_write(&session, 9, 3);
    char *token = mr_session_encode(seal, &session);
    ck_assert(mr_session_decode(seal, token, &decoded));
    ck_assert_uint_eq(decoded.count, 2);
    ck_assert_int_eq(mr_session_find(&decoded, 7)->position, 10);
    ck_assert_int_eq(mr_session_find(&decoded, 7)->covering_target, 1);
    ck_assert_int_eq(mr_session_find(&decoded, 9)->uncertain_term, 3);
    free(token);
    mr_seal_destroy(seal);
}
END_TEST

START_TEST(test_altered_token_is_refused)
{
    mr_seal_t *seal = create_seal(1, MR_SEAL_SESSION);
    mr_session_t session = {.count = 0};
    mr_session_t decoded;

    mr_session_record_write(&session, 7, 2, 10, 1);
    char *token = mr_session_encode(seal, &session);
    for (size_t i = 0; i < strlen(token); i++) {
        char original = token[i];
        token[i] = original == 'A' ? 'B' : 'A';
        ck_assert(!mr_session_decode(seal, token, &decoded));
        token[i] = original;
    }
    ck_assert(!mr_session_decode(seal, "", &decoded));
    ck_assert(!mr_session_decode(seal, "no token", &decoded));
    free(token);
    mr_seal_destroy(seal);
}
END_TEST

/* A token must not be accepted as one of another kind or fleet. */
START_TEST(test_tokens_of_other_kinds_are_refused)
{
    mr_seal_t *sessions = create_seal(1, MR_SEAL_SESSION);
    mr_seal_t *handles = create_seal(1, MR_SEAL_TRANSACTION);
    mr_seal_t *others = create_seal(2, MR_SEAL_SESSION);
    mr_session_t session = {.count = 0};
    mr_txn_t txn;

    mr_session_record_write(&session, 7, 2, 10, 1);
    char *token = mr_session_encode(sessions, &session);
    ck_assert(!mr_txn_decode(handles, token, &txn));
    ck_assert(!mr_session_decode(others, token, &session));
    free(token);
    mr_seal_destroy(sessions);
    mr_seal_destroy(handles);
    mr_seal_destroy(others);
}
END_TEST

START_TEST(test_positions_only_go_up)
{
    mr_session_t session = {.count = 0};

    mr_session_record_write(&session, 7, 2, 10, 1);
    mr_session_record_write(&session, 7, 2, 9, 2);
    mr_session_record_write(&session, 7, 1, 99, 2);
    ck_assert_int_eq(mr_session_find(&session, 7)->position, 10);
    ck_assert_int_eq(mr_session_find(&session, 7)->term, 2);
    mr_session_record_write(&session, 7, 3, 4, 0);
    ck_assert_int_eq(mr_session_find(&session, 7)->position, 4);
}
END_TEST

START_TEST(test_uncertain_write_lasts_until_its_term_is_over)
{
    mr_session_t session = {.count = 0};

    mr_session_record_uncertain_write(&session, 7, 3);
    ck_assert(!mr_session_settle_uncertain_write(&session, 7, 3, 50));
    mr_session_record_write(&session, 7, 3, 51, 0);
    ck_assert_int_eq(mr_session_find(&session, 7)->uncertain_term, 3);
    ck_assert(mr_session_settle_uncertain_write(&session, 7, 4, 60));
    ck_assert_int_eq(mr_session_find(&session, 7)->uncertain_term, 0);
    /* Later reads must cover the position of the present read. */
    ck_assert_int_eq(mr_session_find(&session, 7)->term, 4);
    ck_assert_int_eq(mr_session_find(&session, 7)->position, 60);
}
END_TEST

START_TEST(test_write_of_unknown_term_stays_uncertain)
{
    mr_session_t session = {.count = 0};

    mr_session_record_uncertain_write(&session, 7, MR_SESSION_ANY_TERM);
    ck_assert(!mr_session_settle_uncertain_write(&session, 7, 1000, 50));
    mr_session_record_write(&session, 7, 1001, 51, 0);
    ck_assert(mr_session_find(&session, 7)->uncertain_term != 0);
}
END_TEST

/* Without the transaction's term in the handle, a commit with unknown outcome
 * would stay uncertain after the owner is lost. */
START_TEST(test_handle_carries_the_transaction)
{
    mr_seal_t *seal = create_seal(1, MR_SEAL_TRANSACTION);
    const mr_txn_t txn = {.route = "data",
                          .instance = "konya-0",
                          .address = "127.0.0.1:1",
                          .account = "a",
                          .group = "g0",
                          .id = "1",
                          .access = 1,
                          .term = INT64_MAX - 1};
    mr_txn_t decoded;

    char *handle = mr_txn_encode(seal, &txn);
    ck_assert(mr_txn_decode(seal, handle, &decoded));
    ck_assert_str_eq(decoded.group, txn.group);
    ck_assert_int_eq(decoded.access, txn.access);
    ck_assert_int_eq(decoded.term, txn.term);
    free(handle);
    mr_seal_destroy(seal);
}
END_TEST

START_TEST(test_full_session_has_no_room)
{
    mr_session_t session = {.count = 0};

    for (uint64_t group = 1; group <= MR_SESSION_GROUPS_MAX; group++) {
        ck_assert(mr_session_has_room(&session, group));
        mr_session_record_write(&session, group, 1, 1, 0);
    }
    ck_assert(!mr_session_has_room(&session, 1000));
    ck_assert(mr_session_has_room(&session, 1));
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_token_carries_the_session,
        test_altered_token_is_refused,
        test_tokens_of_other_kinds_are_refused,
        test_positions_only_go_up,
        test_uncertain_write_lasts_until_its_term_is_over,
        test_write_of_unknown_term_stays_uncertain,
        test_handle_carries_the_transaction,
        test_full_session_has_no_room};

    return RUN_TESTS(tests, .suite = "session");
}
