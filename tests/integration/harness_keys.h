#ifndef MR_TESTS_HARNESS_KEYS_H
#define MR_TESTS_HARNESS_KEYS_H

/* Shared setup of the key revocation tests (P6). The trace checker reports
 * requests that ran with the revoked key more than 5 s after the acceptance.
 */

#include "harness.h"

enum { KEYS_REVOKED_ACCOUNT = 1 /* account whose key is revoked */ };

typedef struct keys_setup {
    harness_t *h;
    harness_operator_t *op;
    harness_caller_group_t *callers; /* with the key to be revoked */
    harness_caller_group_t *others; /* with another key, at aksaray only, where
                                       nothing fails */
} keys_setup_t;

keys_setup_t keys_start(void);

/** keys_stage() - proposes and approves the revocation. */
void keys_stage(const keys_setup_t *s);

/** keys_accept() - accepts it; @without: data centre whose confirmation is not
 * required, or NULL. */
void keys_accept(const keys_setup_t *s, const char *without);

/** keys_run_past_deadline() - runs until the revocation must be effective
 * everywhere, and for @extra; asserts that the other key keeps working. */
void keys_run_past_deadline(const keys_setup_t *s, mr_ms_t extra);

void keys_finish(const keys_setup_t *s);

#endif
