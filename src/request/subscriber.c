/* Subscribers of requests: delivery of pieces, ends and errors. */
#include <string.h>

#include "request/request_internal.h"

static struct fw_subscriber *
add(struct fw_request *rq)
{
    struct fw_subscriber *sub = g_new0(struct fw_subscriber, 1);

    sub->rq = rq;
    Fw_List_Append(&rq->subscribers, &sub->link);
    return sub;
}

void
Fw_Subscriber_AddCall(struct fw_requests *rs, struct fw_request *rq,
                      uint64_t call)
{
    struct fw_subscriber *sub = add(rq);

    sub->call = call;
    g_hash_table_insert(rs->by_call, &sub->call, sub);
}

void
Fw_Subscriber_AddPeer(struct fw_request *rq, const char *peer, uint64_t ticket)
{
    struct fw_subscriber *sub = add(rq);

    g_strlcpy(sub->peer, peer, sizeof(sub->peer));
    sub->ticket = ticket;
}

void
Fw_Subscriber_Remove(struct fw_requests *rs, struct fw_subscriber *sub)
{
    if (sub->call) {
        g_hash_table_remove(rs->by_call, &sub->call);
    }
    Fw_List_Remove(&sub->link);
    g_free(sub);
}

struct fw_subscriber *
Fw_Subscriber_FindCall(const struct fw_requests *rs, uint64_t call)
{
    return g_hash_table_lookup(rs->by_call, &call);
}

struct fw_subscriber *
Fw_Subscriber_FindPeer(const struct fw_request *rq, const char *peer,
                       uint64_t ticket)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &rq->subscribers) {
        struct fw_subscriber *sub =
            FW_LIST_ENTRY(pos, struct fw_subscriber, link);
        if (sub->ticket == ticket && strcmp(sub->peer, peer) == 0) {
            return sub;
        }
    }
    return NULL;
}

/* Return: a copy of the emitted piece @index, to be freed by the caller. */
static char *
piece_text(const struct fw_request *rq, int64_t index)
{
    guint32 end = g_array_index(rq->piece_ends, guint32, index);
    guint32 begin =
        index ? g_array_index(rq->piece_ends, guint32, index - 1) : 0;

    return g_strndup(rq->output->str + begin, end - begin);
}

static void
send_start(struct fw_subscriber *sub, struct fw_actions *out)
{
    struct fw_call_start *start;

    sub->started = 1;
    if (!sub->call) {
        return;
    }
    start = &Fw_Actions_Add(out, FW_ACT_CALL_START)->u.start;
    start->call = sub->call;
    g_strlcpy(start->request_id, sub->rq->id, sizeof(start->request_id));
    g_strlcpy(start->model, sub->rq->model, sizeof(start->model));
}

static void
send_piece(struct fw_requests *rs, struct fw_subscriber *sub,
           struct fw_actions *out)
{
    struct fw_call_token *piece;

    if (!sub->call) {
        struct fw_request_msg msg = {
            .kind = FW_REQUEST_PIECE,
            .u.piece = {.ticket = sub->ticket,
                        .index = sub->next_index,
                        .text = piece_text(sub->rq, sub->next_index)},
        };
        Fw_Request_Send(rs, sub->peer, &msg, out);
        return;
    }
    piece = &Fw_Actions_Add(out, FW_ACT_CALL_TOKEN)->u.piece;
    piece->call = sub->call;
    piece->index = sub->next_index;
    piece->text = piece_text(sub->rq, sub->next_index);
}

static void
send_end(struct fw_requests *rs, struct fw_subscriber *sub,
         struct fw_actions *out)
{
    const struct fw_request *rq = sub->rq;
    struct fw_call_end *end;

    if (!sub->call) {
        struct fw_request_msg msg = {
            .kind = FW_REQUEST_END,
            .u.end = {.ticket = sub->ticket,
                      .prompt_tokens = rq->prompt_tokens,
                      .output_tokens = rq->piece_ends->len},
        };
        g_strlcpy(msg.u.end.reason, rq->finish_reason,
                  sizeof(msg.u.end.reason));
        Fw_Request_Send(rs, sub->peer, &msg, out);
        return;
    }
    end = &Fw_Actions_Add(out, FW_ACT_CALL_END)->u.end;
    end->call = sub->call;
    g_strlcpy(end->reason, rq->finish_reason, sizeof(end->reason));
    end->prompt_tokens = rq->prompt_tokens;
    end->output_tokens = rq->piece_ends->len;
    end->cached_tokens = rq->cached_tokens;
    end->transfer_us = rq->transfer_us;
    g_strlcpy(end->prefill, rq->prefill, sizeof(end->prefill));
    g_strlcpy(end->decode, rq->decode, sizeof(end->decode));
}

void
Fw_Subscriber_Flush(struct fw_requests *rs, struct fw_request *rq,
                    struct fw_actions *out)
{
    struct fw_list *pos;
    struct fw_list *tmp;
    int done = rq->stage == FW_STAGE_DONE;

    FW_LIST_EACH_SAFE (pos, tmp, &rq->subscribers) {
        struct fw_subscriber *sub =
            FW_LIST_ENTRY(pos, struct fw_subscriber, link);
        if (!sub->started && (done || rq->piece_ends->len > 0)) {
            send_start(sub, out);
        }
        for (; sub->next_index < rq->piece_ends->len; sub->next_index++) {
            send_piece(rs, sub, out);
        }
        if (done) {
            send_end(rs, sub, out);
            Fw_Subscriber_Remove(rs, sub);
        }
    }
}

void
Fw_Subscriber_FailAll(struct fw_requests *rs, struct fw_request *rq,
                      struct fw_call_fail *fail, struct fw_actions *out)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &rq->subscribers) {
        struct fw_subscriber *sub =
            FW_LIST_ENTRY(pos, struct fw_subscriber, link);
        if (sub->call) {
            fail->call = sub->call;
            Fw_Actions_Add(out, FW_ACT_CALL_FAIL)->u.fail = *fail;
        }
        else {
            struct fw_request_msg msg = {
                .kind = FW_REQUEST_FAIL,
                .u.fail = {.ticket = sub->ticket,
                           .status = fail->status,
                           .ran = fail->ran,
                           .retry_after_us = fail->retry_after_us},
            };
            g_strlcpy(msg.u.fail.code, fail->code, sizeof(msg.u.fail.code));
            Fw_Request_Send(rs, sub->peer, &msg, out);
        }
        Fw_Subscriber_Remove(rs, sub);
    }
}
