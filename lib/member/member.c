#include "member/member.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "common/address.h"
#include "common/list.h"
#include "common/log.h"
#include "common/mem.h"
#include "member/table.h"

enum {
    TICK_MS = 100,
    /* The relay itself waits up to one ping timeout. */
    RELAY_TIMEOUT_MS = 2 * MR_MEMBER_PING_TIMEOUT_MS,
    PROBES_MAX = 8, /* concurrent probes */
    /* A new instance pings several members at once, and learns of all others
     * from the first reply. */
    JOIN_PINGS = 3,
    LEAVE_PINGS = 8,
    /* Interval at which the list is read. It is longer if reading it would
     * exceed LIST_BYTES_PER_S: 140 s for 8,300 entries. */
    LIST_INTERVAL_MS = 2000,
    /* List interval until this instance has joined. */
    LIST_RETRY_MS = 500,
    LIST_ENTRY_BYTES = 100,
    LIST_BYTES_PER_S = 6000,
    /* The list lags behind, so a registration that is missing from it is not
     * repeated after every read. */
    REGISTER_RETRY_MS = 5000,
    REGISTER_REFRESH_MS = 300000,
};

typedef struct subscriber {
    mr_list_t link;
    mr_members_change_fn_t fn;
    void *ctx;
} subscriber_t;

struct mr_members {
    uint64_t generation;
    mr_members_options_t options;
    mr_member_table_t *table;
    struct event *tick;
    struct event *notify; /* defers and merges notifications */
    mr_list_t subscribers;
    mr_members_config_fn_t config_fn;
    void *config_ctx;
    int64_t config_version;
    mr_list_t probes; /* probe_t */
    size_t probe_count;
    mr_list_t relays; /* relay_t */
    mr_ms_t next_ping_at;
    mr_ms_t next_list_at;
    mr_ms_t list_interval;
    bool list_pending;
    mr_ms_t next_register_at; /* earliest time of the next registration */
    bool register_pending;
    json_t *leaving_targets;
    mr_counter_t *pings;
    mr_counter_t *ping_failures;
    mr_counter_t *suspicions;
    mr_counter_t *refutations;
    mr_counter_t *pauses;
    mr_counter_t *list_failures;
    mr_counter_t *live;
    mr_counter_t *known;
};

/** A ping of one member, followed by indirect pings if it fails. */
typedef struct probe {
    mr_list_t link;
    mr_members_t *members;
    char *name;
    char *address;
    mr_peer_call_t *direct;
    struct relay_call {
        struct probe *probe;
        mr_peer_call_t *call;
    } indirect[MR_MEMBER_INDIRECT_PINGS];
    int pending; /* indirect calls in progress */
} probe_t;

/** A ping on behalf of another member. */
typedef struct relay {
    mr_list_t link;
    mr_members_t *members;
    char *name;
    mr_peer_request_t *request;
    mr_peer_call_t *call;
} relay_t;

static void
notify_changes(mr_members_t *members)
{
    if (mr_member_table_take_changed(members->table)) {
        members->generation++;
        event_active(members->notify, 0, 0);
    }
}

static void
on_notify(evutil_socket_t fd, short what, void *ctx)
{
    mr_members_t *members = ctx;

    (void)fd;
    (void)what;
    mr_counter_set(members->live,
                   (int64_t)mr_member_table_count(members->table, false));
    mr_counter_set(members->known,
                   (int64_t)mr_member_table_count(members->table, true));
    MR_LIST_FOREACH(it, &members->subscribers)
    {
        const subscriber_t *subscriber = MR_LIST_ENTRY(it, subscriber_t, link);
        subscriber->fn(subscriber->ctx);
    }
}

/* Merges the reports of a ping or its reply. Returns the merge result of the
 * first one, which is the record of the sender. */
