#include "decide/learned.h"

#include <glib.h>
#include <string.h>

/*
 * Before anything was seen. Streams that are taken for faster than they are
 * count as more memory than they have: the safe side.
 */
#define FW_RUN_GUESS_US (4.0 * FW_SEC)
#define FW_SPEED_GUESS (1.3 / FW_MSEC)
#define FW_TOKEN_GUESS_US 25.0
#define FW_LATE_GUESS_US (150.0 * FW_MSEC)
#define FW_START_GUESS_US (150.0 * FW_MSEC)
#define FW_START_DEV_GUESS_US (50.0 * FW_MSEC)
/*
 * Deviations beyond the mean that a prompt is waited for: another engine's
 * time is worth more than the last one in a hundred.
 */
#define FW_SLACK_DEVIATIONS 4.0
#define FW_SLACK_LEAST_US (120 * FW_MSEC)
#define FW_SLACK_MOST_US (2 * FW_SEC)
/* And that are kept of the objective for what comes after the queue. */
#define FW_START_DEVIATIONS 2.0
/* Of a route without an objective. */
#define FW_QUEUE_DEFAULT_US (650 * FW_MSEC)
/* A request is worth a try at the engines even if it will be late. */
#define FW_QUEUE_LEAST_US (50 * FW_MSEC)
/* An engine without room is asked again after this part of the time in
 * which one of its streams ends. */
#define FW_FULL_PART 0.25
#define FW_FULL_LEAST_US (15 * FW_MSEC)
#define FW_FULL_MOST_US (60 * FW_MSEC)
/* Parts of a stream's time between which refused callers come back. */
#define FW_RETRY_LEAST 0.4
#define FW_RETRY_MOST 1.0
#define FW_RETRY_LEAST_US (250 * FW_MSEC)
#define FW_RETRY_MOST_US (15 * FW_SEC)

void
Fw_Learned_Init(struct fw_learned *l, const char *service)
{
    memset(l, 0, sizeof(*l));
    g_strlcpy(l->service, service, sizeof(l->service));
    Fw_Mean_Init(&l->run_us, FW_RUN_GUESS_US, 0);
    Fw_Mean_Init(&l->decode_tokens_per_us, FW_SPEED_GUESS, 0);
    Fw_Mean_Init(&l->prefill_us_per_token, FW_TOKEN_GUESS_US, 0);
    Fw_Mean_Init(&l->prefill_delay_us, 0, FW_LATE_GUESS_US);
    Fw_Mean_Init(&l->first_event_us, FW_START_GUESS_US, FW_START_DEV_GUESS_US);
}

void
Fw_Learned_NoteRead(struct fw_learned *l, int64_t tokens, int64_t took_us)
{
    double late = (double)(took_us - Fw_Learned_ReadTime(l, tokens));

    Fw_Mean_Update(&l->prefill_delay_us, late);
    Fw_Mean_Update(&l->prefill_us_per_token,
                   (double)took_us / (double)MAX(tokens, 1));
}

int64_t
Fw_Learned_ReadTime(const struct fw_learned *l, int64_t tokens)
{
    return (int64_t)(l->prefill_us_per_token.mean * (double)tokens);
}

int64_t
Fw_Learned_ReadSlack(const struct fw_learned *l)
{
    double us = l->prefill_delay_us.mean +
                FW_SLACK_DEVIATIONS * l->prefill_delay_us.dev;

    return CLAMP((int64_t)us, FW_SLACK_LEAST_US, FW_SLACK_MOST_US);
}

/*
 * As long as its first event can still come in time: beyond that it takes
 * room from those that would be on time.
 */
int64_t
Fw_Learned_QueueTime(const struct fw_learned *l, int64_t objective_us)
{
    double rest =
        l->first_event_us.mean + FW_START_DEVIATIONS * l->first_event_us.dev;

    if (objective_us <= 0) {
        return FW_QUEUE_DEFAULT_US;
    }
    return MAX(objective_us - (int64_t)rest, FW_QUEUE_LEAST_US);
}

int64_t
Fw_Learned_FullTime(const struct fw_learned *l, int running)
{
    double us = FW_FULL_PART * l->run_us.mean / MAX(running, 1);

    return CLAMP((int64_t)us, FW_FULL_LEAST_US, FW_FULL_MOST_US);
}

/* By then many of the streams that fill the engines now have ended. */
int64_t
Fw_Learned_RetryAfter(const struct fw_learned *l, double chance)
{
    double part = FW_RETRY_LEAST + (FW_RETRY_MOST - FW_RETRY_LEAST) * chance;

    return CLAMP((int64_t)(l->run_us.mean * part), FW_RETRY_LEAST_US,
                 FW_RETRY_MOST_US);
}
