#include "wire/msg.h"

#include <assert.h>
#include <string.h>

#include "common/clock.h"
#include "wire/msg_scan.h"

/** Kind of a field of a message struct. */
typedef enum field_kind {
    FIELD_INTEGER, /* int64_t */
    FIELD_BOOL,
    FIELD_STRING, /* const char * */
    FIELD_BYTES,  /* mr_bytes_t */
    FIELD_LIST,   /* pointer to items; the count is at count_offset */
} field_kind_t;

struct layout;

typedef struct field {
    field_kind_t kind;
    size_t offset;
    size_t count_offset;
    const struct layout *item;
} field_t;

typedef struct layout {
    size_t size;
    size_t count;
    size_t optional; /* last fields, which senders of an earlier release leave
                        out; they are then zero */
    const field_t *fields;
} layout_t;

/* Limits that keep a small frame from allocating much memory. */
enum {
    LIST_MAX_ITEMS = 16384,
    /* Values in a message: enough for a list of maximum length whose items
     * have 14 fields. */
    VALUES_MAX = 16 * LIST_MAX_ITEMS,
};

/* Fields before those of the type: type, call, time sent. */
enum { HEADER_FIELDS = 3 };

#define FIELD(kind, type, member)                                             \
    {                                                                         \
        FIELD_##kind, offsetof(type, member), 0, NULL                         \
    }
#define LIST_FIELD(type, member, counter, layout)                             \
    {                                                                         \
        FIELD_LIST, offsetof(type, member), offsetof(type, counter),          \
            &(layout)                                                         \
    }
#define LAYOUT(type, fields) LAYOUT_WITH_OPTIONAL(type, fields, 0)
#define LAYOUT_WITH_OPTIONAL(type, fields, optional)                          \
    {                                                                         \
        sizeof(type), sizeof(fields) / sizeof((fields)[0]), optional, fields  \
    }

static const field_t hello_fields[] = {
    FIELD(STRING, mr_msg_hello_t, name),
    FIELD(STRING, mr_msg_hello_t, data_centre),
    FIELD(INTEGER, mr_msg_hello_t, incarnation),
    FIELD(BYTES, mr_msg_hello_t, nonce),
    FIELD(BYTES, mr_msg_hello_t, proof),
};
static const layout_t hello_layout = LAYOUT(mr_msg_hello_t, hello_fields);

static const field_t execute_fields[] = {
    FIELD(STRING, mr_msg_execute_t, account),
    FIELD(STRING, mr_msg_execute_t, group),
    FIELD(STRING, mr_msg_execute_t, target),
    FIELD(INTEGER, mr_msg_execute_t, operation),
    FIELD(INTEGER, mr_msg_execute_t, access),
    FIELD(INTEGER, mr_msg_execute_t, freshness),
    FIELD(INTEGER, mr_msg_execute_t, max_age_ms),
    FIELD(INTEGER, mr_msg_execute_t, token_term),
    FIELD(INTEGER, mr_msg_execute_t, token_position),
    FIELD(BOOL, mr_msg_execute_t, token_uncertain),
    FIELD(INTEGER, mr_msg_execute_t, deadline_ms),
    FIELD(INTEGER, mr_msg_execute_t, min_term),
    FIELD(INTEGER, mr_msg_execute_t, max_term),
    FIELD(BOOL, mr_msg_execute_t, idempotent),
    FIELD(STRING, mr_msg_execute_t, request_id),
    FIELD(STRING, mr_msg_execute_t, transaction),
    FIELD(BYTES, mr_msg_execute_t, statement),
};
static const layout_t execute_layout =
    LAYOUT(mr_msg_execute_t, execute_fields);

