/*
 * Guards against changes that take effect without an approval, a confirmation
 * or an audit record, against races in which two changes succeed, and against
 * undetected gaps and edits in the audit trail.
 */

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "../common/runner.h"
#include "common/json.h"
#include "common/mem.h"
#include "config/audit.h"
#include "config/change.h"
#include "platform_process.h"

enum { TIMEOUT_MS = 150, RECORDS_MAX = 64 };

typedef struct operator_client {
    mr_platform_t *platform;
    mr_change_t *change;
    int ended;
    mr_error_kind_t error;
    char message[512];
    json_t *state;
} operator_client_t;

typedef struct trail {
    int count;
    mr_audit_state_t states[RECORDS_MAX];
    char steps[RECORDS_MAX][16];
    json_t *records[RECORDS_MAX];
    int ended;
    mr_error_kind_t error;
} trail_t;

static struct event_base *base;
static mr_counters_t *counters;
static platform_process_t process;
static operator_client_t ann, bob;
static trail_t trail;
static uint8_t public_key[MR_APPROVAL_PUBLIC_KEY_BYTES];
static uint8_t secret_key[MR_APPROVAL_SECRET_KEY_BYTES];

static void
open_client(operator_client_t *client, const char *who)
{
    mr_platform_options_t options = {.base = base,
                                     .counters = counters,
                                     .address = process.address,
                                     .timeout = TIMEOUT_MS};

    memset(client, 0, sizeof(*client));
    client->platform = mr_platform_create(&options);
    mr_change_options_t change = {
        .platform = client->platform, .who = who, .approver_key = public_key};
    client->change = mr_change_create(&change);
    ck_assert_ptr_nonnull(client->change);
}

static void
close_client(operator_client_t *client)
{
    mr_change_destroy(client->change);
    mr_platform_destroy(client->platform);
    json_decref(client->state);
}

static void
setup(void)
{
    uint8_t seed[crypto_sign_SEEDBYTES] = {7};

    ck_assert_int_ge(sodium_init(), 0);
    crypto_sign_seed_keypair(public_key, secret_key, seed);
    platform_process_start(&process);
    base = event_base_new();
    counters = mr_counters_create();
    open_client(&ann, "ann");
    open_client(&bob, "bob");
}

static void
teardown(void)
{
    for (int i = 0; i < trail.count; i++) {
        json_decref(trail.records[i]);
    }
    close_client(&ann);
    close_client(&bob);
    mr_counters_destroy(counters);
    event_base_free(base);
    platform_process_stop(&process);
}

static void
on_step(void *ctx, mr_error_kind_t error, const char *message, json_t *state)
{
    operator_client_t *client = ctx;

    client->ended++;
    client->error = error;
    snprintf(client->message, sizeof(client->message), "%s", message);
    json_decref(client->state);
    client->state = json_incref(state);
}

/* Runs until the step of the client has completed; returns its result. */
static mr_error_kind_t
wait_for_step(operator_client_t *client)
{
    for (int i = 0; i < 1000 && client->ended == 0; i++) {
        run_loop_for(base, 5);
    }
    ck_assert_int_eq(client->ended, 1);
    client->ended = 0;
    return client->error;
}

static json_t *
document(int64_t version, const char *account)
{
    return json_pack(
        "{s:i,s:I,s:s,s:[{s:s,s:s},{s:s,s:s}],s:[],s:[{s:s,s:i,s:i,s:[]}],"
        "s:[]}",
        "format", 1, "version", (json_int_t)version, "deployment", "ovakoy",
        "data_centres", "name", "konya", "region", "ic-anadolu", "name",
        "nigde", "region", "ic-anadolu", "services", "accounts", "name",
        account, "rate", 100, "burst", 50, "keys", "routes");
}

static void
hash_document(int64_t version, const char *account, char *hash)
{
    json_t *value = document(version, account);
    char *text = mr_json_canonical(value);

    mr_config_hash(text, strlen(text), hash);
    free(text);
    json_decref(value);
}

static void
start_propose(operator_client_t *client, int64_t version, const char *account)
{
    json_t *value = document(version, account);

    mr_change_propose(client->change, value, NULL, on_step, client);
    json_decref(value);
    ck_assert_int_eq(client->ended, 0);
}

static mr_error_kind_t
propose(operator_client_t *client, int64_t version, const char *account)
{
    start_propose(client, version, account);
    return wait_for_step(client);
}

