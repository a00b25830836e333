#ifndef MR_COMMON_LOG_H
#define MR_COMMON_LOG_H

/*
 * Structured log: one line for each change of state, as key=value pairs.
 * Anything that happens per request is a counter, not a line.
 */

/** Importance of a line. */
typedef enum mr_log_level {
    MR_LOG_DEBUG,
    MR_LOG_INFO,
    MR_LOG_WARNING,
    MR_LOG_ERROR,
} mr_log_level_t;

/**
 * mr_log_setup() - set the process's log
 * @instance: name that each line carries
 * @level: lines below this level are dropped
 */
void mr_log_setup(const char *instance, mr_log_level_t level);

/**
 * mr_log() - write one line to standard error
 * @level: importance
 * @event: stable event name, lower case with underscores
 * @fmt: further key=value pairs; NULL for none
 *
 * Control characters in the text are replaced, so that input cannot forge a
 * line.
 */
void mr_log(mr_log_level_t level, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

#endif
