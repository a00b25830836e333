/* Faults of the soak test. They are injected from outside the daemons: by
 * signals, by the proxy on their connections and by the simulated backend. */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "session_links.h"
#include "session_soak.h"

enum {
    FAULT_ODDS = 15, /* one step in this many begins a fault */
    FAULT_MIN_MS = 200,
    FAULT_MAX_MS = 4000,
    DOWN_MAX_MS = 1000, /* of a killed or stopped process */
    CLOCK_SHIFT_MAX_MS = 10000,
    LAG_MAX_MS = 3000,
    DEFAULT_LAG_MS = 20, /* of a replica without a fault */
    ROUTES_STEP = 700,   /* routes added and removed at once; about 150 KB */
    ROUTES_STEPS_MAX = 4,
    SERIES_ODDS = 25, /* one step in this many of a series changes the state */
    STORE_AWAY_MAX_MS = 2000,    /* before it is back from a copy */
    REWRITE_AFTER_MAX_MS = 2000, /* of rows that the copy lacks */
};

/** A type of fault: how it begins and ends. */
typedef struct soak_fault_type {
    const char *name;
    void (*begin)(soak_t *soak, soak_fault_t *fault);
    void (*update)(soak_t *soak); /* in each step between; may be NULL */
    void (*end)(soak_t *soak, soak_fault_t *fault);
    /* Name of the proxy's link; '#' stands for the number of the relay or
     * database. NULL: not a fault of a link. */
    const char *link_pattern;
    const char *begin_json; /* settings that the proxy gets */
    const char *end_json;
    bool names_db; /* '#' stands for a database */
    bool planned;  /* must not interrupt a request */
} soak_fault_type_t;

static void
print_fault(const char *what, const soak_fault_t *fault)
{
    printf("%lld %s %s relay=%d db=%d link=%s\n",
           (long long)mr_clock_now(NULL), what, fault->type->name,
           fault->relay, fault->db, fault->link);
}

static void
set_link(soak_t *soak, const soak_fault_t *fault, const char *json)
{
    char path[2 * BACKEND_TEXT_BYTES];

    snprintf(path, sizeof(path), "/links/%s", fault->link);
    links_set(soak->base, &soak->proxy, path, json);
}

static void
begin_link(soak_t *soak, soak_fault_t *fault)
{
    int number = fault->type->names_db ? fault->db : fault->relay;

    snprintf(fault->link, sizeof(fault->link), "%s",
             fault->type->link_pattern);
    *strchr(fault->link, '#') = (char)('0' + number);
    set_link(soak, fault, fault->type->begin_json);
}

static void
end_link(soak_t *soak, soak_fault_t *fault)
{
    set_link(soak, fault, fault->type->end_json);
}

static bool
is_up(const soak_t *soak, int relay)
{
    return soak->relays[relay].pid != 0 && !soak->stopping[relay];
}

static void
begin_kill(soak_t *soak, soak_fault_t *fault)
{
    if (is_up(soak, fault->relay)) {
        relay_kill(&soak->relays[fault->relay]);
        soak->restart_at[fault->relay] =
            mr_clock_now(NULL) + soak_random(soak, DOWN_MAX_MS) + 1;
    }
}

static void
begin_kill_all(soak_t *soak, soak_fault_t *fault)
{
    for (fault->relay = 0; fault->relay < SOAK_RELAYS; fault->relay++) {
        begin_kill(soak, fault);
    }
}

static void
begin_pause(soak_t *soak, soak_fault_t *fault)
{
    relay_signal(&soak->relays[fault->relay], SIGSTOP);
}

static void
end_pause(soak_t *soak, soak_fault_t *fault)
{
    relay_signal(&soak->relays[fault->relay], SIGCONT);
}

static void
begin_stop(soak_t *soak, soak_fault_t *fault)
{
    if (is_up(soak, fault->relay)) {
        soak->stopping[fault->relay] = true;
        relay_signal(&soak->relays[fault->relay], SIGTERM);
    }
}

static void
begin_reload(soak_t *soak, soak_fault_t *fault)
{
    relay_signal(&soak->relays[fault->relay], SIGHUP);
}

