#ifndef MR_PLATFORM_PLATFORM_H
#define MR_PLATFORM_PLATFORM_H

/*
 * Client of the platform: table service with conditional writes, object store
 * and the list of instances. Every call has a deadline and ends with exactly
 * one callback, never before the call returns.
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
    mr_ms_t timeout;
} mr_platform_options_t;

/**
 * mr_platform_row_fn_t - a row was read or written
 * @error: MR_OK; MR_ERR_NOT_FOUND; MR_ERR_CONFLICT with @revision the present
 *         one; MR_ERR_UNAVAILABLE for reads that failed;
 *         MR_ERR_OUTCOME_UNKNOWN for writes that may have taken effect
 * @value: borrowed; NULL for writes
 */
typedef void (*mr_platform_row_fn_t)(void *ctx, mr_error_kind_t error,
                                     int64_t revision, json_t *value);

/** mr_platform_json_fn_t - a listing was read; @value is borrowed. */
typedef void (*mr_platform_json_fn_t)(void *ctx, mr_error_kind_t error,
                                      json_t *value);

/** mr_platform_object_fn_t - an object was read or written. */
typedef void (*mr_platform_object_fn_t)(void *ctx, mr_error_kind_t error,
                                        const void *data, size_t len);

mr_platform_t *mr_platform_create(const mr_platform_options_t *options);

/** mr_platform_destroy() - open calls end without a callback. */
void mr_platform_destroy(mr_platform_t *platform);

/** mr_platform_cancel() - end all open calls that were given @ctx, without a
 * callback; a module calls it before it frees @ctx. */
void mr_platform_cancel(mr_platform_t *platform, const void *ctx);

void mr_platform_row_get(mr_platform_t *platform, const char *row,
                         mr_platform_row_fn_t fn, void *ctx);

/** mr_platform_row_put() - conditional write; @expect 0: must not exist.
 * Borrows @value. */
void mr_platform_row_put(mr_platform_t *platform, const char *row,
                         int64_t expect, json_t *value,
                         mr_platform_row_fn_t fn, void *ctx);

/** mr_platform_rows() - array of {row, revision, value} under @prefix. */
void mr_platform_rows(mr_platform_t *platform, const char *prefix,
                      mr_platform_json_fn_t fn, void *ctx);

void mr_platform_object_get(mr_platform_t *platform, const char *name,
                            mr_platform_object_fn_t fn, void *ctx);

/** mr_platform_object_put() - MR_ERR_CONFLICT when @name exists with other
 * bytes; writing the same bytes again succeeds. */
void mr_platform_object_put(mr_platform_t *platform, const char *name,
                            const void *data, size_t len,
                            mr_platform_object_fn_t fn, void *ctx);

/** mr_platform_objects() - array of names under @prefix. */
void mr_platform_objects(mr_platform_t *platform, const char *prefix,
                         mr_platform_json_fn_t fn, void *ctx);

/** mr_platform_instances() - the lagging list: array of {name, data_centre,
 * address, kind, state}. */
void mr_platform_instances(mr_platform_t *platform, mr_platform_json_fn_t fn,
                           void *ctx);

/** mr_platform_register() - put this instance on the list; @state is "live"
 * or "leaving". */
void mr_platform_register(mr_platform_t *platform, const char *name,
                          const char *data_centre, const char *address,
                          const char *state, mr_platform_json_fn_t fn,
                          void *ctx);

#endif
