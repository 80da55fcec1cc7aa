/*
 * Server selection. Functions here only read the relay's state, apart from
 * drawing random numbers.
 */
#include <string.h>

#include "decide/memory.h"
#include "decide/place_engine.h"
#include "relay/relay_internal.h"

/* Time for which a prefill engine that rejected a prompt is skipped. */
#define FW_PREFILL_BACKOFF_US (300 * FW_MSEC)
/* Fixed-point scale of the baseline policies' scores, per request. */
#define FW_BASELINE_SCORE_SCALE 1000.0
/*
 * Deducted from the prefill time of an engine in the decode engine's failure
 * domain, as a KV cache transfer between domains costs more.
 */
#define FW_SAME_DOMAIN_BONUS_US (15 * FW_MSEC)

int
Fw_Call_HasTried(const struct fw_rl_call *c, const struct fw_rl_server *s)
{
    for (int i = 0; i < c->n_tried; i++) {
        if (c->tried[i] == s->hash) {
            return 1;
        }
    }
    return 0;
}

void
Fw_Place_Load(const struct fw_relay *r, const struct fw_rl_server *s,
              int64_t now_us, struct fw_rl_load *out)
{
    struct fw_rl_load peers;

    *out = (struct fw_rl_load){.target_stage =
                                   Fw_Servers_IsChangingStage(s, now_us)
                                       ? s->target_stage
                                       : FW_RL_STAGE_NONE,
                               .running = s->running,
                               .kv_tokens = s->kv_tokens,
                               .prefill_tokens = s->prefill_tokens};
    for (int scope = 0; scope < FW_RL_SCOPES; scope++) {
        Fw_Load_GetTotal(r, s->hash, (enum fw_rl_scope)scope, &peers);
        Fw_Load_Add(out, &peers, 1);
    }
}

/* Both the route and the team may restrict the regions. */
static int
is_in_regions(const struct fw_relay *r, const struct fw_rl_server *s,
              const struct fw_rl_call *c)
{
    uint64_t region;

    if (!c->route->regions.n && !c->team_regions.n) {
        return 1;
    }
    region = Fw_Regions_OfDomain(&r->opts.regions, s->entry.domain);
    return Fw_Regions_Allow(&c->route->regions, region) &&
           Fw_Regions_Allow(&c->team_regions, region);
}

int
Fw_Place_MayRun(const struct fw_relay *r, const struct fw_rl_server *s,
                const struct fw_rl_call *c)
{
    return strcmp(s->entry.service, c->service) == 0 && is_in_regions(r, s, c);
}

double
Fw_Place_BaselineScore(struct fw_relay *r, int running)
{
    double noise = g_rand_double(r->rand);

    return r->opts.policy == FW_RL_POLICY_RANDOM ? noise : running + noise;
}

int64_t
Fw_Place_AvailableUs(struct fw_relay *r, const struct fw_rl_call *c, int n,
                     int64_t now_us)
{
    int64_t earliest = 0;
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->servers) {
        struct fw_rl_server *s = FW_LIST_ENTRY(pos, struct fw_rl_server, link);
        int64_t at;

        if (!Fw_Place_MayRun(r, s, c) ||
            s->entry.stage == FW_RL_STAGE_PREFILL) {
            continue;
        }
        at = Fw_Admission_AvailableUs(r, s, n, now_us);
        if (!at) {
            continue;
        }
        if (at <= now_us) {
            return now_us;
        }
        earliest = earliest ? MIN(earliest, at) : at;
    }
    return earliest;
}

/*
 * True during a stage change, ordered here or by a peer, that the server list
 * doesn't show yet.
 */
static int
is_changing_stage(const struct fw_rl_server *s, const struct fw_rl_load *l)
{
    return l->target_stage != FW_RL_STAGE_NONE &&
           l->target_stage != s->entry.stage;
}

/*
 * A single peer may have been partitioned from a healthy server. A server that
 * two peers could not reach is skipped without being tried here.
 */
static int
is_unreachable(const struct fw_rl_load *l)
{
    return l->n_unreachable >= 2;
}

int
Fw_Place_MayDecodeMore(const struct fw_rl_server *s,
                       const struct fw_rl_load *l,
                       const struct fw_rl_engine_spec *spec)
{
    return l->running < spec->slots && !is_changing_stage(s, l) &&
           !is_unreachable(l);
}

/*
 * Room left at @s with @c placed there: tokens of KV cache, or scaled free
 * slots under a baseline policy. Negative when @c must not be placed there.
 */
