/*
 * Handles responses of the store. At the start, or when the store has
 * discarded the next offset, the newest record of each key is read, then the
 * records that follow.
 */
#include <errno.h>
#include <string.h>

#include "http/conn.h"
#include "io/logger.h"
#include "relayd/store_internal.h"

/* Mean delay of a retry; drawn from half to one and a half of it. */
#define FW_STORE_RETRY_US (250 * FW_MSEC)
/*
 * Shortest interval between two snapshots of a topic, each of which another
 * instance has announced. Servers that leave one after the other must not
 * wait for each other, as they would for the interval of polls of the store.
 */
#define FW_SNAPSHOT_INTERVAL_US (100 * FW_MSEC)
/* Interval of reads of the instances while this one is isolated. */
#define FW_INSTANCES_INTERVAL_US (3 * FW_SEC)

static void
mark_reachable(struct fw_store_client *s)
{
    int64_t now = Fw_Conn_NowUs();

    if (s->unreachable_since_us) {
        char ms[24];

        g_snprintf(ms, sizeof(ms), "%" G_GINT64_FORMAT,
                   (int64_t)((now - s->unreachable_since_us) / FW_MSEC));
        Fw_Logger_Log(LOG_NOTICE, "store_back", "away_ms", ms, NULL);
        s->unreachable_since_us = 0;
        Fw_Relay_StoreRecovered(s->d->relay, now);
    }
}

static const char *const topic_labels[] = {[FW_TOPIC_CONFIG] = "configuration",
                                           [FW_TOPIC_SERVERS] = "servers",
                                           [FW_TOPIC_INSTANCES] = "instances",
                                           [FW_TOPIC_LEADER] = "role"};

const char *
Fw_TopicClient_Label(const struct fw_topic_client *tc)
{
    return topic_labels[tc->topic];
}

static void
handle_failure(struct fw_topic_client *tc, enum fw_store_outcome outcome,
               const char *why)
{
    struct fw_store_client *s = tc->store;
    int64_t now = Fw_Conn_NowUs();
    int64_t delay_us = FW_STORE_RETRY_US / 2 +
                       g_random_int_range(0, (gint32)FW_STORE_RETRY_US);

    Fw_StoreClient_CountRequest(tc, outcome);
    if (!s->unreachable_since_us) {
        s->unreachable_since_us = now;
        Fw_Logger_Log(LOG_WARNING, "store_lost", "why", why, NULL);
        Fw_Relay_StoreUnreachable(s->d->relay, now);
    }
    tc->next_request_us = now + delay_us;
}

/*
 * Registers this instance unless it is registered already, and reads the list
 * again then: instances that started at the same time may have registered
 * since. An instance that is restarted thus waits for no append, which the
 * store executes one at a time.
 */
static void
end_member_list(struct fw_topic_client *tc)
{
    Fw_Relay_EndMemberList(tc->store->d->relay, Fw_Conn_NowUs());
    if (tc->append_value && !tc->store->is_registered) {
        tc->op = FW_STORE_OP_APPEND;
        tc->next_request_us = 0;
        return;
    }
    g_clear_pointer(&tc->append_value, g_free);
    tc->op = FW_STORE_OP_NEWEST;
    tc->next_request_us = Fw_Conn_NowUs() + FW_INSTANCES_INTERVAL_US;
}

/*
 * Pages are not one consistent snapshot. Records appended while they are read
 * are read afterwards, from the end offset of the first page.
 */
static void
handle_newest(struct fw_topic_client *tc,
              const struct fw_store_response *response,
              struct fw_rl_actions *acts)
{
    struct fw_relayd *d = tc->store->d;

    if (!tc->paging) {
        tc->snapshot_end = response->end_offset;
        tc->first_sent_us = tc->sent_us;
        if (tc->snapshot) {
            Fw_PeerSnapshot_Begin(tc->snapshot, tc->snapshot_end);
        }
        if (tc->topic == FW_TOPIC_SERVERS) {
            Fw_Relay_BeginServerList(d->relay);
        }
        else if (tc->topic == FW_TOPIC_CONFIG) {
            Fw_Relay_BeginEvacuationList(d->relay);
        }
        else if (tc->topic == FW_TOPIC_INSTANCES) {
            Fw_Relay_BeginCrashRecords(d->relay);
        }
    }
    Fw_StoreClient_ApplyRecords(tc->store->d, tc->topic, tc->snapshot,
                                response, acts);
    tc->paging = response->has_more && response->records->len;
    if (tc->paging) {
        const struct fw_store_record *last =
            &g_array_index(response->records, struct fw_store_record,
                           response->records->len - 1);

        g_strlcpy(tc->last_key, last->key, sizeof(tc->last_key));
        tc->next_request_us = 0;
        return;
    }
    tc->last_key[0] = 0;
    tc->next_offset = tc->snapshot_end;
    tc->op = FW_STORE_OP_READ;
    if (tc->topic == FW_TOPIC_CONFIG) {
        Fw_Relay_EndEvacuationList(d->relay, tc->snapshot_end, Fw_Conn_NowUs(),
                                   acts);
        Fw_Relay_SetRulesOffset(d->relay, tc->next_offset);
    }
    if (tc->topic == FW_TOPIC_SERVERS) {
        Fw_Relay_EndServerList(d->relay, Fw_Conn_NowUs(), acts);
        Fw_Relay_SetServerListOffset(d->relay, tc->next_offset);
    }
    if (tc->topic == FW_TOPIC_INSTANCES) {
        end_member_list(tc);
    }
}

