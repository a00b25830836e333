#include "session/update.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>
#include <zstd.h>

#include "common/log.h"
#include "common/mem.h"

enum {
    /* Takes 7 ms on a link of 10 Mbit/s. */
    CHUNK_BYTES = 8192,
    CHUNK_TIMEOUT_MS = 600,
    /* Transfers that are served at the same time. Their chunks delay a reply
     * to a report by less than a tenth of its timeout. */
    TRANSFERS_MAX = 4,
    /* A receiver that asks for no chunk for this long has given up. */
    TRANSFER_IDLE_MS = 500,
    /* A transfer is slow if it has taken this long at a lower rate. */
    SLOW_AFTER_MS = 1000,
    SLOW_BYTES_PER_S = CHUNK_BYTES,
    /* How long a source of a transfer that failed is avoided. */
    AVOID_MS = 1500,
    /* Encoded updates that are kept: one for each transfer in progress, so
     * that none of them has to begin again, and one for the next transfer. */
    CACHED_MAX = TRANSFERS_MAX + 1,
    /* Limit of an update, encoded or not. */
    UPDATE_MAX_BYTES = 16 << 20,
    COMPRESSION_LEVEL = 1,
    /* Pause after a desired state was decoded, in multiples of the time that
     * this took. */
    PAUSE_FACTOR = 4,
    PAUSE_MAX_MS = 600,
};

/** An encoded update, as it is sent. */
typedef struct cached_update {
    int64_t id; /* hash of the bytes; 0: unused */
    mr_msg_directory_t from;
    mr_msg_directory_t to;
    mr_bytes_t body;
    mr_ms_t used_at;
} cached_update_t;

/** A transfer to another instance. */
typedef struct transfer {
    char *receiver; /* NULL: unused */
    mr_ms_t asked_at;
} transfer_t;

/** The transfer from another instance that is in progress. */
typedef struct fetch {
    char *address; /* NULL: none */
    char *source;
    mr_peer_call_t *call;
    int64_t id;
    uint8_t *body;
    size_t size;
    size_t received;
    mr_ms_t started_at;
    bool replaceable; /* there is another source */
} fetch_t;

struct mr_updates {
    mr_updates_options_t options;
    cached_update_t cache[CACHED_MAX];
    transfer_t transfers[TRANSFERS_MAX];
    fetch_t fetch;
    char *avoided_address; /* of a source that failed; NULL: none */
    mr_ms_t avoided_until;
    mr_ms_t config_paused_until;
    mr_counter_t *sent_bytes;
    mr_counter_t *received_bytes;
    mr_counter_t *busy_counter;
    mr_counter_t *failed_counter;
};

static void on_fetch(void *ctx, mr_peer_request_t *request,
                     const mr_msg_t *msg, const char *from);

mr_updates_t *
mr_updates_create(const mr_updates_options_t *options)
{
    mr_updates_t *updates = MR_NEW(mr_updates_t);
    mr_counters_t *counters = options->counters;

    updates->options = *options;
    updates->sent_bytes =
        mr_counters_get(counters, "masticrelay_update_sent_bytes_total", "",
                        "chunks of updates sent to other instances");
    updates->received_bytes =
        mr_counters_get(counters, "masticrelay_update_received_bytes_total",
                        "", "chunks of updates received");
    updates->busy_counter =
        mr_counters_get(counters, "masticrelay_update_busy_total", "",
                        "requests for a chunk that were put off");
    updates->failed_counter =
        mr_counters_get(counters, "masticrelay_update_failed_total", "",
                        "transfers of updates that were given up");
    mr_peer_handle(options->peer, MR_MSG_UPDATE_FETCH, on_fetch, updates);
    return updates;
}

static void
clear_cached(cached_update_t *cached)
{
    free((void *)cached->body.data);
    *cached = (cached_update_t){0};
}

static void
clear_fetch(fetch_t *fetch)
{
    free(fetch->address);
    free(fetch->source);
    free(fetch->body);
    *fetch = (fetch_t){0};
}

void
mr_updates_destroy(mr_updates_t *updates)
{
    if (updates == NULL) {
        return;
    }
    for (size_t i = 0; i < CACHED_MAX; i++) {
        clear_cached(&updates->cache[i]);
    }
    for (size_t i = 0; i < TRANSFERS_MAX; i++) {
        free(updates->transfers[i].receiver);
    }
    if (updates->fetch.call != NULL) {
        mr_peer_cancel(updates->fetch.call);
    }
    clear_fetch(&updates->fetch);
    free(updates->avoided_address);
    free(updates);
}

