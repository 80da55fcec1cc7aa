/* Simulated engine: requests held, load report, dispatch of requests. */
#include "stand/engine.h"

#include <inttypes.h>
#include <string.h>

struct fw_stand_request *
Fw_StandEngine_FindRequest(const struct fw_stand_engine *e, const char *id)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &e->requests) {
        struct fw_stand_request *w =
            FW_LIST_ENTRY(pos, struct fw_stand_request, link);

        if (strcmp(w->id, id) == 0) {
            return w;
        }
    }
    return NULL;
}

struct fw_stand_request *
Fw_StandEngine_AddRequest(struct fw_stand_engine *e, const char *id)
{
    struct fw_stand_request *w = g_new0(struct fw_stand_request, 1);

    w->engine = e;
    g_strlcpy(w->id, id, sizeof(w->id));
    g_queue_init(&w->output);
    Fw_List_Append(&e->requests, &w->link);
    return w;
}

void
Fw_StandEngine_FreeRequest(struct fw_stand_request *w)
{
    Fw_List_Remove(&w->link);
    if (w->timer) {
        g_source_remove(w->timer);
    }
    if (w->reply) {
        Fw_StandReply_Abort(w->reply);
    }
    Fw_StandDecode_ClearOutput(w);
    g_clear_pointer(&w->prompt, g_bytes_unref);
    g_free(w);
}

static gboolean
on_free_timer(gpointer data)
{
    struct fw_stand_request *w = data;

    w->timer = 0;
    Fw_StandEngine_FreeRequest(w);
    return G_SOURCE_REMOVE;
}

void
Fw_StandEngine_FreeRequestAfter(struct fw_stand_request *w, int64_t ms)
{
    if (w->timer) {
        g_source_remove(w->timer);
    }
    w->timer = g_timeout_add((guint)ms, on_free_timer, w);
}

static void
on_disconnect(void *data)
{
    struct fw_stand_request *w = data;

    w->reply = NULL;
}

void
Fw_StandEngine_AttachReply(struct fw_stand_request *w,
                           struct fw_stand_reply *r)
{
    if (w->reply) {
        Fw_StandReply_Abort(w->reply);
    }
    w->reply = r;
    r->on_disconnect = on_disconnect;
    r->disconnect_data = w;
}

void
Fw_StandEngine_MeasureLoad(const struct fw_stand_engine *e,
                           struct fw_stand_load *r)
{
    struct fw_list *pos;

    *r = (struct fw_stand_load){.measured_us = g_get_monotonic_time()};
    FW_LIST_EACH (pos, &e->requests) {
        const struct fw_stand_request *w =
            FW_LIST_ENTRY(pos, struct fw_stand_request, link);

        if (w->stage == FW_STAND_STAGE_DONE) {
            continue;
        }
        r->kv_used_tokens += w->prompt_tokens + w->next_index;
        if (w->stage == FW_STAND_STAGE_QUEUED ||
            w->stage == FW_STAND_STAGE_PREFILL) {
            r->queued_tokens += w->prompt_tokens;
        }
        if (w->stage >= FW_STAND_STAGE_IMPORT) {
            r->busy++;
        }
    }
}

int
Fw_StandEngine_IsStalled(struct fw_stand_engine *e, const char *stage)
{
    const struct fw_stand_fault *f = Fw_StandFault_Find(&e->port, "stall");

    return f && (!f->stage[0] || strcmp(f->stage, stage) == 0);
}

int
Fw_StandEngine_TriggersCrash(struct fw_stand_engine *e,
                             const struct fw_stand_request *w,
                             const char *stage, int64_t *outage_ms)
{
    const struct fw_stand_fault *f = Fw_StandFault_Find(&e->port, "poison");
    gsize len;
    const char *prompt = g_bytes_get_data(w->prompt, &len);

    if (f && (!f->stage[0] || strcmp(f->stage, stage) == 0) &&
        g_strstr_len(prompt, (gssize)len, f->prompt_marker)) {
        *outage_ms = f->duration_ms;
        return 1;
    }
    f = Fw_StandFault_Find(&e->port, "die-in");
    if (f && strcmp(f->stage, stage) == 0 &&
        w->next_index >= f->after_tokens &&
        Fw_StandFault_Trigger(&e->port, "die-in", "")) {
        *outage_ms = f->duration_ms;
        return 1;
    }
    return 0;
}

