#ifndef MASTICRELAY_H
#define MASTICRELAY_H

/*
 * The operators' library. An operator's program describes a deployment and
 * prints its complete configuration as canonical JSON. The customer reviews
 * the changes and approves or vetoes them before they take effect.
 *
 *     mr_op_t *op = mr_op_create("ovakoy", 1);
 *     mr_op_data_centre(op, "konya", "ic-anadolu");
 *     ...
 *     int status = mr_op_finish(op, stdout, stderr);
 *     mr_op_destroy(op);
 *
 * Sections: description, elements, output, editing a printed configuration,
 * callers' keys, the customer's approval, differences.
 *
 * String arguments are borrowed for the call. Strings returned as `char *` are
 * allocated; the caller frees them with free(). All strings are UTF-8; names
 * are 1 to 64 characters from a-z, A-Z, 0-9, '.', '_', '-'.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/* ------------------------------------------------------------ Description */

/** mr_op_t - description of a deployment, built element by element. */
typedef struct mr_op mr_op_t;

/**
 * mr_op_create() - creates an empty description
 * @deployment: name of the deployment
 * @version: version of the configuration, at least 1; it must be higher than
 *           the accepted version
 *
 * Errors in a description are collected, so that all of them are reported
 * together; functions can still be called on a description with errors.
 *
 * Return: a description, to be freed with mr_op_destroy().
 */
mr_op_t *mr_op_create(const char *deployment, int64_t version);
void mr_op_destroy(mr_op_t *op);

/** mr_op_set_version() - replaces the version given to mr_op_create(). */
void mr_op_set_version(mr_op_t *op, int64_t version);

/* --------------------------------------------------------------- Elements */

/*
 * Elements refer to one another by name and may be added in any order;
 * mr_op_print() checks the references. Names of data centres, services,
 * groups, targets, accounts and routes, and ids of keys, are unique in the
 * whole configuration.
 */

/** mr_op_data_centre() - adds a data centre in @region. */
void mr_op_data_centre(mr_op_t *op, const char *name, const char *region);

/** mr_op_service() - adds a service, the databases behind some routes. */
void mr_op_service(mr_op_t *op, const char *name);

/** mr_op_group() - adds a group of replicated targets to @service. */
void mr_op_group(mr_op_t *op, const char *service, const char *name);

/** struct mr_op_target - a database behind the relay */
typedef struct mr_op_target {
    const char *name;
    const char *group;
    const char *data_centre;
    const char *address; /* "IP:port"; host names are rejected */
    int64_t slots;       /* statements that run concurrently, from 1 */
    int64_t connections; /* accepted by the target, from 1 */
    bool leaving;        /* receives no new work */
} mr_op_target_t;

void mr_op_target(mr_op_t *op, const mr_op_target_t *target);

/** struct mr_op_account - a client account and its limits */
typedef struct mr_op_account {
    const char *name;
    int64_t rate;   /* requests per second in the whole fleet, from 1 */
    int64_t burst;  /* requests in the whole fleet, from 1 */
    int64_t weight; /* share of a target's slots under contention, from 1 */
} mr_op_account_t;

void mr_op_account(mr_op_t *op, const mr_op_account_t *account);

/**
 * mr_op_key() - adds a key to @account
 * @id: 1 to 64 characters from a-z, A-Z, 0-9, '_', '-'
 * @hash: the hash from mr_op_key_generate() in lower-case hex, not the key
 */
void mr_op_key(mr_op_t *op, const char *account, const char *id,
               const char *hash);

/** Freshness of the reads of a route, unless the request specifies another. */
typedef enum mr_op_freshness {
    MR_OP_FRESHNESS_SESSION, /* at least the session's own writes */
    MR_OP_FRESHNESS_MAX_AGE, /* data up to max_age_ms old */
    MR_OP_FRESHNESS_PRESENT, /* the primary's current data */
} mr_op_freshness_t;

/** struct mr_op_route - the name under which callers reach a service */
typedef struct mr_op_route {
    const char *name;
    const char *service;
    bool open;                   /* true: needs no key */
    const char *charged_account; /* open routes only: account whose
                                    limits apply */
    mr_op_freshness_t freshness;
    int64_t max_age_ms;      /* MR_OP_FRESHNESS_MAX_AGE only */
    int64_t deadline_ms;     /* time limit of a request, from 1 */
    int64_t offline_limit_s; /* time without contact to the platform after
                                which keyed requests are refused, from 1 */
} mr_op_route_t;

void mr_op_route(mr_op_t *op, const mr_op_route_t *route);

/** mr_op_allow() - permits @account to use the keyed route @route. */
void mr_op_allow(mr_op_t *op, const char *route, const char *account);

/* ----------------------------------------------------------------- Output */

