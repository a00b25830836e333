#include "config/store_internal.h"

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"

enum {
    /* Three pollers push twice a second each; one of them is enough for the
     * time of contact, so the rest of a burst is not passed on. The limit
     * also bounds the traffic if views of the members differ so much that
     * pushes go in a circle. */
    ANNOUNCE_INTERVAL_MS = 150,
    /* A push leads to a read from its sender from this age on, which is below
     * the poll interval so that each poll reaches all members. */
    PUSH_REFRESH_AGE_MS = 400,
    UPDATES_MAX = 3, /* reads from peers at one time */
};

typedef struct config_call {
    mr_list_t link;
    mr_config_store_t *store;
    mr_peer_call_t *call;
    mr_config_answer_fn_t fn;
    mr_ms_t sent;
    int64_t announced; /* version that the member announced before, or 0 */
    char *name;
    char *data_centre;
} config_call_t;

static void
free_call(config_call_t *call)
{
    mr_list_remove(&call->link);
    free(call->name);
    free(call->data_centre);
    free(call);
}

static void
on_reply(void *ctx, mr_error_kind_t error, const mr_msg_t *reply)
{
    config_call_t *call = ctx;
    mr_config_store_t *store = call->store;

    if (error != MR_OK && strcmp(call->data_centre, store->data_centre) != 0) {
        mr_members_report_failure(store->options.members, call->name);
    }
    mr_list_remove(&call->link);
    call->fn(store, call->name, error == MR_OK ? &reply->u.config : NULL,
             call->sent);
    free_call(call);
}

