/* explore: searches many seeds for a violation of a property. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/fault.h"
#include "explore/explore.h"

/** struct options - parsed command line. */
struct options {
    const char *property;
    guint32 seed;
    int steps;
    int seeds;
    int list;
};

static const struct argp_option option_table[] = {
    {"seed", 's', "N", 0, "first seed (1)", 0},
    {"steps", 'm', "M", 0, "steps per run (400)", 0},
    {"seeds", 'k', "K", 0, "number of consecutive seeds (1)", 0},
    {"fault", 'f', "NAME", 0, "inject this fault", 0},
    {"list", 'l', NULL, 0, "print the properties, one per line", 0},
    {NULL, 0, NULL, 0, NULL, 0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    struct options *o = state->input;

    switch (key) {
    case 's':
        o->seed = (guint32)strtoul(arg, NULL, 10);
        break;
    case 'm':
        o->steps = (int)strtol(arg, NULL, 10);
        break;
    case 'k':
        o->seeds = (int)strtol(arg, NULL, 10);
        break;
    case 'f':
        Fw_Fault_Active = arg;
        break;
    case 'l':
        o->list = 1;
        break;
    case ARGP_KEY_ARG:
        if (o->property) {
            argp_usage(state);
        }
        o->property = arg;
        break;
    case ARGP_KEY_END:
        if (!o->list && !o->property) {
            argp_usage(state);
        }
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static const struct argp arg_parser = {
    .options = option_table,
    .parser = parse_option,
    .args_doc = "PROPERTY",
    .doc = "Drives the component that PROPERTY is about with events and "
           "faults drawn from each seed. Prints the trace of the first seed "
           "that violates the property and exits with status 1.",
};

static void
list_properties(void)
{
    for (const struct fw_property *p = Fw_Properties; p->name; p++) {
        puts(p->name);
    }
}

int
main(int argc, char **argv)
{
    struct options o = {.seed = 1, .steps = 400, .seeds = 1};
    const struct fw_property *p;
    GString *report = g_string_new(NULL);
    int failed = 0;

    argp_parse(&arg_parser, argc, argv, 0, NULL, &o);
    if (o.list) {
        list_properties();
        g_string_free(report, TRUE);
        return 0;
    }
    p = Fw_Property_Find(o.property);
    if (!p) {
        fprintf(stderr, "explore: no property named %s\n", o.property);
        g_string_free(report, TRUE);
        return 2;
    }
    for (int i = 0; i < o.seeds && !failed; i++) {
        failed = Fw_Property_Run(p, o.seed + (guint32)i, o.steps, report);
    }
    if (failed) {
        fputs(report->str, stdout);
    }
    else {
        printf("%s: %d seeds from %u, %d steps each: held\n", p->name, o.seeds,
               o.seed, o.steps);
    }
    g_string_free(report, TRUE);
    return failed;
}
