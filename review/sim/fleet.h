#ifndef REVIEW_FLEET_H
#define REVIEW_FLEET_H

/*
 * A small deployment on loopback addresses: the stand-ins of world.h and three
 * daemons, started with the command of deploy/system.toml; and sessions of
 * clients.
 */

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

enum { DAEMONS = 3, TEXT = 256 };

typedef struct daemon_process {
    pid_t pid;
    int access;
    int ready;
    int peer;
    bool ended; /* by itself, or by a signal of the scenario */
    int status; /* as from waitpid() */
} daemon_process_t;

extern daemon_process_t daemons[DAEMONS];

/** fleet_start() - start everything and wait until all daemons are ready.
 * Exits with 2 if that fails. @settings: commands to the stand-ins before the
 * first desired state, ended by NULL. */
void fleet_start(const char *record, const char *const *settings);
/** fleet_stop() - end all processes that were started. */
void fleet_stop(void);
/** fleet_check() - note which daemons have ended; returns their number. */
int fleet_check(void);
/** control() - send a command to the stand-ins; returns their answer. */
const char *control(const char *fmt, ...)
    __attribute__((format(printf, 1, 2)));
void wait_ms(int64_t ms);

/** Answer to one statement. */
typedef struct reply {
    bool complete; /* READY arrived */
    bool success;  /* COMPLETE instead of ERROR */
    char code[TEXT];
    char state;
    int64_t sent_at;
    int64_t ended_at;
} reply_t;

/** Session of a client. */
typedef struct session {
    int fd;
    char buffer[8192];
    int length;
    char name[32];
    int count; /* statements sent */
    char last_id[64];
} session_t;

bool session_open(session_t *session, const char *name, int daemon,
                  const char *database);
/** session_query() - send one statement with a new id and read its answer. */
reply_t session_query(session_t *session, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void session_close(session_t *session);

#endif
