#ifndef MR_WIRE_EXECUTE_H
#define MR_WIRE_EXECUTE_H

/* Helpers for EXECUTE messages, which several modules pass on. */

#include "common/error.h"
#include "wire/msg.h"

/** mr_execute_fn_t - the end of an EXECUTE; called exactly once. The reply is
 * valid during the call; its strings are never NULL. */
typedef void (*mr_execute_fn_t)(void *ctx,
                                const mr_msg_execute_reply_t *reply);

/** mr_execute_copy() - deep copy; free it with mr_execute_free(). */
mr_msg_execute_t *mr_execute_copy(const mr_msg_execute_t *msg);
void mr_execute_free(mr_msg_execute_t *msg);

/** mr_execute_reply_copy() - deep copy; free it with
 * mr_execute_reply_free(). */
mr_msg_execute_reply_t *
mr_execute_reply_copy(const mr_msg_execute_reply_t *reply);
void mr_execute_reply_free(mr_msg_execute_reply_t *reply);

/** mr_execute_reply_init() - a reply of @error with empty strings. */
void mr_execute_reply_init(mr_msg_execute_reply_t *reply,
                           mr_error_kind_t error, const char *message);

#endif
