/*
 * Injects random faults under load into session daemons that run as separate
 * processes, then checks the guarantees on all that clients and databases
 * recorded. Guards against combinations of faults that violate a guarantee.
 *
 * MASTICRELAY_SEEDS=FIRST-LAST runs other seeds, MASTICRELAY_SECONDS sets how
 * long faults are injected. A seed determines the sequence of random choices,
 * but not the timing of faults relative to statements. Seeds divisible by four
 * inject only planned stops, reloads and configuration changes. In odd seeds a
 * replaced primary goes on accepting writes.
 * MASTICRELAY_FAULTS=NAME,... injects only these faults.
 */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "session_links.h"
#include "session_soak.h"

enum {
    DEFAULT_SECONDS = 12,
    TEST_TIMEOUT_S = 150,
    READY_MAX_MS = 8000,
    SETTLE_MS = 2500, /* to choose the coordinator and find the primary */
    STEP_MS = 4,
    ANSWER_DELAY_MS = 10,         /* of the databases */
    RECOVERY_MAX_MS = 12000,      /* given by the users' requirements */
    FINISH_MS = 1500,             /* for the last answers to arrive */
    MEMORY_MAX_BYTES = 112 << 20, /* of the smallest machines */
    /* A CI run uses one seed with all types of faults and one with planned
     * work only. */
    CI_SEED = 1,
    CI_PLANNED_SEED = 12,
};

/* Seeds that once failed, ended by 0. */
static const int regression_seeds[] = {0};

/* Adds a link to the proxy; returns its port. */
static int
add_link(soak_t *soak, const char *from, const char *to, const char *address)
{
    int port = harness_port();

    harness_process_arg(&soak->proxy, "--link=%s--%s=127.0.0.1:%d=%s", from,
                        to, port, address);
    return port;
}

static void
add_redirect(relay_process_t *relay, const char *address, int port)
{
    size_t len = strlen(relay->redirect);
    int added = snprintf(relay->redirect + len, sizeof(relay->redirect) - len,
                         "%s:%d,", strrchr(address, ':') + 1, port);

    ck_assert_int_lt(added, (int)(sizeof(relay->redirect) - len));
}

/* Routes the outgoing connections of relay @index, and those of clients to it,
 * through proxy links of its own. */
static void
add_links(soak_t *soak, int index)
{
    relay_process_t *relay = &soak->relays[index];
    char name[BACKEND_TEXT_BYTES];
    char to[BACKEND_TEXT_BYTES];

    snprintf(name, sizeof(name), "r%d", index);
    for (int i = 0; i < BACKEND_DBS; i++) {
        char address[BACKEND_TEXT_BYTES];
        snprintf(to, sizeof(to), "d%d", i);
        snprintf(address, sizeof(address), "127.0.0.1:%d",
                 backend_db_port(soak->backend, i));
        add_redirect(relay, address, add_link(soak, name, to, address));
    }
    for (int i = 0; i < SOAK_RELAYS; i++) {
        const char *address = soak->relays[i].peer;
        if (i != index) {
            snprintf(to, sizeof(to), "r%d", i);
            add_redirect(relay, address, add_link(soak, name, to, address));
        }
    }
    add_redirect(relay, backend_store_address(soak->backend, index),
                 add_link(soak, name, "store",
                          backend_store_address(soak->backend, index)));
    add_redirect(relay, backend_promotion_address(soak->backend),
                 add_link(soak, name, "duty",
                          backend_promotion_address(soak->backend)));
    snprintf(relay->client_address, sizeof(relay->client_address),
             "127.0.0.1:%d", add_link(soak, "c", name, relay->listen));
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
    for (int i = 0; i < SOAK_RELAYS; i++) {
        links_limit_relay(soak->base, proxy, i, SOAK_RELAYS);
    }
}

static soak_t *
start_soak(int seed)
{
    static const char *const keys[] = {"coop:key-1", "agent:key-2",
                                       "broker:key-3", NULL};
    soak_t *soak = MR_NEW(soak_t);

    signal(SIGPIPE, SIG_IGN);
    soak->base = event_base_new();
    soak->random = g_rand_new_with_seed((guint32)seed);
    soak->ops = g_ptr_array_new_with_free_func(free);
    soak->planned_only = seed % 4 == 0;
    soak->backend = backend_create(soak->base);
    /* Replaced primaries go on in odd seeds. */
    backend_set_former_leads(soak->backend, seed % 2 == 1);
    soak->config_version = 5;
    backend_set_answer_delay(soak->backend, ANSWER_DELAY_MS);
    backend_put_config(soak->backend, soak->config_version, keys, SOAK_RATE);
    for (int i = 0; i < SOAK_RELAYS; i++) {
        relay_prepare(&soak->relays[i], i);
    }
    start_proxy(soak);
    for (int i = 0; i < SOAK_RELAYS; i++) {
        relay_restart(&soak->relays[i], soak->backend);
    }
    for (int i = 0; i < SOAK_RELAYS; i++) {
        ck_assert(
            relay_wait_ready(&soak->relays[i], soak->base, READY_MAX_MS));
    }
    harness_run_loop(soak->base, SETTLE_MS);
    return soak;
}

