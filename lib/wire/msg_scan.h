#ifndef MR_WIRE_MSG_SCAN_H
#define MR_WIRE_MSG_SCAN_H

#include <stdbool.h>
#include <stddef.h>

/**
 * mr_msg_scan() - check the lengths in a msgpack value without decoding it
 * @max_values: maximum number of values, including nested ones
 *
 * The msgpack library allocates memory for the announced length of an array or
 * map before it has read any items: 11 bytes made it request 256 GiB.
 *
 * Return: whether @data is exactly one complete value of at most @max_values.
 */
bool mr_msg_scan(const void *data, size_t len, size_t max_values);

#endif
