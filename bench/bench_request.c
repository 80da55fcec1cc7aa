/*
 * Measures requests in the core, without I/O: heap per open request, CPU time
 * to start and end a request and per streamed piece, and the encoded size of
 * the messages between instances. A hash table lookup is timed for
 * comparison.
 */
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "base/hash.h"
#include "core/msg.h"
#include "explore/memlog.h"
#include "node/node.h"

#define FW_OPEN_REQUESTS 1000
#define FW_PIECES 200
#define FW_PROMPT_BYTES 40000
#define FW_HASH_LOOKUPS 1000000

/**
 * struct bench - a node and its simulated environment.
 * @ops: upstream operation of each call, 0 for none; @kinds: its kind
 * @pending_reads: struct fw_log_read, to be answered by advance()
 * @call: the call that new upstream operations belong to
 */
struct bench {
    struct fw_node *node;
    int64_t now_us;
    int64_t wake_us;
    uint64_t ops[FW_OPEN_REQUESTS + 1];
    enum fw_up_kind kinds[FW_OPEN_REQUESTS + 1];
    struct fw_memlog log;
    GQueue pending_reads;
    uint64_t call;
};

static double
now_s(void)
{
    struct timespec t;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static size_t
heap_bytes(void)
{
    struct mallinfo2 m = mallinfo2();

    return m.uordblks + m.hblkhd;
}

static void
perform_actions(struct bench *b, struct fw_actions *out);

static void
step(struct bench *b, const struct fw_event *ev)
{
    struct fw_actions out;

    Fw_Actions_Init(&out);
    Fw_Node_Step(b->node, ev, b->now_us, &out);
    b->wake_us = out.wake_us;
    perform_actions(b, &out);
}

static void
on_append(struct bench *b, const struct fw_log_append *a)
{
    struct fw_event ev = {.kind = FW_EV_LOG_APPENDED};

    ev.u.appended.ticket = a->ticket;
    ev.u.appended.first_offset = Fw_MemLog_Append(
        &b->log, a->stream, (const char *const *)a->records, a->n);
    g_strlcpy(ev.u.appended.stream, a->stream, FW_NAME_MAX);
    step(b, &ev);
}

static void
complete_read(struct bench *b, const struct fw_log_read *r)
{
    struct fw_event ev = {.kind = FW_EV_LOG_RECORDS};

    Fw_MemLog_Read(&b->log, r, b->now_us, &ev.u.records);
    step(b, &ev);
}

static void
on_upstream_start(struct bench *b, const struct fw_up_start *up)
{
    struct fw_event ev = {.kind = FW_EV_UP};
    struct fw_up_report *r = &ev.u.up.u.report;

    if (up->kind == FW_UP_PREFILL || up->kind == FW_UP_IMPORT ||
        up->kind == FW_UP_DECODE) {
        b->ops[b->call] = up->op;
        b->kinds[b->call] = up->kind;
        return;
    }
    if (up->kind != FW_UP_LOAD_REPORT) {
        return;
    }
    ev.u.up.op = up->op;
    ev.u.up.kind = up->kind;
    ev.u.up.phase = FW_UP_DONE;
    r->slots = FW_OPEN_REQUESTS;
    r->kv_total = 1LL << 40;
    g_strlcpy(r->role, up->upstream[0] == 'p' ? "prefill" : "decode",
              sizeof(r->role));
    r->n_models = 1;
    g_strlcpy(r->models[0], "m@1", sizeof(r->models[0]));
    step(b, &ev);
}

static void
perform_actions(struct bench *b, struct fw_actions *out)
{
    struct fw_action *a;

    while ((a = Fw_Actions_Pop(out))) {
        if (a->kind == FW_ACT_UP_START) {
            on_upstream_start(b, &a->u.up);
        }
        else if (a->kind == FW_ACT_LOG_APPEND) {
            on_append(b, &a->u.append);
        }
        else if (a->kind == FW_ACT_LOG_READ) {
            g_queue_push_tail(&b->pending_reads,
                              g_memdup2(&a->u.read, sizeof(a->u.read)));
        }
        Fw_Action_Free(a);
    }
}

static void
advance(struct bench *b, int64_t us)
{
    struct fw_event tick = {.kind = FW_EV_TICK};
    int64_t until = b->now_us + us;

    for (guint n = b->pending_reads.length; n > 0; n--) {
        struct fw_log_read *r = g_queue_pop_head(&b->pending_reads);
        complete_read(b, r);
        g_free(r);
    }
    while (b->wake_us <= until) {
        b->now_us = MAX(b->now_us, b->wake_us);
        step(b, &tick);
    }
    b->now_us = until;
}

static void
configure(struct bench *b)
{
    char digest[FW_DIGEST_HEX_SIZE];
    GString *s = g_string_new(
        "{\"kind\":\"team\",\"name\":\"a\",\"was\":0,\"value\":{"
        "\"rate\":1000000000,\"burst\":1000000000,\"priority\":1,"
        "\"models\":[]}},{\"kind\":\"pool\",\"name\":\"pool\",\"was\":0,"
        "\"value\":{\"kv_bytes_per_token\":1,\"prefill_min\":1,"
        "\"decode_min\":1,\"serves\":[{\"model\":\"m\",\"version\":\"1\","
        "\"adapter\":\"\"}]}},");

    for (int e = 0; e < 2; e++) {
        g_string_append_printf(
            s,
            "{\"kind\":\"upstream\",\"name\":\"%s\",\"was\":0,\"value\":{"
            "\"pool\":\"pool\",\"url\":\"http://e\",\"domain\":\"d\","
            "\"role\":\"%s\",\"fencing\":\"checked\",\"slots\":%d,"
            "\"prefill_rate\":1000000000,\"drained\":false,\"links\":[{"
            "\"domain\":\"d\",\"bytes_per_s\":100000000000}]}},",
            e ? "d0" : "p0", e ? "decode" : "prefill", FW_OPEN_REQUESTS);
    }
    Fw_Hash_KeyDigest("key", digest);
    g_string_append_printf(s,
                           "{\"kind\":\"key\",\"name\":\"%s\",\"was\":0,"
                           "\"value\":{\"team\":\"a\",\"withdrawn\":false}"
                           "}",
                           digest);
    Fw_MemLog_AppendChange(&b->log, s->str);
    g_string_free(s, TRUE);
}

static void
init(struct bench *b)
{
    struct fw_node_opts opts = {
        .self = {.name = "instance-0",
                 .boot = 1,
                 .addr = "10.0.0.1:1",
                 .domain = "d",
                 .region = "r"},
        .seed = 1,
        .partitions = 4,
        .prompt_tokens_max = 1000000,
        .max_tokens_default = FW_PIECES,
        .key_stale_us = 3600 * FW_SEC,
        .route = {.policy = FW_POLICY_LEAST_LOADED,
                  .ttft_us = 3600 * FW_SEC,
                  .itl_us = 3600 * FW_SEC,
                  .queue_max_us = 3600 * FW_SEC,
                  .retry_permille = 1000,
                  .seed = 1},
    };

    memset(b, 0, sizeof(*b));
    b->now_us = FW_SEC;
    b->wake_us = b->now_us;
    Fw_MemLog_Init(&b->log);
    g_queue_init(&b->pending_reads);
    configure(b);
    b->node = Fw_Node_New(&opts, b->now_us);
    for (int i = 0; i < 100; i++) {
        advance(b, 100 * FW_MSEC);
    }
}

static void
open_call(struct bench *b, int n, GBytes *prompt)
{
    struct fw_event ev = {.kind = FW_EV_CALL_OPEN};
    struct fw_call *c = &ev.u.open;

    b->call = (uint64_t)n;
    c->call = (uint64_t)n;
    c->key = "key";
    c->prompt = prompt;
    c->prompt_tokens = FW_PROMPT_BYTES / 4;
    c->max_tokens = FW_PIECES;
    c->stream = 1;
    g_strlcpy(c->model, "m", sizeof(c->model));
    step(b, &ev);
}

static void
send_upstream_event(struct bench *b, int n, enum fw_up_phase phase,
                    int64_t index)
{
    struct fw_event ev = {.kind = FW_EV_UP};

    b->call = (uint64_t)n;
    ev.u.up.op = b->ops[n];
    ev.u.up.kind = b->kinds[n];
    ev.u.up.phase = phase;
    if (phase == FW_UP_TOKEN) {
        ev.u.up.u.token.index = index;
        ev.u.up.u.token.text = "word ";
    }
    else if (ev.u.up.kind == FW_UP_DECODE) {
        ev.u.up.u.end.tokens = FW_PIECES;
    }
    step(b, &ev);
}

static double
measure_lookup_ns(void)
{
    GHashTable *t = g_hash_table_new(g_int64_hash, g_int64_equal);
    static gint64 keys[FW_OPEN_REQUESTS];
    double t0;
    int64_t found = 0;

    for (gint64 i = 0; i < FW_OPEN_REQUESTS; i++) {
        keys[i] = i * 7919;
        g_hash_table_insert(t, &keys[i], &keys[i]);
    }
    t0 = now_s();
    for (int i = 0; i < FW_HASH_LOOKUPS; i++) {
        found += g_hash_table_lookup(t, &keys[i % FW_OPEN_REQUESTS]) != NULL;
    }
    t0 = now_s() - t0;
    g_hash_table_unref(t);
    return found == FW_HASH_LOOKUPS ? t0 / FW_HASH_LOOKUPS * 1e9 : 0;
}

static void
print_message(const char *name, const struct fw_request_msg *msg)
{
    msgpack_sbuffer buf;
    msgpack_packer pk;
    struct fw_msg whole = {.area = FW_AREA_REQUEST, .u.request = *msg};

    msgpack_sbuffer_init(&buf);
    msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
    Fw_Msg_Pack(&pk, &whole);
    printf("request_msg_%s_bytes %zu\n", name, buf.size);
    msgpack_sbuffer_destroy(&buf);
}

static void
print_messages(void)
{
    struct fw_request_msg lookup = {
        .kind = FW_REQUEST_LOOKUP,
        .u.lookup = {.ticket = 70000, .key = UINT64_MAX}};
    struct fw_request_msg owner = {
        .kind = FW_REQUEST_OWNER,
        .u.owner = {.ticket = 70000, .owner = "instance-123"}};
    struct fw_request_msg held = {
        .kind = FW_REQUEST_HELD,
        .u.ids = {.engine = "decode-1234", .boot = 1796255655000, .n = 20}};
    struct fw_request_msg strike = {
        .kind = FW_REQUEST_STRIKE,
        .u.strike = {.ticket = 70000, .fingerprint = UINT64_MAX}};

    for (int i = 0; i < 20; i++) {
        held.u.ids.seqs[i] = 100000;
    }
    print_message("lookup", &lookup);
    print_message("owner", &owner);
    print_message("held20", &held);
    print_message("strike", &strike);
}

int
main(void)
{
    struct bench b;
    char *text = g_strnfill(FW_PROMPT_BYTES, 'x');
    GBytes *prompt = g_bytes_new_take(text, FW_PROMPT_BYTES);
    size_t before;
    double t0;
    double open_s;
    double piece_s;

    init(&b);
    before = heap_bytes();
    t0 = now_s();
    for (int n = 1; n <= FW_OPEN_REQUESTS; n++) {
        open_call(&b, n, prompt);
        send_upstream_event(&b, n, FW_UP_DONE, 0);
        send_upstream_event(&b, n, FW_UP_DONE, 0);
    }
    open_s = now_s() - t0;
    printf("request_state_bytes %zu\n",
           (heap_bytes() - before) / FW_OPEN_REQUESTS);
    t0 = now_s();
    for (int i = 0; i < FW_PIECES; i++) {
        for (int n = 1; n <= FW_OPEN_REQUESTS; n++) {
            send_upstream_event(&b, n, FW_UP_TOKEN, i);
        }
    }
    piece_s = now_s() - t0;
    printf("request_state_with_%d_pieces_bytes %zu\n", FW_PIECES,
           (heap_bytes() - before) / FW_OPEN_REQUESTS);
    t0 = now_s();
    for (int n = 1; n <= FW_OPEN_REQUESTS; n++) {
        send_upstream_event(&b, n, FW_UP_DONE, 0);
    }
    printf("request_open_to_decode_ns %.0f\n",
           open_s / FW_OPEN_REQUESTS * 1e9);
    printf("request_piece_ns %.0f\n",
           piece_s / FW_OPEN_REQUESTS / FW_PIECES * 1e9);
    printf("request_end_ns %.0f\n", (now_s() - t0) / FW_OPEN_REQUESTS * 1e9);
    printf("hash_lookup_ns %.1f\n", measure_lookup_ns());
    print_messages();
    Fw_Node_Free(b.node);
    g_bytes_unref(prompt);
    Fw_MemLog_Fini(&b.log);
    return 0;
}
