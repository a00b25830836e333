#ifndef MR_DAEMON_SETTINGS_H
#define MR_DAEMON_SETTINGS_H

/* Settings of the daemon, from flags and MASTICRELAY_* environment variables;
 * a flag goes before its variable. Checked as a whole at start. */

#include "common/clock.h"
#include "common/log.h"
#include "common/seal.h"
#include "config/approval.h"

typedef struct mr_settings {
    char *name;
    char *data_centre;
    char *listen;    /* callers */
    char *peer;      /* other instances */
    char *advertise; /* address that other instances use; default: peer */
    char *source;    /* IP number of outgoing connections; or NULL */
    char *admin;     /* operators */
    char *platform;  /* address of the platform's service */
    uint8_t secret[MR_SEAL_SECRET_BYTES];
    uint8_t approver_key[MR_APPROVAL_PUBLIC_KEY_BYTES];
    char *operator_credential;
    char *tls_certificate; /* of callers' and operators' listeners; or NULL */
    char *tls_key;
    char *peer_certificate; /* of links between instances; or NULL */
    char *peer_key;
    char *peer_authorities;
    int64_t connections_max; /* of callers */
    mr_log_level_t log_level;
    mr_ms_t drain_limit; /* longest graceful stop */
} mr_settings_t;

/** What mr_settings_read() found. */
typedef enum mr_settings_result {
    MR_SETTINGS_GOOD,
    MR_SETTINGS_BAD, /* a message was printed */
} mr_settings_result_t;

/**
 * mr_settings_read() - read and check all settings
 *
 * Every problem gives a message on standard error that names the setting.
 */
mr_settings_result_t mr_settings_read(int *argc, char ***argv,
                                      mr_settings_t *settings);
void mr_settings_release(mr_settings_t *settings);

#endif
