#ifndef PLATFORM_PROCESS_H
#define PLATFORM_PROCESS_H

/* Runs the platform stand-in as a child of a test. */

#include <arpa/inet.h>
#include <check.h>
#include <event2/event.h>
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
        /* The stand-in must not outlive a test that aborts. */
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

/* Sets faults and waits for the answer. */
static inline void
platform_process_faults(const platform_process_t *process, const char *json)
{
    struct sockaddr_storage addr;
    int len;
    char text[512];

    ck_assert(mr_address_parse(process->address, &addr, &len));
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(connect(fd, (struct sockaddr *)&addr, (socklen_t)len), 0);
    int size = snprintf(text, sizeof(text),
                        "POST /faults HTTP/1.1\r\nHost: standin\r\n"
                        "Content-Length: %zu\r\n\r\n%s",
                        strlen(json), json);
    ck_assert_int_eq(write(fd, text, (size_t)size), size);
    ck_assert_int_gt(read(fd, text, sizeof(text) - 1), 12);
    ck_assert_mem_eq(text, "HTTP/1.1 200", 12);
    close(fd);
}

static inline void
run_loop_for(struct event_base *base, mr_ms_t ms)
{
    struct timeval tv = mr_clock_timeval(ms);

    event_base_loopexit(base, &tv);
    event_base_dispatch(base);
}

#endif
