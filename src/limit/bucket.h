/* Token buckets that can be parted; tokens in flight keep their place. */
#ifndef FW_LIMIT_BUCKET_H
#define FW_LIMIT_BUCKET_H

#include <stdint.h>

#include "base/limits.h"

#define FW_MICROTOKENS 1000000LL

/*
 * Tokens granted to a peer are spent there within FW_RESERVATION_US or not at
 * all; meanwhile the bucket must not refill their place, or the team could
 * have them and a full bucket at once.
 */
#define FW_RESERVATION_US (600 * FW_MSEC)

/**
 * struct fw_bucket - part of a team's rate and burst, spent here.
 * @rate: tokens a second
 * @burst: tokens
 * @level: micro-tokens, as of @at_us
 * @reserved: tokens granted to peers in this and the last FW_RESERVATION_US
 */
struct fw_bucket {
    int64_t rate;
    int64_t burst;
    int64_t level;
    int64_t at_us;
    int64_t reserved[2];
    int64_t window_us;
};

/* Brings the level up to date. */
void
Fw_Bucket_Refill(struct fw_bucket *b, int64_t now_us);
/* Changes the size; the level is cut to it. */
void
Fw_Bucket_Resize(struct fw_bucket *b, int64_t rate, int64_t burst,
                 int64_t now_us);
/* Takes up to @tokens; @reserved: for a peer. Return: tokens taken. */
int64_t
Fw_Bucket_Take(struct fw_bucket *b, int64_t tokens, int flight,
               int64_t now_us);
/* Puts up to @micro back or in. Return: what found room. */
int64_t
Fw_Bucket_Put(struct fw_bucket *b, int64_t micro, int64_t now_us);

/* Up to @tokens have landed: spent, so that their place may refill. */
void
Fw_Bucket_Commit(struct fw_bucket *b, int64_t tokens, int64_t now_us);
/* Takes up to @tokens out of flight and puts them back. */
void
Fw_Bucket_Cancel(struct fw_bucket *b, int64_t tokens, int64_t now_us);

#endif
