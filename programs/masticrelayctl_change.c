/* Commands for the steps of a change after its proposal: approve, veto,
 * accept. */

#include <sodium.h>
#include <string.h>
#include <unistd.h>

#include "masticrelayctl_change.h"

enum { ACCEPT_RETRY_INTERVAL_MS = 200 };

/* ------------------------------------------------------- approve and veto */

/** Options of approve and veto. */
typedef struct decision_options {
    const char *verb;
    const char *hash; /* expected staged hash; NULL: not given */
    gboolean yes;     /* skip the confirmation prompt */
} decision_options_t;

/* Shows the changes and asks for confirmation on the terminal. */
static ctl_status_t
ask_confirmation(ctl_t *ctl, const decision_options_t *decision,
                 const mr_config_t *staged)
{
    char answer[16] = "";
    mr_config_t *head = NULL;

    if (ctl->settings.json || !isatty(STDIN_FILENO)) {
        return ctl_fail(
            ctl, CTL_USAGE,
            "%s: there is no terminal for the confirmation prompt; "
            "specify the hash or --yes",
            decision->verb);
    }
    ctl_status_t status = ctl_load_head(ctl, &head);
    if (status != CTL_DONE) {
        return status;
    }
    ctl_print_diff(ctl, head, staged);
    mr_config_unref(head);
    printf("\n%s version %" G_GINT64_FORMAT "? [y/N] ", decision->verb,
           (gint64)staged->version);
    fflush(stdout);
    if (fgets(answer, sizeof(answer), stdin) == NULL
        || (answer[0] != 'y' && answer[0] != 'Y')) {
        return ctl_fail(ctl, CTL_FAILED, "%s: not confirmed", decision->verb);
    }
    return CTL_DONE;
}

/* Loads the staged configuration after checking its hash or asking for
 * confirmation. The version and hash loaded here are the ones that are signed,
 * so a proposal that replaces them in the meantime is not approved unseen. */
static ctl_status_t
load_staged(ctl_t *ctl, const decision_options_t *decision,
            mr_config_t **staged)
{
    if (ctl_open_platform(ctl) == NULL) {
        return CTL_USAGE;
    }
    ctl_status_t status = ctl_load_config(ctl, "staged", staged);
    if (status != CTL_DONE) {
        return status;
    }
    if (decision->hash != NULL) {
        if (strcmp(decision->hash, (*staged)->hash) != 0) {
            status = ctl_fail(ctl, CTL_CONFLICT,
                              "the staged configuration is version "
                              "%" G_GINT64_FORMAT " with hash %s",
                              (gint64)(*staged)->version, (*staged)->hash);
        }
    }
    else if (!decision->yes) {
        status = ask_confirmation(ctl, decision, *staged);
    }
    if (status != CTL_DONE) {
        mr_config_unref(*staged);
        *staged = NULL;
    }
    return status;
}

ctl_status_t
ctl_approve(CTL_PARAMETERS)
{
    decision_options_t decision = {.verb = "approve"};
    const GOptionEntry entries[] = {
        {"yes", 0, 0, G_OPTION_ARG_NONE, &decision.yes,
         "Approve without asking for confirmation", NULL},
        G_OPTION_ENTRY_NULL,
    };
    uint8_t secret_key[MR_APPROVAL_SECRET_KEY_BYTES];
    uint8_t public_key[MR_APPROVAL_PUBLIC_KEY_BYTES];
    char approval[MR_APPROVAL_HEX_BYTES];
    mr_config_t *staged = NULL;
    ctl_step_t step = {0};

    if (!ctl_parse_options(ctl, command, entries, &argc, &argv)) {
        return CTL_USAGE;
    }
    decision.hash = argc > 0 ? argv[0] : NULL;
    ctl_status_t status = ctl_read_approver_key(ctl, secret_key);
    if (status != CTL_DONE) {
        return status;
    }
    status = load_staged(ctl, &decision, &staged);
    if (staged == NULL) {
        goto out;
    }
    if (!mr_approval_sign(secret_key, staged->version, staged->hash,
                          approval)) {
        status = ctl_fail(ctl, CTL_FAILED, "cannot sign the approval");
        goto out;
    }
    status = ctl_read_public_key(ctl, public_key);
    if (status == CTL_DONE) {
        status = ctl_step_open(ctl, &step, public_key);
    }
    if (status == CTL_DONE) {
        mr_change_approve(step.change, staged->version, approval, ctl_on_step,
                          &step);
        status = ctl_step_wait(ctl, &step);
    }
    if (status == CTL_DONE) {
        ctl_step_report(ctl, &step);
    }
out:
    ctl_step_close(&step);
    mr_config_unref(staged);
    sodium_memzero(secret_key, sizeof(secret_key));
    return status;
}

