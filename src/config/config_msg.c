#include "config/config_msg.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

#include "core/pack.h"

void
Fw_Config_PackMsg(msgpack_packer *pk, const struct fw_config_msg *msg)
{
    switch (msg->kind) {
    case FW_CONFIG_MSG_UP_TO_DATE:
        msgpack_pack_array(pk, 1);
        msgpack_pack_int(pk, FW_CONFIG_MSG_UP_TO_DATE);
        break;
    case FW_CONFIG_MSG_PART_REQUEST:
        msgpack_pack_array(pk, 4);
        msgpack_pack_int(pk, FW_CONFIG_MSG_PART_REQUEST);
        msgpack_pack_uint64(pk, msg->u.request.next_offset);
        Fw_Pack_Str(pk, msg->u.request.snapshot_id);
        msgpack_pack_uint32(pk, msg->u.request.part);
        break;
    case FW_CONFIG_MSG_PART:
        msgpack_pack_array(pk, 2);
        msgpack_pack_int(pk, FW_CONFIG_MSG_PART);
        Fw_Pack_Str(pk, msg->u.part);
        break;
    }
}

static int
unpack_part_request(const msgpack_object *obj,
                    struct fw_config_part_request *req)
{
    uint64_t k;

    if (Fw_Unpack_U64(obj, 1, &req->next_offset) ||
        Fw_Unpack_Str(obj, 2, req->snapshot_id, sizeof(req->snapshot_id)) ||
        Fw_Unpack_U64(obj, 3, &k) || k > UINT32_MAX) {
        return -EBADMSG;
    }
    req->part = (uint32_t)k;
    return 0;
}

static int
unpack_part(const msgpack_object *obj, struct fw_config_msg *msg)
{
    const msgpack_object *o;

    if (obj->via.array.size < 2) {
        return -EBADMSG;
    }
    o = &obj->via.array.ptr[1];
    if (o->type != MSGPACK_OBJECT_STR ||
        o->via.str.size > FW_CONFIG_PART_MAX ||
        memchr(o->via.str.ptr, '\0', o->via.str.size)) {
        return -EBADMSG;
    }
    msg->u.part = g_strndup(o->via.str.ptr, o->via.str.size);
    return 0;
}

int
Fw_Config_UnpackMsg(const msgpack_object *obj, struct fw_config_msg *msg)
{
    int64_t kind;

    if (Fw_Unpack_I64(obj, 0, &kind)) {
        return -EBADMSG;
    }
    msg->kind = (enum fw_config_msg_kind)kind;
    switch (kind) {
    case FW_CONFIG_MSG_UP_TO_DATE:
        return 0;
    case FW_CONFIG_MSG_PART_REQUEST:
        return unpack_part_request(obj, &msg->u.request);
    case FW_CONFIG_MSG_PART:
        return unpack_part(obj, msg);
    default:
        return -EBADMSG;
    }
}

void
Fw_Config_ClearMsg(struct fw_config_msg *msg)
{
    if (msg->kind == FW_CONFIG_MSG_PART) {
        g_free(msg->u.part);
    }
    msg->kind = FW_CONFIG_MSG_UP_TO_DATE;
}
