#include "request/request_msg.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

#include "core/pack.h"

static void
pack_ids(msgpack_packer *pk, const struct fw_request_ids *ids)
{
    Fw_Pack_Str(pk, ids->engine);
    msgpack_pack_uint64(pk, ids->boot);
    msgpack_pack_array(pk, (size_t)ids->n);
    for (int i = 0; i < ids->n; i++) {
        msgpack_pack_uint64(pk, ids->seqs[i]);
    }
}

static void
pack_fail(msgpack_packer *pk, const struct fw_request_fail *fail)
{
    msgpack_pack_uint64(pk, fail->ticket);
    msgpack_pack_int64(pk, fail->status);
    Fw_Pack_Str(pk, fail->code);
    msgpack_pack_int(pk, (int)fail->ran);
    msgpack_pack_int64(pk, fail->retry_after_us);
}

static void
pack_end(msgpack_packer *pk, const struct fw_request_end *end)
{
    msgpack_pack_uint64(pk, end->ticket);
    Fw_Pack_Str(pk, end->reason);
    msgpack_pack_int64(pk, end->prompt_tokens);
    msgpack_pack_int64(pk, end->output_tokens);
}

/* Elements of each kind's array, the kind itself included. */
static size_t
length(enum fw_request_msg_kind kind)
{
    switch (kind) {
    case FW_REQUEST_LOOKUP:
    case FW_REQUEST_OWNER:
    case FW_REQUEST_JOIN:
    case FW_REQUEST_JOINED:
    case FW_REQUEST_LEAVE:
        return 3;
    case FW_REQUEST_PIECE:
    case FW_REQUEST_HELD:
    case FW_REQUEST_DISOWN:
    case FW_REQUEST_STRIKE:
    case FW_REQUEST_STRIKE_RESULT:
    case FW_REQUEST_QUARANTINE:
        return 4;
    case FW_REQUEST_END:
        return 5;
    case FW_REQUEST_FAIL:
        return 6;
    }
    return 0;
}

void
Fw_Request_PackMsg(msgpack_packer *pk, const struct fw_request_msg *msg)
{
    msgpack_pack_array(pk, length(msg->kind));
    msgpack_pack_int(pk, (int)msg->kind);
    switch (msg->kind) {
    case FW_REQUEST_LOOKUP:
    case FW_REQUEST_JOIN:
    case FW_REQUEST_JOINED:
    case FW_REQUEST_LEAVE:
        msgpack_pack_uint64(pk, msg->u.join.ticket);
        msgpack_pack_uint64(pk, msg->u.join.key);
        break;
    case FW_REQUEST_OWNER:
        msgpack_pack_uint64(pk, msg->u.owner.ticket);
        Fw_Pack_Str(pk, msg->u.owner.owner);
        break;
    case FW_REQUEST_PIECE:
        msgpack_pack_uint64(pk, msg->u.piece.ticket);
        msgpack_pack_int64(pk, msg->u.piece.index);
        Fw_Pack_Str(pk, msg->u.piece.text);
        break;
    case FW_REQUEST_END:
        pack_end(pk, &msg->u.end);
        break;
    case FW_REQUEST_FAIL:
        pack_fail(pk, &msg->u.fail);
        break;
    case FW_REQUEST_HELD:
    case FW_REQUEST_DISOWN:
        pack_ids(pk, &msg->u.ids);
        break;
    case FW_REQUEST_STRIKE:
    case FW_REQUEST_STRIKE_RESULT:
    case FW_REQUEST_QUARANTINE:
        msgpack_pack_uint64(pk, msg->u.strike.ticket);
        msgpack_pack_uint64(pk, msg->u.strike.fingerprint);
        msgpack_pack_int64(pk, msg->u.strike.ttl_us);
        break;
    }
}

static int
unpack_piece(const msgpack_object *obj, struct fw_request_piece *piece)
{
    const msgpack_object *text;

    if (obj->via.array.size != 4 || Fw_Unpack_U64(obj, 1, &piece->ticket) ||
        Fw_Unpack_I64(obj, 2, &piece->index)) {
        return -EBADMSG;
    }
    text = &obj->via.array.ptr[3];
    if (text->type != MSGPACK_OBJECT_STR || piece->index < 0) {
        return -EBADMSG;
    }
    piece->text = g_strndup(text->via.str.ptr, text->via.str.size);
    return 0;
}

