/* Instances, service and event loop of the simulated environment. */
#include "explore/p_idem_delivery.h"

#include <errno.h>
#include <string.h>

#include "base/hash.h"
#include "fleet/fleet_internal.h"

#define SERVICE_TIME_US (20 * FW_MSEC)
#define WALL_BASE_MS 1764000000000LL

static void
free_delivery(gpointer data)
{
    struct fw_idem_env_delivery *d = data;

    g_strfreev(d->records);
    if (d->kind == FW_IDEM_ENV_MSG) {
        Fw_Msg_Clear(&d->msg);
    }
    g_free(d);
}

void
Fw_IdemEnv_Init(struct fw_idem_env *env, int n, GString *trace)
{
    memset(env, 0, sizeof(*env));
    env->n = n;
    env->trace = trace;
    env->now_us = FW_SEC;
    env->deliveries = g_ptr_array_new_with_free_func(free_delivery);
    env->calls = g_ptr_array_new_with_free_func(g_free);
    env->effects =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    env->keys_by_name =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    env->log.retain_records = 1000000;
    for (int i = 0; i < FW_IDEM_ENV_PARTITIONS; i++) {
        env->log.records[i] = g_ptr_array_new_with_free_func(g_free);
        env->log.oldest[i] = 1;
    }
    for (int i = 0; i < n; i++) {
        Fw_IdemEnv_Start(env, i);
    }
}

void
Fw_IdemEnv_Kill(struct fw_idem_env *env, int instance)
{
    struct fw_idem_env_instance *inst = &env->instances[instance];

    if (!inst->up) {
        return;
    }
    inst->up = 0;
    Fw_Idem_Free(inst->idem);
    Fw_Fleet_Free(inst->fleet);
}

void
Fw_IdemEnv_Clear(struct fw_idem_env *env)
{
    for (int i = 0; i < env->n; i++) {
        Fw_IdemEnv_Kill(env, i);
    }
    for (int i = 0; i < FW_IDEM_ENV_PARTITIONS; i++) {
        g_ptr_array_unref(env->log.records[i]);
    }
    g_ptr_array_unref(env->deliveries);
    g_ptr_array_unref(env->calls);
    g_hash_table_unref(env->effects);
    g_hash_table_unref(env->keys_by_name);
}

void
Fw_IdemEnv_Start(struct fw_idem_env *env, int instance)
{
    struct fw_idem_env_instance *inst = &env->instances[instance];
    struct fw_actions none;

    memset(inst, 0, sizeof(*inst));
    g_snprintf(inst->self.name, sizeof(inst->self.name), "instance-%d",
               instance);
    g_snprintf(inst->self.addr, sizeof(inst->self.addr), "10.0.0.%d:1",
               instance);
    g_strlcpy(inst->self.region, "r", sizeof(inst->self.region));
    inst->self.boot = (uint64_t)(WALL_BASE_MS + env->now_us / FW_MSEC);
    Fw_Metrics_Init(&inst->metrics);
    inst->fleet = Fw_Fleet_New(&inst->self, 1, &inst->metrics);
    Fw_Actions_Init(&none);
    for (int i = 0; i < env->n; i++) {
        char name[FW_NAME_MAX];
        char addr[FW_URL_MAX];

        g_snprintf(name, sizeof(name), "instance-%d", i);
        g_snprintf(addr, sizeof(addr), "10.0.0.%d:1", i);
        if (i != instance) {
            Fw_Member_SetState(
                inst->fleet, Fw_Member_Add(inst->fleet, name, addr, "d", "r"),
                FW_MEMBER_ALIVE, env->now_us, &none);
        }
    }
    Fw_Actions_Clear(&none);
    inst->idem = Fw_Idem_New(&inst->self, inst->fleet, FW_IDEM_ENV_PARTITIONS,
                             &inst->metrics);
    inst->up = 1;
    inst->wake_us = env->now_us;
}

struct fw_idem_env_delivery *
Fw_IdemEnv_Schedule(struct fw_idem_env *env,
                    enum fw_idem_env_delivery_kind kind, int instance,
                    int64_t delay_us)
{
    struct fw_idem_env_delivery *d = g_new0(struct fw_idem_env_delivery, 1);

    d->kind = kind;
    d->instance = instance;
    d->boot = env->instances[instance].self.boot;
    d->at_us = env->now_us + delay_us;
    g_ptr_array_add(env->deliveries, d);
    return d;
}

