#ifndef MR_CONFIG_CHANGE_INTERNAL_H
#define MR_CONFIG_CHANGE_INTERNAL_H

/*
 * Shared by change.c, which decides what each step does, and change_step.c,
 * which reads and writes rows, objects and audit records for it.
 */

#include "common/list.h"
#include "config/audit.h"
#include "config/change.h"

/** The rows as one read found them. Revision 0: no row. */
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

/** A conditional write that is repeated until its end is known. */
typedef struct mr_change_write {
    const char *row;
    const char *field; /* of the state */
    int64_t expect;
    json_t *value;
    int failures;
    bool uncertain; /* a try had no answer */
    mr_change_next_fn_t next;
    mr_change_next_fn_t lost; /* the row has another value */
    json_t *found;            /* that value */
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
    char *body;      /* propose */
    json_t *without; /* accept: array of names */

    mr_change_rows_t rows;
    mr_change_next_fn_t next; /* after the read or the object in progress */
    int failures;
    mr_audit_append_t *append;
    int64_t recorded; /* sequence of the step's audit record; 0: none */
    mr_change_write_t write;
    char *lost_message; /* told once the void record is written */
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

/** mr_change_step_end() - call back with a formatted message; frees @step. */
void mr_change_step_end(mr_change_step_t *step, mr_error_kind_t error,
                        const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/** mr_change_step_read() - read the rows, then go on with @next. */
void mr_change_step_read(mr_change_step_t *step, mr_change_next_fn_t next);

/** mr_change_step_put_body() - write the object, then go on with @next. */
void mr_change_step_put_body(mr_change_step_t *step, mr_change_next_fn_t next);

/** mr_change_step_get_body() - read the object into @body of the step. */
void mr_change_step_get_body(mr_change_step_t *step, mr_change_next_fn_t next);

/** mr_change_step_record() - write the step's audit record. */
void mr_change_step_record(mr_change_step_t *step, mr_change_next_fn_t next);

/**
 * mr_change_step_write() - conditional write of a row
 * @field: "head" or "staged"
 * @value: taken over
 * @next: goes on when the row has @value
 * @lost: goes on when it has another one, which is in step->write.found
 *
 * A write without an answer is read back before it counts, and repeated with
 * the same condition while the row is as it was, because it may still arrive.
 */
void mr_change_step_write(mr_change_step_t *step, const char *field,
                          json_t *value, mr_change_next_fn_t next,
                          mr_change_next_fn_t lost);

/** mr_change_step_lose() - write the void record, then end with a conflict. */
void mr_change_step_lose(mr_change_step_t *step, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

#endif
