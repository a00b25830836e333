#ifndef MR_FUZZ_FUZZ_H
#define MR_FUZZ_FUZZ_H

#include <stddef.h>
#include <stdint.h>

/** LLVMFuzzerTestOneInput() - run the fuzz target on one input; libFuzzer
 * calls it. */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

#endif
