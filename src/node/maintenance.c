/* Periodic work: ticks, warm-up, staleness of the configuration, drain. */
#include <syslog.h>

#include "base/fault.h"
#include "base/hash.h"
#include "node/node_internal.h"

/* Polls of the list of instances and upstreams. */
#define FW_LIST_POLL_US (5 * FW_SEC)
#define FW_LIST_ALONE_POLL_US (500 * FW_MSEC) /* while no peer is known */
#define FW_DRAIN_MIN_US (300 * FW_MSEC) /* minimum, for handover messages */
#define FW_WARM_UP_MAX_US (5 * FW_SEC)
#define FW_WARM_UP_CHECK_US (50 * FW_MSEC)
#define FW_STALE_LOG_INTERVAL_US (10 * FW_SEC)

/* Roles and budgets are handed over first, so that their successors serve
 * while requests here run to completion. */
void
Fw_Node_Drain(struct fw_node *node, int64_t now_us, struct fw_actions *out)
{
    if (node->drain_started_us) {
        return;
    }
    node->drain_started_us = MAX(now_us, 1);
    Fw_Actions_Note(out, LOG_NOTICE, "drain_started", NULL);
    Fw_Fleet_Drain(node->fleet, now_us, out);
    Fw_Limit_Drain(node->limit, now_us, out);
    Fw_Roles_Drain(node->roles, node->fleet, now_us, out);
    Fw_Actions_Wake(out, now_us + FW_DRAIN_MIN_US);
}

void
Fw_Node_CheckDrained(struct fw_node *node, int64_t now_us,
                     struct fw_actions *out)
{
    if (!node->drain_started_us || node->exited) {
        return;
    }
    if (now_us - node->drain_started_us < FW_DRAIN_MIN_US) {
        Fw_Actions_Wake(out, node->drain_started_us + FW_DRAIN_MIN_US);
        return;
    }
    /* Wait for requests, and for the outcomes of service calls to be recorded,
     * which their callers may ask for on other instances. */
    if ((Fw_Requests_Count(node->requests) > 0 &&
         !FW_FAULT("stop-without-waiting")) ||
        (Fw_Idem_HasPendingOutcomes(node->idem) &&
         now_us - node->drain_started_us < node->opts.drain_max_us)) {
        return;
    }
    node->exited = 1;
    Fw_Actions_Note(out, LOG_NOTICE, "drain_finished", NULL);
    Fw_Actions_Add(out, FW_ACT_EXIT);
}

/* Reports the age of the configuration: until the log is read, this instance
 * goes on accepting keys withdrawn since. */
static void
report_staleness(struct fw_node *node, int64_t now_us, struct fw_actions *out)
{
    int64_t stale_us = Fw_ConfigReplica_StalenessUs(node->replica, now_us);

    node->stale_metric.value = stale_us;
    if (stale_us < node->opts.key_stale_us ||
        now_us - node->stale_logged_us < FW_STALE_LOG_INTERVAL_US) {
        return;
    }
    node->stale_logged_us = now_us;
    Fw_Actions_Note(out, LOG_WARNING, "config_stale", NULL);
}

/* Decides whether this instance writes snapshots, and asks peers in turn for
 * the configuration while the log can't be read. */
static void
tick_configuration(struct fw_node *node, int64_t now_us,
                   struct fw_actions *out)
{
    const struct fw_member *writer =
        Fw_Fleet_Pick(node->fleet, Fw_Hash_Str(FW_STREAM_SNAPSHOT), 0);

    Fw_ConfigReplica_SetSnapshotWriter(
        node->replica, writer && !node->drain_started_us &&
                           Fw_Fleet_IsSelf(node->fleet, writer));
    if (Fw_ConfigReplica_NeedsPeer(node->replica, now_us)) {
        GPtrArray *all = Fw_Fleet_Members(node->fleet);
        const struct fw_member *m =
            all->len ? g_ptr_array_index(all, node->next_peer++ % all->len)
                     : NULL;

        if (m && !Fw_Fleet_IsSelf(node->fleet, m)) {
            Fw_ConfigReplica_RequestFromPeer(node->replica, m->name, m->addr,
                                             now_us, out);
        }
        g_ptr_array_unref(all);
    }
    Fw_ConfigReplica_Tick(node->replica, now_us, out);
}

/* Polls more often while no peer is known: such an instance regards itself as
 * coordinator of everything. */
static int64_t
list_interval(const struct fw_node *node)
{
    GPtrArray *members = Fw_Fleet_Members(node->fleet);
    int alone = members->len <= 1;

    g_ptr_array_unref(members);
    return alone ? FW_LIST_ALONE_POLL_US : FW_LIST_POLL_US;
}

static int
leaders_known(const struct fw_node *node)
{
    for (int p = 0; p < node->opts.partitions; p++) {
        if (!Fw_Roles_Holder(node->roles, FW_ROLE_BUDGET, p)) {
            return 0;
        }
    }
    return 1;
}

/* Delays readiness after the start until the budget leaders and engines are
 * known, since without them requests within their team's budget would be
 * refused. Bounded by FW_WARM_UP_MAX_US, since the leaders can't be learned
 * while the log is down. */
static void
warm_up(struct fw_node *node, int64_t now_us, struct fw_actions *out)
{
    if (node->warm || !Fw_ConfigReplica_IsReady(node->replica)) {
        return;
    }
    if (!node->configured_us) {
        node->configured_us = now_us;
    }
    node->warm = now_us - node->configured_us >= FW_WARM_UP_MAX_US ||
                 (leaders_known(node) && Fw_Router_IsReady(node->router));
    Fw_Actions_Wake(out, now_us + FW_WARM_UP_CHECK_US);
}

void
Fw_Node_Tick(struct fw_node *node, int64_t now_us, struct fw_actions *out)
{
    const struct fw_config *cfg = Fw_Node_Config(node);

    node->wake_us = INT64_MAX;
    if (now_us >= node->next_list_us) {
        node->next_list_us = now_us + list_interval(node);
        Fw_Actions_Add(out, FW_ACT_REGISTRY_READ);
    }
    Fw_Actions_Wake(out, node->next_list_us);
    tick_configuration(node, now_us, out);
    Fw_Fleet_Tick(node->fleet, now_us, out);
    Fw_Roles_Tick(node->roles, node->fleet, now_us, out);
    Fw_Limit_Tick(node->limit, cfg, now_us, out);
    Fw_Idem_Tick(node->idem, now_us, out);
    Fw_Router_Tick(node->router, cfg, now_us, out);
    Fw_Orders_Tick(node->orders, cfg, now_us, out);
    Fw_Requests_Tick(node->requests, now_us, out);
    report_staleness(node, now_us, out);
    warm_up(node, now_us, out);
}
