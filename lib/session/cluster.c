#include "session/cluster.h"

#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/mem.h"
#include "common/timer.h"
#include "member/rendezvous.h"
#include "placement/cold_limit.h"
#include "session/conn_pool.h"

enum {
    /* Longer than a registration takes from its database to this instance. */
    ROW_DELAY_MS = 1000,
    /* Backoff after a failed connection or a lost answer, doubled each time up
     * to the maximum. */
    BACKOFF_FIRST_MS = 100,
    BACKOFF_MAX_MS = 1600,
    /* A database that refused a write because it is a replica is tried again
     * after this time, even if its registration has not changed. */
    NOT_PRIMARY_RETRY_MS = 300,
    /* Lapsed registrations return within this time, as the platform states.
     */
    MISSING_MAX_MS = 2000,
    /* How long a replica that did not hold a position ranks lower for reads at
     * that position or later ones. */
    MISSING_POSITION_RETRY_MS = 150,
    /* How long a database without a free slot ranks lower: about the time that
     * its queue of statements takes. */
    BUSY_RETRY_MS = 300,
    KEPT_CONNS_DEFAULT = 1, /* while the limit of a service is not known */
    /* Part of a database's connections that are kept open. The rest is for
     * statements that find no idle connection, and for new instances. */
    KEPT_PERCENT = 90,
    /* The same with less than one connection for each instance, when most
     * statements find no idle connection. */
    KEPT_SCARCE_PERCENT = 60,
    /* Minimum distance of the samples of the primary's position. With it, a
     * full ring spans the longest age that reads accept. */
    SAMPLE_INTERVAL_MS = 60,
    /* Time that a read gets to query the primary's position, with a new
     * connection and BEGIN. After that, another read may query. */
    POSITION_QUERY_MS = 100,
    /* Above all other costs of a read together: a database that has just
     * ceased to be cold or evacuated, a cold one, and an evacuated one, which
     * only gets a read that no other one can run. */
    RAMP_COST = 100000,
    COLD_COST = 1000000,
    EVACUATED_COST = 10000000,
    LATENCY_WEIGHT = 8, /* a new answer time counts 1/8 in the average */
    /* How long a replica that has left counts as one that may hold a commit.
     * Longer than a database is dark, or cut off, before it is back. */
    LEFT_REPLICA_MS = 10000,
};

mr_clusters_t *
mr_clusters_create(const char *instance, const char *data_centre)
{
    mr_clusters_t *clusters = MR_NEW(mr_clusters_t);

    mr_list_init(&clusters->list);
    clusters->instance = mr_strdup(instance);
    clusters->data_centre = mr_strdup(data_centre);
    clusters->instance_count = 1;
    return clusters;
}

static void
free_db(mr_db_t *db)
{
    mr_list_remove(&db->link);
    free(db->id);
    free(db->address);
    free(db->data_centre);
    free(db);
}

/* Marks @db as removed and closes its idle connections. It is freed with its
 * last connection. */
static void
remove_db(mr_db_t *db)
{
    db->removed = true;
    db->open_conns++; /* keeps @db while its connections close */
    mr_conn_pool_clear(db);
    mr_db_release(db);
}

void
mr_db_release(mr_db_t *db)
{
    if (--db->open_conns == 0 && db->removed) {
        free_db(db);
    }
}

void
mr_clusters_destroy(mr_clusters_t *clusters)
{
    mr_list_t *link;

    if (clusters == NULL) {
        return;
    }
    while ((link = mr_list_pop(&clusters->list)) != NULL) {
        mr_cluster_t *cluster = MR_LIST_ENTRY(link, mr_cluster_t, link);
        MR_LIST_FOREACH(it, &cluster->dbs)
        {
            remove_db(MR_LIST_ENTRY(it, mr_db_t, link));
        }
        free(cluster->service);
        free(cluster->promoted_id);
        free(cluster->primary_id);
        free(cluster->replaced_id);
        free(cluster);
    }
    free(clusters->instance);
    free(clusters->data_centre);
    free(clusters);
}

void
mr_clusters_set_lease(mr_clusters_t *clusters, const mr_primary_lease_t *lease)
{
    clusters->lease = lease;
}

void
mr_clusters_set_evacuations(mr_clusters_t *clusters,
                            const mr_evacuations_t *evacuations)
{
    clusters->evacuations = evacuations;
}

bool
mr_clusters_certain(const mr_clusters_t *clusters, mr_ms_t now)
{
    return clusters->evacuations == NULL
           || mr_evacuations_certain(clusters->evacuations, now);
}

