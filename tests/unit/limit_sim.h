#ifndef MR_TESTS_LIMIT_SIM_H
#define MR_TESTS_LIMIT_SIM_H

/* Simulation for test_limit_model.c, in steps of STEP_MS: an in-memory store,
 * a network that loses and delays messages, and the instances' handling of
 * messages. limit_sim_run.h has the steps of the simulation. */

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "limit/lease.h"
#include "limit/limiter_account.h"
#include "limit/local.h"

enum {
    DATA_CENTRES = 3,
    PER_DATA_CENTRE = 4,
    NODES = DATA_CENTRES * PER_DATA_CENTRE,
    STEP_MS = 2,
    /* Time until only a lowered limit is in force. An instance applies it when
     * it receives the configuration, but a limiter that has not received it
     * yet can issue LONG grants under the old limit. They last for their
     * lifetime, and as long again if a successor replaces them. */
    LIMIT_SETTLES_MS = 200000,
    STORE_TIMEOUT_MS = 1000,
    REQUEST_FAILS_MS = 40,
    REMOTE_DELAY_MS = 6,     /* other data centres are asked after it */
    REMOTE_INTERVAL_MS = 20, /* between requests to one data centre */
    REMOTE_AHEAD_MS = 100,
    REMOTE_PARALLEL = 3,
    DRAIN_MS = 400,     /* from the start of a planned stop to the restart */
    CONFIG_MS = 3000,   /* until every instance has a new configuration */
    LIMITER_STEPS = 10, /* steps between two runs of the limiter role */
    WAITS_MAX = 256,
    MILLION = 1000000,
};

typedef enum event_kind {
    STORE_LEASE_CALL,
    STORE_SHARE_CALL,
    STORE_LEASE_REPLY,
    STORE_SHARE_REPLY,
    GRANT_REQUEST,
    GRANT_REPLY,
    REMOTE_GRANT_REPLY, /* from a limiter of another data centre */
    GRANT_RETURN,
    PROMISE_REQUEST,
    PROMISE_REPLY,
} event_kind_t;

typedef struct event {
    struct event *next;
    mr_ms_t due;
    event_kind_t kind;
    int node;        /* receiver, or the sender of a store call */
    int peer;        /* sender */
    int64_t process; /* of the receiver; a restart discards its messages */
    bool write;
    bool failed;
    mr_row_result_t result;
    mr_ms_t sent; /* on the requester's clock */
    mr_lease_row_t lease;
    mr_share_row_t share;
    mr_grant_request_t request;
    mr_msg_grant_item_t items[MR_GRANT_ITEMS_MAX];
    size_t count;
    bool refused;
    int64_t number; /* epoch, id or duration */
} event_t;

typedef struct node {
    int data_centre;
    char name[16];
    int64_t process;
    mr_ms_t clock_offset;
    mr_ms_t paused_until;
    mr_ms_t drain_started; /* start of a planned stop; 0: none */
    bool store_cut;        /* no connection to the store */
    bool limiters_cut;     /* no connection to any limiter */
    mr_lease_t *lease;
    mr_limiter_account_t *limiter;
    mr_limit_local_t local;
    int owner;                             /* assumed limiter */
    mr_held_grants_t remote[DATA_CENTRES]; /* from other data centres */
    int remote_owner[DATA_CENTRES];
    mr_ms_t remote_requested_at[DATA_CENTRES];
    /* When the last refused requests were sent. */
    mr_ms_t remote_refused_sent_at[DATA_CENTRES];
    mr_ms_t own_refused_sent_at;
    mr_ms_t waits[WAITS_MAX]; /* arrival times of held client requests */
    bool within[WAITS_MAX];   /* admitted by the reference bucket */
    size_t wait_count;
    double load; /* requests per ms */
    mr_limit_amount_t limit;
    int64_t version;
} node_t;

