#include "session/directory.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "common/log.h"
#include "common/mem.h"
#include "config/patch.h"

enum {
    /* Number of earlier desired states that patches can start from, and the
     * most bytes that they take together. */
    HISTORY_LENGTH = 8,
    HISTORY_MAX_BYTES = 4 << 20,
    /* Bytes that an item of a list adds to a message besides its contents. */
    ITEM_OVERHEAD_BYTES = 24,
    /* How long a restored store may hold registrations older than the known
     * ones. By then, databases that run have registered again and the others'
     * registrations have lapsed. */
    OUTDATED_MAX_MS = 15000,
    REMOVED_ROWS_MAX = 256, /* removed registrations that are remembered */
    /* Age of another instance's evacuations with which a process that starts
     * may serve. Less than the shortest time limit of an evacuation with its
     * margin. */
    RECENT_SET_MS = 1200,
};

/** An earlier desired state. */
typedef struct old_config {
    int64_t version;
    mr_bytes_t body;
    bool patch_computed;     /* @patch yields the current desired state */
    mr_config_patch_t patch; /* empty: it would be too long */
} old_config_t;

/** Age of a registration, as its database counts it. */
typedef struct row_age {
    int64_t started_at; /* start of the database's process; 0: not known */
    int64_t report_number;
} row_age_t;

/** What is known of a row besides its contents. */
typedef struct row_state {
    uint64_t digest;          /* of its contents */
    mr_revision_t changed_at; /* revision since which @digest is valid */
    row_age_t age;
} row_state_t;

/** A registration that was removed. */
typedef struct removed_row {
    char *id;                 /* NULL: none */
    mr_revision_t removed_at; /* of the set that lacked it */
    row_age_t age;
    int64_t copied_era; /* in which @age was that of the restored row */
} removed_row_t;

/** A set of registrations that is being built. */
typedef struct row_set {
    mr_msg_registration_t *rows;
    row_state_t *states;
    size_t count;
    uint64_t digest;
    size_t outdated; /* rows replaced or left out as they are older */
} row_set_t;

struct mr_directory {
    mr_directory_options_t options;
    int64_t config_version;
    mr_bytes_t config;
    mr_catalog_t *catalog; /* decoded from @config; NULL: none */
    old_config_t history[HISTORY_LENGTH]; /* newest first; version 0: none */
    mr_confirmation_t confirmation; /* of desired state and evacuations */
    bool serving;      /* the evacuations were known well enough to begin */
    bool store_failed; /* the call that has just ended */
    mr_msg_evacuation_t exported_evacuations[MR_EVACUATIONS_MAX];
    mr_revision_t registrations_revision;
    mr_ms_t registrations_at; /* when that last became newer */
    int64_t registrations_digest;
    mr_msg_registration_t *rows;
    mr_msg_registration_t *exported_rows; /* of the last export */
    row_state_t *row_states;
    size_t row_count;
    removed_row_t removed_rows[REMOVED_ROWS_MAX]; /* ring buffer */
    size_t removed_next;
    bool restored; /* the era has risen, at @restored_at */
    mr_ms_t restored_at;
    mr_counter_t *malformed_counter;
    mr_counter_t *outdated_counter;
};

mr_directory_t *
mr_directory_create(const mr_directory_options_t *options)
{
    mr_directory_t *directory = MR_NEW(mr_directory_t);

    directory->options = *options;
    directory->serving = options->evacuations == NULL;
    directory->malformed_counter =
        mr_counters_get(options->counters, "masticrelay_rows_ignored_total",
                        "", "desired states and registrations not understood");
    directory->outdated_counter = mr_counters_get(
        options->counters, "masticrelay_registrations_outdated_total", "",
        "registrations of a restored store older than the known ones");
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
    for (size_t i = 0; i < REMOVED_ROWS_MAX; i++) {
        free(directory->removed_rows[i].id);
    }
    free_rows(directory->rows, directory->row_count);
    free(directory->exported_rows);
    free(directory->row_states);
    mr_catalog_unref(directory->catalog);
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
    size_t bytes = 0;
    for (size_t i = 0; i < HISTORY_LENGTH; i++) {
        bytes += directory->history[i].body.len;
        if (bytes > HISTORY_MAX_BYTES) {
            clear_old_config(&directory->history[i]);
        }
    }
}

