#include "entry/route.h"

#include <glib.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/mem.h"
#include "group/view.h"

enum {
    /* How long the group's other targets are tried before a primary whose
     * owner was unreachable. Longer than a failover. */
    PRIMARY_SUSPECT_MS = 2000,
    /* Delay before a request is sent again to a target that refused it: long
     * enough not to flood an owner without a primary, short compared to a
     * failover. */
    RETRY_DELAY_MS = 10,
    /* Minimum timeout of a read attempt before another owner is tried. */
    READ_ATTEMPT_MIN_MS = 250,
    /* A target is served by its first two owners in rendezvous order. */
    OWNERS_MAX = 2,
    /* Term of a group whose primary was never replaced. */
    INITIAL_TERM = 1,
    /* Time reserved for the reply of a remote owner to travel back. */
    REPLY_MARGIN_MS = 3,
    /* An owner that has not answered after this delay is probed, and abandoned
     * if the probe fails. A link between data centres that drops all
     * packets is not detected otherwise, and waiting for the deadline would
     * add 2 s to the failover gap. The delay exceeds the usual duration of a
     * write whose replicas lag by 200 ms. */
    OWNER_CHECK_DELAY_MS = 300,
    OWNER_CHECK_TIMEOUT_MS = 300,
};

/** The primary of a group, as named by the latest reply. */
typedef struct primary_hint {
    char target[MR_CONFIG_NAME_MAX + 1];
    int64_t term;
    mr_ms_t suspect_until; /* set when its owner is unreachable */
} primary_hint_t;

struct mr_route {
    mr_route_options_t options;
    GHashTable *primary_hints; /* group -> primary_hint_t */
    GHashTable *owner_cache;   /* target -> owner_ranking_t */
    mr_list_t requests;
    mr_counter_t *retries;
};

/**
 * Cached first owners of a target. Ranking the members of a data centre hashes
 * each of them, which is too slow to do for every statement at 325 members.
 */
typedef struct owner_ranking {
    uint64_t generation; /* of the member list that was ranked */
    size_t count;
    char names[OWNERS_MAX][MR_CONFIG_NAME_MAX + 1];
} owner_ranking_t;

/** A request in progress, with the state of its current attempt. */
typedef struct request {
    mr_list_t link;
    mr_route_t *route;
    mr_config_t *config;
    const mr_config_group_t *group;
    mr_msg_execute_t *msg;
    char *covering_target; /* covers the session's position; "" if unknown */
    mr_execute_fn_t fn;
    void *ctx;
    mr_ms_t deadline;
    /* Indexes of targets, in order of preference. */
    size_t candidates[MR_VIEW_TARGETS_MAX];
    size_t candidate_count;
    size_t current;                          /* index into @candidates */
    size_t owner_rank;                       /* of the owner to send to */
    char owner_name[MR_CONFIG_NAME_MAX + 1]; /* of the latest attempt */
    bool may_have_run; /* an earlier attempt may have run */
    mr_msg_execute_reply_t *last_reply;
    struct event *timer; /* next attempt or, during a call, owner check */
    mr_peer_call_t *call;
    bool local;                  /* passed to this instance's owner service */
    mr_peer_call_t *owner_check; /* probe of a slow owner */
} request_t;

static void send_attempt(request_t *req);
static void start_owner_check(request_t *req);

static bool
needs_primary(const request_t *req)
{
    return req->msg->access == MR_ACCESS_WRITE
           || req->msg->freshness == MR_FRESHNESS_PRESENT
           || req->msg->token_uncertain;
}

/* Returns whether a request with unknown outcome may be retried. A write is
 * retried only under a higher term, in which the first attempt can no longer
 * run. Under the same term, a delayed first attempt could run after later
 * writes and undo them, even if it is idempotent. */
static bool
may_repeat(const request_t *req, const mr_msg_execute_reply_t *reply)
{
    if (req->msg->operation != MR_OPERATION_STATEMENT) {
        return false;
    }
    return req->msg->access == MR_ACCESS_READ
           || (req->msg->idempotent && reply->term > 0);
}

