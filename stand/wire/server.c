/* Model engines and plain servers: what they are and what they keep. */
#include <inttypes.h>
#include <string.h>

#include "http/conn.h"
#include "stand/wire/internal.h"

GHashTable *Fw_Wire_Engines;

void
Fw_Wire_Register(struct fw_wire_server *s)
{
    char *entry = g_strdup_printf(
        "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"%s\","
        "\"Version\":\"v1\",\"Slots\":%d,\"State\":\"%s\","
        "\"ColdRemainingMs\":0,%s%s%s\"Sequence\":%d,\"born\":1}",
        s->service, s->addr, s->zone, s->opts.slots,
        s->draining ? "draining" : "ready", s->stage[0] ? "\"Stage\":\"" : "",
        s->stage, s->stage[0] ? "\"," : "", ++s->beat);

    Fw_WireStore_Put(s->store, "keyed.servers", s->id, entry);
    g_free(entry);
}

char *
Fw_Wire_Field(const struct fw_http_head *h, const char *name)
{
    const struct fw_http_field *f = Fw_Http_Find(h, name);

    return f ? g_strndup(f->value, f->value_len) : g_strdup("");
}

int64_t
Fw_Wire_SumOf(GHashTable *t, int64_t now)
{
    GHashTableIter it;
    gpointer v;
    int64_t sum = 0;

    g_hash_table_iter_init(&it, t);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct held *k = v;

        if (now < k->until_us) {
            sum += k->tokens;
        }
        else {
            g_hash_table_iter_remove(&it);
        }
    }
    return sum;
}

int64_t
Fw_WireServer_Held(const struct fw_wire_server *s)
{
    return s->used + Fw_Wire_SumOf(s->holds, Fw_Conn_Now());
}

int
Fw_WireServer_Handles(const struct fw_wire_server *s)
{
    Fw_Wire_SumOf(s->handles, Fw_Conn_Now());
    return (int)g_hash_table_size(s->handles);
}

char *
Fw_Wire_Keep(struct fw_wire_server *s, GHashTable *in, int64_t tokens, int ms)
{
    char *name = g_strdup_printf("%s%u", s->id, ++s->next_name);
    struct held *k = g_new(struct held, 1);

    *k = (struct held){.tokens = tokens,
                       .until_us = Fw_Conn_Now() + ms * FW_MSEC};
    g_hash_table_insert(in, g_strdup(name), k);
    return name;
}
static void
on_request(void *ctx, struct fw_http_caller *c, const struct fw_http_head *h,
           GBytes *body)
{
    struct fw_wire_server *s = ctx;
    char *wanted = Fw_Wire_Field(h, "Expect-Instance");
    int other = wanted[0] && strcmp(wanted, s->id) != 0;

    g_free(wanted);
    if (other) {
        Fw_Caller_Answer(c, 421, "Instance-Id: other\r\n", "");
    }
    else if (!Fw_Wire_Call(s, c, h, body)) {
        Fw_Wire_Begin(s, c, h);
    }
}

static void
on_gone(void *ctx, struct fw_http_caller *c)
{
    struct fw_wire_server *s = ctx;

    for (GList *l = s->runs; l; l = l->next) {
        struct run *r = l->data;

        if (r->caller == c) {
            Fw_Wire_RunEnd(r);
            return;
        }
    }
}

static void
on_refused(void *ctx, int status, const char *why)
{
    struct fw_wire_server *s = ctx;

    g_warning("%s: %d %s", s->id, status, why);
}

static const struct fw_http_ops ops = {
    .request = on_request, .gone = on_gone, .refused = on_refused};

struct fw_wire_server *
Fw_WireServer_New(struct fw_wire_store *store, const char *addr,
                  const struct fw_wire_opts *opts)
{
    struct fw_wire_server *s = g_new0(struct fw_wire_server, 1);
    int err;

    if (!Fw_Wire_Engines) {
        Fw_Wire_Engines = g_hash_table_new(g_str_hash, g_str_equal);
    }
    s->store = store;
    s->opts = *opts;
    g_strlcpy(s->id, opts->id, sizeof(s->id));
    g_strlcpy(s->service, opts->service, sizeof(s->service));
    g_strlcpy(s->zone, opts->zone, sizeof(s->zone));
    g_strlcpy(s->stage, opts->stage, sizeof(s->stage));
    s->holds = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    s->handles =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    s->last_head = g_string_new(NULL);
    s->http = Fw_Server_New(addr, &ops, s, &err);
    g_assert(s->http);
    g_snprintf(s->addr, sizeof(s->addr), "127.0.0.1:%d",
               Fw_Server_Port(s->http));
    g_hash_table_insert(Fw_Wire_Engines, s->addr, s);
    Fw_Wire_Register(s);
    return s;
}

void
Fw_WireServer_Free(struct fw_wire_server *s)
{
    while (s->runs) {
        Fw_Wire_RunEnd(s->runs->data);
    }
    g_hash_table_remove(Fw_Wire_Engines, s->addr);
    Fw_Server_Free(s->http);
    g_hash_table_destroy(s->holds);
    g_hash_table_destroy(s->handles);
    g_string_free(s->last_head, TRUE);
    g_free(s);
}

void
Fw_WireServer_SetFault(struct fw_wire_server *s, enum fw_wire_fault fault,
                       int n)
{
    s->fault = fault;
    s->faults = n;
}

int
Fw_WireServer_Faulted(const struct fw_wire_server *s)
{
    return s->faulted;
}

void
Fw_WireServer_SetDraining(struct fw_wire_server *s)
{
    s->draining = 1;
    Fw_Wire_Register(s);
}

int
Fw_WireServer_Runs(const struct fw_wire_server *s)
{
    return s->begun;
}

int
Fw_WireServer_Active(const struct fw_wire_server *s)
{
    return (int)g_list_length(s->runs);
}

const char *
Fw_WireServer_Stage(const struct fw_wire_server *s)
{
    return s->stage;
}

const char *
Fw_WireServer_LastHead(const struct fw_wire_server *s)
{
    return s->last_head->str;
}
