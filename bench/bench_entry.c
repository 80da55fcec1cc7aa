/*
 * Measures an instance that callers connect to: its requests per second of
 * CPU time, compared to a minimal libsoup server, and the time to first token
 * that it adds to direct requests to the engines.
 *
 * The instance and the stand-ins are processes that tools/fleet starts.
 * Throughput is based on the CPU time of the serving process or thread, so
 * that other load on the machine affects it little. Latency is wall time;
 * direct and routed requests alternate.
 */
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "base/limits.h"
#include "io/addr.h"

#define FW_FLEET_DIR "build/bench-entry"
#define FW_CONNECTIONS 32
#define FW_LOAD_DURATION_US (3 * FW_SEC)
#define FW_LATENCY_RUNS 300
/* Indices into the sorted latencies. */
#define FW_MEDIAN_INDEX 150
#define FW_P95_INDEX 285
#define FW_PROMPT_BYTES 16384

static void
die(const char *what)
{
    fprintf(stderr, "bench_entry: %s\n", what);
    exit(1);
}

/**
 * struct conn - a persistent connection with at most one open request.
 * @first_us: arrival of the first streamed token, 0 before
 */
struct conn {
    int fd;
    GString *response;
    int64_t sent_us;
    int64_t first_us;
};

static void
open_conn(struct conn *c, const char *url)
{
    GSocketAddress *at = Fw_Addr_Parse(url + strlen("http://"));
    struct sockaddr_storage sa;

    g_socket_address_to_native(at, &sa, sizeof(sa), NULL);
    g_object_unref(at);
    c->fd = socket(AF_INET, SOCK_STREAM, 0);
    c->response = g_string_new(NULL);
    if (connect(c->fd, (struct sockaddr *)&sa, sizeof(struct sockaddr_in))) {
        die("connect failed");
    }
}

static void
close_conn(struct conn *c)
{
    close(c->fd);
    g_string_free(c->response, TRUE);
}

static void
send_request(struct conn *c, const char *text)
{
    size_t len = strlen(text);

    g_string_truncate(c->response, 0);
    c->sent_us = g_get_monotonic_time();
    c->first_us = 0;
    while (len > 0) {
        ssize_t n = send(c->fd, text, len, MSG_NOSIGNAL);

        if (n <= 0) {
            die("send failed");
        }
        text += n;
        len -= (size_t)n;
    }
}

/* Returns nonzero if the response is complete. */
static int
is_complete(const struct conn *c)
{
    const char *end = strstr(c->response->str, "\r\n\r\n");
    const char *length = strstr(c->response->str, "Content-Length: ");

    if (!end) {
        return 0;
    }
    if (length && length < end) {
        gsize want = (gsize)strtoul(length + 16, NULL, 10);

        return c->response->len >= (gsize)(end + 4 - c->response->str) + want;
    }
    return g_str_has_suffix(c->response->str, "\r\n0\r\n\r\n");
}

static void
receive(struct conn *c)
{
    char buf[16384];
    ssize_t n = recv(c->fd, buf, sizeof(buf), 0);

    if (n <= 0) {
        die("connection closed or failed");
    }
    g_string_append_len(c->response, buf, n);
    if (!c->first_us && (strstr(c->response->str, "\"text\":\"") ||
                         strstr(c->response->str, "{\"i\":"))) {
        c->first_us = g_get_monotonic_time();
    }
}

static void
exchange(struct conn *c, const char *text)
{
    send_request(c, text);
    while (!is_complete(c)) {
        receive(c);
    }
    if (!g_str_has_prefix(c->response->str, "HTTP/1.1 20")) {
        fprintf(stderr, "%.300s\n", c->response->str);
        die("request failed");
    }
}

static char *
format_post(const char *path, const char *key, const char *body)
{
    return g_strdup_printf("POST %s HTTP/1.1\r\nHost: x\r\n"
                           "Authorization: Bearer %s\r\n"
                           "Content-Length: %zu\r\n\r\n%s",
                           path, key, strlen(body), body);
}

