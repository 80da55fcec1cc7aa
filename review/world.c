#define _GNU_SOURCE
#include "world.h"

#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <fcntl.h>
#include <unistd.h>

#include "http.h"
#include "store.h"

#define HEARTBEAT_MS 1200
#define EVENTS 20
#define EVENT_MS 20
#define STAGE_CHANGE_MS 1000

static FILE *out;
static int64_t started_ms;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

void
record_open(const char *path)
{
    out = fopen(path, "w");
    if (!out) {
        perror(path);
        exit(2);
    }
    started_ms = now_ms();
}

void
record(const char *format, ...)
{
    char line[1024];
    va_list args;

    va_start(args, format);
    vsnprintf(line, sizeof(line), format, args);
    va_end(args);
    pthread_mutex_lock(&lock);
    fprintf(out, "%8.3f  %s\n", (double)(now_ms() - started_ms) / 1000, line);
    fflush(out);
    pthread_mutex_unlock(&lock);
}

/* Runs by the number in a request's id, see new_id(). */

#define REQUESTS_MAX 1000000

static unsigned char runs[REQUESTS_MAX];

static unsigned
number_of(const char *id)
{
    return (unsigned)strtoul(strlen(id) > 8 ? id + 8 : id, NULL, 16) %
           REQUESTS_MAX;
}

static void
note_run(const char *id)
{
    pthread_mutex_lock(&lock);
    runs[number_of(id)]++;
    pthread_mutex_unlock(&lock);
}

int
runs_of(const char *id)
{
    int n;

    pthread_mutex_lock(&lock);
    n = runs[number_of(id)];
    pthread_mutex_unlock(&lock);
    return n;
}

/* Servers. */

/**
 * struct channel - a connection to a server, and the run before on it.
 * @second: an answer that is sent a second time when the next request comes
 */
struct channel {
    struct server *s;
    struct http_conn c;
    char last_id[64];
    char second_id[80];
    char *second;
};

static pthread_cond_t slot_free = PTHREAD_COND_INITIALIZER;

static void
register_server(struct server *s)
{
    char entry[700];
    char stage[128] = "";

    pthread_mutex_lock(&lock);
    if (s->stage[0]) {
        snprintf(stage, sizeof(stage),
                 "\"Stage\":\"%s\",\"Models\":[{\"Name\":\"m\",\"Version\":1,"
                 "\"Adapters\":[]}],",
                 s->stage);
    }
    snprintf(entry, sizeof(entry),
             "{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%d\",\"Zone\":"
             "\"%s\",\"Version\":\"v1\",\"Slots\":%d,\"State\":\"ready\","
             "\"ColdRemainingMs\":0,%s\"Sequence\":%ld,\"born\":%lld}",
             s->service, s->port, s->zone, s->slots, stage, ++s->sequence,
             (long long)s->born_ms);
    pthread_mutex_unlock(&lock);
    store_put("keyed.servers", s->id, entry);
}

static int
answer(struct channel *ch, const struct http_msg *m, int status,
       const char *fields, const char *body)
{
    char all[600];
    char id[64];
    char echo[80] = "";

    if (http_field(m, "Request-Id", id, sizeof(id))) {
        snprintf(echo, sizeof(echo), "Request-Id: %s\r\n", id);
    }
    snprintf(all, sizeof(all), "%s%s", echo, fields);
    return http_answer(&ch->c, status, all, body, strlen(body));
}

/* Answers a client's request; keeps some answers to be sent a second time. */
static void
answer_client(struct channel *ch, const struct http_msg *m, int status,
              const char *fields, const char *body)
{
    char id[64];

    answer(ch, m, status, fields, body);
    if (!ch->s->second_answers || rand() % ch->s->second_answers) {
        return;
    }
    http_field(m, "Request-Id", id, sizeof(id));
    snprintf(ch->second_id, sizeof(ch->second_id), "%s, %d", id, status);
    if (asprintf(&ch->second,
                 "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%s"
                 "Content-Length: %zu\r\n\r\n%s",
                 status, status < 400 ? "OK" : "Rejected", id, fields,
                 strlen(body), body) < 0) {
        ch->second = NULL;
    }
}

