/* Command line: common options, the subcommand, its operands and options. */
#include <argp.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "ctl/ctl.h"

const char *argp_program_version = "fuchsiaward 0.1";

/* argp keys of a subcommand's own options start here. */
#define FW_SUBCOMMAND_KEY_BASE 1000

static const struct argp_option common_options[] = {
    {"instances", 'i', "URL,URL", 0,
     "URLs of the instances' operator API (--wait needs all of them)", 0},
    {"fleet", 'f', "FILE", 0, "Read the URLs from a fleet.json", 0},
    {"key-file", 'k', "FILE", 0,
     "File with the operator's key (default: $FUCHSIAWARD_KEY)", 0},
    {"json", 'j', NULL, 0, "Print JSON instead of tables", 0},
    {"wait", 'w', "SECONDS", OPTION_ARG_OPTIONAL,
     "Wait until the change is in force on all instances (default: 30)", 0},
    {0},
};

/** struct cli_parser - result of parsing; @cmd is NULL until it is found. */
struct cli_parser {
    struct fw_ctl *ctl;
    const struct fw_subcommand *cmd;
    struct fw_args args;
};

static void
add_urls(struct fw_ctl *ctl, const char *list)
{
    char **urls = g_strsplit(list, ",", -1);

    for (int i = 0; urls[i]; i++) {
        if (urls[i][0]) {
            g_ptr_array_add(ctl->urls, g_strdup(urls[i]));
        }
    }
    g_strfreev(urls);
}

static int
load_key(struct fw_ctl *ctl, const char *file)
{
    char *text;

    if (!g_file_get_contents(file, &text, NULL, NULL)) {
        return -EINVAL;
    }
    g_free(ctl->key);
    ctl->key = g_strstrip(text);
    return 0;
}

int
Fw_Ctl_LoadFleet(struct fw_ctl *ctl, const char *file)
{
    char *text;
    JsonNode *node;
    JsonObject *obj;
    JsonArray *urls;

    if (!g_file_get_contents(file, &text, NULL, NULL)) {
        return -EINVAL;
    }
    node = json_from_string(text, NULL);
    g_free(text);
    if (!node || !JSON_NODE_HOLDS_OBJECT(node) ||
        !json_object_has_member(json_node_get_object(node), "operators")) {
        g_clear_pointer(&node, json_node_unref);
        return -EINVAL;
    }
    obj = json_node_get_object(node);
    urls = json_object_get_array_member(obj, "operators");
    for (unsigned i = 0; i < json_array_get_length(urls); i++) {
        g_ptr_array_add(ctl->urls,
                        g_strdup(json_array_get_string_element(urls, i)));
    }
    if (!ctl->key && json_object_has_member(obj, "operator_key")) {
        ctl->key =
            g_strdup(json_object_get_string_member(obj, "operator_key"));
    }
    json_node_unref(node);
    return 0;
}

void
Fw_Ctl_Clear(struct fw_ctl *ctl)
{
    g_ptr_array_unref(ctl->urls);
    g_free(ctl->key);
    g_clear_object(&ctl->session);
}

