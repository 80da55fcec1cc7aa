/*
 * Plain servers played in memory for tests of load: a few slots, a queue, and
 * a refusal when that is full.
 */
#ifndef FW_TESTS_RELAY_PLAIN_SERVERS_H
#define FW_TESTS_RELAY_PLAIN_SERVERS_H

#include "relay/relay.h"

#define FW_PLAIN_SERVERS 3
#define FW_PLAIN_SLOTS 6
#define FW_PLAIN_QUEUE 24
#define FW_PLAIN_WORK_MS 66
#define FW_PLAIN_OBJECTIVE_MS 300

/** struct fw_plain_load - what callers got. */
struct fw_plain_load {
    int asked;
    int on_time;
    int late;
    int refused;
};

/* @per_s requests a second for @ms; the servers bear 272 a second. */
void
Fw_PlainLoad_Play(double per_s, int64_t ms, uint32_t seed,
                  struct fw_plain_load *out);

#endif
