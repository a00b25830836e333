#ifndef MR_TESTS_TRACE_H
#define MR_TESTS_TRACE_H

/*
 * Checks a recorded trace for violations of the guarantees P1 to P13 (design
 * section 1.2) that are visible in a trace. It is independent of the relay's
 * library. A trace has one JSON object a line, ordered by time "t" (ms). The
 * values of "event" and their fields:
 *
 * account    name, rate, burst
 * request    id, caller (a session), account, key, instance, access,
 *            statement, idempotent; optional: allowed (default true),
 *            transaction, operation (default "statement"), freshness
 * answer     id, status, outcome, kind, result, served_by, role
 * log        group, target, entries: final log of the group
 * accepted   version              version    instance, version
 * withdrawn  key                  leaving    target
 * stopping   instance             key_seen   target, key
 * executed   target, value: a write in the target's request record
 *
 * Each written value has the form KEY/NUMBER and is unique to a request.
 */

#include <jansson.h>

/** trace_check() - check the trace at @path; returns the violations as a new
 * array of {promise, text}, or NULL when @path cannot be read. */
json_t *trace_check(const char *path);

#endif
