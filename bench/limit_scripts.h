/* Scripts of faults that bench_limit runs with each scheme. */
#ifndef FW_BENCH_LIMIT_SCRIPTS_H
#define FW_BENCH_LIMIT_SCRIPTS_H

#define INSTANCES 9
#define EVENTS_MAX 24

/** enum fw_op - a scripted event; @arg is an instance unless noted. */
enum fw_op {
    FW_OP_END, /* no more events */
    FW_OP_KILL_LEADER,
    FW_OP_PAUSE_LEADER, /* for @arg seconds */
    FW_OP_PARTITION,    /* the first @arg instances from the others */
    FW_OP_HEAL,         /* restores all links */
    FW_OP_LOG_DOWN,
    FW_OP_LOG_UP,
    FW_OP_DRAIN,
    FW_OP_KILL,
    FW_OP_START,
};

struct event {
    int time_s;
    enum fw_op op;
    int arg;
};

/**
 * struct script - a run of a scheme.
 * @demand: requested tokens as a multiple of the teams' rates
 * @initial_instances: number of instances that run from the start
 */
struct script {
    const char *name;
    int duration_s;
    double demand;
    int initial_instances;
    int message_loss_pct;
    struct event events[EVENTS_MAX];
};

static const struct script scripts[] = {
    {"calm", 600, 0.8, INSTANCES, 0, {{0, FW_OP_END, 0}}},
    {"five times the rate", 600, 5.0, INSTANCES, 0, {{0, FW_OP_END, 0}}},
    {"split 4 from 5, busy",
     600,
     5.0,
     INSTANCES,
     0,
     {{300, FW_OP_PARTITION, 4}, {360, FW_OP_HEAL, 0}}},
    {"leader killed", 1260, 0.8, INSTANCES, 0, {{300, FW_OP_KILL_LEADER, 0}}},
    {"leader paused 60 s",
     600,
     0.8,
     INSTANCES,
     0,
     {{300, FW_OP_PAUSE_LEADER, 60}}},
    {"split 4 from 5, 60 s",
     600,
     0.8,
     INSTANCES,
     0,
     {{300, FW_OP_PARTITION, 4}, {360, FW_OP_HEAL, 0}}},
    {"log down 600 s",
     1200,
     0.8,
     INSTANCES,
     0,
     {{300, FW_OP_LOG_DOWN, 0}, {900, FW_OP_LOG_UP, 0}}},
    {"log down, leader killed",
     1200,
     0.8,
     INSTANCES,
     0,
     {{300, FW_OP_LOG_DOWN, 0},
      {310, FW_OP_KILL_LEADER, 0},
      {900, FW_OP_LOG_UP, 0}}},
    {"rolling restart",
     600,
     0.8,
     INSTANCES,
     0,
     {{100, FW_OP_DRAIN, 0},
      {110, FW_OP_KILL, 0},
      {112, FW_OP_START, 0},
      {130, FW_OP_DRAIN, 1},
      {140, FW_OP_KILL, 1},
      {142, FW_OP_START, 1},
      {160, FW_OP_DRAIN, 2},
      {170, FW_OP_KILL, 2},
      {172, FW_OP_START, 2},
      {190, FW_OP_DRAIN, 3},
      {200, FW_OP_KILL, 3},
      {202, FW_OP_START, 3},
      {220, FW_OP_DRAIN, 4},
      {230, FW_OP_KILL, 4},
      {232, FW_OP_START, 4},
      {250, FW_OP_DRAIN, 5},
      {260, FW_OP_KILL, 5},
      {262, FW_OP_START, 5}}},
    {"6 join 3",
     300,
     0.8,
     3,
     0,
     {{60, FW_OP_START, 3},
      {62, FW_OP_START, 4},
      {64, FW_OP_START, 5},
      {120, FW_OP_START, 6},
      {122, FW_OP_START, 7},
      {124, FW_OP_START, 8}}},
    {"5 in 100 messages lost", 600, 0.8, INSTANCES, 5, {{0, FW_OP_END, 0}}},
};

#endif