static int
unpack_ids(const msgpack_object *obj, struct fw_request_ids *ids)
{
    const msgpack_object *seqs = Fw_Unpack_Array(obj, 3);

    if (!seqs || seqs->via.array.size > FW_REQUEST_IDS_MAX ||
        Fw_Unpack_Str(obj, 1, ids->engine, sizeof(ids->engine)) ||
        Fw_Unpack_U64(obj, 2, &ids->boot)) {
        return -EBADMSG;
    }
    ids->n = (int)seqs->via.array.size;
    for (int i = 0; i < ids->n; i++) {
        if (Fw_Unpack_U64(seqs, (uint32_t)i, &ids->seqs[i])) {
            return -EBADMSG;
        }
    }
    return 0;
}

static int
unpack_fail(const msgpack_object *obj, struct fw_request_fail *fail)
{
    int64_t ran;

    if (Fw_Unpack_U64(obj, 1, &fail->ticket) ||
        Fw_Unpack_I64(obj, 2, &fail->status) ||
        Fw_Unpack_Str(obj, 3, fail->code, sizeof(fail->code)) ||
        Fw_Unpack_I64(obj, 4, &ran) ||
        Fw_Unpack_I64(obj, 5, &fail->retry_after_us) || ran < FW_RAN_NO ||
        ran > FW_RAN_YES || fail->retry_after_us < 0) {
        return -EBADMSG;
    }
    fail->ran = (enum fw_ran)ran;
    return 0;
}

static int
unpack_end(const msgpack_object *obj, struct fw_request_end *end)
{
    if (Fw_Unpack_U64(obj, 1, &end->ticket) ||
        Fw_Unpack_Str(obj, 2, end->reason, sizeof(end->reason)) ||
        Fw_Unpack_I64(obj, 3, &end->prompt_tokens) ||
        Fw_Unpack_I64(obj, 4, &end->output_tokens)) {
        return -EBADMSG;
    }
    return 0;
}

static int
unpack_strike(const msgpack_object *obj, struct fw_request_strike *strike)
{
    if (Fw_Unpack_U64(obj, 1, &strike->ticket) ||
        Fw_Unpack_U64(obj, 2, &strike->fingerprint) ||
        Fw_Unpack_I64(obj, 3, &strike->ttl_us) || strike->ttl_us < 0) {
        return -EBADMSG;
    }
    return 0;
}

int
Fw_Request_UnpackMsg(const msgpack_object *obj, struct fw_request_msg *msg)
{
    int64_t kind;

    memset(msg, 0, sizeof(*msg));
    if (Fw_Unpack_I64(obj, 0, &kind) || kind < FW_REQUEST_LOOKUP ||
        kind > FW_REQUEST_QUARANTINE) {
        return -EBADMSG;
    }
    msg->kind = (enum fw_request_msg_kind)kind;
    switch (msg->kind) {
    case FW_REQUEST_LOOKUP:
    case FW_REQUEST_JOIN:
    case FW_REQUEST_JOINED:
    case FW_REQUEST_LEAVE:
        if (Fw_Unpack_U64(obj, 1, &msg->u.join.ticket) ||
            Fw_Unpack_U64(obj, 2, &msg->u.join.key)) {
            return -EBADMSG;
        }
        return 0;
    case FW_REQUEST_OWNER:
        if (Fw_Unpack_U64(obj, 1, &msg->u.owner.ticket) ||
            Fw_Unpack_Str(obj, 2, msg->u.owner.owner, FW_NAME_MAX)) {
            return -EBADMSG;
        }
        return 0;
    case FW_REQUEST_PIECE:
        return unpack_piece(obj, &msg->u.piece);
    case FW_REQUEST_END:
        return unpack_end(obj, &msg->u.end);
    case FW_REQUEST_FAIL:
        return unpack_fail(obj, &msg->u.fail);
    case FW_REQUEST_HELD:
    case FW_REQUEST_DISOWN:
        return unpack_ids(obj, &msg->u.ids);
    case FW_REQUEST_STRIKE:
    case FW_REQUEST_STRIKE_RESULT:
    case FW_REQUEST_QUARANTINE:
        return unpack_strike(obj, &msg->u.strike);
    }
    return -EBADMSG;
}

void
Fw_Request_ClearMsg(struct fw_request_msg *msg)
{
    if (msg->kind == FW_REQUEST_PIECE) {
        g_free(msg->u.piece.text);
        msg->u.piece.text = NULL;
    }
}
