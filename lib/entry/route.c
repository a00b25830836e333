#include "entry/route.h"

#include <glib.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/mem.h"
#include "group/view.h"

enum {
    /* How long the owner of a primary that was out of reach is asked last:
     * longer than a failover takes. */
    DOUBT_MS = 2000,
    /* Pause before a refused request is sent again: long enough not to flood
     * an owner without a primary, short against a failover. */
    RETRY_PAUSE_MS = 10,
    /* Least time that an attempt at a read gets before another owner is
     * tried. */
    READ_ATTEMPT_MS = 250,
    /* The first two owners in rendezvous order serve a target. */
    OWNERS_MAX = 2,
    /* Of a group whose primary was never replaced. */
    FIRST_TERM = 1,
    /* The reply of a remote owner travels back within this time. */
    REPLY_MARGIN_MS = 3,
    /* An owner that has not answered after this time is asked whether it is
     * there, and is given up when that gets no reply in time either. A link
     * between data centres that drops everything shows no other sign, and
     * waiting for the deadline would cost 2 s of the failover gap. Above the
     * usual time of a write with replicas that lag 200 ms. */
    CHECK_AFTER_MS = 300,
    CHECK_TIMEOUT_MS = 300,
};

/** The primary of a group as the last answer named it. */
typedef struct primary_hint {
    char target[MR_CONFIG_NAME_MAX + 1];
    int64_t term;
    mr_ms_t doubted_until; /* its owner was lost */
} primary_hint_t;

struct mr_route {
    mr_route_options_t options;
    GHashTable *hints;  /* group -> primary_hint_t */
    GHashTable *owners; /* target -> owners_t */
    mr_list_t attempts;
    mr_counter_t *retries;
};

/**
 * The first owners of a target. Ranking the members of a data centre takes a
 * hash of each; at 325 members that is too much for every statement.
 */
typedef struct owners {
    uint64_t generation; /* of the members they were chosen from */
    size_t count;
    char names[OWNERS_MAX][MR_CONFIG_NAME_MAX + 1];
} owners_t;

/** A request on its way. */
typedef struct attempt {
    mr_list_t link;
    mr_route_t *route;
    mr_config_t *config;
    const mr_config_group_t *group;
    mr_msg_execute_t *msg;
    char *covering; /* target that covers the session, or "" */
    mr_execute_fn_t fn;
    void *ctx;
    mr_ms_t deadline;
    size_t order[MR_VIEW_TARGETS_MAX]; /* targets in order of preference */
    size_t order_count;
    size_t next; /* place in @order */
    size_t owner_rank;
    char member[MR_CONFIG_NAME_MAX + 1]; /* that was asked last */
    bool maybe_run;                      /* an earlier attempt may have run */
    mr_msg_execute_reply_t *last;
    struct event *timer;
    mr_peer_call_t *call;
    bool local;            /* this instance's owner service has it */
    mr_peer_call_t *check; /* whether the owner is there */
} attempt_t;

static void send_attempt(attempt_t *a);
static void check_owner(attempt_t *a);

static bool
wants_primary(const attempt_t *a)
{
    return a->msg->access == MR_ACCESS_WRITE
           || a->msg->freshness == MR_FRESHNESS_PRESENT
           || a->msg->token_uncertain;
}

/*
 * Whether a request with unknown outcome may be sent again. A write is only
 * repeated under a higher term, where its first attempt can no longer run:
 * under the same term a delayed first attempt could run after later writes and
 * undo them, idempotent or not.
 */
static bool
may_repeat(const attempt_t *a, const mr_msg_execute_reply_t *reply)
{
    if (a->msg->operation != MR_OPERATION_STATEMENT) {
        return false;
    }
    return a->msg->access == MR_ACCESS_READ
           || (a->msg->idempotent && reply->term > 0);
}

static void
free_attempt(attempt_t *a)
{
    if (a->call != NULL) {
        mr_peer_cancel(a->call);
    }
    if (a->check != NULL) {
        mr_peer_cancel(a->check);
    }
    event_free(a->timer);
    mr_list_remove(&a->link);
    mr_config_unref(a->config);
    mr_execute_free(a->msg);
    mr_execute_reply_free(a->last);
    free(a->covering);
    free(a);
}