static mr_error_kind_t
approve(operator_client_t *client, int64_t version, const char *account)
{
    char hash[MR_CONFIG_HASH_HEX_BYTES];
    char signature[MR_APPROVAL_HEX_BYTES];

    hash_document(version, account, hash);
    ck_assert(mr_approval_sign(secret_key, version, hash, signature));
    mr_change_approve(client->change, version, signature, on_step, client);
    return wait_for_step(client);
}

static mr_error_kind_t
veto(operator_client_t *client, int64_t version)
{
    mr_change_veto(client->change, version, "no", on_step, client);
    return wait_for_step(client);
}

static void
confirm(const char *data_centre, int64_t version, const char *account)
{
    mr_config_confirm_t value = {.version = version};
    char row[64];

    hash_document(version, account, value.hash);
    snprintf(row, sizeof(row), "config/confirm/%s", data_centre);
    platform_process_put_row(&process, row, mr_config_confirm_write(&value));
}

static void
confirm_all(int64_t version, const char *account)
{
    confirm("konya", version, account);
    confirm("nigde", version, account);
}

static mr_error_kind_t
accept_version(operator_client_t *client, int64_t version)
{
    mr_change_accept(client->change, version, NULL, 0, NULL, on_step, client);
    return wait_for_step(client);
}

static int64_t
head_version(void)
{
    json_int_t revision;
    json_t *value = platform_process_row(&process, "config/head", &revision);
    int64_t version = json_integer_value(json_object_get(value, "version"));

    json_decref(value);
    return version;
}

static void
on_entry(void *ctx, int64_t sequence, mr_audit_state_t state, json_t *record)
{
    const char *step = json_string_value(json_object_get(record, "step"));

    (void)ctx;
    ck_assert_int_lt(trail.count, RECORDS_MAX);
    ck_assert_int_eq(sequence, trail.count + 1);
    trail.states[trail.count] = state;
    trail.records[trail.count] = json_incref(record);
    snprintf(trail.steps[trail.count], sizeof(trail.steps[0]), "%s",
             step == NULL ? "" : step);
    trail.count++;
}

static void
on_trail_end(void *ctx, mr_error_kind_t error)
{
    (void)ctx;
    trail.ended++;
    trail.error = error;
}

/* Reads the whole audit trail. */
static void
read_trail(void)
{
    for (int i = 0; i < trail.count; i++) {
        json_decref(trail.records[i]);
    }
    memset(&trail, 0, sizeof(trail));
    mr_audit_read(ann.platform, 1, on_entry, on_trail_end, NULL);
    for (int i = 0; i < 1000 && trail.ended == 0; i++) {
        run_loop_for(base, 5);
    }
    ck_assert_int_eq(trail.ended, 1);
    ck_assert_int_eq(trail.error, MR_OK);
}

/* Asserts that the trail is intact and consists of these steps, separated by
 * spaces. */
static void
assert_trail(const char *steps)
{
    char found[1024] = "";

    read_trail();
    for (int i = 0; i < trail.count; i++) {
        ck_assert_int_eq(trail.states[i], MR_AUDIT_GOOD);
        if (i > 0) {
            strcat(found, " ");
        }
        strcat(found, trail.steps[i]);
    }
    ck_assert_str_eq(found, steps);
}

START_TEST(test_change_passes_through_all_steps)
{
    json_t *head;

    ck_assert_int_eq(propose(&ann, 1, "a"), MR_OK);
    ck_assert_int_eq(approve(&bob, 1, "a"), MR_OK);
    confirm_all(1, "a");
    ck_assert_int_eq(accept_version(&ann, 1), MR_OK);
    ck_assert_int_eq(propose(&ann, 2, "b"), MR_OK);
    ck_assert_int_eq(head_version(), 1);
    ck_assert_int_eq(approve(&bob, 2, "b"), MR_OK);
    confirm_all(2, "b");
    ck_assert_int_eq(accept_version(&ann, 2), MR_OK);
    ck_assert_int_eq(head_version(), 2);
    head = json_object_get(ann.state, "head");
    char hash[MR_CONFIG_HASH_HEX_BYTES];
    hash_document(1, "a", hash);
    ck_assert_str_eq(json_string_value(json_object_get(head, "previous")),
                     hash);
    /* A step that is repeated is not recorded twice. */
    ck_assert_int_eq(accept_version(&ann, 2), MR_OK);
    assert_trail("propose approve accept propose approve accept");
    json_t *record = trail.records[5];
    ck_assert_str_eq(json_string_value(json_object_get(record, "who")), "ann");
    ck_assert_int_eq(
        json_integer_value(json_object_get(record, "from_version")), 1);
    ck_assert_int_eq(json_integer_value(json_object_get(record, "to_version")),
                     2);
}
END_TEST

