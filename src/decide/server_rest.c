#include "decide/server_rest.h"

#include <glib.h>

#include "base/limits.h"

#define FW_PROBE_INTERVAL_US (200 * FW_MSEC)

void
Fw_ServerRest_NoteRejected(struct fw_server_rest *r, int64_t rest_us,
                           int64_t now_us)
{
    r->until_us = MAX(r->until_us, now_us + rest_us);
    r->probing = 1;
    r->next_probe_us = 0;
}

void
Fw_ServerRest_NoteAccepted(struct fw_server_rest *r, int64_t now_us)
{
    if (Fw_ServerRest_IsOver(r, now_us)) {
        r->probing = 0;
    }
}

void
Fw_ServerRest_NoteSent(struct fw_server_rest *r, int64_t now_us)
{
    if (r->probing) {
        r->next_probe_us = now_us + FW_PROBE_INTERVAL_US;
    }
}

int
Fw_ServerRest_IsOver(const struct fw_server_rest *r, int64_t now_us)
{
    return now_us >= r->until_us;
}

int64_t
Fw_ServerRest_AvailableUs(const struct fw_server_rest *r, int64_t now_us)
{
    int64_t at = r->probing ? MAX(r->until_us, r->next_probe_us) : r->until_us;

    return MAX(at, now_us);
}
