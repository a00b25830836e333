#include "config/model.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "common/address.h"
#include "common/mem.h"

enum {
    TARGETS_MAX = 9, /* per group; odd, because one more target would enlarge
                        the majority without tolerating another failure */
    RATE_MAX = 10000000,
    BURST_MAX = 10000000,
    WEIGHT_MAX = 1000,
    SLOTS_MAX = 10000,
    CONNECTIONS_MAX = 100000,
    DEADLINE_MAX_MS = 60000,
    MAX_AGE_MAX_MS = 86400000,
    OFFLINE_LIMIT_MAX_S = 604800,
    PATH_BYTES = 160,
};

#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

/** Parser context. */
typedef struct parser {
    mr_config_t *config;
    mr_json_problem_t *problem;
} parser_t;

static bool
check_name(const parser_t *p, const char *path, const char *name)
{
    size_t len = strlen(name);

    if (len == 0 || len > MR_CONFIG_NAME_MAX) {
        return mr_json_problem_set(p->problem,
                                   "%s must have 1 to %d characters", path,
                                   MR_CONFIG_NAME_MAX);
    }
    const char *allowed = "abcdefghijklmnopqrstuvwxyz"
                          "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    if (strspn(name, allowed) != len) {
        return mr_json_problem_set(
            p->problem,
            "%s may only contain letters, digits, '-', '_' and '.'", path);
    }
    return true;
}

/** A key with its account. */
typedef struct key_entry {
    const mr_config_key_t *key;
    const mr_config_account_t *account;
} key_entry_t;

/* Adds a name to an index; returns false if it exists already. */
static bool
add_unique(const parser_t *p, GHashTable *index, const char *path,
           const char *name, void *item)
{
    if (!g_hash_table_insert(index, (void *)name, item)) {
        return mr_json_problem_set(p->problem, "%s: '%s' is a duplicate", path,
                                   name);
    }
    return true;
}

static bool
has_data_centre(const mr_config_t *config, const char *name)
{
    for (size_t i = 0; i < config->data_centre_count; i++) {
        if (strcmp(config->data_centres[i].name, name) == 0) {
            return true;
        }
    }
    return false;
}

static bool
parse_data_centre(const parser_t *p, json_t *item, size_t i)
{
    mr_config_data_centre_t *dc = &p->config->data_centres[i];
    char path[PATH_BYTES];
    const mr_json_field_t fields[] = {
        {"name", MR_JSON_STRING, true, &dc->name, 0, 0},
        {"region", MR_JSON_STRING, true, &dc->region, 0, 0},
    };

    snprintf(path, sizeof(path), "data_centres[%zu]", i);
    if (!mr_json_read(item, path, fields, COUNT_OF(fields), p->problem)
        || !check_name(p, path, dc->name)
        || !check_name(p, path, dc->region)) {
        return false;
    }
    for (size_t j = 0; j < i; j++) {
        if (strcmp(dc->name, p->config->data_centres[j].name) == 0) {
            return mr_json_problem_set(p->problem, "%s: '%s' is a duplicate",
                                       path, dc->name);
        }
    }
    return true;
}

static bool
parse_target(const parser_t *p, json_t *item, mr_config_group_t *group,
             size_t i, const char *parent)
{
    mr_config_target_t *target = &group->targets[i];
    const char *state = "active";
    char path[PATH_BYTES];
    struct sockaddr_storage addr;
    int addr_len;
    const mr_json_field_t fields[] = {
        {"name", MR_JSON_STRING, true, &target->name, 0, 0},
        {"data_centre", MR_JSON_STRING, true, &target->data_centre, 0, 0},
        {"address", MR_JSON_STRING, true, &target->address, 0, 0},
        {"slots", MR_JSON_INTEGER, true, &target->slots, 1, SLOTS_MAX},
        {"connections", MR_JSON_INTEGER, true, &target->connections, 1,
         CONNECTIONS_MAX},
        {"state", MR_JSON_STRING, false, &state, 0, 0},
    };

    snprintf(path, sizeof(path), "%s.targets[%zu]", parent, i);
    if (!mr_json_read(item, path, fields, COUNT_OF(fields), p->problem)
        || !check_name(p, path, target->name)
        || !add_unique(p, p->config->target_index, path, target->name,
                       target)) {
        return false;
    }
    if (!has_data_centre(p->config, target->data_centre)) {
        return mr_json_problem_set(p->problem,
                                   "%s.data_centre: '%.64s' is unknown", path,
                                   target->data_centre);
    }
    if (!mr_address_parse(target->address, &addr, &addr_len)
        || mr_address_port(&addr) == 0) {
        return mr_json_problem_set(p->problem, "%s.address must be IP:port",
                                   path);
    }
    target->leaving = strcmp(state, "leaving") == 0;
    if (!target->leaving && strcmp(state, "active") != 0) {
        return mr_json_problem_set(
            p->problem, "%s.state must be 'active' or 'leaving'", path);
    }
    target->index = i;
    target->group = group;
    return true;
}

