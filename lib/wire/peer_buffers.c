#include "wire/peer_buffers.h"

#include <event2/buffer.h>
#include <stdlib.h>

#include "common/log.h"
#include "common/mem.h"

enum {
    /* A new peak of all buffers is logged from this size on, and again when it
     * has doubled. */
    PEAK_LOGGED_BYTES = 256 << 10,
    /* Minimum time between two logged periods in which a link drops frames. */
    FULL_LOG_PERIOD_MS = 10000,
};

struct mr_peer_buffers {
    const mr_peer_limits_t *limits;
    mr_list_t list; /* mr_peer_buffer_t */
    int64_t link_count;
    int64_t output_bytes;
    int64_t input_bytes;
    int64_t next_logged_peak;
    mr_counter_t *links;
    mr_counter_t *output;
    mr_counter_t *output_peak;
    mr_counter_t *link_output_peak;
    mr_counter_t *input;
    mr_counter_t *input_peak;
    mr_counter_t *unsent;
    mr_counter_t *unsent_bytes;
};

static mr_counter_t *
get_counter(mr_counters_t *counters, const char *name, const char *help)
{
    return mr_counters_get(counters, name, "", help);
}

mr_peer_buffers_t *
mr_peer_buffers_create(mr_counters_t *counters, const mr_peer_limits_t *limits)
{
    mr_peer_buffers_t *all = MR_NEW(mr_peer_buffers_t);

    all->limits = limits;
    mr_list_init(&all->list);
    all->next_logged_peak = PEAK_LOGGED_BYTES;
    all->links = get_counter(counters, "masticrelay_peer_links",
                             "links between instances");
    all->output = get_counter(counters, "masticrelay_peer_output_bytes",
                              "unsent output of all links");
    all->output_peak =
        get_counter(counters, "masticrelay_peer_output_peak_bytes",
                    "largest unsent output that all links have had together");
    all->link_output_peak =
        get_counter(counters, "masticrelay_peer_link_output_peak_bytes",
                    "largest unsent output that one link has had");
    all->input = get_counter(counters, "masticrelay_peer_input_bytes",
                             "unread input of all links");
    all->input_peak =
        get_counter(counters, "masticrelay_peer_input_peak_bytes",
                    "largest unread input that all links have had together");
    all->unsent = get_counter(counters, "masticrelay_peer_unsent_total",
                              "peer messages dropped unsent");
    all->unsent_bytes =
        get_counter(counters, "masticrelay_peer_unsent_bytes_total",
                    "bytes of peer messages dropped unsent");
    return all;
}

void
mr_peer_buffers_destroy(mr_peer_buffers_t *all)
{
    if (all == NULL) {
        return;
    }
    mr_counter_set(all->links, 0);
    free(all);
}

static void
raise_to(mr_counter_t *peak, int64_t value)
{
    if (value > mr_counter_value(peak)) {
        mr_counter_set(peak, value);
    }
}

static const mr_peer_buffer_t *
find_largest_output(const mr_peer_buffers_t *all)
{
    const mr_peer_buffer_t *largest = NULL;
    size_t bytes = 0;

    MR_LIST_FOREACH(it, &all->list)
    {
        const mr_peer_buffer_t *buffer =
            MR_LIST_ENTRY(it, mr_peer_buffer_t, link);
        if (largest == NULL || mr_peer_buffer_output(buffer) > bytes) {
            largest = buffer;
            bytes = mr_peer_buffer_output(buffer);
        }
    }
    return largest;
}

static void
log_peak(mr_peer_buffers_t *all)
{
    int64_t bytes = all->output_bytes + all->input_bytes;
    const mr_peer_buffer_t *largest;

    if (bytes < all->next_logged_peak
        || (largest = find_largest_output(all)) == NULL) {
        return;
    }
    all->next_logged_peak = 2 * bytes;
    mr_log(MR_LOG_WARNING, MR_EVENT_PEER_BUFFERS_PEAK,
           "output=%lld input=%lld links=%lld name=%s largest=%zu",
           (long long)all->output_bytes, (long long)all->input_bytes,
           (long long)all->link_count, largest->name,
           mr_peer_buffer_output(largest));
}

static void
add_output(mr_peer_buffer_t *buffer, int64_t bytes)
{
    mr_peer_buffers_t *all = buffer->all;

    all->output_bytes += bytes;
    mr_counter_set(all->output, all->output_bytes);
    raise_to(all->output_peak, all->output_bytes);
    raise_to(all->link_output_peak, (int64_t)mr_peer_buffer_output(buffer));
    log_peak(all);
}

