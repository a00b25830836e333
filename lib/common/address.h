#ifndef MR_COMMON_ADDRESS_H
#define MR_COMMON_ADDRESS_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/socket.h>

/** Size of the text of an address, with its port and the NUL byte. */
enum { MR_ADDRESS_MAX_BYTES = 64 };

/**
 * mr_address_parse() - parse "IP:port" or "[IPv6]:port"
 * @text: address; port 0 is allowed
 * @addr: receives the address
 * @len: receives its length
 *
 * Return: false when @text is malformed. Host names are refused, as processes
 * address each other by IP address.
 */
bool mr_address_parse(const char *text, struct sockaddr_storage *addr,
                      int *len);

/** mr_address_port() - return the port of @addr. */
int mr_address_port(const struct sockaddr_storage *addr);

/**
 * mr_address_split() - split "IP:port" into its parts
 * @ip: buffer of MR_ADDRESS_MAX_BYTES; receives the IP address without
 *      brackets, which is not checked
 */
bool mr_address_split(const char *text, char *ip, int *port);

/**
 * mr_address_set_source() - set the source address of this process's outgoing
 * connections
 * @ip: IP address; copied
 *
 * On a host with several addresses, the remote side then sees the one from the
 * settings.
 */
void mr_address_set_source(const char *ip);

/** mr_address_source() - return the source IP address, or NULL if not set. */
const char *mr_address_source(void);

/** mr_address_socket() - create a non-blocking socket for a connection to
 * @addr, bound to the source address. Return: -1 on failure. */
int mr_address_socket(const struct sockaddr_storage *addr);

#endif
