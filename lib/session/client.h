#ifndef MR_SESSION_CLIENT_H
#define MR_SESSION_CLIENT_H

/* Shared by relay.c (listener), client.c (sessions and their messages) and
 * run.c (execution of a statement). */

#include <event2/bufferevent.h>

#include "admission/client_budget.h"
#include "common/histogram.h"
#include "common/list.h"
#include "session/conn_pool.h"
#include "session/line.h"
#include "session/relay.h"
#include "session/session_state.h"

typedef struct mr_client mr_client_t;

/** Sessions up to this size are not closed to free memory; it is also the
 * input that is read ahead while a statement runs. */
enum { MR_CLIENT_SMALL_BYTES = 64 * 1024 };

struct mr_relay {
    mr_relay_options_t options;
    mr_catalog_t *catalog; /* NULL until the first one is known */
    struct evconnlistener *listener;
    mr_list_t sessions;
    size_t session_count;
    uint64_t last_serial;
    bool draining;
    bool ending_transactions; /* open ones end with their next request */
    uint32_t refusals;        /* for lack of memory or by evacuation */
    mr_ms_t room_made_at;     /* see make_room() */
    mr_ms_t no_room_logged_at;
    int64_t no_room_unlogged; /* refused connections */
    mr_counter_t *no_room;
    mr_counter_t *disconnected[MR_CLIENT_STATES];
    struct event *large_input; /* activated when a session has much input */
    mr_counter_t *opened;
    mr_counter_t *operations;
    mr_counter_t *limited;
    mr_counter_t *not_leased;
    mr_counter_t *outside_regions;
    mr_counter_t *cold_waits;
    mr_counter_t *cold_refused;
    mr_counter_t *shed;
    mr_counter_t *retries;
    mr_counter_t *evacuated;       /* statements refused */
    mr_counter_t *evacuated_ended; /* transactions */
    mr_counter_t *answers[MR_ERROR_COUNT];
    mr_histogram_t latency;  /* of statements that succeeded */
    mr_histogram_t failures; /* of statements that failed */
};

typedef enum mr_run_stage {
    MR_RUN_NONE,
    MR_RUN_TOKEN_WAIT, /* for a token of the client account */
    MR_RUN_WAITING,    /* before another attempt */
    MR_RUN_CONNECTING,
    MR_RUN_SETUP, /* session values are being applied */
    MR_RUN_BEGINNING,
    MR_RUN_SENT,
    MR_RUN_COLD_WAIT, /* for a token of the database, with a connection */
} mr_run_stage_t;

/** What a statement does once it has a token of a cold database. */
typedef enum mr_run_cold_step {
    MR_RUN_COLD_SETUP, /* sends the next session value */
    MR_RUN_COLD_BEGIN,
    MR_RUN_COLD_STATEMENT,
} mr_run_cold_step_t;

/** How a statement is executed. */
typedef enum mr_run_mode {
    MR_RUN_WRITE,         /* at the primary */
    MR_RUN_PRIMARY_READ,  /* read in a transaction, which only the primary
                             begins: proves that the data is current */
    MR_RUN_POSITION_READ, /* read at any database whose log holds a position */
    MR_RUN_TX_FIRST,      /* first statement of a transaction */
    MR_RUN_TX_NEXT,       /* on the transaction's connection */
} mr_run_mode_t;

/** The statement that a session executes. */
typedef struct mr_run {
    mr_run_stage_t stage;
    mr_run_mode_t mode;
    mr_line_t line; /* the client's message */
    mr_command_t statement;
    bool writes;
    mr_db_conn_t *conn;
    mr_conn_waiter_t *waiter; /* for a connection to wait_db */
    mr_ms_t wait_until;
    mr_db_t *wait_db;
    const mr_db_t *failed_db; /* database of the last failed attempt */
    mr_position_t min_position;
    bool begin_at_replica; /* begins a read-only transaction at a replica */
    bool needs_lease;      /* could only go to the primary, which must not be
                              used at present */
    bool evacuated;        /* could only go to a database in an evacuated data
                              centre */
    bool needs_position;   /* goes to the primary only because no recent enough
                              position is known */
    bool outside_regions;  /* no database that can run it is in an allowed
                              region */
    int attempts;
    bool sent_before;   /* it has been sent to a database */
    bool conn_reusable; /* the connection of this attempt has a known state */
    int setup_pending;
    bool prepared;         /* something was sent for it on this connection */
    bool setup_resets;     /* a reset of the connection is due first */
    mr_list_t *setup_next; /* next session value, or change, to send */
    mr_run_cold_step_t cold_step;
    mr_cold_wait_t *cold_wait; /* NULL: does not wait */
    mr_ms_t started_at;
    int64_t waited_after; /* mr_quota_round() when it began to wait for a
                             token; a later one covers it */
    char target[MR_NAME_MAX_BYTES]; /* database of the last attempt */
    mr_ms_t sent_at;
    mr_error_kind_t last_error;
    struct event *timer;
} mr_run_t;

