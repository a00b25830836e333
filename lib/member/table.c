#include "member/table.h"

#include <assert.h>
#include <glib.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/log.h"
#include "common/mem.h"
#include "member/rendezvous.h"

/** A data centre with its members. */
typedef struct data_centre {
    mr_list_t link;
    char *name;
    mr_list_t entries;
} data_centre_t;

typedef struct entry {
    mr_member_t member;
    mr_list_t link; /* in data_centre->entries */
    data_centre_t *data_centre;
    mr_list_t pending;     /* in table->changes while sends_left > 0 */
    int sends_left;        /* remaining messages that carry the record */
    int64_t version;       /* incarnation and refutations; 0: only listed */
    mr_ms_t state_since;   /* time of the last state change */
    mr_ms_t avoided_until; /* end of the backoff after a link failure; other
                              data centres only */
    bool listed;           /* in the last update from the list */
    char *list_address;    /* latest address on the list; NULL: never listed */
    uint64_t list_round;   /* last update from the list that contained it */
    uint64_t ping_round;   /* unused */
} entry_t;

struct mr_member_table {
    const mr_clock_t *clock;
    GHashTable *by_name; /* name -> entry_t, owned by @data_centres */
    mr_list_t data_centres;
    data_centre_t *own_data_centre;
    entry_t *self;
    mr_list_t changes; /* entry_t, in the order in which they are sent */
    bool changed;      /* see mr_member_table_take_changed() */
    bool joined;
    uint64_t list_round; /* number of updates from the list */
    uint64_t pings;      /* calls of mr_member_table_next_ping() */
    entry_t **order;     /* ping order, shuffled again at its end */
    size_t order_len;
    size_t order_next;
    mr_ms_t last_tick;
    mr_ms_t links_usable_at; /* expiry of the last avoided_until; 0: none */
};

static mr_ms_t
now(const mr_member_table_t *table)
{
    return mr_clock_now(table->clock);
}

static data_centre_t *
get_data_centre(mr_member_table_t *table, const char *name)
{
    MR_LIST_FOREACH(it, &table->data_centres)
    {
        data_centre_t *dc = MR_LIST_ENTRY(it, data_centre_t, link);
        if (strcmp(dc->name, name) == 0) {
            return dc;
        }
    }
    data_centre_t *dc = MR_NEW(data_centre_t);
    dc->name = mr_strdup(name);
    mr_list_init(&dc->entries);
    mr_list_append(&table->data_centres, &dc->link);
    return dc;
}

static const data_centre_t *
find_data_centre(const mr_member_table_t *table, const char *name)
{
    MR_LIST_FOREACH(it, &table->data_centres)
    {
        const data_centre_t *dc = MR_LIST_ENTRY(it, data_centre_t, link);
        if (strcmp(dc->name, name) == 0) {
            return dc;
        }
    }
    return NULL;
}

static entry_t *
add_entry(mr_member_table_t *table, const char *name, const char *data_centre,
          const char *address)
{
    entry_t *entry = MR_NEW(entry_t);

    entry->data_centre = get_data_centre(table, data_centre);
    entry->member.name = mr_strdup(name);
    entry->member.data_centre = entry->data_centre->name;
    entry->member.address = mr_strdup(address);
    entry->state_since = now(table);
    mr_list_init(&entry->pending);
    mr_list_append(&entry->data_centre->entries, &entry->link);
    g_hash_table_insert(table->by_name, (char *)entry->member.name, entry);
    return entry;
}

static void
free_entry(entry_t *entry)
{
    mr_list_remove(&entry->link);
    mr_list_remove(&entry->pending);
    free((char *)entry->member.name);
    free((char *)entry->member.address);
    free(entry->list_address);
    free(entry);
}

static void
remove_entry(mr_member_table_t *table, entry_t *entry)
{
    for (size_t i = 0; i < table->order_len; i++) {
        if (table->order[i] == entry) {
            table->order[i] = NULL;
        }
    }
    g_hash_table_remove(table->by_name, entry->member.name);
    free_entry(entry);
}

static void
set_address(entry_t *entry, const char *address)
{
    if (strcmp(entry->member.address, address) != 0) {
        free((char *)entry->member.address);
        entry->member.address = mr_strdup(address);
    }
}

