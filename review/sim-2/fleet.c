#include "fleet.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "common/address.h"
#include "common/clock.h"
#include "harness.h"

static FILE *record_file;
static mr_ms_t record_start;

/* ------------------------------------------------------------- Harness */

int
harness_port(void)
{
    static int next;

    if (next == 0) {
        next = 12000 + (int)(getpid() % 1000) * 18;
    }
    for (int tries = 0; tries < 5000; tries++) {
        int port = next++;
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        struct sockaddr_in addr = {.sin_family = AF_INET,
                                   .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
                                   .sin_port = htons((uint16_t)port)};
        bool vacant = bind(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0;
        close(fd);
        if (vacant) {
            return port;
        }
    }
    ck_assert_msg(false, "no free port");
    return 0;
}

void
harness_run_loop(struct event_base *base, mr_ms_t ms)
{
    struct timeval tv = mr_clock_timeval(ms);

    event_base_loopexit(base, &tv);
    event_base_dispatch(base);
}

/* -------------------------------------------------------------- Record */

void
record_open(void)
{
    char path[512];
    const char *folder = getenv("CASE_DIR");

    snprintf(path, sizeof(path), "%s/record.txt",
             folder != NULL ? folder : ".");
    record_file = fopen(path, "w");
    ck_assert_msg(record_file != NULL, "cannot write %s", path);
    record_start = mr_clock_now(NULL);
    record("start, TROUBLE=%d", trouble());
}

void
record(const char *fmt, ...)
{
    va_list args;
    mr_ms_t at = mr_clock_now(NULL) - record_start;

    fprintf(record_file, "%3lld.%03lld ", (long long)at / 1000,
            (long long)at % 1000);
    va_start(args, fmt);
    vfprintf(record_file, fmt, args);
    va_end(args);
    fputc('\n', record_file);
    fflush(record_file);
}

bool
trouble(void)
{
    const char *text = getenv("TROUBLE");

    return text == NULL || strcmp(text, "0") != 0;
}

/* --------------------------------------------------------------- Proxy */

typedef struct pair {
    proxy_t *proxy;
    struct bufferevent *side[2];
    int silenced; /* of the proxy, when the connection began */
    bool was_silent;
} pair_t;

static bool
is_silent(pair_t *pair)
{
    pair->was_silent |=
        pair->proxy->silent || pair->silenced != pair->proxy->silenced;
    return pair->was_silent;
}

static void
on_proxy_read(struct bufferevent *from, void *ctx)
{
    pair_t *pair = ctx;
    struct bufferevent *to = pair->side[from == pair->side[0]];
    struct evbuffer *in = bufferevent_get_input(from);

    if (is_silent(pair)) {
        evbuffer_drain(in, evbuffer_get_length(in));
        return;
    }
    bufferevent_write_buffer(to, in);
}

static void
on_proxy_event(struct bufferevent *from, short what, void *ctx)
{
    pair_t *pair = ctx;

    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    if (is_silent(pair) && from == pair->side[1]) {
        bufferevent_disable(from, EV_READ | EV_WRITE);
        return; /* the daemon does not learn of it */
    }
    bufferevent_free(pair->side[0]);
    bufferevent_free(pair->side[1]);
    free(pair);
}

static void
on_proxy_accept(struct evconnlistener *listener, evutil_socket_t fd,
                struct sockaddr *addr, int len, void *ctx)
{
    proxy_t *proxy = ctx;
    struct sockaddr_storage target;
    int target_len;
    pair_t *pair = calloc(1, sizeof(*pair));

    (void)listener;
    (void)addr;
    (void)len;
    pair->proxy = proxy;
    pair->silenced = proxy->silenced;
    pair->side[0] =
        bufferevent_socket_new(proxy->base, fd, BEV_OPT_CLOSE_ON_FREE);
    pair->side[1] =
        bufferevent_socket_new(proxy->base, -1, BEV_OPT_CLOSE_ON_FREE);
    for (int i = 0; i < 2; i++) {
        bufferevent_setcb(pair->side[i], on_proxy_read, NULL, on_proxy_event,
                          pair);
        bufferevent_enable(pair->side[i], EV_READ | EV_WRITE);
    }
    ck_assert(mr_address_parse(proxy->target, &target, &target_len));
    bufferevent_socket_connect(pair->side[1], (struct sockaddr *)&target,
                               target_len);
}

void
proxy_open(proxy_t *proxy, struct event_base *base, const char *target)
{
    int port = harness_port();
    struct sockaddr_in addr = {.sin_family = AF_INET,
                               .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
                               .sin_port = htons((uint16_t)port)};

    *proxy = (proxy_t){.base = base};
    snprintf(proxy->address, sizeof(proxy->address), "127.0.0.1:%d", port);
    snprintf(proxy->target, sizeof(proxy->target), "%s", target);
    proxy->listener = evconnlistener_new_bind(
        base, on_proxy_accept, proxy,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, 128,
        (struct sockaddr *)&addr, sizeof(addr));
    ck_assert_ptr_nonnull(proxy->listener);
}

/* --------------------------------------------------------------- Fleet */

machine_t *
fleet_add(fleet_t *fleet, const char *name)
{
    ck_assert(fleet->count < FLEET_MAX);
    machine_t *machine = &fleet->machines[fleet->count++];
    relay_process_t *process = &machine->process;
    const char *tmp = getenv("CASE_TMP");

    memset(process, 0, sizeof(*process));
    snprintf(process->name, sizeof(process->name), "%s", name);
    sscanf(name, "edge-%63[^-]", machine->zone);
    snprintf(process->listen, sizeof(process->listen), "127.0.0.1:%d",
             harness_port());
    snprintf(process->ready, sizeof(process->ready), "127.0.0.1:%d",
             harness_port());
    snprintf(process->peer, sizeof(process->peer), "127.0.0.1:%d",
             harness_port());
    memcpy(process->client_address, process->listen, sizeof(process->listen));
    snprintf(process->log, sizeof(process->log), "%s/%s.log",
             tmp != NULL ? tmp : "/tmp", name);
    proxy_open(&machine->store, fleet->base,
               backend_store_address(fleet->backend, 0));
    return machine;
}

/* The command of deploy/system.toml, with the limits of a small deployment. */
static void
exec_daemon(const fleet_t *fleet, const machine_t *machine)
{
    const relay_process_t *process = &machine->process;
    char arguments[11][256];
    char *argv[12] = {NULL};
    int out = open(process->log, O_WRONLY | O_CREAT | O_APPEND, 0644);
    int i = 0;

    snprintf(arguments[i++], 256, "target/masticrelaysd");
    snprintf(arguments[i++], 256, "--name=%s", process->name);
    snprintf(arguments[i++], 256, "--data-centre=%s", machine->zone);
    snprintf(arguments[i++], 256, "--listen=%s", process->listen);
    snprintf(arguments[i++], 256, "--ready=%s", process->ready);
    snprintf(arguments[i++], 256, "--peer=%s", process->peer);
    snprintf(arguments[i++], 256, "--store=%s", machine->store.address);
    snprintf(arguments[i++], 256, "--duty=%s",
             backend_promotion_address(fleet->backend));
    snprintf(arguments[i++], 256, "--grace-s=6");
    snprintf(arguments[i++], 256, "--memory-mb=182");
    snprintf(arguments[i++], 256, "--link-mbps=700.0");
    for (int j = 0; j < i; j++) {
        argv[j] = arguments[j];
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execv(argv[0], argv);
    _exit(127);
}

void
machine_start(fleet_t *fleet, machine_t *machine)
{
    machine->process.pid = fork();
    ck_assert(machine->process.pid >= 0);
    if (machine->process.pid == 0) {
        exec_daemon(fleet, machine);
    }
}

void
machine_kill(machine_t *machine)
{
    if (machine->process.pid > 0) {
        kill(machine->process.pid, SIGKILL);
        waitpid(machine->process.pid, NULL, 0);
        machine->process.pid = 0;
    }
}

void
fleet_start(fleet_t *fleet)
{
    for (int i = 0; i < fleet->count; i++) {
        machine_start(fleet, &fleet->machines[i]);
    }
    for (int i = 0; i < fleet->count; i++) {
        ck_assert_msg(
            relay_wait_ready(&fleet->machines[i].process, fleet->base, 15000),
            "%s is not ready", fleet->machines[i].process.name);
    }
    record("%d machines are ready", fleet->count);
}

void
fleet_stop(fleet_t *fleet)
{
    for (int i = 0; i < fleet->count; i++) {
        machine_kill(&fleet->machines[i]);
    }
}
