#include "decide/place_plain.h"

#include <glib.h>
#include <math.h>

/*
 * Calls placed longer ago than this many times the work of one are mostly
 * complete, and count no more, however late the view is.
 */
#define FW_LATE_WORK_MAX 2.0
/*
 * Part of its capacity by which a server is expected to complete calls while
 * the view is late.
 */
#define FW_USE_EXPECTED 0.5
/* Halvings of the interval that contains the common cost. */
#define FW_BISECTIONS 24

/** struct spread - calls to be spread over servers; see place_plain.h. */
struct spread {
    const struct fw_plain_server *servers;
    int n;
    double work_us;
    double late_us;
    double calls;
};

static int
slots(const struct spread *p, int i)
{
    return MAX(p->servers[i].slots, 1);
}

static double
work_us(const struct spread *p, int i)
{
    return p->work_us / p->servers[i].speed;
}

/*
 * Cost of one more call: its work, and more with the load. The square keeps
 * slots of a fast server free, as its speed may change before that is known.
 */
static double
cost(const struct spread *p, int i, double running)
{
    double load = 1 + running / slots(p, i);

    return work_us(p, i) * load * load;
}

/*
 * Calls that the server can get while the view is late, until the next one
 * costs @most.
 */
static double
calls_for(const struct spread *p, int i, double most)
{
    double load = sqrt(most / work_us(p, i));
    double completed =
        FW_USE_EXPECTED * slots(p, i) * p->late_us / work_us(p, i);

    if (load < 1) {
        return 0;
    }
    return MAX(slots(p, i) * (load - 1) + completed - p->servers[i].running,
               0);
}

static double
all_calls_for(const struct spread *p, double most)
{
    double sum = 0;

    for (int i = 0; i < p->n; i++) {
        sum += calls_for(p, i, most);
    }
    return sum;
}

/* Calls of all instances that are expected while the view is late. */
static double
expected_calls(const struct spread *p)
{
    double rate = 0;

    for (int i = 0; i < p->n; i++) {
        const struct fw_plain_server *s = &p->servers[i];

        rate += MIN(s->running, slots(p, i)) / work_us(p, i);
    }
    return 1 + rate * p->late_us;
}

static double
upper_bound(const struct spread *p)
{
    double most = 0;

    for (int i = 0; i < p->n; i++) {
        most = MAX(most, cost(p, i, p->servers[i].running + p->calls));
    }
    return most;
}

static int
pick(const double *calls, int n, double sum, double chance)
{
    double left = chance * sum;

    for (int i = 0; i < n; i++) {
        left -= calls[i];
        if (left < 0) {
            return i;
        }
    }
    return n - 1;
}

int
Fw_PlacePlain_Choose(const struct fw_plain_server *servers, int n,
                     double work_us, double late_us, double chance)
{
    struct spread p = {.servers = servers, .n = n, .work_us = MAX(work_us, 1)};
    double calls[FW_PLAIN_SERVERS_MAX];
    double low = 0;
    double high;
    double low_sum;
    double part;
    double sum = 0;

    p.late_us = MIN(late_us, FW_LATE_WORK_MAX * p.work_us);
    p.calls = expected_calls(&p);
    high = upper_bound(&p);
    for (int k = 0; k < FW_BISECTIONS; k++) {
        double middle = (low + high) / 2;

        if (all_calls_for(&p, middle) < p.calls) {
            low = middle;
        }
        else {
            high = middle;
        }
    }
    /* At some cost a slower server gets several calls at once, or a part. */
    low_sum = all_calls_for(&p, low);
    part = (p.calls - low_sum) /
           MAX(all_calls_for(&p, high) - low_sum, p.calls - low_sum);
    for (int i = 0; i < n; i++) {
        double few = calls_for(&p, i, low);

        calls[i] = few + part * (calls_for(&p, i, high) - few);
        sum += calls[i];
    }
    return pick(calls, n, sum, chance);
}