static const field_t execute_reply_fields[] = {
    FIELD(INTEGER, mr_msg_execute_reply_t, error),
    FIELD(STRING, mr_msg_execute_reply_t, message),
    FIELD(BYTES, mr_msg_execute_reply_t, result),
    FIELD(INTEGER, mr_msg_execute_reply_t, term),
    FIELD(INTEGER, mr_msg_execute_reply_t, position),
    FIELD(STRING, mr_msg_execute_reply_t, target),
    FIELD(BOOL, mr_msg_execute_reply_t, primary),
    FIELD(STRING, mr_msg_execute_reply_t, covering_target),
    FIELD(STRING, mr_msg_execute_reply_t, hint),
    FIELD(INTEGER, mr_msg_execute_reply_t, hint_term),
    FIELD(STRING, mr_msg_execute_reply_t, transaction),
    FIELD(STRING, mr_msg_execute_reply_t, instance),
    FIELD(STRING, mr_msg_execute_reply_t, address),
};
static const layout_t execute_reply_layout =
    LAYOUT(mr_msg_execute_reply_t, execute_reply_fields);

static const field_t probe_fields[] = {
    FIELD(STRING, mr_msg_probe_t, group),
};
static const layout_t probe_layout = LAYOUT(mr_msg_probe_t, probe_fields);

static const field_t probe_reply_fields[] = {
    FIELD(STRING, mr_msg_probe_reply_t, primary),
    FIELD(INTEGER, mr_msg_probe_reply_t, term),
    FIELD(BOOL, mr_msg_probe_reply_t, healthy),
    FIELD(BOOL, mr_msg_probe_reply_t, has_pending_writes),
};
static const layout_t probe_reply_layout =
    LAYOUT(mr_msg_probe_reply_t, probe_reply_fields);

static const field_t member_fields[] = {
    FIELD(STRING, mr_msg_member_t, name),
    FIELD(STRING, mr_msg_member_t, data_centre),
    FIELD(STRING, mr_msg_member_t, address),
    FIELD(INTEGER, mr_msg_member_t, incarnation),
    FIELD(INTEGER, mr_msg_member_t, state),
};
static const layout_t member_layout = LAYOUT(mr_msg_member_t, member_fields);

static const field_t ping_fields[] = {
    FIELD(INTEGER, mr_msg_ping_t, incarnation),
    FIELD(INTEGER, mr_msg_ping_t, config_version),
    LIST_FIELD(mr_msg_ping_t, changes, change_count, member_layout),
};
static const layout_t ping_layout = LAYOUT(mr_msg_ping_t, ping_fields);

static const field_t ping_req_fields[] = {
    FIELD(STRING, mr_msg_ping_req_t, member),
    FIELD(STRING, mr_msg_ping_req_t, address),
};
static const layout_t ping_req_layout =
    LAYOUT(mr_msg_ping_req_t, ping_req_fields);

static const field_t ping_req_reply_fields[] = {
    FIELD(BOOL, mr_msg_ping_req_reply_t, answered),
};
static const layout_t ping_req_reply_layout =
    LAYOUT(mr_msg_ping_req_reply_t, ping_req_reply_fields);

static const field_t config_fetch_fields[] = {
    FIELD(INTEGER, mr_msg_config_fetch_t, after),
    FIELD(STRING, mr_msg_config_fetch_t, base),
};
static const layout_t config_fetch_layout =
    LAYOUT(mr_msg_config_fetch_t, config_fetch_fields);

static const field_t patch_part_fields[] = {
    FIELD(INTEGER, mr_msg_patch_part_t, offset),
    FIELD(INTEGER, mr_msg_patch_part_t, length),
    FIELD(BYTES, mr_msg_patch_part_t, insert),
};
static const layout_t patch_part_layout =
    LAYOUT(mr_msg_patch_part_t, patch_part_fields);

static const field_t config_fields[] = {
    FIELD(INTEGER, mr_msg_config_t, version),
    FIELD(BYTES, mr_msg_config_t, head),
    FIELD(BYTES, mr_msg_config_t, body),
    FIELD(INTEGER, mr_msg_config_t, staged_version),
    FIELD(BYTES, mr_msg_config_t, staged_head),
    FIELD(BYTES, mr_msg_config_t, staged_body),
    FIELD(INTEGER, mr_msg_config_t, store_age_ms),
    FIELD(STRING, mr_msg_config_t, base),
    LIST_FIELD(mr_msg_config_t, patch, patch_count, patch_part_layout),
    LIST_FIELD(mr_msg_config_t, staged_patch, staged_patch_count,
               patch_part_layout),
};
static const layout_t config_layout = LAYOUT(mr_msg_config_t, config_fields);

