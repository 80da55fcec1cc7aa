/*
 * Follows the platform's store: the operator's configuration, the servers'
 * entries, and the instances. Decides when which topic is read, and of whom;
 * what the answers mean stands in store_answer.c.
 */
#include <errno.h>

#include "http/conn.h"
#include "io/json.h"
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

static void
on_end(void *ctx)
{
    struct fw_follow *f = ctx;

    f->x = NULL;
    Fw_Follow_Ended(f);
}

static void
on_fail(void *ctx, int err, enum fw_sent sent)
{
    struct fw_follow *f = ctx;

    (void)sent;
    f->x = NULL;
    Fw_Follow_Failed(f, g_strerror(-err));
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
        Fw_Follow_Failed(f, g_strerror(-err));
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
        Fw_Follow_Failed(f, g_strerror(-err));
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
        return must || Fw_Relay_TakeRulesSource(r, f->peer) ||
               Fw_Relay_ReadsStore(r, now);
    case FW_TOPIC_SERVERS:
        return must || Fw_Relay_TakeServerListSource(r, f->peer) ||
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
        Fw_Follow_Failed(f, "no answer");
        return;
    }
    if (!f->x && now >= f->next_us && is_wanted(f, now)) {
        ask(f, now);
    }
}

void
Fw_Store_Tick(struct fw_store *s, int64_t now_us)
{
    s->rules.wait_us =
        Fw_Relay_RulesPollUs(s->d->relay, s->d->opts.rules_wait_us, now_us);
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
