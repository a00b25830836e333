#include "common/traffic.h"

#include <event2/buffer.h>
#include <stdlib.h>

#include "common/mem.h"

mr_traffic_t
mr_traffic_create(mr_counters_t *counters, const char *kind)
{
    mr_traffic_t traffic;
    char *name = mr_asprintf("masticrelay_%s_sent_bytes_total", kind);

    traffic.sent = mr_counters_get(counters, name, "", "bytes sent");
    free(name);
    name = mr_asprintf("masticrelay_%s_received_bytes_total", kind);
    traffic.received = mr_counters_get(counters, name, "", "bytes received");
    free(name);
    return traffic;
}

/* Bytes that leave the output buffer have been passed to the kernel, or to the
 * TLS layer. */
static void
on_output(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *ctx)
{
    (void)buffer;
    mr_counter_add(ctx, (int64_t)info->n_deleted);
}

static void
on_input(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
         void *ctx)
{
    (void)buffer;
    mr_counter_add(ctx, (int64_t)info->n_added);
}

void
mr_traffic_watch(const mr_traffic_t *traffic, struct bufferevent *stream)
{
    evbuffer_add_cb(bufferevent_get_output(stream), on_output, traffic->sent);
    evbuffer_add_cb(bufferevent_get_input(stream), on_input,
                    traffic->received);
}
