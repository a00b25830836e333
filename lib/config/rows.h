#ifndef MR_CONFIG_ROWS_H
#define MR_CONFIG_ROWS_H

/*
 * The rows of the table service that refer to configurations. change.h
 * describes their JSON.
 */

#include <stdbool.h>

#include "common/json.h"
#include "config/approval.h"
#include "config/model.h"

enum {
    MR_CONFIG_HASH_HEX_BYTES = MR_CONFIG_KEY_HASH_BYTES * 2 + 1,
    /* Size of the name of an operator or instance, with its NUL byte. */
    MR_CONFIG_WHO_MAX_BYTES = 128,
};

#define MR_CONFIG_ROW_PREFIX "config/"
#define MR_CONFIG_ROW_HEAD "config/head"
#define MR_CONFIG_ROW_STAGED "config/staged"
#define MR_CONFIG_ROW_CONFIRM_PREFIX "config/confirm/"
#define MR_CONFIG_OBJECT_PREFIX "config/"

/** Row config/head: the accepted configuration. */
typedef struct mr_config_head {
    int64_t version;
    char hash[MR_CONFIG_HASH_HEX_BYTES];
    char approval[MR_APPROVAL_HEX_BYTES];
    char previous[MR_CONFIG_HASH_HEX_BYTES]; /* "" for the first version */
} mr_config_head_t;

/** State of the last proposed change. */
typedef enum mr_config_staged_state {
    MR_CONFIG_PROPOSED,
    MR_CONFIG_APPROVED,
    MR_CONFIG_VETOED,
} mr_config_staged_state_t;

/** Row config/staged: the last proposed change. */
typedef struct mr_config_staged {
    int64_t version;
    char hash[MR_CONFIG_HASH_HEX_BYTES];
    char approval[MR_APPROVAL_HEX_BYTES]; /* "" unless approved */
    mr_config_staged_state_t state;
    char proposer[MR_CONFIG_WHO_MAX_BYTES];
    bool accepting; /* acceptance has begun; a veto is no longer possible */
} mr_config_staged_t;

/** Row config/confirm/{data centre}: the staged version that the data centre
 * holds. */
typedef struct mr_config_confirm {
    int64_t version;
    char hash[MR_CONFIG_HASH_HEX_BYTES];
} mr_config_confirm_t;

/* Readers reject unknown fields and malformed values; writers return a new
 * reference. */

bool mr_config_head_read(json_t *value, mr_config_head_t *head,
                         mr_json_problem_t *problem);
json_t *mr_config_head_write(const mr_config_head_t *head);

bool mr_config_staged_read(json_t *value, mr_config_staged_t *staged,
                           mr_json_problem_t *problem);
json_t *mr_config_staged_write(const mr_config_staged_t *staged);

bool mr_config_confirm_read(json_t *value, mr_config_confirm_t *confirm,
                            mr_json_problem_t *problem);
json_t *mr_config_confirm_write(const mr_config_confirm_t *confirm);

const char *mr_config_staged_state_name(mr_config_staged_state_t state);

#endif
