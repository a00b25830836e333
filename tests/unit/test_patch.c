/* Guards against patches that do not reproduce the body exactly, patches as
 * large as the body, and parts out of bounds of the base. */

#include <stdlib.h>
#include <string.h>

#include "../common/runner.h"
#include "common/mem.h"
#include "config/patch.h"

enum { ROWS = 400, TEXT_MAX = 64 << 10, SEED = 20261204 };

typedef struct rows {
    uint32_t ids[2 * ROWS];
    size_t count;
} rows_t;

static size_t
print_rows(const rows_t *rows, int version, char *text)
{
    size_t len = (size_t)sprintf(text, "{\"accounts\":[");

    for (size_t i = 0; i < rows->count; i++) {
        len += (size_t)sprintf(text + len,
                               "%s{\"keys\":[{\"hash\":\"%08x\"}],\"name\":"
                               "\"account-%u\",\"rate\":100}",
                               i > 0 ? "," : "", rows->ids[i], rows->ids[i]);
    }
    len += (size_t)sprintf(text + len, "],\"version\":%d}", version);
    return len;
}

/* Changes, adds, removes or moves one row. */
static void
change_row(rows_t *rows)
{
    size_t at = (size_t)random() % rows->count;
    size_t tail = (rows->count - at) * sizeof(rows->ids[0]);
    uint32_t id = rows->ids[at];

    switch (random() % 4) {
    case 0:
        rows->ids[at] = (uint32_t)random();
        break;
    case 1:
        memmove(&rows->ids[at + 1], &rows->ids[at], tail);
        rows->ids[at] = (uint32_t)random();
        rows->count++;
        break;
    case 2:
        memmove(&rows->ids[at], &rows->ids[at + 1],
                tail - sizeof(rows->ids[0]));
        rows->count--;
        break;
    default:
        rows->ids[at] = rows->ids[0];
        rows->ids[0] = id;
        break;
    }
}

static size_t
patch_bytes(const mr_config_patch_t *patch)
{
    size_t sum = 0;

    for (size_t i = 0; i < patch->count; i++) {
        sum += 16 + patch->parts[i].insert.len;
    }
    return sum;
}

START_TEST(test_patch_reproduces_the_body)
{
    char *texts[2] = {mr_calloc(1, TEXT_MAX), mr_calloc(1, TEXT_MAX)};
    rows_t rows = {.count = ROWS};

    srandom(SEED);
    for (size_t i = 0; i < ROWS; i++) {
        rows.ids[i] = (uint32_t)random();
    }
    size_t base_len = print_rows(&rows, 9, texts[0]);
    for (int version = 10; version < 200; version++) {
        int changes = 1 + version % 5;
        for (int i = 0; i < changes; i++) {
            change_row(&rows);
        }
        size_t len = print_rows(&rows, version, texts[1]);
        mr_bytes_t base = {texts[0], base_len};
        mr_config_patch_t patch;
        size_t result_len;
        ck_assert(
            mr_config_patch_make(base, (mr_bytes_t){texts[1], len}, &patch));
        /* The worst case is a move: two rows and the version, with the text
         * around them. */
        ck_assert_uint_le(patch_bytes(&patch), 600 * (size_t)changes);
        char *result =
            mr_config_patch_apply(base, patch.parts, patch.count, &result_len);
        ck_assert_uint_eq(result_len, len);
        ck_assert_int_eq(memcmp(result, texts[1], len), 0);
        free(result);
        mr_config_patch_clear(&patch);
        char *swap = texts[0];
        texts[0] = texts[1];
        texts[1] = swap;
        base_len = len;
    }
    free(texts[0]);
    free(texts[1]);
}
END_TEST

START_TEST(test_no_patch_of_an_unrelated_body)
{
    mr_bytes_t base = {"{\"a\":[{\"name\":\"x\"}]}", 20};
    mr_bytes_t body = {"{\"b\":[{\"rate\":1},{\"rate\":2},{\"rate\":3}]}", 41};
    mr_config_patch_t patch;

    ck_assert(!mr_config_patch_make(base, body, &patch));
    ck_assert_uint_eq(patch.count, 0);
    ck_assert(!mr_config_patch_make((mr_bytes_t){"", 0}, body, &patch));
}
END_TEST

START_TEST(test_out_of_bounds_parts_are_refused)
{
    const mr_msg_patch_part_t bad[] = {
        {.offset = -1, .length = 1},        {.offset = 0, .length = -1},
        {.offset = 9, .length = 0},         {.offset = 4, .length = 5},
        {.offset = INT64_MAX, .length = 2}, {.offset = 2, .length = INT64_MAX},
    };
    mr_msg_patch_part_t many[4096];
    mr_bytes_t base = {"12345678", 8};
    size_t len;

    for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        ck_assert_ptr_null(mr_config_patch_apply(base, &bad[i], 1, &len));
    }
    char *large = mr_calloc(1, 8192);
    for (size_t i = 0; i < 4096; i++) {
        many[i] = (mr_msg_patch_part_t){.insert = {large, 8192}};
    }
    ck_assert_ptr_null(mr_config_patch_apply(base, many, 4096, &len));
    free(large);
    char *text = mr_config_patch_apply(
        base, &(mr_msg_patch_part_t){8, 0, {"9", 1}}, 1, &len);
    ck_assert_str_eq(text, "9");
    free(text);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_patch_reproduces_the_body,
        test_no_patch_of_an_unrelated_body,
        test_out_of_bounds_parts_are_refused,
    };

    return RUN_TESTS(tests, .suite = "patch");
}
