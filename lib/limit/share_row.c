#include "limit/share.h"

#include <stdio.h>

#include "common/json.h"

static bool
parse_entry(const char *name, json_t *value, mr_share_entry_t *entry)
{
    mr_json_problem_t problem;
    const mr_json_field_t fields[] = {
        {"rate", MR_JSON_INTEGER, true, &entry->amount.rate, 0, INT64_MAX},
        {"burst", MR_JSON_INTEGER, true, &entry->amount.burst, 0, INT64_MAX},
        {"demand", MR_JSON_INTEGER, true, &entry->demand, 0, INT64_MAX},
        {"renewal", MR_JSON_INTEGER, true, &entry->renewal, 0, INT64_MAX},
        {"lease_ms", MR_JSON_INTEGER, true, &entry->lease, 0, INT64_MAX},
        {"granted_rate", MR_JSON_INTEGER, true, &entry->granted.rate, 0,
         INT64_MAX},
        {"granted_burst", MR_JSON_INTEGER, true, &entry->granted.burst, 0,
         INT64_MAX},
        {"granted_epoch", MR_JSON_INTEGER, true, &entry->granted_epoch, 0,
         INT64_MAX},
    };
    int len =
        snprintf(entry->data_centre, sizeof(entry->data_centre), "%s", name);

    return len < (int)sizeof(entry->data_centre)
           && mr_json_read(value, "share", fields,
                           sizeof(fields) / sizeof(fields[0]), &problem);
}

bool
mr_share_row_parse(json_t *value, int64_t revision, mr_share_row_t *row)
{
    mr_json_problem_t problem;
    const char *name;
    json_t *item;
    json_t *shares = NULL;
    const mr_json_field_t fields[] = {
        {"version", MR_JSON_INTEGER, true, &row->version, 0, INT64_MAX},
        {"rate", MR_JSON_INTEGER, true, &row->limit.rate, 0, INT64_MAX},
        {"burst", MR_JSON_INTEGER, true, &row->limit.burst, 0, INT64_MAX},
        {"prior_rate", MR_JSON_INTEGER, true, &row->prior_limit.rate, 0,
         INT64_MAX},
        {"prior_burst", MR_JSON_INTEGER, true, &row->prior_limit.burst, 0,
         INT64_MAX},
        {"shares", MR_JSON_OBJECT, true, &shares, 0, 0},
    };

    *row = (mr_share_row_t){.revision = revision};
    if (!mr_json_read(value, "row", fields, sizeof(fields) / sizeof(fields[0]),
                      &problem)) {
        return false;
    }
    json_object_foreach(shares, name, item)
    {
        if (row->count == MR_SHARE_ENTRIES_MAX
            || !parse_entry(name, item, &row->entries[row->count])) {
            return false;
        }
        row->count++;
    }
    return true;
}

json_t *
mr_share_row_format(const mr_share_row_t *row)
{
    json_t *shares = json_object();

    for (size_t i = 0; i < row->count; i++) {
        const mr_share_entry_t *entry = &row->entries[i];
        json_t *item = json_pack(
            "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "rate",
            (json_int_t)entry->amount.rate, "burst",
            (json_int_t)entry->amount.burst, "demand",
            (json_int_t)entry->demand, "renewal", (json_int_t)entry->renewal,
            "lease_ms", (json_int_t)entry->lease, "granted_rate",
            (json_int_t)entry->granted.rate, "granted_burst",
            (json_int_t)entry->granted.burst, "granted_epoch",
            (json_int_t)entry->granted_epoch);
        json_object_set_new(shares, entry->data_centre, item);
    }
    return json_pack("{s:I,s:I,s:I,s:I,s:I,s:o}", "prior_rate",
                     (json_int_t)row->prior_limit.rate, "prior_burst",
                     (json_int_t)row->prior_limit.burst, "version",
                     (json_int_t)row->version, "rate",
                     (json_int_t)row->limit.rate, "burst",
                     (json_int_t)row->limit.burst, "shares", shares);
}
