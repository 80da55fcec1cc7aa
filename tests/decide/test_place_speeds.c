/*
 * Placement by speed, played without a network: many instances send work to a
 * few servers, know each other's work late, and share estimates of speeds.
 * Each play is compared with the same one under the choice that ignores them.
 */
#include <check.h>
#include <math.h>

#include "base/limits.h"
#include "decide/place_engine.h"
#include "decide/place_plain.h"
#include "decide/server_speed.h"
#include "tests/base/suite.h"

#define FW_SERVERS_MAX 45
#define FW_INSTANCES_MAX 300
#define FW_HISTORY_MS 256
/* How late an instance knows the others' work, and samples are used. */
#define FW_VIEW_MIN_MS 75
#define FW_VIEW_MAX_MS 150
/* More than so many instances exchange samples through hubs. */
#define FW_NO_HUBS_MAX 12
#define FW_SAMPLE_DELAY_MS 120
#define FW_SAMPLE_HUB_DELAY_MS 250
#define FW_GROUP_PERIOD_MS 150
/* Servers that are slower for a while. */
#define FW_SLOW_MS 600
#define FW_SLOW_FACTOR 2.5
#define FW_SLOW_PART 0.15
#define FW_SPREAD 1.5
#define FW_WARM_UP_MS 5000
#define FW_END_MS 30000
#define FW_SEEDS 3

enum kind {
    FW_PLAIN,
    FW_PREFILL,
    FW_DECODE
};

/**
 * struct plan - servers and what is sent to them.
 * @slots: requests that a server works on at a time
 * @queue: further ones that it takes
 * @work_ms: mean work of a request at speed 1
 * @long_part: part of the requests with five times the work
 * @objective_ms: a response is in time within this
 * @has_slow_times: servers are slower for a while now and then
 */
struct plan {
    int instances;
    int servers;
    int slots;
    int queue;
    double per_s;
    double work_ms;
    double long_part;
    double objective_ms;
    double speeds[3];
    int has_slow_times;
    int by_speed;
    enum kind kind;
};

/**
 * struct job - a request at a server.
 * @work_ms: work that is still to be done
 * @actual_ms: its whole work
 * @size_ms: its work as it is known before
 * @queued_ms: work there that was known when it was sent, its own included
 * @running: requests there that were known then
 */
struct job {
    int instance;
    int sent_ms;
    double work_ms;
    double actual_ms;
    double size_ms;
    double queued_ms;
    int running;
};

/** struct server - jobs in the order of their arrival. */
struct server {
    GArray *jobs;
    double base_speed;
    int slow_until_ms;
    int running[FW_HISTORY_MS];
    double work[FW_HISTORY_MS];
    struct fw_server_speed believed;
    double speed; /* relative, as used */
};

/** struct pending - a sample on its way. */
struct pending {
    int due_ms;
    int server;
    double rate;
    double weight;
};

/**
 * struct instance - what one instance knows by itself.
 * @late_ms: how late it knows what others know
 * @past_running: its requests at each server, by time
 */
struct instance {
    int late_ms;
    int running[FW_SERVERS_MAX];
    double work_ms[FW_SERVERS_MAX];
    double latency_ms[FW_SERVERS_MAX];
    int past_running[FW_SERVERS_MAX][FW_HISTORY_MS];
};

struct play {
    struct plan plan;
    GRand *rand;
    int now_ms;
    struct server servers[FW_SERVERS_MAX];
    struct instance *instances;
    struct fw_speed_group group;
    GArray *pending;
    guint next_pending;
    int requests;
    int in_time;
    int answered;
    double took_ms;
};

/* Requests whose response would be late only after the end don't count. */
static int
counts(const struct play *p, int sent_ms)
{
    return sent_ms >= FW_WARM_UP_MS &&
           sent_ms < FW_END_MS - p->plan.objective_ms;
}

static double
exponential(GRand *rand, double mean)
{
    return -mean * log(1 - g_rand_double(rand));
}

