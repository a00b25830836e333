#ifndef MR_SESSION_CLUSTER_H
#define MR_SESSION_CLUSTER_H

/*
 * The databases of each service: which of them exist, which one is the
 * primary, where the primary's log stood at which time, and which of them
 * failed lately. Learned from registrations, from answers and from the other
 * instances.
 */

#include <stdbool.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/list.h"
#include "session/entry.h"
#include "session/position.h"

typedef struct mr_clusters mr_clusters_t;
typedef struct mr_cluster mr_cluster_t;

/** One database. */
typedef struct mr_db {
    mr_list_t link;
    mr_cluster_t *cluster;
    char *id;
    char *address;
    char *data_centre;
    int64_t born;
    int64_t slots;
    bool draining;
    bool listed;           /* in the newest set of registrations */
    mr_ms_t missing_since; /* 0: it is listed */
    bool gone; /* no longer registered; freed with its last connection */
    int64_t primary_version; /* store version since which it is registered as
                                the primary; 0: as a replica */
    mr_ms_t refused_at;      /* it last said that it is not the primary */
    mr_ms_t refused_since;   /* it has said nothing else since; 0: none */
    mr_ms_t avoid_until;     /* after failures */
    int failures;            /* in a row */
    mr_ms_t failing_since;
    mr_ms_t answered_at;
    mr_position_t lacked; /* position that it last said to lack ... */
    mr_ms_t lacked_at;    /* ... at this time */
    mr_ms_t busy_at;      /* it last had no free slot or connection */
    mr_list_t idle;       /* connections that are kept */
    int idle_count;
    mr_list_t waits;           /* statements that wait for a connection */
    int opening;               /* connections being opened */
    int refused_links;         /* or statements, for lack of room, in a row */
    mr_ms_t open_after;        /* no new connection before this time */
    struct event *pause_timer; /* until then; NULL: none was refused so far */
    int links;                 /* connections, idle ones included */
    int links_max;             /* above which none is kept */
    int running;               /* statements and new connections in progress */
    mr_ms_t latency;           /* smoothed time of an answer */
} mr_db_t;

enum { MR_SAMPLES = 48 };

/** The primary's log held @position at time @at, and all commits that were
 * acknowledged before it. */
typedef struct mr_sample {
    mr_position_t position;
    mr_ms_t at;
} mr_sample_t;

/** The databases of one service. */
struct mr_cluster {
    mr_list_t link;
    mr_clusters_t *clusters;
    char *service;
    mr_list_t dbs;
    mr_sample_t samples[MR_SAMPLES]; /* a ring, oldest first */
    size_t sample_first;
    size_t sample_count;
    char *promoted;           /* database that the last promotion named */
    int64_t promoted_version; /* fencing token of that promotion */
    int64_t connections;      /* to one database, from all instances */
    int copies; /* most databases that were registered at one time */
    mr_ms_t leaderless_since; /* 0: a leader is known */
    uint64_t changed;  /* last change of samples or promotion, see below */
    mr_ms_t sought_at; /* a read last asked the primary for its position */
};

struct mr_clusters {
    mr_list_t list;
    char *instance;    /* this one's name */
    char *data_centre; /* of this instance */
    int64_t instances; /* that share the connections */
    uint64_t changes;  /* of samples and promotions so far, all clusters */
};

mr_clusters_t *mr_clusters_create(const char *instance,
                                  const char *data_centre);
void mr_clusters_destroy(mr_clusters_t *clusters);

/** mr_clusters_find() - NULL when no database of @service was ever seen. */
mr_cluster_t *mr_clusters_find(mr_clusters_t *clusters, const char *service);
mr_cluster_t *mr_clusters_get(mr_clusters_t *clusters, const char *service);

/** mr_clusters_begin() - start of a new complete set of registrations. */
void mr_clusters_begin(mr_clusters_t *clusters);
/** mr_clusters_add() - one registration of the set; @version of its row. */
void mr_clusters_add(mr_clusters_t *clusters, const char *id,
                     const mr_db_entry_t *entry, int64_t version);
/** mr_clusters_end() - the set of @now is complete. Databases that have been
 * missing for a while are gone. */
void mr_clusters_end(mr_clusters_t *clusters, mr_ms_t now);

/** mr_cluster_set_connections() - connections to one database of @cluster
 * from all instances. */
void mr_cluster_set_connections(mr_cluster_t *cluster, int64_t connections);

/** mr_clusters_set_instances() - instances that share the connections. */
void mr_clusters_set_instances(mr_clusters_t *clusters, int64_t instances);

/** mr_cluster_primary() - NULL when none is known. */
mr_db_t *mr_cluster_primary(mr_cluster_t *cluster, mr_ms_t now);

/** mr_cluster_leader() - the database that is the primary by the newest
 * evidence, even when it fails or refuses; NULL: none. */
mr_db_t *mr_cluster_leader(mr_cluster_t *cluster);

/** mr_cluster_promoted() - @id was promoted after what the store held at
 * @version; older news than the last promotion's changes nothing. */
void mr_cluster_promoted(mr_cluster_t *cluster, const char *id,
                         int64_t version);

/** mr_cluster_promoted_now() - an order of this instance with fencing token
 * @token has just been carried out. */
void mr_cluster_promoted_now(mr_cluster_t *cluster, const char *id,
                             int64_t token);

/** mr_cluster_sample() - the primary's log held @position at time @at. */
void mr_cluster_sample(mr_cluster_t *cluster, mr_position_t position,
                       mr_ms_t at);

/** mr_cluster_newest() - NULL when there is no sample. */
const mr_sample_t *mr_cluster_newest(const mr_cluster_t *cluster);

/** mr_cluster_covering() - the oldest position that holds every commit that
 * was acknowledged before @since; NULL: none is known. Replicas that lag hold
 * an older position sooner. */
const mr_sample_t *mr_cluster_covering(const mr_cluster_t *cluster,
                                       mr_ms_t since);

/** mr_cluster_seek() - whether a read may ask the primary because no position
 * is known: one at a time, as the others can use what it finds. */
bool mr_cluster_seek(mr_cluster_t *cluster, mr_ms_t now);

/** What a read needs of a database. */
typedef struct mr_db_want {
    const char *account;
    mr_position_t position;
    const mr_db_t *not_this; /* tried before; or NULL */
    mr_ms_t now;
} mr_db_want_t;

/** mr_cluster_reader() - database for a read at @want->position or later. */
mr_db_t *mr_cluster_reader(mr_cluster_t *cluster, const mr_db_want_t *want);

void mr_db_failed(mr_db_t *db, mr_ms_t now);
void mr_db_answered(mr_db_t *db, mr_ms_t now, mr_ms_t took);
/** mr_db_lacks() - @db said that its log does not hold @position. */
void mr_db_lacks(mr_db_t *db, mr_position_t position, mr_ms_t now);
/** mr_db_busy() - @db had no free slot or connection. */
void mr_db_busy(mr_db_t *db, mr_ms_t now);
void mr_db_refused_as_replica(mr_db_t *db, mr_ms_t now);
/** mr_db_is_primary() - @db proved to be the primary. */
void mr_db_is_primary(mr_db_t *db);

/** mr_db_failing() - for how long @db has not worked as a primary. */
mr_ms_t mr_db_failing(const mr_db_t *db, mr_ms_t now);

/** mr_db_release() - a connection to @db ended. */
void mr_db_release(mr_db_t *db);

#endif