typedef struct sim {
    mr_ms_t now;
    uint64_t random;
    event_t *events;
    node_t nodes[NODES];
    mr_lease_row_t leases[DATA_CENTRES];
    mr_share_row_t share;
    mr_limit_amount_t limit;
    int64_t version;
    bool store_down;
    bool partitioned;                /* data centres do not reach each other */
    double loss;                     /* fraction of messages that are lost */
    double delayed;                  /* fraction of messages that take long */
    mr_ms_t limit_changed;           /* when the limit was last changed */
    mr_limit_amount_t initial_limit; /* the highest limit */
    mr_limit_amount_t max_limit;     /* highest limit that may be in force */
    /* Level in millionths of a token of a bucket from which each admitted
     * request takes a token. A negative level is a violation. */
    __int128 strict_level;
    /* Level of a bucket that all offered requests use. It decides which
     * refusals are wrongful. */
    __int128 reference_level;
    int64_t offered;
    int64_t within; /* admitted by the reference bucket */
    int64_t wrongful, admitted, writes, violations;
    int64_t remote_tokens; /* requests admitted with remote tokens */
} sim_t;

static double
uniform(sim_t *sim)
{
    sim->random ^= sim->random << 13;
    sim->random ^= sim->random >> 7;
    sim->random ^= sim->random << 17;
    return (double)(sim->random >> 11) / 9007199254740992.0;
}

static mr_ms_t
node_now(const sim_t *sim, const node_t *node)
{
    return sim->now + node->clock_offset;
}

/* Inserts an event into the queue, which is sorted by time. */
static void
enqueue(sim_t *sim, event_t *event, mr_ms_t due)
{
    event_t **at = &sim->events;

    event->due = due;
    while (*at != NULL && (*at)->due <= due) {
        at = &(*at)->next;
    }
    event->next = *at;
    *at = event;
}

static event_t *
schedule_event(sim_t *sim, event_kind_t kind, int node, int peer,
               mr_ms_t delay)
{
    event_t *event = MR_NEW(event_t);

    event->kind = kind;
    event->node = node;
    event->peer = peer;
    event->process = sim->nodes[node].process;
    enqueue(sim, event, sim->now + delay);
    return event;
}

static event_t *
send_message(sim_t *sim, event_kind_t kind, int node, int peer)
{
    mr_ms_t delay = 1 + (mr_ms_t)(uniform(sim) * 3);

    if (uniform(sim) < sim->delayed) {
        delay += (mr_ms_t)(uniform(sim) * (uniform(sim) < 0.7 ? 900 : 20000));
    }
    return schedule_event(sim, kind, node, peer, delay);
}

static void
clear_remote(node_t *node)
{
    memset(node->remote, 0, sizeof(node->remote));
    memset(node->remote_requested_at, 0, sizeof(node->remote_requested_at));
    memset(node->remote_refused_sent_at, 0,
           sizeof(node->remote_refused_sent_at));
    for (int c = 0; c < DATA_CENTRES; c++) {
        node->remote_owner[c] = c * PER_DATA_CENTRE;
    }
    node->own_refused_sent_at = 0;
}

static void
start_node(sim_t *sim, int index)
{
    node_t *node = &sim->nodes[index];

    mr_lease_destroy(node->lease);
    mr_limiter_account_destroy(node->limiter);
    node->limiter = NULL;
    node->process = 1 + (int64_t)(uniform(sim) * 1e15);
    node->clock_offset = 1000 + (mr_ms_t)(uniform(sim) * 1e9);
    node->lease = mr_lease_create(node->name, node->process);
    node->owner = index;
    node->wait_count = 0;
    node->drain_started = 0;
    node->limit = sim->limit;
    node->version = sim->version;
    clear_remote(node);
    mr_limit_local_init(&node->local, node_now(sim, node));
    mr_limit_local_configure(&node->local, node->limit, node_now(sim, node));
}

static bool
message_lost(sim_t *sim)
{
    return uniform(sim) < sim->loss;
}

/* Counts an admission. The strict bucket starts full, so its level is negative
 * exactly if more than burst + rate x t were admitted in some interval. */
static void
count_admitted(sim_t *sim)
{
    sim->admitted++;
    sim->strict_level -= MILLION;
    if (sim->strict_level < 0) {
        sim->violations++;
    }
}

static bool
admit_remote(sim_t *sim, node_t *node)
{
    for (int c = 0; c < DATA_CENTRES; c++) {
        if (mr_held_grants_admit(&node->remote[c], node_now(sim, node))) {
            sim->remote_tokens++;
            return true;
        }
    }
    return false;
}

