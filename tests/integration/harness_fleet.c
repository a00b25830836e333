#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "../precise_loop.h"
#include "common/mem.h"
#include "config/rows.h"
#include "harness.h"

enum {
    TARGETS_PER_GROUP = 3,
    STARTUP_TIMEOUT_MS = 15000,
    COMMAND_BYTES = 512,
    LARGE_ACCOUNT_FACTOR = 4,
    STATUS_TOO_MANY_REQUESTS = 429,
};

static const char credential[] = "operator-credential-of-tests";

static void
init_process(harness_t *h, harness_process_t *process, const char *program,
             const char *name, const char *ready)
{
    const char *build = getenv("MASTICRELAY_BUILD");

    snprintf(process->name, sizeof(process->name), "%s", name);
    snprintf(process->address, sizeof(process->address), "127.0.0.1:%d",
             harness_port());
    ck_assert_int_lt(snprintf(process->log, sizeof(process->log), "%s/%s.log",
                              h->folder, name),
                     (int)sizeof(process->log));
    process->ready = ready;
    harness_process_arg(process, "%s/%s", build == NULL ? "build" : build,
                        program);
}

static size_t
count_data_centres(const harness_t *h)
{
    size_t count = 0;

    while (h->options.data_centres[count] != NULL) {
        count++;
    }
    ck_assert_uint_gt(count, 0);
    return count;
}

static void
prepare_targets(harness_t *h)
{
    size_t dc_count = count_data_centres(h);

    h->target_count = (size_t)h->options.groups * TARGETS_PER_GROUP;
    h->targets = mr_calloc(h->target_count, sizeof(*h->targets));
    for (size_t i = 0; i < h->target_count; i++) {
        harness_target_t *t = &h->targets[i];
        char name[HARNESS_NAME_BYTES];
        size_t member = i % TARGETS_PER_GROUP;
        t->group = (int)(i / TARGETS_PER_GROUP);
        t->data_centre =
            h->options.data_centres[((size_t)t->group + member) % dc_count];
        snprintf(name, sizeof(name), "g%d-%c", t->group,
                 (char)('a' + (char)member));
        init_process(h, &t->process, "target_standin", name, "listening on");
    }
    for (size_t i = 0; i < h->target_count; i++) {
        harness_process_t *p = &h->targets[i].process;
        size_t first = i - i % TARGETS_PER_GROUP;
        char peers[TARGETS_PER_GROUP * MR_ADDRESS_MAX_BYTES] = "";
        for (size_t j = first; j < first + TARGETS_PER_GROUP; j++) {
            if (j != i) {
                strcat(peers, peers[0] == '\0' ? "" : ",");
                strcat(peers, h->targets[j].process.address);
            }
        }
        harness_process_arg(p, "--listen=%s", p->address);
        harness_process_arg(p, "--name=%s", p->name);
        harness_process_arg(p, "--peers=%s", peers);
        harness_process_arg(p, "--slots=%d", h->options.slots);
        harness_process_arg(p, "--connections=%d", h->options.connections);
        harness_process_arg(p, "--lag-ms=%d", h->options.lag_ms);
        harness_process_arg(p, "--statement-ms=%d", h->options.statement_ms);
        harness_process_arg(p, "--connect-ms=%d", h->options.connect_ms);
        harness_process_arg(p, "--state-file=%s/%s.state", h->folder, p->name);
        harness_process_arg(p, "--record=%s/%s.record", h->folder, p->name);
        /* Ignored once the state file has a term: a restarted target starts
         * as a replica. */
        if (i == first) {
            harness_process_arg(p, "--primary");
        }
    }
}

