#ifndef MR_WIRE_MSG_H
#define MR_WIRE_MSG_H

/*
 * Typed messages between instances. A message is a msgpack array
 * [type, call, time sent, fields...]. Tables in msg.c describe the fields of
 * each type, so that a new message type needs only a struct and a table.
 */

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A sequence of bytes that is not owned by the message. */
typedef struct mr_bytes {
    const void *data;
    size_t len;
} mr_bytes_t;

/** Message types. The reply to type N has type N + 1. */
typedef enum mr_msg_type {
    MR_MSG_HELLO = 2,
    MR_MSG_HELLO_REPLY = 3,
    MR_MSG_EXECUTE = 10,
    MR_MSG_EXECUTE_REPLY = 11,
    MR_MSG_PROBE = 12,
    MR_MSG_PROBE_REPLY = 13,
    MR_MSG_PING = 20,
    MR_MSG_PING_REPLY = 21,
    MR_MSG_PING_REQ = 22,
    MR_MSG_PING_REQ_REPLY = 23,
    MR_MSG_CONFIG_FETCH = 30,
    MR_MSG_CONFIG_FETCH_REPLY = 31,
    MR_MSG_CONFIG_PUSH = 32,
    MR_MSG_GRANT = 40,
    MR_MSG_GRANT_REPLY = 41,
    MR_MSG_LEASE_PROMISE = 42,
    MR_MSG_LEASE_PROMISE_REPLY = 43,
    MR_MSG_GRANT_RETURN = 44,
    MR_MSG_REPORT = 50,
    MR_MSG_REPORT_REPLY = 51,
    MR_MSG_UPDATE_FETCH = 52,
    MR_MSG_UPDATE_FETCH_REPLY = 53,
    MR_MSG_UPDATE = 54, /* sent in the chunks of UPDATE_FETCH_REPLY */
    MR_MSG_SHARE_OPEN = 60,
    MR_MSG_SHARE_OPEN_REPLY = 61,
    MR_MSG_SHARE_QUERY = 62,
    MR_MSG_SHARE_QUERY_REPLY = 63,
    MR_MSG_SHARE_FETCH = 64,
    MR_MSG_SHARE_FETCH_REPLY = 65,
    MR_MSG_SHARE_RELEASE = 66, /* one-way */
    MR_MSG_SHARE_CLOSE = 68,   /* one-way */
} mr_msg_type_t;

/** HELLO or HELLO_REPLY, a message of the handshake on a link. */
typedef struct mr_msg_hello {
    const char *name;
    const char *data_centre;
    int64_t incarnation;
    mr_bytes_t nonce;
    mr_bytes_t proof; /* empty in the first HELLO */
} mr_msg_hello_t;

/** Operation that an EXECUTE requests from the pool owner. */
typedef enum mr_operation {
    MR_OPERATION_STATEMENT,
    MR_OPERATION_BEGIN,
    MR_OPERATION_COMMIT,
    MR_OPERATION_ROLLBACK,
} mr_operation_t;

/** Whether a statement changes data. */
typedef enum mr_access {
    MR_ACCESS_READ,
    MR_ACCESS_WRITE,
} mr_access_t;

/** Freshness that a read requires. */
typedef enum mr_freshness {
    MR_FRESHNESS_SESSION,
    MR_FRESHNESS_MAX_AGE,
    MR_FRESHNESS_PRESENT,
} mr_freshness_t;

typedef struct mr_msg_execute {
    const char *account;
    const char *group;
    const char *target;
    int64_t operation; /* mr_operation_t */
    int64_t access;    /* mr_access_t */
    int64_t freshness; /* mr_freshness_t */
    int64_t max_age_ms;
    int64_t token_term; /* reads must cover (term, position) */
    int64_t token_position;
    bool token_uncertain; /* the session has a write with unknown outcome */
    int64_t deadline_ms;  /* time left when the message was sent */
    int64_t min_term;     /* lowest term under which a write may run */
    int64_t max_term;     /* highest term under which a write may run */
    bool idempotent;
    const char *request_id;
    const char *transaction;
    mr_bytes_t statement; /* JSON */
} mr_msg_execute_t;

typedef struct mr_msg_execute_reply {
    int64_t error; /* mr_error_kind_t */
    const char *message;
    mr_bytes_t result; /* JSON */
    int64_t term;
    int64_t position;
    const char *target;          /* that served the request */
    bool primary;                /* whether that target was the primary */
    const char *covering_target; /* a target known to cover the write */
    const char *hint;  /* the group's primary, as known to the owner */
    int64_t hint_term; /* its term */
    const char *transaction;
    const char *instance; /* that holds the transaction */
    const char *address;  /* of that instance */
} mr_msg_execute_reply_t;

