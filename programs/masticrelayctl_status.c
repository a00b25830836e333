/* The commands status, groups, accounts and instances. */

#include <stdlib.h>
#include <string.h>

#include "masticrelayctl.h"

#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

static json_t *
answer_status(const json_t *answer)
{
    return json_object_get(answer, "status");
}

/* Copies @field of @from to @to as @to_field, if it exists. */
static void
copy_field(json_t *to, const char *to_field, const json_t *from,
           const char *field)
{
    json_t *value = json_object_get(from, field);

    if (value != NULL) {
        json_object_set(to, to_field, value);
    }
}

/* Prints the errors of admin listeners; any of them fails the command. */
static ctl_status_t
report_admin_errors(const ctl_t *ctl, const json_t *answers)
{
    ctl_status_t status = CTL_DONE;
    size_t index;
    json_t *answer;

    json_array_foreach(answers, index, answer)
    {
        const char *error =
            json_string_value(json_object_get(answer, "error"));
        if (error != NULL) {
            status = ctl_fail(
                ctl, CTL_UNAVAILABLE, "%s: %s",
                json_string_value(json_object_get(answer, "address")), error);
        }
    }
    return status;
}

/* ----------------------------------------------------------------- status */

static json_t *
make_instance_rows(const json_t *answers)
{
    json_t *rows = json_array();
    size_t index;
    json_t *answer;

    json_array_foreach(answers, index, answer)
    {
        const json_t *status = answer_status(answer);
        const json_t *config = json_object_get(status, "config");
        json_t *row = json_object();
        copy_field(row, "address", answer, "address");
        copy_field(row, "error", answer, "error");
        copy_field(row, "instance", status, "instance");
        copy_field(row, "data_centre", status, "data_centre");
        copy_field(row, "incarnation", status, "incarnation");
        copy_field(row, "version", json_object_get(config, "current"),
                   "version");
        copy_field(row, "staged_version", json_object_get(config, "staged"),
                   "version");
        copy_field(row, "contact_age_ms", config, "contact_age_ms");
        json_array_append_new(rows, row);
    }
    return rows;
}

static json_t *
find_row(const json_t *rows, const char *field, const char *name)
{
    size_t index;
    json_t *row;

    json_array_foreach(rows, index, row)
    {
        const char *value = json_string_value(json_object_get(row, field));
        if (value != NULL && strcmp(value, name) == 0) {
            return row;
        }
    }
    return NULL;
}

static json_t *
find_or_add_data_centre(json_t *rows, const char *name)
{
    json_t *row = find_row(rows, "data_centre", name);

    if (row == NULL) {
        row = json_pack("{s:s}", "data_centre", name);
        json_array_append_new(rows, row);
    }
    return row;
}

/* Adds the lowest and highest version in force to each data centre. */
static void
add_versions(json_t *rows, const json_t *instances)
{
    size_t index;
    json_t *instance;

    json_array_foreach(instances, index, instance)
    {
        const char *name =
            json_string_value(json_object_get(instance, "data_centre"));
        const json_t *version = json_object_get(instance, "version");
        if (name == NULL || !json_is_integer(version)) {
            continue;
        }
        json_int_t number = json_integer_value(version);
        json_t *row = find_or_add_data_centre(rows, name);
        const json_t *low = json_object_get(row, "lowest_version");
        const json_t *high = json_object_get(row, "highest_version");
        if (low == NULL || number < json_integer_value(low)) {
            json_object_set_new(row, "lowest_version", json_integer(number));
        }
        if (high == NULL || number > json_integer_value(high)) {
            json_object_set_new(row, "highest_version", json_integer(number));
        }
    }
}

