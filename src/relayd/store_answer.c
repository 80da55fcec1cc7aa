/*
 * What answers about a topic mean. Where its history was cut off, or at the
 * start, the newest record of each key is read, then what came after.
 */
#include <errno.h>
#include <string.h>

#include "http/conn.h"
#include "io/note.h"
#include "relayd/store_internal.h"

/* After a failure, before the next try; halved or raised by chance. */
#define FW_STORE_RETRY_US (250 * FW_MSEC)
/* The instances are read again while none of them was heard. */
#define FW_MEMBERS_EVERY_US (3 * FW_SEC)

static void
reached(struct fw_store *s)
{
    int64_t now = Fw_Conn_Now();

    if (s->lost_us) {
        char ms[24];

        g_snprintf(ms, sizeof(ms), "%" G_GINT64_FORMAT,
                   (int64_t)((now - s->lost_us) / FW_MSEC));
        Fw_Note_Log(LOG_NOTICE, "store_back", "away_ms", ms, NULL);
        s->lost_us = 0;
        Fw_Relay_StoreRecovered(s->d->relay, now);
    }
}

static const char *const topic_words[] = {[FW_TOPIC_RULES] = "configuration",
                                          [FW_TOPIC_SERVERS] = "servers",
                                          [FW_TOPIC_MEMBERS] = "instances",
                                          [FW_TOPIC_LEAD] = "role"};

static void
missed(struct fw_follow *f, enum fw_outcome outcome, const char *why)
{
    struct fw_store *s = f->store;
    int64_t now = Fw_Conn_Now();
    int64_t pause = FW_STORE_RETRY_US / 2 +
                    g_random_int_range(0, (gint32)FW_STORE_RETRY_US);

    Fw_Store_Count(f, outcome);
    if (!s->lost_us) {
        s->lost_us = now;
        Fw_Note_Log(LOG_WARNING, "store_lost", "why", why, NULL);
        Fw_Relay_StoreUnreachable(s->d->relay);
    }
    f->next_us = now + pause;
}

/* Pages are not a snapshot: what changes meanwhile is read afterwards. */
static void
took_newest(struct fw_follow *f, const struct fw_records *got,
            struct fw_rl_actions *acts)
{
    struct fw_relayd *d = f->store->d;

    if (!f->paging) {
        f->page_end = got->end;
        if (f->newest) {
            g_hash_table_remove_all(f->newest);
        }
        if (f->topic == FW_TOPIC_SERVERS) {
            Fw_Relay_BeginServerList(d->relay);
        }
    }
    Fw_Store_Take(f->store->d, f->topic, f->newest, got, acts);
    f->paging = got->more && got->all->len;
    if (f->paging) {
        const struct fw_record *last =
            &g_array_index(got->all, struct fw_record, got->all->len - 1);

        g_strlcpy(f->after, last->key, sizeof(f->after));
        f->next_us = 0;
        return;
    }
    f->after[0] = 0;
    f->from = f->page_end;
    f->step = FW_STEP_READ;
    if (f->topic == FW_TOPIC_SERVERS) {
        Fw_Relay_EndServerList(d->relay, Fw_Conn_Now(), acts);
        Fw_Relay_SetServerListOffset(d->relay, f->from);
    }
    if (f->topic == FW_TOPIC_MEMBERS) {
        Fw_Relay_EndMemberList(d->relay, Fw_Conn_Now());
        f->step = FW_STEP_NEWEST;
        f->next_us = Fw_Conn_Now() + FW_MEMBERS_EVERY_US;
    }
}

static void
took_read(struct fw_follow *f, const struct fw_records *got,
          struct fw_rl_actions *acts)
{
    Fw_Store_Take(f->store->d, f->topic, f->newest, got, acts);
    f->from = got->next;
    f->next_us = f->from < got->end ? 0 : f->sent_us + f->every_us;
    if (f->topic == FW_TOPIC_SERVERS) {
        Fw_Relay_SetServerListOffset(f->store->d->relay, f->from);
    }
}

static void
took_append(struct fw_follow *f, const struct fw_records *got)
{
    struct fw_relay *r = f->store->d->relay;
    int64_t now = Fw_Conn_Now();

    if (f->topic == FW_TOPIC_LEAD) {
        enum fw_rl_claim_result c = got->status == 200   ? FW_RL_CLAIM_WON
                                    : got->status == 412 ? FW_RL_CLAIM_LOST
                                                         : FW_RL_CLAIM_UNKNOWN;

        char offset[24];

        g_snprintf(offset, sizeof(offset), "%" G_GUINT64_FORMAT,
                   c == FW_RL_CLAIM_WON ? got->first : got->end);
        Fw_Note_Log(LOG_NOTICE,
                    c == FW_RL_CLAIM_WON ? "role_taken" : "role_not_taken",
                    "offset", offset, NULL);
        Fw_Relay_ClaimEnded(r, c, c == FW_RL_CLAIM_WON ? got->first : got->end,
                            f->sent_us, now);
        g_clear_pointer(&f->value, g_free);
        return;
    }
    g_clear_pointer(&f->value, g_free);
    f->step = FW_STEP_NEWEST;
    f->next_us = 0;
}

