/* Prefill: one prompt at a time, by priority; cached tokens are skipped. */
#include "stand/engine.h"

#include <inttypes.h>
#include <string.h>

/* Limit of the queue, in units of 100 ms of prefill. */
#define QUEUE_MAX_100MS 64
#define PREFILL_OVERHEAD_US (3 * FW_MSEC)

static void
send_result(struct fw_stand_request *w)
{
    struct fw_stand_reply *r = w->reply;
    int64_t left = (w->expires_us - g_get_monotonic_time()) / FW_MSEC;

    w->reply = NULL;
    Fw_StandReply_Json(r, 200,
                       "{\"kv\":\"%s\",\"tokens\":%" PRId64
                       ",\"cached\":%" PRId64 ",\"lapse_ms\":%" PRId64 "}",
                       w->kv_id, w->prompt_tokens, w->cached_tokens,
                       MAX(left, 0));
}

void
Fw_StandPrefill_ExtendExpiry(struct fw_stand_request *w, int64_t ms)
{
    ms += w->engine->opts->kv_ttl_ms;
    w->expires_us = g_get_monotonic_time() + ms * FW_MSEC;
    Fw_StandEngine_FreeRequestAfter(w, ms);
}

static gboolean
on_prefill_done(gpointer data)
{
    struct fw_stand_request *w = data;
    struct fw_stand_engine *e = w->engine;
    int64_t outage_ms;

    if (Fw_StandEngine_IsStalled(e, "prefill")) {
        return G_SOURCE_CONTINUE;
    }
    if (Fw_StandEngine_TriggersCrash(e, w, "prefill", &outage_ms)) {
        w->timer = 0;
        Fw_StandPort_Crash(&e->port, outage_ms);
        return G_SOURCE_REMOVE;
    }
    w->stage = FW_STAND_STAGE_EXPORTED;
    g_snprintf(w->kv_id, sizeof(w->kv_id), "%s-kv-%" G_GUINT64_FORMAT,
               e->port.name, ++e->kv_seq);
    w->timer = 0;
    Fw_StandPrefill_ExtendExpiry(w, 0);
    if (w->reply) {
        send_result(w);
    }
    Fw_StandPrefill_StartNext(e);
    return G_SOURCE_REMOVE;
}

static struct fw_stand_request *
pick_next(const struct fw_stand_engine *e)
{
    struct fw_stand_request *best = NULL;
    struct fw_list *pos;

    FW_LIST_EACH (pos, &e->requests) {
        struct fw_stand_request *w =
            FW_LIST_ENTRY(pos, struct fw_stand_request, link);

        if (w->stage == FW_STAND_STAGE_PREFILL) {
            return NULL;
        }
        if (w->stage == FW_STAND_STAGE_QUEUED &&
            (!best || w->priority > best->priority)) {
            best = w;
        }
    }
    return best;
}

void
Fw_StandPrefill_StartNext(struct fw_stand_engine *e)
{
    struct fw_stand_request *w = pick_next(e);
    int64_t us;

    if (!w) {
        return;
    }
    w->stage = FW_STAND_STAGE_PREFILL;
    w->cached_tokens = Fw_StandCache_Access(e, w->prompt);
    w->cached_tokens = MIN(w->cached_tokens, w->prompt_tokens);
    us = PREFILL_OVERHEAD_US + (w->prompt_tokens - w->cached_tokens) * FW_SEC /
                                   e->opts->prefill_tokens_per_s;
    w->timer = g_timeout_add((guint)(us / FW_MSEC), on_prefill_done, w);
}

static const char *
rejection_reason(struct fw_stand_engine *e, const struct fw_stand_reply *r,
                 int64_t tokens, int *status)
{
    struct fw_stand_load now;

    *status = 409;
    if (!Fw_StandOrder_HasModel(e, Fw_StandReply_Str(r, "model", ""),
                                Fw_StandReply_Str(r, "adapter", ""))) {
        return "model not loaded";
    }
    *status = 503;
    if (strcmp(e->role, "prefill") != 0) {
        return "not a prefill engine";
    }
    if (Fw_StandFault_Find(&e->port, "leaving")) {
        return "leaving";
    }
    Fw_StandEngine_MeasureLoad(e, &now);
    if (now.kv_used_tokens + tokens > e->opts->kv_capacity_tokens ||
        now.queued_tokens >
            QUEUE_MAX_100MS * e->opts->prefill_tokens_per_s / 10) {
        return "full";
    }
    return NULL;
}

/* A repeated id is a retry: attaches it to the request in progress. */
static int
attach_known(struct fw_stand_engine *e, struct fw_stand_reply *r,
             const char *id)
{
    struct fw_stand_request *w = Fw_StandEngine_FindRequest(e, id);

    if (!w || w->stage > FW_STAND_STAGE_EXPORTED) {
        return 0;
    }
    Fw_StandEngine_AttachReply(w, r);
    if (w->stage == FW_STAND_STAGE_EXPORTED) {
        send_result(w);
    }
    return 1;
}

void
Fw_StandPrefill_Receive(struct fw_stand_engine *e, struct fw_stand_reply *r)
{
    const char *id = Fw_StandReply_Str(r, "request", "");
    const char *prompt = Fw_StandReply_Str(r, "prompt", NULL);
    int64_t tokens = prompt ? (int64_t)(strlen(prompt) + 3) / 4 : 0;
    const char *reason;
    struct fw_stand_request *w;
    int status;

    if (!*id || !prompt) {
        Fw_StandReply_Error(r, 400, "request and prompt are wanted");
        return;
    }
    if (attach_known(e, r, id)) {
        return;
    }
    reason = rejection_reason(e, r, tokens, &status);
    if (reason) {
        Fw_StandReply_Error(r, status, reason);
        return;
    }
    Fw_StandJournal_Add(r, "prefill", id);
    w = Fw_StandEngine_AddRequest(e, id);
    w->prompt = g_bytes_new(prompt, strlen(prompt));
    w->prompt_tokens = tokens;
    w->priority = (int)Fw_StandReply_Int(r, "priority", 0);
    Fw_StandEngine_AttachReply(w, r);
    Fw_StandPrefill_StartNext(e);
}