static void
answer_load(struct fw_stand_engine *e, struct fw_stand_reply *r)
{
    const struct fw_stand_load *rep = &e->load;
    GString *models = g_string_new(NULL);

    for (guint i = 0; i < e->models->len; i++) {
        g_string_append_printf(models, "%s\"%s\"", i ? "," : "",
                               (char *)g_ptr_array_index(e->models, i));
    }
    Fw_StandReply_Json(
        r, 200,
        "{\"lag_ms\":%" PRId64 ",\"slots\":%" PRId64 ",\"busy\":%d,"
        "\"queued_tokens\":%" PRId64 ",\"kv_used\":%" PRId64
        ",\"kv_total\":%" PRId64 ",\"leaving\":%s,\"role\":\"%s\","
        "\"models\":[%s]}",
        (int64_t)((g_get_monotonic_time() - rep->measured_us) / FW_MSEC),
        e->opts->decode_slots, rep->busy, rep->queued_tokens,
        rep->kv_used_tokens, e->opts->kv_capacity_tokens,
        Fw_StandFault_Find(&e->port, "leaving") ? "true" : "false", e->role,
        models->str);
    g_string_free(models, TRUE);
}

static void
answer_requests(struct fw_stand_engine *e, struct fw_stand_reply *r)
{
    static const char *const stages[] = {"prefill", "prefill", "kv",
                                         "import",  "kv",      "decode"};
    GString *s = g_string_new(NULL);
    struct fw_list *pos;

    FW_LIST_EACH (pos, &e->requests) {
        const struct fw_stand_request *w =
            FW_LIST_ENTRY(pos, struct fw_stand_request, link);

        if (w->stage != FW_STAND_STAGE_DONE) {
            g_string_append_printf(
                s,
                "%s{\"id\":\"%s\",\"stage\":\"%s\",\"tokens\":%" PRId64
                ",\"attached\":%s}",
                s->len ? "," : "", w->id, stages[w->stage],
                w->prompt_tokens + w->next_index, w->reply ? "true" : "false");
        }
    }
    Fw_StandReply_Json(r, 200, "{\"requests\":[%s]}", s->str);
    g_string_free(s, TRUE);
}

static void
cancel_request(struct fw_stand_engine *e, struct fw_stand_reply *r,
               const char *id)
{
    struct fw_stand_request *w = Fw_StandEngine_FindRequest(e, id);

    Fw_StandJournal_Add(r, w ? "cancelled" : "cancel-unknown", id);
    if (w) {
        Fw_StandEngine_FreeRequest(w);
        Fw_StandPrefill_StartNext(e);
    }
    Fw_StandReply_Text(r, 204, "text/plain", "");
}

static void
handle_post(struct fw_stand_engine *e, struct fw_stand_reply *r)
{
    static const struct {
        const char *path;
        void (*receive)(struct fw_stand_engine *e, struct fw_stand_reply *r);
    } calls[] = {
        {"/v1/prefill", Fw_StandPrefill_Receive},
        {"/v1/kv/import", Fw_StandImport_Receive},
        {"/v1/decode", Fw_StandDecode_Receive},
        {"/v1/resume", Fw_StandDecode_Resume},
        {"/v1/order", Fw_StandOrder_Receive},
    };

    const char *id = Fw_StandReply_Str(r, "request", "");

    if (!r->body || strpbrk(id, "\"\\/\n") || strlen(id) >= FW_ID_MAX) {
        Fw_StandReply_Error(r, 400, "a JSON object with a plain id is wanted");
        return;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(calls); i++) {
        if (strcmp(r->path, calls[i].path) == 0) {
            calls[i].receive(e, r);
            return;
        }
    }
    Fw_StandReply_Error(r, 404, "no such call");
}

