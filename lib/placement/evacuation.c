#include "placement/evacuation.h"

#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/mem.h"

enum {
    /* Evacuations that ended, whose reads return in a ramp. */
    ENDED_MAX = MR_EVACUATIONS_MAX,
};

typedef struct evacuation {
    char *data_centre;
    mr_ms_t deadline;
    mr_ms_t kept_until; /* the restored store lacks it; 0: it has it */
} evacuation_t;

typedef struct ended {
    char *data_centre;
    mr_ms_t at;
} ended_t;

struct mr_evacuations {
    mr_ms_t limit;
    mr_revision_t revision;
    evacuation_t list[MR_EVACUATIONS_MAX]; /* sorted by name */
    size_t count;
    size_t kept_count; /* of them, those that the restored store lacks */
    ended_t ended[ENDED_MAX]; /* ring buffer */
    size_t ended_next;
    mr_ms_t ended_at; /* of the last one; 0: none */
    mr_ms_t confirmed_at;
    mr_ms_t excused_until; /* the store cannot be reached */
    mr_counter_t *gauge;
    mr_counter_t *ignored_counter;
};

/** Set of names that is being built. */
typedef struct name_set {
    const char *names[2 * MR_EVACUATIONS_MAX];
    size_t count;
    bool overflow;
} name_set_t;

mr_evacuations_t *
mr_evacuations_create(mr_ms_t limit, mr_counters_t *counters)
{
    mr_evacuations_t *evacuations = MR_NEW(mr_evacuations_t);

    evacuations->limit = limit;
    evacuations->gauge =
        mr_counters_get(counters, "masticrelay_evacuated_data_centres", "",
                        "data centres whose databases are not used");
    evacuations->ignored_counter = mr_counters_get(
        counters, "masticrelay_evacuations_ignored_total", "",
        "evacuations beyond the greatest number, at each reading");
    return evacuations;
}

void
mr_evacuations_destroy(mr_evacuations_t *evacuations)
{
    if (evacuations == NULL) {
        return;
    }
    for (size_t i = 0; i < evacuations->count; i++) {
        free(evacuations->list[i].data_centre);
    }
    for (size_t i = 0; i < ENDED_MAX; i++) {
        free(evacuations->ended[i].data_centre);
    }
    free(evacuations);
}

static const evacuation_t *
find(const mr_evacuations_t *evacuations, const char *data_centre)
{
    for (size_t i = 0; i < evacuations->count; i++) {
        if (strcmp(evacuations->list[i].data_centre, data_centre) == 0) {
            return &evacuations->list[i];
        }
    }
    return NULL;
}

