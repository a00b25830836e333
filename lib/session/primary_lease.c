#include "session/primary_lease.h"

#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/log.h"
#include "common/mem.h"

typedef struct withheld {
    mr_list_t link;
    char *service;
    int64_t number;
    char *primary;
    int64_t claim;
    mr_ms_t since;    /* with this number */
    mr_ms_t named_at; /* last time that a coordinator named it */
    bool listed;      /* in the reply that is being applied */
} withheld_t;

struct mr_primary_lease {
    mr_ms_t until;
    bool held; /* as last logged */
    mr_ms_t provisional_until;
    char *supported;
    mr_ms_t supported_until;
    mr_ms_t reply_sent_at; /* of its last reply, by its clock */
    mr_list_t withheld;
    mr_counter_t *held_gauge;
    mr_counter_t *lapses;
};

mr_primary_lease_t *
mr_primary_lease_create(mr_counters_t *counters, mr_ms_t now)
{
    mr_primary_lease_t *lease = MR_NEW(mr_primary_lease_t);

    mr_list_init(&lease->withheld);
    lease->provisional_until = now + MR_SUPPORT_MS;
    lease->held_gauge =
        mr_counters_get(counters, "masticrelay_primary_lease_held", "",
                        "1 while this instance may use the primaries");
    lease->lapses =
        mr_counters_get(counters, "masticrelay_primary_lease_lapses_total", "",
                        "leases that lapsed before they were renewed");
    return lease;
}

static void
free_withheld(withheld_t *withheld)
{
    mr_list_remove(&withheld->link);
    free(withheld->service);
    free(withheld->primary);
    free(withheld);
}

void
mr_primary_lease_destroy(mr_primary_lease_t *lease)
{
    if (lease == NULL) {
        return;
    }
    MR_LIST_FOREACH(it, &lease->withheld)
    {
        free_withheld(MR_LIST_ENTRY(it, withheld_t, link));
    }
    free(lease->supported);
    free(lease);
}

static withheld_t *
find_withheld(const mr_primary_lease_t *lease, const char *service)
{
    MR_LIST_FOREACH(it, &lease->withheld)
    {
        withheld_t *withheld = MR_LIST_ENTRY(it, withheld_t, link);
        if (strcmp(withheld->service, service) == 0) {
            return withheld;
        }
    }
    return NULL;
}

static bool
is_withheld_as(const mr_primary_lease_t *lease, const mr_msg_withheld_t *item)
{
    const withheld_t *withheld = find_withheld(lease, item->service);

    return withheld != NULL && withheld->number == item->number;
}

void
mr_primary_lease_withhold(mr_primary_lease_t *lease,
                          const mr_msg_withheld_t *item, mr_ms_t now)
{
    withheld_t *withheld = find_withheld(lease, item->service);

    if (withheld == NULL) {
        withheld = MR_NEW(withheld_t);
        withheld->service = mr_strdup(item->service);
        mr_list_append(&lease->withheld, &withheld->link);
        mr_log(MR_LOG_INFO, MR_EVENT_PRIMARY_WITHHELD, "service=%s id=%s",
               item->service, item->primary);
    }
    if (withheld->number != item->number) {
        withheld->number = item->number;
        withheld->since = now;
        free(withheld->primary);
        withheld->primary = mr_strdup(item->primary);
        withheld->claim = item->claim;
    }
    withheld->named_at = now;
    withheld->listed = true;
}

/* Ends the withholding of services that a granting reply leaves out. The
 * coordinator has not answered a report that names a later one. */
static void
release_unlisted(mr_primary_lease_t *lease, mr_ms_t asked_at)
{
    MR_LIST_FOREACH(it, &lease->withheld)
    {
        withheld_t *withheld = MR_LIST_ENTRY(it, withheld_t, link);
        if (!withheld->listed && withheld->since < asked_at) {
            mr_log(MR_LOG_INFO, MR_EVENT_PRIMARY_GRANTED, "service=%s",
                   withheld->service);
            free_withheld(withheld);
        }
    }
}

