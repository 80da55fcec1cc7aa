#include "idem/record.h"

#include <errno.h>
#include <json-glib/json-glib.h>
#include <string.h>

static const char *const kind_names[] = {"intent", "outcome", "mark"};

static void
add_str(JsonBuilder *b, const char *name, const char *value)
{
    json_builder_set_member_name(b, name);
    json_builder_add_string_value(b, value);
}

static void
add_int(JsonBuilder *b, const char *name, int64_t value)
{
    json_builder_set_member_name(b, name);
    json_builder_add_int_value(b, value);
}

static void
add_outcome(JsonBuilder *b, const struct fw_idem_record *rec)
{
    size_t len = rec->body ? g_bytes_get_size(rec->body) : 0;
    char *text;

    add_str(b, "ran", Fw_Ran_Name(rec->ran));
    add_int(b, "status", rec->status);
    add_str(b, "type", rec->content_type);
    if (rec->body_omitted || len > FW_IDEM_BODY_BYTES_MAX) {
        add_int(b, "cut", 1);
        return;
    }
    if (len) {
        text = g_base64_encode(g_bytes_get_data(rec->body, NULL), len);
        add_str(b, "body", text);
        g_free(text);
    }
}

char *
Fw_Idem_FormatRecord(const struct fw_idem_record *rec)
{
    JsonBuilder *b = json_builder_new();
    char hash[17];
    JsonNode *root;
    char *text;

    json_builder_begin_object(b);
    add_str(b, "kind", kind_names[rec->kind]);
    add_int(b, "at", rec->at_ms);
    if (rec->kind != FW_IDEM_REC_MARK) {
        add_str(b, "key", rec->digest);
        add_str(b, "owner", rec->owner);
    }
    if (rec->kind == FW_IDEM_REC_INTENT) {
        g_snprintf(hash, sizeof(hash), "%016" G_GINT64_MODIFIER "x",
                   rec->body_hash);
        add_str(b, "hash", hash);
    }
    if (rec->kind == FW_IDEM_REC_OUTCOME) {
        add_outcome(b, rec);
    }
    json_builder_end_object(b);
    root = json_builder_get_root(b);
    text = json_to_string(root, FALSE);
    json_node_unref(root);
    g_object_unref(b);
    return text;
}

static const char *
get_str(JsonObject *o, const char *name)
{
    JsonNode *n = json_object_get_member(o, name);

    if (!n || json_node_get_value_type(n) != G_TYPE_STRING) {
        return NULL;
    }
    return json_node_get_string(n);
}

static int
get_int(JsonObject *o, const char *name, int64_t *out)
{
    JsonNode *n = json_object_get_member(o, name);

    if (!n || json_node_get_value_type(n) != G_TYPE_INT64) {
        return -EBADMSG;
    }
    *out = json_node_get_int(n);
    return 0;
}

static int
copy_str(JsonObject *o, const char *name, char *out, size_t size)
{
    const char *text = get_str(o, name);

    if (!text || strlen(text) >= size) {
        return -EBADMSG;
    }
    g_strlcpy(out, text, size);
    return 0;
}

static int
find_name(const char *const *names, size_t n, const char *text)
{
    for (size_t i = 0; text && i < n; i++) {
        if (strcmp(names[i], text) == 0) {
            return (int)i;
        }
    }
    return -EBADMSG;
}

static int
parse_outcome(JsonObject *o, struct fw_idem_record *rec)
{
    static const char *const ran_names[] = {"no", "maybe", "yes"};
    int ran = find_name(ran_names, 3, get_str(o, "ran"));
    const char *body = get_str(o, "body");
    int64_t status;
    gsize len;
    guchar *data;

    if (ran < 0 || get_int(o, "status", &status) || status < 0 ||
        status > 999 ||
        copy_str(o, "type", rec->content_type, sizeof(rec->content_type))) {
        return -EBADMSG;
    }
    rec->ran = (enum fw_ran)ran;
    rec->status = (int)status;
    rec->body_omitted = json_object_has_member(o, "cut");
    if (body) {
        data = g_base64_decode(body, &len);
        rec->body = g_bytes_new_take(data, len);
    }
    return 0;
}

static int
parse_object(JsonObject *o, struct fw_idem_record *rec)
{
    int kind =
        find_name(kind_names, G_N_ELEMENTS(kind_names), get_str(o, "kind"));
    const char *hash;

    if (kind < 0 || get_int(o, "at", &rec->at_ms)) {
        return -EBADMSG;
    }
    rec->kind = (enum fw_idem_record_kind)kind;
    if (rec->kind == FW_IDEM_REC_MARK) {
        return 0;
    }
    if (copy_str(o, "key", rec->digest, sizeof(rec->digest)) ||
        copy_str(o, "owner", rec->owner, sizeof(rec->owner))) {
        return -EBADMSG;
    }
    if (rec->kind == FW_IDEM_REC_OUTCOME) {
        return parse_outcome(o, rec);
    }
    hash = get_str(o, "hash");
    if (!hash) {
        return -EBADMSG;
    }
    rec->body_hash = g_ascii_strtoull(hash, NULL, 16);
    return 0;
}

int
Fw_Idem_ParseRecord(const char *text, struct fw_idem_record *rec)
{
    JsonNode *root = json_from_string(text, NULL);
    int rc = -EBADMSG;

    memset(rec, 0, sizeof(*rec));
    if (root && JSON_NODE_HOLDS_OBJECT(root)) {
        rc = parse_object(json_node_get_object(root), rec);
    }
    if (root) {
        json_node_unref(root);
    }
    return rc;
}

void
Fw_Idem_ClearRecord(struct fw_idem_record *rec)
{
    g_clear_pointer(&rec->body, g_bytes_unref);
}

void
Fw_Idem_Digest(const char *service, const char *team, const char *idem_key,
               char *out)
{
    GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);

    /* The NULs separate the fields, so that "ab"+"c" differs from "a"+"bc". */
    g_checksum_update(sum, (const guchar *)service,
                      (gssize)strlen(service) + 1);
    g_checksum_update(sum, (const guchar *)team, (gssize)strlen(team) + 1);
    g_checksum_update(sum, (const guchar *)idem_key, (gssize)strlen(idem_key));
    g_strlcpy(out, g_checksum_get_string(sum), FW_IDEM_DIGEST_MAX);
    g_checksum_free(sum);
}
