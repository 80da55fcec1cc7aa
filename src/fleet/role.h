/*
 * Roles: exclusive duties of instances, claimed by appending to the log.
 *
 * A record names the role's holder and the offset of the record that it
 * replaces; it is void if that is not the record in force. So when several
 * instances claim a role at once, the first record wins and the others see
 * that they lost. The offset of the record in force is the fencing number.
 *
 * A holder may act only while its last complete read of the stream, counted
 * from when the read was sent, is younger than FW_ROLE_VIEW_MAX_AGE_US, so an
 * instance that was paused or cut off stops by itself. A new holder waits for
 * that time, for the lifetime of all that the old one may have granted, and
 * for clock drift. Holding a role needs no appends but rare refreshes.
 */
#ifndef FW_FLEET_ROLE_H
#define FW_FLEET_ROLE_H

#include "core/action.h"
#include "core/types.h"
#include "fleet/fleet.h"

#define FW_ROLE_VIEW_MAX_AGE_US (5 * FW_SEC)
#define FW_ROLE_DRIFT_PPM 1000 /* bound on the drift between clocks */

/** struct fw_roles - all roles, as read from the log. */
struct fw_roles;

/**
 * Fw_Roles_New
 * @n_partitions: number of roles of each kind
 * @wait_us: for each kind, the lifetime of what a holder grants; a new holder
 *           waits for it in addition to FW_ROLE_VIEW_MAX_AGE_US
 */
struct fw_roles *
Fw_Roles_New(const struct fw_self *self, int n_partitions,
             const int64_t wait_us[FW_ROLE_KINDS]);
void
Fw_Roles_Free(struct fw_roles *r);

/* Claims vacant roles whose first choice by rendezvous hash is this instance.
 */
void
Fw_Roles_Tick(struct fw_roles *r, const struct fw_fleet *fleet, int64_t now_us,
              struct fw_actions *out);
void
Fw_Roles_OnRecords(struct fw_roles *r, const struct fw_log_records *rec,
                   int64_t now_us, struct fw_actions *out);
void
Fw_Roles_OnAppended(struct fw_roles *r, const struct fw_log_appended *a,
                    int64_t now_us, struct fw_actions *out);
/* Hands all roles over to the next choice by rendezvous hash. */
void
Fw_Roles_Drain(struct fw_roles *r, const struct fw_fleet *fleet,
               int64_t now_us, struct fw_actions *out);

/* Return: name of the holder as read from the log, NULL when there is none or
 * it isn't known. Valid until the next call that changes @r. */
const char *
Fw_Roles_Holder(const struct fw_roles *r, enum fw_role_kind kind,
                int partition);
/**
 * Fw_Roles_MayAct - whether this instance may act on a role; to be called
 * right before each act.
 * @fence: receives the fencing number when 0 is returned; may be NULL
 *
 * Return: 0; -EPERM if it doesn't hold the role or has stopped; -EAGAIN while
 * grants of the old holder may be in use; -ESTALE if the last complete read of
 * the log is too old.
 */
int
Fw_Roles_MayAct(const struct fw_roles *r, enum fw_role_kind kind,
                int partition, int64_t now_us, uint64_t *fence);
/* Return: offset of the record by which this process first got the role, which
 * refreshes don't change; 0 when it doesn't hold the role. */
uint64_t
Fw_Roles_Tenure(const struct fw_roles *r, enum fw_role_kind kind,
                int partition);
/* Return: tenure of the last holder, if that handed the role over to this
 * process; else 0. */
uint64_t
Fw_Roles_PredecessorTenure(const struct fw_roles *r, enum fw_role_kind kind,
                           int partition);
/* Nonzero when this process holds the role and nobody held it before. */
int
Fw_Roles_IsFirst(const struct fw_roles *r, enum fw_role_kind kind,
                 int partition);
/* Return: number of roles that this process holds by the log. */
int
Fw_Roles_CountHeld(const struct fw_roles *r);
/* Return: @wait_us of Fw_Roles_New. */
int64_t
Fw_Roles_TakeoverWaitUs(const struct fw_roles *r, enum fw_role_kind kind);
int
Fw_Roles_PartitionCount(const struct fw_roles *r);
/* Return: key for Fw_Fleet_Pick that chooses the role's holder. */
uint64_t
Fw_Roles_Key(enum fw_role_kind kind, int partition);
/* Return: partition that @name is hashed to. */
int
Fw_Roles_PartitionOf(const struct fw_roles *r, const char *name);

#endif
