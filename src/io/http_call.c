/* Requests passed to the core: writes responses, reports disconnects. */
#include <string.h>

#include "io/http_priv.h"

void
Fw_HttpCall_Free(struct fw_http_call *call)
{
    struct fw_http *http = call->req.http;

    g_hash_table_remove(http->calls, &call->handle);
    g_hash_table_remove(http->by_caller, call->req.caller);
    http->open_calls.value--;
    if (call->buffered_text) {
        g_string_free(call->buffered_text, TRUE);
    }
    g_free(call);
}

void
Fw_HttpCall_ReportDisconnect(struct fw_http_call *call)
{
    struct fw_http *http = call->req.http;
    struct fw_event ev = {.kind = FW_EV_CALL_CLOSED, .u.closed = call->handle};

    http->disconnected.value++;
    Fw_HttpCall_Free(call);
    http->opts.sink.event(http->opts.sink.ctx, &ev);
}

struct fw_http_call *
Fw_HttpCall_Open(const struct fw_http_req *req)
{
    struct fw_http_call *call = g_new0(struct fw_http_call, 1);

    call->req = *req;
    call->handle = ++req->http->last_handle;
    call->response.created_s = g_get_real_time() / FW_SEC;
    g_hash_table_insert(req->http->calls, &call->handle, call);
    g_hash_table_insert(req->http->by_caller, req->caller, call);
    req->http->open_calls.value++;
    return call;
}

static void
write_stream(struct fw_http_call *call, const GString *out)
{
    Fw_Caller_Data(call->req.caller, out->str, out->len);
}

/* Completes the response; src/http writes out what is still buffered. */
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
    char generated[FW_ID_MAX];
    const char *id = call->response.request_id;
    char *fields;

    if (!id[0]) {
        Fw_HttpReply_GetRequestId(call->req.head, generated);
        id = generated;
    }
    fields = g_strdup_printf("Server: fuchsiaward\r\nX-Request-Id: %s\r\n"
                             "Content-Type: text/event-stream\r\n"
                             "Cache-Control: no-store\r\n",
                             id);
    Fw_Caller_Start(call->req.caller, 200, fields, -1);
    g_free(fields);
}

static void
handle_start(struct fw_http_call *call, const struct fw_call_start *start)
{
    GString *out;

    if (call->started || call->unary) {
        return;
    }
    call->started = 1;
    g_strlcpy(call->response.request_id, start->request_id, FW_ID_MAX);
    g_strlcpy(call->response.model, start->model, FW_NAME_MAX);
    if (!call->stream) {
        call->buffered_text = g_string_new(NULL);
        return;
    }
    begin_stream(call);
    out = g_string_new(NULL);
    Fw_Api_WriteFirstChunk(&call->response, out);
    write_stream(call, out);
    g_string_free(out, TRUE);
}

/*
 * Bounds the memory held for a caller that reads more slowly than its
 * response is generated.
 */
static void
disconnect_slow_reader(struct fw_http_call *call)
{
    struct fw_http_caller *caller = call->req.caller;

    call->req.http->slow_readers.value++;
    Fw_HttpCall_ReportDisconnect(call);
    Fw_Caller_Abort(caller);
}

static void
handle_piece(struct fw_http_call *call, const struct fw_call_token *piece)
{
    GString *out;

    if (!call->started) {
        return;
    }
    if (!call->stream) {
        g_string_append(call->buffered_text, piece->text);
        return;
    }
    out = g_string_new(NULL);
    Fw_Api_WriteTextChunk(&call->response, piece->text, out);
    write_stream(call, out);
    g_string_free(out, TRUE);
    if (Fw_Caller_Unsent(call->req.caller) > FW_STREAM_QUEUE_MAX_BYTES) {
        disconnect_slow_reader(call);
    }
}

static void
handle_end(struct fw_http_call *call, const struct fw_call_end *end)
{
    struct fw_http_req req = call->req;
    char id[FW_ID_MAX];
    GString *out;

    if (!call->started) {
        return;
    }
    out = g_string_new(NULL);
    if (call->stream) {
        Fw_Api_WriteFinalChunk(&call->response, end, out);
        write_stream(call, out);
        finish_stream(call);
    }
    else {
        Fw_Api_WriteResponse(&call->response, call->buffered_text->str, end,
                             out);
        g_strlcpy(id, call->response.request_id, sizeof(id));
        Fw_HttpCall_Free(call);
        Fw_HttpReply_Send(&req, 200, id, "application/json", "", out->str,
                          out->len);
    }
    g_string_free(out, TRUE);
}

static void
handle_fail(struct fw_http_call *call, const struct fw_call_fail *fail)
{
    struct fw_http_req req = call->req;
    GString *out;

    if (!call->started || !call->stream) {
        Fw_HttpCall_Free(call);
        Fw_HttpReply_SendFailure(&req, fail, "");
        return;
    }
    out = g_string_new("data: ");
    Fw_Api_WriteError(fail->status, fail->code, fail->message, fail->ran, out);
    g_string_append(out, "\n\n");
    write_stream(call, out);
    g_string_free(out, TRUE);
    finish_stream(call);
}

static void
handle_answer(struct fw_http_call *call, const struct fw_call_response *answer)
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
    Fw_HttpReply_Send(&req, answer->status, answer->request_id,
                      answer->content_type, ran, data ? data : "", len);
}

static uint64_t
get_call_handle(const struct fw_action *a)
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
Fw_Http_HandleAction(struct fw_http *http, const struct fw_action *a)
{
    uint64_t handle = get_call_handle(a);
    struct fw_http_call *call = g_hash_table_lookup(http->calls, &handle);

    if (!call) {
        return; /* the caller has disconnected */
    }
    switch (a->kind) {
    case FW_ACT_CALL_START:
        handle_start(call, &a->u.start);
        break;
    case FW_ACT_CALL_TOKEN:
        handle_piece(call, &a->u.piece);
        break;
    case FW_ACT_CALL_END:
        handle_end(call, &a->u.end);
        break;
    case FW_ACT_CALL_FAIL:
        handle_fail(call, &a->u.fail);
        break;
    case FW_ACT_CALL_RESPONSE:
        handle_answer(call, &a->u.answer);
        break;
    default:
        break;
    }
}
