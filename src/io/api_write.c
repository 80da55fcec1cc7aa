#include <inttypes.h>

#include "io/api.h"
#include "io/json.h"

static int
is_chat(const struct fw_api_response *resp)
{
    return resp->api == FW_API_CHAT;
}

/* Opens the object with the members id, object, created and model. */
static void
add_common_members(const struct fw_api_response *resp, const char *object,
                   GString *out)
{
    char *id = g_strconcat(is_chat(resp) ? "chatcmpl-" : "cmpl-",
                           resp->request_id, NULL);

    g_string_append(out, "{\"id\":");
    Fw_Json_AppendStr(out, id);
    g_string_append_printf(
        out, ",\"object\":\"%s\",\"created\":%" PRId64 ",\"model\":", object,
        resp->created_s);
    Fw_Json_AppendStr(out, resp->model);
    g_free(id);
}

static void
begin_chunk(const struct fw_api_response *resp, GString *out)
{
    g_string_append(out, "data: ");
    add_common_members(
        resp, is_chat(resp) ? "chat.completion.chunk" : "text_completion",
        out);
}

static void
end_chunk(GString *out)
{
    g_string_append(out, "}\n\n");
}

/* With include_usage, every chunk but the last has "usage":null. */
static void
add_null_usage(const struct fw_api_response *resp, GString *out)
{
    if (resp->include_usage) {
        g_string_append(out, ",\"usage\":null");
    }
}

static void
add_usage(const struct fw_call_end *end, GString *out)
{
    g_string_append_printf(out,
                           ",\"usage\":{\"prompt_tokens\":%" PRId64
                           ",\"completion_tokens\":%" PRId64
                           ",\"total_tokens\":%" PRId64 "}",
                           end->prompt_tokens, end->output_tokens,
                           end->prompt_tokens + end->output_tokens);
}

static void
add_routing_details(const struct fw_call_end *end, GString *out)
{
    g_string_append(out, ",\"fuchsiaward\":{\"prefill\":");
    Fw_Json_AppendStr(out, end->prefill);
    g_string_append(out, ",\"decode\":");
    Fw_Json_AppendStr(out, end->decode);
    g_string_append_printf(
        out, ",\"transfer_ms\":%" PRId64 ",\"cached_tokens\":%" PRId64 "}",
        (int64_t)(end->transfer_us / FW_MSEC), end->cached_tokens);
}

void
Fw_Api_WriteFirstChunk(const struct fw_api_response *resp, GString *out)
{
    if (!is_chat(resp)) {
        return;
    }
    begin_chunk(resp, out);
    g_string_append(out, ",\"choices\":[{\"index\":0,\"delta\":{\"role\":"
                         "\"assistant\",\"content\":\"\"},\"logprobs\":null,"
                         "\"finish_reason\":null}]");
    add_null_usage(resp, out);
    end_chunk(out);
}

void
Fw_Api_WriteTextChunk(const struct fw_api_response *resp, const char *text,
                      GString *out)
{
    begin_chunk(resp, out);
    g_string_append(out, is_chat(resp)
                             ? ",\"choices\":[{\"index\":0,\"delta\":{"
                               "\"content\":"
                             : ",\"choices\":[{\"index\":0,\"text\":");
    Fw_Json_AppendStr(out, text);
    g_string_append(out, is_chat(resp) ? "}" : "");
    g_string_append(out, ",\"logprobs\":null,\"finish_reason\":null}]");
    add_null_usage(resp, out);
    end_chunk(out);
}

void
Fw_Api_WriteFinalChunk(const struct fw_api_response *resp,
                       const struct fw_call_end *end, GString *out)
{
    begin_chunk(resp, out);
    g_string_append(out, is_chat(resp)
                             ? ",\"choices\":[{\"index\":0,\"delta\":{}"
                             : ",\"choices\":[{\"index\":0,\"text\":\"\"");
    g_string_append(out, ",\"logprobs\":null,\"finish_reason\":");
    Fw_Json_AppendStr(out, end->reason);
    g_string_append(out, "}]");
    if (resp->include_usage) {
        add_null_usage(resp, out);
        end_chunk(out);
        begin_chunk(resp, out);
        g_string_append(out, ",\"choices\":[]");
        add_usage(end, out);
    }
    add_routing_details(end, out);
    end_chunk(out);
    g_string_append(out, "data: [DONE]\n\n");
}

void
Fw_Api_WriteResponse(const struct fw_api_response *resp, const char *text,
                     const struct fw_call_end *end, GString *out)
{
    add_common_members(
        resp, is_chat(resp) ? "chat.completion" : "text_completion", out);
    g_string_append(out, is_chat(resp)
                             ? ",\"choices\":[{\"index\":0,\"message\":{"
                               "\"role\":\"assistant\",\"content\":"
                             : ",\"choices\":[{\"index\":0,\"text\":");
    Fw_Json_AppendStr(out, text);
    g_string_append(out, is_chat(resp) ? "}" : "");
    g_string_append(out, ",\"logprobs\":null,\"finish_reason\":");
    Fw_Json_AppendStr(out, end->reason);
    g_string_append(out, "}]");
    add_usage(end, out);
    add_routing_details(end, out);
    g_string_append_c(out, '}');
}

static const char *
error_type(int status)
{
    switch (status) {
    case 401:
        return "authentication_error";
    case 403:
        return "permission_error";
    case 429:
        return "rate_limit_error";
    default:
        return status < 500 ? "invalid_request_error" : "server_error";
    }
}

void
Fw_Api_WriteError(int status, const char *code, const char *message,
                  enum fw_ran ran, GString *out)
{
    g_string_append(out, "{\"error\":{\"message\":");
    Fw_Json_AppendStr(out, message);
    g_string_append_printf(out,
                           ",\"type\":\"%s\",\"code\":", error_type(status));
    Fw_Json_AppendStr(out, code);
    g_string_append_printf(out, ",\"ran\":\"%s\"}}", Fw_Ran_Name(ran));
}
