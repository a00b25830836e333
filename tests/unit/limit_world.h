#ifndef MR_TESTS_LIMIT_WORLD_H
#define MR_TESTS_LIMIT_WORLD_H

/* Simulation for test_limit_model.c: instances, an in-memory table and a
 * network that loses and delays messages, in steps of STEP_MS. */

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "limit/lease.h"
#include "limit/limiter_account.h"
#include "limit/local.h"

enum {
    CENTRES = 3,
    PER_CENTRE = 4,
    NODES = CENTRES * PER_CENTRE,
    STEP_MS = 2,
    /* A lower limit binds each instance when it learns of it. What a limiter
     * gave before it learned of it may last for the lifetime of a long grant,
     * and once more each if a successor and then nobody renews it. */
    LIMIT_SETTLES_MS = 200000,
    STORE_TIMEOUT_MS = 1000,
    ASK_FAILS_MS = 40,
    REMOTE_AFTER_MS = 6,  /* a request is held before others are asked */
    REMOTE_AGAIN_MS = 20, /* until the same data centre is asked again */
    REMOTE_AHEAD_MS = 100,
    REMOTE_PARALLEL = 3,
    DRAIN_MS = 400,     /* from the begin of a planned stop to the restart */
    CONFIG_MS = 3000,   /* until every instance knows a configuration */
    LIMITER_STEPS = 10, /* steps between two runs of the limiter role */
    WAITS_MAX = 256,
    MILLION = 1000000,
};

typedef enum kind {
    TO_TABLE_LEASE,
    TO_TABLE_SHARE,
    LEASE_BACK,
    SHARE_BACK,
    ASK,
    ASK_BACK,
    REMOTE_BACK, /* from a limiter of another data centre */
    RETURN,
    PROMISE,
    PROMISE_BACK,
} kind_t;

typedef struct event {
    struct event *next;
    mr_ms_t due;
    kind_t kind;
    int node;        /* receiver, or the sender of a table call */
    int peer;        /* sender */
    int64_t process; /* of the receiver; a restart loses its messages */
    bool write;
    bool failed;
    mr_row_result_t result;
    mr_ms_t sent; /* on the asker's clock */
    mr_lease_row_t lease;
    mr_share_row_t share;
    mr_grant_ask_t ask;
    mr_msg_grant_item_t items[MR_GRANT_ITEMS_MAX];
    size_t count;
    bool refused;
    int64_t number; /* epoch, id or duration */
} event_t;

typedef struct node {
    int centre;
    char name[16];
    int64_t process;
    mr_ms_t offset; /* of its clock */
    mr_ms_t paused_until;
    mr_ms_t drained; /* when a planned stop began; 0: none */
    bool store_cut;
    bool cut; /* from all limiters */
    mr_lease_t *lease;
    mr_limiter_account_t *limiter;
    mr_limit_local_t local;
    int owner;                        /* believed limiter */
    mr_held_grants_t remote[CENTRES]; /* tokens of other data centres */
    int remote_owner[CENTRES];
    mr_ms_t remote_asked[CENTRES];
    mr_ms_t remote_refused[CENTRES];
    mr_ms_t own_refused;
    mr_ms_t waits[WAITS_MAX];
    bool within[WAITS_MAX]; /* the reference would have admitted it */
    size_t wait_count;
    double load; /* requests per ms */
    mr_limit_amount_t limit;
    int64_t version;
} node_t;

typedef struct world {
    mr_ms_t now;
    uint64_t random;
    event_t *events;
    node_t nodes[NODES];
    mr_lease_row_t leases[CENTRES];
    mr_share_row_t share;
    mr_limit_amount_t limit;
    int64_t version;
    bool store_down;
    bool apart;              /* data centres do not reach each other */
    double lose;             /* fraction of messages */
    double slow;             /* fraction of messages that take long */
    mr_ms_t changed;         /* when the limit was last changed */
    mr_limit_amount_t first; /* the highest limit */
    mr_limit_amount_t most;  /* highest limit of the recent past */
    __int128 level;          /* tokens of the strict bucket, millionths */
    __int128 reference;      /* of the bucket fed by all requests */
    int64_t offered, within, wrongful, admitted, writes, violations;
    int64_t remote_tokens; /* admitted with tokens of other data centres */
} world_t;

