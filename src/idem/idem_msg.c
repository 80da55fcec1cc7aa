#include "idem/idem_msg.h"

#include <errno.h>
#include <string.h>

#include "core/pack.h"

static void
pack_body(msgpack_packer *pk, GBytes *body)
{
    gsize len = 0;
    const void *data = body ? g_bytes_get_data(body, &len) : NULL;

    msgpack_pack_bin_with_body(pk, data ? data : "", len);
}

static void
pack_claim(msgpack_packer *pk, const struct fw_idem_claim_msg *m)
{
    msgpack_pack_array(pk, 6);
    msgpack_pack_int(pk, FW_IDEM_CLAIM);
    msgpack_pack_uint64(pk, m->op);
    Fw_Pack_Str(pk, m->digest);
    Fw_Pack_Str(pk, m->owner);
    msgpack_pack_uint64(pk, m->body_hash);
    msgpack_pack_int64(pk, m->key_time_ms);
}

static void
pack_reply(msgpack_packer *pk, const struct fw_idem_claim_reply *m)
{
    msgpack_pack_array(pk, 9);
    msgpack_pack_int(pk, FW_IDEM_CLAIM_REPLY);
    msgpack_pack_uint64(pk, m->op);
    msgpack_pack_int(pk, (int)m->result);
    msgpack_pack_int(pk, m->status);
    Fw_Pack_Str(pk, m->content_type);
    pack_body(pk, m->body);
    msgpack_pack_int(pk, m->body_omitted);
    msgpack_pack_int64(pk, m->retry_after_us);
    msgpack_pack_int(pk, m->intent_may_exist);
}

static void
pack_outcome(msgpack_packer *pk, const struct fw_idem_outcome_msg *m)
{
    msgpack_pack_array(pk, 9);
    msgpack_pack_int(pk, FW_IDEM_OUTCOME);
    msgpack_pack_uint64(pk, m->op);
    Fw_Pack_Str(pk, m->rec.digest);
    Fw_Pack_Str(pk, m->rec.owner);
    msgpack_pack_int(pk, (int)m->rec.ran);
    msgpack_pack_int(pk, m->rec.status);
    Fw_Pack_Str(pk, m->rec.content_type);
    pack_body(pk, m->rec.body);
    msgpack_pack_int(pk, m->rec.body_omitted);
}

void
Fw_Idem_PackMsg(msgpack_packer *pk, const struct fw_idem_msg *msg)
{
    switch (msg->kind) {
    case FW_IDEM_CLAIM:
        pack_claim(pk, &msg->u.claim);
        break;
    case FW_IDEM_CLAIM_REPLY:
        pack_reply(pk, &msg->u.reply);
        break;
    case FW_IDEM_OUTCOME:
        pack_outcome(pk, &msg->u.outcome);
        break;
    case FW_IDEM_OUTCOME_ACK:
        msgpack_pack_array(pk, 2);
        msgpack_pack_int(pk, FW_IDEM_OUTCOME_ACK);
        msgpack_pack_uint64(pk, msg->u.outcome_ack);
        break;
    }
}

/* Reads element @i, an integer from 0 to @max. */
static int
unpack_int(const msgpack_object *o, uint32_t i, int64_t max, int *out)
{
    int64_t v;

    if (Fw_Unpack_I64(o, i, &v) || v < 0 || v > max) {
        return -EBADMSG;
    }
    *out = (int)v;
    return 0;
}

static int
unpack_body(const msgpack_object *o, uint32_t i, GBytes **out)
{
    const msgpack_object *b;

    if (i >= o->via.array.size) {
        return -EBADMSG;
    }
    b = &o->via.array.ptr[i];
    if (b->type != MSGPACK_OBJECT_BIN ||
        b->via.bin.size > FW_IDEM_BODY_BYTES_MAX) {
        return -EBADMSG;
    }
    *out =
        b->via.bin.size ? g_bytes_new(b->via.bin.ptr, b->via.bin.size) : NULL;
    return 0;
}

static int
unpack_claim(const msgpack_object *o, struct fw_idem_claim_msg *m)
{
    if (Fw_Unpack_U64(o, 1, &m->op) ||
        Fw_Unpack_Str(o, 2, m->digest, sizeof(m->digest)) ||
        Fw_Unpack_Str(o, 3, m->owner, sizeof(m->owner)) ||
        Fw_Unpack_U64(o, 4, &m->body_hash) ||
        Fw_Unpack_I64(o, 5, &m->key_time_ms)) {
        return -EBADMSG;
    }
    return 0;
}

static int
unpack_reply(const msgpack_object *o, struct fw_idem_claim_reply *m)
{
    int result;

    if (Fw_Unpack_U64(o, 1, &m->op) ||
        unpack_int(o, 2, FW_IDEM_UNAVAILABLE, &result) ||
        unpack_int(o, 3, 999, &m->status) ||
        Fw_Unpack_Str(o, 4, m->content_type, sizeof(m->content_type)) ||
        unpack_int(o, 6, 1, &m->body_omitted) ||
        Fw_Unpack_I64(o, 7, &m->retry_after_us) ||
        unpack_int(o, 8, 1, &m->intent_may_exist)) {
        return -EBADMSG;
    }
    m->result = (enum fw_idem_result)result;
    return unpack_body(o, 5, &m->body);
}

static int
unpack_outcome(const msgpack_object *o, struct fw_idem_outcome_msg *m)
{
    int ran;

    if (Fw_Unpack_U64(o, 1, &m->op) ||
        Fw_Unpack_Str(o, 2, m->rec.digest, sizeof(m->rec.digest)) ||
        Fw_Unpack_Str(o, 3, m->rec.owner, sizeof(m->rec.owner)) ||
        unpack_int(o, 4, FW_RAN_YES, &ran) ||
        unpack_int(o, 5, 999, &m->rec.status) ||
        Fw_Unpack_Str(o, 6, m->rec.content_type,
                      sizeof(m->rec.content_type)) ||
        unpack_int(o, 8, 1, &m->rec.body_omitted)) {
        return -EBADMSG;
    }
    m->rec.kind = FW_IDEM_REC_OUTCOME;
    m->rec.ran = (enum fw_ran)ran;
    return unpack_body(o, 7, &m->rec.body);
}

int
Fw_Idem_UnpackMsg(const msgpack_object *obj, struct fw_idem_msg *msg)
{
    int64_t kind;

    memset(msg, 0, sizeof(*msg));
    if (Fw_Unpack_I64(obj, 0, &kind)) {
        return -EBADMSG;
    }
    msg->kind = (enum fw_idem_msg_kind)kind;
    switch (msg->kind) {
    case FW_IDEM_CLAIM:
        return unpack_claim(obj, &msg->u.claim);
    case FW_IDEM_CLAIM_REPLY:
        return unpack_reply(obj, &msg->u.reply);
    case FW_IDEM_OUTCOME:
        return unpack_outcome(obj, &msg->u.outcome);
    case FW_IDEM_OUTCOME_ACK:
        return Fw_Unpack_U64(obj, 1, &msg->u.outcome_ack);
    }
    return -EBADMSG;
}

void
Fw_Idem_ClearMsg(struct fw_idem_msg *msg)
{
    switch (msg->kind) {
    case FW_IDEM_CLAIM_REPLY:
        g_clear_pointer(&msg->u.reply.body, g_bytes_unref);
        break;
    case FW_IDEM_OUTCOME:
        Fw_Idem_ClearRecord(&msg->u.outcome.rec);
        break;
    case FW_IDEM_CLAIM:
    case FW_IDEM_OUTCOME_ACK:
        break;
    }
}
