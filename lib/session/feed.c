#include "session/feed.h"

#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/mem.h"
#include "common/timer.h"

enum {
    /* How long a feed call waits for the first desired state or registration.
     */
    FIRST_WAIT_MS = 5000,
    /* Pauses after failed calls, doubled up to the maximum. */
    RETRY_FIRST_MS = 200,
    RETRY_MAX_MS = 1600,
    /* Failed readings of the registrations in a row from which on the store
     * counts as failing, so that all instances read them. */
    FAILURES_MAX = 2,
    /* How often registrations are read. Databases accept work for 7 s after
     * they have registered as draining. */
    COORDINATOR_PERIOD_MS = 1000,
    ISOLATED_PERIOD_MS = 2000,
    REFRESH_INTERVAL_MIN_MS = 400, /* between reads on request */
    /* Pause after a desired state was read, in multiples of the time that its
     * transfer and its decoding take, so that a series of changes leaves most
     * of the link and of the processor to requests. */
    PAUSE_FACTOR = 3,
    PAUSE_MAX_MS = 600,
    LINK_DEFAULT_MBPS = 10,
    /* A call that took longer than this and its wait may have failed as the
     * process was suspended; the store may be within reach. */
    FAILED_CALL_MAX_MS = 2500,
};

static const char config_table[] = "op";
static const char config_key[] = "config";
static const char registrations_table[] = "servers";

struct mr_feed {
    mr_feed_options_t options;
    mr_feed_role_t role;
    struct event *config_timer;
    struct event *registrations_timer;
    mr_ms_t config_retry_ms;
    bool config_waiting;        /* for an answer */
    bool registrations_waiting; /* for an answer, or a first registration */
    bool config_history_gone;   /* the whole table is read next */
    bool config_table_called;   /* the call reads the whole table */
    mr_revision_t config_after; /* the call reads changes after it */
    int registrations_failures; /* consecutive ones */
    mr_ms_t config_called_at;
    mr_ms_t config_wait; /* of the call, for a change */
    mr_ms_t registrations_read_at;
};

static mr_config_reader_t
config_reader(const mr_feed_t *feed)
{
    switch (feed->role) {
    case MR_FEED_ISOLATED:
    case MR_FEED_COORDINATOR:
        return MR_CONFIG_FOLLOWER;
    case MR_FEED_DEPUTY:
    case MR_FEED_SUBSTITUTE:
        return MR_CONFIG_DEPUTY;
    case MR_FEED_NONE:
        return MR_CONFIG_LISTENER;
    }
    return MR_CONFIG_FOLLOWER;
}

/* Returns the revision after which changes of the desired state or of the
 * evacuations may be missing; version 0: the whole table has to be read. */
static mr_revision_t
known_until(const mr_feed_t *feed)
{
    const mr_confirmation_t *confirmation =
        mr_directory_confirmation(feed->options.directory);
    bool lacks = mr_directory_config_version(feed->options.directory)
                     < confirmation->config_version
                 || mr_directory_lacks_evacuations(feed->options.directory);

    return lacks || feed->config_history_gone ? (mr_revision_t){0}
                                              : confirmation->revision;
}

/* Pause after the answer with @bytes of contents, which took @decoding. */
static mr_ms_t
config_pause(const mr_feed_t *feed, size_t bytes, mr_ms_t decoding)
{
    int64_t mbps = feed->options.link_mbps > 0 ? feed->options.link_mbps
                                               : LINK_DEFAULT_MBPS;
    mr_ms_t transfer = (mr_ms_t)bytes * 8 / (mbps * 1000);
    mr_ms_t pause = PAUSE_FACTOR * (transfer + decoding);

    return pause < PAUSE_MAX_MS ? pause : PAUSE_MAX_MS;
}

/* Applies the evacuations and the newest desired state in @answer, if there is
 * one, and records until when there is none newer. Returns false if the whole
 * table has to be read. */