static mr_member_merge_t
merge_ping(mr_members_t *members, const mr_msg_ping_t *ping)
{
    mr_member_merge_t first = MR_MEMBER_MERGE_KNOWN;

    for (size_t i = 0; i < ping->change_count; i++) {
        mr_member_merge_t result =
            mr_member_table_merge(members->table, &ping->changes[i]);
        if (i == 0) {
            first = result;
        }
        if (result == MR_MEMBER_MERGE_REFUTED) {
            mr_counter_add(members->refutations, 1);
        }
    }
    notify_changes(members);
    if (ping->change_count > 0 && members->config_fn != NULL
        && ping->config_version > members->config_version) {
        const mr_member_t *from =
            mr_member_table_find(members->table, ping->changes[0].name);
        if (from != NULL) {
            members->config_fn(members->config_ctx, from,
                               ping->config_version);
        }
    }
    return first;
}

static void
fill_ping(mr_members_t *members, mr_msg_ping_t *ping, const char *receiver,
          mr_msg_member_t *records)
{
    ping->incarnation = members->options.incarnation;
    ping->config_version = members->config_version;
    ping->changes = records;
    ping->change_count =
        mr_member_table_changes(members->table, receiver, records);
}

/* Returns whether the reply comes from the intended process: another one may
 * be using its address. */
static bool
is_answer_of(const mr_msg_t *reply, const char *name)
{
    return reply->u.ping.change_count > 0
           && strcmp(reply->u.ping.changes[0].name, name) == 0;
}

static mr_peer_call_t *
send_ping(mr_members_t *members, const char *name, const char *address,
          mr_peer_reply_fn_t fn, void *ctx)
{
    mr_msg_member_t records[MR_MEMBER_CHANGES_MAX + 2];
    mr_msg_t msg = {.type = MR_MSG_PING};

    fill_ping(members, &msg.u.ping, name, records);
    mr_counter_add(members->pings, 1);
    return mr_peer_call(members->options.peer, address, &msg,
                        MR_MEMBER_PING_TIMEOUT_MS, fn, ctx);
}

static void
free_probe(probe_t *probe)
{
    if (probe->direct != NULL) {
        mr_peer_cancel(probe->direct);
    }
    for (int i = 0; i < MR_MEMBER_INDIRECT_PINGS; i++) {
        if (probe->indirect[i].call != NULL) {
            mr_peer_cancel(probe->indirect[i].call);
        }
    }
    probe->members->probe_count--;
    mr_list_remove(&probe->link);
    free(probe->name);
    free(probe->address);
    free(probe);
}

static void
fail_probe(probe_t *probe)
{
    mr_members_t *members = probe->members;
    const mr_member_t *member =
        mr_member_table_find(members->table, probe->name);

    /* Missing replies during a pause of this process are not failures. */
    if (!mr_member_table_paused(members->table)) {
        mr_counter_add(members->ping_failures, 1);
        if (member != NULL && member->state == MR_MEMBER_LIVE) {
            mr_counter_add(members->suspicions, 1);
        }
        mr_member_table_ping_failed(members->table, probe->name);
        notify_changes(members);
    }
    free_probe(probe);
}

static void
on_indirect_reply(void *ctx, mr_error_kind_t error, const mr_msg_t *reply)
{
    struct relay_call *call = ctx;
    probe_t *probe = call->probe;

    call->call = NULL;
    probe->pending--;
    if (error == MR_OK && reply->u.ping_req_reply.answered) {
        free_probe(probe);
    }
    else if (probe->pending == 0) {
        fail_probe(probe);
    }
}

static void
start_indirect(probe_t *probe)
{
    mr_members_t *members = probe->members;
    const mr_member_t *relays[MR_MEMBER_INDIRECT_PINGS];
    size_t count = mr_member_table_relays(members->table, probe->name, relays,
                                          MR_MEMBER_INDIRECT_PINGS);
    mr_msg_t msg = {.type = MR_MSG_PING_REQ};

    if (count == 0 || mr_member_table_paused(members->table)) {
        fail_probe(probe);
        return;
    }
    msg.u.ping_req.member = probe->name;
    msg.u.ping_req.address = probe->address;
    probe->pending = (int)count;
    for (size_t i = 0; i < count; i++) {
        probe->indirect[i].probe = probe;
        probe->indirect[i].call = mr_peer_call(
            members->options.peer, relays[i]->address, &msg, RELAY_TIMEOUT_MS,
            on_indirect_reply, &probe->indirect[i]);
    }
}

