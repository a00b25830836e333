#ifndef MR_SESSION_FLEET_INTERNAL_H
#define MR_SESSION_FLEET_INTERNAL_H

/* Shared by fleet.c (choice of the coordinator), fleet_report.c (reports and
 * their answers) and fleet_members.c (registration of the instances). */

#include "common/list.h"
#include "common/timer.h"
#include "session/budget.h"
#include "session/fleet.h"
#include "wire/peer.h"

enum {
    /* An instance that did not answer twice is passed over. */
    MR_FLEET_FAILURES_MAX = 2,
};

/** Another instance. */
typedef struct mr_fleet_instance {
    mr_list_t link;
    char *name;
    char *address;
    int64_t row_version; /* 0: known from a report only */
    uint64_t order;      /* the highest coordinates */
    int failures;
    mr_ms_t tried_at;
    mr_ms_t heard_at; /* its last report */
    uint64_t told;    /* changes of the clusters up to its last answer */
    bool listed;
} mr_fleet_instance_t;

/** A report under way. */
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
    mr_list_t instances; /* others, highest order first */
    size_t count;
    uint64_t own_order;
    int64_t own_version; /* of the own registration; 0: none */
    bool joined;
    bool leaving;
    bool coordinating;
    bool refresh;
    bool store_failing;        /* for the coordinator */
    bool notified;             /* a report is wanted at once */
    bool again;                /* as soon as the present one is answered */
    size_t reported_instances; /* as the coordinator counts them */
    mr_ms_t answered_at;       /* last reply of the coordinator */
    mr_ms_t reported_at;
    mr_ms_t coordinating_since;
    mr_fleet_instance_t *coordinator; /* NULL: this one */
    /* What the coordinator last said that it has; the versions only. */
    mr_msg_directory_t coordinator_directory;
    mr_list_t reports;
    struct event *report_timer;
    struct event *check_timer;
    struct event *members_timer;
    uint8_t secret[MR_PEER_SECRET_BYTES];
    mr_counter_t *is_coordinator;
    mr_counter_t *reports_failed;
    mr_counter_t *instance_gauge;
};

/* fleet.c */
void mr_fleet_update_count(mr_fleet_t *fleet);
void mr_fleet_start_reports(mr_fleet_t *fleet);
/** mr_fleet_choose() - take the first reachable instance as the coordinator
 * and read from the store what the new place asks for. */
void mr_fleet_choose(mr_fleet_t *fleet, mr_ms_t now);

/* fleet_report.c */
void mr_fleet_on_report_timer(evutil_socket_t fd, short what, void *ctx);
void mr_fleet_on_report(void *ctx, mr_peer_request_t *request,
                        const mr_msg_t *msg, const char *from);

/* fleet_members.c */
/** mr_fleet_note_instance() - add an instance, or note its new address. */
mr_fleet_instance_t *mr_fleet_note_instance(mr_fleet_t *fleet,
                                            const char *name,
                                            const char *address);
void mr_fleet_forget_instance(mr_fleet_t *fleet,
                              mr_fleet_instance_t *instance);
void mr_fleet_on_members_timer(evutil_socket_t fd, short what, void *ctx);

#endif
