/* Registration of the instances in the store, and the shared secret that
 * authenticates the connections between them. */

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/address.h"
#include "common/log.h"
#include "common/mem.h"
#include "member/rendezvous.h"
#include "session/fleet_internal.h"

enum {
    MEMBERS_RETRY_MS = 300,
    /* Time from this instance's registration to the next reading. The other
     * instances start at about the same time and have registered by then. */
    MEMBERS_AFTER_REGISTERING_MS = 1500,
    MEMBERS_PERIOD_MS = 20000,
    /* While this instance coordinates without the support of a majority, as
     * others may have to be removed. */
    MEMBERS_UNSUPPORTED_MS = 5000,
    /* An instance that has not reported for this long is removed. */
    REMOVE_AFTER_MS = 15000,
    /* A priority has the class of the link's rate in its highest bits. */
    RATE_CLASS_BITS = 8,
    RATE_CLASS_SHIFT = 64 - RATE_CLASS_BITS,
    /* After a restoration of the store, the instances register again within
     * this time, each at a moment of its own. */
    RESTORE_SPREAD_MS = 600,
};

static const char instances_table[] = "instances";
static const char secret_table[] = "fleet";
static const char secret_key[] = "secret";

/* Starts the next reading after @delay, or soon if there was none since the
 * store was restored. */
static void
start_members_timer(mr_fleet_t *fleet, mr_ms_t delay)
{
    bool outdated =
        fleet->members_era < fleet->era || fleet->secret_era < fleet->era;

    if (outdated && delay > RESTORE_SPREAD_MS) {
        delay = randombytes_uniform(RESTORE_SPREAD_MS);
    }
    mr_timer_start(fleet->members_timer, delay);
}

void
mr_fleet_on_era(void *ctx, int64_t era)
{
    mr_fleet_t *fleet = ctx;

    if (era <= fleet->era) {
        return;
    }
    fleet->era = era;
    if (fleet->joined && !fleet->members_waiting) {
        start_members_timer(fleet, MEMBERS_PERIOD_MS);
    }
}

static mr_fleet_instance_t *
find_instance(mr_fleet_t *fleet, const char *name)
{
    MR_LIST_FOREACH(it, &fleet->instances)
    {
        mr_fleet_instance_t *instance =
            MR_LIST_ENTRY(it, mr_fleet_instance_t, link);
        if (strcmp(instance->name, name) == 0) {
            return instance;
        }
    }
    return NULL;
}

void
mr_fleet_remove_instance(mr_fleet_t *fleet, mr_fleet_instance_t *instance)
{
    MR_LIST_FOREACH(it, &fleet->reports)
    {
        mr_fleet_report_t *report = MR_LIST_ENTRY(it, mr_fleet_report_t, link);
        if (report->to == instance) {
            mr_peer_cancel(report->call);
            mr_list_remove(it);
            free(report);
        }
    }
    if (fleet->coordinator == instance) {
        fleet->coordinator = NULL;
    }
    mr_fleet_remove_source(fleet, instance);
    mr_list_remove(&instance->link);
    fleet->other_count--;
    free(instance->name);
    free(instance->address);
    free(instance->data_centre);
    free(instance->registered_data_centre);
    free(instance);
}

uint64_t
mr_fleet_priority(const char *name, int64_t link_mbps)
{
    uint64_t rate_class = 0;

    for (int64_t rate = link_mbps; rate > 0; rate >>= 1) {
        rate_class++;
    }
    return rate_class << RATE_CLASS_SHIFT
           | mr_rendezvous_score("coordinator", name) >> RATE_CLASS_BITS;
}

/* Puts @instance into the list, which is ordered by priority. */
static void
insert_instance(mr_fleet_t *fleet, mr_fleet_instance_t *instance)
{
    mr_list_t *before = &fleet->instances;

    MR_LIST_FOREACH(it, &fleet->instances)
    {
        if (MR_LIST_ENTRY(it, mr_fleet_instance_t, link)->priority
            < instance->priority) {
            before = it;
            break;
        }
    }
    mr_list_append(before, &instance->link);
}

static mr_fleet_instance_t *
add_instance(mr_fleet_t *fleet, const char *name, const char *address,
             int64_t link_mbps)
{
    mr_fleet_instance_t *instance = MR_NEW(mr_fleet_instance_t);

    instance->name = mr_strdup(name);
    instance->address = mr_strdup(address);
    instance->found_at = mr_clock_now(NULL);
    instance->priority = mr_fleet_priority(name, link_mbps);
    insert_instance(fleet, instance);
    fleet->other_count++;
    mr_fleet_update_count(fleet);
    return instance;
}

