/*
 * Test fixtures for the I/O code: running the main loop until a condition
 * holds, raw TCP connections, a raw TCP server and a scripted core.
 */
#ifndef FW_TESTS_IO_RIG_H
#define FW_TESTS_IO_RIG_H

#include <gio/gio.h>

#include "io/shell.h"
#include "io/sink.h"

/* Runs the main loop until @done returns nonzero; fails after a timeout. */
void
Fw_Rig_RunUntil(int (*done)(void *), void *ctx);
/* Runs the main loop until nothing more is ready. */
void
Fw_Rig_Settle(void);

/** struct rig_conn - a raw connection; @received holds the received data. */
struct rig_conn {
    GSocket *sock;
    GSource *source;
    GString *received;
    int eof;
};

/* @url: "http://ip:port" or "ip:port" */
struct rig_conn *
Fw_RigConn_Open(const char *url);
/* Wraps a connected socket. */
struct rig_conn *
Fw_RigConn_FromSocket(GSocket *sock);
/* @len: -1 for a NUL-terminated string */
void
Fw_RigConn_Send(struct rig_conn *c, const char *data, gssize len);
/* Wait until @text was received, or the other side has closed. */
void
Fw_RigConn_Expect(struct rig_conn *c, const char *text);
void
Fw_RigConn_ExpectEof(struct rig_conn *c);
/* Stops reading, so that data stays in the kernel's buffer. */
void
Fw_RigConn_StopReading(struct rig_conn *c);
void
Fw_RigConn_Close(struct rig_conn *c);

/** struct rig_server - a TCP server; @conns in the order of acceptance. */
struct rig_server {
    GSocketService *service;
    GPtrArray *conns;
    char url[FW_URL_MAX];
};

struct rig_server *
Fw_RigServer_New(void);
/* Returns connection @i, from 0, and waits for it if necessary. */
struct rig_conn *
Fw_RigServer_Conn(struct rig_server *s, guint i);
void
Fw_RigServer_Free(struct rig_server *s);

/**
 * struct rig_core - a scripted core that records events.
 * @events: one line per event
 * @react: adds the actions for an event; may be NULL
 * @is_ready: status that /readyz reports
 * @last_call: handle of the latest call
 */
struct rig_core {
    GString *events;
    void (*react)(struct rig_core *core, const struct fw_event *ev,
                  struct fw_actions *out);
    int is_ready;
    uint64_t last_call;
    struct fw_metrics metrics;
};

/* For components that are tested without the shell. */
void
Fw_RigCore_Init(struct rig_core *core);
void
Fw_RigCore_Clear(struct rig_core *core);
struct fw_sink
Fw_RigCore_Sink(struct rig_core *core);

/** struct rig - a shell with a scripted core and a raw platform server. */
struct rig {
    struct rig_core core;
    struct fw_shell_opts opts;
    struct fw_self self;
    struct fw_shell *shell;
    struct rig_server *platform;
};

/* Options may be changed between Fw_Rig_Init and Fw_Rig_Start. */
void
Fw_Rig_Init(struct rig *rig);
void
Fw_Rig_Start(struct rig *rig);
void
Fw_Rig_Stop(struct rig *rig);
/* Waits until the recorded events contain @text. */
void
Fw_Rig_ExpectEvent(struct rig_core *core, const char *text);

#endif
