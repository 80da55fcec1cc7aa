/* Instances, engines, log and event loop of the simulated environment. */
#include "explore/p_order_env.h"

#include <errno.h>
#include <string.h>

#include "config/change.h"
#include "core/msg.h"
#include "fleet/role.h"

#define STEP_US (100 * FW_MSEC)
#define ORDER_WAIT_US (10 * FW_SEC)

/**
 * struct fw_order_env_call - an upstream call or a read of the log.
 * @holder: instance that made it
 * @due_us: when an upstream call reaches the engine
 * @kind: FW_ACT_UP_START or FW_ACT_LOG_READ
 * @reached: the engine has handled it and @ev is its answer
 */
struct fw_order_env_call {
    int holder;
    int64_t due_us;
    int64_t sent_us;
    enum fw_action_kind kind;
    struct fw_log_read read;
    struct fw_up_start up;
    int reached;
    struct fw_up_event ev;
};

static void
put_item(struct fw_order_env *env, const char *item_text)
{
    JsonNode *node = json_from_string(item_text, NULL);
    struct fw_item item = {.kind = FW_ITEM_TEAM};
    struct fw_config_error err;

    if (Fw_Item_Parse(json_node_get_object(node), &item, &err)) {
        g_error("%s", err.text);
    }
    Fw_Config_PutItem(env->cfg, &item, 1);
    json_node_unref(node);
}

struct fw_order_env *
Fw_OrderEnv_New(void)
{
    struct fw_order_env *env = g_new0(struct fw_order_env, 1);

    env->cfg = Fw_Config_New();
    env->log = g_ptr_array_new_with_free_func(g_free);
    env->calls = g_ptr_array_new_with_free_func(g_free);
    env->journal = g_string_new(NULL);
    env->now_us = FW_SEC;
    put_item(env, "{\"kind\":\"pool\",\"name\":\"p\",\"was\":0,\"value\":"
                  "{\"serves\":[{\"model\":\"m\",\"version\":\"1\"}]}}");
    return env;
}

static void
stop(struct fw_order_env_holder *h)
{
    if (h->up) {
        Fw_Orders_Free(h->orders);
        Fw_Roles_Free(h->roles);
        Fw_Fleet_Free(h->fleet);
    }
    h->up = 0;
}

void
Fw_OrderEnv_Free(struct fw_order_env *env)
{
    for (int i = 0; i < FW_ORDER_ENV_HOLDERS; i++) {
        stop(&env->holders[i]);
    }
    Fw_Config_Free(env->cfg);
    g_ptr_array_unref(env->log);
    g_ptr_array_unref(env->calls);
    g_string_free(env->journal, TRUE);
    g_free(env);
}

void
Fw_OrderEnv_SetConfiguredRole(struct fw_order_env *env, const char *name,
                              const char *role)
{
    char *text = g_strdup_printf(
        "{\"kind\":\"upstream\",\"name\":\"%s\",\"was\":0,\"value\":"
        "{\"pool\":\"p\",\"url\":\"http://%s\",\"role\":\"%s\"}}",
        name, name, role);

    put_item(env, text);
    g_free(text);
}

struct fw_order_env_engine *
Fw_OrderEnv_AddEngine(struct fw_order_env *env, const char *name,
                      const char *role, const char *current_role,
                      const char *models)
{
    struct fw_order_env_engine *e = &env->engines[env->n_engines++];
    char **names = g_strsplit(models, " ", -1);

    Fw_OrderEnv_SetConfiguredRole(env, name, role);
    g_strlcpy(e->name, name, sizeof(e->name));
    g_strlcpy(e->role, current_role, sizeof(e->role));
    e->checks_fence = 1;
    for (int i = 0; names[i]; i++) {
        if (names[i][0]) {
            g_strlcpy(e->models[e->n_models++], names[i],
                      sizeof(e->models[0]));
        }
    }
    g_strfreev(names);
    return e;
}

/* Instances do not know of each other, as if the network was partitioned. */
void
Fw_OrderEnv_Start(struct fw_order_env *env, int holder)
{
    struct fw_order_env_holder *h = &env->holders[holder];
    static const int64_t waits[FW_ROLE_KINDS] = {
        [FW_ROLE_BUDGET] = ORDER_WAIT_US, [FW_ROLE_ORDER] = ORDER_WAIT_US};

    stop(h);
    g_snprintf(h->self.name, sizeof(h->self.name), "holder%d", holder);
    h->self.boot = (uint64_t)env->now_us;
    g_strlcpy(h->self.addr, "addr", sizeof(h->self.addr));
    g_strlcpy(h->self.domain, "d", sizeof(h->self.domain));
    g_strlcpy(h->self.region, "r", sizeof(h->self.region));
    h->fleet = Fw_Fleet_New(&h->self, (uint32_t)holder + 1, NULL);
    h->roles = Fw_Roles_New(&h->self, 1, waits);
    h->orders = Fw_Orders_New(h->roles, (uint32_t)holder + 1, NULL);
    h->up = 1;
}