bool
mr_db_is_evacuated(const mr_db_t *db)
{
    const mr_evacuations_t *evacuations = db->cluster->clusters->evacuations;

    return evacuations != NULL
           && mr_evacuations_covers(evacuations, db->data_centre);
}

bool
mr_db_is_closed(const mr_db_t *db, mr_ms_t now)
{
    const mr_evacuations_t *evacuations = db->cluster->clusters->evacuations;

    return evacuations != NULL
           && !mr_evacuations_may_send(evacuations, db->data_centre, now);
}

bool
mr_db_may_send(const mr_db_t *db, mr_ms_t now)
{
    return !mr_db_is_closed(db, now)
           && mr_clusters_certain(db->cluster->clusters, now);
}

int64_t
mr_clusters_count_evacuated_primaries(mr_clusters_t *clusters)
{
    int64_t count = 0;

    MR_LIST_FOREACH(it, &clusters->list)
    {
        mr_cluster_t *cluster = MR_LIST_ENTRY(it, mr_cluster_t, link);
        const mr_db_t *primary = mr_cluster_known_primary(cluster);
        count +=
            cluster->named && primary != NULL && mr_db_is_evacuated(primary);
    }
    return count;
}

bool
mr_clusters_has_data_centre(const mr_clusters_t *clusters,
                            const char *data_centre)
{
    MR_LIST_FOREACH(it, &clusters->list)
    {
        const mr_cluster_t *cluster = MR_LIST_ENTRY(it, mr_cluster_t, link);
        MR_LIST_FOREACH(jt, &cluster->dbs)
        {
            const mr_db_t *db = MR_LIST_ENTRY(jt, mr_db_t, link);
            if (!db->removed && strcmp(db->data_centre, data_centre) == 0) {
                return true;
            }
        }
    }
    return false;
}

void
mr_clusters_close_evacuated(mr_clusters_t *clusters, mr_ms_t now)
{
    MR_LIST_FOREACH(it, &clusters->list)
    {
        mr_cluster_t *cluster = MR_LIST_ENTRY(it, mr_cluster_t, link);
        MR_LIST_FOREACH(jt, &cluster->dbs)
        {
            mr_db_t *db = MR_LIST_ENTRY(jt, mr_db_t, link);
            if (!db->removed && mr_db_is_closed(db, now)) {
                mr_conn_pool_clear(db);
            }
        }
    }
}

mr_cluster_t *
mr_clusters_find(mr_clusters_t *clusters, const char *service)
{
    MR_LIST_FOREACH(it, &clusters->list)
    {
        mr_cluster_t *cluster = MR_LIST_ENTRY(it, mr_cluster_t, link);
        if (strcmp(cluster->service, service) == 0) {
            return cluster;
        }
    }
    return NULL;
}

mr_cluster_t *
mr_clusters_get(mr_clusters_t *clusters, const char *service)
{
    mr_cluster_t *cluster = mr_clusters_find(clusters, service);

    if (cluster == NULL) {
        cluster = MR_NEW(mr_cluster_t);
        cluster->clusters = clusters;
        cluster->service = mr_strdup(service);
        mr_list_init(&cluster->dbs);
        mr_list_append(&clusters->list, &cluster->link);
    }
    return cluster;
}

/* Computes this instance's share of the connections that are kept to @db. A
 * hash decides which instances take one more, so that on average the remainder
 * of the division is used, by other instances for each database. */
static void
update_kept_conns_max(mr_db_t *db)
{
    const mr_clusters_t *clusters = db->cluster->clusters;
    int64_t connections = db->cluster->connections_max;
    bool scarce = connections < clusters->instance_count;
    int64_t kept =
        connections * (scarce ? KEPT_SCARCE_PERCENT : KEPT_PERCENT) / 100;
    uint64_t hash = mr_rendezvous_score(db->id, clusters->instance)
                    % (uint64_t)clusters->instance_count;

    db->kept_conns_max = (int)(kept / clusters->instance_count);
    if ((int64_t)hash < kept % clusters->instance_count) {
        db->kept_conns_max++;
    }
    if (connections == 0) {
        db->kept_conns_max = KEPT_CONNS_DEFAULT;
    }
}

static void
update_all_kept_conns_max(mr_cluster_t *cluster)
{
    MR_LIST_FOREACH(it, &cluster->dbs)
    {
        update_kept_conns_max(MR_LIST_ENTRY(it, mr_db_t, link));
    }
}

