#include "explore/p_route_env.h"

#include <inttypes.h>
#include <string.h>

#include "base/hash.h"
#include "core/msg.h"

#define FW_STEP_US (1 * FW_MSEC)
#define FW_WARM_US (4 * FW_SEC)

/** struct mail - a message or an upstream's answer under way. */
struct mail {
    struct fw_list link;
    int64_t due_us;
    int to;
    int is_up;
    char from[FW_NAME_MAX];
    struct fw_msg msg;
    struct fw_up_event up;
};

static void
add_upstream(struct route_env *s, const char *name, enum fw_upstream_role role,
             const char *domain)
{
    struct fw_upstream *u = g_new0(struct fw_upstream, 1);

    g_strlcpy(u->name, name, sizeof(u->name));
    g_strlcpy(u->pool, role == FW_ROLE_SERVICE ? "desk" : "pool",
              sizeof(u->pool));
    g_strlcpy(u->domain, domain, sizeof(u->domain));
    u->role = role;
    u->slots = 2;
    u->prefill_rate = 10000;
    g_hash_table_insert(s->cfg->upstreams, u->name, u);
    if (role != FW_ROLE_SERVICE) {
        s->engine[s->n_engines++] =
            (struct route_env_engine){.name = u->name,
                                      .is_prefill = role == FW_ROLE_PREFILL,
                                      .model = "m@1"};
    }
}

static void
configure(struct route_env *s)
{
    struct fw_pool *p = g_new0(struct fw_pool, 1);

    s->cfg = Fw_Config_New();
    g_strlcpy(p->name, "pool", sizeof(p->name));
    p->kv_bytes_per_token = 1000;
    p->n_serves = 1;
    g_strlcpy(p->serves[0].model, "m", sizeof(p->serves[0].model));
    g_strlcpy(p->serves[0].version, "1", sizeof(p->serves[0].version));
    g_hash_table_insert(s->cfg->pools, p->name, p);
    add_upstream(s, "p0", FW_ROLE_PREFILL, "a");
    add_upstream(s, "p1", FW_ROLE_PREFILL, "b");
    add_upstream(s, "d0", FW_ROLE_DECODE, "a");
    add_upstream(s, "d1", FW_ROLE_DECODE, "b");
    add_upstream(s, "s0", FW_ROLE_SERVICE, "a");
    add_upstream(s, "s1", FW_ROLE_SERVICE, "b");
    add_upstream(s, "s2", FW_ROLE_SERVICE, "c");
}

struct route_env_engine *
route_env_engine(struct route_env *s, const char *name)
{
    for (int i = 0; i < s->n_engines; i++) {
        if (strcmp(s->engine[i].name, name) == 0) {
            return &s->engine[i];
        }
    }
    g_error("no engine %s", name);
    return NULL;
}

static struct mail *
post(struct route_env *s, int to)
{
    struct mail *m = g_new0(struct mail, 1);

    m->to = to;
    m->due_us = s->now_us + FW_STEP_US;
    Fw_List_Append(&s->mail, &m->link);
    return m;
}

/* Through the codec, so that a scripted run tests it as well. */
static void
send_msg(struct route_env *s, int from, struct fw_peer_send *send)
{
    int to = send->to[1] - '0';
    msgpack_sbuffer buf;
    msgpack_unpacked un;
    msgpack_packer pk;
    struct mail *m;

    if (s->rand && g_rand_int_range(s->rand, 0, 1000) < s->lose_permille) {
        return;
    }
    if (s->dead[to] || (s->lose_replies && send->msg.area == FW_AREA_ROUTE &&
                        send->msg.u.route.kind == FW_ROUTE_REPLY)) {
        return;
    }
    m = post(s, to);
    g_strlcpy(m->from, s->self[from].name, sizeof(m->from));
    msgpack_sbuffer_init(&buf);
    msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
    Fw_Msg_Pack(&pk, &send->msg);
    msgpack_unpacked_init(&un);
    g_assert_cmpint(msgpack_unpack_next(&un, buf.data, buf.size, NULL), ==,
                    MSGPACK_UNPACK_SUCCESS);
    g_assert_cmpint(Fw_Msg_Unpack(&un.data, &m->msg), ==, 0);
    msgpack_unpacked_destroy(&un);
    msgpack_sbuffer_destroy(&buf);
}