static struct fw_order_env_engine *
find_engine(struct fw_order_env *env, const char *name)
{
    for (int i = 0; i < env->n_engines; i++) {
        if (strcmp(env->engines[i].name, name) == 0) {
            return &env->engines[i];
        }
    }
    return NULL;
}

static void
add_journal_line(struct fw_order_env *env, const struct fw_order_env_call *c,
                 const char *result)
{
    const struct fw_up_order *o = &c->up.u.order;
    static const char *const ops[] = {"load", "unload", "load-adapter",
                                      "unload-adapter", "role"};

    g_string_append_printf(env->journal, "holder%d %s %s %s%s%s -> %s\n",
                           c->holder, c->up.upstream, ops[o->op], o->model,
                           o->op == FW_ORDER_SET_ROLE ? o->role : "@",
                           o->version, result);
}

static void
execute_order(struct fw_order_env *env, struct fw_order_env_engine *e,
              const struct fw_up_order *o)
{
    char ref[FW_MODELREF_MAX];

    g_snprintf(ref, sizeof(ref), "%s@%s%s%s", o->model, o->version,
               o->adapter[0] ? "+" : "", o->adapter);
    env->fence_regressed |= o->fence < e->max_fence;
    e->max_fence = MAX(e->max_fence, o->fence);
    switch (o->op) {
    case FW_ORDER_LOAD_MODEL:
    case FW_ORDER_LOAD_ADAPTER:
        if (e->n_models < (int)G_N_ELEMENTS(e->models)) {
            g_strlcpy(e->models[e->n_models++], ref, sizeof(e->models[0]));
        }
        break;
    case FW_ORDER_UNLOAD_MODEL:
    case FW_ORDER_UNLOAD_ADAPTER:
        for (int i = 0; i < e->n_models; i++) {
            if (strcmp(e->models[i], ref) == 0) {
                memmove(e->models[i], e->models[--e->n_models],
                        sizeof(e->models[0]));
            }
        }
        break;
    case FW_ORDER_SET_ROLE:
        g_strlcpy(e->role, o->role, sizeof(e->role));
        break;
    }
}

/* Every engine refuses orders whose time to live has passed; only some check
 * the fencing number. */
static void
answer_order(struct fw_order_env *env, const struct fw_order_env_call *c,
             struct fw_up_event *ev)
{
    struct fw_order_env_engine *e = find_engine(env, c->up.upstream);
    const struct fw_up_order *o = &c->up.u.order;

    ev->phase = FW_UP_FAILED;
    ev->ran = FW_RAN_NO;
    if (e->checks_fence && o->fence < e->max_fence) {
        ev->status = 409;
        add_journal_line(env, c, "old fence");
        return;
    }
    if (env->now_us > c->sent_us + o->ttl_us) {
        ev->status = 410;
        add_journal_line(env, c, "too late");
        return;
    }
    execute_order(env, e, o);
    add_journal_line(env, c, "done");
    if (env->lose_answers > 0) {
        env->lose_answers--;
        ev->ran = FW_RAN_MAYBE;
        ev->err = -ETIMEDOUT;
        return;
    }
    ev->phase = FW_UP_DONE;
}

static void
answer_poll(const struct fw_order_env_engine *e, struct fw_up_event *ev)
{
    struct fw_up_report *r = &ev->u.report;

    if (e->down) {
        ev->phase = FW_UP_FAILED;
        ev->err = -ECONNREFUSED;
        return;
    }
    ev->phase = FW_UP_DONE;
    r->busy_slots = e->busy;
    g_strlcpy(r->role, e->role, sizeof(r->role));
    r->n_models = e->n_models;
    memcpy(r->models, e->models, sizeof(e->models));
}

static void
perform_actions(struct fw_order_env *env, int i, struct fw_actions *out);

/* Independent of the instance that sent the call, which may be paused. */
static void
handle_at_engine(struct fw_order_env *env, struct fw_order_env_call *c)
{
    c->reached = 1;
    c->ev.op = c->up.op;
    c->ev.kind = c->up.kind;
    if (c->up.kind == FW_UP_ORDER) {
        answer_order(env, c, &c->ev);
    }
    else {
        answer_poll(find_engine(env, c->up.upstream), &c->ev);
    }
}

static void
deliver_up_event(struct fw_order_env *env, const struct fw_order_env_call *c)
{
    struct fw_order_env_holder *h = &env->holders[c->holder];
    struct fw_actions out;

    if (!h->up) {
        return;
    }
    Fw_Actions_Init(&out);
    Fw_Orders_OnUp(h->orders, env->cfg, &c->ev, env->now_us, &out);
    perform_actions(env, c->holder, &out);
}

