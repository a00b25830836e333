/* Guards against desired states that are sent whole to every instance at the
 * same time, and against receivers that apply anything but the complete newest
 * contents. */

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../common/runner.h"
#include "common/mem.h"
#include "session/update.h"

enum {
    INSTANCES = 12,
    ROUTES = 1400,
    MANY_ROUTES = 20000,
    MEMORY_LIMIT = 100 << 20,
    STEP_MS = 50,
    WAIT_MAX_MS = 8000,
};

typedef struct instance {
    mr_clusters_t *clusters;
    mr_counters_t *counters;
    mr_directory_t *directory;
    mr_peer_t *peer;
    mr_memory_t *memory;
    mr_updates_t *updates;
    char name[32];
    char address[32];
    int applied;
} instance_t;

static struct event_base *base;
static instance_t instances[INSTANCES];

static void
on_catalog(void *ctx, mr_catalog_t *catalog)
{
    (void)ctx;
    (void)catalog;
}

static void
on_applied(void *ctx)
{
    instance_t *instance = ctx;

    instance->applied++;
}

static void
start(instance_t *instance, int index)
{
    uint8_t secret[MR_PEER_SECRET_BYTES] = {1};

    snprintf(instance->name, sizeof(instance->name), "front-%d", index);
    instance->applied = 0;
    instance->clusters = mr_clusters_create(instance->name, "konya");
    instance->counters = mr_counters_create();
    instance->directory = mr_directory_create(
        &(mr_directory_options_t){.clusters = instance->clusters,
                                  .counters = instance->counters,
                                  .on_catalog = on_catalog});
    instance->peer =
        mr_peer_create(&(mr_peer_options_t){.base = base,
                                            .counters = instance->counters,
                                            .name = instance->name,
                                            .data_centre = "konya",
                                            .incarnation = 1,
                                            .secret = secret});
    snprintf(instance->address, sizeof(instance->address), "127.0.0.1:%d",
             mr_peer_listen(instance->peer, "127.0.0.1:0"));
    instance->memory = mr_memory_create(&(mr_memory_options_t){
        .counters = instance->counters, .limit = MEMORY_LIMIT});
    instance->updates = mr_updates_create(
        &(mr_updates_options_t){.counters = instance->counters,
                                .peer = instance->peer,
                                .directory = instance->directory,
                                .memory = instance->memory,
                                .applied = on_applied,
                                .ctx = instance});
}

static void
set_up(void)
{
    base = event_base_new();
    for (int i = 0; i < INSTANCES; i++) {
        start(&instances[i], i);
    }
}

static void
tear_down(void)
{
    for (int i = 0; i < INSTANCES; i++) {
        mr_updates_destroy(instances[i].updates);
        mr_memory_destroy(instances[i].memory);
        mr_peer_destroy(instances[i].peer);
        mr_directory_destroy(instances[i].directory);
        mr_clusters_destroy(instances[i].clusters);
        mr_counters_destroy(instances[i].counters);
    }
    event_base_free(base);
}

static void
run_loop(int ms)
{
    struct timeval tv = {.tv_usec = ms * 1000};

    event_base_loopexit(base, &tv);
    event_base_dispatch(base);
}

/* Sets desired state @version with random names, which hardly compress. */
static void
set_config(instance_t *instance, int version, int routes)
{
    struct evbuffer *text = evbuffer_new();

    evbuffer_add_printf(text, "{\"version\": %d, \"routes\": [", version);
    srand((unsigned int)version);
    for (int i = 0; i < routes; i++) {
        evbuffer_add_printf(text,
                            "%s{\"host\": \"r%d-%08x%08x%08x\", \"service\": "
                            "\"rez\", \"type\": \"primary\"}",
                            i > 0 ? ", " : "", i, (unsigned int)rand(),
                            (unsigned int)rand(), (unsigned int)rand());
    }
    evbuffer_add_printf(text, "], \"services\": [], \"tenants\": []}");
    size_t len = evbuffer_get_length(text);
    mr_directory_set_config(instance->directory,
                            evbuffer_pullup(text, (ev_ssize_t)len), len,
                            "store");
    evbuffer_free(text);
}

