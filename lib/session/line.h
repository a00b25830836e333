#ifndef MR_SESSION_LINE_H
#define MR_SESSION_LINE_H

/*
 * Messages of the line-based session protocol, which clients use with
 * masticrelay and masticrelay uses with databases. Implemented in
 * platform/line.c.
 */

#include <event2/buffer.h>
#include <stdbool.h>

#include "common/error.h"
#include "session/position.h"

/** Kind of a message. */
typedef enum mr_line_kind {
    MR_LINE_OPEN,     /* starts a session */
    MR_LINE_QUERY,    /* one statement */
    MR_LINE_CLOSE,    /* ends a session */
    MR_LINE_READY,    /* ends each reply */
    MR_LINE_ROW,      /* one row of a result */
    MR_LINE_COMPLETE, /* success */
    MR_LINE_ERROR,    /* failure */
} mr_line_kind_t;

/** State of a session's transaction, as given in READY. */
typedef enum mr_tx_state {
    MR_TX_IDLE,
    MR_TX_OPEN,
    MR_TX_FAILED,
} mr_tx_state_t;

/** One message. Its strings point into @text. */
typedef struct mr_line {
    mr_line_kind_t kind;
    char *text; /* the decoded line */
    union {
        struct {
            const char *database;   /* from clients; the service's name when
                           sent to databases */
            const char *credential; /* "" if absent */
        } open;
        struct {
            const char *id;
            const char *statement;
        } query;
        struct {
            mr_tx_state_t state;
            mr_position_t position;
        } ready;
        struct {
            const char *digest;
        } complete;
        struct {
            mr_error_kind_t kind;
            const char *detail;
        } error;
    } u;
} mr_line_t;

/** Longest message, with its end of line. */
enum { MR_LINE_MAX_BYTES = 1 << 20 };

/** Result of mr_line_read(). */
typedef enum mr_line_result {
    MR_LINE_VALID,
    MR_LINE_PARTIAL,   /* the message is not complete yet */
    MR_LINE_MALFORMED, /* malformed; the message was removed from the input */
    MR_LINE_TOO_LONG,
} mr_line_result_t;

/**
 * mr_line_read() - read one message and remove it from @in
 * @line: receives the message; mr_line_release() frees it
 * @raw: receives the bytes of the message; may be NULL
 */
mr_line_result_t mr_line_read(struct evbuffer *in, mr_line_t *line,
                              struct evbuffer *raw);
void mr_line_release(mr_line_t *line);

void mr_line_write_open(struct evbuffer *out, const char *service,
                        const char *account, const char *target);
/** mr_line_write_query() - @after: position that the database's log must hold;
 * NULL: none */
void mr_line_write_query(struct evbuffer *out, const char *id,
                         const mr_position_t *after, const char *statement);
void mr_line_write_ready(struct evbuffer *out, mr_tx_state_t state,
                         const mr_position_t *position);
void mr_line_write_complete(struct evbuffer *out);
/** mr_line_write_error() - @retry_after: milliseconds after which a retry may
 * succeed; negative: not known */
void mr_line_write_error(struct evbuffer *out, mr_error_kind_t kind,
                         const char *detail, int64_t retry_after);

/** Kind of a statement, by its first word. */
typedef enum mr_command_kind {
    MR_COMMAND_BEGIN,
    MR_COMMAND_COMMIT,
    MR_COMMAND_ROLLBACK,
    MR_COMMAND_READ,
    MR_COMMAND_WRITE,
    MR_COMMAND_SET,
    MR_COMMAND_PREPARE,
    MR_COMMAND_EXECUTE,
    MR_COMMAND_DEALLOCATE,
    MR_COMMAND_UNKNOWN,
} mr_command_kind_t;

enum { MR_NAME_MAX_BYTES = 128 };

/** The parts of a statement that the relay needs. */
typedef struct mr_command {
    mr_command_kind_t kind;
    bool read_only;               /* of BEGIN and PREPARE */
    char name[MR_NAME_MAX_BYTES]; /* of SET, PREPARE, EXECUTE, DEALLOCATE */
} mr_command_t;

/** mr_command_parse() - parse a statement; its kind is MR_COMMAND_UNKNOWN for
 * malformed text. */
void mr_command_parse(const char *text, mr_command_t *statement);

/** Statements that the relay itself issues. */
typedef enum mr_relay_statement {
    MR_RELAY_BEGIN,
    MR_RELAY_BEGIN_READ,
    MR_RELAY_ROLLBACK,
    MR_RELAY_RESET,
    MR_RELAY_RESUME, /* a suspended replica receives again */
    MR_RELAY_STATUS,
} mr_relay_statement_t;
const char *mr_relay_statement_text(mr_relay_statement_t statement);

/** mr_demote_statement_text() - write the statement that turns a primary of a
 * term below @term into a replica. */
void mr_demote_statement_text(char *out, size_t size, int64_t term);

/** mr_deallocate_statement_text() - write the statement that removes the
 * prepared statement @name. */
void mr_deallocate_statement_text(char *out, size_t size, const char *name);

/** mr_suspend_statement_text() - write the statement that stops a replica from
 * receiving log entries; @term must be above the newest one. The reply is the
 * same as to MR_RELAY_STATUS. */
void mr_suspend_statement_text(char *out, size_t size, int64_t term);

/** Request id of the statements that the relay itself issues. */
extern const char mr_relay_statement_id[];
/** Account name for connections without a client account: those for the
 * relay's own statements, and those for callers without a key on anonymous
 * routes. */
extern const char mr_no_account[];

/** Reply of a database to MR_RELAY_STATUS. */
typedef struct mr_db_status {
    bool primary;
    mr_position_t received; /* newest entry of its log */
    int64_t held_term;      /* a new term must be above it */
} mr_db_status_t;

/** mr_db_status_parse() - parse the row of the reply; false if malformed. */
bool mr_db_status_parse(const char *row, mr_db_status_t *status);

#endif