/* All limiters have refused a request that was sent at this time or later. */
static mr_ms_t
refused_until(const node_t *node)
{
    mr_ms_t until = node->own_refused_sent_at;

    for (int c = 0; c < DATA_CENTRES; c++) {
        if (c != node->data_centre
            && node->remote_refused_sent_at[c] < until) {
            until = node->remote_refused_sent_at[c];
        }
    }
    return until;
}

static void
serve_held(sim_t *sim, node_t *node)
{
    mr_ms_t now = node_now(sim, node);
    mr_ms_t refuse_until = refused_until(node);
    size_t kept = 0;

    for (size_t i = 0; i < node->wait_count; i++) {
        if (mr_held_grants_admit(&node->local.grants, now)
            || admit_remote(sim, node)) {
            count_admitted(sim);
        }
        else if (node->waits[i] <= refuse_until
                 || now - node->waits[i] >= MR_LIMIT_HOLD_MS) {
            sim->wrongful += node->within[i];
        }
        else {
            node->waits[kept] = node->waits[i];
            node->within[kept++] = node->within[i];
        }
    }
    node->wait_count = kept;
}

static void
handle_lease_call(sim_t *sim, event_t *event)
{
    mr_lease_row_t *row = &sim->leases[sim->nodes[event->node].data_centre];
    event_t *reply;
    mr_row_result_t result = MR_ROW_WRITTEN;

    if (event->write) {
        if (row->revision == event->lease.revision) {
            *row = event->lease;
            row->revision++;
            sim->writes++;
        }
        else {
            result = MR_ROW_CONFLICT;
        }
    }
    reply = send_message(sim, STORE_LEASE_REPLY, event->node, event->node);
    reply->process = event->process;
    reply->write = event->write;
    reply->failed = message_lost(sim);
    reply->result = reply->failed ? MR_ROW_UNKNOWN : result;
    reply->lease = *row;
}

static void
handle_share_call(sim_t *sim, event_t *event)
{
    event_t *reply;
    mr_row_result_t result = MR_ROW_WRITTEN;

    if (event->write) {
        if (sim->share.revision == event->share.revision) {
            sim->share = event->share;
            sim->share.revision++;
            sim->writes++;
        }
        else {
            result = MR_ROW_CONFLICT;
        }
    }
    reply = send_message(sim, STORE_SHARE_REPLY, event->node, event->node);
    reply->process = event->process;
    reply->write = event->write;
    reply->failed = message_lost(sim);
    reply->result = reply->failed ? MR_ROW_UNKNOWN : result;
    reply->share = sim->share;
}

static int
find_node(const sim_t *sim, const char *name)
{
    for (int i = 0; i < NODES; i++) {
        if (strcmp(sim->nodes[i].name, name) == 0) {
            return i;
        }
    }
    return -1;
}

static void
handle_grant_request(sim_t *sim, node_t *node, event_t *event)
{
    mr_ms_t now = node_now(sim, node);
    bool remote = event->request.tokens_only;
    event_t *reply =
        send_message(sim, remote ? REMOTE_GRANT_REPLY : GRANT_REPLY,
                     event->peer, event->node);

    reply->sent = event->sent;
    reply->process = event->request.process;
    reply->number = find_node(sim, mr_lease_owner(node->lease));
    if (node->limiter != NULL && node->drain_started == 0
        && mr_lease_held(node->lease, now)) {
        reply->count = mr_limiter_account_handle_request(
            node->limiter, &event->request, now, reply->items,
            &reply->refused);
        reply->number = event->node;
    }
    reply->failed = message_lost(sim);
}

static void
return_grant(sim_t *sim, node_t *node, int owner, int64_t id)
{
    event_t *event =
        send_message(sim, GRANT_RETURN, owner, (int)(node - sim->nodes));

    event->request.process = node->process;
    event->number = id;
}

static void
return_spent(sim_t *sim, node_t *node)
{
    mr_ms_t now = node_now(sim, node);
    int64_t id;

    while ((id = mr_held_grants_take_spent(&node->local.grants, now)) != 0) {
        return_grant(sim, node, node->owner, id);
    }
    for (int c = 0; c < DATA_CENTRES; c++) {
        while ((id = mr_held_grants_take_spent(&node->remote[c], now)) != 0) {
            return_grant(sim, node, node->remote_owner[c], id);
        }
    }
}

