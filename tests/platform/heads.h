/* Heads of requests in the platform's wire format, for tests. */
#ifndef FW_TESTS_PLATFORM_HEADS_H
#define FW_TESTS_PLATFORM_HEADS_H

#include "http/head.h"

/* Request line and host of a caller's request. */
#define FW_HEAD "POST /a/b?c=d HTTP/1.1\r\nHost: H.Example:80\r\n"

/* Parses @text, a complete head; fails the test if that fails. */
void
Fw_Heads_Parse(const char *text, struct fw_http_head *h);

#endif
