/*
 * Handles responses of the store. At the start, or when the store has
 * discarded the next offset, the newest record of each key is read, then the
 * records that follow.
 */
#include <errno.h>
#include <string.h>

#include "http/conn.h"
#include "io/note.h"
#include "relayd/store_internal.h"

/* Mean delay of a retry; drawn from half to one and a half of it. */
#define FW_STORE_RETRY_US (250 * FW_MSEC)
/* Interval of reads of the instances while no other one is heard. */
#define FW_INSTANCES_INTERVAL_US (3 * FW_SEC)

static void
mark_reachable(struct fw_store_client *s)
{
    int64_t now = Fw_Conn_Now();

    if (s->unreachable_since_us) {
        char ms[24];

        g_snprintf(ms, sizeof(ms), "%" G_GINT64_FORMAT,
                   (int64_t)((now - s->unreachable_since_us) / FW_MSEC));
        Fw_Note_Log(LOG_NOTICE, "store_back", "away_ms", ms, NULL);
        s->unreachable_since_us = 0;
        Fw_Relay_StoreBack(s->d->relay, now);
    }
}

static const char *const topic_labels[] = {[FW_TOPIC_CONFIG] = "configuration",
                                           [FW_TOPIC_SERVERS] = "servers",
                                           [FW_TOPIC_INSTANCES] = "instances",
                                           [FW_TOPIC_LEADER] = "role"};

static void
handle_failure(struct fw_topic_client *f, enum fw_store_outcome outcome,
               const char *why)
{
    struct fw_store_client *s = f->store;
    int64_t now = Fw_Conn_Now();
    int64_t pause = FW_STORE_RETRY_US / 2 +
                    g_random_int_range(0, (gint32)FW_STORE_RETRY_US);

    Fw_StoreClient_CountRequest(f, outcome);
    if (!s->unreachable_since_us) {
        s->unreachable_since_us = now;
        Fw_Note_Log(LOG_WARNING, "store_lost", "why", why, NULL);
        Fw_Relay_StoreLost(s->d->relay);
    }
    f->next_request_us = now + pause;
}

/*
 * Pages are not one consistent snapshot. Records appended while they are read
 * are read afterwards, from the end offset of the first page.
 */
static void
handle_newest(struct fw_topic_client *f, const struct fw_store_response *got,
              struct fw_rl_acts *acts)
{
    struct fw_relayd *d = f->store->d;

    if (!f->paging) {
        f->snapshot_end = got->end_offset;
        if (f->newest) {
            g_hash_table_remove_all(f->newest);
        }
        if (f->topic == FW_TOPIC_SERVERS) {
            Fw_Relay_ListBegin(d->relay);
        }
    }
    Fw_StoreClient_ApplyRecords(f->store->d, f->topic, f->newest, got, acts);
    f->paging = got->has_more && got->records->len;
    if (f->paging) {
        const struct fw_store_record *last = &g_array_index(
            got->records, struct fw_store_record, got->records->len - 1);

        g_strlcpy(f->last_key, last->key, sizeof(f->last_key));
        f->next_request_us = 0;
        return;
    }
    f->last_key[0] = 0;
    f->next_offset = f->snapshot_end;
    f->op = FW_STORE_OP_READ;
    if (f->topic == FW_TOPIC_SERVERS) {
        Fw_Relay_ListEnd(d->relay, Fw_Conn_Now(), acts);
        Fw_Relay_ListOffset(d->relay, f->next_offset);
    }
    if (f->topic == FW_TOPIC_INSTANCES) {
        Fw_Relay_MembersEnd(d->relay, Fw_Conn_Now());
        f->op = FW_STORE_OP_NEWEST;
        f->next_request_us = Fw_Conn_Now() + FW_INSTANCES_INTERVAL_US;
    }
}

static void
handle_read(struct fw_topic_client *f, const struct fw_store_response *got,
            struct fw_rl_acts *acts)
{
    Fw_StoreClient_ApplyRecords(f->store->d, f->topic, f->newest, got, acts);
    f->next_offset = got->next_offset;
    f->next_request_us =
        f->next_offset < got->end_offset ? 0 : f->sent_us + f->interval_us;
    if (f->topic == FW_TOPIC_SERVERS) {
        Fw_Relay_ListOffset(f->store->d->relay, f->next_offset);
    }
}

static void
handle_append(struct fw_topic_client *f, const struct fw_store_response *got)
{
    struct fw_relay *r = f->store->d->relay;
    int64_t now = Fw_Conn_Now();

    if (f->topic == FW_TOPIC_LEADER) {
        enum fw_rl_claim c = got->status == 200   ? FW_RL_CLAIM_MADE
                             : got->status == 412 ? FW_RL_CLAIM_TAKEN
                                                  : FW_RL_CLAIM_UNKNOWN;

        char offset[24];

        g_snprintf(offset, sizeof(offset), "%" G_GUINT64_FORMAT,
                   c == FW_RL_CLAIM_MADE ? got->first_offset
                                         : got->end_offset);
        Fw_Note_Log(LOG_NOTICE,
                    c == FW_RL_CLAIM_MADE ? "role_taken" : "role_not_taken",
                    "offset", offset, NULL);
        Fw_Relay_Lead(
            r, c, c == FW_RL_CLAIM_MADE ? got->first_offset : got->end_offset,
            f->sent_us, now);
        g_clear_pointer(&f->append_value, g_free);
        return;
    }
    g_clear_pointer(&f->append_value, g_free);
    f->op = FW_STORE_OP_NEWEST;
    f->next_request_us = 0;
}

