#include <stdlib.h>
#include <string.h>

#include "harness.h"
#include "trace.h"

void
harness_trace(harness_t *h, const char *event, json_t *fields)
{
    if (h->trace != NULL) {
        json_object_set_new(fields, "event", json_string(event));
        json_object_set_new(fields, "t",
                            json_integer(mr_clock_now(NULL) - h->started));
        json_dumpf(fields, h->trace, JSON_COMPACT | JSON_SORT_KEYS);
        fputc('\n', h->trace);
    }
    json_decref(fields);
}

void
harness_trace_versions(harness_t *h)
{
    for (size_t i = 0; i < h->instance_count; i++) {
        json_t *status = harness_status(h, &h->instances[i]);
        json_int_t version = 0;
        if (json_unpack(status, "{s:{s:{s:I}}}", "config", "current",
                        "version", &version)
            == 0) {
            harness_trace(h, "version",
                          json_pack("{s:s,s:I}", "instance",
                                    h->instances[i].process.name, "version",
                                    version));
        }
        json_decref(status);
    }
}

/* Records each secret part of an account key that the target's request record
 * contains. */
static void
trace_leaked_keys(harness_t *h, const harness_target_t *target)
{
    char path[2 * HARNESS_PATH_BYTES];
    char *line = NULL;
    size_t size = 0;

    snprintf(path, sizeof(path), "%s/%s.record", h->folder,
             target->process.name);
    FILE *file = fopen(path, "re");
    if (file == NULL) {
        return;
    }
    while (getline(&line, &size, file) > 0) {
        for (int i = 0; i < h->options.accounts; i++) {
            if (strstr(line, strrchr(h->accounts[i].key, '.') + 1) != NULL) {
                harness_trace(h, "key_seen",
                              json_pack("{s:s,s:s}", "target",
                                        target->process.name, "key",
                                        h->accounts[i].key_id));
            }
        }
    }
    free(line);
    fclose(file);
}

void
harness_trace_logs(harness_t *h)
{
    for (int group = 0; group < h->options.groups; group++) {
        const harness_target_t *primary = harness_primary(h, group);
        json_t *entries = NULL;
        ck_assert_msg(primary != NULL, "group %d has no primary", group);
        ck_assert_int_eq(harness_http(h->base, "GET", primary->process.address,
                                      "/log", NULL, NULL, &entries),
                         200);
        harness_trace(h, "log",
                      json_pack("{s:i,s:s,s:o}", "group", group, "target",
                                primary->process.name, "entries", entries));
    }
    for (size_t i = 0; i < h->target_count; i++) {
        trace_leaked_keys(h, &h->targets[i]);
    }
}

/* Records the executed write of one line of a request record, inside or
 * outside of a transaction. */
static void
trace_record_line(harness_t *h, const harness_target_t *target,
                  const char *text)
{
    const char *did = NULL;
    const char *body = NULL;
    const char *value = NULL;
    json_t *line = json_loads(text, 0, NULL);
    json_t *sent = NULL;

    if (json_unpack(line, "{s:s,s:s}", "did", &did, "body", &body) == 0
        && strcmp(did, "executed") == 0) {
        sent = json_loads(body, 0, NULL);
    }
    if (json_unpack(sent, "{s:{s:s}}", "statement", "value", &value) == 0) {
        harness_trace(h, "executed",
                      json_pack("{s:s,s:s}", "target", target->process.name,
                                "value", value));
    }
    json_decref(sent);
    json_decref(line);
}

void
harness_trace_executed(harness_t *h)
{
    char *line = NULL;
    size_t size = 0;

    for (size_t i = 0; i < h->target_count; i++) {
        char path[2 * HARNESS_PATH_BYTES];
        snprintf(path, sizeof(path), "%s/%s.record", h->folder,
                 h->targets[i].process.name);
        FILE *file = fopen(path, "re");
        while (file != NULL && getline(&line, &size, file) > 0) {
            trace_record_line(h, &h->targets[i], line);
        }
        if (file != NULL) {
            fclose(file);
        }
    }
    free(line);
}

void
harness_check_guarantees(harness_t *h)
{
    harness_trace_versions(h);
    harness_trace_logs(h);
    harness_trace_executed(h);
    json_t *violations = harness_check_trace(h);
    char *text = json_dumps(violations, 0);
    ck_assert_msg(json_array_size(violations) == 0, "%zu violations: %.2000s",
                  json_array_size(violations), text);
    free(text);
    json_decref(violations);
}

json_t *
harness_check_trace(harness_t *h)
{
    ck_assert_ptr_nonnull(h->trace);
    fclose(h->trace);
    h->trace = NULL;
    json_t *violations = trace_check(h->trace_path);
    ck_assert_ptr_nonnull(violations);
    return violations;
}

void
harness_check_and_end(harness_t *h)
{
    harness_check_guarantees(h);
    harness_end(h);
}
