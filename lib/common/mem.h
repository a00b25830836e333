#ifndef MR_COMMON_MEM_H
#define MR_COMMON_MEM_H

#include <stddef.h>

/*
 * Memory allocation that aborts the process when memory runs out. A daemon
 * holds no state that a restart loses, and to continue with partly built state
 * would be worse.
 */

/** mr_calloc() - allocate zeroed memory for @count items of @size bytes. */
void *mr_calloc(size_t count, size_t size);

/** mr_realloc() - resize @ptr to @size bytes. */
void *mr_realloc(void *ptr, size_t size);

/** mr_strdup() - copy @text; NULL gives NULL. */
char *mr_strdup(const char *text);

/** mr_memdup() - copy @len bytes and append a NUL byte. */
void *mr_memdup(const void *data, size_t len);

/** mr_asprintf() - format text into newly allocated memory. */
char *mr_asprintf(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/** MR_NEW() - allocate a zeroed structure. */
#define MR_NEW(type) ((type *)mr_calloc(1, sizeof(type)))

#endif
