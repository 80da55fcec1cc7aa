/* Parts that several kinds of messages between instances contain. */
#include <errno.h>
#include <string.h>

#include "base/hash.h"
#include "core/pack.h"
#include "relay/relay_internal.h"

/*
 * The numbers of an instance's processes are times of day. One that was
 * started after the time of day was moved back has a lower number than the
 * one before, which has been silent for at least this long by then.
 */
#define FW_FORMER_PROCESS_US (1 * FW_SEC)

/* Time since the store's recovery if it was never lost. */
#define FW_NEVER_RECOVERED (-1)

void
Fw_Message_PackSender(const struct fw_relay *r, msgpack_packer *pk)
{
    Fw_Pack_Str(pk, r->opts.name);
    msgpack_pack_uint64(pk, Fw_Hash_Str(r->opts.domain));
    msgpack_pack_int64(pk, r->opts.cpu_ppm);
    msgpack_pack_uint64(pk, r->opts.boot);
}

int
Fw_Message_ReadSender(const msgpack_object *o, struct fw_rl_sender *out)
{
    return Fw_Unpack_Str(o, 1, out->name, sizeof(out->name)) ||
                   !out->name[0] || Fw_Unpack_U64(o, 2, &out->domain) ||
                   Fw_Unpack_I64(o, 3, &out->cpu_ppm) ||
                   Fw_Unpack_U64(o, 4, &out->boot)
               ? -EBADMSG
               : 0;
}

int
Fw_Message_IsFromFormerProcess(const struct fw_rl_member *m, uint64_t boot,
                               int64_t now_us)
{
    return boot < m->boot && now_us - m->boot_heard_us < FW_FORMER_PROCESS_US;
}

struct fw_rl_member *
Fw_Message_FindOrAddSender(struct fw_relay *r, const struct fw_rl_sender *from,
                           int64_t now_us)
{
    struct fw_rl_member *m;

    if (strcmp(from->name, r->opts.name) == 0) {
        return NULL;
    }
    m = Fw_Members_Find(r, from->name);
    return m ? m : Fw_Members_Add(r, from->name, now_us);
}

void
Fw_Message_ApplySender(struct fw_relay *r, struct fw_rl_member *m,
                       const struct fw_rl_sender *from, const char *addr,
                       int64_t now_us)
{
    m->boot = from->boot;
    m->boot_heard_us = now_us;
    m->domain = from->domain;
    m->cpu_ppm = from->cpu_ppm;
    g_strlcpy(m->addr, addr, sizeof(m->addr));
    Fw_Members_NoteMessage(r, m, now_us);
}

int
Fw_Message_ReadCommonRows(const msgpack_object *o, uint32_t i,
                          struct fw_rl_common_rows *out)
{
    out->prefill_rates = Fw_Rows_Unpack(o, i, 2);
    out->spent = Fw_Rows_Unpack(o, i + 1, 3);
    out->load = Fw_Rows_Unpack(o, i + 2, 6);
    out->reserved = Fw_Rows_Unpack(o, i + 3, 2);
    out->store_state = Fw_Rows_Unpack(o, i + 4, FW_RL_STORE_STATE_COLUMNS);
    return out->prefill_rates && out->spent && out->load && out->reserved &&
                   out->store_state && out->store_state->size == 1
               ? 0
               : -EBADMSG;
}

/*
 * Load of @s that this instance has placed and, if it is a hub, its leaves;
 * with @to, also that of all other instances but the leaf @to.
 */
static void
compute_load(const struct fw_relay *r, const struct fw_rl_server *s,
             const struct fw_rl_member *to, int64_t now_us,
             struct fw_rl_load *out)
{
    struct fw_rl_load part;

    *out = (struct fw_rl_load){
        .target_stage = Fw_Servers_IsChangingStage(s, now_us)
                            ? s->target_stage
                            : FW_RL_STAGE_NONE,
        .n_unreachable =
            now_us < s->backoff_until_us && !Fw_Links_AreInDoubt(r, s, now_us),
        .running = s->running,
        .kv_tokens = s->kv_tokens,
        .prefill_tokens = s->prefill_tokens};
    if (!r->exchange.is_hub) {
        return;
    }
    Fw_Load_GetTotal(r, s->hash, FW_RL_SCOPE_LEAF, &part);
    Fw_Load_Add(out, &part, 1);
    if (to) {
        Fw_Load_GetTotal(r, s->hash, FW_RL_SCOPE_OTHER, &part);
        Fw_Load_Add(out, &part, 1);
        Fw_Load_GetMember(to, s->hash, &part);
        Fw_Load_Add(out, &part, -1);
    }
}

