#include "daemon/settings.h"

#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/address.h"
#include "common/mem.h"

extern char **environ;

enum {
    NAME_MAX_BYTES = 64,
    CREDENTIAL_MIN_BYTES = 16,
    DRAIN_DEFAULT_MS = 15000,
    DRAIN_MAX_MS = 600000,
    /* Twice the callers of one daemon when 2,600 daemons serve 5.5 million. */
    CONNECTIONS_DEFAULT = 4096,
    CONNECTIONS_MAX = 1000000,
};

static const char env_prefix[] = "MASTICRELAY_";

/** One setting, for example the flag --name and the variable
 * MASTICRELAY_NAME. */
typedef struct setting {
    const char *flag;
    const char *help;
    const char *argument;
    bool required;
    char *value;
} setting_t;

/** Index of a setting in the table. */
typedef enum setting_index {
    SETTING_NAME,
    SETTING_DATA_CENTRE,
    SETTING_LISTEN,
    SETTING_PEER,
    SETTING_ADMIN,
    SETTING_PLATFORM,
    SETTING_SECRET_FILE,
    SETTING_SECRET,
    SETTING_APPROVER_KEY,
    SETTING_CREDENTIAL,
    SETTING_LOG_LEVEL,
    SETTING_DRAIN_MS,
    SETTING_TLS_CERTIFICATE,
    SETTING_TLS_KEY,
    SETTING_PEER_CERTIFICATE,
    SETTING_PEER_KEY,
    SETTING_PEER_AUTHORITIES,
    SETTING_CONNECTIONS,
    SETTING_ADVERTISE,
    SETTING_SOURCE,
    SETTING_COUNT,
} setting_index_t;

static const setting_t setting_table[SETTING_COUNT] = {
    [SETTING_NAME] = {"name", "name of this instance", "TEXT", true, NULL},
    [SETTING_DATA_CENTRE] = {"data-centre", "data centre of this instance",
                             "NAME", true, NULL},
    [SETTING_LISTEN] = {"listen", "callers' listener", "IP:PORT", true, NULL},
    [SETTING_PEER] = {"peer", "listener for other instances", "IP:PORT", true,
                      NULL},
    [SETTING_ADMIN] = {"admin", "operators' listener", "IP:PORT", true, NULL},
    [SETTING_PLATFORM] = {"platform", "the platform's service", "IP:PORT",
                          true, NULL},
    [SETTING_SECRET_FILE] = {"secret-file",
                             "file with the fleet secret, 64 hex digits",
                             "PATH", false, NULL},
    [SETTING_SECRET] = {"secret",
                        "fleet secret, 64 hex digits; prefer the variable or "
                        "--secret-file, since flags show in process lists",
                        "HEX", false, NULL},
    [SETTING_APPROVER_KEY] = {"approver-public-key",
                              "customer's Ed25519 public key, 64 hex digits",
                              "HEX", true, NULL},
    [SETTING_CREDENTIAL] = {"operator-credential",
                            "credential of operators, 16 characters or more",
                            "TEXT", true, NULL},
    [SETTING_LOG_LEVEL] = {"log-level", "debug, info, warning or error",
                           "LEVEL", false, NULL},
    [SETTING_DRAIN_MS] = {"drain-ms",
                          "longest graceful shutdown in milliseconds", "MS",
                          false, NULL},
    [SETTING_TLS_CERTIFICATE] = {"tls-certificate",
                                 "certificate for callers and operators",
                                 "PEM", false, NULL},
    [SETTING_TLS_KEY] = {"tls-key", "its key", "PEM", false, NULL},
    [SETTING_PEER_CERTIFICATE] = {"peer-certificate",
                                  "certificate for links between instances",
                                  "PEM", false, NULL},
    [SETTING_PEER_KEY] = {"peer-key", "its key", "PEM", false, NULL},
    [SETTING_PEER_AUTHORITIES] =
        {"peer-authorities", "certificate authorities of the other instances",
         "PEM", false, NULL},
    [SETTING_ADVERTISE] = {"advertise",
                           "address that other instances use, if not --peer",
                           "IP:PORT", false, NULL},
    [SETTING_SOURCE] = {"source", "source IP address of outgoing connections",
                        "IP", false, NULL},
    [SETTING_CONNECTIONS] = {"connections",
                             "maximum number of open connections from callers",
                             "N", false, NULL},
};