static bool
parse_group(const parser_t *p, json_t *item, mr_config_group_t *group,
            const char *path)
{
    json_t *targets = NULL;
    const mr_json_field_t fields[] = {
        {"name", MR_JSON_STRING, true, &group->name, 0, 0},
        {"targets", MR_JSON_ARRAY, true, &targets, 0, 0},
    };

    /* Groups and targets are looked up by name alone, so their names are
     * unique across all services. */
    if (!mr_json_read(item, path, fields, COUNT_OF(fields), p->problem)
        || !check_name(p, path, group->name)
        || !add_unique(p, p->config->group_index, path, group->name, group)) {
        return false;
    }
    size_t count = json_array_size(targets);
    if (count == 0 || count > TARGETS_MAX) {
        return mr_json_problem_set(p->problem,
                                   "%s.targets must have 1 to %d items", path,
                                   TARGETS_MAX);
    }
    group->targets = mr_calloc(count, sizeof(*group->targets));
    group->target_count = count;
    for (size_t i = 0; i < count; i++) {
        if (!parse_target(p, json_array_get(targets, i), group, i, path)) {
            return false;
        }
    }
    return true;
}

static bool
parse_service(const parser_t *p, json_t *item, size_t index)
{
    mr_config_service_t *service = &p->config->services[index];
    json_t *groups = NULL;
    char path[PATH_BYTES];
    const mr_json_field_t fields[] = {
        {"name", MR_JSON_STRING, true, &service->name, 0, 0},
        {"groups", MR_JSON_ARRAY, true, &groups, 0, 0},
    };

    snprintf(path, sizeof(path), "services[%zu]", index);
    if (!mr_json_read(item, path, fields, COUNT_OF(fields), p->problem)
        || !check_name(p, path, service->name)) {
        return false;
    }
    for (size_t i = 0; i < index; i++) {
        if (strcmp(service->name, p->config->services[i].name) == 0) {
            return mr_json_problem_set(p->problem, "%s: '%s' is a duplicate",
                                       path, service->name);
        }
    }
    size_t count = json_array_size(groups);
    if (count == 0) {
        return mr_json_problem_set(p->problem, "%s.groups is empty", path);
    }
    service->groups = mr_calloc(count, sizeof(*service->groups));
    service->group_count = count;
    for (size_t i = 0; i < count; i++) {
        char group_path[PATH_BYTES];
        snprintf(group_path, sizeof(group_path), "services[%zu].groups[%zu]",
                 index, i);
        if (!parse_group(p, json_array_get(groups, i), &service->groups[i],
                         group_path)) {
            return false;
        }
    }
    return true;
}

static bool
parse_key(const parser_t *p, json_t *item, mr_config_key_t *key,
          const char *path)
{
    const char *hash = NULL;
    size_t len = 0;
    const mr_json_field_t fields[] = {
        {"id", MR_JSON_STRING, true, &key->id, 0, 0},
        {"hash", MR_JSON_STRING, true, &hash, 0, 0},
    };

    if (!mr_json_read(item, path, fields, COUNT_OF(fields), p->problem)
        || !check_name(p, path, key->id)) {
        return false;
    }
    if (strchr(key->id, '.') != NULL) {
        return mr_json_problem_set(p->problem, "%s.id must not contain '.'",
                                   path);
    }
    if (sodium_hex2bin(key->hash, sizeof(key->hash), hash, strlen(hash), NULL,
                       &len, NULL)
            != 0
        || len != sizeof(key->hash)) {
        return mr_json_problem_set(p->problem, "%s.hash must be %d hex digits",
                                   path, MR_CONFIG_KEY_HASH_BYTES * 2);
    }
    return true;
}

