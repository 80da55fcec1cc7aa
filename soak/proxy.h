/*
 * Loopback proxy for TCP connections, which delays, holds back or resets what
 * passes through it.
 */
#ifndef FW_SOAK_PROXY_H
#define FW_SOAK_PROXY_H

#include <stdint.h>

/** enum fw_proxy_mode - what happens to the data of all connections. */
enum fw_proxy_mode {
    FW_PROXY_PASS,
    FW_PROXY_DELAY,   /* passed on after a delay */
    FW_PROXY_SILENT,  /* held back in both directions */
    FW_PROXY_ONE_WAY, /* responses are held back */
    FW_PROXY_REFUSE,  /* refuses new connections */
};

struct fw_proxy;

/* Listens on a free port; @target: "ip:port" to connect to. */
struct fw_proxy *
Fw_Proxy_New(const char *target);
void
Fw_Proxy_Free(struct fw_proxy *p);
int
Fw_Proxy_Port(const struct fw_proxy *p);
/* Connections that are open keep their former target. */
void
Fw_Proxy_SetTarget(struct fw_proxy *p, const char *target);
/* Data that was held back is passed on when the mode changes. */
void
Fw_Proxy_SetMode(struct fw_proxy *p, enum fw_proxy_mode mode);
/*
 * Sends one of @one_of answers a second time, just before the next request on
 * its connection is passed on; 0 for none.
 */
void
Fw_Proxy_SetCopies(struct fw_proxy *p, int one_of);
void
Fw_Proxy_ResetAll(struct fw_proxy *p);

#endif