static void
update_instance(mr_fleet_t *fleet, mr_fleet_instance_t *instance,
                const char *address, int64_t link_mbps)
{
    uint64_t priority = mr_fleet_priority(instance->name, link_mbps);

    if (strcmp(instance->address, address) != 0) {
        free(instance->address);
        instance->address = mr_strdup(address);
        instance->failures = 0;
    }
    if (priority != instance->priority) {
        instance->priority = priority;
        mr_list_remove(&instance->link);
        insert_instance(fleet, instance);
    }
}

mr_fleet_instance_t *
mr_fleet_add_or_update_instance(mr_fleet_t *fleet, const char *name,
                                const char *address, int64_t link_mbps)
{
    mr_fleet_instance_t *instance = find_instance(fleet, name);
    struct sockaddr_storage addr;
    int len;

    if (!mr_address_parse(address, &addr, &len)) {
        mr_log(MR_LOG_WARNING, MR_EVENT_INSTANCE_ADDRESS_MALFORMED,
               "name=%s address=%s", name, address);
        return instance;
    }
    if (instance == NULL) {
        return add_instance(fleet, name, address, link_mbps);
    }
    update_instance(fleet, instance, address, link_mbps);
    return instance;
}

/* Applies the row of another instance: its address and, if they are known, the
 * rate of its link and its data centre. */
static mr_fleet_instance_t *
apply_member_row(mr_fleet_t *fleet, const mr_store_row_t *row)
{
    char address[MR_ADDRESS_MAX_BYTES];
    const char *text = row->value;
    size_t address_len = strcspn(text, " ");
    char *rest = NULL;

    snprintf(address, sizeof(address), "%.*s", (int)address_len, text);
    long long mbps = strtoll(text + address_len, &rest, 10);
    mr_fleet_instance_t *instance =
        mr_fleet_add_or_update_instance(fleet, row->key, address, mbps);
    if (instance != NULL) {
        free(instance->registered_data_centre);
        instance->registered_data_centre =
            rest[0] == ' ' && rest[1] != '\0' ? mr_strdup(rest + 1) : NULL;
    }
    return instance;
}

static void
on_registration_removed(void *ctx, mr_error_kind_t error,
                        mr_revision_t revision)
{
    (void)ctx;
    (void)revision;
    if (error != MR_OK) {
        mr_log(MR_LOG_INFO, MR_EVENT_INSTANCE_NOT_REMOVED, "error=%s",
               mr_error_name(error));
    }
}

/* Removes instances that have not reported for long. Only the coordinator does
 * so, once it has had the time to receive their reports. */
static void
remove_silent_instances(mr_fleet_t *fleet, mr_ms_t now)
{
    if (!fleet->coordinating
        || now - fleet->coordinating_since < REMOVE_AFTER_MS) {
        return;
    }
    MR_LIST_FOREACH(it, &fleet->instances)
    {
        mr_fleet_instance_t *instance =
            MR_LIST_ENTRY(it, mr_fleet_instance_t, link);
        if (now - instance->last_report_at < REMOVE_AFTER_MS
            || now - instance->found_at < REMOVE_AFTER_MS) {
            continue;
        }
        mr_log(MR_LOG_INFO, MR_EVENT_INSTANCE_REMOVED,
               "name=%s silent_ms=%lld", instance->name,
               (long long)(now - instance->last_report_at));
        if (instance->row_revision.version > 0) {
            mr_store_put(fleet->options.store, instances_table, instance->name,
                         instance->row_revision, NULL, 0,
                         on_registration_removed, fleet);
        }
        mr_fleet_remove_instance(fleet, instance);
    }
    /* The previous coordinator's number may count some of them. */
    fleet->reported_instances = 0;
    mr_fleet_update_count(fleet);
}

static mr_ms_t
members_period(const mr_fleet_t *fleet)
{
    bool unsupported =
        fleet->coordinating
        && !mr_lease_grantor_leads(fleet->options.grantor, mr_clock_now(NULL));

    return unsupported ? MEMBERS_UNSUPPORTED_MS : MEMBERS_PERIOD_MS;
}

