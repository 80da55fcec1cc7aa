#include "limit/bucket.h"

#include <glib.h>

/* Bounds the product of rate and time within int64. */
#define FW_REFILL_MAX_US (3600 * FW_SEC)

static int64_t
max_level(const struct fw_bucket *b)
{
    return MAX(b->burst - b->reserved[0] - b->reserved[1], 0) *
           FW_MICROTOKENS_PER_TOKEN;
}

static void
add_tokens(struct fw_bucket *b, int64_t to_us)
{
    int64_t dt = CLAMP(to_us - b->refilled_us, 0, FW_REFILL_MAX_US);

    b->refilled_us = MAX(b->refilled_us, to_us);
    b->level = MIN(b->level + b->rate * dt, max_level(b));
}

/* Refills window by window, as the capacity grows when a window's
 * reservations expire. */
void
Fw_Bucket_Refill(struct fw_bucket *b, int64_t now_us)
{
    while (now_us >= b->window_us + FW_RESERVATION_US) {
        if (!b->reserved[0] && !b->reserved[1]) {
            b->window_us = now_us;
            break;
        }
        add_tokens(b, b->window_us + FW_RESERVATION_US);
        b->window_us += FW_RESERVATION_US;
        b->reserved[1] = b->reserved[0];
        b->reserved[0] = 0;
    }
    add_tokens(b, now_us);
}

void
Fw_Bucket_Resize(struct fw_bucket *b, int64_t rate, int64_t burst,
                 int64_t now_us)
{
    Fw_Bucket_Refill(b, now_us);
    b->rate = MAX(rate, 0);
    b->burst = MAX(burst, 0);
    b->level = MIN(b->level, max_level(b));
}

int64_t
Fw_Bucket_Take(struct fw_bucket *b, int64_t tokens, int reserve,
               int64_t now_us)
{
    int64_t n;

    Fw_Bucket_Refill(b, now_us);
    n = CLAMP(tokens, 0, b->level / FW_MICROTOKENS_PER_TOKEN);
    b->level -= n * FW_MICROTOKENS_PER_TOKEN;
    if (reserve) {
        b->reserved[0] += n;
    }
    return n;
}

int64_t
Fw_Bucket_Put(struct fw_bucket *b, int64_t micro, int64_t now_us)
{
    int64_t n;

    Fw_Bucket_Refill(b, now_us);
    n = CLAMP(micro, 0, max_level(b) - b->level);
    b->level += n;
    return n;
}

void
Fw_Bucket_Commit(struct fw_bucket *b, int64_t tokens, int64_t now_us)
{
    int64_t recent;

    Fw_Bucket_Refill(b, now_us);
    recent = MIN(tokens, b->reserved[0]);
    b->reserved[0] -= recent;
    b->reserved[1] -= MIN(tokens - recent, b->reserved[1]);
}

void
Fw_Bucket_Cancel(struct fw_bucket *b, int64_t tokens, int64_t now_us)
{
    Fw_Bucket_Commit(b, tokens, now_us);
    Fw_Bucket_Put(b, tokens * FW_MICROTOKENS_PER_TOKEN, now_us);
}