static void
add_confirmations(json_t *rows, const json_t *confirms)
{
    const char prefix[] = "config/confirm/";
    size_t index;
    json_t *confirm;

    json_array_foreach(confirms, index, confirm)
    {
        const char *name = json_string_value(json_object_get(confirm, "row"));
        const json_t *value = json_object_get(confirm, "value");
        if (name == NULL || strncmp(name, prefix, strlen(prefix)) != 0) {
            continue;
        }
        json_t *row = find_or_add_data_centre(rows, name + strlen(prefix));
        copy_field(row, "confirmed_version", value, "version");
        copy_field(row, "confirmed_hash", value, "hash");
    }
}

static void
add_configured_data_centres(ctl_t *ctl, json_t *rows)
{
    mr_config_t *config = NULL;

    if (ctl_load_config(ctl, "head", &config) != CTL_DONE) {
        return;
    }
    for (size_t i = 0; i < config->data_centre_count; i++) {
        find_or_add_data_centre(rows, config->data_centres[i].name);
    }
    mr_config_unref(config);
}

/* Sets @field of @result to the value of the platform row @row: null if the
 * row does not exist; not set if it cannot be read. */
static mr_error_kind_t
read_row(ctl_t *ctl, json_t *result, const char *field, const char *row)
{
    json_t *value = NULL;
    mr_error_kind_t error = ctl_get_row(ctl, row, &value);

    if (error == MR_OK) {
        json_object_set_new(result, field, value);
    }
    else if (error == MR_ERR_NOT_FOUND) {
        json_object_set_new(result, field, json_null());
        error = MR_OK;
    }
    return error;
}

/* Adds the platform's rows to @result and @data_centres. */
static mr_error_kind_t
add_platform_status(ctl_t *ctl, json_t *result, json_t *data_centres)
{
    json_t *confirms = NULL;
    mr_error_kind_t error = read_row(ctl, result, "head", "config/head");

    if (error == MR_OK && json_is_object(json_object_get(result, "head"))) {
        add_configured_data_centres(ctl, data_centres);
    }
    if (error == MR_OK) {
        error = read_row(ctl, result, "staged", "config/staged");
    }
    if (error == MR_OK) {
        error = ctl_list_rows(ctl, "config/confirm/", &confirms);
    }
    if (error == MR_OK) {
        add_confirmations(data_centres, confirms);
    }
    json_decref(confirms);
    return error;
}

static void
print_version(const char *title, const json_t *row)
{
    const json_t *version = json_object_get(row, "version");

    if (!json_is_integer(version)) {
        printf("%s %s\n", title, row == NULL ? "unknown" : "-");
        return;
    }
    printf("%s version %" JSON_INTEGER_FORMAT, title,
           json_integer_value(version));
    static const char *const fields[] = {"state", "proposer", "hash"};
    for (size_t i = 0; i < COUNT_OF(fields); i++) {
        const char *text = json_string_value(json_object_get(row, fields[i]));
        if (text != NULL) {
            printf("  %s ", fields[i]);
            ctl_print_text(text);
        }
    }
    putchar('\n');
}

static void
print_status(const json_t *result)
{
    static const ctl_column_t centre_columns[] = {
        {"DATA CENTRE", "data_centre"},
        {"CONFIRMED", "confirmed_version"},
        {"LOWEST IN FORCE", "lowest_version"},
        {"HIGHEST IN FORCE", "highest_version"},
    };
    static const ctl_column_t instance_columns[] = {
        {"INSTANCE", "instance"},
        {"DATA CENTRE", "data_centre"},
        {"IN FORCE", "version"},
        {"STAGED", "staged_version"},
        {"STORE AGE MS", "contact_age_ms"},
        {"INCARNATION", "incarnation"},
        {"ADDRESS", "address"},
        {"ERROR", "error"},
    };
    const json_t *instances = json_object_get(result, "instances");

    const json_t *head = json_object_get(result, "head");
    const json_t *staged = json_object_get(result, "staged");
    json_int_t in_force = json_integer_value(json_object_get(head, "version"));
    json_int_t next = json_integer_value(json_object_get(staged, "version"));
    bool pending = staged == NULL || next > in_force;
    json_t *not_pending = json_null();

    print_version("In force:", head);
    print_version("Staged:  ", pending ? staged : not_pending);
    putchar('\n');
    ctl_print_table(json_object_get(result, "data_centres"), centre_columns,
                    COUNT_OF(centre_columns));
    if (json_array_size(instances) > 0) {
        putchar('\n');
        ctl_print_table(instances, instance_columns,
                        COUNT_OF(instance_columns));
    }
}

