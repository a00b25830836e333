#include "config/store_internal.h"

#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/mem.h"

/*
 * The first poller queries every usable member of the data centre for the
 * staged version and writes the confirmation row once all of them hold it.
 * Otherwise, an instance that missed the push could keep accepting a revoked
 * key after its data centre has lost the store.
 */

enum {
    /* Delay per rank, so that normally only the first poller queries the
     * members. */
    RANK_DELAY_MS = 1000,
    /* After this time the confirmation is written regardless: a live member
     * that cannot be reached must not block every change forever. */
    QUERY_TIMEOUT_MS = 5000,
    /* Members stage a pushed version within a few milliseconds. */
    QUERY_INTERVAL_MS = 50,
};

static bool
confirm_equal(const mr_config_confirm_t *a, const mr_config_confirm_t *b)
{
    return a->version == b->version && strcmp(a->hash, b->hash) == 0;
}

static void
reset_confirmation(mr_config_confirming_t *confirming)
{
    confirming->value.version = 0;
    g_hash_table_remove_all(confirming->holders);
}

static void
on_query_reply(mr_config_store_t *store, const char *name,
               const mr_msg_config_t *reply, mr_ms_t sent)
{
    mr_config_confirming_t *confirming = &store->confirming;
    mr_config_head_t staged;
    mr_json_problem_t problem;

    (void)sent;
    if (--confirming->pending == 0) {
        struct timeval delay = mr_clock_timeval(QUERY_INTERVAL_MS);
        evtimer_add(confirming->retry_timer, &delay);
    }
    if (reply == NULL || confirming->value.version == 0) {
        return;
    }
    json_t *value = mr_json_parse(reply->staged_head.data,
                                  reply->staged_head.len, &problem);
    bool holds_version = value != NULL
                         && mr_config_head_read(value, &staged, &problem)
                         && staged.version == confirming->value.version
                         && strcmp(staged.hash, confirming->value.hash) == 0;
    json_decref(value);
    if (holds_version) {
        g_hash_table_add(confirming->holders, mr_strdup(name));
    }
}

/* Queries the members that are not known to hold the version; returns the
 * number of queries in progress. */
static size_t
query_members(mr_config_store_t *store)
{
    const mr_member_t *members[MR_CONFIG_MEMBERS_MAX];
    mr_config_confirming_t *confirming = &store->confirming;
    size_t count =
        mr_members_usable(store->options.members, "config", store->data_centre,
                          members, MR_CONFIG_MEMBERS_MAX);

    for (size_t i = 0; i < count; i++) {
        if (strcmp(members[i]->name, store->name) != 0
            && !g_hash_table_contains(confirming->holders, members[i]->name)) {
            confirming->pending++;
            mr_config_store_fetch(store, members[i], INT64_MAX,
                                  on_query_reply);
        }
    }
    return confirming->pending;
}

static void
on_recorded(void *ctx, mr_error_kind_t error, int64_t sequence)
{
    mr_config_confirming_t *confirming = ctx;

    (void)sequence;
    confirming->append = NULL;
    if (error != MR_OK && confirming->unrecorded.version == 0) {
        /* Retried after the next poll. */
        confirming->unrecorded = confirming->recording;
    }
}

static void
append_record(mr_config_store_t *store)
{
    mr_config_confirming_t *confirming = &store->confirming;
    char *who = mr_asprintf("%s/%s", store->data_centre, store->name);
    json_t *changes = json_pack("{s:s}", "data_centre", store->data_centre);
    const mr_audit_step_t step = {
        .who = who,
        .step = "confirm",
        .from_version = store->current.head.version,
        .to_version = confirming->unrecorded.version,
        .hash = confirming->unrecorded.hash,
        .changes = changes,
    };

    confirming->recording = confirming->unrecorded;
    confirming->unrecorded.version = 0;
    confirming->append = mr_audit_append(store->options.platform, &step,
                                         on_recorded, confirming);
    json_decref(changes);
    free(who);
}