/* A lost owner does not say under which term it sent a write, but it was told
 * the highest that it may use. */
static void
bound_unknown_outcome(const attempt_t *a, mr_msg_execute_reply_t *reply)
{
    if (a->msg->access == MR_ACCESS_WRITE && reply->term == 0
        && mr_error_outcome((mr_error_kind_t)reply->error)
               == MR_OUTCOME_UNKNOWN) {
        reply->term = a->msg->max_term;
    }
}

static void
finish(attempt_t *a, const mr_msg_execute_reply_t *reply)
{
    if (a->route == NULL) {
        free_attempt(a);
        return;
    }
    mr_execute_fn_t fn = a->fn;
    void *ctx = a->ctx;
    mr_msg_execute_reply_t *copy = mr_execute_reply_copy(reply);

    /* An earlier attempt that may have run decides the outcome of a write. */
    if (a->maybe_run && a->msg->access == MR_ACCESS_WRITE
        && mr_error_outcome((mr_error_kind_t)copy->error)
               == MR_OUTCOME_NOT_RUN) {
        copy->error = MR_ERR_OUTCOME_UNKNOWN;
        copy->term = a->msg->min_term - 1;
        copy->position = 0;
    }
    bound_unknown_outcome(a, copy);
    free_attempt(a);
    fn(ctx, copy);
    mr_execute_reply_free(copy);
}

static void
finish_error(attempt_t *a, mr_error_kind_t error, const char *message)
{
    mr_msg_execute_reply_t reply;

    mr_execute_reply_init(&reply, error, message);
    finish(a, &reply);
}

static mr_ms_t
time_left(const attempt_t *a)
{
    return a->deadline - mr_clock_now(NULL);
}

/* Hints. */

static void
learn_primary(attempt_t *a, const mr_msg_execute_reply_t *reply)
{
    GHashTable *hints = a->route->hints;
    primary_hint_t *hint = g_hash_table_lookup(hints, a->group->name);

    if (reply->hint[0] == '\0'
        || mr_config_group_target(a->group, reply->hint) == NULL) {
        return;
    }
    if (hint == NULL) {
        hint = MR_NEW(primary_hint_t);
        g_hash_table_insert(hints, mr_strdup(a->group->name), hint);
    }
    if (reply->hint_term > hint->term) {
        hint->doubted_until = 0;
    }
    if (reply->hint_term >= hint->term) {
        hint->term = reply->hint_term;
        snprintf(hint->target, sizeof(hint->target), "%s", reply->hint);
    }
}

static const mr_config_target_t *
hinted_primary(const attempt_t *a)
{
    const primary_hint_t *hint =
        g_hash_table_lookup(a->route->hints, a->group->name);

    if (hint == NULL) {
        return NULL;
    }
    return mr_config_group_target(a->group, hint->target);
}

/* The owner of the target that was tried last is out of reach. When it is the
 * primary's, the owners of the group's other targets are asked first for a
 * while, since they know a new primary. Otherwise each instance of a data
 * centre that is cut off would be tried in turn. */
static void
doubt_primary(const attempt_t *a)
{
    primary_hint_t *hint =
        g_hash_table_lookup(a->route->hints, a->group->name);
    const char *tried = a->group->targets[a->order[a->next]].name;

    if (hint != NULL && strcmp(hint->target, tried) == 0) {
        hint->doubted_until = mr_clock_now(NULL) + DOUBT_MS;
    }
}

/* The highest term under which the owner may run the write: the newest that
 * this instance knows of. Hints only go up, so the bound of the last attempt
 * holds for those before it. */
static int64_t
highest_term(const attempt_t *a)
{
    const primary_hint_t *hint =
        g_hash_table_lookup(a->route->hints, a->group->name);
    int64_t known = hint == NULL ? FIRST_TERM : hint->term;

    return known > a->msg->min_term ? known : a->msg->min_term;
}

static bool
primary_doubted(const attempt_t *a)
{
    const primary_hint_t *hint =
        g_hash_table_lookup(a->route->hints, a->group->name);

    return hint != NULL && mr_clock_now(NULL) < hint->doubted_until;
}

