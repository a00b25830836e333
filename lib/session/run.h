#ifndef MR_SESSION_RUN_H
#define MR_SESSION_RUN_H

/* Execution of one statement; shared by run.c, run_choice.c and run_limits.c.
 */

#include "session/client.h"

enum {
    /* First pause before another attempt: about the time that a database works
     * on a statement. */
    MR_RUN_RETRY_FIRST_MS = 15,
    MR_RUN_ATTEMPTS_MAX = 10,
};

/** mr_run_choose_db() - choose the database for the next attempt and set the
 * mode of the session's run; NULL: none can be used now. */
mr_db_t *mr_run_choose_db(mr_client_t *session, mr_cluster_t *cluster);
/** mr_run_regions() - where the session's statement is allowed to run. */
mr_region_filter_t mr_run_regions(const mr_client_t *session);
/** mr_run_has_position() - whether a read that needs a position of the primary
 * can now go to a replica. */
bool mr_run_has_position(mr_client_t *session);
/** mr_run_may_resend() - whether a statement that found no free slot may be
 * sent again on its connection, which is in @state. Opening a new connection
 * would need a slot as well. A read goes to another database if that is
 * better. */
bool mr_run_may_resend(mr_client_t *session, mr_tx_state_t state);

mr_ms_t mr_run_statement_timeout(const mr_client_t *session);
/** mr_run_unsent_limit() - how long a statement may wait before it has been
 * sent to any database. */
mr_ms_t mr_run_unsent_limit(const mr_client_t *session);
/** mr_run_silence_limit() - how long a read waits for a database that sends
 * no replies at all. */
mr_ms_t mr_run_silence_limit(const mr_client_t *session);
mr_ms_t mr_run_deadline(const mr_client_t *session);
/** mr_run_retry_limit() - time until which a statement is retried. */
mr_ms_t mr_run_retry_limit(const mr_client_t *session);
/** mr_run_open_limit() - how long a statement waits for a connection. */
mr_ms_t mr_run_open_limit(const mr_client_t *session);
/** mr_run_retry_pause() - pause before the next attempt, with jitter. */
mr_ms_t mr_run_retry_pause(const mr_run_t *run);

/** mr_run_log_end() - log the outcome of the statement with details of its
 * execution, and add its time to the histograms. */
void mr_run_log_end(mr_client_t *session, mr_error_kind_t error,
                    mr_ms_t retry_after);
/** mr_run_log_abandoned() - log that the client left before the answer. */
void mr_run_log_abandoned(const mr_client_t *session);

#endif
