#ifndef MASTICRELAY_H
#define MASTICRELAY_H

/*
 * The operators' library. An operator's program describes a deployment and
 * prints its complete configuration as canonical JSON, so that the customer
 * can read, approve or veto each change before it takes effect.
 *
 *     mr_op_t *op = mr_op_create("ovakoy", 1);
 *     mr_op_data_centre(op, "konya", "ic-anadolu");
 *     ...
 *     int status = mr_op_finish(op, stdout, stderr);
 *     mr_op_destroy(op);
 *
 * Sections: description, parts, result, changes to a printed configuration,
 * callers' keys, the customer's approval, differences.
 *
 * Strings that a function takes are borrowed for the call. Strings that it
 * returns as `char *` are new; the caller frees them with free(). All strings
 * are UTF-8; names are 1 to 64 characters from a-z, A-Z, 0-9, '.', '_', '-'.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/* ------------------------------------------------------------ Description */

/** mr_op_t - description of one deployment, built up part by part. */
typedef struct mr_op mr_op_t;

/**
 * mr_op_create() - an empty description
 * @deployment: name of the deployment
 * @version: version of the configuration, from 1; each accepted version is
 *           higher than the one before
 *
 * A description never becomes invalid to call: faults are collected, and
 * mr_op_print() reports them together.
 *
 * Return: a description, to be released with mr_op_destroy().
 */
mr_op_t *mr_op_create(const char *deployment, int64_t version);
void mr_op_destroy(mr_op_t *op);

/** mr_op_set_version() - replace the version given to mr_op_create(). */
void mr_op_set_version(mr_op_t *op, int64_t version);

/* ------------------------------------------------------------------ Parts */

/*
 * Parts refer to one another by name and may be added in any order; references
 * are checked by mr_op_print(). Names of data centres, services, groups,
 * targets, accounts and routes, and ids of keys, are unique in the whole
 * configuration.
 */

/** mr_op_data_centre() - add a data centre of @region. */
void mr_op_data_centre(mr_op_t *op, const char *name, const char *region);

/** mr_op_service() - add a service, the databases behind some routes. */
void mr_op_service(mr_op_t *op, const char *name);

/** mr_op_group() - add a group of replicated targets to @service. */
void mr_op_group(mr_op_t *op, const char *service, const char *name);