static void
prepare_instance(harness_t *h, harness_instance_t *instance, const char *name)
{
    harness_process_t *p = &instance->process;

    init_process(h, p, "masticrelayd", name, "event=ready");
    snprintf(instance->peer, sizeof(instance->peer), "127.0.0.1:%d",
             harness_port());
    snprintf(instance->admin, sizeof(instance->admin), "127.0.0.1:%d",
             harness_port());
    harness_process_arg(p, "--name=%s", name);
    harness_process_arg(p, "--data-centre=%s", instance->data_centre);
    harness_process_arg(p, "--listen=%s", p->address);
    harness_process_arg(p, "--peer=%s", instance->peer);
    harness_process_arg(p, "--admin=%s", instance->admin);
    harness_process_arg(p, "--platform=%s", h->platform.address);
    harness_process_arg(p, "--secret-file=%s/secret", h->folder);
    harness_process_arg(p, "--approver-public-key=%s", h->approver_public);
    harness_process_arg(p, "--operator-credential=%s", credential);
    for (size_t i = 0; h->options.instance_args != NULL
                       && h->options.instance_args[i] != NULL;
         i++) {
        harness_process_arg(p, "%s", h->options.instance_args[i]);
    }
}

static void
prepare_instances(harness_t *h)
{
    size_t dc_count = count_data_centres(h);
    size_t total = h->options.instances_total > 0
                       ? (size_t)h->options.instances_total
                       : dc_count * (size_t)h->options.instances;
    size_t made = 0;

    h->instance_count = total;
    h->instances = mr_calloc(total, sizeof(*h->instances));
    for (size_t p = 0; p < dc_count; p++) {
        size_t here = total / dc_count + (p < total % dc_count ? 1 : 0);
        for (size_t i = 0; i < here; i++) {
            harness_instance_t *instance = &h->instances[made++];
            char name[HARNESS_NAME_BYTES];
            instance->data_centre = h->options.data_centres[p];
            snprintf(name, sizeof(name), "%s-%zu", instance->data_centre, i);
            prepare_instance(h, instance, name);
        }
    }
}

static void
build_config(harness_t *h)
{
    const harness_options_t *o = &h->options;
    mr_op_route_t route = {.name = "data",
                           .service = "service",
                           .freshness = MR_OP_FRESHNESS_SESSION,
                           .deadline_ms = 2000,
                           .offline_limit_s = o->offline_limit_s};

    h->config = mr_op_create("harness", 1);
    for (size_t i = 0; o->data_centres[i] != NULL; i++) {
        mr_op_data_centre(h->config, o->data_centres[i], "region");
    }
    mr_op_service(h->config, "service");
    for (int g = 0; g < o->groups; g++) {
        char name[HARNESS_NAME_BYTES];
        snprintf(name, sizeof(name), "g%d", g);
        mr_op_group(h->config, "service", name);
    }
    for (size_t i = 0; i < h->target_count; i++) {
        const harness_target_t *t = &h->targets[i];
        char group[HARNESS_NAME_BYTES];
        snprintf(group, sizeof(group), "g%d", t->group);
        mr_op_target_t target = {.name = t->process.name,
                                 .group = group,
                                 .data_centre = t->data_centre,
                                 .address = t->process.address,
                                 .slots = o->slots,
                                 .connections = o->connections};
        mr_op_target(h->config, &target);
    }
    mr_op_route(h->config, &route);
    h->accounts = mr_calloc((size_t)o->accounts, sizeof(*h->accounts));
    for (int i = 0; i < o->accounts; i++) {
        harness_account_t *a = &h->accounts[i];
        snprintf(a->name, sizeof(a->name), "account-%d", i);
        snprintf(a->key_id, sizeof(a->key_id), "key-%d", i);
        a->rate = o->rate * (i < o->large_accounts ? LARGE_ACCOUNT_FACTOR : 1);
        a->burst =
            o->burst * (i < o->large_accounts ? LARGE_ACCOUNT_FACTOR : 1);
        mr_op_account_t account = {a->name, a->rate, a->burst, 1};
        mr_op_account(h->config, &account);
        ck_assert(mr_op_key_issue(h->config, a->name, a->key_id, a->key));
        mr_op_allow(h->config, "data", a->name);
        harness_trace(h, "account",
                      json_pack("{s:s,s:I,s:I}", "name", a->name, "rate",
                                (json_int_t)a->rate, "burst",
                                (json_int_t)a->burst));
    }
}

