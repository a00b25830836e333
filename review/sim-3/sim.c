/*
 * A small deployment on loopback addresses for the script of this review: the
 * platform's store and promotion call, the databases of two services, clients,
 * a proxy between the two data centres, and the session daemons as separate
 * processes. Everything is as the platform's pages describe it; what is not
 * needed by the script is left out.
 *
 * sim PROGRAM REDIRECT_LIBRARY RECORD LOG_DIRECTORY SCENARIO TROUBLE
 *
 * Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
 */

#include <arpa/inet.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum {
    CENTRES = 2,
    PER_CENTRE = 3, /* daemons of one data centre */
    DAEMONS = CENTRES * PER_CENTRE,
    DBS_PER_SERVICE = 2, /* a primary and a replica */
    DBS = CENTRES * DBS_PER_SERVICE,
    SESSIONS_PER_DAEMON = 6,
    SESSIONS = DAEMONS * SESSIONS_PER_DAEMON,
    ROWS_MAX = 256,
    RUNS_MAX = 400000,
    BEAT_MS = 1200,
    WORK_MS = 3,
    /* Limits of the one tenant. */
    RATE = 100,
    BURST = 100,
    WINDOW_MS = 5000,
    QUOTA_SLACK = 20,
    QUOTA_EXCESS_PERCENT = 10,
};

typedef long long ms_t;

static struct event_base *base;
static FILE *record;
static ms_t started;

static ms_t
now_ms(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_BOOTTIME, &ts);
    return (ms_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void
note(const char *format, ...)
{
    va_list args;

    fprintf(record, "%8lld ", now_ms() - started);
    va_start(args, format);
    vfprintf(record, format, args);
    va_end(args);
    fputc('\n', record);
}

static void
fail_setup(const char *what)
{
    fprintf(stderr, "sim: %s: %s\n", what, strerror(errno));
    exit(2);
}

static void
call_later(ms_t ms, event_callback_fn fn, void *ctx)
{
    struct timeval tv = {ms / 1000, ms % 1000 * 1000};

    event_base_once(base, -1, EV_TIMEOUT, fn, ctx, &tv);
}

static struct sockaddr_in
loopback(int port)
{
    struct sockaddr_in addr = {.sin_family = AF_INET};

    addr.sin_port = htons((uint16_t)port);
    addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return addr;
}

/* Returns a free port below the ephemeral ones. */
static int
free_port(void)
{
    static int next;

    if (next == 0) {
        next = 20000 + getpid() % 8000;
    }
    for (int tries = 0; tries < 4000; tries++) {
        struct sockaddr_in addr = loopback(++next);
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int result = bind(fd, (struct sockaddr *)&addr, sizeof(addr));
        close(fd);
        if (result == 0) {
            return next;
        }
    }
    fail_setup("no free port");
    return -1;
}

static struct evconnlistener *
listen_on(int port, evconnlistener_cb fn, void *ctx)
{
    struct sockaddr_in addr = loopback(port);
    struct evconnlistener *listener = evconnlistener_new_bind(
        base, fn, ctx,
        LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 512,
        (struct sockaddr *)&addr, sizeof(addr));

    if (listener == NULL) {
        fail_setup("listen");
    }
    return listener;
}

/* ---- The platform's store ---- */

typedef struct row {
    char table[64];
    char part[64];
    char key[128];
    char *value; /* base64 */
    long long ver;
    bool deleted;
} row_t;

/** A feed call that waits for a change. */
typedef struct feed {
    struct evhttp_request *req; /* NULL: unused */
    char table[64];
    long long after;
    ms_t until;
} feed_t;

static row_t rows[ROWS_MAX];
static size_t row_count;
static long long store_ver = 1;
static feed_t feeds[256];

static row_t *
find_row(const char *table, const char *part, const char *key)
{
    for (size_t i = 0; i < row_count; i++) {
        if (strcmp(rows[i].table, table) == 0
            && strcmp(rows[i].part, part) == 0
            && strcmp(rows[i].key, key) == 0) {
            return &rows[i];
        }
    }
    return NULL;
}

static void
set_row(const char *table, const char *part, const char *key,
        const char *value)
{
    row_t *row = find_row(table, part, key);

    if (row == NULL) {
        if (row_count == ROWS_MAX) {
            fail_setup("too many rows");
        }
        row = &rows[row_count++];
        snprintf(row->table, sizeof(row->table), "%s", table);
        snprintf(row->part, sizeof(row->part), "%s", part);
        snprintf(row->key, sizeof(row->key), "%s", key);
    }
    free(row->value);
    row->value = value != NULL ? strdup(value) : NULL;
    row->deleted = value == NULL;
    row->ver = store_ver;
}

static json_t *
row_json(const row_t *row)
{
    json_t *doc = json_pack("{s:s,s:s,s:s,s:I}", "table", row->table, "part",
                            row->part, "key", row->key, "ver",
                            (json_int_t)row->ver);

    if (row->deleted) {
        json_object_set_new(doc, "tombstone", json_true());
    }
    else {
        json_object_set_new(doc, "value", json_string(row->value));
    }
    return doc;
}

static void
send_json(struct evhttp_request *req, int status, json_t *doc)
{
    char *text = json_dumps(doc, JSON_COMPACT);
    struct evbuffer *body = evbuffer_new();

    evbuffer_add(body, text, strlen(text));
    evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type",
                      "application/json");
    evhttp_send_reply(req, status, NULL, body);
    evbuffer_free(body);
    free(text);
    json_decref(doc);
}

