#include "harness.h"

#include <check.h>
#include <errno.h>
#include <inttypes.h>
#include <string.h>

#include "core/pack.h"

#define FW_STEPS_MAX 200000
#define FW_DELIVERY_DELAY_US 500

enum delivery_kind {
    FW_DELIVERY_PEER,
    FW_DELIVERY_APPENDED,
    FW_DELIVERY_READ,
    FW_DELIVERY_LIST,
    FW_DELIVERY_UP,
};

struct harness_delivery {
    struct fw_list link;
    int64_t at_us;
    int to;
    enum delivery_kind kind;
    char from[FW_NAME_MAX];
    GByteArray *bytes;
    struct fw_log_appended appended;
    struct fw_log_read read;
    int64_t sent_us;
    struct fw_up_event up;
};

static void
perform_actions(struct harness *h, int node, struct fw_actions *out);

void
Fw_Harness_Step(struct harness *h, int node, const struct fw_event *ev)
{
    struct fw_actions out;

    if (h->dead[node] || h->exited[node]) {
        return;
    }
    Fw_Actions_Init(&out);
    ck_assert_int_eq(Fw_Node_Step(h->nodes[node], ev, h->now_us, &out), 0);
    h->wake_us[node] = out.wake_us;
    perform_actions(h, node, &out);
    Fw_Actions_Clear(&out);
}

static struct harness_delivery *
schedule(struct harness *h, int to, enum delivery_kind kind)
{
    struct harness_delivery *d = g_new0(struct harness_delivery, 1);

    d->to = to;
    d->kind = kind;
    d->at_us = h->now_us + FW_DELIVERY_DELAY_US;
    Fw_List_Append(&h->deliveries, &d->link);
    return d;
}

/* Makes waiting reads of stream @name due after a record was appended. */
static void
wake_reads(struct harness *h, const char *name)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &h->deliveries) {
        struct harness_delivery *d =
            FW_LIST_ENTRY(pos, struct harness_delivery, link);
        if (d->kind == FW_DELIVERY_READ && strcmp(d->read.stream, name) == 0) {
            d->at_us = MIN(d->at_us, h->now_us + FW_DELIVERY_DELAY_US);
        }
    }
}

static void
on_append(struct harness *h, int node, const struct fw_log_append *a)
{
    struct harness_delivery *d = schedule(h, node, FW_DELIVERY_APPENDED);

    d->appended.ticket = a->ticket;
    g_strlcpy(d->appended.stream, a->stream, sizeof(d->appended.stream));
    if (h->log_down) {
        d->appended.err = -EAGAIN;
        return;
    }
    d->appended.first_offset = Fw_MemLog_Append(
        &h->log, a->stream, (const char *const *)a->records, a->n);
    wake_reads(h, a->stream);
}

static void
on_read(struct harness *h, int node, const struct fw_log_read *r)
{
    struct harness_delivery *d = schedule(h, node, FW_DELIVERY_READ);

    d->read = *r;
    d->sent_us = h->now_us;
    if (!h->log_down && Fw_MemLog_End(&h->log, r->stream) <= r->from_offset) {
        d->at_us += r->wait_us;
    }
}

static void
on_peer(struct harness *h, int node, const struct fw_peer_send *p)
{
    int to = -1;
    struct harness_delivery *d;
    msgpack_packer pk;

    if (sscanf(p->to, "instance-%d", &to) != 1 || to >= h->n_nodes ||
        h->partitioned[node] || h->partitioned[to]) {
        return;
    }
    d = schedule(h, to, FW_DELIVERY_PEER);
    g_snprintf(d->from, sizeof(d->from), "instance-%d", node);
    d->bytes = g_byte_array_new();
    Fw_Pack_Begin(&pk, d->bytes);
    Fw_Msg_Pack(&pk, &p->msg);
}

static void
auto_answer(struct harness *h, struct harness_delivery *d,
            const struct fw_up_start *up)
{
    struct fw_up_event *ev = &d->up;

    ev->phase = FW_UP_DONE;
    ev->status = 200;
    switch (up->kind) {
    case FW_UP_PREFILL:
        g_strlcpy(ev->u.kv.kv, "kv", sizeof(ev->u.kv.kv));
        ev->u.kv.ttl_us = 800 * FW_MSEC;
        break;
    case FW_UP_IMPORT:
        ev->u.transfer_us = 1000;
        break;
    case FW_UP_LOAD_REPORT:
        ev->u.report.slots = 20;
        ev->u.report.kv_total = 1 << 20;
        g_strlcpy(ev->u.report.role,
                  g_str_has_prefix(up->upstream, "p") ? "prefill" : "decode",
                  sizeof(ev->u.report.role));
        ev->u.report.n_models = 1;
        g_strlcpy(ev->u.report.models[0], "m@1",
                  sizeof(ev->u.report.models[0]));
        break;
    case FW_UP_LIST_REQUESTS:
        ev->u.held.n = (int)MIN(h->held_ids->len, 1);
        ev->u.held.attached = &h->held_attached;
        ev->u.held.requests = (const char *const *)h->held_ids->pdata;
        break;
    default:
        break;
    }
}

