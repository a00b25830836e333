/* The propose command, and running a step of a change. */

#include <string.h>

#include "common/json.h"
#include "masticrelayctl_change.h"
#include "operator/diff.h"

void
ctl_on_step(void *ctx, mr_error_kind_t error, const char *message,
            json_t *state)
{
    ctl_step_t *step = ctx;

    step->done = true;
    step->error = error;
    step->message = g_strdup(message);
    step->state = json_incref(state);
}

void
ctl_step_reset(ctl_step_t *step)
{
    g_free(step->message);
    json_decref(step->state);
    step->done = false;
    step->message = NULL;
    step->state = NULL;
}

void
ctl_step_close(ctl_step_t *step)
{
    ctl_step_reset(step);
    mr_change_destroy(step->change);
}

ctl_status_t
ctl_step_open(ctl_t *ctl, ctl_step_t *step, const uint8_t *public_key)
{
    static const uint8_t no_key[MR_APPROVAL_PUBLIC_KEY_BYTES];

    memset(step, 0, sizeof(*step));
    if (ctl_open_platform(ctl) == NULL) {
        return CTL_USAGE;
    }
    const mr_change_options_t options = {
        .platform = ctl->platform,
        .who = ctl->settings.operator_name,
        .approver_key = public_key != NULL ? public_key : no_key,
    };
    step->change = mr_change_create(&options);
    if (step->change == NULL) {
        return ctl_fail(ctl, CTL_USAGE, "--operator '%s' is not a valid name",
                        ctl->settings.operator_name);
    }
    return CTL_DONE;
}

static ctl_status_t
step_status(mr_error_kind_t error)
{
    /* MR_ERR_CONFIG_STALE: data centres have not confirmed the version yet. */
    return error == MR_ERR_CONFIG_STALE ? CTL_CONFLICT
                                        : ctl_error_status(error);
}

ctl_status_t
ctl_step_wait(ctl_t *ctl, ctl_step_t *step)
{
    ctl_run_until(ctl, &step->done);
    if (step->error == MR_OK) {
        return CTL_DONE;
    }
    return ctl_fail(ctl, step_status(step->error), "%s (%s)", step->message,
                    mr_error_name(step->error));
}

void
ctl_step_report(const ctl_t *ctl, const ctl_step_t *step)
{
    if (ctl->settings.json) {
        json_t *result = json_pack("{s:s,s:O?}", "message", step->message,
                                   "state", step->state);
        ctl_print_json(result);
        json_decref(result);
    }
    else {
        ctl_print_text(step->message);
        putchar('\n');
    }
}

/* Reads the version of @row; 0 if the row does not exist. */
static ctl_status_t
read_row_version(ctl_t *ctl, const char *row, int64_t *version)
{
    json_t *value = NULL;
    mr_error_kind_t error = ctl_get_row(ctl, row, &value);

    *version = 0;
    if (error == MR_ERR_NOT_FOUND) {
        return CTL_DONE;
    }
    if (error != MR_OK) {
        return ctl_fail(ctl, ctl_error_status(error), "%s: %s", row,
                        mr_error_name(error));
    }
    *version = json_integer_value(json_object_get(value, "version"));
    json_decref(value);
    return CTL_DONE;
}

ctl_status_t
ctl_next_version(ctl_t *ctl, int64_t *version)
{
    int64_t head = 0;
    int64_t staged = 0;

    if (ctl_open_platform(ctl) == NULL) {
        return CTL_USAGE;
    }
    ctl_status_t status = read_row_version(ctl, MR_CONFIG_ROW_HEAD, &head);
    if (status == CTL_DONE) {
        status = read_row_version(ctl, MR_CONFIG_ROW_STAGED, &staged);
    }
    /* A vetoed version stays staged, and its number cannot be reused. */
    *version = MAX(head, staged) + 1;
    return status;
}

ctl_status_t
ctl_load_head(ctl_t *ctl, mr_config_t **head)
{
    int64_t version = 0;
    ctl_status_t status = read_row_version(ctl, MR_CONFIG_ROW_HEAD, &version);

    *head = NULL;
    return status == CTL_DONE && version > 0
               ? ctl_load_config(ctl, "head", head)
               : status;
}

json_t *
ctl_diff_configs(const mr_config_t *before, const mr_config_t *after)
{
    return mr_op_diff_list(before != NULL ? before->document : NULL,
                           after->document);
}

/* Proposes @config; prints the result only if @report is true. */
static ctl_status_t
propose_config(ctl_t *ctl, const mr_config_t *config, bool report)
{
    mr_config_t *head = NULL;
    ctl_step_t step;
    ctl_status_t status = ctl_step_open(ctl, &step, NULL);

    if (status == CTL_DONE) {
        status = ctl_load_head(ctl, &head);
    }
    if (status == CTL_DONE) {
        json_t *changes = ctl_diff_configs(head, config);
        mr_change_propose(step.change, config->document, changes, ctl_on_step,
                          &step);
        json_decref(changes);
        status = ctl_step_wait(ctl, &step);
    }
    if (status == CTL_DONE && report) {
        ctl_step_report(ctl, &step);
    }
    mr_config_unref(head);
    ctl_step_close(&step);
    return status;
}

ctl_status_t
ctl_propose_text(ctl_t *ctl, const char *text)
{
    mr_json_problem_t problem = {""};
    mr_config_t *config = mr_config_parse(text, strlen(text), &problem);

    if (config == NULL) {
        return ctl_fail(ctl, CTL_FAILED, "%s", problem.text);
    }
    ctl_status_t status = propose_config(ctl, config, false);
    mr_config_unref(config);
    return status;
}

/* Replaces @config by a copy with the next version. */
static ctl_status_t
set_next_version(ctl_t *ctl, mr_config_t **config)
{
    mr_json_problem_t problem = {""};
    int64_t version = 0;
    ctl_status_t status = ctl_next_version(ctl, &version);

    if (status != CTL_DONE) {
        return status;
    }
    json_t *document = json_deep_copy((*config)->document);
    json_object_set_new(document, "version", json_integer(version));
    mr_config_unref(*config);
    *config = mr_config_parse_json(document, &problem);
    json_decref(document);
    if (*config == NULL) {
        return ctl_fail(ctl, CTL_FAILED, "%s", problem.text);
    }
    return CTL_DONE;
}

ctl_status_t
ctl_propose(CTL_PARAMETERS)
{
    gboolean next_version = FALSE;
    const GOptionEntry entries[] = {
        {"next-version", 0, 0, G_OPTION_ARG_NONE, &next_version,
         "Use the lowest version that can be proposed", NULL},
        G_OPTION_ENTRY_NULL,
    };
    mr_config_t *config = NULL;

    if (!ctl_parse_options(ctl, command, entries, &argc, &argv)) {
        return CTL_USAGE;
    }
    ctl_status_t status = ctl_load_config(ctl, argv[0], &config);
    if (status != CTL_DONE) {
        return status;
    }
    if (config == NULL) {
        return ctl_fail(ctl, CTL_USAGE,
                        "propose: an empty configuration cannot be proposed");
    }
    if (next_version) {
        status = set_next_version(ctl, &config);
    }
    if (config != NULL && status == CTL_DONE) {
        status = propose_config(ctl, config, true);
    }
    mr_config_unref(config);
    return status;
}
