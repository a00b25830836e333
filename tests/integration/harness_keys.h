#ifndef MR_TESTS_HARNESS_KEYS_H
#define MR_TESTS_HARNESS_KEYS_H

/* What the tests of withdrawn keys (P6) share. The trace checker fails
 * requests that ran more than 5 s after the acceptance. */

#include "harness.h"

enum { KEYS_WITHDRAWN = 1 /* account whose key is withdrawn */ };

typedef struct keys_setup {
    harness_t *h;
    harness_operator_t *op;
    harness_caller_t *callers; /* with the key that is withdrawn */
    harness_caller_t *others;  /* at aksaray only, where nothing fails */
} keys_setup_t;

keys_setup_t keys_start(void);

/** keys_stage() - propose and approve the withdrawal. */
void keys_stage(const keys_setup_t *s);

/** keys_accept() - accept it; @without: a data centre or NULL */
void keys_accept(const keys_setup_t *s, const char *without);

/** keys_outlast() - wait until the key must not work any more, and for @more;
 * the other key goes on working. */
void keys_outlast(const keys_setup_t *s, mr_ms_t more);

void keys_finish(const keys_setup_t *s);

#endif
