/* Takes a printed configuration apart again, and changes single parts. */

#include <stdio.h>
#include <string.h>

#include "common/json.h"
#include "config/model.h"
#include "operator/builder.h"

/* Adds the parts of @kind that @parent lists, and the parts within them. */
static void
read_parts(mr_op_t *op, mr_op_kind_t kind, const char *parent_name,
           const json_t *parent)
{
    const mr_op_kind_row_t *row = mr_op_kind_row(kind);
    size_t index;
    json_t *value;

    json_array_foreach(json_object_get(parent, row->list), index, value)
    {
        if (kind == MR_OP_PERMISSION) {
            mr_op_add(op, kind, parent_name, json_string_value(value), NULL);
            continue;
        }
        const char *name =
            json_string_value(json_object_get(value, row->name));
        json_t *fields = json_deep_copy(value);
        json_object_del(fields, row->name);
        for (int inner = 0; inner < MR_OP_KIND_COUNT; inner++) {
            const mr_op_kind_row_t *inner_row =
                mr_op_kind_row((mr_op_kind_t)inner);
            if (inner_row->nested && inner_row->parent == kind) {
                read_parts(op, (mr_op_kind_t)inner, name, value);
                json_object_del(fields, inner_row->list);
            }
        }
        mr_op_add(op, kind, parent_name, name, fields);
    }
}

mr_op_t *
mr_op_read(const char *json, size_t len, char problem[MR_OP_PROBLEM_BYTES])
{
    mr_json_problem_t fault = {""};
    mr_config_t *config = mr_config_parse(json, len, &fault);

    if (config == NULL) {
        snprintf(problem, MR_OP_PROBLEM_BYTES, "%s", fault.text);
        return NULL;
    }
    mr_op_t *op = mr_op_create(config->deployment, config->version);
    for (int kind = 0; kind < MR_OP_KIND_COUNT; kind++) {
        if (!mr_op_kind_row((mr_op_kind_t)kind)->nested) {
            read_parts(op, (mr_op_kind_t)kind, NULL, config->document);
        }
    }
    mr_config_unref(config);
    return op;
}

bool
mr_op_withdraw_key(mr_op_t *op, const char *id)
{
    mr_op_part_t *part = mr_op_find(op, MR_OP_KEY, id);

    if (part == NULL) {
        return false;
    }
    mr_op_part_destroy(part);
    op->part_count--;
    return true;
}

bool
mr_op_set_leaving(mr_op_t *op, const char *target, bool leaving)
{
    mr_op_part_t *part = mr_op_find(op, MR_OP_TARGET, target);

    if (part == NULL) {
        return false;
    }
    json_object_set_new(part->fields, "state",
                        json_string(leaving ? "leaving" : "active"));
    return true;
}