static void
on_ping_reply(void *ctx, mr_error_kind_t error, const mr_msg_t *reply)
{
    probe_t *probe = ctx;

    probe->direct = NULL;
    if (error == MR_OK) {
        mr_member_table_set_joined(probe->members->table);
        merge_ping(probe->members, &reply->u.ping);
        if (is_answer_of(reply, probe->name)) {
            free_probe(probe);
            return;
        }
    }
    start_indirect(probe);
}

static void
start_probe(mr_members_t *members, const mr_member_t *member)
{
    if (members->probe_count >= PROBES_MAX) {
        return;
    }
    MR_LIST_FOREACH(it, &members->probes)
    {
        const probe_t *probe = MR_LIST_ENTRY(it, probe_t, link);
        if (strcmp(probe->name, member->name) == 0) {
            return;
        }
    }
    probe_t *probe = MR_NEW(probe_t);
    probe->members = members;
    probe->name = mr_strdup(member->name);
    probe->address = mr_strdup(member->address);
    mr_list_append(&members->probes, &probe->link);
    members->probe_count++;
    probe->direct =
        send_ping(members, probe->name, probe->address, on_ping_reply, probe);
}

static void
on_ping(void *ctx, mr_peer_request_t *request, const mr_msg_t *msg,
        const char *from)
{
    mr_members_t *members = ctx;
    mr_msg_member_t records[MR_MEMBER_CHANGES_MAX + 2];
    mr_msg_t reply = {.type = MR_MSG_PING_REPLY};
    mr_member_merge_t first = merge_ping(members, &msg->u.ping);

    if (request == NULL) {
        return;
    }
    fill_ping(members, &reply.u.ping, from, records);
    if (first != MR_MEMBER_MERGE_NEW) {
        mr_peer_reply(request, &reply);
        return;
    }
    mr_msg_member_t *all = mr_member_table_all_records(
        members->table, &reply.u.ping.change_count);
    reply.u.ping.changes = all;
    mr_peer_reply(request, &reply);
    free(all);
}

static void
end_relay(relay_t *relay, bool answered)
{
    mr_msg_t reply = {.type = MR_MSG_PING_REQ_REPLY};

    reply.u.ping_req_reply.answered = answered;
    mr_peer_reply(relay->request, &reply);
    mr_list_remove(&relay->link);
    free(relay->name);
    free(relay);
}

static void
on_relay_reply(void *ctx, mr_error_kind_t error, const mr_msg_t *reply)
{
    relay_t *relay = ctx;
    bool answered = false;

    if (error == MR_OK) {
        merge_ping(relay->members, &reply->u.ping);
        answered = is_answer_of(reply, relay->name);
    }
    end_relay(relay, answered);
}

static void
on_ping_req(void *ctx, mr_peer_request_t *request, const mr_msg_t *msg,
            const char *from)
{
    mr_members_t *members = ctx;

    (void)from;
    if (request == NULL) {
        return;
    }
    relay_t *relay = MR_NEW(relay_t);
    relay->members = members;
    relay->name = mr_strdup(msg->u.ping_req.member);
    relay->request = request;
    mr_list_append(&members->relays, &relay->link);
    relay->call = send_ping(members, relay->name, msg->u.ping_req.address,
                            on_relay_reply, relay);
}

static void
on_registered(void *ctx, mr_error_kind_t error, json_t *value)
{
    mr_members_t *members = ctx;

    (void)value;
    members->register_pending = false;
    members->next_register_at =
        mr_clock_now(NULL)
        + (error == MR_OK ? REGISTER_REFRESH_MS : REGISTER_RETRY_MS);
}

