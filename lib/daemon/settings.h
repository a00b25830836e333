#ifndef MR_DAEMON_SETTINGS_H
#define MR_DAEMON_SETTINGS_H

/* Settings of the daemon, from flags and MASTICRELAY_* environment variables.
 * A flag takes precedence over its variable. All settings are checked when the
 * daemon starts. */

#include "common/clock.h"
#include "common/log.h"
#include "common/seal.h"
#include "config/approval.h"

typedef struct mr_settings {
    char *name;
    char *data_centre;
    char *listen;    /* address of the listener for callers */
    char *peer;      /* address of the listener for other instances */
    char *advertise; /* address that other instances use; default: peer */
    char *source;    /* source IP address of outgoing connections; or NULL */
    char *admin;     /* address of the listener for operators */
    char *platform;  /* address of the platform's service */
    uint8_t secret[MR_SEAL_SECRET_BYTES];
    uint8_t approver_key[MR_APPROVAL_PUBLIC_KEY_BYTES];
    char *operator_credential;
    char *tls_certificate; /* of the callers' and operators' listeners; or
                              NULL */
    char *tls_key;
    char *peer_certificate; /* of links between instances; or NULL */
    char *peer_key;
    char *peer_authorities;
    int64_t connections_max; /* from callers */
    mr_log_level_t log_level;
    mr_ms_t drain_limit; /* longest graceful shutdown */
} mr_settings_t;

/** Result of mr_settings_read(). */
typedef enum mr_settings_result {
    MR_SETTINGS_VALID,
    MR_SETTINGS_INVALID, /* a message was printed */
} mr_settings_result_t;

/**
 * mr_settings_read() - read and check all settings
 *
 * Stops at the first invalid setting, with a message on standard error that
 * names it.
 */
mr_settings_result_t mr_settings_read(int *argc, char ***argv,
                                      mr_settings_t *settings);
void mr_settings_release(mr_settings_t *settings);

#endif
