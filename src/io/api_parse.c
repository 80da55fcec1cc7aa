#include <errno.h>
#include <string.h>

#include "io/api.h"
#include "io/json.h"

#define FW_BYTES_PER_TOKEN 4
#define FW_MAX_TOKENS_LIMIT (1LL << 31)

static int
reject(struct fw_api_error *err, int status, const char *code,
       const char *message)
{
    *err = (struct fw_api_error){
        .status = status, .code = code, .message = message};
    return -EBADMSG;
}

static int
reject_invalid(struct fw_api_error *err, const char *message)
{
    return reject(err, 400, "invalid_request", message);
}

static int
read_model(JsonObject *obj, struct fw_api_request *out,
           struct fw_api_error *err)
{
    int rc = Fw_Json_CopyStr(obj, "model", out->model, sizeof(out->model));

    if (rc == -ENOENT || (!rc && !out->model[0])) {
        return reject(err, 400, "model_missing", "model is missing");
    }
    return rc ? reject_invalid(err,
                               "model must be a string of at most 47 bytes")
              : 0;
}

static int
read_max_tokens(JsonObject *obj, const struct fw_api_limits *limits,
                struct fw_api_request *out, struct fw_api_error *err)
{
    int64_t v = limits->max_tokens_default;
    int rc = Fw_Json_Int(obj, "max_completion_tokens", &v);

    if (rc == -ENOENT) {
        rc = Fw_Json_Int(obj, "max_tokens", &v);
    }
    if ((rc && rc != -ENOENT) || v <= 0 || v > FW_MAX_TOKENS_LIMIT) {
        return reject_invalid(err,
                              "max_tokens must be a whole number above zero");
    }
    out->max_tokens = v;
    return 0;
}

static int
read_stream(JsonObject *obj, struct fw_api_request *out,
            struct fw_api_error *err)
{
    JsonObject *options;
    int rc = Fw_Json_Bool(obj, "stream", &out->stream);

    if (rc && rc != -ENOENT) {
        return reject_invalid(err, "stream must be true or false");
    }
    rc = Fw_Json_Object(obj, "stream_options", &options);
    if (rc == -ENOENT) {
        return 0;
    }
    if (!rc) {
        rc = Fw_Json_Bool(options, "include_usage", &out->include_usage);
    }
    return rc && rc != -ENOENT
               ? reject_invalid(
                     err, "stream_options.include_usage must be true or false")
               : 0;
}

/* Several choices per request are not supported. */
static int
check_choice_count(JsonObject *obj, struct fw_api_error *err)
{
    int64_t n = 1;
    int rc = Fw_Json_Int(obj, "n", &n);

    if ((rc && rc != -ENOENT) || n != 1) {
        return reject_invalid(err, "n must be 1");
    }
    return 0;
}

/* The prompt is a string, or an array of one string. */
static int
append_prompt(JsonObject *obj, GString *text, struct fw_api_error *err)
{
    const char *s = NULL;
    JsonArray *arr;
    int rc = Fw_Json_Str(obj, "prompt", &s);

    if (rc == -ENOENT) {
        return reject_invalid(err, "prompt is missing");
    }
    if (rc && !Fw_Json_Array(obj, "prompt", &arr) &&
        json_array_get_length(arr) == 1) {
        JsonNode *node = json_array_get_element(arr, 0);

        s = json_node_get_value_type(node) == G_TYPE_STRING
                ? json_node_get_string(node)
                : NULL;
    }
    if (!s) {
        return reject_invalid(
            err, "prompt must be a string or an array of one string");
    }
    g_string_append(text, s);
    return 0;
}

static int
append_content_parts(JsonArray *parts, GString *text, struct fw_api_error *err)
{
    for (guint i = 0; i < json_array_get_length(parts); i++) {
        JsonObject *part = Fw_Json_ObjectAt(parts, i);
        const char *type;
        const char *s;

        if (!part || Fw_Json_Str(part, "type", &type) ||
            strcmp(type, "text") != 0 || Fw_Json_Str(part, "text", &s)) {
            return reject_invalid(err,
                                  "a part of content must be of type text");
        }
        g_string_append(text, s);
    }
    return 0;
}

