/* The links from this instance to the servers, as a whole. */
#include <string.h>

#include "base/fault.h"
#include "relay/relay_internal.h"

/* Interval of probes while calls fail and no server responds. */
#define FW_PROBE_INTERVAL_US (150 * FW_MSEC)
#define FW_PROBE_TIMEOUT_US (400 * FW_MSEC)
/* Path that is probed at servers whose service names none. */
#define FW_PROBE_DEFAULT_PATH "/"

static int
count_in_service(const struct fw_relay *r)
{
    struct fw_list *pos;
    int n = 0;

    FW_LIST_EACH (pos, &r->servers) {
        n += Fw_Servers_IsInService(
            FW_LIST_ENTRY(pos, struct fw_rl_server, link));
    }
    return n;
}

void
Fw_Links_NoteResponse(struct fw_relay *r, int64_t now_us)
{
    Fw_UpstreamLinks_NoteResponse(&r->links, now_us);
}

void
Fw_Links_NoteFailure(struct fw_relay *r, const struct fw_rl_op *op,
                     int64_t now_us)
{
    Fw_UpstreamLinks_NoteFailure(&r->links, op->server->hash, op->sent_us,
                                 now_us);
}

/* Asked for each request: the servers are counted only when calls fail. */
int
Fw_Links_AreLost(const struct fw_relay *r, int64_t now_us)
{
    return Fw_UpstreamLinks_AreSuspect(&r->links, now_us) &&
           Fw_UpstreamLinks_AreLost(&r->links, count_in_service(r), now_us);
}

static struct fw_rl_server *
choose_probed_server(struct fw_relay *r, int64_t now_us)
{
    struct fw_rl_server *chosen = NULL;
    struct fw_list *pos;
    int n = 0;

    FW_LIST_EACH (pos, &r->servers) {
        struct fw_rl_server *s = FW_LIST_ENTRY(pos, struct fw_rl_server, link);

        if (Fw_Admission_MaySend(r, s, 1, now_us) &&
            g_rand_int_range(r->rand, 0, ++n) == 0) {
            chosen = s;
        }
    }
    return chosen;
}

void
Fw_Links_Probe(struct fw_relay *r, struct fw_rl_server *s, int64_t now_us,
               struct fw_rl_actions *out)
{
    const struct fw_rl_service_rule *rule =
        Fw_Rules_Service(r->rules, s->entry.service);
    struct fw_rl_upstream_call up = {.kind = FW_RL_UP_PROBE,
                                     .priority = -1,
                                     .buffer_response = 1,
                                     .connect_us = FW_RL_CONNECT_TIMEOUT_US};

    g_strlcpy(up.path,
              rule && rule->health[0] ? rule->health : FW_PROBE_DEFAULT_PATH,
              sizeof(up.path));
    Fw_Call_Upstream(r, NULL, s, &up, now_us + FW_PROBE_TIMEOUT_US, now_us,
                     out);
}

static void
probe_any(struct fw_relay *r, int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_rl_server *s = choose_probed_server(r, now_us);

    if (s) {
        r->next_probe_us = now_us + FW_PROBE_INTERVAL_US;
        Fw_Links_Probe(r, s, now_us, out);
    }
}

static void
log_change(struct fw_relay *r, int lost, int64_t now_us,
           struct fw_rl_actions *out)
{
    if (lost == r->links_logged_lost) {
        return;
    }
    r->links_logged_lost = lost;
    Fw_RelayActions_Log(out, r, LOG_WARNING,
                        lost ? "server_links_lost" : "server_links_back",
                        "\"silent_ms\":%" G_GINT64_FORMAT,
                        Fw_Relay_UsToMs(now_us - r->links.heard_us));
}

void
Fw_Links_Tick(struct fw_relay *r, int64_t now_us, struct fw_rl_actions *out)
{
    int lost = Fw_Links_AreLost(r, now_us);

    log_change(r, lost, now_us, out);
    r->relay_metrics.links_lost.value = lost;
    if (r->rules && now_us >= r->next_probe_us &&
        Fw_UpstreamLinks_AreSuspect(&r->links, now_us)) {
        probe_any(r, now_us, out);
    }
}
