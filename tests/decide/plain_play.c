#include "tests/decide/plain_play.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "base/limits.h"
#include "decide/plain_admission.h"

#define FW_STEP_US 500
#define FW_MEAN_WEIGHT 0.15
#define FW_BURST_START_MS 4000
#define FW_AFTER_BURST_MS 4000
#define FW_INSTANCES_MAX 300
#define FW_PLACES_MAX (FW_PLAY_SLOTS + FW_PLAY_QUEUE)
/* Steps of history, longer than the oldest view. */
#define FW_HISTORY 2048
#define FW_LONG_SHARE 0.01
#define FW_LONG_FACTOR 5
/* Callers are a network's latency away. */
#define FW_LATENCY_US 2000
#define FW_DEFAULT_RESPONSE_US 30000.0
/* Retry-After of the rule that bounds the queues, and without servers. */
#define FW_QUEUE_RETRY_MIN_US 80000
#define FW_QUEUE_RETRY_MAX_US 200000
#define FW_NO_SERVER_RETRY_US FW_SEC
/* A slow server's speed is known this much later. */
#define FW_SPEED_KNOWN_MS 500

/** struct caller - one caller, with at most two attempts. */
struct caller {
    int64_t first_us;
    int64_t next_us;
    int attempts;
    int instance;
};

/** struct job - a call at a server; @found_free: as its instance knew. */
struct job {
    int caller;
    int instance;
    int64_t sent_us;
    int64_t ends_us;
    int found_free;
    int found_idle;
};

/** struct server - queue of jobs, of which the first run. */
struct server {
    int n;
    struct job jobs[FW_PLACES_MAX];
};

/** struct instance - what one instance knows by itself. */
struct instance {
    int is_dead;
    int running[FW_PLAY_SERVERS];
    double service_us[FW_PLAY_SERVERS];
    double latency_us[FW_PLAY_SERVERS];
    struct fw_plain_admission admission;
    int64_t phase_us;
};

struct state {
    const struct fw_plain_play *p;
    const struct fw_play_calls *k;
    struct fw_play_result *res;
    GRand *rand;
    GRand *arrivals;
    int64_t now_us;
    struct server servers[FW_PLAY_SERVERS];
    struct instance instances[FW_INSTANCES_MAX];
    GArray *callers;
    GArray *waiting; /* indices of callers that will retry */
    double asked;    /* mean over a second, of all instances */
    struct {
        int running[FW_PLAY_SERVERS];
        double asked;
        double speed;
    } history[FW_HISTORY];
    int rejections; /* in this step's window of 50 ms */
    GArray *levels;
    double idle;
    double idle_of;
};

static double
capacity_per_s(const struct fw_play_calls *k)
{
    return 1000.0 * FW_PLAY_SERVERS * FW_PLAY_SLOTS /
           (k->work_ms * (1 + FW_LONG_SHARE * (FW_LONG_FACTOR - 1)));
}

static int
in_burst(const struct state *f)
{
    int64_t ms = f->now_us / FW_MSEC - FW_BURST_START_MS;

    return ms >= 0 && ms < f->p->burst_ms;
}

static int
in_outage(const struct state *f)
{
    int64_t ms = f->now_us / FW_MSEC - FW_BURST_START_MS;

    return ms < 0 && ms >= -f->p->outage_ms;
}

/* Whether the server has been slow for @for_ms. */
static int
is_slow(const struct state *f, int server, int for_ms)
{
    return server == 0 && f->p->slow > 1 && in_burst(f) &&
           f->now_us / FW_MSEC >=
               FW_BURST_START_MS + f->p->burst_ms / 3 + for_ms;
}

static int64_t
draw_work_us(struct state *f, int server)
{
    double us = f->k->work_ms * 1000.0;

    us *= g_rand_double_range(f->rand, 0.5, 1.5);
    if (g_rand_double(f->rand) < FW_LONG_SHARE) {
        us *= FW_LONG_FACTOR;
    }
    if (is_slow(f, server, 0)) {
        us *= f->p->slow;
    }
    return (int64_t)us;
}

/* Index in the history of what the instance knows of the others. */
static int
view_index(const struct state *f, const struct instance *x)
{
    int64_t age = MAX(f->p->age_ms, 1) * FW_MSEC;
    int64_t at = f->now_us - (f->now_us + x->phase_us) % age - age / 2;

    return (int)((MAX(at, 0) / FW_STEP_US) % FW_HISTORY);
}

static int
known_running(const struct state *f, const struct instance *x, int server)
{
    if (f->p->age_ms == 0) {
        return x->running[server];
    }
    return MAX(x->running[server],
               f->history[view_index(f, x)].running[server]);
}

