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
    mr_list_t list; /* sorted by name and labels, which keeps the series of a
                       metric family together */
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
    mr_list_t *next = &counters->list; /* insert before this one */

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
            next = it;
            break;
        }
    }
    mr_counter_t *counter = MR_NEW(mr_counter_t);
    counter->name = mr_strdup(name);
    counter->labels = mr_strdup(labels);
    counter->help = mr_strdup(help);
    mr_list_append(next, &counter->link);
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
ends_with(const char *name, const char *suffix)
{
    size_t len = strlen(name);
    size_t suffix_len = strlen(suffix);

    return len > suffix_len && strcmp(name + len - suffix_len, suffix) == 0;
}

/* Length of the family name in @name, which the HELP and TYPE lines carry. The
 * series of a histogram share one family. */
static size_t
family_length(const char *name)
{
    static const char *const suffixes[] = {"_bucket", "_count", "_sum"};

    for (size_t i = 0; i < sizeof(suffixes) / sizeof(suffixes[0]); i++) {
        if (ends_with(name, suffixes[i])) {
            return strlen(name) - strlen(suffixes[i]);
        }
    }
    return strlen(name);
}

static const char *
metric_type(const char *name)
{
    if (family_length(name) < strlen(name)) {
        return "histogram";
    }
    return ends_with(name, "_total") ? "counter" : "gauge";
}

void
mr_counters_write(const mr_counters_t *counters, struct evbuffer *out)
{
    const char *previous = "";

    MR_LIST_FOREACH(it, &counters->list)
    {
        const mr_counter_t *counter = MR_LIST_ENTRY(it, mr_counter_t, link);
        const char *name = counter->name;
        size_t len = family_length(name);
        if (len != family_length(previous)
            || strncmp(previous, name, len) != 0) {
            evbuffer_add_printf(out, "# HELP %.*s %s\n# TYPE %.*s %s\n",
                                (int)len, name, counter->help, (int)len, name,
                                metric_type(name));
        }
        previous = name;
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