static int
at(int ms)
{
    return (ms + FW_HISTORY_MS) % FW_HISTORY_MS;
}

/* Requests at a server as an instance knows them: its own are up to date. */
static int
known_running(const struct play *p, const struct instance *in, int s)
{
    int past = at(p->now_ms - in->late_ms);

    return p->servers[s].running[past] - in->past_running[s][past] +
           in->running[s];
}

static double
known_work_ms(const struct play *p, const struct instance *in, int s)
{
    return MAX(p->servers[s].work[at(p->now_ms - in->late_ms)],
               in->work_ms[s]);
}

/* Own response times and own requests only. */
static int
choose_plain_by_latency(struct play *p, const struct instance *in)
{
    double best_score = INFINITY;
    int best = 0;

    for (int s = 0; s < p->plan.servers; s++) {
        double latency = in->latency_ms[s] > 0 ? in->latency_ms[s] : 30;
        double load = 1 + (double)in->running[s] / p->plan.slots;
        double score =
            latency * load * load * g_rand_double_range(p->rand, 1, 1.3);

        if (score < best_score) {
            best_score = score;
            best = s;
        }
    }
    return best;
}

static int
choose_plain(struct play *p, const struct instance *in)
{
    struct fw_plain_server servers[FW_PLAIN_SERVERS_MAX];

    if (!p->plan.by_speed || exp(p->group.spread) <= FW_SPREAD ||
        p->plan.instances <= FW_PLAIN_OWN_VIEW_INSTANCES) {
        return choose_plain_by_latency(p, in);
    }
    for (int s = 0; s < p->plan.servers; s++) {
        servers[s] =
            (struct fw_plain_server){.speed = p->servers[s].speed,
                                     .slots = p->plan.slots,
                                     .running = known_running(p, in, s)};
    }
    return Fw_PlacePlain_Choose(
        servers, p->plan.servers, p->plan.work_ms * FW_MSEC,
        p->plan.instances > 1 ? FW_VIEW_MAX_MS * FW_MSEC : 0,
        g_rand_double(p->rand));
}

static int
drawn_server(const struct play *p, const struct fw_engine_draw *d)
{
    const struct server *server = Fw_EngineDraw_Best(d);

    return (int)(server - p->servers);
}

static int
choose_prefill(struct play *p, const struct instance *in, double own_ms)
{
    int by_speed = p->plan.by_speed && exp(p->group.spread) > FW_SPREAD;
    struct fw_engine_draw d = {0};

    for (int s = 0; s < p->plan.servers; s++) {
        double speed = by_speed ? p->servers[s].speed : 1;

        Fw_EngineDraw_Add(&d, &p->servers[s], speed,
                          (known_work_ms(p, in, s) + own_ms) / speed,
                          1 - g_rand_double(p->rand));
    }
    return drawn_server(p, &d);
}

/* One slot stands for the memory of one stream. Return: -1 for no room. */
static int
choose_decode(struct play *p, const struct instance *in)
{
    int by_speed = p->plan.by_speed && exp(p->group.spread) > FW_SPREAD;
    struct fw_engine_draw d = {0};

    for (int s = 0; s < p->plan.servers; s++) {
        double speed = by_speed ? p->servers[s].speed : 1;
        int room = p->plan.slots - known_running(p, in, s) - 1;

        if (room >= 0) {
            Fw_EngineDraw_Add(
                &d, &p->servers[s], 1,
                Fw_PlaceEngine_DecodeCost(room * 5000, speed, 0, 0),
                1 - g_rand_double(p->rand));
        }
    }
    return d.n ? drawn_server(p, &d) : -1;
}

static int
choose(struct play *p, const struct instance *in, double size_ms)
{
    switch (p->plan.kind) {
    case FW_PLAIN:
        return choose_plain(p, in);
    case FW_PREFILL:
        return choose_prefill(p, in, size_ms);
    case FW_DECODE:
        return choose_decode(p, in);
    }
    return -1;
}

