/*
 * The retry budget: arrivals at a service beyond the first of each request, in
 * any window, of all instances together.
 */
#include "soak/soak.h"

#define FW_WINDOW_US (10 * FW_SEC)
#define FW_RETRY_RATIO 0.2

/**
 * struct service - when requests for it were sent, and retries arrived.
 * @least_left: the fewest more that were allowed
 */
struct service {
    const char *name;
    GArray *sent;
    GArray *retries;
    int most_retries;
    int least_left;
};

static struct service services[] = {
    {.name = "desk", .least_left = FW_SOAK_RETRY_EXTRA},
    {.name = "llm", .least_left = FW_SOAK_RETRY_EXTRA}};

static struct service *
service_of(const struct soak_request *q)
{
    struct service *v = &services[q->kind >= FW_SOAK_STREAM];

    if (!v->sent) {
        v->sent = g_array_new(FALSE, FALSE, sizeof(int64_t));
        v->retries = g_array_new(FALSE, FALSE, sizeof(int64_t));
    }
    return v;
}

/* How many of @times are in the window that ends at @end_us. */
static int
count(const GArray *times, int64_t end_us)
{
    int n = 0;

    for (guint i = times->len; i-- > 0;) {
        int64_t at = g_array_index(times, int64_t, i);

        if (at <= end_us - FW_WINDOW_US) {
            break;
        }
        n += at <= end_us;
    }
    return n;
}

/* Requests of that window, the one before or the one half a window before. */
static int
count_requests(const struct service *v, int64_t end_us)
{
    int n = count(v->sent, end_us);

    n = MAX(n, count(v->sent, end_us - FW_WINDOW_US / 2));
    return MAX(n, count(v->sent, end_us - FW_WINDOW_US));
}

void
Fw_SoakBudget_NoteSent(const struct soak_request *q)
{
    g_array_append_val(service_of(q)->sent, q->sent_us);
}

/* A stream has two arrivals that are no retries: its prefill and its run. */
void
Fw_SoakBudget_NoteArrival(struct soak_request *q)
{
    struct service *v = service_of(q);
    int64_t now = Fw_Soak_NowUs();
    int allowed;
    int n;

    if (++q->arrivals <= (q->kind >= FW_SOAK_STREAM ? 2 : 1)) {
        return;
    }
    g_array_append_val(v->retries, now);
    n = count(v->retries, now);
    v->most_retries = MAX(v->most_retries, n);
    allowed =
        FW_SOAK_RETRY_EXTRA + (int)(FW_RETRY_RATIO * count_requests(v, now));
    v->least_left = MIN(v->least_left, allowed - n);
    if (n > allowed) {
        Fw_SoakCheck_Violation(q->soak, "RETRIES",
                               "%s is retry %d in 10 s at %s, allowed %d",
                               q->id, n, v->name, allowed);
    }
}

void
Fw_SoakBudget_Report(struct soak *s)
{
    for (size_t i = 0; i < G_N_ELEMENTS(services); i++) {
        Fw_Soak_Log(s, "most retries in 10 s at %s: %d, least left %d",
                    services[i].name, services[i].most_retries,
                    services[i].least_left);
        if (services[i].sent) {
            g_array_unref(services[i].sent);
            g_array_unref(services[i].retries);
        }
    }
}
