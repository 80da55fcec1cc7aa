/* Instances, their clocks and the event loop of the simulated fleet. */
#include "explore/p_fleet_env.h"

#include <string.h>

#include "explore/p_fleet_delivery.h"

#define BOOT_STEP 1000

void
Fw_FleetEnv_Init(struct fw_fleet_env *env, struct fw_run *run, int n)
{
    memset(env, 0, sizeof(*env));
    env->run = run;
    env->n = n;
    env->real_us = FW_SEC;
    env->partitions = 1;
    env->log_oldest = 1;
    env->deliveries = g_ptr_array_new();
    env->records = g_ptr_array_new_with_free_func(g_free);
    for (int i = 0; i < n; i++) {
        struct fw_fleet_env_instance *inst = &env->instances[i];
        g_snprintf(inst->self.name, sizeof(inst->self.name), "n%d", i + 1);
        g_snprintf(inst->self.addr, sizeof(inst->self.addr), "10.0.0.%d:1",
                   i + 1);
        g_strlcpy(inst->self.domain, "d", sizeof(inst->self.domain));
        g_strlcpy(inst->self.region, "r", sizeof(inst->self.region));
        inst->offset_us = (int64_t)i * 7 * FW_SEC;
    }
}

void
Fw_FleetEnv_Clear(struct fw_fleet_env *env)
{
    for (int i = 0; i < env->n; i++) {
        if (env->instances[i].up) {
            Fw_FleetEnv_Kill(env, i);
        }
    }
    for (guint i = 0; i < env->deliveries->len; i++) {
        Fw_FleetEnv_FreeDelivery(g_ptr_array_index(env->deliveries, i));
    }
    g_ptr_array_unref(env->deliveries);
    g_ptr_array_unref(env->records);
}

gint32
Fw_FleetEnv_RandBelow(struct fw_fleet_env *env, gint32 n)
{
    return g_rand_int_range(env->run->rand, 0, n);
}

int64_t
Fw_FleetEnv_LocalTime(const struct fw_fleet_env *env, int i)
{
    const struct fw_fleet_env_instance *inst = &env->instances[i];

    return inst->offset_us + env->real_us +
           env->real_us / 1000 * inst->drift_ppm / 1000;
}

int
Fw_FleetEnv_IsRunning(const struct fw_fleet_env *env, int i)
{
    return env->instances[i].up &&
           env->real_us >= env->instances[i].pause_until_us;
}

void
Fw_FleetEnv_Start(struct fw_fleet_env *env, int i)
{
    struct fw_fleet_env_instance *inst = &env->instances[i];

    inst->self.boot += BOOT_STEP;
    Fw_Metrics_Init(&inst->metrics);
    inst->fleet =
        Fw_Fleet_New(&inst->self, (uint32_t)(inst->self.boot + (uint64_t)i),
                     &inst->metrics);
    if (env->use_roles) {
        inst->roles =
            Fw_Roles_New(&inst->self, env->partitions, env->role_wait_us);
    }
    if (env->cfg) {
        inst->limit = Fw_Limit_New(&inst->self, inst->fleet, inst->roles,
                                   (uint32_t)(inst->self.boot + (uint64_t)i),
                                   &inst->metrics);
    }
    inst->up = 1;
    inst->draining = 0;
    inst->pause_until_us = 0;
    inst->wake_us = Fw_FleetEnv_LocalTime(env, i);
    Fw_FleetEnv_PublishInstances(env);
}

void
Fw_FleetEnv_Kill(struct fw_fleet_env *env, int i)
{
    struct fw_fleet_env_instance *inst = &env->instances[i];

    g_clear_pointer(&inst->limit, Fw_Limit_Free);
    g_clear_pointer(&inst->roles, Fw_Roles_Free);
    g_clear_pointer(&inst->fleet, Fw_Fleet_Free);
    inst->up = 0;
}

void
Fw_FleetEnv_Pause(struct fw_fleet_env *env, int i, int64_t us)
{
    env->instances[i].pause_until_us = env->real_us + us;
}

