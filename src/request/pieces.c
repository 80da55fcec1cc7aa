/* Assembly of the answer: each piece is emitted once, in order of index. */
#include <string.h>
#include <syslog.h>

#include "base/fault.h"
#include "request/request_internal.h"

static void
emit(struct fw_request *rq, const char *text)
{
    guint32 end;

    g_string_append(rq->output, text);
    end = (guint32)rq->output->len;
    g_array_append_val(rq->piece_ends, end);
}

static void
buffer_piece(struct fw_request *rq, int64_t index, const char *text)
{
    gint64 *key;

    if (index > (int64_t)rq->piece_ends->len + FW_REORDER_PIECES_MAX) {
        return; /* dropped; a resume fetches it again */
    }
    key = g_new(gint64, 1);
    *key = index;
    g_hash_table_replace(rq->reorder, key, g_strdup(text));
}

void
Fw_Request_AddPiece(struct fw_request *rq, int64_t index, const char *text)
{
    gint64 next;
    const char *buffered;

    if (index < (int64_t)rq->piece_ends->len &&
        !FW_FAULT("pieces-not-matched")) {
        return;
    }
    if (index > (int64_t)rq->piece_ends->len &&
        !FW_FAULT("pieces-not-matched")) {
        buffer_piece(rq, index, text);
        return;
    }
    emit(rq, text);
    next = rq->piece_ends->len;
    while ((buffered = g_hash_table_lookup(rq->reorder, &next))) {
        emit(rq, buffered);
        g_hash_table_remove(rq->reorder, &next);
        next = rq->piece_ends->len;
    }
}

/* Evicts retained answers, oldest first, down to FW_RETAINED_BYTES_MAX. */
static void
evict_retained(struct fw_requests *rs)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &rs->all) {
        struct fw_request *rq = FW_LIST_ENTRY(pos, struct fw_request, link);
        if (rs->retained_bytes <= FW_RETAINED_BYTES_MAX) {
            return;
        }
        if (rq->stage == FW_STAGE_DONE) {
            Fw_Request_Free(rs, rq);
        }
    }
}

void
Fw_Request_Finish(struct fw_requests *rs, struct fw_request *rq,
                  int64_t now_us, struct fw_actions *out)
{
    Fw_Request_Release(rs, rq, now_us, out);
    rs->counters.finished.value++;
    rq->stage = FW_STAGE_DONE;
    rs->retained_bytes += (int64_t)rq->output->len;
    rs->n_retained++;
    Fw_Subscriber_Flush(rs, rq, out);
    if (!rq->key) {
        Fw_Request_Free(rs, rq);
        return;
    }
    rq->stage_deadline_us = now_us + FW_RETENTION_US;
    g_clear_pointer(&rq->body, g_bytes_unref);
    Fw_List_Remove(&rq->link);
    Fw_List_Append(&rs->all, &rq->link);
    evict_retained(rs);
}

static void
complete(struct fw_requests *rs, struct fw_request *rq, int64_t now_us,
         struct fw_actions *out)
{
    Fw_Request_Trace(rs, rq, now_us, "complete after %u pieces",
                     rq->piece_ends->len);
    Fw_Route_ReportStep(rs->deps.router, rq->ticket, FW_STEP_DONE, NULL,
                        now_us, out);
    /* The engine frees a completed request itself; nothing to cancel. */
    g_hash_table_remove(rs->by_seq, &rq->seq);
    rq->seq = 0;
    Fw_Request_Finish(rs, rq, now_us, out);
}

void
Fw_Request_OnDecode(struct fw_requests *rs, struct fw_request *rq,
                    const struct fw_up_event *ev, int64_t now_us,
                    struct fw_actions *out)
{
    switch (ev->phase) {
    case FW_UP_TOKEN:
        if (rq->piece_ends->len == 0) {
            Fw_Request_Trace(rs, rq, now_us, "first piece");
        }
        Fw_Request_AddPiece(rq, ev->u.token.index, ev->u.token.text);
        Fw_Route_ReportStep(rs->deps.router, rq->ticket, FW_STEP_TOKEN, NULL,
                            now_us, out);
        Fw_Subscriber_Flush(rs, rq, out);
        return;
    case FW_UP_DONE:
        Fw_Request_ClearOp(rs, rq);
        rq->expected_pieces = ev->u.end.tokens;
        g_strlcpy(rq->finish_reason, ev->u.end.reason,
                  sizeof(rq->finish_reason));
        if ((int64_t)rq->piece_ends->len >= rq->expected_pieces) {
            complete(rs, rq, now_us, out);
            return;
        }
        /* Pieces were lost on the way and have to be fetched by a resume. */
        Fw_Request_OnUpstreamLost(rs, rq, rq->decode, ev, now_us, out);
        return;
    case FW_UP_FAILED:
        Fw_Request_ClearOp(rs, rq);
        Fw_Request_OnUpstreamLost(rs, rq, rq->decode, ev, now_us, out);
        return;
    }
}
