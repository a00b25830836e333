#include "common/event.h"

#include <assert.h>

typedef struct event_info {
    const char *name;
    const char *fields;
} event_info_t;

#define EVENT_INFO(constant, name, fields) {name, fields},
static const event_info_t events[MR_EVENT_COUNT] = {MR_EVENTS(EVENT_INFO)};
#undef EVENT_INFO

const char *
mr_event_name(mr_event_t event)
{
    assert(event < MR_EVENT_COUNT);
    return events[event].name;
}

const char *
mr_event_fields(mr_event_t event)
{
    assert(event < MR_EVENT_COUNT);
    return events[event].fields;
}
