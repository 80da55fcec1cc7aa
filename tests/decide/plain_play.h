/*
 * A play of plain calls in overload: instances that decide alone, with views
 * that are late, and callers that retry once.
 */
#ifndef FW_TESTS_PLAIN_PLAY_H
#define FW_TESTS_PLAIN_PLAY_H

#include <stdint.h>

#define FW_PLAY_SERVERS 3
#define FW_PLAY_SLOTS 6
#define FW_PLAY_QUEUE 24

/** struct fw_play_calls - the calls of one service and their limits. */
struct fw_play_calls {
    int work_ms;
    int objective_ms;
    int deadline_ms;
};

/**
 * struct fw_plain_play - one run.
 * @forecast: uses the rule under test, and otherwise a bound on the queues
 * @age_ms: age of the other instances' loads, 0 if they are lost
 * @burst: load in the burst, relative to the normal load
 * @burst_ms: duration of the burst
 * @slow: factor by which one server is slower within the burst
 * @kills: half of the instances end within the burst
 * @crowd: part of the burst's calls that reach one instance
 * @outage_ms: time without any server before the burst
 * @by_load: servers are chosen by all instances' loads
 * @is_undeclared: repeats look like first attempts
 * @knows_speed: the slow server's speed is known, a second late
 */
struct fw_plain_play {
    const char *name;
    int forecast;
    int instances;
    int age_ms;
    double burst;
    int burst_ms;
    double slow;
    int kills;
    double crowd;
    int outage_ms;
    int by_load;
    int is_undeclared;
    int knows_speed;
    uint32_t seed;
};

/**
 * struct fw_play_result - callers by outcome.
 * @rejected: callers rejected at their first attempt
 * @rejected_twice: of these, at their second attempt as well
 * @lost: sent to a server and not answered by the deadline
 * @idle_permille: slots free in the burst while the service rejects calls
 * @low_permille: 5th percentile of the requests at the servers in the burst
 *     after its first second, relative to their places
 * @high_permille: 95th percentile
 */
struct fw_play_result {
    int asked;
    int in_time;
    int late;
    int rejected;
    int rejected_twice;
    int lost;
    int idle_permille;
    int low_permille;
    int high_permille;
};

/* Adds the outcome to @out. */
void
Fw_PlainPlay_Run(const struct fw_plain_play *p, const struct fw_play_calls *k,
                 struct fw_play_result *out);

#endif
