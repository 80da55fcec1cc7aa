/*
 * Servers that the platform lists, and their health as seen by this instance.
 *
 * A server is removed when its entry vanishes. While the store is unavailable
 * the entries of live servers expire too, and are renewed within two seconds
 * of its recovery. During that time unlisted servers are kept, or all healthy
 * servers would be removed at once.
 */
#include <errno.h>
#include <string.h>

#include "base/fault.h"
#include "base/hash.h"
#include "relay/relay_internal.h"

/*
 * Initial backoff of a server that could not be reached, and the number of
 * times it is doubled. Each request that tries such a server loses a connect
 * timeout; a crashed server is usually back within seconds.
 */
#define FW_BACKOFF_INITIAL_US (700 * FW_MSEC)
#define FW_BACKOFF_DOUBLINGS_MAX 2
G_STATIC_ASSERT(FW_BACKOFF_INITIAL_US << FW_BACKOFF_DOUBLINGS_MAX ==
                FW_RL_BACKOFF_MAX_US);
/* Consecutive timeouts that start a backoff. */
#define FW_TIMEOUTS_MAX 2
/* Consecutive rejected runs that start a backoff. */
#define FW_REJECTED_RUNS_MAX 2
/*
 * Time for which a run may follow its reservation to a server that leaves. It
 * must reach the server within two seconds of the entry's change, most of
 * which may have passed when this instance learns of it.
 */
#define FW_FOLLOW_US (500 * FW_MSEC)
/* Weight of the newest response in the moving means. */
#define FW_MEAN_WEIGHT 0.15

struct fw_rl_server *
Fw_Servers_FindByHash(const struct fw_relay *r, uint64_t hash)
{
    return g_hash_table_lookup(r->servers_by_hash, &hash);
}

struct fw_rl_server *
Fw_Servers_FindByShortHash(const struct fw_relay *r, uint32_t hash)
{
    return g_hash_table_lookup(r->servers_by_short_hash,
                               GUINT_TO_POINTER(hash));
}

struct fw_rl_server *
Fw_Servers_Find(const struct fw_relay *r, const char *id)
{
    struct fw_rl_server *s = Fw_Servers_FindByHash(r, Fw_Hash_Str(id));

    return s && strcmp(s->entry.id, id) == 0 ? s : NULL;
}

void
Fw_Servers_Activate(struct fw_relay *r, struct fw_rl_server *s)
{
    if (!s->is_active && !s->gone) {
        s->is_active = 1;
        Fw_List_Append(&r->active_servers, &s->active_link);
    }
}

static void
deactivate(struct fw_rl_server *s)
{
    if (s->is_active) {
        s->is_active = 0;
        Fw_List_Remove(&s->active_link);
    }
}

void
Fw_Servers_DeactivateIdle(struct fw_rl_server *s, int64_t now_us)
{
    if (!s->running && !s->kv_tokens && !s->prefill_tokens && !s->is_unsent &&
        now_us >= s->backoff_until_us &&
        !Fw_Servers_IsChangingStage(s, now_us)) {
        deactivate(s);
    }
}

/* Most entries repeat the texts of the one before. */
static void
take_text(const char **own, const char *kept, const char *text)
{
    if (kept && g_strcmp0(kept, text) == 0) {
        *own = kept;
        return;
    }
    g_free((char *)kept);
    *own = g_strdup(text ? text : "");
}

/* Replaces the entry, and its part in the hash of the list. */
static void
set_entry(struct fw_relay *r, struct fw_rl_server *s,
          const struct fw_rl_server_entry *e, int64_t now_us)
{
    struct fw_rl_server_entry kept = s->entry;

    s->entry = *e;
    take_text(&s->entry.id, kept.id, e->id);
    take_text(&s->entry.domain, kept.domain, e->domain);
    s->is_evacuated = Fw_Evacuation_IsActive(r, s->entry.domain);
    s->stage_links = Fw_Links_OfStage(r, e->service, e->stage);
    s->entry.service = s->stage_links->service;
    Fw_Cold_ApplyEntry(s, now_us);
    r->list_hash -= Fw_Servers_IsUnlisted(s) ? 0 : s->list_hash;
    s->list_hash = Fw_StoreSync_EntryHash(e);
    r->list_hash += Fw_Servers_IsUnlisted(s) ? 0 : s->list_hash;
}