void
harness_publish_config(harness_t *h)
{
    mr_config_head_t head = {.version = h->version + 1};
    char path[128];
    json_t *row = NULL;

    mr_op_set_version(h->config, head.version);
    char *text = mr_op_print(h->config);
    if (text == NULL) {
        ck_abort_msg("invalid configuration: %s", mr_op_problem(h->config, 0));
    }
    mr_op_hash(text, strlen(text), head.hash);
    ck_assert(mr_op_approve(h->approver_secret, head.version, head.hash,
                            head.approval));
    snprintf(path, sizeof(path), "/objects/" MR_CONFIG_OBJECT_PREFIX "%s",
             head.hash);
    ck_assert_int_eq(harness_http(h->base, "PUT", h->platform.address, path,
                                  NULL, text, NULL),
                     200);
    free(text);
    harness_http(h->base, "GET", h->platform.address,
                 "/table/" MR_CONFIG_ROW_HEAD, NULL, NULL, &row);
    json_int_t revision = json_integer_value(json_object_get(row, "revision"));
    const char *previous = json_string_value(
        json_object_get(json_object_get(row, "value"), "hash"));
    snprintf(head.previous, sizeof(head.previous), "%s",
             previous == NULL ? "" : previous);
    json_t *put = json_pack("{s:I,s:o}", "expect", revision, "value",
                            mr_config_head_write(&head));
    char *body = json_dumps(put, JSON_COMPACT);
    ck_assert_int_eq(harness_http(h->base, "PUT", h->platform.address,
                                  "/table/" MR_CONFIG_ROW_HEAD, NULL, body,
                                  NULL),
                     200);
    free(body);
    json_decref(put);
    json_decref(row);
    h->version = head.version;
    harness_trace(h, "accepted",
                  json_pack("{s:I}", "version", (json_int_t)h->version));
}

/* Sends a read. A large fleet needs more probes than the burst of an account
 * allows, so a probe that is rate-limited is retried until @end. */
static bool
send_probe(harness_t *h, const harness_instance_t *instance, const char *key,
           const char *body, mr_ms_t end)
{
    int status = 0;

    do {
        if (status != 0) {
            harness_run_loop(h->base, 20);
        }
        status = harness_http(h->base, "POST", instance->process.address,
                              "/v1/routes/data/statements", key, body, NULL);
    } while (status == STATUS_TOO_MANY_REQUESTS && mr_clock_now(NULL) < end);
    return status == 200;
}

/* Whether every daemon serves reads of every account from every group. */
static bool
all_daemons_serve(harness_t *h, mr_ms_t end)
{
    int shards = 4 * h->options.groups + h->options.accounts;

    for (size_t i = 0; i < h->instance_count; i++) {
        for (int shard = 0; shard < shards; shard++) {
            const char *key = h->accounts[shard % h->options.accounts].key;
            char body[256];
            snprintf(body, sizeof(body),
                     "{\"access\":\"read\",\"shard\":\"s%d\",\"statement\":"
                     "{\"op\":\"get\",\"key\":\"none\"},\"freshness\":"
                     "{\"mode\":\"present\"},\"deadline_ms\":300}",
                     shard);
            if (!send_probe(h, &h->instances[i], key, body, end)) {
                return false;
            }
        }
    }
    return true;
}

static void
write_secret(harness_t *h)
{
    char path[HARNESS_PATH_BYTES + 16];
    unsigned char secret[32];
    char hex[2 * sizeof(secret) + 1];

    randombytes_buf(secret, sizeof(secret));
    sodium_bin2hex(hex, sizeof(hex), secret, sizeof(secret));
    snprintf(path, sizeof(path), "%s/secret", h->folder);
    FILE *file = fopen(path, "we");
    ck_assert_ptr_nonnull(file);
    fprintf(file, "%s\n", hex);
    ck_assert_int_eq(fclose(file), 0);
}

