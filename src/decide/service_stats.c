#include "decide/service_stats.h"

#include <glib.h>
#include <string.h>

/*
 * Initial values. Overestimating the generation rate is the safe side: it
 * overestimates the memory that streams use.
 */
#define FW_STREAM_PRIOR_US (4.0 * FW_SEC)
#define FW_DECODE_PRIOR_TOKENS_PER_US (1.3 / FW_MSEC)
#define FW_PREFILL_PRIOR_US_PER_TOKEN 25.0
#define FW_PREFILL_DELAY_DEV_PRIOR_US (150.0 * FW_MSEC)
#define FW_FIRST_EVENT_PRIOR_US (150.0 * FW_MSEC)
#define FW_FIRST_EVENT_DEV_PRIOR_US (50.0 * FW_MSEC)
/*
 * A prefill is given up after this many deviations beyond its mean delay:
 * another engine's time is worth more than the last one in a hundred.
 */
#define FW_PREFILL_SLACK_DEVIATIONS 4.0
#define FW_PREFILL_SLACK_MIN_US (120 * FW_MSEC)
#define FW_PREFILL_SLACK_MAX_US (2 * FW_SEC)
/* Deviations beyond the mean first event time to reserve after queueing. */
#define FW_FIRST_EVENT_DEVIATIONS 2.0
/* For routes without an objective. */
#define FW_QUEUE_DEFAULT_US (650 * FW_MSEC)
/* Requests are queued for at least this long, even if they will be late. */
#define FW_QUEUE_MIN_US (50 * FW_MSEC)
/*
 * A full engine is tried again after this fraction of the mean interval
 * between the ends of its streams.
 */
#define FW_FULL_BACKOFF_FRACTION 0.25
#define FW_FULL_BACKOFF_MIN_US (15 * FW_MSEC)
#define FW_FULL_BACKOFF_MAX_US (60 * FW_MSEC)
/* Retry-After is drawn between these fractions of a stream's duration. */
#define FW_RETRY_MIN_FRACTION 0.4
#define FW_RETRY_MAX_FRACTION 1.0
#define FW_RETRY_MIN_US (250 * FW_MSEC)
#define FW_RETRY_MAX_US (15 * FW_SEC)

void
Fw_ServiceStats_Init(struct fw_service_stats *stats, const char *service)
{
    memset(stats, 0, sizeof(*stats));
    stats->service = g_intern_string(service);
    Fw_Mean_Init(&stats->stream_us, FW_STREAM_PRIOR_US, 0);
    Fw_Mean_Init(&stats->decode_tokens_per_us, FW_DECODE_PRIOR_TOKENS_PER_US,
                 0);
    Fw_Mean_Init(&stats->prefill_us_per_token, FW_PREFILL_PRIOR_US_PER_TOKEN,
                 0);
    Fw_Mean_Init(&stats->prefill_delay_us, 0, FW_PREFILL_DELAY_DEV_PRIOR_US);
    Fw_Mean_Init(&stats->first_event_us, FW_FIRST_EVENT_PRIOR_US,
                 FW_FIRST_EVENT_DEV_PRIOR_US);
}

void
Fw_ServiceStats_NotePrefill(struct fw_service_stats *stats, int64_t tokens,
                            int64_t took_us)
{
    double delay =
        (double)(took_us - Fw_ServiceStats_PrefillTime(stats, tokens));

    Fw_Mean_Update(&stats->prefill_delay_us, delay);
    Fw_Mean_Update(&stats->prefill_us_per_token,
                   (double)took_us / (double)MAX(tokens, 1));
}

int64_t
Fw_ServiceStats_PrefillTime(const struct fw_service_stats *stats,
                            int64_t tokens)
{
    return (int64_t)(stats->prefill_us_per_token.mean * (double)tokens);
}

int64_t
Fw_ServiceStats_PrefillSlack(const struct fw_service_stats *stats)
{
    double us = stats->prefill_delay_us.mean +
                FW_PREFILL_SLACK_DEVIATIONS * stats->prefill_delay_us.dev;

    return CLAMP((int64_t)us, FW_PREFILL_SLACK_MIN_US,
                 FW_PREFILL_SLACK_MAX_US);
}

/*
 * Limits the wait to what lets the first event meet the objective; a later
 * request would take memory from those that can still meet theirs.
 */
int64_t
Fw_ServiceStats_QueueLimit(const struct fw_service_stats *stats,
                           int64_t objective_us)
{
    double first_event = stats->first_event_us.mean +
                         FW_FIRST_EVENT_DEVIATIONS * stats->first_event_us.dev;

    if (objective_us <= 0) {
        return FW_QUEUE_DEFAULT_US;
    }
    return MAX(objective_us - (int64_t)first_event, FW_QUEUE_MIN_US);
}

int64_t
Fw_ServiceStats_FullBackoff(const struct fw_service_stats *stats, int running)
{
    double us =
        FW_FULL_BACKOFF_FRACTION * stats->stream_us.mean / MAX(running, 1);

    return CLAMP((int64_t)us, FW_FULL_BACKOFF_MIN_US, FW_FULL_BACKOFF_MAX_US);
}

/* A fraction of the mean stream duration, in which many streams end. */
int64_t
Fw_ServiceStats_RetryAfter(const struct fw_service_stats *stats, double chance)
{
    double fraction = FW_RETRY_MIN_FRACTION +
                      (FW_RETRY_MAX_FRACTION - FW_RETRY_MIN_FRACTION) * chance;

    return CLAMP((int64_t)(stats->stream_us.mean * fraction), FW_RETRY_MIN_US,
                 FW_RETRY_MAX_US);
}
