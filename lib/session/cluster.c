#include "session/cluster.h"

#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/mem.h"
#include "common/timer.h"
#include "member/rendezvous.h"
#include "session/linkpool.h"

enum {
    /* First pause after a failed connection or a lost answer, doubled up to
     * the longest one. */
    AVOID_FIRST_MS = 100,
    AVOID_MAX_MS = 1600,
    /* A database that refused a write as a replica is asked again after this
     * time even if its registration has not changed. */
    REFUSED_MEMORY_MS = 300,
    MISSING_MAX_MS = 2000, /* the platform's word on lapsed registrations */
    /* A replica that lacked a position is asked for a later one again. */
    LACKED_MEMORY_MS = 150,
    /* A database without a free slot is asked last for about the time that a
     * queue of statements takes. */
    BUSY_MEMORY_MS = 300,
    LINKS_DEFAULT = 1, /* while the limit of a service is not known */
    /* Part of a database's connections that are kept open; the others are for
     * statements that find none, and for instances that were just started. */
    KEPT_PERCENT = 90,
    /* With less than one for each instance most statements find none. */
    KEPT_SCARCE_PERCENT = 60,
    /* Samples of the primary's position are at least this far apart; a full
     * ring spans the longest age that reads accept. */
    SAMPLE_GAP_MS = 60,
    /* For a new connection and BEGIN; then another read asks. */
    SEEK_MS = 100,
    LATENCY_WEIGHT = 8, /* share of a new sample in the smoothed time: 1/8 */
};

