#include "harness.h"

#include <check.h>
#include <errno.h>
#include <inttypes.h>
#include <string.h>

#include "core/pack.h"

#define FW_STEPS_MAX 200000
#define FW_HOP_US 500

enum mail_kind {
    FW_MAIL_PEER,
    FW_MAIL_APPENDED,
    FW_MAIL_READ,
    FW_MAIL_LIST,
    FW_MAIL_UP,
};

struct harness_mail {
    struct fw_list link;
    int64_t at_us;
    int to;
    enum mail_kind kind;
    char from[FW_NAME_MAX];
    GByteArray *bytes;
    struct fw_log_appended appended;
    struct fw_log_read read;
    int64_t sent_us;
    struct fw_up_event up;
};

static void
take_actions(struct harness *b, int node, struct fw_actions *out);

void
Fw_Harness_Step(struct harness *b, int node, const struct fw_event *ev)
{
    struct fw_actions out;

    if (b->dead[node] || b->exited[node]) {
        return;
    }
    Fw_Actions_Init(&out);
    ck_assert_int_eq(Fw_Node_Step(b->nodes[node], ev, b->now_us, &out), 0);
    b->wake_us[node] = out.wake_us;
    take_actions(b, node, &out);
    Fw_Actions_Clear(&out);
}

static struct harness_mail *
post(struct harness *b, int to, enum mail_kind kind)
{
    struct harness_mail *m = g_new0(struct harness_mail, 1);

    m->to = to;
    m->kind = kind;
    m->at_us = b->now_us + FW_HOP_US;
    Fw_List_Append(&b->mail, &m->link);
    return m;
}

/* Reads answered late come back when a record comes or their wait ends. */
static void
release_reads(struct harness *b, const char *name)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &b->mail) {
        struct harness_mail *m = FW_LIST_ENTRY(pos, struct harness_mail, link);
        if (m->kind == FW_MAIL_READ && strcmp(m->read.stream, name) == 0) {
            m->at_us = MIN(m->at_us, b->now_us + FW_HOP_US);
        }
    }
}

static void
on_append(struct harness *b, int node, const struct fw_log_append *a)
{
    struct harness_mail *m = post(b, node, FW_MAIL_APPENDED);

    m->appended.ticket = a->ticket;
    g_strlcpy(m->appended.stream, a->stream, sizeof(m->appended.stream));
    if (b->log_down) {
        m->appended.err = -EAGAIN;
        return;
    }
    m->appended.first = Fw_MemLog_Append(
        &b->log, a->stream, (const char *const *)a->records, a->n);
    release_reads(b, a->stream);
}

static void
on_read(struct harness *b, int node, const struct fw_log_read *r)
{
    struct harness_mail *m = post(b, node, FW_MAIL_READ);

    m->read = *r;
    m->sent_us = b->now_us;
    if (!b->log_down && Fw_MemLog_End(&b->log, r->stream) <= r->from) {
        m->at_us += r->wait_us;
    }
}

static void
on_peer(struct harness *b, int node, const struct fw_peer_send *p)
{
    int to = -1;
    struct harness_mail *m;
    msgpack_packer pk;

    if (sscanf(p->to, "instance-%d", &to) != 1 || to >= b->n || b->cut[node] ||
        b->cut[to]) {
        return;
    }
    m = post(b, to, FW_MAIL_PEER);
    g_snprintf(m->from, sizeof(m->from), "instance-%d", node);
    m->bytes = g_byte_array_new();
    Fw_Pack_Begin(&pk, m->bytes);
    Fw_Msg_Pack(&pk, &p->msg);
}

static void
auto_answer(struct harness *b, struct harness_mail *m,
            const struct fw_up_start *up)
{
    struct fw_up_event *ev = &m->up;

    ev->phase = FW_UP_DONE;
    ev->status = 200;
    switch (up->kind) {
    case FW_UP_PREFILL:
        g_strlcpy(ev->u.kv.kv, "kv", sizeof(ev->u.kv.kv));
        ev->u.kv.lapse_us = 800 * FW_MSEC;
        break;
    case FW_UP_IMPORT:
        ev->u.transfer_us = 1000;
        break;
    case FW_UP_LOAD:
        ev->u.report.slots = 20;
        ev->u.report.kv_total = 1 << 20;
        g_strlcpy(ev->u.report.role,
                  g_str_has_prefix(up->upstream, "p") ? "prefill" : "decode",
                  sizeof(ev->u.report.role));
        ev->u.report.n_models = 1;
        g_strlcpy(ev->u.report.models[0], "m@1",
                  sizeof(ev->u.report.models[0]));
        break;
    case FW_UP_HELD:
        ev->u.held.n = (int)MIN(b->held->len, 1);
        ev->u.held.attached = &b->attached;
        ev->u.held.requests = (const char *const *)b->held->pdata;
        break;
    default:
        break;
    }
}

