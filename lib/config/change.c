#include "config/change.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "config/change_internal.h"

/* How messages name a version: "version 7 (1a2b3c4d)". */
#define VERSION_FORMAT "version %lld (%.8s)"
#define VERSION_ARGS(v) (long long)(v).version, (v).hash

mr_change_t *
mr_change_create(const mr_change_options_t *options)
{
    size_t len = strlen(options->who);
    json_t *utf8 = json_string(options->who);

    if (utf8 == NULL || len == 0 || len >= MR_CONFIG_WHO_MAX_BYTES) {
        json_decref(utf8);
        return NULL;
    }
    json_decref(utf8);
    mr_change_t *change = MR_NEW(mr_change_t);
    change->platform = options->platform;
    change->who = mr_strdup(options->who);
    memcpy(change->approver_key, options->approver_key,
           sizeof(change->approver_key));
    mr_list_init(&change->steps);
    return change;
}

void
mr_change_destroy(mr_change_t *change)
{
    if (change == NULL) {
        return;
    }
    MR_LIST_FOREACH(it, &change->steps)
    {
        mr_change_step_free(MR_LIST_ENTRY(it, mr_change_step_t, link));
    }
    free(change->who);
    free(change);
}

/* Read. */

static void
end_read(mr_change_step_t *step)
{
    mr_change_step_end(step, MR_OK, "the rows were read");
}

void
mr_change_read(mr_change_t *change, mr_change_fn_t fn, void *ctx)
{
    mr_change_step_t *step =
        mr_change_step_create(change, MR_CHANGE_READ, fn, ctx);

    mr_change_step_read(step, end_read);
}

/* Returns whether the staged row holds a change, possibly vetoed, that was not
 * accepted yet. */
static bool
has_pending_change(const mr_change_rows_t *rows)
{
    return rows->staged_revision > 0
           && rows->staged.version > rows->head.version;
}

static bool
is_staged(const mr_change_step_t *step, const mr_config_staged_t *staged)
{
    return staged->version == step->version
           && strcmp(staged->hash, step->hash) == 0;
}

static void
end_done(mr_change_step_t *step)
{
    static const char *const results[] = {
        [MR_CHANGE_READ] = "read",        [MR_CHANGE_PROPOSE] = "proposed",
        [MR_CHANGE_APPROVE] = "approved", [MR_CHANGE_VETO] = "vetoed",
        [MR_CHANGE_ACCEPT] = "accepted",
    };

    mr_change_step_end(step, MR_OK, VERSION_FORMAT " is %s",
                       VERSION_ARGS(*step), results[step->kind]);
}

/* Ends a step whose write found another value in the staged row. */
static void
on_staged_conflict(mr_change_step_t *step)
{
    mr_config_staged_t found;
    mr_json_problem_t problem;

    if (!mr_config_staged_read(step->write.actual, &found, &problem)) {
        mr_change_step_end(step, MR_ERR_INTERNAL,
                           "row " MR_CONFIG_ROW_STAGED " is malformed: %s",
                           problem.text);
        return;
    }
    /* The row can hold the effect of this step and of a later one. Then the
     * step did take effect, and only the answer to its write was lost. */
    bool own = is_staged(step, &found);
    if (own && step->kind == MR_CHANGE_PROPOSE && step->write.outcome_unknown
        && strcmp(found.proposer, step->change->who) == 0) {
        end_done(step);
        return;
    }
    if (own && step->kind == MR_CHANGE_APPROVE
        && found.state == MR_CONFIG_APPROVED
        && strcmp(found.approval, step->approval) == 0) {
        end_done(step);
        return;
    }
    mr_change_step_conflict(
        step,
        VERSION_FORMAT " conflicts with a concurrent change: " VERSION_FORMAT
                       " by %s is %s",
        VERSION_ARGS(*step), VERSION_ARGS(found), found.proposer,
        mr_config_staged_state_name(found.state));
}

/* Propose. */

static void
write_proposal(mr_change_step_t *step)
{
    mr_config_staged_t staged = {.version = step->version,
                                 .state = MR_CONFIG_PROPOSED};

    strcpy(staged.hash, step->hash);
    strcpy(staged.proposer, step->change->who);
    mr_change_step_write(step, "staged", mr_config_staged_write(&staged),
                         end_done, on_staged_conflict);
}

static void
record_proposal(mr_change_step_t *step)
{
    mr_change_step_record(step, write_proposal);
}

