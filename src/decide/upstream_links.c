#include "decide/upstream_links.h"

#include "base/limits.h"

/*
 * Time without any response, since a call failed, after which the links are
 * lost: longer than the response of a busy upstream takes.
 */
#define FW_LINKS_LOST_US (300 * FW_MSEC)
/* Such a time after which upstreams are probed. */
#define FW_LINKS_SUSPECT_US (100 * FW_MSEC)

void
Fw_UpstreamLinks_NoteResponse(struct fw_upstream_links *l, int64_t now_us)
{
    *l = (struct fw_upstream_links){.heard_us = now_us};
}

void
Fw_UpstreamLinks_NoteFailure(struct fw_upstream_links *l, uint64_t hash,
                             int64_t sent_us, int64_t now_us)
{
    if (sent_us < l->heard_us) {
        return;
    }
    if (!l->failing_since_us) {
        l->failing_since_us = now_us;
    }
    for (int i = 0; i < l->n_failed; i++) {
        if (l->failed[i] == hash) {
            return;
        }
    }
    if (l->n_failed < FW_LINKS_FAILED_MIN) {
        l->failed[l->n_failed++] = hash;
    }
}

void
Fw_UpstreamLinks_Forget(struct fw_upstream_links *l, uint64_t hash)
{
    for (int i = 0; i < l->n_failed; i++) {
        if (l->failed[i] == hash) {
            l->failed[i--] = l->failed[--l->n_failed];
        }
    }
    if (!l->n_failed) {
        l->failing_since_us = 0;
    }
}

int
Fw_UpstreamLinks_AreLost(const struct fw_upstream_links *l, int n_upstreams,
                         int64_t now_us)
{
    int enough =
        n_upstreams < FW_LINKS_FAILED_MIN ? n_upstreams : FW_LINKS_FAILED_MIN;

    return l->n_failed > 0 && l->n_failed >= enough &&
           now_us - l->failing_since_us >= FW_LINKS_LOST_US;
}

int
Fw_UpstreamReach_IsNone(const struct fw_upstream_reach *reach)
{
    return reach->n > 0 && reach->n_unconnected == reach->n;
}

int
Fw_UpstreamLinks_AreSuspect(const struct fw_upstream_links *l, int64_t now_us)
{
    return l->failing_since_us &&
           now_us - l->failing_since_us >= FW_LINKS_SUSPECT_US;
}
