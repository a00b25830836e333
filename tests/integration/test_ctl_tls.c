/* Tests that with --admin-authorities the operator credential is sent over TLS
 * only, and not to a listener whose certificate was issued by another
 * authority or for another address. */

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "common/mem.h"
#include "common/tls.h"
#include "harness.h"

static char folder[] = "/tmp/masticrelay-ctl-tls-XXXXXX";

static struct bufferevent *
open_tls(struct event_base *base, void *ctx)
{
    (void)base;
    return mr_tls_accept(ctx, -1);
}

/* Answers with the Authorization header as the name of the instance. */
static void
on_status(struct evhttp_request *req, void *ctx)
{
    const char *value = evhttp_find_header(
        evhttp_request_get_input_headers(req), "Authorization");
    struct evbuffer *body = evbuffer_new();

    (void)ctx;
    evbuffer_add_printf(
        body, "{\"instance\":\"%s\",\"groups\":[{\"targets\":[{}]}]}",
        value != NULL ? value : "none");
    evhttp_send_reply(req, 200, "OK", body);
    evbuffer_free(body);
}

/* Writes the port to @fd and serves until the process is killed. */
static void
serve(const char *identity, int fd)
{
    struct event_base *base = event_base_new();
    struct evhttp *http = evhttp_new(base);
    char problem[256];
    mr_tls_options_t options = {
        .base = base,
        .counters = mr_counters_create(),
        .certificate = mr_asprintf("%s/%s.pem", folder, identity),
        .key = mr_asprintf("%s/%s.key", folder, identity),
    };
    mr_tls_t *tls = mr_tls_create(&options, problem, sizeof(problem));

    evhttp_set_bevcb(http, open_tls, tls);
    evhttp_set_gencb(http, on_status, NULL);
    struct evhttp_bound_socket *bound =
        evhttp_bind_socket_with_handle(http, "127.0.0.1", 0);
    struct sockaddr_in addr = {0};
    socklen_t len = sizeof(addr);
    getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&addr,
                &len);
    int port = ntohs(addr.sin_port);
    if (write(fd, &port, sizeof(port)) != sizeof(port)) {
        _exit(1);
    }
    event_base_dispatch(base);
    _exit(0);
}

static pid_t
start_server(const char *identity, int *port)
{
    int fds[2];

    ck_assert_int_eq(pipe(fds), 0);
    pid_t pid = fork();
    ck_assert_int_ge(pid, 0);
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        serve(identity, fds[1]);
    }
    ck_assert_int_eq(read(fds[0], port, sizeof(*port)), sizeof(*port));
    close(fds[0]);
    close(fds[1]);
    return pid;
}

/* Runs `groups` against @port with @authority as --admin-authorities (NULL:
 * without TLS) and checks the exit status and that the output contains @text.
 */
static void
expect(int port, const char *authority, int status, const char *text)
{
    const char *build = getenv("MASTICRELAY_BUILD");
    char output[4096];
    char *command = mr_asprintf(
        "%s/masticrelayctl --admin 127.0.0.1:%d --timeout-ms 3000 "
        "--operator-credential ticket %s%s%s%s groups 2>&1",
        build == NULL ? "build" : build, port,
        authority != NULL ? "--admin-authorities " : "",
        authority != NULL ? folder : "", authority != NULL ? "/" : "",
        authority != NULL ? authority : "");
    FILE *pipe = popen(command, "r");

    ck_assert_ptr_nonnull(pipe);
    output[fread(output, 1, sizeof(output) - 1, pipe)] = '\0';
    int result = pclose(pipe);
    ck_assert_msg(WEXITSTATUS(result) == status
                      && strstr(output, text) != NULL,
                  "%s: status %d:\n%s", command, WEXITSTATUS(result), output);
    ck_assert_msg(status == 0 || strstr(output, "ticket") == NULL,
                  "the credential was sent: %s", output);
    free(command);
}

START_TEST(test_authorities)
{
    int valid_port = 0;
    int other_address_port = 0;

    ck_assert_ptr_nonnull(mkdtemp(folder));
    harness_write_certificate(folder, "valid", "127.0.0.1", 1);
    harness_write_certificate(folder, "other", "127.0.0.1", 1);
    harness_write_certificate(folder, "other_address", "127.0.0.9", 1);
    pid_t valid = start_server("valid", &valid_port);
    pid_t other_address = start_server("other_address", &other_address_port);

    expect(valid_port, "valid.pem", 0, "Bearer ticket");
    expect(valid_port, "other.pem", 5, "certificate refused");
    expect(other_address_port, "other_address.pem", 5, "certificate refused");
    expect(valid_port, NULL, 5, "unreachable");
    expect(valid_port, "valid.key", 1, "no certificate can be read");

    kill(valid, SIGKILL);
    kill(other_address, SIGKILL);
    waitpid(valid, NULL, 0);
    waitpid(other_address, NULL, 0);
    char *command = mr_asprintf("rm -rf '%s'", folder);
    ck_assert_int_eq(system(command), 0);
    free(command);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_authorities};

    return RUN_TESTS(tests, .suite = "ctl_tls", .timeout_s = 60);
}
