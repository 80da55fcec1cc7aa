/*
 * Detection of requests that crash the servers that run them, as a whole or by
 * a part of their prompt. They could take down a whole service.
 *
 * A run whose connection breaks is remembered, and its server probed. If the
 * server has ended, the runs that it had are what may have crashed it; which
 * of them did is judged over the crashes that all instances know of, see
 * crash_blame.h and crash_message.c.
 */
#include <errno.h>

#include "base/hash.h"
#include "relay/relay_internal.h"

/*
 * Maximum time from a broken connection until the server's end is known: its
 * entry expires after three heartbeats of 1.2 s, then the list is read.
 */
#define FW_CRASH_DETECTION_US (6 * FW_SEC)
/*
 * A call sent to a server in this time after it has ended shows by its
 * response that it has not. Later ones may have reached a process started
 * anew.
 */
#define FW_REFUTE_MIN_US (100 * FW_MSEC)
#define FW_REFUTE_MAX_US (1500 * FW_MSEC)
/*
 * Bounds of the suggested delay of what is in quarantine: as long as it has
 * been there, as a mistake would have been found by then.
 */
#define FW_RETRY_MIN_US (1 * FW_SEC)
#define FW_RETRY_MAX_US (60 * FW_SEC)
/*
 * A server that is still listed this long after it has ended has not: its
 * entry would have expired. Bounds of the time in which that is looked at.
 */
#define FW_STILL_LISTED_US (10 * FW_SEC)
#define FW_STILL_LISTED_MAX_US (12 * FW_SEC)
/* Parts of a prompt that a log line names. */
#define FW_LOGGED_PARTS_MAX 16

void
Fw_Crashes_Init(struct fw_relay *r)
{
    Fw_Blame_Init(&r->crashes.blame);
    r->crashes.stored =
        g_array_new(FALSE, FALSE, sizeof(struct fw_rl_stored_key));
}

void
Fw_Crashes_Clear(struct fw_relay *r)
{
    Fw_Blame_Clear(&r->crashes.blame);
    g_array_unref(r->crashes.stored);
}

void
Fw_Crashes_BindParts(struct fw_rl_call *c)
{
    uint64_t service = Fw_Hash_Str(c->service);

    for (int i = 0; i < c->info.n_parts; i++) {
        c->info.parts[i] = Fw_Hash_Bytes(&c->info.parts[i],
                                         sizeof(c->info.parts[i]), service);
    }
}

static uint64_t
lifetime_of(const struct fw_rl_server *s)
{
    return s->hash ^ (uint64_t)s->entry.born_ms;
}

G_STATIC_ASSERT(FW_RL_PARTS_MAX <= FW_DEPTH_WHOLE);

/* Return: number of keys written to @out. */
static int
list_keys(const struct fw_rl_call *c, struct fw_blame_key *out)
{
    int n = 0;

    out[n++] = (struct fw_blame_key){.hash = c->info.fingerprint,
                                     .depth = FW_DEPTH_WHOLE,
                                     .sent_us = c->sent_us};
    for (int i = 0; i < c->info.n_parts; i++) {
        out[n++] = (struct fw_blame_key){
            .hash = c->info.parts[i], .depth = i, .sent_us = c->sent_us};
    }
    return n;
}

static void
log_broken_run(struct fw_relay *r, const struct fw_rl_call *c,
               const struct fw_rl_server *s, int64_t now_us,
               struct fw_rl_actions *out)
{
    GString *parts = g_string_new(NULL);

    for (int i = 0; i < MIN(c->info.n_parts, FW_LOGGED_PARTS_MAX); i++) {
        g_string_append_printf(parts, "%s\"%016" G_GINT64_MODIFIER "x\"",
                               i ? "," : "", c->info.parts[i]);
    }
    Fw_RelayActions_Log(
        out, r, LOG_NOTICE, "run_broke",
        "\"id\":\"%s\",\"server\":\"%s\",\"began_ms\":%" G_GINT64_FORMAT
        ",\"parts\":[%s]",
        c->info.id, s->entry.id,
        c->is_forwarded ? Fw_Relay_UsToMs(now_us - c->response_us) : -1,
        parts->str);
    g_string_free(parts, TRUE);
}

/*
 * A server that is about to stop breaks off what it still runs, and a response
 * that has lasted has not crashed its server.
 */
void
Fw_Crashes_NoteDisconnect(struct fw_relay *r, const struct fw_rl_call *c,
                          const struct fw_rl_server *s, int64_t now_us,
                          struct fw_rl_actions *out)
{
    struct fw_rl_broken_run *b;

    log_broken_run(r, c, s, now_us, out);
    if (!Fw_Servers_IsInService(s) || c->has_lasted) {
        return;
    }
    b = &r->crashes.runs[r->crashes.n_runs++ % FW_RL_BROKEN_RUNS_MAX];
    *b = (struct fw_rl_broken_run){.state = FW_RL_BROKEN_NEW,
                                   .server = s->hash,
                                   .lifetime = lifetime_of(s),
                                   .at_us = now_us,
                                   .began_us = c->is_forwarded ? c->response_us
                                                               : INT64_MAX};
    b->n_keys = list_keys(c, b->keys);
    r->crashes.probe_due = 1;
}

