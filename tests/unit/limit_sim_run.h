#ifndef MR_TESTS_LIMIT_SIM_RUN_H
#define MR_TESTS_LIMIT_SIM_RUN_H

/* Steps of the simulation for test_limit_model.c: the limiter role and the
 * clients of each instance, checks, load and faults. */

#include "limit_sim.h"

/* Calls the store. A call that fails on the way there has an unknown outcome
 * too. */
static void
call_store(sim_t *sim, node_t *node, event_kind_t kind, bool write,
           const mr_lease_row_t *lease, const mr_share_row_t *share)
{
    int index = (int)(node - sim->nodes);
    bool cut = sim->store_down || node->store_cut || message_lost(sim);
    event_kind_t reply =
        kind == STORE_LEASE_CALL ? STORE_LEASE_REPLY : STORE_SHARE_REPLY;
    event_t *event =
        cut ? schedule_event(sim, reply, index, index, STORE_TIMEOUT_MS)
            : send_message(sim, kind, index, index);

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
can_release(const node_t *node)
{
    return node->drain_started != 0
           && (node->limiter == NULL
               || mr_limiter_account_stopped(node->limiter));
}

static void
run_limiter(sim_t *sim, node_t *node)
{
    mr_ms_t now = node_now(sim, node);
    const char *order[PER_DATA_CENTRE];
    mr_lease_row_t lease;
    mr_share_row_t share;
    mr_row_action_t action;
    const char *successor;
    size_t count = 0;

    for (int i = 0; i < NODES; i++) {
        if (sim->nodes[i].data_centre == node->data_centre
            && sim->now >= sim->nodes[i].paused_until
            && sim->nodes[i].drain_started == 0) {
            order[count++] = sim->nodes[i].name;
        }
    }
    if (node->drain_started != 0 && node->limiter != NULL) {
        mr_limiter_account_stop(node->limiter, now);
    }
    action = mr_lease_plan(node->lease, order, count, can_release(node), now,
                           &lease);
    if (action != MR_ROW_NONE) {
        call_store(sim, node, STORE_LEASE_CALL, action == MR_ROW_WRITE, &lease,
                   NULL);
    }
    while ((successor = mr_lease_promise_due(node->lease, now)) != NULL) {
        event_t *event =
            send_message(sim, PROMISE_REQUEST, find_node(sim, successor),
                         (int)(node - sim->nodes));
        event->sent = now;
        event->request.process = node->process;
        event->number = mr_lease_epoch(node->lease);
    }
    if (mr_lease_epoch(node->lease) == 0) {
        mr_limiter_account_destroy(node->limiter);
        node->limiter = NULL;
        return;
    }
    if (node->limiter == NULL) {
        char name[8];
        snprintf(name, sizeof(name), "dc%d", node->data_centre);
        node->limiter =
            mr_limiter_account_create(name, mr_lease_epoch(node->lease),
                                      mr_lease_acquired_at(node->lease));
    }
    if (!mr_lease_held(node->lease, now)) {
        return;
    }
    mr_limiter_account_configure(node->limiter, node->version, node->limit);
    action = mr_limiter_account_plan(node->limiter, now, &share);
    if (action != MR_ROW_NONE) {
        call_store(sim, node, STORE_SHARE_CALL, action == MR_ROW_WRITE, NULL,
                   &share);
    }
}

static void
run_clients(sim_t *sim, node_t *node)
{
    mr_ms_t now = node_now(sim, node);
    double chance = node->load * STEP_MS;
    event_t *event;
    mr_grant_request_t request = {.instance = node->name,
                                  .process = node->process};

    while (chance > 0 && uniform(sim) < (chance > 1 ? 1 : chance)) {
        bool within = sim->reference_level >= MILLION;
        sim->reference_level -= within ? MILLION : 0;
        sim->offered++;
        sim->within += within;
        if (mr_limit_local_arrive(&node->local, now)
            || (node->wait_count == 0 && admit_remote(sim, node))) {
            count_admitted(sim);
        }
        else if (node->wait_count < WAITS_MAX) {
            node->waits[node->wait_count] = now;
            node->within[node->wait_count++] = within;
        }
        else {
            sim->wrongful += within;
        }
        chance -= 1;
    }
    if (node->wait_count > 0) {
        serve_held(sim, node);
    }
    request_remote_tokens(sim, node, false);
    return_spent(sim, node);
    if (mr_limit_local_prepare_request(&node->local, node->wait_count, now,
                                       &request)) {
        int index = (int)(node - sim->nodes);
        if (message_lost(sim) || node->limiters_cut
            || sim->now < sim->nodes[node->owner].paused_until) {
            /* The request fails; another member is asked next. */
            event = schedule_event(sim, GRANT_REPLY, index, index,
                                   REQUEST_FAILS_MS);
            event->failed = true;
            node->owner = node->data_centre * PER_DATA_CENTRE
                          + (int)(uniform(sim) * PER_DATA_CENTRE);
        }
        else {
            event = send_message(sim, GRANT_REQUEST, node->owner, index);
        }
        event->request = request;
        event->sent = now;
    }
}

/* Checks that the grants from a data centre that all instances hold, including
 * paused ones, fit into its entry in the row, and the entries into the
 * account's limit. This is stricter than counting admissions, which shows an
 * excess only if demand uses it at that moment. */
static void
check_held_grants(sim_t *sim)
{
    mr_limit_amount_t all = {0};

    for (int c = 0; c < DATA_CENTRES; c++) {
        mr_limit_amount_t sum = {0};
        mr_limit_amount_t entry = {0};
        for (int i = c * PER_DATA_CENTRE; i < (c + 1) * PER_DATA_CENTRE; i++) {
            mr_held_grants_t *hold = &sim->nodes[i].local.grants;
            mr_ms_t now = node_now(sim, &sim->nodes[i]);
            sum.rate += mr_held_grants_rate(hold, now);
            sum.burst += mr_held_grants_level(hold, now);
        }
        for (int i = 0; i < NODES; i++) {
            sum.burst += mr_held_grants_level(&sim->nodes[i].remote[c],
                                              node_now(sim, &sim->nodes[i]));
        }
        for (size_t i = 0; i < sim->share.count; i++) {
            if (sim->share.entries[i].data_centre[2] == '0' + c) {
                entry = sim->share.entries[i].amount;
            }
        }
        all.rate += entry.rate;
        all.burst += entry.burst;
        if (sum.rate > entry.rate || sum.burst > entry.burst) {
            sim->violations++;
        }
    }
    if (all.rate > sim->initial_limit.rate
        || all.burst > sim->initial_limit.burst) {
        sim->violations++;
    }
}

static void
apply_new_limit(sim_t *sim, node_t *node, int index)
{
    mr_ms_t delay = CONFIG_MS * index / NODES;

    if (node->version != sim->version
        && sim->now - sim->limit_changed >= delay) {
        for (int c = 0; c < DATA_CENTRES; c++) {
            mr_held_grants_scale(&node->remote[c], node->limit, sim->limit,
                                 node_now(sim, node));
        }
        node->version = sim->version;
        node->limit = sim->limit;
        mr_limit_local_configure(&node->local, node->limit,
                                 node_now(sim, node));
    }
}

/* Lowers the limit, or raises it to the initial one. */
static void
change_limit(sim_t *sim)
{
    bool low = sim->limit.rate < sim->initial_limit.rate;

    sim->limit.rate =
        low ? sim->initial_limit.rate : sim->initial_limit.rate / 3;
    sim->limit.burst =
        low ? sim->initial_limit.burst : sim->initial_limit.burst / 2;
    sim->max_limit = sim->initial_limit;
    sim->version++;
    sim->limit_changed = sim->now;
}

static void
step(sim_t *sim)
{
    __int128 cap = (__int128)sim->max_limit.burst * 1000;
    __int128 reference = (__int128)sim->limit.burst * 1000;

    sim->now += STEP_MS;
    sim->strict_level += (__int128)sim->max_limit.rate * STEP_MS;
    sim->strict_level = sim->strict_level > cap ? cap : sim->strict_level;
    sim->reference_level += (__int128)sim->limit.rate * STEP_MS;
    sim->reference_level =
        sim->reference_level > reference ? reference : sim->reference_level;
    while (sim->events != NULL && sim->events->due <= sim->now) {
        event_t *event = sim->events;
        node_t *node = &sim->nodes[event->node];
        bool to_store =
            event->kind == STORE_LEASE_CALL || event->kind == STORE_SHARE_CALL;
        sim->events = event->next;
        if (!to_store && sim->now < node->paused_until) {
            enqueue(sim, event, node->paused_until + 1);
            continue;
        }
        if (to_store || event->process == node->process) {
            handle_event(sim, event);
        }
        free(event);
    }
    if (sim->now - sim->limit_changed > LIMIT_SETTLES_MS) {
        sim->max_limit = sim->limit;
    }
    check_held_grants(sim);
    for (int i = 0; i < NODES; i++) {
        if (sim->now >= sim->nodes[i].paused_until) {
            apply_new_limit(sim, &sim->nodes[i], i);
            if (sim->nodes[i].drain_started != 0
                && sim->now - sim->nodes[i].drain_started >= DRAIN_MS) {
                start_node(sim, i);
            }
            if ((sim->now / STEP_MS + i) % LIMITER_STEPS == 0) {
                run_limiter(sim, &sim->nodes[i]);
            }
            run_clients(sim, &sim->nodes[i]);
        }
    }
}

static sim_t *
create_sim(uint64_t seed, int64_t rate, int64_t burst)
{
    sim_t *sim = MR_NEW(sim_t);

    sim->random = seed * 0x9e3779b97f4a7c15ULL;
    sim->limit =
        (mr_limit_amount_t){rate * MR_TOKEN_MILLI, burst * MR_TOKEN_MILLI};
    sim->max_limit = sim->limit;
    sim->initial_limit = sim->limit;
    sim->version = 1;
    sim->strict_level = (__int128)sim->limit.burst * 1000;
    sim->reference_level = sim->strict_level;
    for (int i = 0; i < NODES; i++) {
        sim->nodes[i].data_centre = i / PER_DATA_CENTRE;
        snprintf(sim->nodes[i].name, sizeof(sim->nodes[i].name), "n%d", i);
        start_node(sim, i);
    }
    return sim;
}

static void
destroy_sim(sim_t *sim)
{
    while (sim->events != NULL) {
        event_t *event = sim->events;
        sim->events = event->next;
        free(event);
    }
    for (int i = 0; i < NODES; i++) {
        mr_lease_destroy(sim->nodes[i].lease);
        mr_limiter_account_destroy(sim->nodes[i].limiter);
    }
    free(sim);
}

/* Moves the load of a node to the others in its data centre. */
static void
move_load(sim_t *sim, int index)
{
    node_t *node = &sim->nodes[index];

    for (int i = 0; i < NODES; i++) {
        if (i != index && sim->nodes[i].data_centre == node->data_centre) {
            sim->nodes[i].load += node->load / (PER_DATA_CENTRE - 1);
        }
    }
    node->load = 0;
}

/* Starts a planned stop: returns the grants; the lease is released later. */
static void
drain_node(sim_t *sim, int index)
{
    node_t *node = &sim->nodes[index];
    int64_t id;

    node->drain_started = sim->now;
    while ((id = mr_held_grants_drop(&node->local.grants, node_now(sim, node)))
           != 0) {
        return_grant(sim, node, node->owner, id);
    }
    for (int c = 0; c < DATA_CENTRES; c++) {
        while (
            (id = mr_held_grants_drop(&node->remote[c], node_now(sim, node)))
            != 0) {
            return_grant(sim, node, node->remote_owner[c], id);
        }
    }
}

static void
kill_node(sim_t *sim, int index)
{
    node_t *node = &sim->nodes[index];

    move_load(sim, index);
    node->paused_until = INT64_MAX / 2;
    mr_limit_local_init(&node->local, node_now(sim, node));
    clear_remote(node);
}

/* Distributes @part of the limit's rate unevenly; some nodes are idle. */
static void
randomize_load(sim_t *sim, double part)
{
    double weights[NODES];
    double sum = 0;

    for (int i = 0; i < NODES; i++) {
        double x = uniform(sim);
        weights[i] = x < 0.2 ? 0 : x * x * x;
        sum += weights[i];
    }
    for (int i = 0; i < NODES; i++) {
        sim->nodes[i].load =
            weights[i] / sum * part * (double)sim->limit.rate / 1e6;
    }
}

static void
run(sim_t *sim, mr_ms_t ms, double part, mr_ms_t shift_ms)
{
    mr_ms_t end = sim->now + ms;
    mr_ms_t next = sim->now;

    while (sim->now < end) {
        if (sim->now >= next && part > 0) {
            randomize_load(sim, part);
            next += shift_ms;
        }
        step(sim);
    }
}

static void
reset_counts(sim_t *sim)
{
    sim->offered = sim->within = sim->wrongful = sim->admitted = sim->writes =
        0;
    sim->remote_tokens = 0;
}

static double
print_report(const sim_t *sim, const char *name, mr_ms_t ms)
{
    double wrongful =
        100.0 * (double)sim->wrongful / (double)(sim->within + 1);

    printf("%-20s offered %6lld admitted %6lld (%lld remote) wrongful %5lld "
           "(%.3f %%), %.2f writes/s, violations %lld\n",
           name, (long long)sim->offered, (long long)sim->admitted,
           (long long)sim->remote_tokens, (long long)sim->wrongful, wrongful,
           (double)sim->writes * 1000 / (double)ms,
           (long long)sim->violations);
    return wrongful;
}

#endif
