#include "config/audit.h"

#include <assert.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "config/rows.h"

enum {
    /* Unanswered calls after which an append fails. */
    FAILURES_MAX = 4,
    SEQUENCE_DIGITS = 12,
    /* The reader lists the records in blocks of this size; the prefix of a
     * listing is the sequence without its last BLOCK_DIGITS digits. */
    BLOCK_SEQUENCES = 1000,
    BLOCK_DIGITS = 3,
    ID_BYTES = 16,
    NAME_BYTES = 32,
};

#define TAIL_ROW "audit/tail"
#define OBJECT_PREFIX "audit/"

static void
object_name(int64_t sequence, char name[NAME_BYTES])
{
    snprintf(name, NAME_BYTES, OBJECT_PREFIX "%0*" PRId64, SEQUENCE_DIGITS,
             sequence);
}

/** Row audit/tail. */
typedef struct tail {
    int64_t sequence;
    char hash[MR_CONFIG_HASH_HEX_BYTES];
} tail_t;

static bool
read_tail(json_t *value, tail_t *tail)
{
    json_t *sequence = json_object_get(value, "sequence");
    const char *hash = json_string_value(json_object_get(value, "hash"));

    if (!json_is_integer(sequence) || json_integer_value(sequence) < 1
        || hash == NULL || strlen(hash) >= sizeof(tail->hash)) {
        return false;
    }
    tail->sequence = json_integer_value(sequence);
    strcpy(tail->hash, hash);
    return true;
}

/* Append. */

struct mr_audit_append {
    mr_platform_t *platform;
    json_t *record; /* "sequence" and "previous" are set for each attempt */
    mr_audit_append_fn_t fn;
    void *ctx;
    tail_t end;          /* last record found */
    bool end_unverified; /* @end is from the tail row; its record is not read
                            yet */
    int64_t revision;    /* of the tail row */
    char *text;          /* bytes of the write in progress */
    int failures;
    bool outcome_unknown; /* a write at the current sequence had an unknown
                             outcome */
};

void
mr_audit_append_cancel(mr_audit_append_t *append)
{
    mr_platform_cancel(append->platform, append);
    json_decref(append->record);
    free(append->text);
    free(append);
}

static void
end_append(mr_audit_append_t *append, mr_error_kind_t error)
{
    mr_audit_append_fn_t fn = append->fn;
    void *ctx = append->ctx;
    int64_t sequence = append->end.sequence;

    mr_audit_append_cancel(append);
    fn(ctx, error, error == MR_OK ? sequence : 0);
}

/* Returns whether an unanswered call is to be repeated; ends the append
 * otherwise. */
static bool
retry_or_end(mr_audit_append_t *append)
{
    if (++append->failures < FAILURES_MAX) {
        return true;
    }
    end_append(append, append->outcome_unknown ? MR_ERR_OUTCOME_UNKNOWN
                                               : MR_ERR_UNAVAILABLE);
    return false;
}

static void write_record(mr_audit_append_t *append);
static void read_sequence(mr_audit_append_t *append, int64_t sequence);

static void
on_tail_written(void *ctx, mr_error_kind_t error, int64_t revision,
                json_t *value)
{
    /* Errors are ignored: another writer may have updated the row, and an
     * outdated row only costs extra reads. */
    (void)error;
    (void)revision;
    (void)value;
    end_append(ctx, MR_OK);
}

static void
on_append_done(mr_audit_append_t *append)
{
    append->end.sequence++;
    mr_config_hash(append->text, strlen(append->text), append->end.hash);
    json_t *value =
        json_pack("{s:I,s:s}", "sequence", (json_int_t)append->end.sequence,
                  "hash", append->end.hash);
    mr_platform_row_put(append->platform, TAIL_ROW, append->revision, value,
                        on_tail_written, append);
    json_decref(value);
}

/* Another record has this sequence, so the one to append was not written
 * there, and a delayed write cannot take effect any more. */
static void
on_sequence_taken(mr_audit_append_t *append)
{
    append->outcome_unknown = false;
    read_sequence(append, append->end.sequence + 1);
}

static void
on_read_back(void *ctx, mr_error_kind_t error, const void *data, size_t len)
{
    mr_audit_append_t *append = ctx;

    if (error == MR_OK) {
        if (len == strlen(append->text)
            && memcmp(data, append->text, len) == 0) {
            on_append_done(append);
        }
        else {
            on_sequence_taken(append);
        }
    }
    else if (retry_or_end(append)) {
        /* Safe to repeat if the first write arrives late: the bytes are the
         * same. */
        write_record(append);
    }
}

static void
on_written(void *ctx, mr_error_kind_t error, const void *data, size_t len)
{
    mr_audit_append_t *append = ctx;
    char name[NAME_BYTES];

    (void)data;
    (void)len;
    switch (error) {
    case MR_OK:
        on_append_done(append);
        break;
    case MR_ERR_CONFLICT:
        on_sequence_taken(append);
        break;
    case MR_ERR_OUTCOME_UNKNOWN:
        append->outcome_unknown = true;
        object_name(append->end.sequence + 1, name);
        mr_platform_object_get(append->platform, name, on_read_back, append);
        break;
    default:
        if (retry_or_end(append)) {
            write_record(append);
        }
    }
}

