#include "group/owner.h"

#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/mem.h"
#include "group/owner_internal.h"

enum {
    TICK_MS = 500,
    /* A target that is no longer owned keeps its pool for this time, because
     * entries with an outdated member list still send requests to it. */
    CLOSE_DELAY_MS = 5000,
    /* The first two instances in rendezvous order accept requests for a
     * target, because entries and owners may briefly disagree on the owner
     * while the member list changes. */
    OWNERS_MAX = 2,
    /* Connections to a target reserved for observers and promotions. Of a
     * connection limit up to twice this number, half is reserved instead. */
    RESERVED_CONNECTIONS = 8,
};

static int64_t
pool_connections(const mr_config_target_t *target)
{
    if (target->connections > 2 * RESERVED_CONNECTIONS) {
        return target->connections - RESERVED_CONNECTIONS;
    }
    return target->connections > 1 ? target->connections / 2 : 1;
}

static void
on_row_written(void *ctx, mr_error_kind_t error, int64_t revision,
               json_t *value)
{
    (void)ctx;
    (void)error;
    (void)revision;
    (void)value;
}

/** A promotion that is being recorded in the table service. */
typedef struct promotion_row {
    mr_platform_t *platform;
    char *row;
    json_t *value;
} promotion_row_t;

static void
on_row_read(void *ctx, mr_error_kind_t error, int64_t revision, json_t *value)
{
    promotion_row_t *promotion = ctx;
    json_int_t term = 0;

    if (error == MR_OK) {
        term = json_integer_value(json_object_get(value, "term"));
    }
    if ((error == MR_OK || error == MR_ERR_NOT_FOUND)
        && term < json_integer_value(
               json_object_get(promotion->value, "term"))) {
        mr_platform_row_put(promotion->platform, promotion->row,
                            error == MR_OK ? revision : 0, promotion->value,
                            on_row_written, NULL);
    }
    free(promotion->row);
    json_decref(promotion->value);
    free(promotion);
}

/* Records each promotion in the table service for operators. A lost write is
 * harmless: the targets of the group, not the table, are authoritative for
 * terms. */
static void
on_promoted(void *ctx, const char *group, int64_t term, const char *target)
{
    mr_owner_t *owner = ctx;
    promotion_row_t *promotion = MR_NEW(promotion_row_t);

    promotion->platform = owner->options.platform;
    promotion->row = mr_asprintf("primary/%s", group);
    promotion->value =
        json_pack("{s:I, s:s, s:s, s:I}", "term", (json_int_t)term, "target",
                  target, "promoted_by", owner->options.name, "time_ms",
                  (json_int_t)mr_clock_wall());
    mr_platform_row_get(owner->options.platform, promotion->row, on_row_read,
                        promotion);
}

/*
 * Whether a failover would interrupt writes of this owner. True also if the
 * owner does not know yet that the primary is leaving, as it still sends new
 * writes.
 */
static bool
is_writing(void *ctx, const char *group_name)
{
    mr_owner_t *owner = ctx;
    mr_owned_group_t *group = g_hash_table_lookup(owner->groups, group_name);

    if (group == NULL) {
        return false;
    }
    const mr_view_t *view = mr_observer_view(group->observer);
    size_t primary = mr_view_primary(view, mr_clock_now(NULL));
    const mr_owned_target_t *target =
        primary == MR_VIEW_NONE
            ? NULL
            : g_hash_table_lookup(
                owner->targets,
                mr_observer_target_name(group->observer, primary));

    return target != NULL
           && (!mr_view_leaving(view, primary)
               || mr_owner_request_writing(target)
               || mr_transaction_writing(target));
}

