/*
 * CPU time and memory of one daemon in a data centre of many members. This
 * process simulates the other members: each has its own listener, answers
 * pings and does not answer any other call.
 */

#include "common/mem.h"
#include "common_harness.h"
#include "wire/peer.h"

enum {
    MEMBERS_MAX = 1300,
    DESCRIPTORS = 3 * MEMBERS_MAX,
    SETTLE_MS = 8000,
    WINDOW_MS = 4000,
    INCARNATION = 1000,
    REFUTATION_BITS = 12,
};

static const char *const data_centres[] = {"konya", NULL};

typedef struct member {
    mr_peer_t *peer;
    char name[HARNESS_NAME_BYTES];
    char address[MR_ADDRESS_MAX_BYTES];
} member_t;

static member_t members[MEMBERS_MAX];
static mr_counters_t *counters;
static uint8_t secret[MR_PEER_SECRET_BYTES];

static void
on_ping(void *ctx, mr_peer_request_t *request, const mr_msg_t *msg,
        const char *from)
{
    const member_t *member = ctx;
    mr_msg_member_t record = {.name = member->name,
                              .data_centre = data_centres[0],
                              .address = member->address,
                              .incarnation = INCARNATION << REFUTATION_BITS};
    mr_msg_t reply = {.type = MR_MSG_PING_REPLY};

    (void)msg;
    (void)from;
    if (request != NULL) {
        reply.u.ping.incarnation = INCARNATION;
        reply.u.ping.changes = &record;
        reply.u.ping.change_count = 1;
        mr_peer_reply(request, &reply);
    }
}

static void
read_secret(const harness_t *h)
{
    char path[HARNESS_PATH_BYTES + 16];
    unsigned byte;

    snprintf(path, sizeof(path), "%s/secret", h->folder);
    FILE *file = fopen(path, "re");
    ck_assert_ptr_nonnull(file);
    for (size_t i = 0; i < sizeof(secret); i++) {
        ck_assert_int_eq(fscanf(file, "%2x", &byte), 1);
        secret[i] = (uint8_t)byte;
    }
    fclose(file);
}

static void
add_member(harness_t *h, int index)
{
    member_t *member = &members[index];
    char path[HARNESS_PATH_BYTES];
    char body[HARNESS_PATH_BYTES];

    snprintf(member->name, sizeof(member->name), "member-%d", index);
    mr_peer_options_t options = {
        .base = h->base,
        .counters = counters,
        .name = member->name,
        .data_centre = data_centres[0],
        .incarnation = INCARNATION,
        .secret = secret,
    };
    member->peer = mr_peer_create(&options);
    int port = mr_peer_listen(member->peer, "127.0.0.1:0");
    ck_assert_int_gt(port, 0);
    snprintf(member->address, sizeof(member->address), "127.0.0.1:%d", port);
    mr_peer_handle(member->peer, MR_MSG_PING, on_ping, member);
    snprintf(path, sizeof(path), "/instances/%s", member->name);
    snprintf(body, sizeof(body),
             "{\"data_centre\":\"%s\",\"address\":\"%s\",\"kind\":"
             "\"instance\",\"state\":\"live\"}",
             data_centres[0], member->address);
    ck_assert_int_eq(harness_http(h->base, "PUT", h->platform.address, path,
                                  NULL, body, NULL),
                     200);
}

static size_t
count_usable_members(harness_t *h)
{
    json_t *status = harness_status(h, &h->instances[0]);
    const json_t *member;
    size_t i;
    size_t count = 0;

    json_array_foreach(json_object_get(status, "members"), i, member)
    {
        count += json_is_true(json_object_get(member, "usable"));
    }
    json_decref(status);
    return count;
}

START_TEST(fleet_members)
{
    static const int counts[] = {10, 65, 325, MEMBERS_MAX};
    const harness_options_t options = {
        .data_centres = data_centres,
        .accounts = 8,
        .rate = 2000,
        .burst = 1000,
        .slots = 2,
        .connections = 35,
        .connect_ms = 10,
        .list_lag_ms = HARNESS_EXPLICIT_ZERO,
    };
    int open = 0;

    bench_raise_fd_limit(DESCRIPTORS);
    harness_t *h = harness_start(&options);
    pid_t pid = h->instances[0].process.pid;
    counters = mr_counters_create();
    read_secret(h);
    for (size_t i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
        while (open < counts[i]) {
            add_member(h, open++);
        }
        harness_run_loop(h->base, SETTLE_MS);
        double cpu = bench_process_cpu_ms(pid);
        harness_run_loop(h->base, WINDOW_MS);
        cpu = bench_process_cpu_ms(pid) - cpu;
        bench_print("members_cpu", open, cpu * 1e3 / WINDOW_MS, "ms/s");
        bench_print("members_memory", open, bench_process_rss_kb(pid), "KB");
        bench_print("members_usable", open, (double)count_usable_members(h),
                    "members");
    }
    for (int i = 0; i < open; i++) {
        mr_peer_destroy(members[i].peer);
    }
    mr_counters_destroy(counters);
    harness_end(h);
}
END_TEST

int
main(void)
{
    return bench_run_test("members", fleet_members);
}
