#include "group/observer.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/mem.h"
#include "group/election.h"
#include "group/pace.h"

enum {
    PROBE_INTERVAL_MS = 100,
    /* The slower replicas are probed for a write when the faster ones have not
     * reported it after twice their expected delay plus this margin. */
    FALLBACK_MARGIN_MS = 20,
    PROBE_TIMEOUT_MS = 250,
    RETRY_DELAY_MS = 40,
    TICK_MS = 25,
};

typedef struct probe {
    mr_observer_t *observer;
    size_t index;
    char *name;
    char *address;
    char *data_centre;
    mr_target_conn_t *conn;
    bool in_flight;
    mr_ms_t sent_at;
    /* Send time of the newest answered request other than a probe. */
    mr_ms_t report_sent_at;
    mr_ms_t retry_at; /* no probe before this time */
    mr_ms_t timer_at; /* when the timer fires */
    uint64_t seq;     /* of the last probe sent */
    mr_pace_t pace;
    struct event *timer;
} probe_t;

struct mr_observer {
    mr_observer_options_t options;
    char *group;
    mr_view_t view;
    probe_t probes[MR_VIEW_TARGETS_MAX];
    uint64_t probe_seq; /* of the last probe sent to any target */
    mr_list_t waits;
    struct event *tick_timer;
    struct event *check_event; /* runs check_waits() from the event loop */
    mr_election_t *election;
    mr_counter_t *probe_count;
    mr_traffic_t traffic;
};

struct mr_observer_wait {
    mr_list_t link;
    mr_observer_condition_t condition;
    mr_ms_t started_at;
    uint64_t probe_seq; /* only later probes can confirm */
    bool met;
    mr_observer_fn_t fn;
    void *ctx;
};

static void send_probe(probe_t *probe);

static void
set_timer(probe_t *probe, mr_ms_t at, mr_ms_t now)
{
    struct timeval tv = mr_clock_timeval(at - now);

    probe->timer_at = at;
    evtimer_add(probe->timer, &tv);
}

/** The earliest probe of one target that pending waits require. */
typedef struct demand {
    bool exists;
    mr_ms_t due;             /* when to probe the target */
    mr_ms_t wait_started_at; /* of the wait that is due first */
} demand_t;

static void
add_demand(demand_t *demand, const mr_observer_wait_t *wait, mr_ms_t due)
{
    if (!demand->exists || due < demand->due) {
        demand->exists = true;
        demand->due = due;
        demand->wait_started_at = wait->started_at;
    }
}

static bool
holds_write(const mr_observer_t *observer, size_t index,
            const mr_observer_condition_t *c)
{
    const mr_view_target_t *target = &observer->view.targets[index];

    return target->known && target->state.last_term == c->term
           && target->state.position >= c->position;
}

/* Whether @a is expected to report a write before @b. */
static bool
reports_before(const mr_observer_t *observer, size_t a, size_t b, mr_ms_t now)
{
    bool a_reachable = mr_view_reachable(&observer->view, a, now);
    bool b_reachable = mr_view_reachable(&observer->view, b, now);
    double a_delay = mr_pace_report_delay(&observer->probes[a].pace);
    double b_delay = mr_pace_report_delay(&observer->probes[b].pace);

    if (a_reachable != b_reachable) {
        return a_reachable;
    }
    return a_delay < b_delay || (a_delay <= b_delay && a < b);
}

/*
 * Time from a write to the first probe of a target for it; -1 when the target
 * need not be probed. A write needs reports from as many replicas as complete
 * a majority. The replicas expected to report first are probed; the others
 * only when these are late.
 */
