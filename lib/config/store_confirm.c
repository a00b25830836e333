#include "config/store_internal.h"

#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/mem.h"

/*
 * The first poller asks every usable member of the data centre whether it
 * holds the staged version, and then writes the confirmation. Without this, an
 * instance that missed the push could go on honouring a withdrawn key after
 * its data centre has lost the store.
 */

enum {
    /* The pollers behind the first one wait, so that normally one asks. */
    RANK_DELAY_MS = 1000,
    /* A member that is alive but cannot be asked does not block every change
     * for good. */
    MEMBERS_WAIT_MS = 5000,
};

static void
reset(mr_config_confirming_t *confirming)
{
    confirming->value.version = 0;
    g_hash_table_remove_all(confirming->holders);
}

static void
on_holder_answer(mr_config_store_t *store, const char *name,
                 const mr_msg_config_t *reply, mr_ms_t sent)
{
    mr_config_confirming_t *confirming = &store->confirming;
    mr_config_head_t staged;
    mr_json_problem_t problem;

    (void)sent;
    confirming->open--;
    if (reply == NULL || confirming->value.version == 0) {
        return;
    }
    json_t *value = mr_json_parse(reply->staged_head.data,
                                  reply->staged_head.len, &problem);
    bool same = value != NULL && mr_config_head_read(value, &staged, &problem)
                && staged.version == confirming->value.version
                && strcmp(staged.hash, confirming->value.hash) == 0;
    json_decref(value);
    if (same) {
        g_hash_table_add(confirming->holders, mr_strdup(name));
    }
}

/* Asks members that are not known to hold the version; returns their number.
 */
static size_t
ask_members(mr_config_store_t *store)
{
    const mr_member_t *members[MR_CONFIG_MEMBERS_MAX];
    mr_config_confirming_t *confirming = &store->confirming;
    bool asking = confirming->open > 0;
    size_t missing = 0;
    size_t count =
        mr_members_usable(store->options.members, "config", store->data_centre,
                          members, MR_CONFIG_MEMBERS_MAX);

    for (size_t i = 0; i < count; i++) {
        if (strcmp(members[i]->name, store->name) == 0
            || g_hash_table_contains(confirming->holders, members[i]->name)) {
            continue;
        }
        missing++;
        if (!asking) {
            confirming->open++;
            mr_config_store_ask(store, members[i], INT64_MAX,
                                on_holder_answer);
        }
    }
    return missing;
}

static void
on_written(void *ctx, mr_error_kind_t error, int64_t revision, json_t *value)
{
    mr_config_confirming_t *confirming = ctx;

    (void)revision;
    (void)value;
    confirming->writing = false;
    if (error == MR_OK) {
        mr_counter_add(confirming->store->counters.confirmed, 1);
        mr_log(MR_LOG_INFO, "config_confirmed", "version=%lld hash=%.12s",
               (long long)confirming->value.version, confirming->value.hash);
    }
    /* Anything else: the next poll reads the row back. */
}

static void
write_row(mr_config_store_t *store, const mr_config_confirm_row_t *row)
{
    mr_config_confirming_t *confirming = &store->confirming;
    char *name =
        mr_asprintf(MR_CONFIG_ROW_CONFIRM_PREFIX "%s", store->data_centre);
    json_t *value = mr_config_confirm_write(&confirming->value);

    confirming->writing = true;
    mr_platform_row_put(store->options.platform, name, row->revision, value,
                        on_written, confirming);
    json_decref(value);
    free(name);
}

void
mr_config_store_confirm(mr_config_store_t *store,
                        const mr_config_confirm_row_t *row, size_t rank)
{
    mr_config_confirming_t *confirming = &store->confirming;
    const mr_config_held_t *staged = &store->staged;
    mr_ms_t now = mr_clock_now(NULL);

    if (confirming->writing) {
        return;
    }
    if (staged->config == NULL
        || (row->readable && row->value.version == staged->head.version
            && strcmp(row->value.hash, staged->head.hash) == 0)) {
        reset(confirming);
        return;
    }
    if (confirming->value.version != staged->head.version
        || strcmp(confirming->value.hash, staged->head.hash) != 0) {
        reset(confirming);
        confirming->value.version = staged->head.version;
        strcpy(confirming->value.hash, staged->head.hash);
        confirming->since = now;
    }
    if (now < confirming->since + (mr_ms_t)rank * RANK_DELAY_MS) {
        return;
    }
    if (ask_members(store) > 0) {
        if (now < confirming->since + MEMBERS_WAIT_MS) {
            return;
        }
        mr_counter_add(store->counters.confirm_incomplete, 1);
    }
    write_row(store, row);
}
