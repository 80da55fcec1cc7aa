/* Simulated network and log. */
#include "explore/p_fleet_delivery.h"

#include <errno.h>
#include <string.h>

#define LATENCY_MAX_US (20 * FW_MSEC)
#define LONG_POLL_INTERVAL_US (200 * FW_MSEC)
#define APPEND_TIMEOUT_US (3 * FW_SEC)

void
Fw_FleetEnv_FreeDelivery(struct fw_fleet_env_delivery *d)
{
    if (d->msg) {
        g_bytes_unref(d->msg);
    }
    if (d->records) {
        g_ptr_array_unref(d->records);
    }
    g_free(d);
}

struct fw_fleet_env_delivery *
Fw_FleetEnv_NextDelivery(const struct fw_fleet_env *env)
{
    struct fw_fleet_env_delivery *best = NULL;

    for (guint i = 0; i < env->deliveries->len; i++) {
        struct fw_fleet_env_delivery *d =
            g_ptr_array_index(env->deliveries, i);
        if (!best || d->at_us < best->at_us) {
            best = d;
        }
    }
    return best;
}

static int64_t
draw_latency(struct fw_fleet_env *env)
{
    int64_t max = LATENCY_MAX_US;

    if (Fw_FleetEnv_RandBelow(env, 100) < env->delay_pct) {
        max = MAX(env->delay_max_us, LATENCY_MAX_US);
    }
    return FW_MSEC / 2 +
           (int64_t)(g_rand_double(env->run->rand) * (double)max);
}

static struct fw_fleet_env_delivery *
schedule(struct fw_fleet_env *env, enum fw_fleet_env_delivery_kind kind,
         int instance)
{
    struct fw_fleet_env_delivery *d = g_new0(struct fw_fleet_env_delivery, 1);

    d->kind = kind;
    d->instance = instance;
    d->at_us = env->real_us + draw_latency(env);
    g_ptr_array_add(env->deliveries, d);
    return d;
}

static int
find_instance(const struct fw_fleet_env *env, const char *name)
{
    for (int i = 0; i < env->n; i++) {
        if (strcmp(env->instances[i].self.name, name) == 0) {
            return i;
        }
    }
    return -1;
}

static void
send_msg(struct fw_fleet_env *env, int from, const struct fw_peer_send *send)
{
    int to = find_instance(env, send->to);
    msgpack_sbuffer buf;
    msgpack_packer pk;
    GBytes *bytes;
    int copies = 1;

    if (to < 0) {
        return;
    }
    msgpack_sbuffer_init(&buf);
    msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
    Fw_Msg_Pack(&pk, &send->msg);
    bytes = g_bytes_new(buf.data, buf.size);
    env->msgs_sent++;
    env->bytes_sent += buf.size;
    env->area_bytes[send->msg.area] += buf.size;
    env->area_msgs[send->msg.area]++;
    msgpack_sbuffer_destroy(&buf);
    if (env->instances[from].link_down[to] ||
        Fw_FleetEnv_RandBelow(env, 100) < env->loss_pct) {
        copies = 0;
    }
    else if (Fw_FleetEnv_RandBelow(env, 100) < env->duplicate_pct) {
        copies = 2;
    }
    for (int i = 0; i < copies; i++) {
        struct fw_fleet_env_delivery *d = schedule(env, FW_FLEET_ENV_MSG, to);
        d->from = from;
        d->msg = g_bytes_ref(bytes);
    }
    g_bytes_unref(bytes);
}

static void
send_append(struct fw_fleet_env *env, int instance,
            const struct fw_log_append *a)
{
    struct fw_fleet_env_delivery *d =
        schedule(env, FW_FLEET_ENV_APPEND, instance);

    d->boot = env->instances[instance].self.boot;
    d->ticket = a->ticket;
    d->records = g_ptr_array_new_with_free_func(g_free);
    for (int i = 0; i < a->n; i++) {
        g_ptr_array_add(d->records, g_strdup(a->records[i]));
    }
}

