/* Creates and frees an instance's subsystems; queries. */
#include "node/node.h"

#include "node/node_internal.h"

/* Waits of a new role holder, covering what its predecessor handed out. */
#define FW_BUDGET_TAKEOVER_WAIT_US (900 * FW_SEC) /* life of token leases */
#define FW_ORDER_TAKEOVER_WAIT_US (10 * FW_SEC)   /* life of an order */

static void
add_gauge(struct fw_node *node, struct fw_metric *m, const char *name,
          const char *help)
{
    m->name = name;
    m->help = help;
    m->is_gauge = 1;
    Fw_Metrics_Add(&node->metrics, m);
}

static void
create_subsystems(struct fw_node *node, int64_t now_us)
{
    const struct fw_node_opts *o = &node->opts;
    const int64_t takeover_wait_us[FW_ROLE_KINDS] = {
        [FW_ROLE_BUDGET] = FW_BUDGET_TAKEOVER_WAIT_US,
        [FW_ROLE_ORDER] = FW_ORDER_TAKEOVER_WAIT_US,
    };
    struct fw_request_deps deps = {
        .self = &o->self,
        .metrics = &node->metrics,
        .prompt_tokens_max = o->prompt_tokens_max,
        .max_tokens_default = o->max_tokens_default,
    };

    node->explain = Fw_Explain_New();
    node->operate =
        Fw_Operate_New(&o->self, o->seed + 3, &node->metrics, now_us);
    node->replica = Fw_ConfigReplica_New(o->self.name, o->seed + 2,
                                         &node->metrics, now_us);
    node->fleet = Fw_Fleet_New(&o->self, o->seed, &node->metrics);
    node->roles = Fw_Roles_New(&o->self, o->partitions, takeover_wait_us);
    node->limit = Fw_Limit_New(&o->self, node->fleet, node->roles, o->seed + 1,
                               &node->metrics);
    node->idem =
        Fw_Idem_New(&o->self, node->fleet, o->partitions, &node->metrics);
    node->router =
        Fw_Router_New(&o->self, node->fleet, &o->route, &node->metrics);
    node->orders = Fw_Orders_New(node->roles, o->seed + 4, &node->metrics);
    deps.replica = node->replica;
    deps.fleet = node->fleet;
    deps.limit = node->limit;
    deps.idem = node->idem;
    deps.router = node->router;
    deps.explain = node->explain;
    node->requests = Fw_Requests_New(&deps);
}

struct fw_node *
Fw_Node_New(const struct fw_node_opts *opts, int64_t now_us)
{
    struct fw_node *node = g_new0(struct fw_node, 1);

    node->opts = *opts;
    node->wake_us = now_us;
    Fw_Metrics_Init(&node->metrics);
    add_gauge(node, &node->stale_metric, "fw_config_stale_microseconds",
              "age of the last successful read of the configuration log");
    add_gauge(node, &node->open_metric, "fw_requests_open",
              "requests running or waiting");
    create_subsystems(node, now_us);
    return node;
}

void
Fw_Node_Free(struct fw_node *node)
{
    if (!node) {
        return;
    }
    Fw_Requests_Free(node->requests);
    Fw_Orders_Free(node->orders);
    Fw_Router_Free(node->router);
    Fw_Idem_Free(node->idem);
    Fw_Limit_Free(node->limit);
    Fw_Roles_Free(node->roles);
    Fw_Fleet_Free(node->fleet);
    Fw_ConfigReplica_Free(node->replica);
    Fw_Operate_Free(node->operate);
    Fw_Explain_Free(node->explain);
    g_free(node);
}

const struct fw_config *
Fw_Node_Config(const struct fw_node *node)
{
    return Fw_ConfigReplica_Config(node->replica);
}

struct fw_metrics *
Fw_Node_Metrics(struct fw_node *node)
{
    return &node->metrics;
}

int
Fw_Node_Ready(const struct fw_node *node)
{
    return !node->drain_started_us && node->warm;
}