static void
change_config(soak_t *soak)
{
    static const char *const keys[] = {"coop:key-1", "agent:key-2",
                                       "broker:key-3", NULL};

    soak->config_version += 1 + soak_random(soak, 3);
    backend_set_extra_routes(soak->backend, soak->extra_routes);
    backend_put_config(soak->backend, soak->config_version, keys, SOAK_RATE);
}

static void
begin_config_change(soak_t *soak, soak_fault_t *fault)
{
    (void)fault;
    change_config(soak);
}

static void
begin_many_routes(soak_t *soak, soak_fault_t *fault)
{
    (void)fault;
    soak->extra_routes = ROUTES_STEP * soak_random(soak, ROUTES_STEPS_MAX + 1);
    change_config(soak);
}

static void
update_change_series(soak_t *soak)
{
    if (soak_random(soak, SERIES_ODDS) == 0) {
        soak->extra_routes += soak_random(soak, 2);
        change_config(soak);
    }
}

static void
begin_store_failure(soak_t *soak, soak_fault_t *fault)
{
    backend_set_store_failing(soak->backend, fault->relay, true);
}

static void
end_store_failure(soak_t *soak, soak_fault_t *fault)
{
    backend_set_store_failing(soak->backend, fault->relay, false);
}

static void
begin_store_failure_all(soak_t *soak, soak_fault_t *fault)
{
    (void)fault;
    for (int i = 0; i < BACKEND_STORES; i++) {
        backend_set_store_failing(soak->backend, i, true);
    }
}

static void
end_store_failure_all(soak_t *soak, soak_fault_t *fault)
{
    (void)fault;
    for (int i = 0; i < BACKEND_STORES; i++) {
        backend_set_store_failing(soak->backend, i, false);
    }
}

/* The store is restored from a copy as old as the fault is long. */
static void
begin_restoration(soak_t *soak, soak_fault_t *fault)
{
    (void)fault;
    backend_copy_store(soak->backend);
}

static void
end_restoration(soak_t *soak, soak_fault_t *fault)
{
    (void)fault;
    backend_restore_store(soak->backend, soak_random(soak, STORE_AWAY_MAX_MS),
                          soak_random(soak, REWRITE_AFTER_MAX_MS));
}

static void
begin_db_kill(soak_t *soak, soak_fault_t *fault)
{
    backend_db_kill(soak->backend, fault->db);
}

static void
end_db_kill(soak_t *soak, soak_fault_t *fault)
{
    backend_db_start(soak->backend, fault->db, false);
}

static void
begin_db_unresponsive(soak_t *soak, soak_fault_t *fault)
{
    backend_db_set_unresponsive(soak->backend, fault->db, true);
}

static void
end_db_unresponsive(soak_t *soak, soak_fault_t *fault)
{
    backend_db_set_unresponsive(soak->backend, fault->db, false);
}

static void
begin_lag(soak_t *soak, soak_fault_t *fault)
{
    backend_db_set_lag(soak->backend, fault->db,
                       1 + soak_random(soak, LAG_MAX_MS));
}

static void
end_lag(soak_t *soak, soak_fault_t *fault)
{
    backend_db_set_lag(soak->backend, fault->db, DEFAULT_LAG_MS);
}

/* Lets all databases lag by more than the staleness that any route accepts.
 */
static void
begin_lag_all(soak_t *soak, soak_fault_t *fault)
{
    (void)fault;
    for (int i = 0; i < BACKEND_DBS; i++) {
        backend_db_set_lag(soak->backend, i,
                           LAG_MAX_MS + soak_random(soak, LAG_MAX_MS));
    }
}

static void
end_lag_all(soak_t *soak, soak_fault_t *fault)
{
    (void)fault;
    for (int i = 0; i < BACKEND_DBS; i++) {
        backend_db_set_lag(soak->backend, i, DEFAULT_LAG_MS);
    }
}

static void
begin_busy(soak_t *soak, soak_fault_t *fault)
{
    backend_db_set_busy(soak->backend, fault->db, 1 + soak_random(soak, 40));
    backend_db_refuse_conns(soak->backend, fault->db, soak_random(soak, 6));
}