static mr_ms_t
write_probe_delay(const mr_observer_t *observer,
                  const mr_observer_condition_t *c, size_t index, mr_ms_t now)
{
    size_t missing = mr_view_majority(&observer->view) - 1;
    size_t faster = 0;
    double max_delay_ms = 0;

    if (index == c->index || holds_write(observer, index, c)) {
        return -1;
    }
    for (size_t i = 0; i < observer->view.count; i++) {
        if (i == c->index || i == index) {
            continue;
        }
        if (holds_write(observer, i, c)) {
            if (--missing == 0) {
                return -1;
            }
        }
        else if (reports_before(observer, i, index, now)) {
            double delay_ms = mr_pace_report_delay(&observer->probes[i].pace);
            faster++;
            max_delay_ms = delay_ms > max_delay_ms ? delay_ms : max_delay_ms;
        }
    }
    mr_ms_t first_delay = mr_pace_first_delay(&observer->probes[index].pace);
    mr_ms_t fallback = 2 * (mr_ms_t)max_delay_ms + FALLBACK_MARGIN_MS;
    return faster >= missing && first_delay < fallback ? fallback
                                                       : first_delay;
}

static void
add_wait_demand(const mr_observer_t *observer, const mr_observer_wait_t *wait,
                size_t index, mr_ms_t now, demand_t *demand)
{
    const probe_t *probe = &observer->probes[index];
    const mr_view_target_t *target = &observer->view.targets[index];
    const mr_observer_condition_t *c = &wait->condition;
    mr_ms_t next = probe->sent_at + mr_pace_interval(&probe->pace);
    mr_ms_t delay = -1;

    switch (c->kind) {
    case MR_WAIT_ACKNOWLEDGED:
        delay = write_probe_delay(observer, c, index, now);
        break;
    case MR_WAIT_CONFIRMED:
        /* The answer need not show a write, so there is no lag to wait for and
         * the minimum probe interval does not apply. */
        if (target->probe_seq <= wait->probe_seq) {
            add_demand(demand, wait, wait->started_at);
        }
        break;
    case MR_WAIT_COVERED:
        if (c->index == index
            && !(target->known
                 && mr_log_state_covers(&target->state, c->term,
                                        c->position))) {
            delay = 0;
        }
        break;
    case MR_WAIT_PRIMARY:
        break;
    }
    if (delay >= 0) {
        mr_ms_t due = wait->started_at + delay;
        add_demand(demand, wait, due > next ? due : next);
    }
}

static demand_t
compute_demand(const mr_observer_t *observer, size_t index, mr_ms_t now)
{
    demand_t demand = {.exists = false};

    MR_LIST_FOREACH(it, &observer->waits)
    {
        add_wait_demand(observer, MR_LIST_ENTRY(it, mr_observer_wait_t, link),
                        index, now, &demand);
    }
    return demand;
}

/* Time of the target's next probe. */
static mr_ms_t
next_probe(const probe_t *probe, const demand_t *demand)
{
    mr_ms_t last = probe->report_sent_at > probe->sent_at
                       ? probe->report_sent_at
                       : probe->sent_at;
    mr_ms_t at = last + PROBE_INTERVAL_MS;

    if (demand->exists && demand->due < at) {
        at = demand->due;
    }
    return at > probe->retry_at ? at : probe->retry_at;
}

typedef enum wait_state {
    WAIT_PENDING,
    WAIT_MET,
    WAIT_FAILED,
} wait_state_t;

static wait_state_t
examine_wait(const mr_observer_t *observer, const mr_observer_wait_t *wait,
             mr_ms_t now)
{
    const mr_observer_condition_t *c = &wait->condition;
    const mr_view_t *view = &observer->view;
    int64_t term = 0;

    switch (c->kind) {
    case MR_WAIT_ACKNOWLEDGED:
        if (mr_view_acknowledged(view, c->index, c->term, c->position)) {
            return WAIT_MET;
        }
        if (mr_view_superseded(view, c->term)) {
            return WAIT_FAILED;
        }
        break;
    case MR_WAIT_CONFIRMED:
        if (mr_view_confirmed(view, c->term, wait->probe_seq)) {
            return WAIT_MET;
        }
        if (mr_view_highest_term(view) > c->term) {
            return WAIT_FAILED;
        }
        break;
    case MR_WAIT_COVERED:
        if (c->index >= view->count) {
            return WAIT_FAILED;
        }
        if (view->targets[c->index].known
            && mr_log_state_covers(&view->targets[c->index].state, c->term,
                                   c->position)) {
            return WAIT_MET;
        }
        break;
    case MR_WAIT_PRIMARY:
        if (mr_observer_primary(observer, &term, false) != NULL
            && term > c->term) {
            return WAIT_MET;
        }
        break;
    }
    return now >= c->deadline ? WAIT_FAILED : WAIT_PENDING;
}

