/* The promises that can be explored; each module adds its row. */
#include "explore/explore.h"
#include "explore/p_config.h"
#include "explore/p_fleet.h"
#include "explore/p_idem.h"
#include "explore/p_limit.h"
#include "explore/p_order.h"
#include "explore/p_request.h"
#include "explore/p_route.h"

const struct fw_promise Fw_Promises[] = {
    {.name = "members-converge",
     .run = Fw_Explore_Members,
     .fault = "fleet-no-refutation"},
    {.name = "one-role-holder",
     .run = Fw_Explore_Roles,
     .fault = "role-stale-read"},
    {.name = "answered-once-whole",
     .run = Fw_Explore_Requests,
     .fault = "pieces-not-matched"},
    {.name = "no-memory-for-the-gone",
     .run = Fw_Explore_Requests,
     .fault = "orphans-not-polled"},
    {.name = "completion-not-run-is-true",
     .run = Fw_Explore_Requests,
     .fault = "verdict-forgotten"},
    {.name = "planned-stop-cuts-nothing",
     .run = Fw_Explore_PlannedStop,
     .fault = "stop-without-waiting"},
    {.name = "withdrawn-key-stops",
     .run = Fw_Explore_Requests,
     .fault = "withdrawn-runs-on"},
    {.name = "rate-and-burst",
     .run = Fw_Explore_Limit,
     .fault = "limit-lease-forever"},
    {.name = "at-most-once",
     .run = Fw_Explore_AtMostOnce,
     .fault = "idem-no-order"},
    {.name = "not-run-is-true",
     .run = Fw_Explore_NotRun,
     .fault = "idem-late-run"},
    {.name = "config-converges",
     .run = Fw_Explore_ConfigConverges,
     .fault = "snapshot-no-hash"},
    {.name = "config-never-reverts",
     .run = Fw_Explore_ConfigReverts,
     .fault = "config-adopt-older"},
    {.name = "no-lost-update",
     .run = Fw_Explore_LostUpdate,
     .fault = "config-no-compare"},
    {.name = "withdrawn-key-stays",
     .run = Fw_Explore_WithdrawnKey,
     .fault = "config-key-comes-back"},
    {.name = "pool-keeps-roles",
     .run = Fw_Explore_PoolRoles,
     .fault = "order-empties-pool"},
    {.name = "orders-in-fence-order",
     .run = Fw_Explore_OrderFences,
     .fault = "order-without-role"},
    {.name = "leaving-gets-no-new-work",
     .run = Fw_Explore_Leaving,
     .fault = "route-own-word-unheard"},
    {.name = NULL},
};
