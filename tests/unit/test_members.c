/* Guards against instances that do not find each other, that keep using a
 * stopped member, or that need the platform after they have joined. */

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../common/runner.h"
#include "common/list.h"
#include "common/log.h"
#include "member/member.h"

enum { INSTANCES = 5 };

typedef struct instance {
    char name[16];
    char address[32];
    mr_counters_t *counters;
    mr_peer_t *peer;
    mr_members_t *members;
    int changes;
    int64_t version_seen;
} instance_t;

static struct event_base *base;
static instance_t fleet[INSTANCES];
static json_t *list;
static mr_list_t answers; /* answer_t, not delivered yet */
static bool platform_down;
static int registrations;

/* Stubs of the platform client, which is not under test. */

typedef struct answer {
    mr_list_t link;
    mr_platform_json_fn_t fn;
    void *ctx;
} answer_t;

static void
on_answer(evutil_socket_t fd, short what, void *ctx)
{
    answer_t *answer = ctx;

    (void)fd;
    (void)what;
    if (answer->fn != NULL) {
        answer->fn(answer->ctx, platform_down ? MR_ERR_UNAVAILABLE : MR_OK,
                   platform_down ? NULL : list);
    }
    mr_list_remove(&answer->link);
    free(answer);
}

static void
answer_later(mr_platform_json_fn_t fn, void *ctx)
{
    answer_t *answer = calloc(1, sizeof(*answer));
    struct timeval tv = {.tv_usec = 1000};

    ck_assert_ptr_nonnull(answer);
    answer->fn = fn;
    answer->ctx = ctx;
    mr_list_append(&answers, &answer->link);
    event_base_once(base, -1, EV_TIMEOUT, on_answer, answer, &tv);
}

void
mr_platform_list_instances(mr_platform_t *platform, mr_platform_json_fn_t fn,
                           void *ctx)
{
    (void)platform;
    answer_later(fn, ctx);
}

void
mr_platform_cancel(mr_platform_t *platform, const void *ctx)
{
    (void)platform;
    MR_LIST_FOREACH(it, &answers)
    {
        answer_t *answer = MR_LIST_ENTRY(it, answer_t, link);
        if (answer->ctx == ctx) {
            answer->fn = NULL;
        }
    }
}

void
mr_platform_register_instance(mr_platform_t *platform, const char *name,
                              const char *data_centre, const char *address,
                              const char *state, mr_platform_json_fn_t fn,
                              void *ctx)
{
    size_t i;
    json_t *item;

    (void)platform;
    registrations++;
    if (!platform_down) {
        json_array_foreach(list, i, item)
        {
            if (strcmp(json_string_value(json_object_get(item, "name")), name)
                == 0) {
                json_array_remove(list, i);
                break;
            }
        }
        json_array_append_new(list, json_pack("{s:s,s:s,s:s,s:s,s:s}", "name",
                                              name, "data_centre", data_centre,
                                              "address", address, "kind",
                                              "instance", "state", state));
    }
    answer_later(fn, ctx);
}

static void
on_change(void *ctx)
{
    instance_t *instance = ctx;

    instance->changes++;
}

static void
on_version(void *ctx, const mr_member_t *member, int64_t version)
{
    instance_t *instance = ctx;

    ck_assert_ptr_nonnull(member);
    instance->version_seen = version;
}

static void
open_instance(instance_t *instance, int number)
{
    static int64_t incarnation = 100;
    uint8_t secret[MR_PEER_SECRET_BYTES] = {1};

    memset(instance, 0, sizeof(*instance));
    snprintf(instance->name, sizeof(instance->name), "i%d", number);
    instance->counters = mr_counters_create();
    mr_peer_options_t peer = {.base = base,
                              .counters = instance->counters,
                              .name = instance->name,
                              .data_centre = "konya",
                              .incarnation = ++incarnation,
                              .secret = secret};
    instance->peer = mr_peer_create(&peer);
    int port = mr_peer_listen(instance->peer, "127.0.0.1:0");
    snprintf(instance->address, sizeof(instance->address), "127.0.0.1:%d",
             port);
    mr_members_options_t options = {.base = base,
                                    .counters = instance->counters,
                                    .peer = instance->peer,
                                    .name = instance->name,
                                    .data_centre = "konya",
                                    .address = instance->address,
                                    .incarnation = incarnation};
    instance->members = mr_members_create(&options);
    mr_members_subscribe(instance->members, on_change, instance);
    mr_members_on_config_version(instance->members, on_version, instance);
}

static void
close_instance(instance_t *instance)
{
    mr_members_destroy(instance->members);
    mr_peer_destroy(instance->peer);
    mr_counters_destroy(instance->counters);
    instance->members = NULL;
}

static void
run_for(int ms)
{
    struct timeval tv = {.tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000};

    event_base_loopexit(base, &tv);
    event_base_dispatch(base);
}

static size_t
usable_count(const instance_t *instance)
{
    const mr_member_t *out[INSTANCES + 1];

    return mr_members_usable(instance->members, "k", "konya", out,
                             INSTANCES + 1);
}

static mr_member_state_t
state_seen_by(int observer, int number)
{
    const mr_member_t *member =
        mr_members_find(fleet[observer].members, fleet[number].name);

    ck_assert_ptr_nonnull(member);
    return member->state;
}

/* Runs until @observer sees @number in @state; returns the elapsed ms. */
static int
run_until(int observer, int number, mr_member_state_t state, int max_ms)
{
    for (int ms = 0; ms < max_ms; ms += 20) {
        if (state_seen_by(observer, number) == state) {
            return ms;
        }
        run_for(20);
    }
    ck_abort_msg("member did not reach state %d in %d ms", state, max_ms);
    return -1;
}

