/* Tests the codec of the session protocol. Messages must not be misread or
 * altered, and their length must be bounded. */

#include <string.h>

#include "../common/runner.h"
#include "session/line.h"

static struct evbuffer *
buffer_of(const char *text)
{
    struct evbuffer *buffer = evbuffer_new();

    evbuffer_add(buffer, text, strlen(text));
    return buffer;
}

static mr_line_result_t
read_one(const char *text, mr_line_t *line)
{
    struct evbuffer *in = buffer_of(text);
    mr_line_result_t result = mr_line_read(in, line, NULL);

    evbuffer_free(in);
    return result;
}

START_TEST(test_reads_each_kind)
{
    mr_line_t line;

    ck_assert_int_eq(read_one("OPEN db key\r\n", &line), MR_LINE_VALID);
    ck_assert_str_eq(line.u.open.database, "db");
    ck_assert_str_eq(line.u.open.credential, "key");
    mr_line_release(&line);
    ck_assert_int_eq(read_one("OPEN db\r\n", &line), MR_LINE_VALID);
    ck_assert_str_eq(line.u.open.credential, "");
    mr_line_release(&line);
    ck_assert_int_eq(read_one("QUERY 5c WRITE 1a4 x y  z\r\n", &line),
                     MR_LINE_VALID);
    ck_assert_str_eq(line.u.query.id, "5c");
    ck_assert_str_eq(line.u.query.statement, "WRITE 1a4 x y  z");
    mr_line_release(&line);
    ck_assert_int_eq(read_one("READY T 3.1207\r\n", &line), MR_LINE_VALID);
    ck_assert_int_eq(line.u.ready.state, MR_TX_OPEN);
    ck_assert_int_eq(line.u.ready.position.term, 3);
    ck_assert_int_eq(line.u.ready.position.number, 1207);
    mr_line_release(&line);
    ck_assert_int_eq(read_one("READY I -\r\n", &line), MR_LINE_VALID);
    ck_assert_int_eq(line.u.ready.position.term, 0);
    mr_line_release(&line);
    ck_assert_int_eq(read_one("ERROR LAGGING i-7 text\r\n", &line),
                     MR_LINE_VALID);
    ck_assert_int_eq(line.u.error.kind, MR_ERR_NOT_FRESH);
    ck_assert_str_eq(line.u.error.detail, "i-7 text");
    mr_line_release(&line);
    ck_assert_int_eq(read_one("RELEASE\r\n", &line), MR_LINE_VALID);
    ck_assert_int_eq(line.kind, MR_LINE_CLOSE);
    mr_line_release(&line);
}
END_TEST

START_TEST(test_refuses_malformed)
{
    static const char *const malformed[] = {"\r\n",
                                            "NOTHING a\r\n",
                                            "OPEN\r\n",
                                            "QUERY 5c\r\n",
                                            "READY X 3.1\r\n",
                                            "READY I 3.x\r\n",
                                            "READY I -1.4\r\n",
                                            "COMPLETE\r\n",
                                            "READY I 3.1z\r\n",
                                            "open db key\r\n"};

    for (size_t i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
        mr_line_t line;
        ck_assert_msg(read_one(malformed[i], &line) == MR_LINE_MALFORMED, "%s",
                      malformed[i]);
        mr_line_release(&line);
    }
}
END_TEST

START_TEST(test_waits_for_the_whole_message)
{
    struct evbuffer *in = buffer_of("QUERY 1 READ a");
    mr_line_t line;

    ck_assert_int_eq(mr_line_read(in, &line, NULL), MR_LINE_PARTIAL);
    evbuffer_add(in, "\r", 1);
    ck_assert_int_eq(mr_line_read(in, &line, NULL), MR_LINE_PARTIAL);
    evbuffer_add(in, "\nRELEASE\r\n", 10);
    ck_assert_int_eq(mr_line_read(in, &line, NULL), MR_LINE_VALID);
    ck_assert_str_eq(line.u.query.statement, "READ a");
    mr_line_release(&line);
    ck_assert_int_eq(mr_line_read(in, &line, NULL), MR_LINE_VALID);
    mr_line_release(&line);
    evbuffer_free(in);
}
END_TEST

START_TEST(test_a_lone_line_feed_does_not_end_a_message)
{
    mr_line_t line;
    struct evbuffer *in = buffer_of("QUERY 1 WRITE a b\nQUERY 2 READ c\r\n");

    ck_assert_int_eq(mr_line_read(in, &line, NULL), MR_LINE_VALID);
    ck_assert_str_eq(line.u.query.statement, "WRITE a b\nQUERY 2 READ c");
    mr_line_release(&line);
    evbuffer_free(in);
}
END_TEST

START_TEST(test_bounds_the_message)
{
    struct evbuffer *in = evbuffer_new();
    char block[1024];
    mr_line_t line;

    memset(block, 'a', sizeof(block));
    for (int i = 0; i < 1100; i++) {
        evbuffer_add(in, block, sizeof(block));
    }
    ck_assert_int_eq(mr_line_read(in, &line, NULL), MR_LINE_TOO_LONG);
    evbuffer_add(in, "\r\n", 2);
    ck_assert_int_eq(mr_line_read(in, &line, NULL), MR_LINE_TOO_LONG);
    evbuffer_free(in);
}
END_TEST