static void
send_peer(struct fw_idem_env *env, int instance, struct fw_peer_send *send)
{
    for (int i = 0; i < env->n; i++) {
        struct fw_idem_env_instance *to = &env->instances[i];
        struct fw_idem_env_delivery *d;

        if (strcmp(to->self.name, send->to) != 0 || !to->up || to->isolated ||
            env->instances[instance].isolated) {
            continue;
        }
        d = Fw_IdemEnv_Schedule(env, FW_IDEM_ENV_MSG, i, FW_IDEM_ENV_HOP_US);
        d->msg = send->msg;
        /* Its pointers have moved to @d; an ACK owns none. */
        send->msg.u.idem.kind = FW_IDEM_OUTCOME_ACK;
        g_strlcpy(d->sender, env->instances[instance].self.name,
                  sizeof(d->sender));
        return;
    }
}

static void
perform_actions(struct fw_idem_env *env, int instance, struct fw_actions *out)
{
    struct fw_action *a;
    struct fw_idem_env_delivery *d;

    env->instances[instance].wake_us =
        MIN(env->instances[instance].wake_us, out->wake_us);
    while ((a = Fw_Actions_Pop(out))) {
        if (a->kind == FW_ACT_PEER_SEND) {
            send_peer(env, instance, &a->u.send);
        }
        else if (a->kind == FW_ACT_LOG_APPEND) {
            d = Fw_IdemEnv_Schedule(env, FW_IDEM_ENV_APPEND, instance,
                                    FW_IDEM_ENV_HOP_US + env->log.latency_us);
            d->ticket = a->u.append.ticket;
            d->partition = a->u.append.stream[strlen("idem-")] - '0';
            d->n = a->u.append.n;
            d->records = g_new0(char *, d->n + 1);
            for (int i = 0; i < d->n; i++) {
                d->records[i] = g_strdup(a->u.append.records[i]);
            }
        }
        else if (a->kind == FW_ACT_LOG_READ) {
            d = Fw_IdemEnv_Schedule(env, FW_IDEM_ENV_READ, instance,
                                    FW_IDEM_ENV_HOP_US + env->log.latency_us);
            d->ticket = a->u.read.ticket;
            d->partition = a->u.read.stream[strlen("idem-")] - '0';
            d->from = a->u.read.from_offset;
            d->max_records = a->u.read.max_records;
            d->sent_us = env->now_us;
        }
        Fw_Action_Free(a);
    }
}

static void
record_failure(struct fw_idem_env *env, const char *what, const char *key)
{
    if (!env->failure[0]) {
        g_snprintf(env->failure, sizeof(env->failure), "%s: key %s", what,
                   key);
    }
}

/* Sends a call whose claim was granted, in the order that src/request uses. */
static void
run_call(struct fw_idem_env *env, struct fw_idem_env_call *call, int number,
         struct fw_actions *out)
{
    struct fw_idem_env_instance *inst = &env->instances[call->instance];
    int rc = Fw_Idem_BeginRun(inst->idem, call->ticket, env->now_us);
    int effects;

    if (rc) {
        call->told_not_run = 1;
        g_string_append_printf(env->trace, "%d may not run: %s\n", number,
                               rc == -ESTALE ? "stale" : "already");
        return;
    }
    if (env->service == FW_IDEM_ENV_SERVICE_REFUSES) {
        g_string_append_printf(env->trace, "%d not begun\n", number);
        Fw_Idem_Finish(inst->idem, call->ticket, FW_RAN_NO, 0, "", NULL,
                       env->now_us, out);
        call->told_not_run = 1;
        return;
    }
    if (call->told_not_run) {
        record_failure(env,
                       "a call is sent after its caller was told 'not run'",
                       call->key);
    }
    g_string_append_printf(env->trace, "%d sent\n", number);
    effects =
        GPOINTER_TO_INT(g_hash_table_lookup(env->effects, call->key)) + 1;
    g_hash_table_replace(env->effects, g_strdup(call->key),
                         GINT_TO_POINTER(effects));
    if (++call->sends > 1 || effects > 1) {
        record_failure(env, "a call took effect twice", call->key);
    }
    call->ran = env->service == FW_IDEM_ENV_SERVICE_LOSES_ANSWER ? FW_RAN_MAYBE
                                                                 : FW_RAN_YES;
    call->finish_us = env->now_us + SERVICE_TIME_US;
    inst->wake_us = MIN(inst->wake_us, call->finish_us);
}

