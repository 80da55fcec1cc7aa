/* Messages of the limit subsystem between instances. */
#ifndef FW_LIMIT_MSG_H
#define FW_LIMIT_MSG_H

#include <msgpack.h>
#include <stdint.h>

#include "base/limits.h"

#define FW_LIMIT_ENTRIES_MAX 4096 /* teams in one message */
#define FW_LIMIT_HOLDERS_MAX 512

/**
 * enum fw_limit_msg_kind - a wire value.
 * @FW_LIMIT_TOKEN_REQUEST: tokens of one team, wanted now
 * @FW_LIMIT_TOKEN_GRANT: the answer, of the same @seq: all, some or none
 * @FW_LIMIT_TOKEN_RETURN: tokens that were granted and not used
 * @FW_LIMIT_LEASE_RENEW: a holder's question for its leases of one partition
 * @FW_LIMIT_LEASE_UPDATE: the answer, of the same @seq: what changes
 * @FW_LIMIT_HANDOVER_OFFER: a leaving leader bids its successor to pull
 * @FW_LIMIT_HANDOVER_REQUEST: the successor's question
 * @FW_LIMIT_HANDOVER: the answer: what the leader had left, and its ledger
 */
enum fw_limit_msg_kind {
    FW_LIMIT_NONE,
    FW_LIMIT_TOKEN_REQUEST,
    FW_LIMIT_TOKEN_GRANT,
    FW_LIMIT_TOKEN_RETURN,
    FW_LIMIT_LEASE_RENEW,
    FW_LIMIT_LEASE_UPDATE,
    FW_LIMIT_HANDOVER_OFFER,
    FW_LIMIT_HANDOVER_REQUEST,
    FW_LIMIT_HANDOVER,
};

/** struct fw_limit_grant - of a HANDOVER: what holder @holder has of a team.
 */
struct fw_limit_grant {
    int holder; /* index into the message's holders */
    int64_t rate;
    int64_t burst;
    int64_t offered_rate;
    int64_t offered_burst;
    int64_t offered_level;
};

/**
 * struct fw_limit_entry - one team.
 * @rate: tokens a second; of a RENEW, what the holder would use
 * @burst: tokens; of a RENEW, micro-tokens of a lease that is given back
 * @level: micro-tokens; of a LEASE, what is added; of a RENEW, nonzero when
 *         the holder was cut and must be told its size again
 */
struct fw_limit_entry {
    char team[FW_NAME_MAX];
    int64_t rate;
    int64_t burst;
    int64_t level;
    int n_grants;
    struct fw_limit_grant *grants;
};

/** struct fw_limit_holder - of a HANDOVER: a holder in the ledger. */
struct fw_limit_holder {
    char name[FW_NAME_MAX];
    uint64_t boot;
    uint64_t last_seq;
    uint64_t confirmed_seq;
    uint64_t offered_seq;
    int64_t expires_in_us; /* until its leases are surely gone */
};

/**
 * struct fw_limit_msg - tagged by @kind.
 * @seq: of the sender's questions, rising over its life
 * @boot: of the receiver in RETURN, of the sender in RENEW
 * @acked_seq: of a RENEW, the last answer that the holder took in, 0 for none
 * @fence: fencing number of the leader that gave it, or of the ledger
 * @tokens: of ASK, TOKENS and RETURN
 * @is_follower: of a RENEW, the holder stands ready to follow the leader
 * @expires_in_us: of a HANDOVER, how long what is handed over stays usable
 * @entries, @holders: owned
 */
struct fw_limit_msg {
    enum fw_limit_msg_kind kind;
    uint64_t seq;
    int partition;
    uint64_t boot;
    uint64_t acked_seq;
    uint64_t fence;
    int64_t tokens;
    int is_follower;
    int64_t expires_in_us;
    char team[FW_NAME_MAX];
    int n_entries;
    struct fw_limit_entry *entries;
    int n_holders;
    struct fw_limit_holder *holders;
};

void
Fw_Limit_PackMsg(msgpack_packer *pk, const struct fw_limit_msg *msg);
/* Return: 0 or -EBADMSG; then nothing needs clearing. */
int
Fw_Limit_UnpackMsg(const msgpack_object *obj, struct fw_limit_msg *msg);
void
Fw_Limit_ClearMsg(struct fw_limit_msg *msg);

#endif
