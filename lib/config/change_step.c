#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "config/change_internal.h"

/* Unanswered calls after which a step fails. */
enum { FAILURES_MAX = 4 };

static const char *const step_names[] = {
    [MR_CHANGE_READ] = "read",       [MR_CHANGE_PROPOSE] = "propose",
    [MR_CHANGE_APPROVE] = "approve", [MR_CHANGE_VETO] = "veto",
    [MR_CHANGE_ACCEPT] = "accept",
};

mr_change_step_t *
mr_change_step_create(mr_change_t *change, mr_change_kind_t kind,
                      mr_change_fn_t fn, void *ctx)
{
    mr_change_step_t *step = MR_NEW(mr_change_step_t);

    step->change = change;
    step->kind = kind;
    step->fn = fn;
    step->ctx = ctx;
    mr_list_append(&change->steps, &step->link);
    return step;
}

void
mr_change_step_free(mr_change_step_t *step)
{
    mr_platform_cancel(step->change->platform, step);
    if (step->append != NULL) {
        mr_audit_append_cancel(step->append);
    }
    mr_list_remove(&step->link);
    free(step->approval);
    json_decref(step->changes);
    free(step->body);
    json_decref(step->without);
    json_decref(step->rows.state);
    json_decref(step->write.value);
    json_decref(step->write.actual);
    free(step->late_message);
    free(step);
}

void
mr_change_step_end(mr_change_step_t *step, mr_error_kind_t error,
                   const char *fmt, ...)
{
    mr_change_fn_t fn = step->fn;
    void *ctx = step->ctx;
    char message[512];
    va_list args;

    va_start(args, fmt);
    vsnprintf(message, sizeof(message), fmt, args);
    va_end(args);
    json_t *state = error == MR_OK ? json_incref(step->rows.state) : NULL;
    mr_change_step_free(step);
    fn(ctx, error, message, state);
    json_decref(state);
}

/* Returns whether an unanswered call is to be repeated; ends the step
 * otherwise. The call must be one that cannot have changed a row. */
static bool
retry_or_end(mr_change_step_t *step, mr_error_kind_t error)
{
    if (error != MR_ERR_UNAVAILABLE && error != MR_ERR_OUTCOME_UNKNOWN) {
        mr_change_step_end(step, MR_ERR_INTERNAL,
                           "the platform refused a call: %s",
                           mr_error_name(error));
        return false;
    }
    if (++step->failures < FAILURES_MAX) {
        return true;
    }
    mr_change_step_end(step, MR_ERR_UNAVAILABLE,
                       "the platform cannot be reached; nothing was changed");
    return false;
}

/* Rows. */

/* Copies a row into @rows; returns false if it is malformed. */
static bool
load_row(mr_change_rows_t *rows, json_t *row, mr_json_problem_t *problem)
{
    const char *name = json_string_value(json_object_get(row, "row"));
    json_t *value = json_object_get(row, "value");
    int64_t revision = json_integer_value(json_object_get(row, "revision"));
    size_t prefix = strlen(MR_CONFIG_ROW_CONFIRM_PREFIX);

    if (name == NULL || value == NULL) {
        return mr_json_problem_set(problem, "a row without name or value");
    }
    if (strcmp(name, MR_CONFIG_ROW_HEAD) == 0) {
        rows->head_revision = revision;
        json_object_set(rows->state, "head", value);
        return mr_config_head_read(value, &rows->head, problem);
    }
    if (strcmp(name, MR_CONFIG_ROW_STAGED) == 0) {
        rows->staged_revision = revision;
        json_object_set(rows->state, "staged", value);
        return mr_config_staged_read(value, &rows->staged, problem);
    }
    if (strncmp(name, MR_CONFIG_ROW_CONFIRM_PREFIX, prefix) == 0) {
        json_object_set(json_object_get(rows->state, "confirmations"),
                        name + prefix, value);
    }
    return true;
}

static void
on_rows(void *ctx, mr_error_kind_t error, json_t *array)
{
    mr_change_step_t *step = ctx;
    mr_json_problem_t problem;

    if (error != MR_OK) {
        if (retry_or_end(step, error)) {
            mr_change_step_read(step, step->next);
        }
        return;
    }
    json_decref(step->rows.state);
    memset(&step->rows, 0, sizeof(step->rows));
    step->rows.state =
        json_pack("{s:n,s:n,s:{}}", "head", "staged", "confirmations");
    for (size_t i = 0; i < json_array_size(array); i++) {
        if (!load_row(&step->rows, json_array_get(array, i), &problem)) {
            mr_change_step_end(step, MR_ERR_INTERNAL,
                               "a row of the table is malformed: %s",
                               problem.text);
            return;
        }
    }
    step->next(step);
}

