#ifndef MR_BENCH_COMMON_HARNESS_H
#define MR_BENCH_COMMON_HARNESS_H

#include <check.h>
#include <sys/resource.h>

#include "common_bench.h"
#include "integration/harness.h"

/** bench_raise_fd_limit() - raise the limit of open files to @descriptors. */
static inline void
bench_raise_fd_limit(rlim_t descriptors)
{
    struct rlimit limit;

    ck_assert_int_eq(getrlimit(RLIMIT_NOFILE, &limit), 0);
    if (limit.rlim_cur < descriptors) {
        limit.rlim_cur = descriptors;
        ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &limit), 0);
    }
}

/** bench_run_test() - run @test as a test case, because the harness reports
 * failures to the check library; returns the exit status. */
static inline int
bench_run_test(const char *name, const TTest *test)
{
    Suite *suite = suite_create(name);
    TCase *tcase = tcase_create(name);

    tcase_set_timeout(tcase, 0);
    tcase_add_test(tcase, test);
    suite_add_tcase(suite, tcase);
    SRunner *runner = srunner_create(suite);
    srunner_set_fork_status(runner, CK_NOFORK);
    srunner_run_all(runner, CK_SILENT);
    int failed = srunner_ntests_failed(runner);
    if (failed > 0) {
        srunner_print(runner, CK_NORMAL);
    }
    srunner_free(runner);
    return failed == 0 ? 0 : 1;
}

#endif
