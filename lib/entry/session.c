#include "entry/session.h"

#include <assert.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum { TOKEN_FORMAT = 1, ENTRY_FIELDS = 5 };

uint64_t
mr_session_hash_group(const char *name)
{
    return XXH3_64bits(name, strlen(name));
}

static bool
decode_integer(const msgpack_object *obj, int64_t *out)
{
    if (obj->type != MSGPACK_OBJECT_POSITIVE_INTEGER
        || obj->via.u64 > INT64_MAX) {
        return false;
    }
    *out = (int64_t)obj->via.u64;
    return true;
}

static bool
decode_entry(const msgpack_object *obj, mr_session_entry_t *entry)
{
    int64_t covering;

    if (obj->type != MSGPACK_OBJECT_ARRAY
        || obj->via.array.size != ENTRY_FIELDS) {
        return false;
    }
    const msgpack_object *f = obj->via.array.ptr;
    if (f[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER
        || !decode_integer(&f[1], &entry->term)
        || !decode_integer(&f[2], &entry->position)
        || !decode_integer(&f[3], &entry->uncertain_term)
        || !decode_integer(&f[4], &covering)
        || covering > MR_SESSION_NO_TARGET) {
        return false;
    }
    entry->group = f[0].via.u64;
    entry->covering_target = (uint8_t)covering;
    return true;
}

static bool
decode_session(const msgpack_object *obj, mr_session_t *session)
{
    int64_t format;

    if (obj->type != MSGPACK_OBJECT_ARRAY || obj->via.array.size != 2
        || !decode_integer(&obj->via.array.ptr[0], &format)
        || format != TOKEN_FORMAT) {
        return false;
    }
    const msgpack_object *list = &obj->via.array.ptr[1];
    if (list->type != MSGPACK_OBJECT_ARRAY
        || list->via.array.size > MR_SESSION_GROUPS_MAX) {
        return false;
    }
    for (uint32_t i = 0; i < list->via.array.size; i++) {
        if (!decode_entry(&list->via.array.ptr[i], &session->entries[i])) {
            return false;
        }
    }
    session->count = list->via.array.size;
    return true;
}

bool
mr_session_decode(const mr_seal_t *seal, const char *text,
                  mr_session_t *session)
{
    size_t len = 0;
    size_t offset = 0;
    bool ok = false;
    msgpack_unpacked unpacked;
    uint8_t *data = mr_seal_decrypt(seal, text, &len);

    session->count = 0;
    if (data == NULL) {
        return false;
    }
    msgpack_unpacked_init(&unpacked);
    if (msgpack_unpack_next(&unpacked, (const char *)data, len, &offset)
        == MSGPACK_UNPACK_SUCCESS) {
        ok = decode_session(&unpacked.data, session);
    }
    msgpack_unpacked_destroy(&unpacked);
    free(data);
    return ok;
}

char *
mr_session_encode(const mr_seal_t *seal, const mr_session_t *session)
{
    msgpack_sbuffer buf;
    msgpack_packer pk;

    msgpack_sbuffer_init(&buf);
    msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
    msgpack_pack_array(&pk, 2);
    msgpack_pack_int64(&pk, TOKEN_FORMAT);
    msgpack_pack_array(&pk, session->count);
    for (size_t i = 0; i < session->count; i++) {
        const mr_session_entry_t *entry = &session->entries[i];
        msgpack_pack_array(&pk, ENTRY_FIELDS);
        msgpack_pack_uint64(&pk, entry->group);
        msgpack_pack_int64(&pk, entry->term);
        msgpack_pack_int64(&pk, entry->position);
        msgpack_pack_int64(&pk, entry->uncertain_term);
        msgpack_pack_int64(&pk, entry->covering_target);
    }
    char *text = mr_seal_encrypt(seal, buf.data, buf.size);
    msgpack_sbuffer_destroy(&buf);
    return text;
}

mr_session_entry_t *
mr_session_find(mr_session_t *session, uint64_t group)
{
    for (size_t i = 0; i < session->count; i++) {
        if (session->entries[i].group == group) {
            return &session->entries[i];
        }
    }
    return NULL;
}

bool
mr_session_has_room(const mr_session_t *session, uint64_t group)
{
    return session->count < MR_SESSION_GROUPS_MAX
           || mr_session_find((mr_session_t *)session, group) != NULL;
}

static mr_session_entry_t *
find_or_add_entry(mr_session_t *session, uint64_t group)
{
    mr_session_entry_t *entry = mr_session_find(session, group);

    if (entry == NULL) {
        assert(session->count < MR_SESSION_GROUPS_MAX);
        entry = &session->entries[session->count++];
        *entry = (mr_session_entry_t){.group = group,
                                      .covering_target = MR_SESSION_NO_TARGET};
    }
    return entry;
}

void
mr_session_record_write(mr_session_t *session, uint64_t group, int64_t term,
                        int64_t position, uint8_t covering_target)
{
    mr_session_entry_t *entry = find_or_add_entry(session, group);

    if (term > entry->uncertain_term) {
        entry->uncertain_term = 0;
    }
    if (term < entry->term
        || (term == entry->term && position <= entry->position)) {
        return;
    }
    entry->term = term;
    entry->position = position;
    entry->covering_target = covering_target;
}

void
mr_session_record_uncertain_write(mr_session_t *session, uint64_t group,
                                  int64_t term)
{
    mr_session_entry_t *entry = find_or_add_entry(session, group);

    if (term > entry->uncertain_term) {
        entry->uncertain_term = term;
    }
}

bool
mr_session_settle_uncertain_write(mr_session_t *session, uint64_t group,
                                  int64_t term, int64_t position)
{
    mr_session_entry_t *entry = mr_session_find(session, group);

    if (entry == NULL || entry->uncertain_term == 0
        || term <= entry->uncertain_term) {
        return false;
    }
    /* Later reads must cover the position of this one: the uncertain write may
     * have survived into @term, and a lagging replica may not have it yet. */
    mr_session_record_write(session, group, term, position,
                            MR_SESSION_NO_TARGET);
    return true;
}
