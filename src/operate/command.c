/* Operator commands: appended as change records, answered by verdict. */
#include <errno.h>
#include <string.h>

#include "config/json.h"
#include "operate/operate_internal.h"
#include "operate/sheet.h"

static int
http_status_of(enum fw_change_verdict v)
{
    switch (v) {
    case FW_CHANGE_ACCEPTED:
        return 200;
    case FW_CHANGE_CONFLICT:
        return 409;
    case FW_CHANGE_INVALID:
    case FW_CHANGE_DUPLICATE:
        break;
    }
    return 422;
}

/* Answers with @verdict, plus @report if not NULL; takes both over. */
static void
answer_verdict(uint64_t call, int status, enum fw_ran ran, JsonNode *verdict,
               JsonNode *report, struct fw_actions *out)
{
    if (report) {
        json_object_set_member(json_node_get_object(verdict), "sheet", report);
    }
    Fw_Answer_Json(call, status, ran, verdict, out);
}

static JsonNode *
make_verdict(const char *id, const char *verdict, const char *why)
{
    JsonObject *obj = json_object_new();

    json_object_set_string_member(obj, "id", id);
    json_object_set_string_member(obj, "verdict", verdict);
    json_object_set_string_member(obj, "why", why);
    return Fw_Answer_ObjectNode(obj);
}

static int
answer_if_decided(const struct fw_operate_view *view, uint64_t call,
                  const char *id, JsonNode *report, struct fw_actions *out)
{
    const struct fw_change_outcome *seen =
        Fw_ConfigReplica_FindOutcome(view->replica, id);

    if (!seen) {
        return 0;
    }
    answer_verdict(call, http_status_of(seen->verdict),
                   seen->verdict == FW_CHANGE_ACCEPTED ? FW_RAN_YES
                                                       : FW_RAN_NO,
                   Fw_Operate_VerdictJson(view->replica, id), report, out);
    return 1;
}

static void
remove_pending(struct fw_operate *op, struct fw_pending_command *p)
{
    Fw_List_Remove(&p->link);
    op->n_pending--;
    g_free(p);
}

/**
 * append_change - appends record @text with change id @id to the log.
 * @report: sheet report for the response; taken over, may be NULL
 */
static void
append_change(struct fw_operate *op, uint64_t call, const char *id,
              const char *text, JsonNode *report, int64_t now_us,
              struct fw_actions *out)
{
    struct fw_pending_command *p;

    if (op->n_pending >= FW_OPERATE_PENDING_MAX) {
        answer_verdict(
            call, 503, FW_RAN_NO,
            make_verdict(id, "not_applied", "too many commands wait already"),
            report, out);
        return;
    }
    p = g_new0(struct fw_pending_command, 1);
    p->call = call;
    p->ticket = Fw_Owner_MakeId(FW_OWNER_OPERATE, ++op->seq);
    g_strlcpy(p->id, id, sizeof(p->id));
    p->deadline_us = now_us + FW_OPERATE_VERDICT_TIMEOUT_US;
    p->report = report;
    Fw_List_Append(&op->pending, &p->link);
    op->n_pending++;
    op->commands.value++;
    Fw_Actions_AppendLog(out, p->ticket, FW_STREAM_CONFIG, &text, 1);
    Fw_Actions_Wake(out, p->deadline_us);
}

void
Fw_Operate_OnAppended(struct fw_operate *op,
                      const struct fw_operate_view *view,
                      const struct fw_log_appended *a, int64_t now_us,
                      struct fw_actions *out)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &op->pending) {
        struct fw_pending_command *p =
            FW_LIST_ENTRY(pos, struct fw_pending_command, link);

        if (p->ticket != a->ticket) {
            continue;
        }
        p->ticket = 0;
        p->append_unconfirmed = a->err != 0;
        if (a->err == -EAGAIN) {
            answer_verdict(
                p->call, 503, FW_RAN_NO,
                make_verdict(p->id, "not_applied", "the log did not take it"),
                p->report, out);
            remove_pending(op, p);
        }
    }
    Fw_Operate_AnswerPending(op, view, now_us, out);
}