static int
compare_rows(const void *a, const void *b)
{
    const row_t *one = *(const row_t *const *)a;
    const row_t *other = *(const row_t *const *)b;

    return strcmp(one->key, other->key);
}

static int
compare_versions(const void *a, const void *b)
{
    const row_t *one = *(const row_t *const *)a;
    const row_t *other = *(const row_t *const *)b;

    return (one->ver > other->ver) - (one->ver < other->ver);
}

static json_t *
answer_with(json_t *list)
{
    return json_pack("{s:o,s:b,s:I,s:I}", "rows", list, "has_more", 0, "ver",
                     (json_int_t)store_ver, "now_ms", (json_int_t)now_ms());
}

/* Answers a feed call if there are changes, or if its time is over. */
static bool
answer_feed(struct evhttp_request *req, const char *table, long long after,
            bool over)
{
    const row_t *found[ROWS_MAX];
    size_t count = 0;

    for (size_t i = 0; i < row_count; i++) {
        if (strcmp(rows[i].table, table) == 0 && rows[i].ver > after) {
            found[count++] = &rows[i];
        }
    }
    if (count == 0 && !over) {
        return false;
    }
    qsort(found, count, sizeof(found[0]), compare_versions);
    json_t *list = json_array();
    for (size_t i = 0; i < count; i++) {
        json_array_append_new(list, row_json(found[i]));
    }
    send_json(req, 200, answer_with(list));
    return true;
}

static void
check_feeds(void)
{
    for (size_t i = 0; i < 256; i++) {
        feed_t *feed = &feeds[i];
        if (feed->req != NULL
            && answer_feed(feed->req, feed->table, feed->after,
                           now_ms() >= feed->until)) {
            feed->req = NULL;
        }
    }
}

static void
on_feed_tick(evutil_socket_t fd, short what, void *ctx)
{
    (void)fd;
    (void)what;
    (void)ctx;
    check_feeds();
    call_later(5, on_feed_tick, NULL);
}

static void
on_feed_closed(struct evhttp_connection *conn, void *ctx)
{
    (void)ctx;
    for (size_t i = 0; i < 256; i++) {
        if (feeds[i].req != NULL
            && evhttp_request_get_connection(feeds[i].req) == conn) {
            feeds[i].req = NULL;
        }
    }
}

static const char *
param(struct evkeyvalq *query, const char *name)
{
    const char *value = evhttp_find_header(query, name);

    return value != NULL ? value : "";
}

static void
on_rows_get(struct evhttp_request *req, void *ctx)
{
    struct evkeyvalq query;
    const row_t *found[ROWS_MAX];
    size_t count = 0;
    json_t *list = json_array();

    (void)ctx;
    evhttp_parse_query_str(
        evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req)), &query);
    const char *to = evhttp_find_header(&query, "to");
    for (size_t i = 0; i < row_count; i++) {
        const row_t *row = &rows[i];
        if (!row->deleted && strcmp(row->table, param(&query, "table")) == 0
            && strcmp(row->part, param(&query, "part")) == 0
            && strcmp(row->key, param(&query, "from")) >= 0
            && (to == NULL || strcmp(row->key, to) < 0)) {
            found[count++] = row;
        }
    }
    qsort(found, count, sizeof(found[0]), compare_rows);
    for (size_t i = 0; i < count; i++) {
        json_array_append_new(list, row_json(found[i]));
    }
    evhttp_clear_headers(&query);
    send_json(req, 200, answer_with(list));
}

static void
on_rows_feed(struct evhttp_request *req, void *ctx)
{
    struct evkeyvalq query;

    (void)ctx;
    evhttp_parse_query_str(
        evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req)), &query);
    long long after = atoll(param(&query, "after"));
    ms_t wait = atoll(param(&query, "wait_ms"));
    if (!answer_feed(req, param(&query, "table"), after, wait <= 0)) {
        for (size_t i = 0; i < 256; i++) {
            if (feeds[i].req == NULL) {
                feeds[i] = (feed_t){.req = req, .after = after,
                                    .until = now_ms() + wait};
                snprintf(feeds[i].table, sizeof(feeds[i].table), "%s",
                         param(&query, "table"));
                evhttp_connection_set_closecb(
                    evhttp_request_get_connection(req), on_feed_closed, NULL);
                break;
            }
        }
    }
    evhttp_clear_headers(&query);
}

