#ifndef MR_ENTRY_ADMIN_H
#define MR_ENTRY_ADMIN_H

/* The operators' HTTP listener: counters, health and status. */

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
    const char *credential; /* of operators */
    mr_tls_t *tls;          /* NULL: none */
} mr_admin_options_t;

mr_admin_t *mr_admin_create(const mr_admin_options_t *options);
void mr_admin_destroy(mr_admin_t *admin);

/** mr_admin_listen() - accept operators on "IP:port". */
bool mr_admin_listen(mr_admin_t *admin, const char *address);

/** mr_admin_set_draining() - health answers 503 from now on. */
void mr_admin_set_draining(mr_admin_t *admin);

#endif