/* Order of targets. */

static void
add_target(attempt_t *a, size_t index)
{
    for (size_t i = 0; i < a->order_count; i++) {
        if (a->order[i] == index) {
            return;
        }
    }
    a->order[a->order_count++] = index;
}

static bool
is_leaving(const attempt_t *a, const mr_config_target_t *target)
{
    return target->leaving
           || mr_members_target_leaving(a->route->options.members,
                                        target->name);
}

/* Adds the replicas inside or outside the own data centre, starting at a
 * random one, so that load spreads over them. */
static void
add_replicas(attempt_t *a, const mr_config_target_t *primary, bool inside)
{
    size_t count = a->group->target_count;
    size_t start = randombytes_uniform((uint32_t)count);

    for (size_t i = 0; i < count; i++) {
        const mr_config_target_t *target =
            &a->group->targets[(start + i) % count];
        bool local =
            strcmp(target->data_centre, a->route->options.data_centre) == 0;
        if (local == inside && target != primary && !is_leaving(a, target)) {
            add_target(a, target->index);
        }
    }
}

static void
order_targets(attempt_t *a)
{
    const mr_config_target_t *primary = hinted_primary(a);

    a->order_count = 0;
    a->next = 0;
    if (wants_primary(a)) {
        if (primary != NULL && primary_doubted(a)) {
            add_replicas(a, primary, true);
            add_replicas(a, primary, false);
        }
        if (primary != NULL) {
            add_target(a, primary->index);
        }
    }
    else {
        const mr_config_target_t *covering =
            mr_config_group_target(a->group, a->covering);
        if (covering != NULL && !is_leaving(a, covering)) {
            add_target(a, covering->index);
        }
        add_replicas(a, primary, true);
        add_replicas(a, primary, false);
        if (primary != NULL) {
            add_target(a, primary->index);
        }
    }
    for (size_t i = 0; i < a->group->target_count; i++) {
        add_target(a, i);
    }
}

/* Puts the target called @name next; false when it was just tried. */
static bool
prefer_target(attempt_t *a, const char *name)
{
    const mr_config_target_t *target = mr_config_group_target(a->group, name);

    if (target == NULL || a->order[a->next] == target->index) {
        return false;
    }
    for (size_t i = 0; i < a->order_count; i++) {
        if (a->order[i] == target->index) {
            a->next = i;
            a->owner_rank = 0;
            return true;
        }
    }
    return false;
}

/* Moves on to another target; true when all were tried. */
static bool
next_target(attempt_t *a)
{
    a->owner_rank = 0;
    a->next = (a->next + 1) % a->order_count;
    return a->next == 0;
}

/* Retries. */

static void
on_timer(evutil_socket_t fd, short what, void *ctx)
{
    attempt_t *a = ctx;

    (void)fd;
    (void)what;
    if (a->call != NULL) {
        check_owner(a);
    }
    else {
        send_attempt(a);
    }
}

static void
retry(attempt_t *a, mr_ms_t pause)
{
    struct timeval tv = mr_clock_timeval(pause);

    mr_counter_add(a->route->retries, 1);
    evtimer_add(a->timer, &tv);
}

static void
retry_elsewhere(attempt_t *a)
{
    retry(a, next_target(a) ? RETRY_PAUSE_MS : 0);
}

static void
handle_wrong_owner(attempt_t *a, const mr_msg_execute_reply_t *reply)
{
    const char *tried = a->group->targets[a->order[a->next]].name;

    if (reply->hint[0] != '\0'
        && (prefer_target(a, reply->hint)
            || (a->msg->access == MR_ACCESS_WRITE
                && strcmp(tried, reply->hint) == 0
                && a->msg->max_term < highest_term(a)))) {
        retry(a, 0);
        return;
    }
    retry_elsewhere(a);
}

static void
handle_not_fresh(attempt_t *a, const mr_msg_execute_reply_t *reply)
{
    if (wants_primary(a)) {
        retry(a, RETRY_PAUSE_MS);
        return;
    }
    if (reply->covering[0] != '\0' && prefer_target(a, reply->covering)) {
        retry(a, 0);
        return;
    }
    retry_elsewhere(a);
}

