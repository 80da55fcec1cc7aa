#define _GNU_SOURCE
#include "cases.h"

#include <math.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "http.h"
#include "store.h"

#define N_INSTANCES 3
#define HOST "ficu95.example"
#define KEY_A "3d3zji9n73hh2b9wu3fe"
#define KEY_B "xd9dnn2ctnfzs989anu6"

static struct instance instances[INSTANCES_MAX];
static int n_instances = N_INSTANCES;

static void
put_config(int version, const char *routes, const char *keys)
{
    char *text;

    if (asprintf(&text,
                 "{\"Version\":%d,\"Routes\":[%s],\"Services\":[{\"Name\":"
                 "\"tutor-models\",\"HealthCheckPath\":\"/health\","
                 "\"MaxConnections\":180,\"Protocol\":\"h1\",\"Tls\":false,"
                 "\"Engine\":{\"Slots\":16,\"KvCapacityTokens\":90000,"
                 "\"KvTokenBytes\":262144,\"LinkMbps\":7000000.0,\"Moves\":"
                 "false,\"Backups\":false,\"Stride\":72,\"most\":12,"
                 "\"HandleTtlS\":0.5,\"RoleSwitchS\":1.0,\"PinMs\":4000.0,"
                 "\"HoldMs\":2000.0,\"Models\":[{\"Name\":\"m\"}]}},{\"Name\":"
                 "\"records-app\",\"HealthCheckPath\":\"/health\","
                 "\"MaxConnections\":110,\"Protocol\":\"h1\",\"Tls\":false}],"
                 "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":"
                 "4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
                 "\"Tenants\":[{\"Name\":\"huka270\",\"ApiKeys\":[%s],"
                 "\"Priority\":1,\"Unit\":\"tokens\",\"UncachedTokens\":200,"
                 "\"RatePerS\":1428510,\"Burst\":1428510}]}",
                 version, routes, keys) < 0) {
        exit(2);
    }
    store_put("keyed.op", "config", text);
    record("ack of configuration %d", version);
    free(text);
}

#define STREAM_ROUTE                                                          \
    "{\"Name\":\"r-aj3nr26\",\"Host\":\"" HOST                                \
    "\",\"PathPrefix\":\"/lohu930/\",\"Kind\":\"streaming\",\"TimeoutMs\":"   \
    "14000,\"TargetLatencyMs\":900,\"Priority\":1,\"Service\":"               \
    "\"tutor-models\",\"Attempts\":1,\"AllowAnonymous\":false,"               \
    "\"StickySessions\":true,\"Resumable\":false,\"TargetGapMs\":300}"
#define UNSAFE_ROUTE                                                          \
    "{\"Name\":\"r-bk4os37\",\"Host\":\"" HOST                                \
    "\",\"PathPrefix\":\"/pule252/\",\"Kind\":\"unsafe\",\"TimeoutMs\":1500," \
    "\"TargetLatencyMs\":300,\"Priority\":2,\"Service\":\"records-app\","     \
    "\"Attempts\":1,\"AllowAnonymous\":false}"

#define ORDER_ROUTE                                                           \
    "{\"Name\":\"r-dm6qu59\",\"Host\":\"" HOST                                \
    "\",\"PathPrefix\":\"/orders/\",\"Kind\":\"unsafe\",\"TimeoutMs\":600,"  \
    "\"TargetLatencyMs\":100,\"Priority\":2,\"Service\":\"records-app\","     \
    "\"Attempts\":1,\"AllowAnonymous\":false}"

static void
start_plain_servers(void)
{
    static struct server all[] = {
        {.id = "i-1a", .service = "records-app", .zone = "coast-a"},
        {.id = "i-2b", .service = "records-app", .zone = "coast-b"},
        {.id = "i-3c", .service = "records-app", .zone = "coast-c"},
        {.id = "i-4a", .service = "records-app", .zone = "coast-a"},
    };

    for (size_t i = 0; i < sizeof(all) / sizeof(all[0]); i++) {
        all[i].slots = 6;
        all[i].work_ms = 60;
        server_start(&all[i]);
    }
}