static void
send_read(struct fw_fleet_env *env, int instance, const struct fw_log_read *r)
{
    struct fw_fleet_env_delivery *d =
        schedule(env, FW_FLEET_ENV_READ, instance);

    d->boot = env->instances[instance].self.boot;
    d->ticket = r->ticket;
    d->offset = r->from_offset;
    d->sent_us = Fw_FleetEnv_LocalTime(env, instance);
    d->until_us = env->real_us + r->wait_us;
}

void
Fw_FleetEnv_PerformActions(struct fw_fleet_env *env, int i,
                           struct fw_actions *out)
{
    struct fw_action *a;

    env->instances[i].wake_us = MIN(env->instances[i].wake_us, out->wake_us);
    while ((a = Fw_Actions_Pop(out))) {
        if (a->kind == FW_ACT_PEER_SEND) {
            send_msg(env, i, &a->u.send);
        }
        else if (a->kind == FW_ACT_LOG_APPEND) {
            send_append(env, i, &a->u.append);
        }
        else if (a->kind == FW_ACT_LOG_READ) {
            send_read(env, i, &a->u.read);
        }
        else if (a->kind == FW_ACT_NOTE) {
            GString *line = g_string_new(a->u.note.event);
            for (int f = 0; f < a->u.note.n; f++) {
                g_string_append_printf(line, " %s=%s",
                                       a->u.note.fields[f].name,
                                       a->u.note.fields[f].value);
            }
            Fw_Run_Trace(env->run, "%8.3f %s %s",
                         (double)env->real_us / FW_SEC,
                         env->instances[i].self.name, line->str);
            g_string_free(line, TRUE);
        }
        Fw_Action_Free(a);
    }
    Fw_Actions_Clear(out);
}

static void
deliver_msg(struct fw_fleet_env *env, struct fw_fleet_env_delivery *d)
{
    struct fw_fleet_env_instance *inst = &env->instances[d->instance];
    const char *from = env->instances[d->from].self.name;
    struct fw_actions out;
    struct fw_msg msg;
    msgpack_unpacked u;
    gsize size;
    const char *data = g_bytes_get_data(d->msg, &size);
    size_t off = 0;
    int64_t now = Fw_FleetEnv_LocalTime(env, d->instance);

    if (!inst->up) {
        return;
    }
    Fw_Actions_Init(&out);
    msgpack_unpacked_init(&u);
    if (msgpack_unpack_next(&u, data, size, &off) != MSGPACK_UNPACK_SUCCESS ||
        Fw_Msg_Unpack(&u.data, &msg)) {
        Fw_Run_Fail(env->run, "a message could not be decoded");
    }
    else {
        if (msg.area == FW_AREA_FLEET) {
            Fw_Fleet_OnMsg(inst->fleet, from, &msg.u.fleet, now, &out);
        }
        else if (msg.area == FW_AREA_LIMIT && inst->limit) {
            Fw_Limit_OnMsg(inst->limit, env->cfg, from, &msg.u.limit, now,
                           &out);
        }
        Fw_Msg_Clear(&msg);
    }
    msgpack_unpacked_destroy(&u);
    Fw_FleetEnv_PerformActions(env, d->instance, &out);
}

/* Appends to the log. The answer is an error when the append or the answer is
 * lost. */
static void
handle_append(struct fw_fleet_env *env, struct fw_fleet_env_delivery *d)
{
    struct fw_fleet_env_delivery *back =
        schedule(env, FW_FLEET_ENV_APPENDED, d->instance);

    back->boot = d->boot;
    back->ticket = d->ticket;
    if (Fw_FleetEnv_RandBelow(env, 100) < env->loss_pct) { /* append lost */
        back->err = -EIO;
        back->at_us += APPEND_TIMEOUT_US;
        return;
    }
    if (env->log_down) {
        back->err = -EAGAIN;
        return;
    }
    back->offset = env->records->len + 1;
    for (guint i = 0; i < d->records->len; i++) {
        const char *text = g_ptr_array_index(d->records, i);
        g_ptr_array_add(env->records, g_strdup(text));
        Fw_Run_Trace(env->run, "%8.3f log %u %s",
                     (double)env->real_us / FW_SEC, env->records->len, text);
    }
    if (Fw_FleetEnv_RandBelow(env, 100) < env->loss_pct) { /* answer lost */
        back->err = -EIO;
        back->at_us += APPEND_TIMEOUT_US;
    }
}

