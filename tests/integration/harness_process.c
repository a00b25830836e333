#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "harness.h"

extern char **environ;

enum {
    PORT_MIN = 10000,
    PORT_BLOCK_SIZE = 100,
    PORT_BLOCK_COUNT = 200,
    EXIT_POLL_MS = 10,
    READY_POLL_MS = 5,
};

/* Returns a socket bound to a loopback port, or -1 if the port is in use. */
static int
bind_port(int port)
{
    struct sockaddr_in addr = {.sin_family = AF_INET};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    ck_assert_int_ge(fd, 0);
    addr.sin_port = htons((uint16_t)port);
    addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Reserves a block of ports and returns its first port, which stays bound
 * until this process exits. That keeps other test processes off the whole
 * block, whose other ports are unbound between their allocation and the start
 * of the process that uses them. */
static int
reserve_port_block(void)
{
    /* Tests that run in parallel start at different blocks. */
    int first = (int)(getpid() * 97L % PORT_BLOCK_COUNT);

    for (int i = 0; i < PORT_BLOCK_COUNT; i++) {
        int port = PORT_MIN + (first + i) % PORT_BLOCK_COUNT * PORT_BLOCK_SIZE;
        if (bind_port(port) >= 0) {
            return port;
        }
    }
    ck_abort_msg("no free port block");
    return -1;
}

int
harness_port(void)
{
    static int last;
    static pid_t holder;

    /* A forked process inherits the bound port, but the block remains in use
     * by its parent. */
    if (holder != getpid()) {
        holder = getpid();
        last = PORT_MIN - 1;
    }
    for (;;) {
        last++;
        if ((last - PORT_MIN) % PORT_BLOCK_SIZE == 0) {
            last = reserve_port_block() + 1;
        }
        int fd = bind_port(last);
        if (fd >= 0) {
            close(fd);
            return last;
        }
    }
}

void
harness_process_arg(harness_process_t *process, const char *fmt, ...)
{
    va_list args;
    size_t i = 0;

    while (process->args[i] != NULL) {
        i++;
    }
    ck_assert_uint_lt(i + 1, HARNESS_ARGS_MAX);
    va_start(args, fmt);
    ck_assert_int_ge(vasprintf(&process->args[i], fmt, args), 0);
    va_end(args);
}

/* Removes all variables with the daemon's prefix, since it rejects unknown
 * ones. */
static void
clear_environment(void)
{
    static const char prefix[] = "MASTICRELAY_";

    for (char **it = environ; *it != NULL;) {
        char name[128];
        snprintf(name, sizeof(name), "%.*s", (int)strcspn(*it, "="), *it);
        if (strncmp(name, prefix, strlen(prefix)) == 0) {
            unsetenv(name);
            it = environ;
        }
        else {
            it++;
        }
    }
}

static void
run_child(harness_process_t *process, pid_t parent)
{
    int out = open(process->log, O_WRONLY | O_CREAT | O_APPEND, 0644);

    /* Terminates the process when the test aborts. */
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
        _exit(126);
    }
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    clear_environment();
    if (process->redirect[0] != '\0') {
        const char *slash = strrchr(process->args[0], '/');
        char library[HARNESS_PATH_BYTES];
        snprintf(library, sizeof(library), "%.*s/redirect.so",
                 (int)(slash - process->args[0]), process->args[0]);
        setenv("LD_PRELOAD", library, 1);
        setenv("HARNESS_REDIRECT", process->redirect, 1);
    }
    execv(process->args[0], process->args);
    _exit(127);
}

/* Reads the log from offset @from until a line reports readiness; false when
 * the process exits or HARNESS_READY_MS has passed. */
static bool
wait_ready(const harness_process_t *process, long from)
{
    mr_ms_t end = mr_clock_now(NULL) + HARNESS_READY_MS;
    FILE *log = fopen(process->log, "re");
    char line[1024];
    size_t len = 0;
    bool ready = false;

    if (log == NULL || fseek(log, from, SEEK_SET) != 0) {
        ck_abort_msg("cannot read %s", process->log);
    }
    while (!ready && mr_clock_now(NULL) < end) {
        int c = fgetc(log);
        if (c == EOF) {
            siginfo_t ended = {0};
            waitid(P_PID, (id_t)process->pid, &ended,
                   WEXITED | WNOHANG | WNOWAIT);
            if (ended.si_pid != 0) {
                break;
            }
            clearerr(log);
            poll(NULL, 0, READY_POLL_MS);
            continue;
        }
        if (len + 1 < sizeof(line)) {
            line[len++] = (char)c;
        }
        if (c == '\n') {
            line[len] = '\0';
            ready = strstr(line, process->ready) != NULL;
            len = 0;
        }
    }
    fclose(log);
    return ready;
}

void
harness_process_start(harness_process_t *process)
{
    pid_t parent = getpid();
    FILE *log = fopen(process->log, "ae");

    ck_assert_int_eq(process->pid, 0);
    ck_assert_ptr_nonnull(log);
    ck_assert_int_eq(fseek(log, 0, SEEK_END), 0);
    long from = ftell(log);
    fclose(log);
    process->stopping = false;
    process->pid = fork();
    ck_assert_int_ge(process->pid, 0);
    if (process->pid == 0) {
        run_child(process, parent);
    }
    if (!wait_ready(process, from)) {
        harness_process_kill(process);
        ck_abort_msg("%s did not become ready, see %s", process->name,
                     process->log);
    }
}

void
harness_process_signal(harness_process_t *process, int number)
{
    if (process->pid > 0) {
        process->stopping |= number == SIGTERM;
        kill(process->pid, number);
    }
}

void
harness_process_kill(harness_process_t *process)
{
    int status = 0;

    if (process->pid > 0) {
        bool ended = waitpid(process->pid, &status, WNOHANG) == process->pid;
        if (!ended) {
            kill(process->pid, SIGKILL);
            waitpid(process->pid, NULL, 0);
        }
        process->pid = 0;
        ck_assert_msg(!ended || process->restarting,
                      "%s exited unexpectedly (status 0x%x), see %s",
                      process->name, (unsigned)status, process->log);
    }
}

int
harness_process_wait(harness_process_t *process, struct event_base *base,
                     mr_ms_t max)
{
    mr_ms_t end = mr_clock_now(NULL) + max;
    int status = 0;

    while (mr_clock_now(NULL) < end) {
        if (waitpid(process->pid, &status, WNOHANG) == process->pid) {
            process->pid = 0;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        harness_run_loop(base, EXIT_POLL_MS);
    }
    return -1;
}
