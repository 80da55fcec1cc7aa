/* Messages between instances, sent as UDP datagrams. */
#include <string.h>

#include "http/conn.h"
#include "io/addr.h"
#include "io/logger.h"
#include "relayd/relayd_internal.h"

/* Size of the receive buffer; longer datagrams are truncated. */
#define FW_DATAGRAM_BYTES 60000

/*
 * Counts a message that could not be sent and logs the first one. It is not
 * retried: the next message supersedes it.
 */
static void
count_unsent(struct fw_relayd *d, const char *addr, const char *why)
{
    if (d->digests_unsent.value++ == 0) {
        Fw_Logger_Log(LOG_WARNING, "digest_unsent", "to", addr, "why", why,
                      NULL);
    }
}

static void
send_to(struct fw_relayd *d, const struct fw_rl_datagram *msg)
{
    GSocketAddress *to = Fw_Addr_Parse(msg->addr);
    GError *error = NULL;
    gsize len;
    const char *data = g_bytes_get_data(msg->data, &len);

    if (!to) {
        count_unsent(d, msg->addr, "invalid address");
        return;
    }
    if (g_socket_send_to(d->peer_socket, to, data, len, NULL, &error) < 0) {
        count_unsent(d, msg->addr, error->message);
        g_error_free(error);
    }
    d->peer_messages_sent.value++;
    d->peer_bytes_sent.value += (int64_t)len;
    g_object_unref(to);
}

static void
flush_outbox(struct fw_relayd *d)
{
    for (guint i = 0; i < d->outbox.all->len; i++) {
        send_to(d, g_ptr_array_index(d->outbox.all, i));
    }
    Fw_Outbox_Clear(&d->outbox);
}

void
Fw_PeerSocket_SendDue(struct fw_relayd *d)
{
    Fw_Relay_WriteMessages(d->relay, Fw_Conn_NowUs(), &d->outbox);
    flush_outbox(d);
}

/* Places requests that were waiting for what a message reported. */
static void
place_waiting_requests(struct fw_relayd *d)
{
    struct fw_rl_actions acts;

    Fw_RelayActions_Init(&acts);
    Fw_Relay_PlaceQueued(d->relay, Fw_Conn_NowUs(), &acts);
    Fw_Relayd_ExecuteActions(d, &acts);
}

static void
receive(struct fw_relayd *d, GSocketAddress *from, const char *data,
        size_t len)
{
    char addr[FW_URL_MAX];
    int rc;

    Fw_Addr_Print(from, addr);
    d->peer_messages_received.value++;
    rc = Fw_Relay_ReadMessage(d->relay, addr, data, len, Fw_Conn_NowUs(),
                              &d->outbox);
    flush_outbox(d);
    if (rc < 0) {
        Fw_Logger_Log(LOG_WARNING, "digest_unreadable", "from", addr, NULL);
    }
    else if (rc > 0) {
        Fw_Logger_Log(LOG_NOTICE, "member_met", "addr", addr, NULL);
    }
    place_waiting_requests(d);
}

static gboolean
on_readable(GSocket *sock, GIOCondition cond, gpointer data)
{
    static char buf[FW_DATAGRAM_BYTES];
    struct fw_relayd *d = data;
    GSocketAddress *from = NULL;
    gssize n;

    (void)cond;
    while ((n = g_socket_receive_from(sock, &from, buf, sizeof(buf), NULL,
                                      NULL)) > 0) {
        receive(d, from, buf, (size_t)n);
        g_clear_object(&from);
    }
    g_clear_object(&from);
    Fw_StoreClient_Tick(d->store, Fw_Conn_NowUs());
    return G_SOURCE_CONTINUE;
}

static void
add_metrics(struct fw_relayd *d)
{
    struct fw_metrics *m = Fw_Relay_Metrics(d->relay);

    d->digests_unsent = (struct fw_metric){
        .name = "fw_digests_unsent_total",
        .help = "Messages to other instances that could not be sent"};
    d->peer_messages_sent =
        (struct fw_metric){.name = "fw_peer_messages_sent_total",
                           .help = "Messages sent to other instances"};
    d->peer_bytes_sent =
        (struct fw_metric){.name = "fw_peer_bytes_sent_total",
                           .help = "Bytes of messages to other instances"};
    d->peer_messages_received =
        (struct fw_metric){.name = "fw_peer_messages_received_total",
                           .help = "Messages received of other instances"};
    Fw_Metrics_Add(m, &d->digests_unsent);
    Fw_Metrics_Add(m, &d->peer_messages_sent);
    Fw_Metrics_Add(m, &d->peer_bytes_sent);
    Fw_Metrics_Add(m, &d->peer_messages_received);
}

int
Fw_PeerSocket_Open(struct fw_relayd *d)
{
    GSocketAddress *at = Fw_Addr_Parse(d->opts.peers_addr);
    int ok;

    Fw_Outbox_Init(&d->outbox);
    add_metrics(d);
    if (!at) {
        return -EINVAL;
    }
    d->peer_socket =
        g_socket_new(g_socket_address_get_family(at), G_SOCKET_TYPE_DATAGRAM,
                     G_SOCKET_PROTOCOL_UDP, NULL);
    ok = d->peer_socket && g_socket_bind(d->peer_socket, at, TRUE, NULL);
    g_object_unref(at);
    if (!ok) {
        return -EADDRINUSE;
    }
    g_socket_set_blocking(d->peer_socket, FALSE);
    d->peer_source = g_socket_create_source(d->peer_socket, G_IO_IN, NULL);
    g_source_set_callback(d->peer_source, G_SOURCE_FUNC(on_readable), d, NULL);
    g_source_attach(d->peer_source, NULL);
    return 0;
}

void
Fw_PeerSocket_Close(struct fw_relayd *d)
{
    if (d->peer_source) {
        g_source_destroy(d->peer_source);
        g_source_unref(d->peer_source);
    }
    g_clear_object(&d->peer_socket);
    if (d->outbox.all) {
        Fw_Outbox_Clear(&d->outbox);
        g_clear_pointer(&d->outbox.all, g_ptr_array_unref);
    }
}
