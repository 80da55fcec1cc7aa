/*
 * config-converges: replicas at the same offset have equal configurations,
 * whether they got there by log, snapshot or peer.
 * config-never-reverts: the offset of a replica never decreases.
 * no-lost-update: a change is accepted only if it is based on the current
 * version of each of its items.
 * withdrawn-key-stays: a key that is withdrawn on a replica stays withdrawn
 * there.
 */
#include "explore/p_config.h"

#include <string.h>

#include "explore/p_config_env.h"

#define TEAMS 6
#define KEYS 4
#define RECOVERY_US (60 * FW_SEC)

/**
 * struct check - the check of one property.
 * @after_append: called with each change appended; may be NULL
 * @check_replica: called for each replica after each step; may be NULL
 * @ctx: passed to both
 */
struct check {
    void (*after_append)(struct fw_config_env *env, const char *text,
                         const struct fw_change_result *res, void *ctx);
    void (*check_replica)(struct fw_config_env *env, int i, void *ctx);
    void *ctx;
};

/* Return: usually the current version of the item, else an older one, or 1 for
 * an item that does not exist. */
static uint64_t
draw_version(struct fw_config_env *env, enum fw_item_kind kind,
             const char *name)
{
    uint64_t v = Fw_Config_ItemVersion(env->reference->cfg, kind, name);

    if (Fw_ConfigEnv_RandBelow(env, 4) == 0) {
        return v ? (uint64_t)Fw_ConfigEnv_RandBelow(env, (int)v) : 1;
    }
    return v;
}

static char *
draw_item(struct fw_config_env *env)
{
    char name[FW_ITEM_NAME_MAX];
    uint64_t was;

    if (Fw_ConfigEnv_RandBelow(env, 3) > 0) {
        g_snprintf(name, sizeof(name), "t%d",
                   Fw_ConfigEnv_RandBelow(env, TEAMS));
        was = draw_version(env, FW_ITEM_TEAM, name);
        return g_strdup_printf(
            "{\"kind\":\"team\",\"name\":\"%s\",\"was\":%" G_GUINT64_FORMAT
            ",\"value\":{\"rate\":%d,\"burst\":1}}",
            name, was, 1 + Fw_ConfigEnv_RandBelow(env, 9));
    }
    g_snprintf(name, sizeof(name), "%064d", Fw_ConfigEnv_RandBelow(env, KEYS));
    was = draw_version(env, FW_ITEM_KEY, name);
    return g_strdup_printf(
        "{\"kind\":\"key\",\"name\":\"%s\",\"was\":%" G_GUINT64_FORMAT
        ",\"value\":{\"team\":\"t0\",\"withdrawn\":%s}}",
        name, was, Fw_ConfigEnv_RandBelow(env, 3) == 0 ? "true" : "false");
}

static void
append_change(struct fw_config_env *env, const struct check *c)
{
    struct fw_change_result res;
    char *item = draw_item(env);
    /* Sometimes repeats the id of an earlier change. */
    char *text = g_strdup_printf(
        "{\"v\":1,\"id\":\"c-%u\",\"who\":\"anna\",\"at\":\"t\","
        "\"items\":[%s]}",
        Fw_ConfigEnv_RandBelow(env, 20) == 0 ? 1 : env->config.records->len,
        item);

    if (env->log_down) {
        g_free(text);
        g_free(item);
        return;
    }
    Fw_ConfigEnv_Append(env, text, &res);
    Fw_Run_Trace(env->run, "%8.1f append %u %s %s",
                 (double)env->now_us / FW_SEC, env->config.records->len,
                 Fw_Change_VerdictName(res.verdict), item);
    if (c->after_append) {
        c->after_append(env, text, &res, c->ctx);
    }
    g_free(text);
    g_free(item);
}

