#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#include "world.h"

/* Times in the record are those of the steady clock, modulo this. */
enum { TIME_WRAP_MS = 10000000 };

static int record_fd = -1;

int64_t
now_ms(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

void
record_open(const char *path)
{
    record_fd = open(path, O_WRONLY | O_CREAT | O_APPEND, 0644);
}

/* One write() for each line, as two processes write to the same file. */
void
record_line(const char *fmt, ...)
{
    char text[1024];
    int len;
    va_list args;

    len = snprintf(text, sizeof(text), "%8.3f ",
                   now_ms() % TIME_WRAP_MS / 1000.0);
    va_start(args, fmt);
    len += vsnprintf(text + len, sizeof(text) - (size_t)len - 1, fmt, args);
    va_end(args);
    if (len > (int)sizeof(text) - 2) {
        len = (int)sizeof(text) - 2;
    }
    text[len++] = '\n';
    if (record_fd >= 0 && write(record_fd, text, (size_t)len) < 0) {
        perror("record");
    }
}