static double
uniform(world_t *w)
{
    w->random ^= w->random << 13;
    w->random ^= w->random >> 7;
    w->random ^= w->random << 17;
    return (double)(w->random >> 11) / 9007199254740992.0;
}

static mr_ms_t
node_now(const world_t *w, const node_t *node)
{
    return w->now + node->offset;
}

/* Put an event into the queue, which is sorted by time. */
static void
enqueue(world_t *w, event_t *event, mr_ms_t due)
{
    event_t **at = &w->events;

    event->due = due;
    while (*at != NULL && (*at)->due <= due) {
        at = &(*at)->next;
    }
    event->next = *at;
    *at = event;
}

static event_t *
post_after(world_t *w, kind_t kind, int node, int peer, mr_ms_t delay)
{
    event_t *event = MR_NEW(event_t);

    event->kind = kind;
    event->node = node;
    event->peer = peer;
    event->process = w->nodes[node].process;
    enqueue(w, event, w->now + delay);
    return event;
}

static event_t *
post(world_t *w, kind_t kind, int node, int peer)
{
    mr_ms_t delay = 1 + (mr_ms_t)(uniform(w) * 3);

    if (uniform(w) < w->slow) {
        delay += (mr_ms_t)(uniform(w) * (uniform(w) < 0.7 ? 900 : 20000));
    }
    return post_after(w, kind, node, peer, delay);
}

static void
forget_remote(node_t *node)
{
    memset(node->remote, 0, sizeof(node->remote));
    memset(node->remote_asked, 0, sizeof(node->remote_asked));
    memset(node->remote_refused, 0, sizeof(node->remote_refused));
    for (int c = 0; c < CENTRES; c++) {
        node->remote_owner[c] = c * PER_CENTRE;
    }
    node->own_refused = 0;
}

static void
start_node(world_t *w, int index)
{
    node_t *node = &w->nodes[index];

    mr_lease_destroy(node->lease);
    mr_limiter_account_destroy(node->limiter);
    node->limiter = NULL;
    node->process = 1 + (int64_t)(uniform(w) * 1e15);
    node->offset = 1000 + (mr_ms_t)(uniform(w) * 1e9);
    node->lease = mr_lease_create(node->name, node->process);
    node->owner = index;
    node->wait_count = 0;
    node->drained = 0;
    node->limit = w->limit;
    node->version = w->version;
    forget_remote(node);
    mr_limit_local_init(&node->local, node_now(w, node));
    mr_limit_local_configure(&node->local, node->limit, node_now(w, node));
}

static bool
lost(world_t *w)
{
    return uniform(w) < w->lose;
}

/* The strict bucket starts full: it runs dry exactly when more than burst +
 * rate x t were admitted in some interval. */
static void
admitted(world_t *w)
{
    w->admitted++;
    w->level -= MILLION;
    if (w->level < 0) {
        w->violations++;
    }
}

static bool
admit_remote(world_t *w, node_t *node)
{
    for (int c = 0; c < CENTRES; c++) {
        if (mr_held_grants_admit(&node->remote[c], node_now(w, node))) {
            w->remote_tokens++;
            return true;
        }
    }
    return false;
}

/* Since then all limiters have said that they have no token. */
static mr_ms_t
refused_until(const node_t *node)
{
    mr_ms_t until = node->own_refused;

    for (int c = 0; c < CENTRES; c++) {
        if (c != node->centre && node->remote_refused[c] < until) {
            until = node->remote_refused[c];
        }
    }
    return until;
}

