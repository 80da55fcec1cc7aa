/* Messages between instances, as datagrams. */
#include <string.h>

#include "http/conn.h"
#include "io/addr.h"
#include "io/note.h"
#include "relayd/relayd_internal.h"

/* A datagram that passes any link unfragmented is smaller; ours are too. */
#define FW_DATAGRAM_MAX 60000

/*
 * What can't be sent now is old by the next time. Where it goes on, a digest
 * is larger than a datagram may be or no route leads there: the first one is
 * logged, the metric has all.
 */
static void
unsent(struct fw_relayd *d, const char *addr, const char *why)
{
    if (d->digests_unsent.value++ == 0) {
        Fw_Note_Log(LOG_WARNING, "digest_unsent", "to", addr, "why", why,
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
        unsent(d, msg->addr, "no address");
        return;
    }
    if (g_socket_send_to(d->peers, to, data, len, NULL, &error) < 0) {
        unsent(d, msg->addr, error->message);
        g_error_free(error);
    }
    d->sent.value++;
    d->sent_bytes.value += (int64_t)len;
    g_object_unref(to);
}

static void
send_all(struct fw_relayd *d)
{
    for (guint i = 0; i < d->mail.all->len; i++) {
        send_to(d, g_ptr_array_index(d->mail.all, i));
    }
    Fw_Outbox_Clear(&d->mail);
}

void
Fw_Peer_Send(struct fw_relayd *d)
{
    Fw_Relay_WriteMessages(d->relay, Fw_Conn_Now(), &d->mail);
    send_all(d);
}

/* Requests that waited for what just came. */
static void
place(struct fw_relayd *d)
{
    struct fw_rl_actions acts;

    Fw_RelayActions_Init(&acts);
    Fw_Relay_PlaceQueued(d->relay, Fw_Conn_Now(), &acts);
    Fw_Relayd_CarryOut(d, &acts);
}

static void
take(struct fw_relayd *d, GSocketAddress *from, const char *data, size_t len)
{
    char addr[FW_URL_MAX];
    int rc;

    Fw_Addr_Print(from, addr);
    d->received.value++;
    rc = Fw_Relay_ReadMessage(d->relay, addr, data, len, Fw_Conn_Now(),
                              &d->mail);
    send_all(d);
    if (rc < 0) {
        Fw_Note_Log(LOG_WARNING, "digest_unreadable", "from", addr, NULL);
    }
    else if (rc > 0) {
        Fw_Note_Log(LOG_NOTICE, "member_met", "addr", addr, NULL);
    }
    place(d);
}

static gboolean
on_readable(GSocket *sock, GIOCondition cond, gpointer data)
{
    static char buf[FW_DATAGRAM_MAX];
    struct fw_relayd *d = data;
    GSocketAddress *from = NULL;
    gssize n;

    (void)cond;
    while ((n = g_socket_receive_from(sock, &from, buf, sizeof(buf), NULL,
                                      NULL)) > 0) {
        take(d, from, buf, (size_t)n);
        g_clear_object(&from);
    }
    g_clear_object(&from);
    return G_SOURCE_CONTINUE;
}

static void
add_metrics(struct fw_relayd *d)
{
    struct fw_metrics *m = Fw_Relay_Metrics(d->relay);

    d->digests_unsent = (struct fw_metric){
        .name = "fw_digests_unsent_total",
        .help = "Messages to other instances that could not be sent"};
    d->sent = (struct fw_metric){.name = "fw_peer_messages_sent_total",
                                 .help = "Messages sent to other instances"};
    d->sent_bytes =
        (struct fw_metric){.name = "fw_peer_bytes_sent_total",
                           .help = "Bytes of messages to other instances"};
    d->received =
        (struct fw_metric){.name = "fw_peer_messages_received_total",
                           .help = "Messages received of other instances"};
    Fw_Metrics_Add(m, &d->digests_unsent);
    Fw_Metrics_Add(m, &d->sent);
    Fw_Metrics_Add(m, &d->sent_bytes);
    Fw_Metrics_Add(m, &d->received);
}

int
Fw_Peer_Listen(struct fw_relayd *d)
{
    GSocketAddress *at = Fw_Addr_Parse(d->opts.peers);
    int ok;

    Fw_Outbox_Init(&d->mail);
    add_metrics(d);
    if (!at) {
        return -EINVAL;
    }
    d->peers =
        g_socket_new(g_socket_address_get_family(at), G_SOCKET_TYPE_DATAGRAM,
                     G_SOCKET_PROTOCOL_UDP, NULL);
    ok = d->peers && g_socket_bind(d->peers, at, TRUE, NULL);
    g_object_unref(at);
    if (!ok) {
        return -EADDRINUSE;
    }
    g_socket_set_blocking(d->peers, FALSE);
    d->peers_source = g_socket_create_source(d->peers, G_IO_IN, NULL);
    g_source_set_callback(d->peers_source, G_SOURCE_FUNC(on_readable), d,
                          NULL);
    g_source_attach(d->peers_source, NULL);
    return 0;
}

void
Fw_Peer_Close(struct fw_relayd *d)
{
    if (d->peers_source) {
        g_source_destroy(d->peers_source);
        g_source_unref(d->peers_source);
    }
    g_clear_object(&d->peers);
    if (d->mail.all) {
        Fw_Outbox_Clear(&d->mail);
        g_clear_pointer(&d->mail.all, g_ptr_array_unref);
    }
}