static error_t
parse_common_option(int key, char *arg, struct argp_state *state)
{
    struct cli_parser *p = state->input;

    switch (key) {
    case 'i':
        add_urls(p->ctl, arg);
        return 0;
    case 'f':
        if (Fw_Ctl_LoadFleet(p->ctl, arg)) {
            argp_error(state, "%s: not a fleet.json", arg);
        }
        return 0;
    case 'k':
        if (load_key(p->ctl, arg)) {
            argp_error(state, "cannot read %s", arg);
        }
        return 0;
    case 'j':
        p->ctl->json = 1;
        return 0;
    case 'w':
        p->ctl->wait_s = arg ? atoi(arg) : 30;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static error_t
parse_subcommand_option(int key, char *arg, struct argp_state *state)
{
    struct cli_parser *p = state->input;

    if (key >= FW_SUBCOMMAND_KEY_BASE &&
        key < FW_SUBCOMMAND_KEY_BASE + FW_SUBCOMMAND_OPTIONS_MAX) {
        p->args.options[key - FW_SUBCOMMAND_KEY_BASE] = arg;
        return 0;
    }
    switch (key) {
    case ARGP_KEY_ARG:
        if (p->args.n_operands >= p->cmd->max_operands) {
            argp_usage(state);
        }
        p->args.operands[p->args.n_operands++] = arg;
        return 0;
    case ARGP_KEY_END:
        if (p->args.n_operands < p->cmd->min_operands) {
            argp_usage(state);
        }
        return 0;
    default:
        return parse_common_option(key, arg, state);
    }
}

static error_t
parse_subcommand(struct cli_parser *p, int argc, char **argv)
{
    const struct fw_option *o = p->cmd->options;
    struct argp_option options[FW_SUBCOMMAND_OPTIONS_MAX +
                               G_N_ELEMENTS(common_options)] = {0};
    struct argp argp = {.options = options,
                        .parser = parse_subcommand_option,
                        .args_doc = p->cmd->args_doc,
                        .doc = p->cmd->doc};
    int n = 0;

    for (; o && o[n].name; n++) {
        options[n].name = o[n].name;
        options[n].key = FW_SUBCOMMAND_KEY_BASE + n;
        options[n].arg = o[n].arg;
        options[n].doc = o[n].doc;
        options[n].group = 1;
    }
    memcpy(options + n, common_options, sizeof(common_options));
    for (int i = n; options[i].name; i++) {
        options[i].group = 2;
    }
    return argp_parse(&argp, argc, argv, 0, NULL, p);
}

static const struct fw_subcommand *
find_by_name(const struct fw_subcommand *cmds, const char *name)
{
    for (; cmds->name; cmds++) {
        if (strcmp(cmds->name, name) == 0) {
            return cmds;
        }
    }
    return NULL;
}

const struct fw_subcommand *
Fw_Ctl_FindSubcommand(const char *first, const char *second, int *used)
{
    char *both = g_strdup_printf("%s %s", first, second ? second : "");
    const struct fw_subcommand *cmd = find_by_name(Fw_Ctl_Queries, both);

    cmd = cmd ? cmd : find_by_name(Fw_Ctl_Commands, both);
    *used = 2;
    if (!cmd) {
        cmd = find_by_name(Fw_Ctl_Queries, first);
        cmd = cmd ? cmd : find_by_name(Fw_Ctl_Commands, first);
        *used = 1;
    }
    g_free(both);
    return cmd;
}

static void
append_subcommands(GString *out, const char *title,
                   const struct fw_subcommand *cmd)
{
    g_string_append_printf(out, "\n%s:\n", title);
    for (; cmd->name; cmd++) {
        char *call = g_strdup_printf("%s %s", cmd->name, cmd->args_doc);

        g_string_append_printf(out, "  %-28s %s\n", call, cmd->doc);
        g_free(call);
    }
}

static char *
help_text(void)
{
    GString *out = g_string_new(
        "Queries and configures a fleet of fuchsiaward instances.\v");

    append_subcommands(out, "Queries", Fw_Ctl_Queries);
    append_subcommands(out, "Commands", Fw_Ctl_Commands);
    g_string_append(
        out, "\n`fuchsiaward COMMAND --help' shows a command's options.\n"
             "Exit status: 0 success, 1 failed, 2 conflict, 3 invalid, 4 not "
             "applied,\n5 unknown, 6 not in force on all instances in time, "
             "7 access denied,\n64 usage error.\n");
    return g_string_free(out, FALSE);
}

/* Parses options up to the subcommand, then the rest with its own parser. */
static error_t
parse_top_option(int key, char *arg, struct argp_state *state)
{
    struct cli_parser *p = state->input;
    const char *next =
        state->next < state->argc ? state->argv[state->next] : NULL;
    char name[64];
    int used;

    switch (key) {
    case ARGP_KEY_ARG:
        p->cmd = Fw_Ctl_FindSubcommand(arg, next, &used);
        if (!p->cmd) {
            argp_error(state, "unknown command `%s'", arg);
            return EINVAL;
        }
        state->next += used - 1;
        g_snprintf(name, sizeof(name), "fuchsiaward %s", p->cmd->name);
        state->argv[state->next - 1] = name;
        parse_subcommand(p, state->argc - state->next + 1,
                         state->argv + state->next - 1);
        state->next = state->argc;
        return 0;
    case ARGP_KEY_END:
        if (!p->cmd) {
            argp_usage(state);
        }
        return 0;
    default:
        return parse_common_option(key, arg, state);
    }
}

/* Nonzero if --log is given, so that no instance has to be called. */
static int
reads_logs_only(const struct cli_parser *p)
{
    return p->cmd->options && p->args.options[0] &&
           strcmp(p->cmd->options[0].name, "log") == 0;
}

static int
run(struct fw_ctl *ctl, const struct cli_parser *p)
{
    const char *fleet = g_getenv("FUCHSIAWARD_FLEET");
    const char *key = g_getenv("FUCHSIAWARD_KEY");

    if (!ctl->key && key) {
        ctl->key = g_strdup(key);
    }
    if (ctl->urls->len == 0 && fleet) {
        Fw_Ctl_LoadFleet(ctl, fleet);
    }
    if (ctl->urls->len == 0 && p->cmd->path && !reads_logs_only(p)) {
        fputs("fuchsiaward: --instances or --fleet is required\n", stderr);
        return EX_USAGE;
    }
    return p->cmd->run(ctl, p->cmd, &p->args);
}

int
Fw_Ctl_Main(int argc, char **argv)
{
    struct fw_ctl ctl = {.urls = g_ptr_array_new_with_free_func(g_free),
                         .wait_s = -1};
    struct cli_parser p = {.ctl = &ctl};
    char *doc = help_text();
    struct argp argp = {.options = common_options,
                        .parser = parse_top_option,
                        .args_doc = "COMMAND [ARG...]",
                        .doc = doc};
    int rc = EX_USAGE;

    if (argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, &p) == 0) {
        rc = run(&ctl, &p);
    }
    g_free(doc);
    Fw_Ctl_Clear(&ctl);
    return rc;
}
