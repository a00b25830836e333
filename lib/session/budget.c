#include "session/budget.h"

#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/mem.h"

enum {
    /* Lifetime of drawn tokens: an instance that has not reported for this
     * long has none left. */
    REPORT_MAX_AGE_MS = 1200,
    /* A bucket of a new coordinator starts with the tokens of this time
     * instead of the burst, which the previous coordinator may just have
     * granted. */
    INITIAL_FILL_MS = 300,
};

typedef struct reporter {
    mr_list_t link;
    char *name;
    mr_ms_t reported_at;
} reporter_t;

typedef struct budget {
    mr_list_t link;
    char *account;
    mr_bucket_t bucket;
} budget_t;

struct mr_budgets {
    mr_list_t reporters;
    mr_list_t budgets;
    bool majority;          /* more than half of the instances report here */
    mr_ms_t majority_since; /* of the last one; 0: there was none */
};

mr_budgets_t *
mr_budgets_create(void)
{
    mr_budgets_t *budgets = MR_NEW(mr_budgets_t);

    mr_list_init(&budgets->reporters);
    mr_list_init(&budgets->budgets);
    return budgets;
}

static void
free_reporter(reporter_t *reporter)
{
    mr_list_remove(&reporter->link);
    free(reporter->name);
    free(reporter);
}

void
mr_budgets_destroy(mr_budgets_t *budgets)
{
    if (budgets == NULL) {
        return;
    }
    MR_LIST_FOREACH(it, &budgets->reporters)
    {
        free_reporter(MR_LIST_ENTRY(it, reporter_t, link));
    }
    MR_LIST_FOREACH(it, &budgets->budgets)
    {
        budget_t *budget = MR_LIST_ENTRY(it, budget_t, link);
        mr_list_remove(it);
        free(budget->account);
        free(budget);
    }
    free(budgets);
}

void
mr_budgets_report(mr_budgets_t *budgets, const char *instance, mr_ms_t now)
{
    MR_LIST_FOREACH(it, &budgets->reporters)
    {
        reporter_t *reporter = MR_LIST_ENTRY(it, reporter_t, link);
        if (strcmp(reporter->name, instance) == 0) {
            reporter->reported_at = now;
            return;
        }
    }
    reporter_t *reporter = MR_NEW(reporter_t);
    reporter->name = mr_strdup(instance);
    reporter->reported_at = now;
    mr_list_append(&budgets->reporters, &reporter->link);
}

void
mr_budgets_forget(mr_budgets_t *budgets, const char *instance)
{
    MR_LIST_FOREACH(it, &budgets->reporters)
    {
        reporter_t *reporter = MR_LIST_ENTRY(it, reporter_t, link);
        if (strcmp(reporter->name, instance) == 0) {
            free_reporter(reporter);
            return;
        }
    }
}

size_t
mr_budgets_reporting(mr_budgets_t *budgets, mr_ms_t now)
{
    size_t count = 0;

    MR_LIST_FOREACH(it, &budgets->reporters)
    {
        reporter_t *reporter = MR_LIST_ENTRY(it, reporter_t, link);
        if (now - reporter->reported_at > REPORT_MAX_AGE_MS) {
            free_reporter(reporter);
        }
        else {
            count++;
        }
    }
    return count;
}

/* While a majority reports to this instance, no other coordinator grants
 * the burst. When a majority is regained, the buckets start empty, as it is
 * unknown what another coordinator has granted in the meantime. With the first
 * one they start as those of a new coordinator. */
static void
update_majority(mr_budgets_t *budgets, bool majority, mr_ms_t now)
{
    if (majority && !budgets->majority) {
        mr_ms_t start =
            budgets->majority_since == 0 ? now - INITIAL_FILL_MS : now;
        budgets->majority_since = now;
        MR_LIST_FOREACH(it, &budgets->budgets)
        {
            budget_t *budget = MR_LIST_ENTRY(it, budget_t, link);
            mr_bucket_init(&budget->bucket, budget->bucket.amount, start,
                           INT64_MAX);
        }
    }
    budgets->majority = majority;
}

static budget_t *
get_budget(mr_budgets_t *budgets, const char *account,
           mr_limit_amount_t amount, mr_ms_t now)
{
    mr_ms_t since = budgets->majority ? budgets->majority_since : now;

    MR_LIST_FOREACH(it, &budgets->budgets)
    {
        budget_t *budget = MR_LIST_ENTRY(it, budget_t, link);
        if (strcmp(budget->account, account) == 0) {
            return budget;
        }
    }
    budget_t *budget = MR_NEW(budget_t);
    budget->account = mr_strdup(account);
    mr_bucket_init(&budget->bucket, amount, since - INITIAL_FILL_MS,
                   INT64_MAX);
    mr_list_append(&budgets->budgets, &budget->link);
    return budget;
}

int64_t
mr_budgets_draw(mr_budgets_t *budgets, const mr_budget_draw_t *draw)
{
    int64_t reporting = (int64_t)mr_budgets_reporting(budgets, draw->now);
    int64_t all = reporting > (int64_t)draw->instances
                      ? reporting
                      : (int64_t)draw->instances;

    if (reporting == 0) {
        return 0;
    }
    update_majority(budgets, 2 * reporting > all, draw->now);
    mr_limit_amount_t amount = {
        mr_limit_scale(draw->total.rate, reporting, all),
        mr_limit_scale(draw->total.burst, reporting, all)};
    budget_t *budget = get_budget(budgets, draw->account, amount, draw->now);
    if (amount.rate != budget->bucket.amount.rate
        || amount.burst != budget->bucket.amount.burst) {
        mr_bucket_change(&budget->bucket, amount, draw->now, INT64_MAX);
    }
    int64_t level = mr_bucket_level(&budget->bucket, draw->now);
    int64_t given = draw->wanted < level ? draw->wanted : level;
    given -= given % MR_TOKEN_MILLI;
    return given > 0 ? mr_bucket_take(&budget->bucket, given, draw->now) : 0;
}