static void
free_request(request_t *req)
{
    if (req->call != NULL) {
        mr_peer_cancel(req->call);
    }
    if (req->owner_check != NULL) {
        mr_peer_cancel(req->owner_check);
    }
    event_free(req->timer);
    mr_list_remove(&req->link);
    mr_config_unref(req->config);
    mr_execute_free(req->msg);
    mr_execute_reply_free(req->last_reply);
    free(req->covering_target);
    free(req);
}

/* Without a reply, the term of a write is unknown, but bounded by the highest
 * term that the owner was allowed to use. */
static void
set_uncertain_term(const request_t *req, mr_msg_execute_reply_t *reply)
{
    if (req->msg->access == MR_ACCESS_WRITE && reply->term == 0
        && mr_error_outcome((mr_error_kind_t)reply->error)
               == MR_OUTCOME_UNKNOWN) {
        reply->term = req->msg->max_term;
    }
}

static void
finish(request_t *req, const mr_msg_execute_reply_t *reply)
{
    if (req->route == NULL) {
        free_request(req);
        return;
    }
    mr_execute_fn_t fn = req->fn;
    void *ctx = req->ctx;
    mr_msg_execute_reply_t *copy = mr_execute_reply_copy(reply);

    /* A write stays uncertain if an earlier attempt may have run. That attempt
     * can only have run under a term below @min_term. */
    if (req->may_have_run && req->msg->access == MR_ACCESS_WRITE
        && mr_error_outcome((mr_error_kind_t)copy->error)
               == MR_OUTCOME_NOT_RUN) {
        copy->error = MR_ERR_OUTCOME_UNKNOWN;
        copy->term = req->msg->min_term - 1;
        copy->position = 0;
    }
    set_uncertain_term(req, copy);
    free_request(req);
    fn(ctx, copy);
    mr_execute_reply_free(copy);
}

static void
finish_error(request_t *req, mr_error_kind_t error, const char *message)
{
    mr_msg_execute_reply_t reply;

    mr_execute_reply_init(&reply, error, message);
    finish(req, &reply);
}

static mr_ms_t
time_left(const request_t *req)
{
    return req->deadline - mr_clock_now(NULL);
}

/* Primary hints. */

static void
update_primary_hint(request_t *req, const mr_msg_execute_reply_t *reply)
{
    GHashTable *hints = req->route->primary_hints;
    primary_hint_t *hint = g_hash_table_lookup(hints, req->group->name);

    if (reply->hint[0] == '\0'
        || mr_config_group_target(req->group, reply->hint) == NULL) {
        return;
    }
    if (hint == NULL) {
        hint = MR_NEW(primary_hint_t);
        g_hash_table_insert(hints, mr_strdup(req->group->name), hint);
    }
    if (reply->hint_term > hint->term) {
        hint->suspect_until = 0;
    }
    if (reply->hint_term >= hint->term) {
        hint->term = reply->hint_term;
        snprintf(hint->target, sizeof(hint->target), "%s", reply->hint);
    }
}

static const mr_config_target_t *
hinted_primary(const request_t *req)
{
    const primary_hint_t *hint =
        g_hash_table_lookup(req->route->primary_hints, req->group->name);

    if (hint == NULL) {
        return NULL;
    }
    return mr_config_group_target(req->group, hint->target);
}

/* Called when the owner of the current target is unreachable. If the target is
 * the primary, the owners of the group's other targets are tried first for a
 * while, because they learn of a new primary. Otherwise every instance of an
 * isolated data centre would be tried in turn. */
static void
suspect_primary(const request_t *req)
{
    primary_hint_t *hint =
        g_hash_table_lookup(req->route->primary_hints, req->group->name);
    const char *tried =
        req->group->targets[req->candidates[req->current]].name;

    if (hint != NULL && strcmp(hint->target, tried) == 0) {
        hint->suspect_until = mr_clock_now(NULL) + PRIMARY_SUSPECT_MS;
    }
}

/* Returns the highest term under which the owner may run the write, which is
 * the newest term that this instance knows. Hinted terms never decrease, so
 * the bound of the latest attempt also holds for the earlier ones. */
