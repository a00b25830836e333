#include "operator/diff.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/json.h"
#include "common/mem.h"
#include "config/model.h"
#include "operator/builder.h"

typedef struct section {
    const char *name;
    const char *title;
} section_t;

/* In the order of output: the sections that matter most for an approval come
 * first. */
static const section_t sections[] = {
    {"accounts", "Client accounts"},
    {"keys", "Keys"},
    {"routes", "Routes"},
    {"targets", "Targets"},
    {"groups", "Groups"},
    {"services", "Services"},
    {"data_centres", "Data centres"},
    {"general", "General"},
};

/* The permission of an account to use a route is represented as a field of the
 * route: this prefix and the account's name. */
static const char permission_prefix[] = "accounts.";

enum { SECTION_COUNT = sizeof(sections) / sizeof(sections[0]) };

/* Copies the fields of @object except arrays to @flat. Fields of nested
 * objects get dotted paths. */
static void
flatten_fields(json_t *flat, const char *prefix, const json_t *object)
{
    const char *name;
    json_t *value;

    json_object_foreach((json_t *)object, name, value)
    {
        char *path = mr_asprintf("%s%s", prefix, name);
        if (json_is_object(value)) {
            char *inner = mr_asprintf("%s.", path);
            flatten_fields(flat, inner, value);
            free(inner);
        }
        else if (!json_is_array(value)) {
            json_object_set(flat, path, value);
        }
        free(path);
    }
}

/* Adds the elements of @kind in @parent, and the elements nested in them, to
 * their sections of @flat. */
static void
flatten_elements(json_t *flat, mr_op_kind_t kind, const char *parent_name,
                 const json_t *parent)
{
    const mr_op_kind_info_t *info = mr_op_kind_info(kind);
    json_t *section = json_object_get(flat, info->list);
    size_t index;
    json_t *value;

    json_array_foreach(json_object_get(parent, info->list), index, value)
    {
        const char *name =
            json_string_value(json_object_get(value, info->name));
        json_t *fields = json_object();
        flatten_fields(fields, "", value);
        json_object_del(fields, info->name);
        if (info->nested) {
            json_object_set_new(fields, info->parent_label,
                                json_string(parent_name));
        }
        for (int inner = 0; inner < MR_OP_PERMISSION; inner++) {
            const mr_op_kind_info_t *inner_info =
                mr_op_kind_info((mr_op_kind_t)inner);
            if (inner_info->nested && inner_info->parent == kind) {
                flatten_elements(flat, (mr_op_kind_t)inner, name, value);
            }
        }
        if (kind == MR_OP_ROUTE) {
            size_t i;
            json_t *account;
            json_array_foreach(json_object_get(value, "accounts"), i, account)
            {
                char *path = mr_asprintf("%s%s", permission_prefix,
                                         json_string_value(account));
                json_object_set_new(fields, path, json_true());
                free(path);
            }
        }
        json_object_set_new(section, name, fields);
    }
}

/* Returns {section: {name: {field: value}}}. */
static json_t *
flatten_document(const json_t *document)
{
    json_t *flat = json_object();
    json_t *general = json_object();

    for (size_t i = 0; i < SECTION_COUNT; i++) {
        json_object_set_new(flat, sections[i].name, json_object());
    }
    if (document == NULL) {
        json_decref(general);
        return flat;
    }
    for (int kind = 0; kind < MR_OP_KIND_COUNT; kind++) {
        if (!mr_op_kind_info((mr_op_kind_t)kind)->nested) {
            flatten_elements(flat, (mr_op_kind_t)kind, NULL, document);
        }
    }
    flatten_fields(general, "", document);
    json_object_set_new(json_object_get(flat, "general"), "configuration",
                        general);
    return flat;
}