static int
start_instances(const char *dir, int store)
{
    instances_prepare(instances, n_instances, dir, store);
    for (int i = 0; i < n_instances; i++) {
        instance_start(&instances[i]);
    }
    if (!wait_ready(instances, n_instances, 15000)) {
        record("the instances do not get ready");
        return -1;
    }
    sleep_ms(4000);
    return 0;
}

static void
end_instances(void)
{
    for (int i = 0; i < n_instances; i++) {
        if (instances[i].pid > 0) {
            instance_kill(&instances[i], SIGKILL);
        }
    }
}

static void
record_answer(const struct answer *a, const struct instance *i)
{
    record("%s at %s: status %d, %s, stamp \"%s\", answer's id \"%s\", %zu "
           "bytes beginning \"%.60s\", %d events, %lld ms",
           a->id, i->name, a->status, a->whole ? "whole" : "cut", a->stamp,
           a->echoed_id, a->body_len, a->body, a->events,
           (long long)a->took_ms);
}

/*
 * A second answer of a server to a finished run comes on the run's channel
 * while the router waits there for the answer to a call of its own.
 */

#define STREAMS_PER_S 28
#define STREAMS_S 66
/* The trouble: 5 s of every 6, for 1 of 34 answers. */
#define TROUBLE_S 5
#define TROUBLE_EVERY_S 6
#define TROUBLE_ONE_OF 34

static pthread_mutex_t count_lock = PTHREAD_MUTEX_INITIALIZER;
static int n_open;
static int n_good;
static int n_other;
static int n_mixed;

static void *
ask_stream(void *arg)
{
    struct instance *i = arg;
    struct answer a;
    static int n;
    char extra[200];
    int is_mixed;

    pthread_mutex_lock(&count_lock);
    n++;
    snprintf(extra, sizeof(extra),
             "Model: m\r\nToken-Counts: 1500,80\r\nPrompt-Prefix: "
             "5c1e07a2:200,%08x:1300\r\n",
             0x10000 + n);
    pthread_mutex_unlock(&count_lock);
    ask(i, "POST", HOST, "/lohu930/2f", KEY_A, extra, "a survey", 14000, &a);
    is_mixed = a.status / 100 == 2 && a.whole &&
               (!a.stamp[0] || !strstr(a.stamp, a.id));
    pthread_mutex_lock(&count_lock);
    n_mixed += is_mixed;
    n_good += !is_mixed && a.status == 200 && a.whole;
    n_other += !is_mixed && !(a.status == 200 && a.whole);
    n_open--;
    pthread_mutex_unlock(&count_lock);
    record_answer(&a, i);
    if (is_mixed) {
        record("MIXED: %s got a success without its server's stamp", a.id);
    }
    return NULL;
}

int
run_late_answer(int trouble, const char *dir)
{
    static struct server all[] = {
        {.id = "i-p1", .zone = "coast-a", .stage = "prefill"},
        {.id = "i-d1", .zone = "coast-b", .stage = "decode"},
        {.id = "i-d2", .zone = "coast-c", .stage = "decode"},
        {.id = "i-d3", .zone = "coast-a", .stage = "decode"},
    };
    unsigned seed = (unsigned)now_ms();
    int store = store_start();
    int64_t from;

    srand48((long)seed);
    for (size_t i = 0; i < sizeof(all) / sizeof(all[0]); i++) {
        all[i].service = "tutor-models";
        all[i].slots = 16;
        all[i].control_ms = 30;
        server_start(&all[i]);
    }
    put_config(1, STREAM_ROUTE, "\"" KEY_A "\"");
    if (start_instances(dir, store)) {
        return 2;
    }
    from = now_ms();
    while (now_ms() - from < STREAMS_S * 1000) {
        int64_t at = (now_ms() - from) % (TROUBLE_EVERY_S * 1000);
        pthread_t id;

        for (size_t i = 1; i < 3; i++) {
            all[i].late_answers =
                trouble && at < TROUBLE_S * 1000 ? TROUBLE_ONE_OF : 0;
        }
        pthread_mutex_lock(&count_lock);
        n_open++;
        pthread_mutex_unlock(&count_lock);
        if (pthread_create(&id, NULL, ask_stream,
                           &instances[rand_r(&seed) % n_instances])) {
            return 2;
        }
        pthread_detach(id);
        sleep_ms((int64_t)(-log(drand48()) * 1000 / STREAMS_PER_S));
    }
    for (int64_t until = now_ms() + 15000; n_open && now_ms() < until;) {
        sleep_ms(50);
    }
    record("%d streams answered by their server, %d mixed, %d rejected or cut",
           n_good, n_mixed, n_other);
    end_instances();
    return n_mixed ? 1 : n_good > n_other ? 0 : 2;
}

