#include "io/peer_conn.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#include "base/fault.h"
#include "io/addr.h"

#define FW_LENGTH_SIZE 4
#define FW_READ_SIZE 8192
/* Data that the other side does not acknowledge for so long: it is gone. */
#define FW_ACK_TIMEOUT_MS 5000

/** enum conn_state - how far a connection is. */
enum conn_state {
    FW_CONN_DIALING,
    FW_CONN_WAIT_DIAL,   /* acceptor: for the first message */
    FW_CONN_WAIT_ACCEPT, /* dialer: for the second */
    FW_CONN_WAIT_PROVE,  /* acceptor: for the third */
    FW_CONN_OPEN,
    FW_CONN_CLOSED,
};

/**
 * struct fw_peer_conn_private - the part that only this file knows.
 * @pending_ops: async operations under way; the last one frees it
 */
struct fw_peer_conn_private {
    struct fw_peer_conn_opts opts;
    enum conn_state state;
    struct fw_peer_id self_id;
    uint8_t key_in[FW_PROOF_SIZE];
    uint8_t key_out[FW_PROOF_SIZE];
    uint64_t seq_in;
    uint64_t seq_out;
    GSocketConnection *io;
    GCancellable *cancel;
    GSource *handshake_timer;
    GByteArray *in;
    GByteArray *out;
    int writing;
    int pending_ops;
    guint8 buf[FW_READ_SIZE];
};

static void
free_conn(struct fw_peer_conn *c)
{
    struct fw_peer_conn_private *w = c->priv;

    g_clear_object(&w->io);
    g_object_unref(w->cancel);
    g_byte_array_unref(w->in);
    g_byte_array_unref(w->out);
    g_free(w);
    g_free(c);
}

static void
cancel_handshake_timer(struct fw_peer_conn_private *w)
{
    if (w->handshake_timer) {
        g_source_destroy(w->handshake_timer);
        g_source_unref(w->handshake_timer);
        w->handshake_timer = NULL;
    }
}

static gboolean
on_free(gpointer data)
{
    free_conn(data);
    return G_SOURCE_REMOVE;
}

/* Ends one async operation. */
static int
finish_operation(struct fw_peer_conn *c)
{
    c->priv->pending_ops--;
    if (c->priv->state != FW_CONN_CLOSED) {
        return 0;
    }
    if (c->priv->pending_ops == 0) {
        free_conn(c);
    }
    return 1;
}

void
Fw_PeerConn_Close(struct fw_peer_conn *c, const char *why)
{
    struct fw_peer_conn_private *w = c->priv;

    if (w->state == FW_CONN_CLOSED) {
        return;
    }
    w->state = FW_CONN_CLOSED;
    c->is_open = 0;
    cancel_handshake_timer(w);
    g_cancellable_cancel(w->cancel);
    if (w->io) {
        g_socket_shutdown(g_socket_connection_get_socket(w->io), TRUE, TRUE,
                          NULL);
    }
    w->opts.on_closed(w->opts.ctx, c, why);
    if (w->pending_ops == 0) {
        /* The caller may still look at it in this turn of the loop. */
        w->pending_ops = 1;
        g_idle_add(on_free, c);
    }
}

int
Fw_PeerConn_IsWriting(const struct fw_peer_conn *c)
{
    return c->priv->writing;
}

static void
on_written(GObject *stream, GAsyncResult *result, gpointer data)
{
    struct fw_peer_conn *c = data;
    struct fw_peer_conn_private *w = c->priv;
    gsize n = 0;
    int ok = g_output_stream_write_all_finish(G_OUTPUT_STREAM(stream), result,
                                              &n, NULL);

    w->writing = 0;
    if (finish_operation(c)) {
        return;
    }
    g_byte_array_set_size(w->out, 0);
    if (!ok) {
        Fw_PeerConn_Close(c, "write failed");
    }
    else if (w->state == FW_CONN_OPEN) {
        w->opts.on_written(w->opts.ctx, c, n);
    }
}

