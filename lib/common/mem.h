#ifndef MR_COMMON_MEM_H
#define MR_COMMON_MEM_H

#include <stddef.h>

/*
 * Allocation that ends the process when memory runs out: a daemon keeps
 * nothing that a restart loses, and a half-built state would be worse.
 */

/** mr_calloc() - zeroed memory for @count items of @size bytes. */
void *mr_calloc(size_t count, size_t size);

/** mr_realloc() - resize @ptr to @size bytes. */
void *mr_realloc(void *ptr, size_t size);

/** mr_strdup() - copy of @text; NULL for NULL. */
char *mr_strdup(const char *text);

/** mr_memdup() - copy of @len bytes with a NUL byte behind them. */
void *mr_memdup(const void *data, size_t len);

/** mr_asprintf() - formatted text in new memory. */
char *mr_asprintf(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

#define MR_NEW(type) ((type *)mr_calloc(1, sizeof(type)))

#endif
