/*
 * Precedence of requests by rank: whether a request is placed now or waits
 * for more urgent ones, which other instances may have.
 *
 * A less urgent request is placed only while what is left after it covers what
 * more urgent requests need until more becomes free. Instances decide by views
 * of the others that are late, so they share what is left by chance: each
 * request that waits draws once in the age of the views.
 */
#ifndef FW_DECIDE_PRECEDENCE_H
#define FW_DECIDE_PRECEDENCE_H

#include <stdint.h>

/*
 * Requests that have waited for half of the time that they may wait are
 * offered one part in this many of what becomes free, whatever more urgent
 * ones need. A rank thus gets at least a third of that part.
 */
#define FW_PRECEDENCE_AGED_SHARE 16

/** enum fw_precedence_resource - what requests compete for. */
enum fw_precedence_resource {
    FW_PRECEDENCE_MEMORY,  /* KV cache tokens */
    FW_PRECEDENCE_SLOTS,   /* requests */
    FW_PRECEDENCE_PREFILL, /* prompt tokens that prefill engines may queue */
    FW_PRECEDENCE_RESOURCES,
};

/**
 * struct fw_precedence_capacity - a resource and the demand for it, of all
 * instances together.
 * @free: unused, as far as requests of usual size fit in
 * @freed: amount that becomes free in a second
 * @held_s: time for which a request holds its part
 * @unseen_s: time until what becomes free is seen here; 0 if it is certain
 * @need: of the request to be placed
 * @urgent_waiting: of the more urgent requests that wait
 * @urgent_asked: of the more urgent requests that arrive in a second
 * @urgent_squares: sum of the squares of the same
 * @peers: of the requests of the same rank that wait, this one included, or
 *     arrive within the age of the views
 */
struct fw_precedence_capacity {
    double free;
    double freed;
    double held_s;
    double unseen_s;
    double need;
    double urgent_waiting;
    double urgent_asked;
    double urgent_squares;
    double peers;
};

/**
 * struct fw_precedence_request - a request that is not of the most urgent
 * rank.
 * @waited: part that has passed of the time that it may wait, 0 to 1
 * @chance: random from 0 to 1, drawn once in the age of the views
 * @interval_s: that age
 */
struct fw_precedence_request {
    struct fw_precedence_capacity capacity[FW_PRECEDENCE_RESOURCES];
    double waited;
    double chance;
    double interval_s;
};

/** enum fw_precedence_reason - why a request is placed or waits. */
enum fw_precedence_reason {
    FW_PRECEDENCE_PLACED,   /* enough is left for more urgent ones */
    FW_PRECEDENCE_AGED,     /* placed as it has waited for long */
    FW_PRECEDENCE_RESERVED, /* waits: more urgent ones need what is free */
    FW_PRECEDENCE_SHARED,   /* waits: others of its rank compete for it */
};

/**
 * struct fw_precedence_decision - what becomes of the request.
 * @resource: the scarcest, which decided
 * @free: what is unused of it
 * @reserve: what more urgent requests need of it
 */
struct fw_precedence_decision {
    int place;
    enum fw_precedence_reason reason;
    enum fw_precedence_resource resource;
    double free;
    double reserve;
};

/* What more urgent requests need until enough becomes free again. */
double
Fw_Precedence_Reserve(const struct fw_precedence_capacity *c);
void
Fw_Precedence_Decide(const struct fw_precedence_request *r,
                     struct fw_precedence_decision *out);
/*
 * What arrives in a second at least, as far as the mean over the last second
 * shows: of few requests it shows nothing.
 */
double
Fw_Precedence_SurelyAsked(double asked, double squares);
/*
 * Expected wait in us of a new request of the rank, if no more is asked for
 * than is sure; 0 if it is unknown.
 */
int64_t
Fw_Precedence_ExpectedWait(const struct fw_precedence_capacity *c);
const char *
Fw_Precedence_ResourceName(enum fw_precedence_resource resource);
const char *
Fw_Precedence_ReasonName(enum fw_precedence_reason reason);

#endif
