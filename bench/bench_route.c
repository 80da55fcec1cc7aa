/*
 * Measures routing decisions in the core, for today's deployments and for the
 * target size: time, compared to a hash table lookup, heap, and the encoded
 * size of messages.
 */
#include <glib.h>
#include <malloc.h>
#include <msgpack.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "base/hash.h"
#include "core/msg.h"
#include "fleet/fleet.h"
#include "route/route.h"
#include "route/router.h"

#define DECISIONS 20000
#define LOOKUPS 2000000
#define PROMPT_BYTES 8192

struct fleet_size {
    const char *name;
    int instances;
    int upstreams;
    int teams;
    int models;
};

static const struct fleet_size sizes[] = {
    {"today (Mares do Tejo)", 9, 9, 5, 1},
    {"today (Fraserlight)", 9, 14, 5, 1},
    {"target", 320, 1200, 12000, 11},
};

static int64_t
now_ns(void)
{
    struct timespec t;

    clock_gettime(CLOCK_MONOTONIC, &t);
    return t.tv_sec * 1000000000LL + t.tv_nsec;
}

static size_t
heap_bytes(void)
{
    return mallinfo2().uordblks;
}

static void
add_pool(struct fw_config *cfg, int i)
{
    struct fw_pool *p = g_new0(struct fw_pool, 1);

    g_snprintf(p->name, sizeof(p->name), "pool-%d", i);
    p->kv_bytes_per_token = 20000;
    p->n_serves = 1;
    g_snprintf(p->serves[0].model, FW_NAME_MAX, "model-%d", i);
    g_strlcpy(p->serves[0].version, "1", FW_NAME_MAX);
    g_hash_table_insert(cfg->pools, p->name, p);
}

static struct fw_config *
build_config(const struct fleet_size *z)
{
    struct fw_config *cfg = Fw_Config_New();

    for (int i = 0; i < z->models; i++) {
        add_pool(cfg, i);
    }
    for (int i = 0; i < z->upstreams; i++) {
        struct fw_upstream *u = g_new0(struct fw_upstream, 1);

        g_snprintf(u->name, sizeof(u->name), "engine-%d", i);
        g_snprintf(u->pool, sizeof(u->pool), "pool-%d", i % z->models);
        g_snprintf(u->domain, sizeof(u->domain), "domain-%d", i % 4);
        u->role = i / z->models % 3 == 0 ? FW_ROLE_PREFILL : FW_ROLE_DECODE;
        u->slots = 20;
        u->prefill_rate = 40000;
        g_hash_table_insert(cfg->upstreams, u->name, u);
    }
    return cfg;
}

/* Answers the load polls in @out with reports of idle engines. */
static void
answer_polls(struct fw_router *r, const struct fw_config *cfg, int64_t now_us,
             struct fw_actions *out)
{
    struct fw_actions more;
    struct fw_action *a;

    Fw_Actions_Init(&more);
    while ((a = Fw_Actions_Pop(out))) {
        if (a->kind == FW_ACT_UP_START && a->u.up.kind == FW_UP_LOAD_REPORT) {
            const struct fw_upstream *u =
                Fw_Config_FindUpstream(cfg, a->u.up.upstream);
            struct fw_up_event ev = {.op = a->u.up.op,
                                     .kind = FW_UP_LOAD_REPORT,
                                     .phase = FW_UP_DONE};

            ev.u.report.slots = 20;
            ev.u.report.n_models = 1;
            g_strlcpy(ev.u.report.role,
                      u->role == FW_ROLE_PREFILL ? "prefill" : "decode",
                      sizeof(ev.u.report.role));
            g_snprintf(ev.u.report.models[0], FW_MODELREF_MAX, "model-%s@1",
                       strchr(u->pool, '-') + 1);
            Fw_Router_OnUp(r, cfg, &ev, now_us, &more);
        }
        Fw_Action_Free(a);
    }
    Fw_Actions_Clear(&more);
    Fw_Actions_Init(out);
}

static void
submit_request(struct fw_router *r, const struct fw_config *cfg,
               const struct fleet_size *z, GBytes *prompt, uint64_t n,
               int64_t now_us, struct fw_actions *out)
{
    struct fw_route_request request = {.ticket = n,
                                       .prompt = prompt,
                                       .prompt_tokens = PROMPT_BYTES / 4,
                                       .max_tokens = 100,
                                       .arrived_us = now_us};

    g_snprintf(request.team, sizeof(request.team), "team-%d",
               (int)(n * 7919 % (uint64_t)z->teams));
    g_snprintf(request.model, sizeof(request.model), "model-%d",
               (int)(n % (uint64_t)z->models));
    Fw_Route_Submit(r, cfg, &request, now_us, out);
}