static void
check_proposal(mr_change_step_t *step)
{
    const mr_change_rows_t *rows = &step->rows;
    const mr_config_staged_t *staged = &rows->staged;

    if (rows->head_revision > 0 && step->version <= rows->head.version) {
        mr_change_step_end(step, MR_ERR_CONFLICT,
                           VERSION_FORMAT " is not above " VERSION_FORMAT
                                          ", which is in force",
                           VERSION_ARGS(*step), VERSION_ARGS(rows->head));
        return;
    }
    if (has_pending_change(rows) && staged->state != MR_CONFIG_VETOED) {
        if (is_staged(step, staged)
            && strcmp(staged->proposer, step->change->who) == 0) {
            end_done(step);
            return;
        }
        mr_change_step_end(
            step, MR_ERR_CONFLICT,
            VERSION_FORMAT " cannot be proposed: " VERSION_FORMAT " by %s is "
                           "%s and not in force yet",
            VERSION_ARGS(*step), VERSION_ARGS(*staged), staged->proposer,
            mr_config_staged_state_name(staged->state));
        return;
    }
    /* A vetoed version cannot be proposed again: an approval from before the
     * veto may exist, and would be valid for it. */
    if (has_pending_change(rows) && step->version <= staged->version) {
        mr_change_step_end(step, MR_ERR_CONFLICT,
                           VERSION_FORMAT " is not above " VERSION_FORMAT
                                          " by %s, which is vetoed",
                           VERSION_ARGS(*step), VERSION_ARGS(*staged),
                           staged->proposer);
        return;
    }
    mr_change_step_put_body(step, record_proposal);
}

static void
on_invalid_input(mr_change_step_t *step)
{
    mr_change_step_end(step, MR_ERR_INVALID_REQUEST, "%s", step->late_message);
}

/* Ends a step with MR_ERR_INVALID_REQUEST after a read of the rows, because
 * the callback must not be called before the step function returns. */
static void
end_invalid_input(mr_change_step_t *step, const char *message)
{
    step->late_message = mr_strdup(message);
    mr_change_step_read(step, on_invalid_input);
}

void
mr_change_propose(mr_change_t *change, json_t *document, json_t *changes,
                  mr_change_fn_t fn, void *ctx)
{
    mr_change_step_t *step =
        mr_change_step_create(change, MR_CHANGE_PROPOSE, fn, ctx);
    mr_json_problem_t problem;
    mr_config_t *config = mr_config_parse_json(document, &problem);

    if (config == NULL) {
        end_invalid_input(step, problem.text);
        return;
    }
    step->version = config->version;
    strcpy(step->hash, config->hash);
    step->body = mr_json_canonical(document);
    step->changes = json_incref(changes);
    mr_config_unref(config);
    mr_change_step_read(step, check_proposal);
}

/* Checks that the version of the step is the staged one and sets step->hash;
 * ends the step otherwise. */
static bool
require_staged(mr_change_step_t *step)
{
    const mr_change_rows_t *rows = &step->rows;

    if (rows->staged_revision == 0) {
        mr_change_step_end(
            step, MR_ERR_NOT_FOUND,
            "version %lld is not staged: there is no staged change",
            (long long)step->version);
        return false;
    }
    if (rows->staged.version != step->version) {
        mr_change_step_end(
            step, MR_ERR_CONFLICT,
            "version %lld is not the staged one: " VERSION_FORMAT
            " by %s is staged",
            (long long)step->version, VERSION_ARGS(rows->staged),
            rows->staged.proposer);
        return false;
    }
    strcpy(step->hash, rows->staged.hash);
    return true;
}

/* Like require_staged(), but the change must not be accepted yet. */
static bool
require_pending(mr_change_step_t *step)
{
    const mr_change_rows_t *rows = &step->rows;

    if (!require_staged(step)) {
        return false;
    }
    if (!has_pending_change(rows)) {
        mr_change_step_end(step, MR_ERR_CONFLICT,
                           VERSION_FORMAT
                           " can no longer change: " VERSION_FORMAT
                           " is in force",
                           VERSION_ARGS(*step), VERSION_ARGS(rows->head));
        return false;
    }
    return true;
}

/* Approve. */

static void
write_approval(mr_change_step_t *step)
{
    mr_config_staged_t staged = step->rows.staged;

    staged.state = MR_CONFIG_APPROVED;
    strcpy(staged.approval, step->approval);
    mr_change_step_write(step, "staged", mr_config_staged_write(&staged),
                         end_done, on_staged_conflict);
}

