/*
 * The relay as a whole over real sockets, against stand-ins of the platform:
 * what callers get, what servers see, and what is left behind.
 */
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "tests/relayd/world.h"

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

    Fw_World_Open(&w);
    c = Fw_World_Ask(&w, "POST /outlook/%7eebb?q=%zz", FW_TOKENS);
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
    Fw_World_Close(&w);
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

    Fw_World_Open(&w);
    c = Fw_World_Ask(&w, "GET /read/x",
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
    Fw_World_Close(&w);
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

    Fw_World_Open(&w);
    Fw_WireServer_SetFault(w.s1, faults[_i].fault, 1);
    Fw_WireServer_SetFault(w.s2, faults[_i].fault, 1);
    /* One of the two does it; the other must not, as the second choice. */
    c = Fw_World_Ask(&w, faults[_i].line, "");
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
    Fw_World_Close(&w);
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

    Fw_World_Open(&w);
    Fw_WireServer_SetFault(w.d1, FW_WIRE_BREAK, 1);
    Fw_WireServer_SetFault(w.d2, FW_WIRE_BREAK, 1);
    c = Fw_World_Ask(&w, "POST /outlook/x", FW_TOKENS);
    Fw_RigConn_Expect(c, "piece 2");
    Fw_RigConn_ExpectEof(c);
    ck_assert_ptr_null(strstr(c->got->str, "piece 3"));
    ck_assert_ptr_null(strstr(c->got->str, "\r\n0\r\n"));
    Fw_Rig_Until(all_free, &w);
    Fw_RigConn_Close(c);
    Fw_World_Close(&w);
}
END_TEST

/* Callers who leave at each stage: engines must not go on for nobody. */
START_TEST(a_caller_who_leaves_a_stream_frees_the_engines)
{
    static const char *const until[] = {"", "piece 1"};
    struct world w;
    struct rig_conn *c;

    Fw_World_Open(&w);
    c = Fw_World_Ask(&w, "POST /outlook/x", FW_TOKENS);
    while (!Fw_WireServer_Active(w.p1)) {
        g_main_context_iteration(NULL, TRUE);
    }
    Fw_RigConn_Expect(c, until[_i]);
    Fw_RigConn_Close(c);
    Fw_Rig_Until(all_free, &w);
    Fw_World_Close(&w);
}
END_TEST

static int
is_refused(void *ctx)
{
    struct world *w = ctx;
    struct rig_conn *c = Fw_World_Ask(w, "GET /read/x", "");
    int refused;

    Fw_RigConn_Expect(c, "HTTP/1.1 ");
    refused = strstr(c->got->str, " 401 ") || strstr(c->got->str, " 503 ");
    Fw_RigConn_Close(c);
    return refused;
}

START_TEST(a_withdrawn_key_stops_working_at_once)
{
    struct world w;

    Fw_World_Open(&w);
    ck_assert(!is_refused(&w));
    Fw_World_Configure(&w, 2, "\"k2\"");
    Fw_Rig_Until(is_refused, &w);
    Fw_World_Close(&w);
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

    Fw_World_Open(&w);
    Fw_WireStore_SetMode(w.store, modes[_i]);
    ck_assert(!is_refused(&w));
    Fw_Rig_Until(is_refused, &w);
    ck_assert(!Fw_World_IsReady(&w));
    c = Fw_World_Ask(&w, "GET /public/x", "");
    Fw_RigConn_Expect(c, "Connection: close");
    Fw_RigConn_Expect(c, "the answer");
    Fw_RigConn_Close(c);
    if (_i == 2) {
        Fw_WireStore_Forget(w.store, "keyed.op");
        Fw_WireStore_Forget(w.store, "keyed.servers");
    }
    Fw_WireStore_SetMode(w.store, FW_WIRE_STORE_WELL);
    Fw_Rig_Until(Fw_World_IsReady, &w);
    ck_assert(!is_refused(&w));
    Fw_World_Close(&w);
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

    Fw_World_Make(&w);
    Fw_WireStore_SetMode(w.store, FW_WIRE_STORE_LOSING);
    Fw_World_Start(&w);
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
    Fw_World_Close(&w);
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

    Fw_World_Open(&w);
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        Fw_WireStore_Put(w.store, "keyed.servers", "i-bad", bad[i]);
    }
    Fw_WireStore_Put(w.store, "keyed.op", "config", "{\"Version\":\"x\"}");
    Fw_WireStore_Put(w.store, "keyed.op", "other", "x");
    Fw_Rig_Settle();
    for (int i = 0; i < 8; i++) {
        ck_assert(!is_refused(&w));
    }
    Fw_World_Close(&w);
}
END_TEST