struct fw_rl_server *
Fw_Servers_Ref(struct fw_rl_server *s)
{
    s->refs++;
    return s;
}

void
Fw_Servers_Unref(struct fw_rl_server *s)
{
    if (--s->refs == 0) {
        Fw_List_Remove(&s->link);
        g_free((char *)s->entry.id);
        g_free((char *)s->entry.domain);
        g_free(s);
    }
}

int
Fw_Servers_IsInService(const struct fw_rl_server *s)
{
    return !s->gone && (!s->entry.draining || FW_FAULT("draining-ignored")) &&
           !s->is_leaving && !s->is_evacuated && !s->is_presumed_gone;
}

int
Fw_Servers_IsUsable(const struct fw_rl_server *s, int64_t now_us)
{
    return Fw_Servers_IsInService(s) && now_us >= s->backoff_until_us;
}

int
Fw_Relay_HasServer(const struct fw_relay *r, const char *id)
{
    return Fw_Servers_Find(r, id) != NULL;
}

int
Fw_Relay_IsServerUsable(const struct fw_relay *r, const char *id,
                        int64_t now_us)
{
    const struct fw_rl_server *s = Fw_Servers_Find(r, id);

    return s && Fw_Servers_IsUsable(s, now_us);
}

int
Fw_Servers_IsChangingStage(const struct fw_rl_server *s, int64_t now_us)
{
    return now_us < s->stage_change_until_us &&
           s->entry.stage != s->target_stage;
}

void
Fw_Servers_NoteUnreachable(struct fw_rl_server *s, int64_t now_us)
{
    int doublings = MIN(s->consecutive_backoffs, FW_BACKOFF_DOUBLINGS_MAX);

    s->consecutive_backoffs++;
    s->backoff_until_us = now_us + (FW_BACKOFF_INITIAL_US << doublings);
}

/*
 * A single response may be lost although the server is healthy. A backoff for
 * each would take an engine's memory out of use.
 */
void
Fw_Servers_NoteTimeout(struct fw_rl_server *s, int64_t now_us)
{
    s->timeouts++;
    if (s->timeouts >= FW_TIMEOUTS_MAX) {
        Fw_Servers_NoteUnreachable(s, now_us);
    }
}

/*
 * An engine that changes its stage grants reservations but runs nothing for
 * several seconds, so prefills for it are wasted. A single rejection may have
 * another cause, such as an expired KV cache.
 */
void
Fw_Servers_NoteRejectedRun(struct fw_rl_server *s, int64_t now_us)
{
    s->rejected_runs++;
    if (s->rejected_runs >= FW_REJECTED_RUNS_MAX) {
        Fw_Servers_NoteUnreachable(s, now_us);
    }
}

void
Fw_Servers_NoteResponse(struct fw_rl_server *s, int failed, int64_t latency_us)
{
    s->consecutive_backoffs = 0;
    s->timeouts = 0;
    s->error_rate += FW_MEAN_WEIGHT * ((failed ? 1.0 : 0.0) - s->error_rate);
    if (latency_us >= 0) {
        s->latency_us =
            s->latency_us == 0
                ? (double)latency_us
                : s->latency_us +
                      FW_MEAN_WEIGHT * ((double)latency_us - s->latency_us);
    }
}

void
Fw_Servers_NoteServiceTime(struct fw_rl_server *s, int64_t took_us)
{
    double took = (double)took_us;

    s->service_us =
        s->service_us == 0
            ? took
            : s->service_us + FW_MEAN_WEIGHT * (took - s->service_us);
}

static void
close_idle_connections(const struct fw_rl_server *s, struct fw_rl_actions *out)
{
    g_strlcpy(Fw_RelayActions_Add(out, FW_RL_DO_CLOSE_IDLE)->u.addr,
              s->entry.addr, FW_URL_MAX);
}

int
Fw_Servers_HasLeft(const struct fw_rl_server *s, int64_t now_us)
{
    return s->left_us && now_us - s->left_us >= FW_FOLLOW_US;
}

