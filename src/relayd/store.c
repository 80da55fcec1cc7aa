/*
 * Follows the platform's store: the operator's configuration, the servers'
 * entries, and the instances. Where a topic's history was cut off, or at
 * the start, the newest record of each key is read, then what came after.
 */
#include <errno.h>
#include <string.h>

#include "http/conn.h"
#include "io/json.h"
#include "io/note.h"
#include "relayd/store_internal.h"

/*
 * An answer of the store takes some milliseconds, a slow one a quarter of a
 * second; beyond this the connection is taken as dead.
 */
#define FW_STORE_WAIT_US (1200 * FW_MSEC)
/* A kept connection idle for longer may be gone; a new one costs a hop. */
#define FW_STORE_REUSE_US (10 * FW_SEC)
/* A third of the wait: leaves time for the answer on a slow connect. */
#define FW_STORE_CONNECT_US (400 * FW_MSEC)
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
        Fw_Relay_StoreBack(s->d->relay, now);
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
        Fw_Relay_StoreLost(s->d->relay);
    }
    f->next_us = now + pause;
}

/* Pages are not a snapshot: what changes meanwhile is read afterwards. */
static void
took_newest(struct fw_follow *f, const struct fw_records *got,
            struct fw_rl_acts *acts)
{
    struct fw_relayd *d = f->store->d;

    if (!f->paging) {
        f->page_end = got->end;
        if (f->newest) {
            g_hash_table_remove_all(f->newest);
        }
        if (f->topic == FW_TOPIC_SERVERS) {
            Fw_Relay_ListBegin(d->relay);
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
        Fw_Relay_ListEnd(d->relay, Fw_Conn_Now(), acts);
        Fw_Relay_ListOffset(d->relay, f->from);
    }
    if (f->topic == FW_TOPIC_MEMBERS) {
        Fw_Relay_MembersEnd(d->relay, Fw_Conn_Now());
        f->step = FW_STEP_NEWEST;
        f->next_us = Fw_Conn_Now() + FW_MEMBERS_EVERY_US;
    }
}

static void
took_read(struct fw_follow *f, const struct fw_records *got,
          struct fw_rl_acts *acts)
{
    Fw_Store_Take(f->store->d, f->topic, f->newest, got, acts);
    f->from = got->next;
    f->next_us = f->from < got->end ? 0 : f->sent_us + f->every_us;
    if (f->topic == FW_TOPIC_SERVERS) {
        Fw_Relay_ListOffset(f->store->d->relay, f->from);
    }
}

static void
took_append(struct fw_follow *f, const struct fw_records *got)
{
    struct fw_relay *r = f->store->d->relay;
    int64_t now = Fw_Conn_Now();

    if (f->topic == FW_TOPIC_LEAD) {
        enum fw_rl_claim c = got->status == 200   ? FW_RL_CLAIM_MADE
                             : got->status == 412 ? FW_RL_CLAIM_TAKEN
                                                  : FW_RL_CLAIM_UNKNOWN;

        char offset[24];

        g_snprintf(offset, sizeof(offset), "%" G_GUINT64_FORMAT,
                   c == FW_RL_CLAIM_MADE ? got->first : got->end);
        Fw_Note_Log(LOG_NOTICE,
                    c == FW_RL_CLAIM_MADE ? "role_taken" : "role_not_taken",
                    "offset", offset, NULL);
        Fw_Relay_Lead(r, c, c == FW_RL_CLAIM_MADE ? got->first : got->end,
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
           struct fw_rl_acts *acts)
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
    struct fw_rl_acts acts;

    if (f->status != 200) {
        peer_failed(f, "refused");
        return;
    }
    Fw_Acts_Init(&acts);
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
         struct fw_rl_acts *acts)
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
        Fw_Relay_Fresh(f->store->d->relay, f->sent_us);
    }
}

static void
claim_failed(struct fw_follow *f)
{
    if (f->topic == FW_TOPIC_LEAD && f->value) {
        g_clear_pointer(&f->value, g_free);
        Fw_Relay_Lead(f->store->d->relay, FW_RL_CLAIM_UNKNOWN, 0, f->sent_us,
                      Fw_Conn_Now());
    }
}