static void
on_written(void *ctx, mr_error_kind_t error, int64_t revision, json_t *value)
{
    mr_config_confirming_t *confirming = ctx;

    (void)value;
    confirming->writing = false;
    if (error == MR_OK || error == MR_ERR_OUTCOME_UNKNOWN) {
        confirming->unrecorded = confirming->value;
    }
    if (error == MR_OK) {
        if (confirming->append == NULL) {
            append_record(confirming->store);
        }
        mr_counter_add(confirming->store->counters.confirmed, 1);
        mr_log(MR_LOG_INFO, MR_EVENT_CONFIG_CONFIRMED,
               "version=%lld hash=%.12s", (long long)confirming->value.version,
               confirming->value.hash);
        /* Prevents a second write by a running timer or by a poll that was
         * sent before this write. */
        confirming->revision = revision;
        reset_confirmation(confirming);
    }
    /* After any other result, the next poll reads the row. */
}

static void
write_row(mr_config_store_t *store)
{
    mr_config_confirming_t *confirming = &store->confirming;
    char *name =
        mr_asprintf(MR_CONFIG_ROW_CONFIRM_PREFIX "%s", store->data_centre);
    json_t *value = mr_config_confirm_write(&confirming->value);

    confirming->writing = true;
    mr_platform_row_put(store->options.platform, name, confirming->revision,
                        value, on_written, confirming);
    json_decref(value);
    free(name);
}

/* Queries the remaining members; writes the row if there are none or after
 * QUERY_TIMEOUT_MS. */
static void
advance_confirmation(mr_config_store_t *store)
{
    mr_config_confirming_t *confirming = &store->confirming;
    mr_ms_t now = mr_clock_now(NULL);

    if (now < confirming->starts_at || confirming->writing
        || confirming->pending > 0) {
        return;
    }
    if (now < confirming->starts_at + QUERY_TIMEOUT_MS) {
        if (query_members(store) == 0) {
            write_row(store);
        }
        return;
    }
    mr_counter_add(store->counters.confirm_incomplete, 1);
    write_row(store);
}

/* Returns whether the version being confirmed is still the staged one. */
static bool
still_staged(const mr_config_store_t *store)
{
    const mr_config_confirm_t *value = &store->confirming.value;

    return !mr_config_staged_uncertain(store)
           && mr_config_loaded_matches(&store->staged, value->version,
                                       value->hash);
}

static void
on_retry(evutil_socket_t fd, short what, void *ctx)
{
    mr_config_store_t *store = ctx;

    (void)fd;
    (void)what;
    if (still_staged(store)) {
        advance_confirmation(store);
    }
}

static void
begin_confirmation(mr_config_store_t *store, size_t rank)
{
    mr_config_confirming_t *confirming = &store->confirming;
    struct timeval delay = mr_clock_timeval(QUERY_INTERVAL_MS);

    reset_confirmation(confirming);
    confirming->value.version = store->staged.head.version;
    strcpy(confirming->value.hash, store->staged.head.hash);
    confirming->starts_at = mr_clock_now(NULL) + (mr_ms_t)rank * RANK_DELAY_MS;
    evtimer_add(confirming->retry_timer, &delay);
}

void
mr_config_store_confirm(mr_config_store_t *store,
                        const mr_config_confirm_row_t *row, size_t rank)
{
    mr_config_confirming_t *confirming = &store->confirming;
    const mr_config_loaded_t *staged = &store->staged;

    if (confirming->writing || row->revision < confirming->revision) {
        return;
    }
    confirming->revision = row->revision;
    if (confirming->unrecorded.version > 0 && confirming->append == NULL
        && row->readable
        && confirm_equal(&row->value, &confirming->unrecorded)) {
        append_record(store);
    }
    if (staged->config == NULL || mr_config_staged_uncertain(store)
        || (row->readable
            && mr_config_loaded_matches(staged, row->value.version,
                                        row->value.hash))) {
        reset_confirmation(confirming);
    }
    else if (!still_staged(store)) {
        begin_confirmation(store, rank);
    }
    else {
        advance_confirmation(store);
    }
}

void
mr_config_store_confirm_open(mr_config_store_t *store)
{
    mr_config_confirming_t *confirming = &store->confirming;

    confirming->store = store;
    confirming->holders =
        g_hash_table_new_full(g_str_hash, g_str_equal, free, NULL);
    confirming->retry_timer =
        evtimer_new(store->options.base, on_retry, store);
}

void
mr_config_store_confirm_close(mr_config_store_t *store)
{
    mr_config_confirming_t *confirming = &store->confirming;

    mr_platform_cancel(store->options.platform, confirming);
    if (confirming->append != NULL) {
        mr_audit_append_cancel(confirming->append);
    }
    event_free(confirming->retry_timer);
    g_hash_table_destroy(confirming->holders);
}
