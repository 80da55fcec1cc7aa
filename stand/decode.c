/*
 * Decode: each step generates one token for every request of the batch; its
 * duration grows with the batch size.
 */
#include "stand/engine.h"

#include <string.h>
#include <xxhash.h>

#define PROMPT_HASH_BYTES 16

static gboolean
run_step(gpointer data);

void
Fw_StandDecode_ClearOutput(struct fw_stand_request *w)
{
    struct fw_stand_line *line;

    while ((line = g_queue_pop_head(&w->output))) {
        g_free(line->text);
        g_free(line);
    }
}

/*
 * A token depends only on its index and the first bytes of the prompt, so that
 * generation continues identically after a new prefill of the prompt with the
 * emitted tokens appended.
 */
static char *
token_text(const struct fw_stand_request *w, int64_t index)
{
    static const char *const words[] = {
        "ebb",     "flood", "slack", "survey", "module", "crew",
        "harbour", "tide",  "wind",  "notice", "permit", "outlook",
        "lagging", "mask",  "bid",   "sea",
    };
    gsize len;
    const char *p = g_bytes_get_data(w->prompt, &len);
    uint64_t h =
        XXH3_64bits_withSeed(p, MIN(len, PROMPT_HASH_BYTES), (uint64_t)index);

    return g_strdup_printf("%s-%" G_GINT64_FORMAT " ",
                           words[h % G_N_ELEMENTS(words)], index);
}

static void
queue_line(struct fw_stand_request *w, char *text, int64_t due_us, int last)
{
    struct fw_stand_line *line = g_new0(struct fw_stand_line, 1);

    line->text = text;
    line->due_us = due_us;
    line->is_last = last;
    g_queue_push_tail(&w->output, line);
}

static void
queue_token(struct fw_stand_request *w, int64_t index, int64_t now)
{
    struct fw_stand_port *port = &w->engine->port;
    const struct fw_stand_fault *late = Fw_StandFault_Find(port, "late");
    int64_t due = now + (late ? late->duration_ms * FW_MSEC : 0);
    char *word = token_text(w, index);
    char *text = g_strdup_printf("{\"i\":%" G_GINT64_FORMAT ",\"t\":\"%s\"}\n",
                                 index, word);

    if (index % 2 == 0 && Fw_StandFault_Find(port, "out-of-order")) {
        due += 3 * w->engine->opts->step_ms * FW_MSEC;
    }
    if (Fw_StandFault_Find(port, "doubled")) {
        queue_line(w, g_strdup(text), due, 0);
    }
    queue_line(w, text, due, 0);
    g_free(word);
}

static void
queue_end(struct fw_stand_request *w, int64_t now)
{
    const char *reason = w->next_index >= w->max_tokens ? "length" : "stop";
    int64_t due = now;

    for (const GList *l = w->output.head; l; l = l->next) {
        due = MAX(due, ((const struct fw_stand_line *)l->data)->due_us);
    }
    queue_line(w,
               g_strdup_printf("{\"done\":true,\"reason\":\"%s\","
                               "\"tokens\":%" G_GINT64_FORMAT "}\n",
                               reason, w->next_index),
               due, 1);
}

static void
send_due_lines(struct fw_stand_request *w, int64_t now)
{
    GList *next;

    for (GList *l = w->output.head; l && w->reply; l = next) {
        struct fw_stand_line *line = l->data;

        next = l->next;
        if (line->due_us > now) {
            continue;
        }
        g_queue_delete_link(&w->output, l);
        Fw_StandReply_SendLine(w->reply, line->text);
        if (line->is_last) {
            Fw_StandReply_EndStream(w->reply);
            w->reply = NULL;
        }
        g_free(line->text);
        g_free(line);
    }
}

static void
on_disconnect(void *data)
{
    struct fw_stand_request *w = data;

    w->reply = NULL;
    Fw_StandDecode_ClearOutput(w);
    Fw_StandEngine_FreeRequestAfter(w, w->engine->opts->resume_grace_ms);
}

/* Generates the next token. Return: nonzero if a fault crashed the engine. */
static int
generate_token(struct fw_stand_request *w, int64_t now)
{
    struct fw_stand_engine *e = w->engine;
    int64_t outage_ms;

    if (Fw_StandEngine_TriggersCrash(e, w, "decode", &outage_ms)) {
        Fw_StandPort_Crash(&e->port, outage_ms);
        return 1;
    }
    if (w->next_index < MIN(w->max_tokens, e->opts->answer_tokens)) {
        if (w->reply) {
            queue_token(w, w->next_index, now);
        }
        w->next_index++;
    }
    if (w->next_index >= MIN(w->max_tokens, e->opts->answer_tokens)) {
        w->stage = FW_STAND_STAGE_DONE;
        if (w->reply) {
            queue_end(w, now);
        }
        Fw_StandEngine_FreeRequestAfter(w, w->engine->opts->resume_grace_ms);
    }
    return 0;
}

