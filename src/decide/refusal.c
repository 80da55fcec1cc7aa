#include "decide/refusal.h"

int
Fw_Refusal_IsPromise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

int
Fw_Refusal_IsTrue(int status, enum fw_ran ran)
{
    return ran == FW_RAN_NO || !Fw_Refusal_IsPromise(status);
}
