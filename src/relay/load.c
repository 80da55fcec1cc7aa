/*
 * Load that peers have placed on the servers. Totals are updated as messages
 * are received, so that the cost of a placement doesn't depend on the number
 * of peers.
 */
#include "relay/relay_internal.h"

/**
 * struct load_total - total load of one server.
 * @by_scope: by the instances that the rows cover
 * @changed: the load of leaves changed since it was last sent
 */
struct load_total {
    struct {
        int to_stage[FW_RL_STAGE_DECODE + 1]; /* peers, by stage */
        int n_unreachable;
        int running;
        int64_t reserved_tokens;
        int64_t prefill_tokens;
    } by_scope[FW_RL_SCOPES];
    int changed;
};

static struct load_total *
find_or_add_total(struct fw_relay *r, uint64_t hash)
{
    struct load_total *s = g_hash_table_lookup(r->loads, &hash);

    if (!s) {
        s = g_new0(struct load_total, 1);
        g_hash_table_insert(r->loads, Fw_Rows_NewKey(hash), s);
    }
    return s;
}

static void
add_row(struct fw_relay *r, const struct fw_rl_load_row *row,
        enum fw_rl_scope scope, int sign)
{
    struct load_total *s = find_or_add_total(r, row->hash);

    s->by_scope[scope].to_stage[row->load.target_stage] += sign;
    s->by_scope[scope].n_unreachable += sign * row->load.n_unreachable;
    s->by_scope[scope].running += sign * row->load.running;
    s->by_scope[scope].reserved_tokens += sign * row->load.kv_tokens;
    s->by_scope[scope].prefill_tokens += sign * row->load.prefill_tokens;
    s->changed |= scope == FW_RL_SCOPE_LEAF;
}

void
Fw_Load_Drop(struct fw_relay *r, struct fw_rl_member *m)
{
    for (guint i = 0; m->load_rows && i < m->load_rows->len; i++) {
        add_row(r, &g_array_index(m->load_rows, struct fw_rl_load_row, i),
                m->load_scope, -1);
    }
    g_clear_pointer(&m->load_rows, g_array_unref);
}

static struct fw_rl_load_row
row_at(const msgpack_object_array *rows, uint32_t i)
{
    int64_t stage = Fw_Rows_Cell(rows, i, 4);

    return (struct fw_rl_load_row){
        .hash = (uint64_t)Fw_Rows_Cell(rows, i, 0),
        .load = {.running = (int)Fw_Rows_Cell(rows, i, 1),
                 .kv_tokens = Fw_Rows_Cell(rows, i, 2),
                 .prefill_tokens = Fw_Rows_Cell(rows, i, 3),
                 .target_stage = stage == FW_RL_STAGE_PREFILL ||
                                         stage == FW_RL_STAGE_DECODE
                                     ? (enum fw_rl_stage)stage
                                     : FW_RL_STAGE_NONE,
                 .n_unreachable = (int)Fw_Rows_Cell(rows, i, 5)}};
}

/* Requests and prefill tokens of @m on all servers. */
static void
sum_load(const struct fw_rl_member *m, int64_t *running,
         int64_t *prefill_tokens)
{
    *running = 0;
    *prefill_tokens = 0;
    for (guint i = 0; m->load_rows && i < m->load_rows->len; i++) {
        const struct fw_rl_load_row *row =
            &g_array_index(m->load_rows, struct fw_rl_load_row, i);

        *running += row->load.running;
        *prefill_tokens += row->load.prefill_tokens;
    }
}

/* New load of a leaf is sent to other hubs without waiting for a digest. */
void
Fw_Load_Replace(struct fw_relay *r, struct fw_rl_member *m,
                const msgpack_object_array *rows, enum fw_rl_scope scope,
                int64_t now_us)
{
    int64_t running[2];
    int64_t prefill_tokens[2];

    sum_load(m, &running[0], &prefill_tokens[0]);
    Fw_Load_Drop(r, m);
    m->load_scope = scope;
    Fw_Load_Merge(r, m, rows, now_us);
    sum_load(m, &running[1], &prefill_tokens[1]);
    r->exchange.delta_pending |=
        scope == FW_RL_SCOPE_LEAF &&
        (running[1] > running[0] || prefill_tokens[1] > prefill_tokens[0]);
}

