#include "tests/relayd/slow_env.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/conn.h"
#include "http/http_internal.h"
#include "relay/relay.h"
#include "relayd/relayd_internal.h"

#define FW_STEP_MS 5
#define FW_STEPS_PER_SECOND (1000 / FW_STEP_MS)
#define FW_STEPS_PER_SOUND_CALL 8
/* Kernel buffers are kept small, so that the router holds what isn't read. */
#define FW_SEND_BUFFER_BYTES 65536
#define FW_RECEIVE_BUFFER_BYTES 8192
#define FW_OBJECTIVE_US (900 * FW_MSEC)
#define FW_CHUNK_BYTES 4096

/* NOLINTBEGIN(readability-identifier-naming): the sanitizer's name */
size_t
__sanitizer_get_current_allocated_bytes(void);
/* NOLINTEND(readability-identifier-naming) */

static char zeros[65536];

/**
 * struct server_conn - a connection to a server of "bulk".
 * @to_send: bytes of the response that are left
 * @body_left: bytes of the request that a server which isn't slow still reads
 * @progress_us: when the last of them were sent
 */
struct server_conn {
    struct fw_list link;
    int fd;
    char head[2048];
    size_t head_len;
    int is_head_read;
    int is_slow;
    size_t to_send;
    size_t body_left;
    int64_t progress_us;
};

/** struct sound_call - a call to "desk" in progress. */
struct sound_call {
    struct fw_list link;
    int fd;
    char head[256];
    size_t len;
    int64_t started_us;
};

static void
set_nonblocking(int fd)
{
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
}

/* Accepted sockets inherit this from the listening one. */
static void
set_buffers(int fd, int send_bytes, int receive_bytes)
{
    setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &send_bytes, sizeof(send_bytes));
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
               sizeof(receive_bytes));
}

static int
new_socket(void)
{
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    ck_assert_int_ge(fd, 0);
    set_buffers(fd, FW_SEND_BUFFER_BYTES, FW_RECEIVE_BUFFER_BYTES);
    return fd;
}

static int
connect_to(const char *addr)
{
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int fd = new_socket();

    to.sin_port =
        htons((uint16_t)g_ascii_strtoull(strrchr(addr, ':') + 1, NULL, 10));
    ck_assert_int_eq(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
    set_nonblocking(fd);
    return fd;
}

static int
listen_on_any(int *port)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(at);
    int fd = new_socket();

    ck_assert_int_eq(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
    ck_assert_int_eq(listen(fd, 1024), 0);
    ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&at, &len), 0);
    set_nonblocking(fd);
    *port = ntohs(at.sin_port);
    return fd;
}

static void
add_server(struct slow_env *env, int i)
{
    char name[16];
    char *entry;
    int port;

    env->listeners[i] = listen_on_any(&port);
    g_snprintf(name, sizeof(name), "bulk%d", i);
    g_snprintf(env->addrs[i], FW_URL_MAX, "127.0.0.1:%d", port);
    entry = g_strdup_printf(
        "{\"Service\":\"bulk\",\"Address\":\"%s\",\"Zone\":\"a\","
        "\"Version\":\"v1\",\"Slots\":2000,\"State\":\"ready\","
        "\"Sequence\":1,\"born\":1}",
        env->addrs[i]);
    Fw_WireStore_Put(env->router.store, "keyed.servers", name, entry);
    g_free(entry);
}

