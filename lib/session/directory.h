#ifndef MR_SESSION_DIRECTORY_H
#define MR_SESSION_DIRECTORY_H

/*
 * An instance's copy of the store's contents: the newest desired state and the
 * registrations of the databases. Instances exchange newer versions, so that
 * an instance that cannot reach the store stays up to date. The desired state
 * is sent as a patch where possible, and only registrations that changed are
 * sent. A directory never returns to an older desired state, nor to
 * registrations of an older revision of the store. When the store was restored
 * from an older copy, a database keeps its newer registration, or stays
 * removed, until it registers again.
 */

#include "common/clock.h"
#include "common/counters.h"
#include "placement/evacuation.h"
#include "session/catalog.h"
#include "session/cluster.h"
#include "session/confirmation.h"
#include "session/store.h"
#include "wire/msg.h"

typedef struct mr_directory mr_directory_t;

typedef struct mr_directory_options {
    mr_clusters_t *clusters;
    mr_counters_t *counters;
    mr_evacuations_t *evacuations; /* NULL: not followed */
    const mr_clock_t *clock;       /* NULL: the system's */
    /* Called with each newer desired state, which is borrowed, once the
     * evacuations are known as well. */
    void (*on_catalog)(void *ctx, mr_catalog_t *catalog);
    void *ctx;
} mr_directory_options_t;

mr_directory_t *mr_directory_create(const mr_directory_options_t *options);
void mr_directory_destroy(mr_directory_t *directory);

/** mr_directory_set_config() - apply a desired state, in the store's encoding,
 * if it is newer; @source is "store" or the name of an instance. Returns false
 * if it is malformed. */
bool mr_directory_set_config(mr_directory_t *directory, const void *data,
                             size_t len, const char *source);

/** mr_directory_set_registrations() - apply the complete registrations, read
 * at @revision of the store, if they are newer. */
void mr_directory_set_registrations(mr_directory_t *directory,
                                    mr_revision_t revision,
                                    const mr_store_row_t *rows, size_t count);

/** mr_directory_set_evacuations() - apply the evacuations in @rows, a reading
 * of the table of the desired state: the rows changed after @after, or all of
 * them if its version is 0. Returns false if all rows have to be read. */
bool mr_directory_set_evacuations(mr_directory_t *directory,
                                  mr_revision_t after, mr_revision_t revision,
                                  const mr_store_row_t *rows, size_t count);

/** mr_directory_note_store_failure() - the store did not answer a call. */
void mr_directory_note_store_failure(mr_directory_t *directory);

/** mr_directory_lacks_evacuations() - whether the held evacuations are older
 * than the newest confirmation, so that its changes cannot be applied. */
bool mr_directory_lacks_evacuations(const mr_directory_t *directory);

/** mr_directory_confirm_config() - the store had no newer desired state and no
 * newer evacuations than the directory's at @revision, at the time @at or
 * later. */
void mr_directory_confirm_config(mr_directory_t *directory,
                                 mr_revision_t revision, mr_ms_t at);

/** mr_directory_import_confirmation() - use the confirmation in @in, a message
 * that was sent at @sent_at or later. */
void mr_directory_import_confirmation(mr_directory_t *directory,
                                      const mr_msg_directory_t *in,
                                      mr_ms_t sent_at);

/** mr_directory_confirmation() - the newest confirmation of the desired state.
 */
const mr_confirmation_t *
mr_directory_confirmation(const mr_directory_t *directory);

/** mr_directory_complete() - whether the desired state, the evacuations and
 * the registrations are known. */
bool mr_directory_complete(const mr_directory_t *directory);
bool mr_directory_has_registrations(const mr_directory_t *directory);
/** mr_directory_registrations_at() - when registrations of a newer revision of
 * the store were last read or received; 0: never. */
mr_ms_t mr_directory_registrations_at(const mr_directory_t *directory);
int64_t mr_directory_config_version(const mr_directory_t *directory);

/** mr_directory_export() - describe the versions, and the contents that are
 * newer than @known; NULL: only the versions. The desired state and the
 * registrations are each left out if they take more than @max_bytes. Contents
 * are borrowed until the next call. */
void mr_directory_export(mr_directory_t *directory,
                         const mr_msg_directory_t *known, size_t max_bytes,
                         mr_msg_directory_t *out);

/** mr_directory_has_contents() - whether @exported has more than versions. */
bool mr_directory_has_contents(const mr_msg_directory_t *exported);

/** mr_directory_content_bytes() - bytes that the contents of @exported take in
 * a message. */
size_t mr_directory_content_bytes(const mr_msg_directory_t *exported);

/** mr_directory_leaves_out() - whether contents newer than @known are missing
 * in @exported because of its limit. */
bool mr_directory_leaves_out(const mr_msg_directory_t *exported,
                             const mr_msg_directory_t *known);

/** mr_directory_lacks() - whether @exported describes newer contents than the
 * directory has. */
bool mr_directory_lacks(mr_directory_t *directory,
                        const mr_msg_directory_t *exported);

/** mr_directory_import() - apply the contents of @in that are newer. */
void mr_directory_import(mr_directory_t *directory,
                         const mr_msg_directory_t *in, const char *source);

#endif