START_TEST(test_unapproved_version_cannot_be_accepted)
{
    char hash[MR_CONFIG_HASH_HEX_BYTES];
    mr_config_staged_t staged = {.version = 1, .state = MR_CONFIG_APPROVED};

    ck_assert_int_eq(propose(&ann, 1, "a"), MR_OK);
    confirm_all(1, "a");
    ck_assert_int_eq(accept_version(&ann, 1), MR_ERR_FORBIDDEN);
    /* An approval of another configuration. */
    hash_document(1, "b", hash);
    ck_assert(mr_approval_sign(secret_key, 1, hash, staged.approval));
    mr_change_approve(ann.change, 1, staged.approval, on_step, &ann);
    ck_assert_int_eq(wait_for_step(&ann), MR_ERR_FORBIDDEN);
    /* The same approval, written directly into the row. */
    hash_document(1, "a", staged.hash);
    strcpy(staged.proposer, "mallory");
    platform_process_put_row(&process, "config/staged",
                             mr_config_staged_write(&staged));
    ck_assert_int_eq(accept_version(&ann, 1), MR_ERR_FORBIDDEN);
    ck_assert_int_eq(head_version(), 0);
    assert_trail("propose");
}
END_TEST

START_TEST(test_unconfirmed_data_centre_blocks_acceptance)
{
    const char *nigde = "nigde";
    const char *unknown = "ankara";

    ck_assert_int_eq(propose(&ann, 1, "a"), MR_OK);
    ck_assert_int_eq(approve(&ann, 1, "a"), MR_OK);
    ck_assert_int_eq(accept_version(&ann, 1), MR_ERR_CONFIG_STALE);
    ck_assert_ptr_nonnull(strstr(ann.message, "konya, nigde"));
    confirm("konya", 1, "a");
    /* A confirmation of the same version with another hash. */
    confirm("nigde", 1, "b");
    ck_assert_int_eq(accept_version(&ann, 1), MR_ERR_CONFIG_STALE);
    ck_assert_ptr_nonnull(strstr(ann.message, "by nigde"));
    mr_change_accept(ann.change, 1, &unknown, 1, NULL, on_step, &ann);
    ck_assert_int_eq(wait_for_step(&ann), MR_ERR_INVALID_REQUEST);
    mr_change_accept(ann.change, 1, &nigde, 1, NULL, on_step, &ann);
    ck_assert_int_eq(wait_for_step(&ann), MR_OK);
    ck_assert_int_eq(head_version(), 1);
    assert_trail("propose approve accept");
    json_t *changes = json_object_get(trail.records[2], "changes");
    json_t *without = json_object_get(changes, "without");
    ck_assert_str_eq(json_string_value(json_array_get(without, 0)), "nigde");
}
END_TEST

START_TEST(test_racing_proposals_have_one_winner)
{
    start_propose(&ann, 1, "a");
    start_propose(&bob, 1, "b");
    mr_error_kind_t first = wait_for_step(&ann);
    mr_error_kind_t second = wait_for_step(&bob);
    operator_client_t *loser = first == MR_OK ? &bob : &ann;
    char hash[MR_CONFIG_HASH_HEX_BYTES];

    ck_assert((first == MR_OK) != (second == MR_OK));
    ck_assert_int_eq(loser->error, MR_ERR_CONFLICT);
    /* Both versions are named. */
    hash_document(1, "a", hash);
    hash[8] = '\0';
    ck_assert_ptr_nonnull(strstr(loser->message, hash));
    hash_document(1, "b", hash);
    hash[8] = '\0';
    ck_assert_ptr_nonnull(strstr(loser->message, hash));
    assert_trail("propose propose void");
    /* A later proposal does not replace the pending one either. */
    ck_assert_int_eq(propose(loser, 2, "c"), MR_ERR_CONFLICT);
    ck_assert_ptr_nonnull(strstr(loser->message, "version 2"));
    ck_assert_ptr_nonnull(strstr(loser->message, "version 1"));
}
END_TEST

