/* The command line: common options, the verb, its words and options. */
#include <argp.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "ctl/ctl.h"

const char *argp_program_version = "fuchsiaward 0.1";

#define FW_KEY_OF_VERB 1000 /* keys of a verb's own options begin here */

static const struct argp_option common_options[] = {
    {"instances", 'i', "URL,URL", 0,
     "Operators' addresses of the instances (all of them for --wait)", 0},
    {"fleet", 'f', "FILE", 0, "Take the addresses from a fleet.json", 0},
    {"key-file", 'k', "FILE", 0,
     "File with the operator's key; else from FUCHSIAWARD_KEY", 0},
    {"json", 'j', NULL, 0, "Print JSON in place of tables", 0},
    {"wait", 'w', "SECONDS", OPTION_ARG_OPTIONAL,
     "Wait until the change is in force on all instances (30)", 0},
    {0},
};

/** struct parse - @words: the verb's name, while it is being read */
struct parse {
    struct fw_ctl *ctl;
    const struct fw_verb *verb;
    struct fw_args args;
};

static void
set_urls(struct fw_ctl *ctl, const char *list)
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
common_option(int key, char *arg, struct argp_state *state)
{
    struct parse *p = state->input;

    switch (key) {
    case 'i':
        set_urls(p->ctl, arg);
        return 0;
    case 'f':
        if (Fw_Ctl_LoadFleet(p->ctl, arg)) {
            argp_error(state, "%s: not a fleet.json", arg);
        }
        return 0;
    case 'k':
        if (load_key(p->ctl, arg)) {
            argp_error(state, "%s: can't be read", arg);
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
verb_option(int key, char *arg, struct argp_state *state)
{
    struct parse *p = state->input;

    if (key >= FW_KEY_OF_VERB && key < FW_KEY_OF_VERB + FW_VERB_OPTIONS) {
        p->args.options[key - FW_KEY_OF_VERB] = arg;
        return 0;
    }
    switch (key) {
    case ARGP_KEY_ARG:
        if (p->args.n >= p->verb->max) {
            argp_usage(state);
        }
        p->args.words[p->args.n++] = arg;
        return 0;
    case ARGP_KEY_END:
        if (p->args.n < p->verb->min) {
            argp_usage(state);
        }
        return 0;
    default:
        return common_option(key, arg, state);
    }
}

static error_t
parse_verb(struct parse *p, int argc, char **argv)
{
    const struct fw_option *o = p->verb->options;
    struct argp_option
        options[FW_VERB_OPTIONS + G_N_ELEMENTS(common_options)] = {0};
    struct argp argp = {.options = options,
                        .parser = verb_option,
                        .args_doc = p->verb->args_doc,
                        .doc = p->verb->doc};
    int n = 0;

    for (; o && o[n].name; n++) {
        options[n].name = o[n].name;
        options[n].key = FW_KEY_OF_VERB + n;
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

static const struct fw_verb *
find_in(const struct fw_verb *verbs, const char *words)
{
    for (; verbs->words; verbs++) {
        if (strcmp(verbs->words, words) == 0) {
            return verbs;
        }
    }
    return NULL;
}

const struct fw_verb *
Fw_Ctl_FindVerb(const char *a, const char *b, int *used)
{
    char *two = g_strdup_printf("%s %s", a, b ? b : "");
    const struct fw_verb *v = find_in(Fw_Ctl_Queries, two);

    v = v ? v : find_in(Fw_Ctl_Commands, two);
    *used = 2;
    if (!v) {
        v = find_in(Fw_Ctl_Queries, a);
        v = v ? v : find_in(Fw_Ctl_Commands, a);
        *used = 1;
    }
    g_free(two);
    return v;
}

static void
list_verbs(GString *out, const char *title, const struct fw_verb *v)
{
    g_string_append_printf(out, "\n%s:\n", title);
    for (; v->words; v++) {
        char *call = g_strdup_printf("%s %s", v->words, v->args_doc);

        g_string_append_printf(out, "  %-28s %s\n", call, v->doc);
        g_free(call);
    }
}

static char *
help_text(void)
{
    GString *out = g_string_new("Asks and changes a fleet of fuchsiaward.\v");

    list_verbs(out, "Queries", Fw_Ctl_Queries);
    list_verbs(out, "Commands", Fw_Ctl_Commands);
    g_string_append(
        out, "\n`fuchsiaward COMMAND --help' shows a command's options.\n"
             "Exit status: 0 done, 1 failed, 2 conflict, 3 invalid, 4 not "
             "applied,\n5 unknown, 6 not in force everywhere in time, 7 not "
             "an operator's key,\n64 wrong use.\n");
    return g_string_free(out, FALSE);
}

/* Reads up to the verb; what follows is the verb's own to read. */
static error_t
top_option(int key, char *arg, struct argp_state *state)
{
    struct parse *p = state->input;
    const char *next =
        state->next < state->argc ? state->argv[state->next] : NULL;
    char name[64];
    int used;

    switch (key) {
    case ARGP_KEY_ARG:
        p->verb = Fw_Ctl_FindVerb(arg, next, &used);
        if (!p->verb) {
            argp_error(state, "no command `%s'", arg);
            return EINVAL;
        }
        state->next += used - 1;
        g_snprintf(name, sizeof(name), "fuchsiaward %s", p->verb->words);
        state->argv[state->next - 1] = name;
        parse_verb(p, state->argc - state->next + 1,
                   state->argv + state->next - 1);
        state->next = state->argc;
        return 0;
    case ARGP_KEY_END:
        if (!p->verb) {
            argp_usage(state);
        }
        return 0;
    default:
        return common_option(key, arg, state);
    }
}

/* Is the answer read from files, so that no instance is asked? */
static int
from_files(const struct parse *p)
{
    return p->verb->options && p->args.options[0] &&
           strcmp(p->verb->options[0].name, "log") == 0;
}

static int
run(struct fw_ctl *ctl, const struct parse *p)
{
    const char *fleet = g_getenv("FUCHSIAWARD_FLEET");
    const char *key = g_getenv("FUCHSIAWARD_KEY");

    if (!ctl->key && key) {
        ctl->key = g_strdup(key);
    }
    if (ctl->urls->len == 0 && fleet) {
        Fw_Ctl_LoadFleet(ctl, fleet);
    }
    if (ctl->urls->len == 0 && p->verb->path && !from_files(p)) {
        fputs("fuchsiaward: give --instances or --fleet\n", stderr);
        return EX_USAGE;
    }
    return p->verb->run(ctl, p->verb, &p->args);
}

int
Fw_Ctl_Main(int argc, char **argv)
{
    struct fw_ctl ctl = {.urls = g_ptr_array_new_with_free_func(g_free),
                         .wait_s = -1};
    struct parse p = {.ctl = &ctl};
    char *doc = help_text();
    struct argp argp = {.options = common_options,
                        .parser = top_option,
                        .args_doc = "COMMAND [WORD...]",
                        .doc = doc};
    int rc = EX_USAGE;

    if (argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, &p) == 0) {
        rc = run(&ctl, &p);
    }
    g_free(doc);
    Fw_Ctl_Clear(&ctl);
    return rc;
}
