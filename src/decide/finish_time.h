/*
 * How long the latest requests of one kind to one service took.
 *
 * Their longest time, with a margin, decides whether another one is started by
 * an instance that is about to stop. One that is cut has run at its server,
 * and nobody has its response; one that is rejected costs a further
 * connection. So without enough times only the request's own limit counts.
 */
#ifndef FW_DECIDE_FINISH_TIME_H
#define FW_DECIDE_FINISH_TIME_H

#include <stdint.h>

/* Latest requests whose times are kept. */
#define FW_FINISH_TIMES_KEPT 64
/* Bound of a kind of which too few times are known. */
#define FW_FINISH_UNKNOWN_US INT64_MAX

/**
 * struct fw_finish_times - times of the latest requests; zeroed initially.
 * @n: number of times noted so far
 * @ms: ring of them, in milliseconds
 */
struct fw_finish_times {
    uint64_t n;
    uint32_t ms[FW_FINISH_TIMES_KEPT];
};

/* A request has taken this time, or at least this time if it timed out. */
void
Fw_FinishTimes_Note(struct fw_finish_times *t, int64_t took_us);
/*
 * Time in us that @permille of a thousand of them have not exceeded, 0 if none
 * is known.
 */
int64_t
Fw_FinishTimes_QuantileUs(const struct fw_finish_times *t, int permille);
/* Time in us that a further request is unlikely to exceed; see above. */
int64_t
Fw_FinishTimes_BoundUs(const struct fw_finish_times *t);
/*
 * Time in us that nine in ten of them took; FW_FINISH_UNKNOWN_US as above if
 * too few are known.
 */
int64_t
Fw_FinishTimes_UsualUs(const struct fw_finish_times *t);
/*
 * Whether a request can finish within @left_us.
 * @bound_us: of its kind; @limit_us: what is left of its own time limit
 */
int
Fw_Finish_Fits(int64_t bound_us, int64_t limit_us, int64_t left_us);

#endif