static double
draw_size_ms(struct play *p)
{
    double size = p->plan.work_ms;

    if (p->plan.kind == FW_PREFILL) {
        size *= 0.3 + 1.4 * g_rand_double(p->rand);
    }
    return g_rand_double(p->rand) < p->plan.long_part ? size * 5 : size;
}

static void
open_request(struct play *p)
{
    int i = g_rand_int_range(p->rand, 0, p->plan.instances);
    struct instance *in = &p->instances[i];
    double size = draw_size_ms(p);
    struct job job = {.instance = i, .sent_ms = p->now_ms, .size_ms = size};
    int s = choose(p, in, size);

    p->requests += counts(p, p->now_ms);
    if (s < 0 ||
        (int)p->servers[s].jobs->len >= p->plan.slots + p->plan.queue) {
        return;
    }
    job.work_ms = p->plan.kind == FW_PREFILL
                      ? size
                      : size * (0.5 + g_rand_double(p->rand));
    job.actual_ms = job.work_ms;
    job.running = known_running(p, in, s);
    job.queued_ms = known_work_ms(p, in, s) + size;
    g_array_append_val(p->servers[s].jobs, job);
    in->running[s]++;
    in->work_ms[s] += size;
}

/* Work over time, as the relay measures it for each kind of request. */
static double
measured_rate(const struct plan *plan, const struct job *job, int took_ms)
{
    switch (plan->kind) {
    case FW_PLAIN:
        return MAX(1, (job->running + 1.0) / plan->slots) / took_ms;
    case FW_PREFILL:
        return job->queued_ms / took_ms;
    case FW_DECODE:
        return job->actual_ms / took_ms;
    }
    return 0;
}

static void
note_sample(struct play *p, int s, const struct job *job)
{
    int delay_ms = p->plan.instances > FW_NO_HUBS_MAX ? FW_SAMPLE_HUB_DELAY_MS
                   : p->plan.instances > 1            ? FW_SAMPLE_DELAY_MS
                                                      : 0;
    struct pending sample = {
        .due_ms = p->now_ms + delay_ms,
        .server = s,
        .rate = measured_rate(&p->plan, job, MAX(p->now_ms - job->sent_ms, 1)),
        .weight =
            p->plan.kind == FW_PREFILL ? job->size_ms / job->queued_ms : 1};

    g_array_append_val(p->pending, sample);
}

static void
end_job(struct play *p, int s, const struct job *job)
{
    struct instance *in = &p->instances[job->instance];
    int took_ms = p->now_ms - job->sent_ms;

    in->running[s]--;
    in->work_ms[s] -= job->size_ms;
    in->latency_ms[s] =
        in->latency_ms[s] == 0
            ? took_ms
            : in->latency_ms[s] + 0.15 * (took_ms - in->latency_ms[s]);
    note_sample(p, s, job);
    if (counts(p, job->sent_ms)) {
        p->answered++;
        p->took_ms += took_ms;
        p->in_time += took_ms <= p->plan.objective_ms;
    }
}

static void
work(struct play *p, int s)
{
    struct server *server = &p->servers[s];
    double speed = p->now_ms < server->slow_until_ms
                       ? server->base_speed / FW_SLOW_FACTOR
                       : server->base_speed;
    int n = MIN((int)server->jobs->len, p->plan.slots);

    for (int k = n - 1; k >= 0; k--) {
        struct job *job = &g_array_index(server->jobs, struct job, k);

        job->work_ms -= speed;
        if (job->work_ms <= 0) {
            end_job(p, s, job);
            g_array_remove_index(server->jobs, (guint)k);
        }
    }
    if (p->plan.has_slow_times && p->now_ms >= server->slow_until_ms &&
        g_rand_double(p->rand) <
            FW_SLOW_PART / (1 - FW_SLOW_PART) / FW_SLOW_MS) {
        server->slow_until_ms = p->now_ms + FW_SLOW_MS;
    }
}

