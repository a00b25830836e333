#include "session/db_conn.h"

#include <assert.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "common/address.h"
#include "common/log.h"
#include "common/mem.h"
#include "session/remote_conn.h"

enum {
    /* TCP_USER_TIMEOUT: closes a connection with unacknowledged data, as no
     * reset arrives across a network partition. */
    USER_TIMEOUT_MS = 3000,
    /* Idle connections are closed before the databases close them, which is
     * after 60 s. */
    IDLE_MAX_MS = 30000,
};

typedef struct pending_query {
    mr_list_t link;
    mr_db_conn_fn_t fn; /* NULL: the reply is dropped */
    void *ctx;
    mr_ms_t sent_at;
    struct evbuffer *body;
    mr_error_kind_t error;
    char *detail;
    bool opening; /* reply to OPEN: READY alone, or ERROR without READY */
    bool ended;   /* COMPLETE or ERROR was read; READY follows */
} pending_query_t;

typedef enum conn_kind {
    CONN_LOCAL,
    CONN_REMOTE, /* held by another instance */
} conn_kind_t;

struct mr_db_conn {
    mr_list_t link; /* in mr_db_t.idle_conns while idle */
    mr_db_t *db;
    char *account;
    conn_kind_t kind;
    union {
        struct bufferevent *stream;
        mr_remote_conn_t *remote;
    } u;
    mr_list_t queries; /* of a local connection */
    mr_db_conn_state_t state;
    void (*lost_fn)(void *ctx);
    void *lost_ctx;
    bool idle;
    bool closing; /* closed by a callback; freed once the callbacks return */
    bool in_callback;
};

static void
free_pending(pending_query_t *pending)
{
    mr_list_remove(&pending->link);
    if (pending->body != NULL) {
        evbuffer_free(pending->body);
    }
    free(pending->detail);
    free(pending);
}

static void
free_conn(mr_db_conn_t *conn)
{
    mr_list_t *it;

    while ((it = mr_list_pop(&conn->queries)) != NULL) {
        free_pending(MR_LIST_ENTRY(it, pending_query_t, link));
    }
    if (conn->idle) {
        mr_list_remove(&conn->link);
        conn->db->idle_conn_count--;
    }
    switch (conn->kind) {
    case CONN_LOCAL:
        bufferevent_free(conn->u.stream);
        mr_db_release(conn->db);
        break;
    case CONN_REMOTE:
        mr_remote_conn_destroy(conn->u.remote);
        mr_db_release_remote(conn->db);
        break;
    }
    free(conn->account);
    free(conn);
}

void
mr_db_conn_close(mr_db_conn_t *conn)
{
    if (conn->in_callback) {
        mr_db_conn_drop_replies(conn);
        conn->closing = true;
        return;
    }
    free_conn(conn);
}

void
mr_db_conn_drop_replies(mr_db_conn_t *conn)
{
    if (conn->kind == CONN_REMOTE) {
        mr_remote_conn_drop_replies(conn->u.remote);
        return;
    }
    MR_LIST_FOREACH(it, &conn->queries)
    {
        MR_LIST_ENTRY(it, pending_query_t, link)->fn = NULL;
    }
}

/* Ends the oldest pending statement: removes it and calls its callback. */
static void
end_pending(mr_db_conn_t *conn, mr_reply_t *reply)
{
    pending_query_t *pending =
        MR_LIST_ENTRY(conn->queries.next, pending_query_t, link);

    reply->sent_at = pending->sent_at;
    reply->body = pending->body;
    if (!reply->lost) {
        reply->error = pending->error;
        reply->detail = pending->detail;
    }
    mr_list_remove(&pending->link);
    if (pending->fn != NULL) {
        pending->fn(pending->ctx, conn, reply);
    }
    free_pending(pending);
}

static void
handle_lost(mr_db_conn_t *conn)
{
    if (conn->idle) {
        free_conn(conn);
        return;
    }
    conn->in_callback = true;
    while (!mr_list_empty(&conn->queries)) {
        end_pending(conn, &(mr_reply_t){.error = MR_ERR_UNAVAILABLE,
                                        .lost = true,
                                        .detail = "connection lost"});
    }
    if (conn->lost_fn != NULL && !conn->closing) {
        conn->lost_fn(conn->lost_ctx);
    }
    conn->in_callback = false;
    free_conn(conn);
}

