/* Ports: listening, control requests, and faults common to all kinds. */
#include "stand/port.h"

#include <string.h>

static void
control_fault(struct fw_stand_reply *r)
{
    const char *method = soup_server_message_get_method(r->msg);
    const char *name = r->path + strlen("/control/fault");
    int post = strcmp(method, "POST") == 0;

    if (post && (!r->body || Fw_StandFault_Set(r->port, r->body))) {
        Fw_StandReply_Error(r, 400, Fw_StandFault_Names());
        return;
    }
    if (!post && *name == '\0') {
        Fw_StandFault_ClearAll(r->port);
    }
    else if (!post && Fw_StandFault_Clear(r->port, name + 1)) {
        Fw_StandReply_Error(r, 404, "not set");
        return;
    }
    Fw_StandReply_Text(r, 200, "application/json", "{}");
}

static void
control_about(struct fw_stand_reply *r)
{
    struct fw_stand_port *port = r->port;
    GString *more = g_string_new(NULL);

    if (port->describe) {
        port->describe(port, more);
    }
    Fw_StandReply_Json(r, 200,
                       "{\"name\":\"%s\",\"kind\":\"%s\","
                       "\"domain\":\"%s\",\"url\":\"%s\"%s}",
                       port->name, port->kind, port->domain, port->url,
                       more->str);
    g_string_free(more, TRUE);
}

static void
control_journal(struct fw_stand_reply *r)
{
    char *text = Fw_StandJournal_Text(r->port);

    if (strcmp(soup_server_message_get_method(r->msg), "DELETE") == 0) {
        Fw_StandJournal_Clear(r->port);
    }
    Fw_StandReply_Text(r, 200, "application/x-ndjson", text);
    g_free(text);
}

static void
dispatch(struct fw_stand_reply *r)
{
    const struct fw_stand_fault *f;

    if (g_str_has_prefix(r->path, "/control/fault")) {
        control_fault(r);
    }
    else if (strcmp(r->path, "/control/about") == 0) {
        control_about(r);
    }
    else if (strcmp(r->path, "/journal") == 0) {
        control_journal(r);
    }
    else if (Fw_StandFault_Find(r->port, "die")) {
        Fw_StandReply_Abort(r);
    }
    else if (Fw_StandFault_Trigger(r->port, "hang", r->path)) {
        return;
    }
    else if ((f = Fw_StandFault_Trigger(r->port, "refuse", r->path))) {
        Fw_StandReply_Error(r, (int)f->status, "refused by a fault");
    }
    else {
        r->port->handle(r);
    }
}

static void
on_request(SoupServer *server, SoupServerMessage *msg, const char *path,
           GHashTable *query, gpointer data)
{
    (void)server;
    Fw_StandReply_Receive(data, msg, path, query, dispatch);
}

struct fw_stand_port *
Fw_StandPort_Open(struct fw_stand_port *port, struct fw_stand *stand,
                  const char *kind, const char *name, const char *domain)
{
    GInetAddress *ip = g_inet_address_new_from_string("127.0.0.1");
    GSocketAddress *addr = g_inet_socket_address_new(ip, 0);
    GSList *uris;
    gboolean ok;

    port->stand = stand;
    g_strlcpy(port->kind, kind, sizeof(port->kind));
    g_strlcpy(port->name, name, sizeof(port->name));
    g_strlcpy(port->domain, domain, sizeof(port->domain));
    Fw_List_Init(&port->replies);
    Fw_List_Init(&port->faults);
    g_queue_init(&port->journal);
    port->server = soup_server_new("server-header", "fwstand ", NULL);
    soup_server_add_handler(port->server, NULL, on_request, port, NULL);
    ok = soup_server_listen(port->server, addr, 0, NULL);
    g_object_unref(addr);
    g_object_unref(ip);
    if (!ok) {
        Fw_StandPort_Free(port);
        return NULL;
    }
    uris = soup_server_get_uris(port->server);
    g_snprintf(port->url, sizeof(port->url), "http://127.0.0.1:%d",
               g_uri_get_port(uris->data));
    g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
    return port;
}

static void
disconnect_all(struct fw_stand_port *port)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &port->replies) {
        struct fw_stand_reply *r =
            FW_LIST_ENTRY(pos, struct fw_stand_reply, link);

        if (!r->in_handler) {
            Fw_StandReply_Disconnect(r);
        }
    }
}

static gboolean
on_restart(gpointer data)
{
    struct fw_stand_port *port = data;

    port->restart_timer = 0;
    Fw_StandFault_Clear(port, "die");
    return G_SOURCE_REMOVE;
}

void
Fw_StandPort_Crash(struct fw_stand_port *port, int64_t outage_ms)
{
    struct fw_stand_fault *f;

    if (Fw_StandFault_Find(port, "die")) {
        return;
    }
    f = g_new0(struct fw_stand_fault, 1);
    g_strlcpy(f->name, "die", sizeof(f->name));
    Fw_List_Append(&port->faults, &f->link);
    if (port->reset) {
        port->reset(port);
    }
    disconnect_all(port);
    if (outage_ms > 0) {
        port->restart_timer =
            g_timeout_add((guint)outage_ms, on_restart, port);
    }
}

void
Fw_StandPort_Free(struct fw_stand_port *port)
{
    port->on_fault_change = NULL;
    if (port->reset) {
        port->reset(port);
    }
    disconnect_all(port);
    Fw_StandFault_ClearAll(port);
    Fw_StandJournal_Clear(port);
    soup_server_disconnect(port->server);
    g_object_unref(port->server);
    if (port->on_free) {
        port->on_free(port);
    }
    g_free(port->owner);
}
