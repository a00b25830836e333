/* Databases of the stand-in: sessions, transactions, a log that replicas
 * apply late. */

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "harness.h"
#include "world_internal.h"

enum { PENDING_MAX = 16, NAMES_MAX = 16 };

typedef struct conn {
    mr_list_t link;
    backend_db_t *db;
    struct bufferevent *stream;
    bool open;
    char account[BACKEND_TEXT_BYTES];
    char state; /* I, T or E */
    bool plain; /* the open transaction may write */
    char values[BACKEND_TEXT_BYTES];
    char names[NAMES_MAX]
              [BACKEND_TEXT_BYTES]; /* prepared: "name READ|WRITE" */
    int name_count;
    size_t pending[PENDING_MAX]; /* runs of the open transaction's writes */
    int pending_count;
    struct event *opened; /* ends a slow opening */
    struct event *worked; /* ends the work on a statement */
} conn_t;

void
backend_report_violation(backend_t *backend, const char *fmt, ...)
{
    va_list args;

    if (backend->problem[0] == '\0') {
        va_start(args, fmt);
        vsnprintf(backend->problem, sizeof(backend->problem), fmt, args);
        va_end(args);
    }
}

static void
free_conn(conn_t *conn)
{
    mr_list_remove(&conn->link);
    event_free(conn->opened);
    event_free(conn->worked);
    bufferevent_free(conn->stream);
    free(conn);
}

static bool
leads(const backend_db_t *db)
{
    return db->backend->primary == db->index;
}

/* Entries that @db has received. */
static int64_t
received(const backend_db_t *db)
{
    int64_t count = db->backend->log_count;

    if (mr_clock_now(NULL) < db->empty_until) {
        return 0;
    }
    return db->deaf_at >= 0 && db->deaf_at < count ? db->deaf_at : count;
}

/* Entries that @db has applied. */
static int64_t
applied(const backend_db_t *db)
{
    mr_ms_t now = mr_clock_now(NULL);
    int64_t count = received(db);

    while (!leads(db) && count > 0
           && db->backend->log[count - 1].at + db->lag > now) {
        count--;
    }
    return count;
}

static int64_t
term_at(const backend_t *backend, int64_t number)
{
    return number > 0 ? backend->log[number - 1].term : 1;
}

static void
say(conn_t *conn, const char *fmt, ...)
{
    va_list args;

    va_start(args, fmt);
    evbuffer_add_vprintf(bufferevent_get_output(conn->stream), fmt, args);
    va_end(args);
}

static void
say_ready(conn_t *conn)
{
    const backend_db_t *db = conn->db;
    int64_t count = applied(db);

    say(conn, "READY %c %lld.%lld\r\n", conn->state,
        (long long)term_at(db->backend, count), (long long)count);
}

static void
refuse(conn_t *conn, const char *code)
{
    if (conn->state == 'T') {
        conn->state = 'E';
    }
    say(conn, "ERROR %s %s\r\n", code, conn->db->id);
    say_ready(conn);
}

static void
append(backend_t *backend, backend_run_t *run)
{
    ck_assert_int_lt(backend->log_count, LOG_MAX);
    backend_entry_t *entry = &backend->log[backend->log_count++];

    entry->term = backend->term;
    entry->at = mr_clock_now(NULL);
    snprintf(entry->id, sizeof(entry->id), "%s", run->id);
    run->committed = true;
    run->number = backend->log_count;
    run->term = backend->term;
}

static size_t
record(conn_t *conn, const char *id, const char *text)
{
    backend_t *backend = conn->db->backend;
    size_t index =
        backend->run_count < RUNS_MAX ? backend->run_count++ : RUNS_MAX - 1;
    backend_run_t *run = &backend->runs[index];
    int64_t count = applied(conn->db);

    memset(run, 0, sizeof(*run));
    snprintf(run->id, sizeof(run->id), "%s", id);
    snprintf(run->text, sizeof(run->text), "%s", text);
    snprintf(run->account, sizeof(run->account), "%s", conn->account);
    snprintf(run->values, sizeof(run->values), "%s", conn->values);
    run->db = conn->db->index;
    run->term = term_at(backend, count);
    run->number = count;
    run->at = mr_clock_now(NULL);
    return index;
}

