#include "core/msg.h"

#include <errno.h>

void
Fw_Msg_Pack(msgpack_packer *pk, const struct fw_msg *msg)
{
    msgpack_pack_array(pk, 2);
    msgpack_pack_int(pk, (int)msg->area);
    switch (msg->area) {
    case FW_AREA_FLEET:
        Fw_Fleet_PackMsg(pk, &msg->u.fleet);
        break;
    case FW_AREA_LIMIT:
        Fw_Limit_PackMsg(pk, &msg->u.limit);
        break;
    case FW_AREA_IDEM:
        Fw_Idem_PackMsg(pk, &msg->u.idem);
        break;
    case FW_AREA_ROUTE:
        Fw_Route_PackMsg(pk, &msg->u.route);
        break;
    case FW_AREA_REQUEST:
        Fw_Request_PackMsg(pk, &msg->u.request);
        break;
    case FW_AREA_CONFIG:
        Fw_Config_PackMsg(pk, &msg->u.config);
        break;
    }
}

int
Fw_Msg_Unpack(const msgpack_object *obj, struct fw_msg *msg)
{
    const msgpack_object *body;

    if (obj->type != MSGPACK_OBJECT_ARRAY || obj->via.array.size != 2 ||
        obj->via.array.ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return -EBADMSG;
    }
    body = &obj->via.array.ptr[1];
    msg->area = (enum fw_area)obj->via.array.ptr[0].via.u64;
    switch (msg->area) {
    case FW_AREA_FLEET:
        return Fw_Fleet_UnpackMsg(body, &msg->u.fleet);
    case FW_AREA_LIMIT:
        return Fw_Limit_UnpackMsg(body, &msg->u.limit);
    case FW_AREA_IDEM:
        return Fw_Idem_UnpackMsg(body, &msg->u.idem);
    case FW_AREA_ROUTE:
        return Fw_Route_UnpackMsg(body, &msg->u.route);
    case FW_AREA_REQUEST:
        return Fw_Request_UnpackMsg(body, &msg->u.request);
    case FW_AREA_CONFIG:
        return Fw_Config_UnpackMsg(body, &msg->u.config);
    }
    return -EBADMSG;
}

void
Fw_Msg_Clear(struct fw_msg *msg)
{
    switch (msg->area) {
    case FW_AREA_FLEET:
        Fw_Fleet_ClearMsg(&msg->u.fleet);
        break;
    case FW_AREA_LIMIT:
        Fw_Limit_ClearMsg(&msg->u.limit);
        break;
    case FW_AREA_IDEM:
        Fw_Idem_ClearMsg(&msg->u.idem);
        break;
    case FW_AREA_ROUTE:
        Fw_Route_ClearMsg(&msg->u.route);
        break;
    case FW_AREA_REQUEST:
        Fw_Request_ClearMsg(&msg->u.request);
        break;
    case FW_AREA_CONFIG:
        Fw_Config_ClearMsg(&msg->u.config);
        break;
    }
}
