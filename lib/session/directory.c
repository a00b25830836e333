#include "session/directory.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "common/log.h"
#include "common/mem.h"
#include "config/patch.h"

enum {
    /* Former desired states that patches can start from. */
    HISTORY = 8,
};

/** A former desired state. */
typedef struct former {
    int64_t version;
    mr_bytes_t body;
    bool compared;           /* @patch is up to date */
    mr_config_patch_t patch; /* makes the present one of it; empty: too long */
} former_t;

/** What is known of a row beside its contents. */
typedef struct row_mark {
    uint64_t digest;
    int64_t changed; /* store version since which @digest holds */
} row_mark_t;

struct mr_directory {
    mr_directory_options_t options;
    int64_t config_version;
    mr_bytes_t config;
    former_t history[HISTORY]; /* newest first; version 0: none */
    int64_t registrations_version;
    int64_t digest;
    mr_msg_registration_t *rows;
    mr_msg_registration_t *changes; /* as last exported */
    row_mark_t *marks;
    size_t row_count;
    mr_counter_t *malformed;
};

mr_directory_t *
mr_directory_create(const mr_directory_options_t *options)
{
    mr_directory_t *directory = MR_NEW(mr_directory_t);

    directory->options = *options;
    directory->malformed =
        mr_counters_get(options->counters, "masticrelay_rows_ignored_total",
                        "", "desired states and registrations not understood");
    return directory;
}

static void
free_rows(mr_msg_registration_t *rows, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        free((void *)rows[i].id);
        free((void *)rows[i].value.data);
    }
    free(rows);
}

static void
clear_former(former_t *former)
{
    mr_config_patch_clear(&former->patch);
    free((void *)former->body.data);
    *former = (former_t){0};
}

void
mr_directory_destroy(mr_directory_t *directory)
{
    if (directory == NULL) {
        return;
    }
    for (size_t i = 0; i < HISTORY; i++) {
        clear_former(&directory->history[i]);
    }
    free_rows(directory->rows, directory->row_count);
    free(directory->changes);
    free(directory->marks);
    free((void *)directory->config.data);
    free(directory);
}

/* Keeps the present desired state for patches to its successors. */
static void
push_history(mr_directory_t *directory)
{
    if (directory->config_version == 0) {
        return;
    }
    clear_former(&directory->history[HISTORY - 1]);
    for (size_t i = HISTORY - 1; i > 0; i--) {
        directory->history[i] = directory->history[i - 1];
        mr_config_patch_clear(&directory->history[i].patch);
        directory->history[i].compared = false;
    }
    directory->history[0] = (former_t){.version = directory->config_version,
                                       .body = directory->config};
    directory->config = (mr_bytes_t){0};
}

void
mr_directory_set_config(mr_directory_t *directory, const void *data,
                        size_t len, const char *source)
{
    const char *problem;
    mr_catalog_t *catalog = mr_catalog_decode(data, len, &problem);

    if (catalog == NULL) {
        mr_counter_add(directory->malformed, 1);
        mr_log(MR_LOG_ERROR, MR_EVENT_CONFIGURATION_MALFORMED,
               "source=%s problem=\"%s\"", source, problem);
        return;
    }
    if (catalog->version > directory->config_version) {
        mr_log(MR_LOG_INFO, MR_EVENT_CONFIGURATION_APPLIED,
               "version=%lld before=%lld source=%s",
               (long long)catalog->version,
               (long long)directory->config_version, source);
        push_history(directory);
        directory->config_version = catalog->version;
        directory->config = (mr_bytes_t){mr_memdup(data, len), len};
        directory->options.on_catalog(directory->options.ctx, catalog);
    }
    mr_catalog_unref(catalog);
}

/* Hash of what matters of a registration. */
static uint64_t
digest_entry(const char *id, const mr_db_entry_t *entry)
{
    char *text =
        mr_asprintf("%s %s %s %s %lld %lld %d %d\n", id, entry->service,
                    entry->address, entry->data_centre, (long long)entry->born,
                    (long long)entry->slots, entry->draining, entry->primary);
    uint64_t digest = XXH3_64bits(text, strlen(text));

    free(text);
    return digest;
}