static void
deliver_records(struct fw_order_env *env, const struct fw_order_env_call *c)
{
    struct fw_log_records r = {.ticket = c->read.ticket,
                               .sent_us = c->sent_us,
                               .oldest_offset = 1,
                               .end_offset = env->log->len + 1};
    struct fw_actions out;

    g_strlcpy(r.stream, c->read.stream, sizeof(r.stream));
    r.err = env->log_down ? -EIO : 0;
    r.first_offset = MIN(c->read.from_offset, r.end_offset);
    r.n =
        (int)MIN((uint64_t)c->read.max_records, r.end_offset - r.first_offset);
    r.records = (const char *const *)env->log->pdata + (r.first_offset - 1);
    Fw_Actions_Init(&out);
    Fw_Roles_OnRecords(env->holders[c->holder].roles, &r, env->now_us, &out);
    perform_actions(env, c->holder, &out);
}

/* Performs an append and delivers its answer at once. */
static void
append_records(struct fw_order_env *env, int i, const struct fw_log_append *p)
{
    struct fw_log_appended done = {.ticket = p->ticket,
                                   .first_offset = env->log->len + 1};
    struct fw_actions out;

    g_strlcpy(done.stream, p->stream, sizeof(done.stream));
    done.err = env->log_down ? -EAGAIN : 0;
    for (int k = 0; k < p->n && !done.err; k++) {
        g_ptr_array_add(env->log, g_strdup(p->records[k]));
    }
    Fw_Actions_Init(&out);
    Fw_Roles_OnAppended(env->holders[i].roles, &done, env->now_us, &out);
    perform_actions(env, i, &out);
}

static void
perform_actions(struct fw_order_env *env, int i, struct fw_actions *out)
{
    struct fw_action *a;

    while ((a = Fw_Actions_Pop(out))) {
        struct fw_order_env_call *c = NULL;

        if (a->kind == FW_ACT_LOG_APPEND) {
            append_records(env, i, &a->u.append);
        }
        if (a->kind == FW_ACT_LOG_READ || a->kind == FW_ACT_UP_START) {
            c = g_new0(struct fw_order_env_call, 1);
            c->holder = i;
            c->kind = a->kind;
            c->sent_us = env->now_us;
            c->due_us = env->now_us;
            g_ptr_array_add(env->calls, c);
        }
        if (a->kind == FW_ACT_LOG_READ) {
            c->read = a->u.read;
        }
        if (a->kind == FW_ACT_UP_START) {
            c->up = a->u.up;
            c->due_us += a->u.up.kind == FW_UP_ORDER ? env->order_delay_us
                                                     : env->poll_delay_us;
        }
        Fw_Action_Free(a);
    }
}

/* Return: nonzero when the answer can be delivered. A read is a long poll; a
 * paused instance gets its answers when it resumes. */
static int
is_due(const struct fw_order_env *env, const struct fw_order_env_call *c)
{
    if (c->kind == FW_ACT_LOG_READ) {
        return !env->holders[c->holder].paused &&
               (env->log_down || c->read.from_offset <= env->log->len ||
                env->now_us >= c->sent_us + c->read.wait_us);
    }
    return c->reached && !env->holders[c->holder].paused;
}

static void
serve_calls(struct fw_order_env *env)
{
    for (unsigned k = 0; k < env->calls->len;) {
        struct fw_order_env_call *c = g_ptr_array_index(env->calls, k);

        if (c->kind == FW_ACT_UP_START && !c->reached &&
            env->now_us >= c->due_us) {
            handle_at_engine(env, c);
        }
        if (!is_due(env, c)) {
            k++;
            continue;
        }
        g_ptr_array_steal_index(env->calls, k);
        if (c->kind == FW_ACT_LOG_READ && env->holders[c->holder].up) {
            deliver_records(env, c);
        }
        else if (c->kind == FW_ACT_UP_START) {
            deliver_up_event(env, c);
        }
        g_free(c);
    }
}

void
Fw_OrderEnv_Advance(struct fw_order_env *env, int64_t us)
{
    int64_t until = env->now_us + us;

    while (env->now_us < until) {
        env->now_us += STEP_US;
        for (int i = 0; i < FW_ORDER_ENV_HOLDERS; i++) {
            struct fw_order_env_holder *h = &env->holders[i];
            struct fw_actions out;

            if (!h->up || h->paused) {
                continue;
            }
            Fw_Actions_Init(&out);
            Fw_Orders_Tick(h->orders, env->cfg, env->now_us, &out);
            Fw_Roles_Tick(h->roles, h->fleet, env->now_us, &out);
            perform_actions(env, i, &out);
        }
        serve_calls(env);
    }
}

char *
Fw_OrderEnv_TakeJournal(struct fw_order_env *env)
{
    char *text = g_strdup(env->journal->str);

    g_string_truncate(env->journal, 0);
    return text;
}

int
Fw_OrderEnv_CountPendingOrders(const struct fw_order_env *env)
{
    int n = 0;

    for (unsigned k = 0; k < env->calls->len; k++) {
        const struct fw_order_env_call *c = g_ptr_array_index(env->calls, k);

        n += c->kind == FW_ACT_UP_START && c->up.kind == FW_UP_ORDER;
    }
    return n;
}
