#ifndef MR_MEMBER_MEMBER_H
#define MR_MEMBER_MEMBER_H

/*
 * Which instances there are. Liveness inside the own data centre comes from
 * pings; for other data centres the platform's list gives candidates, less
 * those whose links failed a moment ago. Nothing here decides safety.
 */

#include "common/counters.h"
#include "platform/platform.h"
#include "wire/peer.h"

/** State of a member; the values travel in messages. */
typedef enum mr_member_state {
    MR_MEMBER_LIVE,
    MR_MEMBER_SUSPECT,
    MR_MEMBER_LEAVING,
    MR_MEMBER_DEAD,
} mr_member_state_t;

/** struct mr_member - a member; valid until the caller returns to the loop */
typedef struct mr_member {
    const char *name;
    const char *data_centre;
    const char *address; /* of the peer listener */
    int64_t incarnation; /* of its process; 0 while it is only listed */
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

/** mr_members_change_fn_t - the set of usable members may have changed. */
typedef void (*mr_members_change_fn_t)(void *ctx);

mr_members_t *mr_members_create(const mr_members_options_t *options);

/** mr_members_destroy() - must come before mr_peer_destroy(). */
void mr_members_destroy(mr_members_t *members);

void mr_members_subscribe(mr_members_t *members, mr_members_change_fn_t fn,
                          void *ctx);

/** mr_members_unsubscribe() - end all subscriptions with @ctx. */
void mr_members_unsubscribe(mr_members_t *members, const void *ctx);

/** mr_members_find() - the member called @name, or NULL. */
const mr_member_t *mr_members_find(const mr_members_t *members,
                                   const char *name);

/**
 * mr_members_usable() - members that may be given work, in rendezvous order
 * @key: what the order is for
 * @data_centre: whose members
 * @out: receives up to @max members
 *
 * The own instance counts from the time when it has joined, that is, a member
 * has answered it or the list shows no other, until it leaves. Suspects come
 * behind the live members.
 *
 * Return: the number written.
 */
size_t mr_members_usable(const mr_members_t *members, const char *key,
                         const char *data_centre, const mr_member_t **out,
                         size_t max);

/**
 * mr_members_owner() - the owner of @key, at home in @data_centre
 *
 * When no instance of that data centre is usable, an instance of the next one
 * in rendezvous order.
 */
const mr_member_t *mr_members_owner(const mr_members_t *members,
                                    const char *key, const char *data_centre);

/** mr_members_generation() - grows whenever the answers of
 * mr_members_usable() and mr_members_owner() may have changed, so that callers
 * can keep them. */
uint64_t mr_members_generation(const mr_members_t *members);

/** mr_members_report_failure() - a link to a member failed. One of another
 * data centre is not used for a few seconds; one of the own data centre is
 * pinged at once. */
void mr_members_report_failure(mr_members_t *members, const char *name);

/** mr_members_target_leaving() - whether the list says that a target leaves.
 */
bool mr_members_target_leaving(const mr_members_t *members,
                               const char *target);

/** mr_members_set_config_version() - version that pings carry. */
void mr_members_set_config_version(mr_members_t *members, int64_t version);

/** mr_members_config_fn_t - a member reported a newer configuration. */
typedef void (*mr_members_config_fn_t)(void *ctx, const mr_member_t *member,
                                       int64_t version);
void mr_members_on_config_version(mr_members_t *members,
                                  mr_members_config_fn_t fn, void *ctx);

/** mr_members_leave() - announce that this instance leaves. */
void mr_members_leave(mr_members_t *members);

/** mr_members_status() - JSON array for the admin endpoint; new reference. */
json_t *mr_members_status(const mr_members_t *members);

#endif
