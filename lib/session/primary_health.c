#include "session/primary_health.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/mem.h"

enum {
    REPORT_MAX_AGE_MS = 1000,
    /* A primary counts as failed for an instance after failing there for this
     * long. Longer than the retransmission of a lost packet takes. */
    FAILED_MS = 250,
};

typedef struct service {
    mr_list_t link;
    char *name;
    mr_list_t observations;
} service_t;

/** An instance that sends reports, with its latest one. */
typedef struct reporter {
    mr_list_t link;
    char *instance;
    mr_list_t observations;
    mr_ms_t reported_at;
} reporter_t;

/** What one instance reported about one primary. */
typedef struct observation {
    mr_list_t service_link;
    mr_list_t reporter_link;
    char *id;
    int64_t failing_ms;
    int64_t answered_ms;
    mr_ms_t reported_at;
} observation_t;

struct mr_primary_health {
    mr_list_t services;
    mr_list_t reporters; /* the one that has been silent longest comes first */
    GHashTable *reporters_by_name;
};

mr_primary_health_t *
mr_primary_health_create(void)
{
    mr_primary_health_t *health = MR_NEW(mr_primary_health_t);

    mr_list_init(&health->services);
    mr_list_init(&health->reporters);
    health->reporters_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    return health;
}

static void
free_observations(reporter_t *reporter)
{
    while (!mr_list_empty(&reporter->observations)) {
        observation_t *observation = MR_LIST_ENTRY(
            reporter->observations.next, observation_t, reporter_link);
        mr_list_remove(&observation->reporter_link);
        mr_list_remove(&observation->service_link);
        free(observation->id);
        free(observation);
    }
}

static void
free_reporter(mr_primary_health_t *health, reporter_t *reporter)
{
    g_hash_table_remove(health->reporters_by_name, reporter->instance);
    free_observations(reporter);
    mr_list_remove(&reporter->link);
    free(reporter->instance);
    free(reporter);
}

void
mr_primary_health_destroy(mr_primary_health_t *health)
{
    if (health == NULL) {
        return;
    }
    MR_LIST_FOREACH(it, &health->reporters)
    {
        free_reporter(health, MR_LIST_ENTRY(it, reporter_t, link));
    }
    MR_LIST_FOREACH(it, &health->services)
    {
        service_t *service = MR_LIST_ENTRY(it, service_t, link);
        mr_list_remove(it);
        free(service->name);
        free(service);
    }
    g_hash_table_destroy(health->reporters_by_name);
    free(health);
}

static service_t *
find_service(const mr_primary_health_t *health, const char *name)
{
    MR_LIST_FOREACH(it, &health->services)
    {
        service_t *service = MR_LIST_ENTRY(it, service_t, link);
        if (strcmp(service->name, name) == 0) {
            return service;
        }
    }
    return NULL;
}

static service_t *
get_service(mr_primary_health_t *health, const char *name)
{
    service_t *service = find_service(health, name);

    if (service == NULL) {
        service = MR_NEW(service_t);
        service->name = mr_strdup(name);
        mr_list_init(&service->observations);
        mr_list_append(&health->services, &service->link);
    }
    return service;
}

/* Returns the record of @instance, created if needed, and frees the records of
 * other instances whose reports have expired. */
static reporter_t *
get_reporter(mr_primary_health_t *health, const char *instance, mr_ms_t now)
{
    reporter_t *found =
        g_hash_table_lookup(health->reporters_by_name, instance);

    if (found == NULL) {
        found = MR_NEW(reporter_t);
        found->instance = mr_strdup(instance);
        mr_list_init(&found->observations);
        mr_list_init(&found->link);
        g_hash_table_insert(health->reporters_by_name, found->instance, found);
    }
    found->reported_at = now;
    mr_list_remove(&found->link);
    mr_list_append(&health->reporters, &found->link);
    MR_LIST_FOREACH(it, &health->reporters)
    {
        reporter_t *reporter = MR_LIST_ENTRY(it, reporter_t, link);
        if (now - reporter->reported_at <= REPORT_MAX_AGE_MS) {
            break;
        }
        free_reporter(health, reporter);
    }
    return found;
}

void
mr_primary_health_report(mr_primary_health_t *health, const char *instance,
                         mr_ms_t now, const mr_msg_db_health_t *reported,
                         size_t count)
{
    reporter_t *reporter = get_reporter(health, instance, now);

    free_observations(reporter);
    for (size_t i = 0; i < count; i++) {
        service_t *service = get_service(health, reported[i].service);
        observation_t *observation = MR_NEW(observation_t);
        *observation = (observation_t){
            .id = mr_strdup(reported[i].id),
            .failing_ms = reported[i].failing_ms,
            .answered_ms = reported[i].answered_ms,
            .reported_at = now,
        };
        mr_list_append(&service->observations, &observation->service_link);
        mr_list_append(&reporter->observations, &observation->reporter_link);
    }
}

mr_health_summary_t
mr_primary_health_summarize(const mr_primary_health_t *health,
                            const char *service, const char *id, mr_ms_t now)
{
    const service_t *found = find_service(health, service);
    mr_health_summary_t summary = {0, 0, 0};

    if (found == NULL) {
        return summary;
    }
    MR_LIST_FOREACH(it, &found->observations)
    {
        const observation_t *observation =
            MR_LIST_ENTRY(it, observation_t, service_link);
        if (now - observation->reported_at > REPORT_MAX_AGE_MS
            || strcmp(observation->id, id) != 0) {
            continue;
        }
        if (observation->failing_ms >= FAILED_MS) {
            summary.failed++;
            if (observation->failing_ms > summary.longest_failing_ms) {
                summary.longest_failing_ms = observation->failing_ms;
            }
        }
        else if (observation->failing_ms == 0 && observation->answered_ms >= 0
                 && observation->answered_ms <= MR_HEALTH_ANSWERED_MS) {
            summary.answered++;
        }
    }
    return summary;
}