/* Lets statements be served once the desired state is known and the
 * evacuations are. Those of another instance count if they are recent, or if
 * the store cannot be asked. */
static void
begin_serving(mr_directory_t *directory)
{
    const mr_confirmation_t *confirmation = &directory->confirmation;
    mr_ms_t now = mr_clock_now(directory->options.clock);

    if (directory->serving
        || !mr_evacuations_known(directory->options.evacuations)
        || (!directory->store_failed
            && (confirmation->at == 0
                || now - confirmation->at >= RECENT_SET_MS))) {
        return;
    }
    directory->serving = true;
    if (directory->catalog != NULL) {
        directory->options.on_catalog(directory->options.ctx,
                                      directory->catalog);
    }
}

static bool
is_current_config(const mr_directory_t *directory, const void *data,
                  size_t len)
{
    return len == directory->config.len && len > 0
           && memcmp(data, directory->config.data, len) == 0;
}

bool
mr_directory_set_config(mr_directory_t *directory, const void *data,
                        size_t len, const char *source)
{
    const char *problem;

    if (is_current_config(directory, data, len)) {
        return true;
    }
    mr_catalog_t *catalog =
        mr_catalog_decode(data, len, directory->catalog, &problem);
    if (catalog == NULL) {
        mr_counter_add(directory->malformed_counter, 1);
        mr_log(MR_LOG_ERROR, MR_EVENT_CONFIGURATION_MALFORMED,
               "source=%s problem=\"%s\"", source, problem);
        return false;
    }
    if (catalog->version > directory->config_version) {
        mr_log(MR_LOG_INFO, MR_EVENT_CONFIGURATION_APPLIED,
               "version=%lld before=%lld source=%s",
               (long long)catalog->version,
               (long long)directory->config_version, source);
        push_history(directory);
        directory->config_version = catalog->version;
        directory->config = (mr_bytes_t){mr_memdup(data, len), len};
        if (directory->serving) {
            directory->options.on_catalog(directory->options.ctx, catalog);
        }
        mr_catalog_unref(directory->catalog);
        directory->catalog = catalog;
        mr_confirmation_set_held(&directory->confirmation,
                                 directory->config_version);
        return true;
    }
    mr_catalog_unref(catalog);
    return true;
}

/* Whether the evacuations that are held are those of @revision or newer. */
static bool
holds_evacuations(const mr_directory_t *directory, mr_revision_t revision)
{
    const mr_evacuations_t *evacuations = directory->options.evacuations;

    return evacuations == NULL
           || mr_revision_compare(mr_evacuations_revision(evacuations),
                                  revision)
                  >= 0;
}

bool
mr_directory_lacks_evacuations(const mr_directory_t *directory)
{
    return !holds_evacuations(directory, directory->confirmation.revision);
}

/* A confirmation covers the evacuations, so it is of no use without them. */
static void
update_confirmation(mr_directory_t *directory, const mr_confirmation_t *heard)
{
    if (!holds_evacuations(directory, heard->revision)) {
        return;
    }
    mr_confirmation_update(&directory->confirmation, heard);
    mr_confirmation_set_held(&directory->confirmation,
                             directory->config_version);
    if (directory->options.evacuations != NULL) {
        mr_evacuations_note_confirmed(directory->options.evacuations,
                                      directory->confirmation.at);
        begin_serving(directory);
    }
}

static bool
update_evacuations(mr_directory_t *directory, mr_evacuation_update_t *update)
{
    update->confirmed_at = directory->confirmation.at;
    update->now = mr_clock_now(directory->options.clock);
    return mr_evacuations_update(directory->options.evacuations, update);
}