static void
end_waits(world_t *w, node_t *node)
{
    mr_ms_t now = node_now(w, node);
    mr_ms_t refuse_to = refused_until(node);
    size_t kept = 0;

    for (size_t i = 0; i < node->wait_count; i++) {
        if (mr_held_grants_admit(&node->local.hold, now)
            || admit_remote(w, node)) {
            admitted(w);
        }
        else if (node->waits[i] <= refuse_to
                 || now - node->waits[i] >= MR_LIMIT_HOLD_MS) {
            w->wrongful += node->within[i];
        }
        else {
            node->waits[kept] = node->waits[i];
            node->within[kept++] = node->within[i];
        }
    }
    node->wait_count = kept;
}

static void
table_lease(world_t *w, event_t *event)
{
    mr_lease_row_t *row = &w->leases[w->nodes[event->node].centre];
    event_t *back;
    mr_row_result_t result = MR_ROW_WRITTEN;

    if (event->write) {
        if (row->revision == event->lease.revision) {
            *row = event->lease;
            row->revision++;
            w->writes++;
        }
        else {
            result = MR_ROW_CONFLICT;
        }
    }
    back = post(w, LEASE_BACK, event->node, event->node);
    back->process = event->process;
    back->write = event->write;
    back->failed = lost(w);
    back->result = back->failed ? MR_ROW_UNKNOWN : result;
    back->lease = *row;
}

static void
table_share(world_t *w, event_t *event)
{
    event_t *back;
    mr_row_result_t result = MR_ROW_WRITTEN;

    if (event->write) {
        if (w->share.revision == event->share.revision) {
            w->share = event->share;
            w->share.revision++;
            w->writes++;
        }
        else {
            result = MR_ROW_CONFLICT;
        }
    }
    back = post(w, SHARE_BACK, event->node, event->node);
    back->process = event->process;
    back->write = event->write;
    back->failed = lost(w);
    back->result = back->failed ? MR_ROW_UNKNOWN : result;
    back->share = w->share;
}

static int
find_node(const world_t *w, const char *name)
{
    for (int i = 0; i < NODES; i++) {
        if (strcmp(w->nodes[i].name, name) == 0) {
            return i;
        }
    }
    return -1;
}

static void
answer_ask(world_t *w, node_t *node, event_t *event)
{
    mr_ms_t now = node_now(w, node);
    bool remote = event->ask.tokens_only;
    event_t *back =
        post(w, remote ? REMOTE_BACK : ASK_BACK, event->peer, event->node);

    back->sent = event->sent;
    back->process = event->ask.process;
    back->number = find_node(w, mr_lease_owner(node->lease));
    if (node->limiter != NULL && node->drained == 0
        && mr_lease_held(node->lease, now)) {
        back->count = mr_limiter_account_handle_request(
            node->limiter, &event->ask, now, back->items, &back->refused);
        back->number = event->node;
    }
    back->failed = lost(w);
}

static void
return_grant(world_t *w, node_t *node, int owner, int64_t id)
{
    event_t *event = post(w, RETURN, owner, (int)(node - w->nodes));

    event->ask.process = node->process;
    event->number = id;
}

static void
return_spent(world_t *w, node_t *node)
{
    mr_ms_t now = node_now(w, node);
    int64_t id;

    while ((id = mr_grant_hold_spent(&node->local.hold, now)) != 0) {
        return_grant(w, node, node->owner, id);
    }
    for (int c = 0; c < CENTRES; c++) {
        while ((id = mr_grant_hold_spent(&node->remote[c], now)) != 0) {
            return_grant(w, node, node->remote_owner[c], id);
        }
    }
}

