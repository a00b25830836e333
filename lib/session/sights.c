#include "session/sights.h"

#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/mem.h"

enum {
    REPORT_MAX_AGE_MS = 1000,
    /* A primary that failed for this long on one instance counts as failed
     * there: above a lost packet's retransmission. */
    FAILED_MS = 250,
};

typedef struct service {
    mr_list_t link;
    char *name;
    mr_list_t sights;
} service_t;

/** An instance that reports. */
typedef struct reporter {
    mr_list_t link;
    char *instance;
    mr_list_t sights;
    mr_ms_t at;
} reporter_t;

/** How one instance sees one primary. */
typedef struct sight {
    mr_list_t of_service;
    mr_list_t of_reporter;
    char *id;
    int64_t failing_ms;
    int64_t answered_ms;
    mr_ms_t at;
} sight_t;

struct mr_sights {
    mr_list_t services;
    mr_list_t reporters;
};

mr_sights_t *
mr_sights_create(void)
{
    mr_sights_t *sights = MR_NEW(mr_sights_t);

    mr_list_init(&sights->services);
    mr_list_init(&sights->reporters);
    return sights;
}

static void
drop_sights(reporter_t *reporter)
{
    while (!mr_list_empty(&reporter->sights)) {
        sight_t *sight =
            MR_LIST_ENTRY(reporter->sights.next, sight_t, of_reporter);
        mr_list_remove(&sight->of_reporter);
        mr_list_remove(&sight->of_service);
        free(sight->id);
        free(sight);
    }
}

static void
free_reporter(reporter_t *reporter)
{
    drop_sights(reporter);
    mr_list_remove(&reporter->link);
    free(reporter->instance);
    free(reporter);
}

void
mr_sights_destroy(mr_sights_t *sights)
{
    if (sights == NULL) {
        return;
    }
    MR_LIST_FOREACH(it, &sights->reporters)
    {
        free_reporter(MR_LIST_ENTRY(it, reporter_t, link));
    }
    MR_LIST_FOREACH(it, &sights->services)
    {
        service_t *service = MR_LIST_ENTRY(it, service_t, link);
        mr_list_remove(it);
        free(service->name);
        free(service);
    }
    free(sights);
}

static service_t *
find_service(const mr_sights_t *sights, const char *name)
{
    MR_LIST_FOREACH(it, &sights->services)
    {
        service_t *service = MR_LIST_ENTRY(it, service_t, link);
        if (strcmp(service->name, name) == 0) {
            return service;
        }
    }
    return NULL;
}

static service_t *
get_service(mr_sights_t *sights, const char *name)
{
    service_t *service = find_service(sights, name);

    if (service == NULL) {
        service = MR_NEW(service_t);
        service->name = mr_strdup(name);
        mr_list_init(&service->sights);
        mr_list_append(&sights->services, &service->link);
    }
    return service;
}

/* The record of @instance; forgets those that have not reported for long. */
static reporter_t *
get_reporter(mr_sights_t *sights, const char *instance, mr_ms_t now)
{
    reporter_t *found = NULL;

    MR_LIST_FOREACH(it, &sights->reporters)
    {
        reporter_t *reporter = MR_LIST_ENTRY(it, reporter_t, link);
        if (strcmp(reporter->instance, instance) == 0) {
            found = reporter;
        }
        else if (now - reporter->at > REPORT_MAX_AGE_MS) {
            free_reporter(reporter);
        }
    }
    if (found == NULL) {
        found = MR_NEW(reporter_t);
        found->instance = mr_strdup(instance);
        mr_list_init(&found->sights);
        mr_list_append(&sights->reporters, &found->link);
    }
    found->at = now;
    return found;
}

void
mr_sights_report(mr_sights_t *sights, const char *instance, mr_ms_t now,
                 const mr_msg_db_health_t *health, size_t count)
{
    reporter_t *reporter = get_reporter(sights, instance, now);

    drop_sights(reporter);
    for (size_t i = 0; i < count; i++) {
        service_t *service = get_service(sights, health[i].service);
        sight_t *sight = MR_NEW(sight_t);
        *sight = (sight_t){
            .id = mr_strdup(health[i].id),
            .failing_ms = health[i].failing_ms,
            .answered_ms = health[i].answered_ms,
            .at = now,
        };
        mr_list_append(&service->sights, &sight->of_service);
        mr_list_append(&reporter->sights, &sight->of_reporter);
    }
}

mr_verdict_t
mr_sights_judge(const mr_sights_t *sights, const char *service, const char *id,
                mr_ms_t now)
{
    const service_t *found = find_service(sights, service);
    mr_verdict_t verdict = {0, 0, 0};

    if (found == NULL) {
        return verdict;
    }
    MR_LIST_FOREACH(it, &found->sights)
    {
        const sight_t *sight = MR_LIST_ENTRY(it, sight_t, of_service);
        if (now - sight->at > REPORT_MAX_AGE_MS
            || strcmp(sight->id, id) != 0) {
            continue;
        }
        if (sight->failing_ms >= FAILED_MS) {
            verdict.failed++;
            if (sight->failing_ms > verdict.failing_ms) {
                verdict.failing_ms = sight->failing_ms;
            }
        }
        else if (sight->failing_ms == 0 && sight->answered_ms >= 0
                 && sight->answered_ms <= MR_SIGHTS_ANSWERED_MS) {
            verdict.answered++;
        }
    }
    return verdict;
}