static const char *
text_of(json_t *doc, const char *name)
{
    const char *text = json_string_value(json_object_get(doc, name));

    return text != NULL ? text : "";
}

static void
on_rows_tx(struct evhttp_request *req, void *ctx)
{
    struct evbuffer *in = evhttp_request_get_input_buffer(req);
    size_t len = evbuffer_get_length(in);
    json_t *doc = json_loadb((char *)evbuffer_pullup(in, -1), len, 0, NULL);
    json_t *current = json_array();
    bool holds = true;
    size_t i;
    json_t *item;

    (void)ctx;
    json_array_foreach(json_object_get(doc, "precondition"), i, item)
    {
        row_t *row = find_row(text_of(item, "table"), text_of(item, "part"),
                              text_of(item, "key"));
        long long ver = row != NULL && !row->deleted ? row->ver : 0;
        if (ver != json_integer_value(json_object_get(item, "ver"))) {
            holds = false;
        }
        if (ver != 0) {
            json_array_append_new(current, row_json(row));
        }
    }
    if (!holds) {
        send_json(req, 412, answer_with(current));
        json_decref(doc);
        return;
    }
    json_decref(current);
    store_ver++;
    json_array_foreach(json_object_get(doc, "set_keys"), i, item)
    {
        set_row(text_of(item, "table"), text_of(item, "part"),
                text_of(item, "key"), text_of(item, "value"));
    }
    json_array_foreach(json_object_get(doc, "delete_keys"), i, item)
    {
        set_row(text_of(item, "table"), text_of(item, "part"),
                text_of(item, "key"), NULL);
        if (strcmp(text_of(item, "table"), "instances") == 0) {
            note("store: a daemon removed the row instances/%s",
                 text_of(item, "key"));
        }
    }
    json_decref(doc);
    send_json(req, 200,
              json_pack("{s:I,s:I}", "ver", (json_int_t)store_ver, "now_ms",
                        (json_int_t)now_ms()));
    check_feeds();
}

static char *
base64(const char *text)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t len = strlen(text);
    char *out = calloc(1, len * 2 + 8);
    size_t at = 0;

    for (size_t i = 0; i < len; i += 3) {
        unsigned value = (unsigned char)text[i] << 16;
        value |= i + 1 < len ? (unsigned char)text[i + 1] << 8 : 0;
        value |= i + 2 < len ? (unsigned char)text[i + 2] : 0;
        out[at++] = digits[value >> 18 & 63];
        out[at++] = digits[value >> 12 & 63];
        out[at++] = i + 1 < len ? digits[value >> 6 & 63] : '=';
        out[at++] = i + 2 < len ? digits[value & 63] : '=';
    }
    return out;
}

/* The operator or a database writes. */
static void
write_outside(const char *table, const char *key, json_t *doc)
{
    char *text = json_dumps(doc, JSON_COMPACT);
    char *value = base64(text);

    store_ver++;
    set_row(table, "", key, value);
    free(value);
    free(text);
    json_decref(doc);
}

/* ---- The databases ---- */

typedef struct service {
    char name[32];
    long long term;
    long long number; /* of the last commit */
    int primary;      /* index of the database */
    long long fence;
} service_t;

typedef struct db {
    int index;
    int centre;
    int port;
    char id[32];
    service_t *service;
    long long reports;
} db_t;

/** A connection of a daemon to a database. */
typedef struct db_conn {
    db_t *db;
    struct bufferevent *stream;
    bool open;
    char state;
    bool read_only;
    char tenant[64];
    struct evbuffer *answers; /* of the statement at work */
    bool working;
    bool closed;
} db_conn_t;

/** One run of a client's statement. */
typedef struct run {
    ms_t sent;
    ms_t arrived;
} run_t;

static service_t services[CENTRES];
static db_t dbs[DBS];
static run_t runs[RUNS_MAX];
static size_t run_count;
static ms_t sent_at[1 << 20]; /* by the number of the operation */
static int promotions;

static void handle_db_input(db_conn_t *conn);

static void
add_ready(db_conn_t *conn)
{
    evbuffer_add_printf(conn->answers, "READY %c %lld.%lld\r\n", conn->state,
                        conn->db->service->term, conn->db->service->number);
}

static void
flush_answers(db_conn_t *conn)
{
    evbuffer_add_buffer(bufferevent_get_output(conn->stream), conn->answers);
}

static void
free_db_conn(db_conn_t *conn)
{
    if (conn->working) {
        conn->closed = true;
        return;
    }
    bufferevent_free(conn->stream);
    evbuffer_free(conn->answers);
    free(conn);
}

static void
on_work_done(evutil_socket_t fd, short what, void *ctx)
{
    db_conn_t *conn = ctx;

    (void)fd;
    (void)what;
    conn->working = false;
    if (conn->closed) {
        free_db_conn(conn);
        return;
    }
    flush_answers(conn);
    handle_db_input(conn);
}

