/* Records actions towards callers and upstreams in the transcript. */
#include <inttypes.h>
#include <string.h>

#include "harness.h"

void
Fw_Harness_Record(struct harness *h, const char *fmt, ...)
{
    char *line;
    va_list ap;

    va_start(ap, fmt);
    line = g_strdup_vprintf(fmt, ap);
    va_end(ap);
    g_string_append(h->transcript, line);
    g_string_append_c(h->transcript, '\n');
    g_free(line);
}

const char *
Fw_Harness_Label(struct harness *h, const char *upstream)
{
    char *text = g_hash_table_lookup(h->labels, upstream);
    GHashTableIter it;
    gpointer value;
    int n = 1;

    if (text) {
        return text;
    }
    g_hash_table_iter_init(&it, h->labels);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        n += ((const char *)value)[0] == g_ascii_toupper(upstream[0]);
    }
    text = g_strdup_printf("%c%d", g_ascii_toupper(upstream[0]), n);
    g_hash_table_insert(h->labels, g_strdup(upstream), text);
    return text;
}

const char *
Fw_Harness_KindName(enum fw_up_kind kind)
{
    static const char *const names[] = {
        "prefill", "import", "decode", "resume", "cancel",
        "load",    "held",   "cache",  "order",  "service",
    };
    return names[kind];
}

void
Fw_Harness_RecordUpstreamCall(struct harness *h, const struct fw_up_start *up)
{
    switch (up->kind) {
    case FW_UP_PREFILL:
        Fw_Harness_Record(h, "%s prefill %s",
                          Fw_Harness_Label(h, up->upstream),
                          up->u.prefill.request);
        break;
    case FW_UP_IMPORT:
        Fw_Harness_Record(h, "%s import %s", Fw_Harness_Label(h, up->upstream),
                          up->u.import.request);
        break;
    case FW_UP_DECODE:
    case FW_UP_RESUME:
        Fw_Harness_Record(h, "%s %s %s from %" PRId64,
                          Fw_Harness_Label(h, up->upstream),
                          Fw_Harness_KindName(up->kind), up->u.decode.request,
                          up->u.decode.from_index);
        break;
    case FW_UP_CANCEL:
        Fw_Harness_Record(h, "%s cancel %s", Fw_Harness_Label(h, up->upstream),
                          up->u.cancel.request);
        break;
    case FW_UP_SERVICE:
        Fw_Harness_Record(h, "%s %s %s%s", Fw_Harness_Label(h, up->upstream),
                          up->u.service.method, up->u.service.path,
                          up->u.service.at_most_once ? " once" : "");
        break;
    case FW_UP_LOAD_REPORT:
    case FW_UP_LIST_REQUESTS:
    case FW_UP_CACHE_EVENTS:
    case FW_UP_ORDER:
        break;
    }
}

static void
record_answer(struct harness *h, const struct fw_call_response *a)
{
    gsize size = 0;
    const char *body = g_bytes_get_data(a->body, &size);

    Fw_Harness_Record(h, "caller %" PRIu64 " answer %d %.*s", a->call,
                      a->status, (int)size, body ? body : "");
}

void
Fw_Harness_RecordCallerAction(struct harness *h, const struct fw_action *a)
{
    switch (a->kind) {
    case FW_ACT_CALL_START:
        Fw_Harness_Record(h, "caller %" PRIu64 " start", a->u.start.call);
        break;
    case FW_ACT_CALL_TOKEN:
        Fw_Harness_Record(h, "caller %" PRIu64 " piece %" PRId64 " %s",
                          a->u.piece.call, a->u.piece.index, a->u.piece.text);
        break;
    case FW_ACT_CALL_END:
        Fw_Harness_Record(h, "caller %" PRIu64 " end %s %" PRId64,
                          a->u.end.call, a->u.end.reason,
                          a->u.end.output_tokens);
        break;
    case FW_ACT_CALL_FAIL:
        Fw_Harness_Record(h, "caller %" PRIu64 " fail %d %s ran %s",
                          a->u.fail.call, a->u.fail.status, a->u.fail.code,
                          Fw_Ran_Name(a->u.fail.ran));
        break;
    case FW_ACT_CALL_RESPONSE:
        record_answer(h, &a->u.answer);
        break;
    case FW_ACT_UP_START:
    case FW_ACT_UP_STOP:
    case FW_ACT_PEER_SEND:
    case FW_ACT_LOG_APPEND:
    case FW_ACT_LOG_READ:
    case FW_ACT_REGISTRY_READ:
    case FW_ACT_NOTE:
    case FW_ACT_EXIT:
        break;
    }
}
