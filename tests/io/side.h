/* An instance as far as its peers see it. */
#ifndef FW_TESTS_IO_SIDE_H
#define FW_TESTS_IO_SIDE_H

#include "io/peer.h"
#include "tests/io/rig.h"

#define FW_PEER_FIXTURE_SECRET "0123456789abcdef"

/** struct side - one instance as far as its peers see it. */
struct side {
    struct rig_core core;
    struct fw_self self;
    struct fw_peers *peers;
    char addr[FW_URL_MAX];
};

/* @secret: 16 bytes */
void
Fw_PeerFixture_Start(struct side *s, const char *name, uint64_t boot,
                     const char *secret);
void
Fw_PeerFixture_Stop(struct side *s);
void
Fw_PeerFixture_SendPing(struct side *from, const struct side *to);
/* A part of the configuration's state, of @size bytes. */
void
Fw_PeerFixture_SendConfig(struct side *from, const struct side *to,
                          size_t size);
int64_t
Fw_PeerFixture_Metric(const struct side *s, const char *name);
/* Waits until it is @want at least. */
void
Fw_PeerFixture_ExpectMetric(const struct side *s, const char *name,
                            int64_t want);

#endif
