/*
 * Prints the configuration of Calor Limpio's stove maintenance: three data
 * centres in Asturias, Cantabria and Leon, one service of three groups, eight
 * client accounts of which two are large.
 *
 *     calor_limpio --version 2 --key hogar-asturias=k1:HASH > calor.json
 */

#include <masticrelay.h>

#include "common_options.h"

/* Number of elements of an array. */
#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

static const char region[] = "cantabrico";
static const char service[] = "servicio-db";

enum {
    TARGET_SLOTS = 3,
    TARGET_CONNECTIONS = 90,
    VISIT_DEADLINE_MS = 3000,
    NOTICE_MAX_AGE_MS = 10000,
    OFFLINE_LIMIT_S = 3600,
};

static const char *const data_centres[] = {"oviedo", "santander", "leon"};

/* Each target of a group is in a different data centre, so that the group
 * keeps a majority when one data centre fails. */
static const mr_op_target_t targets[] = {
    {"servicio-db-0-a", "servicio-db-0", "oviedo", "127.0.0.1:7201",
     TARGET_SLOTS, TARGET_CONNECTIONS, false},
    {"servicio-db-0-b", "servicio-db-0", "santander", "127.0.0.1:7202",
     TARGET_SLOTS, TARGET_CONNECTIONS, false},
    {"servicio-db-0-c", "servicio-db-0", "leon", "127.0.0.1:7203",
     TARGET_SLOTS, TARGET_CONNECTIONS, false},
    {"servicio-db-1-a", "servicio-db-1", "santander", "127.0.0.1:7204",
     TARGET_SLOTS, TARGET_CONNECTIONS, false},
    {"servicio-db-1-b", "servicio-db-1", "leon", "127.0.0.1:7205",
     TARGET_SLOTS, TARGET_CONNECTIONS, false},
    {"servicio-db-1-c", "servicio-db-1", "oviedo", "127.0.0.1:7206",
     TARGET_SLOTS, TARGET_CONNECTIONS, false},
    {"servicio-db-2-a", "servicio-db-2", "leon", "127.0.0.1:7207",
     TARGET_SLOTS, TARGET_CONNECTIONS, false},
    {"servicio-db-2-b", "servicio-db-2", "oviedo", "127.0.0.1:7208",
     TARGET_SLOTS, TARGET_CONNECTIONS, false},
    {"servicio-db-2-c", "servicio-db-2", "santander", "127.0.0.1:7209",
     TARGET_SLOTS, TARGET_CONNECTIONS, false},
};

/* Rates in requests per second. The two large accounts receive the calls of
 * the cold months; the weights ensure that small accounts are served then,
 * too. */
static const mr_op_account_t accounts[] = {
    {"hogar-asturias", 90, 180, 2},  {"hogar-leon", 80, 160, 2},
    {"hogar-cantabria", 30, 60, 1},  {"taller-oviedo", 20, 40, 1},
    {"taller-santander", 20, 40, 1}, {"taller-leon", 20, 40, 1},
    {"repuestos", 10, 20, 1},        {"avisos", 5, 10, 1},
};

static void
describe_routes(mr_op_t *op)
{
    /* Visits: reads include the session's own writes. */
    mr_op_route_t visits = {
        .name = "visits",
        .service = service,
        .freshness = MR_OP_FRESHNESS_SESSION,
        .deadline_ms = VISIT_DEADLINE_MS,
        .offline_limit_s = OFFLINE_LIMIT_S,
    };
    /* Repair records are read before a stove is lit: current data only. */
    mr_op_route_t repairs = {
        .name = "repairs",
        .service = service,
        .freshness = MR_OP_FRESHNESS_PRESENT,
        .deadline_ms = VISIT_DEADLINE_MS,
        .offline_limit_s = OFFLINE_LIMIT_S,
    };
    /* Public notices need no key. */
    mr_op_route_t notices = {
        .name = "notices",
        .service = service,
        .open = true,
        .charged_account = "avisos",
        .freshness = MR_OP_FRESHNESS_MAX_AGE,
        .max_age_ms = NOTICE_MAX_AGE_MS,
        .deadline_ms = VISIT_DEADLINE_MS,
        .offline_limit_s = OFFLINE_LIMIT_S,
    };

    mr_op_route(op, &visits);
    mr_op_route(op, &repairs);
    mr_op_route(op, &notices);
    for (size_t i = 0; i < COUNT_OF(accounts); i++) {
        mr_op_allow(op, "visits", accounts[i].name);
    }
    mr_op_allow(op, "repairs", "taller-oviedo");
    mr_op_allow(op, "repairs", "taller-santander");
    mr_op_allow(op, "repairs", "taller-leon");
}

static void
describe(options_t *options, mr_op_t *op)
{
    for (size_t i = 0; i < COUNT_OF(data_centres); i++) {
        mr_op_data_centre(op, data_centres[i], region);
    }
    mr_op_service(op, service);
    mr_op_group(op, service, "servicio-db-0");
    mr_op_group(op, service, "servicio-db-1");
    mr_op_group(op, service, "servicio-db-2");
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
    const example_t example = {"calor-limpio", describe, accounts,
                               COUNT_OF(accounts)};

    return options_run(&example, argc, argv);
}