static void
write_record(mr_audit_append_t *append)
{
    char name[NAME_BYTES];
    json_t *record = append->record;

    json_object_set_new(record, "sequence",
                        json_integer(append->end.sequence + 1));
    json_object_set_new(record, "previous", json_string(append->end.hash));
    free(append->text);
    append->text = mr_json_canonical(record);
    object_name(append->end.sequence + 1, name);
    mr_platform_object_put(append->platform, name, append->text,
                           strlen(append->text), on_written, append);
}

static void
on_record(void *ctx, mr_error_kind_t error, const void *data, size_t len)
{
    mr_audit_append_t *append = ctx;
    /* The record named by the tail row is read first to check that it exists.
     */
    int64_t sequence = append->end.sequence + (append->end_unverified ? 0 : 1);

    switch (error) {
    case MR_OK:
        append->end_unverified = false;
        append->end.sequence = sequence;
        mr_config_hash(data, len, append->end.hash);
        read_sequence(append, sequence + 1);
        break;
    case MR_ERR_NOT_FOUND:
        if (append->end_unverified) {
            /* The record was lost. The trail continues after it, so that
             * readers see the gap. */
            append->end_unverified = false;
            read_sequence(append, sequence + 1);
            break;
        }
        write_record(append);
        break;
    default:
        if (retry_or_end(append)) {
            read_sequence(append, sequence);
        }
    }
}

static void
read_sequence(mr_audit_append_t *append, int64_t sequence)
{
    char name[NAME_BYTES];

    object_name(sequence, name);
    mr_platform_object_get(append->platform, name, on_record, append);
}

static void
on_tail(void *ctx, mr_error_kind_t error, int64_t revision, json_t *value)
{
    mr_audit_append_t *append = ctx;

    if (error == MR_OK || error == MR_ERR_NOT_FOUND) {
        append->revision = error == MR_OK ? revision : 0;
        append->end_unverified =
            error == MR_OK && read_tail(value, &append->end);
        read_sequence(append,
                      append->end_unverified ? append->end.sequence : 1);
    }
    else if (retry_or_end(append)) {
        mr_platform_row_get(append->platform, TAIL_ROW, on_tail, append);
    }
}

mr_audit_append_t *
mr_audit_append(mr_platform_t *platform, const mr_audit_step_t *step,
                mr_audit_append_fn_t fn, void *ctx)
{
    mr_audit_append_t *append = MR_NEW(mr_audit_append_t);
    uint8_t id[ID_BYTES];
    char id_hex[ID_BYTES * 2 + 1];

    randombytes_buf(id, sizeof(id));
    sodium_bin2hex(id_hex, sizeof(id_hex), id, sizeof(id));
    append->platform = platform;
    append->fn = fn;
    append->ctx = ctx;
    /* NULL only for strings that are not UTF-8, which callers rule out. */
    append->record = json_pack(
        "{s:s,s:s,s:I,s:s,s:I,s:I,s:s,s:o}", "id", id_hex, "who", step->who,
        "when_ms", (json_int_t)mr_clock_wall(), "step", step->step,
        "from_version", (json_int_t)step->from_version, "to_version",
        (json_int_t)step->to_version, "hash", step->hash, "changes",
        step->changes == NULL ? json_null() : json_incref(step->changes));
    assert(append->record != NULL);
    mr_platform_row_get(platform, TAIL_ROW, on_tail, append);
    return append;
}

/* Reader. */

struct mr_audit_reader {
    mr_platform_t *platform;
    mr_audit_entry_fn_t entry;
    mr_audit_done_fn_t done;
    void *ctx;
    int64_t next;
    int64_t known_end; /* highest sequence in the tail row and the listings */
    int64_t listed_block;
    bool present[BLOCK_SEQUENCES]; /* existing sequences of the block */
    bool has_previous; /* @previous is the hash of the record before @next */
    char previous[MR_CONFIG_HASH_HEX_BYTES];
};

const char *
mr_audit_state_name(mr_audit_state_t state)
{
    static const char *const names[] = {
        [MR_AUDIT_GOOD] = "good",
        [MR_AUDIT_MISSING] = "missing",
        [MR_AUDIT_MALFORMED] = "malformed",
        [MR_AUDIT_BROKEN] = "broken",
    };

    return names[state];
}

void
mr_audit_read_cancel(mr_audit_reader_t *reader)
{
    mr_platform_cancel(reader->platform, reader);
    free(reader);
}

static void
end_reading(mr_audit_reader_t *reader, mr_error_kind_t error)
{
    mr_audit_done_fn_t done = reader->done;
    void *ctx = reader->ctx;

    mr_audit_read_cancel(reader);
    done(ctx, error);
}

