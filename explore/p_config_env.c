/* Simulated log and network of the replicas; only log reads take time. */
#include "explore/p_config_env.h"

#include <errno.h>
#include <string.h>

#define STEP_US (100 * FW_MSEC)

int
Fw_ConfigEnv_RandBelow(struct fw_config_env *env, int n)
{
    return g_rand_int_range(env->run->rand, 0, n);
}

static void
append_digest(struct fw_config_env *env)
{
    uint64_t d = Fw_Config_Digest(env->reference->cfg);

    g_array_append_val(env->digests, d);
}

void
Fw_ConfigEnv_Init(struct fw_config_env *env, struct fw_run *run)
{
    *env = (struct fw_config_env){.run = run, .now_us = FW_SEC};
    env->config.records = g_ptr_array_new_with_free_func(g_free);
    env->snapshot.records = g_ptr_array_new_with_free_func(g_free);
    env->reference = Fw_ConfigState_New();
    env->digests = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    append_digest(env);
    for (int i = 0; i < FW_CONFIG_ENV_REPLICAS; i++) {
        Fw_ConfigEnv_Start(env, i);
    }
}

void
Fw_ConfigEnv_Clear(struct fw_config_env *env)
{
    for (int i = 0; i < FW_CONFIG_ENV_REPLICAS; i++) {
        Fw_ConfigReplica_Free(env->replicas[i].replica);
    }
    Fw_ConfigState_Free(env->reference);
    g_array_unref(env->digests);
    g_ptr_array_unref(env->config.records);
    g_ptr_array_unref(env->snapshot.records);
}

void
Fw_ConfigEnv_Start(struct fw_config_env *env, int i)
{
    char name[16];

    g_snprintf(name, sizeof(name), "node%d", i);
    Fw_ConfigReplica_Free(env->replicas[i].replica);
    env->replicas[i] = (struct fw_config_env_replica){
        .replica =
            Fw_ConfigReplica_New(name, ++env->starts, NULL, env->now_us)};
}

void
Fw_ConfigEnv_Append(struct fw_config_env *env, const char *text,
                    struct fw_change_result *res)
{
    g_ptr_array_add(env->config.records, g_strdup(text));
    Fw_ConfigState_Apply(env->reference, text, res);
    append_digest(env);
}

static struct fw_config_env_stream *
get_stream(struct fw_config_env *env, const char *name)
{
    return strcmp(name, FW_STREAM_CONFIG) == 0 ? &env->config : &env->snapshot;
}

static void
perform_actions(struct fw_config_env *env, int i, struct fw_actions *out);

/* Queues the read; it is dropped when too many are open. */
static void
queue_read(struct fw_config_env *env, int i, const struct fw_log_read *read)
{
    for (int k = 0; k < FW_CONFIG_ENV_READS_MAX; k++) {
        struct fw_config_env_read *r = &env->replicas[i].reads[k];

        if (!r->open) {
            *r = (struct fw_config_env_read){
                .read = *read, .sent_us = env->now_us, .open = 1};
            return;
        }
    }
}

static void
append_records(struct fw_config_env *env, int i, const struct fw_log_append *p)
{
    struct fw_config_env_stream *s = get_stream(env, p->stream);
    struct fw_log_appended done = {.ticket = p->ticket,
                                   .first_offset = s->records->len + 1};
    struct fw_actions out;

    if (env->log_down || env->replicas[i].isolated) {
        done.err = -EAGAIN;
    }
    for (int k = 0; k < p->n && !done.err; k++) {
        g_ptr_array_add(s->records, g_strdup(p->records[k]));
    }
    if (!done.err && Fw_ConfigEnv_RandBelow(env, 100) < env->loss_pct) {
        done.err = -EIO;
    }
    Fw_Actions_Init(&out);
    Fw_ConfigReplica_OnAppended(env->replicas[i].replica, &done, env->now_us,
                                &out);
    perform_actions(env, i, &out);
}

