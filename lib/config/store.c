#include "config/store_internal.h"

#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/mem.h"

static void
create_counters(mr_config_store_t *store)
{
    mr_counters_t *set = store->options.counters;
    mr_config_store_counters_t *c = &store->counters;

    c->polls = mr_counters_get(set, "masticrelay_config_polls_total", "",
                               "reads of the configuration rows");
    c->poll_failures =
        mr_counters_get(set, "masticrelay_config_poll_failures_total", "",
                        "reads of the configuration rows without an answer");
    c->applied = mr_counters_get(set, "masticrelay_config_applied_total", "",
                                 "configuration versions put in force");
    c->staged = mr_counters_get(set, "masticrelay_config_staged_total", "",
                                "approved versions staged");
    c->confirmed = mr_counters_get(set, "masticrelay_config_confirmed_total",
                                   "", "confirmation rows written");
    c->confirm_incomplete = mr_counters_get(
        set, "masticrelay_config_confirm_incomplete_total", "",
        "confirmations written while a member had not answered");
    c->pushes_sent = mr_counters_get(
        set, "masticrelay_config_pushes_sent_total", "", "pushes sent");
    c->pushes_received =
        mr_counters_get(set, "masticrelay_config_pushes_received_total", "",
                        "pushes received");
    c->peer_reads = mr_counters_get(set, "masticrelay_config_peer_reads_total",
                                    "", "configuration reads from peers");
    c->patches =
        mr_counters_get(set, "masticrelay_config_patches_total", "",
                        "bodies received as patches of the one in force");
    c->version = mr_counters_get(set, "masticrelay_config_version", "",
                                 "configuration version in force");
}

void
mr_config_store_refuse(mr_config_store_t *store, const char *reason,
                       int64_t version, const char *hash)
{
    char labels[64];
    char refusal[sizeof(store->last_refusal)];

    snprintf(labels, sizeof(labels), "reason=\"%s\"", reason);
    mr_counter_add(mr_counters_get(store->options.counters,
                                   "masticrelay_config_refused_total", labels,
                                   "configuration versions refused"),
                   1);
    snprintf(refusal, sizeof(refusal), "%s %lld %.12s", reason,
             (long long)version, hash);
    if (strcmp(refusal, store->last_refusal) != 0) {
        strcpy(store->last_refusal, refusal);
        mr_log(MR_LOG_WARNING, MR_EVENT_CONFIG_REFUSED,
               "reason=%s version=%lld hash=%.12s", reason, (long long)version,
               hash);
    }
}

mr_config_store_t *
mr_config_store_create(const mr_config_store_options_t *options)
{
    mr_config_store_t *store = MR_NEW(mr_config_store_t);

    store->options = *options;
    store->data_centre = mr_strdup(options->data_centre);
    store->name = mr_strdup(options->name);
    memcpy(store->approver_key, options->approver_key,
           sizeof(store->approver_key));
    store->options.data_centre = store->data_centre;
    store->options.name = store->name;
    store->options.approver_key = store->approver_key;
    store->subscribers =
        g_array_new(FALSE, FALSE, sizeof(mr_config_subscriber_t));
    store->body_read.store = store;
    mr_config_store_confirm_open(store);
    mr_list_init(&store->peer_calls);
    create_counters(store);
    mr_peer_handle(options->peer, MR_MSG_CONFIG_FETCH,
                   mr_config_store_on_fetch, store);
    mr_peer_handle(options->peer, MR_MSG_CONFIG_PUSH, mr_config_store_on_push,
                   store);
    mr_members_on_config_version(options->members, mr_config_store_on_version,
                                 store);
    store->tick = evtimer_new(options->base, mr_config_store_tick, store);
    event_active(store->tick, EV_TIMEOUT, 0);
    return store;
}

void
mr_config_store_destroy(mr_config_store_t *store)
{
    if (store == NULL) {
        return;
    }
    mr_peer_handle(store->options.peer, MR_MSG_CONFIG_FETCH, NULL, NULL);
    mr_peer_handle(store->options.peer, MR_MSG_CONFIG_PUSH, NULL, NULL);
    mr_members_on_config_version(store->options.members, NULL, NULL);
    mr_platform_cancel(store->options.platform, store);
    mr_platform_cancel(store->options.platform, &store->body_read);
    mr_config_store_confirm_close(store);
    mr_config_store_cancel_peer_calls(store);
    event_free(store->tick);
    g_array_free(store->subscribers, TRUE);
    mr_config_loaded_clear(&store->current);
    mr_config_loaded_clear(&store->staged);
    mr_config_loaded_clear(&store->previous);
    free(store->survey.best);
    free(store->data_centre);
    free(store->name);
    free(store);
}

mr_config_t *
mr_config_store_current(const mr_config_store_t *store)
{
    return store->current.config;
}

void
mr_config_store_subscribe(mr_config_store_t *store, mr_config_change_fn_t fn,
                          void *ctx)
{
    mr_config_subscriber_t subscriber = {fn, ctx};

    g_array_append_val(store->subscribers, subscriber);
    if (store->current.config != NULL) {
        fn(ctx, store->current.config);
    }
}

void
mr_config_store_unsubscribe(mr_config_store_t *store, const void *ctx)
{
    for (guint i = store->subscribers->len; i > 0; i--) {
        if (g_array_index(store->subscribers, mr_config_subscriber_t, i - 1)
                .ctx
            == ctx) {
            g_array_remove_index(store->subscribers, i - 1);
        }
    }
}

/* An approved staged version is treated as confirmed, whether or not this
 * instance knows of the confirmation: the confirmation write can have an
 * unknown outcome, and the version may be accepted from then on. */
bool
mr_config_store_key_revoked(const mr_config_store_t *store, const char *key_id)
{
    const mr_config_account_t *account = NULL;
    const mr_config_account_t *staged_account = NULL;

    if (store->current.config == NULL || store->staged.config == NULL
        || mr_config_store_contact_age(store)
               < MR_CONFIG_ASSUME_REVOKED_AGE_MS) {
        return false;
    }
    const mr_config_key_t *key =
        mr_config_find_key(store->current.config, key_id, &account);
    if (key == NULL) {
        return false;
    }
    const mr_config_key_t *staged =
        mr_config_find_key(store->staged.config, key_id, &staged_account);
    return staged == NULL
           || memcmp(staged->hash, key->hash, sizeof(key->hash)) != 0
           || strcmp(staged_account->name, account->name) != 0;
}

bool
mr_config_store_paused(const mr_config_store_t *store)
{
    return store->resumed_at != 0
           || (store->last_tick_at != 0
               && mr_clock_now(NULL) - store->last_tick_at
                      >= MR_CONFIG_PAUSE_MS);
}

mr_ms_t
mr_config_store_contact_age(const mr_config_store_t *store)
{
    return store->contact_at == 0 ? INT64_MAX
                                  : mr_clock_now(NULL) - store->contact_at;
}

static json_t *
loaded_status(const mr_config_loaded_t *loaded)
{
    if (loaded->config == NULL) {
        return json_null();
    }
    return json_pack("{s:I,s:s}", "version", (json_int_t)loaded->head.version,
                     "hash", loaded->head.hash);
}

json_t *
mr_config_store_status(const mr_config_store_t *store)
{
    mr_ms_t age = mr_config_store_contact_age(store);

    return json_pack("{s:o,s:o,s:o,s:b}", "current",
                     loaded_status(&store->current), "staged",
                     loaded_status(&store->staged), "contact_age_ms",
                     store->contact_at == 0 ? json_null() : json_integer(age),
                     "poller", (int)store->poller);
}
