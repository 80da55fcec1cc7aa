/*
 * Relays of several instances that exchange messages, three plain servers,
 * and callers that retry once after Retry-After at any instance.
 */
#ifndef FW_TESTS_RELAY_PLAIN_FLEET_H
#define FW_TESTS_RELAY_PLAIN_FLEET_H

#include <stdint.h>

/**
 * struct fw_fleet_plan - one run.
 * @forecast: [policy] admission
 * @burst: load in the burst, relative to half of the servers' capacity
 * @slow: factor by which one server is slower in the burst
 * @urgent_permille: part of the calls that has the more urgent rank
 * @cut_off: no message is delivered
 */
struct fw_fleet_plan {
    int forecast;
    int instances;
    int work_ms;
    int objective_ms;
    int deadline_ms;
    double burst;
    double slow;
    int urgent_permille;
    int cut_off;
    uint32_t seed;
};

/**
 * struct fw_fleet_result - callers by outcome, of the less urgent rank and of
 * the more urgent one.
 * @too_late: rejected with a Retry-After beyond a third of their time
 * @ran_twice: calls that two servers ran
 */
struct fw_fleet_result {
    int asked[2];
    int in_time[2];
    int late[2];
    int rejected[2];
    int rejected_twice[2];
    int too_late;
    int ran_twice;
};

/* Adds the outcome to @out. */
void
Fw_PlainFleet_Play(const struct fw_fleet_plan *plan,
                   struct fw_fleet_result *out);

#endif
