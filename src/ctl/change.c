/* Builds and sends changes, and waits for them to be in force. */
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>

#include "ctl/ctl.h"

#define FW_CTL_ATTEMPTS_MAX 3

static void
random_hex(char *out, size_t bytes)
{
    unsigned char raw[32];

    g_assert(bytes <= sizeof(raw));
    if (getrandom(raw, bytes, 0) != (ssize_t)bytes) {
        g_error("getrandom failed");
    }
    for (size_t i = 0; i < bytes; i++) {
        g_snprintf(out + 2 * i, 3, "%02x", raw[i]);
    }
}

void
Fw_Ctl_NewChangeId(char *id)
{
    g_strlcpy(id, "c-", FW_CHANGE_ID_MAX);
    random_hex(id + 2, 8);
}

char *
Fw_Ctl_NewKey(void)
{
    char hex[65];

    random_hex(hex, 32);
    return g_strconcat("fw-", hex, NULL);
}

int
Fw_Ctl_FetchItem(struct fw_ctl *ctl, enum fw_item_kind kind, const char *name,
                 uint64_t *item_version, JsonObject **value)
{
    char *esc = g_uri_escape_string(name, NULL, TRUE);
    char *path =
        g_strdup_printf("/v1/show/%ss?name=%s", Fw_Item_KindName(kind), esc);
    struct fw_response resp;
    JsonArray *rows;
    int rc;

    *item_version = 0;
    *value = NULL;
    Fw_Ctl_CallAny(ctl, "GET", path, NULL, 0, &resp);
    rc = Fw_Response_Check(&resp);
    if (rc == 0 && resp.json) {
        rows = json_object_get_array_member(json_node_get_object(resp.json),
                                            "rows");
        if (rows && json_array_get_length(rows) > 0) {
            JsonObject *row = json_array_get_object_element(rows, 0);

            *item_version =
                (uint64_t)json_object_get_int_member(row, "version");
            *value =
                json_object_ref(json_object_get_object_member(row, "value"));
        }
    }
    if (!*value) {
        *value = json_object_new();
    }
    Fw_Response_Clear(&resp);
    g_free(path);
    g_free(esc);
    return rc;
}

static JsonNode *
parse_models(const char *text)
{
    char **names = g_strsplit(text, ",", -1);
    JsonNode *node = json_node_new(JSON_NODE_ARRAY);
    JsonArray *arr = json_array_new();

    for (int i = 0; names[i]; i++) {
        if (names[i][0] && strcmp(names[i], "all") != 0) {
            json_array_add_string_element(arr, names[i]);
        }
    }
    json_node_take_array(node, arr);
    g_strfreev(names);
    return node;
}

static JsonNode *
parse_serves(const char *text)
{
    char **all = g_strsplit(text, ",", -1);
    JsonNode *node = json_node_new(JSON_NODE_ARRAY);
    JsonArray *arr = json_array_new();

    for (int i = 0; all[i]; i++) {
        char **at = g_strsplit(all[i], "@", 2);
        char **plus = g_strsplit(at[0] && at[1] ? at[1] : "", "+", 2);
        JsonObject *o = json_object_new();

        json_object_set_string_member(o, "model", at[0] ? at[0] : "");
        json_object_set_string_member(o, "version", plus[0] ? plus[0] : "");
        json_object_set_string_member(o, "adapter",
                                      plus[0] && plus[1] ? plus[1] : "");
        json_array_add_object_element(arr, o);
        g_strfreev(at);
        g_strfreev(plus);
    }
    json_node_take_array(node, arr);
    g_strfreev(all);
    return node;
}

static int
set_member(const struct fw_option *o, const char *text, JsonObject *value)
{
    gint64 n;

    switch (o->type) {
    case FW_OPT_TEXT:
        json_object_set_string_member(value, o->member, text);
        return 0;
    case FW_OPT_NUMBER:
        if (!g_ascii_string_to_signed(text, 10, 0, G_MAXINT64, &n, NULL)) {
            fprintf(stderr, "fuchsiaward: --%s: '%s' is not a whole number\n",
                    o->name, text);
            return -EINVAL;
        }
        json_object_set_int_member(value, o->member, n);
        return 0;
    case FW_OPT_MODELS:
        json_object_set_member(value, o->member, parse_models(text));
        return 0;
    case FW_OPT_SERVES:
        json_object_set_member(value, o->member, parse_serves(text));
        return 0;
    }
    return -EINVAL;
}

int
Fw_Ctl_SetMembers(const struct fw_subcommand *cmd, const struct fw_args *args,
                  JsonObject *value)
{
    for (int i = 0; cmd->options && cmd->options[i].name; i++) {
        if (args->options[i] && cmd->options[i].member &&
            set_member(&cmd->options[i], args->options[i], value)) {
            return -EINVAL;
        }
    }
    return 0;
}