static void
record_run(const char *id)
{
    long long number = strtoll(id, NULL, 16) & ((1 << 20) - 1);

    if (run_count < RUNS_MAX) {
        runs[run_count++] = (run_t){sent_at[number], now_ms()};
    }
}

/* Answers one statement. Returns whether it takes time. */
static bool
run_statement(db_conn_t *conn, const char *id, char *text)
{
    service_t *service = conn->db->service;
    bool primary = service->primary == conn->db->index;
    bool work = false;
    const char *error = NULL;

    if (strncmp(text, "AFTER ", 6) == 0) {
        long long term = 0;
        long long number = 0;
        int used = 0;
        sscanf(text + 6, "%lld.%lld %n", &term, &number, &used);
        text += 6 + used;
        if (term > service->term
            || (term == service->term && number > service->number)) {
            error = "LAGGING behind";
        }
    }
    if (error != NULL) {
    }
    else if (strcmp(text, "BEGIN READ") == 0) {
        conn->state = 'T';
        conn->read_only = true;
    }
    else if (strcmp(text, "BEGIN") == 0) {
        if (primary) {
            conn->state = 'T';
            conn->read_only = false;
        }
        else {
            error = "READONLY replica";
        }
    }
    else if (strcmp(text, "COMMIT") == 0 || strcmp(text, "ROLLBACK") == 0) {
        conn->state = 'I';
    }
    else if (strncmp(text, "READ ", 5) == 0) {
        evbuffer_add_printf(conn->answers, "ROW row-of-%s\r\n", text + 5);
        work = true;
    }
    else if (strncmp(text, "WRITE ", 6) == 0) {
        if (primary) {
            service->number++;
            work = true;
        }
        else {
            error = "READONLY replica";
        }
    }
    else if (strcmp(text, "STATUS") == 0) {
        evbuffer_add_printf(conn->answers,
                            "ROW %s %lld %lld.%lld %lld 0 0 1\r\n",
                            primary ? "primary" : "replica", service->term,
                            service->term, service->number,
                            primary ? service->term : 0);
    }
    if (work && strcmp(id, "-") != 0) {
        record_run(id);
    }
    if (error != NULL) {
        if (conn->state == 'T') {
            conn->state = 'E';
        }
        evbuffer_add_printf(conn->answers, "ERROR %s\r\n", error);
    }
    else {
        evbuffer_add_printf(conn->answers, "COMPLETE %s\r\n",
                            work ? "7.1f3.c.2b.90e1c4d2a7b3f655" : "-");
    }
    add_ready(conn);
    return work;
}

/* Handles messages until one takes time. */
static void
handle_db_input(db_conn_t *conn)
{
    char *line;

    while (!conn->working
           && (line = evbuffer_readln(bufferevent_get_input(conn->stream),
                                      NULL, EVBUFFER_EOL_CRLF_STRICT))
                  != NULL) {
        char id[64] = "";
        char service[64] = "";
        int used = 0;
        if (!conn->open) {
            sscanf(line, "OPEN %63s %63s %63s", service, conn->tenant, id);
            bool right = strcmp(service, conn->db->service->name) == 0
                         && (id[0] == '\0' || strcmp(id, conn->db->id) == 0);
            conn->open = right;
            if (right) {
                add_ready(conn);
            }
            else {
                evbuffer_add_printf(conn->answers, "ERROR MISROUTED %s\r\n",
                                    conn->db->id);
            }
            flush_answers(conn);
        }
        else if (sscanf(line, "QUERY %63s %n", id, &used) == 1) {
            if (run_statement(conn, id, line + used)) {
                conn->working = true;
                call_later(WORK_MS, on_work_done, conn);
            }
            else {
                flush_answers(conn);
            }
        }
        free(line);
    }
}

static void
on_db_read(struct bufferevent *stream, void *ctx)
{
    (void)stream;
    handle_db_input(ctx);
}

static void
on_db_event(struct bufferevent *stream, short what, void *ctx)
{
    (void)stream;
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
        bufferevent_disable(stream, EV_READ | EV_WRITE);
        free_db_conn(ctx);
    }
}

static void
on_db_accept(struct evconnlistener *listener, evutil_socket_t fd,
             struct sockaddr *from, int len, void *ctx)
{
    db_conn_t *conn = calloc(1, sizeof(*conn));

    (void)listener;
    (void)from;
    (void)len;
    conn->db = ctx;
    conn->state = 'I';
    conn->answers = evbuffer_new();
    conn->stream = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(conn->stream, on_db_read, NULL, on_db_event, conn);
    bufferevent_enable(conn->stream, EV_READ | EV_WRITE);
}

static const char *const centres[CENTRES] = {"east", "west"};

