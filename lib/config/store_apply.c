#include "config/store_internal.h"

#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/mem.h"

/* A staged version is dropped only by a view that is newer by more than a call
 * can take: contact times are early by up to the duration of the call that
 * reported them. */
enum { STAGED_DROP_MARGIN_MS = MR_CONFIG_PEER_TIMEOUT_MS };

void
mr_config_loaded_clear(mr_config_loaded_t *loaded)
{
    mr_config_unref(loaded->config);
    free(loaded->body);
    mr_config_patch_clear(&loaded->patch);
    memset(loaded, 0, sizeof(*loaded));
}

bool
mr_config_loaded_matches(const mr_config_loaded_t *loaded, int64_t version,
                         const char *hash)
{
    return loaded->config != NULL && loaded->head.version == version
           && strcmp(loaded->head.hash, hash) == 0;
}

bool
mr_config_staged_uncertain(const mr_config_store_t *store)
{
    return store->staged_missing_at > store->staged_seen_at;
}

static void
clear_staged(mr_config_store_t *store)
{
    if (store->staged.config != NULL) {
        mr_log(MR_LOG_INFO, MR_EVENT_CONFIG_UNSTAGED, "version=%lld",
               (long long)store->staged.head.version);
        mr_config_loaded_clear(&store->staged);
    }
}

static void
apply(mr_config_store_t *store, mr_config_loaded_t *loaded)
{
    mr_config_loaded_t old = store->current;

    store->current = *loaded;
    if (store->staged.config != NULL
        && store->staged.head.version <= loaded->head.version) {
        mr_config_loaded_clear(&store->staged);
    }
    mr_counter_add(store->counters.applied, 1);
    mr_counter_set(store->counters.version, loaded->head.version);
    mr_log(MR_LOG_INFO, MR_EVENT_CONFIG_APPLIED, "version=%lld hash=%.12s",
           (long long)loaded->head.version, loaded->head.hash);
    mr_members_set_config_version(store->options.members,
                                  loaded->head.version);
    for (guint i = 0; i < store->subscribers->len; i++) {
        mr_config_subscriber_t subscriber =
            g_array_index(store->subscribers, mr_config_subscriber_t, i);
        subscriber.fn(subscriber.ctx, store->current.config);
    }
    mr_config_loaded_clear(&store->previous);
    mr_config_unref(old.config);
    old.config = NULL;
    store->previous = old;
}

/* Validates a body against the row that names it and fills in @loaded. */
static bool
load_body(mr_config_store_t *store, const mr_config_head_t *head,
          mr_bytes_t body, mr_config_loaded_t *loaded)
{
    char hash[MR_CONFIG_HASH_HEX_BYTES];
    mr_json_problem_t problem;

    mr_config_hash(body.data, body.len, hash);
    if (strcmp(hash, head->hash) != 0) {
        store->need_full_body = true;
        mr_config_store_refuse(store, "hash_mismatch", head->version,
                               head->hash);
        return false;
    }
    mr_config_t *config = mr_config_parse(body.data, body.len, &problem);
    if (config == NULL) {
        mr_config_store_refuse(store, "invalid", head->version, head->hash);
        return false;
    }
    if (config->version != head->version
        || strcmp(config->hash, head->hash) != 0) {
        mr_config_unref(config);
        mr_config_store_refuse(store, "version_mismatch", head->version,
                               head->hash);
        return false;
    }
    loaded->head = *head;
    loaded->config = config;
    loaded->body = mr_memdup(body.data, body.len);
    loaded->body_len = body.len;
    store->need_full_body = false;
    return true;
}

static bool
check_approval(mr_config_store_t *store, const mr_config_head_t *head)
{
    if (mr_approval_verify(store->approver_key, head->version, head->hash,
                           head->approval)) {
        return true;
    }
    mr_config_store_refuse(store, "unapproved", head->version, head->hash);
    return false;
}

static void
on_body(void *ctx, mr_error_kind_t error, const void *data, size_t len)
{
    mr_config_body_read_t *read = ctx;
    mr_config_view_t view = read->view;
    const mr_config_head_t *head = read->staged ? &view.staged : &view.head;

    read->active = false;
    if (error == MR_ERR_NOT_FOUND || (error == MR_OK && len == 0)) {
        mr_config_store_refuse(read->store, "missing_body", head->version,
                               head->hash);
        if (read->staged) {
            view.staged_unreadable = true;
            mr_config_store_merge(read->store, &view);
        }
        return;
    }
    if (error != MR_OK) {
        return;
    }
    *(read->staged ? &view.staged_body : &view.body) = (mr_bytes_t){data, len};
    mr_config_store_merge(read->store, &view);
}