/*
 * Engines take one text, so a chat is flattened to a line "role: text" for
 * each message.
 */
static int
append_message(JsonObject *msg, GString *text, struct fw_api_error *err)
{
    const char *role;
    const char *s = "";
    JsonArray *parts;
    int rc;

    if (!msg || Fw_Json_Str(msg, "role", &role) || !role[0]) {
        return reject_invalid(err, "each message needs a role");
    }
    g_string_append_printf(text, "%s: ", role);
    rc = Fw_Json_Str(msg, "content", &s);
    if (rc == -EBADMSG) {
        if (Fw_Json_Array(msg, "content", &parts)) {
            return reject_invalid(
                err, "content must be a string or an array of parts");
        }
        if (append_content_parts(parts, text, err)) {
            return -EBADMSG;
        }
    }
    g_string_append(text, s);
    g_string_append_c(text, '\n');
    return 0;
}

static int
append_messages(JsonObject *obj, GString *text, struct fw_api_error *err)
{
    JsonArray *arr;

    if (Fw_Json_Array(obj, "messages", &arr) ||
        json_array_get_length(arr) == 0) {
        return reject_invalid(
            err, "messages must be an array with a message in it");
    }
    for (guint i = 0; i < json_array_get_length(arr); i++) {
        if (append_message(Fw_Json_ObjectAt(arr, i), text, err)) {
            return -EBADMSG;
        }
    }
    g_string_append(text, "assistant:");
    return 0;
}

static int
read_prompt_text(enum fw_api api, JsonObject *obj,
                 const struct fw_api_limits *limits,
                 struct fw_api_request *out, struct fw_api_error *err)
{
    GString *text = g_string_new(NULL);
    int rc = api == FW_API_CHAT ? append_messages(obj, text, err)
                                : append_prompt(obj, text, err);

    if (!rc && text->len == 0) {
        rc = reject_invalid(err, "the prompt is empty");
    }
    out->prompt_tokens =
        (int64_t)(text->len + FW_BYTES_PER_TOKEN - 1) / FW_BYTES_PER_TOKEN;
    if (!rc && out->prompt_tokens > limits->prompt_tokens_max) {
        rc = reject(err, 413, "prompt_too_long",
                    "the prompt has more tokens than are taken here");
    }
    if (rc) {
        g_string_free(text, TRUE);
        return rc;
    }
    out->prompt = g_string_free_to_bytes(text);
    return 0;
}

static int
read_request(enum fw_api api, JsonObject *obj,
             const struct fw_api_limits *limits, struct fw_api_request *out,
             struct fw_api_error *err)
{
    if (read_model(obj, out, err) || read_max_tokens(obj, limits, out, err) ||
        read_stream(obj, out, err) || check_choice_count(obj, err)) {
        return -EBADMSG;
    }
    return read_prompt_text(api, obj, limits, out, err);
}

int
Fw_Api_Parse(enum fw_api api, const char *body, size_t len,
             const struct fw_api_limits *limits, struct fw_api_request *out,
             struct fw_api_error *err)
{
    JsonNode *root = Fw_Json_Parse(body, len);
    int rc;

    memset(out, 0, sizeof(*out));
    if (!root) {
        return reject(err, 400, "invalid_json",
                      "the body is not a JSON object in UTF-8");
    }
    rc = read_request(api, json_node_get_object(root), limits, out, err);
    json_node_unref(root);
    return rc;
}

int64_t
Fw_Api_ParseDeadline(const char *text, int64_t now_us)
{
    GDateTime *at = g_date_time_new_from_iso8601(text, NULL);
    int64_t wall_us;

    if (!at) {
        return 0;
    }
    wall_us =
        g_date_time_to_unix(at) * FW_SEC + g_date_time_get_microsecond(at);
    g_date_time_unref(at);
    return MAX(1, now_us + wall_us - g_get_real_time());
}

int
Fw_Api_IsValidId(const char *id)
{
    size_t len = strlen(id);

    for (size_t i = 0; i < len; i++) {
        if (!g_ascii_isgraph(id[i]) || id[i] == '"' || id[i] == '\\') {
            return 0;
        }
    }
    return len > 0 && len < FW_ID_MAX;
}
