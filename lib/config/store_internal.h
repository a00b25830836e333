#ifndef MR_CONFIG_STORE_INTERNAL_H
#define MR_CONFIG_STORE_INTERNAL_H

/*
 * Internals of the configuration store, included by store*.c and its unit test
 * only:
 *
 * store.c          creation, queries, status
 * store_apply.c    validates, stages and applies versions
 * store_poll.c     polls the platform; first version after a start or pause
 * store_push.c     messages between instances
 * store_confirm.c  confirmation rows
 */

#include <glib.h>

#include "common/list.h"
#include "config/audit.h"
#include "config/patch.h"
#include "config/rows.h"
#include "config/store.h"

enum {
    MR_CONFIG_POLL_INTERVAL_MS = 500,
    MR_CONFIG_POLLERS_MAX = 3,
    /* Contact age at which an instance fetches from peers itself: two missed
     * polls. */
    MR_CONFIG_REFRESH_AGE_MS = 1000,
    /* Contact age at which keys that the staged version removes are treated as
     * revoked. */
    MR_CONFIG_ASSUME_REVOKED_AGE_MS = 2000,
    MR_CONFIG_PEER_TIMEOUT_MS = 1000,
    /* A longer gap between two ticks counts as a pause. 1 s plus the interval:
     * that is how long it takes until other instances declare this one dead
     * and confirm a staged version without it. */
    MR_CONFIG_PAUSE_MS = MR_CONFIG_POLL_INTERVAL_MS + 1000,
    MR_CONFIG_MEMBERS_MAX = 1024, /* per data centre */
    MR_CONFIG_TREE_DEGREE = 8,
};

/** A validated configuration and the row that names it. */
typedef struct mr_config_loaded {
    mr_config_head_t head;
    mr_config_t *config; /* NULL: none */
    char *body;
    size_t body_len;
    /* The last patch made for a peer, cached because the children of an
     * instance in the push tree mostly have the same base. */
    mr_config_patch_t patch;
    char patch_base[MR_CONFIG_HASH_HEX_BYTES];
} mr_config_loaded_t;

/** Content of the store at one moment, read from the store or from a peer. */
typedef struct mr_config_view {
    /* Time of contact with the store, taken before the read was sent, so that
     * the content is never older than it claims. */
    mr_ms_t contact_at;
    const char *source; /* name of the peer; NULL: the store itself */
    bool has_head;
    mr_config_head_t head;
    mr_bytes_t body; /* empty: not read yet */
    bool has_staged; /* only if approved */
    mr_config_head_t staged;
    mr_bytes_t staged_body;
    bool staged_unreadable; /* the staged version is unknown */
} mr_config_view_t;

/** Confirmation row of the own data centre, as read by a poll. */
typedef struct mr_config_confirm_row {
    int64_t revision; /* 0: no row */
    bool readable;
    mr_config_confirm_t value;
} mr_config_confirm_row_t;

typedef struct mr_config_subscriber {
    mr_config_change_fn_t fn;
    void *ctx;
} mr_config_subscriber_t;

/** An object store read of a body in progress. */
typedef struct mr_config_body_read {
    mr_config_store_t *store;
    bool active;           /* a read is in progress */
    bool staged;           /* the body is that of the staged version */
    mr_config_view_t view; /* merged again once the body is read */
} mr_config_body_read_t;

/** Query of all peers for the highest version; see store_poll.c. */
typedef struct mr_config_survey {
    size_t pending; /* calls in progress */
    char *best;     /* name of the peer with the highest version */
    int64_t best_version;
    int64_t best_staged;
    mr_ms_t started;
} mr_config_survey_t;

/** State of the confirmation of the staged version. */
typedef struct mr_config_confirming {
    mr_config_store_t *store;
    mr_config_confirm_t value; /* being confirmed; version 0: none */
    mr_ms_t starts_at;         /* time of the first query, by poller rank */
    int64_t revision;          /* of the row, as last read or written */
    GHashTable *holders;       /* names of members known to hold the version */
    struct event *retry_timer; /* queries the remaining members */
    size_t pending;            /* queries in progress */
    bool writing;
    /* A confirmation that this instance wrote, or may have written, and whose
     * audit record is not written yet; version 0: none. */
    mr_config_confirm_t unrecorded;
    mr_config_confirm_t recording; /* recorded by @append */
    mr_audit_append_t *append;     /* in progress; NULL: none */
} mr_config_confirming_t;

