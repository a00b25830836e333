/* Tests the log: it must not block the event loop or grow without bound, drop
 * failures before successes, or let input forge a line. */

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "../common/runner.h"
#include "common/clock.h"
#include "common/log.h"

enum { LINES = 3000, DURATION_MAX_MS = 2000 };

static struct event_base *base;
static mr_counters_t *counters;
static int pipe_fds[2];

static void
set_up(void)
{
    base = event_base_new();
    counters = mr_counters_create();
    ck_assert_int_eq(pipe(pipe_fds), 0);
    mr_log_setup("test", MR_LOG_INFO);
    mr_log_open(&(mr_log_options_t){
        .base = base, .counters = counters, .fd = pipe_fds[1]});
}

static void
tear_down(void)
{
    mr_log_close();
    close(pipe_fds[0]);
    close(pipe_fds[1]);
    mr_counters_destroy(counters);
    event_base_free(base);
}

static int64_t
dropped_lines(const char *class_label)
{
    return mr_counter_value(mr_counters_get(
        counters, "masticrelay_log_lines_left_out_total", class_label, ""));
}

/* Reads everything in the pipe. */
static size_t
read_all(char *out, size_t size)
{
    size_t len = 0;

    fcntl(pipe_fds[0], F_SETFL, O_NONBLOCK);
    for (;;) {
        ssize_t n = read(pipe_fds[0], out + len, size - 1 - len);
        if (n <= 0) {
            break;
        }
        len += (size_t)n;
    }
    out[len] = '\0';
    return len;
}

START_TEST(test_does_not_block_without_a_reader)
{
    mr_ms_t start = mr_clock_now(NULL);

    for (int i = 0; i < LINES; i++) {
        mr_log(MR_LOG_INFO, MR_EVENT_STARTED, "i=%d text=%0500d", i, i);
        event_base_loop(base, EVLOOP_NONBLOCK);
    }
    ck_assert_int_lt(mr_clock_now(NULL) - start, DURATION_MAX_MS);
    ck_assert_int_gt(dropped_lines("class=\"state\""), 0);
}
END_TEST

START_TEST(test_each_class_has_its_own_limit)
{
    static char text[256 << 10];

    for (int i = 0; i < 500; i++) {
        mr_log_request(MR_LOG_SUCCEEDED, MR_EVENT_REQUEST_ENDED, "id=%d", i);
    }
    mr_log_request(MR_LOG_FAILED, MR_EVENT_REQUEST_ENDED, "id=failed");
    mr_log(MR_LOG_INFO, MR_EVENT_STARTED, NULL);
    mr_log_close();
    ck_assert_uint_gt(read_all(text, sizeof(text)), 0);
    ck_assert_int_ge(dropped_lines("class=\"succeeded\""), 400);
    ck_assert_int_eq(dropped_lines("class=\"failed\""), 0);
    ck_assert_ptr_nonnull(strstr(text, "id=failed"));
    ck_assert_ptr_nonnull(strstr(text, "event=started"));
}
END_TEST

START_TEST(test_successes_are_dropped_first)
{
    for (int second = 0; second < 6; second++) {
        for (int i = 0; i < 200; i++) {
            mr_log(MR_LOG_INFO, MR_EVENT_STARTED, "text=%0900d", i);
        }
        usleep(1010 * 1000);
    }
    int64_t before = dropped_lines("class=\"succeeded\"");
    mr_log_request(MR_LOG_SUCCEEDED, MR_EVENT_REQUEST_ENDED, "text=%0900d", 1);
    ck_assert_int_eq(dropped_lines("class=\"succeeded\""), before + 1);
}
END_TEST

START_TEST(test_input_cannot_forge_a_line)
{
    char text[4096];

    mr_log_request(MR_LOG_FAILED, MR_EVENT_REQUEST_ENDED, "id=%s",
                   "a\nevent=forged\r\x1b");
    mr_log_close();
    read_all(text, sizeof(text));
    ck_assert_ptr_nonnull(strstr(text, "id=a?event=forged??\n"));
}
END_TEST

START_TEST(test_continues_when_the_reader_closes)
{
    signal(SIGPIPE, SIG_IGN);
    close(pipe_fds[0]);
    mr_log(MR_LOG_INFO, MR_EVENT_STARTED, NULL);
    mr_log_close();
    ck_assert_int_gt(
        mr_counter_value(mr_counters_get(
            counters, "masticrelay_log_unwritten_bytes_total", "", "")),
        0);
    ck_assert_int_eq(pipe(pipe_fds), 0);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_does_not_block_without_a_reader,
        test_each_class_has_its_own_limit,
        test_successes_are_dropped_first,
        test_input_cannot_forge_a_line,
        test_continues_when_the_reader_closes,
    };

    return RUN_TESTS(tests, .suite = "log", .setup = set_up,
                     .teardown = tear_down, .timeout_s = 30);
}