/* The owner itself is out of reach: the next one in rendezvous order serves
 * the same target. */
static void
handle_owner_lost(attempt_t *a)
{
    mr_members_report_failure(a->route->options.members, a->member);
    doubt_primary(a);
    if (++a->owner_rank < OWNERS_MAX) {
        retry(a, 0);
        return;
    }
    retry_elsewhere(a);
}

static void
handle_reply(attempt_t *a, const mr_msg_execute_reply_t *reply)
{
    mr_error_kind_t error = (mr_error_kind_t)reply->error;

    learn_primary(a, reply);
    mr_execute_reply_free(a->last);
    a->last = mr_execute_reply_copy(reply);
    if (time_left(a) <= RETRY_PAUSE_MS) {
        finish(a, reply);
        return;
    }
    switch (error) {
    case MR_ERR_WRONG_OWNER:
        handle_wrong_owner(a, reply);
        return;
    case MR_ERR_NOT_FRESH:
        handle_not_fresh(a, reply);
        return;
    case MR_ERR_NO_PRIMARY:
    case MR_ERR_SHUTTING_DOWN:
    case MR_ERR_UNAVAILABLE:
        retry_elsewhere(a);
        return;
    case MR_ERR_OUTCOME_UNKNOWN:
    case MR_ERR_INTERNAL:
        if (may_repeat(a, reply)) {
            a->maybe_run = true;
            if (a->msg->access == MR_ACCESS_WRITE) {
                a->msg->min_term = reply->term + 1;
            }
            retry_elsewhere(a);
            return;
        }
        break;
    default:
        break;
    }
    finish(a, reply);
}

/* Checks of an owner that takes long to answer. */

static void
stop_checking(attempt_t *a)
{
    evtimer_del(a->timer);
    if (a->check != NULL) {
        mr_peer_cancel(a->check);
        a->check = NULL;
    }
}

static void
schedule_check(attempt_t *a)
{
    struct timeval tv = mr_clock_timeval(CHECK_AFTER_MS);

    evtimer_add(a->timer, &tv);
}

static void
give_up_owner(attempt_t *a)
{
    bool sent = mr_peer_call_sent(a->call);
    mr_msg_execute_reply_t failed;

    mr_peer_cancel(a->call);
    a->call = NULL;
    if (!sent && time_left(a) > RETRY_PAUSE_MS) {
        handle_owner_lost(a);
        return;
    }
    mr_members_report_failure(a->route->options.members, a->member);
    doubt_primary(a);
    mr_execute_reply_init(&failed,
                          sent ? MR_ERR_OUTCOME_UNKNOWN : MR_ERR_UNAVAILABLE,
                          "the pool owner is out of reach");
    handle_reply(a, &failed);
}

static void
on_checked(void *ctx, mr_error_kind_t error, const mr_msg_t *reply)
{
    attempt_t *a = ctx;

    (void)reply;
    a->check = NULL;
    if (error == MR_OK) {
        schedule_check(a);
        return;
    }
    give_up_owner(a);
}

static void
check_owner(attempt_t *a)
{
    const mr_member_t *member =
        mr_members_find(a->route->options.members, a->member);
    mr_msg_t msg = {.type = MR_MSG_PROBE};

    /* Without the member only the call's own deadline is left. */
    if (member != NULL) {
        msg.u.probe.group = a->group->name;
        a->check = mr_peer_call(a->route->options.peer, member->address, &msg,
                                CHECK_TIMEOUT_MS, on_checked, a);
    }
}

static void
on_local_reply(void *ctx, const mr_msg_execute_reply_t *reply)
{
    attempt_t *a = ctx;

    a->local = false;
    if (a->route == NULL) {
        free_attempt(a);
        return;
    }
    handle_reply(a, reply);
}

