#include "session_links.h"

#include <stdio.h>

#include "world.h"

void
links_set(struct event_base *base, const harness_process_t *proxy,
          const char *path, const char *json)
{
    ck_assert_int_eq(
        harness_http(base, "POST", proxy->address, path, NULL, json, NULL),
        200);
}

void
links_set_bandwidth(struct event_base *base, const harness_process_t *proxy,
                    const char *limit, int bytes_per_s)
{
    char path[BACKEND_TEXT_BYTES];
    char json[BACKEND_TEXT_BYTES];

    snprintf(path, sizeof(path), "/limits/%s", limit);
    snprintf(json, sizeof(json), "{\"bytes_per_s\":%d}", bytes_per_s);
    links_set(base, proxy, path, json);
}

void
links_limit_relay(struct event_base *base, const harness_process_t *proxy,
                  int index, int count)
{
    char path[BACKEND_TEXT_BYTES];
    char json[2 * BACKEND_TEXT_BYTES];
    char limit[BACKEND_TEXT_BYTES];

    for (int i = 0; i < count; i++) {
        if (i == index) {
            continue;
        }
        snprintf(path, sizeof(path), "/links/r%d--r%d", index, i);
        snprintf(json, sizeof(json),
                 "{\"limit_to_target\":\"r%d-out,r%d-in\","
                 "\"limit_to_caller\":\"r%d-out,r%d-in\"}",
                 index, i, i, index);
        links_set(base, proxy, path, json);
    }
    snprintf(path, sizeof(path), "/links/r%d--store", index);
    snprintf(
        json, sizeof(json),
        "{\"limit_to_target\":\"r%d-out\",\"limit_to_caller\":\"r%d-in\"}",
        index, index);
    links_set(base, proxy, path, json);
    snprintf(limit, sizeof(limit), "r%d-out", index);
    links_set_bandwidth(base, proxy, limit, RELAY_LINK_BYTES_PER_S);
    snprintf(limit, sizeof(limit), "r%d-in", index);
    links_set_bandwidth(base, proxy, limit, RELAY_LINK_BYTES_PER_S);
}
