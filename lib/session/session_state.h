#ifndef MR_SESSION_SESSION_STATE_H
#define MR_SESSION_SESSION_STATE_H

/*
 * State of a client session that outlives its operations: session values and
 * prepared statements. A database connection holds a copy of one version of
 * it. The connection of an open transaction cannot be replaced or reset, so it
 * is brought up to date by the statements that changed the state since.
 */

#include <stdint.h>

#include "common/list.h"
#include "session/line.h"

typedef struct mr_session_state mr_session_state_t;

/** A session value or prepared statement. */
typedef struct mr_setting {
    mr_list_t link;
    char *key;        /* the kind and the name */
    const char *name; /* in @key */
    char *statement;  /* text of its SET or PREPARE */
    bool prepared;
    bool read_only; /* of a prepared statement */
} mr_setting_t;

/** A statement that the connection of the open transaction lacks. */
typedef struct mr_state_change {
    mr_list_t link;
    char *statement;
} mr_state_change_t;

mr_session_state_t *mr_session_state_create(void);
void mr_session_state_destroy(mr_session_state_t *state);

/**
 * mr_session_state_change() - set a value, or add or remove a prepared
 * statement
 * @text: text of the SET, PREPARE or DEALLOC
 * @command: @text, parsed
 * @log: also append the statements that bring a connection from the former
 * version to the new one to mr_session_state_changes()
 *
 * Returns false, and changes nothing, if the state and the logged changes
 * would together exceed MR_LINE_MAX_BYTES. From the 65th value, statement or
 * change on, each counts with 192 bytes in addition to its text.
 */
bool mr_session_state_change(mr_session_state_t *state, const char *text,
                             const mr_command_t *command, bool log);

/** mr_session_state_find() - NULL if no statement is prepared as @name. */
const mr_setting_t *mr_session_state_find(const mr_session_state_t *state,
                                          const char *name);

/** mr_session_state_version() - increases with each change. */
uint64_t mr_session_state_version(const mr_session_state_t *state);
/** mr_session_state_bytes() - memory held by the state and the changes. */
size_t mr_session_state_bytes(const mr_session_state_t *state);

/** mr_session_state_settings() - list of mr_setting_t, in the order set. */
const mr_list_t *mr_session_state_settings(const mr_session_state_t *state);
/** mr_session_state_changes() - list of mr_state_change_t since
 * mr_session_state_logged_from(). */
const mr_list_t *mr_session_state_changes(const mr_session_state_t *state);
/** mr_session_state_logged_from() - version before the first logged change;
 * the present one if none is logged. */
uint64_t mr_session_state_logged_from(const mr_session_state_t *state);
/** mr_session_state_clear_changes() - the changes were applied, or the
 * transaction has ended. */
void mr_session_state_clear_changes(mr_session_state_t *state);

#endif