/* Appends a copy of a snapshot part, unchanged or corrupted in one digit. */
static void
append_bad_snapshot(struct fw_config_env *env)
{
    char *part;
    char *rate;

    if (env->snapshot.records->len == 0) {
        return;
    }
    part = g_strdup(g_ptr_array_index(
        env->snapshot.records,
        Fw_ConfigEnv_RandBelow(env, (int)env->snapshot.records->len)));
    rate = strstr(part, "\"rate\":");
    if (rate && Fw_ConfigEnv_RandBelow(env, 2)) {
        rate[7] = rate[7] == '5' ? '6' : '5';
        /* A new snapshot id, so that it is not a part of the original. */
        strstr(part, "\"snap\":\"")[8] = 'x';
    }
    Fw_Run_Trace(env->run, "%8.1f duplicate or corrupt snapshot",
                 (double)env->now_us / FW_SEC);
    g_ptr_array_add(env->snapshot.records, part);
}

static void
expire_records(struct fw_config_env *env)
{
    struct fw_config_env_stream *s =
        Fw_ConfigEnv_RandBelow(env, 4) ? &env->config : &env->snapshot;
    uint64_t keep = (uint64_t)Fw_ConfigEnv_RandBelow(env, 8);

    if (s->records->len > keep) {
        s->expired = MAX(s->expired, s->records->len - keep);
        Fw_Run_Trace(env->run, "%8.1f %s keeps %" G_GUINT64_FORMAT,
                     (double)env->now_us / FW_SEC,
                     s == &env->config ? "config" : "snapshot", keep);
    }
}

static void
inject_fault(struct fw_config_env *env)
{
    int i = Fw_ConfigEnv_RandBelow(env, FW_CONFIG_ENV_REPLICAS);
    double at = (double)env->now_us / FW_SEC;

    switch (Fw_ConfigEnv_RandBelow(env, 7)) {
    case 0:
        Fw_Run_Trace(env->run, "%8.1f restart node%d", at, i);
        Fw_ConfigEnv_Start(env, i);
        break;
    case 1:
        env->replicas[i].isolated = !env->replicas[i].isolated;
        Fw_Run_Trace(env->run, "%8.1f %s node%d", at,
                     env->replicas[i].isolated ? "cut" : "join", i);
        break;
    case 2:
        env->log_down = !env->log_down;
        Fw_Run_Trace(env->run, "%8.1f log %s", at,
                     env->log_down ? "down" : "up");
        break;
    case 3:
        expire_records(env);
        break;
    case 4:
        append_bad_snapshot(env);
        break;
    default:
        Fw_Run_Trace(env->run, "%8.1f writer node%d", at, i);
        Fw_ConfigReplica_SetSnapshotWriter(env->replicas[i].replica,
                                           Fw_ConfigEnv_RandBelow(env, 4) > 0);
        break;
    }
}

static void
check_replicas(struct fw_config_env *env, const struct check *c)
{
    for (int i = 0; i < FW_CONFIG_ENV_REPLICAS; i++) {
        if (c->check_replica) {
            c->check_replica(env, i, c->ctx);
        }
        env->replicas[i].last_offset =
            Fw_ConfigReplica_Config(env->replicas[i].replica)->next_offset;
    }
}

static void
run_check(struct fw_run *run, const struct check *c)
{
    struct fw_config_env env;

    Fw_ConfigEnv_Init(&env, run);
    env.loss_pct = 10;
    for (int s = 0; s < run->steps && !run->failure[0]; s++) {
        Fw_ConfigEnv_Advance(&env, (1 + Fw_ConfigEnv_RandBelow(&env, 30)) *
                                       100 * FW_MSEC);
        check_replicas(&env, c);
        if (Fw_ConfigEnv_RandBelow(&env, 2) == 0) {
            append_change(&env, c);
        }
        if (Fw_ConfigEnv_RandBelow(&env, 4) == 0) {
            inject_fault(&env);
        }
        if (Fw_ConfigEnv_RandBelow(&env, 60) == 0) {
            for (int i = 0; i < FW_CONFIG_ENV_REPLICAS; i++) {
                env.replicas[i].isolated = 0;
            }
            env.log_down = 0;
            Fw_Run_Trace(run, "%8.1f clear faults",
                         (double)env.now_us / FW_SEC);
            Fw_ConfigEnv_Advance(&env, RECOVERY_US);
            check_replicas(&env, c);
        }
    }
    Fw_ConfigEnv_Clear(&env);
}