bool
mr_directory_set_evacuations(mr_directory_t *directory, mr_revision_t after,
                             mr_revision_t revision,
                             const mr_store_row_t *rows, size_t count)
{
    mr_evacuation_change_t *changes;
    mr_evacuation_update_t update = {
        .revision = revision,
        .complete = after.version == 0,
        .after = after,
        .source = "store",
    };

    if (directory->options.evacuations == NULL) {
        return true;
    }
    changes = mr_calloc(count + 1, sizeof(*changes));
    update.changes = changes;
    for (size_t i = 0; i < count; i++) {
        const char *name = mr_store_evacuated_data_centre(rows[i].key);
        if (name != NULL) {
            changes[update.count++] =
                (mr_evacuation_change_t){name, rows[i].deleted};
        }
    }
    bool applied = update_evacuations(directory, &update);
    free(changes);
    return applied;
}

void
mr_directory_note_store_failure(mr_directory_t *directory)
{
    if (directory->options.evacuations != NULL) {
        mr_evacuations_note_failure(directory->options.evacuations,
                                    mr_clock_now(directory->options.clock));
        directory->store_failed = true;
        begin_serving(directory);
        directory->store_failed = false;
    }
}

void
mr_directory_confirm_config(mr_directory_t *directory, mr_revision_t revision,
                            mr_ms_t at)
{
    update_confirmation(
        directory,
        &(mr_confirmation_t){.config_version = directory->config_version,
                             .revision = revision,
                             .at = at});
}

void
mr_directory_import_confirmation(mr_directory_t *directory,
                                 const mr_msg_directory_t *in, mr_ms_t sent_at)
{
    if (in->confirmed_version <= 0 || in->confirmed_age_ms < 0
        || in->confirmed_age_ms >= sent_at) {
        return;
    }
    update_confirmation(
        directory, &(mr_confirmation_t){
                       .config_version = in->confirmed_config,
                       .revision = {in->confirmed_era, in->confirmed_version},
                       .at = sent_at - in->confirmed_age_ms});
}

const mr_confirmation_t *
mr_directory_confirmation(const mr_directory_t *directory)
{
    return &directory->confirmation;
}

/* Binary order of magnitude of a cold period in seconds; 0: it is over. The
 * time itself is counted down with each registration, and would have all rows
 * sent again each time. */
static int
cold_magnitude(int64_t cold_left)
{
    int magnitude = 0;

    for (int64_t s = (cold_left + 999) / 1000; s > 0; s /= 2) {
        magnitude++;
    }
    return magnitude;
}

/* Hash of the fields of a registration that are used. Without a cold period it
 * equals that of releases that do not know it. */
static uint64_t
hash_registration(const char *id, const mr_db_entry_t *entry)
{
    char *text = mr_asprintf(
        "%s %s %s %s %lld %lld %d %d\n", id, entry->service, entry->address,
        entry->data_centre, (long long)entry->started_at,
        (long long)entry->slots, entry->draining, entry->primary);
    if (entry->cold_left > 0) {
        char *longer =
            mr_asprintf("%s%d\n", text, cold_magnitude(entry->cold_left));
        free(text);
        text = longer;
    }
    uint64_t digest = XXH3_64bits(text, strlen(text));

    free(text);
    return digest;
}

static mr_store_row_t
to_store_row(const mr_msg_registration_t *row)
{
    return (mr_store_row_t){.key = row->id,
                            .value = row->value.data,
                            .len = row->value.len,
                            .revision = {row->era, row->version}};
}

/* Returns the index of the row of @id, or @count. The search starts at @hint,
 * as rows mostly keep their index. */
static size_t
find_row(const mr_msg_registration_t *rows, size_t count, const char *id,
         size_t hint)
{
    for (size_t i = 0; i < count; i++) {
        size_t at = (hint + i) % count;
        if (strcmp(rows[at].id, id) == 0) {
            return at;
        }
    }
    return count;
}

