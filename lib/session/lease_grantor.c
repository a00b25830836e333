#include "session/lease_grantor.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/log.h"
#include "common/mem.h"

enum {
    /* A report that names an older withholding does not concern an order that
     * the platform may still carry out. */
    ADOPTED_MAX_AGE_MS = 15000,
    /* An instance that has neither supported nor held a lease for this long is
     * forgotten. */
    FORGET_AFTER_MS = 60000,
};

/** A service that an instance confirmed not to use. */
typedef struct confirmation {
    mr_list_t link;
    char *service;
    int64_t number;
    char *primary;
    int64_t claim;
    mr_ms_t named_at;
} confirmation_t;

/** What is known of one instance. */
typedef struct reporter {
    char *name;
    mr_ms_t supports_until;
    bool provisional;
    mr_ms_t lease_until;
    mr_list_t confirmations; /* in its last report */
} reporter_t;

typedef struct withheld {
    mr_list_t link;
    char *service;
    int64_t number;
    char *primary;
    int64_t claim;
    bool adopted;
} withheld_t;

struct mr_lease_grantor {
    const char *instance;
    mr_primary_lease_t *lease;
    size_t instances;
    GHashTable *reporters; /* name -> reporter_t */
    mr_list_t withheld;
    bool coordinating;
    bool leading; /* when last determined */
    mr_ms_t leading_since;
    /* Supporting reporters when they were last counted. The counts hold until
     * @count_valid_until unless @count_outdated. */
    size_t supporters;
    size_t firm_supporters;
    mr_ms_t count_valid_until;
    bool count_outdated;
    int64_t last_number;
};

static void
clear_confirmations(reporter_t *reporter)
{
    MR_LIST_FOREACH(it, &reporter->confirmations)
    {
        confirmation_t *confirmation = MR_LIST_ENTRY(it, confirmation_t, link);
        mr_list_remove(it);
        free(confirmation->service);
        free(confirmation->primary);
        free(confirmation);
    }
}

static void
free_reporter(void *data)
{
    reporter_t *reporter = data;

    clear_confirmations(reporter);
    free(reporter->name);
    free(reporter);
}

mr_lease_grantor_t *
mr_lease_grantor_create(const char *instance, mr_primary_lease_t *lease)
{
    mr_lease_grantor_t *grantor = MR_NEW(mr_lease_grantor_t);

    grantor->instance = instance;
    grantor->lease = lease;
    grantor->instances = 1;
    grantor->reporters =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_reporter);
    mr_list_init(&grantor->withheld);
    return grantor;
}

static void
free_withheld(withheld_t *withheld)
{
    mr_list_remove(&withheld->link);
    free(withheld->service);
    free(withheld->primary);
    free(withheld);
}

static void
clear_withheld(mr_lease_grantor_t *grantor)
{
    MR_LIST_FOREACH(it, &grantor->withheld)
    {
        free_withheld(MR_LIST_ENTRY(it, withheld_t, link));
    }
}

void
mr_lease_grantor_destroy(mr_lease_grantor_t *grantor)
{
    if (grantor == NULL) {
        return;
    }
    clear_withheld(grantor);
    g_hash_table_destroy(grantor->reporters);
    free(grantor);
}

void
mr_lease_grantor_set_instances(mr_lease_grantor_t *grantor, size_t instances)
{
    grantor->instances = instances;
}

static reporter_t *
get_reporter(mr_lease_grantor_t *grantor, const char *name)
{
    reporter_t *reporter = g_hash_table_lookup(grantor->reporters, name);

    if (reporter == NULL) {
        reporter = MR_NEW(reporter_t);
        reporter->name = mr_strdup(name);
        mr_list_init(&reporter->confirmations);
        g_hash_table_insert(grantor->reporters, reporter->name, reporter);
    }
    return reporter;
}

static withheld_t *
find_withheld(const mr_lease_grantor_t *grantor, const char *service)
{
    MR_LIST_FOREACH(it, &grantor->withheld)
    {
        withheld_t *withheld = MR_LIST_ENTRY(it, withheld_t, link);
        if (strcmp(withheld->service, service) == 0) {
            return withheld;
        }
    }
    return NULL;
}

static mr_msg_withheld_t
describe(const withheld_t *withheld)
{
    return (mr_msg_withheld_t){
        .service = withheld->service,
        .number = withheld->number,
        .primary = withheld->primary,
        .claim = withheld->claim,
    };
}

static withheld_t *
add_withheld(mr_lease_grantor_t *grantor, const char *service,
             const char *primary, int64_t claim, mr_ms_t now)
{
    withheld_t *withheld = MR_NEW(withheld_t);

    /* Differs from all earlier numbers of this instance, also after a restart
     * of the process. */
    grantor->last_number =
        now > grantor->last_number ? now : grantor->last_number + 1;
    withheld->service = mr_strdup(service);
    withheld->number = grantor->last_number;
    withheld->primary = mr_strdup(primary);
    withheld->claim = claim;
    mr_list_append(&grantor->withheld, &withheld->link);
    mr_msg_withheld_t item = describe(withheld);
    mr_primary_lease_withhold(grantor->lease, &item, now);
    return withheld;
}

