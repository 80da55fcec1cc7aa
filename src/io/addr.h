/* Socket addresses in text form: "ip:port", or "[ip6]:port" for IPv6. */
#ifndef FW_IO_ADDR_H
#define FW_IO_ADDR_H

#include <gio/gio.h>

#include "base/limits.h"

/* Returns a new address, or NULL unless @text is an IP address and port. */
GSocketAddress *
Fw_Addr_Parse(const char *text);
/* Writes @addr as text; @out holds at least FW_URL_MAX bytes. */
void
Fw_Addr_Print(GSocketAddress *addr, char *out);

#endif
