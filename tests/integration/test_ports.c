/* Guards against test programs that run at the same time and choose the same
 * ports. */

#include <sys/wait.h>
#include <unistd.h>

#include "harness.h"

enum { PROCESSES = 8, PORTS = 250, PORT_NUMBERS = 65536 };

/* Chooses ports, writes them to @out and holds them until @go closes. */
static void
choose_ports(int out, int go)
{
    int ports[PORTS];
    char byte;

    for (int i = 0; i < PORTS; i++) {
        ports[i] = harness_port();
    }
    bool written = write(out, ports, sizeof(ports)) == sizeof(ports);
    while (read(go, &byte, 1) > 0) {
    }
    _exit(written ? 0 : 1);
}

START_TEST(test_no_port_is_chosen_twice)
{
    static bool seen[PORT_NUMBERS];
    int ports[PORTS];
    int out[2];
    int go[2];

    /* The children inherit a block that this process has. */
    seen[harness_port()] = true;
    ck_assert_int_eq(pipe(out), 0);
    ck_assert_int_eq(pipe(go), 0);
    for (int i = 0; i < PROCESSES; i++) {
        pid_t pid = fork();
        ck_assert_int_ge(pid, 0);
        if (pid == 0) {
            close(go[1]);
            choose_ports(out[1], go[0]);
        }
    }
    for (int i = 0; i < PROCESSES; i++) {
        ck_assert_int_eq(read(out[0], ports, sizeof(ports)), sizeof(ports));
        for (int j = 0; j < PORTS; j++) {
            ck_assert_msg(!seen[ports[j]], "port %d twice", ports[j]);
            seen[ports[j]] = true;
        }
    }
    close(go[1]);
    for (int i = 0; i < PROCESSES; i++) {
        int status;
        ck_assert_int_gt(wait(&status), 0);
        ck_assert_int_eq(status, 0);
    }
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_no_port_is_chosen_twice};

    return RUN_TESTS(tests, .suite = "ports", .timeout_s = HARNESS_TIMEOUT_S);
}
