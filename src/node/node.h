/*
 * The core of one instance, without I/O: a step function that turns events
 * into actions. It opens no sockets and reads no clock, so that a run can be
 * replayed from its events.
 */
#ifndef FW_NODE_NODE_H
#define FW_NODE_NODE_H

#include "base/metrics.h"
#include "config/config.h"
#include "core/action.h"
#include "core/event.h"
#include "core/types.h"
#include "route/route.h"

/**
 * struct fw_node_opts - parameters of a node.
 * @seed: seed of the random number generators
 * @partitions: number of partitions of each role and of the idempotency
 *              records; must be the same on all instances
 * @prompt_tokens_max: larger prompts are refused
 * @max_tokens_default: output tokens when the caller sets no limit
 * @key_stale_us: a warning is logged when the configuration log was not read
 *                for this long, since withdrawn keys are accepted meanwhile
 * @drain_max_us: how long a drain waits for idempotency records to be written
 */
struct fw_node_opts {
    struct fw_self self;
    uint32_t seed;
    int partitions;
    int64_t prompt_tokens_max;
    int64_t max_tokens_default;
    int64_t key_stale_us;
    int64_t drain_max_us;
    struct fw_route_opts route;
};

/** struct fw_node - see node/node.c. */
struct fw_node;

struct fw_node *
Fw_Node_New(const struct fw_node_opts *opts, int64_t now_us);
void
Fw_Node_Free(struct fw_node *node);

/**
 * Fw_Node_Step - handles one event.
 * @now_us: monotonic time, not less than in the previous step
 * @out: initialised by the caller; resulting actions are appended, and
 *       @out->wake_us is set to the time of the next tick
 *
 * Return: 0, or -EINVAL for an unknown kind of event.
 */
int
Fw_Node_Step(struct fw_node *node, const struct fw_event *ev, int64_t now_us,
             struct fw_actions *out);

/* The configuration in force, empty at first; borrowed until the next step. */
const struct fw_config *
Fw_Node_Config(const struct fw_node *node);
struct fw_metrics *
Fw_Node_Metrics(struct fw_node *node);
/* Nonzero when the instance should receive requests: it is not draining, and
 * it knows the budget leaders and engines or has waited long enough for them.
 */
int
Fw_Node_Ready(const struct fw_node *node);

#endif
