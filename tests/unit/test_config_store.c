/*
 * Guards against versions that go back, that take effect without an approval
 * or that reach only some instances, against confirmations of a version that
 * members do not hold, and against revoked keys that are accepted during an
 * outage.
 */

#include "../common/runner.h"
#include "config_fleet.h"

/* Queries. */

static int64_t
version_of(const instance_t *instance)
{
    mr_config_t *config = mr_config_store_current(instance->store);

    return config == NULL ? 0 : config->version;
}

static size_t
count_with_version(const fleet_t *fleet, int64_t version)
{
    size_t count = 0;

    for (size_t i = 0; i < fleet->count; i++) {
        const instance_t *instance = &fleet->instances[i];
        count += instance->store != NULL && version_of(instance) == version;
    }
    return count;
}

/* Waits until @count instances have applied @version; returns the time taken.
 */
static mr_ms_t
await_version(fleet_t *fleet, int64_t version, size_t count, mr_ms_t limit)
{
    mr_ms_t begin = mr_clock_now(NULL);

    while (count_with_version(fleet, version) < count
           && mr_clock_now(NULL) < begin + limit) {
        run_loop_for(fleet->base, 5);
    }
    ck_assert_uint_eq(count_with_version(fleet, version), count);
    return mr_clock_now(NULL) - begin;
}

static int64_t
refusals(const instance_t *instance, const char *reason)
{
    char labels[64];

    snprintf(labels, sizeof(labels), "reason=\"%s\"", reason);
    return mr_counter_value(mr_counters_get(
        instance->counters, "masticrelay_config_refused_total", labels, ""));
}

static int64_t
counter(const instance_t *instance, const char *name)
{
    return mr_counter_value(mr_counters_get(instance->counters, name, "", ""));
}

static int64_t
confirmed_version(const fleet_t *fleet)
{
    json_int_t revision;
    json_t *value = platform_process_row(&fleet->process,
                                         "config/confirm/konya", &revision);
    int64_t version = json_integer_value(json_object_get(value, "version"));

    json_decref(value);
    return version;
}

static void
await_confirmed(fleet_t *fleet, int64_t version, mr_ms_t limit)
{
    mr_ms_t begin = mr_clock_now(NULL);

    while (confirmed_version(fleet) != version
           && mr_clock_now(NULL) < begin + limit) {
        run_loop_for(fleet->base, 20);
    }
    ck_assert_int_eq(confirmed_version(fleet), version);
}

/* Asserts the number of audit records. */
static void
assert_records(const fleet_t *fleet, size_t expected)
{
    char answer[4096];

    ck_assert_int_eq(platform_process_call(&fleet->process, "GET",
                                           "/objects?prefix=audit/", "",
                                           answer, sizeof(answer)),
                     200);
    json_t *list = json_loads(answer, 0, NULL);
    ck_assert_uint_eq(json_array_size(json_object_get(list, "names")),
                      expected);
    json_decref(list);
}

/* Tests. */

START_TEST(test_accepted_version_reaches_all_instances)
{
    fleet_t *fleet = start(20);
    int64_t polls = 0;

    run_loop_for(fleet->base, 600);
    ck_assert_uint_eq(count_with_version(fleet, 0), 20);
    accept_version(fleet, 1, "ab");
    await_version(fleet, 1, 20, 3000);
    for (int64_t version = 2; version <= 5; version++) {
        accept_version(fleet, version, "ab");
        mr_ms_t took = await_version(fleet, version, 20, 3000);
        printf("version %lld in force at 20 instances after %lld ms\n",
               (long long)version, (long long)took);
        /* One poll interval. Without pushes, the other instances would fetch
         * only after 1 s. */
        ck_assert_int_lt(took, 1000);
    }
    for (size_t i = 0; i < 20; i++) {
        polls -=
            counter(&fleet->instances[i], "masticrelay_config_polls_total");
    }
    run_loop_for(fleet->base, 2000);
    for (size_t i = 0; i < 20; i++) {
        const instance_t *instance = &fleet->instances[i];
        polls += counter(instance, "masticrelay_config_polls_total");
        ck_assert_int_eq(instance->changes, 5);
        ck_assert_int_gt(
            counter(instance, "masticrelay_config_pushes_received_total"), 5);
        ck_assert_int_lt(mr_config_store_contact_age(instance->store), 1200);
    }
    /* Three pollers, twice a second. */
    ck_assert_int_ge(polls, 11);
    ck_assert_int_le(polls, 15);
    stop(fleet);
}
END_TEST