void
mr_clusters_begin_services(mr_clusters_t *clusters)
{
    MR_LIST_FOREACH(it, &clusters->list)
    {
        MR_LIST_ENTRY(it, mr_cluster_t, link)->named = false;
    }
}

void
mr_cluster_set_connections(mr_cluster_t *cluster, int64_t connections)
{
    cluster->named = true;
    cluster->connections_max = connections;
    update_all_kept_conns_max(cluster);
}

static mr_db_t *
find_db(mr_cluster_t *cluster, const char *id)
{
    MR_LIST_FOREACH(it, &cluster->dbs)
    {
        mr_db_t *db = MR_LIST_ENTRY(it, mr_db_t, link);
        if (!db->removed && strcmp(db->id, id) == 0) {
            return db;
        }
    }
    return NULL;
}

void
mr_cluster_set_cold(mr_cluster_t *cluster, int64_t rate, mr_ms_t start)
{
    cluster->cold_rate = rate;
    cluster->cold_start = start;
}

int64_t
mr_clusters_cold_rate(const mr_clusters_t *clusters, const char *id)
{
    MR_LIST_FOREACH(it, &clusters->list)
    {
        mr_cluster_t *cluster = MR_LIST_ENTRY(it, mr_cluster_t, link);
        if (cluster->cold_rate > 0 && find_db(cluster, id) != NULL) {
            return cluster->cold_rate;
        }
    }
    return 0;
}

bool
mr_db_is_cold(const mr_db_t *db, mr_ms_t now)
{
    return db->cluster->cold_rate > 0
           && (now < db->cold.until || now < db->cold.suspect_until);
}

static void
log_cold(const mr_db_t *db, const char *reason, mr_ms_t left)
{
    mr_log(MR_LOG_INFO, MR_EVENT_DATABASE_COLD,
           "service=%s id=%s reason=%s left_ms=%lld", db->cluster->service,
           db->id, reason, (long long)left);
}

void
mr_db_record_lost(mr_db_t *db, mr_ms_t now)
{
    mr_cold_state_t *cold = &db->cold;

    if (db->removed || db->cluster->cold_rate == 0
        || db->cluster->cold_start == 0) {
        return;
    }
    if (!mr_db_is_cold(db, now)) {
        log_cold(db, "connection_lost", db->cluster->cold_start);
    }
    cold->lost_at = now;
    cold->lost_set = db->cluster->clusters->newest_set;
    cold->suspect_until = now + db->cluster->cold_start;
}

/* Applies the registration of @db that has just been read, unless the same one
 * was read before. */
static void
update_cold(mr_db_t *db, mr_ms_t now)
{
    mr_cold_state_t *cold = &db->cold;
    bool newer = cold->read.version != 0
                 && mr_revision_compare(cold->read, cold->row) > 0;

    if (!newer) {
        return;
    }
    cold->row = cold->read;
    if (cold->left > 0) {
        if (!mr_db_is_cold(db, now) && db->cluster->cold_rate > 0) {
            log_cold(db, "registered", cold->left);
        }
        cold->until = now + cold->left;
    }
    else if (now < cold->until) {
        cold->until = now;
    }
    if (now < cold->suspect_until && now - cold->lost_at >= ROW_DELAY_MS
        && mr_revision_compare(cold->row, cold->lost_set) > 0) {
        cold->suspect_until = now;
    }
}

/* When the last cold period of @db ended; 0: it was not cold. */
static mr_ms_t
cold_ended(const mr_db_t *db)
{
    const mr_cold_state_t *cold = &db->cold;

    return cold->until > cold->suspect_until ? cold->until
                                             : cold->suspect_until;
}

void
mr_clusters_set_instances(mr_clusters_t *clusters, int64_t instances)
{
    instances = instances > 0 ? instances : 1;
    if (instances == clusters->instance_count) {
        return; /* usual: each reply to a report repeats the number */
    }
    clusters->instance_count = instances;
    MR_LIST_FOREACH(it, &clusters->list)
    {
        update_all_kept_conns_max(MR_LIST_ENTRY(it, mr_cluster_t, link));
    }
}

/* A database that moved or restarted keeps none of its former state. */
static bool
is_same_process(const mr_db_t *db, const mr_db_entry_t *entry)
{
    return strcmp(db->address, entry->address) == 0
           && db->started_at == entry->started_at;
}

