#ifndef MR_OPERATOR_DIFF_H
#define MR_OPERATOR_DIFF_H

/*
 * What changes between two configurations, for the person who approves. Every
 * field of the documents takes part, so a change cannot stay unseen because a
 * newer format added the field.
 */

#include <jansson.h>

/**
 * mr_op_diff_list() - the changes, grouped by section
 * @before: configuration; NULL stands for an empty one
 * @after: configuration
 *
 * Sections in this order: "accounts", "keys", "routes", "targets", "groups",
 * "services", "data_centres", "general"; names sorted within each.
 *
 * Return: new array of {"section","name","change"} with "change" one of
 * "added" (with "after": fields), "removed" (with "before": fields) and
 * "changed" (with "field", and "before" and "after" where they exist).
 */
json_t *mr_op_diff_list(const json_t *before, const json_t *after);

/** mr_op_diff_format() - @changes as text; the caller frees it. */
char *mr_op_diff_format(const json_t *changes);

#endif
