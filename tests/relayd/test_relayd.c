/*
 * The relay as a whole over real sockets, against stand-ins of the platform:
 * what callers get, what servers see, and what is left behind.
 */
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "io/note.h"
#include "relayd/relayd.h"
#include "stand/wire/wire.h"
#include "tests/base/suite.h"
#include "tests/io/rig.h"

#define FW_KEYS "\"k1\",\"k2\""

/** struct world - a relay and its platform. */
struct world {
    struct fw_wire_store *store;
    struct fw_wire_server *p1;
    struct fw_wire_server *d1;
    struct fw_wire_server *d2;
    struct fw_wire_server *s1;
    struct fw_wire_server *s2;
    struct fw_relayd_opts opts;
    struct fw_relayd *relay;
    char callers[FW_URL_MAX];
    int null;
};

static const struct fw_wire_opts servers[] = {
    {"p1", "llm", "a", "prefill", 8, 40000, 5, 500, 400},
    {"d1", "llm", "a", "decode", 8, 40000, 5, 500, 400},
    {"d2", "llm", "b", "decode", 8, 40000, 5, 500, 400},
    {"s1", "desk", "a", "", 4, 0, 0, 1, 0},
    {"s2", "desk", "b", "", 4, 0, 0, 1, 0},
};

static void
configure(struct world *w, int version, const char *keys)
{
    char *config = Fw_Wire_Config(version, keys);

    Fw_WireStore_Put(w->store, "keyed.op", "config", config);
    g_free(config);
}

static void
set_opts(struct world *w)
{
    struct fw_relayd_opts *o = &w->opts;

    *o = (struct fw_relayd_opts){.callers = "127.0.0.1:0",
                                 .ready = "127.0.0.1:0",
                                 .ready_path = "/readyz",
                                 .metrics = "127.0.0.1:0",
                                 .peers = "127.0.0.1:0",
                                 .rules_wait_us = 200 * FW_MSEC,
                                 .servers_every_us = 20 * FW_MSEC,
                                 .digest_every_us = FW_SEC,
                                 .log_bytes = 65536};
    o->relay = (struct fw_relay_opts){.name = "n1",
                                      .domain = "a",
                                      .boot = 1,
                                      .seed = 7,
                                      .retry_ratio_ppm = 200000,
                                      .retry_extra = 50,
                                      .retry_window_us = 10 * FW_SEC,
                                      .key_stale_us = 2 * FW_SEC,
                                      .queue_us = 500 * FW_MSEC,
                                      .read_here_us = 600 * FW_MSEC,
                                      .reserve_permille = 1000,
                                      .prefill_permille = 50,
                                      .lease_us = 3 * FW_SEC,
                                      .grace_us = 8 * FW_SEC,
                                      .log_level = 7};
    g_snprintf(o->store, sizeof(o->store), "127.0.0.1:%d",
               Fw_WireStore_Port(w->store));
}

static int
is_ready(void *ctx)
{
    return Fw_Relayd_Ready(((struct world *)ctx)->relay);
}

static void
start_relay(struct world *w)
{
    int err = 0;

    w->relay = Fw_Relayd_New(&w->opts, NULL, &err);
    ck_assert_ptr_nonnull(w->relay);
    g_snprintf(w->callers, sizeof(w->callers), "127.0.0.1:%d",
               Fw_Relayd_CallersPort(w->relay));
    Fw_Rig_Until(is_ready, w);
}

static void
world_make(struct world *w)
{
    *w = (struct world){0};
    w->null = open("/dev/null", O_WRONLY);
    Fw_Note_SetupBounded("n1", w->null, 65536);
    w->store = Fw_WireStore_New("127.0.0.1:0");
    w->p1 = Fw_WireServer_New(w->store, "127.0.0.1:0", &servers[0]);
    w->d1 = Fw_WireServer_New(w->store, "127.0.0.1:0", &servers[1]);
    w->d2 = Fw_WireServer_New(w->store, "127.0.0.1:0", &servers[2]);
    w->s1 = Fw_WireServer_New(w->store, "127.0.0.1:0", &servers[3]);
    w->s2 = Fw_WireServer_New(w->store, "127.0.0.1:0", &servers[4]);
    configure(w, 1, FW_KEYS);
    set_opts(w);
}

