/*
 * fwwire: a small deployment for the demo in one process: the store, two
 * prefill and four decode engines, and two plain servers.
 */
#include <argp.h>
#include <errno.h>
#include <glib-unix.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "stand/wire/wire.h"

static const struct argp_option options[] = {
    {"port", 'p', "PORT", 0, "Port of the store, 0 for any", 0},
    {"fault", 'f', "NAME", 0,
     "Fault injected into each request: full, fail, reset, break, partial, "
     "empty, "
     "stall",
     0},
    {0},
};

/* Exceeds the number of requests in a demo. */
#define FW_DEMO_FAULT_COUNT 1000000

/** struct arguments - command line arguments. */
struct arguments {
    int port;
    enum fw_wire_fault fault;
};

static int
parse_fault(const char *name, enum fw_wire_fault *out)
{
    static const struct {
        const char *name;
        enum fw_wire_fault fault;
    } faults[] = {
        {"full", FW_WIRE_FAULT_FULL},       {"fail", FW_WIRE_FAULT_ERROR},
        {"reset", FW_WIRE_FAULT_RESET},     {"break", FW_WIRE_FAULT_TRUNCATE},
        {"partial", FW_WIRE_FAULT_PARTIAL}, {"empty", FW_WIRE_FAULT_EMPTY},
        {"stall", FW_WIRE_FAULT_STALL}};

    for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
        if (strcmp(faults[i].name, name) == 0) {
            *out = faults[i].fault;
            return 0;
        }
    }
    return -EINVAL;
}

static error_t
parse_opt(int key, char *arg, struct argp_state *state)
{
    struct arguments *args = state->input;

    switch (key) {
    case 'p':
        args->port = atoi(arg);
        return 0;
    case 'f':
        if (parse_fault(arg, &args->fault)) {
            argp_error(state, "unknown fault `%s'", arg);
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = {
    .options = options,
    .parser = parse_opt,
    .doc = "Stand-in for the deployment platform. Prints the store's address.",
};

static const struct fw_wire_opts servers[] = {
    {"p1", "llm", "a", "prefill", 8, 40000, 40, 50, 500},
    {"p2", "llm", "b", "prefill", 8, 40000, 40, 50, 500},
    {"d1", "llm", "a", "decode", 8, 40000, 40, 25, 500},
    {"d2", "llm", "b", "decode", 8, 40000, 40, 25, 500},
    {"d3", "llm", "a", "decode", 8, 40000, 40, 25, 500},
    {"d4", "llm", "b", "decode", 8, 40000, 40, 25, 500},
    {"s1", "desk", "a", "", 8, 0, 0, 1, 0},
    {"s2", "desk", "b", "", 8, 0, 0, 1, 0},
};

static gboolean
on_signal(gpointer loop)
{
    g_main_loop_quit(loop);
    return G_SOURCE_CONTINUE;
}

int
main(int argc, char **argv)
{
    struct fw_wire_server *running[G_N_ELEMENTS(servers)];
    GMainLoop *loop = g_main_loop_new(NULL, FALSE);
    struct fw_wire_store *store;
    char *config = Fw_Wire_MakeConfig(1, "\"demo-key\"");
    struct arguments args = {0};
    char addr[32];

    argp_parse(&parser, argc, argv, 0, NULL, &args);
    g_snprintf(addr, sizeof(addr), "127.0.0.1:%d", args.port);
    store = Fw_WireStore_New(addr);
    for (size_t i = 0; i < G_N_ELEMENTS(servers); i++) {
        running[i] = Fw_WireServer_New(store, "127.0.0.1:0", &servers[i]);
        Fw_WireServer_SetFault(running[i], args.fault,
                               args.fault ? FW_DEMO_FAULT_COUNT : 0);
    }
    Fw_WireStore_Put(store, "keyed.op", "config", config);
    printf("127.0.0.1:%d\n", Fw_WireStore_Port(store));
    fflush(stdout);
    g_unix_signal_add(SIGTERM, on_signal, loop);
    g_unix_signal_add(SIGINT, on_signal, loop);
    g_main_loop_run(loop);
    for (size_t i = 0; i < G_N_ELEMENTS(servers); i++) {
        Fw_WireServer_Free(running[i]);
    }
    Fw_WireStore_Free(store);
    g_main_loop_unref(loop);
    g_free(config);
    return 0;
}
