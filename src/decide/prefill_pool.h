/*
 * Size of the prefill pool; the remaining engines of a service decode.
 *
 * With too few prefill engines prompts queue and first tokens are late; with
 * too many there is not enough KV cache memory for streams.
 */
#ifndef FW_DECIDE_PREFILL_POOL_H
#define FW_DECIDE_PREFILL_POOL_H

#include <stdint.h>

/**
 * struct fw_prefill_load - exponentially decaying sum of prompt tokens.
 * @sum: tokens, as of @at_us
 * @since_us: time of the first prompt, 0 for none
 * @at_us: time of the last prompt
 */
struct fw_prefill_load {
    double sum;
    int64_t since_us;
    int64_t at_us;
};

void
Fw_PrefillLoad_Add(struct fw_prefill_load *load, int64_t tokens,
                   int64_t now_us);
/* Removes a prompt that was added at @added_us. */
void
Fw_PrefillLoad_TakeBack(struct fw_prefill_load *load, int64_t tokens,
                        int64_t added_us, int64_t now_us);
/* Prompt tokens per second, as of @now_us. */
double
Fw_PrefillLoad_Rate(const struct fw_prefill_load *load, int64_t now_us);

/**
 * Fw_PrefillPool_BusyEngines - mean number of engines busy with prefill.
 * @local: load of this instance; its age is the weight of @rate
 * @rate: prompt tokens per second, all instances together
 * @token_us: prefill time per token
 * @prior_engines: number of engines to assume before a load was observed
 */
double
Fw_PrefillPool_BusyEngines(const struct fw_prefill_load *local, double rate,
                           double token_us, double prior_engines,
                           int64_t now_us);
/*
 * Number of engines that do the work of @mean_engines of mean speed, if they
 * are as fast as those of a pool of @n whose speeds add up to @speeds.
 */
double
Fw_PrefillPool_EnginesFor(double mean_engines, double speeds, int n);
/**
 * Fw_PrefillPool_TargetSize - engines that should be in the prefill stage.
 * @busy_engines: mean number of engines busy with prefill
 * @engines: engines of the service, prefill and decode
 * @current: present size, kept if close to the target; 0 to ignore it
 */
int
Fw_PrefillPool_TargetSize(double busy_engines, int engines, int current);

#endif
