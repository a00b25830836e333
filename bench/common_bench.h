#ifndef MR_BENCH_COMMON_H
#define MR_BENCH_COMMON_H

/* Functions of the capacity programs. Each program prints lines "name size
 * value unit", which bench/capacity.sh collects. */

#include <stdint.h>
#include <sys/types.h>

/** bench_print() - print one result. */
void bench_print(const char *name, long size, double value, const char *unit);

/** bench_cpu_us() - CPU time of this process in microseconds. */
double bench_cpu_us(void);

typedef void (*bench_fn_t)(void *ctx);

/**
 * bench_run() - print the CPU time of one call of @fn in microseconds
 *
 * Calls @fn repeatedly for a fixed amount of CPU time rather than wall time,
 * so that other load on the machine does not count, and prints the lowest mean
 * of three rounds.
 */
void bench_run(const char *name, long size, bench_fn_t fn, void *ctx);

/** bench_process_cpu_ms() - CPU time of process @pid; -1 if it has ended. */
double bench_process_cpu_ms(pid_t pid);

/** bench_process_rss_kb() - resident set size of process @pid; -1 if it has
 * ended. */
double bench_process_rss_kb(pid_t pid);

#endif
