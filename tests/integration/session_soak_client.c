/* Clients of the soak test: sessions with a session value and a prepared
 * statement that run single statements and transactions, some of which they
 * roll back. */

#include <stdio.h>
#include <string.h>

#include "common/mem.h"
#include "session_soak.h"

enum {
    ANSWER_TIMEOUT_MS = 6000, /* longer than any timeout of the relay */
    PAUSE_MAX_MS = 150,
    OVER_RATE_PAUSE_MAX_MS = 10, /* of the account that exceeds its rate */
    OVER_RATE_ACCOUNT = 2,
    RECONNECT_MS = 30,
    SETUP_STATEMENTS = 2,
    SESSION_OPS = 25, /* mean number of operations in a session */
};

const char *const soak_accounts[] = {"coop", "agent", "broker"};
const char *const soak_keys[] = {"key-1", "key-2", "key-3"};
const char *const soak_databases[] = {"primary", "bounded", "own"};
const mr_ms_t soak_max_ages[] = {0, 1500, 2500};

int
soak_random(soak_t *soak, int limit)
{
    return g_rand_int_range(soak->random, 0, limit);
}

static bool
guarantees_no_effect(const client_answer_t *answer)
{
    static const char *const codes[] = {"BUSY",     "ABORTED",   "LAGGING",
                                        "READONLY", "MISROUTED", "OVERLOAD"};

    for (size_t i = 0; i < G_N_ELEMENTS(codes); i++) {
        if (answer_is_error(answer, codes[i])) {
            return true;
        }
    }
    return false;
}

static void
add_statement(soak_op_t *op, bool forwarded, const char *text)
{
    soak_statement_t *statement = &op->statements[op->count++];

    statement->forwarded = forwarded;
    snprintf(statement->text, sizeof(statement->text), "%s", text);
}

static const char *
random_statement(soak_t *soak, const soak_client_t *client)
{
    switch (soak_random(soak, 6)) {
    case 0:
        return "WRITE item data";
    case 1:
        return client->session % 2 == 0 ? "EXECUTE s item data"
                                        : "EXECUTE s item";
    default:
        return "READ item";
    }
}

static soak_op_t *
create_op(soak_t *soak, const soak_client_t *client)
{
    soak_op_t *op = MR_NEW(soak_op_t);

    op->account = client->account;
    op->route = client->route;
    op->session = client->session;
    op->cut_after = -1;
    snprintf(op->values, sizeof(op->values), "who %llu;",
             (unsigned long long)client->session);
    op->transaction = soak_random(soak, 5) == 0;
    if (!op->transaction) {
        add_statement(op, true, random_statement(soak, client));
        return op;
    }
    add_statement(op, false, "BEGIN");
    for (int i = 1 + soak_random(soak, SOAK_STATEMENTS_MAX - 3); i > 0; i--) {
        add_statement(op, true, random_statement(soak, client));
    }
    bool commits = soak_random(soak, 5) > 0;
    add_statement(op, commits, commits ? "COMMIT" : "ROLLBACK");
    return op;
}

static void
end_op(soak_client_t *client, soak_outcome_t outcome)
{
    client->op->outcome = outcome;
    client->op->ended_at = mr_clock_now(NULL);
    client->op = NULL;
}

static void
close_client(soak_client_t *client, mr_ms_t pause)
{
    if (client->op != NULL) {
        end_op(client, SOAK_UNKNOWN);
    }
    client_close(client->conn);
    client->conn = NULL;
    client->next_step_at = mr_clock_now(NULL) + pause;
}

/* Chooses an instance that accepts new sessions, as a load balancer does. */
static int
choose_relay(soak_t *soak)
{
    int relay = soak_random(soak, SOAK_RELAYS);

    for (int i = 0; i < SOAK_RELAYS; i++) {
        int candidate = (relay + i) % SOAK_RELAYS;
        if (soak->relays[candidate].pid != 0 && !soak->stopping[candidate]) {
            return candidate;
        }
    }
    return relay;
}

static void
open_session(soak_t *soak, soak_client_t *client)
{
    client->relay = choose_relay(soak);
    client->route = soak_random(soak, 3);
    client->session = ++soak->last_session;
    client->opening = true;
    client->setup_answered = 0;
    client->sent_at = mr_clock_now(NULL);
    client->conn = client_connect(soak->base, &soak->relays[client->relay],
                                  soak_databases[client->route],
                                  soak_keys[client->account]);
}

