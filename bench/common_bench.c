#include "common_bench.h"

#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum {
    ROUNDS = 3,
    ROUND_US = 15000,
};

void
bench_print(const char *name, long size, double value, const char *unit)
{
    printf("%s %ld %.6g %s\n", name, size, value, unit);
    fflush(stdout);
}

double
bench_cpu_us(void)
{
    struct timespec t;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

void
bench_run(const char *name, long size, bench_fn_t fn, void *ctx)
{
    double lowest = -1;

    fn(ctx);
    for (int round = 0; round < ROUNDS; round++) {
        double start = bench_cpu_us();
        double spent;
        long calls = 0;
        do {
            fn(ctx);
            calls++;
            spent = bench_cpu_us() - start;
        } while (spent < ROUND_US);
        if (lowest < 0 || spent / (double)calls < lowest) {
            lowest = spent / (double)calls;
        }
    }
    bench_print(name, size, lowest, "us");
}

double
bench_process_cpu_ms(pid_t pid)
{
    char path[64];
    char line[1024];
    unsigned long user = 0;
    unsigned long system = 0;
    double cpu = -1;

    snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
    FILE *file = fopen(path, "re");
    if (file == NULL) {
        return -1;
    }
    if (fgets(line, sizeof(line), file) != NULL) {
        /* Skips the program's name, which may contain spaces. */
        const char *rest = strrchr(line, ')');
        if (rest != NULL
            && sscanf(rest + 1,
                      " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
                      &user, &system)
                   == 2) {
            cpu = (double)(user + system) * 1e3 / (double)sysconf(_SC_CLK_TCK);
        }
    }
    fclose(file);
    return cpu;
}

double
bench_process_rss_kb(pid_t pid)
{
    char path[64];
    char line[256];
    double kb = -1;

    snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
    FILE *file = fopen(path, "re");
    if (file == NULL) {
        return -1;
    }
    while (fgets(line, sizeof(line), file) != NULL) {
        if (sscanf(line, "VmRSS: %lf", &kb) == 1) {
            break;
        }
    }
    fclose(file);
    return kb;
}