static void
check_waits(mr_observer_t *observer)
{
    mr_ms_t now = mr_clock_now(NULL);
    mr_list_t ended;
    mr_list_t *link;

    mr_list_init(&ended);
    MR_LIST_FOREACH(it, &observer->waits)
    {
        mr_observer_wait_t *wait = MR_LIST_ENTRY(it, mr_observer_wait_t, link);
        wait_state_t state = examine_wait(observer, wait, now);
        if (state != WAIT_PENDING) {
            mr_list_remove(it);
            wait->met = state == WAIT_MET;
            mr_list_append(&ended, it);
        }
    }
    while ((link = mr_list_pop(&ended)) != NULL) {
        mr_observer_wait_t *wait =
            MR_LIST_ENTRY(link, mr_observer_wait_t, link);
        wait->fn(wait->ctx, wait->met);
        free(wait);
    }
}

static void
on_check(evutil_socket_t fd, short what, void *ctx)
{
    (void)fd;
    (void)what;
    check_waits(ctx);
}

/* Records a probe's answer and updates the pacing of the target's probes.
 * Returns the remaining demand. */
static demand_t
record_probe_answer(probe_t *probe, const mr_log_state_t *state, mr_ms_t now)
{
    mr_observer_t *observer = probe->observer;
    const mr_view_target_t *target = &observer->view.targets[probe->index];
    bool advanced =
        !target->known || mr_log_state_compare(state, &target->state) > 0;

    mr_view_record_state(&observer->view, probe->index, state, probe->sent_at,
                         probe->seq, now);
    mr_pace_record_rtt(&probe->pace, now - probe->sent_at);
    mr_pace_record_state(&probe->pace, state, probe->sent_at);
    demand_t demand = compute_demand(observer, probe->index, now);
    if (advanced || !demand.exists) {
        mr_pace_reset_backoff(&probe->pace);
    }
    else {
        mr_pace_probe_missed(&probe->pace,
                             probe->sent_at - demand.wait_started_at);
    }
    return demand;
}

static void
on_probe_reply(void *ctx, const mr_target_reply_t *reply)
{
    probe_t *probe = ctx;
    mr_observer_t *observer = probe->observer;
    mr_ms_t now = mr_clock_now(NULL);
    demand_t demand = {.exists = false};

    probe->in_flight = false;
    if (reply->error == MR_OK && reply->has_state) {
        demand = record_probe_answer(probe, &reply->state, now);
    }
    else {
        if (reply->error == MR_ERR_UNAVAILABLE) {
            mr_view_record_refusal(&observer->view, probe->index);
        }
        mr_target_conn_destroy(probe->conn);
        probe->conn = NULL;
        probe->retry_at = now + RETRY_DELAY_MS;
    }
    set_timer(probe, next_probe(probe, &demand), now);
    event_active(observer->check_event, 0, 0);
}

static void
send_probe(probe_t *probe)
{
    mr_observer_t *observer = probe->observer;
    mr_target_request_t request = {.operation = MR_TARGET_STATUS,
                                   .timeout = PROBE_TIMEOUT_MS};
    mr_ms_t now = mr_clock_now(NULL);

    if (probe->in_flight) {
        return;
    }
    if (probe->conn != NULL && !mr_target_conn_usable(probe->conn)) {
        mr_target_conn_destroy(probe->conn);
        probe->conn = NULL;
    }
    if (probe->conn == NULL) {
        probe->conn =
            mr_target_conn_create(observer->options.base, probe->address);
        if (probe->conn == NULL) {
            set_timer(probe, now + PROBE_INTERVAL_MS, now);
            return;
        }
        mr_target_conn_set_traffic(probe->conn, &observer->traffic);
    }
    evtimer_del(probe->timer);
    probe->in_flight = true;
    probe->sent_at = now;
    probe->seq = ++observer->probe_seq;
    mr_counter_add(observer->probe_count, 1);
    mr_target_conn_send(probe->conn, &request, on_probe_reply, probe);
}