/*
 * Only the replica, which applies the log's records in order, decides the
 * outcome, not the result of the append: a record
 * may have been written although the append failed, and a written record may
 * still conflict with an earlier one. Reporting a failure that is not one
 * would make the operator retry with a new id and overwrite later changes.
 */
void
Fw_Operate_AnswerPending(struct fw_operate *op,
                         const struct fw_operate_view *view, int64_t now_us,
                         struct fw_actions *out)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &op->pending) {
        struct fw_pending_command *p =
            FW_LIST_ENTRY(pos, struct fw_pending_command, link);

        if (answer_if_decided(view, p->call, p->id, p->report, out)) {
            remove_pending(op, p);
            continue;
        }
        if (now_us < p->deadline_us) {
            Fw_Actions_Wake(out, p->deadline_us);
            continue;
        }
        op->unknown.value++;
        answer_verdict(p->call, 504, FW_RAN_MAYBE,
                       make_verdict(p->id, "unknown",
                                    p->append_unconfirmed || p->ticket
                                        ? "the log's answer was lost"
                                        : "appended, not read back yet"),
                       p->report, out);
        remove_pending(op, p);
    }
}

/* "c-" and 16 random hex digits. */
static void
new_change_id(struct fw_operate *op, char *id)
{
    g_snprintf(id, FW_CHANGE_ID_MAX, "c-%08x%08x", g_rand_int(op->rand),
               g_rand_int(op->rand));
}

/* Formats a change record; @items is a JSON array. The id and the operator's
 * name are valid names, which need no JSON escapes. */
static char *
format_record(const struct fw_operate *op,
              const struct fw_operate_request *req, const char *id,
              uint64_t base, const char *items, int64_t now_us)
{
    char at[FW_CHANGE_AT_MAX];

    Fw_Operate_FormatTime(op, now_us, at);
    return g_strdup_printf("{\"v\":1,\"id\":\"%s\",\"who\":\"%s\","
                           "\"at\":\"%s\",\"base\":%" G_GUINT64_FORMAT
                           ",\"items\":%s}",
                           id, req->oper->name, at, base, items);
}

/* Answers 422 if the record does not parse. Returns 0 or -EINVAL. */
static int
check_record(const struct fw_operate_request *req, const char *id,
             const char *text, struct fw_actions *out)
{
    struct fw_change ch;
    struct fw_config_error why = {.text = ""};
    int rc = Fw_Change_Parse(text, &ch, &why);

    Fw_Change_Clear(&ch);
    if (rc) {
        Fw_Answer_Json(req->call->call, 422, FW_RAN_NO,
                       make_verdict(id, "invalid", why.text), out);
    }
    return rc;
}

/* Reads the change id from the body, or generates one if it has none. Returns
 * -EINVAL if the id is malformed. */
static int
parse_change_id(struct fw_operate *op, JsonObject *body, char *id)
{
    JsonNode *node = json_object_get_member(body, "id");
    const char *text;

    if (!node) {
        new_change_id(op, id);
        return 0;
    }
    text = JSON_NODE_HOLDS_VALUE(node) ? json_node_get_string(node) : NULL;
    if (!text || strlen(text) >= FW_CHANGE_ID_MAX || !Fw_Name_IsValid(text)) {
        return -EINVAL;
    }
    g_strlcpy(id, text, FW_CHANGE_ID_MAX);
    return 0;
}

static void
handle_change_body(struct fw_operate *op, const struct fw_operate_view *view,
                   const struct fw_operate_request *req, JsonObject *body,
                   int64_t now_us, struct fw_actions *out)
{
    char id[FW_CHANGE_ID_MAX];
    JsonNode *items = json_object_get_member(body, "items");
    char *items_text;
    char *text;

    if (parse_change_id(op, body, id) || !items) {
        Fw_Answer_Error(req->call->call, 400, FW_RAN_NO, "bad_request",
                        "allowed: {\"id\": optional, \"items\": [...]}", out);
        return;
    }
    if (answer_if_decided(view, req->call->call, id, NULL, out)) {
        return;
    }
    items_text = json_to_string(items, FALSE);
    text = format_record(
        op, req, id, Fw_ConfigReplica_Config(view->replica)->next_offset - 1,
        items_text, now_us);
    if (check_record(req, id, text, out) == 0) {
        append_change(op, req->call->call, id, text, NULL, now_us, out);
    }
    g_free(text);
    g_free(items_text);
}