struct mr_client {
    mr_list_t link;
    mr_relay_t *relay;
    struct bufferevent *stream;
    uint64_t serial;
    char *database; /* NULL until the session is open */
    char *credential;
    char *account;             /* client account, as named to the databases */
    mr_session_state_t *state; /* values and prepared statements */
    mr_position_t position;    /* newest commit of this session */
    mr_catalog_t *catalog;     /* desired state of the current operation; NULL
                                  between operations */
    const mr_catalog_route_t *route;
    mr_tx_state_t tx;
    bool tx_read_only;
    bool tx_wrote;
    bool waited_for_token; /* the current message has waited for a token */
    bool closing;          /* ends once its output is written */
    bool idle_before;  /* nothing arrived since mr_relay_abort_transactions()
                          was last called */
    mr_ms_t active_at; /* of its connection, last whole message or answer */
    size_t searched;   /* bytes of the input without an end of line */
    size_t run_bytes;  /* of a large statement and its values; valid while a
                          statement runs */
    bool input_paused; /* until the buffered input is handled */
    bool output_full;  /* no input is handled until it is written */
    mr_db_conn_t *tx_conn; /* NULL until the first statement has run */
    bool tx_lost; /* its connection was lost; the database rolls it back */
    mr_run_t run;
};

/* client.c */
void mr_client_create(mr_relay_t *relay, evutil_socket_t fd);
void mr_client_destroy(mr_client_t *session);
size_t mr_client_input_bytes(const mr_client_t *session);
size_t mr_client_output_bytes(const mr_client_t *session);
/** mr_client_buffer_bytes() - unread input and unsent output. */
size_t mr_client_buffer_bytes(const mr_client_t *session);
/** mr_client_held_bytes() - the buffers and the session's values. */
size_t mr_client_held_bytes(const mr_client_t *session);
/** mr_client_is_idle() - whether no operation is under way. */
bool mr_client_is_idle(const mr_client_t *session);
/** mr_client_use() - what the session holds and does; account_clients is not
 * set. */
mr_client_use_t mr_client_use(const mr_client_t *session);
/** mr_client_shed() - end an idle session to free its memory. */
void mr_client_shed(mr_client_t *session);
/** mr_client_process_input() - handle the messages that have arrived, up to
 * the next statement that takes time. */
void mr_client_process_input(mr_client_t *session);
/** mr_client_abort() - end the session's open transaction and the session. A
 * request that has arrived is answered. */
void mr_client_abort(mr_client_t *session);
/** mr_client_answer_error() - @retry_after: negative if not known. */
void mr_client_answer_error(mr_client_t *session, mr_error_kind_t error,
                            const char *detail, mr_ms_t retry_after);
/** mr_client_refuse() - answer request @id, which no database received, with
 * an error and log it. */
void mr_client_refuse(mr_client_t *session, const char *id,
                      mr_error_kind_t error, const char *detail,
                      mr_ms_t retry_after);
void mr_client_answer(mr_client_t *session, struct evbuffer *body);

/** mr_client_on_tokens() - tokens were drawn for the demand of @round:
 * continue a statement that has waited since then. */
void mr_client_on_tokens(mr_client_t *session, int64_t round);

/* run.c */
/** mr_run_await_token() - keep @line until a token is available; takes over
 * its memory. */
void mr_run_await_token(mr_client_t *session, mr_line_t *line);
/** mr_run_end_token_wait() - return the waiting message in @line. */
void mr_run_end_token_wait(mr_client_t *session, mr_line_t *line);
/** mr_run_on_cold_tokens() - tokens of cold databases were granted: continue
 * a statement that waits for one. */
void mr_run_on_cold_tokens(mr_client_t *session);
/** mr_run_start() - execute the statement in session->run.line. */
void mr_run_start(mr_client_t *session);
/** mr_run_cancel() - drop the current statement, as the client left. */
void mr_run_cancel(mr_client_t *session);
/** mr_run_end_evacuated() - end the open transaction of a session without a
 * statement in progress, if its database must no longer be used. Returns
 * whether it was ended. */
bool mr_run_end_evacuated(mr_client_t *session, mr_ms_t now);
/** mr_run_end_transaction() - roll back the open transaction. */
void mr_run_end_transaction(mr_client_t *session);

#endif
