#ifndef MR_SESSION_FLEET_INTERNAL_H
#define MR_SESSION_FLEET_INTERNAL_H

/* Shared by fleet.c (choice of the coordinator), fleet_report.c (reports and
 * their replies) and fleet_members.c (registration of the instances). */

#include "common/list.h"
#include "common/timer.h"
#include "session/budget.h"
#include "session/fleet.h"
#include "wire/peer.h"

enum {
    /* Consecutive unanswered reports after which an instance counts as lost.
     */
    MR_FLEET_FAILURES_MAX = 2,
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
} mr_fleet_instance_t;

/** A report that waits for its reply. */
typedef struct mr_fleet_report {
    mr_list_t link;
    mr_fleet_t *fleet;
    mr_fleet_instance_t *to;
    mr_peer_call_t *call;
    mr_ms_t sent_at;
} mr_fleet_report_t;

struct mr_fleet {
    mr_fleet_options_t options;
    mr_peer_t *peer; /* NULL until the secret is known */
    mr_budgets_t *budgets;
    mr_list_t instances; /* other instances, highest priority first */
    size_t other_count;
    uint64_t own_priority;
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
    size_t reported_instances; /* number according to the coordinator */
    mr_ms_t answered_at;       /* last reply of the coordinator */
    mr_ms_t reported_at;
    mr_ms_t coordinating_since;
    mr_fleet_instance_t *coordinator; /* NULL: this one */
    /* Versions in the coordinator's last reply; no contents. */
    mr_msg_directory_t coordinator_directory;
    mr_list_t reports;
    struct event *report_timer;
    struct event *check_timer;
    struct event *members_timer;
    uint8_t secret[MR_PEER_SECRET_BYTES];
    mr_counter_t *coordinator_gauge;
    mr_counter_t *reports_failed_counter;
    mr_counter_t *instances_gauge;
};

/* fleet.c */
void mr_fleet_update_count(mr_fleet_t *fleet);
void mr_fleet_start_reports(mr_fleet_t *fleet);
/** mr_fleet_update_coordinator() - choose the coordinator and set what this
 * instance reads from the store accordingly. */
void mr_fleet_update_coordinator(mr_fleet_t *fleet, mr_ms_t now);

/* fleet_report.c */
/** mr_fleet_introduce() - send a report without contents to an instance that
 * may not know of this one. */
void mr_fleet_introduce(mr_fleet_t *fleet, mr_fleet_instance_t *instance);
void mr_fleet_on_report_timer(evutil_socket_t fd, short what, void *ctx);
void mr_fleet_on_report(void *ctx, mr_peer_request_t *request,
                        const mr_msg_t *msg, const char *from);

/* fleet_members.c */
/** mr_fleet_add_or_update_instance() - add an instance, or update its address.
 * NULL if it is new and its address is malformed. */
mr_fleet_instance_t *mr_fleet_add_or_update_instance(mr_fleet_t *fleet,
                                                     const char *name,
                                                     const char *address);
void mr_fleet_remove_instance(mr_fleet_t *fleet,
                              mr_fleet_instance_t *instance);
void mr_fleet_on_members_timer(evutil_socket_t fd, short what, void *ctx);
/** mr_fleet_on_era() - the store, or another instance, has told the era @era
 * of the store. */
void mr_fleet_on_era(void *ctx, int64_t era);

#endif