/* As ask_remote() of limit.c, which does I/O. */
static void
ask_remote(world_t *w, node_t *node, bool at_once)
{
    mr_ms_t now = node_now(w, node);
    int64_t asked = 0;

    if (node->wait_count == 0
        || (!at_once && now - node->waits[0] < REMOTE_AFTER_MS)) {
        return;
    }
    int64_t wanted = (int64_t)node->wait_count
                     + node->local.demand * REMOTE_AHEAD_MS / MILLION;
    int64_t part = (wanted + REMOTE_PARALLEL - 1) / REMOTE_PARALLEL;
    for (int i = 1; i < CENTRES && asked < wanted; i++) {
        int c = (node->centre + i) % CENTRES;
        if (now - node->remote_asked[c] < REMOTE_AGAIN_MS) {
            continue;
        }
        node->remote_asked[c] = now;
        asked += part;
        if (w->apart || lost(w)
            || w->now < w->nodes[node->remote_owner[c]].paused_until) {
            node->remote_owner[c] =
                c * PER_CENTRE + (int)(uniform(w) * PER_CENTRE);
            continue;
        }
        event_t *event =
            post(w, ASK, node->remote_owner[c], (int)(node - w->nodes));
        event->sent = now;
        event->ask = (mr_grant_ask_t){.instance = node->name,
                                      .process = node->process,
                                      .wanted = part,
                                      .tokens_only = true};
    }
}

static void
take_remote_reply(world_t *w, node_t *node, const event_t *event)
{
    int c = w->nodes[event->peer].centre;

    return_spent(w, node);
    if (event->failed) {
        return;
    }
    if (event->number >= 0) {
        node->remote_owner[c] = (int)event->number;
    }
    for (size_t i = 0; i < event->count; i++) {
        mr_held_grants_accept(&node->remote[c], &event->items[i], event->sent,
                              node_now(w, node));
    }
    if (event->refused) {
        node->remote_refused[c] = event->sent;
    }
    end_waits(w, node);
    ask_remote(w, node, true);
}

static void
handle(world_t *w, event_t *event)
{
    node_t *node = &w->nodes[event->node];
    mr_ms_t now = node_now(w, node);
    event_t *back;

    switch (event->kind) {
    case TO_TABLE_LEASE:
        table_lease(w, event);
        break;
    case TO_TABLE_SHARE:
        table_share(w, event);
        break;
    case LEASE_BACK:
        if (event->write) {
            mr_lease_written(node->lease, event->result, event->lease.revision,
                             now);
        }
        else {
            mr_lease_read(node->lease, event->failed ? NULL : &event->lease,
                          now);
        }
        break;
    case SHARE_BACK:
        if (node->limiter == NULL) {
            break;
        }
        if (event->write) {
            mr_limiter_account_written(node->limiter, event->result,
                                       event->share.revision, now);
        }
        else {
            mr_limiter_account_read(node->limiter,
                                    event->failed ? NULL : &event->share, now);
        }
        break;
    case ASK:
        answer_ask(w, node, event);
        break;
    case ASK_BACK:
        if (event->failed) {
            event->count = 0;
        }
        else if (event->number >= 0) {
            node->owner = (int)event->number;
        }
        return_spent(w, node);
        mr_limit_local_reply(&node->local, event->items, event->count,
                             event->sent, now);
        if (event->refused && !event->failed) {
            node->own_refused = event->sent;
        }
        end_waits(w, node);
        ask_remote(w, node, true);
        break;
    case REMOTE_BACK:
        take_remote_reply(w, node, event);
        break;
    case RETURN:
        if (node->limiter != NULL) {
            mr_limiter_account_return_grant(
                node->limiter, w->nodes[event->peer].name, event->ask.process,
                event->number, now);
        }
        break;
    case PROMISE:
        back = post(w, PROMISE_BACK, event->peer, event->node);
        back->sent = event->sent;
        back->process = event->ask.process;
        back->number = mr_lease_make_promise(node->lease, event->number, now);
        break;
    case PROMISE_BACK:
        mr_lease_promise_received(node->lease, w->nodes[event->peer].name,
                                  event->sent, event->number);
        break;
    }
}

/* Table calls that fail on the way still end with an unknown outcome. */
static void
to_table(world_t *w, node_t *node, kind_t kind, bool write,
         const mr_lease_row_t *lease, const mr_share_row_t *share)
{
    int index = (int)(node - w->nodes);
    bool cut = w->store_down || node->store_cut || lost(w);
    kind_t back = kind == TO_TABLE_LEASE ? LEASE_BACK : SHARE_BACK;
    event_t *event = cut ? post_after(w, back, index, index, STORE_TIMEOUT_MS)
                         : post(w, kind, index, index);

    event->write = write;
    event->failed = cut;
    event->result = MR_ROW_UNKNOWN;
    if (lease != NULL) {
        event->lease = *lease;
    }
    if (share != NULL) {
        event->share = *share;
    }
}

