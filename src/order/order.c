/* Tracks the engines managed here, polls them and sends orders. */
#include "order/order.h"

#include <errno.h>
#include <string.h>
#include <syslog.h>

#include "base/fault.h"
#include "order/order_internal.h"

struct fw_orders *
Fw_Orders_New(const struct fw_roles *roles, uint32_t seed,
              struct fw_metrics *metrics)
{
    struct fw_orders *o = g_new0(struct fw_orders, 1);

    o->roles = roles;
    o->rand = g_rand_new_with_seed(seed);
    Fw_List_Init(&o->engines);
    o->sent = (struct fw_metric){.name = "fw_orders_sent_total",
                                 .help = "Orders sent to engines."};
    o->failed = (struct fw_metric){
        .name = "fw_orders_failed_total",
        .help = "Orders that were refused or whose answer was lost."};
    o->fenced = (struct fw_metric){
        .name = "fw_orders_fenced_total",
        .help = "Orders refused for an old fencing number."};
    o->pending = (struct fw_metric){.name = "fw_orders_pending",
                                    .help = "Engines here not as configured.",
                                    .is_gauge = 1};
    if (metrics) {
        Fw_Metrics_Add(metrics, &o->sent);
        Fw_Metrics_Add(metrics, &o->failed);
        Fw_Metrics_Add(metrics, &o->fenced);
        Fw_Metrics_Add(metrics, &o->pending);
    }
    return o;
}

static void
free_engine(struct fw_order_engine *e)
{
    Fw_List_Remove(&e->link);
    g_free(e);
}

void
Fw_Orders_Free(struct fw_orders *o)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    if (!o) {
        return;
    }
    FW_LIST_EACH_SAFE (pos, tmp, &o->engines) {
        free_engine(FW_LIST_ENTRY(pos, struct fw_order_engine, link));
    }
    g_rand_free(o->rand);
    g_free(o);
}

static struct fw_order_engine *
find_engine(const struct fw_orders *o, const char *name)
{
    const struct fw_list *pos;

    FW_LIST_EACH (pos, &o->engines) {
        struct fw_order_engine *e =
            FW_LIST_ENTRY(pos, struct fw_order_engine, link);

        if (strcmp(e->name, name) == 0) {
            return e;
        }
    }
    return NULL;
}

static int
check_role(const struct fw_orders *o, const char *pool, int64_t now_us,
           uint64_t *fence)
{
    int partition = Fw_Roles_PartitionOf(o->roles, pool);

    return Fw_Roles_MayAct(o->roles, FW_ROLE_ORDER, partition, now_us, fence);
}

/* Adds or updates an engine. One that is new or whose configuration changed is
 * polled after a random delay, to spread the polls. */
static void
update_engine(struct fw_orders *o, const struct fw_config *cfg,
              const struct fw_upstream *up, int64_t now_us)
{
    struct fw_order_engine *e = find_engine(o, up->name);
    uint64_t version =
        MAX(up->version, Fw_Config_FindPool(cfg, up->pool)->version);

    if (!e) {
        e = g_new0(struct fw_order_engine, 1);
        g_strlcpy(e->name, up->name, sizeof(e->name));
        g_strlcpy(e->state, "not polled yet", sizeof(e->state));
        Fw_List_Append(&o->engines, &e->link);
    }
    if (e->version != version) {
        e->version = version;
        e->next_poll_us =
            now_us +
            g_rand_int_range(o->rand, 0, FW_ORDER_RECHECK_INTERVAL_US);
    }
    if (strcmp(e->pool, up->pool) != 0) {
        g_strlcpy(e->pool, up->pool, sizeof(e->pool));
    }
    e->drained = up->drained;
    e->owned = 1;
}

/* Updates the set of engines from the configuration and the roles held. The
 * calls under way to removed engines are forgotten; their new holder polls
 * them. */
static void
sync_engines(struct fw_orders *o, const struct fw_config *cfg, int64_t now_us)
{
    GPtrArray *owned = g_ptr_array_new();
    GHashTableIter it;
    void *value;
    struct fw_list *pos;
    struct fw_list *tmp;

    g_hash_table_iter_init(&it, cfg->upstreams);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct fw_upstream *up = value;

        /* Only -EPERM removes an engine: while the log can't be read, the
         * state of orders under way is kept. Sends check the role again. */
        if (up->role != FW_ROLE_SERVICE && Fw_Config_FindPool(cfg, up->pool) &&
            check_role(o, up->pool, now_us, NULL) != -EPERM) {
            g_ptr_array_add(owned, (void *)up);
        }
    }
    FW_LIST_EACH (pos, &o->engines) {
        FW_LIST_ENTRY(pos, struct fw_order_engine, link)->owned = 0;
    }
    for (unsigned i = 0; i < owned->len; i++) {
        update_engine(o, cfg, g_ptr_array_index(owned, i), now_us);
    }
    FW_LIST_EACH_SAFE (pos, tmp, &o->engines) {
        struct fw_order_engine *e =
            FW_LIST_ENTRY(pos, struct fw_order_engine, link);

        if (!e->owned) {
            free_engine(e);
        }
    }
    g_ptr_array_unref(owned);
}

