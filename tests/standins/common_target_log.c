#include "common_target_log.h"

#include <string.h>

#include "common/mem.h"

static const char *
json_text(const json_t *object, const char *name)
{
    const char *text = json_string_value(json_object_get(object, name));

    return text == NULL ? "" : text;
}

/* Returns the value of a key after @statement; takes ownership of @value. */
static json_t *
apply_operation(json_t *value, const json_t *statement)
{
    json_t *operand = json_object_get(statement, "value");

    if (strcmp(json_text(statement, "op"), "put") == 0) {
        json_decref(value);
        return json_incref(operand);
    }
    if (!json_is_array(value)) {
        json_t *list = json_array();

        if (value != NULL) {
            json_array_append_new(list, value);
        }
        value = list;
    }
    json_array_append(value, operand);
    return value;
}

static bool
modifies_value(const json_t *statement)
{
    const char *op = json_text(statement, "op");

    return strcmp(op, "put") == 0 || strcmp(op, "append") == 0;
}

static void
apply_statement(target_log_t *log, json_t *statement)
{
    const char *key = json_text(statement, "key");
    json_t *item;
    size_t index;

    json_array_foreach(json_object_get(statement, "batch"), index, item)
    {
        apply_statement(log, item);
    }
    if (modifies_value(statement)) {
        json_t *value = json_incref(g_hash_table_lookup(log->values, key));

        g_hash_table_insert(log->values, g_strdup(key),
                            apply_operation(value, statement));
    }
}

json_t *
target_log_evaluate(const target_log_t *log, const json_t *buffered,
                    const json_t *statement, const char **failure)
{
    const char *op = json_text(statement, "op");
    const char *key = json_text(statement, "key");
    json_t *item;
    size_t index;

    if (strcmp(op, "sleep") == 0) {
        return json_pack("{sb}", "ok", 1);
    }
    if (modifies_value(statement)) {
        if (json_object_get(statement, "value") != NULL && *key != '\0') {
            return json_pack("{sb}", "ok", 1);
        }
        *failure = "key and value are required";
        return NULL;
    }
    if (strcmp(op, "get") != 0) {
        *failure = strcmp(op, "fail") == 0 ? "as asked" : "unknown op";
        return NULL;
    }
    json_t *value = json_deep_copy(g_hash_table_lookup(log->values, key));
    json_array_foreach(buffered, index, item)
    {
        if (modifies_value(item) && strcmp(json_text(item, "key"), key) == 0) {
            value = apply_operation(value, item);
        }
    }
    return json_pack("{so}", "value", value == NULL ? json_null() : value);
}

static void
write_state(target_log_t *log, json_t *line)
{
    if (log->file != NULL) {
        json_dumpf(line, log->file, JSON_COMPACT);
        fputc('\n', log->file);
        fflush(log->file);
    }
    json_decref(line);
}

static void
entry_free(void *ptr)
{
    target_entry_t *entry = ptr;

    json_decref(entry->statement);
    g_free(entry);
}

static void
value_free(void *ptr)
{
    json_decref(ptr);
}

static void
add_entry(target_log_t *log, int64_t term, json_t *statement,
          mr_ms_t appended_at)
{
    target_entry_t *entry = g_new0(target_entry_t, 1);

    entry->term = term;
    entry->statement = json_incref(statement);
    entry->appended_at = appended_at;
    g_ptr_array_add(log->entries, entry);
    apply_statement(log, statement);
}

static void
drop_entries(target_log_t *log, int64_t position)
{
    g_ptr_array_set_size(log->entries, (int)position);
    g_hash_table_remove_all(log->values);
    for (guint i = 0; i < log->entries->len; i++) {
        target_entry_t *entry = g_ptr_array_index(log->entries, i);

        apply_statement(log, entry->statement);
    }
}

static void
load_state_line(target_log_t *log, const char *line)
{
    json_int_t term = 0;
    json_int_t granted = 0;
    json_int_t position = 0;
    json_t *statement = NULL;
    json_t *value = json_loads(line, 0, NULL);

    /* A killed process may leave an incomplete last line, which is ignored. */
    if (json_unpack(value, "{sI, sI}", "term", &term, "granted", &granted)
        == 0) {
        log->term = term;
        log->granted = granted;
    }
    else if (json_unpack(value, "{sI, so}", "term", &term, "statement",
                         &statement)
             == 0) {
        add_entry(log, term, statement, 0);
    }
    else if (json_unpack(value, "{sI}", "truncate", &position) == 0) {
        drop_entries(log, position);
    }
    json_decref(value);
}

bool
target_log_open(target_log_t *log, const char *path)
{
    char *line = NULL;
    size_t size = 0;

    log->entries = g_ptr_array_new_with_free_func(entry_free);
    log->values =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, value_free);
    if (path == NULL) {
        return true;
    }
    log->file = fopen(path, "a+e");
    if (log->file == NULL) {
        return false;
    }
    rewind(log->file);
    while (getline(&line, &size, log->file) > 0) {
        load_state_line(log, line);
    }
    free(line);
    fputc('\n', log->file);
    return true;
}

int64_t
target_log_position(const target_log_t *log)
{
    return log->entries->len;
}

int64_t
target_log_term_at(const target_log_t *log, int64_t position)
{
    if (position <= 0 || position > target_log_position(log)) {
        return 0;
    }
    target_entry_t *entry = g_ptr_array_index(log->entries, position - 1);
    return entry->term;
}

void
target_log_set_term(target_log_t *log, int64_t term, bool granted)
{
    log->primary = false;
    log->term = term;
    if (granted) {
        log->granted = term;
    }
    write_state(log, json_pack("{sI, sI}", "term", (json_int_t)log->term,
                               "granted", (json_int_t)log->granted));
}

void
target_log_append(target_log_t *log, int64_t term, json_t *statement)
{
    write_state(log, json_pack("{sI, sO}", "term", (json_int_t)term,
                               "statement", statement));
    add_entry(log, term, statement, mr_clock_now(NULL));
}

void
target_log_truncate(target_log_t *log, int64_t position)
{
    if (position < target_log_position(log)) {
        write_state(log, json_pack("{sI}", "truncate", (json_int_t)position));
        drop_entries(log, position);
    }
}

json_t *
target_log_state(const target_log_t *log)
{
    int64_t position = target_log_position(log);

    return json_pack("{ss, sI, sI, sI, sb}", "role",
                     log->primary ? "primary" : "replica", "term",
                     (json_int_t)log->term, "last_term",
                     (json_int_t)target_log_term_at(log, position), "position",
                     (json_int_t)position, "leaving", log->leaving);
}

json_t *
target_log_dump(const target_log_t *log)
{
    json_t *list = json_array();

    for (guint i = 0; i < log->entries->len; i++) {
        target_entry_t *entry = g_ptr_array_index(log->entries, i);

        json_array_append_new(list, json_pack("{sI, sO}", "term",
                                              (json_int_t)entry->term,
                                              "statement", entry->statement));
    }
    return list;
}