/* Returns ns per request that is submitted, granted locally and completed. */
static double
measure_decisions_ns(struct fw_router *r, const struct fw_config *cfg,
                     const struct fleet_size *z)
{
    char *text = g_strnfill(PROMPT_BYTES, 'x');
    GBytes *prompt = g_bytes_new_take(text, PROMPT_BYTES);
    struct fw_route_answer ans;
    struct fw_actions out;
    int64_t now_us = FW_SEC;
    int64_t spent = 0;
    int granted = 0;

    Fw_Actions_Init(&out);
    for (int i = 0; i < 200; i++) {
        now_us += 60 * FW_MSEC;
        Fw_Router_Tick(r, cfg, now_us, &out);
        answer_polls(r, cfg, now_us, &out);
    }
    for (uint64_t n = 1; n <= DECISIONS; n++) {
        int64_t start = now_ns();

        submit_request(r, cfg, z, prompt, n, now_us, &out);
        while (Fw_Route_TakeAnswer(r, &ans)) {
            granted += ans.status == 0;
        }
        Fw_Route_ReportStep(r, n, FW_STEP_PREFILLED, NULL, now_us, &out);
        Fw_Route_ReportStep(r, n, FW_STEP_DONE, NULL, now_us, &out);
        spent += now_ns() - start;
        Fw_Actions_Clear(&out);
        Fw_Actions_Init(&out);
        /* 17 requests per second, the rate per instance at the target size. */
        now_us += 59 * FW_MSEC;
        if (n % 2 == 0) {
            Fw_Router_Tick(r, cfg, now_us, &out);
            answer_polls(r, cfg, now_us, &out);
        }
    }
    Fw_Actions_Clear(&out);
    g_bytes_unref(prompt);
    if (granted < DECISIONS * 9 / 10) {
        printf("  only %d of %d granted: the time is that of refusals\n",
               granted, DECISIONS);
    }
    return (double)spent / DECISIONS;
}

/* Returns ns per tick of an idle router. */
static double
measure_ticks_ns(struct fw_router *r, const struct fw_config *cfg)
{
    struct fw_actions out;
    int64_t now_us = 100000 * FW_SEC;
    int64_t start;

    Fw_Actions_Init(&out);
    start = now_ns();
    for (int i = 0; i < 2000; i++) {
        now_us += 60 * FW_MSEC;
        Fw_Router_Tick(r, cfg, now_us, &out);
    }
    start = now_ns() - start;
    Fw_Actions_Clear(&out);
    return (double)start / 2000;
}

static double
measure_lookups_ns(const struct fw_config *cfg, const struct fleet_size *z)
{
    char(*names)[FW_NAME_MAX] = g_malloc_n(1024, FW_NAME_MAX);
    volatile gconstpointer sink;
    int64_t start;

    for (int i = 0; i < 1024; i++) {
        g_snprintf(names[i], FW_NAME_MAX, "engine-%d", i % z->upstreams);
    }
    start = now_ns();
    for (int i = 0; i < LOOKUPS; i++) {
        sink = g_hash_table_lookup(cfg->upstreams, names[i & 1023]);
    }
    (void)sink;
    start = now_ns() - start;
    g_free(names);
    return (double)start / LOOKUPS;
}

static size_t
packed_size(const struct fw_msg *msg)
{
    msgpack_sbuffer buf;
    msgpack_packer pk;
    size_t n;

    msgpack_sbuffer_init(&buf);
    msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
    Fw_Msg_Pack(&pk, msg);
    n = buf.size;
    msgpack_sbuffer_destroy(&buf);
    return n;
}