static void
on_up(struct harness *b, int node, const struct fw_up_start *up)
{
    struct harness_call *c;
    struct harness_mail *m;

    Fw_Harness_SeeUp(b, up);
    if (b->answers[up->kind] == FW_HARNESS_AUTO) {
        m = post(b, node, FW_MAIL_UP);
        m->up.op = up->op;
        m->up.kind = up->kind;
        auto_answer(b, m, up);
        return;
    }
    c = g_new0(struct harness_call, 1);
    c->node = node;
    c->up = *up;
    Fw_List_Append(&b->calls, &c->link);
}

static void
on_stop(struct harness *b, uint64_t op)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &b->calls) {
        struct harness_call *c = FW_LIST_ENTRY(pos, struct harness_call, link);
        if (c->up.op == op) {
            Fw_Harness_See(b, "%s %s stopped",
                           Fw_Harness_Label(b, c->up.upstream),
                           Fw_Harness_KindName(c->up.kind));
            Fw_List_Remove(&c->link);
            g_free(c);
        }
    }
}

static void
take_action(struct harness *b, int node, struct fw_action *a)
{
    switch (a->kind) {
    case FW_ACT_CALL_START:
    case FW_ACT_CALL_PIECE:
    case FW_ACT_CALL_END:
    case FW_ACT_CALL_FAIL:
    case FW_ACT_CALL_ANSWER:
        Fw_Harness_SeeCaller(b, a);
        break;
    case FW_ACT_UP_START:
        on_up(b, node, &a->u.up);
        break;
    case FW_ACT_UP_STOP:
        on_stop(b, a->u.stop);
        break;
    case FW_ACT_PEER_SEND:
        on_peer(b, node, &a->u.send);
        break;
    case FW_ACT_LOG_APPEND:
        on_append(b, node, &a->u.append);
        break;
    case FW_ACT_LOG_READ:
        on_read(b, node, &a->u.read);
        break;
    case FW_ACT_LIST_READ:
        post(b, node, FW_MAIL_LIST);
        break;
    case FW_ACT_NOTE:
        break;
    case FW_ACT_EXIT:
        Fw_Harness_See(b, "instance-%d exit", node);
        b->exited[node] = 1;
        break;
    }
}

static void
take_actions(struct harness *b, int node, struct fw_actions *out)
{
    struct fw_action *a;

    while ((a = Fw_Actions_Take(out))) {
        take_action(b, node, a);
        Fw_Action_Free(a);
    }
}

static void
deliver_peer(struct harness *b, struct harness_mail *m)
{
    msgpack_unpacked up;
    struct fw_msg msg;
    struct fw_event ev = {.kind = FW_EV_PEER, .u.peer = {.boot = 1}};

    msgpack_unpacked_init(&up);
    ck_assert_int_eq(msgpack_unpack_next(&up, (const char *)m->bytes->data,
                                         m->bytes->len, NULL),
                     MSGPACK_UNPACK_SUCCESS);
    ck_assert_int_eq(Fw_Msg_Unpack(&up.data, &msg), 0);
    g_strlcpy(ev.u.peer.from, m->from, sizeof(ev.u.peer.from));
    ev.u.peer.msg = &msg;
    Fw_Harness_Step(b, m->to, &ev);
    Fw_Msg_Clear(&msg);
    msgpack_unpacked_destroy(&up);
}

static void
deliver_read(struct harness *b, struct harness_mail *m)
{
    struct fw_event ev = {.kind = FW_EV_LOG_RECORDS};

    Fw_MemLog_Answer(&b->log, &m->read, m->sent_us, &ev.u.records);
    if (b->log_down) {
        ev.u.records.err = -EIO;
        ev.u.records.n = 0;
    }
    Fw_Harness_Step(b, m->to, &ev);
}

