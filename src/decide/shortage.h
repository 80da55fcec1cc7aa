/*
 * Retry-After while a resource that refills steadily is short.
 *
 * The time until the resource covers one request is too short a delay when
 * many requests compete for it: all of them return at once, most are rejected
 * a second time, and a caller that retries once has no attempt left. How long
 * a shortage goes on isn't known; that it has lasted for a while is the best
 * evidence that it will last as long again.
 */
#ifndef FW_DECIDE_SHORTAGE_H
#define FW_DECIDE_SHORTAGE_H

#include <stdint.h>

/**
 * struct fw_shortage - how long a resource has been short.
 * @since_us: since when, 0 while it is not
 */
struct fw_shortage {
    int64_t since_us;
};

/* @level is left of the resource, which from @ample on is short no longer. */
void
Fw_Shortage_NoteLevel(struct fw_shortage *s, double level, double ample);
/* A request was rejected for lack of the resource. */
void
Fw_Shortage_NoteRejected(struct fw_shortage *s, int64_t now_us);

/**
 * Fw_Shortage_RetryAfter - delay to suggest to a rejected caller.
 * @covered_us: time until the resource covers its request if no other takes it
 * @left_us: time that the caller has left, 0 if unknown
 * @chance: random, from 0 to 1
 *
 * Return: microseconds, at least @covered_us unless that leaves the caller too
 * little time for a second attempt.
 */
int64_t
Fw_Shortage_RetryAfter(const struct fw_shortage *s, int64_t covered_us,
                       int64_t left_us, double chance, int64_t now_us);

#endif