START_TEST(test_lower_version_is_refused)
{
    fleet_t *fleet = start(4);

    accept_version(fleet, 5, "a");
    await_version(fleet, 5, 4, 3000);
    accept_version(fleet, 4, "ab");
    run_loop_for(fleet->base, 1200);
    ck_assert_uint_eq(count_with_version(fleet, 5), 4);
    ck_assert_int_gt(refusals(&fleet->instances[0], "lower_version"), 0);
    accept_version(fleet, 5, "ab");
    run_loop_for(fleet->base, 1200);
    ck_assert_int_gt(refusals(&fleet->instances[0], "other_hash"), 0);
    ck_assert_int_eq(fleet->instances[0].changes, 1);
    ck_assert_int_eq(fleet->instances[3].changes, 1);
    /* A refused version does not renew the contact time. */
    ck_assert_int_gt(mr_config_store_contact_age(fleet->instances[0].store),
                     2000);
    stop(fleet);
}
END_TEST

START_TEST(test_forged_approval_is_refused)
{
    fleet_t *fleet = start(4);

    accept_version(fleet, 1, "a");
    await_version(fleet, 1, 4, 3000);
    mr_config_head_t head = put_body(fleet, 2, "ab");
    head.approval[5] = head.approval[5] == '0' ? '1' : '0';
    put_head(fleet, &head);
    put_staged(fleet, &head, MR_CONFIG_APPROVED);
    run_loop_for(fleet->base, 1500);
    ck_assert_uint_eq(count_with_version(fleet, 1), 4);
    ck_assert_int_gt(refusals(&fleet->instances[0], "unapproved"), 0);
    ck_assert_int_eq(confirmed_version(fleet), 0);
    /* Nor does an approval of another version count. */
    head = put_body(fleet, 3, "ab");
    head.version = 4;
    put_head(fleet, &head);
    run_loop_for(fleet->base, 1000);
    ck_assert_uint_eq(count_with_version(fleet, 1), 4);
    stop(fleet);
}
END_TEST

START_TEST(test_forged_staged_version_is_not_staged)
{
    fleet_t *fleet = start(3);

    accept_version(fleet, 1, "a");
    await_version(fleet, 1, 3, 3000);
    mr_config_head_t head = put_body(fleet, 2, "");
    head.approval[5] = head.approval[5] == '0' ? '1' : '0';
    put_staged(fleet, &head, MR_CONFIG_APPROVED);
    run_loop_for(fleet->base, 1500);
    ck_assert_int_eq(confirmed_version(fleet), 0);
    ck_assert_int_gt(refusals(&fleet->instances[0], "unapproved"), 0);
    platform_process_faults(&fleet->process, "{\"down\":true}");
    run_loop_for(fleet->base, 3000);
    ck_assert(!mr_config_store_key_revoked(fleet->instances[0].store, "a"));
    stop(fleet);
}
END_TEST

