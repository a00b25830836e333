/* The commands check and diff. */

#include <stdlib.h>
#include <string.h>

#include "masticrelayctl.h"
#include "operator/diff.h"

ctl_status_t
ctl_check(CTL_PARAMETERS)
{
    mr_config_t *config = NULL;

    if (!ctl_parse_options(ctl, command, NULL, &argc, &argv)) {
        return CTL_USAGE;
    }
    ctl_status_t status = ctl_load_config(ctl, argv[0], &config);
    if (status != CTL_DONE || config == NULL) {
        return status;
    }
    if (ctl->settings.json) {
        json_t *result =
            json_pack("{s:I,s:s,s:s}", "version", (json_int_t)config->version,
                      "deployment", config->deployment, "hash", config->hash);
        ctl_print_json(result);
        json_decref(result);
    }
    else {
        printf("%s version %" G_GINT64_FORMAT ": valid\n"
               "hash %s\n"
               "data centres %zu, services %zu, accounts %zu, routes %zu\n",
               config->deployment, (gint64)config->version, config->hash,
               config->data_centre_count, config->service_count,
               config->account_count, config->route_count);
    }
    mr_config_unref(config);
    return CTL_DONE;
}

static json_t *
summarize_config(const mr_config_t *config)
{
    if (config == NULL) {
        return json_null();
    }
    return json_pack("{s:I,s:s}", "version", (json_int_t)config->version,
                     "hash", config->hash);
}

static void
print_summary(const char *title, const mr_config_t *config)
{
    if (config == NULL) {
        printf("%s: empty\n", title);
        return;
    }
    printf("%s: %s version %" G_GINT64_FORMAT ", hash %s\n", title,
           config->deployment, (gint64)config->version, config->hash);
}

void
ctl_print_diff(const ctl_t *ctl, const mr_config_t *before,
               const mr_config_t *after)
{
    json_t *changes = mr_op_diff_list(before != NULL ? before->document : NULL,
                                      after != NULL ? after->document : NULL);

    if (ctl->settings.json) {
        json_t *result =
            json_pack("{s:o,s:o,s:O}", "before", summarize_config(before),
                      "after", summarize_config(after), "changes", changes);
        ctl_print_json(result);
        json_decref(result);
    }
    else {
        char *text = mr_op_diff_format(changes);
        print_summary("Before", before);
        print_summary("After", after);
        ctl_print_text(text);
        free(text);
    }
    json_decref(changes);
}

ctl_status_t
ctl_diff(CTL_PARAMETERS)
{
    mr_config_t *before = NULL;
    mr_config_t *after = NULL;
    const char *first = "head";
    const char *second = "staged";

    if (!ctl_parse_options(ctl, command, NULL, &argc, &argv)) {
        return CTL_USAGE;
    }
    if (argc == 1) {
        return ctl_fail(ctl, CTL_USAGE, "diff: takes two arguments or none");
    }
    if (argc == 2) {
        first = argv[0];
        second = argv[1];
    }
    else if (ctl_open_platform(ctl) == NULL) {
        return CTL_USAGE;
    }
    else {
        json_t *head = NULL;
        if (ctl_get_row(ctl, "config/head", &head) == MR_ERR_NOT_FOUND) {
            first = "empty"; /* no version was accepted yet */
        }
        json_decref(head);
    }
    ctl_status_t status = ctl_load_config(ctl, first, &before);
    if (status == CTL_DONE) {
        status = ctl_load_config(ctl, second, &after);
    }
    if (status == CTL_DONE) {
        ctl_print_diff(ctl, before, after);
    }
    mr_config_unref(before);
    mr_config_unref(after);
    return status;
}
