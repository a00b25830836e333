#include "common_target_replication.h"

#include <event2/buffer.h>
#include <event2/http.h>

#include "common/address.h"
#include "common/mem.h"

enum {
    HEARTBEAT_MS = 50,
    RETRY_MS = 50,
    TIMEOUT_MS = 500,
    BATCH_ENTRIES = 500,
};

struct target_peer {
    target_replication_t *replication;
    struct evhttp_connection *http;
    struct event *timer;
    char address[MR_ADDRESS_MAX_BYTES];
    bool in_progress;
    int64_t term; /* term for which base is valid; 0: none yet */
    int64_t base; /* position up to which the peer's log is assumed to match */
    int64_t backtrack_step; /* decrement of base at the next mismatch */
    int64_t sent_entries;   /* entries in the request in progress */
    int64_t sent_term;      /* term of that request */
};

static void send_due_entries(target_peer_t *peer, bool heartbeat);

static void
set_timer(target_peer_t *peer, mr_ms_t delay)
{
    struct timeval tv = mr_clock_timeval(delay);

    event_add(peer->timer, &tv);
}

static void
handle_answer(target_peer_t *peer, struct evhttp_request *req)
{
    target_log_t *log = peer->replication->log;
    struct evbuffer *body = evhttp_request_get_input_buffer(req);
    json_int_t term = 0;
    json_int_t position = 0;
    json_t *answer = json_loadb((char *)evbuffer_pullup(body, -1),
                                evbuffer_get_length(body), 0, NULL);

    if (json_unpack(answer, "{s{sI, sI}}", "state", "term", &term, "position",
                    &position)
        == 0) {
        if (term > log->term) {
            target_log_set_term(log, term, false);
        }
        else if (peer->sent_term != log->term) {
            /* The answer belongs to an earlier term. */
        }
        else if (evhttp_request_get_response_code(req) == HTTP_OK) {
            peer->base += peer->sent_entries;
            peer->backtrack_step = 1;
        }
        else {
            peer->base =
                MAX(0, MIN(peer->base - peer->backtrack_step, position));
            peer->backtrack_step *= 2;
        }
    }
    json_decref(answer);
}

static void
on_answer(struct evhttp_request *req, void *ctx)
{
    target_peer_t *peer = ctx;

    peer->in_progress = false;
    if (req == NULL || evhttp_request_get_response_code(req) == 0) {
        set_timer(peer, RETRY_MS);
        return;
    }
    handle_answer(peer, req);
    send_due_entries(peer, false);
}

/* Returns the entries that are due; lowers @wait to the time until the next
 * one. */
static json_t *
collect_due_entries(target_peer_t *peer, mr_ms_t *wait)
{
    target_log_t *log = peer->replication->log;
    json_t *list = json_array();
    mr_ms_t now = mr_clock_now(NULL);

    for (int64_t i = peer->base;
         i < target_log_position(log) && i < peer->base + BATCH_ENTRIES; i++) {
        target_entry_t *entry = g_ptr_array_index(log->entries, i);
        mr_ms_t due = entry->appended_at + peer->replication->lag_ms;

        if (entry->appended_at != 0 && due > now) {
            *wait = MIN(*wait, due - now);
            break;
        }
        json_array_append_new(list, json_pack("{sI, sO}", "term",
                                              (json_int_t)entry->term,
                                              "statement", entry->statement));
    }
    return list;
}

static void
send_entries(target_peer_t *peer, json_t *entries)
{
    target_log_t *log = peer->replication->log;
    struct evhttp_request *req = evhttp_request_new(on_answer, peer);
    json_t *body = json_pack("{sI, sI, sI, sO}", "term", (json_int_t)log->term,
                             "base", (json_int_t)peer->base, "base_term",
                             (json_int_t)target_log_term_at(log, peer->base),
                             "entries", entries);
    char *text = json_dumps(body, JSON_COMPACT);

    evbuffer_add_printf(evhttp_request_get_output_buffer(req), "%s", text);
    evhttp_add_header(evhttp_request_get_output_headers(req), "Host",
                      peer->address);
    peer->in_progress = true;
    peer->sent_entries = (int64_t)json_array_size(entries);
    peer->sent_term = log->term;
    if (evhttp_make_request(peer->http, req, EVHTTP_REQ_POST, "/replicate")
        != 0) {
        peer->in_progress = false;
        set_timer(peer, RETRY_MS);
    }
    free(text);
    json_decref(body);
}

/* Sends the entries that are due. @heartbeat: send a request even without
 * entries. */
static void
send_due_entries(target_peer_t *peer, bool heartbeat)
{
    target_log_t *log = peer->replication->log;
    mr_ms_t wait = HEARTBEAT_MS;

    if (peer->in_progress || !log->primary || peer->replication->hold) {
        return;
    }
    if (peer->term != log->term) {
        peer->term = log->term;
        peer->base = target_log_position(log);
        peer->backtrack_step = 1;
        heartbeat = true;
    }
    json_t *entries = collect_due_entries(peer, &wait);
    if (heartbeat || json_array_size(entries) > 0) {
        send_entries(peer, entries);
    }
    else {
        set_timer(peer, wait);
    }
    json_decref(entries);
}

static void
on_timer(evutil_socket_t fd, short what, void *ctx)
{
    target_peer_t *peer = ctx;

    (void)fd;
    (void)what;
    send_due_entries(peer, true);
}

bool
target_replication_start(target_replication_t *replication, const char *peers)
{
    char **list = g_strsplit(peers, ",", TARGET_PEERS_MAX);
    struct timeval timeout = mr_clock_timeval(TIMEOUT_MS);
    bool valid = true;

    for (char **it = list; *it != NULL && valid; it++) {
        char ip[MR_ADDRESS_MAX_BYTES];
        int port;

        valid = mr_address_split(*it, ip, &port);
        if (valid) {
            target_peer_t *peer = MR_NEW(target_peer_t);

            peer->replication = replication;
            snprintf(peer->address, sizeof(peer->address), "%s", *it);
            peer->timer = evtimer_new(replication->base, on_timer, peer);
            peer->http = evhttp_connection_base_new(replication->base, NULL,
                                                    ip, (uint16_t)port);
            evhttp_connection_set_timeout_tv(peer->http, &timeout);
            replication->peers[replication->peer_count++] = peer;
        }
    }
    g_strfreev(list);
    return valid;
}

void
target_replication_notify(target_replication_t *replication)
{
    for (size_t i = 0; i < replication->peer_count; i++) {
        send_due_entries(replication->peers[i], false);
    }
}

const char *
target_replication_receive(target_log_t *log, int64_t term, int64_t base,
                           int64_t base_term, json_t *entries)
{
    size_t index;
    json_t *item;

    if (term < log->term) {
        return "wrong_term";
    }
    if (term > log->term) {
        target_log_set_term(log, term, false);
    }
    if (base < 0 || base > target_log_position(log)
        || target_log_term_at(log, base) != base_term) {
        return "mismatch";
    }
    json_array_foreach(entries, index, item)
    {
        int64_t position = base + 1 + (int64_t)index;
        int64_t entry_term = json_integer_value(json_object_get(item, "term"));

        /* A delayed request must not remove the entries that follow those
         * it repeats. */
        if (target_log_term_at(log, position) == entry_term) {
            continue;
        }
        target_log_truncate(log, position - 1);
        target_log_append(log, entry_term, json_object_get(item, "statement"));
    }
    return NULL;
}
