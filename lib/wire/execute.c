#include "wire/execute.h"

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"

static char *
copy_string(const char *text)
{
    return mr_strdup(text == NULL ? "" : text);
}

static mr_bytes_t
copy_bytes(const mr_bytes_t *bytes)
{
    return (mr_bytes_t){mr_memdup(bytes->data, bytes->len), bytes->len};
}

mr_msg_execute_t *
mr_execute_copy(const mr_msg_execute_t *msg)
{
    mr_msg_execute_t *copy = MR_NEW(mr_msg_execute_t);

    *copy = *msg;
    copy->account = copy_string(msg->account);
    copy->group = copy_string(msg->group);
    copy->target = copy_string(msg->target);
    copy->request_id = copy_string(msg->request_id);
    copy->transaction = copy_string(msg->transaction);
    copy->statement = copy_bytes(&msg->statement);
    return copy;
}

void
mr_execute_free(mr_msg_execute_t *msg)
{
    if (msg == NULL) {
        return;
    }
    free((void *)msg->account);
    free((void *)msg->group);
    free((void *)msg->target);
    free((void *)msg->request_id);
    free((void *)msg->transaction);
    free((void *)msg->statement.data);
    free(msg);
}

mr_msg_execute_reply_t *
mr_execute_reply_copy(const mr_msg_execute_reply_t *reply)
{
    mr_msg_execute_reply_t *copy = MR_NEW(mr_msg_execute_reply_t);

    *copy = *reply;
    copy->message = copy_string(reply->message);
    copy->result = copy_bytes(&reply->result);
    copy->target = copy_string(reply->target);
    copy->covering_target = copy_string(reply->covering_target);
    copy->hint = copy_string(reply->hint);
    copy->transaction = copy_string(reply->transaction);
    copy->instance = copy_string(reply->instance);
    copy->address = copy_string(reply->address);
    return copy;
}

void
mr_execute_reply_free(mr_msg_execute_reply_t *reply)
{
    if (reply == NULL) {
        return;
    }
    free((void *)reply->message);
    free((void *)reply->result.data);
    free((void *)reply->target);
    free((void *)reply->covering_target);
    free((void *)reply->hint);
    free((void *)reply->transaction);
    free((void *)reply->instance);
    free((void *)reply->address);
    free(reply);
}

void
mr_execute_reply_init(mr_msg_execute_reply_t *reply, mr_error_kind_t error,
                      const char *message)
{
    memset(reply, 0, sizeof(*reply));
    reply->error = error;
    reply->message = message == NULL ? "" : message;
    reply->target = "";
    reply->covering_target = "";
    reply->hint = "";
    reply->transaction = "";
    reply->instance = "";
    reply->address = "";
}