static void
on_registered(void *ctx, mr_error_kind_t error, mr_revision_t revision)
{
    mr_fleet_t *fleet = ctx;

    fleet->members_waiting = false;
    if (error == MR_OK || error == MR_ERR_CONFLICT) {
        fleet->own_revision = revision;
    }
    start_members_timer(fleet, error == MR_OK ? MEMBERS_AFTER_REGISTERING_MS
                                              : MEMBERS_RETRY_MS);
}

/* Applies the registration @row of another instance. */
static void
apply_member(mr_fleet_t *fleet, const mr_store_row_t *row)
{
    bool known = find_instance(fleet, row->key) != NULL;
    mr_fleet_instance_t *instance = apply_member_row(fleet, row);

    if (instance == NULL) {
        return;
    }
    instance->in_store = true;
    instance->row_lost_at = 0;
    instance->row_revision = row->revision;
    if (!known && fleet->joined && row->revision.era > fleet->members_era) {
        /* Perhaps one that had left, in the copy that the store was restored
         * from. It may coordinate once it has answered. */
        instance->failures = MR_FLEET_FAILURES_MAX;
    }
}

/* Removes @instance, which has no registration, unless it is only known from
 * reports. A registration that a restoration took is given the time to return.
 */
static void
check_missing_member(mr_fleet_t *fleet, mr_fleet_instance_t *instance,
                     int64_t era, mr_ms_t now)
{
    bool lost_long = instance->row_lost_at != 0
                     && now - instance->row_lost_at >= REMOVE_AFTER_MS
                     && now - instance->last_report_at >= REMOVE_AFTER_MS;

    if (instance->row_revision.version > 0
        && instance->row_revision.era < era) {
        instance->row_revision = (mr_revision_t){0};
        instance->row_lost_at = now;
    }
    else if (instance->row_revision.version > 0 || lost_long) {
        mr_fleet_remove_instance(fleet, instance);
    }
}

static void
apply_members(mr_fleet_t *fleet, const mr_store_answer_t *answer)
{
    fleet->own_revision = (mr_revision_t){0};
    bool current = false;

    MR_LIST_FOREACH(it, &fleet->instances)
    {
        MR_LIST_ENTRY(it, mr_fleet_instance_t, link)->in_store = false;
    }
    for (size_t i = 0; i < answer->count; i++) {
        const mr_store_row_t *row = &answer->rows[i];
        if (strcmp(row->key, fleet->options.name) == 0) {
            fleet->own_revision = row->revision;
            current = strcmp(row->value, fleet->own_registration) == 0;
            continue;
        }
        apply_member(fleet, row);
    }
    MR_LIST_FOREACH(it, &fleet->instances)
    {
        mr_fleet_instance_t *instance =
            MR_LIST_ENTRY(it, mr_fleet_instance_t, link);
        if (!instance->in_store) {
            check_missing_member(fleet, instance, answer->revision.era,
                                 mr_clock_now(NULL));
        }
    }
    fleet->members_era = answer->revision.era;
    mr_fleet_update_count(fleet);
    if (!current && !fleet->leaving) {
        mr_store_put(fleet->options.store, instances_table,
                     fleet->options.name, fleet->own_revision,
                     fleet->own_registration, strlen(fleet->own_registration),
                     on_registered, fleet);
        fleet->members_waiting = true;
        return;
    }
    if (!fleet->joined) {
        fleet->joined = true;
        mr_log(MR_LOG_INFO, MR_EVENT_FLEET_JOINED, "instances=%zu",
               mr_fleet_instances(fleet));
        mr_fleet_start_reports(fleet);
    }
    start_members_timer(fleet, members_period(fleet));
}

/* The registrations that a new instance read may have lacked the
 * coordinator's, if the store had just been restored. */
static void
introduce_coordinator(mr_fleet_t *fleet)
{
    if (!fleet->coordinating || fleet->leaving) {
        return;
    }
    MR_LIST_FOREACH(it, &fleet->instances)
    {
        mr_fleet_instance_t *instance =
            MR_LIST_ENTRY(it, mr_fleet_instance_t, link);
        if (instance->in_store && instance->last_report_at == 0) {
            mr_fleet_introduce(fleet, instance);
        }
    }
}

static void
on_members(void *ctx, const mr_store_answer_t *answer)
{
    mr_fleet_t *fleet = ctx;

    fleet->members_waiting = false;
    if (answer->error != MR_OK) {
        mr_timer_start(fleet->members_timer, MEMBERS_RETRY_MS);
        return;
    }
    apply_members(fleet, answer);
    remove_silent_instances(fleet, mr_clock_now(NULL));
    mr_fleet_update_owners(fleet);
    introduce_coordinator(fleet);
}