static void
report_db(db_t *db)
{
    char address[64];

    snprintf(address, sizeof(address), "127.0.0.1:%d", db->port);
    write_outside(
        "servers", db->id,
        json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:s,s:I}", "service",
                  db->service->name, "address", address, "zone",
                  centres[db->centre], "version", "v1", "slots", 4, "state",
                  "ready", "cold_left_ms", 0, "db_role",
                  db->service->primary == db->index ? "primary" : "replica",
                  "seq_no", (json_int_t)++db->reports));
}

static void
on_beat(evutil_socket_t fd, short what, void *ctx)
{
    (void)fd;
    (void)what;
    report_db(ctx);
    call_later(BEAT_MS, on_beat, ctx);
}

/* ---- The promotion call ---- */

static void
on_promote(struct evhttp_request *req, void *ctx)
{
    struct evbuffer *in = evhttp_request_get_input_buffer(req);
    struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
    const char *holder = evhttp_find_header(headers, "Duty-Holder");
    const char *token = evhttp_find_header(headers, "Fence-Token");
    json_t *doc = json_loadb((char *)evbuffer_pullup(in, -1),
                             evbuffer_get_length(in), 0, NULL);
    int status = 409;

    (void)ctx;
    for (int i = 0; i < DBS; i++) {
        db_t *db = &dbs[i];
        long long fence = token != NULL ? atoll(token) : 0;
        if (strcmp(db->service->name, text_of(doc, "service")) == 0
            && strcmp(db->id, text_of(doc, "id")) == 0
            && fence >= db->service->fence) {
            status = 200;
            db->service->fence = fence;
            if (db->service->primary != db->index) {
                promotions++;
                db->service->primary = db->index;
                db->service->term++;
                for (int j = 0; j < DBS; j++) {
                    if (dbs[j].service == db->service) {
                        report_db(&dbs[j]);
                    }
                }
            }
        }
    }
    note("platform: promote service=%s id=%s holder=%s token=%s: %d",
         text_of(doc, "service"), text_of(doc, "id"),
         holder != NULL ? holder : "-", token != NULL ? token : "-", status);
    json_decref(doc);
    send_json(req, status, json_object());
}

/* ---- The proxy between the data centres ---- */

/** What one data centre uses to reach a port in the other one. */
typedef struct link {
    int port;
    int target;
} link_t;

/** A connection across the proxy; a cut keeps it open and silent. */
typedef struct crossing {
    struct bufferevent *ends[2];
    bool silent;
    struct crossing *next;
} crossing_t;

static link_t links[64];
static int link_count;
static crossing_t *crossings;
static bool cut;

static void
on_crossing_read(struct bufferevent *from, void *ctx)
{
    crossing_t *crossing = ctx;
    struct evbuffer *in = bufferevent_get_input(from);

    if (crossing->silent) {
        evbuffer_drain(in, evbuffer_get_length(in));
        return;
    }
    bufferevent_write_buffer(
        crossing->ends[crossing->ends[0] == from ? 1 : 0], in);
}

static void
free_crossing(crossing_t *crossing)
{
    crossing_t **at = &crossings;

    while (*at != crossing) {
        at = &(*at)->next;
    }
    *at = crossing->next;
    bufferevent_free(crossing->ends[0]);
    bufferevent_free(crossing->ends[1]);
    free(crossing);
}

static void
on_crossing_event(struct bufferevent *bev, short what, void *ctx)
{
    (void)bev;
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
        free_crossing(ctx);
    }
}

static void
on_link_accept(struct evconnlistener *listener, evutil_socket_t fd,
               struct sockaddr *from, int len, void *ctx)
{
    link_t *link = ctx;
    crossing_t *crossing = calloc(1, sizeof(*crossing));
    struct sockaddr_in addr = loopback(link->target);

    (void)listener;
    (void)from;
    (void)len;
    crossing->silent = cut;
    crossing->next = crossings;
    crossings = crossing;
    crossing->ends[0] =
        bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
    crossing->ends[1] =
        bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    for (int i = 0; i < 2; i++) {
        bufferevent_setcb(crossing->ends[i], on_crossing_read, NULL,
                          on_crossing_event, crossing);
        bufferevent_enable(crossing->ends[i], EV_READ | EV_WRITE);
    }
    if (!crossing->silent) {
        bufferevent_socket_connect(crossing->ends[1],
                                   (struct sockaddr *)&addr, sizeof(addr));
    }
}

static void
set_cut(bool on)
{
    note("proxy: the data centres are %s", on ? "cut from each other"
                                              : "connected again");
    cut = on;
    for (crossing_t *it = crossings, *next; it != NULL; it = next) {
        next = it->next;
        if (on) {
            it->silent = true;
        }
        else if (it->silent) {
            free_crossing(it); /* it has lost bytes */
        }
    }
}

/* Adds a link to @target; returns its port. */
static int
add_link(int target)
{
    link_t *link = &links[link_count++];

    *link = (link_t){free_port(), target};
    listen_on(link->port, on_link_accept, link);
    return link->port;
}