static void
remember(struct play *p)
{
    int now = at(p->now_ms);

    for (int s = 0; s < p->plan.servers; s++) {
        const struct server *server = &p->servers[s];
        double sum = 0;

        for (guint k = 0; k < server->jobs->len; k++) {
            sum += g_array_index(server->jobs, struct job, k).size_ms;
        }
        p->servers[s].running[now] = (int)server->jobs->len;
        p->servers[s].work[now] = sum;
        for (int i = 0; i < p->plan.instances; i++) {
            p->instances[i].past_running[s][now] = p->instances[i].running[s];
        }
    }
}

static void
use_samples(struct play *p)
{
    int64_t now_us = (p->now_ms + 1) * FW_MSEC;
    const struct fw_server_speed *all[FW_SERVERS_MAX];

    for (; p->next_pending < p->pending->len; p->next_pending++) {
        const struct pending *x =
            &g_array_index(p->pending, struct pending, p->next_pending);
        struct fw_speed_sum sum = {0};

        if (x->due_ms > p->now_ms) {
            break;
        }
        Fw_SpeedSum_Add(&sum, &p->group, x->rate, x->weight);
        Fw_ServerSpeed_Fold(&p->servers[x->server].believed, &p->group, &sum,
                            now_us);
    }
    if (p->now_ms % FW_GROUP_PERIOD_MS) {
        return;
    }
    for (int s = 0; s < p->plan.servers; s++) {
        all[s] = &p->servers[s].believed;
    }
    Fw_SpeedGroup_Update(&p->group, all, p->plan.servers, 0, now_us);
    for (int s = 0; s < p->plan.servers; s++) {
        p->servers[s].speed = exp(
            Fw_ServerSpeed_Log(all[s], &p->group, 0, now_us) - p->group.mean);
    }
}

static struct play *
play_new(const struct plan *plan, uint32_t seed)
{
    struct play *p = g_new0(struct play, 1);

    p->plan = *plan;
    p->rand = g_rand_new_with_seed(seed);
    p->instances = g_new0(struct instance, (gsize)plan->instances);
    p->pending = g_array_new(FALSE, FALSE, sizeof(struct pending));
    Fw_SpeedGroup_Init(&p->group);
    for (int i = 0; i < plan->instances; i++) {
        p->instances[i].late_ms =
            g_rand_int_range(p->rand, FW_VIEW_MIN_MS, FW_VIEW_MAX_MS);
    }
    for (int s = 0; s < plan->servers; s++) {
        p->servers[s].jobs = g_array_new(FALSE, FALSE, sizeof(struct job));
        p->servers[s].base_speed = plan->speeds[s % 3];
        p->servers[s].speed = 1;
    }
    return p;
}

static void
play_free(struct play *p)
{
    for (int s = 0; s < p->plan.servers; s++) {
        g_array_unref(p->servers[s].jobs);
    }
    g_array_unref(p->pending);
    g_rand_free(p->rand);
    g_free(p->instances);
    g_free(p);
}

/**
 * struct result - outcome of a play.
 * @in_time: thousandths of the requests that were answered in time
 * @took_ms: mean time that a response took
 */
struct result {
    int in_time;
    double took_ms;
};

static struct result
play(const struct plan *plan, int by_speed)
{
    int requests = 0;
    int in_time = 0;
    int answered = 0;
    double took_ms = 0;

    for (uint32_t seed = 1; seed <= FW_SEEDS; seed++) {
        struct play *p = play_new(plan, seed);
        double next_ms = 0;

        p->plan.by_speed = by_speed;
        for (p->now_ms = 0; p->now_ms < FW_END_MS; p->now_ms++) {
            remember(p);
            use_samples(p);
            while (next_ms <= p->now_ms) {
                open_request(p);
                next_ms += exponential(p->rand, 1000 / plan->per_s);
            }
            for (int s = 0; s < plan->servers; s++) {
                work(p, s);
            }
        }
        requests += p->requests;
        in_time += p->in_time;
        answered += p->answered;
        took_ms += p->took_ms;
        play_free(p);
    }
    return (struct result){(int)(in_time * 1000LL / requests),
                           took_ms / answered};
}