/* Whether the answer of this statement gets lost. */
static bool
loses_answer(backend_t *backend)
{
    backend->statements++;
    return backend->lose_nth > 0
           && backend->statements % backend->lose_nth == 0;
}

/* Returns false when the connection ended. */
static bool
answer_run(conn_t *conn, const backend_run_t *run)
{
    if (loses_answer(conn->db->backend)) {
        free_conn(conn);
        return false;
    }
    if (strncmp(run->text, "COMMIT", 6) != 0) {
        say(conn, "ROW row-of-%s\r\n", run->id);
    }
    say(conn, "COMPLETE digest-of-%s\r\n", run->id);
    say_ready(conn);
    return true;
}

/* Whether no slot is free for the statement; the transaction goes on. */
static bool
is_busy(conn_t *conn)
{
    if (conn->db->busy <= 0) {
        return false;
    }
    conn->db->busy--;
    say(conn, "ERROR BUSY %s\r\n", conn->db->id);
    say_ready(conn);
    return true;
}

static bool
do_write(conn_t *conn, const char *id, const char *text)
{
    backend_t *backend = conn->db->backend;

    if (!leads(conn->db) || (conn->state == 'T' && !conn->plain)) {
        refuse(conn, "READONLY");
        return true;
    }
    size_t index = record(conn, id, text);
    if (conn->state == 'T') {
        conn->pending[conn->pending_count++ % PENDING_MAX] = index;
    }
    else {
        append(backend, &backend->runs[index]);
    }
    return answer_run(conn, &backend->runs[index]);
}

static bool
do_read(conn_t *conn, const char *id, const char *text)
{
    if (conn->state == 'T' && conn->plain && !leads(conn->db)) {
        refuse(conn, "READONLY");
        return true;
    }
    size_t index = record(conn, id, text);
    return answer_run(conn, &conn->db->backend->runs[index]);
}

static bool
do_commit(conn_t *conn, const char *id)
{
    backend_t *backend = conn->db->backend;

    if (conn->state != 'T') {
        backend_report_violation(backend, "COMMIT %s in state %c", id,
                                 conn->state);
        refuse(conn, "MALFORMED");
        return true;
    }
    if (conn->pending_count > 0 && !leads(conn->db)) {
        refuse(conn, "READONLY");
        return true;
    }
    for (int i = 0; i < conn->pending_count; i++) {
        append(backend, &backend->runs[conn->pending[i]]);
    }
    conn->pending_count = 0;
    conn->state = 'I';
    size_t index = record(conn, id, "COMMIT");
    return answer_run(conn, &backend->runs[index]);
}

static void
do_begin(conn_t *conn, bool read_only)
{
    if (conn->state != 'I') {
        backend_report_violation(conn->db->backend, "BEGIN in state %c",
                                 conn->state);
        refuse(conn, "MALFORMED");
        return;
    }
    if (!read_only && !leads(conn->db)) {
        refuse(conn, "READONLY");
        return;
    }
    conn->state = 'T';
    conn->plain = !read_only;
    conn->pending_count = 0;
    say(conn, "COMPLETE -\r\n");
    say_ready(conn);
}

