#ifndef MR_PLATFORM_PLATFORM_H
#define MR_PLATFORM_PLATFORM_H

/*
 * Client of the platform's HTTP API: a table with conditional writes, an
 * object store and the list of instances. Every call has a deadline and ends
 * with exactly one callback, which never runs before the call returns.
 */

#include <event2/event.h>
#include <jansson.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/error.h"

typedef struct mr_platform mr_platform_t;

typedef struct mr_platform_options {
    struct event_base *base;
    mr_counters_t *counters;
    const char *address; /* "IP:port" */
    mr_ms_t timeout;     /* of each call */
} mr_platform_options_t;

/**
 * mr_platform_row_fn_t - callback of a call that reads or writes a row
 * @error: MR_OK; MR_ERR_NOT_FOUND; MR_ERR_CONFLICT with the row's current
 *         @revision; MR_ERR_UNAVAILABLE: a failed read, or a write that was
 *         not sent; MR_ERR_OUTCOME_UNKNOWN: a write that may have taken effect
 * @value: borrowed; NULL for writes
 */
typedef void (*mr_platform_row_fn_t)(void *ctx, mr_error_kind_t error,
                                     int64_t revision, json_t *value);

/** mr_platform_json_fn_t - callback of a call that reads a list, or that
 * registers an instance; @value is borrowed. */
typedef void (*mr_platform_json_fn_t)(void *ctx, mr_error_kind_t error,
                                      json_t *value);

/** mr_platform_object_fn_t - callback of a call that reads or writes an
 * object; @data is borrowed. */
typedef void (*mr_platform_object_fn_t)(void *ctx, mr_error_kind_t error,
                                        const void *data, size_t len);

mr_platform_t *mr_platform_create(const mr_platform_options_t *options);

/** mr_platform_destroy() - free the client and drop pending calls without a
 * callback. */
void mr_platform_destroy(mr_platform_t *platform);

/** mr_platform_cancel() - drop all pending calls made with @ctx, without a
 * callback; a module calls it before it frees @ctx. */
void mr_platform_cancel(mr_platform_t *platform, const void *ctx);

void mr_platform_row_get(mr_platform_t *platform, const char *row,
                         mr_platform_row_fn_t fn, void *ctx);

/** mr_platform_row_put() - write a row if its revision is @expect; 0: if it
 * does not exist. Borrows @value. */
void mr_platform_row_put(mr_platform_t *platform, const char *row,
                         int64_t expect, json_t *value,
                         mr_platform_row_fn_t fn, void *ctx);

/** mr_platform_list_rows() - list the rows whose names start with @prefix, as
 * an array of {row, revision, value}. */
void mr_platform_list_rows(mr_platform_t *platform, const char *prefix,
                           mr_platform_json_fn_t fn, void *ctx);

void mr_platform_object_get(mr_platform_t *platform, const char *name,
                            mr_platform_object_fn_t fn, void *ctx);

/** mr_platform_object_put() - create an object; MR_ERR_CONFLICT when @name
 * exists with other content. Writing the same content again succeeds. */
void mr_platform_object_put(mr_platform_t *platform, const char *name,
                            const void *data, size_t len,
                            mr_platform_object_fn_t fn, void *ctx);

/** mr_platform_list_objects() - list the objects whose names start with
 * @prefix, as an array of names. */
void mr_platform_list_objects(mr_platform_t *platform, const char *prefix,
                              mr_platform_json_fn_t fn, void *ctx);

/** mr_platform_list_instances() - list the instances, as an array of {name,
 * data_centre, address, kind, state}. The list lags behind registrations. */
void mr_platform_list_instances(mr_platform_t *platform,
                                mr_platform_json_fn_t fn, void *ctx);

/** mr_platform_register_instance() - add this instance to the list, or update
 * its entry; @state is "live" or "leaving". */
void mr_platform_register_instance(mr_platform_t *platform, const char *name,
                                   const char *data_centre,
                                   const char *address, const char *state,
                                   mr_platform_json_fn_t fn, void *ctx);

#endif
