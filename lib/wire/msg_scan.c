#include "wire/msg_scan.h"

#include <stdint.h>

/** What follows the first byte of a value. */
typedef struct format {
    size_t size_bytes; /* of a big-endian size */
    size_t bytes;      /* fixed payload, or what comes on top of the size */
    size_t size;       /* the size, when it is in the first byte */
    size_t values;     /* nested values per size unit; 0: the unit is a byte */
} format_t;

/** Formats of the first bytes 0xc0 to 0xdf. */
static const format_t formats[] = {
    {0, 0, 0, 0},                /* nil */
    {0, 0, 0, 0},                /* not used; the decoder refuses it */
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
        return (format_t){.size = first & 0x1f};
    }
    if (first >= 0x90 && first <= 0x9f) {
        return (format_t){.size = first & 0x0f, .values = 1};
    }
    if (first >= 0x80 && first <= 0x8f) {
        return (format_t){.size = first & 0x0f, .values = 2};
    }
    return (format_t){0};
}

bool
mr_msg_scan(const void *data, size_t len, size_t max_values)
{
    const uint8_t *bytes = data;
    size_t offset = 0;
    size_t expected = 1; /* values still to come */
    size_t seen = 0;

    while (expected > 0) {
        if (offset >= len) {
            return false;
        }
        format_t format = find_format(bytes[offset++]);
        if (format.size_bytes > len - offset) {
            return false;
        }
        for (size_t i = 0; i < format.size_bytes; i++) {
            format.size = format.size << 8 | bytes[offset++];
        }
        expected--;
        seen++;
        if (format.values > 0) {
            expected += format.size * format.values;
        }
        else {
            format.bytes += format.size;
        }
        if (seen + expected > max_values || format.bytes > len - offset) {
            return false;
        }
        offset += format.bytes;
    }
    return offset == len;
}
