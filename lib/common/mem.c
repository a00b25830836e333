#include "common/mem.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void *
check_memory(void *ptr)
{
    if (ptr == NULL) {
        fputs("masticrelay: out of memory\n", stderr);
        abort();
    }
    return ptr;
}

void *
mr_calloc(size_t count, size_t size)
{
    return check_memory(calloc(count ? count : 1, size ? size : 1));
}

void *
mr_realloc(void *ptr, size_t size)
{
    return check_memory(realloc(ptr, size ? size : 1));
}

char *
mr_strdup(const char *text)
{
    return text == NULL ? NULL : check_memory(strdup(text));
}

void *
mr_memdup(const void *data, size_t len)
{
    char *copy = mr_calloc(1, len + 1);

    if (len > 0) {
        memcpy(copy, data, len);
    }
    return copy;
}

char *
mr_asprintf(const char *fmt, ...)
{
    char *text = NULL;
    va_list args;

    va_start(args, fmt);
    int rc = vasprintf(&text, fmt, args);
    va_end(args);
    return check_memory(rc < 0 ? NULL : text);
}
