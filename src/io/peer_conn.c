#include "io/peer_conn.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#include "base/fault.h"
#include "io/addr.h"

#define FW_LENGTH_SIZE 4
#define FW_READ_CHUNK_BYTES 8192
/* Closes a connection whose sent data is not acknowledged for so long. */
#define FW_ACK_TIMEOUT_MS 5000

/** enum conn_state - progress of a connection. */
enum conn_state {
    FW_CONN_DIALING,
    FW_CONN_WAIT_DIAL,   /* acceptor: waiting for FW_HELLO_DIAL */
    FW_CONN_WAIT_ACCEPT, /* dialer: waiting for FW_HELLO_ACCEPT */
    FW_CONN_WAIT_PROVE,  /* acceptor: waiting for FW_HELLO_PROVE */
    FW_CONN_OPEN,
    FW_CONN_CLOSED,
};

/**
 * struct fw_peer_conn_private - private part of a connection.
 * @seq_in, @seq_out: sequence number of the next frame in each direction
 * @read_buf: received data not yet processed
 * @write_buf: data being written or to be written
 * @pending_ops: asynchronous operations in progress; a closed connection is
 *               freed when the last one ends
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
    GByteArray *read_buf;
    GByteArray *write_buf;
    int writing;
    int pending_ops;
    guint8 read_chunk[FW_READ_CHUNK_BYTES];
};

static void
free_conn(struct fw_peer_conn *c)
{
    struct fw_peer_conn_private *priv = c->priv;

    g_clear_object(&priv->io);
    g_object_unref(priv->cancel);
    g_byte_array_unref(priv->read_buf);
    g_byte_array_unref(priv->write_buf);
    g_free(priv);
    g_free(c);
}

static void
cancel_handshake_timer(struct fw_peer_conn_private *priv)
{
    if (priv->handshake_timer) {
        g_source_destroy(priv->handshake_timer);
        g_source_unref(priv->handshake_timer);
        priv->handshake_timer = NULL;
    }
}

static gboolean
on_idle_free(gpointer data)
{
    free_conn(data);
    return G_SOURCE_REMOVE;
}

/*
 * Records the end of an asynchronous operation. Returns nonzero when the
 * connection is closed, and possibly freed.
 */
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
Fw_PeerConn_Close(struct fw_peer_conn *c, const char *reason)
{
    struct fw_peer_conn_private *priv = c->priv;

    if (priv->state == FW_CONN_CLOSED) {
        return;
    }
    priv->state = FW_CONN_CLOSED;
    c->is_open = 0;
    cancel_handshake_timer(priv);
    g_cancellable_cancel(priv->cancel);
    if (priv->io) {
        g_socket_shutdown(g_socket_connection_get_socket(priv->io), TRUE, TRUE,
                          NULL);
    }
    priv->opts.on_closed(priv->opts.ctx, c, reason);
    if (priv->pending_ops == 0) {
        /* Deferred, since the caller may still access the connection. */
        priv->pending_ops = 1;
        g_idle_add(on_idle_free, c);
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
    struct fw_peer_conn_private *priv = c->priv;
    gsize n = 0;
    int ok = g_output_stream_write_all_finish(G_OUTPUT_STREAM(stream), result,
                                              &n, NULL);

    priv->writing = 0;
    if (finish_operation(c)) {
        return;
    }
    g_byte_array_set_size(priv->write_buf, 0);
    if (!ok) {
        Fw_PeerConn_Close(c, "write failed");
    }
    else if (priv->state == FW_CONN_OPEN) {
        priv->opts.on_written(priv->opts.ctx, c, n);
    }
}

void
Fw_PeerConn_Flush(struct fw_peer_conn *c)
{
    struct fw_peer_conn_private *priv = c->priv;

    if (priv->write_buf->len == 0 || priv->writing) {
        return;
    }
    priv->writing = 1;
    priv->pending_ops++;
    g_output_stream_write_all_async(
        g_io_stream_get_output_stream(G_IO_STREAM(priv->io)),
        priv->write_buf->data, priv->write_buf->len, G_PRIORITY_DEFAULT,
        priv->cancel, on_written, c);
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
    struct fw_peer_conn_private *priv = c->priv;
    uint8_t mac[FW_FRAME_MAC_SIZE];

    Fw_PeerAuth_Mac(priv->key_out, priv->seq_out++, data, len, mac);
    append_length(priv->write_buf, len + FW_FRAME_MAC_SIZE);
    g_byte_array_append(priv->write_buf, data, (guint)len);
    g_byte_array_append(priv->write_buf, mac, FW_FRAME_MAC_SIZE);
}

static void
send_hello(struct fw_peer_conn *c, const struct fw_peer_hello *hello)
{
    GByteArray *text = g_byte_array_new();

    Fw_PeerAuth_EncodeHello(text, hello);
    append_length(c->priv->write_buf, text->len);
    g_byte_array_append(c->priv->write_buf, text->data, text->len);
    g_byte_array_unref(text);
    Fw_PeerConn_Flush(c);
}

static void
derive(const struct fw_peer_conn *c, enum fw_peer_label label, uint8_t *out)
{
    const struct fw_peer_conn_private *priv = c->priv;

    Fw_PeerAuth_Derive(priv->opts.secret, label,
                       c->dialed ? &priv->self_id : &c->peer,
                       c->dialed ? &c->peer : &priv->self_id, out);
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
    struct fw_peer_conn_private *priv = c->priv;

    derive(c, FW_LABEL_DIALER_KEY, c->dialed ? priv->key_out : priv->key_in);
    derive(c, FW_LABEL_ACCEPTOR_KEY, c->dialed ? priv->key_in : priv->key_out);
    cancel_handshake_timer(priv);
    priv->state = FW_CONN_OPEN;
    c->is_open = 1;
    c->was_open = 1;
    priv->opts.on_open(priv->opts.ctx, c);
}

static const char *
handle_dial(struct fw_peer_conn *c, const uint8_t *data, size_t len)
{
    struct fw_peer_conn_private *priv = c->priv;
    struct fw_peer_hello received;
    struct fw_peer_hello reply = {.kind = FW_HELLO_ACCEPT,
                                  .id = priv->self_id};

    if (Fw_PeerAuth_DecodeHello(data, len, FW_HELLO_DIAL, &received)) {
        return "invalid handshake message";
    }
    c->peer = received.id;
    if (strcmp(received.id.name, priv->self_id.name) == 0) {
        return "peer has this instance's name";
    }
    derive(c, FW_LABEL_ACCEPTOR_PROOF, reply.proof);
    priv->state = FW_CONN_WAIT_PROVE;
    send_hello(c, &reply);
    return NULL;
}

static const char *
handle_accept(struct fw_peer_conn *c, const uint8_t *data, size_t len)
{
    struct fw_peer_hello received;
    struct fw_peer_hello reply = {.kind = FW_HELLO_PROVE};

    if (Fw_PeerAuth_DecodeHello(data, len, FW_HELLO_ACCEPT, &received)) {
        return "invalid handshake message";
    }
    c->peer = received.id;
    if (!verify_proof(c, FW_LABEL_ACCEPTOR_PROOF, received.proof)) {
        return "authentication failed";
    }
    derive(c, FW_LABEL_DIALER_PROOF, reply.proof);
    send_hello(c, &reply);
    complete_handshake(c);
    return NULL;
}

static const char *
handle_prove(struct fw_peer_conn *c, const uint8_t *data, size_t len)
{
    struct fw_peer_hello received;

    if (Fw_PeerAuth_DecodeHello(data, len, FW_HELLO_PROVE, &received) ||
        !verify_proof(c, FW_LABEL_DIALER_PROOF, received.proof)) {
        return "authentication failed";
    }
    complete_handshake(c);
    return NULL;
}

/*
 * The MAC covers the sequence number, so altered, replayed, missing and
 * reordered frames are detected.
 */
static const char *
handle_frame(struct fw_peer_conn *c, const uint8_t *data, size_t len)
{
    struct fw_peer_conn_private *priv = c->priv;
    uint64_t seq = priv->seq_in++;
    uint8_t mac[FW_FRAME_MAC_SIZE];

    if (FW_FAULT("frame-number-ignored")) {
        seq = 0;
    }
    if (len < FW_FRAME_MAC_SIZE) {
        return "frame too short";
    }
    len -= FW_FRAME_MAC_SIZE;
    Fw_PeerAuth_Mac(priv->key_in, seq, data, len, mac);
    if (!Fw_PeerAuth_EqualConstantTime(mac, data + len, FW_FRAME_MAC_SIZE)) {
        return "frame authentication failed";
    }
    return priv->opts.on_frame(priv->opts.ctx, c, data, len)
               ? "malformed message"
               : NULL;
}

/* Returns NULL, or the reason to close the connection. */
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
    return "unexpected message";
}

