#include "decide/plain_admission.h"

#include <glib.h>
#include <math.h>

#include "base/limits.h"

/* Time in a slot assumed for a server that has not answered yet. */
#define FW_DEFAULT_SERVICE_US (30.0 * FW_MSEC)
/* Samples that the mean time in a slot is taken over. */
#define FW_SLOT_SAMPLES 30
/* After this many samples a longer one counts as this multiple of the mean. */
#define FW_SLOT_CLIP_SAMPLES 3
#define FW_SLOT_CLIP 2.0
/*
 * Queue aimed at in overload: a part of the objective less the time in a slot,
 * bounded by multiples of that time. Shorter queues run empty at times; longer
 * ones make calls late when a server slows down, or are full.
 */
#define FW_QUEUE_FRACTION 0.4
#define FW_QUEUE_WORKS_MIN 0.5
#define FW_QUEUE_WORKS_MAX 2.5
/*
 * Part of that queue for ranks with more urgent ones before them, whose calls
 * a server would only run after those that it has queued.
 */
#define FW_QUEUE_LESS_URGENT 0.5
/*
 * Horizon of the correction by the backlog. A correction that acts faster
 * than the loads are known oscillates.
 */
#define FW_HORIZON_MIN_US (250 * FW_MSEC)
#define FW_HORIZON_AGES 2.0
/* Averaging time of what this instance measures itself. */
#define FW_LOCAL_MEAN_US (1 * FW_SEC)
/* Calls that declare other times cancel this many that declare the usual. */
#define FW_DECLARED_VOTES_MAX 64
/* Majority from which a shorter time shows a repeat. */
#define FW_DECLARED_VOTES 8
/*
 * Fractions of the objective between which the probability that a call is
 * admitted to a server falls from 1 to 0.
 */
#define FW_RAMP_BEGIN 1.0
#define FW_RAMP_END 1.5
/* The same for the wait that an isolated instance finds, up to 1. */
#define FW_ISOLATED_RAMP_BEGIN 0.6
/* Calls that an isolated instance may admit at once, at least. */
#define FW_CREDIT_MIN 4.0
/* Time over which it may accumulate its share. */
#define FW_CREDIT_S 0.25
/* Part of the remaining time that a Retry-After may take. */
#define FW_RETRY_PARTS 3
#define FW_RETRY_MAX_US (2 * FW_SEC)
#define FW_RETRY_MIN_US (20 * FW_MSEC)
/* Retries are spread between this part of the delay and the whole. */
#define FW_RETRY_SPREAD_FRACTION 0.6

static double
service_us(const struct fw_plain_server *s)
{
    double us = s->service_us > 0 ? s->service_us : FW_DEFAULT_SERVICE_US;

    return us / (s->speed > 0 ? s->speed : 1.0);
}

void
Fw_PlainAdmission_NoteCall(struct fw_plain_admission *a, int64_t now_us)
{
    double age = (double)(now_us - a->noted_us) / FW_LOCAL_MEAN_US;

    a->local = a->local * exp(-age) + (double)FW_SEC / FW_LOCAL_MEAN_US;
    a->noted_us = now_us;
}

void
Fw_PlainAdmission_NoteSlotTime(struct fw_plain_admission *a, int64_t took_us)
{
    double took = (double)took_us;

    if (a->n_slot_us >= FW_SLOT_CLIP_SAMPLES) {
        took = MIN(took, a->slot_us * FW_SLOT_CLIP);
    }
    a->n_slot_us = MIN(a->n_slot_us + 1, FW_SLOT_SAMPLES);
    a->slot_us += (took - a->slot_us) / a->n_slot_us;
}

double
Fw_PlainAdmission_SlotUs(const struct fw_plain_admission *a)
{
    return a->slot_us > 0 ? a->slot_us : FW_DEFAULT_SERVICE_US;
}

static double
share_rate(const struct fw_plain_servers *all)
{
    return all->completions / MAX(all->instances, 1);
}

void
Fw_PlainAdmission_Refill(struct fw_plain_admission *a,
                         const struct fw_plain_servers *all, int64_t now_us)
{
    double rate = share_rate(all);
    double most = MAX(FW_CREDIT_MIN, rate * FW_CREDIT_S);

    a->credit =
        a->credit_us == 0
            ? most
            : MIN(most,
                  a->credit + rate * (double)(now_us - a->credit_us) / FW_SEC);
    a->credit_us = now_us;
}

