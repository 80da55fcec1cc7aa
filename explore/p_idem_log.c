/* Simulated log: it can be down and lose, drop or delay appends. */
#include <errno.h>

#include "explore/p_idem_delivery.h"

#define FW_APPEND_DELAY_US (8 * FW_SEC)
#define FW_APPEND_TIMEOUT_US (5 * FW_SEC)

static void
store_records(struct fw_idem_env *env, const struct fw_idem_env_delivery *d)
{
    GPtrArray *records = env->log.records[d->partition];

    for (int i = 0; i < d->n; i++) {
        g_ptr_array_add(records, g_strdup(d->records[i]));
    }
    if ((int)records->len > env->log.retain_records) {
        guint drop = records->len - (guint)env->log.retain_records;

        g_ptr_array_remove_range(records, 0, drop);
        env->log.oldest[d->partition] += drop;
    }
}

void
Fw_IdemEnv_HandleAppend(struct fw_idem_env *env,
                        struct fw_idem_env_delivery *d)
{
    struct fw_idem_env_log *log = &env->log;
    uint64_t first =
        log->oldest[d->partition] + log->records[d->partition]->len;
    struct fw_idem_env_delivery *back;

    if (d->err) { /* delayed; its sender was already answered */
        store_records(env, d);
        return;
    }
    log->appends++;
    back = Fw_IdemEnv_Schedule(env, FW_IDEM_ENV_APPENDED, d->instance,
                               FW_IDEM_ENV_HOP_US);
    back->boot = d->boot;
    back->ticket = d->ticket;
    back->partition = d->partition;
    back->first = first;
    if (log->down) {
        back->err = -EAGAIN;
    }
    else if (log->lose_answers > 0) {
        log->lose_answers--;
        back->err = -EIO;
        back->at_us += FW_APPEND_TIMEOUT_US;
        store_records(env, d);
    }
    else if (log->drop_appends > 0) {
        log->drop_appends--;
        back->err = -EIO;
    }
    else if (log->delay_appends > 0) {
        struct fw_idem_env_delivery *again = Fw_IdemEnv_Schedule(
            env, FW_IDEM_ENV_APPEND, d->instance, FW_APPEND_DELAY_US);

        log->delay_appends--;
        back->err = -EIO;
        again->partition = d->partition;
        again->n = d->n;
        again->records = g_steal_pointer(&d->records);
        again->err = 1;
    }
    else {
        store_records(env, d);
    }
}

void
Fw_IdemEnv_HandleRead(struct fw_idem_env *env,
                      const struct fw_idem_env_delivery *d)
{
    struct fw_idem_env_log *log = &env->log;
    GPtrArray *records = log->records[d->partition];
    struct fw_idem_env_delivery *back = Fw_IdemEnv_Schedule(
        env, FW_IDEM_ENV_RECORDS, d->instance, FW_IDEM_ENV_HOP_US);

    back->boot = d->boot;
    back->ticket = d->ticket;
    back->partition = d->partition;
    back->sent_us = d->sent_us;
    back->err = log->down ? -EAGAIN : 0;
    back->oldest = log->oldest[d->partition];
    back->end = back->oldest + records->len;
    back->first = CLAMP(d->from, back->oldest, back->end);
    back->n = (int)MIN((uint64_t)d->max_records, back->end - back->first);
    back->records = g_new0(char *, back->n + 1);
    for (int i = 0; i < back->n; i++) {
        back->records[i] = g_strdup(g_ptr_array_index(
            records, (guint)(back->first - back->oldest) + (guint)i));
    }
}
