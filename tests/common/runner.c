#include "runner.h"

#include <stdlib.h>
#include <string.h>

int
runner_run(const runner_options_t *options, const TTest *const *tests,
           size_t count)
{
    const char *only = getenv("TEST_ONLY");
    Suite *suite = suite_create(options->suite);
    TCase *tcase = tcase_create(options->suite);

    if (options->timeout_s > 0) {
        tcase_set_timeout(tcase, options->timeout_s);
    }
    if (options->setup != NULL || options->teardown != NULL) {
        tcase_add_checked_fixture(tcase, options->setup, options->teardown);
    }
    for (size_t i = 0; i < count; i++) {
        if (only == NULL || strcmp(only, tests[i]->name) == 0) {
            tcase_add_test(tcase, tests[i]);
        }
    }
    if (options->loop.test != NULL && only == NULL) {
        tcase_add_loop_test(tcase, options->loop.test, options->loop.first,
                            options->loop.end);
    }
    suite_add_tcase(suite, tcase);
    SRunner *runner = srunner_create(suite);
    if (options->no_fork) {
        srunner_set_fork_status(runner, CK_NOFORK);
    }
    srunner_run_all(runner, options->verbose ? CK_VERBOSE : CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    int executed = srunner_ntests_run(runner);
    srunner_free(runner);
    return failed == 0 && executed > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
