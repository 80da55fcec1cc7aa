/* Creation, destruction and queries of the state; see apply.c for changes. */
#include "config/state.h"

#include <string.h>

const char *
Fw_Change_VerdictName(enum fw_change_verdict v)
{
    static const char *const names[] = {"accepted", "conflict", "invalid",
                                        "duplicate"};
    return names[v];
}

struct fw_config_state *
Fw_ConfigState_New(void)
{
    struct fw_config_state *st = g_new0(struct fw_config_state, 1);

    st->cfg = Fw_Config_New();
    Fw_Audit_Init(&st->audit);
    st->outcomes = g_new0(struct fw_change_outcome, FW_CHANGE_OUTCOMES_MAX);
    st->outcomes_by_id = g_hash_table_new(g_str_hash, g_str_equal);
    return st;
}

void
Fw_ConfigState_Free(struct fw_config_state *st)
{
    if (!st) {
        return;
    }
    Fw_Config_Free(st->cfg);
    Fw_Audit_Clear(&st->audit);
    g_hash_table_unref(st->outcomes_by_id);
    g_free(st->outcomes);
    g_free(st);
}

void
Fw_ConfigState_RecordOutcome(struct fw_config_state *st, const char *id,
                             uint64_t offset, enum fw_change_verdict verdict)
{
    struct fw_change_outcome *s = &st->outcomes[st->next_outcome];

    if (st->n_outcomes == FW_CHANGE_OUTCOMES_MAX) {
        g_hash_table_remove(st->outcomes_by_id, s->id);
    }
    else {
        st->n_outcomes++;
    }
    g_strlcpy(s->id, id, sizeof(s->id));
    s->offset = offset;
    s->verdict = verdict;
    g_hash_table_replace(st->outcomes_by_id, s->id, s);
    st->next_outcome = (st->next_outcome + 1) % FW_CHANGE_OUTCOMES_MAX;
}

const struct fw_change_outcome *
Fw_ConfigState_FindOutcome(const struct fw_config_state *st, const char *id)
{
    return g_hash_table_lookup(st->outcomes_by_id, id);
}

uint64_t
Fw_ConfigState_Digest(const struct fw_config_state *st)
{
    uint64_t h = Fw_Config_Digest(st->cfg) + st->cfg->next_offset;
    unsigned at =
        (st->next_outcome + FW_CHANGE_OUTCOMES_MAX - st->n_outcomes) %
        FW_CHANGE_OUTCOMES_MAX;
    const struct fw_list *pos;

    for (unsigned i = 0; i < st->n_outcomes; i++) {
        const struct fw_change_outcome *s =
            &st->outcomes[(at + i) % FW_CHANGE_OUTCOMES_MAX];

        h = Fw_Hash_Bytes(s->id, strlen(s->id),
                          h + s->offset * 4 + s->verdict);
    }
    FW_LIST_EACH (pos, &st->audit.entries) {
        const struct fw_audit_entry *e =
            FW_LIST_ENTRY(pos, struct fw_audit_entry, link);

        h = Fw_Hash_Bytes(e->text, strlen(e->text), h);
    }
    return h;
}
