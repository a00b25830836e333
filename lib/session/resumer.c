#include "session/resumer.h"

#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/log.h"
#include "common/mem.h"
#include "common/timer.h"
#include "session/db_conn.h"

enum {
    ATTEMPT_TIMEOUT_MS = 350, /* for a new connection and one answer */
    RETRY_MS = 300,
    /* A replica without a registration for this long is taken as gone. Its
     * registration may lapse while the store is out, and comes back then. */
    MISSING_MAX_MS = 60000,
};

struct mr_resumer {
    struct event_base *base;
    mr_clusters_t *clusters;
    mr_lease_grantor_t *grantor;
    mr_list_t resumptions;
};

/** The attempts to resume one replica. */
typedef struct resumption {
    mr_list_t link;
    mr_resumer_t *resumer;
    char *service;
    char *id;
    mr_db_conn_t *conn;
    mr_ms_t missing_since; /* its registration; 0: it is registered */
    struct event *timer;   /* before the next attempt, or for an answer */
} resumption_t;

mr_resumer_t *
mr_resumer_create(struct event_base *base, mr_clusters_t *clusters,
                  mr_lease_grantor_t *grantor)
{
    mr_resumer_t *resumer = MR_NEW(mr_resumer_t);

    resumer->base = base;
    resumer->clusters = clusters;
    resumer->grantor = grantor;
    mr_list_init(&resumer->resumptions);
    return resumer;
}

static void
free_resumption(resumption_t *resumption)
{
    if (resumption->conn != NULL) {
        mr_db_conn_close(resumption->conn);
    }
    mr_list_remove(&resumption->link);
    event_free(resumption->timer);
    free(resumption->service);
    free(resumption->id);
    free(resumption);
}

void
mr_resumer_destroy(mr_resumer_t *resumer)
{
    MR_LIST_FOREACH(it, &resumer->resumptions)
    {
        free_resumption(MR_LIST_ENTRY(it, resumption_t, link));
    }
    free(resumer);
}

static mr_db_t *
find_registered(mr_resumer_t *resumer, const char *service, const char *id)
{
    mr_cluster_t *cluster = mr_clusters_get(resumer->clusters, service);

    MR_LIST_FOREACH(it, &cluster->dbs)
    {
        mr_db_t *db = MR_LIST_ENTRY(it, mr_db_t, link);
        if (!db->removed && strcmp(db->id, id) == 0) {
            return db;
        }
    }
    return NULL;
}

/* Tries again after a pause. */
static void
retry_resumption(resumption_t *resumption)
{
    resumption->conn = NULL;
    mr_timer_start(resumption->timer, RETRY_MS);
}

static void
on_resumed(void *ctx, mr_db_conn_t *conn, const mr_reply_t *reply)
{
    resumption_t *resumption = ctx;

    if (reply->lost) {
        retry_resumption(resumption);
        return;
    }
    mr_log(MR_LOG_INFO, MR_EVENT_REPLICA_RESUMED, "service=%s id=%s error=%s",
           resumption->service, resumption->id, mr_error_name(reply->error));
    if (reply->error == MR_OK) {
        free_resumption(resumption);
        return;
    }
    mr_db_conn_close(conn);
    retry_resumption(resumption);
}

static void
on_resumption_open(void *ctx, mr_db_conn_t *conn, const mr_reply_t *reply)
{
    resumption_t *resumption = ctx;

    if (reply->lost || reply->error != MR_OK) {
        if (!reply->lost) {
            mr_db_conn_close(conn);
        }
        retry_resumption(resumption);
        return;
    }
    mr_db_conn_query(conn, mr_relay_statement_id, NULL,
                     mr_relay_statement_text(MR_RELAY_RESUME), on_resumed,
                     resumption);
}

/* Begins an attempt. */
static void
on_resumption_timer(evutil_socket_t fd, short what, void *ctx)
{
    resumption_t *resumption = ctx;
    mr_resumer_t *resumer = resumption->resumer;
    mr_db_t *db =
        find_registered(resumer, resumption->service, resumption->id);
    mr_ms_t now = mr_clock_now(NULL);

    (void)fd;
    (void)what;
    if (resumption->conn != NULL) {
        mr_db_conn_close(resumption->conn); /* no answer in time */
        resumption->conn = NULL;
    }
    if (db != NULL) {
        resumption->missing_since = 0;
    }
    else if (resumption->missing_since == 0) {
        resumption->missing_since = now;
    }
    if (!mr_lease_grantor_leads(resumer->grantor, now)
        || (db == NULL && now - resumption->missing_since > MISSING_MAX_MS)) {
        free_resumption(resumption);
        return;
    }
    if (db == NULL || !mr_db_may_send(db, now)) {
        retry_resumption(resumption);
        return;
    }
    resumption->conn = mr_db_conn_open(resumer->base, db, mr_no_account,
                                       on_resumption_open, resumption);
    mr_timer_start(resumption->timer, ATTEMPT_TIMEOUT_MS);
}

void
mr_resumer_cancel(mr_resumer_t *resumer, const char *service)
{
    MR_LIST_FOREACH(it, &resumer->resumptions)
    {
        resumption_t *resumption = MR_LIST_ENTRY(it, resumption_t, link);
        if (strcmp(resumption->service, service) == 0) {
            free_resumption(resumption);
        }
    }
}

void
mr_resumer_resume(mr_resumer_t *resumer, mr_cluster_t *cluster)
{
    const mr_db_t *primary = mr_cluster_known_primary(cluster);

    mr_resumer_cancel(resumer, cluster->service);
    MR_LIST_FOREACH(it, &cluster->dbs)
    {
        const mr_db_t *db = MR_LIST_ENTRY(it, mr_db_t, link);
        if (db->removed || db == primary) {
            continue;
        }
        resumption_t *resumption = MR_NEW(resumption_t);
        resumption->resumer = resumer;
        resumption->service = mr_strdup(cluster->service);
        resumption->id = mr_strdup(db->id);
        resumption->timer =
            evtimer_new(resumer->base, on_resumption_timer, resumption);
        mr_list_append(&resumer->resumptions, &resumption->link);
        mr_timer_start(resumption->timer, 0);
    }
}
