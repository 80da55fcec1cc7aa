/*
 * How many engines read prompts, the others generating.
 *
 * Answers a load whose parts change: with too few readers prompts wait and
 * first tokens are late, with too many the memory for streams is short.
 */
#ifndef FW_DECIDE_READERS_H
#define FW_DECIDE_READERS_H

#include <stdint.h>

/**
 * struct fw_prefill_load - prompts that come in, as one instance sees it.
 * @sum: tokens, old ones for less and less; as of @at_us
 * @since_us: the first one came, 0 for none
 * @at_us: of the last one
 */
struct fw_prefill_load {
    double sum;
    int64_t since_us;
    int64_t at_us;
};

void
Fw_Reading_Note(struct fw_prefill_load *r, int64_t tokens, int64_t now_us);
/* Tokens a second as of now. */
double
Fw_Reading_Rate(const struct fw_prefill_load *r, int64_t now_us);

/**
 * Fw_PrefillPool_BusyEngines - engines that reading keeps busy.
 * @mine: prompts of this instance: how long the load has been seen
 * @rate: tokens a second, of all instances
 * @token_us: to read one
 * @guess: engines, before the load was seen
 */
double
Fw_PrefillPool_BusyEngines(const struct fw_prefill_load *mine, double rate,
                           double token_us, double guess, int64_t now_us);
/*
 * Readers among @engines when @busy are kept busy and @now_readers read; that
 * is 0 when the number may change freely.
 */
int
Fw_PrefillPool_TargetSize(double busy, int engines, int now_readers);

#endif
