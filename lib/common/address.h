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

/**
 * mr_address_set_source() - bind outgoing connections of this process
 * @ip: IP number; copied
 *
 * On a machine with several addresses, the other side then sees the one that
 * the settings name.
 */
void mr_address_set_source(const char *ip);

/** mr_address_source() - the IP number set, or NULL. */
const char *mr_address_source(void);

/** mr_address_socket() - a non-blocking socket for connecting to @addr, bound
 * to the source address; -1 when that fails. */
int mr_address_socket(const struct sockaddr_storage *addr);

#endif
