#ifndef MR_SESSION_BUDGET_H
#define MR_SESSION_BUDGET_H

/*
 * The coordinator's token buckets, one for each client account, from which the
 * instances that report to it draw. Instances that report elsewhere, or not at
 * all, may admit their equal part, so that a bucket holds only the reporting
 * ones' parts: whichever instances believe to be the coordinator, their
 * budgets add up to the rate.
 */

#include <stddef.h>

#include "common/clock.h"
#include "limit/bucket.h"

typedef struct mr_budgets mr_budgets_t;

mr_budgets_t *mr_budgets_create(void);
void mr_budgets_destroy(mr_budgets_t *budgets);

/** mr_budgets_report() - @instance reported at @now. */
void mr_budgets_report(mr_budgets_t *budgets, const char *instance,
                       mr_ms_t now);

/** mr_budgets_reporting() - instances that reported lately. */
size_t mr_budgets_reporting(mr_budgets_t *budgets, mr_ms_t now);

/** What an instance draws from an account's bucket. */
typedef struct mr_budget_draw {
    const char *account;
    mr_limit_amount_t total; /* of all instances */
    int64_t wanted;          /* thousandths of tokens */
    size_t instances;        /* that may admit operations */
    mr_ms_t now;
} mr_budget_draw_t;

/** mr_budgets_draw() - whole tokens, in thousandths, up to what is wanted. */
int64_t mr_budgets_draw(mr_budgets_t *budgets, const mr_budget_draw_t *draw);

#endif