static int64_t
max_write_term(const request_t *req)
{
    const primary_hint_t *hint =
        g_hash_table_lookup(req->route->primary_hints, req->group->name);
    int64_t known = hint == NULL ? INITIAL_TERM : hint->term;

    return known > req->msg->min_term ? known : req->msg->min_term;
}

static bool
primary_is_suspect(const request_t *req)
{
    const primary_hint_t *hint =
        g_hash_table_lookup(req->route->primary_hints, req->group->name);

    return hint != NULL && mr_clock_now(NULL) < hint->suspect_until;
}

/* Candidate targets. */

static void
add_candidate(request_t *req, size_t index)
{
    for (size_t i = 0; i < req->candidate_count; i++) {
        if (req->candidates[i] == index) {
            return;
        }
    }
    req->candidates[req->candidate_count++] = index;
}

static bool
is_leaving(const request_t *req, const mr_config_target_t *target)
{
    return target->leaving
           || mr_members_target_leaving(req->route->options.members,
                                        target->name);
}

/* Adds the replicas inside or outside the local data centre, starting at a
 * random one to spread the load. */
static void
add_replica_candidates(request_t *req, const mr_config_target_t *primary,
                       bool inside)
{
    size_t count = req->group->target_count;
    size_t start = randombytes_uniform((uint32_t)count);

    for (size_t i = 0; i < count; i++) {
        const mr_config_target_t *target =
            &req->group->targets[(start + i) % count];
        bool local =
            strcmp(target->data_centre, req->route->options.data_centre) == 0;
        if (local == inside && target != primary && !is_leaving(req, target)) {
            add_candidate(req, target->index);
        }
    }
}

static void
list_candidates(request_t *req)
{
    const mr_config_target_t *primary = hinted_primary(req);

    req->candidate_count = 0;
    req->current = 0;
    if (needs_primary(req)) {
        if (primary != NULL && primary_is_suspect(req)) {
            add_replica_candidates(req, primary, true);
            add_replica_candidates(req, primary, false);
        }
        if (primary != NULL) {
            add_candidate(req, primary->index);
        }
    }
    else {
        const mr_config_target_t *covering =
            mr_config_group_target(req->group, req->covering_target);
        if (covering != NULL && !is_leaving(req, covering)) {
            add_candidate(req, covering->index);
        }
        add_replica_candidates(req, primary, true);
        add_replica_candidates(req, primary, false);
        if (primary != NULL) {
            add_candidate(req, primary->index);
        }
    }
    for (size_t i = 0; i < req->group->target_count; i++) {
        add_candidate(req, i);
    }
}

/* Makes @name the current target. Returns false if it already is or is not a
 * candidate. */
static bool
select_candidate(request_t *req, const char *name)
{
    const mr_config_target_t *target =
        mr_config_group_target(req->group, name);

    if (target == NULL || req->candidates[req->current] == target->index) {
        return false;
    }
    for (size_t i = 0; i < req->candidate_count; i++) {
        if (req->candidates[i] == target->index) {
            req->current = i;
            req->owner_rank = 0;
            return true;
        }
    }
    return false;
}

/* Moves on to the next target. Returns true after a full round. */
static bool
advance_candidate(request_t *req)
{
    req->owner_rank = 0;
    req->current = (req->current + 1) % req->candidate_count;
    return req->current == 0;
}

/* Retries. */

static void
on_timer(evutil_socket_t fd, short what, void *ctx)
{
    request_t *req = ctx;

    (void)fd;
    (void)what;
    if (req->call != NULL) {
        start_owner_check(req);
    }
    else {
        send_attempt(req);
    }
}

static void
retry(request_t *req, mr_ms_t delay)
{
    struct timeval tv = mr_clock_timeval(delay);

    mr_counter_add(req->route->retries, 1);
    evtimer_add(req->timer, &tv);
}

static void
retry_next_target(request_t *req)
{
    retry(req, advance_candidate(req) ? RETRY_DELAY_MS : 0);
}

/* A write is sent to the same target again if it was refused because the
 * primary's term exceeds the request's @max_term. */