static removed_row_t *
find_removed_row(mr_directory_t *directory, const char *id)
{
    for (size_t i = 0; i < REMOVED_ROWS_MAX; i++) {
        removed_row_t *row = &directory->removed_rows[i];
        if (row->id != NULL && strcmp(row->id, id) == 0) {
            return row;
        }
    }
    return NULL;
}

static void
forget_removed_row(mr_directory_t *directory, const char *id)
{
    removed_row_t *row = find_removed_row(directory, id);

    if (row != NULL) {
        free(row->id);
        *row = (removed_row_t){0};
    }
}

/* Remembers the rows that @set no longer has. */
static void
remember_removed_rows(mr_directory_t *directory, const row_set_t *set)
{
    for (size_t i = 0; i < directory->row_count; i++) {
        const char *id = directory->rows[i].id;
        if (find_row(set->rows, set->count, id, i) < set->count) {
            continue;
        }
        removed_row_t *row = &directory->removed_rows[directory->removed_next];
        directory->removed_next =
            (directory->removed_next + 1) % REMOVED_ROWS_MAX;
        free(row->id);
        *row = (removed_row_t){
            .id = mr_strdup(id),
            .removed_at = directory->registrations_revision,
            .age = directory->row_states[i].age,
        };
    }
}

/* Order of two reports of the same database, like strcmp(). They count as
 * equal if the start of a process is not known. */
static int
compare_ages(row_age_t a, row_age_t b)
{
    if (a.started_at == 0 || b.started_at == 0) {
        return 0;
    }
    if (a.started_at != b.started_at) {
        return a.started_at < b.started_at ? -1 : 1;
    }
    if (a.report_number != b.report_number) {
        return a.report_number < b.report_number ? -1 : 1;
    }
    return 0;
}

/* Whether a row is the registration of a removed database as it was in the
 * copy that the store was restored from. */
static bool
is_removed(mr_directory_t *directory, const mr_store_row_t *row, row_age_t age)
{
    int64_t era = directory->registrations_revision.era;
    removed_row_t *removed = find_removed_row(directory, row->key);

    if (removed == NULL || removed->removed_at.era >= era) {
        return false;
    }
    /* The database may have made further reports before the copy, which were
     * not read. If this one is newer than the copy, another one follows. */
    if (row->revision.version <= removed->removed_at.version
        && age.started_at == removed->age.started_at
        && removed->copied_era != era) {
        removed->copied_era = era;
        if (compare_ages(age, removed->age) > 0) {
            removed->age = age;
        }
    }
    return compare_ages(age, removed->age) <= 0;
}

/* Whether a row is from the older copy that the store was restored from, and
 * its database has registered again or been removed since. @own: index of its
 * present row, or the number of rows. */
static bool
is_outdated(mr_directory_t *directory, const mr_store_row_t *row,
            const mr_db_entry_t *entry, size_t own)
{
    row_age_t age = {entry->started_at, entry->report_number};
    mr_ms_t now = mr_clock_now(directory->options.clock);

    if (!directory->restored
        || now - directory->restored_at >= OUTDATED_MAX_MS) {
        return false;
    }
    if (own == directory->row_count) {
        return is_removed(directory, row, age);
    }
    return directory->rows[own].era < directory->registrations_revision.era
           && compare_ages(age, directory->row_states[own].age) < 0;
}

/* Adds a well-formed row to @set and to the clusters. @own: index of its
 * present row, or the number of rows. */