/* ---- The daemons ---- */

typedef struct daemon {
    char name[32];
    int centre;
    int listen;
    int ready;
    int peer;
    char redirect[512];
    pid_t pid;
    bool answered_ready;
} daemon_t;

static daemon_t daemons[DAEMONS];
static const char *program;
static const char *redirect_library;
static const char *directory;
static int store_port;
static int duty_port;

static void
start_daemon(daemon_t *daemon)
{
    char args[16][160];
    char *argv[17];
    char log[256];
    int count = 0;

    snprintf(args[count++], 160, "%s", program);
    snprintf(args[count++], 160, "--name=%s", daemon->name);
    snprintf(args[count++], 160, "--data-centre=%s", centres[daemon->centre]);
    snprintf(args[count++], 160, "--listen=127.0.0.1:%d", daemon->listen);
    snprintf(args[count++], 160, "--ready=127.0.0.1:%d", daemon->ready);
    snprintf(args[count++], 160, "--peer=127.0.0.1:%d", daemon->peer);
    snprintf(args[count++], 160, "--store=127.0.0.1:%d", store_port);
    snprintf(args[count++], 160, "--duty=127.0.0.1:%d", duty_port);
    snprintf(args[count++], 160, "--grace-s=6");
    snprintf(args[count++], 160, "--apply-ms=3000");
    snprintf(args[count++], 160, "--evacuate-ms=");
    snprintf(args[count++], 160, "--memory-mb=182");
    snprintf(args[count++], 160, "--max-fds=2940");
    snprintf(args[count++], 160, "--link-mbps=700.0");
    snprintf(args[count++], 160, "--regions=east=region-1,west=region-2");
    for (int i = 0; i < count; i++) {
        argv[i] = args[i];
    }
    argv[count] = NULL;
    snprintf(log, sizeof(log), "%s/%s.log", directory, daemon->name);
    daemon->pid = fork();
    if (daemon->pid < 0) {
        fail_setup("fork");
    }
    if (daemon->pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int out = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        if (daemon->redirect[0] != '\0') {
            setenv("LD_PRELOAD", redirect_library, 1);
            setenv("HARNESS_REDIRECT", daemon->redirect, 1);
        }
        execv(program, argv);
        _exit(127);
    }
    note("daemon %s starts", daemon->name);
}

static void
stop_daemons(void)
{
    for (int i = 0; i < DAEMONS; i++) {
        if (daemons[i].pid > 0) {
            kill(daemons[i].pid, SIGKILL);
            waitpid(daemons[i].pid, NULL, 0);
            daemons[i].pid = 0;
        }
    }
}

/* ---- The clients ---- */

typedef struct session {
    int index;
    daemon_t *daemon;
    struct bufferevent *stream; /* NULL: closed */
    long long operations;
    bool failed;
} session_t;

static session_t sessions[SESSIONS];
static long long last_operation;
static long long served[CENTRES];
static long long refused[CENTRES];
static bool traffic;
static ms_t pause_ms;         /* of a client between two operations */
static ms_t refused_pause_ms; /* the same after a refusal */

static void on_connect_again(evutil_socket_t fd, short what, void *ctx);

static void
on_send(evutil_socket_t fd, short what, void *ctx)
{
    session_t *session = ctx;

    (void)fd;
    (void)what;
    if (session->stream == NULL || !traffic) {
        return;
    }
    long long number = ++last_operation;
    sent_at[number & ((1 << 20) - 1)] = now_ms();
    evbuffer_add_printf(bufferevent_get_output(session->stream),
                        "QUERY %016llx READ item-%lld\r\n", number,
                        number % 2000);
}

static void
on_session_read(struct bufferevent *stream, void *ctx)
{
    session_t *session = ctx;
    char *line;

    while ((line = evbuffer_readln(bufferevent_get_input(stream), NULL,
                                   EVBUFFER_EOL_CRLF_STRICT))
           != NULL) {
        if (strncmp(line, "ERROR", 5) == 0) {
            session->failed = true;
        }
        if (strncmp(line, "READY", 5) == 0) {
            if (session->operations++ > 0) {
                served[session->daemon->centre] += !session->failed;
                refused[session->daemon->centre] += session->failed;
            }
            call_later(session->failed ? refused_pause_ms : pause_ms,
                       on_send, session);
            session->failed = false;
        }
        free(line);
    }
}

static void
on_session_event(struct bufferevent *stream, short what, void *ctx)
{
    session_t *session = ctx;

    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
        bufferevent_free(stream);
        session->stream = NULL;
        call_later(200, on_connect_again, session);
    }
}

