#include <errno.h>
#include <string.h>

#include "bench/load/load.h"
#include "io/json.h"

static int
read_callers(JsonObject *root, struct fw_loadgen_fleet *f)
{
    JsonArray *arr;

    if (Fw_Json_Array(root, "callers", &arr)) {
        return -EINVAL;
    }
    for (guint i = 0; i < json_array_get_length(arr); i++) {
        if (f->n_instances == FW_LOADGEN_INSTANCES_MAX ||
            json_node_get_value_type(json_array_get_element(arr, i)) !=
                G_TYPE_STRING) {
            return -EINVAL;
        }
        f->caller_urls[f->n_instances++] =
            g_strdup(json_array_get_string_element(arr, i));
    }
    return f->n_instances ? 0 : -EINVAL;
}

static int
read_stands_and_pids(JsonObject *root, struct fw_loadgen_fleet *f)
{
    JsonObject *stands;
    JsonObject *pids;
    GList *names;

    if (Fw_Json_Object(root, "stands", &stands) ||
        Fw_Json_Object(root, "pids", &pids)) {
        return -EINVAL;
    }
    names = json_object_get_members(stands);
    for (GList *l = names; l; l = l->next) {
        const char *url;

        if (Fw_Json_Str(stands, l->data, &url) == 0) {
            g_hash_table_insert(f->stand_urls, g_strdup(l->data),
                                g_strdup(url));
        }
    }
    g_list_free(names);
    names = json_object_get_members(pids);
    for (GList *l = names; l; l = l->next) {
        int64_t pid;

        if (Fw_Json_Int(pids, l->data, &pid) == 0) {
            g_hash_table_insert(f->pids, g_strdup(l->data),
                                GINT_TO_POINTER((int)pid));
        }
    }
    g_list_free(names);
    return g_hash_table_contains(f->stand_urls, "log") ? 0 : -EINVAL;
}

struct fw_loadgen_fleet *
Fw_LoadgenFleet_Read(const char *file, GString *err)
{
    struct fw_loadgen_fleet *f;
    GError *gerr = NULL;
    JsonNode *root;
    char *text;
    gsize len;

    if (!g_file_get_contents(file, &text, &len, &gerr)) {
        g_string_printf(err, "%s", gerr->message);
        g_error_free(gerr);
        return NULL;
    }
    root = Fw_Json_Parse(text, len);
    g_free(text);
    f = g_new0(struct fw_loadgen_fleet, 1);
    f->stand_urls =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    f->pids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    if (!root || read_callers(json_node_get_object(root), f) ||
        read_stands_and_pids(json_node_get_object(root), f)) {
        g_string_printf(err, "%s: invalid fleet description", file);
        Fw_LoadgenFleet_Free(f);
        f = NULL;
    }
    if (root) {
        json_node_unref(root);
    }
    return f;
}

void
Fw_LoadgenFleet_Free(struct fw_loadgen_fleet *f)
{
    for (int i = 0; i < f->n_instances; i++) {
        g_free(f->caller_urls[i]);
    }
    g_hash_table_unref(f->stand_urls);
    g_hash_table_unref(f->pids);
    g_free(f);
}
