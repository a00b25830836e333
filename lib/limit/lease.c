#include "limit/lease.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/json.h"
#include "common/mem.h"

enum {
    /* Read interval of an instance that is not the owner. */
    POLL_MS = 1000,
    POLL_OVERDUE_MS = 500,    /* if the row's renewal is overdue */
    POLL_OWNER_LOST_MS = 200, /* if the owner is not a usable member */
    RETRY_MS = 300,
    PROMISE_INTERVAL_MS = 500, /* between two requests to a successor */
};

/* The latest promise of one listed successor. */
typedef struct promise {
    char name[MR_LEASE_NAME_MAX];
    mr_ms_t requested_at;
    mr_ms_t until;
} promise_t;

struct mr_lease {
    char name[MR_LEASE_NAME_MAX];
    int64_t process;
    mr_lease_row_t row;
    bool have_row;
    mr_ms_t observed_at; /* when the row's revision was first observed */
    mr_ms_t read_at;
    bool stale;    /* the row must be read before anything else is done */
    bool busy;     /* a read or write is in progress */
    bool writing;  /* a write is in progress */
    bool released; /* a drain releases the lease; it is not taken again */
    mr_lease_row_t sent; /* the write in progress or with unknown outcome */
    mr_ms_t sent_at;
    bool unresolved;          /* @sent may have taken or still take effect */
    mr_ms_t unresolved_since; /* when the first such write was sent */
    bool is_owner;            /* confirmed as the owner of the row's epoch */
    mr_ms_t acquired_at;      /* when the write that acquired it was sent */
    mr_ms_t renewed_at;       /* when the last confirmed write was sent */
    mr_ms_t last_write_at;
    promise_t promises[2 * MR_LEASE_SUCCESSORS_MAX];
    size_t promise_count;
    mr_ms_t promised_until; /* promise of this instance not to take over */
};

bool
mr_lease_row_parse(json_t *value, int64_t revision, mr_lease_row_t *row)
{
    mr_json_problem_t problem;
    const char *owner = "";
    json_t *names = NULL;
    const mr_json_field_t fields[] = {
        {"owner", MR_JSON_STRING, true, &owner, 0, 0},
        {"holder", MR_JSON_INTEGER, true, &row->process, 0, 0},
        {"epoch", MR_JSON_INTEGER, true, &row->epoch, 1, INT32_MAX},
        {"successors", MR_JSON_ARRAY, true, &names, 0, 0},
        {"lease_ms", MR_JSON_INTEGER, true, &row->lease, 0, INT32_MAX},
    };

    *row = (mr_lease_row_t){.revision = revision};
    if (!mr_json_read(value, "row", fields, sizeof(fields) / sizeof(fields[0]),
                      &problem)
        || json_array_size(names) > MR_LEASE_SUCCESSORS_MAX) {
        return false;
    }
    snprintf(row->owner, sizeof(row->owner), "%s", owner);
    row->successor_count = json_array_size(names);
    for (size_t i = 0; i < row->successor_count; i++) {
        const char *name = json_string_value(json_array_get(names, i));
        if (name == NULL) {
            return false;
        }
        snprintf(row->successors[i], MR_LEASE_NAME_MAX, "%s", name);
    }
    return true;
}

json_t *
mr_lease_row_format(const mr_lease_row_t *row)
{
    json_t *names = json_array();

    for (size_t i = 0; i < row->successor_count; i++) {
        json_array_append_new(names, json_string(row->successors[i]));
    }
    return json_pack("{s:s,s:I,s:I,s:o,s:I}", "owner", row->owner, "holder",
                     (json_int_t)row->process, "epoch", (json_int_t)row->epoch,
                     "successors", names, "lease_ms", (json_int_t)row->lease);
}

mr_lease_t *
mr_lease_create(const char *name, int64_t process)
{
    mr_lease_t *lease = MR_NEW(mr_lease_t);

    snprintf(lease->name, sizeof(lease->name), "%s", name);
    lease->process = process;
    return lease;
}

void
mr_lease_destroy(mr_lease_t *lease)
{
    free(lease);
}

static bool
is_successor(const mr_lease_row_t *row, const char *name)
{
    for (size_t i = 0; i < row->successor_count; i++) {
        if (strcmp(row->successors[i], name) == 0) {
            return true;
        }
    }
    return false;
}

static bool
owned_by_process(const mr_lease_t *lease, const mr_lease_row_t *row)
{
    return row->process == lease->process
           && strcmp(row->owner, lease->name) == 0;
}

/* Whether this instance can take the lease at @now. @preferred: it is first in
 * the rendezvous order. */
