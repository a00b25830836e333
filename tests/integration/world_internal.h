#ifndef MR_TESTS_WORLD_INTERNAL_H
#define MR_TESTS_WORLD_INTERNAL_H

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/listener.h>

#include "common/list.h"
#include "world.h"

enum {
    LOG_MAX = 20000,
    RUNS_MAX = 60000,
    ROWS_MAX = 256,
    VALUE_MAX_BYTES = 8192,
};

/** One entry of a log. */
typedef struct backend_entry {
    int64_t term;
    char id[BACKEND_TEXT_BYTES];
    mr_ms_t at; /* when the primary committed it */
} backend_entry_t;

typedef struct backend_db {
    backend_t *backend;
    int index;
    int port;
    char id[BACKEND_TEXT_BYTES];
    int64_t born;
    bool running;
    bool silent;
    bool draining;
    int full;           /* connections that it still refuses */
    int busy;           /* statements that it still refuses */
    int opened;         /* connections so far */
    mr_ms_t open_takes; /* for a new connection */
    mr_ms_t open_free;  /* when the next one can be opened */
    mr_ms_t lag;
    bool suspended;
    int64_t deaf_at;     /* it receives nothing above this number; -1: all */
    mr_ms_t empty_until; /* after a start without its log */
    struct evconnlistener *listener;
    mr_list_t conns;
} backend_db_t;

typedef struct backend_row {
    char table[BACKEND_TEXT_BYTES];
    char key[BACKEND_TEXT_BYTES];
    char value[VALUE_MAX_BYTES];
    int64_t version;
    bool deleted;
} backend_row_t;

typedef struct store_handler store_handler_t;

struct backend {
    struct event_base *base;
    backend_db_t dbs[BACKEND_DBS];
    backend_entry_t *log; /* of the present lineage */
    int64_t log_count;
    int primary; /* index of the database that leads; it may be down */
    int64_t term;
    int promotions;
    int sync;
    int connections; /* to each database, in desired states */
    int64_t highest_token;
    int64_t last_token;
    char last_holder[BACKEND_TEXT_BYTES];
    mr_ms_t promotion_delay;
    int lose_nth;
    mr_ms_t work; /* until an answer is written */
    int statements;
    struct evhttp *stores[BACKEND_STORES];
    store_handler_t *gates; /* to the calls of each store */
    char store_address[BACKEND_STORES][BACKEND_TEXT_BYTES];
    bool store_fails[BACKEND_STORES];
    struct evhttp *duty;
    char duty_address[BACKEND_TEXT_BYTES];
    backend_row_t *rows;
    size_t row_count;
    int64_t version;
    int store_reads;
    mr_list_t waiting; /* feeds */
    struct event *beat;
    char dropped[BACKEND_TEXT_BYTES];
    backend_run_t *runs;
    size_t run_count;
    char problem[256];
};

/* backend_store_address.c */
void backend_store_open(backend_t *backend);
void backend_store_close(backend_t *backend);
void backend_put_row(backend_t *backend, const char *table, const char *key,
                     const char *value);
void backend_remove_row(backend_t *backend, const char *table,
                        const char *key);

/* backend_db.c */
void backend_db_open(backend_db_t *db);
void backend_db_close(backend_db_t *db);
void backend_report_violation(backend_t *backend, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void backend_promote(backend_t *backend, int index);

#endif
