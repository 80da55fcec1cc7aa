/* Schedules messages to other instances and dispatches received ones. */
#include <errno.h>
#include <msgpack.h>

#include "base/fault.h"
#include "core/pack_scan.h"
#include "relay/relay_internal.h"

/* Minimum interval between reports that are sent before they are due. */
#define FW_REPORT_INTERVAL_MIN_US (20 * FW_MSEC)
/* Interval of lists of hubs to leaves. */
#define FW_HUB_LIST_INTERVAL_US (1 * FW_SEC)
/* Interval of lists of hubs to instances that no hub has seen. */
#define FW_ANNOUNCE_INTERVAL_US (3 * FW_SEC)
/* Delay of the first of these after an instance first acts as a hub. */
#define FW_ANNOUNCE_DELAY_US (300 * FW_MSEC)
/* Maximum age of other instances' load at which a leaf places requests. */
#define FW_LOAD_AGE_MAX_US (30 * FW_MSEC)
/* Maximum time that a request waits for newer load. */
#define FW_PLACEMENT_WAIT_MAX_US (15 * FW_MSEC)
/* Interval of digests to an unreachable hub. */
#define FW_HUB_PROBE_INTERVAL_US (500 * FW_MSEC)

static int
is_reachable_hub(struct fw_relay *r, struct fw_rl_member *m, int64_t now_us)
{
    return Fw_Hubs_IsActing(r, m, now_us) && !m->unreachable_since_us;
}

/*
 * Unreachable hubs are probed at intervals, so that both sides of a partition
 * find each other after it ends. Also starts the wait for an answer.
 */
static int
should_send_digest(struct fw_relay *r, struct fw_rl_member *m, int64_t now_us)
{
    if (is_reachable_hub(r, m, now_us)) {
        if (!m->awaiting_since_us) {
            m->awaiting_since_us = now_us;
        }
        return 1;
    }
    if (!m->is_nominal_hub || !m->unreachable_since_us ||
        FW_FAULT("hub-given-up") ||
        now_us - m->last_retry_us < FW_HUB_PROBE_INTERVAL_US) {
        return 0;
    }
    m->last_retry_us = now_us;
    return 1;
}

static int
is_leaf(struct fw_relay *r, struct fw_rl_member *m, int64_t now_us)
{
    return Fw_Hubs_IsLeaf(r, m, now_us);
}

static int
is_unseen_by_hubs(struct fw_relay *r, struct fw_rl_member *m, int64_t now_us)
{
    return !m->unreachable_since_us && !Fw_Members_SeenRecently(r, m, now_us);
}

/* Sends @msg to each member that @matches. Return: their number. */
static int
send_to_matching(struct fw_relay *r,
                 int (*matches)(struct fw_relay *, struct fw_rl_member *,
                                int64_t),
                 const GByteArray *msg, int64_t now_us,
                 struct fw_rl_outbox *out)
{
    GBytes *data = g_bytes_new(msg->data, msg->len);
    struct fw_list *pos;
    int n = 0;

    FW_LIST_EACH (pos, &r->members) {
        struct fw_rl_member *m = FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (matches(r, m, now_us)) {
            Fw_Outbox_AddShared(out, m->addr, data);
            n++;
        }
    }
    g_bytes_unref(data);
    return n;
}

/* Marks @m as unreachable if it hasn't answered within the timeout. */
static void
mark_if_unresponsive(struct fw_relay *r, struct fw_rl_member *m,
                     int64_t now_us)
{
    if (m->awaiting_since_us && !m->unreachable_since_us &&
        now_us - m->awaiting_since_us >= Fw_Members_TimeoutUs(r)) {
        m->unreachable_since_us = now_us;
    }
}

static void
send_digest(struct fw_relay *r, int64_t now_us, struct fw_rl_outbox *out)
{
    GByteArray *msg = g_byte_array_new();
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->members) {
        mark_if_unresponsive(r, FW_LIST_ENTRY(pos, struct fw_rl_member, link),
                             now_us);
    }
    Fw_Digest_Write(r, now_us, msg);
    send_to_matching(r, should_send_digest, msg, now_us, out);
    g_byte_array_unref(msg);
}

static void
send_delta(struct fw_relay *r, int64_t now_us, struct fw_rl_outbox *out)
{
    GByteArray *msg = g_byte_array_new();
    int n;

    Fw_Delta_Write(r, now_us, msg);
    n = send_to_matching(r, is_reachable_hub, msg, now_us, out);
    r->exchange.delta_pending = 0;
    r->exchange.next_delta_us = now_us + n * FW_RL_SEND_INTERVAL_PER_PEER_US;
    g_byte_array_unref(msg);
}

