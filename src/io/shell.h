/*
 * The I/O shell around the core: a single-threaded main loop that turns
 * network input, timers and signals into events, steps the core with them and
 * executes the actions that it returns.
 */
#ifndef FW_IO_SHELL_H
#define FW_IO_SHELL_H

#include <glib.h>

#include "base/metrics.h"
#include "core/action.h"
#include "core/event.h"
#include "core/types.h"
#include "io/api.h"

/**
 * struct fw_shell_opts - parameters from the configuration.
 * @callers, @operators, @peers: addresses to listen on, "ip:port"
 * @log_url, @list_url: base URLs of the platform's log and service registry
 * @secret: shared secret of the fleet
 * @body_max, @header_max: size limits of a request, in bytes
 * @read_timeout_us: for receiving a whole request, head and body
 * @max_conns, @max_conns_per_host: see Fw_UpstreamClient_New
 */
struct fw_shell_opts {
    char callers[FW_URL_MAX];
    char operators[FW_URL_MAX];
    char peers[FW_URL_MAX];
    char log_url[FW_URL_MAX];
    char list_url[FW_URL_MAX];
    GBytes *secret;
    struct fw_api_limits api;
    size_t body_max;
    size_t header_max;
    int64_t read_timeout_us;
    int max_conns;
    int max_conns_per_host;
};

/**
 * struct fw_core - the core that the shell drives, normally Fw_Node_Step.
 * @ctx: passed to the functions
 * @step: handles an event and appends actions to @out; returns nonzero when it
 *        rejects the event
 * @ready: nonzero when the instance accepts new requests
 */
struct fw_core {
    void *ctx;
    int (*step)(void *ctx, const struct fw_event *ev, int64_t now_us,
                struct fw_actions *out);
    int (*ready)(const void *ctx);
    struct fw_metrics *metrics;
};

struct fw_shell;

/**
 * Fw_Shell_New - creates a shell and starts to listen for peers.
 * @self: its addr is set to the address bound for peers
 * @opts: must outlive the shell
 *
 * Return: the shell, or NULL with a negative errno in @err.
 */
struct fw_shell *
Fw_Shell_New(const struct fw_shell_opts *opts, struct fw_self *self, int *err);

/**
 * Fw_Shell_Start - listens for callers and operators, registers the instance
 * in the service registry and steps the core for the first time.
 *
 * Return: 0, or a negative errno when an address can't be bound.
 */
int
Fw_Shell_Start(struct fw_shell *shell, const struct fw_core *core);
/* Starts a graceful shutdown, as SIGTERM does; idempotent. */
void
Fw_Shell_Drain(struct fw_shell *shell);
/* Runs the main loop until the shutdown is complete. */
void
Fw_Shell_Run(struct fw_shell *shell);
/*
 * Nonzero once the core has drained and all responses were written or the time
 * to write them is over.
 */
int
Fw_Shell_HasStopped(const struct fw_shell *shell);
/* URLs with the ports bound; valid after Fw_Shell_Start. */
const char *
Fw_Shell_CallersUrl(const struct fw_shell *shell);
const char *
Fw_Shell_OperatorsUrl(const struct fw_shell *shell);
void
Fw_Shell_Free(struct fw_shell *shell);

#endif
