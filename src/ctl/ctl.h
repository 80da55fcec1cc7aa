/* fuchsiaward, the operators' command-line client. Private to src/ctl. */
#ifndef FW_CTL_CTL_H
#define FW_CTL_CTL_H

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#include "config/change.h"

/* Exit statuses, besides EX_USAGE. docs/operations/configuration.md documents
 * them. */
#define FW_EXIT_OK 0
#define FW_EXIT_FAILED 1
#define FW_EXIT_CONFLICT 2
#define FW_EXIT_INVALID 3
#define FW_EXIT_NOT_APPLIED 4
#define FW_EXIT_UNKNOWN 5
#define FW_EXIT_WAIT_TIMEOUT 6
#define FW_EXIT_DENIED 7

#define FW_SUBCOMMAND_OPTIONS_MAX 8
#define FW_SUBCOMMAND_OPERANDS_MAX 2

/**
 * struct fw_ctl - settings common to all subcommands.
 * @urls: base URLs of the instances' operator API, char *
 * @key: the operator's key, or NULL
 * @json: print JSON instead of tables
 * @wait_s: how long to wait for a change to be in force on all instances, -1
 *          not to wait
 * @session: created by the first call
 */
struct fw_ctl {
    GPtrArray *urls;
    char *key;
    int json;
    int wait_s;
    SoupSession *session;
};

/** enum fw_option_type - how an option's argument is converted to JSON. */
enum fw_option_type {
    FW_OPT_TEXT,
    FW_OPT_NUMBER,
    FW_OPT_MODELS, /* comma-separated names; "all": an empty list */
    FW_OPT_SERVES, /* comma-separated model@version[+adapter] */
};

/**
 * struct fw_option - an option of a subcommand.
 * @name: long option, without the dashes
 * @arg: placeholder for the argument in the help text
 * @member: member of the item's value that the option sets, or NULL
 */
struct fw_option {
    const char *name;
    const char *arg;
    const char *doc;
    const char *member;
    enum fw_option_type type;
};

/**
 * struct fw_args - parsed arguments of a subcommand.
 * @options: by index in fw_subcommand.options; NULL if not given
 */
struct fw_args {
    int n_operands;
    const char *operands[FW_SUBCOMMAND_OPERANDS_MAX];
    const char *options[FW_SUBCOMMAND_OPTIONS_MAX];
};

/**
 * struct fw_subcommand - a subcommand.
 * @name: one or two words, e.g. "audit" or "team set"
 * @args_doc: operands, for the help text
 * @max_operands: at most FW_SUBCOMMAND_OPERANDS_MAX
 * @path: API path; NULL if the subcommand calls no instance
 * @kind: kind of item it reads or changes, FW_ITEM_KINDS if none in particular
 * @options: terminated by an entry without a name; may be NULL
 * @run: returns the exit status
 */
struct fw_subcommand {
    const char *name;
    const char *args_doc;
    const char *doc;
    int min_operands;
    int max_operands;
    const char *path;
    enum fw_item_kind kind;
    const struct fw_option *options;
    int (*run)(struct fw_ctl *ctl, const struct fw_subcommand *cmd,
               const struct fw_args *args);
};

/* Terminated by an entry without a name. */
extern const struct fw_subcommand Fw_Ctl_Queries[];
extern const struct fw_subcommand Fw_Ctl_Commands[];

/**
 * Fw_Ctl_FindSubcommand - finds a subcommand by its name.
 * @first, @second: the first two arguments; @second may be NULL
 * @used: set to the number of arguments that form the name, 1 or 2
 *
 * Return: the subcommand, or NULL if there is none.
 */
const struct fw_subcommand *
Fw_Ctl_FindSubcommand(const char *first, const char *second, int *used);
/* Runs the client with the arguments of main(). Return: the exit status. */
int
Fw_Ctl_Main(int argc, char **argv);

/*
 * Adds the URLs in "operators" of a fleet.json to @ctl->urls, and takes
 * "operator_key" unless a key is set. Return: 0 or -EINVAL.
 */