static void
on_remote_reply(void *ctx, mr_error_kind_t error, const mr_msg_t *reply)
{
    attempt_t *a = ctx;
    mr_msg_execute_reply_t failed;

    a->call = NULL;
    stop_checking(a);
    if (error == MR_OK) {
        mr_msg_execute_reply_t copy = reply->u.execute_reply;
        copy.error = mr_error_from_wire(copy.error);
        handle_reply(a, &copy);
        return;
    }
    if (error == MR_ERR_UNAVAILABLE && time_left(a) > RETRY_PAUSE_MS) {
        handle_owner_lost(a);
        return;
    }
    mr_execute_reply_init(&failed, error,
                          error == MR_ERR_UNAVAILABLE
                              ? "the pool owner is out of reach"
                              : "the pool owner did not answer");
    handle_reply(a, &failed);
}

static void
rank_owners(const mr_members_t *members, const mr_config_target_t *target,
            owners_t *owners)
{
    const mr_member_t *found[OWNERS_MAX];

    owners->generation = mr_members_generation(members);
    owners->count = mr_members_usable(members, target->name,
                                      target->data_centre, found, OWNERS_MAX);
    if (owners->count == 0) {
        found[0] =
            mr_members_owner(members, target->name, target->data_centre);
        owners->count = found[0] != NULL ? 1 : 0;
    }
    for (size_t i = 0; i < owners->count; i++) {
        snprintf(owners->names[i], sizeof(owners->names[i]), "%s",
                 found[i]->name);
    }
}

static const mr_member_t *
choose_owner(const attempt_t *a, const mr_config_target_t *target)
{
    const mr_members_t *members = a->route->options.members;
    owners_t *owners = g_hash_table_lookup(a->route->owners, target->name);

    if (owners == NULL) {
        owners = MR_NEW(owners_t);
        rank_owners(members, target, owners);
        g_hash_table_insert(a->route->owners, mr_strdup(target->name), owners);
    }
    else if (owners->generation != mr_members_generation(members)) {
        rank_owners(members, target, owners);
    }
    if (owners->count == 0) {
        return NULL;
    }
    return mr_members_find(members,
                           owners->names[a->owner_rank % owners->count]);
}

/* A read is tried elsewhere when its owner does not answer in time. */
static mr_ms_t
attempt_time(const attempt_t *a)
{
    mr_ms_t left = time_left(a);

    if (a->msg->access == MR_ACCESS_WRITE
        || a->msg->operation != MR_OPERATION_STATEMENT) {
        return left;
    }
    mr_ms_t share = left / 2 > READ_ATTEMPT_MS ? left / 2 : READ_ATTEMPT_MS;
    return share < left ? share : left;
}

static void
send_attempt(attempt_t *a)
{
    const mr_config_target_t *target = &a->group->targets[a->order[a->next]];
    const mr_member_t *member = choose_owner(a, target);
    mr_ms_t time = attempt_time(a);
    mr_msg_t msg = {.type = MR_MSG_EXECUTE};

    if (time_left(a) <= 0) {
        if (a->last != NULL) {
            finish(a, a->last);
            return;
        }
        finish_error(a, MR_ERR_DEADLINE_EXCEEDED, "the deadline has passed");
        return;
    }
    if (member == NULL) {
        mr_msg_execute_reply_t none;
        mr_execute_reply_init(&none, MR_ERR_UNAVAILABLE,
                              "no instance for the target's data centre");
        mr_execute_reply_free(a->last);
        a->last = mr_execute_reply_copy(&none);
        retry_elsewhere(a);
        return;
    }
    snprintf(a->member, sizeof(a->member), "%s", member->name);
    a->msg->max_term = highest_term(a);
    msg.u.execute = *a->msg;
    msg.u.execute.target = target->name;
    if (strcmp(member->name, a->route->options.name) == 0) {
        msg.u.execute.deadline_ms = time;
        a->local = true;
        mr_owner_execute(a->route->options.owner, &msg.u.execute,
                         on_local_reply, a);
        return;
    }
    msg.u.execute.deadline_ms = time - REPLY_MARGIN_MS;
    a->call = mr_peer_call(a->route->options.peer, member->address, &msg, time,
                           on_remote_reply, a);
    schedule_check(a);
}

