/* Messages about requests between instances. */
#ifndef FW_REQUEST_MSG_H
#define FW_REQUEST_MSG_H

#include <msgpack.h>
#include <stdint.h>

#include "base/limits.h"
#include "base/ran.h"

/** enum fw_request_msg_kind - a wire value. */
enum fw_request_msg_kind {
    FW_REQUEST_LOOKUP = 1,    /* to the directory: which instance runs it? */
    FW_REQUEST_OWNER,         /* reply to LOOKUP; may name the asker itself */
    FW_REQUEST_JOIN,          /* to the owner: subscribe to the answer */
    FW_REQUEST_JOINED,        /* reply to JOIN */
    FW_REQUEST_PIECE,         /* from the owner to a joined instance */
    FW_REQUEST_END,           /* from the owner: the answer is complete */
    FW_REQUEST_FAIL,          /* from the owner: failed, or unknown to it */
    FW_REQUEST_LEAVE,         /* to the owner: unsubscribe */
    FW_REQUEST_HELD,          /* to an owner: its attempts held by an engine */
    FW_REQUEST_DISOWN,        /* reply to HELD: those that are not running */
    FW_REQUEST_STRIKE,        /* to the coordinator: a strike, see poison.h */
    FW_REQUEST_STRIKE_RESULT, /* reply to STRIKE */
    FW_REQUEST_QUARANTINE,    /* to all instances */
};

/**
 * struct fw_request_lookup - LOOKUP.
 * @ticket: of the asking instance, repeated in the reply
 * @key: from Fw_Join_Key
 */
struct fw_request_lookup {
    uint64_t ticket;
    uint64_t key;
};

/** struct fw_request_owner - OWNER; @owner is an instance. */
struct fw_request_owner {
    uint64_t ticket;
    char owner[FW_NAME_MAX];
};

/**
 * struct fw_request_join - JOIN, JOINED, LEAVE.
 * @ticket: of the joined instance; PIECE, END and FAIL repeat it
 * @key: from Fw_Join_Key
 */
struct fw_request_join {
    uint64_t ticket;
    uint64_t key;
};

/** struct fw_request_piece - PIECE; @text is owned by the message. */
struct fw_request_piece {
    uint64_t ticket;
    int64_t index;
    char *text;
};

/** struct fw_request_end - END; @output_tokens is the number of pieces. */
struct fw_request_end {
    uint64_t ticket;
    char reason[16];
    int64_t prompt_tokens;
    int64_t output_tokens;
};

/** struct fw_request_fail - FAIL; @status 0: unknown to the owner. */
struct fw_request_fail {
    uint64_t ticket;
    int64_t status;
    char code[32];
    enum fw_ran ran;
    int64_t retry_after_us;
};

#define FW_REQUEST_IDS_MAX 64

/**
 * struct fw_request_ids - HELD, DISOWN: attempts of one owner on one engine.
 * @boot: of the owner's process, struct fw_self
 * @seqs: the SEQ part of the engine-side ids
 */
struct fw_request_ids {
    char engine[FW_NAME_MAX];
    uint64_t boot;
    int n;
    uint64_t seqs[FW_REQUEST_IDS_MAX];
};

/**
 * struct fw_request_strike - STRIKE, STRIKE_RESULT, QUARANTINE.
 * @fingerprint: hash of model and prompt
 * @ttl_us: quarantine; 0 in a STRIKE_RESULT when it may be retried
 */
struct fw_request_strike {
    uint64_t ticket;
    uint64_t fingerprint;
    int64_t ttl_us;
};

/** struct fw_request_msg - tagged by @kind. */
struct fw_request_msg {
    enum fw_request_msg_kind kind;
    union {
        struct fw_request_lookup lookup;
        struct fw_request_owner owner;
        struct fw_request_join join; /* JOIN, JOINED, LEAVE */
        struct fw_request_piece piece;
        struct fw_request_end end;
        struct fw_request_fail fail;
        struct fw_request_ids ids;       /* HELD, DISOWN */
        struct fw_request_strike strike; /* STRIKE, its result, QUARANTINE */
    } u;
};

void
Fw_Request_PackMsg(msgpack_packer *pk, const struct fw_request_msg *msg);
/* Return: 0, or -EBADMSG, after which @msg needs no Fw_Request_ClearMsg. */
int
Fw_Request_UnpackMsg(const msgpack_object *obj, struct fw_request_msg *msg);
/* Frees what @msg owns. */
void
Fw_Request_ClearMsg(struct fw_request_msg *msg);

#endif