static int64_t
get_version(const instance_t *instance)
{
    return mr_directory_config_version(instance->directory);
}

static int64_t
get_counter(const instance_t *instance, const char *name)
{
    return mr_counter_value(mr_counters_get(instance->counters, name, "", ""));
}

static void
assert_same_contents(instance_t *a, instance_t *b)
{
    mr_msg_directory_t known = {0};
    mr_msg_directory_t from_a;
    mr_msg_directory_t from_b;

    mr_directory_export(a->directory, &known, SIZE_MAX, &from_a);
    mr_directory_export(b->directory, &known, SIZE_MAX, &from_b);
    ck_assert_uint_gt(from_a.config.len, 0);
    ck_assert_uint_eq(from_a.config.len, from_b.config.len);
    ck_assert_mem_eq(from_a.config.data, from_b.config.data,
                     from_a.config.len);
}

START_TEST(test_large_contents_arrive_whole)
{
    set_config(&instances[0], 3, ROUTES);
    mr_updates_fetch(instances[1].updates, instances[0].address,
                     instances[0].name);
    for (int ms = 0; ms < WAIT_MAX_MS && instances[1].applied == 0;
         ms += STEP_MS) {
        run_loop(STEP_MS);
    }
    ck_assert_int_eq(instances[1].applied, 1);
    ck_assert_int_eq(get_version(&instances[1]), 3);
    assert_same_contents(&instances[0], &instances[1]);
}
END_TEST

START_TEST(test_a_sender_serves_few_transfers_at_a_time)
{
    set_config(&instances[0], 3, ROUTES);
    for (int i = 1; i < INSTANCES; i++) {
        mr_updates_fetch(instances[i].updates, instances[0].address,
                         instances[0].name);
    }
    run_loop(STEP_MS);
    ck_assert_int_gt(
        get_counter(&instances[0], "masticrelay_update_busy_total"), 0);
    int complete = 0;
    for (int ms = 0; ms < WAIT_MAX_MS && complete < INSTANCES - 1;
         ms += STEP_MS) {
        complete = 0;
        for (int i = 1; i < INSTANCES; i++) {
            complete += get_version(&instances[i]) == 3;
            if (get_version(&instances[i]) != 3) {
                mr_updates_fetch(instances[i].updates, instances[0].address,
                                 instances[0].name);
            }
        }
        run_loop(STEP_MS);
    }
    ck_assert_int_eq(complete, INSTANCES - 1);
}
END_TEST

START_TEST(test_a_version_that_changes_during_a_transfer_arrives_next)
{
    set_config(&instances[0], 3, ROUTES);
    mr_updates_fetch(instances[1].updates, instances[0].address,
                     instances[0].name);
    event_base_loop(base, EVLOOP_ONCE);
    set_config(&instances[0], 4, ROUTES);
    for (int ms = 0; ms < WAIT_MAX_MS && get_version(&instances[1]) != 4;
         ms += STEP_MS) {
        run_loop(STEP_MS);
        mr_updates_fetch(instances[1].updates, instances[0].address,
                         instances[0].name);
    }
    ck_assert_int_eq(get_version(&instances[1]), 4);
    assert_same_contents(&instances[0], &instances[1]);
}
END_TEST

START_TEST(test_a_sender_that_ends_does_not_block_the_next_transfer)
{
    set_config(&instances[0], 3, ROUTES);
    set_config(&instances[2], 3, ROUTES);
    mr_updates_fetch(instances[1].updates, "127.0.0.1:1", "front-gone");
    run_loop(STEP_MS);
    mr_updates_fetch(instances[1].updates, instances[2].address,
                     instances[2].name);
    for (int ms = 0; ms < WAIT_MAX_MS && instances[1].applied == 0;
         ms += STEP_MS) {
        run_loop(STEP_MS);
    }
    ck_assert_int_eq(get_version(&instances[1]), 3);
}
END_TEST

/* Fetches from @address as the replies to reports tell, which name another
 * source after 1,500 ms. Returns the time until version 3 is applied. */
