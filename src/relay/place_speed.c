/* Placement of plain requests by the speeds of the servers. */
#include "decide/place_plain.h"
#include "relay/relay_internal.h"

/*
 * Weight of a server's error rate: a failure costs a caller about this many
 * times the wait for a good response.
 */
#define FW_ERROR_RATE_WEIGHT 8.0

/**
 * enum preference - which servers a request is sent to rather than others.
 *
 * Servers that it has tried, or that could not be reached lately, are used
 * when no other is left.
 */
enum preference {
    FW_BACKOFF,
    FW_TRIED,
    FW_PREFERRED,
};

/**
 * struct candidates - servers of the highest preference found so far, chosen
 * at random if there are more.
 * @seen: servers of that preference
 */
struct candidates {
    enum preference preference;
    int seen;
    int n;
    struct fw_rl_server *servers[FW_PLAIN_SERVERS_MAX];
};

static enum preference
preference_of(const struct fw_rl_call *c, const struct fw_rl_server *s,
              int64_t now_us)
{
    if (now_us < s->backoff_until_us) {
        return FW_BACKOFF;
    }
    return Fw_Call_HasTried(c, s) ? FW_TRIED : FW_PREFERRED;
}

static void
add_candidate(struct fw_relay *r, struct candidates *found,
              struct fw_rl_server *s, enum preference preference)
{
    int at;

    if (found->n && preference < found->preference) {
        return;
    }
    if (preference > found->preference) {
        *found = (struct candidates){.preference = preference};
    }
    at = found->seen++;
    if (found->n < FW_PLAIN_SERVERS_MAX) {
        found->n++;
    }
    else {
        at = g_rand_int_range(r->rand, 0, found->seen);
    }
    if (at < FW_PLAIN_SERVERS_MAX) {
        found->servers[at] = s;
    }
}

/* Time that a request takes in a free slot of a server of mean speed. */
static double
mean_work_us(const struct fw_relay *r, const char *service)
{
    double rate = Fw_Speeds_MeanRate(r, service, FW_SPEED_PLAIN);

    return rate > 0 ? 1 / rate : 0;
}

int
Fw_PlaceSpeed_IsPlainInForce(struct fw_relay *r, const char *service,
                             int64_t now_us)
{
    int live;

    if (r->opts.policy != FW_RL_POLICY_FULL ||
        !Fw_Speeds_AreInForce(r, service, FW_SPEED_PLAIN)) {
        return 0;
    }
    Fw_Members_Count(r, now_us, &live);
    return live > FW_PLAIN_OWN_VIEW_INSTANCES;
}

struct fw_rl_server *
Fw_PlaceSpeed_Plain(struct fw_relay *r, const struct fw_rl_call *c,
                    int64_t now_us)
{
    struct candidates found = {0};
    struct fw_plain_server servers[FW_PLAIN_SERVERS_MAX];
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->servers) {
        struct fw_rl_server *s = FW_LIST_ENTRY(pos, struct fw_rl_server, link);

        if (Fw_Place_MayRun(r, s, c) &&
            Fw_Admission_MaySend(r, s, 1, now_us)) {
            add_candidate(r, &found, s, preference_of(c, s, now_us));
        }
    }
    if (!found.n) {
        return NULL;
    }
    for (int i = 0; i < found.n; i++) {
        const struct fw_rl_server *s = found.servers[i];
        struct fw_rl_load load;

        Fw_Place_Load(r, s, now_us, &load);
        servers[i] = (struct fw_plain_server){
            .speed = s->speed / (1 + FW_ERROR_RATE_WEIGHT * s->error_rate),
            .slots = s->entry.slots,
            .running = MAX(load.running, 0)};
    }
    return found.servers[Fw_PlacePlain_Choose(
        servers, found.n, mean_work_us(r, c->service),
        (double)r->opts.digest_period_us, g_rand_double(r->rand))];
}
