#include "wire/msg_scan.h"

#include <stdint.h>

/** Encoding of a value after its first byte. */
typedef struct format {
    size_t length_bytes;    /* size of the big-endian length */
    size_t payload_bytes;   /* fixed part, such as the type of an extension */
    size_t length;          /* items or bytes; initially from the first byte */
    size_t values_per_item; /* of an array or map; 0: items are bytes */
} format_t;

/** Formats of values with the first byte 0xc0 to 0xdf. */
static const format_t formats[] = {
    {0, 0, 0, 0},                /* nil */
    {0, 0, 0, 0},                /* unused; the decoder rejects it */
    {0, 0, 0, 0},  {0, 0, 0, 0}, /* booleans */
    {1, 0, 0, 0},  {2, 0, 0, 0}, {4, 0, 0, 0},               /* bytes */
    {1, 1, 0, 0},  {2, 1, 0, 0}, {4, 1, 0, 0},               /* extensions */
    {0, 4, 0, 0},  {0, 8, 0, 0},                             /* floats */
    {0, 1, 0, 0},  {0, 2, 0, 0}, {0, 4, 0, 0}, {0, 8, 0, 0}, /* unsigned */
    {0, 1, 0, 0},  {0, 2, 0, 0}, {0, 4, 0, 0}, {0, 8, 0, 0}, /* signed */
    {0, 2, 0, 0},  {0, 3, 0, 0}, {0, 5, 0, 0}, {0, 9, 0, 0},
    {0, 17, 0, 0},                             /* extensions of fixed size */
    {1, 0, 0, 0},  {2, 0, 0, 0}, {4, 0, 0, 0}, /* strings */
    {2, 0, 0, 1},  {4, 0, 0, 1},               /* arrays */
    {2, 0, 0, 2},  {4, 0, 0, 2},               /* maps */
};

static format_t
find_format(uint8_t first)
{
    if (first >= 0xc0 && first <= 0xdf) {
        return formats[first - 0xc0];
    }
    if (first >= 0xa0 && first <= 0xbf) {
        return (format_t){.length = first & 0x1f};
    }
    if (first >= 0x90 && first <= 0x9f) {
        return (format_t){.length = first & 0x0f, .values_per_item = 1};
    }
    if (first >= 0x80 && first <= 0x8f) {
        return (format_t){.length = first & 0x0f, .values_per_item = 2};
    }
    return (format_t){0};
}

bool
mr_msg_scan(const void *data, size_t len, size_t max_values)
{
    const uint8_t *bytes = data;
    size_t offset = 0;
    size_t expected = 1; /* values not scanned yet */
    size_t scanned = 0;

    while (expected > 0) {
        if (offset >= len) {
            return false;
        }
        format_t format = find_format(bytes[offset++]);
        if (format.length_bytes > len - offset) {
            return false;
        }
        for (size_t i = 0; i < format.length_bytes; i++) {
            format.length = format.length << 8 | bytes[offset++];
        }
        expected--;
        scanned++;
        if (format.values_per_item > 0) {
            expected += format.length * format.values_per_item;
        }
        else {
            format.payload_bytes += format.length;
        }
        if (scanned + expected > max_values
            || format.payload_bytes > len - offset) {
            return false;
        }
        offset += format.payload_bytes;
    }
    return offset == len;
}