static const field_t grant_fields[] = {
    FIELD(STRING, mr_msg_grant_t, account),
    FIELD(INTEGER, mr_msg_grant_t, demand_milli),
    FIELD(INTEGER, mr_msg_grant_t, wanted),
    FIELD(INTEGER, mr_msg_grant_t, process),
    FIELD(INTEGER, mr_msg_grant_t, held_long),
    FIELD(INTEGER, mr_msg_grant_t, held_rate_milli),
    FIELD(INTEGER, mr_msg_grant_t, held_burst_milli),
    FIELD(INTEGER, mr_msg_grant_t, held_short),
    FIELD(BOOL, mr_msg_grant_t, tokens_only),
};
static const layout_t grant_layout = LAYOUT(mr_msg_grant_t, grant_fields);

static const field_t grant_item_fields[] = {
    FIELD(INTEGER, mr_msg_grant_item_t, kind),
    FIELD(INTEGER, mr_msg_grant_item_t, id),
    FIELD(INTEGER, mr_msg_grant_item_t, rate_milli),
    FIELD(INTEGER, mr_msg_grant_item_t, burst_milli),
    FIELD(INTEGER, mr_msg_grant_item_t, lifetime_ms),
};
static const layout_t grant_item_layout =
    LAYOUT(mr_msg_grant_item_t, grant_item_fields);

static const field_t grant_reply_fields[] = {
    FIELD(INTEGER, mr_msg_grant_reply_t, error),
    FIELD(STRING, mr_msg_grant_reply_t, owner),
    LIST_FIELD(mr_msg_grant_reply_t, grants, grant_count, grant_item_layout),
};
static const layout_t grant_reply_layout =
    LAYOUT(mr_msg_grant_reply_t, grant_reply_fields);

static const field_t lease_promise_fields[] = {
    FIELD(STRING, mr_msg_lease_promise_t, shard),
    FIELD(INTEGER, mr_msg_lease_promise_t, epoch),
};
static const layout_t lease_promise_layout =
    LAYOUT(mr_msg_lease_promise_t, lease_promise_fields);

static const field_t lease_promise_reply_fields[] = {
    FIELD(INTEGER, mr_msg_lease_promise_reply_t, promised_ms),
};
static const layout_t lease_promise_reply_layout =
    LAYOUT(mr_msg_lease_promise_reply_t, lease_promise_reply_fields);

static const field_t grant_return_fields[] = {
    FIELD(STRING, mr_msg_grant_return_t, account),
    FIELD(INTEGER, mr_msg_grant_return_t, id),
    FIELD(INTEGER, mr_msg_grant_return_t, process),
};
static const layout_t grant_return_layout =
    LAYOUT(mr_msg_grant_return_t, grant_return_fields);

static const field_t registration_fields[] = {
    FIELD(STRING, mr_msg_registration_t, id),
    FIELD(BYTES, mr_msg_registration_t, value),
    FIELD(INTEGER, mr_msg_registration_t, version),
    FIELD(INTEGER, mr_msg_registration_t, era),
};
static const layout_t registration_layout =
    LAYOUT(mr_msg_registration_t, registration_fields);

static const field_t draw_fields[] = {
    FIELD(STRING, mr_msg_draw_t, account),
    FIELD(INTEGER, mr_msg_draw_t, milli),
};
static const layout_t draw_layout = LAYOUT(mr_msg_draw_t, draw_fields);

static const field_t db_health_fields[] = {
    FIELD(STRING, mr_msg_db_health_t, service),
    FIELD(STRING, mr_msg_db_health_t, id),
    FIELD(INTEGER, mr_msg_db_health_t, failing_ms),
    FIELD(INTEGER, mr_msg_db_health_t, answered_ms),
};
static const layout_t db_health_layout =
    LAYOUT(mr_msg_db_health_t, db_health_fields);

