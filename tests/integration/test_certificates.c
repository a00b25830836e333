/* Tests the reload of certificates by listeners and by links between
 * instances: a new certificate is used without a restart, open connections
 * stay open, and an invalid file does not replace the certificate in use. */

#include <openssl/err.h>
#include <openssl/ssl.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "common/mem.h"
#include "harness.h"

enum {
    /* Longest time until a changed file is used; files are checked every 2 s.
     */
    RELOAD_TIMEOUT_MS = 5000,
    LOG_TIMEOUT_MS = 1000, /* ten times the log's flush interval */
    ANSWER_BYTES = 65536,
};

#define RELOADED "masticrelay_certificates_reloaded_total"
#define REFUSED "masticrelay_certificates_refused_total"
#define CREDENTIAL "operator-credential-of-tests"

static const char *const data_centres[] = {"konya", NULL};

static char folder[] = "/tmp/masticrelay-certificates-XXXXXX";

/** A TLS connection with blocking calls. */
typedef struct client {
    SSL_CTX *ctx;
    SSL *ssl;
    int fd;
} client_t;

/* Runs a shell command in the folder. */
static void __attribute__((format(printf, 1, 2))) run(const char *fmt, ...)
{
    char command[1024];
    int len = snprintf(command, sizeof(command), "cd '%s' && ", folder);
    va_list args;

    va_start(args, fmt);
    vsnprintf(command + len, sizeof(command) - (size_t)len, fmt, args);
    va_end(args);
    ck_assert_msg(system(command) == 0, "%s", command);
}

/* Replaces file @to by a copy of @from whose modification time is in the past,
 * as when an earlier file is restored. */
static void
replace(const char *from, const char *to, const char *suffix)
{
    run("cp %s%s new && touch -d '1 day ago' new && mv new %s%s", from, suffix,
        to, suffix);
}

/* Truncates a file, as when it is only partly written. */
static void
truncate_file(const char *name, const char *suffix)
{
    run("truncate -s 100 %s%s", name, suffix);
}

