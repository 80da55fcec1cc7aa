/* Messages of the idempotency subsystem between instances. */
#ifndef FW_IDEM_MSG_H
#define FW_IDEM_MSG_H

#include <glib.h>
#include <msgpack.h>

#include "idem/record.h"

/** enum fw_idem_result - answer to a claim; a wire value. */
enum fw_idem_result {
    FW_IDEM_RUN,             /* granted: send once, after Fw_Idem_BeginRun */
    FW_IDEM_RECORDED,        /* ran before; the recorded outcome is attached */
    FW_IDEM_OUTCOME_UNKNOWN, /* begun before, outcome unknown: must not run */
    FW_IDEM_NOT_RUN,         /* no attempt has run; the claim may be retried */
    FW_IDEM_MISMATCH,        /* key was used before with another body */
    FW_IDEM_TOO_OLD,         /* records of the key may have been deleted */
    FW_IDEM_UNAVAILABLE,     /* the log can't be used; the call was not run */
};

/** enum fw_idem_msg_kind - a wire value. */
enum fw_idem_msg_kind {
    FW_IDEM_CLAIM = 1,   /* to the coordinator */
    FW_IDEM_CLAIM_REPLY, /* from the coordinator */
    FW_IDEM_OUTCOME,     /* to the coordinator, to be recorded */
    FW_IDEM_OUTCOME_ACK, /* from the coordinator: the outcome is in the log */
};

/**
 * struct fw_idem_claim_msg - claims the right to run a call.
 * @op: number chosen by the sender, returned in the reply
 * @owner: identifies the attempt, see struct fw_idem_record
 * @key_time_ms: wall-clock time in the idempotency key, 0 for none
 */
struct fw_idem_claim_msg {
    uint64_t op;
    char digest[FW_IDEM_DIGEST_MAX];
    char owner[FW_IDEM_OWNER_MAX];
    uint64_t body_hash;
    int64_t key_time_ms;
};

/**
 * struct fw_idem_claim_reply - answer to a claim.
 * @op: of the claim
 * @status, @content_type, @body: recorded response, for FW_IDEM_RECORDED
 * @body_omitted: the recorded body was too large to be stored
 * @retry_after_us: for FW_IDEM_NOT_RUN and FW_IDEM_UNAVAILABLE
 * @intent_may_exist: the claim's intent record may be in the log, whatever
 *                    @result says
 */
struct fw_idem_claim_reply {
    uint64_t op;
    enum fw_idem_result result;
    int status;
    char content_type[64];
    GBytes *body;
    int body_omitted;
    int64_t retry_after_us;
    int intent_may_exist;
};

/**
 * struct fw_idem_outcome_msg - asks for an outcome to be recorded.
 * @op: number chosen by the sender, returned in the acknowledgement
 * @rec: an outcome record; its time is set when it is appended
 */
struct fw_idem_outcome_msg {
    uint64_t op;
    struct fw_idem_record rec;
};

/**
 * struct fw_idem_msg - message between instances.
 * @outcome_ack: @op of the outcome that was recorded
 */
struct fw_idem_msg {
    enum fw_idem_msg_kind kind;
    union {
        struct fw_idem_claim_msg claim;
        struct fw_idem_claim_reply reply;
        struct fw_idem_outcome_msg outcome;
        uint64_t outcome_ack;
    } u;
};

void
Fw_Idem_PackMsg(msgpack_packer *pk, const struct fw_idem_msg *msg);
/* Return: 0, or -EBADMSG; @msg then owns no memory. */
int
Fw_Idem_UnpackMsg(const msgpack_object *obj, struct fw_idem_msg *msg);
void
Fw_Idem_ClearMsg(struct fw_idem_msg *msg);

#endif
