/*
 * Another writer has put an entry among those of the servers, whose bytes
 * can't be read. Later all processes are killed at once and started again:
 * they have to serve as before.
 */
#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#include "review/lab/cases.h"
#include "review/lab/deployment.h"

#define INSTANCES 3
#define SERVERS 4
#define CALLERS_EACH 2
#define BEFORE_MS 8000
#define DOWN_MS 950
#define RECOVERY_MS 12000
#define AFTER_MS 20000

static int is_before = 1;
/* When the machines were back; 0 before that. */
static int64_t back_ms;
static int n_asked[2];
static int n_served[2];

static void
on_run(struct lab_server *s, const char *id)
{
    Lab_Note("%s runs %s", Lab_Server_Opts(s)->id, id);
}

static void
ask(struct lab_thread *t)
{
    while (!g_atomic_int_get(&t->stop)) {
        struct lab_answer a;
        char id[32];
        int after;

        Lab_NewId(id);
        Lab_Caller_Ask(&t->caller, id, "GET", "/puxa403/2f", 3000, "", &a);
        Lab_NoteAnswer(t, &a);
        after = back_ms && a.sent_ms > back_ms + RECOVERY_MS;
        if (after || g_atomic_int_get(&is_before)) {
            g_atomic_int_inc(&n_asked[after]);
            g_atomic_int_add(&n_served[after], a.end == LAB_WHOLE &&
                                                   a.status == 200 &&
                                                   a.has_stamp);
        }
        g_usleep(100000);
    }
}

static void
write_foreign_entry(void)
{
    static const char key[] = {'i', '-', 0, 1, 2, 3};
    static const char value[] = {(char)0xff, (char)0xfe, 0, 1};

    Lab_Store_Put(lab.own_store, "keyed.servers", key, sizeof(key), value,
                  sizeof(value));
    Lab_Note("another writer's entry is in the store: key 69 2d 00 01 02 03, "
             "value ff fe 00 01");
}

static void
kill_all(void)
{
    g_atomic_int_set(&is_before, 0);
    for (int i = 0; i < INSTANCES; i++) {
        Lab_Signal(&lab.instances[i], SIGKILL);
        waitpid(lab.instances[i].pid, NULL, 0);
    }
    Lab_RunUntil(NULL, DOWN_MS);
    for (int i = 0; i < INSTANCES; i++) {
        Lab_Spawn(&lab.instances[i]);
    }
    back_ms = Lab_NowMs();
}

int
Case_ForeignEntry(void)
{
    static const char *const zones[] = {"coast-a", "coast-b", "coast-c"};
    struct lab_thread callers[INSTANCES * CALLERS_EACH] = {0};
    struct lab_server_opts o = {.service = LAB_SERVICE,
                                .slots = 6,
                                .head_ms = 40,
                                .pieces = 1,
                                .piece_bytes = 800,
                                .gap_ms = 5};
    double share[2];

    Lab_UseOwnStore();
    Lab_PutConfig("{\"Name\":\"r-read\",\"Host\":\"" LAB_HOST
                  "\",\"PathPrefix\":\"/puxa403/\",\"Kind\":\"safe\","
                  "\"TimeoutMs\":1500,\"TargetLatencyMs\":300,\"Priority\":2,"
                  "\"Service\":\"" LAB_SERVICE
                  "\",\"Attempts\":2,\"AllowAnonymous\":false,"
                  "\"StickySessions\":false,\"Resumable\":false}");
    for (int i = 0; i < SERVERS; i++) {
        o.zone = zones[i % 3];
        g_snprintf(o.id, sizeof(o.id), "i-7f3a91c%d", i);
        Lab_Server_Register(Lab_Server_New(&o, on_run));
    }
    Lab_StartInstances(INSTANCES, zones);
    if (!Lab_WaitReady(10000)) {
        return LAB_NOT_RUN;
    }
    for (int i = 0; i < INSTANCES * CALLERS_EACH; i++) {
        Lab_Thread_Start(&callers[i], i / CALLERS_EACH, ask);
    }
    Lab_RunUntil(NULL, BEFORE_MS / 2);
    if (lab.trouble) {
        write_foreign_entry();
    }
    Lab_RunUntil(NULL, BEFORE_MS / 2);
    kill_all();
    Lab_RunUntil(NULL, RECOVERY_MS + AFTER_MS);
    for (int i = 0; i < INSTANCES * CALLERS_EACH; i++) {
        Lab_Thread_Stop(&callers[i]);
    }
    for (int k = 0; k < 2; k++) {
        share[k] = (double)n_served[k] / MAX(n_asked[k], 1);
        Lab_Note("%s: %d of %d requests were served",
                 k ? "later than RecoveryS after the machines were back"
                   : "before the final fault",
                 n_served[k], n_asked[k]);
    }
    return share[0] < 0.25 || !n_asked[1] ? LAB_NOT_RUN
           : share[1] < 0.25              ? LAB_BROKEN
                                          : LAB_HELD;
}