void
Fw_Servers_NoteLeaving(struct fw_relay *r, struct fw_rl_server *s,
                       int64_t now_us, struct fw_rl_actions *out)
{
    if (s->is_leaving || FW_FAULT("leaving-ignored")) {
        return;
    }
    s->is_leaving = 1;
    Fw_Servers_NoteLeft(s, now_us);
    Fw_RelayActions_Log(out, r, LOG_NOTICE, "server_leaving",
                        "\"server\":\"%s\"", s->entry.id);
    close_idle_connections(s, out);
}

static void
remove_server(struct fw_relay *r, struct fw_rl_server *s, const char *why,
              int64_t now_us, struct fw_rl_actions *out)
{
    Fw_RelayActions_Log(out, r, LOG_NOTICE, "server_gone",
                        "\"server\":\"%s\",\"addr\":\"%s\",\"why\":\"%s\"",
                        s->entry.id, s->entry.addr, why);
    Fw_Servers_NoteLeft(s, now_us);
    Fw_Crashes_ServerLost(r, s, now_us, out);
    close_idle_connections(s, out);
    Fw_Servers_SetRemoval(r, s, 0, now_us);
    r->list_hash -= s->list_hash;
    g_hash_table_remove(r->servers_by_hash, &s->hash);
    if (Fw_Servers_FindByShortHash(r, (uint32_t)s->hash) == s) {
        g_hash_table_remove(r->servers_by_short_hash,
                            GUINT_TO_POINTER((uint32_t)s->hash));
    }
    Fw_Speed_Remove(r->speeds.table, s->hash);
    deactivate(s);
    Fw_Links_NoteGone(s);
    Fw_ServerLimits_Remove(s);
    s->gone = 1;
    Fw_List_Remove(&s->link);
    Fw_Servers_Unref(s);
}

static void
add_server(struct fw_relay *r, const struct fw_rl_server_entry *e,
           int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_rl_server *s = g_new0(struct fw_rl_server, 1);

    s->refs = 1;
    s->listed = 1;
    s->hash = Fw_Hash_Str(e->id);
    s->limit.milli = FW_NO_LIMIT;
    s->logged_limit = FW_NO_LIMIT;
    set_entry(r, s, e, now_us);
    s->speed = 1;
    s->logged_speed = 1;
    g_hash_table_replace(r->servers_by_hash, &s->hash, s);
    g_hash_table_replace(r->servers_by_short_hash,
                         GUINT_TO_POINTER((uint32_t)s->hash), s);
    Fw_List_Append(&r->servers, &s->link);
    Fw_RelayActions_Log(out, r, LOG_NOTICE, "server_seen",
                        "\"server\":\"%s\",\"addr\":\"%s\",\"service\":\"%s\","
                        "\"domain\":\"%s\",\"stage\":%d",
                        s->entry.id, s->entry.addr, s->entry.service,
                        s->entry.domain, (int)s->entry.stage);
}

/* An unknown start time matches any. */
static int
is_same_process(const struct fw_rl_server_entry *a,
                const struct fw_rl_server_entry *b)
{
    return strcmp(a->addr, b->addr) == 0 &&
           strcmp(a->service, b->service) == 0 &&
           (a->born_ms == b->born_ms || !a->born_ms || !b->born_ms);
}

static void
update_server(struct fw_relay *r, struct fw_rl_server *s,
              const struct fw_rl_server_entry *e, int64_t now_us,
              struct fw_rl_actions *out)
{
    if (e->draining != s->entry.draining || e->stage != s->entry.stage) {
        Fw_RelayActions_Log(out, r, LOG_NOTICE, "server_changed",
                            "\"server\":\"%s\",\"draining\":%d,\"stage\":%d",
                            e->id, e->draining, (int)e->stage);
    }
    if (e->draining && !s->entry.draining) {
        Fw_Servers_NoteLeft(s, now_us);
        close_idle_connections(s, out);
    }
    else if (!e->draining && !s->is_leaving) {
        s->left_us = 0;
    }
    set_entry(r, s, e, now_us);
    s->listed = 1;
    Fw_Servers_SetRemoval(r, s, 0, now_us);
}

static int
is_in_relist_grace(const struct fw_relay *r, int64_t now_us)
{
    return r->store_recovered_us &&
           now_us - r->store_recovered_us < FW_RL_RELIST_GRACE_US;
}