/* Index of the row of @id, or the number of rows. Rows mostly keep their
 * places, so that the search begins at @hint. */
static size_t
find_row(const mr_directory_t *directory, const char *id, size_t hint)
{
    size_t count = directory->row_count;

    for (size_t i = 0; i < count; i++) {
        size_t at = (hint + i) % count;
        if (strcmp(directory->rows[at].id, id) == 0) {
            return at;
        }
    }
    return count;
}

static row_mark_t
mark_row(const mr_directory_t *directory, const char *id, size_t hint,
         uint64_t digest)
{
    size_t old = find_row(directory, id, hint);
    bool same =
        old < directory->row_count && directory->marks[old].digest == digest;

    return (row_mark_t){digest, same ? directory->marks[old].changed
                                     : directory->registrations_version};
}

/* Takes over the rows that are well-formed. */
static void
apply_rows(mr_directory_t *directory, const mr_store_row_t *rows, size_t count)
{
    mr_msg_registration_t *copies = mr_calloc(count + 1, sizeof(*copies));
    row_mark_t *marks = mr_calloc(count + 1, sizeof(*marks));
    size_t copied = 0;
    uint64_t digest = 0;

    mr_clusters_begin_update(directory->options.clusters);
    for (size_t i = 0; i < count; i++) {
        const mr_store_row_t *row = &rows[i];
        mr_db_entry_t entry;
        mr_db_entry_doc_t *doc =
            mr_db_entry_decode(row->value, row->len, &entry);
        if (doc == NULL) {
            mr_counter_add(directory->malformed, 1);
            continue;
        }
        marks[copied] = mark_row(directory, row->key, copied,
                                 digest_entry(row->key, &entry));
        digest = XXH3_64bits_withSeed(&marks[copied].digest,
                                      sizeof(marks[copied].digest), digest);
        copies[copied++] = (mr_msg_registration_t){
            .id = mr_strdup(row->key),
            .value = {mr_memdup(row->value, row->len), row->len},
            .version = row->version,
        };
        mr_clusters_add_registration(directory->options.clusters, row->key,
                                     &entry, row->version);
        mr_db_entry_release(doc);
    }
    mr_clusters_end_update(directory->options.clusters, mr_clock_now(NULL));
    free_rows(directory->rows, directory->row_count);
    free(directory->marks);
    directory->rows = copies;
    directory->marks = marks;
    directory->row_count = copied;
    directory->digest = (int64_t)digest;
}

void
mr_directory_set_registrations(mr_directory_t *directory, int64_t version,
                               const mr_store_row_t *rows, size_t count)
{
    if (version <= directory->registrations_version) {
        return;
    }
    directory->registrations_version = version;
    apply_rows(directory, rows, count);
}

bool
mr_directory_has_registrations(const mr_directory_t *directory)
{
    return directory->row_count > 0;
}

bool
mr_directory_complete(const mr_directory_t *directory)
{
    return directory->config_version > 0
           && mr_directory_has_registrations(directory);
}

int64_t
mr_directory_config_version(const mr_directory_t *directory)
{
    return directory->config_version;
}

static bool
registrations_newer(int64_t version, int64_t digest, int64_t than_version,
                    int64_t than_digest)
{
    return version > than_version && digest != than_digest;
}

/* The desired state for a receiver that has @known: a patch if possible. */
static void
export_config(mr_directory_t *directory, int64_t known,
              mr_msg_directory_t *out)
{
    for (size_t i = 0; known > 0 && i < HISTORY; i++) {
        former_t *former = &directory->history[i];
        if (former->version != known) {
            continue;
        }
        if (!former->compared) {
            former->compared = true;
            mr_config_patch_make(former->body, directory->config,
                                 &former->patch);
        }
        if (former->patch.count > 0) {
            out->config_base = known;
            out->config_patch = former->patch.parts;
            out->config_patch_count = former->patch.count;
            return;
        }
    }
    out->config = directory->config;
}

