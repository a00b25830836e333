/* The scenarios of the cases. Exit status: 1 if the rule was broken, 0 if it
 * held, 2 if the case could not run. */

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "fleet.h"
#include "world.h"

/* Bounds of the pages: config_apply_ms, stable_window_ms, loss_slack_ms. */
enum { APPLY_MS = 3000, STABLE_MS = 4000, LOSS_SLACK_MS = 200 };

static bool trouble = true;
static int broken;
static int unusable;

#define BROKEN(...) (broken++, record_line("BROKEN: " __VA_ARGS__))

/* ---- settings: a client changes values and names inside a transaction ----
 */

static void
expect_success(reply_t reply)
{
    if (!reply.success) {
        unusable++;
        record_line("unexpected answer: %s", reply.code);
    }
}

static void
change_settings(session_t *session)
{
    expect_success(session_query(session, "SET lang tr"));
    expect_success(session_query(session, "DEALLOC s"));
    expect_success(session_query(session, "PREPARE s WRITE q2"));
    expect_success(session_query(session, "PREPARE n READ q3"));
}

static void
run_settings(const char *record)
{
    static const char *const settings[] = {NULL};
    session_t session;
    char run[1024];
    reply_t reply;

    fleet_start(record, settings);
    if (!session_open(&session, "a", 0, "primary")) {
        unusable++;
        return;
    }
    expect_success(session_query(&session, "SET lang es"));
    expect_success(session_query(&session, "PREPARE s READ q1"));
    if (!trouble) {
        change_settings(&session);
    }
    expect_success(session_query(&session, "BEGIN"));
    expect_success(session_query(&session, "READ item-1"));
    if (trouble) {
        change_settings(&session);
    }
    expect_success(session_query(&session, "READ item-2"));
    snprintf(run, sizeof(run), "%s", control("run %s", session.last_id));
    record_line("stand-ins: %s ran: %s", session.last_id, run);
    if (strstr(run, "values=[lang=tr;]") == NULL) {
        BROKEN("PINNED: the acknowledged value is lang=tr, %s ran with %s",
               session.last_id, run);
    }
    reply = session_query(&session, "EXECUTE s item-3 data");
    snprintf(run, sizeof(run), "%s", control("run %s", session.last_id));
    record_line("stand-ins: %s ran: %s", session.last_id, run);
    if (reply.success && strstr(run, "shape=[WRITE q2]") == NULL) {
        BROKEN("PINNED: the name s was prepared as WRITE q2, %s ran as %s",
               session.last_id, run);
    }
    char write_id[64];
    snprintf(write_id, sizeof(write_id), "%s", session.last_id);
    bool wrote = reply.success;
    if (wrote) {
        reply = session_query(&session, "COMMIT");
        if (reply.success && strcmp(control("inlog %s", write_id), "1") != 0) {
            BROKEN("the write %s was answered with success, and so was its "
                   "COMMIT, but no log has it",
                   write_id);
        }
    }
    else {
        session_query(&session, "ROLLBACK");
    }
    session_close(&session);
    /* A new name, in a transaction of its own. */
    if (!session_open(&session, "b", 1, "primary")) {
        unusable++;
        return;
    }
    if (!trouble) {
        expect_success(session_query(&session, "PREPARE n READ q3"));
    }
    expect_success(session_query(&session, "BEGIN"));
    expect_success(session_query(&session, "READ item-1"));
    if (trouble) {
        expect_success(session_query(&session, "PREPARE n READ q3"));
    }
    reply = session_query(&session, "EXECUTE n item-2");
    if (!reply.success && strncmp(reply.code, "NOSTMT", 6) == 0) {
        BROKEN("PINNED: preparing n was acknowledged, %s got %s",
               session.last_id, reply.code);
    }
    session_close(&session);
    /* A name that becomes that of a read. */
    if (!session_open(&session, "c", 2, "primary")) {
        unusable++;
        return;
    }
    expect_success(session_query(&session, "PREPARE s WRITE q1"));
    if (!trouble) {
        expect_success(session_query(&session, "DEALLOC s"));
        expect_success(session_query(&session, "PREPARE s READ q2"));
    }
    expect_success(session_query(&session, "BEGIN"));
    expect_success(session_query(&session, "READ item-1"));
    if (trouble) {
        expect_success(session_query(&session, "DEALLOC s"));
        expect_success(session_query(&session, "PREPARE s READ q2"));
    }
    expect_success(session_query(&session, "EXECUTE s item-2"));
    snprintf(write_id, sizeof(write_id), "%s", session.last_id);
    expect_success(session_query(&session, "COMMIT"));
    if (strcmp(control("inlog %s", write_id), "0") != 0) {
        BROKEN("PINNED: the name s was prepared as READ q2, %s wrote, and its "
               "write is committed",
               write_id);
    }
    session_close(&session);
}