#define DIRECTORY_FIELDS(type, prefix)                                        \
    FIELD(INTEGER, type, prefix config_version),                              \
        FIELD(BYTES, type, prefix config),                                    \
        FIELD(INTEGER, type, prefix config_base),                             \
        LIST_FIELD(type, prefix config_patch, prefix config_patch_count,      \
                   patch_part_layout),                                        \
        FIELD(INTEGER, type, prefix registrations_version),                   \
        FIELD(INTEGER, type, prefix registrations_digest),                    \
        LIST_FIELD(type, prefix registrations, prefix registration_count,     \
                   registration_layout)

#define CONFIRMATION_FIELDS(type, prefix)                                     \
    FIELD(INTEGER, type, prefix confirmed_config),                            \
        FIELD(INTEGER, type, prefix confirmed_version),                       \
        FIELD(INTEGER, type, prefix confirmed_era),                           \
        FIELD(INTEGER, type, prefix confirmed_age_ms)
enum { CONFIRMATION_FIELD_COUNT = 4 };

static const field_t primary_fields[] = {
    FIELD(STRING, mr_msg_primary_t, service),
    FIELD(STRING, mr_msg_primary_t, promoted),
    FIELD(INTEGER, mr_msg_primary_t, promoted_version),
    FIELD(INTEGER, mr_msg_primary_t, term),
    FIELD(INTEGER, mr_msg_primary_t, position),
    FIELD(INTEGER, mr_msg_primary_t, age_ms),
};
static const layout_t primary_layout =
    LAYOUT(mr_msg_primary_t, primary_fields);

static const field_t withheld_fields[] = {
    FIELD(STRING, mr_msg_withheld_t, service),
    FIELD(INTEGER, mr_msg_withheld_t, number),
    FIELD(STRING, mr_msg_withheld_t, primary),
    FIELD(INTEGER, mr_msg_withheld_t, claim),
    FIELD(INTEGER, mr_msg_withheld_t, age_ms),
};
static const layout_t withheld_layout =
    LAYOUT(mr_msg_withheld_t, withheld_fields);

static const field_t report_fields[] = {
    FIELD(STRING, mr_msg_report_t, address),
    FIELD(BOOL, mr_msg_report_t, refresh),
    DIRECTORY_FIELDS(mr_msg_report_t, directory.),
    FIELD(BOOL, mr_msg_report_t, draws_tokens),
    LIST_FIELD(mr_msg_report_t, wants, want_count, draw_layout),
    LIST_FIELD(mr_msg_report_t, health, health_count, db_health_layout),
    FIELD(STRING, mr_msg_report_t, data_centre),
    FIELD(BOOL, mr_msg_report_t, defers_config),
    FIELD(INTEGER, mr_msg_report_t, link_mbps),
    FIELD(INTEGER, mr_msg_report_t, directory.registrations_era),
    FIELD(INTEGER, mr_msg_report_t, support),
    FIELD(BOOL, mr_msg_report_t, provisional),
    LIST_FIELD(mr_msg_report_t, withheld, withheld_count, withheld_layout),
    LIST_FIELD(mr_msg_report_t, promotions, promotion_count, primary_layout),
    CONFIRMATION_FIELDS(mr_msg_report_t, directory.),
};
static const layout_t report_layout = LAYOUT_WITH_OPTIONAL(
    mr_msg_report_t, report_fields, CONFIRMATION_FIELD_COUNT);

