/* Requests that the core has: its answers out, the caller's close in. */
#include <string.h>

#include "io/http_priv.h"

void
Fw_HttpCall_Free(struct fw_http_call *call)
{
    struct fw_http *http = call->req.http;

    g_hash_table_remove(http->calls, &call->handle);
    g_hash_table_remove(http->by_caller, call->req.caller);
    http->open.value--;
    if (call->text) {
        g_string_free(call->text, TRUE);
    }
    g_free(call);
}

void
Fw_HttpCall_Gone(struct fw_http_call *call)
{
    struct fw_http *http = call->req.http;
    struct fw_event ev = {.kind = FW_EV_CALL_CLOSED, .u.closed = call->handle};

    http->gone.value++;
    Fw_HttpCall_Free(call);
    http->opts.sink.event(http->opts.sink.ctx, &ev);
}

struct fw_http_call *
Fw_HttpCall_Open(const struct fw_http_req *req)
{
    struct fw_http_call *call = g_new0(struct fw_http_call, 1);

    call->req = *req;
    call->handle = ++req->http->last_call;
    call->answer.created_s = g_get_real_time() / FW_SEC;
    g_hash_table_insert(req->http->calls, &call->handle, call);
    g_hash_table_insert(req->http->by_caller, req->caller, call);
    req->http->open.value++;
    return call;
}

static void
push(struct fw_http_call *call, const GString *out)
{
    Fw_Caller_Data(call->req.caller, out->str, out->len);
}

/* The answer is whole: what is left is the connection's to write. */
static void
finish_stream(struct fw_http_call *call)
{
    struct fw_http_caller *caller = call->req.caller;

    Fw_HttpCall_Free(call);
    Fw_Caller_End(caller);
}

static void
begin_stream(struct fw_http_call *call)
{
    char made[FW_ID_MAX];
    const char *id = call->answer.request_id;
    char *fields;

    if (!id[0]) {
        Fw_HttpReply_Id(call->req.head, made);
        id = made;
    }
    fields = g_strdup_printf("Server: fuchsiaward\r\nX-Request-Id: %s\r\n"
                             "Content-Type: text/event-stream\r\n"
                             "Cache-Control: no-store\r\n",
                             id);
    Fw_Caller_Start(call->req.caller, 200, fields, -1);
    g_free(fields);
}

static void
act_start(struct fw_http_call *call, const struct fw_call_start *start)
{
    GString *out;

    if (call->started || call->whole) {
        return;
    }
    call->started = 1;
    g_strlcpy(call->answer.request_id, start->request_id, FW_ID_MAX);
    g_strlcpy(call->answer.model, start->model, FW_NAME_MAX);
    if (!call->stream) {
        call->text = g_string_new(NULL);
        return;
    }
    begin_stream(call);
    out = g_string_new(NULL);
    Fw_Api_WriteFirst(&call->answer, out);
    push(call, out);
    g_string_free(out, TRUE);
}

/*
 * A reader slower than its answer would let the unread part grow without
 * bound. It shows as memory that rises with open streams. Past the bound the
 * caller counts as gone.
 */
static void
cut_slow_reader(struct fw_http_call *call)
{
    struct fw_http_caller *caller = call->req.caller;

    call->req.http->slow.value++;
    Fw_HttpCall_Gone(call);
    Fw_Caller_Abort(caller);
}

static void
act_piece(struct fw_http_call *call, const struct fw_call_token *piece)
{
    GString *out;

    if (!call->started) {
        return;
    }
    if (!call->stream) {
        g_string_append(call->text, piece->text);
        return;
    }
    out = g_string_new(NULL);
    Fw_Api_WritePiece(&call->answer, piece->text, out);
    push(call, out);
    g_string_free(out, TRUE);
    if (Fw_Caller_Unsent(call->req.caller) > FW_STREAM_QUEUE_MAX) {
        cut_slow_reader(call);
    }
}

static void
act_end(struct fw_http_call *call, const struct fw_call_end *end)
{
    struct fw_http_req req = call->req;
    char id[FW_ID_MAX];
    GString *out;

    if (!call->started) {
        return;
    }
    out = g_string_new(NULL);
    if (call->stream) {
        Fw_Api_WriteLast(&call->answer, end, out);
        push(call, out);
        finish_stream(call);
    }
    else {
        Fw_Api_WriteWhole(&call->answer, call->text->str, end, out);
        g_strlcpy(id, call->answer.request_id, sizeof(id));
        Fw_HttpCall_Free(call);
        Fw_HttpReply_Text(&req, 200, id, "application/json", "", out->str,
                          out->len);
    }
    g_string_free(out, TRUE);
}

static void
act_fail(struct fw_http_call *call, const struct fw_call_fail *fail)
{
    struct fw_http_req req = call->req;
    GString *out;

    if (!call->started || !call->stream) {
        Fw_HttpCall_Free(call);
        Fw_HttpReply_Fail(&req, fail, "");
        return;
    }
    out = g_string_new("data: ");
    Fw_Api_WriteError(fail->status, fail->code, fail->message, fail->ran, out);
    g_string_append(out, "\n\n");
    push(call, out);
    g_string_free(out, TRUE);
    finish_stream(call);
}

static void
act_answer(struct fw_http_call *call, const struct fw_call_response *answer)
{
    struct fw_http_req req = call->req;
    char ran[40] = "";
    gsize len = 0;
    const char *data =
        answer->body ? g_bytes_get_data(answer->body, &len) : NULL;

    if (call->started) {
        return;
    }
    if (answer->status >= 400) {
        g_snprintf(ran, sizeof(ran), "Fuchsiaward-Ran: %s\r\n",
                   Fw_Ran_Name(answer->ran));
    }
    Fw_HttpCall_Free(call);
    Fw_HttpReply_Text(&req, answer->status, answer->request_id,
                      answer->content_type, ran, data ? data : "", len);
}

static uint64_t
handle_of(const struct fw_action *a)
{
    switch (a->kind) {
    case FW_ACT_CALL_START:
        return a->u.start.call;
    case FW_ACT_CALL_TOKEN:
        return a->u.piece.call;
    case FW_ACT_CALL_END:
        return a->u.end.call;
    case FW_ACT_CALL_FAIL:
        return a->u.fail.call;
    case FW_ACT_CALL_RESPONSE:
        return a->u.answer.call;
    default:
        return 0;
    }
}

void
Fw_Http_Act(struct fw_http *http, const struct fw_action *a)
{
    uint64_t handle = handle_of(a);
    struct fw_http_call *call = g_hash_table_lookup(http->calls, &handle);

    if (!call) {
        return; /* the caller closed meanwhile */
    }
    switch (a->kind) {
    case FW_ACT_CALL_START:
        act_start(call, &a->u.start);
        break;
    case FW_ACT_CALL_TOKEN:
        act_piece(call, &a->u.piece);
        break;
    case FW_ACT_CALL_END:
        act_end(call, &a->u.end);
        break;
    case FW_ACT_CALL_FAIL:
        act_fail(call, &a->u.fail);
        break;
    case FW_ACT_CALL_RESPONSE:
        act_answer(call, &a->u.answer);
        break;
    default:
        break;
    }
}
