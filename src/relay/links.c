/*
 * The links from this instance to the servers: to all of them, and to those of
 * each service at each stage.
 */
#include <string.h>

#include "base/fault.h"
#include "relay/relay_internal.h"

/* Interval of probes while calls fail and no server responds. */
#define FW_PROBE_INTERVAL_US (150 * FW_MSEC)
/*
 * The same for the servers of one stage, once these have not responded for the
 * second time: they may be down for long, and all instances probe them.
 */
#define FW_PROBE_INTERVAL_LATER_US (1 * FW_SEC)
#define FW_PROBE_LATER_AFTER_US (5 * FW_SEC)
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

static struct fw_rl_stage_links *
find_stage(const struct fw_relay *r, const char *service,
           enum fw_rl_stage stage)
{
    for (guint i = 0; i < r->stage_links->len; i++) {
        struct fw_rl_stage_links *l = g_ptr_array_index(r->stage_links, i);

        if (l->stage == stage && strcmp(l->service, service) == 0) {
            return l;
        }
    }
    return NULL;
}

struct fw_rl_stage_links *
Fw_Links_OfStage(struct fw_relay *r, const char *service,
                 enum fw_rl_stage stage)
{
    struct fw_rl_stage_links *l = find_stage(r, service, stage);

    if (!l) {
        l = g_new0(struct fw_rl_stage_links, 1);
        l->service = g_intern_string(service);
        l->stage = stage;
        g_ptr_array_add(r->stage_links, l);
    }
    return l;
}

void
Fw_Links_NoteResponse(struct fw_relay *r, struct fw_rl_server *s,
                      int64_t now_us)
{
    Fw_UpstreamLinks_NoteResponse(&r->links, now_us);
    Fw_UpstreamLinks_NoteResponse(&s->stage_links->links, now_us);
}

void
Fw_Links_NoteFailure(struct fw_relay *r, const struct fw_rl_op *op, int sent,
                     int64_t now_us)
{
    struct fw_rl_server *s = op->server;

    Fw_UpstreamLinks_NoteFailure(&r->links, s->hash, op->sent_us, now_us);
    Fw_UpstreamLinks_NoteFailure(&s->stage_links->links, s->hash, op->sent_us,
                                 now_us);
    r->links_failed_us = now_us;
    if (!sent) {
        s->unconnected_us = now_us;
    }
}

/* An engine that has ended has taken no links with it. */
void
Fw_Links_NoteGone(struct fw_rl_server *s)
{
    Fw_UpstreamLinks_Forget(&s->stage_links->links, s->hash);
}

/* The servers are counted only when calls fail. */
int
Fw_Links_AreAllLost(const struct fw_relay *r, int64_t now_us)
{
    return Fw_UpstreamLinks_AreSuspect(&r->links, now_us) &&
           Fw_UpstreamLinks_AreLost(&r->links, count_in_service(r), now_us);
}

static int
is_unconnected(const struct fw_rl_server *s, int64_t now_us)
{
    return s->unconnected_us && now_us < s->backoff_until_us &&
           now_us - s->unconnected_us < FW_RL_BACKOFF_MAX_US;
}

/* Ends with the first server that may be tried: then any may be reached. */
static void
count_unconnected(const struct fw_relay *r, const struct fw_rl_stage_links *l,
                  int64_t now_us, struct fw_upstream_reach *out)
{
    struct fw_list *pos;

    *out = (struct fw_upstream_reach){0};
    FW_LIST_EACH (pos, &r->servers) {
        const struct fw_rl_server *s =
            FW_LIST_ENTRY(pos, struct fw_rl_server, link);

        if (s->stage_links != l || !Fw_Servers_IsInService(s)) {
            continue;
        }
        out->n++;
        if (!is_unconnected(s, now_us)) {
            return;
        }
        out->n_unconnected++;
    }
}

static int
count_in_stage(const struct fw_relay *r, const struct fw_rl_stage_links *l)
{
    struct fw_list *pos;
    int n = 0;

    FW_LIST_EACH (pos, &r->servers) {
        const struct fw_rl_server *s =
            FW_LIST_ENTRY(pos, struct fw_rl_server, link);

        n += s->stage_links == l && Fw_Servers_IsInService(s);
    }
    return n;
}

/* The only server of a stage that does not respond may as well have ended. */
static int
is_stage_lost(const struct fw_relay *r, const struct fw_rl_stage_links *l,
              int64_t now_us)
{
    int n;

    if (!Fw_UpstreamLinks_AreSuspect(&l->links, now_us)) {
        return 0;
    }
    n = count_in_stage(r, l);
    return n > 1 && Fw_UpstreamLinks_AreLost(&l->links, n, now_us);
}

/* What a failed call says is out of date when no other has failed since. */
static int
has_failed_lately(const struct fw_relay *r, int64_t now_us)
{
    return r->links_failed_us &&
           now_us - r->links_failed_us < FW_RL_BACKOFF_MAX_US;
}