/* Sizes for a request whose engines are coordinated by two instances. */
static void
print_wire(void)
{
    struct fw_msg m = {.area = FW_AREA_ROUTE};
    struct fw_reserve_item *it = &m.u.route.u.reserve.item[0];
    size_t reserve_prefill;
    size_t reserve_decode;
    size_t reply;
    size_t release;

    m.u.route.kind = FW_ROUTE_RESERVE;
    m.u.route.u.reserve.round_id = G_MAXUINT32 / 3;
    m.u.route.u.reserve.n = 1;
    *it = (struct fw_reserve_item){.engine = G_MAXUINT64 / 3,
                                   .is_prefill = 1,
                                   .serving = G_MAXUINT32 / 5,
                                   .tokens = 3000,
                                   .prefixes = {.n = 4}};
    for (int i = 0; i < 4; i++) {
        it->prefixes.hash[i] = G_MAXUINT32 / 7;
    }
    reserve_prefill = packed_size(&m);
    it->is_prefill = 0;
    it->prefixes.n = 0;
    it->need_us = 200000;
    it->from_domain = G_MAXUINT32 / 9;
    it->transfer_us = 60000;
    reserve_decode = packed_size(&m);
    memset(&m.u.route.u, 0, sizeof(m.u.route.u));
    m.u.route.kind = FW_ROUTE_REPLY;
    m.u.route.u.reply.round_id = G_MAXUINT32 / 3;
    m.u.route.u.reply.n = 1;
    m.u.route.u.reply.result[0].engine = G_MAXUINT64 / 3;
    m.u.route.u.reply.result[0].wait_us = 90000;
    m.u.route.u.reply.result[0].cached_tokens = 2048;
    m.u.route.u.reply.n_loads = FW_ROUTE_LOADS_MAX;
    for (int i = 0; i < FW_ROUTE_LOADS_MAX; i++) {
        m.u.route.u.reply.load[i] = (struct fw_route_load){
            .engine = G_MAXUINT64 / 3, .wait_us = 90000, .free_slots = 9};
    }
    reply = packed_size(&m);
    memset(&m.u.route.u, 0, sizeof(m.u.route.u));
    m.u.route.kind = FW_ROUTE_RELEASE;
    m.u.route.u.release.round_id = G_MAXUINT32 / 3;
    m.u.route.u.release.engine = G_MAXUINT64 / 3;
    m.u.route.u.release.cached_tokens = 2048;
    release = packed_size(&m);
    printf("wire: reserve %zu (prefill) and %zu (decode), reply %zu, release "
           "%zu bytes; a request with both engines remote: %zu in 6 "
           "messages\n",
           reserve_prefill, reserve_decode, reply, release,
           reserve_prefill + reserve_decode + 2 * reply + 2 * release);
}

static void
run(const struct fleet_size *z)
{
    struct fw_self self = {.name = "instance-0", .boot = 1};
    struct fw_route_opts opts = {.policy = FW_POLICY_FULL,
                                 .ttft_us = 850 * FW_MSEC,
                                 .itl_us = 43 * FW_MSEC,
                                 .queue_max_us = 5 * FW_SEC,
                                 .retry_permille = 100,
                                 .seed = 1};
    struct fw_metrics metrics;
    struct fw_config *cfg = build_config(z);
    struct fw_fleet *fleet;
    struct fw_router *r;
    size_t before;
    double lookup;
    double decision;

    g_strlcpy(self.addr, "127.0.0.1:1", sizeof(self.addr));
    Fw_Metrics_Init(&metrics);
    fleet = Fw_Fleet_New(&self, 1, &metrics);
    before = heap_bytes();
    r = Fw_Router_New(&self, fleet, &opts, &metrics);
    lookup = measure_lookups_ns(cfg, z);
    decision = measure_decisions_ns(r, cfg, z);
    printf("%-22s %4d upstreams %5d teams: decision %7.0f ns, lookup %4.0f "
           "ns (%.0f times), tick %6.0f ns, state %zu KB\n",
           z->name, z->upstreams, z->teams, decision, lookup,
           decision / lookup, measure_ticks_ns(r, cfg),
           (heap_bytes() - before) / 1024);
    Fw_Router_Free(r);
    Fw_Fleet_Free(fleet);
    Fw_Config_Free(cfg);
}

int
main(void)
{
    printf("One instance coordinates all engines, so a decision includes the "
           "work of the coordinators.\n");
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        run(&sizes[i]);
    }
    print_wire();
    printf("state: %zu bytes per engine, %zu more if coordinated, %zu per "
           "request, %zu for all prefixes\n",
           sizeof(struct fw_engine), sizeof(struct fw_coord),
           sizeof(struct fw_job), sizeof(struct fw_prefix_table));
    return 0;
}
