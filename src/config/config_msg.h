/* Messages of the config subsystem between instances. */
#ifndef FW_CONFIG_MSG_H
#define FW_CONFIG_MSG_H

#include <msgpack.h>
#include <stdint.h>

#include "base/limits.h"

#define FW_CONFIG_PART_MAX (1024 * 1024) /* bytes of a part's text */

/** enum fw_config_msg_kind - a wire value. */
enum fw_config_msg_kind {
    FW_CONFIG_MSG_UP_TO_DATE,   /* answer: nothing newer here */
    FW_CONFIG_MSG_PART_REQUEST, /* a part of the state, if it is newer than
                                   mine */
    FW_CONFIG_PART, /* answer; late while the state is being written */
};

/**
 * struct fw_config_part_request - asks for one part.
 * @next_offset: offset up to which the asker has folded
 * @snapshot_id: snapshot being taken, empty to begin
 * @part: part wanted
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
        struct fw_config_part_request ask;
        char *part; /* as in stream "snapshot"; owned */
    } u;
};

void
Fw_Config_PackMsg(msgpack_packer *pk, const struct fw_config_msg *msg);
/* Return: 0 or -EBADMSG; then nothing needs clearing. */
int
Fw_Config_UnpackMsg(const msgpack_object *obj, struct fw_config_msg *msg);
void
Fw_Config_ClearMsg(struct fw_config_msg *msg);

#endif
