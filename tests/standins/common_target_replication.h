#ifndef MR_TESTS_COMMON_TARGET_REPLICATION_H
#define MR_TESTS_COMMON_TARGET_REPLICATION_H

/* Sending side of replication between target stand-ins. */

#include <event2/event.h>

#include "common_target_log.h"

enum { TARGET_PEERS_MAX = 8 };

typedef struct target_peer target_peer_t;

typedef struct target_replication {
    struct event_base *base;
    target_log_t *log;
    int64_t lag_ms; /* an entry is sent this long after it was written */
    bool hold;      /* send nothing */
    target_peer_t *peers[TARGET_PEERS_MAX];
    size_t peer_count;
} target_replication_t;

/** target_replication_start() - @peers: addresses separated by commas. */
bool target_replication_start(target_replication_t *replication,
                              const char *peers);

/** target_replication_wake() - the log, the role or a setting has changed. */
void target_replication_wake(target_replication_t *replication);

/**
 * target_replication_accept() - receiving side: match, truncate, append
 * @entries: array of {term, statement}
 *
 * Return: NULL, or why the entries were refused.
 */
const char *target_replication_accept(target_log_t *log, int64_t term,
                                      int64_t base, int64_t base_term,
                                      json_t *entries);

#endif
