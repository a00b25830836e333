#include "common/descriptors.h"

#include <sys/resource.h>
#include <unistd.h>

enum {
    RESERVE_PART = 8,
    /* That many are enough for all instances and databases of the HTTP daemon,
     * whose limit follows from the number of connections that it promises. */
    RESERVE_MAX = 1024,
};

static size_t set_limit;

void
mr_descriptors_set_limit(size_t limit)
{
    struct rlimit system;

    set_limit = limit;
    /* The soft limit is often 1,024. */
    if (getrlimit(RLIMIT_NOFILE, &system) == 0 && limit > system.rlim_cur) {
        system.rlim_cur = limit < system.rlim_max ? limit : system.rlim_max;
        setrlimit(RLIMIT_NOFILE, &system);
    }
}

size_t
mr_descriptors_limit(void)
{
    struct rlimit limit;

    if (getrlimit(RLIMIT_NOFILE, &limit) != 0
        || (set_limit > 0 && set_limit < limit.rlim_cur)) {
        return set_limit;
    }
    return limit.rlim_cur;
}

static size_t
reserve(size_t limit)
{
    size_t part = limit / RESERVE_PART;

    return part < RESERVE_MAX ? part : RESERVE_MAX;
}

size_t
mr_descriptors_client_limit(void)
{
    size_t limit = mr_descriptors_limit();

    return limit - reserve(limit);
}

size_t
mr_descriptors_kept_limit(void)
{
    size_t limit = mr_descriptors_limit();

    return limit - reserve(limit) / 2;
}

size_t
mr_descriptors_in_use(void)
{
    /* The kernel assigns the lowest free descriptor, so all lower ones are
     * open. */
    int lowest_free = dup(STDERR_FILENO);

    if (lowest_free < 0) {
        return mr_descriptors_limit();
    }
    close(lowest_free);
    return (size_t)lowest_free;
}

bool
mr_descriptors_reached(size_t count)
{
    return mr_descriptors_in_use() >= count;
}
