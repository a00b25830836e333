/* Checks of the soak test on the records of clients and databases. */

#include <stdio.h>
#include <string.h>

#include "session_soak.h"
#include "world_internal.h"

enum {
    QUOTA_WINDOW_MS = 5000,
    QUOTA_TOLERANCE_PERCENT = 10,
    QUOTA_TOLERANCE_OPS = 20,
    CLOSE_GRACE_MS = 200, /* given by the users' requirements */
};

/** Log position of an acknowledged write. */
typedef struct commit {
    const soak_op_t *op;
    int64_t term;
    int64_t log_index;
} commit_t;

typedef struct checker {
    soak_t *soak;
    GHashTable *runs; /* statement id -> committed run, or else the last */
    GHashTable *statements; /* statement id -> soak_op_t */
    GHashTable *entries;    /* statement id -> backend_entry_t */
    GArray *commits;        /* commit_t of acknowledged writes in the log */
} checker_t;

static bool
is_write(const soak_op_t *op, const soak_statement_t *statement)
{
    return strncmp(statement->text, "WRITE", 5) == 0
           || (op->session % 2 == 0
               && strncmp(statement->text, "EXECUTE", 7) == 0);
}

static void
index_records(checker_t *checker)
{
    const backend_t *backend = checker->soak->backend;

    for (size_t i = 0; i < backend->run_count; i++) {
        backend_run_t *run = &backend->runs[i];
        const backend_run_t *before =
            g_hash_table_lookup(checker->runs, run->id);
        ck_assert_msg(before == NULL || !before->committed || !run->committed,
                      "TWICE: %s took effect twice", run->id);
        if (before == NULL || !before->committed) {
            g_hash_table_insert(checker->runs, run->id, run);
        }
    }
    for (int64_t i = 0; i < backend->log_count; i++) {
        backend_entry_t *entry = &backend->log[i];
        ck_assert_msg(!g_hash_table_contains(checker->entries, entry->id),
                      "TWICE: %s is in the log twice", entry->id);
        g_hash_table_insert(checker->entries, entry->id, entry);
    }
    for (guint i = 0; i < checker->soak->ops->len; i++) {
        soak_op_t *op = g_ptr_array_index(checker->soak->ops, i);
        for (int j = 0; j < op->sent; j++) {
            g_hash_table_insert(checker->statements, op->statements[j].id, op);
        }
    }
}

/* Every statement that a database ran was sent by a client, with the same
 * text, account and session values. */
static void
check_runs(checker_t *checker)
{
    const backend_t *backend = checker->soak->backend;

    for (size_t i = 0; i < backend->run_count; i++) {
        const backend_run_t *run = &backend->runs[i];
        const soak_op_t *op =
            g_hash_table_lookup(checker->statements, run->id);
        ck_assert_msg(op != NULL, "UNASKED: no client sent %s %s", run->id,
                      run->text);
        ck_assert_msg(strcmp(run->account, soak_accounts[op->account]) == 0,
                      "UNASKED: %s ran for account %s", run->id, run->account);
        ck_assert_msg(strcmp(run->values, op->values) == 0,
                      "PINNED: %s with values \"%s\", not \"%s\"", run->id,
                      run->values, op->values);
        for (int j = 0; j < op->sent; j++) {
            if (strcmp(op->statements[j].id, run->id) == 0) {
                ck_assert_msg(strcmp(op->statements[j].text, run->text) == 0,
                              "UNASKED: %s changed to %s", run->id, run->text);
            }
        }
    }
}

/* Prints the lines of a log that contain one of @texts, which ends with NULL,
 * up to the first line that contains @last. */
static void
print_lines(const relay_process_t *relay, const char *const *texts,
            const char *last)
{
    FILE *file = fopen(relay->log, "r");
    char line[2048];
    bool over = false;

    while (file != NULL && !over && fgets(line, sizeof(line), file)) {
        bool printed = over = last != NULL && strstr(line, last) != NULL;
        for (int i = 0; texts[i] != NULL && !printed; i++) {
            printed = strstr(line, texts[i]) != NULL;
        }
        if (printed) {
            printf("  %s", line);
        }
    }
    if (file != NULL) {
        fclose(file);
    }
}

