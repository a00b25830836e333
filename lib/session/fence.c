#include "session/fence.h"

#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/mem.h"

enum {
    TIMEOUT_MS = 500, /* for the store; then the token in reserve is used */
    RETRY_MS = 2000,  /* between requests for a token in reserve */
};

static const char table[] = "promotions";

struct mr_fence {
    mr_store_t *store;
    char *service;
    char *instance;
    mr_revision_t row; /* newest known revision of the row */
    int64_t reserve;   /* 0: none */
    bool requested;    /* the store has not answered yet */
    int64_t requested_era;
    mr_ms_t requested_at;
};

mr_fence_t *
mr_fence_create(const mr_fence_options_t *options)
{
    mr_fence_t *fence = MR_NEW(mr_fence_t);

    fence->store = options->store;
    fence->service = mr_strdup(options->service);
    fence->instance = mr_strdup(options->instance);
    return fence;
}

void
mr_fence_destroy(mr_fence_t *fence)
{
    if (fence == NULL) {
        return;
    }
    free(fence->service);
    free(fence->instance);
    free(fence);
}

bool
mr_fence_is_current(const mr_fence_t *fence, int64_t token)
{
    return mr_revision_number_has_era(token, mr_store_era(fence->store));
}

static void on_written(void *ctx, mr_error_kind_t error,
                       mr_revision_t revision);

static void
write_row(mr_fence_t *fence)
{
    fence->requested = true;
    fence->requested_era = mr_store_era(fence->store);
    mr_store_put(fence->store, table, fence->service, fence->row,
                 fence->instance, strlen(fence->instance), on_written, fence);
}

static void
on_written(void *ctx, mr_error_kind_t error, mr_revision_t revision)
{
    mr_fence_t *fence = ctx;

    fence->requested = false;
    if (error == MR_OK) {
        fence->row = revision;
        fence->reserve = mr_revision_number(revision);
        if (fence->reserve == 0) {
            mr_log(MR_LOG_ERROR, MR_EVENT_TOKEN_NOT_TAKEN,
                   "service=%s error=no_room", fence->service);
        }
    }
    else if (error == MR_ERR_CONFLICT
             || fence->requested_era != mr_store_era(fence->store)) {
        fence->row = revision;
        write_row(fence);
    }
    else {
        mr_log(MR_LOG_WARNING, MR_EVENT_TOKEN_NOT_TAKEN, "service=%s error=%s",
               fence->service, mr_error_name(error));
    }
}

void
mr_fence_request(mr_fence_t *fence, mr_ms_t now)
{
    if (fence->requested) {
        return;
    }
    fence->requested_at = now;
    write_row(fence);
}

/* Another instance may have used a higher token than one of an older era. */
static void
drop_outdated_reserve(mr_fence_t *fence)
{
    if (!mr_fence_is_current(fence, fence->reserve)) {
        fence->reserve = 0;
    }
}

void
mr_fence_refill(mr_fence_t *fence, mr_ms_t now)
{
    drop_outdated_reserve(fence);
    if (fence->reserve == 0 && now - fence->requested_at >= RETRY_MS) {
        mr_fence_request(fence, now);
    }
}

bool
mr_fence_has_reserve(const mr_fence_t *fence)
{
    return fence->reserve != 0 && mr_fence_is_current(fence, fence->reserve);
}

void
mr_fence_drop_reserve(mr_fence_t *fence)
{
    fence->reserve = 0;
}

bool
mr_fence_waiting(const mr_fence_t *fence, mr_ms_t now)
{
    return fence->requested && now - fence->requested_at < TIMEOUT_MS;
}

int64_t
mr_fence_take(mr_fence_t *fence, int64_t used)
{
    drop_outdated_reserve(fence);
    int64_t token = fence->reserve;

    fence->reserve = 0;
    return token > used ? token : 0;
}
