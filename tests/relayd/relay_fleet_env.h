/*
 * Test environment: several routers of one fleet, the stand-in store and
 * plain servers, in one process and event loop, under a steady load.
 */
#ifndef FW_TESTS_RELAYD_RELAY_FLEET_ENV_H
#define FW_TESTS_RELAYD_RELAY_FLEET_ENV_H

#include "relayd/relayd.h"
#include "stand/wire/wire.h"
#include "tests/io/rig.h"

#define FW_ENV_ROUTERS 3
#define FW_ENV_SERVERS 3

/**
 * struct relay_fleet_env - a fleet in front of plain servers.
 * @open: requests that have no response yet, of struct rig_conn
 * @n_sent: requests sent so far
 * @n_served, @n_rejected: responses with status 200, and others
 */
struct relay_fleet_env {
    struct fw_wire_store *store;
    struct fw_wire_server *servers[FW_ENV_SERVERS];
    struct fw_relayd *routers[FW_ENV_ROUTERS];
    char callers[FW_ENV_ROUTERS][FW_URL_MAX];
    GPtrArray *open;
    int n_sent;
    int n_served;
    int n_rejected;
    int null_fd;
};

/* Starts the servers and @n_routers routers, and waits until they are ready.
 */
void
Fw_RelayFleetEnv_Init(struct relay_fleet_env *env, int n_routers);
void
Fw_RelayFleetEnv_Free(struct relay_fleet_env *env);
/* Sends 50 requests a second to each router for @us, then awaits responses. */
void
Fw_RelayFleetEnv_Load(struct relay_fleet_env *env, int64_t us);

#endif
