/* Messages by which an instance fetches the configuration from a peer. */
#ifndef FW_CONFIG_MSG_H
#define FW_CONFIG_MSG_H

#include <msgpack.h>
#include <stdint.h>

#include "base/limits.h"

#define FW_CONFIG_PART_MAX (1024 * 1024) /* bytes of a snapshot part */

/** enum fw_config_msg_kind - kind of message; the values are on the wire. */
enum fw_config_msg_kind {
    FW_CONFIG_MSG_UP_TO_DATE,   /* response: no newer state */
    FW_CONFIG_MSG_PART_REQUEST, /* request */
    FW_CONFIG_MSG_PART,         /* response, once the snapshot is written */
};

/**
 * struct fw_config_part_request - request for one part of a snapshot.
 * @next_offset: the sender's next log offset; only a newer state is sent
 * @snapshot_id: id of the snapshot, empty for the first request
 * @part: index of the part, from 0
 */
struct fw_config_part_request {
    uint64_t next_offset;
    char snapshot_id[FW_NAME_MAX];
    uint32_t part;
};

/** struct fw_config_msg - tagged by @kind. */
struct fw_config_msg {
    enum fw_config_msg_kind kind;
    union {
        struct fw_config_part_request request;
        char *part; /* as in stream "snapshot"; owned by the message */
    } u;
};

void
Fw_Config_PackMsg(msgpack_packer *pk, const struct fw_config_msg *msg);
/*
 * Returns 0 or -EBADMSG. After success the caller clears @msg by
 * Fw_Config_ClearMsg.
 */
int
Fw_Config_UnpackMsg(const msgpack_object *obj, struct fw_config_msg *msg);
void
Fw_Config_ClearMsg(struct fw_config_msg *msg);

#endif
