/*
 * Which server gets a request. Decisions only: nothing changes here.
 */
#include <string.h>

#include "decide/memory.h"
#include "relay/relay_internal.h"

/*
 * Time that a plain server of unknown speed is expected to take. Only its
 * size beside measured ones matters: unknown ones are tried early.
 */
#define FW_TOOK_GUESS_US (30.0 * FW_MSEC)
/* A failed answer costs a caller about so many times a good one's wait. */
#define FW_ERROR_WEIGHT 8.0
/* Scores differ by less than chance: equal servers share the load. */
#define FW_JITTER 0.3
/*
 * A plain server is offered what it answers within this part of the route's
 * objective: a server whose queue is full answers everybody late.
 */
#define FW_WAIT_PART 0.8
/* But always so many a slot: work of unknown length must find out. */
#define FW_LEAST_A_SLOT 1.5
/*
 * From there on fewer and fewer are let through, none at this part more. The
 * others' loads are known 75 to 150 ms late; a sharp bound would let all
 * through at one moment and none at the next.
 */
#define FW_CROWD_RAMP 0.5
/* A prefill engine that turned a prompt away is left alone for so long. */
#define FW_BUSY_US (300 * FW_MSEC)
/* Baselines rate engines by requests and chance: parts of one request. */
#define FW_BASELINE_SCALE 1000.0
/* A transfer in the same failure domain is cheaper: worth a short wait. */
#define FW_DOMAIN_BONUS_US (15 * FW_MSEC)

int
Fw_Call_Tried(const struct fw_rl_call *c, const struct fw_rl_server *s)
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
    struct fw_rl_load part;

    *out = (struct fw_rl_load){.to_stage = Fw_Servers_Switching(s, now_us)
                                               ? s->to_stage
                                               : FW_RL_STAGE_NONE,
                               .running = s->running,
                               .reserved = s->reserved,
                               .reading = s->reading};
    for (int scope = 0; scope < FW_RL_SCOPES; scope++) {
        Fw_Load_Of(r, s->hash, (enum fw_rl_scope)scope, &part);
        Fw_Load_Add(out, &part, 1);
    }
}

static int
serves(const struct fw_rl_server *s, const struct fw_rl_call *c)
{
    return strcmp(s->e.service, c->service) == 0;
}

/* The baselines' scores, for plain servers and engines alike; low is good. */
static double
baseline(struct fw_relay *r, int running)
{
    double chance = g_rand_double(r->rand);

    return r->opts.policy == FW_RL_POLICY_RANDOM ? chance : running + chance;
}

static double
plain_score(struct fw_relay *r, const struct fw_rl_server *s)
{
    double took = s->took_us > 0 ? s->took_us : FW_TOOK_GUESS_US;
    double busy = 1.0 + (double)s->running / MAX(s->e.slots, 1);

    if (r->opts.policy != FW_RL_POLICY_FULL) {
        return 1 + baseline(r, s->running);
    }
    return took * busy * busy * (1.0 + FW_ERROR_WEIGHT * s->errors) *
           (1.0 + g_rand_double_range(r->rand, 0, FW_JITTER));
}

/*
 * A server that was not reached lately is taken only when no other is left:
 * then trying is all that can be done.
 */
struct fw_rl_server *
Fw_Place_Plain(struct fw_relay *r, const struct fw_rl_call *c, int64_t now_us)
{
    struct fw_rl_server *best = NULL;
    struct fw_list *pos;
    double best_score = 0;

    FW_LIST_EACH (pos, &r->servers) {
        struct fw_rl_server *s = FW_LIST_ENTRY(pos, struct fw_rl_server, link);
        double score;

        if (!serves(s, c) || s->gone || s->e.draining) {
            continue;
        }
        score = plain_score(r, s);
        if (Fw_Call_Tried(c, s)) {
            score *= 100;
        }
        if (now_us < s->suspect_us) {
            score *= 1000;
        }
        if (!best || score < best_score) {
            best = s;
            best_score = score;
        }
    }
    return best;
}

/* Requests at @s that are answered within the objective, waits included. */
static double
bearable(const struct fw_rl_server *s, int64_t objective_us)
{
    double work = s->work_us > 0 ? s->work_us : FW_TOOK_GUESS_US;
    double a_slot = FW_WAIT_PART * (double)objective_us / work;

    return s->e.slots * MAX(a_slot, FW_LEAST_A_SLOT);
}

int
Fw_Place_IsCrowded(struct fw_relay *r, const struct fw_rl_call *c,
                   const struct fw_rl_server *s, int64_t now_us)
{
    struct fw_rl_load l;
    double most;
    double over;

    if (r->opts.policy != FW_RL_POLICY_FULL || c->route.objective_us <= 0 ||
        s->e.slots <= 0) {
        return 0;
    }
    Fw_Place_Load(r, s, now_us, &l);
    most = bearable(s, c->route.objective_us);
    over = (l.running + 1 - most) / (FW_CROWD_RAMP * most);
    return over > 0 && g_rand_double(r->rand) < over;
}

/* The instance that ordered it tells the others, before the list does. */
static int
leaving_stage(const struct fw_rl_server *s, const struct fw_rl_load *l)
{
    return l->to_stage != FW_RL_STAGE_NONE && l->to_stage != s->e.stage;
}

/*
 * One instance may be cut off from a server that is well; when two could not
 * reach it, it is down, and each further one need not find out by itself.
 */