static int
is_empty(const struct fw_rl_load *l)
{
    return l->target_stage == FW_RL_STAGE_NONE && !l->n_unreachable &&
           !l->running && !l->kv_tokens && !l->prefill_tokens;
}

static void
pack_load(msgpack_packer *pk, uint64_t hash, const struct fw_rl_load *l)
{
    msgpack_pack_array(pk, 6);
    msgpack_pack_uint64(pk, hash);
    msgpack_pack_int64(pk, l->running);
    msgpack_pack_int64(pk, l->kv_tokens);
    msgpack_pack_int64(pk, l->prefill_tokens);
    msgpack_pack_int64(pk, (int64_t)l->target_stage);
    msgpack_pack_int64(pk, l->n_unreachable);
}

/* Appends the row of @s, unless there is nothing to be sent of it. */
static void
append_load(struct fw_relay *r, struct fw_rl_server *s,
            const struct fw_rl_member *to, int only_changed, int64_t now_us,
            GArray *rows)
{
    struct fw_rl_load_row row = {.hash = s->hash};
    int changed = 1;

    if (!to) {
        changed = Fw_Load_TestAndClearChanged(r, s->hash) | s->is_unsent;
        s->is_unsent = 0;
    }
    compute_load(r, s, to, now_us, &row.load);
    if (only_changed ? changed : !is_empty(&row.load)) {
        g_array_append_val(rows, row);
    }
}

/* Servers that only other instances have sent requests to. */
static void
append_load_of_others(struct fw_relay *r, const struct fw_rl_member *to,
                      int only_changed, int64_t now_us, GArray *rows)
{
    GHashTableIter it;
    gpointer k;

    g_hash_table_iter_init(&it, r->loads);
    while (g_hash_table_iter_next(&it, &k, NULL)) {
        struct fw_rl_server *s =
            Fw_Servers_FindByHash(r, (uint64_t) * (gint64 *)k);

        if (s && !s->is_active) {
            append_load(r, s, to, only_changed, now_us, rows);
        }
    }
}

void
Fw_Message_PackLoad(struct fw_relay *r, msgpack_packer *pk,
                    const struct fw_rl_member *to, int only_changed,
                    int64_t now_us)
{
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct fw_rl_load_row));
    struct fw_list *pos;
    struct fw_list *tmp;

    if (r->exchange.is_hub) {
        append_load_of_others(r, to, only_changed, now_us, rows);
    }
    FW_LIST_EACH_SAFE (pos, tmp, &r->active_servers) {
        struct fw_rl_server *s =
            FW_LIST_ENTRY(pos, struct fw_rl_server, active_link);

        append_load(r, s, to, only_changed, now_us, rows);
        Fw_Servers_DeactivateIdle(s, now_us);
    }
    msgpack_pack_array(pk, rows->len);
    for (guint i = 0; i < rows->len; i++) {
        const struct fw_rl_load_row *row =
            &g_array_index(rows, struct fw_rl_load_row, i);

        pack_load(pk, row->hash, &row->load);
    }
    g_array_unref(rows);
}

static void
add_counts(GHashTable *counts, GHashTable *more)
{
    GHashTableIter it;
    gpointer k;
    gpointer v;

    if (!more) {
        return;
    }
    g_hash_table_iter_init(&it, more);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        *Fw_Rows_LookupOrAdd(counts, (uint64_t) * (gint64 *)k, 0) +=
            *(int64_t *)v;
    }
}

/* Packs a row for each entry of @counts, and frees it. */
static void
pack_counts(msgpack_packer *pk, GHashTable *counts)
{
    GHashTableIter it;
    gpointer k;
    gpointer v;

    msgpack_pack_array(pk, g_hash_table_size(counts));
    g_hash_table_iter_init(&it, counts);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        msgpack_pack_array(pk, 2);
        msgpack_pack_uint64(pk, (uint64_t) * (gint64 *)k);
        msgpack_pack_int64(pk, MAX(*(int64_t *)v, 0));
    }
    g_hash_table_destroy(counts);
}

