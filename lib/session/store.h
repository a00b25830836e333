#ifndef MR_SESSION_STORE_H
#define MR_SESSION_STORE_H

/*
 * Client of the platform's store: tables of rows with conditional writes, and
 * a feed of changes. Every call ends with exactly one callback, which is never
 * called before the call returns. Implemented in platform/store.c.
 *
 * The store may be restored from an older copy, which loses what it has
 * acknowledged since. Each restoration raises the era of its answers. Answers
 * of an older era than the highest one seen are not delivered.
 */

#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/error.h"
#include "session/revision.h"

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
    mr_revision_t revision;
    bool deleted; /* only in answers of the feed */
} mr_store_row_t;

/** Answer to a read. */
typedef struct mr_store_answer {
    mr_error_kind_t error; /* MR_OK; MR_ERR_NOT_FOUND: the feed's history no
                          longer reaches back to the requested
                          revision; MR_ERR_UNAVAILABLE */
    const mr_store_row_t *rows;
    size_t count;
    mr_revision_t revision; /* newest one of the store */
} mr_store_answer_t;

/** mr_store_evacuated_data_centre() - data centre whose evacuation the row
 * @key of the table of the desired state requests, as a part of @key; NULL:
 * it is another row. */
const char *mr_store_evacuated_data_centre(const char *key);

typedef void (*mr_store_read_fn_t)(void *ctx, const mr_store_answer_t *answer);

/**
 * mr_store_write_fn_t - a conditional write has ended
 * @error: MR_OK; MR_ERR_CONFLICT: the condition does not hold;
 *         MR_ERR_UNAVAILABLE: not written; MR_ERR_OUTCOME_UNKNOWN: may have
 *         been written, or written and lost when the store was restored
 * @revision: after MR_OK, the one just written; after MR_ERR_CONFLICT, the
 *            current one of the row, version 0: the row does not exist or the
 *            revision is not known; otherwise version 0
 */
typedef void (*mr_store_write_fn_t)(void *ctx, mr_error_kind_t error,
                                    mr_revision_t revision);

/** mr_store_era_fn_t - the store has been restored from an older copy. */
typedef void (*mr_store_era_fn_t)(void *ctx, int64_t era);

mr_store_t *mr_store_create(const mr_store_options_t *options);
/** mr_store_destroy() - pending calls end without a callback. */
void mr_store_destroy(mr_store_t *store);

/** mr_store_era() - the highest era seen. */
int64_t mr_store_era(const mr_store_t *store);

/** mr_store_on_era() - call @fn whenever the era rises, before the callback of
 * the call that was answered. The first era seen is not reported. */
void mr_store_on_era(mr_store_t *store, mr_store_era_fn_t fn, void *ctx);

/** mr_store_get() - read all rows of @table, or only @key if it is not NULL.
 */
void mr_store_get(mr_store_t *store, const char *table, const char *key,
                  mr_store_read_fn_t fn, void *ctx);

/** mr_store_feed() - read the rows of @table that changed after
 * revision @after; waits up to @wait for the first change. If the store has
 * been restored since @after, the answer is MR_ERR_NOT_FOUND, as its new
 * versions may have passed the one of @after. */
void mr_store_feed(mr_store_t *store, const char *table, mr_revision_t after,
                   mr_ms_t wait, mr_store_read_fn_t fn, void *ctx);

/** mr_store_put() - write a row if its revision is @expect; version 0: if it
 * does not exist. @value NULL deletes the row. An @expect of an older era than
 * the highest one seen may match another value of the row, so the store is not
 * asked and the call ends with MR_ERR_CONFLICT. */
void mr_store_put(mr_store_t *store, const char *table, const char *key,
                  mr_revision_t expect, const void *value, size_t len,
                  mr_store_write_fn_t fn, void *ctx);

#endif
