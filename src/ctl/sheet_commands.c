/* Subcommands that import and export the configuration as CSV. */
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

int
Fw_Ctl_SheetExport(struct fw_ctl *ctl, const struct fw_subcommand *cmd,
                   const struct fw_args *args)
{
    struct fw_response resp;
    int rc;

    Fw_Ctl_CallAny(ctl, "GET", cmd->path, NULL, 0, &resp);
    rc = Fw_Response_Check(&resp);
    if (rc == 0 && args->n_operands == 0) {
        fwrite(resp.body, 1, resp.len, stdout);
    }
    else if (rc == 0 && !g_file_set_contents(args->operands[0], resp.body,
                                             (gssize)resp.len, NULL)) {
        fprintf(stderr, "fuchsiaward: cannot write %s\n", args->operands[0]);
        rc = FW_EXIT_FAILED;
    }
    Fw_Response_Clear(&resp);
    return rc;
}

static JsonArray *
array_member(JsonObject *sheet, const char *name)
{
    JsonNode *node = json_object_get_member(sheet, name);

    return node && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node)
                                               : NULL;
}

static void
print_errors(JsonObject *sheet)
{
    JsonArray *errors = array_member(sheet, "errors");
    gint64 total =
        json_object_get_int_member_with_default(sheet, "error_count", 0);
    unsigned n = errors ? json_array_get_length(errors) : 0;

    for (unsigned i = 0; i < n; i++) {
        JsonObject *e = json_array_get_object_element(errors, i);

        printf("row %" G_GINT64_FORMAT ", column %s: found %s, allowed: %s\n",
               json_object_get_int_member(e, "row"),
               json_object_get_string_member(e, "column"),
               json_object_get_string_member(e, "found"),
               json_object_get_string_member(e, "allowed"));
    }
    if (total > n) {
        printf("and %" G_GINT64_FORMAT " more errors\n", total - n);
    }
    if (total > 0) {
        puts("Nothing is applied.");
    }
}

static void
print_rows(JsonObject *sheet, const char *list, const char *word)
{
    JsonArray *rows = array_member(sheet, list);
    unsigned n = rows ? json_array_get_length(rows) : 0;

    for (unsigned i = 0; i < n; i++) {
        JsonObject *row = json_array_get_object_element(rows, i);
        char *before =
            json_to_string(json_object_get_member(row, "before"), FALSE);
        JsonNode *node = json_object_get_member(row, "after");
        char *after = node ? json_to_string(node, FALSE) : NULL;

        printf("%s %s %s (row %" G_GINT64_FORMAT ")\n  in force %s\n", word,
               json_object_get_string_member(row, "kind"),
               json_object_get_string_member(row, "name"),
               json_object_get_int_member(row, "row"), before);
        if (after) {
            printf("  new      %s\n", after);
        }
        g_free(before);
        g_free(after);
    }
}

/* Prints the sheet report in a response to check or apply, if there is one. */
static void
print_report(const struct fw_response *resp)
{
    JsonNode *node =
        resp->json
            ? json_object_get_member(json_node_get_object(resp->json), "sheet")
            : NULL;
    JsonObject *sheet;

    if (!node || !JSON_NODE_HOLDS_OBJECT(node)) {
        return;
    }
    sheet = json_node_get_object(node);
    print_errors(sheet);
    print_rows(sheet, "changes", "change");
    print_rows(sheet, "kept", "kept, an operator changed it since:");
    if (json_object_get_int_member_with_default(sheet, "more", 0) > 0) {
        printf("and %" G_GINT64_FORMAT " more changes\n",
               json_object_get_int_member(sheet, "more"));
    }
    printf("%" G_GINT64_FORMAT " rows are in force already\n",
           json_object_get_int_member_with_default(sheet, "same", 0));
}

static int
load_file(const char *file, char **text, gsize *len)
{
    if (g_file_get_contents(file, text, len, NULL)) {
        return 0;
    }
    fprintf(stderr, "fuchsiaward: cannot read %s\n", file);
    return FW_EXIT_FAILED;
}

static int
check_sheet(struct fw_ctl *ctl, const char *text, gsize len)
{
    struct fw_response resp;
    int rc;

    Fw_Ctl_CallAny(ctl, "POST", "/v1/sheet/check", text, len, &resp);
    rc = Fw_Response_Check(&resp);
    if (ctl->json && resp.body) {
        puts(resp.body);
    }
    else {
        print_report(&resp);
    }
    Fw_Response_Clear(&resp);
    return rc;
}

int
Fw_Ctl_SheetCheck(struct fw_ctl *ctl, const struct fw_subcommand *cmd,
                  const struct fw_args *args)
{
    char *text;
    gsize len;
    int rc = load_file(args->operands[0], &text, &len);

    (void)cmd;
    if (rc) {
        return rc;
    }
    rc = check_sheet(ctl, text, len);
    g_free(text);
    return rc;
}

int
Fw_Ctl_SheetApply(struct fw_ctl *ctl, const struct fw_subcommand *cmd,
                  const struct fw_args *args)
{
    struct fw_response resp;
    char id[FW_CHANGE_ID_MAX];
    char *path;
    char *text;
    gsize len;
    int rc = load_file(args->operands[0], &text, &len);

    if (rc) {
        return rc;
    }
    if (!ctl->json) {
        rc = check_sheet(ctl, text, len);
    }
    if (rc == 0) {
        Fw_Ctl_NewChangeId(id);
        path = g_strdup_printf("%s?id=%s", cmd->path, id);
        rc = Fw_Ctl_SendChange(ctl, path, text, len, &resp);
        Fw_Response_Clear(&resp);
        g_free(path);
    }
    g_free(text);
    return rc;
}
