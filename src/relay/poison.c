/*
 * Detection of requests that crash the servers that run them. Retried by
 * their callers, such requests could take down a whole service.
 *
 * A request whose connection to a server breaks is a crash suspect. It gets a
 * strike if the server's process ends shortly after. The strikes counted by
 * all instances are added up.
 */
#include "relay/relay_internal.h"

/*
 * Maximum time from a broken connection until the server's end is known: its
 * entry expires after three heartbeats of 1.2 s, then the list is read.
 */
#define FW_CRASH_DETECTION_US (6 * FW_SEC)
/* Strikes expire, since the server may have been fixed meanwhile. */
#define FW_STRIKE_TTL_US (120 * FW_SEC)

/* Parts of a prompt that a log line names. */
#define FW_LOGGED_PARTS_MAX 16

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

void
Fw_Poison_NoteDisconnect(struct fw_relay *r, const struct fw_rl_call *c,
                         const struct fw_rl_server *s, int64_t now_us,
                         struct fw_rl_actions *out)
{
    struct fw_rl_crash_suspect *q =
        &r->crash_suspects[r->n_crash_suspects++ % FW_RL_CRASH_SUSPECTS_MAX];

    *q = (struct fw_rl_crash_suspect){.fingerprint = c->info.fingerprint,
                                      .server =
                                          s->hash ^ (uint64_t)s->entry.born_ms,
                                      .at_us = now_us};
    log_broken_run(r, c, s, now_us, out);
}

static struct fw_rl_strike *
find_or_add_strike(struct fw_relay *r, uint64_t fingerprint)
{
    struct fw_rl_strike *oldest = &r->strikes[0];

    for (int i = 0; i < r->n_strikes; i++) {
        if (r->strikes[i].fingerprint == fingerprint) {
            return &r->strikes[i];
        }
        if (r->strikes[i].at_us < oldest->at_us) {
            oldest = &r->strikes[i];
        }
    }
    if (r->n_strikes < FW_RL_STRIKES_MAX) {
        oldest = &r->strikes[r->n_strikes++];
    }
    *oldest = (struct fw_rl_strike){.fingerprint = fingerprint};
    return oldest;
}

void
Fw_Poison_ServerLost(struct fw_relay *r, const struct fw_rl_server *s,
                     int64_t now_us, struct fw_rl_actions *out)
{
    uint64_t server = s->hash ^ (uint64_t)s->entry.born_ms;
    int n = MIN(r->n_crash_suspects, FW_RL_CRASH_SUSPECTS_MAX);

    for (int i = 0; i < n; i++) {
        struct fw_rl_crash_suspect *q = &r->crash_suspects[i];
        struct fw_rl_strike *k;

        if (q->server != server || now_us - q->at_us > FW_CRASH_DETECTION_US) {
            continue;
        }
        q->server = 0;
        k = find_or_add_strike(r, q->fingerprint);
        k->count++;
        k->at_us = now_us;
        Fw_RelayActions_Log(out, r, LOG_WARNING, "strike",
                            "\"digest\":\"%016" G_GINT64_MODIFIER
                            "x\",\"count\":%d,\"server\":\"%s\"",
                            q->fingerprint, k->count, s->entry.id);
    }
}

int
Fw_Poison_CountStrikes(const struct fw_relay *r, uint64_t fingerprint,
                       int64_t now_us)
{
    struct fw_list *pos;
    int n = 0;

    for (int i = 0; i < r->n_strikes; i++) {
        if (r->strikes[i].fingerprint == fingerprint &&
            now_us - r->strikes[i].at_us < FW_STRIKE_TTL_US) {
            n += r->strikes[i].count;
        }
    }
    FW_LIST_EACH (pos, &r->members) {
        const struct fw_rl_member *m =
            FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        n += (int)Fw_Rows_Lookup(m->strikes, fingerprint);
    }
    return n;
}
