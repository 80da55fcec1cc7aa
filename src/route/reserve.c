/*
 * Rounds of reservations. The coordinators of a prefill and a decode engine
 * are contacted in parallel; when one denies, the next best engine is tried,
 * up to a limit. A coordinator that does not reply costs one timeout; for a
 * while after it, this instance decides for the engine itself.
 */
#include <errno.h>

#include "base/hash.h"
#include "route/router.h"

#define FW_REPLY_TIMEOUT_US (20 * FW_MSEC)
#define FW_COORD_RETRY_US (500 * FW_MSEC)
#define FW_QUEUE_BACKOFF_MIN_US (10 * FW_MSEC)
#define FW_QUEUE_BACKOFF_MAX_US (120 * FW_MSEC)
#define FW_REFUSED_RETRY_AFTER_US FW_SEC

static int
is_prefill(const struct fw_job *job, const struct fw_reservation *res)
{
    return res == &job->prefill;
}

static void
fill_item(const struct fw_config *cfg, const struct fw_job *job,
          const struct fw_reservation *res, struct fw_reserve_item *it)
{
    const struct fw_upstream *p =
        g_hash_table_lookup(cfg->upstreams, job->prefill.engine->name);

    *it = (struct fw_reserve_item){
        .engine = res->engine->id,
        .is_prefill = is_prefill(job, res),
        .exclusive = job->exclusive,
        .serving = job->serving,
        .tokens = job->prompt_tokens,
    };
    if (it->is_prefill) {
        it->prefixes = job->prefixes;
        return;
    }
    it->tokens += job->max_tokens;
    it->from_domain = p ? (uint32_t)Fw_Hash_Str(p->domain) : 0;
    it->transfer_us = job->decode.service_us;
    it->need_us = job->prefill.wait_us + job->prefill.service_us +
                  job->decode.service_us;
}

/* Replaces the estimate of cached tokens, and the prefix table's entries for
 * the engine, by what the coordinator replied. */
static void
update_cached_tokens(struct fw_router *r, const struct fw_config *cfg,
                     struct fw_job *job,
                     const struct fw_reserve_result *result)
{
    const struct fw_upstream *u =
        g_hash_table_lookup(cfg->upstreams, job->prefill.engine->name);
    uint64_t key = Fw_Engine_CacheKey(job->prefill.engine);

    for (int i = 0; i < job->prefixes.n; i++) {
        if (Fw_Prefix_LevelTokens(i) > result->cached_tokens) {
            Fw_Prefix_Remove(&r->prefixes, key, job->prefixes.hash[i]);
        }
        else {
            Fw_Prefix_Add(&r->prefixes, key, job->prefixes.hash[i]);
        }
    }
    job->cached_tokens = result->cached_tokens;
    job->prefill.service_us =
        Fw_Cost_PrefillUs(job->prompt_tokens, result->cached_tokens,
                          u ? MAX(u->prefill_rate, 1) : 1);
}

static void
apply_result(struct fw_router *r, const struct fw_config *cfg,
             struct fw_job *job, struct fw_reservation *res,
             const struct fw_reserve_result *result, int64_t now_us)
{
    Fw_Engine_ApplyResult(res->engine, result, job->serving, now_us);
    if (result->status == FW_RESERVE_GRANTED) {
        res->state = FW_RESERVATION_GRANTED;
        res->wait_us = result->wait_us;
        if (is_prefill(job, res)) {
            update_cached_tokens(r, cfg, job, result);
        }
        return;
    }
    res->state = FW_RESERVATION_DENIED;
    r->m.denials.value++;
    if (job->n_denied < FW_JOB_DENIED_MAX) {
        job->denied[job->n_denied++] = res->engine->id;
    }
    if (result->status == FW_RESERVE_FULL) {
        job->retry_hint_us = MIN(job->retry_hint_us, result->wait_us);
    }
}

/* The peer that coordinates @e; NULL if this instance decides itself. */
static const struct fw_member *
find_coordinator(const struct fw_router *r, const struct fw_engine *e,
                 int64_t now_us)
{
    const struct fw_member *m;

    if (now_us < e->coord_down_until_us) {
        return NULL;
    }
    m = Fw_Fleet_Pick(r->fleet, e->id, 0);
    return !m || Fw_Fleet_IsSelf(r->fleet, m) ? NULL : m;
}

static void
send_reserve(struct fw_router *r, const struct fw_config *cfg,
             struct fw_job *job, const struct fw_member *m,
             struct fw_reservation *const *res, int n, struct fw_actions *out)
{
    struct fw_msg msg = {.area = FW_AREA_ROUTE};
    struct fw_route_reserve *body = &msg.u.route.u.reserve;