START_TEST(test_mismatched_body_is_refused)
{
    fleet_t *fleet = start(2);
    char hash[MR_CONFIG_HASH_HEX_BYTES];
    char name[128];

    accept_version(fleet, 1, "a");
    await_version(fleet, 1, 2, 3000);
    /* The object has another body than the approved one. */
    free(make_body(2, "ab", hash));
    char *other = make_body(2, "abc", name);
    snprintf(name, sizeof(name), "config/%s", hash);
    platform_process_put_object(&fleet->process, name, other);
    free(other);
    mr_config_head_t head = make_head(fleet, 2, hash);
    put_head(fleet, &head);
    run_loop_for(fleet->base, 800);
    ck_assert_int_gt(refusals(&fleet->instances[0], "hash_mismatch"), 0);
    /* The body has another version than its row. */
    char *body = make_body(3, "ab", hash);
    snprintf(name, sizeof(name), "config/%s", hash);
    platform_process_put_object(&fleet->process, name, body);
    free(body);
    head = make_head(fleet, 4, hash);
    put_head(fleet, &head);
    run_loop_for(fleet->base, 800);
    ck_assert_int_gt(refusals(&fleet->instances[0], "version_mismatch"), 0);
    /* The row has no object. */
    free(make_body(6, "ab", hash));
    head = make_head(fleet, 6, hash);
    put_head(fleet, &head);
    run_loop_for(fleet->base, 800);
    ck_assert_int_gt(refusals(&fleet->instances[0], "missing_body"), 0);
    ck_assert_uint_eq(count_with_version(fleet, 1), 2);
    stop(fleet);
}
END_TEST

START_TEST(test_staged_version_is_confirmed_when_all_hold_it)
{
    fleet_t *fleet = start(12);

    accept_version(fleet, 1, "ab");
    await_version(fleet, 1, 12, 3000);
    mr_config_head_t head = put_body(fleet, 2, "b");
    put_staged(fleet, &head, MR_CONFIG_PROPOSED);
    run_loop_for(fleet->base, 1200);
    ck_assert_int_eq(confirmed_version(fleet), 0);
    put_staged(fleet, &head, MR_CONFIG_APPROVED);
    await_confirmed(fleet, 2, 3000);
    for (size_t i = 0; i < fleet->count; i++) {
        ck_assert_int_eq(
            counter(&fleet->instances[i], "masticrelay_config_staged_total"),
            1);
        ck_assert_int_eq(
            counter(&fleet->instances[i],
                    "masticrelay_config_confirm_incomplete_total"),
            0);
    }
    ck_assert_uint_eq(count_with_version(fleet, 1), 12);
    run_loop_for(fleet->base, 1000);
    assert_records(fleet, 1);
    stop(fleet);
}
END_TEST

START_TEST(test_member_without_the_version_delays_confirmation)
{
    fleet_t *fleet = start(3);

    /* This member replies but never stages the version. */
    add_peer(fleet, "konya");
    accept_version(fleet, 1, "ab");
    await_version(fleet, 1, 3, 3000);
    mr_config_head_t head = put_body(fleet, 2, "b");
    put_staged(fleet, &head, MR_CONFIG_APPROVED);
    run_loop_for(fleet->base, 4000);
    ck_assert_int_eq(confirmed_version(fleet), 0);
    await_confirmed(fleet, 2, 4000);
    /* A running retry timer and a poll sent before the write must not write a
     * second confirmation. */
    mr_config_store_t *store = fleet->instances[0].store;
    mr_config_confirm_row_t before = {0};
    run_loop_for(fleet->base, 20);
    event_active(store->confirming.retry_timer, EV_TIMEOUT, 0);
    run_loop_for(fleet->base, 20);
    mr_config_store_confirm(store, &before, 0);
    run_loop_for(fleet->base, 1000);
    ck_assert_int_eq(counter(&fleet->instances[0],
                             "masticrelay_config_confirm_incomplete_total"),
                     1);
    stop(fleet);
}
END_TEST

