#include "config/store_internal.h"

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"

enum {
    /* Minimum interval between pushes of unchanged versions. Each of the three
     * pollers pushes twice a second, and one push is enough to carry the
     * contact time, so the others are not forwarded. The limit also bounds the
     * traffic if the membership views of the members differ so much that
     * pushes go in a cycle. */
    ANNOUNCE_INTERVAL_MS = 150,
    /* Contact age from which a push triggers a fetch from its sender. Less
     * than the poll interval, so that each poll reaches all members. */
    PUSH_REFRESH_AGE_MS = 400,
    UPDATES_MAX = 3, /* concurrent fetches from peers */
};

typedef struct fetch_call {
    mr_list_t link;
    mr_config_store_t *store;
    mr_peer_call_t *call;
    mr_config_reply_fn_t fn;
    mr_ms_t sent;
    int64_t announced; /* version that the member had announced; 0: none */
    char *name;
    char *data_centre;
} fetch_call_t;

static void
free_call(fetch_call_t *call)
{
    mr_list_remove(&call->link);
    free(call->name);
    free(call->data_centre);
    free(call);
}

static void
on_reply(void *ctx, mr_error_kind_t error, const mr_msg_t *reply)
{
    fetch_call_t *call = ctx;
    mr_config_store_t *store = call->store;

    if (error != MR_OK && strcmp(call->data_centre, store->data_centre) != 0) {
        mr_members_report_failure(store->options.members, call->name);
    }
    mr_list_remove(&call->link);
    call->fn(store, call->name, error == MR_OK ? &reply->u.config : NULL,
             call->sent);
    free_call(call);
}

static fetch_call_t *
send_fetch(mr_config_store_t *store, const mr_member_t *member, int64_t after,
           mr_config_reply_fn_t fn)
{
    fetch_call_t *call = MR_NEW(fetch_call_t);
    mr_msg_t msg = {.type = MR_MSG_CONFIG_FETCH};

    msg.u.config_fetch.after = after;
    msg.u.config_fetch.base =
        store->need_full_body ? "" : store->current.head.hash;
    call->store = store;
    call->fn = fn;
    call->sent = mr_clock_now(NULL);
    call->name = mr_strdup(member->name);
    call->data_centre = mr_strdup(member->data_centre);
    mr_list_append(&store->peer_calls, &call->link);
    mr_counter_add(store->counters.peer_reads, 1);
    call->call = mr_peer_call(store->options.peer, member->address, &msg,
                              MR_CONFIG_PEER_TIMEOUT_MS, on_reply, call);
    return call;
}

void
mr_config_store_fetch(mr_config_store_t *store, const mr_member_t *member,
                      int64_t after, mr_config_reply_fn_t fn)
{
    send_fetch(store, member, after, fn);
}

void
mr_config_store_cancel_peer_calls(mr_config_store_t *store)
{
    MR_LIST_FOREACH(it, &store->peer_calls)
    {
        fetch_call_t *call = MR_LIST_ENTRY(it, fetch_call_t, link);
        mr_peer_cancel(call->call);
        free_call(call);
    }
}

static bool
read_head(mr_config_store_t *store, int64_t version, mr_bytes_t text,
          mr_config_head_t *head)
{
    mr_json_problem_t problem;
    json_t *value = mr_json_parse(text.data, text.len, &problem);
    bool valid = value != NULL && mr_config_head_read(value, head, &problem)
                 && head->version == version;

    json_decref(value);
    if (!valid) {
        mr_config_store_refuse(store, "malformed_message", version, "");
    }
    return valid;
}

/* Returns the body that results from applying @parts to the current one; empty
 * if they are for another base or malformed. @text receives the buffer, which
 * the caller frees. */
static mr_bytes_t
apply_patch(mr_config_store_t *store, const char *base,
            const mr_msg_patch_part_t *parts, size_t count, char **text)
{
    const mr_config_loaded_t *current = &store->current;
    mr_bytes_t body = {0};

    if (strcmp(base, current->head.hash) != 0) {
        return body;
    }
    *text =
        mr_config_patch_apply((mr_bytes_t){current->body, current->body_len},
                              parts, count, &body.len);
    body.data = *text;
    if (*text == NULL) {
        store->need_full_body = true;
        mr_config_store_refuse(store, "malformed_patch", 0, "");
    }
    mr_counter_add(store->counters.patches, 1);
    return body;
}

/* Converts a peer message into a view of the store as of the contact time of
 * that peer. The caller frees @texts after its last use of @view. */
