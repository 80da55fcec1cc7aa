/*
 * A rolling restart: the instances of a zone get SIGTERM in turn, one each
 * second. A stream that an instance takes and passes on later than 3 s after
 * its SIGTERM may not be cut by its end.
 *
 * Callers reach the instances as the platform sends them: it asks each for
 * /-/ready once a second, and an instance that has missed twice gets no new
 * connections, unless fewer than half of the zone's are in rotation. If none
 * is, they go to the nearest zone.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "review/lab/cases.h"
#include "review/lab/deployment.h"

/* In the zone that is restarted, and in the nearest one. */
#define INSTANCES 5
#define OTHERS 1
#define SERVERS 6
#define CALLERS 40
#define WARMUP_MS 8000
/* roll_term of fhl-coastal: one at a time, each 1.0 s. */
#define GAP_MS 1000
#define RESTART_DELAY_MS 300
#define PLAYED_MS 44000
#define TIME_LIMIT_MS 14000
#define GRACE_MS 8000
/* Requests up to this long after SIGTERM are excused, see RULES.md. */
#define EXCUSED_MS 3000
#define ROUNDS 2
#define ROUND_MS 20000

static GHashTable *ran;
static GMutex ran_lock;
/* Of the process that runs; 0 before it. */
static gint sigterm_ms[INSTANCES + OTHERS];
static gint misses[INSTANCES + OTHERS];
static int n_lost;
static int n_excused;
static int stop_balancer;

static void
on_run(struct lab_server *s, const char *id)
{
    Lab_Note("%s runs %s", Lab_Server_Opts(s)->id, id);
    g_mutex_lock(&ran_lock);
    g_hash_table_add(ran, g_strdup(id));
    g_mutex_unlock(&ran_lock);
}

static int
has_run(const char *id)
{
    int found;

    g_mutex_lock(&ran_lock);
    found = g_hash_table_contains(ran, id);
    g_mutex_unlock(&ran_lock);
    return found;
}

static gpointer
ask_for_readiness(gpointer data)
{
    (void)data;
    while (!g_atomic_int_get(&stop_balancer)) {
        for (int i = 0; i < INSTANCES + OTHERS; i++) {
            int ok = Lab_IsReady(&lab.instances[i]);

            g_atomic_int_set(&misses[i],
                             ok ? 0 : g_atomic_int_get(&misses[i]) + 1);
        }
        g_usleep(1000000);
    }
    return NULL;
}

/* The instance that a new connection goes to. */
static int
choose_instance(void)
{
    int in_rotation[INSTANCES];
    int n = 0;

    for (int i = 0; i < INSTANCES; i++) {
        if (g_atomic_int_get(&misses[i]) < 2) {
            in_rotation[n++] = i;
        }
    }
    if (!n) {
        return INSTANCES;
    }
    return n * 2 < INSTANCES ? g_random_int_range(0, INSTANCES)
                             : in_rotation[g_random_int_range(0, n)];
}

/* What a caller saw of a stream that ended without its end. */
static void
judge(const struct lab_answer *a, int sigterm)
{
    int64_t after_ms = a->sent_ms - sigterm;

    if (!sigterm || a->sent_ms + a->took_ms < sigterm ||
        a->sent_ms + a->took_ms > sigterm + GRACE_MS + 1000) {
        Lab_Note("  not beside a SIGTERM of its instance");
        return;
    }
    if (after_ms <= EXCUSED_MS) {
        g_atomic_int_inc(&n_excused);
        Lab_Note("  cut at a stop, but sent early enough to be excused");
        return;
    }
    g_atomic_int_inc(&n_lost);
    Lab_Note("  sent %d ms after the SIGTERM, passed on to a server that was "
             "at work, and cut: BROKEN",
             (int)after_ms);
}

static void
ask(struct lab_thread *t)
{
    g_usleep((gulong)g_random_int_range(0, 5000000));
    while (!g_atomic_int_get(&t->stop)) {
        int at = choose_instance();
        struct lab_answer a;
        char path[64];
        char id[32];
        int sigterm;

        t->instance = &lab.instances[at];
        t->caller.port = t->instance->callers_port;
        Lab_NewId(id);
        g_snprintf(path, sizeof(path), "/lohu930/2f?events=%d",
                   g_random_int_range(40, 56));
        Lab_Caller_Ask(&t->caller, id, "GET", path, TIME_LIMIT_MS, "", &a);
        sigterm = g_atomic_int_get(&sigterm_ms[at]);
        Lab_NoteAnswer(t, &a);
        if (a.end == LAB_CUT && has_run(id)) {
            judge(&a, sigterm);
        }
        Lab_Caller_Close(&t->caller);
        g_usleep((gulong)g_random_int_range(50000, 400000));
    }
}