/** struct mr_op_target - a database behind the relay */
typedef struct mr_op_target {
    const char *name;
    const char *group;
    const char *data_centre;
    const char *address; /* "IP:port"; host names are refused */
    int64_t slots;       /* statements that run at once, from 1 */
    int64_t connections; /* that the target accepts, from 1 */
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
 * mr_op_key() - add a key to @account
 * @id: 1 to 64 characters from a-z, A-Z, 0-9, '_', '-'
 * @hash: lower-case hex hash from mr_op_key_generate(), never the key itself
 */
void mr_op_key(mr_op_t *op, const char *account, const char *id,
               const char *hash);

/** Which data the reads of a route accept when a request names nothing else.
 */
typedef enum mr_op_freshness {
    MR_OP_FRESHNESS_SESSION, /* at least the session's own writes */
    MR_OP_FRESHNESS_MAX_AGE, /* data of a stated age */
    MR_OP_FRESHNESS_PRESENT, /* the primary's present data */
} mr_op_freshness_t;

/** struct mr_op_route - the name under which callers reach a service */
typedef struct mr_op_route {
    const char *name;
    const char *service;
    bool open;                   /* true: needs no key */
    const char *charged_account; /* open routes only: pays for requests */
    mr_op_freshness_t freshness;
    int64_t max_age_ms;      /* MR_OP_FRESHNESS_MAX_AGE only */
    int64_t deadline_ms;     /* longest time for one request, from 1 */
    int64_t offline_limit_s; /* keyed requests are refused after this time
                                without contact with the platform, from 1 */
} mr_op_route_t;

void mr_op_route(mr_op_t *op, const mr_op_route_t *route);

/** mr_op_allow() - let @account use the keyed route @route. */
void mr_op_allow(mr_op_t *op, const char *route, const char *account);

/* ----------------------------------------------------------------- Result */

/**
 * mr_op_print() - the complete configuration as canonical JSON
 *
 * Sorted keys, no spaces, every list sorted by name: the same parts give the
 * same bytes in whatever order they were added.
 *
 * Return: the text, or NULL when the description has faults.
 */
char *mr_op_print(mr_op_t *op);

/** mr_op_problem_count() - number of faults found so far. */
size_t mr_op_problem_count(const mr_op_t *op);

/** mr_op_problem() - fault @index, naming the field; valid as long as @op. */
const char *mr_op_problem(const mr_op_t *op, size_t index);

/**
 * mr_op_finish() - print the configuration and a newline to @out
 *
 * A faulty description prints nothing to @out and one line a fault to @err.
 *
 * Return: exit status for main(): 0, or 1 when anything failed.
 */
int mr_op_finish(mr_op_t *op, FILE *out, FILE *err);

/* --------------------------------- Changes to a printed configuration */

/** Size of a buffer for one fault. */
enum { MR_OP_PROBLEM_BYTES = 256 };

/**
 * mr_op_read() - the description behind a printed configuration
 * @json, @len: the configuration; it is checked as a whole
 * @problem: receives the fault
 *
 * Return: a description, or NULL with @problem set.
 */
mr_op_t *mr_op_read(const char *json, size_t len,
                    char problem[MR_OP_PROBLEM_BYTES]);

/** mr_op_version() - the description's version. */
int64_t mr_op_version(const mr_op_t *op);

/** mr_op_withdraw_key() - remove the key @id; false if there is none. */
bool mr_op_withdraw_key(mr_op_t *op, const char *id);

/** mr_op_set_leaving() - set the state of @target; false if unknown. */
bool mr_op_set_leaving(mr_op_t *op, const char *target, bool leaving);

/* ---------------------------------------------------------- Callers' keys */

/** Sizes of texts with their NUL byte. */
enum {
    MR_OP_KEY_BYTES = 113,     /* mrk.ID.SECRET */
    MR_OP_KEY_HASH_BYTES = 65, /* BLAKE2b-256 in hex */
};

/**
 * mr_op_key_generate() - a new random key
 * @id: the key's id
 * @key: receives `mrk.ID.SECRET`; nothing else keeps it, so hand it to the
 *       caller and forget it
 * @hash: receives the hash for mr_op_key()
 *
 * Return: false when @id is not valid.
 */
bool mr_op_key_generate(const char *id, char key[MR_OP_KEY_BYTES],
                        char hash[MR_OP_KEY_HASH_BYTES]);

/**
 * mr_op_key_issue() - generate a key and add its hash to @account
 *
 * Return: false when @id is not valid; the fault is collected in @op.
 */
bool mr_op_key_issue(mr_op_t *op, const char *account, const char *id,
                     char key[MR_OP_KEY_BYTES]);

/* ------------------------------------------------ The customer's approval */

/** Sizes of texts with their NUL byte. */
enum {
    MR_OP_HASH_BYTES = 65,             /* of a configuration, hex */
    MR_OP_APPROVER_PUBLIC_BYTES = 65,  /* Ed25519 public key, hex */
    MR_OP_APPROVER_SECRET_BYTES = 129, /* Ed25519 secret key, hex */
    MR_OP_APPROVAL_BYTES = 129,        /* signature, hex */
};

/** mr_op_hash() - hash of a printed configuration without its newline. */
void mr_op_hash(const char *json, size_t len, char hash[MR_OP_HASH_BYTES]);

/**
 * mr_op_approver_create() - a key pair for the customer
 * @public_key: for the daemons' settings
 * @secret_key: stays with the customer
 *
 * Return: false when the system has no random numbers.
 */
bool mr_op_approver_create(char public_key[MR_OP_APPROVER_PUBLIC_BYTES],
                           char secret_key[MR_OP_APPROVER_SECRET_BYTES]);

/**
 * mr_op_approve() - the customer's signature over (@version, @hash)
 *
 * Return: false when an argument is malformed.
 */
bool mr_op_approve(const char *secret_key, int64_t version, const char *hash,
                   char approval[MR_OP_APPROVAL_BYTES]);

/** mr_op_approved() - whether @approval is the customer's for this version. */
bool mr_op_approved(const char *public_key, int64_t version, const char *hash,
                    const char *approval);

/* ------------------------------------------------------------ Differences */

/**
 * mr_op_diff() - what changes between two printed configurations
 * @before: NULL stands for an empty configuration
 * @problem: receives the fault of a configuration that is not valid
 *
 * Return: text for the person who approves, or NULL with @problem set.
 */
char *mr_op_diff(const char *before, size_t before_len, const char *after,
                 size_t after_len, char problem[MR_OP_PROBLEM_BYTES]);

#endif