static void
world_open(struct world *w)
{
    world_make(w);
    start_relay(w);
}

static void
world_close(struct world *w)
{
    Fw_Relayd_Free(w->relay);
    Fw_WireServer_Free(w->p1);
    Fw_WireServer_Free(w->d1);
    Fw_WireServer_Free(w->d2);
    Fw_WireServer_Free(w->s1);
    Fw_WireServer_Free(w->s2);
    Fw_WireStore_Free(w->store);
    close(w->null);
}

static struct rig_conn *
ask(struct world *w, const char *line, const char *fields)
{
    struct rig_conn *c = Fw_RigConn_Open(w->callers);
    char *text = g_strdup_printf("%s HTTP/1.1\r\nHost: demo.example\r\n"
                                 "Authorization: Bearer k1\r\n"
                                 "Request-Id: r1\r\n%s\r\n",
                                 line, fields);

    Fw_RigConn_Send(c, text, -1);
    g_free(text);
    return c;
}

#define FW_TOKENS "Token-Counts: 5000,720\r\nModel: m\r\n"

static int
all_free(void *ctx)
{
    struct world *w = ctx;

    return !Fw_WireServer_Held(w->d1) && !Fw_WireServer_Held(w->d2) &&
           !Fw_WireServer_Handles(w->p1) && !Fw_WireServer_Active(w->d1) &&
           !Fw_WireServer_Active(w->d2) && !Fw_WireServer_Active(w->p1);
}

START_TEST(a_stream_goes_through_prefill_and_decode)
{
    struct world w;
    struct rig_conn *c;

    world_open(&w);
    c = ask(&w, "POST /outlook/%7eebb?q=%zz", FW_TOKENS);
    Fw_RigConn_Expect(c, "HTTP/1.1 200 OK");
    Fw_RigConn_Expect(c, "id: 9\ndata: piece 9\n\n");
    Fw_RigConn_Expect(c, "\r\n0\r\n\r\n");
    ck_assert_ptr_nonnull(strstr(c->got->str, "Server-Stamp: d"));
    ck_assert_int_eq(Fw_WireServer_Runs(w.p1), 1);
    ck_assert_ptr_nonnull(strstr(Fw_WireServer_LastHead(w.p1),
                                 "POST /outlook/%7eebb?q=%zz HTTP/1.1\r\n"));
    ck_assert_ptr_nonnull(
        strstr(Fw_WireServer_LastHead(w.p1), "Tenant: skippers\r\n"));
    ck_assert_ptr_null(strstr(Fw_WireServer_LastHead(w.p1), "Bearer"));
    ck_assert_ptr_nonnull(
        strstr(Fw_WireServer_LastHead(w.p1), "Request-Priority: 1\r\n"));
    Fw_Rig_Until(all_free, &w);
    Fw_RigConn_Close(c);
    world_close(&w);
}
END_TEST

/*
 * A caller sets fields that only the router may set, to run with another
 * team's name or take memory reserved for others.
 */
START_TEST(fields_of_the_routers_own_are_never_the_callers)
{
    struct world w;
    struct rig_conn *c;

    world_open(&w);
    c = ask(&w, "GET /read/x",
            "Tenant: others\r\nKv-Hold: h\r\nExpect-Instance: x\r\n"
            "Stage: prefill\r\nRequest-Priority: 0\r\nX-Mine: y\r\n"
            "Connection: X-Hop\r\nX-Hop: z\r\n");
    Fw_RigConn_Expect(c, "the answer");
    const char *seen =
        Fw_WireServer_LastHead(Fw_WireServer_Runs(w.s1) ? w.s1 : w.s2);
    ck_assert_ptr_nonnull(strstr(seen, "Tenant: skippers\r\n"));
    ck_assert_ptr_nonnull(strstr(seen, "X-Mine: y\r\n"));
    ck_assert_ptr_null(strstr(seen, "others"));
    ck_assert_ptr_null(strstr(seen, "Kv-Hold"));
    ck_assert_ptr_null(strstr(seen, "Stage: prefill"));
    ck_assert_ptr_null(strstr(seen, "X-Hop"));
    Fw_RigConn_Close(c);
    world_close(&w);
}
END_TEST

