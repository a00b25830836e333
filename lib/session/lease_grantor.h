#ifndef MR_SESSION_LEASE_GRANTOR_H
#define MR_SESSION_LEASE_GRANTOR_H

/*
 * The coordinator's part of the primary leases: who supports it, which leases
 * may be held, and whether a promotion may be ordered. It leads while more
 * than half of the instances support it. An instance supports one coordinator
 * at a time, so two never lead at the same time. The support of a process that
 * has just started is provisional: it only counts if all instances support
 * this one, as after a stop of all.
 */

#include <stdbool.h>
#include <stddef.h>

#include "common/clock.h"
#include "session/primary_lease.h"

typedef struct mr_lease_grantor mr_lease_grantor_t;

/** Part of an instance's report that concerns leases. */
typedef struct mr_lease_report {
    const char *instance;
    mr_ms_t support; /* see mr_primary_lease_support() */
    bool provisional;
    const mr_msg_withheld_t *withheld;
    size_t withheld_count;
    mr_ms_t now;
} mr_lease_report_t;

/** mr_lease_grantor_create() - @instance is the name of this instance and
 * @lease its own lease; both must outlive the grantor. */
mr_lease_grantor_t *mr_lease_grantor_create(const char *instance,
                                            mr_primary_lease_t *lease);
void mr_lease_grantor_destroy(mr_lease_grantor_t *grantor);

/** mr_lease_grantor_set_instances() - number of instances; more than half of
 * them make a majority. */
void mr_lease_grantor_set_instances(mr_lease_grantor_t *grantor,
                                    size_t instances);

/** mr_lease_grantor_set_coordinating() - whether this instance coordinates.
 * Does nothing if that has not changed. */
void mr_lease_grantor_set_coordinating(mr_lease_grantor_t *grantor,
                                       bool coordinating, mr_ms_t now);

/** mr_lease_grantor_renew_own() - support this instance and renew its own
 * lease, as a report does for the others. */
void mr_lease_grantor_renew_own(mr_lease_grantor_t *grantor, mr_ms_t now);

/** mr_lease_grantor_report() - record the support and the withheld services of
 * an instance. */
void mr_lease_grantor_report(mr_lease_grantor_t *grantor,
                             const mr_lease_report_t *report);

/** mr_lease_grantor_leads() - whether a majority supports this instance. */
bool mr_lease_grantor_leads(mr_lease_grantor_t *grantor, mr_ms_t now);
/** mr_lease_grantor_leading_ms() - for how long; -1: it does not lead. */
mr_ms_t mr_lease_grantor_leading_ms(mr_lease_grantor_t *grantor, mr_ms_t now);

/** mr_lease_grantor_grant() - whether a reply to @instance may grant a lease;
 * if so, the lease counts as held. */
bool mr_lease_grantor_grant(mr_lease_grantor_t *grantor, const char *instance,
                            mr_ms_t now);

/**
 * mr_lease_grantor_withhold() - grant no use of the primary of @service from
 * now on
 * @primary: id of the known primary; "": none
 * @claim: see mr_cluster_primary_claim()
 *
 * Does nothing if it is withheld already for that claim, except that it is no
 * longer adopted.
 */
void mr_lease_grantor_withhold(mr_lease_grantor_t *grantor,
                               const char *service, const char *primary,
                               int64_t claim, mr_ms_t now);
void mr_lease_grantor_release(mr_lease_grantor_t *grantor,
                              const char *service);

/**
 * mr_lease_grantor_adopted() - find @service if it is withheld because the
 * previous coordinator may have ordered its promotion
 * @out: receives the primary and claim at that time
 */
bool mr_lease_grantor_adopted(const mr_lease_grantor_t *grantor,
                              const char *service, mr_msg_withheld_t *out);

/** mr_lease_grantor_may_order() - whether no instance can use the primary of
 * @service, which is withheld, and no other coordinator can have it granted.
 */
bool mr_lease_grantor_may_order(mr_lease_grantor_t *grantor,
                                const char *service, mr_ms_t now);

/** mr_lease_grantor_list_withheld() - list the withheld services for a reply.
 * The caller frees the list; the texts are those of @grantor. */
mr_msg_withheld_t *
mr_lease_grantor_list_withheld(const mr_lease_grantor_t *grantor,
                               size_t *count);

#endif