static void
add_row(mr_directory_t *directory, row_set_t *set, const mr_store_row_t *row,
        const mr_db_entry_t *entry, size_t own)
{
    row_state_t *state = &set->states[set->count];
    bool known = own < directory->row_count;

    *state = (row_state_t){
        .digest = hash_registration(row->key, entry),
        .changed_at = directory->registrations_revision,
        .age = {entry->started_at, entry->report_number},
    };
    if (known && directory->row_states[own].digest == state->digest) {
        state->changed_at = directory->row_states[own].changed_at;
    }
    if (!known) {
        forget_removed_row(directory, row->key);
    }
    set->digest = XXH3_64bits_withSeed(&state->digest, sizeof(state->digest),
                                       set->digest);
    set->rows[set->count++] = (mr_msg_registration_t){
        .id = mr_strdup(row->key),
        .value = {mr_memdup(row->value, row->len), row->len},
        .version = row->revision.version,
        .era = row->revision.era,
    };
    mr_clusters_add_registration(directory->options.clusters, row->key, entry,
                                 row->revision);
}

/* Adds @row to @set if it is well-formed, or the present row if @row is
 * outdated. */
static void
apply_row(mr_directory_t *directory, row_set_t *set, const mr_store_row_t *row)
{
    mr_db_entry_t entry;
    mr_db_entry_doc_t *doc = mr_db_entry_decode(row->value, row->len, &entry);
    size_t own =
        find_row(directory->rows, directory->row_count, row->key, set->count);

    if (doc == NULL || !mr_db_entry_is_word(row->key)) {
        mr_counter_add(directory->malformed_counter, 1);
        mr_db_entry_release(doc);
        return;
    }
    if (!is_outdated(directory, row, &entry, own)) {
        add_row(directory, set, row, &entry, own);
        mr_db_entry_release(doc);
        return;
    }
    mr_db_entry_release(doc);
    set->outdated++;
    if (own < directory->row_count) {
        mr_store_row_t present = to_store_row(&directory->rows[own]);
        doc = mr_db_entry_decode(present.value, present.len, &entry);
        add_row(directory, set, &present, &entry, own);
        mr_db_entry_release(doc);
    }
}

/* Applies the well-formed rows. Returns the number of outdated ones. */
static size_t
apply_rows(mr_directory_t *directory, const mr_store_row_t *rows, size_t count)
{
    row_set_t set = {
        .rows = mr_calloc(count + 1, sizeof(*set.rows)),
        .states = mr_calloc(count + 1, sizeof(*set.states)),
    };

    mr_clusters_begin_update(directory->options.clusters,
                             directory->registrations_revision);
    for (size_t i = 0; i < count; i++) {
        apply_row(directory, &set, &rows[i]);
    }
    mr_clusters_end_update(directory->options.clusters,
                           mr_clock_now(directory->options.clock));
    remember_removed_rows(directory, &set);
    free_rows(directory->rows, directory->row_count);
    free(directory->row_states);
    directory->rows = set.rows;
    directory->row_states = set.states;
    directory->row_count = set.count;
    directory->registrations_digest = (int64_t)set.digest;
    if (set.outdated > 0) {
        mr_counter_add(directory->outdated_counter, (int64_t)set.outdated);
        mr_log(MR_LOG_INFO, MR_EVENT_REGISTRATIONS_OUTDATED,
               "count=%zu era=%lld", set.outdated,
               (long long)directory->registrations_revision.era);
    }
    return set.outdated;
}

static void
set_revision(mr_directory_t *directory, mr_revision_t revision)
{
    if (revision.era > directory->registrations_revision.era) {
        directory->restored = true;
        directory->restored_at = mr_clock_now(directory->options.clock);
    }
    directory->registrations_revision = revision;
    directory->registrations_at = mr_clock_now(directory->options.clock);
}

/* Applies a set of registrations if it is newer. Returns the number of
 * outdated ones in it. */
static size_t
apply_registrations(mr_directory_t *directory, mr_revision_t revision,
                    const mr_store_row_t *rows, size_t count)
{
    if (mr_revision_compare(revision, directory->registrations_revision)
        <= 0) {
        return 0;
    }
    set_revision(directory, revision);
    return apply_rows(directory, rows, count);
}