static bool
usable(const mr_member_table_t *table, const entry_t *entry)
{
    return entry->member.state <= MR_MEMBER_SUSPECT
           && entry->avoided_until <= now(table)
           && (entry != table->self || table->joined);
}

/* Queues a record for dissemination. It is sent about 3 log2(members) times,
 * which reaches all members with high probability. */
static void
disseminate(mr_member_table_t *table, entry_t *entry)
{
    int log2 = 1;

    for (size_t n = mr_member_table_count(table, false); n > 1; n /= 2) {
        log2++;
    }
    entry->sends_left = 3 * log2;
    mr_list_remove(&entry->pending);
    /* New records are sent first. */
    mr_list_append(table->changes.next, &entry->pending);
}

static void
set_state(mr_member_table_t *table, entry_t *entry, mr_member_state_t state)
{
    static const char *const names[] = {"live", "suspect", "leaving", "dead"};

    if (entry->member.state == state) {
        return;
    }
    mr_log(state == MR_MEMBER_SUSPECT ? MR_LOG_DEBUG : MR_LOG_INFO,
           MR_EVENT_MEMBER_STATE, "member=%s from=%s to=%s",
           entry->member.name, names[entry->member.state], names[state]);
    entry->member.state = state;
    entry->state_since = now(table);
    table->changed = true;
}

mr_member_table_t *
mr_member_table_create(const mr_clock_t *clock, const char *name,
                       const char *data_centre, const char *address,
                       int64_t incarnation)
{
    mr_member_table_t *table = MR_NEW(mr_member_table_t);

    assert(incarnation >= 0
           && incarnation <= INT64_MAX >> MR_MEMBER_REFUTATION_BITS);
    table->clock = clock;
    table->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    mr_list_init(&table->data_centres);
    mr_list_init(&table->changes);
    table->own_data_centre = get_data_centre(table, data_centre);
    table->self = add_entry(table, name, data_centre, address);
    table->self->member.incarnation = incarnation;
    table->self->version = incarnation << MR_MEMBER_REFUTATION_BITS;
    table->last_tick = now(table);
    disseminate(table, table->self);
    return table;
}

void
mr_member_table_destroy(mr_member_table_t *table)
{
    mr_list_t *it;

    if (table == NULL) {
        return;
    }
    g_hash_table_destroy(table->by_name);
    while ((it = mr_list_pop(&table->data_centres)) != NULL) {
        data_centre_t *dc = MR_LIST_ENTRY(it, data_centre_t, link);
        MR_LIST_FOREACH(member, &dc->entries)
        {
            free_entry(MR_LIST_ENTRY(member, entry_t, link));
        }
        free(dc->name);
        free(dc);
    }
    free(table->order);
    free(table);
}

const mr_member_t *
mr_member_table_self(const mr_member_table_t *table)
{
    return &table->self->member;
}

const mr_member_t *
mr_member_table_find(const mr_member_table_t *table, const char *name)
{
    const entry_t *entry = g_hash_table_lookup(table->by_name, name);

    return entry == NULL ? NULL : &entry->member;
}

void
mr_member_table_set_joined(mr_member_table_t *table)
{
    if (!table->joined) {
        table->joined = true;
        table->changed = true;
    }
}

bool
mr_member_table_joined(const mr_member_table_t *table)
{
    return table->joined;
}

bool
mr_member_table_take_changed(mr_member_table_t *table)
{
    bool changed = table->changed;

    table->changed = false;
    return changed;
}

void
mr_member_table_list_begin(mr_member_table_t *table)
{
    table->list_round++;
}

