/* The main loop: timers, signals and graceful shutdown. */
#include <check.h>
#include <signal.h>
#include <string.h>

#include "tests/base/suite.h"
#include "tests/io/rig.h"

static int may_exit;

/* Keeps a stream open while draining, until may_exit is set. */
static void
drain_then_exit(struct rig_core *core, const struct fw_event *ev,
                struct fw_actions *out)
{
    if (ev->kind == FW_EV_CALL_OPEN) {
        Fw_Actions_Add(out, FW_ACT_CALL_START)->u.start.call = core->last_call;
    }
    else if (ev->kind == FW_EV_DRAIN) {
        core->is_ready = 0;
        Fw_Actions_Wake(out, 1); /* in the next iteration of the main loop */
    }
    else if (ev->kind == FW_EV_TICK && !core->is_ready && !may_exit) {
        Fw_Actions_Wake(out, g_get_monotonic_time() + FW_MSEC);
    }
    else if (ev->kind == FW_EV_TICK && !core->is_ready) {
        struct fw_call_token *p =
            &Fw_Actions_Add(out, FW_ACT_CALL_TOKEN)->u.piece;
        struct fw_call_end *e;

        p->call = core->last_call;
        p->text = g_strdup("low water");
        e = &Fw_Actions_Add(out, FW_ACT_CALL_END)->u.end;
        e->call = core->last_call;
        g_strlcpy(e->reason, "stop", sizeof(e->reason));
        Fw_Actions_Add(out, FW_ACT_EXIT);
    }
}

static int
has_stopped(void *ctx)
{
    return Fw_Shell_HasStopped(ctx);
}

static void
answer_platform(struct rig *rig, guint i, const char *want)
{
    struct rig_conn *c = Fw_RigServer_Conn(rig->platform, i);

    Fw_RigConn_Expect(c, want);
    Fw_RigConn_Send(c,
                    "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                    "Content-Length: 2\r\n\r\n{}",
                    -1);
}

/*
 * After SIGTERM, also when repeated, a running stream must be completed, the
 * registry updated and the main loop left.
 */
START_TEST(shutdown_completes_running_streams)
{
    struct rig rig;
    struct rig_conn *c;

    Fw_Rig_Init(&rig);
    rig.core.react = drain_then_exit;
    Fw_Rig_Start(&rig);
    answer_platform(&rig, 0, "\"leaving\":false}");
    c = Fw_RigConn_Open(Fw_Shell_CallersUrl(rig.shell));
    Fw_RigConn_Send(c,
                    "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                    "Content-Length: 44\r\n\r\n"
                    "{\"model\":\"tides\",\"prompt\":\"x\",\"stream\":true}",
                    -1);
    Fw_RigConn_Expect(c, "text/event-stream");
    raise(SIGTERM);
    raise(SIGTERM);
    Fw_Rig_ExpectEvent(&rig.core, "drain\n");
    answer_platform(&rig, 1, "\"leaving\":true}");
    may_exit = 1;
    Fw_RigConn_Expect(c, "data: [DONE]\n\n");
    ck_assert_ptr_nonnull(strstr(c->received->str, "low water"));
    answer_platform(&rig, 2, "DELETE /list/one");
    Fw_Rig_RunUntil(has_stopped, rig.shell);
    ck_assert_ptr_eq(strstr(rig.core.events->str, "drain"),
                     g_strrstr(rig.core.events->str, "drain"));
    Fw_RigConn_Close(c);
    Fw_Rig_Stop(&rig);
}
END_TEST

/* Guards against a shutdown that hangs while the registry is unreachable. */
START_TEST(shutdown_does_not_need_the_registry)
{
    struct rig rig;

    Fw_Rig_Init(&rig);
    rig.core.react = drain_then_exit;
    Fw_Rig_Start(&rig);
    g_socket_service_stop(rig.platform->service);
    g_socket_listener_close(G_SOCKET_LISTENER(rig.platform->service));
    may_exit = 1;
    raise(SIGINT);
    Fw_Rig_RunUntil(has_stopped, rig.shell);
    Fw_Rig_Stop(&rig);
}
END_TEST

static int ticks;

static void
count_ticks(struct rig_core *core, const struct fw_event *ev,
            struct fw_actions *out)
{
    (void)core;
    if (ev->kind == FW_EV_TICK && ++ticks < 5) {
        Fw_Actions_Wake(out, g_get_monotonic_time() + FW_MSEC);
        Fw_Actions_Wake(out, g_get_monotonic_time() + 100 * FW_SEC);
    }
}

static int
has_ticked(void *ctx)
{
    return *(int *)ctx >= 5;
}

START_TEST(earliest_wakeup_is_used)
{
    struct rig rig;

    ticks = 0;
    Fw_Rig_Init(&rig);
    rig.core.react = count_ticks;
    Fw_Rig_Start(&rig);
    Fw_Rig_RunUntil(has_ticked, &ticks);
    Fw_Rig_Stop(&rig);
}
END_TEST

START_TEST(port_in_use_is_reported)
{
    struct rig rig;
    struct fw_core core = {0};
    int err = 0;

    Fw_Rig_Init(&rig);
    g_strlcpy(rig.opts.peers, rig.platform->url + strlen("http://"),
              FW_URL_MAX);
    ck_assert_ptr_null(Fw_Shell_New(&rig.opts, &rig.self, &err));
    ck_assert_int_eq(err, -EADDRINUSE);
    g_strlcpy(rig.opts.callers, rig.opts.peers, FW_URL_MAX);
    g_strlcpy(rig.opts.peers, "127.0.0.1:0", FW_URL_MAX);
    core.metrics = &rig.core.metrics;
    rig.shell = Fw_Shell_New(&rig.opts, &rig.self, &err);
    ck_assert_int_eq(Fw_Shell_Start(rig.shell, &core), -EADDRINUSE);
    Fw_Rig_Stop(&rig);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("shell");

    tcase_set_timeout(tc, 60);
    tcase_add_test(tc, shutdown_completes_running_streams);
    tcase_add_test(tc, shutdown_does_not_need_the_registry);
    tcase_add_test(tc, earliest_wakeup_is_used);
    tcase_add_test(tc, port_in_use_is_reported);
    return Fw_Suite_Run(tc);
}
