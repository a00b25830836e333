#ifndef MR_SESSION_PRIMARY_HEALTH_H
#define MR_SESSION_PRIMARY_HEALTH_H

/* Health of the primaries, from the latest report of each instance. */

#include <stddef.h>

#include "common/clock.h"
#include "wire/msg.h"

enum {
    /* An answer at most this old proves that the primary works for the
     * reporting instance. Older answers prove nothing. */
    MR_HEALTH_ANSWERED_MS = 1500,
};

typedef struct mr_primary_health mr_primary_health_t;

/** The recent reports about one primary, combined. */
typedef struct mr_health_summary {
    size_t failed;              /* instances that it fails for */
    size_t answered;            /* instances that it answered lately */
    int64_t longest_failing_ms; /* of all instances that it fails for */
} mr_health_summary_t;

mr_primary_health_t *mr_primary_health_create(void);
void mr_primary_health_destroy(mr_primary_health_t *health);

/** mr_primary_health_report() - record the report of @instance in place of its
 * previous one. */
void mr_primary_health_report(mr_primary_health_t *health,
                              const char *instance, mr_ms_t now,
                              const mr_msg_db_health_t *reported,
                              size_t count);

/** mr_primary_health_summarize() - combine the recent reports about database
 * @id as the primary of @service. */
mr_health_summary_t
mr_primary_health_summarize(const mr_primary_health_t *health,
                            const char *service, const char *id, mr_ms_t now);

#endif