static void
handle(struct fw_stand_reply *r)
{
    struct fw_stand_engine *e = r->port->owner;
    const char *method = soup_server_message_get_method(r->msg);

    if (strcmp(method, "POST") == 0) {
        handle_post(e, r);
    }
    else if (strcmp(method, "DELETE") == 0 &&
             g_str_has_prefix(r->path, "/v1/requests/")) {
        cancel_request(e, r, r->path + strlen("/v1/requests/"));
    }
    else if (strcmp(r->path, "/v1/requests") == 0) {
        answer_requests(e, r);
    }
    else if (strcmp(r->path, "/v1/load") == 0) {
        answer_load(e, r);
    }
    else if (strcmp(r->path, "/v1/cache-events") == 0) {
        Fw_StandCache_SendEvents(e, r);
    }
    else {
        Fw_StandReply_Error(r, 404, "no such call");
    }
}

static void
reset(struct fw_stand_port *port)
{
    struct fw_stand_engine *e = port->owner;

    while (!Fw_List_Empty(&e->requests)) {
        Fw_StandEngine_FreeRequest(
            FW_LIST_ENTRY(e->requests.next, struct fw_stand_request, link));
    }
    g_hash_table_remove_all(e->cache);
    g_hash_table_remove_all(e->link_free_us);
    g_array_set_size(e->cache_events, 0);
    e->cache_used_tokens = 0;
    Fw_StandEngine_MeasureLoad(e, &e->load);
}

static gboolean
refresh_load(gpointer data)
{
    struct fw_stand_engine *e = data;

    Fw_StandEngine_MeasureLoad(e, &e->load);
    return G_SOURCE_CONTINUE;
}

static void
on_fault_change(struct fw_stand_port *port)
{
    struct fw_stand_engine *e = port->owner;
    const struct fw_stand_fault *f = Fw_StandFault_Find(port, "load-lag");
    int64_t ms = f ? f->duration_ms : e->opts->load_lag_ms;

    g_source_remove(e->load_timer);
    e->load_timer = g_timeout_add((guint)MAX(ms, 1), refresh_load, e);
}

static void
describe(struct fw_stand_port *port, GString *out)
{
    const struct fw_stand_engine *e = port->owner;

    g_string_append_printf(
        out,
        ",\"role\":\"%s\",\"fencing\":\"%s\",\"slots\":%" PRId64
        ",\"prefill_rate\":%" PRId64 ",\"link_bytes_per_s\":%" PRId64
        ",\"kv_bytes_per_token\":%" PRId64 ",\"model\":\"%s\"",
        e->role, e->checks_fence ? "checked" : "ignored",
        e->opts->decode_slots, e->opts->prefill_tokens_per_s,
        e->opts->link_bytes_per_s, e->opts->kv_bytes_per_token,
        e->opts->model);
}

static void
on_free(struct fw_stand_port *port)
{
    struct fw_stand_engine *e = port->owner;

    g_source_remove(e->load_timer);
    if (e->step_timer) {
        g_source_remove(e->step_timer);
    }
    g_ptr_array_unref(e->models);
    g_hash_table_unref(e->link_free_us);
    g_hash_table_unref(e->cache);
    g_array_unref(e->cache_events);
}

struct fw_stand_port *
Fw_StandEngine_New(struct fw_stand *s, const char *name, const char *domain,
                   const char *role, int checks_fence)
{
    struct fw_stand_engine *e = g_new0(struct fw_stand_engine, 1);

    e->opts = &s->opts;
    e->checks_fence = checks_fence;
    g_strlcpy(e->role, role, sizeof(e->role));
    Fw_List_Init(&e->requests);
    e->models = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(e->models, g_strdup(s->opts.model));
    e->link_free_us =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    e->cache =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    e->cache_events =
        g_array_new(FALSE, FALSE, sizeof(struct fw_stand_cache_event));
    e->port.owner = e;
    e->port.handle = handle;
    e->port.reset = reset;
    e->port.describe = describe;
    e->port.on_fault_change = on_fault_change;
    e->port.on_free = on_free;
    Fw_StandEngine_MeasureLoad(e, &e->load);
    e->load_timer =
        g_timeout_add((guint)MAX(s->opts.load_lag_ms, 1), refresh_load, e);
    return Fw_StandPort_Open(&e->port, s, "engine", name, domain);
}
