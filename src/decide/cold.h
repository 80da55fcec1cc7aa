/*
 * Admission to cold servers. A server that has just started crashes if all
 * instances together send it more than a few requests a second.
 *
 * Each instance may use only some of the cold servers, chosen by a hash, and
 * may send each of those only a few requests in any second. The bound holds
 * without messages between the instances, also during a partition.
 */
#ifndef FW_DECIDE_COLD_H
#define FW_DECIDE_COLD_H

#include <stdint.h>

/**
 * struct fw_cold_share - an instance's part of a cold server's limit.
 * @per_second: requests that it may send to a server in any second
 * @probability: part of the instances that may use a given cold server
 */
struct fw_cold_share {
    int per_second;
    double probability;
};

/**
 * Fw_ColdShare_Get - shares that keep all instances together within @limit.
 * @limit: requests a second that a cold server tolerates
 * @instances: size of the fleet, including instances that may be cut off
 * @batch: number of requests that an instance can only send together
 */
struct fw_cold_share
Fw_ColdShare_Get(double limit, int instances, int batch);
/* Whether the instance may use a cold server; @hash: of both, uniform. */
int
Fw_ColdShare_Includes(const struct fw_cold_share *share, uint64_t hash);

#endif
