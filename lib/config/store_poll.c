#include "config/store_internal.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/mem.h"

/* Position of this instance among the pollers of its data centre, or
 * MR_CONFIG_POLLERS. */
static size_t
poller_rank(const mr_config_store_t *store)
{
    const mr_member_t *members[MR_CONFIG_POLLERS];
    size_t count =
        mr_members_usable(store->options.members, "config", store->data_centre,
                          members, MR_CONFIG_POLLERS);

    for (size_t i = 0; i < count; i++) {
        if (strcmp(members[i]->name, store->name) == 0) {
            return i;
        }
    }
    return MR_CONFIG_POLLERS;
}

static void
read_head_row(mr_config_store_t *store, json_t *value, mr_config_view_t *view)
{
    mr_json_problem_t problem;

    if (mr_config_head_read(value, &view->head, &problem)) {
        view->has_head = true;
    }
    else {
        mr_config_store_refuse(store, "malformed_head", 0, "");
    }
}

static void
read_staged_row(mr_config_store_t *store, json_t *value,
                mr_config_view_t *view)
{
    mr_config_staged_t staged;
    mr_json_problem_t problem;

    if (!mr_config_staged_read(value, &staged, &problem)) {
        mr_config_store_refuse(store, "malformed_staged", 0, "");
        view->staged_unreadable = true;
        return;
    }
    if (staged.state == MR_CONFIG_APPROVED) {
        view->has_staged = true;
        view->staged.version = staged.version;
        strcpy(view->staged.hash, staged.hash);
        strcpy(view->staged.approval, staged.approval);
        view->staged.previous[0] = '\0';
    }
}

static void
read_confirm_row(json_t *row, mr_config_confirm_row_t *confirm)
{
    mr_json_problem_t problem;

    confirm->revision = json_integer_value(json_object_get(row, "revision"));
    confirm->readable = mr_config_confirm_read(json_object_get(row, "value"),
                                               &confirm->value, &problem);
}

static void start_round(mr_config_store_t *store);
static void poll_store(mr_config_store_t *store);

static void
on_rows(void *ctx, mr_error_kind_t error, json_t *rows)
{
    mr_config_store_t *store = ctx;
    mr_config_view_t view = {.contact = store->poll_sent};
    mr_config_confirm_row_t confirm = {0};
    size_t rank = poller_rank(store);

    store->polling = false;
    if (store->poll_sent < store->resumed_at) {
        /* Sent before the pause: this says nothing about the time since. */
        poll_store(store);
        return;
    }
    if (error != MR_OK) {
        mr_counter_add(store->counters.poll_failures, 1);
        if (store->current.config == NULL) {
            start_round(store);
        }
        return;
    }
    for (size_t i = 0; i < json_array_size(rows); i++) {
        json_t *row = json_array_get(rows, i);
        const char *name = json_string_value(json_object_get(row, "row"));
        size_t prefix = strlen(MR_CONFIG_ROW_CONFIRM_PREFIX);
        if (name == NULL) {
            continue;
        }
        if (strcmp(name, MR_CONFIG_ROW_HEAD) == 0) {
            read_head_row(store, json_object_get(row, "value"), &view);
        }
        else if (strcmp(name, MR_CONFIG_ROW_STAGED) == 0) {
            read_staged_row(store, json_object_get(row, "value"), &view);
        }
        else if (strncmp(name, MR_CONFIG_ROW_CONFIRM_PREFIX, prefix) == 0
                 && strcmp(name + prefix, store->data_centre) == 0) {
            read_confirm_row(row, &confirm);
        }
    }
    mr_config_store_consider(store, &view);
    if (rank < MR_CONFIG_POLLERS) {
        mr_config_store_confirm(store, &confirm, rank);
    }
}

static void
poll_store(mr_config_store_t *store)
{
    if (store->polling) {
        return;
    }
    store->polling = true;
    store->poll_sent = mr_clock_now(NULL);
    mr_counter_add(store->counters.polls, 1);
    mr_platform_rows(store->options.platform, MR_CONFIG_ROW_PREFIX, on_rows,
                     store);
}

/*
 * First version during an outage of the store, and the first one after a
 * pause, in which a change may have been accepted: all members of the data
 * centre are asked what they hold, and once every call has ended the one with
 * the highest version is read in full. A single peer could be one that missed
 * the last versions.
 */
