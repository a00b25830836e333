#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/address.h"
#include "common/mem.h"
#include "session/sessiond.h"

enum {
    GRACE_DEFAULT_S = 6,
    GRACE_MAX_S = 600,
    APPLY_DEFAULT_MS = 3000,
    /* Half of it, and a call that fails before a second one. */
    APPLY_MIN_MS = 2500,
    APPLY_MAX_MS = 600000,
    LINK_MAX_MBPS = 1000000,
    MEMORY_MAX_MB = 1 << 20,
    BYTES_PER_MB = 1000 * 1000,
};

typedef enum setting_kind {
    SETTING_TEXT,
    SETTING_ADDRESS,
} setting_kind_t;

typedef struct setting {
    const char *flag;
    const char *help;
    setting_kind_t kind;
    char **out;
} setting_t;

static bool
report_error(const char *flag, const char *what)
{
    fprintf(stderr, "masticrelaysd: --%s: %s\n", flag, what);
    return false;
}

/* Value of the environment variable of a flag, such as MASTICRELAY_DATA_CENTRE
 * for data-centre; NULL if it is not set. */
static const char *
read_environment(const char *flag)
{
    char *name = g_strdup_printf("MASTICRELAY_%s", flag);

    for (char *p = name; *p != '\0'; p++) {
        *p = *p == '-' ? '_' : g_ascii_toupper(*p);
    }
    const char *value = g_getenv(name);
    g_free(name);
    return value;
}

/* Reads a setting from the environment unless its flag was given, and checks
 * it. */
static bool
check_setting(const setting_t *setting)
{
    struct sockaddr_storage addr;
    int len;

    if (*setting->out == NULL) {
        *setting->out = g_strdup(read_environment(setting->flag));
    }
    if (*setting->out == NULL || **setting->out == '\0') {
        return report_error(setting->flag, "is missing");
    }
    if (setting->kind == SETTING_ADDRESS
        && !mr_address_parse(*setting->out, &addr, &len)) {
        return report_error(setting->flag, "must be an IP address and a port");
    }
    return true;
}

static bool
parse_log_level(const char *text, mr_log_level_t *level)
{
    static const char *const names[] = {"debug", "info", "warning", "error"};

    *level = MR_LOG_INFO;
    if (text == NULL) {
        return true;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (strcmp(text, names[i]) == 0) {
            *level = (mr_log_level_t)i;
            return true;
        }
    }
    return report_error("log-level", "must be debug, info, warning or error");
}

/* Reads the memory limit from the environment unless its flag was given. */
static bool
parse_memory_limit(const char *text, int64_t *limit)
{
    guint64 mb = 0;

    if (text == NULL) {
        text = read_environment("memory-mb");
    }
    if (text != NULL
        && !g_ascii_string_to_unsigned(text, 10, 0, MEMORY_MAX_MB, &mb,
                                       NULL)) {
        return report_error("memory-mb", "must be from 0 to 1048576");
    }
    *limit = (int64_t)mb * BYTES_PER_MB;
    return true;
}

/* Reads the rate of the network link from the environment unless its flag was
 * given. */
static bool
parse_link_rate(const char *text, int64_t *mbps)
{
    char *end;

    if (text == NULL) {
        text = read_environment("link-mbps");
    }
    *mbps = 0;
    if (text == NULL) {
        return true;
    }
    double value = g_ascii_strtod(text, &end);
    if (end == text || *end != '\0'
        || !(value >= 0 && value <= LINK_MAX_MBPS)) {
        return report_error("link-mbps", "must be from 0 to 1000000");
    }
    *mbps = (int64_t)value;
    return true;
}

/* Reads which services share connections from the environment unless the flag
 * was given. An empty text means the default. */
static bool
parse_sharing(const char *text, mr_share_mode_t *mode)
{
    static const char *const names[] = {"auto", "on", "off"};

    if (text == NULL) {
        text = read_environment("share-connections");
    }
    *mode = MR_SHARE_AUTO;
    if (text == NULL || text[0] == '\0') {
        return true;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (strcmp(text, names[i]) == 0) {
            *mode = (mr_share_mode_t)i;
            return true;
        }
    }
    return report_error("share-connections", "must be auto, on or off");
}

static bool
check_times(int grace_s, int apply_ms)
{
    if (grace_s < 1 || grace_s > GRACE_MAX_S) {
        return report_error("grace-s", "must be from 1 to 600");
    }
    if (apply_ms < APPLY_MIN_MS || apply_ms > APPLY_MAX_MS) {
        return report_error("apply-ms", "must be from 2500 to 600000");
    }
    return true;
}

