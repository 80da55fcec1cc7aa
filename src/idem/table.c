#include "idem/table.h"

#include "base/hash.h"

void
Fw_Idem_InitTable(struct fw_idem_table *t)
{
    t->keys = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    Fw_Idem_ResetTable(t, 1);
}

void
Fw_Idem_ClearTable(struct fw_idem_table *t)
{
    g_clear_pointer(&t->keys, g_hash_table_unref);
}

void
Fw_Idem_ResetTable(struct fw_idem_table *t, uint64_t offset)
{
    g_hash_table_remove_all(t->keys);
    t->first_offset = offset;
    t->next_offset = offset;
    t->horizon_ms = offset > 1 ? -1 : 0;
    t->newest_ms = 0;
}

static struct fw_idem_entry *
get_entry(struct fw_idem_table *t, const char *digest)
{
    struct fw_idem_entry *e = g_hash_table_lookup(t->keys, digest);

    if (!e) {
        e = g_new0(struct fw_idem_entry, 1);
        g_strlcpy(e->digest, digest, sizeof(e->digest));
        g_hash_table_insert(t->keys, e->digest, e);
    }
    return e;
}

static void
apply_intent(struct fw_idem_entry *e, const struct fw_idem_record *rec)
{
    uint64_t owner = Fw_Hash_Str(rec->owner);

    if (!e->body_hash) {
        e->body_hash = rec->body_hash;
    }
    if (e->state != FW_IDEM_ST_FREE || e->voided_owner == owner ||
        Fw_Idem_BodyDiffers(e, rec->body_hash)) {
        return;
    }
    e->state = FW_IDEM_ST_BEGUN;
    e->first_owner = owner;
}

static void
apply_outcome(struct fw_idem_entry *e, const struct fw_idem_record *rec,
              uint64_t offset)
{
    uint64_t owner = Fw_Hash_Str(rec->owner);

    if (rec->ran == FW_RAN_NO) {
        e->voided_owner = owner;
    }
    if (e->first_owner != owner || e->state != FW_IDEM_ST_BEGUN) {
        return;
    }
    switch (rec->ran) {
    case FW_RAN_NO:
        e->state = FW_IDEM_ST_FREE;
        e->first_owner = 0;
        break;
    case FW_RAN_MAYBE:
        e->state = FW_IDEM_ST_UNKNOWN;
        break;
    case FW_RAN_YES:
        e->state = FW_IDEM_ST_DONE;
        e->outcome_offset = offset;
        break;
    }
}

void
Fw_Idem_ApplyRecord(struct fw_idem_table *t, const struct fw_idem_record *rec)
{
    uint64_t offset = t->next_offset++;
    struct fw_idem_entry *e;

    if (t->horizon_ms < 0) {
        t->horizon_ms = rec->at_ms;
    }
    t->newest_ms = MAX(t->newest_ms, rec->at_ms);
    if (rec->kind == FW_IDEM_REC_MARK) {
        return;
    }
    e = get_entry(t, rec->digest);
    e->last_offset = offset;
    e->last_ms = rec->at_ms;
    if (rec->kind == FW_IDEM_REC_INTENT) {
        apply_intent(e, rec);
    }
    else {
        apply_outcome(e, rec, offset);
    }
}

void
Fw_Idem_TrimTable(struct fw_idem_table *t, uint64_t oldest)
{
    GHashTableIter it;
    gpointer value;

    if (oldest <= t->first_offset) {
        return;
    }
    t->first_offset = oldest;
    g_hash_table_iter_init(&it, t->keys);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct fw_idem_entry *e = value;

        if (e->last_offset < oldest) {
            t->horizon_ms = MAX(t->horizon_ms, e->last_ms);
            g_hash_table_iter_remove(&it);
        }
    }
}

const struct fw_idem_entry *
Fw_Idem_FindEntry(const struct fw_idem_table *t, const char *digest)
{
    return g_hash_table_lookup(t->keys, digest);
}

int
Fw_Idem_BodyDiffers(const struct fw_idem_entry *e, uint64_t body_hash)
{
    return e->body_hash != 0 && e->body_hash != body_hash;
}

int
Fw_Idem_IsFirstOwner(const struct fw_idem_entry *e, const char *owner)
{
    return e && e->state == FW_IDEM_ST_BEGUN &&
           e->first_owner == Fw_Hash_Str(owner);
}
