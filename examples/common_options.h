#ifndef EXAMPLES_COMMON_OPTIONS_H
#define EXAMPLES_COMMON_OPTIONS_H

/* Command-line options that the example programs share. */

#include <glib.h>
#include <masticrelay.h>

/** struct options - values that replace those of the example */
typedef struct options {
    int64_t version;
    char **targets; /* NAME=IP:port */
    char **rates;   /* ACCOUNT=RATE:BURST */
    char **keys;    /* ACCOUNT=ID:HASH */
    char *issue_keys;
    GHashTable *used; /* targets and accounts that the example describes */
} options_t;

/** options_target() - add @target, with its address replaced. */
void options_target(options_t *options, mr_op_t *op,
                    const mr_op_target_t *target);

/** options_account() - add @account, with its rate and burst replaced. */
void options_account(options_t *options, mr_op_t *op,
                     const mr_op_account_t *account);

/** struct example - what a program prints */
typedef struct example {
    const char *deployment;
    void (*describe)(options_t *options, mr_op_t *op);
    const mr_op_account_t *accounts; /* each receives an issued key */
    size_t account_count;
} example_t;

/**
 * options_run() - print the configuration to standard output
 *
 * An option that names an unknown target or account is an error.
 *
 * Return: exit status for main().
 */
int options_run(const example_t *example, int argc, char **argv);

#endif