/* The broken run at @lifetime that began last, NULL if none is left. */
static struct fw_rl_broken_run *
take_youngest(struct fw_relay *r, uint64_t lifetime, int64_t now_us)
{
    struct fw_rl_broken_run *youngest = NULL;

    for (int i = 0; i < FW_RL_BROKEN_RUNS_MAX; i++) {
        struct fw_rl_broken_run *b = &r->crashes.runs[i];

        if (b->state != FW_RL_BROKEN_NONE && b->lifetime == lifetime &&
            now_us - b->at_us < FW_CRASH_DETECTION_US &&
            (!youngest || b->began_us > youngest->began_us)) {
            youngest = b;
        }
    }
    if (youngest) {
        youngest->state = FW_RL_BROKEN_NONE;
    }
    return youngest;
}

int
Fw_Crashes_ServerLost(struct fw_relay *r, const struct fw_rl_server *s,
                      int64_t now_us, struct fw_rl_actions *out)
{
    const struct fw_rl_broken_run *b;
    struct fw_crash *crash;
    int n = 0;

    while ((b = take_youngest(r, lifetime_of(s), now_us))) {
        crash = Fw_Blame_NoteCrash(&r->crashes.blame, b->lifetime, b->at_us,
                                   b->keys, b->n_keys, now_us);
        if (crash) {
            crash->is_unsent = 1;
            crash->is_own = 1;
        }
        n++;
    }
    if (n) {
        r->crashes.changed = 1;
        Fw_RelayActions_Log(out, r, LOG_WARNING, "server_crashed",
                            "\"server\":\"%s\",\"runs\":%d", s->entry.id, n);
    }
    return n;
}

static void
refute(struct fw_relay *r, struct fw_crash *c, int64_t now_us)
{
    if (Fw_Blame_Refute(&r->crashes.blame, c->server, c->at_us, now_us)) {
        c->is_unsent = 1;
        r->crashes.changed = 1;
    }
}

/* Without a start in its entry a process started anew looks like the former.
 */
static int
is_still_listed(const struct fw_relay *r, uint64_t lifetime)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->servers) {
        const struct fw_rl_server *s =
            FW_LIST_ENTRY(pos, struct fw_rl_server, link);

        if (lifetime_of(s) == lifetime) {
            return s->entry.born_ms && !s->removal_us;
        }
    }
    return 0;
}

static void
refute_listed(struct fw_relay *r, int64_t now_us)
{
    for (int i = 0; i < r->crashes.blame.n_crashes; i++) {
        struct fw_crash *c = &r->crashes.blame.crashes[i];
        int64_t age_us = now_us - c->at_us;

        if (c->is_own && !c->is_refuted && age_us >= FW_STILL_LISTED_US &&
            age_us < FW_STILL_LISTED_MAX_US && !r->store_sync.store_lost &&
            is_still_listed(r, c->server)) {
            refute(r, c, now_us);
        }
    }
}

void
Fw_Crashes_ServerResponded(struct fw_relay *r, const struct fw_rl_server *s,
                           int64_t sent_us, int64_t now_us)
{
    struct fw_crash *c = Fw_Blame_FindCrash(&r->crashes.blame, lifetime_of(s));

    if (c && sent_us - c->at_us >= FW_REFUTE_MIN_US &&
        sent_us - c->at_us < FW_REFUTE_MAX_US) {
        refute(r, c, now_us);
    }
}

void
Fw_Crashes_NoteSound(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us)
{
    struct fw_blame_key keys[FW_RL_PARTS_MAX + 1];
    /* A buffered response may have begun at any time since it was sent. */
    int64_t began_us =
        c->route->kind == FW_RL_STREAM ? c->response_us : c->sent_us;
    int n;

    if (!c->is_response_good || c->is_noted_sound || !c->server) {
        return;
    }
    c->is_noted_sound = 1;
    n = list_keys(c, keys);
    for (int i = 0; i < n; i++) {
        Fw_Blame_NoteSound(&r->crashes.blame, keys[i].hash, began_us, 0,
                           c->info.n_parts > 0, now_us);
    }
    r->crashes.changed |= r->crashes.blame.changed;
}

/*
 * The end of a response that an instance has missed while it was frozen is
 * read between the first tick after that and the next one. Until then the
 * response may have been broken off long before.
 */
void
Fw_Crashes_NoteLasting(struct fw_relay *r, struct fw_rl_call *c,
                       int64_t now_us)
{
    if (!c->is_forwarded || now_us - c->response_us < FW_CRASH_ONSET_US) {
        return;
    }
    if (!c->lasting_us) {
        c->lasting_us = now_us;
    }
    if (now_us > c->lasting_us) {
        c->has_lasted = 1;
        Fw_Crashes_NoteSound(r, c, now_us);
    }
}