static void
on_up(struct harness *h, int node, const struct fw_up_start *up)
{
    struct harness_call *c;
    struct harness_delivery *d;

    Fw_Harness_RecordUpstreamCall(h, up);
    if (h->reply_modes[up->kind] == FW_HARNESS_AUTO) {
        d = schedule(h, node, FW_DELIVERY_UP);
        d->up.op = up->op;
        d->up.kind = up->kind;
        auto_answer(h, d, up);
        return;
    }
    c = g_new0(struct harness_call, 1);
    c->node = node;
    c->up = *up;
    Fw_List_Append(&h->calls, &c->link);
}

static void
on_stop(struct harness *h, uint64_t op)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &h->calls) {
        struct harness_call *c = FW_LIST_ENTRY(pos, struct harness_call, link);
        if (c->up.op == op) {
            Fw_Harness_Record(h, "%s %s stopped",
                              Fw_Harness_Label(h, c->up.upstream),
                              Fw_Harness_KindName(c->up.kind));
            Fw_List_Remove(&c->link);
            g_free(c);
        }
    }
}

static void
perform_action(struct harness *h, int node, struct fw_action *a)
{
    switch (a->kind) {
    case FW_ACT_CALL_START:
    case FW_ACT_CALL_TOKEN:
    case FW_ACT_CALL_END:
    case FW_ACT_CALL_FAIL:
    case FW_ACT_CALL_RESPONSE:
        Fw_Harness_RecordCallerAction(h, a);
        break;
    case FW_ACT_UP_START:
        on_up(h, node, &a->u.up);
        break;
    case FW_ACT_UP_STOP:
        on_stop(h, a->u.stop);
        break;
    case FW_ACT_PEER_SEND:
        on_peer(h, node, &a->u.send);
        break;
    case FW_ACT_LOG_APPEND:
        on_append(h, node, &a->u.append);
        break;
    case FW_ACT_LOG_READ:
        on_read(h, node, &a->u.read);
        break;
    case FW_ACT_REGISTRY_READ:
        schedule(h, node, FW_DELIVERY_LIST);
        break;
    case FW_ACT_NOTE:
        break;
    case FW_ACT_EXIT:
        Fw_Harness_Record(h, "instance-%d exit", node);
        h->exited[node] = 1;
        break;
    }
}

static void
perform_actions(struct harness *h, int node, struct fw_actions *out)
{
    struct fw_action *a;

    while ((a = Fw_Actions_Pop(out))) {
        perform_action(h, node, a);
        Fw_Action_Free(a);
    }
}

static void
deliver_peer(struct harness *h, struct harness_delivery *d)
{
    msgpack_unpacked up;
    struct fw_msg msg;
    struct fw_event ev = {.kind = FW_EV_PEER, .u.peer = {.boot = 1}};

    msgpack_unpacked_init(&up);
    ck_assert_int_eq(msgpack_unpack_next(&up, (const char *)d->bytes->data,
                                         d->bytes->len, NULL),
                     MSGPACK_UNPACK_SUCCESS);
    ck_assert_int_eq(Fw_Msg_Unpack(&up.data, &msg), 0);
    g_strlcpy(ev.u.peer.from, d->from, sizeof(ev.u.peer.from));
    ev.u.peer.msg = &msg;
    Fw_Harness_Step(h, d->to, &ev);
    Fw_Msg_Clear(&msg);
    msgpack_unpacked_destroy(&up);
}

static void
deliver_read(struct harness *h, struct harness_delivery *d)
{
    struct fw_event ev = {.kind = FW_EV_LOG_RECORDS};

    Fw_MemLog_Read(&h->log, &d->read, d->sent_us, &ev.u.records);
    if (h->log_down) {
        ev.u.records.err = -EIO;
        ev.u.records.n = 0;
    }
    Fw_Harness_Step(h, d->to, &ev);
}

static void
deliver_list(struct harness *h, struct harness_delivery *d)
{
    struct fw_registry_entry entries[FW_HARNESS_NODES_MAX] = {0};
    struct fw_event ev = {.kind = FW_EV_REGISTRY};

    for (int i = 0; i < h->n_nodes; i++) {
        g_snprintf(entries[i].name, FW_NAME_MAX, "instance-%d", i);
        g_snprintf(entries[i].addr, FW_URL_MAX, "10.0.0.%d:1", i);
        g_strlcpy(entries[i].domain, "d", FW_NAME_MAX);
        g_strlcpy(entries[i].region, "r", FW_NAME_MAX);
    }
    ev.u.listed.n = h->n_nodes;
    ev.u.listed.entries = entries;
    Fw_Harness_Step(h, d->to, &ev);
}

