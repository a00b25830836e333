#ifndef MR_SESSION_CLIENT_H
#define MR_SESSION_CLIENT_H

/* Shared by relay.c (listener, clients' messages), client.c (session state)
 * and run.c (one statement on its way to a database). */

#include <event2/bufferevent.h>

#include "common/histogram.h"
#include "common/list.h"
#include "session/line.h"
#include "session/linkpool.h"
#include "session/relay.h"

typedef struct mr_client mr_client_t;

struct mr_relay {
    mr_relay_options_t options;
    mr_catalog_t *catalog; /* NULL until one is known */
    struct evconnlistener *listener;
    mr_list_t sessions;
    size_t session_count;
    uint64_t last_serial;
    bool draining;
    mr_counter_t *opened;
    mr_counter_t *operations;
    mr_counter_t *limited;
    mr_counter_t *retries;
    mr_counter_t *answers[MR_ERROR_COUNT];
    mr_histogram_t latency;  /* of statements that succeeded */
    mr_histogram_t failures; /* of statements that failed */
};

/** Value or prepared statement of a session. */
typedef struct mr_setting {
    mr_list_t link;
    char *name;
    char *statement; /* that sets it */
    bool prepared;
    bool read_only; /* of a prepared statement */
} mr_setting_t;

typedef enum mr_run_stage {
    MR_RUN_NONE,
    MR_RUN_ADMISSION, /* for a token of the client account */
    MR_RUN_WAITING,   /* for a database that can take it */
    MR_RUN_OPENING,
    MR_RUN_PREPARING, /* session values are being set */
    MR_RUN_BEGINNING,
    MR_RUN_SENT,
} mr_run_stage_t;

/** What a statement needs of its database. */
typedef enum mr_run_mode {
    MR_RUN_WRITE,    /* at the primary */
    MR_RUN_PRESENT,  /* read that the primary's own transaction proves */
    MR_RUN_AGED,     /* read at any log that holds a position */
    MR_RUN_FIRST,    /* first statement of a transaction */
    MR_RUN_CONTINUE, /* on the transaction's connection */
} mr_run_mode_t;

/** One statement on its way. */
typedef struct mr_run {
    mr_run_stage_t stage;
    mr_run_mode_t mode;
    mr_line_t line; /* the client's message */
    mr_command_t statement;
    bool writes;
    mr_db_conn_t *conn;
    mr_conn_waiter_t *waiter; /* for a connection ... */
    mr_ms_t wait_until;       /* ... up to this time */
    mr_db_t *wait_db;
    const mr_db_t *failed_db;
    mr_position_t min_position;
    bool begin_at_replica; /* begins a transaction at a replica */
    bool needs_position;   /* at the primary only since no position is known */
    int attempts;
    bool sent_before; /* a database had it in its hands */
    bool
        conn_reusable; /* the connection of this attempt is in a known state */
    int setup_pending;
    mr_ms_t started_at;
    char target[MR_NAME_MAX_BYTES]; /* that was chosen last */
    mr_ms_t sent_at;
    mr_error_kind_t last_error;
    struct event *timer;
} mr_run_t;

struct mr_client {
    mr_list_t link;
    mr_relay_t *relay;
    struct bufferevent *stream;
    uint64_t serial;
    uint64_t version; /* of its values and prepared statements */
    char *database;   /* NULL until it is open */
    char *credential;
    char *account; /* that the databases are told */
    mr_list_t settings;
    mr_position_t position; /* newest commit of this session */
    mr_catalog_t *catalog;  /* of the present operation */
    const mr_catalog_route_t *route;
    mr_tx_state_t tx;
    bool tx_read_only;
    bool tx_wrote;
    bool waited_for_token; /* the message at hand has waited for a token */
    bool closing;          /* once the output is written */
    mr_db_conn_t *tx_conn; /* NULL until the first statement runs */
    bool tx_lost;          /* its connection ended; nothing of it is kept */
    mr_run_t run;
};

/* client.c */
void mr_client_create(mr_relay_t *relay, evutil_socket_t fd);
void mr_client_destroy(mr_client_t *session);
/** mr_client_next() - handle the client's next message, if any. */
void mr_client_next(mr_client_t *session);
/** mr_client_abort() - end the session's open transaction and the session. */
void mr_client_abort(mr_client_t *session);
/** mr_client_answer_error() - @retry_after: negative when not known. */
void mr_client_answer_error(mr_client_t *session, mr_error_kind_t error,
                            const char *detail, mr_ms_t retry_after);
/** mr_client_refuse() - the same for request @id that no database had, with a
 * line in the log. */
void mr_client_refuse(mr_client_t *session, const char *id,
                      mr_error_kind_t error, const char *detail,
                      mr_ms_t retry_after);
void mr_client_answer(mr_client_t *session, struct evbuffer *body);
mr_setting_t *mr_client_setting(mr_client_t *session, const char *name,
                                bool prepared);

/** mr_client_admit() - tokens were drawn for what was wanted at @asked_at. */
void mr_client_admit(mr_client_t *session, mr_ms_t asked_at);

/* run.c */
/** mr_run_park() - keep @line, which is taken over, until a token comes. */
void mr_run_park(mr_client_t *session, mr_line_t *line);
/** mr_run_unpark() - give the parked message back to @line. */
void mr_run_unpark(mr_client_t *session, mr_line_t *line);
/** mr_run_start() - run the statement in session->run.line. */
void mr_run_start(mr_client_t *session);
/** mr_run_cancel() - the client left. */
void mr_run_cancel(mr_client_t *session);
/** mr_run_end_transaction() - roll the open transaction back. */
void mr_run_end_transaction(mr_client_t *session);

#endif
