#ifndef MR_SESSION_SESSIOND_H
#define MR_SESSION_SESSIOND_H

/* The daemon that relays sessions: settings, modules and their life. */

#include <glib.h>
#include <stdbool.h>

#include "common/clock.h"
#include "common/log.h"

/** Settings from flags and MASTICRELAY_* variables; see --help. */
typedef struct mr_sessiond_settings {
    char *name;
    char *data_centre;
    char *listen; /* clients */
    char *ready;  /* readiness probes and counters */
    char *peer;   /* other instances */
    char *store;
    char *duty;    /* promotion orders */
    mr_ms_t grace; /* from the stop signal to the kill */
    mr_log_level_t log_level;
    gboolean check; /* only check the settings */
} mr_sessiond_settings_t;

/** mr_sessiond_settings_read() - false when a setting is missing or bad; a
 * message on standard error names it. */
bool mr_sessiond_settings_read(int *argc, char ***argv,
                               mr_sessiond_settings_t *settings);
void mr_sessiond_settings_release(mr_sessiond_settings_t *settings);

typedef struct mr_sessiond mr_sessiond_t;

/** mr_sessiond_create() - NULL when an address cannot be listened on. */
mr_sessiond_t *mr_sessiond_create(const mr_sessiond_settings_t *settings);
void mr_sessiond_destroy(mr_sessiond_t *daemon);

/** mr_sessiond_run() - until a stop signal; returns the exit status. */
int mr_sessiond_run(mr_sessiond_t *daemon);

#endif
