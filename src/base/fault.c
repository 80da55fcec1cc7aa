#include "base/fault.h"

#ifdef FW_TEST_BUILD
#include <string.h>

const char *Fw_Fault_Active;

int
Fw_Fault_IsActive(const char *name)
{
    return Fw_Fault_Active && strcmp(Fw_Fault_Active, name) == 0;
}
#else
/* ISO C forbids an empty translation unit. */
extern int Fw_Fault_Unused;
#endif
