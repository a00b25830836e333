/* Builds and validates the configuration of a description. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/json.h"
#include "common/mem.h"
#include "config/model.h"
#include "operator/builder.h"

/** The configuration being built. */
typedef struct builder {
    mr_op_t *op;
    json_t *root;
    GHashTable *objects[MR_OP_KIND_COUNT]; /* name, borrowed -> JSON */
} builder_t;

static int
compare_elements(const void *a, const void *b)
{
    const mr_op_element_t *left = *(mr_op_element_t *const *)a;
    const mr_op_element_t *right = *(mr_op_element_t *const *)b;

    if (left->kind != right->kind) {
        return left->kind < right->kind ? -1 : 1;
    }
    int order = strcmp(left->name, right->name);
    if (order == 0 && left->parent != NULL && right->parent != NULL) {
        order = strcmp(left->parent, right->parent);
    }
    return order;
}

/* Returns the elements sorted by kind and name, so that the output does not
 * depend on the order in which they were added. */
static mr_op_element_t **
sort_elements(const mr_op_t *op)
{
    mr_op_element_t **elements =
        mr_calloc(op->element_count, sizeof(mr_op_element_t *));
    size_t count = 0;

    MR_LIST_FOREACH(it, &op->elements)
    {
        elements[count++] = MR_LIST_ENTRY(it, mr_op_element_t, link);
    }
    qsort(elements, count, sizeof(mr_op_element_t *), compare_elements);
    return elements;
}

static bool
is_duplicate(const mr_op_element_t *element, const mr_op_element_t *previous)
{
    if (previous == NULL || element->kind != previous->kind
        || strcmp(element->name, previous->name) != 0) {
        return false;
    }
    return element->kind != MR_OP_PERMISSION
           || strcmp(element->parent, previous->parent) == 0;
}

static void
report_duplicate(mr_op_t *op, const mr_op_element_t *element)
{
    if (element->kind == MR_OP_PERMISSION) {
        mr_op_add_problem(op, "routes[%s].accounts names \"%s\" twice",
                          element->parent, element->name);
        return;
    }
    const mr_op_kind_info_t *info = mr_op_kind_info(element->kind);
    mr_op_add_problem(op, "%s[%s].%s is used twice", info->list, element->name,
                      info->name);
}

static json_t *
find_object(const builder_t *builder, mr_op_kind_t kind, const char *name)
{
    return g_hash_table_lookup(builder->objects[kind], name);
}

/* Returns the list to add @element to; NULL if its parent is not described. */
static json_t *
find_parent_list(const builder_t *builder, const mr_op_element_t *element)
{
    const mr_op_kind_info_t *info = mr_op_kind_info(element->kind);

    if (!info->nested) {
        return json_object_get(builder->root, info->list);
    }
    if (element->parent[0] == '\0') {
        return NULL; /* reported when the element was added */
    }
    json_t *parent = find_object(builder, info->parent, element->parent);
    if (parent != NULL) {
        return json_object_get(parent, info->list);
    }
    if (element->kind == MR_OP_PERMISSION) {
        mr_op_add_problem(
            builder->op,
            "routes[%s] is not described, but names account \"%s\"",
            element->parent, element->name);
    }
    else {
        mr_op_add_problem(builder->op, "%s[%s].%s \"%s\" is not described",
                          info->list, element->name, info->parent_label,
                          element->parent);
    }
    return NULL;
}

/* Checks that @field of @element, if set, names an element of @kind. */
static void
check_reference(const builder_t *builder, const mr_op_element_t *element,
                const char *field, mr_op_kind_t kind)
{
    const char *name =
        json_string_value(json_object_get(element->fields, field));

    if (name == NULL || name[0] == '\0'
        || find_object(builder, kind, name) != NULL) {
        return;
    }
    mr_op_add_problem(builder->op, "%s[%s].%s \"%s\" is not described",
                      mr_op_kind_info(element->kind)->list, element->name,
                      field, name);
}

static void
check_references(const builder_t *builder, const mr_op_element_t *element)
{
    switch (element->kind) {
    case MR_OP_TARGET:
        check_reference(builder, element, "data_centre", MR_OP_DATA_CENTRE);
        break;
    case MR_OP_ROUTE:
        check_reference(builder, element, "service", MR_OP_SERVICE);
        check_reference(builder, element, "charged_account", MR_OP_ACCOUNT);
        break;
    case MR_OP_PERMISSION:
        if (find_object(builder, MR_OP_ACCOUNT, element->name) == NULL) {
            mr_op_add_problem(builder->op,
                              "routes[%s].accounts names \"%s\", which is not "
                              "described",
                              element->parent, element->name);
        }
        break;
    default:
        break;
    }
}