static const struct plan plain = {.servers = 3,
                                  .slots = 6,
                                  .queue = 24,
                                  .work_ms = 30,
                                  .long_part = 0.01,
                                  .objective_ms = 150,
                                  .kind = FW_PLAIN};
static const struct plan prefill = {.servers = 16,
                                    .slots = 1,
                                    .queue = 1000,
                                    .work_ms = 94,
                                    .objective_ms = 500,
                                    .kind = FW_PREFILL};
static const struct plan decode = {.servers = 29,
                                   .slots = 13,
                                   .work_ms = 2800,
                                   .objective_ms = 7000,
                                   .kind = FW_DECODE};
static const double uneven[] = {0.7, 0.7, 1.7};
static const double even[] = {1, 1, 1};

/**
 * struct play_case - a play, and what the choice by speed must gain in it.
 * @gain_min: thousandths of the requests, compared with the choice without
 * @faster_min: thousandths of the mean response time, likewise
 */
struct play_case {
    const struct plan *plan;
    const double *speeds;
    int instances;
    double per_s;
    int has_slow_times;
    int gain_min;
    int faster_min;
};

static const struct play_case cases[] = {
    /* Guards against an instance's own requests and times as the only ones. */
    {&plain, uneven, 5, 200, 1, 0, 0},
    {&plain, uneven, 40, 330, 1, 10, 0},
    {&plain, uneven, 75, 200, 1, 5, 30},
    {&plain, uneven, 300, 200, 1, 0, 30},
    {&plain, uneven, 75, 330, 1, 30, 50},
    {&plain, uneven, 300, 330, 1, 20, 0},
    {&plain, uneven, 75, 330, 0, -2, 30},
    /* Guards against a prediction that is the same for all engines. */
    {&prefill, uneven, 5, 110, 0, 15, 100},
    {&prefill, uneven, 75, 110, 0, 15, 100},
    {&prefill, uneven, 5, 110, 1, 30, 100},
    {&prefill, uneven, 75, 110, 1, 30, 100},
    {&prefill, uneven, 75, 130, 1, 50, 100},
    /*
     * Guards against streams at slow engines while fast ones have room. A
     * rejected reservation, which the relay would request again, counts as
     * late.
     */
    {&decode, uneven, 5, 110, 1, -15, 5},
    {&decode, uneven, 75, 110, 0, -10, 10},
    {&decode, uneven, 75, 110, 1, -10, 5},
    /* Equal servers are chosen as without speeds. */
    {&plain, even, 75, 330, 0, -2, -10},
    {&plain, even, 75, 330, 1, -10, -50},
    {&plain, even, 300, 330, 1, -10, -50},
    {&prefill, even, 75, 110, 0, -2, -10},
    {&prefill, even, 75, 110, 1, -5, -10},
    {&decode, even, 75, 110, 0, -2, -10},
};

START_TEST(speeds_serve_more_in_time)
{
    const struct play_case *t = &cases[_i];
    struct plan plan = *t->plan;
    struct result without;
    struct result with;
    int faster;

    memcpy(plan.speeds, t->speeds, sizeof(plan.speeds));
    plan.instances = t->instances;
    plan.per_s = t->per_s;
    plan.has_slow_times = t->has_slow_times;
    without = play(&plan, 0);
    with = play(&plan, 1);
    faster = (int)(1000 - 1000 * with.took_ms / without.took_ms);
    ck_assert_msg(with.in_time - without.in_time >= t->gain_min &&
                      faster >= t->faster_min,
                  "%d in a thousand in time, %d without speeds; %.1f ms, "
                  "%.1f ms without",
                  with.in_time, without.in_time, with.took_ms,
                  without.took_ms);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("placement by speed");

    tcase_set_timeout(tc, 60);
    tcase_add_loop_test(tc, speeds_serve_more_in_time, 0, G_N_ELEMENTS(cases));
    return Fw_Suite_Run(tc);
}