static void
start_register(mr_members_t *members)
{
    bool leaving =
        mr_member_table_self(members->table)->state == MR_MEMBER_LEAVING;

    members->register_pending = true;
    mr_platform_register_instance(
        members->options.platform, members->options.name,
        members->options.data_centre, members->options.address,
        leaving ? "leaving" : "live", on_registered, members);
}

static bool
get_string(const json_t *item, const char *key, const char **out)
{
    *out = json_string_value(json_object_get(item, key));
    return *out != NULL && **out != '\0';
}

/* Processes one entry of the list; returns whether it is the up-to-date
 * registration of this instance. */
static bool
read_list_item(mr_members_t *members, const json_t *item, json_t *targets)
{
    const mr_member_t *self = mr_member_table_self(members->table);
    const char *name, *data_centre, *address, *kind, *state;
    struct sockaddr_storage parsed;
    int len;

    if (!get_string(item, "name", &name) || !get_string(item, "kind", &kind)
        || !get_string(item, "state", &state)) {
        return false;
    }
    bool leaving = strcmp(state, "leaving") == 0;
    if (strcmp(kind, "target") == 0) {
        if (leaving) {
            json_object_set_new(targets, name, json_true());
        }
        return false;
    }
    if (!get_string(item, "data_centre", &data_centre)
        || !get_string(item, "address", &address)
        || !mr_address_parse(address, &parsed, &len)) {
        return false;
    }
    if (strcmp(name, self->name) == 0) {
        return strcmp(address, self->address) == 0
               && leaving == (self->state == MR_MEMBER_LEAVING);
    }
    mr_member_table_list_add(members->table, name, data_centre, address,
                             leaving);
    return false;
}

static void
read_list(mr_members_t *members, const json_t *list)
{
    json_t *targets = json_object();
    const json_t *item;
    size_t i;
    bool registered = false;
    mr_ms_t now = mr_clock_now(NULL);

    mr_member_table_list_begin(members->table);
    json_array_foreach(list, i, item)
    {
        if (read_list_item(members, item, targets)) {
            registered = true;
        }
    }
    mr_member_table_list_end(members->table);
    /* Once the list shows this instance, it also shows those that registered
     * earlier. */
    if (registered && mr_member_table_count(members->table, false) == 1) {
        mr_member_table_set_joined(members->table);
    }
    if (!registered && members->next_register_at > now + REGISTER_RETRY_MS) {
        members->next_register_at = now + REGISTER_RETRY_MS;
    }
    if (!json_equal(targets, members->leaving_targets)) {
        event_active(members->notify, 0, 0);
    }
    json_decref(members->leaving_targets);
    members->leaving_targets = targets;
}

static void
send_pings(mr_members_t *members, size_t max)
{
    for (size_t i = 0; i < max; i++) {
        const mr_member_t *member = mr_member_table_next_ping(members->table);
        if (member == NULL) {
            return;
        }
        start_probe(members, member);
    }
}

static void
on_list(void *ctx, mr_error_kind_t error, json_t *value)
{
    mr_members_t *members = ctx;

    members->list_pending = false;
    if (error == MR_OK && json_is_array(value)) {
        read_list(members, value);
        mr_ms_t interval = (mr_ms_t)json_array_size(value) * LIST_ENTRY_BYTES
                           * 1000 / LIST_BYTES_PER_S;
        if (interval < LIST_INTERVAL_MS) {
            interval = LIST_INTERVAL_MS;
        }
        members->list_interval = interval;
        if (!mr_member_table_joined(members->table)) {
            send_pings(members, JOIN_PINGS);
        }
        notify_changes(members);
    }
    else {
        mr_counter_add(members->list_failures, 1);
    }
    /* Joined members do not read the list immediately after an outage, so that
     * a recovering platform is not hit by all instances at once. */
    mr_ms_t interval = mr_member_table_joined(members->table)
                           ? members->list_interval
                           : LIST_RETRY_MS;
    /* Jitter of up to a quarter keeps the instances from reading at the same
     * time. */
    members->next_list_at = mr_clock_now(NULL) + interval
                            + randombytes_uniform((uint32_t)(interval / 4));
}

