/* Instances, engines and event loop of the simulated environment. */
#include "explore/p_route_env.h"

#include <inttypes.h>
#include <string.h>

#include "base/hash.h"
#include "core/msg.h"

#define FW_STEP_US (1 * FW_MSEC)
#define FW_WARMUP_US (4 * FW_SEC)

/**
 * struct delivery - a message or an upstream's answer in flight.
 * @to: index of the receiver
 * @is_up: it is an upstream's answer, @up; else a message, @msg
 */
struct delivery {
    struct fw_list link;
    int64_t due_us;
    int to;
    int is_up;
    char from[FW_NAME_MAX];
    struct fw_msg msg;
    struct fw_up_event up;
};

static void
add_upstream(struct fw_route_env *env, const char *name,
             enum fw_upstream_role role, const char *domain)
{
    struct fw_upstream *u = g_new0(struct fw_upstream, 1);

    g_strlcpy(u->name, name, sizeof(u->name));
    g_strlcpy(u->pool, role == FW_ROLE_SERVICE ? "desk" : "pool",
              sizeof(u->pool));
    g_strlcpy(u->domain, domain, sizeof(u->domain));
    u->role = role;
    u->slots = 2;
    u->prefill_rate = 10000;
    g_hash_table_insert(env->cfg->upstreams, u->name, u);
    if (role != FW_ROLE_SERVICE) {
        env->engines[env->n_engines++] =
            (struct fw_route_env_engine){.name = u->name,
                                         .is_prefill = role == FW_ROLE_PREFILL,
                                         .model = "m@1"};
    }
}

static void
configure(struct fw_route_env *env)
{
    struct fw_pool *p = g_new0(struct fw_pool, 1);

    env->cfg = Fw_Config_New();
    g_strlcpy(p->name, "pool", sizeof(p->name));
    p->kv_bytes_per_token = 1000;
    p->n_serves = 1;
    g_strlcpy(p->serves[0].model, "m", sizeof(p->serves[0].model));
    g_strlcpy(p->serves[0].version, "1", sizeof(p->serves[0].version));
    g_hash_table_insert(env->cfg->pools, p->name, p);
    add_upstream(env, "p0", FW_ROLE_PREFILL, "a");
    add_upstream(env, "p1", FW_ROLE_PREFILL, "b");
    add_upstream(env, "d0", FW_ROLE_DECODE, "a");
    add_upstream(env, "d1", FW_ROLE_DECODE, "b");
    add_upstream(env, "s0", FW_ROLE_SERVICE, "a");
    add_upstream(env, "s1", FW_ROLE_SERVICE, "b");
    add_upstream(env, "s2", FW_ROLE_SERVICE, "c");
}

struct fw_route_env_engine *
Fw_RouteEnv_FindEngine(struct fw_route_env *env, const char *name)
{
    for (int i = 0; i < env->n_engines; i++) {
        if (strcmp(env->engines[i].name, name) == 0) {
            return &env->engines[i];
        }
    }
    g_error("no engine %s", name);
    return NULL;
}

static struct delivery *
schedule(struct fw_route_env *env, int to)
{
    struct delivery *d = g_new0(struct delivery, 1);

    d->to = to;
    d->due_us = env->now_us + FW_STEP_US;
    Fw_List_Append(&env->deliveries, &d->link);
    return d;
}

/* Packs and unpacks the message, as between processes. */
static void
send_msg(struct fw_route_env *env, int from, struct fw_peer_send *send)
{
    int to = send->to[1] - '0';
    msgpack_sbuffer buf;
    msgpack_unpacked un;
    msgpack_packer pk;
    struct delivery *d;

    if (env->rand &&
        g_rand_int_range(env->rand, 0, 1000) < env->loss_permille) {
        return;
    }
    if (env->paused[to] ||
        (env->lose_replies && send->msg.area == FW_AREA_ROUTE &&
         send->msg.u.route.kind == FW_ROUTE_REPLY)) {
        return;
    }
    d = schedule(env, to);
    g_strlcpy(d->from, env->self[from].name, sizeof(d->from));
    msgpack_sbuffer_init(&buf);
    msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
    Fw_Msg_Pack(&pk, &send->msg);
    msgpack_unpacked_init(&un);
    g_assert_cmpint(msgpack_unpack_next(&un, buf.data, buf.size, NULL), ==,
                    MSGPACK_UNPACK_SUCCESS);
    g_assert_cmpint(Fw_Msg_Unpack(&un.data, &d->msg), ==, 0);
    msgpack_unpacked_destroy(&un);
    msgpack_sbuffer_destroy(&buf);
}

