#include "session/directory.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "common/log.h"
#include "common/mem.h"

struct mr_directory {
    mr_directory_options_t options;
    int64_t config_version;
    void *config;
    size_t config_len;
    int64_t registrations_version;
    int64_t digest;
    mr_msg_registration_t *rows;
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
free_rows(mr_directory_t *directory)
{
    for (size_t i = 0; i < directory->row_count; i++) {
        free((void *)directory->rows[i].id);
        free((void *)directory->rows[i].value.data);
    }
    free(directory->rows);
    directory->rows = NULL;
    directory->row_count = 0;
}

void
mr_directory_destroy(mr_directory_t *directory)
{
    if (directory == NULL) {
        return;
    }
    free_rows(directory);
    free(directory->config);
    free(directory);
}

void
mr_directory_set_config(mr_directory_t *directory, const void *data,
                        size_t len, const char *source)
{
    const char *problem;
    mr_catalog_t *catalog = mr_catalog_decode(data, len, &problem);

    if (catalog == NULL) {
        mr_counter_add(directory->malformed, 1);
        mr_log(MR_LOG_ERROR, "configuration_malformed",
               "source=%s problem=\"%s\"", source, problem);
        return;
    }
    if (catalog->version > directory->config_version) {
        mr_log(MR_LOG_INFO, "configuration_applied",
               "version=%lld before=%lld source=%s",
               (long long)catalog->version,
               (long long)directory->config_version, source);
        directory->config_version = catalog->version;
        free(directory->config);
        directory->config = mr_memdup(data, len);
        directory->config_len = len;
        directory->options.on_catalog(directory->options.ctx, catalog);
    }
    mr_catalog_unref(catalog);
}

/* Adds one registration to @state; false when it is malformed. */
static bool
add_to_digest(XXH3_state_t *state, const char *id, const void *value,
              size_t len)
{
    mr_db_entry_t entry;
    mr_db_entry_doc_t *doc = mr_db_entry_decode(value, len, &entry);

    if (doc == NULL) {
        return false;
    }
    char *text =
        mr_asprintf("%s %s %s %s %lld %lld %d %d\n", id, entry.service,
                    entry.address, entry.data_centre, (long long)entry.born,
                    (long long)entry.slots, entry.draining, entry.primary);
    XXH3_64bits_update(state, text, strlen(text));
    free(text);
    mr_db_entry_release(doc);
    return true;
}

/* Takes over the rows that are well-formed. */
static void
copy_rows(mr_directory_t *directory, const mr_store_row_t *rows, size_t count)
{
    XXH3_state_t *state = XXH3_createState();

    XXH3_64bits_reset(state);
    free_rows(directory);
    directory->rows = mr_calloc(count + 1, sizeof(*directory->rows));
    for (size_t i = 0; i < count; i++) {
        if (!add_to_digest(state, rows[i].key, rows[i].value, rows[i].len)) {
            mr_counter_add(directory->malformed, 1);
            continue;
        }
        directory->rows[directory->row_count++] = (mr_msg_registration_t){
            .id = mr_strdup(rows[i].key),
            .value = {mr_memdup(rows[i].value, rows[i].len), rows[i].len},
            .version = rows[i].version,
        };
    }
    directory->digest = (int64_t)XXH3_64bits_digest(state);
    XXH3_freeState(state);
}

static void
apply_rows(mr_directory_t *directory)
{
    mr_clusters_begin(directory->options.clusters);
    for (size_t i = 0; i < directory->row_count; i++) {
        const mr_msg_registration_t *row = &directory->rows[i];
        mr_db_entry_t entry;
        mr_db_entry_doc_t *doc =
            mr_db_entry_decode(row->value.data, row->value.len, &entry);
        if (doc != NULL) {
            mr_clusters_add(directory->options.clusters, row->id, &entry,
                            row->version);
            mr_db_entry_release(doc);
        }
    }
    mr_clusters_end(directory->options.clusters, mr_clock_now(NULL));
}

void
mr_directory_set_registrations(mr_directory_t *directory, int64_t version,
                               const mr_store_row_t *rows, size_t count)
{
    if (version <= directory->registrations_version) {
        return;
    }
    directory->registrations_version = version;
    copy_rows(directory, rows, count);
    apply_rows(directory);
}

bool
mr_directory_complete(const mr_directory_t *directory)
{
    return directory->config_version > 0 && directory->row_count > 0;
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

void
mr_directory_export(const mr_directory_t *directory,
                    const mr_msg_directory_t *known, mr_msg_directory_t *out)
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
        out->config = (mr_bytes_t){directory->config, directory->config_len};
    }
    if (registrations_newer(directory->registrations_version,
                            directory->digest, known->registrations_version,
                            known->registrations_digest)) {
        out->registrations = directory->rows;
        out->registration_count = directory->row_count;
    }
}

static void
import_registrations(mr_directory_t *directory, const mr_msg_directory_t *in)
{
    mr_store_row_t *rows =
        mr_calloc(in->registration_count + 1, sizeof(*rows));

    for (size_t i = 0; i < in->registration_count; i++) {
        const mr_msg_registration_t *row = &in->registrations[i];
        rows[i] = (mr_store_row_t){.key = row->id,
                                   .value = row->value.data,
                                   .len = row->value.len,
                                   .version = row->version};
    }
    mr_directory_set_registrations(directory, in->registrations_version, rows,
                                   in->registration_count);
    free(rows);
}

void
mr_directory_import(mr_directory_t *directory, const mr_msg_directory_t *in,
                    const char *source)
{
    if (in->config.len > 0 && in->config_version > directory->config_version) {
        mr_directory_set_config(directory, in->config.data, in->config.len,
                                source);
    }
    if (in->registrations_version <= directory->registrations_version) {
        return;
    }
    if (in->registrations_digest == directory->digest) {
        directory->registrations_version = in->registrations_version;
        mr_clusters_end(directory->options.clusters, mr_clock_now(NULL));
    }
    else if (in->registration_count > 0) {
        import_registrations(directory, in);
    }
}