/* What servers do to a request, what its caller gets, and how often it ran. */
static const struct {
    const char *line;
    enum fw_wire_fault fault;
    const char *want;
    int runs;
} faults[] = {
    {"GET /read/x", FW_WIRE_OK, "HTTP/1.1 200 ", 1},
    {"GET /read/x", FW_WIRE_FULL, "HTTP/1.1 200 ", 1},
    {"GET /read/x", FW_WIRE_MOVED, "HTTP/1.1 200 ", 1},
    {"GET /read/x", FW_WIRE_FAIL, "HTTP/1.1 200 ", 2},
    {"GET /read/x", FW_WIRE_RESET, "HTTP/1.1 200 ", 2},
    {"GET /read/x", FW_WIRE_STALL, "HTTP/1.1 200 ", 2},
    {"POST /order/x", FW_WIRE_OK, "HTTP/1.1 200 ", 1},
    {"POST /order/x", FW_WIRE_FULL, "HTTP/1.1 200 ", 1},
    {"POST /order/x", FW_WIRE_MOVED, "HTTP/1.1 200 ", 1},
    {"POST /order/x", FW_WIRE_FAIL, "HTTP/1.1 500 ", 1},
    {"POST /order/x", FW_WIRE_RESET, "HTTP/1.1 502 ", 1},
};

START_TEST(a_plain_request_meets_a_faulty_server)
{
    struct world w;
    struct rig_conn *c;

    world_open(&w);
    Fw_WireServer_SetFault(w.s1, faults[_i].fault, 1);
    Fw_WireServer_SetFault(w.s2, faults[_i].fault, 1);
    /* One of the two does it; the other must not, as the second choice. */
    c = ask(&w, faults[_i].line, "");
    while (!Fw_WireServer_Faulted(w.s1) && !Fw_WireServer_Faulted(w.s2) &&
           faults[_i].fault != FW_WIRE_OK) {
        g_main_context_iteration(NULL, TRUE);
    }
    Fw_WireServer_SetFault(w.s1, FW_WIRE_OK, 0);
    Fw_WireServer_SetFault(w.s2, FW_WIRE_OK, 0);
    Fw_RigConn_Expect(c, faults[_i].want);
    ck_assert_int_eq(Fw_WireServer_Runs(w.s1) + Fw_WireServer_Runs(w.s2),
                     faults[_i].runs);
    Fw_RigConn_Close(c);
    world_close(&w);
}
END_TEST

/*
 * An engine is lost in the middle of a stream. What came must not look
 * whole, and nothing may stay held for it.
 */
START_TEST(a_stream_that_breaks_off_is_cut)
{
    struct world w;
    struct rig_conn *c;

    world_open(&w);
    Fw_WireServer_SetFault(w.d1, FW_WIRE_BREAK, 1);
    Fw_WireServer_SetFault(w.d2, FW_WIRE_BREAK, 1);
    c = ask(&w, "POST /outlook/x", FW_TOKENS);
    Fw_RigConn_Expect(c, "piece 2");
    Fw_RigConn_ExpectEof(c);
    ck_assert_ptr_null(strstr(c->got->str, "piece 3"));
    ck_assert_ptr_null(strstr(c->got->str, "\r\n0\r\n"));
    Fw_Rig_Until(all_free, &w);
    Fw_RigConn_Close(c);
    world_close(&w);
}
END_TEST

