/* Orders to load or unload models and adapters, or to change the role. */
#include <string.h>

#include "stand/engine.h"

static int
find_model(const struct fw_stand_engine *e, const char *ref)
{
    for (guint i = 0; i < e->models->len; i++) {
        if (strcmp(g_ptr_array_index(e->models, i), ref) == 0) {
            return (int)i;
        }
    }
    return -1;
}

/* @loaded is "model@version", with or without "+adapter". */
static int
serves(const char *loaded, const char *model, const char *adapter)
{
    size_t name = strcspn(loaded, "@");
    size_t base = strcspn(loaded, "+");
    size_t len = strlen(model);

    return (len == name || len == base) && !strncmp(loaded, model, len) &&
           !strcmp(loaded[base] ? loaded + base + 1 : "", adapter);
}

int
Fw_StandOrder_HasModel(const struct fw_stand_engine *e, const char *model,
                       const char *adapter)
{
    for (guint i = 0; i < e->models->len; i++) {
        if (serves(g_ptr_array_index(e->models, i), model, adapter)) {
            return 1;
        }
    }
    return 0;
}

static void
execute(struct fw_stand_reply *r)
{
    struct fw_stand_engine *e = r->port->owner;
    const char *op = Fw_StandReply_Str(r, "op", "");
    int adapter = g_str_has_suffix(op, "_adapter");
    char *ref = g_strdup_printf(
        "%s@%s%s%s", Fw_StandReply_Str(r, "model", ""),
        Fw_StandReply_Str(r, "version", ""), adapter ? "+" : "",
        adapter ? Fw_StandReply_Str(r, "adapter", "") : "");
    int index = find_model(e, ref);

    if (g_str_has_prefix(op, "load_") && index < 0) {
        g_ptr_array_add(e->models, g_strdup(ref));
    }
    else if (g_str_has_prefix(op, "unload_") && index >= 0) {
        g_ptr_array_remove_index(e->models, (guint)index);
    }
    else if (strcmp(op, "set_role") == 0) {
        g_strlcpy(e->role, Fw_StandReply_Str(r, "role", e->role),
                  sizeof(e->role));
    }
    Fw_StandJournal_Add(r, op, ref);
    g_free(ref);
    Fw_StandReply_Text(r, 200, "application/json", "{}");
}

static void
reject_expired(struct fw_stand_reply *r)
{
    Fw_StandReply_Error(r, 410, "the order's time to live is over");
}

void
Fw_StandOrder_Receive(struct fw_stand_engine *e, struct fw_stand_reply *r)
{
    static const char *const ops[] = {"load_model",   "unload_model",
                                      "load_adapter", "unload_adapter",
                                      "set_role",     NULL};
    const struct fw_stand_fault *f =
        Fw_StandFault_Find(&e->port, "order-delay");
    uint64_t fence = (uint64_t)Fw_StandReply_Int(r, "fence", 0);
    const char *op = Fw_StandReply_Str(r, "op", "");
    int64_t delay_ms = f ? f->duration_ms : 0;
    int64_t load_ms = 0;

    if (!g_strv_contains(ops, op)) {
        Fw_StandReply_Error(r, 400, "no such op");
        return;
    }
    if (e->checks_fence && fence < e->highest_fence) {
        Fw_StandReply_Error(r, 409, "old fence");
        return;
    }
    e->highest_fence = MAX(e->highest_fence, fence);
    if (delay_ms > Fw_StandReply_Int(r, "ttl_ms", INT64_MAX)) {
        Fw_StandReply_Schedule(r, delay_ms, reject_expired);
        return;
    }
    if (g_str_has_prefix(op, "load_")) {
        load_ms = Fw_StandWeights_QueueFetch(e->port.stand->weights);
    }
    if (load_ms < 0) {
        Fw_StandReply_Error(r, 503, "the weight store is down");
        return;
    }
    Fw_StandReply_Schedule(r, delay_ms + load_ms, execute);
}