static bool
update_support(mr_primary_lease_t *lease, const mr_lease_reply_t *reply)
{
    bool same = lease->supported != NULL
                && strcmp(lease->supported, reply->coordinator) == 0;

    if (reply->leaving) {
        mr_primary_lease_end_support(lease, reply->coordinator, reply->now);
        return false;
    }
    if (!same && reply->now < lease->supported_until) {
        return false;
    }
    if (!same) {
        free(lease->supported);
        lease->supported = mr_strdup(reply->coordinator);
    }
    lease->supported_until = reply->now + MR_SUPPORT_MS;
    lease->reply_sent_at = reply->sent_at;
    return !same;
}

bool
mr_primary_lease_import(mr_primary_lease_t *lease,
                        const mr_lease_reply_t *reply)
{
    mr_ms_t until = reply->asked_at + MR_PRIMARY_LEASE_MS;
    bool awaited = false;

    MR_LIST_FOREACH(it, &lease->withheld)
    {
        MR_LIST_ENTRY(it, withheld_t, link)->listed = false;
    }
    for (size_t i = 0; i < reply->withheld_count; i++) {
        awaited |= !is_withheld_as(lease, &reply->withheld[i]);
        mr_primary_lease_withhold(lease, &reply->withheld[i], reply->now);
    }
    if (reply->granted) {
        release_unlisted(lease, reply->asked_at);
        lease->until = until > lease->until ? until : lease->until;
    }
    mr_primary_lease_held(lease, reply->now);
    awaited |= update_support(lease, reply);
    return awaited;
}

bool
mr_primary_lease_covers(const mr_primary_lease_t *lease, const char *service,
                        mr_ms_t now)
{
    return now < lease->until && find_withheld(lease, service) == NULL;
}

bool
mr_primary_lease_held(mr_primary_lease_t *lease, mr_ms_t now)
{
    bool held = now < lease->until;

    if (held != lease->held) {
        lease->held = held;
        mr_counter_set(lease->held_gauge, held);
        mr_counter_add(lease->lapses, !held);
        mr_log(held ? MR_LOG_INFO : MR_LOG_WARNING,
               held ? MR_EVENT_PRIMARY_LEASE_GRANTED
                    : MR_EVENT_PRIMARY_LEASE_LAPSED,
               "coordinator=%s",
               lease->supported != NULL ? lease->supported : "-");
    }
    return held;
}

bool
mr_primary_lease_was_held(const mr_primary_lease_t *lease)
{
    return lease->until != 0;
}

mr_msg_withheld_t *
mr_primary_lease_list_withheld(const mr_primary_lease_t *lease, size_t *count,
                               mr_ms_t now)
{
    mr_msg_withheld_t *list;
    size_t i = 0;

    MR_LIST_FOREACH(it, &lease->withheld)
    {
        i++;
    }
    list = mr_calloc(i + 1, sizeof(*list));
    i = 0;
    MR_LIST_FOREACH(it, &lease->withheld)
    {
        const withheld_t *withheld = MR_LIST_ENTRY(it, withheld_t, link);
        list[i++] = (mr_msg_withheld_t){
            .service = withheld->service,
            .number = withheld->number,
            .primary = withheld->primary,
            .claim = withheld->claim,
            .age_ms = now - withheld->named_at,
        };
    }
    *count = i;
    return list;
}

mr_ms_t
mr_primary_lease_support(const mr_primary_lease_t *lease,
                         const char *coordinator)
{
    bool supported =
        lease->supported != NULL && strcmp(lease->supported, coordinator) == 0;

    return supported ? lease->reply_sent_at : 0;
}

bool
mr_primary_lease_is_provisional(const mr_primary_lease_t *lease, mr_ms_t now)
{
    return now < lease->provisional_until;
}

void
mr_primary_lease_end_support(mr_primary_lease_t *lease,
                             const char *coordinator, mr_ms_t now)
{
    if (lease->supported != NULL
        && strcmp(lease->supported, coordinator) == 0) {
        free(lease->supported);
        lease->supported = NULL;
        lease->reply_sent_at = 0;
        lease->supported_until = now;
    }
}
