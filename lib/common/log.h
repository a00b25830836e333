#ifndef MR_COMMON_LOG_H
#define MR_COMMON_LOG_H

/*
 * Structured log: key=value lines. A daemon opens a stream to its standard
 * output, which never blocks and is bounded: each class of lines has a budget,
 * and what does not fit is counted and left out. Without a stream, lines go to
 * standard error, as command line tools need it.
 */

#include <event2/event.h>
#include <stdbool.h>

#include "common/counters.h"
#include "common/event.h"

/** Importance of a line. */
typedef enum mr_log_level {
    MR_LOG_DEBUG,
    MR_LOG_INFO,
    MR_LOG_WARNING,
    MR_LOG_ERROR,
} mr_log_level_t;

/** Class of a line; each has a budget of its own. */
typedef enum mr_log_class {
    MR_LOG_STATE,     /* what the process believes has changed */
    MR_LOG_FAILED,    /* a request failed, or an attempt of it */
    MR_LOG_SUCCEEDED, /* a request succeeded; left out first */
    MR_LOG_CLASSES,
} mr_log_class_t;

/** Stream of a daemon. */
typedef struct mr_log_options {
    struct event_base *base;
    mr_counters_t *counters;
    int fd;
} mr_log_options_t;

/**
 * mr_log_setup() - set the process's log
 * @instance: name that each line carries
 * @level: lines below this level are dropped
 */
void mr_log_setup(const char *instance, mr_log_level_t level);

/** mr_log_open() - write to a stream from now on. The descriptor is set to
 * non-blocking and stays the caller's. */
void mr_log_open(const mr_log_options_t *options);

/** mr_log_flush() - write what the descriptor takes now instead of a little
 * later, for a line that somebody waits for. */
void mr_log_flush(void);

/** mr_log_close() - write what the descriptor takes, then go back to standard
 * error. */
void mr_log_close(void);

/**
 * mr_log() - write one line of class MR_LOG_STATE
 * @level: importance
 * @event: see common/event.h
 * @fmt: key=value pairs of the event's fields; NULL for none
 *
 * Control characters in the text are replaced, so that input cannot forge a
 * line.
 */
void mr_log(mr_log_level_t level, mr_event_t event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/** mr_log_request() - write one line about a request. */
void mr_log_request(mr_log_class_t class, mr_event_t event, const char *fmt,
                    ...) __attribute__((format(printf, 3, 4)));

#endif