void
Fw_Message_PackPrefillRates(struct fw_relay *r, msgpack_packer *pk,
                            int64_t now_us)
{
    GHashTable *rates = Fw_Rows_NewTable();
    struct fw_list *pos;

    for (guint i = 0; i < r->service_stats->len; i++) {
        const struct fw_service_stats *l =
            g_ptr_array_index(r->service_stats, i);

        *Fw_Rows_LookupOrAdd(rates, Fw_Hash_Str(l->service), 0) +=
            (int64_t)Fw_PrefillLoad_Rate(&l->prefill_load, now_us);
    }
    FW_LIST_EACH (pos, &r->members) {
        const struct fw_rl_member *m =
            FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (r->exchange.is_hub && Fw_Hubs_IsLeaf(r, m, now_us)) {
            add_counts(rates, m->prefill_rates);
        }
    }
    pack_counts(pk, rates);
}

void
Fw_Message_PackStoreState(struct fw_relay *r, msgpack_packer *pk,
                          int64_t now_us)
{
    msgpack_pack_array(pk, 1);
    msgpack_pack_array(pk, FW_RL_STORE_STATE_COLUMNS);
    msgpack_pack_int(pk, Fw_Relay_ReadsStore(r, now_us));
    msgpack_pack_int(pk, r->store_sync.store_lost);
    msgpack_pack_uint64(pk, Fw_StoreSync_RulesEnd(r));
    msgpack_pack_uint64(pk, r->store_sync.list_offset);
    msgpack_pack_uint64(pk, Fw_StoreSync_ServerListHash(r));
    msgpack_pack_int64(pk, MAX(now_us - r->rules_fresh_us, 0));
    msgpack_pack_int64(pk, r->store_sync.recovered_us
                               ? MAX(now_us - r->store_sync.recovered_us, 0)
                               : FW_NEVER_RECOVERED);
}

/* Whether this instance or a live member other than @m reaches the store. */
static int
others_reach_store(const struct fw_relay *r, const struct fw_rl_member *m,
                   int64_t now_us)
{
    struct fw_list *pos;

    if (!r->store_sync.store_lost && Fw_Relay_ReadsStore(r, now_us)) {
        return 1;
    }
    FW_LIST_EACH (pos, &r->members) {
        const struct fw_rl_member *other =
            FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (other != m && !other->store_unreachable &&
            other->last_message_us &&
            now_us - other->last_message_us < Fw_Members_TimeoutUs(r)) {
            return 1;
        }
    }
    return 0;
}

/*
 * Expired entries may return soon after the store's recovery. A peer that was
 * unreachable may report an outage that ended some time ago. One that has
 * restarted meanwhile has no time of its end, and counts only where no other
 * instance reaches the store.
 */
static void
note_recovery(struct fw_relay *r, const struct fw_rl_member *m, int64_t age_us,
              int64_t now_us)
{
    if (age_us < 0 && others_reach_store(r, m, now_us)) {
        return;
    }
    r->store_recovered_us =
        MAX(r->store_recovered_us, now_us - MAX(age_us, 0));
}

void
Fw_Message_ApplyStoreState(struct fw_relay *r, struct fw_rl_member *m,
                           const msgpack_object_array *rows, int64_t now_us)
{
    int unreachable = Fw_Rows_Cell(rows, 0, 1) != 0;

    if (m->store_unreachable && !unreachable &&
        now_us - m->store_lost_us >= FW_RL_OUTAGE_MIN_US) {
        note_recovery(r, m, Fw_Rows_Cell(rows, 0, 6), now_us);
    }
    if (unreachable && !m->store_unreachable) {
        m->store_lost_us = now_us;
    }
    m->store_unreachable = unreachable;
    m->reads_store = (int)Fw_Rows_Cell(rows, 0, 0);
    m->rules_end = (uint64_t)Fw_Rows_Cell(rows, 0, 2);
    m->list_offset = (uint64_t)Fw_Rows_Cell(rows, 0, 3);
    m->list_hash = (uint64_t)Fw_Rows_Cell(rows, 0, 4);
    Fw_StoreSync_NoteMember(r, m);
}