/* Callers who leave at each stage: engines must not go on for nobody. */
START_TEST(a_caller_who_leaves_a_stream_frees_the_engines)
{
    static const char *const until[] = {"", "piece 1"};
    struct world w;
    struct rig_conn *c;

    world_open(&w);
    c = ask(&w, "POST /outlook/x", FW_TOKENS);
    while (!Fw_WireServer_Active(w.p1)) {
        g_main_context_iteration(NULL, TRUE);
    }
    Fw_RigConn_Expect(c, until[_i]);
    Fw_RigConn_Close(c);
    Fw_Rig_Until(all_free, &w);
    world_close(&w);
}
END_TEST

static int
is_refused(void *ctx)
{
    struct world *w = ctx;
    struct rig_conn *c = ask(w, "GET /read/x", "");
    int refused;

    Fw_RigConn_Expect(c, "HTTP/1.1 ");
    refused = strstr(c->got->str, " 401 ") || strstr(c->got->str, " 503 ");
    Fw_RigConn_Close(c);
    return refused;
}

START_TEST(a_withdrawn_key_stops_working_at_once)
{
    struct world w;

    world_open(&w);
    ck_assert(!is_refused(&w));
    configure(&w, 2, "\"k2\"");
    Fw_Rig_Until(is_refused, &w);
    world_close(&w);
}
END_TEST

/*
 * The store goes away in one of three ways. Requests go on for a while;
 * then keys can no longer be trusted, and when the store is back all is as
 * it was.
 */
START_TEST(a_store_that_is_away_stops_keys_after_a_while_only)
{
    static const enum fw_wire_store_mode modes[] = {
        FW_WIRE_STORE_BUSY, FW_WIRE_STORE_SILENT, FW_WIRE_STORE_BUSY};
    struct rig_conn *c;
    struct world w;

    world_open(&w);
    Fw_WireStore_SetMode(w.store, modes[_i]);
    ck_assert(!is_refused(&w));
    Fw_Rig_Until(is_refused, &w);
    ck_assert(!is_ready(&w));
    c = ask(&w, "GET /public/x", "");
    Fw_RigConn_Expect(c, "the answer");
    Fw_RigConn_Close(c);
    if (_i == 2) {
        Fw_WireStore_Forget(w.store, "keyed.op");
        Fw_WireStore_Forget(w.store, "keyed.servers");
    }
    Fw_WireStore_SetMode(w.store, FW_WIRE_STORE_WELL);
    Fw_Rig_Until(is_ready, &w);
    ck_assert(!is_refused(&w));
    world_close(&w);
}
END_TEST

/*
 * The store does what it is asked and its answers are lost. The instance
 * can't know that its registration stands; it asks again until it does, and
 * what it reads meanwhile counts.
 */
START_TEST(a_store_that_loses_answers_delays_nothing_but_itself)
{
    struct world w;
    int before;

    world_make(&w);
    Fw_WireStore_SetMode(w.store, FW_WIRE_STORE_LOSING);
    start_relay(&w);
    ck_assert(!is_refused(&w));
    while (Fw_WireStore_Count(w.store, "keyed.fuchsiaward") < 2) {
        g_main_context_iteration(NULL, TRUE);
    }
    Fw_WireStore_SetMode(w.store, FW_WIRE_STORE_WELL);
    before = Fw_WireStore_Calls(w.store);
    while (Fw_WireStore_Calls(w.store) < before + 20) {
        g_main_context_iteration(NULL, TRUE);
    }
    ck_assert_int_le(Fw_WireStore_Count(w.store, "keyed.fuchsiaward"), 4);
    ck_assert(!is_refused(&w));
    world_close(&w);
}
END_TEST