static mr_db_t *
add_db(mr_cluster_t *cluster, const char *id, const mr_db_entry_t *entry)
{
    mr_db_t *db = MR_NEW(mr_db_t);

    db->cluster = cluster;
    db->id = mr_strdup(id);
    db->address = mr_strdup(entry->address);
    db->data_centre = mr_strdup(entry->data_centre);
    db->started_at = entry->started_at;
    mr_list_init(&db->idle_conns);
    mr_list_init(&db->waiters);
    db->former_primary = cluster->replaced_id != NULL
                         && strcmp(cluster->replaced_id, id) == 0
                         && cluster->replaced_started_at == entry->started_at;
    mr_list_append(&cluster->dbs, &db->link);
    update_kept_conns_max(db);
    mr_log(MR_LOG_INFO, MR_EVENT_DATABASE_FOUND,
           "service=%s id=%s address=%s role=%s", cluster->service, id,
           entry->address, entry->primary ? "primary" : "replica");
    return db;
}

void
mr_clusters_begin_update(mr_clusters_t *clusters, mr_revision_t revision)
{
    if (clusters->newest_set.version != 0
        && revision.era > clusters->newest_set.era) {
        clusters->era_before_restore = clusters->newest_set.era;
        clusters->first_after_restore = revision;
    }
    clusters->newest_set = revision;
    MR_LIST_FOREACH(it, &clusters->list)
    {
        mr_cluster_t *cluster = MR_LIST_ENTRY(it, mr_cluster_t, link);
        MR_LIST_FOREACH(jt, &cluster->dbs)
        {
            MR_LIST_ENTRY(jt, mr_db_t, link)->in_current_set = false;
        }
    }
}

/* Returns whether the row at @revision may be of the copy that the store was
 * restored from. */
static bool
may_be_copy(const mr_clusters_t *clusters, mr_revision_t revision)
{
    const mr_revision_t *first = &clusters->first_after_restore;

    return revision.era == first->era && revision.version <= first->version;
}

/* Updates since when @db is registered as the primary. One that registered as
 * the primary before a restoration and again after it outranks all promotions
 * before the restoration, and none after it.
 * @added: this process has just learned of @db */
static void
set_primary(mr_db_t *db, const char *id, mr_revision_t revision, bool added)
{
    mr_clusters_t *clusters = db->cluster->clusters;

    if (db->primary_since != 0) {
        int64_t era_start =
            mr_revision_number((mr_revision_t){revision.era, 1});
        if (db->primary_since >= era_start
            || may_be_copy(clusters, revision)) {
            return;
        }
        revision.version = 1;
    }
    else {
        db->primary_since_known = !added && !may_be_copy(clusters, revision);
    }
    db->primary_since = mr_revision_number(revision);
    mr_log(MR_LOG_INFO, MR_EVENT_PRIMARY_REGISTERED,
           "service=%s id=%s era=%lld version=%lld", db->cluster->service, id,
           (long long)revision.era, (long long)revision.version);
}

void
mr_clusters_add_registration(mr_clusters_t *clusters, const char *id,
                             const mr_db_entry_t *entry,
                             mr_revision_t revision)
{
    mr_cluster_t *cluster = mr_clusters_get(clusters, entry->service);
    mr_db_t *db = find_db(cluster, id);
    mr_revision_t read_at = revision;
    bool added;

    if (db != NULL && !is_same_process(db, entry)) {
        mr_log(MR_LOG_INFO, MR_EVENT_DATABASE_RESTARTED, "service=%s id=%s",
               cluster->service, id);
        remove_db(db);
        db = NULL;
    }
    added = db == NULL;
    if (added) {
        db = add_db(cluster, id, entry);
        /* A promotion of another database is known. Whether this one became
         * the primary after that cannot be told from its registration, which
         * is written again all the time. */
        db->former_primary |= entry->primary && cluster->promoted_id != NULL
                              && strcmp(cluster->promoted_id, id) != 0;
        if (may_be_copy(clusters, revision)) {
            /* Perhaps a former primary. */
            revision.era = clusters->era_before_restore;
        }
    }
    db->in_current_set = true;
    db->cold.left = entry->cold_left;
    db->cold.read = read_at;
    db->slots = entry->slots > 0 ? entry->slots : 1;
    if (entry->draining != db->draining) {
        db->draining = entry->draining;
        mr_log(MR_LOG_INFO, MR_EVENT_DATABASE_DRAINING,
               "service=%s id=%s draining=%d", cluster->service, id,
               db->draining);
    }
    if (!entry->primary) {
        db->primary_since = 0;
        db->former_primary = false;
    }
    else if (!db->former_primary) {
        /* A former primary that has not heard of the promotion registers as
         * the primary again, later than the new one. */
        set_primary(db, id, revision, added);
    }
}

