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
typedef struct world_entry {
    int64_t term;
    char id[WORLD_TEXT_BYTES];
    mr_ms_t at; /* when the primary committed it */
} world_entry_t;

typedef struct world_db {
    world_t *world;
    int index;
    int port;
    char id[WORLD_TEXT_BYTES];
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
} world_db_t;

typedef struct world_row {
    char table[WORLD_TEXT_BYTES];
    char key[WORLD_TEXT_BYTES];
    char value[VALUE_MAX_BYTES];
    int64_t version;
    bool deleted;
} world_row_t;

typedef struct world_gate world_gate_t;

struct world {
    struct event_base *base;
    world_db_t dbs[WORLD_DBS];
    world_entry_t *log; /* of the present lineage */
    int64_t log_count;
    int primary; /* index of the database that leads; it may be down */
    int64_t term;
    int promotions;
    int sync;
    int connections; /* to each database, in desired states */
    int64_t highest_token;
    int64_t last_token;
    char last_holder[WORLD_TEXT_BYTES];
    mr_ms_t promotion_delay;
    int lose_nth;
    mr_ms_t work; /* until an answer is written */
    int statements;
    struct evhttp *stores[WORLD_STORES];
    world_gate_t *gates; /* to the calls of each store */
    char store_address[WORLD_STORES][WORLD_TEXT_BYTES];
    bool store_fails[WORLD_STORES];
    struct evhttp *duty;
    char duty_address[WORLD_TEXT_BYTES];
    world_row_t *rows;
    size_t row_count;
    int64_t version;
    int store_reads;
    mr_list_t waiting; /* feeds */
    struct event *beat;
    char dropped[WORLD_TEXT_BYTES];
    world_run_t *runs;
    size_t run_count;
    char problem[256];
};

/* world_store.c */
void world_store_open(world_t *world);
void world_store_close(world_t *world);
void world_put(world_t *world, const char *table, const char *key,
               const char *value);
void world_remove(world_t *world, const char *table, const char *key);

/* world_db.c */
void world_db_open(world_db_t *db);
void world_db_close(world_db_t *db);
void world_complain(world_t *world, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void world_promote(world_t *world, int index);

#endif