static int
compare_names(const void *a, const void *b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Returns the sorted keys of @left and @right, borrowed from them, in an array
 * to be freed with g_ptr_array_free(). */
static GPtrArray *
union_keys(const json_t *left, const json_t *right)
{
    GPtrArray *names = g_ptr_array_new();
    const char *name;
    json_t *value;

    json_object_foreach((json_t *)left, name, value)
    {
        g_ptr_array_add(names, (gpointer)name);
    }
    json_object_foreach((json_t *)right, name, value)
    {
        if (json_object_get(left, name) == NULL) {
            g_ptr_array_add(names, (gpointer)name);
        }
    }
    g_ptr_array_sort(names, compare_names);
    return names;
}

static json_t *
new_change(const char *section, const char *name, const char *change,
           json_t *before, json_t *after)
{
    json_t *item = json_object();

    json_object_set_new(item, "section", json_string(section));
    json_object_set_new(item, "name", json_string(name));
    json_object_set_new(item, "change", json_string(change));
    if (before != NULL) {
        json_object_set(item, "before", before);
    }
    if (after != NULL) {
        json_object_set(item, "after", after);
    }
    return item;
}

static void
diff_fields(json_t *list, const char *section, const char *name,
            const json_t *before, const json_t *after)
{
    GPtrArray *fields = union_keys(before, after);

    for (guint i = 0; i < fields->len; i++) {
        const char *field = g_ptr_array_index(fields, i);
        json_t *old_value = json_object_get(before, field);
        json_t *new_value = json_object_get(after, field);
        if (old_value != NULL && new_value != NULL
            && json_equal(old_value, new_value)) {
            continue;
        }
        json_t *change =
            new_change(section, name, "changed", old_value, new_value);
        json_object_set_new(change, "field", json_string(field));
        json_array_append_new(list, change);
    }
    g_ptr_array_free(fields, TRUE);
}

static void
diff_section(json_t *list, const char *section, const json_t *before,
             const json_t *after)
{
    GPtrArray *names = union_keys(before, after);

    for (guint i = 0; i < names->len; i++) {
        const char *name = g_ptr_array_index(names, i);
        json_t *old_element = json_object_get(before, name);
        json_t *new_element = json_object_get(after, name);
        if (old_element == NULL || new_element == NULL) {
            const char *change = old_element == NULL ? "added" : "removed";
            json_array_append_new(list, new_change(section, name, change,
                                                   old_element, new_element));
            continue;
        }
        diff_fields(list, section, name, old_element, new_element);
    }
    g_ptr_array_free(names, TRUE);
}

json_t *
mr_op_diff_list(const json_t *before, const json_t *after)
{
    json_t *old_flat = flatten_document(before);
    json_t *new_flat = flatten_document(after);
    json_t *list = json_array();

    for (size_t i = 0; i < SECTION_COUNT; i++) {
        const char *section = sections[i].name;
        diff_section(list, section, json_object_get(old_flat, section),
                     json_object_get(new_flat, section));
    }
    json_decref(old_flat);
    json_decref(new_flat);
    return list;
}

/* Appends strings without quotes. Control characters are replaced, so that a
 * value cannot inject escape sequences into the approver's terminal. */
static void
append_value(GString *out, const json_t *value)
{
    const char *text = json_string_value(value);

    if (text == NULL) {
        char *dump = value != NULL ? mr_json_canonical(value) : NULL;
        g_string_append(out, dump != NULL ? dump : "(none)");
        free(dump);
        return;
    }
    for (const char *p = text; *p != '\0'; p++) {
        bool control = (unsigned char)*p < 0x20 || *p == 0x7f;
        g_string_append_c(out, control ? '?' : *p);
    }
}

static void
append_element(GString *out, const json_t *fields)
{
    const char *separator = ": ";
    GPtrArray *names = union_keys(fields, NULL);

    for (guint i = 0; i < names->len; i++) {
        const char *name = g_ptr_array_index(names, i);
        if (g_str_has_prefix(name, permission_prefix)) {
            g_string_append_printf(out, "%saccount %s allowed", separator,
                                   name + strlen(permission_prefix));
        }
        else {
            g_string_append_printf(out, "%s%s ", separator, name);
            append_value(out, json_object_get(fields, name));
        }
        separator = ", ";
    }
    g_ptr_array_free(names, TRUE);
}

static void
append_change(GString *out, const json_t *change)
{
    const char *kind = json_string_value(json_object_get(change, "change"));
    const char *name = json_string_value(json_object_get(change, "name"));
    const char *field = json_string_value(json_object_get(change, "field"));
    const json_t *before = json_object_get(change, "before");
    const json_t *after = json_object_get(change, "after");

    if (field == NULL) {
        bool added = strcmp(kind, "added") == 0;
        g_string_append_printf(out, "  %c %s", added ? '+' : '-', name);
        append_element(out, added ? after : before);
    }
    else if (g_str_has_prefix(field, permission_prefix)) {
        g_string_append_printf(out, "  ~ %s: account %s %s", name,
                               field + strlen(permission_prefix),
                               after != NULL ? "allowed" : "not allowed");
    }
    else {
        g_string_append_printf(out, "  ~ %s: %s ", name, field);
        append_value(out, before);
        g_string_append(out, " -> ");
        append_value(out, after);
    }
    g_string_append_c(out, '\n');
}

char *
mr_op_diff_format(const json_t *changes)
{
    GString *out = g_string_new(NULL);

    for (size_t i = 0; i < SECTION_COUNT; i++) {
        bool title_printed = false;
        size_t index;
        json_t *change;
        json_array_foreach(changes, index, change)
        {
            const char *section =
                json_string_value(json_object_get(change, "section"));
            if (strcmp(section, sections[i].name) != 0) {
                continue;
            }
            if (!title_printed) {
                g_string_append_printf(out, "%s\n", sections[i].title);
                title_printed = true;
            }
            append_change(out, change);
        }
    }
    if (out->len == 0) {
        g_string_append(out, "No differences.\n");
    }
    char *text = mr_strdup(out->str);
    g_string_free(out, TRUE);
    return text;
}

static mr_config_t *
parse_config(const char *which, const char *json, size_t len,
             char problem[MR_OP_PROBLEM_BYTES])
{
    mr_json_problem_t error = {""};
    mr_config_t *config = mr_config_parse(json, len, &error);

    if (config == NULL) {
        g_snprintf(problem, MR_OP_PROBLEM_BYTES, "%s: %s", which, error.text);
    }
    return config;
}

char *
mr_op_diff(const char *before, size_t before_len, const char *after,
           size_t after_len, char problem[MR_OP_PROBLEM_BYTES])
{
    mr_config_t *old_config = NULL;
    mr_config_t *new_config = NULL;
    char *text = NULL;

    if (before != NULL) {
        old_config = parse_config("before", before, before_len, problem);
        if (old_config == NULL) {
            goto out;
        }
    }
    new_config = parse_config("after", after, after_len, problem);
    if (new_config == NULL) {
        goto out;
    }
    json_t *changes =
        mr_op_diff_list(old_config != NULL ? old_config->document : NULL,
                        new_config->document);
    text = mr_op_diff_format(changes);
    json_decref(changes);
out:
    mr_config_unref(new_config);
    mr_config_unref(old_config);
    return text;
}
