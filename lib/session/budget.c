#include "session/budget.h"

#include <glib.h>
#include <stdlib.h>

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
    char *account;
    mr_bucket_t bucket;
} budget_t;

struct mr_budgets {
    mr_list_t reporters; /* the one that has been silent longest comes first */
    GHashTable *reporters_by_name;
    GHashTable *budgets;    /* account -> budget_t */
    bool majority;          /* more than half of the instances report here */
    mr_ms_t majority_since; /* of the last one; 0: there was none */
};

static void
free_budget(void *data)
{
    budget_t *budget = data;

    free(budget->account);
    free(budget);
}

mr_budgets_t *
mr_budgets_create(void)
{
    mr_budgets_t *budgets = MR_NEW(mr_budgets_t);

    mr_list_init(&budgets->reporters);
    budgets->reporters_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    budgets->budgets =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_budget);
    return budgets;
}

static void
free_reporter(mr_budgets_t *budgets, reporter_t *reporter)
{
    g_hash_table_remove(budgets->reporters_by_name, reporter->name);
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
        free_reporter(budgets, MR_LIST_ENTRY(it, reporter_t, link));
    }
    g_hash_table_destroy(budgets->reporters_by_name);
    g_hash_table_destroy(budgets->budgets);
    free(budgets);
}

void
mr_budgets_report(mr_budgets_t *budgets, const char *instance, mr_ms_t now)
{
    reporter_t *reporter =
        g_hash_table_lookup(budgets->reporters_by_name, instance);

    if (reporter == NULL) {
        reporter = MR_NEW(reporter_t);
        reporter->name = mr_strdup(instance);
        mr_list_init(&reporter->link);
        g_hash_table_insert(budgets->reporters_by_name, reporter->name,
                            reporter);
    }
    reporter->reported_at = now;
    mr_list_remove(&reporter->link);
    mr_list_append(&budgets->reporters, &reporter->link);
}

void
mr_budgets_forget(mr_budgets_t *budgets, const char *instance)
{
    reporter_t *reporter =
        g_hash_table_lookup(budgets->reporters_by_name, instance);

    if (reporter != NULL) {
        free_reporter(budgets, reporter);
    }
}

size_t
mr_budgets_reporting(mr_budgets_t *budgets, mr_ms_t now)
{
    MR_LIST_FOREACH(it, &budgets->reporters)
    {
        reporter_t *reporter = MR_LIST_ENTRY(it, reporter_t, link);
        if (now - reporter->reported_at <= REPORT_MAX_AGE_MS) {
            break;
        }
        free_reporter(budgets, reporter);
    }
    return g_hash_table_size(budgets->reporters_by_name);
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
        GHashTableIter it;
        gpointer value;
        budgets->majority_since = now;
        g_hash_table_iter_init(&it, budgets->budgets);
        while (g_hash_table_iter_next(&it, NULL, &value)) {
            budget_t *budget = value;
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
    budget_t *budget = g_hash_table_lookup(budgets->budgets, account);

    if (budget != NULL) {
        return budget;
    }
    budget = MR_NEW(budget_t);
    budget->account = mr_strdup(account);
    mr_bucket_init(&budget->bucket, amount, since - INITIAL_FILL_MS,
                   INT64_MAX);
    g_hash_table_insert(budgets->budgets, budget->account, budget);
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
