/* Expected use of engine memory by a stream. */
#include "decide/memory.h"
#include "relay/relay_internal.h"

/*
 * Estimates the tokens generated so far from the stream's age and the speed of
 * its engine.
 */
static double
tokens_generated(const struct fw_relay *r, const struct fw_rl_call *c,
                 int64_t now_us)
{
    if (c->state != FW_RL_RUNNING) {
        return 0;
    }
    return (double)(now_us - c->sent_us) * (c->server ? c->server->speed : 1) *
           Fw_ServiceStats_Get(r, c->service)->decode_tokens_per_us.mean;
}

void
Fw_KvDemand_Update(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us)
{
    int64_t use = Fw_Memory_StreamTokens(c->info.tokens_in, &c->length,
                                         c->info.tokens_out_max,
                                         tokens_generated(r, c, now_us));
    /* 0 marks plain requests, but a caller may declare 0 tokens. */
    int64_t need = MAX(use, 1);

    if (c->server) {
        c->server->kv_tokens += need - c->kv_tokens;
    }
    c->kv_tokens = need;
}

/* A resumed stream is ignored: it has only part of an answer. */
void
Fw_KvDemand_NoteStreamEnd(struct fw_relay *r, const struct fw_rl_call *c,
                          int64_t events, int64_t now_us)
{
    struct fw_service_stats *stats = Fw_ServiceStats_Get(r, c->service);
    double took = (double)MAX(now_us - c->sent_us, 1);
    double tokens = c->length.mean;

    if (c->info.last_event_id >= 0) {
        return;
    }
    Fw_Mean_Update(&stats->stream_us, took);
    if (events > 0) {
        Fw_Length_Update(&stats->length, c->info.tokens_out_hint,
                         c->info.tokens_out_max, events);
        tokens = (double)events * Fw_Length_TokensPerEvent(
                                      &stats->length, c->info.tokens_out_max);
    }
    Fw_Mean_Update(&stats->decode_tokens_per_us, tokens / took);
}

int64_t
Fw_KvDemand_Reservation(const struct fw_relay *r, const struct fw_rl_call *c)
{
    return c->info.tokens_in +
           c->info.tokens_out_max * r->opts.reserve_permille / 1000;
}