static void
take_answers(struct fw_idem_env *env, int instance, struct fw_actions *out)
{
    static const char *const names[] = {"run",        "recorded", "maybe",
                                        "not run",    "mismatch", "too old",
                                        "unavailable"};
    struct fw_idem_answer ans;

    while (Fw_Idem_TakeAnswer(env->instances[instance].idem, &ans)) {
        struct fw_idem_env_call *call =
            g_ptr_array_index(env->calls, (guint)ans.ticket - 1);
        gsize len = 0;
        const char *body = ans.body ? g_bytes_get_data(ans.body, &len) : "";

        call->answered = 1;
        if (ans.result == FW_IDEM_RUN) {
            run_call(env, call, (int)ans.ticket, out);
        }
        else {
            g_string_append_printf(env->trace, "%d %s%s%.*s\n",
                                   (int)ans.ticket, names[ans.result],
                                   len ? " " : "", (int)len, body);
        }
        call->told_not_run |= ans.result == FW_IDEM_UNAVAILABLE ||
                              ans.result == FW_IDEM_NOT_RUN ||
                              ans.result == FW_IDEM_MISMATCH;
        if (call->told_not_run && call->sends) {
            record_failure(
                env, "a caller is told 'not run' after its call was sent",
                call->key);
        }
        if (ans.result == FW_IDEM_UNAVAILABLE && ans.retry_after_us < FW_SEC) {
            record_failure(env, "a caller is told to retry within a second",
                           call->key);
        }
        g_clear_pointer(&ans.body, g_bytes_unref);
    }
}

/* Reports the responses of the service that have arrived. */
static void
finish_calls(struct fw_idem_env *env, int instance, struct fw_actions *out)
{
    struct fw_idem_env_instance *inst = &env->instances[instance];

    for (guint i = 0; i < env->calls->len; i++) {
        struct fw_idem_env_call *call = g_ptr_array_index(env->calls, i);
        GBytes *body;

        if (call->instance != instance || call->boot != inst->self.boot ||
            !call->finish_us) {
            continue;
        }
        if (env->now_us < call->finish_us) {
            inst->wake_us = MIN(inst->wake_us, call->finish_us);
            continue;
        }
        call->finish_us = 0;
        body = g_bytes_new_static("done", 4);
        Fw_Idem_Finish(inst->idem, i + 1, call->ran,
                       call->ran == FW_RAN_YES ? 201 : 0, "text/plain",
                       call->ran == FW_RAN_YES ? body : NULL, env->now_us,
                       out);
        g_bytes_unref(body);
    }
}

/* To be called after each event of an instance. */
static void
handle_outputs(struct fw_idem_env *env, int instance, struct fw_actions *out)
{
    take_answers(env, instance, out);
    perform_actions(env, instance, out);
}

static void
tick(struct fw_idem_env *env, int instance)
{
    struct fw_idem_env_instance *inst = &env->instances[instance];
    struct fw_actions out;

    Fw_Actions_Init(&out);
    inst->wake_us = INT64_MAX;
    finish_calls(env, instance, &out);
    Fw_Idem_Tick(inst->idem, env->now_us, &out);
    handle_outputs(env, instance, &out);
}

/* Return: idempotency key for a name as given to Fw_IdemEnv_SubmitCall. */
static const char *
resolve_key(struct fw_idem_env *env, const char *name)
{
    const char *at = strchr(name, '@');
    char *key = g_hash_table_lookup(env->keys_by_name, name);
    int64_t issued_ms;

    if (!at || key) {
        return key ? key : name;
    }
    issued_ms = WALL_BASE_MS + env->now_us / FW_MSEC -
                g_ascii_strtoll(at + 1, NULL, 10) * 1000;
    key = g_strdup_printf("%013" G_GINT64_FORMAT "-%.*s", issued_ms,
                          (int)(at - name), name);
    g_hash_table_insert(env->keys_by_name, g_strdup(name), key);
    return key;
}

