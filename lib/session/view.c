#include "session/view.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "common/log.h"
#include "common/mem.h"

struct mr_view {
    mr_view_options_t options;
    int64_t config_version;
    void *config;
    size_t config_len;
    int64_t registrations_version;
    int64_t digest;
    mr_msg_registration_t *rows;
    size_t row_count;
    mr_counter_t *malformed;
};

mr_view_t *
mr_view_create(const mr_view_options_t *options)
{
    mr_view_t *view = MR_NEW(mr_view_t);

    view->options = *options;
    view->malformed =
        mr_counters_get(options->counters, "masticrelay_rows_ignored_total",
                        "", "desired states and registrations not understood");
    return view;
}

static void
free_rows(mr_view_t *view)
{
    for (size_t i = 0; i < view->row_count; i++) {
        free((void *)view->rows[i].id);
        free((void *)view->rows[i].value.data);
    }
    free(view->rows);
    view->rows = NULL;
    view->row_count = 0;
}

void
mr_view_destroy(mr_view_t *view)
{
    if (view == NULL) {
        return;
    }
    free_rows(view);
    free(view->config);
    free(view);
}

void
mr_view_set_config(mr_view_t *view, const void *data, size_t len,
                   const char *source)
{
    const char *problem;
    mr_catalog_t *catalog = mr_catalog_decode(data, len, &problem);

    if (catalog == NULL) {
        mr_counter_add(view->malformed, 1);
        mr_log(MR_LOG_ERROR, "configuration_malformed",
               "source=%s problem=\"%s\"", source, problem);
        return;
    }
    if (catalog->version > view->config_version) {
        mr_log(MR_LOG_INFO, "configuration_applied",
               "version=%lld before=%lld source=%s",
               (long long)catalog->version, (long long)view->config_version,
               source);
        view->config_version = catalog->version;
        free(view->config);
        view->config = mr_memdup(data, len);
        view->config_len = len;
        view->options.on_catalog(view->options.ctx, catalog);
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
copy_rows(mr_view_t *view, const mr_store_row_t *rows, size_t count)
{
    XXH3_state_t *state = XXH3_createState();

    XXH3_64bits_reset(state);
    free_rows(view);
    view->rows = mr_calloc(count + 1, sizeof(*view->rows));
    for (size_t i = 0; i < count; i++) {
        if (!add_to_digest(state, rows[i].key, rows[i].value, rows[i].len)) {
            mr_counter_add(view->malformed, 1);
            continue;
        }
        view->rows[view->row_count++] = (mr_msg_registration_t){
            .id = mr_strdup(rows[i].key),
            .value = {mr_memdup(rows[i].value, rows[i].len), rows[i].len},
            .version = rows[i].version,
        };
    }
    view->digest = (int64_t)XXH3_64bits_digest(state);
    XXH3_freeState(state);
}

static void
apply_rows(mr_view_t *view)
{
    mr_clusters_begin(view->options.clusters);
    for (size_t i = 0; i < view->row_count; i++) {
        const mr_msg_registration_t *row = &view->rows[i];
        mr_db_entry_t entry;
        mr_db_entry_doc_t *doc =
            mr_db_entry_decode(row->value.data, row->value.len, &entry);
        if (doc != NULL) {
            mr_clusters_add(view->options.clusters, row->id, &entry,
                            row->version);
            mr_db_entry_release(doc);
        }
    }
    mr_clusters_end(view->options.clusters, mr_clock_now(NULL));
}

void
mr_view_set_registrations(mr_view_t *view, int64_t version,
                          const mr_store_row_t *rows, size_t count)
{
    if (version <= view->registrations_version) {
        return;
    }
    view->registrations_version = version;
    copy_rows(view, rows, count);
    apply_rows(view);
}

bool
mr_view_complete(const mr_view_t *view)
{
    return view->config_version > 0 && view->row_count > 0;
}

int64_t
mr_view_config_version(const mr_view_t *view)
{
    return view->config_version;
}

static bool
registrations_newer(int64_t version, int64_t digest, int64_t than_version,
                    int64_t than_digest)
{
    return version > than_version && digest != than_digest;
}

void
mr_view_export(const mr_view_t *view, const mr_msg_view_t *known,
               mr_msg_view_t *out)
{
    *out = (mr_msg_view_t){
        .config_version = view->config_version,
        .registrations_version = view->registrations_version,
        .registrations_digest = view->digest,
    };
    if (known == NULL) {
        return;
    }
    if (view->config_version > known->config_version) {
        out->config = (mr_bytes_t){view->config, view->config_len};
    }
    if (registrations_newer(view->registrations_version, view->digest,
                            known->registrations_version,
                            known->registrations_digest)) {
        out->registrations = view->rows;
        out->registration_count = view->row_count;
    }
}

static void
import_registrations(mr_view_t *view, const mr_msg_view_t *in)
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
    mr_view_set_registrations(view, in->registrations_version, rows,
                              in->registration_count);
    free(rows);
}

void
mr_view_import(mr_view_t *view, const mr_msg_view_t *in, const char *source)
{
    if (in->config.len > 0 && in->config_version > view->config_version) {
        mr_view_set_config(view, in->config.data, in->config.len, source);
    }
    if (in->registrations_version <= view->registrations_version) {
        return;
    }
    if (in->registrations_digest == view->digest) {
        view->registrations_version = in->registrations_version;
        mr_clusters_end(view->options.clusters, mr_clock_now(NULL));
    }
    else if (in->registration_count > 0) {
        import_registrations(view, in);
    }
}
