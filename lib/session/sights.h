#ifndef MR_SESSION_SIGHTS_H
#define MR_SESSION_SIGHTS_H

/* How the instances see the primaries, as they last reported. */

#include <stddef.h>

#include "common/clock.h"
#include "wire/msg.h"

enum {
    /* An answer this recent shows a primary that others do not reach; older
     * ones say nothing. */
    MR_SIGHTS_ANSWERED_MS = 1500,
};

typedef struct mr_sights mr_sights_t;

/** What they say of one primary. */
typedef struct mr_verdict {
    size_t failed;
    size_t answered;
    int64_t failing_ms; /* longest */
} mr_verdict_t;

mr_sights_t *mr_sights_create(void);
void mr_sights_destroy(mr_sights_t *sights);

/** mr_sights_report() - replaces what @instance said before. */
void mr_sights_report(mr_sights_t *sights, const char *instance, mr_ms_t now,
                      const mr_msg_db_health_t *health, size_t count);

/** mr_sights_judge() - of database @id as the primary of @service. */
mr_verdict_t mr_sights_judge(const mr_sights_t *sights, const char *service,
                             const char *id, mr_ms_t now);

#endif
