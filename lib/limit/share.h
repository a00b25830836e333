#ifndef MR_LIMIT_SHARE_H
#define MR_LIMIT_SHARE_H

/*
 * Decisions about one account's row share/{account}, which divides rate and
 * burst over data centres. Only the limiter that holds the account's shard
 * uses this; it does the reads and writes that mr_share_plan() asks for.
 *
 * The part in force never exceeds the own entry in the row. A write whose
 * reply was lost stays open until a read shows a revision above the one that
 * it expected, as it can still take effect before that.
 */

#include <jansson.h>
#include <stddef.h>

#include "limit/bucket.h"

enum {
    MR_SHARE_NAME_MAX = 65,
    MR_SHARE_ENTRIES_MAX = 16,
    /* An entry that is not renewed for this long is in force no more. It
     * bounds both how long a data centre can do without the store and how
     * long the part of a vanished one is lost to the others. */
    MR_SHARE_LEASE_MS = 300000,
};

/** Part of one data centre. */
typedef struct mr_share_entry {
    char data_centre[MR_SHARE_NAME_MAX];
    mr_limit_amount_t amount;
    int64_t demand;  /* thousandths of a request per second */
    int64_t renewal; /* revision that the last write of the entry expected */
    mr_ms_t lease;
    /* The most that may be in force of LONG grants until the entry is written
     * again, and the epoch of the limiter's lease; epoch 0: not known. */
    mr_limit_amount_t granted;
    int64_t granted_epoch;
} mr_share_entry_t;

/** Content of a row. */
typedef struct mr_share_row {
    int64_t revision; /* 0: the row does not exist */
    int64_t version;  /* of the configuration that @limit is from */
    mr_limit_amount_t limit;
    /* Limit that the entries' sum may still follow after @limit was lowered;
     * until the sum fits, each holder uses limit / prior of its entry. */
    mr_limit_amount_t prior_limit;
    mr_share_entry_t entries[MR_SHARE_ENTRIES_MAX];
    size_t count;
} mr_share_row_t;

/** mr_share_row_parse() - read a row's value; false when it is malformed. */
bool mr_share_row_parse(json_t *value, int64_t revision, mr_share_row_t *row);

/** mr_share_row_format() - the row's value; a new reference. */
json_t *mr_share_row_format(const mr_share_row_t *row);

/** What a limiter knows apart from the row. */
typedef struct mr_share_input {
    int64_t version; /* configuration in force here */
    mr_limit_amount_t limit;
    int64_t demand;               /* recent demand in this data centre */
    mr_limit_amount_t min_amount; /* covers all grants that may be in force */
    int64_t epoch;                /* of the lease; 0: @longs is not known */
    mr_limit_amount_t long_total; /* LONG grants that may be in force */
} mr_share_input_t;

/** What to do next. */
typedef enum mr_share_action {
    MR_SHARE_NONE,
    MR_SHARE_READ,  /* read the row, then call mr_share_read() */
    MR_SHARE_WRITE, /* write the row, then call mr_share_written() */
} mr_share_action_t;

/** How a conditional write ended. */
typedef enum mr_share_result {
    MR_SHARE_WRITTEN,
    MR_SHARE_REFUSED, /* another write came first */
    MR_SHARE_UNKNOWN, /* may have taken effect, now or later */
} mr_share_result_t;

typedef struct mr_share mr_share_t;

mr_share_t *mr_share_create(const char *data_centre);
void mr_share_destroy(mr_share_t *share);

/**
 * mr_share_plan() - decide the next step
 * @out: receives the row to write; its revision is the expected one
 *
 * After READ or WRITE nothing else is planned until its end is reported.
 */
mr_share_action_t mr_share_plan(mr_share_t *share,
                                const mr_share_input_t *input, mr_ms_t now,
                                mr_share_row_t *out);

/** mr_share_read() - a read ended; @row NULL: it failed. */
void mr_share_read(mr_share_t *share, const mr_share_row_t *row, mr_ms_t now);

/** mr_share_written() - a write ended; @revision is the new one. */
void mr_share_written(mr_share_t *share, mr_share_result_t result,
                      int64_t revision, mr_ms_t now);

/** mr_share_usable() - what new grants may use under @input's limit. */
mr_limit_amount_t mr_share_usable(const mr_share_t *share,
                                  const mr_share_input_t *input, mr_ms_t now);

/** mr_share_expiry() - when the part in force lapses unless renewed. */
mr_ms_t mr_share_expiry(const mr_share_t *share);

/** mr_share_initial_entry() - the own entry as it was when this limiter first
 * wrote it: its predecessor's grants were given from it. NULL before that. */
const mr_share_entry_t *mr_share_initial_entry(const mr_share_t *share);

/** mr_share_stop() - the limiter of @epoch gives no more grants, and those in
 * force are at most @granted; plan to write this for its successor. */
void mr_share_stop(mr_share_t *share, int64_t epoch,
                   mr_limit_amount_t granted);

/** mr_share_stopped() - whether that is written. */
bool mr_share_stopped(const mr_share_t *share);

#endif