/* Adds the service "bulk" to the configuration. */
static void
put_config(struct slow_env *env, int64_t max_body_bytes)
{
    char *base = Fw_Wire_MakeConfig(2, FW_KEYS);
    GString *config = g_string_new(base);
    char *limit =
        g_strdup_printf("\"MaxBodyBytes\":%" G_GINT64_FORMAT, max_body_bytes);

    g_string_replace(
        config, "\"Routes\":[",
        "\"Routes\":[{\"Name\":\"r-bulk\",\"Host\":\"demo.example\","
        "\"PathPrefix\":\"/bulk/\",\"Kind\":\"unsafe\",\"TimeoutMs\":30000,"
        "\"TargetLatencyMs\":30000,\"Priority\":1,\"Service\":\"bulk\","
        "\"Attempts\":2},",
        1);
    g_string_replace(config, "\"Services\":[",
                     "\"Services\":[{\"Name\":\"bulk\",\"HealthCheckPath\":"
                     "\"/-/ok\",\"MaxConnections\":2000},",
                     1);
    g_string_replace(config, "\"MaxBodyBytes\":4194304", limit, 1);
    Fw_WireStore_Put(env->router.store, "keyed.op", "config", config->str);
    g_string_free(config, TRUE);
    g_free(limit);
    g_free(base);
}

/* Fw_Metrics_Print gives what an operator sees. */
size_t
Fw_SlowEnv_Held(const struct slow_env *env)
{
    GString *text = g_string_new(NULL);
    size_t sum = 0;

    Fw_Metrics_Print(Fw_Relay_Metrics(env->router.router->relay), text);
    for (const char *p = strstr(text->str, "\nfw_held_bytes{"); p;
         p = strstr(p + 1, "\nfw_held_bytes{")) {
        sum += g_ascii_strtoull(strchr(p, '}') + 1, NULL, 10);
    }
    g_string_free(text, TRUE);
    return sum;
}

static void
server_conn_free(struct server_conn *c, int reset)
{
    struct linger l = {.l_onoff = reset, .l_linger = 0};

    setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
    close(c->fd);
    Fw_List_Remove(&c->link);
    g_free(c);
}

static void
accept_all(struct slow_env *env)
{
    for (int i = 0; i < FW_SLOW_SERVERS; i++) {
        int fd;

        while ((fd = accept(env->listeners[i], NULL, NULL)) >= 0) {
            struct server_conn *c = g_new0(struct server_conn, 1);

            set_nonblocking(fd);
            c->fd = fd;
            c->is_slow = i < env->n_slow;
            Fw_List_Append(&env->server_conns, &c->link);
        }
    }
}

static void
begin_response(struct server_conn *c, size_t length)
{
    char head[128];
    int n =
        g_snprintf(head, sizeof(head),
                   "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n", length);

    if (send(c->fd, head, (size_t)n, MSG_NOSIGNAL) != n) {
        return; /* the router has closed it, as the next read finds */
    }
    c->to_send = length;
    c->progress_us = Fw_Conn_NowUs();
    c->is_head_read = 0;
    c->head_len = 0;
}

static void
begin_request(struct slow_env *env, struct server_conn *c)
{
    const char *end = strstr(c->head, "\r\n\r\n") + 4;
    const char *length = strcasestr(c->head, "\r\nContent-Length: ");

    if (g_str_has_prefix(c->head, "POST")) {
        c->is_head_read = 1; /* a slow server never responds */
        c->body_left = g_ascii_strtoull(
                           length + strlen("\r\nContent-Length: "), NULL, 10) -
                       (c->head_len - (size_t)(end - c->head));
        return;
    }
    begin_response(c, strstr(c->head, " /-/ok ") ? 0 : env->response_bytes);
}

/* Return: zero when the connection has ended. */
static int
read_head(struct slow_env *env, struct server_conn *c)
{
    ssize_t n =
        read(c->fd, c->head + c->head_len, sizeof(c->head) - 1 - c->head_len);

    if (n <= 0) {
        return n < 0 && errno == EAGAIN;
    }
    c->head_len += (size_t)n;
    c->head[c->head_len] = 0;
    if (strstr(c->head, "\r\n\r\n")) {
        begin_request(env, c);
        return 1;
    }
    ck_assert_uint_lt(c->head_len, sizeof(c->head) - 1);
    return 1;
}

