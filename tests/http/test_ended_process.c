/*
 * Processes that end while they send a response. Its end is that of the
 * connection, as for callers who speak HTTP/1.0.
 */
#include <gio/gio.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "http/server.h"
#include "tests/base/suite.h"

#define FW_RESPONSE_PART "data: a\n\n"
/* Time for the caller to receive what was sent before the process ends. */
#define FW_LIFE_MS 100

/** enum ending - how the process of the server ends. */
enum ending {
    FW_KILLED,
    FW_EXITS,
    FW_CLOSES,       /* closes its connections first, as at a planned stop */
    FW_KILLED_LATER, /* after the whole response */
    FW_CLOSES_LATER, /* the same, then closes its connections */
    FW_ENDINGS,
};

/** struct fixture - the server, in a process of its own. */
struct fixture {
    enum ending ending;
    struct fw_http_server *server;
};

static gboolean
end_process(gpointer data)
{
    struct fixture *f = data;

    if (f->ending == FW_KILLED || f->ending == FW_KILLED_LATER) {
        raise(SIGKILL);
    }
    if (f->ending == FW_CLOSES || f->ending == FW_CLOSES_LATER) {
        Fw_Server_Free(f->server);
    }
    _exit(0);
}

static void
on_request(void *ctx, struct fw_http_caller *c, const struct fw_http_head *h,
           GBytes *body)
{
    struct fixture *f = ctx;

    (void)h;
    (void)body;
    Fw_Caller_Start(c, 200, "", -1);
    Fw_Caller_Data(c, FW_RESPONSE_PART, strlen(FW_RESPONSE_PART));
    if (f->ending >= FW_KILLED_LATER) {
        Fw_Caller_End(c);
    }
    g_timeout_add(FW_LIFE_MS, end_process, f);
}

static void
on_disconnected(void *ctx, struct fw_http_caller *c)
{
    (void)ctx;
    (void)c;
}

static G_NORETURN void
serve(void)
{
    for (;;) {
        g_main_context_iteration(NULL, TRUE);
    }
}

static GSocket *
send_request(int port)
{
    static const char request[] = "GET / HTTP/1.0\r\nHost: a.example\r\n\r\n";
    GSocket *sock = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                 G_SOCKET_PROTOCOL_TCP, NULL);
    GSocketAddress *to =
        g_inet_socket_address_new_from_string("127.0.0.1", (guint)port);

    ck_assert(g_socket_connect(sock, to, NULL, NULL));
    ck_assert_int_eq(g_socket_send(sock, request, strlen(request), NULL, NULL),
                     (int)strlen(request));
    g_object_unref(to);
    return sock;
}

/* Reads to the end. Return: nonzero if that is a reset of the connection. */
static int
is_reset(GSocket *sock, GString *received)
{
    GError *error = NULL;
    char part[512];
    gssize n;
    int reset;

    while ((n = g_socket_receive(sock, part, sizeof(part), NULL, &error)) >
           0) {
        g_string_append_len(received, part, n);
    }
    reset = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_CLOSED);
    ck_assert(n == 0 || reset);
    g_clear_error(&error);
    return reset;
}

/* Guards against callers who take the response of a dead process for whole. */
START_TEST(a_response_that_its_process_leaves_is_reset)
{
    static const struct fw_http_ops ops = {.request = on_request,
                                           .disconnected = on_disconnected};
    struct fixture f = {.ending = (enum ending)_i};
    GString *received = g_string_new(NULL);
    GSocket *sock;
    pid_t pid;
    int err;

    f.server = Fw_Server_New("127.0.0.1:0", &ops, &f, &err);
    ck_assert_ptr_nonnull(f.server);
    sock = send_request(Fw_Server_Port(f.server));
    pid = fork();
    if (pid == 0) {
        serve();
    }
    ck_assert_int_eq(is_reset(sock, received), f.ending < FW_KILLED_LATER);
    ck_assert_ptr_nonnull(strstr(received->str, FW_RESPONSE_PART));
    waitpid(pid, NULL, 0);
    g_object_unref(sock);
    g_string_free(received, TRUE);
    Fw_Server_Free(f.server);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("ended process");

    tcase_add_loop_test(tc, a_response_that_its_process_leaves_is_reset, 0,
                        FW_ENDINGS);
    return Fw_Suite_Run(tc);
}
