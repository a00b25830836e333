/* Chooses the database for a statement, and whether to resend the statement on
 * the same connection. */

#include "session/run.h"

enum {
    /* Subtracted from a route's staleness bound, for the time between the
     * choice of a position and the execution of the read. */
    FRESH_MARGIN_MS = 50,
};

/* Returns a position that is recent enough for a read of the session's route,
 * or NULL. */
static const mr_sample_t *
usable_sample(const mr_client_t *session, const mr_cluster_t *cluster,
              mr_ms_t now)
{
    return mr_cluster_sample_since(cluster, now + FRESH_MARGIN_MS
                                                - session->route->max_age);
}

mr_region_filter_t
mr_run_regions(const mr_client_t *session)
{
    const mr_catalog_account_t *account =
        mr_catalog_account(session->catalog, session->account);

    return (mr_region_filter_t){
        .regions = session->relay->options.regions,
        .route = &session->route->allowed_regions,
        .account = account != NULL ? &account->allowed_regions : NULL,
    };
}

/* Whether the lists of regions alone exclude all databases that could run the
 * statement: all of the service, or the primary that it needs.
 * @primary: the primary; NULL: not known
 * @needs_primary: no replica can run the statement */
static bool
is_outside_regions(const mr_cluster_t *cluster, const mr_db_t *primary,
                   bool needs_primary, const mr_region_filter_t *regions)
{
    return mr_cluster_lacks_region(cluster, regions)
           || (needs_primary && primary != NULL
               && !mr_db_is_in_region(primary, regions));
}

bool
mr_run_has_position(mr_client_t *session)
{
    const mr_cluster_t *cluster = mr_clusters_find(
        session->relay->options.clusters, session->route->service);

    return cluster != NULL
           && usable_sample(session, cluster, mr_clock_now(NULL)) != NULL;
}

/* Chooses a database for a read of the session's route. Returns NULL if no
 * recent enough position is known or no database can be used. */
static mr_db_t *
choose_reader(mr_client_t *session, mr_cluster_t *cluster, mr_ms_t now)
{
    mr_run_t *run = &session->run;
    const mr_sample_t *sample = usable_sample(session, cluster, now);

    run->needs_position = sample == NULL;
    if (run->needs_position) {
        return NULL;
    }
    run->min_position = sample->position;
    /* A sample of a later term includes the session's commits, unless the
     * promotion lost them. */
    if (session->route->freshness == MR_FRESH_SESSION
        && mr_position_compare(session->position, run->min_position) > 0) {
        run->min_position = session->position;
    }
    return mr_cluster_choose_reader(
        cluster, &(mr_reader_criteria_t){.account = session->account,
                                         .min_position = run->min_position,
                                         .avoided = run->failed_db,
                                         .now = now,
                                         .regions = mr_run_regions(session)});
}

mr_db_t *
mr_run_choose_db(mr_client_t *session, mr_cluster_t *cluster)
{
    mr_run_t *run = &session->run;
    mr_ms_t now = mr_clock_now(NULL);
    bool in_tx = session->tx == MR_TX_OPEN;
    bool reads = in_tx ? session->tx_read_only : !run->writes;
    bool at_replica = reads && session->route->freshness != MR_FRESH_PRIMARY;
    mr_region_filter_t regions = mr_run_regions(session);
    mr_db_t *primary = mr_cluster_primary(cluster, now);
    bool primary_allowed =
        primary == NULL || mr_db_is_in_region(primary, &regions);

    run->begin_at_replica = false;
    run->needs_position = false;
    run->needs_lease = false;
    run->evacuated = false;
    run->outside_regions =
        is_outside_regions(cluster, primary, !at_replica, &regions);
    if (run->outside_regions) {
        return NULL;
    }
    run->mode = in_tx ? MR_RUN_TX_FIRST : MR_RUN_WRITE;
    /* After two attempts at lagging replicas the read goes to the primary. */
    if (at_replica
        && (run->last_error != MR_ERR_NOT_FRESH || run->attempts < 2
            || !primary_allowed)) {
        mr_db_t *db = choose_reader(session, cluster, now);
        if (db != NULL) {
            run->mode = in_tx ? MR_RUN_TX_FIRST : MR_RUN_POSITION_READ;
            run->begin_at_replica = in_tx;
            return db;
        }
    }
    if (reads && !in_tx) {
        run->mode = MR_RUN_PRIMARY_READ;
    }
    if (!primary_allowed) {
        return NULL;
    }
    if (primary != NULL && mr_db_is_closed(primary, now)) {
        /* A read that a replica elsewhere can run waits for it. */
        run->evacuated = !reads || run->needs_position
                         || session->route->freshness == MR_FRESH_PRIMARY
                         || mr_cluster_is_closed(cluster, now);
        return NULL;
    }
    if (primary == NULL && mr_cluster_is_closed(cluster, now)) {
        run->evacuated = true;
        return NULL;
    }
    run->needs_lease = primary != NULL && !mr_cluster_has_lease(cluster, now);
    if (primary != NULL
        && (run->needs_lease || now < primary->backoff_until)) {
        return NULL;
    }
    return primary;
}

bool
mr_run_may_resend(mr_client_t *session, mr_tx_state_t state)
{
    const mr_run_t *run = &session->run;
    mr_db_t *db = mr_db_conn_db(run->conn);
    mr_ms_t now = mr_clock_now(NULL);
    mr_ms_t limit = run->mode == MR_RUN_TX_NEXT ? mr_run_deadline(session)
                                                : mr_run_retry_limit(session);
    bool no_transaction =
        run->mode == MR_RUN_WRITE || run->mode == MR_RUN_POSITION_READ;

    if (state != (no_transaction ? MR_TX_IDLE : MR_TX_OPEN)
        || run->attempts >= MR_RUN_ATTEMPTS_MAX
        || now + MR_RUN_RETRY_FIRST_MS >= limit) {
        return false;
    }
    return (run->mode != MR_RUN_POSITION_READ && !run->begin_at_replica)
           || mr_cluster_choose_reader(
                  db->cluster,
                  &(mr_reader_criteria_t){.account = session->account,
                                          .min_position = run->min_position,
                                          .now = now,
                                          .regions = mr_run_regions(session)})
                  == db;
}
