/* CPU time of the modules whose work grows with the size of the configuration
 * or with the number of members, at the sizes of docs/CAPACITY.md. */

#include <malloc.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "common_bench.h"
#include "config/key.h"
#include "config/model.h"
#include "config/patch.h"
#include "limit/limiter.h"
#include "limit/local.h"
#include "masticrelay.h"
#include "member/table.h"

enum {
    TARGETS_PER_GROUP = 3,
    DATA_CENTRES = 8,
    NAME_BYTES = 64,
    INCARNATION = 1700000,
};

#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

/* Members. */

typedef struct member_bench {
    mr_clock_t clock;
    mr_member_table_t *table;
    long count;
    int64_t next;
    const mr_member_t **ranked;
} member_bench_t;

static void
make_report(long index, char name[NAME_BYTES], mr_msg_member_t *report)
{
    snprintf(name, NAME_BYTES, "konya-%ld", index);
    *report = (mr_msg_member_t){.name = name,
                                .data_centre = "konya",
                                .address = "10.0.0.1:7000",
                                .incarnation = (int64_t)INCARNATION
                                               << MR_MEMBER_REFUTATION_BITS,
                                .state = MR_MEMBER_LIVE};
}

static void
find_owner(void *ctx)
{
    member_bench_t *run = ctx;
    char key[NAME_BYTES];

    snprintf(key, sizeof(key), "target-%lld", (long long)run->next++);
    if (mr_member_table_owner(run->table, key, "konya") == NULL) {
        abort();
    }
}

static void
rank_members(void *ctx)
{
    member_bench_t *run = ctx;
    char key[NAME_BYTES];

    snprintf(key, sizeof(key), "target-%lld", (long long)run->next++);
    mr_member_table_usable(run->table, key, "konya", run->ranked,
                           (size_t)run->count);
}

/* Merges the ten reports of a full ping, none of which has news. */
static void
merge_reports(void *ctx)
{
    member_bench_t *run = ctx;

    for (int i = 0; i < MR_MEMBER_CHANGES_MAX + 2; i++) {
        char name[NAME_BYTES];
        mr_msg_member_t report;
        make_report(run->next++ % run->count, name, &report);
        mr_member_table_merge(run->table, &report);
    }
}

static void
tick_members(void *ctx)
{
    member_bench_t *run = ctx;

    run->clock.u.manual.now += 100;
    mr_member_table_tick(run->table);
    mr_member_table_next_ping(run->table);
}

static void
list_members(void *ctx)
{
    member_bench_t *run = ctx;

    mr_member_table_list_begin(run->table);
    for (long i = 0; i < run->count; i++) {
        char name[NAME_BYTES];
        snprintf(name, sizeof(name), "konya-%ld", i);
        mr_member_table_list_add(run->table, name, "konya", "10.0.0.1:7000",
                                 false);
    }
    mr_member_table_list_end(run->table);
}

static void
measure_members(long count)
{
    member_bench_t run = {.count = count};

    run.clock.kind = MR_CLOCK_MANUAL;
    run.clock.u.manual.now = 1000000;
    run.ranked = mr_calloc((size_t)count + 1, sizeof(const mr_member_t *));
    run.table = mr_member_table_create(&run.clock, "self", "konya",
                                       "10.0.0.1:7000", INCARNATION);
    mr_member_table_set_joined(run.table);
    for (long i = 0; i < count; i++) {
        char name[NAME_BYTES];
        mr_msg_member_t report;
        make_report(i, name, &report);
        mr_member_table_merge(run.table, &report);
    }
    bench_run("member_owner", count, find_owner, &run);
    bench_run("member_rank", count, rank_members, &run);
    bench_run("member_merge_10", count, merge_reports, &run);
    bench_run("member_tick", count, tick_members, &run);
    bench_run("member_list", count, list_members, &run);
    mr_member_table_destroy(run.table);
    free(run.ranked);
}

/* Configuration. */

typedef struct config_bench {
    char *text;
    size_t len;
    mr_config_t *config;
    char (*keys)[MR_OP_KEY_BYTES];
    long accounts;
    long targets;
    long next;
    char *changed_text;
    mr_config_patch_t patch;
} config_bench_t;

static void
add_targets(mr_op_t *op, long targets)
{
    for (long i = 0; i < targets; i++) {
        char group[NAME_BYTES];
        char name[NAME_BYTES];
        char data_centre[NAME_BYTES];
        snprintf(group, sizeof(group), "group-%ld", i / TARGETS_PER_GROUP);
        snprintf(name, sizeof(name), "target-%ld", i);
        snprintf(data_centre, sizeof(data_centre), "place-%ld",
                 i % DATA_CENTRES);
        mr_op_target_t target = {.name = name,
                                 .group = group,
                                 .data_centre = data_centre,
                                 .address = "10.1.2.3:5432",
                                 .slots = 2,
                                 .connections = 35};
        if (i % TARGETS_PER_GROUP == 0) {
            mr_op_group(op, "service", group);
        }
        mr_op_target(op, &target);
    }
}

