/* Read-only subcommands. */
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

static JsonArray *
response_rows(const struct fw_response *resp)
{
    JsonObject *obj = resp->json ? json_node_get_object(resp->json) : NULL;
    JsonNode *node = obj ? json_object_get_member(obj, "rows") : NULL;

    return node && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node)
                                               : NULL;
}

static void
append_rows(JsonArray *all, const struct fw_response *resp,
            const char *instance)
{
    JsonArray *rows = response_rows(resp);
    unsigned n = rows ? json_array_get_length(rows) : 0;

    for (unsigned i = 0; i < n; i++) {
        JsonObject *row = json_array_get_object_element(rows, i);

        if (instance) {
            json_object_set_string_member(row, "instance", instance);
        }
        json_array_add_object_element(all, json_object_ref(row));
    }
}

static int
has_more(const struct fw_response *resp)
{
    return resp->json && json_object_get_boolean_member_with_default(
                             json_node_get_object(resp->json), "more", FALSE);
}

/* Prints a listing, fetching all of its pages. */
static int
show_items(struct fw_ctl *ctl, const struct fw_subcommand *cmd,
           const struct fw_args *args)
{
    JsonArray *all = json_array_new();
    char *after = g_strdup("");
    int more = 1;
    int rc = 0;

    while (more && rc == 0) {
        char *escaped = g_uri_escape_string(after, NULL, TRUE);
        char *name_filter =
            args->n_operands
                ? g_uri_escape_string(args->operands[0], NULL, TRUE)
                : NULL;
        char *path = g_strdup_printf("%s?after=%s%s%s", cmd->path, escaped,
                                     name_filter ? "&name=" : "",
                                     name_filter ? name_filter : "");
        struct fw_response resp;

        Fw_Ctl_CallAny(ctl, "GET", path, NULL, 0, &resp);
        rc = Fw_Response_Check(&resp);
        append_rows(all, &resp, NULL);
        more = has_more(&resp) && json_array_get_length(all) > 0;
        if (more) {
            g_free(after);
            after = g_strdup(json_object_get_string_member(
                json_array_get_object_element(all,
                                              json_array_get_length(all) - 1),
                "name"));
        }
        Fw_Response_Clear(&resp);
        g_free(path);
        g_free(name_filter);
        g_free(escaped);
    }
    if (rc == 0) {
        Fw_Ctl_PrintRows(ctl, all);
    }
    g_free(after);
    json_array_unref(all);
    return rc;
}

static int
show_object(struct fw_ctl *ctl, const struct fw_subcommand *cmd,
            const struct fw_args *args)
{
    struct fw_response resp;
    int rc;

    (void)args;
    Fw_Ctl_CallAny(ctl, "GET", cmd->path, NULL, 0, &resp);
    rc = Fw_Response_Check(&resp);
    if (rc == 0 && ctl->json) {
        puts(resp.body);
    }
    else if (rc == 0 && resp.json) {
        JsonObjectIter it;
        const char *name;
        JsonNode *member;

        json_object_iter_init_ordered(&it, json_node_get_object(resp.json));
        while (json_object_iter_next_ordered(&it, &name, &member)) {
            char *text = Fw_Ctl_FormatCell(member);

            printf("%-14s %s\n", name, text);
            g_free(text);
        }
    }
    Fw_Response_Clear(&resp);
    return rc;
}

static gint
compare_unix_ms(gconstpointer a, gconstpointer b)
{
    JsonObject *x = json_node_get_object(*(JsonNode *const *)a);
    JsonObject *y = json_node_get_object(*(JsonNode *const *)b);
    gint64 tx = json_object_get_int_member_with_default(x, "unix_ms", 0);
    gint64 ty = json_object_get_int_member_with_default(y, "unix_ms", 0);

    return (tx > ty) - (tx < ty);
}

/* Prints the rows of all instances, sorted by time. Instances that don't
 * respond are reported, since the list lacks their rows. */
