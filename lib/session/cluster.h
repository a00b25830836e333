#ifndef MR_SESSION_CLUSTER_H
#define MR_SESSION_CLUSTER_H

/*
 * State of the databases of each service: which ones exist, which one is the
 * primary, recent log positions of the primary, and recent failures. It comes
 * from registrations, from the databases' answers and from other instances.
 */

#include <stdbool.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/list.h"
#include "placement/evacuation.h"
#include "placement/region.h"
#include "session/entry.h"
#include "session/position.h"
#include "session/primary_lease.h"
#include "session/revision.h"

typedef struct mr_clusters mr_clusters_t;
typedef struct mr_cluster mr_cluster_t;

/** Whether a database has just started; see mr_db_is_cold(). */
typedef struct mr_cold_state {
    mr_ms_t until;          /* end of the cold period, from a registration */
    mr_revision_t row;      /* registration that @until was computed from */
    int64_t left;           /* in a registration that has just been read, ms */
    mr_revision_t read;     /* revision of that one; version 0: none */
    mr_ms_t lost_at;        /* last lost or refused connection */
    mr_revision_t lost_set; /* newest registrations at that time */
    mr_ms_t suspect_until;  /* end of the period that a lost connection began;
                               0: none */
    int ramp_credit;        /* see mr_cold_ramp_offers() */
} mr_cold_state_t;

/** One database. */
typedef struct mr_db {
    mr_list_t link;
    mr_cluster_t *cluster;
    char *id;
    char *address;
    char *data_centre;
    int64_t started_at;
    int64_t slots;
    bool draining;
    bool in_current_set;   /* in the newest set of registrations */
    mr_ms_t missing_since; /* 0: in the newest set */
    bool removed; /* no longer registered; freed with its last connection */
    int64_t primary_since;    /* number of the revision since which it is
                                 registered as the primary; 0: as a replica */
    bool primary_since_known; /* this process saw it register as a replica
                                 before; else it may have been registered as
                                 the primary for long */
    bool former_primary;   /* replaced by a promotion, and has not registered
                              as a replica since */
    mr_ms_t refused_at;    /* last refusal because it is not the primary */
    mr_ms_t refused_since; /* first refusal since it was last known to be
                              the primary; 0: none */
    mr_ms_t backoff_until; /* not used before this time, after failures */
    int failures;          /* consecutive ones */
    mr_ms_t failing_since;
    mr_ms_t answered_at;
    mr_position_t missing_position; /* last one that its log did not hold */
    mr_ms_t missing_position_at;    /* time of that answer */
    mr_ms_t busy_at;      /* when it last had no free slot or connection */
    mr_list_t idle_conns; /* kept for reuse */
    int idle_conn_count;
    mr_list_t waiters; /* statements that wait for a connection */
    int opening_conns;
    int refusals;       /* consecutive refusals of connections or statements
                           for lack of capacity */
    mr_ms_t open_after; /* no new connection before this time */
    struct event *pause_timer; /* ends that pause; NULL: none so far */
    int open_conns;            /* all connections, including idle ones */
    int kept_conns_max;        /* above this, unused connections are closed */
    int running;               /* statements and new connections in progress */
    mr_ms_t latency;           /* moving average of answer times */
    int read_credit; /* in thousandths of a read, see mr_evacuations_share() */
    mr_cold_state_t cold;
} mr_db_t;

enum { MR_SAMPLES = 48 };

/** A known position of the primary's log: at time @at the log held @position
 * and every commit acknowledged before. */
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
    mr_sample_t samples[MR_SAMPLES]; /* ring buffer, oldest first */
    size_t sample_first;
    size_t sample_count;
    /* Newest change of primary that is known for certain: a promotion, or a
     * registration that this process saw change. */
    char *promoted_id;      /* primary since then; NULL: none is known */
    int64_t promoted_token; /* number of the change: fencing token of the
                               promotion, higher if the previous primary
                               registered after the token; or the revision of
                               the registration */
    bool named; /* by the desired state; registrations may name any service */
    int64_t connections_max; /* to one database, from all instances */
    int64_t cold_rate;       /* see mr_catalog_service_t */
    mr_ms_t cold_start;      /* see mr_catalog_service_t */
    mr_ms_t promoted_at;     /* when this instance learned of it */
    char *primary_id;        /* primary after the last update; NULL: none */
    char *replaced_id;       /* primary before the last promotion; NULL */
    int64_t replaced_started_at;
    int64_t newest_term; /* of the log, as known to any instance; 0: none */
    int replicas;        /* registered beside the primary */
    int replicas_before; /* most of them, until fewer were registered */
    mr_ms_t fewer_since; /* 0: not fewer than before */
    mr_ms_t no_primary_since;    /* 0: a primary is known */
    uint64_t changed_at_count;   /* change_count of the clusters at the last
                                    new sample or promotion */
    mr_ms_t position_queried_at; /* when a read last went to the primary
                                    because no position was known */
};

