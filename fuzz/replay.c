/* Runs a fuzz target on each file given as an argument, for builds without
 * libFuzzer. */

#include <glib.h>
#include <stdio.h>

#include "fuzz.h"

int
main(int argc, char **argv)
{
    for (int i = 1; i < argc; i++) {
        char *data;
        gsize len;

        if (!g_file_get_contents(argv[i], &data, &len, NULL)) {
            fprintf(stderr, "%s: cannot read\n", argv[i]);
            return 1;
        }
        LLVMFuzzerTestOneInput((const uint8_t *)data, len);
        g_free(data);
    }
    printf("%d inputs replayed\n", argc - 1);
    return 0;
}