static int
print_merged_rows(struct fw_ctl *ctl, const char *path)
{
    JsonArray *all = json_array_new();
    int rc = 0;
    int answered = 0;

    for (unsigned i = 0; i < ctl->urls->len; i++) {
        const char *url = g_ptr_array_index(ctl->urls, i);
        struct fw_response resp;
        int url_rc;

        Fw_Ctl_Call(ctl, url, "GET", path, NULL, 0, &resp);
        url_rc = resp.err ? 0 : Fw_Response_Check(&resp);
        if (resp.err) {
            fprintf(stderr, "fuchsiaward: %s does not respond\n", url);
        }
        answered += resp.err == 0;
        rc = url_rc ? url_rc : rc;
        append_rows(all, &resp, Fw_Response_Text(&resp, "instance", url));
        Fw_Response_Clear(&resp);
    }
    if (rc == 0 && answered > 0) {
        GList *list = json_array_get_elements(all);
        GPtrArray *sorted = g_ptr_array_new();
        JsonArray *out = json_array_new();

        for (GList *l = list; l; l = l->next) {
            g_ptr_array_add(sorted, l->data);
        }
        g_ptr_array_sort(sorted, compare_unix_ms);
        for (unsigned i = 0; i < sorted->len; i++) {
            json_array_add_element(
                out, json_node_ref(g_ptr_array_index(sorted, i)));
        }
        Fw_Ctl_PrintRows(ctl, out);
        json_array_unref(out);
        g_ptr_array_unref(sorted);
        g_list_free(list);
    }
    json_array_unref(all);
    return rc ? rc : answered ? FW_EXIT_OK : FW_EXIT_NOT_APPLIED;
}

static int
show_merged_rows(struct fw_ctl *ctl, const struct fw_subcommand *cmd,
                 const struct fw_args *args)
{
    (void)args;
    return print_merged_rows(ctl, cmd->path);
}

/* reads_logs_only() expects "log" to be the first option. */
static const struct fw_option explain_options[] = {
    {"log", "FILE[,FILE...]",
     "Read saved log files instead of calling instances", NULL, FW_OPT_TEXT},
    {0},
};

static int
explain(struct fw_ctl *ctl, const struct fw_subcommand *cmd,
        const struct fw_args *args)
{
    char *id;
    char *path;
    int rc;

    if (args->options[0]) {
        return Fw_Ctl_ExplainLogs(args->options[0], args->operands[0]);
    }
    id = g_uri_escape_string(args->operands[0], NULL, TRUE);
    path = g_strdup_printf("%s?id=%s", cmd->path, id);
    rc = print_merged_rows(ctl, path);

    g_free(path);
    g_free(id);
    return rc;
}

/* Prints the version in force on each instance, and the members as seen by the
 * first instance that responds. */
static int
show_instances(struct fw_ctl *ctl, const struct fw_subcommand *cmd,
               const struct fw_args *args)
{
    JsonArray *rows = json_array_new();
    struct fw_response resp;
    int rc;

    (void)args;
    for (unsigned i = 0; i < ctl->urls->len; i++) {
        const char *url = g_ptr_array_index(ctl->urls, i);
        JsonObject *row = json_object_new();

        Fw_Ctl_Call(ctl, url, "GET", "/v1/version", NULL, 0, &resp);
        json_object_set_string_member(row, "url", url);
        json_object_set_string_member(
            row, "instance", Fw_Response_Text(&resp, "instance", "-"));
        json_object_set_int_member(
            row, "version",
            resp.json ? json_object_get_int_member_with_default(
                            json_node_get_object(resp.json), "version", -1)
                      : -1);
        json_object_set_int_member(
            row, "log_read_ms_ago",
            resp.json
                ? json_object_get_int_member_with_default(
                      json_node_get_object(resp.json), "log_read_ms_ago", -1)
                : -1);
        json_array_add_object_element(rows, row);
        Fw_Response_Clear(&resp);
    }
    Fw_Ctl_PrintRows(ctl, rows);
    json_array_unref(rows);
    Fw_Ctl_CallAny(ctl, "GET", cmd->path, NULL, 0, &resp);
    rc = Fw_Response_Check(&resp);
    if (rc == 0 && response_rows(&resp)) {
        if (!ctl->json) {
            printf("\nMembers as %s sees them:\n",
                   Fw_Response_Text(&resp, "instance", "it"));
        }
        Fw_Ctl_PrintRows(ctl, response_rows(&resp));
    }
    Fw_Response_Clear(&resp);
    return rc;
}

static void
print_audit_item(JsonObject *item)
{
    char *before =
        json_to_string(json_object_get_member(item, "before"), FALSE);
    char *after = json_to_string(json_object_get_member(item, "after"), FALSE);

    printf("    %s %s\n", json_object_get_string_member(item, "kind"),
           json_object_get_string_member(item, "name"));
    printf("      before %s\n      after  %s\n", before, after);
    g_free(before);
    g_free(after);
}