/* Ignores a snapshot that is not newer than what was read before. */
static void
handle_snapshot(struct fw_topic_client *f, const struct fw_store_response *got,
                struct fw_rl_acts *acts)
{
    if (got->end_offset > f->next_offset) {
        f->paging = 0;
        handle_newest(f, got, acts);
    }
    f->next_request_us = f->sent_us + f->interval_us;
}

/* The next request for the topic goes to the store. */
static void
fall_back_to_store(struct fw_topic_client *f, const char *why)
{
    Fw_Note_Log(LOG_NOTICE, "handover_failed", "topic", topic_labels[f->topic],
                "from", f->peer_addr, "why", why, NULL);
    f->peer_addr[0] = 0;
    f->next_request_us = 0;
    f->force_store = 1;
}

static void
on_snapshot(struct fw_topic_client *f)
{
    struct fw_store_response got;
    struct fw_rl_acts acts;

    if (f->status != 200) {
        fall_back_to_store(f, "unexpected status");
        return;
    }
    Fw_Acts_Init(&acts);
    if (Fw_PeerSnapshot_Decode(f->body->data, f->body->len, &got)) {
        fall_back_to_store(f, "malformed response");
    }
    else {
        handle_snapshot(f, &got, &acts);
        f->peer_addr[0] = 0;
    }
    Fw_Platform_ClearStoreResponse(&got);
    g_byte_array_set_size(f->body, 0);
    Fw_Relayd_ExecuteActions(f->store->d, &acts);
}

static int
parse_response(struct fw_topic_client *f, struct fw_store_response *got)
{
    const void *data = f->body->data;
    size_t len = f->body->len;

    switch (f->op) {
    case FW_STORE_OP_NEWEST:
        return Fw_Platform_ParseNewestResponse(f->status, data, len, got);
    case FW_STORE_OP_READ:
        return Fw_Platform_ParseReadResponse(f->topic, f->next_offset,
                                             f->status, data, len, got);
    case FW_STORE_OP_APPEND:
        return Fw_Platform_ParseAppendResponse(f->status, data, len, got);
    }
    return -EBADMSG;
}

static void
handle_response(struct fw_topic_client *f, const struct fw_store_response *got,
                struct fw_rl_acts *acts)
{
    mark_reachable(f->store);
    Fw_StoreClient_CountRequest(f, FW_STORE_OUTCOME_OK);
    if (got->status == 410) {
        char from[24];

        g_snprintf(from, sizeof(from), "%" G_GUINT64_FORMAT, f->next_offset);
        Fw_Note_Log(LOG_NOTICE, "history_cut", "topic", topic_labels[f->topic],
                    "from", from, NULL);
        f->op = FW_STORE_OP_NEWEST;
        f->paging = 0;
        f->next_request_us = 0;
        return;
    }
    if (f->op == FW_STORE_OP_NEWEST) {
        handle_newest(f, got, acts);
    }
    else if (f->op == FW_STORE_OP_READ) {
        handle_read(f, got, acts);
    }
    else {
        handle_append(f, got);
    }
    /*
     * All records written before the read was sent are applied. The time of
     * the response would be too late: it may have been delayed.
     */
    if (f->topic == FW_TOPIC_CONFIG && !f->paging &&
        f->next_request_us <= f->sent_us + f->interval_us) {
        Fw_Relay_Fresh(f->store->d->relay, f->sent_us);
    }
}

static void
report_claim_unknown(struct fw_topic_client *f)
{
    if (f->topic == FW_TOPIC_LEADER && f->append_value) {
        g_clear_pointer(&f->append_value, g_free);
        Fw_Relay_Lead(f->store->d->relay, FW_RL_CLAIM_UNKNOWN, 0, f->sent_us,
                      Fw_Conn_Now());
    }
}

static int
is_expected(const struct fw_topic_client *f)
{
    return f->status == 200 ||
           (f->status == 410 && f->op == FW_STORE_OP_READ) ||
           (f->status == 412 && f->op == FW_STORE_OP_APPEND);
}

void
Fw_TopicClient_OnFailure(struct fw_topic_client *f, const char *why)
{
    if (f->peer_addr[0]) {
        fall_back_to_store(f, why);
        return;
    }
    handle_failure(f, FW_STORE_OUTCOME_LOST, why);
    report_claim_unknown(f);
}

void
Fw_TopicClient_OnResponse(struct fw_topic_client *f)
{
    struct fw_rl_acts acts;
    struct fw_store_response got;

    if (f->peer_addr[0]) {
        on_snapshot(f);
        return;
    }
    if (!is_expected(f)) {
        char status[16];

        g_snprintf(status, sizeof(status), "status %d", f->status);
        handle_failure(f, FW_STORE_OUTCOME_REFUSED, status);
        report_claim_unknown(f);
        return;
    }
    Fw_Acts_Init(&acts);
    if (parse_response(f, &got)) {
        handle_failure(f, FW_STORE_OUTCOME_UNREADABLE, "malformed response");
        report_claim_unknown(f);
    }
    else {
        handle_response(f, &got, &acts);
    }
    Fw_Platform_ClearStoreResponse(&got);
    g_byte_array_set_size(f->body, 0);
    Fw_Relayd_ExecuteActions(f->store->d, &acts);
    Fw_StoreClient_Tick(f->store, Fw_Conn_Now());
}
