#ifndef MR_OPERATOR_BUILDER_H
#define MR_OPERATOR_BUILDER_H

/* Declarations shared by the source files of the operators' library. */

#include <jansson.h>

#include "common/list.h"
#include "masticrelay.h"

/** Kinds of configuration elements; a kind follows the kind that contains
 * it. */
typedef enum mr_op_kind {
    MR_OP_DATA_CENTRE,
    MR_OP_SERVICE,
    MR_OP_GROUP,
    MR_OP_TARGET,
    MR_OP_ACCOUNT,
    MR_OP_KEY,
    MR_OP_ROUTE,
    MR_OP_PERMISSION, /* of an account to use a route */
    MR_OP_KIND_COUNT,
} mr_op_kind_t;

/** Describes where the elements of a kind are in the configuration. */
typedef struct mr_op_kind_info {
    const char *list;         /* field of the parent that lists the elements */
    const char *name;         /* field that names an element; NULL: the list
                                 consists of names */
    bool nested;              /* whether the parent is an element */
    mr_op_kind_t parent;      /* kind of the parent; valid if nested */
    const char *parent_label; /* the parent in messages and differences */
} mr_op_kind_info_t;

/** mr_op_kind_info() - returns the description of @kind. */
const mr_op_kind_info_t *mr_op_kind_info(mr_op_kind_t kind);

/** struct mr_op_element - an element of the configuration */
typedef struct mr_op_element {
    mr_list_t link;
    mr_op_kind_t kind;
    char *parent; /* name of the containing element; NULL at top level */
    char *name;
    json_t *fields; /* without the name and the lists of elements */
} mr_op_element_t;

/** struct mr_op_problem - a collected error */
typedef struct mr_op_problem {
    char *text;
    bool from_print; /* found by mr_op_print(), which repeats its checks */
} mr_op_problem_t;

struct mr_op {
    char *deployment;
    int64_t version;
    mr_list_t elements;
    size_t element_count;
    bool printing; /* within mr_op_print() */
    mr_op_problem_t *problems;
    size_t problem_count;
};

/** mr_op_add_element() - appends an element; takes over @fields. */
void mr_op_add_element(mr_op_t *op, mr_op_kind_t kind, const char *parent,
                       const char *name, json_t *fields);

/** mr_op_find_element() - returns the element of @kind with @name, or NULL. */
mr_op_element_t *mr_op_find_element(const mr_op_t *op, mr_op_kind_t kind,
                                    const char *name);

/** mr_op_element_destroy() - removes the element from its list and frees it;
 * the caller updates element_count. */
void mr_op_element_destroy(mr_op_element_t *element);

/** mr_op_add_problem() - collects an error; control characters in its text are
 * replaced by '?'. */
void mr_op_add_problem(mr_op_t *op, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/** mr_op_freshness_name() - returns the name of @freshness in the
 * configuration; NULL if the value is unknown. */
const char *mr_op_freshness_name(mr_op_freshness_t freshness);

#endif
