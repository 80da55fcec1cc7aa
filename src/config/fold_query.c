/* Queries of the replica. */
#include "config/fold_internal.h"

const struct fw_config *
Fw_Fold_Config(const struct fw_fold *rep)
{
    return rep->state->cfg;
}

int
Fw_Fold_Ready(const struct fw_fold *rep)
{
    return rep->ready;
}

const struct fw_seen *
Fw_Fold_Seen(const struct fw_fold *rep, const char *id)
{
    return Fw_ConfigState_FindOutcome(rep->state, id);
}

const struct fw_audit *
Fw_Fold_Audit(const struct fw_fold *rep)
{
    return &rep->state->audit;
}

int64_t
Fw_Fold_StaleUs(const struct fw_fold *rep, int64_t now_us)
{
    return now_us - rep->last_success_us;
}

enum fw_change_verdict
Fw_Fold_Judge(const struct fw_fold *rep, const struct fw_change *ch,
              struct fw_why *err)
{
    return Fw_ConfigState_Evaluate(rep->state, ch, err);
}
