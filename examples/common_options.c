#include "common_options.h"

#include <fcntl.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

static bool
check_pairs(char **pairs, const char *flag)
{
    for (size_t i = 0; pairs != NULL && pairs[i] != NULL; i++) {
        const char *equals = strchr(pairs[i], '=');
        if (equals == NULL || equals == pairs[i] || equals[1] == '\0') {
            fprintf(stderr, "%s: '%s' is not NAME=VALUE\n", flag, pairs[i]);
            return false;
        }
    }
    return true;
}

static void
release_options(options_t *options)
{
    g_strfreev(options->targets);
    g_strfreev(options->rates);
    g_strfreev(options->keys);
    g_free(options->issue_keys);
    g_hash_table_destroy(options->described_names);
}

static bool
parse_options(options_t *options, int argc, char **argv)
{
    memset(options, 0, sizeof(*options));
    options->version = 1;
    options->described_names = g_hash_table_new(g_str_hash, g_str_equal);
    const GOptionEntry entries[] = {
        {"version", 0, 0, G_OPTION_ARG_INT64, &options->version,
         "Version of the configuration (1)", "N"},
        {"target", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->targets,
         "Address of a target; may be repeated", "NAME=IP:port"},
        {"rate", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->rates,
         "Rate and burst of an account; may be repeated",
         "ACCOUNT=RATE:BURST"},
        {"key", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->keys,
         "Hash of a key; may be repeated", "ACCOUNT=ID:HASH"},
        {"issue-keys", 0, 0, G_OPTION_ARG_FILENAME, &options->issue_keys,
         "Issue one key per account and write ACCOUNT KEY lines to FILE",
         "FILE"},
        G_OPTION_ENTRY_NULL,
    };
    GError *error = NULL;
    GOptionContext *context = g_option_context_new("- print a configuration");

    g_option_context_add_main_entries(context, entries, NULL);
    bool read = g_option_context_parse(context, &argc, &argv, &error);
    g_option_context_free(context);
    if (!read) {
        fprintf(stderr, "%s\n", error->message);
        g_error_free(error);
    }
    else if (argc > 1) {
        fprintf(stderr, "unexpected argument '%s'\n", argv[1]);
        read = false;
    }
    read = read && check_pairs(options->targets, "--target")
           && check_pairs(options->rates, "--rate")
           && check_pairs(options->keys, "--key");
    if (!read) {
        release_options(options);
    }
    return read;
}

/* Returns VALUE of the last NAME=VALUE in @pairs where NAME is @name, or
 * NULL. */
static const char *
find_value(char **pairs, const char *name)
{
    const char *found = NULL;
    size_t len = strlen(name);

    for (size_t i = 0; pairs != NULL && pairs[i] != NULL; i++) {
        if (strncmp(pairs[i], name, len) == 0 && pairs[i][len] == '=') {
            found = pairs[i] + len + 1;
        }
    }
    return found;
}

void
options_add_target(options_t *options, mr_op_t *op,
                   const mr_op_target_t *target)
{
    mr_op_target_t own = *target;
    const char *address = find_value(options->targets, target->name);

    g_hash_table_add(options->described_names, (gpointer)target->name);
    if (address != NULL) {
        own.address = address;
    }
    mr_op_target(op, &own);
}

void
options_add_account(options_t *options, mr_op_t *op,
                    const mr_op_account_t *account)
{
    mr_op_account_t own = *account;
    const char *rate = find_value(options->rates, account->name);

    g_hash_table_add(options->described_names, (gpointer)account->name);
    if (rate != NULL) {
        /* A malformed number gives 0, for which the library reports an error
         * that names the account. */
        const char *burst = strchr(rate, ':');
        own.rate = g_ascii_strtoll(rate, NULL, 10);
        own.burst =
            burst != NULL ? g_ascii_strtoll(burst + 1, NULL, 10) : own.rate;
    }
    mr_op_account(op, &own);
}

static void
add_hashed_keys(const options_t *options, mr_op_t *op)
{
    for (size_t i = 0; options->keys != NULL && options->keys[i] != NULL;
         i++) {
        char **account = g_strsplit(options->keys[i], "=", 2);
        char **key = g_strsplit(account[1], ":", 2);
        mr_op_key(op, account[0], key[0], key[0] != NULL ? key[1] : NULL);
        g_strfreev(key);
        g_strfreev(account);
    }
}

static bool
add_keys(const options_t *options, mr_op_t *op,
         const mr_op_account_t *accounts, size_t count)
{
    add_hashed_keys(options, op);
    if (options->issue_keys == NULL) {
        return true;
    }
    int fd = open(options->issue_keys, O_WRONLY | O_CREAT | O_TRUNC,
                  S_IRUSR | S_IWUSR);
    /* open() keeps the permissions of an existing file, which others may have
     * been allowed to read. */
    bool is_private = fd >= 0 && fchmod(fd, S_IRUSR | S_IWUSR) == 0;
    FILE *file = is_private ? fdopen(fd, "w") : NULL;
    if (file == NULL) {
        fprintf(stderr, "%s cannot be written\n", options->issue_keys);
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        char key[MR_OP_KEY_BYTES];
        char *id = g_strdup_printf("%s-1", accounts[i].name);
        if (mr_op_key_issue(op, accounts[i].name, id, key)) {
            fprintf(file, "%s %s\n", accounts[i].name, key);
        }
        g_free(id);
    }
    if (fclose(file) != 0) {
        fprintf(stderr, "%s cannot be written\n", options->issue_keys);
        return false;
    }
    return true;
}

static bool
check_described(const options_t *options, char **pairs, const char *flag)
{
    bool known = true;

    for (size_t i = 0; known && pairs != NULL && pairs[i] != NULL; i++) {
        char **parts = g_strsplit(pairs[i], "=", 2);
        known = g_hash_table_contains(options->described_names, parts[0]);
        if (!known) {
            fprintf(stderr, "%s: '%s' is not described\n", flag, parts[0]);
        }
        g_strfreev(parts);
    }
    return known;
}

static int
print_configuration(const options_t *options, mr_op_t *op)
{
    if (!check_described(options, options->targets, "--target")
        || !check_described(options, options->rates, "--rate")) {
        return 2;
    }
    return mr_op_finish(op, stdout, stderr);
}

int
options_run(const example_t *example, int argc, char **argv)
{
    int status = 1;
    options_t options;

    if (!parse_options(&options, argc, argv)) {
        return 2;
    }
    mr_op_t *op = mr_op_create(example->deployment, options.version);
    example->describe(&options, op);
    if (add_keys(&options, op, example->accounts, example->account_count)) {
        status = print_configuration(&options, op);
    }
    mr_op_destroy(op);
    release_options(&options);
    return status;
}
