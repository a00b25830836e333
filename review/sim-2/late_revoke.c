/* The store rejects a third of the machines by not answering them, the
 * coordinator first. Just after, the operator withdraws a key. The other
 * machines, which the store serves, must refuse the key config_apply_ms after
 * the operator's ack. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "fleet.h"
#include "harness.h"

enum {
    CONFIG_APPLY_MS = 3000, /* bound of the site */
    STABLE_MS = 6000,       /* above stable_window_ms, 4,000 */
    REJECTED = 3,           /* of 9 machines: at most 0.35 */
    REJECTED_FOR_MS = 5000, /* at most 9,000 */
    ROUNDS = 6,
    READ_EVERY_MS = 25,
    RATE = 400,
};

/* In the order in which the daemons choose a coordinator. */
static const char *const names[] = {
    "edge-aksaray-1", "edge-aksaray-4", "edge-konya-4",
    "edge-konya-7",   "edge-aksaray-6", "edge-aksaray-2",
    "edge-aksaray-7", "edge-karaman-1", "edge-aksaray-3",
};

enum { MACHINES = sizeof(names) / sizeof(names[0]) };

typedef struct reader {
    client_t *client;
    const char *machine;
    char id[BACKEND_TEXT_BYTES];
    mr_ms_t sent_at; /* 0: no request is outstanding */
    mr_ms_t next_at;
} reader_t;

static int64_t version;

static void
put_keys(fleet_t *fleet, int round, bool with_key)
{
    char key[BACKEND_TEXT_BYTES];
    const char *keys[3] = {"control:kc"};

    snprintf(key, sizeof(key), "agents:ka%d", round);
    keys[1] = with_key ? key : NULL;
    version += 3;
    backend_put_config(fleet->backend, version, keys, RATE);
    record("op/config version %lld is acked%s%s", (long long)version,
           with_key ? ", with key of " : ", the key is withdrawn",
           with_key ? key : "");
}

static void
open_reader(fleet_t *fleet, reader_t *reader, int machine, int round)
{
    char key[BACKEND_TEXT_BYTES];
    char code[ANSWER_BYTES] = "";

    snprintf(key, sizeof(key), "ka%d", round);
    *reader = (reader_t){.machine = names[machine]};
    reader->client = client_open(
        fleet->base, &fleet->machines[machine].process, "bounded", key, code);
    ck_assert_msg(reader->client != NULL, "%s: OPEN refused: %s",
                  names[machine], code);
}

/* Handles an answer; returns whether it breaks the rule. */
static bool
judge(const fleet_t *fleet, reader_t *reader, mr_ms_t acked_at,
      const client_answer_t *answer)
{
    mr_ms_t late = reader->sent_at - acked_at;
    bool ran = backend_count_runs(fleet->backend, reader->id) > 0;
    bool broken = ran && late > CONFIG_APPLY_MS;

    if (late > CONFIG_APPLY_MS - 200) {
        record("%s %s sent %lld ms after the ack: %s, runs at databases: %d%s",
               reader->machine, reader->id, (long long)late,
               answer->closed ? "closed" : answer->text,
               backend_count_runs(fleet->backend, reader->id),
               broken ? "  CONFIG broken" : "");
    }
    reader->sent_at = 0;
    return broken;
}

/* One withdrawal; returns the number of requests that broke the rule. */
static int
play_round(fleet_t *fleet, int round)
{
    reader_t readers[MACHINES];
    int broken = 0;

    put_keys(fleet, round, true);
    harness_run_loop(fleet->base, STABLE_MS);
    for (int i = REJECTED; i < MACHINES; i++) {
        open_reader(fleet, &readers[i], i, round);
    }
    for (int i = 0; trouble() && i < REJECTED; i++) {
        fleet->machines[i].store.silent = true;
        fleet->machines[i].store.silenced++;
        record("the store stops answering %s", names[i]);
    }
    harness_run_loop(fleet->base, 20);
    put_keys(fleet, round, false);
    mr_ms_t acked_at = mr_clock_now(NULL);
    while (mr_clock_now(NULL) < acked_at + REJECTED_FOR_MS - 50) {
        for (int i = REJECTED; i < MACHINES; i++) {
            reader_t *reader = &readers[i];
            client_answer_t answer;
            mr_ms_t now = mr_clock_now(NULL);
            if (reader->sent_at != 0 && client_poll(reader->client, &answer)) {
                broken += judge(fleet, reader, acked_at, &answer);
            }
            if (reader->sent_at == 0 && now >= reader->next_at
                && !client_is_closed(reader->client)) {
                snprintf(reader->id, sizeof(reader->id), "%s",
                         client_send(reader->client, "READ 1a4"));
                reader->sent_at = now;
                reader->next_at = now + READ_EVERY_MS;
            }
        }
        harness_run_loop(fleet->base, 2);
    }
    for (int i = 0; i < REJECTED; i++) {
        fleet->machines[i].store.silent = false;
    }
    record("the store answers all machines; requests that broke the rule: %d",
           broken);
    for (int i = REJECTED; i < MACHINES; i++) {
        client_close(readers[i].client);
    }
    return broken;
}

int
main(void)
{
    fleet_t fleet = {.base = event_base_new()};
    int broken = 0;

    record_open();
    fleet.backend = backend_create(fleet.base);
    put_keys(&fleet, 0, true);
    for (int i = 0; i < MACHINES; i++) {
        fleet_add(&fleet, names[i]);
    }
    fleet_start(&fleet);
    ck_assert_msg(relay_metric(&fleet.machines[0].process, fleet.base,
                               "masticrelay_coordinator")
                      == 1,
                  "%s does not coordinate", names[0]);
    for (int i = 1; i <= ROUNDS; i++) {
        broken += play_round(&fleet, i);
    }
    fleet_stop(&fleet);
    const char *violation = backend_violation(fleet.backend);
    record("end: %d requests broke the rule; stand-ins saw: %s", broken,
           violation != NULL ? violation : "no other violation");
    return broken > 0 ? 1 : 0;
}