static void
handle_read(struct fw_topic_client *tc,
            const struct fw_store_response *response,
            struct fw_rl_actions *acts)
{
    Fw_StoreClient_ApplyRecords(tc->store->d, tc->topic, tc->snapshot,
                                response, acts);
    tc->next_offset = response->next_offset;
    tc->first_sent_us = tc->sent_us;
    tc->next_request_us = tc->next_offset < response->end_offset
                              ? 0
                              : tc->sent_us + tc->interval_us;
    if (tc->topic == FW_TOPIC_SERVERS) {
        Fw_Relay_SetServerListOffset(tc->store->d->relay, tc->next_offset);
    }
    else if (tc->topic == FW_TOPIC_CONFIG) {
        Fw_Relay_SetRulesOffset(tc->store->d->relay, tc->next_offset);
    }
}

static void
handle_append(struct fw_topic_client *tc,
              const struct fw_store_response *response)
{
    struct fw_relay *r = tc->store->d->relay;
    int64_t now = Fw_Conn_NowUs();

    if (tc->topic == FW_TOPIC_LEADER) {
        enum fw_rl_claim_result c = response->status == 200 ? FW_RL_CLAIM_WON
                                    : response->status == 412
                                        ? FW_RL_CLAIM_LOST
                                        : FW_RL_CLAIM_UNKNOWN;

        char offset[24];

        g_snprintf(offset, sizeof(offset), "%" G_GUINT64_FORMAT,
                   c == FW_RL_CLAIM_WON ? response->first_offset
                                        : response->end_offset);
        Fw_Logger_Log(LOG_NOTICE,
                      c == FW_RL_CLAIM_WON ? "role_taken" : "role_not_taken",
                      "offset", offset, NULL);
        Fw_Relay_ClaimEnded(r, c,
                            c == FW_RL_CLAIM_WON ? response->first_offset
                                                 : response->end_offset,
                            tc->sent_us, now);
        g_clear_pointer(&tc->append_value, g_free);
        return;
    }
    g_clear_pointer(&tc->append_value, g_free);
    tc->op = FW_STORE_OP_NEWEST;
    tc->snapshot_end = 0;
    tc->next_request_us = 0;
}

/*
 * Ignores a snapshot that is not newer than what was read before. @since: the
 * response has only the records from this offset on, 0 if it has all.
 */
static void
handle_snapshot(struct fw_topic_client *tc, uint64_t since,
                struct fw_store_response *response, struct fw_rl_actions *acts)
{
    if (response->end_offset > tc->next_offset && !since) {
        tc->paging = 0;
        handle_newest(tc, response, acts);
    }
    else if (response->end_offset > tc->next_offset &&
             since == tc->next_offset) {
        response->next_offset = response->end_offset;
        handle_read(tc, response, acts);
    }
    if (tc->topic == FW_TOPIC_CONFIG && tc->age_us >= 0 &&
        response->end_offset == tc->next_offset) {
        Fw_Relay_SetFreshAsOf(tc->store->d->relay, tc->sent_us - tc->age_us);
    }
    tc->next_request_us =
        tc->sent_us + MIN(tc->interval_us, FW_SNAPSHOT_INTERVAL_US);
}

/* The next request for the topic goes to the store. */
static void
fall_back_to_store(struct fw_topic_client *tc, const char *why)
{
    Fw_Logger_Log(LOG_NOTICE, "handover_failed", "topic",
                  topic_labels[tc->topic], "from", tc->peer_addr, "why", why,
                  NULL);
    tc->peer_addr[0] = 0;
    tc->next_request_us = 0;
    tc->force_store = 1;
}

static void
on_snapshot(struct fw_topic_client *tc)
{
    struct fw_store_response response;
    struct fw_rl_actions acts;
    uint64_t since;

    if (tc->status != 200) {
        fall_back_to_store(tc, "unexpected status");
        return;
    }
    Fw_RelayActions_Init(&acts);
    if (Fw_PeerSnapshot_Decode(tc->body->data, tc->body->len, &since,
                               &response)) {
        fall_back_to_store(tc, "malformed response");
    }
    else {
        handle_snapshot(tc, since, &response, &acts);
        tc->peer_addr[0] = 0;
    }
    Fw_Platform_ClearStoreResponse(&response);
    Fw_TopicClient_DropBody(tc);
    Fw_Relayd_ExecuteActions(tc->store->d, &acts);
}