static const field_t report_reply_fields[] = {
    FIELD(INTEGER, mr_msg_report_reply_t, instances),
    FIELD(INTEGER, mr_msg_report_reply_t, lifetime_ms),
    FIELD(BOOL, mr_msg_report_reply_t, store_failing),
    DIRECTORY_FIELDS(mr_msg_report_reply_t, directory.),
    LIST_FIELD(mr_msg_report_reply_t, draws, draw_count, draw_layout),
    LIST_FIELD(mr_msg_report_reply_t, primaries, primary_count,
               primary_layout),
    FIELD(STRING, mr_msg_report_reply_t, source),
    FIELD(STRING, mr_msg_report_reply_t, source_address),
    FIELD(INTEGER, mr_msg_report_reply_t, directory.registrations_era),
    FIELD(BOOL, mr_msg_report_reply_t, lease_granted),
    LIST_FIELD(mr_msg_report_reply_t, withheld, withheld_count,
               withheld_layout),
    FIELD(BOOL, mr_msg_report_reply_t, leaving),
    CONFIRMATION_FIELDS(mr_msg_report_reply_t, directory.),
};
static const layout_t report_reply_layout = LAYOUT_WITH_OPTIONAL(
    mr_msg_report_reply_t, report_reply_fields, CONFIRMATION_FIELD_COUNT);

static const field_t update_fetch_fields[] = {
    FIELD(INTEGER, mr_msg_update_fetch_t, id),
    FIELD(INTEGER, mr_msg_update_fetch_t, offset),
    DIRECTORY_FIELDS(mr_msg_update_fetch_t, known.),
    FIELD(INTEGER, mr_msg_update_fetch_t, known.registrations_era),
};
static const layout_t update_fetch_layout =
    LAYOUT(mr_msg_update_fetch_t, update_fetch_fields);

static const field_t update_chunk_fields[] = {
    FIELD(BOOL, mr_msg_update_chunk_t, busy),
    FIELD(INTEGER, mr_msg_update_chunk_t, id),
    FIELD(INTEGER, mr_msg_update_chunk_t, size),
    FIELD(INTEGER, mr_msg_update_chunk_t, offset),
    FIELD(BYTES, mr_msg_update_chunk_t, data),
};
static const layout_t update_chunk_layout =
    LAYOUT(mr_msg_update_chunk_t, update_chunk_fields);

static const field_t update_fields[] = {
    DIRECTORY_FIELDS(mr_msg_directory_t, ),
    FIELD(INTEGER, mr_msg_directory_t, registrations_era),
};
static const layout_t update_layout =
    LAYOUT(mr_msg_directory_t, update_fields);

#define SHARE_QUERY_FIELDS(type, prefix)                                      \
    FIELD(INTEGER, type, prefix loan), FIELD(INTEGER, type, prefix number),   \
        FIELD(STRING, type, prefix id),                                       \
        FIELD(INTEGER, type, prefix after_term),                              \
        FIELD(INTEGER, type, prefix after_number),                            \
        FIELD(BYTES, type, prefix statement),                                 \
        FIELD(INTEGER, type, prefix left_ms),                                 \
        FIELD(BOOL, type, prefix commits)

static const field_t share_open_fields[] = {
    FIELD(STRING, mr_msg_share_open_t, service),
    FIELD(STRING, mr_msg_share_open_t, db),
    FIELD(STRING, mr_msg_share_open_t, address),
    FIELD(STRING, mr_msg_share_open_t, account),
    FIELD(INTEGER, mr_msg_share_open_t, wait_ms),
    SHARE_QUERY_FIELDS(mr_msg_share_open_t, query.),
};
static const layout_t share_open_layout =
    LAYOUT(mr_msg_share_open_t, share_open_fields);

static const field_t share_query_fields[] = {
    SHARE_QUERY_FIELDS(mr_msg_share_query_t, ),
};
static const layout_t share_query_layout =
    LAYOUT(mr_msg_share_query_t, share_query_fields);