static double
known_speed(const struct state *f, const struct instance *x, int server)
{
    if (!f->p->knows_speed || server != 0) {
        return 1.0;
    }
    return f->history[view_index(f, x)].speed;
}

/* Lower is better. */
static double
score_of(struct state *f, const struct instance *x, int i)
{
    double noise = 1.0 + g_rand_double_range(f->rand, 0, 0.3);
    double load = 1.0 + (double)x->running[i] / FW_PLAY_SLOTS;

    if (f->p->by_load) {
        return (FW_PLAY_SLOTS + known_running(f, x, i)) /
               known_speed(f, x, i) * noise;
    }
    return (x->latency_us[i] > 0 ? x->latency_us[i] : FW_DEFAULT_RESPONSE_US) *
           load * load * noise;
}

/*
 * The server of an instance's choice. By load it is the better one of two
 * drawn at random.
 */
static int
choose_server(struct state *f, const struct instance *x, int tried)
{
    double best_score = 0;
    int best = -1;
    int left_out = f->p->by_load && !tried
                       ? g_rand_int_range(f->rand, 0, FW_PLAY_SERVERS)
                       : -1;

    for (int i = 0; i < FW_PLAY_SERVERS; i++) {
        double score = score_of(f, x, i);

        if (!(tried & 1 << i) && i != left_out &&
            (best < 0 || score < best_score)) {
            best = i;
            best_score = score;
        }
    }
    return best;
}

/* The rule that bounds each server's queue by the calls known there. */
static int
queue_admits(struct state *f, const struct instance *x, int server,
             int64_t *retry_us)
{
    double service = x->service_us[server] > 0 ? x->service_us[server]
                                               : FW_DEFAULT_RESPONSE_US;
    double limit =
        FW_PLAY_SLOTS * MAX(0.8 * f->k->objective_ms * FW_MSEC / service, 1.5);
    double part = (known_running(f, x, server) + 1 - limit) / (0.5 * limit);

    *retry_us = g_rand_int_range(f->rand, FW_QUEUE_RETRY_MIN_US,
                                 FW_QUEUE_RETRY_MAX_US);
    return part <= 0 || g_rand_double(f->rand) >= part;
}

static void
describe(const struct state *f, const struct instance *x, int server,
         struct fw_plain_servers *all, struct fw_plain_server *one)
{
    int live = 0;
    double us = Fw_PlainAdmission_SlotUs(&x->admission);

    for (int i = 0; i < f->p->instances; i++) {
        live += !f->instances[i].is_dead;
    }
    *all = (struct fw_plain_servers){.age_us = f->p->age_ms * FW_MSEC,
                                     .instances = live,
                                     .is_isolated = f->p->age_ms == 0 &&
                                                    f->p->instances > 1};
    for (int i = 0; i < FW_PLAY_SERVERS; i++) {
        struct fw_plain_server s = {.running = known_running(f, x, i),
                                    .slots = FW_PLAY_SLOTS,
                                    .service_us = us,
                                    .speed = known_speed(f, x, i),
                                    .response_us = x->latency_us[i]};

        all->running += s.running;
        all->slots += s.slots;
        all->completions += s.slots * s.speed * 1e6 / us;
        if (i == server) {
            *one = s;
        }
    }
}

static int
forecast_admits(struct state *f, struct instance *x, int server,
                const struct caller *who, int64_t *retry_us)
{
    struct fw_plain_servers all;
    struct fw_plain_server one;
    struct fw_plain_decision got;
    struct fw_plain_call c = {
        .objective_us = f->k->objective_ms * FW_MSEC,
        .spent_us = f->p->is_undeclared ? 0 : f->now_us - who->first_us,
        .is_repeat = !f->p->is_undeclared && who->attempts > 1,
        .asked = f->p->age_ms ? f->history[view_index(f, x)].asked
                              : x->admission.local};

    c.left_us = f->k->deadline_ms * FW_MSEC - (f->now_us - who->first_us);
    describe(f, x, server, &all, &one);
    all.asked = c.asked;
    Fw_PlainAdmission_Refill(&x->admission, &all, f->now_us);
    Fw_PlainAdmission_Decide(&x->admission, &all, &one, &c,
                             g_rand_double(f->rand), &got);
    if (got.verdict == FW_PLAIN_ADMIT) {
        Fw_PlainAdmission_NoteAdmitted(&x->admission);
        return 1;
    }
    *retry_us = Fw_PlainAdmission_RetryUs(&x->admission, &all, &c,
                                          g_rand_double(f->rand), f->now_us);
    return 0;
}

