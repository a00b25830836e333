/*
 * Measures both deployments of docs/design.md 1.6 against the goals of 1.3
 * with real processes on loopback. Prints one line "name value unit" for each
 * result; lines that begin with '#' are comments. BENCH_ONLY=name runs a
 * single part, BENCH_DEPLOYMENT=name a single deployment. Each part runs in
 * its own process, so that an abort does not lose the output of other parts.
 */

#include <stdlib.h>
#include <string.h>

#include "fleet_bench.h"

enum {
    INSTANCES = 18,
    GROUPS = 3,
    ACCOUNT_RATE = 100,
    ACCOUNT_BURST = 50,
    SHARD_CANDIDATES = 64,
    /* The failover part takes 5 minutes when every failover times out. */
    PART_TIMEOUT_S = 600,
};

static const char *const ovakoy_data_centres[] = {"konya", "aksaray",
                                                  "karaman", "nigde", NULL};
static const char *const calor_data_centres[] = {"oviedo", "santander", "leon",
                                                 NULL};

static fleet_bench_t deployments[] = {
    {.name = "ovakoy",
     .options = {.data_centres = ovakoy_data_centres,
                 .slots = 2,
                 .connections = 35,
                 .connect_ms = 10},
     .delay_to_target_ms = 1,
     .delay_to_caller_ms = 2},
    {.name = "calor",
     .options = {.data_centres = calor_data_centres,
                 .slots = 3,
                 .connections = 90,
                 .connect_ms = 30},
     .delay_to_target_ms = 1,
     .delay_to_caller_ms = 1},
};

static const struct part {
    const char *name;
    fleet_part_fn_t *fn;
} parts[] = {
    {"replica_read_share", fleet_part_reads},
    {"failover_gap", fleet_part_failover},
    {"observer_link", fleet_part_observer_link},
    {"worst_account_share", fleet_part_worst_account},
    {"wrongful_refusals", fleet_part_refusals},
    {"cost", fleet_part_cost},
    {"pool_load", fleet_part_pool},
};

enum { PARTS = sizeof(parts) / sizeof(*parts) };

void
fleet_print(const fleet_bench_t *bench, const char *name, double value,
            const char *unit)
{
    printf("%s.%s %.3f %s\n", bench->name, name, value, unit);
    fflush(stdout);
}

double
fleet_percentage(int64_t part, int64_t whole)
{
    return whole == 0 ? 100 : 100 * (double)part / (double)whole;
}

void
fleet_print_errors(const char *what, const fleet_load_t *load, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        const fleet_stats_t *stats = fleet_load_stats(load, i);
        GHashTableIter iter;
        gpointer kind;
        gpointer count_value;
        g_hash_table_iter_init(&iter, stats->error_kinds);
        while (g_hash_table_iter_next(&iter, &kind, &count_value)) {
            printf("# %s: stream %zu: %s %d of %lld\n", what, i,
                   (const char *)kind, GPOINTER_TO_INT(count_value),
                   (long long)stats->sent);
        }
    }
}

int64_t
fleet_counter_sum(const fleet_bench_t *bench, const char *counter)
{
    harness_t *h = bench->h;
    int64_t sum = 0;

    for (size_t i = 0; i < h->instance_count; i++) {
        char *text = harness_metrics(h, &h->instances[i]);
        const char *at = text;
        while (at != NULL && (at = strstr(at, counter)) != NULL) {
            bool first = at == text || at[-1] == '\n';
            at += strlen(counter);
            if (first && (*at == ' ' || *at == '{')) {
                sum += strtoll(strchr(at, ' '), NULL, 10);
            }
        }
        free(text);
    }
    return sum;
}

void
fleet_print_counter(const fleet_bench_t *bench, const char *what,
                    const char *counter)
{
    printf("# %s: %s %lld\n", what, counter,
           (long long)fleet_counter_sum(bench, counter));
}

void
fleet_find_shards(harness_t *h, char (*shards)[HARNESS_NAME_BYTES])
{
    for (int i = 0; i < SHARD_CANDIDATES; i++) {
        char shard[16];
        char body[256];
        json_t *reply = NULL;
        int group;
        snprintf(shard, sizeof(shard), "f%d", i);
        snprintf(body, sizeof(body),
                 "{\"access\":\"read\",\"shard\":\"%s\",\"statement\":{\"op\":"
                 "\"get\",\"key\":\"none\"}}",
                 shard);
        harness_http(h->base, "POST", h->instances[0].process.address,
                     "/v1/routes/data/statements", h->accounts[0].key, body,
                     &reply);
        const char *target =
            json_string_value(json_object_get(reply, "served_by"));
        if (target != NULL && sscanf(target, "g%d-", &group) == 1
            && group < h->options.groups) {
            snprintf(shards[group], HARNESS_NAME_BYTES, "%s", shard);
        }
        json_decref(reply);
    }
    for (int g = 0; g < h->options.groups; g++) {
        ck_assert_int_ne(shards[g][0], '\0');
    }
}

