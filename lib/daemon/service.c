#include "daemon/service.h"

#include <stdlib.h>

#include "common/list.h"
#include "common/mem.h"

struct mr_service {
    mr_service_options_t options;
    mr_reqid_t *reqid;
    mr_list_t admissions;
};

/** A request with an id that waits for a rate limit token of its account. */
typedef struct admission {
    mr_list_t link;
    mr_limit_wait_t *wait;
    mr_service_t *service;
    mr_msg_execute_t *msg;
    mr_execute_fn_t fn;
    void *ctx;
    mr_ms_t deadline;
} admission_t;

static void
on_executed(void *ctx, const mr_msg_execute_reply_t *reply)
{
    mr_msg_t msg = {.type = MR_MSG_EXECUTE_REPLY};

    msg.u.execute_reply = *reply;
    mr_peer_reply(ctx, &msg);
}

static void
on_execute(void *ctx, mr_peer_request_t *request, const mr_msg_t *msg,
           const char *from)
{
    mr_service_t *service = ctx;
    mr_msg_execute_t execute = msg->u.execute;

    (void)from;
    if (request == NULL) {
        return;
    }
    /* Delays of the link and pauses of this process count against the
     * deadline: the caller may have got its answer long ago, and a late write
     * would overwrite newer ones. */
    execute.deadline_ms -= msg->late_ms;
    if (execute.deadline_ms <= 0) {
        mr_msg_execute_reply_t reply;
        mr_execute_reply_init(&reply, MR_ERR_DEADLINE_EXCEEDED,
                              "the request arrived too late");
        on_executed(request, &reply);
    }
    else if (execute.request_id[0] != '\0') {
        mr_reqid_execute(service->reqid, &execute, on_executed, request);
    }
    else {
        mr_owner_execute(service->options.owner, &execute, on_executed,
                         request);
    }
}

static void
free_admission(admission_t *admission)
{
    mr_list_remove(&admission->link);
    mr_execute_free(admission->msg);
    free(admission);
}

static void
on_admitted(void *ctx, mr_error_kind_t error)
{
    admission_t *admission = ctx;

    if (error != MR_OK) {
        mr_msg_execute_reply_t reply;
        mr_execute_reply_init(&reply, error, "the account's rate is used up");
        admission->fn(admission->ctx, &reply);
    }
    else {
        admission->msg->deadline_ms = admission->deadline - mr_clock_now(NULL);
        mr_route_execute(admission->service->options.route, admission->msg,
                         admission->fn, admission->ctx);
    }
    free_admission(admission);
}

void
mr_service_run(void *run_ctx, const mr_msg_execute_t *msg, mr_execute_fn_t fn,
               void *ctx)
{
    mr_service_t *service = run_ctx;
    const mr_config_t *config =
        mr_config_store_current(service->options.config);
    const mr_config_account_t *account =
        config == NULL ? NULL : mr_config_account(config, msg->account);
    admission_t *admission;

    if (account == NULL) {
        mr_msg_execute_reply_t reply;
        mr_execute_reply_init(&reply, MR_ERR_FORBIDDEN,
                              "the account is not configured");
        fn(ctx, &reply);
        return;
    }
    admission = MR_NEW(admission_t);
    admission->service = service;
    admission->msg = mr_execute_copy(msg);
    admission->fn = fn;
    admission->ctx = ctx;
    admission->deadline = mr_clock_now(NULL) + msg->deadline_ms;
    mr_list_append(&service->admissions, &admission->link);
    admission->wait = mr_limit_admit(service->options.limit, account,
                                     on_admitted, admission);
    if (admission->wait == NULL) {
        on_admitted(admission, MR_OK);
    }
}

void
mr_service_set_reqid(mr_service_t *service, mr_reqid_t *reqid)
{
    service->reqid = reqid;
}

mr_service_t *
mr_service_create(const mr_service_options_t *options)
{
    mr_service_t *service = MR_NEW(mr_service_t);

    service->options = *options;
    mr_list_init(&service->admissions);
    mr_peer_handle(options->peer, MR_MSG_EXECUTE, on_execute, service);
    return service;
}

void
mr_service_destroy(mr_service_t *service)
{
    if (service == NULL) {
        return;
    }
    mr_peer_handle(service->options.peer, MR_MSG_EXECUTE, NULL, NULL);
    MR_LIST_FOREACH(it, &service->admissions)
    {
        admission_t *admission = MR_LIST_ENTRY(it, admission_t, link);
        mr_limit_cancel(admission->wait);
        free_admission(admission);
    }
    free(service);
}
