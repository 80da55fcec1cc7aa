/*
 * What peers have at the servers, summed up as their messages come, so that
 * a placement costs one look-up a server however many peers there are.
 */
#include "relay/relay_internal.h"

/** struct sum - of one server, by scope; @changed: that of leaves did. */
struct sum {
    struct {
        int to[FW_RL_STAGE_DECODE + 1]; /* peers that name each stage */
        int unreachable;
        int running;
        int64_t reserved;
        int64_t reading;
    } by[FW_RL_SCOPES];
    int changed;
};

static struct sum *
sum_of(struct fw_relay *r, uint64_t hash)
{
    struct sum *s = g_hash_table_lookup(r->loads, &hash);

    if (!s) {
        s = g_new0(struct sum, 1);
        g_hash_table_insert(r->loads, Fw_Rows_Key(hash), s);
    }
    return s;
}

static void
count(struct fw_relay *r, const struct fw_rl_load_row *row,
      enum fw_rl_scope scope, int sign)
{
    struct sum *s = sum_of(r, row->hash);

    s->by[scope].to[row->load.to_stage] += sign;
    s->by[scope].unreachable += sign * row->load.unreachable;
    s->by[scope].running += sign * row->load.running;
    s->by[scope].reserved += sign * row->load.reserved;
    s->by[scope].reading += sign * row->load.reading;
    s->changed |= scope == FW_RL_SCOPE_LEAF;
}

void
Fw_Load_Drop(struct fw_relay *r, struct fw_rl_member *m)
{
    for (guint i = 0; m->rows && i < m->rows->len; i++) {
        count(r, &g_array_index(m->rows, struct fw_rl_load_row, i), m->scope,
              -1);
    }
    g_clear_pointer(&m->rows, g_array_unref);
}

static struct fw_rl_load_row
row_at(const msgpack_object_array *rows, uint32_t i)
{
    int64_t stage = Fw_Rows_Cell(rows, i, 4);

    return (struct fw_rl_load_row){
        .hash = (uint64_t)Fw_Rows_Cell(rows, i, 0),
        .load = {.running = (int)Fw_Rows_Cell(rows, i, 1),
                 .reserved = Fw_Rows_Cell(rows, i, 2),
                 .reading = Fw_Rows_Cell(rows, i, 3),
                 .to_stage = stage == FW_RL_STAGE_PREFILL ||
                                     stage == FW_RL_STAGE_DECODE
                                 ? (enum fw_rl_stage)stage
                                 : FW_RL_STAGE_NONE,
                 .unreachable = (int)Fw_Rows_Cell(rows, i, 5)}};
}

/* Requests and prompts of @m, at all servers. */
static void
total(const struct fw_rl_member *m, int64_t *running, int64_t *reading)
{
    *running = 0;
    *reading = 0;
    for (guint i = 0; m->rows && i < m->rows->len; i++) {
        const struct fw_rl_load_row *row =
            &g_array_index(m->rows, struct fw_rl_load_row, i);

        *running += row->load.running;
        *reading += row->load.reading;
    }
}

/* What a leaf has placed the other hubs should know at once, too. */
void
Fw_Load_Replace(struct fw_relay *r, struct fw_rl_member *m,
                const msgpack_object_array *rows, enum fw_rl_scope scope,
                int64_t now_us)
{
    int64_t running[2];
    int64_t reading[2];

    total(m, &running[0], &reading[0]);
    Fw_Load_Drop(r, m);
    m->scope = scope;
    Fw_Load_Merge(r, m, rows, now_us);
    total(m, &running[1], &reading[1]);
    r->x.wants_delta |= scope == FW_RL_SCOPE_LEAF &&
                        (running[1] > running[0] || reading[1] > reading[0]);
}

static struct fw_rl_load_row *
find(const struct fw_rl_member *m, uint64_t hash)
{
    for (guint i = 0; m->rows && i < m->rows->len; i++) {
        struct fw_rl_load_row *row =
            &g_array_index(m->rows, struct fw_rl_load_row, i);

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
    if (!m->rows) {
        m->rows = g_array_new(FALSE, FALSE, sizeof(struct fw_rl_load_row));
    }
    for (uint32_t i = 0; i < rows->size; i++) {
        struct fw_rl_load_row row = row_at(rows, i);
        struct fw_rl_load_row *old = find(m, row.hash);

        if (old) {
            count(r, old, m->scope, -1);
            *old = row;
        }
        else {
            g_array_append_val(m->rows, row);
        }
        count(r, &row, m->scope, 1);
    }
}

void
Fw_Load_Of(const struct fw_relay *r, uint64_t hash, enum fw_rl_scope scope,
           struct fw_rl_load *out)
{
    const struct sum *s = g_hash_table_lookup(r->loads, &hash);

    *out = (struct fw_rl_load){0};
    if (!s) {
        return;
    }
    out->unreachable = s->by[scope].unreachable;
    out->running = s->by[scope].running;
    out->reserved = s->by[scope].reserved;
    out->reading = s->by[scope].reading;
    for (int k = FW_RL_STAGE_PREFILL; k <= FW_RL_STAGE_DECODE; k++) {
        if (s->by[scope].to[k] > 0) {
            out->to_stage = (enum fw_rl_stage)k;
        }
    }
}

void
Fw_Load_OfMember(const struct fw_rl_member *m, uint64_t hash,
                 struct fw_rl_load *out)
{
    const struct fw_rl_load_row *row = find(m, hash);

    *out = row ? row->load : (struct fw_rl_load){0};
}

void
Fw_Load_Add(struct fw_rl_load *to, const struct fw_rl_load *more, int sign)
{
    if (sign > 0 && more->to_stage != FW_RL_STAGE_NONE) {
        to->to_stage = more->to_stage;
    }
    to->unreachable += sign * more->unreachable;
    to->running += sign * more->running;
    to->reserved += sign * more->reserved;
    to->reading += sign * more->reading;
}

int
Fw_Load_TakeChanged(struct fw_relay *r, uint64_t hash)
{
    struct sum *s = g_hash_table_lookup(r->loads, &hash);
    int changed = s && s->changed;

    if (s) {
        s->changed = 0;
    }
    return changed;
}
