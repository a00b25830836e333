/* Tests that test programs which run at the same time do not choose the same
 * ports. */

#include <sys/wait.h>
#include <unistd.h>

#include "harness.h"

enum { PROCESSES = 8, PORTS = 250, PORT_NUMBERS = 65536 };

/* Chooses ports, writes them to @out and holds them until the other end of
 * @release is closed. */
static void
choose_ports(int out, int release)
{
    int ports[PORTS];
    char byte;

    for (int i = 0; i < PORTS; i++) {
        ports[i] = harness_port();
    }
    bool written = write(out, ports, sizeof(ports)) == sizeof(ports);
    while (read(release, &byte, 1) > 0) {
    }
    _exit(written ? 0 : 1);
}

START_TEST(test_no_port_is_chosen_twice)
{
    static bool seen[PORT_NUMBERS];
    int ports[PORTS];
    int out[2];
    int release[2];

    /* The children inherit the block of ports that this process has reserved.
     */
    seen[harness_port()] = true;
    ck_assert_int_eq(pipe(out), 0);
    ck_assert_int_eq(pipe(release), 0);
    for (int i = 0; i < PROCESSES; i++) {
        pid_t pid = fork();
        ck_assert_int_ge(pid, 0);
        if (pid == 0) {
            close(release[1]);
            choose_ports(out[1], release[0]);
        }
    }
    for (int i = 0; i < PROCESSES; i++) {
        ck_assert_int_eq(read(out[0], ports, sizeof(ports)), sizeof(ports));
        for (int j = 0; j < PORTS; j++) {
            ck_assert_msg(!seen[ports[j]], "port %d was chosen twice",
                          ports[j]);
            seen[ports[j]] = true;
        }
    }
    close(release[1]);
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
