/*
 * The relay as a program: one loop on one thread that turns sockets, timers
 * and signals into what the relay's core is told, and carries out its
 * actions.
 */
#ifndef FW_RELAYD_RELAYD_H
#define FW_RELAYD_RELAYD_H

#include "http/server.h"
#include "relay/relay.h"

/**
 * struct fw_relayd_opts - from the settings.
 * @callers, @ready, @metrics, @peers: "ip:port" to listen on
 * @ready_path: asked by a balancer, 200 while requests are wanted
 * @store: "ip:port" of the platform's store
 * @rules_wait_us: how long a read of the configuration may wait for a change
 * @servers_every_us: how often the servers' entries are read
 * @log_bytes: bytes of log lines that may wait for their reader
 */
struct fw_relayd_opts {
    struct fw_relay_opts relay;
    char callers[FW_URL_MAX];
    char ready[FW_URL_MAX];
    char ready_path[FW_URL_MAX];
    char metrics[FW_URL_MAX];
    char peers[FW_URL_MAX];
    char store[FW_URL_MAX];
    int64_t rules_wait_us;
    int64_t servers_every_us;
    int64_t log_bytes;
};

/**
 * Fw_Relayd_Load - reads and checks the INI file @path.
 * @error: what is wrong, naming file, group and key; to be freed
 *
 * Return: 0 or -EINVAL.
 */
int
Fw_Relayd_Load(const char *path, struct fw_relayd_opts *out, char **error);

struct fw_relayd;

/* Return: the program, listening, or NULL with a negative errno in @err. */
struct fw_relayd *
Fw_Relayd_New(const struct fw_relayd_opts *opts, const char *settings_path,
              int *err);
/* Begins a graceful stop, as SIGTERM does; a second one changes nothing. */
void
Fw_Relayd_Drain(struct fw_relayd *d);
/* Reads the settings again; bad ones are told and change nothing. */
void
Fw_Relayd_Reload(struct fw_relayd *d);
/* Nonzero once it was told to stop and all answers are out. */
int
Fw_Relayd_Over(const struct fw_relayd *d);
/* Until SIGTERM and the end of what runs. */
void
Fw_Relayd_Run(struct fw_relayd *d);
/* What the balancer is told. */
int
Fw_Relayd_Ready(const struct fw_relayd *d);
/* May new requests go to the server @id? */
int
Fw_Relayd_Usable(const struct fw_relayd *d, const char *id);
int
Fw_Relayd_CallersPort(const struct fw_relayd *d);
void
Fw_Relayd_Free(struct fw_relayd *d);

#endif