static bool
read_view(mr_config_store_t *store, const char *name,
          const mr_msg_config_t *msg, mr_ms_t as_of, mr_config_view_t *view,
          char *texts[2])
{
    memset(view, 0, sizeof(*view));
    view->source = name;
    view->contact_at = msg->store_age_ms < 0 ? 0 : as_of - msg->store_age_ms;
    if (msg->version > 0) {
        view->has_head =
            read_head(store, msg->version, msg->head, &view->head);
        view->body = msg->body;
        if (!view->has_head) {
            return false;
        }
        if (msg->patch_count > 0) {
            view->body = apply_patch(store, msg->base, msg->patch,
                                     msg->patch_count, &texts[0]);
        }
    }
    if (msg->staged_version > 0) {
        view->has_staged = read_head(store, msg->staged_version,
                                     msg->staged_head, &view->staged);
        view->staged_body = msg->staged_body;
        view->staged_unreadable = !view->has_staged;
        if (msg->staged_patch_count > 0) {
            view->staged_body =
                apply_patch(store, msg->base, msg->staged_patch,
                            msg->staged_patch_count, &texts[1]);
        }
    }
    return true;
}

static void
on_update(mr_config_store_t *store, const char *name,
          const mr_msg_config_t *reply, mr_ms_t sent)
{
    const mr_config_survey_t *survey = &store->survey;
    mr_config_view_t view;
    char *texts[2] = {NULL, NULL};

    if (reply != NULL && read_view(store, name, reply, sent, &view, texts)) {
        bool merged = mr_config_store_merge(store, &view);
        /* While the store is unreachable, the highest version among the peers
         * that replied ends the catch-up after a pause, as it does after a
         * start. */
        if (merged && survey->best != NULL && survey->pending == 0
            && strcmp(survey->best, name) == 0
            && survey->started >= store->resumed_at
            && sent >= survey->started) {
            store->resumed_at = 0;
        }
    }
    free(texts[0]);
    free(texts[1]);
}

void
mr_config_store_update_from(mr_config_store_t *store,
                            const mr_member_t *member, int64_t announced)
{
    size_t pending = 0;
    int64_t after = store->current.head.version;

    MR_LIST_FOREACH(it, &store->peer_calls)
    {
        fetch_call_t *call = MR_LIST_ENTRY(it, fetch_call_t, link);
        if (call->fn != on_update) {
            continue;
        }
        /* A reply to a fetch sent before the announcement may lack the
         * announced version. */
        bool covered = strcmp(call->name, member->name) == 0
                       && call->announced >= announced;
        if (++pending == UPDATES_MAX || covered) {
            return;
        }
    }
    send_fetch(store, member, after, on_update)->announced = announced;
}

/* Returns a patch from the body with hash @base to @loaded; NULL if that body
 * is not kept here or the patch would be too large. */
static const mr_config_patch_t *
make_patch(const mr_config_store_t *store, mr_config_loaded_t *loaded,
           const char *base)
{
    const mr_config_loaded_t *bases[] = {&store->current, &store->previous};

    if (strcmp(loaded->patch_base, base) == 0) {
        return loaded->patch.count > 0 ? &loaded->patch : NULL;
    }
    for (size_t i = 0; i < 2; i++) {
        if (bases[i] != loaded && bases[i]->body != NULL
            && strcmp(bases[i]->head.hash, base) == 0) {
            mr_config_patch_clear(&loaded->patch);
            strcpy(loaded->patch_base, bases[i]->head.hash);
            if (mr_config_patch_make(
                    (mr_bytes_t){bases[i]->body, bases[i]->body_len},
                    (mr_bytes_t){loaded->body, loaded->body_len},
                    &loaded->patch)) {
                return &loaded->patch;
            }
        }
    }
    return NULL;
}

/* Fills in @msg; the caller frees @texts after sending it. Bodies of versions
 * up to @after are omitted; the others are sent as patches of @base if
 * possible. */
static void
fill_message(mr_config_store_t *store, int64_t after, const char *base,
             mr_msg_config_t *msg, char *texts[2])
{
    mr_config_loaded_t *loaded[2] = {&store->current, &store->staged};
    mr_bytes_t *heads[2] = {&msg->head, &msg->staged_head};
    mr_bytes_t *bodies[2] = {&msg->body, &msg->staged_body};
    int64_t *versions[2] = {&msg->version, &msg->staged_version};
    mr_msg_patch_part_t **parts[2] = {&msg->patch, &msg->staged_patch};
    size_t *counts[2] = {&msg->patch_count, &msg->staged_patch_count};

    msg->base = base;
    msg->store_age_ms = mr_config_store_contact_age(store);
    for (size_t i = 0; i < 2; i++) {
        texts[i] = NULL;
        /* An uncertain staged version is not passed on: peers would date it to
         * the last contact and pass it on in turn, so it would never be
         * dropped. */
        if (loaded[i]->config == NULL
            || (i == 1 && mr_config_staged_uncertain(store))) {
            continue;
        }
        json_t *value = mr_config_head_write(&loaded[i]->head);
        texts[i] = mr_json_canonical(value);
        json_decref(value);
        *versions[i] = loaded[i]->head.version;
        *heads[i] = (mr_bytes_t){texts[i], strlen(texts[i])};
        if (loaded[i]->head.version <= after) {
            continue;
        }
        const mr_config_patch_t *patch = make_patch(store, loaded[i], base);
        if (patch != NULL) {
            *parts[i] = patch->parts;
            *counts[i] = patch->count;
        }
        else {
            *bodies[i] = (mr_bytes_t){loaded[i]->body, loaded[i]->body_len};
        }
    }
}

