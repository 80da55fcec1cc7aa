/* Requests with a part of their prompt that crashes engines. */
#include "soak/soak.h"

#define FW_CULPRITS_PER_S 4
/* An engine that begins to run such a request ends after this time. */
#define FW_CRASH_DELAY_MS 50
/* Time for which a crashed engine is down. */
#define FW_DOWN_MS 2000
/* Crashes after which only a few more requests may reach engines, and when. */
#define FW_CRASHES_MAX 5
#define FW_STABLE_US (3 * FW_SEC)
#define FW_REACHED_MAX 3
/* Documents that sound requests share, and requests with a culprit too. */
#define FW_DOCUMENTS 4

void
Fw_SoakCrashes_Begin(struct soak *s)
{
    s->culprit = (struct soak_culprit){.part = s->culprit.part + 1, .on = 1};
}

int
Fw_SoakCrashes_Draw(struct soak *s, int per_s)
{
    return s->culprit.on && !s->is_final &&
                   g_rand_int_range(s->rand, 0, per_s) < FW_CULPRITS_PER_S
               ? s->culprit.part
               : 0;
}

void
Fw_SoakCrashes_AppendParts(const struct soak_request *q, GString *head)
{
    int document = g_rand_int_range(q->soak->rand, 0, FW_DOCUMENTS);

    g_string_append_printf(head, "Prompt-Prefix: ba5e:200,%x:100,",
                           0xd0c0 + document);
    if (q->culprit) {
        g_string_append_printf(head, "%x:50,", 0xbad0000 + q->culprit);
    }
    g_string_append_printf(head, "%s:100\r\n", q->id + 1);
}

void
Fw_SoakCrashes_NoteArrival(const struct soak_server *v, struct soak_request *q)
{
    struct soak_culprit *c = &v->soak->culprit;
    int64_t now = Fw_Soak_NowUs();

    if (!q->culprit || q->culprit != c->part || q->has_reached ||
        !c->bound_us || now < c->bound_us ||
        !Fw_SoakRelay_IsCalm(&v->soak->relays[q->relay], now)) {
        return;
    }
    q->has_reached = 1;
    if (++c->n_reached > FW_REACHED_MAX) {
        Fw_SoakCheck_Violation(v->soak, "CRASHES",
                               "%s reaches %s, number %d after %d crashes",
                               q->id, v->opts->id, c->n_reached, c->n_crashes);
    }
}

static gboolean
start_again(gpointer data)
{
    struct soak_server *v = data;

    v->crash_timer = 0;
    Fw_SoakWorld_RestartServer(v);
    v->disturbed_us = Fw_Soak_NowUs();
    return G_SOURCE_REMOVE;
}

static gboolean
crash(gpointer data)
{
    struct soak_server *v = data;

    v->disturbed_us = FW_SOAK_ONGOING;
    Fw_Soak_Log(v->soak, "crash of %s", v->opts->id);
    Fw_Proxy_SetMode(v->proxy, FW_PROXY_REFUSE);
    Fw_Proxy_ResetAll(v->proxy);
    v->is_down = 1;
    v->crash_timer = g_timeout_add(FW_DOWN_MS, start_again, v);
    return G_SOURCE_REMOVE;
}

void
Fw_SoakCrashes_NoteStart(struct soak_server *v, const struct soak_request *q)
{
    struct soak_culprit *c = &v->soak->culprit;

    if (!q->culprit || v->crash_timer) {
        return;
    }
    v->crash_timer = g_timeout_add(FW_CRASH_DELAY_MS, crash, v);
    if (q->culprit == c->part && ++c->n_crashes == FW_CRASHES_MAX) {
        c->bound_us = Fw_Soak_NowUs() + FW_STABLE_US;
    }
}