static bool
all_found(void)
{
    for (int i = 0; i < INSTANCES; i++) {
        if (usable_count(&fleet[i]) != INSTANCES) {
            return false;
        }
    }
    return true;
}

static void
setup(void)
{
    platform_down = false;
    registrations = 0;
    mr_list_init(&answers);
    ck_assert_int_ge(sodium_init(), 0);
    mr_log_setup("test", MR_LOG_ERROR);
    base = event_base_new();
    list = json_array();
    for (int i = 0; i < INSTANCES; i++) {
        open_instance(&fleet[i], i);
    }
    for (int ms = 0; ms < 3000 && !all_found(); ms += 50) {
        run_for(50);
    }
    ck_assert(all_found());
    run_for(300);
}

static void
teardown(void)
{
    for (int i = 0; i < INSTANCES; i++) {
        if (fleet[i].members != NULL) {
            close_instance(&fleet[i]);
        }
    }
    run_for(50);
    json_decref(list);
    event_base_free(base);
}

START_TEST(test_instances_agree_on_owners)
{
    char key[16];

    for (int k = 0; k < 50; k++) {
        snprintf(key, sizeof(key), "t%d", k);
        const char *owner =
            mr_members_owner(fleet[0].members, key, "konya")->name;
        for (int i = 1; i < INSTANCES; i++) {
            ck_assert_str_eq(
                mr_members_owner(fleet[i].members, key, "konya")->name, owner);
        }
    }
    ck_assert_int_eq(registrations, INSTANCES);
}
END_TEST

START_TEST(test_stopped_instance_is_found_without_the_platform)
{
    platform_down = true;
    close_instance(&fleet[2]);
    for (int i = 0; i < INSTANCES; i++) {
        if (i != 2) {
            run_until(i, 2, MR_MEMBER_DEAD, 4000);
            ck_assert_uint_eq(usable_count(&fleet[i]), INSTANCES - 1);
        }
    }
    run_for(1000);
    ck_assert_uint_eq(usable_count(&fleet[0]), INSTANCES - 1);
}
END_TEST

START_TEST(test_reported_failure_is_checked_immediately)
{
    close_instance(&fleet[2]);
    mr_members_report_failure(fleet[0].members, "i2");
    run_until(0, 2, MR_MEMBER_SUSPECT, 700);
    mr_members_report_failure(fleet[0].members, "i3");
    run_for(700);
    ck_assert_int_eq(state_seen_by(0, 3), MR_MEMBER_LIVE);
}
END_TEST

START_TEST(test_restarted_instance_replaces_the_old_one)
{
    close_instance(&fleet[2]);
    run_until(0, 2, MR_MEMBER_DEAD, 4000);
    open_instance(&fleet[2], 2);
    run_until(0, 2, MR_MEMBER_LIVE, 4000);
    ck_assert_str_eq(mr_members_find(fleet[0].members, "i2")->address,
                     fleet[2].address);
    run_for(1000);
    ck_assert_uint_eq(usable_count(&fleet[2]), INSTANCES);
}
END_TEST

START_TEST(test_leaving_is_disseminated_immediately)
{
    mr_members_leave(fleet[1].members);
    for (int i = 0; i < INSTANCES; i++) {
        run_until(i, 1, MR_MEMBER_LEAVING, 300);
        ck_assert_uint_eq(usable_count(&fleet[i]), INSTANCES - 1);
    }
}
END_TEST

START_TEST(test_address_of_another_process_is_no_answer)
{
    json_t *item = json_pack(
        "{s:s,s:s,s:s,s:s,s:s}", "name", "ghost", "data_centre", "konya",
        "address", fleet[1].address, "kind", "instance", "state", "live");

    json_array_append_new(list, item);
    for (int ms = 0; ms < 12000; ms += 100) {
        run_for(100);
        const mr_member_t *ghost = mr_members_find(fleet[0].members, "ghost");
        if (ghost != NULL && ghost->state == MR_MEMBER_DEAD) {
            return;
        }
    }
    ck_abort_msg("a name that nobody answers to stays in use");
}
END_TEST

START_TEST(test_lost_registration_is_repaired)
{
    json_array_clear(list);
    run_for(9000);
    ck_assert_uint_eq(json_array_size(list), INSTANCES);
    ck_assert_int_le(registrations, 2 * INSTANCES);
}
END_TEST

START_TEST(test_config_versions_and_leaving_targets_arrive)
{
    json_array_append_new(list,
                          json_pack("{s:s,s:s,s:s}", "name", "t1", "kind",
                                    "target", "state", "leaving"));
    mr_members_set_config_version(fleet[0].members, 7);
    run_for(3500);
    for (int i = 1; i < INSTANCES; i++) {
        ck_assert_int_eq(fleet[i].version_seen, 7);
        ck_assert(mr_members_target_leaving(fleet[i].members, "t1"));
    }
    ck_assert_int_eq(fleet[0].version_seen, 0);
    ck_assert(!mr_members_target_leaving(fleet[0].members, "t2"));
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_instances_agree_on_owners,
        test_stopped_instance_is_found_without_the_platform,
        test_reported_failure_is_checked_immediately,
        test_restarted_instance_replaces_the_old_one,
        test_leaving_is_disseminated_immediately,
        test_address_of_another_process_is_no_answer,
        test_lost_registration_is_repaired,
        test_config_versions_and_leaving_targets_arrive};

    return RUN_TESTS(tests, .suite = "members", .timeout_s = 30,
                     .setup = setup, .teardown = teardown);
}