void
Fw_IdemEnv_SubmitCall(struct fw_idem_env *env, int instance, const char *name,
                      const char *body)
{
    struct fw_idem_env_instance *inst = &env->instances[instance];
    struct fw_idem_env_call *call;
    struct fw_actions out;

    if (!inst->up || inst->paused_until_us > env->now_us) {
        return;
    }
    call = g_new0(struct fw_idem_env_call, 1);
    g_ptr_array_add(env->calls, call);
    call->ticket = env->calls->len;
    call->instance = instance;
    call->boot = inst->self.boot;
    g_strlcpy(call->key, resolve_key(env, name), sizeof(call->key));
    Fw_Actions_Init(&out);
    Fw_Idem_Claim(inst->idem, call->ticket, "grid-desk", "skippers", call->key,
                  Fw_Hash_Str(body), env->now_us, &out);
    handle_outputs(env, instance, &out);
}

static void
deliver(struct fw_idem_env *env, struct fw_idem_env_delivery *d)
{
    struct fw_idem_env_instance *inst = &env->instances[d->instance];
    struct fw_log_appended app = {.ticket = d->ticket, .err = d->err};
    struct fw_log_records rec = {.ticket = d->ticket, .err = d->err};
    struct fw_actions out;

    if (d->kind == FW_IDEM_ENV_APPEND) {
        Fw_IdemEnv_HandleAppend(env, d);
        return;
    }
    if (d->kind == FW_IDEM_ENV_READ) {
        Fw_IdemEnv_HandleRead(env, d);
        return;
    }
    if (!inst->up || inst->self.boot != d->boot) {
        return;
    }
    Fw_Actions_Init(&out);
    if (d->kind == FW_IDEM_ENV_APPENDED) {
        app.first_offset = d->first;
        Fw_Idem_OnAppended(inst->idem, &app, env->now_us, &out);
    }
    else if (d->kind == FW_IDEM_ENV_RECORDS) {
        rec.sent_us = d->sent_us;
        rec.first_offset = d->first;
        rec.oldest_offset = d->oldest;
        rec.end_offset = d->end;
        rec.n = d->n;
        rec.records = (const char *const *)d->records;
        Fw_Idem_OnRecords(inst->idem, &rec, env->now_us, &out);
    }
    else {
        Fw_Idem_OnMsg(inst->idem, d->sender, &d->msg.u.idem, env->now_us,
                      &out);
    }
    handle_outputs(env, d->instance, &out);
}

/* Return: when @d can be delivered; an instance does not receive while it is
 * paused. */
static int64_t
due_us(const struct fw_idem_env *env, const struct fw_idem_env_delivery *d)
{
    if (d->kind == FW_IDEM_ENV_APPEND || d->kind == FW_IDEM_ENV_READ) {
        return d->at_us;
    }
    return MAX(d->at_us, env->instances[d->instance].paused_until_us);
}

/* Finds the next event up to @until_us and advances the time to it. Return: a
 * delivery, or NULL; then @tick_instance is to be ticked unless it is -1. */
static struct fw_idem_env_delivery *
next_event(struct fw_idem_env *env, int64_t until_us, int *tick_instance)
{
    struct fw_idem_env_delivery *best = NULL;
    int64_t at = until_us + 1;

    *tick_instance = -1;
    for (guint i = 0; i < env->deliveries->len; i++) {
        struct fw_idem_env_delivery *d = g_ptr_array_index(env->deliveries, i);

        if (due_us(env, d) < at) {
            at = due_us(env, d);
            best = d;
        }
    }
    for (int i = 0; i < env->n; i++) {
        struct fw_idem_env_instance *inst = &env->instances[i];

        if (inst->up && MAX(inst->wake_us, inst->paused_until_us) < at) {
            at = MAX(inst->wake_us, inst->paused_until_us);
            best = NULL;
            *tick_instance = i;
        }
    }
    if (best || *tick_instance >= 0) {
        env->now_us = MAX(env->now_us, at);
    }
    return best;
}

void
Fw_IdemEnv_Advance(struct fw_idem_env *env, int64_t us)
{
    int64_t until = env->now_us + us;
    int steps = 0;

    for (;;) {
        int instance;
        struct fw_idem_env_delivery *d = next_event(env, until, &instance);

        if (++steps > 200000) {
            record_failure(env, "the instances never become idle", "-");
            return;
        }
        if (d) {
            deliver(env, d);
            g_ptr_array_remove(env->deliveries, d);
        }
        else if (instance >= 0) {
            tick(env, instance);
        }
        else {
            break;
        }
    }
    env->now_us = until;
}