void
Fw_PeerConn_Flush(struct fw_peer_conn *c)
{
    struct fw_peer_conn_private *w = c->priv;

    if (w->out->len == 0 || w->writing) {
        return;
    }
    w->writing = 1;
    w->pending_ops++;
    g_output_stream_write_all_async(
        g_io_stream_get_output_stream(G_IO_STREAM(w->io)), w->out->data,
        w->out->len, G_PRIORITY_DEFAULT, w->cancel, on_written, c);
}

static void
append_length(GByteArray *out, size_t len)
{
    uint32_t be = GUINT32_TO_BE((uint32_t)len);

    g_byte_array_append(out, (const guint8 *)&be, FW_LENGTH_SIZE);
}

void
Fw_PeerConn_AppendFrame(struct fw_peer_conn *c, const uint8_t *data,
                        size_t len)
{
    struct fw_peer_conn_private *w = c->priv;
    uint8_t mac[FW_FRAME_MAC_SIZE];

    Fw_PeerAuth_Mac(w->key_out, w->seq_out++, data, len, mac);
    append_length(w->out, len + FW_FRAME_MAC_SIZE);
    g_byte_array_append(w->out, data, (guint)len);
    g_byte_array_append(w->out, mac, FW_FRAME_MAC_SIZE);
}

static void
send_hello(struct fw_peer_conn *c, const struct fw_peer_hello *hello)
{
    GByteArray *text = g_byte_array_new();

    Fw_PeerAuth_EncodeHello(text, hello);
    append_length(c->priv->out, text->len);
    g_byte_array_append(c->priv->out, text->data, text->len);
    g_byte_array_unref(text);
    Fw_PeerConn_Flush(c);
}

static void
derive(const struct fw_peer_conn *c, enum fw_peer_label label, uint8_t *out)
{
    const struct fw_peer_conn_private *w = c->priv;

    Fw_PeerAuth_Derive(w->opts.secret, label,
                       c->dialed ? &w->self_id : &c->peer,
                       c->dialed ? &c->peer : &w->self_id, out);
}

static int
verify_proof(const struct fw_peer_conn *c, enum fw_peer_label label,
             const uint8_t *proof)
{
    uint8_t want[FW_PROOF_SIZE];

    derive(c, label, want);
    return Fw_PeerAuth_EqualConstantTime(want, proof, FW_PROOF_SIZE);
}

static void
complete_handshake(struct fw_peer_conn *c)
{
    struct fw_peer_conn_private *w = c->priv;

    derive(c, FW_LABEL_DIALER_KEY, c->dialed ? w->key_out : w->key_in);
    derive(c, FW_LABEL_ACCEPTOR_KEY, c->dialed ? w->key_in : w->key_out);
    cancel_handshake_timer(w);
    w->state = FW_CONN_OPEN;
    c->is_open = 1;
    c->was_open = 1;
    w->opts.on_open(w->opts.ctx, c);
}

static const char *
handle_dial(struct fw_peer_conn *c, const uint8_t *data, size_t len)
{
    struct fw_peer_conn_private *w = c->priv;
    struct fw_peer_hello got;
    struct fw_peer_hello reply = {.kind = FW_HELLO_ACCEPT, .id = w->self_id};

    if (Fw_PeerAuth_DecodeHello(data, len, FW_HELLO_DIAL, &got)) {
        return "no greeting";
    }
    c->peer = got.id;
    if (strcmp(got.id.name, w->self_id.name) == 0) {
        return "bears this instance's own name";
    }
    derive(c, FW_LABEL_ACCEPTOR_PROOF, reply.proof);
    w->state = FW_CONN_WAIT_PROVE;
    send_hello(c, &reply);
    return NULL;
}

static const char *
handle_accept(struct fw_peer_conn *c, const uint8_t *data, size_t len)
{
    struct fw_peer_hello got;
    struct fw_peer_hello reply = {.kind = FW_HELLO_PROVE};

    if (Fw_PeerAuth_DecodeHello(data, len, FW_HELLO_ACCEPT, &got)) {
        return "no greeting";
    }
    c->peer = got.id;
    if (!verify_proof(c, FW_LABEL_ACCEPTOR_PROOF, got.proof)) {
        return "did not prove the secret";
    }
    derive(c, FW_LABEL_DIALER_PROOF, reply.proof);
    send_hello(c, &reply);
    complete_handshake(c);
    return NULL;
}