/* Connects to @address with the client certificate @identity; NULL: none. */
static client_t
open_client(const char *address, const char *identity)
{
    client_t client = {.ctx = SSL_CTX_new(TLS_client_method())};
    struct timeval limit = {.tv_sec = 1};
    struct sockaddr_storage addr;
    int len;

    if (identity != NULL) {
        char path[HARNESS_PATH_BYTES];
        snprintf(path, sizeof(path), "%s/%s.pem", folder, identity);
        SSL_CTX_use_certificate_file(client.ctx, path, SSL_FILETYPE_PEM);
        snprintf(path, sizeof(path), "%s/%s.key", folder, identity);
        SSL_CTX_use_PrivateKey_file(client.ctx, path, SSL_FILETYPE_PEM);
        ck_assert_int_eq(SSL_CTX_check_private_key(client.ctx), 1);
    }
    ck_assert(mr_address_parse(address, &addr, &len));
    client.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(client.fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    ck_assert_int_eq(
        connect(client.fd, (struct sockaddr *)&addr, (socklen_t)len), 0);
    client.ssl = SSL_new(client.ctx);
    SSL_set_fd(client.ssl, client.fd);
    ck_assert_int_eq(SSL_connect(client.ssl), 1);
    return client;
}

static void
close_client(client_t *client)
{
    SSL_free(client->ssl);
    SSL_CTX_free(client->ctx);
    close(client->fd);
}

/* Returns the serial number of the certificate that the server presents on a
 * new connection. */
static long
server_serial(const char *address, const char *identity)
{
    client_t client = open_client(address, identity);
    X509 *cert = SSL_get1_peer_certificate(client.ssl);
    long serial = ASN1_INTEGER_get(X509_get0_serialNumber(cert));

    X509_free(cert);
    close_client(&client);
    return serial;
}

/* Whether the server accepts the certificate @identity. The handshake is
 * complete for the client before the server checks the certificate, so a
 * refusal shows when the client reads. */
static bool
is_accepted(const char *address, const char *identity)
{
    client_t client = open_client(address, identity);
    char byte;
    int rc = SSL_read(client.ssl, &byte, 1);
    int error = SSL_get_error(client.ssl, rc);

    close_client(&client);
    ERR_clear_error();
    return error == SSL_ERROR_WANT_READ;
}

/* Sends a request and returns the status; @answer receives the headers and the
 * body of the response. */
static int
send_request(client_t *client, const char *method, const char *path,
             const char *bearer, const char *body, char *answer)
{
    char *request = mr_asprintf("%s %s HTTP/1.1\r\nHost: test\r\n"
                                "Authorization: Bearer %s\r\n"
                                "Content-Length: %zu\r\n\r\n%s",
                                method, path, bearer, strlen(body), body);
    size_t len = 0;
    size_t expected = ANSWER_BYTES; /* until the headers are read */

    ck_assert_int_gt(SSL_write(client->ssl, request, (int)strlen(request)), 0);
    free(request);
    while (len < expected) {
        int n =
            SSL_read(client->ssl, answer + len, (int)(ANSWER_BYTES - 1 - len));
        ck_assert_msg(n > 0, "%s: the connection was closed", path);
        len += (size_t)n;
        answer[len] = '\0';
        const char *end = strstr(answer, "\r\n\r\n");
        const char *size = strcasestr(answer, "Content-Length:");
        if (end != NULL && size != NULL) {
            expected = (size_t)(end + 4 - answer)
                       + strtoul(size + strlen("Content-Length:"), NULL, 10);
        }
    }
    return atoi(answer + strlen("HTTP/1.1 "));
}

static int
read_statement(client_t *client, const harness_account_t *account)
{
    static char answer[ANSWER_BYTES];

    return send_request(client, "POST", "/v1/routes/data/statements",
                        account->key,
                        "{\"access\":\"read\",\"statement\":{\"op\":\"get\","
                        "\"key\":\"none\"}}",
                        answer);
}

static long
find_counter(const char *metrics, const char *name)
{
    char *line = mr_asprintf("\n%s ", name);
    const char *found = strstr(metrics, line);
    long value = found == NULL ? 0 : atol(found + strlen(line));

    free(line);
    return value;
}

/* Waits until a counter of the instance has @value. Reads the metrics over
 * @admin, an open connection to the operators' listener, or with the harness
 * if
 * @admin is NULL. */
static void
wait_counter(harness_t *h, const harness_instance_t *instance, client_t *admin,
             const char *name, long value)
{
    static char answer[ANSWER_BYTES];
    mr_ms_t end = mr_clock_now(NULL) + RELOAD_TIMEOUT_MS;
    long seen;

    do {
        char *metrics = NULL;
        harness_run_loop(h->base, 50);
        if (admin != NULL) {
            ck_assert_int_eq(
                send_request(admin, "GET", "/metrics", CREDENTIAL, "", answer),
                200);
        }
        else {
            metrics = harness_metrics(h, instance);
            ck_assert_ptr_nonnull(metrics);
        }
        seen = find_counter(admin != NULL ? answer : metrics, name);
        free(metrics);
    } while (seen != value && mr_clock_now(NULL) < end);
    ck_assert_msg(seen == value, "%s: %s is %ld instead of %ld",
                  instance->process.name, name, seen, value);
}

static void
wait_counters(harness_t *h, const char *name, long value)
{
    for (size_t i = 0; i < h->instance_count; i++) {
        wait_counter(h, &h->instances[i], NULL, name, value);
    }
}

/* Whether a line of the process's log contains all three texts. */
static bool
has_line(const harness_process_t *process, const char *event, const char *file,
         const char *reason)
{
    FILE *log = fopen(process->log, "re");
    char line[1024];
    bool found = false;

    ck_assert_ptr_nonnull(log);
    while (!found && fgets(line, sizeof(line), log) != NULL) {
        found = strstr(line, event) != NULL && strstr(line, file) != NULL
                && strstr(line, reason) != NULL;
    }
    fclose(log);
    return found;
}

/* Waits for a line of the log, which is buffered and so written after the
 * counter changes. */
static bool
wait_line(const harness_t *h, const harness_process_t *process,
          const char *event, const char *file, const char *reason)
{
    mr_ms_t end = mr_clock_now(NULL) + LOG_TIMEOUT_MS;

    while (!has_line(process, event, file, reason)) {
        if (mr_clock_now(NULL) >= end) {
            return false;
        }
        harness_run_loop(h->base, 10);
    }
    return true;
}

/* Starts one more daemon of the fleet, whose listeners use TLS. */
static harness_instance_t
start_daemon(harness_t *h)
{
    harness_instance_t instance = {0};
    harness_process_t *p = &instance.process;
    const harness_process_t *model = &h->instances[0].process;

    snprintf(p->name, sizeof(p->name), "konya-tls");
    snprintf(p->log, sizeof(p->log), "%.200s/konya-tls.log", h->folder);
    snprintf(p->address, sizeof(p->address), "127.0.0.1:%d", harness_port());
    snprintf(instance.admin, sizeof(instance.admin), "127.0.0.1:%d",
             harness_port());
    p->ready = model->ready;
    for (size_t i = 0; model->args[i] != NULL; i++) {
        harness_process_arg(p, "%s", model->args[i]);
    }
    harness_process_arg(p, "--name=%s", p->name);
    harness_process_arg(p, "--listen=%s", p->address);
    harness_process_arg(p, "--admin=%s", instance.admin);
    harness_process_arg(p, "--peer=127.0.0.1:%d", harness_port());
    harness_process_arg(p, "--tls-certificate=%s/listener.pem", folder);
    harness_process_arg(p, "--tls-key=%s/listener.key", folder);
    harness_process_start(p);
    return instance;
}

START_TEST(test_listeners)
{
    const harness_options_t options = {.data_centres = data_centres,
                                       .connections = 40};
    static const struct {
        const char *from; /* the new content; NULL: the file is truncated */
        const char *suffix;
        const char *counter;
        long value;
        long serial; /* of new connections afterwards */
        const char *reason;
    } steps[] = {
        {"second", ".pem", REFUSED, 1, 1, "does not fit"},
        {NULL, ".pem", REFUSED, 2, 1, "the certificate cannot be read"},
        {"second", ".pem", REFUSED, 3, 1, "does not fit"},
        {"second", ".key", RELOADED, 1, 2, NULL},
        {NULL, ".key", REFUSED, 4, 2, "the key cannot be read"},
        {"second", ".key", RELOADED, 2, 2, NULL},
    };

    ck_assert_ptr_nonnull(mkdtemp(folder));
    harness_write_certificate(folder, "listener", "127.0.0.1", 1);
    harness_write_certificate(folder, "second", "127.0.0.1", 2);
    harness_t *h = harness_start(&options);
    const harness_account_t *account = &h->accounts[0];
    harness_instance_t daemon = start_daemon(h);
    client_t caller = open_client(daemon.process.address, NULL);
    client_t admin = open_client(daemon.admin, NULL);
    mr_ms_t end = mr_clock_now(NULL) + HARNESS_READY_MS;
    while (read_statement(&caller, account) != 200) {
        ck_assert(mr_clock_now(NULL) < end);
        harness_run_loop(h->base, 50);
    }
    ck_assert_int_eq(server_serial(daemon.process.address, NULL), 1);

    for (size_t i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
        if (steps[i].from != NULL) {
            replace(steps[i].from, "listener", steps[i].suffix);
        }
        else {
            truncate_file("listener", steps[i].suffix);
        }
        wait_counter(h, &daemon, &admin, steps[i].counter, steps[i].value);
        ck_assert_int_eq(server_serial(daemon.process.address, NULL),
                         steps[i].serial);
        ck_assert_int_eq(server_serial(daemon.admin, NULL), steps[i].serial);
        ck_assert_int_eq(read_statement(&caller, account), 200);
        ck_assert(steps[i].reason == NULL
                  || wait_line(h, &daemon.process, "event=certificate_refused",
                               "/listener.pem", steps[i].reason));
    }
    close_client(&caller);
    close_client(&admin);
    harness_process_kill(&daemon.process);
    harness_end(h);
    run("rm -rf '%s'", folder);
}
END_TEST

START_TEST(test_links)
{
    char *args[4] = {NULL};
    const harness_load_t load = {.callers = 10,
                                 .account = -1,
                                 .write_percent = 30,
                                 .keys = 4,
                                 .pause = 5,
                                 .seed = 2301};
    harness_options_t options = {.data_centres = data_centres, .instances = 2};

    ck_assert_ptr_nonnull(mkdtemp(folder));
    args[0] = mr_asprintf("--peer-certificate=%s/links.pem", folder);
    args[1] = mr_asprintf("--peer-key=%s/links.key", folder);
    args[2] = mr_asprintf("--peer-authorities=%s/links.all", folder);
    options.instance_args = (const char *const *)args;
    harness_write_certificate(folder, "first", "127.0.0.1", 1);
    harness_write_certificate(folder, "second", "127.0.0.1", 2);
    replace("first", "links", ".pem");
    replace("first", "links", ".key");
    run("cat first.pem second.pem >links.all");
    harness_t *h = harness_start(&options);
    harness_instance_t *one = &h->instances[0];
    harness_instance_t *other = &h->instances[1];
    harness_caller_group_t *callers = harness_callers_start(h, &load);
    ck_assert_int_eq(server_serial(one->peer, "first"), 1);
    ck_assert(is_accepted(one->peer, "first"));

    truncate_file("links", ".pem");
    wait_counters(h, REFUSED, 1);
    ck_assert_int_eq(server_serial(one->peer, "first"), 1);
    ck_assert(wait_line(h, &one->process, "event=certificate_refused",
                        "/links.pem", "the certificate cannot be read"));

    /* Each instance has its new certificate before the old one is removed from
     * the authorities. */
    replace("second", "links", ".key");
    replace("second", "links", ".pem");
    wait_counters(h, RELOADED, 1);
    ck_assert_int_eq(server_serial(one->peer, "second"), 2);
    ck_assert_int_eq(server_serial(other->peer, "second"), 2);
    run("cp second.pem new && mv new links.all");
    wait_counters(h, RELOADED, 2);
    ck_assert(!is_accepted(one->peer, "first"));
    ck_assert(is_accepted(one->peer, "second"));
    harness_run_loop(h->base, 1000);
    harness_counts_t counts = harness_callers_stop(callers);
    harness_print_counts(&counts);
    ck_assert_int_gt(counts.ran, 0);
    ck_assert_int_eq(counts.ran, counts.sent);

    /* After a restart, the instances establish new links. */
    harness_process_kill(&other->process);
    harness_instance_start(h, other);
    harness_session_t *session = harness_session_open(h, 0);
    const harness_request_t put = {.op = "put", .key = "k"};
    mr_ms_t end = mr_clock_now(NULL) + HARNESS_READY_MS;
    while (
        strcmp(harness_call_once(session, one->process.name, &put).outcome,
               "ran")
            != 0
        || strcmp(
               harness_call_once(session, other->process.name, &put).outcome,
               "ran")
               != 0) {
        ck_assert(mr_clock_now(NULL) < end);
        harness_run_loop(h->base, 50);
    }
    harness_session_close(session);
    harness_end(h);
    for (int i = 0; args[i] != NULL; i++) {
        free(args[i]);
    }
    run("rm -rf '%s'", folder);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_listeners, test_links};

    return RUN_TESTS(tests, .suite = "certificates", HARNESS_RUNNER_OPTIONS);
}
