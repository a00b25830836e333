#include "session/sampler.h"

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "session/db_conn.h"

enum {
    /* Age of the newest sample at which a primary is queried. Together with
     * the report period, it is well below the staleness that reads accept. */
    SAMPLE_MAX_AGE_MS = 250,
    ANSWER_TIMEOUT_MS = 600,
    /* The same for a cold primary, as each query takes two of the statements
     * that it may get. */
    SAMPLE_COLD_AGE_MS = 1000,
    RETRY_MS = 300, /* after a failure */
};

/** Connection to the primary of one service. */
typedef struct probe {
    mr_list_t link;
    mr_sampler_t *sampler;
    char *service;
    char *id; /* database that it is connected to */
    mr_db_conn_t *conn;
    bool ready;
    bool waiting; /* for an answer */
    mr_ms_t asked_at;
    mr_ms_t retry_at;
    mr_cold_wait_t *cold_wait; /* NULL: does not wait for a token */
} probe_t;

struct mr_sampler {
    struct event_base *base;
    mr_clusters_t *clusters;
    mr_cold_tokens_t *cold_tokens;
    mr_list_t probes;
};

mr_sampler_t *
mr_sampler_create(struct event_base *base, mr_clusters_t *clusters,
                  mr_cold_tokens_t *cold_tokens)
{
    mr_sampler_t *sampler = MR_NEW(mr_sampler_t);

    sampler->base = base;
    sampler->clusters = clusters;
    sampler->cold_tokens = cold_tokens;
    mr_list_init(&sampler->probes);
    return sampler;
}

static void
end_cold_wait(probe_t *probe)
{
    if (probe->cold_wait != NULL) {
        mr_cold_tokens_end_wait(probe->cold_wait);
        probe->cold_wait = NULL;
    }
}

/* Returns whether a statement may be sent to the database now: it is not cold,
 * or there is a token. */
static bool
take_cold_token(probe_t *probe, const mr_db_t *db, mr_ms_t now)
{
    return !mr_db_is_cold(db, now)
           || mr_cold_tokens_take(probe->sampler->cold_tokens, db->id, now);
}

static void
disconnect(probe_t *probe)
{
    end_cold_wait(probe);
    if (probe->conn != NULL) {
        mr_db_conn_close(probe->conn);
    }
    probe->conn = NULL;
    probe->ready = false;
    probe->waiting = false;
    free(probe->id);
    probe->id = NULL;
}

void
mr_sampler_stop(mr_sampler_t *sampler)
{
    MR_LIST_FOREACH(it, &sampler->probes)
    {
        disconnect(MR_LIST_ENTRY(it, probe_t, link));
    }
}

void
mr_sampler_destroy(mr_sampler_t *sampler)
{
    if (sampler == NULL) {
        return;
    }
    mr_sampler_stop(sampler);
    MR_LIST_FOREACH(it, &sampler->probes)
    {
        probe_t *probe = MR_LIST_ENTRY(it, probe_t, link);
        mr_list_remove(it);
        free(probe->service);
        free(probe);
    }
    free(sampler);
}

static probe_t *
get_probe(mr_sampler_t *sampler, const char *service)
{
    MR_LIST_FOREACH(it, &sampler->probes)
    {
        probe_t *probe = MR_LIST_ENTRY(it, probe_t, link);
        if (strcmp(probe->service, service) == 0) {
            return probe;
        }
    }
    probe_t *probe = MR_NEW(probe_t);
    probe->sampler = sampler;
    probe->service = mr_strdup(service);
    mr_list_append(&sampler->probes, &probe->link);
    return probe;
}

static void
back_off(probe_t *probe, mr_ms_t now)
{
    disconnect(probe);
    probe->retry_at = now + RETRY_MS;
}

static void
on_lost(void *ctx)
{
    probe_t *probe = ctx;

    probe->conn = NULL;
    back_off(probe, mr_clock_now(NULL));
}