static void
on_update_applied(void *ctx)
{
    mr_fleet_report_soon(ctx);
}

void
mr_fleet_create_peer(mr_fleet_t *fleet)
{
    fleet->peer = mr_peer_create(&(mr_peer_options_t){
        .base = fleet->options.base,
        .counters = fleet->options.counters,
        .name = fleet->options.name,
        .data_centre = fleet->options.data_centre,
        .incarnation = mr_clock_wall(),
        .secret = fleet->secret,
        .limits = fleet->options.shares_connections ? &mr_peer_sharing_limits
                                                    : &mr_peer_report_limits,
    });
    mr_peer_handle(fleet->peer, MR_MSG_REPORT, mr_fleet_on_report, fleet);
    fleet->updates = mr_updates_create(&(mr_updates_options_t){
        .counters = fleet->options.counters,
        .peer = fleet->peer,
        .directory = fleet->options.directory,
        .memory = fleet->options.memory,
        .applied = on_update_applied,
        .ctx = fleet,
    });
}

/* Accepts links of other instances, which prove that they know the secret. */
static void
start_listening(mr_fleet_t *fleet)
{
    mr_peer_set_secret(fleet->peer, fleet->secret);
    fleet->secret_known = true;
    if (mr_peer_listen(fleet->peer, fleet->options.address) < 0) {
        mr_log(MR_LOG_ERROR, MR_EVENT_LISTEN_FAILED, "address=%s",
               fleet->options.address);
    }
}

static void
on_secret_written(void *ctx, mr_error_kind_t error, mr_revision_t revision)
{
    mr_fleet_t *fleet = ctx;

    (void)revision;
    fleet->members_waiting = false;
    /* Read the secret next, whichever instance wrote it. */
    mr_timer_start(
        fleet->members_timer,
        error == MR_OK || error == MR_ERR_CONFLICT ? 0 : MEMBERS_RETRY_MS);
}

/* Uses the stored secret. Another one than before was written by an instance
 * that started after a restoration had lost the earlier one. */
static void
use_secret(mr_fleet_t *fleet, const void *secret)
{
    bool same = memcmp(fleet->secret, secret, sizeof(fleet->secret)) == 0;

    memcpy(fleet->secret, secret, sizeof(fleet->secret));
    if (!fleet->secret_known) {
        start_listening(fleet);
    }
    else if (!same) {
        mr_log(MR_LOG_WARNING, MR_EVENT_SECRET_REPLACED, "era=%lld",
               (long long)fleet->secret_era);
        mr_peer_set_secret(fleet->peer, fleet->secret);
    }
}

static void
on_secret(void *ctx, const mr_store_answer_t *answer)
{
    mr_fleet_t *fleet = ctx;
    uint8_t written[MR_PEER_SECRET_BYTES];

    fleet->members_waiting = false;
    if (answer->error != MR_OK) {
        mr_timer_start(fleet->members_timer, MEMBERS_RETRY_MS);
        return;
    }
    if (answer->count == 1 && answer->rows[0].len == sizeof(fleet->secret)) {
        fleet->secret_era = answer->revision.era;
        mr_fleet_on_era(fleet, answer->revision.era);
        use_secret(fleet, answer->rows[0].value);
        mr_timer_start(fleet->members_timer, 0);
        return;
    }
    if (fleet->secret_known) {
        memcpy(written, fleet->secret, sizeof(written));
    }
    else {
        randombytes_buf(written, sizeof(written));
    }
    fleet->members_waiting = true;
    mr_store_put(fleet->options.store, secret_table, secret_key,
                 (mr_revision_t){0}, written, sizeof(written),
                 on_secret_written, fleet);
}

void
mr_fleet_on_members_timer(evutil_socket_t fd, short what, void *ctx)
{
    mr_fleet_t *fleet = ctx;

    (void)fd;
    (void)what;
    fleet->members_waiting = true;
    if (!fleet->secret_known || fleet->secret_era < fleet->era) {
        mr_store_get(fleet->options.store, secret_table, secret_key, on_secret,
                     fleet);
        return;
    }
    mr_store_get(fleet->options.store, instances_table, NULL, on_members,
                 fleet);
}
