#include "operator/builder.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "common/address.h"
#include "common/mem.h"
#include "config/key.h"
#include "config/model.h"

static const mr_op_kind_info_t kind_infos[MR_OP_KIND_COUNT] = {
    [MR_OP_DATA_CENTRE] = {.list = "data_centres", .name = "name"},
    [MR_OP_SERVICE] = {.list = "services", .name = "name"},
    [MR_OP_GROUP] = {"groups", "name", true, MR_OP_SERVICE, "service"},
    [MR_OP_TARGET] = {"targets", "name", true, MR_OP_GROUP, "group"},
    [MR_OP_ACCOUNT] = {.list = "accounts", .name = "name"},
    [MR_OP_KEY] = {"keys", "id", true, MR_OP_ACCOUNT, "account"},
    [MR_OP_ROUTE] = {.list = "routes", .name = "name"},
    [MR_OP_PERMISSION] = {"accounts", NULL, true, MR_OP_ROUTE, "route"},
};

const mr_op_kind_info_t *
mr_op_kind_info(mr_op_kind_t kind)
{
    return &kind_infos[kind];
}

const char *
mr_op_freshness_name(mr_op_freshness_t freshness)
{
    switch (freshness) {
    case MR_OP_FRESHNESS_SESSION:
        return "session";
    case MR_OP_FRESHNESS_MAX_AGE:
        return "max_age";
    case MR_OP_FRESHNESS_PRESENT:
        return "present";
    }
    return NULL;
}

mr_op_t *
mr_op_create(const char *deployment, int64_t version)
{
    mr_op_t *op = MR_NEW(mr_op_t);

    mr_list_init(&op->elements);
    op->deployment = mr_strdup(deployment != NULL ? deployment : "");
    op->version = version;
    return op;
}

void
mr_op_element_destroy(mr_op_element_t *element)
{
    mr_list_remove(&element->link);
    json_decref(element->fields);
    free(element->parent);
    free(element->name);
    free(element);
}

void
mr_op_destroy(mr_op_t *op)
{
    if (op == NULL) {
        return;
    }
    MR_LIST_FOREACH(it, &op->elements)
    {
        mr_op_element_destroy(MR_LIST_ENTRY(it, mr_op_element_t, link));
    }
    for (size_t i = 0; i < op->problem_count; i++) {
        free(op->problems[i].text);
    }
    free(op->problems);
    free(op->deployment);
    free(op);
}

void
mr_op_set_version(mr_op_t *op, int64_t version)
{
    op->version = version;
}

int64_t
mr_op_version(const mr_op_t *op)
{
    return op->version;
}

void
mr_op_add_problem(mr_op_t *op, const char *fmt, ...)
{
    char text[MR_OP_PROBLEM_BYTES];
    va_list args;

    va_start(args, fmt);
    vsnprintf(text, sizeof(text), fmt, args);
    va_end(args);
    for (char *p = text; *p != '\0'; p++) {
        if ((unsigned char)*p < 0x20 || *p == 0x7f) {
            *p = '?';
        }
    }
    op->problems = mr_realloc(op->problems,
                              (op->problem_count + 1) * sizeof(*op->problems));
    op->problems[op->problem_count++] =
        (mr_op_problem_t){mr_strdup(text), op->printing};
}

size_t
mr_op_problem_count(const mr_op_t *op)
{
    return op->problem_count;
}

const char *
mr_op_problem(const mr_op_t *op, size_t index)
{
    return index < op->problem_count ? op->problems[index].text : NULL;
}

mr_op_element_t *
mr_op_find_element(const mr_op_t *op, mr_op_kind_t kind, const char *name)
{
    MR_LIST_FOREACH(it, &op->elements)
    {
        mr_op_element_t *element = MR_LIST_ENTRY(it, mr_op_element_t, link);
        if (element->kind == kind && strcmp(element->name, name) == 0) {
            return element;
        }
    }
    return NULL;
}

static bool
is_valid_name(const char *name)
{
    size_t len = strnlen(name, MR_CONFIG_NAME_MAX + 1);

    return len >= 1 && len <= MR_CONFIG_NAME_MAX
           && strspn(name, "abcdefghijklmnopqrstuvwxyz"
                           "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-")
                  == len;
}