/* Each leaf gets its own reply, which contains what was counted for it. */
static void
push_to_leaves(struct fw_relay *r, int64_t now_us, struct fw_rl_outbox *out)
{
    struct fw_list *pos;
    int n = 0;

    FW_LIST_EACH (pos, &r->members) {
        struct fw_rl_member *m = FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (Fw_Hubs_IsLeaf(r, m, now_us)) {
            GByteArray *msg = g_byte_array_new();

            Fw_Reply_Write(r, m, 0, now_us, msg);
            Fw_Outbox_Add(out, m->addr, msg);
            g_byte_array_unref(msg);
            n++;
        }
    }
    r->exchange.push_pending = 0;
    r->exchange.next_push_us = now_us + n * FW_RL_SEND_INTERVAL_PER_PEER_US;
}

static void
send_hub_list(struct fw_relay *r,
              int (*matches)(struct fw_relay *, struct fw_rl_member *,
                             int64_t),
              int64_t now_us, struct fw_rl_outbox *out)
{
    GByteArray *msg = g_byte_array_new();

    Fw_HubList_Write(r, now_us, msg);
    send_to_matching(r, matches, msg, now_us, out);
    g_byte_array_unref(msg);
}

static void
schedule_next_send(struct fw_relay *r, int64_t now_us)
{
    r->exchange.send_soon = 0;
    r->exchange.next_send_us = now_us + r->opts.digest_period_us;
    r->exchange.earliest_send_us = now_us + r->opts.digest_period_us / 2;
}

static int
is_send_due(const struct fw_relay *r, int64_t now_us)
{
    return now_us >= r->exchange.next_send_us ||
           (r->exchange.send_soon && now_us >= r->exchange.earliest_send_us);
}

static void
act_as_hub(struct fw_relay *r, int64_t now_us, struct fw_rl_outbox *out)
{
    struct fw_rl_exchange *x = &r->exchange;

    if (is_send_due(r, now_us)) {
        schedule_next_send(r, now_us);
        send_digest(r, now_us, out);
    }
    else if (x->delta_pending && now_us >= x->next_delta_us) {
        send_delta(r, now_us, out);
    }
    if (x->push_pending && now_us >= x->next_push_us) {
        push_to_leaves(r, now_us, out);
    }
    if (now_us >= x->next_hub_list_us) {
        x->next_hub_list_us = now_us + FW_HUB_LIST_INTERVAL_US;
        send_hub_list(r, is_leaf, now_us, out);
    }
    if (!x->next_announce_us) {
        x->next_announce_us = now_us + FW_ANNOUNCE_DELAY_US;
    }
    else if (now_us >= x->next_announce_us) {
        x->next_announce_us = now_us + FW_ANNOUNCE_INTERVAL_US;
        send_hub_list(r, is_unseen_by_hubs, now_us, out);
    }
}

/*
 * A new session makes @hub count the tokens that earlier hubs haven't
 * acknowledged.
 */
static void
change_hub(struct fw_relay *r, struct fw_rl_member *hub)
{
    if (r->exchange.hub != hub) {
        r->exchange.hub = hub;
        r->exchange.report_session++;
        if (hub) {
            hub->awaiting_since_us = 0;
        }
    }
}

static void
act_as_leaf(struct fw_relay *r, int64_t now_us, struct fw_rl_outbox *out)
{
    struct fw_rl_exchange *x = &r->exchange;
    int send_early = (x->send_soon || x->delta_pending) &&
                     now_us - x->report_sent_us >= FW_REPORT_INTERVAL_MIN_US;
    GByteArray *msg;

    if (now_us < x->next_send_us && !send_early) {
        return;
    }
    if (x->hub) {
        mark_if_unresponsive(r, x->hub, now_us);
        if (x->hub->unreachable_since_us) {
            Fw_Hubs_UpdateRoles(r, now_us);
        }
    }
    schedule_next_send(r, now_us);
    x->delta_pending = 0;
    if (x->is_hub) {
        return;
    }
    change_hub(r, Fw_Hubs_ChooseHub(r));
    if (!x->hub) {
        return;
    }
    if (!x->hub->awaiting_since_us) {
        x->hub->awaiting_since_us = now_us;
    }
    msg = g_byte_array_new();
    Fw_Report_Write(r, now_us, msg);
    Fw_Outbox_Add(out, x->hub->addr, msg);
    g_byte_array_unref(msg);
}

int
Fw_Exchange_ShouldWait(struct fw_relay *r, int64_t since_us, int64_t now_us)
{
    const struct fw_rl_member *hub = r->exchange.hub;

    if (r->exchange.is_hub || !hub || hub->unreachable_since_us ||
        now_us - r->exchange.load_as_of_us < FW_LOAD_AGE_MAX_US ||
        now_us - since_us >= FW_PLACEMENT_WAIT_MAX_US) {
        return 0;
    }
    r->exchange.delta_pending = 1;
    return 1;
}

