#ifndef MR_PLACEMENT_EVACUATION_H
#define MR_PLACEMENT_EVACUATION_H

/*
 * The set of evacuated data centres, as an instance knows it. From a deadline
 * on that each instance computes by its own clock, no statement may be sent to
 * a database in an evacuated data centre. The set has the revision of the
 * store at which it was complete and never returns to an older one.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/counters.h"
#include "session/revision.h"

enum {
    MR_EVACUATIONS_MAX = 256, /* data centres; further ones are not applied */
    /* Subtracted from the time limit, for statements in transit. */
    MR_EVACUATION_MARGIN_MS = 1000,
    /* How long evacuations are kept that a restored store does not have. By
     * then the operator has written again what was lost. */
    MR_EVACUATION_KEPT_MS = 15000,
    /* Time after an evacuation in which reads return to the data centre. */
    MR_EVACUATION_RAMP_MS = 3000,
    MR_EVACUATION_FULL_SHARE = 1000,
    /* How long a failed call to the store shows that there is no contact: the
     * longest pause before the next call, its wait and its time limit. */
    MR_EVACUATION_EXCUSED_MS = 3500,
};

typedef struct mr_evacuations mr_evacuations_t;

/** A row of the store, or a name of another instance's set. */
typedef struct mr_evacuation_change {
    const char *data_centre;
    bool withdrawn; /* the row was deleted */
} mr_evacuation_change_t;

/** A reading of the store, by this or another instance. */
typedef struct mr_evacuation_update {
    mr_revision_t revision; /* of the store when it was read */
    bool complete;          /* @changes has all rows; else those changed after
                               @after */
    mr_revision_t after;
    const mr_evacuation_change_t *changes; /* in the store's order */
    size_t count;
    const char *source; /* "store" or the name of an instance */
    /* Time of the newest confirmation of the set held before; 0: none. */
    mr_ms_t confirmed_at;
    mr_ms_t now;
} mr_evacuation_update_t;

/** mr_evacuations_create() - @limit: time within which an evacuation has to be
 * in force. */
mr_evacuations_t *mr_evacuations_create(mr_ms_t limit,
                                        mr_counters_t *counters);
void mr_evacuations_destroy(mr_evacuations_t *evacuations);

/** mr_evacuations_update() - apply a reading if it is newer than the set.
 * Returns false if the whole table has to be read, as the changes do not
 * follow the set that is held. */
bool mr_evacuations_update(mr_evacuations_t *evacuations,
                           const mr_evacuation_update_t *update);

/** mr_evacuations_known() - whether a set is held. */
bool mr_evacuations_known(const mr_evacuations_t *evacuations);
/** mr_evacuations_revision() - version 0: no set is held. */
mr_revision_t mr_evacuations_revision(const mr_evacuations_t *evacuations);

/** mr_evacuations_count() - number of evacuated data centres, including those
 * kept after a restoration of the store. */
size_t mr_evacuations_count(const mr_evacuations_t *evacuations);
/** mr_evacuations_name() - name of one of them, borrowed until the next
 * change; @kept: whether the set of the restored store lacks it. */
const char *mr_evacuations_name(const mr_evacuations_t *evacuations,
                                size_t index, bool *kept);

/** mr_evacuations_expire() - end the evacuations that were kept for long
 * enough after a restoration. Call it periodically. */
void mr_evacuations_expire(mr_evacuations_t *evacuations, mr_ms_t now);

/** mr_evacuations_note_confirmed() - at the time @at the store was known to
 * have no newer set. */
void mr_evacuations_note_confirmed(mr_evacuations_t *evacuations, mr_ms_t at);
/** mr_evacuations_note_failure() - the store did not answer a call of this
 * instance. */
void mr_evacuations_note_failure(mr_evacuations_t *evacuations, mr_ms_t now);
/** mr_evacuations_certain() - false: an evacuation that this instance does not
 * know may be in force, as it was suspended for long. No statement may be
 * sent until the store has answered or failed. */
bool mr_evacuations_certain(const mr_evacuations_t *evacuations, mr_ms_t now);

/** mr_evacuations_covers() - whether @data_centre is evacuated, before or
 * after the deadline. */
bool mr_evacuations_covers(const mr_evacuations_t *evacuations,
                           const char *data_centre);
/** mr_evacuations_may_send() - false: @data_centre is evacuated and the
 * deadline is over. */
bool mr_evacuations_may_send(const mr_evacuations_t *evacuations,
                             const char *data_centre, mr_ms_t now);
/** mr_evacuations_share() - share of its usual reads that a database in
 * @data_centre gets, in thousandths. */
int mr_evacuations_share(const mr_evacuations_t *evacuations,
                         const char *data_centre, mr_ms_t now);

#endif