START_TEST(a_draining_server_gets_nothing_new)
{
    struct world w;
    int before;

    Fw_World_Open(&w);
    Fw_WireServer_SetDraining(w.s1);
    while (Fw_Relayd_IsServerUsable(w.relay, "s1")) {
        g_main_context_iteration(NULL, TRUE);
    }
    before = Fw_WireServer_Runs(w.s1);
    for (int i = 0; i < 8; i++) {
        ck_assert(!is_refused(&w));
    }
    ck_assert_int_eq(Fw_WireServer_Runs(w.s1), before);
    Fw_World_Close(&w);
}
END_TEST

static int
is_over(void *ctx)
{
    return Fw_Relayd_IsStopped(((struct world *)ctx)->relay);
}

/*
 * The instance is told to stop while a stream runs. The stream must end
 * whole, and the balancer must see that no new requests are wanted.
 */
START_TEST(a_stop_lets_a_running_stream_end)
{
    struct world w;
    struct rig_conn *c;

    Fw_World_Open(&w);
    c = Fw_World_Ask(&w, "POST /outlook/x", FW_TOKENS);
    Fw_RigConn_Expect(c, "piece 1");
    Fw_Relayd_Drain(w.relay);
    ck_assert(!Fw_World_IsReady(&w));
    Fw_RigConn_Expect(c, "\r\n0\r\n\r\n");
    Fw_Rig_Until(is_over, &w);
    Fw_RigConn_Close(c);
    Fw_World_Close(&w);
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
    Fw_World_Open(&w);
    Fw_Note_SetupBounded("n1", fds[1], 4096);
    for (int i = 0; i < 600; i++) {
        ck_assert(!is_refused(&w));
    }
    ck_assert_int_gt(Fw_Note_Dropped(), 0);
    Fw_Note_SetupBounded("n1", w.null, 65536);
    Fw_World_Close(&w);
    close(fds[0]);
    close(fds[1]);
}
END_TEST

/** struct log_end - what was read of the log. */
struct log_end {
    int fd;
    size_t len;
    char text[65536];
};

static int
was_told(void *ctx)
{
    struct log_end *e = ctx;
    ssize_t n = read(e->fd, e->text + e->len, sizeof(e->text) - 1 - e->len);

    e->len += n > 0 ? (size_t)n : 0;
    return strstr(e->text, "\"digest_unsent\"") != NULL;
}

/*
 * Another instance has written an address that leads nowhere, or a digest is
 * larger than a datagram may be. Allowances are shared out wrongly then; the
 * log must name whom digests don't reach.
 */
START_TEST(a_digest_that_cannot_be_sent_is_told)
{
    struct log_end e = {0};
    struct world w;
    int fds[2];

    ck_assert_int_eq(pipe(fds), 0);
    ck_assert_int_eq(fcntl(fds[0], F_SETFL, O_NONBLOCK), 0);
    Fw_World_Make(&w);
    w.opts.relay.digest_every_us = 20 * FW_MSEC;
    Fw_World_Start(&w);
    Fw_Note_SetupBounded("n1", fds[1], 65536);
    e.fd = fds[0];
    Fw_WireStore_Put(w.store, "keyed.fuchsiaward", "n9",
                     "{\"addr\":\"nowhere\",\"boot\":1}");
    Fw_Rig_Until(was_told, &e);
    ck_assert_ptr_nonnull(strstr(e.text, "nowhere"));
    Fw_Note_SetupBounded("n1", w.null, 65536);
    Fw_World_Close(&w);
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
    tcase_add_test(tc, a_digest_that_cannot_be_sent_is_told);
    tcase_add_test(tc, a_log_that_nobody_reads_blocks_no_request);
    return Fw_Suite_Run(tc);
}