START_TEST(test_racing_acceptance_and_veto_have_one_winner)
{
    for (int64_t version = 1; version <= 6; version++) {
        ck_assert_int_eq(propose(&ann, version, "a"), MR_OK);
        ck_assert_int_eq(approve(&ann, version, "a"), MR_OK);
        confirm_all(version, "a");
        mr_change_accept(ann.change, version, NULL, 0, NULL, on_step, &ann);
        run_loop_for(base, version - 1);
        mr_change_veto(bob.change, version, "no", on_step, &bob);
        mr_error_kind_t accepted = wait_for_step(&ann);
        mr_error_kind_t vetoed = wait_for_step(&bob);
        ck_assert((accepted == MR_OK) != (vetoed == MR_OK));
        ck_assert_int_eq(head_version() == version, accepted == MR_OK);
        if (vetoed != MR_OK) {
            ck_assert_int_eq(vetoed, MR_ERR_CONFLICT);
        }
    }
    read_trail();
    for (int i = 0; i < trail.count; i++) {
        ck_assert_int_eq(trail.states[i], MR_AUDIT_GOOD);
    }
}
END_TEST

/* Returns whether the acceptance of the staged version has begun. */
static bool
acceptance_has_begun(void)
{
    json_int_t revision;
    json_t *value = platform_process_row(&process, "config/staged", &revision);
    bool begun = json_is_true(json_object_get(value, "accepting"));

    json_decref(value);
    return begun;
}

/* Takes a version through all steps up to its acceptance. */
static void
accept_through_all_steps(operator_client_t *client, int64_t version)
{
    ck_assert_int_eq(propose(client, version, "a"), MR_OK);
    ck_assert_int_eq(approve(client, version, "a"), MR_OK);
    confirm_all(version, "a");
    ck_assert_int_eq(accept_version(client, version), MR_OK);
}

/* Guards against a head that reverts: an operator is paused during an
 * acceptance and continues after others have accepted a later version. */
START_TEST(test_late_acceptance_does_not_revert)
{
    operator_client_t late;
    struct event_base *shared = base;

    /* The paused operator has its own event loop, which does not run during
     * the pause. */
    base = event_base_new();
    open_client(&late, "late");
    accept_through_all_steps(&late, 1);
    ck_assert_int_eq(propose(&late, 2, "a"), MR_OK);
    ck_assert_int_eq(approve(&late, 2, "a"), MR_OK);
    confirm_all(2, "a");
    mr_change_accept(late.change, 2, NULL, 0, NULL, on_step, &late);
    while (!acceptance_has_begun()) {
        event_base_loop(base, EVLOOP_ONCE);
    }
    ck_assert_int_eq(head_version(), 1);
    struct event_base *own = base;
    base = shared;
    ck_assert_int_eq(accept_version(&bob, 2), MR_OK);
    accept_through_all_steps(&bob, 3);
    base = own;
    ck_assert_int_eq(wait_for_step(&late), MR_OK);
    ck_assert_int_eq(head_version(), 3);
    close_client(&late);
    event_base_free(own);
    base = shared;
}
END_TEST

START_TEST(test_vetoed_version_stays_vetoed)
{
    ck_assert_int_eq(propose(&ann, 1, "a"), MR_OK);
    ck_assert_int_eq(approve(&ann, 1, "a"), MR_OK);
    confirm_all(1, "a");
    ck_assert_int_eq(veto(&bob, 1), MR_OK);
    ck_assert_int_eq(accept_version(&ann, 1), MR_ERR_FORBIDDEN);
    ck_assert_int_eq(approve(&ann, 1, "a"), MR_ERR_CONFLICT);
    /* The approval from before the veto must not be used again. */
    ck_assert_int_eq(propose(&ann, 1, "a"), MR_ERR_CONFLICT);
    ck_assert_int_eq(propose(&ann, 2, "a"), MR_OK);
    ck_assert_int_eq(head_version(), 0);
    assert_trail("propose approve veto propose");
}
END_TEST

START_TEST(test_lost_replies_are_read_back)
{
    ck_assert_int_eq(propose(&ann, 1, "a"), MR_OK);
    platform_process_faults(&process, "{\"lose_replies\":1.0}");
    ck_assert_int_eq(approve(&ann, 1, "a"), MR_OK);
    platform_process_faults(&process, "{\"lose_replies\":0}");
    confirm_all(1, "a");
    platform_process_faults(&process, "{\"lose_replies\":1.0}");
    ck_assert_int_eq(accept_version(&ann, 1), MR_OK);
    ck_assert_int_eq(propose(&ann, 2, "b"), MR_OK);
    ck_assert_int_eq(veto(&ann, 2), MR_OK);
    ck_assert_int_eq(head_version(), 1);
    assert_trail("propose approve accept propose veto");
}
END_TEST