void
mr_member_table_list_add(mr_member_table_t *table, const char *name,
                         const char *data_centre, const char *address,
                         bool leaving)
{
    entry_t *entry = g_hash_table_lookup(table->by_name, name);

    if (entry == NULL) {
        entry = add_entry(table, name, data_centre, address);
        table->changed = true;
    }
    else if (strcmp(entry->member.data_centre, data_centre) != 0) {
        return;
    }
    entry->listed = true;
    entry->list_round = table->list_round;
    if (entry->list_address == NULL
        || strcmp(entry->list_address, address) != 0) {
        free(entry->list_address);
        entry->list_address = mr_strdup(address);
    }
    /* The list lags behind, so it is ignored for members that reported
     * themselves. */
    if (entry->version == 0 && entry->member.state != MR_MEMBER_DEAD) {
        set_address(entry, address);
        if (entry->member.state != MR_MEMBER_SUSPECT) {
            set_state(table, entry,
                      leaving ? MR_MEMBER_LEAVING : MR_MEMBER_LIVE);
        }
    }
}

void
mr_member_table_list_end(mr_member_table_t *table)
{
    MR_LIST_FOREACH(dc_it, &table->data_centres)
    {
        data_centre_t *dc = MR_LIST_ENTRY(dc_it, data_centre_t, link);
        MR_LIST_FOREACH(it, &dc->entries)
        {
            entry_t *entry = MR_LIST_ENTRY(it, entry_t, link);
            if (entry->list_round == table->list_round) {
                continue;
            }
            entry->listed = false;
            if (dc != table->own_data_centre) {
                table->changed = true;
                remove_entry(table, entry);
            }
        }
    }
}

static void
refute(mr_member_table_t *table, int64_t version)
{
    entry_t *self = table->self;

    self->version = version + 1;
    disseminate(table, self);
    mr_log(MR_LOG_INFO, MR_EVENT_MEMBER_REFUTED, "version=%lld",
           (long long)self->version);
}

static mr_member_merge_t
merge_self(mr_member_table_t *table, const mr_msg_member_t *report)
{
    entry_t *self = table->self;
    bool same_address = strcmp(report->address, self->member.address) == 0;

    if (report->incarnation < self->version
        || (report->incarnation == self->version
            && report->state <= (int64_t)self->member.state)) {
        return MR_MEMBER_MERGE_KNOWN;
    }
    /* A newer process with the same name at another address replaces this one,
     * unless it is reported dead. Refuting its records would make the two
     * refute each other forever. */
    if (!same_address && report->state != MR_MEMBER_DEAD
        && report->incarnation > self->version) {
        return MR_MEMBER_MERGE_KNOWN;
    }
    refute(table, report->incarnation);
    return MR_MEMBER_MERGE_REFUTED;
}

mr_member_merge_t
mr_member_table_merge(mr_member_table_t *table, const mr_msg_member_t *report)
{
    entry_t *entry = g_hash_table_lookup(table->by_name, report->name);
    bool is_new = entry == NULL || entry->version == 0;

    if (entry != NULL && entry == table->self) {
        return merge_self(table, report);
    }
    /* Members of other data centres come from the list only, which bounds the
     * size of the table. */
    if (strcmp(report->data_centre, table->own_data_centre->name) != 0
        || (entry != NULL && entry->data_centre != table->own_data_centre)
        || report->state < MR_MEMBER_LIVE || report->state > MR_MEMBER_DEAD
        || report->incarnation < 0) {
        return MR_MEMBER_MERGE_KNOWN;
    }
    if (entry != NULL
        && (report->incarnation < entry->version
            || (report->incarnation == entry->version
                && report->state <= (int64_t)entry->member.state))) {
        return MR_MEMBER_MERGE_KNOWN;
    }
    if (entry == NULL) {
        entry = add_entry(table, report->name, report->data_centre,
                          report->address);
        /* A death of a member that was unknown so far is outdated and not
         * disseminated. */
        if (report->state == MR_MEMBER_DEAD) {
            entry->version = report->incarnation;
            entry->member.incarnation =
                report->incarnation >> MR_MEMBER_REFUTATION_BITS;
            entry->member.state = MR_MEMBER_DEAD;
            return MR_MEMBER_MERGE_KNOWN;
        }
        table->changed = true;
    }
    if (entry->member.incarnation
            != report->incarnation >> MR_MEMBER_REFUTATION_BITS
        || strcmp(entry->member.address, report->address) != 0) {
        table->changed = true;
    }
    entry->version = report->incarnation;
    entry->member.incarnation =
        report->incarnation >> MR_MEMBER_REFUTATION_BITS;
    set_address(entry, report->address);
    set_state(table, entry, (mr_member_state_t)report->state);
    disseminate(table, entry);
    return is_new ? MR_MEMBER_MERGE_NEW : MR_MEMBER_MERGE_CHANGED;
}

