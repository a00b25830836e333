/* masticrelaysd, the daemon that relays sessions of the line protocol. */

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "session/sessiond.h"

enum { EXIT_USAGE = 64 /* EX_USAGE of sysexits.h */ };

int
main(int argc, char **argv)
{
    mr_sessiond_settings_t settings;

    if (sodium_init() < 0) {
        fputs("masticrelaysd: libsodium cannot be initialised\n", stderr);
        return EXIT_FAILURE;
    }
    if (!mr_sessiond_settings_read(&argc, &argv, &settings)) {
        return EXIT_USAGE;
    }
    if (settings.check) {
        puts("masticrelaysd: the settings are valid");
        mr_sessiond_settings_release(&settings);
        return EXIT_SUCCESS;
    }
    mr_sessiond_t *daemon = mr_sessiond_create(&settings);
    int status = EXIT_FAILURE;
    if (daemon != NULL) {
        status = mr_sessiond_run(daemon);
        mr_sessiond_destroy(daemon);
    }
    mr_sessiond_settings_release(&settings);
    return status;
}