    msg.u.route.kind = FW_ROUTE_RESERVE;
    body->round_id = job->round_id;
    for (int i = 0; i < n; i++) {
        fill_item(cfg, job, res[i], &body->item[body->n++]);
        res[i]->state = FW_RESERVATION_PENDING;
    }
    Fw_Coord_FillLeaving(r, &body->leaving);
    Fw_Actions_SendPeer(out, m->name, m->addr, &msg);
}

static void
request_reservations(struct fw_router *r, const struct fw_config *cfg,
                     struct fw_job *job, int64_t now_us,
                     struct fw_actions *out)
{
    struct fw_reservation *open[2];
    const struct fw_member *peer[2];
    struct fw_reservation *both[] = {&job->prefill, &job->decode};
    int n = 0;

    for (int i = 0; i < 2; i++) {
        if (both[i]->state == FW_RESERVATION_GRANTED) {
            continue;
        }
        peer[n] = find_coordinator(r, both[i]->engine, now_us);
        if (peer[n]) {
            open[n++] = both[i];
        }
        else {
            struct fw_reserve_item item;
            struct fw_reserve_result result;

            fill_item(cfg, job, both[i], &item);
            Fw_Coord_Reserve(r, cfg, r->self_id, job->round_id, &item, now_us,
                             &result, out);
            apply_result(r, cfg, job, both[i], &result, now_us);
        }
    }
    if (n == 2 && peer[0] == peer[1]) {
        send_reserve(r, cfg, job, peer[0], open, 2, out);
        return;
    }
    for (int i = 0; i < n; i++) {
        send_reserve(r, cfg, job, peer[i], &open[i], 1, out);
    }
}

static void
end_round(struct fw_router *r, struct fw_job *job, int64_t now_us,
          struct fw_actions *out)
{
    Fw_List_Remove(&job->reserving);
    job->model_queue->n_rounds--;
    Fw_Grant_Release(r, job, &job->prefill, now_us, out);
    Fw_Grant_Release(r, job, &job->decode, now_us, out);
    job->state = FW_JOB_QUEUED;
}

static void
requeue(struct fw_router *r, struct fw_job *job, int64_t now_us,
        struct fw_actions *out)
{
    struct fw_model_queue *mq = job->model_queue;

    end_round(r, job, now_us, out);
    Fw_Queue_PutBack(&mq->queue, &job->queue_item);
    mq->backlogged = 1;
    mq->backoff_us = CLAMP(mq->backoff_us * 2, FW_QUEUE_BACKOFF_MIN_US,
                           FW_QUEUE_BACKOFF_MAX_US);
    mq->paused_until_us = now_us + CLAMP(job->retry_hint_us, mq->backoff_us,
                                         FW_QUEUE_BACKOFF_MAX_US);
    Fw_Actions_Wake(out, mq->paused_until_us);
}

static void
refuse(struct fw_router *r, struct fw_job *job, const char *code,
       int64_t now_us, struct fw_actions *out)
{
    Fw_Grant_Refuse(r, job, code, FW_REFUSED_RETRY_AFTER_US);
    Fw_Grant_FreeJob(r, job, now_us, out);
}

static void
grant_or_refuse(struct fw_router *r, struct fw_job *job, int64_t now_us,
                struct fw_actions *out)
{
    if (now_us + job->prefill.wait_us > job->queue_item.latest_start_us) {
        refuse(r, job, "overloaded", now_us, out);
        return;
    }
    Fw_List_Remove(&job->reserving);
    job->model_queue->n_rounds--;
    Fw_Grant_Pair(r, job, now_us);
}

static void
continue_round(struct fw_router *r, const struct fw_config *cfg,
               struct fw_job *job, int64_t now_us, struct fw_actions *out)
{
    for (;;) {
        int rc = job->n_denied < FW_JOB_DENIED_MAX
                     ? Fw_Pair_Choose(r, cfg, job, now_us)
                     : -EAGAIN;

        if (rc == -ENOENT) {
            refuse(r, job, "no_engine", now_us, out);
            return;
        }
        if (rc) {
            requeue(r, job, now_us, out);
            return;
        }
        request_reservations(r, cfg, job, now_us, out);
        if (job->prefill.state == FW_RESERVATION_PENDING ||
            job->decode.state == FW_RESERVATION_PENDING) {
            job->round_sent_us = now_us;
            Fw_Actions_Wake(out, now_us + FW_REPLY_TIMEOUT_US);
            return;
        }
        if (job->prefill.state == FW_RESERVATION_GRANTED &&
            job->decode.state == FW_RESERVATION_GRANTED) {
            grant_or_refuse(r, job, now_us, out);
            return;
        }
    }
}

