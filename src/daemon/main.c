/* fuchsiawardd: main program of a router instance or a relay. */
#include <argp.h>
#include <stdio.h>
#include <sys/resource.h>
#include <sysexits.h>
#include <unistd.h>

#include "base/fault.h"
#include "daemon/ini.h"
#include "daemon/settings.h"
#include "io/logger.h"
#include "io/shell.h"
#include "relayd/relayd.h"

const char *argp_program_version = "fuchsiawardd 0.1";

static const struct argp_option options[] = {
    {"check", 'c', "FILE", 0, "Check the settings in FILE and exit", 0},
    {0},
};

/**
 * struct arguments - command line arguments.
 * @file: settings file
 * @check: only check the file
 */
struct arguments {
    const char *file;
    int check;
};

static error_t
parse_opt(int key, char *arg, struct argp_state *state)
{
    struct arguments *args = state->input;

    switch (key) {
    case 'c':
        args->check = 1;
        args->file = arg;
        return 0;
    case ARGP_KEY_ARG:
        if (args->file) {
            argp_usage(state);
        }
        args->file = arg;
        return 0;
    case ARGP_KEY_END:
        if (!args->file) {
            args->file = g_getenv("FUCHSIAWARD_CONFIG");
        }
        if (!args->file) {
            argp_usage(state);
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = {
    .options = options,
    .parser = parse_opt,
    .args_doc = "[SETTINGS.ini]",
    .doc = "One instance of the router for prefill and decode pools. Without "
           "an argument the file is the one named by FUCHSIAWARD_CONFIG.\v"
           "Exit status: 0 stopped by SIGTERM or SIGINT, 64 invalid "
           "arguments, 69 cannot listen on an address, 78 invalid settings.",
};

static int
step_node(void *ctx, const struct fw_event *ev, int64_t now_us,
          struct fw_actions *out)
{
    return Fw_Node_Step(ctx, ev, now_us, out);
}

static int
node_ready(const void *ctx)
{
    return Fw_Node_Ready(ctx);
}

static int
serve(struct fw_settings *s, struct fw_shell *shell)
{
    struct fw_node *node = Fw_Node_New(&s->node, g_get_monotonic_time());
    struct fw_core core = {.ctx = node,
                           .step = step_node,
                           .ready = node_ready,
                           .metrics = Fw_Node_Metrics(node)};
    int rc = Fw_Shell_Start(shell, &core);

    if (rc) {
        Fw_Logger_Log(LOG_ERR, "listen_failed", "callers", s->shell.callers,
                      "operators", s->shell.operators, "error",
                      g_strerror(-rc), NULL);
    }
    else {
        Fw_Shell_Run(shell);
        Fw_Logger_Log(LOG_NOTICE, "stopped", NULL);
    }
    Fw_Shell_Free(shell);
    Fw_Node_Free(node);
    return rc ? EX_UNAVAILABLE : 0;
}

/*
 * A running request uses one descriptor for its caller and up to three for
 * upstreams, so the usual soft limit of 1,024 allows a few hundred requests.
 */
static void
raise_descriptor_limit(void)
{
    struct rlimit lim;

    if (getrlimit(RLIMIT_NOFILE, &lim) == 0) {
        lim.rlim_cur = lim.rlim_max;
        setrlimit(RLIMIT_NOFILE, &lim);
    }
}

static int
run(struct fw_settings *s)
{
    struct fw_shell *shell;
    int err;

    raise_descriptor_limit();
    s->node.self.boot = (uint64_t)(g_get_real_time() / FW_MSEC);
    s->node.seed = g_random_int();
    s->node.route.seed = g_random_int();
    Fw_Logger_Setup(s->node.self.name, stderr);
    shell = Fw_Shell_New(&s->shell, &s->node.self, &err);
    if (!shell) {
        Fw_Logger_Log(LOG_ERR, "listen_failed", "peers", s->shell.peers,
                      "error", g_strerror(-err), NULL);
        return EX_UNAVAILABLE;
    }
    return serve(s, shell);
}

/* Runs a relay: the settings file has the group [relay]. */
static int
run_relay(const char *path, int check)
{
    struct fw_relayd_opts opts;
    struct fw_relayd *d;
    char *error = NULL;
    int err = 0;

    if (Fw_Relayd_LoadSettings(path, &opts, &error)) {
        fprintf(stderr, "fuchsiawardd: %s\n", error);
        g_free(error);
        return EX_CONFIG;
    }
    if (check) {
        return 0;
    }
    raise_descriptor_limit();
    opts.relay.boot = (uint64_t)(g_get_real_time() / FW_MSEC);
    opts.relay.seed = g_random_int();
    Fw_Logger_SetupNonblocking(opts.relay.name, STDOUT_FILENO,
                               (size_t)opts.log_buffer_bytes);
    d = Fw_Relayd_New(&opts, path, &err);
    if (!d) {
        Fw_Logger_Log(LOG_ERR, "listen_failed", "callers", opts.callers_addr,
                      "error", g_strerror(-err), NULL);
        return EX_UNAVAILABLE;
    }
    Fw_Relayd_Run(d);
    Fw_Relayd_Free(d);
    return 0;
}

int
main(int argc, char **argv)
{
    struct arguments args = {0};
    struct fw_settings settings;
    char *error;
    int rc = 0;

    argp_err_exit_status = EX_USAGE;
#ifdef FW_TEST_BUILD
    Fw_Fault_Active = g_getenv("FUCHSIAWARD_FAULT");
#endif
    argp_parse(&parser, argc, argv, 0, NULL, &args);
    if (Fw_Ini_HasGroup(args.file, "relay")) {
        return run_relay(args.file, args.check);
    }
    if (Fw_Settings_Load(args.file, &settings, &error)) {
        fprintf(stderr, "fuchsiawardd: %s\n", error);
        g_free(error);
        return EX_CONFIG;
    }
    if (!args.check) {
        rc = run(&settings);
    }
    Fw_Settings_Clear(&settings);
    return rc;
}
