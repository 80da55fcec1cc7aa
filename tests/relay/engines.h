/*
 * Engines played in memory for tests of load: they give reservations, read
 * prompts one after the other and generate at a fixed speed, and preempt when
 * their memory is out.
 */
#ifndef FW_TESTS_RELAY_ENGINES_H
#define FW_TESTS_RELAY_ENGINES_H

#include "decide/length.h"
#include "relay/relay.h"

#define FW_ENGINES_MAX 16

/**
 * struct fw_load_shape - engines and requests; lengths in tokens.
 * @read_speed, @speed: tokens in a millisecond, read, and generated for one
 * @in, @out: means; @spread of both, and of estimates around the answer
 * @hint_spread: -1 when no estimates are given
 */
struct fw_load_shape {
    int slots;
    int64_t kv_tokens;
    double read_speed;
    double speed;
    double in;
    double out;
    int64_t most_out;
    double spread;
    double hint_spread;
};

/**
 * struct fw_load_plan - a load; times in milliseconds.
 * @fixed: taken for what was learned of answers, all the time; NULL to learn
 */
struct fw_load_plan {
    struct fw_load_shape shape;
    const struct fw_length_model *fixed;
    int readers;
    int decoders;
    double per_s;     /* requests a second */
    double burst;     /* times as many between the two moments */
    int64_t burst_ms; /* from this moment on */
    int64_t calm_ms;  /* until this one */
    int64_t until_ms; /* no requests after it */
    uint32_t seed;
    enum fw_rl_policy policy;
    int reserve_permille;
};

/** struct fw_load_result - what callers got. */
struct fw_load_result {
    int asked;
    int on_time; /* first event within 900 ms, never preempted */
    int late;
    int refused;
    int preempted;
};

void
Fw_Load_Play(const struct fw_load_plan *plan, struct fw_load_result *out);

#endif
