/* P6. Guards against a revoked key that keeps working on open connections:
 * without faults, and at a daemon that is paused during the change and reads
 * waiting requests as soon as it resumes, with the store up or down. */

#include <signal.h>
#include <string.h>

#include "harness_keys.h"

START_TEST(test_calm)
{
    keys_setup_t s = keys_start();

    keys_stage(&s);
    keys_accept(&s, NULL);
    keys_run_past_deadline(&s, 1000);
    keys_finish(&s);
}
END_TEST

/* Sends requests to konya-0 while it is paused and just after it resumed; none
 * may run. */
static void
send_around_resume(const keys_setup_t *s)
{
    static const harness_request_t request = {.op = "get", .key = "k"};
    harness_session_t *session =
        harness_session_open(s->h, KEYS_REVOKED_ACCOUNT);
    harness_process_t *process = &harness_instance(s->h, "konya-0")->process;
    harness_call_t *calls[10];

    for (size_t i = 0; i < 10; i++) {
        if (i == 5) {
            harness_process_signal(process, SIGCONT);
        }
        calls[i] = harness_call(session, &request);
        harness_call_send(calls[i], "konya-0");
        harness_run_loop(s->h->base, 20);
    }
    for (size_t i = 0; i < 10; i++) {
        harness_answer_t answer = harness_call_end(calls[i]);
        ck_assert_msg(strcmp(answer.outcome, "ran") != 0, "request %zu ran",
                      i);
    }
    harness_session_close(session);
}

START_TEST(test_paused_daemon)
{
    keys_setup_t s = keys_start();
    harness_process_t *process = &harness_instance(s.h, "konya-0")->process;

    harness_process_signal(process, SIGSTOP);
    harness_run_loop(s.h->base, 2000);
    keys_stage(&s);
    keys_accept(&s, NULL);
    keys_run_past_deadline(&s, 500);
    send_around_resume(&s);
    harness_run_loop(s.h->base, 1000);
    keys_finish(&s);
}
END_TEST

/* The daemon is paused before the change and learns of it from its peers. */
START_TEST(test_paused_daemon_store_down)
{
    keys_setup_t s = keys_start();
    harness_process_t *process = &harness_instance(s.h, "konya-0")->process;

    harness_process_signal(process, SIGSTOP);
    harness_run_loop(s.h->base, 2000);
    keys_stage(&s);
    keys_accept(&s, NULL);
    harness_run_loop(s.h->base, 1000);
    harness_set_platform_faults(s.h, "{\"down\":true}");
    keys_run_past_deadline(&s, 500);
    send_around_resume(&s);
    harness_run_loop(s.h->base, 1500);

    /* The daemon serves other keys again although the store is still down. */
    static const harness_request_t request = {.op = "get", .key = "k"};
    harness_session_t *session = harness_session_open(s.h, 0);
    harness_answer_t answer = harness_call_once(session, "konya-0", &request);
    ck_assert_msg(answer.status == 200, "%s", answer.kind);
    harness_session_close(session);
    harness_set_platform_faults(s.h, "{\"down\":false}");
    harness_run_loop(s.h->base, 1000);
    keys_finish(&s);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_calm, test_paused_daemon,
                                  test_paused_daemon_store_down};

    return RUN_TESTS(tests, .suite = "keys", HARNESS_RUNNER_OPTIONS);
}