static bool
same_versions(const mr_msg_directory_t *a, const mr_msg_directory_t *b)
{
    return a->config_version == b->config_version
           && a->registrations_digest == b->registrations_digest;
}

/* Compresses the contents of @directory; empty if they exceed the limit. */
static mr_bytes_t
encode_update(const mr_msg_directory_t *directory)
{
    mr_msg_t msg = {.type = MR_MSG_UPDATE, .u.update = *directory};
    msgpack_sbuffer encoded;
    mr_bytes_t body = {0};

    msgpack_sbuffer_init(&encoded);
    mr_msg_encode(&msg, &encoded);
    if (encoded.size <= UPDATE_MAX_BYTES) {
        size_t bound = ZSTD_compressBound(encoded.size);
        void *data = mr_calloc(1, bound);
        size_t len = ZSTD_compress(data, bound, encoded.data, encoded.size,
                                   COMPRESSION_LEVEL);
        if (ZSTD_isError(len)) {
            free(data);
        }
        else {
            body = (mr_bytes_t){mr_realloc(data, len), len};
        }
    }
    msgpack_sbuffer_destroy(&encoded);
    return body;
}

/* Returns the least recently used entry of the cache, emptied. */
static cached_update_t *
replace_cached(mr_updates_t *updates)
{
    cached_update_t *oldest = &updates->cache[0];

    for (size_t i = 1; i < CACHED_MAX; i++) {
        if (updates->cache[i].used_at < oldest->used_at) {
            oldest = &updates->cache[i];
        }
    }
    clear_cached(oldest);
    return oldest;
}

/* Returns the update from the versions @known to the present ones; NULL if
 * there is nothing newer, or with @busy set if memory is short. */
static cached_update_t *
get_update(mr_updates_t *updates, const mr_msg_directory_t *known, mr_ms_t now,
           bool *busy)
{
    mr_msg_directory_t to;

    mr_directory_export(updates->options.directory, NULL, SIZE_MAX, &to);
    for (size_t i = 0; i < CACHED_MAX; i++) {
        cached_update_t *cached = &updates->cache[i];
        if (cached->id != 0 && same_versions(&cached->from, known)
            && same_versions(&cached->to, &to)) {
            cached->used_at = now;
            return cached;
        }
    }
    mr_directory_export(updates->options.directory, known, SIZE_MAX, &to);
    if (!mr_directory_has_contents(&to)) {
        return NULL;
    }
    if (mr_memory_level(updates->options.memory) != MR_MEMORY_NORMAL) {
        *busy = true;
        return NULL;
    }
    mr_bytes_t body = encode_update(&to);
    if (body.len == 0) {
        return NULL;
    }
    cached_update_t *cached = replace_cached(updates);
    *cached = (cached_update_t){
        .id = (int64_t)(XXH3_64bits(body.data, body.len) | 1),
        .from = *known,
        .to = to,
        .body = body,
        .used_at = now,
    };
    return cached;
}

static cached_update_t *
find_update(mr_updates_t *updates, int64_t id)
{
    for (size_t i = 0; id != 0 && i < CACHED_MAX; i++) {
        if (updates->cache[i].id == id) {
            return &updates->cache[i];
        }
    }
    return NULL;
}

/* Returns the transfer to @receiver, a new one if there is room, or NULL. */
static transfer_t *
claim_transfer(mr_updates_t *updates, const char *receiver, mr_ms_t now)
{
    transfer_t *vacant = NULL;

    for (size_t i = 0; i < TRANSFERS_MAX; i++) {
        transfer_t *transfer = &updates->transfers[i];
        if (transfer->receiver != NULL
            && strcmp(transfer->receiver, receiver) == 0) {
            return transfer;
        }
        if (transfer->receiver == NULL
            || now - transfer->asked_at > TRANSFER_IDLE_MS) {
            vacant = transfer;
        }
    }
    if (vacant != NULL) {
        free(vacant->receiver);
        vacant->receiver = mr_strdup(receiver);
    }
    return vacant;
}

static void
end_transfer(transfer_t *transfer)
{
    free(transfer->receiver);
    *transfer = (transfer_t){0};
}

/* Fills in the next chunk of the update that was asked for, or the first one
 * of a newer update. Returns whether chunks are left for the receiver. */
