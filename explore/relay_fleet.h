/*
 * A simulated fleet for seeded exploration: relay cores with separate clocks,
 * whose messages are lost, delayed or blocked by partitions.
 */
#ifndef FW_EXPLORE_RELAY_FLEET_H
#define FW_EXPLORE_RELAY_FLEET_H

#include "explore/explore.h"
#include "relay/relay_internal.h"

#define FW_FLEET_MAX 300

/**
 * struct fleet_instance - one instance.
 * @skew_us: offset of its clock from the run's
 * @frozen_until_us: it runs from this time of the run on
 * @boot: number of its process lifetime
 * @isolated: sends and receives no messages
 * @partition: messages pass only between instances of the same partition
 * @n_received: messages received
 */
struct fleet_instance {
    struct fw_relay *relay;
    struct fw_rl_actions acts;
    char name[FW_NAME_MAX];
    char addr[FW_URL_MAX];
    int64_t skew_us;
    int64_t frozen_until_us;
    uint64_t boot;
    int isolated;
    int partition;
    int n_received;
};

/**
 * struct fleet - the instances and the messages between them.
 * @n: number of @instances in use
 * @now_us: time of the run
 * @in_flight: messages sent and not received, of struct datagram
 * @loss_pct, @delay_pct: percentage of messages that are lost, or delayed by
 *     up to @delay_max_us
 * @outbox: messages of the instance that is sending
 * @expires_members: instances remove members that have expired, and publish
 *     in the store, which all of them reach, which ones they see
 * @published: records of the store, of struct presence_record
 * @n_cross_domain: messages received from another failure domain
 * @retry_extra: fixed part of the retry budget, for instances that start
 */
struct fleet {
    struct fw_run *run;
    int n;
    struct fleet_instance instances[FW_FLEET_MAX];
    struct fw_rl_rules *rules;
    int64_t now_us;
    GPtrArray *in_flight;
    int loss_pct;
    int delay_pct;
    int64_t delay_max_us;
    struct fw_rl_outbox outbox;
    int expires_members;
    GPtrArray *published;
    int n_cross_domain;
    int64_t retry_extra;
};

void
Fw_RelayFleet_Init(struct fleet *fleet, struct fw_run *run, int n,
                   struct fw_rl_rules *rules);
void
Fw_RelayFleet_Clear(struct fleet *fleet);
/* A size from 3 to FW_FLEET_MAX; large fleets take long, and are rare. */
int
Fw_RelayFleet_DrawSize(struct fw_run *run);
/*
 * Routes to the service "plain", /read/ (idempotent) and /order/ (runs at most
 * once), and /gen/ to the engines of "llm". No key is needed.
 */
struct fw_rl_rules *
Fw_RelayFleet_NewRules(int resumable);
/* A random number from 0 to @n - 1, from the run's generator. */
int
Fw_RelayFleet_RandBelow(struct fleet *fleet, int n);
/* Kills the instance and starts it without state. */
void
Fw_RelayFleet_Restart(struct fleet *fleet, int i);
/* The time by the clock of instance @i. */
int64_t
Fw_RelayFleet_Now(const struct fleet *fleet, int i);
/* Advances time by @us in small steps, delivering and sending messages. */
void
Fw_RelayFleet_Advance(struct fleet *fleet, int64_t us);
/* Lets instance @i send the messages that are due, unless it is frozen. */
void
Fw_RelayFleet_Send(struct fleet *fleet, int i);
/* Partitions a random failure domain from the others. */
void
Fw_RelayFleet_Partition(struct fleet *fleet);
/* Ends all partitions and isolation. */
void
Fw_RelayFleet_Heal(struct fleet *fleet);
/* Is instance @i not frozen? */
int
Fw_RelayFleet_IsRunning(const struct fleet *fleet, int i);

#endif
