#ifndef MR_ENTRY_SESSION_H
#define MR_ENTRY_SESSION_H

/*
 * Session tokens. A token holds the log positions that reads of the session
 * must cover. Callers pass it with each request, so that instances keep no
 * session state.
 */

#include "common/clock.h"
#include "common/seal.h"

enum {
    MR_SESSION_GROUPS_MAX = 128,
    /* No target is known to cover the position. */
    MR_SESSION_NO_TARGET = 255,
};

/** Term of an uncertain write that may run under any term, for example because
 * the instance that issued its request id did not answer. */
#define MR_SESSION_ANY_TERM INT64_MAX

/** The writes of a session to one group. */
typedef struct mr_session_entry {
    uint64_t group; /* hash of the group's name */
    int64_t term;   /* reads must cover (term, position) */
    int64_t position;
    /* Highest term under which a write with unknown outcome may still run; 0
     * without such a write. */
    int64_t uncertain_term;
    uint8_t covering_target; /* index of a target that covers the position */
} mr_session_entry_t;

typedef struct mr_session {
    mr_session_entry_t entries[MR_SESSION_GROUPS_MAX];
    size_t count;
} mr_session_t;

/** mr_session_hash_group() - return the hash that identifies a group in
 * sessions. */
uint64_t mr_session_hash_group(const char *name);

/** mr_session_decode() - decode a token; returns false if it is invalid. */
bool mr_session_decode(const mr_seal_t *seal, const char *text,
                       mr_session_t *session);

/** mr_session_encode() - encode a token; the caller frees it. */
char *mr_session_encode(const mr_seal_t *seal, const mr_session_t *session);

/** mr_session_find() - return the entry of a group, or NULL. */
mr_session_entry_t *mr_session_find(mr_session_t *session, uint64_t group);

/** mr_session_has_room() - return whether a write to @group can be recorded.
 */
bool mr_session_has_room(const mr_session_t *session, uint64_t group);

/**
 * mr_session_record_write() - record a write at (@term, @position)
 *
 * Positions lower than the recorded one are ignored. A write at a term above
 * that of an uncertain write settles the uncertain one.
 */
void mr_session_record_write(mr_session_t *session, uint64_t group,
                             int64_t term, int64_t position,
                             uint8_t covering_target);

/** mr_session_record_uncertain_write() - record a write that may still run
 * under terms up to @term. */
void mr_session_record_uncertain_write(mr_session_t *session, uint64_t group,
                                       int64_t term);

/**
 * mr_session_settle_uncertain_write() - record a present read that the primary
 * served at (@term, @position)
 *
 * Settles an uncertain write of a lower term: in @term, such a write is either
 * in the log or can no longer run.
 *
 * Return: whether the session changed.
 */
bool mr_session_settle_uncertain_write(mr_session_t *session, uint64_t group,
                                       int64_t term, int64_t position);

#endif
