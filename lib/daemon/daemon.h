#ifndef MR_DAEMON_DAEMON_H
#define MR_DAEMON_DAEMON_H

/* The whole daemon: builds all modules in order, runs the loop, and stops
 * gracefully on SIGTERM or SIGINT. */

#include "daemon/settings.h"

typedef struct mr_daemon mr_daemon_t;

/** mr_daemon_create() - build and open the listeners; NULL after a message on
 * standard error when that fails. */
mr_daemon_t *mr_daemon_create(const mr_settings_t *settings);
void mr_daemon_destroy(mr_daemon_t *daemon);

/** mr_daemon_run() - serve until stopped. Return: the exit status. */
int mr_daemon_run(mr_daemon_t *daemon);

#endif
