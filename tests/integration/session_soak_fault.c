/* Faults of the soak: each is begun and ended from outside the daemons, by
 * signals, by the proxy between them and their peers, by the stand-ins. */

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "session_soak.h"

enum {
    BEGIN_ODDS = 15, /* one in as many steps begins a fault */
    LASTS_MIN_MS = 200,
    LASTS_MAX_MS = 4000,
    DOWN_MAX_MS = 1000, /* of a killed process */
    WALL_MAX_MS = 10000,
    LAG_MAX_MS = 3000,
    LAG_MS = 20, /* of a replica without a fault */
};

/** How a fault begins and ends. */
typedef struct soak_fault_kind {
    const char *name;
    void (*begin)(soak_t *soak, soak_fault_t *fault);
    void (*end)(soak_t *soak, soak_fault_t *fault);
    const char *link;       /* pattern; '#': the relay, or the database */
    const char *link_begin; /* for the proxy */
    const char *link_end;
    bool of_db;   /* the pattern names a database */
    bool planned; /* no request may be cut */
} soak_fault_kind_t;

static void
say(const char *what, const soak_fault_t *fault)
{
    printf("%lld %s %s relay=%d db=%d link=%s\n",
           (long long)mr_clock_now(NULL), what, fault->kind->name,
           fault->relay, fault->db, fault->link);
}

static void
set_link(soak_t *soak, const soak_fault_t *fault, const char *json)
{
    char path[2 * BACKEND_TEXT_BYTES];

    snprintf(path, sizeof(path), "/links/%s", fault->link);
    ck_assert_int_eq(harness_http(soak->base, "POST", soak->proxy.address,
                                  path, NULL, json, NULL),
                     200);
}

static void
begin_link(soak_t *soak, soak_fault_t *fault)
{
    int number = fault->kind->of_db ? fault->db : fault->relay;

    snprintf(fault->link, sizeof(fault->link), "%s", fault->kind->link);
    *strchr(fault->link, '#') = (char)('0' + number);
    set_link(soak, fault, fault->kind->link_begin);
}

static void
end_link(soak_t *soak, soak_fault_t *fault)
{
    set_link(soak, fault, fault->kind->link_end);
}

static bool
is_up(const soak_t *soak, int relay)
{
    return soak->relays[relay].pid != 0 && !soak->leaving[relay];
}

