#ifndef MR_TESTS_COMMON_TARGET_REPLICATION_H
#define MR_TESTS_COMMON_TARGET_REPLICATION_H

/* Log replication between target stand-ins. */

#include <event2/event.h>

#include "common_target_log.h"

enum { TARGET_PEERS_MAX = 8 };

typedef struct target_peer target_peer_t;

typedef struct target_replication {
    struct event_base *base;
    target_log_t *log;
    int64_t lag_ms; /* delay between appending and sending an entry */
    bool hold;      /* send no requests */
    target_peer_t *peers[TARGET_PEERS_MAX];
    size_t peer_count;
} target_replication_t;

/** target_replication_start() - start replication to @peers, a
 * comma-separated list of addresses; false if one is invalid. */
bool target_replication_start(target_replication_t *replication,
                              const char *peers);

/** target_replication_notify() - send what is due after a change of the log,
 * the role or a fault. */
void target_replication_notify(target_replication_t *replication);

/**
 * target_replication_receive() - handle a replication request: compare the
 * entry before @entries, remove conflicting entries and append the new ones
 * @base: position before the first of @entries
 * @base_term: term of the entry at @base
 * @entries: array of {term, statement}
 *
 * Return: NULL, or the reason of the refusal.
 */
const char *target_replication_receive(target_log_t *log, int64_t term,
                                       int64_t base, int64_t base_term,
                                       json_t *entries);

#endif
