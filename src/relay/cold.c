/*
 * Limits what this instance sends to servers that are cold, or may be: a
 * server that was evacuated or could not be reached may have been restarted
 * without its registration having been read yet.
 */
#include "decide/cold.h"

#include "base/hash.h"
#include "relay/relay_internal.h"

/* Time for a server's registration to be renewed and read: two heartbeats. */
#define FW_REGISTRATION_DELAY_US (2500 * FW_MSEC)

static const struct fw_rl_service_rule *
service_of(const struct fw_relay *r, const struct fw_rl_server *s)
{
    return r->rules ? Fw_Rules_Service(r->rules, s->entry.service) : NULL;
}

void
Fw_Cold_Assume(const struct fw_relay *r, struct fw_rl_server *s,
               int64_t now_us)
{
    const struct fw_rl_service_rule *service = service_of(r, s);

    if (service) {
        s->cold_until_us = MAX(s->cold_until_us, now_us + service->cold_us +
                                                     FW_REGISTRATION_DELAY_US);
    }
}

void
Fw_Cold_ApplyEntry(struct fw_rl_server *s, int64_t now_us)
{
    if (s->entry.cold_us > 0) {
        s->cold_until_us = MAX(s->cold_until_us, now_us + s->entry.cold_us);
    }
}

/*
 * The largest size of the fleet seen, as instances behind a partition count as
 * gone after a while. 0 while unknown.
 */
static int
largest_fleet(struct fw_relay *r, int64_t now_us)
{
    int has_hub = !r->exchange.is_hub && r->exchange.hub;

    if (r->store_sync.members_known || (has_hub && r->exchange.counted_us)) {
        r->largest_fleet =
            MAX(r->largest_fleet, Fw_Members_Count(r, now_us, NULL));
    }
    return r->largest_fleet;
}

int
Fw_Cold_MaySend(struct fw_relay *r, const struct fw_rl_server *s, int n,
                int64_t now_us)
{
    const struct fw_rl_service_rule *service;
    struct fw_cold_share share;
    double limit;
    int fleet;

    if (now_us >= s->cold_until_us) {
        return 1;
    }
    service = service_of(r, s);
    if (!service || service->cold_rate <= 0) {
        return 1;
    }
    fleet = largest_fleet(r, now_us);
    if (!fleet) {
        return 0;
    }
    limit = service->cold_rate * (double)r->opts.cold_overage_ppm / 1000000.0 +
            (double)r->opts.cold_tolerance;
    share = Fw_ColdShare_Get(limit, fleet, n);
    return Fw_ColdShare_Includes(&share,
                                 Fw_Hash_Weight(s->hash, r->opts.name)) &&
           Fw_SendWindow_Count(&s->sends, now_us - FW_SEC, now_us) + n <=
               share.per_second;
}
