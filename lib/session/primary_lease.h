#ifndef MR_SESSION_PRIMARY_LEASE_H
#define MR_SESSION_PRIMARY_LEASE_H

/*
 * Permission of one instance to use the primaries. A database that is no
 * longer the primary may go on accepting writes, so an instance uses a primary
 * only while it holds a lease from the coordinator that a majority of the
 * instances supports. Before a promotion the coordinator withholds the
 * service: it waits until each instance has confirmed that it does not use the
 * primary, or its lease has lapsed. See docs/machines.md.
 */

#include <stdbool.h>
#include <stddef.h>

#include "common/clock.h"
#include "common/counters.h"
#include "wire/msg.h"

enum {
    /* Lifetime of a lease, counted from the sending of the report that it
     * answers. Longer than the time until another coordinator grants leases
     * after the death of one, and of six report periods. */
    MR_PRIMARY_LEASE_MS = 1700,
    /* An instance supports no other coordinator for this long after the last
     * reply of the one that it supports. */
    MR_SUPPORT_MS = 800,
};

typedef struct mr_primary_lease mr_primary_lease_t;

/** What a coordinator's reply says about the lease. */
typedef struct mr_lease_reply {
    const char *coordinator;
    mr_ms_t asked_at; /* when the report was sent */
    mr_ms_t sent_at;  /* of the reply, by the coordinator's clock */
    mr_ms_t now;
    bool granted;
    bool leaving; /* the coordinator has ceased to coordinate */
    const mr_msg_withheld_t *withheld;
    size_t withheld_count;
} mr_lease_reply_t;

/** mr_primary_lease_create() - no lease is held at first. The support of this
 * instance is provisional for a while, as an earlier process of it may have
 * supported another coordinator until @now. */
mr_primary_lease_t *mr_primary_lease_create(mr_counters_t *counters,
                                            mr_ms_t now);
void mr_primary_lease_destroy(mr_primary_lease_t *lease);

/**
 * mr_primary_lease_import() - apply a reply of the chosen coordinator
 *
 * Return: whether the coordinator waits for the next report, as this instance
 *         has begun to support it or not to use a primary.
 */
bool mr_primary_lease_import(mr_primary_lease_t *lease,
                             const mr_lease_reply_t *reply);

/** mr_primary_lease_covers() - whether the primary of @service may be used at
 * @now. */
bool mr_primary_lease_covers(const mr_primary_lease_t *lease,
                             const char *service, mr_ms_t now);

/** mr_primary_lease_held() - whether the lease has not lapsed at @now; logs
 * and counts a change. Called periodically. */
bool mr_primary_lease_held(mr_primary_lease_t *lease, mr_ms_t now);

/** mr_primary_lease_was_held() - whether there has been a lease at all. */
bool mr_primary_lease_was_held(const mr_primary_lease_t *lease);

/** mr_primary_lease_withhold() - do not use the primary of a service until a
 * coordinator grants it again. */
void mr_primary_lease_withhold(mr_primary_lease_t *lease,
                               const mr_msg_withheld_t *item, mr_ms_t now);

/** mr_primary_lease_list_withheld() - list the withheld services for a report.
 * The caller frees the list; the texts are those of @lease. */
mr_msg_withheld_t *
mr_primary_lease_list_withheld(const mr_primary_lease_t *lease, size_t *count,
                               mr_ms_t now);

/** mr_primary_lease_support() - the support that a report to @coordinator
 * carries: the time of its last reply by its own clock; 0: none. */
mr_ms_t mr_primary_lease_support(const mr_primary_lease_t *lease,
                                 const char *coordinator);

/** mr_primary_lease_is_provisional() - whether the support of an earlier
 * process may not have lapsed at @now. */
bool mr_primary_lease_is_provisional(const mr_primary_lease_t *lease,
                                     mr_ms_t now);

/** mr_primary_lease_end_support() - @coordinator does not count this
 * instance's support any more, so another one may have it. */
void mr_primary_lease_end_support(mr_primary_lease_t *lease,
                                  const char *coordinator, mr_ms_t now);

#endif
