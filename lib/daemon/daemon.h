#ifndef MR_DAEMON_DAEMON_H
#define MR_DAEMON_DAEMON_H

/* The HTTP daemon: creates its modules in order, runs the event loop, and
 * shuts down gracefully on SIGTERM or SIGINT. */

#include "daemon/settings.h"

typedef struct mr_daemon mr_daemon_t;

/** mr_daemon_create() - set up the process; mr_daemon_run() starts the
 * modules. Return: NULL after a message on standard error when a TLS file
 * cannot be used. */
mr_daemon_t *mr_daemon_create(const mr_settings_t *settings);
void mr_daemon_destroy(mr_daemon_t *daemon);

/** mr_daemon_run() - start the modules and serve until the daemon is stopped
 * or a module fails for good. Return: the exit status. */
int mr_daemon_run(mr_daemon_t *daemon);

#endif