static void
check_approval(mr_change_step_t *step)
{
    const mr_config_staged_t *staged = &step->rows.staged;

    if (!require_pending(step)) {
        return;
    }
    if (!mr_approval_verify(step->change->approver_key, staged->version,
                            staged->hash, step->approval)) {
        mr_change_step_end(step, MR_ERR_FORBIDDEN,
                           "the approval is not the customer's signature "
                           "of " VERSION_FORMAT,
                           VERSION_ARGS(*staged));
        return;
    }
    switch (staged->state) {
    case MR_CONFIG_APPROVED:
        end_done(step);
        break;
    case MR_CONFIG_VETOED:
        mr_change_step_end(step, MR_ERR_CONFLICT, VERSION_FORMAT " is vetoed",
                           VERSION_ARGS(*staged));
        break;
    case MR_CONFIG_PROPOSED:
        mr_change_step_record(step, write_approval);
        break;
    }
}

void
mr_change_approve(mr_change_t *change, int64_t version, const char *approval,
                  mr_change_fn_t fn, void *ctx)
{
    mr_change_step_t *step =
        mr_change_step_create(change, MR_CHANGE_APPROVE, fn, ctx);

    step->version = version;
    step->approval = mr_strdup(approval);
    mr_change_step_read(step, check_approval);
}

/* Veto. */

static void
write_veto(mr_change_step_t *step)
{
    mr_config_staged_t staged = step->rows.staged;

    staged.state = MR_CONFIG_VETOED;
    staged.approval[0] = '\0';
    mr_change_step_write(step, "staged", mr_config_staged_write(&staged),
                         end_done, on_staged_conflict);
}

static void
check_veto(mr_change_step_t *step)
{
    const mr_config_staged_t *staged = &step->rows.staged;

    if (!require_pending(step)) {
        return;
    }
    if (staged->state == MR_CONFIG_VETOED) {
        end_done(step);
        return;
    }
    if (staged->accepting) {
        mr_change_step_end(step, MR_ERR_CONFLICT,
                           "the acceptance of " VERSION_FORMAT " has begun",
                           VERSION_ARGS(*staged));
        return;
    }
    mr_change_step_record(step, write_veto);
}

void
mr_change_veto(mr_change_t *change, int64_t version, const char *reason,
               mr_change_fn_t fn, void *ctx)
{
    mr_change_step_t *step =
        mr_change_step_create(change, MR_CHANGE_VETO, fn, ctx);

    step->version = version;
    step->changes = json_pack("{s:s}", "reason", reason);
    if (step->changes == NULL) {
        end_invalid_input(step, "the reason must be UTF-8");
        return;
    }
    mr_change_step_read(step, check_veto);
}

/* Accept. */

/* The staged change cannot be replaced between the mark "accepting" and its
 * acceptance, so a later head is a successor of this version. */
static void
on_head_conflict(mr_change_step_t *step)
{
    mr_config_head_t found;
    mr_json_problem_t problem;

    if (!mr_config_head_read(step->write.actual, &found, &problem)) {
        mr_change_step_end(step, MR_ERR_INTERNAL,
                           "row " MR_CONFIG_ROW_HEAD " is malformed: %s",
                           problem.text);
        return;
    }
    if (found.version > step->version
        || (found.version == step->version
            && strcmp(found.hash, step->hash) == 0)) {
        json_object_set(step->rows.state, "head", step->write.actual);
        end_done(step);
        return;
    }
    mr_change_step_conflict(
        step,
        VERSION_FORMAT " conflicts with a concurrent change: " VERSION_FORMAT
                       " is in force",
        VERSION_ARGS(*step), VERSION_ARGS(found));
}

static void
write_head(mr_change_step_t *step)
{
    mr_config_head_t head = {.version = step->version};

    strcpy(head.hash, step->hash);
    strcpy(head.approval, step->rows.staged.approval);
    strcpy(head.previous, step->rows.head.hash);
    mr_change_step_write(step, "head", mr_config_head_write(&head), end_done,
                         on_head_conflict);
}

static void
record_acceptance(mr_change_step_t *step)
{
    mr_change_step_record(step, write_head);
}

static void
mark_accepting(mr_change_step_t *step)
{
    mr_config_staged_t staged = step->rows.staged;

    staged.accepting = true;
    mr_change_step_write(step, "staged", mr_config_staged_write(&staged),
                         record_acceptance, on_staged_conflict);
}

static bool
is_excluded(const mr_change_step_t *step, const char *data_centre)
{
    for (size_t i = 0; i < json_array_size(step->without); i++) {
        if (strcmp(json_string_value(json_array_get(step->without, i)),
                   data_centre)
            == 0) {
            return true;
        }
    }
    return false;
}