void
Fw_FleetEnv_Drain(struct fw_fleet_env *env, int i)
{
    struct fw_fleet_env_instance *inst = &env->instances[i];
    struct fw_actions out;
    int64_t now = Fw_FleetEnv_LocalTime(env, i);

    Fw_Actions_Init(&out);
    inst->draining = 1;
    Fw_Fleet_Drain(inst->fleet, now, &out);
    if (inst->limit) {
        Fw_Limit_Drain(inst->limit, now, &out);
    }
    if (inst->roles) {
        Fw_Roles_Drain(inst->roles, inst->fleet, now, &out);
    }
    Fw_FleetEnv_PerformActions(env, i, &out);
}

void
Fw_FleetEnv_SetLinkDown(struct fw_fleet_env *env, int i, int j, int down)
{
    env->instances[i].link_down[j] = down;
    env->instances[j].link_down[i] = down;
}

void
Fw_FleetEnv_PublishInstances(struct fw_fleet_env *env)
{
    struct fw_registry_entry entries[FW_FLEET_ENV_INSTANCES_MAX];
    struct fw_registry_snapshot listed = {.entries = entries};
    struct fw_actions out;

    memset(entries, 0, sizeof(entries));
    for (int i = 0; i < env->n; i++) {
        const struct fw_self *self = &env->instances[i].self;
        struct fw_registry_entry *e = &entries[listed.n];
        if (!env->instances[i].up) {
            continue;
        }
        listed.n++;
        e->kind = FW_REGISTRY_INSTANCE;
        g_strlcpy(e->name, self->name, sizeof(e->name));
        g_strlcpy(e->addr, self->addr, sizeof(e->addr));
        g_strlcpy(e->domain, self->domain, sizeof(e->domain));
        g_strlcpy(e->region, self->region, sizeof(e->region));
    }
    for (int i = 0; i < env->n; i++) {
        if (!Fw_FleetEnv_IsRunning(env, i)) {
            continue;
        }
        Fw_Actions_Init(&out);
        Fw_Fleet_OnListed(env->instances[i].fleet, &listed,
                          Fw_FleetEnv_LocalTime(env, i), &out);
        Fw_FleetEnv_PerformActions(env, i, &out);
    }
}

/* Return: real time of the next tick of instance @i, INT64_MAX for none. */
static int64_t
next_tick_us(const struct fw_fleet_env *env, int i)
{
    const struct fw_fleet_env_instance *inst = &env->instances[i];
    int64_t ahead;

    if (!inst->up || inst->wake_us == INT64_MAX) {
        return INT64_MAX;
    }
    ahead = MAX(inst->wake_us - Fw_FleetEnv_LocalTime(env, i), 0);
    ahead += ahead / 1000 + FW_MSEC;
    return MAX(env->real_us + ahead, inst->pause_until_us);
}

static void
tick_instance(struct fw_fleet_env *env, int i)
{
    struct fw_fleet_env_instance *inst = &env->instances[i];
    struct fw_actions out;
    int64_t now = Fw_FleetEnv_LocalTime(env, i);

    Fw_Actions_Init(&out);
    inst->wake_us = INT64_MAX;
    Fw_Fleet_Tick(inst->fleet, now, &out);
    if (inst->roles) {
        Fw_Roles_Tick(inst->roles, inst->fleet, now, &out);
    }
    if (inst->limit) {
        Fw_Limit_Tick(inst->limit, env->cfg, now, &out);
    }
    Fw_FleetEnv_PerformActions(env, i, &out);
}

/* Performs the next delivery or tick up to @until. Return: 0 for none. */
static int
perform_next(struct fw_fleet_env *env, int64_t until)
{
    struct fw_fleet_env_delivery *d = Fw_FleetEnv_NextDelivery(env);
    int64_t at = d ? d->at_us : INT64_MAX;
    int instance = -1;

    for (int i = 0; i < env->n; i++) {
        if (next_tick_us(env, i) < at) {
            at = next_tick_us(env, i);
            instance = i;
        }
    }
    if (at > until) {
        return 0;
    }
    env->real_us = MAX(env->real_us, at);
    if (env->check) {
        /* An instance that resumes may act before it receives anything. */
        env->check(env, env->arg);
    }
    if (instance >= 0) {
        tick_instance(env, instance);
    }
    else {
        Fw_FleetEnv_PerformDelivery(env, d);
    }
    if (env->check) {
        env->check(env, env->arg);
    }
    return 1;
}

void
Fw_FleetEnv_Advance(struct fw_fleet_env *env, int64_t us)
{
    int64_t until = env->real_us + us;

    while (!env->run->failure[0] && perform_next(env, until)) {
    }
    env->real_us = until;
}
