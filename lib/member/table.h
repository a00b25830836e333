#ifndef MR_MEMBER_TABLE_H
#define MR_MEMBER_TABLE_H

/*
 * The decisions of membership without any I/O: merging of reports, suspicion,
 * refutation, the order of pings and the choice of changes to pass on. Times
 * come from a clock that a test can replace.
 */

#include "common/clock.h"
#include "member/member.h"
#include "wire/msg.h"

enum {
    MR_MEMBER_PING_INTERVAL_MS = 200,
    MR_MEMBER_PING_TIMEOUT_MS = 200,
    MR_MEMBER_INDIRECT_PINGS = 3,
    /* From suspicion to death. */
    MR_MEMBER_SUSPICION_MS = 1000,
    /* A gap between two ticks that is longer than this means that this
     * process was paused; silence in that time says nothing about others. */
    MR_MEMBER_PAUSE_MS = 600,
    /* A dead member that is not on the list is forgotten after this time. */
    MR_MEMBER_TOMBSTONE_MS = 60000,
    /* A member of another data centre is not used for this time after its
     * link failed. */
    MR_MEMBER_FAILED_LINK_MS = 3000,
    /* Bounds a ping to about 1 KB, whatever the number of changes. */
    MR_MEMBER_CHANGES_MAX = 8,
    /* One ping in so many goes to a dead member, so that two sides of a
     * healed partition find each other again. */
    MR_MEMBER_DEAD_PING_EVERY = 10,
    /*
     * A report's incarnation is the process's incarnation shifted by these
     * bits plus the number of its refutations, so that a refutation does not
     * change the incarnation that request ids name.
     */
    MR_MEMBER_REFUTATION_BITS = 12,
};

typedef struct mr_member_table mr_member_table_t;

/** mr_member_table_create() - a table that holds the own instance. @clock
 * NULL: system clock. @incarnation: at most 2^51, as milliseconds or
 * microseconds since 1970. */
mr_member_table_t *mr_member_table_create(const mr_clock_t *clock,
                                          const char *name,
                                          const char *data_centre,
                                          const char *address,
                                          int64_t incarnation);
void mr_member_table_destroy(mr_member_table_t *table);

/** mr_member_table_self() - the own instance. */
const mr_member_t *mr_member_table_self(const mr_member_table_t *table);

/**
 * mr_member_table_set_joined() - the own instance is usable from now on
 *
 * Before, it does not know the others: it would take itself for the owner of
 * every target of its data centre and open connections that they need.
 */
void mr_member_table_set_joined(mr_member_table_t *table);
bool mr_member_table_joined(const mr_member_table_t *table);

const mr_member_t *mr_member_table_find(const mr_member_table_t *table,
                                        const char *name);

/** mr_member_table_take_changed() - whether the usable members changed since
 * the last call. */
bool mr_member_table_take_changed(mr_member_table_t *table);

/** mr_member_table_list_begin() - a new reading of the platform's list
 * starts. */
void mr_member_table_list_begin(mr_member_table_t *table);

/** mr_member_table_list_add() - the list names an instance. */
void mr_member_table_list_add(mr_member_table_t *table, const char *name,
                              const char *data_centre, const char *address,
                              bool leaving);

/** mr_member_table_list_end() - the reading is complete; forgets instances of
 * other data centres that it did not name. */
void mr_member_table_list_end(mr_member_table_t *table);

/** What mr_member_table_merge() found. */
typedef enum mr_member_merge {
    MR_MEMBER_MERGE_KNOWN,   /* nothing new */
    MR_MEMBER_MERGE_NEW,     /* the member was not known, or only listed */
    MR_MEMBER_MERGE_CHANGED, /* its state changed */
    MR_MEMBER_MERGE_REFUTED, /* a false report about the own instance */
} mr_member_merge_t;

/** mr_member_table_merge() - take in one report from a message. */
mr_member_merge_t mr_member_table_merge(mr_member_table_t *table,
                                        const mr_msg_member_t *report);

/**
 * mr_member_table_changes() - reports to put on a message
 * @receiver: its own record is included when it is not live, so that it can
 *            refute; NULL: none
 * @out: receives the own record first, at most MR_MEMBER_CHANGES_MAX + 2
 *       items in all; the strings are borrowed
 */
size_t mr_member_table_changes(mr_member_table_t *table, const char *receiver,
                               mr_msg_member_t *out);

/** mr_member_table_all() - records of all members of the own data centre that
 * reported themselves, the own one first; the caller frees the array. */
mr_msg_member_t *mr_member_table_all(mr_member_table_t *table, size_t *count);

/** mr_member_table_next_ping() - the next member to ping, in shuffled
 * round-robin order; NULL when there is none. */
const mr_member_t *mr_member_table_next_ping(mr_member_table_t *table);

/** mr_member_table_relays() - up to @max random live members other than
 * @name. */
size_t mr_member_table_relays(mr_member_table_t *table, const char *name,
                              const mr_member_t **out, size_t max);

/** mr_member_table_ping_failed() - @name answered neither a direct nor an
 * indirect ping. */
void mr_member_table_ping_failed(mr_member_table_t *table, const char *name);

/**
 * mr_member_table_tick() - let suspicions and tombstones expire
 *
 * Return: how long this process was paused before; 0: not at all. Outcomes of
 * pings that were under way in a pause must be ignored.
 */
mr_ms_t mr_member_table_tick(mr_member_table_t *table);

/** mr_member_table_paused() - whether this process seems to have been paused
 * since the last tick. */
bool mr_member_table_paused(const mr_member_table_t *table);

/** mr_member_table_link_failed() - see mr_members_report_failure(). */
void mr_member_table_link_failed(mr_member_table_t *table, const char *name);

/** mr_member_table_leave() - the own instance leaves. */
void mr_member_table_leave(mr_member_table_t *table);

/** See mr_members_usable() and mr_members_owner(). Suspects come behind the
 * live members. */
size_t mr_member_table_usable(const mr_member_table_t *table, const char *key,
                              const char *data_centre, const mr_member_t **out,
                              size_t max);
const mr_member_t *mr_member_table_owner(const mr_member_table_t *table,
                                         const char *key,
                                         const char *data_centre);

/** mr_member_table_count() - members that are not dead: of the own data
 * centre, or of all. */
size_t mr_member_table_count(const mr_member_table_t *table, bool all);

/** mr_member_table_status() - see mr_members_status(). */
json_t *mr_member_table_status(const mr_member_table_t *table);

#endif
