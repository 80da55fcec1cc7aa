/*
 * Repeats of requests, bounded for all instances together: without a bound
 * a service that fails under load is given more load by the retries.
 *
 * Each instance counts its own requests for a service over the window and
 * may repeat that ratio of them, plus an equal part of the fixed extra; so
 * the sum holds without a word between instances.
 */
#include <string.h>

#include "relay/relay_internal.h"

/* Kept back from the fixed extra: instances that aren't known yet. */
#define FW_EXTRA_PERMILLE 800

static struct fw_rl_retry_budget *
budget_of(struct fw_relay *r, const char *service, int64_t now_us)
{
    int64_t slot = now_us * (FW_RL_RETRY_BUDGET_SLOTS - 2) /
                   MAX(r->opts.retry_window_us, 1);
    struct fw_rl_retry_budget *b = NULL;

    for (guint i = 0; i < r->retry_budgets->len && !b; i++) {
        b = g_ptr_array_index(r->retry_budgets, i);
        if (strcmp(b->service, service) != 0) {
            b = NULL;
        }
    }
    if (!b) {
        b = g_new0(struct fw_rl_retry_budget, 1);
        g_strlcpy(b->service, service, sizeof(b->service));
        b->slot = slot;
        g_ptr_array_add(r->retry_budgets, b);
    }
    for (int i = 0; b->slot < slot && i < FW_RL_RETRY_BUDGET_SLOTS; i++) {
        b->slot++;
        b->requests[b->slot % FW_RL_RETRY_BUDGET_SLOTS] = 0;
        b->retries[b->slot % FW_RL_RETRY_BUDGET_SLOTS] = 0;
    }
    b->slot = slot;
    return b;
}

void
Fw_Budget_Request(struct fw_relay *r, const char *service, int64_t now_us)
{
    struct fw_rl_retry_budget *b = budget_of(r, service, now_us);

    b->requests[b->slot % FW_RL_RETRY_BUDGET_SLOTS]++;
}

int
Fw_Budget_Repeat(struct fw_relay *r, const char *service, int n,
                 int64_t now_us)
{
    struct fw_rl_retry_budget *b = budget_of(r, service, now_us);
    int members = Fw_Members_Count(r, now_us, NULL);
    int64_t requests = 0;
    int64_t repeats = 0;
    int64_t allowed;

    for (int i = 0; i < FW_RL_RETRY_BUDGET_SLOTS; i++) {
        requests += b->requests[i];
        repeats += b->retries[i];
    }
    /* The oldest slots lie outside of the window: they count as repeats. */
    requests =
        requests * (FW_RL_RETRY_BUDGET_SLOTS - 2) / FW_RL_RETRY_BUDGET_SLOTS;
    allowed = requests * r->opts.retry_ratio_ppm / 1000000 +
              r->opts.retry_extra * FW_EXTRA_PERMILLE / 1000 / members;
    if (repeats + n > allowed) {
        return 0;
    }
    b->retries[b->slot % FW_RL_RETRY_BUDGET_SLOTS] += n;
    r->n.repeats.value += n;
    return 1;
}