static attempt_t *
create_attempt(mr_route_t *route, const mr_msg_execute_t *msg,
               mr_execute_fn_t fn, void *ctx)
{
    attempt_t *a = MR_NEW(attempt_t);

    a->route = route;
    a->msg = mr_execute_copy(msg);
    a->covering = mr_strdup(msg->target);
    a->fn = fn;
    a->ctx = ctx;
    a->deadline = mr_clock_now(NULL) + msg->deadline_ms;
    a->timer = evtimer_new(route->options.base, on_timer, a);
    mr_list_append(&route->attempts, &a->link);
    return a;
}

static void
on_unroutable(evutil_socket_t fd, short what, void *ctx)
{
    (void)fd;
    (void)what;
    finish_error(ctx, MR_ERR_UNAVAILABLE, "the group is not configured");
}

void
mr_route_execute(mr_route_t *route, const mr_msg_execute_t *msg,
                 mr_execute_fn_t fn, void *ctx)
{
    attempt_t *a = create_attempt(route, msg, fn, ctx);
    struct timeval now = {0};
    mr_config_t *config = mr_config_store_current(route->options.config);

    if (config != NULL) {
        a->config = mr_config_ref(config);
        a->group = mr_config_group(config, msg->group);
    }
    if (a->group == NULL) {
        event_assign(a->timer, route->options.base, -1, 0, on_unroutable, a);
    }
    else {
        order_targets(a);
    }
    evtimer_add(a->timer, &now);
}

/* Forwarding to one instance. */

/*
 * What it means that the instance was not reached. A transaction ends with its
 * instance, and this statement was not sent. A request id may have been used
 * before, and only that instance knows.
 */
static mr_error_kind_t
unreached_kind(const attempt_t *a)
{
    return a->msg->transaction[0] != '\0' ? MR_ERR_TRANSACTION_LOST
                                          : MR_ERR_REQUEST_ID_EXPIRED;
}

static void
on_forward_reply(void *ctx, mr_error_kind_t error, const mr_msg_t *reply)
{
    attempt_t *a = ctx;

    a->call = NULL;
    if (error == MR_OK) {
        mr_msg_execute_reply_t copy = reply->u.execute_reply;
        copy.error = mr_error_from_wire(copy.error);
        finish(a, &copy);
        return;
    }
    if (error == MR_ERR_UNAVAILABLE) {
        error = unreached_kind(a);
    }
    finish_error(a, error, "the instance did not answer");
}

static void
on_local_forward_reply(void *ctx, const mr_msg_execute_reply_t *reply)
{
    finish(ctx, reply);
}

void
mr_route_forward(mr_route_t *route, const char *instance, const char *address,
                 const mr_msg_execute_t *msg, mr_execute_fn_t fn, void *ctx)
{
    attempt_t *a = create_attempt(route, msg, fn, ctx);
    mr_msg_t out = {.type = MR_MSG_EXECUTE};

    if (strcmp(instance, route->options.name) == 0) {
        a->local = true;
        mr_owner_execute(route->options.owner, a->msg, on_local_forward_reply,
                         a);
        return;
    }
    out.u.execute = *a->msg;
    out.u.execute.deadline_ms = msg->deadline_ms - REPLY_MARGIN_MS;
    a->call = mr_peer_call(route->options.peer, address, &out,
                           msg->deadline_ms, on_forward_reply, a);
}

mr_route_t *
mr_route_create(const mr_route_options_t *options)
{
    mr_route_t *route = MR_NEW(mr_route_t);

    route->options = *options;
    route->hints = g_hash_table_new_full(g_str_hash, g_str_equal, free, free);
    route->owners = g_hash_table_new_full(g_str_hash, g_str_equal, free, free);
    mr_list_init(&route->attempts);
    route->retries =
        mr_counters_get(options->counters, "masticrelay_route_retries_total",
                        "", "requests sent to an owner once more");
    return route;
}

void
mr_route_destroy(mr_route_t *route)
{
    if (route == NULL) {
        return;
    }
    MR_LIST_FOREACH(it, &route->attempts)
    {
        attempt_t *a = MR_LIST_ENTRY(it, attempt_t, link);
        /* The owner service still has to end those it works on. */
        if (a->local) {
            a->route = NULL;
            mr_list_remove(it);
        }
        else {
            free_attempt(a);
        }
    }
    g_hash_table_destroy(route->hints);
    g_hash_table_destroy(route->owners);
    free(route);
}