static void
deliver_list(struct harness *b, struct harness_mail *m)
{
    struct fw_list_entry entries[FW_HARNESS_NODES] = {0};
    struct fw_event ev = {.kind = FW_EV_LISTED};

    for (int i = 0; i < b->n; i++) {
        g_snprintf(entries[i].name, FW_NAME_MAX, "instance-%d", i);
        g_snprintf(entries[i].addr, FW_URL_MAX, "10.0.0.%d:1", i);
        g_strlcpy(entries[i].domain, "d", FW_NAME_MAX);
        g_strlcpy(entries[i].region, "r", FW_NAME_MAX);
    }
    ev.u.listed.n = b->n;
    ev.u.listed.entries = entries;
    Fw_Harness_Step(b, m->to, &ev);
}

static void
deliver(struct harness *b, struct harness_mail *m)
{
    struct fw_event ev = {.kind = FW_EV_UP};

    switch (m->kind) {
    case FW_MAIL_PEER:
        deliver_peer(b, m);
        g_byte_array_unref(m->bytes);
        break;
    case FW_MAIL_APPENDED:
        ev.kind = FW_EV_LOG_APPENDED;
        ev.u.appended = m->appended;
        Fw_Harness_Step(b, m->to, &ev);
        break;
    case FW_MAIL_READ:
        deliver_read(b, m);
        break;
    case FW_MAIL_LIST:
        deliver_list(b, m);
        break;
    case FW_MAIL_UP:
        ev.u.up = m->up;
        Fw_Harness_Step(b, m->to, &ev);
        break;
    }
    g_free(m);
}

/* The next thing due: a mail, or -1 and a node to tick, or nothing. */
static struct harness_mail *
next_due(struct harness *b, int64_t until_us, int *tick)
{
    struct harness_mail *best = NULL;
    int64_t at = until_us + 1;
    struct fw_list *pos;

    *tick = -1;
    FW_LIST_EACH (pos, &b->mail) {
        struct harness_mail *m = FW_LIST_ENTRY(pos, struct harness_mail, link);
        if (m->at_us < at) {
            at = m->at_us;
            best = m;
        }
    }
    for (int i = 0; i < b->n; i++) {
        if (!b->dead[i] && !b->exited[i] && b->wake_us[i] < at) {
            at = b->wake_us[i];
            best = NULL;
            *tick = i;
        }
    }
    if (best || *tick >= 0) {
        b->now_us = MAX(b->now_us, at);
    }
    return best;
}

void
Fw_Harness_Run(struct harness *b, int64_t us)
{
    int64_t until = b->now_us + us;
    struct fw_event tick = {.kind = FW_EV_TICK};

    for (int i = 0; i < FW_STEPS_MAX; i++) {
        int node;
        struct harness_mail *m = next_due(b, until, &node);
        if (m) {
            Fw_List_Remove(&m->link);
            deliver(b, m);
        }
        else if (node >= 0) {
            b->wake_us[node] = INT64_MAX;
            Fw_Harness_Step(b, node, &tick);
        }
        else {
            b->now_us = until;
            return;
        }
    }
    ck_abort_msg("the nodes never came to rest");
}

static void
new_node(struct harness *b, int i)
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
    b->nodes[i] = Fw_Node_New(&opts, b->now_us);
    b->wake_us[i] = b->now_us;
}

struct harness *
Fw_Harness_New(int nodes)
{
    struct harness *b = g_new0(struct harness, 1);

    b->n = nodes;
    b->now_us = FW_SEC;
    Fw_MemLog_Init(&b->log);
    b->held = g_ptr_array_new_with_free_func(g_free);
    b->labels = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    b->seen = g_string_new(NULL);
    Fw_List_Init(&b->mail);
    Fw_List_Init(&b->calls);
    for (int i = 0; i < nodes; i++) {
        new_node(b, i);
    }
    return b;
}

void
Fw_Harness_Free(struct harness *b)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &b->mail) {
        struct harness_mail *m = FW_LIST_ENTRY(pos, struct harness_mail, link);
        if (m->kind == FW_MAIL_PEER) {
            g_byte_array_unref(m->bytes);
        }
        g_free(m);
    }
    FW_LIST_EACH_SAFE (pos, tmp, &b->calls) {
        g_free(FW_LIST_ENTRY(pos, struct harness_call, link));
    }
    for (int i = 0; i < b->n; i++) {
        Fw_Node_Free(b->nodes[i]);
    }
    Fw_MemLog_Fini(&b->log);
    g_hash_table_unref(b->labels);
    g_ptr_array_unref(b->held);
    g_string_free(b->seen, TRUE);
    g_free(b);
}

void
Fw_Harness_Configure(struct harness *b, const char *items)
{
    Fw_MemLog_Change(&b->log, items);
    release_reads(b, FW_STREAM_CONFIG);
}
