#include "common/address.h"

#include <arpa/inet.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static char source_ip[MR_ADDRESS_MAX_BYTES];

bool
mr_address_split(const char *text, char *ip, int *port)
{
    const char *colon = strrchr(text, ':');
    char *end;

    if (colon == NULL || colon[1] < '0' || colon[1] > '9') {
        return false;
    }
    long number = strtol(colon + 1, &end, 10);
    if (*end != '\0' || number > 65535) {
        return false;
    }
    size_t len = (size_t)(colon - text);
    if (len >= 2 && text[0] == '[' && text[len - 1] == ']') {
        text++;
        len -= 2;
    }
    if (len == 0 || len >= MR_ADDRESS_MAX_BYTES) {
        return false;
    }
    memcpy(ip, text, len);
    ip[len] = '\0';
    *port = (int)number;
    return true;
}

bool
mr_address_parse(const char *text, struct sockaddr_storage *addr, int *len)
{
    char ip[MR_ADDRESS_MAX_BYTES];
    int port;

    memset(addr, 0, sizeof(*addr));
    if (!mr_address_split(text, ip, &port)) {
        return false;
    }
    struct sockaddr_in *in = (struct sockaddr_in *)addr;
    if (evutil_inet_pton(AF_INET, ip, &in->sin_addr) == 1) {
        in->sin_family = AF_INET;
        in->sin_port = htons((uint16_t)port);
        *len = sizeof(*in);
        return true;
    }
    struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)addr;
    if (evutil_inet_pton(AF_INET6, ip, &in6->sin6_addr) == 1) {
        in6->sin6_family = AF_INET6;
        in6->sin6_port = htons((uint16_t)port);
        *len = sizeof(*in6);
        return true;
    }
    return false;
}

int
mr_address_port(const struct sockaddr_storage *addr)
{
    if (addr->ss_family == AF_INET6) {
        return ntohs(((const struct sockaddr_in6 *)addr)->sin6_port);
    }
    return ntohs(((const struct sockaddr_in *)addr)->sin_port);
}

void
mr_address_set_source(const char *ip)
{
    snprintf(source_ip, sizeof(source_ip), "%s", ip);
}

const char *
mr_address_source(void)
{
    return source_ip[0] != '\0' ? source_ip : NULL;
}

static bool
bind_source(int fd)
{
    struct sockaddr_storage addr = {0};
    struct sockaddr_in *in = (struct sockaddr_in *)&addr;
    struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)&addr;

    if (evutil_inet_pton(AF_INET, source_ip, &in->sin_addr) == 1) {
        in->sin_family = AF_INET;
        return bind(fd, (struct sockaddr *)in, sizeof(*in)) == 0;
    }
    if (evutil_inet_pton(AF_INET6, source_ip, &in6->sin6_addr) == 1) {
        in6->sin6_family = AF_INET6;
        return bind(fd, (struct sockaddr *)in6, sizeof(*in6)) == 0;
    }
    return false;
}

int
mr_address_socket(const struct sockaddr_storage *addr)
{
    int fd = socket(addr->ss_family, SOCK_STREAM, 0);

    if (fd < 0) {
        return -1;
    }
    if (evutil_make_socket_nonblocking(fd) != 0
        || evutil_make_socket_closeonexec(fd) != 0
        || (source_ip[0] != '\0' && !bind_source(fd))) {
        close(fd);
        return -1;
    }
    return fd;
}