static void
handle_wrong_owner(request_t *req, const mr_msg_execute_reply_t *reply)
{
    const char *tried =
        req->group->targets[req->candidates[req->current]].name;

    if (reply->hint[0] != '\0'
        && (select_candidate(req, reply->hint)
            || (req->msg->access == MR_ACCESS_WRITE
                && strcmp(tried, reply->hint) == 0
                && req->msg->max_term < max_write_term(req)))) {
        retry(req, 0);
        return;
    }
    retry_next_target(req);
}

static void
handle_not_fresh(request_t *req, const mr_msg_execute_reply_t *reply)
{
    if (needs_primary(req)) {
        retry(req, RETRY_DELAY_MS);
        return;
    }
    if (reply->covering_target[0] != '\0'
        && select_candidate(req, reply->covering_target)) {
        retry(req, 0);
        return;
    }
    retry_next_target(req);
}

/* Retries with the next owner in rendezvous order, which serves the same
 * target. */
static void
handle_owner_unreachable(request_t *req)
{
    mr_members_report_failure(req->route->options.members, req->owner_name);
    suspect_primary(req);
    if (++req->owner_rank < OWNERS_MAX) {
        retry(req, 0);
        return;
    }
    retry_next_target(req);
}

static void
handle_reply(request_t *req, const mr_msg_execute_reply_t *reply)
{
    mr_error_kind_t error = (mr_error_kind_t)reply->error;

    update_primary_hint(req, reply);
    mr_execute_reply_free(req->last_reply);
    req->last_reply = mr_execute_reply_copy(reply);
    if (time_left(req) <= RETRY_DELAY_MS) {
        finish(req, reply);
        return;
    }
    switch (error) {
    case MR_ERR_WRONG_OWNER:
        handle_wrong_owner(req, reply);
        return;
    case MR_ERR_NOT_FRESH:
        handle_not_fresh(req, reply);
        return;
    case MR_ERR_NO_PRIMARY:
    case MR_ERR_SHUTTING_DOWN:
    case MR_ERR_UNAVAILABLE:
        retry_next_target(req);
        return;
    case MR_ERR_OUTCOME_UNKNOWN:
    case MR_ERR_INTERNAL:
        if (may_repeat(req, reply)) {
            req->may_have_run = true;
            if (req->msg->access == MR_ACCESS_WRITE) {
                req->msg->min_term = reply->term + 1;
            }
            retry_next_target(req);
            return;
        }
        break;
    default:
        break;
    }
    finish(req, reply);
}

/* Probes of a slow owner. */

static void
cancel_owner_check(request_t *req)
{
    evtimer_del(req->timer);
    if (req->owner_check != NULL) {
        mr_peer_cancel(req->owner_check);
        req->owner_check = NULL;
    }
}

static void
schedule_owner_check(request_t *req)
{
    struct timeval tv = mr_clock_timeval(OWNER_CHECK_DELAY_MS);

    evtimer_add(req->timer, &tv);
}

static void
abandon_owner(request_t *req)
{
    bool sent = mr_peer_call_sent(req->call);
    mr_msg_execute_reply_t failed;

    mr_peer_cancel(req->call);
    req->call = NULL;
    if (!sent && time_left(req) > RETRY_DELAY_MS) {
        handle_owner_unreachable(req);
        return;
    }
    mr_members_report_failure(req->route->options.members, req->owner_name);
    suspect_primary(req);
    mr_execute_reply_init(&failed,
                          sent ? MR_ERR_OUTCOME_UNKNOWN : MR_ERR_UNAVAILABLE,
                          "the pool owner is unreachable");
    handle_reply(req, &failed);
}

static void
on_owner_check_reply(void *ctx, mr_error_kind_t error, const mr_msg_t *reply)
{
    request_t *req = ctx;

    (void)reply;
    req->owner_check = NULL;
    if (error == MR_OK) {
        schedule_owner_check(req);
        return;
    }
    abandon_owner(req);
}

