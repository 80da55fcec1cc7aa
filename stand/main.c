/* fwstand: runs the stand-in as a process. */
#include <argp.h>
#include <errno.h>
#include <glib-unix.h>
#include <stdlib.h>
#include <string.h>

#include "stand/stand.h"

const char *argp_program_version = "fwstand 0.1";

/** struct fw_number_option - a numeric option and where its value goes. */
struct fw_number_option {
    const char *name;
    const char *doc;
    size_t offset;
};

#define OPT(field) offsetof(struct fw_stand_opts, field)

static const struct fw_number_option number_options[] = {
    {"seed", "seed of the random number generator", OPT(seed)},
    {"prefill", "number of prefill engines", OPT(prefill_engines)},
    {"decode", "number of decode engines", OPT(decode_engines)},
    {"services", "number of servers of the plain service",
     OPT(service_servers)},
    {"domains", "number of failure domains", OPT(domains)},
    {"slots", "concurrent requests of a decode engine", OPT(decode_slots)},
    {"unchecked", "every N-th engine ignores fencing numbers; 0 for none",
     OPT(unfenced_every)},
    {"answer-tokens", "length of answers in tokens", OPT(answer_tokens)},
    {"token-ms", "duration of a decode step in ms", OPT(step_ms)},
    {"token-slot-us", "added to a step for each request in the batch, in us",
     OPT(step_request_us)},
    {"prefill-rate", "prefill tokens per second of an engine",
     OPT(prefill_tokens_per_s)},
    {"kv-total", "KV cache capacity of an engine in tokens",
     OPT(kv_capacity_tokens)},
    {"cache-tokens", "capacity of an engine's prefix cache in tokens",
     OPT(cache_tokens)},
    {"kv-bytes", "KV cache bytes per token", OPT(kv_bytes_per_token)},
    {"link-rate", "bytes per second of a link", OPT(link_bytes_per_s)},
    {"lapse-ms", "time to live of an unused KV cache in ms", OPT(kv_ttl_ms)},
    {"grace-ms", "time that a disconnected stream can be resumed, in ms",
     OPT(resume_grace_ms)},
    {"load-lag-ms", "interval between load report updates in ms",
     OPT(load_lag_ms)},
    {"cache-late-ms", "delay of cache events in ms",
     OPT(cache_event_delay_ms)},
    {"cache-gap-permille", "lost cache events per 1000",
     OPT(cache_event_loss_permille)},
    {"log-rate", "appends per second", OPT(log_appends_per_s)},
    {"log-retain", "records kept of each log stream", OPT(log_retain_records)},
    {"list-lag-ms", "delay of changes of the instance list in ms",
     OPT(list_lag_ms)},
    {"weights-bytes", "size of a model in bytes", OPT(weights_bytes)},
    {"weights-rate", "bytes per second of the weight store",
     OPT(weights_bytes_per_s)},
};

#define N_NUMBER_OPTIONS G_N_ELEMENTS(number_options)

/* Values that are not printable characters define long options only. */
enum fw_option_key {
    FW_OPTION_NUMBER = 1,
    FW_OPTION_MODEL = 300,
    FW_OPTION_PORT_FILE,
};

struct fw_stand_args {
    struct fw_stand_opts opts;
    const char *port_file;
};

static void
set_number(struct argp_state *state, const struct fw_number_option *n,
           char *arg)
{
    struct fw_stand_args *m = state->input;
    char *end;
    long long v = strtoll(arg, &end, 10);

    if (*arg == '\0' || *end != '\0' || v < 0) {
        argp_error(state, "--%s: expected a non-negative integer, got '%s'",
                   n->name, arg);
    }
    *(int64_t *)((char *)&m->opts + n->offset) = v;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    struct fw_stand_args *m = state->input;

    if (key >= FW_OPTION_NUMBER &&
        key < FW_OPTION_NUMBER + (int)N_NUMBER_OPTIONS) {
        set_number(state, &number_options[key - FW_OPTION_NUMBER], arg);
        return 0;
    }
    switch (key) {
    case FW_OPTION_MODEL:
        m->opts.model = arg;
        return 0;
    case FW_OPTION_PORT_FILE:
        m->port_file = arg;
        return 0;
    case ARGP_KEY_END:
        if (!m->port_file || m->opts.domains < 1 ||
            m->opts.prefill_tokens_per_s < 1 || m->opts.step_ms < 1 ||
            !strchr(m->opts.model, '@')) {
            argp_error(state, "--port-file is required; --domains, "
                              "--prefill-rate and --token-ms must be at least "
                              "1; --model must be NAME@VERSION");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static gboolean
on_signal(gpointer data)
{
    g_main_loop_quit(data);
    return G_SOURCE_REMOVE;
}

static int
serve(const struct fw_stand_args *m)
{
    struct fw_stand *s = Fw_Stand_New(&m->opts);
    GMainLoop *loop = g_main_loop_new(NULL, FALSE);
    GError *err = NULL;
    int rc = 0;
    char *text;

    if (!s) {
        g_printerr("fwstand: cannot listen on 127.0.0.1\n");
        g_main_loop_unref(loop);
        return 1;
    }
    text = Fw_Stand_Describe(s);
    /* Renamed into place, so that a reader never sees a partial file. */
    if (!g_file_set_contents(m->port_file, text, -1, &err)) {
        g_printerr("fwstand: %s\n", err->message);
        g_error_free(err);
        rc = 1;
    }
    else {
        g_unix_signal_add(SIGTERM, on_signal, loop);
        g_unix_signal_add(SIGINT, on_signal, loop);
        g_main_loop_run(loop);
    }
    g_free(text);
    Fw_Stand_Free(s);
    g_main_loop_unref(loop);
    return rc;
}

int
main(int argc, char **argv)
{
    struct argp_option options[N_NUMBER_OPTIONS + 3] = {
        {"model", FW_OPTION_MODEL, "NAME@VERSION", 0,
         "model that engines have loaded at start", 0},
        {"port-file", FW_OPTION_PORT_FILE, "FILE", 0,
         "file for the JSON object of server names and URLs", 0},
    };
    char *doc = g_strdup_printf(
        "Stand-in for engines, plain services, log service, instance list and "
        "weight store.\vFaults for POST /control/fault with {\"name\": ...}: "
        "%s. "
        "Parameters: ms, count, after, permille, status, path, "
        "text, stage; see docs/PROTOCOLS.md.",
        Fw_StandFault_Names());
    struct argp argp = {
        .options = options, .parser = parse_option, .doc = doc};
    struct fw_stand_args m = {.port_file = NULL};
    int rc;

    for (size_t i = 0; i < N_NUMBER_OPTIONS; i++) {
        options[2 + i] = (struct argp_option){number_options[i].name,
                                              FW_OPTION_NUMBER + (int)i,
                                              "N",
                                              0,
                                              number_options[i].doc,
                                              0};
    }
    Fw_Stand_SetDefaults(&m.opts);
    argp_parse(&argp, argc, argv, 0, NULL, &m);
    rc = serve(&m);
    g_free(doc);
    return rc;
}