/* Returns the index of @name in @set, or where to insert it. */
static size_t
find_place(const name_set_t *set, const char *name, bool *found)
{
    size_t low = 0;
    size_t high = set->count;

    while (low < high) {
        size_t middle = low + (high - low) / 2;
        int order = strcmp(set->names[middle], name);
        if (order == 0) {
            *found = true;
            return middle;
        }
        if (order < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    *found = false;
    return low;
}

/* Adds @name. Only the first names in alphabetical order are kept, so that all
 * instances apply the same ones. */
static void
add_name(mr_evacuations_t *evacuations, name_set_t *set, const char *name)
{
    bool found;
    size_t place = find_place(set, name, &found);

    if (found) {
        return;
    }
    memmove(&set->names[place + 1], &set->names[place],
            (set->count - place) * sizeof(*set->names));
    set->names[place] = name;
    if (++set->count > MR_EVACUATIONS_MAX) {
        const char *ignored = set->names[--set->count];
        set->overflow = true;
        mr_counter_add(evacuations->ignored_counter, 1);
        mr_log(MR_LOG_ERROR, MR_EVENT_EVACUATION_IGNORED, "data_centre=\"%s\"",
               ignored);
    }
}

static void
remove_name(name_set_t *set, const char *name)
{
    bool found;
    size_t place = find_place(set, name, &found);

    if (found) {
        set->count--;
        memmove(&set->names[place], &set->names[place + 1],
                (set->count - place) * sizeof(*set->names));
    }
}

static void
build_set(mr_evacuations_t *evacuations, const mr_evacuation_update_t *update,
          name_set_t *set)
{
    if (!update->complete) {
        for (size_t i = 0; i < evacuations->count; i++) {
            if (evacuations->list[i].kept_until == 0) {
                add_name(evacuations, set, evacuations->list[i].data_centre);
            }
        }
    }
    for (size_t i = 0; i < update->count; i++) {
        if (update->changes[i].withdrawn) {
            remove_name(set, update->changes[i].data_centre);
        }
        else {
            add_name(evacuations, set, update->changes[i].data_centre);
        }
    }
}

static bool
is_withdrawn(const mr_evacuation_update_t *update, const char *name)
{
    bool withdrawn = false;

    for (size_t i = 0; i < update->count; i++) {
        if (strcmp(update->changes[i].data_centre, name) == 0) {
            withdrawn = update->changes[i].withdrawn;
        }
    }
    return withdrawn;
}

static void
end_evacuation(mr_evacuations_t *evacuations, evacuation_t *evacuation,
               const char *source, mr_ms_t now)
{
    ended_t *ended = &evacuations->ended[evacuations->ended_next];

    mr_log(MR_LOG_WARNING, MR_EVENT_EVACUATION_ENDED,
           "data_centre=\"%s\" source=%s", evacuation->data_centre, source);
    evacuations->ended_next = (evacuations->ended_next + 1) % ENDED_MAX;
    free(ended->data_centre);
    *ended = (ended_t){evacuation->data_centre, now};
    evacuations->ended_at = now;
}

/* The store cannot have acknowledged the row before the newest confirmation
 * without it. */
static evacuation_t
start_evacuation(const mr_evacuations_t *evacuations,
                 const mr_evacuation_update_t *update, const char *name)
{
    mr_ms_t deadline =
        update->confirmed_at + evacuations->limit - MR_EVACUATION_MARGIN_MS;

    if (update->confirmed_at == 0 || deadline < update->now) {
        deadline = update->now;
    }
    mr_log(MR_LOG_WARNING, MR_EVENT_EVACUATION_STARTED,
           "data_centre=\"%s\" source=%s left_ms=%lld", name, update->source,
           (long long)(deadline - update->now));
    return (evacuation_t){.data_centre = mr_strdup(name),
                          .deadline = deadline};
}

static int
compare(const void *a, const void *b)
{
    return strcmp(((const evacuation_t *)a)->data_centre,
                  ((const evacuation_t *)b)->data_centre);
}

/* Returns until when an evacuation is kept that the new set lacks; 0: it ends.
 */
static mr_ms_t
keep_until(const mr_evacuations_t *evacuations,
           const mr_evacuation_update_t *update,
           const evacuation_t *evacuation)
{
    if (!update->complete && is_withdrawn(update, evacuation->data_centre)) {
        return 0;
    }
    if (evacuation->kept_until != 0) {
        return update->now < evacuation->kept_until ? evacuation->kept_until
                                                    : 0;
    }
    return update->revision.era > evacuations->revision.era
               ? update->now + MR_EVACUATION_KEPT_MS
               : 0;
}

/* Replaces the list by the names of @set and the evacuations that are kept. */
static void
replace_list(mr_evacuations_t *evacuations, const name_set_t *set,
             const mr_evacuation_update_t *update)
{
    evacuation_t list[MR_EVACUATIONS_MAX];
    char *replaced[MR_EVACUATIONS_MAX]; /* names that @set may refer to */
    size_t replaced_count = 0;
    size_t count = 0;

    for (size_t i = 0; i < set->count; i++) {
        const evacuation_t *known = find(evacuations, set->names[i]);
        list[count++] =
            known != NULL
                ? (evacuation_t){.data_centre = mr_strdup(set->names[i]),
                                 .deadline = known->deadline}
                : start_evacuation(evacuations, update, set->names[i]);
    }
    evacuations->kept_count = 0;
    for (size_t i = 0; i < evacuations->count; i++) {
        evacuation_t *before = &evacuations->list[i];
        bool found;
        find_place(set, before->data_centre, &found);
        mr_ms_t kept_until =
            found ? 0 : keep_until(evacuations, update, before);
        if (found) {
            replaced[replaced_count++] = before->data_centre;
        }
        else if (kept_until != 0 && count < MR_EVACUATIONS_MAX) {
            list[count] = *before;
            list[count++].kept_until = kept_until;
            evacuations->kept_count++;
        }
        else {
            end_evacuation(evacuations, before, update->source, update->now);
        }
    }
    for (size_t i = 0; i < replaced_count; i++) {
        free(replaced[i]);
    }
    qsort(list, count, sizeof(*list), compare);
    memcpy(evacuations->list, list, count * sizeof(*list));
    evacuations->count = count;
    mr_counter_set(evacuations->gauge, (int64_t)count);
}

bool
mr_evacuations_update(mr_evacuations_t *evacuations,
                      const mr_evacuation_update_t *update)
{
    name_set_t set = {.count = 0};

    if (mr_revision_compare(update->revision, evacuations->revision) <= 0) {
        return true;
    }
    /* Names beyond the greatest number are not remembered, so that a change of
     * a full set cannot be applied. */
    if (!update->complete
        && (mr_revision_compare(evacuations->revision, update->after) < 0
            || (update->count > 0
                && evacuations->count - evacuations->kept_count
                       == MR_EVACUATIONS_MAX))) {
        return false;
    }
    build_set(evacuations, update, &set);
    if (!update->complete && set.overflow) {
        return false;
    }
    replace_list(evacuations, &set, update);
    evacuations->revision = update->revision;
    return true;
}

bool
mr_evacuations_known(const mr_evacuations_t *evacuations)
{
    return evacuations->revision.version != 0;
}

mr_revision_t
mr_evacuations_revision(const mr_evacuations_t *evacuations)
{
    return evacuations->revision;
}

size_t
mr_evacuations_count(const mr_evacuations_t *evacuations)
{
    return evacuations->count;
}

const char *
mr_evacuations_name(const mr_evacuations_t *evacuations, size_t index,
                    bool *kept)
{
    *kept = evacuations->list[index].kept_until != 0;
    return evacuations->list[index].data_centre;
}

void
mr_evacuations_expire(mr_evacuations_t *evacuations, mr_ms_t now)
{
    size_t count = 0;

    if (evacuations->kept_count == 0) {
        return;
    }
    for (size_t i = 0; i < evacuations->count; i++) {
        evacuation_t *evacuation = &evacuations->list[i];
        if (evacuation->kept_until != 0 && now >= evacuation->kept_until) {
            evacuations->kept_count--;
            end_evacuation(evacuations, evacuation, "restoration", now);
        }
        else {
            evacuations->list[count++] = *evacuation;
        }
    }
    evacuations->count = count;
    mr_counter_set(evacuations->gauge, (int64_t)count);
}

void
mr_evacuations_note_confirmed(mr_evacuations_t *evacuations, mr_ms_t at)
{
    if (at > evacuations->confirmed_at) {
        evacuations->confirmed_at = at;
    }
}

void
mr_evacuations_note_failure(mr_evacuations_t *evacuations, mr_ms_t now)
{
    evacuations->excused_until = now + MR_EVACUATION_EXCUSED_MS;
}

bool
mr_evacuations_certain(const mr_evacuations_t *evacuations, mr_ms_t now)
{
    return now < evacuations->excused_until
           || now - evacuations->confirmed_at
                  < evacuations->limit - MR_EVACUATION_MARGIN_MS;
}

bool
mr_evacuations_covers(const mr_evacuations_t *evacuations,
                      const char *data_centre)
{
    return find(evacuations, data_centre) != NULL;
}

bool
mr_evacuations_may_send(const mr_evacuations_t *evacuations,
                        const char *data_centre, mr_ms_t now)
{
    const evacuation_t *evacuation = find(evacuations, data_centre);

    return evacuation == NULL || now < evacuation->deadline;
}

int
mr_evacuations_share(const mr_evacuations_t *evacuations,
                     const char *data_centre, mr_ms_t now)
{
    mr_ms_t newest = 0;

    if (evacuations->ended_at == 0
        || now - evacuations->ended_at >= MR_EVACUATION_RAMP_MS) {
        return MR_EVACUATION_FULL_SHARE;
    }
    for (size_t i = 0; i < ENDED_MAX; i++) {
        const ended_t *ended = &evacuations->ended[i];
        if (ended->data_centre != NULL && ended->at > newest
            && strcmp(ended->data_centre, data_centre) == 0) {
            newest = ended->at;
        }
    }
    if (newest == 0 || now - newest >= MR_EVACUATION_RAMP_MS) {
        return MR_EVACUATION_FULL_SHARE;
    }
    return (int)((now - newest) * MR_EVACUATION_FULL_SHARE
                 / MR_EVACUATION_RAMP_MS);
}
