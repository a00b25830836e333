/* Parses a configuration back into a description and edits its elements. */

#include <stdio.h>
#include <string.h>

#include "common/json.h"
#include "config/model.h"
#include "operator/builder.h"

/* Adds the elements of @kind in @parent and the elements nested in them. */
static void
read_elements(mr_op_t *op, mr_op_kind_t kind, const char *parent_name,
              const json_t *parent)
{
    const mr_op_kind_info_t *info = mr_op_kind_info(kind);
    size_t index;
    json_t *value;

    json_array_foreach(json_object_get(parent, info->list), index, value)
    {
        if (kind == MR_OP_PERMISSION) {
            mr_op_add_element(op, kind, parent_name, json_string_value(value),
                              NULL);
            continue;
        }
        const char *name =
            json_string_value(json_object_get(value, info->name));
        json_t *fields = json_deep_copy(value);
        json_object_del(fields, info->name);
        for (int inner = 0; inner < MR_OP_KIND_COUNT; inner++) {
            const mr_op_kind_info_t *inner_info =
                mr_op_kind_info((mr_op_kind_t)inner);
            if (inner_info->nested && inner_info->parent == kind) {
                read_elements(op, (mr_op_kind_t)inner, name, value);
                json_object_del(fields, inner_info->list);
            }
        }
        mr_op_add_element(op, kind, parent_name, name, fields);
    }
}

mr_op_t *
mr_op_read(const char *json, size_t len, char problem[MR_OP_PROBLEM_BYTES])
{
    mr_json_problem_t error = {""};
    mr_config_t *config = mr_config_parse(json, len, &error);

    if (config == NULL) {
        snprintf(problem, MR_OP_PROBLEM_BYTES, "%s", error.text);
        return NULL;
    }
    mr_op_t *op = mr_op_create(config->deployment, config->version);
    for (int kind = 0; kind < MR_OP_KIND_COUNT; kind++) {
        if (!mr_op_kind_info((mr_op_kind_t)kind)->nested) {
            read_elements(op, (mr_op_kind_t)kind, NULL, config->document);
        }
    }
    mr_config_unref(config);
    return op;
}

bool
mr_op_withdraw_key(mr_op_t *op, const char *id)
{
    mr_op_element_t *element = mr_op_find_element(op, MR_OP_KEY, id);

    if (element == NULL) {
        return false;
    }
    mr_op_element_destroy(element);
    op->element_count--;
    return true;
}

bool
mr_op_set_leaving(mr_op_t *op, const char *target, bool leaving)
{
    mr_op_element_t *element = mr_op_find_element(op, MR_OP_TARGET, target);

    if (element == NULL) {
        return false;
    }
    json_object_set_new(element->fields, "state",
                        json_string(leaving ? "leaving" : "active"));
    return true;
}
