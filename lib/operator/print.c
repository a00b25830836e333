/* Puts the parts of a description together as one checked configuration. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/json.h"
#include "common/mem.h"
#include "config/model.h"
#include "operator/builder.h"

typedef struct assembly {
    mr_op_t *op;
    json_t *root;
    GHashTable *placed[MR_OP_KIND_COUNT]; /* name -> its JSON, borrowed */
} assembly_t;

static int
compare_parts(const void *a, const void *b)
{
    const mr_op_part_t *left = *(mr_op_part_t *const *)a;
    const mr_op_part_t *right = *(mr_op_part_t *const *)b;

    if (left->kind != right->kind) {
        return left->kind < right->kind ? -1 : 1;
    }
    int order = strcmp(left->name, right->name);
    if (order == 0 && left->parent != NULL && right->parent != NULL) {
        order = strcmp(left->parent, right->parent);
    }
    return order;
}

/* The parts by kind and name, so that the order of adding leaves no trace. */
static mr_op_part_t **
sort_parts(const mr_op_t *op)
{
    mr_op_part_t **parts = mr_calloc(op->part_count, sizeof(mr_op_part_t *));
    size_t count = 0;

    MR_LIST_FOREACH(it, &op->parts)
    {
        parts[count++] = MR_LIST_ENTRY(it, mr_op_part_t, link);
    }
    qsort(parts, count, sizeof(mr_op_part_t *), compare_parts);
    return parts;
}

static bool
is_duplicate(const mr_op_part_t *part, const mr_op_part_t *before)
{
    if (before == NULL || part->kind != before->kind
        || strcmp(part->name, before->name) != 0) {
        return false;
    }
    return part->kind != MR_OP_PERMISSION
           || strcmp(part->parent, before->parent) == 0;
}

static void
report_duplicate(mr_op_t *op, const mr_op_part_t *part)
{
    if (part->kind == MR_OP_PERMISSION) {
        mr_op_fault(op, "routes[%s].accounts names \"%s\" twice", part->parent,
                    part->name);
        return;
    }
    const mr_op_kind_row_t *row = mr_op_kind_row(part->kind);
    mr_op_fault(op, "%s[%s].%s is used twice", row->list, part->name,
                row->name);
}

static json_t *
find_placed(const assembly_t *assembly, mr_op_kind_t kind, const char *name)
{
    return g_hash_table_lookup(assembly->placed[kind], name);
}

/* The list that @part belongs in; NULL when its parent is not described. */
static json_t *
find_list(const assembly_t *assembly, const mr_op_part_t *part)
{
    const mr_op_kind_row_t *row = mr_op_kind_row(part->kind);

    if (!row->nested) {
        return json_object_get(assembly->root, row->list);
    }
    if (part->parent[0] == '\0') {
        return NULL; /* reported when it was added */
    }
    json_t *parent = find_placed(assembly, row->parent, part->parent);
    if (parent != NULL) {
        return json_object_get(parent, row->list);
    }
    if (part->kind == MR_OP_PERMISSION) {
        mr_op_fault(assembly->op,
                    "routes[%s] is not described, but names account \"%s\"",
                    part->parent, part->name);
    }
    else {
        mr_op_fault(assembly->op, "%s[%s].%s \"%s\" is not described",
                    row->list, part->name, row->container, part->parent);
    }
    return NULL;
}

/* Checks that the field @field of @part names a part of @kind. */
static void
check_reference(const assembly_t *assembly, const mr_op_part_t *part,
                const char *field, mr_op_kind_t kind)
{
    const char *name = json_string_value(json_object_get(part->fields, field));

    if (name == NULL || name[0] == '\0'
        || find_placed(assembly, kind, name) != NULL) {
        return;
    }
    mr_op_fault(assembly->op, "%s[%s].%s \"%s\" is not described",
                mr_op_kind_row(part->kind)->list, part->name, field, name);
}

static void
check_references(const assembly_t *assembly, const mr_op_part_t *part)
{
    switch (part->kind) {
    case MR_OP_TARGET:
        check_reference(assembly, part, "data_centre", MR_OP_DATA_CENTRE);
        break;
    case MR_OP_ROUTE:
        check_reference(assembly, part, "service", MR_OP_SERVICE);
        check_reference(assembly, part, "charged_account", MR_OP_ACCOUNT);
        break;
    case MR_OP_PERMISSION:
        if (find_placed(assembly, MR_OP_ACCOUNT, part->name) == NULL) {
            mr_op_fault(assembly->op,
                        "routes[%s].accounts names \"%s\", which is not "
                        "described",
                        part->parent, part->name);
        }
        break;
    default:
        break;
    }
}