static mr_owned_group_t *
open_group(mr_owner_t *owner, const mr_config_group_t *config)
{
    mr_owned_group_t *group = g_hash_table_lookup(owner->groups, config->name);

    if (group == NULL) {
        mr_observer_options_t options = {
            .base = owner->options.base,
            .counters = owner->options.counters,
            .peer = owner->options.peer,
            .members = owner->options.members,
            .name = owner->options.name,
            .on_promoted = on_promoted,
            .is_writing = is_writing,
            .ctx = owner,
        };
        group = MR_NEW(mr_owned_group_t);
        group->name = mr_strdup(config->name);
        group->observer = mr_observer_create(&options, config);
        g_hash_table_insert(owner->groups, group->name, group);
    }
    return group;
}

static void
close_group(mr_owner_t *owner, mr_owned_group_t *group)
{
    g_hash_table_remove(owner->groups, group->name);
    mr_observer_destroy(group->observer);
    free(group->name);
    free(group);
}

/* An open transaction holds a connection between its statements too; without a
 * limit, transactions could use up all connections. */
static size_t
transactions_max(const mr_config_target_t *target)
{
    int64_t left = pool_connections(target) - target->slots;

    return left > 1 ? (size_t)left : 1;
}

static mr_owned_target_t *
open_target(mr_owner_t *owner, const mr_config_target_t *config)
{
    mr_owned_target_t *target =
        g_hash_table_lookup(owner->targets, config->name);

    if (target != NULL) {
        return target;
    }
    mr_pool_options_t options = {
        .base = owner->options.base,
        .counters = owner->options.counters,
        .target = config->name,
        .address = config->address,
        .slots = config->slots,
        .connections = pool_connections(config),
    };
    target = MR_NEW(mr_owned_target_t);
    target->owner = owner;
    target->name = mr_strdup(config->name);
    target->address = mr_strdup(config->address);
    target->index = config->index;
    target->used_at = mr_clock_now(NULL);
    target->transactions_max = transactions_max(config);
    target->group = open_group(owner, config->group);
    target->group->target_count++;
    target->pool = mr_pool_create(&options);
    g_hash_table_insert(owner->targets, target->name, target);
    mr_log(MR_LOG_INFO, MR_EVENT_TARGET_OWNED, "target=%s", target->name);
    return target;
}

static void
close_target(mr_owned_target_t *target)
{
    mr_owner_t *owner = target->owner;

    mr_log(MR_LOG_INFO, MR_EVENT_TARGET_RELEASED, "target=%s", target->name);
    g_hash_table_remove(owner->targets, target->name);
    mr_pool_destroy(target->pool);
    if (--target->group->target_count == 0) {
        close_group(owner, target->group);
    }
    free(target->name);
    free(target->address);
    free(target);
}

static bool
is_owner(const mr_owner_t *owner, const mr_config_target_t *config)
{
    const mr_member_t *member = mr_members_owner(
        owner->options.members, config->name, config->data_centre);

    return member != NULL && strcmp(member->name, owner->options.name) == 0;
}

/* Whether an entry may regard this instance as the owner. */
static bool
may_be_owner(const mr_owner_t *owner, const mr_config_target_t *config)
{
    const mr_member_t *first[OWNERS_MAX];
    size_t count = mr_members_usable(owner->options.members, config->name,
                                     config->data_centre, first, OWNERS_MAX);

    for (size_t i = 0; i < count; i++) {
        if (strcmp(first[i]->name, owner->options.name) == 0) {
            return true;
        }
    }
    return count == 0 || is_owner(owner, config);
}

mr_owned_target_t *
mr_owner_find(mr_owner_t *owner, const char *group, const char *target)
{
    mr_config_t *config = mr_config_store_current(owner->options.config);
    const mr_config_target_t *found =
        config == NULL ? NULL : mr_config_target(config, target);

    if (found == NULL || strcmp(found->group->name, group) != 0) {
        return NULL;
    }
    mr_owned_target_t *open = g_hash_table_lookup(owner->targets, found->name);
    if (open == NULL && may_be_owner(owner, found)) {
        open = open_target(owner, found);
    }
    return open;
}

