#include "session/session_state.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"

enum {
    /* Values, statements and changes beyond this number count with the memory
     * for their bookkeeping, which is several times the shortest text. Fewer
     * leave a session the whole length of a message for its texts. */
    FREE_ITEMS = 64,
    ITEM_BYTES = 192,
};

struct mr_session_state {
    mr_list_t settings;
    mr_list_t changes;
    /* Settings by key. A session may have thousands, and each message that
     * changes one looks it up. NULL until there is one. */
    GHashTable *by_key;
    size_t item_count; /* settings and changes */
    uint64_t version;
    uint64_t logged_from;
    size_t setting_bytes;
    size_t change_bytes;
};

mr_session_state_t *
mr_session_state_create(void)
{
    mr_session_state_t *state = MR_NEW(mr_session_state_t);

    mr_list_init(&state->settings);
    mr_list_init(&state->changes);
    return state;
}

/* Key of a setting: a letter for its kind, followed by its name. */
static void
write_key(char *out, size_t size, const char *name, bool prepared)
{
    snprintf(out, size, "%c%s", prepared ? 'P' : 'V', name);
}

static void
free_setting(mr_session_state_t *state, mr_setting_t *setting)
{
    mr_list_remove(&setting->link);
    g_hash_table_remove(state->by_key, setting->key);
    state->item_count--;
    free(setting->key);
    free(setting->statement);
    free(setting);
}

void
mr_session_state_destroy(mr_session_state_t *state)
{
    mr_session_state_clear_changes(state);
    MR_LIST_FOREACH(it, &state->settings)
    {
        free_setting(state, MR_LIST_ENTRY(it, mr_setting_t, link));
    }
    if (state->by_key != NULL) {
        g_hash_table_destroy(state->by_key);
    }
    free(state);
}

static mr_setting_t *
find_setting(const mr_session_state_t *state, const char *name, bool prepared)
{
    char key[MR_NAME_MAX_BYTES + 1];

    if (state->by_key == NULL) {
        return NULL;
    }
    write_key(key, sizeof(key), name, prepared);
    return g_hash_table_lookup(state->by_key, key);
}

static size_t
setting_bytes(const char *name, const char *statement)
{
    return strlen(name) + strlen(statement);
}

static void
log_change(mr_session_state_t *state, const char *statement)
{
    mr_state_change_t *change = MR_NEW(mr_state_change_t);

    change->statement = mr_strdup(statement);
    state->change_bytes += strlen(statement);
    state->item_count++;
    mr_list_append(&state->changes, &change->link);
}

static void
add_setting(mr_session_state_t *state, const char *text,
            const mr_command_t *command)
{
    mr_setting_t *setting = MR_NEW(mr_setting_t);

    char key[MR_NAME_MAX_BYTES + 1];

    write_key(key, sizeof(key), command->name,
              command->kind == MR_COMMAND_PREPARE);
    setting->key = mr_strdup(key);
    setting->name = setting->key + 1;
    setting->statement = mr_strdup(text);
    setting->prepared = command->kind == MR_COMMAND_PREPARE;
    setting->read_only = command->read_only;
    state->setting_bytes += setting_bytes(command->name, text);
    mr_list_append(&state->settings, &setting->link);
    state->item_count++;
    if (state->by_key == NULL) {
        state->by_key = g_hash_table_new(g_str_hash, g_str_equal);
    }
    g_hash_table_insert(state->by_key, setting->key, setting);
}

static size_t
count_item_bytes(size_t count)
{
    return count > FREE_ITEMS ? (count - FREE_ITEMS) * ITEM_BYTES : 0;
}

bool
mr_session_state_change(mr_session_state_t *state, const char *text,
                        const mr_command_t *command, bool log)
{
    bool removes = command->kind == MR_COMMAND_DEALLOCATE;
    bool prepared = command->kind != MR_COMMAND_SET;
    mr_setting_t *former = find_setting(state, command->name, prepared);
    char deallocate[2 * MR_NAME_MAX_BYTES] = "";
    size_t bytes = mr_session_state_bytes(state);

    if (former != NULL) {
        bytes -= setting_bytes(former->name, former->statement);
    }
    if (!removes) {
        bytes += setting_bytes(command->name, text);
    }
    /* A database need not accept a second PREPARE of the same name, nor the
     * removal of a name that it does not know. */
    if (log && prepared && former != NULL) {
        mr_deallocate_statement_text(deallocate, sizeof(deallocate),
                                     command->name);
    }
    if (log) {
        bytes += strlen(deallocate) + (removes ? 0 : strlen(text));
    }
    size_t items = state->item_count - (former != NULL ? 1 : 0)
                   + (removes ? 0 : 1) * (log ? 2U : 1U)
                   + (deallocate[0] != '\0' ? 1 : 0);
    bytes += count_item_bytes(items) - count_item_bytes(state->item_count);
    if (bytes > MR_LINE_MAX_BYTES && (log || !removes)) {
        return false;
    }
    if (!log) {
        mr_session_state_clear_changes(state);
    }
    if (former != NULL) {
        state->setting_bytes -= setting_bytes(former->name, former->statement);
        free_setting(state, former);
    }
    state->version++;
    if (!removes) {
        add_setting(state, text, command);
    }
    if (!log) {
        state->logged_from = state->version;
        return true;
    }
    if (deallocate[0] != '\0') {
        log_change(state, deallocate);
    }
    if (!removes) {
        log_change(state, text);
    }
    return true;
}

const mr_setting_t *
mr_session_state_find(const mr_session_state_t *state, const char *name)
{
    return find_setting(state, name, true);
}

uint64_t
mr_session_state_version(const mr_session_state_t *state)
{
    return state->version;
}

size_t
mr_session_state_bytes(const mr_session_state_t *state)
{
    return state->setting_bytes + state->change_bytes
           + count_item_bytes(state->item_count);
}

const mr_list_t *
mr_session_state_settings(const mr_session_state_t *state)
{
    return &state->settings;
}

const mr_list_t *
mr_session_state_changes(const mr_session_state_t *state)
{
    return &state->changes;
}

uint64_t
mr_session_state_logged_from(const mr_session_state_t *state)
{
    return state->logged_from;
}

void
mr_session_state_clear_changes(mr_session_state_t *state)
{
    MR_LIST_FOREACH(it, &state->changes)
    {
        mr_state_change_t *change = MR_LIST_ENTRY(it, mr_state_change_t, link);
        mr_list_remove(&change->link);
        free(change->statement);
        free(change);
        state->item_count--;
    }
    state->change_bytes = 0;
    state->logged_from = state->version;
}