static void
do_own(conn_t *conn, const char *text)
{
    backend_db_t *db = conn->db;

    bool status = strcmp(text, "STATUS") == 0;

    if (strncmp(text, "SUSPEND ", 8) == 0) {
        db->suspended = true;
        status = true;
    }
    if (status) {
        say(conn, "ROW %s %lld %lld.%lld 0 0 0 1\r\n",
            leads(db) ? "primary" : "replica", (long long)db->backend->term,
            (long long)db->backend->term, (long long)received(db));
    }
    else if (strncmp(text, "DEMOTE ", 7) == 0) {
        if (leads(db)) {
            db->backend->primary = -1;
        }
        say(conn, "ROW replica %lld %lld.%lld 0 0 0 1\r\n",
            (long long)db->backend->term, (long long)db->backend->term,
            (long long)received(db));
    }
    else if (strcmp(text, "RESUME") == 0) {
        db->suspended = false;
    }
    else if (strcmp(text, "RESET") == 0) {
        conn->values[0] = '\0';
        conn->name_count = 0;
    }
    else if (strcmp(text, "ROLLBACK") == 0) {
        conn->state = 'I';
        conn->pending_count = 0;
    }
    else if (strncmp(text, "SET ", 4) == 0) {
        size_t len = strlen(conn->values);
        snprintf(conn->values + len, sizeof(conn->values) - len, "%s;",
                 text + 4);
    }
    else if (strncmp(text, "PREPARE ", 8) == 0) {
        snprintf(conn->names[conn->name_count++ % NAMES_MAX],
                 BACKEND_TEXT_BYTES, "%s", text + 8);
    }
    else {
        backend_report_violation(db->backend,
                                 "unknown statement of the relay: %s", text);
    }
    say(conn, "COMPLETE -\r\n");
    say_ready(conn);
}

/* "name READ shape" of a prepared statement; NULL: none. */
static const char *
find_prepared(const conn_t *conn, const char *text)
{
    size_t len = strcspn(text, " ");

    for (int i = conn->name_count - 1; i >= 0; i--) {
        const char *name = conn->names[i % NAMES_MAX];
        if (strncmp(name, text, len) == 0 && name[len] == ' ') {
            return name + len + 1;
        }
    }
    return NULL;
}

static bool
do_execute(conn_t *conn, const char *id, const char *text)
{
    const char *shape = find_prepared(conn, text + 8);

    if (shape == NULL) {
        refuse(conn, "NOSTMT");
        return true;
    }
    return strncmp(shape, "WRITE", 5) == 0 ? do_write(conn, id, text)
                                           : do_read(conn, id, text);
}

static bool
lacks(const backend_db_t *db, const char *position)
{
    long long term = 0;
    long long number = 0;
    int64_t count = applied(db);

    sscanf(position, "%lld.%lld", &term, &number);
    return number > count
           || (number > 0 && db->backend->log[number - 1].term > term);
}

/* Returns false when the connection ended. */
static bool
handle_query(conn_t *conn, const char *id, const char *text)
{
    if (strncmp(text, "AFTER ", 6) == 0) {
        if (lacks(conn->db, text + 6)) {
            refuse(conn, "LAGGING");
            return true;
        }
        text += 6;
        text += strcspn(text, " ") + 1;
    }
    if (strcmp(text, "BEGIN") == 0 || strcmp(text, "BEGIN READ") == 0) {
        do_begin(conn, text[5] != '\0');
        return true;
    }
    if (strcmp(id, "-") == 0) {
        do_own(conn, text);
        return true;
    }
    if (is_busy(conn)) {
        return true;
    }
    if (strncmp(text, "READ ", 5) == 0) {
        return do_read(conn, id, text);
    }
    if (strncmp(text, "WRITE ", 6) == 0) {
        return do_write(conn, id, text);
    }
    if (strncmp(text, "EXECUTE ", 8) == 0) {
        return do_execute(conn, id, text);
    }
    if (strcmp(text, "COMMIT") == 0) {
        return do_commit(conn, id);
    }
    backend_report_violation(conn->db->backend,
                             "unknown statement of a client: %s", text);
    refuse(conn, "MALFORMED");
    return true;
}

static void
on_opened(evutil_socket_t fd, short what, void *ctx)
{
    (void)fd;
    (void)what;
    say_ready(ctx);
}