static int
fetch_from_a_source(const char *address)
{
    mr_update_source_t coordinator = {instances[0].address, instances[0].name};
    mr_update_source_t source = {address, "source"};

    set_config(&instances[0], 3, ROUTES);
    for (int ms = 0; ms < WAIT_MAX_MS; ms += STEP_MS) {
        if (ms % 250 == 0) {
            mr_updates_fetch_either(instances[1].updates,
                                    ms < 1500 ? &source : &coordinator,
                                    &coordinator);
        }
        run_loop(STEP_MS);
        if (get_version(&instances[1]) == 3) {
            return ms;
        }
    }
    return WAIT_MAX_MS;
}

START_TEST(test_a_silent_source_delays_a_large_change_once)
{
    struct sockaddr_in addr = {.sin_family = AF_INET,
                               .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(addr);
    char address[32];
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    ck_assert_int_eq(bind(fd, (struct sockaddr *)&addr, len), 0);
    ck_assert_int_eq(listen(fd, 16), 0);
    ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&addr, &len), 0);
    snprintf(address, sizeof(address), "127.0.0.1:%d", ntohs(addr.sin_port));
    ck_assert_int_lt(fetch_from_a_source(address), 1500);
    close(fd);
}
END_TEST

/* A request for a chunk whose reply is held back. */
static mr_peer_request_t *held_request;
static struct event *slow_timer;
static int64_t slow_offset;

static void
on_slow_timer(evutil_socket_t fd, short what, void *ctx)
{
    static const char byte[] = "x";
    mr_msg_t reply = {.type = MR_MSG_UPDATE_FETCH_REPLY};

    (void)fd;
    (void)what;
    (void)ctx;
    reply.u.update_chunk = (mr_msg_update_chunk_t){
        .id = 1, .size = 100000, .offset = slow_offset++, .data = {byte, 1}};
    mr_peer_reply(held_request, &reply);
}

static void
on_slow_fetch(void *ctx, mr_peer_request_t *request, const mr_msg_t *msg,
              const char *from)
{
    struct timeval tv = {.tv_usec = 800000};

    (void)ctx;
    (void)msg;
    (void)from;
    held_request = request;
    evtimer_add(slow_timer, &tv);
}

START_TEST(test_a_slow_source_does_not_hold_a_large_change_back)
{
    slow_offset = 0;
    slow_timer = evtimer_new(base, on_slow_timer, NULL);
    mr_peer_handle(instances[2].peer, MR_MSG_UPDATE_FETCH, on_slow_fetch,
                   NULL);
    ck_assert_int_lt(fetch_from_a_source(instances[2].address), 1500);
    run_loop(900);
    event_free(slow_timer);
}
END_TEST

/* The coordinator was chosen after the transfer had begun. */
START_TEST(test_a_slow_candidate_does_not_hold_a_large_change_back)
{
    slow_offset = 0;
    slow_timer = evtimer_new(base, on_slow_timer, NULL);
    mr_peer_handle(instances[2].peer, MR_MSG_UPDATE_FETCH, on_slow_fetch,
                   NULL);
    mr_updates_fetch(instances[1].updates, instances[2].address, "candidate");
    ck_assert_int_lt(fetch_from_a_source(instances[0].address), 1500);
    run_loop(900);
    event_free(slow_timer);
}
END_TEST

START_TEST(test_receivers_with_different_versions_are_all_served)
{
    enum { RECEIVERS = 4 };

    for (int version = 3; version <= 3 + RECEIVERS; version++) {
        set_config(&instances[0], version, MANY_ROUTES);
    }
    for (int i = 1; i <= RECEIVERS; i++) {
        set_config(&instances[i], i + 2, MANY_ROUTES);
        mr_updates_fetch(instances[i].updates, instances[0].address,
                         instances[0].name);
    }
    int complete = 0;
    for (int ms = 0; ms < WAIT_MAX_MS && complete < RECEIVERS; ms += STEP_MS) {
        run_loop(STEP_MS);
        complete = 0;
        for (int i = 1; i <= RECEIVERS; i++) {
            complete += get_version(&instances[i]) == 3 + RECEIVERS;
        }
    }
    ck_assert_int_eq(complete, RECEIVERS);
}
END_TEST