mr_clusters_t *
mr_clusters_create(const char *instance, const char *data_centre)
{
    mr_clusters_t *clusters = MR_NEW(mr_clusters_t);

    mr_list_init(&clusters->list);
    clusters->instance = mr_strdup(instance);
    clusters->data_centre = mr_strdup(data_centre);
    clusters->instances = 1;
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

/* Closes the kept connections; frees @db unless others are in use. */
static void
remove_db(mr_db_t *db)
{
    db->gone = true;
    db->links++; /* holds @db while the connections close */
    mr_linkpool_clear(db);
    mr_db_release(db);
}

void
mr_db_release(mr_db_t *db)
{
    if (--db->links == 0 && db->gone) {
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
        free(cluster->promoted);
        free(cluster);
    }
    free(clusters->instance);
    free(clusters->data_centre);
    free(clusters);
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

/* This instance's part of the connections that are kept to @db. What does not
 * divide evenly goes to some instances, others for each database. */
static void
update_links_max(mr_db_t *db)
{
    const mr_clusters_t *clusters = db->cluster->clusters;
    int64_t connections = db->cluster->connections;
    bool scarce = connections < clusters->instances;
    int64_t kept =
        connections * (scarce ? KEPT_SCARCE_PERCENT : KEPT_PERCENT) / 100;
    uint64_t place = mr_rendezvous_score(db->id, clusters->instance)
                     % (uint64_t)clusters->instances;

    db->links_max = (int)(kept / clusters->instances);
    if ((int64_t)place < kept % clusters->instances) {
        db->links_max++;
    }
    if (connections == 0) {
        db->links_max = LINKS_DEFAULT;
    }
}

static void
update_links_max_of_all(mr_cluster_t *cluster)
{
    MR_LIST_FOREACH(it, &cluster->dbs)
    {
        update_links_max(MR_LIST_ENTRY(it, mr_db_t, link));
    }
}

void
mr_cluster_set_connections(mr_cluster_t *cluster, int64_t connections)
{
    cluster->connections = connections;
    update_links_max_of_all(cluster);
}

void
mr_clusters_set_instances(mr_clusters_t *clusters, int64_t instances)
{
    instances = instances > 0 ? instances : 1;
    if (instances == clusters->instances) {
        return; /* said with each report's answer */
    }
    clusters->instances = instances;
    MR_LIST_FOREACH(it, &clusters->list)
    {
        update_links_max_of_all(MR_LIST_ENTRY(it, mr_cluster_t, link));
    }
}

static mr_db_t *
find_db(mr_cluster_t *cluster, const char *id)
{
    MR_LIST_FOREACH(it, &cluster->dbs)
    {
        mr_db_t *db = MR_LIST_ENTRY(it, mr_db_t, link);
        if (!db->gone && strcmp(db->id, id) == 0) {
            return db;
        }
    }
    return NULL;
}

/* A database that moved or started again shares nothing with the former one.
 */
static bool
is_same(const mr_db_t *db, const mr_db_entry_t *entry)
{
    return strcmp(db->address, entry->address) == 0 && db->born == entry->born;
}

static mr_db_t *
add_db(mr_cluster_t *cluster, const char *id, const mr_db_entry_t *entry)
{
    mr_db_t *db = MR_NEW(mr_db_t);

    db->cluster = cluster;
    db->id = mr_strdup(id);
    db->address = mr_strdup(entry->address);
    db->data_centre = mr_strdup(entry->data_centre);
    db->born = entry->born;
    mr_list_init(&db->idle);
    mr_list_init(&db->waits);
    mr_list_append(&cluster->dbs, &db->link);
    update_links_max(db);
    mr_log(MR_LOG_INFO, MR_EVENT_DATABASE_FOUND,
           "service=%s id=%s address=%s role=%s", cluster->service, id,
           entry->address, entry->primary ? "primary" : "replica");
    return db;
}

void
mr_clusters_begin(mr_clusters_t *clusters)
{
    MR_LIST_FOREACH(it, &clusters->list)
    {
        mr_cluster_t *cluster = MR_LIST_ENTRY(it, mr_cluster_t, link);
        MR_LIST_FOREACH(jt, &cluster->dbs)
        {
            MR_LIST_ENTRY(jt, mr_db_t, link)->listed = false;
        }
    }
}

void
mr_clusters_add(mr_clusters_t *clusters, const char *id,
                const mr_db_entry_t *entry, int64_t version)
{
    mr_cluster_t *cluster = mr_clusters_get(clusters, entry->service);
    mr_db_t *db = find_db(cluster, id);

    if (db != NULL && !is_same(db, entry)) {
        mr_log(MR_LOG_INFO, MR_EVENT_DATABASE_RESTARTED, "service=%s id=%s",
               cluster->service, id);
        remove_db(db);
        db = NULL;
    }
    if (db == NULL) {
        db = add_db(cluster, id, entry);
    }
    db->listed = true;
    db->slots = entry->slots > 0 ? entry->slots : 1;
    if (entry->draining != db->draining) {
        db->draining = entry->draining;
        mr_log(MR_LOG_INFO, MR_EVENT_DATABASE_DRAINING,
               "service=%s id=%s draining=%d", cluster->service, id,
               db->draining);
    }
    if (!entry->primary) {
        db->primary_version = 0;
    }
    else if (db->primary_version == 0) {
        db->primary_version = version;
        mr_log(MR_LOG_INFO, MR_EVENT_PRIMARY_REGISTERED,
               "service=%s id=%s version=%lld", cluster->service, id,
               (long long)version);
    }
}

/* Registrations that lapsed while the store was away come back a little after
 * it. */
static void
check_missing(mr_db_t *db, mr_ms_t now)
{
    if (db->listed) {
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

void
mr_clusters_end(mr_clusters_t *clusters, mr_ms_t now)
{
    MR_LIST_FOREACH(it, &clusters->list)
    {
        mr_cluster_t *cluster = MR_LIST_ENTRY(it, mr_cluster_t, link);
        int listed = 0;
        MR_LIST_FOREACH(jt, &cluster->dbs)
        {
            mr_db_t *db = MR_LIST_ENTRY(jt, mr_db_t, link);
            listed += db->listed;
            if (!db->gone) {
                check_missing(db, now);
            }
        }
        if (listed > cluster->copies) {
            cluster->copies = listed;
        }
        if (mr_cluster_leader(cluster) != NULL) {
            cluster->leaderless_since = 0;
        }
        else if (cluster->leaderless_since == 0) {
            cluster->leaderless_since = now;
        }
    }
}

/* Store version of the newest evidence that @db is the primary. */
static int64_t
primary_evidence(const mr_cluster_t *cluster, const mr_db_t *db)
{
    bool promoted =
        cluster->promoted != NULL && strcmp(cluster->promoted, db->id) == 0;

    return promoted && cluster->promoted_version > db->primary_version
               ? cluster->promoted_version
               : db->primary_version;
}

static bool
refused_lately(const mr_db_t *db, mr_ms_t now)
{
    return db->refused_at != 0 && now < db->refused_at + REFUSED_MEMORY_MS;
}

static mr_db_t *
find_leader(mr_cluster_t *cluster, bool even_refusing, mr_ms_t now)
{
    mr_db_t *best = NULL;
    int64_t best_evidence = 0;

    MR_LIST_FOREACH(it, &cluster->dbs)
    {
        mr_db_t *db = MR_LIST_ENTRY(it, mr_db_t, link);
        int64_t evidence = primary_evidence(cluster, db);
        if (db->gone || (!even_refusing && refused_lately(db, now))) {
            continue;
        }
        if (evidence > best_evidence) {
            best = db;
            best_evidence = evidence;
        }
    }
    return best;
}

mr_db_t *
mr_cluster_primary(mr_cluster_t *cluster, mr_ms_t now)
{
    return find_leader(cluster, false, now);
}

mr_db_t *
mr_cluster_leader(mr_cluster_t *cluster)
{
    return find_leader(cluster, true, 0);
}

void
mr_cluster_promoted(mr_cluster_t *cluster, const char *id, int64_t version)
{
    if (version <= cluster->promoted_version) {
        return;
    }
    mr_log(MR_LOG_INFO, MR_EVENT_PRIMARY_PROMOTED,
           "service=%s id=%s version=%lld", cluster->service, id,
           (long long)version);
    free(cluster->promoted);
    cluster->promoted = mr_strdup(id);
    cluster->promoted_version = version;
    cluster->changed = ++cluster->clusters->changes;
    mr_db_t *db = find_db(cluster, id);
    if (db != NULL) {
        db->refused_at = 0;
        db->refused_since = 0;
    }
    cluster->leaderless_since = 0;
}

void
mr_cluster_promoted_now(mr_cluster_t *cluster, const char *id, int64_t token)
{
    mr_db_t *leader = mr_cluster_leader(cluster);
    int64_t before = leader != NULL ? primary_evidence(cluster, leader) : 0;

    /* A token that was taken early is older than the former primary's
     * registration. */
    mr_cluster_promoted(cluster, id, token > before ? token : before + 1);
}

static mr_sample_t *
sample_at(mr_cluster_t *cluster, size_t index)
{
    return &cluster->samples[(cluster->sample_first + index) % MR_SAMPLES];
}

void
mr_cluster_sample(mr_cluster_t *cluster, mr_position_t position, mr_ms_t at)
{
    const mr_sample_t *newest = mr_cluster_newest(cluster);

    /* A position below the newest one comes from a former primary that was
     * asked before the new one was. */
    if (position.term == 0
        || (newest != NULL
            && (mr_position_compare(position, newest->position) < 0
                || at < newest->at + SAMPLE_GAP_MS))) {
        return;
    }
    if (cluster->sample_count == MR_SAMPLES) {
        cluster->sample_first++;
        cluster->sample_count--;
    }
    *sample_at(cluster, cluster->sample_count++) = (mr_sample_t){position, at};
    cluster->changed = ++cluster->clusters->changes;
}

const mr_sample_t *
mr_cluster_newest(const mr_cluster_t *cluster)
{
    if (cluster->sample_count == 0) {
        return NULL;
    }
    return &cluster
                ->samples[(cluster->sample_first + cluster->sample_count - 1)
                          % MR_SAMPLES];
}

const mr_sample_t *
mr_cluster_covering(const mr_cluster_t *cluster, mr_ms_t since)
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
mr_cluster_seek(mr_cluster_t *cluster, mr_ms_t now)
{
    if (cluster->sought_at != 0 && now < cluster->sought_at + SEEK_MS) {
        return false;
    }
    cluster->sought_at = now;
    return true;
}

/* Lower is better; the weights order load before distance before the rest. */
static int64_t
reader_cost(const mr_db_t *db, const mr_db_want_t *want)
{
    const mr_cluster_t *cluster = db->cluster;
    int64_t cost = 0;

    cost += 100 * db->running / db->slots;
    cost += db->latency;
    if (want->now - db->lacked_at < LACKED_MEMORY_MS
        && mr_position_compare(want->position, db->lacked) >= 0) {
        cost += 80; /* it is still behind */
    }
    if (db->busy_at != 0 && want->now - db->busy_at < BUSY_MEMORY_MS) {
        cost += 100; /* like a full set of slots */
    }
    if (!mr_linkpool_has(db, want->account)) {
        cost += 40; /* a new connection takes time of a slot */
    }
    if (strcmp(db->data_centre, cluster->clusters->data_centre) != 0) {
        cost += 5;
    }
    if (db == mr_cluster_leader(db->cluster)) {
        cost += 15; /* some statements can only run there */
    }
    if (db == want->not_this) {
        cost += 1000;
    }
    return cost;
}

mr_db_t *
mr_cluster_reader(mr_cluster_t *cluster, const mr_db_want_t *want)
{
    mr_db_t *best = NULL;
    int64_t best_cost = 0;

    MR_LIST_FOREACH(it, &cluster->dbs)
    {
        mr_db_t *db = MR_LIST_ENTRY(it, mr_db_t, link);
        if (db->gone || db->draining || want->now < db->avoid_until) {
            continue;
        }
        int64_t cost = reader_cost(db, want);
        if (best == NULL || cost < best_cost) {
            best = db;
            best_cost = cost;
        }
    }
    return best;
}

void
mr_db_failed(mr_db_t *db, mr_ms_t now)
{
    mr_ms_t pause = mr_timer_pause(AVOID_FIRST_MS, AVOID_MAX_MS, db->failures);

    if (db->failures++ == 0) {
        db->failing_since = now;
        mr_log(MR_LOG_WARNING, MR_EVENT_DATABASE_FAILING, "service=%s id=%s",
               db->cluster->service, db->id);
    }
    db->avoid_until = now + pause;
}

void
mr_db_answered(mr_db_t *db, mr_ms_t now, mr_ms_t took)
{
    if (db->failures > 0) {
        mr_log(MR_LOG_INFO, MR_EVENT_DATABASE_ANSWERS,
               "service=%s id=%s after_ms=%lld", db->cluster->service, db->id,
               (long long)(now - db->failing_since));
    }
    db->failures = 0;
    db->avoid_until = 0;
    db->answered_at = now;
    db->latency += (took - db->latency) / LATENCY_WEIGHT;
}

void
mr_db_lacks(mr_db_t *db, mr_position_t position, mr_ms_t now)
{
    db->lacked = position;
    db->lacked_at = now;
}

void
mr_db_busy(mr_db_t *db, mr_ms_t now)
{
    db->busy_at = now;
}

void
mr_db_refused_as_replica(mr_db_t *db, mr_ms_t now)
{
    db->refused_at = now;
    if (db->refused_since == 0) {
        db->refused_since = now;
    }
}

void
mr_db_is_primary(mr_db_t *db)
{
    db->refused_at = 0;
    db->refused_since = 0;
}

mr_ms_t
mr_db_failing(const mr_db_t *db, mr_ms_t now)
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
