#ifndef MR_TESTS_RUNNER_H
#define MR_TESTS_RUNNER_H

/* Runs the tests of one program. */

#include <check.h>
#include <stdbool.h>

/** struct runner_options - one suite with one test case */
typedef struct runner_options {
    const char *suite;
    /* Of each test; 0: the library's own limit. Without processes of their
     * own, tests have no time limit. */
    double timeout_s;
    SFun setup; /* before and after each test; NULL: none */
    SFun teardown;
    struct {
        const TTest *test; /* runs last, for each _i in [first, end) */
        int first;
        int end;
    } loop;
    bool verbose; /* name the tests that passed as well */
    bool no_fork; /* no process for each test */
} runner_options_t;

/** runner_run() - run the tests one after the other, or the one that the
 * environment's TEST_ONLY names; returns the exit status. No test run is a
 * failure. */
int runner_run(const runner_options_t *options, const TTest *const *tests,
               size_t count);

/** RUN_TESTS() - run an array of tests with the given members of
 * runner_options_t. */
#define RUN_TESTS(tests, ...)                                                 \
    runner_run(&(const runner_options_t){__VA_ARGS__}, tests,                 \
               sizeof(tests) / sizeof((tests)[0]))

#endif