static void
fill_record(const entry_t *entry, mr_msg_member_t *out)
{
    out->name = entry->member.name;
    out->data_centre = entry->member.data_centre;
    out->address = entry->member.address;
    out->incarnation = entry->version;
    out->state = entry->member.state;
}

size_t
mr_member_table_changes(mr_member_table_t *table, const char *receiver,
                        mr_msg_member_t *out)
{
    size_t count = 0;
    entry_t *to = receiver == NULL
                      ? NULL
                      : g_hash_table_lookup(table->by_name, receiver);
    entry_t *taken[MR_MEMBER_CHANGES_MAX];
    size_t taken_count = 0;
    mr_list_t *it;

    fill_record(table->self, &out[count++]);
    if (to != NULL && to != table->self
        && to->member.state != MR_MEMBER_LIVE) {
        fill_record(to, &out[count++]);
    }
    while (taken_count < MR_MEMBER_CHANGES_MAX
           && (it = mr_list_pop(&table->changes)) != NULL) {
        entry_t *entry = MR_LIST_ENTRY(it, entry_t, pending);
        taken[taken_count++] = entry;
        if (entry != table->self && entry != to) {
            fill_record(entry, &out[count++]);
        }
    }
    for (size_t i = 0; i < taken_count; i++) {
        if (--taken[i]->sends_left > 0) {
            mr_list_append(&table->changes, &taken[i]->pending);
        }
    }
    return count;
}

mr_msg_member_t *
mr_member_table_all_records(mr_member_table_t *table, size_t *count)
{
    size_t max = 0;

    MR_LIST_FOREACH(it, &table->own_data_centre->entries)
    {
        max++;
    }
    mr_msg_member_t *all = mr_calloc(max, sizeof(*all));
    fill_record(table->self, &all[0]);
    *count = 1;
    MR_LIST_FOREACH(it, &table->own_data_centre->entries)
    {
        const entry_t *entry = MR_LIST_ENTRY(it, entry_t, link);
        if (entry != table->self && entry->version != 0) {
            fill_record(entry, &all[(*count)++]);
        }
    }
    return all;
}

static void
rebuild_order(mr_member_table_t *table)
{
    size_t max = g_hash_table_size(table->by_name);
    size_t len = 0;

    table->order = mr_realloc(table->order, max * sizeof(entry_t *));
    MR_LIST_FOREACH(it, &table->own_data_centre->entries)
    {
        entry_t *entry = MR_LIST_ENTRY(it, entry_t, link);
        if (entry != table->self && entry->member.state != MR_MEMBER_DEAD) {
            table->order[len++] = entry;
        }
    }
    for (size_t i = len; i > 1; i--) {
        size_t j = randombytes_uniform((uint32_t)i);
        entry_t *swap = table->order[i - 1];
        table->order[i - 1] = table->order[j];
        table->order[j] = swap;
    }
    table->order_len = len;
    table->order_next = 0;
}

static entry_t *
next_in_order(mr_member_table_t *table)
{
    for (int pass = 0; pass < 2; pass++) {
        while (table->order_next < table->order_len) {
            entry_t *entry = table->order[table->order_next++];
            if (entry != NULL && entry->member.state != MR_MEMBER_DEAD) {
                return entry;
            }
        }
        rebuild_order(table);
    }
    return NULL;
}

static entry_t *
random_dead(mr_member_table_t *table)
{
    entry_t *chosen = NULL;
    uint32_t seen = 0;

    MR_LIST_FOREACH(it, &table->own_data_centre->entries)
    {
        entry_t *entry = MR_LIST_ENTRY(it, entry_t, link);
        if (entry->member.state == MR_MEMBER_DEAD
            && randombytes_uniform(++seen) == 0) {
            chosen = entry;
        }
    }
    /* The member may have restarted at the address that the list shows now. */
    if (chosen != NULL && chosen->listed && randombytes_uniform(2) == 0) {
        set_address(chosen, chosen->list_address);
    }
    return chosen;
}

