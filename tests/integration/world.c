#include "world.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "harness.h"
#include "world_internal.h"

world_t *
world_create(struct event_base *base)
{
    world_t *world = MR_NEW(world_t);

    world->base = base;
    world->term = 1;
    world->connections = 36;
    world->log = mr_calloc(LOG_MAX, sizeof(*world->log));
    world->runs = mr_calloc(RUNS_MAX, sizeof(*world->runs));
    world->rows = mr_calloc(ROWS_MAX, sizeof(*world->rows));
    for (int i = 0; i < WORLD_DBS; i++) {
        world_db_t *db = &world->dbs[i];
        db->world = world;
        db->index = i;
        db->port = harness_port();
        db->born = mr_clock_wall();
        db->deaf_at = -1;
        db->lag = 20;
        snprintf(db->id, sizeof(db->id), "i-%d", i);
        mr_list_init(&db->conns);
        world_db_open(db);
    }
    world_store_open(world);
    return world;
}

void
world_destroy(world_t *world)
{
    world_store_close(world);
    for (int i = 0; i < WORLD_DBS; i++) {
        world_db_close(&world->dbs[i]);
    }
    free(world->log);
    free(world->runs);
    free(world->rows);
    free(world);
}

void
world_sync(world_t *world, int copies)
{
    world->sync = copies;
}

int
world_suspended(const world_t *world)
{
    int count = 0;

    for (int i = 0; i < WORLD_DBS; i++) {
        count += world->dbs[i].suspended;
    }
    return count;
}

void
world_drop_route(world_t *world, const char *database)
{
    snprintf(world->dropped, sizeof(world->dropped), "%s", database);
}

static void
add_text(char *out, const char *fmt, ...)
{
    va_list args;
    size_t len = strlen(out);

    va_start(args, fmt);
    vsnprintf(out + len, VALUE_MAX_BYTES - len, fmt, args);
    va_end(args);
}

static void
add_route(const world_t *world, char *out, const char *database,
          const char *type, int max_age)
{
    if (strcmp(world->dropped, database) == 0) {
        return;
    }
    add_text(out,
             "%s{\"name\":\"r-%s\",\"host\":\"%s\",\"path_prefix\":\"/\","
             "\"type\":\"%s\",\"timeout_ms\":1000,\"target_latency_ms\":200,"
             "\"priority\":1,\"service\":\"rez\",\"max_tries\":2,"
             "\"max_staleness_ms\":%d,\"anonymous\":false}",
             out[strlen(out) - 1] == '[' ? "" : ",", database, database, type,
             max_age);
}

void
world_config(world_t *world, int64_t version, const char *const *keys,
             int64_t rate)
{
    char text[VALUE_MAX_BYTES] = "";

    add_text(text, "{\"version\":%lld,\"routes\":[", (long long)version);
    add_route(world, text, "primary", "primary", 0);
    add_route(world, text, "bounded", "bounded_staleness", 1500);
    add_route(world, text, "own", "read_your_writes", 2500);
    add_text(text,
             "],\"services\":[{\"name\":\"rez\",\"max_conns\":%d,"
             "\"sync_replicas\":%d}],\"limits\":{\"tx_idle_ms\":3000},"
             "\"tenants\":[",
             world->connections, world->sync);
    for (int i = 0; keys[i] != NULL; i++) {
        const char *colon = strchr(keys[i], ':');
        add_text(text,
                 "%s{\"name\":\"%.*s\",\"api_keys\":[\"%s\"],"
                 "\"rate_per_s\":%lld,\"burst\":%lld}",
                 i == 0 ? "" : ",", (int)(colon - keys[i]), keys[i], colon + 1,
                 (long long)rate, (long long)rate);
    }
    add_text(text, "]}");
    world_put(world, "op", "config", text);
}

int
world_db_port(const world_t *world, int db)
{
    return world->dbs[db].port;
}

const char *
world_store(const world_t *world, int index)
{
    return world->store_address[index];
}

const char *
world_duty(const world_t *world)
{
    return world->duty_address;
}

void
world_store_fails(world_t *world, int index, bool fails)
{
    world->store_fails[index] = fails;
}

void
world_db_kill(world_t *world, int db)
{
    world_db_close(&world->dbs[db]);
    /* Its registration lapses; the daemons must not need that. */
    world_remove(world, "servers", world->dbs[db].id);
}

void
world_db_start(world_t *world, int db, bool empty)
{
    world->dbs[db].born = mr_clock_wall();
    world->dbs[db].empty_until = empty ? mr_clock_now(NULL) + 500 : 0;
    world->dbs[db].silent = false;
    world_db_open(&world->dbs[db]);
}

void
world_db_silent(world_t *world, int db, bool silent)
{
    world->dbs[db].silent = silent;
}

void
world_db_drains(world_t *world, int db)
{
    world->dbs[db].draining = true;
}

void
world_db_deaf(world_t *world, int db)
{
    world->dbs[db].deaf_at = world->log_count;
}

void
world_db_full(world_t *world, int db, int count)
{
    world->dbs[db].full = count;
}

void
world_db_slow_open(world_t *world, int db, mr_ms_t ms)
{
    world->dbs[db].open_takes = ms;
}

void
world_work(world_t *world, mr_ms_t ms)
{
    world->work = ms;
}

bool
world_db_refuses(const world_t *world, int db)
{
    return world->dbs[db].full > 0;
}

void
world_db_busy(world_t *world, int db, int count)
{
    world->dbs[db].busy = count;
}

int
world_opened(const world_t *world, int db)
{
    return world->dbs[db].opened;
}

void
world_connections(world_t *world, int connections)
{
    world->connections = connections;
}

void
world_lag(world_t *world, int db, mr_ms_t lag)
{
    world->dbs[db].lag = lag;
}

void
world_lose_answers(world_t *world, int nth)
{
    world->lose_nth = nth;
}

void
world_promotions_late(world_t *world, mr_ms_t ms)
{
    world->promotion_delay = ms;
}

int
world_primary(const world_t *world)
{
    return world->primary;
}

int
world_store_reads(const world_t *world)
{
    return world->store_reads;
}

int
world_promotions(const world_t *world)
{
    return world->promotions;
}

int64_t
world_log_end(const world_t *world)
{
    return world->log_count;
}

const world_run_t *
world_find(const world_t *world, const char *id)
{
    for (size_t i = world->run_count; i > 0; i--) {
        if (strcmp(world->runs[i - 1].id, id) == 0) {
            return &world->runs[i - 1];
        }
    }
    return NULL;
}

int
world_count(const world_t *world, const char *id)
{
    int count = 0;

    for (size_t i = 0; i < world->run_count; i++) {
        count += strcmp(world->runs[i].id, id) == 0;
    }
    return count;
}

int
world_holds(const world_t *world, const char *id)
{
    int count = 0;

    for (int64_t i = 0; i < world->log_count; i++) {
        count += strcmp(world->log[i].id, id) == 0;
    }
    return count;
}

const char *
world_problem(const world_t *world)
{
    return world->problem[0] != '\0' ? world->problem : NULL;
}