/* Checks that @value is a valid name; returns it, or "" after collecting an
 * error. */
static const char *
check_name(mr_op_t *op, mr_op_kind_t kind, const char *element,
           const char *field, const char *value)
{
    const char *list = kind_infos[kind].list;

    if (value == NULL || value[0] == '\0') {
        mr_op_add_problem(op, "%s[%.64s].%s is missing", list, element, field);
        return "";
    }
    if (!is_valid_name(value)) {
        mr_op_add_problem(
            op,
            "%s[%.64s].%s \"%.64s\" is not a name (1 to 64 of a-z, "
            "A-Z, 0-9, '.', '_', '-')",
            list, element, field, value);
        return "";
    }
    return value;
}

static json_t *
check_minimum(mr_op_t *op, mr_op_kind_t kind, const char *element,
              const char *field, int64_t value, int64_t min)
{
    if (value < min) {
        mr_op_add_problem(
            op, "%s[%.64s].%s is %" PRId64 "; the minimum is %" PRId64,
            kind_infos[kind].list, element, field, value, min);
    }
    return json_integer(value);
}

void
mr_op_add_element(mr_op_t *op, mr_op_kind_t kind, const char *parent,
                  const char *name, json_t *fields)
{
    mr_op_element_t *element = MR_NEW(mr_op_element_t);

    element->kind = kind;
    element->parent = mr_strdup(parent);
    element->name = mr_strdup(name);
    element->fields = fields;
    mr_list_append(&op->elements, &element->link);
    op->element_count++;
}

/* Returns the name of an element for messages about its fields. */
static const char *
element_label(const char *name)
{
    return name != NULL ? name : "";
}

void
mr_op_data_centre(mr_op_t *op, const char *name, const char *region)
{
    const char *label = element_label(name);
    json_t *fields = json_object();

    name = check_name(op, MR_OP_DATA_CENTRE, label, "name", name);
    region = check_name(op, MR_OP_DATA_CENTRE, label, "region", region);
    json_object_set_new(fields, "region", json_string(region));
    mr_op_add_element(op, MR_OP_DATA_CENTRE, NULL, name, fields);
}

void
mr_op_service(mr_op_t *op, const char *name)
{
    name = check_name(op, MR_OP_SERVICE, element_label(name), "name", name);
    mr_op_add_element(op, MR_OP_SERVICE, NULL, name, json_object());
}

void
mr_op_group(mr_op_t *op, const char *service, const char *name)
{
    const char *label = element_label(name);

    name = check_name(op, MR_OP_GROUP, label, "name", name);
    service = check_name(op, MR_OP_GROUP, label, "service", service);
    mr_op_add_element(op, MR_OP_GROUP, service, name, json_object());
}

static const char *
check_address(mr_op_t *op, const char *target, const char *address)
{
    struct sockaddr_storage addr;
    int len;

    if (address == NULL || !mr_address_parse(address, &addr, &len)
        || mr_address_port(&addr) == 0) {
        mr_op_add_problem(op,
                          "targets[%.64s].address \"%.64s\" is not IP:port",
                          target, address != NULL ? address : "");
        return "";
    }
    return address;
}

void
mr_op_target(mr_op_t *op, const mr_op_target_t *target)
{
    const mr_op_kind_t kind = MR_OP_TARGET;
    const char *label = element_label(target->name);
    json_t *fields = json_object();

    const char *name = check_name(op, kind, label, "name", target->name);
    const char *group = check_name(op, kind, label, "group", target->group);
    const char *data_centre =
        check_name(op, kind, label, "data_centre", target->data_centre);
    const char *address = check_address(op, label, target->address);
    json_object_set_new(fields, "data_centre", json_string(data_centre));
    json_object_set_new(fields, "address", json_string(address));
    json_object_set_new(
        fields, "slots",
        check_minimum(op, kind, label, "slots", target->slots, 1));
    json_object_set_new(
        fields, "connections",
        check_minimum(op, kind, label, "connections", target->connections, 1));
    json_object_set_new(fields, "state",
                        json_string(target->leaving ? "leaving" : "active"));
    mr_op_add_element(op, kind, group, name, fields);
}

