/* Upstreams that end the connection while a request is being sent. */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "http/client.h"
#include "http/conn.h"
#include "tests/base/suite.h"
#include "tests/io/rig.h"

#define FW_PART "HTTP/1.1 200 OK\r\n\r\na part"
/* More than the kernel holds for an upstream that reads nothing. */
#define FW_UPLOAD_BYTES (16 << 20)

/** struct outcome - what a connection, or an exchange, has reported. */
struct outcome {
    GString *data;
    int is_over;
    int err;
};

static int
is_over(void *ctx)
{
    return ((struct outcome *)ctx)->is_over;
}

static void
on_conn_data(void *ctx)
{
    (void)ctx;
}

static void
on_conn_closed(void *ctx, int err)
{
    struct outcome *o = ctx;

    o->is_over = 1;
    o->err = err;
}

static const struct fw_conn_ops conn_ops = {.data = on_conn_data,
                                            .closed = on_conn_closed};

static int
is_connected(void *ctx)
{
    return Fw_Conn_Connected(ctx);
}

static void
reset(struct rig_conn *c)
{
    struct linger l = {.l_onoff = 1};

    setsockopt(g_socket_get_fd(c->sock), SOL_SOCKET, SO_LINGER, &l, sizeof(l));
    g_socket_close(c->sock, NULL);
}

/* Guards against a part of a response that counts as whole after a reset. */
START_TEST(a_reset_that_a_send_has_met_is_reported)
{
    struct rig_server *s = Fw_RigServer_New();
    struct outcome o = {0};
    int err;
    struct fw_conn *c =
        Fw_Conn_Open(s->url + strlen("http://"), &conn_ops, &o, &err);
    struct rig_conn *up;
    size_t len;

    ck_assert_ptr_nonnull(c);
    Fw_Rig_RunUntil(is_connected, c);
    up = Fw_RigServer_Conn(s, 0);
    Fw_RigConn_Send(up, FW_PART, -1);
    reset(up);
    Fw_Conn_Write(c, "a", 1);
    Fw_Rig_RunUntil(is_over, &o);
    Fw_Conn_Received(c, &len);
    ck_assert_uint_eq(len, strlen(FW_PART));
    ck_assert_int_eq(o.err, -ECONNRESET);
    Fw_Conn_Free(c, 0);
    Fw_RigServer_Free(s);
}
END_TEST

static enum fw_head_action
on_head(void *ctx, const struct fw_http_head *h)
{
    (void)ctx;
    (void)h;
    return FW_HEAD_ACCEPT;
}

static void
on_body(void *ctx, const char *data, size_t len)
{
    g_string_append_len(((struct outcome *)ctx)->data, data, (gssize)len);
}

static void
on_end(void *ctx)
{
    ((struct outcome *)ctx)->is_over = 1;
}

static void
on_fail(void *ctx, int err, enum fw_sent sent)
{
    (void)sent;
    on_conn_closed(ctx, err);
}

static const struct fw_exchange_ops exchange_ops = {
    .head = on_head, .body = on_body, .end = on_end, .fail = on_fail};

/* Sends an upload to @s, which reads none of it. */
static void
start_upload(struct fw_conn_pool *p, struct rig_server *s, struct outcome *o)
{
    struct fw_exchange_opts opts = {.connect_timeout_us = FW_SEC};
    g_autofree char *bytes = g_malloc0(FW_UPLOAD_BYTES);
    GString *head = g_string_new(NULL);
    GBytes *body = g_bytes_new(bytes, FW_UPLOAD_BYTES);
    int err;

    *o = (struct outcome){.data = g_string_new(NULL)};
    g_string_printf(
        head, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n",
        FW_UPLOAD_BYTES);
    ck_assert_ptr_nonnull(Fw_Exchange_Start(p, s->url + strlen("http://"),
                                            head, body, &opts, &exchange_ops,
                                            o, &err));
    Fw_RigConn_StopReading(Fw_RigServer_Conn(s, 0));
    g_bytes_unref(body);
    g_string_free(head, TRUE);
}

/* Guards against a part that counts as whole as its upstream just closes. */
START_TEST(a_close_before_the_request_was_sent_ends_no_response)
{
    struct fw_conn_pool *p = Fw_ConnPool_New();
    struct rig_server *s = Fw_RigServer_New();
    struct outcome o;

    start_upload(p, s, &o);
    Fw_RigConn_Send(Fw_RigServer_Conn(s, 0), FW_PART, -1);
    g_socket_shutdown(Fw_RigServer_Conn(s, 0)->sock, FALSE, TRUE, NULL);
    Fw_Rig_RunUntil(is_over, &o);
    ck_assert_int_eq(o.err, -EPIPE);
    g_string_free(o.data, TRUE);
    Fw_ConnPool_Free(p);
    Fw_RigServer_Free(s);
}
END_TEST

/* Guards against the loss of an answer that came early and has a length. */
START_TEST(an_early_response_with_a_length_is_whole)
{
    struct fw_conn_pool *p = Fw_ConnPool_New();
    struct rig_server *s = Fw_RigServer_New();
    struct outcome o;

    start_upload(p, s, &o);
    Fw_RigConn_Send(Fw_RigServer_Conn(s, 0),
                    "HTTP/1.1 413 Too large\r\nContent-Length: 2\r\n\r\nno",
                    -1);
    Fw_Rig_RunUntil(is_over, &o);
    ck_assert_int_eq(o.err, 0);
    ck_assert_str_eq(o.data->str, "no");
    g_string_free(o.data, TRUE);
    Fw_ConnPool_Free(p);
    Fw_RigServer_Free(s);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("broken uploads");

    tcase_add_test(tc, a_reset_that_a_send_has_met_is_reported);
    tcase_add_test(tc, a_close_before_the_request_was_sent_ends_no_response);
    tcase_add_test(tc, an_early_response_with_a_length_is_whole);
    return Fw_Suite_Run(tc);
}