static void
send_second(struct channel *ch, const struct http_msg *m)
{
    char id[64];

    if (!ch->second) {
        return;
    }
    http_field(m, "Request-Id", id, sizeof(id));
    record("%s sends its answer (%s) a second time, as %s comes on the channel",
           ch->s->id, ch->second_id, id);
    send_all(ch->c.fd, ch->second, strlen(ch->second));
    free(ch->second);
    ch->second = NULL;
}

static void
start_order(struct channel *ch, const struct http_msg *m)
{
    struct server *s = ch->s;
    int changes = 0;

    pthread_mutex_lock(&lock);
    if (now_ms() < s->busy_until_ms) {
        pthread_mutex_unlock(&lock);
        answer(ch, m, 409, "", "");
        return;
    }
    if (strstr(m->body, "\"Stage\":\"prefill\"") ||
        strstr(m->body, "\"Stage\":\"decode\"")) {
        const char *to =
            strstr(m->body, "\"Stage\":\"prefill\"") ? "prefill" : "decode";

        changes = strcmp(s->stage, to) != 0;
        snprintf(s->stage, sizeof(s->stage), "%s", to);
        if (changes) {
            s->busy_until_ms = now_ms() + STAGE_CHANGE_MS;
            s->orders++;
        }
    }
    pthread_mutex_unlock(&lock);
    record("%s carries out an order: %.160s", s->id, m->body);
    answer(ch, m, changes ? 202 : 200, "", "{}");
    if (changes) {
        register_server(s);
    }
}

/*
 * An extra, second answer to the run before on this channel. It bears that
 * run's id, as all answers of servers do.
 */
static void
send_late_answer(struct channel *ch, const struct http_msg *m)
{
    char fields[300];
    char line[128];

    snprintf(fields, sizeof(fields),
             "Request-Id: %s\r\nServer-Stamp: %s.%s\r\n"
             "Content-Type: text/event-stream\r\n",
             ch->last_id, ch->s->id, ch->last_id);
    snprintf(line, sizeof(line), "%.*s", (int)strcspn(m->head, "\r"), m->head);
    record("%s sends a second answer to %s late, as \"%s\" comes on its "
           "channel",
           ch->s->id, ch->last_id, line);
    http_answer(&ch->c, 200, fields, "id: 1\ndata: again\n\n", 21);
}

static void
handle_control(struct channel *ch, const struct http_msg *m)
{
    struct server *s = ch->s;
    char body[300];

    pthread_mutex_lock(&lock);
    if (s->late_answers && ch->last_id[0] &&
        ++s->calls % s->late_answers == 0) {
        pthread_mutex_unlock(&lock);
        send_late_answer(ch, m);
        ch->last_id[0] = 0;
    }
    else {
        pthread_mutex_unlock(&lock);
    }
    sleep_ms(s->control_ms);
    if (http_is(m, "GET", "/-/report")) {
        pthread_mutex_lock(&lock);
        snprintf(body, sizeof(body),
                 "{\"Stage\":\"%s\",\"Models\":[{\"Name\":\"m\",\"Version\":1,"
                 "\"Adapters\":[]}],\"Busy\":%s,\"Sequence\":%d,\"Queued\":0,"
                 "\"Active\":%d,\"KvUsed\":%d,\"KvCapacity\":90000,"
                 "\"KvHandles\":0,\"Runs\":[]}",
                 s->stage, now_ms() < s->busy_until_ms ? "true" : "false",
                 s->orders, s->running, s->running * 1500);
        pthread_mutex_unlock(&lock);
        answer(ch, m, 200, "Content-Type: application/json\r\n", body);
    }
    else if (http_is(m, "POST", "/-/hold-take")) {
        pthread_mutex_lock(&lock);
        snprintf(body, sizeof(body), "{\"Hold\":\"h%d%s\"}", ++s->held, s->id);
        pthread_mutex_unlock(&lock);
        answer(ch, m, 200, "Content-Type: application/json\r\n", body);
    }
    else if (http_is(m, "POST", "/-/order")) {
        start_order(ch, m);
    }
    else {
        answer(ch, m, 200, "Content-Type: application/json\r\n", "{}");
    }
}

