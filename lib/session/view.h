#ifndef MR_SESSION_VIEW_H
#define MR_SESSION_VIEW_H

/*
 * What an instance knows from the store: the newest desired state and the
 * registrations of the databases. Instances compare and exchange their views,
 * so that one that the store does not serve stays up to date. A view never
 * goes back to an older version.
 */

#include "common/counters.h"
#include "session/catalog.h"
#include "session/cluster.h"
#include "session/store.h"
#include "wire/msg.h"

typedef struct mr_view mr_view_t;

typedef struct mr_view_options {
    mr_clusters_t *clusters;
    mr_counters_t *counters;
    /* A newer desired state was found; it is borrowed. */
    void (*on_catalog)(void *ctx, mr_catalog_t *catalog);
    void *ctx;
} mr_view_options_t;

mr_view_t *mr_view_create(const mr_view_options_t *options);
void mr_view_destroy(mr_view_t *view);

/** mr_view_set_config() - a desired state as the store holds it; @source is
 * "store" or an instance's name. */
void mr_view_set_config(mr_view_t *view, const void *data, size_t len,
                        const char *source);

/** mr_view_set_registrations() - all rows, read at store version @version. */
void mr_view_set_registrations(mr_view_t *view, int64_t version,
                               const mr_store_row_t *rows, size_t count);

/** mr_view_complete() - whether desired state and registrations are known. */
bool mr_view_complete(const mr_view_t *view);
int64_t mr_view_config_version(const mr_view_t *view);

/** mr_view_export() - versions, and what is newer than in @known; NULL: the
 * versions only. Bodies are borrowed until the view changes. */
void mr_view_export(const mr_view_t *view, const mr_msg_view_t *known,
                    mr_msg_view_t *out);

/** mr_view_import() - take over what is newer in @in. */
void mr_view_import(mr_view_t *view, const mr_msg_view_t *in,
                    const char *source);

#endif