static void
check_digest(struct fw_config_env *env, int i, void *ctx)
{
    const struct fw_config *cfg =
        Fw_ConfigReplica_Config(env->replicas[i].replica);
    uint64_t expected =
        g_array_index(env->digests, uint64_t, cfg->next_offset - 1);

    (void)ctx;
    if (Fw_Config_Digest(cfg) != expected) {
        Fw_Run_Fail(env->run, "node%d differs at offset %" G_GUINT64_FORMAT, i,
                    cfg->next_offset);
    }
}

void
Fw_Explore_ConfigConverges(struct fw_run *run)
{
    run_check(run, &(struct check){.check_replica = check_digest});
}

static void
check_offset(struct fw_config_env *env, int i, void *ctx)
{
    uint64_t now =
        Fw_ConfigReplica_Config(env->replicas[i].replica)->next_offset;

    (void)ctx;
    if (now < env->replicas[i].last_offset) {
        Fw_Run_Fail(env->run,
                    "node%d went from offset %" G_GUINT64_FORMAT
                    " to %" G_GUINT64_FORMAT,
                    i, env->replicas[i].last_offset, now);
    }
}

void
Fw_Explore_ConfigReverts(struct fw_run *run)
{
    run_check(run, &(struct check){.check_replica = check_offset});
}

/**
 * struct versions - versions that follow from the accepted changes.
 * @last: maps "KIND NAME" of an item to the offset of its last change
 */
struct versions {
    GHashTable *last;
};

static void
check_versions(struct fw_config_env *env, const char *text,
               const struct fw_change_result *res, void *ctx)
{
    struct versions *v = ctx;
    struct fw_change ch;
    struct fw_config_error why;

    if (res->verdict != FW_CHANGE_ACCEPTED) {
        return;
    }
    Fw_Change_Parse(text, &ch, &why);
    for (int i = 0; i < ch.n; i++) {
        char *key =
            g_strdup_printf("%d %s", ch.items[i].kind, ch.items[i].name);
        uint64_t last = GPOINTER_TO_SIZE(g_hash_table_lookup(v->last, key));

        if (last != ch.items[i].expected_version) {
            Fw_Run_Fail(env->run,
                        "%s based on version %" G_GUINT64_FORMAT
                        " was accepted over version %" G_GUINT64_FORMAT,
                        ch.items[i].name, ch.items[i].expected_version, last);
        }
        g_hash_table_insert(v->last, key,
                            GSIZE_TO_POINTER(env->config.records->len));
    }
    Fw_Change_Clear(&ch);
}

void
Fw_Explore_LostUpdate(struct fw_run *run)
{
    struct versions v = {
        .last = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL)};

    run_check(run, &(struct check){.after_append = check_versions, .ctx = &v});
    g_hash_table_unref(v.last);
}

/**
 * struct withdrawn - keys that each replica has shown as withdrawn.
 * @seen: bit k is set when key k was withdrawn
 * @process: replica that @seen is about; changes when it is restarted
 */
struct withdrawn {
    unsigned seen[FW_CONFIG_ENV_REPLICAS];
    const struct fw_config_replica *process[FW_CONFIG_ENV_REPLICAS];
};

static void
check_keys(struct fw_config_env *env, int i, void *ctx)
{
    struct withdrawn *wd = ctx;
    const struct fw_config *cfg =
        Fw_ConfigReplica_Config(env->replicas[i].replica);

    if (wd->process[i] != env->replicas[i].replica ||
        env->replicas[i].last_offset == 0) {
        wd->process[i] = env->replicas[i].replica;
        wd->seen[i] = 0;
    }
    for (int k = 0; k < KEYS; k++) {
        char digest[FW_DIGEST_HEX_SIZE];
        const struct fw_key *key;

        g_snprintf(digest, sizeof(digest), "%064d", k);
        key = g_hash_table_lookup(cfg->keys, digest);
        if (key && key->withdrawn) {
            wd->seen[i] |= 1U << k;
        }
        else if (wd->seen[i] & (1U << k)) {
            Fw_Run_Fail(env->run, "node%d: key %d is valid again", i, k);
        }
    }
}

void
Fw_Explore_WithdrawnKey(struct fw_run *run)
{
    struct withdrawn wd = {.seen = {0}};

    run_check(run, &(struct check){.check_replica = check_keys, .ctx = &wd});
}
