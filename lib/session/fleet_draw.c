/* Requests for tokens between two reports. They carry nothing else, as
 * hundreds of instances send one for almost every operation: with few
 * operations a second each, none of them has a reserve. */

#include <stdlib.h>

#include "common/mem.h"
#include "session/fleet_internal.h"

enum {
    INTERVAL_MIN_MS = 5,
    /* Draws that reach the coordinator in a second at most, from all instances
     * together, so that hundreds of them do not overload it. */
    DRAWS_PER_SECOND_MAX = 20000,
};

mr_ms_t
mr_fleet_draw_interval(size_t instances)
{
    mr_ms_t interval = (mr_ms_t)instances * 1000 / DRAWS_PER_SECOND_MAX;

    return interval > INTERVAL_MIN_MS ? interval : INTERVAL_MIN_MS;
}

/* Whether a report that requests tokens waits for the coordinator's reply. */
static bool
awaits_report(const mr_fleet_t *fleet)
{
    MR_LIST_FOREACH(it, &fleet->reports)
    {
        const mr_fleet_report_t *report =
            MR_LIST_ENTRY(it, mr_fleet_report_t, link);
        if (report->to == fleet->coordinator && report->round != 0) {
            return true;
        }
    }
    return false;
}

bool
mr_fleet_awaits_tokens(const mr_fleet_t *fleet)
{
    return fleet->draw.call != NULL || awaits_report(fleet);
}

static void
start_draw_timer(mr_fleet_t *fleet)
{
    mr_ms_t due = fleet->drawn_at
                  + mr_fleet_draw_interval(mr_fleet_instances(fleet))
                  - mr_clock_now(NULL);

    mr_timer_start(fleet->draw_timer, due > 0 ? due : 0);
}

void
mr_fleet_draw_soon(mr_fleet_t *fleet)
{
    if (fleet->coordinator == NULL || !fleet->coordinator_answers_draws) {
        mr_fleet_report_soon(fleet);
        return;
    }
    fleet->draw_wanted = true;
    if (!mr_fleet_awaits_tokens(fleet)) {
        start_draw_timer(fleet);
    }
}

void
mr_fleet_tokens_arrived(mr_fleet_t *fleet)
{
    if (fleet->draw_wanted) {
        mr_fleet_draw_soon(fleet);
    }
}

void
mr_fleet_cancel_draw(mr_fleet_t *fleet, const mr_fleet_instance_t *instance)
{
    if (fleet->draw.call != NULL && fleet->draw.to == instance) {
        mr_peer_cancel(fleet->draw.call);
        fleet->draw.call = NULL;
    }
}

static void
on_draw_reply(void *ctx, mr_error_kind_t error, const mr_msg_t *msg)
{
    mr_fleet_t *fleet = ctx;
    mr_fleet_draw_t draw = fleet->draw;
    mr_quota_t *quota = fleet->options.quota;

    fleet->draw.call = NULL;
    if (error != MR_OK || msg->u.draw_reply.lifetime_ms <= 0) {
        /* The next report finds out whether the coordinator is lost. */
        mr_fleet_report_soon(fleet);
        return;
    }
    const mr_msg_draw_reply_t *reply = &msg->u.draw_reply;
    mr_quota_set_coordinated_until(quota, draw.sent_at + reply->lifetime_ms);
    for (size_t i = 0; i < reply->draw_count; i++) {
        mr_quota_add_tokens(quota, reply->draws[i].account,
                            reply->draws[i].milli);
    }
    mr_fleet_tokens_arrived(fleet);
    fleet->options.tokens_drawn(fleet->options.ctx, draw.round);
}

void
mr_fleet_on_draw_timer(evutil_socket_t fd, short what, void *ctx)
{
    mr_fleet_t *fleet = ctx;
    mr_quota_t *quota = fleet->options.quota;
    mr_msg_t msg = {.type = MR_MSG_DRAW};

    (void)fd;
    (void)what;
    if (mr_fleet_awaits_tokens(fleet)) {
        return; /* the answer to those requests starts the next draw */
    }
    fleet->draw_wanted = false;
    if (fleet->coordinator == NULL) {
        mr_fleet_report_soon(fleet);
        return;
    }
    mr_msg_draw_t *wants = mr_calloc(MR_FLEET_WANTS_MAX, sizeof(*wants));
    msg.u.draw_request.wants = wants;
    msg.u.draw_request.want_count =
        mr_quota_token_requests(quota, wants, MR_FLEET_WANTS_MAX);
    fleet->drawn_at = mr_clock_now(NULL);
    mr_counter_add(fleet->draws_counter, 1);
    fleet->draw = (mr_fleet_draw_t){.to = fleet->coordinator,
                                    .sent_at = fleet->drawn_at,
                                    .round = mr_quota_round(quota)};
    fleet->draw.call =
        mr_peer_call(fleet->peer, fleet->coordinator->address, &msg,
                     MR_FLEET_REPORT_TIMEOUT_MS, on_draw_reply, fleet);
    free(wants);
}

void
mr_fleet_on_draw(void *ctx, mr_peer_request_t *request, const mr_msg_t *msg,
                 const char *from)
{
    mr_fleet_t *fleet = ctx;
    const mr_msg_draw_request_t *wanted = &msg->u.draw_request;
    mr_msg_t reply = {.type = MR_MSG_DRAW_REPLY};
    mr_ms_t now = mr_clock_now(NULL);

    if (request == NULL) {
        return;
    }
    mr_msg_draw_t *draws = mr_calloc(wanted->want_count + 1, sizeof(*draws));
    if (fleet->coordinating) {
        mr_budgets_report(fleet->budgets, from, now);
        reply.u.draw_reply.lifetime_ms = MR_FLEET_TOKEN_LIFETIME_MS;
        for (size_t i = 0; i < wanted->want_count; i++) {
            draws[i] = (mr_msg_draw_t){
                wanted->wants[i].account,
                mr_fleet_draw_tokens(fleet, &wanted->wants[i], now)};
        }
        reply.u.draw_reply.draw_count = wanted->want_count;
    }
    reply.u.draw_reply.draws = draws;
    mr_peer_reply(request, &reply);
    free(draws);
}
