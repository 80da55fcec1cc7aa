/* Private to src/operate. */
#ifndef FW_OPERATE_INTERNAL_H
#define FW_OPERATE_INTERNAL_H

#include <json-glib/json-glib.h>

#include "operate/operate.h"

#define FW_PAGE_ROWS_MAX 1000 /* rows in one response */

/**
 * struct fw_pending_command - a command that has no verdict yet.
 * @call: the call to answer
 * @ticket: of the append, 0 once the log has answered it
 * @id: change id
 * @deadline_us: when to give up and answer 504
 * @report: sheet report to include in the response; owned, may be NULL
 * @append_unconfirmed: the append failed in a way that leaves it unknown
 *                      whether the record was written
 */
struct fw_pending_command {
    uint64_t call;
    uint64_t ticket;
    char id[FW_CHANGE_ID_MAX];
    int64_t deadline_us;
    JsonNode *report;
    int append_unconfirmed;
    struct fw_list link;
};

/**
 * struct fw_operate - see operate.h.
 * @boot_ms: wall clock time at start, in Unix milliseconds
 * @start_us: monotonic time at start, corresponds to @boot_ms
 * @rand: source of generated change ids
 * @seq: number of the last append
 */
struct fw_operate {
    uint64_t boot_ms;
    int64_t start_us;
    GRand *rand;
    uint64_t seq;
    unsigned n_pending;
    struct fw_list pending;
    struct fw_metric queries;
    struct fw_metric commands;
    struct fw_metric refused;
    struct fw_metric unknown;
};

/**
 * struct fw_operate_request - a call, parsed and authenticated.
 * @path: without the query string, truncated to fit
 * @query: query parameters by name, may be empty
 * @oper: the operator whose key was given
 */
struct fw_operate_request {
    const struct fw_operator_call *call;
    char path[64];
    GHashTable *query;
    const struct fw_operator *oper;
};

/* A query parameter, or @dflt if absent or, for a number, malformed. */
const char *
Fw_Operate_ParamText(const struct fw_operate_request *req, const char *name,
                     const char *dflt);
uint64_t
Fw_Operate_ParamNumber(const struct fw_operate_request *req, const char *name,
                       uint64_t dflt);

/* Writes @at_us as RFC 3339 in UTC; @out has FW_CHANGE_AT_MAX bytes. */
void
Fw_Operate_FormatTime(const struct fw_operate *op, int64_t at_us, char *out);

/* Emits a response with @node as its body; takes ownership of @node. */
void
Fw_Answer_Json(uint64_t call, int status, enum fw_ran ran, JsonNode *node,
               struct fw_actions *out);
void
Fw_Answer_Error(uint64_t call, int status, enum fw_ran ran, const char *code,
                const char *message, struct fw_actions *out);
/* Wraps @obj in a new node; takes ownership of @obj. */
JsonNode *
Fw_Answer_ObjectNode(JsonObject *obj);

/* Return: 0 if the path is a query, which is now answered, else -ENOENT. */
int
Fw_Operate_HandleQuery(struct fw_operate *op,
                       const struct fw_operate_view *view,
                       const struct fw_operate_request *req, int64_t now_us,
                       struct fw_actions *out);
/* Return: 0 if the path is a command, which is now started, else -ENOENT. */
int
Fw_Operate_HandleCommand(struct fw_operate *op,
                         const struct fw_operate_view *view,
                         const struct fw_operate_request *req, int64_t now_us,
                         struct fw_actions *out);

/* The verdict on change @id as a new node, or NULL if there is none yet. */
JsonNode *
Fw_Operate_VerdictJson(const struct fw_config_replica *replica,
                       const char *id);

#endif
