/*
 * Compares the HTTP server of src/http with libsoup: requests per second of
 * CPU time, and heap per idle connection. Each server runs in a thread whose
 * CPU time is measured; the main thread is the client.
 */
#include <libsoup/soup.h>
#include <malloc.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "http/server.h"

#define FW_CONNECTIONS 32
#define FW_REQUESTS_PER_CONNECTION 1500
#define FW_IDLE_CONNECTIONS 500

static const char request[] = "GET /read/x HTTP/1.1\r\nHost: a.example\r\n"
                              "Request-Id: 9c41d07be2a35f68\r\n"
                              "Authorization: Bearer abcdefgh\r\n\r\n";

/** struct server_thread - a server; @port is 0 until it listens. */
struct server_thread {
    const char *name;
    void (*serve)(struct server_thread *s);
    GMainContext *context;
    GMainLoop *loop;
    int port;
    GMutex lock;
    GCond ready;
    pthread_t thread;
};

static void
signal_ready(struct server_thread *s, int port)
{
    g_mutex_lock(&s->lock);
    s->port = port;
    g_cond_signal(&s->ready);
    g_mutex_unlock(&s->lock);
}

static void
on_request(void *ctx, struct fw_http_caller *c, const struct fw_http_head *h,
           GBytes *body)
{
    (void)ctx;
    (void)h;
    (void)body;
    Fw_Caller_Respond(c, 200, "Content-Type: text/plain\r\n", "hello");
}

static void
on_refused(void *ctx, int status, const char *why)
{
    (void)ctx;
    fprintf(stderr, "bench_http: %d %s\n", status, why);
}

static const struct fw_http_ops ops = {.request = on_request,
                                       .rejected = on_refused};

static void
serve_own(struct server_thread *s)
{
    int err;
    struct fw_http_server *server =
        Fw_Server_New("127.0.0.1:0", &ops, NULL, &err);

    g_assert(server);
    signal_ready(s, Fw_Server_Port(server));
    g_main_loop_run(s->loop);
    Fw_Server_Free(server);
}

static void
on_soup(SoupServer *server, SoupServerMessage *msg, const char *path,
        GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    (void)data;
    soup_server_message_set_status(msg, 200, NULL);
    soup_server_message_set_response(msg, "text/plain", SOUP_MEMORY_STATIC,
                                     "hello", 5);
}

static void
serve_soup(struct server_thread *s)
{
    SoupServer *server = soup_server_new("raw-paths", TRUE, NULL);
    GSList *uris;

    soup_server_add_handler(server, NULL, on_soup, NULL, NULL);
    g_assert(soup_server_listen_local(server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY,
                                      NULL));
    uris = soup_server_get_uris(server);
    signal_ready(s, g_uri_get_port(uris->data));
    g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
    g_main_loop_run(s->loop);
    g_object_unref(server);
}

/* Servers attach to the thread-default context. */
static void *
run_thread(void *data)
{
    struct server_thread *s = data;

    g_main_context_push_thread_default(s->context);
    s->serve(s);
    g_main_context_pop_thread_default(s->context);
    return NULL;
}

static int
connect_to(int port)
{
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port),
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    if (connect(fd, (struct sockaddr *)&to, sizeof(to))) {
        perror("bench_http: connect");
        exit(1);
    }
    return fd;
}

/* Sends a request and waits for the end of the response. */
static void
exchange(int fd)
{
    char buf[4096];
    size_t len = 0;

    if (write(fd, request, sizeof(request) - 1) < 0) {
        exit(1);
    }
    while (len < 5 || memcmp(buf + len - 5, "hello", 5) != 0) {
        ssize_t n = read(fd, buf + len, sizeof(buf) - len);

        if (n <= 0) {
            fprintf(stderr, "bench_http: response cut off\n");
            exit(1);
        }
        len += (size_t)n;
    }
}

static double
thread_cpu_s(const struct server_thread *s)
{
    clockid_t clock;
    struct timespec t;

    pthread_getcpuclockid(s->thread, &clock);
    clock_gettime(clock, &t);
    return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static size_t
heap_bytes(void)
{
    return mallinfo2().uordblks;
}

static void
measure(struct server_thread *s)
{
    int fds[FW_CONNECTIONS];
    int idle[FW_IDLE_CONNECTIONS];
    double before;
    double cpu_used_s;
    size_t memory;

    for (int i = 0; i < FW_CONNECTIONS; i++) {
        fds[i] = connect_to(s->port);
        exchange(fds[i]);
    }
    before = thread_cpu_s(s);
    for (int k = 0; k < FW_REQUESTS_PER_CONNECTION; k++) {
        for (int i = 0; i < FW_CONNECTIONS; i++) {
            exchange(fds[i]);
        }
    }
    cpu_used_s = thread_cpu_s(s) - before;
    memory = heap_bytes();
    for (int i = 0; i < FW_IDLE_CONNECTIONS; i++) {
        idle[i] = connect_to(s->port);
        exchange(idle[i]);
    }
    memory = heap_bytes() - memory;
    printf("%-8s %8.0f requests per core-second, %6zu bytes per idle "
           "connection\n",
           s->name, FW_CONNECTIONS * FW_REQUESTS_PER_CONNECTION / cpu_used_s,
           memory / FW_IDLE_CONNECTIONS);
    for (int i = 0; i < FW_CONNECTIONS; i++) {
        close(fds[i]);
    }
    for (int i = 0; i < FW_IDLE_CONNECTIONS; i++) {
        close(idle[i]);
    }
}

static void
bench_server(const char *name, void (*serve)(struct server_thread *))
{
    struct server_thread s = {.name = name, .serve = serve};

    s.context = g_main_context_new();
    s.loop = g_main_loop_new(s.context, FALSE);
    g_mutex_init(&s.lock);
    g_cond_init(&s.ready);
    pthread_create(&s.thread, NULL, run_thread, &s);
    g_mutex_lock(&s.lock);
    while (!s.port) {
        g_cond_wait(&s.ready, &s.lock);
    }
    g_mutex_unlock(&s.lock);
    measure(&s);
    g_main_loop_quit(s.loop);
    pthread_join(s.thread, NULL);
    g_main_loop_unref(s.loop);
    g_main_context_unref(s.context);
}

int
main(void)
{
    mallopt(M_MMAP_THRESHOLD, 1 << 30);
    bench_server("own", serve_own);
    bench_server("libsoup", serve_soup);
    return 0;
}
