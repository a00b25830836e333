#ifndef REVIEW_CHECK_H
#define REVIEW_CHECK_H

/* The assertions that the project's stand-ins use, without the check library,
 * which the build of the deploy file does not need. A failed one means that
 * the case could not run: exit status 2. */

#include <stdio.h>
#include <stdlib.h>

typedef void (*SFun)(void);
typedef struct TTest TTest;

#define ck_assert_msg(cond, ...)                                              \
    do {                                                                      \
        if (!(cond)) {                                                        \
            fprintf(stderr, "%s:%d: %s: ", __FILE__, __LINE__, #cond);        \
            fprintf(stderr, __VA_ARGS__);                                     \
            fputc('\n', stderr);                                              \
            exit(2);                                                          \
        }                                                                     \
    } while (0)
#define ck_assert(cond) ck_assert_msg(cond, "failed")
#define ck_assert_int_eq(a, b) ck_assert((a) == (b))
#define ck_assert_int_ge(a, b) ck_assert((a) >= (b))
#define ck_assert_int_lt(a, b) ck_assert((a) < (b))
#define ck_assert_uint_lt(a, b) ck_assert((a) < (b))
#define ck_assert_ptr_nonnull(a) ck_assert((a) != NULL)

#endif