static int
parse_response(struct fw_topic_client *tc, struct fw_store_response *response)
{
    const void *data = tc->body->data;
    size_t len = tc->body->len;

    switch (tc->op) {
    case FW_STORE_OP_NEWEST:
        return Fw_Platform_ParseNewestResponse(tc->status, data, len,
                                               response);
    case FW_STORE_OP_READ:
        return Fw_Platform_ParseReadResponse(tc->topic, tc->next_offset,
                                             tc->status, data, len, response);
    case FW_STORE_OP_APPEND:
        return Fw_Platform_ParseAppendResponse(tc->status, data, len,
                                               response);
    }
    return -EBADMSG;
}

static void
log_skipped(const struct fw_topic_client *tc,
            const struct fw_store_response *response)
{
    char n[16];

    if (response->n_skipped) {
        g_snprintf(n, sizeof(n), "%d", response->n_skipped);
        Fw_Logger_Log(LOG_WARNING, "records_skipped", "topic",
                      topic_labels[tc->topic], "records", n, NULL);
    }
}

static void
handle_response(struct fw_topic_client *tc,
                const struct fw_store_response *response,
                struct fw_rl_actions *acts)
{
    mark_reachable(tc->store);
    Fw_StoreClient_CountRequest(tc, FW_STORE_OUTCOME_OK);
    log_skipped(tc, response);
    if (response->status == 410) {
        char from[24];

        g_snprintf(from, sizeof(from), "%" G_GUINT64_FORMAT, tc->next_offset);
        Fw_Logger_Log(LOG_NOTICE, "history_cut", "topic",
                      topic_labels[tc->topic], "from", from, NULL);
        tc->op = FW_STORE_OP_NEWEST;
        tc->paging = 0;
        tc->next_request_us = 0;
        return;
    }
    if (tc->op == FW_STORE_OP_NEWEST) {
        handle_newest(tc, response, acts);
    }
    else if (tc->op == FW_STORE_OP_READ) {
        handle_read(tc, response, acts);
    }
    else {
        handle_append(tc, response);
    }
    /*
     * All records written before the first request was sent are applied. The
     * time of the response would be too late: it may have been delayed.
     */
    if (tc->topic == FW_TOPIC_CONFIG && !tc->paging &&
        tc->next_offset >= response->end_offset) {
        Fw_Relay_SetFreshAsOf(tc->store->d->relay, tc->first_sent_us);
    }
}

static void
report_claim_unknown(struct fw_topic_client *tc)
{
    if (tc->topic == FW_TOPIC_LEADER && tc->append_value) {
        g_clear_pointer(&tc->append_value, g_free);
        Fw_Relay_ClaimEnded(tc->store->d->relay, FW_RL_CLAIM_UNKNOWN, 0,
                            tc->sent_us, Fw_Conn_NowUs());
    }
}

static int
is_expected(const struct fw_topic_client *tc)
{
    return tc->status == 200 ||
           (tc->status == 410 && tc->op == FW_STORE_OP_READ) ||
           (tc->status == 412 && tc->op == FW_STORE_OP_APPEND);
}

void
Fw_TopicClient_OnFailure(struct fw_topic_client *tc, const char *why)
{
    if (tc->peer_addr[0]) {
        fall_back_to_store(tc, why);
        return;
    }
    handle_failure(tc, FW_STORE_OUTCOME_LOST, why);
    report_claim_unknown(tc);
}

void
Fw_TopicClient_OnResponse(struct fw_topic_client *tc)
{
    struct fw_rl_actions acts;
    struct fw_store_response response;

    if (tc->peer_addr[0]) {
        on_snapshot(tc);
        return;
    }
    if (!is_expected(tc)) {
        char status[16];

        g_snprintf(status, sizeof(status), "status %d", tc->status);
        handle_failure(tc, FW_STORE_OUTCOME_REFUSED, status);
        report_claim_unknown(tc);
        return;
    }
    Fw_RelayActions_Init(&acts);
    if (parse_response(tc, &response)) {
        handle_failure(tc, FW_STORE_OUTCOME_UNREADABLE, "malformed response");
        report_claim_unknown(tc);
    }
    else {
        handle_response(tc, &response, &acts);
    }
    Fw_Platform_ClearStoreResponse(&response);
    Fw_TopicClient_DropBody(tc);
    Fw_Relayd_ExecuteActions(tc->store->d, &acts);
    Fw_StoreClient_Tick(tc->store, Fw_Conn_NowUs());
}