static void
connect_session(session_t *session)
{
    struct sockaddr_in addr = loopback(session->daemon->listen);

    session->operations = 0;
    session->failed = false;
    session->stream = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(session->stream, on_session_read, NULL,
                      on_session_event, session);
    bufferevent_enable(session->stream, EV_READ | EV_WRITE);
    evbuffer_add_printf(bufferevent_get_output(session->stream),
                        "OPEN %s-db key-of-tenant\r\n",
                        centres[session->daemon->centre]);
    if (bufferevent_socket_connect(session->stream, (struct sockaddr *)&addr,
                                   sizeof(addr))
        != 0) {
        bufferevent_free(session->stream);
        session->stream = NULL;
        call_later(200, on_connect_again, session);
    }
}

static void
on_connect_again(evutil_socket_t fd, short what, void *ctx)
{
    (void)fd;
    (void)what;
    if (((session_t *)ctx)->stream == NULL) {
        connect_session(ctx);
    }
}

/* ---- Set-up ---- */

static void
write_config(long long version)
{
    json_t *routes = json_array();
    json_t *list = json_array();

    for (int i = 0; i < CENTRES; i++) {
        char host[32];
        snprintf(host, sizeof(host), "%s-db", centres[i]);
        json_array_append_new(
            routes,
            json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:i,s:b}", "name",
                      host, "host", host, "path_prefix", "/", "type",
                      "bounded_staleness", "timeout_ms", 1200,
                      "target_latency_ms", 300, "priority", 2, "service",
                      services[i].name, "max_tries", 2, "max_staleness_ms",
                      1500, "anonymous", 0));
        json_array_append_new(
            list, json_pack("{s:s,s:s,s:i,s:s,s:b,s:i}", "name",
                            services[i].name, "health_path", "/health",
                            "max_conns", 60, "protocol", "h1", "tls", 0,
                            "sync_replicas", 0));
    }
    write_outside(
        "op", "config",
        json_pack("{s:I,s:o,s:o,s:{s:i,s:i,s:i,s:i,s:i},s:[{s:s,s:[s],s:i,"
                  "s:i,s:i}]}",
                  "version", (json_int_t)version, "routes", routes, "services",
                  list, "limits", "max_header_bytes", 16384, "max_body_bytes",
                  262144, "header_timeout_ms", 3000, "idle_timeout_ms", 15000,
                  "tx_idle_ms", 3000, "tenants", "name", "tenant", "api_keys",
                  "key-of-tenant", "priority", 1, "rate_per_s", RATE, "burst",
                  BURST));
    check_feeds();
}

static void
create_deployment(void)
{
    struct evhttp *store = evhttp_new(base);
    struct evhttp *duty = evhttp_new(base);

    store_port = free_port();
    duty_port = free_port();
    evhttp_set_cb(store, "/masticrelay/rows-get", on_rows_get, NULL);
    evhttp_set_cb(store, "/masticrelay/rows-feed", on_rows_feed, NULL);
    evhttp_set_cb(store, "/masticrelay/rows-tx", on_rows_tx, NULL);
    evhttp_set_cb(duty, "/promote", on_promote, NULL);
    if (evhttp_bind_socket(store, "127.0.0.1", (uint16_t)store_port) != 0
        || evhttp_bind_socket(duty, "127.0.0.1", (uint16_t)duty_port) != 0) {
        fail_setup("bind");
    }
    for (int i = 0; i < CENTRES; i++) {
        snprintf(services[i].name, sizeof(services[i].name), "%s-service",
                 centres[i]);
        services[i].term = 3;
        services[i].number = 1000;
        services[i].primary = i * DBS_PER_SERVICE;
    }
    for (int i = 0; i < DBS; i++) {
        db_t *db = &dbs[i];
        db->index = i;
        db->centre = i / DBS_PER_SERVICE;
        db->service = &services[db->centre];
        db->port = free_port();
        snprintf(db->id, sizeof(db->id), "i-7f3a91c%d", i);
        listen_on(db->port, on_db_accept, db);
        on_beat(-1, 0, db);
    }
    write_config(7);
    for (int i = 0; i < DAEMONS; i++) {
        daemon_t *daemon = &daemons[i];
        daemon->centre = i / PER_CENTRE;
        daemon->listen = free_port();
        daemon->ready = free_port();
        daemon->peer = free_port();
        snprintf(daemon->name, sizeof(daemon->name), "edge-%s-%d",
                 centres[daemon->centre], i % PER_CENTRE + 1);
    }
    for (int i = 0; i < DAEMONS; i++) {
        daemon_t *daemon = &daemons[i];
        size_t len = 0;
        for (int j = 0; j < DAEMONS; j++) {
            if (daemons[j].centre != daemon->centre) {
                len += (size_t)snprintf(daemon->redirect + len,
                                        sizeof(daemon->redirect) - len,
                                        "%d:%d,", daemons[j].peer,
                                        add_link(daemons[j].peer));
            }
        }
        for (int j = 0; j < DBS; j++) {
            if (dbs[j].centre != daemon->centre) {
                len += (size_t)snprintf(daemon->redirect + len,
                                        sizeof(daemon->redirect) - len,
                                        "%d:%d,", dbs[j].port,
                                        add_link(dbs[j].port));
            }
        }
    }
    for (int i = 0; i < SESSIONS; i++) {
        sessions[i].index = i;
        sessions[i].daemon = &daemons[i / SESSIONS_PER_DAEMON];
    }
}