/* The JSON of @part, with empty lists for the parts that it contains. */
static json_t *
build_part(const mr_op_part_t *part)
{
    if (part->kind == MR_OP_PERMISSION) {
        return json_string(part->name);
    }
    json_t *object = json_deep_copy(part->fields);
    json_object_set_new(object, mr_op_kind_row(part->kind)->name,
                        json_string(part->name));
    for (int kind = 0; kind < MR_OP_KIND_COUNT; kind++) {
        const mr_op_kind_row_t *row = mr_op_kind_row((mr_op_kind_t)kind);
        if (row->nested && row->parent == part->kind) {
            json_object_set_new(object, row->list, json_array());
        }
    }
    return object;
}

static void
place_part(assembly_t *assembly, mr_op_part_t *part)
{
    json_t *list = find_list(assembly, part);

    check_references(assembly, part);
    json_t *value = build_part(part);
    if (part->kind != MR_OP_PERMISSION) {
        /* Also without a list, so that a missing parent is reported once. */
        g_hash_table_insert(assembly->placed[part->kind], part->name,
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
assembly_open(assembly_t *assembly, mr_op_t *op)
{
    assembly->op = op;
    assembly->root = json_object();
    json_object_set_new(assembly->root, "format",
                        json_integer(MR_CONFIG_FORMAT));
    json_object_set_new(assembly->root, "version", json_integer(op->version));
    json_object_set_new(assembly->root, "deployment",
                        json_string(op->deployment));
    for (int kind = 0; kind < MR_OP_KIND_COUNT; kind++) {
        const mr_op_kind_row_t *row = mr_op_kind_row((mr_op_kind_t)kind);
        assembly->placed[kind] =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, release_json);
        if (!row->nested) {
            json_object_set_new(assembly->root, row->list, json_array());
        }
    }
}

static void
assembly_close(assembly_t *assembly)
{
    for (int kind = 0; kind < MR_OP_KIND_COUNT; kind++) {
        g_hash_table_destroy(assembly->placed[kind]);
    }
    json_decref(assembly->root);
}

/* Forgets what an earlier mr_op_print() found; parts may have come since. */
static void
drop_print_problems(mr_op_t *op)
{
    size_t kept = 0;

    for (size_t i = 0; i < op->problem_count; i++) {
        if (op->problems[i].of_print) {
            free(op->problems[i].text);
            continue;
        }
        op->problems[kept++] = op->problems[i];
    }
    op->problem_count = kept;
}

/* The whole check of the daemons, after the checks of single fields. */
static char *
print_checked(mr_op_t *op, const json_t *root)
{
    mr_json_problem_t problem = {""};
    char *text = mr_json_canonical(root);

    if (text == NULL) {
        mr_op_fault(op, "the configuration cannot be printed as JSON");
        return NULL;
    }
    mr_config_t *config = mr_config_parse(text, strlen(text), &problem);
    if (config == NULL) {
        mr_op_fault(op, "%s", problem.text);
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
    mr_op_part_t *before = NULL;
    mr_op_part_t **parts = sort_parts(op);
    assembly_t assembly;

    drop_print_problems(op);
    op->printing = true;
    if (op->deployment[0] == '\0') {
        mr_op_fault(op, "deployment is missing");
    }
    if (op->version < 1) {
        mr_op_fault(op, "version is %lld; the least is 1",
                    (long long)op->version);
    }
    assembly_open(&assembly, op);
    for (size_t i = 0; i < op->part_count; i++) {
        mr_op_part_t *part = parts[i];
        if (part->name[0] == '\0') {
            continue; /* reported when it was added */
        }
        if (is_duplicate(part, before)) {
            report_duplicate(op, part);
            continue;
        }
        place_part(&assembly, part);
        before = part;
    }
    if (op->problem_count == 0) {
        text = print_checked(op, assembly.root);
    }
    assembly_close(&assembly);
    op->printing = false;
    free(parts);
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