/* Prints what the instance that ran statement @id knew of the primaries from
 * its start on, and the promotions by all instances. */
static void
print_primary_history(const soak_t *soak, const char *id)
{
    static const char *const own_events[] = {
        "event=started ",          "event=primary_registered ",
        "event=primary_promoted ", "event=primary_withheld ",
        "event=primary_granted ",  "event=primary_lease_",
        "event=coordinator_",      NULL};
    static const char *const order_events[] = {"event=promotion_ordered ",
                                               "event=promotion_ended ", NULL};
    char end[BACKEND_TEXT_BYTES + 64];

    snprintf(end, sizeof(end), "event=request_ended id=%s ", id);
    for (int i = 0; i < SOAK_RELAYS; i++) {
        if (relay_log_contains(&soak->relays[i], end, "")) {
            printf("%s ran %s; its log:\n", soak->relays[i].name, id);
            print_lines(&soak->relays[i], own_events, end);
        }
    }
    printf("promotions:\n");
    for (int i = 0; i < SOAK_RELAYS; i++) {
        print_lines(&soak->relays[i], order_events, NULL);
    }
}

/* An acknowledged write is committed; a refused or rolled-back one is not. */
static void
check_writes(checker_t *checker, soak_op_t *op)
{
    bool must_not_commit = op->outcome == SOAK_REFUSED
                           || op->outcome == SOAK_ROLLED_BACK
                           || (op->transaction && !op->commit_sent);

    for (int i = 0; i < op->sent; i++) {
        const soak_statement_t *statement = &op->statements[i];
        const backend_run_t *run =
            g_hash_table_lookup(checker->runs, statement->id);
        bool committed = run != NULL && run->committed;
        if (!is_write(op, statement)) {
            continue;
        }
        ck_assert_msg(!must_not_commit || !committed,
                      "REFUSED: %s was committed, outcome %d, commit sent %d",
                      statement->id, op->outcome, op->commit_sent);
        if (op->outcome != SOAK_SUCCEEDED) {
            continue;
        }
        ck_assert_msg(committed, "LOST: %s was acknowledged but not committed",
                      statement->id);
        if (run->former) {
            print_primary_history(checker->soak, statement->id);
        }
        ck_assert_msg(!run->former,
                      "ONE: %s was committed by a former primary and "
                      "acknowledged",
                      statement->id);
        const backend_entry_t *entry =
            g_hash_table_lookup(checker->entries, statement->id);
        if (entry != NULL) {
            commit_t commit = {op, run->term, run->log_index};
            g_array_append_val(checker->commits, commit);
        }
    }
}

/* Planned work must not close a connection that waits for an answer. A
 * statement that was sent while the session was being closed is not lost
 * unless a database ran it. */
static void
check_planned_work(checker_t *checker, const soak_op_t *op)
{
    const soak_statement_t *last = &op->statements[op->sent - 1];

    if (op->cut_after < 0) {
        return;
    }
    ck_assert_msg(op->cut_after <= CLOSE_GRACE_MS
                      && !g_hash_table_contains(checker->runs, last->id),
                  "LOST: planned work cut off %s \"%s\" %lld ms after "
                  "it was sent",
                  last->id, last->text, (long long)op->cut_after);
}

/* A read sees every commit that its route guarantees. Commits that a promotion
 * discarded are no longer in the log and not checked. */
