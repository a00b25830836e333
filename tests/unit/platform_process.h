#ifndef PLATFORM_PROCESS_H
#define PLATFORM_PROCESS_H

/* Runs the platform stand-in as a child process of a test. */

#include <arpa/inet.h>
#include <check.h>
#include <event2/event.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "common/address.h"
#include "common/clock.h"

typedef struct platform_process {
    pid_t pid;
    char address[MR_ADDRESS_MAX_BYTES];
} platform_process_t;

static inline void
platform_process_start(platform_process_t *process)
{
    const char *build = getenv("MASTICRELAY_BUILD");
    char program[512];
    int out[2];

    snprintf(program, sizeof(program), "%s/platform_standin",
             build == NULL ? "build" : build);
    ck_assert_int_eq(pipe(out), 0);
    process->pid = fork();
    ck_assert_int_ge(process->pid, 0);
    if (process->pid == 0) {
        /* Ends the stand-in when the test aborts. */
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(out[1], STDOUT_FILENO);
        close(out[0]);
        close(out[1]);
        execl(program, program, "--listen", "127.0.0.1:0", (char *)NULL);
        _exit(127);
    }
    close(out[1]);
    FILE *lines = fdopen(out[0], "r");
    ck_assert_ptr_nonnull(lines);
    ck_assert_int_eq(fscanf(lines, "listening on %63s", process->address), 1);
    fclose(lines);
}

static inline void
platform_process_stop(platform_process_t *process)
{
    if (process->pid > 0) {
        kill(process->pid, SIGKILL);
        waitpid(process->pid, NULL, 0);
        process->pid = 0;
    }
}

/* Sends a request to the stand-in. Returns the status; @answer receives the
 * body of the response. */
static inline int
platform_process_call(const platform_process_t *process, const char *method,
                      const char *path, const char *body, char *answer,
                      size_t size)
{
    struct sockaddr_storage addr;
    int len;
    size_t received = 0;
    ssize_t n;

    ck_assert(mr_address_parse(process->address, &addr, &len));
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(connect(fd, (struct sockaddr *)&addr, (socklen_t)len), 0);
    dprintf(fd,
            "%s %s HTTP/1.1\r\nHost: standin\r\nConnection: close\r\n"
            "Content-Length: %zu\r\n\r\n%s",
            method, path, strlen(body), body);
    while ((n = read(fd, answer + received, size - received - 1)) > 0) {
        received += (size_t)n;
    }
    close(fd);
    answer[received] = '\0';
    char *end = strstr(answer, "\r\n\r\n");
    ck_assert_ptr_nonnull(end);
    int status = atoi(answer + strlen("HTTP/1.1 "));
    memmove(answer, end + 4, strlen(end + 4) + 1);
    return status;
}

static inline void
platform_process_faults(const platform_process_t *process, const char *json)
{
    char answer[512];

    ck_assert_int_eq(platform_process_call(process, "POST", "/faults", json,
                                           answer, sizeof(answer)),
                     200);
}

/* Returns the value of a row and sets @revision; NULL and 0 when there is no
 * such row. */
static inline json_t *
platform_process_row(const platform_process_t *process, const char *row,
                     json_int_t *revision)
{
    char path[256];
    char answer[8192];

    snprintf(path, sizeof(path), "/table/%s", row);
    int status = platform_process_call(process, "GET", path, "", answer,
                                       sizeof(answer));
    json_t *document = json_loads(answer, 0, NULL);
    json_t *value = json_incref(json_object_get(document, "value"));
    *revision = json_integer_value(json_object_get(document, "revision"));
    json_decref(document);
    ck_assert(status == 200 || status == 404);
    return value;
}

/* Writes a row whatever its revision; takes ownership of @value. */
static inline void
platform_process_put_row(const platform_process_t *process, const char *row,
                         json_t *value)
{
    char path[256];
    char answer[512];
    json_int_t revision;

    json_decref(platform_process_row(process, row, &revision));
    json_t *body = json_pack("{s:I,s:o}", "expect", revision, "value", value);
    char *text = json_dumps(body, 0);
    snprintf(path, sizeof(path), "/table/%s", row);
    ck_assert_int_eq(platform_process_call(process, "PUT", path, text, answer,
                                           sizeof(answer)),
                     200);
    free(text);
    json_decref(body);
}

static inline void
platform_process_put_object(const platform_process_t *process,
                            const char *name, const char *text)
{
    char path[256];
    char answer[512];

    snprintf(path, sizeof(path), "/objects/%s", name);
    ck_assert_int_eq(platform_process_call(process, "PUT", path, text, answer,
                                           sizeof(answer)),
                     200);
}

static inline void
run_loop_for(struct event_base *base, mr_ms_t ms)
{
    struct timeval tv = mr_clock_timeval(ms);

    event_base_loopexit(base, &tv);
    event_base_dispatch(base);
}

#endif
