/* Chooses the next order from an engine's report and the configuration. No
 * side effects. */
#include <string.h>

#include "base/fault.h"
#include "order/order_internal.h"

const char *
Fw_Order_OpName(enum fw_order_op op)
{
    static const char *const names[] = {"load_model", "unload_model",
                                        "load_adapter", "unload_adapter",
                                        "set_role"};
    return names[op];
}

static int
has_model(const struct fw_up_report *r, const char *ref)
{
    for (int i = 0; i < r->n_models; i++) {
        if (strcmp(r->models[i], ref) == 0) {
            return 1;
        }
    }
    return 0;
}

/* Writes "model@version", and "+adapter" if @adapter is set and @s has one. */
static void
format_ref(const struct fw_served_model *s, int adapter, char *ref)
{
    g_snprintf(ref, FW_MODELREF_MAX, "%s@%s%s%s", s->model, s->version,
               adapter && s->adapter[0] ? "+" : "", adapter ? s->adapter : "");
}

static void
set_order(struct fw_up_order *order, enum fw_order_op op,
          const struct fw_served_model *s)
{
    *order = (struct fw_up_order){.op = op};
    g_strlcpy(order->model, s->model, sizeof(order->model));
    g_strlcpy(order->version, s->version, sizeof(order->version));
    g_strlcpy(order->adapter, s->adapter, sizeof(order->adapter));
}

static int
plan_load(const struct fw_pool *pool, const struct fw_order_engine *e,
          struct fw_up_order *order)
{
    char ref[FW_MODELREF_MAX];

    for (int i = 0; i < pool->n_serves; i++) {
        const struct fw_served_model *s = &pool->serves[i];

        format_ref(s, 0, ref);
        if (!has_model(&e->report, ref)) {
            set_order(order, FW_ORDER_LOAD_MODEL, s);
            order->adapter[0] = '\0';
            return 1;
        }
        format_ref(s, 1, ref);
        if (!has_model(&e->report, ref)) {
            set_order(order, FW_ORDER_LOAD_ADAPTER, s);
            return 1;
        }
    }
    return 0;
}

/* Nonzero when @ref is configured, also as the base model of an adapter. */
static int
is_wanted(const struct fw_pool *pool, const char *ref)
{
    char want[FW_MODELREF_MAX];

    for (int i = 0; i < pool->n_serves; i++) {
        for (int adapter = 0; adapter < 2; adapter++) {
            format_ref(&pool->serves[i], adapter, want);
            if (strcmp(want, ref) == 0) {
                return 1;
            }
        }
    }
    return 0;
}

/* Parses "model@version+adapter". Return: nonzero on success. */
static int
split_ref(const char *ref, struct fw_served_model *s)
{
    char **at = g_strsplit(ref, "@", 2);
    char **plus = at[0] && at[1] ? g_strsplit(at[1], "+", 2) : NULL;
    int ok = plus && plus[0];

    *s = (struct fw_served_model){.model = ""};
    if (ok) {
        g_strlcpy(s->model, at[0], sizeof(s->model));
        g_strlcpy(s->version, plus[0], sizeof(s->version));
        g_strlcpy(s->adapter, plus[1] ? plus[1] : "", sizeof(s->adapter));
    }
    g_strfreev(at);
    g_strfreev(plus);
    return ok;
}

/* Unloads adapters before their base model. An empty list of models unloads
 * nothing, as it is more likely a mistake. */
static int
plan_unload(const struct fw_pool *pool, const struct fw_order_engine *e,
            struct fw_up_order *order)
{
    for (int adapter = 1; adapter >= 0 && pool->n_serves > 0; adapter--) {
        for (int i = 0; i < e->report.n_models; i++) {
            const char *ref = e->report.models[i];
            struct fw_served_model s;

            if (is_wanted(pool, ref) ||
                (strchr(ref, '+') != NULL) != adapter || !split_ref(ref, &s)) {
                continue;
            }
            set_order(
                order,
                adapter ? FW_ORDER_UNLOAD_ADAPTER : FW_ORDER_UNLOAD_MODEL, &s);
            return 1;
        }
    }
    return 0;
}

static const char *
role_name(enum fw_upstream_role role)
{
    return role == FW_ROLE_PREFILL ? "prefill" : "decode";
}

/*
 * Nonzero when enough other engines serve the present role of @e: the
 * configured minimum, and at least one. @counts has no drained engines, so @e
 * is subtracted only if it is not drained.
 */
static int
may_leave_role(const struct fw_pool *pool, const struct fw_order_engine *e,
               const struct fw_order_counts *counts)
{
    const char *role = e->report.role;
    int have = strcmp(role, "prefill") == 0 ? counts->prefill : counts->decode;
    int min =
        strcmp(role, "prefill") == 0 ? pool->prefill_min : pool->decode_min;

    return have - !e->drained >= MAX(min, 1) || FW_FAULT("order-empties-pool");
}

/* Role changes and unloads wait for this, so as not to abort requests. */
static int
is_idle(const struct fw_up_report *r)
{
    return r->busy_slots == 0 && r->queued_tokens == 0;
}

int
Fw_Order_Plan(const struct fw_pool *pool, const struct fw_upstream *up,
              const struct fw_order_engine *e,
              const struct fw_order_counts *counts, struct fw_up_order *order,
              char *why, size_t size)
{
    const char *role = role_name(up->role);

    if (e->report.draining) {
        g_strlcpy(why, "leaving: no orders", size);
        return 0;
    }
    if (plan_load(pool, e, order)) {
        if (counts->loads >= FW_ORDER_LOADS_MAX) {
            g_strlcpy(why, "waits for a load elsewhere in the pool", size);
            return 0;
        }
        return 1;
    }
    if (strcmp(e->report.role, role) != 0) {
        if (!may_leave_role(pool, e, counts)) {
            g_snprintf(why, size, "kept: one of the last %s engines",
                       e->report.role);
            return 0;
        }
        if (!is_idle(&e->report)) {
            g_strlcpy(why, "waits until it is idle to change role", size);
            return 0;
        }
        *order = (struct fw_up_order){.op = FW_ORDER_SET_ROLE};
        g_strlcpy(order->role, role, sizeof(order->role));
        return 1;
    }
    if (plan_unload(pool, e, order)) {
        if (!is_idle(&e->report)) {
            g_strlcpy(why, "waits until it is idle to unload", size);
            return 0;
        }
        return 1;
    }
    g_strlcpy(why, "as configured", size);
    return 0;
}