static void
start_owner_check(request_t *req)
{
    const mr_member_t *member =
        mr_members_find(req->route->options.members, req->owner_name);
    mr_msg_t msg = {.type = MR_MSG_PROBE};

    /* An owner that is no longer a member is not probed; the call ends at its
     * own deadline. */
    if (member != NULL) {
        msg.u.probe.group = req->group->name;
        req->owner_check =
            mr_peer_call(req->route->options.peer, member->address, &msg,
                         OWNER_CHECK_TIMEOUT_MS, on_owner_check_reply, req);
    }
}

static void
on_local_reply(void *ctx, const mr_msg_execute_reply_t *reply)
{
    request_t *req = ctx;

    req->local = false;
    if (req->route == NULL) {
        free_request(req);
        return;
    }
    handle_reply(req, reply);
}

static void
on_remote_reply(void *ctx, mr_error_kind_t error, const mr_msg_t *reply)
{
    request_t *req = ctx;
    mr_msg_execute_reply_t failed;

    req->call = NULL;
    cancel_owner_check(req);
    if (error == MR_OK) {
        mr_msg_execute_reply_t copy = reply->u.execute_reply;
        copy.error = mr_error_from_wire(copy.error);
        handle_reply(req, &copy);
        return;
    }
    if (error == MR_ERR_UNAVAILABLE && time_left(req) > RETRY_DELAY_MS) {
        handle_owner_unreachable(req);
        return;
    }
    mr_execute_reply_init(&failed, error,
                          error == MR_ERR_UNAVAILABLE
                              ? "the pool owner is unreachable"
                              : "the pool owner did not answer");
    handle_reply(req, &failed);
}

static void
rank_owners(const mr_members_t *members, const mr_config_target_t *target,
            owner_ranking_t *owners)
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
choose_owner(const request_t *req, const mr_config_target_t *target)
{
    const mr_members_t *members = req->route->options.members;
    owner_ranking_t *owners =
        g_hash_table_lookup(req->route->owner_cache, target->name);

    if (owners == NULL) {
        owners = MR_NEW(owner_ranking_t);
        rank_owners(members, target, owners);
        g_hash_table_insert(req->route->owner_cache, mr_strdup(target->name),
                            owners);
    }
    else if (owners->generation != mr_members_generation(members)) {
        rank_owners(members, target, owners);
    }
    if (owners->count == 0) {
        return NULL;
    }
    return mr_members_find(members,
                           owners->names[req->owner_rank % owners->count]);
}

/* Reads get only a part of the remaining time, so that another owner can be
 * tried. */
static mr_ms_t
attempt_timeout(const request_t *req)
{
    mr_ms_t left = time_left(req);

    if (req->msg->access == MR_ACCESS_WRITE
        || req->msg->operation != MR_OPERATION_STATEMENT) {
        return left;
    }
    mr_ms_t share =
        left / 2 > READ_ATTEMPT_MIN_MS ? left / 2 : READ_ATTEMPT_MIN_MS;
    return share < left ? share : left;
}

static void
send_attempt(request_t *req)
{
    const mr_config_target_t *target =
        &req->group->targets[req->candidates[req->current]];
    const mr_member_t *member = choose_owner(req, target);
    mr_ms_t time = attempt_timeout(req);
    mr_msg_t msg = {.type = MR_MSG_EXECUTE};

    if (time_left(req) <= 0) {
        if (req->last_reply != NULL) {
            finish(req, req->last_reply);
            return;
        }
        finish_error(req, MR_ERR_DEADLINE_EXCEEDED, "the deadline has passed");
        return;
    }
    if (member == NULL) {
        mr_msg_execute_reply_t none;
        mr_execute_reply_init(&none, MR_ERR_UNAVAILABLE,
                              "no instance in the target's data centre");
        mr_execute_reply_free(req->last_reply);
        req->last_reply = mr_execute_reply_copy(&none);
        retry_next_target(req);
        return;
    }
    snprintf(req->owner_name, sizeof(req->owner_name), "%s", member->name);
    req->msg->max_term = max_write_term(req);
    msg.u.execute = *req->msg;
    msg.u.execute.target = target->name;
    if (strcmp(member->name, req->route->options.name) == 0) {
        msg.u.execute.deadline_ms = time;
        req->local = true;
        mr_owner_execute(req->route->options.owner, &msg.u.execute,
                         on_local_reply, req);
        return;
    }
    msg.u.execute.deadline_ms = time - REPLY_MARGIN_MS;
    req->call = mr_peer_call(req->route->options.peer, member->address, &msg,
                             time, on_remote_reply, req);
    schedule_owner_check(req);
}