/*
 * Sends @text repeatedly on all connections for FW_LOAD_DURATION_US. Returns
 * the number of responses.
 */
static int64_t
run_load(const char *url, const char *text)
{
    struct conn conns[FW_CONNECTIONS];
    struct pollfd fds[FW_CONNECTIONS];
    int64_t until = g_get_monotonic_time() + FW_LOAD_DURATION_US;
    int64_t done = 0;

    for (int i = 0; i < FW_CONNECTIONS; i++) {
        open_conn(&conns[i], url);
        send_request(&conns[i], text);
        fds[i] = (struct pollfd){.fd = conns[i].fd, .events = POLLIN};
    }
    while (g_get_monotonic_time() < until) {
        poll(fds, FW_CONNECTIONS, 1000);
        for (int i = 0; i < FW_CONNECTIONS; i++) {
            if (!fds[i].revents) {
                continue;
            }
            receive(&conns[i]);
            if (is_complete(&conns[i])) {
                if (!g_str_has_prefix(conns[i].response->str,
                                      "HTTP/1.1 200")) {
                    fprintf(stderr, "%.300s\n", conns[i].response->str);
                    die("request failed under load");
                }
                done++;
                send_request(&conns[i], text);
            }
        }
    }
    for (int i = 0; i < FW_CONNECTIONS; i++) {
        close_conn(&conns[i]);
    }
    return done;
}

static void
print_throughput(const char *what, int64_t done, int64_t cpu_us)
{
    printf("%-44s %8.0f requests per core-second, %6.1f us each "
           "(%" G_GINT64_FORMAT " in %d s)\n",
           what, (double)done * FW_SEC / (double)cpu_us,
           (double)cpu_us / (double)done, done,
           (int)(FW_LOAD_DURATION_US / FW_SEC));
}

/** struct bare_server - a minimal libsoup server on its own thread. */
struct bare_server {
    GMainContext *context;
    GMainLoop *loop;
    char url[FW_URL_MAX];
    GMutex lock;
    GCond ready;
    int is_ready;
    clockid_t clock;
};

static void
on_bare_request(SoupServer *server, SoupServerMessage *msg, const char *path,
                GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    (void)data;
    soup_server_message_set_status(msg, 200, NULL);
    soup_server_message_set_response(msg, "application/json",
                                     SOUP_MEMORY_STATIC, "{}", 2);
}

static gpointer
run_bare_server(gpointer data)
{
    struct bare_server *b = data;
    SoupServer *server;
    GSList *uris;

    g_main_context_push_thread_default(b->context);
    server = soup_server_new(NULL, NULL);
    soup_server_add_handler(server, NULL, on_bare_request, NULL, NULL);
    soup_server_listen_local(server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL);
    uris = soup_server_get_uris(server);
    g_snprintf(b->url, sizeof(b->url), "http://127.0.0.1:%d",
               g_uri_get_port(uris->data));
    g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
    pthread_getcpuclockid(pthread_self(), &b->clock);
    g_mutex_lock(&b->lock);
    b->is_ready = 1;
    g_cond_signal(&b->ready);
    g_mutex_unlock(&b->lock);
    g_main_loop_run(b->loop);
    soup_server_disconnect(server);
    g_object_unref(server);
    g_main_context_pop_thread_default(b->context);
    return NULL;
}

static int64_t
get_clock_us(clockid_t clock)
{
    struct timespec ts;

    clock_gettime(clock, &ts);
    return ts.tv_sec * FW_SEC + ts.tv_nsec / 1000;
}

static void
bench_bare_server(const char *text)
{
    struct bare_server b = {0};
    GThread *thread;
    int64_t before;
    int64_t done;

    b.context = g_main_context_new();
    b.loop = g_main_loop_new(b.context, FALSE);
    thread = g_thread_new("bare", run_bare_server, &b);
    g_mutex_lock(&b.lock);
    while (!b.is_ready) {
        g_cond_wait(&b.ready, &b.lock);
    }
    g_mutex_unlock(&b.lock);
    before = get_clock_us(b.clock);
    done = run_load(b.url, text);
    print_throughput("minimal libsoup server", done,
                     get_clock_us(b.clock) - before);
    g_main_loop_quit(b.loop);
    g_thread_join(thread);
    g_main_loop_unref(b.loop);
    g_main_context_unref(b.context);
}

