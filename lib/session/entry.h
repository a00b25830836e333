#ifndef MR_SESSION_ENTRY_H
#define MR_SESSION_ENTRY_H

/* Contents of a database's registration. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Fields of one registration, borrowed from its document. */
typedef struct mr_db_entry {
    const char *service;
    const char *address; /* "IP:port" */
    const char *data_centre;
    int64_t
        started_at; /* start of its process, Unix time in ms; 0: not given */
    int64_t report_number; /* rises with each report of its process */
    int64_t slots;         /* statements that it runs at the same time */
    /* How long it will still be cold, counted from the registration, ms. */
    int64_t cold_left;
    bool draining;
    bool primary; /* it considers itself the primary */
} mr_db_entry_t;

typedef struct mr_db_entry_doc mr_db_entry_doc_t;

/** mr_db_entry_decode() - decode a registration; NULL if it is malformed. The
 * fields are valid until the document is released. Implemented in
 * platform/registration.c. */
mr_db_entry_doc_t *mr_db_entry_decode(const void *data, size_t len,
                                      mr_db_entry_t *entry);
void mr_db_entry_release(mr_db_entry_doc_t *doc);

/** mr_db_entry_is_word() - whether @text is not empty and has no blank or
 * control character, so that it can be a field of a message. */
bool mr_db_entry_is_word(const char *text);

#endif