static void
run_stream(struct channel *ch, const struct http_msg *m, const char *id)
{
    struct server *s = ch->s;
    char text[400];
    char event[128];

    snprintf(text, sizeof(text),
             "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\n"
             "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n"
             "Transfer-Encoding: chunked\r\n\r\n",
             id, s->id, id);
    (void)m;
    if (send_all(ch->c.fd, text, strlen(text))) {
        return;
    }
    for (int i = 1; i <= EVENTS; i++) {
        snprintf(event, sizeof(event), "id: %d\ndata: %s-%d\n\n", i, id, i);
        snprintf(text, sizeof(text), "%zx\r\n%s\r\n", strlen(event), event);
        if (send_all(ch->c.fd, text, strlen(text))) {
            return;
        }
        sleep_ms(EVENT_MS);
    }
    send_all(ch->c.fd, "0\r\n\r\n", 5);
}

static int
admit(struct server *s, const char *stage, int *wrong)
{
    int ok;

    pthread_mutex_lock(&lock);
    *wrong = s->stage[0] && strcmp(stage, s->stage) != 0;
    if (s->running >= s->slots && s->waiting < s->queue) {
        s->waiting++;
        while (s->running >= s->slots) {
            pthread_cond_wait(&slot_free, &lock);
        }
        s->waiting--;
    }
    ok = !*wrong && s->running < s->slots && now_ms() >= s->busy_until_ms;
    s->running += ok;
    pthread_mutex_unlock(&lock);
    return ok;
}

static void
handle_run(struct channel *ch, const struct http_msg *m)
{
    struct server *s = ch->s;
    char id[64];
    char stage[32];
    char counts[64];
    char fields[200];
    char body[300];
    int wrong;
    int reads_prompt;

    http_field(m, "Request-Id", id, sizeof(id));
    http_field(m, "Token-Counts", counts, sizeof(counts));
    reads_prompt = http_field(m, "Stage", stage, sizeof(stage));
    if (!admit(s, reads_prompt ? "prefill" : "decode", &wrong)) {
        record("%s rejects %s: %s", s->id, id, wrong ? "wrong stage" : "full");
        answer_client(ch, m, wrong ? 421 : 503, "Not-Executed: 1\r\n", "");
        return;
    }
    if (reads_prompt) {
        sleep_ms(atoi(counts) / 50);
        snprintf(body, sizeof(body),
                 "{\"HandleId\":\"k%s\",\"Tokens\":%d,\"Version\":1}", id,
                 atoi(counts));
        answer(ch, m, 200, "Content-Type: application/json\r\n", body);
    }
    else {
        char key[200];
        char tenant[64];

        http_field(m, "Tenant", tenant, sizeof(tenant));
        http_field(m, "Authorization", key, sizeof(key));
        note_run(id);
        record("%s runs %s, tenant %s", s->id, id, tenant);
        snprintf(ch->last_id, sizeof(ch->last_id), "%s", id);
        if (s->stage[0]) {
            run_stream(ch, m, id);
        }
        else {
            sleep_ms(s->work_ms);
            snprintf(fields, sizeof(fields), "Server-Stamp: %s.%s\r\n", s->id,
                     id);
            snprintf(body, sizeof(body), "done %s", id);
            answer_client(ch, m, 200, fields, body);
        }
    }
    pthread_mutex_lock(&lock);
    s->running--;
    pthread_cond_broadcast(&slot_free);
    pthread_mutex_unlock(&lock);
}