/* ---- stop: SIGTERM while transactions are open ---- */

enum { STOP_SESSIONS = 6, STATEMENTS = 12 };

static int64_t term_at;
static int64_t grace_ms = 6000;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void
check_cut(session_t *session, const reply_t *reply)
{
    int64_t after = reply->sent_at - term_at;
    char run[1024];

    snprintf(run, sizeof(run), "%s", control("run %s", session->last_id));
    record_line("stand-ins: %s: %s", session->last_id, run);
    if (!trouble || strncmp(run, "none", 4) == 0) {
        return; /* not passed on to a database */
    }
    if (after > 3000 && after < grace_ms + 1000
        && reply->ended_at - reply->sent_at < 800) {
        pthread_mutex_lock(&lock);
        BROKEN("LOST: %s was sent %lld ms after SIGTERM, was passed on to a "
               "database, and its connection ended without an answer %lld ms "
               "later",
               session->last_id, (long long)after,
               (long long)(reply->ended_at - reply->sent_at));
        pthread_mutex_unlock(&lock);
    }
}

static void *
run_stop_session(void *ctx)
{
    session_t *session = ctx;
    int index = session->name[0] - 'a';
    reply_t reply;

    /* The transactions begin 1.5 s to 2 s after SIGTERM, on sessions that were
     * open before. */
    wait_ms(term_at + 1500 + 100 * index - now_ms());
    reply = session_query(session, "BEGIN READ");
    for (int i = 0; i < STATEMENTS && reply.success; i++) {
        wait_ms(i == 0 ? 0 : 5);
        reply = session_query(session, "READ item-%d", i);
        if (!reply.complete) {
            check_cut(session, &reply);
        }
    }
    if (reply.success) {
        reply = session_query(session, "COMMIT");
        if (!reply.complete) {
            check_cut(session, &reply);
        }
    }
    if (!reply.success && !trouble) {
        unusable++;
    }
    return NULL;
}

static void
run_stop(const char *record)
{
    static const char *const settings[] = {"set slots 3", "set work 40", NULL};
    session_t sessions[STOP_SESSIONS];
    pthread_t threads[STOP_SESSIONS];

    fleet_start(record, settings);
    for (int i = 0; i < STOP_SESSIONS; i++) {
        char name[2] = {(char)('a' + i), '\0'};
        if (!session_open(&sessions[i], name, 0, "bounded")) {
            unusable++;
            return;
        }
        expect_success(session_query(&sessions[i], "READ item-0"));
    }
    control("set work 300");
    term_at = now_ms();
    if (trouble) {
        record_line("daemon 1: SIGTERM");
        kill(daemons[0].pid, SIGTERM);
    }
    for (int i = 0; i < STOP_SESSIONS; i++) {
        pthread_create(&threads[i], NULL, run_stop_session, &sessions[i]);
    }
    wait_ms(term_at + grace_ms - now_ms());
    if (trouble && fleet_check() == 0) {
        record_line("daemon 1: SIGKILL after the grace time");
        kill(daemons[0].pid, SIGKILL);
    }
    for (int i = 0; i < STOP_SESSIONS; i++) {
        pthread_join(threads[i], NULL);
        session_close(&sessions[i]);
    }
    fleet_check();
}

/* ---- sync: a planned change of primary while a replica receives nothing ----
 */

