#ifndef MR_COMMON_DESCRIPTORS_H
#define MR_COMMON_DESCRIPTORS_H

/*
 * Descriptors of the process and their reserve. Connections from outside are
 * accepted only while a part of the descriptors is free, which is left for
 * databases, the platform and other instances.
 */

#include <stdbool.h>
#include <stddef.h>

/** mr_descriptors_set_limit() - the process may use @limit descriptors; 0: as
 * many as the system allows. Raises the soft limit of the system to @limit if
 * its hard limit permits that. */
void mr_descriptors_set_limit(size_t limit);

/** mr_descriptors_limit() - the set limit, or that of the system if it is
 * lower. */
size_t mr_descriptors_limit(void);

/** mr_descriptors_client_limit() - descriptors in use, of any kind, from which
 * on a new client is refused or another one disconnected. Leaves an eighth of
 * the limit free, at most 1,024. */
size_t mr_descriptors_client_limit(void);

/** mr_descriptors_kept_limit() - descriptors in use from which on clients are
 * disconnected without a new one. Leaves half as many free. */
size_t mr_descriptors_kept_limit(void);

/** mr_descriptors_in_use() - number of descriptors in use, not counting those
 * above the lowest free one. */
size_t mr_descriptors_in_use(void);

/** mr_descriptors_reached() - whether at least @count descriptors are in use.
 */
bool mr_descriptors_reached(size_t count);

#endif
