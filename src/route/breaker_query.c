#include "route/policy.h"

int
Fw_Breaker_Allows(const struct fw_breaker *b, int64_t now_us)
{
    return b->state == FW_BREAKER_CLOSED || now_us >= b->until_us;
}
