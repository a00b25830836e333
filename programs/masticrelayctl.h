#ifndef PROGRAMS_MASTICRELAYCTL_H
#define PROGRAMS_MASTICRELAYCTL_H

/*
 * What the files of the control program share. A command runs on an event
 * loop; the helpers below start one call and run the loop until it ends.
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

/** Settings; absent ones are NULL or 0. */
typedef struct ctl_settings {
    char *platform_address;
    char **admins;
    char *admin_authorities; /* file; NULL: no TLS to admin listeners */
    char *credential;
    char *approver_key;        /* file with the customer's secret key */
    char *approver_public_key; /* hex */
    char *operator_name;
    gint64 timeout_ms;
    gboolean json;
} ctl_settings_t;

/** Settings and connections of one run. */
typedef struct ctl {
    ctl_settings_t set;
    ctl_settings_t given; /* by the flags that are being read */
    struct event_base *base;
    mr_counters_t *counters;
    mr_platform_t *platform; /* NULL until ctl_platform() */
    struct ssl_ctx_st *tls;  /* to admin listeners; NULL until it is needed */
} ctl_t;

/** struct ctl_command - one row of the table of commands */
typedef struct ctl_command {
    const char *name; /* one or two words */
    const char *arguments;
    const char *summary;
    int min_arguments;
    int max_arguments;
    ctl_status_t (*run)(ctl_t *ctl, const struct ctl_command *command,
                        int argc, char **argv);
} ctl_command_t;

/** Parameters of every command's function. */
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
/** ctl_next_version() - the lowest version that can be proposed. */
ctl_status_t ctl_next_version(ctl_t *ctl, int64_t *version);
/** ctl_stage() - propose the configuration @text; see propose. */
ctl_status_t ctl_stage(ctl_t *ctl, const char *text);
/* masticrelayctl_change.c */
ctl_status_t ctl_approve(CTL_PARAMETERS);
ctl_status_t ctl_veto(CTL_PARAMETERS);
ctl_status_t ctl_accept(CTL_PARAMETERS);
/* masticrelayctl_approver.c */
ctl_status_t ctl_approver_create(CTL_PARAMETERS);
/** ctl_read_approver_key() - the secret key of --approver-key. */
ctl_status_t
ctl_read_approver_key(const ctl_t *ctl,
                      uint8_t secret_key[MR_APPROVAL_SECRET_KEY_BYTES]);
/** ctl_read_public_key() - the key of --approver-public-key, or the public
 * half of --approver-key. */
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

/* --------------------------------------- masticrelayctl_options.c: settings
 */

/** ctl_common_options() - options that every command has; they are read into
 * @ctl->given. */
GOptionGroup *ctl_common_options(ctl_t *ctl);

/** ctl_take_given() - let the flags that were read replace settings. */
void ctl_take_given(ctl_t *ctl);

/**
 * ctl_parse() - read the options and count the arguments of a command
 * @entries: options of this command only; NULL for none
 * @argc, @argv: in: with the command's name first; out: the arguments only
 *
 * Return: false after a message; the command ends with CTL_USAGE.
 */
bool ctl_parse(ctl_t *ctl, const ctl_command_t *command,
               const GOptionEntry *entries, int *argc, char ***argv);

/** ctl_defaults() - settings from MASTICRELAY_* environment variables. */
void ctl_defaults(ctl_t *ctl);
void ctl_settings_release(ctl_settings_t *settings);

/* ----------------------------------------- masticrelayctl_output.c: output */

/** ctl_error_status() - exit status for @error. */
ctl_status_t ctl_error_status(mr_error_kind_t error);

/** ctl_fail() - print a message to standard error; returns @status. */
ctl_status_t ctl_fail(const ctl_t *ctl, ctl_status_t status, const char *fmt,
                      ...) __attribute__((format(printf, 3, 4)));

/** ctl_print_json() - print @value as one line. */
void ctl_print_json(const json_t *value);

/** struct ctl_column - a column of a table */
typedef struct ctl_column {
    const char *title;
    const char *field; /* of each row */
} ctl_column_t;

/** ctl_print_table() - print @rows; absent and null fields show as "-". */
void ctl_print_table(const json_t *rows, const ctl_column_t *columns,
                     size_t count);

/** ctl_print_text() - print @text, control characters but newline replaced. */
void ctl_print_text(const char *text);

/* ------------------------------- masticrelayctl_files.c: files and versions
 */

/** ctl_read_file() - content of @path ("-": standard input); NULL after a
 * message. Freed with g_free(). */
char *ctl_read_file(const ctl_t *ctl, const char *path, size_t *len);

/** ctl_write_file() - replace @path in one step; false after a message. */
bool ctl_write_file(const ctl_t *ctl, const char *path, const char *text,
                    int mode);

/**
 * ctl_load() - read and check a configuration
 * @which: path, "-", "head", "staged", "empty", "@VERSION" or a hash
 * @config: receives a reference; NULL for "empty"
 */
ctl_status_t ctl_load(ctl_t *ctl, const char *which, mr_config_t **config);

/* ----------------------------- masticrelayctl_fetch.c: platform and admin */

/** ctl_platform() - the platform client; NULL after a message. */
mr_platform_t *ctl_platform(ctl_t *ctl);

/** ctl_run_until() - run the event loop until @done. */
void ctl_run_until(ctl_t *ctl, const bool *done);

/** Reads through the platform client; new references on MR_OK. */
mr_error_kind_t ctl_row(ctl_t *ctl, const char *row, json_t **value);
mr_error_kind_t ctl_rows(ctl_t *ctl, const char *prefix, json_t **rows);
mr_error_kind_t ctl_objects(ctl_t *ctl, const char *prefix, json_t **names);
mr_error_kind_t ctl_instances(ctl_t *ctl, json_t **instances);
mr_error_kind_t ctl_object(ctl_t *ctl, const char *name, char **data,
                           size_t *len);

/* masticrelayctl_tls.c */

/** ctl_tls_open() - read the file of --admin-authorities, if there is one. */
ctl_status_t ctl_tls_open(ctl_t *ctl);

/** ctl_tls_connection() - a bufferevent for a connection to @ip. */
struct bufferevent *ctl_tls_connection(const ctl_t *ctl, const char *ip);
void ctl_tls_close(ctl_t *ctl);

/**
 * ctl_admin_status() - GET /status of every --admin address, at the same time
 *
 * @answers: receives a new array of {"address", and "status" or "error"}
 */
ctl_status_t ctl_admin_status(ctl_t *ctl, json_t **answers);

#endif
