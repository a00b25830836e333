#ifndef MR_CONFIG_STORE_INTERNAL_H
#define MR_CONFIG_STORE_INTERNAL_H

/*
 * Parts of the configuration store, shared by the store*.c files only:
 *
 * store.c          creation, queries, status
 * store_apply.c    judges what was learnt; applies and stages versions
 * store_poll.c     reads the platform; first version after a start
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
    MR_CONFIG_POLLERS = 3,
    /* After two polls without news, an instance asks others itself. */
    MR_CONFIG_REFRESH_AGE_MS = 1000,
    /* Until the store is back, keys that a staged version withdraws count as
     * withdrawn after this time. */
    MR_CONFIG_PRESUME_AGE_MS = 2000,
    MR_CONFIG_PEER_TIMEOUT_MS = 1000,
    /* A time without ticks that counts as a pause: 1 s longer than the
     * interval, which is what it takes until others hold this instance for
     * dead and confirm a staged version without it. */
    MR_CONFIG_PAUSE_MS = MR_CONFIG_POLL_INTERVAL_MS + 1000,
    MR_CONFIG_MEMBERS_MAX = 1024, /* of one data centre */
    MR_CONFIG_TREE_DEGREE = 8,
};

/** A checked configuration and the row that names it. */
typedef struct mr_config_held {
    mr_config_head_t head;
    mr_config_t *config; /* NULL: none */
    char *body;
    size_t body_len;
    /* The last patch made for a peer: peers below one instance mostly have the
     * same base. */
    mr_config_patch_t patch;
    char patch_base[MR_CONFIG_HASH_HEX_BYTES];
} mr_config_held_t;

/** What the store held at one moment, learnt from it or from a peer. */
typedef struct mr_config_view {
    /* When the store was asked; early rather than late. */
    mr_ms_t contact;
    const char *source; /* peer's name; NULL: the store itself */
    bool has_head;
    mr_config_head_t head;
    mr_bytes_t body; /* empty: not known yet */
    bool has_staged; /* approved ones only */
    mr_config_head_t staged;
    mr_bytes_t staged_body;
    bool staged_unreadable; /* nothing is known about a staged version */
} mr_config_view_t;

/** Row of the own data centre's confirmation, as a poll saw it. */
typedef struct mr_config_confirm_row {
    int64_t revision; /* 0: no row */
    bool readable;
    mr_config_confirm_t value;
} mr_config_confirm_row_t;

typedef struct mr_config_subscriber {
    mr_config_change_fn_t fn;
    void *ctx;
} mr_config_subscriber_t;

/** A body that is being read from the object store. */
typedef struct mr_config_body_read {
    mr_config_store_t *store;
    bool active;
    bool staged;
    mr_config_view_t view; /* considered again when the body is there */
} mr_config_body_read_t;

/** Choice of the first version among peers; see store_poll.c. */
typedef struct mr_config_round {
    size_t open; /* calls without an end yet */
    char *best;  /* name of the peer with the highest version */
    int64_t best_version;
    int64_t best_staged;
    mr_ms_t started;
} mr_config_round_t;

/** Progress towards the confirmation of the staged version. */
typedef struct mr_config_confirming {
    mr_config_store_t *store;
    mr_config_confirm_t value; /* version 0: idle */
    mr_ms_t begin;             /* when it is this poller's turn */
    int64_t revision;          /* of the row, as the last poll saw it */
    GHashTable *holders;       /* names of members that hold the version */
    struct event *again;       /* asks those that did not */
    size_t open;               /* questions without an end yet */
    bool writing;
    /* A row that this instance wrote, or may have written, whose audit record
     * is still to come; version 0: none. */
    mr_config_confirm_t unrecorded;
    mr_config_confirm_t recording; /* of @append */
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

    mr_config_held_t current;
    mr_config_held_t staged;
    /* Body before the present one, for patches; without a configuration. */
    mr_config_held_t previous;
    mr_ms_t staged_as_of; /* last moment at which the store had it */
    mr_ms_t
        absent_as_of; /* last moment at which the store had none or another */
    mr_ms_t contact;  /* 0: never */
    char last_refusal[64];
    /* The last patch was no good: the next body is asked for as a whole. */
    bool whole_body;

    struct event *tick;
    mr_ms_t ticked_at;  /* 0: never */
    mr_ms_t resumed_at; /* end of a pause after which there was no news yet;
                           0: none */
    bool poller;
    bool polling;
    mr_ms_t poll_sent;
    mr_config_body_read_t body_read;
    mr_list_t peer_calls;
    mr_config_round_t round;
    size_t refresh_next;
    mr_config_confirming_t confirming;

    mr_ms_t announced_at;
    int64_t announced_version;
    char announced_staged[MR_CONFIG_HASH_HEX_BYTES];
};

/* store.c */

/** mr_config_store_refuse() - count a refusal; logged when it is a new one. */
void mr_config_store_refuse(mr_config_store_t *store, const char *reason,
                            int64_t version, const char *hash);

/* store_apply.c */

/** mr_config_store_consider() - take over what is new and valid in @view;
 * returns whether all of it is in force here. */
bool mr_config_store_consider(mr_config_store_t *store,
                              const mr_config_view_t *view);
void mr_config_held_clear(mr_config_held_t *held);

/** mr_config_staged_doubtful() - whether the newest report was of no staged
 * version; it then counts only until that is beyond doubt. */
bool mr_config_staged_doubtful(const mr_config_store_t *store);
bool mr_config_held_is(const mr_config_held_t *held, int64_t version,
                       const char *hash);

/* store_poll.c */

void mr_config_store_tick(evutil_socket_t fd, short what, void *ctx);

/* store_push.c */

/** mr_config_answer_fn_t - end of a question; @reply NULL: no answer. */
typedef void (*mr_config_answer_fn_t)(mr_config_store_t *store,
                                      const char *name,
                                      const mr_msg_config_t *reply,
                                      mr_ms_t sent);

/** mr_config_store_ask() - CONFIG_FETCH to @member. */
void mr_config_store_ask(mr_config_store_t *store, const mr_member_t *member,
                         int64_t after, mr_config_answer_fn_t fn);

/**
 * mr_config_store_update_from() - read what @member holds and consider it.
 * @announced: version that @member said to hold, 0 when it announced nothing;
 *             it is asked again while a question from before is open.
 */
void mr_config_store_update_from(mr_config_store_t *store,
                                 const mr_member_t *member, int64_t announced);

/** mr_config_store_announce() - tell the members below what is held. */
void mr_config_store_announce(mr_config_store_t *store);

void mr_config_store_on_push(void *ctx, mr_peer_request_t *request,
                             const mr_msg_t *msg, const char *from);
void mr_config_store_on_fetch(void *ctx, mr_peer_request_t *request,
                              const mr_msg_t *msg, const char *from);
void mr_config_store_on_version(void *ctx, const mr_member_t *member,
                                int64_t version);
void mr_config_store_drop_peer_calls(mr_config_store_t *store);

/* store_confirm.c */

/** mr_config_store_confirm() - go on with the confirmation after a poll. */
void mr_config_store_confirm(mr_config_store_t *store,
                             const mr_config_confirm_row_t *row, size_t rank);
void mr_config_store_confirm_open(mr_config_store_t *store);
void mr_config_store_confirm_close(mr_config_store_t *store);

#endif
