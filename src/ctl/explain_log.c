/* Traces a request in saved log files of one or more instances. */
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

/* Parses a log line; NULL if it is malformed or about another request. */
static JsonNode *
parse_row(const char *line, const char *id)
{
    JsonNode *node;
    JsonObject *obj;

    if (!strstr(line, id)) {
        return NULL;
    }
    line = strchr(line, '{');
    node = line ? json_from_string(line, NULL) : NULL;
    if (!node || !JSON_NODE_HOLDS_OBJECT(node)) {
        g_clear_pointer(&node, json_node_unref);
        return NULL;
    }
    obj = json_node_get_object(node);
    if (g_strcmp0(json_object_get_string_member_with_default(obj, "id", ""),
                  id) != 0) {
        g_clear_pointer(&node, json_node_unref);
    }
    return node;
}

/* Return: 0, or -1 after printing an error if @path can't be read. */
static int
read_log_file(const char *path, const char *id, GPtrArray *rows)
{
    GError *error = NULL;
    char *text;
    char **lines;

    if (!g_file_get_contents(path, &text, NULL, &error)) {
        g_printerr("fuchsiaward: %s\n", error->message);
        g_error_free(error);
        return -1;
    }
    lines = g_strsplit(text, "\n", 0);
    for (char **l = lines; *l; l++) {
        JsonNode *node = parse_row(*l, id);

        if (node) {
            g_ptr_array_add(rows, node);
        }
    }
    g_strfreev(lines);
    g_free(text);
    return 0;
}

static gint
compare_timestamps(gconstpointer a, gconstpointer b)
{
    JsonObject *x = json_node_get_object(*(JsonNode *const *)a);
    JsonObject *y = json_node_get_object(*(JsonNode *const *)b);

    return strcmp(json_object_get_string_member_with_default(x, "ts", ""),
                  json_object_get_string_member_with_default(y, "ts", ""));
}

/* Fields that print_row() prints first or leaves out. */
static int
is_common_field(const char *name)
{
    static const char *const names[] = {"ts", "severity", "event", "instance",
                                        "id"};

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (strcmp(names[i], name) == 0) {
            return 1;
        }
    }
    return 0;
}

static void
print_row(JsonObject *row)
{
    JsonObjectIter it;
    const char *name;
    JsonNode *member;

    printf("%s  %s  %s",
           json_object_get_string_member_with_default(row, "ts", ""),
           json_object_get_string_member_with_default(row, "instance", ""),
           json_object_get_string_member_with_default(row, "event", ""));
    json_object_iter_init_ordered(&it, row);
    while (json_object_iter_next_ordered(&it, &name, &member)) {
        char *text = Fw_Ctl_FormatCell(member);

        if (!is_common_field(name) && text[0]) {
            printf("  %s=%s", name, text);
        }
        g_free(text);
    }
    putchar('\n');
}

int
Fw_Ctl_ExplainLogs(const char *files, const char *id)
{
    GPtrArray *rows =
        g_ptr_array_new_with_free_func((GDestroyNotify)json_node_unref);
    char **paths = g_strsplit(files, ",", 0);
    int bad = 0;
    int found;

    for (char **p = paths; *p; p++) {
        bad |= read_log_file(*p, id, rows) != 0;
    }
    g_strfreev(paths);
    g_ptr_array_sort(rows, compare_timestamps);
    for (guint i = 0; i < rows->len; i++) {
        print_row(json_node_get_object(g_ptr_array_index(rows, i)));
    }
    found = rows->len > 0;
    g_ptr_array_unref(rows);
    if (!found && !bad) {
        g_printerr("fuchsiaward: no log entries found for request %s\n", id);
    }
    return found && !bad ? FW_EXIT_OK : FW_EXIT_FAILED;
}