static bool
parse_account(const parser_t *p, json_t *item, size_t index)
{
    mr_config_account_t *account = &p->config->accounts[index];
    json_t *keys = NULL;
    char path[PATH_BYTES];
    const mr_json_field_t fields[] = {
        {"name", MR_JSON_STRING, true, &account->name, 0, 0},
        {"rate", MR_JSON_INTEGER, true, &account->rate, 1, RATE_MAX},
        {"burst", MR_JSON_INTEGER, true, &account->burst, 1, BURST_MAX},
        {"weight", MR_JSON_INTEGER, false, &account->weight, 1, WEIGHT_MAX},
        {"keys", MR_JSON_ARRAY, true, &keys, 0, 0},
    };

    snprintf(path, sizeof(path), "accounts[%zu]", index);
    account->weight = 1;
    if (!mr_json_read(item, path, fields, COUNT_OF(fields), p->problem)
        || !check_name(p, path, account->name)
        || !add_unique(p, p->config->account_index, path, account->name,
                       account)) {
        return false;
    }
    size_t count = json_array_size(keys);
    account->keys = mr_calloc(count, sizeof(*account->keys));
    account->key_count = count;
    for (size_t i = 0; i < count; i++) {
        char key_path[PATH_BYTES];
        snprintf(key_path, sizeof(key_path), "accounts[%zu].keys[%zu]", index,
                 i);
        if (!parse_key(p, json_array_get(keys, i), &account->keys[i],
                       key_path)) {
            return false;
        }
        key_entry_t *entry = MR_NEW(key_entry_t);
        entry->key = &account->keys[i];
        entry->account = account;
        if (!add_unique(p, p->config->key_index, key_path, account->keys[i].id,
                        entry)) {
            return false;
        }
    }
    return true;
}

static bool
parse_freshness(const parser_t *p, json_t *item, mr_config_route_t *route,
                const char *parent)
{
    const char *mode = NULL;
    int64_t max_age = 0;
    char path[PATH_BYTES];
    const mr_json_field_t fields[] = {
        {"mode", MR_JSON_STRING, true, &mode, 0, 0},
        {"max_age_ms", MR_JSON_INTEGER, false, &max_age, 0, MAX_AGE_MAX_MS},
    };

    snprintf(path, sizeof(path), "%s.freshness", parent);
    if (!mr_json_read(item, path, fields, COUNT_OF(fields), p->problem)) {
        return false;
    }
    if (!mr_freshness_parse(mode, &route->freshness)) {
        return mr_json_problem_set(
            p->problem, "%s.mode must be 'session', 'max_age' or 'present'",
            path);
    }
    route->max_age_ms = max_age;
    return true;
}

static bool
parse_route_accounts(const parser_t *p, json_t *names, const char *charged,
                     mr_config_route_t *route, const char *path)
{
    size_t count = json_array_size(names);

    if (route->open != (charged != NULL)) {
        return mr_json_problem_set(
            p->problem,
            "%s.charged_account must be set for open routes and no others",
            path);
    }
    if (charged != NULL) {
        route->charged = mr_config_account(p->config, charged);
        if (route->charged == NULL) {
            return mr_json_problem_set(
                p->problem, "%s.charged_account: '%.64s' is unknown", path,
                charged);
        }
    }
    route->accounts = mr_calloc(count, sizeof(const mr_config_account_t *));
    route->account_count = count;
    for (size_t i = 0; i < count; i++) {
        const char *name = json_string_value(json_array_get(names, i));
        if (name != NULL) {
            route->accounts[i] = mr_config_account(p->config, name);
        }
        if (name == NULL || route->accounts[i] == NULL) {
            return mr_json_problem_set(p->problem,
                                       "%s.accounts[%zu]: '%.64s' is unknown",
                                       path, i, name == NULL ? "" : name);
        }
    }
    return true;
}

static const mr_config_service_t *
find_service(const mr_config_t *config, const char *name)
{
    for (size_t i = 0; i < config->service_count; i++) {
        if (strcmp(config->services[i].name, name) == 0) {
            return &config->services[i];
        }
    }
    return NULL;
}

