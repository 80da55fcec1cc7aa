/* Responses: immediate, delayed, streamed, or aborted. */
#include <stdarg.h>
#include <string.h>
#include <sys/socket.h>

#include "stand/port.h"

static void
free_reply(struct fw_stand_reply *r)
{
    Fw_List_Remove(&r->link);
    if (r->close_watch) {
        g_source_destroy(r->close_watch);
        g_source_unref(r->close_watch);
    }
    if (r->timer) {
        g_source_remove(r->timer);
    }
    if (r->finished_handler) {
        g_signal_handler_disconnect(r->msg, r->finished_handler);
    }
    g_clear_pointer(&r->query, g_hash_table_unref);
    g_clear_pointer(&r->body_node, json_node_unref);
    g_object_unref(r->msg);
    g_free(r->wait_stream);
    g_free(r->path);
    g_free(r);
}

/* Resumes libsoup's processing of the message and frees @r. */
static void
finish(struct fw_stand_reply *r)
{
    r->on_disconnect = NULL;
    if (r->in_handler) {
        r->answered = 1;
        return;
    }
    if (r->finished_handler) {
        g_signal_handler_disconnect(r->msg, r->finished_handler);
        r->finished_handler = 0;
    }
    if (!r->msg_finished) {
        soup_server_message_unpause(r->msg);
    }
    free_reply(r);
}

void
Fw_StandReply_Abort(struct fw_stand_reply *r)
{
    GSocket *sock = soup_server_message_get_socket(r->msg);

    if (sock) {
        g_socket_shutdown(sock, TRUE, TRUE, NULL);
    }
    if (!r->streaming) {
        soup_server_message_set_status(r->msg, 500, NULL);
    }
    else {
        soup_message_body_complete(
            soup_server_message_get_response_body(r->msg));
    }
    finish(r);
}

static gboolean
call_on_timer(gpointer data)
{
    struct fw_stand_reply *r = data;

    r->timer = 0;
    r->on_timer(r);
    return G_SOURCE_REMOVE;
}

void
Fw_StandReply_Schedule(struct fw_stand_reply *r, int64_t ms,
                       void (*on_timer)(struct fw_stand_reply *r))
{
    r->on_timer = on_timer;
    r->timer = g_timeout_add((guint)CLAMP(ms, 0, G_MAXINT), call_on_timer, r);
}

void
Fw_StandReply_Text(struct fw_stand_reply *r, int status, const char *type,
                   const char *text)
{
    const struct fw_stand_fault *slow;
    int control;

    r->on_disconnect = NULL;
    if (r->timer) {
        g_source_remove(r->timer);
        r->timer = 0;
    }
    control = g_str_has_prefix(r->path, "/control/") ||
              strcmp(r->path, "/journal") == 0;
    if (!control && status < 300 &&
        Fw_StandFault_Trigger(r->port, "lost-answer", r->path)) {
        Fw_StandReply_Abort(r);
        return;
    }
    soup_server_message_set_status(r->msg, (guint)status, NULL);
    soup_server_message_set_response(r->msg, type, SOUP_MEMORY_COPY, text,
                                     strlen(text));
    slow = control ? NULL : Fw_StandFault_Trigger(r->port, "slow", r->path);
    if (slow) {
        Fw_StandReply_Schedule(r, slow->duration_ms, finish);
        return;
    }
    finish(r);
}

void
Fw_StandReply_Json(struct fw_stand_reply *r, int status, const char *fmt, ...)
{
    va_list ap;
    char *text;

    va_start(ap, fmt);
    text = g_strdup_vprintf(fmt, ap);
    va_end(ap);
    Fw_StandReply_Text(r, status, "application/json", text);
    g_free(text);
}

void
Fw_StandReply_Error(struct fw_stand_reply *r, int status, const char *text)
{
    Fw_StandReply_Json(r, status, "{\"error\":\"%s\"}", text);
}

void
Fw_StandReply_StartStream(struct fw_stand_reply *r, const char *type)
{
    SoupMessageHeaders *h = soup_server_message_get_response_headers(r->msg);

    r->streaming = 1;
    soup_server_message_set_status(r->msg, 200, NULL);
    soup_message_headers_set_encoding(h, SOUP_ENCODING_CHUNKED);
    soup_message_headers_replace(h, "Content-Type", type);
    soup_message_body_set_accumulate(
        soup_server_message_get_response_body(r->msg), FALSE);
}

