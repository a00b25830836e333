#ifndef MR_OPERATOR_BUILDER_H
#define MR_OPERATOR_BUILDER_H

/* What the files of the operators' library share. */

#include <jansson.h>

#include "common/list.h"
#include "masticrelay.h"

/** Kinds of parts; a kind comes after the kind that contains it. */
typedef enum mr_op_kind {
    MR_OP_DATA_CENTRE,
    MR_OP_SERVICE,
    MR_OP_GROUP,
    MR_OP_TARGET,
    MR_OP_ACCOUNT,
    MR_OP_KEY,
    MR_OP_ROUTE,
    MR_OP_PERMISSION, /* an account that may use a route */
    MR_OP_KIND_COUNT,
} mr_op_kind_t;

/** Where parts of one kind stand in the configuration. */
typedef struct mr_op_kind_row {
    const char *list;      /* field of the parent that lists them */
    const char *name;      /* field that names a part */
    bool nested;           /* whether the parent is a part */
    mr_op_kind_t parent;   /* valid when nested */
    const char *container; /* field that names the parent, for messages */
} mr_op_kind_row_t;

/** mr_op_kind_row() - the row of @kind. */
const mr_op_kind_row_t *mr_op_kind_row(mr_op_kind_t kind);

/** struct mr_op_part - one part as it was added */
typedef struct mr_op_part {
    mr_list_t link;
    mr_op_kind_t kind;
    char *parent; /* name of the containing part; NULL at the top */
    char *name;
    json_t *fields; /* without the name and the lists of parts */
} mr_op_part_t;

/** struct mr_op_problem - one collected fault */
typedef struct mr_op_problem {
    char *text;
    bool of_print; /* found by mr_op_print(), which looks for it anew */
} mr_op_problem_t;

struct mr_op {
    char *deployment;
    int64_t version;
    mr_list_t parts;
    size_t part_count;
    bool printing;
    mr_op_problem_t *problems;
    size_t problem_count;
};

/** mr_op_add() - append a part; takes over @fields. */
void mr_op_add(mr_op_t *op, mr_op_kind_t kind, const char *parent,
               const char *name, json_t *fields);

/** mr_op_find() - the part of @kind with @name; NULL if there is none. */
mr_op_part_t *mr_op_find(const mr_op_t *op, mr_op_kind_t kind,
                         const char *name);

void mr_op_part_destroy(mr_op_part_t *part);

/** mr_op_fault() - collect a fault; control characters are replaced. */
void mr_op_fault(mr_op_t *op, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/** mr_op_freshness_name() - name in the configuration; NULL if unknown. */
const char *mr_op_freshness_name(mr_op_freshness_t freshness);

#endif
