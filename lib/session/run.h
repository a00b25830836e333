#ifndef MR_SESSION_RUN_H
#define MR_SESSION_RUN_H

/* Shared by run.c, run_choice.c and run_limits.c. */

#include "session/client.h"

enum {
    /* First pause before another attempt, about one statement's work. */
    MR_RUN_RETRY_FIRST_MS = 15,
    MR_RUN_TRIES_MAX = 10,
};

/** mr_run_choose_db() - the database to ask next, with the way to ask it in
 * the session's run; NULL: none can be asked now. */
mr_db_t *mr_run_choose_db(mr_client_t *session, mr_cluster_t *cluster);
/** mr_run_found_position() - whether a read that seeks a position can go to a
 * replica by now. */
bool mr_run_found_position(mr_client_t *session);
/** mr_run_may_resend() - whether a statement that found no free slot is sent
 * again on its connection, which is in @state: a new one would take a slot as
 * well. Reads go elsewhere if another database is better. */
bool mr_run_may_resend(mr_client_t *session, mr_tx_state_t state);

mr_ms_t mr_run_statement_timeout(const mr_client_t *session);
/** mr_run_unoffered_limit() - how long a statement may wait without having
 * been offered to a database. */
mr_ms_t mr_run_unoffered_limit(const mr_client_t *session);
/** mr_run_silence_limit() - how long a read waits for a database that answers
 * nothing at all. */
mr_ms_t mr_run_silence_limit(const mr_client_t *session);
mr_ms_t mr_run_deadline_of(const mr_client_t *session);
/** mr_run_retry_limit() - until when it is tried again. */
mr_ms_t mr_run_retry_limit(const mr_client_t *session);
/** mr_run_open_limit() - how long a statement waits for a connection. */
mr_ms_t mr_run_open_limit(const mr_client_t *session);
/** mr_run_retry_pause() - before the next attempt, with jitter. */
mr_ms_t mr_run_retry_pause(const mr_run_t *run);

/** mr_run_log_end() - one line with what decided about the statement. */
void mr_run_log_end(mr_client_t *session, mr_error_kind_t error,
                    mr_ms_t retry_after);
/** mr_run_log_abandoned() - the client left before the answer. */
void mr_run_log_abandoned(const mr_client_t *session);

#endif