/* Reads a body from the object store and merges the view again. Does nothing
 * if a read is in progress, or for a view from a peer, which sends the bodies
 * with its reply. */
static void
read_body(mr_config_store_t *store, const mr_config_view_t *view, bool staged)
{
    mr_config_body_read_t *read = &store->body_read;

    if (read->active || view->source != NULL) {
        return;
    }
    const mr_config_head_t *head = staged ? &view->staged : &view->head;
    char *name = mr_asprintf(MR_CONFIG_OBJECT_PREFIX "%s", head->hash);
    read->active = true;
    read->staged = staged;
    read->view = *view;
    read->view.body = (mr_bytes_t){0};
    read->view.staged_body = (mr_bytes_t){0};
    mr_platform_object_get(store->options.platform, name, on_body, read);
    free(name);
}

/* Applies the head of @view if it is newer; returns whether the applied
 * version is then that of @view, which may be none. */
static bool
merge_head(mr_config_store_t *store, const mr_config_view_t *view)
{
    const mr_config_head_t *head = &view->head;
    const mr_config_head_t *current = &store->current.head;
    mr_config_loaded_t loaded = {0};

    if (!view->has_head) {
        if (current->version > 0 && view->source == NULL) {
            mr_config_store_refuse(store, "missing_head", 0, "");
        }
        return current->version == 0;
    }
    if (head->version == current->version
        && strcmp(head->hash, current->hash) == 0) {
        return true;
    }
    if (head->version <= current->version) {
        mr_config_store_refuse(
            store,
            head->version == current->version ? "other_hash" : "lower_version",
            head->version, head->hash);
        return false;
    }
    if (!check_approval(store, head)) {
        return false;
    }
    if (mr_config_loaded_matches(&store->staged, head->version, head->hash)) {
        loaded = store->staged;
        loaded.head = *head;
        memset(&store->staged, 0, sizeof(store->staged));
    }
    else if (view->body.len == 0) {
        read_body(store, view, false);
        return false;
    }
    else if (!load_body(store, head, view->body, &loaded)) {
        return false;
    }
    apply(store, &loaded);
    return true;
}

static void
stage(mr_config_store_t *store, const mr_config_loaded_t *loaded,
      const mr_config_view_t *view)
{
    clear_staged(store);
    store->staged = *loaded;
    store->staged_seen_at = view->contact_at;
    mr_counter_add(store->counters.staged, 1);
    mr_log(MR_LOG_INFO, MR_EVENT_CONFIG_STAGED, "version=%lld hash=%.12s",
           (long long)loaded->head.version, loaded->head.hash);
}

static void
merge_missing_staged(mr_config_store_t *store, const mr_config_view_t *view)
{
    if (view->contact_at > store->staged_missing_at) {
        store->staged_missing_at = view->contact_at;
    }
    if (store->current.head.version >= store->staged.head.version
        || store->staged_missing_at
               >= store->staged_seen_at + STAGED_DROP_MARGIN_MS) {
        clear_staged(store);
    }
}

/* Stages the staged version of @view if it is newer; returns false if its body
 * is not available yet. */
static bool
merge_staged(mr_config_store_t *store, const mr_config_view_t *view)
{
    const mr_config_head_t *staged = &view->staged;
    mr_config_loaded_t loaded = {0};

    if (view->staged_unreadable) {
        return true;
    }
    if (!view->has_staged || staged->version <= store->current.head.version) {
        merge_missing_staged(store, view);
        return true;
    }
    if (mr_config_loaded_matches(&store->staged, staged->version,
                                 staged->hash)) {
        if (view->contact_at > store->staged_seen_at) {
            store->staged_seen_at = view->contact_at;
        }
        return true;
    }
    if (view->contact_at < store->staged_seen_at
        || view->contact_at < store->staged_missing_at) {
        /* The view is older than the local state. */
        return true;
    }
    if (!check_approval(store, staged)) {
        return true;
    }
    if (view->staged_body.len == 0) {
        read_body(store, view, true);
        return false;
    }
    if (load_body(store, staged, view->staged_body, &loaded)) {
        stage(store, &loaded, view);
    }
    return true;
}

/* The contact time advances only after everything in the view was applied: a
 * known revocation that is not applied yet must not make this instance look up
 * to date. */
bool
mr_config_store_merge(mr_config_store_t *store, const mr_config_view_t *view)
{
    if (!merge_head(store, view) || !merge_staged(store, view)) {
        return false;
    }
    if (view->contact_at > store->contact_at) {
        store->contact_at = view->contact_at;
    }
    if (view->contact_at >= store->resumed_at) {
        store->resumed_at = 0;
    }
    mr_config_store_announce(store);
    return true;
}
