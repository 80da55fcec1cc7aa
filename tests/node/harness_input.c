/* Input of a test: calls, drains, failed nodes, answers of upstreams. */
#include <check.h>
#include <string.h>

#include "harness.h"

void
Fw_Harness_PostWithKey(struct harness *h, int node, uint64_t call,
                       const char *key, const char *request_id,
                       const char *prompt, int64_t max_tokens)
{
    struct fw_event ev = {
        .kind = FW_EV_CALL_OPEN,
        .u.open = {.call = call,
                   .kind = FW_CALL_COMPLETION,
                   .key = key,
                   .prompt_tokens = (int64_t)(strlen(prompt) + 3) / 4,
                   .max_tokens = max_tokens,
                   .stream = 1},
    };

    g_strlcpy(ev.u.open.request_id, request_id, FW_ID_MAX);
    g_strlcpy(ev.u.open.model, "m", FW_NAME_MAX);
    ev.u.open.prompt = g_bytes_new(prompt, strlen(prompt));
    Fw_Harness_Step(h, node, &ev);
    g_bytes_unref(ev.u.open.prompt);
}

void
Fw_Harness_Post(struct harness *h, int node, uint64_t call,
                const char *request_id, const char *prompt, int64_t max_tokens)
{
    Fw_Harness_PostWithKey(h, node, call, "key-a", request_id, prompt,
                           max_tokens);
}

void
Fw_Harness_CallService(struct harness *h, int node, uint64_t call,
                       const char *method, const char *path,
                       const char *idem_key, const char *body)
{
    struct fw_event ev = {
        .kind = FW_EV_CALL_OPEN,
        .u.open = {.call = call,
                   .kind = FW_CALL_SERVICE,
                   .key = "key-a",
                   .path = path},
    };

    g_strlcpy(ev.u.open.service, "grid-desk", FW_NAME_MAX);
    g_strlcpy(ev.u.open.method, method, sizeof(ev.u.open.method));
    g_strlcpy(ev.u.open.idem_key, idem_key, FW_ID_MAX);
    ev.u.open.body = g_bytes_new(body, strlen(body));
    Fw_Harness_Step(h, node, &ev);
    g_bytes_unref(ev.u.open.body);
}

void
Fw_Harness_Close(struct harness *h, int node, uint64_t call)
{
    struct fw_event ev = {.kind = FW_EV_CALL_CLOSED, .u.closed = call};

    Fw_Harness_Step(h, node, &ev);
}

void
Fw_Harness_Drain(struct harness *h, int node)
{
    struct fw_event ev = {.kind = FW_EV_DRAIN};

    Fw_Harness_Step(h, node, &ev);
}

void
Fw_Harness_Kill(struct harness *h, int node)
{
    h->dead[node] = 1;
    h->partitioned[node] = 1;
}

struct harness_call *
Fw_Harness_FindCall(struct harness *h, enum fw_up_kind kind)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &h->calls) {
        struct harness_call *c = FW_LIST_ENTRY(pos, struct harness_call, link);
        if (c->up.kind == kind) {
            return c;
        }
    }
    ck_abort_msg("no %s call is waiting; transcript:\n%s",
                 Fw_Harness_KindName(kind), h->transcript->str);
    return NULL;
}

static void
answer(struct harness *h, struct harness_call *c, const struct fw_event *ev)
{
    int node = c->node;

    if (ev->u.up.phase != FW_UP_TOKEN) {
        Fw_List_Remove(&c->link);
        g_free(c);
    }
    Fw_Harness_Step(h, node, ev);
}

void
Fw_Harness_SendPiece(struct harness *h, struct harness_call *c, int64_t index,
                     const char *text)
{
    struct fw_event ev = {
        .kind = FW_EV_UP,
        .u.up = {.op = c->up.op,
                 .kind = c->up.kind,
                 .phase = FW_UP_TOKEN,
                 .u.token = {.index = index, .text = text}},
    };

    answer(h, c, &ev);
}

void
Fw_Harness_CompleteCall(struct harness *h, struct harness_call *c,
                        int64_t tokens)
{
    struct fw_event ev = {
        .kind = FW_EV_UP,
        .u.up = {.op = c->up.op,
                 .kind = c->up.kind,
                 .phase = FW_UP_DONE,
                 .status = 200},
    };

    switch (c->up.kind) {
    case FW_UP_PREFILL:
        g_strlcpy(ev.u.up.u.kv.kv, "kv", sizeof(ev.u.up.u.kv.kv));
        break;
    case FW_UP_DECODE:
    case FW_UP_RESUME:
        ev.u.up.u.end.tokens = tokens;
        g_strlcpy(ev.u.up.u.end.reason, "stop", sizeof(ev.u.up.u.end.reason));
        break;
    case FW_UP_SERVICE:
        ev.u.up.u.answer.status = 200;
        break;
    default:
        break;
    }
    answer(h, c, &ev);
}

void
Fw_Harness_FailCall(struct harness *h, struct harness_call *c, enum fw_ran ran,
                    int status, int err)
{
    struct fw_event ev = {
        .kind = FW_EV_UP,
        .u.up = {.op = c->up.op,
                 .kind = c->up.kind,
                 .phase = FW_UP_FAILED,
                 .ran = ran,
                 .status = status,
                 .err = err},
    };

    answer(h, c, &ev);
}

void
Fw_Harness_ExpectTranscript(struct harness *h, const char *lines)
{
    ck_assert_str_eq(h->transcript->str, lines);
    g_string_truncate(h->transcript, 0);
}