static void
check_reads(checker_t *checker, const soak_op_t *op)
{
    mr_ms_t age = soak_max_ages[op->route];

    for (int i = 0; i < op->sent; i++) {
        const soak_statement_t *statement = &op->statements[i];
        const backend_run_t *run =
            g_hash_table_lookup(checker->runs, statement->id);
        if (run == NULL || !statement->complete || is_write(op, statement)
            || strcmp(statement->text, "COMMIT") == 0) {
            continue;
        }
        for (guint j = 0; j < checker->commits->len; j++) {
            const commit_t *commit =
                &g_array_index(checker->commits, commit_t, j);
            bool own = op->route == 2 && commit->op->session == op->session;
            if (commit->op->ended_at >= op->sent_at - (own ? 0 : age)) {
                continue;
            }
            bool covers = run->term > commit->term
                          || (run->term == commit->term
                              && run->log_index >= commit->log_index);
            if (!covers) {
                print_primary_history(checker->soak, statement->id);
            }
            ck_assert_msg(covers,
                          "STALE: %s on route %s ran at %lld.%lld, lacks "
                          "%lld.%lld, acknowledged %lld ms earlier",
                          statement->id, soak_databases[op->route],
                          (long long)run->term, (long long)run->log_index,
                          (long long)commit->term,
                          (long long)commit->log_index,
                          (long long)(op->sent_at - commit->op->ended_at));
        }
    }
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
    mr_ms_t left = *(const mr_ms_t *)a;
    mr_ms_t right = *(const mr_ms_t *)b;

    return left < right ? -1 : left > right;
}

/* In any window, no account runs more operations than its rate and burst
 * allow, plus the tolerance. */
static void
check_quota(checker_t *checker, int account)
{
    GArray *times = g_array_new(FALSE, FALSE, sizeof(mr_ms_t));
    const guint max_ops = (SOAK_RATE * QUOTA_WINDOW_MS / 1000 + SOAK_RATE)
                              * (100 + QUOTA_TOLERANCE_PERCENT) / 100
                          + QUOTA_TOLERANCE_OPS;

    for (guint i = 0; i < checker->soak->ops->len; i++) {
        const soak_op_t *op = g_ptr_array_index(checker->soak->ops, i);
        for (int j = 0; j < op->sent && op->account == account; j++) {
            const backend_run_t *run =
                g_hash_table_lookup(checker->runs, op->statements[j].id);
            if (run != NULL) {
                g_array_append_val(times, run->ran_at);
                break;
            }
        }
    }
    g_array_sort(times, compare_times);
    for (guint i = max_ops; i < times->len; i++) {
        mr_ms_t span = g_array_index(times, mr_ms_t, i)
                       - g_array_index(times, mr_ms_t, i - max_ops);
        ck_assert_msg(span > QUOTA_WINDOW_MS,
                      "QUOTA: %u operations of %s in %lld ms", max_ops + 1,
                      soak_accounts[account], (long long)span);
    }
    printf("%u operations of %s ran\n", times->len, soak_accounts[account]);
    g_array_free(times, TRUE);
}

void
soak_check(soak_t *soak)
{
    checker_t checker = {
        .soak = soak,
        .runs = g_hash_table_new(g_str_hash, g_str_equal),
        .statements = g_hash_table_new(g_str_hash, g_str_equal),
        .entries = g_hash_table_new(g_str_hash, g_str_equal),
        .commits = g_array_new(FALSE, FALSE, sizeof(commit_t)),
    };

    ck_assert_msg(backend_violation(soak->backend) == NULL, "%s",
                  backend_violation(soak->backend));
    index_records(&checker);
    check_runs(&checker);
    for (guint i = 0; i < soak->ops->len; i++) {
        soak_op_t *op = g_ptr_array_index(soak->ops, i);
        check_writes(&checker, op);
        check_planned_work(&checker, op);
    }
    for (guint i = 0; i < soak->ops->len; i++) {
        check_reads(&checker, g_ptr_array_index(soak->ops, i));
    }
    for (int i = 0; i < 3; i++) {
        check_quota(&checker, i);
    }
    g_hash_table_destroy(checker.runs);
    g_hash_table_destroy(checker.statements);
    g_hash_table_destroy(checker.entries);
    g_array_free(checker.commits, TRUE);
}
