/* Expected use of engine memory by a stream. */
#include "decide/memory.h"
#include "relay/relay_internal.h"

/* Estimates the tokens generated so far from the stream's age. */
static double
tokens_generated(const struct fw_relay *r, const struct fw_rl_call *c,
                 int64_t now_us)
{
    if (c->state != FW_RL_RUN) {
        return 0;
    }
    return (double)(now_us - c->run_us) *
           Fw_Learned_Of(r, c->service)->decode_tokens_per_us.mean;
}

void
Fw_Need_Grow(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us)
{
    int64_t use =
        Fw_Memory_StreamTokens(c->ask.tokens_in, &c->answer, c->ask.tokens_out,
                               tokens_generated(r, c, now_us));
    /* 0 marks plain requests, but a caller may declare 0 tokens. */
    int64_t need = MAX(use, 1);

    if (c->server) {
        c->server->reserved += need - c->need;
    }
    c->need = need;
}

/* A resumed stream is ignored: it has only part of an answer. */
void
Fw_Need_NoteRun(struct fw_relay *r, const struct fw_rl_call *c, int64_t events,
                int64_t now_us)
{
    struct fw_learned *l = Fw_Learned_Of(r, c->service);
    double took = (double)MAX(now_us - c->run_us, 1);
    double tokens = c->answer.mean;

    if (c->ask.last_event >= 0) {
        return;
    }
    Fw_Mean_Update(&l->run_us, took);
    if (events > 0) {
        Fw_Length_Note(&l->length, c->ask.hint_out, c->ask.tokens_out, events);
        tokens = (double)events *
                 Fw_Length_TokensPerEvent(&l->length, c->ask.tokens_out);
    }
    Fw_Mean_Update(&l->decode_tokens_per_us, tokens / took);
}

int64_t
Fw_Need_Hold(const struct fw_relay *r, const struct fw_rl_call *c)
{
    return c->ask.tokens_in +
           c->ask.tokens_out * r->opts.reserve_permille / 1000;
}
