/* masticrelayd, the daemon that runs on every instance. */

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "daemon/daemon.h"

enum { EXIT_USAGE = 64 /* EX_USAGE of sysexits.h */ };

int
main(int argc, char **argv)
{
    mr_settings_t settings;

    if (sodium_init() < 0) {
        fputs("masticrelayd: libsodium cannot be initialised\n", stderr);
        return EXIT_FAILURE;
    }
    if (mr_settings_read(&argc, &argv, &settings) != MR_SETTINGS_VALID) {
        return EXIT_USAGE;
    }
    mr_daemon_t *daemon = mr_daemon_create(&settings);
    if (daemon == NULL) {
        mr_settings_release(&settings);
        return EXIT_FAILURE;
    }
    int status = mr_daemon_run(daemon);
    mr_daemon_destroy(daemon);
    mr_settings_release(&settings);
    return status;
}
