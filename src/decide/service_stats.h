/* Measured behaviour of one service's engines and of their answers. */
#ifndef FW_DECIDE_SERVICE_STATS_H
#define FW_DECIDE_SERVICE_STATS_H

#include "base/limits.h"
#include "decide/length.h"
#include "decide/mean.h"
#include "decide/prefill_pool.h"

/**
 * struct fw_service_stats - moving statistics of one service.
 * @service: its interned name
 * @length: model of the answers' lengths
 * @stream_us: time from sending a stream to its engine until it ends
 * @decode_tokens_per_us: generation rate of a single stream
 * @prefill_us_per_token: prefill time divided by the tokens queued at the
 *     engine when the prompt was sent, the prompt included
 * @prefill_delay_us: actual minus predicted prefill time
 * @first_event_us: time from a granted reservation to the first event
 * @prefill_load: prompt tokens that callers sent to this instance
 * @report_requested_us: when an engine was last asked for the tokens and
 *     events of its streams; 0 for never
 */
struct fw_service_stats {
    const char *service;
    struct fw_length_model length;
    struct fw_moving_mean stream_us;
    struct fw_moving_mean decode_tokens_per_us;
    struct fw_moving_mean prefill_us_per_token;
    struct fw_moving_mean prefill_delay_us;
    struct fw_moving_mean first_event_us;
    struct fw_prefill_load prefill_load;
    int64_t report_requested_us;
};

void
Fw_ServiceStats_Init(struct fw_service_stats *stats, const char *service);
/* Records a prefill's duration; @tokens: queued there, its own included. */
void
Fw_ServiceStats_NotePrefill(struct fw_service_stats *stats, int64_t tokens,
                            int64_t took_us);
/* Predicted time in us to prefill @tokens, all those queued included. */
int64_t
Fw_ServiceStats_PrefillTime(const struct fw_service_stats *stats,
                            int64_t tokens);
/* Time in us to wait beyond the prediction before trying another engine. */
int64_t
Fw_ServiceStats_PrefillSlack(const struct fw_service_stats *stats);
/*
 * Longest time in us that a request may be queued for a reservation.
 * @objective_us: objective of its route, 0 for none
 */
int64_t
Fw_ServiceStats_QueueLimit(const struct fw_service_stats *stats,
                           int64_t objective_us);
/*
 * Time in us before a reservation is requested again of an engine that
 * rejected one while @running streams ran there.
 */
int64_t
Fw_ServiceStats_FullBackoff(const struct fw_service_stats *stats, int running);
/* Retry-After in us for a rejected stream; @chance: random, from 0 to 1. */
int64_t
Fw_ServiceStats_RetryAfter(const struct fw_service_stats *stats,
                           double chance);

#endif