void
mr_change_step_read(mr_change_step_t *step, mr_change_next_fn_t next)
{
    step->next = next;
    mr_platform_list_rows(step->change->platform, MR_CONFIG_ROW_PREFIX,
                          on_rows, step);
}

/* Objects. */

static char *
body_name(const mr_change_step_t *step)
{
    return mr_asprintf(MR_CONFIG_OBJECT_PREFIX "%s", step->hash);
}

static void
end_bad_body(mr_change_step_t *step, const char *problem)
{
    mr_change_step_end(step, MR_ERR_INTERNAL,
                       "object " MR_CONFIG_OBJECT_PREFIX "%s is %s",
                       step->hash, problem);
}

static void
on_body_read_back(void *ctx, mr_error_kind_t error, const void *data,
                  size_t len)
{
    mr_change_step_t *step = ctx;

    if (error == MR_OK) {
        if (len == strlen(step->body) && memcmp(data, step->body, len) == 0) {
            step->next(step);
        }
        else {
            end_bad_body(step, "damaged");
        }
    }
    else if (retry_or_end(step, MR_ERR_UNAVAILABLE)) {
        /* The write is idempotent: the name is the hash of the content. */
        mr_change_step_put_body(step, step->next);
    }
}

static void
on_body_put(void *ctx, mr_error_kind_t error, const void *data, size_t len)
{
    mr_change_step_t *step = ctx;

    (void)data;
    (void)len;
    if (error == MR_OK) {
        step->next(step);
    }
    else if (error == MR_ERR_CONFLICT) {
        end_bad_body(step, "damaged");
    }
    else if (error == MR_ERR_OUTCOME_UNKNOWN) {
        char *name = body_name(step);
        mr_platform_object_get(step->change->platform, name, on_body_read_back,
                               step);
        free(name);
    }
    else if (retry_or_end(step, error)) {
        mr_change_step_put_body(step, step->next);
    }
}

void
mr_change_step_put_body(mr_change_step_t *step, mr_change_next_fn_t next)
{
    char *name = body_name(step);

    step->next = next;
    mr_platform_object_put(step->change->platform, name, step->body,
                           strlen(step->body), on_body_put, step);
    free(name);
}

static void
on_body_read(void *ctx, mr_error_kind_t error, const void *data, size_t len)
{
    mr_change_step_t *step = ctx;
    char hash[MR_CONFIG_HASH_HEX_BYTES];

    if (error == MR_OK) {
        mr_config_hash(data, len, hash);
        free(step->body);
        step->body = mr_memdup(data, len);
    }
    if (error == MR_ERR_NOT_FOUND
        || (error == MR_OK && strcmp(hash, step->hash) != 0)) {
        end_bad_body(step, error == MR_OK ? "damaged" : "missing");
    }
    else if (error == MR_OK) {
        step->next(step);
    }
    else if (retry_or_end(step, error)) {
        mr_change_step_get_body(step, step->next);
    }
}

void
mr_change_step_get_body(mr_change_step_t *step, mr_change_next_fn_t next)
{
    char *name = body_name(step);

    step->next = next;
    mr_platform_object_get(step->change->platform, name, on_body_read, step);
    free(name);
}

/* Audit. */

static void
on_recorded(void *ctx, mr_error_kind_t error, int64_t sequence)
{
    mr_change_step_t *step = ctx;

    step->append = NULL;
    if (error != MR_OK) {
        /* No step takes effect without its audit record. */
        mr_change_step_end(step, MR_ERR_UNAVAILABLE,
                           "the audit record could not be written; nothing "
                           "was changed");
        return;
    }
    step->record_sequence = sequence;
    step->next(step);
}

void
mr_change_step_record(mr_change_step_t *step, mr_change_next_fn_t next)
{
    const mr_audit_step_t record = {
        .who = step->change->who,
        .step = step_names[step->kind],
        .from_version = step->rows.head.version,
        .to_version = step->version,
        .hash = step->hash,
        .changes = step->changes,
    };

    step->next = next;
    step->append =
        mr_audit_append(step->change->platform, &record, on_recorded, step);
}

