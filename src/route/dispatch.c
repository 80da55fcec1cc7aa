/*
 * Admission control and dispatch from the queues. A request that cannot be
 * served in time is refused as soon as that is known.
 */
#include <errno.h>

#include "route/router.h"

#define FW_CONCURRENT_ROUNDS_MAX 8
#define FW_NO_ENGINE_RETRY_AFTER_US FW_SEC

static struct fw_job *
job_from_item(struct fw_queue_item *it)
{
    return FW_LIST_ENTRY(it, struct fw_job, queue_item);
}

static int64_t
compute_latest_start_us(const struct fw_router *r, const struct fw_job *job)
{
    struct fw_admission a = {
        .arrived_us = job->arrived_us,
        .deadline_us = job->deadline_us,
        .ttft_us = r->opts.ttft_us,
        .queue_max_us = r->opts.queue_max_us,
        .service_us =
            job->prefill.service_us + job->decode.service_us + r->opts.itl_us,
        .stream_us = job->max_tokens * r->opts.itl_us,
    };

    return Fw_Admit_LatestStartUs(&a);
}

/* Expected time in the queue at the recent rate of grants. */
static int64_t
queue_wait_us(const struct fw_model_queue *mq, const struct fw_job *job)
{
    if (mq->queue.n == 0) {
        return 0;
    }
    return mq->grant_interval_us *
           (Fw_Queue_CountAhead(&mq->queue, job->queue_item.team_name,
                                job->queue_item.latest_start_us) +
            1);
}

static void
refuse(struct fw_router *r, struct fw_job *job, int64_t wait_us,
       int64_t now_us, struct fw_actions *out)
{
    Fw_Grant_Refuse(r, job, "overloaded",
                    Fw_Admit_RetryAfterUs(
                        wait_us, job->queue_item.latest_start_us - now_us));
    Fw_Grant_FreeJob(r, job, now_us, out);
}

static void
answer_with_baseline(struct fw_router *r, const struct fw_config *cfg,
                     struct fw_job *job, int64_t now_us,
                     struct fw_actions *out)
{
    job->round_id = ++r->next_round_id;
    g_hash_table_insert(r->rounds, &job->round_id, job);
    if (Fw_Baseline_Choose(r, cfg, job, now_us)) {
        Fw_Grant_Refuse(r, job, "no_engine", FW_NO_ENGINE_RETRY_AFTER_US);
        Fw_Grant_FreeJob(r, job, now_us, out);
        return;
    }
    Fw_Grant_Pair(r, job, now_us);
}

void
Fw_Dispatch_Enqueue(struct fw_router *r, const struct fw_config *cfg,
                    struct fw_job *job, const struct fw_route_request *req,
                    int64_t now_us, struct fw_actions *out)
{
    struct fw_model_queue *mq = job->model_queue;
    int64_t wait_us;

    job->state = FW_JOB_QUEUED;
    if (r->opts.policy != FW_POLICY_FULL) {
        answer_with_baseline(r, cfg, job, now_us, out);
        return;
    }
    Fw_Prefix_Hash(req->prompt, &job->prefixes);
    if (Fw_Pair_Choose(r, cfg, job, now_us) == -ENOENT) {
        Fw_Grant_Refuse(r, job, "no_engine", FW_NO_ENGINE_RETRY_AFTER_US);
        Fw_Grant_FreeJob(r, job, now_us, out);
        return;
    }
    job->queue_item.latest_start_us = compute_latest_start_us(r, job);
    job->queue_item.tokens = job->prompt_tokens + job->max_tokens;
    wait_us = queue_wait_us(mq, job);
    if (now_us + wait_us > job->queue_item.latest_start_us) {
        refuse(r, job, wait_us, now_us, out);
        return;
    }
    Fw_Queue_Put(&mq->queue, &job->queue_item);
    Fw_Dispatch_Run(r, cfg, now_us, out);
}

/* Refuses requests past their latest start, whatever their turn. */
static void
refuse_expired(struct fw_router *r, struct fw_model_queue *mq, int64_t now_us,
               struct fw_actions *out)
{
    struct fw_queue_item *it;

    while ((it = Fw_Queue_Earliest(&mq->queue)) &&
           it->latest_start_us < now_us) {
        struct fw_job *job = job_from_item(it);

        refuse(r, job, queue_wait_us(mq, job), now_us, out);
    }
    if (it) {
        Fw_Actions_Wake(out, it->latest_start_us + 1);
    }
}

static void
run_queue(struct fw_router *r, const struct fw_config *cfg,
          struct fw_model_queue *mq, int64_t now_us, struct fw_actions *out)
{
    int64_t paused_us = mq->paused_until_us;

    refuse_expired(r, mq, now_us, out);
    mq->paused_until_us = paused_us;
    while (mq->queue.n && now_us >= mq->paused_until_us &&
           mq->n_rounds < FW_CONCURRENT_ROUNDS_MAX) {
        Fw_Reserve_Start(r, cfg, job_from_item(Fw_Queue_Take(&mq->queue)),
                         now_us, out);
    }
    if (mq->queue.n && now_us < mq->paused_until_us) {
        Fw_Actions_Wake(out, mq->paused_until_us);
    }
}

void
Fw_Dispatch_Run(struct fw_router *r, const struct fw_config *cfg,
                int64_t now_us, struct fw_actions *out)
{
    GHashTableIter it;
    gpointer val;
    int64_t queued = 0;

    g_hash_table_iter_init(&it, r->model_queues);
    while (g_hash_table_iter_next(&it, NULL, &val)) {
        struct fw_model_queue *mq = val;

        run_queue(r, cfg, mq, now_us, out);
        queued += mq->queue.n;
    }
    r->m.queued.value = queued;
}
