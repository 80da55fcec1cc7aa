/*
 * Simulated engines for load tests. They grant reservations, prefill prompts
 * one at a time, generate at a fixed rate, and preempt streams when they run
 * out of memory.
 */
#ifndef FW_TESTS_RELAY_ENGINES_H
#define FW_TESTS_RELAY_ENGINES_H

#include "decide/length.h"
#include "relay/relay.h"

#define FW_ENGINES_MAX 16

/**
 * struct fw_load_shape - engines and distribution of requests.
 * @slots: concurrent streams per engine
 * @kv_tokens: KV cache capacity per engine, tokens
 * @prefill_tokens_per_ms: prefill rate of an engine
 * @decode_tokens_per_ms: generation rate of a stream
 * @mean_prompt: mean length of prompts, tokens
 * @mean_answer: mean length of answers, tokens
 * @max_answer: declared maximum of each request, tokens
 * @spread: standard deviation of the logarithm of both lengths
 * @hint_spread: the same of estimate / length; -1 for no estimates
 */
struct fw_load_shape {
    int slots;
    int64_t kv_tokens;
    double prefill_tokens_per_ms;
    double decode_tokens_per_ms;
    double mean_prompt;
    double mean_answer;
    int64_t max_answer;
    double spread;
    double hint_spread;
};

/**
 * struct fw_load_plan - a load test.
 * @fixed_model: length model to use instead of learning one, NULL to learn
 * @prefill_engines: engines in the prefill stage
 * @decode_engines: engines in the decode stage
 * @requests_per_s: mean arrival rate outside of the burst
 * @burst_factor: factor of the arrival rate during the burst
 * @burst_start_ms: start of the burst
 * @burst_end_ms: end of the burst
 * @end_ms: end of arrivals
 * @speeds: of the engines, in rotation, relative to the rates of @shape; 0
 *     for 1
 * @speed_spread_ppm: setting of the relay
 */
struct fw_load_plan {
    struct fw_load_shape shape;
    const struct fw_length_model *fixed_model;
    int prefill_engines;
    int decode_engines;
    double requests_per_s;
    double burst_factor;
    int64_t burst_start_ms;
    int64_t burst_end_ms;
    int64_t end_ms;
    uint32_t seed;
    enum fw_rl_policy policy;
    int reserve_permille;
    double speeds[3];
    int64_t speed_spread_ppm;
};

/**
 * struct fw_load_result - number of requests by outcome.
 * @on_time: first event within 900 ms and never preempted
 * @late: all others that were not rejected
 */
struct fw_load_result {
    int requests;
    int on_time;
    int late;
    int rejected;
    int preempted;
};

/* Simulates the load test @plan. */
void
Fw_Load_Play(const struct fw_load_plan *plan, struct fw_load_result *out);

#endif