static void
on_void_recorded(void *ctx, mr_error_kind_t error, int64_t sequence)
{
    mr_change_step_t *step = ctx;

    (void)error;
    (void)sequence;
    step->append = NULL;
    mr_change_step_end(step, MR_ERR_CONFLICT, "%s", step->late_message);
}

void
mr_change_step_conflict(mr_change_step_t *step, const char *fmt, ...)
{
    char message[512];
    va_list args;

    va_start(args, fmt);
    vsnprintf(message, sizeof(message), fmt, args);
    va_end(args);
    if (step->record_sequence == 0) {
        mr_change_step_end(step, MR_ERR_CONFLICT, "%s", message);
        return;
    }
    json_t *changes =
        json_pack("{s:I,s:s}", "sequence", (json_int_t)step->record_sequence,
                  "step", step_names[step->kind]);
    const mr_audit_step_t record = {
        .who = step->change->who,
        .step = "void",
        .from_version = step->rows.head.version,
        .to_version = step->version,
        .hash = step->hash,
        .changes = changes,
    };
    step->late_message = mr_strdup(message);
    step->append = mr_audit_append(step->change->platform, &record,
                                   on_void_recorded, step);
    json_decref(changes);
}

/* Conditional writes. */

static void put_row(mr_change_step_t *step);
static void read_back(mr_change_step_t *step);

static void
end_failed_write(mr_change_step_t *step)
{
    if (step->write.outcome_unknown) {
        mr_change_step_end(step, MR_ERR_OUTCOME_UNKNOWN,
                           "the platform did not answer; %s of version %lld "
                           "may have taken effect",
                           step_names[step->kind], (long long)step->version);
        return;
    }
    mr_change_step_end(step, MR_ERR_UNAVAILABLE,
                       "the platform cannot be reached; nothing was changed");
}

static void
on_read_back(void *ctx, mr_error_kind_t error, int64_t revision, json_t *value)
{
    mr_change_step_t *step = ctx;
    mr_change_write_t *write = &step->write;

    if (error != MR_OK && error != MR_ERR_NOT_FOUND) {
        if (++write->failures < FAILURES_MAX) {
            read_back(step);
        }
        else {
            end_failed_write(step);
        }
        return;
    }
    if (error == MR_OK && json_equal(value, write->value)) {
        json_object_set(step->rows.state, write->field, write->value);
        write->next(step);
    }
    else if ((error == MR_OK ? revision : 0) == write->expect) {
        if (++write->failures < FAILURES_MAX) {
            put_row(step);
        }
        else {
            end_failed_write(step);
        }
    }
    else {
        json_decref(write->actual);
        write->actual = json_incref(value);
        write->on_conflict(step);
    }
}

static void
read_back(mr_change_step_t *step)
{
    mr_platform_row_get(step->change->platform, step->write.row, on_read_back,
                        step);
}

static void
on_row_put(void *ctx, mr_error_kind_t error, int64_t revision, json_t *value)
{
    mr_change_step_t *step = ctx;
    mr_change_write_t *write = &step->write;

    (void)revision;
    (void)value;
    if (error == MR_OK) {
        json_object_set(step->rows.state, write->field, write->value);
        write->next(step);
        return;
    }
    if (error == MR_ERR_OUTCOME_UNKNOWN) {
        write->outcome_unknown = true;
    }
    if (error == MR_ERR_UNAVAILABLE && ++write->failures >= FAILURES_MAX) {
        end_failed_write(step);
        return;
    }
    /* The conflict may come from an earlier attempt of this write whose answer
     * was lost. */
    read_back(step);
}

static void
put_row(mr_change_step_t *step)
{
    mr_platform_row_put(step->change->platform, step->write.row,
                        step->write.expect, step->write.value, on_row_put,
                        step);
}

void
mr_change_step_write(mr_change_step_t *step, const char *field, json_t *value,
                     mr_change_next_fn_t next, mr_change_next_fn_t on_conflict)
{
    mr_change_write_t *write = &step->write;
    bool head = strcmp(field, "head") == 0;

    json_decref(write->value);
    json_decref(write->actual);
    *write = (mr_change_write_t){
        .row = head ? MR_CONFIG_ROW_HEAD : MR_CONFIG_ROW_STAGED,
        .field = field,
        .expect = head ? step->rows.head_revision : step->rows.staged_revision,
        .value = value,
        .next = next,
        .on_conflict = on_conflict,
    };
    put_row(step);
}