START_TEST(test_lost_reply_to_a_confirmation)
{
    fleet_t *fleet = start(3);

    accept_version(fleet, 1, "ab");
    await_version(fleet, 1, 3, 3000);
    json_int_t before, after;
    mr_config_head_t head = put_body(fleet, 2, "b");
    put_staged(fleet, &head, MR_CONFIG_APPROVED);
    platform_process_faults(&fleet->process, "{\"lose_replies\":1.0}");
    await_confirmed(fleet, 2, 3000);
    json_decref(platform_process_row(&fleet->process, "config/confirm/konya",
                                     &before));
    run_loop_for(fleet->base, 2500);
    json_decref(
        platform_process_row(&fleet->process, "config/confirm/konya", &after));
    ck_assert_int_eq(before, after);
    assert_records(fleet, 1);
    ck_assert_int_eq(
        counter(&fleet->instances[0], "masticrelay_config_confirmed_total"),
        0);
    stop(fleet);
}
END_TEST

START_TEST(test_outage_revokes_keys_removed_by_staged_version)
{
    fleet_t *fleet = start(12);

    accept_version(fleet, 1, "ab");
    await_version(fleet, 1, 12, 3000);
    mr_config_head_t head = put_body(fleet, 2, "b");
    put_staged(fleet, &head, MR_CONFIG_APPROVED);
    await_confirmed(fleet, 2, 3000);
    run_loop_for(fleet->base, 2500);
    for (size_t i = 0; i < fleet->count; i++) {
        ck_assert(
            !mr_config_store_key_revoked(fleet->instances[i].store, "a"));
    }
    platform_process_faults(&fleet->process, "{\"down\":true}");
    run_loop_for(fleet->base, 500);
    for (size_t i = 0; i < fleet->count; i++) {
        ck_assert(
            !mr_config_store_key_revoked(fleet->instances[i].store, "a"));
    }
    run_loop_for(fleet->base, 1700);
    for (size_t i = 0; i < fleet->count; i++) {
        const mr_config_store_t *store = fleet->instances[i].store;
        ck_assert_int_ge(mr_config_store_contact_age(store), 2000);
        ck_assert(mr_config_store_key_revoked(store, "a"));
        ck_assert(!mr_config_store_key_revoked(store, "b"));
        ck_assert(!mr_config_store_key_revoked(store, "z"));
    }
    platform_process_faults(&fleet->process, "{\"down\":false}");
    run_loop_for(fleet->base, 1500);
    ck_assert(!mr_config_store_key_revoked(fleet->instances[11].store, "a"));
    /* A vetoed version revokes no key. */
    put_staged(fleet, &head, MR_CONFIG_VETOED);
    run_loop_for(fleet->base, 3000);
    for (size_t i = 0; i < fleet->count; i++) {
        /* Instances must not keep the staged version alive by passing it on to
         * each other. */
        ck_assert_ptr_null(fleet->instances[i].store->staged.config);
    }
    platform_process_faults(&fleet->process, "{\"down\":true}");
    run_loop_for(fleet->base, 3000);
    for (size_t i = 0; i < fleet->count; i++) {
        ck_assert(
            !mr_config_store_key_revoked(fleet->instances[i].store, "a"));
    }
    stop(fleet);
}
END_TEST

/* Sets the replies of a scripted peer. */
static void
script_replies(fleet_t *fleet, instance_t *peer, int64_t version,
               const char *keys)
{
    char hash[MR_CONFIG_HASH_HEX_BYTES];
    char *body = make_body(version, keys, hash);
    mr_config_head_t head = make_head(fleet, version, hash);
    json_t *value = mr_config_head_write(&head);
    char *text = mr_json_canonical(value);

    peer->reply_version = version;
    snprintf(peer->reply_body, sizeof(peer->reply_body), "%s", body);
    snprintf(peer->reply_head, sizeof(peer->reply_head), "%s", text);
    json_decref(value);
    free(body);
    free(text);
}

START_TEST(test_restart_in_an_outage_takes_the_highest_version)
{
    fleet_t *fleet = start(0);

    for (int64_t version = 3; version <= 5; version++) {
        script_replies(fleet, add_peer(fleet, "konya"),
                       version == 4 ? 7 : version, "a");
    }
    /* Members of other data centres are not queried. */
    script_replies(fleet, add_peer(fleet, "aksaray"), 9, "a");
    instance_t *instance = add_peer(fleet, "konya");
    start_store(fleet, instance, "127.0.0.1:1");
    await_version(fleet, 7, 1, 2000);
    ck_assert_int_eq(instance->changes, 1);
    stop(fleet);
}
END_TEST