static void
send_setup(soak_client_t *client)
{
    char text[BACKEND_TEXT_BYTES];

    if (client->setup_answered == 0) {
        snprintf(text, sizeof(text), "SET who %llu",
                 (unsigned long long)client->session);
    }
    else {
        snprintf(text, sizeof(text), "PREPARE s %s shape",
                 client->session % 2 == 0 ? "WRITE" : "READ");
    }
    client->sent_at = mr_clock_now(NULL);
    client_send(client->conn, text);
}

static void
send_next(soak_client_t *client)
{
    soak_op_t *op = client->op;
    soak_statement_t *statement = &op->statements[op->sent];

    client->sent_at = mr_clock_now(NULL);
    if (op->sent == 0) {
        op->sent_at = client->sent_at;
    }
    op->commit_sent |= strcmp(statement->text, "COMMIT") == 0;
    snprintf(statement->id, sizeof(statement->id), "%s",
             client_send(client->conn, statement->text));
    op->sent++;
}

static void
schedule_next_op(soak_t *soak, soak_client_t *client)
{
    bool over_rate = client->account == OVER_RATE_ACCOUNT;

    client->next_step_at =
        client->sent_at
        + soak_random(soak, over_rate ? OVER_RATE_PAUSE_MAX_MS : PAUSE_MAX_MS);
    if (soak_random(soak, SESSION_OPS) == 0) {
        close_client(client, 0);
    }
}

/* Handles the answer to the last statement sent. */
static void
handle_op_answer(soak_t *soak, soak_client_t *client,
                 const client_answer_t *answer)
{
    soak_op_t *op = client->op;
    soak_statement_t *statement = &op->statements[op->sent - 1];
    char digest[ANSWER_BYTES];

    if (!answer->complete) {
        end_op(client,
               guarantees_no_effect(answer) ? SOAK_REFUSED : SOAK_UNKNOWN);
        if (answer->state != 'I') {
            close_client(client, RECONNECT_MS); /* rolls back */
        }
        else {
            schedule_next_op(soak, client);
        }
        return;
    }
    statement->complete = true;
    snprintf(digest, sizeof(digest), "digest-of-%s", statement->id);
    if (statement->forwarded) {
        ck_assert_msg(strcmp(answer->text, digest) == 0,
                      "MIXED: %s got the answer %s", statement->id,
                      answer->text);
    }
    if (op->sent < op->count) {
        send_next(client);
        return;
    }
    end_op(client, strcmp(statement->text, "ROLLBACK") == 0 ? SOAK_ROLLED_BACK
                                                            : SOAK_SUCCEEDED);
    schedule_next_op(soak, client);
}

static void
handle_answer(soak_t *soak, soak_client_t *client,
              const client_answer_t *answer)
{
    if (answer->closed) {
        if (client->op != NULL && soak->planned_only) {
            client->op->cut_after = mr_clock_now(NULL) - client->sent_at;
        }
        close_client(client, RECONNECT_MS);
    }
    else if (client->opening) {
        client->opening = false;
        if (answer->text[0] != '\0') {
            close_client(client, RECONNECT_MS);
            return;
        }
        send_setup(client);
    }
    else if (client->op != NULL) {
        handle_op_answer(soak, client, answer);
    }
    else if (!answer->complete) {
        close_client(client, RECONNECT_MS);
    }
    else if (++client->setup_answered < SETUP_STATEMENTS) {
        send_setup(client);
    }
    else {
        schedule_next_op(soak, client);
    }
}

static bool
awaits_answer(const soak_client_t *client)
{
    return client->opening || client->op != NULL
           || client->setup_answered < SETUP_STATEMENTS;
}

static void
update_client(soak_t *soak, soak_client_t *client, mr_ms_t now)
{
    client_answer_t answer;

    if (client->conn == NULL) {
        if (now >= client->next_step_at && !soak->quiescing) {
            open_session(soak, client);
        }
        return;
    }
    if (client_poll(client->conn, &answer)) {
        handle_answer(soak, client, &answer);
        return;
    }
    if (awaits_answer(client)) {
        if (now - client->sent_at > ANSWER_TIMEOUT_MS) {
            close_client(client, RECONNECT_MS);
        }
        return;
    }
    if (now >= client->next_step_at && !soak->quiescing) {
        client->op = create_op(soak, client);
        g_ptr_array_add(soak->ops, client->op);
        send_next(client);
    }
}

void
soak_update_clients(soak_t *soak)
{
    mr_ms_t now = mr_clock_now(NULL);

    for (int i = 0; i < SOAK_CLIENTS; i++) {
        soak->clients[i].account = i % 3;
        update_client(soak, &soak->clients[i], now);
    }
}

void
soak_close_clients(soak_t *soak)
{
    for (int i = 0; i < SOAK_CLIENTS; i++) {
        if (soak->clients[i].conn != NULL) {
            close_client(&soak->clients[i], 0);
        }
    }
}