static bool
apply_config(mr_feed_t *feed, const mr_store_answer_t *answer, mr_ms_t now)
{
    mr_directory_t *directory = feed->options.directory;
    mr_ms_t confirmed_at = mr_confirmation_of_answer(
        feed->config_called_at, feed->config_wait, answer->count > 0, now);
    bool applied = false;

    if (!mr_directory_set_evacuations(directory, feed->config_after,
                                      answer->revision, answer->rows,
                                      answer->count)) {
        return false;
    }
    for (size_t i = answer->count; i > 0 && !applied; i--) {
        const mr_store_row_t *row = &answer->rows[i - 1];
        if (strcmp(row->key, config_key) == 0 && !row->deleted) {
            applied = mr_directory_set_config(directory, row->value, row->len,
                                              "store");
        }
    }
    mr_directory_confirm_config(directory, answer->revision, confirmed_at);
    return true;
}

/* Reads the whole table next. */
static void
read_table(mr_feed_t *feed)
{
    mr_log(MR_LOG_INFO, MR_EVENT_FEED_HISTORY_GONE, "after=%lld",
           (long long)known_until(feed).version);
    feed->config_history_gone = true;
    mr_timer_start(feed->config_timer, 0);
}

static void
on_config(void *ctx, const mr_store_answer_t *answer)
{
    mr_feed_t *feed = ctx;
    mr_ms_t began = mr_clock_now(NULL);
    size_t bytes = 0;

    feed->config_waiting = false;
    if (answer->error == MR_ERR_NOT_FOUND) {
        read_table(feed);
        return;
    }
    if (answer->error != MR_OK) {
        if (began - feed->config_called_at
            <= feed->config_wait + FAILED_CALL_MAX_MS) {
            mr_directory_note_store_failure(feed->options.directory);
        }
        feed->config_retry_ms = feed->config_retry_ms == 0
                                    ? RETRY_FIRST_MS
                                    : feed->config_retry_ms * 2;
        if (feed->config_retry_ms > RETRY_MAX_MS) {
            feed->config_retry_ms = RETRY_MAX_MS;
        }
        mr_timer_start(feed->config_timer, feed->config_retry_ms);
        return;
    }
    feed->config_retry_ms = 0;
    feed->config_history_gone = false;
    for (size_t i = 0; i < answer->count; i++) {
        bytes += answer->rows[i].len;
    }
    if (!apply_config(feed, answer, began)) {
        read_table(feed);
        return;
    }
    mr_ms_t pause = config_pause(feed, bytes, mr_clock_now(NULL) - began);
    /* Only a call that waits for a change is followed at once by another one.
     */
    if (pause < RETRY_FIRST_MS
        && (feed->config_table_called || feed->config_wait == 0)) {
        pause = RETRY_FIRST_MS;
    }
    mr_timer_start(feed->config_timer, pause);
}

static void
on_config_timer(evutil_socket_t fd, short what, void *ctx)
{
    mr_feed_t *feed = ctx;
    mr_directory_t *directory = feed->options.directory;
    mr_config_reader_t reader = config_reader(feed);
    mr_ms_t now = mr_clock_now(NULL);

    (void)fd;
    (void)what;
    if (feed->config_waiting) {
        return;
    }
    mr_ms_t due = mr_confirmation_due(mr_directory_confirmation(directory),
                                      reader, feed->options.apply_max, now);
    if (due > 0) {
        mr_timer_start(feed->config_timer, due);
        return;
    }
    if (reader != MR_CONFIG_FOLLOWER) {
        const mr_confirmation_t *known = mr_directory_confirmation(directory);
        mr_log(MR_LOG_INFO, MR_EVENT_CONFIGURATION_UNCONFIRMED,
               "age_ms=%lld version=%lld known=%lld",
               (long long)(now - known->held_at),
               (long long)mr_directory_config_version(directory),
               (long long)known->config_version);
    }
    feed->config_waiting = true;
    feed->config_called_at = now;
    feed->config_wait = 0;
    mr_revision_t after = known_until(feed);
    feed->config_table_called = after.version == 0;
    feed->config_after = after;
    if (feed->config_table_called) {
        mr_store_get(feed->options.store, config_table, NULL, on_config, feed);
        return;
    }
    if (reader == MR_CONFIG_FOLLOWER) {
        feed->config_wait =
            mr_directory_config_version(directory) == 0
                ? FIRST_WAIT_MS
                : mr_confirmation_wait(feed->options.apply_max);
    }
    mr_store_feed(feed->options.store, config_table, after, feed->config_wait,
                  on_config, feed);
}