static void *
serve(void *arg)
{
    struct channel *ch = arg;
    struct http_msg m;

    while (http_read_request(&ch->c, &m) == 0) {
        char wanted[64];

        send_second(ch, &m);
        if (http_field(&m, "Expect-Instance", wanted, sizeof(wanted)) &&
            strcmp(wanted, ch->s->id) != 0) {
            char fields[128];

            snprintf(fields, sizeof(fields), "Instance-Id: %s\r\n", ch->s->id);
            answer(ch, &m, 421, fields, "");
        }
        else if (http_is(&m, "GET", "/health")) {
            char fields[128];

            snprintf(fields, sizeof(fields), "Instance-Id: %s\r\n", ch->s->id);
            answer(ch, &m, 200, fields, "");
        }
        else if (strstr(m.head, " /-/")) {
            handle_control(ch, &m);
        }
        else {
            handle_run(ch, &m);
        }
        http_msg_free(&m);
    }
    http_close(&ch->c);
    free(ch->second);
    free(ch);
    return NULL;
}

/** struct listener - a server and its socket. */
struct listener {
    struct server *s;
    int fd;
};

static void *
accept_all(void *arg)
{
    struct listener l = *(struct listener *)arg;
    int fd;

    free(arg);
    while ((fd = accept(l.fd, NULL, NULL)) >= 0) {
        struct channel *ch = calloc(1, sizeof(*ch));
        pthread_t id;

        ch->s = l.s;
        http_open(&ch->c, fd);
        if (pthread_create(&id, NULL, serve, ch) == 0) {
            pthread_detach(id);
        }
        else {
            http_close(&ch->c);
            free(ch);
        }
    }
    return NULL;
}

static void *
send_heartbeats(void *arg)
{
    for (;;) {
        register_server(arg);
        sleep_ms(HEARTBEAT_MS);
    }
    return NULL;
}

void
server_start(struct server *s)
{
    struct listener *l = malloc(sizeof(*l));
    struct timespec t;
    pthread_t id;

    clock_gettime(CLOCK_REALTIME, &t);
    s->born_ms = (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
    l->s = s;
    l->fd = listen_any(&s->port);
    pthread_create(&id, NULL, accept_all, l);
    pthread_detach(id);
    pthread_create(&id, NULL, send_heartbeats, s);
    pthread_detach(id);
}

/* Instances. */

static const char settings[] = "[relay]\n"
                               "name = %s\n"
                               "domain = %s\n"
                               "regions = coast-a:bc,coast-b:bc,coast-c:bc\n"
                               "cpu-share = 0.25\n"
                               "[listen]\n"
                               "callers = 127.0.0.1:%d\n"
                               "ready = 127.0.0.1:%d\n"
                               "ready-path = /-/ready\n"
                               "metrics = 127.0.0.1:%d\n"
                               "peers = 127.0.0.1:%d\n"
                               "[store]\n"
                               "address = 127.0.0.1:%d\n"
                               "[limits]\n"
                               "revocation-ms = 5000\n"
                               "retry-ratio = 0.2\n"
                               "retry-extra = 58\n"
                               "retry-window-s = 10\n"
                               "overage = 0.1\n"
                               "tolerance = 73000\n"
                               "cold-overage = \n"
                               "cold-tolerance = \n"
                               "lease-ms = 3000\n"
                               "grace-s = 8\n"
                               "[memory]\n"
                               "limit-mb = 260\n"
                               "descriptors = 4100\n";

void
instances_prepare(struct instance *all, int n, const char *dir, int store)
{
    static const char *const zones[] = {"coast-a", "coast-b", "coast-c"};

    for (int i = 0; i < n; i++) {
        struct instance *in = &all[i];
        FILE *f;

        in->zone = zones[i % 3];
        snprintf(in->name, sizeof(in->name), "front-%s-%d", in->zone,
                 i / 3 + 1);
        snprintf(in->settings, sizeof(in->settings), "%s/%s.ini", dir,
                 in->name);
        snprintf(in->log, sizeof(in->log), "%s/%s.log", dir, in->name);
        in->callers = free_port();
        in->ready = free_port();
        in->metrics = free_port();
        in->peers = free_port();
        f = fopen(in->settings, "w");
        if (!f) {
            perror(in->settings);
            exit(2);
        }
        fprintf(f, settings, in->name, in->zone, in->callers, in->ready,
                in->metrics, in->peers, store);
        fclose(f);
    }
}

void
instance_start(struct instance *i)
{
    pid_t parent = getpid();

    record("start %s", i->name);
    i->pid = fork();
    if (i->pid == 0) {
        int fd = open(i->log, O_WRONLY | O_CREAT | O_APPEND, 0644);

        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(2);
        }
        dup2(fd, 1);
        dup2(fd, 2);
        setenv("FUCHSIAWARD_CONFIG", i->settings, 1);
        execl("target/fuchsiawardd", "target/fuchsiawardd", (char *)NULL);
        _exit(2);
    }
}

