#ifndef MR_SESSION_STORE_H
#define MR_SESSION_STORE_H

/*
 * Client of the store that the platform runs: rows in tables, written under a
 * condition, and a feed of changes. Every call ends with exactly one callback,
 * never before the call returns. Implemented in platform/store.c.
 */

#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/error.h"

typedef struct mr_store mr_store_t;

typedef struct mr_store_options {
    struct event_base *base;
    mr_counters_t *counters;
    const char *address; /* "IP:port" */
} mr_store_options_t;

/** One row, as read. */
typedef struct mr_store_row {
    const char *key;
    const void *value; /* with a NUL byte behind it */
    size_t len;
    int64_t version;
    bool deleted; /* in a feed */
} mr_store_row_t;

/** Answer to a read. */
typedef struct mr_store_answer {
    mr_error_kind_t error; /* MR_OK; MR_ERR_NOT_FOUND: history is gone;
                              MR_ERR_UNAVAILABLE */
    const mr_store_row_t *rows;
    size_t count;
    int64_t version; /* newest version of the store */
} mr_store_answer_t;

typedef void (*mr_store_read_fn_t)(void *ctx, const mr_store_answer_t *answer);

/**
 * mr_store_write_fn_t - a conditional write ended
 * @error: MR_OK; MR_ERR_CONFLICT: the condition does not hold;
 *         MR_ERR_UNAVAILABLE: not written; MR_ERR_OUTCOME_UNKNOWN
 * @version: of the row: the one just written, or the present one
 */
typedef void (*mr_store_write_fn_t)(void *ctx, mr_error_kind_t error,
                                    int64_t version);

mr_store_t *mr_store_create(const mr_store_options_t *options);
/** mr_store_destroy() - open calls end without a callback. */
void mr_store_destroy(mr_store_t *store);

/** mr_store_get() - all rows of @table, or only @key. */
void mr_store_get(mr_store_t *store, const char *table, const char *key,
                  mr_store_read_fn_t fn, void *ctx);

/** mr_store_feed() - rows of @table that changed after version @after; waits
 * up to @wait for the first one. */
void mr_store_feed(mr_store_t *store, const char *table, int64_t after,
                   mr_ms_t wait, mr_store_read_fn_t fn, void *ctx);

/** mr_store_put() - write a row whose version is @expect; 0: must not exist.
 * @value NULL deletes the row. */
void mr_store_put(mr_store_t *store, const char *table, const char *key,
                  int64_t expect, const void *value, size_t len,
                  mr_store_write_fn_t fn, void *ctx);

#endif