/** Asks another instance for its view of a group. */
typedef struct mr_msg_probe {
    const char *group;
} mr_msg_probe_t;

typedef struct mr_msg_probe_reply {
    const char *primary;
    int64_t term;
    bool healthy;
    bool has_pending_writes; /* this owner still has writes at the leaving
                                primary */
} mr_msg_probe_reply_t;

/** State of a member, as disseminated by the membership protocol. */
typedef struct mr_msg_member {
    const char *name;
    const char *data_centre;
    const char *address;
    int64_t incarnation;
    int64_t state; /* mr_member_state_t */
} mr_msg_member_t;

typedef struct mr_msg_ping {
    int64_t incarnation;
    int64_t config_version;
    mr_msg_member_t *changes;
    size_t change_count;
} mr_msg_ping_t;

typedef struct mr_msg_ping_req {
    const char *member;
    const char *address;
} mr_msg_ping_req_t;

typedef struct mr_msg_ping_req_reply {
    bool answered;
} mr_msg_ping_req_reply_t;

typedef struct mr_msg_config_fetch {
    int64_t after;    /* a version newer than this is requested */
    const char *base; /* hash of the body that the sender has, or "" */
} mr_msg_config_fetch_t;

/** A part of a patch: a range to copy from the base, then bytes to insert. */
typedef struct mr_msg_patch_part {
    int64_t offset;
    int64_t length;
    mr_bytes_t insert;
} mr_msg_patch_part_t;

/** A configuration and its staged successor, if any. A body is sent in full or
 * as a patch against the base that the receiver named. */
typedef struct mr_msg_config {
    int64_t version; /* 0: the sender has no configuration */
    mr_bytes_t head; /* canonical JSON of the head row */
    mr_bytes_t body; /* empty if the receiver has it */
    int64_t staged_version;
    mr_bytes_t staged_head;
    mr_bytes_t staged_body;
    int64_t store_age_ms; /* since the sender's last contact with the store */
    const char *base;     /* hash of the body that the patches apply to */
    mr_msg_patch_part_t *patch;
    size_t patch_count;
    mr_msg_patch_part_t *staged_patch;
    size_t staged_patch_count;
} mr_msg_config_t;

typedef struct mr_msg_grant {
    const char *account;
    int64_t demand_milli; /* recent demand, in thousandths of requests/s */
    int64_t wanted;       /* tokens needed immediately */
    int64_t process;      /* random id of the sender's process */
    int64_t held_long;    /* id of the long grant that it holds; 0: none */
    int64_t held_rate_milli;
    int64_t held_burst_milli;
    int64_t held_short; /* id of the short grant that it holds; 0: none */
    bool tokens_only;   /* from another data centre: tokens without a rate */
} mr_msg_grant_t;

/** A grant: immediate tokens, and a rate for a limited time. */
typedef struct mr_msg_grant_item {
    int64_t kind; /* mr_grant_kind_t */
    int64_t id;
    int64_t rate_milli; /* in thousandths of requests/s */
    int64_t burst_milli;
    int64_t lifetime_ms;
} mr_msg_grant_item_t;

typedef struct mr_msg_grant_reply {
    int64_t error;
    const char *owner; /* on MR_ERR_WRONG_OWNER: lease holder, or "" */
    mr_msg_grant_item_t *grants;
    size_t grant_count;
} mr_msg_grant_reply_t;

typedef struct mr_msg_lease_promise {
    const char *shard;
    int64_t epoch;
} mr_msg_lease_promise_t;

typedef struct mr_msg_lease_promise_reply {
    int64_t promised_ms; /* 0: no promise */
} mr_msg_lease_promise_reply_t;

typedef struct mr_msg_grant_return {
    const char *account;
    int64_t id;
    int64_t process;
} mr_msg_grant_return_t;

/** Registration of a database in the store. */
typedef struct mr_msg_registration {
    const char *id;
    mr_bytes_t value; /* empty: unchanged since the receiver's version */
    int64_t version;  /* of the row in the store */
    int64_t era;      /* of that version */
} mr_msg_registration_t;

/** Contents of the store, as known to an instance. The configuration and the
 * registrations are included only if those of the receiver are older. */
typedef struct mr_msg_directory {
    int64_t config_version;
    mr_bytes_t config;   /* in full, or empty if a patch is sent */
    int64_t config_base; /* version that the patch applies to */
    mr_msg_patch_part_t *config_patch;
    size_t config_patch_count;
    int64_t registrations_version; /* of the store when they were read */
    int64_t registrations_digest;  /* of the fields of them that are used */
    mr_msg_registration_t *registrations;
    size_t registration_count;
    int64_t registrations_era; /* of registrations_version */
    /* Last confirmation that there was no newer desired state than
     * confirmed_config; see session/confirmation.h. */
    int64_t confirmed_config;
    int64_t confirmed_version; /* of the store; 0: none */
    int64_t confirmed_era;     /* of confirmed_version */
    int64_t confirmed_age_ms;  /* when the message was sent */
} mr_msg_directory_t;

