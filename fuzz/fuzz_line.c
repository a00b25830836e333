/* Fuzz target for the parsers of the session daemon's input: messages and
 * statements of the session protocol, and status rows, desired states and
 * registrations from the store. */

#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "fuzz.h"
#include "session/catalog.h"
#include "session/entry.h"
#include "session/line.h"

static void
read_lines(const uint8_t *data, size_t len)
{
    struct evbuffer *in = evbuffer_new();
    mr_line_result_t result = MR_LINE_VALID;

    evbuffer_add(in, data, len);
    while (result == MR_LINE_VALID || result == MR_LINE_MALFORMED) {
        mr_line_t line;
        result = mr_line_read(in, &line, NULL);
        if (result == MR_LINE_VALID && line.kind == MR_LINE_QUERY) {
            mr_command_t command;
            mr_command_parse(line.u.query.statement, &command);
        }
        mr_line_release(&line);
    }
    evbuffer_free(in);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
    char *text = mr_memdup(data, len);
    mr_db_status_t status;
    mr_db_entry_t entry;
    const char *problem;

    read_lines(data, len);
    mr_db_status_parse(text, &status);
    mr_db_entry_release(mr_db_entry_decode(data, len, &entry));
    mr_catalog_t *catalog = mr_catalog_decode(data, len, NULL, &problem);
    if (catalog == NULL && problem == NULL) {
        abort();
    }
    if (catalog != NULL) {
        mr_catalog_unref(mr_catalog_decode(data, len, catalog, &problem));
        if (problem != NULL) {
            abort();
        }
    }
    mr_catalog_unref(catalog);
    free(text);
    return 0;
}