/** struct fleet - addresses and key from fleet.json. */
struct fleet {
    JsonNode *root;
    const char *entry;
    const char *prefill;
    const char *decode;
    const char *key;
    int64_t pid;
};

static void
run_fleet(const char *command)
{
    int status = 0;

    if (!g_spawn_command_line_sync(command, NULL, NULL, &status, NULL) ||
        !g_spawn_check_wait_status(status, NULL)) {
        die(command);
    }
}

static void
start_fleet(struct fleet *f)
{
    JsonObject *obj;
    JsonParser *parser = json_parser_new();

    run_fleet("tools/fleet up --instances 1 --dir " FW_FLEET_DIR
              " --prefill 4 --decode 8 --rate 1000000000 --burst 1000000000"
              " --stand \"--slots=100 --token-ms=1 --token-slot-us=0"
              " --answer-tokens=8 --prefill-rate=100000000"
              " --link-rate=10000000000\"");
    if (!json_parser_load_from_file(parser, FW_FLEET_DIR "/fleet.json",
                                    NULL)) {
        die("can't read fleet.json");
    }
    f->root = json_parser_steal_root(parser);
    g_object_unref(parser);
    obj = json_node_get_object(f->root);
    f->entry = json_array_get_string_element(
        json_object_get_array_member(obj, "callers"), 0);
    f->key = json_object_get_string_member(
        json_object_get_object_member(obj, "keys"), "skippers");
    f->pid = json_object_get_int_member(
        json_object_get_object_member(obj, "pids"), "instance-0");
    obj = json_object_get_object_member(obj, "stands");
    f->prefill = json_object_get_string_member(obj, "prefill-0");
    f->decode = json_object_get_string_member(obj, "decode-0");
}

/* Returns the CPU time of a process, with the resolution of a clock tick. */
static int64_t
process_cpu_us(int64_t pid)
{
    char *path = g_strdup_printf("/proc/%" G_GINT64_FORMAT "/stat", pid);
    char *text = NULL;
    unsigned long user = 0;
    unsigned long sys = 0;
    const char *after;

    g_file_get_contents(path, &text, NULL, NULL);
    after = text ? strrchr(text, ')') : NULL;
    if (!after || sscanf(after + 2,
                         "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
                         &user, &sys) != 2) {
        die("can't read /proc/PID/stat");
    }
    g_free(text);
    g_free(path);
    return (int64_t)(user + sys) * FW_SEC / sysconf(_SC_CLK_TCK);
}

static void
bench_instance(const struct fleet *f, const char *what, const char *text)
{
    int64_t before = process_cpu_us(f->pid);
    int64_t done = run_load(f->entry, text);

    print_throughput(what, done, process_cpu_us(f->pid) - before);
}

static int
compare_int64(const void *a, const void *b)
{
    const int64_t *x = a;
    const int64_t *y = b;

    return (*x > *y) - (*x < *y);
}

static void
print_latency(const char *what, int64_t *us)
{
    qsort(us, FW_LATENCY_RUNS, sizeof(*us), compare_int64);
    printf("%-44s median %.2f ms, p95 %.2f ms\n", what,
           (double)us[FW_MEDIAN_INDEX] / FW_MSEC,
           (double)us[FW_P95_INDEX] / FW_MSEC);
}

static char *
get_json_string(const struct conn *c, const char *name)
{
    char *key = g_strdup_printf("\"%s\":\"", name);
    const char *at = strstr(c->response->str, key);
    const char *from = at ? at + strlen(key) : "";
    char *out = g_strndup(from, strcspn(from, "\""));

    g_free(key);
    return out;
}