void
mr_directory_set_registrations(mr_directory_t *directory,
                               mr_revision_t revision,
                               const mr_store_row_t *rows, size_t count)
{
    apply_registrations(directory, revision, rows, count);
}

bool
mr_directory_has_registrations(const mr_directory_t *directory)
{
    return directory->row_count > 0;
}

mr_ms_t
mr_directory_registrations_at(const mr_directory_t *directory)
{
    return directory->registrations_at;
}

bool
mr_directory_complete(const mr_directory_t *directory)
{
    return directory->config_version > 0 && directory->serving
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

/* Returns whether @a has newer registrations than @b, with other contents. */
static bool
registrations_newer(const mr_msg_directory_t *a, const mr_msg_directory_t *b)
{
    return mr_revision_compare(registrations_revision(a),
                               registrations_revision(b))
               > 0
           && a->registrations_digest != b->registrations_digest;
}

static size_t
patch_bytes(const mr_msg_patch_part_t *parts, size_t count)
{
    size_t bytes = 0;

    for (size_t i = 0; i < count; i++) {
        bytes += ITEM_OVERHEAD_BYTES + parts[i].insert.len;
    }
    return bytes;
}

static size_t
row_bytes(const mr_msg_registration_t *row)
{
    return ITEM_OVERHEAD_BYTES + strlen(row->id) + row->value.len;
}

/* Exports the desired state for a receiver that has version @known, as a patch
 * if possible. */
static void
export_config(mr_directory_t *directory, int64_t known, size_t max_bytes,
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
            if (patch_bytes(old_config->patch.parts, old_config->patch.count)
                <= max_bytes) {
                out->config_base = known;
                out->config_patch = old_config->patch.parts;
                out->config_patch_count = old_config->patch.count;
            }
            return;
        }
    }
    if (directory->config.len <= max_bytes) {
        out->config = directory->config;
    }
}

/* Exports all rows; those that have not changed since @known have no value. A
 * receiver without a version gets all values. */
static void
export_rows(mr_directory_t *directory, mr_revision_t known, size_t max_bytes,
            mr_msg_directory_t *out)
{
    size_t size =
        (directory->row_count + 1) * sizeof(*directory->exported_rows);
    size_t bytes = 0;

    directory->exported_rows = mr_realloc(directory->exported_rows, size);
    for (size_t i = 0; i < directory->row_count; i++) {
        directory->exported_rows[i] = directory->rows[i];
        if (known.version > 0
            && mr_revision_compare(directory->row_states[i].changed_at, known)
                   <= 0) {
            directory->exported_rows[i].value = (mr_bytes_t){0};
        }
        bytes += row_bytes(&directory->exported_rows[i]);
    }
    if (bytes > max_bytes) {
        return;
    }
    out->registrations = directory->exported_rows;
    out->registration_count = directory->row_count;
}

/* Exports the evacuations, except those that the restored store lacks. */
static void
export_evacuations(mr_directory_t *directory, mr_msg_directory_t *out)
{
    const mr_evacuations_t *evacuations = directory->options.evacuations;
    size_t count = evacuations != NULL ? mr_evacuations_count(evacuations) : 0;

    if (evacuations == NULL) {
        return;
    }
    out->evacuations_era = mr_evacuations_revision(evacuations).era;
    out->evacuations_version = mr_evacuations_revision(evacuations).version;
    out->evacuations = directory->exported_evacuations;
    for (size_t i = 0; i < count; i++) {
        bool kept;
        const char *name = mr_evacuations_name(evacuations, i, &kept);
        if (!kept) {
            out->evacuations[out->evacuation_count++].data_centre = name;
        }
    }
}