static void
end_soak(soak_t *soak)
{
    for (int i = 0; i < SOAK_RELAYS; i++) {
        relay_kill(&soak->relays[i]);
    }
    harness_process_kill(&soak->proxy);
    backend_destroy(soak->backend);
    g_ptr_array_free(soak->ops, TRUE);
    g_rand_free(soak->random);
    event_base_free(soak->base);
    free(soak);
}

static void
run_for(soak_t *soak, mr_ms_t length)
{
    mr_ms_t until = mr_clock_now(NULL) + length;

    while (mr_clock_now(NULL) < until) {
        soak_update_faults(soak, mr_clock_now(NULL));
        soak_update_clients(soak);
        harness_run_loop(soak->base, STEP_MS);
    }
}

/* Whether a new session can run a statement and a transaction. */
static bool
is_served(soak_t *soak, int relay, const char *database)
{
    client_t *client = client_open(soak->base, &soak->relays[relay], database,
                                   soak_keys[0], NULL);
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

static void
wait_until_served(soak_t *soak, int relay, const char *database, mr_ms_t until)
{
    while (!is_served(soak, relay, database)) {
        ck_assert_msg(mr_clock_now(NULL) < until,
                      "RECOVER: %s does not serve route %s, see %s",
                      soak->relays[relay].name, database,
                      soak->relays[relay].log);
        harness_run_loop(soak->base, 20);
    }
}

/* All instances serve all routes again within a bound after the last fault. */
static void
check_recovery(soak_t *soak)
{
    mr_ms_t until = mr_clock_now(NULL) + RECOVERY_MAX_MS;
    char last[BACKEND_TEXT_BYTES]; /* of the extra routes */

    for (int i = 0; i < SOAK_RELAYS; i++) {
        while (soak->relays[i].pid == 0 || soak->stopping[i]) {
            ck_assert(mr_clock_now(NULL) < until);
            soak_update_faults(soak, mr_clock_now(NULL));
            harness_run_loop(soak->base, STEP_MS);
        }
        for (int route = 0; route < 3; route++) {
            wait_until_served(soak, i, soak_databases[route], until);
        }
        if (soak->extra_routes > 0) {
            backend_extra_database(soak->extra_routes - 1, last);
            wait_until_served(soak, i, last, until);
        }
    }
}

static void
check_memory(const soak_t *soak)
{
    for (int i = 0; i < SOAK_RELAYS; i++) {
        int64_t peak = relay_peak_memory(&soak->relays[i]);
        ck_assert_msg(peak <= MEMORY_MAX_BYTES, "MEMORY: %s had %lld bytes",
                      soak->relays[i].name, (long long)peak);
    }
}

static void
run_seed(int seed)
{
    const char *seconds = getenv("MASTICRELAY_SECONDS");
    mr_ms_t length =
        (seconds != NULL ? atoi(seconds) : DEFAULT_SECONDS) * 1000LL;
    soak_t *soak;

    /* Line buffering keeps the output that precedes a failed assertion. */
    setvbuf(stdout, NULL, _IOLBF, 0);
    soak = start_soak(seed);

    printf("seed %d, logs relay-%d-*\n", seed, (int)getpid());
    run_for(soak, length);
    soak->quiescing = true;
    run_for(soak, FINISH_MS);
    soak_end_faults(soak);
    soak_close_clients(soak);
    soak_check(soak);
    check_recovery(soak);
    check_memory(soak);
    printf("%u operations, %d promotions\n", soak->ops->len,
           backend_count_promotions(soak->backend));
    end_soak(soak);
}

/* Guards against combinations of faults that violate a guarantee. */
START_TEST(test_faults_violate_no_guarantee)
{
    run_seed(CI_SEED);
}
END_TEST

/* Guards against planned work that interrupts requests. */
START_TEST(test_planned_work_interrupts_no_request)
{
    run_seed(CI_PLANNED_SEED);
}
END_TEST

/* Guards against regressions that a seed has shown before. */
START_TEST(test_regression_seeds)
{
    for (size_t i = 0; regression_seeds[i] != 0; i++) {
        run_seed(regression_seeds[i]);
    }
}
END_TEST

/* Runs the seeds of MASTICRELAY_SEEDS. */
static int first_seed;
START_TEST(test_seed)
{
    run_seed(_i);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_faults_violate_no_guarantee,
        test_planned_work_interrupts_no_request,
        test_regression_seeds,
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
