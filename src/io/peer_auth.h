/*
 * How two instances prove the fleet's secret to each other, and the
 * authentication of each frame afterwards. No sockets.
 *
 *   dialer   -> acceptor  "FW1d" identity
 *   acceptor -> dialer    "FW1a" identity proof
 *   dialer   -> acceptor  "FW1p" proof
 *
 * An identity is boot (8 bytes), challenge, length of the name, name. A proof
 * is an HMAC-SHA256 under the secret over a label and both identities, so
 * neither can be used for the other side or for another connection. Fixed
 * fields, so that no decoder sees bytes of a stranger.
 */
#ifndef FW_IO_PEER_AUTH_H
#define FW_IO_PEER_AUTH_H

#include <glib.h>
#include <stdint.h>

#include "base/limits.h"

#define FW_CHALLENGE_SIZE 16
#define FW_PROOF_SIZE 32
#define FW_FRAME_MAC_SIZE 12
#define FW_HELLO_MAX_BYTES 160 /* longest frame before a peer is proven */

/** struct fw_peer_id - what a side says about itself. */
struct fw_peer_id {
    char name[FW_NAME_MAX];
    uint64_t boot;
    uint8_t challenge[FW_CHALLENGE_SIZE];
};

/** enum fw_peer_hello_kind - the three messages of the handshake. */
enum fw_peer_hello_kind {
    FW_HELLO_DIAL = 'd',
    FW_HELLO_ACCEPT = 'a',
    FW_HELLO_PROVE = 'p',
};

/** struct fw_peer_hello - @id is not in PROVE, @proof not in DIAL. */
struct fw_peer_hello {
    enum fw_peer_hello_kind kind;
    struct fw_peer_id id;
    uint8_t proof[FW_PROOF_SIZE];
};

/** enum fw_peer_label - what is derived from the secret. */
enum fw_peer_label {
    FW_LABEL_ACCEPTOR_PROOF,
    FW_LABEL_DIALER_PROOF,
    FW_LABEL_ACCEPTOR_KEY, /* of frames that the acceptor sends */
    FW_LABEL_DIALER_KEY,
};

/* Fills in @id with a new challenge. */
void
Fw_PeerAuth_InitId(const char *name, uint64_t boot, struct fw_peer_id *id);
void
Fw_PeerAuth_EncodeHello(GByteArray *out, const struct fw_peer_hello *hello);
/* Return: 0, or -EBADMSG when it is not @kind or not well formed. */
int
Fw_PeerAuth_DecodeHello(const uint8_t *data, size_t len,
                        enum fw_peer_hello_kind kind,
                        struct fw_peer_hello *hello);
void
Fw_PeerAuth_Derive(GBytes *secret, enum fw_peer_label label,
                   const struct fw_peer_id *dialer,
                   const struct fw_peer_id *acceptor,
                   uint8_t out[FW_PROOF_SIZE]);
/* @number: of the frame on its connection and direction, from 0. */
void
Fw_PeerAuth_Mac(const uint8_t key[FW_PROOF_SIZE], uint64_t number,
                const uint8_t *data, size_t len,
                uint8_t out[FW_FRAME_MAC_SIZE]);
/* Constant time: how long it takes tells nothing about the right value. */
int
Fw_PeerAuth_EqualConstantTime(const uint8_t *a, const uint8_t *b, size_t len);

#endif
