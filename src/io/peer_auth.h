/*
 * Mutual authentication of two instances by the fleet's shared secret, and
 * message authentication of the frames that follow. Independent of sockets.
 *
 *   dialer   -> acceptor  "FW1d" identity
 *   acceptor -> dialer    "FW1a" identity proof
 *   dialer   -> acceptor  "FW1p" proof
 *
 * An identity consists of boot (8 bytes, big-endian), challenge, length of the
 * name (1 byte) and name. A proof is an HMAC-SHA256 under the secret over a
 * label and both identities, so it is valid only for its sender and
 * connection. The layout is fixed, so no msgpack decoder handles
 * unauthenticated input.
 */
#ifndef FW_IO_PEER_AUTH_H
#define FW_IO_PEER_AUTH_H

#include <glib.h>
#include <stdint.h>

#include "base/limits.h"

#define FW_CHALLENGE_SIZE 16
#define FW_PROOF_SIZE 32
#define FW_FRAME_MAC_SIZE 12
#define FW_HELLO_MAX_BYTES 160 /* longest message of the handshake */

/**
 * struct fw_peer_id - identity of one side of a connection.
 * @boot: identifies the process, see struct fw_self
 * @challenge: random, new for each connection
 */
struct fw_peer_id {
    char name[FW_NAME_MAX];
    uint64_t boot;
    uint8_t challenge[FW_CHALLENGE_SIZE];
};

/** enum fw_peer_hello_kind - the three messages of the handshake. */
enum fw_peer_hello_kind {
    FW_HELLO_DIAL = 'd',   /* dialer: identity */
    FW_HELLO_ACCEPT = 'a', /* acceptor: identity and proof */
    FW_HELLO_PROVE = 'p',  /* dialer: proof */
};

/**
 * struct fw_peer_hello - a message of the handshake.
 * @id: unused in FW_HELLO_PROVE
 * @proof: unused in FW_HELLO_DIAL
 */
struct fw_peer_hello {
    enum fw_peer_hello_kind kind;
    struct fw_peer_id id;
    uint8_t proof[FW_PROOF_SIZE];
};

/** enum fw_peer_label - purpose of a value derived from the secret. */
enum fw_peer_label {
    FW_LABEL_ACCEPTOR_PROOF,
    FW_LABEL_DIALER_PROOF,
    FW_LABEL_ACCEPTOR_KEY, /* MAC key of frames that the acceptor sends */
    FW_LABEL_DIALER_KEY,
};

/* Sets all fields of @id, with a new challenge. */
void
Fw_PeerAuth_InitId(const char *name, uint64_t boot, struct fw_peer_id *id);
/* Appends the encoded message to @out. */
void
Fw_PeerAuth_EncodeHello(GByteArray *out, const struct fw_peer_hello *hello);
/* Returns 0, or -EBADMSG when the message is malformed or not of @kind. */
int
Fw_PeerAuth_DecodeHello(const uint8_t *data, size_t len,
                        enum fw_peer_hello_kind kind,
                        struct fw_peer_hello *hello);
/* Derives the proof or key for @label from the secret and both identities. */
void
Fw_PeerAuth_Derive(GBytes *secret, enum fw_peer_label label,
                   const struct fw_peer_id *dialer,
                   const struct fw_peer_id *acceptor,
                   uint8_t out[FW_PROOF_SIZE]);
/*
 * Computes the truncated HMAC-SHA256 of a frame.
 * @seq: sequence number of the frame in its connection and direction, from 0
 */
void
Fw_PeerAuth_Mac(const uint8_t key[FW_PROOF_SIZE], uint64_t seq,
                const uint8_t *data, size_t len,
                uint8_t out[FW_FRAME_MAC_SIZE]);
/* Compares in constant time, so that timing reveals nothing of the value. */
int
Fw_PeerAuth_EqualConstantTime(const uint8_t *a, const uint8_t *b, size_t len);

#endif
