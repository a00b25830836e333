#include "session/link.h"

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

enum {
    /* Unacknowledged bytes end the connection after this time, as no reset
     * arrives from behind a partition. */
    USER_TIMEOUT_MS = 3000,
    /* Kept connections close before databases close them, after 60 s. */
    IDLE_MAX_MS = 30000,
};

typedef struct query {
    mr_list_t link;
    mr_link_fn_t fn; /* NULL: the answer is dropped */
    void *ctx;
    mr_ms_t sent_at;
    struct evbuffer *body;
    mr_error_kind_t error;
    char *detail;
    bool opening; /* READY alone is a success; a failure comes alone */
    bool ended;   /* success or failure was read; READY is due */
} query_t;

struct mr_link {
    mr_list_t link; /* in the database's list while idle */
    mr_db_t *db;
    char *account;
    struct bufferevent *stream;
    mr_list_t queries;
    mr_link_state_t state;
    void (*lost_fn)(void *ctx);
    void *lost_ctx;
    bool idle;
    bool closing; /* set while callbacks run that may close the link */
    bool in_callback;
};

static void
free_query(query_t *query)
{
    mr_list_remove(&query->link);
    if (query->body != NULL) {
        evbuffer_free(query->body);
    }
    free(query->detail);
    free(query);
}

static void
free_link(mr_link_t *link)
{
    mr_list_t *it;

    while ((it = mr_list_pop(&link->queries)) != NULL) {
        free_query(MR_LIST_ENTRY(it, query_t, link));
    }
    if (link->idle) {
        mr_list_remove(&link->link);
        link->db->idle_conn_count--;
    }
    bufferevent_free(link->stream);
    mr_db_release(link->db);
    free(link->account);
    free(link);
}

void
mr_link_close(mr_link_t *link)
{
    if (link->in_callback) {
        mr_link_forget(link);
        link->closing = true;
        return;
    }
    free_link(link);
}

void
mr_link_forget(mr_link_t *link)
{
    MR_LIST_FOREACH(it, &link->queries)
    {
        MR_LIST_ENTRY(it, query_t, link)->fn = NULL;
    }
}

/* Calls the callback of the first query and removes it. */
static void
end_query(mr_link_t *link, mr_reply_t *reply)
{
    query_t *query = MR_LIST_ENTRY(link->queries.next, query_t, link);

    reply->sent_at = query->sent_at;
    reply->body = query->body;
    if (!reply->lost) {
        reply->error = query->error;
        reply->detail = query->detail;
    }
    mr_list_remove(&query->link);
    if (query->fn != NULL) {
        query->fn(query->ctx, link, reply);
    }
    free_query(query);
}

static void
lose(mr_link_t *link)
{
    if (link->idle) {
        free_link(link);
        return;
    }
    link->in_callback = true;
    while (!mr_list_empty(&link->queries)) {
        end_query(link, &(mr_reply_t){.error = MR_ERR_UNAVAILABLE,
                                      .lost = true,
                                      .detail = "connection lost"});
    }
    if (link->lost_fn != NULL && !link->closing) {
        link->lost_fn(link->lost_ctx);
    }
    link->in_callback = false;
    free_link(link);
}

