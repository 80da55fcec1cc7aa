#include "fleet/fleet_msg.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

#include "core/pack.h"
#include "fleet/fleet.h"

#define FW_FLEET_MSG_FIELDS 8
#define FW_FLEET_UPDATE_FIELDS 7

static void
pack_update(msgpack_packer *pk, const struct fw_fleet_update *u)
{
    msgpack_pack_array(pk, FW_FLEET_UPDATE_FIELDS);
    Fw_Pack_Str(pk, u->name);
    Fw_Pack_Str(pk, u->addr);
    Fw_Pack_Str(pk, u->domain);
    Fw_Pack_Str(pk, u->region);
    msgpack_pack_uint64(pk, u->boot);
    msgpack_pack_uint32(pk, u->incarnation);
    msgpack_pack_int(pk, u->state);
}

void
Fw_Fleet_PackMsg(msgpack_packer *pk, const struct fw_fleet_msg *msg)
{
    msgpack_pack_array(pk, FW_FLEET_MSG_FIELDS);
    msgpack_pack_int(pk, (int)msg->kind);
    msgpack_pack_uint64(pk, msg->seq);
    Fw_Pack_Str(pk, msg->target);
    Fw_Pack_Str(pk, msg->target_addr);
    msgpack_pack_uint64(pk, msg->boot);
    msgpack_pack_uint32(pk, msg->incarnation);
    msgpack_pack_int(pk, msg->state);
    msgpack_pack_array(pk, (size_t)msg->n_updates);
    for (int i = 0; i < msg->n_updates; i++) {
        pack_update(pk, &msg->updates[i]);
    }
}

static int
unpack_state(const msgpack_object *obj, uint32_t i, int *state)
{
    int64_t value;

    if (Fw_Unpack_I64(obj, i, &value) || value < FW_MEMBER_ALIVE ||
        value > FW_MEMBER_DEAD) {
        return -EBADMSG;
    }
    *state = (int)value;
    return 0;
}

static int
unpack_incarnation(const msgpack_object *obj, uint32_t i, uint32_t *out)
{
    uint64_t value;

    if (Fw_Unpack_U64(obj, i, &value) || value > UINT32_MAX) {
        return -EBADMSG;
    }
    *out = (uint32_t)value;
    return 0;
}

static int
unpack_update(const msgpack_object *obj, struct fw_fleet_update *u)
{
    if (Fw_Unpack_Str(obj, 0, u->name, sizeof(u->name)) ||
        Fw_Unpack_Str(obj, 1, u->addr, sizeof(u->addr)) ||
        Fw_Unpack_Str(obj, 2, u->domain, sizeof(u->domain)) ||
        Fw_Unpack_Str(obj, 3, u->region, sizeof(u->region)) ||
        Fw_Unpack_U64(obj, 4, &u->boot) ||
        unpack_incarnation(obj, 5, &u->incarnation) ||
        unpack_state(obj, 6, &u->state) || !u->name[0]) {
        return -EBADMSG;
    }
    return 0;
}

int
Fw_Fleet_UnpackMsg(const msgpack_object *obj, struct fw_fleet_msg *msg)
{
    const msgpack_object *updates = Fw_Unpack_Array(obj, 7);
    int64_t kind;

    memset(msg, 0, sizeof(*msg));
    if (Fw_Unpack_I64(obj, 0, &kind) || kind <= FW_FLEET_NONE ||
        kind > FW_FLEET_PING_REQ || Fw_Unpack_U64(obj, 1, &msg->seq) ||
        Fw_Unpack_Str(obj, 2, msg->target, sizeof(msg->target)) ||
        Fw_Unpack_Str(obj, 3, msg->target_addr, sizeof(msg->target_addr)) ||
        Fw_Unpack_U64(obj, 4, &msg->boot) ||
        unpack_incarnation(obj, 5, &msg->incarnation) ||
        unpack_state(obj, 6, &msg->state) || !updates ||
        updates->via.array.size > FW_FLEET_UPDATES_MAX) {
        return -EBADMSG;
    }
    msg->kind = (enum fw_fleet_msg_kind)kind;
    msg->updates = g_new0(struct fw_fleet_update, FW_FLEET_UPDATES_MAX);
    for (uint32_t i = 0; i < updates->via.array.size; i++) {
        if (unpack_update(&updates->via.array.ptr[i], &msg->updates[i])) {
            Fw_Fleet_ClearMsg(msg);
            return -EBADMSG;
        }
        msg->n_updates++;
    }
    return 0;
}

void
Fw_Fleet_ClearMsg(struct fw_fleet_msg *msg)
{
    g_clear_pointer(&msg->updates, g_free);
    msg->n_updates = 0;
}
