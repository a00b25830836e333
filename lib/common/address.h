#ifndef MR_COMMON_ADDRESS_H
#define MR_COMMON_ADDRESS_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/socket.h>

/** Longest text of an address with its port and NUL byte. */
enum { MR_ADDRESS_MAX_BYTES = 64 };

/**
 * mr_address_parse() - read "IP:port" or "[IPv6]:port"
 * @text: address; port 0 is allowed
 * @addr: receives the address
 * @len: receives its length
 *
 * Host names are refused: processes talk by IP numbers.
 */
bool mr_address_parse(const char *text, struct sockaddr_storage *addr,
                      int *len);

/** mr_address_port() - the port of @addr. */
int mr_address_port(const struct sockaddr_storage *addr);

/**
 * mr_address_split() - split "IP:port" into its parts
 * @ip: receives the IP number without brackets, MR_ADDRESS_MAX_BYTES long
 */
bool mr_address_split(const char *text, char *ip, int *port);

#endif