void
fleet_fill_streams(const fleet_bench_t *bench, double fraction,
                   double write_share,
                   fleet_stream_options_t out[FLEET_ACCOUNTS])
{
    for (int i = 0; i < FLEET_ACCOUNTS; i++) {
        out[i] = (fleet_stream_options_t){
            .account = i,
            .rate = (double)bench->h->accounts[i].rate * fraction,
            .write_share = write_share};
    }
}

void
fleet_set_target_faults(fleet_bench_t *bench, const char *json)
{
    harness_t *h = bench->h;

    for (size_t i = 0; i < h->target_count; i++) {
        ck_assert_int_eq(harness_http(h->base, "POST",
                                      h->targets[i].process.address, "/faults",
                                      NULL, json, NULL),
                         200);
    }
}

fleet_load_t *
fleet_run_load(fleet_bench_t *bench, const fleet_stream_options_t *streams,
               size_t count, mr_ms_t ms)
{
    fleet_load_t *load =
        fleet_load_start(bench->h, streams, count, FLEET_SEED);

    harness_run_loop(bench->h->base, FLEET_WARM_UP_MS);
    fleet_load_start_counting(load);
    harness_run_loop(bench->h->base, ms);
    fleet_load_stop(load);
    return load;
}

static void
delay_links(const fleet_bench_t *bench)
{
    const char *const *names = bench->options.data_centres;
    char json[128];
    char link[2 * HARNESS_NAME_BYTES];

    snprintf(json, sizeof(json),
             "{\"delay_to_target_ms\":%d,\"delay_to_caller_ms\":%d}",
             bench->delay_to_target_ms, bench->delay_to_caller_ms);
    for (size_t i = 0; names[i] != NULL; i++) {
        for (size_t j = 0; names[j] != NULL; j++) {
            if (i != j) {
                snprintf(link, sizeof(link), "%s--%s.*", names[i], names[j]);
                harness_set_link_faults(bench->h, link, json);
            }
        }
    }
}

void
fleet_start(fleet_bench_t *bench)
{
    harness_options_t *o = &bench->options;

    o->instances_total = INSTANCES;
    o->groups = GROUPS;
    o->accounts = FLEET_ACCOUNTS;
    o->large_accounts = FLEET_LARGE_ACCOUNTS;
    o->rate = ACCOUNT_RATE;
    o->burst = ACCOUNT_BURST;
    o->proxied = true;
    bench->h = harness_start(o);
    printf("# logs in %s\n", bench->h->folder);
    delay_links(bench);
}

void
fleet_stop(fleet_bench_t *bench)
{
    harness_end(bench->h);
    bench->h = NULL;
}

static bool
is_selected(const char *variable, const char *name)
{
    const char *chosen = getenv(variable);

    return chosen == NULL || *chosen == '\0' || strcmp(chosen, name) == 0;
}

START_TEST(test_part)
{
    size_t deployment = (size_t)_i / PARTS;

    parts[(size_t)_i % PARTS].fn(&deployments[deployment]);
}
END_TEST

static int
run_part(size_t deployment, size_t part)
{
    Suite *suite = suite_create("bench");
    TCase *tc = tcase_create(parts[part].name);
    int index = (int)(deployment * PARTS + part);

    tcase_set_timeout(tc, PART_TIMEOUT_S);
    tcase_add_loop_test(tc, test_part, index, index + 1);
    suite_add_tcase(suite, tc);
    SRunner *runner = srunner_create(suite);
    srunner_set_fork_status(runner, CK_FORK);
    srunner_run_all(runner, CK_SILENT);
    int failed = srunner_ntests_failed(runner);
    if (failed > 0) {
        TestResult **results = srunner_failures(runner);
        printf("# %s.%s aborted: %s\n", deployments[deployment].name,
               parts[part].name, tr_msg(results[0]));
        free(results);
    }
    srunner_free(runner);
    return failed;
}

/* The harness reports failures through assertions of the check library, so
 * each part runs as a test case. */
int
main(void)
{
    double began = fleet_now();
    int run = 0;
    int failed = 0;

    setvbuf(stdout, NULL, _IOLBF, 0);
    printf("# seed %d, %d instances, accounts of %d/s burst %d, %d of %d four "
           "times as large\n",
           FLEET_SEED, INSTANCES, ACCOUNT_RATE, ACCOUNT_BURST,
           FLEET_LARGE_ACCOUNTS, FLEET_ACCOUNTS);
    for (size_t d = 0; d < sizeof(deployments) / sizeof(*deployments); d++) {
        for (size_t p = 0; p < PARTS; p++) {
            if (is_selected("BENCH_DEPLOYMENT", deployments[d].name)
                && is_selected("BENCH_ONLY", parts[p].name)) {
                failed += run_part(d, p);
                run++;
            }
        }
    }
    printf("# took %.0f s, %d parts, %d aborted\n",
           (fleet_now() - began) / 1000, run, failed);
    if (run == 0) {
        fprintf(stderr, "no such part\n");
    }
    return failed == 0 && run > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