int64_t
mr_owner_weight(const mr_owner_t *owner, const char *account)
{
    const mr_config_t *config = mr_config_store_current(owner->options.config);
    const mr_config_account_t *found =
        config == NULL ? NULL : mr_config_account(config, account);

    return found == NULL ? 1 : found->weight;
}

/* Applies @config to an open target. Closes it when it is unused and was
 * removed or moved, or has not been owned for CLOSE_DELAY_MS. */
static void
update_target(mr_owned_target_t *target, const mr_config_t *config)
{
    const mr_config_target_t *found = mr_config_target(config, target->name);
    bool same = found != NULL && strcmp(found->address, target->address) == 0
                && strcmp(found->group->name, target->group->name) == 0;

    if (same) {
        target->index = found->index;
        target->transactions_max = transactions_max(found);
        mr_pool_resize(target->pool, found->slots, pool_connections(found));
    }
    bool owned = same && is_owner(target->owner, found);
    if (owned) {
        target->used_at = mr_clock_now(NULL);
    }
    else if (target->active_count == 0
             && (!same
                 || mr_clock_now(NULL) - target->used_at > CLOSE_DELAY_MS)) {
        close_target(target);
    }
}

/* Whether @data_centre has a usable instance, which then owns its targets. */
static bool
has_local_owner(const mr_owner_t *owner, const char *data_centre)
{
    const mr_member_t *first;

    return mr_members_usable(owner->options.members, "", data_centre, &first,
                             1)
           > 0;
}

static void
open_owned_target(mr_owner_t *owner, const mr_config_target_t *config,
                  const char *own_data_centre)
{
    /* Skip the ranking where this instance cannot rank first. */
    if (strcmp(config->data_centre, own_data_centre) != 0
        && has_local_owner(owner, config->data_centre)) {
        return;
    }
    if (is_owner(owner, config)) {
        open_target(owner, config);
    }
}

static void
open_owned_targets(mr_owner_t *owner, const mr_config_t *config)
{
    const mr_member_t *self =
        mr_members_find(owner->options.members, owner->options.name);
    const char *own = self == NULL ? "" : self->data_centre;

    for (size_t s = 0; s < config->service_count; s++) {
        const mr_config_service_t *service = &config->services[s];
        for (size_t g = 0; g < service->group_count; g++) {
            const mr_config_group_t *group = &service->groups[g];
            for (size_t t = 0; t < group->target_count; t++) {
                open_owned_target(owner, &group->targets[t], own);
            }
        }
    }
}

static void
reconcile(mr_owner_t *owner)
{
    mr_config_t *config = mr_config_store_current(owner->options.config);
    uint64_t generation = mr_members_generation(owner->options.members);

    if (config == NULL) {
        return;
    }
    GList *open = g_hash_table_get_values(owner->targets);
    for (GList *it = open; it != NULL; it = it->next) {
        update_target(it->data, config);
    }
    g_list_free(open);
    if (generation != owner->member_generation
        || config->version != owner->config_version) {
        owner->member_generation = generation;
        owner->config_version = config->version;
        open_owned_targets(owner, config);
    }
}

static void
on_config(void *ctx, mr_config_t *config)
{
    mr_owner_t *owner = ctx;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, owner->groups);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        mr_owned_group_t *group = value;
        const mr_config_group_t *found = mr_config_group(config, group->name);
        if (found != NULL) {
            mr_observer_update(group->observer, found);
        }
    }
    reconcile(owner);
}

static void
on_members(void *ctx)
{
    reconcile(ctx);
}

static void
on_tick(evutil_socket_t fd, short what, void *ctx)
{
    mr_owner_t *owner = ctx;
    struct timeval tv = mr_clock_timeval(TICK_MS);

    (void)fd;
    (void)what;
    reconcile(owner);
    evtimer_add(owner->tick_timer, &tv);
}

