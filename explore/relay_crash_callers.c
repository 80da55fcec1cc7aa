#include <string.h>

#include "explore/relay_crash_env.h"

/* Part of that time after which sound requests are counted. */
#define FW_WARMUP_PART 3
/* Sound requests are counted from this time after the first crashes on. */
#define FW_SETTLE_US (1 * FW_SEC)
/* Hashes of parts. */
#define FW_PART_BASE 1
#define FW_PART_DOCUMENT 100
#define FW_PART_CULPRIT 200
#define FW_PART_OWN 1000
/* Hash of all requests that differ in their prompts only. */
#define FW_SAME_BODY 300

int
Fw_CrashEnv_IsInTouch(const struct crash_env *env, int i)
{
    return Fw_RelayFleet_IsRunning(&env->fleet, i) &&
           env->fleet.now_us - env->disturbed_us[i] >= FW_STABLE_US;
}

static enum phase
current_phase(const struct crash_env *env, int i)
{
    int64_t elapsed_us = env->fleet.now_us - env->start_us;
    int64_t after_us = env->onset_us + FW_SETTLE_US;

    if (elapsed_us < env->onset_us) {
        return elapsed_us >= env->onset_us / FW_WARMUP_PART ? FW_PHASE_BEFORE
                                                            : FW_PHASE_NONE;
    }
    for (int b = 0; b < env->n_culprits; b++) {
        if (!env->culprits[b].bound_us) {
            return FW_PHASE_NONE;
        }
        after_us = MAX(after_us, env->culprits[b].bound_us + FW_STABLE_US -
                                     env->start_us);
    }
    return elapsed_us >= after_us && Fw_CrashEnv_IsInTouch(env, i)
               ? FW_PHASE_AFTER
               : FW_PHASE_NONE;
}

static void
set_parts(struct crash_env *env, int culprit, struct fw_rl_request_info *info)
{
    uint64_t own = FW_PART_OWN + env->requests->len;
    uint64_t document = FW_PART_DOCUMENT + (uint64_t)Fw_RelayFleet_RandBelow(
                                               &env->fleet, FW_DOCUMENTS);
    uint64_t bad = FW_PART_CULPRIT + (uint64_t)MAX(culprit, 0);

    info->parts[0] = FW_PART_BASE;
    info->parts[1] = document;
    info->parts[2] = own;
    info->n_parts = 3;
    info->fingerprint = env->same_body ? FW_SAME_BODY : own;
    if (culprit == FW_NO_CULPRIT) {
        return;
    }
    switch (env->culprits[culprit].kind) {
    case FW_MIDDLE_PART:
        info->parts[1] = bad;
        break;
    case FW_FIRST_PART:
        info->parts[0] = bad;
        break;
    default:
        info->fingerprint = bad;
        info->parts[1] = FW_PART_DOCUMENT;
        info->parts[2] = bad;
        break;
    }
}

void
Fw_CrashEnv_SendRequest(struct crash_env *env, int culprit)
{
    struct fleet *fleet = &env->fleet;
    int i = Fw_RelayFleet_RandBelow(fleet, fleet->n);
    char text[24];
    struct fw_rl_request_info info = {.tokens_in = 1000,
                                      .tokens_out_max = 500,
                                      .tokens_out_hint = -1,
                                      .last_event_id = -1};
    struct request q = {.culprit = culprit, .sent_us = fleet->now_us};
    uint64_t call = env->requests->len;

    if (fleet->now_us < env->favoured_until_us &&
        Fw_RelayFleet_RandBelow(fleet, 10)) {
        i = env->favoured;
    }
    if (!Fw_RelayFleet_IsRunning(fleet, i)) {
        return;
    }
    if (culprit == FW_NO_CULPRIT) {
        q.phase = current_phase(env, i);
        env->sent[q.phase]++;
    }
    set_parts(env, culprit, &info);
    g_array_append_val(env->requests, q);
    info.host = "h";
    info.path = "/gen/x";
    g_snprintf(text, sizeof(text), "%d", (int)call);
    info.id = text;
    Fw_Relay_Open(fleet->instances[i].relay, call, &info,
                  Fw_RelayFleet_Now(fleet, i), &fleet->instances[i].acts);
    Fw_CrashEnv_ApplyActions(env, i);
}