/* Returns false if the message violates the protocol. */
static bool
handle_line(mr_db_conn_t *conn, const mr_line_t *line, struct evbuffer *raw)
{
    pending_query_t *pending;

    if (mr_list_empty(&conn->queries)) {
        return false;
    }
    pending = MR_LIST_ENTRY(conn->queries.next, pending_query_t, link);
    switch (line->kind) {
    case MR_LINE_ROW:
        evbuffer_add_buffer(pending->body, raw);
        return !pending->ended;
    case MR_LINE_COMPLETE:
        evbuffer_add_buffer(pending->body, raw);
        if (pending->ended) {
            return false;
        }
        pending->ended = true;
        return true;
    case MR_LINE_ERROR:
        if (pending->ended && !pending->opening) {
            return false;
        }
        pending->ended = true;
        pending->error = line->u.error.kind;
        pending->detail = mr_strdup(line->u.error.detail);
        if (pending->opening) {
            end_pending(conn, &(mr_reply_t){.state = MR_TX_IDLE});
        }
        return true;
    case MR_LINE_READY:
        if (!pending->ended) {
            return false;
        }
        end_pending(conn, &(mr_reply_t){.state = line->u.ready.state,
                                        .position = line->u.ready.position});
        return true;
    case MR_LINE_OPEN:
    case MR_LINE_QUERY:
    case MR_LINE_CLOSE:
        break;
    }
    return false;
}

static void
on_read(struct bufferevent *stream, void *ctx)
{
    mr_db_conn_t *conn = ctx;
    struct evbuffer *raw = evbuffer_new();
    mr_line_result_t result = MR_LINE_VALID;
    bool good = true;

    conn->in_callback = true;
    while (good && !conn->closing) {
        mr_line_t line;
        result = mr_line_read(bufferevent_get_input(stream), &line, raw);
        if (result == MR_LINE_PARTIAL) {
            break;
        }
        good = result == MR_LINE_VALID && handle_line(conn, &line, raw);
        evbuffer_drain(raw, evbuffer_get_length(raw));
        mr_line_release(&line);
    }
    conn->in_callback = false;
    evbuffer_free(raw);
    if (conn->closing) {
        free_conn(conn);
    }
    else if (!good) {
        mr_log(MR_LOG_WARNING, MR_EVENT_DATABASE_ANSWER_MALFORMED,
               "service=%s id=%s", conn->db->cluster->service, conn->db->id);
        handle_lost(conn);
    }
}

static void
on_event(struct bufferevent *stream, short what, void *ctx)
{
    (void)stream;
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
        handle_lost(ctx);
    }
}

static void
add_pending(mr_db_conn_t *conn, mr_db_conn_fn_t fn, void *ctx, bool opening)
{
    pending_query_t *pending = MR_NEW(pending_query_t);

    pending->fn = fn;
    pending->ctx = ctx;
    pending->opening = opening;
    pending->ended = opening;
    pending->error = MR_OK;
    pending->sent_at = mr_clock_now(NULL);
    pending->body = evbuffer_new();
    mr_list_append(&conn->queries, &pending->link);
}

mr_db_conn_t *
mr_db_conn_open(struct event_base *base, mr_db_t *db, const char *account,
                mr_db_conn_fn_t fn, void *ctx)
{
    struct sockaddr_storage addr;
    int addr_len;
    int one = 1;
    unsigned int user_timeout = USER_TIMEOUT_MS;

    if (!mr_address_parse(db->address, &addr, &addr_len)) {
        return NULL;
    }
    int fd = mr_address_socket(&addr);
    if (fd < 0) {
        mr_log(MR_LOG_WARNING, MR_EVENT_SOCKET_FAILED, "service=%s id=%s",
               db->cluster->service, db->id);
        return NULL;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout,
               sizeof(user_timeout));
    mr_db_conn_t *conn = MR_NEW(mr_db_conn_t);
    mr_list_init(&conn->link);
    mr_list_init(&conn->queries);
    conn->db = db;
    conn->account = mr_strdup(account);
    db->open_conns++;
    conn->u.stream = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(conn->u.stream, on_read, NULL, on_event, conn);
    mr_line_write_open(bufferevent_get_output(conn->u.stream),
                       db->cluster->service, account, db->id);
    add_pending(conn, fn, ctx, true);
    bufferevent_enable(conn->u.stream, EV_READ | EV_WRITE);
    if (bufferevent_socket_connect(conn->u.stream, (struct sockaddr *)&addr,
                                   addr_len)
        != 0) {
        mr_db_conn_drop_replies(conn);
        free_conn(conn);
        return NULL;
    }
    return conn;
}