static void
apply_default(int *value, int default_value)
{
    if (*value == 0) {
        *value = default_value;
    }
    else if (*value == HARNESS_EXPLICIT_ZERO) {
        *value = 0;
    }
}

void
harness_default_options(harness_options_t *options)
{
    apply_default(&options->instances, 1);
    apply_default(&options->groups, 1);
    apply_default(&options->accounts, 1);
    apply_default(&options->slots, 4);
    apply_default(&options->connections, 60);
    apply_default(&options->lag_ms, 20);
    apply_default(&options->statement_ms, 1);
    apply_default(&options->connect_ms, 5);
    apply_default(&options->list_lag_ms, 500);
    options->rate = options->rate == 0 ? 5000 : options->rate;
    options->burst = options->burst == 0 ? 5000 : options->burst;
    options->offline_limit_s =
        options->offline_limit_s == 0 ? 3600 : options->offline_limit_s;
}

harness_t *
harness_start(const harness_options_t *requested)
{
    harness_t *h = MR_NEW(harness_t);
    const harness_options_t *options = &h->options;
    mr_ms_t end = mr_clock_now(NULL) + STARTUP_TIMEOUT_MS;

    ck_assert_int_ge(sodium_init(), 0);
    signal(SIGPIPE, SIG_IGN);
    h->options = *requested;
    harness_default_options(&h->options);
    h->base = precise_loop_create();
    h->started = mr_clock_now(NULL);
    snprintf(h->folder, sizeof(h->folder), "/tmp/masticrelay-test-XXXXXX");
    ck_assert_ptr_nonnull(mkdtemp(h->folder));
    write_secret(h);
    ck_assert(mr_op_approver_create(h->approver_public, h->approver_secret));
    if (options->trace != NULL) {
        g_autofree char *path =
            options->trace[0] == '/'
                ? g_strdup(options->trace)
                : g_build_filename(h->folder, options->trace, NULL);
        snprintf(h->trace_path, sizeof(h->trace_path), "%s", path);
        h->trace = fopen(path, "we");
        ck_assert_ptr_nonnull(h->trace);
    }
    init_process(h, &h->platform, "platform_standin", "platform",
                 "listening on");
    harness_process_arg(&h->platform, "--listen=%s", h->platform.address);
    harness_process_arg(&h->platform, "--list-lag-ms=%d",
                        options->list_lag_ms);
    init_process(h, &h->proxy, "fault_proxy", "proxy", "listening on");
    harness_process_arg(&h->proxy, "--control=%s", h->proxy.address);
    prepare_targets(h);
    prepare_instances(h);
    harness_process_start(&h->platform);
    if (options->proxied) {
        harness_add_links(h);
        harness_process_start(&h->proxy);
    }
    for (size_t i = 0; i < h->target_count; i++) {
        harness_process_start(&h->targets[i].process);
    }
    build_config(h);
    harness_publish_config(h);
    for (size_t i = 0; i < h->instance_count; i++) {
        harness_process_start(&h->instances[i].process);
    }
    while (!all_daemons_serve(h, end)) {
        if (mr_clock_now(NULL) > end) {
            ck_abort_msg("the fleet does not serve requests, see %s",
                         h->folder);
        }
        harness_run_loop(h->base, 50);
    }
    return h;
}

static void
destroy_process(harness_process_t *process)
{
    harness_process_kill(process);
    for (size_t i = 0; process->args[i] != NULL; i++) {
        free(process->args[i]);
    }
}

void
harness_end(harness_t *h)
{
    char command[COMMAND_BYTES];

    for (size_t i = 0; i < h->instance_count; i++) {
        destroy_process(&h->instances[i].process);
    }
    for (size_t i = 0; i < h->target_count; i++) {
        destroy_process(&h->targets[i].process);
    }
    destroy_process(&h->proxy);
    destroy_process(&h->platform);
    if (h->trace != NULL) {
        fclose(h->trace);
    }
    snprintf(command, sizeof(command), "rm -rf '%s'", h->folder);
    if (system(command) != 0) {
        fprintf(stderr, "cannot remove %s\n", h->folder);
    }
    mr_op_destroy(h->config);
    event_base_free(h->base);
    free(h->instances);
    free(h->targets);
    free(h->accounts);
    free(h);
}

