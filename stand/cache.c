/* Prefix cache of an engine; its events are delayed and partly lost. */
#include <inttypes.h>
#include <xxhash.h>

#include "stand/engine.h"

#define MIN_PREFIX_BYTES 1024
#define EVENTS_MAX 4096

static void
publish_event(struct fw_stand_engine *e, uint64_t prefix, int64_t tokens,
              int evicted)
{
    const struct fw_stand_fault *f = Fw_StandFault_Find(&e->port, "cache-gap");
    int64_t permille = f ? f->permille : e->opts->cache_event_loss_permille;
    struct fw_stand_cache_event ev = {
        .seq = ++e->cache_event_seq,
        .prefix = prefix,
        .tokens = tokens,
        .evicted = evicted,
        .at_us = g_get_monotonic_time(),
    };

    if (g_rand_int_range(e->port.stand->rand, 0, 1000) < permille) {
        return;
    }
    g_array_append_val(e->cache_events, ev);
    if (e->cache_events->len > EVENTS_MAX) {
        g_array_remove_range(e->cache_events, 0, EVENTS_MAX / 2);
    }
}

static void
evict_oldest(struct fw_stand_engine *e)
{
    struct fw_stand_cache_entry *oldest = NULL;
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, e->cache);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct fw_stand_cache_entry *c = value;

        if (!oldest || c->last_used < oldest->last_used) {
            oldest = c;
        }
    }
    if (!oldest) {
        return;
    }
    e->cache_used_tokens -= oldest->tokens;
    publish_event(e, oldest->prefix, oldest->tokens, 1);
    g_hash_table_remove(e->cache, &oldest->prefix);
}

static void
insert(struct fw_stand_engine *e, uint64_t prefix, int64_t tokens)
{
    struct fw_stand_cache_entry *c = g_new0(struct fw_stand_cache_entry, 1);

    c->prefix = prefix;
    c->tokens = tokens;
    g_hash_table_insert(e->cache, &c->prefix, c);
    e->cache_used_tokens += tokens;
    publish_event(e, prefix, tokens, 0);
}

int64_t
Fw_StandCache_Access(struct fw_stand_engine *e, GBytes *prompt)
{
    gsize len;
    const char *p = g_bytes_get_data(prompt, &len);
    uint64_t last_used = e->cache_clock + 64;
    int64_t cached = 0;
    int missed = 0;
    gsize previous = 0;

    /* Longer prefixes get an earlier time of use and are evicted first. */
    e->cache_clock = last_used;
    for (gsize n = MIN_PREFIX_BYTES; n <= len; n *= 2) {
        uint64_t prefix = XXH3_64bits(p, n);
        struct fw_stand_cache_entry *c =
            g_hash_table_lookup(e->cache, &prefix);

        missed |= !c;
        if (!c) {
            insert(e, prefix, (int64_t)(n - previous) / 4);
            c = g_hash_table_lookup(e->cache, &prefix);
        }
        c->last_used = last_used--;
        previous = n;
        if (!missed) {
            cached = (int64_t)n / 4;
        }
    }
    while (e->cache_used_tokens > e->opts->cache_tokens) {
        evict_oldest(e);
    }
    return cached;
}

void
Fw_StandCache_SendEvents(struct fw_stand_engine *e, struct fw_stand_reply *r)
{
    const struct fw_stand_fault *f =
        Fw_StandFault_Find(&e->port, "cache-late");
    int64_t delay_us =
        (f ? f->duration_ms : e->opts->cache_event_delay_ms) * FW_MSEC;
    int64_t now = g_get_monotonic_time();
    uint64_t from = (uint64_t)Fw_StandReply_QueryInt(r, "from", 1);
    uint64_t next = MIN(from, e->cache_event_seq + 1);
    GString *s = g_string_new(NULL);

    for (guint i = 0; i < e->cache_events->len; i++) {
        const struct fw_stand_cache_event *ev =
            &g_array_index(e->cache_events, struct fw_stand_cache_event, i);

        if (ev->seq < from || ev->at_us + delay_us > now) {
            continue;
        }
        g_string_append_printf(s,
                               "%s{\"seq\":%" PRIu64
                               ",\"prefix\":\"%016" PRIx64
                               "\",\"tokens\":%" PRId64 ",\"evicted\":%s}",
                               s->len ? "," : "", ev->seq, ev->prefix,
                               ev->tokens, ev->evicted ? "true" : "false");
        next = ev->seq + 1;
    }
    Fw_StandReply_Json(r, 200, "{\"events\":[%s],\"next\":%" PRIu64 "}",
                       s->str, next);
    g_string_free(s, TRUE);
}