/* What was read of the store meanwhile may be newer. */
static void
took_peers(struct fw_follow *f, const struct fw_records *got,
           struct fw_rl_actions *acts)
{
    if (got->end > f->from) {
        f->paging = 0;
        took_newest(f, got, acts);
    }
    f->next_us = f->sent_us + f->every_us;
}

/* The store is asked then. */
static void
peer_failed(struct fw_follow *f, const char *why)
{
    Fw_Note_Log(LOG_NOTICE, "handover_failed", "topic", topic_words[f->topic],
                "from", f->peer, "why", why, NULL);
    f->peer[0] = 0;
    f->next_us = 0;
    f->must = 1;
}

static void
on_peer_end(struct fw_follow *f)
{
    struct fw_records got;
    struct fw_rl_actions acts;

    if (f->status != 200) {
        peer_failed(f, "refused");
        return;
    }
    Fw_RelayActions_Init(&acts);
    if (Fw_Handover_Read(f->body->data, f->body->len, &got)) {
        peer_failed(f, "an answer that can't be read");
    }
    else {
        took_peers(f, &got, &acts);
        f->peer[0] = 0;
    }
    Fw_Platform_ClearRecords(&got);
    g_byte_array_set_size(f->body, 0);
    Fw_Relayd_CarryOut(f->store->d, &acts);
}

static int
decode(struct fw_follow *f, struct fw_records *got)
{
    const void *data = f->body->data;
    size_t len = f->body->len;

    switch (f->step) {
    case FW_STEP_NEWEST:
        return Fw_Platform_ReadNewest(f->status, data, len, got);
    case FW_STEP_READ:
        return Fw_Platform_ReadRecords(f->topic, f->from, f->status, data, len,
                                       got);
    case FW_STEP_APPEND:
        return Fw_Platform_ReadAppend(f->status, data, len, got);
    }
    return -EBADMSG;
}

static void
answered(struct fw_follow *f, const struct fw_records *got,
         struct fw_rl_actions *acts)
{
    reached(f->store);
    Fw_Store_Count(f, FW_OUTCOME_OK);
    if (got->status == 410) {
        char from[24];

        g_snprintf(from, sizeof(from), "%" G_GUINT64_FORMAT, f->from);
        Fw_Note_Log(LOG_NOTICE, "history_cut", "topic", topic_words[f->topic],
                    "from", from, NULL);
        f->step = FW_STEP_NEWEST;
        f->paging = 0;
        f->next_us = 0;
        return;
    }
    if (f->step == FW_STEP_NEWEST) {
        took_newest(f, got, acts);
    }
    else if (f->step == FW_STEP_READ) {
        took_read(f, got, acts);
    }
    else {
        took_append(f, got);
    }
    /*
     * All that was written before the read was sent is in force now: the
     * answer itself may have been long on its way.
     */
    if (f->topic == FW_TOPIC_RULES && !f->paging &&
        f->next_us <= f->sent_us + f->every_us) {
        Fw_Relay_SetFreshAsOf(f->store->d->relay, f->sent_us);
    }
}

static void
claim_failed(struct fw_follow *f)
{
    if (f->topic == FW_TOPIC_LEAD && f->value) {
        g_clear_pointer(&f->value, g_free);
        Fw_Relay_ClaimEnded(f->store->d->relay, FW_RL_CLAIM_UNKNOWN, 0,
                            f->sent_us, Fw_Conn_Now());
    }
}

static int
is_expected(const struct fw_follow *f)
{
    return f->status == 200 || (f->status == 410 && f->step == FW_STEP_READ) ||
           (f->status == 412 && f->step == FW_STEP_APPEND);
}

void
Fw_Follow_Failed(struct fw_follow *f, const char *why)
{
    if (f->peer[0]) {
        peer_failed(f, why);
        return;
    }
    missed(f, FW_OUTCOME_LOST, why);
    claim_failed(f);
}

void
Fw_Follow_Ended(struct fw_follow *f)
{
    struct fw_rl_actions acts;
    struct fw_records got;

    if (f->peer[0]) {
        on_peer_end(f);
        return;
    }
    if (!is_expected(f)) {
        char status[16];

        g_snprintf(status, sizeof(status), "status %d", f->status);
        missed(f, FW_OUTCOME_REFUSED, status);
        claim_failed(f);
        return;
    }
    Fw_RelayActions_Init(&acts);
    if (decode(f, &got)) {
        missed(f, FW_OUTCOME_UNREADABLE, "an answer that can't be read");
        claim_failed(f);
    }
    else {
        answered(f, &got, &acts);
    }
    Fw_Platform_ClearRecords(&got);
    g_byte_array_set_size(f->body, 0);
    Fw_Relayd_CarryOut(f->store->d, &acts);
    Fw_Store_Tick(f->store, Fw_Conn_Now());
}
