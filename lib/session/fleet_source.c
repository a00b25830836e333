/* Choice of the instance that another one fetches large contents from. The
 * first transfer to a data centre comes from the coordinator, the others from
 * instances of the same data centre that have the contents already. */

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "session/fleet_internal.h"

enum {
    /* Instances that are told to fetch from the same one at a time. */
    FETCHERS_MAX = 3,
    /* An instance that has not got the contents after this time is told
     * another source. */
    SOURCE_TIMEOUT_MS = 1500,
    /* A source has reported within this time. */
    SOURCE_SEEN_MS = 600,
};

void
mr_fleet_release_source(mr_fleet_t *fleet, mr_fleet_instance_t *instance)
{
    if (!instance->fetching) {
        return;
    }
    instance->fetching = false;
    if (instance->source != NULL) {
        instance->source->fetchers--;
    }
    else {
        fleet->own_fetchers--;
    }
    instance->source = NULL;
}

void
mr_fleet_remove_source(mr_fleet_t *fleet, mr_fleet_instance_t *source)
{
    mr_fleet_release_source(fleet, source);
    MR_LIST_FOREACH(it, &fleet->instances)
    {
        mr_fleet_instance_t *instance =
            MR_LIST_ENTRY(it, mr_fleet_instance_t, link);
        if (instance->fetching && instance->source == source) {
            mr_fleet_release_source(fleet, instance);
        }
    }
}

static bool
has_contents(const mr_fleet_instance_t *instance,
             const mr_msg_directory_t *own)
{
    return instance->held.config_version == own->config_version
           && instance->held.registrations_digest == own->registrations_digest;
}

/** What the instances of a data centre have and do. */
typedef struct data_centre_state {
    mr_fleet_instance_t *source; /* has the contents and room; NULL: none */
    bool complete;               /* at least one instance has the contents */
    bool supplied;               /* one of them fetches from this instance */
} data_centre_state_t;

static data_centre_state_t
survey(mr_fleet_t *fleet, const mr_fleet_instance_t *receiver,
       const mr_msg_directory_t *own, mr_ms_t now)
{
    data_centre_state_t state = {0};

    MR_LIST_FOREACH(it, &fleet->instances)
    {
        mr_fleet_instance_t *instance =
            MR_LIST_ENTRY(it, mr_fleet_instance_t, link);
        if (instance == receiver || instance->data_centre == NULL
            || strcmp(instance->data_centre, receiver->data_centre) != 0) {
            continue;
        }
        if (instance->fetching && instance->source == NULL) {
            state.supplied = true;
        }
        if (now - instance->last_report_at > SOURCE_SEEN_MS
            || !has_contents(instance, own)) {
            continue;
        }
        state.complete = true;
        if (instance->fetchers < FETCHERS_MAX
            && (state.source == NULL
                || instance->fetchers < state.source->fetchers)) {
            state.source = instance;
        }
    }
    return state;
}

/* Tells @receiver to fetch from @source; NULL: from this instance. */
static void
assign(mr_fleet_t *fleet, mr_fleet_instance_t *receiver,
       mr_fleet_instance_t *source, mr_ms_t now)
{
    receiver->fetching = true;
    receiver->source = source;
    receiver->source_chosen_at = now;
    if (source != NULL) {
        source->fetchers++;
    }
    else {
        fleet->own_fetchers++;
    }
}

void
mr_fleet_choose_source(mr_fleet_t *fleet, mr_fleet_instance_t *receiver,
                       mr_ms_t now)
{
    mr_msg_directory_t own;

    if (receiver->fetching
        && now - receiver->source_chosen_at < SOURCE_TIMEOUT_MS) {
        return;
    }
    mr_fleet_release_source(fleet, receiver);
    if (receiver->data_centre == NULL) {
        return;
    }
    mr_directory_export(fleet->options.directory, NULL, SIZE_MAX, &own);
    data_centre_state_t state = survey(fleet, receiver, &own, now);
    bool local =
        strcmp(receiver->data_centre, fleet->options.data_centre) == 0;
    if (state.source != NULL) {
        assign(fleet, receiver, state.source, now);
    }
    else if (fleet->own_fetchers < FETCHERS_MAX + 1
             && (local || (!state.complete && !state.supplied))) {
        assign(fleet, receiver, NULL, now);
    }
}
