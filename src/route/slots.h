/*
 * A coordinator's accounts of one engine: decode slots and queued prefill.
 * Load reports describe a past moment, so reservations granted and released
 * since then are added to and subtracted from their figures.
 */
#ifndef FW_ROUTE_SLOTS_H
#define FW_ROUTE_SLOTS_H

#include <stdint.h>

#include "base/list.h"
#include "core/up.h"

/**
 * struct fw_hold - a reserved decode slot.
 * @owner: hash of the instance that holds it
 * @round_id: the owner's number for the round of reservations
 * @tokens: KV memory it will take, for prompt and output, in tokens
 * @need_us: when the slot will be in use, so that reports count it
 * @released_us: when it was released, 0 while held
 * @exclusive: no other request may run on the engine meanwhile
 */
struct fw_hold {
    uint64_t owner;
    uint64_t round_id;
    int64_t tokens;
    int64_t need_us;
    int64_t released_us;
    int exclusive;
    struct fw_list link;
};

/**
 * struct fw_slots - account of the slots of a decode engine.
 * @report_us: time that the last report describes, 0 before the first
 * @total: slots of the engine
 * @other_busy: slots in use by the last report without a hold here
 * @other_kv_tokens: KV memory in use by the last report without a hold here
 * @kv_total_tokens: KV memory of the engine in tokens, 0 if unknown
 * @holds: struct fw_hold, oldest first; released ones stay until a report
 *         describes a later time
 * @release_interval_us: mean time between releases of slots that were in use,
 *                       0 if unknown
 * @last_release_us: when such a slot was last released, 0 for never
 */
struct fw_slots {
    int64_t report_us;
    int total;
    int other_busy;
    int64_t other_kv_tokens;
    int64_t kv_total_tokens;
    struct fw_list holds;
    int n_holds;
    int64_t release_interval_us;
    int64_t last_release_us;
};

#define FW_BACKLOG_MAX 32

/**
 * struct fw_backlog_item - a granted prefill.
 * @owner: hash of the instance it was granted to
 * @round_id: the owner's number for the round of reservations
 * @granted_us: when it was granted
 * @tokens: tokens of the whole prompt, as reports count them
 * @compute_us: expected prefill time of the tokens that are not cached
 * @done_us: when the owner reported it computed, 0 before
 * @cached_tokens: prompt tokens cached by the prefix table, not scaled by
 *                 fw_coord.cache_hit_permille
 */
struct fw_backlog_item {
    uint64_t owner;
    uint64_t round_id;
    int64_t granted_us;
    int64_t tokens;
    int64_t compute_us;
    int64_t done_us;
    int64_t cached_tokens;
};

/**
 * struct fw_backlog - account of the prefill queued at an engine.
 * @report_us: time that the last report describes
 * @other_work_us: prefill time in the last report that was not granted here
 * @last_done_us: when the owner of a grant last reported it computed
 * @item: grants, oldest first; computed ones stay until a report describes a
 *        later time
 */
struct fw_backlog {
    int64_t report_us;
    int64_t other_work_us;
    int64_t last_done_us;
    int n;
    struct fw_backlog_item item[FW_BACKLOG_MAX];
};

/* slots_cmd.c */
void
Fw_Slots_Init(struct fw_slots *s);
void
Fw_Slots_Clear(struct fw_slots *s);
/* Applies a load report that describes the time @at_us; older ones than the
 * last are ignored. */
void
Fw_Slots_ApplyReport(struct fw_slots *s, const struct fw_up_report *rep,
                     int64_t at_us);
/* Adds a copy of @hold. */
void
Fw_Slots_Hold(struct fw_slots *s, const struct fw_hold *hold);
/* Return: nonzero if such a hold was found. */
int
Fw_Slots_Release(struct fw_slots *s, uint64_t owner, uint64_t round_id,
                 int64_t now_us);
/* Applies a load report that describes the time @at_us; older ones than the
 * last are ignored. @queued is the tokens of the whole prompts, including
 * cached ones, and @rate the prefill rate in tokens per second. */
void
Fw_Backlog_ApplyReport(struct fw_backlog *b, int64_t at_us, int64_t queued,
                       int64_t rate);
/* Adds a copy of @item; when full, the oldest item is dropped. */
void
Fw_Backlog_Add(struct fw_backlog *b, const struct fw_backlog_item *item);
/* Removes a prefill that will not be started; no effect once computed. */
void
Fw_Backlog_Remove(struct fw_backlog *b, uint64_t owner, uint64_t round_id);
/* Marks a prefill as computed. Return: the item, valid until @b changes next;
 * NULL if there is none. */
const struct fw_backlog_item *
Fw_Backlog_Complete(struct fw_backlog *b, uint64_t owner, uint64_t round_id,
                    int64_t now_us);

/* slots_query.c */
/* Slots in use or reserved. */
int
Fw_Slots_Busy(const struct fw_slots *s);
int
Fw_Slots_Free(const struct fw_slots *s);
/* Nonzero if @tokens more fit the KV memory, or if its size is unknown. */
int
Fw_Slots_Fits(const struct fw_slots *s, int64_t tokens);
/* Nonzero while the engine is held exclusively. */
int
Fw_Slots_IsExclusive(const struct fw_slots *s);
/* Time until a prefill granted at @now_us would begin. */
int64_t
Fw_Backlog_WaitUs(const struct fw_backlog *b, int64_t now_us);

#endif