/* A push is not a sufficient source for the first version: its sender may have
 * missed versions. */
START_TEST(test_push_is_not_enough_for_the_first_version)
{
    fleet_t *fleet = start(0);
    mr_msg_t push = {.type = MR_MSG_CONFIG_PUSH};

    script_replies(fleet, add_peer(fleet, "konya"), 3, "a");
    script_replies(fleet, add_peer(fleet, "konya"), 7, "a");
    platform_process_faults(&fleet->process, "{\"down\":true}");
    instance_t *instance = add_instance(fleet, "konya");
    push.u.config.version = 3;
    push.u.config.head = (mr_bytes_t){"", 0};
    mr_peer_send(fleet->instances[0].peer, instance->address, &push);
    run_loop_for(fleet->base, PLATFORM_TIMEOUT_MS / 2);
    ck_assert_int_eq(
        counter(instance, "masticrelay_config_pushes_received_total"), 1);
    ck_assert_int_eq(version_of(instance), 0);
    await_version(fleet, 7, 1, 2000);
    ck_assert_int_eq(instance->changes, 1);
    stop(fleet);
}
END_TEST

/* Guards against applying a push that a broken link delayed. Its contact age
 * dates from when it was sent, so only what the sender replies to a fetch
 * counts. */
START_TEST(test_push_only_announces)
{
    fleet_t *fleet = start(1);
    instance_t *instance = &fleet->instances[0];
    mr_msg_t push = {.type = MR_MSG_CONFIG_PUSH};

    accept_version(fleet, 5, "a");
    await_version(fleet, 5, 1, 2000);
    instance_t *peer = add_peer(fleet, "konya");
    platform_process_faults(&fleet->process, "{\"down\":true}");
    run_loop_for(fleet->base, 1000);
    mr_ms_t age = mr_config_store_contact_age(instance->store);
    ck_assert_int_gt(age, 500);
    script_replies(fleet, peer, 6, "ab");
    push.u.config.version = 6;
    push.u.config.head =
        (mr_bytes_t){peer->reply_head, strlen(peer->reply_head)};
    push.u.config.body =
        (mr_bytes_t){peer->reply_body, strlen(peer->reply_body)};
    mr_peer_handle(peer->peer, MR_MSG_CONFIG_FETCH, NULL, NULL);
    mr_peer_send(peer->peer, instance->address, &push);
    /* The fetch from the sender times out. */
    run_loop_for(fleet->base, MR_CONFIG_PEER_TIMEOUT_MS + 100);
    ck_assert_int_eq(
        counter(instance, "masticrelay_config_pushes_received_total"), 1);
    ck_assert_int_eq(version_of(instance), 5);
    ck_assert_int_ge(mr_config_store_contact_age(instance->store),
                     age + MR_CONFIG_PEER_TIMEOUT_MS);
    /* It is applied once the sender replies. */
    mr_peer_handle(peer->peer, MR_MSG_CONFIG_FETCH, on_scripted_fetch, peer);
    mr_peer_send(peer->peer, instance->address, &push);
    await_version(fleet, 6, 1, 300);
    stop(fleet);
}
END_TEST

/* Guards against dropping an announcement because an earlier fetch from the
 * same peer is still in progress. */
