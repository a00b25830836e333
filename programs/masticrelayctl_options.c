/* Settings of masticrelayctl, from options and environment variables. Options
 * take precedence. */

#include <string.h>

#include "masticrelayctl.h"

enum { DEFAULT_TIMEOUT_MS = 5000, MAX_TIMEOUT_MS = 600000 };

/* Not a valid timeout, so that an option that was not given is recognized. */
#define TIMEOUT_UNSET G_MININT64

static char *
get_environment(const char *name)
{
    const char *value = g_getenv(name);

    return value != NULL && value[0] != '\0' ? g_strdup(value) : NULL;
}

void
ctl_read_environment(ctl_t *ctl)
{
    const char *admins = g_getenv("MASTICRELAY_ADMIN");
    const char *timeout = g_getenv("MASTICRELAY_TIMEOUT_MS");
    const char *json = g_getenv("MASTICRELAY_JSON");

    ctl->settings.platform_address = get_environment("MASTICRELAY_PLATFORM");
    ctl->settings.credential =
        get_environment("MASTICRELAY_OPERATOR_CREDENTIAL");
    ctl->settings.admin_authorities =
        get_environment("MASTICRELAY_ADMIN_AUTHORITIES");
    ctl->settings.approver_key = get_environment("MASTICRELAY_APPROVER_KEY");
    ctl->settings.approver_public_key =
        get_environment("MASTICRELAY_APPROVER_PUBLIC_KEY");
    ctl->settings.operator_name = get_environment("MASTICRELAY_OPERATOR");
    if (ctl->settings.operator_name == NULL) {
        ctl->settings.operator_name = g_strdup(g_get_user_name());
    }
    if (admins != NULL && admins[0] != '\0') {
        ctl->settings.admin_addresses = g_strsplit(admins, ",", -1);
    }
    ctl->settings.timeout_ms = timeout != NULL
                                   ? g_ascii_strtoll(timeout, NULL, 10)
                                   : DEFAULT_TIMEOUT_MS;
    ctl->settings.json = json != NULL && strcmp(json, "1") == 0;
}

GOptionGroup *
ctl_common_options(ctl_t *ctl)
{
    const GOptionEntry entries[] = {
        {"platform", 0, 0, G_OPTION_ARG_STRING, &ctl->parsed.platform_address,
         "Address of the platform", "IP:port"},
        {"admin", 0, 0, G_OPTION_ARG_STRING_ARRAY,
         &ctl->parsed.admin_addresses,
         "Admin listener of a daemon; may be repeated", "IP:port"},
        {"admin-authorities", 0, 0, G_OPTION_ARG_FILENAME,
         &ctl->parsed.admin_authorities,
         "Connect to admin listeners over TLS and verify them with the CA "
         "certificates in FILE",
         "FILE"},
        {"operator-credential", 0, 0, G_OPTION_ARG_STRING,
         &ctl->parsed.credential, "Credential for the admin listeners",
         "TEXT"},
        {"approver-key", 0, 0, G_OPTION_ARG_FILENAME,
         &ctl->parsed.approver_key,
         "File with the customer's secret key, for approve", "FILE"},
        {"approver-public-key", 0, 0, G_OPTION_ARG_STRING,
         &ctl->parsed.approver_public_key,
         "The customer's public key in hex, for accept", "HEX"},
        {"operator", 0, 0, G_OPTION_ARG_STRING, &ctl->parsed.operator_name,
         "Name for the audit records (default: the user's name)", "NAME"},
        {"timeout-ms", 0, 0, G_OPTION_ARG_INT64, &ctl->parsed.timeout_ms,
         "Timeout of one call in milliseconds (default 5000)", "N"},
        {"json", 0, 0, G_OPTION_ARG_NONE, &ctl->parsed.json, "Print JSON",
         NULL},
        G_OPTION_ENTRY_NULL,
    };
    ctl->parsed.timeout_ms = TIMEOUT_UNSET;
    GOptionGroup *group =
        g_option_group_new("common", "Settings:", "Settings", NULL, NULL);

    g_option_group_add_entries(group, entries);
    return group;
}

void
ctl_settings_release(ctl_settings_t *settings)
{
    g_free(settings->platform_address);
    g_strfreev(settings->admin_addresses);
    g_free(settings->admin_authorities);
    g_free(settings->credential);
    g_free(settings->approver_key);
    g_free(settings->approver_public_key);
    g_free(settings->operator_name);
    memset(settings, 0, sizeof(*settings));
}

static void
override_string(char **setting, char **option)
{
    if (*option != NULL) {
        g_free(*setting);
        *setting = *option;
        *option = NULL;
    }
}

void
ctl_apply_parsed(ctl_t *ctl)
{
    ctl_settings_t *settings = &ctl->settings;
    ctl_settings_t *parsed = &ctl->parsed;

    override_string(&settings->platform_address, &parsed->platform_address);
    override_string(&settings->admin_authorities, &parsed->admin_authorities);
    override_string(&settings->credential, &parsed->credential);
    override_string(&settings->approver_key, &parsed->approver_key);
    override_string(&settings->approver_public_key,
                    &parsed->approver_public_key);
    override_string(&settings->operator_name, &parsed->operator_name);
    if (parsed->admin_addresses != NULL) {
        g_strfreev(settings->admin_addresses);
        settings->admin_addresses = parsed->admin_addresses;
        parsed->admin_addresses = NULL;
    }
    if (parsed->timeout_ms != TIMEOUT_UNSET) {
        settings->timeout_ms = parsed->timeout_ms;
    }
    settings->json = settings->json || parsed->json;
}

static bool
check_settings(const ctl_t *ctl)
{
    if (ctl->settings.timeout_ms < 1
        || ctl->settings.timeout_ms > MAX_TIMEOUT_MS) {
        ctl_fail(ctl, CTL_USAGE, "--timeout-ms must be from 1 to %d",
                 MAX_TIMEOUT_MS);
        return false;
    }
    return true;
}

bool
ctl_parse_options(ctl_t *ctl, const ctl_command_t *command,
                  const GOptionEntry *entries, int *argc, char ***argv)
{
    GError *error = NULL;
    char *usage =
        g_strdup_printf("%s - %s", command->arguments, command->summary);
    GOptionContext *context = g_option_context_new(usage);
    char *program = g_strdup_printf("masticrelayctl %s", command->name);
    char *old_program = g_strdup(g_get_prgname());

    /* The usage line that GLib prints starts with the program's name. */
    g_set_prgname(program);
    g_option_context_set_main_group(context, ctl_common_options(ctl));
    if (entries != NULL) {
        g_option_context_add_main_entries(context, entries, NULL);
    }
    bool read = g_option_context_parse(context, argc, argv, &error);
    g_set_prgname(old_program);
    g_option_context_free(context);
    g_free(old_program);
    g_free(program);
    g_free(usage);
    (*argc)--;
    (*argv)++;
    ctl_apply_parsed(ctl);
    if (!read) {
        ctl_fail(ctl, CTL_USAGE, "%s: %s", command->name, error->message);
        g_error_free(error);
        return false;
    }
    if (*argc > 0 && strcmp((*argv)[0], "--") == 0) {
        (*argc)--;
        (*argv)++;
    }
    if (*argc < command->min_arguments) {
        ctl_fail(ctl, CTL_USAGE, "%s: missing argument; expected %s",
                 command->name, command->arguments);
        return false;
    }
    if (*argc > command->max_arguments) {
        ctl_fail(ctl, CTL_USAGE, "%s: unexpected argument '%s'", command->name,
                 (*argv)[command->max_arguments]);
        return false;
    }
    return check_settings(ctl);
}