static const char *
handle_prove(struct fw_peer_conn *c, const uint8_t *data, size_t len)
{
    struct fw_peer_hello got;

    if (Fw_PeerAuth_DecodeHello(data, len, FW_HELLO_PROVE, &got) ||
        !verify_proof(c, FW_LABEL_DIALER_PROOF, got.proof)) {
        return "did not prove the secret";
    }
    complete_handshake(c);
    return NULL;
}

/*
 * A frame that was altered, repeated, left out or moved fits no key and
 * number; whoever sits on the way gains nothing but a closed connection.
 */
static const char *
handle_frame(struct fw_peer_conn *c, const uint8_t *data, size_t len)
{
    struct fw_peer_conn_private *w = c->priv;
    uint64_t number = w->seq_in++;
    uint8_t mac[FW_FRAME_MAC_SIZE];

    if (FW_FAULT("frame-number-ignored")) {
        number = 0;
    }
    if (len < FW_FRAME_MAC_SIZE) {
        return "short frame";
    }
    len -= FW_FRAME_MAC_SIZE;
    Fw_PeerAuth_Mac(w->key_in, number, data, len, mac);
    if (!Fw_PeerAuth_EqualConstantTime(mac, data + len, FW_FRAME_MAC_SIZE)) {
        return "frame not authentic";
    }
    return w->opts.on_frame(w->opts.ctx, c, data, len) ? "malformed message"
                                                       : NULL;
}

/* Return: NULL, or why the connection must close. */
static const char *
handle_message(struct fw_peer_conn *c, const uint8_t *data, size_t len)
{
    switch (c->priv->state) {
    case FW_CONN_WAIT_DIAL:
        return handle_dial(c, data, len);
    case FW_CONN_WAIT_ACCEPT:
        return handle_accept(c, data, len);
    case FW_CONN_WAIT_PROVE:
        return handle_prove(c, data, len);
    case FW_CONN_OPEN:
        return handle_frame(c, data, len);
    case FW_CONN_DIALING:
    case FW_CONN_CLOSED:
        break;
    }
    return "out of turn";
}

static size_t
message_size_max(const struct fw_peer_conn_private *w)
{
    return w->state == FW_CONN_OPEN
               ? FW_FRAME_CONFIG_MAX_BYTES + FW_FRAME_MAC_SIZE
               : FW_HELLO_MAX_BYTES;
}

/* Takes all whole frames; a callback may close the connection. */
static const char *
handle_input(struct fw_peer_conn *c)
{
    struct fw_peer_conn_private *w = c->priv;
    size_t at = 0;
    const char *why = NULL;

    while (!why && w->state != FW_CONN_CLOSED &&
           w->in->len - at >= FW_LENGTH_SIZE) {
        uint32_t be;
        size_t len;

        memcpy(&be, w->in->data + at, FW_LENGTH_SIZE);
        len = GUINT32_FROM_BE(be);
        if (len > message_size_max(w)) {
            return "frame too long";
        }
        if (w->in->len - at - FW_LENGTH_SIZE < len) {
            break;
        }
        why = handle_message(c, w->in->data + at + FW_LENGTH_SIZE, len);
        at += FW_LENGTH_SIZE + len;
    }
    g_byte_array_remove_range(w->in, 0, (guint)at);
    return why;
}

static void
read_more(struct fw_peer_conn *c);

static void
on_read(GObject *stream, GAsyncResult *result, gpointer data)
{
    struct fw_peer_conn *c = data;
    gssize n =
        g_input_stream_read_finish(G_INPUT_STREAM(stream), result, NULL);
    const char *why;

    if (c->priv->state != FW_CONN_CLOSED && n > 0) {
        g_byte_array_append(c->priv->in, c->priv->buf, (guint)n);
        why = handle_input(c);
    }
    else {
        why = n == 0 ? "closed by the peer" : "read failed";
    }
    if (why) {
        Fw_PeerConn_Close(c, why);
    }
    if (!finish_operation(c)) {
        read_more(c);
    }
}

