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
    target_replication_t *owner;
    struct evhttp_connection *http;
    struct event *timer;
    char address[MR_ADDRESS_MAX_BYTES];
    bool busy;
    int64_t term;      /* under which base is meant; 0: none yet */
    int64_t base;      /* position up to which the peer's log is known */
    int64_t step;      /* how far base goes back at the next mismatch */
    int64_t sent;      /* entries in the request that is under way */
    int64_t sent_term; /* term of that request */
};

static void send_due(target_peer_t *peer, bool heartbeat);

static void
set_timer(target_peer_t *peer, mr_ms_t delay)
{
    struct timeval tv = mr_clock_timeval(delay);

    event_add(peer->timer, &tv);
}

static void
read_answer(target_peer_t *peer, struct evhttp_request *req)
{
    target_log_t *log = peer->owner->log;
    struct evbuffer *body = evhttp_request_get_input_buffer(req);
    json_int_t term = 0;
    json_int_t position = 0;
    json_t *answer = json_loadb((char *)evbuffer_pullup(body, -1),
                                evbuffer_get_length(body), 0, NULL);

    if (json_unpack(answer, "{s{sI, sI}}", "state", "term", &term, "position",
                    &position)
        == 0) {
        if (term > log->term) {
            target_log_raise_term(log, term, false);
        }
        else if (peer->sent_term != log->term) {
            /* The answer belongs to an earlier term. */
        }
        else if (evhttp_request_get_response_code(req) == HTTP_OK) {
            peer->base += peer->sent;
            peer->step = 1;
        }
        else {
            peer->base = MAX(0, MIN(peer->base - peer->step, position));
            peer->step *= 2;
        }
    }
    json_decref(answer);
}

static void
on_answer(struct evhttp_request *req, void *ctx)
{
    target_peer_t *peer = ctx;

    peer->busy = false;
    if (req == NULL || evhttp_request_get_response_code(req) == 0) {
        set_timer(peer, RETRY_MS);
        return;
    }
    read_answer(peer, req);
    send_due(peer, false);
}

/** take_entries() - the entries that are due; @wait receives the time until
 * the next one is. */
static json_t *
take_entries(target_peer_t *peer, mr_ms_t *wait)
{
    target_log_t *log = peer->owner->log;
    json_t *list = json_array();
    mr_ms_t now = mr_clock_now(NULL);

    for (int64_t i = peer->base;
         i < target_log_position(log) && i < peer->base + BATCH_ENTRIES; i++) {
        target_entry_t *entry = g_ptr_array_index(log->entries, i);
        mr_ms_t due = entry->written + peer->owner->lag_ms;

        if (entry->written != 0 && due > now) {
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
    target_log_t *log = peer->owner->log;
    struct evhttp_request *req = evhttp_request_new(on_answer, peer);
    json_t *body = json_pack("{sI, sI, sI, sO}", "term", (json_int_t)log->term,
                             "base", (json_int_t)peer->base, "base_term",
                             (json_int_t)target_log_term_at(log, peer->base),
                             "entries", entries);
    char *text = json_dumps(body, JSON_COMPACT);

    evbuffer_add_printf(evhttp_request_get_output_buffer(req), "%s", text);
    evhttp_add_header(evhttp_request_get_output_headers(req), "Host",
                      peer->address);
    peer->busy = true;
    peer->sent = (int64_t)json_array_size(entries);
    peer->sent_term = log->term;
    if (evhttp_make_request(peer->http, req, EVHTTP_REQ_POST, "/replicate")
        != 0) {
        peer->busy = false;
        set_timer(peer, RETRY_MS);
    }
    free(text);
    json_decref(body);
}

/** send_due() - send what is due; @heartbeat: send even if nothing is. */
static void
send_due(target_peer_t *peer, bool heartbeat)
{
    target_log_t *log = peer->owner->log;
    mr_ms_t wait = HEARTBEAT_MS;

    if (peer->busy || !log->primary || peer->owner->hold) {
        return;
    }
    if (peer->term != log->term) {
        peer->term = log->term;
        peer->base = target_log_position(log);
        peer->step = 1;
        heartbeat = true;
    }
    json_t *entries = take_entries(peer, &wait);
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
    send_due(peer, true);
}

bool
target_replication_start(target_replication_t *replication, const char *peers)
{
    char **list = g_strsplit(peers, ",", TARGET_PEERS_MAX);
    struct timeval timeout = mr_clock_timeval(TIMEOUT_MS);
    bool good = true;

    for (char **it = list; *it != NULL && good; it++) {
        char ip[MR_ADDRESS_MAX_BYTES];
        int port;

        good = mr_address_split(*it, ip, &port);
        if (good) {
            target_peer_t *peer = MR_NEW(target_peer_t);

            peer->owner = replication;
            snprintf(peer->address, sizeof(peer->address), "%s", *it);
            peer->timer = evtimer_new(replication->base, on_timer, peer);
            peer->http = evhttp_connection_base_new(replication->base, NULL,
                                                    ip, (uint16_t)port);
            evhttp_connection_set_timeout_tv(peer->http, &timeout);
            replication->peers[replication->peer_count++] = peer;
        }
    }
    g_strfreev(list);
    return good;
}

void
target_replication_wake(target_replication_t *replication)
{
    for (size_t i = 0; i < replication->peer_count; i++) {
        send_due(replication->peers[i], false);
    }
}

const char *
target_replication_accept(target_log_t *log, int64_t term, int64_t base,
                          int64_t base_term, json_t *entries)
{
    size_t index;
    json_t *item;

    if (term < log->term) {
        return "wrong_term";
    }
    if (term > log->term) {
        target_log_raise_term(log, term, false);
    }
    if (base < 0 || base > target_log_position(log)
        || target_log_term_at(log, base) != base_term) {
        return "mismatch";
    }
    json_array_foreach(entries, index, item)
    {
        int64_t position = base + 1 + (int64_t)index;
        int64_t entry_term = json_integer_value(json_object_get(item, "term"));

        /* An entry that is already held stays, so that a late request
         * does not remove what came after it. */
        if (target_log_term_at(log, position) == entry_term) {
            continue;
        }
        target_log_truncate(log, position - 1);
        target_log_append(log, entry_term, json_object_get(item, "statement"));
    }
    return NULL;
}
