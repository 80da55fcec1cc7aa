/* Digests between instances, as datagrams. */
#include <string.h>

#include "http/conn.h"
#include "io/addr.h"
#include "io/note.h"
#include "relay/spread.h"
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
send_to(struct fw_relayd *d, const char *addr, const GByteArray *msg)
{
    GSocketAddress *to = Fw_Addr_Parse(addr);
    GError *error = NULL;

    if (!to) {
        unsent(d, addr, "no address");
        return;
    }
    if (g_socket_send_to(d->peers, to, (char *)msg->data, msg->len, NULL,
                         &error) < 0) {
        unsent(d, addr, error->message);
        g_error_free(error);
    }
    g_object_unref(to);
}

static void
send_each(struct fw_relayd *d, const GPtrArray *addrs, const GByteArray *msg)
{
    for (guint i = 0; i < addrs->len; i++) {
        send_to(d, g_ptr_array_index(addrs, i), msg);
    }
}

static void
send_to_all(struct fw_relayd *d, const GByteArray *msg)
{
    GPtrArray *direct = g_ptr_array_new();
    GPtrArray *through = g_ptr_array_new();
    GByteArray *envelope = g_byte_array_new();

    Fw_Relay_Routes(d->relay, Fw_Conn_Now(), direct, through);
    send_each(d, direct, msg);
    if (through->len) {
        Fw_Envelope_Write(1, "", msg->data, msg->len, envelope);
        send_each(d, through, envelope);
    }
    g_byte_array_unref(envelope);
    g_ptr_array_unref(direct);
    g_ptr_array_unref(through);
}

static void
pass_on(struct fw_relayd *d, const struct fw_rl_envelope *e)
{
    GPtrArray *to = g_ptr_array_new();
    GByteArray *envelope = g_byte_array_new();

    Fw_Envelope_Write(0, e->addr, e->data, e->len, envelope);
    Fw_Relay_PassOn(d->relay, e->addr, to);
    send_each(d, to, envelope);
    g_byte_array_unref(envelope);
    g_ptr_array_unref(to);
}

static void
send_digest(struct fw_relayd *d, const char *only)
{
    GByteArray *msg = g_byte_array_new();

    Fw_Relay_WriteDigest(d->relay, Fw_Conn_Now(), msg);
    if (only) {
        send_to(d, only, msg);
    }
    else {
        send_to_all(d, msg);
    }
    g_byte_array_unref(msg);
}

void
Fw_Peer_TellDelta(struct fw_relayd *d)
{
    GByteArray *msg = g_byte_array_new();
    GPtrArray *addrs = g_ptr_array_new();

    switch (Fw_Relay_WriteDelta(d->relay, Fw_Conn_Now(), msg)) {
    case FW_RL_TELL_NOTHING:
        break;
    case FW_RL_TELL:
        send_to_all(d, msg);
        break;
    case FW_RL_TELL_DIRECTLY:
        Fw_Relay_Members(d->relay, addrs);
        send_each(d, addrs, msg);
        break;
    }
    g_ptr_array_unref(addrs);
    g_byte_array_unref(msg);
}

static void
send_learned(struct fw_relayd *d, const char *addr)
{
    GByteArray *msg = g_byte_array_new();

    if (Fw_Relay_WriteLearned(d->relay, msg)) {
        send_to(d, addr, msg);
    }
    g_byte_array_unref(msg);
}

static void
take(struct fw_relayd *d, GSocketAddress *from, const char *data, size_t len)
{
    GByteArray *reply = g_byte_array_new();
    char addr[FW_URL_MAX];
    struct fw_rl_envelope e;
    int rc;

    Fw_Addr_Print(from, addr);
    if (Fw_Envelope_Open(data, len, &e)) {
        if (e.pass_on) {
            g_strlcpy(e.addr, addr, sizeof(e.addr));
            pass_on(d, &e);
        }
        g_strlcpy(addr, e.addr, sizeof(addr));
        data = e.data;
        len = e.len;
    }
    rc = Fw_Relay_ReadMessage(d->relay, addr, data, len, Fw_Conn_Now(), reply);
    if (reply->len) {
        send_to(d, addr, reply);
    }
    g_byte_array_unref(reply);
    if (rc < 0) {
        Fw_Note_Log(LOG_WARNING, "digest_unreadable", "from", addr, NULL);
    }
    else if (rc > 0) {
        Fw_Note_Log(LOG_NOTICE, "member_met", "addr", addr, NULL);
        send_digest(d, addr);
        send_learned(d, addr);
    }
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

int
Fw_Peer_Listen(struct fw_relayd *d)
{
    GSocketAddress *at = Fw_Addr_Parse(d->opts.peers);
    int ok;

    d->digests_unsent = (struct fw_metric){
        .name = "fw_digests_unsent_total",
        .help = "Digests and questions that could not be sent"};
    Fw_Metrics_Add(Fw_Relay_Metrics(d->relay), &d->digests_unsent);
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

static void
send_question(struct fw_relayd *d, int64_t now_us)
{
    GByteArray *msg = g_byte_array_new();
    const char *addr;

    if (Fw_Relay_WriteQuestion(d->relay, now_us, msg, &addr)) {
        send_to(d, addr, msg);
    }
    g_byte_array_unref(msg);
}

void
Fw_Peer_Tick(struct fw_relayd *d, int64_t now_us)
{
    int64_t every =
        Fw_Relay_DigestEvery(d->relay, d->opts.digest_every_us, now_us);
    int64_t early_us = d->digest_us - every / 2;

    if (now_us >= d->digest_us ||
        (now_us >= early_us && Fw_Relay_DigestWanted(d->relay))) {
        d->digest_us = now_us + every;
        send_digest(d, NULL);
    }
    send_question(d, now_us);
}

void
Fw_Peer_Close(struct fw_relayd *d)
{
    if (d->peers_source) {
        g_source_destroy(d->peers_source);
        g_source_unref(d->peers_source);
    }
    g_clear_object(&d->peers);
}