static int64_t
room_left(struct fw_relay *r, const struct fw_rl_server *s,
          const struct fw_rl_engine_spec *spec, const struct fw_rl_call *c,
          int64_t now_us)
{
    const struct fw_service_stats *stats = Fw_ServiceStats_Get(r, c->service);
    struct fw_rl_load l;

    Fw_Place_Load(r, s, now_us, &l);
    if (now_us - s->full_us < Fw_ServiceStats_FullBackoff(stats, l.running) &&
        c->kv_tokens >= s->full_tokens) {
        return -1;
    }
    if (!Fw_Place_MayDecodeMore(s, &l, spec)) {
        return -1;
    }
    if (r->opts.policy != FW_RL_POLICY_FULL) {
        return (int64_t)(FW_BASELINE_SCORE_SCALE *
                         (spec->slots - Fw_Place_BaselineScore(r, l.running)));
    }
    return spec->kv_tokens - l.kv_tokens - c->kv_tokens -
           Fw_Memory_Headroom(&c->length, c->info.tokens_out_max,
                              l.running + 1);
}

int
Fw_Place_CanDecode(const struct fw_rl_server *s, int64_t now_us)
{
    return s->entry.stage == FW_RL_STAGE_DECODE &&
           !Fw_Servers_IsChangingStage(s, now_us) &&
           Fw_Servers_IsUsable(s, now_us);
}

/** struct sample - two engines drawn at random from @n, with their scores. */
struct sample {
    int n;
    struct fw_rl_server *s[2];
    int64_t score[2];
};

/*
 * Reservoir sampling: every engine added is kept with equal probability. Under
 * the least-loaded policy the one with the highest score is kept instead.
 */
static void
sample_add(struct fw_relay *r, struct sample *drawn, struct fw_rl_server *s,
           int64_t score)
{
    int at =
        drawn->n < 2 ? drawn->n : g_rand_int_range(r->rand, 0, drawn->n + 1);

    if (r->opts.policy == FW_RL_POLICY_LEAST_LOADED) {
        at = drawn->n && score <= drawn->score[0] ? 2 : 0;
    }
    drawn->n++;
    if (at < 2) {
        drawn->s[at] = s;
        drawn->score[at] = score;
    }
}

/*
 * Index of the engine to use: under the full policy the one with the higher
 * score, ties broken at random, else the first.
 */
static int
sample_best(struct fw_relay *r, const struct sample *drawn)
{
    if (r->opts.policy != FW_RL_POLICY_FULL || drawn->n < 2) {
        return 0;
    }
    if (drawn->score[0] == drawn->score[1]) {
        return g_rand_boolean(r->rand);
    }
    return drawn->score[1] > drawn->score[0];
}

/** struct decode_speeds - how speeds count; see Fw_PlaceEngine_DecodeCost. */
struct decode_speeds {
    int are_in_force;
    double mean_gap_us;
};

static struct decode_speeds
get_decode_speeds(const struct fw_relay *r, const struct fw_rl_call *c)
{
    double rate = Fw_Speeds_MeanRate(r, c->service, FW_SPEED_DECODE);

    return (struct decode_speeds){
        .are_in_force = r->opts.policy == FW_RL_POLICY_FULL &&
                        Fw_Speeds_AreInForce(r, c->service, FW_SPEED_DECODE),
        .mean_gap_us = rate > 0 ? 1 / rate : 0};
}

/* Score of a decode engine with @left tokens free after @c. */
static int64_t
decode_score(const struct decode_speeds *speeds, const struct fw_rl_server *s,
             const struct fw_rl_call *c, int64_t left)
{
    return speeds->are_in_force
               ? (int64_t)-Fw_PlaceEngine_DecodeCost(
                     (double)left, s->speed, speeds->mean_gap_us / s->speed,
                     (double)c->route->event_gap_us)
               : left;
}

/*
 * The power of two choices: of two random engines the one with more room.
 * Instances with the same view of the load thus don't all pick one engine.
 */
