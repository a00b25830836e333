#ifndef MR_CONFIG_PATCH_H
#define MR_CONFIG_PATCH_H

/*
 * Binary patches between two bodies of the configuration, so that a change of
 * one account does not resend the whole body to every instance. A patch needs
 * no authentication of its own: the signed hash covers the resulting body.
 */

#include <stdbool.h>
#include <stddef.h>

#include "wire/msg.h"

enum {
    /* With more parts, the whole body is sent instead. */
    MR_CONFIG_PATCH_PARTS_MAX = 512,
    MR_CONFIG_BODY_MAX_BYTES = 16 << 20,
};

/** Parts in the order of the new body; the inserted bytes point into it. */
typedef struct mr_config_patch {
    mr_msg_patch_part_t *parts;
    size_t count;
} mr_config_patch_t;

/**
 * mr_config_patch_make() - computes the parts that turn @base into @body
 *
 * Return: false, with an empty @patch, if the patch would have too many parts
 * or insert more than half of the bytes of @body.
 */
bool mr_config_patch_make(mr_bytes_t base, mr_bytes_t body,
                          mr_config_patch_t *patch);
void mr_config_patch_clear(mr_config_patch_t *patch);

/**
 * mr_config_patch_apply() - applies @parts to @base
 *
 * Return: the new body of @len bytes, freed by the caller; NULL if a part is
 * out of bounds of @base or the result exceeds MR_CONFIG_BODY_MAX_BYTES.
 */
char *mr_config_patch_apply(mr_bytes_t base, const mr_msg_patch_part_t *parts,
                            size_t count, size_t *len);

#endif
