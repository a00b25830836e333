#ifndef MR_COMMON_LOG_H
#define MR_COMMON_LOG_H

/*
 * Structured log of key=value lines. A daemon opens a stream on its standard
 * output. Writes to it never block, and its buffer is bounded: each class of
 * lines has a rate limit and a share of the buffer, and lines beyond them are
 * counted and dropped. Without a stream, lines go to standard error, for
 * command line tools.
 */

#include <event2/event.h>
#include <stdbool.h>

#include "common/counters.h"
#include "common/event.h"

/** Severity of a line. */
typedef enum mr_log_level {
    MR_LOG_DEBUG,
    MR_LOG_INFO,
    MR_LOG_WARNING,
    MR_LOG_ERROR,
} mr_log_level_t;

/** Class of a line; each has its own limits. */
typedef enum mr_log_class {
    MR_LOG_STATE,  /* a change of the process's state or view of the fleet */
    MR_LOG_FAILED, /* a request or an attempt of it failed */
    MR_LOG_SUCCEEDED, /* a request succeeded; dropped first */
    MR_LOG_CLASSES,
} mr_log_class_t;

/** Log stream of a daemon. */
typedef struct mr_log_options {
    struct event_base *base;
    mr_counters_t *counters;
    int fd;
} mr_log_options_t;

/**
 * mr_log_setup() - configure the log of the process
 * @instance: name of the instance, which each line carries
 * @level: lines below this level are not written
 */
void mr_log_setup(const char *instance, mr_log_level_t level);

/** mr_log_open() - write to a stream from now on. The descriptor is made
 * non-blocking; the caller still owns it. */
void mr_log_open(const mr_log_options_t *options);

/** mr_log_flush() - write buffered lines now, as far as the descriptor accepts
 * them, for lines that another process waits for. */
void mr_log_flush(void);

/** mr_log_close() - flush the stream and close it; further lines go to
 * standard error. */
void mr_log_close(void);

/**
 * mr_log() - write one line of class MR_LOG_STATE
 * @level: severity
 * @event: see common/event.h
 * @fmt: key=value pairs of the event's fields; NULL for none
 *
 * Control characters in the text are replaced, so that untrusted input cannot
 * forge log lines.
 */
void mr_log(mr_log_level_t level, mr_event_t event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/** mr_log_request() - write one line about a request; failures at level
 * warning, successes at level info. */
void mr_log_request(mr_log_class_t class, mr_event_t event, const char *fmt,
                    ...) __attribute__((format(printf, 3, 4)));

#endif
