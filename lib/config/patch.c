#include "config/patch.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "common/mem.h"

/*
 * Bodies are canonical JSON. They are split into chunks after each closing
 * brace, so that the chunks of an unchanged account, key or target match even
 * if it moved.
 */

enum {
    /* A shorter copy takes as many bytes in the message as the text itself. */
    COPY_MIN_BYTES = 16,
};

/* Returns the end of the chunk that starts at @at. */
static size_t
chunk_end(mr_bytes_t text, size_t at)
{
    const char *brace =
        memchr((const char *)text.data + at, '}', text.len - at);

    return brace == NULL ? text.len
                         : (size_t)(brace - (const char *)text.data) + 1;
}

static gpointer
chunk_key(mr_bytes_t text, size_t at, size_t end)
{
    XXH64_hash_t hash = XXH3_64bits((const char *)text.data + at, end - at);

    return GSIZE_TO_POINTER((gsize)hash);
}

/* Maps the hash of each chunk to its offset + 1; of equal chunks, to the first
 * one. */
static GHashTable *
index_chunks(mr_bytes_t base)
{
    GHashTable *chunks = g_hash_table_new(g_direct_hash, g_direct_equal);

    for (size_t at = 0; at < base.len;) {
        size_t end = chunk_end(base, at);
        gpointer key = chunk_key(base, at, end);
        if (!g_hash_table_contains(chunks, key)) {
            g_hash_table_insert(chunks, key, GSIZE_TO_POINTER(at + 1));
        }
        at = end;
    }
    return chunks;
}

/* Returns the length of the common prefix of @base from offset @from on and
 * @body from offset @at on. */
static size_t
common_length(mr_bytes_t base, size_t from, mr_bytes_t body, size_t at)
{
    const char *a = (const char *)base.data + from;
    const char *b = (const char *)body.data + at;
    size_t max =
        base.len - from < body.len - at ? base.len - from : body.len - at;
    size_t len = 0;

    while (len < max && a[len] == b[len]) {
        len++;
    }
    return len;
}

/* Returns the offset of the next chunk of @body, from @at on, that @base has
 * too, and sets @from to its offset there; returns the end of @body if there
 * is none. */
static size_t
find_chunk(GHashTable *chunks, mr_bytes_t base, mr_bytes_t body, size_t at,
           size_t *from)
{
    while (at < body.len) {
        size_t end = chunk_end(body, at);
        size_t found = GPOINTER_TO_SIZE(
            g_hash_table_lookup(chunks, chunk_key(body, at, end)));
        if (found > 0 && end - at >= COPY_MIN_BYTES
            && common_length(base, found - 1, body, at) >= end - at) {
            *from = found - 1;
            return at;
        }
        at = end;
    }
    *from = base.len;
    return body.len;
}

bool
mr_config_patch_make(mr_bytes_t base, mr_bytes_t body,
                     mr_config_patch_t *patch)
{
    GHashTable *chunks = index_chunks(base);
    GArray *parts = g_array_new(FALSE, TRUE, sizeof(mr_msg_patch_part_t));
    size_t inserted = 0;
    size_t from = 0;
    size_t at = 0;

    while (at < body.len && parts->len < MR_CONFIG_PATCH_PARTS_MAX) {
        mr_msg_patch_part_t part = {.offset = (int64_t)from};
        size_t len = common_length(base, from, body, at);
        if (len >= COPY_MIN_BYTES) {
            part.length = (int64_t)len;
            at += len;
        }
        size_t next = find_chunk(chunks, base, body, at, &from);
        part.insert = (mr_bytes_t){(const char *)body.data + at, next - at};
        inserted += next - at;
        at = next;
        g_array_append_val(parts, part);
    }
    g_hash_table_destroy(chunks);
    if (at < body.len || inserted > body.len / 2) {
        g_array_free(parts, TRUE);
        *patch = (mr_config_patch_t){0};
        return false;
    }
    patch->count = parts->len;
    patch->parts = (mr_msg_patch_part_t *)(void *)g_array_free(parts, FALSE);
    return true;
}

void
mr_config_patch_clear(mr_config_patch_t *patch)
{
    g_free(patch->parts);
    *patch = (mr_config_patch_t){0};
}

char *
mr_config_patch_apply(mr_bytes_t base, const mr_msg_patch_part_t *parts,
                      size_t count, size_t *len)
{
    size_t total = 0;

    for (size_t i = 0; i < count; i++) {
        const mr_msg_patch_part_t *part = &parts[i];
        if (part->offset < 0 || part->length < 0
            || (uint64_t)part->offset > base.len
            || (uint64_t)part->length > base.len - (size_t)part->offset
            || part->insert.len > MR_CONFIG_BODY_MAX_BYTES) {
            return NULL;
        }
        total += (size_t)part->length + part->insert.len;
        if (total > MR_CONFIG_BODY_MAX_BYTES) {
            return NULL;
        }
    }
    char *text = mr_calloc(1, total + 1);
    *len = 0;
    for (size_t i = 0; i < count; i++) {
        const mr_msg_patch_part_t *part = &parts[i];
        memcpy(text + *len, (const char *)base.data + part->offset,
               (size_t)part->length);
        *len += (size_t)part->length;
        if (part->insert.len > 0) {
            memcpy(text + *len, part->insert.data, part->insert.len);
            *len += part->insert.len;
        }
    }
    return text;
}