ctl_status_t
ctl_veto(CTL_PARAMETERS)
{
    decision_options_t decision = {.verb = "veto"};
    char *reason = NULL;
    const GOptionEntry entries[] = {
        {"yes", 0, 0, G_OPTION_ARG_NONE, &decision.yes,
         "Veto without asking for confirmation", NULL},
        {"reason", 0, 0, G_OPTION_ARG_STRING, &reason,
         "Reason for the audit record", "TEXT"},
        G_OPTION_ENTRY_NULL,
    };
    mr_config_t *staged = NULL;
    ctl_step_t step = {0};
    ctl_status_t status = CTL_USAGE;

    if (!ctl_parse_options(ctl, command, entries, &argc, &argv)) {
        goto out;
    }
    decision.hash = argc > 0 ? argv[0] : NULL;
    status = load_staged(ctl, &decision, &staged);
    if (staged == NULL) {
        goto out;
    }
    status = ctl_step_open(ctl, &step, NULL);
    if (status == CTL_DONE) {
        mr_change_veto(step.change, staged->version,
                       reason != NULL ? reason : "", ctl_on_step, &step);
        status = ctl_step_wait(ctl, &step);
    }
    if (status == CTL_DONE) {
        ctl_step_report(ctl, &step);
    }
out:
    ctl_step_close(&step);
    mr_config_unref(staged);
    g_free(reason);
    return status;
}

/* ----------------------------------------------------------------- accept */

static void
on_delay_end(evutil_socket_t fd, short what, void *ctx)
{
    bool *done = ctx;

    (void)fd;
    (void)what;
    *done = true;
}

static void
run_loop_for(ctl_t *ctl, mr_ms_t ms)
{
    bool done = false;
    struct timeval delay = mr_clock_timeval(ms);

    event_base_once(ctl->base, -1, EV_TIMEOUT, on_delay_end, &done, &delay);
    ctl_run_until(ctl, &done);
}

/* Accepts @staged; retries for up to @wait_ms while data centres have not
 * confirmed it. */
static ctl_status_t
accept_staged(ctl_t *ctl, ctl_step_t *step, const mr_config_t *staged,
              char **without, mr_ms_t wait_ms)
{
    mr_config_t *head = NULL;
    mr_ms_t end = mr_clock_now(NULL) + wait_ms;
    ctl_status_t status = ctl_load_head(ctl, &head);

    if (status != CTL_DONE) {
        return status;
    }
    json_t *changes = ctl_diff_configs(head, staged);
    size_t count = without != NULL ? g_strv_length(without) : 0;
    for (;;) {
        mr_change_accept(step->change, staged->version,
                         (const char *const *)without, count, changes,
                         ctl_on_step, step);
        ctl_run_until(ctl, &step->done);
        if (step->error != MR_ERR_CONFIG_STALE || mr_clock_now(NULL) >= end) {
            break;
        }
        ctl_step_reset(step);
        run_loop_for(ctl, ACCEPT_RETRY_INTERVAL_MS);
    }
    json_decref(changes);
    mr_config_unref(head);
    return ctl_step_wait(ctl, step);
}

ctl_status_t
ctl_accept(CTL_PARAMETERS)
{
    char **without = NULL;
    gint64 wait_ms = 0;
    const GOptionEntry entries[] = {
        {"without", 0, 0, G_OPTION_ARG_STRING_ARRAY, &without,
         "Do not require the confirmation of this data centre; may be "
         "repeated",
         "NAME"},
        {"wait-ms", 0, 0, G_OPTION_ARG_INT64, &wait_ms,
         "Wait up to N milliseconds for confirmations (default 0)", "N"},
        G_OPTION_ENTRY_NULL,
    };
    uint8_t public_key[MR_APPROVAL_PUBLIC_KEY_BYTES];
    mr_config_t *staged = NULL;
    ctl_step_t step = {0};
    ctl_status_t status = CTL_USAGE;

    if (!ctl_parse_options(ctl, command, entries, &argc, &argv)) {
        goto out;
    }
    status = ctl_read_public_key(ctl, public_key);
    if (status == CTL_DONE) {
        status = ctl_step_open(ctl, &step, public_key);
    }
    if (status == CTL_DONE) {
        status = ctl_load_config(ctl, "staged", &staged);
    }
    if (staged != NULL) {
        status = accept_staged(ctl, &step, staged, without, wait_ms);
    }
    if (status == CTL_DONE) {
        ctl_step_report(ctl, &step);
    }
out:
    ctl_step_close(&step);
    mr_config_unref(staged);
    g_strfreev(without);
    return status;
}