static void
begin_dropped_answers(soak_t *soak, soak_fault_t *fault)
{
    (void)fault;
    backend_drop_answers(soak->backend, 5 + soak_random(soak, 30));
}

static void
end_dropped_answers(soak_t *soak, soak_fault_t *fault)
{
    (void)fault;
    backend_drop_answers(soak->backend, 0);
}

static void
begin_late_promotions(soak_t *soak, soak_fault_t *fault)
{
    (void)fault;
    backend_set_promotion_delay(soak->backend, 1 + soak_random(soak, 2500));
}

static void
end_late_promotions(soak_t *soak, soak_fault_t *fault)
{
    (void)fault;
    backend_set_promotion_delay(soak->backend, 0);
}

#define LINK_FAULT(fault_name, pattern, of_db, json_begin, json_end)          \
    {                                                                         \
        .name = (fault_name), .begin = begin_link, .end = end_link,           \
        .link_pattern = (pattern), .names_db = (of_db),                       \
        .begin_json = (json_begin), .end_json = (json_end)                    \
    }
#define CUT "{\"cut\":\"both\"}"
#define CUT_TO_TARGET "{\"cut\":\"to_target\"}"
#define CUT_TO_CALLER "{\"cut\":\"to_caller\"}"
#define HEALED "{\"cut\":\"none\"}"
#define RESET "{\"reset\":true}"
#define HOLD "{\"hold\":true}"
#define RELEASED "{\"hold\":false}"
#define SLOW "{\"delay_ms\":120}"
#define FAST "{\"delay_ms\":0}"

static const soak_fault_type_t fault_types[] = {
    {.name = "stop", .begin = begin_stop, .planned = true},
    {.name = "change", .begin = begin_config_change, .planned = true},
    {.name = "routes", .begin = begin_many_routes, .planned = true},
    {.name = "series",
     .begin = begin_config_change,
     .update = update_change_series,
     .planned = true},
    {.name = "reload", .begin = begin_reload, .planned = true},
    {.name = "kill", .begin = begin_kill},
    {.name = "kill_all", .begin = begin_kill_all},
    {.name = "freeze", .begin = begin_pause, .end = end_pause},
    {.name = "store", .begin = begin_store_failure, .end = end_store_failure},
    {.name = "store_all",
     .begin = begin_store_failure_all,
     .end = end_store_failure_all},
    {.name = "db_kill", .begin = begin_db_kill, .end = end_db_kill},
    {.name = "db_silent",
     .begin = begin_db_unresponsive,
     .end = end_db_unresponsive},
    {.name = "lag", .begin = begin_lag, .end = end_lag},
    {.name = "lag_all", .begin = begin_lag_all, .end = end_lag_all},
    {.name = "busy", .begin = begin_busy},
    {.name = "lost",
     .begin = begin_dropped_answers,
     .end = end_dropped_answers},
    {.name = "late",
     .begin = begin_late_promotions,
     .end = end_late_promotions},
    LINK_FAULT("cut_all", "r#--*", false, CUT, HEALED),
    LINK_FAULT("cut_to", "r#--*", false, CUT_TO_TARGET, HEALED),
    LINK_FAULT("cut_from", "r#--*", false, CUT_TO_CALLER, HEALED),
    LINK_FAULT("cut_peers", "*--r#", false, CUT, HEALED),
    LINK_FAULT("cut_store", "r#--store", false, CUT, HEALED),
    LINK_FAULT("slow_store", "r#--store", false, SLOW, FAST),
    LINK_FAULT("cut_db", "*--d#", true, CUT, HEALED),
    LINK_FAULT("cut_db_answers", "*--d#", true, CUT_TO_CALLER, HEALED),
    LINK_FAULT("hold_db", "*--d#", true, HOLD, RELEASED),
    LINK_FAULT("reset_db", "*--d#", true, RESET, FAST),
    LINK_FAULT("reset_clients", "c--r#", false, RESET, FAST),
    LINK_FAULT("hold_clients", "c--r#", false, HOLD, RELEASED),
    LINK_FAULT("slow_peers", "*--r#", false, SLOW, FAST),
    {.name = "restored", .begin = begin_restoration, .end = end_restoration},
};

