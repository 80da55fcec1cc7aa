/*
 * Requests to the platform's store: decides when each topic is read, and
 * whether from the store or from another instance. Responses are handled in
 * store_response.c.
 */
#include <errno.h>

#include "http/conn.h"
#include "io/json.h"
#include "io/logger.h"
#include "relayd/store_internal.h"

/* Timeout of a request to the store, without the wait of a read. */
#define FW_STORE_TIMEOUT_US (1200 * FW_MSEC)
/* Longest idle time of a connection that is reused. */
#define FW_STORE_REUSE_US (10 * FW_SEC)
/*
 * A request to the store that takes longer than this, without the wait of a
 * read, is given up for an instance that has newer records.
 */
#define FW_STORE_OVERDUE_US (250 * FW_MSEC)
/* Shorter than FW_STORE_TIMEOUT_US, to leave time for the response. */
#define FW_STORE_CONNECT_US (400 * FW_MSEC)

/*
 * Largest response of the store, or of an instance: one page or one read has
 * at most 1 MB of records, which a page encodes in base64.
 */
#define FW_STORE_RESPONSE_MAX_BYTES (8 * 1024 * 1024)

/* The age of a snapshot's records; -1 if there is none or it is invalid. */
static int64_t
read_age(const struct fw_http_head *h)
{
    const struct fw_http_field *f = Fw_Http_FindField(h, FW_PEER_AGE_FIELD);
    g_autofree char *text = f ? g_strndup(f->value, f->value_len) : NULL;
    gint64 age_us;

    return text && g_ascii_string_to_signed(text, 10, 0, G_MAXINT32 * FW_MSEC,
                                            &age_us, NULL)
               ? age_us
               : -1;
}

static enum fw_head_action
on_head(void *ctx, const struct fw_http_head *h)
{
    struct fw_topic_client *tc = ctx;

    tc->status = h->status;
    tc->age_us = read_age(h);
    return FW_HEAD_ACCEPT;
}

static void
on_body(void *ctx, const char *data, size_t len)
{
    struct fw_topic_client *tc = ctx;

    if (tc->body->len + len > FW_STORE_RESPONSE_MAX_BYTES) {
        Fw_Exchange_Abort(tc->exchange);
        tc->exchange = NULL;
        Fw_TopicClient_DropBody(tc);
        Fw_TopicClient_OnFailure(tc, "response too large");
        return;
    }
    g_byte_array_append(tc->body, (const guint8 *)data, (guint)len);
    Fw_HeldAccount_Set(tc->store->d->own_account, FW_HELD_STORE, &tc->charged,
                       tc->body->len);
}

void
Fw_TopicClient_DropBody(struct fw_topic_client *tc)
{
    if (tc->body->len) {
        g_byte_array_unref(tc->body);
        tc->body = g_byte_array_new();
    }
    Fw_HeldAccount_Set(tc->store->d->own_account, FW_HELD_STORE, &tc->charged,
                       0);
}

static void
on_end(void *ctx)
{
    struct fw_topic_client *tc = ctx;

    tc->exchange = NULL;
    Fw_TopicClient_OnResponse(tc);
}

static void
on_fail(void *ctx, int err, enum fw_sent sent)
{
    struct fw_topic_client *tc = ctx;

    (void)sent;
    tc->exchange = NULL;
    Fw_TopicClient_OnFailure(tc, g_strerror(-err));
}

static const struct fw_exchange_ops ops = {
    .head = on_head,
    .body = on_body,
    .end = on_end,
    .fail = on_fail,
};

static void
request_snapshot(struct fw_topic_client *tc)
{
    struct fw_exchange_opts opts = {.reuse_idle_max_us = FW_STORE_REUSE_US,
                                    .connect_timeout_us = FW_STORE_CONNECT_US,
                                    .is_control = 1};
    GString *head = g_string_new(NULL);
    int err = 0;

    Fw_PeerSnapshot_WriteRequest(
        tc->topic, tc->op == FW_STORE_OP_READ ? tc->next_offset : 0,
        tc->peer_addr, head);
    tc->exchange = Fw_Exchange_Start(tc->store->d->pool, tc->peer_addr, head,
                                     NULL, &opts, &ops, tc, &err);
    if (!tc->exchange) {
        Fw_TopicClient_OnFailure(tc, g_strerror(-err));
    }
    g_string_free(head, TRUE);
}

