#ifndef MR_CONFIG_AUDIT_H
#define MR_CONFIG_AUDIT_H

/*
 * The audit trail: one immutable object `audit/{sequence}` per step of a
 * change. The sequence has 12 digits and starts at 1. A record is canonical
 * JSON:
 *
 *   {"sequence":N, "previous":HASH, "id":HEX, "who":NAME, "when_ms":MS,
 *    "step":STEP, "from_version":N, "to_version":N, "hash":HASH,
 *    "changes":ANY}
 *
 * "previous" is the BLAKE2b-256 hash of the bytes of the preceding record, ""
 * in the first one. "id" is random, so that no two writers write the same
 * bytes. "when_ms" is wall-clock time since 1970. "hash" is the hash of the
 * configuration "to_version".
 *
 * The row `audit/tail` {"sequence":N, "hash":HASH} names a recent record, from
 * which writers search for the end. It may be behind the end, never ahead.
 */

#include <jansson.h>

#include "platform/platform.h"

/** Content of a record. Strings and @changes are borrowed. */
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
 * mr_audit_append_fn_t - completion of an append
 * @error: MR_OK, with @sequence; MR_ERR_UNAVAILABLE: not written;
 *         MR_ERR_OUTCOME_UNKNOWN: the record may have been written
 */
typedef void (*mr_audit_append_fn_t)(void *ctx, mr_error_kind_t error,
                                     int64_t sequence);

/** mr_audit_append() - writes @step at the end of the trail, after any
 * records that other writers append concurrently. @fn is not called before
 * this returns. */
mr_audit_append_t *mr_audit_append(mr_platform_t *platform,
                                   const mr_audit_step_t *step,
                                   mr_audit_append_fn_t fn, void *ctx);

/** mr_audit_append_cancel() - cancels the append without calling its callback.
 * A write in progress may still take effect. */
void mr_audit_append_cancel(mr_audit_append_t *append);

/** Result of reading the record of one sequence number. */
typedef enum mr_audit_state {
    MR_AUDIT_GOOD,
    MR_AUDIT_MISSING,   /* no such record, although later ones exist */
    MR_AUDIT_MALFORMED, /* not a valid record with this sequence */
    MR_AUDIT_BROKEN, /* its "previous" is not the hash of the record before */
} mr_audit_state_t;

/** mr_audit_state_name() - "good", "missing", "malformed" or "broken". */
const char *mr_audit_state_name(mr_audit_state_t state);

/** mr_audit_entry_fn_t - called for each sequence; @record is borrowed, and
 * NULL if the record is missing or malformed. */
typedef void (*mr_audit_entry_fn_t)(void *ctx, int64_t sequence,
                                    mr_audit_state_t state, json_t *record);

/** mr_audit_done_fn_t - called at the end of the trail or when reading failed.
 */
typedef void (*mr_audit_done_fn_t)(void *ctx, mr_error_kind_t error);

typedef struct mr_audit_reader mr_audit_reader_t;

/**
 * mr_audit_read() - reads the trail in order, starting at @first
 *
 * The chain cannot be checked for the first record that is read, unless its
 * sequence is 1, nor for a record that follows a missing or malformed one.
 */
mr_audit_reader_t *mr_audit_read(mr_platform_t *platform, int64_t first,
                                 mr_audit_entry_fn_t entry,
                                 mr_audit_done_fn_t done, void *ctx);

/** mr_audit_read_cancel() - stops reading; no more callbacks are called. */
void mr_audit_read_cancel(mr_audit_reader_t *reader);

#endif
