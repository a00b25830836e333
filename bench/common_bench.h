#ifndef MR_BENCH_COMMON_H
#define MR_BENCH_COMMON_H

/* What the capacity programs share. Each prints lines "name size value unit",
 * which bench/capacity.sh collects. */

#include <stdint.h>
#include <sys/types.h>

/** bench_print() - one line of output. */
void bench_print(const char *name, long size, double value, const char *unit);

/** bench_cpu_us() - processor time of this process in microseconds. */
double bench_cpu_us(void);

typedef void (*bench_fn_t)(void *ctx);

/**
 * bench_run() - print the processor time of one call of @fn in microseconds
 *
 * Calls it for a fixed amount of processor time, so that other load on the
 * machine does not enter the figure, and takes the least of three rounds.
 */
void bench_run(const char *name, long size, bench_fn_t fn, void *ctx);

/** bench_process_cpu_ms() - processor time of process @pid; -1: gone. */
double bench_process_cpu_ms(pid_t pid);

/** bench_process_kb() - resident memory of process @pid; -1: gone. */
double bench_process_kb(pid_t pid);

#endif