struct mr_clusters {
    mr_list_t list;
    char *instance;                  /* name of this instance */
    char *data_centre;               /* of this instance */
    const mr_primary_lease_t *lease; /* NULL: the primaries may always be used
                                      */
    const mr_evacuations_t *evacuations; /* NULL: none ever */
    int64_t instance_count;   /* instances that share the connections */
    uint64_t change_count;    /* new samples and promotions, of all clusters */
    mr_revision_t newest_set; /* of registrations */
    mr_revision_t first_after_restore; /* first set of the newest era; version
                                          0: no restoration was seen */
    int64_t era_before_restore;
};

mr_clusters_t *mr_clusters_create(const char *instance,
                                  const char *data_centre);
void mr_clusters_destroy(mr_clusters_t *clusters);

/** mr_clusters_set_lease() - use the primaries only while @lease, which must
 * outlive @clusters, covers them. */
void mr_clusters_set_lease(mr_clusters_t *clusters,
                           const mr_primary_lease_t *lease);

/** mr_clusters_set_evacuations() - use no database in a data centre that
 * @evacuations, which must outlive @clusters, excludes. */
void mr_clusters_set_evacuations(mr_clusters_t *clusters,
                                 const mr_evacuations_t *evacuations);
/** mr_clusters_certain() - false: no statement may be sent, see
 * mr_evacuations_certain(). */
bool mr_clusters_certain(const mr_clusters_t *clusters, mr_ms_t now);
/** mr_clusters_count_evacuated_primaries() - number of primaries in evacuated
 * data centres, among the services of the desired state. */
int64_t mr_clusters_count_evacuated_primaries(mr_clusters_t *clusters);
/** mr_clusters_has_data_centre() - whether a database is registered there. */
bool mr_clusters_has_data_centre(const mr_clusters_t *clusters,
                                 const char *data_centre);
/** mr_clusters_close_evacuated() - close the idle connections to the databases
 * that must no longer be used, and fail the waiters. */
void mr_clusters_close_evacuated(mr_clusters_t *clusters, mr_ms_t now);

/** mr_clusters_find() - NULL if @service is not known. */
mr_cluster_t *mr_clusters_find(mr_clusters_t *clusters, const char *service);
/** mr_clusters_get() - the cluster of @service, created if needed. */
mr_cluster_t *mr_clusters_get(mr_clusters_t *clusters, const char *service);

/** mr_clusters_begin_update() - start applying a complete set of registrations
 * that was read at @revision. */
void mr_clusters_begin_update(mr_clusters_t *clusters, mr_revision_t revision);
/** mr_clusters_add_registration() - apply one registration of the set, whose
 * row has @revision. It is not older than the one of the previous set. */
void mr_clusters_add_registration(mr_clusters_t *clusters, const char *id,
                                  const mr_db_entry_t *entry,
                                  mr_revision_t revision);
/** mr_clusters_end_update() - the set read at @now is complete. Removes
 * databases that have been missing from the sets for too long. */
void mr_clusters_end_update(mr_clusters_t *clusters, mr_ms_t now);

/** mr_clusters_begin_services() - the services of a desired state follow, see
 * mr_cluster_set_connections(). */
void mr_clusters_begin_services(mr_clusters_t *clusters);
/** mr_cluster_set_connections() - @cluster is named by the desired state;
 * limit of the connections to one database of
 * @cluster, from all instances together. */
void mr_cluster_set_connections(mr_cluster_t *cluster, int64_t connections);

/** mr_cluster_set_cold() - limit of the statements to a cold database of
 * @cluster, and how long a database stays cold after its start; see
 * mr_catalog_service_t. */
void mr_cluster_set_cold(mr_cluster_t *cluster, int64_t rate, mr_ms_t start);

/** mr_clusters_cold_rate() - limit of database @id while it is cold, in
 * thousandths a second; 0: it is not known, or has no limit. */
int64_t mr_clusters_cold_rate(const mr_clusters_t *clusters, const char *id);

/** mr_db_is_cold() - whether @db has a limit and has just started, according
 * to its registration or as a connection to it was lost. */
bool mr_db_is_cold(const mr_db_t *db, mr_ms_t now);

/** mr_db_record_lost() - a connection to @db was lost or refused, so that it
 * may have started again. */
void mr_db_record_lost(mr_db_t *db, mr_ms_t now);

/** mr_clusters_set_instances() - number of instances that share the
 * connections. */
void mr_clusters_set_instances(mr_clusters_t *clusters, int64_t instances);

/** mr_cluster_primary() - the database that the newest registration or
 * promotion names as the primary, except databases that have lately refused
 * because they are replicas; NULL: none, or two that were registered as the
 * primary when this process first read them, which cannot be told apart. */
mr_db_t *mr_cluster_primary(mr_cluster_t *cluster, mr_ms_t now);

/** mr_cluster_known_primary() - as mr_cluster_primary(), even if the database
 * fails or refuses. */
mr_db_t *mr_cluster_known_primary(mr_cluster_t *cluster);

/** mr_cluster_replicas() - number of replicas that may hold a commit which no
 * other one holds: the most that were registered beside the primary lately. In
 * that time the others receive what one had that left. */
int mr_cluster_replicas(const mr_cluster_t *cluster, mr_ms_t now);