harness_instance_t *
harness_instance(harness_t *h, const char *name)
{
    for (size_t i = 0; i < h->instance_count; i++) {
        if (strcmp(h->instances[i].process.name, name) == 0) {
            return &h->instances[i];
        }
    }
    ck_abort_msg("unknown instance %s", name);
    return NULL;
}

harness_target_t *
harness_target(harness_t *h, const char *name)
{
    for (size_t i = 0; i < h->target_count; i++) {
        if (strcmp(h->targets[i].process.name, name) == 0) {
            return &h->targets[i];
        }
    }
    ck_abort_msg("unknown target %s", name);
    return NULL;
}

harness_target_t *
harness_primary(harness_t *h, int group)
{
    harness_target_t *primary = NULL;
    json_int_t best = -1;

    for (size_t i = 0; i < h->target_count; i++) {
        harness_target_t *t = &h->targets[i];
        json_t *state = NULL;
        const char *role = NULL;
        json_int_t term = 0;
        if (t->group != group || t->process.pid == 0) {
            continue;
        }
        harness_http(h->base, "GET", t->process.address, "/status", NULL, NULL,
                     &state);
        if (json_unpack(state, "{s:s,s:I}", "role", &role, "term", &term) == 0
            && strcmp(role, "primary") == 0 && term > best) {
            best = term;
            primary = t;
        }
        json_decref(state);
    }
    return primary;
}

void
harness_instance_start(harness_t *h, harness_instance_t *instance)
{
    mr_ms_t end = mr_clock_now(NULL) + STARTUP_TIMEOUT_MS;

    harness_process_start(&instance->process);
    instance->process.restarting = true;
    while (harness_http(h->base, "GET", instance->admin, "/healthz", NULL,
                        NULL, NULL)
           != 200) {
        ck_assert_msg(mr_clock_now(NULL) < end, "%s did not become healthy",
                      instance->process.name);
        harness_run_loop(h->base, 10);
    }
    instance->process.restarting = false;
}

harness_target_t *
harness_wait_primary(harness_t *h, int group, const harness_target_t *other,
                     mr_ms_t max)
{
    mr_ms_t end = mr_clock_now(NULL) + max;

    while (mr_clock_now(NULL) < end) {
        harness_target_t *primary = harness_primary(h, group);
        if (primary != NULL && primary != other) {
            return primary;
        }
        harness_run_loop(h->base, 25);
    }
    ck_abort_msg("group %d has no new primary, see %s", group, h->folder);
    return NULL;
}

void
harness_set_target_faults(harness_t *h, const char *target, const char *json)
{
    ck_assert_int_eq(harness_http(h->base, "POST",
                                  harness_target(h, target)->process.address,
                                  "/faults", NULL, json, NULL),
                     200);
}

void
harness_set_platform_faults(harness_t *h, const char *json)
{
    ck_assert_int_eq(harness_http(h->base, "POST", h->platform.address,
                                  "/faults", NULL, json, NULL),
                     200);
}

json_t *
harness_status(harness_t *h, const harness_instance_t *instance)
{
    json_t *status = NULL;

    if (instance->process.pid == 0
        || harness_http(h->base, "GET", instance->admin, "/status", credential,
                        NULL, &status)
               != 200) {
        json_decref(status);
        return NULL;
    }
    return status;
}

char *
harness_metrics(harness_t *h, const harness_instance_t *instance)
{
    char *text = NULL;

    if (instance->process.pid == 0
        || harness_http_text(h->base, instance->admin, "/metrics", credential,
                             &text)
               != 200) {
        free(text);
        return NULL;
    }
    return text;
}
