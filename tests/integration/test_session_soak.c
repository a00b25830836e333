/*
 * Random faults under load on session daemons as separate processes, then
 * checks of the promises over all that clients and databases saw. Guards
 * against failures that break a promise in combination.
 *
 * MASTICRELAY_SEEDS=FIRST-LAST plays other seeds, MASTICRELAY_SECONDS sets
 * how long faults go on. A seed fixes the choice of the faults, not how they
 * meet the statements. Seeds that are a multiple of four have only planned
 * stops and changes.
 */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "session_soak.h"

enum {
    SECONDS = 12,
    TEST_TIMEOUT_S = 150,
    READY_MAX_MS = 8000,
    SETTLE_MS = 2500, /* the coordinator is chosen, the primary known */
    STEP_MS = 4,
    WORK_MS = 10,            /* of a statement at a database */
    RECOVERY_MAX_MS = 12000, /* the users' bound */
    ANSWERS_MS = 1500,       /* until the last answers are there */
    /* What one CI run plays: a seed with every kind of fault, and one with
     * planned work only. */
    CI_SEED = 1,
    CI_PLANNED_SEED = 12,
};

/* Seeds that failed once. */
static const int regressions[] = {0};

/* Adds a link of the proxy; returns its port. */
static int
add_link(soak_t *soak, const char *from, const char *to, const char *address)
{
    int port = harness_port();

    harness_process_arg(&soak->proxy, "--link=%s--%s=127.0.0.1:%d=%s", from,
                        to, port, address);
    return port;
}

static void
redirect(relay_process_t *relay, const char *address, int port)
{
    size_t len = strlen(relay->redirect);
    int added = snprintf(relay->redirect + len, sizeof(relay->redirect) - len,
                         "%s:%d,", strrchr(address, ':') + 1, port);

    ck_assert_int_lt(added, (int)(sizeof(relay->redirect) - len));
}

/* Sends what relay @index connects to through links of its own, and what
 * clients send to it as well. */
static void
add_links(soak_t *soak, int index)
{
    relay_process_t *relay = &soak->relays[index];
    char name[WORLD_TEXT_BYTES];
    char to[WORLD_TEXT_BYTES];

    snprintf(name, sizeof(name), "r%d", index);
    for (int i = 0; i < WORLD_DBS; i++) {
        char address[WORLD_TEXT_BYTES];
        snprintf(to, sizeof(to), "d%d", i);
        snprintf(address, sizeof(address), "127.0.0.1:%d",
                 world_db_port(soak->world, i));
        redirect(relay, address, add_link(soak, name, to, address));
    }
    for (int i = 0; i < SOAK_RELAYS; i++) {
        const char *address = soak->relays[i].peer;
        if (i != index) {
            snprintf(to, sizeof(to), "r%d", i);
            redirect(relay, address, add_link(soak, name, to, address));
        }
    }
    redirect(relay, world_store(soak->world, index),
             add_link(soak, name, "store", world_store(soak->world, index)));
    redirect(relay, world_duty(soak->world),
             add_link(soak, name, "duty", world_duty(soak->world)));
    snprintf(relay->front, sizeof(relay->front), "127.0.0.1:%d",
             add_link(soak, "c", name, relay->listen));
}

static void
start_proxy(soak_t *soak)
{
    const char *build = getenv("MASTICRELAY_BUILD");
    harness_process_t *proxy = &soak->proxy;

    snprintf(proxy->name, sizeof(proxy->name), "proxy");
    snprintf(proxy->address, sizeof(proxy->address), "127.0.0.1:%d",
             harness_port());
    snprintf(proxy->log, sizeof(proxy->log), "%s/logs/proxy-%d.log",
             build == NULL ? "build" : build, (int)getpid());
    proxy->ready = "listening on";
    harness_process_arg(proxy, "%s/fault_proxy",
                        build == NULL ? "build" : build);
    harness_process_arg(proxy, "--control=%s", proxy->address);
    for (int i = 0; i < SOAK_RELAYS; i++) {
        add_links(soak, i);
    }
    harness_process_start(proxy);
}

static soak_t *
start(int seed)
{
    static const char *const keys[] = {"coop:key-1", "agent:key-2",
                                       "broker:key-3", NULL};
    soak_t *soak = MR_NEW(soak_t);

    signal(SIGPIPE, SIG_IGN);
    soak->base = event_base_new();
    soak->random = g_rand_new_with_seed((guint32)seed);
    soak->ops = g_ptr_array_new_with_free_func(free);
    soak->planned_only = seed % 4 == 0;
    soak->world = world_create(soak->base);
    soak->config_version = 5;
    world_work(soak->world, WORK_MS);
    world_config(soak->world, soak->config_version, keys, SOAK_RATE);
    for (int i = 0; i < SOAK_RELAYS; i++) {
        relay_prepare(&soak->relays[i], i);
    }
    start_proxy(soak);
    for (int i = 0; i < SOAK_RELAYS; i++) {
        relay_restart(&soak->relays[i], soak->world);
    }
    for (int i = 0; i < SOAK_RELAYS; i++) {
        ck_assert(
            relay_wait_ready(&soak->relays[i], soak->base, READY_MAX_MS));
    }
    harness_run_loop(soak->base, SETTLE_MS);
    return soak;
}