ctl_status_t
ctl_show_status(CTL_PARAMETERS)
{
    ctl_status_t status = CTL_DONE;

    if (!ctl_parse_options(ctl, command, NULL, &argc, &argv)) {
        return CTL_USAGE;
    }
    bool query_platform = ctl->settings.platform_address != NULL;
    if (!query_platform && ctl->settings.admin_addresses == NULL) {
        return ctl_fail(ctl, CTL_USAGE, "--platform or --admin is required");
    }
    if (query_platform && ctl_open_platform(ctl) == NULL) {
        return CTL_USAGE;
    }
    json_t *answers = NULL;
    status = ctl_admin_status(ctl, &answers);
    if (status != CTL_DONE) {
        return status;
    }
    json_t *instances = make_instance_rows(answers);
    json_t *data_centres = json_array();
    json_t *result = json_object();
    if (query_platform) {
        mr_error_kind_t error = add_platform_status(ctl, result, data_centres);
        if (error != MR_OK) {
            status = ctl_fail(ctl, ctl_error_status(error), "platform: %s",
                              mr_error_name(error));
        }
    }
    add_versions(data_centres, instances);
    json_object_set_new(result, "data_centres", data_centres);
    json_object_set_new(result, "instances", instances);
    if (ctl->settings.json) {
        ctl_print_json(result);
    }
    else {
        print_status(result);
    }
    ctl_status_t admin_status = report_admin_errors(ctl, answers);
    json_decref(answers);
    json_decref(result);
    return status != CTL_DONE ? status : admin_status;
}

/* ----------------------------------------------------- groups and accounts */

typedef void (*add_rows_fn_t)(json_t *rows, const json_t *status);

/* Prints a table of the rows that @add_rows extracts from the status of each
 * instance. */
static ctl_status_t
show_admin_rows(ctl_t *ctl, add_rows_fn_t add_rows,
                const ctl_column_t *columns, size_t count)
{
    size_t index;
    json_t *answer;

    if (ctl->settings.admin_addresses == NULL) {
        return ctl_fail(ctl, CTL_USAGE,
                        "--admin or MASTICRELAY_ADMIN is required");
    }
    json_t *answers = NULL;
    ctl_status_t status = ctl_admin_status(ctl, &answers);
    if (status != CTL_DONE) {
        return status;
    }
    json_t *rows = json_array();
    json_array_foreach(answers, index, answer)
    {
        if (answer_status(answer) != NULL) {
            add_rows(rows, answer_status(answer));
        }
    }
    if (ctl->settings.json) {
        ctl_print_json(rows);
    }
    else {
        ctl_print_table(rows, columns, count);
    }
    status = report_admin_errors(ctl, answers);
    json_decref(rows);
    json_decref(answers);
    return status;
}

static void
add_group_rows(json_t *rows, const json_t *status)
{
    size_t group_index;
    size_t target_index;
    json_t *group;
    json_t *target;

    json_array_foreach(json_object_get(status, "groups"), group_index, group)
    {
        json_t *targets = json_object_get(group, "targets");
        json_array_foreach(targets, target_index, target)
        {
            json_t *row =
                json_is_object(target) ? json_copy(target) : json_object();
            copy_field(row, "target", target, "name");
            json_object_del(row, "name");
            copy_field(row, "instance", status, "instance");
            copy_field(row, "group", group, "name");
            copy_field(row, "primary", group, "primary");
            copy_field(row, "group_term", group, "term");
            json_array_append_new(rows, row);
        }
    }
}

