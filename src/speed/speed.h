/*
 * Speeds of servers relative to their services' means: the estimates of this
 * instance, by server and use, and the samples that other instances have not
 * been sent yet. Messages are src/relay/speed_message.c, and what an estimate
 * is, src/decide/server_speed.h.
 */
#ifndef FW_SPEED_SPEED_H
#define FW_SPEED_SPEED_H

#include <glib.h>
#include <stdint.h>

/** enum fw_speed_use - kinds of work, for each of which a server has a speed.
 */
enum fw_speed_use {
    FW_SPEED_PLAIN,
    FW_SPEED_PREFILL,
    FW_SPEED_DECODE,
    FW_SPEED_USES,
};

/**
 * struct fw_speed_key - a server and a use of it.
 * @server: hash of its id
 * @service: hash of its service's name
 */
struct fw_speed_key {
    uint64_t server;
    uint64_t service;
    enum fw_speed_use use;
};

/**
 * struct fw_speed_row - samples, or an estimate, as messages carry them.
 * @log: sum of the samples' logarithms, or the estimate
 * @weight: of the samples
 */
struct fw_speed_row {
    struct fw_speed_key key;
    double log;
    double weight;
};

/**
 * struct fw_speed_group_row - the servers of one service and use.
 * @mean: mean logarithm of their rates
 * @spread: logarithm of the ratio of the fastest to the slowest
 */
struct fw_speed_group_row {
    uint64_t service;
    enum fw_speed_use use;
    double mean;
    double spread;
};

struct fw_speed;

struct fw_speed *
Fw_Speed_New(void);
void
Fw_Speed_Free(struct fw_speed *sp);
/*
 * A request of this instance was served.
 * @rate: work over time; the unit of the work is the same at all instances
 * @weight: 1 for a usual request
 */
void
Fw_Speed_NoteSample(struct fw_speed *sp, const struct fw_speed_key *key,
                    double rate, double weight);
/*
 * Takes this instance's samples, bounded by @weight_max for each server, to
 * those to be sent.
 * @fold: use them here too, as no hub does
 */
void
Fw_Speed_SettleSamples(struct fw_speed *sp, double weight_max, int fold,
                       int64_t now_us);
/*
 * Uses samples of another instance.
 * @pass_on: send them to other hubs
 */
void
Fw_Speed_MergeSamples(struct fw_speed *sp, const struct fw_speed_row *row,
                      int pass_on, int64_t now_us);
/* Takes over an estimate from the hub. */
void
Fw_Speed_SetEstimate(struct fw_speed *sp, const struct fw_speed_row *row,
                     int64_t now_us);
void
Fw_Speed_SetGroup(struct fw_speed *sp, const struct fw_speed_group_row *row);
/* The hub has confirmed all estimates that it did not change. */
void
Fw_Speed_NoteConfirmed(struct fw_speed *sp, int64_t now_us);
/* Whether the hub has done so recently. */
int
Fw_Speed_IsConfirmed(const struct fw_speed *sp, int64_t now_us);
/* Updates the means and spreads from the estimates. */
void
Fw_Speed_UpdateGroups(struct fw_speed *sp, int64_t now_us);
/* Moves at most @max samples to be sent to @out, of struct fw_speed_row. */
void
Fw_Speed_TakeSamples(struct fw_speed *sp, int max, GArray *out);
/* Forgets the samples to be sent. */
void
Fw_Speed_DropSamples(struct fw_speed *sp);
/*
 * Appends at most @max estimates that have changed since they were last taken
 * to @out, of struct fw_speed_row.
 */
void
Fw_Speed_TakeEstimates(struct fw_speed *sp, int max, int64_t now_us,
                       GArray *out);
/* Has all estimates taken again. */
void
Fw_Speed_ResendEstimates(struct fw_speed *sp);
/* Appends all groups to @out, of struct fw_speed_group_row. */
void
Fw_Speed_AppendGroups(const struct fw_speed *sp, GArray *out);
/*
 * Speed relative to the mean of the service, 1 if it is unknown, or if the
 * ratio of the fastest to the slowest server is at most @spread_min.
 */
double
Fw_Speed_Get(const struct fw_speed *sp, const struct fw_speed_key *key,
             double spread_min, int64_t now_us);
/* Whether speeds of that service and use are in force. */
int
Fw_Speed_IsInForce(const struct fw_speed *sp, uint64_t service,
                   enum fw_speed_use use, double spread_min);
/* Mean rate of the servers in the unit of the samples, 0 if unknown. */
double
Fw_Speed_MeanRate(const struct fw_speed *sp, uint64_t service,
                  enum fw_speed_use use);
/* The server has ended: its next lifetime starts at the mean. */
void
Fw_Speed_Remove(struct fw_speed *sp, uint64_t server);

#endif
