#ifndef MR_TESTS_TRACE_H
#define MR_TESTS_TRACE_H

/*
 * Checks a recorded trace against the promises of design section 1.2, as far
 * as a trace can show them. Uses nothing of the relay's own library. A trace
 * has one JSON object a line, in the order of time "t" (ms), with "event":
 *
 * account    name, rate, burst
 * request    id, caller (a session), account, key, instance, access,
 *            statement, idempotent; optional: allowed (default true),
 *            transaction, operation (default "statement"), freshness
 * answer     id, status, outcome, kind, result, served_by, role
 * log        group, target, entries: the group's log at the end
 * accepted   version              version    instance, version
 * withdrawn  key                  leaving    target
 * stopping   instance             key_seen   target, key
 * executed   target, value: a write in the target's own record
 *
 * Each written value is KEY/NUMBER and occurs in one request only.
 */

#include <jansson.h>

/** trace_check() - violated promises, an array of {promise, text}; NULL when
 * @path cannot be read. */
json_t *trace_check(const char *path);

#endif