static void
answer_up(struct route_env *s, int node, const struct fw_up_start *up)
{
    struct route_env_engine *e = route_env_engine(s, up->upstream);
    struct mail *m = post(s, node);
    struct fw_up_report *rep = &m->up.u.report;

    m->is_up = 1;
    m->up.op = up->op;
    m->up.kind = up->kind;
    m->up.phase = e->dead ? FW_UP_FAILED : FW_UP_DONE;
    if (e->dead) {
        return;
    }
    if (up->kind == FW_UP_CACHE) {
        m->up.u.cache.next_seq = up->u.cache.from_seq;
        if (e->cache.n) {
            m->up.u.cache = e->cache;
            e->cache.n = 0;
        }
        return;
    }
    rep->lag_us = e->lag_us;
    rep->slots = 2;
    rep->busy = e->busy;
    rep->queued_tokens = e->queued;
    rep->leaving = e->leaving;
    rep->n_models = 1;
    g_strlcpy(rep->role, e->is_prefill ? "prefill" : "decode",
              sizeof(rep->role));
    g_strlcpy(rep->models[0], e->model, sizeof(rep->models[0]));
}

static void
write_answers(struct route_env *s, int node)
{
    struct fw_route_answer a;

    while (Fw_Route_TakeAnswer(s->router[node], &a)) {
        if (s->on_answer) {
            s->on_answer(s, node, &a);
            continue;
        }
        if (a.status) {
            g_string_append_printf(s->seen, "%" PRIu64 " %d %s after %d ms\n",
                                   a.ticket, a.status, a.code,
                                   (int)(a.retry_after_us / FW_MSEC));
        }
        else {
            g_string_append_printf(s->seen, "%" PRIu64 " %s > %s\n", a.ticket,
                                   a.prefill, a.decode);
        }
    }
}

static void
carry_out(struct route_env *s, int node, struct fw_actions *out)
{
    struct fw_action *a;

    s->wake_us[node] = MIN(s->wake_us[node], out->wake_us);
    while ((a = Fw_Actions_Take(out))) {
        if (a->kind == FW_ACT_PEER_SEND) {
            send_msg(s, node, &a->u.send);
        }
        else if (a->kind == FW_ACT_UP_START) {
            answer_up(s, node, &a->u.up);
        }
        Fw_Action_Free(a);
    }
    Fw_Actions_Init(out);
    write_answers(s, node);
}

static void
deliver(struct route_env *s, struct mail *m)
{
    struct fw_actions out;
    int i = m->to;

    Fw_Actions_Init(&out);
    if (!s->dead[i] && m->is_up) {
        Fw_Router_OnUp(s->router[i], s->cfg, &m->up, s->now_us, &out);
    }
    else if (!s->dead[i] && m->msg.area == FW_AREA_FLEET) {
        Fw_Fleet_OnMsg(s->fleet[i], m->from, &m->msg.u.fleet, s->now_us, &out);
    }
    else if (!s->dead[i] && m->msg.area == FW_AREA_ROUTE) {
        Fw_Router_OnMsg(s->router[i], s->cfg, m->from, &m->msg.u.route,
                        s->now_us, &out);
    }
    carry_out(s, i, &out);
    if (!m->is_up) {
        Fw_Msg_Clear(&m->msg);
    }
    g_free(m);
}

static void
run_due(struct route_env *s)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &s->mail) {
        struct mail *m = FW_LIST_ENTRY(pos, struct mail, link);

        if (m->due_us <= s->now_us) {
            Fw_List_Remove(&m->link);
            deliver(s, m);
        }
    }
    for (int i = 0; i < s->n; i++) {
        struct fw_actions out;

        if (s->dead[i] || s->wake_us[i] > s->now_us) {
            continue;
        }
        s->wake_us[i] = INT64_MAX;
        Fw_Actions_Init(&out);
        Fw_Fleet_Tick(s->fleet[i], s->now_us, &out);
        Fw_Router_Tick(s->router[i], s->cfg, s->now_us, &out);
        carry_out(s, i, &out);
    }
}

void
stage_run(struct route_env *s, int64_t us)
{
    int64_t end_us = s->now_us + us;

    while (s->now_us < end_us) {
        s->now_us += FW_STEP_US;
        run_due(s);
    }
}