/** Tokens of a client account, requested in a report and granted in its reply.
 */
typedef struct mr_msg_draw {
    const char *account;
    int64_t milli; /* in thousandths of tokens */
} mr_msg_draw_t;

/** Health of a service's primary, as observed by an instance. */
typedef struct mr_msg_db_health {
    const char *service;
    const char *id;
    int64_t failing_ms;  /* since the first of the latest consecutive failures;
                            0: not failing */
    int64_t answered_ms; /* since the last answer; -1: never */
} mr_msg_db_health_t;

/** State of a service's primary, as known to the coordinator. */
typedef struct mr_msg_primary {
    const char *service;
    const char *promoted;     /* primary since the newest change; "": none */
    int64_t promoted_version; /* number of that change: the fencing token, or
                                 the revision of the registration */
    int64_t term;             /* term of the primary's log position */
    int64_t position;         /* the log position within the term */
    int64_t age_ms;           /* of the log position; -1: unknown */
} mr_msg_primary_t;

/** A service whose primary is not used, as its promotion is being prepared. */
typedef struct mr_msg_withheld {
    const char *service;
    int64_t number;      /* of the coordinator's decision */
    const char *primary; /* database that may be replaced; "": none */
    int64_t claim;       /* see mr_cluster_primary_claim() */
    int64_t age_ms;      /* since a coordinator last named it to the sender */
} mr_msg_withheld_t;

/** Periodic report of an instance to the coordinator. */
typedef struct mr_msg_report {
    const char *address; /* of the sender's listener for instances */
    bool refresh;        /* the sender's registrations may be out of date */
    mr_msg_directory_t directory;
    bool draws_tokens; /* false: the sender is not counted as a reporting
                          instance */
    mr_msg_draw_t *wants;
    size_t want_count;
    mr_msg_db_health_t *health;
    size_t health_count;
    const char *data_centre; /* of the sender */
    bool defers_config;      /* no desired state with the reply, please */
    int64_t link_mbps;       /* of the sender's network link; 0: unknown */
    /* Time of the receiver's reply that the sender's support follows, by the
     * receiver's clock; 0: the sender does not support it. */
    int64_t support;
    bool provisional; /* an earlier process of the sender may have supported
                         another coordinator shortly before */
    mr_msg_withheld_t *withheld;
    size_t withheld_count;
    mr_msg_primary_t *promotions; /* recent ones; of the positions, the term
                                     alone */
    size_t promotion_count;
} mr_msg_report_t;

typedef struct mr_msg_report_reply {
    int64_t instances;   /* number of instances that may admit operations */
    int64_t lifetime_ms; /* of the tokens, counted from the report's sending */
    bool store_failing;  /* the sender cannot read the store, so that the
                            receiver must read it itself */
    mr_msg_directory_t directory;
    mr_msg_draw_t *draws; /* in the order of the report's wants */
    size_t draw_count;
    mr_msg_primary_t *primaries;
    size_t primary_count;
    /* Instance to fetch newer contents from, if they are too large for this
     * message; "": none at present. */
    const char *source;
    const char *source_address;
    bool lease_granted; /* the receiver may use the primaries, except those of
                           the withheld services */
    mr_msg_withheld_t *withheld;
    size_t withheld_count;
    bool leaving; /* the sender no longer coordinates */
} mr_msg_report_reply_t;

/** Requests the next chunk of an update. */
typedef struct mr_msg_update_fetch {
    int64_t id; /* of the update whose chunks were received; 0: none so far */
    int64_t offset;
    mr_msg_directory_t known; /* versions that the sender has; no contents */
} mr_msg_update_fetch_t;

typedef struct mr_msg_update_chunk {
    bool busy;    /* no chunk, as too many other transfers are in progress */
    int64_t id;   /* differs from the one requested if a newer update begins */
    int64_t size; /* of the whole update, bytes; 0: no chunk */
    int64_t offset;
    mr_bytes_t data;
} mr_msg_update_chunk_t;

/** Query on a connection that the receiver lends to the sender. */
typedef struct mr_msg_share_query {
    int64_t loan;       /* number of the loan, unique for the sender */
    int64_t number;     /* of the query, from 1 */
    const char *id;     /* request id for the database */
    int64_t after_term; /* position that the database's log must hold; 0: none
                         */
    int64_t after_number;
    mr_bytes_t statement;
    int64_t left_ms; /* time left when the message was sent */
    bool commits;    /* success means that a write is committed */
} mr_msg_share_query_t;

