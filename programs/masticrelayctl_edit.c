/*
 * Commands that change one element of a configuration: key issue, key
 * withdraw, target leave. With --file they edit a file; without it they
 * propose the configuration in force with the change and the next version.
 */

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "common/json.h"
#include "masticrelay.h"
#include "masticrelayctl.h"

/** The configuration being edited. */
typedef struct edit {
    const char *file; /* NULL: propose the result to the platform */
    mr_op_t *op;
} edit_t;

static ctl_status_t
edit_open(ctl_t *ctl, edit_t *edit, const char *file)
{
    char problem[MR_OP_PROBLEM_BYTES];
    mr_config_t *config = NULL;

    edit->file = file;
    edit->op = NULL;
    if (file != NULL && strcmp(file, "-") == 0) {
        return ctl_fail(ctl, CTL_USAGE,
                        "--file does not accept standard input");
    }
    ctl_status_t status =
        ctl_load_config(ctl, file != NULL ? file : "head", &config);
    if (status != CTL_DONE || config == NULL) {
        return status != CTL_DONE ? status : CTL_FAILED;
    }
    char *text = mr_json_canonical(config->document);
    edit->op = mr_op_read(text, strlen(text), problem);
    if (edit->op == NULL) {
        status = ctl_fail(ctl, CTL_FAILED, "%s", problem);
    }
    else if (file == NULL) {
        int64_t version = 0;
        status = ctl_next_version(ctl, &version);
        mr_op_set_version(edit->op, version);
    }
    free(text);
    mr_config_unref(config);
    return status;
}

static ctl_status_t
edit_save(ctl_t *ctl, const edit_t *edit)
{
    char *text = mr_op_print(edit->op);
    ctl_status_t status = CTL_DONE;
    struct stat info;

    if (text == NULL) {
        return ctl_fail(ctl, CTL_FAILED, "%s", mr_op_problem(edit->op, 0));
    }
    if (edit->file == NULL) {
        status = ctl_propose_text(ctl, text);
        free(text);
        return status;
    }
    int mode =
        stat(edit->file, &info) == 0 ? (int)(info.st_mode & 0777) : 0644;
    char *line = g_strdup_printf("%s\n", text);
    if (!ctl_write_file(ctl, edit->file, line, mode)) {
        status = CTL_FAILED;
    }
    g_free(line);
    free(text);
    return status;
}

/* Prints what was written or proposed. Takes over @result. */
static void
print_saved(const ctl_t *ctl, const edit_t *edit, json_t *result)
{
    gint64 version = (gint64)mr_op_version(edit->op);

    json_object_set_new(result, "version", json_integer(version));
    if (edit->file != NULL) {
        json_object_set_new(result, "file", json_string(edit->file));
    }
    if (ctl->settings.json) {
        ctl_print_json(result);
    }
    else if (edit->file != NULL) {
        printf("%s is changed; its version is %" G_GINT64_FORMAT ".\n",
               edit->file, version);
    }
    else {
        printf("Version %" G_GINT64_FORMAT " is proposed.\n", version);
    }
    json_decref(result);
}

static bool
parse_edit_options(ctl_t *ctl, const ctl_command_t *command, char **file,
                   int *argc, char ***argv)
{
    const GOptionEntry entries[] = {
        {"file", 0, 0, G_OPTION_ARG_FILENAME, file,
         "Edit this configuration file instead of proposing a version",
         "FILE"},
        G_OPTION_ENTRY_NULL,
    };

    *file = NULL;
    return ctl_parse_options(ctl, command, entries, argc, argv);
}

static ctl_status_t
issue_key(ctl_t *ctl, const char *file, const char *account, const char *id)
{
    char key[MR_OP_KEY_BYTES];
    edit_t edit;
    ctl_status_t status = edit_open(ctl, &edit, file);

    if (status != CTL_DONE) {
        mr_op_destroy(edit.op);
        return status;
    }
    if (!mr_op_key_issue(edit.op, account, id, key)) {
        status = ctl_fail(ctl, CTL_FAILED, "%s", mr_op_problem(edit.op, 0));
    }
    else {
        status = edit_save(ctl, &edit);
    }
    if (status == CTL_DONE) {
        /* The key is not stored anywhere and cannot be shown again. */
        if (!ctl->settings.json) {
            printf("%s\n", key);
        }
        print_saved(ctl, &edit,
                    json_pack("{s:s,s:s,s:s}", "account", account, "id", id,
                              "key", key));
    }
    sodium_memzero(key, sizeof(key));
    mr_op_destroy(edit.op);
    return status;
}

ctl_status_t
ctl_key_issue(CTL_PARAMETERS)
{
    char *file = NULL;
    ctl_status_t status = CTL_USAGE;

    if (parse_edit_options(ctl, command, &file, &argc, &argv)) {
        status = issue_key(ctl, file, argv[0], argv[1]);
    }
    g_free(file);
    return status;
}

/** A change of one named element. */
typedef struct element_change {
    const char *kind;
    bool (*apply)(mr_op_t *op, const char *name);
} element_change_t;

static bool
set_leaving(mr_op_t *op, const char *name)
{
    return mr_op_set_leaving(op, name, true);
}

static bool
set_active(mr_op_t *op, const char *name)
{
    return mr_op_set_leaving(op, name, false);
}

static ctl_status_t
change_element(ctl_t *ctl, const char *file, const char *name,
               const element_change_t *change)
{
    edit_t edit;
    ctl_status_t status = edit_open(ctl, &edit, file);

    if (status != CTL_DONE) {
        mr_op_destroy(edit.op);
        return status;
    }
    if (!change->apply(edit.op, name)) {
        status = ctl_fail(ctl, CTL_NOT_FOUND,
                          "%s '%s' is not in the "
                          "configuration",
                          change->kind, name);
    }
    else {
        status = edit_save(ctl, &edit);
    }
    if (status == CTL_DONE) {
        print_saved(ctl, &edit, json_pack("{s:s}", change->kind, name));
    }
    mr_op_destroy(edit.op);
    return status;
}

ctl_status_t
ctl_key_withdraw(CTL_PARAMETERS)
{
    const element_change_t change = {"key", mr_op_withdraw_key};
    char *file = NULL;
    ctl_status_t status = CTL_USAGE;

    if (parse_edit_options(ctl, command, &file, &argc, &argv)) {
        status = change_element(ctl, file, argv[0], &change);
    }
    g_free(file);
    return status;
}

ctl_status_t
ctl_target_leave(CTL_PARAMETERS)
{
    element_change_t change = {"target", set_leaving};
    char *file = NULL;
    gboolean active = FALSE;
    const GOptionEntry entries[] = {
        {"file", 0, 0, G_OPTION_ARG_FILENAME, &file,
         "Edit this configuration file instead of proposing a version",
         "FILE"},
        {"undo", 0, 0, G_OPTION_ARG_NONE, &active,
         "Give new work to the target again", NULL},
        G_OPTION_ENTRY_NULL,
    };
    ctl_status_t status = CTL_USAGE;

    if (ctl_parse_options(ctl, command, entries, &argc, &argv)) {
        change.apply = active ? set_active : set_leaving;
        status = change_element(ctl, file, argv[0], &change);
    }
    g_free(file);
    return status;
}