static void
on_probe_timer(evutil_socket_t fd, short what, void *ctx)
{
    probe_t *probe = ctx;
    mr_ms_t now = mr_clock_now(NULL);
    demand_t demand = compute_demand(probe->observer, probe->index, now);
    mr_ms_t at = next_probe(probe, &demand);

    (void)fd;
    (void)what;
    /* Answers to statements may have made the probe unnecessary. */
    if (at > now) {
        set_timer(probe, at, now);
    }
    else {
        send_probe(probe);
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *ctx)
{
    mr_observer_t *observer = ctx;
    struct timeval tv = mr_clock_timeval(TICK_MS);

    (void)fd;
    (void)what;
    for (size_t i = 0; i < observer->view.count; i++) {
        /* Only set here: mr_observer_update() sets and clears the flag from
         * the configuration. */
        if (mr_members_target_leaving(observer->options.members,
                                      observer->probes[i].name)) {
            observer->view.targets[i].leaving = true;
        }
    }
    mr_election_tick(observer->election, &observer->view);
    check_waits(observer);
    evtimer_add(observer->tick_timer, &tv);
}

static void
on_election_state(void *ctx, size_t index, const mr_log_state_t *state,
                  mr_ms_t sent_at)
{
    mr_observer_report(ctx, index, state, sent_at);
}

/* Lets a promotion use the probes' connections: opening one can take tens of
 * milliseconds, which would lengthen the failover. */
static mr_target_conn_t *
on_election_acquire(void *ctx, size_t index)
{
    mr_observer_t *observer = ctx;
    probe_t *probe = &observer->probes[index];
    mr_target_conn_t *conn = probe->conn;

    if (probe->in_flight || conn == NULL || !mr_target_conn_usable(conn)) {
        return NULL;
    }
    probe->conn = NULL;
    probe->retry_at = mr_clock_now(NULL) + PROBE_INTERVAL_MS;
    return conn;
}

static void
on_election_release(void *ctx, size_t index, mr_target_conn_t *conn)
{
    mr_observer_t *observer = ctx;
    probe_t *probe = &observer->probes[index];

    if (probe->conn != NULL) {
        mr_target_conn_destroy(conn);
        return;
    }
    probe->conn = conn;
    probe->retry_at = 0;
}

static void
on_election_promoted(void *ctx, const mr_promotion_result_t *result)
{
    mr_observer_t *observer = ctx;
    const char *target = observer->probes[result->candidate].name;

    observer->options.on_promoted(observer->options.ctx, observer->group,
                                  result->term, target);
    for (size_t i = 0; i < observer->view.count; i++) {
        send_probe(&observer->probes[i]);
    }
}

static bool
on_election_writing(void *ctx)
{
    const mr_observer_t *observer = ctx;

    return observer->options.is_writing(observer->options.ctx,
                                        observer->group);
}

static void
open_probe(mr_observer_t *observer, size_t index,
           const mr_config_target_t *target)
{
    probe_t *probe = &observer->probes[index];

    probe->observer = observer;
    probe->index = index;
    probe->name = mr_strdup(target->name);
    probe->address = mr_strdup(target->address);
    probe->data_centre = mr_strdup(target->data_centre);
    probe->timer = evtimer_new(observer->options.base, on_probe_timer, probe);
    set_timer(probe, 0, 0);
}

static void
close_probe(probe_t *probe)
{
    event_free(probe->timer);
    if (probe->conn != NULL) {
        mr_target_conn_destroy(probe->conn);
    }
    free(probe->name);
    free(probe->address);
    free(probe->data_centre);
    memset(probe, 0, sizeof(*probe));
}

static void
start_group(mr_observer_t *observer, const mr_config_group_t *group)
{
    mr_election_target_t targets[MR_VIEW_TARGETS_MAX];

    assert(group->target_count <= MR_VIEW_TARGETS_MAX);
    mr_view_init(&observer->view, group->target_count);
    for (size_t i = 0; i < group->target_count; i++) {
        open_probe(observer, i, &group->targets[i]);
        observer->view.targets[i].leaving = group->targets[i].leaving;
        targets[i] = (mr_election_target_t){observer->probes[i].name,
                                            observer->probes[i].address,
                                            observer->probes[i].data_centre};
    }
    mr_election_options_t options = {
        .base = observer->options.base,
        .counters = observer->options.counters,
        .peer = observer->options.peer,
        .members = observer->options.members,
        .name = observer->options.name,
        .group = observer->group,
        .targets = targets,
        .count = group->target_count,
        .on_state = on_election_state,
        .acquire_conn = on_election_acquire,
        .release_conn = on_election_release,
        .on_promoted = on_election_promoted,
        .is_writing = on_election_writing,
        .ctx = observer,
    };
    observer->election = mr_election_create(&options);
}

static void
stop_group(mr_observer_t *observer)
{
    mr_election_destroy(observer->election);
    observer->election = NULL;
    for (size_t i = 0; i < observer->view.count; i++) {
        close_probe(&observer->probes[i]);
    }
}

mr_observer_t *
mr_observer_create(const mr_observer_options_t *options,
                   const mr_config_group_t *group)
{
    mr_observer_t *observer = MR_NEW(mr_observer_t);
    struct timeval tv = mr_clock_timeval(TICK_MS);

    observer->options = *options;
    observer->group = mr_strdup(group->name);
    mr_list_init(&observer->waits);
    observer->probe_count =
        mr_counters_get(options->counters, "masticrelay_probes_total", "",
                        "status requests sent to targets");
    observer->traffic = mr_traffic_create(options->counters, "probe");
    observer->check_event =
        event_new(options->base, -1, 0, on_check, observer);
    observer->tick_timer = evtimer_new(options->base, on_tick, observer);
    evtimer_add(observer->tick_timer, &tv);
    start_group(observer, group);
    return observer;
}

void
mr_observer_destroy(mr_observer_t *observer)
{
    mr_list_t *link;

    if (observer == NULL) {
        return;
    }
    stop_group(observer);
    while ((link = mr_list_pop(&observer->waits)) != NULL) {
        mr_observer_wait_t *wait =
            MR_LIST_ENTRY(link, mr_observer_wait_t, link);
        wait->fn(wait->ctx, false);
        free(wait);
    }
    event_free(observer->tick_timer);
    event_free(observer->check_event);
    free(observer->group);
    free(observer);
}

static bool
same_targets(const mr_observer_t *observer, const mr_config_group_t *group)
{
    if (group->target_count != observer->view.count) {
        return false;
    }
    for (size_t i = 0; i < group->target_count; i++) {
        const probe_t *probe = &observer->probes[i];
        const mr_config_target_t *target = &group->targets[i];
        if (strcmp(probe->name, target->name) != 0
            || strcmp(probe->address, target->address) != 0
            || strcmp(probe->data_centre, target->data_centre) != 0) {
            return false;
        }
    }
    return true;
}

void
mr_observer_update(mr_observer_t *observer, const mr_config_group_t *group)
{
    if (!same_targets(observer, group)) {
        stop_group(observer);
        start_group(observer, group);
        return;
    }
    for (size_t i = 0; i < group->target_count; i++) {
        observer->view.targets[i].leaving = group->targets[i].leaving;
    }
}

const mr_view_t *
mr_observer_view(const mr_observer_t *observer)
{
    return &observer->view;
}

const char *
mr_observer_target_name(const mr_observer_t *observer, size_t index)
{
    return index < observer->view.count ? observer->probes[index].name : "";
}

const char *
mr_observer_primary(const mr_observer_t *observer, int64_t *term,
                    bool include_leaving)
{
    size_t index = mr_view_primary(&observer->view, mr_clock_now(NULL));

    if (index == MR_VIEW_NONE
        || (!include_leaving && mr_view_leaving(&observer->view, index))) {
        return NULL;
    }
    *term = observer->view.targets[index].state.term;
    return observer->probes[index].name;
}

void
mr_observer_report(mr_observer_t *observer, size_t index,
                   const mr_log_state_t *state, mr_ms_t sent_at)
{
    if (index >= observer->view.count) {
        return;
    }
    probe_t *probe = &observer->probes[index];
    mr_view_record_state(&observer->view, index, state, sent_at, 0,
                         mr_clock_now(NULL));
    mr_pace_record_state(&probe->pace, state, sent_at);
    /* The answer carries the same log state as that of a probe, so the next
     * probe can be later. */
    if (sent_at > probe->report_sent_at) {
        probe->report_sent_at = sent_at;
    }
    event_active(observer->check_event, 0, 0);
}

void
mr_observer_report_failure(mr_observer_t *observer, size_t index)
{
    if (index < observer->view.count) {
        send_probe(&observer->probes[index]);
    }
}

/* Brings the next probes forward to the times that the new wait requires. */
static void
schedule_probes(mr_observer_t *observer, const mr_observer_wait_t *wait)
{
    mr_ms_t now = wait->started_at;

    for (size_t i = 0; i < observer->view.count; i++) {
        probe_t *probe = &observer->probes[i];
        const mr_observer_condition_t *c = &wait->condition;
        demand_t demand = {.exists = false};
        if (c->kind == MR_WAIT_ACKNOWLEDGED && i != c->index) {
            mr_pace_start_timing(&probe->pace, c->term, c->position, now);
        }
        add_wait_demand(observer, wait, i, now, &demand);
        mr_ms_t at = next_probe(probe, &demand);
        if (!demand.exists || probe->in_flight) {
            continue;
        }
        if (at <= now) {
            send_probe(probe);
        }
        else if (at < probe->timer_at) {
            set_timer(probe, at, now);
        }
    }
}

mr_observer_wait_t *
mr_observer_wait(mr_observer_t *observer,
                 const mr_observer_condition_t *condition, mr_observer_fn_t fn,
                 void *ctx)
{
    mr_observer_wait_t *wait = MR_NEW(mr_observer_wait_t);

    wait->condition = *condition;
    wait->started_at = mr_clock_now(NULL);
    wait->probe_seq = observer->probe_seq;
    wait->fn = fn;
    wait->ctx = ctx;
    mr_list_append(&observer->waits, &wait->link);
    schedule_probes(observer, wait);
    event_active(observer->check_event, 0, 0);
    return wait;
}

void
mr_observer_cancel(mr_observer_wait_t *wait)
{
    mr_list_remove(&wait->link);
    free(wait);
}

json_t *
mr_observer_status(const mr_observer_t *observer)
{
    mr_ms_t now = mr_clock_now(NULL);
    const mr_view_t *view = &observer->view;
    size_t primary = mr_view_primary(view, now);
    json_t *targets = json_array();

    for (size_t i = 0; i < view->count; i++) {
        const mr_view_target_t *target = &view->targets[i];
        mr_ms_t age = mr_view_age(view, &target->state, now);
        const mr_member_t *owner = mr_members_owner(
            observer->options.members, observer->probes[i].name,
            observer->probes[i].data_centre);
        json_array_append_new(
            targets,
            json_pack("{s:s, s:s?, s:s, s:I, s:I, s:I, s:I, s:b, s:b}", "name",
                      observer->probes[i].name, "owner",
                      owner == NULL ? NULL : owner->name, "role",
                      target->state.primary ? "primary" : "replica", "term",
                      (json_int_t)target->state.term, "last_term",
                      (json_int_t)target->state.last_term, "position",
                      (json_int_t)target->state.position, "lag_ms",
                      (json_int_t)age, "reachable",
                      mr_view_reachable(view, i, now), "leaving",
                      mr_view_leaving(view, i)));
    }
    return json_pack(
        "{s:s, s:s?, s:I, s:b, s:o}", "name", observer->group, "primary",
        primary == MR_VIEW_NONE ? NULL : observer->probes[primary].name,
        "term", (json_int_t)mr_view_highest_term(view), "healthy",
        mr_view_healthy(view, now), "targets", targets);
}