static void
send_msg(struct fw_config_env *env, int i, const struct fw_peer_send *p)
{
    int to = p->to[4] - '0';
    char from[16];
    struct fw_actions out;

    if (env->replicas[i].isolated || env->replicas[to].isolated ||
        Fw_ConfigEnv_RandBelow(env, 100) < env->loss_pct) {
        return;
    }
    g_snprintf(from, sizeof(from), "node%d", i);
    Fw_Actions_Init(&out);
    Fw_ConfigReplica_OnMsg(env->replicas[to].replica, from, "addr",
                           &p->msg.u.config, env->now_us, &out);
    perform_actions(env, to, &out);
}

static void
perform_actions(struct fw_config_env *env, int i, struct fw_actions *out)
{
    struct fw_action *a;

    while ((a = Fw_Actions_Pop(out))) {
        switch (a->kind) {
        case FW_ACT_LOG_READ:
            queue_read(env, i, &a->u.read);
            break;
        case FW_ACT_LOG_APPEND:
            append_records(env, i, &a->u.append);
            break;
        case FW_ACT_PEER_SEND:
            send_msg(env, i, &a->u.send);
            break;
        default:
            break;
        }
        Fw_Action_Free(a);
    }
}

static void
answer_read(struct fw_config_env *env, int i, struct fw_config_env_read *p)
{
    const struct fw_config_env_stream *s = get_stream(env, p->read.stream);
    struct fw_log_records r = {.ticket = p->read.ticket,
                               .sent_us = p->sent_us,
                               .oldest_offset = s->expired + 1,
                               .end_offset = s->records->len + 1};
    struct fw_actions out;

    if (env->log_down || env->replicas[i].isolated ||
        Fw_ConfigEnv_RandBelow(env, 100) < env->loss_pct) {
        r.err = -EIO;
    }
    p->open = 0;
    r.first_offset =
        MIN(MAX(p->read.from_offset, r.oldest_offset), r.end_offset);
    r.n =
        (int)MIN((uint64_t)p->read.max_records, r.end_offset - r.first_offset);
    r.records = (const char *const *)s->records->pdata + (r.first_offset - 1);
    Fw_Actions_Init(&out);
    Fw_ConfigReplica_OnRecords(env->replicas[i].replica, &r, env->now_us,
                               &out);
    perform_actions(env, i, &out);
}

/* Answers the reads of a replica that have records or have waited long
 * enough; a log that is down answers at once. */
static void
serve_reads(struct fw_config_env *env, int i)
{
    for (int k = 0; k < FW_CONFIG_ENV_READS_MAX; k++) {
        struct fw_config_env_read *p = &env->replicas[i].reads[k];
        const struct fw_config_env_stream *s = get_stream(env, p->read.stream);

        if (p->open && (env->log_down || env->replicas[i].isolated ||
                        p->read.from_offset <= s->records->len ||
                        env->now_us >= p->sent_us + p->read.wait_us)) {
            answer_read(env, i, p);
        }
    }
}

static void
request_from_peer(struct fw_config_env *env, int i)
{
    struct fw_config_replica *replica = env->replicas[i].replica;
    struct fw_actions out;
    char name[16];
    int peer =
        (i + 1 + Fw_ConfigEnv_RandBelow(env, FW_CONFIG_ENV_REPLICAS - 1)) %
        FW_CONFIG_ENV_REPLICAS;

    if (!Fw_ConfigReplica_NeedsPeer(replica, env->now_us)) {
        return;
    }
    g_snprintf(name, sizeof(name), "node%d", peer);
    Fw_Actions_Init(&out);
    Fw_ConfigReplica_RequestFromPeer(replica, name, "addr", env->now_us, &out);
    perform_actions(env, i, &out);
}

void
Fw_ConfigEnv_Advance(struct fw_config_env *env, int64_t us)
{
    int64_t until = env->now_us + us;

    while (env->now_us < until) {
        env->now_us += STEP_US;
        for (int i = 0; i < FW_CONFIG_ENV_REPLICAS; i++) {
            struct fw_actions out;

            request_from_peer(env, i);
            Fw_Actions_Init(&out);
            Fw_ConfigReplica_Tick(env->replicas[i].replica, env->now_us, &out);
            perform_actions(env, i, &out);
            serve_reads(env, i);
        }
    }
}