/* Sends the router's three engine requests directly. Returns TTFT in us. */
static int64_t
time_direct_request(struct conn *prefill, struct conn *decode,
                    const struct fleet *f, const char *prompt, int i)
{
    char *body = g_strdup_printf("{\"request\":\"bench.1.%d\",\"model\":"
                                 "\"tides\",\"adapter\":\"\",\"prompt\":"
                                 "\"%s\",\"priority\":1}",
                                 i, prompt);
    char *text = format_post("/v1/prefill", "-", body);
    char *kv;
    int64_t begun;

    exchange(prefill, text);
    begun = prefill->sent_us;
    kv = get_json_string(prefill, "kv");
    g_free(body);
    g_free(text);
    body = g_strdup_printf("{\"request\":\"bench.1.%d\",\"kv\":\"%s\","
                           "\"from\":\"%s\",\"tokens\":%d}",
                           i, kv, f->prefill, FW_PROMPT_BYTES / 4);
    text = format_post("/v1/kv/import", "-", body);
    exchange(decode, text);
    g_free(body);
    g_free(text);
    body = g_strdup_printf("{\"request\":\"bench.1.%d\",\"kv\":\"%s\","
                           "\"max_tokens\":8,\"from_index\":0}",
                           i, kv);
    text = format_post("/v1/decode", "-", body);
    exchange(decode, text);
    g_free(body);
    g_free(text);
    g_free(kv);
    return decode->first_us - begun;
}

static int64_t
time_routed_request(struct conn *entry, const struct fleet *f,
                    const char *prompt)
{
    char *body = g_strdup_printf("{\"model\":\"tides\",\"prompt\":\"%s\","
                                 "\"max_tokens\":8,\"stream\":true}",
                                 prompt);
    char *text = format_post("/v1/completions", f->key, body);

    exchange(entry, text);
    g_free(body);
    g_free(text);
    return entry->first_us - entry->sent_us;
}

static void
bench_latency(const struct fleet *f)
{
    static int64_t direct_us[FW_LATENCY_RUNS];
    static int64_t routed_us[FW_LATENCY_RUNS];
    struct conn prefill;
    struct conn decode;
    struct conn entry;
    char *prompt = g_strnfill(FW_PROMPT_BYTES, 'x');

    open_conn(&prefill, f->prefill);
    open_conn(&decode, f->decode);
    open_conn(&entry, f->entry);
    for (int i = 0; i < FW_LATENCY_RUNS; i++) {
        /* Distinct prompts, so that no prefix is cached. */
        g_snprintf(prompt, 16, "a%013d ", i);
        prompt[15] = 'x';
        direct_us[i] = time_direct_request(&prefill, &decode, f, prompt, i);
        prompt[0] = 'b';
        routed_us[i] = time_routed_request(&entry, f, prompt);
    }
    print_latency("TTFT, direct", direct_us);
    print_latency("TTFT, through the instance", routed_us);
    printf("%-44s median %.2f ms\n", "added by the instance",
           (double)(routed_us[FW_MEDIAN_INDEX] - direct_us[FW_MEDIAN_INDEX]) /
               FW_MSEC);
    close_conn(&prefill);
    close_conn(&decode);
    close_conn(&entry);
    g_free(prompt);
}

int
main(void)
{
    struct fleet f;
    char *models;
    char *unstreamed;
    char *streamed;

    setvbuf(stdout, NULL, _IOLBF, 0);
    start_fleet(&f);
    models = g_strdup_printf("GET /v1/models HTTP/1.1\r\nHost: x\r\n"
                             "Authorization: Bearer %s\r\n\r\n",
                             f.key);
    unstreamed = format_post("/v1/completions", f.key,
                             "{\"model\":\"tides\",\"prompt\":\"low water\"}");
    streamed = format_post("/v1/completions", f.key,
                           "{\"model\":\"tides\",\"prompt\":\"low water\","
                           "\"stream\":true}");
    bench_bare_server(unstreamed);
    bench_instance(&f, "instance: models of a key", models);
    bench_instance(&f, "instance: completion of 8 tokens", unstreamed);
    bench_instance(&f, "instance: completion of 8 tokens, streamed", streamed);
    bench_latency(&f);
    run_fleet("tools/fleet down --dir " FW_FLEET_DIR);
    return 0;
}