static size_t
message_size_max(const struct fw_peer_conn_private *priv)
{
    return priv->state == FW_CONN_OPEN
               ? FW_FRAME_CONFIG_MAX_BYTES + FW_FRAME_MAC_SIZE
               : FW_HELLO_MAX_BYTES;
}

/*
 * Processes all complete messages; a callback may close the connection.
 * Returns NULL, or the reason to close it.
 */
static const char *
handle_input(struct fw_peer_conn *c)
{
    struct fw_peer_conn_private *priv = c->priv;
    size_t offset = 0;
    const char *reason = NULL;

    while (!reason && priv->state != FW_CONN_CLOSED &&
           priv->read_buf->len - offset >= FW_LENGTH_SIZE) {
        uint32_t be;
        size_t len;

        memcpy(&be, priv->read_buf->data + offset, FW_LENGTH_SIZE);
        len = GUINT32_FROM_BE(be);
        if (len > message_size_max(priv)) {
            return "frame too long";
        }
        if (priv->read_buf->len - offset - FW_LENGTH_SIZE < len) {
            break;
        }
        reason = handle_message(
            c, priv->read_buf->data + offset + FW_LENGTH_SIZE, len);
        offset += FW_LENGTH_SIZE + len;
    }
    g_byte_array_remove_range(priv->read_buf, 0, (guint)offset);
    return reason;
}

