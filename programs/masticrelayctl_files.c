/* Configurations from files, and from the platform by version or hash. */

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "common/json.h"
#include "masticrelayctl.h"

enum { HASH_LEN = MR_CONFIG_KEY_HASH_BYTES * 2 };

static char *
read_standard_input(size_t *len)
{
    GString *text = g_string_new(NULL);
    char part[4096];
    size_t got;

    while ((got = fread(part, 1, sizeof(part), stdin)) > 0) {
        g_string_append_len(text, part, (gssize)got);
    }
    *len = text->len;
    return g_string_free(text, FALSE);
}

char *
ctl_read_file(const ctl_t *ctl, const char *path, size_t *len)
{
    GError *error = NULL;
    char *data = NULL;

    if (strcmp(path, "-") == 0) {
        return read_standard_input(len);
    }
    if (!g_file_get_contents(path, &data, len, &error)) {
        ctl_fail(ctl, CTL_FAILED, "%s", error->message);
        g_error_free(error);
    }
    return data;
}

bool
ctl_write_file(const ctl_t *ctl, const char *path, const char *text, int mode)
{
    GError *error = NULL;

    /* The consistent mode renames a complete file over the old one. */
    if (!g_file_set_contents_full(
            path, text, -1, G_FILE_SET_CONTENTS_CONSISTENT, mode, &error)) {
        ctl_fail(ctl, CTL_FAILED, "%s", error->message);
        g_error_free(error);
        return false;
    }
    return true;
}

static ctl_status_t
parse_config(const ctl_t *ctl, const char *which, const char *data, size_t len,
             mr_config_t **config)
{
    mr_json_problem_t problem = {""};

    *config = mr_config_parse(data, len, &problem);
    if (*config == NULL) {
        return ctl_fail(ctl, CTL_FAILED, "%s: %s", which, problem.text);
    }
    return CTL_DONE;
}

static ctl_status_t
load_hash(ctl_t *ctl, const char *hash, mr_config_t **config)
{
    char *name = g_strdup_printf("config/%s", hash);
    char *data = NULL;
    size_t len = 0;
    ctl_status_t status;

    *config = NULL;
    mr_error_kind_t error = ctl_get_object(ctl, name, &data, &len);

    if (error != MR_OK) {
        status = ctl_fail(ctl, ctl_error_status(error), "%s: %s", name,
                          mr_error_name(error));
    }
    else {
        status = parse_config(ctl, name, data, len, config);
    }
    if (*config != NULL && strcmp((*config)->hash, hash) != 0) {
        status = ctl_fail(ctl, CTL_FAILED, "%s has other content: hash %s",
                          name, (*config)->hash);
        mr_config_unref(*config);
        *config = NULL;
    }
    free(data);
    g_free(name);
    return status;
}

/* The configuration that the row @row names. */
static ctl_status_t
load_row(ctl_t *ctl, const char *row, mr_config_t **config)
{
    json_t *value = NULL;
    mr_error_kind_t error = ctl_get_row(ctl, row, &value);

    if (error != MR_OK) {
        return ctl_fail(ctl, ctl_error_status(error), "%s: %s", row,
                        mr_error_name(error));
    }
    const char *hash = json_string_value(json_object_get(value, "hash"));
    ctl_status_t status =
        hash != NULL ? load_hash(ctl, hash, config)
                     : ctl_fail(ctl, CTL_FAILED, "%s has no hash", row);
    json_decref(value);
    return status;
}

/* Looks for @version among the bodies that the platform keeps. Several bodies
 * may carry the same version when one of them was vetoed. */
static ctl_status_t
load_version(ctl_t *ctl, const char *which, mr_config_t **config)
{
    gint64 version = g_ascii_strtoll(which + 1, NULL, 10);
    json_t *names = NULL;
    size_t index;
    json_t *name;
    int found = 0;
    mr_error_kind_t error = ctl_list_objects(ctl, "config/", &names);

    if (error != MR_OK) {
        return ctl_fail(ctl, ctl_error_status(error), "%s: %s", which,
                        mr_error_name(error));
    }
    ctl_status_t status = CTL_DONE;
    json_array_foreach(names, index, name)
    {
        const char *object = json_string_value(name);
        mr_config_t *other = NULL;
        if (object == NULL || !g_str_has_prefix(object, "config/")) {
            continue;
        }
        status = load_hash(ctl, object + strlen("config/"), &other);
        if (other == NULL) {
            break;
        }
        if (other->version != version) {
            mr_config_unref(other);
            continue;
        }
        found++;
        mr_config_unref(*config);
        *config = other;
    }
    json_decref(names);
    if (status == CTL_DONE && found == 0) {
        status =
            ctl_fail(ctl, CTL_NOT_FOUND, "version %s is not known", which + 1);
    }
    if (status == CTL_DONE && found > 1) {
        status = ctl_fail(ctl, CTL_CONFLICT,
                          "%d configurations carry version %s; name one by "
                          "its hash",
                          found, which + 1);
    }
    if (status != CTL_DONE) {
        mr_config_unref(*config);
        *config = NULL;
    }
    return status;
}

static bool
is_hash(const char *text)
{
    return strlen(text) == HASH_LEN
           && strspn(text, "0123456789abcdef") == HASH_LEN;
}

ctl_status_t
ctl_load_config(ctl_t *ctl, const char *which, mr_config_t **config)
{
    const char *digits = which + 1;
    bool version = which[0] == '@' && digits[0] != '\0'
                   && strspn(digits, "0123456789") == strlen(digits);
    bool row = strcmp(which, "head") == 0 || strcmp(which, "staged") == 0;

    *config = NULL;
    if (strcmp(which, "empty") == 0) {
        return CTL_DONE;
    }
    if (row || version || is_hash(which)) {
        if (ctl_open_platform(ctl) == NULL) {
            return CTL_USAGE;
        }
        if (row) {
            return load_row(ctl,
                            which[0] == 'h' ? "config/head" : "config/staged",
                            config);
        }
        return version ? load_version(ctl, which, config)
                       : load_hash(ctl, which, config);
    }
    size_t len = 0;
    char *data = ctl_read_file(ctl, which, &len);
    if (data == NULL) {
        return CTL_FAILED;
    }
    ctl_status_t status = parse_config(ctl, which, data, len, config);
    g_free(data);
    return status;
}