/* Like mr_limit_remotes_request(), which does I/O. */
static void
request_remote_tokens(sim_t *sim, node_t *node, bool at_once)
{
    mr_ms_t now = node_now(sim, node);
    int64_t requested = 0;

    if (node->wait_count == 0
        || (!at_once && now - node->waits[0] < REMOTE_DELAY_MS)) {
        return;
    }
    int64_t wanted = (int64_t)node->wait_count
                     + node->local.demand * REMOTE_AHEAD_MS / MILLION;
    int64_t part = (wanted + REMOTE_PARALLEL - 1) / REMOTE_PARALLEL;
    for (int i = 1; i < DATA_CENTRES && requested < wanted; i++) {
        int c = (node->data_centre + i) % DATA_CENTRES;
        if (now - node->remote_requested_at[c] < REMOTE_INTERVAL_MS) {
            continue;
        }
        node->remote_requested_at[c] = now;
        requested += part;
        if (sim->partitioned || message_lost(sim)
            || sim->now < sim->nodes[node->remote_owner[c]].paused_until) {
            node->remote_owner[c] =
                c * PER_DATA_CENTRE + (int)(uniform(sim) * PER_DATA_CENTRE);
            continue;
        }
        event_t *event =
            send_message(sim, GRANT_REQUEST, node->remote_owner[c],
                         (int)(node - sim->nodes));
        event->sent = now;
        event->request = (mr_grant_request_t){.instance = node->name,
                                              .process = node->process,
                                              .wanted = part,
                                              .tokens_only = true};
    }
}

static void
handle_remote_reply(sim_t *sim, node_t *node, const event_t *event)
{
    int c = sim->nodes[event->peer].data_centre;

    return_spent(sim, node);
    if (event->failed) {
        return;
    }
    if (event->number >= 0) {
        node->remote_owner[c] = (int)event->number;
    }
    for (size_t i = 0; i < event->count; i++) {
        mr_held_grants_accept(&node->remote[c], &event->items[i], event->sent,
                              node_now(sim, node));
    }
    if (event->refused) {
        node->remote_refused_sent_at[c] = event->sent;
    }
    serve_held(sim, node);
    request_remote_tokens(sim, node, true);
}

static void
handle_event(sim_t *sim, event_t *event)
{
    node_t *node = &sim->nodes[event->node];
    mr_ms_t now = node_now(sim, node);
    event_t *reply;

    switch (event->kind) {
    case STORE_LEASE_CALL:
        handle_lease_call(sim, event);
        break;
    case STORE_SHARE_CALL:
        handle_share_call(sim, event);
        break;
    case STORE_LEASE_REPLY:
        if (event->write) {
            mr_lease_written(node->lease, event->result, event->lease.revision,
                             now);
        }
        else {
            mr_lease_read(node->lease, event->failed ? NULL : &event->lease,
                          now);
        }
        break;
    case STORE_SHARE_REPLY:
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
    case GRANT_REQUEST:
        handle_grant_request(sim, node, event);
        break;
    case GRANT_REPLY:
        if (event->failed) {
            event->count = 0;
        }
        else if (event->number >= 0) {
            node->owner = (int)event->number;
        }
        return_spent(sim, node);
        mr_limit_local_reply(&node->local, event->items, event->count,
                             event->sent, now);
        if (event->refused && !event->failed) {
            node->own_refused_sent_at = event->sent;
        }
        serve_held(sim, node);
        request_remote_tokens(sim, node, true);
        break;
    case REMOTE_GRANT_REPLY:
        handle_remote_reply(sim, node, event);
        break;
    case GRANT_RETURN:
        if (node->limiter != NULL) {
            mr_limiter_account_return_grant(
                node->limiter, sim->nodes[event->peer].name,
                event->request.process, event->number, now);
        }
        break;
    case PROMISE_REQUEST:
        reply = send_message(sim, PROMISE_REPLY, event->peer, event->node);
        reply->sent = event->sent;
        reply->process = event->request.process;
        reply->number = mr_lease_make_promise(node->lease, event->number, now);
        break;
    case PROMISE_REPLY:
        mr_lease_promise_received(node->lease, sim->nodes[event->peer].name,
                                  event->sent, event->number);
        break;
    }
}

#endif
