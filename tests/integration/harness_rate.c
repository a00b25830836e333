#include "harness_rate.h"

#include <stdlib.h>
#include <string.h>

#include "limit/limiter.h"

enum { SEED = 1701, CALLERS = 24, STEP_MS = 1500 };

const char *const rate_data_centres[] = {"konya", "aksaray", "nigde", NULL};

harness_t *
rate_start(int64_t rate, int64_t burst)
{
    const harness_options_t options = {
        .data_centres = rate_data_centres,
        .instances = 2,
        .groups = 2,
        .accounts = 2,
        .rate = rate,
        .burst = burst,
        .slots = 8,
        .lag_ms = 5,
        .proxied = true,
        .trace = "rate.jsonl",
    };
    harness_t *h = harness_start(&options);

    /* The buckets fill up in this time without demand. */
    harness_run_loop(h->base, 700);
    return h;
}

harness_caller_group_t *
rate_demand(harness_t *h, const char *data_centre)
{
    const harness_load_t load = {.callers = CALLERS,
                                 .account = 0,
                                 .write_percent = 100,
                                 .append_percent = 100,
                                 .keys = 4,
                                 .pause = 20,
                                 .seed = SEED,
                                 .data_centre = data_centre};

    return harness_callers_start(h, &load);
}

void
rate_move_demand(harness_t *h, int rounds)
{
    for (int i = 0; i < rounds; i++) {
        harness_caller_group_t *callers =
            rate_demand(h, rate_data_centres[i % 3]);
        harness_run_loop(h->base, STEP_MS);
        harness_callers_stop(callers);
    }
}

/* Returns the number of executed appends in the trace, and sets the times of
 * the first request and the last answer. */
static double
count_executed(const char *path, double *first, double *last)
{
    FILE *file = fopen(path, "re");
    char *line = NULL;
    size_t size = 0;
    double count = 0;

    ck_assert_ptr_nonnull(file);
    *first = -1;
    *last = 0;
    while (getline(&line, &size, file) > 0) {
        json_t *event = json_loads(line, 0, NULL);
        const char *name = json_string_value(json_object_get(event, "event"));
        double t = json_number_value(json_object_get(event, "t"));
        if (strcmp(name, "executed") == 0) {
            count++;
        }
        else if (strcmp(name, "request") == 0 && *first < 0) {
            *first = t;
        }
        else if (strcmp(name, "answer") == 0) {
            *last = t;
        }
        json_decref(event);
    }
    free(line);
    fclose(file);
    return count;
}

/* The targets' records, which are part of the trace, also contain requests
 * whose answer was lost. */
void
rate_finish(harness_t *h)
{
    double first;
    double last;

    harness_run_loop(h->base, 500);
    harness_check_guarantees(h);
    double executed = count_executed(h->trace_path, &first, &last);
    double allowed = (double)h->accounts[0].burst
                     + (double)h->accounts[0].rate * (last - first) / 1000.0;
    printf("executed %.0f of %.0f allowed in %.0f ms\n", executed, allowed,
           last - first);
    ck_assert_msg(executed <= allowed, "%.0f executed, %.0f allowed", executed,
                  allowed);
    /* The check is meaningful only if a good part of the rate is used. */
    ck_assert_msg(executed >= allowed / 8, "%.0f executed of %.0f", executed,
                  allowed);
    harness_end(h);
}

harness_process_t *
rate_limiter(harness_t *h, const char *data_centre)
{
    char path[2 * HARNESS_NAME_BYTES];
    const char *owner = NULL;
    json_t *row = NULL;

    snprintf(path, sizeof(path), "/table/limiter/%s/%u", data_centre,
             mr_limiter_shard(h->accounts[0].name));
    ck_assert_int_eq(harness_http(h->base, "GET", h->platform.address, path,
                                  NULL, NULL, &row),
                     200);
    ck_assert_int_eq(json_unpack(row, "{s:{s:s}}", "value", "owner", &owner),
                     0);
    harness_process_t *process = &harness_instance(h, owner)->process;
    json_decref(row);
    return process;
}