void
Fw_PlainAdmission_NoteAdmitted(struct fw_plain_admission *a)
{
    a->credit = MAX(a->credit - 1, 0);
}

int
Fw_DeclaredTime_Note(struct fw_declared_time *d, int64_t left_us)
{
    int is_repeat =
        left_us > 0 && left_us < d->usual_us && d->votes >= FW_DECLARED_VOTES;

    if (left_us == d->usual_us) {
        d->votes = MIN(d->votes + 1, FW_DECLARED_VOTES_MAX);
    }
    else if (d->votes > 0) {
        d->votes--;
    }
    else {
        d->usual_us = left_us;
        d->votes = 1;
    }
    return is_repeat;
}

/* Number of announced retries that are still to come. */
static int
retries_ahead(const struct fw_plain_admission *a, int64_t now_us)
{
    int64_t slot = now_us / FW_PLAIN_RETRY_SLOT_US;
    int n = 0;

    for (int i = 0; i < FW_PLAIN_RETRY_SLOTS; i++) {
        int64_t at = a->retry_slot + i;

        if (at >= slot) {
            n += a->retries[at % FW_PLAIN_RETRY_SLOTS];
        }
    }
    return n;
}

void
Fw_PlainAdmission_NoteRetry(struct fw_plain_admission *a, int64_t retry_us,
                            int64_t now_us)
{
    int64_t slot = now_us / FW_PLAIN_RETRY_SLOT_US;
    int64_t at = (now_us + retry_us) / FW_PLAIN_RETRY_SLOT_US;

    for (int i = 0; a->retry_slot < slot && i < FW_PLAIN_RETRY_SLOTS; i++) {
        a->retries[a->retry_slot % FW_PLAIN_RETRY_SLOTS] = 0;
        a->retry_slot++;
    }
    a->retry_slot = slot;
    at = MIN(at, slot + FW_PLAIN_RETRY_SLOTS - 1);
    a->retries[at % FW_PLAIN_RETRY_SLOTS]++;
}

static double
horizon_us(const struct fw_plain_servers *all)
{
    return MAX(FW_HORIZON_MIN_US, FW_HORIZON_AGES * (double)all->age_us);
}

/* Calls a second that the server completes with all slots busy. */
static double
completions(const struct fw_plain_server *s)
{
    return s->slots * FW_SEC / service_us(s);
}

/* Requests at the server that keep its slots busy and are in time. */
static double
backlog_target(const struct fw_plain_server *s, const struct fw_plain_call *c)
{
    double work_us = service_us(s);
    double queue_us =
        CLAMP(FW_QUEUE_FRACTION * ((double)c->objective_us - work_us),
              FW_QUEUE_WORKS_MIN * work_us, FW_QUEUE_WORKS_MAX * work_us);

    if (c->asked_before > 0) {
        queue_us *= FW_QUEUE_LESS_URGENT;
    }
    return s->slots + queue_us * completions(s) / FW_SEC;
}

/*
 * Calls a second that all instances together may admit, if all servers had
 * the backlog of @s.
 */
static double
admissible_rate(const struct fw_plain_servers *all,
                const struct fw_plain_server *s, const struct fw_plain_call *c)
{
    double rate = completions(s);
    double change =
        (backlog_target(s, c) - s->running) * FW_SEC / horizon_us(all);

    return MAX(0, all->completions * (rate + change) / MAX(rate, 1e-3));
}

/*
 * Share of calls like @c that fits in @rate after those that go first. A
 * backlog grows only if more is asked than completed: where the rates known
 * say otherwise, some instances don't report theirs, or servers are slow.
 */
static double
admissible_share(const struct fw_plain_servers *all,
                 const struct fw_plain_call *c, double rate)
{
    double unknown = MAX(all->completions / MAX(all->asked, 1e-3), 1.0);
    double before = c->asked_before * unknown;

    return CLAMP((rate - before) / MAX(c->asked * unknown, 1e-3), 0.0, 1.0);
}

/*
 * Probability with which the queue of the server lets a call pass. An
 * objective that an idle server misses must not keep out all calls.
 */
static double
queue_share(const struct fw_plain_call *c, double wait_us, double work_us)
{
    double objective_us =
        MAX((double)c->objective_us, (1 + FW_QUEUE_WORKS_MIN) * work_us);
    double part = ((double)c->spent_us + wait_us + work_us) / objective_us;

    return CLAMP((FW_RAMP_END - part) / (FW_RAMP_END - FW_RAMP_BEGIN), 0.0,
                 1.0);
}