static void
handle_change(struct fw_operate *op, const struct fw_operate_view *view,
              const struct fw_operate_request *req, int64_t now_us,
              struct fw_actions *out)
{
    size_t len = 0;
    const char *data =
        req->call->body ? g_bytes_get_data(req->call->body, &len) : NULL;
    JsonObject *body;
    JsonParser *parser = data && len <= FW_CHANGE_BYTES_MAX
                             ? Fw_Json_LoadObject(data, len, &body)
                             : NULL;

    if (!parser) {
        Fw_Answer_Error(req->call->call, 400, FW_RAN_NO, "bad_request",
                        "the body is not a JSON object", out);
        return;
    }
    handle_change_body(op, view, req, body, now_us, out);
    g_object_unref(parser);
}

static void
handle_sheet(struct fw_operate *op, const struct fw_operate_view *view,
             const struct fw_operate_request *req, int apply, int64_t now_us,
             struct fw_actions *out)
{
    size_t len = 0;
    const char *data =
        req->call->body ? g_bytes_get_data(req->call->body, &len) : "";
    const char *given_id = Fw_Operate_ParamText(req, "id", NULL);
    char id[FW_CHANGE_ID_MAX];
    struct fw_sheet_plan *plan;
    char *items;
    char *text;

    new_change_id(op, id);
    if (given_id && Fw_Name_IsValid(given_id) &&
        strlen(given_id) < sizeof(id)) {
        g_strlcpy(id, given_id, sizeof(id));
    }
    if (apply && answer_if_decided(view, req->call->call, id, NULL, out)) {
        return;
    }
    plan = Fw_Sheet_Plan(view->replica, data, len);
    if (plan->n_errors > 0 || !apply || plan->n_changes == 0) {
        JsonNode *verdict =
            make_verdict(id,
                         plan->n_errors ? "invalid"
                         : apply        ? "accepted"
                                        : "checked",
                         plan->n_errors ? "see the sheet's errors" : "");

        json_object_set_int_member(
            json_node_get_object(verdict), "version",
            (int64_t)Fw_ConfigReplica_Config(view->replica)->next_offset - 1);
        answer_verdict(req->call->call, plan->n_errors ? 422 : 200,
                       plan->n_errors ? FW_RAN_NO : FW_RAN_YES, verdict,
                       Fw_Sheet_Report(plan), out);
        Fw_Sheet_FreePlan(plan);
        return;
    }
    items = Fw_Sheet_ItemsJson(plan);
    text = format_record(op, req, id, plan->base_version, items, now_us);
    if (check_record(req, id, text, out) == 0) {
        append_change(op, req->call->call, id, text, Fw_Sheet_Report(plan),
                      now_us, out);
    }
    g_free(text);
    g_free(items);
    Fw_Sheet_FreePlan(plan);
}

int
Fw_Operate_HandleCommand(struct fw_operate *op,
                         const struct fw_operate_view *view,
                         const struct fw_operate_request *req, int64_t now_us,
                         struct fw_actions *out)
{
    if (strcmp(req->path, "/v1/change") == 0) {
        handle_change(op, view, req, now_us, out);
    }
    else if (strcmp(req->path, "/v1/sheet/check") == 0) {
        handle_sheet(op, view, req, 0, now_us, out);
    }
    else if (strcmp(req->path, "/v1/sheet/apply") == 0) {
        handle_sheet(op, view, req, 1, now_us, out);
    }
    else {
        return -ENOENT;
    }
    return 0;
}
