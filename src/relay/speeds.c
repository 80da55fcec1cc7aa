/*
 * Speeds of servers. Hubs use the samples of all instances; a leaf uses its
 * hub's estimates, and its own samples only while it gets none.
 */
#include "relay/speeds.h"

#include <math.h>

#include "base/hash.h"
#include "relay/relay_internal.h"

/* Tokens of a prompt, and events of a stream, that count as a whole sample. */
#define FW_PROMPT_WHOLE 1000.0
#define FW_EVENTS_WHOLE 20.0
/*
 * Weight of one instance's samples of a server in one period: of all
 * instances, but not less than the first nor more than the second.
 */
#define FW_WEIGHT_ALL_INSTANCES 24.0
#define FW_WEIGHT_MIN 1.0
#define FW_WEIGHT_MAX 8.0
/* Bounds of a speed that is used. */
#define FW_SPEED_MIN 0.05
#define FW_SPEED_MAX 20.0
/* Change of a speed that is logged, and least time between two lines. */
#define FW_LOGGED_RATIO 1.25
#define FW_LOG_INTERVAL_US (10 * FW_SEC)

static const char *const use_names[] = {"plain", "prefill", "decode"};

static int
is_off(const struct fw_relay *r)
{
    return r->opts.speed_spread_ppm <= 0;
}

static double
spread_min(const struct fw_relay *r)
{
    return (double)r->opts.speed_spread_ppm / 1e6;
}

static enum fw_speed_use
use_of(const struct fw_rl_server *s)
{
    switch (s->entry.stage) {
    case FW_RL_STAGE_PREFILL:
        return FW_SPEED_PREFILL;
    case FW_RL_STAGE_DECODE:
        return FW_SPEED_DECODE;
    case FW_RL_STAGE_NONE:
        break;
    }
    return FW_SPEED_PLAIN;
}

static void
note(struct fw_relay *r, const struct fw_rl_server *s, enum fw_speed_use use,
     double rate, double weight)
{
    struct fw_speed_key key = {.server = s->hash,
                               .service = Fw_Hash_Str(s->entry.service),
                               .use = use};

    if (!is_off(r) && !s->gone) {
        Fw_Speed_NoteSample(r->speeds.table, &key, rate, weight);
        r->relay_metrics.speed_samples.value++;
    }
}

/* The less of the queue is its own prompt, the less is known of the work. */
void
Fw_Speeds_NotePrefill(struct fw_relay *r, const struct fw_rl_call *c,
                      const struct fw_rl_server *s, int64_t took_us)
{
    double own = (double)c->info.tokens_in;
    double queued = (double)MAX(c->prefill_queue_tokens, 1);

    note(r, s, FW_SPEED_PREFILL, queued / (double)MAX(took_us, 1),
         MIN(own / FW_PROMPT_WHOLE, 1) * own / queued);
}

void
Fw_Speeds_NoteStream(struct fw_relay *r, const struct fw_rl_call *c,
                     int64_t events, int64_t now_us)
{
    double took = (double)MAX(now_us - c->response_us, 1);

    if (events > 0 && c->response_us) {
        note(r, c->server, FW_SPEED_DECODE, (double)events / took,
             MIN((double)events / FW_EVENTS_WHOLE, 1));
    }
}

/* Beyond the slots, the expected time grows with the queue. */
void
Fw_Speeds_NotePlain(struct fw_relay *r, const struct fw_rl_op *op,
                    int64_t took_us)
{
    double slots = MAX(op->server->entry.slots, 1);
    double load = MAX((op->n_running + 1) / slots, 1);

    note(r, op->server, FW_SPEED_PLAIN, load / (double)MAX(took_us, 1), 1);
}

int64_t
Fw_Speeds_MeanTokens(const struct fw_rl_server *s, int64_t tokens)
{
    return (int64_t)((double)tokens / s->speed);
}