/* Adopts the withheld services that a supporter's last report names. The
 * previous leader may have ordered their promotion, and only if a majority had
 * confirmed to withhold them; so at least one supporter names them. */
static void
adopt(mr_lease_grantor_t *grantor, const reporter_t *reporter, mr_ms_t now)
{
    MR_LIST_FOREACH(it, &reporter->confirmations)
    {
        const confirmation_t *named = MR_LIST_ENTRY(it, confirmation_t, link);
        withheld_t *withheld = find_withheld(grantor, named->service);
        if (now - named->named_at > ADOPTED_MAX_AGE_MS) {
            continue;
        }
        if (withheld == NULL) {
            withheld = add_withheld(grantor, named->service, named->primary,
                                    named->claim, now);
            withheld->adopted = true;
        }
        else if (withheld->adopted && named->claim > withheld->claim) {
            /* Another supporter named an earlier promotion. */
            free(withheld->primary);
            withheld->primary = mr_strdup(named->primary);
            withheld->claim = named->claim;
        }
    }
}

static void
adopt_all(mr_lease_grantor_t *grantor, mr_ms_t now)
{
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, grantor->reporters);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const reporter_t *reporter = value;
        if (reporter->supports_until > now) {
            adopt(grantor, reporter, now);
        }
    }
}

/* Counts the supporting reporters, and determines until when none of them
 * ceases to support this instance. */
static void
count_supporters(mr_lease_grantor_t *grantor, mr_ms_t now)
{
    GHashTableIter it;
    gpointer value;

    grantor->supporters = 0;
    grantor->firm_supporters = 0;
    grantor->count_valid_until = now + FORGET_AFTER_MS;
    grantor->count_outdated = false;
    g_hash_table_iter_init(&it, grantor->reporters);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const reporter_t *reporter = value;
        if (reporter->supports_until > now) {
            grantor->supporters++;
            grantor->firm_supporters += !reporter->provisional;
            if (reporter->supports_until < grantor->count_valid_until) {
                grantor->count_valid_until = reporter->supports_until;
            }
        }
        if (now - reporter->supports_until > FORGET_AFTER_MS
            && now - reporter->lease_until > FORGET_AFTER_MS) {
            g_hash_table_iter_remove(&it);
        }
    }
}

/* Determines whether this instance leads. Support only grows by reports, so
 * this is called before and after each of them. Most reports only renew
 * support, which changes no count, so the cost of a report does not grow with
 * the number of instances. */
static void
update_leading(mr_lease_grantor_t *grantor, mr_ms_t now)
{
    if (grantor->count_outdated || now >= grantor->count_valid_until) {
        count_supporters(grantor, now);
    }
    bool leading = grantor->coordinating
                   && (grantor->firm_supporters * 2 > grantor->instances
                       || grantor->supporters >= grantor->instances);
    bool begins = leading && !grantor->leading;
    grantor->leading = leading;
    if (begins) {
        grantor->leading_since = now;
        adopt_all(grantor, now);
    }
}

/* An instance that does not coordinate tells others so by its support of them.
 * What supported it until then, perhaps by processes that have ended since,
 * does not count when it coordinates again. */
static void
clear_support(mr_lease_grantor_t *grantor)
{
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, grantor->reporters);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        ((reporter_t *)value)->supports_until = 0;
    }
    grantor->count_outdated = true;
}

void
mr_lease_grantor_set_coordinating(mr_lease_grantor_t *grantor,
                                  bool coordinating, mr_ms_t now)
{
    if (coordinating == grantor->coordinating) {
        return;
    }
    grantor->coordinating = coordinating;
    grantor->leading = false;
    clear_withheld(grantor);
    clear_support(grantor);
    if (!coordinating) {
        mr_primary_lease_end_support(grantor->lease, grantor->instance, now);
    }
}

bool
mr_lease_grantor_leads(mr_lease_grantor_t *grantor, mr_ms_t now)
{
    update_leading(grantor, now);
    return grantor->leading;
}

mr_ms_t
mr_lease_grantor_leading_ms(mr_lease_grantor_t *grantor, mr_ms_t now)
{
    return mr_lease_grantor_leads(grantor, now) ? now - grantor->leading_since
                                                : -1;
}

static void
record_confirmations(reporter_t *reporter, const mr_lease_report_t *report)
{
    clear_confirmations(reporter);
    for (size_t i = 0; i < report->withheld_count; i++) {
        const mr_msg_withheld_t *named = &report->withheld[i];
        confirmation_t *confirmation = MR_NEW(confirmation_t);
        *confirmation = (confirmation_t){
            .service = mr_strdup(named->service),
            .number = named->number,
            .primary = mr_strdup(named->primary),
            .claim = named->claim,
            .named_at = report->now - named->age_ms,
        };
        mr_list_append(&reporter->confirmations, &confirmation->link);
    }
}