static config_call_t *
ask(mr_config_store_t *store, const mr_member_t *member, int64_t after,
    mr_config_answer_fn_t fn)
{
    config_call_t *call = MR_NEW(config_call_t);
    mr_msg_t msg = {.type = MR_MSG_CONFIG_FETCH};

    msg.u.config_fetch.after = after;
    msg.u.config_fetch.base =
        store->whole_body ? "" : store->current.head.hash;
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
mr_config_store_ask(mr_config_store_t *store, const mr_member_t *member,
                    int64_t after, mr_config_answer_fn_t fn)
{
    ask(store, member, after, fn);
}

void
mr_config_store_drop_peer_calls(mr_config_store_t *store)
{
    MR_LIST_FOREACH(it, &store->peer_calls)
    {
        config_call_t *call = MR_LIST_ENTRY(it, config_call_t, link);
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
    bool good = value != NULL && mr_config_head_read(value, head, &problem)
                && head->version == version;

    json_decref(value);
    if (!good) {
        mr_config_store_refuse(store, "malformed_message", version, "");
    }
    return good;
}

/* The body that @parts make of the present one, in @text; empty when they are
 * for another base. */
static mr_bytes_t
patched_body(mr_config_store_t *store, const char *base,
             const mr_msg_patch_part_t *parts, size_t count, char **text)
{
    const mr_config_held_t *current = &store->current;
    mr_bytes_t body = {0};

    if (strcmp(base, current->head.hash) != 0) {
        return body;
    }
    *text =
        mr_config_patch_apply((mr_bytes_t){current->body, current->body_len},
                              parts, count, &body.len);
    body.data = *text;
    if (*text == NULL) {
        store->whole_body = true;
        mr_config_store_refuse(store, "malformed_patch", 0, "");
    }
    mr_counter_add(store->counters.patches, 1);
    return body;
}

/* What a peer holds, as it was when the peer had contact with the store.
 * @texts are to be freed when @view is no longer used. */
static bool
read_view(mr_config_store_t *store, const char *name,
          const mr_msg_config_t *msg, mr_ms_t as_of, mr_config_view_t *view,
          char *texts[2])
{
    memset(view, 0, sizeof(*view));
    view->source = name;
    view->contact = msg->store_age_ms < 0 ? 0 : as_of - msg->store_age_ms;
    if (msg->version > 0) {
        view->has_head =
            read_head(store, msg->version, msg->head, &view->head);
        view->body = msg->body;
        if (!view->has_head) {
            return false;
        }
        if (msg->patch_count > 0) {
            view->body = patched_body(store, msg->base, msg->patch,
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
                patched_body(store, msg->base, msg->staged_patch,
                             msg->staged_patch_count, &texts[1]);
        }
    }
    return true;
}

static void
on_update(mr_config_store_t *store, const char *name,
          const mr_msg_config_t *reply, mr_ms_t sent)
{
    const mr_config_round_t *round = &store->round;
    mr_config_view_t view;
    char *texts[2] = {NULL, NULL};

    if (reply != NULL && read_view(store, name, reply, sent, &view, texts)) {
        bool taken = mr_config_store_consider(store, &view);
        /* Without the store, the highest version among the answering peers is
         * as good as after a restart. */
        if (taken && round->best != NULL && round->open == 0
            && strcmp(round->best, name) == 0
            && round->started >= store->resumed_at && sent >= round->started) {
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
    size_t open = 0;
    int64_t after = store->current.head.version;

    MR_LIST_FOREACH(it, &store->peer_calls)
    {
        config_call_t *call = MR_LIST_ENTRY(it, config_call_t, link);
        if (call->fn != on_update) {
            continue;
        }
        /* An answer that was asked for before the announcement may lack it. */
        bool covered = strcmp(call->name, member->name) == 0
                       && call->announced >= announced;
        if (++open == UPDATES_MAX || covered) {
            return;
        }
    }
    ask(store, member, after, on_update)->announced = announced;
}

/* A patch of @held for a peer that has the body with hash @base; NULL when
 * that body is not here or a patch is not worth it. */
static const mr_config_patch_t *
patch_from(const mr_config_store_t *store, mr_config_held_t *held,
           const char *base)
{
    const mr_config_held_t *bases[] = {&store->current, &store->previous};

    if (strcmp(held->patch_base, base) == 0) {
        return held->patch.count > 0 ? &held->patch : NULL;
    }
    for (size_t i = 0; i < 2; i++) {
        if (bases[i] != held && bases[i]->body != NULL
            && strcmp(bases[i]->head.hash, base) == 0) {
            mr_config_patch_clear(&held->patch);
            strcpy(held->patch_base, bases[i]->head.hash);
            if (mr_config_patch_make(
                    (mr_bytes_t){bases[i]->body, bases[i]->body_len},
                    (mr_bytes_t){held->body, held->body_len}, &held->patch)) {
                return &held->patch;
            }
        }
    }
    return NULL;
}

/* Fills @msg; the texts are to be freed after it was sent. Bodies of versions
 * up to @after are left out, others are sent as patches of @base if possible.
 */
static void
write_message(mr_config_store_t *store, int64_t after, const char *base,
              mr_msg_config_t *msg, char *texts[2])
{
    mr_config_held_t *held[2] = {&store->current, &store->staged};
    mr_bytes_t *heads[2] = {&msg->head, &msg->staged_head};
    mr_bytes_t *bodies[2] = {&msg->body, &msg->staged_body};
    int64_t *versions[2] = {&msg->version, &msg->staged_version};
    mr_msg_patch_part_t **parts[2] = {&msg->patch, &msg->staged_patch};
    size_t *counts[2] = {&msg->patch_count, &msg->staged_patch_count};

    msg->base = base;
    msg->store_age_ms = mr_config_store_contact_age(store);
    for (size_t i = 0; i < 2; i++) {
        texts[i] = NULL;
        /* A doubtful staged version is not passed on: peers would take it for
         * as new as the last contact, and nobody would ever forget it. */
        if (held[i]->config == NULL
            || (i == 1 && mr_config_staged_doubtful(store))) {
            continue;
        }
        json_t *value = mr_config_head_write(&held[i]->head);
        texts[i] = mr_json_canonical(value);
        json_decref(value);
        *versions[i] = held[i]->head.version;
        *heads[i] = (mr_bytes_t){texts[i], strlen(texts[i])};
        if (held[i]->head.version <= after) {
            continue;
        }
        const mr_config_patch_t *patch = patch_from(store, held[i], base);
        if (patch != NULL) {
            *parts[i] = patch->parts;
            *counts[i] = patch->count;
        }
        else {
            *bodies[i] = (mr_bytes_t){held[i]->body, held[i]->body_len};
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
    write_message(store, msg->u.config_fetch.after, msg->u.config_fetch.base,
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
 * The tree is laid over the members sorted by name: a poller sends to the
 * first eight, and the member at position i sends to those at 8(i+1) to
 * 8(i+1)+7.
 */
static void
send_down(mr_config_store_t *store, const mr_msg_t *msg)
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
        bool top = store->poller && i < MR_CONFIG_TREE_DEGREE;
        bool below = self < count && i >= MR_CONFIG_TREE_DEGREE
                     && i / MR_CONFIG_TREE_DEGREE == self + 1;
        if (i != self && (top || below)) {
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
    /* Receivers read the bodies that they lack from the sender. */
    write_message(store, INT64_MAX, "", &msg.u.config, texts);
    send_down(store, &msg);
    free(texts[0]);
    free(texts[1]);
}

/*
 * A push only says that there is news. The receiver reads it from the sender,
 * because the age that a push carries is of the time when it was sent: a push
 * that a broken link held back would make old news look fresh. A call bounds
 * that time.
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
        /* Pushes are one-way; the caller takes this answer as an error. */
        mr_msg_t reply = {.type = MR_MSG_CONFIG_FETCH_REPLY};
        mr_peer_reply(request, &reply);
    }
    mr_counter_add(store->counters.pushes_received, 1);
    /* One peer's word is not enough for the first version. */
    if (store->current.config == NULL || sender == NULL) {
        return;
    }
    bool news = push->version > store->current.head.version
                || (push->staged_version > store->current.head.version
                    && push->staged_version != store->staged.head.version);
    bool fresher = age >= PUSH_REFRESH_AGE_MS && push->store_age_ms < age;
    if (news) {
        mr_config_store_update_from(store, sender,
                                    push->version > push->staged_version
                                        ? push->version
                                        : push->staged_version);
    }
    else if (fresher) {
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
