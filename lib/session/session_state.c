#include "session/session_state.h"

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"

struct mr_session_state {
    mr_list_t settings;
    mr_list_t changes;
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

static void
free_setting(mr_setting_t *setting)
{
    mr_list_remove(&setting->link);
    free(setting->name);
    free(setting->statement);
    free(setting);
}

void
mr_session_state_destroy(mr_session_state_t *state)
{
    mr_session_state_clear_changes(state);
    MR_LIST_FOREACH(it, &state->settings)
    {
        free_setting(MR_LIST_ENTRY(it, mr_setting_t, link));
    }
    free(state);
}

static mr_setting_t *
find_setting(const mr_session_state_t *state, const char *name, bool prepared)
{
    MR_LIST_FOREACH(it, &state->settings)
    {
        mr_setting_t *setting = MR_LIST_ENTRY(it, mr_setting_t, link);
        if (setting->prepared == prepared
            && strcmp(setting->name, name) == 0) {
            return setting;
        }
    }
    return NULL;
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
    mr_list_append(&state->changes, &change->link);
}

static void
add_setting(mr_session_state_t *state, const char *text,
            const mr_command_t *command)
{
    mr_setting_t *setting = MR_NEW(mr_setting_t);

    setting->name = mr_strdup(command->name);
    setting->statement = mr_strdup(text);
    setting->prepared = command->kind == MR_COMMAND_PREPARE;
    setting->read_only = command->read_only;
    state->setting_bytes += setting_bytes(command->name, text);
    mr_list_append(&state->settings, &setting->link);
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
    if (bytes > MR_LINE_MAX_BYTES && (log || !removes)) {
        return false;
    }
    if (!log) {
        mr_session_state_clear_changes(state);
    }
    if (former != NULL) {
        state->setting_bytes -= setting_bytes(former->name, former->statement);
        free_setting(former);
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
    return state->setting_bytes + state->change_bytes;
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
    }
    state->change_bytes = 0;
    state->logged_from = state->version;
}