/* Returns false when the message does not belong here. */
static bool
handle_line(mr_link_t *link, const mr_line_t *line, struct evbuffer *raw)
{
    query_t *query;

    if (mr_list_empty(&link->queries)) {
        return false;
    }
    query = MR_LIST_ENTRY(link->queries.next, query_t, link);
    switch (line->kind) {
    case MR_LINE_ROW:
        evbuffer_add_buffer(query->body, raw);
        return !query->ended;
    case MR_LINE_COMPLETE:
        evbuffer_add_buffer(query->body, raw);
        if (query->ended) {
            return false;
        }
        query->ended = true;
        return true;
    case MR_LINE_ERROR:
        if (query->ended && !query->opening) {
            return false;
        }
        query->ended = true;
        query->error = line->u.error.kind;
        query->detail = mr_strdup(line->u.error.detail);
        if (query->opening) {
            end_query(link, &(mr_reply_t){.state = MR_TX_IDLE});
        }
        return true;
    case MR_LINE_READY:
        if (!query->ended) {
            return false;
        }
        end_query(link, &(mr_reply_t){.state = line->u.ready.state,
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
    mr_link_t *link = ctx;
    struct evbuffer *raw = evbuffer_new();
    mr_line_result_t result = MR_LINE_GOOD;
    bool good = true;

    link->in_callback = true;
    while (good && !link->closing) {
        mr_line_t line;
        result = mr_line_read(bufferevent_get_input(stream), &line, raw);
        if (result == MR_LINE_PARTIAL) {
            break;
        }
        good = result == MR_LINE_GOOD && handle_line(link, &line, raw);
        evbuffer_drain(raw, evbuffer_get_length(raw));
        mr_line_release(&line);
    }
    link->in_callback = false;
    evbuffer_free(raw);
    if (link->closing) {
        free_link(link);
    }
    else if (!good) {
        mr_log(MR_LOG_WARNING, MR_EVENT_DATABASE_ANSWER_MALFORMED,
               "service=%s id=%s", link->db->cluster->service, link->db->id);
        lose(link);
    }
}

static void
on_event(struct bufferevent *stream, short what, void *ctx)
{
    (void)stream;
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
        lose(ctx);
    }
}

static void
add_query(mr_link_t *link, mr_link_fn_t fn, void *ctx, bool opening)
{
    query_t *query = MR_NEW(query_t);

    query->fn = fn;
    query->ctx = ctx;
    query->opening = opening;
    query->ended = opening;
    query->error = MR_OK;
    query->sent_at = mr_clock_now(NULL);
    query->body = evbuffer_new();
    mr_list_append(&link->queries, &query->link);
}

mr_link_t *
mr_link_open(struct event_base *base, mr_db_t *db, const char *account,
             mr_link_fn_t fn, void *ctx)
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
    mr_link_t *link = MR_NEW(mr_link_t);
    mr_list_init(&link->link);
    mr_list_init(&link->queries);
    link->db = db;
    link->account = mr_strdup(account);
    db->open_conns++;
    link->stream = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(link->stream, on_read, NULL, on_event, link);
    mr_line_write_open(bufferevent_get_output(link->stream),
                       db->cluster->service, account, db->id);
    add_query(link, fn, ctx, true);
    bufferevent_enable(link->stream, EV_READ | EV_WRITE);
    if (bufferevent_socket_connect(link->stream, (struct sockaddr *)&addr,
                                   addr_len)
        != 0) {
        mr_link_forget(link);
        free_link(link);
        return NULL;
    }
    return link;
}

void
mr_link_query(mr_link_t *link, const char *id, const mr_position_t *after,
              const char *statement, mr_link_fn_t fn, void *ctx)
{
    assert(!link->idle);
    add_query(link, fn, ctx, false);
    mr_line_write_query(bufferevent_get_output(link->stream), id, after,
                        statement);
}

void
mr_link_on_lost(mr_link_t *link, void (*fn)(void *ctx), void *ctx)
{
    link->lost_fn = fn;
    link->lost_ctx = ctx;
}

mr_db_t *
mr_link_db(const mr_link_t *link)
{
    return link->db;
}

mr_link_state_t *
mr_link_state(mr_link_t *link)
{
    return &link->state;
}

bool
mr_link_has_idle(const mr_db_t *db, const char *account)
{
    MR_LIST_FOREACH(it, &db->idle_conns)
    {
        if (strcmp(MR_LIST_ENTRY(it, mr_link_t, link)->account, account)
            == 0) {
            return true;
        }
    }
    return false;
}

mr_link_t *
mr_link_take_idle(mr_db_t *db, const char *account, uint64_t session)
{
    mr_link_t *found = NULL;

    MR_LIST_FOREACH(it, &db->idle_conns)
    {
        mr_link_t *link = MR_LIST_ENTRY(it, mr_link_t, link);
        if (strcmp(link->account, account) == 0) {
            found = link;
            if (link->state.session == session) {
                break;
            }
        }
    }
    if (found != NULL) {
        mr_list_remove(&found->link);
        found->idle = false;
        db->idle_conn_count--;
        bufferevent_set_timeouts(found->stream, NULL, NULL);
    }
    return found;
}

void
mr_link_set_idle(mr_link_t *link)
{
    mr_db_t *db = link->db;
    struct timeval idle_max = mr_clock_timeval(IDLE_MAX_MS);

    mr_link_forget(link);
    link->idle = true;
    db->idle_conn_count++;
    mr_list_append(&db->idle_conns, &link->link);
    bufferevent_set_timeouts(link->stream, &idle_max, NULL);
}

mr_link_t *
mr_link_oldest_idle(mr_db_t *db)
{
    assert(!mr_list_empty(&db->idle_conns));
    return MR_LIST_ENTRY(db->idle_conns.next, mr_link_t, link);
}

const char *
mr_link_account(const mr_link_t *link)
{
    return link->account;
}