static void
end(soak_t *soak)
{
    for (int i = 0; i < SOAK_RELAYS; i++) {
        relay_kill(&soak->relays[i]);
    }
    harness_process_kill(&soak->proxy);
    world_destroy(soak->world);
    g_ptr_array_free(soak->ops, TRUE);
    g_rand_free(soak->random);
    event_base_free(soak->base);
    free(soak);
}

static void
run(soak_t *soak, mr_ms_t length)
{
    mr_ms_t until = mr_clock_now(NULL) + length;

    while (mr_clock_now(NULL) < until) {
        soak_faults_step(soak, mr_clock_now(NULL));
        soak_clients_step(soak);
        harness_run_loop(soak->base, STEP_MS);
    }
}

/* Whether a session of its own is served on the route. */
static bool
is_served(soak_t *soak, int relay, int route)
{
    client_t *client = client_open(soak->base, &soak->relays[relay],
                                   soak_databases[route], soak_keys[0], NULL);
    bool served = client != NULL;

    if (served) {
        served = client_run(client, "READ item", NULL).complete
                 && client_run(client, "BEGIN", NULL).complete
                 && client_run(client, "READ item", NULL).complete
                 && client_run(client, "ROLLBACK", NULL).complete;
        client_close(client);
    }
    return served;
}

/* All instances serve all routes again some time after the last fault. */
static void
check_recovery(soak_t *soak)
{
    mr_ms_t until = mr_clock_now(NULL) + RECOVERY_MAX_MS;

    for (int i = 0; i < SOAK_RELAYS; i++) {
        while (soak->relays[i].pid == 0 || soak->leaving[i]) {
            ck_assert(mr_clock_now(NULL) < until);
            soak_faults_step(soak, mr_clock_now(NULL));
            harness_run_loop(soak->base, STEP_MS);
        }
        for (int route = 0; route < 3; route++) {
            while (!is_served(soak, i, route)) {
                ck_assert_msg(mr_clock_now(NULL) < until,
                              "RECOVER: %s does not serve %s, see %s",
                              soak->relays[i].name, soak_databases[route],
                              soak->relays[i].log);
                harness_run_loop(soak->base, 20);
            }
        }
    }
}

static void
play(int seed)
{
    const char *seconds = getenv("MASTICRELAY_SECONDS");
    mr_ms_t length = (seconds != NULL ? atoi(seconds) : SECONDS) * 1000LL;
    soak_t *soak;

    /* What is printed before a failure must not be lost with it. */
    setvbuf(stdout, NULL, _IOLBF, 0);
    soak = start(seed);

    printf("seed %d, logs relay-%d-*\n", seed, (int)getpid());
    run(soak, length);
    soak->calm = true;
    run(soak, ANSWERS_MS);
    soak_faults_end(soak);
    soak_clients_close(soak);
    soak_check(soak);
    check_recovery(soak);
    printf("%u operations, %d promotions\n", soak->ops->len,
           world_promotions(soak->world));
    end(soak);
}

/* Guards against promises that a combination of faults breaks. */
START_TEST(test_faults_break_no_promise)
{
    play(CI_SEED);
}
END_TEST

/* Guards against planned work that cuts requests. */
START_TEST(test_planned_work_cuts_nothing)
{
    play(CI_PLANNED_SEED);
}
END_TEST

/* Guards against the return of a failure that a seed once showed. */
START_TEST(test_seeds_that_failed_once)
{
    for (size_t i = 0; regressions[i] != 0; i++) {
        play(regressions[i]);
    }
}
END_TEST

/* Seeds given by hand. */
static int first_seed;
START_TEST(test_seed)
{
    play(_i);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_faults_break_no_promise,
        test_planned_work_cuts_nothing,
        test_seeds_that_failed_once,
    };
    const char *seeds = getenv("MASTICRELAY_SEEDS");
    int last;

    if (seeds == NULL) {
        return RUN_TESTS(tests, .suite = "session_soak",
                         .timeout_s = TEST_TIMEOUT_S, .verbose = true);
    }
    if (sscanf(seeds, "%d-%d", &first_seed, &last) != 2) {
        fprintf(stderr, "MASTICRELAY_SEEDS: FIRST-LAST expected\n");
        return EXIT_FAILURE;
    }
    return runner_run(
        &(const runner_options_t){.suite = "session_soak",
                                  .timeout_s = TEST_TIMEOUT_S,
                                  .verbose = true,
                                  .loop = {test_seed, first_seed, last + 1}},
        NULL, 0);
}
