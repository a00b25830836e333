#ifndef MR_SESSION_FLEET_INTERNAL_H
#define MR_SESSION_FLEET_INTERNAL_H

/* Shared by fleet.c (choice of the coordinator), fleet_report.c (reports and
 * their replies), fleet_source.c (who sends large contents to whom) and
 * fleet_members.c (registration of the instances). */

#include "common/list.h"
#include "common/timer.h"
#include "session/budget.h"
#include "session/fleet.h"
#include "session/update.h"
#include "wire/peer.h"

enum {
    /* Consecutive unanswered reports after which an instance counts as lost.
     */
    MR_FLEET_FAILURES_MAX = 2,
    /* Contents of each kind that a message carries; what is larger is fetched.
     */
    MR_FLEET_INLINE_MAX_BYTES = 2048,
};

/** Another instance. */
typedef struct mr_fleet_instance {
    mr_list_t link;
    char *name;
    char *address;
    mr_revision_t row_revision; /* of its registration; version 0: only known
                                   from a report */
    mr_ms_t row_lost_at;        /* when its registration was missing after a
                                   restoration of the store; 0: it is not */
    mr_ms_t found_at;           /* when this instance learned of it */
    uint64_t priority;      /* the instance with the highest one coordinates */
    int failures;           /* consecutive unanswered reports */
    mr_ms_t last_sent_at;   /* last report sent to it */
    mr_ms_t last_report_at; /* last report, or coordinator's reply, from it */
    uint64_t sent_changes;  /* change_count of the clusters at the last reply
                               to it */
    bool in_store;          /* in the registrations just read */
    char *data_centre;      /* NULL: has not reported yet */
    char *registered_data_centre; /* NULL: of the release before, or not
                                     registered yet */
    mr_msg_directory_t held; /* versions in its last report; no contents */
    bool defers_config;      /* fetches nothing at present */
    bool fetching;           /* was told to fetch contents from @source */
    struct mr_fleet_instance *source; /* NULL: this instance */
    mr_ms_t source_chosen_at;
    mr_ms_t waiting_since; /* for a source; 0: it is not */
    int fetchers;          /* instances that were told to fetch from it */
} mr_fleet_instance_t;

/** A report that waits for its reply. */
typedef struct mr_fleet_report {
    mr_list_t link;
    mr_fleet_t *fleet;
    mr_fleet_instance_t *to;
    mr_peer_call_t *call;
    mr_ms_t sent_at;
    int64_t round; /* of the token requests in it; 0: it has none */
} mr_fleet_report_t;

struct mr_fleet {
    mr_fleet_options_t options;
    mr_peer_t *peer;
    mr_updates_t *updates;
    bool secret_known; /* the peer accepts links and may open them */
    mr_budgets_t *budgets;
    mr_list_t instances; /* other instances, highest priority first */
    size_t other_count;
    uint64_t own_priority;
    char *own_registration; /* this instance's row: address, link rate, data
                               centre */
    mr_owners_t *owners;    /* NULL: connections are not shared */
    mr_revision_t own_revision; /* of this instance's registration; version 0:
                                   none */
    int64_t era;                /* highest era of the store, as far as known */
    int64_t members_era;        /* of the last reading of the registrations */
    int64_t secret_era;         /* of the last reading of the secret */
    bool members_waiting;       /* for an answer of the store */
    bool joined;
    bool leaving;
    bool coordinating;
    bool refresh_wanted;
    bool store_failing;        /* the coordinator cannot read the store */
    bool report_wanted;        /* a report is due ahead of time */
    bool report_again;         /* once the current report is answered */
    bool lease_renewed;        /* by the last reply of the coordinator */
    size_t reported_instances; /* number according to the coordinator */
    mr_ms_t answered_at;       /* last reply of the coordinator */
    mr_ms_t reported_at;
    mr_ms_t coordinating_since;
    mr_fleet_instance_t *coordinator; /* NULL: this one */
    /* Versions in the coordinator's last reply; no contents. */
    mr_msg_directory_t coordinator_directory;
    int own_fetchers;     /* instances that were told to fetch from this one */
    int64_t inline_bytes; /* that replies may still carry as contents;
                             negative after a reply that carried more */
    mr_ms_t inline_filled_at; /* when @inline_bytes was last increased */
    mr_list_t reports;
    struct event *report_timer;
    struct event *check_timer;
    struct event *members_timer;
    uint8_t secret[MR_PEER_SECRET_BYTES];
    mr_counter_t *coordinator_gauge;
    mr_counter_t *reports_failed_counter;
    mr_counter_t *instances_gauge;
    mr_counter_t *unconfirmed_gauge;
};

/* fleet.c */
void mr_fleet_update_count(mr_fleet_t *fleet);
/** mr_fleet_update_owners() - the instances, or what is known of them, have
 * changed. */
void mr_fleet_update_owners(mr_fleet_t *fleet);
void mr_fleet_start_reports(mr_fleet_t *fleet);
/** mr_fleet_update_coordinator() - choose the coordinator and set what this
 * instance reads from the store accordingly. */
void mr_fleet_update_coordinator(mr_fleet_t *fleet, mr_ms_t now);

/* fleet_report.c */
/** mr_fleet_introduce() - send a report without contents, and without requests
 * for tokens, to an instance that may not know of this one or that this one
 * has ceased to draw tokens from. */
void mr_fleet_introduce(mr_fleet_t *fleet, mr_fleet_instance_t *instance);
void mr_fleet_on_report_timer(evutil_socket_t fd, short what, void *ctx);
void mr_fleet_on_report(void *ctx, mr_peer_request_t *request,
                        const mr_msg_t *msg, const char *from);

/* fleet_source.c */
/** mr_fleet_inline_allowance() - bytes of each kind of contents that the next
 * reply may carry. The caller takes what it carries from @inline_bytes. */
size_t mr_fleet_inline_allowance(mr_fleet_t *fleet, mr_ms_t now);
/** mr_fleet_choose_source() - choose where @receiver fetches contents that
 * this instance has and it lacks. Unless it is fetching afterwards, it has to
 * wait. */
void mr_fleet_choose_source(mr_fleet_t *fleet, mr_fleet_instance_t *receiver,
                            mr_ms_t now);
/** mr_fleet_release_source() - @instance does not fetch any more. */
void mr_fleet_release_source(mr_fleet_t *fleet, mr_fleet_instance_t *instance);
/** mr_fleet_remove_source() - @source is removed. */
void mr_fleet_remove_source(mr_fleet_t *fleet, mr_fleet_instance_t *source);

/* fleet_members.c */
/** mr_fleet_add_or_update_instance() - add an instance, or update its address
 * and the rate of its link. NULL if it is new and its address is malformed. */
mr_fleet_instance_t *mr_fleet_add_or_update_instance(mr_fleet_t *fleet,
                                                     const char *name,
                                                     const char *address,
                                                     int64_t link_mbps);
/** mr_fleet_create_peer() - create the peer, without listening yet. */
void mr_fleet_create_peer(mr_fleet_t *fleet);
/** mr_fleet_priority() - priority of the instance @name as the coordinator. */
uint64_t mr_fleet_priority(const char *name, int64_t link_mbps);
void mr_fleet_remove_instance(mr_fleet_t *fleet,
                              mr_fleet_instance_t *instance);
void mr_fleet_on_members_timer(evutil_socket_t fd, short what, void *ctx);
/** mr_fleet_on_era() - the store, or another instance, has told the era @era
 * of the store. */
void mr_fleet_on_era(void *ctx, int64_t era);

#endif
