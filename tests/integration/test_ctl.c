/* Tests masticrelayctl against a running fleet: it does not approve a
 * configuration other than the one reviewed, reports a change only when it is
 * in force, names data centres that have not confirmed, and exits with the
 * documented statuses. */

#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "common/mem.h"
#include "harness.h"

enum { OUTPUT_BYTES = 65536 };

static const char *const data_centre_names[] = {"konya", "nigde", NULL};

static const harness_options_t options = {
    .data_centres = data_centre_names,
    .accounts = 2,
    .rate = 100,
    .burst = 50,
    .slots = 2,
    .connections = 10,
    .lag_ms = HARNESS_EXPLICIT_ZERO,
    .connect_ms = HARNESS_EXPLICIT_ZERO,
    .list_lag_ms = HARNESS_EXPLICIT_ZERO,
};

static char output[OUTPUT_BYTES];

/* Runs masticrelayctl with @arguments; stores standard output and error in
 * output and returns the exit status. */
static int
run_ctl(const char *arguments)
{
    const char *build = getenv("MASTICRELAY_BUILD");
    char *command = mr_asprintf("%s/masticrelayctl %s 2>&1 </dev/null",
                                build == NULL ? "build" : build, arguments);
    FILE *pipe = popen(command, "r");

    ck_assert_ptr_nonnull(pipe);
    output[fread(output, 1, sizeof(output) - 1, pipe)] = '\0';
    int status = pclose(pipe);
    ck_assert_msg(WIFEXITED(status), "%s: %s", command, output);
    free(command);
    return WEXITSTATUS(status);
}

/* Runs masticrelayctl and checks its exit status and that its output contains
 * @text. */
static void
expect(const char *arguments, int status, const char *text)
{
    int found = run_ctl(arguments);

    ck_assert_msg(found == status && strstr(output, text) != NULL,
                  "%s: status %d, expected %d and '%s':\n%s", arguments, found,
                  status, text, output);
}

/* Like expect(), with @file appended to @arguments. */
static void
expect_file(const char *arguments, const char *file, int status,
            const char *text)
{
    char *all = mr_asprintf("%s %s", arguments, file);

    expect(all, status, text);
    free(all);
}

static void
write_file(const char *path, const char *text)
{
    FILE *file = fopen(path, "w");

    ck_assert_ptr_nonnull(file);
    fputs(text, file);
    ck_assert_int_eq(fclose(file), 0);
    ck_assert_int_eq(chmod(path, S_IRUSR | S_IWUSR), 0);
}

START_TEST(test_usage)
{
    expect("", 2, "no command given");
    expect("frobnicate", 2, "unknown command 'frobnicate'");
    expect("key", 2, "unknown command 'key");
    expect("key lend", 2, "unknown command 'key lend'");
    expect("--frob status", 2, "--frob");
    expect("check --frob", 2, "--frob");
    expect("check", 2, "FILE");
    expect("check a b", 2, "'b'");
    expect("status", 2, "--platform");
    expect("--platform localhost:1 instances", 2, "'localhost:1'");
    expect("--timeout-ms 0 --platform 127.0.0.1:1 diff", 2, "--timeout-ms");
    expect("--platform 127.0.0.1:1 instances", 5, "unavailable");
    expect("check /nonexistent", 1, "/nonexistent");
    expect("check --json /nonexistent", 1, "\"kind\":\"failed\"");
    expect("check --help", 0, "masticrelayctl check");
}
END_TEST

/** Paths of the test's files in the harness's folder. */
typedef struct files {
    char config[HARNESS_PATH_BYTES * 2];
    char secret[HARNESS_PATH_BYTES * 2];
    char other_secret[HARNESS_PATH_BYTES * 2];
} files_t;

static harness_t *
start_fleet(files_t *files)
{
    char public_key[MR_OP_APPROVER_PUBLIC_BYTES];
    char secret_key[MR_OP_APPROVER_SECRET_BYTES];
    harness_t *h = harness_start(&options);
    char *admins =
        mr_asprintf("%s,%s", h->instances[0].admin, h->instances[1].admin);

    snprintf(files->config, sizeof(files->config), "%s/c.json", h->folder);
    snprintf(files->secret, sizeof(files->secret), "%s/secret", h->folder);
    snprintf(files->other_secret, sizeof(files->other_secret), "%s/other",
             h->folder);
    write_file(files->secret, h->approver_secret);
    ck_assert(mr_op_approver_create(public_key, secret_key));
    write_file(files->other_secret, secret_key);
    setenv("MASTICRELAY_PLATFORM", h->platform.address, 1);
    setenv("MASTICRELAY_ADMIN", admins, 1);
    setenv("MASTICRELAY_OPERATOR_CREDENTIAL", "operator-credential-of-tests",
           1);
    setenv("MASTICRELAY_APPROVER_PUBLIC_KEY", h->approver_public, 1);
    free(admins);
    return h;
}

/* Writes the harness's configuration with an additional account to
 * files->config. */
