/*
 * Several relay cores side by side, with clocks of their own and messages
 * that are lost, late or cut off, for the seeded runs.
 */
#ifndef FW_EXPLORE_RELAY_FLEET_H
#define FW_EXPLORE_RELAY_FLEET_H

#include "explore/explore.h"
#include "relay/relay_internal.h"

#define FW_FLEET_MAX 128

/** struct fleet_site - one instance; @skew_us: its clock beside the run's. */
struct fleet_site {
    struct fw_relay *relay;
    struct fw_rl_acts acts;
    char name[FW_NAME_MAX];
    char addr[FW_URL_MAX];
    int64_t skew_us;
    int64_t frozen_until_us;
    uint64_t boot;
    int isolated;   /* receives from and reaches nobody */
    int partition;  /* of a split; messages stay on one */
    int n_received; /* messages that arrived */
};

/**
 * struct fleet - instances, and what goes between them.
 * @in_flight: messages under way, of struct fleet_msg
 */
struct fleet {
    struct fw_run *run;
    int n;
    struct fleet_site sites[FW_FLEET_MAX];
    struct fw_rl_rules *rules;
    int64_t now_us;
    GPtrArray *in_flight;
    int loss_pct;
    int delay_pct;
    int64_t delay_max_us;
    struct fw_rl_mail mail;
    int expires_members; /* members that were silent for long are dropped */
    int n_cross_domain;  /* messages between domains */
};

void
Fw_RelayFleet_Init(struct fleet *f, struct fw_run *run, int n,
                   struct fw_rl_rules *rules);
void
Fw_RelayFleet_Clear(struct fleet *f);
/* A number below @n from the run's source. */
int
Fw_RelayFleet_Below(struct fleet *f, int n);
/* The process is killed and starts again, knowing nothing. */
void
Fw_RelayFleet_Restart(struct fleet *f, int i);
int64_t
Fw_RelayFleet_Now(const struct fleet *f, int i);
/* Time goes on by @us in small steps: messages arrive, digests go out. */
void
Fw_RelayFleet_Advance(struct fleet *f, int64_t us);
/* Instance @i sends what is due, or wanted at once. */
void
Fw_RelayFleet_Send(struct fleet *f, int i);
/* Cuts the instances of one domain off from the others. */
void
Fw_RelayFleet_Partition(struct fleet *f);
/* Ends all cuts. */
void
Fw_RelayFleet_Heal(struct fleet *f);
int
Fw_RelayFleet_Runs(const struct fleet *f, int i);

#endif
