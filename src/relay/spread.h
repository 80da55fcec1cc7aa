/*
 * How a message reaches all instances: directly those of the same failure
 * domain, and one of each other domain, which passes it on to its own.
 *
 * Sent directly, each message crosses between domains once for each instance
 * there, and what instances tell each other is most of what crosses at all.
 */
#ifndef FW_RELAY_SPREAD_H
#define FW_RELAY_SPREAD_H

#include "relay/relay.h"

/**
 * struct fw_rl_envelope - a message that came by way of another instance.
 * @pass_on: it is to go to the others of this domain
 * @addr: of the instance that wrote it; empty when that sent it itself
 * @data, @len: the message, in what was received
 */
struct fw_rl_envelope {
    int pass_on;
    char addr[FW_URL_MAX];
    const void *data;
    size_t len;
};

/* Nonzero when what was received is an envelope; else it is the message. */
int
Fw_Envelope_Open(const void *data, size_t len, struct fw_rl_envelope *out);
/* Puts the message of the instance at @addr into one; replaces @out. */
void
Fw_Envelope_Write(int pass_on, const char *addr, const void *data, size_t len,
                  GByteArray *out);

/**
 * Fw_Relay_Routes - where a message for all instances goes.
 * @direct: addresses that get it as it is
 * @through: addresses that get it in an envelope, to pass on
 */
void
Fw_Relay_Routes(struct fw_relay *r, int64_t now_us, GPtrArray *direct,
                GPtrArray *through);
/* Where one goes that came in an envelope from the instance at @addr. */
void
Fw_Relay_PassOn(const struct fw_relay *r, const char *addr, GPtrArray *to);

#endif
