/*
 * Evacuated failure domains, whose servers get no new requests. The operator's
 * records may be received twice, out of order or by way of another instance,
 * so each domain keeps the offset of its newest record, also once its
 * evacuation has ended: an older record never takes effect again.
 */
#include <string.h>

#include "base/fault.h"
#include "relay/relay_internal.h"

/**
 * struct evacuation - the newest record about one failure domain.
 * @offset: its log offset, or if it was missing in a listing, the end of that
 * @active: the domain is evacuated
 * @listed: named since the current listing began
 */
struct evacuation {
    char *domain;
    uint64_t offset;
    int active;
    int listed;
};

void
Fw_Evacuation_Free(gpointer data)
{
    struct evacuation *e = data;

    g_free(e->domain);
    g_free(e);
}

static struct evacuation *
find(const struct fw_relay *r, const char *domain)
{
    for (guint i = 0; i < r->evacuations->len; i++) {
        struct evacuation *e = g_ptr_array_index(r->evacuations, i);

        if (strcmp(e->domain, domain) == 0) {
            return e;
        }
    }
    return NULL;
}

int
Fw_Evacuation_IsActive(const struct fw_relay *r, const char *domain)
{
    const struct evacuation *e = find(r, domain);

    return e && e->active;
}

/* Servers may be cold when the evacuation of their domain ends. */
static void
update_servers(struct fw_relay *r, const struct evacuation *e, int64_t now_us)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->servers) {
        struct fw_rl_server *s = FW_LIST_ENTRY(pos, struct fw_rl_server, link);

        if (strcmp(s->entry.domain, e->domain) != 0) {
            continue;
        }
        s->is_evacuated = e->active;
        if (!e->active) {
            Fw_Cold_Assume(r, s, now_us);
        }
    }
}

static void
set_active(struct fw_relay *r, struct evacuation *e, int active,
           uint64_t offset, int64_t now_us, struct fw_rl_actions *out)
{
    e->offset = offset;
    if (e->active == active) {
        return;
    }
    e->active = active;
    Fw_RelayActions_Log(
        out, r, LOG_NOTICE, active ? "domain_evacuated" : "evacuation_ended",
        "\"domain\":\"%s\",\"offset\":%" G_GUINT64_FORMAT, e->domain, offset);
    update_servers(r, e, now_us);
    Fw_Stream_PlaceQueued(r, now_us, out);
}

void
Fw_Relay_SetEvacuation(struct fw_relay *r, const char *domain, int active,
                       uint64_t offset, int64_t now_us,
                       struct fw_rl_actions *out)
{
    struct evacuation *e = find(r, domain);
    uint64_t known_end = e ? e->offset : r->evacuations_end;

    if (offset < known_end && !FW_FAULT("evacuation-adopt-older")) {
        return;
    }
    if (!e) {
        e = g_new0(struct evacuation, 1);
        e->domain = g_strdup(domain);
        g_ptr_array_add(r->evacuations, e);
    }
    e->listed = 1;
    set_active(r, e, active, offset, now_us, out);
}

void
Fw_Relay_BeginEvacuationList(struct fw_relay *r)
{
    for (guint i = 0; i < r->evacuations->len; i++) {
        ((struct evacuation *)g_ptr_array_index(r->evacuations, i))->listed =
            0;
    }
}

void
Fw_Relay_EndEvacuationList(struct fw_relay *r, uint64_t end, int64_t now_us,
                           struct fw_rl_actions *out)
{
    for (guint i = 0; i < r->evacuations->len; i++) {
        struct evacuation *e = g_ptr_array_index(r->evacuations, i);

        if (!e->listed && e->offset < end) {
            set_active(r, e, 0, end, now_us, out);
        }
    }
    r->evacuations_end = MAX(r->evacuations_end, end);
}