void
mr_config_store_on_fetch(void *ctx, mr_peer_request_t *request,
                         const mr_msg_t *msg, const char *from)
{
    mr_config_store_t *store = ctx;
    mr_msg_t reply = {.type = MR_MSG_CONFIG_FETCH_REPLY};
    char *texts[2];

    (void)from;
    if (request == NULL) {
        return;
    }
    fill_message(store, msg->u.config_fetch.after, msg->u.config_fetch.base,
                 &reply.u.config, texts);
    mr_peer_reply(request, &reply);
    free(texts[0]);
    free(texts[1]);
}

static int
compare_members(const void *a, const void *b)
{
    const mr_member_t *const *left = a;
    const mr_member_t *const *right = b;

    return strcmp((*left)->name, (*right)->name);
}

/*
 * The push tree covers the members sorted by name: a poller sends to the first
 * eight, and the member at index i sends to those at indices 8(i+1) to
 * 8(i+1)+7.
 */
static void
push_to_children(mr_config_store_t *store, const mr_msg_t *msg)
{
    const mr_member_t *members[MR_CONFIG_MEMBERS_MAX];
    size_t count =
        mr_members_usable(store->options.members, "config", store->data_centre,
                          members, MR_CONFIG_MEMBERS_MAX);
    size_t self = count;

    qsort(members, count, sizeof(const mr_member_t *), compare_members);
    for (size_t i = 0; i < count; i++) {
        if (strcmp(members[i]->name, store->name) == 0) {
            self = i;
        }
    }
    for (size_t i = 0; i < count; i++) {
        bool first_level = store->poller && i < MR_CONFIG_TREE_DEGREE;
        bool child = self < count && i >= MR_CONFIG_TREE_DEGREE
                     && i / MR_CONFIG_TREE_DEGREE == self + 1;
        if (i != self && (first_level || child)) {
            mr_peer_send(store->options.peer, members[i]->address, msg);
            mr_counter_add(store->counters.pushes_sent, 1);
        }
    }
}

void
mr_config_store_announce(mr_config_store_t *store)
{
    mr_ms_t now = mr_clock_now(NULL);
    mr_msg_t msg = {.type = MR_MSG_CONFIG_PUSH};
    char *texts[2];
    bool changed =
        store->announced_version != store->current.head.version
        || strcmp(store->announced_staged, store->staged.head.hash) != 0;

    if ((store->current.config == NULL && store->staged.config == NULL)
        || (!changed && now < store->announced_at + ANNOUNCE_INTERVAL_MS)) {
        return;
    }
    store->announced_at = now;
    store->announced_version = store->current.head.version;
    strcpy(store->announced_staged, store->staged.head.hash);
    /* Receivers fetch the bodies that they lack from the sender. */
    fill_message(store, INT64_MAX, "", &msg.u.config, texts);
    push_to_children(store, &msg);
    free(texts[0]);
    free(texts[1]);
}

/*
 * A push is only a hint that there is something new; the receiver fetches it
 * from the sender. The contact age in a push dates from when it was sent, so a
 * push delayed by a broken link would make old content look recent. With a
 * fetch, the call timeout bounds that error.
 */
void
mr_config_store_on_push(void *ctx, mr_peer_request_t *request,
                        const mr_msg_t *msg, const char *from)
{
    mr_config_store_t *store = ctx;
    const mr_msg_config_t *push = &msg->u.config;
    mr_ms_t age = mr_config_store_contact_age(store);
    const mr_member_t *sender = mr_members_find(store->options.members, from);

    if (request != NULL) {
        /* Pushes are one-way messages. A caller that expects a reply gets one
         * of the wrong type, which it handles as an error. */
        mr_msg_t reply = {.type = MR_MSG_CONFIG_FETCH_REPLY};
        mr_peer_reply(request, &reply);
    }
    mr_counter_add(store->counters.pushes_received, 1);
    /* A single peer is not a sufficient source for the first version; see
     * store_poll.c. */
    if (store->current.config == NULL || sender == NULL) {
        return;
    }
    bool newer = push->version > store->current.head.version
                 || (push->staged_version > store->current.head.version
                     && push->staged_version != store->staged.head.version);
    bool more_recent = age >= PUSH_REFRESH_AGE_MS && push->store_age_ms < age;
    if (newer) {
        mr_config_store_update_from(store, sender,
                                    push->version > push->staged_version
                                        ? push->version
                                        : push->staged_version);
    }
    else if (more_recent) {
        mr_config_store_update_from(store, sender, 0);
    }
}

void
mr_config_store_on_version(void *ctx, const mr_member_t *member,
                           int64_t version)
{
    mr_config_store_t *store = ctx;

    if (store->current.config != NULL
        && version > store->current.head.version) {
        mr_config_store_update_from(store, member, version);
    }
}
