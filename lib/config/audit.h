#ifndef MR_CONFIG_AUDIT_H
#define MR_CONFIG_AUDIT_H

/*
 * The audit trail: one immutable object `audit/{sequence}` for each step of a
 * change, with a sequence of 12 digits that starts at 1. A record is canonical
 * JSON:
 *
 *   {"sequence":N, "previous":HASH, "id":HEX, "who":NAME, "when_ms":MS,
 *    "step":STEP, "from_version":N, "to_version":N, "hash":HASH,
 *    "changes":ANY}
 *
 * "previous" is the BLAKE2b-256 of the bytes of the record before, "" in the
 * first one. "id" is random, so that two writers never write the same bytes.
 * "when_ms" is wall-clock time since 1970. "hash" is that of the configuration
 * "to_version".
 *
 * The row `audit/tail` {"sequence":N, "hash":HASH} names a recent record,
 * where writers begin to look for the end. It may be behind, never ahead.
 */

#include <jansson.h>

#include "platform/platform.h"

/** What a record says. Strings and @changes are borrowed. */
typedef struct mr_audit_step {
    const char *who;
    const char *step;
    int64_t from_version;
    int64_t to_version;
    const char *hash;
    json_t *changes; /* NULL: null */
} mr_audit_step_t;

typedef struct mr_audit_append mr_audit_append_t;

/**
 * mr_audit_append_fn_t - the record was written, or not
 * @error: MR_OK with @sequence; MR_ERR_UNAVAILABLE; MR_ERR_OUTCOME_UNKNOWN
 *         when the record may have been written
 */
typedef void (*mr_audit_append_fn_t)(void *ctx, mr_error_kind_t error,
                                     int64_t sequence);

/** mr_audit_append() - write @step at the end of the trail, after records that
 * others write at the same time. @fn is not called before this returns. */
mr_audit_append_t *mr_audit_append(mr_platform_t *platform,
                                   const mr_audit_step_t *step,
                                   mr_audit_append_fn_t fn, void *ctx);

/** mr_audit_append_cancel() - give up; @fn is not called. */
void mr_audit_append_cancel(mr_audit_append_t *append);

/** What reading found at one sequence. */
typedef enum mr_audit_state {
    MR_AUDIT_GOOD,
    MR_AUDIT_MISSING,   /* no such record, but later ones */
    MR_AUDIT_MALFORMED, /* not a record of this sequence */
    MR_AUDIT_BROKEN,    /* does not follow from the record before */
} mr_audit_state_t;

/** mr_audit_state_name() - "good", "missing", "malformed" or "broken". */
const char *mr_audit_state_name(mr_audit_state_t state);

/** mr_audit_entry_fn_t - one sequence; @record is borrowed, and NULL when the
 * record is missing or malformed. */
typedef void (*mr_audit_entry_fn_t)(void *ctx, int64_t sequence,
                                    mr_audit_state_t state, json_t *record);

/** mr_audit_done_fn_t - the end was reached, or reading failed. */
typedef void (*mr_audit_done_fn_t)(void *ctx, mr_error_kind_t error);

typedef struct mr_audit_reader mr_audit_reader_t;

/**
 * mr_audit_read() - read the trail from @first on, in order
 *
 * The first record that is read, and one behind a missing or malformed one,
 * has nothing to be compared with unless its sequence is 1.
 */
mr_audit_reader_t *mr_audit_read(mr_platform_t *platform, int64_t first,
                                 mr_audit_entry_fn_t entry,
                                 mr_audit_done_fn_t done, void *ctx);

/** mr_audit_read_cancel() - stop; no function is called any more. */
void mr_audit_read_cancel(mr_audit_reader_t *reader);

#endif