static bool
parse_route(const parser_t *p, json_t *item, size_t index)
{
    mr_config_route_t *route = &p->config->routes[index];
    const char *service = NULL;
    const char *access = NULL;
    const char *charged = NULL;
    json_t *accounts = NULL;
    json_t *freshness = NULL;
    char path[PATH_BYTES];
    const mr_json_field_t fields[] = {
        {"name", MR_JSON_STRING, true, &route->name, 0, 0},
        {"service", MR_JSON_STRING, true, &service, 0, 0},
        {"access", MR_JSON_STRING, true, &access, 0, 0},
        {"accounts", MR_JSON_ARRAY, true, &accounts, 0, 0},
        {"charged_account", MR_JSON_STRING, false, &charged, 0, 0},
        {"freshness", MR_JSON_OBJECT, true, &freshness, 0, 0},
        {"deadline_ms", MR_JSON_INTEGER, true, &route->deadline_ms, 1,
         DEADLINE_MAX_MS},
        {"offline_limit_s", MR_JSON_INTEGER, true, &route->offline_limit_s, 1,
         OFFLINE_LIMIT_MAX_S},
    };

    snprintf(path, sizeof(path), "routes[%zu]", index);
    if (!mr_json_read(item, path, fields, COUNT_OF(fields), p->problem)
        || !check_name(p, path, route->name)
        || !add_unique(p, p->config->route_index, path, route->name, route)) {
        return false;
    }
    route->service = find_service(p->config, service);
    if (route->service == NULL) {
        return mr_json_problem_set(
            p->problem, "%s.service: '%.64s' is unknown", path, service);
    }
    route->open = strcmp(access, "open") == 0;
    if (!route->open && strcmp(access, "keyed") != 0) {
        return mr_json_problem_set(
            p->problem, "%s.access must be 'open' or 'keyed'", path);
    }
    return parse_freshness(p, freshness, route, path)
           && parse_route_accounts(p, accounts, charged, route, path);
}

typedef bool (*parse_item_fn_t)(const parser_t *p, json_t *item, size_t index);

static bool
parse_items(const parser_t *p, json_t *array, parse_item_fn_t parse)
{
    for (size_t i = 0; i < json_array_size(array); i++) {
        if (!parse(p, json_array_get(array, i), i)) {
            return false;
        }
    }
    return true;
}

static bool
parse_document(const parser_t *p)
{
    mr_config_t *c = p->config;
    int64_t format = 0;
    json_t *data_centres = NULL;
    json_t *services = NULL;
    json_t *accounts = NULL;
    json_t *routes = NULL;
    const mr_json_field_t fields[] = {
        {"format", MR_JSON_INTEGER, true, &format, MR_CONFIG_FORMAT,
         MR_CONFIG_FORMAT},
        {"version", MR_JSON_INTEGER, true, &c->version, 1, INT64_MAX},
        {"deployment", MR_JSON_STRING, true, &c->deployment, 0, 0},
        {"data_centres", MR_JSON_ARRAY, true, &data_centres, 0, 0},
        {"services", MR_JSON_ARRAY, true, &services, 0, 0},
        {"accounts", MR_JSON_ARRAY, true, &accounts, 0, 0},
        {"routes", MR_JSON_ARRAY, true, &routes, 0, 0},
    };

    if (!mr_json_read(c->document, "configuration", fields, COUNT_OF(fields),
                      p->problem)
        || !check_name(p, "deployment", c->deployment)) {
        return false;
    }
    c->data_centre_count = json_array_size(data_centres);
    c->data_centres =
        mr_calloc(c->data_centre_count, sizeof(*c->data_centres));
    c->service_count = json_array_size(services);
    c->services = mr_calloc(c->service_count, sizeof(*c->services));
    c->account_count = json_array_size(accounts);
    c->accounts = mr_calloc(c->account_count, sizeof(*c->accounts));
    c->route_count = json_array_size(routes);
    c->routes = mr_calloc(c->route_count, sizeof(*c->routes));
    return parse_items(p, data_centres, parse_data_centre)
           && parse_items(p, services, parse_service)
           && parse_items(p, accounts, parse_account)
           && parse_items(p, routes, parse_route);
}

