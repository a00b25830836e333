#ifndef MR_MEMBER_TABLE_H
#define MR_MEMBER_TABLE_H

/*
 * The membership protocol without I/O: merging of reports, suspicion,
 * refutation, the order of pings and the choice of changes to disseminate.
 * Tests can replace the clock.
 */

#include "common/clock.h"
#include "member/member.h"
#include "wire/msg.h"

enum {
    MR_MEMBER_PING_INTERVAL_MS = 200,
    MR_MEMBER_PING_TIMEOUT_MS = 200,
    MR_MEMBER_INDIRECT_PINGS = 3,
    /* Time from suspicion until a member is declared dead. */
    MR_MEMBER_SUSPICION_MS = 1000,
    /* A longer gap between two ticks means that this process was paused;
     * missing replies in that time do not count as failures of other members.
     */
    MR_MEMBER_PAUSE_MS = 600,
    /* A dead member that is not on the list is removed after this time. */
    MR_MEMBER_TOMBSTONE_MS = 60000,
    /* A member of another data centre is avoided for this time after a link to
     * it failed. */
    MR_MEMBER_LINK_BACKOFF_MS = 3000,
    /* Bounds a ping to about 1 KB, whatever the number of pending changes. */
    MR_MEMBER_CHANGES_MAX = 8,
    /* One in this number of pings goes to a dead member, so that the two sides
     * of a healed partition find each other again. */
    MR_MEMBER_DEAD_PING_PERIOD = 10,
    /*
     * The incarnation in a report is the incarnation of the process, shifted
     * left by this number of bits, plus the number of its refutations. So a
     * refutation does not change the process incarnation, which request ids
     * contain.
     */
    MR_MEMBER_REFUTATION_BITS = 12,
};

typedef struct mr_member_table mr_member_table_t;

/** mr_member_table_create() - creates a table that contains the own instance.
 * @clock: NULL for the system clock. @incarnation: at most 2^51, such as
 * milliseconds or microseconds since 1970. */
mr_member_table_t *mr_member_table_create(const mr_clock_t *clock,
                                          const char *name,
                                          const char *data_centre,
                                          const char *address,
                                          int64_t incarnation);
void mr_member_table_destroy(mr_member_table_t *table);

/** mr_member_table_self() - returns the own instance. */
const mr_member_t *mr_member_table_self(const mr_member_table_t *table);

/**
 * mr_member_table_set_joined() - marks the own instance as usable
 *
 * Before that it does not know the other members: it would consider itself the
 * owner of every target of its data centre and open connections that the
 * others need.
 */
void mr_member_table_set_joined(mr_member_table_t *table);
bool mr_member_table_joined(const mr_member_table_t *table);

const mr_member_t *mr_member_table_find(const mr_member_table_t *table,
                                        const char *name);

/** mr_member_table_take_changed() - returns whether the usable members changed
 * since the last call, and resets that flag. */
bool mr_member_table_take_changed(mr_member_table_t *table);

/** mr_member_table_list_begin() - starts an update from the platform's list.
 */
void mr_member_table_list_begin(mr_member_table_t *table);

/** mr_member_table_list_add() - adds an instance that the list contains. */
void mr_member_table_list_add(mr_member_table_t *table, const char *name,
                              const char *data_centre, const char *address,
                              bool leaving);

/** mr_member_table_list_end() - completes the update; removes instances of
 * other data centres that the list did not contain. */
void mr_member_table_list_end(mr_member_table_t *table);

/** Result of mr_member_table_merge(). */
typedef enum mr_member_merge {
    MR_MEMBER_MERGE_KNOWN,   /* nothing new, or ignored */
    MR_MEMBER_MERGE_NEW,     /* first report of this member */
    MR_MEMBER_MERGE_CHANGED, /* newer record of a known member */
    MR_MEMBER_MERGE_REFUTED, /* a false report about the own instance was
                                refuted */
} mr_member_merge_t;

/** mr_member_table_merge() - merges one report from a message. */
mr_member_merge_t mr_member_table_merge(mr_member_table_t *table,
                                        const mr_msg_member_t *report);

/**
 * mr_member_table_changes() - selects the records to send with a message
 * @receiver: name of the receiver, whose record is included if its state is
 *            not live, so that it can refute that; NULL: none
 * @out: receives the own record first, at most MR_MEMBER_CHANGES_MAX + 2
 *       items in total; the strings are borrowed
 */
size_t mr_member_table_changes(mr_member_table_t *table, const char *receiver,
                               mr_msg_member_t *out);

/** mr_member_table_all_records() - returns the records of all members of the
 * own data centre that have reported themselves, the own one first; the caller
 * frees the array. */
mr_msg_member_t *mr_member_table_all_records(mr_member_table_t *table,
                                             size_t *count);

/** mr_member_table_next_ping() - returns the next member to ping: in shuffled
 * round-robin order, except for the pings of dead members; NULL if there is
 * none. */
const mr_member_t *mr_member_table_next_ping(mr_member_table_t *table);

/** mr_member_table_relays() - selects up to @max random live members other
 * than @name. */
size_t mr_member_table_relays(mr_member_table_t *table, const char *name,
                              const mr_member_t **out, size_t max);

/** mr_member_table_ping_failed() - records that @name answered neither a
 * direct nor an indirect ping. */
void mr_member_table_ping_failed(mr_member_table_t *table, const char *name);

/**
 * mr_member_table_tick() - expires suspicions and tombstones
 *
 * Return: how long this process was paused before this call; 0: not paused.
 * Results of pings that were in progress during a pause must be ignored.
 */
mr_ms_t mr_member_table_tick(mr_member_table_t *table);

/** mr_member_table_paused() - returns whether this process seems to have been
 * paused since the last tick. */
bool mr_member_table_paused(const mr_member_table_t *table);

/** mr_member_table_report_link_failure() - see mr_members_report_failure(). */
void mr_member_table_report_link_failure(mr_member_table_t *table,
                                         const char *name);

/** mr_member_table_leave() - marks the own instance as leaving. */
void mr_member_table_leave(mr_member_table_t *table);

/** See mr_members_usable() and mr_members_owner(). Suspect members rank behind
 * live ones. */
size_t mr_member_table_usable(const mr_member_table_t *table, const char *key,
                              const char *data_centre, const mr_member_t **out,
                              size_t max);
const mr_member_t *mr_member_table_owner(const mr_member_table_t *table,
                                         const char *key,
                                         const char *data_centre);

/** mr_member_table_count() - returns the number of members that are not dead,
 * in the own data centre or in all. */
size_t mr_member_table_count(const mr_member_table_t *table, bool all);

/** mr_member_table_status() - see mr_members_status(). */
json_t *mr_member_table_status(const mr_member_table_t *table);

#endif
