#ifndef CONFIG_FLEET_H
#define CONFIG_FLEET_H

/*
 * Runs instances of the configuration store in one process, with real peer
 * connections and the platform stand-in. Membership is a fake whose rendezvous
 * order is the order of creation. Included by one test program only.
 */

#include <check.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "common/json.h"
#include "common/mem.h"
#include "config/rows.h"
#include "config/store_internal.h"
#include "platform_process.h"

enum { INSTANCES_MAX = 24, PLATFORM_TIMEOUT_MS = 300 };

typedef struct fleet fleet_t;

struct mr_members {
    fleet_t *fleet;
    mr_members_config_fn_t fn;
    void *ctx;
};

typedef struct instance {
    char name[16];
    char address[32];
    mr_member_t member;
    mr_members_t members;
    mr_counters_t *counters;
    mr_platform_t *platform;
    mr_peer_t *peer;
    mr_config_store_t *store; /* NULL: a scripted peer */
    int changes;
    int64_t reply_version; /* version that a scripted peer reports */
    char reply_body[4096];
    char reply_head[1024];
    bool reply_bad_patch; /* invalid patch for fetches with a base */
    int full_fetches;     /* fetches without a base */
} instance_t;

struct fleet {
    struct event_base *base;
    platform_process_t process;
    instance_t instances[INSTANCES_MAX];
    size_t count;
    uint8_t public_key[MR_APPROVAL_PUBLIC_KEY_BYTES];
    uint8_t secret_key[MR_APPROVAL_SECRET_KEY_BYTES];
};

/* Fake membership. */

const mr_member_t *
mr_members_find(const mr_members_t *members, const char *name)
{
    const fleet_t *fleet = members->fleet;

    for (size_t i = 0; i < fleet->count; i++) {
        if (strcmp(fleet->instances[i].name, name) == 0) {
            return &fleet->instances[i].member;
        }
    }
    return NULL;
}

size_t
mr_members_usable(const mr_members_t *members, const char *key,
                  const char *data_centre, const mr_member_t **out, size_t max)
{
    const fleet_t *fleet = members->fleet;
    size_t count = 0;

    (void)key;
    for (size_t i = 0; i < fleet->count && count < max; i++) {
        const mr_member_t *member = &fleet->instances[i].member;
        if (member->state == MR_MEMBER_LIVE
            && strcmp(member->data_centre, data_centre) == 0) {
            out[count++] = member;
        }
    }
    return count;
}

void
mr_members_report_failure(mr_members_t *members, const char *name)
{
    (void)members;
    (void)name;
}

void
mr_members_set_config_version(mr_members_t *members, int64_t version)
{
    (void)members;
    (void)version;
}

void
mr_members_on_config_version(mr_members_t *members, mr_members_config_fn_t fn,
                             void *ctx)
{
    members->fn = fn;
    members->ctx = ctx;
}

/* Instances. */

static void
on_change(void *ctx, mr_config_t *config)
{
    instance_t *instance = ctx;

    (void)config;
    instance->changes++;
}

static void
on_scripted_fetch(void *ctx, mr_peer_request_t *request, const mr_msg_t *msg,
                  const char *from)
{
    instance_t *instance = ctx;
    mr_msg_t reply = {.type = MR_MSG_CONFIG_FETCH_REPLY};
    mr_msg_config_t *config = &reply.u.config;

    (void)from;
    config->version = instance->reply_version;
    config->head =
        (mr_bytes_t){instance->reply_head, strlen(instance->reply_head)};
    mr_msg_patch_part_t part = {.length = 1};
    config->base = msg->u.config_fetch.base;
    instance->full_fetches += config->base[0] == '\0';
    if (instance->reply_bad_patch && config->base[0] != '\0') {
        config->patch = &part;
        config->patch_count = 1;
    }
    else if (instance->reply_version > msg->u.config_fetch.after) {
        config->body =
            (mr_bytes_t){instance->reply_body, strlen(instance->reply_body)};
    }
    mr_peer_reply(request, &reply);
}

static instance_t *
add_peer(fleet_t *fleet, const char *data_centre)
{
    instance_t *instance = &fleet->instances[fleet->count];
    uint8_t secret[MR_PEER_SECRET_BYTES] = {1};

    memset(instance, 0, sizeof(*instance));
    snprintf(instance->name, sizeof(instance->name), "i%02zu", fleet->count);
    instance->members.fleet = fleet;
    instance->counters = mr_counters_create();
    mr_peer_options_t options = {.base = fleet->base,
                                 .counters = instance->counters,
                                 .name = instance->name,
                                 .data_centre = data_centre,
                                 .incarnation = 1,
                                 .secret = secret};
    instance->peer = mr_peer_create(&options);
    int port = mr_peer_listen(instance->peer, "127.0.0.1:0");
    ck_assert_int_gt(port, 0);
    snprintf(instance->address, sizeof(instance->address), "127.0.0.1:%d",
             port);
    instance->member = (mr_member_t){.name = instance->name,
                                     .data_centre = data_centre,
                                     .address = instance->address,
                                     .state = MR_MEMBER_LIVE};
    mr_peer_handle(instance->peer, MR_MSG_CONFIG_FETCH, on_scripted_fetch,
                   instance);
    fleet->count++;
    return instance;
}