mr_config_t *
mr_config_parse_json(json_t *document, mr_json_problem_t *problem)
{
    mr_config_t *config = MR_NEW(mr_config_t);
    const parser_t p = {config, problem};

    config->references = 1;
    config->route_index = g_hash_table_new(g_str_hash, g_str_equal);
    config->account_index = g_hash_table_new(g_str_hash, g_str_equal);
    config->group_index = g_hash_table_new(g_str_hash, g_str_equal);
    config->target_index = g_hash_table_new(g_str_hash, g_str_equal);
    config->key_index =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free);
    config->document = json_incref(document);
    if (!parse_document(&p)) {
        mr_config_unref(config);
        return NULL;
    }
    char *text = mr_json_canonical(document);
    if (text == NULL) {
        mr_json_problem_set(problem, "the configuration cannot be serialized");
        mr_config_unref(config);
        return NULL;
    }
    mr_config_hash(text, strlen(text), config->hash);
    free(text);
    return config;
}

mr_config_t *
mr_config_parse(const void *data, size_t len, mr_json_problem_t *problem)
{
    json_t *document = mr_json_parse(data, len, problem);

    if (document == NULL) {
        return NULL;
    }
    mr_config_t *config = mr_config_parse_json(document, problem);
    json_decref(document);
    return config;
}

mr_config_t *
mr_config_ref(mr_config_t *config)
{
    config->references++;
    return config;
}

static void
free_service(mr_config_service_t *service)
{
    for (size_t i = 0; i < service->group_count; i++) {
        free(service->groups[i].targets);
    }
    free(service->groups);
}

void
mr_config_unref(mr_config_t *config)
{
    if (config == NULL || --config->references > 0) {
        return;
    }
    for (size_t i = 0; i < config->service_count; i++) {
        free_service(&config->services[i]);
    }
    for (size_t i = 0; i < config->account_count; i++) {
        free(config->accounts[i].keys);
    }
    for (size_t i = 0; i < config->route_count; i++) {
        free(config->routes[i].accounts);
    }
    g_hash_table_destroy(config->route_index);
    g_hash_table_destroy(config->account_index);
    g_hash_table_destroy(config->group_index);
    g_hash_table_destroy(config->target_index);
    g_hash_table_destroy(config->key_index);
    free(config->data_centres);
    free(config->services);
    free(config->accounts);
    free(config->routes);
    json_decref(config->document);
    free(config);
}

const mr_config_route_t *
mr_config_route(const mr_config_t *config, const char *name)
{
    return g_hash_table_lookup(config->route_index, name);
}

const mr_config_account_t *
mr_config_account(const mr_config_t *config, const char *name)
{
    return g_hash_table_lookup(config->account_index, name);
}

const mr_config_group_t *
mr_config_group(const mr_config_t *config, const char *name)
{
    return g_hash_table_lookup(config->group_index, name);
}

const mr_config_target_t *
mr_config_target(const mr_config_t *config, const char *name)
{
    return g_hash_table_lookup(config->target_index, name);
}

const mr_config_target_t *
mr_config_group_target(const mr_config_group_t *group, const char *name)
{
    for (size_t i = 0; i < group->target_count; i++) {
        if (strcmp(group->targets[i].name, name) == 0) {
            return &group->targets[i];
        }
    }
    return NULL;
}

const mr_config_key_t *
mr_config_find_key(const mr_config_t *config, const char *id,
                   const mr_config_account_t **account)
{
    const key_entry_t *entry = g_hash_table_lookup(config->key_index, id);

    if (entry == NULL) {
        return NULL;
    }
    *account = entry->account;
    return entry->key;
}

void
mr_config_hash(const void *data, size_t len,
               char hex[MR_CONFIG_KEY_HASH_BYTES * 2 + 1])
{
    uint8_t hash[MR_CONFIG_KEY_HASH_BYTES];

    crypto_generichash(hash, sizeof(hash), data, len, NULL, 0);
    sodium_bin2hex(hex, MR_CONFIG_KEY_HASH_BYTES * 2 + 1, hash, sizeof(hash));
}

bool
mr_freshness_parse(const char *text, mr_freshness_t *freshness)
{
    static const char *const names[] = {
        [MR_FRESHNESS_SESSION] = "session",
        [MR_FRESHNESS_MAX_AGE] = "max_age",
        [MR_FRESHNESS_PRESENT] = "present",
    };

    for (size_t i = 0; i < COUNT_OF(names); i++) {
        if (strcmp(text, names[i]) == 0) {
            *freshness = (mr_freshness_t)i;
            return true;
        }
    }
    return false;
}
