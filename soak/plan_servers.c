/* Faults of the servers: how they begin and end. */
#include "soak/plan_internal.h"

#define FW_FAULTED_REQUESTS 20

static enum fw_wire_fault
wire_fault(enum fault f)
{
    switch (f) {
    case FW_SERVER_FULL:
        return FW_WIRE_FAULT_FULL;
    case FW_SERVER_ERROR:
        return FW_WIRE_FAULT_ERROR;
    case FW_SERVER_STALL:
        return FW_WIRE_FAULT_STALL;
    case FW_SERVER_BREAKS:
        return FW_WIRE_FAULT_TRUNCATE;
    case FW_SERVER_EMPTY:
        return FW_WIRE_FAULT_EMPTY;
    case FW_SERVER_UNMARKED:
        return FW_WIRE_FAULT_UNMARKED;
    default:
        return FW_WIRE_FAULT_PARTIAL;
    }
}

enum fw_proxy_mode
Fw_SoakPlan_ProxyMode(enum fault f)
{
    return f == FW_RELAY_STORE_SILENT || f == FW_SERVER_SILENT
               ? FW_PROXY_SILENT
           : f == FW_RELAY_STORE_DELAY || f == FW_SERVER_DELAY
               ? FW_PROXY_DELAY
               : FW_PROXY_ONE_WAY;
}

void
Fw_SoakPlan_BeginServerFault(struct entry *e)
{
    struct soak_server *v = &e->soak->servers[e->target % FW_SOAK_SERVERS];
    int64_t now = Fw_Soak_NowUs();

    switch (e->fault) {
    case FW_SERVER_DRAIN:
        v->draining_us = now;
        Fw_WireServer_SetDraining(v->stand);
        break;
    case FW_SERVER_REMOVED:
        v->draining_us = now;
        Fw_WireServer_Unregister(v->stand);
        break;
    case FW_SERVER_LIMIT:
        v->limit_us = now;
        v->limit = 0.5 + (double)(e->for_ms % 60) / 10;
        g_array_set_size(v->arrivals, 0);
        break;
    case FW_SERVER_REST:
        v->rests = 1;
        Fw_WireServer_SetRest(v->stand, "3");
        break;
    case FW_SERVER_LEAVES:
        Fw_WireServer_SetLeaving(v->stand);
        break;
    case FW_SERVER_FULL:
    case FW_SERVER_ERROR:
    case FW_SERVER_STALL:
    case FW_SERVER_PARTIAL:
    case FW_SERVER_EMPTY:
    case FW_SERVER_BREAKS:
    case FW_SERVER_UNMARKED:
        v->disturbed_us = FW_SOAK_ONGOING;
        Fw_WireServer_SetFault(v->stand, wire_fault(e->fault),
                               FW_FAULTED_REQUESTS);
        break;
    case FW_SERVER_KILL:
        v->disturbed_us = now;
        Fw_SoakWorld_RestartServer(v);
        break;
    case FW_SERVER_RESET:
        v->disturbed_us = now;
        Fw_Proxy_ResetAll(v->proxy);
        break;
    default:
        v->disturbed_us = FW_SOAK_ONGOING;
        if (!v->is_down) {
            Fw_Proxy_SetMode(v->proxy, Fw_SoakPlan_ProxyMode(e->fault));
        }
        break;
    }
    if (v->limit_us == now) {
        char text[16];

        g_snprintf(text, sizeof(text), "%.1f", v->limit);
        Fw_WireServer_SetLimit(v->stand, text);
    }
}

void
Fw_SoakPlan_EndServerFault(struct entry *e)
{
    struct soak_server *v = &e->soak->servers[e->target % FW_SOAK_SERVERS];

    switch (e->fault) {
    case FW_SERVER_DRAIN:
    case FW_SERVER_REMOVED:
    case FW_SERVER_LEAVES:
        v->disturbed_us = Fw_Soak_NowUs();
        Fw_SoakWorld_RestartServer(v);
        break;
    case FW_SERVER_LIMIT:
        v->limit_us = 0;
        Fw_WireServer_SetLimit(v->stand, NULL);
        break;
    case FW_SERVER_REST:
        v->rests = 0;
        Fw_WireServer_SetRest(v->stand, NULL);
        break;
    default:
        Fw_WireServer_SetFault(v->stand, FW_WIRE_FAULT_NONE, 0);
        if (!v->is_down) {
            Fw_Proxy_SetMode(v->proxy, FW_PROXY_PASS);
            v->disturbed_us = Fw_Soak_NowUs();
        }
        break;
    }
}