/* Answers a read, or schedules it again while there is nothing to read. */
static void
handle_read(struct fw_fleet_env *env, struct fw_fleet_env_delivery *d)
{
    uint64_t from = MAX(d->offset, env->log_oldest);
    struct fw_fleet_env_delivery *back;

    if (!env->log_down && from > env->records->len &&
        env->real_us < d->until_us) {
        struct fw_fleet_env_delivery *hold =
            schedule(env, FW_FLEET_ENV_READ, d->instance);
        hold->boot = d->boot;
        hold->ticket = d->ticket;
        hold->offset = d->offset;
        hold->sent_us = d->sent_us;
        hold->until_us = d->until_us;
        hold->at_us = env->real_us + LONG_POLL_INTERVAL_US;
        return;
    }
    back = schedule(env, FW_FLEET_ENV_RECORDS, d->instance);
    back->boot = d->boot;
    back->ticket = d->ticket;
    back->sent_us = d->sent_us;
    back->offset = from;
    back->until_us = (int64_t)env->records->len + 1; /* end */
    if (env->log_down || Fw_FleetEnv_RandBelow(env, 100) < env->loss_pct) {
        back->err = -EIO;
        return;
    }
    back->records = g_ptr_array_new_with_free_func(g_free);
    for (uint64_t o = from; o <= env->records->len; o++) {
        g_ptr_array_add(back->records,
                        g_strdup(g_ptr_array_index(env->records, o - 1)));
    }
}

static void
deliver_log_answer(struct fw_fleet_env *env, struct fw_fleet_env_delivery *d)
{
    struct fw_fleet_env_instance *inst = &env->instances[d->instance];
    struct fw_actions out;
    int64_t now = Fw_FleetEnv_LocalTime(env, d->instance);

    if (!inst->up || !inst->roles || inst->self.boot != d->boot) {
        return;
    }
    Fw_Actions_Init(&out);
    if (d->kind == FW_FLEET_ENV_APPENDED) {
        struct fw_log_appended a = {
            .ticket = d->ticket, .err = d->err, .first_offset = d->offset};
        Fw_Roles_OnAppended(inst->roles, &a, now, &out);
    }
    else {
        struct fw_log_records r = {
            .ticket = d->ticket,
            .err = d->err,
            .sent_us = d->sent_us,
            .first_offset = d->offset,
            .oldest_offset = env->log_oldest,
            .end_offset = (uint64_t)d->until_us,
            .n = d->records ? (int)d->records->len : 0,
            .records =
                d->records ? (const char *const *)d->records->pdata : NULL,
        };
        Fw_Roles_OnRecords(inst->roles, &r, now, &out);
    }
    Fw_FleetEnv_PerformActions(env, d->instance, &out);
}

void
Fw_FleetEnv_PerformDelivery(struct fw_fleet_env *env,
                            struct fw_fleet_env_delivery *d)
{
    int to_instance =
        d->kind != FW_FLEET_ENV_APPEND && d->kind != FW_FLEET_ENV_READ;

    if (to_instance && env->instances[d->instance].up &&
        !Fw_FleetEnv_IsRunning(env, d->instance)) {
        d->at_us = env->instances[d->instance].pause_until_us;
        return;
    }
    g_ptr_array_remove(env->deliveries, d);
    switch (d->kind) {
    case FW_FLEET_ENV_MSG:
        deliver_msg(env, d);
        break;
    case FW_FLEET_ENV_APPEND:
        handle_append(env, d);
        break;
    case FW_FLEET_ENV_READ:
        handle_read(env, d);
        break;
    case FW_FLEET_ENV_APPENDED:
    case FW_FLEET_ENV_RECORDS:
        deliver_log_answer(env, d);
        break;
    }
    Fw_FleetEnv_FreeDelivery(d);
}