int
Fw_Crashes_IsQuarantined(const struct fw_relay *r, const struct fw_rl_call *c,
                         int64_t now_us, int64_t *retry_us)
{
    const struct fw_blame *blame = &r->crashes.blame;
    struct fw_blame_key keys[FW_RL_PARTS_MAX + 1];
    int n = blame->n_quarantines ? list_keys(c, keys) : 0;

    for (int i = 0; i < n; i++) {
        const struct fw_quarantine *q =
            Fw_Blame_FindQuarantine(blame, keys[i].hash, now_us);

        if (q) {
            *retry_us =
                CLAMP(now_us - q->since_us, FW_RETRY_MIN_US, FW_RETRY_MAX_US);
            return 1;
        }
    }
    return 0;
}

/* A call that was handed over is rejected by the instance that has it. */
static int
is_held(const struct fw_rl_call *c)
{
    return c->service[0] && !c->is_forwarded &&
           !(c->op && c->op->kind == FW_RL_UP_HANDOVER);
}

static void
reject_quarantined(struct fw_relay *r, int64_t now_us,
                   struct fw_rl_actions *out)
{
    struct fw_list *pos;
    struct fw_list *tmp;
    int64_t retry_us;

    FW_LIST_EACH_SAFE (pos, tmp, &r->call_list) {
        struct fw_rl_call *c = FW_LIST_ENTRY(pos, struct fw_rl_call, link);

        if (!is_held(c) ||
            !Fw_Crashes_IsQuarantined(r, c, now_us, &retry_us)) {
            continue;
        }
        if (c->state == FW_RL_RUNNING && c->op) {
            c->ran = MAX(c->ran, FW_RAN_MAYBE);
        }
        Fw_Call_Reject(r, c, 503, retry_us, "poison", now_us, out);
    }
}

void
Fw_Crashes_Update(struct fw_relay *r, int64_t now_us,
                  struct fw_rl_actions *out)
{
    GArray *changes;

    if (!r->crashes.blame.changed) {
        return;
    }
    changes = g_array_new(FALSE, FALSE, sizeof(struct fw_blame_change));
    Fw_Blame_Judge(&r->crashes.blame, now_us, changes);
    for (guint i = 0; i < changes->len; i++) {
        const struct fw_blame_change *ch =
            &g_array_index(changes, struct fw_blame_change, i);

        Fw_RelayActions_Log(
            out, r, LOG_WARNING,
            ch->is_quarantined ? "quarantined" : "quarantine_ended",
            "\"key\":\"%016" G_GINT64_MODIFIER "x\",\"crashes\":%d", ch->key,
            ch->n_crashes);
    }
    r->crashes.changed |= changes->len != 0;
    g_array_unref(changes);
    if (r->crashes.blame.n_quarantines) {
        reject_quarantined(r, now_us, out);
    }
}

/* Of a server that several runs were lost with one probe is enough. */
static void
mark_probed(struct fw_relay *r, uint64_t lifetime)
{
    for (int i = 0; i < FW_RL_BROKEN_RUNS_MAX; i++) {
        struct fw_rl_broken_run *b = &r->crashes.runs[i];

        if (b->state == FW_RL_BROKEN_NEW && b->lifetime == lifetime) {
            b->state = FW_RL_BROKEN_PROBED;
        }
    }
}

static void
probe_servers(struct fw_relay *r, int64_t now_us, struct fw_rl_actions *out)
{
    r->crashes.probe_due = 0;
    for (int i = 0; i < FW_RL_BROKEN_RUNS_MAX; i++) {
        struct fw_rl_broken_run *b = &r->crashes.runs[i];
        struct fw_rl_server *s;

        if (b->state != FW_RL_BROKEN_NEW) {
            continue;
        }
        s = Fw_Servers_FindByHash(r, b->server);
        mark_probed(r, b->lifetime);
        if (s && lifetime_of(s) == b->lifetime &&
            Fw_Admission_MaySend(r, s, 1, now_us)) {
            Fw_Links_Probe(r, s, now_us, out);
        }
    }
}

/* How long an instance that has started has waited for the others' answer. */
static void
log_answered(struct fw_relay *r, int64_t now_us, struct fw_rl_actions *out)
{
    if (r->crashes.is_logged || !Fw_CrashQuery_IsAnswered(r, now_us)) {
        return;
    }
    r->crashes.is_logged = 1;
    if (!r->crashes.asked_us) {
        return;
    }
    Fw_RelayActions_Log(out, r, LOG_NOTICE, "crashes_known",
                        "\"answered\":%d,\"quarantined\":%d,\"stored\":%d,"
                        "\"after_ms\":%" G_GINT64_FORMAT,
                        r->crashes.is_answered || r->crashes.nobody_knows,
                        r->crashes.blame.n_quarantines,
                        r->store_sync.members_known ? r->crashes.n_stored_read
                                                    : -1,
                        Fw_Relay_UsToMs(now_us - r->start_us));
}

void
Fw_Crashes_Tick(struct fw_relay *r, int64_t now_us, struct fw_rl_actions *out)
{
    if (r->crashes.probe_due && r->rules) {
        probe_servers(r, now_us, out);
    }
    refute_listed(r, now_us);
    Fw_Crashes_Update(r, now_us, out);
    log_answered(r, now_us, out);
}