static bool
fill_chunk(mr_updates_t *updates, const mr_msg_update_fetch_t *asked,
           mr_ms_t now, mr_msg_update_chunk_t *chunk)
{
    cached_update_t *update = find_update(updates, asked->id);
    size_t offset = 0;

    if (update != NULL && asked->offset >= 0
        && (uint64_t)asked->offset < update->body.len) {
        offset = (size_t)asked->offset;
        update->used_at = now;
    }
    else {
        update = get_update(updates, &asked->known, now, &chunk->busy);
    }
    if (update == NULL) {
        return false;
    }
    size_t left = update->body.len - offset;
    chunk->id = update->id;
    chunk->size = (int64_t)update->body.len;
    chunk->offset = (int64_t)offset;
    chunk->data = (mr_bytes_t){(const uint8_t *)update->body.data + offset,
                               left < CHUNK_BYTES ? left : CHUNK_BYTES};
    mr_counter_add(updates->sent_bytes, (int64_t)chunk->data.len);
    return left > CHUNK_BYTES;
}

static void
on_fetch(void *ctx, mr_peer_request_t *request, const mr_msg_t *msg,
         const char *from)
{
    mr_updates_t *updates = ctx;
    mr_ms_t now = mr_clock_now(NULL);
    mr_msg_t reply = {.type = MR_MSG_UPDATE_FETCH_REPLY};
    mr_msg_update_chunk_t *chunk = &reply.u.update_chunk;

    if (request == NULL) {
        return;
    }
    transfer_t *transfer = claim_transfer(updates, from, now);
    if (transfer == NULL) {
        chunk->busy = true;
    }
    else {
        transfer->asked_at = now;
        if (!fill_chunk(updates, &msg->u.update_fetch, now, chunk)) {
            end_transfer(transfer);
        }
    }
    mr_counter_add(updates->busy_counter, chunk->busy);
    mr_peer_reply(request, &reply);
}

bool
mr_updates_accepts_config(const mr_updates_t *updates)
{
    return mr_clock_now(NULL) >= updates->config_paused_until;
}

void
mr_updates_import(mr_updates_t *updates, const mr_msg_directory_t *in,
                  const char *source)
{
    mr_directory_t *directory = updates->options.directory;
    int64_t before = mr_directory_config_version(directory);
    mr_ms_t began = mr_clock_now(NULL);

    mr_directory_import(directory, in, source);
    if (mr_directory_config_version(directory) != before) {
        mr_ms_t ended = mr_clock_now(NULL);
        mr_ms_t pause = PAUSE_FACTOR * (ended - began);
        updates->config_paused_until =
            ended + (pause < PAUSE_MAX_MS ? pause : PAUSE_MAX_MS);
    }
}

/* Decompresses and applies the update received. Returns false if it is
 * malformed. */
static bool
apply_update(mr_updates_t *updates, const fetch_t *fetch)
{
    unsigned long long size =
        ZSTD_getFrameContentSize(fetch->body, fetch->size);
    mr_msg_decoded_t holder;
    bool valid = false;

    if (size == 0 || size > UPDATE_MAX_BYTES) {
        return false; /* the results for unknown sizes are larger */
    }
    void *encoded = mr_calloc(1, (size_t)size);
    size_t len =
        ZSTD_decompress(encoded, (size_t)size, fetch->body, fetch->size);
    if (len == size && mr_msg_decode(encoded, len, &holder) == MR_MSG_VALID) {
        valid = holder.msg.type == MR_MSG_UPDATE;
        if (valid) {
            mr_updates_import(updates, &holder.msg.u.update, fetch->source);
        }
        mr_msg_release(&holder);
    }
    free(encoded);
    return valid;
}

static void
give_up(mr_updates_t *updates, const char *reason)
{
    fetch_t *fetch = &updates->fetch;

    mr_counter_add(updates->failed_counter, 1);
    mr_log(MR_LOG_WARNING, MR_EVENT_UPDATE_FAILED,
           "source=%s reason=%s received=%zu size=%zu", fetch->source, reason,
           fetch->received, fetch->size);
    free(updates->avoided_address);
    updates->avoided_address = fetch->address;
    updates->avoided_until = mr_clock_now(NULL) + AVOID_MS;
    fetch->address = NULL;
    clear_fetch(fetch);
}

static void request_chunk(mr_updates_t *updates);

static void
complete_fetch(mr_updates_t *updates)
{
    fetch_t fetch = updates->fetch;

    updates->fetch = (fetch_t){0};
    if (apply_update(updates, &fetch)) {
        mr_log(MR_LOG_INFO, MR_EVENT_UPDATE_APPLIED,
               "source=%s bytes=%zu took_ms=%lld", fetch.source, fetch.size,
               (long long)(mr_clock_now(NULL) - fetch.started_at));
        updates->options.applied(updates->options.ctx);
    }
    else {
        mr_counter_add(updates->failed_counter, 1);
        mr_log(MR_LOG_ERROR, MR_EVENT_UPDATE_FAILED,
               "source=%s reason=malformed received=%zu size=%zu",
               fetch.source, fetch.received, fetch.size);
    }
    clear_fetch(&fetch);
}