/* Removes a server that is no longer listed, or schedules its removal. */
static void
remove_unlisted(struct fw_relay *r, struct fw_rl_server *s, int64_t now_us,
                struct fw_rl_actions *out)
{
    if (is_in_relist_grace(r, now_us)) {
        if (!s->removal_us) {
            Fw_Servers_SetRemoval(
                r, s, r->store_recovered_us + FW_RL_RELIST_GRACE_US, now_us);
            Fw_RelayActions_Log(
                out, r, LOG_NOTICE, "server_unlisted",
                "\"server\":\"%s\",\"kept_ms\":%" G_GINT64_FORMAT
                ",\"used\":%d",
                s->entry.id, Fw_Relay_UsToMs(s->removal_us - now_us),
                !s->is_presumed_gone);
        }
        return;
    }
    remove_server(r, s, "no longer listed", now_us, out);
}

/* Equal but for how long it is still cold. */
static int
is_same_entry(const struct fw_rl_server_entry *a,
              const struct fw_rl_server_entry *b)
{
    return Fw_StoreSync_EntryHash(a) == Fw_StoreSync_EntryHash(b) &&
           a->slots == b->slots && strcmp(a->addr, b->addr) == 0 &&
           strcmp(a->service, b->service) == 0 &&
           g_strcmp0(a->domain, b->domain) == 0;
}

int
Fw_Relay_UpdateServer(struct fw_relay *r, const char *id,
                      const struct fw_rl_server_entry *entry, int64_t now_us,
                      struct fw_rl_actions *out)
{
    struct fw_rl_server *s = Fw_Servers_Find(r, id);

    if (!entry) {
        if (s) {
            remove_unlisted(r, s, now_us, out);
        }
        return 1;
    }
    if (s && !s->removal_us && is_same_entry(&s->entry, entry)) {
        update_server(r, s, entry, now_us, out);
        return 0;
    }
    if (s && !is_same_process(&s->entry, entry)) {
        remove_server(r, s, "started anew", now_us, out);
        s = NULL;
    }
    if (s) {
        update_server(r, s, entry, now_us, out);
    }
    else {
        add_server(r, entry, now_us, out);
    }
    Fw_Stream_PlaceQueued(r, now_us, out);
    return 1;
}

void
Fw_Relay_BeginServerList(struct fw_relay *r)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->servers) {
        FW_LIST_ENTRY(pos, struct fw_rl_server, link)->listed = 0;
    }
}

void
Fw_Relay_EndServerList(struct fw_relay *r, int64_t now_us,
                       struct fw_rl_actions *out)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    if (!r->has_server_list) {
        Fw_Exchange_ReportProgress(r);
    }
    r->has_server_list = 1;
    FW_LIST_EACH_SAFE (pos, tmp, &r->servers) {
        struct fw_rl_server *s = FW_LIST_ENTRY(pos, struct fw_rl_server, link);

        if (!s->listed) {
            remove_unlisted(r, s, now_us, out);
        }
    }
}

void
Fw_Relay_StoreUnreachable(struct fw_relay *r, int64_t now_us)
{
    r->store_sync.store_lost = 1;
    r->store_sync.lost_us = now_us;
}

void
Fw_Relay_StoreRecovered(struct fw_relay *r, int64_t now_us)
{
    int64_t lost_us = r->store_sync.lost_us;

    r->store_sync.store_lost = 0;
    r->store_sync.lost_us = 0;
    if (lost_us && now_us - lost_us < FW_RL_OUTAGE_MIN_US) {
        return;
    }
    r->store_sync.recovered_us = now_us;
    r->store_recovered_us = now_us;
}

void
Fw_Servers_Tick(struct fw_relay *r, int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    if (!r->n_removals) {
        return;
    }
    FW_LIST_EACH_SAFE (pos, tmp, &r->servers) {
        struct fw_rl_server *s = FW_LIST_ENTRY(pos, struct fw_rl_server, link);

        if (s->removal_us && now_us >= s->removal_us) {
            remove_server(r, s, "not listed after the store's recovery",
                          now_us, out);
        }
    }
}

void
Fw_Servers_Clear(struct fw_relay *r)
{
    while (!Fw_List_Empty(&r->servers)) {
        struct fw_rl_server *s =
            FW_LIST_ENTRY(r->servers.next, struct fw_rl_server, link);

        deactivate(s);
        Fw_ServerLimits_Remove(s);
        Fw_List_Remove(&s->link);
        Fw_Servers_Unref(s);
    }
}