ctl_status_t
ctl_show_groups(CTL_PARAMETERS)
{
    static const ctl_column_t columns[] = {
        {"INSTANCE", "instance"},   {"GROUP", "group"},
        {"PRIMARY", "primary"},     {"GROUP TERM", "group_term"},
        {"TARGET", "target"},       {"OWNER", "owner"},
        {"ROLE", "role"},           {"TERM", "term"},
        {"LAST TERM", "last_term"}, {"POSITION", "position"},
        {"LAG MS", "lag_ms"},       {"LEAVING", "leaving"},
        {"REACHABLE", "reachable"},
    };

    if (!ctl_parse_options(ctl, command, NULL, &argc, &argv)) {
        return CTL_USAGE;
    }
    return show_admin_rows(ctl, add_group_rows, columns, COUNT_OF(columns));
}

/* Copies a quantity. Instances report it in whole units or, in a field with
 * the suffix "_milli", in thousandths. */
static void
copy_quantity(json_t *row, const char *to_field, const json_t *account,
              const char *field)
{
    char *milli = g_strdup_printf("%s_milli", field);
    const json_t *value = json_object_get(account, milli);
    json_int_t number = json_integer_value(value);

    if (!json_is_integer(value)) {
        copy_field(row, to_field, account, field);
    }
    else if (number % 1000 == 0) {
        json_object_set_new(row, to_field, json_integer(number / 1000));
    }
    else {
        json_object_set_new(row, to_field, json_real((double)number / 1000));
    }
    g_free(milli);
}

static void
add_account_rows(json_t *rows, const json_t *status)
{
    static const char *const quantities[] = {"rate", "burst", "granted_rate",
                                             "share_rate", "demand"};
    static const char *const fields[] = {"account", "admitted", "refused",
                                         "limiter"};
    size_t index;
    json_t *account;

    json_array_foreach(json_object_get(status, "accounts"), index, account)
    {
        json_t *row = json_object();
        copy_field(row, "instance", status, "instance");
        copy_field(row, "account", account, "name");
        for (size_t i = 0; i < COUNT_OF(fields); i++) {
            copy_field(row, fields[i], account, fields[i]);
        }
        copy_quantity(row, "share_rate", account, "share");
        for (size_t i = 0; i < COUNT_OF(quantities); i++) {
            copy_quantity(row, quantities[i], account, quantities[i]);
        }
        json_array_append_new(rows, row);
    }
}

ctl_status_t
ctl_show_accounts(CTL_PARAMETERS)
{
    static const ctl_column_t columns[] = {
        {"INSTANCE", "instance"}, {"ACCOUNT", "account"},
        {"RATE", "rate"},         {"BURST", "burst"},
        {"SHARE", "share_rate"},  {"GRANTED", "granted_rate"},
        {"DEMAND", "demand"},     {"ADMITTED", "admitted"},
        {"REFUSED", "refused"},   {"LIMITER", "limiter"},
    };

    if (!ctl_parse_options(ctl, command, NULL, &argc, &argv)) {
        return CTL_USAGE;
    }
    return show_admin_rows(ctl, add_account_rows, columns, COUNT_OF(columns));
}

ctl_status_t
ctl_show_instances(CTL_PARAMETERS)
{
    static const ctl_column_t columns[] = {
        {"NAME", "name"},
        {"KIND", "kind"},
        {"DATA CENTRE", "data_centre"},
        {"STATE", "state"},
        {"ADDRESS", "address"},
    };
    json_t *instances = NULL;

    if (!ctl_parse_options(ctl, command, NULL, &argc, &argv)
        || ctl_open_platform(ctl) == NULL) {
        return CTL_USAGE;
    }
    mr_error_kind_t error = ctl_list_instances(ctl, &instances);
    if (error != MR_OK) {
        return ctl_fail(ctl, ctl_error_status(error), "platform: %s",
                        mr_error_name(error));
    }
    if (ctl->settings.json) {
        ctl_print_json(instances);
    }
    else {
        ctl_print_table(instances, columns, COUNT_OF(columns));
    }
    json_decref(instances);
    return CTL_DONE;
}