/* Removes a database that has been missing for too long. Registrations that
 * lapsed during a store outage return shortly after it. */
static void
check_missing(mr_db_t *db, mr_ms_t now)
{
    if (db->in_current_set) {
        db->missing_since = 0;
        return;
    }
    if (db->missing_since == 0) {
        db->missing_since = now;
    }
    if (now - db->missing_since >= MISSING_MAX_MS) {
        mr_log(MR_LOG_INFO, MR_EVENT_DATABASE_GONE,
               "service=%s id=%s missing_ms=%lld", db->cluster->service,
               db->id, (long long)(now - db->missing_since));
        remove_db(db);
    }
}

/* Number of the newest promotion or registration that makes @db the primary;
 * 0: none. */
static int64_t
primary_claim(const mr_cluster_t *cluster, const mr_db_t *db)
{
    bool promoted = cluster->promoted_id != NULL
                    && strcmp(cluster->promoted_id, db->id) == 0;

    return promoted && cluster->promoted_token > db->primary_since
               ? cluster->promoted_token
               : db->primary_since;
}

static void
note_primary(mr_cluster_t *cluster)
{
    const mr_db_t *primary = mr_cluster_known_primary(cluster);

    free(cluster->primary_id);
    cluster->primary_id = primary != NULL ? mr_strdup(primary->id) : NULL;
}

/* While the primary still registers as such, registrations of others as the
 * primary do not count: they are former primaries that have not heard of the
 * promotion. A change of primary is known from the promotion itself. */
static void
keep_registered_primary(mr_cluster_t *cluster)
{
    mr_db_t *before = cluster->primary_id != NULL
                          ? find_db(cluster, cluster->primary_id)
                          : NULL;

    if (before != NULL && before->primary_since != 0) {
        int64_t claim = primary_claim(cluster, before);
        MR_LIST_FOREACH(it, &cluster->dbs)
        {
            mr_db_t *db = MR_LIST_ENTRY(it, mr_db_t, link);
            if (db != before && db->primary_since > claim) {
                db->primary_since = 0;
            }
        }
    }
    note_primary(cluster);
}

/* Records a change of primary that another coordinator has brought about and
 * that shows in the registrations first. */
static void
record_registered_change(mr_cluster_t *cluster)
{
    const mr_db_t *primary = mr_cluster_known_primary(cluster);

    if (primary != NULL && primary->primary_since_known
        && primary->primary_since > cluster->promoted_token
        && (cluster->promoted_id == NULL
            || strcmp(cluster->promoted_id, primary->id) != 0)) {
        mr_cluster_record_promotion(cluster, primary->id,
                                    primary->primary_since);
    }
}

static void
count_replicas(mr_cluster_t *cluster, mr_ms_t now)
{
    const mr_db_t *primary = mr_cluster_known_primary(cluster);
    int before = mr_cluster_replicas(cluster, now);
    int count = 0;

    MR_LIST_FOREACH(it, &cluster->dbs)
    {
        const mr_db_t *db = MR_LIST_ENTRY(it, mr_db_t, link);
        count += !db->removed && db->in_current_set && db != primary;
    }
    if (count >= before) {
        cluster->replicas_before = count;
        cluster->fewer_since = 0;
    }
    else if (cluster->fewer_since == 0 || count < cluster->replicas) {
        cluster->replicas_before = before;
        cluster->fewer_since = now;
    }
    cluster->replicas = count;
}

int
mr_cluster_replicas(const mr_cluster_t *cluster, mr_ms_t now)
{
    bool left_long = cluster->fewer_since != 0
                     && now - cluster->fewer_since >= LEFT_REPLICA_MS;

    return left_long ? cluster->replicas : cluster->replicas_before;
}

void
mr_clusters_end_update(mr_clusters_t *clusters, mr_ms_t now)
{
    MR_LIST_FOREACH(it, &clusters->list)
    {
        mr_cluster_t *cluster = MR_LIST_ENTRY(it, mr_cluster_t, link);
        MR_LIST_FOREACH(jt, &cluster->dbs)
        {
            mr_db_t *db = MR_LIST_ENTRY(jt, mr_db_t, link);
            if (!db->removed) {
                update_cold(db, now);
                check_missing(db, now);
            }
        }
        keep_registered_primary(cluster);
        record_registered_change(cluster);
        count_replicas(cluster, now);
        if (mr_cluster_known_primary(cluster) != NULL) {
            cluster->no_primary_since = 0;
        }
        else if (cluster->no_primary_since == 0) {
            cluster->no_primary_since = now;
        }
    }
}