static void
send_request(struct fw_topic_client *tc, int64_t now)
{
    struct fw_store_client *s = tc->store;
    struct fw_relayd *d = s->d;
    struct fw_exchange_opts opts = {.reuse_idle_max_us = FW_STORE_REUSE_US,
                                    .connect_timeout_us = FW_STORE_CONNECT_US,
                                    .is_control = 1};
    GString *head;
    GBytes *body = NULL;
    int64_t wait_us;
    int err = 0;

    tc->sent_us = now;
    tc->deadline_us = now + FW_STORE_TIMEOUT_US;
    Fw_TopicClient_DropBody(tc);
    if (tc->peer_addr[0]) {
        request_snapshot(tc);
        return;
    }
    head = g_string_new(NULL);
    switch (tc->op) {
    case FW_STORE_OP_NEWEST:
        Fw_Platform_WriteNewestRequest(tc->topic, tc->last_key,
                                       d->opts.store_addr, head);
        break;
    case FW_STORE_OP_READ:
        wait_us = Fw_Relay_ReadsStore(d->relay, now) ? tc->wait_us : 0;
        Fw_Platform_WriteReadRequest(tc->topic, tc->next_offset, wait_us,
                                     d->opts.store_addr, head);
        tc->deadline_us += wait_us;
        break;
    case FW_STORE_OP_APPEND:
        Fw_Platform_WriteAppendRequest(tc->topic, tc->append_offset,
                                       tc->append_key, tc->append_value,
                                       d->opts.store_addr, head, &body);
        break;
    }
    tc->exchange = Fw_Exchange_Start(d->pool, d->opts.store_addr, head, body,
                                     &opts, &ops, tc, &err);
    if (!tc->exchange) {
        Fw_TopicClient_OnFailure(tc, g_strerror(-err));
    }
    g_string_free(head, TRUE);
    if (body) {
        g_bytes_unref(body);
    }
}

/* Whether another instance has newer records; its address is set then. */
static int
take_source(struct fw_topic_client *tc)
{
    struct fw_relay *r = tc->store->d->relay;

    switch (tc->topic) {
    case FW_TOPIC_CONFIG:
        return Fw_Relay_TakeRulesSource(r, tc->peer_addr);
    case FW_TOPIC_SERVERS:
        return Fw_Relay_TakeServerListSource(r, tc->peer_addr);
    case FW_TOPIC_INSTANCES:
    case FW_TOPIC_LEADER:
        break;
    }
    return 0;
}

/*
 * Nonzero when a request for the topic is due. Most instances get the
 * configuration and the server registrations from another instance;
 * @tc->peer_addr is then set to its address.
 */
static int
should_request(struct fw_topic_client *tc, int64_t now)
{
    struct fw_relay *r = tc->store->d->relay;
    int forced = tc->force_store;

    tc->force_store = 0;
    if (tc->paging) {
        return 1;
    }
    switch (tc->topic) {
    case FW_TOPIC_CONFIG:
    case FW_TOPIC_SERVERS:
        return forced || take_source(tc) || Fw_Relay_ReadsStore(r, now);
    case FW_TOPIC_LEADER:
        return tc->append_value != NULL;
    case FW_TOPIC_INSTANCES:
        break;
    }
    return 1;
}

/*
 * The store may answer others while it does not answer this instance. What
 * they have read then must not wait until its own request has timed out.
 */
static void
give_up_overdue(struct fw_topic_client *tc, int64_t now)
{
    int64_t overdue_us =
        tc->deadline_us - FW_STORE_TIMEOUT_US + FW_STORE_OVERDUE_US;

    if (!tc->exchange || tc->peer_addr[0] || tc->paging || now < overdue_us ||
        !take_source(tc)) {
        return;
    }
    Fw_Exchange_Abort(tc->exchange);
    tc->exchange = NULL;
    Fw_StoreClient_CountRequest(tc, FW_STORE_OUTCOME_LOST);
    Fw_Logger_Log(LOG_NOTICE, "store_overdue", "topic",
                  Fw_TopicClient_Label(tc), "from", tc->peer_addr, NULL);
    send_request(tc, now);
}

static void
tick_topic(struct fw_topic_client *tc, int64_t now)
{
    give_up_overdue(tc, now);
    if (tc->exchange && now >= tc->deadline_us) {
        Fw_Exchange_Abort(tc->exchange);
        tc->exchange = NULL;
        Fw_TopicClient_OnFailure(tc, "timed out");
        return;
    }
    if (!tc->exchange && now >= tc->next_request_us &&
        should_request(tc, now)) {
        send_request(tc, now);
    }
}

static void
append_instance_record(struct fw_topic_client *tc, char *value)
{
    tc->append_value = value;
    tc->op = FW_STORE_OP_APPEND;
    tc->next_request_us = 0;
}

/* Return: nonzero if a record of the instances seen here is appended. */
static int
publish_presence(struct fw_store_client *s, int64_t now_us)
{
    GArray *seen = Fw_Relay_TakePresence(s->d->relay, now_us);

    if (!seen) {
        return 0;
    }
    Fw_Presence_Key(s->d->opts.relay.name, s->instances.append_key,
                    sizeof(s->instances.append_key));
    append_instance_record(&s->instances, Fw_Presence_ToJson(seen));
    g_array_unref(seen);
    return 1;
}

