/* Operators' port: answers probes, passes "/v1/" requests to the core. */
#include <string.h>

#include "io/http_priv.h"

static void
handle_operator(const struct fw_http_req *req)
{
    struct fw_event ev = {.kind = FW_EV_OPERATOR};
    struct fw_operator_call *op = &ev.u.oper;
    const struct fw_http_head *h = req->head;
    struct fw_http_call *call;
    char *target;
    char *key;

    if (h->method_len >= sizeof(op->method)) {
        Fw_HttpReply_SendError(req, 400, "invalid_header",
                               "the method is too long");
        return;
    }
    target = g_strndup(h->target, h->target_len);
    key = Fw_HttpReq_BearerKey(req);
    memcpy(op->method, h->method, h->method_len);
    op->path = target;
    op->key = key;
    op->body = req->body;
    call = Fw_HttpCall_Open(req);
    call->unary = 1;
    op->call = call->handle;
    req->http->opts.sink.event(req->http->opts.sink.ctx, &ev);
    g_free(target);
    g_free(key);
}

void
Fw_HttpOperators_Handle(const struct fw_http_req *req)
{
    char *path = Fw_HttpReq_Path(req);

    if (g_str_has_prefix(path, "/v1/")) {
        handle_operator(req);
    }
    else if (!Fw_HttpReply_HandleProbe(req, path)) {
        Fw_HttpReply_SendError(req, 404, "not_found", "no such path");
    }
    g_free(path);
}
