/*
 * Allowance of a team that is stated for a window of time: at most rate times
 * window plus burst within any window.
 *
 * A token bucket of that rate and burst keeps to it, but a team that asks for
 * more all the time gets only rate times window: its burst is spent once. The
 * bucket may be refilled faster while what was spent within the window leaves
 * room.
 */
#ifndef FW_DECIDE_SPEND_WINDOW_H
#define FW_DECIDE_SPEND_WINDOW_H

#include <stdint.h>

/* Slots that a window is divided into. */
#define FW_SPEND_SLOTS 32

/**
 * struct fw_spend_window - tokens spent within the last window.
 * @tokens: by slot, a ring; one slot more than a window has, as the oldest
 *     counts as a whole
 * @sum: sum of @tokens
 * @slot: number of the latest slot
 * @since_us: since when spending is recorded, 0 if it isn't
 * @plain: level of a plain bucket after the same spending, negative if that is
 *     more than it would have allowed
 */
struct fw_spend_window {
    int64_t tokens[FW_SPEND_SLOTS + 1];
    int64_t sum;
    int64_t slot;
    int64_t since_us;
    double plain;
};

/* From @now_us on, all spending is recorded; the bucket has @level then. */
void
Fw_SpendWindow_Start(struct fw_spend_window *w, double level, int64_t now_us);
/* Some spending isn't recorded from now on. */
void
Fw_SpendWindow_Stop(struct fw_spend_window *w);
/* @tokens may have been spent unnoticed within the window. */
void
Fw_SpendWindow_AddUnknown(struct fw_spend_window *w, int64_t tokens,
                          int64_t window_us, int64_t now_us);
/* Records @tokens as spent, negative if they are returned. */
void
Fw_SpendWindow_Add(struct fw_spend_window *w, int64_t tokens,
                   int64_t window_us, int64_t now_us);
/* Only @part of the rate and burst is available from now on. */
void
Fw_SpendWindow_Shrink(struct fw_spend_window *w, double part);
/**
 * Fw_SpendWindow_Refill - new level of a token bucket.
 * @level: level @elapsed_us ago
 * @rate, @burst: of the bucket, tokens a second and tokens
 *
 * Return: the level, at least that of a plain bucket and at most @burst. If it
 * is above the plain one, it and what was spent within the window add up to
 * rate times window plus burst at most.
 */
double
Fw_SpendWindow_Refill(struct fw_spend_window *w, double level, double rate,
                      double burst, int64_t elapsed_us, int64_t window_us,
                      int64_t now_us);

#endif