static bool
may_release(const node_t *node)
{
    return node->drained != 0
           && (node->limiter == NULL
               || mr_limiter_account_stopped(node->limiter));
}

static void
run_limiter(world_t *w, node_t *node)
{
    mr_ms_t now = node_now(w, node);
    const char *order[PER_CENTRE];
    mr_lease_row_t lease;
    mr_share_row_t share;
    mr_row_action_t action;
    const char *successor;
    size_t count = 0;

    for (int i = 0; i < NODES; i++) {
        if (w->nodes[i].centre == node->centre
            && w->now >= w->nodes[i].paused_until
            && w->nodes[i].drained == 0) {
            order[count++] = w->nodes[i].name;
        }
    }
    if (node->drained != 0 && node->limiter != NULL) {
        mr_limiter_account_stop(node->limiter, now);
    }
    action = mr_lease_plan(node->lease, order, count, may_release(node), now,
                           &lease);
    if (action != MR_ROW_NONE) {
        to_table(w, node, TO_TABLE_LEASE, action == MR_ROW_WRITE, &lease,
                 NULL);
    }
    while ((successor = mr_lease_promise_due(node->lease, now)) != NULL) {
        event_t *event =
            post(w, PROMISE, find_node(w, successor), (int)(node - w->nodes));
        event->sent = now;
        event->ask.process = node->process;
        event->number = mr_lease_epoch(node->lease);
    }
    if (mr_lease_epoch(node->lease) == 0) {
        mr_limiter_account_destroy(node->limiter);
        node->limiter = NULL;
        return;
    }
    if (node->limiter == NULL) {
        char centre[8];
        snprintf(centre, sizeof(centre), "dc%d", node->centre);
        node->limiter =
            mr_limiter_account_create(centre, mr_lease_epoch(node->lease),
                                      mr_lease_acquired_at(node->lease));
    }
    if (!mr_lease_held(node->lease, now)) {
        return;
    }
    mr_limiter_account_configure(node->limiter, node->version, node->limit);
    action = mr_limiter_account_plan(node->limiter, now, &share);
    if (action != MR_ROW_NONE) {
        to_table(w, node, TO_TABLE_SHARE, action == MR_ROW_WRITE, NULL,
                 &share);
    }
}

static void
run_entry(world_t *w, node_t *node)
{
    mr_ms_t now = node_now(w, node);
    double chance = node->load * STEP_MS;
    event_t *event;
    mr_grant_ask_t ask = {.instance = node->name, .process = node->process};

    while (chance > 0 && uniform(w) < (chance > 1 ? 1 : chance)) {
        bool within = w->reference >= MILLION;
        w->reference -= within ? MILLION : 0;
        w->offered++;
        w->within += within;
        if (mr_limit_local_arrive(&node->local, now)
            || (node->wait_count == 0 && admit_remote(w, node))) {
            admitted(w);
        }
        else if (node->wait_count < WAITS_MAX) {
            node->waits[node->wait_count] = now;
            node->within[node->wait_count++] = within;
        }
        else {
            w->wrongful += within;
        }
        chance -= 1;
    }
    if (node->wait_count > 0) {
        end_waits(w, node);
    }
    ask_remote(w, node, false);
    return_spent(w, node);
    if (mr_limit_local_ask(&node->local, node->wait_count, now, &ask)) {
        int index = (int)(node - w->nodes);
        if (lost(w) || node->cut
            || w->now < w->nodes[node->owner].paused_until) {
            /* As a call that fails; another member is asked next. */
            event = post_after(w, ASK_BACK, index, index, ASK_FAILS_MS);
            event->failed = true;
            node->owner =
                node->centre * PER_CENTRE + (int)(uniform(w) * PER_CENTRE);
        }
        else {
            event = post(w, ASK, node->owner, index);
        }
        event->ask = ask;
        event->sent = now;
    }
}