static void
write_config(harness_t *h, const files_t *files)
{
    char problem[MR_OP_PROBLEM_BYTES];

    ck_assert_int_eq(run_ctl("diff head head"), 0);
    char *text = mr_op_print(h->config);
    ck_assert_ptr_nonnull(text);
    mr_op_t *op = mr_op_read(text, strlen(text), problem);
    ck_assert_ptr_nonnull(op);
    const mr_op_account_t account = {"extra", 7, 7, 1};
    mr_op_account(op, &account);
    char *changed = mr_op_print(op);
    ck_assert_ptr_nonnull(changed);
    write_file(files->config, changed);
    free(changed);
    mr_op_destroy(op);
    free(text);
}

START_TEST(test_change)
{
    files_t files;
    harness_t *h = start_fleet(&files);
    const char *wrong_hash =
        "000000000000000000000000000000000000000000000000000000"
        "0000000000";

    write_config(h, &files);
    expect_file("propose --next-version --operator ayse", files.config, 0,
                "is proposed");
    expect_file("propose --next-version --operator veli", files.config, 3,
                "conflict");
    expect("diff", 0, "  + extra: burst 7, rate 7, weight 1\n");
    expect("status", 0, "Staged:   version 2  state proposed");

    /* A configuration without an approval is not accepted. */
    expect("accept", 1, "not approved");
    expect("approve --yes", 2, "--approver-key");
    expect_file("approve --approver-key", files.secret, 2, "no terminal");
    char *wrong =
        mr_asprintf("approve --approver-key %s %s", files.secret, wrong_hash);
    expect(wrong, 3, "the staged configuration is version 2");
    free(wrong);
    expect_file("approve --yes --approver-key", files.other_secret, 1,
                "not the customer's");
    ck_assert_int_eq(chmod(files.other_secret, 0644), 0);
    expect_file("approve --yes --approver-key", files.other_secret, 1,
                "others");
    expect_file("approve --yes --approver-key", files.secret, 0,
                "is approved");
    expect("accept --wait-ms 10000", 0, "is accepted");
    expect("diff head staged", 0, "No differences.");
    harness_run_loop(h->base, 3000);
    expect("status --json", 0, "\"lowest_version\":2");
    ck_assert_ptr_null(strstr(output, "\"lowest_version\":1"));
    expect("audit --limit 0", 0, "ayse");
    ck_assert_ptr_null(strstr(output, "broken"));
    expect("accounts", 0, "extra");
    expect("groups", 0, "g0-a");
    expect("instances", 0, "nigde-0");
    harness_end(h);
}
END_TEST

START_TEST(test_unreachable_data_centre)
{
    files_t files;
    harness_t *h = start_fleet(&files);

    write_config(h, &files);
    harness_process_kill(&harness_instance(h, "nigde-0")->process);
    expect("status", 5, "unreachable");
    expect_file("propose --next-version", files.config, 0, "is proposed");
    expect_file("approve --yes --approver-key", files.secret, 0,
                "is approved");
    expect("accept --wait-ms 2000", 3, "not confirmed by nigde (");
    expect("accept --without ankara", 1, "'ankara'");
    expect("accept --without nigde --wait-ms 10000", 0, "is accepted");
    expect("audit --limit 0", 0, "without nigde");
    harness_end(h);
}
END_TEST

START_TEST(test_keys)
{
    files_t files;
    harness_t *h = start_fleet(&files);
    char key[MR_OP_KEY_BYTES];

    expect("key issue nobody k9", 1, "\"nobody\" is not described");
    expect("key issue account-0 k.9", 1, "keys[k.9].id");
    expect("key withdraw k9", 4, "key 'k9' is not");
    expect("target leave none", 4, "target 'none' is not");
    expect("key issue account-0 k9", 0, "Version 2 is proposed.");
    ck_assert_int_eq(sscanf(output, "%112s", key), 1);
    ck_assert_int_eq(strncmp(key, "mrk.k9.", 7), 0);
    expect("diff", 0, "  + k9: account account-0, hash ");
    ck_assert_ptr_null(strstr(output, strrchr(key, '.') + 1));
    expect("audit 1 --json", 0, "\"k9\"");
    ck_assert_ptr_null(strstr(output, strrchr(key, '.') + 1));
    expect("key withdraw k9", 4, "key 'k9' is not");
    expect("veto --yes --reason unread", 0, "is vetoed");
    expect("target leave g0-a", 0, "Version 3 is proposed.");
    expect("diff", 0, "  ~ g0-a: state active -> leaving\n");
    expect("audit", 0, "unread");
    expect("audit 99", 4, "99");

    harness_set_platform_faults(h, "{\"down\":true}");
    expect("--timeout-ms 300 key issue account-0 k8", 5, "unavailable");
    ck_assert_ptr_null(strstr(output, "mrk."));
    expect("--timeout-ms 300 status", 5, "In force: unknown");
    harness_end(h);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_usage, test_change,
                                  test_unreachable_data_centre, test_keys};

    return RUN_TESTS(tests, .suite = "ctl", .timeout_s = 60);
}
