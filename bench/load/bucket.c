#include "bench/load/load.h"

int
Fw_LoadgenBucket_TryTake(struct fw_loadgen_bucket *b,
                         const struct fw_loadgen_team *t, int64_t tokens,
                         int64_t now_us)
{
    if (!b->updated_us) {
        b->tokens = (double)t->burst;
    }
    else {
        b->tokens +=
            (double)t->rate * (double)(now_us - b->updated_us) / FW_SEC;
        b->tokens = MIN(b->tokens, (double)t->burst);
    }
    b->updated_us = now_us;
    if (b->tokens < (double)tokens) {
        return 0;
    }
    b->tokens -= (double)tokens;
    return 1;
}

void
Fw_LoadgenBucket_Refund(struct fw_loadgen_bucket *b,
                        const struct fw_loadgen_team *t, int64_t tokens)
{
    b->tokens = MIN(b->tokens + (double)tokens, (double)t->burst);
}