START_TEST(test_outage_changes_nothing)
{
    platform_process_faults(&process, "{\"down\":true}");
    ck_assert_int_eq(propose(&ann, 1, "a"), MR_ERR_UNAVAILABLE);
    platform_process_faults(&process, "{\"down\":false}");
    assert_trail("");
    ck_assert_int_eq(propose(&ann, 1, "a"), MR_OK);
}
END_TEST

/* Runs the loop until the audit record @sequence exists. Calls are delayed so
 * that the row write has not been sent by then. */
static void
run_to_record(int sequence)
{
    char path[64];
    char answer[2048];

    snprintf(path, sizeof(path), "/objects/audit/%012d", sequence);
    for (int i = 0; i < 500; i++) {
        platform_process_faults(&process, "{\"delay_ms\":0}");
        int status = platform_process_call(&process, "GET", path, "", answer,
                                           sizeof(answer));
        platform_process_faults(&process, "{\"delay_ms\":30}");
        if (status == 200) {
            return;
        }
        run_loop_for(base, 2);
    }
    ck_abort_msg("no audit record");
}

START_TEST(test_outage_during_row_write_has_unknown_outcome)
{
    ck_assert_int_eq(propose(&ann, 1, "a"), MR_OK);
    ck_assert_int_eq(approve(&ann, 1, "a"), MR_OK);
    confirm_all(1, "a");
    platform_process_faults(&process, "{\"delay_ms\":30}");
    mr_change_accept(ann.change, 1, NULL, 0, NULL, on_step, &ann);
    run_to_record(3);
    /* Lets the subsequent write of audit/tail complete. */
    run_loop_for(base, 20);
    platform_process_faults(&process, "{\"down\":true}");
    ck_assert_int_eq(wait_for_step(&ann), MR_ERR_OUTCOME_UNKNOWN);
    platform_process_faults(&process, "{\"down\":false,\"delay_ms\":0}");
    ck_assert_int_eq(accept_version(&ann, 1), MR_OK);
    ck_assert_int_eq(head_version(), 1);
}
END_TEST

START_TEST(test_delayed_row_write)
{
    platform_process_faults(&process, "{\"delay_ms\":30}");
    start_propose(&ann, 1, "a");
    run_to_record(1);
    run_loop_for(base, 10);
    /* The row write takes effect long after its deadline. */
    platform_process_faults(&process, "{\"delay_ms\":500}");
    run_loop_for(base, 100);
    platform_process_faults(&process, "{\"delay_ms\":0}");
    ck_assert_int_eq(wait_for_step(&ann), MR_OK);
    ck_assert_int_eq(approve(&ann, 1, "a"), MR_OK);
    run_loop_for(base, 600);
    mr_change_read(ann.change, on_step, &ann);
    ck_assert_int_eq(wait_for_step(&ann), MR_OK);
    json_t *staged = json_object_get(ann.state, "staged");
    ck_assert_str_eq(json_string_value(json_object_get(staged, "state")),
                     "approved");
    assert_trail("propose approve");
}
END_TEST

START_TEST(test_invalid_configuration_is_not_proposed)
{
    json_t *value = document(1, "a");

    json_object_set_new(value, "colour", json_string("blue"));
    mr_change_propose(ann.change, value, NULL, on_step, &ann);
    ck_assert_int_eq(ann.ended, 0);
    ck_assert_int_eq(wait_for_step(&ann), MR_ERR_INVALID_REQUEST);
    ck_assert_ptr_nonnull(strstr(ann.message, "colour"));
    json_decref(value);
    ck_assert_int_eq(veto(&ann, 1), MR_ERR_NOT_FOUND);
    ck_assert_int_eq(accept_version(&ann, 1), MR_ERR_NOT_FOUND);
    mr_change_options_t options = {
        .platform = ann.platform, .who = "\xff", .approver_key = public_key};
    ck_assert_ptr_null(mr_change_create(&options));
}
END_TEST

