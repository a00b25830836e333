#ifndef MR_SESSION_BUDGET_H
#define MR_SESSION_BUDGET_H

/*
 * The coordinator's token buckets, one for each client account. The instances
 * that report to the coordinator draw from them. Other instances may admit
 * their equal share of the rate on their own, so a bucket holds only the
 * shares of the reporting instances. With several instances acting as the
 * coordinator, their buckets therefore still add up to the rate.
 */

#include <stddef.h>

#include "common/clock.h"
#include "limit/bucket.h"

typedef struct mr_budgets mr_budgets_t;

mr_budgets_t *mr_budgets_create(void);
void mr_budgets_destroy(mr_budgets_t *budgets);

/** mr_budgets_report() - record that @instance reported at @now. */
void mr_budgets_report(mr_budgets_t *budgets, const char *instance,
                       mr_ms_t now);

/** mr_budgets_forget() - @instance draws from another coordinator now. */
void mr_budgets_forget(mr_budgets_t *budgets, const char *instance);

/** mr_budgets_reporting() - number of instances that reported recently. */
size_t mr_budgets_reporting(mr_budgets_t *budgets, mr_ms_t now);

/** Request of an instance for tokens of an account. */
typedef struct mr_budget_draw {
    const char *account;
    mr_limit_amount_t total; /* for all instances together */
    int64_t wanted;          /* thousandths of tokens */
    size_t instances;        /* that may admit operations */
    mr_ms_t now;
} mr_budget_draw_t;

/** mr_budgets_draw() - take up to @draw->wanted; returns the amount taken, a
 * multiple of one token, in thousandths. */
int64_t mr_budgets_draw(mr_budgets_t *budgets, const mr_budget_draw_t *draw);

#endif