static int
read_body_slowly(const struct slow_env *env, struct server_conn *c)
{
    static char buf[4096];
    size_t len = (size_t)(env->server_read_bytes / FW_STEPS_PER_SECOND);
    ssize_t n = len ? read(c->fd, buf, MIN(len, sizeof(buf))) : 1;

    return n > 0 || (n < 0 && errno == EAGAIN);
}

/* Return: zero when the connection has ended. */
static int
read_body_at_once(struct server_conn *c)
{
    static char buf[65536];

    while (c->body_left) {
        ssize_t n = read(c->fd, buf, MIN(c->body_left, sizeof(buf)));

        if (n <= 0) {
            return n < 0 && errno == EAGAIN;
        }
        c->body_left -= (size_t)n;
    }
    begin_response(c, 0);
    return 1;
}

/* Return: zero when the connection has ended. */
static int
write_response(const struct slow_env *env, struct server_conn *c)
{
    int64_t now = Fw_Conn_NowUs();

    while (c->to_send) {
        ssize_t n =
            send(c->fd, zeros, MIN(c->to_send, sizeof(zeros)), MSG_NOSIGNAL);

        if (n < 0) {
            return errno == EAGAIN && (!env->cut_off_us ||
                                       now - c->progress_us < env->cut_off_us);
        }
        c->to_send -= (size_t)n;
        c->progress_us = now;
    }
    return 1;
}

static void
step_servers(struct slow_env *env)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    accept_all(env);
    FW_LIST_EACH_SAFE (pos, tmp, &env->server_conns) {
        struct server_conn *c = FW_LIST_ENTRY(pos, struct server_conn, link);
        int is_open;

        if (c->to_send) {
            is_open = write_response(env, c);
        }
        else if (c->is_head_read) {
            is_open =
                c->is_slow ? read_body_slowly(env, c) : read_body_at_once(c);
        }
        else {
            is_open = read_head(env, c);
        }
        if (!is_open) {
            server_conn_free(c, 1);
        }
    }
}

static void
send_request(struct slow_caller *c)
{
    while (c->sent < c->to_send) {
        size_t head = c->request->len;
        const char *from = c->sent < head ? c->request->str + c->sent : zeros;
        size_t len = c->sent < head ? head - c->sent
                                    : MIN(c->to_send - c->sent, sizeof(zeros));
        ssize_t n = send(c->fd, from, len, MSG_NOSIGNAL);

        if (n < 0) {
            c->to_send = errno == EAGAIN ? c->to_send : c->sent;
            return;
        }
        c->sent += (size_t)n;
    }
}

static void
read_response(struct slow_caller *c)
{
    static char buf[65536];
    int is_paused = Fw_Conn_NowUs() < c->read_from_us;

    while (!is_paused || c->received < c->pause_at) {
        size_t len = is_paused ? MIN(c->pause_at - c->received, sizeof(buf))
                               : sizeof(buf);
        ssize_t n = read(c->fd, buf, len);

        if (n <= 0) {
            c->is_closed |= n == 0 || errno != EAGAIN;
            return;
        }
        if (c->received < sizeof(c->head) - 1) {
            memcpy(c->head + c->received, buf,
                   MIN((size_t)n, sizeof(c->head) - 1 - c->received));
        }
        c->received += (size_t)n;
    }
}

static void
step_callers(struct slow_env *env)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &env->callers) {
        struct slow_caller *c = FW_LIST_ENTRY(pos, struct slow_caller, link);

        if (!c->is_closed) {
            send_request(c);
            read_response(c);
        }
    }
}

static void
start_sound_call(struct slow_env *env)
{
    static const char request[] =
        "GET /read/x HTTP/1.1\r\nHost: demo.example\r\n"
        "Authorization: Bearer k1\r\nConnection: close\r\n\r\n";
    struct sound_call *c = g_new0(struct sound_call, 1);

    c->fd = connect_to(env->router.callers);
    c->started_us = Fw_Conn_NowUs();
    ck_assert_int_eq(write(c->fd, request, sizeof(request) - 1),
                     sizeof(request) - 1);
    Fw_List_Append(&env->sound.open, &c->link);
    env->sound.n_sent++;
}

