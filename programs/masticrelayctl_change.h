#ifndef PROGRAMS_MASTICRELAYCTL_CHANGE_H
#define PROGRAMS_MASTICRELAYCTL_CHANGE_H

/* Runs the steps of lib/config/change.h synchronously. */

#include "config/change.h"
#include "masticrelayctl.h"

/** A step in progress and its result. */
typedef struct ctl_step {
    mr_change_t *change;
    bool done; /* the fields below are valid */
    mr_error_kind_t error;
    char *message;
    json_t *state;
} ctl_step_t;

/** ctl_step_open() - prepares @step for use; @public_key may be NULL for steps
 * that verify no approval. */
ctl_status_t ctl_step_open(ctl_t *ctl, ctl_step_t *step,
                           const uint8_t *public_key);

/** ctl_step_reset() - releases the result, so that another step can run. */
void ctl_step_reset(ctl_step_t *step);
void ctl_step_close(ctl_step_t *step);

/** ctl_on_step() - completion callback of a step; @ctx is the ctl_step_t. */
void ctl_on_step(void *ctx, mr_error_kind_t error, const char *message,
                 json_t *state);

/** ctl_step_wait() - runs the loop until the step completes; prints an error
 * if it failed. */
ctl_status_t ctl_step_wait(ctl_t *ctl, ctl_step_t *step);

/** ctl_step_report() - prints the result of a successful step. */
void ctl_step_report(const ctl_t *ctl, const ctl_step_t *step);

/** ctl_load_head() - reads the configuration in force; @head is NULL if no
 * version was accepted yet. */
ctl_status_t ctl_load_head(ctl_t *ctl, mr_config_t **head);

/** ctl_diff_configs() - returns the list of changes, see mr_op_diff_list();
 * @before may be NULL. */
json_t *ctl_diff_configs(const mr_config_t *before, const mr_config_t *after);

#endif
