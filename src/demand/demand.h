/*
 * What callers ask of each service by rank, and what waits, at this instance
 * and at the others. It holds numbers only: messages that carry them are
 * src/relay/demand_message.c, decisions that use them are in src/decide.
 */
#ifndef FW_DEMAND_DEMAND_H
#define FW_DEMAND_DEMAND_H

#include <stdint.h>

/* Ranks of requests: 0 is the most urgent. */
#define FW_RANKS 10

struct fw_demand;

/**
 * struct fw_demand_sum - demand for one service at one rank.
 * @asked: requests a second, a mean over about a second
 * @asked_tokens: KV cache tokens a second that these are expected to need; 0
 *     for plain services
 * @waiting: requests that are queued
 * @waiting_tokens: KV cache tokens that these are expected to need
 */
struct fw_demand_sum {
    double asked;
    double asked_tokens;
    int64_t waiting;
    int64_t waiting_tokens;
};

struct fw_demand *
Fw_Demand_New(void);
void
Fw_Demand_Free(struct fw_demand *d);
/*
 * A request arrived at this instance.
 * @service: hash of the service's name
 * @tokens: KV cache tokens that it is expected to need, 0 for a plain one
 */
void
Fw_Demand_NoteAsked(struct fw_demand *d, uint64_t service, int rank,
                    int64_t tokens, int64_t now_us);
/* @n requests began to wait here; negative when they no longer do. */
void
Fw_Demand_AddWaiting(struct fw_demand *d, uint64_t service, int rank, int n,
                     int64_t tokens);
/* Demand at this instance only. */
void
Fw_Demand_GetLocal(const struct fw_demand *d, uint64_t service, int rank,
                   int64_t now_us, struct fw_demand_sum *out);
/* Demand at this instance and at the others that have reported recently. */
void
Fw_Demand_GetTotal(const struct fw_demand *d, uint64_t service, int rank,
                   int64_t now_us, struct fw_demand_sum *out);

#endif
