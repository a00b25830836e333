/* Reads configurations from files and from the platform. */

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
    char chunk[4096];
    size_t count;

    while ((count = fread(chunk, 1, sizeof(chunk), stdin)) > 0) {
        g_string_append_len(text, chunk, (gssize)count);
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

    /* G_FILE_SET_CONTENTS_CONSISTENT writes a new file and renames it over the
     * old one. */
    if (!g_file_set_contents_full(
            path, text, -1, G_FILE_SET_CONTENTS_CONSISTENT, mode, &error)) {
        ctl_fail(ctl, CTL_FAILED, "%s", error->message);
        g_error_free(error);
        return false;
    }
    return true;
}

static ctl_status_t
parse_config(const ctl_t *ctl, const char *source, const char *data,
             size_t len, mr_config_t **config)
{
    mr_json_problem_t problem = {""};

    *config = mr_config_parse(data, len, &problem);
    if (*config == NULL) {
        return ctl_fail(ctl, CTL_FAILED, "%s: %s", source, problem.text);
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
        status =
            ctl_fail(ctl, CTL_FAILED,
                     "%s does not match its hash; the content has hash %s",
                     name, (*config)->hash);
        mr_config_unref(*config);
        *config = NULL;
    }
    free(data);
    g_free(name);
    return status;
}

/* Loads the configuration whose hash is in the row @row. */
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

/* Finds the configuration "@VERSION" among the stored ones. Several can have
 * the same version, as a body is stored before its proposal succeeds and is
 * kept after a veto. */
static ctl_status_t
load_version(ctl_t *ctl, const char *source, mr_config_t **config)
{
    gint64 version = g_ascii_strtoll(source + 1, NULL, 10);
    json_t *names = NULL;
    size_t index;
    json_t *name;
    int found = 0;
    mr_error_kind_t error = ctl_list_objects(ctl, "config/", &names);

    if (error != MR_OK) {
        return ctl_fail(ctl, ctl_error_status(error), "%s: %s", source,
                        mr_error_name(error));
    }
    ctl_status_t status = CTL_DONE;
    json_array_foreach(names, index, name)
    {
        const char *object = json_string_value(name);
        mr_config_t *candidate = NULL;
        if (object == NULL || !g_str_has_prefix(object, "config/")) {
            continue;
        }
        status = load_hash(ctl, object + strlen("config/"), &candidate);
        if (candidate == NULL) {
            break;
        }
        if (candidate->version != version) {
            mr_config_unref(candidate);
            continue;
        }
        found++;
        mr_config_unref(*config);
        *config = candidate;
    }
    json_decref(names);
    if (status == CTL_DONE && found == 0) {
        status = ctl_fail(ctl, CTL_NOT_FOUND, "version %s does not exist",
                          source + 1);
    }
    if (status == CTL_DONE && found > 1) {
        status = ctl_fail(ctl, CTL_CONFLICT,
                          "%d configurations have version %s; specify one by "
                          "its hash",
                          found, source + 1);
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
ctl_load_config(ctl_t *ctl, const char *source, mr_config_t **config)
{
    const char *digits = source + 1;
    bool version = source[0] == '@' && digits[0] != '\0'
                   && strspn(digits, "0123456789") == strlen(digits);
    bool row = strcmp(source, "head") == 0 || strcmp(source, "staged") == 0;

    *config = NULL;
    if (strcmp(source, "empty") == 0) {
        return CTL_DONE;
    }
    if (row || version || is_hash(source)) {
        if (ctl_open_platform(ctl) == NULL) {
            return CTL_USAGE;
        }
        if (row) {
            return load_row(ctl,
                            source[0] == 'h' ? "config/head" : "config/staged",
                            config);
        }
        return version ? load_version(ctl, source, config)
                       : load_hash(ctl, source, config);
    }
    size_t len = 0;
    char *data = ctl_read_file(ctl, source, &len);
    if (data == NULL) {
        return CTL_FAILED;
    }
    ctl_status_t status = parse_config(ctl, source, data, len, config);
    g_free(data);
    return status;
}