/* Stricter than counting admissions, which only shows a fault when demand
 * uses it up at that moment: what all instances hold of a data centre, paused
 * ones included, must fit into its entry in the row, and the entries into the
 * account's limit. */
static void
check_holds(world_t *w)
{
    mr_limit_amount_t all = {0};

    for (int c = 0; c < CENTRES; c++) {
        mr_limit_amount_t sum = {0};
        mr_limit_amount_t entry = {0};
        for (int i = c * PER_CENTRE; i < (c + 1) * PER_CENTRE; i++) {
            mr_held_grants_t *hold = &w->nodes[i].local.hold;
            mr_ms_t now = node_now(w, &w->nodes[i]);
            sum.rate += mr_held_grants_rate(hold, now);
            sum.burst += mr_held_grants_level(hold, now);
        }
        for (int i = 0; i < NODES; i++) {
            sum.burst += mr_held_grants_level(&w->nodes[i].remote[c],
                                              node_now(w, &w->nodes[i]));
        }
        for (size_t i = 0; i < w->share.count; i++) {
            if (w->share.entries[i].data_centre[2] == '0' + c) {
                entry = w->share.entries[i].amount;
            }
        }
        all.rate += entry.rate;
        all.burst += entry.burst;
        if (sum.rate > entry.rate || sum.burst > entry.burst) {
            w->violations++;
        }
    }
    if (all.rate > w->first.rate || all.burst > w->first.burst) {
        w->violations++;
    }
}

static void
learn_limit(world_t *w, node_t *node, int index)
{
    mr_ms_t delay = CONFIG_MS * index / NODES;

    if (node->version != w->version && w->now - w->changed >= delay) {
        for (int c = 0; c < CENTRES; c++) {
            mr_held_grants_scale(&node->remote[c], node->limit, w->limit,
                                 node_now(w, node));
        }
        node->version = w->version;
        node->limit = w->limit;
        mr_limit_local_configure(&node->local, node->limit, node_now(w, node));
    }
}

/* Lower the limit, or raise it back. */
static void
change_limit(world_t *w)
{
    bool low = w->limit.rate < w->first.rate;

    w->limit.rate = low ? w->first.rate : w->first.rate / 3;
    w->limit.burst = low ? w->first.burst : w->first.burst / 2;
    w->most = w->first;
    w->version++;
    w->changed = w->now;
}

static void
step(world_t *w)
{
    __int128 cap = (__int128)w->most.burst * 1000;
    __int128 reference = (__int128)w->limit.burst * 1000;

    w->now += STEP_MS;
    w->level += (__int128)w->most.rate * STEP_MS;
    w->level = w->level > cap ? cap : w->level;
    w->reference += (__int128)w->limit.rate * STEP_MS;
    w->reference = w->reference > reference ? reference : w->reference;
    while (w->events != NULL && w->events->due <= w->now) {
        event_t *event = w->events;
        node_t *node = &w->nodes[event->node];
        bool table =
            event->kind == TO_TABLE_LEASE || event->kind == TO_TABLE_SHARE;
        w->events = event->next;
        if (!table && w->now < node->paused_until) {
            enqueue(w, event, node->paused_until + 1);
            continue;
        }
        if (table || event->process == node->process) {
            handle(w, event);
        }
        free(event);
    }
    if (w->now - w->changed > LIMIT_SETTLES_MS) {
        w->most = w->limit;
    }
    check_holds(w);
    for (int i = 0; i < NODES; i++) {
        if (w->now >= w->nodes[i].paused_until) {
            learn_limit(w, &w->nodes[i], i);
            if (w->nodes[i].drained != 0
                && w->now - w->nodes[i].drained >= DRAIN_MS) {
                start_node(w, i);
            }
            if ((w->now / STEP_MS + i) % LIMITER_STEPS == 0) {
                run_limiter(w, &w->nodes[i]);
            }
            run_entry(w, &w->nodes[i]);
        }
    }
}

