/*
 * Reads from the journals of the stand-ins which requests took effect. The
 * prefill of a request that no decode engine decoded is wasted, also if the
 * client cancelled it. Tokens are estimated from Content-Length, at 4 bytes
 * per token.
 */
#include <stdlib.h>
#include <string.h>

#include "bench/load/load.h"
#include "io/json.h"

/**
 * struct journal_effects - what took effect according to the journals.
 * @decoded: set of engine request ids
 * @orders: idempotency key to number of times the order took effect
 * @prefills: engine request id to prefill tokens
 * @complete: all journals were read and all their lines are valid
 */
struct journal_effects {
    GHashTable *decoded;
    GHashTable *orders;
    GHashTable *prefills;
    int complete;
};

static void
add_line(struct journal_effects *effects, const char *line, size_t len)
{
    JsonNode *root = Fw_Json_Parse(line, len);
    JsonObject *o;
    JsonObject *headers;
    const char *effect;
    const char *id;
    const char *length = "0";

    if (!root) {
        effects->complete = 0;
        return;
    }
    o = json_node_get_object(root);
    if (Fw_Json_Str(o, "effect", &effect) || Fw_Json_Str(o, "id", &id)) {
        effects->complete = 0;
        json_node_unref(root);
        return;
    }
    if (Fw_Json_Object(o, "headers", &headers) == 0) {
        (void)Fw_Json_Str(headers, "Content-Length", &length);
    }
    if (strcmp(effect, "decode") == 0) {
        g_hash_table_add(effects->decoded, g_strdup(id));
    }
    else if (strcmp(effect, "prefill") == 0) {
        g_hash_table_insert(
            effects->prefills, g_strdup(id),
            GINT_TO_POINTER((int)(strtol(length, NULL, 10) / 4)));
    }
    else if (strcmp(effect, "order") == 0) {
        int n = GPOINTER_TO_INT(g_hash_table_lookup(effects->orders, id));

        g_hash_table_insert(effects->orders, g_strdup(id),
                            GINT_TO_POINTER(n + 1));
    }
    json_node_unref(root);
}

static void
read_journal(struct journal_effects *effects, SoupSession *session,
             const char *base)
{
    char *url = g_strconcat(base, "/journal", NULL);
    GBytes *body = NULL;
    const char *p;
    gsize len = 0;

    if (Fw_LoadgenHttp_Call(session, "GET", url, NULL, NULL, &body) != 200 ||
        !body) {
        effects->complete = 0;
        g_free(url);
        return;
    }
    g_free(url);
    p = g_bytes_get_data(body, &len);
    while (len > 0) {
        const char *nl = memchr(p, '\n', len);
        gsize n = nl ? (gsize)(nl - p) : len;

        if (n > 0) {
            add_line(effects, p, n);
        }
        p += n + (nl != NULL);
        len -= n + (nl != NULL);
    }
    g_bytes_unref(body);
}

static void
count_prefills(const struct journal_effects *effects,
               struct fw_loadgen_stats *stats)
{
    GHashTableIter it;
    gpointer id;
    gpointer tokens;

    g_hash_table_iter_init(&it, effects->prefills);
    while (g_hash_table_iter_next(&it, &id, &tokens)) {
        stats->prefill_tokens += GPOINTER_TO_INT(tokens);
        if (!g_hash_table_contains(effects->decoded, id)) {
            stats->wasted_prefill_tokens += GPOINTER_TO_INT(tokens);
        }
    }
}

static void
count_orders(const struct journal_effects *effects, const GArray *schedule,
             struct fw_loadgen_stats *stats)
{
    for (guint i = 0; i < schedule->len; i++) {
        const struct fw_loadgen_request *s =
            &g_array_index(schedule, struct fw_loadgen_request, i);
        int n = GPOINTER_TO_INT(g_hash_table_lookup(effects->orders, s->id));

        if (s->kind != FW_LOADGEN_ORDER) {
            continue;
        }
        stats->orders_sent++;
        stats->orders_duplicated += n > 1;
        stats->orders_lost += s->complete && n == 0;
        stats->orders_false_not_executed += s->not_executed && n > 0;
    }
}

void
Fw_LoadgenStats_AddJournals(const struct fw_loadgen_fleet *f,
                            SoupSession *session, const GArray *schedule,
                            struct fw_loadgen_stats *s)
{
    struct journal_effects effects = {
        .decoded =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        .orders = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        .prefills =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        .complete = 1,
    };
    GHashTableIter it;
    gpointer name;
    gpointer url;

    g_hash_table_iter_init(&it, f->stand_urls);
    while (g_hash_table_iter_next(&it, &name, &url)) {
        if (g_str_has_prefix(name, "prefill-") ||
            g_str_has_prefix(name, "decode-") ||
            g_str_has_prefix(name, "grid-desk-")) {
            read_journal(&effects, session, url);
        }
    }
    count_prefills(&effects, s);
    count_orders(&effects, schedule, s);
    s->journals_complete = effects.complete;
    g_hash_table_unref(effects.decoded);
    g_hash_table_unref(effects.orders);
    g_hash_table_unref(effects.prefills);
}