/* Nonzero if @url has version @version or a later one in force. */
static int
has_version(struct fw_ctl *ctl, const char *url, gint64 version)
{
    struct fw_response resp;
    int yes;

    Fw_Ctl_Call(ctl, url, "GET", "/v1/version", NULL, 0, &resp);
    yes = resp.json &&
          json_object_get_int_member_with_default(
              json_node_get_object(resp.json), "version", -1) >= version;
    Fw_Response_Clear(&resp);
    return yes;
}

/* Polls the instances until all have the version or the wait is over. */
static int
wait_all_instances(struct fw_ctl *ctl, gint64 version, gint64 start_us)
{
    gint64 deadline_us = start_us + (gint64)ctl->wait_s * G_USEC_PER_SEC;
    unsigned n_ready = 0;

    while (n_ready < ctl->urls->len) {
        if (has_version(ctl, g_ptr_array_index(ctl->urls, n_ready), version)) {
            n_ready++;
            continue;
        }
        if (g_get_monotonic_time() >= deadline_us) {
            break;
        }
        g_usleep(10000);
    }
    if (n_ready == ctl->urls->len) {
        fprintf(stderr, "in force on %u instances after %.3f s\n", n_ready,
                (double)(g_get_monotonic_time() - start_us) / G_USEC_PER_SEC);
        return FW_EXIT_OK;
    }
    for (unsigned i = n_ready; i < ctl->urls->len; i++) {
        const char *url = g_ptr_array_index(ctl->urls, i);

        if (!has_version(ctl, url, version)) {
            fprintf(stderr, "fuchsiaward: not in force on %s\n", url);
        }
    }
    return FW_EXIT_WAIT_TIMEOUT;
}

/*
 * Retries with the same change id while the outcome is unknown. A change may
 * have been applied although its response was lost; since an id is applied
 * only once, retrying is safe and returns the verdict.
 */
static void
post_with_retry(struct fw_ctl *ctl, const char *path, const char *body,
                gsize len, struct fw_response *resp)
{
    for (int i = 0; i < FW_CTL_ATTEMPTS_MAX; i++) {
        Fw_Ctl_CallAny(ctl, "POST", path, body, len, resp);
        if (!(resp->err && resp->maybe_sent) && resp->status != 504) {
            return;
        }
        if (i + 1 < FW_CTL_ATTEMPTS_MAX) {
            Fw_Response_Clear(resp);
        }
    }
}

int
Fw_Ctl_SendChange(struct fw_ctl *ctl, const char *path, const char *body,
                  gsize len, struct fw_response *resp)
{
    gint64 start_us = g_get_monotonic_time();
    gint64 version = 0;
    int rc;

    post_with_retry(ctl, path, body, len, resp);
    rc = Fw_Response_Check(resp);
    if (resp->json) {
        version = json_object_get_int_member_with_default(
            json_node_get_object(resp->json), "version", 0);
    }
    if (rc == 0 && !ctl->json) {
        fprintf(stderr, "accepted as version %" G_GINT64_FORMAT "\n", version);
    }
    if (ctl->json && resp->body) {
        puts(resp->body);
    }
    if (rc == 0 && ctl->wait_s >= 0) {
        rc = wait_all_instances(ctl, version, start_us);
    }
    return rc;
}

int
Fw_Ctl_SendItem(struct fw_ctl *ctl, enum fw_item_kind kind, const char *name,
                uint64_t item_version, JsonObject *value)
{
    JsonObject *body = json_object_new();
    JsonObject *item = json_object_new();
    JsonArray *items = json_array_new();
    JsonNode *node = json_node_new(JSON_NODE_OBJECT);
    struct fw_response resp;
    char id[FW_CHANGE_ID_MAX];
    char *text;
    int rc;

    Fw_Ctl_NewChangeId(id);
    json_object_set_string_member(item, "kind", Fw_Item_KindName(kind));
    json_object_set_string_member(item, "name", name);
    json_object_set_int_member(item, "was", (gint64)item_version);
    if (value) {
        json_object_set_object_member(item, "value", value);
    }
    else {
        json_object_set_null_member(item, "value");
    }
    json_array_add_object_element(items, item);
    json_object_set_string_member(body, "id", id);
    json_object_set_array_member(body, "items", items);
    json_node_take_object(node, body);
    text = json_to_string(node, FALSE);
    rc = Fw_Ctl_SendChange(ctl, "/v1/change", text, strlen(text), &resp);
    if (rc == FW_EXIT_UNKNOWN) {
        fprintf(stderr, "fuchsiaward: change id %s\n", id);
    }
    Fw_Response_Clear(&resp);
    g_free(text);
    json_node_unref(node);
    return rc;
}
