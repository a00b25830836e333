#include <string.h>

#include "harness.h"

/* Adds a link FROM--TO to the proxy's arguments and returns its port. */
static int
add_link(harness_t *h, const char *from, const char *to, const char *address)
{
    int port = harness_port();

    harness_process_arg(&h->proxy, "--link=%s--%s=127.0.0.1:%d=%s", from, to,
                        port, address);
    return port;
}

/* Makes the process connect to @port in place of the port of @address. */
static void
add_redirect(harness_process_t *process, const char *address, int port)
{
    size_t len = strlen(process->redirect);
    int added =
        snprintf(process->redirect + len, sizeof(process->redirect) - len,
                 "%s:%d,", strrchr(address, ':') + 1, port);

    ck_assert_int_lt(added, (int)(sizeof(process->redirect) - len));
}

/* Adds a link that all processes of @data_centre use to reach @address. */
static void
add_data_centre_link(harness_t *h, const char *data_centre,
                     const char *to_data_centre, const char *to_name,
                     const char *address)
{
    char to[2 * HARNESS_NAME_BYTES];

    snprintf(to, sizeof(to), "%s.%s", to_data_centre, to_name);
    int port = add_link(h, data_centre, to, address);
    for (size_t i = 0; i < h->instance_count; i++) {
        if (strcmp(h->instances[i].data_centre, data_centre) == 0) {
            add_redirect(&h->instances[i].process, address, port);
        }
    }
    for (size_t i = 0; i < h->target_count; i++) {
        if (strcmp(h->targets[i].data_centre, data_centre) == 0) {
            add_redirect(&h->targets[i].process, address, port);
        }
    }
}

void
harness_add_links(harness_t *h)
{
    for (size_t p = 0; h->options.data_centres[p] != NULL; p++) {
        const char *data_centre = h->options.data_centres[p];
        for (size_t i = 0; i < h->instance_count; i++) {
            const harness_instance_t *to = &h->instances[i];
            add_data_centre_link(h, data_centre, to->data_centre,
                                 to->process.name, to->peer);
        }
        for (size_t i = 0; i < h->target_count; i++) {
            const harness_target_t *to = &h->targets[i];
            add_data_centre_link(h, data_centre, to->data_centre,
                                 to->process.name, to->process.address);
        }
    }
    for (size_t i = 0; i < h->instance_count; i++) {
        harness_process_t *from = &h->instances[i].process;
        add_redirect(from, h->platform.address,
                     add_link(h, from->name, "platform", h->platform.address));
    }
}

void
harness_set_link_faults(harness_t *h, const char *link, const char *json)
{
    char path[4 * HARNESS_NAME_BYTES];

    ck_assert(h->options.proxied);
    snprintf(path, sizeof(path), "/links/%s", link);
    ck_assert_int_eq(harness_http(h->base, "POST", h->proxy.address, path,
                                  NULL, json, NULL),
                     200);
}

void
harness_cut_links(harness_t *h, const char *one, const char *other, bool cut)
{
    const char *json = cut ? "{\"cut\":\"both\"}" : "{\"cut\":\"none\"}";
    char link[2 * HARNESS_NAME_BYTES];

    snprintf(link, sizeof(link), "%s--%s.*", one, other);
    harness_set_link_faults(h, link, json);
    snprintf(link, sizeof(link), "%s--%s.*", other, one);
    harness_set_link_faults(h, link, json);
}
