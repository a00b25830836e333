#ifndef MR_TESTS_COMMON_TARGET_LOG_H
#define MR_TESTS_COMMON_TARGET_LOG_H

/*
 * Term, log and values of the target stand-in. With a state file, term and
 * log survive a restart of the process.
 */

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>

#include "common/clock.h"

typedef struct target_entry {
    int64_t term;
    json_t *statement;
    mr_ms_t written; /* when this process appended it; 0: before a restart */
} target_entry_t;

typedef struct target_log {
    int64_t term;    /* highest that this target was given */
    int64_t granted; /* highest that it granted */
    bool primary;
    bool leaving;
    GPtrArray *entries; /* target_entry_t */
    GHashTable *values; /* key to json_t */
    FILE *file;
} target_log_t;

/** target_log_open() - empty log, or the one in the state file @path;
 * @path NULL: nothing is stored. */
bool target_log_open(target_log_t *log, const char *path);

int64_t target_log_position(const target_log_t *log);

/** target_log_term_at() - term of the entry at @position; 0 for position 0. */
int64_t target_log_term_at(const target_log_t *log, int64_t position);

/** target_log_raise_term() - take a higher term; a primary steps down. */
void target_log_raise_term(target_log_t *log, int64_t term, bool granted);

/** target_log_append() - append an entry and apply it to the values. */
void target_log_append(target_log_t *log, int64_t term, json_t *statement);

/** target_log_truncate() - drop all entries behind @position. */
void target_log_truncate(target_log_t *log, int64_t position);

/** target_log_state() - the log state that every reply carries. */
json_t *target_log_state(const target_log_t *log);

/** target_log_dump() - the log as [{term, statement}]. */
json_t *target_log_dump(const target_log_t *log);

/**
 * target_log_evaluate() - result of a statement, without its effect
 * @buffered: earlier statements of the same transaction, or NULL
 * @failure: receives the reason when the statement fails
 *
 * Return: new reference, or NULL when the statement fails.
 */
json_t *target_log_evaluate(const target_log_t *log, const json_t *buffered,
                            const json_t *statement, const char **failure);

#endif
