#include "common/log.h"

#include <errno.h>
#include <event2/util.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "common/clock.h"

enum {
    LINE_MAX_BYTES = 1024,
    NAME_MAX_BYTES = 64,
    BUFFER_BYTES = 64 << 10, /* lines that a slow reader has not read yet */
    /* Lines are buffered for this long, so that one write carries many. */
    FLUSH_MS = 100,
    FLUSH_BYTES = 4 << 10,
};

/** Limits of a class of lines. */
typedef struct class_limit {
    const char *label;
    int per_second;
    int fill_percent; /* of the buffer; beyond it, lines are dropped */
} class_limit_t;

static const class_limit_t class_limits[MR_LOG_CLASSES] = {
    [MR_LOG_STATE] = {"class=\"state\"", 200, 100},
    [MR_LOG_FAILED] = {"class=\"failed\"", 100, 80},
    [MR_LOG_SUCCEEDED] = {"class=\"succeeded\"", 25, 50},
};

static char log_instance[NAME_MAX_BYTES] = "-";
static mr_log_level_t log_level = MR_LOG_INFO;
static const char *const level_names[] = {"debug", "info", "warning", "error"};

static struct log_stream {
    bool open;
    int fd;
    char buffer[BUFFER_BYTES];
    size_t used;
    struct event *flush_timer;
    struct event *writable;
    mr_ms_t second_start; /* of the second that written[] counts */
    int written[MR_LOG_CLASSES];
    mr_counter_t *dropped[MR_LOG_CLASSES];
    mr_counter_t *lines;
    mr_counter_t *unwritten;
} stream;

void
mr_log_setup(const char *instance, mr_log_level_t level)
{
    snprintf(log_instance, sizeof(log_instance), "%s", instance);
    log_level = level;
}

/* Writes as much as the descriptor accepts; the rest stays in the buffer. */
void
mr_log_flush(void)
{
    size_t done = 0;

    if (!stream.open) {
        return;
    }
    while (done < stream.used) {
        ssize_t n = write(stream.fd, stream.buffer + done, stream.used - done);
        if (n < 0 && errno != EAGAIN && errno != EINTR) {
            /* The reader is gone, so the buffer is discarded. */
            mr_counter_add(stream.unwritten, (int64_t)(stream.used - done));
            done = stream.used;
            break;
        }
        if (n <= 0) {
            break;
        }
        done += (size_t)n;
    }
    memmove(stream.buffer, stream.buffer + done, stream.used - done);
    stream.used -= done;
    if (stream.used > 0) {
        event_add(stream.writable, NULL);
    }
}

static void
on_flush(evutil_socket_t fd, short what, void *ctx)
{
    (void)fd;
    (void)what;
    (void)ctx;
    mr_log_flush();
}

void
mr_log_open(const mr_log_options_t *options)
{
    stream.fd = options->fd;
    stream.used = 0;
    evutil_make_socket_nonblocking(options->fd);
    stream.flush_timer = evtimer_new(options->base, on_flush, NULL);
    stream.writable =
        event_new(options->base, options->fd, EV_WRITE, on_flush, NULL);
    for (int i = 0; i < MR_LOG_CLASSES; i++) {
        stream.dropped[i] = mr_counters_get(
            options->counters, "masticrelay_log_lines_left_out_total",
            class_limits[i].label, "log lines beyond the bounds of the log");
    }
    stream.lines =
        mr_counters_get(options->counters, "masticrelay_log_lines_total", "",
                        "log lines written");
    stream.unwritten = mr_counters_get(
        options->counters, "masticrelay_log_unwritten_bytes_total", "",
        "bytes of the log that could not be written");
    stream.open = true;
}

void
mr_log_close(void)
{
    if (!stream.open) {
        return;
    }
    mr_log_flush();
    event_free(stream.flush_timer);
    event_free(stream.writable);
    stream.open = false;
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

/* Whether the limits of the class allow another line; counts the line as
 * written or as dropped. */
static bool
count_line(mr_log_class_t class, size_t len)
{
    const class_limit_t *limit = &class_limits[class];
    mr_ms_t now = mr_clock_now(NULL);
    size_t capacity = (size_t)BUFFER_BYTES / 100 * (size_t)limit->fill_percent;

    if (now - stream.second_start >= 1000) {
        stream.second_start = now;
        memset(stream.written, 0, sizeof(stream.written));
    }
    if (stream.written[class] >= limit->per_second
        || stream.used + len > capacity) {
        mr_counter_add(stream.dropped[class], 1);
        return false;
    }
    stream.written[class]++;
    return true;
}

static void
write_to_stream(mr_log_class_t class, const char *line, size_t len)
{
    const struct timeval delay = mr_clock_timeval(FLUSH_MS);

    if (!count_line(class, len)) {
        return;
    }
    mr_counter_add(stream.lines, 1);
    memcpy(stream.buffer + stream.used, line, len);
    stream.used += len;
    if (stream.used >= FLUSH_BYTES
        && !event_pending(stream.writable, EV_WRITE, NULL)) {
        mr_log_flush();
    }
    else if (!evtimer_pending(stream.flush_timer, NULL)) {
        evtimer_add(stream.flush_timer, &delay);
    }
}

__attribute__((format(printf, 4, 0))) static void
write_line(mr_log_level_t level, mr_log_class_t class, mr_event_t event,
           const char *fmt, va_list args)
{
    char pairs[LINE_MAX_BYTES] = "";
    char line[LINE_MAX_BYTES + 256];
    char when[32];
    struct timespec ts;
    struct tm tm;

    if (fmt != NULL) {
        vsnprintf(pairs, sizeof(pairs), fmt, args);
        replace_control_characters(pairs);
    }
    clock_gettime(CLOCK_REALTIME, &ts);
    gmtime_r(&ts.tv_sec, &tm);
    strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%S", &tm);
    int len =
        snprintf(line, sizeof(line),
                 "time=%s.%03ldZ level=%s instance=%s event=%s%s%s\n", when,
                 ts.tv_nsec / 1000000, level_names[level], log_instance,
                 mr_event_name(event), pairs[0] != '\0' ? " " : "", pairs);
    if (stream.open) {
        write_to_stream(class, line, (size_t)len);
    }
    else {
        fputs(line, stderr);
    }
}

void
mr_log(mr_log_level_t level, mr_event_t event, const char *fmt, ...)
{
    va_list args;

    if (level < log_level) {
        return;
    }
    va_start(args, fmt);
    write_line(level, MR_LOG_STATE, event, fmt, args);
    va_end(args);
}

void
mr_log_request(mr_log_class_t class, mr_event_t event, const char *fmt, ...)
{
    mr_log_level_t level =
        class == MR_LOG_FAILED ? MR_LOG_WARNING : MR_LOG_INFO;
    va_list args;

    if (level < log_level) {
        return;
    }
    va_start(args, fmt);
    write_line(level, class, event, fmt, args);
    va_end(args);
}