/** mr_cluster_has_lease() - whether the primary of @cluster may be used. */
bool mr_cluster_has_lease(const mr_cluster_t *cluster, mr_ms_t now);

/** mr_db_is_evacuated() - whether the data centre of @db is evacuated. Until
 * the deadline it may be used if no other database can run a statement. */
bool mr_db_is_evacuated(const mr_db_t *db);
/** mr_db_is_closed() - whether its data centre is evacuated and the deadline
 * is over. */
bool mr_db_is_closed(const mr_db_t *db, mr_ms_t now);
/** mr_db_may_send() - whether a statement may be sent to @db: it is not
 * closed, and no evacuation that this instance does not know can be in force.
 */
bool mr_db_may_send(const mr_db_t *db, mr_ms_t now);

/** mr_db_is_leased_primary() - whether @db is certainly the primary at @now:
 * until now no promotion of another database can have taken effect. */
bool mr_db_is_leased_primary(const mr_db_t *db, mr_ms_t now);

/** mr_cluster_primary_claim() - number of the registration or promotion that
 * makes the known primary the primary; 0: there is none. The next one has a
 * higher number. */
int64_t mr_cluster_primary_claim(mr_cluster_t *cluster);

/** mr_cluster_record_promotion() - @id was promoted with fencing token @token.
 * Ignored unless it is newer than the last recorded promotion. */
void mr_cluster_record_promotion(mr_cluster_t *cluster, const char *id,
                                 int64_t token);

/** mr_cluster_record_own_promotion() - the platform has just promoted @id on
 * an order of this instance with fencing token @token. */
void mr_cluster_record_own_promotion(mr_cluster_t *cluster, const char *id,
                                     int64_t token);

/** mr_cluster_add_sample() - the primary's log held @position at time @at. */
void mr_cluster_add_sample(mr_cluster_t *cluster, mr_position_t position,
                           mr_ms_t at);

/** mr_cluster_note_term() - the log of a primary of @cluster has reached
 * @term. Also called by mr_cluster_add_sample(). */
void mr_cluster_note_term(mr_cluster_t *cluster, int64_t term);

/** mr_cluster_newest_sample() - NULL if there is none. */
const mr_sample_t *mr_cluster_newest_sample(const mr_cluster_t *cluster);

/** mr_cluster_sample_since() - the oldest sample that includes every commit
 * acknowledged before @since, or NULL. The oldest one suits most replicas, as
 * a lagging replica reaches an older position sooner. */
const mr_sample_t *mr_cluster_sample_since(const mr_cluster_t *cluster,
                                           mr_ms_t since);

/** mr_cluster_claim_position_query() - whether a read may go to the primary
 * because no position is known. Only one read at a time does so; the others
 * can use the position that it returns. */
bool mr_cluster_claim_position_query(mr_cluster_t *cluster, mr_ms_t now);

/** Criteria for the choice of a database for a read. */
typedef struct mr_reader_criteria {
    const char *account;
    mr_position_t min_position;
    const mr_db_t *avoided; /* tried before, so a last resort; or NULL */
    mr_ms_t now;
    mr_region_filter_t regions; /* that the database may be in */
} mr_reader_criteria_t;

/** mr_cluster_is_closed() - whether all databases of @cluster are closed, see
 * mr_db_is_closed(). */
bool mr_cluster_is_closed(const mr_cluster_t *cluster, mr_ms_t now);
/** mr_db_is_in_region() - whether @db is in a region that @regions allows. */
bool mr_db_is_in_region(const mr_db_t *db, const mr_region_filter_t *regions);

/** mr_cluster_lacks_region() - whether databases of @cluster are registered,
 * but none in a region that @regions allows. */
bool mr_cluster_lacks_region(const mr_cluster_t *cluster,
                             const mr_region_filter_t *regions);

/** mr_cluster_choose_reader() - the best database for a read at
 * @criteria->min_position or later; NULL if none can be used now. */
mr_db_t *mr_cluster_choose_reader(mr_cluster_t *cluster,
                                  const mr_reader_criteria_t *criteria);

void mr_db_record_failure(mr_db_t *db, mr_ms_t now);
void mr_db_record_answer(mr_db_t *db, mr_ms_t now, mr_ms_t took);
/** mr_db_record_missing_position() - @db answered that its log does not hold
 * @position. */
void mr_db_record_missing_position(mr_db_t *db, mr_position_t position,
                                   mr_ms_t now);
/** mr_db_record_busy() - @db had no free slot or connection. */
void mr_db_record_busy(mr_db_t *db, mr_ms_t now);
void mr_db_record_not_primary(mr_db_t *db, mr_ms_t now);
/** mr_db_record_primary() - an answer of @db shows that it is the primary. */
void mr_db_record_primary(mr_db_t *db);

/** mr_db_failing_ms() - for how long @db has failed, or refused to act, as the
 * primary; 0: it works. */
mr_ms_t mr_db_failing_ms(const mr_db_t *db, mr_ms_t now);

/** mr_db_release() - drop a connection's reference to @db; the last one frees
 * a removed database. */
void mr_db_release(mr_db_t *db);

#endif