static bool
refused_recently(const mr_db_t *db, mr_ms_t now)
{
    return db->refused_at != 0 && now < db->refused_at + NOT_PRIMARY_RETRY_MS;
}

/* Whether all that is known of the primary are the registrations of two
 * databases, of which one is a former primary. */
static bool
is_ambiguous(const mr_cluster_t *cluster)
{
    int registered = 0;

    MR_LIST_FOREACH(it, &cluster->dbs)
    {
        const mr_db_t *db = MR_LIST_ENTRY(it, mr_db_t, link);
        if (db->removed || db->primary_since == 0) {
            continue;
        }
        if (db->primary_since_known) {
            return false;
        }
        registered++;
    }
    return registered > 1 && cluster->promoted_id == NULL;
}

static mr_db_t *
find_primary(mr_cluster_t *cluster, bool include_refusing, mr_ms_t now)
{
    mr_db_t *best = NULL;
    int64_t best_claim = 0;

    if (is_ambiguous(cluster)) {
        return NULL;
    }
    MR_LIST_FOREACH(it, &cluster->dbs)
    {
        mr_db_t *db = MR_LIST_ENTRY(it, mr_db_t, link);
        int64_t claim = primary_claim(cluster, db);
        if (db->removed || (!include_refusing && refused_recently(db, now))) {
            continue;
        }
        if (claim > best_claim) {
            best = db;
            best_claim = claim;
        }
    }
    return best;
}

mr_db_t *
mr_cluster_primary(mr_cluster_t *cluster, mr_ms_t now)
{
    return find_primary(cluster, false, now);
}

mr_db_t *
mr_cluster_known_primary(mr_cluster_t *cluster)
{
    return find_primary(cluster, true, 0);
}

bool
mr_cluster_has_lease(const mr_cluster_t *cluster, mr_ms_t now)
{
    const mr_primary_lease_t *lease = cluster->clusters->lease;

    return lease == NULL
           || mr_primary_lease_covers(lease, cluster->service, now);
}

bool
mr_db_is_leased_primary(const mr_db_t *db, mr_ms_t now)
{
    return mr_cluster_has_lease(db->cluster, now)
           && db == mr_cluster_known_primary(db->cluster);
}

/* The database @promoted_id takes over with @token: databases that registered
 * as the primary before are not the primary, whatever they register next. */
static void
mark_former_primaries(mr_cluster_t *cluster, const char *promoted_id,
                      int64_t token)
{
    mr_db_t *primary = mr_cluster_known_primary(cluster);

    if (primary != NULL && strcmp(primary->id, promoted_id) != 0
        && primary_claim(cluster, primary) < token) {
        free(cluster->replaced_id);
        cluster->replaced_id = mr_strdup(primary->id);
        cluster->replaced_started_at = primary->started_at;
    }
    MR_LIST_FOREACH(it, &cluster->dbs)
    {
        mr_db_t *db = MR_LIST_ENTRY(it, mr_db_t, link);
        if (strcmp(db->id, promoted_id) == 0) {
            db->former_primary = false;
        }
        else if (db->primary_since != 0
                 && (db->primary_since < token || !db->primary_since_known)) {
            db->former_primary = true;
            db->primary_since = 0;
        }
    }
}

int64_t
mr_cluster_primary_claim(mr_cluster_t *cluster)
{
    const mr_db_t *primary = mr_cluster_known_primary(cluster);

    return primary != NULL ? primary_claim(cluster, primary) : 0;
}

void
mr_cluster_record_promotion(mr_cluster_t *cluster, const char *id,
                            int64_t token)
{
    if (token <= cluster->promoted_token) {
        return;
    }
    mark_former_primaries(cluster, id, token);
    mr_log(MR_LOG_INFO, MR_EVENT_PRIMARY_PROMOTED,
           "service=%s id=%s token=%lld", cluster->service, id,
           (long long)token);
    free(cluster->promoted_id);
    cluster->promoted_id = mr_strdup(id);
    cluster->promoted_token = token;
    cluster->promoted_at = mr_clock_now(NULL);
    note_primary(cluster);
    cluster->changed_at_count = ++cluster->clusters->change_count;
    mr_db_t *db = find_db(cluster, id);
    if (db != NULL) {
        db->refused_at = 0;
        db->refused_since = 0;
    }
    cluster->no_primary_since = 0;
}