static const field_t share_reply_fields[] = {
    FIELD(INTEGER, mr_msg_share_reply_t, outcome),
    FIELD(INTEGER, mr_msg_share_reply_t, error),
    FIELD(STRING, mr_msg_share_reply_t, detail),
    FIELD(INTEGER, mr_msg_share_reply_t, state),
    FIELD(INTEGER, mr_msg_share_reply_t, term),
    FIELD(INTEGER, mr_msg_share_reply_t, position),
    FIELD(BYTES, mr_msg_share_reply_t, body),
    FIELD(INTEGER, mr_msg_share_reply_t, body_size),
    FIELD(BOOL, mr_msg_share_reply_t, unwilling),
};
static const layout_t share_reply_layout =
    LAYOUT(mr_msg_share_reply_t, share_reply_fields);

static const field_t share_fetch_fields[] = {
    FIELD(INTEGER, mr_msg_share_fetch_t, loan),
    FIELD(INTEGER, mr_msg_share_fetch_t, number),
    FIELD(INTEGER, mr_msg_share_fetch_t, offset),
};
static const layout_t share_fetch_layout =
    LAYOUT(mr_msg_share_fetch_t, share_fetch_fields);

static const field_t share_fetch_reply_fields[] = {
    FIELD(BYTES, mr_msg_share_fetch_reply_t, data),
};
static const layout_t share_fetch_reply_layout =
    LAYOUT(mr_msg_share_fetch_reply_t, share_fetch_reply_fields);

static const field_t share_end_fields[] = {
    FIELD(INTEGER, mr_msg_share_end_t, loan),
};
static const layout_t share_end_layout =
    LAYOUT(mr_msg_share_end_t, share_end_fields);

static const layout_t *
find_layout(int64_t type)
{
    switch ((mr_msg_type_t)type) {
    case MR_MSG_HELLO:
    case MR_MSG_HELLO_REPLY:
        return &hello_layout;
    case MR_MSG_EXECUTE:
        return &execute_layout;
    case MR_MSG_EXECUTE_REPLY:
        return &execute_reply_layout;
    case MR_MSG_PROBE:
        return &probe_layout;
    case MR_MSG_PROBE_REPLY:
        return &probe_reply_layout;
    case MR_MSG_PING:
    case MR_MSG_PING_REPLY:
        return &ping_layout;
    case MR_MSG_PING_REQ:
        return &ping_req_layout;
    case MR_MSG_PING_REQ_REPLY:
        return &ping_req_reply_layout;
    case MR_MSG_CONFIG_FETCH:
        return &config_fetch_layout;
    case MR_MSG_CONFIG_FETCH_REPLY:
    case MR_MSG_CONFIG_PUSH:
        return &config_layout;
    case MR_MSG_GRANT:
        return &grant_layout;
    case MR_MSG_GRANT_REPLY:
        return &grant_reply_layout;
    case MR_MSG_LEASE_PROMISE:
        return &lease_promise_layout;
    case MR_MSG_LEASE_PROMISE_REPLY:
        return &lease_promise_reply_layout;
    case MR_MSG_GRANT_RETURN:
        return &grant_return_layout;
    case MR_MSG_REPORT:
        return &report_layout;
    case MR_MSG_REPORT_REPLY:
        return &report_reply_layout;
    case MR_MSG_UPDATE_FETCH:
        return &update_fetch_layout;
    case MR_MSG_UPDATE_FETCH_REPLY:
        return &update_chunk_layout;
    case MR_MSG_UPDATE:
        return &update_layout;
    case MR_MSG_SHARE_OPEN:
        return &share_open_layout;
    case MR_MSG_SHARE_QUERY:
        return &share_query_layout;
    case MR_MSG_SHARE_OPEN_REPLY:
    case MR_MSG_SHARE_QUERY_REPLY:
        return &share_reply_layout;
    case MR_MSG_SHARE_FETCH:
        return &share_fetch_layout;
    case MR_MSG_SHARE_FETCH_REPLY:
        return &share_fetch_reply_layout;
    case MR_MSG_SHARE_RELEASE:
    case MR_MSG_SHARE_CLOSE:
        return &share_end_layout;
    }
    return NULL;
}

/* Returns the struct of the message's type; all members of the union start at
 * the same address. */
static void *
message_body(mr_msg_t *msg)
{
    return &msg->u;
}

