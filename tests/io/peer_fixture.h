/* Test fixture: the peer connections of an instance. */
#ifndef FW_TESTS_IO_PEER_FIXTURE_H
#define FW_TESTS_IO_PEER_FIXTURE_H

#include "io/peer.h"
#include "tests/io/rig.h"

#define FW_PEER_FIXTURE_SECRET "0123456789abcdef"

struct peer_fixture {
    struct rig_core core;
    struct fw_self self;
    struct fw_peers *peers;
    char addr[FW_URL_MAX];
};

/* @secret: 16 bytes */
void
Fw_PeerFixture_Start(struct peer_fixture *s, const char *name, uint64_t boot,
                     const char *secret);
void
Fw_PeerFixture_Stop(struct peer_fixture *s);
void
Fw_PeerFixture_SendPing(struct peer_fixture *from,
                        const struct peer_fixture *to);
/* Sends a configuration message with @size bytes of text. */
void
Fw_PeerFixture_SendConfig(struct peer_fixture *from,
                          const struct peer_fixture *to, size_t size);
int64_t
Fw_PeerFixture_Metric(const struct peer_fixture *s, const char *name);
/* Runs the main loop until the metric is at least @want. */
void
Fw_PeerFixture_ExpectMetric(const struct peer_fixture *s, const char *name,
                            int64_t want);

#endif
