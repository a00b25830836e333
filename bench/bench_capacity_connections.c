/* Memory of one daemon for each idle client connection. */

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common_harness.h"

enum {
    CONNECTIONS_MAX = 4000,
    DESCRIPTORS = CONNECTIONS_MAX + 512,
    SETTLE_MS = 500,
};

static const char *const data_centres[] = {"konya", NULL};

/* Opens a connection and completes one request on it, as on the idle
 * connections of callers. */
static int
open_connection(const char *address)
{
    static const char request[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    char ip[MR_ADDRESS_MAX_BYTES];
    char answer[1024];
    int port;
    struct sockaddr_in addr = {.sin_family = AF_INET};

    ck_assert(mr_address_split(address, ip, &port));
    addr.sin_port = htons((uint16_t)port);
    ck_assert_int_eq(inet_pton(AF_INET, ip, &addr.sin_addr), 1);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ck_assert_int_ge(fd, 0);
    ck_assert_int_eq(connect(fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
    ck_assert_int_eq(write(fd, request, sizeof(request) - 1),
                     sizeof(request) - 1);
    ck_assert_int_gt(read(fd, answer, sizeof(answer)), 0);
    return fd;
}

START_TEST(connections)
{
    static const int counts[] = {100, 1000, CONNECTIONS_MAX};
    static int fds[CONNECTIONS_MAX];
    const harness_options_t options = {
        .data_centres = data_centres,
        .accounts = 2,
        .rate = 2000,
        .burst = 1000,
        .slots = 2,
        .connections = 35,
        .connect_ms = 10,
    };
    int open = 0;

    bench_raise_fd_limit(DESCRIPTORS);
    harness_t *h = harness_start(&options);
    const harness_process_t *daemon = &h->instances[0].process;
    bench_print("connection_memory", 0, bench_process_rss_kb(daemon->pid),
                "KB");
    for (size_t i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
        double cpu = bench_process_cpu_ms(daemon->pid);
        int before = open;
        while (open < counts[i]) {
            fds[open++] = open_connection(daemon->address);
        }
        cpu = bench_process_cpu_ms(daemon->pid) - cpu;
        harness_run_loop(h->base, SETTLE_MS);
        bench_print("connection_memory", open,
                    bench_process_rss_kb(daemon->pid), "KB");
        bench_print("connection_open_cpu", open,
                    1e3 * cpu / (double)(open - before), "us");
    }
    while (open > 0) {
        close(fds[--open]);
    }
    harness_end(h);
}
END_TEST

int
main(void)
{
    return bench_run_test("connections", connections);
}