static mr_audit_state_t
check_record(const mr_audit_reader_t *reader, json_t *record)
{
    json_t *sequence = json_object_get(record, "sequence");
    const char *previous =
        json_string_value(json_object_get(record, "previous"));

    if (!json_is_integer(sequence) || previous == NULL
        || json_integer_value(sequence) != reader->next) {
        return MR_AUDIT_MALFORMED;
    }
    if (reader->has_previous && strcmp(previous, reader->previous) != 0) {
        return MR_AUDIT_BROKEN;
    }
    return MR_AUDIT_GOOD;
}

static void read_next(mr_audit_reader_t *reader);
static void list_block(mr_audit_reader_t *reader);

static void
on_entry(void *ctx, mr_error_kind_t error, const void *data, size_t len)
{
    mr_audit_reader_t *reader = ctx;
    mr_json_problem_t problem;
    json_t *record = NULL;
    mr_audit_state_t state = MR_AUDIT_MISSING;

    if (error != MR_OK && error != MR_ERR_NOT_FOUND) {
        end_reading(reader, error);
        return;
    }
    if (error == MR_OK) {
        record = mr_json_parse(data, len, &problem);
        state = check_record(reader, record);
        mr_config_hash(data, len, reader->previous);
    }
    reader->has_previous = state == MR_AUDIT_GOOD || state == MR_AUDIT_BROKEN;
    reader->entry(reader->ctx, reader->next, state,
                  state == MR_AUDIT_MALFORMED ? NULL : record);
    json_decref(record);
    reader->next++;
    read_next(reader);
}

static void
on_block(void *ctx, mr_error_kind_t error, json_t *names)
{
    mr_audit_reader_t *reader = ctx;
    int64_t block = reader->next / BLOCK_SEQUENCES;

    if (error != MR_OK) {
        end_reading(reader, error);
        return;
    }
    memset(reader->present, 0, sizeof(reader->present));
    for (size_t i = 0; i < json_array_size(names); i++) {
        const char *name = json_string_value(json_array_get(names, i));
        char *end = NULL;
        if (name == NULL || strlen(name) < strlen(OBJECT_PREFIX)) {
            continue;
        }
        long long sequence = strtoll(name + strlen(OBJECT_PREFIX), &end, 10);
        if (*end != '\0' || sequence / BLOCK_SEQUENCES != block) {
            continue;
        }
        reader->present[sequence % BLOCK_SEQUENCES] = true;
        if (sequence > reader->known_end) {
            reader->known_end = sequence;
        }
    }
    reader->listed_block = block;
    read_next(reader);
}

static void
list_block(mr_audit_reader_t *reader)
{
    char prefix[NAME_BYTES];

    snprintf(prefix, sizeof(prefix), OBJECT_PREFIX "%0*" PRId64,
             SEQUENCE_DIGITS - BLOCK_DIGITS, reader->next / BLOCK_SEQUENCES);
    mr_platform_list_objects(reader->platform, prefix, on_block, reader);
}

/* Reports missing records up to the next existing one, and reads that one. */
static void
read_next(mr_audit_reader_t *reader)
{
    char name[NAME_BYTES];

    for (;;) {
        if (reader->next / BLOCK_SEQUENCES != reader->listed_block) {
            list_block(reader);
            return;
        }
        if (reader->next > reader->known_end) {
            end_reading(reader, MR_OK);
            return;
        }
        if (reader->present[reader->next % BLOCK_SEQUENCES]) {
            object_name(reader->next, name);
            mr_platform_object_get(reader->platform, name, on_entry, reader);
            return;
        }
        reader->has_previous = false;
        reader->entry(reader->ctx, reader->next, MR_AUDIT_MISSING, NULL);
        reader->next++;
    }
}

static void
on_reader_tail(void *ctx, mr_error_kind_t error, int64_t revision,
               json_t *value)
{
    mr_audit_reader_t *reader = ctx;
    tail_t tail;

    (void)revision;
    if (error != MR_OK && error != MR_ERR_NOT_FOUND) {
        end_reading(reader, error);
        return;
    }
    if (error == MR_OK && read_tail(value, &tail)) {
        reader->known_end = tail.sequence;
    }
    read_next(reader);
}

mr_audit_reader_t *
mr_audit_read(mr_platform_t *platform, int64_t first,
              mr_audit_entry_fn_t entry, mr_audit_done_fn_t done, void *ctx)
{
    mr_audit_reader_t *reader = MR_NEW(mr_audit_reader_t);

    reader->platform = platform;
    reader->next = first < 1 ? 1 : first;
    /* The first record has "" as its "previous". */
    reader->has_previous = reader->next == 1;
    reader->listed_block = -1;
    reader->entry = entry;
    reader->done = done;
    reader->ctx = ctx;
    mr_platform_row_get(platform, TAIL_ROW, on_reader_tail, reader);
    return reader;
}