static void
on_begin_reply(void *ctx, mr_db_conn_t *conn, const mr_reply_t *reply)
{
    probe_t *probe = ctx;
    mr_db_t *db = mr_db_conn_db(conn);
    mr_ms_t now = mr_clock_now(NULL);

    probe->waiting = false;
    if (reply->lost) {
        mr_db_record_failure(db, now);
        return; /* on_lost() is called next */
    }
    if (reply->error != MR_OK) {
        if (reply->error == MR_ERR_NO_PRIMARY) {
            mr_db_record_not_primary(db, now);
        }
        back_off(probe, now);
        return;
    }
    mr_db_record_answer(db, now, db->latency);
    mr_db_record_primary(db);
    if (mr_db_is_leased_primary(db, now)) {
        mr_cluster_add_sample(db->cluster, reply->position, reply->sent_at);
    }
    if (!mr_db_may_send(db, now)) {
        back_off(probe, now);
        return;
    }
    if (!take_cold_token(probe, db, now)) {
        disconnect(probe); /* the database rolls back */
        return;
    }
    mr_db_conn_query(conn, mr_relay_statement_id, NULL,
                     mr_relay_statement_text(MR_RELAY_ROLLBACK), NULL, NULL);
}

static void
query_position(probe_t *probe, mr_ms_t now)
{
    mr_db_t *db = mr_db_conn_db(probe->conn);

    if (!take_cold_token(probe, db, now)) {
        if (probe->cold_wait == NULL) {
            probe->cold_wait =
                mr_cold_tokens_begin_wait(probe->sampler->cold_tokens, db->id);
        }
        return;
    }
    end_cold_wait(probe);
    probe->waiting = true;
    probe->asked_at = now;
    mr_db_conn_query(probe->conn, mr_relay_statement_id, NULL,
                     mr_relay_statement_text(MR_RELAY_BEGIN), on_begin_reply,
                     probe);
}

static void
on_open(void *ctx, mr_db_conn_t *conn, const mr_reply_t *reply)
{
    probe_t *probe = ctx;
    mr_ms_t now = mr_clock_now(NULL);

    probe->waiting = false;
    if (reply->lost) {
        probe->conn = NULL;
        mr_db_record_failure(mr_db_conn_db(conn), now);
    }
    if (reply->lost || reply->error != MR_OK) {
        back_off(probe, now);
        return;
    }
    probe->ready = true;
    mr_db_conn_on_lost(conn, on_lost, probe);
    /* The connection to a cold primary is opened for each query. Whether one
     * is due is decided by mr_sampler_run(). */
    if (!mr_db_is_cold(mr_db_conn_db(conn), now)) {
        query_position(probe, now);
    }
}

/* Whether the position of @primary has to be queried. */
static bool
is_due(const mr_db_t *primary, const mr_sample_t *sample, mr_ms_t now)
{
    mr_ms_t age_max =
        mr_db_is_cold(primary, now) ? SAMPLE_COLD_AGE_MS : SAMPLE_MAX_AGE_MS;

    return sample == NULL || now - sample->at >= age_max;
}

static void
run_probe(probe_t *probe, mr_cluster_t *cluster, mr_ms_t now)
{
    const mr_sample_t *sample = mr_cluster_newest_sample(cluster);
    mr_db_t *primary = mr_cluster_primary(cluster, now);

    if (probe->conn != NULL
        && mr_db_is_closed(mr_db_conn_db(probe->conn), now)) {
        disconnect(probe);
    }
    if (probe->waiting) {
        if (now - probe->asked_at >= ANSWER_TIMEOUT_MS) {
            mr_db_record_failure(mr_db_conn_db(probe->conn), now);
            back_off(probe, now);
        }
        return;
    }
    if (primary == NULL || now < probe->retry_at
        || !mr_db_may_send(primary, now)) {
        return;
    }
    if (probe->id != NULL && strcmp(probe->id, primary->id) != 0) {
        disconnect(probe);
    }
    if (probe->conn == NULL) {
        probe->conn = mr_db_conn_open(probe->sampler->base, primary,
                                      mr_no_account, on_open, probe);
        if (probe->conn == NULL) {
            probe->retry_at = now + RETRY_MS;
            return;
        }
        probe->id = mr_strdup(primary->id);
        probe->waiting = true;
        probe->asked_at = now;
    }
    else if (probe->ready && is_due(primary, sample, now)) {
        query_position(probe, now);
    }
    else {
        end_cold_wait(probe);
    }
}

void
mr_sampler_run(mr_sampler_t *sampler, mr_ms_t now)
{
    MR_LIST_FOREACH(it, &sampler->clusters->list)
    {
        mr_cluster_t *cluster = MR_LIST_ENTRY(it, mr_cluster_t, link);
        if (cluster->named) {
            run_probe(get_probe(sampler, cluster->service), cluster, now);
        }
    }
}