static void
print_audit(JsonArray *rows)
{
    for (unsigned i = 0; i < json_array_get_length(rows); i++) {
        JsonObject *row = json_array_get_object_element(rows, i);
        JsonArray *items = json_object_get_array_member(row, "items");
        gint64 more = json_object_get_int_member(row, "more");

        printf("%" G_GINT64_FORMAT "  %s  %s  %s  %s%s%s\n",
               json_object_get_int_member(row, "offset"),
               json_object_get_string_member(row, "at"),
               json_object_get_string_member(row, "who"),
               json_object_get_string_member(row, "id"),
               json_object_get_string_member(row, "verdict"),
               json_object_get_string_member(row, "why")[0] ? ": " : "",
               json_object_get_string_member(row, "why"));
        for (unsigned k = 0; k < json_array_get_length(items); k++) {
            print_audit_item(json_array_get_object_element(items, k));
        }
        if (more > 0) {
            printf("    and %" G_GINT64_FORMAT " more items\n", more);
        }
    }
}

static const struct fw_option audit_options[] = {
    {"max", "N", "Maximum number of changes (default: 50)", NULL,
     FW_OPT_NUMBER},
    {"before", "VERSION", "Only changes before this version", NULL,
     FW_OPT_NUMBER},
    {"who", "OPERATOR", "Only changes by one operator", NULL, FW_OPT_TEXT},
    {"name", "ITEM", "Only changes of one team, key, ...", NULL, FW_OPT_TEXT},
    {0},
};

static int
audit(struct fw_ctl *ctl, const struct fw_subcommand *cmd,
      const struct fw_args *args)
{
    GString *path = g_string_new(cmd->path);
    struct fw_response resp;
    int rc;

    for (int i = 0; audit_options[i].name; i++) {
        if (args->options[i]) {
            char *escaped = g_uri_escape_string(args->options[i], NULL, TRUE);

            g_string_append_printf(path, "%c%s=%s",
                                   strchr(path->str, '?') ? '&' : '?',
                                   audit_options[i].name, escaped);
            g_free(escaped);
        }
    }
    Fw_Ctl_CallAny(ctl, "GET", path->str, NULL, 0, &resp);
    rc = Fw_Response_Check(&resp);
    if (rc == 0 && response_rows(&resp)) {
        if (ctl->json) {
            Fw_Ctl_PrintRows(ctl, response_rows(&resp));
        }
        else {
            print_audit(response_rows(&resp));
        }
    }
    Fw_Response_Clear(&resp);
    g_string_free(path, TRUE);
    return rc;
}

const struct fw_subcommand Fw_Ctl_Queries[] = {
    {"show config", "", "Number of items in force and their digest", 0, 0,
     "/v1/show/config", FW_ITEM_KINDS, NULL, show_object},
    {"show teams", "[NAME]", "Teams with rate, burst, priority and models", 0,
     1, "/v1/show/teams", FW_ITEM_TEAM, NULL, show_items},
    {"show keys", "[DIGEST]", "Keys by digest, with their team", 0, 1,
     "/v1/show/keys", FW_ITEM_KEY, NULL, show_items},
    {"show pools", "[NAME]", "Pools with the model versions they serve", 0, 1,
     "/v1/show/pools", FW_ITEM_POOL, NULL, show_items},
    {"show upstreams", "[NAME]", "Engines, and servers of plain services", 0,
     1, "/v1/show/upstreams", FW_ITEM_UPSTREAM, NULL, show_items},
    {"show services", "[NAME]", "Plain services and their calls", 0, 1,
     "/v1/show/services", FW_ITEM_SERVICE, NULL, show_items},
    {"show operators", "[NAME]", "Operators", 0, 1, "/v1/show/operators",
     FW_ITEM_OPERATOR, NULL, show_items},
    {"show settings", "", "Settings of the whole fleet", 0, 0,
     "/v1/show/settings", FW_ITEM_SETTING, NULL, show_items},
    {"show instances", "", "Instances and the version in force on each", 0, 0,
     "/v1/show/instances", FW_ITEM_KINDS, NULL, show_instances},
    {"show requests", "", "Running and waiting requests of all instances", 0,
     0, "/v1/show/requests", FW_ITEM_KINDS, NULL, show_merged_rows},
    {"show orders", "", "Engines and the orders that assign them to pools", 0,
     0, "/v1/show/orders", FW_ITEM_KINDS, NULL, show_merged_rows},
    {"audit", "", "Changes, newest first, including rejected ones", 0, 0,
     "/v1/audit", FW_ITEM_KINDS, audit_options, audit},
    {"explain", "REQUEST-ID", "Decisions made for a request", 1, 1,
     "/v1/explain", FW_ITEM_KINDS, explain_options, explain},
    {"sheet export", "[FILE]", "Exports the configuration as a sheet", 0, 1,
     "/v1/sheet/export", FW_ITEM_KINDS, NULL, Fw_Ctl_SheetExport},
    {"sheet check", "FILE", "Shows the changes or errors of a sheet", 1, 1,
     "/v1/sheet/check", FW_ITEM_KINDS, NULL, Fw_Ctl_SheetCheck},
    {0},
};