typedef struct mr_config_store_counters {
    mr_counter_t *polls;
    mr_counter_t *poll_failures;
    mr_counter_t *applied;
    mr_counter_t *staged;
    mr_counter_t *confirmed;
    mr_counter_t *confirm_incomplete;
    mr_counter_t *pushes_sent;
    mr_counter_t *pushes_received;
    mr_counter_t *peer_reads;
    mr_counter_t *patches;
    mr_counter_t *version;
} mr_config_store_counters_t;

struct mr_config_store {
    mr_config_store_options_t options;
    char *data_centre;
    char *name;
    uint8_t approver_key[MR_APPROVAL_PUBLIC_KEY_BYTES];
    mr_config_store_counters_t counters;
    GArray *subscribers; /* mr_config_subscriber_t */

    mr_config_loaded_t current;
    mr_config_loaded_t staged;
    /* The previous body, kept as a patch base; its config is NULL. */
    mr_config_loaded_t previous;
    /* Latest contact time of a view with @staged, and of one without a pending
     * staged version. */
    mr_ms_t staged_seen_at;
    mr_ms_t staged_missing_at;
    mr_ms_t contact_at; /* 0: never */
    char last_refusal[64];
    /* The last body or patch did not match: fetch the next body in full. */
    bool need_full_body;

    struct event *tick;
    mr_ms_t last_tick_at; /* 0: never */
    mr_ms_t resumed_at;   /* end of the last pause, until the instance has
                             caught up; 0: none */
    bool poller;
    bool polling;
    mr_ms_t poll_sent;
    mr_config_body_read_t body_read;
    mr_list_t peer_calls;
    mr_config_survey_t survey;
    size_t refresh_index;
    mr_config_confirming_t confirming;

    /* Time and content of the last push. */
    mr_ms_t announced_at;
    int64_t announced_version;
    char announced_staged[MR_CONFIG_HASH_HEX_BYTES];
};

/* store.c */

/** mr_config_store_refuse() - counts a refused version, and logs it unless it
 * repeats the previous refusal. */
void mr_config_store_refuse(mr_config_store_t *store, const char *reason,
                            int64_t version, const char *hash);

/* store_apply.c */

/** mr_config_store_merge() - applies and stages what is new and valid in
 * @view; returns false if its head was not applied or the body of its staged
 * version is not available yet. */
bool mr_config_store_merge(mr_config_store_t *store,
                           const mr_config_view_t *view);
void mr_config_loaded_clear(mr_config_loaded_t *loaded);

/** mr_config_staged_uncertain() - returns whether the latest view had no
 * pending staged version. The local one is kept until that is certain, but
 * neither confirmed nor passed on. */
bool mr_config_staged_uncertain(const mr_config_store_t *store);
bool mr_config_loaded_matches(const mr_config_loaded_t *loaded,
                              int64_t version, const char *hash);

/* store_poll.c */

void mr_config_store_tick(evutil_socket_t fd, short what, void *ctx);

/* store_push.c */

/** mr_config_reply_fn_t - completion of a fetch; @reply is NULL on failure. */
typedef void (*mr_config_reply_fn_t)(mr_config_store_t *store,
                                     const char *name,
                                     const mr_msg_config_t *reply,
                                     mr_ms_t sent);

/** mr_config_store_fetch() - sends CONFIG_FETCH to @member. */
void mr_config_store_fetch(mr_config_store_t *store, const mr_member_t *member,
                           int64_t after, mr_config_reply_fn_t fn);

/**
 * mr_config_store_update_from() - fetches the versions of @member and merges
 * them
 * @announced: version that @member announced, 0: none; a fetch in progress
 *             that was sent before that does not suppress this one
 */
void mr_config_store_update_from(mr_config_store_t *store,
                                 const mr_member_t *member, int64_t announced);

/** mr_config_store_announce() - pushes the current versions to the children in
 * the push tree. */
void mr_config_store_announce(mr_config_store_t *store);

void mr_config_store_on_push(void *ctx, mr_peer_request_t *request,
                             const mr_msg_t *msg, const char *from);
void mr_config_store_on_fetch(void *ctx, mr_peer_request_t *request,
                              const mr_msg_t *msg, const char *from);
void mr_config_store_on_version(void *ctx, const mr_member_t *member,
                                int64_t version);
void mr_config_store_cancel_peer_calls(mr_config_store_t *store);

/* store_confirm.c */

/**
 * mr_config_store_confirm() - starts or continues the confirmation of the
 * staged version after a poll
 * @row: the confirmation row that the poll returned
 * @rank: rank of this instance among the pollers
 */
void mr_config_store_confirm(mr_config_store_t *store,
                             const mr_config_confirm_row_t *row, size_t rank);
void mr_config_store_confirm_open(mr_config_store_t *store);
void mr_config_store_confirm_close(mr_config_store_t *store);

#endif
