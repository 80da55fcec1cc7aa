/* What the requests of each kind to each service take. */
#include "base/hash.h"
#include "relay/relay_internal.h"

void
Fw_KindTimes_Init(struct fw_relay *r)
{
    r->kind_times =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
}

void
Fw_KindTimes_Clear(struct fw_relay *r)
{
    g_hash_table_destroy(r->kind_times);
}

static uint64_t
key_of(const struct fw_rl_call *c)
{
    int kind = (int)c->route->kind;

    return Fw_Hash_Bytes(&kind, sizeof(kind), Fw_Hash_Str(c->service));
}

const struct fw_rl_kind_times *
Fw_KindTimes_Find(const struct fw_relay *r, const struct fw_rl_call *c)
{
    uint64_t key = key_of(c);

    return g_hash_table_lookup(r->kind_times, &key);
}

void
Fw_KindTimes_NoteEnd(struct fw_relay *r, const struct fw_rl_call *c,
                     int64_t now_us)
{
    uint64_t key = key_of(c);
    struct fw_rl_kind_times *t = g_hash_table_lookup(r->kind_times, &key);

    if (!c->service[0]) {
        return;
    }
    if (!t) {
        t = g_new0(struct fw_rl_kind_times, 1);
        g_hash_table_insert(r->kind_times, Fw_Rows_NewKey(key), t);
    }
    Fw_FinishTimes_Note(&t->whole, now_us - c->opened_us);
    if (!c->sent_us) {
        return;
    }
    Fw_FinishTimes_Note(&t->run, now_us - c->sent_us);
    if (c->is_forwarded && c->is_response_good) {
        Fw_FinishTimes_Note(&t->begin, c->response_us - c->sent_us);
    }
}