/**
 * mr_op_print() - returns the complete configuration as canonical JSON
 *
 * Keys and lists are sorted and there is no white space, so the output does
 * not depend on the order in which the elements were added.
 *
 * Return: the text, or NULL if the description has errors.
 */
char *mr_op_print(mr_op_t *op);

/** mr_op_problem_count() - returns the number of errors found so far. */
size_t mr_op_problem_count(const mr_op_t *op);

/** mr_op_problem() - returns the message of error @index, which names the
 * field, or NULL if there is no such error. It is valid until the next call
 * that changes @op or prints it. */
const char *mr_op_problem(const mr_op_t *op, size_t index);

/**
 * mr_op_finish() - prints the configuration and a newline to @out
 *
 * If the description has errors, prints them to @err instead, one per line.
 *
 * Return: exit status for main(): 0, or 1 on failure.
 */
int mr_op_finish(mr_op_t *op, FILE *out, FILE *err);

/* --------------------------------------- Editing a printed configuration */

/** Size of a buffer for an error message, with its NUL byte. */
enum { MR_OP_PROBLEM_BYTES = 256 };

/**
 * mr_op_read() - parses a printed configuration into a description
 * @json, @len: the configuration; it is validated
 * @problem: receives the error message
 *
 * Return: a description, or NULL with @problem set.
 */
mr_op_t *mr_op_read(const char *json, size_t len,
                    char problem[MR_OP_PROBLEM_BYTES]);

/** mr_op_version() - returns the version of the configuration. */
int64_t mr_op_version(const mr_op_t *op);

/** mr_op_withdraw_key() - removes the key @id; false if it does not exist. */
bool mr_op_withdraw_key(mr_op_t *op, const char *id);

/** mr_op_set_leaving() - sets whether @target is leaving; false if it does not
 * exist. */
bool mr_op_set_leaving(mr_op_t *op, const char *target, bool leaving);

/* ---------------------------------------------------------- Callers' keys */

/** Sizes of strings with their NUL byte. */
enum {
    MR_OP_KEY_BYTES = 113,     /* mrk.ID.SECRET */
    MR_OP_KEY_HASH_BYTES = 65, /* BLAKE2b-256 in hex */
};

/**
 * mr_op_key_generate() - generates a random key
 * @id: the key's id
 * @key: receives `mrk.ID.SECRET`, which is stored nowhere else; pass it on to
 *       the caller and do not keep it
 * @hash: receives the hash for mr_op_key()
 *
 * Return: false if @id is not valid.
 */
bool mr_op_key_generate(const char *id, char key[MR_OP_KEY_BYTES],
                        char hash[MR_OP_KEY_HASH_BYTES]);

/**
 * mr_op_key_issue() - generates a key and adds its hash to @account
 *
 * Return: false if @id is not valid; the error is collected in @op.
 */
bool mr_op_key_issue(mr_op_t *op, const char *account, const char *id,
                     char key[MR_OP_KEY_BYTES]);

/* ------------------------------------------------ The customer's approval */

/** Sizes of strings with their NUL byte. */
enum {
    MR_OP_HASH_BYTES = 65,             /* of a configuration, hex */
    MR_OP_APPROVER_PUBLIC_BYTES = 65,  /* Ed25519 public key, hex */
    MR_OP_APPROVER_SECRET_BYTES = 129, /* Ed25519 secret key, hex */
    MR_OP_APPROVAL_BYTES = 129,        /* signature, hex */
};

/** mr_op_hash() - hashes a printed configuration without its newline. */
void mr_op_hash(const char *json, size_t len, char hash[MR_OP_HASH_BYTES]);

/**
 * mr_op_approver_create() - generates the customer's key pair
 * @public_key: for the daemons' settings
 * @secret_key: for the customer only
 *
 * Return: false if the system provides no random numbers.
 */
bool mr_op_approver_create(char public_key[MR_OP_APPROVER_PUBLIC_BYTES],
                           char secret_key[MR_OP_APPROVER_SECRET_BYTES]);

/**
 * mr_op_approve() - signs (@version, @hash) with the customer's secret key
 *
 * Return: false if an argument is malformed.
 */
bool mr_op_approve(const char *secret_key, int64_t version, const char *hash,
                   char approval[MR_OP_APPROVAL_BYTES]);

/** mr_op_approved() - verifies that @approval is the customer's signature over
 * (@version, @hash). */
bool mr_op_approved(const char *public_key, int64_t version, const char *hash,
                    const char *approval);

/* ------------------------------------------------------------ Differences */

/**
 * mr_op_diff() - describes the changes between two printed configurations
 * @before: NULL: an empty configuration
 * @problem: receives the error message if a configuration is not valid
 *
 * Return: the changes as text for the approver, or NULL with @problem set.
 */
char *mr_op_diff(const char *before, size_t before_len, const char *after,
                 size_t after_len, char problem[MR_OP_PROBLEM_BYTES]);

#endif
