/*
 * The router's daemon: a single-threaded event loop that feeds events from
 * sockets, timers and signals to the router's core (relay/relay.h) and
 * executes the actions that the core returns.
 */
#ifndef FW_RELAYD_RELAYD_H
#define FW_RELAYD_RELAYD_H

#include "http/server.h"
#include "relay/relay.h"

/**
 * struct fw_relayd_opts - daemon options, read from the settings file.
 * @callers_addr, @ready_addr, @metrics_addr: "ip:port" to listen on
 * @peers_addr: "ip:port" for messages (UDP) and snapshots (TCP) of other
 *              instances
 * @ready_path: path of the load balancer's readiness check
 * @store_addr: "ip:port" of the platform's store
 * @config_wait_us: how long a read of the configuration may wait for a change
 * @servers_interval_us: time between reads of the server registrations
 * @memory_bytes: most bytes to be held for callers and servers, 0 for any
 * @server_request_bytes: of requests' bodies that one server may hold from all
 *                        instances, 0 for any
 * @descriptors: most open files, 0 for any
 * @log_buffer_bytes: size of the queue of log lines not yet written
 */
struct fw_relayd_opts {
    struct fw_relay_opts relay;
    char callers_addr[FW_URL_MAX];
    char ready_addr[FW_URL_MAX];
    char ready_path[FW_URL_MAX];
    char metrics_addr[FW_URL_MAX];
    char peers_addr[FW_URL_MAX];
    char store_addr[FW_URL_MAX];
    int64_t config_wait_us;
    int64_t servers_interval_us;
    int64_t memory_bytes;
    int64_t server_request_bytes;
    int64_t descriptors;
    int64_t log_buffer_bytes;
};

/**
 * Fw_Relayd_LoadSettings - reads and validates the INI file @path.
 * @error: on failure, a message with file, group and key; freed by the caller
 *
 * Return: 0 or -EINVAL.
 */
int
Fw_Relayd_LoadSettings(const char *path, struct fw_relayd_opts *out,
                       char **error);

struct fw_relayd;

/*
 * Opens all listening sockets. @settings_path is watched for changes; NULL for
 * none. Return: NULL with a negative errno in @err on failure.
 */
struct fw_relayd *
Fw_Relayd_New(const struct fw_relayd_opts *opts, const char *settings_path,
              int *err);
/* Begins a graceful shutdown, as SIGTERM does; idempotent. */
void
Fw_Relayd_Drain(struct fw_relayd *d);
/*
 * Reloads the settings file. Invalid settings are logged and ignored. Listen
 * addresses, @ready_path and @log_buffer_bytes change only with a restart.
 */
void
Fw_Relayd_Reload(struct fw_relayd *d);
/*
 * Nonzero once a shutdown is complete: no response is in progress, or the
 * grace period is about to end.
 */
int
Fw_Relayd_IsStopped(const struct fw_relayd *d);
/* Runs the event loop until a shutdown is complete. */
void
Fw_Relayd_Run(struct fw_relayd *d);
/* The result of the readiness check. */
int
Fw_Relayd_IsReady(const struct fw_relayd *d);
/* Nonzero when new requests may be sent to the server @id. */
int
Fw_Relayd_IsServerUsable(const struct fw_relayd *d, const char *id);
int
Fw_Relayd_CallersPort(const struct fw_relayd *d);
void
Fw_Relayd_Free(struct fw_relayd *d);

#endif