/*
 * A server sends the answer with which it has rejected a request a second
 * time, late: when that request comes again on the same channel.
 */

#define ORDERS_PER_S 760
#define ORDERS_S 75
#define ORDERS_MAX 120000

static struct answer *orders;
static int n_orders;

static void *
ask_order(void *arg)
{
    struct instance *i = arg;
    struct answer a;

    ask(i, "POST", HOST, "/orders/2f", KEY_A, "", "reserve", 600, &a);
    pthread_mutex_lock(&count_lock);
    orders[n_orders++] = a;
    n_open--;
    pthread_mutex_unlock(&count_lock);
    if (a.status != 200) {
        record_answer(&a, i);
    }
    return NULL;
}

static int
is_refusal(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

/* Return: number of orders of which a rule was broken. */
static int
check_orders(void)
{
    int n[600] = {0};
    int twice = 0;
    int refused = 0;

    for (int i = 0; i < n_orders; i++) {
        const struct answer *a = &orders[i];
        int runs = runs_of(a->id);

        n[a->status % 600]++;
        if (runs > 1) {
            record("TWICE: %s has run %d times, its client got %d", a->id,
                   runs, a->status);
            twice++;
        }
        if (runs > 0 && is_refusal(a->status)) {
            record("REFUSED: %s has run, its client got %d", a->id, a->status);
            refused++;
        }
    }
    record("%d orders: 200 %d, 503 %d, 502 %d, 504 %d, cut %d; run twice %d, "
           "refused and run %d",
           n_orders, n[200], n[503], n[502], n[504], n[0], twice, refused);
    return twice + refused;
}

int
run_late_refusal(int trouble, const char *dir)
{
    static struct server all[] = {
        {.id = "i-1a", .zone = "coast-a"},
        {.id = "i-2b", .zone = "coast-b"},
    };
    unsigned seed = (unsigned)now_ms();
    int store = store_start();
    int64_t from;
    int broken;

    n_instances = INSTANCES_MAX;
    srand48((long)seed);
    srand(seed);
    orders = calloc(ORDERS_MAX, sizeof(*orders));
    for (size_t i = 0; i < sizeof(all) / sizeof(all[0]); i++) {
        all[i].service = "records-app";
        all[i].slots = 6;
        all[i].queue = 2;
        all[i].work_ms = 15;
        server_start(&all[i]);
    }
    put_config(1, ORDER_ROUTE, "\"" KEY_A "\"");
    if (start_instances(dir, store)) {
        return 2;
    }
    from = now_ms();
    while (now_ms() - from < ORDERS_S * 1000 && n_orders < ORDERS_MAX - 1000) {
        int64_t at = (now_ms() - from) % (TROUBLE_EVERY_S * 1000);
        pthread_t id;

        all[0].second_answers =
            trouble && at < TROUBLE_S * 1000 ? TROUBLE_ONE_OF : 0;
        pthread_mutex_lock(&count_lock);
        n_open++;
        pthread_mutex_unlock(&count_lock);
        if (pthread_create(&id, NULL, ask_order,
                           &instances[rand_r(&seed) % n_instances])) {
            return 2;
        }
        pthread_detach(id);
        sleep_us((int64_t)(-log(drand48()) * 1000000 / ORDERS_PER_S));
    }
    for (int64_t until = now_ms() + 6000; n_open && now_ms() < until;) {
        sleep_ms(50);
    }
    sleep_ms(1000);
    broken = check_orders();
    end_instances();
    return broken > 0;
}

/* Requests with @key at all instances in turn. Return: number of 200s. */
static int
ask_in_turn(int n, int pause_ms, const char *path, const char *key, int *ran)
{
    int good = 0;

    *ran = 0;
    for (int i = 0; i < n; i++) {
        struct answer a;

        ask(&instances[i % n_instances], "POST", HOST, path, key, "", "issue",
            3000, &a);
        good += a.status == 200 && a.whole && strstr(a.stamp, a.id) != NULL;
        *ran += runs_of(a.id);
        record_answer(&a, &instances[i % n_instances]);
        sleep_ms(pause_ms);
    }
    return good;
}

/*
 * The list of servers holds an entry of another writer under a key of 99
 * bytes, and all processes are killed and started again.
 */

#define RECOVERY_MS 12000
#define ASKED 60

int
run_long_key(int trouble, const char *dir)
{
    static const char key[] =
        "inventory-export/asbestos-training-records/coastal-region/"
        "2026-12-05T07:13:42Z/batch-000000000017/x";
    int store = store_start();
    int ran;
    int before;
    int after;

    start_plain_servers();
    put_config(1, UNSAFE_ROUTE, "\"" KEY_A "\"");
    if (start_instances(dir, store)) {
        return 2;
    }
    before = ask_in_turn(ASKED, 50, "/pule252/2f", KEY_A, &ran);
    record("%d of %d requests served before", before, ASKED);
    if (trouble) {
        store_put("keyed.servers", key, "{\"exported\":17}");
        record("another writer's entry under a key of %zu bytes", strlen(key));
    }
    sleep_ms(3000);
    for (int i = 0; i < n_instances; i++) {
        instance_kill(&instances[i], SIGKILL);
    }
    sleep_ms(1000);
    for (int i = 0; i < n_instances; i++) {
        instance_start(&instances[i]);
    }
    sleep_ms(RECOVERY_MS);
    after = ask_in_turn(ASKED, 200, "/pule252/2f", KEY_A, &ran);
    record("%d of %d requests served from %d s after the processes were back",
           after, ASKED, RECOVERY_MS / 1000);
    end_instances();
    if (before < ASKED / 2) {
        return 2;
    }
    return after * 4 < ASKED;
}

/*
 * A configuration takes a key away and adds a route whose path prefix has 103
 * bytes, or a short one.
 */

#define REVOCATION_MS 5000

int
run_long_prefix(int trouble, const char *dir)
{
    static const char long_prefix[] =
        "/api/v2/organisations/fraserlight/training/asbestos-awareness/"
        "certificates/enrolments/submissions/2026/";
    const char *prefix = trouble ? long_prefix : "/api/v2/submissions/2026/";
    char path[200];
    int store = store_start();
    char *routes;
    int ran;
    int good;
    int late;

    start_plain_servers();
    put_config(1, UNSAFE_ROUTE, "\"" KEY_A "\",\"" KEY_B "\"");
    if (start_instances(dir, store)) {
        return 2;
    }
    good = ask_in_turn(30, 50, "/pule252/2f", KEY_B, &ran);
    record("%d of 30 requests with the second key served before", good);
    if (good < 15) {
        return 2;
    }
    if (asprintf(&routes,
                 UNSAFE_ROUTE ",{\"Name\":\"r-cl5pt48\",\"Host\":\"" HOST
                              "\",\"PathPrefix\":\"%s\",\"Kind\":\"unsafe\","
                              "\"TimeoutMs\":1500,\"TargetLatencyMs\":300,"
                              "\"Priority\":2,\"Service\":\"records-app\","
                              "\"Attempts\":1,\"AllowAnonymous\":false}",
                 prefix) < 0) {
        return 2;
    }
    put_config(4, routes, "\"" KEY_A "\"");
    record("it takes the second key away and adds a route with a prefix of "
           "%zu bytes",
           strlen(prefix));
    sleep_ms(REVOCATION_MS + 1000);
    good = ask_in_turn(60, 200, "/pule252/2f", KEY_B, &late);
    record("%d requests with the key that was taken away ran, %d served",
           late, good);
    snprintf(path, sizeof(path), "%s2f", prefix);
    good = ask_in_turn(30, 50, path, KEY_A, &ran);
    record("%d of 30 requests on the new route served", good);
    end_instances();
    return late > 0;
}