static void
read_more(struct fw_peer_conn *c)
{
    struct fw_peer_conn_private *w = c->priv;

    w->pending_ops++;
    g_input_stream_read_async(g_io_stream_get_input_stream(G_IO_STREAM(w->io)),
                              w->buf, sizeof(w->buf), G_PRIORITY_DEFAULT,
                              w->cancel, on_read, c);
}

static gboolean
on_handshake_timeout(gpointer data)
{
    Fw_PeerConn_Close(data, "handshake too slow");
    return G_SOURCE_REMOVE;
}

static struct fw_peer_conn *
new_conn(const struct fw_peer_conn_opts *opts, int dialed)
{
    struct fw_peer_conn *c = g_new0(struct fw_peer_conn, 1);
    struct fw_peer_conn_private *w = g_new0(struct fw_peer_conn_private, 1);

    c->dialed = dialed;
    c->priv = w;
    Fw_List_Init(&c->link);
    w->opts = *opts;
    w->cancel = g_cancellable_new();
    w->in = g_byte_array_new();
    w->out = g_byte_array_new();
    w->handshake_timer =
        g_timeout_source_new((guint)(FW_HANDSHAKE_TIMEOUT_US / FW_MSEC));
    g_source_set_callback(w->handshake_timer, on_handshake_timeout, c, NULL);
    g_source_attach(w->handshake_timer, NULL);
    Fw_PeerAuth_InitId(opts->self->name, opts->self->boot, &w->self_id);
    return c;
}

static void
adopt_socket(struct fw_peer_conn_private *w, GSocketConnection *io)
{
    GSocket *sock = g_socket_connection_get_socket(io);

    w->io = g_object_ref(io);
    g_socket_set_keepalive(sock, TRUE);
    g_socket_set_option(sock, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
    g_socket_set_option(sock, IPPROTO_TCP, TCP_USER_TIMEOUT, FW_ACK_TIMEOUT_MS,
                        NULL);
}

static void
on_connected(GObject *client, GAsyncResult *result, gpointer data)
{
    struct fw_peer_conn *c = data;
    struct fw_peer_conn_private *w = c->priv;
    GSocketConnection *io =
        g_socket_client_connect_finish(G_SOCKET_CLIENT(client), result, NULL);
    struct fw_peer_hello hello = {.kind = FW_HELLO_DIAL, .id = w->self_id};

    if (io) {
        adopt_socket(w, io);
        g_object_unref(io);
    }
    if (finish_operation(c)) {
        return;
    }
    if (!io) {
        Fw_PeerConn_Close(c, "connect failed");
        return;
    }
    w->state = FW_CONN_WAIT_ACCEPT;
    send_hello(c, &hello);
    read_more(c);
}

struct fw_peer_conn *
Fw_PeerConn_Dial(const struct fw_peer_conn_opts *opts, const char *addr)
{
    GSocketAddress *at = Fw_Addr_Parse(addr);
    GSocketClient *client;
    struct fw_peer_conn *c;

    if (!at) {
        return NULL;
    }
    c = new_conn(opts, 1);
    client = g_socket_client_new();
    g_socket_client_set_enable_proxy(client, FALSE);
    c->priv->state = FW_CONN_DIALING;
    c->priv->pending_ops++;
    g_socket_client_connect_async(client, G_SOCKET_CONNECTABLE(at),
                                  c->priv->cancel, on_connected, c);
    g_object_unref(client);
    g_object_unref(at);
    return c;
}

struct fw_peer_conn *
Fw_PeerConn_Accept(const struct fw_peer_conn_opts *opts, GSocketConnection *io)
{
    struct fw_peer_conn *c = new_conn(opts, 0);

    c->priv->state = FW_CONN_WAIT_DIAL;
    adopt_socket(c->priv, io);
    read_more(c);
    return c;
}