static void
handle_open(conn_t *conn, const char *fields)
{
    char service[BACKEND_TEXT_BYTES] = "";
    char id[BACKEND_TEXT_BYTES] = "";

    sscanf(fields, "%63s %63s %63s", service, conn->account, id);
    if (strcmp(service, "rez") != 0 || strcmp(id, conn->db->id) != 0) {
        say(conn, "ERROR MISROUTED %s\r\n", conn->db->id);
        return;
    }
    if (conn->db->full > 0) {
        conn->db->full--;
        say(conn, "ERROR OVERLOAD too many connections\r\n");
        return;
    }
    conn->open = true;
    conn->state = 'I';
    conn->db->opened++;
    if (conn->db->open_takes == 0) {
        say_ready(conn);
        return;
    }
    mr_ms_t now = mr_clock_now(NULL);
    if (conn->db->open_free < now) {
        conn->db->open_free = now;
    }
    conn->db->open_free += conn->db->open_takes;
    struct timeval tv = mr_clock_timeval(conn->db->open_free - now);
    evtimer_add(conn->opened, &tv);
}

static void
on_worked(evutil_socket_t fd, short what, void *ctx)
{
    conn_t *conn = ctx;

    (void)fd;
    (void)what;
    bufferevent_enable(conn->stream, EV_WRITE);
}

/* What is answered from now on is written a little later. */
static void
begin_work(conn_t *conn)
{
    struct timeval tv = mr_clock_timeval(conn->db->backend->work);

    if (conn->db->backend->work > 0) {
        bufferevent_disable(conn->stream, EV_WRITE);
        evtimer_add(conn->worked, &tv);
    }
}

static void
on_read(struct bufferevent *stream, void *ctx)
{
    conn_t *conn = ctx;
    struct evbuffer *in = bufferevent_get_input(stream);
    char *line;
    bool alive = true;

    if (conn->db->silent) {
        evbuffer_drain(in, evbuffer_get_length(in));
        return;
    }
    begin_work(conn);
    while (alive
           && (line = evbuffer_readln(in, NULL, EVBUFFER_EOL_CRLF_STRICT))
                  != NULL) {
        char *id = line + 6;
        char *text = strchr(id, ' ');
        if (!conn->open) {
            handle_open(conn, line + 5);
        }
        else if (strncmp(line, "QUERY ", 6) == 0 && text != NULL) {
            *text++ = '\0';
            alive = handle_query(conn, id, text);
        }
        else {
            backend_report_violation(conn->db->backend, "bad message: %s",
                                     line);
        }
        free(line);
    }
}

static void
on_event(struct bufferevent *stream, short what, void *ctx)
{
    (void)stream;
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        free_conn(ctx);
    }
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *addr, int len, void *ctx)
{
    backend_db_t *db = ctx;
    conn_t *conn = MR_NEW(conn_t);

    (void)listener;
    (void)addr;
    (void)len;
    conn->db = db;
    conn->opened = evtimer_new(db->backend->base, on_opened, conn);
    conn->worked = evtimer_new(db->backend->base, on_worked, conn);
    conn->stream =
        bufferevent_socket_new(db->backend->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(conn->stream, on_read, NULL, on_event, conn);
    bufferevent_enable(conn->stream, EV_READ | EV_WRITE);
    mr_list_append(&db->conns, &conn->link);
}

void
backend_db_open(backend_db_t *db)
{
    struct sockaddr_in addr = {.sin_family = AF_INET,
                               .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
                               .sin_port = htons((uint16_t)db->port)};

    db->listener = evconnlistener_new_bind(
        db->backend->base, on_accept, db,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, 128,
        (struct sockaddr *)&addr, sizeof(addr));
    ck_assert_ptr_nonnull(db->listener);
    db->running = true;
}

void
backend_db_close(backend_db_t *db)
{
    if (!db->running) {
        return;
    }
    evconnlistener_free(db->listener);
    while (!mr_list_empty(&db->conns)) {
        free_conn(MR_LIST_ENTRY(db->conns.next, conn_t, link));
    }
    db->running = false;
}

void
backend_promote(backend_t *backend, int index)
{
    backend_db_t *leader = &backend->dbs[index];

    if (!leader->running || backend->primary == index) {
        return;
    }
    backend->primary = index;
    backend->term++;
    backend->promotions++;
    /* The others drop what it has not received. */
    backend->log_count = received(leader);
    for (int i = 0; i < BACKEND_DBS; i++) {
        backend->dbs[i].deaf_at = -1;
        backend->dbs[i].suspended = false;
    }
}
