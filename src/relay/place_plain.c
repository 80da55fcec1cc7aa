/* Selection of servers for plain requests, and the bound of their queues. */
#include "relay/relay_internal.h"

/*
 * Response time assumed for a plain server that has not answered yet. Short,
 * so that a new server is tried early.
 */
#define FW_DEFAULT_RESPONSE_US (30.0 * FW_MSEC)
/*
 * Weight of a server's error rate in its score: a failure costs a caller about
 * this many times the wait for a good response.
 */
#define FW_ERROR_RATE_WEIGHT 8.0
/* Relative random spread of scores: spreads load over similar servers. */
#define FW_SCORE_JITTER_FRACTION 0.3
/*
 * A plain server is given as many requests as it can answer within this
 * fraction of the route's objective; beyond that all its answers are late.
 */
#define FW_OBJECTIVE_FRACTION 0.8
/*
 * Lower bound of that limit, for requests that take longer than the objective
 * even on an idle server.
 */
#define FW_MIN_REQUESTS_PER_SLOT 1.5
/*
 * Above the limit requests are rejected with a probability that reaches 1 at
 * this fraction over it. Peers' loads are known 75 to 150 ms late, so a hard
 * limit would oscillate between admitting all requests and none.
 */
#define FW_OVERLOAD_RAMP_FRACTION 0.5

static double
plain_score(struct fw_relay *r, const struct fw_rl_server *s)
{
    double response_us =
        s->latency_us > 0 ? s->latency_us : FW_DEFAULT_RESPONSE_US;
    double load_factor = 1.0 + (double)s->running / MAX(s->entry.slots, 1);

    if (r->opts.policy != FW_RL_POLICY_FULL) {
        return 1 + Fw_Place_BaselineScore(r, s->running);
    }
    return response_us * load_factor * load_factor *
           (1.0 + FW_ERROR_RATE_WEIGHT * s->error_rate) *
           (1.0 + g_rand_double_range(r->rand, 0, FW_SCORE_JITTER_FRACTION));
}

/*
 * Servers that this request has tried, or that could not be reached lately,
 * are penalized rather than excluded: they are used when no other is left.
 */
struct fw_rl_server *
Fw_Place_Plain(struct fw_relay *r, const struct fw_rl_call *c, int64_t now_us)
{
    struct fw_rl_server *best = NULL;
    struct fw_list *pos;
    double best_score = 0;

    if (Fw_PlaceSpeed_IsPlainInForce(r, c->service, now_us)) {
        return Fw_PlaceSpeed_Plain(r, c, now_us);
    }
    FW_LIST_EACH (pos, &r->servers) {
        struct fw_rl_server *s = FW_LIST_ENTRY(pos, struct fw_rl_server, link);
        double score;

        if (!Fw_Place_MayRun(r, s, c) ||
            !Fw_Admission_MaySend(r, s, 1, now_us)) {
            continue;
        }
        score = plain_score(r, s);
        if (Fw_Call_HasTried(c, s)) {
            score *= 100;
        }
        if (now_us < s->backoff_until_us) {
            score *= 1000;
        }
        if (!best || score < best_score) {
            best = s;
            best_score = score;
        }
    }
    return best;
}

/* Concurrent requests that @s can answer within the objective. */
static double
max_running(const struct fw_rl_server *s, int64_t objective_us)
{
    double response_us =
        s->service_us > 0 ? s->service_us : FW_DEFAULT_RESPONSE_US;
    double per_slot =
        FW_OBJECTIVE_FRACTION * (double)objective_us / response_us;

    return s->entry.slots * MAX(per_slot, FW_MIN_REQUESTS_PER_SLOT);
}

int
Fw_Place_IsOverloaded(struct fw_relay *r, const struct fw_rl_call *c,
                      const struct fw_rl_server *s, int64_t now_us)
{
    struct fw_rl_load l;
    double limit;
    double reject_probability;

    if (r->opts.policy != FW_RL_POLICY_FULL || c->route->objective_us <= 0 ||
        s->entry.slots <= 0) {
        return 0;
    }
    Fw_Place_Load(r, s, now_us, &l);
    limit = max_running(s, c->route->objective_us);
    reject_probability =
        (l.running + 1 - limit) / (FW_OVERLOAD_RAMP_FRACTION * limit);
    return reject_probability > 0 &&
           g_rand_double(r->rand) < reject_probability;
}
