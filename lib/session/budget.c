#include "session/budget.h"

#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/mem.h"

enum {
    /* An instance that has not reported for this long has no tokens left:
     * their lifetime. */
    REPORT_MAX_AGE_MS = 1200,
    /* A new coordinator's bucket starts with what this time brings, as its
     * predecessor may just have given the burst away. */
    START_MS = 300,
};

typedef struct member {
    mr_list_t link;
    char *name;
    mr_ms_t reported_at;
} member_t;

typedef struct budget {
    mr_list_t link;
    char *account;
    mr_bucket_t bucket;
} budget_t;

struct mr_budgets {
    mr_list_t members;
    mr_list_t budgets;
    bool majority;          /* more than half of the instances report here */
    mr_ms_t majority_since; /* while @majority */
};

mr_budgets_t *
mr_budgets_create(void)
{
    mr_budgets_t *budgets = MR_NEW(mr_budgets_t);

    mr_list_init(&budgets->members);
    mr_list_init(&budgets->budgets);
    return budgets;
}

static void
free_member(member_t *member)
{
    mr_list_remove(&member->link);
    free(member->name);
    free(member);
}

void
mr_budgets_destroy(mr_budgets_t *budgets)
{
    if (budgets == NULL) {
        return;
    }
    MR_LIST_FOREACH(it, &budgets->members)
    {
        free_member(MR_LIST_ENTRY(it, member_t, link));
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
    MR_LIST_FOREACH(it, &budgets->members)
    {
        member_t *member = MR_LIST_ENTRY(it, member_t, link);
        if (strcmp(member->name, instance) == 0) {
            member->reported_at = now;
            return;
        }
    }
    member_t *member = MR_NEW(member_t);
    member->name = mr_strdup(instance);
    member->reported_at = now;
    mr_list_append(&budgets->members, &member->link);
}

size_t
mr_budgets_reporting(mr_budgets_t *budgets, mr_ms_t now)
{
    size_t count = 0;

    MR_LIST_FOREACH(it, &budgets->members)
    {
        member_t *member = MR_LIST_ENTRY(it, member_t, link);
        if (now - member->reported_at > REPORT_MAX_AGE_MS) {
            free_member(member);
        }
        else {
            count++;
        }
    }
    return count;
}

/* While most instances report here, nobody else gives away the burst. What
 * another coordinator gave before is not known: buckets start empty then. */
static void
check_majority(mr_budgets_t *budgets, bool majority, mr_ms_t now)
{
    if (majority && !budgets->majority) {
        budgets->majority_since = now;
        MR_LIST_FOREACH(it, &budgets->budgets)
        {
            budget_t *budget = MR_LIST_ENTRY(it, budget_t, link);
            mr_bucket_init(&budget->bucket, budget->bucket.amount, now,
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
    mr_bucket_init(&budget->bucket, amount, since - START_MS, INT64_MAX);
    mr_list_append(&budgets->budgets, &budget->link);
    return budget;
}

int64_t
mr_budgets_draw(mr_budgets_t *budgets, const mr_budget_draw_t *draw)
{
    int64_t members = (int64_t)mr_budgets_reporting(budgets, draw->now);
    int64_t all = members > (int64_t)draw->instances
                      ? members
                      : (int64_t)draw->instances;

    if (members == 0) {
        return 0;
    }
    check_majority(budgets, 2 * members > all, draw->now);
    mr_limit_amount_t amount = {
        mr_limit_scale(draw->total.rate, members, all),
        mr_limit_scale(draw->total.burst, members, all)};
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