/* Appends a record about crashes if one is due, or reads them first. */
static void
publish_crashes(struct fw_store_client *s, int64_t now_us)
{
    struct fw_topic_client *tc = &s->instances;
    struct fw_rl_crash_record rec;
    int rc = Fw_Relay_DueCrashRecord(s->d->relay, now_us, &rec);

    if (rc == -EAGAIN) {
        tc->snapshot_end = 0;
        tc->next_request_us = 0;
    }
    else if (rc > 0) {
        Fw_CrashRecord_Key(&rec, tc->append_key, sizeof(tc->append_key));
        append_instance_record(
            tc, Fw_CrashRecord_Value(&rec, now_us, g_get_real_time()));
        Fw_Logger_Log(LOG_NOTICE, "quarantine_stored", "record",
                      tc->append_key, "deleted", rec.is_deleted ? "1" : "0",
                      NULL);
    }
}

/* Appends a record to the topic of the registrations, if one is due. */
static void
publish(struct fw_store_client *s, int64_t now_us)
{
    struct fw_topic_client *tc = &s->instances;

    if (tc->exchange || tc->append_value || !tc->snapshot_end || tc->paging) {
        return;
    }
    if (!publish_presence(s, now_us)) {
        publish_crashes(s, now_us);
    }
}

void
Fw_StoreClient_Tick(struct fw_store_client *s, int64_t now_us)
{
    s->config.wait_us =
        Fw_Relay_RulesPollUs(s->d->relay, s->d->opts.config_wait_us, now_us);
    s->servers.interval_us = s->d->opts.servers_interval_us;
    tick_topic(&s->config, now_us);
    tick_topic(&s->servers, now_us);
    publish(s, now_us);
    if (s->instances.append_value || s->instances.snapshot_end == 0 ||
        s->instances.exchange || Fw_Relay_IsIsolated(s->d->relay, now_us) ||
        Fw_Relay_WatchesPresence(s->d->relay)) {
        tick_topic(&s->instances, now_us);
    }
    tick_topic(&s->leader, now_us);
    s->unreachable_ms.value =
        s->unreachable_since_us ? (now_us - s->unreachable_since_us) / FW_MSEC
                                : 0;
}

static void
init_topic(struct fw_store_client *s, struct fw_topic_client *tc,
           enum fw_store_topic topic)
{
    tc->store = s;
    tc->topic = topic;
    tc->body = g_byte_array_new();
    tc->append_offset = UINT64_MAX;
    g_strlcpy(tc->append_key, s->d->opts.relay.name, sizeof(tc->append_key));
}

static char *
registration_json(const struct fw_relayd *d)
{
    JsonBuilder *b = json_builder_new();

    json_builder_begin_object(b);
    Fw_Json_SetStr(b, "addr", d->opts.peers_addr);
    Fw_Json_SetStr(b, "domain", d->opts.relay.domain);
    Fw_Json_SetInt(b, "cpu_ppm", d->opts.relay.cpu_ppm);
    Fw_Json_SetInt(b, "boot", (int64_t)d->opts.relay.boot);
    json_builder_end_object(b);
    return Fw_Json_FinishBuilder(b);
}

struct fw_store_client *
Fw_StoreClient_New(struct fw_relayd *d)
{
    struct fw_store_client *s = g_new0(struct fw_store_client, 1);
    struct fw_metrics *m = Fw_Relay_Metrics(d->relay);

    s->d = d;
    init_topic(s, &s->config, FW_TOPIC_CONFIG);
    init_topic(s, &s->servers, FW_TOPIC_SERVERS);
    init_topic(s, &s->instances, FW_TOPIC_INSTANCES);
    init_topic(s, &s->leader, FW_TOPIC_LEADER);
    s->config.snapshot = Fw_PeerSnapshot_New();
    s->servers.snapshot = Fw_PeerSnapshot_New();
    s->instances.append_value = registration_json(d);
    s->leader.op = FW_STORE_OP_APPEND;
    Fw_StoreClient_AddMetrics(s, m);
    s->unreachable_ms = (struct fw_metric){
        .name = "fw_store_lost_ms",
        .help = "How long the store hasn't answered, milliseconds",
        .is_gauge = 1};
    Fw_Metrics_Add(m, &s->unreachable_ms);
    return s;
}

void
Fw_StoreClient_ClaimLeadership(struct fw_store_client *s, uint64_t end)
{
    g_free(s->leader.append_value);
    s->leader.append_value = registration_json(s->d);
    s->leader.append_offset = end;
    s->leader.next_request_us = 0;
}

static void
clear_topic(struct fw_topic_client *tc)
{
    if (tc->exchange) {
        Fw_Exchange_Abort(tc->exchange);
    }
    Fw_TopicClient_DropBody(tc);
    g_byte_array_unref(tc->body);
    g_clear_pointer(&tc->snapshot, Fw_PeerSnapshot_Free);
    g_free(tc->append_value);
}

void
Fw_StoreClient_Free(struct fw_store_client *s)
{
    if (!s) {
        return;
    }
    clear_topic(&s->config);
    clear_topic(&s->servers);
    clear_topic(&s->instances);
    clear_topic(&s->leader);
    g_free(s);
}