static void
make_config(config_bench_t *run)
{
    mr_op_t *op = mr_op_create("bench", 1);
    mr_op_route_t route = {.name = "data",
                           .service = "service",
                           .freshness = MR_OP_FRESHNESS_SESSION,
                           .deadline_ms = 2000,
                           .offline_limit_s = 3600};

    for (int i = 0; i < DATA_CENTRES; i++) {
        char name[NAME_BYTES];
        snprintf(name, sizeof(name), "place-%d", i);
        mr_op_data_centre(op, name, "region");
    }
    mr_op_service(op, "service");
    add_targets(op, run->targets);
    mr_op_route(op, &route);
    run->keys = mr_calloc((size_t)run->accounts * 2, sizeof(*run->keys));
    for (long i = 0; i < run->accounts; i++) {
        char name[NAME_BYTES];
        snprintf(name, sizeof(name), "account-%ld", i);
        mr_op_account_t account = {name, 2000, 1000, 1};
        mr_op_account(op, &account);
        for (long k = 0; k < 2; k++) {
            char id[NAME_BYTES];
            snprintf(id, sizeof(id), "key-%ld-%ld", i, k);
            mr_op_key_issue(op, name, id, run->keys[2 * i + k]);
        }
        mr_op_allow(op, "data", name);
    }
    run->text = mr_op_print(op);
    if (run->text == NULL) {
        fprintf(stderr, "configuration: %s\n", mr_op_problem(op, 0));
        exit(EXIT_FAILURE);
    }
    run->len = strlen(run->text);
    mr_op_destroy(op);
}

static void
parse_config(void *ctx)
{
    config_bench_t *run = ctx;
    mr_json_problem_t problem;
    mr_config_t *config = mr_config_parse(run->text, run->len, &problem);

    if (config == NULL) {
        abort();
    }
    mr_config_unref(config);
}

static void
hash_config(void *ctx)
{
    config_bench_t *run = ctx;
    char hash[MR_CONFIG_KEY_HASH_BYTES * 2 + 1];

    mr_config_hash(run->text, run->len, hash);
}

/* Returns the next version, in which one key has another hash. */
static char *
make_changed_body(const config_bench_t *run)
{
    char *text = mr_memdup(run->text, run->len);
    char *version = strstr(text, "\"version\":1");
    char *hash = strstr(text, "\"hash\":\"");

    if (version == NULL || hash == NULL) {
        abort();
    }
    version[10] = '2';
    memset(hash + 8, '0', 64);
    return text;
}

static void
make_patch(void *ctx)
{
    config_bench_t *run = ctx;

    mr_config_patch_clear(&run->patch);
    if (!mr_config_patch_make((mr_bytes_t){run->text, run->len},
                              (mr_bytes_t){run->changed_text, run->len},
                              &run->patch)) {
        abort();
    }
}

static void
apply_patch(void *ctx)
{
    config_bench_t *run = ctx;
    size_t len;
    char *text =
        mr_config_patch_apply((mr_bytes_t){run->text, run->len},
                              run->patch.parts, run->patch.count, &len);

    if (text == NULL || len != run->len
        || memcmp(text, run->changed_text, len) != 0) {
        abort();
    }
    free(text);
}

/* Measures the time to make and apply a patch, and the size of the message
 * that carries it to a peer. */
static void
measure_patch(config_bench_t *run, long targets)
{
    mr_msg_t msg = {.type = MR_MSG_CONFIG_FETCH_REPLY};
    msgpack_sbuffer packed;
    char name[NAME_BYTES];

    run->changed_text = make_changed_body(run);
    snprintf(name, sizeof(name), "config_patch_make_%ld_accounts",
             run->accounts);
    bench_run(name, targets, make_patch, run);
    snprintf(name, sizeof(name), "config_patch_apply_%ld_accounts",
             run->accounts);
    bench_run(name, targets, apply_patch, run);
    msg.u.config.base = "";
    msg.u.config.patch = run->patch.parts;
    msg.u.config.patch_count = run->patch.count;
    msgpack_sbuffer_init(&packed);
    mr_msg_encode(&msg, &packed);
    snprintf(name, sizeof(name), "config_patch_bytes_%ld_accounts",
             run->accounts);
    bench_print(name, targets, (double)packed.size, "bytes");
    msgpack_sbuffer_destroy(&packed);
    mr_config_patch_clear(&run->patch);
    free(run->changed_text);
}

/* The work of mr_auth_check(), without the parsing of the header. */
static void
check_key(void *ctx)
{
    config_bench_t *run = ctx;
    const char *text = run->keys[run->next++ % (2 * run->accounts)];
    const mr_config_account_t *account = NULL;
    const mr_config_route_t *route = mr_config_route(run->config, "data");
    mr_key_t key;

    if (!mr_key_parse(text, strlen(text), &key)) {
        abort();
    }
    const mr_config_key_t *known =
        mr_config_find_key(run->config, key.id, &account);
    if (known == NULL || !mr_key_matches(&key, known->hash)) {
        abort();
    }
    for (size_t i = 0; i < route->account_count; i++) {
        if (route->accounts[i] == account) {
            return;
        }
    }
    abort();
}

