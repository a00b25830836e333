/* Clients of the soak: sessions with a value and a prepared statement, single
 * statements and transactions, some of which are rolled back. */

#include <stdio.h>
#include <string.h>

#include "common/mem.h"
#include "session_soak.h"

enum {
    ANSWER_TIMEOUT_MS = 6000, /* longer than any time limit of the relay */
    PAUSE_MAX_MS = 150,
    EAGER_PAUSE_MAX_MS = 10, /* of the account that exceeds its rate */
    EAGER_ACCOUNT = 2,
    RECONNECT_MS = 30,
    SETUP_STATEMENTS = 2,
    SESSION_OPS = 25, /* about, before a session ends by itself */
};

const char *const soak_accounts[] = {"coop", "agent", "broker"};
const char *const soak_keys[] = {"key-1", "key-2", "key-3"};
const char *const soak_databases[] = {"primary", "bounded", "own"};
const mr_ms_t soak_ages[] = {0, 1500, 2500};

int
soak_below(soak_t *soak, int limit)
{
    return g_rand_int_range(soak->random, 0, limit);
}

static bool
is_promise(const client_answer_t *answer)
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
    switch (soak_below(soak, 6)) {
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
make_op(soak_t *soak, const soak_client_t *client)
{
    soak_op_t *op = MR_NEW(soak_op_t);

    op->account = client->account;
    op->route = client->route;
    op->session = client->session;
    op->cut_after = -1;
    snprintf(op->values, sizeof(op->values), "who %llu;",
             (unsigned long long)client->session);
    op->transaction = soak_below(soak, 5) == 0;
    if (!op->transaction) {
        add_statement(op, true, random_statement(soak, client));
        return op;
    }
    add_statement(op, false, "BEGIN");
    for (int i = 1 + soak_below(soak, SOAK_STATEMENTS_MAX - 3); i > 0; i--) {
        add_statement(op, true, random_statement(soak, client));
    }
    bool commits = soak_below(soak, 5) > 0;
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
    client->due = mr_clock_now(NULL) + pause;
}

/* An instance that new sessions are given to, as by a balancer. */
static int
choose_relay(soak_t *soak)
{
    int relay = soak_below(soak, SOAK_RELAYS);

    for (int i = 0; i < SOAK_RELAYS; i++) {
        int candidate = (relay + i) % SOAK_RELAYS;
        if (soak->relays[candidate].pid != 0 && !soak->leaving[candidate]) {
            return candidate;
        }
    }
    return relay;
}

static void
open_session(soak_t *soak, soak_client_t *client)
{
    client->relay = choose_relay(soak);
    client->route = soak_below(soak, 3);
    client->session = ++soak->last_session;
    client->opening = true;
    client->setup = 0;
    client->sent_at = mr_clock_now(NULL);
    client->conn = client_connect(soak->base, &soak->relays[client->relay],
                                  soak_databases[client->route],
                                  soak_keys[client->account]);
}

static void
send_setup(soak_client_t *client)
{
    char text[BACKEND_TEXT_BYTES];

    if (client->setup == 0) {
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
rest(soak_t *soak, soak_client_t *client)
{
    bool eager = client->account == EAGER_ACCOUNT;

    client->due =
        client->sent_at
        + soak_below(soak, eager ? EAGER_PAUSE_MAX_MS : PAUSE_MAX_MS);
    if (soak_below(soak, SESSION_OPS) == 0) {
        close_client(client, 0);
    }
}

/* The answer to the last statement of the operation that was sent. */
static void
take_answer(soak_t *soak, soak_client_t *client, const client_answer_t *answer)
{
    soak_op_t *op = client->op;
    soak_statement_t *statement = &op->statements[op->sent - 1];
    char digest[ANSWER_BYTES];

    if (!answer->complete) {
        end_op(client, is_promise(answer) ? SOAK_REFUSED : SOAK_UNKNOWN);
        if (answer->state != 'I') {
            close_client(client, RECONNECT_MS); /* which rolls back */
        }
        else {
            rest(soak, client);
        }
        return;
    }
    statement->complete = true;
    snprintf(digest, sizeof(digest), "digest-of-%s", statement->id);
    if (statement->forwarded) {
        ck_assert_msg(strcmp(answer->text, digest) == 0,
                      "MIXED: %s was answered with %s", statement->id,
                      answer->text);
    }
    if (op->sent < op->count) {
        send_next(client);
        return;
    }
    end_op(client, strcmp(statement->text, "ROLLBACK") == 0 ? SOAK_ENDED
                                                            : SOAK_SUCCEEDED);
    rest(soak, client);
}

static void
on_answer(soak_t *soak, soak_client_t *client, const client_answer_t *answer)
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
        take_answer(soak, client, answer);
    }
    else if (!answer->complete) {
        close_client(client, RECONNECT_MS);
    }
    else if (++client->setup < SETUP_STATEMENTS) {
        send_setup(client);
    }
    else {
        rest(soak, client);
    }
}

static bool
is_waiting(const soak_client_t *client)
{
    return client->opening || client->op != NULL
           || client->setup < SETUP_STATEMENTS;
}

static void
step_client(soak_t *soak, soak_client_t *client, mr_ms_t now)
{
    client_answer_t answer;

    if (client->conn == NULL) {
        if (now >= client->due && !soak->calm) {
            open_session(soak, client);
        }
        return;
    }
    if (client_poll(client->conn, &answer)) {
        on_answer(soak, client, &answer);
        return;
    }
    if (is_waiting(client)) {
        if (now - client->sent_at > ANSWER_TIMEOUT_MS) {
            close_client(client, RECONNECT_MS);
        }
        return;
    }
    if (now >= client->due && !soak->calm) {
        client->op = make_op(soak, client);
        g_ptr_array_add(soak->ops, client->op);
        send_next(client);
    }
}

void
soak_clients_step(soak_t *soak)
{
    mr_ms_t now = mr_clock_now(NULL);

    for (int i = 0; i < SOAK_CLIENTS; i++) {
        soak->clients[i].account = i % 3;
        step_client(soak, &soak->clients[i], now);
    }
}

void
soak_clients_close(soak_t *soak)
{
    for (int i = 0; i < SOAK_CLIENTS; i++) {
        if (soak->clients[i].conn != NULL) {
            close_client(&soak->clients[i], 0);
        }
    }
}