static world_t *
create_world(uint64_t seed, int64_t rate, int64_t burst)
{
    world_t *w = MR_NEW(world_t);

    w->random = seed * 0x9e3779b97f4a7c15ULL;
    w->limit =
        (mr_limit_amount_t){rate * MR_TOKEN_MILLI, burst * MR_TOKEN_MILLI};
    w->most = w->limit;
    w->first = w->limit;
    w->version = 1;
    w->level = (__int128)w->limit.burst * 1000;
    w->reference = w->level;
    for (int i = 0; i < NODES; i++) {
        w->nodes[i].centre = i / PER_CENTRE;
        snprintf(w->nodes[i].name, sizeof(w->nodes[i].name), "n%d", i);
        start_node(w, i);
    }
    return w;
}

static void
destroy_world(world_t *w)
{
    while (w->events != NULL) {
        event_t *event = w->events;
        w->events = event->next;
        free(event);
    }
    for (int i = 0; i < NODES; i++) {
        mr_lease_destroy(w->nodes[i].lease);
        mr_limiter_account_destroy(w->nodes[i].limiter);
    }
    free(w);
}

/* Callers of a node go to the others of its data centre. */
static void
move_load(world_t *w, int index)
{
    node_t *node = &w->nodes[index];

    for (int i = 0; i < NODES; i++) {
        if (i != index && w->nodes[i].centre == node->centre) {
            w->nodes[i].load += node->load / (PER_CENTRE - 1);
        }
    }
    node->load = 0;
}

/* Begin a planned stop: grants go back, and the lease is handed over. */
static void
drain_node(world_t *w, int index)
{
    node_t *node = &w->nodes[index];
    int64_t id;

    node->drained = w->now;
    while ((id = mr_held_grants_drop(&node->local.hold, node_now(w, node)))
           != 0) {
        return_grant(w, node, node->owner, id);
    }
    for (int c = 0; c < CENTRES; c++) {
        while ((id = mr_held_grants_drop(&node->remote[c], node_now(w, node)))
               != 0) {
            return_grant(w, node, node->remote_owner[c], id);
        }
    }
}

static void
kill_node(world_t *w, int index)
{
    node_t *node = &w->nodes[index];

    move_load(w, index);
    node->paused_until = INT64_MAX / 2;
    mr_limit_local_init(&node->local, node_now(w, node));
    forget_remote(node);
}

/* Skewed demand: each node's weight is random, some are idle. */
static void
shift_load(world_t *w, double part)
{
    double weights[NODES];
    double sum = 0;

    for (int i = 0; i < NODES; i++) {
        double x = uniform(w);
        weights[i] = x < 0.2 ? 0 : x * x * x;
        sum += weights[i];
    }
    for (int i = 0; i < NODES; i++) {
        w->nodes[i].load =
            weights[i] / sum * part * (double)w->limit.rate / 1e6;
    }
}

static void
run(world_t *w, mr_ms_t ms, double part, mr_ms_t shift_ms)
{
    mr_ms_t end = w->now + ms;
    mr_ms_t next = w->now;

    while (w->now < end) {
        if (w->now >= next && part > 0) {
            shift_load(w, part);
            next += shift_ms;
        }
        step(w);
    }
}

static void
reset(world_t *w)
{
    w->offered = w->within = w->wrongful = w->admitted = w->writes = 0;
    w->remote_tokens = 0;
}

static double
report(const world_t *w, const char *name, mr_ms_t ms)
{
    double wrongful = 100.0 * (double)w->wrongful / (double)(w->within + 1);

    printf("%-20s offered %6lld admitted %6lld (%lld remote) wrongful %5lld "
           "(%.3f %%), %.2f writes/s, violations %lld\n",
           name, (long long)w->offered, (long long)w->admitted,
           (long long)w->remote_tokens, (long long)w->wrongful, wrongful,
           (double)w->writes * 1000 / (double)ms, (long long)w->violations);
    return wrongful;
}

#endif
