/* Membership of instances by gossip: probes, suspicion, graceful stop. */
#ifndef FW_FLEET_FLEET_H
#define FW_FLEET_FLEET_H

#include <glib.h>

#include "base/metrics.h"
#include "core/action.h"
#include "core/types.h"

/** enum fw_member_state - a wire value; state of a member as seen here. */
enum fw_member_state {
    FW_MEMBER_ALIVE,
    FW_MEMBER_SUSPECT, /* didn't answer a probe; may still refute it */
    FW_MEMBER_LEAVING, /* drains; gets no new requests */
    FW_MEMBER_DEAD,
};

/**
 * struct fw_member - one instance as seen here.
 * @domain: failure domain
 * @boot: identifies the process; larger after each restart
 * @incarnation: raised by the instance itself, to refute a suspicion or to
 *               announce that it leaves
 * @changed_us: when @state last changed
 */
struct fw_member {
    char name[FW_NAME_MAX];
    char addr[FW_URL_MAX];
    char domain[FW_NAME_MAX];
    char region[FW_NAME_MAX];
    uint64_t boot;
    uint32_t incarnation;
    enum fw_member_state state;
    int64_t changed_us;
};

/** struct fw_fleet - membership as seen by one instance. */
struct fw_fleet;

struct fw_fleet *
Fw_Fleet_New(const struct fw_self *self, uint32_t seed,
             struct fw_metrics *metrics);
void
Fw_Fleet_Free(struct fw_fleet *f);

void
Fw_Fleet_Tick(struct fw_fleet *f, int64_t now_us, struct fw_actions *out);
void
Fw_Fleet_OnMsg(struct fw_fleet *f, const char *from,
               const struct fw_fleet_msg *msg, int64_t now_us,
               struct fw_actions *out);
/* Adds listed instances as candidates for probes. The platform's list lags, so
 * it doesn't change the state of members. */
void
Fw_Fleet_OnListed(struct fw_fleet *f,
                  const struct fw_registry_snapshot *listed, int64_t now_us,
                  struct fw_actions *out);
/* Announces to all members that this instance leaves. */
void
Fw_Fleet_Drain(struct fw_fleet *f, int64_t now_us, struct fw_actions *out);

/**
 * Fw_Fleet_Pick - picks a member by rendezvous hash of @key, among those of
 * this region that are alive or suspect, this instance included unless it
 * drains.
 * @rank: 0 for the first choice, 1 for the second
 *
 * Return: the member, owned by @f, or NULL when there are fewer.
 */
const struct fw_member *
Fw_Fleet_Pick(const struct fw_fleet *f, uint64_t key, int rank);
/* Return: the member, owned by @f, or NULL. Dead ones are found until they are
 * forgotten. */
const struct fw_member *
Fw_Fleet_Find(const struct fw_fleet *f, const char *name);
int
Fw_Fleet_IsSelf(const struct fw_fleet *f, const struct fw_member *m);
/* Return: a new array of the members that are not dead, this instance
 * included. The caller unrefs the array; the members are owned by @f. */
GPtrArray *
Fw_Fleet_Members(const struct fw_fleet *f);

#endif
