#include "harness_keys.h"

enum {
    SEED = 1601,
    REVOKED_AFTER_MS = 5000, /* same as in trace.c */
    ACCEPT_MAX_MS = 15000,
};

static const char *const data_centres[] = {"konya", "aksaray", NULL};

keys_setup_t
keys_start(void)
{
    static const harness_options_t options = {
        .data_centres = data_centres,
        .instances = 2,
        .accounts = 2,
        .rate = 2000,
        .burst = 2000,
        .lag_ms = 5,
        .proxied = true,
        .trace = "keys.jsonl",
    };
    harness_load_t load = {.callers = 8,
                           .account = KEYS_REVOKED_ACCOUNT,
                           .write_percent = 10,
                           .keys = 2,
                           .pause = 20,
                           .seed = SEED};
    keys_setup_t s = {.h = harness_start(&options)};

    s.op = harness_operator_open(s.h, "ayse");
    s.callers = harness_callers_start(s.h, &load);
    load.account = 0;
    load.callers = 2;
    /* These callers avoid the daemon and the data centre that fail, and only
     * read: most targets of the group are in konya. */
    load.write_percent = 0;
    load.data_centre = "aksaray";
    s.others = harness_callers_start(s.h, &load);
    harness_run_loop(s.h->base, 500);
    return s;
}

void
keys_stage(const keys_setup_t *s)
{
    ck_assert(mr_op_withdraw_key(s->h->config,
                                 s->h->accounts[KEYS_REVOKED_ACCOUNT].key_id));
    harness_stage(s->op);
}

void
keys_accept(const keys_setup_t *s, const char *without)
{
    harness_accept_staged(s->op, without, ACCEPT_MAX_MS);
    harness_trace(s->h, "withdrawn",
                  json_pack("{s:s}", "key",
                            s->h->accounts[KEYS_REVOKED_ACCOUNT].key_id));
}

void
keys_run_past_deadline(const keys_setup_t *s, mr_ms_t extra)
{
    int64_t ran = harness_callers_counts(s->others).ran;

    ck_assert_int_gt(harness_callers_counts(s->callers).ran, 50);
    harness_run_loop(s->h->base, REVOKED_AFTER_MS + extra);
    ck_assert_int_gt(harness_callers_counts(s->others).ran, ran + 50);
}

void
keys_finish(const keys_setup_t *s)
{
    harness_counts_t counts = harness_callers_stop(s->callers);

    harness_callers_stop(s->others);
    printf("revoked key: ran %lld, last after %lld ms; not run %lld\n",
           (long long)counts.ran, (long long)(counts.last_ran - s->h->started),
           (long long)counts.not_run);
    ck_assert_int_gt(counts.not_run, 20);
    harness_operator_close(s->op);
    harness_check_guarantees(s->h);
    harness_end(s->h);
}