/* All rows; those that have not changed since @known come without a value. */
static void
export_rows(mr_directory_t *directory, int64_t known, mr_msg_directory_t *out)
{
    size_t bytes = (directory->row_count + 1) * sizeof(*directory->changes);

    directory->changes = mr_realloc(directory->changes, bytes);
    for (size_t i = 0; i < directory->row_count; i++) {
        directory->changes[i] = directory->rows[i];
        if (directory->marks[i].changed <= known) {
            directory->changes[i].value = (mr_bytes_t){0};
        }
    }
    out->registrations = directory->changes;
    out->registration_count = directory->row_count;
}

void
mr_directory_export(mr_directory_t *directory, const mr_msg_directory_t *known,
                    mr_msg_directory_t *out)
{
    *out = (mr_msg_directory_t){
        .config_version = directory->config_version,
        .registrations_version = directory->registrations_version,
        .registrations_digest = directory->digest,
    };
    if (known == NULL) {
        return;
    }
    if (directory->config_version > known->config_version) {
        export_config(directory, known->config_version, out);
    }
    if (registrations_newer(directory->registrations_version,
                            directory->digest, known->registrations_version,
                            known->registrations_digest)) {
        export_rows(directory, known->registrations_version, out);
    }
}

static void
import_registrations(mr_directory_t *directory, const mr_msg_directory_t *in,
                     const char *source)
{
    mr_store_row_t *rows =
        mr_calloc(in->registration_count + 1, sizeof(*rows));

    for (size_t i = 0; i < in->registration_count; i++) {
        const mr_msg_registration_t *row = &in->registrations[i];
        size_t own = find_row(directory, row->id, i);
        if (row->value.len == 0 && own < directory->row_count) {
            row = &directory->rows[own];
        }
        rows[i] = (mr_store_row_t){.key = row->id,
                                   .value = row->value.data,
                                   .len = row->value.len,
                                   .version = row->version};
    }
    mr_directory_set_registrations(directory, in->registrations_version, rows,
                                   in->registration_count);
    free(rows);
    if (directory->digest != in->registrations_digest) {
        /* The sender missed what this instance read in between: the next
         * answer brings all rows. */
        mr_log(MR_LOG_INFO, MR_EVENT_REGISTRATIONS_DIFFER,
               "source=%s version=%lld", source,
               (long long)in->registrations_version);
        directory->registrations_version = 0;
        directory->digest = 0;
    }
}

static void
import_config(mr_directory_t *directory, const mr_msg_directory_t *in,
              const char *source)
{
    size_t len;
    char *body;

    if (in->config.len > 0) {
        mr_directory_set_config(directory, in->config.data, in->config.len,
                                source);
        return;
    }
    if (in->config_patch_count == 0
        || in->config_base != directory->config_version) {
        return; /* another instance was faster */
    }
    body = mr_config_patch_apply(directory->config, in->config_patch,
                                 in->config_patch_count, &len);
    if (body == NULL) {
        mr_counter_add(directory->malformed, 1);
        mr_log(MR_LOG_ERROR, MR_EVENT_CONFIGURATION_MALFORMED,
               "source=%s problem=\"patch does not apply\"", source);
        return;
    }
    mr_directory_set_config(directory, body, len, source);
    free(body);
}

void
mr_directory_import(mr_directory_t *directory, const mr_msg_directory_t *in,
                    const char *source)
{
    if (in->config_version > directory->config_version) {
        import_config(directory, in, source);
    }
    if (in->registrations_version <= directory->registrations_version) {
        return;
    }
    if (in->registrations_digest == directory->digest) {
        directory->registrations_version = in->registrations_version;
        mr_clusters_end_update(directory->options.clusters,
                               mr_clock_now(NULL));
    }
    else if (in->registration_count > 0) {
        import_registrations(directory, in, source);
    }
}
