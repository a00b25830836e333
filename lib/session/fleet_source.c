/* How newer contents reach an instance: small ones with the reply to its
 * report, large ones from an instance that the coordinator chooses. The
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
    /* An instance that has waited for this long is told a source that has some
     * of the newer contents only, as these may change more often than they
     * reach all instances. */
    WAIT_MAX_MS = 1000,
    /* A source, or a receiver, has reported within this time. */
    SEEN_MS = 600,
    /* Bound of the contents in all replies together, a fifth of a link of 10
     * Mbit/s. */
    INLINE_RATE_BYTES_PER_S = 256 << 10,
};

size_t
mr_fleet_inline_allowance(mr_fleet_t *fleet, mr_ms_t now)
{
    mr_ms_t elapsed = now - fleet->inline_filled_at;
    int64_t bytes = INLINE_RATE_BYTES_PER_S;

    if (fleet->inline_filled_at != 0 && elapsed < 1000) {
        bytes = fleet->inline_bytes + elapsed * INLINE_RATE_BYTES_PER_S / 1000;
    }
    fleet->inline_bytes =
        bytes < INLINE_RATE_BYTES_PER_S ? bytes : INLINE_RATE_BYTES_PER_S;
    fleet->inline_filled_at = now;
    if (fleet->inline_bytes <= 0) {
        return 0;
    }
    return fleet->inline_bytes < MR_FLEET_INLINE_MAX_BYTES
               ? (size_t)fleet->inline_bytes
               : MR_FLEET_INLINE_MAX_BYTES;
}

void
mr_fleet_release_source(mr_fleet_t *fleet, mr_fleet_instance_t *instance)
{
    instance->waiting_since = 0;
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

/* Releases the sources of instances that have not got the contents in time or
 * are gone. */
static void
release_expired(mr_fleet_t *fleet, mr_ms_t now)
{
    MR_LIST_FOREACH(it, &fleet->instances)
    {
        mr_fleet_instance_t *instance =
            MR_LIST_ENTRY(it, mr_fleet_instance_t, link);
        if (instance->fetching
            && (now - instance->source_chosen_at >= SOURCE_TIMEOUT_MS
                || now - instance->last_report_at > SEEN_MS)) {
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

/* Whether @a has newer contents than @b and nothing older. */
static bool
is_newer(const mr_msg_directory_t *a, const mr_msg_directory_t *b)
{
    mr_revision_t revision = {a->registrations_era, a->registrations_version};
    mr_revision_t other = {b->registrations_era, b->registrations_version};
    int compared = mr_revision_compare(revision, other);

    return a->config_version >= b->config_version && compared >= 0
           && (a->config_version > b->config_version
               || (compared > 0
                   && a->registrations_digest != b->registrations_digest));
}

/** What the instances of a data centre have and do. */
typedef struct data_centre_state {
    mr_fleet_instance_t *source; /* has the contents and room; NULL: none */
    mr_fleet_instance_t *newer;  /* has room and newer contents than the
                                    receiver; NULL: none */
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
        if (now - instance->last_report_at > SEEN_MS) {
            continue;
        }
        if (instance->fetchers < FETCHERS_MAX
            && is_newer(&instance->held, &receiver->held)) {
            state.newer = instance;
        }
        if (!has_contents(instance, own)) {
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
    receiver->waiting_since = 0;
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

    release_expired(fleet, now);
    if (receiver->defers_config) {
        mr_fleet_release_source(fleet, receiver);
        return;
    }
    if (receiver->fetching || receiver->data_centre == NULL) {
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
    else if (receiver->waiting_since == 0) {
        receiver->waiting_since = now;
    }
    else if (state.newer != NULL
             && now - receiver->waiting_since >= WAIT_MAX_MS) {
        assign(fleet, receiver, state.newer, now);
    }
}