int
Fw_Speeds_AreInForce(const struct fw_relay *r, const char *service,
                     enum fw_speed_use use)
{
    return !is_off(r) &&
           Fw_Speed_IsInForce(r->speeds.table, Fw_Hash_Str(service), use,
                              spread_min(r));
}

double
Fw_Speeds_MeanRate(const struct fw_relay *r, const char *service,
                   enum fw_speed_use use)
{
    return Fw_Speed_MeanRate(r->speeds.table, Fw_Hash_Str(service), use);
}

const char *
Fw_Speeds_LogText(const struct fw_relay *r, const struct fw_rl_server *s,
                  const struct fw_rl_server *reader, char *text)
{
    text[0] = 0;
    if (is_off(r)) {
        return text;
    }
    if (reader) {
        g_snprintf(text, FW_RL_SPEED_TEXT_MAX,
                   ",\"speed\":%.2f,\"reader_speed\":%.2f", s->speed,
                   reader->speed);
    }
    else {
        g_snprintf(text, FW_RL_SPEED_TEXT_MAX, ",\"speed\":%.2f", s->speed);
    }
    return text;
}

void
Fw_Speeds_Refresh(struct fw_relay *r, int64_t now_us)
{
    struct fw_list *pos;
    int64_t slow = 0;

    FW_LIST_EACH (pos, &r->servers) {
        struct fw_rl_server *s = FW_LIST_ENTRY(pos, struct fw_rl_server, link);
        struct fw_speed_key key = {.server = s->hash,
                                   .service = Fw_Hash_Str(s->entry.service),
                                   .use = use_of(s)};
        double speed =
            Fw_Speed_Get(r->speeds.table, &key, spread_min(r), now_us);

        s->speed = CLAMP(speed, FW_SPEED_MIN, FW_SPEED_MAX);
        slow += s->speed * FW_LOGGED_RATIO < 1;
    }
    r->relay_metrics.servers_slow.value = slow;
}

static void
log_changes(struct fw_relay *r, int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->servers) {
        struct fw_rl_server *s = FW_LIST_ENTRY(pos, struct fw_rl_server, link);
        double ratio = s->speed / s->logged_speed;

        if ((ratio < FW_LOGGED_RATIO && ratio * FW_LOGGED_RATIO > 1) ||
            (s->speed_logged_us &&
             now_us - s->speed_logged_us < FW_LOG_INTERVAL_US)) {
            continue;
        }
        Fw_RelayActions_Log(out, r, LOG_NOTICE, "server_speed",
                            "\"server\":\"%s\",\"use\":\"%s\","
                            "\"speed\":%.2f,\"before\":%.2f",
                            s->entry.id, use_names[use_of(s)], s->speed,
                            s->logged_speed);
        s->logged_speed = s->speed;
        s->speed_logged_us = now_us;
    }
}

static double
weight_max(struct fw_relay *r, int64_t now_us)
{
    int live;

    Fw_Members_Count(r, now_us, &live);
    return CLAMP(FW_WEIGHT_ALL_INSTANCES / MAX(live, 1), FW_WEIGHT_MIN,
                 FW_WEIGHT_MAX);
}

/* The setting has changed. */
static void
switch_off(struct fw_relay *r, int64_t now_us)
{
    if (r->speeds.is_on) {
        r->speeds.is_on = 0;
        Fw_Speeds_Refresh(r, now_us);
    }
}

void
Fw_Speeds_Tick(struct fw_relay *r, int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_rl_speeds *x = &r->speeds;
    int fold;

    if (is_off(r)) {
        switch_off(r, now_us);
        return;
    }
    if (now_us - x->settled_us < r->opts.digest_period_us) {
        return;
    }
    x->is_on = 1;
    x->settled_us = now_us;
    fold = r->exchange.is_hub || !Fw_Speed_IsConfirmed(x->table, now_us);
    Fw_Speed_SettleSamples(x->table, weight_max(r, now_us), fold, now_us);
    if (fold) {
        Fw_Speed_UpdateGroups(x->table, now_us);
    }
    Fw_Speeds_Refresh(r, now_us);
    log_changes(r, now_us, out);
}
