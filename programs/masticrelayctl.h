#ifndef PROGRAMS_MASTICRELAYCTL_H
#define PROGRAMS_MASTICRELAYCTL_H

/*
 * Declarations shared by the source files of masticrelayctl. The helpers below
 * that call the platform or a daemon start one call and run the event loop
 * until it completes.
 */

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>
#include <jansson.h>

#include "common/counters.h"
#include "common/error.h"
#include "config/approval.h"
#include "config/model.h"
#include "platform/platform.h"

/** Exit statuses; docs/masticrelayctl.1 describes them. */
typedef enum ctl_status {
    CTL_DONE = 0,
    CTL_FAILED = 1,
    CTL_USAGE = 2,
    CTL_CONFLICT = 3,
    CTL_NOT_FOUND = 4,
    CTL_UNAVAILABLE = 5,
} ctl_status_t;

/** Settings; those that are not set are NULL or 0. */
typedef struct ctl_settings {
    char *platform_address;
    char **admin_addresses;
    char *admin_authorities; /* PEM file; NULL: no TLS to admin listeners */
    char *credential;
    char *approver_key;        /* file holding the customer's secret key */
    char *approver_public_key; /* hex */
    char *operator_name;
    gint64 timeout_ms;
    gboolean json;
} ctl_settings_t;

/** State of one invocation. */
typedef struct ctl {
    ctl_settings_t settings;
    ctl_settings_t parsed; /* options of the current parse */
    struct event_base *base;
    mr_counters_t *counters;
    mr_platform_t *platform; /* NULL until ctl_open_platform() */
    struct ssl_ctx_st *tls; /* to admin listeners; NULL until ctl_tls_open() */
} ctl_t;

/** struct ctl_command - an entry of the command table */
typedef struct ctl_command {
    const char *name; /* one or two words */
    const char *arguments;
    const char *summary;
    int min_arguments;
    int max_arguments;
    ctl_status_t (*run)(ctl_t *ctl, const struct ctl_command *command,
                        int argc, char **argv);
} ctl_command_t;

/** Parameter list of ctl_command_t.run. */
#define CTL_PARAMETERS                                                        \
    ctl_t *ctl, const ctl_command_t *command, int argc, char **argv

/* masticrelayctl_file.c */
ctl_status_t ctl_check(CTL_PARAMETERS);
ctl_status_t ctl_diff(CTL_PARAMETERS);
void ctl_print_diff(const ctl_t *ctl, const mr_config_t *before,
                    const mr_config_t *after);
/* masticrelayctl_edit.c */
ctl_status_t ctl_key_issue(CTL_PARAMETERS);
ctl_status_t ctl_key_withdraw(CTL_PARAMETERS);
ctl_status_t ctl_target_leave(CTL_PARAMETERS);
/* masticrelayctl_propose.c */
ctl_status_t ctl_propose(CTL_PARAMETERS);
/** ctl_next_version() - reads the lowest version that can be proposed. */
ctl_status_t ctl_next_version(ctl_t *ctl, int64_t *version);
/** ctl_propose_text() - proposes the configuration @text, JSON, without
 * printing the result. */
ctl_status_t ctl_propose_text(ctl_t *ctl, const char *text);
/* masticrelayctl_change.c */
ctl_status_t ctl_approve(CTL_PARAMETERS);
ctl_status_t ctl_veto(CTL_PARAMETERS);
ctl_status_t ctl_accept(CTL_PARAMETERS);
/* masticrelayctl_approver.c */
ctl_status_t ctl_approver_create(CTL_PARAMETERS);
/** ctl_read_approver_key() - reads the secret key of --approver-key. */
ctl_status_t
ctl_read_approver_key(const ctl_t *ctl,
                      uint8_t secret_key[MR_APPROVAL_SECRET_KEY_BYTES]);
/** ctl_read_public_key() - reads the key of --approver-public-key; without
 * that option, derives it from --approver-key. */
ctl_status_t
ctl_read_public_key(const ctl_t *ctl,
                    uint8_t public_key[MR_APPROVAL_PUBLIC_KEY_BYTES]);
/* masticrelayctl_status.c */
ctl_status_t ctl_show_status(CTL_PARAMETERS);
ctl_status_t ctl_show_groups(CTL_PARAMETERS);
ctl_status_t ctl_show_accounts(CTL_PARAMETERS);
ctl_status_t ctl_show_instances(CTL_PARAMETERS);
/* masticrelayctl_audit.c */
ctl_status_t ctl_show_audit(CTL_PARAMETERS);
/* masticrelayctl_explain.c */
ctl_status_t ctl_explain(CTL_PARAMETERS);

/* -------------------------------------- masticrelayctl_options.c: settings */