void
mr_cluster_record_own_promotion(mr_cluster_t *cluster, const char *id,
                                int64_t token)
{
    int64_t before = mr_cluster_primary_claim(cluster);

    /* A spare token may be older than the registration of the previous
     * primary. */
    mr_cluster_record_promotion(cluster, id,
                                token > before ? token : before + 1);
}

static mr_sample_t *
sample_at(mr_cluster_t *cluster, size_t index)
{
    return &cluster->samples[(cluster->sample_first + index) % MR_SAMPLES];
}

void
mr_cluster_note_term(mr_cluster_t *cluster, int64_t term)
{
    if (term > cluster->newest_term) {
        cluster->newest_term = term;
    }
}

void
mr_cluster_add_sample(mr_cluster_t *cluster, mr_position_t position,
                      mr_ms_t at)
{
    const mr_sample_t *newest = mr_cluster_newest_sample(cluster);

    mr_cluster_note_term(cluster, position.term);
    /* A lower position than the newest one was read from a previous primary.
     */
    if (position.term == 0
        || (newest != NULL
            && (mr_position_compare(position, newest->position) < 0
                || at < newest->at + SAMPLE_INTERVAL_MS))) {
        return;
    }
    if (cluster->sample_count == MR_SAMPLES) {
        cluster->sample_first++;
        cluster->sample_count--;
    }
    *sample_at(cluster, cluster->sample_count++) = (mr_sample_t){position, at};
    cluster->changed_at_count = ++cluster->clusters->change_count;
}

const mr_sample_t *
mr_cluster_newest_sample(const mr_cluster_t *cluster)
{
    if (cluster->sample_count == 0) {
        return NULL;
    }
    return &cluster
                ->samples[(cluster->sample_first + cluster->sample_count - 1)
                          % MR_SAMPLES];
}

const mr_sample_t *
mr_cluster_sample_since(const mr_cluster_t *cluster, mr_ms_t since)
{
    for (size_t i = 0; i < cluster->sample_count; i++) {
        const mr_sample_t *sample =
            &cluster->samples[(cluster->sample_first + i) % MR_SAMPLES];
        if (sample->at >= since) {
            return sample;
        }
    }
    return NULL;
}

bool
mr_cluster_claim_position_query(mr_cluster_t *cluster, mr_ms_t now)
{
    if (cluster->position_queried_at != 0
        && now < cluster->position_queried_at + POSITION_QUERY_MS) {
        return false;
    }
    cluster->position_queried_at = now;
    return true;
}

/* Cost of a read at @db; lower is better. The weights rank load above
 * distance. */
static int64_t
reader_cost(const mr_db_t *db, const mr_reader_criteria_t *criteria)
{
    const mr_cluster_t *cluster = db->cluster;
    int64_t cost = 0;

    cost += 100 * db->running / db->slots;
    cost += db->latency;
    if (criteria->now - db->missing_position_at < MISSING_POSITION_RETRY_MS
        && mr_position_compare(criteria->min_position, db->missing_position)
               >= 0) {
        cost += 80; /* probably still behind */
    }
    if (db->busy_at != 0 && criteria->now - db->busy_at < BUSY_RETRY_MS) {
        cost += 100; /* as if all its slots were taken */
    }
    if (!mr_conn_pool_has(db, criteria->account)) {
        cost += 40; /* opening a connection occupies a slot */
    }
    if (strcmp(db->data_centre, cluster->clusters->data_centre) != 0) {
        cost += 5;
    }
    if (db == mr_cluster_known_primary(db->cluster)) {
        cost += 15; /* leave capacity for what only the primary can run */
    }
    if (db == criteria->avoided) {
        cost += 1000;
    }
    if (mr_db_is_evacuated(db)) {
        cost += EVACUATED_COST;
    }
    return cost;
}

/* Whether a database whose data centre was evacuated gets the next read,
 * according to its share. The credit counts the reads offered to it. */
static bool
takes_share(mr_db_t *db, mr_ms_t now)
{
    const mr_evacuations_t *evacuations = db->cluster->clusters->evacuations;
    int share = evacuations != NULL
                    ? mr_evacuations_share(evacuations, db->data_centre, now)
                    : MR_EVACUATION_FULL_SHARE;

    if (share == MR_EVACUATION_FULL_SHARE) {
        return true;
    }
    db->read_credit += share;
    if (db->read_credit < MR_EVACUATION_FULL_SHARE) {
        return false;
    }
    db->read_credit -= MR_EVACUATION_FULL_SHARE;
    return true;
}

