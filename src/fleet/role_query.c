/* Queries of who holds a role and whether this instance may act on it. */
#include <errno.h>
#include <string.h>

#include "base/fault.h"
#include "base/hash.h"
#include "fleet/role_internal.h"

struct fw_role_slot *
Fw_Role_Slot(const struct fw_roles *r, enum fw_role_kind kind, int partition)
{
    return &r->slots[(int)kind * r->n_partitions + partition];
}

int
Fw_Role_IsHeldHere(const struct fw_roles *r, const struct fw_role_slot *slot)
{
    return slot->known && slot->offset > 0 && slot->boot == r->self.boot &&
           strcmp(slot->holder, r->self.name) == 0;
}

int64_t
Fw_Role_WithDrift(int64_t us)
{
    return us + us / 1000000 * FW_ROLE_DRIFT_PPM + FW_ROLE_DRIFT_PPM;
}

const char *
Fw_Roles_Holder(const struct fw_roles *r, enum fw_role_kind kind,
                int partition)
{
    const struct fw_role_slot *slot = Fw_Role_Slot(r, kind, partition);

    return slot->known && slot->offset > 0 ? slot->holder : NULL;
}

int
Fw_Roles_MayAct(const struct fw_roles *r, enum fw_role_kind kind,
                int partition, int64_t now_us, uint64_t *fence)
{
    const struct fw_role_slot *slot = Fw_Role_Slot(r, kind, partition);

    if (!Fw_Role_IsHeldHere(r, slot) || slot->stopped) {
        return -EPERM;
    }
    /* Stops a holder that was paused or cut off and may have been replaced.
     * The wait of a new holder relies on this. */
    if (now_us - r->view_us >= FW_ROLE_VIEW_MAX_AGE_US &&
        !FW_FAULT("role-stale-read")) {
        return -ESTALE;
    }
    if (now_us < slot->acts_from_us) {
        return -EAGAIN;
    }
    if (fence) {
        *fence = slot->offset;
    }
    return 0;
}

uint64_t
Fw_Roles_Tenure(const struct fw_roles *r, enum fw_role_kind kind,
                int partition)
{
    const struct fw_role_slot *slot = Fw_Role_Slot(r, kind, partition);

    return Fw_Role_IsHeldHere(r, slot) ? slot->tenure : 0;
}

uint64_t
Fw_Roles_PredecessorTenure(const struct fw_roles *r, enum fw_role_kind kind,
                           int partition)
{
    const struct fw_role_slot *slot = Fw_Role_Slot(r, kind, partition);

    return Fw_Role_IsHeldHere(r, slot) ? slot->predecessor_tenure : 0;
}

int
Fw_Roles_IsFirst(const struct fw_roles *r, enum fw_role_kind kind,
                 int partition)
{
    const struct fw_role_slot *slot = Fw_Role_Slot(r, kind, partition);

    return Fw_Role_IsHeldHere(r, slot) && slot->is_first;
}

int
Fw_Roles_CountHeld(const struct fw_roles *r)
{
    int n = 0;

    for (int i = 0; i < (int)FW_ROLE_KINDS * r->n_partitions; i++) {
        n += Fw_Role_IsHeldHere(r, &r->slots[i]);
    }
    return n;
}

int64_t
Fw_Roles_TakeoverWaitUs(const struct fw_roles *r, enum fw_role_kind kind)
{
    return r->wait_us[kind];
}

int
Fw_Roles_PartitionCount(const struct fw_roles *r)
{
    return r->n_partitions;
}

uint64_t
Fw_Roles_Key(enum fw_role_kind kind, int partition)
{
    const int64_t id[2] = {(int64_t)kind, partition};

    return Fw_Hash_Bytes(id, sizeof(id), 0);
}

int
Fw_Roles_PartitionOf(const struct fw_roles *r, const char *name)
{
    return (int)(Fw_Hash_Str(name) % (uint64_t)r->n_partitions);
}
