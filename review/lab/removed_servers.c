/*
 * A release: servers of a service are taken away one after the other, and new
 * ones are added. Those that leave don't report that they drain: their entries
 * are removed and they go on serving for some seconds. No instance may send
 * them requests later than DrainTimeoutMs after that.
 *
 * A server may leave at any moment. Here each leaves just after an instance
 * has read the servers' records from the store: the moments at which instances
 * may come to different views of what was removed.
 */
#include <stdlib.h>
#include <string.h>

#include "review/lab/cases.h"
#include "review/lab/deployment.h"

#define INSTANCES 4
#define SERVERS 40
#define CALLERS_EACH 5
#define DRAIN_TIMEOUT_MS 2000
/* "At times many seconds" longer than DrainTimeoutMs. */
#define LINGER_MS 10000
/* After a read of the store. */
#define LEAVE_AFTER_MS 10
#define WARMUP_MS 4000
#define PLAYED_MS 96000

static int n_made;
static GPtrArray *listed;
static int n_late;
/* Orders that a server was running as it ended. */
static int n_lost;
static int64_t stop_ms;
/* By request: the instance that its caller sent it to. */
static GHashTable *sent_to;
static GMutex sent_lock;

/* The instance that the request was sent to; -1 if unknown. */
static int
instance_of(const char *id)
{
    gpointer v;
    int found;

    g_mutex_lock(&sent_lock);
    found = g_hash_table_lookup_extended(sent_to, id, NULL, &v);
    g_mutex_unlock(&sent_lock);
    return found ? GPOINTER_TO_INT(v) : -1;
}

static void
on_run(struct lab_server *s, const char *id)
{
    int64_t now = Lab_NowMs();
    int64_t removed_ms = Lab_Server_RemovedMs(s);
    int instance = instance_of(id);
    int late = removed_ms && now - removed_ms > DRAIN_TIMEOUT_MS;

    Lab_Note("%s runs %s, sent by %s", Lab_Server_Opts(s)->id, id,
             instance >= 0 ? lab.instances[instance].name : "nobody");
    if (late) {
        n_late++;
        Lab_Note("  %d ms after its entry was removed: BROKEN",
                 (int)(now - removed_ms));
    }
}

static void
add_server(void)
{
    static const char *const zones[] = {"coast-a", "coast-b", "coast-c"};
    struct lab_server_opts o = {.service = LAB_SERVICE,
                                .zone = zones[n_made % 3],
                                .slots = 6,
                                .head_ms = 200,
                                .pieces = 1,
                                .piece_bytes = 800,
                                .gap_ms = 1};
    struct lab_server *s;

    g_snprintf(o.id, sizeof(o.id), "i-%08x", 0x7f3a9000 + n_made++);
    s = Lab_Server_New(&o, on_run);
    Lab_Server_Register(s);
    g_ptr_array_add(listed, s);
}

/* It ends with what it runs: all of it was sent there far too late. */
static gboolean
stop_server(gpointer data)
{
    n_lost += Lab_Server_CountRuns(data);
    Lab_Server_Stop(data);
    return G_SOURCE_REMOVE;
}

static void
remove_server(struct lab_server *s)
{
    Lab_Server_Unregister(s);
    g_timeout_add(LINGER_MS, stop_server, s);
}

static gboolean
replace_one(gpointer data)
{
    (void)data;
    remove_server(listed->pdata[0]);
    g_ptr_array_remove_index(listed, 0);
    add_server();
    return G_SOURCE_REMOVE;
}

static void
on_servers_read(void)
{
    int64_t now = Lab_NowMs();

    if (now > stop_ms - PLAYED_MS + WARMUP_MS && now < stop_ms - LINGER_MS) {
        g_timeout_add(LEAVE_AFTER_MS, replace_one, NULL);
    }
}

static void
ask(struct lab_thread *t)
{
    int instance = (int)(t->instance - lab.instances);

    while (!g_atomic_int_get(&t->stop)) {
        struct lab_answer a;
        char id[32];

        Lab_NewId(id);
        g_mutex_lock(&sent_lock);
        g_hash_table_insert(sent_to, g_strdup(id), GINT_TO_POINTER(instance));
        g_mutex_unlock(&sent_lock);
        Lab_Caller_Ask(&t->caller, id, "POST", "/pule252/2f", 3000,
                       "Content-Length: 0\r\n", &a);
        if (a.end != LAB_REFUSED) {
            Lab_NoteAnswer(t, &a);
        }
        g_usleep((gulong)g_random_int_range(30000, 80000));
    }
}

int
Case_RemovedServers(void)
{
    static const char *const zones[] = {"coast-a", "coast-a", "coast-b",
                                        "coast-c"};
    struct lab_thread callers[INSTANCES * CALLERS_EACH] = {0};

    listed = g_ptr_array_new();
    Lab_UseOwnStore();
    sent_to = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
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
    if (!Lab_WaitReady(10000)) {
        return LAB_NOT_RUN;
    }
    for (int i = 0; i < INSTANCES * CALLERS_EACH; i++) {
        Lab_Thread_Start(&callers[i], i / CALLERS_EACH, ask);
    }
    stop_ms = Lab_NowMs() + PLAYED_MS;
    Lab_RunUntil(NULL, WARMUP_MS);
    if (lab.trouble) {
        Lab_Store_OnServersRead(lab.own_store, on_servers_read);
    }
    Lab_RunUntil(NULL, (int)(stop_ms - Lab_NowMs()));
    for (int i = 0; i < INSTANCES * CALLERS_EACH; i++) {
        Lab_Thread_Stop(&callers[i]);
    }
    Lab_Note("%d requests that instances sent on reached a server "
             "later than %d ms after its entry was removed; %d orders were "
             "lost as such a server ended",
             n_late, DRAIN_TIMEOUT_MS, n_lost);
    return n_late ? LAB_BROKEN : LAB_HELD;
}
