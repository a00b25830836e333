#ifndef MR_WIRE_MSG_H
#define MR_WIRE_MSG_H

/*
 * Typed messages between instances. A message is one msgpack array
 * [type, call, time sent, fields...]; a table in msg.c describes the fields of
 * each type, so that a new message needs a struct and a table row.
 */

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Bytes that a message refers to; not owned. */
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
} mr_msg_type_t;

/** First message in each direction of a link. */
typedef struct mr_msg_hello {
    const char *name;
    const char *data_centre;
    int64_t incarnation;
    mr_bytes_t nonce;
    mr_bytes_t proof;
} mr_msg_hello_t;

/** What an EXECUTE asks of the pool owner. */
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

/** Which data a read accepts. */
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
    int64_t token_term;
    int64_t token_position;
    bool token_uncertain;
    int64_t deadline_ms; /* time left when the message was sent */
    int64_t min_term;    /* writes run only under this term or a higher one, */
    int64_t max_term;    /* and only under this one or a lower one */
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
    const char *target;   /* that served */
    bool primary;         /* the serving target's role */
    const char *covering; /* a target known to cover the write */
    const char *hint;     /* the group's primary, as the owner sees it */
    int64_t hint_term;
    const char *transaction;
    const char *instance; /* that holds the transaction */
    const char *address;  /* of that instance */
} mr_msg_execute_reply_t;

/** Asks an observer in another place how it sees a group. */
typedef struct mr_msg_probe {
    const char *group;
} mr_msg_probe_t;

typedef struct mr_msg_probe_reply {
    const char *primary;
    int64_t term;
    bool healthy;
    bool writing; /* the leaving primary still has writes of this owner */
} mr_msg_probe_reply_t;

/** State of a member, as membership spreads it. */
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
    int64_t after;
    const char *base; /* hash of the body that the sender has; may be "" */
} mr_msg_config_fetch_t;

/** Bytes copied from the base, and then bytes to insert. */
typedef struct mr_msg_patch_part {
    int64_t offset;
    int64_t length;
    mr_bytes_t insert;
} mr_msg_patch_part_t;

/** A configuration with its staged successor, if any. A body is sent whole or
 * as a patch of the base that the receiver named. */
typedef struct mr_msg_config {
    int64_t version; /* 0: the sender has none */
    mr_bytes_t head; /* canonical JSON of the head row */
    mr_bytes_t body; /* empty when the receiver has it */
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
    int64_t demand_milli; /* recent demand, thousandths of requests/s */
    int64_t wanted;       /* tokens wanted at once */
    int64_t process;      /* random number of the sender's process */
    int64_t held_long;    /* id of the long grant that it holds, 0: none */
    int64_t held_rate_milli;
    int64_t held_burst_milli;
    int64_t held_short; /* id of the short grant that it holds, 0: none */
    bool tokens_only;   /* from another data centre: tokens at once, no rate */
} mr_msg_grant_t;

/** One grant: tokens at once and a rate for a lifetime. */
typedef struct mr_msg_grant_item {
    int64_t kind; /* mr_grant_kind_t */
    int64_t id;
    int64_t rate_milli; /* thousandths of requests/s */
    int64_t burst_milli;
    int64_t lifetime_ms;
} mr_msg_grant_item_t;

typedef struct mr_msg_grant_reply {
    int64_t error;
    const char *owner; /* the limiter, when the receiver is not it */
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

/** Registration of a database, as the store holds it. */
typedef struct mr_msg_registration {
    const char *id;
    mr_bytes_t value; /* empty: as the receiver has it */
    int64_t version;  /* of the store's row */
} mr_msg_registration_t;

/** What an instance knows from the store. The bodies are empty unless the
 * receiver has older ones. */
typedef struct mr_msg_directory {
    int64_t config_version;
    mr_bytes_t config;   /* whole, or empty ... */
    int64_t config_base; /* ... and a patch of this version */
    mr_msg_patch_part_t *config_patch;
    size_t config_patch_count;
    int64_t registrations_version; /* of the store when they were read */
    int64_t registrations_digest;  /* over what matters of them */
    mr_msg_registration_t *registrations;
    size_t registration_count;
} mr_msg_directory_t;

/** Tokens of a client account, wanted in a report and given in its reply. */
typedef struct mr_msg_draw {
    const char *account;
    int64_t milli; /* thousandths of tokens */
} mr_msg_draw_t;

/** How an instance sees the primary of a service. */
typedef struct mr_msg_db_health {
    const char *service;
    const char *id;
    int64_t failing_ms;  /* since the first failure in a row; 0: none */
    int64_t answered_ms; /* since the last answer; -1: none */
} mr_msg_db_health_t;

/** Sent to the coordinator from time to time. */
typedef struct mr_msg_report {
    const char *address; /* that the sender listens on for instances */
    bool refresh;        /* registrations seem to be out of date */
    mr_msg_directory_t directory;
    bool draws; /* false: the sender does not count as a reporting one */
    mr_msg_draw_t *wants;
    size_t want_count;
    mr_msg_db_health_t *health;
    size_t health_count;
} mr_msg_report_t;

/** What the coordinator knows of a service's primary. */
typedef struct mr_msg_primary {
    const char *service;
    const char *promoted;     /* "": no promotion is known */
    int64_t promoted_version; /* its fencing token */
    int64_t term;             /* log position of the primary ... */
    int64_t number;
    int64_t age_ms; /* ... this long ago; -1: not known */
} mr_msg_primary_t;

typedef struct mr_msg_report_reply {
    int64_t instances;   /* that may admit operations */
    int64_t lifetime_ms; /* of the tokens, from when the report was sent */
    bool store_failing;  /* for the sender: the receiver reads it itself */
    mr_msg_directory_t directory;
    mr_msg_draw_t *draws; /* for each of the wants */
    size_t draw_count;
    mr_msg_primary_t *primaries;
    size_t primary_count;
} mr_msg_report_reply_t;

/** struct mr_msg - a message of any type */
typedef struct mr_msg {
    mr_msg_type_t type;
    int64_t call;    /* 0: one-way */
    int64_t sent_at; /* sender's clock; set by mr_msg_encode() */
    int64_t late_ms; /* how much later than usual it arrived; received ones */
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
    } u;
} mr_msg_t;

/** Memory of a decoded message. */
typedef struct mr_msg_holder {
    msgpack_unpacked unpacked;
    mr_msg_t msg;
} mr_msg_holder_t;

/** mr_msg_encode() - append @msg's msgpack form to @out. */
void mr_msg_encode(const mr_msg_t *msg, msgpack_sbuffer *out);

/** What decoding found. */
typedef enum mr_msg_result {
    MR_MSG_GOOD,
    MR_MSG_MALFORMED,
    MR_MSG_UNKNOWN_TYPE,
} mr_msg_result_t;

/**
 * mr_msg_decode() - read one message
 * @data, @len: exactly one msgpack value
 * @holder: receives the message; strings and lists point into it
 *
 * Strings of a decoded message are never NULL. Further fields behind the known
 * ones are skipped, so that a newer sender can add some.
 *
 * Return: MR_MSG_GOOD when @holder must be released with mr_msg_release().
 */
mr_msg_result_t mr_msg_decode(const void *data, size_t len,
                              mr_msg_holder_t *holder);
void mr_msg_release(mr_msg_holder_t *holder);

#endif