void
instance_kill(struct instance *i, int sig)
{
    record("signal %d to %s", sig, i->name);
    if (i->pid > 0) {
        kill(i->pid, sig);
        if (sig == SIGKILL) {
            waitpid(i->pid, NULL, 0);
            i->pid = 0;
        }
    }
}

int
instance_is_ready(const struct instance *i)
{
    static const char request[] =
        "GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    struct http_conn c;
    struct http_msg m;
    int ok = 0;
    int fd = connect_to(i->ready, 500);

    if (fd < 0) {
        return 0;
    }
    http_open(&c, fd);
    c.deadline_ms = now_ms() + 1000;
    if (!send_all(fd, request, strlen(request)) &&
        !http_read_response(&c, &m)) {
        ok = m.status == 200;
        http_msg_free(&m);
    }
    http_close(&c);
    return ok;
}

int
wait_ready(struct instance *all, int n, int64_t timeout_ms)
{
    int64_t until = now_ms() + timeout_ms;

    for (int i = 0; i < n; i++) {
        while (!instance_is_ready(&all[i])) {
            if (now_ms() >= until) {
                return 0;
            }
            sleep_ms(50);
        }
    }
    return 1;
}

/* Clients. */

static void
new_id(char *id, size_t size)
{
    static unsigned n;
    unsigned mine;

    pthread_mutex_lock(&lock);
    mine = ++n;
    pthread_mutex_unlock(&lock);
    snprintf(id, size, "%08x%08x", (unsigned)started_ms * 2654435761u, mine);
}

static int
count_events(const char *body)
{
    int n = 0;

    for (const char *p = body; (p = strstr(p, "id: ")); p++) {
        n++;
    }
    return n;
}

void
ask(const struct instance *i, const char *method, const char *host,
    const char *path, const char *key, const char *extra, const char *body,
    int time_limit_ms, struct answer *a)
{
    struct http_conn c;
    struct http_msg m;
    char *text;
    int64_t from = now_ms();
    int fd = connect_to(i->callers, 1000);

    *a = (struct answer){0};
    new_id(a->id, sizeof(a->id));
    if (fd < 0) {
        return;
    }
    http_open(&c, fd);
    c.deadline_ms = from + time_limit_ms;
    if (asprintf(&text,
                 "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n"
                 "Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s"
                 "Content-Length: %zu\r\n\r\n%s",
                 method, path, host, a->id, time_limit_ms, key, extra,
                 strlen(body), body) > 0 &&
        !send_all(fd, text, strlen(text)) && !http_read_response(&c, &m)) {
        a->status = m.status;
        a->whole = m.whole;
        http_field(&m, "Server-Stamp", a->stamp, sizeof(a->stamp));
        http_field(&m, "Request-Id", a->echoed_id, sizeof(a->echoed_id));
        a->body_len = m.body_len;
        snprintf(a->body, sizeof(a->body), "%.*s",
                 (int)strcspn(m.body, "\n"), m.body);
        a->events = count_events(m.body);
        http_msg_free(&m);
    }
    free(text);
    http_close(&c);
    a->took_ms = now_ms() - from;
}
