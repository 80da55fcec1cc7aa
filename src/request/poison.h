/*
 * Quarantine of poison requests: requests that crash every engine that runs
 * them and that their caller keeps resending.
 *
 * A crash of an engine is a strike against each request that it was running.
 * Strikes are counted per fingerprint (hash of model and prompt) by the
 * fingerprint's coordinator, the instance chosen by rendezvous hash. After
 * the first strike the request is retried on an engine that runs no other
 * request with a strike, so that a second crash can be attributed to it.
 * After FW_POISON_STRIKES all instances refuse the fingerprint for
 * FW_POISON_QUARANTINE_US.
 */
#ifndef FW_REQUEST_POISON_H
#define FW_REQUEST_POISON_H

#include <glib.h>
#include <stdint.h>

#include "base/limits.h"

#define FW_POISON_STRIKES 2
#define FW_POISON_STRIKE_TTL_US (600 * FW_SEC)
#define FW_POISON_QUARANTINE_US (600 * FW_SEC)
#define FW_POISON_FINGERPRINTS_MAX 4096 /* in each table */

/**
 * struct fw_poison - tables of one instance, by fingerprint.
 * @strikes: counted here as coordinator
 * @quarantined: refused here
 */
struct fw_poison {
    GHashTable *strikes;
    GHashTable *quarantined;
};

void
Fw_Poison_Init(struct fw_poison *p);
void
Fw_Poison_Fini(struct fw_poison *p);

/**
 * Fw_Poison_AddStrike - counts a strike, on the coordinator.
 *
 * Return: 0 when the request may be retried, else the quarantine in
 * microseconds.
 */
int64_t
Fw_Poison_AddStrike(struct fw_poison *p, uint64_t fingerprint, int64_t now_us);
/* Quarantines @fingerprint for @ttl_us, at most FW_POISON_QUARANTINE_US; never
 * shortens a quarantine. Does nothing when the table is full. */
void
Fw_Poison_Quarantine(struct fw_poison *p, uint64_t fingerprint, int64_t ttl_us,
                     int64_t now_us);
/* Removes expired strikes and quarantines. */
void
Fw_Poison_Expire(struct fw_poison *p, int64_t now_us);

/* Return: remaining quarantine of @fingerprint, 0 when it may run. */
int64_t
Fw_Poison_RemainingUs(const struct fw_poison *p, uint64_t fingerprint,
                      int64_t now_us);
#endif
