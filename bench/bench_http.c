/*
 * The HTTP layer for callers beside a server of libsoup: requests a second
 * of processor time, and memory a kept connection. Each serves in a thread
 * of its own with a loop of its own; the load comes from the main thread over
 * loopback and isn't counted.
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

#define FW_CONNS 32
#define FW_ROUNDS 1500 /* requests on each connection */
#define FW_IDLE_CONNS 500

static const char request[] = "GET /read/x HTTP/1.1\r\nHost: a.example\r\n"
                              "Request-Id: 9c41d07be2a35f68\r\n"
                              "Authorization: Bearer abcdefgh\r\n\r\n";

/** struct side - one server; @port is set once it listens. */
struct side {
    const char *name;
    void (*serve)(struct side *s);
    GMainContext *context;
    GMainLoop *loop;
    int port;
    GMutex lock;
    GCond ready;
    pthread_t thread;
};

static void
say_ready(struct side *s, int port)
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
serve_own(struct side *s)
{
    int err;
    struct fw_http_server *server =
        Fw_Server_New("127.0.0.1:0", &ops, NULL, &err);

    g_assert(server);
    say_ready(s, Fw_Server_Port(server));
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
serve_soup(struct side *s)
{
    SoupServer *server = soup_server_new("raw-paths", TRUE, NULL);
    GSList *uris;

    soup_server_add_handler(server, NULL, on_soup, NULL, NULL);
    g_assert(soup_server_listen_local(server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY,
                                      NULL));
    uris = soup_server_get_uris(server);
    say_ready(s, g_uri_get_port(uris->data));
    g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
    g_main_loop_run(s->loop);
    g_object_unref(server);
}

/* The layer attaches to the default context: each thread's own is that. */
static void *
run_side(void *data)
{
    struct side *s = data;

    g_main_context_push_thread_default(s->context);
    s->serve(s);
    g_main_context_pop_thread_default(s->context);
    return NULL;
}

static int
dial(int port)
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

/* Sends one request and reads its answer, which fits one segment. */
static void
ask(int fd)
{
    char buf[4096];
    size_t len = 0;

    if (write(fd, request, sizeof(request) - 1) < 0) {
        exit(1);
    }
    while (len < 5 || memcmp(buf + len - 5, "hello", 5) != 0) {
        ssize_t n = read(fd, buf + len, sizeof(buf) - len);

        if (n <= 0) {
            fprintf(stderr, "bench_http: answer broke off\n");
            exit(1);
        }
        len += (size_t)n;
    }
}

static double
cpu_s(const struct side *s)
{
    clockid_t clock;
    struct timespec t;

    pthread_getcpuclockid(s->thread, &clock);
    clock_gettime(clock, &t);
    return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static size_t
in_use(void)
{
    return mallinfo2().uordblks;
}

static void
measure(struct side *s)
{
    int fds[FW_CONNS];
    int idle[FW_IDLE_CONNS];
    double before;
    double spent;
    size_t memory;

    for (int i = 0; i < FW_CONNS; i++) {
        fds[i] = dial(s->port);
        ask(fds[i]);
    }
    before = cpu_s(s);
    for (int k = 0; k < FW_ROUNDS; k++) {
        for (int i = 0; i < FW_CONNS; i++) {
            ask(fds[i]);
        }
    }
    spent = cpu_s(s) - before;
    memory = in_use();
    for (int i = 0; i < FW_IDLE_CONNS; i++) {
        idle[i] = dial(s->port);
        ask(idle[i]);
    }
    memory = in_use() - memory;
    printf("%-8s %8.0f requests a core-second, %6zu bytes a kept "
           "connection\n",
           s->name, FW_CONNS * FW_ROUNDS / spent, memory / FW_IDLE_CONNS);
    for (int i = 0; i < FW_CONNS; i++) {
        close(fds[i]);
    }
    for (int i = 0; i < FW_IDLE_CONNS; i++) {
        close(idle[i]);
    }
}

static void
play(const char *name, void (*serve)(struct side *))
{
    struct side s = {.name = name, .serve = serve};

    s.context = g_main_context_new();
    s.loop = g_main_loop_new(s.context, FALSE);
    g_mutex_init(&s.lock);
    g_cond_init(&s.ready);
    pthread_create(&s.thread, NULL, run_side, &s);
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
    play("own", serve_own);
    play("libsoup", serve_soup);
    return 0;
}
