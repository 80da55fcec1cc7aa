#include "decide/precedence.h"

#include <glib.h>
#include <math.h>

#include "base/limits.h"

/*
 * Standard deviations of the arrivals of more urgent requests that are covered
 * in addition to their mean: all but about one in forty times.
 */
#define FW_RESERVE_DEVIATIONS 2.0
/* Part of the time that a request may wait after which it counts as aged. */
#define FW_AGED_FRACTION 0.5

/* Arrivals within @s less what becomes free and is seen in that time. */
static double
shortage_after(const struct fw_precedence_capacity *c, double s)
{
    return c->urgent_asked * s +
           FW_RESERVE_DEVIATIONS * sqrt(c->urgent_squares * s) -
           c->freed * MAX(s - c->unseen_s, 0);
}

/*
 * The shortage is largest where the deviation grows as slowly as the surplus
 * of what becomes free, but not before this is seen, and not after the request
 * itself has ended.
 */
double
Fw_Precedence_Reserve(const struct fw_precedence_capacity *c)
{
    double surplus = c->freed - c->urgent_asked;
    double at_s = c->held_s;

    if (surplus > 0) {
        double root =
            FW_RESERVE_DEVIATIONS * sqrt(c->urgent_squares) / (2 * surplus);

        at_s = MIN(root * root, c->held_s);
    }
    return c->urgent_waiting +
           MAX(shortage_after(c, MAX(at_s, c->unseen_s)), 0);
}

/* Part of the competing requests that may be placed in this interval. */
static double
share(double amount, const struct fw_precedence_capacity *c)
{
    return c->peers > 0 ? amount / c->peers : 1;
}

/*
 * A request that has waited for long takes part in the share of what becomes
 * free that is kept for such requests. Of those that compete, as many have
 * waited for long as the fraction leaves.
 */
static int
is_aged(const struct fw_precedence_request *r)
{
    if (r->waited < FW_AGED_FRACTION) {
        return 0;
    }
    for (int i = 0; i < FW_PRECEDENCE_RESOURCES; i++) {
        const struct fw_precedence_capacity *c = &r->capacity[i];

        if (c->need > 0 &&
            r->chance >=
                share(c->freed * r->interval_s / FW_PRECEDENCE_AGED_SHARE, c) /
                    (1 - FW_AGED_FRACTION)) {
            return 0;
        }
    }
    return 1;
}

void
Fw_Precedence_Decide(const struct fw_precedence_request *r,
                     struct fw_precedence_decision *out)
{
    double least = 1;

    *out = (struct fw_precedence_decision){.place = 1,
                                           .reason = FW_PRECEDENCE_PLACED};
    for (int i = 0; i < FW_PRECEDENCE_RESOURCES; i++) {
        const struct fw_precedence_capacity *c = &r->capacity[i];
        double reserve = Fw_Precedence_Reserve(c);
        double excess = c->free - reserve;
        double part = excess < c->need ? 0 : share(excess, c);

        if (c->need > 0 && (part < least || i == 0)) {
            least = part;
            out->resource = (enum fw_precedence_resource)i;
            out->free = c->free;
            out->reserve = reserve;
        }
    }
    if (r->chance < least) {
        return;
    }
    out->reason = least > 0 ? FW_PRECEDENCE_SHARED : FW_PRECEDENCE_RESERVED;
    out->place = is_aged(r);
    if (out->place) {
        out->reason = FW_PRECEDENCE_AGED;
    }
}

/* The sum of what arrived with weights that halve the variance of a second. */
double
Fw_Precedence_SurelyAsked(double asked, double squares)
{
    return MAX(asked - FW_RESERVE_DEVIATIONS * sqrt(squares / 2), 0);
}

/* The rank gets what more urgent ones leave, or its share when aged. */
int64_t
Fw_Precedence_ExpectedWait(const struct fw_precedence_capacity *c)
{
    double ahead = c->urgent_waiting + c->peers - c->free;
    double asked =
        Fw_Precedence_SurelyAsked(c->urgent_asked, c->urgent_squares);
    double rate = MAX(c->freed - asked, c->freed / FW_PRECEDENCE_AGED_SHARE);

    if (ahead <= 0 || rate <= 0) {
        return 0;
    }
    return (int64_t)MIN(ahead / rate * FW_SEC, 1e15);
}

const char *
Fw_Precedence_ResourceName(enum fw_precedence_resource resource)
{
    switch (resource) {
    case FW_PRECEDENCE_MEMORY:
        return "memory";
    case FW_PRECEDENCE_SLOTS:
        return "slots";
    case FW_PRECEDENCE_PREFILL:
        return "prefill";
    default:
        return "";
    }
}

const char *
Fw_Precedence_ReasonName(enum fw_precedence_reason reason)
{
    switch (reason) {
    case FW_PRECEDENCE_PLACED:
        return "placed";
    case FW_PRECEDENCE_AGED:
        return "aged";
    case FW_PRECEDENCE_RESERVED:
        return "reserved";
    case FW_PRECEDENCE_SHARED:
        return "shared";
    default:
        return "";
    }
}
