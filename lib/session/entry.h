#ifndef MR_SESSION_ENTRY_H
#define MR_SESSION_ENTRY_H

/* What a database says of itself in its registration. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Borrowed fields of one registration. */
typedef struct mr_db_entry {
    const char *service;
    const char *address; /* "IP:port" */
    const char *data_centre;
    int64_t born;  /* start of its process, ms since 1970; 0: not told */
    int64_t slots; /* statements that it runs at once */
    bool draining;
    bool primary; /* as it sees itself */
} mr_db_entry_t;

typedef struct mr_db_entry_doc mr_db_entry_doc_t;

/** mr_db_entry_decode() - read a registration; in platform/registration.c.
 * NULL when it is malformed. The fields live as long as the document. */
mr_db_entry_doc_t *mr_db_entry_decode(const void *data, size_t len,
                                      mr_db_entry_t *entry);
void mr_db_entry_release(mr_db_entry_doc_t *doc);

#endif