static bool
is_confirmed(const mr_change_step_t *step, const char *data_centre)
{
    json_t *rows = json_object_get(step->rows.state, "confirmations");
    json_t *row = json_object_get(rows, data_centre);
    mr_config_confirm_t confirm;
    mr_json_problem_t problem;

    return row != NULL && mr_config_confirm_read(row, &confirm, &problem)
           && confirm.version == step->version
           && strcmp(confirm.hash, step->hash) == 0;
}

/* Returns the names of the data centres that have not confirmed,
 * comma-separated; empty if all have. */
static char *
list_unconfirmed(const mr_change_step_t *step, const mr_config_t *config)
{
    char *names = mr_strdup("");

    for (size_t i = 0; i < config->data_centre_count; i++) {
        const char *name = config->data_centres[i].name;
        if (!is_excluded(step, name) && !is_confirmed(step, name)) {
            char *joined = mr_asprintf("%s%s%s", names,
                                       names[0] == '\0' ? "" : ", ", name);
            free(names);
            names = joined;
        }
    }
    return names;
}

static bool
has_data_centre(const mr_config_t *config, const char *name)
{
    for (size_t i = 0; i < config->data_centre_count; i++) {
        if (strcmp(config->data_centres[i].name, name) == 0) {
            return true;
        }
    }
    return false;
}

static void
check_confirmations(mr_change_step_t *step)
{
    mr_json_problem_t problem;
    mr_config_t *config =
        mr_config_parse(step->body, strlen(step->body), &problem);

    if (config == NULL || config->version != step->version) {
        mr_config_unref(config);
        mr_change_step_end(step, MR_ERR_INTERNAL,
                           VERSION_FORMAT " is not a valid configuration",
                           VERSION_ARGS(*step));
        return;
    }
    for (size_t i = 0; i < json_array_size(step->without); i++) {
        const char *name = json_string_value(json_array_get(step->without, i));
        if (!has_data_centre(config, name)) {
            mr_config_unref(config);
            mr_change_step_end(step, MR_ERR_INVALID_REQUEST,
                               VERSION_FORMAT " has no data centre '%.64s'",
                               VERSION_ARGS(*step), name);
            return;
        }
    }
    char *unconfirmed = list_unconfirmed(step, config);
    mr_config_unref(config);
    if (unconfirmed[0] != '\0') {
        mr_change_step_end(step, MR_ERR_CONFIG_STALE,
                           VERSION_FORMAT " is not confirmed by %.200s",
                           VERSION_ARGS(*step), unconfirmed);
        free(unconfirmed);
        return;
    }
    free(unconfirmed);
    mark_accepting(step);
}

static void
check_acceptance(mr_change_step_t *step)
{
    const mr_change_rows_t *rows = &step->rows;
    const mr_config_staged_t *staged = &rows->staged;

    if (!require_staged(step)) {
        return;
    }
    if (rows->head.version == step->version
        && strcmp(rows->head.hash, step->hash) == 0) {
        end_done(step);
        return;
    }
    if (!require_pending(step)) {
        return;
    }
    if (staged->state != MR_CONFIG_APPROVED
        || !mr_approval_verify(step->change->approver_key, staged->version,
                               staged->hash, staged->approval)) {
        mr_change_step_end(step, MR_ERR_FORBIDDEN,
                           VERSION_FORMAT " is %s, not approved",
                           VERSION_ARGS(*staged),
                           staged->state == MR_CONFIG_APPROVED
                               ? "marked with an approval that is not valid"
                               : mr_config_staged_state_name(staged->state));
        return;
    }
    mr_change_step_get_body(step, check_confirmations);
}

void
mr_change_accept(mr_change_t *change, int64_t version,
                 const char *const *without, size_t without_count,
                 json_t *changes, mr_change_fn_t fn, void *ctx)
{
    mr_change_step_t *step =
        mr_change_step_create(change, MR_CHANGE_ACCEPT, fn, ctx);

    step->version = version;
    step->without = json_array();
    for (size_t i = 0; i < without_count; i++) {
        if (json_array_append_new(step->without, json_string(without[i]))
            != 0) {
            end_invalid_input(step, "data centre names must be UTF-8");
            return;
        }
    }
    step->changes =
        json_pack("{s:O,s:o}", "without", step->without, "changes",
                  changes == NULL ? json_null() : json_incref(changes));
    mr_change_step_read(step, check_acceptance);
}
