#include "session/directory.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "common/log.h"
#include "common/mem.h"
#include "config/patch.h"

enum {
    /* Number of earlier desired states that patches can start from. */
    HISTORY_LENGTH = 8,
};

/** An earlier desired state. */
typedef struct old_config {
    int64_t version;
    mr_bytes_t body;
    bool patch_computed;     /* @patch yields the current desired state */
    mr_config_patch_t patch; /* empty: it would be too long */
} old_config_t;

/** Hash of a row's contents, and when it last changed. */
typedef struct row_state {
    uint64_t digest;
    mr_revision_t changed_at; /* revision since which @digest is valid */
} row_state_t;

struct mr_directory {
    mr_directory_options_t options;
    int64_t config_version;
    mr_bytes_t config;
    old_config_t history[HISTORY_LENGTH]; /* newest first; version 0: none */
    mr_revision_t registrations_revision;
    int64_t registrations_digest;
    mr_msg_registration_t *rows;
    mr_msg_registration_t *exported_rows; /* of the last export */
    row_state_t *row_states;
    size_t row_count;
    mr_counter_t *malformed_counter;
};

mr_directory_t *
mr_directory_create(const mr_directory_options_t *options)
{
    mr_directory_t *directory = MR_NEW(mr_directory_t);

    directory->options = *options;
    directory->malformed_counter =
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
clear_old_config(old_config_t *old_config)
{
    mr_config_patch_clear(&old_config->patch);
    free((void *)old_config->body.data);
    *old_config = (old_config_t){0};
}

void
mr_directory_destroy(mr_directory_t *directory)
{
    if (directory == NULL) {
        return;
    }
    for (size_t i = 0; i < HISTORY_LENGTH; i++) {
        clear_old_config(&directory->history[i]);
    }
    free_rows(directory->rows, directory->row_count);
    free(directory->exported_rows);
    free(directory->row_states);
    free((void *)directory->config.data);
    free(directory);
}

/* Keeps the current desired state as the base of patches to later ones. */
static void
push_history(mr_directory_t *directory)
{
    if (directory->config_version == 0) {
        return;
    }
    clear_old_config(&directory->history[HISTORY_LENGTH - 1]);
    for (size_t i = HISTORY_LENGTH - 1; i > 0; i--) {
        directory->history[i] = directory->history[i - 1];
        mr_config_patch_clear(&directory->history[i].patch);
        directory->history[i].patch_computed = false;
    }
    directory->history[0] = (old_config_t){
        .version = directory->config_version, .body = directory->config};
    directory->config = (mr_bytes_t){0};
}

void
mr_directory_set_config(mr_directory_t *directory, const void *data,
                        size_t len, const char *source)
{
    const char *problem;
    mr_catalog_t *catalog = mr_catalog_decode(data, len, &problem);

    if (catalog == NULL) {
        mr_counter_add(directory->malformed_counter, 1);
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

/* Hash of the fields of a registration that are used. */
static uint64_t
hash_registration(const char *id, const mr_db_entry_t *entry)
{
    char *text = mr_asprintf(
        "%s %s %s %s %lld %lld %d %d\n", id, entry->service, entry->address,
        entry->data_centre, (long long)entry->started_at,
        (long long)entry->slots, entry->draining, entry->primary);
    uint64_t digest = XXH3_64bits(text, strlen(text));

    free(text);
    return digest;
}

/* Returns the index of the row of @id, or the number of rows. The search
 * starts at @hint, as rows mostly keep their index. */
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

static row_state_t
make_row_state(const mr_directory_t *directory, const char *id, size_t hint,
               uint64_t digest)
{
    size_t old = find_row(directory, id, hint);
    bool same = old < directory->row_count
                && directory->row_states[old].digest == digest;

    return (row_state_t){digest, same ? directory->row_states[old].changed_at
                                      : directory->registrations_revision};
}

/* Applies the well-formed rows. */
static void
apply_rows(mr_directory_t *directory, const mr_store_row_t *rows, size_t count)
{
    mr_msg_registration_t *copies = mr_calloc(count + 1, sizeof(*copies));
    row_state_t *states = mr_calloc(count + 1, sizeof(*states));
    size_t copied = 0;
    uint64_t digest = 0;

    mr_clusters_begin_update(directory->options.clusters,
                             directory->registrations_revision);
    for (size_t i = 0; i < count; i++) {
        const mr_store_row_t *row = &rows[i];
        mr_db_entry_t entry;
        mr_db_entry_doc_t *doc =
            mr_db_entry_decode(row->value, row->len, &entry);
        if (doc == NULL) {
            mr_counter_add(directory->malformed_counter, 1);
            continue;
        }
        states[copied] = make_row_state(directory, row->key, copied,
                                        hash_registration(row->key, &entry));
        digest = XXH3_64bits_withSeed(&states[copied].digest,
                                      sizeof(states[copied].digest), digest);
        copies[copied++] = (mr_msg_registration_t){
            .id = mr_strdup(row->key),
            .value = {mr_memdup(row->value, row->len), row->len},
            .version = row->revision.version,
            .era = row->revision.era,
        };
        mr_clusters_add_registration(directory->options.clusters, row->key,
                                     &entry, row->revision);
        mr_db_entry_release(doc);
    }
    mr_clusters_end_update(directory->options.clusters, mr_clock_now(NULL));
    free_rows(directory->rows, directory->row_count);
    free(directory->row_states);
    directory->rows = copies;
    directory->row_states = states;
    directory->row_count = copied;
    directory->registrations_digest = (int64_t)digest;
}

void
mr_directory_set_registrations(mr_directory_t *directory,
                               mr_revision_t revision,
                               const mr_store_row_t *rows, size_t count)
{
    if (mr_revision_compare(revision, directory->registrations_revision)
        <= 0) {
        return;
    }
    directory->registrations_revision = revision;
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

static mr_revision_t
registrations_revision(const mr_msg_directory_t *msg)
{
    return (mr_revision_t){msg->registrations_era, msg->registrations_version};
}

/* Exports the desired state for a receiver that has version @known, as a patch
 * if possible. */
static void
export_config(mr_directory_t *directory, int64_t known,
              mr_msg_directory_t *out)
{
    for (size_t i = 0; known > 0 && i < HISTORY_LENGTH; i++) {
        old_config_t *old_config = &directory->history[i];
        if (old_config->version != known) {
            continue;
        }
        if (!old_config->patch_computed) {
            old_config->patch_computed = true;
            mr_config_patch_make(old_config->body, directory->config,
                                 &old_config->patch);
        }
        if (old_config->patch.count > 0) {
            out->config_base = known;
            out->config_patch = old_config->patch.parts;
            out->config_patch_count = old_config->patch.count;
            return;
        }
    }
    out->config = directory->config;
}

/* Exports all rows; those that have not changed since @known have no value. */
static void
export_rows(mr_directory_t *directory, mr_revision_t known,
            mr_msg_directory_t *out)
{
    size_t bytes =
        (directory->row_count + 1) * sizeof(*directory->exported_rows);

    directory->exported_rows = mr_realloc(directory->exported_rows, bytes);
    for (size_t i = 0; i < directory->row_count; i++) {
        directory->exported_rows[i] = directory->rows[i];
        if (mr_revision_compare(directory->row_states[i].changed_at, known)
            <= 0) {
            directory->exported_rows[i].value = (mr_bytes_t){0};
        }
    }
    out->registrations = directory->exported_rows;
    out->registration_count = directory->row_count;
}

void
mr_directory_export(mr_directory_t *directory, const mr_msg_directory_t *known,
                    mr_msg_directory_t *out)
{
    *out = (mr_msg_directory_t){
        .config_version = directory->config_version,
        .registrations_version = directory->registrations_revision.version,
        .registrations_era = directory->registrations_revision.era,
        .registrations_digest = directory->registrations_digest,
    };
    if (known == NULL) {
        return;
    }
    if (directory->config_version > known->config_version) {
        export_config(directory, known->config_version, out);
    }
    if (mr_revision_compare(directory->registrations_revision,
                            registrations_revision(known))
            > 0
        && directory->registrations_digest != known->registrations_digest) {
        export_rows(directory, registrations_revision(known), out);
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
                                   .revision = {row->era, row->version}};
    }
    mr_directory_set_registrations(directory, registrations_revision(in), rows,
                                   in->registration_count);
    free(rows);
    if (directory->registrations_digest != in->registrations_digest) {
        /* This instance has read changes that the sender missed. With the
         * version reset, the next reply contains all rows. */
        mr_log(MR_LOG_INFO, MR_EVENT_REGISTRATIONS_DIFFER,
               "source=%s version=%lld", source,
               (long long)in->registrations_version);
        directory->registrations_revision.version = 0;
        directory->registrations_digest = 0;
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
        return; /* the base has been replaced in the meantime */
    }
    body = mr_config_patch_apply(directory->config, in->config_patch,
                                 in->config_patch_count, &len);
    if (body == NULL) {
        mr_counter_add(directory->malformed_counter, 1);
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
    if (mr_revision_compare(registrations_revision(in),
                            directory->registrations_revision)
        <= 0) {
        return;
    }
    if (in->registrations_digest == directory->registrations_digest) {
        directory->registrations_revision = registrations_revision(in);
        mr_clusters_end_update(directory->options.clusters,
                               mr_clock_now(NULL));
    }
    else if (in->registration_count > 0) {
        import_registrations(directory, in, source);
    }
}