static void
end_fault(soak_t *soak, soak_fault_t *fault)
{
    if (fault->type->end != NULL) {
        fault->type->end(soak, fault);
    }
    print_fault("end", fault);
    fault->type = NULL;
}

/* Whether a fault of this type, or another fault of a link, is in force: the
 * end of one would end both. */
static bool
has_conflict(const soak_t *soak, const soak_fault_type_t *type)
{
    for (int i = 0; i < SOAK_FAULTS; i++) {
        if (soak->faults[i].type != NULL
            && (soak->faults[i].type == type
                || (type->link_pattern != NULL
                    && soak->faults[i].type->link_pattern != NULL))) {
            return true;
        }
    }
    return false;
}

/* Whether MASTICRELAY_FAULTS, if set, names @type. */
static bool
is_selected(const soak_fault_type_t *type)
{
    const char *names = getenv("MASTICRELAY_FAULTS");
    gchar **list = g_strsplit(names != NULL ? names : type->name, ",", -1);
    bool selected = g_strv_contains((const gchar *const *)list, type->name);

    g_strfreev(list);
    return selected;
}

static void
begin_fault(soak_t *soak, soak_fault_t *fault, mr_ms_t now)
{
    const soak_fault_type_t *type =
        &fault_types[soak_random(soak, G_N_ELEMENTS(fault_types))];

    if ((soak->planned_only && !type->planned) || !is_selected(type)
        || has_conflict(soak, type)) {
        return;
    }
    *fault = (soak_fault_t){
        .type = type,
        .until = now + FAULT_MIN_MS
                 + soak_random(soak, FAULT_MAX_MS - FAULT_MIN_MS),
        .relay = soak_random(soak, SOAK_RELAYS),
        .db = soak_random(soak, BACKEND_DBS),
    };
    type->begin(soak, fault);
    print_fault("begin", fault);
}

/* Notices the exit of a stopped relay, and restarts it when that is due. */
static void
update_relay(soak_t *soak, int index, mr_ms_t now)
{
    relay_process_t *relay = &soak->relays[index];
    int status;

    if (relay->pid != 0
        && waitpid(relay->pid, &status, WNOHANG) == relay->pid) {
        ck_assert_msg(soak->stopping[index] && WIFEXITED(status)
                          && WEXITSTATUS(status) == 0,
                      "%s ended with status 0x%x, SIGTERM sent: %d, see %s",
                      relay->name, (unsigned)status, soak->stopping[index],
                      relay->log);
        relay->pid = 0;
        soak->stopping[index] = false;
        soak->restart_at[index] = now + soak_random(soak, DOWN_MAX_MS) + 1;
    }
    if (soak->restart_at[index] != 0 && now >= soak->restart_at[index]) {
        soak->restart_at[index] = 0;
        relay->clock_shift = soak_random(soak, 2 * CLOCK_SHIFT_MAX_MS)
                             - (mr_ms_t)CLOCK_SHIFT_MAX_MS;
        relay_restart(relay, soak->backend);
    }
}

void
soak_update_faults(soak_t *soak, mr_ms_t now)
{
    for (int i = 0; i < SOAK_RELAYS; i++) {
        update_relay(soak, i, now);
    }
    for (int i = 0; i < SOAK_FAULTS; i++) {
        soak_fault_t *fault = &soak->faults[i];
        if (fault->type != NULL && now >= fault->until) {
            end_fault(soak, fault);
        }
        else if (fault->type != NULL && fault->type->update != NULL) {
            fault->type->update(soak);
        }
        else if (fault->type == NULL && !soak->quiescing
                 && soak_random(soak, FAULT_ODDS) == 0) {
            begin_fault(soak, fault, now);
        }
    }
}

void
soak_end_faults(soak_t *soak)
{
    for (int i = 0; i < SOAK_FAULTS; i++) {
        if (soak->faults[i].type != NULL) {
            end_fault(soak, &soak->faults[i]);
        }
    }
}
