#include "route/policy.h"

/* Retries that the budget holds at most, and at the start. */
#define FW_RETRY_BURST 10LL

void
Fw_Retry_Init(struct fw_retry_budget *b, int permille)
{
    b->earn_permille = permille;
    b->balance_milli = permille > 0 ? FW_RETRY_BURST * 1000 : 0;
}

void
Fw_Retry_Earn(struct fw_retry_budget *b)
{
    b->balance_milli =
        MIN(b->balance_milli + b->earn_permille, FW_RETRY_BURST * 1000);
}

int
Fw_Retry_Spend(struct fw_retry_budget *b)
{
    if (b->balance_milli < 1000) {
        return 0;
    }
    b->balance_milli -= 1000;
    return 1;
}
