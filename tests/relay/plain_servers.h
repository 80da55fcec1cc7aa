/*
 * Simulated plain servers for load tests: each has a few slots and a bounded
 * queue, and rejects requests when the queue is full.
 */
#ifndef FW_TESTS_RELAY_PLAIN_SERVERS_H
#define FW_TESTS_RELAY_PLAIN_SERVERS_H

#include "relay/relay.h"

#define FW_PLAIN_SERVERS 3
#define FW_PLAIN_SLOTS 6
#define FW_PLAIN_QUEUE 24
#define FW_PLAIN_WORK_MS 66
#define FW_PLAIN_OBJECTIVE_MS 300

/**
 * struct fw_plain_load - number of requests by outcome.
 * @shed: calls that the first server rejected although it had room
 */
struct fw_plain_load {
    int shed;
    int requests;
    int on_time;
    int late;
    int rejected;
};

/* Sends @per_s requests per second for @ms; the capacity is 272 per second. */
void
Fw_PlainLoad_Play(double per_s, int64_t ms, uint32_t seed,
                  struct fw_plain_load *out);
/* The same, while the first server rejects all that it gets. */
void
Fw_PlainLoad_PlayShedding(double per_s, int64_t ms, uint32_t seed,
                          struct fw_plain_load *out);

#endif