static void
reject(struct state *f, struct caller *who, int64_t retry_us, int at)
{
    f->rejections++;
    if (who->attempts > 1) {
        f->res->rejected_twice++;
        return;
    }
    f->res->rejected++;
    if (f->now_us + retry_us - who->first_us >= f->k->deadline_ms * FW_MSEC) {
        f->res->rejected_twice++;
        return;
    }
    who->next_us = f->now_us + retry_us + FW_LATENCY_US;
    g_array_append_val(f->waiting, at);
}

static void
start_jobs(struct state *f, int i)
{
    struct server *s = &f->servers[i];

    for (int k = 0; k < MIN(s->n, FW_PLAY_SLOTS); k++) {
        if (!s->jobs[k].ends_us) {
            s->jobs[k].ends_us = f->now_us + draw_work_us(f, i);
        }
    }
}

/* Sends the call to a server. Return: zero if the server is full. */
static int
send_job(struct state *f, struct instance *x, int server, int at)
{
    struct server *s = &f->servers[server];

    if (s->n == FW_PLACES_MAX) {
        return 0;
    }
    s->jobs[s->n++] = (struct job){
        .caller = at,
        .instance = (int)(x - f->instances),
        .sent_us = f->now_us,
        .found_free = known_running(f, x, server) < FW_PLAY_SLOTS,
        .found_idle = known_running(f, x, server) <= FW_PLAY_SLOTS / 2};
    x->running[server]++;
    start_jobs(f, server);
    return 1;
}

static struct instance *
draw_instance(struct state *f)
{
    int i;

    if (in_burst(f) && g_rand_double(f->rand) < f->p->crowd) {
        return &f->instances[f->p->instances - 1];
    }
    do {
        i = g_rand_int_range(f->rand, 0, f->p->instances);
    } while (f->instances[i].is_dead);
    return &f->instances[i];
}

static void
attempt(struct state *f, int at)
{
    struct caller *who = &g_array_index(f->callers, struct caller, at);
    struct instance *x = draw_instance(f);
    int64_t left_us =
        f->k->deadline_ms * FW_MSEC - (f->now_us - who->first_us);
    int64_t retry_us = g_rand_int_range(f->rand, FW_QUEUE_RETRY_MIN_US,
                                        FW_QUEUE_RETRY_MAX_US);
    int tried = 0;

    who->attempts++;
    f->asked += who->attempts == 1 || f->p->is_undeclared;
    Fw_PlainAdmission_NoteCall(&x->admission, f->now_us);
    if (in_outage(f)) {
        retry_us = f->p->forecast ? MIN(FW_NO_SERVER_RETRY_US, left_us / 3)
                                  : FW_NO_SERVER_RETRY_US;
    }
    while (!in_outage(f) && tried != (1 << FW_PLAY_SERVERS) - 1) {
        int server = choose_server(f, x, tried);
        int admits = f->p->forecast
                         ? forecast_admits(f, x, server, who, &retry_us)
                         : queue_admits(f, x, server, &retry_us);

        if (!admits) {
            break;
        }
        if (send_job(f, x, server, at)) {
            return;
        }
        tried |= 1 << server;
    }
    reject(f, who, retry_us, at);
}

static void
finish(struct state *f, const struct job *j, int server)
{
    struct instance *x = &f->instances[j->instance];
    double took = (double)(f->now_us - j->sent_us);
    int64_t total_us =
        f->now_us + FW_LATENCY_US -
        g_array_index(f->callers, struct caller, j->caller).first_us;

    x->running[server]--;
    x->latency_us[server] =
        x->latency_us[server] > 0
            ? x->latency_us[server] +
                  FW_MEAN_WEIGHT * (took - x->latency_us[server])
            : took;
    if (j->found_idle) {
        Fw_PlainAdmission_NoteSlotTime(&x->admission, f->now_us - j->sent_us);
    }
    if (j->found_free) {
        x->service_us[server] =
            x->service_us[server] > 0
                ? x->service_us[server] +
                      FW_MEAN_WEIGHT * (took - x->service_us[server])
                : took;
    }
    if (x->is_dead || total_us > f->k->deadline_ms * FW_MSEC) {
        f->res->lost++;
    }
    else if (total_us > f->k->objective_ms * FW_MSEC) {
        f->res->late++;
    }
    else {
        f->res->in_time++;
    }
}

