#include "config/store_internal.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/mem.h"

/* Rank of this instance among the pollers of its data centre;
 * MR_CONFIG_POLLERS_MAX if it is none of them. */
static size_t
poller_rank(const mr_config_store_t *store)
{
    const mr_member_t *members[MR_CONFIG_POLLERS_MAX];
    size_t count =
        mr_members_usable(store->options.members, "config", store->data_centre,
                          members, MR_CONFIG_POLLERS_MAX);

    for (size_t i = 0; i < count; i++) {
        if (strcmp(members[i]->name, store->name) == 0) {
            return i;
        }
    }
    return MR_CONFIG_POLLERS_MAX;
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

static void start_survey(mr_config_store_t *store);
static void poll_store(mr_config_store_t *store);

static void
on_rows(void *ctx, mr_error_kind_t error, json_t *rows)
{
    mr_config_store_t *store = ctx;
    mr_config_view_t view = {.contact_at = store->poll_sent};
    mr_config_confirm_row_t confirm = {0};
    size_t rank = poller_rank(store);

    store->polling = false;
    if (store->poll_sent < store->resumed_at) {
        /* Sent before the pause, so it does not cover the time since. */
        poll_store(store);
        return;
    }
    if (error != MR_OK) {
        mr_counter_add(store->counters.poll_failures, 1);
        if (store->current.config == NULL) {
            start_survey(store);
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
    mr_config_store_merge(store, &view);
    if (rank < MR_CONFIG_POLLERS_MAX) {
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
    mr_platform_list_rows(store->options.platform, MR_CONFIG_ROW_PREFIX,
                          on_rows, store);
}

/*
 * During an outage of the store, the first version after a start or a pause
 * comes from a survey of the peers: all members of the data centre report
 * their versions, and after every call has ended the full state is fetched
 * from the one with the highest version. A single peer might have missed the
 * latest versions, and a change may have been accepted during the pause.
 */
static void
on_survey_reply(mr_config_store_t *store, const char *name,
                const mr_msg_config_t *reply, mr_ms_t sent)
{
    mr_config_survey_t *survey = &store->survey;

    (void)sent;
    if (reply != NULL && reply->version > 0
        && (reply->version > survey->best_version
            || (reply->version == survey->best_version
                && reply->staged_version > survey->best_staged))) {
        free(survey->best);
        survey->best = mr_strdup(name);
        survey->best_version = reply->version;
        survey->best_staged = reply->staged_version;
    }
    if (--survey->pending > 0 || survey->best == NULL) {
        return;
    }
    const mr_member_t *member =
        mr_members_find(store->options.members, survey->best);
    if (member != NULL
        && (store->current.config == NULL || store->resumed_at != 0)) {
        mr_config_store_update_from(store, member, survey->best_version);
    }
}

static void
start_survey(mr_config_store_t *store)
{
    const mr_member_t *members[MR_CONFIG_MEMBERS_MAX];
    mr_config_survey_t *survey = &store->survey;

    if (survey->pending > 0) {
        return;
    }
    free(survey->best);
    *survey = (mr_config_survey_t){.started = mr_clock_now(NULL)};
    size_t count =
        mr_members_usable(store->options.members, "config", store->data_centre,
                          members, MR_CONFIG_MEMBERS_MAX);
    for (size_t i = 0; i < count; i++) {
        if (strcmp(members[i]->name, store->name) != 0) {
            survey->pending++;
            /* No version is above INT64_MAX: the replies have no bodies. */
            mr_config_store_fetch(store, members[i], INT64_MAX,
                                  on_survey_reply);
        }
    }
}

static size_t
add_candidates(const mr_config_store_t *store, const char *data_centre,
               const mr_member_t **out, size_t max)
{
    const mr_member_t *members[MR_CONFIG_POLLERS_MAX];
    size_t count =
        mr_members_usable(store->options.members, "config", data_centre,
                          members, MR_CONFIG_POLLERS_MAX);
    size_t added = 0;

    for (size_t i = 0; i < count && added < max; i++) {
        if (strcmp(members[i]->name, store->name) != 0) {
            out[added++] = members[i];
        }
    }
    return added;
}

/* Fetches from a poller of the own data centre or, on a poller that cannot
 * reach the store, from a poller of any data centre; rotates through them. */
static void
refresh_from_peer(mr_config_store_t *store)
{
    const mr_member_t *candidates[64];
    const size_t max = sizeof(candidates) / sizeof(candidates[0]);
    const mr_config_t *config = store->current.config;
    size_t count = add_candidates(store, store->data_centre, candidates, max);

    for (size_t i = 0; store->poller && i < config->data_centre_count; i++) {
        const char *data_centre = config->data_centres[i].name;
        if (strcmp(data_centre, store->data_centre) != 0) {
            count += add_candidates(store, data_centre, candidates + count,
                                    max - count);
        }
    }
    if (count > 0) {
        mr_config_store_update_from(
            store, candidates[store->refresh_index++ % count], 0);
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
    if (store->last_tick_at == 0) {
        /* Spreads the polls of instances that start together: the earliest of
         * the three pollers after a change determines how fast it spreads. */
        next = randombytes_uniform(MR_CONFIG_POLL_INTERVAL_MS);
    }
    else if (now - store->last_tick_at >= MR_CONFIG_PAUSE_MS) {
        store->resumed_at = now;
        mr_log(MR_LOG_WARNING, MR_EVENT_CONFIG_PAUSED, "ms=%lld",
               (long long)(now - store->last_tick_at));
    }
    store->last_tick_at = now;
    struct timeval delay = mr_clock_timeval(next);
    evtimer_add(store->tick, &delay);
    store->poller = poller_rank(store) < MR_CONFIG_POLLERS_MAX;
    bool catching_up = store->current.config == NULL || store->resumed_at != 0;
    if (store->poller || catching_up) {
        poll_store(store);
    }
    if (store->current.config != NULL && store->resumed_at != 0) {
        start_survey(store);
    }
    if (store->current.config != NULL
        && mr_config_store_contact_age(store) >= MR_CONFIG_REFRESH_AGE_MS) {
        refresh_from_peer(store);
    }
}