static bool
can_take(const mr_lease_t *lease, bool preferred, mr_ms_t now)
{
    const mr_lease_row_t *row = &lease->row;
    mr_ms_t wait = 0;

    if (lease->released || now < lease->promised_until) {
        return false;
    }
    if (row->revision == 0) {
        return preferred;
    }
    if (row->owner[0] != '\0') {
        wait = mr_limit_expiry_wait(row->lease);
        if (!is_successor(row, lease->name)) {
            wait += mr_limit_expiry_wait(MR_LEASE_OUTAGE_MS);
        }
        /* Without successors, a restarted owner takes the lease back at once:
         * its name belongs to one process at a time, and nobody else could
         * take over. */
        if (row->successor_count == 0
            && strcmp(row->owner, lease->name) == 0) {
            wait = 0;
        }
    }
    /* The preferred instance goes first, so that two don't compete. */
    if (!preferred) {
        wait += RETRY_MS;
    }
    return now - lease->observed_at >= wait;
}

static mr_row_action_t
start_write(mr_lease_t *lease, const char *const *order, size_t count,
            int64_t epoch, mr_ms_t now, mr_lease_row_t *out)
{
    *out = (mr_lease_row_t){.revision = lease->row.revision,
                            .process = lease->process,
                            .epoch = epoch,
                            .lease = MR_LEASE_MS};
    snprintf(out->owner, sizeof(out->owner), "%s",
             lease->released ? "" : lease->name);
    for (size_t i = 0;
         i < count && out->successor_count < MR_LEASE_SUCCESSORS_MAX; i++) {
        if (strcmp(order[i], lease->name) != 0) {
            snprintf(out->successors[out->successor_count++],
                     MR_LEASE_NAME_MAX, "%s", order[i]);
        }
    }
    /* While a write is unresolved, any list of successors that was sent can
     * appear in the row, so later writes repeat the same list. */
    if (lease->unresolved && lease->is_owner) {
        memcpy(out->successors, lease->sent.successors,
               sizeof(out->successors));
        out->successor_count = lease->sent.successor_count;
    }
    lease->sent = *out;
    lease->sent_at = now;
    lease->last_write_at = now;
    lease->busy = true;
    lease->writing = true;
    return MR_ROW_WRITE;
}

static bool
read_due(const mr_lease_t *lease, bool owner_usable, mr_ms_t now)
{
    mr_ms_t interval = POLL_MS;

    if (lease->read_at == 0) {
        return true;
    }
    if (!lease->have_row || lease->stale) {
        interval = RETRY_MS;
    }
    else if (lease->is_owner) {
        return false;
    }
    else if (!owner_usable) {
        interval = POLL_OWNER_LOST_MS;
    }
    else if (now - lease->observed_at >= MR_LEASE_MS / 2) {
        interval = POLL_OVERDUE_MS;
    }
    return now - lease->read_at >= interval;
}

mr_row_action_t
mr_lease_plan(mr_lease_t *lease, const char *const *order, size_t count,
              bool draining, mr_ms_t now, mr_lease_row_t *out)
{
    bool preferred = count > 0 && strcmp(order[0], lease->name) == 0;
    bool owner_usable = false;

    if (draining) {
        lease->released = true;
    }
    if (lease->busy) {
        return MR_ROW_NONE;
    }
    for (size_t i = 0; i < count; i++) {
        owner_usable = owner_usable || strcmp(order[i], lease->row.owner) == 0;
    }
    if (read_due(lease, owner_usable, now)) {
        lease->busy = true;
        return MR_ROW_READ;
    }
    if (!lease->have_row || lease->stale) {
        return MR_ROW_NONE;
    }
    if (lease->is_owner) {
        if (!lease->released
            && now - lease->last_write_at < MR_LEASE_RENEW_MS) {
            return MR_ROW_NONE;
        }
        return start_write(lease, order, count, lease->row.epoch, now, out);
    }
    if (can_take(lease, preferred, now)
        && (lease->last_write_at == 0
            || now - lease->last_write_at >= RETRY_MS)) {
        return start_write(lease, order, count, lease->row.epoch + 1, now,
                           out);
    }
    return MR_ROW_NONE;
}

static promise_t *
find_promise(mr_lease_t *lease, const char *name)
{
    for (size_t i = 0; i < lease->promise_count; i++) {
        if (strcmp(lease->promises[i].name, name) == 0) {
            return &lease->promises[i];
        }
    }
    return NULL;
}

/* Updates the state after a write of this process took effect. */
static void
own_write_confirmed(mr_lease_t *lease, mr_ms_t sent, mr_ms_t now)
{
    if (lease->row.owner[0] == '\0') {
        lease->is_owner = false;
        return;
    }
    if (!lease->is_owner) {
        lease->is_owner = true;
        lease->acquired_at = sent;
        lease->promise_count = 0;
    }
    lease->renewed_at = sent;
    lease->observed_at = now;
}

