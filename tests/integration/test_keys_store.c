/* P6. Guards against a revoked key that keeps working on open connections:
 * with a slow store, with a store that fails right after the acceptance, and
 * in a data centre that is cut off after it confirmed the staged version. */

#include "harness_keys.h"

START_TEST(test_slow_store)
{
    keys_setup_t s = keys_start();

    harness_set_platform_faults(s.h, "{\"delay_ms\":300}");
    keys_stage(&s);
    keys_accept(&s, NULL);
    keys_run_past_deadline(&s, 1000);
    keys_finish(&s);
}
END_TEST

START_TEST(test_store_down_after_acceptance)
{
    keys_setup_t s = keys_start();

    keys_stage(&s);
    keys_accept(&s, NULL);
    harness_set_platform_faults(s.h, "{\"down\":true}");
    keys_run_past_deadline(&s, 2000);
    harness_set_platform_faults(s.h, "{\"down\":false}");
    harness_run_loop(s.h->base, 3000);
    keys_finish(&s);
}
END_TEST

/* Returns whether @data_centre has confirmed the staged version. */
static bool
confirmed(harness_t *h, const char *data_centre)
{
    char path[2 * HARNESS_NAME_BYTES];
    json_int_t version = 0;
    json_t *row = NULL;

    snprintf(path, sizeof(path), "/table/config/confirm/%s", data_centre);
    harness_http(h->base, "GET", h->platform.address, path, NULL, NULL, &row);
    json_unpack(row, "{s:{s:I}}", "value", "version", &version);
    json_decref(row);
    return version == h->version + 1;
}

START_TEST(test_cut_off_after_confirmation)
{
    keys_setup_t s = keys_start();

    keys_stage(&s);
    for (int i = 0; i < 200 && !confirmed(s.h, "konya"); i++) {
        harness_run_loop(s.h->base, 20);
    }
    ck_assert(confirmed(s.h, "konya"));
    harness_cut_links(s.h, "konya", "aksaray", true);
    harness_set_link_faults(s.h, "konya-*--platform", "{\"cut\":\"both\"}");
    keys_accept(&s, NULL);
    keys_run_past_deadline(&s, 3000);
    harness_cut_links(s.h, "konya", "aksaray", false);
    harness_set_link_faults(s.h, "konya-*--platform", "{\"cut\":\"none\"}");
    harness_run_loop(s.h->base, 4000);
    keys_finish(&s);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_slow_store,
                                  test_store_down_after_acceptance,
                                  test_cut_off_after_confirmation};

    return RUN_TESTS(tests, .suite = "keys_store", HARNESS_RUNNER_OPTIONS);
}