static void
add_input(mr_peer_buffers_t *all, int64_t bytes)
{
    all->input_bytes += bytes;
    mr_counter_set(all->input, all->input_bytes);
    raise_to(all->input_peak, all->input_bytes);
    log_peak(all);
}

static void
on_output(struct evbuffer *output, const struct evbuffer_cb_info *info,
          void *ctx)
{
    (void)output;
    add_output(ctx, (int64_t)info->n_added - (int64_t)info->n_deleted);
}

static void
on_input(struct evbuffer *input, const struct evbuffer_cb_info *info,
         void *ctx)
{
    mr_peer_buffer_t *buffer = ctx;

    (void)input;
    add_input(buffer->all, (int64_t)info->n_added - (int64_t)info->n_deleted);
}

void
mr_peer_buffer_init(mr_peer_buffer_t *buffer, mr_peer_buffers_t *all,
                    struct bufferevent *stream, const char *name)
{
    buffer->all = all;
    buffer->stream = stream;
    buffer->name = name;
    buffer->output_callback =
        evbuffer_add_cb(bufferevent_get_output(stream), on_output, buffer);
    buffer->input_callback =
        evbuffer_add_cb(bufferevent_get_input(stream), on_input, buffer);
    mr_list_append(&all->list, &buffer->link);
    mr_counter_set(all->links, ++all->link_count);
}

void
mr_peer_buffer_clear(mr_peer_buffer_t *buffer)
{
    struct evbuffer *output = bufferevent_get_output(buffer->stream);
    struct evbuffer *input = bufferevent_get_input(buffer->stream);

    evbuffer_remove_cb_entry(output, buffer->output_callback);
    evbuffer_remove_cb_entry(input, buffer->input_callback);
    add_output(buffer, -(int64_t)mr_peer_buffer_output(buffer));
    buffer->waiting = 0;
    add_input(buffer->all, -(int64_t)evbuffer_get_length(input));
    mr_list_remove(&buffer->link);
    mr_counter_set(buffer->all->links, --buffer->all->link_count);
}

size_t
mr_peer_buffer_output(const mr_peer_buffer_t *buffer)
{
    return evbuffer_get_length(bufferevent_get_output(buffer->stream))
           + buffer->waiting;
}

static size_t
output_bound(const mr_peer_buffer_t *buffer)
{
    const mr_peer_limits_t *limits = buffer->all->limits;
    size_t used = (size_t)buffer->all->output_bytes;
    size_t left =
        used < limits->output_max_bytes ? limits->output_max_bytes - used : 0;

    return left < limits->link_output_max_bytes
               ? left
               : limits->link_output_max_bytes;
}

static void
record_drop(mr_peer_buffer_t *buffer, size_t bytes, size_t bound)
{
    mr_peer_full_period_t *full = &buffer->full;
    mr_ms_t now = mr_clock_now(NULL);

    mr_counter_add(buffer->all->unsent, 1);
    mr_counter_add(buffer->all->unsent_bytes, (int64_t)bytes);
    full->dropped++;
    if (full->active) {
        return;
    }
    full->active = true;
    full->since = now;
    full->dropped = 1;
    full->logged =
        full->logged_at == 0 || now - full->logged_at >= FULL_LOG_PERIOD_MS;
    if (full->logged) {
        full->logged_at = now;
        mr_log(MR_LOG_WARNING, MR_EVENT_PEER_OUTPUT_FULL,
               "name=%s bytes=%zu bound=%zu frame=%zu", buffer->name,
               mr_peer_buffer_output(buffer), bound, bytes);
    }
}

bool
mr_peer_buffer_admit(mr_peer_buffer_t *buffer, size_t bytes)
{
    size_t bound = output_bound(buffer);

    if (bytes <= buffer->all->limits->frame_max_bytes
        && mr_peer_buffer_output(buffer) + bytes <= bound) {
        return true;
    }
    record_drop(buffer, bytes, bound);
    return false;
}

void
mr_peer_buffer_add_waiting(mr_peer_buffer_t *buffer, int64_t bytes)
{
    buffer->waiting = (size_t)((int64_t)buffer->waiting + bytes);
    add_output(buffer, bytes);
}

void
mr_peer_buffer_record_sent(mr_peer_buffer_t *buffer)
{
    mr_peer_full_period_t *full = &buffer->full;

    if (!full->active || mr_peer_buffer_output(buffer) > 0) {
        return;
    }
    full->active = false;
    if (full->logged) {
        mr_log(MR_LOG_INFO, MR_EVENT_PEER_OUTPUT_DRAINED,
               "name=%s dropped=%lld ms=%lld", buffer->name,
               (long long)full->dropped,
               (long long)(mr_clock_now(NULL) - full->since));
    }
}
