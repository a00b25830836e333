#include "common/counters.h"

#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/mem.h"

struct mr_counter {
    mr_list_t link;
    char *name;
    char *labels;
    char *help;
    int64_t value;
};

struct mr_counters {
    mr_list_t list; /* sorted by name, so that a family stands together */
};

mr_counters_t *
mr_counters_create(void)
{
    mr_counters_t *counters = MR_NEW(mr_counters_t);

    mr_list_init(&counters->list);
    return counters;
}

void
mr_counters_destroy(mr_counters_t *counters)
{
    mr_list_t *link;

    if (counters == NULL) {
        return;
    }
    while ((link = mr_list_pop(&counters->list)) != NULL) {
        mr_counter_t *counter = MR_LIST_ENTRY(link, mr_counter_t, link);
        free(counter->name);
        free(counter->labels);
        free(counter->help);
        free(counter);
    }
    free(counters);
}

mr_counter_t *
mr_counters_get(mr_counters_t *counters, const char *name, const char *labels,
                const char *help)
{
    mr_list_t *before = &counters->list;

    MR_LIST_FOREACH(it, &counters->list)
    {
        mr_counter_t *counter = MR_LIST_ENTRY(it, mr_counter_t, link);
        int order = strcmp(counter->name, name);
        if (order == 0) {
            order = strcmp(counter->labels, labels);
        }
        if (order == 0) {
            return counter;
        }
        if (order > 0) {
            before = it;
            break;
        }
    }
    mr_counter_t *counter = MR_NEW(mr_counter_t);
    counter->name = mr_strdup(name);
    counter->labels = mr_strdup(labels);
    counter->help = mr_strdup(help);
    mr_list_append(before, &counter->link);
    return counter;
}

void
mr_counter_add(mr_counter_t *counter, int64_t amount)
{
    counter->value += amount;
}

void
mr_counter_set(mr_counter_t *counter, int64_t value)
{
    counter->value = value;
}

int64_t
mr_counter_value(const mr_counter_t *counter)
{
    return counter->value;
}

static bool
ends_with(const char *name, const char *end)
{
    size_t len = strlen(name);
    size_t end_len = strlen(end);

    return len > end_len && strcmp(name + len - end_len, end) == 0;
}

/* Length of the name that HELP and TYPE have; the series of a histogram share
 * one. */
static size_t
family_length(const char *name)
{
    static const char *const series[] = {"_bucket", "_count", "_sum"};

    for (size_t i = 0; i < sizeof(series) / sizeof(series[0]); i++) {
        if (ends_with(name, series[i])) {
            return strlen(name) - strlen(series[i]);
        }
    }
    return strlen(name);
}

static const char *
type_of(const char *name)
{
    if (family_length(name) < strlen(name)) {
        return "histogram";
    }
    return ends_with(name, "_total") ? "counter" : "gauge";
}

void
mr_counters_write(const mr_counters_t *counters, struct evbuffer *out)
{
    const char *former = "";

    MR_LIST_FOREACH(it, &counters->list)
    {
        const mr_counter_t *counter = MR_LIST_ENTRY(it, mr_counter_t, link);
        const char *name = counter->name;
        size_t len = family_length(name);
        if (len != family_length(former) || strncmp(former, name, len) != 0) {
            evbuffer_add_printf(out, "# HELP %.*s %s\n# TYPE %.*s %s\n",
                                (int)len, name, counter->help, (int)len, name,
                                type_of(name));
        }
        former = name;
        if (counter->labels[0] != '\0') {
            evbuffer_add_printf(out, "%s{%s} %lld\n", name, counter->labels,
                                (long long)counter->value);
        }
        else {
            evbuffer_add_printf(out, "%s %lld\n", name,
                                (long long)counter->value);
        }
    }
}