static void encode_fields(msgpack_packer *pk, const layout_t *layout,
                          const char *base);

static void
encode_list(msgpack_packer *pk, const field_t *field, const char *base)
{
    size_t count;
    const char *items;

    memcpy(&count, base + field->count_offset, sizeof(count));
    memcpy(&items, base + field->offset, sizeof(items));
    assert(count <= LIST_MAX_ITEMS);
    msgpack_pack_array(pk, count);
    for (size_t i = 0; i < count; i++) {
        msgpack_pack_array(pk, field->item->count);
        encode_fields(pk, field->item, items + i * field->item->size);
    }
}

static void
encode_field(msgpack_packer *pk, const field_t *field, const char *base)
{
    const void *value = base + field->offset;

    switch (field->kind) {
    case FIELD_INTEGER:
        msgpack_pack_int64(pk, *(const int64_t *)value);
        break;
    case FIELD_BOOL:
        if (*(const bool *)value) {
            msgpack_pack_true(pk);
        }
        else {
            msgpack_pack_false(pk);
        }
        break;
    case FIELD_STRING: {
        const char *text = *(const char *const *)value;
        size_t len = text == NULL ? 0 : strlen(text);
        msgpack_pack_str(pk, len);
        msgpack_pack_str_body(pk, text == NULL ? "" : text, len);
        break;
    }
    case FIELD_BYTES: {
        const mr_bytes_t *bytes = value;
        msgpack_pack_bin(pk, bytes->len);
        msgpack_pack_bin_body(pk, bytes->data, bytes->len);
        break;
    }
    case FIELD_LIST:
        encode_list(pk, field, base);
        break;
    }
}

static void
encode_fields(msgpack_packer *pk, const layout_t *layout, const char *base)
{
    for (size_t i = 0; i < layout->count; i++) {
        encode_field(pk, &layout->fields[i], base);
    }
}

void
mr_msg_encode(const mr_msg_t *msg, msgpack_sbuffer *out)
{
    const layout_t *layout = find_layout(msg->type);
    msgpack_packer pk;

    assert(layout != NULL);
    msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
    msgpack_pack_array(&pk, layout->count + HEADER_FIELDS);
    msgpack_pack_int64(&pk, msg->type);
    msgpack_pack_int64(&pk, msg->call);
    msgpack_pack_int64(&pk, mr_clock_now(NULL));
    encode_fields(&pk, layout, (const char *)&msg->u);
}

static bool
read_integer(const msgpack_object *obj, int64_t *out)
{
    if (obj->type == MSGPACK_OBJECT_POSITIVE_INTEGER
        && obj->via.u64 <= INT64_MAX) {
        *out = (int64_t)obj->via.u64;
        return true;
    }
    if (obj->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
        *out = obj->via.i64;
        return true;
    }
    return false;
}

static bool
read_string(const msgpack_object *obj, msgpack_zone *zone, const char **out)
{
    if (obj->type != MSGPACK_OBJECT_STR) {
        return false;
    }
    size_t len = obj->via.str.size;
    if (memchr(obj->via.str.ptr, '\0', len) != NULL) {
        return false;
    }
    char *copy = msgpack_zone_malloc(zone, len + 1);
    if (copy == NULL) {
        return false;
    }
    memcpy(copy, obj->via.str.ptr, len);
    copy[len] = '\0';
    *out = copy;
    return true;
}

static bool decode_fields(const msgpack_object *objs, size_t count,
                          msgpack_zone *zone, const layout_t *layout,
                          char *base);

static bool
decode_list(const msgpack_object *obj, msgpack_zone *zone,
            const field_t *field, char *base)
{
    if (obj->type != MSGPACK_OBJECT_ARRAY
        || obj->via.array.size > LIST_MAX_ITEMS) {
        return false;
    }
    size_t count = obj->via.array.size;
    size_t bytes = (count + 1) * field->item->size;
    char *items = msgpack_zone_malloc(zone, bytes);
    if (items == NULL) {
        return false;
    }
    memset(items, 0, bytes);
    for (size_t i = 0; i < count; i++) {
        const msgpack_object *item = &obj->via.array.ptr[i];
        if (item->type != MSGPACK_OBJECT_ARRAY) {
            return false;
        }
        if (!decode_fields(item->via.array.ptr, item->via.array.size, zone,
                           field->item, items + i * field->item->size)) {
            return false;
        }
    }
    memcpy(base + field->offset, &items, sizeof(items));
    memcpy(base + field->count_offset, &count, sizeof(count));
    return true;
}

