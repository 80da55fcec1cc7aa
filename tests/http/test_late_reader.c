/* Callers that read an answer late, over real sockets. */
#include <string.h>

#include "http/conn.h"
#include "http/server.h"
#include "tests/base/suite.h"
#include "tests/io/rig.h"

/* More than both kernels buffer. */
#define FW_BODY_BYTES (16 * 1024 * 1024)
/* Longer than the user timeout of connections to upstreams. */
#define FW_PAUSE_US (4 * FW_SEC)

static void
on_request(void *ctx, struct fw_http_caller *c, const struct fw_http_head *h,
           GBytes *body)
{
    char *data = g_malloc0(FW_BODY_BYTES);

    (void)ctx;
    (void)h;
    (void)body;
    Fw_Caller_Start(c, 200, "", FW_BODY_BYTES);
    Fw_Caller_Data(c, data, FW_BODY_BYTES);
    Fw_Caller_End(c);
    g_free(data);
}

static void
on_rejected(void *ctx, int status, const char *why)
{
    (void)ctx;
    ck_abort_msg("%d %s", status, why);
}

static const struct fw_http_ops ops = {.request = on_request,
                                       .rejected = on_rejected};

static int
is_time_over(void *ctx)
{
    return Fw_Conn_NowUs() >= *(int64_t *)ctx;
}

/* Wakes up the loop, which has nothing else to wait for. */
static gboolean
on_timer(gpointer data)
{
    (void)data;
    return G_SOURCE_CONTINUE;
}

/** struct late_reader - @n: bytes read; @eof: the connection has ended. */
struct late_reader {
    GSocket *sock;
    size_t n;
    int eof;
};

static int
read_some(void *ctx)
{
    struct late_reader *r = ctx;
    static char buf[65536];
    gssize n = g_socket_receive(r->sock, buf, sizeof(buf), NULL, NULL);

    r->n += n > 0 ? (size_t)n : 0;
    r->eof = n == 0 ||
             (n < 0 && !(g_socket_condition_check(r->sock, G_IO_ERR) == 0));
    return r->eof || r->n >= FW_BODY_BYTES;
}

/* Guards against an answer that is cut although its caller still reads it. */
START_TEST(a_caller_that_reads_late_gets_the_whole_answer)
{
    int err = 0;
    struct fw_http_server *server =
        Fw_Server_New("127.0.0.1:0", &ops, NULL, &err);
    int64_t resume_us = Fw_Conn_NowUs() + FW_PAUSE_US;
    guint timer = g_timeout_add(1, on_timer, NULL);
    struct late_reader reader = {0};
    struct rig_conn *c;
    char addr[FW_URL_MAX];

    ck_assert_ptr_nonnull(server);
    g_snprintf(addr, sizeof(addr), "127.0.0.1:%d", Fw_Server_Port(server));
    c = Fw_RigConn_Open(addr);
    Fw_RigConn_Send(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", -1);
    Fw_RigConn_StopReading(c);
    Fw_Rig_RunUntil(is_time_over, &resume_us);
    reader.sock = c->sock;
    g_socket_set_blocking(c->sock, FALSE);
    Fw_Rig_RunUntil(read_some, &reader);
    ck_assert_msg(reader.n >= FW_BODY_BYTES, "%zu of %d bytes", reader.n,
                  FW_BODY_BYTES);
    g_source_remove(timer);
    Fw_RigConn_Close(c);
    Fw_Server_Free(server);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("late reader");

    tcase_set_timeout(tc, 30);
    tcase_add_test(tc, a_caller_that_reads_late_gets_the_whole_answer);
    return Fw_Suite_Run(tc);
}
