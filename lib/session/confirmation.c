#include "session/confirmation.h"

enum {
    /* In sixths of the time within which a change has to be applied. A
     * follower's answers are one apart and reach the others with the replies
     * to their reports, within another one. A listener leaves three for a call
     * that fails and a second one. */
    SIXTHS = 6,
    WAIT_SIXTHS = 1,
    DEPUTY_SIXTHS = 2,
    LISTENER_SIXTHS = 3,
    /* Contents on their way from another instance are awaited for longer, as
     * large ones should not be read from the store by all instances. */
    ARRIVAL_SIXTHS = 4,
    /* The store's wait may look shorter than it was told, as both sides round
     * their clocks and timers. */
    ROUNDING_MS = 20,
};

mr_ms_t
mr_confirmation_wait(mr_ms_t apply_max)
{
    return apply_max * WAIT_SIXTHS / SIXTHS;
}

mr_ms_t
mr_confirmation_age_max(mr_config_reader_t reader, mr_ms_t apply_max)
{
    switch (reader) {
    case MR_CONFIG_FOLLOWER:
        return 0;
    case MR_CONFIG_DEPUTY:
        return apply_max * DEPUTY_SIXTHS / SIXTHS;
    case MR_CONFIG_LISTENER:
        return apply_max * LISTENER_SIXTHS / SIXTHS;
    }
    return 0;
}

mr_ms_t
mr_confirmation_due(const mr_confirmation_t *confirmation,
                    mr_config_reader_t reader, mr_ms_t apply_max, mr_ms_t now)
{
    mr_ms_t due =
        confirmation->at + mr_confirmation_age_max(reader, apply_max) - now;
    mr_ms_t arrival_due =
        confirmation->held_at + apply_max * ARRIVAL_SIXTHS / SIXTHS - now;

    if (confirmation->at == 0) {
        return 0;
    }
    if (arrival_due < due) {
        due = arrival_due;
    }
    return due > 0 ? due : 0;
}

void
mr_confirmation_update(mr_confirmation_t *known,
                       const mr_confirmation_t *heard)
{
    bool restored = heard->revision.era > known->revision.era;

    if (mr_revision_compare(heard->revision, known->revision) < 0) {
        return;
    }
    if (restored || heard->at > known->at) {
        known->config_version = heard->config_version;
        known->revision = heard->revision;
        known->at = heard->at;
    }
}

void
mr_confirmation_set_held(mr_confirmation_t *known, int64_t version)
{
    if (version >= known->config_version) {
        known->held_at = known->at;
    }
}

mr_ms_t
mr_confirmation_of_answer(mr_ms_t called_at, mr_ms_t wait, bool changed,
                          mr_ms_t now)
{
    mr_ms_t waited = wait - ROUNDING_MS;

    if (changed || waited < 0 || now - called_at < waited) {
        return called_at;
    }
    return called_at + waited;
}