static bool
report_invalid(const char *flag, const char *problem)
{
    fprintf(stderr, "masticrelayd: --%s: %s\n", flag, problem);
    return false;
}

/* Writes the variable of @flag to @out: MASTICRELAY_DATA_CENTRE for
 * data-centre. */
static void
format_variable(const char *flag, char *out, size_t size)
{
    snprintf(out, size, "%s%s", env_prefix, flag);
    for (char *p = out; *p != '\0'; p++) {
        *p = *p == '-' ? '_' : g_ascii_toupper(*p);
    }
}

static bool
check_environment(const setting_t *settings)
{
    for (char **it = environ; *it != NULL; it++) {
        bool known = false;
        size_t len = strcspn(*it, "=");
        if (strncmp(*it, env_prefix, strlen(env_prefix)) != 0) {
            continue;
        }
        for (size_t i = 0; i < SETTING_COUNT && !known; i++) {
            char variable[64];
            format_variable(settings[i].flag, variable, sizeof(variable));
            known =
                strlen(variable) == len && strncmp(variable, *it, len) == 0;
        }
        if (!known) {
            fprintf(stderr,
                    "masticrelayd: environment variable %.*s is not a "
                    "setting\n",
                    (int)len, *it);
            return false;
        }
    }
    return true;
}

static bool
read_values(setting_t *settings)
{
    for (size_t i = 0; i < SETTING_COUNT; i++) {
        char variable[64];
        format_variable(settings[i].flag, variable, sizeof(variable));
        const char *value = getenv(variable);
        if (settings[i].value == NULL && value != NULL) {
            settings[i].value = g_strdup(value);
        }
        if (settings[i].value == NULL && settings[i].required) {
            return report_invalid(settings[i].flag, "is missing");
        }
    }
    return true;
}

static bool
check_name(const setting_t *setting)
{
    size_t len = strlen(setting->value);
    size_t valid =
        strspn(setting->value, "abcdefghijklmnopqrstuvwxyz"
                               "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.");

    if (len == 0 || len > NAME_MAX_BYTES || valid != len) {
        return report_invalid(
            setting->flag,
            "must consist of 1 to 64 letters, digits, '-', '_' or '.'");
    }
    return true;
}

static bool
check_address(const setting_t *setting)
{
    struct sockaddr_storage addr;
    int len;

    if (!mr_address_parse(setting->value, &addr, &len)) {
        return report_invalid(setting->flag,
                              "must be an IP address and a port");
    }
    if (mr_address_port(&addr) == 0) {
        return report_invalid(setting->flag, "the port must not be 0");
    }
    return true;
}

static bool
check_source(const setting_t *setting)
{
    char address[MR_ADDRESS_MAX_BYTES];
    struct sockaddr_storage addr;
    int len;

    if (setting->value == NULL) {
        return true;
    }
    snprintf(address, sizeof(address), "%s:0", setting->value);
    if (!mr_address_parse(address, &addr, &len)) {
        return report_invalid(setting->flag, "must be an IP address");
    }
    return true;
}

static bool
read_hex(const char *flag, const char *text, uint8_t *out, size_t size)
{
    size_t len = 0;

    if (sodium_hex2bin(out, size, text, strlen(text), NULL, &len, NULL) != 0
        || len != size) {
        return report_invalid(flag, "must be 64 hex digits");
    }
    return true;
}

static bool
read_secret(const setting_t *settings, mr_settings_t *out)
{
    const char *path = settings[SETTING_SECRET_FILE].value;
    const char *secret = settings[SETTING_SECRET].value;
    char *content = NULL;

    if ((path == NULL) == (secret == NULL)) {
        return report_invalid(
            "secret-file",
            "exactly one of --secret-file and --secret is required");
    }
    if (secret != NULL) {
        return read_hex("secret", secret, out->secret, sizeof(out->secret));
    }
    if (!g_file_get_contents(path, &content, NULL, NULL)) {
        return report_invalid("secret-file", "cannot be read");
    }
    bool ok = read_hex("secret-file", g_strstrip(content), out->secret,
                       sizeof(out->secret));
    sodium_memzero(content, strlen(content));
    g_free(content);
    return ok;
}

