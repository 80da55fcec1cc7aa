/* Queries of the replica. */
#include "config/replica_internal.h"

const struct fw_config *
Fw_ConfigReplica_Config(const struct fw_config_replica *rep)
{
    return rep->state->cfg;
}

int
Fw_ConfigReplica_IsReady(const struct fw_config_replica *rep)
{
    return rep->ready;
}

const struct fw_change_outcome *
Fw_ConfigReplica_FindOutcome(const struct fw_config_replica *rep,
                             const char *id)
{
    return Fw_ConfigState_FindOutcome(rep->state, id);
}

const struct fw_audit *
Fw_ConfigReplica_Audit(const struct fw_config_replica *rep)
{
    return &rep->state->audit;
}

int64_t
Fw_ConfigReplica_StalenessUs(const struct fw_config_replica *rep,
                             int64_t now_us)
{
    return now_us - rep->last_success_us;
}

enum fw_change_verdict
Fw_ConfigReplica_Evaluate(const struct fw_config_replica *rep,
                          const struct fw_change *ch,
                          struct fw_config_error *err)
{
    return Fw_ConfigState_Evaluate(rep->state, ch, err);
}