/* Cost that keeps reads from a cold database while a warm one can run them,
 * and lets their share rise afterwards. */
static int64_t
cold_cost(mr_db_t *db, mr_ms_t now)
{
    if (mr_db_is_cold(db, now)) {
        return COLD_COST;
    }
    if (db->cluster->cold_rate == 0
        || mr_cold_ramp_offers(&db->cold.ramp_credit, cold_ended(db), now)) {
        return 0;
    }
    return RAMP_COST;
}

bool
mr_db_is_in_region(const mr_db_t *db, const mr_region_filter_t *regions)
{
    return mr_region_filter_allows(regions, db->data_centre);
}

bool
mr_cluster_is_closed(const mr_cluster_t *cluster, mr_ms_t now)
{
    bool closed = false;

    MR_LIST_FOREACH(it, &cluster->dbs)
    {
        const mr_db_t *db = MR_LIST_ENTRY(it, mr_db_t, link);
        if (db->removed) {
            continue;
        }
        if (!mr_db_is_closed(db, now)) {
            return false;
        }
        closed = true;
    }
    return closed;
}

bool
mr_cluster_lacks_region(const mr_cluster_t *cluster,
                        const mr_region_filter_t *regions)
{
    bool registered = false;

    MR_LIST_FOREACH(it, &cluster->dbs)
    {
        const mr_db_t *db = MR_LIST_ENTRY(it, mr_db_t, link);
        if (db->removed) {
            continue;
        }
        if (mr_db_is_in_region(db, regions)) {
            return false;
        }
        registered = true;
    }
    return registered;
}

mr_db_t *
mr_cluster_choose_reader(mr_cluster_t *cluster,
                         const mr_reader_criteria_t *criteria)
{
    mr_db_t *best = NULL;
    int64_t best_cost = 0;

    MR_LIST_FOREACH(it, &cluster->dbs)
    {
        mr_db_t *db = MR_LIST_ENTRY(it, mr_db_t, link);
        if (db->removed || db->draining || criteria->now < db->backoff_until
            || !mr_db_may_send(db, criteria->now)) {
            continue;
        }
        if (!mr_db_is_in_region(db, &criteria->regions)) {
            continue;
        }
        int64_t cost =
            reader_cost(db, criteria) + cold_cost(db, criteria->now);
        if (!takes_share(db, criteria->now)) {
            cost += RAMP_COST;
        }
        if (best == NULL || cost < best_cost) {
            best = db;
            best_cost = cost;
        }
    }
    return best;
}

void
mr_db_record_failure(mr_db_t *db, mr_ms_t now)
{
    mr_ms_t pause =
        mr_timer_backoff(BACKOFF_FIRST_MS, BACKOFF_MAX_MS, db->failures);

    if (db->failures++ == 0) {
        db->failing_since = now;
        mr_log(MR_LOG_WARNING, MR_EVENT_DATABASE_FAILING, "service=%s id=%s",
               db->cluster->service, db->id);
    }
    db->backoff_until = now + pause;
}

void
mr_db_record_answer(mr_db_t *db, mr_ms_t now, mr_ms_t took)
{
    if (db->failures > 0) {
        mr_log(MR_LOG_INFO, MR_EVENT_DATABASE_ANSWERS,
               "service=%s id=%s after_ms=%lld", db->cluster->service, db->id,
               (long long)(now - db->failing_since));
    }
    db->failures = 0;
    db->backoff_until = 0;
    db->answered_at = now;
    db->latency += (took - db->latency) / LATENCY_WEIGHT;
}

void
mr_db_record_missing_position(mr_db_t *db, mr_position_t position, mr_ms_t now)
{
    db->missing_position = position;
    db->missing_position_at = now;
}

void
mr_db_record_busy(mr_db_t *db, mr_ms_t now)
{
    db->busy_at = now;
}

void
mr_db_record_not_primary(mr_db_t *db, mr_ms_t now)
{
    db->refused_at = now;
    if (db->refused_since == 0) {
        db->refused_since = now;
    }
}

void
mr_db_record_primary(mr_db_t *db)
{
    db->refused_at = 0;
    db->refused_since = 0;
}

mr_ms_t
mr_db_failing_ms(const mr_db_t *db, mr_ms_t now)
{
    mr_ms_t since = 0;

    if (db->failures > 0) {
        since = db->failing_since;
    }
    if (db->refused_since != 0 && (since == 0 || db->refused_since < since)) {
        since = db->refused_since;
    }
    return since != 0 ? now - since : 0;
}