static bool
read_level(const setting_t *setting, mr_settings_t *out)
{
    static const char *const names[] = {"debug", "info", "warning", "error"};

    out->log_level = MR_LOG_INFO;
    if (setting->value == NULL) {
        return true;
    }
    for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        if (strcmp(setting->value, names[i]) == 0) {
            out->log_level = (mr_log_level_t)i;
            return true;
        }
    }
    return report_invalid(setting->flag,
                          "must be debug, info, warning or error");
}

static bool
read_number(const setting_t *setting, guint64 default_value, guint64 max,
            int64_t *out)
{
    guint64 value = default_value;

    if (setting->value != NULL
        && !g_ascii_string_to_unsigned(setting->value, 10, 0, max, &value,
                                       NULL)) {
        char problem[64];
        snprintf(problem, sizeof(problem), "must be a number up to %llu",
                 (unsigned long long)max);
        return report_invalid(setting->flag, problem);
    }
    *out = (int64_t)value;
    return true;
}

/* Checks that either all settings of @group are given or none. */
static bool
check_all_or_none(const setting_t *settings, const setting_index_t *group,
                  size_t count)
{
    bool given = settings[group[0]].value != NULL;

    for (size_t i = 1; i < count; i++) {
        if ((settings[group[i]].value != NULL) != given) {
            char problem[64];
            snprintf(problem, sizeof(problem), "requires --%s",
                     settings[group[given ? i : 0]].flag);
            return report_invalid(settings[group[given ? 0 : i]].flag,
                                  problem);
        }
    }
    return true;
}

static bool
check_tls(const setting_t *settings)
{
    static const setting_index_t listeners[] = {SETTING_TLS_CERTIFICATE,
                                                SETTING_TLS_KEY};
    static const setting_index_t peers[] = {
        SETTING_PEER_CERTIFICATE, SETTING_PEER_KEY, SETTING_PEER_AUTHORITIES};

    return check_all_or_none(settings, listeners, 2)
           && check_all_or_none(settings, peers, 3);
}

static bool
check_listeners(const setting_t *settings)
{
    const char *listen = settings[SETTING_LISTEN].value;
    const char *peer = settings[SETTING_PEER].value;
    const char *admin = settings[SETTING_ADMIN].value;

    if (strcmp(listen, peer) == 0 || strcmp(listen, admin) == 0
        || strcmp(peer, admin) == 0) {
        return report_invalid("listen",
                              "--listen, --peer and --admin must differ");
    }
    return true;
}