static void
begin_kill(soak_t *soak, soak_fault_t *fault)
{
    if (is_up(soak, fault->relay)) {
        relay_kill(&soak->relays[fault->relay]);
        soak->restart_at[fault->relay] =
            mr_clock_now(NULL) + soak_below(soak, DOWN_MAX_MS) + 1;
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
begin_freeze(soak_t *soak, soak_fault_t *fault)
{
    relay_signal(&soak->relays[fault->relay], SIGSTOP);
}

static void
end_freeze(soak_t *soak, soak_fault_t *fault)
{
    relay_signal(&soak->relays[fault->relay], SIGCONT);
}

static void
begin_stop(soak_t *soak, soak_fault_t *fault)
{
    if (is_up(soak, fault->relay)) {
        soak->leaving[fault->relay] = true;
        relay_signal(&soak->relays[fault->relay], SIGTERM);
    }
}

static void
begin_reload(soak_t *soak, soak_fault_t *fault)
{
    relay_signal(&soak->relays[fault->relay], SIGHUP);
}

static void
begin_change(soak_t *soak, soak_fault_t *fault)
{
    static const char *const keys[] = {"coop:key-1", "agent:key-2",
                                       "broker:key-3", NULL};

    (void)fault;
    soak->config_version += 1 + soak_below(soak, 3);
    backend_put_config(soak->backend, soak->config_version, keys, SOAK_RATE);
}

static void
begin_store(soak_t *soak, soak_fault_t *fault)
{
    backend_set_store_failing(soak->backend, fault->relay, true);
}

static void
end_store(soak_t *soak, soak_fault_t *fault)
{
    backend_set_store_failing(soak->backend, fault->relay, false);
}

static void
begin_store_all(soak_t *soak, soak_fault_t *fault)
{
    (void)fault;
    for (int i = 0; i < BACKEND_STORES; i++) {
        backend_set_store_failing(soak->backend, i, true);
    }
}

static void
end_store_all(soak_t *soak, soak_fault_t *fault)
{
    (void)fault;
    for (int i = 0; i < BACKEND_STORES; i++) {
        backend_set_store_failing(soak->backend, i, false);
    }
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
begin_db_silent(soak_t *soak, soak_fault_t *fault)
{
    backend_db_set_unresponsive(soak->backend, fault->db, true);
}

static void
end_db_silent(soak_t *soak, soak_fault_t *fault)
{
    backend_db_set_unresponsive(soak->backend, fault->db, false);
}

static void
begin_lag(soak_t *soak, soak_fault_t *fault)
{
    backend_db_set_lag(soak->backend, fault->db,
                       1 + soak_below(soak, LAG_MAX_MS));
}

static void
end_lag(soak_t *soak, soak_fault_t *fault)
{
    backend_db_set_lag(soak->backend, fault->db, LAG_MS);
}

/* Longer than any age that reads accept. */
static void
begin_lag_all(soak_t *soak, soak_fault_t *fault)
{
    (void)fault;
    for (int i = 0; i < BACKEND_DBS; i++) {
        backend_db_set_lag(soak->backend, i,
                           LAG_MAX_MS + soak_below(soak, LAG_MAX_MS));
    }
}

static void
end_lag_all(soak_t *soak, soak_fault_t *fault)
{
    (void)fault;
    for (int i = 0; i < BACKEND_DBS; i++) {
        backend_db_set_lag(soak->backend, i, LAG_MS);
    }
}

static void
begin_busy(soak_t *soak, soak_fault_t *fault)
{
    backend_db_set_busy(soak->backend, fault->db, 1 + soak_below(soak, 40));
    backend_db_refuse_conns(soak->backend, fault->db, soak_below(soak, 6));
}

static void
begin_lost_answers(soak_t *soak, soak_fault_t *fault)
{
    (void)fault;
    backend_drop_answers(soak->backend, 5 + soak_below(soak, 30));
}

static void
end_lost_answers(soak_t *soak, soak_fault_t *fault)
{
    (void)fault;
    backend_drop_answers(soak->backend, 0);
}

static void
begin_late(soak_t *soak, soak_fault_t *fault)
{
    (void)fault;
    backend_set_promotion_delay(soak->backend, 1 + soak_below(soak, 2500));
}

static void
end_late(soak_t *soak, soak_fault_t *fault)
{
    (void)fault;
    backend_set_promotion_delay(soak->backend, 0);
}

#define LINK_FAULT(fault_name, pattern, names_db, json, healed)               \
    {                                                                         \
        .name = (fault_name), .begin = begin_link, .end = end_link,           \
        .link = (pattern), .of_db = (names_db), .link_begin = (json),         \
        .link_end = (healed)                                                  \
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

static const soak_fault_kind_t kinds[] = {
    {.name = "stop", .begin = begin_stop, .planned = true},
    {.name = "change", .begin = begin_change, .planned = true},
    {.name = "reload", .begin = begin_reload, .planned = true},
    {.name = "kill", .begin = begin_kill},
    {.name = "kill_all", .begin = begin_kill_all},
    {.name = "freeze", .begin = begin_freeze, .end = end_freeze},
    {.name = "store", .begin = begin_store, .end = end_store},
    {.name = "store_all", .begin = begin_store_all, .end = end_store_all},
    {.name = "db_kill", .begin = begin_db_kill, .end = end_db_kill},
    {.name = "db_silent", .begin = begin_db_silent, .end = end_db_silent},
    {.name = "lag", .begin = begin_lag, .end = end_lag},
    {.name = "lag_all", .begin = begin_lag_all, .end = end_lag_all},
    {.name = "busy", .begin = begin_busy},
    {.name = "lost", .begin = begin_lost_answers, .end = end_lost_answers},
    {.name = "late", .begin = begin_late, .end = end_late},
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
};

static void
end_fault(soak_t *soak, soak_fault_t *fault)
{
    if (fault->kind->end != NULL) {
        fault->kind->end(soak, fault);
    }
    say("end", fault);
    fault->kind = NULL;
}

/* Another fault of this kind is in force: its end would end both. */
static bool
in_force(const soak_t *soak, const soak_fault_kind_t *kind)
{
    for (int i = 0; i < SOAK_FAULTS; i++) {
        if (soak->faults[i].kind != NULL
            && (soak->faults[i].kind == kind
                || (kind->link != NULL
                    && soak->faults[i].kind->link != NULL))) {
            return true;
        }
    }
    return false;
}

static void
begin_fault(soak_t *soak, soak_fault_t *fault, mr_ms_t now)
{
    const soak_fault_kind_t *kind =
        &kinds[soak_below(soak, G_N_ELEMENTS(kinds))];

    if ((soak->planned_only && !kind->planned) || in_force(soak, kind)) {
        return;
    }
    *fault = (soak_fault_t){
        .kind = kind,
        .until =
            now + LASTS_MIN_MS + soak_below(soak, LASTS_MAX_MS - LASTS_MIN_MS),
        .relay = soak_below(soak, SOAK_RELAYS),
        .db = soak_below(soak, BACKEND_DBS),
    };
    kind->begin(soak, fault);
    say("begin", fault);
}

/* Restarts what was killed or has stopped. */
static void
step_relay(soak_t *soak, int index, mr_ms_t now)
{
    relay_process_t *relay = &soak->relays[index];
    int status;

    if (relay->pid != 0
        && waitpid(relay->pid, &status, WNOHANG) == relay->pid) {
        ck_assert_msg(soak->leaving[index] && WIFEXITED(status)
                          && WEXITSTATUS(status) == 0,
                      "%s ended with 0x%x, asked to stop: %d, see %s",
                      relay->name, (unsigned)status, soak->leaving[index],
                      relay->log);
        relay->pid = 0;
        soak->leaving[index] = false;
        soak->restart_at[index] = now + soak_below(soak, DOWN_MAX_MS) + 1;
    }
    if (soak->restart_at[index] != 0 && now >= soak->restart_at[index]) {
        soak->restart_at[index] = 0;
        relay->clock_shift =
            soak_below(soak, 2 * WALL_MAX_MS) - (mr_ms_t)WALL_MAX_MS;
        relay_restart(relay, soak->backend);
    }
}

void
soak_faults_step(soak_t *soak, mr_ms_t now)
{
    for (int i = 0; i < SOAK_RELAYS; i++) {
        step_relay(soak, i, now);
    }
    for (int i = 0; i < SOAK_FAULTS; i++) {
        soak_fault_t *fault = &soak->faults[i];
        if (fault->kind != NULL && now >= fault->until) {
            end_fault(soak, fault);
        }
        else if (fault->kind == NULL && !soak->calm
                 && soak_below(soak, BEGIN_ODDS) == 0) {
            begin_fault(soak, fault, now);
        }
    }
}

void
soak_faults_end(soak_t *soak)
{
    for (int i = 0; i < SOAK_FAULTS; i++) {
        if (soak->faults[i].kind != NULL) {
            end_fault(soak, &soak->faults[i]);
        }
    }
}
