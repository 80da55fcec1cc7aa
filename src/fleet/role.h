/*
 * Roles taken through the log, held by reading it.
 *
 * A record names the role's holder and the offset of the record that it
 * replaces; one that replaces any but the record in force is void, so of
 * several that take a role at once the first has it and the others see that
 * they lost. The offset of the record in force is the fencing number. The
 * holder may act only while its last read of the stream, counted from when the
 * read was sent, is younger than FW_ROLE_FRESH_US, so that one that was paused
 * or cut off stops by itself. A new holder begins only after a wait that
 * covers FW_ROLE_FRESH_US, the life of everything the old one may have handed
 * out, and clock drift. Holding needs no append, so a quiet fleet writes
 * nothing.
 */
#ifndef FW_FLEET_ROLE_H
#define FW_FLEET_ROLE_H

#include "core/action.h"
#include "core/types.h"
#include "fleet/fleet.h"

#define FW_ROLE_FRESH_US (5 * FW_SEC)
#define FW_ROLE_DRIFT_PPM 1000 /* clocks differ by 0.1 % at most */

/** struct fw_roles - all roles, as read from the log; see role.c. */
struct fw_roles;

/**
 * Fw_Roles_New - @partitions of each kind; @wait_us is per kind what a new
 * holder waits beyond FW_ROLE_FRESH_US.
 */
struct fw_roles *
Fw_Roles_New(const struct fw_self *self, int partitions,
             const int64_t wait_us[FW_ROLE_KINDS]);
void
Fw_Roles_Free(struct fw_roles *r);

/* Takes what this instance should hold by rendezvous hash and lacks. */
void
Fw_Roles_Tick(struct fw_roles *r, const struct fw_fleet *fleet, int64_t now_us,
              struct fw_actions *out);
void
Fw_Roles_OnRecords(struct fw_roles *r, const struct fw_log_records *rec,
                   int64_t now_us, struct fw_actions *out);
void
Fw_Roles_OnAppended(struct fw_roles *r, const struct fw_log_appended *a,
                    int64_t now_us, struct fw_actions *out);
/* Gives up all roles to the next by rendezvous hash, through the log. */
void
Fw_Roles_Drain(struct fw_roles *r, const struct fw_fleet *fleet,
               int64_t now_us, struct fw_actions *out);

/* Name of the holder by the log, or NULL. */
const char *
Fw_Roles_Holder(const struct fw_roles *r, enum fw_role_kind kind,
                int partition);
/**
 * Fw_Roles_MayAct - to be asked right before each act.
 * @fence: the fencing number, when 0 is returned; may be NULL
 *
 * Return: 0; -EPERM when another holds it; -EAGAIN while waiting for the old
 * holder's grants to lapse; -ESTALE when the log was not read lately.
 */
int
Fw_Roles_MayAct(const struct fw_roles *r, enum fw_role_kind kind,
                int partition, int64_t now_us, uint64_t *fence);
/* Offset of the record by which this process came to hold it, whatever it
 * wrote since; 0 when it does not hold it. */
uint64_t
Fw_Roles_Tenure(const struct fw_roles *r, enum fw_role_kind kind,
                int partition);
/**
 * Fw_Roles_PredecessorTenure - of a role that its last holder stopped and gave
 * to this instance: that holder's tenure; else 0.
 */
uint64_t
Fw_Roles_PredecessorTenure(const struct fw_roles *r, enum fw_role_kind kind,
                           int partition);
/* Nonzero when this instance holds it and nobody ever did before. */
int
Fw_Roles_IsFirst(const struct fw_roles *r, enum fw_role_kind kind,
                 int partition);
/* Number of roles of which the log says that this instance holds them. */
int
Fw_Roles_CountHeld(const struct fw_roles *r);
/* What a new holder waits for grants of the old one to lapse. */
int64_t
Fw_Roles_TakeoverWaitUs(const struct fw_roles *r, enum fw_role_kind kind);
int
Fw_Roles_PartitionCount(const struct fw_roles *r);
/* The key by which Fw_Fleet_Pick names who shall hold it. */
uint64_t
Fw_Roles_Key(enum fw_role_kind kind, int partition);
int
Fw_Roles_Partition(const struct fw_roles *r, const char *name);

#endif
