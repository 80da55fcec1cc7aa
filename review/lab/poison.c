/*
 * A request crashes each server that begins to run it, and comes again. All
 * processes of the system are killed at once, twice. The request may reach
 * servers in three retries at most after it has crashed the third.
 */
#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#include "review/lab/cases.h"
#include "review/lab/deployment.h"

#define INSTANCES 3
#define SERVERS 6
#define CALLERS_EACH 5
#define POISON "/pule252/poison"
#define AGAIN_MS 4500
#define BACK_MS 3000
#define EXPIRY_MS 3600
#define DOWN_MS 950
#define STABLE_WINDOW_MS 3000
#define RETRIES_MAX 3
#define PLAYED_MS 75000

static int n_servers;
static int n_crashes;
static int n_retries;
static int n_lost;
static int64_t third_ms;
static int64_t started_ms;
static GHashTable *poisons;
static GMutex poisons_lock;

static void
on_run(struct lab_server *s, const char *id);

static void
add_server(void)
{
    static const char *const zones[] = {"coast-a", "coast-b", "coast-c"};
    struct lab_server_opts o = {.service = LAB_SERVICE,
                                .zone = zones[n_servers % 3],
                                .slots = 6,
                                .head_ms = 200,
                                .pieces = 1,
                                .piece_bytes = 800,
                                .gap_ms = 5};

    g_snprintf(o.id, sizeof(o.id), "i-%08x", 0x7f3a9000 + n_servers++);
    Lab_Server_Register(Lab_Server_New(&o, on_run));
}

static gboolean
expire(gpointer data)
{
    Lab_Server_Unregister(data);
    return G_SOURCE_REMOVE;
}

static gboolean
come_back(gpointer data)
{
    (void)data;
    add_server();
    return G_SOURCE_REMOVE;
}

static gboolean
crash(gpointer data)
{
    Lab_Server_Crash(data);
    g_timeout_add(BACK_MS, come_back, NULL);
    g_timeout_add(EXPIRY_MS, expire, data);
    return G_SOURCE_REMOVE;
}

static int
is_poison(const char *id)
{
    int found;

    g_mutex_lock(&poisons_lock);
    found = g_hash_table_contains(poisons, id);
    g_mutex_unlock(&poisons_lock);
    return found;
}

static void
on_run(struct lab_server *s, const char *id)
{
    int64_t now = Lab_NowMs();

    if (!is_poison(id)) {
        Lab_Note("%s runs %s", Lab_Server_Opts(s)->id, id);
        return;
    }
    n_crashes++;
    Lab_Note("%s begins to run %s, which crashes it: crash %d",
             Lab_Server_Opts(s)->id, id, n_crashes);
    if (n_crashes == 3) {
        third_ms = now;
    }
    if (third_ms && now > third_ms + STABLE_WINDOW_MS &&
        now > started_ms + STABLE_WINDOW_MS) {
        n_retries++;
        Lab_Note("  retry %d after it had crashed the third, sent by a "
                 "machine in touch%s",
                 n_retries, n_retries > RETRIES_MAX ? ": BROKEN" : "");
    }
    g_timeout_add(20, crash, s);
}

static void
ask(struct lab_thread *t)
{
    while (!g_atomic_int_get(&t->stop)) {
        struct lab_answer a;
        char id[32];

        Lab_NewId(id);
        Lab_Caller_Ask(&t->caller, id, "POST", "/pule252/2f", 3000,
                       "Content-Length: 0\r\n", &a);
        Lab_NoteAnswer(t, &a);
        if (a.status == 502) {
            g_atomic_int_inc(&n_lost);
        }
        g_usleep(100000);
    }
}

static void
ask_poison(struct lab_thread *t)
{
    int next = 0;

    while (!g_atomic_int_get(&t->stop)) {
        struct lab_answer a;
        char id[32];

        t->instance = &lab.instances[next++ % INSTANCES];
        t->caller.port = t->instance->callers_port;
        Lab_NewId(id);
        g_mutex_lock(&poisons_lock);
        g_hash_table_add(poisons, g_strdup(id));
        g_mutex_unlock(&poisons_lock);
        Lab_Caller_Ask(&t->caller, id, "POST", POISON, 3000,
                       "Content-Length: 0\r\n", &a);
        Lab_NoteAnswer(t, &a);
        Lab_Caller_Close(&t->caller);
        for (int ms = 0; ms < AGAIN_MS && !g_atomic_int_get(&t->stop);
             ms += 100) {
            g_usleep(100000);
        }
    }
}

static gboolean
start_all(gpointer data)
{
    (void)data;
    for (int i = 0; i < INSTANCES; i++) {
        Lab_Spawn(&lab.instances[i]);
    }
    started_ms = Lab_NowMs();
    return G_SOURCE_REMOVE;
}

static gboolean
kill_all(gpointer data)
{
    (void)data;
    for (int i = 0; i < INSTANCES; i++) {
        Lab_Signal(&lab.instances[i], SIGKILL);
        waitpid(lab.instances[i].pid, NULL, 0);
    }
    g_timeout_add(DOWN_MS, start_all, NULL);
    return G_SOURCE_REMOVE;
}

int
Case_Poison(void)
{
    static const char *const zones[] = {"coast-a", "coast-b", "coast-c"};
    struct lab_thread callers[INSTANCES * CALLERS_EACH + 1] = {0};
    int n = INSTANCES * CALLERS_EACH;

    poisons = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    Lab_PutConfig("{\"Name\":\"r-order\",\"Host\":\"" LAB_HOST
                  "\",\"PathPrefix\":\"/pule252/\",\"Kind\":\"unsafe\","
                  "\"TimeoutMs\":1500,\"TargetLatencyMs\":300,\"Priority\":2,"
                  "\"Service\":\"" LAB_SERVICE
                  "\",\"Attempts\":1,\"AllowAnonymous\":false,"
                  "\"StickySessions\":false,\"Resumable\":false}");
    for (int i = 0; i < SERVERS; i++) {
        add_server();
    }
    Lab_StartInstances(INSTANCES, zones);
    started_ms = Lab_NowMs();
    if (!Lab_WaitReady(10000)) {
        return LAB_NOT_RUN;
    }
    Lab_RunUntil(NULL, STABLE_WINDOW_MS);
    for (int i = 0; i < n; i++) {
        Lab_Thread_Start(&callers[i], i / CALLERS_EACH, ask);
    }
    Lab_Thread_Start(&callers[n], 0, ask_poison);
    if (lab.trouble) {
        g_timeout_add(18000, kill_all, NULL);
        g_timeout_add(46000, kill_all, NULL);
    }
    Lab_RunUntil(NULL, PLAYED_MS);
    for (int i = 0; i <= n; i++) {
        Lab_Thread_Stop(&callers[i]);
    }
    Lab_Note("%d servers crashed; %d retries reached servers after the third; "
             "%d orders of others were answered 502",
             n_crashes, n_retries, n_lost);
    return n_retries > RETRIES_MAX ? LAB_BROKEN : LAB_HELD;
}