static void
run_for(ms_t ms)
{
    struct timeval tv = {ms / 1000, ms % 1000 * 1000};

    event_base_loopexit(base, &tv);
    event_base_dispatch(base);
}

static void
on_probe(struct evhttp_request *req, void *ctx)
{
    daemon_t *daemon = ctx;

    daemon->answered_ready =
        req != NULL && evhttp_request_get_response_code(req) == 200;
}

static bool
all_ready(void)
{
    bool all = true;

    for (int i = 0; i < DAEMONS; i++) {
        daemon_t *daemon = &daemons[i];
        if (daemon->pid == 0) {
            continue;
        }
        struct evhttp_connection *conn = evhttp_connection_base_new(
            base, NULL, "127.0.0.1", (uint16_t)daemon->ready);
        evhttp_connection_set_timeout(conn, 1);
        daemon->answered_ready = false;
        evhttp_make_request(conn, evhttp_request_new(on_probe, daemon),
                            EVHTTP_REQ_GET, "/masticrelay/readiness");
        run_for(150);
        all &= daemon->answered_ready;
        evhttp_connection_free(conn);
    }
    return all;
}

static void
note_served(const char *when)
{
    note("%s: served east=%lld west=%lld, refused east=%lld west=%lld, "
         "promotions=%d",
         when, served[0], served[1], refused[0], refused[1], promotions);
}

/* ---- Scenario: a long cut between the data centres ---- */

/* Runs the most requests that were sent, and arrived, within one window. */
static long long
busiest_window(ms_t from, ms_t *at)
{
    long long most = 0;

    for (size_t i = 0; i < run_count; i++) {
        long long count = 0;
        ms_t begin = runs[i].sent;
        if (begin < from) {
            continue;
        }
        /* Runs are in the order of their arrival. */
        for (size_t j = i > 2000 ? i - 2000 : 0;
             j < run_count && runs[j].arrived <= begin + WINDOW_MS; j++) {
            count += runs[j].sent >= begin;
        }
        if (count > most) {
            most = count;
            *at = begin;
        }
    }
    return most;
}

static int
play_quota(bool trouble)
{
    const long long bound =
        (RATE * WINDOW_MS / 1000 + BURST) * (100 + QUOTA_EXCESS_PERCENT) / 100
        + QUOTA_SLACK;
    ms_t at = 0;

    pause_ms = 5;
    refused_pause_ms = 50;
    traffic = true;
    for (int i = 0; i < SESSIONS; i++) {
        connect_session(&sessions[i]);
    }
    run_for(8000);
    note_served("before the cut");
    if (served[0] == 0 || served[1] == 0) {
        return 2;
    }
    if (trouble) {
        set_cut(true);
    }
    for (int i = 0; i < 9; i++) {
        run_for(5000);
        note_served("5 s later");
    }
    if (trouble) {
        set_cut(false);
    }
    run_for(5000);
    note_served("at the end");
    traffic = false;
    long long most = busiest_window(0, &at);
    note("most requests of the tenant sent and run within %d ms: %lld, from "
         "%lld ms on; the bound is %lld",
         WINDOW_MS, most, at - started, bound);
    printf("QUOTA: %lld in %d ms, bound %lld\n", most, WINDOW_MS, bound);
    return most > bound ? 1 : 0;
}

int
main(int argc, char **argv)
{
    int result = 2;

    if (argc != 7) {
        fprintf(stderr, "usage: sim PROGRAM LIBRARY RECORD LOG_DIRECTORY "
                        "SCENARIO TROUBLE\n");
        return 2;
    }
    program = argv[1];
    redirect_library = argv[2];
    directory = argv[4];
    bool trouble = strcmp(argv[6], "0") != 0;
    signal(SIGPIPE, SIG_IGN);
    record = fopen(argv[3], "w");
    if (record == NULL) {
        fail_setup(argv[3]);
    }
    started = now_ms();
    base = event_base_new();
    create_deployment();
    on_feed_tick(-1, 0, NULL);
    for (int i = 0; i < DAEMONS; i++) {
        start_daemon(&daemons[i]);
    }
    run_for(4000);
    bool ready = false;
    for (int i = 0; i < 10 && !ready; i++) {
        ready = all_ready();
    }
    note("all daemons are ready: %s", ready ? "yes" : "no");
    if (ready && strcmp(argv[5], "quota") == 0) {
        result = play_quota(trouble);
    }
    stop_daemons();
    note("exit status %d", result);
    fclose(record);
    return result;
}
