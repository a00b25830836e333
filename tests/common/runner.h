#ifndef MR_TESTS_RUNNER_H
#define MR_TESTS_RUNNER_H

/* Runs the tests of a test program. */

#include <check.h>
#include <stdbool.h>

/** struct runner_options - options of a suite with one test case */
typedef struct runner_options {
    const char *suite;
    /* Per test; 0: default of the check library. Has no effect with no_fork.
     */
    double timeout_s;
    SFun setup;    /* runs before each test; may be NULL */
    SFun teardown; /* runs after each test; may be NULL */
    struct {
        const TTest *test; /* runs last, once for each _i in [first, end) */
        int first;
        int end;
    } loop;
    bool verbose; /* also list the tests that passed */
    bool no_fork; /* run the tests in this process instead of one each */
} runner_options_t;

/** runner_run() - run all tests, or only the one that the environment variable
 * TEST_ONLY names; returns the exit status. It is a failure if no test ran. */
int runner_run(const runner_options_t *options, const TTest *const *tests,
               size_t count);

/** RUN_TESTS() - run an array of tests; the further arguments initialize
 * runner_options_t. */
#define RUN_TESTS(tests, ...)                                                 \
    runner_run(&(const runner_options_t){__VA_ARGS__}, tests,                 \
               sizeof(tests) / sizeof((tests)[0]))

#endif
