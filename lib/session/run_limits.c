/* Time limits of a statement at each stage, and its log lines. */

#include "common/log.h"
#include "common/timer.h"
#include "session/run.h"

enum {
    /* How long a read waits for a connection. Opening one occupies a slot for
     * 12 to 27 ms, or longer if it has to queue. After this time another
     * database may be better. */
    OPEN_TIMEOUT_MS = 300,
    /* Longest pause before another attempt; pauses double up to it. About the
     * time that a database works on a statement. */
    RETRY_MAX_MS = 120,
    /* Part of a statement's timeout after which it is refused instead of
     * retried, which leaves the client time for its own retry. */
    RETRY_PERCENT = 70,
    STATEMENT_TIMEOUT_DEFAULT_MS = 1000, /* for routes without a timeout */
    OBJECTIVE_DEFAULT_MS = 200,          /* for routes without an objective */
    /* Part of the latency objective after which a read gives up on a silent
     * database. */
    SILENCE_PERCENT = 75,
};

mr_ms_t
mr_run_statement_timeout(const mr_client_t *session)
{
    mr_ms_t timeout = session->route->statement_timeout;

    return timeout > 0 ? timeout : STATEMENT_TIMEOUT_DEFAULT_MS;
}

mr_ms_t
mr_run_unsent_limit(const mr_client_t *session)
{
    mr_ms_t objective = session->route->objective;

    return (objective > 0 ? objective : OBJECTIVE_DEFAULT_MS) / 5;
}

mr_ms_t
mr_run_silence_limit(const mr_client_t *session)
{
    mr_ms_t objective = session->route->objective;

    return (objective > 0 ? objective : OBJECTIVE_DEFAULT_MS) * SILENCE_PERCENT
           / 100;
}

mr_ms_t
mr_run_deadline(const mr_client_t *session)
{
    return session->run.started_at + mr_run_statement_timeout(session);
}

mr_ms_t
mr_run_retry_limit(const mr_client_t *session)
{
    return session->run.started_at
           + mr_run_statement_timeout(session) * RETRY_PERCENT / 100;
}

mr_ms_t
mr_run_retry_pause(const mr_run_t *run)
{
    return mr_timer_jitter(
        mr_timer_backoff(MR_RUN_RETRY_FIRST_MS, RETRY_MAX_MS, run->attempts));
}

/* A read gives up early, as it can use another database. Everything else can
 * only wait for the primary. */
mr_ms_t
mr_run_open_limit(const mr_client_t *session)
{
    const mr_run_t *run = &session->run;
    mr_ms_t left = mr_run_retry_limit(session) - mr_clock_now(NULL);
    bool has_alternative =
        run->mode == MR_RUN_POSITION_READ || run->begin_at_replica;

    return has_alternative && left > OPEN_TIMEOUT_MS ? OPEN_TIMEOUT_MS : left;
}

static const char *const mode_names[] = {
    [MR_RUN_WRITE] = "write",
    [MR_RUN_PRIMARY_READ] = "present_read",
    [MR_RUN_POSITION_READ] = "aged_read",
    [MR_RUN_TX_FIRST] = "transaction_begin",
    [MR_RUN_TX_NEXT] = "transaction",
};

/* Age of the newest known position of the primary; -1: none is known. */
static mr_ms_t
newest_sample_age(const mr_client_t *session, mr_ms_t now)
{
    const mr_cluster_t *cluster = mr_clusters_find(
        session->relay->options.clusters, session->route->service);
    const mr_sample_t *sample =
        cluster != NULL ? mr_cluster_newest_sample(cluster) : NULL;

    return sample != NULL ? now - sample->at : -1;
}

void
mr_run_log_end(mr_client_t *session, mr_error_kind_t error,
               mr_ms_t retry_after)
{
    const mr_run_t *run = &session->run;
    mr_ms_t now = mr_clock_now(NULL);
    mr_ms_t took = now - run->started_at;

    mr_histogram_add(error == MR_OK ? &session->relay->latency
                                    : &session->relay->failures,
                     took);
    mr_log_request(
        error == MR_OK ? MR_LOG_SUCCEEDED : MR_LOG_FAILED,
        MR_EVENT_REQUEST_ENDED,
        "id=%s account=%s database=%s mode=%s target=%s after=%lld.%lld "
        "sample_age_ms=%lld config=%lld tries=%d offered=%d error=%s "
        "retry_after_ms=%lld took_ms=%lld",
        run->line.u.query.id, session->account, session->database,
        mode_names[run->mode], run->target, (long long)run->min_position.term,
        (long long)run->min_position.number,
        (long long)newest_sample_age(session, now),
        (long long)session->catalog->version, run->attempts, run->sent_before,
        mr_error_name(error), (long long)retry_after, (long long)took);
}

void
mr_run_log_abandoned(const mr_client_t *session)
{
    mr_log_request(MR_LOG_FAILED, MR_EVENT_REQUEST_ABANDONED,
                   "id=%s account=%s mode=%s target=%s stage=%d tries=%d "
                   "offered=%d waited_ms=%lld",
                   session->run.line.u.query.id, session->account,
                   mode_names[session->run.mode], session->run.target,
                   session->run.stage, session->run.attempts,
                   session->run.sent_before,
                   (long long)(mr_clock_now(NULL) - session->run.started_at));
}
