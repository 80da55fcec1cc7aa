/* What the cases share: the configuration, the start, callers in threads. */
#include "review/lab/deployment.h"

#include <string.h>

void
Lab_PutConfig(const char *routes)
{
    g_autofree char *config = g_strdup_printf(
        "{\"Version\":7,\"Routes\":[%s],"
        "\"Services\":[{\"Name\":\"" LAB_SERVICE
        "\",\"HealthCheckPath\":\"/health\",\"MaxConnections\":110,"
        "\"Protocol\":\"h1\",\"Tls\":false}],"
        "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
        "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
        "\"Tenants\":[{\"Name\":\"huka270\",\"ApiKeys\":[\"" LAB_KEY
        "\"],\"Priority\":1,\"Unit\":\"tokens\",\"UncachedTokens\":200,"
        "\"RatePerS\":142851,\"Burst\":142851}]}",
        routes);

    Lab_Put("keyed.op", "config", config);
    Lab_Note("configuration 7 is in the store");
}

static gpointer
ask_all(gpointer data)
{
    int *done = data;
    int ready = 0;

    while (!g_atomic_int_get(done)) {
        ready = 0;
        for (int i = 0; i < lab.n_instances; i++) {
            ready += Lab_IsReady(&lab.instances[i]);
        }
        if (ready == lab.n_instances) {
            g_atomic_int_set(done, 1);
        }
        g_usleep(100000);
    }
    return NULL;
}

int
Lab_WaitReady(int ms)
{
    int done = 0;
    GThread *t = g_thread_new("ready", ask_all, &done);
    int ok;

    Lab_RunUntil(&done, ms);
    ok = g_atomic_int_get(&done);
    g_atomic_int_set(&done, 1);
    g_thread_join(t);
    Lab_Note(ok ? "all instances are ready" : "some instance is not ready");
    return ok;
}

static gpointer
run_caller(gpointer data)
{
    struct lab_thread *t = data;

    t->run(t);
    Lab_Caller_Close(&t->caller);
    return NULL;
}

void
Lab_Thread_Start(struct lab_thread *t, int instance,
                 void (*run)(struct lab_thread *t))
{
    t->instance = &lab.instances[instance];
    t->caller = (struct lab_caller){.port = t->instance->callers_port};
    t->run = run;
    t->stop = 0;
    t->thread = g_thread_new("caller", run_caller, t);
}

void
Lab_Thread_Stop(struct lab_thread *t)
{
    int joined = 0;

    g_atomic_int_set(&t->stop, 1);
    /* The servers run on this thread: let them answer what is open. */
    Lab_RunUntil(&joined, 300);
    g_thread_join(t->thread);
}

void
Lab_NoteAnswer(const struct lab_thread *t, const struct lab_answer *a)
{
    Lab_Note("%s sent to %s %s at %d.%03d s: %s, status %d, %zu bytes, "
             "%d ms",
             a->id, t->instance->name,
             a->is_kept ? "on a kept connection" : "on a new connection",
             (int)(a->sent_ms / 1000), (int)(a->sent_ms % 1000),
             Lab_EndName(a->end), a->status, a->bytes, (int)a->took_ms);
}
