/* Import of a KV cache from another engine over a link of limited rate. */
#include "stand/engine.h"

#include <inttypes.h>
#include <string.h>

static struct fw_stand_request *
find_exported(const struct fw_stand_engine *e, const char *from,
              const char *kv)
{
    struct fw_stand_port *port = Fw_Stand_FindPort(e->port.stand, from);
    struct fw_stand_engine *source;
    struct fw_list *pos;

    if (!port || strcmp(port->kind, "engine") != 0) {
        return NULL;
    }
    source = port->owner;
    FW_LIST_EACH (pos, &source->requests) {
        struct fw_stand_request *w =
            FW_LIST_ENTRY(pos, struct fw_stand_request, link);

        if (w->stage == FW_STAND_STAGE_EXPORTED && strcmp(w->kv_id, kv) == 0) {
            return w;
        }
    }
    return NULL;
}

static void
send_result(struct fw_stand_request *w)
{
    struct fw_stand_reply *r = w->reply;

    w->reply = NULL;
    Fw_StandReply_Json(r, 200, "{\"transfer_ms\":%" PRId64 "}",
                       (int64_t)((w->transfer_us + 999) / FW_MSEC));
}

static void
reject_expired(struct fw_stand_request *w)
{
    struct fw_stand_reply *r = w->reply;

    w->reply = NULL;
    Fw_StandEngine_FreeRequest(w);
    if (r) {
        Fw_StandReply_Error(r, 410, "the KV has lapsed");
    }
}

static gboolean
on_transfer_done(gpointer data)
{
    struct fw_stand_request *w = data;
    struct fw_stand_engine *e = w->engine;
    struct fw_stand_request *source =
        find_exported(e, w->source_url, w->kv_id);
    int64_t outage_ms;

    if (Fw_StandEngine_IsStalled(e, "import")) {
        return G_SOURCE_CONTINUE;
    }
    w->timer = 0;
    if (!source) {
        reject_expired(w);
        return G_SOURCE_REMOVE;
    }
    if (Fw_StandEngine_TriggersCrash(e, w, "import", &outage_ms)) {
        Fw_StandPort_Crash(&e->port, outage_ms);
        return G_SOURCE_REMOVE;
    }
    Fw_StandEngine_FreeRequest(source);
    w->stage = FW_STAND_STAGE_IMPORTED;
    Fw_StandEngine_FreeRequestAfter(w, e->opts->kv_ttl_ms);
    if (w->reply) {
        send_result(w);
    }
    return G_SOURCE_REMOVE;
}

/* Queues a transfer on the link. Return: time until its last byte arrives. */
static int64_t
reserve_link_us(struct fw_stand_engine *e, const char *domain, int64_t tokens)
{
    int64_t now = g_get_monotonic_time();
    int64_t *free_us = g_hash_table_lookup(e->link_free_us, domain);
    int64_t us = tokens * e->opts->kv_bytes_per_token * FW_SEC /
                 MAX(e->opts->link_bytes_per_s, 1);

    if (!free_us) {
        free_us = g_new0(int64_t, 1);
        g_hash_table_insert(e->link_free_us, g_strdup(domain), free_us);
    }
    *free_us = MAX(*free_us, now) + us;
    return *free_us - now;
}

static const char *
rejection_reason(struct fw_stand_engine *e, int64_t tokens)
{
    struct fw_stand_load now;

    if (strcmp(e->role, "decode") != 0) {
        return "not a decode engine";
    }
    if (Fw_StandFault_Find(&e->port, "leaving")) {
        return "leaving";
    }
    Fw_StandEngine_MeasureLoad(e, &now);
    if (now.busy >= e->opts->decode_slots ||
        now.kv_used_tokens + tokens > e->opts->kv_capacity_tokens) {
        return "no slot";
    }
    return NULL;
}

static int
attach_known(struct fw_stand_engine *e, struct fw_stand_reply *r,
             const char *id, const char *kv)
{
    struct fw_stand_request *w = Fw_StandEngine_FindRequest(e, id);

    if (!w) {
        return 0;
    }
    if (strcmp(w->kv_id, kv) != 0 || w->stage > FW_STAND_STAGE_IMPORTED) {
        Fw_StandEngine_FreeRequest(w);
        return 0;
    }
    Fw_StandEngine_AttachReply(w, r);
    if (w->stage == FW_STAND_STAGE_IMPORTED) {
        send_result(w);
    }
    return 1;
}

void
Fw_StandImport_Receive(struct fw_stand_engine *e, struct fw_stand_reply *r)
{
    const char *id = Fw_StandReply_Str(r, "request", "");
    const char *kv = Fw_StandReply_Str(r, "kv", "");
    const char *from = Fw_StandReply_Str(r, "from", "");
    struct fw_stand_request *source;
    const char *reason;
    struct fw_stand_request *w;

    if (attach_known(e, r, id, kv)) {
        return;
    }
    source = find_exported(e, from, kv);
    if (!source) {
        Fw_StandReply_Error(r, 410, "the KV has lapsed");
        return;
    }
    reason = rejection_reason(e, source->prompt_tokens);
    if (reason) {
        Fw_StandReply_Error(r, 503, reason);
        return;
    }
    Fw_StandJournal_Add(r, "import", id);
    w = Fw_StandEngine_AddRequest(e, id);
    w->stage = FW_STAND_STAGE_IMPORT;
    g_strlcpy(w->kv_id, kv, sizeof(w->kv_id));
    g_strlcpy(w->source_url, from, sizeof(w->source_url));
    w->prompt = g_bytes_ref(source->prompt);
    w->prompt_tokens = source->prompt_tokens;
    w->transfer_us =
        reserve_link_us(e, source->engine->port.domain, source->prompt_tokens);
    Fw_StandPrefill_ExtendExpiry(source, w->transfer_us / FW_MSEC);
    Fw_StandEngine_AttachReply(w, r);
    w->timer = g_timeout_add((guint)(w->transfer_us / FW_MSEC) + 1,
                             on_transfer_done, w);
}