static struct fw_rl_load_row *
find(const struct fw_rl_member *m, uint64_t hash)
{
    for (guint i = 0; m->load_rows && i < m->load_rows->len; i++) {
        struct fw_rl_load_row *row =
            &g_array_index(m->load_rows, struct fw_rl_load_row, i);

        if (row->hash == hash) {
            return row;
        }
    }
    return NULL;
}

void
Fw_Load_Merge(struct fw_relay *r, struct fw_rl_member *m,
              const msgpack_object_array *rows, int64_t now_us)
{
    m->load_us = now_us;
    if (!m->load_rows) {
        m->load_rows =
            g_array_new(FALSE, FALSE, sizeof(struct fw_rl_load_row));
    }
    for (uint32_t i = 0; i < rows->size; i++) {
        struct fw_rl_load_row row = row_at(rows, i);
        struct fw_rl_load_row *old = find(m, row.hash);

        if (old) {
            add_row(r, old, m->load_scope, -1);
            *old = row;
        }
        else {
            g_array_append_val(m->load_rows, row);
        }
        add_row(r, &row, m->load_scope, 1);
    }
}

void
Fw_Load_GetTotal(const struct fw_relay *r, uint64_t hash,
                 enum fw_rl_scope scope, struct fw_rl_load *out)
{
    const struct load_total *s = g_hash_table_lookup(r->loads, &hash);

    *out = (struct fw_rl_load){0};
    if (!s) {
        return;
    }
    out->n_unreachable = s->by_scope[scope].n_unreachable;
    out->running = s->by_scope[scope].running;
    out->kv_tokens = s->by_scope[scope].reserved_tokens;
    out->prefill_tokens = s->by_scope[scope].prefill_tokens;
    for (int k = FW_RL_STAGE_PREFILL; k <= FW_RL_STAGE_DECODE; k++) {
        if (s->by_scope[scope].to_stage[k] > 0) {
            out->target_stage = (enum fw_rl_stage)k;
        }
    }
}

void
Fw_Load_GetMember(const struct fw_rl_member *m, uint64_t hash,
                  struct fw_rl_load *out)
{
    const struct fw_rl_load_row *row = find(m, hash);

    *out = row ? row->load : (struct fw_rl_load){0};
}

void
Fw_Load_Add(struct fw_rl_load *to, const struct fw_rl_load *more, int sign)
{
    if (sign > 0 && more->target_stage != FW_RL_STAGE_NONE) {
        to->target_stage = more->target_stage;
    }
    to->n_unreachable += sign * more->n_unreachable;
    to->running += sign * more->running;
    to->kv_tokens += sign * more->kv_tokens;
    to->prefill_tokens += sign * more->prefill_tokens;
}

int
Fw_Load_TestAndClearChanged(struct fw_relay *r, uint64_t hash)
{
    struct load_total *s = g_hash_table_lookup(r->loads, &hash);
    int changed = s && s->changed;

    if (s) {
        s->changed = 0;
    }
    return changed;
}

static int
is_zero(const struct load_total *s)
{
    for (int scope = 0; scope < FW_RL_SCOPES; scope++) {
        if (s->by_scope[scope].running || s->by_scope[scope].n_unreachable ||
            s->by_scope[scope].reserved_tokens ||
            s->by_scope[scope].prefill_tokens ||
            s->by_scope[scope].to_stage[FW_RL_STAGE_NONE] ||
            s->by_scope[scope].to_stage[FW_RL_STAGE_PREFILL] ||
            s->by_scope[scope].to_stage[FW_RL_STAGE_DECODE]) {
            return 0;
        }
    }
    return !s->changed;
}

static gboolean
is_unused(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    (void)data;
    return is_zero(value);
}

void
Fw_Load_Prune(struct fw_relay *r)
{
    g_hash_table_foreach_remove(r->loads, is_unused, NULL);
}
