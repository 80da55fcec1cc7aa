/*
 * What a status promises a caller about a request, and which responses may
 * reach the caller without breaking that promise.
 */
#ifndef FW_DECIDE_REFUSAL_H
#define FW_DECIDE_REFUSAL_H

#include "base/ran.h"

/* Whether @status says that the request has not run and never will. */
int
Fw_Refusal_IsPromise(int status);
/* Whether @status is true of a request of which @ran is known. */
int
Fw_Refusal_IsTrue(int status, enum fw_ran ran);

#endif