START_TEST(test_keeps_the_bytes_of_answers)
{
    struct evbuffer *in = buffer_of("ROW a  b \r\nCOMPLETE 7.1f3\r\n");
    struct evbuffer *raw = evbuffer_new();
    mr_line_t line;
    char text[64] = "";

    ck_assert_int_eq(mr_line_read(in, &line, raw), MR_LINE_VALID);
    mr_line_release(&line);
    ck_assert_int_eq(mr_line_read(in, &line, raw), MR_LINE_VALID);
    ck_assert_str_eq(line.u.complete.digest, "7.1f3");
    mr_line_release(&line);
    evbuffer_remove(raw, text, sizeof(text) - 1);
    ck_assert_str_eq(text, "ROW a  b \r\nCOMPLETE 7.1f3\r\n");
    evbuffer_free(raw);
    evbuffer_free(in);
}
END_TEST

START_TEST(test_writes_statements)
{
    struct evbuffer *out = evbuffer_new();
    const mr_position_t position = {3, 1207};
    const mr_position_t none = {0, 0};
    char text[512] = "";

    mr_line_write_open(out, "svc", "acct", "i-7");
    mr_line_write_query(out, "5c", &position, "READ 1a4");
    mr_line_write_query(out, "5d", &none, "READ 1a4");
    mr_line_write_query(out, "5e", NULL, "WRITE 1a4 b");
    mr_line_write_ready(out, MR_TX_FAILED, &position);
    mr_line_write_error(out, MR_ERR_RATE_LIMITED, NULL, 20);
    evbuffer_remove(out, text, sizeof(text) - 1);
    ck_assert_str_eq(text,
                     "OPEN svc acct i-7\r\n"
                     "QUERY 5c AFTER 3.1207 READ 1a4\r\n"
                     "QUERY 5d READ 1a4\r\n"
                     "QUERY 5e WRITE 1a4 b\r\n"
                     "READY E 3.1207\r\n"
                     "ERROR OVERLOAD rate_limited; retry after 20 ms\r\n");
    evbuffer_free(out);
}
END_TEST

/* These codes tell clients that a statement did not run, so they must only be
 * written for error kinds with that outcome. */
START_TEST(test_codes_do_not_contradict_outcomes)
{
    static const char *const not_run_codes[] = {
        "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "OVERLOAD"};

    for (int kind = MR_OK + 1; kind < MR_ERROR_COUNT; kind++) {
        struct evbuffer *out = evbuffer_new();
        char text[128] = "";
        mr_line_write_error(out, (mr_error_kind_t)kind, "x", -1);
        evbuffer_remove(out, text, sizeof(text) - 1);
        for (size_t i = 0;
             i < sizeof(not_run_codes) / sizeof(not_run_codes[0]); i++) {
            if (strncmp(text + 6, not_run_codes[i], strlen(not_run_codes[i]))
                == 0) {
                ck_assert_msg(mr_error_outcome((mr_error_kind_t)kind)
                                  == MR_OUTCOME_NOT_RUN,
                              "%s", text);
            }
        }
        evbuffer_free(out);
    }
}
END_TEST

START_TEST(test_parses_statements)
{
    mr_command_t statement;

    mr_command_parse("BEGIN READ", &statement);
    ck_assert_int_eq(statement.kind, MR_COMMAND_BEGIN);
    ck_assert(statement.read_only);
    mr_command_parse("BEGIN", &statement);
    ck_assert(!statement.read_only);
    mr_command_parse("PREPARE s1 WRITE q2c", &statement);
    ck_assert_int_eq(statement.kind, MR_COMMAND_PREPARE);
    ck_assert_str_eq(statement.name, "s1");
    ck_assert(!statement.read_only);
    mr_command_parse("PREPARE s2 READ q2c", &statement);
    ck_assert(statement.read_only);
    mr_command_parse("EXECUTE s1 1a4 data", &statement);
    ck_assert_int_eq(statement.kind, MR_COMMAND_EXECUTE);
    ck_assert_str_eq(statement.name, "s1");
    mr_command_parse("AFTER 3.1 READ a", &statement);
    ck_assert_int_eq(statement.kind, MR_COMMAND_UNKNOWN);
    mr_command_parse("EXECUTE", &statement);
    ck_assert_int_eq(statement.kind, MR_COMMAND_UNKNOWN);
}
END_TEST

START_TEST(test_parses_status)
{
    mr_db_status_t status;

    ck_assert(mr_db_status_parse("ROW replica 3 3.1209 4 12 2 17", &status));
    ck_assert(!status.primary);
    ck_assert_int_eq(status.received.number, 1209);
    ck_assert_int_eq(status.held_term, 4);
    ck_assert(!mr_db_status_parse("ROW replica 3 x 4 12 2 17", &status));
    ck_assert(!mr_db_status_parse("ROW replica", &status));
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_reads_each_kind,
        test_refuses_malformed,
        test_waits_for_the_whole_message,
        test_a_lone_line_feed_does_not_end_a_message,
        test_bounds_the_message,
        test_keeps_the_bytes_of_answers,
        test_writes_statements,
        test_codes_do_not_contradict_outcomes,
        test_parses_statements,
        test_parses_status,
    };

    return RUN_TESTS(tests, .suite = "line");
}
