/*
 * Shared library that the test harness preloads into processes (LD_PRELOAD).
 * It redirects outgoing loopback connections to links of the fault proxy, so
 * that configuration and settings need not name the proxy, and each connecting
 * process can have links of its own.
 *
 * HARNESS_REDIRECT=PORT:LINK_PORT,... lists the ports to replace.
 * HARNESS_WALL_MS=N sets CLOCK_REALTIME forward by N ms, in whole seconds.
 */

#include <dlfcn.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

static in_port_t
replace_port(in_port_t port)
{
    const char *redirects = getenv("HARNESS_REDIRECT");

    for (const char *entry = redirects; entry != NULL && *entry != '\0';) {
        char *end;
        long from = strtol(entry, &end, 10);
        long to = *end == ':' ? strtol(end + 1, &end, 10) : 0;
        if (from == ntohs(port) && to > 0) {
            return htons((uint16_t)to);
        }
        entry = *end == ',' ? end + 1 : NULL;
    }
    return port;
}

int
connect(int fd, const struct sockaddr *addr, socklen_t len)
{
    static int (*next)(int, const struct sockaddr *, socklen_t);
    struct sockaddr_in copy;

    if (next == NULL) {
        void *symbol = dlsym(RTLD_NEXT, "connect");
        memcpy(&next, &symbol, sizeof(next));
    }
    if (addr->sa_family == AF_INET && len >= sizeof(copy)) {
        memcpy(&copy, addr, sizeof(copy));
        copy.sin_port = replace_port(copy.sin_port);
        return next(fd, (const struct sockaddr *)&copy, sizeof(copy));
    }
    return next(fd, addr, len);
}

int
clock_gettime(clockid_t clock_id, struct timespec *tp)
{
    const char *shift = getenv("HARNESS_WALL_MS");
    long result = syscall(SYS_clock_gettime, clock_id, tp);

    if (result == 0 && clock_id == CLOCK_REALTIME && shift != NULL) {
        tp->tv_sec += strtol(shift, NULL, 10) / 1000;
    }
    return (int)result;
}