static void
measure_config(long targets, long accounts)
{
    config_bench_t run = {.targets = targets, .accounts = accounts};
    mr_json_problem_t problem;
    char name[NAME_BYTES];

    make_config(&run);
    snprintf(name, sizeof(name), "config_bytes_%ld_accounts", accounts);
    bench_print(name, targets, (double)run.len, "bytes");
    snprintf(name, sizeof(name), "config_parse_%ld_accounts", accounts);
    bench_run(name, targets, parse_config, &run);
    snprintf(name, sizeof(name), "config_hash_%ld_accounts", accounts);
    bench_run(name, targets, hash_config, &run);
    measure_patch(&run, targets);
    double before = (double)mallinfo2().uordblks;
    run.config = mr_config_parse(run.text, run.len, &problem);
    snprintf(name, sizeof(name), "config_memory_%ld_accounts", accounts);
    bench_print(name, targets, ((double)mallinfo2().uordblks - before) / 1024,
                "KB");
    if (targets == TARGETS_PER_GROUP * 3) {
        bench_run("key_check", accounts, check_key, &run);
    }
    mr_config_unref(run.config);
    free(run.text);
    free(run.keys);
}

/* Rate limits of accounts. */

typedef struct limit_bench {
    long count;
    mr_limit_local_t *locals;
    mr_grant_table_t **grant_tables;
    char (*names)[NAME_BYTES];
    mr_ms_t now;
    long next;
} limit_bench_t;

/* An instance does this every 50 ms for the accounts that it has served. */
static void
tick_accounts(void *ctx)
{
    limit_bench_t *run = ctx;

    run->now += 50;
    for (long i = 0; i < run->count; i++) {
        mr_grant_request_t request = {.instance = "konya-1", .process = 7};
        mr_held_grants_take_spent(&run->locals[i].grants, run->now);
        mr_limit_local_prepare_request(&run->locals[i], 0, run->now, &request);
    }
}

static void
request_grant(void *ctx)
{
    limit_bench_t *run = ctx;
    mr_msg_grant_item_t items[MR_GRANT_ITEMS_MAX];
    char name[NAME_BYTES];
    bool refused = false;

    snprintf(name, sizeof(name), "konya-%ld", run->next % 20);
    mr_grant_request_t request = {
        .instance = name, .process = 7, .demand = 1000, .wanted = 1};
    if (run->next % 1000 == 0) {
        run->now++;
    }
    mr_grant_table_handle_request(run->grant_tables[run->next++ % run->count],
                                  &request, run->now, items, &refused);
}

/* The limiter does this every 100 ms for each of 16 shards. */
static void
scan_shard(void *ctx)
{
    limit_bench_t *run = ctx;
    unsigned found = 0;

    for (long i = 0; i < run->count; i++) {
        found += mr_limiter_shard(run->names[i]) == 3;
    }
    run->next += found;
}

static void
measure_limits(long count)
{
    limit_bench_t run = {.count = count, .now = 1000000};

    run.locals = mr_calloc((size_t)count, sizeof(*run.locals));
    run.grant_tables = mr_calloc((size_t)count, sizeof(mr_grant_table_t *));
    run.names = mr_calloc((size_t)count, sizeof(*run.names));
    for (long i = 0; i < count; i++) {
        mr_limit_amount_t share = {2000000, 1000000};
        snprintf(run.names[i], NAME_BYTES, "account-%ld", i);
        mr_limit_local_init(&run.locals[i], run.now);
        mr_limit_local_configure(&run.locals[i], share, run.now);
        run.grant_tables[i] = mr_grant_table_create(1, NULL, run.now);
        mr_grant_table_set_share(run.grant_tables[i], share, run.now + 300000,
                                 run.now);
    }
    bench_run("limit_tick", count, tick_accounts, &run);
    bench_run("limiter_ask", count, request_grant, &run);
    bench_run("limiter_scan_shard", count, scan_shard, &run);
    for (long i = 0; i < count; i++) {
        mr_grant_table_destroy(run.grant_tables[i]);
    }
    free(run.grant_tables);
    free(run.names);
    free(run.locals);
}

int
main(void)
{
    static const long members[] = {10, 65, 325, 1300, 2600};
    static const long targets[] = {9, 570, 1900, 5700};
    static const long accounts[] = {8, 200, 1000, 2000};

    if (sodium_init() < 0) {
        return EXIT_FAILURE;
    }
    for (size_t i = 0; i < COUNT_OF(members); i++) {
        measure_members(members[i]);
    }
    for (size_t i = 0; i < COUNT_OF(targets); i++) {
        measure_config(targets[i], 8);
    }
    for (size_t i = 1; i < COUNT_OF(accounts); i++) {
        measure_config(9, accounts[i]);
    }
    measure_config(5700, 2000);
    for (size_t i = 0; i < COUNT_OF(accounts); i++) {
        measure_limits(accounts[i]);
    }
    return EXIT_SUCCESS;
}
