/* Journal of the requests that took effect on a port. */
#include "stand/port.h"

#define JOURNAL_MAX_LINES 50000

static void
add_string(const char *name, const char *value, gpointer data)
{
    json_builder_set_member_name(data, name);
    json_builder_add_string_value(data, value);
}

static void
add_body(JsonBuilder *b, SoupServerMessage *msg)
{
    SoupMessageBody *body = soup_server_message_get_request_body(msg);
    GBytes *bytes = soup_message_body_flatten(body);
    gsize len;
    const char *data = g_bytes_get_data(bytes, &len);

    if (len > 0 && g_utf8_validate_len(data, len, NULL)) {
        char *text = g_strndup(data, len);

        json_builder_set_member_name(b, "body");
        json_builder_add_string_value(b, text);
        g_free(text);
    }
    g_bytes_unref(bytes);
}

void
Fw_StandJournal_Add(struct fw_stand_reply *r, const char *effect,
                    const char *id)
{
    struct fw_stand_port *port = r->port;
    JsonBuilder *b = json_builder_new();
    JsonNode *root;

    json_builder_begin_object(b);
    json_builder_set_member_name(b, "at_us");
    json_builder_add_int_value(b, g_get_monotonic_time());
    add_string("stand", port->name, b);
    add_string("effect", effect, b);
    add_string("id", id, b);
    add_string("method", soup_server_message_get_method(r->msg), b);
    add_string("path", r->path, b);
    json_builder_set_member_name(b, "headers");
    json_builder_begin_object(b);
    soup_message_headers_foreach(
        soup_server_message_get_request_headers(r->msg), add_string, b);
    json_builder_end_object(b);
    if (g_strcmp0(port->kind, "service") == 0) {
        add_body(b, r->msg);
    }
    json_builder_end_object(b);
    root = json_builder_get_root(b);
    g_queue_push_tail(&port->journal, json_to_string(root, FALSE));
    json_node_unref(root);
    g_object_unref(b);
    if (port->journal.length > JOURNAL_MAX_LINES) {
        g_free(g_queue_pop_head(&port->journal));
        port->journal_dropped++;
    }
}

char *
Fw_StandJournal_Text(const struct fw_stand_port *port)
{
    GString *s = g_string_new(NULL);

    if (port->journal_dropped) {
        g_string_append_printf(s, "{\"dropped\":%" G_GUINT64_FORMAT "}\n",
                               port->journal_dropped);
    }
    for (const GList *l = port->journal.head; l; l = l->next) {
        g_string_append(s, l->data);
        g_string_append_c(s, '\n');
    }
    return g_string_free(s, FALSE);
}

void
Fw_StandJournal_Clear(struct fw_stand_port *port)
{
    char *line;

    while ((line = g_queue_pop_head(&port->journal))) {
        g_free(line);
    }
    port->journal_dropped = 0;
}
