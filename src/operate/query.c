/* Read-only operator API calls. */
#include <errno.h>
#include <string.h>

#include "operate/operate_internal.h"
#include "operate/sheet.h"

static void
add_version(JsonObject *obj, const struct fw_operate_view *view)
{
    json_object_set_string_member(obj, "instance", view->self->name);
    json_object_set_int_member(
        obj, "version",
        (int64_t)Fw_ConfigReplica_Config(view->replica)->next_offset - 1);
}

static void
answer_object(const struct fw_operate_request *req, JsonObject *obj,
              struct fw_actions *out)
{
    Fw_Answer_Json(req->call->call, 200, FW_RAN_YES, Fw_Answer_ObjectNode(obj),
                   out);
}

static void
show_version(const struct fw_operate_view *view,
             const struct fw_operate_request *req, int64_t now_us,
             struct fw_actions *out)
{
    JsonObject *obj = json_object_new();

    add_version(obj, view);
    json_object_set_int_member(
        obj, "log_read_ms_ago",
        Fw_ConfigReplica_StalenessUs(view->replica, now_us) / FW_MSEC);
    answer_object(req, obj, out);
}

static void
show_config(const struct fw_operate_view *view,
            const struct fw_operate_request *req, struct fw_actions *out)
{
    const struct fw_config *cfg = Fw_ConfigReplica_Config(view->replica);
    JsonObject *obj = json_object_new();
    JsonObject *counts = json_object_new();
    char digest[17];

    add_version(obj, view);
    for (int kind = 0; kind < FW_ITEM_SETTING; kind++) {
        json_object_set_int_member(
            counts, Fw_Item_KindName((enum fw_item_kind)kind),
            Fw_Config_ItemCount(cfg, (enum fw_item_kind)kind));
    }
    json_object_set_object_member(obj, "items", counts);
    json_object_set_string_member(
        obj, "on-withdraw",
        cfg->on_withdraw == FW_WITHDRAW_CUT ? "cut" : "finish");
    g_snprintf(digest, sizeof(digest), "%016" G_GINT64_MODIFIER "x",
               Fw_Config_Digest(cfg));
    json_object_set_string_member(obj, "digest", digest);
    answer_object(req, obj, out);
}

static JsonObject *
item_row(const struct fw_operate_view *view, enum fw_item_kind kind,
         const char *name)
{
    const struct fw_config *cfg = Fw_ConfigReplica_Config(view->replica);
    JsonNode *value = Fw_Config_ItemValue(cfg, kind, name);
    JsonObject *row = json_object_new();

    json_object_set_string_member(row, "name", name);
    json_object_set_int_member(
        row, "version", (int64_t)Fw_Config_ItemVersion(cfg, kind, name));
    json_object_set_member(row, "value", value);
    if (kind == FW_ITEM_UPSTREAM && view->router) {
        json_object_set_boolean_member(row, "leaving",
                                       Fw_Route_IsLeaving(view->router, name));
    }
    return row;
}

/* One page of items sorted by name. Parameters: name, after, max. */
static void
show_items(const struct fw_operate_view *view,
           const struct fw_operate_request *req, enum fw_item_kind kind,
           struct fw_actions *out)
{
    GPtrArray *names =
        Fw_Config_ItemNames(Fw_ConfigReplica_Config(view->replica), kind);
    const char *only = Fw_Operate_ParamText(req, "name", NULL);
    const char *after = Fw_Operate_ParamText(req, "after", "");
    uint64_t max = Fw_Operate_ParamNumber(req, "max", FW_PAGE_ROWS_MAX);
    JsonObject *obj = json_object_new();
    JsonArray *rows = json_array_new();
    int more = 0;

    max = CLAMP(max, 1, FW_PAGE_ROWS_MAX);
    for (unsigned i = 0; i < names->len; i++) {
        const char *name = g_ptr_array_index(names, i);

        if ((only && strcmp(only, name) != 0) || strcmp(name, after) <= 0) {
            continue;
        }
        if (json_array_get_length(rows) == max) {
            more = 1;
            break;
        }
        json_array_add_object_element(rows, item_row(view, kind, name));
    }
    add_version(obj, view);
    json_object_set_array_member(obj, "rows", rows);
    json_object_set_boolean_member(obj, "more", more);
    answer_object(req, obj, out);
    g_ptr_array_unref(names);
}

static void
show_instances(const struct fw_operate_view *view,
               const struct fw_operate_request *req, struct fw_actions *out)
{
    static const char *const states[] = {"alive", "suspect", "leaving",
                                         "dead"};
    GPtrArray *all =
        view->fleet ? Fw_Fleet_Members(view->fleet) : g_ptr_array_new();
    JsonObject *obj = json_object_new();
    JsonArray *rows = json_array_new();

    for (unsigned i = 0; i < all->len; i++) {
        const struct fw_member *m = g_ptr_array_index(all, i);
        JsonObject *row = json_object_new();

        json_object_set_string_member(row, "name", m->name);
        json_object_set_string_member(row, "state", states[m->state]);
        json_object_set_string_member(row, "addr", m->addr);
        json_object_set_string_member(row, "domain", m->domain);
        json_object_set_string_member(row, "region", m->region);
        json_array_add_object_element(rows, row);
    }
    add_version(obj, view);
    json_object_set_array_member(obj, "rows", rows);
    answer_object(req, obj, out);
    g_ptr_array_unref(all);
}

