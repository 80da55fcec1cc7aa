/* Messages between instances. Each subsystem defines and encodes its own. */
#ifndef FW_CORE_MSG_H
#define FW_CORE_MSG_H

#include <msgpack.h>

#include "config/config_msg.h"
#include "fleet/fleet_msg.h"
#include "idem/idem_msg.h"
#include "limit/limit_msg.h"
#include "request/request_msg.h"
#include "route/route_msg.h"

/** enum fw_area - subsystem of a message; the values are on the wire. */
enum fw_area {
    FW_AREA_FLEET = 1,
    FW_AREA_LIMIT,
    FW_AREA_IDEM,
    FW_AREA_ROUTE,
    FW_AREA_REQUEST,
    FW_AREA_CONFIG,
};

/** struct fw_msg - a message; @area selects the member of @u. */
struct fw_msg {
    enum fw_area area;
    union {
        struct fw_fleet_msg fleet;
        struct fw_limit_msg limit;
        struct fw_idem_msg idem;
        struct fw_route_msg route;
        struct fw_request_msg request;
        struct fw_config_msg config;
    } u;
};

/* Encodes @msg as msgpack. */
void
Fw_Msg_Pack(msgpack_packer *pk, const struct fw_msg *msg);

/**
 * Fw_Msg_Unpack - decodes one message.
 * @msg: to be cleared with Fw_Msg_Clear when 0 is returned
 *
 * Return: 0, or -EBADMSG when @obj is not a well-formed message; @msg then
 * owns nothing.
 */
int
Fw_Msg_Unpack(const msgpack_object *obj, struct fw_msg *msg);

/* Frees what @msg owns. */
void
Fw_Msg_Clear(struct fw_msg *msg);

#endif
