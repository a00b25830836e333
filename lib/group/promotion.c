#include "group/promotion.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"

enum {
    /* A target that has not answered by then counts as unreachable. */
    GRANT_TIMEOUT_MS = 400,
    PROMOTE_TIMEOUT_MS = 800,
};

typedef struct voter {
    mr_promotion_t *promotion;
    size_t index;
    const char *address;
    mr_target_conn_t *conn;
    bool borrowed; /* conn came from acquire_conn() */
    mr_ms_t sent_at;
    bool answered;
    bool granted;
    mr_log_state_t state;
} voter_t;

struct mr_promotion {
    mr_promotion_options_t options;
    bool leaving[MR_VIEW_TARGETS_MAX];
    voter_t voters[MR_VIEW_TARGETS_MAX];
    mr_ms_t started_at;
    mr_promotion_result_t result;
    bool promoting;
};

static void
complete(mr_promotion_t *p)
{
    /* The callback may destroy the attempt. */
    p->options.fn(p->options.ctx, &p->result);
}

static void
record_state(mr_promotion_t *p, voter_t *voter, const mr_target_reply_t *reply)
{
    if (!reply->has_state) {
        return;
    }
    voter->state = reply->state;
    if (reply->state.term > p->result.known_term) {
        p->result.known_term = reply->state.term;
    }
    p->options.on_state(p->options.ctx, voter->index, &reply->state,
                        voter->sent_at);
}

static void
on_promote_reply(void *ctx, const mr_target_reply_t *reply)
{
    voter_t *voter = ctx;
    mr_promotion_t *p = voter->promotion;

    record_state(p, voter, reply);
    p->result.promoted = reply->error == MR_OK;
    p->result.promote_ms = mr_clock_now(NULL) - p->started_at;
    if (!p->result.promoted) {
        p->result.candidate = MR_VIEW_NONE;
    }
    complete(p);
}

/* Returns the granting target with the most advanced log: only that log is
 * guaranteed to hold every acknowledged write. Of two equal logs, the one of a
 * target that is not leaving is preferred. */
static size_t
choose_candidate(const mr_promotion_t *p)
{
    size_t best = MR_VIEW_NONE;

    for (size_t i = 0; i < p->options.count; i++) {
        const voter_t *voter = &p->voters[i];
        if (!voter->granted) {
            continue;
        }
        int order = 1;
        if (best != MR_VIEW_NONE) {
            order =
                mr_log_state_compare(&voter->state, &p->voters[best].state);
        }
        if (order > 0 || (order == 0 && p->leaving[best] && !p->leaving[i])) {
            best = i;
        }
    }
    return best;
}

static void
promote_candidate(mr_promotion_t *p)
{
    size_t candidate = choose_candidate(p);
    voter_t *voter = &p->voters[candidate];
    mr_target_request_t request = {.operation = MR_TARGET_PROMOTE,
                                   .term = p->options.term,
                                   .timeout = PROMOTE_TIMEOUT_MS};

    assert(candidate != MR_VIEW_NONE);
    p->promoting = true;
    p->result.candidate = candidate;
    p->result.grant_ms = mr_clock_now(NULL) - p->started_at;
    voter->sent_at = mr_clock_now(NULL);
    mr_target_conn_send(voter->conn, &request, on_promote_reply, voter);
}

static void
count_grants(mr_promotion_t *p)
{
    size_t granted = 0;
    size_t pending = 0;
    size_t majority = p->options.count / 2 + 1;

    for (size_t i = 0; i < p->options.count; i++) {
        granted += p->voters[i].granted ? 1 : 0;
        pending += p->voters[i].answered ? 0 : 1;
    }
    if (granted >= majority) {
        promote_candidate(p);
    }
    else if (granted + pending < majority) {
        complete(p);
    }
}

static void on_grant_reply(void *ctx, const mr_target_reply_t *reply);

/* Sends a grant request; returns false if the address is malformed. */
static bool
request_grant(voter_t *voter)
{
    mr_promotion_t *p = voter->promotion;
    mr_target_request_t request = {.operation = MR_TARGET_GRANT,
                                   .term = p->options.term,
                                   .timeout = GRANT_TIMEOUT_MS};

    if (voter->conn == NULL) {
        voter->borrowed = false;
        voter->conn = mr_target_conn_create(p->options.base, voter->address);
    }
    voter->sent_at = mr_clock_now(NULL);
    if (voter->conn != NULL) {
        mr_target_conn_send(voter->conn, &request, on_grant_reply, voter);
    }
    return voter->conn != NULL;
}

/* Repeats the grant request on a new connection when a borrowed one failed: it
 * may have been closed earlier, for example by a restart of the target. The
 * retry is safe because a target grants a term only once. */
static bool
retry_grant(voter_t *voter, const mr_target_reply_t *reply)
{
    if (!voter->borrowed || reply->has_state
        || mr_clock_now(NULL) - voter->sent_at >= GRANT_TIMEOUT_MS) {
        return false;
    }
    mr_target_conn_destroy(voter->conn);
    voter->conn = NULL;
    return request_grant(voter);
}

static void
on_grant_reply(void *ctx, const mr_target_reply_t *reply)
{
    voter_t *voter = ctx;
    mr_promotion_t *p = voter->promotion;

    if (!p->promoting && retry_grant(voter, reply)) {
        return;
    }
    voter->answered = true;
    record_state(p, voter, reply);
    voter->granted =
        reply->error == MR_OK && reply->granted && reply->has_state;
    if (!p->promoting) {
        count_grants(p);
    }
}

mr_promotion_t *
mr_promotion_start(const mr_promotion_options_t *options)
{
    mr_promotion_t *p = MR_NEW(mr_promotion_t);

    assert(options->count > 0 && options->count <= MR_VIEW_TARGETS_MAX);
    p->options = *options;
    p->started_at = mr_clock_now(NULL);
    p->result.term = options->term;
    p->result.candidate = MR_VIEW_NONE;
    memcpy(p->leaving, options->leaving, options->count * sizeof(bool));
    for (size_t i = 0; i < options->count; i++) {
        voter_t *voter = &p->voters[i];
        voter->promotion = p;
        voter->index = i;
        voter->address = options->addresses[i];
        voter->conn = options->acquire_conn(options->ctx, i);
        voter->borrowed = voter->conn != NULL;
        voter->answered = !request_grant(voter);
    }
    p->options.addresses = NULL;
    p->options.leaving = NULL;
    return p;
}

void
mr_promotion_destroy(mr_promotion_t *promotion)
{
    if (promotion == NULL) {
        return;
    }
    for (size_t i = 0; i < promotion->options.count; i++) {
        voter_t *voter = &promotion->voters[i];
        if (voter->conn != NULL && mr_target_conn_usable(voter->conn)) {
            promotion->options.release_conn(promotion->options.ctx, i,
                                            voter->conn);
        }
        else {
            mr_target_conn_destroy(voter->conn);
        }
    }
    free(promotion);
}
