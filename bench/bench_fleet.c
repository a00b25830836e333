/*
 * Measures both deployments of docs/design.md 1.6 against the goals of 1.3
 * with real processes on loopback. Prints one line "name value unit" for each
 * figure; lines that begin with '#' explain. BENCH_ONLY=name runs one part,
 * BENCH_DEPLOYMENT=name one deployment.
 */

#include <stdlib.h>
#include <string.h>

#include "fleet_bench.h"

enum { INSTANCES = 18, GROUPS = 3, RATE = 100, BURST = 50, TIMEOUT_S = 900 };

static const char *const ovakoy_places[] = {"konya", "aksaray", "karaman",
                                            "nigde", NULL};
static const char *const calor_places[] = {"oviedo", "santander", "leon",
                                           NULL};

static fleet_bench_t deployments[] = {
    {.name = "ovakoy",
     .options = {.data_centres = ovakoy_places,
                 .slots = 2,
                 .connections = 35,
                 .connect_ms = 10},
     .delay_there = 1,
     .delay_back = 2},
    {.name = "calor",
     .options = {.data_centres = calor_places,
                 .slots = 3,
                 .connections = 90,
                 .connect_ms = 30},
     .delay_there = 1,
     .delay_back = 1},
};

static const struct part {
    const char *name;
    fleet_part_fn_t *fn;
} parts[] = {
    {"replica_read_share", fleet_part_reads},
    {"failover_gap", fleet_part_failover},
    {"worst_account_share", fleet_part_worst_account},
    {"wrongful_refusals", fleet_part_refusals},
    {"cost", fleet_part_cost},
};

void
fleet_print(const fleet_bench_t *bench, const char *name, double value,
            const char *unit)
{
    printf("%s.%s %.3f %s\n", bench->name, name, value, unit);
    fflush(stdout);
}

double
fleet_share(int64_t part, int64_t whole)
{
    return whole == 0 ? 100 : 100 * (double)part / (double)whole;
}

void
fleet_print_errors(const char *what, const fleet_load_t *load, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        const fleet_stats_t *stats = fleet_load_stats(load, i);
        GHashTableIter it;
        gpointer kind;
        gpointer number;
        g_hash_table_iter_init(&it, stats->kinds);
        while (g_hash_table_iter_next(&it, &kind, &number)) {
            printf("# %s: stream %zu: %s %d of %lld\n", what, i,
                   (const char *)kind, GPOINTER_TO_INT(number),
                   (long long)stats->sent);
        }
    }
}

void
fleet_print_counter(const fleet_bench_t *bench, const char *what,
                    const char *counter)
{
    harness_t *h = bench->h;
    long long sum = 0;

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
    printf("# %s: %s %lld\n", what, counter, sum);
}

void
fleet_even_streams(const fleet_bench_t *bench, double fraction,
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
fleet_target_faults(fleet_bench_t *bench, const char *json)
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
fleet_measure(fleet_bench_t *bench, const fleet_stream_options_t *streams,
              size_t count, mr_ms_t ms)
{
    fleet_load_t *load =
        fleet_load_start(bench->h, streams, count, FLEET_SEED);

    harness_run(bench->h->base, FLEET_WARM_UP_MS);
    fleet_load_mark(load);
    harness_run(bench->h->base, ms);
    fleet_load_stop(load);
    return load;
}

static void
delay_links(const fleet_bench_t *bench)
{
    const char *const *places = bench->options.data_centres;
    char json[128];
    char link[2 * HARNESS_NAME_BYTES];

    snprintf(json, sizeof(json),
             "{\"delay_to_target_ms\":%d,\"delay_to_caller_ms\":%d}",
             bench->delay_there, bench->delay_back);
    for (size_t i = 0; places[i] != NULL; i++) {
        for (size_t j = 0; places[j] != NULL; j++) {
            if (i != j) {
                snprintf(link, sizeof(link), "%s--%s.*", places[i], places[j]);
                harness_fault(bench->h, link, json);
            }
        }
    }
}

void
fleet_up(fleet_bench_t *bench)
{
    harness_options_t *o = &bench->options;

    o->instances_total = INSTANCES;
    o->groups = GROUPS;
    o->accounts = FLEET_ACCOUNTS;
    o->large_accounts = FLEET_LARGE_ACCOUNTS;
    o->rate = RATE;
    o->burst = BURST;
    o->proxied = true;
    bench->h = harness_start(o);
    printf("# logs in %s\n", bench->h->folder);
    delay_links(bench);
}

void
fleet_down(fleet_bench_t *bench)
{
    harness_end(bench->h);
    bench->h = NULL;
}

START_TEST(test_parts)
{
    const char *only = getenv("BENCH_ONLY");
    const char *deployment = getenv("BENCH_DEPLOYMENT");
    double began = fleet_now();
    int run = 0;

    printf("# seed %d, %d instances, accounts of %d/s burst %d, %d of %d four "
           "times as large\n",
           FLEET_SEED, INSTANCES, RATE, BURST, FLEET_LARGE_ACCOUNTS,
           FLEET_ACCOUNTS);
    for (size_t d = 0; d < sizeof(deployments) / sizeof(*deployments); d++) {
        if (deployment != NULL
            && strcmp(deployment, deployments[d].name) != 0) {
            continue;
        }
        for (size_t p = 0; p < sizeof(parts) / sizeof(*parts); p++) {
            if (only == NULL || *only == '\0'
                || strcmp(only, parts[p].name) == 0) {
                parts[p].fn(&deployments[d]);
                run++;
            }
        }
    }
    printf("# took %.0f s\n", (fleet_now() - began) / 1000);
    ck_assert_msg(run > 0, "no such part");
}
END_TEST

/* The harness ends with check's assertions, so it runs as a test case. */
int
main(void)
{
    const TTest *const tests[] = {test_parts};

    return RUN_TESTS(tests, .suite = "bench", .timeout_s = TIMEOUT_S,
                     .no_fork = true);
}