static void
introduce(struct route_env *s)
{
    struct fw_list_entry e[FW_ROUTE_ENV_INSTANCES_MAX] = {0};
    struct fw_listed listed = {.n = s->n, .entries = e};

    for (int i = 0; i < s->n; i++) {
        e[i].kind = FW_LIST_INSTANCE;
        g_strlcpy(e[i].name, s->self[i].name, sizeof(e[i].name));
        g_strlcpy(e[i].addr, s->self[i].addr, sizeof(e[i].addr));
        g_strlcpy(e[i].domain, s->self[i].domain, sizeof(e[i].domain));
        g_strlcpy(e[i].region, s->self[i].region, sizeof(e[i].region));
    }
    for (int i = 0; i < s->n; i++) {
        struct fw_actions out;

        Fw_Actions_Init(&out);
        Fw_Fleet_OnListed(s->fleet[i], &listed, s->now_us, &out);
        carry_out(s, i, &out);
    }
}

static void
start_node(struct route_env *s, int i)
{
    struct fw_route_opts opts = {.policy = s->policy,
                                 .ttft_us = 1500 * FW_MSEC,
                                 .itl_us = 43 * FW_MSEC,
                                 .queue_max_us = 5 * FW_SEC,
                                 .retry_permille = 100,
                                 .seed = 7};

    s->self[i].boot++;
    g_snprintf(s->self[i].name, FW_NAME_MAX, "n%d", i);
    g_snprintf(s->self[i].addr, FW_URL_MAX, "127.0.0.1:%d", i + 1);
    g_strlcpy(s->self[i].domain, "a", FW_NAME_MAX);
    g_strlcpy(s->self[i].region, "r", FW_NAME_MAX);
    Fw_Metrics_Init(&s->metrics[i]);
    s->fleet[i] = Fw_Fleet_New(&s->self[i], 5, &s->metrics[i]);
    s->router[i] =
        Fw_Router_New(&s->self[i], s->fleet[i], &opts, &s->metrics[i]);
    s->wake_us[i] = s->now_us;
}

void
stage_restart(struct route_env *s, int node)
{
    Fw_Router_Free(s->router[node]);
    Fw_Fleet_Free(s->fleet[node]);
    start_node(s, node);
    introduce(s);
}

struct route_env *
stage_new(int nodes, enum fw_policy policy)
{
    struct route_env *s = g_new0(struct route_env, 1);

    s->n = nodes;
    s->policy = policy;
    s->now_us = FW_SEC;
    s->seen = g_string_new(NULL);
    Fw_List_Init(&s->mail);
    configure(s);
    for (int i = 0; i < nodes; i++) {
        start_node(s, i);
    }
    introduce(s);
    stage_run(s, FW_WARM_US);
    return s;
}

void
stage_free(struct route_env *s)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &s->mail) {
        struct mail *m = FW_LIST_ENTRY(pos, struct mail, link);

        if (!m->is_up) {
            Fw_Msg_Clear(&m->msg);
        }
        g_free(m);
    }
    for (int i = 0; i < s->n; i++) {
        Fw_Router_Free(s->router[i]);
        Fw_Fleet_Free(s->fleet[i]);
    }
    Fw_Config_Free(s->cfg);
    g_string_free(s->seen, TRUE);
    g_free(s);
}

void
stage_ask(struct route_env *s, int node, uint64_t ticket, const char *team,
          int64_t tokens, const char *avoid)
{
    const char *list[] = {avoid, NULL};
    struct fw_route_request ask = {.ticket = ticket,
                                   .prompt_tokens = tokens,
                                   .max_tokens = 10,
                                   .arrived_us = s->now_us,
                                   .avoid = list};
    char *text = g_strnfill((gsize)tokens * 4, 'x');
    struct fw_actions out;

    ask.prompt = g_bytes_new_take(text, (gsize)tokens * 4);
    g_strlcpy(ask.team, team, sizeof(ask.team));
    g_strlcpy(ask.model, "m", sizeof(ask.model));
    Fw_Actions_Init(&out);
    Fw_Route_Submit(s->router[node], s->cfg, &ask, s->now_us, &out);
    carry_out(s, node, &out);
    g_bytes_unref(ask.prompt);
}

void
stage_step(struct route_env *s, int node, uint64_t ticket,
           enum fw_route_step step, const char *upstream)
{
    struct fw_actions out;

    Fw_Actions_Init(&out);
    Fw_Route_ReportStep(s->router[node], ticket, step, upstream, s->now_us,
                        &out);
    carry_out(s, node, &out);
}

void
stage_expect(struct route_env *s, const char *lines)
{
    g_assert_cmpstr(s->seen->str, ==, lines);
    g_string_truncate(s->seen, 0);
}