static void
on_probe(void *ctx, mr_peer_request_t *request, const mr_msg_t *msg,
         const char *from)
{
    mr_owner_t *owner = ctx;
    mr_msg_t reply = {.type = MR_MSG_PROBE_REPLY};
    mr_owned_group_t *group =
        g_hash_table_lookup(owner->groups, msg->u.probe.group);

    (void)from;
    reply.u.probe_reply.primary = "";
    if (group != NULL) {
        const mr_view_t *view = mr_observer_view(group->observer);
        mr_ms_t now = mr_clock_now(NULL);
        size_t primary = mr_view_primary(view, now);
        if (primary != MR_VIEW_NONE) {
            reply.u.probe_reply.primary =
                mr_observer_target_name(group->observer, primary);
        }
        reply.u.probe_reply.term = mr_view_highest_term(view);
        reply.u.probe_reply.healthy = mr_view_healthy(view, now);
        reply.u.probe_reply.has_pending_writes =
            is_writing(owner, group->name);
    }
    if (request != NULL) {
        mr_peer_reply(request, &reply);
    }
}

void
mr_owner_execute(mr_owner_t *owner, const mr_msg_execute_t *msg,
                 mr_execute_fn_t fn, void *ctx)
{
    mr_msg_execute_reply_t reply;

    if (msg->transaction[0] != '\0') {
        mr_transaction_execute(owner, msg, fn, ctx);
        return;
    }
    if (msg->operation != MR_OPERATION_STATEMENT
        && msg->operation != MR_OPERATION_BEGIN) {
        mr_execute_reply_init(&reply, MR_ERR_INVALID_REQUEST,
                              "unknown operation");
        fn(ctx, &reply);
        return;
    }
    mr_owned_target_t *target = mr_owner_find(owner, msg->group, msg->target);
    if (target == NULL) {
        mr_execute_reply_init(&reply, MR_ERR_WRONG_OWNER,
                              "this instance does not own the target");
        fn(ctx, &reply);
        return;
    }
    mr_owner_request_start(target, msg, fn, ctx);
}

size_t
mr_owner_running(const mr_owner_t *owner)
{
    return owner->running + g_hash_table_size(owner->transactions);
}

json_t *
mr_owner_status(const mr_owner_t *owner)
{
    json_t *groups = json_array();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, owner->groups);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const mr_owned_group_t *group = value;
        json_array_append_new(groups, mr_observer_status(group->observer));
    }
    return groups;
}

static void
free_transaction(gpointer data)
{
    mr_transaction_free(data);
}

mr_owner_t *
mr_owner_create(const mr_owner_options_t *options)
{
    mr_owner_t *owner = MR_NEW(mr_owner_t);
    struct timeval tv = mr_clock_timeval(TICK_MS);

    owner->options = *options;
    owner->groups = g_hash_table_new(g_str_hash, g_str_equal);
    owner->targets = g_hash_table_new(g_str_hash, g_str_equal);
    owner->transactions =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_transaction);
    mr_list_init(&owner->requests);
    mr_peer_handle(options->peer, MR_MSG_PROBE, on_probe, owner);
    mr_config_store_subscribe(options->config, on_config, owner);
    mr_members_subscribe(options->members, on_members, owner);
    owner->tick_timer = evtimer_new(options->base, on_tick, owner);
    evtimer_add(owner->tick_timer, &tv);
    return owner;
}

void
mr_owner_destroy(mr_owner_t *owner)
{
    if (owner == NULL) {
        return;
    }
    mr_peer_handle(owner->options.peer, MR_MSG_PROBE, NULL, NULL);
    mr_config_store_unsubscribe(owner->options.config, owner);
    mr_members_unsubscribe(owner->options.members, owner);
    mr_owner_request_abort_all(owner);
    g_hash_table_destroy(owner->transactions);
    GList *open = g_hash_table_get_values(owner->targets);
    for (GList *it = open; it != NULL; it = it->next) {
        close_target(it->data);
    }
    g_list_free(open);
    g_hash_table_destroy(owner->targets);
    g_hash_table_destroy(owner->groups);
    event_free(owner->tick_timer);
    free(owner);
}