static struct fw_up_start *
start_call(struct fw_orders *o, const struct fw_upstream *up,
           struct fw_order_engine *e, enum fw_up_kind kind,
           struct fw_actions *out)
{
    struct fw_up_start *start = &Fw_Actions_Add(out, FW_ACT_UP_START)->u.up;

    start->op = Fw_Owner_MakeId(FW_OWNER_ORDER, ++o->seq);
    start->kind = kind;
    g_strlcpy(start->upstream, up->name, sizeof(start->upstream));
    g_strlcpy(start->url, up->url, sizeof(start->url));
    e->op = start->op;
    return start;
}

static void
poll_engine(struct fw_orders *o, const struct fw_config *cfg,
            struct fw_order_engine *e, struct fw_actions *out)
{
    const struct fw_upstream *up = Fw_Config_FindUpstream(cfg, e->name);
    struct fw_up_start *start;

    if (!up) {
        return;
    }
    start = start_call(o, up, e, FW_UP_LOAD_REPORT, out);
    start->idle_timeout_us = FW_ORDER_POLL_TIMEOUT_US;
    e->call = FW_ORDER_CALL_POLL;
}

static void
log_order(const struct fw_order_engine *e, uint64_t fence,
          struct fw_actions *out)
{
    char text[24];

    g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, fence);
    Fw_Actions_Note(out, LOG_NOTICE, "order_sent", "upstream", e->name,
                    "order", e->last_order_text, "fence", text, NULL);
}

static void
send_order(struct fw_orders *o, const struct fw_upstream *up,
           struct fw_order_engine *e, const struct fw_up_order *order,
           struct fw_actions *out)
{
    struct fw_up_start *start = start_call(o, up, e, FW_UP_ORDER, out);

    start->u.order = *order;
    start->u.order.ttl_us = FW_ORDER_TTL_US;
    start->idle_timeout_us = FW_ORDER_TIMEOUT_US;
    e->call = FW_ORDER_CALL_ORDER;
    e->last_order = start->u.order;
    g_snprintf(e->last_order_text, sizeof(e->last_order_text),
               "%s %s%s%s%s%s%s", Fw_Order_OpName(order->op), order->model,
               order->version[0] ? "@" : "", order->version,
               order->adapter[0] ? "+" : "", order->adapter, order->role);
    g_snprintf(e->state, sizeof(e->state), "%.90s", e->last_order_text);
    o->sent.value++;
    log_order(e, order->fence, out);
}

/*
 * The role is checked in the same step that sends the order, so that an
 * instance that was paused sends none after its role has passed on. Orders
 * delayed in the network are dropped by the engine, by fencing number or time
 * to live.
 */
void
Fw_Order_SendNext(struct fw_orders *o, const struct fw_config *cfg,
                  struct fw_order_engine *e, int64_t now_us,
                  struct fw_actions *out)
{
    const struct fw_upstream *up = Fw_Config_FindUpstream(cfg, e->name);
    const struct fw_pool *pool = up ? Fw_Config_FindPool(cfg, up->pool) : NULL;
    struct fw_order_counts counts;
    struct fw_up_order order;
    uint64_t fence = 0;
    int rc;

    if (!pool || up->role == FW_ROLE_SERVICE) {
        return;
    }
    counts = Fw_Order_CountEngines(o, up->pool, now_us);
    if (!Fw_Order_Plan(pool, up, e, &counts, &order, e->state,
                       sizeof(e->state))) {
        return;
    }
    if (now_us < e->hold_until_us) {
        g_strlcpy(e->state, "waits: an earlier order may still come",
                  sizeof(e->state));
        return;
    }
    rc = check_role(o, up->pool, now_us, &fence);
    if (rc && !FW_FAULT("order-without-role")) {
        g_strlcpy(e->state, "the role is not ours now", sizeof(e->state));
        return;
    }
    order.fence = fence;
    send_order(o, up, e, &order, out);
}

static void
count_pending(struct fw_orders *o)
{
    const struct fw_list *pos;

    o->pending.value = 0;
    FW_LIST_EACH (pos, &o->engines) {
        const struct fw_order_engine *e =
            FW_LIST_ENTRY(pos, struct fw_order_engine, link);

        o->pending.value += strcmp(e->state, "as configured") != 0;
    }
}

void
Fw_Orders_Tick(struct fw_orders *o, const struct fw_config *cfg,
               int64_t now_us, struct fw_actions *out)
{
    struct fw_list *pos;

    if (now_us < o->next_sync_us) {
        Fw_Actions_Wake(out, o->next_sync_us);
        return;
    }
    o->next_sync_us = now_us + FW_ORDER_SYNC_INTERVAL_US;
    sync_engines(o, cfg, now_us);
    FW_LIST_EACH (pos, &o->engines) {
        struct fw_order_engine *e =
            FW_LIST_ENTRY(pos, struct fw_order_engine, link);

        if (e->call == FW_ORDER_CALL_NONE && now_us >= e->next_poll_us &&
            check_role(o, e->pool, now_us, NULL) == 0) {
            poll_engine(o, cfg, e, out);
        }
    }
    count_pending(o);
    Fw_Actions_Wake(out, o->next_sync_us);
}