static void
on_tick(evutil_socket_t fd, short what, void *ctx)
{
    mr_members_t *members = ctx;
    mr_ms_t now = mr_clock_now(NULL);

    (void)fd;
    (void)what;
    mr_ms_t pause = mr_member_table_tick(members->table);
    if (pause > 0) {
        mr_counter_add(members->pauses, 1);
        mr_log(MR_LOG_WARNING, MR_EVENT_PROCESS_PAUSED, "ms=%lld",
               (long long)pause);
        MR_LIST_FOREACH(it, &members->probes)
        {
            free_probe(MR_LIST_ENTRY(it, probe_t, link));
        }
    }
    if (now >= members->next_ping_at) {
        members->next_ping_at = now + MR_MEMBER_PING_INTERVAL_MS - TICK_MS / 2;
        send_pings(members, 1);
    }
    if (!members->list_pending && now >= members->next_list_at) {
        members->list_pending = true;
        mr_platform_list_instances(members->options.platform, on_list,
                                   members);
    }
    if (!members->register_pending && now >= members->next_register_at) {
        start_register(members);
    }
    notify_changes(members);
}

static void
create_counters(mr_members_t *members)
{
    mr_counters_t *set = members->options.counters;

    members->pings = mr_counters_get(set, "masticrelay_member_pings_total", "",
                                     "pings sent, also for others");
    members->ping_failures = mr_counters_get(
        set, "masticrelay_member_ping_failures_total", "",
        "pings that got neither a direct nor an indirect answer");
    members->suspicions =
        mr_counters_get(set, "masticrelay_member_suspicions_total", "",
                        "members that this instance suspected first");
    members->refutations =
        mr_counters_get(set, "masticrelay_member_refutations_total", "",
                        "false reports about this instance");
    members->pauses = mr_counters_get(set, "masticrelay_member_pauses_total",
                                      "", "times this process was paused");
    members->list_failures =
        mr_counters_get(set, "masticrelay_member_list_failures_total", "",
                        "failed readings of the platform's list");
    members->live = mr_counters_get(set, "masticrelay_members", "",
                                    "members of the own data centre");
    members->known =
        mr_counters_get(set, "masticrelay_members_known", "",
                        "members of all data centres that are not dead");
}

mr_members_t *
mr_members_create(const mr_members_options_t *options)
{
    mr_members_t *members = MR_NEW(mr_members_t);
    struct timeval tick = mr_clock_timeval(TICK_MS);

    members->options = *options;
    members->table =
        mr_member_table_create(NULL, options->name, options->data_centre,
                               options->address, options->incarnation);
    const mr_member_t *self = mr_member_table_self(members->table);
    members->options.name = self->name;
    members->options.data_centre = self->data_centre;
    members->options.address = self->address;
    members->leaving_targets = json_object();
    members->list_interval = LIST_INTERVAL_MS;
    mr_list_init(&members->subscribers);
    mr_list_init(&members->probes);
    mr_list_init(&members->relays);
    create_counters(members);
    mr_peer_handle(options->peer, MR_MSG_PING, on_ping, members);
    mr_peer_handle(options->peer, MR_MSG_PING_REQ, on_ping_req, members);
    members->notify = event_new(options->base, -1, 0, on_notify, members);
    members->tick = event_new(options->base, -1, EV_PERSIST, on_tick, members);
    event_add(members->tick, &tick);
    event_active(members->tick, 0, 0);
    return members;
}