static gboolean
start_again(gpointer data)
{
    struct lab_instance *i = data;

    g_atomic_int_set(&sigterm_ms[i - lab.instances], 0);
    Lab_Spawn(i);
    return G_SOURCE_REMOVE;
}

static gboolean
await_end(gpointer data)
{
    struct lab_instance *i = data;

    if (waitpid(i->pid, NULL, WNOHANG) == 0) {
        return G_SOURCE_CONTINUE;
    }
    Lab_Note("%s has ended", i->name);
    g_timeout_add(RESTART_DELAY_MS, start_again, i);
    return G_SOURCE_REMOVE;
}

static gboolean
stop_next(gpointer data)
{
    static int next;
    struct lab_instance *i = &lab.instances[next++ % INSTANCES];

    (void)data;
    g_atomic_int_set(&sigterm_ms[i - lab.instances], (gint)Lab_NowMs());
    Lab_Signal(i, SIGTERM);
    g_timeout_add(20, await_end, i);
    return next % INSTANCES ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

static gboolean
roll(gpointer data)
{
    static int round;

    (void)data;
    g_timeout_add(GAP_MS, stop_next, NULL);
    return ++round < ROUNDS ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

int
Case_StreamsAtStop(void)
{
    static const char *const zones[] = {"coast-a", "coast-a", "coast-a",
                                        "coast-a", "coast-a", "coast-b"};
    struct lab_thread callers[CALLERS] = {0};
    /* Streams of 4.0 to 5.6 s: events, one each 100 ms. */
    struct lab_server_opts o = {.service = LAB_SERVICE,
                                .zone = "coast-a",
                                .slots = 16,
                                .head_ms = 50,
                                .pieces = 50,
                                .piece_bytes = 350,
                                .gap_ms = 100,
                                .is_stream = 1};
    GThread *balancer;

    ran = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    Lab_PutConfig("{\"Name\":\"r-aj3nr26\",\"Host\":\"" LAB_HOST
                  "\",\"PathPrefix\":\"/lohu930/\",\"Kind\":\"streaming\","
                  "\"TimeoutMs\":14000,\"TargetLatencyMs\":900,"
                  "\"Priority\":1,\"Service\":\"" LAB_SERVICE
                  "\",\"Attempts\":1,\"AllowAnonymous\":false,"
                  "\"StickySessions\":false,\"Resumable\":false,"
                  "\"TargetGapMs\":300}");
    for (int i = 0; i < SERVERS; i++) {
        g_snprintf(o.id, sizeof(o.id), "i-7f3a91c%d", i);
        Lab_Server_Register(Lab_Server_New(&o, on_run));
    }
    Lab_StartInstances(INSTANCES + OTHERS, zones);
    if (!Lab_WaitReady(10000)) {
        return LAB_NOT_RUN;
    }
    balancer = g_thread_new("balancer", ask_for_readiness, NULL);
    for (int i = 0; i < CALLERS; i++) {
        Lab_Thread_Start(&callers[i], 0, ask);
    }
    Lab_RunUntil(NULL, WARMUP_MS);
    if (lab.trouble) {
        roll(NULL);
        g_timeout_add(ROUND_MS, roll, NULL);
    }
    Lab_RunUntil(NULL, PLAYED_MS);
    for (int i = 0; i < CALLERS; i++) {
        g_atomic_int_set(&callers[i].stop, 1);
    }
    Lab_RunUntil(NULL, 6000);
    for (int i = 0; i < CALLERS; i++) {
        Lab_Thread_Stop(&callers[i]);
    }
    g_atomic_int_set(&stop_balancer, 1);
    g_thread_join(balancer);
    Lab_Note("%d streams that were sent later than %d ms after the SIGTERM of "
             "their instance were cut; %d that were sent before are excused",
             n_lost, EXCUSED_MS, n_excused);
    return n_lost ? LAB_BROKEN : LAB_HELD;
}