static void
deliver(struct harness *h, struct harness_delivery *d)
{
    struct fw_event ev = {.kind = FW_EV_UP};

    switch (d->kind) {
    case FW_DELIVERY_PEER:
        deliver_peer(h, d);
        g_byte_array_unref(d->bytes);
        break;
    case FW_DELIVERY_APPENDED:
        ev.kind = FW_EV_LOG_APPENDED;
        ev.u.appended = d->appended;
        Fw_Harness_Step(h, d->to, &ev);
        break;
    case FW_DELIVERY_READ:
        deliver_read(h, d);
        break;
    case FW_DELIVERY_LIST:
        deliver_list(h, d);
        break;
    case FW_DELIVERY_UP:
        ev.u.up = d->up;
        Fw_Harness_Step(h, d->to, &ev);
        break;
    }
    g_free(d);
}

/* Return: the next delivery due by @until_us; NULL when a node's tick comes
 * first, with @tick set to the node, or when nothing is due (@tick is -1). */
static struct harness_delivery *
next_due(struct harness *h, int64_t until_us, int *tick)
{
    struct harness_delivery *best = NULL;
    int64_t at = until_us + 1;
    struct fw_list *pos;

    *tick = -1;
    FW_LIST_EACH (pos, &h->deliveries) {
        struct harness_delivery *d =
            FW_LIST_ENTRY(pos, struct harness_delivery, link);
        if (d->at_us < at) {
            at = d->at_us;
            best = d;
        }
    }
    for (int i = 0; i < h->n_nodes; i++) {
        if (!h->dead[i] && !h->exited[i] && h->wake_us[i] < at) {
            at = h->wake_us[i];
            best = NULL;
            *tick = i;
        }
    }
    if (best || *tick >= 0) {
        h->now_us = MAX(h->now_us, at);
    }
    return best;
}

void
Fw_Harness_Run(struct harness *h, int64_t us)
{
    int64_t until = h->now_us + us;
    struct fw_event tick = {.kind = FW_EV_TICK};

    for (int i = 0; i < FW_STEPS_MAX; i++) {
        int node;
        struct harness_delivery *d = next_due(h, until, &node);
        if (d) {
            Fw_List_Remove(&d->link);
            deliver(h, d);
        }
        else if (node >= 0) {
            h->wake_us[node] = INT64_MAX;
            Fw_Harness_Step(h, node, &tick);
        }
        else {
            h->now_us = until;
            return;
        }
    }
    ck_abort_msg("events are still due after FW_STEPS_MAX steps");
}

static void
new_node(struct harness *h, int i)
{
    struct fw_node_opts opts = {
        .seed = 7 + (uint32_t)i,
        .partitions = 4,
        .prompt_tokens_max = 100000,
        .max_tokens_default = 16,
        .key_stale_us = 30 * FW_SEC,
        .route = {.policy = FW_POLICY_FULL,
                  .ttft_us = 850 * FW_MSEC,
                  .itl_us = 43 * FW_MSEC,
                  .queue_max_us = 10 * FW_SEC,
                  .retry_permille = 1000,
                  .seed = 7},
    };

    g_snprintf(opts.self.name, FW_NAME_MAX, "instance-%d", i);
    g_snprintf(opts.self.addr, FW_URL_MAX, "10.0.0.%d:1", i);
    g_strlcpy(opts.self.domain, "d", FW_NAME_MAX);
    g_strlcpy(opts.self.region, "r", FW_NAME_MAX);
    opts.self.boot = 1;
    h->nodes[i] = Fw_Node_New(&opts, h->now_us);
    h->wake_us[i] = h->now_us;
}

struct harness *
Fw_Harness_New(int nodes)
{
    struct harness *h = g_new0(struct harness, 1);

    h->n_nodes = nodes;
    h->now_us = FW_SEC;
    Fw_MemLog_Init(&h->log);
    h->held_ids = g_ptr_array_new_with_free_func(g_free);
    h->labels = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    h->transcript = g_string_new(NULL);
    Fw_List_Init(&h->deliveries);
    Fw_List_Init(&h->calls);
    for (int i = 0; i < nodes; i++) {
        new_node(h, i);
    }
    return h;
}

void
Fw_Harness_Free(struct harness *h)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &h->deliveries) {
        struct harness_delivery *d =
            FW_LIST_ENTRY(pos, struct harness_delivery, link);
        if (d->kind == FW_DELIVERY_PEER) {
            g_byte_array_unref(d->bytes);
        }
        g_free(d);
    }
    FW_LIST_EACH_SAFE (pos, tmp, &h->calls) {
        g_free(FW_LIST_ENTRY(pos, struct harness_call, link));
    }
    for (int i = 0; i < h->n_nodes; i++) {
        Fw_Node_Free(h->nodes[i]);
    }
    Fw_MemLog_Fini(&h->log);
    g_hash_table_unref(h->labels);
    g_ptr_array_unref(h->held_ids);
    g_string_free(h->transcript, TRUE);
    g_free(h);
}

void
Fw_Harness_Configure(struct harness *h, const char *items)
{
    Fw_MemLog_AppendChange(&h->log, items);
    wake_reads(h, FW_STREAM_CONFIG);
}
