/*
 * Whether an instance has lost its links to a set of upstreams, as opposed to
 * some upstreams being gone. It is judged for all upstreams together, and for
 * those of each service at each stage.
 */
#ifndef FW_DECIDE_UPSTREAM_LINKS_H
#define FW_DECIDE_UPSTREAM_LINKS_H

#include <stdint.h>

/* Upstreams that must fail one after the other, or all if there are fewer. */
#define FW_LINKS_FAILED_MIN 3

/**
 * struct fw_upstream_reach - the upstreams of one set, as seen from here.
 * @n: those in service
 * @n_unconnected: those of them in a backoff that began as no connection to
 *     them was established
 */
struct fw_upstream_reach {
    int n;
    int n_unconnected;
};

/**
 * struct fw_upstream_links - what calls to upstreams say about the links.
 * @heard_us: when any upstream last responded
 * @failing_since_us: when the first call failed since then, 0 for none
 * @failed: hashes of upstreams whose calls have failed since then
 * @n_failed: number of these
 */
struct fw_upstream_links {
    int64_t heard_us;
    int64_t failing_since_us;
    uint64_t failed[FW_LINKS_FAILED_MIN];
    int n_failed;
};

/* An upstream of the set has responded. */
void
Fw_UpstreamLinks_NoteResponse(struct fw_upstream_links *l, int64_t now_us);
/*
 * A call that was sent at @sent_us has failed; @hash identifies the upstream.
 * A call that was sent before the last response says nothing.
 */
void
Fw_UpstreamLinks_NoteFailure(struct fw_upstream_links *l, uint64_t hash,
                             int64_t sent_us, int64_t now_us);
/* The upstream is not in service any more: its failures say nothing. */
void
Fw_UpstreamLinks_Forget(struct fw_upstream_links *l, uint64_t hash);
/* Whether the links are lost; @n_upstreams: upstreams of the set in service.
 */
int
Fw_UpstreamLinks_AreLost(const struct fw_upstream_links *l, int n_upstreams,
                         int64_t now_us);
/* Whether to probe an upstream, as calls fail and none has responded since. */
int
Fw_UpstreamLinks_AreSuspect(const struct fw_upstream_links *l, int64_t now_us);
/*
 * Whether none of the upstreams can be tried, as no connection to any of them
 * was established. That may hold while open connections still work, so that
 * upstreams respond.
 */
int
Fw_UpstreamReach_IsNone(const struct fw_upstream_reach *reach);

#endif