void
mr_lease_read(mr_lease_t *lease, const mr_lease_row_t *row, mr_ms_t now)
{
    lease->busy = false;
    lease->read_at = now;
    if (row == NULL
        || (lease->have_row && row->revision < lease->row.revision)) {
        return;
    }
    lease->stale = false;
    if (lease->have_row && row->revision == lease->row.revision) {
        return; /* a write with unknown outcome remains unresolved */
    }
    lease->row = *row;
    lease->have_row = true;
    lease->observed_at = now;
    if (!owned_by_process(lease, row)) {
        /* Another process wrote the row, so no earlier write of this process
         * can take effect any more. */
        lease->is_owner = false;
    }
    else if (lease->unresolved) {
        own_write_confirmed(lease, lease->unresolved_since, now);
    }
    lease->unresolved = false;
}

void
mr_lease_written(mr_lease_t *lease, mr_row_result_t result, int64_t revision,
                 mr_ms_t now)
{
    lease->busy = false;
    lease->writing = false;
    if (result == MR_ROW_WRITTEN) {
        lease->row = lease->sent;
        lease->row.revision = revision;
        lease->unresolved = false;
        own_write_confirmed(lease, lease->sent_at, now);
        return;
    }
    if (!lease->unresolved) {
        lease->unresolved = true;
        lease->unresolved_since = lease->sent_at;
    }
    lease->stale = true;
    lease->read_at = result == MR_ROW_CONFLICT ? 0 : now;
}

/* Whether every listed successor has promised not to take over. */
static bool
all_promised(const mr_lease_t *lease, mr_ms_t now)
{
    const mr_lease_row_t *rows[] = {
        &lease->row, lease->unresolved ? &lease->sent : &lease->row};

    if (now - lease->renewed_at >= MR_LEASE_OUTAGE_MS) {
        return false;
    }
    for (size_t r = 0; r < 2; r++) {
        for (size_t i = 0; i < rows[r]->successor_count; i++) {
            const promise_t *promise = find_promise(
                (mr_lease_t *)(uintptr_t)lease, rows[r]->successors[i]);
            if (promise == NULL || now >= promise->until) {
                return false;
            }
        }
    }
    return true;
}

bool
mr_lease_held(const mr_lease_t *lease, mr_ms_t now)
{
    if (!lease->is_owner || lease->released) {
        return false;
    }
    return now - lease->renewed_at < MR_LEASE_MS || all_promised(lease, now);
}

int64_t
mr_lease_epoch(const mr_lease_t *lease)
{
    return lease->is_owner ? lease->row.epoch : 0;
}

mr_ms_t
mr_lease_acquired_at(const mr_lease_t *lease)
{
    return lease->acquired_at;
}

bool
mr_lease_is_successor(const mr_lease_t *lease)
{
    return lease->have_row && is_successor(&lease->row, lease->name);
}

const char *
mr_lease_owner(const mr_lease_t *lease)
{
    return lease->have_row ? lease->row.owner : "";
}

const char *
mr_lease_promise_due(mr_lease_t *lease, mr_ms_t now)
{
    const mr_lease_row_t *rows[] = {&lease->row, &lease->sent};

    if (!lease->is_owner || lease->released
        || now - lease->renewed_at < MR_LEASE_RENEW_MS + PROMISE_INTERVAL_MS) {
        return NULL;
    }
    for (size_t r = 0; r < (lease->unresolved ? 2 : 1); r++) {
        for (size_t i = 0; i < rows[r]->successor_count; i++) {
            const char *name = rows[r]->successors[i];
            promise_t *promise = find_promise(lease, name);
            size_t max = sizeof(lease->promises) / sizeof(lease->promises[0]);
            if (promise == NULL) {
                if (lease->promise_count == max) {
                    lease->promise_count = 0;
                }
                promise = &lease->promises[lease->promise_count++];
                *promise =
                    (promise_t){.requested_at = now - PROMISE_INTERVAL_MS};
                snprintf(promise->name, sizeof(promise->name), "%s", name);
            }
            if (now - promise->requested_at >= PROMISE_INTERVAL_MS) {
                promise->requested_at = now;
                return promise->name;
            }
        }
    }
    return NULL;
}

void
mr_lease_promise_received(mr_lease_t *lease, const char *successor,
                          mr_ms_t sent, mr_ms_t promised)
{
    promise_t *promise = find_promise(lease, successor);

    if (promise != NULL && promised > 0 && promise->until < sent + promised) {
        promise->until = sent + promised;
    }
}

mr_ms_t
mr_lease_make_promise(mr_lease_t *lease, int64_t epoch, mr_ms_t now)
{
    mr_ms_t until = now + mr_limit_expiry_wait(MR_LEASE_PROMISE_MS);

    /* A write of this instance that may have taken or may still take the lease
     * would break the promise. */
    if (!lease->have_row || lease->is_owner || lease->writing
        || lease->unresolved || lease->row.epoch != epoch) {
        return 0;
    }
    if (lease->promised_until < until) {
        lease->promised_until = until;
    }
    return MR_LEASE_PROMISE_MS;
}