static void
end_jobs(struct state *f)
{
    for (int i = 0; i < FW_PLAY_SERVERS; i++) {
        struct server *s = &f->servers[i];

        for (int k = 0; k < MIN(s->n, FW_PLAY_SLOTS);) {
            struct job j = s->jobs[k];

            if (j.ends_us > f->now_us) {
                k++;
                continue;
            }
            memmove(&s->jobs[k], &s->jobs[k + 1],
                    (size_t)(--s->n - k) * sizeof(s->jobs[0]));
            finish(f, &j, i);
            start_jobs(f, i);
        }
    }
}

static void
arrive(struct state *f)
{
    double per_s =
        capacity_per_s(f->k) / 2 * (in_burst(f) ? f->p->burst : 1.0);
    double n = per_s * FW_STEP_US / FW_SEC;

    while (n > 0) {
        struct caller who = {.first_us = f->now_us};
        int at = (int)f->callers->len;

        int comes = g_rand_double(f->arrivals) < n;

        n -= 1;
        if (comes) {
            f->res->asked++;
            g_array_append_val(f->callers, who);
            attempt(f, at);
        }
    }
    for (guint i = 0; i < f->waiting->len;) {
        int at = g_array_index(f->waiting, int, i);

        if (g_array_index(f->callers, struct caller, at).next_us <=
            f->now_us) {
            g_array_remove_index_fast(f->waiting, i);
            attempt(f, at);
        }
        else {
            i++;
        }
    }
}

static void
observe(struct state *f)
{
    int64_t step = f->now_us / FW_STEP_US;
    int total = 0;

    f->asked *= exp(-(double)FW_STEP_US / FW_SEC);
    for (int i = 0; i < FW_PLAY_SERVERS; i++) {
        f->history[step % FW_HISTORY].running[i] = f->servers[i].n;
        total += f->servers[i].n;
    }
    f->history[step % FW_HISTORY].asked = f->asked;
    f->history[step % FW_HISTORY].speed =
        is_slow(f, 0, FW_SPEED_KNOWN_MS) ? 1 / f->p->slow : 1.0;
    if (!in_burst(f) ||
        f->now_us / FW_MSEC <
            FW_BURST_START_MS + MIN(1000, f->p->burst_ms / 2)) {
        return;
    }
    if (f->rejections) {
        f->idle_of += FW_PLAY_SERVERS * FW_PLAY_SLOTS;
        for (int i = 0; i < FW_PLAY_SERVERS; i++) {
            f->idle += MAX(FW_PLAY_SLOTS - f->servers[i].n, 0);
        }
    }
    if (step % 100 == 0) {
        f->rejections = 0;
    }
    g_array_append_val(f->levels, total);
}

static int
by_value(gconstpointer a, gconstpointer b)
{
    return *(const int *)a - *(const int *)b;
}

static int
percentile_permille(const GArray *levels, double part)
{
    return levels->len
               ? g_array_index(levels, int, (guint)(levels->len * part)) *
                     1000 / (FW_PLAY_SERVERS * FW_PLACES_MAX)
               : 0;
}

void
Fw_PlainPlay_Run(const struct fw_plain_play *p, const struct fw_play_calls *k,
                 struct fw_play_result *out)
{
    struct state *f = g_new0(struct state, 1);
    int64_t end_us =
        (FW_BURST_START_MS + p->burst_ms + FW_AFTER_BURST_MS) * FW_MSEC;

    f->p = p;
    f->k = k;
    f->res = out;
    f->rand = g_rand_new_with_seed(p->seed);
    f->arrivals = g_rand_new_with_seed(p->seed + 1000);
    f->callers = g_array_new(FALSE, TRUE, sizeof(struct caller));
    f->waiting = g_array_new(FALSE, TRUE, sizeof(int));
    f->levels = g_array_new(FALSE, TRUE, sizeof(int));
    for (int i = 0; i < p->instances; i++) {
        f->instances[i].phase_us = g_rand_int_range(f->rand, 0, 600000);
    }
    for (f->now_us = FW_STEP_US; f->now_us < end_us; f->now_us += FW_STEP_US) {
        if (p->kills && f->now_us / FW_MSEC == FW_BURST_START_MS + 1000) {
            for (int i = 0; i < p->instances / 2; i++) {
                f->instances[i].is_dead = 1;
            }
        }
        end_jobs(f);
        arrive(f);
        observe(f);
    }
    g_array_sort(f->levels, by_value);
    out->idle_permille = (int)(f->idle * 1000 / MAX(f->idle_of, 1));
    out->low_permille = percentile_permille(f->levels, 0.05);
    out->high_permille = percentile_permille(f->levels, 0.95);
    g_array_unref(f->callers);
    g_array_unref(f->waiting);
    g_array_unref(f->levels);
    g_rand_free(f->rand);
    g_rand_free(f->arrivals);
    g_free(f);
}