/* Returns the JSON of @element, with empty lists of nested elements. */
static json_t *
build_object(const mr_op_element_t *element)
{
    if (element->kind == MR_OP_PERMISSION) {
        return json_string(element->name);
    }
    json_t *object = json_deep_copy(element->fields);
    json_object_set_new(object, mr_op_kind_info(element->kind)->name,
                        json_string(element->name));
    for (int kind = 0; kind < MR_OP_KIND_COUNT; kind++) {
        const mr_op_kind_info_t *info = mr_op_kind_info((mr_op_kind_t)kind);
        if (info->nested && info->parent == element->kind) {
            json_object_set_new(object, info->list, json_array());
        }
    }
    return object;
}

static void
insert_element(builder_t *builder, mr_op_element_t *element)
{
    json_t *list = find_parent_list(builder, element);

    check_references(builder, element);
    json_t *value = build_object(element);
    if (element->kind != MR_OP_PERMISSION) {
        /* Also without a parent, so that elements nested in this one do not
         * report it as missing. */
        g_hash_table_insert(builder->objects[element->kind], element->name,
                            json_incref(value));
    }
    if (list != NULL) {
        json_array_append(list, value);
    }
    json_decref(value);
}

static void
release_json(void *value)
{
    json_decref(value);
}

static void
builder_init(builder_t *builder, mr_op_t *op)
{
    builder->op = op;
    builder->root = json_object();
    json_object_set_new(builder->root, "format",
                        json_integer(MR_CONFIG_FORMAT));
    json_object_set_new(builder->root, "version", json_integer(op->version));
    json_object_set_new(builder->root, "deployment",
                        json_string(op->deployment));
    for (int kind = 0; kind < MR_OP_KIND_COUNT; kind++) {
        const mr_op_kind_info_t *info = mr_op_kind_info((mr_op_kind_t)kind);
        builder->objects[kind] =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, release_json);
        if (!info->nested) {
            json_object_set_new(builder->root, info->list, json_array());
        }
    }
}

static void
builder_release(builder_t *builder)
{
    for (int kind = 0; kind < MR_OP_KIND_COUNT; kind++) {
        g_hash_table_destroy(builder->objects[kind]);
    }
    json_decref(builder->root);
}

/* Drops the errors of an earlier mr_op_print(); elements may have been added
 * since that resolve them. */
static void
clear_print_problems(mr_op_t *op)
{
    size_t kept = 0;

    for (size_t i = 0; i < op->problem_count; i++) {
        if (op->problems[i].from_print) {
            free(op->problems[i].text);
            continue;
        }
        op->problems[kept++] = op->problems[i];
    }
    op->problem_count = kept;
}

/* Prints @root and validates it as the daemons do; returns NULL after
 * collecting an error. */
static char *
print_checked(mr_op_t *op, const json_t *root)
{
    mr_json_problem_t problem = {""};
    char *text = mr_json_canonical(root);

    if (text == NULL) {
        mr_op_add_problem(op, "the configuration cannot be encoded as JSON");
        return NULL;
    }
    mr_config_t *config = mr_config_parse(text, strlen(text), &problem);
    if (config == NULL) {
        mr_op_add_problem(op, "%s", problem.text);
        free(text);
        return NULL;
    }
    mr_config_unref(config);
    return text;
}

char *
mr_op_print(mr_op_t *op)
{
    char *text = NULL;
    mr_op_element_t *previous = NULL;
    mr_op_element_t **elements = sort_elements(op);
    builder_t builder;

    clear_print_problems(op);
    op->printing = true;
    if (op->deployment[0] == '\0') {
        mr_op_add_problem(op, "deployment is missing");
    }
    if (op->version < 1) {
        mr_op_add_problem(op, "version is %lld; the minimum is 1",
                          (long long)op->version);
    }
    builder_init(&builder, op);
    for (size_t i = 0; i < op->element_count; i++) {
        mr_op_element_t *element = elements[i];
        if (element->name[0] == '\0') {
            continue; /* reported when the element was added */
        }
        if (is_duplicate(element, previous)) {
            report_duplicate(op, element);
            continue;
        }
        insert_element(&builder, element);
        previous = element;
    }
    if (op->problem_count == 0) {
        text = print_checked(op, builder.root);
    }
    builder_release(&builder);
    op->printing = false;
    free(elements);
    return text;
}

int
mr_op_finish(mr_op_t *op, FILE *out, FILE *err)
{
    char *text = mr_op_print(op);

    if (text == NULL) {
        for (size_t i = 0; i < op->problem_count; i++) {
            fprintf(err, "%s\n", op->problems[i].text);
        }
        return 1;
    }
    int rc = fprintf(out, "%s\n", text);
    free(text);
    if (rc < 0 || fflush(out) != 0) {
        fprintf(err, "the configuration could not be written\n");
        return 1;
    }
    return 0;
}
