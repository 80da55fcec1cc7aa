#include "tests/platform/heads.h"

#include <check.h>
#include <string.h>

void
Fw_Heads_Parse(const char *text, struct fw_http_head *h)
{
    ck_assert_int_gt(Fw_Http_ParseHead(FW_HTTP_REQUEST, text, strlen(text), h),
                     0);
}
