#ifndef MR_SESSION_CONFIRMATION_H
#define MR_SESSION_CONFIRMATION_H

/*
 * How long ago the store was last known to have no newer desired state, and
 * when an instance has to ask it by itself. An instance that hears of no
 * change cannot tell whether there was none or nobody could read it. So each
 * reading of the store is a confirmation, which instances pass on with its
 * age, and each instance reads by itself once the newest one is too old,
 * whoever reads the store otherwise.
 */

#include <stdbool.h>

#include "common/clock.h"
#include "session/revision.h"

/** Result of a reading of the store's desired state. */
typedef struct mr_confirmation {
    /* Newest desired state at @revision; an instance that has it needs only
     * the changes after @revision. */
    int64_t config_version;
    mr_revision_t revision;
    mr_ms_t at; /* by this instance's clock; the desired state was the newest
                   one at this time or later; 0: never confirmed */
    /* The same for the desired state that the instance has. Earlier than @at
     * while it has not received @config_version; 0: it has none. */
    mr_ms_t held_at;
} mr_confirmation_t;

/** Who asks the store for newer desired states, and from when on. */
typedef enum mr_config_reader {
    MR_CONFIG_FOLLOWER, /* always */
    MR_CONFIG_DEPUTY,   /* if confirmations are late */
    MR_CONFIG_LISTENER, /* if those of the deputies are late, too */
} mr_config_reader_t;

/** mr_confirmation_wait() - how long a follower's call waits for a change, if
 * a replaced desired state may be used for @apply_max. */
mr_ms_t mr_confirmation_wait(mr_ms_t apply_max);

/** mr_confirmation_age_max() - age of the newest confirmation from which on
 * @reader asks the store; 0 for a follower. */
mr_ms_t mr_confirmation_age_max(mr_config_reader_t reader, mr_ms_t apply_max);

/** mr_confirmation_due() - time until @reader has to ask the store; 0: now. A
 * desired state that is known but does not arrive from another instance has to
 * be read as well. */
mr_ms_t mr_confirmation_due(const mr_confirmation_t *confirmation,
                            mr_config_reader_t reader, mr_ms_t apply_max,
                            mr_ms_t now);

/** mr_confirmation_update() - replace *@known by @heard if that is newer.
 * Confirmations of an older revision of the store are ignored, whatever time
 * they are of, as they come from a stale reading or from before a restoration.
 * Call mr_confirmation_set_held() after it. */
void mr_confirmation_update(mr_confirmation_t *known,
                            const mr_confirmation_t *heard);

/** mr_confirmation_set_held() - the instance has the desired state @version.
 */
void mr_confirmation_set_held(mr_confirmation_t *known, int64_t version);

/** mr_confirmation_of_answer() - when an answer of the store shows that there
 * was no newer desired state than the one in it. The call was sent at
 * @called_at, told the store to wait for @wait and was answered at @now. An
 * answer without a change is given after the wait, one with a change at an
 * unknown time since the call. */
mr_ms_t mr_confirmation_of_answer(mr_ms_t called_at, mr_ms_t wait,
                                  bool changed, mr_ms_t now);

#endif