static void
read_more(struct fw_peer_conn *c);

static void
on_read(GObject *stream, GAsyncResult *result, gpointer data)
{
    struct fw_peer_conn *c = data;
    gssize n =
        g_input_stream_read_finish(G_INPUT_STREAM(stream), result, NULL);
    const char *reason;

    if (c->priv->state != FW_CONN_CLOSED && n > 0) {
        g_byte_array_append(c->priv->read_buf, c->priv->read_chunk, (guint)n);
        reason = handle_input(c);
    }
    else {
        reason = n == 0 ? "closed by the peer" : "read failed";
    }
    if (reason) {
        Fw_PeerConn_Close(c, reason);
    }
    if (!finish_operation(c)) {
        read_more(c);
    }
}

static void
read_more(struct fw_peer_conn *c)
{
    struct fw_peer_conn_private *priv = c->priv;

    priv->pending_ops++;
    g_input_stream_read_async(
        g_io_stream_get_input_stream(G_IO_STREAM(priv->io)), priv->read_chunk,
        sizeof(priv->read_chunk), G_PRIORITY_DEFAULT, priv->cancel, on_read,
        c);
}

static gboolean
on_handshake_timeout(gpointer data)
{
    Fw_PeerConn_Close(data, "handshake timed out");
    return G_SOURCE_REMOVE;
}

static struct fw_peer_conn *
new_conn(const struct fw_peer_conn_opts *opts, int dialed)
{
    struct fw_peer_conn *c = g_new0(struct fw_peer_conn, 1);
    struct fw_peer_conn_private *priv = g_new0(struct fw_peer_conn_private, 1);

    c->dialed = dialed;
    c->priv = priv;
    Fw_List_Init(&c->link);
    priv->opts = *opts;
    priv->cancel = g_cancellable_new();
    priv->read_buf = g_byte_array_new();
    priv->write_buf = g_byte_array_new();
    priv->handshake_timer =
        g_timeout_source_new((guint)(FW_HANDSHAKE_TIMEOUT_US / FW_MSEC));
    g_source_set_callback(priv->handshake_timer, on_handshake_timeout, c,
                          NULL);
    g_source_attach(priv->handshake_timer, NULL);
    Fw_PeerAuth_InitId(opts->self->name, opts->self->boot, &priv->self_id);
    return c;
}

static void
adopt_socket(struct fw_peer_conn_private *priv, GSocketConnection *io)
{
    GSocket *sock = g_socket_connection_get_socket(io);

    priv->io = g_object_ref(io);
    g_socket_set_keepalive(sock, TRUE);
    g_socket_set_option(sock, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
    g_socket_set_option(sock, IPPROTO_TCP, TCP_USER_TIMEOUT, FW_ACK_TIMEOUT_MS,
                        NULL);
}

static void
on_connected(GObject *client, GAsyncResult *result, gpointer data)
{
    struct fw_peer_conn *c = data;
    struct fw_peer_conn_private *priv = c->priv;
    GSocketConnection *io =
        g_socket_client_connect_finish(G_SOCKET_CLIENT(client), result, NULL);
    struct fw_peer_hello hello = {.kind = FW_HELLO_DIAL, .id = priv->self_id};

    if (io) {
        adopt_socket(priv, io);
        g_object_unref(io);
    }
    if (finish_operation(c)) {
        return;
    }
    if (!io) {
        Fw_PeerConn_Close(c, "connect failed");
        return;
    }
    priv->state = FW_CONN_WAIT_ACCEPT;
    send_hello(c, &hello);
    read_more(c);
}

struct fw_peer_conn *
Fw_PeerConn_Dial(const struct fw_peer_conn_opts *opts, const char *addr)
{
    GSocketAddress *address = Fw_Addr_Parse(addr);
    GSocketClient *client;
    struct fw_peer_conn *c;

    if (!address) {
        return NULL;
    }
    c = new_conn(opts, 1);
    client = g_socket_client_new();
    g_socket_client_set_enable_proxy(client, FALSE);
    c->priv->state = FW_CONN_DIALING;
    c->priv->pending_ops++;
    g_socket_client_connect_async(client, G_SOCKET_CONNECTABLE(address),
                                  c->priv->cancel, on_connected, c);
    g_object_unref(client);
    g_object_unref(address);
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
