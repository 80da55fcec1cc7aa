/* What a round of reservations ends with, and what is given back. */
#include <string.h>

#include "base/hash.h"
#include "route/router.h"

static struct fw_route_answer *
answer(struct fw_router *r, const struct fw_job *job)
{
    struct fw_pending_answer *ready = g_new0(struct fw_pending_answer, 1);

    ready->answer.ticket = job->ticket;
    Fw_List_Append(&r->answers, &ready->link);
    return &ready->answer;
}

static void
note_gap(struct fw_model_queue *c, int64_t now_us)
{
    int64_t gap = MIN(now_us - c->last_grant_us, FW_SEC);

    if (c->backlogged) {
        c->grant_interval_us =
            c->grant_interval_us ? (c->grant_interval_us * 7 + gap) / 8 : gap;
    }
    c->last_grant_us = now_us;
    c->backlogged = c->queue.n > 0;
    c->backoff_us = 0;
}

void
Fw_Grant_Pair(struct fw_router *r, struct fw_job *job, int64_t now_us)
{
    struct fw_route_answer *ans = answer(r, job);
    struct fw_engine *p = job->prefill.engine;
    struct fw_engine *d = job->decode.engine;

    g_strlcpy(ans->prefill, p->name, sizeof(ans->prefill));
    g_strlcpy(ans->decode, d->name, sizeof(ans->decode));
    g_strlcpy(ans->why, job->explanation, sizeof(ans->why));
    job->state = FW_JOB_RUNNING;
    job->granted_us = now_us;
    p->prefilling++;
    d->decoding++;
    Fw_Engine_AddDispatched(p, d, job->prefill.service_us, now_us);
    for (int i = 0; i < job->prefixes.n; i++) {
        Fw_Prefix_Add(&r->prefixes, Fw_Engine_CacheKey(p),
                      job->prefixes.hash[i]);
    }
    Fw_Breaker_RecordRequest(&p->breaker, now_us);
    Fw_Breaker_RecordRequest(&d->breaker, now_us);
    note_gap(job->model_queue, now_us);
    r->m.grants.value++;
}

void
Fw_Grant_Refuse(struct fw_router *r, struct fw_job *job, const char *code,
                int64_t retry_after_us)
{
    struct fw_route_answer *ans = answer(r, job);

    ans->status = 503;
    ans->retry_after_us = retry_after_us;
    g_strlcpy(ans->code, code, sizeof(ans->code));
    r->m.refusals.value++;
}

static void
give_back(struct fw_router *r, const struct fw_job *job,
          const struct fw_reservation *part, int64_t cached, int64_t now_us,
          struct fw_actions *out)
{
    const struct fw_member *m = NULL;
    struct fw_msg msg = {.area = FW_AREA_ROUTE};

    Fw_Coord_Release(part->engine, r->self_id, job->round_id, cached, now_us);
    if (r->opts.policy == FW_POLICY_FULL) {
        m = Fw_Fleet_Pick(r->fleet, part->engine->id, 0);
    }
    if (!m || Fw_Fleet_IsSelf(r->fleet, m)) {
        return;
    }
    msg.u.route.kind = FW_ROUTE_RELEASE;
    msg.u.route.u.release.ask = job->round_id;
    msg.u.route.u.release.engine = part->engine->id;
    msg.u.route.u.release.cached = cached;
    Fw_Actions_Send(out, m->name, m->addr, &msg);
}

void
Fw_Grant_Release(struct fw_router *r, struct fw_job *job,
                 struct fw_reservation *part, int64_t now_us,
                 struct fw_actions *out)
{
    /* Whoever was asked may have said yes, and the answer was lost. */
    if (part->state == FW_RESERVATION_GRANTED ||
        part->state == FW_RESERVATION_PENDING) {
        part->state = FW_RESERVATION_NONE;
        give_back(r, job, part, -1, now_us, out);
    }
}

void
Fw_Grant_CompletePrefill(struct fw_router *r, struct fw_job *job,
                         int64_t now_us, struct fw_actions *out)
{
    if (job->prefill.state == FW_RESERVATION_GRANTED) {
        job->prefill.state = FW_RESERVATION_NONE;
        give_back(r, job, &job->prefill, job->cached_tokens, now_us, out);
    }
}

static void
leave_running(struct fw_job *job)
{
    if (!job->prefilled) {
        job->prefill.engine->prefilling--;
    }
    job->decode.engine->decoding--;
}

void
Fw_Grant_FreeJob(struct fw_router *r, struct fw_job *job, int64_t now_us,
                 struct fw_actions *out)
{
    switch (job->state) {
    case FW_JOB_QUEUED:
        Fw_Queue_Remove(&job->model_queue->queue, &job->queue_item);
        break;
    case FW_JOB_RESERVING:
        Fw_List_Remove(&job->reserving);
        job->model_queue->n_rounds--;
        break;
    case FW_JOB_RUNNING:
        leave_running(job);
        break;
    }
    if (!job->prefilled) {
        Fw_Grant_Release(r, job, &job->prefill, now_us, out);
    }
    Fw_Grant_Release(r, job, &job->decode, now_us, out);
    job->model_queue->paused_until_us = 0;
    Fw_Actions_Wake(out, now_us);
    if (job->round_id) {
        g_hash_table_remove(r->rounds, &job->round_id);
    }
    g_strfreev(job->avoid);
    g_hash_table_remove(r->jobs, &job->ticket);
}
