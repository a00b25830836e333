#include "session/shares.h"

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"

enum {
    /* An instance that has not reported for this long has no share left: the
     * lifetime of shares. */
    REPORT_MAX_AGE_MS = 1200,
    /* Part of the rate that is divided equally when the demand exceeds it. */
    EQUAL_PERCENT = 5,
};

typedef struct member {
    mr_list_t link;
    char *name;
    mr_ms_t reported_at;
    mr_msg_demand_t *demands; /* with names of its own */
    size_t count;
} member_t;

struct mr_shares {
    mr_list_t members;
};

mr_shares_t *
mr_shares_create(void)
{
    mr_shares_t *shares = MR_NEW(mr_shares_t);

    mr_list_init(&shares->members);
    return shares;
}

static void
free_demands(member_t *member)
{
    for (size_t i = 0; i < member->count; i++) {
        free((void *)member->demands[i].account);
    }
    free(member->demands);
}

static void
free_member(member_t *member)
{
    mr_list_remove(&member->link);
    free_demands(member);
    free(member->name);
    free(member);
}

void
mr_shares_destroy(mr_shares_t *shares)
{
    if (shares == NULL) {
        return;
    }
    MR_LIST_FOREACH(it, &shares->members)
    {
        free_member(MR_LIST_ENTRY(it, member_t, link));
    }
    free(shares);
}

static member_t *
find_member(mr_shares_t *shares, const char *name)
{
    MR_LIST_FOREACH(it, &shares->members)
    {
        member_t *member = MR_LIST_ENTRY(it, member_t, link);
        if (strcmp(member->name, name) == 0) {
            return member;
        }
    }
    return NULL;
}

void
mr_shares_report(mr_shares_t *shares, const char *instance, mr_ms_t now,
                 const mr_msg_demand_t *demands, size_t count)
{
    member_t *member = find_member(shares, instance);

    if (member == NULL) {
        member = MR_NEW(member_t);
        member->name = mr_strdup(instance);
        mr_list_append(&shares->members, &member->link);
    }
    free_demands(member);
    member->reported_at = now;
    member->count = count;
    member->demands = mr_calloc(count + 1, sizeof(*member->demands));
    for (size_t i = 0; i < count; i++) {
        member->demands[i] =
            (mr_msg_demand_t){mr_strdup(demands[i].account),
                              demands[i].milli > 0 ? demands[i].milli : 0};
    }
}

size_t
mr_shares_reporting(mr_shares_t *shares, mr_ms_t now)
{
    size_t count = 0;

    MR_LIST_FOREACH(it, &shares->members)
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

static int64_t
demand_of(const member_t *member, const char *account)
{
    for (size_t i = 0; i < member->count; i++) {
        if (strcmp(member->demands[i].account, account) == 0) {
            return member->demands[i].milli;
        }
    }
    return 0;
}

/* Part of @budget for an instance with @demand out of @sum. */
static int64_t
divide(int64_t budget, int64_t demand, int64_t sum, int64_t members)
{
    if (sum > budget) {
        int64_t equal = budget * EQUAL_PERCENT / 100;
        return equal / members + mr_limit_scale(budget - equal, demand, sum);
    }
    /* What nobody asks for is held ready, half of it equally, half of it
     * where there is demand. */
    int64_t rest = budget - sum;
    if (sum == 0) {
        return budget / members;
    }
    return demand + rest / 2 / members + mr_limit_scale(rest / 2, demand, sum);
}

mr_limit_amount_t
mr_shares_divide(mr_shares_t *shares, const char *instance,
                 const char *account, mr_limit_amount_t total,
                 size_t instances)
{
    int64_t members = 0;
    int64_t sum = 0;
    int64_t demand = 0;

    MR_LIST_FOREACH(it, &shares->members)
    {
        member_t *member = MR_LIST_ENTRY(it, member_t, link);
        int64_t part = demand_of(member, account);
        members++;
        sum += part;
        if (strcmp(member->name, instance) == 0) {
            demand = part;
        }
    }
    if (members == 0 || instances == 0 || total.rate <= 0) {
        return (mr_limit_amount_t){0, 0};
    }
    int64_t all = members > (int64_t)instances ? members : (int64_t)instances;
    int64_t budget = mr_limit_scale(total.rate, members, all);
    int64_t rate = divide(budget, demand, sum, members);
    return (mr_limit_amount_t){rate,
                               mr_limit_scale(total.burst, rate, total.rate)};
}
