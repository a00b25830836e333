#ifndef MR_TESTS_SESSION_CLIENT_H
#define MR_TESTS_SESSION_CLIENT_H

/* Session daemons as processes, and clients of the line protocol that run the
 * test's loop while they wait. */

#include <event2/event.h>
#include <stdbool.h>
#include <sys/types.h>

#include "world.h"

enum { ANSWER_BYTES = 512 };

/** One daemon process. */
typedef struct relay_process {
    pid_t pid; /* 0: not running */
    char name[BACKEND_TEXT_BYTES];
    char listen[BACKEND_TEXT_BYTES];
    char ready[BACKEND_TEXT_BYTES];
    char peer[BACKEND_TEXT_BYTES];
    char log[256];
    char front[BACKEND_TEXT_BYTES]; /* that clients connect to */
    char redirect[512];             /* see standins/redirect.c; empty: none */
    mr_ms_t wall_shift;             /* of its time of day; with a redirect */
    int store; /* index of the store's address that it uses */
} relay_process_t;

/** relay_prepare() - choose addresses; relay_start() starts it as well. */
void relay_prepare(relay_process_t *relay, int index);
void relay_start(relay_process_t *relay, const backend_t *backend, int index);
/** relay_restart() - with the same addresses. */
void relay_restart(relay_process_t *relay, const backend_t *backend);
/** relay_wait_ready() - until its probe is answered with 200. */
bool relay_wait_ready(relay_process_t *relay, struct event_base *base,
                      mr_ms_t max);
bool relay_is_ready(relay_process_t *relay, struct event_base *base);
void relay_signal(relay_process_t *relay, int number);
void relay_kill(relay_process_t *relay);
/** relay_wait_exit() - exit status; -1: it still runs. */
int relay_wait_exit(relay_process_t *relay, struct event_base *base,
                    mr_ms_t max);
/** relay_logged() - whether its log holds a line with both texts. */
bool relay_logged(const relay_process_t *relay, const char *first,
                  const char *second);

typedef struct client client_t;

/** What a statement was answered with. */
typedef struct client_answer {
    bool closed;             /* without an answer */
    bool complete;           /* success */
    char text[ANSWER_BYTES]; /* digest, or the error's code and text */
    char state;
} client_answer_t;

/** client_open() - NULL when the session was refused; @code receives the
 * error, or "closed". */
client_t *client_open(struct event_base *base, const relay_process_t *relay,
                      const char *database, const char *key, char *code);
/** client_connect() - begin to open a session; client_poll() says when it is
 * answered. */
client_t *client_connect(struct event_base *base, const relay_process_t *relay,
                         const char *database, const char *key);
void client_close(client_t *client);

/** client_start() - send a statement with a fresh id. */
const char *client_start(client_t *client, const char *statement);
/** client_poll() - the answer, if it is there. */
bool client_poll(client_t *client, client_answer_t *answer);
/** client_run() - send a statement and wait for its answer; @id receives the
 * id that it had, or NULL. */
client_answer_t client_run(client_t *client, const char *statement, char *id);
bool client_is_closed(const client_t *client);
/** client_id() - id of the last statement. */
const char *client_id(const client_t *client);

/** answer_is() - whether the error has @code. */
bool answer_is(const client_answer_t *answer, const char *code);

#endif