static void
answer_up(struct fw_route_env *env, int instance, const struct fw_up_start *up)
{
    struct fw_route_env_engine *e = Fw_RouteEnv_FindEngine(env, up->upstream);
    struct delivery *d = schedule(env, instance);
    struct fw_up_report *rep = &d->up.u.report;

    d->is_up = 1;
    d->up.op = up->op;
    d->up.kind = up->kind;
    d->up.phase = e->unreachable ? FW_UP_FAILED : FW_UP_DONE;
    if (e->unreachable) {
        return;
    }
    if (up->kind == FW_UP_CACHE_EVENTS) {
        d->up.u.cache.next_seq = up->u.cache.from_seq;
        if (e->cache.n) {
            d->up.u.cache = e->cache;
            e->cache.n = 0;
        }
        return;
    }
    rep->age_us = e->lag_us;
    rep->slots = 2;
    rep->busy_slots = e->busy;
    rep->queued_tokens = e->queued_tokens;
    rep->draining = e->leaving;
    rep->n_models = 1;
    g_strlcpy(rep->role, e->is_prefill ? "prefill" : "decode",
              sizeof(rep->role));
    g_strlcpy(rep->models[0], e->model, sizeof(rep->models[0]));
}

static void
take_answers(struct fw_route_env *env, int instance)
{
    struct fw_route_answer a;

    while (Fw_Route_TakeAnswer(env->router[instance], &a)) {
        if (env->on_answer) {
            env->on_answer(env, instance, &a);
            continue;
        }
        if (a.status) {
            g_string_append_printf(
                env->answers, "%" PRIu64 " %d %s after %d ms\n", a.ticket,
                a.status, a.code, (int)(a.retry_after_us / FW_MSEC));
        }
        else {
            g_string_append_printf(env->answers, "%" PRIu64 " %s > %s\n",
                                   a.ticket, a.prefill, a.decode);
        }
    }
}

static void
perform_actions(struct fw_route_env *env, int instance, struct fw_actions *out)
{
    struct fw_action *a;

    env->wake_us[instance] = MIN(env->wake_us[instance], out->wake_us);
    while ((a = Fw_Actions_Pop(out))) {
        if (a->kind == FW_ACT_PEER_SEND) {
            send_msg(env, instance, &a->u.send);
        }
        else if (a->kind == FW_ACT_UP_START) {
            answer_up(env, instance, &a->u.up);
        }
        Fw_Action_Free(a);
    }
    Fw_Actions_Init(out);
    take_answers(env, instance);
}

static void
deliver(struct fw_route_env *env, struct delivery *d)
{
    struct fw_actions out;
    int i = d->to;

    Fw_Actions_Init(&out);
    if (!env->paused[i] && d->is_up) {
        Fw_Router_OnUp(env->router[i], env->cfg, &d->up, env->now_us, &out);
    }
    else if (!env->paused[i] && d->msg.area == FW_AREA_FLEET) {
        Fw_Fleet_OnMsg(env->fleet[i], d->from, &d->msg.u.fleet, env->now_us,
                       &out);
    }
    else if (!env->paused[i] && d->msg.area == FW_AREA_ROUTE) {
        Fw_Router_OnMsg(env->router[i], env->cfg, d->from, &d->msg.u.route,
                        env->now_us, &out);
    }
    perform_actions(env, i, &out);
    if (!d->is_up) {
        Fw_Msg_Clear(&d->msg);
    }
    g_free(d);
}

static void
run_due(struct fw_route_env *env)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &env->deliveries) {
        struct delivery *d = FW_LIST_ENTRY(pos, struct delivery, link);

        if (d->due_us <= env->now_us) {
            Fw_List_Remove(&d->link);
            deliver(env, d);
        }
    }
    for (int i = 0; i < env->n; i++) {
        struct fw_actions out;

        if (env->paused[i] || env->wake_us[i] > env->now_us) {
            continue;
        }
        env->wake_us[i] = INT64_MAX;
        Fw_Actions_Init(&out);
        Fw_Fleet_Tick(env->fleet[i], env->now_us, &out);
        Fw_Router_Tick(env->router[i], env->cfg, env->now_us, &out);
        perform_actions(env, i, &out);
    }
}

void
Fw_RouteEnv_Advance(struct fw_route_env *env, int64_t us)
{
    int64_t end_us = env->now_us + us;

    while (env->now_us < end_us) {
        env->now_us += FW_STEP_US;
        run_due(env);
    }
}