START_TEST(test_destroy_cancels_steps)
{
    platform_process_faults(&process, "{\"delay_ms\":20}");
    start_propose(&ann, 1, "a");
    run_loop_for(base, 50);
    mr_change_destroy(ann.change);
    ann.change = NULL;
    run_loop_for(base, 300);
    ck_assert_int_eq(ann.ended, 0);
}
END_TEST

static void
on_append(void *ctx, mr_error_kind_t error, int64_t sequence)
{
    int *ended = ctx;

    ck_assert_int_eq(error, MR_OK);
    ck_assert_int_gt(sequence, 0);
    (*ended)++;
}

static void
append(mr_platform_t *platform, int *ended)
{
    mr_audit_step_t step = {.who = "ann",
                            .step = "test",
                            .from_version = 1,
                            .to_version = 2,
                            .hash = ""};

    mr_audit_append(platform, &step, on_append, ended);
}

START_TEST(test_racing_appends_make_one_chain)
{
    int ended = 0;
    enum { APPENDS = 20 };

    platform_process_faults(&process, "{\"lose_replies\":0.3}");
    for (int i = 0; i < APPENDS; i++) {
        append(i % 2 ? ann.platform : bob.platform, &ended);
    }
    for (int i = 0; i < 1000 && ended < APPENDS; i++) {
        run_loop_for(base, 5);
    }
    ck_assert_int_eq(ended, APPENDS);
    read_trail();
    ck_assert_int_eq(trail.count, APPENDS);
    for (int i = 0; i < APPENDS; i++) {
        ck_assert_int_eq(trail.states[i], MR_AUDIT_GOOD);
    }
}
END_TEST

START_TEST(test_reader_reports_gaps_and_edits)
{
    int ended = 0;

    for (int i = 0; i < 2; i++) {
        append(ann.platform, &ended);
        for (int j = 0; j < 200 && ended <= i; j++) {
            run_loop_for(base, 5);
        }
    }
    ck_assert_int_eq(ended, 2);
    /* 3 is missing, 4 cannot be checked because it follows a gap, 5 does not
     * follow from 4, 6 is malformed, and 7 to 9 are missing although the tail
     * row names 9. */
    platform_process_put_object(
        &process, "audit/000000000004",
        "{\"sequence\":4,\"previous\":\"x\",\"step\":\"four\"}");
    platform_process_put_object(
        &process, "audit/000000000005",
        "{\"sequence\":5,\"previous\":\"x\",\"step\":\"five\"}");
    platform_process_put_object(&process, "audit/000000000006", "{\"seq");
    platform_process_put_row(
        &process, "audit/tail",
        json_pack("{s:i,s:s}", "sequence", 9, "hash", "abc"));
    read_trail();
    const mr_audit_state_t expected[] = {
        MR_AUDIT_GOOD,    MR_AUDIT_GOOD,    MR_AUDIT_MISSING,
        MR_AUDIT_GOOD,    MR_AUDIT_BROKEN,  MR_AUDIT_MALFORMED,
        MR_AUDIT_MISSING, MR_AUDIT_MISSING, MR_AUDIT_MISSING,
    };
    ck_assert_int_eq(trail.count, 9);
    ck_assert_mem_eq(trail.states, expected, sizeof(expected));
    /* Writers append behind the gap. */
    append(ann.platform, &ended);
    for (int j = 0; j < 200 && ended < 3; j++) {
        run_loop_for(base, 5);
    }
    read_trail();
    ck_assert_int_eq(trail.count, 10);
    ck_assert_int_eq(trail.states[8], MR_AUDIT_MISSING);
    ck_assert_int_eq(trail.states[9], MR_AUDIT_GOOD);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_change_passes_through_all_steps,
        test_unapproved_version_cannot_be_accepted,
        test_unconfirmed_data_centre_blocks_acceptance,
        test_racing_proposals_have_one_winner,
        test_racing_acceptance_and_veto_have_one_winner,
        test_late_acceptance_does_not_revert,
        test_vetoed_version_stays_vetoed,
        test_lost_replies_are_read_back,
        test_outage_changes_nothing,
        test_outage_during_row_write_has_unknown_outcome,
        test_delayed_row_write,
        test_invalid_configuration_is_not_proposed,
        test_destroy_cancels_steps,
        test_racing_appends_make_one_chain,
        test_reader_reports_gaps_and_edits};

    return RUN_TESTS(tests, .suite = "config_change", .timeout_s = 20,
                     .setup = setup, .teardown = teardown);
}
