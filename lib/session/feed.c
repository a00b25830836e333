#include "session/feed.h"

#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/mem.h"

enum {
    FEED_WAIT_MS = 20000, /* the store allows 30 s */
    /* Pause after a failed call. */
    RETRY_FIRST_MS = 200,
    RETRY_MAX_MS = 1600,
    /* Databases may receive work for 7 s after they registered as draining. */
    REGISTRATIONS_PERIOD_MS = 2500,
    REFRESH_GAP_MS = 400, /* least time between two readings */
};

static const char config_table[] = "op";
static const char config_key[] = "config";
static const char registrations_table[] = "servers";

struct mr_feed {
    mr_feed_options_t options;
    struct event *config_timer;
    struct event *registrations_timer;
    mr_ms_t config_retry;
    mr_ms_t read_at; /* last start of a reading of the registrations */
    bool reading;
    bool have_registrations;
    int64_t after;   /* store version that the feed continues from; 0: read
                        the row itself */
    int64_t version; /* of the newest desired state */
    mr_counter_t *malformed;
};

static void
set_timer(struct event *timer, mr_ms_t after)
{
    struct timeval tv = mr_clock_timeval(after);

    evtimer_add(timer, &tv);
}

static void
apply_config(mr_feed_t *feed, const mr_store_row_t *row)
{
    const char *problem;
    mr_catalog_t *catalog = mr_catalog_decode(row->value, row->len, &problem);

    if (catalog == NULL) {
        mr_counter_add(feed->malformed, 1);
        mr_log(MR_LOG_ERROR, "configuration_malformed", "problem=\"%s\"",
               problem);
        return;
    }
    if (catalog->version > feed->version) {
        mr_log(MR_LOG_INFO, "configuration_applied",
               "version=%lld before=%lld row_version=%lld",
               (long long)catalog->version, (long long)feed->version,
               (long long)row->version);
        feed->version = catalog->version;
        catalog->row_version = row->version;
        feed->options.on_catalog(feed->options.ctx, catalog);
    }
    mr_catalog_unref(catalog);
}

static void
on_config(void *ctx, const mr_store_answer_t *answer)
{
    mr_feed_t *feed = ctx;

    if (answer->error == MR_ERR_NOT_FOUND) {
        mr_log(MR_LOG_INFO, "feed_history_gone", "after=%lld",
               (long long)feed->after);
        feed->after = 0;
        set_timer(feed->config_timer, 0);
        return;
    }
    if (answer->error != MR_OK) {
        feed->config_retry =
            feed->config_retry == 0 ? RETRY_FIRST_MS : feed->config_retry * 2;
        if (feed->config_retry > RETRY_MAX_MS) {
            feed->config_retry = RETRY_MAX_MS;
        }
        set_timer(feed->config_timer, feed->config_retry);
        return;
    }
    feed->config_retry = 0;
    for (size_t i = 0; i < answer->count; i++) {
        const mr_store_row_t *row = &answer->rows[i];
        if (strcmp(row->key, config_key) == 0 && !row->deleted) {
            apply_config(feed, row);
        }
    }
    feed->after = answer->version;
    set_timer(feed->config_timer, feed->version == 0 ? RETRY_FIRST_MS : 0);
}

static void
on_config_timer(evutil_socket_t fd, short what, void *ctx)
{
    mr_feed_t *feed = ctx;

    (void)fd;
    (void)what;
    if (feed->after == 0 || feed->version == 0) {
        mr_store_get(feed->options.store, config_table, config_key, on_config,
                     feed);
        return;
    }
    mr_store_feed(feed->options.store, config_table, feed->after, FEED_WAIT_MS,
                  on_config, feed);
}

static void
apply_registrations(mr_feed_t *feed, const mr_store_answer_t *answer)
{
    mr_clusters_begin(feed->options.clusters, answer->version);
    for (size_t i = 0; i < answer->count; i++) {
        const mr_store_row_t *row = &answer->rows[i];
        mr_db_entry_t entry;
        mr_db_entry_doc_t *doc =
            mr_db_entry_decode(row->value, row->len, &entry);
        if (doc == NULL) {
            mr_counter_add(feed->malformed, 1);
            continue;
        }
        mr_clusters_add(feed->options.clusters, row->key, &entry,
                        row->version);
        mr_db_entry_release(doc);
    }
    mr_clusters_end(feed->options.clusters);
    feed->have_registrations = answer->count > 0;
}

static void
on_registrations(void *ctx, const mr_store_answer_t *answer)
{
    mr_feed_t *feed = ctx;

    feed->reading = false;
    if (answer->error == MR_OK) {
        apply_registrations(feed, answer);
    }
    set_timer(feed->registrations_timer, feed->have_registrations
                                             ? REGISTRATIONS_PERIOD_MS
                                             : RETRY_FIRST_MS);
}

static void
on_registrations_timer(evutil_socket_t fd, short what, void *ctx)
{
    mr_feed_t *feed = ctx;

    (void)fd;
    (void)what;
    feed->reading = true;
    feed->read_at = mr_clock_now(NULL);
    mr_store_get(feed->options.store, registrations_table, NULL,
                 on_registrations, feed);
}

mr_feed_t *
mr_feed_create(const mr_feed_options_t *options)
{
    mr_feed_t *feed = MR_NEW(mr_feed_t);

    feed->options = *options;
    feed->malformed =
        mr_counters_get(options->counters, "masticrelay_rows_ignored_total",
                        "", "desired states and registrations not understood");
    feed->config_timer = evtimer_new(options->base, on_config_timer, feed);
    feed->registrations_timer =
        evtimer_new(options->base, on_registrations_timer, feed);
    set_timer(feed->config_timer, 0);
    set_timer(feed->registrations_timer, 0);
    return feed;
}

void
mr_feed_destroy(mr_feed_t *feed)
{
    if (feed == NULL) {
        return;
    }
    event_free(feed->config_timer);
    event_free(feed->registrations_timer);
    free(feed);
}

void
mr_feed_refresh(mr_feed_t *feed)
{
    mr_ms_t due = feed->read_at + REFRESH_GAP_MS - mr_clock_now(NULL);

    if (!feed->reading) {
        set_timer(feed->registrations_timer, due > 0 ? due : 0);
    }
}

bool
mr_feed_complete(const mr_feed_t *feed)
{
    return feed->version > 0 && feed->have_registrations;
}
