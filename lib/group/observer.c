#include "group/observer.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/mem.h"
#include "group/election.h"

enum {
    PROBE_INTERVAL_MS = 100,
    /* While a write waits for a replica or a read for a confirmation. */
    PROBE_INTERVAL_BUSY_MS = 2,
    PROBE_TIMEOUT_MS = 250,
    RETRY_REFUSED_MS = 40,
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
    uint64_t tick;
    struct event *timer;
} probe_t;

struct mr_observer {
    mr_observer_options_t options;
    char *group;
    mr_view_t view;
    probe_t probes[MR_VIEW_TARGETS_MAX];
    uint64_t tick; /* counts probes sent */
    mr_list_t waits;
    struct event *timer;
    struct event *check; /* examines waits on the next turn of the loop */
    mr_election_t *election;
    mr_counter_t *probe_count;
    mr_traffic_t traffic;
};

struct mr_observer_wait {
    mr_list_t link;
    mr_observer_condition_t condition;
    uint64_t tick; /* probes must be sent after this one */
    bool met;
    mr_observer_fn_t fn;
    void *ctx;
};

static void send_probe(probe_t *probe);

static void
schedule_probe(probe_t *probe, mr_ms_t delay)
{
    struct timeval tv = mr_clock_timeval(delay);

    evtimer_add(probe->timer, &tv);
}

static bool
wait_needs_probe(const mr_observer_wait_t *wait)
{
    switch (wait->condition.kind) {
    case MR_WAIT_ACKNOWLEDGED:
    case MR_WAIT_CONFIRMED:
    case MR_WAIT_COVERED:
        return true;
    case MR_WAIT_PRIMARY:
        break;
    }
    return false;
}

static bool
is_busy(const mr_observer_t *observer)
{
    MR_LIST_FOREACH(it, &observer->waits)
    {
        if (wait_needs_probe(MR_LIST_ENTRY(it, mr_observer_wait_t, link))) {
            return true;
        }
    }
    return false;
}

/** What became of a wait. */
typedef enum wait_state {
    WAIT_OPEN,
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
        if (mr_view_confirmed(view, c->term, wait->tick)) {
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
    return now >= c->deadline ? WAIT_FAILED : WAIT_OPEN;
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
        if (state != WAIT_OPEN) {
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

static void
on_probe_reply(void *ctx, const mr_target_reply_t *reply)
{
    probe_t *probe = ctx;
    mr_observer_t *observer = probe->observer;
    mr_ms_t delay = PROBE_INTERVAL_MS;

    probe->in_flight = false;
    if (reply->error == MR_OK && reply->has_state) {
        mr_view_answer(&observer->view, probe->index, &reply->state,
                       probe->sent_at, probe->tick, mr_clock_now(NULL));
    }
    else {
        if (reply->error == MR_ERR_UNAVAILABLE) {
            mr_view_refused(&observer->view, probe->index);
        }
        mr_target_conn_destroy(probe->conn);
        probe->conn = NULL;
        delay = RETRY_REFUSED_MS;
    }
    if (probe->conn != NULL && is_busy(observer)) {
        delay = PROBE_INTERVAL_BUSY_MS;
    }
    schedule_probe(probe, delay);
    event_active(observer->check, 0, 0);
}

static void
send_probe(probe_t *probe)
{
    mr_observer_t *observer = probe->observer;
    mr_target_request_t request = {.operation = MR_TARGET_STATUS,
                                   .timeout = PROBE_TIMEOUT_MS};

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
            schedule_probe(probe, PROBE_INTERVAL_MS);
            return;
        }
        mr_target_conn_count(probe->conn, &observer->traffic);
    }
    evtimer_del(probe->timer);
    probe->in_flight = true;
    probe->sent_at = mr_clock_now(NULL);
    probe->tick = ++observer->tick;
    mr_counter_add(observer->probe_count, 1);
    mr_target_conn_send(probe->conn, &request, on_probe_reply, probe);
}

static void
on_probe_timer(evutil_socket_t fd, short what, void *ctx)
{
    (void)fd;
    (void)what;
    send_probe(ctx);
}

static void
on_tick(evutil_socket_t fd, short what, void *ctx)
{
    mr_observer_t *observer = ctx;
    struct timeval tv = mr_clock_timeval(TICK_MS);

    (void)fd;
    (void)what;
    for (size_t i = 0; i < observer->view.count; i++) {
        /* The configured state is kept in the view by mr_observer_update(). */
        if (mr_members_target_leaving(observer->options.members,
                                      observer->probes[i].name)) {
            observer->view.targets[i].leaving = true;
        }
    }
    mr_election_tick(observer->election, &observer->view);
    check_waits(observer);
    evtimer_add(observer->timer, &tv);
}

static void
on_election_state(void *ctx, size_t index, const mr_log_state_t *state,
                  mr_ms_t sent_at)
{
    mr_observer_report(ctx, index, state, sent_at);
}

static void
on_election_won(void *ctx, const mr_promotion_result_t *result)
{
    mr_observer_t *observer = ctx;
    const char *target = observer->probes[result->winner].name;

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
    schedule_probe(probe, 0);
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
open_group(mr_observer_t *observer, const mr_config_group_t *group)
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
        .on_won = on_election_won,
        .is_writing = on_election_writing,
        .ctx = observer,
    };
    observer->election = mr_election_create(&options);
}

static void
close_group(mr_observer_t *observer)
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
    observer->check = event_new(options->base, -1, 0, on_check, observer);
    observer->timer = evtimer_new(options->base, on_tick, observer);
    evtimer_add(observer->timer, &tv);
    open_group(observer, group);
    return observer;
}

void
mr_observer_destroy(mr_observer_t *observer)
{
    mr_list_t *link;

    if (observer == NULL) {
        return;
    }
    close_group(observer);
    while ((link = mr_list_pop(&observer->waits)) != NULL) {
        mr_observer_wait_t *wait =
            MR_LIST_ENTRY(link, mr_observer_wait_t, link);
        wait->fn(wait->ctx, false);
        free(wait);
    }
    event_free(observer->timer);
    event_free(observer->check);
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
        close_group(observer);
        open_group(observer, group);
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
                    bool leaving_too)
{
    size_t index = mr_view_primary(&observer->view, mr_clock_now(NULL));

    if (index == MR_VIEW_NONE
        || (!leaving_too && mr_view_leaving(&observer->view, index))) {
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
    mr_view_answer(&observer->view, index, state, sent_at, 0,
                   mr_clock_now(NULL));
    /* The answer to a statement says all that a probe would. */
    if (!observer->probes[index].in_flight && !is_busy(observer)) {
        schedule_probe(&observer->probes[index], PROBE_INTERVAL_MS);
    }
    event_active(observer->check, 0, 0);
}

void
mr_observer_report_failure(mr_observer_t *observer, size_t index)
{
    if (index < observer->view.count) {
        send_probe(&observer->probes[index]);
    }
}

mr_observer_wait_t *
mr_observer_wait(mr_observer_t *observer,
                 const mr_observer_condition_t *condition, mr_observer_fn_t fn,
                 void *ctx)
{
    mr_observer_wait_t *wait = MR_NEW(mr_observer_wait_t);

    wait->condition = *condition;
    wait->tick = observer->tick;
    wait->fn = fn;
    wait->ctx = ctx;
    mr_list_append(&observer->waits, &wait->link);
    if (wait_needs_probe(wait)) {
        for (size_t i = 0; i < observer->view.count; i++) {
            send_probe(&observer->probes[i]);
        }
    }
    event_active(observer->check, 0, 0);
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
