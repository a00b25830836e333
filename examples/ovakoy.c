/*
 * Prints the configuration of Ovakoy's dryer booking unit: four data centres
 * in Central Anatolia, one service of three groups, eight client accounts of
 * which three are large.
 *
 *     ovakoy --version 2 --key coop-konya=k1:HASH > ovakoy.json
 */

#include <masticrelay.h>

#include "common_options.h"

/* Number of elements of an array. */
#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

static const char region[] = "ic-anadolu";
static const char service[] = "rez-db";

enum {
    TARGET_SLOTS = 2,
    TARGET_CONNECTIONS = 35,
    BOOKING_DEADLINE_MS = 2000,
    SCHEDULE_MAX_AGE_MS = 5000,
    OFFLINE_LIMIT_S = 3600,
};

static const char *const data_centres[] = {"konya", "aksaray", "karaman",
                                           "nigde"};

/* Each target of a group is in a different data centre, so that the group
 * keeps a majority when one data centre fails. */
static const mr_op_target_t targets[] = {
    {"rez-db-0-a", "rez-db-0", "konya", "127.0.0.1:7101", TARGET_SLOTS,
     TARGET_CONNECTIONS, false},
    {"rez-db-0-b", "rez-db-0", "aksaray", "127.0.0.1:7102", TARGET_SLOTS,
     TARGET_CONNECTIONS, false},
    {"rez-db-0-c", "rez-db-0", "karaman", "127.0.0.1:7103", TARGET_SLOTS,
     TARGET_CONNECTIONS, false},
    {"rez-db-1-a", "rez-db-1", "aksaray", "127.0.0.1:7104", TARGET_SLOTS,
     TARGET_CONNECTIONS, false},
    {"rez-db-1-b", "rez-db-1", "karaman", "127.0.0.1:7105", TARGET_SLOTS,
     TARGET_CONNECTIONS, false},
    {"rez-db-1-c", "rez-db-1", "nigde", "127.0.0.1:7106", TARGET_SLOTS,
     TARGET_CONNECTIONS, false},
    {"rez-db-2-a", "rez-db-2", "karaman", "127.0.0.1:7107", TARGET_SLOTS,
     TARGET_CONNECTIONS, false},
    {"rez-db-2-b", "rez-db-2", "nigde", "127.0.0.1:7108", TARGET_SLOTS,
     TARGET_CONNECTIONS, false},
    {"rez-db-2-c", "rez-db-2", "konya", "127.0.0.1:7109", TARGET_SLOTS,
     TARGET_CONNECTIONS, false},
};

/* Rates in requests per second; bursts cover two seconds. At harvest the three
 * large cooperatives book for most of the trucks. */
static const mr_op_account_t accounts[] = {
    {"coop-konya", 200, 400, 4},    {"coop-aksaray", 150, 300, 3},
    {"coop-karaman", 120, 240, 3},  {"coop-nigde", 40, 80, 1},
    {"nakliye-anadolu", 30, 60, 1}, {"nakliye-toros", 30, 60, 1},
    {"kantar-eregli", 20, 40, 1},   {"pano", 10, 20, 1},
};

static void
describe_routes(mr_op_t *op)
{
    /* Bookings: reads include the session's own writes. */
    mr_op_route_t bookings = {
        .name = "bookings",
        .service = service,
        .freshness = MR_OP_FRESHNESS_SESSION,
        .deadline_ms = BOOKING_DEADLINE_MS,
        .offline_limit_s = OFFLINE_LIMIT_S,
    };
    /* Weighbridges release a dryer only by current data from the primary. */
    mr_op_route_t dryers = {
        .name = "dryers",
        .service = service,
        .freshness = MR_OP_FRESHNESS_PRESENT,
        .deadline_ms = BOOKING_DEADLINE_MS,
        .offline_limit_s = OFFLINE_LIMIT_S,
    };
    /* The public board of free slots needs no key. */
    mr_op_route_t schedule = {
        .name = "schedule",
        .service = service,
        .open = true,
        .charged_account = "pano",
        .freshness = MR_OP_FRESHNESS_MAX_AGE,
        .max_age_ms = SCHEDULE_MAX_AGE_MS,
        .deadline_ms = BOOKING_DEADLINE_MS,
        .offline_limit_s = OFFLINE_LIMIT_S,
    };

    mr_op_route(op, &bookings);
    mr_op_route(op, &dryers);
    mr_op_route(op, &schedule);
    for (size_t i = 0; i < COUNT_OF(accounts); i++) {
        mr_op_allow(op, "bookings", accounts[i].name);
    }
    mr_op_allow(op, "dryers", "kantar-eregli");
}

static void
describe(options_t *options, mr_op_t *op)
{
    for (size_t i = 0; i < COUNT_OF(data_centres); i++) {
        mr_op_data_centre(op, data_centres[i], region);
    }
    mr_op_service(op, service);
    mr_op_group(op, service, "rez-db-0");
    mr_op_group(op, service, "rez-db-1");
    mr_op_group(op, service, "rez-db-2");
    for (size_t i = 0; i < COUNT_OF(targets); i++) {
        options_add_target(options, op, &targets[i]);
    }
    for (size_t i = 0; i < COUNT_OF(accounts); i++) {
        options_add_account(options, op, &accounts[i]);
    }
    describe_routes(op);
}

int
main(int argc, char **argv)
{
    const example_t example = {"ovakoy", describe, accounts,
                               COUNT_OF(accounts)};

    return options_run(&example, argc, argv);
}
