/* Creates the servers of the stand-in and finds them by name. */
#include "stand/stand.h"

#include <inttypes.h>
#include <string.h>

void
Fw_Stand_SetDefaults(struct fw_stand_opts *opts)
{
    *opts = (struct fw_stand_opts){
        .prefill_engines = 2,
        .decode_engines = 2,
        .service_servers = 2,
        .domains = 2,
        .decode_slots = 20,
        .unfenced_every = 3,
        .seed = 1,
        .model = "tides@1",
        .answer_tokens = 4096,
        .step_ms = 20,
        .step_request_us = 500,
        .prefill_tokens_per_s = 40000,
        .kv_capacity_tokens = 2000000,
        .cache_tokens = 400000,
        .kv_bytes_per_token = 20000,
        .link_bytes_per_s = 10000000000,
        .kv_ttl_ms = 800,
        .resume_grace_ms = 2000,
        .load_lag_ms = 200,
        .cache_event_delay_ms = 300,
        .cache_event_loss_permille = 20,
        .log_appends_per_s = 400,
        .log_retain_records = 200000,
        .list_lag_ms = 500,
        .weights_bytes = 200000000,
        .weights_bytes_per_s = 1000000000,
    };
}

static int
add_port(struct fw_stand *s, struct fw_stand_port *port)
{
    if (!port) {
        return 0;
    }
    Fw_List_Append(&s->ports, &port->link);
    return 1;
}

static int
add_upstreams(struct fw_stand *s, const char *kind, int64_t n)
{
    char name[FW_NAME_MAX];
    char domain[FW_NAME_MAX];
    struct fw_stand_port *port;

    for (int64_t i = 0; i < n; i++) {
        int fenced =
            !s->opts.unfenced_every || (i + 1) % s->opts.unfenced_every != 0;

        g_snprintf(name, sizeof(name), "%s-%" PRId64, kind, i);
        g_snprintf(domain, sizeof(domain), "domain-%c",
                   (char)('a' + i % s->opts.domains));
        port = strcmp(kind, "grid-desk") == 0
                   ? Fw_StandService_New(s, name, domain)
                   : Fw_StandEngine_New(s, name, domain, kind, fenced);
        if (!add_port(s, port)) {
            return 0;
        }
    }
    return 1;
}

static void
list_upstreams(struct fw_stand *s)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &s->ports) {
        const struct fw_stand_port *p =
            FW_LIST_ENTRY(pos, struct fw_stand_port, link);

        if (!strcmp(p->kind, "engine") || !strcmp(p->kind, "service")) {
            Fw_StandList_Add(s->list, p);
        }
    }
}

struct fw_stand *
Fw_Stand_New(const struct fw_stand_opts *opts)
{
    struct fw_stand *s = g_new0(struct fw_stand, 1);

    s->opts = *opts;
    s->rand = g_rand_new_with_seed((guint32)opts->seed);
    Fw_List_Init(&s->ports);
    s->list = Fw_StandList_New(s);
    s->weights = Fw_StandWeights_New(s);
    if (!add_port(s, s->list) || !add_port(s, s->weights) ||
        !add_port(s, Fw_StandLog_New(s)) ||
        !add_upstreams(s, "prefill", opts->prefill_engines) ||
        !add_upstreams(s, "decode", opts->decode_engines) ||
        !add_upstreams(s, "grid-desk", opts->service_servers)) {
        Fw_Stand_Free(s);
        return NULL;
    }
    list_upstreams(s);
    return s;
}

void
Fw_Stand_Free(struct fw_stand *s)
{
    while (!Fw_List_Empty(&s->ports)) {
        struct fw_stand_port *p =
            FW_LIST_ENTRY(s->ports.prev, struct fw_stand_port, link);

        Fw_List_Remove(&p->link);
        Fw_StandPort_Free(p);
    }
    g_rand_free(s->rand);
    g_free(s);
}

struct fw_stand_port *
Fw_Stand_FindPort(const struct fw_stand *s, const char *name_or_url)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &s->ports) {
        struct fw_stand_port *p =
            FW_LIST_ENTRY(pos, struct fw_stand_port, link);

        if (!strcmp(p->name, name_or_url) || !strcmp(p->url, name_or_url)) {
            return p;
        }
    }
    return NULL;
}

char *
Fw_Stand_Describe(const struct fw_stand *s)
{
    GString *out = g_string_new("{");
    struct fw_list *pos;

    FW_LIST_EACH (pos, &s->ports) {
        const struct fw_stand_port *p =
            FW_LIST_ENTRY(pos, struct fw_stand_port, link);

        g_string_append_printf(out, "%s\"%s\":\"%s\"",
                               out->len > 1 ? ",\n " : "", p->name, p->url);
    }
    g_string_append(out, "}\n");
    return g_string_free(out, FALSE);
}
