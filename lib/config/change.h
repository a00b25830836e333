#ifndef MR_CONFIG_CHANGE_H
#define MR_CONFIG_CHANGE_H

/*
 * The operator's steps of a change: propose, approve or veto, accept.
 *
 * Rows of the table service and objects of the object store:
 *
 * config/head       {"version":N, "hash":HASH, "approval":SIGNATURE,
 *                    "previous":HASH or ""}
 *     The accepted configuration; "previous" is the hash of the one before.
 *
 * config/staged     {"version":N, "hash":HASH, "approval":SIGNATURE or "",
 *                    "state":"proposed"|"approved"|"vetoed",
 *                    "proposer":NAME, "accepting":true}
 *     The last proposed change. "approval" is set in the state approved.
 *     "accepting" is there once an acceptance has begun; from then on the
 *     change can not be vetoed any more.
 *
 * config/confirm/{data centre}   {"version":N, "hash":HASH}
 *     The staged version that the data centre holds; written by its pollers.
 *
 * object config/{hash}   the configuration's canonical JSON. It is written
 *     before a row names it.
 *
 * audit/tail and objects audit/{sequence}: see audit.h.
 *
 * HASH is 64 and SIGNATURE 128 lower-case hex digits. Versions start at 1.
 *
 * Audit: the record of a step ("propose", "approve", "veto", "accept") is
 * written before the row changes, so that no change can be without one. When
 * the row then cannot be changed, a "void" record follows, whose "changes" is
 * {"sequence":N, "step":STEP} of the record that did not take effect. A step
 * whose end is unknown is not followed by one; the rows tell.
 * Pollers add a "confirm" record after they wrote a confirmation, whose "who"
 * is DATA CENTRE/INSTANCE and "changes" {"data_centre":NAME}.
 * "changes" of the others: propose, what the caller gave; veto,
 * {"reason":TEXT}; accept, {"without":[NAME...], "changes":ANY}.
 */

#include "config/rows.h"
#include "platform/platform.h"

typedef struct mr_change mr_change_t;

typedef struct mr_change_options {
    mr_platform_t *platform;
    const char *who;             /* of the audit records; UTF-8 */
    const uint8_t *approver_key; /* the customer's public key, 32 bytes */
} mr_change_options_t;

/**
 * mr_change_fn_t - a step has ended
 * @error: MR_OK;
 *         MR_ERR_INVALID_REQUEST when the input is refused;
 *         MR_ERR_CONFLICT when another change stands in the way or won the
 *         race; @message names both versions;
 *         MR_ERR_FORBIDDEN when an approval is missing or not valid;
 *         MR_ERR_NOT_FOUND when there is nothing staged;
 *         MR_ERR_CONFIG_STALE when data centres have not confirmed yet;
 *         MR_ERR_UNAVAILABLE when the platform cannot be reached and nothing
 *         was changed;
 *         MR_ERR_OUTCOME_UNKNOWN when the step may have taken effect;
 *         MR_ERR_INTERNAL when rows or objects are damaged
 * @message: one sentence, also on success
 * @state: {"head":ROW or null, "staged":ROW or null, "confirmations":{NAME:
 *         ROW}} after the step; NULL unless MR_OK; borrowed
 */
typedef void (*mr_change_fn_t)(void *ctx, mr_error_kind_t error,
                               const char *message, json_t *state);

/** mr_change_create() - NULL when @who is empty, too long or not UTF-8. */
mr_change_t *mr_change_create(const mr_change_options_t *options);

/** mr_change_destroy() - steps in progress end without a callback. */
void mr_change_destroy(mr_change_t *change);

/* Steps. The callback is called exactly once, never before the call returns.
 * A step that is repeated after it took effect succeeds. */

/** mr_change_read() - the present rows. */
void mr_change_read(mr_change_t *change, mr_change_fn_t fn, void *ctx);

/**
 * mr_change_propose() - stage a configuration for the customer's decision
 * @document: the configuration; its version is above the one in force and
 *            above a vetoed one
 * @changes: what changed, for the audit record; NULL for none
 *
 * A change that waits for its decision or acceptance is not replaced: veto it
 * first.
 */
void mr_change_propose(mr_change_t *change, json_t *document, json_t *changes,
                       mr_change_fn_t fn, void *ctx);

/** mr_change_approve() - add the customer's @approval of staged @version. */
void mr_change_approve(mr_change_t *change, int64_t version,
                       const char *approval, mr_change_fn_t fn, void *ctx);

/** mr_change_veto() - refuse staged @version, also after its approval as long
 * as no acceptance has begun. */
void mr_change_veto(mr_change_t *change, int64_t version, const char *reason,
                    mr_change_fn_t fn, void *ctx);

/**
 * mr_change_accept() - put staged @version in force
 * @without: names of data centres whose confirmation is not waited for
 * @changes: what changed, for the audit record; NULL for none
 */
void mr_change_accept(mr_change_t *change, int64_t version,
                      const char *const *without, size_t without_count,
                      json_t *changes, mr_change_fn_t fn, void *ctx);

#endif
