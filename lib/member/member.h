#ifndef MR_MEMBER_MEMBER_H
#define MR_MEMBER_MEMBER_H

/*
 * Membership: which instances exist and are usable. Liveness within the own
 * data centre comes from pings. For other data centres the candidates come
 * from the list of the platform, without those whose links failed recently.
 * Correctness never depends on membership being accurate.
 */

#include "common/counters.h"
#include "platform/platform.h"
#include "wire/peer.h"

/** State of a member. The values are part of the message format. */
typedef enum mr_member_state {
    MR_MEMBER_LIVE,
    MR_MEMBER_SUSPECT,
    MR_MEMBER_LEAVING,
    MR_MEMBER_DEAD,
} mr_member_state_t;

/** struct mr_member - a member; valid until control returns to the event loop
 */
typedef struct mr_member {
    const char *name;
    const char *data_centre;
    const char *address; /* address of its peer listener */
    /* Incarnation of its process; 0: known from the list only. */
    int64_t incarnation;
    mr_member_state_t state;
} mr_member_t;

typedef struct mr_members mr_members_t;

typedef struct mr_members_options {
    struct event_base *base;
    mr_counters_t *counters;
    mr_platform_t *platform;
    mr_peer_t *peer;
    const char *name;
    const char *data_centre;
    const char *address;
    int64_t incarnation; /* at most 2^51, such as milliseconds since 1970 */
} mr_members_options_t;

/** mr_members_change_fn_t - called when the set of usable members may have
 * changed. */
typedef void (*mr_members_change_fn_t)(void *ctx);

mr_members_t *mr_members_create(const mr_members_options_t *options);

/** mr_members_destroy() - must be called before mr_peer_destroy(). */
void mr_members_destroy(mr_members_t *members);

void mr_members_subscribe(mr_members_t *members, mr_members_change_fn_t fn,
                          void *ctx);

/** mr_members_unsubscribe() - removes all subscriptions with @ctx. */
void mr_members_unsubscribe(mr_members_t *members, const void *ctx);

/** mr_members_find() - returns the member with this name, or NULL. */
const mr_member_t *mr_members_find(const mr_members_t *members,
                                   const char *name);

/**
 * mr_members_usable() - lists members that can be given work, in rendezvous
 * order
 * @key: key that determines the order
 * @data_centre: data centre of the members
 * @out: receives up to @max members
 *
 * The own instance is usable from the time it has joined until it leaves. It
 * has joined when a member has answered it or the list shows no other one.
 * Suspect members rank behind live ones.
 *
 * Return: the number of members in @out.
 */
size_t mr_members_usable(const mr_members_t *members, const char *key,
                         const char *data_centre, const mr_member_t **out,
                         size_t max);

/**
 * mr_members_owner() - returns the owner of @key: the first instance that
 * mr_members_usable() lists for @data_centre
 *
 * If no instance of that data centre is usable, the owner is an instance of
 * the next data centre in rendezvous order; NULL if there is none.
 */
const mr_member_t *mr_members_owner(const mr_members_t *members,
                                    const char *key, const char *data_centre);

/** mr_members_generation() - returns a counter that increases whenever the
 * results of mr_members_usable() and mr_members_owner() may have changed, so
 * that callers can cache them. */
uint64_t mr_members_generation(const mr_members_t *members);

/** mr_members_report_failure() - reports that a link to a member failed. A
 * member of another data centre is avoided for a few seconds; one of the own
 * data centre is pinged immediately. */
void mr_members_report_failure(mr_members_t *members, const char *name);

/** mr_members_target_leaving() - returns whether the list marks a target as
 * leaving. */
bool mr_members_target_leaving(const mr_members_t *members,
                               const char *target);

/** mr_members_set_config_version() - sets the configuration version that pings
 * carry. */
void mr_members_set_config_version(mr_members_t *members, int64_t version);

/** mr_members_config_fn_t - called when a member reports a newer configuration
 * version than the own one. */
typedef void (*mr_members_config_fn_t)(void *ctx, const mr_member_t *member,
                                       int64_t version);
void mr_members_on_config_version(mr_members_t *members,
                                  mr_members_config_fn_t fn, void *ctx);

/** mr_members_leave() - announces that this instance is leaving. */
void mr_members_leave(mr_members_t *members);

/** mr_members_status() - returns a JSON array for the admin endpoint; the
 * caller owns the reference. */
json_t *mr_members_status(const mr_members_t *members);

#endif