const mr_member_t *
mr_member_table_next_ping(mr_member_table_t *table)
{
    entry_t *entry = NULL;

    if (table->pings++ % MR_MEMBER_DEAD_PING_PERIOD == 0) {
        entry = random_dead(table);
    }
    if (entry == NULL) {
        entry = next_in_order(table);
    }
    if (entry == NULL) {
        entry = random_dead(table);
    }
    return entry == NULL ? NULL : &entry->member;
}

size_t
mr_member_table_relays(mr_member_table_t *table, const char *name,
                       const mr_member_t **out, size_t max)
{
    uint32_t seen = 0;
    size_t count = 0;

    MR_LIST_FOREACH(it, &table->own_data_centre->entries)
    {
        entry_t *entry = MR_LIST_ENTRY(it, entry_t, link);
        if (entry == table->self || entry->member.state != MR_MEMBER_LIVE
            || strcmp(entry->member.name, name) == 0) {
            continue;
        }
        seen++;
        if (count < max) {
            out[count++] = &entry->member;
        }
        else {
            uint32_t slot = randombytes_uniform(seen);
            if (slot < max) {
                out[slot] = &entry->member;
            }
        }
    }
    return count;
}

void
mr_member_table_ping_failed(mr_member_table_t *table, const char *name)
{
    entry_t *entry = g_hash_table_lookup(table->by_name, name);

    if (entry == NULL || entry == table->self) {
        return;
    }
    if (entry->member.state == MR_MEMBER_LIVE) {
        set_state(table, entry, MR_MEMBER_SUSPECT);
        disseminate(table, entry);
    }
    else if (entry->member.state == MR_MEMBER_LEAVING) {
        /* It stopped as announced, so no suspicion is needed. */
        set_state(table, entry, MR_MEMBER_DEAD);
        disseminate(table, entry);
    }
}

bool
mr_member_table_paused(const mr_member_table_t *table)
{
    return now(table) - table->last_tick > MR_MEMBER_PAUSE_MS;
}

mr_ms_t
mr_member_table_tick(mr_member_table_t *table)
{
    mr_ms_t at = now(table);
    mr_ms_t pause = mr_member_table_paused(table) ? at - table->last_tick : 0;

    table->last_tick = at;
    if (table->links_usable_at != 0 && at >= table->links_usable_at) {
        table->links_usable_at = 0;
        table->changed = true;
    }
    MR_LIST_FOREACH(it, &table->own_data_centre->entries)
    {
        entry_t *entry = MR_LIST_ENTRY(it, entry_t, link);
        if (pause > 0) {
            /* A paused process receives no refutations. */
            entry->state_since = at;
            continue;
        }
        if (entry->member.state == MR_MEMBER_SUSPECT
            && at - entry->state_since >= MR_MEMBER_SUSPICION_MS) {
            set_state(table, entry, MR_MEMBER_DEAD);
            disseminate(table, entry);
        }
        else if (entry->member.state == MR_MEMBER_DEAD && !entry->listed
                 && at - entry->state_since >= MR_MEMBER_TOMBSTONE_MS) {
            remove_entry(table, entry);
        }
    }
    return pause;
}

void
mr_member_table_report_link_failure(mr_member_table_t *table, const char *name)
{
    entry_t *entry = g_hash_table_lookup(table->by_name, name);

    if (entry != NULL && entry->data_centre != table->own_data_centre) {
        entry->avoided_until = now(table) + MR_MEMBER_LINK_BACKOFF_MS;
        table->links_usable_at = entry->avoided_until;
        table->changed = true;
    }
}

void
mr_member_table_leave(mr_member_table_t *table)
{
    set_state(table, table->self, MR_MEMBER_LEAVING);
    disseminate(table, table->self);
}

typedef struct candidate {
    const entry_t *entry;
    uint64_t score;
} candidate_t;

static bool
ranks_before(const candidate_t *a, const candidate_t *b)
{
    if (a->entry->member.state != b->entry->member.state) {
        return a->entry->member.state < b->entry->member.state;
    }
    if (a->score != b->score) {
        return a->score > b->score;
    }
    return strcmp(a->entry->member.name, b->entry->member.name) < 0;
}