/* The same for an instance that knows only the responses that it got. */
static double
response_share(const struct fw_plain_call *c, const struct fw_plain_server *s,
               double work_us)
{
    double spare_us = MAX((double)c->objective_us - work_us, work_us);
    double part = (s->response_us - work_us) / spare_us;

    return CLAMP((1.0 - part) / (1.0 - FW_ISOLATED_RAMP_BEGIN), 0.0, 1.0);
}

/*
 * Probability with which a repeat passes. It falls with the backlog, to zero
 * where first attempts alone keep the server as busy as it should be, and is
 * lower the later the backlog is known: repeats return in waves.
 */
static double
repeat_share(const struct fw_plain_servers *all,
             const struct fw_plain_server *s, const struct fw_plain_call *c)
{
    double most = backlog_target(s, c);

    return CLAMP((most - s->running) / MAX(most - s->slots, 1), 0.0, 1.0) *
           FW_HORIZON_MIN_US / horizon_us(all);
}

/* Whether the call would be late even without a wait, or is a repeat. */
static int
goes_last(const struct fw_plain_call *c, double work_us)
{
    return c->is_repeat || (c->spent_us > 0 && (double)c->spent_us + work_us >
                                                   (double)c->objective_us);
}

static int
has_room(const struct fw_plain_server *s)
{
    return s->running < s->slots;
}

void
Fw_PlainAdmission_Decide(const struct fw_plain_admission *a,
                         const struct fw_plain_servers *all,
                         const struct fw_plain_server *s,
                         const struct fw_plain_call *c, double chance,
                         struct fw_plain_decision *out)
{
    double work_us = service_us(s);
    double wait_us =
        MAX(0, s->running + 1 - s->slots) * work_us / MAX(s->slots, 1);
    double queue;

    *out = (struct fw_plain_decision){.wait_us = (int64_t)wait_us,
                                      .probability = 1.0};
    out->rate = admissible_rate(all, s, c);
    if (wait_us > 0 && wait_us + work_us > (double)c->left_us) {
        out->verdict = FW_PLAIN_NO_TIME;
        out->probability = 0;
        return;
    }
    if (all->is_isolated) {
        out->probability =
            a->credit >= 1 ? 1.0 : response_share(c, s, work_us);
        if (chance >= out->probability) {
            out->verdict = FW_PLAIN_OVER_SHARE;
        }
        return;
    }
    if (has_room(s)) {
        return;
    }
    if (goes_last(c, work_us)) {
        out->probability = repeat_share(all, s, c);
        if (chance >= out->probability) {
            out->verdict = FW_PLAIN_LATE;
        }
        return;
    }
    out->probability = admissible_share(all, c, out->rate);
    queue = wait_us > 0 ? queue_share(c, wait_us, work_us) : 1.0;
    if (chance < MIN(out->probability, queue)) {
        return;
    }
    out->verdict =
        queue < out->probability ? FW_PLAIN_CROWDED : FW_PLAIN_OVER_RATE;
    out->probability = MIN(out->probability, queue);
}

int64_t
Fw_PlainAdmission_LongestRetryUs(int64_t left_us)
{
    int64_t us = left_us / FW_RETRY_PARTS;

    return us < FW_RETRY_MIN_US ? 0 : us;
}

int64_t
Fw_PlainAdmission_RetryUs(const struct fw_plain_admission *a,
                          const struct fw_plain_servers *all,
                          const struct fw_plain_call *c, double chance,
                          int64_t now_us)
{
    double longest =
        MIN(FW_RETRY_MAX_US, Fw_PlainAdmission_LongestRetryUs(c->left_us));
    double free_rate = all->completions - all->asked;
    double others = a->local > 0 ? MAX(all->asked / a->local, 1.0) : 1.0;
    double work = MAX(0, all->running - all->slots) +
                  retries_ahead(a, now_us) * MIN(others, all->instances);
    double us = longest;

    if (longest <= 0) {
        return 0;
    }
    if (free_rate > 0) {
        us = CLAMP(work / free_rate * FW_SEC, FW_RETRY_MIN_US, longest);
    }
    us *= FW_RETRY_SPREAD_FRACTION + (1 - FW_RETRY_SPREAD_FRACTION) * chance;
    return (int64_t)MAX(us, 1);
}