/** Asks for a connection and carries the first query. */
typedef struct mr_msg_share_open {
    const char *service;
    const char *db;
    const char *address; /* of the database, as known to the sender */
    const char *account;
    int64_t wait_ms; /* longest wait for a connection */
    mr_msg_share_query_t query;
} mr_msg_share_open_t;

/** What happened to a query. */
typedef enum mr_share_outcome {
    MR_SHARE_ANSWERED, /* the database replied */
    MR_SHARE_NOT_SENT, /* to the database; the loan has ended */
    MR_SHARE_LOST,     /* the connection ended before the reply */
} mr_share_outcome_t;

/** SHARE_OPEN_REPLY and SHARE_QUERY_REPLY. */
typedef struct mr_msg_share_reply {
    int64_t outcome; /* mr_share_outcome_t */
    int64_t error;   /* mr_error_kind_t of the database's reply */
    const char *detail;
    int64_t state; /* mr_tx_state_t */
    int64_t term;  /* log position */
    int64_t position;
    mr_bytes_t body;   /* start of the rows and the COMPLETE message */
    int64_t body_size; /* of all of them; SHARE_FETCH reads the rest */
    bool unwilling;    /* the sender grants no connections at present */
} mr_msg_share_reply_t;

typedef struct mr_msg_share_fetch {
    int64_t loan;
    int64_t number; /* of the query */
    int64_t offset;
} mr_msg_share_fetch_t;

typedef struct mr_msg_share_fetch_reply {
    mr_bytes_t data; /* empty: not available */
} mr_msg_share_fetch_reply_t;

/** SHARE_RELEASE and SHARE_CLOSE: ends a loan. A released connection may be
 * used again. */
typedef struct mr_msg_share_end {
    int64_t loan;
} mr_msg_share_end_t;

/** A message of any type. */
typedef struct mr_msg {
    mr_msg_type_t type;
    int64_t call;    /* 0: one-way */
    int64_t sent_at; /* sender's clock; set by mr_msg_encode() */
    int64_t late_ms; /* how much later than usual it was received */
    union {
        mr_msg_hello_t hello; /* HELLO and HELLO_REPLY */
        mr_msg_execute_t execute;
        mr_msg_execute_reply_t execute_reply;
        mr_msg_probe_t probe;
        mr_msg_probe_reply_t probe_reply;
        mr_msg_ping_t ping; /* PING and PING_REPLY */
        mr_msg_ping_req_t ping_req;
        mr_msg_ping_req_reply_t ping_req_reply;
        mr_msg_config_fetch_t config_fetch;
        mr_msg_config_t config; /* CONFIG_FETCH_REPLY and CONFIG_PUSH */
        mr_msg_grant_t grant;
        mr_msg_grant_reply_t grant_reply;
        mr_msg_lease_promise_t lease_promise;
        mr_msg_lease_promise_reply_t lease_promise_reply;
        mr_msg_grant_return_t grant_return;
        mr_msg_report_t report;
        mr_msg_report_reply_t report_reply;
        mr_msg_update_fetch_t update_fetch;
        mr_msg_update_chunk_t update_chunk; /* UPDATE_FETCH_REPLY */
        mr_msg_directory_t update;
        mr_msg_share_open_t share_open;
        mr_msg_share_query_t share_query;
        mr_msg_share_reply_t share_reply;
        mr_msg_share_fetch_t share_fetch;
        mr_msg_share_fetch_reply_t share_fetch_reply;
        mr_msg_share_end_t share_end;
    } u;
} mr_msg_t;

/** A decoded message and the memory that it points into. */
typedef struct mr_msg_decoded {
    msgpack_unpacked unpacked;
    mr_msg_t msg;
} mr_msg_decoded_t;

/** mr_msg_encode() - append @msg to @out in msgpack format. */
void mr_msg_encode(const mr_msg_t *msg, msgpack_sbuffer *out);

/** Result of mr_msg_decode(). */
typedef enum mr_msg_result {
    MR_MSG_VALID,
    MR_MSG_MALFORMED,
    MR_MSG_UNKNOWN_TYPE,
} mr_msg_result_t;

/**
 * mr_msg_decode() - decode one message
 * @data, @len: exactly one msgpack value
 * @holder: receives the message; strings and lists point into it
 *
 * Strings of a decoded message are never NULL. Fields after the known ones are
 * ignored, so that newer senders can add fields.
 *
 * Return: MR_MSG_VALID on success; @holder must then be released with
 *         mr_msg_release().
 */
mr_msg_result_t mr_msg_decode(const void *data, size_t len,
                              mr_msg_decoded_t *holder);
void mr_msg_release(mr_msg_decoded_t *holder);

#endif
