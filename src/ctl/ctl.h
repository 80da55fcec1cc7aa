/* fuchsiaward: the operators' tool. */
#ifndef FW_CTL_CTL_H
#define FW_CTL_CTL_H

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#include "config/change.h"

/* Exit statuses, see docs/operations/configuration.md. Usage is 64. */
#define FW_EXIT_OK 0
#define FW_EXIT_FAILED 1
#define FW_EXIT_CONFLICT 2
#define FW_EXIT_INVALID 3
#define FW_EXIT_NOT_APPLIED 4
#define FW_EXIT_UNKNOWN 5
#define FW_EXIT_NOT_EVERYWHERE 6
#define FW_EXIT_DENIED 7

#define FW_VERB_OPTIONS 8
#define FW_VERB_ARGS 2

/**
 * struct fw_ctl - what the command line gave in common.
 * @urls: operators' addresses of the instances, char *
 * @key: the operator's key
 * @json: print JSON as answered in place of tables
 * @wait_s: wait until a change is in force everywhere, -1 not to
 */
struct fw_ctl {
    GPtrArray *urls;
    char *key;
    int json;
    int wait_s;
    SoupSession *session;
};

/** enum fw_option_type - how an option's text becomes JSON. */
enum fw_option_type {
    FW_OPT_TEXT,
    FW_OPT_NUMBER,
    FW_OPT_MODELS, /* names apart by commas, "all" for none */
    FW_OPT_SERVES, /* model@version[+adapter] apart by commas */
};

/**
 * struct fw_option - an option of one verb.
 * @member: member of the item's value that it sets, or NULL
 */
struct fw_option {
    const char *name;
    const char *arg;
    const char *doc;
    const char *member;
    enum fw_option_type type;
};

/** struct fw_args - a verb's words and options, in the verb's order. */
struct fw_args {
    int n;
    const char *words[FW_VERB_ARGS];
    const char *options[FW_VERB_OPTIONS];
};

/**
 * struct fw_verb - a sub-command.
 * @words: e.g. "team set"
 * @min: words it takes at least; FW_VERB_ARGS at most
 * @path: what it asks for, of queries
 * @kind: items that it is about, of commands
 * @options: closed by one without a name; may be NULL
 * @run: returns the exit status
 */
struct fw_verb {
    const char *words;
    const char *args_doc;
    const char *doc;
    int min;
    int max;
    const char *path;
    enum fw_item_kind kind;
    const struct fw_option *options;
    int (*run)(struct fw_ctl *ctl, const struct fw_verb *verb,
               const struct fw_args *args);
};

/* Closed by one without words; queries.c and commands.c hold them. */
extern const struct fw_verb Fw_Ctl_Queries[];
extern const struct fw_verb Fw_Ctl_Commands[];

/* The verb that @a and @b name; @used: 1 or 2 words of them. */
const struct fw_verb *
Fw_Ctl_FindVerb(const char *a, const char *b, int *used);
/* The tool, with the arguments of main. Return: the exit status. */
int
Fw_Ctl_Main(int argc, char **argv);

/* Reads "operators" and, if there is one, "operator_key". 0 or -EINVAL. */
int
Fw_Ctl_LoadFleet(struct fw_ctl *ctl, const char *file);
void
Fw_Ctl_Clear(struct fw_ctl *ctl);

/*
 * Prints what the logs in @files, apart by commas, say of request @id, in
 * the order of time. Return: the exit status.
 */
int
Fw_Ctl_ExplainLogs(const char *files, const char *id);

/**
 * struct fw_reply - an answer; @err is nonzero when none came.
 * @sent: the call may have reached the instance
 */
struct fw_reply {
    int err;
    int sent;
    int status;
    char *body;
    gsize len;
    JsonNode *json; /* NULL when the body is no JSON */
};

/* One call to one instance; @body may be NULL. */
void
Fw_Ctl_Call(struct fw_ctl *ctl, const char *url, const char *method,
            const char *path, const char *body, gsize len,
            struct fw_reply *reply);
void
Fw_Reply_Clear(struct fw_reply *reply);
/* The same to the first instance that answers. */
void
Fw_Ctl_CallAny(struct fw_ctl *ctl, const char *method, const char *path,
               const char *body, gsize len, struct fw_reply *reply);
/* Says on stderr what went wrong. Return: an exit status, 0 when nothing. */
int
Fw_Reply_Check(const struct fw_reply *reply);
/* A member of the answer's object, or @dflt. */
const char *
Fw_Reply_Text(const struct fw_reply *reply, const char *name,
              const char *dflt);

/* Prints rows as a table, or as JSON. */
void
Fw_Ctl_PrintRows(const struct fw_ctl *ctl, JsonArray *rows);
/* A cell: text, number, list. A new string. */
char *
Fw_Ctl_CellText(JsonNode *node);

/* The item in force; @value is a new object, empty when there is none. */
int
Fw_Ctl_LoadItem(struct fw_ctl *ctl, enum fw_item_kind kind, const char *name,
                uint64_t *was, JsonObject **value);
/* Sets members of @value from options. 0 or -EINVAL, said on stderr. */
int
Fw_Ctl_SetMembers(const struct fw_verb *verb, const struct fw_args *args,
                  JsonObject *value);
/**
 * Fw_Ctl_SendItem - one item as a change.
 * @value: taken over; NULL removes the item
 */
int
Fw_Ctl_SendItem(struct fw_ctl *ctl, enum fw_item_kind kind, const char *name,
                uint64_t was, JsonObject *value);
/* Posts, tries again under the same id where the outcome is unknown, waits
 * where asked to. */
int
Fw_Ctl_SendChange(struct fw_ctl *ctl, const char *path, const char *body,
                  gsize len, struct fw_reply *reply);
/* A change id; @id of FW_CHANGE_ID_MAX bytes. */
void
Fw_Ctl_NewId(char *id);
/* A new random key. A new string. */
char *
Fw_Ctl_NewKey(void);

/* sheet_verbs.c */
int
Fw_Ctl_SheetExport(struct fw_ctl *ctl, const struct fw_verb *verb,
                   const struct fw_args *args);
int
Fw_Ctl_SheetCheck(struct fw_ctl *ctl, const struct fw_verb *verb,
                  const struct fw_args *args);
int
Fw_Ctl_SheetApply(struct fw_ctl *ctl, const struct fw_verb *verb,
                  const struct fw_args *args);

#endif
