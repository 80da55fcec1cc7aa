#include "explore/p_config_env.h"

#include <errno.h>
#include <string.h>

#define STEP_US (100 * FW_MSEC)

int
Fw_ConfigEnv_Below(struct fw_config_env *w, int n)
{
    return g_rand_int_range(w->run->rand, 0, n);
}

static void
note_digest(struct fw_config_env *w)
{
    uint64_t d = Fw_Config_Digest(w->right->cfg);

    g_array_append_val(w->digests, d);
}

void
Fw_ConfigEnv_Init(struct fw_config_env *w, struct fw_run *run)
{
    *w = (struct fw_config_env){.run = run, .now = FW_SEC};
    w->config.records = g_ptr_array_new_with_free_func(g_free);
    w->snapshot.records = g_ptr_array_new_with_free_func(g_free);
    w->right = Fw_ConfigState_New();
    w->digests = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    note_digest(w);
    for (int i = 0; i < FW_CONFIG_ENV_FOLDS; i++) {
        Fw_ConfigEnv_Start(w, i);
    }
}

void
Fw_ConfigEnv_Clear(struct fw_config_env *w)
{
    for (int i = 0; i < FW_CONFIG_ENV_FOLDS; i++) {
        Fw_ConfigReplica_Free(w->folds[i].fold);
    }
    Fw_ConfigState_Free(w->right);
    g_array_unref(w->digests);
    g_ptr_array_unref(w->config.records);
    g_ptr_array_unref(w->snapshot.records);
}

void
Fw_ConfigEnv_Start(struct fw_config_env *w, int i)
{
    char name[16];

    g_snprintf(name, sizeof(name), "fold%d", i);
    Fw_ConfigReplica_Free(w->folds[i].fold);
    w->folds[i] = (struct fw_config_env_fold){
        .fold = Fw_ConfigReplica_New(name, ++w->starts, NULL, w->now)};
}

void
Fw_ConfigEnv_Append(struct fw_config_env *w, const char *text,
                    struct fw_change_result *res)
{
    g_ptr_array_add(w->config.records, g_strdup(text));
    Fw_ConfigState_Apply(w->right, text, res);
    note_digest(w);
}

static struct fw_config_env_stream *
stream_of(struct fw_config_env *w, const char *name)
{
    return strcmp(name, FW_STREAM_CONFIG) == 0 ? &w->config : &w->snapshot;
}

static void
carry(struct fw_config_env *w, int i, struct fw_actions *out);

static void
keep_read(struct fw_config_env *w, int i, const struct fw_log_read *read)
{
    for (int k = 0; k < FW_CONFIG_ENV_READS; k++) {
        struct fw_config_env_read *r = &w->folds[i].reads[k];

        if (!r->open) {
            *r = (struct fw_config_env_read){
                .read = *read, .sent_us = w->now, .open = 1};
            return;
        }
    }
}

static void
append(struct fw_config_env *w, int i, const struct fw_log_append *p)
{
    struct fw_config_env_stream *s = stream_of(w, p->stream);
    struct fw_log_appended done = {.ticket = p->ticket,
                                   .first_offset = s->records->len + 1};
    struct fw_actions out;

    if (w->down || w->folds[i].cut) {
        done.err = -EAGAIN;
    }
    for (int k = 0; k < p->n && !done.err; k++) {
        g_ptr_array_add(s->records, g_strdup(p->records[k]));
    }
    if (!done.err && Fw_ConfigEnv_Below(w, 100) < w->lose_pct) {
        done.err = -EIO;
    }
    Fw_Actions_Init(&out);
    Fw_ConfigReplica_OnAppended(w->folds[i].fold, &done, w->now, &out);
    carry(w, i, &out);
}

static void
send_msg(struct fw_config_env *w, int i, const struct fw_peer_send *p)
{
    int to = p->to[4] - '0';
    char from[16];
    struct fw_actions out;

    if (w->folds[i].cut || w->folds[to].cut ||
        Fw_ConfigEnv_Below(w, 100) < w->lose_pct) {
        return;
    }
    g_snprintf(from, sizeof(from), "fold%d", i);
    Fw_Actions_Init(&out);
    Fw_ConfigReplica_OnMsg(w->folds[to].fold, from, "addr", &p->msg.u.config,
                           w->now, &out);
    carry(w, to, &out);
}

static void
carry(struct fw_config_env *w, int i, struct fw_actions *out)
{
    struct fw_action *a;

    while ((a = Fw_Actions_Pop(out))) {
        switch (a->kind) {
        case FW_ACT_LOG_READ:
            keep_read(w, i, &a->u.read);
            break;
        case FW_ACT_LOG_APPEND:
            append(w, i, &a->u.append);
            break;
        case FW_ACT_PEER_SEND:
            send_msg(w, i, &a->u.send);
            break;
        default:
            break;
        }
        Fw_Action_Free(a);
    }
}

static void
answer(struct fw_config_env *w, int i, struct fw_config_env_read *p)
{
    const struct fw_config_env_stream *s = stream_of(w, p->read.stream);
    struct fw_log_records r = {.ticket = p->read.ticket,
                               .sent_us = p->sent_us,
                               .oldest_offset = s->gone + 1,
                               .end_offset = s->records->len + 1};
    struct fw_actions out;

    if (w->down || w->folds[i].cut ||
        Fw_ConfigEnv_Below(w, 100) < w->lose_pct) {
        r.err = -EIO;
    }
    p->open = 0;
    r.first_offset =
        MIN(MAX(p->read.from_offset, r.oldest_offset), r.end_offset);
    r.n =
        (int)MIN((uint64_t)p->read.max_records, r.end_offset - r.first_offset);
    r.records = (const char *const *)s->records->pdata + (r.first_offset - 1);
    Fw_Actions_Init(&out);
    Fw_ConfigReplica_OnRecords(w->folds[i].fold, &r, w->now, &out);
    carry(w, i, &out);
}

static void
serve(struct fw_config_env *w, int i)
{
    for (int k = 0; k < FW_CONFIG_ENV_READS; k++) {
        struct fw_config_env_read *p = &w->folds[i].reads[k];
        const struct fw_config_env_stream *s = stream_of(w, p->read.stream);

        if (p->open && (w->down || w->folds[i].cut ||
                        p->read.from_offset <= s->records->len ||
                        w->now >= p->sent_us + p->read.wait_us)) {
            answer(w, i, p);
        }
    }
}

static void
ask_peer(struct fw_config_env *w, int i)
{
    struct fw_config_replica *f = w->folds[i].fold;
    struct fw_actions out;
    char name[16];
    int peer = (i + 1 + Fw_ConfigEnv_Below(w, FW_CONFIG_ENV_FOLDS - 1)) %
               FW_CONFIG_ENV_FOLDS;

    if (!Fw_ConfigReplica_NeedsPeer(f, w->now)) {
        return;
    }
    g_snprintf(name, sizeof(name), "fold%d", peer);
    Fw_Actions_Init(&out);
    Fw_ConfigReplica_RequestFromPeer(f, name, "addr", w->now, &out);
    carry(w, i, &out);
}

void
Fw_ConfigEnv_Advance(struct fw_config_env *w, int64_t us)
{
    int64_t until = w->now + us;

    while (w->now < until) {
        w->now += STEP_US;
        for (int i = 0; i < FW_CONFIG_ENV_FOLDS; i++) {
            struct fw_actions out;

            ask_peer(w, i);
            Fw_Actions_Init(&out);
            Fw_ConfigReplica_Tick(w->folds[i].fold, w->now, &out);
            carry(w, i, &out);
            serve(w, i);
        }
    }
}