static bool
decode_field(const msgpack_object *obj, msgpack_zone *zone,
             const field_t *field, char *base)
{
    void *value = base + field->offset;

    switch (field->kind) {
    case FIELD_INTEGER:
        return read_integer(obj, value);
    case FIELD_BOOL:
        if (obj->type != MSGPACK_OBJECT_BOOLEAN) {
            return false;
        }
        *(bool *)value = obj->via.boolean;
        return true;
    case FIELD_STRING:
        return read_string(obj, zone, value);
    case FIELD_BYTES: {
        mr_bytes_t *bytes = value;
        if (obj->type != MSGPACK_OBJECT_BIN) {
            return false;
        }
        bytes->data = obj->via.bin.ptr;
        bytes->len = obj->via.bin.size;
        return true;
    }
    case FIELD_LIST:
        return decode_list(obj, zone, field, base);
    }
    return false;
}

static bool
decode_fields(const msgpack_object *objs, size_t count, msgpack_zone *zone,
              const layout_t *layout, char *base)
{
    if (count < layout->count - layout->optional) {
        return false;
    }
    for (size_t i = 0; i < layout->count && i < count; i++) {
        if (!decode_field(&objs[i], zone, &layout->fields[i], base)) {
            return false;
        }
    }
    return true;
}

static mr_msg_result_t
decode_array(const msgpack_object *array, mr_msg_decoded_t *holder)
{
    int64_t type;

    if (array->type != MSGPACK_OBJECT_ARRAY
        || array->via.array.size < HEADER_FIELDS) {
        return MR_MSG_MALFORMED;
    }
    const msgpack_object *objs = array->via.array.ptr;
    if (!read_integer(&objs[0], &type)
        || !read_integer(&objs[1], &holder->msg.call)
        || !read_integer(&objs[2], &holder->msg.sent_at)) {
        return MR_MSG_MALFORMED;
    }
    const layout_t *layout = find_layout(type);
    if (layout == NULL) {
        return MR_MSG_UNKNOWN_TYPE;
    }
    holder->msg.type = (mr_msg_type_t)type;
    if (!decode_fields(
            objs + HEADER_FIELDS, array->via.array.size - HEADER_FIELDS,
            holder->unpacked.zone, layout, message_body(&holder->msg))) {
        return MR_MSG_MALFORMED;
    }
    return MR_MSG_VALID;
}

mr_msg_result_t
mr_msg_decode(const void *data, size_t len, mr_msg_decoded_t *holder)
{
    size_t offset = 0;
    mr_msg_result_t result = MR_MSG_MALFORMED;

    memset(&holder->msg, 0, sizeof(holder->msg));
    msgpack_unpacked_init(&holder->unpacked);
    if (mr_msg_scan(data, len, VALUES_MAX)
        && msgpack_unpack_next(&holder->unpacked, data, len, &offset)
               == MSGPACK_UNPACK_SUCCESS
        && offset == len) {
        if (holder->unpacked.zone == NULL) {
            holder->unpacked.zone = msgpack_zone_new(MSGPACK_ZONE_CHUNK_SIZE);
        }
        if (holder->unpacked.zone != NULL) {
            result = decode_array(&holder->unpacked.data, holder);
        }
    }
    if (result != MR_MSG_VALID) {
        msgpack_unpacked_destroy(&holder->unpacked);
    }
    return result;
}

void
mr_msg_release(mr_msg_decoded_t *holder)
{
    msgpack_unpacked_destroy(&holder->unpacked);
}
