#ifndef MR_CONFIG_CHANGE_INTERNAL_H
#define MR_CONFIG_CHANGE_INTERNAL_H

/*
 * Shared by change.c, which implements the logic of each step, and
 * change_step.c, which reads and writes rows, objects and audit records.
 */

#include "common/list.h"
#include "config/audit.h"
#include "config/change.h"

/** The rows as returned by one read. Revision 0: no row. */
typedef struct mr_change_rows {
    int64_t head_revision;
    mr_config_head_t head;
    int64_t staged_revision;
    mr_config_staged_t staged;
    json_t *state; /* as mr_change_fn_t describes it */
} mr_change_rows_t;

typedef enum mr_change_kind {
    MR_CHANGE_READ,
    MR_CHANGE_PROPOSE,
    MR_CHANGE_APPROVE,
    MR_CHANGE_VETO,
    MR_CHANGE_ACCEPT,
} mr_change_kind_t;

typedef struct mr_change_step mr_change_step_t;
typedef void (*mr_change_next_fn_t)(mr_change_step_t *step);

/** A conditional row write, repeated until its outcome is known. */
typedef struct mr_change_write {
    const char *row;
    const char *field; /* key in the state object */
    int64_t expect;    /* revision that the row must have; 0: no row */
    json_t *value;
    int failures;
    bool outcome_unknown; /* an attempt had an unknown outcome */
    mr_change_next_fn_t next;
    mr_change_next_fn_t on_conflict; /* the row has another value */
    json_t *actual;                  /* value that the row has instead */
} mr_change_write_t;

struct mr_change_step {
    mr_list_t link;
    mr_change_t *change;
    mr_change_kind_t kind;
    mr_change_fn_t fn;
    void *ctx;

    int64_t version;
    char hash[MR_CONFIG_HASH_HEX_BYTES];
    char *approval;
    json_t *changes; /* of the audit record */
    char *body;      /* propose, accept: canonical JSON */
    json_t *without; /* accept: array of data centre names */

    mr_change_rows_t rows;
    mr_change_next_fn_t next; /* continuation of the call in progress */
    int failures;
    mr_audit_append_t *append;
    int64_t record_sequence; /* sequence of the audit record; 0: not written */
    mr_change_write_t write;
    char *late_message; /* message of a failure that is reported later */
};

struct mr_change {
    mr_platform_t *platform;
    char *who;
    uint8_t approver_key[MR_APPROVAL_PUBLIC_KEY_BYTES];
    mr_list_t steps;
};

mr_change_step_t *mr_change_step_create(mr_change_t *change,
                                        mr_change_kind_t kind,
                                        mr_change_fn_t fn, void *ctx);
void mr_change_step_free(mr_change_step_t *step);

/** mr_change_step_end() - calls the callback with a formatted message and
 * frees @step. */
void mr_change_step_end(mr_change_step_t *step, mr_error_kind_t error,
                        const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/** mr_change_step_read() - reads the rows, then calls @next. */
void mr_change_step_read(mr_change_step_t *step, mr_change_next_fn_t next);

/** mr_change_step_put_body() - writes step->body to the object named by its
 * hash, then calls @next. */
void mr_change_step_put_body(mr_change_step_t *step, mr_change_next_fn_t next);

/** mr_change_step_get_body() - reads the object named by step->hash into
 * step->body, then calls @next. */
void mr_change_step_get_body(mr_change_step_t *step, mr_change_next_fn_t next);

/** mr_change_step_record() - writes the audit record of the step, then calls
 * @next. */
void mr_change_step_record(mr_change_step_t *step, mr_change_next_fn_t next);

/**
 * mr_change_step_write() - writes a row conditionally
 * @field: "head" or "staged"
 * @value: the new value; the step takes over the reference
 * @next: called when the row has @value
 * @on_conflict: called when it has another value, in step->write.actual
 *
 * After a conflict or a write without an answer, the row is read back. While
 * it is unchanged, the write is repeated with the same condition, because the
 * first one may still arrive.
 */
void mr_change_step_write(mr_change_step_t *step, const char *field,
                          json_t *value, mr_change_next_fn_t next,
                          mr_change_next_fn_t on_conflict);

/** mr_change_step_conflict() - ends the step with a conflict; if the step has
 * an audit record, writes a void record first. */
void mr_change_step_conflict(mr_change_step_t *step, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

#endif
