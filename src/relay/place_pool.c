/* Capacity of a service's engines, summed for all instances. */
#include <math.h>

#include "decide/memory.h"
#include "relay/relay_internal.h"

/* Memory left at @s for @c beside @n others that use @used tokens. */
static int64_t
memory_left(const struct fw_rl_engine_spec *spec, const struct fw_rl_call *c,
            int64_t used, int n)
{
    return spec->kv_tokens - used -
           Fw_Memory_Headroom(&c->length, c->info.tokens_out_max, n + 1);
}

static void
add_decode_engine(struct fw_relay *r, struct fw_rl_server *s,
                  const struct fw_rl_engine_spec *spec,
                  const struct fw_rl_call *c, double unit, int64_t now_us,
                  struct fw_rl_pool *pool)
{
    struct fw_rl_load l;
    double fit;

    Fw_Place_Load(r, s, now_us, &l);
    pool->used_tokens += (double)l.kv_tokens;
    pool->running += l.running;
    if (now_us - s->full_us < r->opts.digest_period_us ||
        !Fw_Place_MayDecodeMore(s, &l, spec) ||
        !Fw_Admission_MaySend(r, s, FW_RL_REQUESTS_PER_RESERVATION, now_us)) {
        return;
    }
    fit = (double)memory_left(spec, c, l.kv_tokens, l.running) / unit;
    pool->free_tokens += floor(MAX(fit, 0)) * unit;
    pool->free_slots += spec->slots - l.running;
}

void
Fw_Place_Pool(struct fw_relay *r, const struct fw_rl_call *c, double unit,
              int64_t now_us, struct fw_rl_pool *out)
{
    const struct fw_rl_service_rule *rule =
        Fw_Rules_Service(r->rules, c->service);
    struct fw_list *pos;
    struct fw_rl_load l;

    *out = (struct fw_rl_pool){0};
    FW_LIST_EACH (pos, &r->servers) {
        struct fw_rl_server *s = FW_LIST_ENTRY(pos, struct fw_rl_server, link);

        if (!rule || !Fw_Place_MayRun(r, s, c) ||
            !Fw_Servers_IsUsable(s, now_us)) {
            continue;
        }
        if (Fw_Place_CanDecode(s, now_us)) {
            add_decode_engine(r, s, &rule->engine, c, MAX(unit, 1), now_us,
                              out);
        }
        else if (s->entry.stage == FW_RL_STAGE_PREFILL &&
                 !Fw_Servers_IsChangingStage(s, now_us)) {
            Fw_Place_Load(r, s, now_us, &l);
            out->prefill_engines++;
            out->queued_tokens += (double)l.prefill_tokens;
        }
    }
}

int
Fw_Place_FitsInstead(struct fw_relay *r, const struct fw_rl_call *other,
                     const struct fw_rl_call *c, int64_t now_us)
{
    const struct fw_rl_service_rule *rule =
        Fw_Rules_Service(r->rules, c->service);
    const struct fw_rl_server *s = other->server;
    struct fw_rl_load l;

    if (!rule || !s || !Fw_Place_MayRun(r, s, c) ||
        !Fw_Place_CanDecode(s, now_us) || Fw_Call_HasTried(c, s)) {
        return 0;
    }
    Fw_Place_Load(r, s, now_us, &l);
    return l.running <= rule->engine.slots &&
           memory_left(&rule->engine, c, l.kv_tokens - other->kv_tokens,
                       l.running - 1) >= c->kv_tokens;
}
