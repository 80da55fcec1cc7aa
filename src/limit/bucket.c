#include "limit/bucket.h"

#include <glib.h>

#define LONGEST_US (3600 * FW_SEC) /* keeps rate times time within range */

static int64_t
room_for(const struct fw_bucket *b)
{
    return MAX(b->burst - b->flight[0] - b->flight[1], 0) * FW_MICROTOKENS;
}

static void
refill(struct fw_bucket *b, int64_t to_us)
{
    int64_t dt = CLAMP(to_us - b->at_us, 0, LONGEST_US);

    b->at_us = MAX(b->at_us, to_us);
    b->level = MIN(b->level + b->rate * dt, room_for(b));
}

/* In pieces: until tokens in flight have landed, their place stays empty. */
void
Fw_Bucket_Refill(struct fw_bucket *b, int64_t now_us)
{
    while (now_us >= b->flight_us + FW_RESERVATION_US) {
        if (!b->flight[0] && !b->flight[1]) {
            b->flight_us = now_us;
            break;
        }
        refill(b, b->flight_us + FW_RESERVATION_US);
        b->flight_us += FW_RESERVATION_US;
        b->flight[1] = b->flight[0];
        b->flight[0] = 0;
    }
    refill(b, now_us);
}

void
Fw_Bucket_Resize(struct fw_bucket *b, int64_t rate, int64_t burst,
                 int64_t now_us)
{
    Fw_Bucket_Refill(b, now_us);
    b->rate = MAX(rate, 0);
    b->burst = MAX(burst, 0);
    b->level = MIN(b->level, room_for(b));
}

int64_t
Fw_Bucket_Take(struct fw_bucket *b, int64_t tokens, int flight, int64_t now_us)
{
    int64_t n;

    Fw_Bucket_Refill(b, now_us);
    n = CLAMP(tokens, 0, b->level / FW_MICROTOKENS);
    b->level -= n * FW_MICROTOKENS;
    if (flight) {
        b->flight[0] += n;
    }
    return n;
}

int64_t
Fw_Bucket_Put(struct fw_bucket *b, int64_t micro, int64_t now_us)
{
    int64_t n;

    Fw_Bucket_Refill(b, now_us);
    n = CLAMP(micro, 0, room_for(b) - b->level);
    b->level += n;
    return n;
}

void
Fw_Bucket_Commit(struct fw_bucket *b, int64_t tokens, int64_t now_us)
{
    int64_t recent;

    Fw_Bucket_Refill(b, now_us);
    recent = MIN(tokens, b->flight[0]);
    b->flight[0] -= recent;
    b->flight[1] -= MIN(tokens - recent, b->flight[1]);
}

void
Fw_Bucket_Cancel(struct fw_bucket *b, int64_t tokens, int64_t now_us)
{
    Fw_Bucket_Commit(b, tokens, now_us);
    Fw_Bucket_Put(b, tokens * FW_MICROTOKENS, now_us);
}
