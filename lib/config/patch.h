#ifndef MR_CONFIG_PATCH_H
#define MR_CONFIG_PATCH_H

/*
 * Differences between two bodies of the configuration, so that a change of one
 * account does not send the whole body to every instance. The result needs no
 * trust of its own: the hash of the whole body is signed.
 */

#include <stdbool.h>
#include <stddef.h>

#include "wire/msg.h"

enum {
    /* More parts than this are not worth a patch. */
    MR_CONFIG_PATCH_PARTS_MAX = 512,
    MR_CONFIG_BODY_MAX_BYTES = 16 << 20,
};

/** Parts in order; their inserted bytes point into the new body. */
typedef struct mr_config_patch {
    mr_msg_patch_part_t *parts;
    size_t count;
} mr_config_patch_t;

/**
 * mr_config_patch_make() - parts that turn @base into @body
 *
 * Return: false, with an empty @patch, when the patch would have too many
 * parts or more than half of the bytes of @body.
 */
bool mr_config_patch_make(mr_bytes_t base, mr_bytes_t body,
                          mr_config_patch_t *patch);
void mr_config_patch_clear(mr_config_patch_t *patch);

/**
 * mr_config_patch_apply() - the body that @parts make of @base
 *
 * Return: a new text of @len bytes, to be freed; NULL when a part lies outside
 * of @base or the result is larger than MR_CONFIG_BODY_MAX_BYTES.
 */
char *mr_config_patch_apply(mr_bytes_t base, const mr_msg_patch_part_t *parts,
                            size_t count, size_t *len);

#endif