/* A database has registered, or the wait for one has timed out. */
static void
on_first_registration(void *ctx, const mr_store_answer_t *answer)
{
    mr_feed_t *feed = ctx;

    feed->registrations_waiting = false;
    mr_timer_start(feed->registrations_timer,
                   answer->error == MR_OK ? 0 : RETRY_FIRST_MS);
}

static void
on_registrations(void *ctx, const mr_store_answer_t *answer)
{
    mr_feed_t *feed = ctx;

    feed->registrations_waiting = false;
    if (answer->error != MR_OK) {
        bool first = feed->registrations_failures++ == 0;
        if (!mr_directory_has_registrations(feed->options.directory)) {
            mr_timer_start(feed->registrations_timer, RETRY_FIRST_MS);
            return;
        }
        mr_timer_start(feed->registrations_timer,
                       first ? REFRESH_INTERVAL_MIN_MS : ISOLATED_PERIOD_MS);
        return;
    }
    feed->registrations_failures = 0;
    mr_directory_set_registrations(feed->options.directory, answer->revision,
                                   answer->rows, answer->count);
    if (!mr_directory_has_registrations(feed->options.directory)) {
        feed->registrations_waiting = true;
        mr_store_feed(feed->options.store, registrations_table,
                      answer->revision, FIRST_WAIT_MS, on_first_registration,
                      feed);
        return;
    }
    mr_timer_start(feed->registrations_timer, feed->role == MR_FEED_COORDINATOR
                                                  ? COORDINATOR_PERIOD_MS
                                                  : ISOLATED_PERIOD_MS);
}

static void
read_registrations(mr_feed_t *feed)
{
    feed->registrations_waiting = true;
    feed->registrations_read_at = mr_clock_now(NULL);
    mr_store_get(feed->options.store, registrations_table, NULL,
                 on_registrations, feed);
}

static void
on_registrations_timer(evutil_socket_t fd, short what, void *ctx)
{
    mr_feed_t *feed = ctx;

    (void)fd;
    (void)what;
    if (feed->registrations_waiting || feed->role == MR_FEED_NONE
        || feed->role == MR_FEED_DEPUTY) {
        return;
    }
    read_registrations(feed);
}

mr_feed_t *
mr_feed_create(const mr_feed_options_t *options)
{
    mr_feed_t *feed = MR_NEW(mr_feed_t);

    feed->options = *options;
    feed->config_timer = evtimer_new(options->base, on_config_timer, feed);
    feed->registrations_timer =
        evtimer_new(options->base, on_registrations_timer, feed);
    mr_timer_start(feed->config_timer, 0);
    mr_timer_start(feed->registrations_timer, 0);
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
mr_feed_set_role(mr_feed_t *feed, mr_feed_role_t role)
{
    if (role == feed->role) {
        return;
    }
    feed->role = role;
    if (!feed->config_waiting && feed->config_retry_ms == 0) {
        mr_timer_start(feed->config_timer, 0);
    }
    if (!feed->registrations_waiting
        && !evtimer_pending(feed->registrations_timer, NULL)) {
        mr_timer_start(feed->registrations_timer, 0);
    }
}

bool
mr_feed_failing(const mr_feed_t *feed)
{
    return feed->registrations_failures >= FAILURES_MAX;
}

void
mr_feed_refresh(mr_feed_t *feed)
{
    mr_ms_t due = feed->registrations_read_at + REFRESH_INTERVAL_MIN_MS
                  - mr_clock_now(NULL);

    if (!feed->registrations_waiting) {
        mr_timer_start(feed->registrations_timer, due > 0 ? due : 0);
    }
}