void
mr_members_destroy(mr_members_t *members)
{
    mr_list_t *it;

    if (members == NULL) {
        return;
    }
    mr_peer_handle(members->options.peer, MR_MSG_PING, NULL, NULL);
    mr_peer_handle(members->options.peer, MR_MSG_PING_REQ, NULL, NULL);
    MR_LIST_FOREACH(probe, &members->probes)
    {
        free_probe(MR_LIST_ENTRY(probe, probe_t, link));
    }
    MR_LIST_FOREACH(link, &members->relays)
    {
        relay_t *relay = MR_LIST_ENTRY(link, relay_t, link);
        mr_peer_cancel(relay->call);
        end_relay(relay, false);
    }
    while ((it = mr_list_pop(&members->subscribers)) != NULL) {
        free(MR_LIST_ENTRY(it, subscriber_t, link));
    }
    mr_platform_cancel(members->options.platform, members);
    event_free(members->tick);
    event_free(members->notify);
    json_decref(members->leaving_targets);
    mr_member_table_destroy(members->table);
    free(members);
}

void
mr_members_subscribe(mr_members_t *members, mr_members_change_fn_t fn,
                     void *ctx)
{
    subscriber_t *subscriber = MR_NEW(subscriber_t);

    subscriber->fn = fn;
    subscriber->ctx = ctx;
    mr_list_append(&members->subscribers, &subscriber->link);
}

void
mr_members_unsubscribe(mr_members_t *members, const void *ctx)
{
    MR_LIST_FOREACH(it, &members->subscribers)
    {
        subscriber_t *subscriber = MR_LIST_ENTRY(it, subscriber_t, link);
        if (subscriber->ctx == ctx) {
            mr_list_remove(it);
            free(subscriber);
        }
    }
}

const mr_member_t *
mr_members_find(const mr_members_t *members, const char *name)
{
    return mr_member_table_find(members->table, name);
}

size_t
mr_members_usable(const mr_members_t *members, const char *key,
                  const char *data_centre, const mr_member_t **out, size_t max)
{
    return mr_member_table_usable(members->table, key, data_centre, out, max);
}

const mr_member_t *
mr_members_owner(const mr_members_t *members, const char *key,
                 const char *data_centre)
{
    return mr_member_table_owner(members->table, key, data_centre);
}

uint64_t
mr_members_generation(const mr_members_t *members)
{
    return members->generation;
}

void
mr_members_report_failure(mr_members_t *members, const char *name)
{
    const mr_member_t *member = mr_member_table_find(members->table, name);
    const mr_member_t *self = mr_member_table_self(members->table);

    if (member == NULL || member == self) {
        return;
    }
    if (strcmp(member->data_centre, self->data_centre) != 0) {
        mr_member_table_report_link_failure(members->table, name);
        notify_changes(members);
    }
    else if (member->state == MR_MEMBER_LIVE) {
        start_probe(members, member);
    }
}

bool
mr_members_target_leaving(const mr_members_t *members, const char *target)
{
    return json_object_get(members->leaving_targets, target) != NULL;
}

void
mr_members_set_config_version(mr_members_t *members, int64_t version)
{
    members->config_version = version;
}

void
mr_members_on_config_version(mr_members_t *members, mr_members_config_fn_t fn,
                             void *ctx)
{
    members->config_fn = fn;
    members->config_ctx = ctx;
}

void
mr_members_leave(mr_members_t *members)
{
    const mr_member_t *receivers[LEAVE_PINGS];
    mr_msg_member_t records[MR_MEMBER_CHANGES_MAX + 2];

    if (mr_member_table_self(members->table)->state == MR_MEMBER_LEAVING) {
        return;
    }
    mr_member_table_leave(members->table);
    size_t count =
        mr_member_table_relays(members->table, "", receivers, LEAVE_PINGS);
    for (size_t i = 0; i < count; i++) {
        mr_msg_t msg = {.type = MR_MSG_PING};
        fill_ping(members, &msg.u.ping, receivers[i]->name, records);
        mr_peer_send(members->options.peer, receivers[i]->address, &msg);
    }
    start_register(members);
    notify_changes(members);
}

json_t *
mr_members_status(const mr_members_t *members)
{
    return mr_member_table_status(members->table);
}
