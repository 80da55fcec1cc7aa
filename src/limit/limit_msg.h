/* Messages of the limit subsystem between instances. */
#ifndef FW_LIMIT_MSG_H
#define FW_LIMIT_MSG_H

#include <msgpack.h>
#include <stdint.h>

#include "base/limits.h"

#define FW_LIMIT_ENTRIES_MAX 4096 /* teams in one message */
#define FW_LIMIT_HOLDERS_MAX 512  /* holders in one message */

/**
 * enum fw_limit_msg_kind - a wire value.
 * @FW_LIMIT_TOKEN_REQUEST: asks a peer for tokens of one team
 * @FW_LIMIT_TOKEN_GRANT: answer with the same @seq: all, some or no tokens
 * @FW_LIMIT_TOKEN_RETURN: returns unused tokens, or confirms that a grant was
 *                         spent
 * @FW_LIMIT_LEASE_RENEW: a holder asks the leader of a partition for its
 *                        leases
 * @FW_LIMIT_LEASE_UPDATE: answer with the same @seq: leases whose size changes
 * @FW_LIMIT_HANDOVER_OFFER: a draining leader asks its successor to request
 *                           the ledger
 * @FW_LIMIT_HANDOVER_REQUEST: the successor requests the ledger
 * @FW_LIMIT_HANDOVER: answer with the same @seq: the leader's unleased tokens
 *                     and its ledger
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

/**
 * struct fw_limit_grant - in a HANDOVER, one holder's lease of a team.
 * @holder: index into the message's holders
 * @rate, @burst: confirmed by the holder; tokens per second and tokens
 * @offered_rate, @offered_burst: offered to it last
 * @offered_level: micro-tokens that came with the offer
 */
struct fw_limit_grant {
    int holder;
    int64_t rate;
    int64_t burst;
    int64_t offered_rate;
    int64_t offered_burst;
    int64_t offered_level;
};

/**
 * struct fw_limit_entry - one team in a lease or handover message.
 * @rate: tokens per second: the new rate in an UPDATE, the rate that the
 *        holder wants in a RENEW, the unleased rate in a HANDOVER
 * @burst: tokens; in a RENEW, micro-tokens of the lease that are given back
 * @level: micro-tokens: those added to the lease in an UPDATE, those not
 *         leased in a HANDOVER; in a RENEW, nonzero when the holder scaled
 *         its lease down and needs the size sent again
 * @grants: owned, @n_grants of them, in a HANDOVER only
 */
struct fw_limit_entry {
    char team[FW_NAME_MAX];
    int64_t rate;
    int64_t burst;
    int64_t level;
    int n_grants;
    struct fw_limit_grant *grants;
};

/**
 * struct fw_limit_holder - in a HANDOVER, one process that holds leases.
 * @last_seq: of its last LEASE_RENEW
 * @confirmed_seq: of the last LEASE_UPDATE that it confirmed
 * @offered_seq: of the last LEASE_UPDATE sent to it
 * @expires_in_us: time until all its leases have expired
 */
struct fw_limit_holder {
    char name[FW_NAME_MAX];
    uint64_t boot;
    uint64_t last_seq;
    uint64_t confirmed_seq;
    uint64_t offered_seq;
    int64_t expires_in_us;
};

/**
 * struct fw_limit_msg - tagged by @kind.
 * @seq: request number, increasing over the life of the sending process; an
 *       answer repeats that of its request
 * @boot: in a TOKEN_RETURN the receiver's, in a LEASE_RENEW the sender's
 * @acked_seq: in a LEASE_RENEW, @seq of the last LEASE_UPDATE applied, 0 for
 *             none; in a TOKEN_RETURN, the sender's boot; in a HANDOVER, the
 *             sender's tenure
 * @fence: identifies the ledger in lease messages and a HANDOVER; in a
 *         TOKEN_RETURN, @seq of the TOKEN_REQUEST that the tokens were granted
 *         for, 0 for tokens of a finished request
 * @tokens: of the TOKEN messages; 0 in a TOKEN_RETURN with a @fence confirms
 *          that the grant was spent
 * @is_follower: in a LEASE_RENEW, nonzero when the sender is one of the
 *               partition's followers
 * @expires_in_us: in a HANDOVER, how long the unleased tokens stay usable
 * @entries: owned, @n_entries of them
 * @holders: owned, @n_holders of them
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
/* Return: 0, or -EBADMSG, after which @msg needs no clearing. */
int
Fw_Limit_UnpackMsg(const msgpack_object *obj, struct fw_limit_msg *msg);
void
Fw_Limit_ClearMsg(struct fw_limit_msg *msg);

#endif
