/*
 * When a request that may run twice is tried at a second server, as the first
 * one has not begun to respond.
 *
 * A server may be silent, or slow for all requests, or at work that simply
 * takes that long. What requests of the kind usually take distinguishes these:
 * a fixed limit is too long for some services, and ends each request of
 * others.
 */
#ifndef FW_DECIDE_SECOND_ATTEMPT_H
#define FW_DECIDE_SECOND_ATTEMPT_H

#include "decide/finish_time.h"

/*
 * Time in us to wait for the first server.
 * @begin: times until the responses to such requests began, NULL if unknown
 */
int64_t
Fw_SecondAttempt_WaitUs(const struct fw_finish_times *begin);
/*
 * Whether a second attempt is likely to be answered in the @left_us to the
 * request's time limit; the first one has lasted for @spent_us.
 */
int
Fw_SecondAttempt_Fits(const struct fw_finish_times *begin, int64_t spent_us,
                      int64_t left_us);
/*
 * Whether the first attempt can be taken for lost, so that its caller is
 * answered although there is no second one: no such request has taken as long.
 */
int
Fw_SecondAttempt_IsLost(const struct fw_finish_times *begin, int64_t spent_us);

#endif