static enum fw_take
on_head(void *ctx, const struct fw_http_head *h)
{
    struct fw_follow *f = ctx;

    f->status = h->status;
    return FW_TAKE_IT;
}

static void
on_body(void *ctx, const char *data, size_t len)
{
    struct fw_follow *f = ctx;

    g_byte_array_append(f->body, (const guint8 *)data, (guint)len);
}

static int
is_word(const struct fw_follow *f)
{
    return f->status == 200 || (f->status == 410 && f->step == FW_STEP_READ) ||
           (f->status == 412 && f->step == FW_STEP_APPEND);
}

static void
on_end(void *ctx)
{
    struct fw_follow *f = ctx;
    struct fw_rl_acts acts;
    struct fw_records got;

    f->x = NULL;
    if (f->peer[0]) {
        on_peer_end(f);
        return;
    }
    if (!is_word(f)) {
        char status[16];

        g_snprintf(status, sizeof(status), "status %d", f->status);
        missed(f, FW_OUTCOME_REFUSED, status);
        claim_failed(f);
        return;
    }
    Fw_Acts_Init(&acts);
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

static void
on_fail(void *ctx, int err, enum fw_sent sent)
{
    struct fw_follow *f = ctx;

    (void)sent;
    f->x = NULL;
    if (f->peer[0]) {
        peer_failed(f, g_strerror(-err));
        return;
    }
    missed(f, FW_OUTCOME_LOST, g_strerror(-err));
    claim_failed(f);
}

static const struct fw_exchange_ops ops = {
    .head = on_head,
    .body = on_body,
    .end = on_end,
    .fail = on_fail,
};

static void
ask_peer(struct fw_follow *f)
{
    struct fw_exchange_opts how = {.reuse_us = FW_STORE_REUSE_US,
                                   .connect_us = FW_STORE_CONNECT_US};
    GString *head = g_string_new(NULL);
    int err = 0;

    Fw_Handover_WriteAsk(f->topic, f->peer, head);
    f->x = Fw_Exchange_Start(f->store->d->pool, f->peer, head, NULL, &how,
                             &ops, f, &err);
    if (!f->x) {
        peer_failed(f, g_strerror(-err));
    }
    g_string_free(head, TRUE);
}

static void
ask(struct fw_follow *f, int64_t now)
{
    struct fw_store *s = f->store;
    struct fw_relayd *d = s->d;
    struct fw_exchange_opts how = {.reuse_us = FW_STORE_REUSE_US,
                                   .connect_us = FW_STORE_CONNECT_US};
    GString *head;
    GBytes *body = NULL;
    int64_t wait_us;
    int err = 0;

    f->sent_us = now;
    f->until_us = now + FW_STORE_WAIT_US;
    g_byte_array_set_size(f->body, 0);
    if (f->peer[0]) {
        ask_peer(f);
        return;
    }
    head = g_string_new(NULL);
    switch (f->step) {
    case FW_STEP_NEWEST:
        Fw_Platform_WriteNewest(f->topic, f->after, d->opts.store, head);
        break;
    case FW_STEP_READ:
        wait_us = Fw_Relay_ReadsStore(d->relay, now) ? f->wait_us : 0;
        Fw_Platform_WriteRead(f->topic, f->from, wait_us, d->opts.store, head);
        f->until_us += wait_us;
        break;
    case FW_STEP_APPEND:
        Fw_Platform_WriteAppend(f->topic, f->at, d->opts.relay.name, f->value,
                                d->opts.store, head, &body);
        break;
    }
    f->x = Fw_Exchange_Start(d->pool, d->opts.store, head, body, &how, &ops, f,
                             &err);
    if (!f->x) {
        missed(f, FW_OUTCOME_LOST, g_strerror(-err));
        claim_failed(f);
    }
    g_string_free(head, TRUE);
    if (body) {
        g_bytes_unref(body);
    }
}

/*
 * Others read the two large topics for most instances; @f->peer is set then
 * to whom is asked.
 */
static int
is_wanted(struct fw_follow *f, int64_t now)
{
    struct fw_relay *r = f->store->d->relay;
    int must = f->must;

    f->must = 0;
    if (f->paging) {
        return 1;
    }
    switch (f->topic) {
    case FW_TOPIC_RULES:
        return must || Fw_Relay_TakeWantRules(r, f->peer) ||
               Fw_Relay_ReadsStore(r, now);
    case FW_TOPIC_SERVERS:
        return must || Fw_Relay_TakeWantList(r, f->peer) ||
               Fw_Relay_ReadsStore(r, now);
    case FW_TOPIC_LEAD:
        return f->value != NULL;
    case FW_TOPIC_MEMBERS:
        break;
    }
    return 1;
}

static void
tick(struct fw_follow *f, int64_t now)
{
    if (f->x && now >= f->until_us) {
        Fw_Exchange_Stop(f->x);
        f->x = NULL;
        if (f->peer[0]) {
            peer_failed(f, "no answer");
            return;
        }
        missed(f, FW_OUTCOME_LOST, "no answer");
        claim_failed(f);
    }
    if (!f->x && now >= f->next_us && is_wanted(f, now)) {
        ask(f, now);
    }
}

void
Fw_Store_Tick(struct fw_store *s, int64_t now_us)
{
    s->rules.wait_us =
        Fw_Relay_RulesWait(s->d->relay, s->d->opts.rules_wait_us, now_us);
    s->servers.every_us = s->d->opts.servers_every_us;
    tick(&s->rules, now_us);
    tick(&s->servers, now_us);
    if (s->members.value || s->members.page_end == 0 || s->members.x ||
        Fw_Relay_IsIsolated(s->d->relay, now_us)) {
        tick(&s->members, now_us);
    }
    tick(&s->lead, now_us);
    s->age_ms.value = s->lost_us ? (now_us - s->lost_us) / FW_MSEC : 0;
}

static void
follow_init(struct fw_store *s, struct fw_follow *f, enum fw_topic topic)
{
    f->store = s;
    f->topic = topic;
    f->body = g_byte_array_new();
    f->at = UINT64_MAX;
}

static char *
own_entry(const struct fw_relayd *d)
{
    JsonBuilder *b = json_builder_new();

    json_builder_begin_object(b);
    Fw_Json_SetStr(b, "addr", d->opts.peers);
    Fw_Json_SetStr(b, "domain", d->opts.relay.domain);
    Fw_Json_SetInt(b, "cpu_ppm", d->opts.relay.cpu_ppm);
    Fw_Json_SetInt(b, "boot", (int64_t)d->opts.relay.boot);
    json_builder_end_object(b);
    return Fw_Json_Take(b);
}

struct fw_store *
Fw_Store_New(struct fw_relayd *d)
{
    struct fw_store *s = g_new0(struct fw_store, 1);
    struct fw_metrics *m = Fw_Relay_Metrics(d->relay);

    s->d = d;
    follow_init(s, &s->rules, FW_TOPIC_RULES);
    follow_init(s, &s->servers, FW_TOPIC_SERVERS);
    follow_init(s, &s->members, FW_TOPIC_MEMBERS);
    follow_init(s, &s->lead, FW_TOPIC_LEAD);
    s->rules.newest = Fw_Handover_New();
    s->servers.newest = Fw_Handover_New();
    s->members.step = FW_STEP_APPEND;
    s->members.value = own_entry(d);
    s->lead.step = FW_STEP_APPEND;
    Fw_Store_AddCounts(s, m);
    s->age_ms = (struct fw_metric){
        .name = "fw_store_lost_ms",
        .help = "How long the store hasn't answered, milliseconds",
        .is_gauge = 1};
    Fw_Metrics_Add(m, &s->age_ms);
    return s;
}

void
Fw_Store_Claim(struct fw_store *s, uint64_t end)
{
    g_free(s->lead.value);
    s->lead.value = own_entry(s->d);
    s->lead.at = end;
    s->lead.next_us = 0;
}

static void
follow_clear(struct fw_follow *f)
{
    if (f->x) {
        Fw_Exchange_Stop(f->x);
    }
    g_byte_array_unref(f->body);
    g_clear_pointer(&f->newest, g_hash_table_destroy);
    g_free(f->value);
}

void
Fw_Store_Free(struct fw_store *s)
{
    if (!s) {
        return;
    }
    follow_clear(&s->rules);
    follow_clear(&s->servers);
    follow_clear(&s->members);
    follow_clear(&s->lead);
    g_free(s);
}
