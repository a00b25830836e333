#include "common/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

enum { LINE_MAX_BYTES = 1024, NAME_MAX_BYTES = 64 };

static char log_instance[NAME_MAX_BYTES] = "-";
static mr_log_level_t log_level = MR_LOG_INFO;
static const char *const level_names[] = {"debug", "info", "warning", "error"};

void
mr_log_setup(const char *instance, mr_log_level_t level)
{
    snprintf(log_instance, sizeof(log_instance), "%s", instance);
    log_level = level;
}

static void
replace_control_characters(char *text)
{
    for (char *p = text; *p != '\0'; p++) {
        if ((unsigned char)*p < 0x20 || *p == 0x7f) {
            *p = '?';
        }
    }
}

void
mr_log(mr_log_level_t level, const char *event, const char *fmt, ...)
{
    char pairs[LINE_MAX_BYTES] = "";
    char when[32];
    struct timespec ts;
    struct tm tm;

    if (level < log_level) {
        return;
    }
    if (fmt != NULL) {
        va_list args;
        va_start(args, fmt);
        vsnprintf(pairs, sizeof(pairs), fmt, args);
        va_end(args);
        replace_control_characters(pairs);
    }
    clock_gettime(CLOCK_REALTIME, &ts);
    gmtime_r(&ts.tv_sec, &tm);
    strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%S", &tm);
    fprintf(stderr, "time=%s.%03ldZ level=%s instance=%s event=%s%s%s\n", when,
            ts.tv_nsec / 1000000, level_names[level], log_instance, event,
            pairs[0] != '\0' ? " " : "", pairs);
}
