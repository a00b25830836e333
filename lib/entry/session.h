#ifndef MR_ENTRY_SESSION_H
#define MR_ENTRY_SESSION_H

/*
 * The session token: which log positions a session's reads must cover. The
 * caller carries it, so no instance keeps a session.
 */

#include "common/clock.h"
#include "common/seal.h"

enum {
    MR_SESSION_GROUPS_MAX = 128,
    /* No target is known to cover the position. */
    MR_SESSION_NO_TARGET = 255,
};

/** Term of a write that may have run under any term: the instance that issued
 * its request id was lost. */
#define MR_SESSION_ANY_TERM INT64_MAX

/** What a session wrote to one group. */
typedef struct mr_session_entry {
    uint64_t group; /* hash of the group's name */
    int64_t term;   /* reads must cover (term, position) */
    int64_t position;
    /* A write with unknown outcome may still run under terms up to this one;
     * 0: there is none. */
    int64_t uncertain_term;
    uint8_t covering; /* index of a target that covers the position */
} mr_session_entry_t;

typedef struct mr_session {
    mr_session_entry_t entries[MR_SESSION_GROUPS_MAX];
    size_t count;
} mr_session_t;

/** mr_session_group() - the hash under which a group is kept. */
uint64_t mr_session_group(const char *name);

/** mr_session_open() - read a token; false when it is not genuine. */
bool mr_session_open(const mr_seal_t *seal, const char *text,
                     mr_session_t *session);

/** mr_session_close() - make a token; the caller frees it. */
char *mr_session_close(const mr_seal_t *seal, const mr_session_t *session);

/** mr_session_find() - the entry of a group, or NULL. */
mr_session_entry_t *mr_session_find(mr_session_t *session, uint64_t group);

/** mr_session_has_room() - whether a write to @group can be recorded. */
bool mr_session_has_room(const mr_session_t *session, uint64_t group);

/**
 * mr_session_wrote() - record a write at (@term, @position)
 *
 * Positions only go up. An uncertain write is settled by one that was
 * acknowledged under a higher term.
 */
void mr_session_wrote(mr_session_t *session, uint64_t group, int64_t term,
                      int64_t position, uint8_t covering);

/** mr_session_wrote_unknown() - record a write that may run under terms up to
 * @term. */
void mr_session_wrote_unknown(mr_session_t *session, uint64_t group,
                              int64_t term);

/**
 * mr_session_read_present() - a confirmed read was served at (@term,
 * @position)
 *
 * Settles uncertain writes of lower terms: in @term such a write is in the log
 * or can no longer run. Returns whether the session changed.
 */
bool mr_session_read_present(mr_session_t *session, uint64_t group,
                             int64_t term, int64_t position);

#endif