enum {
    READERS = 100,
    WRITERS = 2,
    ACKED_MAX = 20000,
    DEAF_MS = 6000,
    RELEASES_MAX = 6
};

static volatile bool sync_over;
static char acked[ACKED_MAX][64];
static int acked_count;

static void *
run_reader(void *ctx)
{
    session_t *session = ctx;

    while (!sync_over && session->fd >= 0) {
        reply_t reply = session_query(session, "READ item-1");
        if (!reply.complete) {
            break;
        }
        if (!reply.success) {
            wait_ms(50);
        }
    }
    return NULL;
}

static void *
run_writer(void *ctx)
{
    session_t *session = ctx;

    while (!sync_over && session->fd >= 0) {
        reply_t reply = session_query(session, "WRITE item-1 data");
        if (!reply.complete) {
            break;
        }
        if (reply.success) {
            pthread_mutex_lock(&lock);
            snprintf(acked[acked_count++], sizeof(acked[0]), "%s",
                     session->last_id);
            pthread_mutex_unlock(&lock);
        }
        wait_ms(reply.success ? 20 : 100);
    }
    return NULL;
}

static int
count_lost(void)
{
    int lost = 0;

    pthread_mutex_lock(&lock);
    for (int i = 0; i < acked_count; i++) {
        if (strcmp(control("inlog %s", acked[i]), "0") == 0) {
            lost++;
            record_line("acknowledged write %s is in no log", acked[i]);
        }
    }
    pthread_mutex_unlock(&lock);
    return lost;
}

/* The primary is to be replaced. With trouble, one of its replicas receives
 * nothing for DEAF_MS or until the promotion. */
static void
replace_primary(void)
{
    int primary = 0;
    int before = 0;
    int promotions = 0;
    int64_t deaf_at = now_ms();

    sscanf(control("state"), "primary=%d promotions=%d", &primary, &before);
    int deaf = (primary + 1) % 3;
    if (trouble) {
        control("set deaf 1 %d", deaf);
    }
    wait_ms(2000);
    control("set draining 1 %d", primary);
    for (int64_t end = now_ms() + 8000; now_ms() < end; wait_ms(20)) {
        sscanf(control("state"), "primary=%*d promotions=%d", &promotions);
        if (promotions > before) {
            break;
        }
        if (trouble && deaf_at != 0 && now_ms() > deaf_at + DEAF_MS) {
            control("set deaf 0 %d", deaf);
            deaf_at = 0;
        }
    }
    if (promotions == before) {
        record_line("no promotion took place");
    }
    wait_ms(1000);
    if (trouble) {
        control("set deaf 0 %d", deaf);
    }
    wait_ms(1000);
    control("set replace 1 %d", primary);
    wait_ms(2000);
}

static void
run_sync(const char *record)
{
    static const char *const settings[] = {"set sync 1", "set slots 3",
                                           "set work 40", NULL};
    static session_t sessions[READERS + WRITERS];
    pthread_t threads[READERS + WRITERS];
    int lost = 0;

    fleet_start(record, settings);
    for (int i = 0; i < READERS + WRITERS; i++) {
        char name[8];
        snprintf(name, sizeof(name), "%c%d", i < READERS ? 'r' : 'w', i);
        if (!session_open(&sessions[i], name, i % DAEMONS,
                          i < READERS ? "bounded" : "primary")) {
            unusable++;
            return;
        }
        pthread_create(&threads[i], NULL,
                       i < READERS ? run_reader : run_writer, &sessions[i]);
    }
    wait_ms(3000);
    for (int i = 0; i < RELEASES_MAX && lost == 0; i++) {
        replace_primary();
        lost = count_lost();
    }
    if (strstr(control("state"), "promotions=0") != NULL) {
        unusable++;
    }
    sync_over = true;
    for (int i = 0; i < READERS + WRITERS; i++) {
        pthread_join(threads[i], NULL);
        session_close(&sessions[i]);
    }
    record_line("stand-ins: %s", control("state"));
    record_line("%d of %d acknowledged writes are lost", lost, acked_count);
    if (lost > 0) {
        BROKEN("LOST: %d acknowledged commits are not in the log of the "
               "database that was promoted",
               lost);
    }
}