static void
add_request(const struct fw_request_row *r, void *ctx)
{
    JsonObject *row = json_object_new();

    json_object_set_string_member(row, "id", r->id);
    json_object_set_string_member(row, "team", r->team);
    json_object_set_string_member(row, "stage", r->stage);
    json_object_set_string_member(row, "prefill", r->prefill);
    json_object_set_string_member(row, "decode", r->decode);
    json_object_set_int_member(row, "age_ms", r->age_us / FW_MSEC);
    json_object_set_int_member(row, "tokens", r->output_tokens);
    json_array_add_object_element(ctx, row);
}

static void
show_requests(const struct fw_operate_view *view,
              const struct fw_operate_request *req, int64_t now_us,
              struct fw_actions *out)
{
    JsonObject *obj = json_object_new();
    JsonArray *rows = json_array_new();

    if (view->requests) {
        Fw_Requests_Each(view->requests, now_us, add_request, rows);
    }
    add_version(obj, view);
    json_object_set_array_member(obj, "rows", rows);
    answer_object(req, obj, out);
}

static void
add_order(const struct fw_order_row *r, void *ctx)
{
    JsonObject *row = json_object_new();

    json_object_set_string_member(row, "engine", r->engine);
    json_object_set_string_member(row, "pool", r->pool);
    json_object_set_string_member(row, "state", r->state);
    json_object_set_string_member(row, "last", r->last);
    json_object_set_int_member(row, "fence", (int64_t)r->fence);
    json_array_add_object_element(ctx, row);
}

/* Covers only engines whose orders are issued by this instance. */
static void
show_orders(const struct fw_operate_view *view,
            const struct fw_operate_request *req, struct fw_actions *out)
{
    JsonObject *obj = json_object_new();
    JsonArray *rows = json_array_new();

    if (view->orders) {
        Fw_Orders_Each(view->orders, add_order, rows);
    }
    add_version(obj, view);
    json_object_set_array_member(obj, "rows", rows);
    answer_object(req, obj, out);
}

/* Nonzero if the audit entry contains an item of this name. */
static int
changes_item(JsonObject *entry, const char *name)
{
    JsonArray *items = json_object_get_array_member(entry, "items");

    for (unsigned i = 0; i < json_array_get_length(items); i++) {
        JsonObject *item = json_array_get_object_element(items, i);

        if (strcmp(json_object_get_string_member(item, "name"), name) == 0) {
            return 1;
        }
    }
    return 0;
}

/* Newest first. Parameters: before (an offset), max, who, name. */
static void
show_audit(const struct fw_operate_view *view,
           const struct fw_operate_request *req, struct fw_actions *out)
{
    const struct fw_audit *audit = Fw_ConfigReplica_Audit(view->replica);
    uint64_t before = Fw_Operate_ParamNumber(req, "before", G_MAXINT64);
    uint64_t max = Fw_Operate_ParamNumber(req, "max", 50);
    const char *who = Fw_Operate_ParamText(req, "who", NULL);
    const char *name = Fw_Operate_ParamText(req, "name", NULL);
    JsonObject *obj = json_object_new();
    JsonArray *rows = json_array_new();
    const struct fw_list *pos;

    max = CLAMP(max, 1, FW_PAGE_ROWS_MAX);
    for (pos = audit->entries.prev;
         pos != &audit->entries && json_array_get_length(rows) < max;
         pos = pos->prev) {
        const struct fw_audit_entry *e =
            FW_LIST_ENTRY(pos, struct fw_audit_entry, link);
        JsonNode *node;

        if (e->offset >= before || (who && strcmp(who, e->author) != 0)) {
            continue;
        }
        node = json_from_string(e->text, NULL);
        if (name && !changes_item(json_node_get_object(node), name)) {
            json_node_unref(node);
            continue;
        }
        json_array_add_element(rows, node);
    }
    add_version(obj, view);
    json_object_set_array_member(obj, "rows", rows);
    answer_object(req, obj, out);
}

static void
show_explain(const struct fw_operate *op, const struct fw_operate_view *view,
             const struct fw_operate_request *req, struct fw_actions *out)
{
    const char *id = Fw_Operate_ParamText(req, "id", "");
    const struct fw_explain_row *r;
    JsonObject *obj = json_object_new();
    JsonArray *rows = json_array_new();
    unsigned at = 0;

    while ((r = Fw_Explain_Next(view->explain, id, &at))) {
        JsonObject *row = json_object_new();
        int64_t ms =
            (int64_t)op->boot_ms + (r->at_us - op->start_us) / FW_MSEC;
        char when[FW_CHANGE_AT_MAX];

        Fw_Operate_FormatTime(op, r->at_us, when);
        json_object_set_string_member(row, "at", when);
        json_object_set_int_member(row, "unix_ms", ms);
        json_object_set_string_member(row, "stage", r->stage);
        json_object_set_string_member(row, "text", r->text);
        json_array_add_object_element(rows, row);
    }
    add_version(obj, view);
    json_object_set_array_member(obj, "rows", rows);
    answer_object(req, obj, out);
}