static int
compare_candidates(const void *a, const void *b)
{
    return ranks_before(a, b) ? -1 : 1;
}

size_t
mr_member_table_usable(const mr_member_table_t *table, const char *key,
                       const char *data_centre, const mr_member_t **out,
                       size_t max)
{
    const data_centre_t *dc = find_data_centre(table, data_centre);
    size_t count = 0;

    if (dc == NULL || max == 0) {
        return 0;
    }
    candidate_t *candidates =
        mr_calloc(g_hash_table_size(table->by_name), sizeof(*candidates));
    MR_LIST_FOREACH(it, &dc->entries)
    {
        const entry_t *entry = MR_LIST_ENTRY(it, entry_t, link);
        if (usable(table, entry)) {
            candidates[count++] = (candidate_t){
                entry, mr_rendezvous_score(key, entry->member.name)};
        }
    }
    qsort(candidates, count, sizeof(*candidates), compare_candidates);
    for (size_t i = 0; i < count && i < max; i++) {
        out[i] = &candidates[i].entry->member;
    }
    free(candidates);
    return count < max ? count : max;
}

static const mr_member_t *
first_usable(const mr_member_table_t *table, const char *key,
             const data_centre_t *dc)
{
    candidate_t best = {0};

    MR_LIST_FOREACH(it, &dc->entries)
    {
        candidate_t next = {.entry = MR_LIST_ENTRY(it, entry_t, link)};
        if (!usable(table, next.entry)) {
            continue;
        }
        next.score = mr_rendezvous_score(key, next.entry->member.name);
        if (best.entry == NULL || ranks_before(&next, &best)) {
            best = next;
        }
    }
    return best.entry == NULL ? NULL : &best.entry->member;
}

const mr_member_t *
mr_member_table_owner(const mr_member_table_t *table, const char *key,
                      const char *data_centre)
{
    const data_centre_t *home = find_data_centre(table, data_centre);
    const mr_member_t *best = NULL;
    uint64_t best_score = 0;

    if (home != NULL) {
        best = first_usable(table, key, home);
    }
    if (best != NULL) {
        return best;
    }
    MR_LIST_FOREACH(it, &table->data_centres)
    {
        const data_centre_t *dc = MR_LIST_ENTRY(it, data_centre_t, link);
        uint64_t score = mr_rendezvous_score(key, dc->name);
        if (dc == home || (best != NULL && score <= best_score)) {
            continue;
        }
        const mr_member_t *member = first_usable(table, key, dc);
        if (member != NULL) {
            best = member;
            best_score = score;
        }
    }
    return best;
}

size_t
mr_member_table_count(const mr_member_table_t *table, bool all)
{
    size_t count = 0;

    MR_LIST_FOREACH(dc_it, &table->data_centres)
    {
        const data_centre_t *dc = MR_LIST_ENTRY(dc_it, data_centre_t, link);
        if (!all && dc != table->own_data_centre) {
            continue;
        }
        MR_LIST_FOREACH(it, &dc->entries)
        {
            const entry_t *entry = MR_LIST_ENTRY(it, entry_t, link);
            count += entry->member.state != MR_MEMBER_DEAD ? 1 : 0;
        }
    }
    return count;
}

json_t *
mr_member_table_status(const mr_member_table_t *table)
{
    static const char *const names[] = {"live", "suspect", "leaving", "dead"};
    json_t *array = json_array();

    MR_LIST_FOREACH(dc_it, &table->data_centres)
    {
        const data_centre_t *dc = MR_LIST_ENTRY(dc_it, data_centre_t, link);
        MR_LIST_FOREACH(it, &dc->entries)
        {
            const entry_t *entry = MR_LIST_ENTRY(it, entry_t, link);
            json_array_append_new(
                array, json_pack("{s:s,s:s,s:s,s:s,s:I,s:b}", "name",
                                 entry->member.name, "data_centre", dc->name,
                                 "address", entry->member.address, "state",
                                 names[entry->member.state], "incarnation",
                                 (json_int_t)entry->member.incarnation,
                                 "usable", usable(table, entry)));
        }
    }
    return array;
}
