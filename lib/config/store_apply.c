#include "config/store_internal.h"

#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/mem.h"

/* A staged version is forgotten only on news that is newer by more than a call
 * can last: times of contact are early by up to the call that reported them.
 */
enum { STAGED_DROP_MARGIN_MS = MR_CONFIG_PEER_TIMEOUT_MS };

void
mr_config_held_clear(mr_config_held_t *held)
{
    mr_config_unref(held->config);
    free(held->body);
    mr_config_patch_clear(&held->patch);
    memset(held, 0, sizeof(*held));
}

bool
mr_config_held_is(const mr_config_held_t *held, int64_t version,
                  const char *hash)
{
    return held->config != NULL && held->head.version == version
           && strcmp(held->head.hash, hash) == 0;
}

bool
mr_config_staged_doubtful(const mr_config_store_t *store)
{
    return store->absent_as_of > store->staged_as_of;
}

static void
clear_staged(mr_config_store_t *store)
{
    if (store->staged.config != NULL) {
        mr_log(MR_LOG_INFO, MR_EVENT_CONFIG_UNSTAGED, "version=%lld",
               (long long)store->staged.head.version);
        mr_config_held_clear(&store->staged);
    }
}

static void
apply(mr_config_store_t *store, mr_config_held_t *held)
{
    mr_config_held_t old = store->current;

    store->current = *held;
    if (store->staged.config != NULL
        && store->staged.head.version <= held->head.version) {
        mr_config_held_clear(&store->staged);
    }
    mr_counter_add(store->counters.applied, 1);
    mr_counter_set(store->counters.version, held->head.version);
    mr_log(MR_LOG_INFO, MR_EVENT_CONFIG_APPLIED, "version=%lld hash=%.12s",
           (long long)held->head.version, held->head.hash);
    mr_members_set_config_version(store->options.members, held->head.version);
    for (guint i = 0; i < store->subscribers->len; i++) {
        mr_config_subscriber_t subscriber =
            g_array_index(store->subscribers, mr_config_subscriber_t, i);
        subscriber.fn(subscriber.ctx, store->current.config);
    }
    mr_config_held_clear(&store->previous);
    mr_config_unref(old.config);
    old.config = NULL;
    store->previous = old;
}

/* Checks a body against the row that names it. */
static bool
build(mr_config_store_t *store, const mr_config_head_t *head, mr_bytes_t body,
      mr_config_held_t *held)
{
    char hash[MR_CONFIG_HASH_HEX_BYTES];
    mr_json_problem_t problem;

    mr_config_hash(body.data, body.len, hash);
    if (strcmp(hash, head->hash) != 0) {
        store->whole_body = true;
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
    held->head = *head;
    held->config = config;
    held->body = mr_memdup(body.data, body.len);
    held->body_len = body.len;
    store->whole_body = false;
    return true;
}

static bool
approved(mr_config_store_t *store, const mr_config_head_t *head)
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
            mr_config_store_consider(read->store, &view);
        }
        return;
    }
    if (error != MR_OK) {
        return;
    }
    *(read->staged ? &view.staged_body : &view.body) = (mr_bytes_t){data, len};
    mr_config_store_consider(read->store, &view);
}

/* Reads a body from the object store; the view is considered again. A peer's
 * answer has all bodies, and one without is of no use. */
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

/* Whether the view's head is in force, at the end. */
static bool
take_head(mr_config_store_t *store, const mr_config_view_t *view)
{
    const mr_config_head_t *head = &view->head;
    const mr_config_head_t *present = &store->current.head;
    mr_config_held_t held = {0};

    if (!view->has_head) {
        if (present->version > 0 && view->source == NULL) {
            mr_config_store_refuse(store, "missing_head", 0, "");
        }
        return present->version == 0;
    }
    if (head->version == present->version
        && strcmp(head->hash, present->hash) == 0) {
        return true;
    }
    if (head->version <= present->version) {
        mr_config_store_refuse(
            store,
            head->version == present->version ? "other_hash" : "lower_version",
            head->version, head->hash);
        return false;
    }
    if (!approved(store, head)) {
        return false;
    }
    if (mr_config_held_is(&store->staged, head->version, head->hash)) {
        held = store->staged;
        held.head = *head;
        memset(&store->staged, 0, sizeof(store->staged));
    }
    else if (view->body.len == 0) {
        read_body(store, view, false);
        return false;
    }
    else if (!build(store, head, view->body, &held)) {
        return false;
    }
    apply(store, &held);
    return true;
}

static void
stage(mr_config_store_t *store, const mr_config_held_t *held,
      const mr_config_view_t *view)
{
    clear_staged(store);
    store->staged = *held;
    store->staged_as_of = view->contact;
    mr_counter_add(store->counters.staged, 1);
    mr_log(MR_LOG_INFO, MR_EVENT_CONFIG_STAGED, "version=%lld hash=%.12s",
           (long long)held->head.version, held->head.hash);
}

static void
take_absence(mr_config_store_t *store, const mr_config_view_t *view)
{
    if (view->contact > store->absent_as_of) {
        store->absent_as_of = view->contact;
    }
    if (store->current.head.version >= store->staged.head.version
        || store->absent_as_of
               >= store->staged_as_of + STAGED_DROP_MARGIN_MS) {
        clear_staged(store);
    }
}

/* Whether all that the view says about a staged version is taken over. */
static bool
take_staged(mr_config_store_t *store, const mr_config_view_t *view)
{
    const mr_config_head_t *staged = &view->staged;
    mr_config_held_t held = {0};

    if (view->staged_unreadable) {
        return true;
    }
    if (!view->has_staged || staged->version <= store->current.head.version) {
        take_absence(store, view);
        return true;
    }
    if (mr_config_held_is(&store->staged, staged->version, staged->hash)) {
        if (view->contact > store->staged_as_of) {
            store->staged_as_of = view->contact;
        }
        return true;
    }
    if (view->contact < store->staged_as_of
        || view->contact < store->absent_as_of) {
        /* Older than what is known. */
        return true;
    }
    if (!approved(store, staged)) {
        return true;
    }
    if (view->staged_body.len == 0) {
        read_body(store, view, true);
        return false;
    }
    if (build(store, staged, view->staged_body, &held)) {
        stage(store, &held, view);
    }
    return true;
}

/* The time of contact counts only once all that was learnt is in force here:
 * a revocation that is known but not applied must not look fresh. */
bool
mr_config_store_consider(mr_config_store_t *store,
                         const mr_config_view_t *view)
{
    if (!take_head(store, view) || !take_staged(store, view)) {
        return false;
    }
    if (view->contact > store->contact) {
        store->contact = view->contact;
    }
    if (view->contact >= store->resumed_at) {
        store->resumed_at = 0;
    }
    mr_config_store_announce(store);
    return true;
}