/* Passes the platform's list of instances to all of them. */
static void
publish_instances(struct fw_route_env *env)
{
    struct fw_registry_entry e[FW_ROUTE_ENV_INSTANCES_MAX] = {0};
    struct fw_registry_snapshot listed = {.n = env->n, .entries = e};

    for (int i = 0; i < env->n; i++) {
        e[i].kind = FW_REGISTRY_INSTANCE;
        g_strlcpy(e[i].name, env->self[i].name, sizeof(e[i].name));
        g_strlcpy(e[i].addr, env->self[i].addr, sizeof(e[i].addr));
        g_strlcpy(e[i].domain, env->self[i].domain, sizeof(e[i].domain));
        g_strlcpy(e[i].region, env->self[i].region, sizeof(e[i].region));
    }
    for (int i = 0; i < env->n; i++) {
        struct fw_actions out;

        Fw_Actions_Init(&out);
        Fw_Fleet_OnListed(env->fleet[i], &listed, env->now_us, &out);
        perform_actions(env, i, &out);
    }
}

static void
start_instance(struct fw_route_env *env, int i)
{
    struct fw_route_opts opts = {.policy = env->policy,
                                 .ttft_us = 1500 * FW_MSEC,
                                 .itl_us = 43 * FW_MSEC,
                                 .queue_max_us = 5 * FW_SEC,
                                 .retry_permille = 100,
                                 .seed = 7};

    env->self[i].boot++;
    g_snprintf(env->self[i].name, FW_NAME_MAX, "n%d", i);
    g_snprintf(env->self[i].addr, FW_URL_MAX, "127.0.0.1:%d", i + 1);
    g_strlcpy(env->self[i].domain, "a", FW_NAME_MAX);
    g_strlcpy(env->self[i].region, "r", FW_NAME_MAX);
    Fw_Metrics_Init(&env->metrics[i]);
    env->fleet[i] = Fw_Fleet_New(&env->self[i], 5, &env->metrics[i]);
    env->router[i] =
        Fw_Router_New(&env->self[i], env->fleet[i], &opts, &env->metrics[i]);
    env->wake_us[i] = env->now_us;
}

void
Fw_RouteEnv_Restart(struct fw_route_env *env, int instance)
{
    Fw_Router_Free(env->router[instance]);
    Fw_Fleet_Free(env->fleet[instance]);
    start_instance(env, instance);
    publish_instances(env);
}

struct fw_route_env *
Fw_RouteEnv_New(int instances, enum fw_policy policy)
{
    struct fw_route_env *env = g_new0(struct fw_route_env, 1);

    env->n = instances;
    env->policy = policy;
    env->now_us = FW_SEC;
    env->answers = g_string_new(NULL);
    Fw_List_Init(&env->deliveries);
    configure(env);
    for (int i = 0; i < instances; i++) {
        start_instance(env, i);
    }
    publish_instances(env);
    Fw_RouteEnv_Advance(env, FW_WARMUP_US);
    return env;
}

void
Fw_RouteEnv_Free(struct fw_route_env *env)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &env->deliveries) {
        struct delivery *d = FW_LIST_ENTRY(pos, struct delivery, link);

        if (!d->is_up) {
            Fw_Msg_Clear(&d->msg);
        }
        g_free(d);
    }
    for (int i = 0; i < env->n; i++) {
        Fw_Router_Free(env->router[i]);
        Fw_Fleet_Free(env->fleet[i]);
    }
    Fw_Config_Free(env->cfg);
    g_string_free(env->answers, TRUE);
    g_free(env);
}

void
Fw_RouteEnv_SubmitRequest(struct fw_route_env *env, int instance,
                          uint64_t ticket, const char *team, int64_t tokens,
                          const char *avoid)
{
    const char *list[] = {avoid, NULL};
    struct fw_route_request ask = {.ticket = ticket,
                                   .prompt_tokens = tokens,
                                   .max_tokens = 10,
                                   .arrived_us = env->now_us,
                                   .avoid = list};
    char *text = g_strnfill((gsize)tokens * 4, 'x');
    struct fw_actions out;

    ask.prompt = g_bytes_new_take(text, (gsize)tokens * 4);
    g_strlcpy(ask.team, team, sizeof(ask.team));
    g_strlcpy(ask.model, "m", sizeof(ask.model));
    Fw_Actions_Init(&out);
    Fw_Route_Submit(env->router[instance], env->cfg, &ask, env->now_us, &out);
    perform_actions(env, instance, &out);
    g_bytes_unref(ask.prompt);
}

void
Fw_RouteEnv_ReportStep(struct fw_route_env *env, int instance, uint64_t ticket,
                       enum fw_route_step step, const char *upstream)
{
    struct fw_actions out;

    Fw_Actions_Init(&out);
    Fw_Route_ReportStep(env->router[instance], ticket, step, upstream,
                        env->now_us, &out);
    perform_actions(env, instance, &out);
}

void
Fw_RouteEnv_ExpectAnswers(struct fw_route_env *env, const char *lines)
{
    g_assert_cmpstr(env->answers->str, ==, lines);
    g_string_truncate(env->answers, 0);
}
