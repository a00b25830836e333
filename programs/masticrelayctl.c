/*
 * masticrelayctl, the command line tool of operators and customers: manages
 * configurations and keys and shows the fleet's state.
 */

#include <locale.h>
#include <stdio.h>
#include <string.h>

#include "common/log.h"
#include "masticrelayctl.h"

static const ctl_command_t commands[] = {
    {"check", "FILE", "validate a configuration as the daemons do", 1, 1,
     ctl_check},
    {"diff", "[BEFORE AFTER]",
     "compare two configurations (default: in force and staged)", 0, 2,
     ctl_diff},
    {"propose", "FILE", "stage a configuration for approval", 1, 1,
     ctl_propose},
    {"approve", "[HASH]", "approve the staged configuration", 0, 1,
     ctl_approve},
    {"veto", "[HASH]", "veto the staged configuration", 0, 1, ctl_veto},
    {"accept", "", "put the approved configuration in force", 0, 0,
     ctl_accept},
    {"key issue", "ACCOUNT ID", "issue a key to a client account", 2, 2,
     ctl_key_issue},
    {"key withdraw", "ID", "withdraw a key", 1, 1, ctl_key_withdraw},
    {"target leave", "TARGET", "stop giving new work to a target", 1, 1,
     ctl_target_leave},
    {"approver create", "FILE", "generate the customer's key pair", 1, 1,
     ctl_approver_create},
    {"status", "", "show the versions in force, staged and confirmed", 0, 0,
     ctl_show_status},
    {"groups", "", "list groups and their targets", 0, 0, ctl_show_groups},
    {"accounts", "", "list client accounts with their shares and counters", 0,
     0, ctl_show_accounts},
    {"instances", "", "list the instances and targets known to the platform",
     0, 0, ctl_show_instances},
    {"audit", "[SEQUENCE]", "show the audit records of configuration changes",
     0, 1, ctl_show_audit},
    {"explain", "ID [FILE...]",
     "trace a session's request through the daemons' logs", 1, 4096,
     ctl_explain},
};

enum { COMMAND_COUNT = sizeof(commands) / sizeof(commands[0]) };

static char *
list_commands(void)
{
    GString *text = g_string_new("Commands:\n");

    for (size_t i = 0; i < COMMAND_COUNT; i++) {
        char *synopsis =
            g_strdup_printf("%s %s", commands[i].name, commands[i].arguments);
        g_string_append_printf(text, "  %-23s %s\n", synopsis,
                               commands[i].summary);
        g_free(synopsis);
    }
    g_string_append(text,
                    "\n`masticrelayctl COMMAND --help` lists the options "
                    "of a command.\nExit status: 0 done, 1 failed, 2 "
                    "usage, 3 conflict, 4 not found, 5 unavailable.");
    return g_string_free(text, FALSE);
}

/* Parses the options before the command. In strict POSIX mode GLib stops at
 * the first argument that is no option. */
static bool
parse_global_options(ctl_t *ctl, int *argc, char ***argv)
{
    GError *error = NULL;
    GOptionContext *context = g_option_context_new("COMMAND [ARGUMENT...]");
    char *list = list_commands();

    g_option_context_set_strict_posix(context, TRUE);
    g_option_context_set_description(context, list);
    g_option_context_set_main_group(context, ctl_common_options(ctl));
    bool parsed = g_option_context_parse(context, argc, argv, &error);
    ctl_apply_parsed(ctl);
    if (!parsed) {
        ctl_fail(ctl, CTL_USAGE, "%s", error->message);
        g_error_free(error);
    }
    g_option_context_free(context);
    g_free(list);
    return parsed;
}

/* Looks up the command named by argv[1], or by argv[1] and argv[2]; @words
 * receives the number of words in its name. */
static const ctl_command_t *
find_command(const ctl_t *ctl, int argc, char **argv, int *words)
{
    bool first_word_matches = false;

    for (size_t i = 0; i < COMMAND_COUNT; i++) {
        const char *name = commands[i].name;
        const char *space = strchr(name, ' ');
        *words = space != NULL ? 2 : 1;
        if (space == NULL) {
            if (strcmp(name, argv[1]) == 0) {
                return &commands[i];
            }
            continue;
        }
        size_t len = (size_t)(space - name);
        if (strncmp(name, argv[1], len) != 0 || argv[1][len] != '\0') {
            continue;
        }
        first_word_matches = true;
        if (argc > 2 && strcmp(space + 1, argv[2]) == 0) {
            return &commands[i];
        }
    }
    if (first_word_matches) {
        ctl_fail(ctl, CTL_USAGE, "unknown command '%s %s'", argv[1],
                 argc > 2 ? argv[2] : "");
    }
    else {
        ctl_fail(ctl, CTL_USAGE, "unknown command '%s'", argv[1]);
    }
    return NULL;
}

static void
ctl_close(ctl_t *ctl)
{
    ctl_tls_close(ctl);
    mr_platform_destroy(ctl->platform);
    mr_counters_destroy(ctl->counters);
    if (ctl->base != NULL) {
        event_base_free(ctl->base);
    }
    ctl_settings_release(&ctl->settings);
    ctl_settings_release(&ctl->parsed);
}

int
main(int argc, char **argv)
{
    ctl_t ctl = {0};
    ctl_status_t status = CTL_USAGE;
    int words = 0;

    setlocale(LC_ALL, "");
    mr_log_setup("masticrelayctl", MR_LOG_ERROR);
    ctl_read_environment(&ctl);
    if (!parse_global_options(&ctl, &argc, &argv)) {
        goto out;
    }
    if (argc < 2) {
        ctl_fail(&ctl, CTL_USAGE,
                 "no command given; see masticrelayctl --help");
        goto out;
    }
    const ctl_command_t *command = find_command(&ctl, argc, argv, &words);
    if (command == NULL) {
        goto out;
    }
    ctl.base = event_base_new();
    ctl.counters = mr_counters_create();
    status = command->run(&ctl, command, argc - words, argv + words);
    if (fflush(stdout) != 0 && status == CTL_DONE) {
        status = ctl_fail(&ctl, CTL_FAILED, "cannot write to standard output");
    }
out:
    ctl_close(&ctl);
    return status;
}