/* ---- release: a primary that takes a while to answer DEMOTE ---- */

enum {
    RELEASE_SESSIONS = 6,
    PLANNED_MS = APPLY_MS + 1000,
    /* Releases, until a daemon ends; versions of the desired state in each. */
    DEMOTIONS_MAX = 4,
    VERSIONS = 6,
    VERSION_PERIOD_MS = 1500,
};

static int64_t config_sent_at;
static int64_t config_acked_at;

static void *
run_release_session(void *ctx)
{
    session_t *session = ctx;
    char run[1024];

    while (!sync_over) {
        reply_t reply = session_query(session, "READ item-1");
        if (reply.complete) {
            wait_ms(reply.success ? 20 : 50);
            continue;
        }
        snprintf(run, sizeof(run), "%s", control("run %s", session->last_id));
        pthread_mutex_lock(&lock);
        record_line("client %s: the connection ended; stand-ins: %s: %s",
                    session->name, session->last_id, run);
        if ((strncmp(run, "none", 4) != 0
             || reply.ended_at - reply.sent_at > LOSS_SLACK_MS)
            && config_sent_at != 0 && reply.sent_at >= config_sent_at
            && reply.ended_at <= config_acked_at + PLANNED_MS) {
            BROKEN("LOST: the connection of %s ended without an answer, "
                   "%lld ms after it was sent and %lld ms after the ack of a "
                   "desired state",
                   session->last_id,
                   (long long)(reply.ended_at - reply.sent_at),
                   (long long)(reply.ended_at - config_acked_at));
        }
        pthread_mutex_unlock(&lock);
        break;
    }
    return NULL;
}

static void
run_release(const char *record)
{
    static const char *const settings[] = {
        "set slots 2", "set work 30",      "set handshake 12",
        "set lag 20",  "set promote 1000", "set demote 600",
        NULL};
    static session_t sessions[RELEASE_SESSIONS];
    pthread_t threads[RELEASE_SESSIONS];
    int version = 1;

    fleet_start(record, settings);
    for (int i = 0; i < RELEASE_SESSIONS; i++) {
        char name[2] = {(char)('a' + i), '\0'};
        if (!session_open(&sessions[i], name, i % DAEMONS, "own")) {
            unusable++;
            return;
        }
        pthread_create(&threads[i], NULL, run_release_session, &sessions[i]);
    }
    wait_ms(4000);
    config_sent_at = now_ms();
    for (int i = 0; i < DEMOTIONS_MAX && fleet_check() == 0; i++) {
        int primary = 0;
        sscanf(control("state"), "primary=%d", &primary);
        if (trouble) {
            control("set draining 1 %d", primary);
        }
        for (int j = 0; j < VERSIONS; j++) {
            control("config %d", ++version);
            config_acked_at = now_ms();
            record_line("store: acknowledged version %d", version);
            wait_ms(VERSION_PERIOD_MS);
        }
        if (trouble) {
            control("set replace 1 %d", primary);
        }
        wait_ms(2000);
    }
    if (fleet_check() > 0) {
        BROKEN("a daemon ended by itself");
    }
    sync_over = true;
    for (int i = 0; i < RELEASE_SESSIONS; i++) {
        pthread_join(threads[i], NULL);
        session_close(&sessions[i]);
    }
    record_line("stand-ins: %s", control("state"));
}

/* ---- config: open connections to the store fall silent ---- */