void
mr_lease_grantor_report(mr_lease_grantor_t *grantor,
                        const mr_lease_report_t *report)
{
    /* A later time than the present one is from before a restart of this
     * machine. */
    bool supports = report->support != 0 && report->support <= report->now;

    update_leading(grantor, report->now);
    reporter_t *reporter = get_reporter(grantor, report->instance);
    record_confirmations(reporter, report);
    if (reporter->provisional != report->provisional) {
        reporter->provisional = report->provisional;
        grantor->count_outdated = true;
    }
    if (supports
        && report->support + MR_SUPPORT_MS > reporter->supports_until) {
        grantor->count_outdated |= reporter->supports_until <= report->now;
        reporter->supports_until = report->support + MR_SUPPORT_MS;
    }
    update_leading(grantor, report->now);
}

bool
mr_lease_grantor_grant(mr_lease_grantor_t *grantor, const char *instance,
                       mr_ms_t now)
{
    if (!mr_lease_grantor_leads(grantor, now)) {
        return false;
    }
    /* The lease is counted from an earlier time, that of the report. */
    get_reporter(grantor, instance)->lease_until = now + MR_PRIMARY_LEASE_MS;
    return true;
}

void
mr_lease_grantor_renew_own(mr_lease_grantor_t *grantor, mr_ms_t now)
{
    size_t count;
    mr_msg_withheld_t *withheld =
        mr_primary_lease_list_withheld(grantor->lease, &count, now);

    mr_lease_grantor_report(
        grantor, &(mr_lease_report_t){
                     .instance = grantor->instance,
                     .support = mr_primary_lease_support(grantor->lease,
                                                         grantor->instance),
                     .provisional =
                         mr_primary_lease_is_provisional(grantor->lease, now),
                     .withheld = withheld,
                     .withheld_count = count,
                     .now = now,
                 });
    free(withheld);
    bool granted = mr_lease_grantor_grant(grantor, grantor->instance, now);
    withheld = mr_lease_grantor_list_withheld(grantor, &count);
    mr_primary_lease_import(grantor->lease,
                            &(mr_lease_reply_t){
                                .coordinator = grantor->instance,
                                .asked_at = now,
                                .sent_at = now,
                                .now = now,
                                .granted = granted,
                                .withheld = withheld,
                                .withheld_count = count,
                            });
    free(withheld);
}

void
mr_lease_grantor_withhold(mr_lease_grantor_t *grantor, const char *service,
                          const char *primary, int64_t claim, mr_ms_t now)
{
    withheld_t *withheld = find_withheld(grantor, service);

    if (withheld != NULL && claim > withheld->claim) {
        /* Those who confirmed did so for an earlier primary. */
        free_withheld(withheld);
        withheld = NULL;
    }
    if (withheld == NULL) {
        withheld = add_withheld(grantor, service, primary, claim, now);
    }
    withheld->adopted = false;
    mr_lease_grantor_renew_own(grantor, now);
}

void
mr_lease_grantor_release(mr_lease_grantor_t *grantor, const char *service)
{
    withheld_t *withheld = find_withheld(grantor, service);

    if (withheld != NULL) {
        free_withheld(withheld);
    }
}

bool
mr_lease_grantor_adopted(const mr_lease_grantor_t *grantor,
                         const char *service, mr_msg_withheld_t *out)
{
    const withheld_t *withheld = find_withheld(grantor, service);

    if (withheld == NULL || !withheld->adopted) {
        return false;
    }
    *out = describe(withheld);
    return true;
}

static bool
has_confirmed(const reporter_t *reporter, const withheld_t *withheld)
{
    MR_LIST_FOREACH(it, &reporter->confirmations)
    {
        const confirmation_t *confirmation =
            MR_LIST_ENTRY(it, confirmation_t, link);
        if (confirmation->number == withheld->number
            && strcmp(confirmation->service, withheld->service) == 0) {
            return true;
        }
    }
    return false;
}

bool
mr_lease_grantor_may_order(mr_lease_grantor_t *grantor, const char *service,
                           mr_ms_t now)
{
    const withheld_t *withheld = find_withheld(grantor, service);
    size_t confirmed = 0;
    GHashTableIter it;
    gpointer value;

    /* Leases of the previous leader lapse within their lifetime. */
    if (withheld == NULL || withheld->adopted
        || mr_lease_grantor_leading_ms(grantor, now) < MR_PRIMARY_LEASE_MS) {
        return false;
    }
    g_hash_table_iter_init(&it, grantor->reporters);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const reporter_t *reporter = value;
        if (has_confirmed(reporter, withheld)) {
            confirmed++;
        }
        else if (reporter->lease_until > now) {
            return false;
        }
    }
    /* The next leader learns of the order from one of them. */
    return confirmed * 2 > grantor->instances;
}

mr_msg_withheld_t *
mr_lease_grantor_list_withheld(const mr_lease_grantor_t *grantor,
                               size_t *count)
{
    mr_msg_withheld_t *list;
    size_t i = 0;

    MR_LIST_FOREACH(it, &grantor->withheld)
    {
        i++;
    }
    list = mr_calloc(i + 1, sizeof(*list));
    i = 0;
    MR_LIST_FOREACH(it, &grantor->withheld)
    {
        list[i++] = describe(MR_LIST_ENTRY(it, withheld_t, link));
    }
    *count = i;
    return list;
}
