#ifndef MR_COMMON_EVENT_H
#define MR_COMMON_EVENT_H

/*
 * List of all log events. Each entry has a constant, the name in the log and
 * the fields that its lines may have in addition to time, level, instance and
 * event. docs/OPERATIONS.md describes them.
 */

#define MR_EVENTS(X)                                                          \
    /* Process start, stop and restarts */                                    \
    X(STARTED, "started", "listen peer admin data_centre")                    \
    X(READY, "ready", "admin")                                                \
    X(RELOAD, "reload", "effect")                                             \
    X(STOPPING, "stopping", "signal sessions")                                \
    X(STOPPED, "stopped", "drain_ms sessions")                                \
    X(LISTEN_FAILED, "listen_failed", "setting address")                      \
    X(DESCRIPTOR_LIMIT_LOW, "descriptor_limit_low", "limit wanted")           \
    X(CHILD_STARTED, "child_started", "child")                                \
    X(CHILD_FAILED, "child_failed", "child restarts")                         \
    X(CHILD_RESTART, "child_restart", "child backoff_ms")                     \
    X(DRAIN_DEADLINE, "drain_deadline", "child")                              \
    X(PROCESS_PAUSED, "process_paused", "ms")                                 \
    X(MEMORY_LEVEL, "memory_level", "from to in_use held limit gauges")       \
    X(CERTIFICATE_RELOADED, "certificate_reloaded", "file")                   \
    X(CERTIFICATE_REFUSED, "certificate_refused", "file reason")              \
    /* The platform */                                                        \
    X(DEPENDENCY_LOST, "dependency_lost", "name address")                     \
    X(DEPENDENCY_REGAINED, "dependency_regained", "name address")             \
    X(STORE_ANSWER_MALFORMED, "store_answer_malformed", "problem")            \
    X(STORE_RESTORED, "store_restored", "era before")                         \
    X(STORE_WRITE_REFUSED, "store_write_refused", "status")                   \
    X(PROMOTION_CALL_REFUSED, "promotion_call_refused", "status")             \
    /* Configuration of the HTTP daemon */                                    \
    X(CONFIG_STAGED, "config_staged", "version hash")                         \
    X(CONFIG_UNSTAGED, "config_unstaged", "version")                          \
    X(CONFIG_APPLIED, "config_applied", "version hash")                       \
    X(CONFIG_CONFIRMED, "config_confirmed", "version hash")                   \
    X(CONFIG_REFUSED, "config_refused", "reason version hash")                \
    X(CONFIG_PAUSED, "config_paused", "ms")                                   \
    /* Members, targets and limits of the HTTP daemon */                      \
    X(MEMBER_STATE, "member_state", "member from to")                         \
    X(MEMBER_REFUTED, "member_refuted", "version")                            \
    X(TARGET_OWNED, "target_owned", "target")                                 \
    X(TARGET_RELEASED, "target_released", "target")                           \
    X(TARGET_CONNECTED, "target_connected", "target")                         \
    X(TARGET_CONNECTION_FAILED, "target_connection_failed", "target")         \
    X(PROMOTED, "promoted",                                                   \
      "group term target reason decide_ms grant_ms promote_ms")               \
    X(LIMITER_LEASE_HELD, "limiter_lease_held", "shard epoch owner")          \
    X(LIMITER_LEASE_LOST, "limiter_lease_lost", "shard epoch owner")          \
    /* Desired state and registrations */                                     \
    X(CONFIGURATION_APPLIED, "configuration_applied",                         \
      "version before source")                                                \
    X(CONFIGURATION_MALFORMED, "configuration_malformed", "source problem")   \
    X(FEED_HISTORY_GONE, "feed_history_gone", "after")                        \
    X(CONFIGURATION_UNCONFIRMED, "configuration_unconfirmed",                 \
      "age_ms version known")                                                 \
    X(UPDATE_APPLIED, "update_applied", "source bytes took_ms")               \
    X(UPDATE_FAILED, "update_failed", "source reason received size")          \
    X(REGISTRATIONS_OUTDATED, "registrations_outdated", "count era")          \
    X(REGISTRATIONS_DIFFER, "registrations_differ", "source version")         \
    /* Databases */                                                           \
    X(DATABASE_FOUND, "database_found", "service id address role")            \
    X(DATABASE_RESTARTED, "database_restarted", "service id")                 \
    X(DATABASE_DRAINING, "database_draining", "service id draining")          \
    X(DATABASE_GONE, "database_gone", "service id missing_ms")                \
    X(DATABASE_FAILING, "database_failing", "service id")                     \
    X(DATABASE_ANSWERS, "database_answers", "service id after_ms")            \
    X(DATABASE_LEVEL, "database_level",                                       \
      "service id level before answer_ms unloaded_ms reason")                 \
    X(DATABASE_ANSWER_MALFORMED, "database_answer_malformed", "service id")   \
    X(SOCKET_FAILED, "socket_failed", "service id")                           \
    X(PRIMARY_REGISTERED, "primary_registered", "service id era version")     \
    X(PRIMARY_PROMOTED, "primary_promoted", "service id token")               \
    X(PRIMARY_WITHHELD, "primary_withheld", "service id")                     \
    X(PRIMARY_GRANTED, "primary_granted", "service")                          \
    X(PRIMARY_LEASE_GRANTED, "primary_lease_granted", "coordinator")          \
    X(PRIMARY_LEASE_LAPSED, "primary_lease_lapsed", "coordinator")            \
    X(PRIMARY_NOT_LEASED, "primary_not_leased", "id service")                 \
    X(SESSION_VALUE_REFUSED, "session_value_refused", "error detail")         \
    /* Instances */                                                           \
    X(FLEET_JOINED, "fleet_joined", "instances")                              \
    X(COORDINATOR_CHOSEN, "coordinator_chosen", "name instances")             \
    X(INSTANCE_LOST, "instance_lost", "name")                                 \
    X(INSTANCE_REGAINED, "instance_regained", "name")                         \
    X(INSTANCE_REMOVED, "instance_removed", "name silent_ms")                 \
    X(INSTANCE_NOT_REMOVED, "instance_not_removed", "error")                  \
    X(SECRET_REPLACED, "secret_replaced", "era")                              \
    X(INSTANCE_ADDRESS_MALFORMED, "instance_address_malformed",               \
      "name address")                                                         \
    X(PEER_OUTPUT_FULL, "peer_output_full", "name bytes bound frame")         \
    X(PEER_OUTPUT_DRAINED, "peer_output_drained", "name dropped ms")          \
    X(PEER_BUFFERS_PEAK, "peer_buffers_peak",                                 \
      "output input links name largest")                                      \
    /* Changes of primary */                                                  \
    X(PROMOTION_STARTED, "promotion_started", "service reason")               \
    X(PROMOTION_ORDERED, "promotion_ordered", "service id token planned")     \
    X(PROMOTION_ENDED, "promotion_ended",                                     \
      "service id token outcome planned took_ms")                             \
    X(PRIMARY_DEMOTED, "primary_demoted", "service id error")                 \
    X(REPLICA_RESUMED, "replica_resumed", "service id error")                 \
    X(STATUS_REFUSED, "status_refused", "service id error")                   \
    X(TOKEN_NOT_TAKEN, "token_not_taken", "service error")                    \
    /* Requests */                                                            \
    X(TOKEN_WAIT, "token_wait", "id account")                                 \
    X(REQUEST_REFUSED, "request_refused",                                     \
      "id account database error config retry_after_ms coordinated waited")   \
    X(SESSION_REFUSED, "session_refused", "error retry_after_ms")             \
    X(SESSION_SHED, "session_shed", "account database input output values")   \
    X(ATTEMPT_FAILED, "attempt_failed",                                       \
      "id target stage error tries waited_ms")                                \
    X(REQUEST_ENDED, "request_ended",                                         \
      "id account database mode target after sample_age_ms config tries "     \
      "offered error retry_after_ms took_ms")                                 \
    X(REQUEST_ABANDONED, "request_abandoned",                                 \
      "id account mode target stage tries offered waited_ms")                 \
    X(TRANSACTION_IDLE, "transaction_idle", "account database limit_ms")

#define MR_EVENT_MEMBER(constant, name, fields) MR_EVENT_##constant,
typedef enum mr_event { MR_EVENTS(MR_EVENT_MEMBER) MR_EVENT_COUNT } mr_event_t;
#undef MR_EVENT_MEMBER

/** mr_event_name() - return the name of @event in the log. */
const char *mr_event_name(mr_event_t event);

/** mr_event_fields() - return the names of the fields of @event, separated by
 * spaces. */
const char *mr_event_fields(mr_event_t event);

#endif
