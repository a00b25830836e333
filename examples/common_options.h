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

/**
 * options_read() - read the command line
 *
 * Return: false after a message, when the command line is wrong.
 */
bool options_read(options_t *options, int argc, char **argv);
void options_release(options_t *options);

/** options_address() - address of @target; @address unless replaced. */
const char *options_address(options_t *options, const char *target,
                            const char *address);

/** options_account() - add @account, with its rate and burst replaced. */
void options_account(options_t *options, mr_op_t *op,
                     const mr_op_account_t *account);

/**
 * options_keys() - add the keys of --key and --issue-keys
 * @accounts, @count: every account receives an issued key
 *
 * Return: false after a message.
 */
bool options_keys(const options_t *options, mr_op_t *op,
                  const mr_op_account_t *accounts, size_t count);

/**
 * options_finish() - print the configuration to standard output
 *
 * An option that names an unknown target or account is an error.
 *
 * Return: exit status for main().
 */
int options_finish(const options_t *options, mr_op_t *op);

#endif