struct fw_rl_server *
Fw_Place_Decode(struct fw_relay *r, const struct fw_rl_call *c, int64_t now_us)
{
    const struct fw_rl_service_rule *rule =
        Fw_Rules_Service(r->rules, c->service);
    struct decode_speeds speeds;
    struct sample drawn = {0};
    struct fw_list *pos;

    if (!rule || !rule->has_engines) {
        return NULL;
    }
    speeds = get_decode_speeds(r, c);
    FW_LIST_EACH (pos, &r->servers) {
        struct fw_rl_server *s = FW_LIST_ENTRY(pos, struct fw_rl_server, link);
        int64_t left;

        if (!Fw_Place_MayRun(r, s, c) || !Fw_Place_CanDecode(s, now_us) ||
            Fw_Call_HasTried(c, s) ||
            !Fw_Admission_MaySend(r, s, FW_RL_REQUESTS_PER_RESERVATION,
                                  now_us)) {
            continue;
        }
        left = room_left(r, s, &rule->engine, c, now_us);
        if (left >= 0) {
            sample_add(r, &drawn, s, decode_score(&speeds, s, c, left));
        }
    }
    return drawn.n ? drawn.s[sample_best(r, &drawn)] : NULL;
}

int
Fw_Place_MayReachDecode(const struct fw_relay *r, const struct fw_rl_call *c,
                        int64_t now_us)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->servers) {
        const struct fw_rl_server *s =
            FW_LIST_ENTRY(pos, struct fw_rl_server, link);

        if (Fw_Place_MayRun(r, s, c) && Fw_Place_CanDecode(s, now_us) &&
            !Fw_Call_HasTried(c, s)) {
            return 1;
        }
    }
    return 0;
}

/*
 * Expected time until @s completes the prefill of @c, with the deduction for
 * the same failure domain. Negative when @c can't be sent there.
 */
static int64_t
prefill_time_us(struct fw_relay *r, struct fw_rl_server *s,
                const struct fw_rl_call *c, int64_t now_us)
{
    struct fw_rl_load l;
    int64_t us;

    if (!Fw_Place_MayRun(r, s, c) || s->entry.stage != FW_RL_STAGE_PREFILL ||
        Fw_Servers_IsChangingStage(s, now_us) || Fw_Call_HasTried(c, s) ||
        now_us - s->full_us < FW_PREFILL_BACKOFF_US ||
        !Fw_Servers_IsUsable(s, now_us) ||
        !Fw_Admission_MaySend(r, s, 1, now_us)) {
        return -1;
    }
    Fw_Place_Load(r, s, now_us, &l);
    if (is_changing_stage(s, &l) || is_unreachable(&l)) {
        return -1;
    }
    us = Fw_ServiceStats_PrefillTime(
        Fw_ServiceStats_Get(r, c->service),
        Fw_Speeds_MeanTokens(s, l.prefill_tokens + c->info.tokens_in));
    if (c->server && strcmp(s->entry.domain, c->server->entry.domain) == 0) {
        us -= FW_SAME_DOMAIN_BONUS_US;
    }
    return MAX(us, 0);
}

/* Draws the prefill engine by speed; see decide/place_engine.h. */
static struct fw_rl_server *
draw_prefill(struct fw_relay *r, const struct fw_rl_call *c, int64_t now_us,
             int64_t *wait_us)
{
    struct fw_engine_draw drawn = {0};
    struct fw_rl_server *best;
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->servers) {
        struct fw_rl_server *s = FW_LIST_ENTRY(pos, struct fw_rl_server, link);
        int64_t us = prefill_time_us(r, s, c, now_us);

        if (us >= 0) {
            Fw_EngineDraw_Add(&drawn, s, s->speed, (double)us,
                              1 - g_rand_double(r->rand));
        }
    }
    best = Fw_EngineDraw_Best(&drawn);
    *wait_us = best ? MAX(prefill_time_us(r, best, c, now_us), 0) : 0;
    return best;
}

/*
 * Of two random engines the one that would complete first. Peers' loads are
 * known late: if every instance chose the best engine, all prompts would go
 * to it until the next digest.
 */
struct fw_rl_server *
Fw_Place_Prefill(struct fw_relay *r, const struct fw_rl_call *c,
                 int64_t now_us, int64_t *wait_us)
{
    struct sample drawn = {0};
    struct fw_list *pos;
    int at;

    if (r->opts.policy == FW_RL_POLICY_FULL &&
        Fw_Speeds_AreInForce(r, c->service, FW_SPEED_PREFILL)) {
        return draw_prefill(r, c, now_us, wait_us);
    }
    *wait_us = 0;
    FW_LIST_EACH (pos, &r->servers) {
        struct fw_rl_server *s = FW_LIST_ENTRY(pos, struct fw_rl_server, link);
        int64_t us = prefill_time_us(r, s, c, now_us);

        if (us >= 0) {
            sample_add(r, &drawn, s, -us);
        }
    }
    if (!drawn.n) {
        return NULL;
    }
    at = sample_best(r, &drawn);
    *wait_us = -drawn.score[at];
    return drawn.s[at];
}
