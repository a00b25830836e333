#ifndef MR_FUZZ_FUZZ_H
#define MR_FUZZ_FUZZ_H

#include <stddef.h>
#include <stdint.h>

/** LLVMFuzzerTestOneInput() - entry point that the fuzzing library calls. */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

#endif