static bool
check_values(const setting_t *settings, mr_settings_t *out)
{
    if (!check_name(&settings[SETTING_NAME])
        || !check_name(&settings[SETTING_DATA_CENTRE])
        || !check_address(&settings[SETTING_LISTEN])
        || !check_address(&settings[SETTING_PEER])
        || !check_address(&settings[SETTING_ADMIN])
        || !check_address(&settings[SETTING_PLATFORM])
        || (settings[SETTING_ADVERTISE].value != NULL
            && !check_address(&settings[SETTING_ADVERTISE]))
        || !check_source(&settings[SETTING_SOURCE])
        || !check_listeners(settings) || !read_secret(settings, out)
        || !read_hex("approver-public-key",
                     settings[SETTING_APPROVER_KEY].value, out->approver_key,
                     sizeof(out->approver_key))
        || !read_level(&settings[SETTING_LOG_LEVEL], out)
        || !read_number(&settings[SETTING_DRAIN_MS], DRAIN_DEFAULT_MS,
                        DRAIN_MAX_MS, &out->drain_limit)
        || !read_number(&settings[SETTING_CONNECTIONS], CONNECTIONS_DEFAULT,
                        CONNECTIONS_MAX, &out->connections_max)
        || !check_tls(settings)) {
        return false;
    }
    if (strlen(settings[SETTING_CREDENTIAL].value) < CREDENTIAL_MIN_BYTES) {
        return report_invalid("operator-credential",
                              "must have 16 characters or more");
    }
    out->name = mr_strdup(settings[SETTING_NAME].value);
    out->data_centre = mr_strdup(settings[SETTING_DATA_CENTRE].value);
    out->listen = mr_strdup(settings[SETTING_LISTEN].value);
    out->peer = mr_strdup(settings[SETTING_PEER].value);
    out->advertise = mr_strdup(settings[SETTING_ADVERTISE].value != NULL
                                   ? settings[SETTING_ADVERTISE].value
                                   : settings[SETTING_PEER].value);
    out->source = mr_strdup(settings[SETTING_SOURCE].value);
    out->admin = mr_strdup(settings[SETTING_ADMIN].value);
    out->platform = mr_strdup(settings[SETTING_PLATFORM].value);
    out->operator_credential = mr_strdup(settings[SETTING_CREDENTIAL].value);
    out->tls_certificate = mr_strdup(settings[SETTING_TLS_CERTIFICATE].value);
    out->tls_key = mr_strdup(settings[SETTING_TLS_KEY].value);
    out->peer_certificate =
        mr_strdup(settings[SETTING_PEER_CERTIFICATE].value);
    out->peer_key = mr_strdup(settings[SETTING_PEER_KEY].value);
    out->peer_authorities =
        mr_strdup(settings[SETTING_PEER_AUTHORITIES].value);
    return true;
}

static mr_settings_result_t
read_flags(int *argc, char ***argv, setting_t *settings)
{
    GOptionEntry entries[SETTING_COUNT + 1] = {0};
    GError *error = NULL;
    mr_settings_result_t result = MR_SETTINGS_VALID;
    GOptionContext *context =
        g_option_context_new("- database proxy with session consistency");

    for (size_t i = 0; i < SETTING_COUNT; i++) {
        entries[i].long_name = settings[i].flag;
        entries[i].arg = G_OPTION_ARG_STRING;
        entries[i].arg_data = &settings[i].value;
        entries[i].description = settings[i].help;
        entries[i].arg_description = settings[i].argument;
    }
    g_option_context_add_main_entries(context, entries, NULL);
    g_option_context_set_description(
        context, "Each flag may also be given as an environment variable: "
                 "--data-centre as MASTICRELAY_DATA_CENTRE.");
    if (!g_option_context_parse(context, argc, argv, &error)) {
        fprintf(stderr, "masticrelayd: %s\n", error->message);
        g_error_free(error);
        result = MR_SETTINGS_INVALID;
    }
    else if (*argc > 1) {
        fprintf(stderr, "masticrelayd: unexpected argument '%s'\n",
                (*argv)[1]);
        result = MR_SETTINGS_INVALID;
    }
    g_option_context_free(context);
    return result;
}

mr_settings_result_t
mr_settings_read(int *argc, char ***argv, mr_settings_t *settings)
{
    setting_t table[SETTING_COUNT];

    memcpy(table, setting_table, sizeof(table));
    memset(settings, 0, sizeof(*settings));
    mr_settings_result_t result = read_flags(argc, argv, table);
    if (result == MR_SETTINGS_VALID
        && (!check_environment(table) || !read_values(table)
            || !check_values(table, settings))) {
        result = MR_SETTINGS_INVALID;
    }
    for (size_t i = 0; i < SETTING_COUNT; i++) {
        g_free(table[i].value);
    }
    return result;
}

void
mr_settings_release(mr_settings_t *settings)
{
    free(settings->name);
    free(settings->data_centre);
    free(settings->listen);
    free(settings->peer);
    free(settings->advertise);
    free(settings->source);
    free(settings->admin);
    free(settings->platform);
    free(settings->operator_credential);
    free(settings->tls_certificate);
    free(settings->tls_key);
    free(settings->peer_certificate);
    free(settings->peer_key);
    free(settings->peer_authorities);
    sodium_memzero(settings, sizeof(*settings));
}