/** ctl_common_options() - returns the options of every command, which parse
 * into @ctl->parsed. */
GOptionGroup *ctl_common_options(ctl_t *ctl);

/** ctl_apply_parsed() - overrides settings by the options in @ctl->parsed. */
void ctl_apply_parsed(ctl_t *ctl);

/**
 * ctl_parse_options() - parses a command's options and checks the number of
 * its arguments
 * @entries: options specific to this command; NULL: none
 * @argc, @argv: in: the command's name, options and arguments; out: the
 *               arguments only
 *
 * Return: false after printing an error; the command then exits with
 * CTL_USAGE.
 */
bool ctl_parse_options(ctl_t *ctl, const ctl_command_t *command,
                       const GOptionEntry *entries, int *argc, char ***argv);

/** ctl_read_environment() - initializes the settings from MASTICRELAY_*
 * environment variables. */
void ctl_read_environment(ctl_t *ctl);
void ctl_settings_release(ctl_settings_t *settings);

/* ----------------------------------------- masticrelayctl_output.c: output */

/** ctl_error_status() - returns the exit status for @error. */
ctl_status_t ctl_error_status(mr_error_kind_t error);

/** ctl_fail() - prints an error to standard error and returns @status. */
ctl_status_t ctl_fail(const ctl_t *ctl, ctl_status_t status, const char *fmt,
                      ...) __attribute__((format(printf, 3, 4)));

/** ctl_print_json() - prints @value as one line. */
void ctl_print_json(const json_t *value);

/** struct ctl_column - a table column */
typedef struct ctl_column {
    const char *title;
    const char *field; /* key of its values in the rows */
} ctl_column_t;

/** ctl_print_table() - prints @rows, an array of JSON objects; missing and
 * null fields are shown as "-". */
void ctl_print_table(const json_t *rows, const ctl_column_t *columns,
                     size_t count);

/** ctl_print_text() - prints @text; control characters except newlines are
 * replaced by '?'. */
void ctl_print_text(const char *text);

/* ------------------------------ masticrelayctl_files.c: files and versions */

/** ctl_read_file() - reads @path ("-": standard input). Returns the content,
 * to be freed with g_free(), or NULL after printing an error. */
char *ctl_read_file(const ctl_t *ctl, const char *path, size_t *len);

/** ctl_write_file() - replaces @path atomically; returns false after printing
 * an error. */
bool ctl_write_file(const ctl_t *ctl, const char *path, const char *text,
                    int mode);

/**
 * ctl_load_config() - reads and validates a configuration
 * @source: path, "-", "head", "staged", "empty", "@VERSION" or a hash
 * @config: receives a reference; NULL for "empty" and after a failure
 */
ctl_status_t ctl_load_config(ctl_t *ctl, const char *source,
                             mr_config_t **config);

/* ------------------------------ masticrelayctl_fetch.c: platform and admin */

/** ctl_open_platform() - returns the platform client, which the first call
 * creates, or NULL after printing an error. */
mr_platform_t *ctl_open_platform(ctl_t *ctl);

/** ctl_run_until() - runs the event loop until a callback sets @done. */
void ctl_run_until(ctl_t *ctl, const bool *done);

/* Reads from the platform; on MR_OK the result is a new reference, or data
 * that the caller frees with free(). They need ctl_open_platform() first. */
mr_error_kind_t ctl_get_row(ctl_t *ctl, const char *row, json_t **value);
mr_error_kind_t ctl_list_rows(ctl_t *ctl, const char *prefix, json_t **rows);
mr_error_kind_t ctl_list_objects(ctl_t *ctl, const char *prefix,
                                 json_t **names);
mr_error_kind_t ctl_list_instances(ctl_t *ctl, json_t **instances);
mr_error_kind_t ctl_get_object(ctl_t *ctl, const char *name, char **data,
                               size_t *len);

/* masticrelayctl_tls.c */

/** ctl_tls_open() - sets up TLS with the certificates of --admin-authorities;
 * without that option it does nothing. */
ctl_status_t ctl_tls_open(ctl_t *ctl);

/** ctl_tls_connection() - returns a bufferevent for a TLS connection to @ip;
 * NULL on failure. */
struct bufferevent *ctl_tls_connection(const ctl_t *ctl, const char *ip);
void ctl_tls_close(ctl_t *ctl);

/**
 * ctl_admin_status() - requests /status from all --admin addresses in parallel
 * @answers: receives a new array of {"address":ADDRESS, "status":OBJECT} or
 *           {"address":ADDRESS, "error":TEXT}
 */
ctl_status_t ctl_admin_status(ctl_t *ctl, json_t **answers);

#endif