static void
on_round_answer(mr_config_store_t *store, const char *name,
                const mr_msg_config_t *reply, mr_ms_t sent)
{
    mr_config_round_t *round = &store->round;

    (void)sent;
    if (reply != NULL && reply->version > 0
        && (reply->version > round->best_version
            || (reply->version == round->best_version
                && reply->staged_version > round->best_staged))) {
        free(round->best);
        round->best = mr_strdup(name);
        round->best_version = reply->version;
        round->best_staged = reply->staged_version;
    }
    if (--round->open > 0 || round->best == NULL) {
        return;
    }
    const mr_member_t *member =
        mr_members_find(store->options.members, round->best);
    if (member != NULL
        && (store->current.config == NULL || store->resumed_at != 0)) {
        mr_config_store_update_from(store, member, round->best_version);
    }
}

static void
start_round(mr_config_store_t *store)
{
    const mr_member_t *members[MR_CONFIG_MEMBERS_MAX];
    mr_config_round_t *round = &store->round;

    if (round->open > 0) {
        return;
    }
    free(round->best);
    *round = (mr_config_round_t){.started = mr_clock_now(NULL)};
    size_t count =
        mr_members_usable(store->options.members, "config", store->data_centre,
                          members, MR_CONFIG_MEMBERS_MAX);
    for (size_t i = 0; i < count; i++) {
        if (strcmp(members[i]->name, store->name) != 0) {
            round->open++;
            /* Nothing is higher: the answers come without bodies. */
            mr_config_store_ask(store, members[i], INT64_MAX, on_round_answer);
        }
    }
}

static size_t
add_candidates(const mr_config_store_t *store, const char *data_centre,
               const mr_member_t **out, size_t max)
{
    const mr_member_t *members[MR_CONFIG_POLLERS];
    size_t count = mr_members_usable(store->options.members, "config",
                                     data_centre, members, MR_CONFIG_POLLERS);
    size_t added = 0;

    for (size_t i = 0; i < count && added < max; i++) {
        if (strcmp(members[i]->name, store->name) != 0) {
            out[added++] = members[i];
        }
    }
    return added;
}

/* Asks one poller of the own data centre or, as a poller without the store,
 * of any data centre; another one each time. */
static void
refresh_from_peer(mr_config_store_t *store)
{
    const mr_member_t *candidates[64];
    const size_t max = sizeof(candidates) / sizeof(candidates[0]);
    const mr_config_t *config = store->current.config;
    size_t count = add_candidates(store, store->data_centre, candidates, max);

    for (size_t i = 0; store->poller && i < config->data_centre_count; i++) {
        const char *other = config->data_centres[i].name;
        if (strcmp(other, store->data_centre) != 0) {
            count +=
                add_candidates(store, other, candidates + count, max - count);
        }
    }
    if (count > 0) {
        mr_config_store_update_from(
            store, candidates[store->refresh_next++ % count], 0);
    }
}

void
mr_config_store_tick(evutil_socket_t fd, short what, void *ctx)
{
    mr_config_store_t *store = ctx;
    mr_ms_t next = MR_CONFIG_POLL_INTERVAL_MS;
    mr_ms_t now = mr_clock_now(NULL);

    (void)fd;
    (void)what;
    if (store->ticked_at == 0) {
        /* Instances that start together must not poll together: the first of
         * three pollers to see a change sets the time that it takes. */
        next = randombytes_uniform(MR_CONFIG_POLL_INTERVAL_MS);
    }
    else if (now - store->ticked_at >= MR_CONFIG_PAUSE_MS) {
        store->resumed_at = now;
        mr_log(MR_LOG_WARNING, MR_EVENT_CONFIG_PAUSED, "ms=%lld",
               (long long)(now - store->ticked_at));
    }
    store->ticked_at = now;
    struct timeval delay = mr_clock_timeval(next);
    evtimer_add(store->tick, &delay);
    store->poller = poller_rank(store) < MR_CONFIG_POLLERS;
    bool behind = store->current.config == NULL || store->resumed_at != 0;
    if (store->poller || behind) {
        poll_store(store);
    }
    if (store->current.config != NULL && store->resumed_at != 0) {
        start_round(store);
    }
    if (store->current.config != NULL
        && mr_config_store_contact_age(store) >= MR_CONFIG_REFRESH_AGE_MS) {
        refresh_from_peer(store);
    }
}
