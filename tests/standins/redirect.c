/*
 * Shared library that the test harness loads into each process with
 * LD_PRELOAD. It sends the process's outgoing loopback connections through
 * links of the fault proxy, so that neither configuration nor settings name
 * the proxy and a link can depend on who connects.
 *
 * HARNESS_REDIRECT=PORT:LINK_PORT,... says which ports to replace.
 * HARNESS_WALL_MS=N sets the process's time of day forward by N ms.
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
    const char *map = getenv("HARNESS_REDIRECT");

    for (const char *it = map; it != NULL && *it != '\0';) {
        char *end;
        long from = strtol(it, &end, 10);
        long to = *end == ':' ? strtol(end + 1, &end, 10) : 0;
        if (from == ntohs(port) && to > 0) {
            return htons((uint16_t)to);
        }
        it = *end == ',' ? end + 1 : NULL;
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