START_TEST(test_all_registrations_of_a_large_deployment_arrive)
{
    enum { ROWS = 5700 };
    static char keys[ROWS][16];
    static mr_store_row_t rows[ROWS];
    static const char value[] =
        "{\"service\":\"rez\",\"address\":\"127.0.0.1:1000\",\"zone\":"
        "\"konya\",\"state\":\"ready\",\"db_role\":\"replica\",\"slots\":2,"
        "\"born\":1,\"seq_no\":1}";

    for (int i = 0; i < ROWS; i++) {
        snprintf(keys[i], sizeof(keys[i]), "i-%d", i);
        rows[i] = (mr_store_row_t){.key = keys[i],
                                   .value = value,
                                   .len = strlen(value),
                                   .revision = {0, i + 1}};
    }
    mr_directory_set_registrations(instances[0].directory,
                                   (mr_revision_t){0, ROWS}, rows, ROWS);
    mr_updates_fetch(instances[1].updates, instances[0].address,
                     instances[0].name);
    for (int ms = 0; ms < WAIT_MAX_MS && instances[1].applied == 0;
         ms += STEP_MS) {
        run_loop(STEP_MS);
    }
    ck_assert_int_eq(instances[1].applied, 1);
}
END_TEST

START_TEST(test_a_sender_short_of_memory_encodes_no_update)
{
    set_config(&instances[0], 3, ROUTES);
    mr_memory_set_in_use(instances[0].memory, MEMORY_LIMIT);
    mr_updates_fetch(instances[1].updates, instances[0].address,
                     instances[0].name);
    run_loop(STEP_MS);
    ck_assert_int_eq(
        get_counter(&instances[0], "masticrelay_update_busy_total"), 1);
    ck_assert_int_eq(get_version(&instances[1]), 0);
    mr_memory_set_in_use(instances[0].memory, 0);
    mr_updates_fetch(instances[1].updates, instances[0].address,
                     instances[0].name);
    run_loop(10 * STEP_MS);
    ck_assert_int_eq(get_version(&instances[1]), 3);
}
END_TEST

START_TEST(test_nothing_newer_ends_a_fetch)
{
    set_config(&instances[0], 3, ROUTES);
    set_config(&instances[1], 3, ROUTES);
    mr_updates_fetch(instances[1].updates, instances[0].address,
                     instances[0].name);
    run_loop(STEP_MS);
    ck_assert_int_eq(instances[1].applied, 0);
    ck_assert_int_eq(
        get_counter(&instances[0], "masticrelay_update_sent_bytes_total"), 0);
}
END_TEST

START_TEST(test_decoding_is_followed_by_a_pause)
{
    set_config(&instances[0], 3, ROUTES);
    mr_updates_fetch(instances[1].updates, instances[0].address,
                     instances[0].name);
    for (int ms = 0; ms < WAIT_MAX_MS && instances[1].applied == 0; ms++) {
        run_loop(1);
    }
    ck_assert_int_eq(instances[1].applied, 1);
    ck_assert(!mr_updates_accepts_config(instances[1].updates));
    run_loop(500);
    run_loop(500);
    ck_assert(mr_updates_accepts_config(instances[1].updates));
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_large_contents_arrive_whole,
        test_a_sender_serves_few_transfers_at_a_time,
        test_a_version_that_changes_during_a_transfer_arrives_next,
        test_a_sender_that_ends_does_not_block_the_next_transfer,
        test_a_silent_source_delays_a_large_change_once,
        test_a_slow_source_does_not_hold_a_large_change_back,
        test_a_slow_candidate_does_not_hold_a_large_change_back,
        test_receivers_with_different_versions_are_all_served,
        test_all_registrations_of_a_large_deployment_arrive,
        test_a_sender_short_of_memory_encodes_no_update,
        test_nothing_newer_ends_a_fetch,
        test_decoding_is_followed_by_a_pause,
    };

    return RUN_TESTS(tests, .suite = "update", .setup = set_up,
                     .teardown = tear_down, .timeout_s = 20);
}