static void
import_evacuations(mr_directory_t *directory, const mr_msg_directory_t *in,
                   const char *source)
{
    mr_evacuation_change_t *changes;
    mr_evacuation_update_t update = {
        .revision = {in->evacuations_era, in->evacuations_version},
        .complete = true,
        .count = in->evacuation_count,
        .source = source,
    };

    if (directory->options.evacuations == NULL
        || in->evacuations_version <= 0) {
        return;
    }
    changes = mr_calloc(in->evacuation_count + 1, sizeof(*changes));
    for (size_t i = 0; i < in->evacuation_count; i++) {
        changes[i].data_centre = in->evacuations[i].data_centre;
    }
    update.changes = changes;
    update_evacuations(directory, &update);
    free(changes);
}

void
mr_directory_export(mr_directory_t *directory, const mr_msg_directory_t *known,
                    size_t max_bytes, mr_msg_directory_t *out)
{
    *out = (mr_msg_directory_t){
        .config_version = directory->config_version,
        .registrations_version = directory->registrations_revision.version,
        .registrations_era = directory->registrations_revision.era,
        .registrations_digest = directory->registrations_digest,
        .confirmed_config = directory->confirmation.config_version,
        .confirmed_version = directory->confirmation.revision.version,
        .confirmed_era = directory->confirmation.revision.era,
        .confirmed_age_ms = mr_clock_now(directory->options.clock)
                            - directory->confirmation.at,
    };
    export_evacuations(directory, out);
    if (known == NULL) {
        return;
    }
    if (directory->config_version > known->config_version) {
        export_config(directory, known->config_version, max_bytes, out);
    }
    if (registrations_newer(out, known)) {
        export_rows(directory, registrations_revision(known), max_bytes, out);
    }
}

bool
mr_directory_has_contents(const mr_msg_directory_t *exported)
{
    return exported->config.len > 0 || exported->config_patch_count > 0
           || exported->registration_count > 0;
}

size_t
mr_directory_content_bytes(const mr_msg_directory_t *exported)
{
    size_t bytes =
        exported->config.len
        + patch_bytes(exported->config_patch, exported->config_patch_count);

    for (size_t i = 0; i < exported->registration_count; i++) {
        bytes += row_bytes(&exported->registrations[i]);
    }
    return bytes;
}

bool
mr_directory_leaves_out(const mr_msg_directory_t *exported,
                        const mr_msg_directory_t *known)
{
    bool config = exported->config_version > known->config_version
                  && exported->config.len == 0
                  && exported->config_patch_count == 0;
    bool rows = registrations_newer(exported, known)
                && exported->registration_count == 0;

    return config || rows;
}

bool
mr_directory_lacks(mr_directory_t *directory,
                   const mr_msg_directory_t *exported)
{
    mr_msg_directory_t own;

    mr_directory_export(directory, NULL, 0, &own);
    return exported->config_version > own.config_version
           || registrations_newer(exported, &own);
}

static void
import_registrations(mr_directory_t *directory, const mr_msg_directory_t *in,
                     const char *source)
{
    mr_store_row_t *rows =
        mr_calloc(in->registration_count + 1, sizeof(*rows));

    for (size_t i = 0; i < in->registration_count; i++) {
        const mr_msg_registration_t *row = &in->registrations[i];
        size_t own =
            find_row(directory->rows, directory->row_count, row->id, i);
        if (row->value.len == 0 && own < directory->row_count) {
            row = &directory->rows[own];
        }
        rows[i] = to_store_row(row);
    }
    size_t outdated = apply_registrations(
        directory, registrations_revision(in), rows, in->registration_count);
    free(rows);
    if (directory->registrations_digest != in->registrations_digest
        && outdated == 0) {
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
    import_evacuations(directory, in, source);
    if (in->config_version > directory->config_version) {
        import_config(directory, in, source);
    }
    if (mr_revision_compare(registrations_revision(in),
                            directory->registrations_revision)
        <= 0) {
        return;
    }
    if (in->registrations_digest == directory->registrations_digest) {
        set_revision(directory, registrations_revision(in));
        mr_clusters_end_update(directory->options.clusters,
                               mr_clock_now(directory->options.clock));
    }
    else if (in->registration_count > 0) {
        import_registrations(directory, in, source);
    }
}
