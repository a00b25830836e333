#ifndef MR_WIRE_EXECUTE_H
#define MR_WIRE_EXECUTE_H

/* Copying and initialization of EXECUTE messages and their replies. */

#include "common/error.h"
#include "wire/msg.h"

/** mr_execute_fn_t - receives the reply to an EXECUTE; called exactly once.
 * The reply is valid only during the call; its strings are never NULL. */
typedef void (*mr_execute_fn_t)(void *ctx,
                                const mr_msg_execute_reply_t *reply);

/** mr_execute_copy() - return a deep copy, to be freed with mr_execute_free().
 */
mr_msg_execute_t *mr_execute_copy(const mr_msg_execute_t *msg);
void mr_execute_free(mr_msg_execute_t *msg);

/** mr_execute_reply_copy() - return a deep copy, to be freed with
 * mr_execute_reply_free(). */
mr_msg_execute_reply_t *
mr_execute_reply_copy(const mr_msg_execute_reply_t *reply);
void mr_execute_reply_free(mr_msg_execute_reply_t *reply);

/** mr_execute_reply_init() - initialize a reply with @error and @message,
 * which is not copied; all other strings are empty. */
void mr_execute_reply_init(mr_msg_execute_reply_t *reply,
                           mr_error_kind_t error, const char *message);

#endif
