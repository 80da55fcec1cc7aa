/* Command line of fwload. */
#include <argp.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "bench/load/load.h"

const char *argp_program_version = "fwload 0.1";

enum option_key {
    FW_KEY_FLEET = 1,
    FW_KEY_POLICIES,
    FW_KEY_REPEATS,
    FW_KEY_DIR,
    FW_KEY_JSON,
    FW_KEY_PLOT,
};

static const struct argp_option options[] = {
    {"fleet", FW_KEY_FLEET, "FILE", 0, "run: fleet.json of a running fleet",
     0},
    {"policies", FW_KEY_POLICIES, "A,B,..", 0,
     "compare: policies to run; the ratios compare the last one to each of "
     "the others (random,least-loaded,full)",
     0},
    {"repeats", FW_KEY_REPEATS, "N", 0, "compare: runs per policy (3)", 0},
    {"dir", FW_KEY_DIR, "DIR", 0,
     "compare: directory for the fleets' files (build/load)", 0},
    {"json", FW_KEY_JSON, "FILE", 0, "write the metrics as JSON", 0},
    {"plot", FW_KEY_PLOT, "FILE", 0, "write a bar chart as SVG", 0},
    {0},
};

/** struct arguments - command-line arguments. */
struct arguments {
    const char *command;
    const char *file;
    const char *fleet;
    const char *json;
    const char *plot;
    const char *dir;
    char *policies;
    int repeats;
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    struct arguments *a = state->input;

    switch (key) {
    case FW_KEY_FLEET:
        a->fleet = arg;
        return 0;
    case FW_KEY_POLICIES:
        a->policies = arg;
        return 0;
    case FW_KEY_REPEATS:
        a->repeats = atoi(arg); // NOLINT(cert-err34-c): checked below
        if (a->repeats < 1 || a->repeats > 100) {
            argp_error(state, "--repeats must be from 1 to 100");
        }
        return 0;
    case FW_KEY_DIR:
        a->dir = arg;
        return 0;
    case FW_KEY_JSON:
        a->json = arg;
        return 0;
    case FW_KEY_PLOT:
        a->plot = arg;
        return 0;
    case ARGP_KEY_ARG:
        if (!a->command) {
            a->command = arg;
        }
        else if (!a->file) {
            a->file = arg;
        }
        else {
            argp_usage(state);
        }
        return 0;
    case ARGP_KEY_END:
        if (!a->file || (strcmp(a->command, "run") != 0 &&
                         strcmp(a->command, "compare") != 0)) {
            argp_usage(state);
        }
        if (strcmp(a->command, "run") == 0 && !a->fleet) {
            argp_error(state, "run: --fleet is required");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static int
write_file(const char *file, char *text)
{
    GError *err = NULL;
    int rc = 0;

    if (file && !g_file_set_contents(file, text, -1, &err)) {
        g_printerr("fwload: %s\n", err->message);
        g_error_free(err);
        rc = EX_CANTCREAT;
    }
    g_free(text);
    return rc;
}

static int
split_policies(struct fw_comparison *c, const char *list)
{
    char **part = g_strsplit(list, ",", FW_POLICIES_MAX + 1);

    for (int i = 0; part[i]; i++) {
        if (i == FW_POLICIES_MAX) {
            g_strfreev(part);
            return EX_USAGE;
        }
        c->policy[c->n_policies++] = g_strdup(part[i]);
    }
    g_strfreev(part);
    return c->n_policies ? 0 : EX_USAGE;
}

static int
execute(const struct arguments *a, const struct fw_experiment *e,
        struct fw_comparison *c)
{
    int rc;

    if (strcmp(a->command, "run") == 0) {
        c->n_policies = 1;
        c->repeats = 1;
        c->policy[0] = g_strdup("run");
        c->stats = g_new0(struct fw_loadgen_stats, 1);
        rc = Fw_Loadgen_Run(e, e->seed, a->fleet, c->stats);
    }
    else {
        rc = split_policies(c, a->policies);
        rc = rc ? rc : Fw_Comparison_Run(e, c);
    }
    if (rc) {
        return rc < 0 ? EX_SOFTWARE : rc;
    }
    Fw_Report_Table(e, c);
    rc = write_file(a->json, Fw_Report_Json(e, c));
    return rc ? rc : write_file(a->plot, Fw_Plot_Svg(e, c));
}

int
main(int argc, char **argv)
{
    static const struct argp argp = {
        options,
        parse_option,
        "run|compare EXPERIMENT.ini",
        "Loads a fleet and reports goodput, latency and refusals. `run' uses "
        "a running fleet, `compare' starts one for each policy and repeat.",
        NULL,
        NULL,
        NULL};
    struct arguments a = {.policies = (char[]){"random,least-loaded,full"},
                          .repeats = 3,
                          .dir = "build/load"};
    struct fw_comparison c = {0};
    GString *err = g_string_new(NULL);
    struct fw_experiment e;
    int rc;

    argp_parse(&argp, argc, argv, 0, NULL, &a);
    c.repeats = a.repeats;
    c.dir = a.dir;
    if (Fw_Experiment_Read(&e, a.file, err)) {
        g_printerr("fwload: %s\n", err->str);
        rc = EX_CONFIG;
    }
    else {
        rc = execute(&a, &e, &c);
    }
    for (int i = 0; i < c.n_policies; i++) {
        g_free(c.policy[i]);
    }
    g_free(c.stats);
    g_string_free(err, TRUE);
    return rc;
}
