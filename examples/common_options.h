#ifndef EXAMPLES_COMMON_OPTIONS_H
#define EXAMPLES_COMMON_OPTIONS_H

/* Command-line options of the example programs. */

#include <glib.h>
#include <masticrelay.h>

/** struct options - values that override those of the example */
typedef struct options {
    int64_t version;
    char **targets; /* NAME=IP:port */
    char **rates;   /* ACCOUNT=RATE:BURST */
    char **keys;    /* ACCOUNT=ID:HASH */
    char *issue_keys;
    GHashTable *described_names; /* of targets and accounts */
} options_t;

/** options_add_target() - add @target, with the address of a --target option
 * if there is one. */
void options_add_target(options_t *options, mr_op_t *op,
                        const mr_op_target_t *target);

/** options_add_account() - add @account, with the rate and burst of a --rate
 * option if there is one. */
void options_add_account(options_t *options, mr_op_t *op,
                         const mr_op_account_t *account);

/** struct example - the configuration that a program prints */
typedef struct example {
    const char *deployment;
    void (*describe)(options_t *options, mr_op_t *op);
    const mr_op_account_t *accounts; /* --issue-keys issues a key for each */
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
