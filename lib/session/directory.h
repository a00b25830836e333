#ifndef MR_SESSION_DIRECTORY_H
#define MR_SESSION_DIRECTORY_H

/*
 * What an instance knows from the store: the newest desired state and the
 * registrations of the databases. Instances compare and exchange what they
 * know, so that one that the store does not serve stays up to date: the
 * desired state as a patch where possible, of the registrations those that
 * changed. A directory never goes back to an older version.
 */

#include "common/counters.h"
#include "session/catalog.h"
#include "session/cluster.h"
#include "session/store.h"
#include "wire/msg.h"

typedef struct mr_directory mr_directory_t;

typedef struct mr_directory_options {
    mr_clusters_t *clusters;
    mr_counters_t *counters;
    /* A newer desired state was found; it is borrowed. */
    void (*on_catalog)(void *ctx, mr_catalog_t *catalog);
    void *ctx;
} mr_directory_options_t;

mr_directory_t *mr_directory_create(const mr_directory_options_t *options);
void mr_directory_destroy(mr_directory_t *directory);

/** mr_directory_set_config() - a desired state as the store holds it; @source
 * is "store" or an instance's name. */
void mr_directory_set_config(mr_directory_t *directory, const void *data,
                             size_t len, const char *source);

/** mr_directory_set_registrations() - all rows, read at store version
 * @version. */
void mr_directory_set_registrations(mr_directory_t *directory, int64_t version,
                                    const mr_store_row_t *rows, size_t count);

/** mr_directory_complete() - whether desired state and registrations are
 * known. */
bool mr_directory_complete(const mr_directory_t *directory);
bool mr_directory_has_registrations(const mr_directory_t *directory);
int64_t mr_directory_config_version(const mr_directory_t *directory);

/** mr_directory_export() - versions, and what is newer than in @known; NULL:
 * the versions only. Bodies are borrowed until the next call. */
void mr_directory_export(mr_directory_t *directory,
                         const mr_msg_directory_t *known,
                         mr_msg_directory_t *out);

/** mr_directory_import() - take over what is newer in @in. */
void mr_directory_import(mr_directory_t *directory,
                         const mr_msg_directory_t *in, const char *source);

#endif