static void
end_sound_call(struct slow_env *env, struct sound_call *c)
{
    int64_t took_us = Fw_Conn_NowUs() - c->started_us;

    env->sound.longest_us = MAX(env->sound.longest_us, took_us);
    if (g_str_has_prefix(c->head, "HTTP/1.1 200 ") &&
        took_us <= FW_OBJECTIVE_US) {
        env->sound.n_in_time++;
    }
    close(c->fd);
    Fw_List_Remove(&c->link);
    g_free(c);
}

static void
step_sound_calls(struct slow_env *env)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &env->sound.open) {
        struct sound_call *c = FW_LIST_ENTRY(pos, struct sound_call, link);
        char buf[1024];
        ssize_t n = read(c->fd, buf, sizeof(buf));

        if (n > 0) {
            size_t len = MIN((size_t)n, sizeof(c->head) - 1 - c->len);

            memcpy(c->head + c->len, buf, len);
            c->len += len;
        }
        else if (n == 0 || errno != EAGAIN) {
            end_sound_call(env, c);
        }
    }
}

static gboolean
on_step(gpointer data)
{
    struct slow_env *env = data;

    step_servers(env);
    step_callers(env);
    step_sound_calls(env);
    env->n_steps++;
    return G_SOURCE_CONTINUE;
}

static void
measure(struct slow_env *env)
{
    env->peak_held = MAX(env->peak_held, Fw_SlowEnv_Held(env));
    env->peak_heap =
        MAX(env->peak_heap, __sanitizer_get_current_allocated_bytes());
}

void
Fw_SlowEnv_Run(struct slow_env *env, int64_t us)
{
    int64_t end_us = Fw_Conn_NowUs() + us;
    int calls_until = env->n_steps;
    int measured = 0;

    while (Fw_Conn_NowUs() < end_us) {
        g_main_context_iteration(NULL, TRUE);
        if (env->n_steps >= calls_until) {
            start_sound_call(env);
            calls_until = env->n_steps + FW_STEPS_PER_SOUND_CALL;
        }
        if (env->n_steps != measured) {
            measured = env->n_steps;
            measure(env);
        }
    }
}

static struct slow_caller *
add_caller(struct slow_env *env, const char *line, const char *fields)
{
    struct slow_caller *c = g_new0(struct slow_caller, 1);

    c->fd = connect_to(env->router.callers);
    c->request = g_string_new(NULL);
    g_string_printf(c->request,
                    "%s HTTP/1.1\r\nHost: demo.example\r\n"
                    "Authorization: Bearer k1\r\n%s\r\n",
                    line, fields);
    c->to_send = c->request->len;
    Fw_List_Append(&env->callers, &c->link);
    return c;
}

struct slow_caller *
Fw_SlowEnv_Connect(struct slow_env *env)
{
    struct slow_caller *c = add_caller(env, "GET /bulk/x", "");

    c->to_send = 0;
    return c;
}

/* Appends what the response head lacks to be a request of chunks. */
static void
append_chunks(struct slow_caller *c, size_t bytes)
{
    for (size_t n = 0; n < bytes; n += FW_CHUNK_BYTES) {
        g_string_append_printf(c->request, "%x\r\n", FW_CHUNK_BYTES);
        g_string_append_len(c->request, zeros, FW_CHUNK_BYTES);
        g_string_append(c->request, "\r\n");
    }
    c->to_send = c->request->len;
}

