/*
 * Test environment: a router on real sockets and stand-ins of the platform, in
 * one process and event loop.
 */
#ifndef FW_TESTS_RELAYD_ROUTER_ENV_H
#define FW_TESTS_RELAYD_ROUTER_ENV_H

#include "io/logger.h"
#include "relayd/relayd.h"
#include "stand/wire/wire.h"
#include "tests/base/suite.h"
#include "tests/io/rig.h"

#define FW_KEYS "\"k1\",\"k2\""
#define FW_TOKENS "Token-Counts: 5000,720\r\nModel: m\r\n"

/** struct router_env - @null_fd: /dev/null, which log lines are written to. */
struct router_env {
    struct fw_wire_store *store;
    struct fw_wire_server *p1;
    struct fw_wire_server *d1;
    struct fw_wire_server *d2;
    struct fw_wire_server *s1;
    struct fw_wire_server *s2;
    struct fw_relayd_opts opts;
    struct fw_relayd *router;
    char callers[FW_URL_MAX];
    int null_fd;
};

/* Starts the platform with a configuration and sets the router's options. */
void
Fw_RouterEnv_Init(struct router_env *env);
/* Starts the router and waits until it is ready. */
void
Fw_RouterEnv_StartRouter(struct router_env *env);
void
Fw_RouterEnv_InitAndStart(struct router_env *env);
void
Fw_RouterEnv_Free(struct router_env *env);
void
Fw_RouterEnv_PutConfig(struct router_env *env, int version, const char *keys);
/* @ctx: a struct router_env */
int
Fw_RouterEnv_IsReady(void *ctx);
/* Sends a request with key k1. @fields: further header lines. */
struct rig_conn *
Fw_RouterEnv_SendRequest(struct router_env *env, const char *line,
                         const char *fields);

/*
 * Whether a request with key k1 is answered 401 or 503. @ctx: a struct
 * router_env
 */
int
Fw_RouterEnv_IsRejected(void *ctx);

#endif
