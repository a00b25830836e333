#ifndef MR_SESSION_SHARES_H
#define MR_SESSION_SHARES_H

/*
 * The coordinator's division of the accounts' rates among the instances that
 * report to it. Instances that report elsewhere, or not at all, may admit
 * their equal part, so that only the reporting ones' parts are divided:
 * whichever instances believe to be the coordinator, their budgets add up to
 * the rate.
 */

#include "common/clock.h"
#include "common/list.h"
#include "limit/bucket.h"
#include "wire/msg.h"

typedef struct mr_shares mr_shares_t;

mr_shares_t *mr_shares_create(void);
void mr_shares_destroy(mr_shares_t *shares);

/** mr_shares_report() - demands of @instance at @now. */
void mr_shares_report(mr_shares_t *shares, const char *instance, mr_ms_t now,
                      const mr_msg_demand_t *demands, size_t count);

/** mr_shares_reporting() - instances that reported lately. */
size_t mr_shares_reporting(mr_shares_t *shares, mr_ms_t now);

/** mr_shares_divide() - share of @instance in @total, with @instances that may
 * admit operations. */
mr_limit_amount_t mr_shares_divide(mr_shares_t *shares, const char *instance,
                                   const char *account,
                                   mr_limit_amount_t total, size_t instances);

#endif
