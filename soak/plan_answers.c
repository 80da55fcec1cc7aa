/*
 * Times at which servers send answers a second time, late: to runs as to the
 * router's own calls. Plain servers also reject many runs meanwhile, so that
 * requests are sent again. No server counts as disturbed by this.
 */
#include "soak/soak.h"

#define FW_FIRST_MS 3000
#define FW_QUIET_MS 8000
#define FW_GAP_MIN_MS 500
#define FW_GAP_MAX_MS 3000
#define FW_SHORTEST_MS 1000
#define FW_LONGEST_MS 5000
/* One of so many answers comes twice, and one of so many runs is rejected. */
#define FW_COPIES_ONE_OF_MAX 12
#define FW_REJECTS_ONE_OF_MAX 4

/** struct spell - a time at which servers answer twice. */
struct spell {
    struct soak *soak;
    int copies_one_of;
    int rejects_one_of;
    guint for_ms;
};

static void
apply(struct soak *s, int copies_one_of, int rejects_one_of)
{
    for (int i = 0; i < FW_SOAK_SERVERS; i++) {
        struct soak_server *v = &s->servers[i];

        Fw_Proxy_SetCopies(v->proxy, copies_one_of);
        if (i >= FW_SOAK_ENGINES) {
            Fw_WireServer_SetRejects(v->stand, rejects_one_of);
        }
    }
}

static gboolean
end_spell(gpointer data)
{
    struct spell *p = data;

    apply(p->soak, 0, 0);
    Fw_Soak_Log(p->soak, "answers twice ends");
    g_free(p);
    return G_SOURCE_REMOVE;
}

static gboolean
begin_spell(gpointer data)
{
    struct spell *p = data;

    Fw_Soak_Log(p->soak, "answers twice, 1 of %d, rejects 1 of %d, for %u ms",
                p->copies_one_of, p->rejects_one_of, p->for_ms);
    apply(p->soak, p->copies_one_of, p->rejects_one_of);
    g_timeout_add(p->for_ms, end_spell, p);
    return G_SOURCE_REMOVE;
}

void
Fw_SoakAnswers_Plan(struct soak *s, int64_t ms)
{
    GRand *rand = g_rand_new_with_seed(s->seed);
    int64_t at = FW_FIRST_MS;

    while (at < ms - FW_QUIET_MS) {
        struct spell *p = g_new0(struct spell, 1);

        p->soak = s;
        p->copies_one_of = g_rand_int_range(rand, 1, FW_COPIES_ONE_OF_MAX + 1);
        p->rejects_one_of =
            g_rand_int_range(rand, 2, FW_REJECTS_ONE_OF_MAX + 1);
        p->for_ms =
            (guint)g_rand_int_range(rand, FW_SHORTEST_MS, FW_LONGEST_MS);
        g_timeout_add((guint)at, begin_spell, p);
        at += p->for_ms + g_rand_int_range(rand, FW_GAP_MIN_MS, FW_GAP_MAX_MS);
    }
    g_rand_free(rand);
}
