#include "io/peer_auth.h"

#include <errno.h>
#include <string.h>
#include <sys/random.h>

#define FW_MAGIC "FW1"
#define FW_MAGIC_SIZE 3
#define FW_BOOT_SIZE 8

/* Challenges must be unpredictable, or a proof could be obtained early. */
static void
fill_challenge(uint8_t *out)
{
    size_t done = 0;

    while (done < FW_CHALLENGE_SIZE) {
        ssize_t n = getrandom(out + done, FW_CHALLENGE_SIZE - done, 0);

        if (n < 0 && errno != EINTR) {
            g_error("getrandom failed: %s", g_strerror(errno));
        }
        done += n > 0 ? (size_t)n : 0;
    }
}

void
Fw_PeerAuth_InitId(const char *name, uint64_t boot, struct fw_peer_id *id)
{
    memset(id, 0, sizeof(*id));
    g_strlcpy(id->name, name, sizeof(id->name));
    id->boot = boot;
    fill_challenge(id->challenge);
}

static void
append_id(GByteArray *out, const struct fw_peer_id *id)
{
    uint64_t boot = GUINT64_TO_BE(id->boot);
    guint8 len = (guint8)strlen(id->name);

    g_byte_array_append(out, (const guint8 *)&boot, FW_BOOT_SIZE);
    g_byte_array_append(out, id->challenge, FW_CHALLENGE_SIZE);
    g_byte_array_append(out, &len, 1);
    g_byte_array_append(out, (const guint8 *)id->name, len);
}

void
Fw_PeerAuth_EncodeHello(GByteArray *out, const struct fw_peer_hello *hello)
{
    guint8 kind = (guint8)hello->kind;

    g_byte_array_append(out, (const guint8 *)FW_MAGIC, FW_MAGIC_SIZE);
    g_byte_array_append(out, &kind, 1);
    if (hello->kind != FW_HELLO_PROVE) {
        append_id(out, &hello->id);
    }
    if (hello->kind != FW_HELLO_DIAL) {
        g_byte_array_append(out, hello->proof, FW_PROOF_SIZE);
    }
}

/** struct cursor - unread input. */
struct cursor {
    const uint8_t *at;
    size_t left;
};

static int
read_bytes(struct cursor *c, void *out, size_t n)
{
    if (c->left < n) {
        return -EBADMSG;
    }
    memcpy(out, c->at, n);
    c->at += n;
    c->left -= n;
    return 0;
}

static int
read_id(struct cursor *c, struct fw_peer_id *id)
{
    uint64_t boot;
    uint8_t len;

    if (read_bytes(c, &boot, sizeof(boot)) ||
        read_bytes(c, id->challenge, FW_CHALLENGE_SIZE) ||
        read_bytes(c, &len, 1) || len == 0 || len >= FW_NAME_MAX ||
        read_bytes(c, id->name, len)) {
        return -EBADMSG;
    }
    id->boot = GUINT64_FROM_BE(boot);
    id->name[len] = '\0';
    for (const char *p = id->name; p < id->name + len; p++) {
        if (!g_ascii_isalnum(*p) && *p != '-' && *p != '_') {
            return -EBADMSG;
        }
    }
    return 0;
}

int
Fw_PeerAuth_DecodeHello(const uint8_t *data, size_t len,
                        enum fw_peer_hello_kind kind,
                        struct fw_peer_hello *hello)
{
    struct cursor c = {.at = data, .left = len};
    char magic[FW_MAGIC_SIZE + 1];

    memset(hello, 0, sizeof(*hello));
    if (read_bytes(&c, magic, sizeof(magic)) ||
        memcmp(magic, FW_MAGIC, FW_MAGIC_SIZE) != 0 ||
        magic[FW_MAGIC_SIZE] != (char)kind) {
        return -EBADMSG;
    }
    hello->kind = kind;
    if (kind != FW_HELLO_PROVE && read_id(&c, &hello->id)) {
        return -EBADMSG;
    }
    if (kind != FW_HELLO_DIAL && read_bytes(&c, hello->proof, FW_PROOF_SIZE)) {
        return -EBADMSG;
    }
    return c.left == 0 ? 0 : -EBADMSG;
}

void
Fw_PeerAuth_Derive(GBytes *secret, enum fw_peer_label label,
                   const struct fw_peer_id *dialer,
                   const struct fw_peer_id *acceptor,
                   uint8_t out[FW_PROOF_SIZE])
{
    GByteArray *input = g_byte_array_new();
    guint8 tag = (guint8)label;
    gsize size = FW_PROOF_SIZE;
    gsize key_len;
    const guchar *key = g_bytes_get_data(secret, &key_len);
    GHmac *mac = g_hmac_new(G_CHECKSUM_SHA256, key, key_len);

    g_byte_array_append(input, &tag, 1);
    append_id(input, dialer);
    append_id(input, acceptor);
    g_hmac_update(mac, input->data, input->len);
    g_hmac_get_digest(mac, out, &size);
    g_hmac_unref(mac);
    g_byte_array_unref(input);
}

void
Fw_PeerAuth_Mac(const uint8_t key[FW_PROOF_SIZE], uint64_t seq,
                const uint8_t *data, size_t len,
                uint8_t out[FW_FRAME_MAC_SIZE])
{
    uint64_t be = GUINT64_TO_BE(seq);
    uint8_t full[FW_PROOF_SIZE];
    gsize size = sizeof(full);
    GHmac *mac = g_hmac_new(G_CHECKSUM_SHA256, key, FW_PROOF_SIZE);

    g_hmac_update(mac, (const guchar *)&be, sizeof(be));
    g_hmac_update(mac, data, (gssize)len);
    g_hmac_get_digest(mac, full, &size);
    g_hmac_unref(mac);
    memcpy(out, full, FW_FRAME_MAC_SIZE);
}

int
Fw_PeerAuth_EqualConstantTime(const uint8_t *a, const uint8_t *b, size_t len)
{
    unsigned diff = 0;

    for (size_t i = 0; i < len; i++) {
        diff |= (unsigned)(a[i] ^ b[i]);
    }
    return diff == 0;
}
