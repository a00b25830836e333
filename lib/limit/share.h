#ifndef MR_LIMIT_SHARE_H
#define MR_LIMIT_SHARE_H

/*
 * Decisions about the row share/{account}, which divides an account's rate and
 * burst between the data centres. Only the limiter that holds the lease of the
 * account's shard uses this; it does the reads and writes that mr_share_plan()
 * returns. "Own" refers to the limiter's data centre.
 *
 * The share in force never exceeds the own entry in the row. A write whose
 * reply was lost is unresolved until a read returns a revision above the one
 * that the write expected: until then it can still take effect.
 */

#include <jansson.h>
#include <stddef.h>

#include "limit/bucket.h"

enum {
    MR_SHARE_NAME_MAX = 65,
    MR_SHARE_ENTRIES_MAX = 16,
    /* An entry that is not renewed for this long is no longer in force. This
     * limits how long a data centre can work without the store, and how long
     * the others have to wait for the share of one that failed. */
    MR_SHARE_LEASE_MS = 300000,
};

/** Share of one data centre. */
typedef struct mr_share_entry {
    char data_centre[MR_SHARE_NAME_MAX];
    mr_limit_amount_t amount;
    int64_t demand;  /* thousandths of a request per second */
    int64_t renewal; /* revision that the last write of the entry expected */
    mr_ms_t lease;   /* lifetime after the last renewal */
    /* Upper bound of the LONG grants in force until the entry is written
     * again, and the epoch of the limiter's lease; epoch 0: unknown. */
    mr_limit_amount_t granted;
    int64_t granted_epoch;
} mr_share_entry_t;

/** Content of a row. */
typedef struct mr_share_row {
    int64_t revision; /* 0: the row does not exist */
    int64_t version;  /* of the configuration that @limit is from */
    mr_limit_amount_t limit;
    /* Limit that the sum of the entries may still be based on after @limit was
     * lowered. Until the sum fits into @limit, each data centre uses the part
     * limit / prior_limit of its entry. */
    mr_limit_amount_t prior_limit;
    mr_share_entry_t entries[MR_SHARE_ENTRIES_MAX];
    size_t count;
} mr_share_row_t;

/** mr_share_row_parse() - parse a row's value; false if it is malformed. */
bool mr_share_row_parse(json_t *value, int64_t revision, mr_share_row_t *row);

/** mr_share_row_format() - the row's value as a new reference. */
json_t *mr_share_row_format(const mr_share_row_t *row);

/** Input of a limiter's decisions apart from the row. */
typedef struct mr_share_input {
    int64_t version; /* configuration in force here */
    mr_limit_amount_t limit;
    int64_t demand;               /* recent demand in this data centre */
    mr_limit_amount_t min_amount; /* covers all grants that may be in force */
    int64_t epoch;                /* of the lease; 0: @long_total is unknown */
    mr_limit_amount_t long_total; /* upper bound of LONG grants in force */
} mr_share_input_t;

/** Next step of the caller. */
typedef enum mr_row_action {
    MR_ROW_NONE,
    MR_ROW_READ,  /* read the row and report the result */
    MR_ROW_WRITE, /* write the row and report the result */
} mr_row_action_t;

/** Result of a conditional write. */
typedef enum mr_row_result {
    MR_ROW_WRITTEN,
    MR_ROW_CONFLICT, /* the row no longer had the expected revision */
    MR_ROW_UNKNOWN,  /* may have taken effect or still take effect */
} mr_row_result_t;

typedef struct mr_share mr_share_t;

mr_share_t *mr_share_create(const char *data_centre);
void mr_share_destroy(mr_share_t *share);

/**
 * mr_share_plan() - decide the next step
 * @out: receives the row to write; its revision is the expected one
 *
 * After MR_ROW_READ or MR_ROW_WRITE no further step is planned until its
 * result is reported.
 */
mr_row_action_t mr_share_plan(mr_share_t *share, const mr_share_input_t *input,
                              mr_ms_t now, mr_share_row_t *out);

/** mr_share_read() - report the result of a read; @row NULL: it failed. */
void mr_share_read(mr_share_t *share, const mr_share_row_t *row, mr_ms_t now);

/** mr_share_written() - report the result of a write; @revision: the row's new
 * revision if it succeeded. */
void mr_share_written(mr_share_t *share, mr_row_result_t result,
                      int64_t revision, mr_ms_t now);

/** mr_share_usable() - the share available to new grants under the limit in
 * @input. */
mr_limit_amount_t mr_share_usable(const mr_share_t *share,
                                  const mr_share_input_t *input, mr_ms_t now);

/** mr_share_expiry() - when the share in force expires unless renewed. */
mr_ms_t mr_share_expiry(const mr_share_t *share);

/** mr_share_initial_entry() - the own entry as it was before this limiter's
 * first write; the predecessor's grants were issued from it. NULL until that
 * write is confirmed. */
const mr_share_entry_t *mr_share_initial_entry(const mr_share_t *share);

/** mr_share_stop() - record that the limiter of @epoch issues no more grants
 * and that its LONG grants in force are at most @granted. mr_share_plan() then
 * plans a write of this record for the successor. */
void mr_share_stop(mr_share_t *share, int64_t epoch,
                   mr_limit_amount_t granted);

/** mr_share_stopped() - whether the record of mr_share_stop() is confirmed to
 * be in the row. */
bool mr_share_stopped(const mr_share_t *share);

#endif
