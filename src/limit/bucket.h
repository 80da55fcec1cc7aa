/* Token buckets in which tokens granted to a peer stay reserved for a while.
 */
#ifndef FW_LIMIT_BUCKET_H
#define FW_LIMIT_BUCKET_H

#include <stdint.h>

#include "base/limits.h"

#define FW_MICROTOKENS_PER_TOKEN 1000000LL

/*
 * A peer spends the tokens granted to it within FW_RESERVATION_US or not at
 * all. The bucket doesn't refill their capacity meanwhile, else the team could
 * spend them on top of a full bucket.
 */
#define FW_RESERVATION_US (600 * FW_MSEC)

/**
 * struct fw_bucket - token bucket for part of a team's rate and burst.
 * @rate: tokens per second
 * @burst: tokens
 * @level: micro-tokens at @refilled_us
 * @reserved: tokens reserved in the current and the previous window of
 *            FW_RESERVATION_US; neither available nor refilled
 * @window_us: start of the current window
 */
struct fw_bucket {
    int64_t rate;
    int64_t burst;
    int64_t level;
    int64_t refilled_us;
    int64_t reserved[2];
    int64_t window_us;
};

/* Refills the bucket up to @now_us and ends reservations that expired. */
void
Fw_Bucket_Refill(struct fw_bucket *b, int64_t now_us);
/* Sets rate and burst; a level above the new burst is cut. */
void
Fw_Bucket_Resize(struct fw_bucket *b, int64_t rate, int64_t burst,
                 int64_t now_us);
/* Takes up to @tokens, kept reserved if @reserve is nonzero. Return: tokens
 * taken. */
int64_t
Fw_Bucket_Take(struct fw_bucket *b, int64_t tokens, int reserve,
               int64_t now_us);
/* Adds up to @micro micro-tokens. Return: micro-tokens that fitted. */
int64_t
Fw_Bucket_Put(struct fw_bucket *b, int64_t micro, int64_t now_us);

/* Ends the reservation of up to @tokens that were spent; their capacity
 * refills from now on. */
void
Fw_Bucket_Commit(struct fw_bucket *b, int64_t tokens, int64_t now_us);
/* Ends the reservation of @tokens that were not spent and puts them back. */
void
Fw_Bucket_Cancel(struct fw_bucket *b, int64_t tokens, int64_t now_us);

#endif
