#ifndef MR_TESTS_COMMON_TARGET_LOG_H
#define MR_TESTS_COMMON_TARGET_LOG_H

/*
 * Term, log and key-value state of the target stand-in. With a state file,
 * term and log persist across restarts of the process.
 */

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>

#include "common/clock.h"

typedef struct target_entry {
    int64_t term;
    json_t *statement;
    mr_ms_t appended_at; /* 0: loaded from the state file */
} target_entry_t;

typedef struct target_log {
    int64_t term;    /* highest term seen */
    int64_t granted; /* highest term granted */
    bool primary;
    bool leaving;
    GPtrArray *entries; /* target_entry_t */
    GHashTable *values; /* key to json_t */
    FILE *file;
} target_log_t;

/** target_log_open() - open the log and load the state file @path, which is
 * created if missing. NULL: keep the log in memory only. */
bool target_log_open(target_log_t *log, const char *path);

/** target_log_position() - position of the last entry; 0 for an empty log. */
int64_t target_log_position(const target_log_t *log);

/** target_log_term_at() - term of the entry at @position, or 0 if there is no
 * such entry. */
int64_t target_log_term_at(const target_log_t *log, int64_t position);

/** target_log_set_term() - adopt a higher term; a primary steps down. */
void target_log_set_term(target_log_t *log, int64_t term, bool granted);

/** target_log_append() - append an entry and apply it to the values. */
void target_log_append(target_log_t *log, int64_t term, json_t *statement);

/** target_log_truncate() - remove all entries after @position. */
void target_log_truncate(target_log_t *log, int64_t position);

/** target_log_state() - log state that every reply includes. */
json_t *target_log_state(const target_log_t *log);

/** target_log_dump() - the log as [{term, statement}]. */
json_t *target_log_dump(const target_log_t *log);

/**
 * target_log_evaluate() - compute the result of a statement without applying
 * it
 * @buffered: earlier statements of the same transaction, or NULL
 * @failure: receives the error text when the statement fails
 *
 * Return: new reference, or NULL when the statement fails.
 */
json_t *target_log_evaluate(const target_log_t *log, const json_t *buffered,
                            const json_t *statement, const char **failure);

#endif
