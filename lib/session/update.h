#ifndef MR_SESSION_UPDATE_H
#define MR_SESSION_UPDATE_H

/*
 * Transfer of a directory's contents between instances. Reports carry versions
 * and small changes only. Larger contents are announced, and the receiver
 * fetches them as one compressed update, chunk by chunk, with one request
 * outstanding. A sender serves few transfers at a time and keeps few updates,
 * so that neither its link nor its memory depends on the number of instances.
 */

#include "common/counters.h"
#include "session/directory.h"
#include "wire/peer.h"

typedef struct mr_updates mr_updates_t;

typedef struct mr_updates_options {
    mr_counters_t *counters;
    mr_peer_t *peer;
    mr_directory_t *directory;
    /* Called when contents of another instance have been applied. */
    void (*applied)(void *ctx);
    void *ctx;
} mr_updates_options_t;

mr_updates_t *mr_updates_create(const mr_updates_options_t *options);
void mr_updates_destroy(mr_updates_t *updates);

/** mr_updates_fetch() - start to fetch what the instance @name at @address has
 * and the directory lacks. Ignored while a transfer is in progress. */
void mr_updates_fetch(mr_updates_t *updates, const char *address,
                      const char *name);

/** mr_updates_import() - apply the contents of @in that came with a report or
 * its reply. */
void mr_updates_import(mr_updates_t *updates, const mr_msg_directory_t *in,
                       const char *source);

/** mr_updates_accepts_config() - whether this instance may decode a desired
 * state now. False for some time after it has decoded one, so that a series of
 * changes leaves most of the processor to requests; the newest one is applied
 * afterwards. */
bool mr_updates_accepts_config(const mr_updates_t *updates);

#endif
