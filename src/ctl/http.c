/* Synchronous HTTP calls to the instances. */
#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

#define FW_CTL_TIMEOUT_S 15 /* above FW_OPERATE_VERDICT_TIMEOUT_US */
/* Largest response: all items of a configuration of 12,000 teams, and more. */
#define FW_CTL_RESPONSE_MAX_BYTES (64 * 1024 * 1024)
#define FW_CTL_READ_BYTES 65536

void
Fw_Response_Clear(struct fw_response *resp)
{
    g_clear_pointer(&resp->json, json_node_unref);
    g_free(resp->body);
    *resp = (struct fw_response){.err = 0};
}

/* Nonzero if the request can't have reached the instance. */
static int
never_connected(const GError *error)
{
    return g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) ||
           g_error_matches(error, G_IO_ERROR, G_IO_ERROR_HOST_UNREACHABLE) ||
           g_error_matches(error, G_IO_ERROR,
                           G_IO_ERROR_NETWORK_UNREACHABLE) ||
           g_error_matches(error, G_RESOLVER_ERROR,
                           G_RESOLVER_ERROR_NOT_FOUND);
}

/* Sets the body from @bytes, which is taken over. */
static void
set_body(struct fw_response *resp, GBytes *bytes)
{
    const char *data = g_bytes_get_data(bytes, &resp->len);

    resp->body = g_strndup(data ? data : "", resp->len);
    resp->json = json_from_string(resp->body, NULL);
    if (resp->json && !JSON_NODE_HOLDS_OBJECT(resp->json)) {
        g_clear_pointer(&resp->json, json_node_unref);
    }
    g_bytes_unref(bytes);
}

/*
 * Sends @msg and reads the response. What listens at the address may send
 * without end. Return: the body, or NULL and @error.
 */
static GBytes *
send_and_read(SoupSession *session, SoupMessage *msg, GError **error)
{
    GInputStream *in = soup_session_send(session, msg, NULL, error);
    GByteArray *body = g_byte_array_new();
    g_autofree guint8 *part = g_malloc(FW_CTL_READ_BYTES);
    gssize n = -1;

    while (in && (n = g_input_stream_read(in, part, FW_CTL_READ_BYTES, NULL,
                                          error)) > 0) {
        g_byte_array_append(body, part, (guint)n);
        if (body->len > FW_CTL_RESPONSE_MAX_BYTES) {
            g_set_error(error, G_IO_ERROR, G_IO_ERROR_MESSAGE_TOO_LARGE,
                        "the response is too large");
            n = -1;
            break;
        }
    }
    g_clear_object(&in);
    if (n < 0) {
        g_byte_array_unref(body);
        return NULL;
    }
    return g_byte_array_free_to_bytes(body);
}

void
Fw_Ctl_Call(struct fw_ctl *ctl, const char *url, const char *method,
            const char *path, const char *body, gsize len,
            struct fw_response *resp)
{
    char *uri = g_strconcat(url, path, NULL);
    SoupMessage *msg = soup_message_new(method, uri);
    GError *error = NULL;
    GBytes *bytes;

    *resp = (struct fw_response){.err = -EINVAL};
    g_free(uri);
    if (!msg) {
        return;
    }
    if (!ctl->session) {
        ctl->session =
            soup_session_new_with_options("timeout", FW_CTL_TIMEOUT_S, NULL);
    }
    if (ctl->key) {
        char *auth = g_strconcat("Bearer ", ctl->key, NULL);

        soup_message_headers_replace(soup_message_get_request_headers(msg),
                                     "Authorization", auth);
        g_free(auth);
    }
    /* Following a redirect could send the key to another host. */
    soup_message_add_flags(msg, SOUP_MESSAGE_NO_REDIRECT);
    if (body) {
        GBytes *payload = g_bytes_new(body, len);

        soup_message_set_request_body_from_bytes(msg, "application/json",
                                                 payload);
        g_bytes_unref(payload);
    }
    bytes = send_and_read(ctl->session, msg, &error);
    if (bytes) {
        resp->err = 0;
        resp->status = (int)soup_message_get_status(msg);
        set_body(resp, bytes);
    }
    else {
        resp->err = -EIO;
        resp->maybe_sent = !never_connected(error);
        g_error_free(error);
    }
    g_object_unref(msg);
}

void
Fw_Ctl_CallAny(struct fw_ctl *ctl, const char *method, const char *path,
               const char *body, gsize len, struct fw_response *resp)
{
    int maybe_sent = 0;

    *resp = (struct fw_response){.err = -EINVAL};
    for (unsigned i = 0; i < ctl->urls->len; i++) {
        Fw_Response_Clear(resp);
        Fw_Ctl_Call(ctl, g_ptr_array_index(ctl->urls, i), method, path, body,
                    len, resp);
        maybe_sent |= resp->maybe_sent;
        if (resp->err == 0) {
            return;
        }
    }
    resp->maybe_sent = maybe_sent;
}

const char *
Fw_Response_Text(const struct fw_response *resp, const char *name,
                 const char *dflt)
{
    JsonNode *node =
        resp->json
            ? json_object_get_member(json_node_get_object(resp->json), name)
            : NULL;

    if (!node || !JSON_NODE_HOLDS_VALUE(node) ||
        json_node_get_value_type(node) != G_TYPE_STRING) {
        return dflt;
    }
    return json_node_get_string(node);
}

static const char *
error_message(const struct fw_response *resp)
{
    JsonObject *obj = resp->json ? json_node_get_object(resp->json) : NULL;
    JsonNode *node = obj ? json_object_get_member(obj, "error") : NULL;

    if (node && JSON_NODE_HOLDS_OBJECT(node)) {
        return json_object_get_string_member_with_default(
            json_node_get_object(node), "message", "");
    }
    return Fw_Response_Text(resp, "why", "");
}

int
Fw_Response_Check(const struct fw_response *resp)
{
    if (resp->err) {
        fprintf(stderr, "fuchsiaward: no instance responded\n");
        return resp->maybe_sent ? FW_EXIT_UNKNOWN : FW_EXIT_NOT_APPLIED;
    }
    if (resp->status == 200) {
        return 0;
    }
    fprintf(stderr, "fuchsiaward: %s (HTTP status %d)\n", error_message(resp),
            resp->status);
    switch (resp->status) {
    case 401:
        return FW_EXIT_DENIED;
    case 409:
        return FW_EXIT_CONFLICT;
    case 400:
    case 422:
        return FW_EXIT_INVALID;
    case 503:
        return FW_EXIT_NOT_APPLIED;
    case 504:
        return FW_EXIT_UNKNOWN;
    default:
        return FW_EXIT_FAILED;
    }
}
