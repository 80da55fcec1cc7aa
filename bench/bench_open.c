/*
 * Measures the shell's heap per open call, including the connection. The
 * core is a stub that never answers.
 */
#include <malloc.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "io/addr.h"
#include "io/logger.h"
#include "io/shell.h"

#define FW_OPEN_CALLS 1000

static void
die(const char *what)
{
    fprintf(stderr, "bench_open: %s\n", what);
    exit(1);
}

/* Leaves the connection open. */
static void
send_request(const char *url)
{
    static const char text[] = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                               "Content-Length: 30\r\n\r\n"
                               "{\"model\":\"tides\",\"prompt\":\"x\"}";
    GSocketAddress *at = Fw_Addr_Parse(url + strlen("http://"));
    struct sockaddr_storage sa;
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    g_socket_address_to_native(at, &sa, sizeof(sa), NULL);
    g_object_unref(at);
    if (connect(fd, (struct sockaddr *)&sa, sizeof(struct sockaddr_in)) ||
        send(fd, text, sizeof(text) - 1, 0) != sizeof(text) - 1) {
        die("connect failed");
    }
}

static int opened_calls;

static int
on_event(void *ctx, const struct fw_event *ev, int64_t now_us,
         struct fw_actions *out)
{
    (void)ctx;
    (void)now_us;
    (void)out;
    opened_calls += ev->kind == FW_EV_CALL_OPEN;
    return 0;
}

static int
always_ready(const void *ctx)
{
    (void)ctx;
    return 1;
}

int
main(void)
{
    struct fw_metrics metrics;
    struct fw_core core = {
        .step = on_event, .ready = always_ready, .metrics = &metrics};
    struct fw_self self = {.name = "bench", .boot = 1};
    struct fw_shell_opts opts = {
        .callers = "127.0.0.1:0",
        .operators = "127.0.0.1:0",
        .peers = "127.0.0.1:0",
        .log_url = "http://127.0.0.1:1",
        .list_url = "http://127.0.0.1:1",
        .secret = g_bytes_new_static("0123456789abcdef", 16),
        .api = {.prompt_tokens_max = 1000, .max_tokens_default = 16},
        .body_max = 65536,
        .header_max = 16384,
        .read_timeout_us = 30 * FW_SEC,
        .max_conns = 16,
        .max_conns_per_host = 16,
    };
    struct fw_shell *shell;
    size_t before;
    int err;

    Fw_Metrics_Init(&metrics);
    Fw_Logger_Setup("bench", fopen("/dev/null", "w"));
    shell = Fw_Shell_New(&opts, &self, &err);
    if (!shell || Fw_Shell_Start(shell, &core)) {
        die("can't start the shell");
    }
    before = mallinfo2().uordblks;
    for (int i = 1; i <= FW_OPEN_CALLS; i++) {
        send_request(Fw_Shell_CallersUrl(shell));
        while (opened_calls < i) {
            g_main_context_iteration(NULL, TRUE);
        }
    }
    printf("%-44s %zu bytes each (%d open)\n", "shell heap per open call",
           (mallinfo2().uordblks - before) / FW_OPEN_CALLS, FW_OPEN_CALLS);
    return 0;
}
