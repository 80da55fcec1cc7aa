/*
 * Streams that may be resumed, at a service without model engines. The
 * traffic shifts to long prompts and long answers: the first event comes
 * later, or more events follow. A response that is being passed on may not be
 * cut while its server is at work on it.
 */
#include <stdlib.h>
#include <string.h>

#include "review/lab/cases.h"
#include "review/lab/deployment.h"

#define INSTANCES 3
#define SERVERS 4
#define CALLERS_EACH 3
#define SHORT_MS 4000
#define PLAYED_MS 20000
#define TIME_LIMIT_MS 14000
/* Of requests of kept connections, by machine. */
#define UNANSWERED_MAX 3

/* By request: it has begun to run. */
static GHashTable *ran;
static GMutex ran_lock;
static int n_asked;
static int n_unanswered[INSTANCES];
static int n_without_event;

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

/*
 * Short: the first event after 60 ms, then 5 more, one each 30 ms. Long
 * prompts have the first event after 600 ms, within the objective of 900 ms;
 * long answers have 40 events.
 */
static void
start_servers(void)
{
    static const char *const zones[] = {"coast-a", "coast-b", "coast-c"};
    struct lab_server_opts o = {.service = LAB_SERVICE,
                                .slots = 16,
                                .head_ms = 30,
                                .pieces = 6,
                                .piece_bytes = 350,
                                .gap_ms = 30,
                                .is_stream = 1};

    for (int i = 0; i < SERVERS; i++) {
        o.zone = zones[i % 3];
        g_snprintf(o.id, sizeof(o.id), "i-7f3a91c%d", i);
        Lab_Server_Register(Lab_Server_New(&o, on_run));
    }
}

/* Of the requests on each connection every second one is long. */
static const char *
choose_path(const struct lab_caller *c)
{
    if (!lab.trouble || Lab_NowMs() < SHORT_MS || !c->used) {
        return "/pufi791/2f";
    }
    return g_random_boolean() ? "/pufi791/2f?first-event-ms=600"
                              : "/pufi791/2f?events=40";
}

static void
ask(struct lab_thread *t)
{
    int instance = (int)(t->instance - lab.instances);

    while (!g_atomic_int_get(&t->stop)) {
        struct lab_answer a;
        char id[32];

        Lab_NewId(id);
        Lab_Caller_Ask(&t->caller, id, "POST", choose_path(&t->caller),
                       TIME_LIMIT_MS,
                       "Model: m\r\nToken-Counts: 1460,80\r\n"
                       "Prompt-Prefix: 5c1e07a2:800,91bd3f06:660\r\n"
                       "Content-Length: 0\r\n",
                       &a);
        Lab_NoteAnswer(t, &a);
        g_atomic_int_inc(&n_asked);
        if (a.is_kept && has_run(id) &&
            (a.end == LAB_CUT || a.end == LAB_NO_ANSWER)) {
            g_atomic_int_inc(&n_unanswered[instance]);
            g_atomic_int_add(&n_without_event, a.bytes == 0);
            Lab_Note("  its connection was closed while the server was at "
                     "work on it%s",
                     a.bytes ? "" : ", before any event");
        }
        g_usleep(30000);
    }
}

int
Case_LongAnswers(void)
{
    static const char *const zones[] = {"coast-a", "coast-b", "coast-c"};
    struct lab_thread callers[INSTANCES * CALLERS_EACH] = {0};
    int broken = 0;

    ran = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    Lab_PutConfig("{\"Name\":\"r-tta828m\",\"Host\":\"" LAB_HOST
                  "\",\"PathPrefix\":\"/pufi791/\",\"Kind\":\"streaming\","
                  "\"TimeoutMs\":14000,\"TargetLatencyMs\":900,"
                  "\"Priority\":1,\"Service\":\"" LAB_SERVICE
                  "\",\"Attempts\":2,\"AllowAnonymous\":false,"
                  "\"StickySessions\":true,\"Resumable\":true,"
                  "\"TargetGapMs\":300}");
    start_servers();
    Lab_StartInstances(INSTANCES, zones);
    if (!Lab_WaitReady(10000)) {
        return LAB_NOT_RUN;
    }
    for (int i = 0; i < INSTANCES * CALLERS_EACH; i++) {
        Lab_Thread_Start(&callers[i], i / CALLERS_EACH, ask);
    }
    Lab_RunUntil(NULL, PLAYED_MS);
    for (int i = 0; i < INSTANCES * CALLERS_EACH; i++) {
        Lab_Thread_Stop(&callers[i]);
    }
    for (int i = 0; i < INSTANCES; i++) {
        Lab_Note("%s closed %d kept connections without the answer to a "
                 "request that it had passed on to a sound server%s",
                 lab.instances[i].name, n_unanswered[i],
                 n_unanswered[i] > UNANSWERED_MAX ? ": BROKEN" : "");
        broken |= n_unanswered[i] > UNANSWERED_MAX;
    }
    Lab_Note("%d requests were sent; %d of these callers got no event at all",
             n_asked, n_without_event);
    return broken ? LAB_BROKEN : LAB_HELD;
}
