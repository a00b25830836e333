#ifndef MR_OPERATOR_DIFF_H
#define MR_OPERATOR_DIFF_H

/*
 * Lists the changes between two configurations for their approver. Fields are
 * compared whether or not this version knows them, so that a change of a field
 * added by a newer format is shown as well. Lists that this version does not
 * know are not compared.
 */

#include <jansson.h>

/**
 * mr_op_diff_list() - lists the changes, grouped by section
 * @before: configuration document; NULL: an empty one
 * @after: configuration document; NULL: an empty one
 *
 * The sections in order: "accounts", "keys", "routes", "targets", "groups",
 * "services", "data_centres", "general"; each sorted by name.
 *
 * Return: a new array of {"section","name","change"} with "change" one of
 * "added" (with "after": fields), "removed" (with "before": fields) and
 * "changed" (with "field", and "before" and "after" unless absent).
 */
json_t *mr_op_diff_list(const json_t *before, const json_t *after);

/** mr_op_diff_format() - formats @changes as text, to be freed with free(). */
char *mr_op_diff_format(const json_t *changes);

#endif