static void
run_config(const char *record)
{
    static const char *const settings[] = {NULL};
    session_t sessions[DAEMONS];
    int64_t silent_at = 0;

    fleet_start(record, settings);
    control("config 2");
    wait_ms(1000);
    silent_at = now_ms();
    if (trouble) {
        control("silence");
    }
    for (int i = 0; i < DAEMONS; i++) {
        char name[2] = {(char)('a' + i), '\0'};
        if (!session_open(&sessions[i], name, i, "own")) {
            unusable++;
            return;
        }
        expect_success(session_query(&sessions[i], "READ item-1"));
    }
    control("config 3 drop");
    int64_t acked_at = now_ms();
    record_line("store: acknowledged version 3, which has no route \"own\"");
    while (now_ms() < acked_at + 9000) {
        for (int i = 0; i < DAEMONS; i++) {
            if (sessions[i].fd < 0) {
                continue;
            }
            reply_t reply = session_query(&sessions[i], "READ item-1");
            int64_t after = reply.sent_at - acked_at;
            if (!reply.complete) {
                session_close(&sessions[i]);
                continue;
            }
            if (reply.success && after > APPLY_MS
                && reply.sent_at > silent_at + STABLE_MS) {
                BROKEN("CONFIG: %s was sent %lld ms after the ack of version "
                       "3, and %lld ms after the connections fell silent, and "
                       "was run for the dropped route",
                       sessions[i].last_id, (long long)after,
                       (long long)(reply.sent_at - silent_at));
            }
        }
        wait_ms(100);
    }
}

/* ---- draining: the primary crashes while one replica receives nothing and
 * the other one drains ---- */

enum { DRAINING_WRITERS = 6, DRAINING_MS = 2500, PROMOTION_MS = 10000 };

static void
run_draining(const char *record)
{
    static const char *const settings[] = {"set sync 1", "set slots 3",
                                           "set work 8", NULL};
    session_t sessions[DRAINING_WRITERS];
    pthread_t threads[DRAINING_WRITERS];
    int primary = 0;
    int promotions = 0;

    fleet_start(record, settings);
    for (int i = 0; i < DRAINING_WRITERS; i++) {
        char name[2] = {(char)('a' + i), '\0'};
        if (!session_open(&sessions[i], name, i % DAEMONS, "primary")) {
            unusable++;
            return;
        }
        pthread_create(&threads[i], NULL, run_writer, &sessions[i]);
    }
    wait_ms(3000);
    sscanf(control("state"), "primary=%d", &primary);
    control("set draining 1 %d", (primary + 2) % 3);
    if (trouble) {
        control("set deaf 1 %d", (primary + 1) % 3);
    }
    wait_ms(DRAINING_MS);
    control("set crash 1 %d", primary);
    for (int64_t end = now_ms() + PROMOTION_MS;
         now_ms() < end && promotions == 0; wait_ms(20)) {
        sscanf(control("state"), "primary=%*d promotions=%d", &promotions);
    }
    sync_over = true;
    for (int i = 0; i < DRAINING_WRITERS; i++) {
        pthread_join(threads[i], NULL);
        session_close(&sessions[i]);
    }
    if (acked_count == 0) {
        unusable++;
    }
    int lost = count_lost();
    record_line("stand-ins: %s", control("state"));
    record_line("%d of %d acknowledged writes are lost", lost, acked_count);
    if (promotions == 0) {
        record_line("no promotion took place");
    }
    else if (lost > 0) {
        BROKEN("LOST: %d acknowledged commits are not in the log of the "
               "database that was promoted",
               lost);
    }
}

int
main(int argc, char **argv)
{
    const char *text = getenv("TROUBLE");

    trouble = text == NULL || strcmp(text, "0") != 0;
    if (argc != 3) {
        fprintf(stderr, "usage: sim SCENARIO RECORD\n");
        return 2;
    }
    if (strcmp(argv[1], "settings") == 0) {
        run_settings(argv[2]);
    }
    else if (strcmp(argv[1], "release") == 0) {
        run_release(argv[2]);
    }
    else if (strcmp(argv[1], "stop") == 0) {
        run_stop(argv[2]);
    }
    else if (strcmp(argv[1], "sync") == 0) {
        run_sync(argv[2]);
    }
    else if (strcmp(argv[1], "draining") == 0) {
        run_draining(argv[2]);
    }
    else if (strcmp(argv[1], "config") == 0) {
        run_config(argv[2]);
    }
    else {
        return 2;
    }
    fleet_stop();
    int status = broken > 0 ? 1 : unusable > 0 ? 2 : 0;
    record_line("trouble=%d broken=%d unusable=%d: exit %d", trouble, broken,
                unusable, status);
    return status;
}