static void
start_store(fleet_t *fleet, instance_t *instance, const char *platform)
{
    mr_platform_options_t platform_options = {.base = fleet->base,
                                              .counters = instance->counters,
                                              .address = platform,
                                              .timeout = PLATFORM_TIMEOUT_MS};

    instance->platform = mr_platform_create(&platform_options);
    mr_config_store_options_t options = {
        .base = fleet->base,
        .counters = instance->counters,
        .platform = instance->platform,
        .peer = instance->peer,
        .members = &instance->members,
        .data_centre = instance->member.data_centre,
        .name = instance->name,
        .approver_key = fleet->public_key,
    };
    instance->store = mr_config_store_create(&options);
    mr_config_store_subscribe(instance->store, on_change, instance);
}

static instance_t *
add_instance(fleet_t *fleet, const char *data_centre)
{
    instance_t *instance = add_peer(fleet, data_centre);

    start_store(fleet, instance, fleet->process.address);
    return instance;
}

static void
stop_instance(instance_t *instance)
{
    instance->member.state = MR_MEMBER_DEAD;
    mr_config_store_destroy(instance->store);
    mr_platform_destroy(instance->platform);
    mr_peer_destroy(instance->peer);
    mr_counters_destroy(instance->counters);
    instance->store = NULL;
    instance->platform = NULL;
    instance->peer = NULL;
    instance->counters = NULL;
}

static fleet_t *
start(size_t count)
{
    fleet_t *fleet = MR_NEW(fleet_t);
    uint8_t seed[crypto_sign_SEEDBYTES] = {7};

    ck_assert_int_ge(sodium_init(), 0);
    crypto_sign_seed_keypair(fleet->public_key, fleet->secret_key, seed);
    platform_process_start(&fleet->process);
    fleet->base = event_base_new();
    for (size_t i = 0; i < count; i++) {
        add_instance(fleet, "konya");
    }
    return fleet;
}

static void
stop(fleet_t *fleet)
{
    for (size_t i = 0; i < fleet->count; i++) {
        if (fleet->instances[i].peer != NULL) {
            stop_instance(&fleet->instances[i]);
        }
    }
    event_base_free(fleet->base);
    platform_process_stop(&fleet->process);
    free(fleet);
}

/* Configurations. */

/* Returns the canonical JSON of a version with one account, which has one key
 * for each letter of @keys; sets @hash. */
static char *
make_body(int64_t version, const char *keys, char *hash)
{
    char key_hash[65];
    json_t *list = json_array();

    for (const char *key = keys; *key != '\0'; key++) {
        memset(key_hash, 'a', 64);
        key_hash[64] = '\0';
        json_array_append_new(list, json_pack("{s:s%,s:s}", "id", key,
                                              (size_t)1, "hash", key_hash));
    }
    json_t *document = json_pack(
        "{s:i,s:I,s:s,s:[{s:s,s:s},{s:s,s:s}],s:[],s:[{s:s,s:i,s:i,s:o}],"
        "s:[]}",
        "format", 1, "version", (json_int_t)version, "deployment", "ovakoy",
        "data_centres", "name", "konya", "region", "ic-anadolu", "name",
        "aksaray", "region", "ic-anadolu", "services", "accounts", "name",
        "coop-1", "rate", 100, "burst", 50, "keys", list, "routes");
    char *text = mr_json_canonical(document);
    json_decref(document);
    mr_config_hash(text, strlen(text), hash);
    return text;
}

static mr_config_head_t
make_head(const fleet_t *fleet, int64_t version, const char *hash)
{
    mr_config_head_t head = {.version = version};

    strcpy(head.hash, hash);
    ck_assert(
        mr_approval_sign(fleet->secret_key, version, hash, head.approval));
    return head;
}

/* Writes the object of a version and returns an approved head that refers to
 * it. */
static mr_config_head_t
put_body(fleet_t *fleet, int64_t version, const char *keys)
{
    char hash[MR_CONFIG_HASH_HEX_BYTES];
    char name[128];
    char *body = make_body(version, keys, hash);

    snprintf(name, sizeof(name), "config/%s", hash);
    platform_process_put_object(&fleet->process, name, body);
    free(body);
    return make_head(fleet, version, hash);
}

static void
put_head(fleet_t *fleet, const mr_config_head_t *head)
{
    platform_process_put_row(&fleet->process, MR_CONFIG_ROW_HEAD,
                             mr_config_head_write(head));
}

static void
put_staged(fleet_t *fleet, const mr_config_head_t *head,
           mr_config_staged_state_t state)
{
    mr_config_staged_t staged = {.version = head->version, .state = state};

    strcpy(staged.hash, head->hash);
    strcpy(staged.approval, state == MR_CONFIG_APPROVED ? head->approval : "");
    strcpy(staged.proposer, "test");
    platform_process_put_row(&fleet->process, MR_CONFIG_ROW_STAGED,
                             mr_config_staged_write(&staged));
}

static void
accept_version(fleet_t *fleet, int64_t version, const char *keys)
{
    mr_config_head_t head = put_body(fleet, version, keys);

    put_head(fleet, &head);
}

#endif