START_TEST(test_news_is_read_while_an_older_question_is_open)
{
    const char *const reads = "masticrelay_config_peer_reads_total";
    fleet_t *fleet = start(1);
    instance_t *instance = &fleet->instances[0];

    accept_version(fleet, 5, "a");
    await_version(fleet, 5, 1, 2000);
    instance_t *peer = add_peer(fleet, "konya");
    script_replies(fleet, peer, 6, "ab");
    mr_peer_handle(peer->peer, MR_MSG_CONFIG_FETCH, NULL, NULL);
    platform_process_faults(&fleet->process, "{\"down\":true}");
    for (int i = 0; i < 300 && counter(instance, reads) == 0; i++) {
        run_loop_for(fleet->base, 10);
    }
    ck_assert_int_eq(counter(instance, reads), 1);
    run_loop_for(fleet->base, 50);
    mr_peer_handle(peer->peer, MR_MSG_CONFIG_FETCH, on_scripted_fetch, peer);
    mr_msg_t push = {.type = MR_MSG_CONFIG_PUSH};
    push.u.config.version = 6;
    push.u.config.head =
        (mr_bytes_t){peer->reply_head, strlen(peer->reply_head)};
    mr_peer_send(peer->peer, instance->address, &push);
    await_version(fleet, 6, 1, 300);
    stop(fleet);
}
END_TEST

START_TEST(test_restart_without_store_and_peers_has_no_version)
{
    fleet_t *fleet = start(1);

    stop_instance(&fleet->instances[0]);
    platform_process_faults(&fleet->process, "{\"down\":true}");
    instance_t *instance = add_instance(fleet, "konya");
    /* A peer without a version is not a source. */
    add_peer(fleet, "konya");
    run_loop_for(fleet->base, 1500);
    ck_assert_int_eq(version_of(instance), 0);
    ck_assert_int_eq(mr_config_store_contact_age(instance->store), INT64_MAX);
    platform_process_faults(&fleet->process, "{\"down\":false}");
    accept_version(fleet, 1, "a");
    await_version(fleet, 1, 1, 2000);
    stop(fleet);
}
END_TEST

START_TEST(test_forged_and_lower_versions_of_peers_are_refused)
{
    fleet_t *fleet = start(1);
    instance_t *instance = &fleet->instances[0];

    accept_version(fleet, 5, "a");
    await_version(fleet, 5, 1, 2000);
    instance_t *peer = add_peer(fleet, "konya");
    script_replies(fleet, peer, 6, "ab");
    char *approval = strstr(peer->reply_head, "approval\":\"") + 11;
    *approval = *approval == '0' ? '1' : '0';
    instance->members.fn(instance->members.ctx, &peer->member, 6);
    run_loop_for(fleet->base, 100);
    ck_assert_int_eq(refusals(instance, "unapproved"), 1);
    script_replies(fleet, peer, 4, "ab");
    instance->members.fn(instance->members.ctx, &peer->member, 6);
    run_loop_for(fleet->base, 100);
    ck_assert_int_eq(refusals(instance, "lower_version"), 1);
    strcpy(peer->reply_head, "{");
    instance->members.fn(instance->members.ctx, &peer->member, 6);
    run_loop_for(fleet->base, 100);
    ck_assert_int_eq(refusals(instance, "malformed_message"), 1);
    ck_assert_int_eq(version_of(instance), 5);
    /* A valid version announced by a ping is applied. */
    script_replies(fleet, peer, 6, "ab");
    instance->members.fn(instance->members.ctx, &peer->member, 6);
    await_version(fleet, 6, 1, 300);
    stop(fleet);
}
END_TEST

/* A change is distributed as a patch, also to instances that fetch it later.
 */
START_TEST(test_bodies_are_sent_as_patches)
{
    fleet_t *fleet = start(12);
    int64_t patches = 0;

    accept_version(fleet, 1, "abcdefgh");
    await_version(fleet, 1, 12, 3000);
    accept_version(fleet, 2, "abcdefg");
    await_version(fleet, 2, 12, 3000);
    for (size_t i = 0; i < fleet->count; i++) {
        patches +=
            counter(&fleet->instances[i], "masticrelay_config_patches_total");
        ck_assert_int_eq(refusals(&fleet->instances[i], "hash_mismatch"), 0);
    }
    /* One to three pollers read the body from the store instead. */
    ck_assert_int_ge(patches, 9);
    ck_assert_int_le(patches, 11);
    stop(fleet);
}
END_TEST

