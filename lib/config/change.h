#ifndef MR_CONFIG_CHANGE_H
#define MR_CONFIG_CHANGE_H

/*
 * The steps that an operator takes to change the configuration: propose,
 * approve or veto, accept.
 *
 * Rows of the table service and objects of the object store:
 *
 * config/head       {"version":N, "hash":HASH, "approval":SIGNATURE,
 *                    "previous":HASH or ""}
 *     The accepted configuration; "previous" is the hash of its predecessor.
 *
 * config/staged     {"version":N, "hash":HASH, "approval":SIGNATURE or "",
 *                    "state":"proposed"|"approved"|"vetoed",
 *                    "proposer":NAME, "accepting":true}
 *     The last proposed change. "approval" is set in the state "approved"
 *     only. "accepting" is set when an acceptance begins; from then on the
 *     change can no longer be vetoed.
 *
 * config/confirm/{data centre}   {"version":N, "hash":HASH}
 *     The staged version that the data centre holds, written by its pollers.
 *
 * object config/{hash}   the configuration as canonical JSON
 *     It is written before any row names it.
 *
 * audit/tail and objects audit/{sequence}: see audit.h.
 *
 * HASH is 64 and SIGNATURE 128 lower-case hex digits. Versions start at 1.
 *
 * Audit: the record of a step ("propose", "approve", "veto", "accept") is
 * written before the row, so that no change lacks a record. Only the mark
 * "accepting" is set before the record of its acceptance. If the row write
 * then fails with a conflict, a "void" record follows, whose "changes" is
 * {"sequence":N, "step":STEP} of the record that did not take effect. No void
 * record follows a step with an unknown outcome; the rows show the result.
 * Pollers append a "confirm" record after writing a confirmation; its "who" is
 * DATA CENTRE/INSTANCE and its "changes" {"data_centre":NAME}.
 * "changes" of the other steps: propose, the @changes of the caller; veto,
 * {"reason":TEXT}; accept, {"without":[NAME...], "changes":ANY}.
 */

#include "config/rows.h"
#include "platform/platform.h"

typedef struct mr_change mr_change_t;

typedef struct mr_change_options {
    mr_platform_t *platform;
    const char *who;             /* name in the audit records; UTF-8 */
    const uint8_t *approver_key; /* the customer's public key, 32 bytes */
} mr_change_options_t;

/**
 * mr_change_fn_t - completion of a step
 * @error: MR_OK: the step took effect;
 *         MR_ERR_INVALID_REQUEST: the input is invalid;
 *         MR_ERR_CONFLICT: the state of the rows does not allow the step, or
 *         another change was written concurrently;
 *         MR_ERR_FORBIDDEN: the approval is missing or not valid;
 *         MR_ERR_NOT_FOUND: nothing is staged;
 *         MR_ERR_CONFIG_STALE: data centres have not confirmed yet;
 *         MR_ERR_UNAVAILABLE: the platform is unreachable and nothing was
 *         changed;
 *         MR_ERR_OUTCOME_UNKNOWN: the step may have taken effect;
 *         MR_ERR_INTERNAL: rows or objects are damaged
 * @message: one sentence, also on success
 * @state: {"head":ROW or null, "staged":ROW or null, "confirmations":{NAME:
 *         ROW}} after the step; NULL unless MR_OK; borrowed
 */
typedef void (*mr_change_fn_t)(void *ctx, mr_error_kind_t error,
                               const char *message, json_t *state);

/** mr_change_create() - returns NULL if @who is empty, too long or not UTF-8.
 */
mr_change_t *mr_change_create(const mr_change_options_t *options);

/** mr_change_destroy() - cancels the steps in progress without calling their
 * callbacks. */
void mr_change_destroy(mr_change_t *change);

/* Steps. The callback is called exactly once, and never before the call
 * returns. Repeating a step that already took effect succeeds. */

/** mr_change_read() - reads the current rows. */
void mr_change_read(mr_change_t *change, mr_change_fn_t fn, void *ctx);

/**
 * mr_change_propose() - stages a configuration for approval by the customer
 * @document: the configuration; its version must be above the accepted one and
 *            above a vetoed one
 * @changes: description of the change for the audit record; NULL: none
 *
 * A pending change is not replaced; it has to be vetoed first.
 */
void mr_change_propose(mr_change_t *change, json_t *document, json_t *changes,
                       mr_change_fn_t fn, void *ctx);

/** mr_change_approve() - adds @approval, the customer's signature of the
 * staged @version. */
void mr_change_approve(mr_change_t *change, int64_t version,
                       const char *approval, mr_change_fn_t fn, void *ctx);

/** mr_change_veto() - rejects the staged @version; possible after its approval
 * too, until its acceptance begins. */
void mr_change_veto(mr_change_t *change, int64_t version, const char *reason,
                    mr_change_fn_t fn, void *ctx);

/**
 * mr_change_accept() - makes the staged @version the accepted one
 * @without: names of data centres whose confirmation is not required
 * @changes: description of the change for the audit record; NULL: none
 */
void mr_change_accept(mr_change_t *change, int64_t version,
                      const char *const *without, size_t without_count,
                      json_t *changes, mr_change_fn_t fn, void *ctx);

#endif
