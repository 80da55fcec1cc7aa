/* A relay over real sockets, and its platform, in one process and loop. */
#ifndef FW_TESTS_RELAYD_WORLD_H
#define FW_TESTS_RELAYD_WORLD_H

#include "io/note.h"
#include "relayd/relayd.h"
#include "stand/wire/wire.h"
#include "tests/base/suite.h"
#include "tests/io/rig.h"

#define FW_KEYS "\"k1\",\"k2\""
#define FW_TOKENS "Token-Counts: 5000,720\r\nModel: m\r\n"

/** struct world - @null: where log lines go. */
struct world {
    struct fw_wire_store *store;
    struct fw_wire_server *p1;
    struct fw_wire_server *d1;
    struct fw_wire_server *d2;
    struct fw_wire_server *s1;
    struct fw_wire_server *s2;
    struct fw_relayd_opts opts;
    struct fw_relayd *relay;
    char callers[FW_URL_MAX];
    int null;
};

/* The platform with its configuration, and the relay's options. */
void
Fw_World_Make(struct world *w);
/* The relay, until it is ready. */
void
Fw_World_Start(struct world *w);
/* Both. */
void
Fw_World_Open(struct world *w);
void
Fw_World_Close(struct world *w);
void
Fw_World_Configure(struct world *w, int version, const char *keys);
/* @ctx: the world */
int
Fw_World_IsReady(void *ctx);
/* Sends a request with key k1; @fields: further lines. */
struct rig_conn *
Fw_World_Ask(struct world *w, const char *line, const char *fields);

#endif