static request_t *
create_request(mr_route_t *route, const mr_msg_execute_t *msg,
               mr_execute_fn_t fn, void *ctx)
{
    request_t *req = MR_NEW(request_t);

    req->route = route;
    req->msg = mr_execute_copy(msg);
    req->covering_target = mr_strdup(msg->target);
    req->fn = fn;
    req->ctx = ctx;
    req->deadline = mr_clock_now(NULL) + msg->deadline_ms;
    req->timer = evtimer_new(route->options.base, on_timer, req);
    mr_list_append(&route->requests, &req->link);
    return req;
}

static void
on_unknown_group(evutil_socket_t fd, short what, void *ctx)
{
    (void)fd;
    (void)what;
    finish_error(ctx, MR_ERR_UNAVAILABLE, "the group is not configured");
}

void
mr_route_execute(mr_route_t *route, const mr_msg_execute_t *msg,
                 mr_execute_fn_t fn, void *ctx)
{
    request_t *req = create_request(route, msg, fn, ctx);
    struct timeval now = {0};
    mr_config_t *config = mr_config_store_current(route->options.config);

    if (config != NULL) {
        req->config = mr_config_ref(config);
        req->group = mr_config_group(config, msg->group);
    }
    if (req->group == NULL) {
        event_assign(req->timer, route->options.base, -1, 0, on_unknown_group,
                     req);
    }
    else {
        list_candidates(req);
    }
    evtimer_add(req->timer, &now);
}

/* Forwarding to one instance. */

/* Returns the error for an unreachable instance. A transaction is lost with
 * its instance, and the statement was not sent. Only the instance that issued
 * a request id knows whether the id was used before. */
static mr_error_kind_t
unreachable_error(const request_t *req)
{
    return req->msg->transaction[0] != '\0' ? MR_ERR_TRANSACTION_LOST
                                            : MR_ERR_REQUEST_ID_EXPIRED;
}

static void
on_forward_reply(void *ctx, mr_error_kind_t error, const mr_msg_t *reply)
{
    request_t *req = ctx;

    req->call = NULL;
    if (error == MR_OK) {
        mr_msg_execute_reply_t copy = reply->u.execute_reply;
        copy.error = mr_error_from_wire(copy.error);
        finish(req, &copy);
        return;
    }
    if (error == MR_ERR_UNAVAILABLE) {
        error = unreachable_error(req);
    }
    finish_error(req, error, "the instance did not answer");
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
    request_t *req = create_request(route, msg, fn, ctx);
    mr_msg_t out = {.type = MR_MSG_EXECUTE};

    if (strcmp(instance, route->options.name) == 0) {
        req->local = true;
        mr_owner_execute(route->options.owner, req->msg,
                         on_local_forward_reply, req);
        return;
    }
    out.u.execute = *req->msg;
    out.u.execute.deadline_ms = msg->deadline_ms - REPLY_MARGIN_MS;
    req->call = mr_peer_call(route->options.peer, address, &out,
                             msg->deadline_ms, on_forward_reply, req);
}

mr_route_t *
mr_route_create(const mr_route_options_t *options)
{
    mr_route_t *route = MR_NEW(mr_route_t);

    route->options = *options;
    route->primary_hints =
        g_hash_table_new_full(g_str_hash, g_str_equal, free, free);
    route->owner_cache =
        g_hash_table_new_full(g_str_hash, g_str_equal, free, free);
    mr_list_init(&route->requests);
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
    MR_LIST_FOREACH(it, &route->requests)
    {
        request_t *req = MR_LIST_ENTRY(it, request_t, link);
        /* Freed when the owner service replies. */
        if (req->local) {
            req->route = NULL;
            mr_list_remove(it);
        }
        else {
            free_request(req);
        }
    }
    g_hash_table_destroy(route->primary_hints);
    g_hash_table_destroy(route->owner_cache);
    free(route);
}