/* Guards against applying an invalid patch, and against an instance that never
 * catches up after one. */
START_TEST(test_bad_patch_leads_to_a_full_body)
{
    fleet_t *fleet = start(1);
    instance_t *instance = &fleet->instances[0];

    accept_version(fleet, 5, "a");
    await_version(fleet, 5, 1, 2000);
    instance_t *peer = add_peer(fleet, "konya");
    script_replies(fleet, peer, 6, "ab");
    peer->reply_bad_patch = true;
    instance->members.fn(instance->members.ctx, &peer->member, 6);
    run_loop_for(fleet->base, 100);
    ck_assert_int_eq(refusals(instance, "hash_mismatch"), 1);
    ck_assert_int_eq(version_of(instance), 5);
    ck_assert_int_eq(peer->full_fetches, 0);
    instance->members.fn(instance->members.ctx, &peer->member, 6);
    await_version(fleet, 6, 1, 300);
    ck_assert_int_eq(peer->full_fetches, 1);
    stop(fleet);
}
END_TEST

START_TEST(test_next_poller_takes_over)
{
    fleet_t *fleet = start(6);

    accept_version(fleet, 1, "a");
    await_version(fleet, 1, 6, 3000);
    for (size_t i = 0; i < 3; i++) {
        stop_instance(&fleet->instances[i]);
    }
    accept_version(fleet, 2, "a");
    await_version(fleet, 2, 3, 3000);
    stop(fleet);
}
END_TEST

/* A data centre that cannot reach the platform keeps up through another data
 * centre, and a single instance through the others of its own. */
START_TEST(test_instances_without_the_platform_learn_from_peers)
{
    fleet_t *fleet = start(4);

    accept_version(fleet, 1, "a");
    await_version(fleet, 1, 4, 3000);
    for (size_t i = 0; i < 2; i++) {
        add_instance(fleet, "aksaray");
    }
    await_version(fleet, 1, 6, 3000);
    for (size_t i = 0; i < fleet->count; i++) {
        if (i != 1 && i != 2) {
            /* Its platform calls fail from now on. */
            instance_t *instance = &fleet->instances[i];
            mr_platform_cancel(instance->platform, instance->store);
            mr_platform_destroy(instance->platform);
            mr_platform_options_t options = {.base = fleet->base,
                                             .counters = instance->counters,
                                             .address = "127.0.0.1:1",
                                             .timeout = PLATFORM_TIMEOUT_MS};
            instance->platform = mr_platform_create(&options);
            instance->store->options.platform = instance->platform;
            instance->store->polling = false;
        }
    }
    accept_version(fleet, 2, "a");
    await_version(fleet, 2, 6, 5000);
    run_loop_for(fleet->base, 3000);
    for (size_t i = 0; i < fleet->count; i++) {
        ck_assert_int_lt(
            mr_config_store_contact_age(fleet->instances[i].store), 3500);
    }
    stop(fleet);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_accepted_version_reaches_all_instances,
        test_lower_version_is_refused,
        test_forged_approval_is_refused,
        test_forged_staged_version_is_not_staged,
        test_mismatched_body_is_refused,
        test_staged_version_is_confirmed_when_all_hold_it,
        test_member_without_the_version_delays_confirmation,
        test_lost_reply_to_a_confirmation,
        test_outage_revokes_keys_removed_by_staged_version,
        test_restart_in_an_outage_takes_the_highest_version,
        test_restart_without_store_and_peers_has_no_version,
        test_push_is_not_enough_for_the_first_version,
        test_push_only_announces,
        test_news_is_read_while_an_older_question_is_open,
        test_forged_and_lower_versions_of_peers_are_refused,
        test_next_poller_takes_over,
        test_instances_without_the_platform_learn_from_peers,
        test_bodies_are_sent_as_patches,
        test_bad_patch_leads_to_a_full_body};

    return RUN_TESTS(tests, .suite = "config_store", .timeout_s = 30);
}
