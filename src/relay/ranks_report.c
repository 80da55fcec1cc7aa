/* Metrics and log lines about the precedence of ranks. */
#include "decide/precedence.h"
#include "relay/ranks.h"
#include "relay/relay_internal.h"

/* Time without a request that is held back after which a service is calm. */
#define FW_CALM_US (1 * FW_SEC)

void
Fw_Ranks_RegisterMetrics(struct fw_relay *r)
{
    static const struct {
        const char *name;
        const char *help;
        int is_gauge;
    } rows[FW_RL_RANK_METRICS] = {
        {"fw_rank_asked_total", "Generations asked for, by rank", 0},
        {"fw_rank_waiting", "Generations waiting for an engine, by rank", 1},
        {"fw_rank_placed_total", "Generations sent to an engine, by rank", 0},
        {"fw_rank_rejected_total", "Generations rejected, by rank", 0},
        {"fw_rank_yielded_total",
         "Reservations given up for more urgent requests, by rank", 0},
    };

    for (int i = 0; i < FW_RL_RANK_METRICS; i++) {
        for (int rank = 0; rank < FW_RANKS; rank++) {
            g_snprintf(r->ranks.labels[rank], sizeof(r->ranks.labels[rank]),
                       "rank=\"%d\"", rank);
            r->ranks.metrics[i][rank] =
                (struct fw_metric){.name = rows[i].name,
                                   .help = rows[i].help,
                                   .is_gauge = rows[i].is_gauge,
                                   .labels = r->ranks.labels[rank]};
            Fw_Metrics_Add(&r->metrics, &r->ranks.metrics[i][rank]);
        }
    }
}

void
Fw_Ranks_Count(struct fw_relay *r, const struct fw_rl_call *c,
               enum fw_rl_rank_metric metric)
{
    if (Fw_Ranks_ServiceOf(r, c)) {
        r->ranks.metrics[metric][c->item.rank].value++;
    }
}

static void
log_start(struct fw_relay *r, struct fw_rl_ranked_service *s,
          const struct fw_precedence_decision *d, struct fw_rl_actions *out)
{
    s->is_holding = 1;
    Fw_RelayActions_Log(out, r, LOG_NOTICE, "holding_back",
                        "\"service\":\"%s\",\"resource\":\"%s\","
                        "\"free\":%.0f,\"needed\":%.0f",
                        s->name, Fw_Precedence_ResourceName(d->resource),
                        d->free, d->reserve);
}

void
Fw_Ranks_NoteHeld(struct fw_relay *r, struct fw_rl_call *c,
                  const struct fw_precedence_decision *d, int64_t now_us,
                  struct fw_rl_actions *out)
{
    struct fw_rl_ranked_service *s = Fw_Ranks_ServiceOf(r, c);

    s->last_held_us = now_us;
    if (c->is_held) {
        return;
    }
    c->is_held = 1;
    s->n_held++;
    if (!s->is_holding) {
        log_start(r, s, d, out);
    }
    if (c->is_hold_logged) {
        return;
    }
    c->is_hold_logged = 1;
    Fw_RelayActions_Log(
        out, r, Fw_Call_LogSeverity(r, c), "held_back",
        "\"id\":\"%s\",\"rank\":%d,\"reason\":\"%s\",\"resource\":\"%s\","
        "\"free\":%.0f,\"needed\":%.0f,\"after_ms\":%" G_GINT64_FORMAT,
        c->info.id, c->item.rank, Fw_Precedence_ReasonName(d->reason),
        Fw_Precedence_ResourceName(d->resource), d->free, d->reserve,
        Fw_Relay_UsToMs(now_us - c->opened_us));
}

void
Fw_Ranks_EndHeld(struct fw_relay *r, struct fw_rl_call *c)
{
    if (!c->is_held) {
        return;
    }
    c->is_held = 0;
    for (guint i = 0; i < r->ranks.services->len; i++) {
        struct fw_rl_ranked_service *s =
            g_ptr_array_index(r->ranks.services, i);

        if (s->hash == c->service_hash) {
            s->n_held--;
        }
    }
}

static void
update_waiting(struct fw_relay *r)
{
    for (int rank = 0; rank < FW_RANKS; rank++) {
        int64_t waiting = 0;

        for (guint i = 0; i < r->ranks.services->len; i++) {
            const struct fw_rl_ranked_service *s =
                g_ptr_array_index(r->ranks.services, i);
            struct fw_demand_sum sum;

            Fw_Demand_GetLocal(r->service_demand.demand, s->hash, rank, 0,
                               &sum);
            waiting += sum.waiting;
        }
        r->ranks.metrics[FW_RL_RANK_WAITING][rank].value = waiting;
    }
}

void
Fw_Ranks_Tick(struct fw_relay *r, int64_t now_us, struct fw_rl_actions *out)
{
    if (!r->ranks.services->len) {
        return;
    }
    update_waiting(r);
    for (guint i = 0; i < r->ranks.services->len; i++) {
        struct fw_rl_ranked_service *s =
            g_ptr_array_index(r->ranks.services, i);

        if (s->is_holding && !s->n_held &&
            now_us - s->last_held_us >= FW_CALM_US) {
            s->is_holding = 0;
            Fw_RelayActions_Log(out, r, LOG_NOTICE, "holding_back_ended",
                                "\"service\":\"%s\"", s->name);
        }
    }
}
