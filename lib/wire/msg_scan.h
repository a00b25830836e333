#ifndef MR_WIRE_MSG_SCAN_H
#define MR_WIRE_MSG_SCAN_H

#include <stdbool.h>
#include <stddef.h>

/**
 * mr_msg_scan() - check the sizes in a msgpack value without decoding it
 * @max_values: values that it may hold, counting nested ones
 *
 * The library's decoder allocates what an array or map announces, before any
 * of its items has arrived: 11 bytes made it ask for 256 GiB.
 *
 * Return: true when @data is exactly one complete value within @max_values.
 */
bool mr_msg_scan(const void *data, size_t len, size_t max_values);

#endif
