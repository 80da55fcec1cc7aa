/*
 * Retry budget, which keeps retries from adding load to a failing service.
 *
 * The budget holds for all instances together without communication: each may
 * retry a fixed ratio of its own requests within the window, plus an equal
 * share of a fixed number. What a former process of the instance has retried
 * is not known to the next one, which has no share of the fixed number until
 * that was a window ago.
 */
#include <string.h>

#include "base/fault.h"
#include "relay/relay_internal.h"

/* Usable part of retry_extra; the rest is for instances not known here. */
#define FW_RETRY_EXTRA_USABLE_PERMILLE 800

static int64_t
slot_at(const struct fw_relay *r, int64_t us)
{
    return us * (FW_RL_RETRY_BUDGET_SLOTS - 2) /
           MAX(r->opts.retry_window_us, 1);
}

static struct fw_rl_retry_budget *
find_or_add_budget(struct fw_relay *r, const char *service, int64_t now_us)
{
    int64_t slot = slot_at(r, now_us);
    struct fw_rl_retry_budget *b = NULL;

    for (guint i = 0; i < r->retry_budgets->len && !b; i++) {
        b = g_ptr_array_index(r->retry_budgets, i);
        if (strcmp(b->service, service) != 0) {
            b = NULL;
        }
    }
    if (!b) {
        b = g_new0(struct fw_rl_retry_budget, 1);
        b->service = g_intern_string(service);
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

/* This instance's share of the fixed number. */
static int64_t
fixed_share(const struct fw_relay *r, int instances, int64_t now_us)
{
    int64_t usable =
        r->opts.retry_extra * FW_RETRY_EXTRA_USABLE_PERMILLE / 1000;

    if (now_us - r->start_us < r->opts.retry_window_us &&
        !FW_FAULT("retry-share-from-start")) {
        return 0;
    }
    return usable / instances;
}

void
Fw_RetryBudget_NoteRequest(struct fw_relay *r, const char *service,
                           int64_t sent_us, int64_t now_us)
{
    struct fw_rl_retry_budget *b = find_or_add_budget(r, service, now_us);
    int64_t slot = MIN(slot_at(r, sent_us), b->slot);

    if (slot > b->slot - FW_RL_RETRY_BUDGET_SLOTS) {
        b->requests[slot % FW_RL_RETRY_BUDGET_SLOTS]++;
    }
}

/*
 * Retries are taken from the oldest slots first. Those leave the window first,
 * so that the sum is never too small.
 */
void
Fw_RetryBudget_TakeBack(struct fw_relay *r, const char *service,
                        int64_t counted_us, int retries, int64_t now_us)
{
    struct fw_rl_retry_budget *b = find_or_add_budget(r, service, now_us);
    int64_t counted = slot_at(r, counted_us);
    int64_t oldest = MAX(counted, b->slot - FW_RL_RETRY_BUDGET_SLOTS + 1);

    if (counted == oldest) {
        b->requests[counted % FW_RL_RETRY_BUDGET_SLOTS]--;
    }
    for (int64_t slot = oldest; slot <= b->slot; slot++) {
        int *charged = &b->retries[slot % FW_RL_RETRY_BUDGET_SLOTS];
        int n = MIN(retries, *charged);

        *charged -= n;
        retries -= n;
    }
}

/* Retries of this instance in the window, spent and allowed. */
static void
count_retries(struct fw_relay *r, const struct fw_rl_retry_budget *b,
              int instances, int64_t now_us, int64_t *spent, int64_t *allowed)
{
    int64_t requests = 0;

    *spent = 0;
    for (int i = 0; i < FW_RL_RETRY_BUDGET_SLOTS; i++) {
        requests += b->requests[i];
        *spent += b->retries[i];
    }
    /* The ring is two slots longer than the window: scale the requests. */
    *allowed = requests * r->opts.retry_ratio_ppm *
               (FW_RL_RETRY_BUDGET_SLOTS - 2) / FW_RL_RETRY_BUDGET_SLOTS /
               1000000;
    *allowed += fixed_share(r, instances, now_us);
}

int
Fw_RetryBudget_Allows(struct fw_relay *r, const struct fw_rl_call *c, int n,
                      int64_t now_us)
{
    int64_t spent;
    int64_t allowed;

    count_retries(r, find_or_add_budget(r, c->service, now_us),
                  Fw_Members_Count(r, now_us, NULL), now_us, &spent, &allowed);
    return spent + n <= allowed;
}

int
Fw_RetryBudget_Take(struct fw_relay *r, const struct fw_rl_call *c, int n,
                    int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_rl_retry_budget *b = find_or_add_budget(r, c->service, now_us);
    int instances = Fw_Members_Count(r, now_us, NULL);
    int64_t retries;
    int64_t allowed;

    count_retries(r, b, instances, now_us, &retries, &allowed);
    if (retries + n > allowed) {
        r->relay_metrics.retries_denied.value++;
        Fw_RelayActions_Log(
            out, r, LOG_NOTICE, "retry_denied",
            "\"id\":\"%s\",\"service\":\"%s\",\"calls\":%d,"
            "\"spent\":%" G_GINT64_FORMAT ",\"allowed\":%" G_GINT64_FORMAT
            ",\"instances\":%d",
            c->info.id, c->service, n, retries, allowed, instances);
        return 0;
    }
    b->retries[b->slot % FW_RL_RETRY_BUDGET_SLOTS] += n;
    r->relay_metrics.retries.value += n;
    return 1;
}