void
Fw_Exchange_ReportProgress(struct fw_relay *r)
{
    r->exchange.next_send_us = 0;
    r->exchange.push_pending = 1;
    r->exchange.next_push_us = 0;
}

void
Fw_Relay_WriteMessages(struct fw_relay *r, int64_t now_us,
                       struct fw_rl_outbox *out)
{
    if (is_send_due(r, now_us)) {
        Fw_Hubs_UpdateRoles(r, now_us);
    }
    if (r->exchange.is_hub) {
        act_as_hub(r, now_us, out);
    }
    else {
        act_as_leaf(r, now_us, out);
    }
    Fw_LimitMessage_SendDue(r, now_us, out);
    Fw_SpeedMessage_SendDue(r, now_us, out);
    Fw_CrashMessage_SendDue(r, now_us, out);
    Fw_DemandMessage_SendDue(r, now_us, out);
    Fw_CrashQuery_SendDue(r, now_us, out);
    Fw_StoreSync_SendQuery(r, now_us, out);
}

int64_t
Fw_Relay_NextMessageUs(const struct fw_relay *r)
{
    return r->exchange.next_send_us;
}

/*
 * Sends a new peer the list of hubs, the length models of the services and, if
 * both are hubs, a digest. The limits of servers follow with the next message
 * about these.
 */
static void
send_initial_state(struct fw_relay *r, const char *addr, int with_digest,
                   int64_t now_us, struct fw_rl_outbox *out)
{
    GByteArray *msg = g_byte_array_new();

    if (with_digest && r->exchange.is_hub) {
        Fw_Digest_Write(r, now_us, msg);
        Fw_Outbox_Add(out, addr, msg);
        g_byte_array_set_size(msg, 0);
    }
    Fw_HubList_Write(r, now_us, msg);
    Fw_Outbox_Add(out, addr, msg);
    g_byte_array_set_size(msg, 0);
    if (Fw_ServiceStats_Write(r, msg)) {
        Fw_Outbox_Add(out, addr, msg);
    }
    r->limits_changed = 1;
    Fw_Speed_ResendEstimates(r->speeds.table);
    r->crashes.changed |= r->crashes.blame.n_quarantines != 0;
    g_byte_array_unref(msg);
}

static int
handle_report(struct fw_relay *r, const msgpack_object *o, const char *addr,
              int64_t now_us, struct fw_rl_outbox *out)
{
    GByteArray *reply = g_byte_array_new();
    int rc = Fw_Report_Read(r, o, addr, now_us, reply);

    if (reply->len) {
        Fw_Outbox_Add(out, addr, reply);
    }
    g_byte_array_unref(reply);
    return rc;
}

static int
handle_message(struct fw_relay *r, const msgpack_object *o, const char *addr,
               int64_t now_us, struct fw_rl_outbox *out)
{
    int rc = Fw_Digest_Read(r, o, addr, now_us);
    int is_digest = rc >= 0;

    if (rc == -EBADMSG) {
        rc = handle_report(r, o, addr, now_us, out);
    }
    if (rc > 0) {
        send_initial_state(r, addr, is_digest, now_us, out);
    }
    if (rc >= 0) {
        return rc;
    }
    if (Fw_Reply_Read(r, o, now_us) == 0 || Fw_Delta_Read(r, o, now_us) == 0 ||
        Fw_HubList_Read(r, o, addr, now_us) == 0 ||
        Fw_LimitMessage_Read(r, o, now_us) == 0 ||
        Fw_SpeedMessage_Read(r, o, now_us) == 0 ||
        Fw_CrashMessage_Read(r, o, now_us) == 0 ||
        Fw_DemandMessage_Read(r, o, now_us) == 0 ||
        Fw_CrashQuery_Read(r, o, addr, now_us, out) == 0 ||
        Fw_ServiceStats_Read(r, o) == 0) {
        return 0;
    }
    return Fw_StoreSync_Read(r, o, addr, now_us, out);
}

int
Fw_Relay_ReadMessage(struct fw_relay *r, const char *addr, const void *data,
                     size_t len, int64_t now_us, struct fw_rl_outbox *out)
{
    msgpack_unpacked u;
    int rc = -EBADMSG;

    if (!Fw_PackScan_IsSane(data, len)) {
        return -EBADMSG;
    }
    msgpack_unpacked_init(&u);
    if (msgpack_unpack_next(&u, data, len, NULL) == MSGPACK_UNPACK_SUCCESS) {
        rc = handle_message(r, &u.data, addr, now_us, out);
    }
    msgpack_unpacked_destroy(&u);
    return rc;
}