/* Entries that can't be read name no server, and the others hold. */
START_TEST(bad_entries_in_the_store_change_nothing)
{
    static const char *const bad[] = {
        "not json",
        "{}",
        "[1]",
        "{\"Service\":\"desk\",\"Address\":\"127.0.0.1:1\",\"Zone\":\"a\","
        "\"Slots\":\"4\",\"State\":\"ready\"}",
        "{\"Service\":\"desk\",\"Address\":\"nowhere\",\"Zone\":\"a\","
        "\"Slots\":4,\"State\":\"ready\"}",
        "{\"Service\":\"desk\",\"Address\":\"127.0.0.1:1\",\"Zone\":\"a\","
        "\"Slots\":4,\"State\":\"dancing\"}",
    };
    struct world w;

    world_open(&w);
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        Fw_WireStore_Put(w.store, "keyed.servers", "i-bad", bad[i]);
    }
    Fw_WireStore_Put(w.store, "keyed.op", "config", "{\"Version\":\"x\"}");
    Fw_WireStore_Put(w.store, "keyed.op", "other", "x");
    Fw_Rig_Settle();
    for (int i = 0; i < 8; i++) {
        ck_assert(!is_refused(&w));
    }
    world_close(&w);
}
END_TEST

START_TEST(a_draining_server_gets_nothing_new)
{
    struct world w;
    int before;

    world_open(&w);
    Fw_WireServer_SetDraining(w.s1);
    while (Fw_Relayd_Usable(w.relay, "s1")) {
        g_main_context_iteration(NULL, TRUE);
    }
    before = Fw_WireServer_Runs(w.s1);
    for (int i = 0; i < 8; i++) {
        ck_assert(!is_refused(&w));
    }
    ck_assert_int_eq(Fw_WireServer_Runs(w.s1), before);
    world_close(&w);
}
END_TEST

static int
is_over(void *ctx)
{
    return Fw_Relayd_Over(((struct world *)ctx)->relay);
}

/*
 * The instance is told to stop while a stream runs. The stream must end
 * whole, and the balancer must see that no new requests are wanted.
 */
START_TEST(a_stop_lets_a_running_stream_end)
{
    struct world w;
    struct rig_conn *c;

    world_open(&w);
    c = ask(&w, "POST /outlook/x", FW_TOKENS);
    Fw_RigConn_Expect(c, "piece 1");
    Fw_Relayd_Drain(w.relay);
    ck_assert(!is_ready(&w));
    Fw_RigConn_Expect(c, "\r\n0\r\n\r\n");
    Fw_Rig_Until(is_over, &w);
    Fw_RigConn_Close(c);
    world_close(&w);
}
END_TEST

/*
 * The reader of the log stops reading. The process must not stop with it:
 * requests go on, lines are dropped and counted.
 */
START_TEST(a_log_that_nobody_reads_blocks_no_request)
{
    struct world w;
    int fds[2];

    ck_assert_int_eq(pipe(fds), 0);
    world_open(&w);
    Fw_Note_SetupBounded("n1", fds[1], 4096);
    for (int i = 0; i < 600; i++) {
        ck_assert(!is_refused(&w));
    }
    ck_assert_int_gt(Fw_Note_Dropped(), 0);
    Fw_Note_SetupBounded("n1", w.null, 65536);
    world_close(&w);
    close(fds[0]);
    close(fds[1]);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relayd");

    tcase_set_timeout(tc, 30);
    tcase_add_test(tc, a_stream_goes_through_prefill_and_decode);
    tcase_add_test(tc, fields_of_the_routers_own_are_never_the_callers);
    tcase_add_loop_test(tc, a_plain_request_meets_a_faulty_server, 0,
                        G_N_ELEMENTS(faults));
    tcase_add_test(tc, a_stream_that_breaks_off_is_cut);
    tcase_add_loop_test(tc, a_caller_who_leaves_a_stream_frees_the_engines, 0,
                        2);
    tcase_add_test(tc, a_withdrawn_key_stops_working_at_once);
    tcase_add_loop_test(tc, a_store_that_is_away_stops_keys_after_a_while_only,
                        0, 3);
    tcase_add_test(tc, a_store_that_loses_answers_delays_nothing_but_itself);
    tcase_add_test(tc, bad_entries_in_the_store_change_nothing);
    tcase_add_test(tc, a_draining_server_gets_nothing_new);
    tcase_add_test(tc, a_stop_lets_a_running_stream_end);
    tcase_add_test(tc, a_log_that_nobody_reads_blocks_no_request);
    return Fw_Suite_Run(tc);
}