void
Fw_StandReply_SendLine(struct fw_stand_reply *r, const char *line)
{
    soup_message_body_append(soup_server_message_get_response_body(r->msg),
                             SOUP_MEMORY_COPY, line, strlen(line));
    if (!r->in_handler) {
        soup_server_message_unpause(r->msg);
    }
}

void
Fw_StandReply_EndStream(struct fw_stand_reply *r)
{
    soup_message_body_complete(soup_server_message_get_response_body(r->msg));
    finish(r);
}

const char *
Fw_StandReply_Str(const struct fw_stand_reply *r, const char *name,
                  const char *def)
{
    JsonNode *n = r->body ? json_object_get_member(r->body, name) : NULL;

    if (!n || json_node_get_value_type(n) != G_TYPE_STRING) {
        return def;
    }
    return json_node_get_string(n);
}

int64_t
Fw_StandReply_Int(const struct fw_stand_reply *r, const char *name,
                  int64_t def)
{
    JsonNode *n = r->body ? json_object_get_member(r->body, name) : NULL;

    if (!n || json_node_get_value_type(n) != G_TYPE_INT64) {
        return def;
    }
    return json_node_get_int(n);
}

int64_t
Fw_StandReply_QueryInt(const struct fw_stand_reply *r, const char *name,
                       int64_t def)
{
    const char *s = r->query ? g_hash_table_lookup(r->query, name) : NULL;

    return s ? g_ascii_strtoll(s, NULL, 10) : def;
}

void
Fw_StandReply_Disconnect(struct fw_stand_reply *r)
{
    void (*on_disconnect)(void *) = r->on_disconnect;
    void *data = r->disconnect_data;

    Fw_StandReply_Abort(r);
    if (on_disconnect) {
        on_disconnect(data);
    }
}

static void
on_finished(SoupServerMessage *msg, gpointer data)
{
    (void)msg;
    ((struct fw_stand_reply *)data)->msg_finished = 1;
    Fw_StandReply_Disconnect(data);
}

/*
 * libsoup does not detect that the client closed the connection while a
 * message is paused. A readable socket without data to read shows it.
 */
static gboolean
on_readable(GSocket *sock, GIOCondition cond, gpointer data)
{
    struct fw_stand_reply *r = data;
    char byte;
    ssize_t n = recv(g_socket_get_fd(sock), &byte, 1, MSG_PEEK | MSG_DONTWAIT);

    (void)cond;
    g_clear_pointer(&r->close_watch, g_source_unref);
    if (n <= 0) {
        Fw_StandReply_Disconnect(r);
    }
    return G_SOURCE_REMOVE;
}

static void
watch_client(struct fw_stand_reply *r)
{
    GSocket *sock = soup_server_message_get_socket(r->msg);

    r->finished_handler =
        g_signal_connect(r->msg, "finished", G_CALLBACK(on_finished), r);
    if (!sock) {
        return;
    }
    r->close_watch = g_socket_create_source(sock, G_IO_IN, NULL);
    g_source_set_callback(r->close_watch, G_SOURCE_FUNC(on_readable), r, NULL);
    g_source_attach(r->close_watch, g_main_context_get_thread_default());
}

static void
parse_body(struct fw_stand_reply *r)
{
    SoupMessageBody *body = soup_server_message_get_request_body(r->msg);
    GBytes *bytes = soup_message_body_flatten(body);
    gsize len;
    const char *data = g_bytes_get_data(bytes, &len);
    JsonParser *parser = json_parser_new();

    if (len > 0 &&
        json_parser_load_from_data(parser, data, (gssize)len, NULL)) {
        r->body_node = json_parser_steal_root(parser);
    }
    if (r->body_node && JSON_NODE_HOLDS_OBJECT(r->body_node)) {
        r->body = json_node_get_object(r->body_node);
    }
    g_object_unref(parser);
    g_bytes_unref(bytes);
}

void
Fw_StandReply_Receive(struct fw_stand_port *port, SoupServerMessage *msg,
                      const char *path, GHashTable *query,
                      void (*handle)(struct fw_stand_reply *r))
{
    struct fw_stand_reply *r = g_new0(struct fw_stand_reply, 1);

    r->port = port;
    r->msg = g_object_ref(msg);
    r->path = g_strdup(path);
    r->query = query ? g_hash_table_ref(query) : NULL;
    Fw_List_Append(&port->replies, &r->link);
    parse_body(r);
    r->in_handler = 1;
    handle(r);
    r->in_handler = 0;
    if (r->answered) {
        free_reply(r);
        return;
    }
    if (!r->streaming) {
        soup_server_message_pause(r->msg);
    }
    watch_client(r);
}