static int
is_down(const struct fw_rl_load *l)
{
    return l->unreachable >= 2;
}

/* What stays free at @s with @c there; below zero: don't ask. */
static int64_t
room(struct fw_relay *r, const struct fw_rl_server *s,
     const struct fw_rl_engine_spec *spec, const struct fw_rl_call *c,
     int64_t now_us)
{
    const struct fw_learned *known = Fw_Learned_Of(r, c->service);
    struct fw_rl_load l;

    Fw_Place_Load(r, s, now_us, &l);
    if (now_us - s->full_us < Fw_Learned_FullTime(known, l.running) &&
        c->need >= s->full_tokens) {
        return -1;
    }
    if (l.running >= spec->slots || leaving_stage(s, &l) || is_down(&l)) {
        return -1;
    }
    if (r->opts.policy != FW_RL_POLICY_FULL) {
        return (int64_t)(FW_BASELINE_SCALE *
                         (spec->slots - baseline(r, l.running)));
    }
    return spec->kv_tokens - l.reserved - c->need -
           Fw_Memory_Spare(&c->answer, c->ask.tokens_out, l.running + 1);
}

static int
decodes(const struct fw_rl_server *s, int64_t now_us)
{
    return s->e.stage == FW_RL_STAGE_DECODE &&
           !Fw_Servers_Switching(s, now_us) && Fw_Servers_Usable(s, now_us);
}

/** struct draw - two of @n engines, drawn at random, and how good each is. */
struct draw {
    int n;
    struct fw_rl_server *s[2];
    int64_t worth[2];
};

/*
 * Each engine offered stays with the same chance, however many come, so that
 * a long list leaves none of them idle.
 */
static void
offer(struct fw_relay *r, struct draw *d, struct fw_rl_server *s,
      int64_t worth)
{
    int at = d->n < 2 ? d->n : g_rand_int_range(r->rand, 0, d->n + 1);

    if (r->opts.policy == FW_RL_POLICY_LEAST_LOADED) {
        at = d->n && worth <= d->worth[0] ? 2 : 0;
    }
    d->n++;
    if (at < 2) {
        d->s[at] = s;
        d->worth[at] = worth;
    }
}

/* Which of the two; by chance when they are as good. */
static int
better_of(struct fw_relay *r, const struct draw *d)
{
    if (r->opts.policy != FW_RL_POLICY_FULL || d->n < 2) {
        return 0;
    }
    if (d->worth[0] == d->worth[1]) {
        return g_rand_boolean(r->rand);
    }
    return d->worth[1] > d->worth[0];
}

/*
 * Of two engines drawn at random the one with more room: instances that see
 * the same figures do not all go to the same engine.
 */
struct fw_rl_server *
Fw_Place_Decode(struct fw_relay *r, const struct fw_rl_call *c, int64_t now_us)
{
    const struct fw_rl_service_rule *rule =
        Fw_Rules_Service(r->rules, c->service);
    struct draw d = {0};
    struct fw_list *pos;

    if (!rule || !rule->engines) {
        return NULL;
    }
    FW_LIST_EACH (pos, &r->servers) {
        struct fw_rl_server *s = FW_LIST_ENTRY(pos, struct fw_rl_server, link);
        int64_t left;

        if (!serves(s, c) || !decodes(s, now_us) || Fw_Call_Tried(c, s)) {
            continue;
        }
        left = room(r, s, &rule->engine, c, now_us);
        if (left >= 0) {
            offer(r, &d, s, left);
        }
    }
    return d.n ? d.s[better_of(r, &d)] : NULL;
}

/* Until @s would have read @c's prompt; negative when it can't be sent. */
static int64_t
read_time(const struct fw_relay *r, const struct fw_rl_server *s,
          const struct fw_rl_call *c, int64_t now_us)
{
    struct fw_rl_load l;
    int64_t us;

    if (!serves(s, c) || s->e.stage != FW_RL_STAGE_PREFILL ||
        Fw_Servers_Switching(s, now_us) || Fw_Call_Tried(c, s) ||
        now_us - s->full_us < FW_BUSY_US || !Fw_Servers_Usable(s, now_us)) {
        return -1;
    }
    Fw_Place_Load(r, s, now_us, &l);
    if (leaving_stage(s, &l) || is_down(&l)) {
        return -1;
    }
    us = Fw_Learned_ReadTime(Fw_Learned_Of(r, c->service),
                             l.reading + c->ask.tokens_in);
    if (c->server && strcmp(s->e.domain, c->server->e.domain) == 0) {
        us -= FW_DOMAIN_BONUS_US;
    }
    return MAX(us, 0);
}

/*
 * Of two engines drawn at random the one that would be ready first. Loads of
 * other instances are known late, so the best of all looks best to everyone,
 * and until the next digest all prompts would go to it.
 */
struct fw_rl_server *
Fw_Place_Read(struct fw_relay *r, const struct fw_rl_call *c, int64_t now_us,
              int64_t *wait_us)
{
    struct draw d = {0};
    struct fw_list *pos;
    int at;

    *wait_us = 0;
    FW_LIST_EACH (pos, &r->servers) {
        struct fw_rl_server *s = FW_LIST_ENTRY(pos, struct fw_rl_server, link);
        int64_t t = read_time(r, s, c, now_us);

        if (t >= 0) {
            offer(r, &d, s, -t);
        }
    }
    if (!d.n) {
        return NULL;
    }
    at = better_of(r, &d);
    *wait_us = -d.worth[at];
    return d.s[at];
}