struct slow_caller *
Fw_SlowEnv_Post(struct slow_env *env, int64_t length, size_t withheld)
{
    struct slow_caller *c;
    char *field;

    if (length < 0) {
        c = add_caller(env, "POST /bulk/x", "Transfer-Encoding: chunked\r\n");
        append_chunks(c, FW_SLOW_BUDGET_BYTES + FW_SLOW_MB);
        return c;
    }
    field =
        g_strdup_printf("Content-Length: %" G_GINT64_FORMAT "\r\n", length);
    c = add_caller(env, "POST /bulk/x", field);
    c->to_send += (size_t)length - withheld;
    g_free(field);
    return c;
}

struct slow_caller *
Fw_SlowEnv_Get(struct slow_env *env, size_t pause_at, int64_t pause_us)
{
    struct slow_caller *c = add_caller(env, "GET /bulk/x", "");

    c->pause_at = pause_at;
    c->read_from_us = Fw_Conn_NowUs() + pause_us;
    return c;
}

int
Fw_SlowCaller_Status(const struct slow_caller *c)
{
    return c->received > strlen("HTTP/1.1 200")
               ? (int)g_ascii_strtoll(c->head + strlen("HTTP/1.1 "), NULL, 10)
               : 0;
}

static int
are_servers_usable(void *ctx)
{
    struct slow_env *env = ctx;
    int n = 0;

    for (int i = 0; i < FW_SLOW_SERVERS; i++) {
        char name[16];

        g_snprintf(name, sizeof(name), "bulk%d", i);
        n += Fw_Relayd_IsServerUsable(env->router.router, name);
    }
    return n == FW_SLOW_SERVERS;
}

void
Fw_SlowEnv_Init(struct slow_env *env, int64_t max_body_bytes)
{
    *env = (struct slow_env){.server_read_bytes = 4096,
                             .n_slow = FW_SLOW_SERVERS};
    Fw_List_Init(&env->server_conns);
    Fw_List_Init(&env->callers);
    Fw_List_Init(&env->sound.open);
    Fw_RouterEnv_Init(&env->router);
    put_config(env, max_body_bytes);
    for (int i = 0; i < FW_SLOW_SERVERS; i++) {
        add_server(env, i);
    }
    env->router.opts.memory_bytes = FW_SLOW_BUDGET_BYTES;
    Fw_RouterEnv_StartRouter(&env->router);
    set_buffers(g_socket_get_fd(env->router.router->caller_server->listener),
                FW_SEND_BUFFER_BYTES, FW_SEND_BUFFER_BYTES);
    env->timer = g_timeout_add(FW_STEP_MS, on_step, env);
    Fw_Rig_RunUntil(are_servers_usable, env);
    env->heap_before = __sanitizer_get_current_allocated_bytes();
}

void
Fw_SlowCaller_End(struct slow_caller *c)
{
    close(c->fd);
    g_string_free(c->request, TRUE);
    Fw_List_Remove(&c->link);
    g_free(c);
}

static int
is_nothing_held(void *ctx)
{
    const struct slow_env *env = ctx;

    return Fw_SlowEnv_Held(env) < FW_SLOW_MB;
}

void
Fw_SlowEnv_EndCallers(struct slow_env *env)
{
    while (!Fw_List_Empty(&env->callers)) {
        Fw_SlowCaller_End(
            FW_LIST_ENTRY(env->callers.next, struct slow_caller, link));
    }
    Fw_Rig_RunUntil(is_nothing_held, env);
}

void
Fw_SlowEnv_Free(struct slow_env *env)
{
    Fw_SlowEnv_EndCallers(env);
    g_source_remove(env->timer);
    while (!Fw_List_Empty(&env->sound.open)) {
        end_sound_call(
            env, FW_LIST_ENTRY(env->sound.open.next, struct sound_call, link));
    }
    while (!Fw_List_Empty(&env->server_conns)) {
        server_conn_free(
            FW_LIST_ENTRY(env->server_conns.next, struct server_conn, link),
            0);
    }
    Fw_RouterEnv_Free(&env->router);
    for (int i = 0; i < FW_SLOW_SERVERS; i++) {
        close(env->listeners[i]);
    }
}
