/* Prints JSON objects as a table. */
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

static void
append_text(GString *out, JsonNode *node)
{
    char *text;

    if (!node || JSON_NODE_HOLDS_NULL(node)) {
        return;
    }
    if (JSON_NODE_HOLDS_VALUE(node) &&
        json_node_get_value_type(node) == G_TYPE_STRING) {
        g_string_append(out, json_node_get_string(node));
        return;
    }
    if (JSON_NODE_HOLDS_VALUE(node) &&
        json_node_get_value_type(node) == G_TYPE_BOOLEAN) {
        g_string_append(out, json_node_get_boolean(node) ? "yes" : "no");
        return;
    }
    text = json_to_string(node, FALSE);
    g_string_append(out, text);
    g_free(text);
}

/* Appends the nonempty members, joined by colons: "GET:/readings:yes". */
static void
append_object(GString *out, JsonObject *obj)
{
    JsonObjectIter it;
    const char *name;
    JsonNode *member;
    const char *separator = "";

    json_object_iter_init_ordered(&it, obj);
    while (json_object_iter_next_ordered(&it, &name, &member)) {
        gsize start;

        g_string_append(out, separator);
        start = out->len;
        append_text(out, member);
        separator = out->len > start ? ":" : "";
    }
    if (out->len > 0 && out->str[out->len - 1] == ':') {
        g_string_truncate(out, out->len - 1);
    }
}

char *
Fw_Ctl_FormatCell(JsonNode *node)
{
    GString *out = g_string_new(NULL);
    JsonArray *arr;

    if (!node || !JSON_NODE_HOLDS_ARRAY(node)) {
        append_text(out, node);
        return g_string_free(out, FALSE);
    }
    arr = json_node_get_array(node);
    for (unsigned i = 0; i < json_array_get_length(arr); i++) {
        JsonNode *e = json_array_get_element(arr, i);

        if (i > 0) {
            g_string_append_c(out, ' ');
        }
        if (JSON_NODE_HOLDS_OBJECT(e)) {
            append_object(out, json_node_get_object(e));
        }
        else {
            append_text(out, e);
        }
    }
    return g_string_free(out, FALSE);
}

/* Appends the row's members to @cells, with those of "value" in its place, and
 * their upper-case names to @names unless it is NULL. */
static void
append_row_cells(JsonObject *row, GPtrArray *names, GPtrArray *cells)
{
    JsonObjectIter it;
    const char *name;
    JsonNode *member;

    json_object_iter_init_ordered(&it, row);
    while (json_object_iter_next_ordered(&it, &name, &member)) {
        if (strcmp(name, "value") == 0 && JSON_NODE_HOLDS_OBJECT(member)) {
            append_row_cells(json_node_get_object(member), names, cells);
            continue;
        }
        if (names) {
            g_ptr_array_add(names, g_ascii_strup(name, -1));
        }
        g_ptr_array_add(cells, Fw_Ctl_FormatCell(member));
    }
}

static void
print_line(const GPtrArray *cells, const GArray *widths)
{
    for (unsigned i = 0; i < cells->len; i++) {
        const char *text = g_ptr_array_index(cells, i);

        text = text[0] ? text : "-";
        if (i + 1 == cells->len) {
            printf("%s\n", text);
        }
        else {
            printf("%-*s  ", g_array_index(widths, int, i), text);
        }
    }
}

static void
update_widths(const GPtrArray *cells, GArray *widths)
{
    for (unsigned i = 0; i < cells->len; i++) {
        int len = (int)g_utf8_strlen(g_ptr_array_index(cells, i), -1);

        if (i >= widths->len) {
            g_array_append_val(widths, len);
        }
        else if (g_array_index(widths, int, i) < len) {
            g_array_index(widths, int, i) = len;
        }
    }
}

static void
print_json(JsonArray *rows)
{
    JsonNode *node = json_node_new(JSON_NODE_ARRAY);
    char *text;

    json_node_set_array(node, rows);
    text = json_to_string(node, TRUE);
    puts(text);
    g_free(text);
    json_node_unref(node);
}

void
Fw_Ctl_PrintRows(const struct fw_ctl *ctl, JsonArray *rows)
{
    unsigned n = json_array_get_length(rows);
    GPtrArray *lines = g_ptr_array_new_with_free_func(
        (GDestroyNotify)(void (*)(void))g_ptr_array_unref);
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    GArray *widths = g_array_new(FALSE, FALSE, sizeof(int));

    if (ctl->json) {
        print_json(rows);
    }
    for (unsigned i = 0; i < n && !ctl->json; i++) {
        GPtrArray *cells = g_ptr_array_new_with_free_func(g_free);

        append_row_cells(json_array_get_object_element(rows, i),
                         i ? NULL : names, cells);
        g_ptr_array_add(lines, cells);
        update_widths(cells, widths);
    }
    update_widths(names, widths);
    if (names->len > 0) {
        print_line(names, widths);
    }
    for (unsigned i = 0; i < lines->len; i++) {
        print_line(g_ptr_array_index(lines, i), widths);
    }
    g_array_unref(widths);
    g_ptr_array_unref(names);
    g_ptr_array_unref(lines);
}