void
Fw_Reserve_Start(struct fw_router *r, const struct fw_config *cfg,
                 struct fw_job *job, int64_t now_us, struct fw_actions *out)
{
    if (job->round_id) {
        g_hash_table_remove(r->rounds, &job->round_id);
    }
    job->round_id = ++r->next_round_id;
    g_hash_table_insert(r->rounds, &job->round_id, job);
    job->state = FW_JOB_RESERVING;
    job->n_denied = 0;
    job->retry_hint_us = FW_QUEUE_BACKOFF_MAX_US;
    job->prefill = (struct fw_reservation){0};
    job->decode = (struct fw_reservation){0};
    job->model_queue->n_rounds++;
    Fw_List_Append(&r->reserving, &job->reserving);
    r->m.rounds.value++;
    continue_round(r, cfg, job, now_us, out);
}

/* Releases a grant that is not waited for any more, such as one that arrived
 * after the timeout. */
static void
release_unclaimed(struct fw_router *r, const struct fw_reserve_result *result,
                  uint64_t round_id, int64_t now_us, struct fw_actions *out)
{
    struct fw_reservation res = {.engine = Fw_Engine_Find(r, result->engine),
                                 .state = FW_RESERVATION_GRANTED};
    struct fw_job job = {.round_id = round_id};

    if (res.engine && result->status == FW_RESERVE_GRANTED) {
        Fw_Grant_Release(r, &job, &res, now_us, out);
    }
}

static struct fw_reservation *
find_pending(struct fw_job *job, uint64_t engine)
{
    struct fw_reservation *both[] = {&job->prefill, &job->decode};

    for (int i = 0; i < 2; i++) {
        if (both[i]->state == FW_RESERVATION_PENDING &&
            both[i]->engine->id == engine) {
            return both[i];
        }
    }
    return NULL;
}

void
Fw_Reserve_OnReply(struct fw_router *r, const struct fw_config *cfg,
                   const struct fw_route_reply *reply, int64_t now_us,
                   struct fw_actions *out)
{
    struct fw_job *job = g_hash_table_lookup(r->rounds, &reply->round_id);

    for (int i = 0; i < reply->n_loads; i++) {
        Fw_Engine_UpdateLoad(r, &reply->load[i], now_us);
    }
    for (int i = 0; i < reply->n; i++) {
        const struct fw_reserve_result *result = &reply->result[i];
        struct fw_reservation *res =
            job ? find_pending(job, result->engine) : NULL;

        if (res) {
            apply_result(r, cfg, job, res, result, now_us);
        }
        else {
            release_unclaimed(r, result, reply->round_id, now_us, out);
        }
    }
    if (!job || job->state != FW_JOB_RESERVING ||
        job->prefill.state == FW_RESERVATION_PENDING ||
        job->decode.state == FW_RESERVATION_PENDING) {
        return;
    }
    if (job->prefill.state == FW_RESERVATION_GRANTED &&
        job->decode.state == FW_RESERVATION_GRANTED) {
        grant_or_refuse(r, job, now_us, out);
        return;
    }
    continue_round(r, cfg, job, now_us, out);
}

static void
time_out(struct fw_router *r, struct fw_job *job, struct fw_reservation *res,
         int64_t now_us, struct fw_actions *out)
{
    if (res->state == FW_RESERVATION_PENDING) {
        Fw_Grant_Release(r, job, res, now_us, out);
        res->engine->coord_down_until_us = now_us + FW_COORD_RETRY_US;
        r->m.reply_timeouts.value++;
    }
}

void
Fw_Reserve_Tick(struct fw_router *r, const struct fw_config *cfg,
                int64_t now_us, struct fw_actions *out)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &r->reserving) {
        struct fw_job *job = FW_LIST_ENTRY(pos, struct fw_job, reserving);

        if (now_us - job->round_sent_us < FW_REPLY_TIMEOUT_US) {
            Fw_Actions_Wake(out, job->round_sent_us + FW_REPLY_TIMEOUT_US);
            continue;
        }
        time_out(r, job, &job->prefill, now_us, out);
        time_out(r, job, &job->decode, now_us, out);
        continue_round(r, cfg, job, now_us, out);
    }
}