void
mr_db_conn_query(mr_db_conn_t *conn, const char *id,
                 const mr_position_t *after, const char *statement,
                 mr_db_conn_fn_t fn, void *ctx)
{
    assert(!conn->idle);
    if (conn->kind == CONN_REMOTE) {
        mr_remote_conn_query(conn->u.remote, id, after, statement, fn, ctx);
        return;
    }
    add_pending(conn, fn, ctx, false);
    mr_line_write_query(bufferevent_get_output(conn->u.stream), id, after,
                        statement);
}

void
mr_db_conn_set_terms(mr_db_conn_t *conn, mr_ms_t deadline, bool commits)
{
    if (conn->kind == CONN_REMOTE) {
        mr_remote_conn_set_terms(conn->u.remote, deadline, commits);
    }
}

bool
mr_db_conn_is_remote(const mr_db_conn_t *conn)
{
    return conn->kind == CONN_REMOTE;
}

mr_db_conn_t *
mr_db_conn_create_remote(mr_db_t *db, const char *account,
                         mr_remote_conn_t *remote)
{
    mr_db_conn_t *conn = MR_NEW(mr_db_conn_t);

    mr_list_init(&conn->link);
    mr_list_init(&conn->queries);
    conn->db = db;
    conn->account = mr_strdup(account);
    conn->kind = CONN_REMOTE;
    conn->u.remote = remote;
    db->remote_conns++;
    return conn;
}

void
mr_db_conn_enter(mr_db_conn_t *conn)
{
    conn->in_callback = true;
}

void
mr_db_conn_leave(mr_db_conn_t *conn)
{
    conn->in_callback = false;
    if (conn->closing) {
        free_conn(conn);
    }
}

void
mr_db_conn_end_lost(mr_db_conn_t *conn)
{
    if (conn->lost_fn != NULL && !conn->closing) {
        conn->lost_fn(conn->lost_ctx);
    }
    conn->in_callback = false;
    free_conn(conn);
}

void
mr_db_conn_release_remote(mr_db_conn_t *conn)
{
    /* At once, so that the session's next statement can have it. */
    mr_remote_conn_release(conn->u.remote);
    mr_db_conn_close(conn);
}

void
mr_db_conn_on_lost(mr_db_conn_t *conn, void (*fn)(void *ctx), void *ctx)
{
    conn->lost_fn = fn;
    conn->lost_ctx = ctx;
}

mr_db_t *
mr_db_conn_db(const mr_db_conn_t *conn)
{
    return conn->db;
}

mr_db_conn_state_t *
mr_db_conn_state(mr_db_conn_t *conn)
{
    return &conn->state;
}

bool
mr_db_conn_has_idle(const mr_db_t *db, const char *account)
{
    MR_LIST_FOREACH(it, &db->idle_conns)
    {
        if (strcmp(MR_LIST_ENTRY(it, mr_db_conn_t, link)->account, account)
            == 0) {
            return true;
        }
    }
    return false;
}

mr_db_conn_t *
mr_db_conn_take_idle(mr_db_t *db, const char *account, uint64_t session)
{
    mr_db_conn_t *found = NULL;

    MR_LIST_FOREACH(it, &db->idle_conns)
    {
        mr_db_conn_t *conn = MR_LIST_ENTRY(it, mr_db_conn_t, link);
        if (strcmp(conn->account, account) == 0) {
            found = conn;
            if (conn->state.session == session) {
                break;
            }
        }
    }
    if (found != NULL) {
        mr_list_remove(&found->link);
        found->idle = false;
        db->idle_conn_count--;
        bufferevent_set_timeouts(found->u.stream, NULL, NULL);
    }
    return found;
}

void
mr_db_conn_set_idle(mr_db_conn_t *conn)
{
    mr_db_t *db = conn->db;
    struct timeval idle_max = mr_clock_timeval(IDLE_MAX_MS);

    mr_db_conn_drop_replies(conn);
    conn->idle = true;
    db->idle_conn_count++;
    mr_list_append(&db->idle_conns, &conn->link);
    bufferevent_set_timeouts(conn->u.stream, &idle_max, NULL);
}

mr_db_conn_t *
mr_db_conn_oldest_idle(mr_db_t *db)
{
    assert(!mr_list_empty(&db->idle_conns));
    return MR_LIST_ENTRY(db->idle_conns.next, mr_db_conn_t, link);
}

const char *
mr_db_conn_account(const mr_db_conn_t *conn)
{
    return conn->account;
}
