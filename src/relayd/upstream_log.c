/* Log lines of calls to upstreams that went wrong. */
#include "http/conn.h"
#include "io/logger.h"
#include "relayd/relayd_internal.h"

static const char *
framing_name(enum fw_http_framing framing)
{
    switch (framing) {
    case FW_HTTP_NO_BODY:
        return "none";
    case FW_HTTP_CONTENT_LENGTH:
        return "length";
    case FW_HTTP_CHUNKED:
        return "chunks";
    case FW_HTTP_UNTIL_CLOSE:
        break;
    }
    return "close";
}

void
Fw_UpstreamCall_LogBroken(const struct fw_upstream_call *call, int err)
{
    char number[24];
    char events[24];

    if (!call->fields || !Fw_UpstreamCall_AnswersCaller(call)) {
        return;
    }
    g_snprintf(number, sizeof(number), "%d", err);
    g_snprintf(events, sizeof(events), "%" G_GINT64_FORMAT,
               call->response_body.events.events);
    Fw_Logger_Log(
        LOG_NOTICE, "response_broken", "id", call->request_id, "framing",
        framing_name(call->framing), "error", number, "events",
        call->response_body.is_event_stream ? events : "", "at",
        Fw_ResponseEnd_Name(Fw_ResponseBody_End(&call->response_body)), NULL);
}

void
Fw_UpstreamCall_LogUnmatched(const struct fw_upstream_call *call,
                             const struct fw_http_head *h)
{
    char kind[24];
    char status[24];

    g_snprintf(kind, sizeof(kind), "%d", (int)call->kind);
    g_snprintf(status, sizeof(status), "%d", h->status);
    Fw_Logger_Log(LOG_NOTICE, "answer_unmatched", "id", call->request_id,
                  "server", call->server, "kind", kind, "status", status,
                  NULL);
}

void
Fw_UpstreamCall_LogAbandoned(const struct fw_upstream_call *call)
{
    char sent_ms[24];

    if (!call->exchange || call->answer.status ||
        !Fw_UpstreamCall_AnswersCaller(call)) {
        return;
    }
    g_snprintf(sent_ms, sizeof(sent_ms), "%" G_GINT64_FORMAT,
               (int64_t)((Fw_Conn_NowUs() - call->started_us) / FW_MSEC));
    Fw_Logger_Log(LOG_INFO, "call_abandoned", "id", call->request_id, "server",
                  call->server, "after_ms", sent_ms, NULL);
}
