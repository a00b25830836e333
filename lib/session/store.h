#ifndef MR_SESSION_STORE_H
#define MR_SESSION_STORE_H

/*
 * Client of the platform's store: tables of rows with conditional writes, and
 * a feed of changes. Every call ends with exactly one callback, which is never
 * called before the call returns. Implemented in platform/store.c.
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
    const void *value; /* NUL-terminated; @len does not include the NUL */
    size_t len;
    int64_t version;
    bool deleted; /* only in answers of the feed */
} mr_store_row_t;

/** Answer to a read. */
typedef struct mr_store_answer {
    mr_error_kind_t error; /* MR_OK; MR_ERR_NOT_FOUND: the feed's history no
                          longer reaches back to the requested version;
                          MR_ERR_UNAVAILABLE */
    const mr_store_row_t *rows;
    size_t count;
    int64_t version; /* newest version of the store */
} mr_store_answer_t;

typedef void (*mr_store_read_fn_t)(void *ctx, const mr_store_answer_t *answer);

/**
 * mr_store_write_fn_t - a conditional write has ended
 * @error: MR_OK; MR_ERR_CONFLICT: the condition does not hold;
 *         MR_ERR_UNAVAILABLE: not written; MR_ERR_OUTCOME_UNKNOWN: may have
 *         been written
 * @version: current version of the row: after MR_OK, the one just written
 */
typedef void (*mr_store_write_fn_t)(void *ctx, mr_error_kind_t error,
                                    int64_t version);

mr_store_t *mr_store_create(const mr_store_options_t *options);
/** mr_store_destroy() - pending calls end without a callback. */
void mr_store_destroy(mr_store_t *store);

/** mr_store_get() - read all rows of @table, or only @key if it is not NULL.
 */
void mr_store_get(mr_store_t *store, const char *table, const char *key,
                  mr_store_read_fn_t fn, void *ctx);

/** mr_store_feed() - read the rows of @table that changed after version
 * @after; waits up to @wait for the first change. */
void mr_store_feed(mr_store_t *store, const char *table, int64_t after,
                   mr_ms_t wait, mr_store_read_fn_t fn, void *ctx);

/** mr_store_put() - write a row if its version is @expect; 0: if it does not
 * exist. @value NULL deletes the row. */
void mr_store_put(mr_store_t *store, const char *table, const char *key,
                  int64_t expect, const void *value, size_t len,
                  mr_store_write_fn_t fn, void *ctx);

#endif
