/*
 * Plain servers played in memory for tests of load: a few slots, a queue, and
 * a refusal when that is full.
 */
#ifndef FW_TESTS_RELAY_DESKS_H
#define FW_TESTS_RELAY_DESKS_H

#include "relay/relay.h"

#define FW_DESKS 3
#define FW_DESK_SLOTS 6
#define FW_DESK_QUEUE 24
#define FW_DESK_WORK_MS 66
#define FW_DESK_OBJECTIVE_MS 300

/** struct fw_desk_result - what callers got. */
struct fw_desk_result {
    int asked;
    int on_time;
    int late;
    int refused;
};

/* @per_s requests a second for @ms; the servers bear 272 a second. */
void
Fw_Desks_Play(double per_s, int64_t ms, uint32_t seed,
              struct fw_desk_result *out);

#endif