static int
count_active(const struct fw_stand_engine *e)
{
    struct fw_list *pos;
    int n = 0;

    FW_LIST_EACH (pos, &e->requests) {
        const struct fw_stand_request *w =
            FW_LIST_ENTRY(pos, struct fw_stand_request, link);

        n += w->stage == FW_STAND_STAGE_DECODE || w->output.length > 0;
    }
    return n;
}

static void
schedule_step(struct fw_stand_engine *e)
{
    int n = count_active(e);

    if (!e->step_timer && n) {
        e->step_timer = g_timeout_add(
            (guint)(e->opts->step_ms + n * e->opts->step_request_us / FW_MSEC),
            run_step, e);
    }
}

static gboolean
run_step(gpointer data)
{
    struct fw_stand_engine *e = data;
    int64_t now = g_get_monotonic_time();
    int stalled = Fw_StandEngine_IsStalled(e, "decode");
    struct fw_list *pos;
    struct fw_list *tmp;

    e->step_timer = 0;
    FW_LIST_EACH_SAFE (pos, tmp, &e->requests) {
        struct fw_stand_request *w =
            FW_LIST_ENTRY(pos, struct fw_stand_request, link);

        if (stalled) {
            continue;
        }
        if (w->stage == FW_STAND_STAGE_DECODE && generate_token(w, now)) {
            return G_SOURCE_REMOVE;
        }
        send_due_lines(w, now);
    }
    schedule_step(e);
    return G_SOURCE_REMOVE;
}

/* Attaches @r and sends again the tokens from @from on. */
static void
stream_from(struct fw_stand_request *w, struct fw_stand_reply *r, int64_t from)
{
    int64_t now = g_get_monotonic_time();

    Fw_StandEngine_AttachReply(w, r);
    r->on_disconnect = on_disconnect;
    Fw_StandReply_StartStream(r, "application/x-ndjson");
    Fw_StandDecode_ClearOutput(w);
    if (w->stage == FW_STAND_STAGE_DECODE && w->timer) {
        g_source_remove(w->timer);
        w->timer = 0;
    }
    for (int64_t i = from; i < w->next_index; i++) {
        queue_token(w, i, now);
    }
    if (w->stage == FW_STAND_STAGE_DONE) {
        queue_end(w, now);
    }
    send_due_lines(w, now);
    schedule_step(w->engine);
}

void
Fw_StandDecode_Resume(struct fw_stand_engine *e, struct fw_stand_reply *r)
{
    const char *id = Fw_StandReply_Str(r, "request", "");
    int64_t from = Fw_StandReply_Int(r, "from_index", 0);
    struct fw_stand_request *w = Fw_StandEngine_FindRequest(e, id);

    if (!w || w->stage < FW_STAND_STAGE_DECODE) {
        Fw_StandReply_Error(r, 404, "no such request here");
        return;
    }
    Fw_StandJournal_Add(r, "resume", id);
    stream_from(w, r, MAX(from, 0));
}

void
Fw_StandDecode_Receive(struct fw_stand_engine *e, struct fw_stand_reply *r)
{
    const char *id = Fw_StandReply_Str(r, "request", "");
    int64_t from = MAX(Fw_StandReply_Int(r, "from_index", 0), 0);
    struct fw_stand_request *w = Fw_StandEngine_FindRequest(e, id);

    if (!w || strcmp(w->kv_id, Fw_StandReply_Str(r, "kv", "")) != 0 ||
        w->stage < FW_STAND_STAGE_IMPORTED) {
        Fw_StandReply_Error(r, 410, "the KV has lapsed");
        return;
    }
    if (w->stage == FW_STAND_STAGE_IMPORTED) {
        Fw_StandJournal_Add(r, "decode", id);
        g_source_remove(w->timer);
        w->timer = 0;
        w->stage = FW_STAND_STAGE_DECODE;
        w->next_index = from;
        w->max_tokens = from + Fw_StandReply_Int(r, "max_tokens", 16);
    }
    stream_from(w, r, from);
}
