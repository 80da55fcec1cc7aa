/*
 * Limits that servers name: the requests a second that a server takes from all
 * instances together.
 *
 * The limit is a number of requests within any FW_LIMIT_WINDOW_US, which is
 * divided among the instances. The shares add up to the limit without messages
 * at the time of a request, and also during a partition.
 */
#ifndef FW_DECIDE_SERVER_LIMIT_H
#define FW_DECIDE_SERVER_LIMIT_H

#include <stdint.h>

#include "base/limits.h"

/* Span in which a limit is kept, and after which a higher one is believed. */
#define FW_LIMIT_WINDOW_US (4 * FW_SEC)
/* Value of @milli for no limit. */
#define FW_NO_LIMIT INT64_MAX

/**
 * struct fw_server_limit - what an instance believes about a server's limit.
 * @milli: thousandths of a request a second, FW_NO_LIMIT for none
 * @version: raised by each instance that finds that the limit has changed; the
 *     highest version is believed, and at the same version the lowest limit
 * @named_us: when a response to this instance last named @milli or less
 * @learned_us: when this instance learned @milli from another one
 */
struct fw_server_limit {
    int64_t milli;
    int64_t version;
    int64_t named_us;
    int64_t learned_us;
};

/**
 * Fw_ServerLimit_Note - a response to this instance named @milli.
 *
 * A lower limit is believed at once, a higher one or none only after
 * FW_LIMIT_WINDOW_US without the lower one: responses may overtake each other.
 *
 * Return: nonzero if @l->milli has changed
 */
int
Fw_ServerLimit_Note(struct fw_server_limit *l, int64_t milli, int64_t now_us);

/** enum fw_limit_merge - outcome of a report from another instance. */
enum fw_limit_merge {
    FW_LIMIT_UNCHANGED,
    FW_LIMIT_ADOPTED,
    FW_LIMIT_OUTDATED, /* the other instance must be sent this one's belief */
};

/*
 * Another instance believes @milli at @version. An instance that was named a
 * lower limit within FW_LIMIT_WINDOW_US keeps that, as a newer version.
 */
enum fw_limit_merge
Fw_ServerLimit_Merge(struct fw_server_limit *l, int64_t milli, int64_t version,
                     int64_t now_us);
/*
 * Requests that all instances together may send within FW_LIMIT_WINDOW_US. At
 * least one, as only a response shows that a limit has ended.
 */
int
Fw_ServerLimit_Budget(int64_t milli);
/**
 * Fw_ServerLimit_Share - an instance's part of a budget.
 * @instances: size of the fleet
 * @rank: number of instances that come before it in an order that all of them
 *     agree on; @instances if unknown
 * @batch: number of requests that an instance can only send together
 */
int
Fw_ServerLimit_Share(int budget, int instances, int rank, int batch);

#endif
