/* Messages of the fleet subsystem between instances. */
#ifndef FW_FLEET_MSG_H
#define FW_FLEET_MSG_H

#include <msgpack.h>
#include <stdint.h>

#include "base/limits.h"

#define FW_FLEET_UPDATES_MAX 8 /* in one message */

/**
 * enum fw_fleet_msg_kind - a wire value.
 * @FW_FLEET_PING: a probe
 * @FW_FLEET_ACK: answer to a ping or a ping request
 * @FW_FLEET_PING_REQ: asks the receiver to ping another member
 */
enum fw_fleet_msg_kind {
    FW_FLEET_NONE,
    FW_FLEET_PING,
    FW_FLEET_ACK,
    FW_FLEET_PING_REQ,
};

/** struct fw_fleet_update - the gossiped state of one instance. */
struct fw_fleet_update {
    char name[FW_NAME_MAX];
    char addr[FW_URL_MAX];
    char domain[FW_NAME_MAX];
    char region[FW_NAME_MAX];
    uint64_t boot;
    uint32_t incarnation;
    int state; /* enum fw_member_state */
};

/**
 * struct fw_fleet_msg - tagged by @kind.
 * @seq: number given by the sender of a PING or PING_REQ; its ACK repeats it
 * @target, @target_addr: in a PING_REQ, the member to ping
 * @boot, @incarnation, @state: in a PING, the receiver as seen by the sender
 * @updates: owned, @n_updates of them
 */
struct fw_fleet_msg {
    enum fw_fleet_msg_kind kind;
    uint64_t seq;
    char target[FW_NAME_MAX];
    char target_addr[FW_URL_MAX];
    uint64_t boot;
    uint32_t incarnation;
    int state;
    int n_updates;
    struct fw_fleet_update *updates;
};

void
Fw_Fleet_PackMsg(msgpack_packer *pk, const struct fw_fleet_msg *msg);
/* Return: 0, or -EBADMSG, after which @msg needs no clearing. */
int
Fw_Fleet_UnpackMsg(const msgpack_object *obj, struct fw_fleet_msg *msg);
void
Fw_Fleet_ClearMsg(struct fw_fleet_msg *msg);

#endif
