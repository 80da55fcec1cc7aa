/* What was learned of a service's engines and of the answers they give. */
#ifndef FW_DECIDE_LEARNED_H
#define FW_DECIDE_LEARNED_H

#include "base/limits.h"
#include "decide/length.h"
#include "decide/mean.h"
#include "decide/readers.h"

/**
 * struct fw_learned - of one service.
 * @run_us: a stream's time at its engine
 * @decode_tokens_per_us: tokens that one stream is given in a microsecond
 * @prefill_us_per_token: to read a token of a prompt, waits for earlier ones
 * included
 * @prefill_delay_us: how much later than expected a prompt was read
 * @first_event_us: from room at an engine until the first event
 * @reading: prompts that callers sent here
 * @report_requested_us: when an engine was last asked what its events hold
 */
struct fw_learned {
    char service[FW_NAME_MAX];
    struct fw_length_model length;
    struct fw_moving_mean run_us;
    struct fw_moving_mean decode_tokens_per_us;
    struct fw_moving_mean prefill_us_per_token;
    struct fw_moving_mean prefill_delay_us;
    struct fw_moving_mean first_event_us;
    struct fw_prefill_load reading;
    int64_t report_requested_us;
};

void
Fw_Learned_Init(struct fw_learned *l, const char *service);
/* A prompt was read in @took_us that had @tokens before it, as above. */
void
Fw_Learned_NoteRead(struct fw_learned *l, int64_t tokens, int64_t took_us);
/* Until a prompt is read that has @tokens before it, itself included. */
int64_t
Fw_Learned_ReadTime(const struct fw_learned *l, int64_t tokens);
/* How much longer than that is waited before another engine is asked. */
int64_t
Fw_Learned_ReadSlack(const struct fw_learned *l);
/* How long a request may wait for room, given its route's objective. */
int64_t
Fw_Learned_QueueTime(const struct fw_learned *l, int64_t objective_us);
/* Until an engine that had no room beside @running streams is asked again. */
int64_t
Fw_Learned_FullTime(const struct fw_learned *l, int running);
/* A refused stream comes back then; @chance from 0 to 1. */
int64_t
Fw_Learned_RetryAfter(const struct fw_learned *l, double chance);

#endif
