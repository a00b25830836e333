#ifndef PROGRAMS_MASTICRELAYCTL_CHANGE_H
#define PROGRAMS_MASTICRELAYCTL_CHANGE_H

/* Running the steps of lib/config/change.h from a command. */

#include "config/change.h"
#include "masticrelayctl.h"

/** One step of a change that the loop runs for. */
typedef struct ctl_step {
    mr_change_t *change;
    bool done;
    mr_error_kind_t error;
    char *message;
    json_t *state;
} ctl_step_t;

/** ctl_step_open() - prepare steps; @public_key may be NULL for those that
 * verify no approval. */
ctl_status_t ctl_step_open(ctl_t *ctl, ctl_step_t *step,
                           const uint8_t *public_key);

/** ctl_step_reset() - forget how the last step ended. */
void ctl_step_reset(ctl_step_t *step);
void ctl_step_close(ctl_step_t *step);

/** ctl_on_step() - callback of a step; the context is the ctl_step_t. */
void ctl_on_step(void *ctx, mr_error_kind_t error, const char *message,
                 json_t *state);

/** ctl_step_wait() - run the loop until the step ends; reports a failure. */
ctl_status_t ctl_step_wait(ctl_t *ctl, ctl_step_t *step);

/** ctl_step_report() - print how the step ended. */
void ctl_step_report(const ctl_t *ctl, const ctl_step_t *step);

/** ctl_load_head() - the version in force; NULL before the first. */
ctl_status_t ctl_load_head(ctl_t *ctl, mr_config_t **head);

/** ctl_diff_configs() - list of differences; @before may be NULL. */
json_t *ctl_diff_configs(const mr_config_t *before, const mr_config_t *after);

#endif