static GOptionEntry
text_entry(const char *flag, char **out, const char *help, const char *value)
{
    return (GOptionEntry){flag, 0, 0, G_OPTION_ARG_STRING, out, help, value};
}

bool
mr_sessiond_settings_read(int *argc, char ***argv,
                          mr_sessiond_settings_t *settings)
{
    const setting_t table[] = {
        {"name", "name of this instance", SETTING_TEXT, &settings->name},
        {"data-centre", "data centre of this instance", SETTING_TEXT,
         &settings->data_centre},
        {"listen", "listener for clients", SETTING_ADDRESS, &settings->listen},
        {"ready", "listener for readiness probes and counters",
         SETTING_ADDRESS, &settings->ready},
        {"peer", "listener for other instances", SETTING_ADDRESS,
         &settings->peer},
        {"store", "the platform's store", SETTING_ADDRESS, &settings->store},
        {"duty", "the platform's promotion calls", SETTING_ADDRESS,
         &settings->duty},
    };
    GOptionEntry entries[G_N_ELEMENTS(table) + 8] = {{0}};
    int grace_s = GRACE_DEFAULT_S;
    int apply_ms = APPLY_DEFAULT_MS;
    char *memory_mb = NULL;
    char *link_mbps = NULL;
    char *sharing = NULL;
    char *level = NULL;
    GError *error = NULL;
    size_t n = 0;

    memset(settings, 0, sizeof(*settings));
    for (; n < G_N_ELEMENTS(table); n++) {
        entries[n] = (GOptionEntry){
            table[n].flag,
            0,
            0,
            G_OPTION_ARG_STRING,
            table[n].out,
            table[n].help,
            table[n].kind == SETTING_ADDRESS ? "IP:PORT" : "TEXT"};
    }
    entries[n++] = (GOptionEntry){
        "grace-s", 0,
        0,         G_OPTION_ARG_INT,
        &grace_s,  "seconds from the stop signal to the kill (6)",
        "S"};
    entries[n++] = (GOptionEntry){
        "apply-ms", 0,
        0,          G_OPTION_ARG_INT,
        &apply_ms,  "how long a replaced desired state may be used (3000)",
        "MS"};
    entries[n++] =
        text_entry("memory-mb", &memory_mb,
                   "memory limit of the process; 0: not known (0)", "MB");
    entries[n++] =
        text_entry("link-mbps", &link_mbps,
                   "rate of the network link; 0: not known (0)", "MBIT/S");
    entries[n++] =
        text_entry("share-connections", &sharing,
                   "share connections: auto, on or off (auto)", "MODE");
    entries[n++] = text_entry("log-level", &level,
                              "debug, info, warning or error (info)", "LEVEL");
    entries[n++] = (GOptionEntry){"check",
                                  0,
                                  0,
                                  G_OPTION_ARG_NONE,
                                  &settings->check,
                                  "check the settings and exit",
                                  NULL};
    GOptionContext *context = g_option_context_new("- session relay");
    g_option_context_add_main_entries(context, entries, NULL);
    bool good = g_option_context_parse(context, argc, argv, &error);
    g_option_context_free(context);
    if (!good) {
        fprintf(stderr, "masticrelaysd: %s\n", error->message);
        g_error_free(error);
    }
    for (size_t i = 0; good && i < G_N_ELEMENTS(table); i++) {
        good = check_setting(&table[i]);
    }
    good = good && check_times(grace_s, apply_ms);
    good = good && parse_memory_limit(memory_mb, &settings->memory_limit);
    good = good && parse_link_rate(link_mbps, &settings->link_mbps);
    good = good && parse_sharing(sharing, &settings->share_connections);
    good = good && parse_log_level(level, &settings->log_level);
    settings->grace = (mr_ms_t)grace_s * 1000;
    settings->apply_max = apply_ms;
    g_free(memory_mb);
    g_free(link_mbps);
    g_free(sharing);
    g_free(level);
    if (!good) {
        mr_sessiond_settings_release(settings);
    }
    return good;
}

void
mr_sessiond_settings_release(mr_sessiond_settings_t *settings)
{
    g_free(settings->name);
    g_free(settings->data_centre);
    g_free(settings->listen);
    g_free(settings->ready);
    g_free(settings->peer);
    g_free(settings->store);
    g_free(settings->duty);
    memset(settings, 0, sizeof(*settings));
}