int
Fw_Links_AreLostFor(const struct fw_relay *r, const struct fw_rl_call *c,
                    int64_t now_us)
{
    const struct fw_rl_stage_links *l;
    struct fw_upstream_reach reach;
    int needs_engines;

    if (Fw_Links_AreAllLost(r, now_us)) {
        return 1;
    }
    if (!has_failed_lately(r, now_us) || FW_FAULT("links-as-a-whole")) {
        return 0;
    }
    needs_engines = Fw_Relay_NeedsEngines(r, c);
    l = find_stage(r, c->service,
                   needs_engines ? FW_RL_STAGE_DECODE : FW_RL_STAGE_NONE);
    if (!l) {
        return 0;
    }
    if (is_stage_lost(r, l, now_us)) {
        return 1;
    }
    /* A plain request is sent to a server in a backoff if there is no other.
     */
    if (!needs_engines) {
        return 0;
    }
    count_unconnected(r, l, now_us, &reach);
    return Fw_UpstreamReach_IsNone(&reach);
}

int
Fw_Links_AreInDoubt(const struct fw_relay *r, const struct fw_rl_server *s,
                    int64_t now_us)
{
    struct fw_upstream_reach reach;

    if (Fw_Links_AreAllLost(r, now_us)) {
        return 1;
    }
    count_unconnected(r, s->stage_links, now_us, &reach);
    return reach.n > 1 && Fw_UpstreamReach_IsNone(&reach);
}

/* Whether calls to all servers fail, or to those of the stage of @s. */
static int
is_suspect(const struct fw_relay *r, const struct fw_rl_server *s,
           int64_t now_us)
{
    return Fw_UpstreamLinks_AreSuspect(&r->links, now_us) ||
           Fw_UpstreamLinks_AreSuspect(&s->stage_links->links, now_us);
}

static struct fw_rl_server *
choose_probed_server(struct fw_relay *r, int64_t now_us)
{
    struct fw_rl_server *chosen = NULL;
    struct fw_list *pos;
    int n = 0;

    FW_LIST_EACH (pos, &r->servers) {
        struct fw_rl_server *s = FW_LIST_ENTRY(pos, struct fw_rl_server, link);

        if (is_suspect(r, s, now_us) &&
            Fw_Admission_MaySend(r, s, 1, now_us) &&
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

    up.path = rule && rule->health[0] ? rule->health : FW_PROBE_DEFAULT_PATH;
    Fw_Call_Upstream(r, NULL, s, &up, now_us + FW_PROBE_TIMEOUT_US, now_us,
                     out);
}

static int64_t
probe_interval_us(const struct fw_relay *r, const struct fw_rl_server *s,
                  int64_t now_us)
{
    if (!Fw_UpstreamLinks_AreSuspect(&r->links, now_us) &&
        now_us - s->stage_links->links.failing_since_us >
            FW_PROBE_LATER_AFTER_US) {
        return FW_PROBE_INTERVAL_LATER_US;
    }
    return FW_PROBE_INTERVAL_US;
}

static void
probe_any(struct fw_relay *r, int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_rl_server *s = choose_probed_server(r, now_us);

    if (s) {
        r->next_probe_us = now_us + probe_interval_us(r, s, now_us);
        Fw_Links_Probe(r, s, now_us, out);
    }
}

static void
log_stage(struct fw_relay *r, struct fw_rl_stage_links *l, int lost,
          int64_t now_us, struct fw_rl_actions *out)
{
    if (lost == l->logged_lost) {
        return;
    }
    l->logged_lost = lost;
    Fw_RelayActions_Log(out, r, LOG_WARNING,
                        lost ? "server_links_lost" : "server_links_back",
                        "\"service\":\"%s\",\"stage\":%d,"
                        "\"silent_ms\":%" G_GINT64_FORMAT,
                        l->service, (int)l->stage,
                        Fw_Relay_UsToMs(now_us - l->links.heard_us));
}

/* Return: whether calls to the servers of any stage fail. */
static int
check_stages(struct fw_relay *r, int all_lost, int64_t now_us,
             struct fw_rl_actions *out)
{
    int any_suspect = 0;
    int64_t n_lost = 0;

    for (guint i = 0; i < r->stage_links->len; i++) {
        struct fw_rl_stage_links *l = g_ptr_array_index(r->stage_links, i);
        int lost = !all_lost && is_stage_lost(r, l, now_us);

        any_suspect |= Fw_UpstreamLinks_AreSuspect(&l->links, now_us);
        n_lost += lost;
        log_stage(r, l, lost, now_us, out);
    }
    r->relay_metrics.stage_links_lost.value = n_lost;
    return any_suspect;
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
    int lost = Fw_Links_AreAllLost(r, now_us);
    int any_suspect = check_stages(r, lost, now_us, out) ||
                      Fw_UpstreamLinks_AreSuspect(&r->links, now_us);

    log_change(r, lost, now_us, out);
    r->relay_metrics.links_lost.value = lost;
    if (r->rules && now_us >= r->next_probe_us && any_suspect) {
        probe_any(r, now_us, out);
    }
}
