/* An instance that answers the operators' command without end. */
#include <string.h>

#include "ctl/ctl.h"
#include "tests/base/suite.h"
#include "tests/io/rig.h"

/* More than the command and the kernel's buffers may take. */
#define FW_MOST_BYTES ((size_t)200 * 1024 * 1024)
#define FW_PART_BYTES (1024 * 1024)

/* Answers one call until it is closed. Return: bytes sent. */
static gpointer
answer_endlessly(gpointer data)
{
    static const char head[] = "HTTP/1.1 200 OK\r\n\r\n";
    GSocket *listener = data;
    GSocket *sock = g_socket_accept(listener, NULL, NULL);
    g_autofree char *part = g_malloc0(FW_PART_BYTES);
    size_t sent = 0;
    gssize n = g_socket_receive(sock, part, FW_PART_BYTES, NULL, NULL);

    g_socket_send(sock, head, strlen(head), NULL, NULL);
    while (n > 0 && sent < FW_MOST_BYTES) {
        n = g_socket_send(sock, part, FW_PART_BYTES, NULL, NULL);
        sent += n > 0 ? (size_t)n : 0;
    }
    g_socket_close(sock, NULL);
    g_object_unref(sock);
    return GSIZE_TO_POINTER(sent);
}

static GSocket *
listen_anywhere(char url[FW_URL_MAX])
{
    GSocket *s = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                              G_SOCKET_PROTOCOL_TCP, NULL);
    GInetAddress *ip = g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
    GSocketAddress *at = g_inet_socket_address_new(ip, 0);

    ck_assert(g_socket_bind(s, at, TRUE, NULL));
    ck_assert(g_socket_listen(s, NULL));
    g_object_unref(at);
    g_object_unref(ip);
    at = g_socket_get_local_address(s, NULL);
    g_snprintf(url, FW_URL_MAX, "http://127.0.0.1:%d",
               g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(at)));
    g_object_unref(at);
    return s;
}

/* Guards against a command that uses up the operator's memory. */
START_TEST(an_answer_without_end_is_given_up)
{
    struct fw_ctl ctl = {0};
    struct fw_response resp;
    char url[FW_URL_MAX];
    GSocket *s = listen_anywhere(url);
    GThread *t = g_thread_new("answer", answer_endlessly, s);

    Fw_Ctl_Call(&ctl, url, "GET", "/x", NULL, 0, &resp);
    ck_assert_int_ne(resp.err, 0);
    ck_assert_int_eq(resp.maybe_sent, 1);
    ck_assert_uint_lt(GPOINTER_TO_SIZE(g_thread_join(t)), FW_MOST_BYTES);
    Fw_Response_Clear(&resp);
    g_clear_object(&ctl.session);
    g_object_unref(s);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("endless answer");

    tcase_set_timeout(tc, 60);
    tcase_add_test(tc, an_answer_without_end_is_given_up);
    return Fw_Suite_Run(tc);
}