int
Fw_Ctl_LoadFleet(struct fw_ctl *ctl, const char *file);
/* Releases all members. */
void
Fw_Ctl_Clear(struct fw_ctl *ctl);

/*
 * Prints the entries about request @id from saved log files, sorted by time.
 * @files is a comma-separated list. Return: the exit status.
 */
int
Fw_Ctl_ExplainLogs(const char *files, const char *id);

/**
 * struct fw_response - the response to a call.
 * @err: negative errno if there was no response, else 0
 * @maybe_sent: if @err: the request may have reached an instance
 * @status: HTTP status
 * @json: the body, NULL unless it is a JSON object
 */
struct fw_response {
    int err;
    int maybe_sent;
    int status;
    char *body;
    gsize len;
    JsonNode *json;
};

/*
 * Calls one instance and overwrites @resp, to be released with
 * Fw_Response_Clear(). @body may be NULL.
 */
void
Fw_Ctl_Call(struct fw_ctl *ctl, const char *url, const char *method,
            const char *path, const char *body, gsize len,
            struct fw_response *resp);
void
Fw_Response_Clear(struct fw_response *resp);
/*
 * Calls the instances in turn until one responds, and overwrites @resp, to be
 * released with Fw_Response_Clear(). @body may be NULL.
 */
void
Fw_Ctl_CallAny(struct fw_ctl *ctl, const char *method, const char *path,
               const char *body, gsize len, struct fw_response *resp);
/* Prints an error to stderr if the call failed. Return: the exit status. */
int
Fw_Response_Check(const struct fw_response *resp);
/* A string member of the response's JSON object, or @dflt. */
const char *
Fw_Response_Text(const struct fw_response *resp, const char *name,
                 const char *dflt);

/* Prints an array of objects as a table or, with @ctl->json, as JSON. */
void
Fw_Ctl_PrintRows(const struct fw_ctl *ctl, JsonArray *rows);
/* Formats a JSON value as a table cell; a new string. */
char *
Fw_Ctl_FormatCell(JsonNode *node);

/**
 * Fw_Ctl_FetchItem - gets an item from the configuration in force.
 * @item_version: set to the version that last changed it, 0 if there is none
 * @value: set to a new object, also on error; empty if there is no item
 *
 * Return: the exit status.
 */
int
Fw_Ctl_FetchItem(struct fw_ctl *ctl, enum fw_item_kind kind, const char *name,
                 uint64_t *item_version, JsonObject **value);
/* Sets members of @value from options. Return: 0, or -EINVAL after printing
 * an error. */
int
Fw_Ctl_SetMembers(const struct fw_subcommand *cmd, const struct fw_args *args,
                  JsonObject *value);
/**
 * Fw_Ctl_SendItem - sends a change of one item.
 * @item_version: version the change is based on, 0 to create the item
 * @value: new value, taken over; NULL removes the item
 *
 * Return: the exit status.
 */
int
Fw_Ctl_SendItem(struct fw_ctl *ctl, enum fw_item_kind kind, const char *name,
                uint64_t item_version, JsonObject *value);
/*
 * Posts a change, and posts it again with the same id if the outcome is
 * unknown. Then waits as @ctl->wait_s says. @resp is overwritten, to be
 * released with Fw_Response_Clear(). Return: the exit status.
 */
int
Fw_Ctl_SendChange(struct fw_ctl *ctl, const char *path, const char *body,
                  gsize len, struct fw_response *resp);
/* Generates a change id; @id has FW_CHANGE_ID_MAX bytes. */
void
Fw_Ctl_NewChangeId(char *id);
/* Generates a random key; a new string. */
char *
Fw_Ctl_NewKey(void);

/* Implementations of the "sheet" subcommands. */
int
Fw_Ctl_SheetExport(struct fw_ctl *ctl, const struct fw_subcommand *cmd,
                   const struct fw_args *args);
int
Fw_Ctl_SheetCheck(struct fw_ctl *ctl, const struct fw_subcommand *cmd,
                  const struct fw_args *args);
int
Fw_Ctl_SheetApply(struct fw_ctl *ctl, const struct fw_subcommand *cmd,
                  const struct fw_args *args);

#endif
