/*
 * The shell around the core: one loop on one thread that turns sockets,
 * timers and signals into events, steps the core, and carries out what it
 * puts out.
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
 * struct fw_shell_opts - from the settings.
 * @callers, @operators, @peers: "ip:port" to listen on
 * @log_url, @list_url: base URLs of the platform's services
 * @secret: proves membership between instances
 * @read_timeout_us: for head and body of a caller's request together
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
 * struct fw_core - what the shell drives: in the daemon Fw_Node_Step, in the
 * shell's own tests a script.
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
 * Fw_Shell_New - binds the peers' address and writes it into @self->addr.
 * @opts: must outlive the shell
 *
 * Return: the shell, or NULL with a negative errno in @err.
 */
struct fw_shell *
Fw_Shell_New(const struct fw_shell_opts *opts, struct fw_self *self, int *err);

/**
 * Fw_Shell_Start - listens, logs where, registers in the list and steps the
 * core for the first time.
 *
 * Return: 0, or a negative errno when an address can't be bound.
 */
int
Fw_Shell_Start(struct fw_shell *shell, const struct fw_core *core);
/* Begins a graceful stop, as SIGTERM does; a second one changes nothing. */
void
Fw_Shell_Drain(struct fw_shell *shell);
/* Runs until the core has drained. */
void
Fw_Shell_Run(struct fw_shell *shell);
/* Nonzero once the core has drained and all answers are out. */
int
Fw_Shell_HasStopped(const struct fw_shell *shell);
/* URLs really bound, for tests; after Fw_Shell_Start. */
const char *
Fw_Shell_CallersUrl(const struct fw_shell *shell);
const char *
Fw_Shell_OperatorsUrl(const struct fw_shell *shell);
void
Fw_Shell_Free(struct fw_shell *shell);

#endif
