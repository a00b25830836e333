#ifndef MR_ENTRY_ADMIN_H
#define MR_ENTRY_ADMIN_H

/* HTTP endpoint for operators: metrics, health and status. */

#include "config/store.h"
#include "entry/listener.h"
#include "group/owner.h"
#include "limit/limit.h"
#include "member/member.h"

typedef struct mr_admin mr_admin_t;

typedef struct mr_admin_options {
    struct event_base *base;
    mr_counters_t *counters;
    mr_config_store_t *config;
    mr_limit_t *limit;
    mr_members_t *members;
    mr_owner_t *owner;
    const char *name;
    const char *data_centre;
    int64_t incarnation;
    const char *credential; /* that operators must present */
    mr_tls_t *tls;          /* NULL: plain HTTP */
} mr_admin_options_t;

mr_admin_t *mr_admin_create(const mr_admin_options_t *options);
void mr_admin_destroy(mr_admin_t *admin);

/** mr_admin_listen() - accept operators on "IP:port"; returns false on
 * failure. */
bool mr_admin_listen(mr_admin_t *admin, const char *address);

/** mr_admin_set_draining() - make the health check fail with status 503. */
void mr_admin_set_draining(mr_admin_t *admin);

#endif
