/*
 * What callers ask of each service by rank, and what waits, at this instance
 * and at the others. It holds numbers only: messages that carry them are
 * src/relay/demand_message.c, decisions that use them are in src/decide.
 */
#ifndef FW_DEMAND_DEMAND_H
#define FW_DEMAND_DEMAND_H

#include <glib.h>
#include <stdint.h>

/* Ranks of requests: 0 is the most urgent. */
#define FW_RANKS 10

struct fw_demand;

/**
 * struct fw_demand_sum - demand for one service at one rank.
 * @asked: requests a second, a mean over about a second
 * @asked_tokens: KV cache tokens a second that these are expected to need; 0
 *     for plain services
 * @asked_squares: sum of the squares of these numbers of tokens, a second; the
 *     variance of the tokens asked for in a second if requests are independent
 * @waiting: requests that are queued
 * @waiting_tokens: KV cache tokens that these are expected to need
 * @late, @late_tokens: those of them that can no longer meet their objective
 * @ended, @ended_tokens: requests that leave their engines in a second, a mean
 *     over about a second, and the KV cache tokens that become free with them
 */
struct fw_demand_sum {
    double asked;
    double asked_tokens;
    double asked_squares;
    int64_t waiting;
    int64_t waiting_tokens;
    int64_t late;
    int64_t late_tokens;
    double ended;
    double ended_tokens;
};

/** enum fw_demand_scope - which instances the rows of a source cover. */
enum fw_demand_scope {
    FW_DEMAND_LEAF, /* one leaf of this hub */
    FW_DEMAND_HUB,  /* another hub and its leaves */
    FW_DEMAND_REST, /* all others, from the hub of this leaf */
    FW_DEMAND_SCOPES,
};

/* Numbers in a row of a message. */
#define FW_DEMAND_VALUES 9

/**
 * struct fw_demand_row - demand for a service at a rank as messages carry it.
 * @service: hash of the service's name
 * @value: thousandths of requests a second, tokens a second, millions of
 *     squared tokens a second; requests waiting, their tokens, those of them
 *     that are late, their tokens; thousandths of requests that end a second,
 *     their tokens
 */
struct fw_demand_row {
    uint64_t service;
    int rank;
    int64_t value[FW_DEMAND_VALUES];
};

struct fw_demand *
Fw_Demand_New(void);
void
Fw_Demand_Free(struct fw_demand *d);
/* Rows of other instances that are older than @age_us count as nothing. */
void
Fw_Demand_SetMaxAge(struct fw_demand *d, int64_t age_us);
/*
 * A request arrived at this instance.
 * @service: hash of the service's name
 * @tokens: KV cache tokens that it is expected to need, 0 for a plain one
 */
void
Fw_Demand_NoteAsked(struct fw_demand *d, uint64_t service, int rank,
                    int64_t tokens, int64_t now_us);
/* A request of this instance has left its engine. */
void
Fw_Demand_NoteEnded(struct fw_demand *d, uint64_t service, int rank,
                    int64_t tokens, int64_t now_us);
/* @n requests began to wait here; negative when they no longer do. */
void
Fw_Demand_AddWaiting(struct fw_demand *d, uint64_t service, int rank, int n,
                     int64_t tokens);
/* @n of the requests that wait became late; negative when they leave. */
void
Fw_Demand_AddLate(struct fw_demand *d, uint64_t service, int rank, int n,
                  int64_t tokens);
/* Demand at this instance only. */
void
Fw_Demand_GetLocal(const struct fw_demand *d, uint64_t service, int rank,
                   int64_t now_us, struct fw_demand_sum *out);
/* Demand at this instance and at the others that have reported recently. */
void
Fw_Demand_GetTotal(const struct fw_demand *d, uint64_t service, int rank,
                   int64_t now_us, struct fw_demand_sum *out);

/*
 * Replaces what the instance whose name has the hash @source reported.
 * @rows: of struct fw_demand_row; those of a leaf's hub replace all others
 */
void
Fw_Demand_SetRows(struct fw_demand *d, uint64_t source,
                  enum fw_demand_scope scope, const GArray *rows,
                  int64_t now_us);
/* Removes what @source reported. */
void
Fw_Demand_DropSource(struct fw_demand *d, uint64_t source);
/* Removes what is too old to count. */
void
Fw_Demand_Expire(struct fw_demand *d, int64_t now_us);
/*
 * Appends the demand for @service at this instance and, if @with_leaves, at
 * its leaves; with @to, at all instances but the leaf @to. Ranks without any
 * are left out.
 * @to: hash of the leaf's name, 0 for none
 * @rows: of struct fw_demand_row
 */
void
Fw_Demand_AppendRows(const struct fw_demand *d, uint64_t service,
                     int with_leaves, uint64_t to, int64_t now_us,
                     GArray *rows);

#endif
