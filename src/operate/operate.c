/* Parses, authenticates and dispatches operator API calls. */
#include "operate/operate.h"

#include <string.h>

#include "operate/operate_internal.h"

struct fw_operate *
Fw_Operate_New(const struct fw_self *self, uint32_t seed,
               struct fw_metrics *metrics, int64_t now_us)
{
    struct fw_operate *op = g_new0(struct fw_operate, 1);

    op->boot_ms = self->boot;
    op->start_us = now_us;
    op->rand = g_rand_new_with_seed(seed);
    Fw_List_Init(&op->pending);
    op->queries = (struct fw_metric){.name = "fw_operator_queries_total",
                                     .help = "Queries of operators answered."};
    op->commands = (struct fw_metric){.name = "fw_operator_commands_total",
                                      .help = "Commands of operators begun."};
    op->refused =
        (struct fw_metric){.name = "fw_operator_refused_total",
                           .help = "Calls without an operator's key."};
    op->unknown =
        (struct fw_metric){.name = "fw_operator_unknown_total",
                           .help = "Commands answered with no verdict."};
    if (metrics) {
        Fw_Metrics_Add(metrics, &op->queries);
        Fw_Metrics_Add(metrics, &op->commands);
        Fw_Metrics_Add(metrics, &op->refused);
        Fw_Metrics_Add(metrics, &op->unknown);
    }
    return op;
}

void
Fw_Operate_Free(struct fw_operate *op)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    if (!op) {
        return;
    }
    FW_LIST_EACH_SAFE (pos, tmp, &op->pending) {
        struct fw_pending_command *p =
            FW_LIST_ENTRY(pos, struct fw_pending_command, link);

        if (p->report) {
            json_node_unref(p->report);
        }
        g_free(p);
    }
    g_rand_free(op->rand);
    g_free(op);
}

static GHashTable *
parse_query(const char *query)
{
    GHashTable *t = NULL;

    if (query) {
        t = g_uri_parse_params(query, -1, "&", G_URI_PARAMS_NONE, NULL);
    }
    return t ? t : g_hash_table_new(g_str_hash, g_str_equal);
}

static void
dispatch(struct fw_operate *op, const struct fw_operate_view *view,
         const struct fw_operate_request *req, int64_t now_us,
         struct fw_actions *out)
{
    const char *method = req->call->method;
    int rc;

    if (strcmp(method, "GET") == 0) {
        op->queries.value++;
        rc = Fw_Operate_HandleQuery(op, view, req, now_us, out);
    }
    else if (strcmp(method, "POST") == 0) {
        rc = Fw_Operate_HandleCommand(op, view, req, now_us, out);
    }
    else {
        Fw_Answer_Error(req->call->call, 405, FW_RAN_NO, "bad_method",
                        "allowed: GET, POST", out);
        return;
    }
    if (rc) {
        Fw_Answer_Error(req->call->call, 404, FW_RAN_NO, "not_found",
                        "no such call", out);
    }
}

void
Fw_Operate_HandleCall(struct fw_operate *op,
                      const struct fw_operate_view *view,
                      const struct fw_operator_call *call, int64_t now_us,
                      struct fw_actions *out)
{
    const char *query = strchr(call->path, '?');
    size_t len = query ? (size_t)(query - call->path) : strlen(call->path);
    struct fw_operate_request req = {.call = call};

    if (!Fw_ConfigReplica_IsReady(view->replica)) {
        Fw_Answer_Error(call->call, 503, FW_RAN_NO, "not_configured",
                        "this instance has no configuration yet", out);
        return;
    }
    req.oper = Fw_Config_FindOperatorByKey(
        Fw_ConfigReplica_Config(view->replica), call->key);
    if (!req.oper) {
        op->refused.value++;
        Fw_Answer_Error(call->call, 401, FW_RAN_NO, "not_an_operator",
                        "an operator's key is needed", out);
        return;
    }
    g_strlcpy(req.path, call->path, MIN(len + 1, sizeof(req.path)));
    req.query = parse_query(query ? query + 1 : NULL);
    dispatch(op, view, &req, now_us, out);
    g_hash_table_unref(req.query);
}