void
mr_op_account(mr_op_t *op, const mr_op_account_t *account)
{
    const mr_op_kind_t kind = MR_OP_ACCOUNT;
    const char *label = element_label(account->name);
    json_t *fields = json_object();

    const char *name = check_name(op, kind, label, "name", account->name);
    json_object_set_new(
        fields, "rate",
        check_minimum(op, kind, label, "rate", account->rate, 1));
    json_object_set_new(
        fields, "burst",
        check_minimum(op, kind, label, "burst", account->burst, 1));
    json_object_set_new(
        fields, "weight",
        check_minimum(op, kind, label, "weight", account->weight, 1));
    mr_op_add_element(op, kind, NULL, name, fields);
}

void
mr_op_key(mr_op_t *op, const char *account, const char *id, const char *hash)
{
    const size_t hex_len = MR_CONFIG_KEY_HASH_BYTES * 2;
    const char *label = element_label(id);
    json_t *fields = json_object();

    if (id == NULL || !mr_key_id_valid(id)) {
        mr_op_add_problem(
            op, "keys[%.64s].id is not 1 to 64 of a-z, A-Z, 0-9, '_', '-'",
            label);
        id = "";
    }
    /* The message omits the value, which could be a key passed by mistake. */
    if (hash == NULL || strlen(hash) != hex_len
        || strspn(hash, "0123456789abcdef") != hex_len) {
        mr_op_add_problem(
            op, "keys[%.64s].hash is not 64 lower-case hex digits", label);
        hash = "";
    }
    account = check_name(op, MR_OP_KEY, label, "account", account);
    json_object_set_new(fields, "hash", json_string(hash));
    mr_op_add_element(op, MR_OP_KEY, account, id, fields);
}

static json_t *
build_freshness(mr_op_t *op, const mr_op_route_t *route, const char *label)
{
    json_t *freshness = json_object();
    const char *mode = mr_op_freshness_name(route->freshness);
    bool aged = route->freshness == MR_OP_FRESHNESS_MAX_AGE;

    if (mode == NULL) {
        mr_op_add_problem(op, "routes[%.64s].freshness.mode %d is unknown",
                          label, (int)route->freshness);
        mode = "";
    }
    if (!aged && route->max_age_ms != 0) {
        mr_op_add_problem(op,
                          "routes[%.64s].freshness.max_age_ms is %" PRId64
                          "; it is valid in mode max_age only",
                          label, route->max_age_ms);
    }
    json_object_set_new(freshness, "mode", json_string(mode));
    json_object_set_new(freshness, "max_age_ms",
                        check_minimum(op, MR_OP_ROUTE, label,
                                      "freshness.max_age_ms",
                                      route->max_age_ms, aged ? 1 : 0));
    return freshness;
}

void
mr_op_route(mr_op_t *op, const mr_op_route_t *route)
{
    const mr_op_kind_t kind = MR_OP_ROUTE;
    const char *label = element_label(route->name);
    json_t *fields = json_object();

    const char *name = check_name(op, kind, label, "name", route->name);
    const char *service =
        check_name(op, kind, label, "service", route->service);
    json_object_set_new(fields, "service", json_string(service));
    json_object_set_new(fields, "access",
                        json_string(route->open ? "open" : "keyed"));
    if (route->open) {
        const char *charged = check_name(op, kind, label, "charged_account",
                                         route->charged_account);
        json_object_set_new(fields, "charged_account", json_string(charged));
    }
    else if (route->charged_account != NULL) {
        mr_op_add_problem(
            op, "routes[%.64s].charged_account is valid for open routes only",
            label);
    }
    json_object_set_new(fields, "freshness",
                        build_freshness(op, route, label));
    json_object_set_new(
        fields, "deadline_ms",
        check_minimum(op, kind, label, "deadline_ms", route->deadline_ms, 1));
    json_object_set_new(fields, "offline_limit_s",
                        check_minimum(op, kind, label, "offline_limit_s",
                                      route->offline_limit_s, 1));
    mr_op_add_element(op, kind, NULL, name, fields);
}

void
mr_op_allow(mr_op_t *op, const char *route, const char *account)
{
    const char *label = element_label(route);

    account = check_name(op, MR_OP_ROUTE, label, "accounts", account);
    route = check_name(op, MR_OP_ROUTE, label, "name", route);
    mr_op_add_element(op, MR_OP_PERMISSION, route, account, NULL);
}
