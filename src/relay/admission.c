/*
 * Whether requests may be sent to a server. Every kind of call asks here: runs
 * and their retries, prefills, reservations, reports and orders.
 */
#include "relay/relay_internal.h"

int
Fw_Admission_MaySend(struct fw_relay *r, struct fw_rl_server *s, int n,
                     int64_t now_us)
{
    return Fw_Servers_IsInService(s) && Fw_Cold_MaySend(r, s, n, now_us) &&
           Fw_ServerLimits_MaySend(r, s, n, now_us);
}

int
Fw_Admission_MayFollow(struct fw_relay *r, struct fw_rl_server *s,
                       int64_t now_us)
{
    return Fw_ServerLimits_MayFollow(r, s, now_us);
}

int64_t
Fw_Admission_AvailableUs(struct fw_relay *r, struct fw_rl_server *s, int n,
                         int64_t now_us)
{
    if (!Fw_Servers_IsInService(s) || !Fw_Cold_MaySend(r, s, n, now_us)) {
        return 0;
    }
    return Fw_ServerLimits_AvailableUs(r, s, n, now_us);
}

void
Fw_Admission_NoteReserving(struct fw_rl_call *c)
{
    if (!c->is_committed) {
        c->is_committed = 1;
        c->server->sends.committed++;
    }
}

void
Fw_Admission_EndReservation(struct fw_rl_call *c)
{
    if (c->is_committed) {
        c->is_committed = 0;
        c->server->sends.committed--;
    }
}