/* Adds a chunk to the update. Returns false if it does not continue it and
 * does not start another one either. */
static bool
add_chunk(fetch_t *fetch, const mr_msg_update_chunk_t *chunk)
{
    if (chunk->size <= 0 || chunk->size > UPDATE_MAX_BYTES
        || chunk->data.len == 0) {
        return false;
    }
    if (chunk->id != fetch->id || fetch->body == NULL) {
        free(fetch->body);
        fetch->id = chunk->id;
        fetch->size = (size_t)chunk->size;
        fetch->body = mr_calloc(1, fetch->size);
        fetch->received = 0;
    }
    if ((uint64_t)chunk->size != fetch->size
        || (uint64_t)chunk->offset != fetch->received
        || chunk->data.len > fetch->size - fetch->received) {
        return false;
    }
    memcpy(fetch->body + fetch->received, chunk->data.data, chunk->data.len);
    fetch->received += chunk->data.len;
    return true;
}

static void
on_chunk(void *ctx, mr_error_kind_t error, const mr_msg_t *msg)
{
    mr_updates_t *updates = ctx;
    fetch_t *fetch = &updates->fetch;

    fetch->call = NULL;
    if (error != MR_OK) {
        give_up(updates, mr_error_name(error));
        return;
    }
    const mr_msg_update_chunk_t *chunk = &msg->u.update_chunk;
    if (chunk->size == 0) {
        /* The sender is busy or has nothing newer any more. The next reply to
         * a report names another one. */
        clear_fetch(fetch);
        return;
    }
    mr_counter_add(updates->received_bytes, (int64_t)chunk->data.len);
    if (!add_chunk(fetch, chunk)) {
        give_up(updates, "malformed");
        return;
    }
    if (fetch->received == fetch->size) {
        complete_fetch(updates);
        return;
    }
    request_chunk(updates);
}

static void
request_chunk(mr_updates_t *updates)
{
    fetch_t *fetch = &updates->fetch;
    mr_msg_t msg = {.type = MR_MSG_UPDATE_FETCH};
    mr_msg_update_fetch_t *asked = &msg.u.update_fetch;

    asked->id = fetch->id;
    asked->offset = (int64_t)fetch->received;
    mr_directory_export(updates->options.directory, NULL, SIZE_MAX,
                        &asked->known);
    fetch->call = mr_peer_call(updates->options.peer, fetch->address, &msg,
                               CHUNK_TIMEOUT_MS, on_chunk, updates);
}

static void
start_fetch(mr_updates_t *updates, const mr_update_source_t *source,
            bool replaceable)
{
    if (updates->fetch.address != NULL || !mr_updates_accepts_config(updates)
        || mr_memory_level(updates->options.memory) == MR_MEMORY_CRITICAL) {
        return;
    }
    updates->fetch = (fetch_t){.address = mr_strdup(source->address),
                               .source = mr_strdup(source->name),
                               .started_at = mr_clock_now(NULL),
                               .replaceable = replaceable};
    request_chunk(updates);
}

void
mr_updates_fetch(mr_updates_t *updates, const char *address, const char *name)
{
    start_fetch(updates, &(mr_update_source_t){address, name}, true);
}

static bool
is_slow(const fetch_t *fetch)
{
    mr_ms_t elapsed = mr_clock_now(NULL) - fetch->started_at;

    return elapsed >= SLOW_AFTER_MS
           && (int64_t)fetch->received < elapsed * SLOW_BYTES_PER_S / 1000;
}

static bool
is_avoided(const mr_updates_t *updates, const char *address)
{
    return updates->avoided_address != NULL
           && mr_clock_now(NULL) < updates->avoided_until
           && strcmp(updates->avoided_address, address) == 0;
}

void
mr_updates_fetch_either(mr_updates_t *updates,
                        const mr_update_source_t *source,
                        const mr_update_source_t *other)
{
    fetch_t *fetch = &updates->fetch;

    if (fetch->address != NULL && fetch->replaceable && is_slow(fetch)) {
        mr_peer_cancel(fetch->call);
        fetch->call = NULL;
        give_up(updates, "slow");
    }
    if (is_avoided(updates, source->address)) {
        source = other;
    }
    start_fetch(updates, source, strcmp(source->address, other->address) != 0);
}