JsonNode *
Fw_Operate_VerdictJson(const struct fw_config_replica *replica, const char *id)
{
    const struct fw_change_outcome *seen =
        Fw_ConfigReplica_FindOutcome(replica, id);
    const struct fw_audit_entry *e;
    JsonObject *obj;

    if (!seen) {
        return NULL;
    }
    obj = json_object_new();
    json_object_set_string_member(obj, "id", id);
    json_object_set_string_member(obj, "verdict",
                                  Fw_Change_VerdictName(seen->verdict));
    json_object_set_int_member(obj, "version", (int64_t)seen->offset);
    e = Fw_Audit_Find(Fw_ConfigReplica_Audit(replica), seen->offset);
    if (e) {
        JsonNode *node = json_from_string(e->text, NULL);

        json_object_set_string_member(
            obj, "why",
            json_object_get_string_member(json_node_get_object(node), "why"));
        json_node_unref(node);
    }
    return Fw_Answer_ObjectNode(obj);
}

static void
show_change(const struct fw_operate_view *view,
            const struct fw_operate_request *req, struct fw_actions *out)
{
    const char *id = Fw_Operate_ParamText(req, "id", "");
    JsonNode *node = Fw_Operate_VerdictJson(view->replica, id);
    JsonObject *obj;

    if (!node) {
        obj = json_object_new();
        json_object_set_string_member(obj, "id", id);
        json_object_set_string_member(obj, "verdict", "unseen");
        add_version(obj, view);
        node = Fw_Answer_ObjectNode(obj);
    }
    Fw_Answer_Json(req->call->call, 200, FW_RAN_YES, node, out);
}

static void
export_sheet(const struct fw_operate_view *view,
             const struct fw_operate_request *req, struct fw_actions *out)
{
    struct fw_call_response *a =
        &Fw_Actions_Add(out, FW_ACT_CALL_RESPONSE)->u.answer;
    char *text = Fw_Sheet_Export(Fw_ConfigReplica_Config(view->replica));

    a->call = req->call->call;
    a->status = 200;
    a->ran = FW_RAN_YES;
    g_strlcpy(a->content_type, "text/csv; charset=utf-8",
              sizeof(a->content_type));
    a->body = g_bytes_new_take(text, strlen(text));
}

/** struct show - maps a path to the kind of item it lists. */
struct item_listing {
    const char *path;
    enum fw_item_kind kind;
};

static const struct item_listing item_listings[] = {
    {"/v1/show/teams", FW_ITEM_TEAM},
    {"/v1/show/keys", FW_ITEM_KEY},
    {"/v1/show/upstreams", FW_ITEM_UPSTREAM},
    {"/v1/show/pools", FW_ITEM_POOL},
    {"/v1/show/services", FW_ITEM_SERVICE},
    {"/v1/show/operators", FW_ITEM_OPERATOR},
    {"/v1/show/settings", FW_ITEM_SETTING},
};

int
Fw_Operate_HandleQuery(struct fw_operate *op,
                       const struct fw_operate_view *view,
                       const struct fw_operate_request *req, int64_t now_us,
                       struct fw_actions *out)
{
    const char *path = req->path;

    for (size_t i = 0; i < G_N_ELEMENTS(item_listings); i++) {
        if (strcmp(path, item_listings[i].path) == 0) {
            show_items(view, req, item_listings[i].kind, out);
            return 0;
        }
    }
    if (strcmp(path, "/v1/version") == 0) {
        show_version(view, req, now_us, out);
    }
    else if (strcmp(path, "/v1/show/config") == 0) {
        show_config(view, req, out);
    }
    else if (strcmp(path, "/v1/show/instances") == 0) {
        show_instances(view, req, out);
    }
    else if (strcmp(path, "/v1/show/requests") == 0) {
        show_requests(view, req, now_us, out);
    }
    else if (strcmp(path, "/v1/show/orders") == 0) {
        show_orders(view, req, out);
    }
    else if (strcmp(path, "/v1/audit") == 0) {
        show_audit(view, req, out);
    }
    else if (strcmp(path, "/v1/explain") == 0) {
        show_explain(op, view, req, out);
    }
    else if (strcmp(path, "/v1/change") == 0) {
        show_change(view, req, out);
    }
    else if (strcmp(path, "/v1/sheet/export") == 0) {
        export_sheet(view, req, out);
    }
    else {
        return -ENOENT;
    }
    return 0;
}
